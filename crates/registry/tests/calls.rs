//! Calls that a registry passes on: each answer belongs to one call on one connection, and no caller waits for one who is
//! known to be gone.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_consensus::Membership;
use pinerelay_peer_link::message::{CallReply, Hello, PeerMessage, Role};
use pinerelay_registry::control_call::{self, ControlCall};
use pinerelay_registry::registry::{Output, Registry, RegistryConfig};

/// Time passes in such steps, as in the process.
const TICK: u64 = 100_000;
/// How often a store says something, in ticks.
const PULSE: u64 = 6;
const OWN: &str = "127.0.0.1";

fn hello(ip: &str, role: Role, life: u64) -> Hello {
    Hello { node: format!("core-{ip}"), ip: ip.into(), role, process_id: life }
}

/// A registry, its clock, and what it has answered: to which call, with which status, and when.
struct Play {
    registry: Registry,
    now: u64,
    /// Connections of stores that say something each pulse.
    speaking: Vec<u64>,
    answered: Vec<(u64, u16, u64)>,
    passed: Vec<(u64, u64)>,
    holds: Vec<(u64, u64)>,
}

impl Play {
    fn new(voters: &[&str]) -> Play {
        let bounds = QuotaBounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 };
        let seeds = voters.iter().map(|ip| ip.to_string()).collect();
        let hello = hello(OWN, Role::Registry, 1);
        let config = RegistryConfig {
            hello,
            first_start: true,
            heartbeat_interval: 1_500_000,
            quota_bounds: bounds,
            seeds,
            time_of_day: 0,
            rollouts: Default::default(),
        };
        let registry = Registry::new(0, config);
        let (speaking, answered) = Default::default();
        Play { registry, now: 0, speaking, answered, passed: Vec::new(), holds: Vec::new() }
    }

    fn act(&mut self, act: impl FnOnce(&mut Registry, u64, &mut Vec<Output>)) -> Vec<Output> {
        let mut out = Vec::new();
        act(&mut self.registry, self.now, &mut out);
        for output in &out {
            match output {
                Output::Answer(call, answered) => self.answered.push((*call, answered.status, self.now)),
                Output::Send(peer, PeerMessage::ForwardCall(number, _)) => self.passed.push((*peer, *number)),
                Output::Send(peer, PeerMessage::Replicate { number, .. }) => {
                    self.holds.push((*peer, *number))
                }
                Output::Broadcast(peers, PeerMessage::Replicate { number, .. }) => {
                    self.holds.extend(peers.iter().map(|peer| (*peer, *number)));
                }
                _ => {}
            }
        }
        out
    }

    fn said(&mut self, peer: u64, message: PeerMessage) -> Vec<Output> {
        self.act(|registry, now, out| registry.receive(now, peer, message, out))
    }

    /// A store's connection comes up.
    fn store(&mut self, peer: u64, ip: &str) {
        self.said(peer, PeerMessage::Hello(hello(ip, Role::ConfigStore, peer)));
        self.speaks(peer);
        self.speaking.push(peer);
    }

    fn speaks(&mut self, peer: u64) {
        let membership = Membership::default();
        self.said(peer, PeerMessage::StoreStatus { membership, is_complete: true, is_current: true });
    }

    fn down(&mut self, peer: u64) {
        self.speaking.retain(|&speaks| speaks != peer);
        self.act(|registry, now, out| registry.disconnected(now, peer, out));
    }

    fn call(&mut self, number: u64, call: ControlCall) {
        self.act(|registry, now, out| registry.call(now, number, call, out));
    }

    fn answer(&mut self, peer: u64, number: u64, status: u16) {
        self.said(peer, PeerMessage::CallReply(number, CallReply { status, body: "{}".into() }));
    }

    fn ticks(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += TICK;
            if (self.now / TICK).is_multiple_of(PULSE) {
                self.speaking.clone().into_iter().for_each(|peer| self.speaks(peer));
            }
            self.act(|registry, now, out| registry.tick(now, out));
        }
    }
}

