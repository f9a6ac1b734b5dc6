//! How much a starting proxy is sent by five registries that all have the same content: a subscriber and registries as they are,
//! with the proxy's link at a limited rate.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use googletest::prelude::*;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{operator_call, Item, ItemSet};
use pinerelay_consensus::{Member, Membership};
use pinerelay_peer_link::codec;
use pinerelay_peer_link::message::{Hello, PeerMessage, Role, LEASE_DURATION, UNDERSTANDS_ROLLOUTS};
use pinerelay_proxy::subscriber::{Output as ProxyOutput, Subscriber};
use pinerelay_registry::registry::{Output as RegistryOutput, Registry, RegistryConfig};

const REGISTRIES: u64 = 5;
const SERVERS: u64 = 1_000;
const TENANTS: u64 = 200;
const MILLISECOND: u64 = 1_000;
const SECOND: u64 = 1_000 * MILLISECOND;
/// The rate of the proxy's link, in bytes per millisecond: 2 Mbit/s.
const LINK_RATE: u64 = 250;
const LATENCY: u64 = 10 * MILLISECOND;
const TICK: u64 = 20 * MILLISECOND;

/// Connections of a registry, besides those to the other registries.
const STORE: u64 = 101;
const PROXY: u64 = 102;

fn ip(registry: u64) -> String {
    format!("10.0.0.{registry}")
}

fn hello(role: Role, node: &str, ip: String) -> Hello {
    Hello { node: node.into(), ip, role, process_id: 1 }
}

