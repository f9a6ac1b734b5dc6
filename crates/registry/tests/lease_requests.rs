//! Lease requests at a registry that knows many proxies.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use pinerelay_admission::lease::{LeaseGrant, LeaseRequest};
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_config_state::operator_call;
use pinerelay_consensus::{Member, Membership};
use pinerelay_peer_link::message::{Hello, PeerMessage, Role, LEASE_DURATION};
use pinerelay_registry::registry::{Output, Registry, RegistryConfig};

const IP: &str = "127.0.0.1";
const STORE: u64 = 1;
/// The connection of the proxy that requests leases; further proxies have the next ones.
const PROXY: u64 = 10;
const TENANT: &str = "t";

fn hello(role: Role, number: u64) -> Hello {
    Hello { node: format!("{role:?}-{number}"), ip: IP.into(), role, process_id: 1 }
}

fn receive(registry: &mut Registry, now: u64, connection: u64, message: PeerMessage) -> Vec<Output> {
    let mut out = Vec::new();
    registry.receive(now, connection, message, &mut out);
    out
}

/// The only registry, which holds the duty for all tenants, linked to a number of proxies.
fn registry_with_proxies(count: u64) -> Registry {
    let config = RegistryConfig {
        hello: hello(Role::Registry, 0),
        first_start: true,
        heartbeat_interval: 1_500_000,
        quota_bounds: QuotaBounds::default(),
        seeds: vec![IP.into()],
        time_of_day: 0,
        rollouts: Default::default(),
    };
    let mut registry = Registry::new(0, config);
    receive(&mut registry, 0, STORE, PeerMessage::Hello(hello(Role::ConfigStore, 0)));
    let members = vec![Member { name: IP.into(), incarnation: 0 }];
    let membership = Membership { epoch: 1, members, previous: Vec::new() };
    let status = PeerMessage::StoreStatus { membership, is_complete: true, is_current: true };
    receive(&mut registry, 0, STORE, status);
    let current = PeerMessage::Current { asked_at: 0, epoch: 1, digest: 0, lease_left: LEASE_DURATION };
    receive(&mut registry, 0, STORE, current);
    receive(&mut registry, 0, STORE, PeerMessage::KnownProxies(Vec::new()));
    let tenants = format!(
        r#"{{"upsert":{{"tenants":{{"column_names":["name","revision","api_keys","rate_per_s","burst"],
        "records":[["{TENANT}",1,["k"],1000000,1000000]]}}}}}}"#
    );
    let items = operator_call::parse_update(tenants.as_bytes()).expect("a configuration");
    receive(&mut registry, 0, STORE, PeerMessage::Update(items));
    for proxy in PROXY..PROXY + count {
        receive(&mut registry, 0, proxy, PeerMessage::Hello(hello(Role::Proxy, proxy)));
    }
    registry.tick(100, &mut Vec::new());
    registry
}

/// Requests a unit; returns the answer.
fn request(registry: &mut Registry, now: u64) -> LeaseGrant {
    let request = LeaseRequest {
        tenant: TENANT.into(),
        wanted: 1.0,
        returned: 0.0,
        held_share: 0.0,
        share_spent: 0.0,
        share_spent_lately: 0.0,
        share_left: 0.0,
        fencing_token: 0,
    };
    let out = receive(registry, now, PROXY, PeerMessage::LeaseRequests(vec![request]));
    let grants = out.into_iter().find_map(|output| match output {
        Output::Send(PROXY, PeerMessage::LeaseGrants(grants)) => Some(grants),
        _ => None,
    });
    grants.and_then(|mut grants| grants.pop()).map(|grant| grant.grant).expect("a grant")
}

/// The shortest time that a number of requests has taken.
fn shortest_time(registry: &mut Registry) -> Duration {
    let time = |registry: &mut Registry| {
        let started = Instant::now();
        for now in 0..100 {
            assert!(matches!(request(registry, 1_000 + now), LeaseGrant::Units { .. }));
        }
        started.elapsed()
    };
    (0..50).map(|_| time(registry)).min().unwrap_or_default()
}

#[gtest]
fn the_cost_of_a_request_does_not_grow_with_the_number_of_proxies() {
    let few = shortest_time(&mut registry_with_proxies(4));
    let many = shortest_time(&mut registry_with_proxies(4_096));
    // Look-ups by name and by connection grow by the logarithm.
    expect_that!(many, lt(6 * few), "4 proxies: {few:?}, 4096 proxies: {many:?} for 100 requests");
}
