//! The processes' state machines, to which others say anything.

use std::time::Duration;

use pinerelay_admission::quota::{Quota, QuotaBounds};
use pinerelay_config_store::service::StoreService;
use pinerelay_consensus::Membership;
use pinerelay_consensus::StoreConfig as StoreBirth;
use pinerelay_consensus::{PersistentState, StateChange};
use pinerelay_peer_link::message::{Hello, Role};
use pinerelay_proxy::subscriber::Subscriber;
use pinerelay_registry::control_call::ControlCall;
use pinerelay_registry::registry::{Registry, RegistryConfig};

use crate::random::Random;
use crate::reader::{Fault, Reader};
use crate::script::{self, Step};

const ME: &str = "127.0.0.1";

fn me(role: Role) -> Hello {
    Hello { node: "n1".into(), ip: ME.into(), role, process_id: 1 }
}

fn seeds() -> Vec<String> {
    ["127.0.0.1", "127.0.0.2", "127.0.0.3"].map(String::from).to_vec()
}

/// What a message of so many bytes may make a process allocate: answers of up to [`pinerelay_config_state::anti_entropy::REPLY_SIZE_LIMIT`], and
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
        let mut subscriber = Subscriber::new(0, me(Role::Proxy), seeds());
        let (mut now, mut out, mut requests) = (0, Vec::new(), 0);
        for step in script::read(input) {
            match step {
                Step::Up(peer) => subscriber.connected(peer, &mut out),
                Step::Down(peer) => subscriber.disconnected(peer),
                Step::Said(peer, speech) => subscriber.receive(now, peer, speech, &mut out),
                Step::Pass(time) => {
                    now += time;
                    for tenant in ["t1", "n1", ""] {
                        requests += 1;
                        let quota = Quota { rate: 10.0, burst: 5.0 };
                        let _ = subscriber.admit(now, tenant, quota, requests, &mut out);
                    }
                    subscriber.tick(now, &mut out);
                }
            }
            let _ = (subscriber.wanted_registries(), subscriber.can_serve(), subscriber.proxies());
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
        let config = RegistryConfig {
            hello: me(Role::Registry),
            first_start: input.len().is_multiple_of(2),
            time_of_day: 1_700_000_000,
            rollouts: Default::default(),
            heartbeat_interval: 1_500_000,
            quota_bounds: QuotaBounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 },
            seeds: seeds(),
        };
        let mut registry = Registry::new(0, config);
        let (mut now, mut out, mut calls) = (0, Vec::new(), 0);
        for step in script::read(input) {
            match step {
                Step::Up(peer) => registry.connected(peer, &mut out),
                Step::Down(peer) => registry.disconnected(now, peer, &mut out),
                Step::Said(peer, speech) => registry.receive(now, peer, speech, &mut out),
                Step::Pass(time) => {
                    now += time;
                    for call in [
                        ControlCall::Read,
                        ControlCall::Update(b"{}".to_vec()),
                        ControlCall::Leave { id: "n1".into() },
                    ] {
                        calls += 1;
                        registry.call(now, calls, call, &mut out);
                    }
                    registry.tick(now, &mut out);
                }
            }
            let _ = (registry.other_registries(), registry.wanted_links());
            out.clear();
        }
        registry.shut_down(now, &mut out);
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
        let birth = StoreBirth {
            name: ME.into(),
            process_id: 1,
            tolerated_losses: 1,
            first_start: first,
            seeds: seeds(),
        };
        let kept = (input.len() % 3 == 1).then(|| PersistentState {
            incarnation: Some(0),
            is_complete: true,
            membership: Membership::first(seeds()),
            ..PersistentState::default()
        });
        let (mut now, mut out) = (0, Vec::new());
        let mut desk = StoreService::new(1_700_000_000, me(Role::ConfigStore), birth, kept, &mut out);
        let mut disk = PersistentState::default();
        write(&mut desk, now, &mut out, &mut disk);
        for step in script::read(input) {
            match step {
                Step::Up(peer) => desk.connected(peer, &mut out),
                Step::Down(peer) => desk.disconnected(now, peer, &mut out),
                Step::Said(peer, speech) => desk.receive(now, peer, speech, &mut out),
                Step::Pass(time) => {
                    now += time;
                    desk.tick(now, &mut out);
                }
            }
            write(&mut desk, now, &mut out, &mut disk);
            let _ = desk.store().peers();
        }
        desk.shut_down(&mut out);
        Ok(())
    }

    fn allocates(&self, input: &[u8]) -> Option<usize> {
        allocates(input)
    }
}

/// Writes what is to be written, and what comes of that.
fn write(
    desk: &mut StoreService,
    now: u64,
    out: &mut Vec<pinerelay_config_store::service::Output>,
    disk: &mut PersistentState,
) {
    use pinerelay_config_store::service::Output;
    while !out.is_empty() {
        for output in std::mem::take(out) {
            if let Output::Write { id: number, change } = output {
                let change: StateChange = change;
                disk.apply(&change);
                desk.write_completed(now, number, out);
            }
        }
    }
}
