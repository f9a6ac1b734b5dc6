//! Ticks while received messages are not handled yet: peers are not taken for silent, and no majority is presumed, because of
//! messages that wait here.

use googletest::prelude::*;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_config_state::server::{Heartbeat, Server, ServerState};
use pinerelay_consensus::Membership;
use pinerelay_peer_link::message::{Hello, Metric, PeerMessage, Role};
use pinerelay_registry::control_call::ControlCall;
use pinerelay_registry::registry::{Output, Registry, RegistryConfig};

const MS: u64 = 1_000;
const STORE: u64 = 1;
const OTHER: u64 = 2;
const OBSERVER: u64 = 3;
const PROXIES: std::ops::Range<u64> = 10..14;

fn hello(role: Role, machine: u64) -> Hello {
    Hello { node: format!("{role:?}-{machine}"), ip: format!("127.0.0.{machine}"), role, process_id: 1 }
}

/// The registry of machine 1, one of two voters, that is linked to its store, the other registry and four proxies.
fn linked_registry() -> Registry {
    let config = RegistryConfig {
        hello: hello(Role::Registry, 1),
        first_start: true,
        heartbeat_interval: 200 * MS,
        quota_bounds: QuotaBounds::default(),
        seeds: vec!["127.0.0.1".into(), "127.0.0.2".into()],
        time_of_day: 0,
        rollouts: Default::default(),
    };
    let mut registry = Registry::new(0, config);
    receive(&mut registry, 0, STORE, PeerMessage::Hello(hello(Role::ConfigStore, 1)));
    let status =
        PeerMessage::StoreStatus { membership: Membership::default(), is_complete: true, is_current: true };
    receive(&mut registry, 0, STORE, status);
    receive(&mut registry, 0, OTHER, PeerMessage::Hello(hello(Role::Registry, 2)));
    receive(&mut registry, 0, OBSERVER, PeerMessage::Hello(hello(Role::Observer, 3)));
    for proxy in PROXIES {
        receive(&mut registry, 0, proxy, PeerMessage::Hello(hello(Role::Proxy, proxy)));
    }
    registry
}

fn receive(registry: &mut Registry, now: u64, connection: u64, message: PeerMessage) -> Vec<Output> {
    let mut out = Vec::new();
    registry.receive(now, connection, message, &mut out);
    out
}

/// Ticks every 100 ms from one time to another, while messages that arrived after `handled_until` are not handled.
fn tick_behind(registry: &mut Registry, from: u64, to: u64, handled_until: u64) -> Vec<Output> {
    let mut out = Vec::new();
    for now in (from..=to).step_by(100) {
        registry.tick_with_backlog(now * MS, now.saturating_sub(handled_until) * MS, &mut out);
    }
    out
}

fn metric(registry: &mut Registry, now: u64, name: &str) -> f64 {
    let out = receive(registry, now * MS, OBSERVER, PeerMessage::MetricsRequest);
    let metrics: Vec<&Metric> = out
        .iter()
        .flat_map(|output| match output {
            Output::Send(OBSERVER, PeerMessage::Metrics(metrics)) => metrics.iter().collect(),
            _ => Vec::new(),
        })
        .collect();
    metrics.iter().find(|metric| metric.name == name).map_or(f64::NAN, |metric| metric.value)
}

#[gtest]
fn proxies_whose_messages_wait_here_are_not_missing() {
    let mut registry = linked_registry();
    tick_behind(&mut registry, 100, 2_000, 100);
    expect_that!(metric(&mut registry, 2_000, "registry_proxies_missing"), eq(0.0));
    // Three of the four have sent something until 1.9 s, as it turns out; what arrived later is not handled.
    for proxy in PROXIES.skip(1) {
        receive(&mut registry, 2_050 * MS, proxy, PeerMessage::KeepAlive);
    }
    tick_behind(&mut registry, 2_100, 2_500, 1_900);
    expect_that!(metric(&mut registry, 2_500, "registry_proxies_missing"), eq(1.0));
}

#[gtest]
fn proxies_that_are_silent_are_missing_once_all_messages_are_handled() {
    let mut registry = linked_registry();
    tick_behind(&mut registry, 100, 600, 600);
    expect_that!(metric(&mut registry, 600, "registry_proxies_missing"), eq(0.0));
    tick_behind(&mut registry, 700, 700, 700);
    expect_that!(metric(&mut registry, 700, "registry_proxies_missing"), eq(4.0));
}

/// Sends a heartbeat; returns the status of the answer.
fn heartbeat(registry: &mut Registry, now: u64, id: &str) -> Option<u16> {
    let server = Server {
        service: "s".into(),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        zone: "z".into(),
        revision: "v".into(),
        capacity: 1,
        state: ServerState::Ready,
        warmup_ms: 0,
    };
    let mut out = Vec::new();
    let heartbeat = Heartbeat { server, call_count: 1 };
    registry.call(now * MS, 1, ControlCall::Heartbeat { id: id.into(), heartbeat }, &mut out);
    out.iter().find_map(|output| match output {
        Output::Answer(1, reply) => Some(reply.status),
        _ => None,
    })
}

#[gtest]
fn no_majority_is_presumed_behind_a_long_backlog() {
    let mut registry = linked_registry();
    tick_behind(&mut registry, 100, 2_000, 2_000);
    expect_that!(heartbeat(&mut registry, 2_050, "a"), some(eq(200)));
    tick_behind(&mut registry, 2_100, 2_500, 2_000);
    expect_that!(heartbeat(&mut registry, 2_600, "a"), some(eq(200)));
    // The end of the link to the other registry may be among the messages of the last 0.7 s.
    tick_behind(&mut registry, 2_600, 2_700, 2_000);
    expect_that!(heartbeat(&mut registry, 2_750, "a"), some(eq(503)));
    tick_behind(&mut registry, 2_800, 2_800, 2_800);
    expect_that!(heartbeat(&mut registry, 2_850, "a"), some(eq(200)));
}

#[gtest]
fn servers_whose_heartbeats_wait_here_are_not_lost() {
    let mut registry = linked_registry();
    tick_behind(&mut registry, 100, 3_000, 3_000);
    heartbeat(&mut registry, 3_000, "a");
    // A server is lost after 3.2 intervals of 0.2 s. Another registry's report of a heartbeat may be queued here.
    tick_behind(&mut registry, 3_100, 4_000, 3_600);
    expect_that!(metric(&mut registry, 4_000, "registry_servers_lost_total"), eq(0.0));
    tick_behind(&mut registry, 4_100, 4_100, 3_700);
    expect_that!(metric(&mut registry, 4_100, "registry_servers_lost_total"), eq(1.0));
}

#[gtest]
fn a_store_whose_messages_wait_here_gets_calls_and_is_not_replaced() {
    let mut registry = linked_registry();
    tick_behind(&mut registry, 100, 2_000, 900);
    let other_store = ("127.0.0.2".to_string(), Role::ConfigStore);
    expect_that!(registry.wanted_links().contains(&other_store), eq(false));
    let mut out = Vec::new();
    registry.call(2_000 * MS, 5, ControlCall::Read, &mut out);
    expect_that!(out, elements_are![matches_pattern!(Output::Send(eq(&STORE), anything()))]);
    // The same silence, without a backlog.
    tick_behind(&mut registry, 2_100, 2_100, 2_100);
    expect_that!(registry.wanted_links().contains(&other_store), eq(true));
    out.clear();
    registry.call(2_100 * MS, 6, ControlCall::Read, &mut out);
    expect_that!(out, elements_are![matches_pattern!(Output::Answer(eq(&6), anything()))]);
}
