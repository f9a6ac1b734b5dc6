//! A partitioned registry: when its configuration counts as current, and which heartbeats and deregistrations it acknowledges.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_config_state::operator_call;
use pinerelay_config_state::server::{Heartbeat, Server, ServerState};
use pinerelay_config_state::{Item, ItemSet};
use pinerelay_consensus::{Member, Membership};
use pinerelay_peer_link::message::{Hello, PeerMessage, RegistryStatus, Role, LEASE_DURATION};
use pinerelay_registry::control_call::ControlCall;
use pinerelay_registry::registry::{Output, Registry, RegistryConfig};

const MS: u64 = 1_000;
const STORE: u64 = 1;
const PROXY: u64 = 2;
const REGISTRIES: [u64; 2] = [3, 4];

fn ip(n: u64) -> String {
    format!("127.0.0.{n}")
}

fn hello(role: Role, n: u64, process: u64) -> Hello {
    Hello { node: format!("n{n}"), ip: ip(n), role, process_id: process }
}

/// The registry of machine 1, one of three voters, with a simulated clock and peers.
struct Simulation {
    registry: Registry,
    now: u64,
}

impl Simulation {
    fn new() -> Simulation {
        let bounds = QuotaBounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 };
        let hello = hello(Role::Registry, 1, 1);
        let seeds = (1..4).map(ip).collect();
        let config = RegistryConfig {
            hello,
            first_start: false,
            heartbeat_interval: 1_500_000,
            quota_bounds: bounds,
            seeds,
            time_of_day: 0,
            rollouts: Default::default(),
        };
        Simulation { registry: Registry::new(0, config), now: 0 }
    }

    /// A registry that is linked to its store, a proxy and both other registries.
    fn linked() -> Simulation {
        let mut sim = Simulation::new();
        sim.receive_from(STORE, PeerMessage::Hello(hello(Role::ConfigStore, 1, 7)));
        sim.receive_from(PROXY, PeerMessage::Hello(hello(Role::Proxy, 9, 7)));
        sim.link(2);
        sim.link(3);
        sim.advance(100);
        sim
    }

    fn link(&mut self, n: u64) {
        self.receive_from(REGISTRIES[n as usize - 2], PeerMessage::Hello(hello(Role::Registry, n, 7)));
    }

    fn disconnect_all_but_store(&mut self) {
        for connection in [PROXY].into_iter().chain(REGISTRIES) {
            self.registry.disconnected(self.now, connection, &mut Vec::new());
        }
    }

    fn receive_from(&mut self, connection: u64, message: PeerMessage) -> Vec<Output> {
        let mut out = Vec::new();
        self.registry.receive(self.now, connection, message, &mut out);
        out
    }

    /// Advances the time by `ms` milliseconds, with a tick every 100 ms.
    fn advance(&mut self, ms: u64) -> Vec<Output> {
        let mut out = Vec::new();
        for _ in 0..ms / 100 {
            self.now += 100 * MS;
            self.registry.tick(self.now, &mut out);
        }
        out
    }

    fn receive_store_status(
        &mut self,
        epoch: u64,
        members: [u64; 3],
        previous_voters: &[u64],
        current: bool,
    ) -> Vec<Output> {
        let member = |&n: &u64| Member { name: ip(n), incarnation: 0 };
        let previous_voters = previous_voters.iter().map(|&n| ip(n)).collect();
        let membership =
            Membership { epoch, members: members.iter().map(member).collect(), previous: previous_voters };
        self.receive_from(
            STORE,
            PeerMessage::StoreStatus { membership, is_complete: true, is_current: current },
        )
    }

    fn receive_confirmation(&mut self, asked: u64, epoch: u64, digest: u64) -> Vec<Output> {
        self.receive_from(
            STORE,
            PeerMessage::Current { asked_at: asked, epoch, digest, lease_left: LEASE_DURATION },
        )
    }

    fn is_current(&self) -> bool {
        self.registry.is_current(self.now)
    }

    /// Makes a call of a server. Returns the status of the answer, if there is one yet, and all outputs.
    fn call(&mut self, call: ControlCall) -> (Option<u16>, Vec<Output>) {
        let mut out = Vec::new();
        self.registry.call(self.now, 5, call, &mut out);
        (status(&out), out)
    }

    fn heartbeat(&mut self, state: ServerState, calls: u64) -> (Option<u16>, Vec<Output>) {
        let server = Server {
            service: "s".into(),
            address: "10.0.0.1:80".parse().expect("a valid address"),
            zone: "z".into(),
            revision: "v".into(),
            capacity: 1,
            state,
            warmup_ms: 0,
        };
        self.call(ControlCall::Heartbeat {
            id: "i".into(),
            heartbeat: Heartbeat { server, call_count: calls },
        })
    }
}

fn status(out: &[Output]) -> Option<u16> {
    out.iter().find_map(|output| match output {
        Output::Answer(5, answer) => Some(answer.status),
        _ => None,
    })
}

