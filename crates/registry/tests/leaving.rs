//! What a server's leaving costs, and what its acknowledgement waits for.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_config_state::Kind;
use pinerelay_consensus::Membership;
use pinerelay_peer_link::message::{Hello, PeerMessage, Role, ACKNOWLEDGES_WRITES};
use pinerelay_registry::control_call::{self, ControlCall};
use pinerelay_registry::registry::{Output, Registry, RegistryConfig};

const OWN: &str = "127.0.0.1";
const OTHER: &str = "127.0.0.2";
/// The interval of ticks, as in the process, in microseconds.
const TICK: u64 = 100_000;
/// The ticks within which a server gets its answer: it waits for one second.
const ANSWER_TICKS: u64 = 9;
/// The connection of the store on the same machine.
const STORE: u64 = 1;
/// The connection of the other registry.
const REGISTRY: u64 = 2;

fn hello(ip: &str, role: Role) -> Hello {
    Hello { node: format!("core-{ip}"), ip: ip.into(), role, process_id: 1 }
}

/// A draining server's heartbeat.
fn draining_heartbeat(call_count: u64) -> ControlCall {
    heartbeat("draining", call_count)
}

/// A server's heartbeat.
fn heartbeat(state: &str, call_count: u64) -> ControlCall {
    let heartbeat = format!(
        r#"{{"service":"s","address":"127.0.0.9:80","zone":"z","revision":"v","capacity":1,"state":"{state}",
        "warmup_left":"0ms","call_count":{call_count}}}"#
    );
    let query = Some("call=servers.heartbeat&of=i-1");
    control_call::parse("POST", control_call::PATH, query, heartbeat.as_bytes()).expect("a valid call")
}

/// A registry with a simulated clock, the store of its machine, and another registry.
struct Simulation {
    registry: Registry,
    now: u64,
    /// Answers: the call's number and the status.
    answered: Vec<(u64, u16)>,
    /// Replication requests: connection and number.
    replicated: Vec<(u64, u64)>,
}

impl Simulation {
    fn new(voters: &[&str]) -> Simulation {
        let config = RegistryConfig {
            hello: hello(OWN, Role::Registry),
            first_start: true,
            heartbeat_interval: 1_500_000,
            quota_bounds: QuotaBounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 },
            seeds: voters.iter().map(|ip| ip.to_string()).collect(),
            time_of_day: 0,
            rollouts: Default::default(),
        };
        let registry = Registry::new(0, config);
        Simulation { registry, now: 0, answered: Vec::new(), replicated: Vec::new() }
    }

    /// A registry that another one is linked to.
    fn with_other_registry() -> Simulation {
        let mut sim = Simulation::new(&[OWN, OTHER]);
        sim.receive(REGISTRY, PeerMessage::Hello(hello(OTHER, Role::Registry)));
        sim
    }

    fn run(&mut self, operation: impl FnOnce(&mut Registry, u64, &mut Vec<Output>)) -> Vec<Output> {
        let mut out = Vec::new();
        operation(&mut self.registry, self.now, &mut out);
        for output in &out {
            match output {
                Output::Answer(call, reply) => self.answered.push((*call, reply.status)),
                Output::Broadcast(receivers, PeerMessage::Replicate { number, .. }) => {
                    self.replicated.extend(receivers.iter().map(|receiver| (*receiver, *number)));
                }
                _ => {}
            }
        }
        out
    }

    fn receive(&mut self, connection: u64, message: PeerMessage) -> Vec<Output> {
        self.run(|registry, now, out| registry.receive(now, connection, message, out))
    }

    /// Connects a store of an earlier release.
    fn connect_earlier_store(&mut self) {
        self.receive(STORE, PeerMessage::Hello(hello(OWN, Role::ConfigStore)));
        let membership = Membership::default();
        self.receive(STORE, PeerMessage::StoreStatus { membership, is_complete: true, is_current: true });
    }

    /// Connects a store that acknowledges writes.
    fn connect_store(&mut self) {
        self.connect_earlier_store();
        self.receive(STORE, PeerMessage::ConfirmCurrent(ACKNOWLEDGES_WRITES));
    }

    /// The peer acknowledges the last replication request.
    fn acknowledge(&mut self, connection: u64) {
        let number = self.replicated.last().map_or(0, |(_, number)| *number);
        self.receive(connection, PeerMessage::Replicated(number));
    }

    fn advance_ticks(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += TICK;
            self.run(|registry, now, out| registry.tick(now, out));
        }
    }

    fn call(&mut self, number: u64, call: ControlCall) -> Vec<Output> {
        self.run(|registry, now, out| registry.call(now, number, call, out))
    }
}

/// How many updates of servers the store gets.
fn server_updates_to_store(outputs: &[Output]) -> usize {
    let is_update = |output: &&Output| match output {
        Output::Broadcast(receivers, PeerMessage::Update(items)) => {
            receivers.contains(&STORE) && items.iter().any(|item| item.key.kind == Kind::Server)
        }
        _ => false,
    };
    outputs.iter().filter(is_update).count()
}

// Guards against a write and a sync for each heartbeat of a draining server: stores write a leaving at once.
#[gtest]
fn further_heartbeats_of_a_draining_server_bring_the_store_nothing() {
    let mut sim = Simulation::with_other_registry();
    sim.connect_store();
    let first = sim.call(70, draining_heartbeat(4));
    expect_that!(server_updates_to_store(&first), eq(1));
    for call_count in 5..8 {
        let further = sim.call(70 + call_count, draining_heartbeat(call_count));
        expect_that!(server_updates_to_store(&further), eq(0));
    }
}

