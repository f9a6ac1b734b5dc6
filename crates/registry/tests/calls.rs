//! Forwarded and replicated calls: an answer counts only for its call and on its connection, and no caller waits for a peer that
//! is known to be unreachable.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_consensus::Membership;
use pinerelay_peer_link::message::{CallReply, Hello, PeerMessage, Role};
use pinerelay_registry::control_call::{self, ControlCall};
use pinerelay_registry::registry::{Output, Registry, RegistryConfig};

/// The interval of ticks, as in the process, in microseconds.
const TICK: u64 = 100_000;
/// The interval at which a store sends its status, in ticks.
const STATUS_INTERVAL_TICKS: u64 = 6;
const OWN: &str = "127.0.0.1";

fn hello(ip: &str, role: Role, process: u64) -> Hello {
    Hello { node: format!("core-{ip}"), ip: ip.into(), role, process_id: process }
}

/// A registry with a simulated clock and peers.
struct Simulation {
    registry: Registry,
    now: u64,
    /// Connections of the stores that send their status regularly.
    responsive_stores: Vec<u64>,
    /// Answers: the call's number, the status, and the time.
    answered: Vec<(u64, u16, u64)>,
    /// Forwarded calls: connection and number.
    forwarded: Vec<(u64, u64)>,
    /// Replication requests: connection and number.
    replicated: Vec<(u64, u64)>,
}

impl Simulation {
    fn new(voters: &[&str]) -> Simulation {
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
        let (responsive_stores, answered) = Default::default();
        Simulation {
            registry,
            now: 0,
            responsive_stores,
            answered,
            forwarded: Vec::new(),
            replicated: Vec::new(),
        }
    }

    fn run(&mut self, operation: impl FnOnce(&mut Registry, u64, &mut Vec<Output>)) -> Vec<Output> {
        let mut out = Vec::new();
        operation(&mut self.registry, self.now, &mut out);
        for output in &out {
            match output {
                Output::Answer(call, answered) => self.answered.push((*call, answered.status, self.now)),
                Output::Send(connection, PeerMessage::ForwardCall(number, _)) => {
                    self.forwarded.push((*connection, *number))
                }
                Output::Send(connection, PeerMessage::Replicate { number, .. }) => {
                    self.replicated.push((*connection, *number))
                }
                Output::Broadcast(connections, PeerMessage::Replicate { number, .. }) => {
                    self.replicated.extend(connections.iter().map(|connection| (*connection, *number)));
                }
                _ => {}
            }
        }
        out
    }

    fn receive_from(&mut self, connection: u64, message: PeerMessage) -> Vec<Output> {
        self.run(|registry, now, out| registry.receive(now, connection, message, out))
    }

    /// Connects a store, which sends its status regularly from then on.
    fn connect_store(&mut self, connection: u64, ip: &str) {
        self.receive_from(connection, PeerMessage::Hello(hello(ip, Role::ConfigStore, connection)));
        self.send_store_status(connection);
        self.responsive_stores.push(connection);
    }

    fn send_store_status(&mut self, connection: u64) {
        let membership = Membership::default();
        self.receive_from(
            connection,
            PeerMessage::StoreStatus { membership, is_complete: true, is_current: true },
        );
    }

    fn disconnect(&mut self, connection: u64) {
        self.responsive_stores.retain(|&responsive| responsive != connection);
        self.run(|registry, now, out| registry.disconnected(now, connection, out));
    }

    fn call(&mut self, number: u64, call: ControlCall) {
        self.run(|registry, now, out| registry.call(now, number, call, out));
    }

    fn answer(&mut self, connection: u64, number: u64, status: u16) {
        self.receive_from(
            connection,
            PeerMessage::CallReply(number, CallReply { status, body: "{}".into() }),
        );
    }

    fn advance_ticks(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += TICK;
            if (self.now / TICK).is_multiple_of(STATUS_INTERVAL_TICKS) {
                self.responsive_stores
                    .clone()
                    .into_iter()
                    .for_each(|connection| self.send_store_status(connection));
            }
            self.run(|registry, now, out| registry.tick(now, out));
        }
    }
}

#[gtest]
fn an_answer_counts_once_and_only_on_the_connection_of_its_call() {
    let mut sim = Simulation::new(&[OWN, "127.0.0.2", "127.0.0.3"]);
    sim.connect_store(1, "127.0.0.2");
    sim.connect_store(2, "127.0.0.3");
    sim.call(70, ControlCall::Read);
    let [(connection, number)] = sim.forwarded[..] else { panic!("the call is forwarded to one store") };
    // Another store answers a call of an earlier process of this registry with the same number; the other number was never used.
    sim.answer(3 - connection, number, 200);
    sim.answer(connection, number + 1, 200);
    expect_that!(sim.answered, is_empty());
    sim.answer(connection, number, 200);
    sim.answer(connection, number, 503);
    expect_that!(sim.answered, elements_are![eq(&(70, 200, 0))]);
}