fn config_items() -> Vec<Item> {
    let records: Vec<String> = (0..TENANTS)
        .map(|tenant| format!(r#"["tenant-{tenant}",["api-key-of-tenant-{tenant}"],7]"#))
        .collect();
    let text = format!(
        r#"{{"upsert":{{"tenants":{{"column_names":["name","api_keys","revision"],"records":[{}]}}}}}}"#,
        records.join(",")
    );
    operator_call::parse_update(text.as_bytes()).expect("a valid update")
}

fn server_items() -> Vec<Item> {
    let server = |number: u64| Server {
        service: format!("service-{}", number % 40),
        address: SocketAddrV4::new(Ipv4Addr::new(10, 1, (number / 250) as u8, (number % 250) as u8), 8_080),
        zone: format!("zone-{}", number % 3),
        revision: format!("2024.11.3-{:020x}", number % 3),
        capacity: 64,
        state: ServerState::Ready,
        warmup_ms: 0,
    };
    (0..SERVERS)
        .map(|number| server(number).to_item(&format!("service-{}-7d9c6b5f48-{number:05}", number % 40), 1))
        .collect()
}

fn digest(items: &[Item]) -> u64 {
    let mut item_set = ItemSet::default();
    item_set.merge_all(items.iter().cloned());
    item_set.digest()
}

fn encoded_size(message: &PeerMessage) -> u64 {
    codec::encode(message).len() as u64
}

/// The size of all items in as few messages as possible.
fn content_size() -> u64 {
    encoded_size(&PeerMessage::Update(config_items())) + encoded_size(&PeerMessage::Update(server_items()))
}

/// Whether the messages of a registry pass, and what it has.
#[derive(Clone, Copy, PartialEq)]
enum Condition {
    Complete,
    /// It sends its hello, status and digests, but no anti-entropy messages.
    Unresponsive,
    /// Its anti-entropy messages are late by this long, in microseconds.
    Slow(u64),
    /// It has not received anything from its store yet.
    Empty,
}

/// A registry with links to its store, the other registries and the proxy.
fn registry(number: u64, condition: Condition) -> Registry {
    let bounds = QuotaBounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 };
    let own_hello = hello(Role::Registry, &format!("core-{number}"), ip(number));
    let config = RegistryConfig {
        hello: own_hello,
        first_start: false,
        // No server sends heartbeats here, and none shall be lost.
        heartbeat_interval: 60 * SECOND,
        quota_bounds: bounds,
        seeds: (1..=REGISTRIES).map(ip).collect(),
        time_of_day: 0,
        rollouts: Default::default(),
    };
    let mut registry = Registry::new(0, config);
    let mut out = Vec::new();
    for other in (1..=REGISTRIES).filter(|other| *other != number) {
        let hello = hello(Role::Registry, &format!("core-{other}"), ip(other));
        registry.receive(0, other, PeerMessage::Hello(hello), &mut out);
    }
    if condition != Condition::Empty {
        let hello = hello(Role::ConfigStore, &format!("core-{number}"), ip(number));
        registry.receive(0, STORE, PeerMessage::Hello(hello), &mut out);
        let member = |number: u64| Member { name: ip(number), incarnation: 0 };
        let members = (1..=REGISTRIES).map(member).collect();
        let membership = Membership { epoch: 1, members, previous: Vec::new() };
        let status = PeerMessage::StoreStatus { membership, is_complete: true, is_current: true };
        registry.receive(0, STORE, status, &mut out);
        registry.receive(0, STORE, PeerMessage::Update(config_items()), &mut out);
        registry.receive(0, STORE, PeerMessage::Update(server_items()), &mut out);
        let digests = [digest(&config_items()), digest(&server_items())];
        registry.receive(0, STORE, PeerMessage::Digests(digests), &mut out);
    }
    registry
}

/// Bytes of messages between the proxy and one registry, without their keep-alives.
#[derive(Debug, Clone, Copy, Default)]
struct Bytes {
    to_proxy: u64,
    from_proxy: u64,
}

/// A message that is under way.
enum Event {
    ToProxy(u64, PeerMessage),
    ToRegistry(u64, PeerMessage),
}

/// A proxy that is linked to all registries, with a simulated clock and link.
struct Site {
    now: u64,
    subscriber: Subscriber,
    conditions: [Condition; REGISTRIES as usize],
    registries: BTreeMap<u64, Registry>,
    /// The messages under way, by the time of their arrival and a sequence number.
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    /// When the proxy's link is free, to it and from it.
    is_free_at: [u64; 2],
    bytes: BTreeMap<u64, Bytes>,
    /// The registries that were sent an anti-entropy message, in order and without repetitions.
    asked: Vec<u64>,
    /// The anti-entropy messages with items that are under way to the proxy, and their maximum.
    under_way: usize,
    max_under_way: usize,
}

impl Site {
    fn new(node: &str, conditions: [Condition; REGISTRIES as usize]) -> Site {
        let own_hello = hello(Role::Proxy, node, "10.0.1.1".into());
        let registries =
            (1..).zip(conditions).map(|(number, condition)| (number, registry(number, condition)));
        let mut site = Site {
            now: 0,
            subscriber: Subscriber::new(0, own_hello, (1..=REGISTRIES).map(ip).collect()),
            conditions,
            registries: registries.collect(),
            events: BTreeMap::new(),
            last_event: 0,
            is_free_at: [0; 2],
            bytes: BTreeMap::new(),
            asked: Vec::new(),
            under_way: 0,
            max_under_way: 0,
        };
        for number in 1..=REGISTRIES {
            site.link(number);
        }
        site
    }

    fn link(&mut self, number: u64) {
        let mut from_proxy = Vec::new();
        self.subscriber.connected(number, &mut from_proxy);
        self.send_from_proxy(from_proxy);
        let mut out = Vec::new();
        self.registries.get_mut(&number).expect("a registry").connected(PROXY, &mut out);
        self.send_from_registry(number, out);
    }

    /// Queues a message on the proxy's link.
    fn send(&mut self, direction: usize, size: u64, event: Event) {
        self.send_late(0, direction, size, event);
    }

    /// Queues a message on the proxy's link, and delays it after that.
    fn send_late(&mut self, delay: u64, direction: usize, size: u64, event: Event) {
        let start = self.is_free_at[direction].max(self.now);
        self.is_free_at[direction] = start + size * MILLISECOND / LINK_RATE;
        self.last_event += 1;
        self.events.insert((self.is_free_at[direction] + LATENCY + delay, self.last_event), event);
    }

    fn send_from_proxy(&mut self, out: Vec<ProxyOutput>) {
        for output in out {
            let ProxyOutput::Send(number, message) = output else { continue };
            let size = encoded_size(&message);
            self.bytes.entry(number).or_default().from_proxy += size;
            if matches!(message, PeerMessage::Sync { .. }) && self.asked.last() != Some(&number) {
                self.asked.push(number);
            }
            self.send(1, size, Event::ToRegistry(number, message));
        }
    }

    fn send_from_registry(&mut self, number: u64, out: Vec<RegistryOutput>) {
        for output in out {
            let message = match output {
                RegistryOutput::Send(PROXY, message) => message,
                RegistryOutput::Broadcast(peers, message) if peers.contains(&PROXY) => message,
                RegistryOutput::Send(STORE, message) => {
                    self.confirm_current(number, &message);
                    continue;
                }
                RegistryOutput::Broadcast(peers, message) if peers.contains(&STORE) => {
                    self.confirm_current(number, &message);
                    continue;
                }
                _ => continue,
            };
            let delay = match self.conditions[number as usize - 1] {
                _ if !matches!(message, PeerMessage::Sync { .. }) => 0,
                Condition::Unresponsive => continue,
                Condition::Slow(delay) => delay,
                Condition::Complete | Condition::Empty => 0,
            };
            let size = encoded_size(&message);
            self.bytes.entry(number).or_default().to_proxy += size;
            self.under_way += usize::from(has_items(&message));
            self.max_under_way = self.max_under_way.max(self.under_way);
            self.send_late(delay, 0, size, Event::ToProxy(number, message));
        }
    }

    /// The store of a registry confirms that it is current.
    fn confirm_current(&mut self, number: u64, message: &PeerMessage) {
        let PeerMessage::ConfirmCurrent(asked_at) = *message else { return };
        if asked_at == UNDERSTANDS_ROLLOUTS {
            return;
        }
        let digest = digest(&config_items());
        let answer = PeerMessage::Current { asked_at, epoch: 1, digest, lease_left: LEASE_DURATION };
        let mut out = Vec::new();
        let registry = self.registries.get_mut(&number).expect("a registry");
        registry.receive(self.now, STORE, answer, &mut out);
        self.send_from_registry(number, out);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ToProxy(number, message) => {
                self.under_way -= usize::from(has_items(&message));
                let mut out = Vec::new();
                self.subscriber.receive(self.now, number, message, &mut out);
                self.send_from_proxy(out);
            }
            Event::ToRegistry(number, message) => {
                let mut out = Vec::new();
                let registry = self.registries.get_mut(&number).expect("a registry");
                registry.receive(self.now, PROXY, message, &mut out);
                self.send_from_registry(number, out);
            }
        }
    }

    fn tick(&mut self) {
        for number in 1..=REGISTRIES {
            let mut out = Vec::new();
            self.registries.get_mut(&number).expect("a registry").tick(self.now, &mut out);
            self.send_from_registry(number, out);
        }
        let mut out = Vec::new();
        self.subscriber.tick(self.now, &mut out);
        self.send_from_proxy(out);
    }

    /// Advances the time, with ticks of all processes.
    fn run_until(&mut self, end: u64) {
        while self.now < end {
            self.now += TICK;
            while let Some(event) = self.events.first_entry().filter(|event| event.key().0 <= self.now) {
                let event = event.remove();
                self.handle(event);
            }
            self.tick();
        }
    }

    /// Advances the time until the proxy has all items; returns the time.
    fn run_until_equal(&mut self) -> u64 {
        let content = [digest(&config_items()), digest(&server_items())];
        while self.subscriber.realms().each_ref().map(ItemSet::digest) != content {
            assert_that!(self.now, lt(20 * SECOND), "the proxy gets all items");
            self.run_until(self.now + TICK);
        }
        self.now
    }

    fn total(&self) -> Bytes {
        self.bytes.values().fold(Bytes::default(), |sum, bytes| Bytes {
            to_proxy: sum.to_proxy + bytes.to_proxy,
            from_proxy: sum.from_proxy + bytes.from_proxy,
        })
    }
}

