//! Rendezvous hashing spreads keys evenly and moves few.

use googletest::prelude::*;

use super::*;

#[gtest]
fn when_a_node_goes_only_its_keys_move_and_all_own_about_as_many() {
    let nodes: Vec<String> = (0..7).map(|n| format!("10.0.0.{n}")).collect();
    let mut owned = [0; 7];
    for key in (0..7_000).map(|k| format!("tenant-{k}")) {
        let first = rendezvous_order(&key, &nodes)[0];
        owned[nodes.iter().position(|n| n == first).expect("a node")] += 1;
        let left: Vec<String> = nodes.iter().filter(|n| **n != nodes[3]).cloned().collect();
        if *first != nodes[3] {
            expect_that!(rendezvous_order(&key, &left)[0], eq(first));
        }
    }
    expect_that!(owned, each(all!(gt(850), lt(1_150))));
}
