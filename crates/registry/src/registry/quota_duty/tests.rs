//! The number of proxies that may hold a share of which an allocator does not know.

use googletest::prelude::*;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_peer_link::message::{Hello, RegistryStatus, Role};

use super::*;
use crate::registry::RegistryConfig;

const TENANT: &str = "t";
const STORE: u64 = 1;
const OTHER: u64 = 2;

fn hello(role: Role, machine: u64) -> Hello {
    Hello { node: format!("edge-{machine}"), ip: format!("127.0.0.{machine}"), role, process_id: 1 }
}

/// The registry of machine 1, one of two, that is linked to its store, the other registry and three proxies.
fn registry() -> Registry {
    let config = RegistryConfig {
        hello: hello(Role::Registry, 1),
        first_start: true,
        heartbeat_interval: 1_500_000,
        quota_bounds: QuotaBounds::default(),
        seeds: vec!["127.0.0.1".into(), "127.0.0.2".into()],
        time_of_day: 0,
        rollouts: Default::default(),
    };
    let mut registry = Registry::new(0, config);
    let mut out = Vec::new();
    registry.receive(0, STORE, PeerMessage::Hello(hello(Role::ConfigStore, 1)), &mut out);
    registry.receive(0, OTHER, PeerMessage::Hello(hello(Role::Registry, 2)), &mut out);
    for proxy in 10..13 {
        registry.receive(0, proxy, PeerMessage::Hello(hello(Role::Proxy, proxy)), &mut out);
    }
    registry
}

/// The other registry reports its number of proxies.
fn report_proxies(registry: &mut Registry, proxies: u32) {
    let status = RegistryStatus {
        registries: Vec::new(),
        voters: Vec::new(),
        epoch: 0,
        epoch_settled: false,
        proxies,
        has_majority: true,
        is_complete: true,
        is_current: true,
    };
    registry.receive(0, OTHER, PeerMessage::RegistryStatus(status), &mut Vec::new());
}

/// The machine's store sends the proxies that an earlier process knew.
fn report_known(registry: &mut Registry, nodes: &[&str]) {
    let nodes = nodes.iter().map(|node| node.to_string()).collect();
    registry.receive(0, STORE, PeerMessage::KnownProxies(nodes), &mut Vec::new());
}

#[gtest]
fn all_proxies_are_unheard_until_the_store_has_sent_its_list() {
    let mut registry = registry();
    let fleet = registry.fleet_of(TENANT);
    expect_that!(fleet, eq(Fleet::unknown(3)));
    expect_that!(fleet.max_unheard_share(), ge(0.95), "all that a previous allocator may have granted");
    report_known(&mut registry, &[]);
    expect_that!(registry.fleet_of(TENANT).unheard, eq(0));
    expect_that!(registry.fleet_of(TENANT).max_unheard_share(), eq(0.0));
}

#[gtest]
fn proxies_that_only_another_registry_knows_are_unheard() {
    let mut registry = registry();
    report_known(&mut registry, &[]);
    report_proxies(&mut registry, 5);
    expect_that!(registry.fleet_of(TENANT).unheard, eq(2));
    report_proxies(&mut registry, 3);
    expect_that!(registry.fleet_of(TENANT).unheard, eq(0));
}

#[gtest]
fn missing_proxies_are_unheard_unless_the_allocator_knows_them() {
    let mut registry = registry();
    report_known(&mut registry, &["edge-10", "edge-20", "edge-21"]);
    expect_that!(registry.fleet_of(TENANT).unheard, eq(2), "the first one is linked");
    // One proxy requests a lease; then all three fall silent on their open links.
    let mut allocator = QuotaAllocator::new(0, Quota { rate: 10.0, burst: 10.0 });
    allocator.draw(0, "edge-10", Fleet { proxies: 3, unheard: 2 }, &Default::default());
    registry.quota_duty.allocators.insert(TENANT.into(), allocator);
    registry.tick(700_000, &mut Vec::new());
    expect_that!(registry.fleet_of(TENANT).unheard, eq(4));
    report_proxies(&mut registry, 6);
    expect_that!(registry.fleet_of(TENANT).unheard, eq(5), "of six, five are known here");
    // A missing proxy sends a message again.
    registry.receive(750_000, 11, PeerMessage::KeepAlive, &mut Vec::new());
    expect_that!(registry.fleet_of(TENANT).unheard, eq(4));
    // The tenant's slice is acquired again: its allocator starts anew.
    registry.on_slice_acquired(800_000, slice_of(TENANT));
    expect_that!(registry.fleet_of(TENANT).unheard, eq(5));
}