/// Whether a message is one of anti-entropy that transfers items.
fn has_items(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Sync { items, .. } if !items.is_empty())
}

#[gtest]
fn a_starting_proxy_is_sent_at_most_twice_the_content() {
    let mut site = Site::new("edge-1", [Condition::Complete; 5]);
    let equal_at = site.run_until_equal();
    site.run_until(equal_at + 2 * SECOND);
    let (content, Bytes { to_proxy, from_proxy }) = (content_size(), site.total());
    println!(
        "content {content} B, to the proxy {to_proxy} B, from it {from_proxy} B, equal at {equal_at} us"
    );
    expect_that!(site.subscriber.can_serve(), eq(true));
    expect_that!(to_proxy, le(2 * content));
    expect_that!(from_proxy, le(content / 4), "the proxy has nothing that a registry lacks");
    expect_that!(site.max_under_way, le(1), "at once");
}

#[gtest]
fn proxies_spread_over_the_registries() {
    let mut first: BTreeMap<u64, usize> = BTreeMap::new();
    for number in 0..60 {
        let mut site = Site::new(&format!("edge-{number}"), [Condition::Complete; 5]);
        site.run_until_equal();
        *first.entry(site.asked[0]).or_default() += 1;
        expect_that!(site.asked, elements_are![anything()], "all items come from one registry");
    }
    expect_that!(first.len(), eq(5));
    expect_that!(first.values().copied().max(), some(le(24)));
}