#[gtest]
fn an_answer_is_taken_on_the_connection_that_its_call_went_out_on_and_once() {
    let mut play = Play::new(&[OWN, "127.0.0.2", "127.0.0.3"]);
    play.store(1, "127.0.0.2");
    play.store(2, "127.0.0.3");
    play.call(70, ControlCall::Read);
    let [(peer, number)] = play.passed[..] else { panic!("it is passed to one") };
    // Another store has the number of this machine's registry in an earlier life; and nobody has this one.
    play.answer(3 - peer, number, 200);
    play.answer(peer, number + 1, 200);
    expect_that!(play.answered, is_empty());
    play.answer(peer, number, 200);
    play.answer(peer, number, 503);
    expect_that!(play.answered, elements_are![eq(&(70, 200, 0))]);
}

#[gtest]
fn a_connection_belongs_to_one_life() {
    let mut play = Play::new(&[OWN]);
    play.store(1, OWN);
    let again = play.said(1, PeerMessage::Hello(hello(OWN, Role::ConfigStore, 9)));
    expect_that!(again, elements_are![eq(&Output::Close(1))]);
}

#[gtest]
fn a_read_whose_store_is_gone_goes_to_another_or_back_at_once() {
    let mut play = Play::new(&[OWN, "127.0.0.2", "127.0.0.3"]);
    play.store(1, "127.0.0.2");
    play.store(2, "127.0.0.3");
    play.call(70, ControlCall::Read);
    play.down(1);
    let [(1, first), (2, second)] = play.passed[..] else { panic!("{:?}", play.passed) };
    // The link is taken up again, and the store has not forgotten.
    play.store(3, "127.0.0.2");
    play.answer(3, first, 200);
    expect_that!(play.answered, is_empty());
    play.answer(2, second, 200);
    play.answer(2, first, 200);
    expect_that!(play.answered, elements_are![eq(&(70, 200, 0))]);
    // With no other store there is nothing to wait for.
    play.down(3);
    play.call(71, ControlCall::Read);
    play.down(2);
    expect_that!(play.answered[1..], elements_are![eq(&(71, 503, 0))]);
}

/// The store that it went to may still take it: a caller who is sent on at once may be refused elsewhere before that.
#[gtest]
fn an_update_whose_store_is_gone_is_with_no_other_and_ends_with_its_time_there() {
    let mut play = Play::new(&[OWN, "127.0.0.2", "127.0.0.3"]);
    play.store(1, "127.0.0.2");
    play.store(2, "127.0.0.3");
    play.call(70, ControlCall::Update(b"{}".to_vec()));
    let [(1, first)] = play.passed[..] else { panic!("{:?}", play.passed) };
    play.down(1);
    play.store(3, "127.0.0.2");
    play.answer(3, first, 200);
    play.answer(2, first, 400);
    expect_that!(play.passed.len(), eq(1), "no other has it");
    expect_that!(play.answered, is_empty());
    play.ticks(10);
    expect_that!(play.answered, elements_are![(eq(&70), eq(&503), all!(ge(&850_000), lt(&1_000_000)))]);
}

#[gtest]
fn a_call_that_is_offered_again_has_the_time_of_one() {
    let mut play = Play::new(&[OWN, "127.0.0.2", "127.0.0.3"]);
    play.store(1, "127.0.0.2");
    play.store(2, "127.0.0.3");
    play.call(70, ControlCall::Read);
    play.ticks(6);
    play.down(1);
    play.ticks(4);
    // Its caller goes on to another machine after a second.
    expect_that!(play.answered, elements_are![(eq(&70), eq(&503), lt(&1_000_000))]);
}

/// For how long callers wait who come each 100 ms after the machine's own store has fallen silent, and from when on calls
/// are answered again. The link is cut after two seconds of silence; others come up a tick after they are wanted.
fn silenced() -> (u64, u64) {
    let mut play = Play::new(&[OWN, "127.0.0.2"]);
    play.store(1, OWN);
    play.ticks(12);
    let silent = play.now;
    play.speaking.clear();
    let mut begun = Vec::new();
    for number in 0..60 {
        if number == 20 {
            play.down(1);
        }
        let other = ("127.0.0.2".to_string(), Role::ConfigStore);
        if play.registry.wanted_links().contains(&other) && !play.speaking.contains(&2) {
            play.store(2, "127.0.0.2");
        }
        begun.push(play.now);
        play.call(number, ControlCall::Read);
        for (peer, number) in std::mem::take(&mut play.passed) {
            if peer == 2 {
                play.answer(2, number, 200);
            }
        }
        play.ticks(1);
    }
    let waits = play.answered.iter().map(|(call, _, at)| at - begun[*call as usize]);
    let served = play.answered.iter().filter(|(_, status, _)| *status == 200).map(|(_, _, at)| at - silent);
    (waits.max().expect("answers"), served.min().expect("a success"))
}

