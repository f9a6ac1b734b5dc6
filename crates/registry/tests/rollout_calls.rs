//! The operators' page names `rollouts.start` and `rollouts.read`. They were unknown here: an order was answered 404 three times
//! and never acknowledged.

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

/// The only registry of a core, its store, a proxy, and another registry that tells it of servers.
struct Play {
    registry: Registry,
    now: u64,
    /// What the store has committed.
    committed: ItemSet,
    answers: Vec<(u64, u16)>,
    permits: Vec<RolloutPermit>,
    last_call: u64,
    /// The servers that the other registry hears.
    servers: Vec<Key>,
}

impl Play {
    fn new() -> Play {
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
        let mut play = Play { registry, now: 0, committed, answers, permits, last_call: 0, servers };
        play.receive(STORE, PeerMessage::Hello(hello("core-1", Role::ConfigStore)));
        play.receive(PROXY, PeerMessage::Hello(hello("edge-1", Role::Proxy)));
        play.receive(
            PEER,
            PeerMessage::Hello(Hello { ip: "127.0.0.2".into(), ..hello("core-2", Role::Registry) }),
        );
        let items: Vec<Item> = play.committed.iter().cloned().collect();
        play.receive(STORE, PeerMessage::Update(items));
        play
    }

    /// With a server of a version, and five seconds later: the duties are held, and what versions there are is decided.
    fn with_server(version: &str) -> Play {
        let mut play = Play::new();
        for peer in [STORE, PROXY, PEER] {
            play.receive(peer, PeerMessage::ConfirmCurrent(UNDERSTANDS_ROLLOUTS));
        }
        play.server("i1", version);
        play.ticks(50);
        play
    }

    fn server(&mut self, id: &str, version: &str) {
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

    fn act(&mut self, act: impl FnOnce(&mut Registry, u64, &mut Vec<Output>)) {
        let mut out = Vec::new();
        act(&mut self.registry, self.now, &mut out);
        for output in out {
            match output {
                Output::Answer(call, reply) => self.answers.push((call, reply.status)),
                Output::Send(STORE, PeerMessage::ForwardCall(number, call)) => self.decide(number, call),
                Output::Send(PROXY, PeerMessage::RolloutPermits(permits)) => self.permits.extend(permits),
                _ => {}
            }
        }
    }

    /// What the store does with a call.
    fn decide(&mut self, number: u64, call: ForwardedCall) {
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
        self.act(|registry, now, out| registry.receive(now, connection, message, out));
    }

    fn ticks(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.now += TICK;
            let membership = Membership::first([OWN.to_string()]);
            self.receive(STORE, PeerMessage::StoreStatus { membership, is_complete: true, is_current: true });
            let (asked_at, digest) = (self.now, self.committed.digest());
            self.receive(STORE, PeerMessage::Digests([digest, 0]));
            let lease_left = LEASE_DURATION;
            self.receive(STORE, PeerMessage::Current { asked_at, epoch: 1, digest, lease_left });
            let heard = |key: &Key| SeenHeartbeat { key_hash: key.key_hash(), age_ms: 0 };
            let heartbeats = self.servers.iter().map(heard).collect();
            self.receive(PEER, PeerMessage::HeartbeatsSeen(heartbeats));
            self.act(|registry, now, out| registry.tick(now, out));
        }
    }

    /// A call of the operator; the status of its answer.
    fn call(&mut self, query: &str, body: &[u8]) -> Option<u16> {
        let call = control_call::parse("POST", control_call::PATH, Some(query), body).expect("a call");
        self.last_call += 1;
        let number = self.last_call;
        self.act(|registry, now, out| registry.call(now, number, call, out));
        self.answers.iter().find(|(call, _)| *call == number).map(|(_, status)| *status)
    }

    fn report(&mut self, in_force: u64, has_drained: bool, bad: u32) {
        let order = self.rollout().order;
        let mut sample = RouteSample { route: 1, ..RouteSample::default() };
        (0..100).for_each(|_| sample.stable.count(50_000, false));
        (0..100).for_each(|number| sample.target.count(50_000, number < bad));
        let (service, sent_at, routes) = ("s1".into(), self.now, vec![sample]);
        let exposed_for = if self.permits.is_empty() { 0 } else { 5_000_000 };
        let report = RolloutReport { service, order, sent_at, in_force, exposed_for, has_drained, routes };
        self.receive(PROXY, PeerMessage::RolloutReports(vec![report]));
    }

    fn rollout(&self) -> Rollout {
        self.committed.get(&Rollout::key("s1")).and_then(Rollout::from_item).expect("an item")
    }

