//! Deterministic subsetting: which servers a node of a large fleet uses ordinarily. They are few enough that
//! the node sends each of them enough to judge it.

use std::collections::BTreeMap;

use crate::interface::ServerId;
use crate::measure::mix;

/// The minimum size of a subset: one server in eight may be bad, and half of them may be lost together.
const MIN_SIZE: f64 = 6.0;
/// The mean number of attempts in flight at each server of the subset. With fewer a node can't tell which
/// server is busy, and a hundred nodes that choose at random overload some servers while others idle.
const IN_FLIGHT_PER_SERVER: f64 = 0.4;
/// How long the highest rate counts, in microseconds. A subset that changes often opens new connections.
pub(crate) const PEAK_SPAN: f64 = 15.0e6;

/// The size of a node's subset, by the requests that it sends per second and their usual latency in
/// microseconds.
pub(crate) fn subset_size(rate: f64, latency: f64) -> usize {
    (rate * latency / 1e6 / IN_FLIGHT_PER_SERVER).max(MIN_SIZE).ceil() as usize
}

/// All servers in the order in which node `me` prefers them. All nodes share one circle, and each begins at
/// its own offset. Zones and sizes are interleaved evenly, so that any part of the circle represents the
/// whole.
pub(crate) fn ring(
    me: u32,
    nodes: u32,
    servers: impl Iterator<Item = (ServerId, u32, f64)>,
) -> Vec<ServerId> {
    let mut kinds: BTreeMap<(u32, u64), Vec<(u64, ServerId)>> = BTreeMap::new();
    for (id, zone, size) in servers {
        kinds.entry((zone, size.to_bits())).or_default().push((mix(u64::from(id.0)), id));
    }
    let mut circle = Vec::new();
    for alike in kinds.values_mut() {
        alike.sort_unstable();
        let all = alike.len() as f64;
        circle.extend(alike.iter().enumerate().map(|(i, &(mixed, id))| ((i as f64 + 0.5) / all, mixed, id)));
    }
    circle.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    let (before, after) = circle.split_at(offset(me, nodes, circle.len()));
    after.iter().chain(before).map(|&(_, _, id)| id).collect()
}

/// The offset on a circle of `servers` at which node `me` begins; the nodes' offsets are evenly spaced.
/// Neighbouring nodes share customers, so each begins about a golden section of the circle after the one
/// before it.
fn offset(me: u32, nodes: u32, servers: usize) -> usize {
    let nodes = u64::from(nodes.max(1));
    let gcd = |a: u64, b: u64| {
        let (mut a, mut b) = (a, b);
        while b > 0 {
            (a, b) = (b, a % b);
        }
        a
    };
    let golden = (nodes as f64 * 0.618) as u64;
    let step = (golden.max(1)..=nodes).find(|&step| gcd(step, nodes) == 1).unwrap_or(1);
    let turn = (u128::from(me) * u128::from(step) % u128::from(nodes)) as f64 / nodes as f64;
    ((turn * servers as f64) as usize).min(servers.saturating_sub(1))
}

#[cfg(test)]
mod tests {
    use std::collections::BTreeSet;

    use super::*;

    fn fleet(servers: u32) -> Vec<(ServerId, u32, f64)> {
        (0..servers).map(|i| (ServerId(i * 7 + 3), i % 2, if i % 5 < 2 { 1.5 } else { 3.0 })).collect()
    }

    fn subset(me: u32, nodes: u32, servers: &[(ServerId, u32, f64)], size: usize) -> BTreeSet<ServerId> {
        ring(me, nodes, servers.iter().copied()).into_iter().take(size).collect()
    }

    #[test]
    fn every_server_is_in_about_as_many_subsets() {
        for (nodes, servers) in [(100, 60), (300, 178), (40, 24), (7, 40)] {
            let servers = fleet(servers);
            let mut users: BTreeMap<ServerId, usize> = servers.iter().map(|s| (s.0, 0)).collect();
            for me in 0..nodes {
                subset(me, nodes, &servers, 6).iter().for_each(|s| *users.entry(*s).or_default() += 1);
            }
            let mean = nodes as f64 * 6.0 / servers.len() as f64;
            let (least, most) = (users.values().min(), users.values().max());
            assert!(least.is_some_and(|&n| n as f64 > mean - 1.5), "{nodes} nodes: {least:?} of {mean:.1}");
            assert!(most.is_some_and(|&n| (n as f64) < mean + 1.5), "{nodes} nodes: {most:?} of {mean:.1}");
        }
    }

    #[test]
    fn a_part_of_the_ring_represents_the_whole() {
        let servers = fleet(60);
        for me in 0..100 {
            let part = ring(me, 100, servers.iter().copied()).into_iter().take(10);
            let all: Vec<_> = part.filter_map(|id| servers.iter().find(|s| s.0 == id)).collect();
            let (zone, large) =
                (all.iter().filter(|s| s.1 == 0).count(), all.iter().filter(|s| s.2 > 2.0).count());
            assert!(
                (4..=6).contains(&zone) && (5..=7).contains(&large),
                "node {me}: {zone} and {large} of 10"
            );
        }
    }

    #[test]
    fn removing_a_server_changes_few_subsets() {
        let servers = fleet(60);
        for removed in 0..60 {
            let rest: Vec<_> = servers.iter().copied().filter(|s| s.0 != servers[removed].0).collect();
            let kept = |me| subset(me, 100, &servers, 6).intersection(&subset(me, 100, &rest, 6)).count();
            let kept: usize = (0..100).map(kept).sum();
            assert!(kept >= 480, "server {removed} removed: {kept} of 600 assignments kept");
        }
    }

    #[test]
    fn rings_of_no_server_and_of_one_server() {
        assert!(ring(3, 0, std::iter::empty()).is_empty());
        assert_eq!(ring(u32::MAX, u32::MAX, fleet(1).into_iter()), [ServerId(3)]);
        assert!(subset_size(f64::NAN, 1e5) >= 6 && subset_size(0.0, 0.0) == 6);
        assert_eq!(subset_size(200.0, 100_000.0), 50);
    }
}