#[gtest]
fn a_second_hello_closes_the_connection() {
    let mut sim = Simulation::new(&[OWN]);
    sim.connect_store(1, OWN);
    let again = sim.receive_from(1, PeerMessage::Hello(hello(OWN, Role::ConfigStore, 9)));
    expect_that!(again, elements_are![eq(&Output::Close(1))]);
}

#[gtest]
fn a_read_is_retried_at_another_store_or_rejected_when_its_store_disconnects() {
    let mut sim = Simulation::new(&[OWN, "127.0.0.2", "127.0.0.3"]);
    sim.connect_store(1, "127.0.0.2");
    sim.connect_store(2, "127.0.0.3");
    sim.call(70, ControlCall::Read);
    sim.disconnect(1);
    let [(1, first), (2, second)] = sim.forwarded[..] else { panic!("{:?}", sim.forwarded) };
    // The store reconnects and still answers the call.
    sim.connect_store(3, "127.0.0.2");
    sim.answer(3, first, 200);
    expect_that!(sim.answered, is_empty());
    sim.answer(2, second, 200);
    sim.answer(2, first, 200);
    expect_that!(sim.answered, elements_are![eq(&(70, 200, 0))]);
    // Without another store the call is rejected at once.
    sim.disconnect(3);
    sim.call(71, ControlCall::Read);
    sim.disconnect(2);
    expect_that!(sim.answered[1..], elements_are![eq(&(71, 503, 0))]);
}

/// The disconnected store may still commit the update. If its caller were answered at once, it would retry elsewhere, and might
/// be rejected there before the commit.
#[gtest]
fn an_update_is_not_retried_and_times_out_when_its_store_disconnects() {
    let mut sim = Simulation::new(&[OWN, "127.0.0.2", "127.0.0.3"]);
    sim.connect_store(1, "127.0.0.2");
    sim.connect_store(2, "127.0.0.3");
    sim.call(70, ControlCall::Update(b"{}".to_vec()));
    let [(1, first)] = sim.forwarded[..] else { panic!("{:?}", sim.forwarded) };
    sim.disconnect(1);
    sim.connect_store(3, "127.0.0.2");
    sim.answer(3, first, 200);
    sim.answer(2, first, 400);
    expect_that!(sim.forwarded.len(), eq(1), "the update is forwarded to no other store");
    expect_that!(sim.answered, is_empty());
    sim.advance_ticks(10);
    expect_that!(sim.answered, elements_are![(eq(&70), eq(&503), all!(ge(&850_000), lt(&1_000_000)))]);
}

#[gtest]
fn a_retried_call_keeps_its_original_deadline() {
    let mut sim = Simulation::new(&[OWN, "127.0.0.2", "127.0.0.3"]);
    sim.connect_store(1, "127.0.0.2");
    sim.connect_store(2, "127.0.0.3");
    sim.call(70, ControlCall::Read);
    sim.advance_ticks(6);
    sim.disconnect(1);
    sim.advance_ticks(4);
    // The caller retries at another machine after a second.
    expect_that!(sim.answered, elements_are![(eq(&70), eq(&503), lt(&1_000_000))]);
}

/// Makes a call every 100 ms after the machine's own store has fallen silent. The link to it closes after two seconds of silence;
/// links to other stores come up a tick after the registry wants them. Returns the longest time that a call waited for its
/// answer, and the time until the first successful answer.
fn waits_with_silent_store() -> (u64, u64) {
    let mut sim = Simulation::new(&[OWN, "127.0.0.2"]);
    sim.connect_store(1, OWN);
    sim.advance_ticks(12);
    let silent_since = sim.now;
    sim.responsive_stores.clear();
    let mut call_times = Vec::new();
    for number in 0..60 {
        if number == 20 {
            sim.disconnect(1);
        }
        let other = ("127.0.0.2".to_string(), Role::ConfigStore);
        if sim.registry.wanted_links().contains(&other) && !sim.responsive_stores.contains(&2) {
            sim.connect_store(2, "127.0.0.2");
        }
        call_times.push(sim.now);
        sim.call(number, ControlCall::Read);
        for (connection, number) in std::mem::take(&mut sim.forwarded) {
            if connection == 2 {
                sim.answer(2, number, 200);
            }
        }
        sim.advance_ticks(1);
    }
    let waits = sim.answered.iter().map(|(call, _, at)| at - call_times[*call as usize]);
    let served =
        sim.answered.iter().filter(|(_, status, _)| *status == 200).map(|(_, _, at)| at - silent_since);
    (waits.max().expect("at least one answer"), served.min().expect("at least one success"))
}

