//! A hundred nodes with few requests each, and sixty servers: decisions that are harmless at one node and harmful
//! when all nodes make them.

#[allow(clippy::too_many_lines, reason = "the fleet's one loop of events")]
mod common;
use common::fleet::*;
use common::*;
use mountbend::interface::Micros;

/// Eight requests per second at each node, about nine twentieths of the servers' capacity.
const LARGE: Setup = Setup {
    nodes: 100,
    servers: 60,
    load: 800.0,
    warm_before: true,
    gap: 100 * MS,
    capacity: CAPACITY,
    varied: true,
};

#[test]
fn nodes_with_few_requests_do_not_all_choose_the_same_server() {
    for seed in 1..=2 {
        let mut fleet = Fleet::new(seed, LARGE);
        let from = fleet.now + 3 * SECOND;
        fleet.run_until(from + 15 * SECOND);
        let (imbalance, utilization) = (fleet.imbalance(from), fleet.utilization(from));
        let quick = fleet.served_within(from, 300 * MS);
        assert!(quick > 0.935, "seed {seed}: {quick:.3} of the served requests took no longer than 0.3 s");
        let connections = fleet.connection_count();
        assert!(connections < 100 * 20, "seed {seed}: the nodes opened {connections} connections");
        assert!(imbalance < 1.5, "seed {seed}: one server was sent {imbalance:.2} times its share");
        assert!(utilization > 0.95, "seed {seed}: {utilization:.2} of the load was served");
    }
}

#[test]
fn nodes_with_one_accumulated_request_each_do_not_overload_a_cold_server() {
    for seed in 1..=2 {
        let mut fleet = Fleet::new(seed, LARGE);
        let at = fleet.now + 3 * SECOND;
        fleet.replace_servers(30, at);
        fleet.run_until(at + 20 * SECOND);
        let overload = fleet.max_server_overload();
        assert!(overload < 2.0, "seed {seed}: a cold server was sent {overload:.2} times its capacity");
        // From 3 to 11 s after the last server started.
        let share = fleet.cold_share(at + 6 * SECOND, at + 14 * SECOND);
        assert!(share > 1.0, "seed {seed}: cold servers got {share:.2} of their share");
    }
}

/// Sixty servers with a capacity of about 1,800 requests per second, and half of that as load.
fn half_loaded(nodes: usize) -> Setup {
    Setup { nodes, load: 900.0, gap: 190 * MS, ..LARGE }
}

/// The latency target.
const TARGET: Micros = 500 * MS;

/// Runs `check` for each number of nodes and two seeds.
fn for_fleets(nodes: &[usize], check: impl Fn(usize, u64)) {
    nodes.iter().for_each(|&nodes| (1..=2).for_each(|seed| check(nodes, seed)));
}

#[test]
fn a_slow_idle_fleet_is_not_taken_for_an_overloaded_one() {
    for_fleets(&[1, 10, 100], |nodes, seed| {
        let mut fleet = Fleet::new(seed, Setup { load: 250.0, ..half_loaded(nodes) });
        // Answers take 0.2 s without queueing; the target is 0.5 s.
        fleet.set_capacity(CAPACITY / 2.0);
        let from = fleet.now + 3 * SECOND;
        fleet.run_until(from + 8 * SECOND);
        let shed = fleet.rejected_share(from, fleet.now);
        assert!(shed < 0.03, "{nodes} nodes, seed {seed}: {shed:.3} refused or failed");
    });
}

#[test]
fn one_node_and_a_hundred_shed_the_same_share_and_recover_at_once() {
    for_fleets(&[1, 10, 100], |nodes, seed| {
        let mut fleet = Fleet::new(seed, half_loaded(nodes));
        let at = fleet.now + 4 * SECOND;
        fleet.change_load(2_300.0, at);
        fleet.change_load(900.0, at + 6 * SECOND);
        fleet.run_until(at + 12 * SECOND);
        let (before, full) = (
            fleet.rejected_share(at - 2 * SECOND, at),
            fleet.rejected_share(at + 2 * SECOND, at + 6 * SECOND),
        );
        let after = fleet.rejected_share(at + 8 * SECOND, fleet.now);
        let timely = fleet.share_in_time(at + 2 * SECOND, at + 6 * SECOND, TARGET);
        assert!(
            before < 0.01 && after < 0.01,
            "{nodes} nodes, seed {seed}: {before:.3} before, {after:.3} after"
        );
        assert!((0.15..0.27).contains(&full), "{nodes} nodes, seed {seed}: {full:.3} refused or failed");
        assert!(
            timely > 0.62,
            "{nodes} nodes, seed {seed}: {timely:.3} in time at a load a third above the capacity"
        );
    });
}

