//! The counts agree with the sets that they are kept for.

use std::collections::BTreeSet;

use googletest::prelude::*;

use super::*;

#[gtest]
fn a_proxy_that_is_linked_and_missing_is_counted_once() {
    let mut set = ProxySet::default();
    set.connected("a");
    set.connected("b");
    set.add_missing("b".into(), 1);
    set.add_missing("c".into(), 1);
    expect_that!((set.linked_count(), set.missing().len(), set.known_count()), eq((2, 2, 3)));
    set.disconnected("b");
    expect_that!((set.linked_count(), set.known_count()), eq((1, 3)));
    set.connected("b");
    expect_that!(set.remove_missing("b"), eq(true));
    expect_that!((set.linked_count(), set.missing().len(), set.known_count()), eq((2, 1, 3)));
}

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
        assert_that!(set.known_count(), eq(linked.union(&missing).count()), "at step {step}");
    }
}