#[gtest]
fn a_registry_that_does_not_answer_loses_its_turn() {
    let mut site = Site::new("edge-1", [Condition::Complete; 5]);
    site.run_until_equal();
    let preferred = site.asked[0] as usize;
    let mut conditions = [Condition::Complete; 5];
    // Any two of five registries may have failed.
    for other in 0..5 {
        conditions.fill(Condition::Complete);
        conditions[preferred - 1] = Condition::Unresponsive;
        conditions[other] = Condition::Unresponsive;
        let mut site = Site::new("edge-1", conditions);
        let equal_at = site.run_until_equal();
        site.run_until(equal_at + SECOND);
        println!("without {preferred} and {}: equal at {equal_at} us", other + 1);
        expect_that!(equal_at, le(2 * SECOND));
        expect_that!(site.subscriber.can_serve(), eq(true));
        expect_that!(site.total().to_proxy, le(2 * content_size()));
    }
}

#[gtest]
fn a_lost_link_is_replaced_at_once() {
    let mut site = Site::new("edge-1", [Condition::Complete; 5]);
    site.run_until(100 * MILLISECOND);
    let chosen = site.asked[0];
    site.events.retain(|_, event| !matches!(event, Event::ToProxy(number, _) if *number == chosen));
    site.under_way = 0;
    site.registries.get_mut(&chosen).expect("a registry").disconnected(site.now, PROXY, &mut Vec::new());
    site.subscriber.disconnected(chosen);
    let equal_at = site.run_until_equal();
    expect_that!(equal_at, le(SECOND));
    expect_that!(site.asked.len(), eq(2));
}

#[gtest]
fn a_registry_without_items_is_asked_last_and_not_sent_everything_at_once() {
    let mut site = Site::new("edge-1", [Condition::Complete; 5]);
    site.run_until_equal();
    let preferred = site.asked[0] as usize;
    let mut conditions = [Condition::Complete; 5];
    conditions[preferred - 1] = Condition::Empty;
    let mut site = Site::new("edge-1", conditions);
    let equal_at = site.run_until_equal();
    expect_that!(equal_at, le(SECOND));
    expect_that!(site.asked[0], not(eq(preferred as u64)));
    // Nobody else gives the registry its items, so the proxy does.
    site.run_until(equal_at + 3 * SECOND);
    let items = site.registries[&(preferred as u64)].realms().each_ref().map(ItemSet::digest);
    expect_that!(items, eq([digest(&config_items()), digest(&server_items())]));
    expect_that!(site.total().from_proxy, le(2 * content_size()));
}

#[gtest]
fn slow_registries_are_not_all_asked_for_everything() {
    let delay = 1_500 * MILLISECOND;
    let mut site = Site::new("edge-1", [Condition::Slow(delay); 5]);
    let equal_at = site.run_until_equal();
    site.run_until(equal_at + 5 * SECOND);
    let (content, Bytes { to_proxy, .. }) = (content_size(), site.total());
    println!("content {content} B, to the proxy {to_proxy} B, equal at {equal_at} us");
    expect_that!(equal_at, le(8 * SECOND));
    // Until the first answer comes, after three timeouts, four registries are asked.
    expect_that!(to_proxy, le(4 * content));
}
