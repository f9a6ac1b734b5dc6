//! The metrics that tell why quota units are not granted: reserved rates, empty buckets, lapsed duties, and periodic work that does
//! not run.

use googletest::prelude::*;
use pinerelay_admission::lease::LeaseRequest;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_config_state::{operator_call, ItemSet};
use pinerelay_consensus::{Member, Membership};
use pinerelay_peer_link::message::{Hello, PeerMessage, Role, LEASE_DURATION};
use pinerelay_registry::registry::{Output, Registry, RegistryConfig};

const MS: u64 = 1_000;
const STORE: u64 = 1;
const PROXY: u64 = 2;
const OBSERVER: u64 = 9;
const IP: &str = "127.0.0.1";

fn hello(role: Role, node: &str) -> Hello {
    Hello { node: node.into(), ip: IP.into(), role, process_id: 1 }
}

/// The only registry of a core, with its store and one proxy, at a start that is not the first.
struct Simulation {
    registry: Registry,
    now: u64,
}

impl Simulation {
    fn new() -> Simulation {
        let config = RegistryConfig {
            hello: hello(Role::Registry, "core"),
            first_start: false,
            heartbeat_interval: 1_500_000,
            quota_bounds: QuotaBounds::default(),
            seeds: vec![IP.into()],
            time_of_day: 0,
            rollouts: Default::default(),
        };
        let mut sim = Simulation { registry: Registry::new(0, config), now: 0 };
        sim.receive(STORE, PeerMessage::Hello(hello(Role::ConfigStore, "core")));
        sim.receive(PROXY, PeerMessage::Hello(hello(Role::Proxy, "edge")));
        sim.receive(OBSERVER, PeerMessage::Hello(hello(Role::Observer, "watch")));
        sim.tick_after(100);
        let members = vec![Member { name: IP.into(), incarnation: 0 }];
        let membership = Membership { epoch: 1, members, previous: Vec::new() };
        let status = PeerMessage::StoreStatus { membership, is_complete: true, is_current: true };
        sim.receive(STORE, status);
        let text = r#"{"upsert":{"tenants":{"column_names":["name","api_keys","revision","rate_per_s","burst"],
            "records":[["t",["k"],7,10,20]]}}}"#;
        let items = operator_call::parse_update(text.as_bytes()).expect("a configuration");
        let mut item_set = ItemSet::default();
        item_set.merge_all(items.clone());
        sim.receive(STORE, PeerMessage::Update(items));
        let (asked_at, digest) = (sim.now, item_set.digest());
        sim.receive(STORE, PeerMessage::Current { asked_at, epoch: 1, digest, lease_left: LEASE_DURATION });
        sim.tick_after(100);
        sim
    }

    fn receive(&mut self, connection: u64, message: PeerMessage) -> Vec<Output> {
        let mut out = Vec::new();
        self.registry.receive(self.now, connection, message, &mut out);
        out
    }

    fn tick_after(&mut self, ms: u64) {
        self.now += ms * MS;
        self.registry.tick(self.now, &mut Vec::new());
    }

    /// The proxy requests one unit.
    fn request_unit(&mut self) {
        let request = LeaseRequest {
            tenant: "t".into(),
            wanted: 1.0,
            returned: 0.0,
            held_share: 0.0,
            share_spent: 0.0,
            share_spent_lately: 0.0,
            share_left: 0.0,
            fencing_token: 0,
        };
        self.receive(PROXY, PeerMessage::LeaseRequests(vec![request]));
    }

    fn metric(&mut self, name: &str) -> f64 {
        let out = self.receive(OBSERVER, PeerMessage::MetricsRequest);
        let [Output::Send(OBSERVER, PeerMessage::Metrics(metrics))] = &out[..] else { panic!("{out:?}") };
        let found = metrics.iter().find(|metric| metric.name == name);
        found.unwrap_or_else(|| panic!("no metric {name}")).value
    }
}

#[gtest]
fn reserved_rates_are_reported_while_proxies_may_be_unknown_and_no_longer_than_that() {
    let mut sim = Simulation::new();
    expect_that!(sim.metric("registry_duties"), eq(16.0));
    expect_that!(sim.metric("registry_duties_acquired_total"), eq(16.0));
    expect_that!(sim.metric("registry_epoch_settled"), eq(1.0));
    expect_that!(sim.metric("registry_quota_tenants"), eq(1.0));
    expect_that!(sim.metric("registry_quota_tenants_reserving"), eq(0.0), "nobody has asked yet");
    // The store has not told yet which proxies an earlier process knew.
    sim.request_unit();
    expect_that!(sim.metric("registry_quota_tenants_reserving"), eq(1.0));
    expect_that!(sim.metric("registry_quota_reserved_ratio"), near(0.95, 1e-9));
    expect_that!(sim.metric("registry_quota_lowest_level_units"), lt(1.0), "a new allocator begins empty");
    sim.receive(STORE, PeerMessage::KnownProxies(vec!["edge".into()]));
    expect_that!(sim.metric("registry_proxies_counted"), eq(1.0));
    sim.request_unit();
    expect_that!(sim.metric("registry_quota_tenants_reserving"), eq(0.0));
    expect_that!(sim.metric("registry_quota_reserved_ratio"), eq(0.0));
}

#[gtest]
fn a_registry_that_only_answers_messages_reports_the_time_without_periodic_work() {
    let mut sim = Simulation::new();
    expect_that!(sim.metric("registry_stalled_seconds_total"), eq(0.0));
    sim.now += 200 * MS;
    expect_that!(sim.metric("registry_stalled_seconds_total"), eq(0.0), "a gap of 0.25 s is no stall");
    for _ in 0..20 {
        sim.now += 100 * MS;
        sim.request_unit();
    }
    expect_that!(
        sim.metric("registry_stalled_seconds_total"),
        near(2.2, 1e-9),
        "no tick has run for that long"
    );
    expect_that!(sim.metric("registry_duties"), eq(0.0), "the duties have lapsed");
    expect_that!(sim.metric("registry_quota_tenants"), eq(0.0));
    sim.tick_after(0);
    expect_that!(sim.metric("registry_stalled_seconds_total"), near(2.2, 1e-9));
    expect_that!(sim.metric("registry_stalls_total"), eq(1.0));
    sim.tick_after(100);
    expect_that!(sim.metric("registry_stalled_seconds_total"), near(2.2, 1e-9), "it does not grow further");
}
