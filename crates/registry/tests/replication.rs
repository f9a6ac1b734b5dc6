//! Configuration updates that anti-entropy splits: proxies must not receive a part of an operator's update, such as
//! an API key that is removed from one tenant and not yet added to another.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_config_state::{operator_call, Item, ItemSet};
use pinerelay_peer_link::message::{Hello, PeerMessage, Role};
use pinerelay_registry::registry::{Output, Registry, RegistryConfig};

const STORE: u64 = 1;
const PROXY: u64 = 2;
const MILLISECOND: u64 = 1_000;

fn hello(role: Role) -> Hello {
    Hello { node: format!("{role:?}"), ip: "127.0.0.1".into(), role, process_id: 1 }
}

fn registry() -> Registry {
    let bounds = QuotaBounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 };
    let config = RegistryConfig {
        hello: hello(Role::Registry),
        first_start: false,
        heartbeat_interval: 1_500_000,
        quota_bounds: bounds,
        seeds: vec!["127.0.0.1".into()],
        time_of_day: 0,
        rollouts: Default::default(),
    };
    let mut registry = Registry::new(0, config);
    registry.receive(1, STORE, PeerMessage::Hello(hello(Role::ConfigStore)), &mut Vec::new());
    registry.receive(1, PROXY, PeerMessage::Hello(hello(Role::Proxy)), &mut Vec::new());
    registry.tick(2, &mut Vec::new());
    registry
}

/// An update that moves an API key from one tenant to another: its two items belong together.
fn move_api_key(revision: u64) -> Vec<Item> {
    let text = format!(
        r#"{{"upsert":{{"tenants":{{"column_names":["name","api_keys","revision"],
            "records":[["t1",[],{revision}],["t2",["k"],{revision}]]}}}}}}"#
    );
    operator_call::parse_update(text.as_bytes()).expect("a valid update")
}

fn digest(items: &[Item]) -> u64 {
    let mut item_set = ItemSet::default();
    item_set.merge_all(items.iter().cloned());
    item_set.digest()
}

fn sync_message(items: &[Item]) -> PeerMessage {
    PeerMessage::Sync { realm: 0, items: items.to_vec(), parts: Vec::new() }
}

/// Passes a message of the store to the registry, and returns the replication messages that the proxy gets.
fn sent_to_proxy(registry: &mut Registry, now: u64, message: PeerMessage) -> Vec<PeerMessage> {
    let mut out = Vec::new();
    registry.receive(now, STORE, message, &mut out);
    let to_proxy = out.into_iter().filter_map(|output| match output {
        Output::Send(PROXY, message) => Some(message),
        Output::Broadcast(peers, message) if peers.contains(&PROXY) => Some(message),
        _ => None,
    });
    to_proxy
        .filter(|message| {
            matches!(message, PeerMessage::Update(_) | PeerMessage::Digests(_) | PeerMessage::Sync { .. })
        })
        .collect()
}

#[gtest]
fn a_split_update_is_withheld_until_it_is_complete() {
    let mut registry = registry();
    let update = move_api_key(5);
    expect_that!(sent_to_proxy(&mut registry, 3, PeerMessage::Digests([digest(&update), 0])), is_empty());
    expect_that!(sent_to_proxy(&mut registry, 4, sync_message(&update[..1])), is_empty());
    // A proxy that requests a sync does not get a part of it, either.
    let mut out = Vec::new();
    registry.receive(5, PROXY, PeerMessage::Digests([1, 0]), &mut out);
    registry.receive(
        5,
        PROXY,
        PeerMessage::Sync { realm: 0, items: Vec::new(), parts: ItemSet::default().sync_request() },
        &mut out,
    );
    expect_that!(out, is_empty());
    let all = sent_to_proxy(&mut registry, 6, sync_message(&update[1..]));
    expect_that!(all, elements_are![eq(&PeerMessage::Digests([digest(&update), 0]))]);
}

#[gtest]
fn a_complete_update_is_relayed_at_once() {
    let mut registry = registry();
    let update = move_api_key(5);
    expect_that!(
        sent_to_proxy(&mut registry, 3, PeerMessage::Update(update.clone())),
        elements_are![eq(&PeerMessage::Update(update))]
    );
}

#[gtest]
fn a_split_update_is_withheld_for_a_limited_time_if_no_store_has_an_equal_digest() {
    let mut registry = registry();
    let update = move_api_key(5);
    expect_that!(sent_to_proxy(&mut registry, 3, sync_message(&update[..1])), is_empty());
    let mut digests = 0;
    for now in (10..2_000).step_by(100).map(|ms| ms * MILLISECOND) {
        let mut out = Vec::new();
        registry.tick(now, &mut out);
        digests += out
            .iter()
            .filter(|o| matches!(o, Output::Broadcast(to, PeerMessage::Digests(_)) if to.contains(&PROXY)))
            .count();
        if now < 1_000 * MILLISECOND {
            expect_that!(digests, eq(0), "digests were sent after {now} us");
        }
    }
    expect_that!(digests, gt(0));
}