#[gtest]
fn callers_are_not_held_for_a_store_that_is_silent() {
    let (wait, served) = silenced();
    println!("longest wait {} ms, served again after {} ms", wait / 1_000, served / 1_000);
    expect_that!(wait, lt(1_000_000));
    expect_that!(served, le(1_400_000));
}

#[gtest]
fn a_registry_that_stood_still_does_not_take_its_store_for_silent() {
    let mut play = Play::new(&[OWN]);
    play.store(1, OWN);
    play.ticks(3);
    play.now += 20_000_000;
    // Neither before its first tick nor right after it.
    play.call(1, ControlCall::Read);
    play.ticks(1);
    play.call(2, ControlCall::Read);
    expect_that!(play.passed.len(), eq(2));
}

fn drains() -> ControlCall {
    let heartbeat = r#"{"service":"s","address":"127.0.0.9:80","zone":"z","revision":"v","capacity":1,"state":"draining",
        "warmup_left":"0ms","call_count":4}"#;
    let query = Some("call=servers.heartbeat&of=i-1");
    control_call::parse("POST", control_call::PATH, query, heartbeat.as_bytes()).expect("a call")
}

#[gtest]
fn a_leaving_is_held_by_those_alone_who_were_asked() {
    let mut play = Play::new(&[OWN, "127.0.0.2", "127.0.0.3"]);
    play.call(70, drains());
    expect_that!(play.answered, elements_are![eq(&(70, 503, 0))], "there is nobody who could hold it");
    play.said(1, PeerMessage::Hello(hello("127.0.0.2", Role::Registry, 1)));
    play.call(71, drains());
    let [(1, number)] = play.holds[..] else { panic!("{:?}", play.holds) };
    // One that has come since was not asked.
    play.said(2, PeerMessage::Hello(hello("127.0.0.3", Role::Registry, 1)));
    play.said(2, PeerMessage::Replicated(number));
    expect_that!(play.answered.len(), eq(1));
    play.said(1, PeerMessage::Replicated(number));
    expect_that!(play.answered[1..], elements_are![eq(&(71, 200, 0))]);
}

#[gtest]
fn a_leaving_is_asked_for_again_where_a_connection_is_left_and_else_given_up_at_once() {
    let mut play = Play::new(&[OWN, "127.0.0.2"]);
    // Both ends make a connection to the other.
    play.said(1, PeerMessage::Hello(hello("127.0.0.2", Role::Registry, 1)));
    play.said(2, PeerMessage::Hello(hello("127.0.0.2", Role::Registry, 1)));
    play.call(70, drains());
    play.down(2);
    let [(2, first), (1, second)] = play.holds[..] else { panic!("{:?}", play.holds) };
    play.said(2, PeerMessage::Replicated(first));
    expect_that!(play.answered, is_empty());
    play.said(1, PeerMessage::Replicated(second));
    expect_that!(play.answered, elements_are![eq(&(70, 200, 0))]);
    let mut play = Play::new(&[OWN, "127.0.0.2"]);
    play.said(1, PeerMessage::Hello(hello("127.0.0.2", Role::Registry, 1)));
    play.call(71, drains());
    play.down(1);
    expect_that!(play.answered, elements_are![eq(&(71, 503, 0))]);
}

#[gtest]
fn an_order_that_may_have_waited_through_a_standstill_is_passed_to_nobody() {
    let mut play = Play::new(&[OWN, "127.0.0.2", "127.0.0.3"]);
    play.store(1, OWN);
    let update = || ControlCall::Update(b"{}".to_vec());
    play.ticks(1);
    play.call(70, update());
    expect_that!(play.passed.len(), eq(1));
    play.now += 2_000_000;
    play.call(71, update());
    play.ticks(1);
    play.call(72, update());
    expect_that!(
        play.answered.iter().map(|(call, status, _)| (*call, *status)).collect::<Vec<_>>(),
        contains(eq(&(71, 503)))
    );
    expect_that!(play.answered.last().map(|(call, status, _)| (*call, *status)), some(eq((72, 503))));
    play.ticks(2);
    play.call(73, update());
    expect_that!(play.passed.len(), eq(2), "the first and the last alone");
}
