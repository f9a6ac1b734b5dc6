//! What a registry says and acknowledges while it is cut off: whether it is current, heartbeats, leavings.

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

fn hello(role: Role, n: u64, life: u64) -> Hello {
    Hello { node: format!("n{n}"), ip: ip(n), role, process_id: life }
}

/// The registry of machine 1, of three that vote.
struct Play {
    registry: Registry,
    now: u64,
}

impl Play {
    fn new() -> Play {
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
        Play { registry: Registry::new(0, config), now: 0 }
    }

    /// With its store, a proxy and both other registries linked.
    fn linked() -> Play {
        let mut play = Play::new();
        play.said(STORE, PeerMessage::Hello(hello(Role::ConfigStore, 1, 7)));
        play.said(PROXY, PeerMessage::Hello(hello(Role::Proxy, 9, 7)));
        play.link(2);
        play.link(3);
        play.pass(100);
        play
    }

    fn link(&mut self, n: u64) {
        self.said(REGISTRIES[n as usize - 2], PeerMessage::Hello(hello(Role::Registry, n, 7)));
    }

    fn cut(&mut self) {
        for peer in [PROXY].into_iter().chain(REGISTRIES) {
            self.registry.disconnected(self.now, peer, &mut Vec::new());
        }
    }

    fn said(&mut self, peer: u64, message: PeerMessage) -> Vec<Output> {
        let mut out = Vec::new();
        self.registry.receive(self.now, peer, message, &mut out);
        out
    }

    /// So many milliseconds pass, with a tick each hundred.
    fn pass(&mut self, ms: u64) -> Vec<Output> {
        let mut out = Vec::new();
        for _ in 0..ms / 100 {
            self.now += 100 * MS;
            self.registry.tick(self.now, &mut out);
        }
        out
    }

    fn store_stands(&mut self, epoch: u64, members: [u64; 3], before: &[u64], current: bool) -> Vec<Output> {
        let member = |&n: &u64| Member { name: ip(n), incarnation: 0 };
        let before = before.iter().map(|&n| ip(n)).collect();
        let membership =
            Membership { epoch, members: members.iter().map(member).collect(), previous: before };
        self.said(STORE, PeerMessage::StoreStatus { membership, is_complete: true, is_current: current })
    }

    fn confirmed(&mut self, asked: u64, epoch: u64, digest: u64) -> Vec<Output> {
        self.said(STORE, PeerMessage::Current { asked_at: asked, epoch, digest, lease_left: LEASE_DURATION })
    }

    fn is_current(&self) -> bool {
        self.registry.is_current(self.now)
    }

    /// A server calls: the status of the answer, if there is one yet.
    fn call(&mut self, call: ControlCall) -> (Option<u16>, Vec<Output>) {
        let mut out = Vec::new();
        self.registry.call(self.now, 5, call, &mut out);
        (status(&out), out)
    }

    fn heartbeat(&mut self, state: ServerState, calls: u64) -> (Option<u16>, Vec<Output>) {
        let server = Server {
            service: "s".into(),
            address: "10.0.0.1:80".parse().expect("an address"),
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
        Output::Answer(5, answered) => Some(answered.status),
        _ => None,
    })
}

fn standings(out: &[Output]) -> Vec<&RegistryStatus> {
    let said = out.iter().filter_map(|output| match output {
        Output::Broadcast(peers, PeerMessage::RegistryStatus(current_items)) if peers.contains(&PROXY) => {
            Some(current_items)
        }
        _ => None,
    });
    said.collect()
}

fn config() -> Vec<Item> {
    let text = r#"{"upsert":{"services":{"column_names":["name","revision"],"records":[["s",5]]}}}"#;
    operator_call::parse_update(text.as_bytes()).expect("a configuration")
}

