//! A registry tells who looks on which processes it knows of, and is not changed by that.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_nectar::terms::Bounds;
use pinerelay_propolis::speech::{Hello, Role, Speech};
use pinerelay_scout::registry::{Birth, Output, Registry};

fn hello(node: &str, role: Role) -> Hello {
    Hello { node: node.into(), ip: format!("127.0.0.{}", node.len()), role, life: 1 }
}

fn registry() -> Registry {
    let bounds = Bounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 };
    let hello = hello("core", Role::Scout);
    let seeds = vec![hello.ip.clone()];
    Registry::new(0, Birth { hello, first: true, heartbeat: 1_500_000, bounds, seeds, wall: 0 })
}

fn said(registry: &mut Registry, peer: u64, speech: Speech) -> Vec<Output> {
    let mut out = Vec::new();
    registry.said(1, peer, speech, &mut out);
    out
}

#[gtest]
fn the_roll_names_what_is_linked_and_what_is_missed_and_nobody_who_looks_on() {
    let mut registry = registry();
    for (peer, node) in [(1, "edge-1"), (2, "edge-22"), (3, "edge-333")] {
        said(&mut registry, peer, Speech::Hello(hello(node, Role::Forager)));
    }
    // The second ends as planned, the third is gone without a word.
    said(&mut registry, 2, Speech::Bye);
    [2, 3].into_iter().for_each(|peer| registry.down(1, peer, &mut Vec::new()));
    // One that looks on from the machine of a proxy that is missed is not that proxy.
    let met = said(&mut registry, 9, Speech::Hello(hello("edge-333", Role::Visitor)));
    expect_that!(met, is_empty());
    let told = said(&mut registry, 9, Speech::Roll);
    let [Output::Say(9, Speech::Rolled(rolled))] = &told[..] else { panic!("{told:?}") };
    let linked: Vec<&str> = rolled.linked.iter().map(|hello| hello.node.as_str()).collect();
    expect_that!(linked, unordered_elements_are![eq(&"core"), eq(&"edge-1")]);
    expect_that!(rolled.missing, elements_are![eq("edge-333")]);
    expect_that!(rolled.core, elements_are![eq("127.0.0.4")]);
}
