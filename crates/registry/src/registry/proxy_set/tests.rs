//! The counts agree with the sets that they are kept for.

use std::collections::BTreeSet;

use googletest::prelude::*;

use super::*;

#[gtest]
fn the_counts_are_those_of_the_sets_after_any_changes() {
    let mut set = ProxySet::default();
    let mut connections: Vec<String> = Vec::new();
    let mut missing: BTreeSet<String> = BTreeSet::new();
    let mut random = 1_u64;
    for step in 0..20_000 {
        // The multiplier of a linear congruential generator (Knuth's MMIX).
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let node = format!("edge-{}", (random >> 33) % 12);
        match (random >> 60) % 4 {
            0 if connections.len() < 30 => {
                set.connected(&node);
                connections.push(node);
            }
            0 | 1 => {
                set.disconnected(&node);
                let index = connections.iter().position(|other| *other == node);
                index.into_iter().for_each(|index| drop(connections.remove(index)));
            }
            2 => {
                set.add_missing(node.clone(), step);
                missing.insert(node);
            }
            _ => assert_that!(set.remove_missing(&node), eq(missing.remove(&node))),
        }
        let linked: BTreeSet<String> = connections.iter().cloned().collect();
        assert_that!(set.linked_count(), eq(linked.len()), "at step {step}");
        assert_that!(set.known_count(), eq(linked.len() + missing.len()), "at step {step}");
    }
}
