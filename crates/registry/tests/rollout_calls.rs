//! The rollout calls of operators, and the rollouts that they start. Guards against documented calls that the registry does not
//! serve: `rollouts.start` and `rollouts.read` were answered with 404, so no order was ever acknowledged.

use std::net::SocketAddrV4;
use std::time::Duration;

use googletest::prelude::*;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_config_state::operator_call;
use pinerelay_config_state::rollout::{Rollout, RolloutChange, Stage};
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{Item, ItemSet, Key, Kind};
use pinerelay_consensus::Membership;
use pinerelay_peer_link::message::{
    CallReply, ForwardedCall, Hello, PeerMessage, Role, SeenHeartbeat, LEASE_DURATION, UNDERSTANDS_ROLLOUTS,
};
use pinerelay_registry::control_call;
use pinerelay_registry::registry::{Output, Registry, RegistryConfig, RolloutSettings};
use pinerelay_rollout::report::{RolloutPermit, RolloutReport, RouteSample};

const ORDER: &[u8] = br#"{"service":"s1","target_version":"v2","deadline":"12s"}"#;
const OTHER_ORDER: &[u8] = br#"{"service":"s1","target_version":"v3","deadline":"12s"}"#;
const SERVICE: &str = r#"{"upsert":{"services":{"column_names":["name","revision"],"records":[["s1",1]]}}}"#;
const OWN: &str = "127.0.0.1";
const TICK: u64 = 100_000;
const STORE: u64 = 1;
const PROXY: u64 = 2;
const PEER: u64 = 3;

fn hello(node: &str, role: Role) -> Hello {
    Hello { node: node.into(), ip: OWN.into(), role, process_id: 7 }
}

/// The only voting registry, its simulated store, a proxy, and another registry that reports servers to it.
struct Simulation {
    registry: Registry,
    now: u64,
    /// The items that the store has committed.
    committed: ItemSet,
    answers: Vec<(u64, u16)>,
    permits: Vec<RolloutPermit>,
    last_call: u64,
    /// The keys of the servers whose heartbeats the other registry reports.
    servers: Vec<Key>,
}