#[gtest]
fn it_is_current_by_a_store_s_word_for_what_it_has_and_for_a_while() {
    let mut play = Play::linked();
    let asks = play.store_stands(1, [1, 2, 3], &[], true);
    expect_that!(asks, contains(eq(&Output::Send(STORE, PeerMessage::ConfirmCurrent(play.now)))));
    let mut item_set = ItemSet::default();
    item_set.merge_all(config());
    play.confirmed(play.now, 1, item_set.digest());
    play.said(STORE, PeerMessage::Digests([item_set.digest(), 0]));
    expect_that!(play.is_current(), eq(false), "it lacks what the store has");
    let reported = play.said(STORE, PeerMessage::Update(config()));
    expect_that!(play.is_current(), eq(true));
    expect_that!(
        standings(&reported).iter().filter(|s| s.is_current).count(),
        eq(1),
        "who starts waits for it"
    );
    // What it has can't get less, whatever comes to it.
    let more = r#"{"upsert":{"services":{"column_names":["name","revision"],"records":[["t",6]]}}}"#;
    play.said(
        STORE,
        PeerMessage::Update(operator_call::parse_update(more.as_bytes()).expect("a configuration")),
    );
    expect_that!(play.is_current(), eq(true));
    let over = play.pass(LEASE_DURATION / MS + 100);
    expect_that!(play.is_current(), eq(false));
    expect_that!(standings(&over).last().map(|s| (s.is_complete, s.is_current)), some(eq((true, false))));
}

#[gtest]
fn a_word_that_a_freeze_or_a_link_held_up_counts_from_when_it_was_asked_for() {
    let mut play = Play::linked();
    play.store_stands(1, [1, 2, 3], &[], true);
    let (asked, empty) = (play.now, ItemSet::default().digest());
    play.now += LEASE_DURATION - MS;
    play.confirmed(asked, 1, empty);
    expect_that!(play.is_current(), eq(true));
    play.now += MS;
    expect_that!(play.is_current(), eq(false));
    play.now += 20_000 * MS;
    let before_the_tick = play.confirmed(asked, 1, empty);
    expect_that!(play.is_current(), eq(false));
    expect_that!(standings(&before_the_tick).iter().any(|s| s.is_current), eq(false));
}

#[gtest]
fn a_store_s_lease_is_handed_on_with_what_is_left_of_it() {
    let mut play = Play::linked();
    play.store_stands(1, [1, 2, 3], &[], true);
    let (asked, empty) = (play.now, ItemSet::default().digest());
    play.now += 100 * MS;
    play.said(STORE, PeerMessage::Current { asked_at: asked, epoch: 1, digest: empty, lease_left: 500 * MS });
    let asks = |play: &mut Play| {
        let answers = play.said(PROXY, PeerMessage::ConfirmCurrent(77));
        answers.into_iter().find_map(|output| match output {
            Output::Send(
                PROXY,
                PeerMessage::Current { asked_at: 77, epoch: 1, digest, lease_left: left },
            ) => Some((digest, left)),
            _ => None,
        })
    };
    expect_that!(asks(&mut play), some(eq((empty, 400 * MS))), "it counts from when the store was asked");
    play.now += 399 * MS;
    expect_that!(asks(&mut play), some(eq((empty, MS))));
    play.now += MS;
    expect_that!(play.is_current(), eq(false));
    expect_that!(asks(&mut play), none());
    // No store's word makes it longer than a lease is.
    let asked = play.now;
    play.said(STORE, PeerMessage::Current { asked_at: asked, epoch: 1, digest: empty, lease_left: u64::MAX });
    expect_that!(asks(&mut play), some(eq((empty, LEASE_DURATION))));
}

#[gtest]
fn one_that_is_cut_off_hears_beats_and_sends_the_server_on() {
    let mut play = Play::new();
    expect_that!(
        play.heartbeat(ServerState::Ready, 1).0,
        some(eq(200)),
        "a process that begins has no links yet"
    );
    play.pass(1_100);
    expect_that!(play.heartbeat(ServerState::Ready, 2).0, some(eq(503)));
    let mut play = Play::linked();
    play.pass(2_000);
    expect_that!(play.heartbeat(ServerState::Ready, 1).0, some(eq(200)));
    play.cut();
    play.said(PROXY, PeerMessage::Hello(hello(Role::Proxy, 9, 7)));
    play.pass(100);
    let (refused, reported) = play.heartbeat(ServerState::Draining, 2);
    expect_that!(refused, some(eq(503)));
    let updates = |output: &Output| matches!(output, Output::Broadcast(to, PeerMessage::Update(_)) if to.contains(&PROXY));
    expect_that!(reported.iter().any(updates), eq(true), "proxies on its side are told all the same");
    expect_that!(
        play.heartbeat(ServerState::Ready, 1).0,
        some(eq(503)),
        "nor is what changes nothing acknowledged"
    );
    expect_that!(play.call(ControlCall::Leave { id: "i".into() }).0, some(eq(503)));
    // With a majority it is as before.
    play.link(2);
    play.pass(100);
    expect_that!(play.heartbeat(ServerState::Ready, 1).0, some(eq(200)));
    // Thawed before time has passed for it: its links may be gone.
    play.now += 20_000 * MS;
    expect_that!(play.heartbeat(ServerState::Ready, 1).0, some(eq(503)));
}