#[gtest]
fn callers_do_not_wait_for_a_silent_store() {
    let (wait, served) = waits_with_silent_store();
    println!("longest wait {} ms, first success after {} ms", wait / 1_000, served / 1_000);
    expect_that!(wait, lt(1_000_000));
    expect_that!(served, le(1_400_000));
}

#[gtest]
fn a_stalled_registry_does_not_consider_its_store_silent() {
    let mut sim = Simulation::new(&[OWN]);
    sim.connect_store(1, OWN);
    sim.advance_ticks(3);
    sim.now += 20_000_000;
    // Neither before the first tick after the stall nor right after it.
    sim.call(1, ControlCall::Read);
    sim.advance_ticks(1);
    sim.call(2, ControlCall::Read);
    expect_that!(sim.forwarded.len(), eq(2));
}

fn draining_heartbeat() -> ControlCall {
    let heartbeat = r#"{"service":"s","address":"127.0.0.9:80","zone":"z","revision":"v","capacity":1,"state":"draining",
        "warmup_left":"0ms","call_count":4}"#;
    let query = Some("call=servers.heartbeat&of=i-1");
    control_call::parse("POST", control_call::PATH, query, heartbeat.as_bytes()).expect("a valid call")
}

#[gtest]
fn a_deregistration_is_acknowledged_only_by_registries_that_were_asked() {
    let mut sim = Simulation::new(&[OWN, "127.0.0.2", "127.0.0.3"]);
    sim.call(70, draining_heartbeat());
    expect_that!(sim.answered, elements_are![eq(&(70, 503, 0))], "there is no registry to replicate to");
    sim.receive_from(1, PeerMessage::Hello(hello("127.0.0.2", Role::Registry, 1)));
    sim.call(71, draining_heartbeat());
    let [(1, number)] = sim.replicated[..] else { panic!("{:?}", sim.replicated) };
    // A registry that has connected since was not asked.
    sim.receive_from(2, PeerMessage::Hello(hello("127.0.0.3", Role::Registry, 1)));
    sim.receive_from(2, PeerMessage::Replicated(number));
    expect_that!(sim.answered.len(), eq(1));
    sim.receive_from(1, PeerMessage::Replicated(number));
    expect_that!(sim.answered[1..], elements_are![eq(&(71, 200, 0))]);
}

#[gtest]
fn replication_is_retried_on_another_connection_or_rejected_at_once() {
    let mut sim = Simulation::new(&[OWN, "127.0.0.2"]);
    // Both registries connect to each other.
    sim.receive_from(1, PeerMessage::Hello(hello("127.0.0.2", Role::Registry, 1)));
    sim.receive_from(2, PeerMessage::Hello(hello("127.0.0.2", Role::Registry, 1)));
    sim.call(70, draining_heartbeat());
    sim.disconnect(2);
    let [(2, first), (1, second)] = sim.replicated[..] else { panic!("{:?}", sim.replicated) };
    sim.receive_from(2, PeerMessage::Replicated(first));
    expect_that!(sim.answered, is_empty());
    sim.receive_from(1, PeerMessage::Replicated(second));
    expect_that!(sim.answered, elements_are![eq(&(70, 200, 0))]);
    let mut sim = Simulation::new(&[OWN, "127.0.0.2"]);
    sim.receive_from(1, PeerMessage::Hello(hello("127.0.0.2", Role::Registry, 1)));
    sim.call(71, draining_heartbeat());
    sim.disconnect(1);
    expect_that!(sim.answered, elements_are![eq(&(71, 503, 0))]);
}

#[gtest]
fn an_update_that_may_have_been_queued_during_a_stall_is_not_forwarded() {
    let mut sim = Simulation::new(&[OWN, "127.0.0.2", "127.0.0.3"]);
    sim.connect_store(1, OWN);
    let update = || ControlCall::Update(b"{}".to_vec());
    sim.advance_ticks(1);
    sim.call(70, update());
    expect_that!(sim.forwarded.len(), eq(1));
    sim.now += 2_000_000;
    sim.call(71, update());
    sim.advance_ticks(1);
    sim.call(72, update());
    expect_that!(
        sim.answered.iter().map(|(call, status, _)| (*call, *status)).collect::<Vec<_>>(),
        contains(eq(&(71, 503)))
    );
    expect_that!(sim.answered.last().map(|(call, status, _)| (*call, *status)), some(eq((72, 503))));
    sim.advance_ticks(2);
    sim.call(73, update());
    expect_that!(sim.forwarded.len(), eq(2), "only the first and the last update");
}
