//! A fleet in which all servers are cold: nodes and a few servers simulated through a power cut.

#[allow(clippy::too_many_lines, reason = "the fleet's one loop of events")]
mod common;
use common::fleet::*;
use common::*;

/// Simulates five seeds. No server may be sent more than `max_overload` times its capacity, and the servers must be
/// used to at least `min_utilization`.
fn check(setup: Setup, max_overload: f64, min_utilization: f64) {
    for seed in 1..=5 {
        let mut fleet = Fleet::new(seed, setup);
        let all = if setup.warm_before { fleet.power_cut() } else { fleet.start_all(fleet.now + SECOND) };
        let (overload, utilization) = (fleet.max_server_overload(), fleet.utilization(all));
        assert!(
            overload <= max_overload,
            "seed {seed}: a cold server was sent {overload:.2} times its capacity"
        );
        assert!(
            utilization >= min_utilization,
            "seed {seed}: {utilization:.2} of the servers' capacity was used"
        );
    }
}

#[test]
fn after_a_power_cut_no_server_is_overloaded_and_their_capacity_is_used() {
    check(BASELINE, 1.5, 0.8);
}

#[test]
fn servers_that_return_long_apart_are_used_one_after_the_other() {
    check(Setup { gap: 2_500 * MS, ..BASELINE }, 1.5, 0.7);
}

#[test]
fn nodes_and_servers_that_start_together_reach_their_capacity() {
    check(Setup { warm_before: false, ..BASELINE }, 1.5, 0.7);
}

#[test]
fn thirty_nodes_together_neither_overload_nor_underuse_cold_servers() {
    check(Setup { nodes: 30, ..BASELINE }, 1.5, 0.7);
    check(Setup { nodes: 30, warm_before: false, ..BASELINE }, 1.5, 0.7);
}

#[test]
fn servers_that_return_half_as_large_are_not_overloaded() {
    check(Setup { capacity: CAPACITY / 2.0, ..BASELINE }, 2.0, 0.7);
}
