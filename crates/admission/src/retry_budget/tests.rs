//! Retries stay within the budget of all nodes together, and its use is reported.

use googletest::prelude::*;

use super::*;

#[gtest]
fn used_ratio_covers_only_services_with_a_meaningful_budget() {
    let mut budget = RetryBudget::new(RetryBounds::default());
    expect_that!(budget.try_take(0, "thin", 10), eq(true));
    expect_that!(budget.used_ratio(0, 10), eq(0.0));
    (0..1_000).for_each(|_| budget.count_request(0, "s"));
    (0..200).for_each(|_| {
        let _ = budget.try_take(0, "s", 62);
    });
    // The node may use 0.7 x (0.2 x 1000 requests + 62 extra / 62 nodes) = 140.7 retries.
    expect_that!(budget.counts(), eq(RetryCounts { granted: 141, denied: 60 }));
    expect_that!(budget.used_ratio(0, 62), near(140.0 / 140.7, 1e-9));
}

#[gtest]
fn retries_of_eleven_nodes_stay_within_the_bound_in_every_window() {
    let bounds = RetryBounds::default();
    let mut nodes: Vec<RetryBudget> = (0..11).map(|_| RetryBudget::new(bounds)).collect();
    let mut random = 3;
    let (mut requests, mut retries): (Vec<Micros>, Vec<Micros>) = Default::default();
    for now in (0..40_000_000_u64).step_by(5_000) {
        // Low load, then high load, then low load.
        let busy = (10_000_000..25_000_000).contains(&now);
        let node = (mountbend::measure::uniform(&mut random) * 11.0) as usize;
        if busy || now % 50_000 == 0 {
            nodes[node].count_request(now, "s");
            requests.push(now);
        }
        while nodes[node].try_take(now, "s", 11) {
            retries.push(now);
        }
    }
    let window = bounds.window.as_micros() as u64;
    let count_in_window = |times: &[Micros], from: Micros| {
        times.iter().filter(|&&at| at >= from && at < from + window).count() as f64
    };
    for from in (0..30_000_000_u64).step_by(250_000) {
        let most_requests = [from, from.saturating_sub(window / 2), from.saturating_sub(window)]
            .map(|from| count_in_window(&requests, from))
            .into_iter()
            .fold(0.0, f64::max);
        assert_that!(count_in_window(&retries, from), le(0.2 * most_requests + 62.0), "from {from}");
    }
    expect_that!(retries.len() as f64, gt(0.1 * requests.len() as f64));
}