impl Simulation {
    fn new() -> Simulation {
        let bounds = QuotaBounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 };
        let config = RegistryConfig {
            hello: hello("core-1", Role::Registry),
            first_start: true,
            heartbeat_interval: 1_500_000,
            quota_bounds: bounds,
            seeds: vec![OWN.into()],
            time_of_day: 1_700_000_000,
            rollouts: RolloutSettings { baseline_without_order: true, ..RolloutSettings::default() },
        };
        let mut committed = ItemSet::default();
        committed.merge_all(operator_call::parse_update(SERVICE.as_bytes()).expect("a call"));
        let registry = Registry::new(0, config);
        let (answers, permits, servers) = Default::default();
        let mut sim = Simulation { registry, now: 0, committed, answers, permits, last_call: 0, servers };
        sim.receive(STORE, PeerMessage::Hello(hello("core-1", Role::ConfigStore)));
        sim.receive(PROXY, PeerMessage::Hello(hello("edge-1", Role::Proxy)));
        sim.receive(
            PEER,
            PeerMessage::Hello(Hello { ip: "127.0.0.2".into(), ..hello("core-2", Role::Registry) }),
        );
        let items: Vec<Item> = sim.committed.iter().cloned().collect();
        sim.receive(STORE, PeerMessage::Update(items));
        sim
    }

    /// Creates a simulation with one server of `version` and advances it by 50 ticks (5 s), by when the registry has acquired
    /// the duties and the baseline is set.
    fn with_server(version: &str) -> Simulation {
        let mut sim = Simulation::new();
        for peer in [STORE, PROXY, PEER] {
            sim.receive(peer, PeerMessage::ConfirmCurrent(UNDERSTANDS_ROLLOUTS));
        }
        sim.add_server("i1", version);
        sim.advance_ticks(50);
        sim
    }

    fn add_server(&mut self, id: &str, version: &str) {
        let server = Server {
            service: "s1".into(),
            address: SocketAddrV4::new([10, 0, 0, 1].into(), 80),
            zone: "z".into(),
            revision: version.into(),
            capacity: 1,
            state: ServerState::Ready,
            warmup_ms: 0,
        };
        self.receive(PEER, PeerMessage::Update(vec![server.to_item(id, 1)]));
        self.servers.push(Key::new(Kind::Server, id));
    }

    fn run(&mut self, operation: impl FnOnce(&mut Registry, u64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        operation(&mut self.registry, self.now, &mut out);
        for output in out {
            match output {
                Output::Answer(call, reply) => self.answers.push((call, reply.status)),
                Output::Send(STORE, PeerMessage::ForwardCall(number, call)) => {
                    self.answer_forwarded_call(number, call)
                }
                Output::Send(PROXY, PeerMessage::RolloutPermits(permits)) => self.permits.extend(permits),
                _ => {}
            }
        }
    }

    /// The store answers a forwarded call.
    fn answer_forwarded_call(&mut self, number: u64, call: ForwardedCall) {
        let status = match call {
            ForwardedCall::ChangeRollout(change) => self.commit(&change),
            _ => 200,
        };
        let reply = CallReply { status, body: "{}".into() };
        self.receive(STORE, PeerMessage::CallReply(number, reply));
    }

    fn commit(&mut self, change: &RolloutChange) -> u16 {
        match change.apply(|key| self.committed.get(key)) {
            Err(error) => {
                if error.is_conflict() {
                    409
                } else {
                    400
                }
            }
            Ok(None) => 200,
            Ok(Some(item)) => {
                self.committed.merge(item.clone());
                self.receive(STORE, PeerMessage::Update(vec![item]));
                200
            }
        }
    }

    fn receive(&mut self, connection: u64, message: PeerMessage) {
        self.run(|registry, now, out| registry.receive(now, connection, message, out));
    }

    fn advance_ticks(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += TICK;
            let membership = Membership::first([OWN.to_string()]);
            self.receive(STORE, PeerMessage::StoreStatus { membership, is_complete: true, is_current: true });
            let (asked_at, digest) = (self.now, self.committed.digest());
            self.receive(STORE, PeerMessage::Digests([digest, 0]));
            let lease_left = LEASE_DURATION;
            self.receive(STORE, PeerMessage::Current { asked_at, epoch: 1, digest, lease_left });
            let seen = |key: &Key| SeenHeartbeat { key_hash: key.key_hash(), age_ms: 0 };
            let heartbeats = self.servers.iter().map(seen).collect();
            self.receive(PEER, PeerMessage::HeartbeatsSeen(heartbeats));
            self.run(|registry, now, out| registry.tick(now, out));
        }
    }

    /// Makes an operator's call, and returns the status of its answer if there is one.
    fn call(&mut self, query: &str, body: &[u8]) -> Option<u16> {
        let call = control_call::parse("POST", control_call::PATH, Some(query), body).expect("a call");
        self.last_call += 1;
        let number = self.last_call;
        self.run(|registry, now, out| registry.call(now, number, call, out));
        self.answers.iter().find(|(call, _)| *call == number).map(|(_, status)| *status)
    }

    fn report(&mut self, in_force: u64, has_drained: bool, failures: u32) {
        let order = self.rollout().order;
        let mut sample = RouteSample { route: 1, ..RouteSample::default() };
        (0..100).for_each(|_| sample.stable.count(50_000, false));
        (0..100).for_each(|number| sample.target.count(50_000, number < failures));
        let (service, sent_at, routes) = ("s1".into(), self.now, vec![sample]);
        let exposed_for = if self.permits.is_empty() { 0 } else { 5_000_000 };
        let report = RolloutReport { service, order, sent_at, in_force, exposed_for, has_drained, routes };
        self.receive(PROXY, PeerMessage::RolloutReports(vec![report]));
    }

    fn rollout(&self) -> Rollout {
        self.committed.get(&Rollout::key("s1")).and_then(Rollout::from_item).expect("a rollout item")
    }

    /// Advances the time until the rollout is at a stage. Every 300 ms the proxy reports that `failures` of 100
    /// requests to the target version failed.
    fn advance_until(&mut self, stage: Stage, failures: u32) {
        for _ in 0..200 {
            if self.rollout().stage == stage {
                return;
            }
            self.advance_ticks(3);
            let revision = self.committed.get(&Rollout::key("s1")).map_or(0, |item| item.version.revision);
            let has_drained = stage == Stage::Finished && self.rollout().stage == Stage::Cutover;
            self.report(revision, has_drained, failures);
        }
        panic!("the rollout stays at {:?}", self.rollout().stage);
    }
}

