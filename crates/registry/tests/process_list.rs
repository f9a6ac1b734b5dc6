//! A registry tells who looks on which processes it knows of, and is not changed by that.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_peer_link::message::{Hello, PeerMessage, Role};
use pinerelay_registry::registry::{Output, Registry, RegistryConfig};

fn hello(node: &str, role: Role) -> Hello {
    Hello { node: node.into(), ip: format!("127.0.0.{}", node.len()), role, process_id: 1 }
}

fn registry() -> Registry {
    let bounds = QuotaBounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 };
    let hello = hello("core", Role::Registry);
    let seeds = vec![hello.ip.clone()];
    Registry::new(
        0,
        RegistryConfig {
            hello,
            first_start: true,
            heartbeat_interval: 1_500_000,
            quota_bounds: bounds,
            seeds,
            time_of_day: 0,
            rollouts: Default::default(),
        },
    )
}

fn sent(registry: &mut Registry, peer: u64, message: PeerMessage) -> Vec<Output> {
    let mut out = Vec::new();
    registry.receive(1, peer, message, &mut out);
    out
}

#[gtest]
fn the_roll_names_what_is_linked_and_what_is_missed_and_nobody_who_looks_on() {
    let mut registry = registry();
    for (peer, node) in [(1, "edge-1"), (2, "edge-22"), (3, "edge-333")] {
        sent(&mut registry, peer, PeerMessage::Hello(hello(node, Role::Proxy)));
    }
    // The second ends as planned, the third is gone without a word.
    sent(&mut registry, 2, PeerMessage::Goodbye);
    [2, 3].into_iter().for_each(|peer| registry.disconnected(1, peer, &mut Vec::new()));
    // One that looks on from the machine of a proxy that is missed is not that proxy.
    let met = sent(&mut registry, 9, PeerMessage::Hello(hello("edge-333", Role::Observer)));
    expect_that!(met, is_empty());
    let reported = sent(&mut registry, 9, PeerMessage::ProcessListRequest);
    let [Output::Send(9, PeerMessage::ProcessList(list))] = &reported[..] else { panic!("{reported:?}") };
    let linked: Vec<&str> = list.linked.iter().map(|hello| hello.node.as_str()).collect();
    expect_that!(linked, unordered_elements_are![eq(&"core"), eq(&"edge-1")]);
    expect_that!(list.missing, elements_are![eq("edge-333")]);
    expect_that!(list.voters, elements_are![eq("127.0.0.4")]);
}
