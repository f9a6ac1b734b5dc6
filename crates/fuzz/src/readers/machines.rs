//! The processes' state machines, to which others say anything.

use std::time::Duration;

use pinerelay_comb::desk::Desk;
use pinerelay_dance::store::Birth as StoreBirth;
use pinerelay_dance::voter::{Change, Kept};
use pinerelay_dance::Membership;
use pinerelay_forager::hearing::Hearing;
use pinerelay_nectar::terms::{Bounds, Quota};
use pinerelay_propolis::speech::{Hello, Role};
use pinerelay_scout::dispatch::Call;
use pinerelay_scout::registry::{Birth, Registry};

use crate::random::Random;
use crate::reader::{Fault, Reader};
use crate::script::{self, Step};

const ME: &str = "127.0.0.1";

fn me(role: Role) -> Hello {
    Hello { node: "n1".into(), ip: ME.into(), role, life: 1 }
}

fn seeds() -> Vec<String> {
    ["127.0.0.1", "127.0.0.2", "127.0.0.3"].map(String::from).to_vec()
}

/// What a message of so many bytes may make a process allocate: answers of up to [`pinerelay_cells::merkle::PIECE`], and
/// copies of what came.
fn allocates(input: &[u8]) -> Option<usize> {
    Some((32 << 20) + 4_000 * input.len())
}

/// The proxy's ear.
pub struct Proxy;

impl Reader for Proxy {
    fn name(&self) -> &'static str {
        "proxy"
    }

    fn generate(&mut self, random: &mut Random) -> Vec<u8> {
        script::write(random)
    }

    fn check(&mut self, input: &[u8]) -> Result<(), Fault> {
        let mut hearing = Hearing::new(0, me(Role::Forager), seeds());
        let (mut now, mut out, mut requests) = (0, Vec::new(), 0);
        for step in script::read(input) {
            match step {
                Step::Up(peer) => hearing.up(peer, &mut out),
                Step::Down(peer) => hearing.down(peer),
                Step::Said(peer, speech) => hearing.said(now, peer, speech, &mut out),
                Step::Pass(time) => {
                    now += time;
                    for tenant in ["t1", "n1", ""] {
                        requests += 1;
                        let quota = Quota { rate: 10.0, burst: 5.0 };
                        let _ = hearing.purse.arrive(now, tenant, quota, requests);
                    }
                    hearing.tick(now, &mut out);
                }
            }
            let _ = (hearing.wanted(), hearing.whole(), hearing.nodes());
            out.clear();
        }
        Ok(())
    }

    fn allocates(&self, input: &[u8]) -> Option<usize> {
        allocates(input)
    }
}

/// The registry.
pub struct Registries;

impl Reader for Registries {
    fn name(&self) -> &'static str {
        "registry"
    }

    fn generate(&mut self, random: &mut Random) -> Vec<u8> {
        script::write(random)
    }

    fn check(&mut self, input: &[u8]) -> Result<(), Fault> {
        let birth = Birth {
            hello: me(Role::Scout),
            first: input.len().is_multiple_of(2),
            wall: 1_700_000_000,
            heartbeat: 1_500_000,
            bounds: Bounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 },
            seeds: seeds(),
        };
        let mut registry = Registry::new(0, birth);
        let (mut now, mut out, mut calls) = (0, Vec::new(), 0);
        for step in script::read(input) {
            match step {
                Step::Up(peer) => registry.up(peer, &mut out),
                Step::Down(peer) => registry.down(now, peer, &mut out),
                Step::Said(peer, speech) => registry.said(now, peer, speech, &mut out),
                Step::Pass(time) => {
                    now += time;
                    for call in [Call::Read, Call::Update(b"{}".to_vec()), Call::Leave("n1".into())] {
                        calls += 1;
                        registry.call(now, calls, call, &mut out);
                    }
                    registry.tick(now, &mut out);
                }
            }
            let _ = (registry.others(), registry.wanted());
            out.clear();
        }
        registry.leave_all(now, &mut out);
        Ok(())
    }

    fn allocates(&self, input: &[u8]) -> Option<usize> {
        allocates(input)
    }
}

/// The store, with a disk that is always well.
pub struct Stores;

impl Reader for Stores {
    fn name(&self) -> &'static str {
        "store"
    }

    fn generate(&mut self, random: &mut Random) -> Vec<u8> {
        script::write(random)
    }

    fn check(&mut self, input: &[u8]) -> Result<(), Fault> {
        let first = input.len().is_multiple_of(3);
        let birth = StoreBirth { me: ME.into(), life: 1, losses: 1, first, seeds: seeds() };
        let kept = (input.len() % 3 == 1).then(|| Kept {
            incarnation: Some(0),
            whole: true,
            membership: Membership::first(seeds()),
            ..Kept::default()
        });
        let (mut now, mut out) = (0, Vec::new());
        let mut desk = Desk::new(1_700_000_000, me(Role::Comb), birth, kept, &mut out);
        let mut disk = Kept::default();
        write(&mut desk, now, &mut out, &mut disk);
        for step in script::read(input) {
            match step {
                Step::Up(peer) => desk.up(peer, &mut out),
                Step::Down(peer) => desk.down(now, peer, &mut out),
                Step::Said(peer, speech) => desk.said(now, peer, speech, &mut out),
                Step::Pass(time) => {
                    now += time;
                    desk.tick(now, &mut out);
                }
            }
            write(&mut desk, now, &mut out, &mut disk);
            let _ = desk.store().others();
        }
        desk.end(&mut out);
        Ok(())
    }

    fn allocates(&self, input: &[u8]) -> Option<usize> {
        allocates(input)
    }
}

/// Writes what is to be written, and what comes of that.
fn write(desk: &mut Desk, now: u64, out: &mut Vec<pinerelay_comb::desk::Output>, disk: &mut Kept) {
    use pinerelay_comb::desk::Output;
    while !out.is_empty() {
        for output in std::mem::take(out) {
            if let Output::Write(number, change) = output {
                let change: Change = change;
                disk.write(&change);
                desk.written(now, number, out);
            }
        }
    }
}