fn statuses_to_proxy(out: &[Output]) -> Vec<&RegistryStatus> {
    let statuses = out.iter().filter_map(|output| match output {
        Output::Broadcast(connections, PeerMessage::RegistryStatus(status_message))
            if connections.contains(&PROXY) =>
        {
            Some(status_message)
        }
        _ => None,
    });
    statuses.collect()
}

fn config() -> Vec<Item> {
    let text = r#"{"upsert":{"services":{"column_names":["name","revision"],"records":[["s",5]]}}}"#;
    operator_call::parse_update(text.as_bytes()).expect("a configuration")
}

#[gtest]
fn a_registry_is_current_while_a_store_s_confirmation_of_its_digest_lasts() {
    let mut sim = Simulation::linked();
    let outputs = sim.receive_store_status(1, [1, 2, 3], &[], true);
    expect_that!(outputs, contains(eq(&Output::Send(STORE, PeerMessage::ConfirmCurrent(sim.now)))));
    let mut item_set = ItemSet::default();
    item_set.merge_all(config());
    sim.receive_confirmation(sim.now, 1, item_set.digest());
    sim.receive_from(STORE, PeerMessage::Digests([item_set.digest(), 0]));
    expect_that!(sim.is_current(), eq(false), "the registry does not have the store's items yet");
    let reported = sim.receive_from(STORE, PeerMessage::Update(config()));
    expect_that!(sim.is_current(), eq(true));
    expect_that!(
        statuses_to_proxy(&reported).iter().filter(|s| s.is_current).count(),
        eq(1),
        "a starting proxy waits for the status"
    );
    // Later items do not end the lease: the confirmed ones are still included.
    let more = r#"{"upsert":{"services":{"column_names":["name","revision"],"records":[["t",6]]}}}"#;
    sim.receive_from(
        STORE,
        PeerMessage::Update(operator_call::parse_update(more.as_bytes()).expect("a configuration")),
    );
    expect_that!(sim.is_current(), eq(true));
    let after_lease = sim.advance(LEASE_DURATION / MS + 100);
    expect_that!(sim.is_current(), eq(false));
    expect_that!(
        statuses_to_proxy(&after_lease).last().map(|s| (s.is_complete, s.is_current)),
        some(eq((true, false)))
    );
}

#[gtest]
fn a_delayed_confirmation_counts_from_when_it_was_requested() {
    let mut sim = Simulation::linked();
    sim.receive_store_status(1, [1, 2, 3], &[], true);
    let (asked, empty) = (sim.now, ItemSet::default().digest());
    sim.now += LEASE_DURATION - MS;
    sim.receive_confirmation(asked, 1, empty);
    expect_that!(sim.is_current(), eq(true));
    sim.now += MS;
    expect_that!(sim.is_current(), eq(false));
    sim.now += 20_000 * MS;
    let before_tick = sim.receive_confirmation(asked, 1, empty);
    expect_that!(sim.is_current(), eq(false));
    expect_that!(statuses_to_proxy(&before_tick).iter().any(|s| s.is_current), eq(false));
}

#[gtest]
fn a_proxy_gets_the_remaining_time_of_the_store_s_lease() {
    let mut sim = Simulation::linked();
    sim.receive_store_status(1, [1, 2, 3], &[], true);
    let (asked, empty) = (sim.now, ItemSet::default().digest());
    sim.now += 100 * MS;
    sim.receive_from(
        STORE,
        PeerMessage::Current { asked_at: asked, epoch: 1, digest: empty, lease_left: 500 * MS },
    );
    let lease_for_proxy = |sim: &mut Simulation| {
        let answers = sim.receive_from(PROXY, PeerMessage::ConfirmCurrent(77));
        answers.into_iter().find_map(|output| match output {
            Output::Send(
                PROXY,
                PeerMessage::Current { asked_at: 77, epoch: 1, digest, lease_left: left },
            ) => Some((digest, left)),
            _ => None,
        })
    };
    expect_that!(
        lease_for_proxy(&mut sim),
        some(eq((empty, 400 * MS))),
        "the lease counts from when the store was asked"
    );
    sim.now += 399 * MS;
    expect_that!(lease_for_proxy(&mut sim), some(eq((empty, MS))));
    sim.now += MS;
    expect_that!(sim.is_current(), eq(false));
    expect_that!(lease_for_proxy(&mut sim), none());
    // A store's confirmation cannot extend the lease beyond its maximum duration.
    let asked = sim.now;
    sim.receive_from(
        STORE,
        PeerMessage::Current { asked_at: asked, epoch: 1, digest: empty, lease_left: u64::MAX },
    );
    expect_that!(lease_for_proxy(&mut sim), some(eq((empty, LEASE_DURATION))));
}