// Guards against a leaving that is acknowledged and forgotten when all processes are killed before a store has written it.
#[gtest]
fn a_leaving_is_acknowledged_once_another_registry_holds_it_and_the_store_has_written_it() {
    for order in [[REGISTRY, STORE], [STORE, REGISTRY]] {
        let mut sim = Simulation::with_other_registry();
        sim.connect_store();
        sim.call(70, draining_heartbeat(4));
        sim.acknowledge(order[0]);
        expect_that!(sim.answered, is_empty(), "only {} has acknowledged", order[0]);
        sim.acknowledge(order[1]);
        expect_that!(sim.answered, elements_are![eq(&(70, 200))]);
    }
}

// Guards against a refusal for a disk that stands still, or for a store that has ended: the server would end without an
// acknowledgement.
#[gtest]
fn a_store_that_does_not_answer_delays_a_leaving_but_does_not_refuse_it() {
    for ends in [false, true] {
        let mut sim = Simulation::with_other_registry();
        sim.connect_store();
        sim.call(70, draining_heartbeat(4));
        sim.acknowledge(REGISTRY);
        if ends {
            sim.run(|registry, now, out| registry.disconnected(now, STORE, out));
        }
        expect_that!(sim.answered, is_empty());
        sim.advance_ticks(ANSWER_TICKS);
        expect_that!(sim.answered, elements_are![eq(&(70, 200))]);
    }
}

// Guards against a store's acknowledgement in the place of another registry's: the machine may be lost with its disk, and nobody
// else would tell the proxies.
#[gtest]
fn a_leaving_that_only_the_store_holds_is_refused() {
    let mut sim = Simulation::with_other_registry();
    sim.connect_store();
    sim.call(70, draining_heartbeat(4));
    sim.acknowledge(STORE);
    sim.advance_ticks(ANSWER_TICKS);
    expect_that!(sim.answered, elements_are![eq(&(70, 503))]);
    sim.call(71, draining_heartbeat(5));
    sim.acknowledge(STORE);
    sim.run(|registry, now, out| registry.disconnected(now, REGISTRY, out));
    expect_that!(sim.answered[1..], elements_are![eq(&(71, 503))], "no other registry is left to ask");
}

// Guards against a second replication and a refusal for a registry that goes after it has acknowledged.
#[gtest]
fn a_registry_that_has_acknowledged_a_leaving_may_go() {
    let mut sim = Simulation::with_other_registry();
    sim.connect_store();
    sim.call(70, draining_heartbeat(4));
    sim.acknowledge(REGISTRY);
    sim.run(|registry, now, out| registry.disconnected(now, REGISTRY, out));
    expect_that!(sim.answered, is_empty());
    sim.acknowledge(STORE);
    expect_that!(sim.answered, elements_are![eq(&(70, 200))]);
}

// Guards against a delay of each leaving during an update: a store of an earlier release answers no replication.
#[gtest]
fn a_store_of_an_earlier_release_is_not_waited_for() {
    let mut sim = Simulation::with_other_registry();
    sim.connect_earlier_store();
    sim.call(70, draining_heartbeat(4));
    expect_that!(sim.replicated, elements_are![(eq(&REGISTRY), anything())]);
    sim.acknowledge(REGISTRY);
    expect_that!(sim.answered, elements_are![eq(&(70, 200))]);
}

// Guards against a registry that waits for a store that its machine does not have.
#[gtest]
fn without_a_store_another_registry_is_enough() {
    let mut sim = Simulation::with_other_registry();
    sim.call(70, draining_heartbeat(4));
    sim.acknowledge(REGISTRY);
    expect_that!(sim.answered, elements_are![eq(&(70, 200))]);
}

// Guards against the same loss where there is one core machine alone: its disk is all that remembers.
#[gtest]
fn without_other_voters_a_leaving_waits_for_the_store_alone() {
    let mut sim = Simulation::new(&[OWN]);
    sim.connect_store();
    sim.call(70, draining_heartbeat(4));
    expect_that!(sim.answered, is_empty());
    sim.acknowledge(STORE);
    expect_that!(sim.answered, elements_are![eq(&(70, 200))]);
    let mut sim = Simulation::new(&[OWN]);
    sim.call(71, draining_heartbeat(4));
    expect_that!(sim.answered, elements_are![eq(&(71, 200))], "there is no store");
}

// Guards against a second leaving that is acknowledged on the word of the first: the server has been ready in between.
#[gtest]
fn a_server_that_drains_again_is_acknowledged_once_that_is_replicated_again() {
    let mut sim = Simulation::with_other_registry();
    sim.connect_store();
    sim.call(70, draining_heartbeat(4));
    sim.acknowledge(REGISTRY);
    sim.acknowledge(STORE);
    sim.call(71, heartbeat("ready", 5));
    sim.call(72, draining_heartbeat(6));
    expect_that!(sim.answered, elements_are![eq(&(70, 200)), anything()], "no answer to the last call");
    sim.acknowledge(REGISTRY);
    sim.acknowledge(STORE);
    expect_that!(sim.answered.last(), some(eq(&(72, 200))));
}
