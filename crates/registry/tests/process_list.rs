//! The process list that an observer requests. Observers are not listed, and their connections change nothing.

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

fn receive_from(registry: &mut Registry, connection: u64, message: PeerMessage) -> Vec<Output> {
    let mut out = Vec::new();
    registry.receive(1, connection, message, &mut out);
    out
}

#[gtest]
fn the_process_list_names_linked_and_missing_processes_but_no_observers() {
    let mut registry = registry();
    for (connection, node) in [(1, "edge-1"), (2, "edge-22"), (3, "edge-333")] {
        receive_from(&mut registry, connection, PeerMessage::Hello(hello(node, Role::Proxy)));
    }
    // The second proxy shuts down as planned; the link to the third breaks without a goodbye.
    receive_from(&mut registry, 2, PeerMessage::Goodbye);
    [2, 3].into_iter().for_each(|connection| registry.disconnected(1, connection, &mut Vec::new()));
    // An observer on the node of a missing proxy must not be taken for that proxy.
    let on_observer_hello =
        receive_from(&mut registry, 9, PeerMessage::Hello(hello("edge-333", Role::Observer)));
    expect_that!(on_observer_hello, is_empty());
    let reported = receive_from(&mut registry, 9, PeerMessage::ProcessListRequest);
    let [Output::Send(9, PeerMessage::ProcessList(list))] = &reported[..] else { panic!("{reported:?}") };
    let linked: Vec<&str> = list.linked.iter().map(|hello| hello.node.as_str()).collect();
    expect_that!(linked, unordered_elements_are![eq(&"core"), eq(&"edge-1")]);
    expect_that!(list.missing, elements_are![eq("edge-333")]);
    expect_that!(list.voters, elements_are![eq("127.0.0.4")]);
}

/// The number of proxies in the last status that is sent to a connection.
fn proxies_in_status(outputs: &[Output], receiver: u64) -> Option<u32> {
    outputs.iter().rev().find_map(|output| match output {
        Output::Broadcast(receivers, PeerMessage::RegistryStatus(status))
            if receivers.contains(&receiver) =>
        {
            Some(status.proxies)
        }
        _ => None,
    })
}

#[gtest]
fn a_proxy_that_is_silent_on_an_open_link_is_counted_once() {
    let mut registry = registry();
    for (connection, node) in [(1, "edge-1"), (2, "edge-22"), (3, "edge-333")] {
        receive_from(&mut registry, connection, PeerMessage::Hello(hello(node, Role::Proxy)));
    }
    let mut out = Vec::new();
    registry.tick(100_000, &mut out);
    expect_that!(proxies_in_status(&out, 1), some(eq(3)));
    out.clear();
    // Each of them has been silent for more than 0.65 s.
    (2..14).for_each(|step| registry.tick(step * 100_000, &mut out));
    expect_that!(proxies_in_status(&out, 1), some(eq(3)));
    // The link to one breaks; it stays missing.
    registry.disconnected(1_400_000, 2, &mut out);
    out.clear();
    (14..21).for_each(|step| registry.tick(step * 100_000, &mut out));
    expect_that!(proxies_in_status(&out, 1), some(eq(3)));
}