#[gtest]
fn a_leaving_is_held_by_one_that_reaches_a_majority() {
    let hold =
        |play: &mut Play| play.said(REGISTRIES[0], PeerMessage::Replicate { number: 8, items: Vec::new() });
    let held = Output::Send(REGISTRIES[0], PeerMessage::Replicated(8));
    let mut play = Play::linked();
    play.pass(2_000);
    expect_that!(hold(&mut play), contains(eq(&held)));
    // Beside one that does not vote it is cut off with it.
    play.cut();
    play.said(REGISTRIES[0], PeerMessage::Hello(hello(Role::Registry, 8, 7)));
    play.pass(100);
    expect_that!(hold(&mut play), not(contains(eq(&held))));
    // Its own leavings wait for the other's word.
    let (none_yet, _) = play.heartbeat(ServerState::Draining, 1);
    expect_that!(none_yet, none());
    expect_that!(status(&play.pass(800)), some(eq(503)));
}

#[gtest]
fn servers_that_nobody_acknowledged_have_longer_to_call_again() {
    let lost = |after: u64| {
        let mut play = Play::linked();
        play.pass(2_000);
        play.heartbeat(ServerState::Ready, 1);
        play.cut();
        play.pass(after);
        play.link(2);
        let reported = play.pass(20_000);
        let lost = reported.iter().position(|o| matches!(o, Output::Broadcast(_, PeerMessage::Update(_))));
        // Each tick is a hundred milliseconds; what is said between does not matter here.
        lost.map(|at| {
            reported[..at]
                .iter()
                .filter(|o| matches!(o, Output::Broadcast(_, PeerMessage::HeartbeatsSeen(_))))
                .count()
        })
    };
    let (short, long) = (lost(500), lost(20_000));
    expect_that!(short, some(le(10)), "pulses of 600 ms: 4.8 s and what the cut took");
    expect_that!(long, some(ge(22)), "9.6 s more");
}

#[gtest]
fn while_voters_change_news_are_passed_on_and_both_epochs_are_reached() {
    let mut play = Play::linked();
    let passes = |play: &mut Play, revision: u64| {
        let text = format!(
            r#"{{"upsert":{{"services":{{"column_names":["name","revision"],"records":[["s",{revision}]]}}}}}}"#
        );
        let out = play.said(
            REGISTRIES[0],
            PeerMessage::Update(operator_call::parse_update(text.as_bytes()).expect("a configuration")),
        );
        out.iter().any(|o| matches!(o, Output::Broadcast(to, PeerMessage::Update(_)) if to.contains(&PROXY)))
    };
    play.store_stands(1, [1, 2, 3], &[], true);
    expect_that!(passes(&mut play, 5), eq(false), "the other voter's own links carry it");
    play.store_stands(2, [1, 2, 4], &[1, 2, 3], true);
    expect_that!(passes(&mut play, 6), eq(true), "proxies may not be linked to a new one yet");
    let others = play.registry.other_registries();
    expect_that!(others, unordered_elements_are![eq(&ip(2)), eq(&ip(3)), eq(&ip(4))]);
    // An older word changes nothing.
    play.store_stands(1, [1, 2, 3], &[], true);
    let reported = play.pass(1_000);
    let last = standings(&reported).last().map(|s| (s.epoch, s.epoch_settled, s.voters.contains(&ip(4))));
    expect_that!(last, some(eq((2, false, true))));
    let reported = play.pass(6_000);
    expect_that!(standings(&reported).last().map(|s| s.epoch_settled), some(eq(true)));
}