#[gtest]
fn a_partitioned_registry_keeps_heartbeats_but_answers_503() {
    let mut sim = Simulation::new();
    expect_that!(
        sim.heartbeat(ServerState::Ready, 1).0,
        some(eq(200)),
        "a starting process may have no links yet"
    );
    sim.advance(1_100);
    expect_that!(sim.heartbeat(ServerState::Ready, 2).0, some(eq(503)));
    let mut sim = Simulation::linked();
    sim.advance(2_000);
    expect_that!(sim.heartbeat(ServerState::Ready, 1).0, some(eq(200)));
    sim.disconnect_all_but_store();
    sim.receive_from(PROXY, PeerMessage::Hello(hello(Role::Proxy, 9, 7)));
    sim.advance(100);
    let (rejected, reported) = sim.heartbeat(ServerState::Draining, 2);
    expect_that!(rejected, some(eq(503)));
    let updates = |output: &Output| matches!(output, Output::Broadcast(to, PeerMessage::Update(_)) if to.contains(&PROXY));
    expect_that!(
        reported.iter().any(updates),
        eq(true),
        "proxies on its side of the partition get the update"
    );
    expect_that!(
        sim.heartbeat(ServerState::Ready, 1).0,
        some(eq(503)),
        "a heartbeat without changes is not acknowledged, either"
    );
    expect_that!(sim.call(ControlCall::Leave { id: "i".into() }).0, some(eq(503)));
    // With a majority, heartbeats are acknowledged again.
    sim.link(2);
    sim.advance(100);
    expect_that!(sim.heartbeat(ServerState::Ready, 1).0, some(eq(200)));
    // Before the first tick after a stall: links may have broken meanwhile.
    sim.now += 20_000 * MS;
    expect_that!(sim.heartbeat(ServerState::Ready, 1).0, some(eq(503)));
}

#[gtest]
fn a_deregistration_is_acknowledged_only_with_a_majority() {
    let replicate = |sim: &mut Simulation| {
        sim.receive_from(REGISTRIES[0], PeerMessage::Replicate { number: 8, items: Vec::new() })
    };
    let acknowledgement = Output::Send(REGISTRIES[0], PeerMessage::Replicated(8));
    let mut sim = Simulation::linked();
    sim.advance(2_000);
    expect_that!(replicate(&mut sim), contains(eq(&acknowledgement)));
    // Linked only to a registry that does not vote, it reaches no majority.
    sim.disconnect_all_but_store();
    sim.receive_from(REGISTRIES[0], PeerMessage::Hello(hello(Role::Registry, 8, 7)));
    sim.advance(100);
    expect_that!(replicate(&mut sim), not(contains(eq(&acknowledgement))));
    // Its own deregistrations wait for an acknowledgement of the other registry.
    let (none_yet, _) = sim.heartbeat(ServerState::Draining, 1);
    expect_that!(none_yet, none());
    expect_that!(status(&sim.advance(800)), some(eq(503)));
}

#[gtest]
fn loss_detection_is_postponed_longer_after_a_longer_outage() {
    let lost = |outage: u64| {
        let mut sim = Simulation::linked();
        sim.advance(2_000);
        sim.heartbeat(ServerState::Ready, 1);
        sim.disconnect_all_but_store();
        sim.advance(outage);
        sim.link(2);
        let reported = sim.advance(20_000);
        let lost = reported.iter().position(|o| matches!(o, Output::Broadcast(_, PeerMessage::Update(_))));
        // The elapsed time is measured by the status intervals before the update.
        lost.map(|at| {
            reported[..at]
                .iter()
                .filter(|o| matches!(o, Output::Broadcast(_, PeerMessage::HeartbeatsSeen(_))))
                .count()
        })
    };
    let (short, long) = (lost(500), lost(20_000));
    expect_that!(short, some(le(10)), "status intervals of 600 ms: 4.8 s and the outage");
    expect_that!(long, some(ge(22)), "9.6 s more");
}

#[gtest]
fn during_a_change_of_voters_updates_are_relayed_and_both_epochs_are_linked() {
    let mut sim = Simulation::linked();
    let is_relayed = |sim: &mut Simulation, revision: u64| {
        let text = format!(
            r#"{{"upsert":{{"services":{{"column_names":["name","revision"],"records":[["s",{revision}]]}}}}}}"#
        );
        let out = sim.receive_from(
            REGISTRIES[0],
            PeerMessage::Update(operator_call::parse_update(text.as_bytes()).expect("a configuration")),
        );
        out.iter().any(|o| matches!(o, Output::Broadcast(to, PeerMessage::Update(_)) if to.contains(&PROXY)))
    };
    sim.receive_store_status(1, [1, 2, 3], &[], true);
    expect_that!(
        is_relayed(&mut sim, 5),
        eq(false),
        "the other voter sends its update to the proxies itself"
    );
    sim.receive_store_status(2, [1, 2, 4], &[1, 2, 3], true);
    expect_that!(is_relayed(&mut sim, 6), eq(true), "proxies may not be linked to a new voter yet");
    let others = sim.registry.other_registries();
    expect_that!(others, unordered_elements_are![eq(&ip(2)), eq(&ip(3)), eq(&ip(4))]);
    // The membership of an older epoch is ignored.
    sim.receive_store_status(1, [1, 2, 3], &[], true);
    let reported = sim.advance(1_000);
    let last =
        statuses_to_proxy(&reported).last().map(|s| (s.epoch, s.epoch_settled, s.voters.contains(&ip(4))));
    expect_that!(last, some(eq((2, false, true))));
    let reported = sim.advance(6_000);
    expect_that!(statuses_to_proxy(&reported).last().map(|s| s.epoch_settled), some(eq(true)));
}