    /// Time passes until the rollout is at a stage, with reports as before.
    fn until(&mut self, stage: Stage, bad: u32) {
        for _ in 0..200 {
            if self.rollout().stage == stage {
                return;
            }
            self.ticks(3);
            let revision = self.committed.get(&Rollout::key("s1")).map_or(0, |item| item.version.revision);
            let has_drained = stage == Stage::Finished && self.rollout().stage == Stage::Cutover;
            self.report(revision, has_drained, bad);
        }
        panic!("it stays at {:?}", self.rollout().stage);
    }
}

#[gtest]
fn the_order_of_a_rollout_and_its_read_are_calls_of_the_registry() {
    let started = control_call::parse("POST", control_call::PATH, Some("call=rollouts.start"), ORDER);
    expect_that!(started, ok(anything()));
    let read = control_call::parse("POST", control_call::PATH, Some("call=rollouts.read&of=huvo11a"), b"");
    expect_that!(read, ok(anything()));
}

#[gtest]
fn an_order_is_acknowledged_once_and_a_second_one_conflicts() {
    let mut play = Play::with_server("v1");
    expect_that!(play.call("call=rollouts.start", ORDER), some(eq(200)));
    expect_that!(play.call("call=rollouts.start", ORDER), some(eq(200)), "the answer may have got lost");
    expect_that!(play.call("call=rollouts.start", OTHER_ORDER), some(eq(409)));
    expect_that!(play.rollout().stage, eq(Stage::Canary));
    expect_that!(play.rollout().target, eq("v2"));
}

#[gtest]
fn an_order_that_makes_no_sense_is_the_callers_error() {
    for body in [&b"{}"[..], b"", br#"{"service":"s1","target_version":"v2","deadline":"soon"}"#] {
        let parsed = control_call::parse("POST", control_call::PATH, Some("call=rollouts.start"), body);
        expect_that!(parsed.map_err(|error| error.status()), err(eq(&400)));
    }
    let read = control_call::parse("POST", control_call::PATH, Some("call=rollouts.read"), b"");
    expect_that!(read.map_err(|error| error.status()), err(eq(&400)));
}

#[gtest]
fn a_registry_that_knows_no_server_of_a_service_sends_its_order_elsewhere() {
    let mut play = Play::new();
    expect_that!(play.call("call=rollouts.start", ORDER), some(eq(503)));
}

#[gtest]
fn versions_in_service_are_decided_before_any_order_so_that_a_new_one_gets_nothing() {
    let mut play = Play::with_server("v1");
    expect_that!(play.rollout().stage, eq(Stage::Baseline));
    play.server("i2", "v2");
    play.ticks(100);
    expect_that!(play.rollout().stable, elements_are![eq("v1")]);
}

/// Machines are updated one by one, and an earlier release drops a link on which an item of a rollout comes.
#[gtest]
fn nothing_is_decided_about_versions_while_a_peer_does_not_understand_it() {
    let mut play = Play::new();
    for peer in [STORE, PEER] {
        play.receive(peer, PeerMessage::ConfirmCurrent(UNDERSTANDS_ROLLOUTS));
    }
    play.server("i1", "v1");
    play.ticks(50);
    expect_that!(play.call("call=rollouts.start", ORDER), some(eq(503)));
    expect_that!(play.committed.get(&Rollout::key("s1")), none());
    play.receive(PROXY, PeerMessage::ConfirmCurrent(UNDERSTANDS_ROLLOUTS));
    play.ticks(20);
    expect_that!(play.call("call=rollouts.start", ORDER), some(eq(200)));
}

#[gtest]
fn a_good_version_is_finished_once_the_proxy_has_drained_the_old_one() {
    let mut play = Play::with_server("v1");
    play.call("call=rollouts.start", ORDER);
    play.report(0, false, 0);
    expect_that!(play.permits, is_empty(), "no server of the new version is there");
    play.server("i2", "v2");
    play.until(Stage::Cutover, 0);
    expect_that!(play.permits, not(is_empty()));
    play.ticks(30);
    expect_that!(play.rollout().stage, eq(Stage::Cutover), "it has not reported that it has");
    play.until(Stage::Finished, 0);
}

#[gtest]
fn a_bad_version_is_reverted_and_nothing_is_permitted_after_that() {
    let mut play = Play::with_server("v1");
    play.call("call=rollouts.start", ORDER);
    play.server("i2", "v2");
    play.until(Stage::Reverted, 40);
    play.permits.clear();
    play.report(9, false, 40);
    expect_that!(play.permits, is_empty());
}
