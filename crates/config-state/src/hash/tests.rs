//! Rendezvous hashing spreads keys evenly and moves few keys when a node is removed.

use googletest::prelude::*;

use super::*;

#[gtest]
fn removing_a_node_moves_only_its_keys_and_ownership_is_even() {
    let nodes: Vec<String> = (0..7).map(|n| format!("10.0.0.{n}")).collect();
    let mut owned = [0; 7];
    for key in (0..7_000).map(|k| format!("tenant-{k}")) {
        let owner = rendezvous_order(&key, &nodes)[0];
        owned[nodes.iter().position(|n| n == owner).expect("a node")] += 1;
        let remaining: Vec<String> = nodes.iter().filter(|n| **n != nodes[3]).cloned().collect();
        if *owner != nodes[3] {
            expect_that!(rendezvous_order(&key, &remaining)[0], eq(owner));
        }
    }
    expect_that!(owned, each(all!(gt(850), lt(1_150))));
}