#[test]
fn half_of_the_servers_are_lost_and_restart_cold() {
    for_fleets(&[1, 10, 100], |nodes, seed| {
        let mut fleet = Fleet::new(seed, half_loaded(nodes));
        let at = fleet.now + 4 * SECOND;
        fleet.lose_half(at);
        fleet.run_until(at + 16 * SECOND);
        let lost = fleet.share_in_time(at + 2 * SECOND, at + 6 * SECOND, TARGET);
        let back = fleet.share_in_time(at + 8 * SECOND, fleet.now, TARGET);
        let (overload, tries) = (fleet.max_server_overload(), fleet.attempts_per_request());
        assert!(lost > 0.88 && back > 0.92, "{nodes} nodes, seed {seed}: {lost:.3} and {back:.3} in time");
        assert!(
            overload < 2.0 && tries < 1.1,
            "{nodes} nodes, seed {seed}: overload {overload:.2}, {tries:.2} attempts per request"
        );
    });
}

#[test]
fn six_in_ten_servers_are_replaced_within_seven_seconds() {
    for_fleets(&[1, 10, 100], |nodes, seed| {
        let mut fleet = Fleet::new(seed, half_loaded(nodes));
        let at = fleet.now + 4 * SECOND;
        fleet.replace_servers(36, at);
        fleet.run_until(at + 16 * SECOND);
        let (meanwhile, after) = (
            fleet.share_in_time(at, at + 7 * SECOND, TARGET),
            fleet.share_in_time(at + 7 * SECOND, fleet.now, TARGET),
        );
        let (overload, tries) = (fleet.max_server_overload(), fleet.attempts_per_request());
        assert!(
            meanwhile > 0.9 && after > 0.92,
            "{nodes} nodes, seed {seed}: {meanwhile:.3} and {after:.3} in time"
        );
        assert!(
            overload < 2.0 && tries < 1.1,
            "{nodes} nodes, seed {seed}: overload {overload:.2}, {tries:.2} attempts per request"
        );
    });
}

#[test]
fn seven_in_ten_nodes_are_killed_and_restart_without_state() {
    for_fleets(&[10, 100], |nodes, seed| {
        let mut fleet = Fleet::new(seed, half_loaded(nodes));
        let at = fleet.now + 4 * SECOND;
        fleet.restart_nodes(nodes * 7 / 10, at);
        fleet.run_until(at + 10 * SECOND);
        let back = fleet.share_in_time(at + 5 * SECOND, fleet.now, TARGET);
        assert!(back > 0.8, "{nodes} nodes, seed {seed}: {back:.3} in time from 3 s after the restart");
    });
}

#[test]
fn a_node_with_many_times_the_mean_traffic_overloads_no_server() {
    for_fleets(&[10, 100], |nodes, seed| {
        let mut fleet = Fleet::new(seed, half_loaded(nodes));
        fleet.set_weight(0, nodes as f64 / 8.0);
        let from = fleet.now + 4 * SECOND;
        fleet.run_until(from + 10 * SECOND);
        let (timely, imbalance) = (fleet.share_in_time(from, fleet.now, TARGET), fleet.imbalance(from));
        assert!(timely > 0.97, "{nodes} nodes, seed {seed}: {timely:.3} in time");
        assert!(
            imbalance < 1.8,
            "{nodes} nodes, seed {seed}: one server was sent {imbalance:.2} times its share"
        );
    });
}

#[test]
fn a_hanging_server_costs_few_requests_over_all_nodes() {
    for_fleets(&[1, 10, 100], |nodes, seed| {
        let mut fleet = Fleet::new(seed, half_loaded(nodes));
        let from = fleet.now + 4 * SECOND;
        fleet.hang(7, from);
        fleet.run_until(from + 10 * SECOND);
        let (sent, timely) = (fleet.sent_to(7, from), fleet.share_in_time(from, fleet.now, TARGET));
        assert!(sent < 80, "{nodes} nodes, seed {seed}: {sent} requests went to the hanging server");
        assert!(timely > 0.97, "{nodes} nodes, seed {seed}: {timely:.3} in time");
    });
}