#[gtest]
fn rollout_calls_are_served() {
    let started = control_call::parse("POST", control_call::PATH, Some("call=rollouts.start"), ORDER);
    expect_that!(started, ok(anything()));
    let read = control_call::parse("POST", control_call::PATH, Some("call=rollouts.read&of=huvo11a"), b"");
    expect_that!(read, ok(anything()));
}

#[gtest]
fn a_repeated_order_is_acknowledged_and_a_different_one_conflicts() {
    let mut sim = Simulation::with_server("v1");
    expect_that!(sim.call("call=rollouts.start", ORDER), some(eq(200)));
    expect_that!(
        sim.call("call=rollouts.start", ORDER),
        some(eq(200)),
        "the first answer may have been lost"
    );
    expect_that!(sim.call("call=rollouts.start", OTHER_ORDER), some(eq(409)));
    expect_that!(sim.rollout().stage, eq(Stage::Canary));
    expect_that!(sim.rollout().target, eq("v2"));
}

#[gtest]
fn an_invalid_order_is_answered_with_400() {
    for body in [&b"{}"[..], b"", br#"{"service":"s1","target_version":"v2","deadline":"soon"}"#] {
        let parsed = control_call::parse("POST", control_call::PATH, Some("call=rollouts.start"), body);
        expect_that!(parsed.map_err(|error| error.status()), err(eq(&400)));
    }
    let read = control_call::parse("POST", control_call::PATH, Some("call=rollouts.read"), b"");
    expect_that!(read.map_err(|error| error.status()), err(eq(&400)));
}

#[gtest]
fn an_order_for_a_service_without_known_servers_is_answered_with_503() {
    let mut sim = Simulation::new();
    expect_that!(sim.call("call=rollouts.start", ORDER), some(eq(503)));
}

#[gtest]
fn the_baseline_is_set_before_any_order_and_excludes_later_versions() {
    let mut sim = Simulation::with_server("v1");
    expect_that!(sim.rollout().stage, eq(Stage::Baseline));
    sim.add_server("i2", "v2");
    sim.advance_ticks(100);
    expect_that!(sim.rollout().stable, elements_are![eq("v1")]);
}

/// Machines are upgraded one by one, and an earlier release closes a link on which it receives a rollout item.
#[gtest]
fn no_baseline_is_set_while_a_peer_does_not_support_rollout_items() {
    let mut sim = Simulation::new();
    for peer in [STORE, PEER] {
        sim.receive(peer, PeerMessage::ConfirmCurrent(UNDERSTANDS_ROLLOUTS));
    }
    sim.add_server("i1", "v1");
    sim.advance_ticks(50);
    expect_that!(sim.call("call=rollouts.start", ORDER), some(eq(503)));
    expect_that!(sim.committed.get(&Rollout::key("s1")), none());
    sim.receive(PROXY, PeerMessage::ConfirmCurrent(UNDERSTANDS_ROLLOUTS));
    sim.advance_ticks(20);
    expect_that!(sim.call("call=rollouts.start", ORDER), some(eq(200)));
}

#[gtest]
fn a_rollout_without_failures_finishes_once_the_proxy_has_drained_the_old_version() {
    let mut sim = Simulation::with_server("v1");
    sim.call("call=rollouts.start", ORDER);
    sim.report(0, false, 0);
    expect_that!(sim.permits, is_empty(), "there is no server of the new version");
    sim.add_server("i2", "v2");
    sim.advance_until(Stage::Cutover, 0);
    expect_that!(sim.permits, not(is_empty()));
    sim.advance_ticks(30);
    expect_that!(
        sim.rollout().stage,
        eq(Stage::Cutover),
        "the proxy has not reported that it has drained the old version"
    );
    sim.advance_until(Stage::Finished, 0);
}

#[gtest]
fn a_rollout_with_failures_is_reverted_and_gets_no_more_permits() {
    let mut sim = Simulation::with_server("v1");
    sim.call("call=rollouts.start", ORDER);
    sim.add_server("i2", "v2");
    sim.advance_until(Stage::Reverted, 40);
    sim.permits.clear();
    sim.report(9, false, 40);
    expect_that!(sim.permits, is_empty());
}
