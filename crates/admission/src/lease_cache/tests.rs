//! Quotas hold over all proxies, under faults too.

use googletest::prelude::*;
use mountbend::measure::lot;

use super::*;
use crate::lease::Usage;
use crate::quota::QuotaBounds;
use crate::quota_allocator::{Exhausted, QuotaAllocator};

const QUOTA: Quota = Quota { rate: 94.0, burst: 94.0 };

#[derive(Debug, Clone, Copy, PartialEq)]
enum Faults {
    None,
    /// While a count is new nobody is cut off.
    Alone,
    /// Whatever comes.
    Many,
}

/// Proxies that lease from one count, over a way that takes some milliseconds; some are cut off for a while, freeze,
/// or die with what they hold; the count's process ends at times, and a new one knows nothing. Tells what ran, when,
/// and how many were asked for.
#[expect(clippy::too_many_lines, reason = "a table of cases, or one play with its checks")]
fn play(seed: u64, nodes: usize, asked_per_s: f64, faults: Faults) -> (Vec<Micros>, u64) {
    let some = faults != Faults::None;
    let bounds = QuotaBounds::default();
    let mut random = seed;
    let mut dice = |most: f64| lot(&mut random) * most;
    let mut allocator = QuotaAllocator::new(0, QUOTA);
    let mut caches: Vec<LeaseCache> = (0..nodes).map(|_| LeaseCache::new()).collect();
    caches.iter_mut().for_each(|cache| cache.set_proxies(nodes));
    let mut cut: Vec<Micros> = vec![0; nodes];
    let mut heard: Vec<Micros> = vec![0; nodes];
    let mut frozen: Vec<Micros> = vec![0; nodes];
    // Answers to these are lost, while their asks come.
    let mut deaf: Vec<Micros> = vec![0; nodes];
    let (mut down, mut fence) = (0, 1);
    let name: Vec<String> = (0..nodes).map(|n| n.to_string()).collect();
    type Way = Vec<(Micros, usize, Micros, LeaseGrant)>;
    let (mut way, mut runs, mut arrivals): (Way, Vec<Micros>, u64) = Default::default();
    for now in (3_000_000..33_000_000_u64).step_by(1_000) {
        // One trouble at a time: who is cut off holds shares that this count has told.
        let calm = faults == Faults::Many || now > down + 6_000_000;
        if some && calm && dice(1.0) < 0.0005 {
            cut[dice(nodes as f64) as usize] = now + dice(8e6) as Micros;
        }
        if some && dice(1.0) < 0.0005 {
            frozen[dice(nodes as f64) as usize] = now + dice(2e6) as Micros;
        }
        if some && dice(1.0) < 0.0003 {
            deaf[dice(nodes as f64) as usize] = now + dice(4e6) as Micros;
        }
        if some && dice(1.0) < 0.0003 {
            let node = dice(nodes as f64) as usize;
            caches[node] = LeaseCache::new();
            caches[node].set_proxies(nodes);
            allocator.proxy_ended(now, &name[node]);
        }
        if some && (faults == Faults::Many || cut.iter().all(|until| now > *until)) && dice(1.0) < 0.0001 {
            down = now + dice(3e6) as Micros;
            fence += 1;
            allocator = QuotaAllocator::new(down, QUOTA);
        }
        if name.iter().all(|node| allocator.knows(node)) {
            allocator.knows_all();
        }
        let silent = |node: usize| now > heard[node] + 650_000;
        let strangers = (0..nodes).any(|node| silent(node) && !allocator.knows(&name[node]));
        let due: Way = way.iter().filter(|w| w.0 <= now).cloned().collect();
        way.retain(|w| w.0 > now);
        let mut ended = Vec::new();
        for (_, node, asked, grant) in due {
            if now >= cut[node] && now >= frozen[node] && now >= deaf[node] {
                ended.extend(caches[node].granted(now, asked, "t", grant));
            }
        }
        for node in 0..nodes {
            let linked = now >= cut[node] && now >= down;
            if now >= frozen[node] && linked && now % 200_000 == 0 {
                heard[node] = now;
                allocator.proxy_returned(now, &name[node]);
            }
            if now >= down && now > heard[node] + 650_000 {
                allocator.proxy_missing(now, &name[node], heard[node]);
            }
            if now < frozen[node] {
                continue;
            }
            if dice(1.0) < asked_per_s / nodes as f64 / 1e3 {
                arrivals += 1;
                ended.push(Decision { id: 0, admission: caches[node].admit(now, "t", QUOTA, arrivals) });
            }
            if now % 20_000 == 0 {
                ended.extend(caches[node].tick(now));
            }
            for request in caches[node].lease_requests(now) {
                if linked {
                    heard[node] = now;
                    let returned = if request.fencing_token == fence { request.returned } else { 0.0 };
                    let drawn =
                        allocator.draw(now, &name[node], strangers, &Usage { returned, ..request.usage() });
                    let share = drawn.share;
                    let grant = match drawn.units {
                        Ok(units) => LeaseGrant::Units {
                            units,
                            duration: bounds.lease_duration(QUOTA),
                            fencing_token: fence,
                            share,
                        },
                        Err(Exhausted { retry_after }) => LeaseGrant::Exhausted { retry_after, share },
                    };
                    if request.wanted >= 1.0 {
                        way.push((now + 1_000 + dice(3_000.0) as Micros, node, now, grant));
                    }
                }
            }
        }
        runs.extend(ended.iter().filter(|decision| decision.admission == Admission::Admitted).map(|_| now));
    }
    (runs, arrivals)
}

fn most_in_a_window(runs: &[Micros]) -> usize {
    let mut most = 0;
    let mut last = 0;
    for (first, &from) in runs.iter().enumerate() {
        while last < runs.len() && runs[last] < from + 5_000_000 {
            last += 1;
        }
        most = most.max(last - first);
    }
    most
}

#[gtest]
fn whatever_is_cut_off_frozen_or_dies_the_quota_holds_in_every_window() {
    let bound = (QUOTA.rate * 5.0 + QUOTA.burst) * 1.1 + 20.0;
    for seed in 0..12 {
        for faults in [Faults::Alone, Faults::Many] {
            let (runs, _) = play(seed, 11, 500.0, faults);
            expect_that!(most_in_a_window(&runs) as f64, le(bound), "seed {seed}, {faults:?}");
        }
    }
}

#[gtest]
fn an_answer_that_was_held_up_lives_no_longer_for_an_ask_made_since() {
    let mut cache = LeaseCache::new();
    let block = |units| LeaseGrant::Units { units, duration: 500_000, fencing_token: 1, share: 0.1 };
    expect_that!(cache.admit(0, "t", QUOTA, 1), eq(Admission::Waiting));
    expect_that!(cache.lease_requests(0).len(), eq(1));
    cache.tick(150_000);
    expect_that!(cache.lease_requests(150_000).len(), eq(1), "made anew");
    // The first answer comes when its block has died; the second one in time.
    expect_that!(
        cache.granted(600_000, 0, "t", block(5.0)),
        elements_are![all!(
            field!(&Decision.id, eq(1)),
            field!(&Decision.admission, not(eq(Admission::Admitted)))
        )]
    );
    expect_that!(cache.lease_requests(610_000).len(), eq(0), "one is out");
    cache.granted(640_000, 150_000, "t", block(2.0));
    expect_that!(cache.admit(641_000, "t", QUOTA, 2), eq(Admission::Admitted));
    expect_that!(cache.admit(651_000, "t", QUOTA, 3), not(eq(Admission::Admitted)));
}

#[gtest]
fn a_quota_that_all_ask_for_is_used_and_one_that_few_ask_for_refuses_nobody() {
    let (runs, _) = play(1, 11, 500.0, Faults::None);
    let rate = runs.len() as f64 / 30.0;
    expect_that!(rate, gt(0.93 * QUOTA.rate));
    // The count's process ends now and then, and proxies are cut off.
    let (runs, arrivals) = play(5, 11, 60.0, Faults::Alone);
    expect_that!(runs.len() as f64, gt(0.93 * arrivals as f64));
    let (runs, arrivals) = play(2, 11, 60.0, Faults::None);
    expect_that!(runs.len() as f64, gt(0.985 * arrivals as f64));
    // Thin: a unit every other second at each of many nodes.
    let (runs, arrivals) = play(3, 85, 60.0, Faults::None);
    expect_that!(runs.len() as f64, gt(0.97 * arrivals as f64));
}

#[gtest]
fn beyond_quota_returns_are_spaced_capped_and_not_deferred_twice() {
    let mut cache = LeaseCache::new();
    cache.set_proxies(10);
    expect_that!(cache.admit(0, "t", Quota { rate: 50.0, burst: 25.0 }, 1), eq(Admission::Waiting));
    expect_that!(cache.lease_requests(0).len(), eq(1));
    let ended = cache.granted(1_000, 0, "t", LeaseGrant::Exhausted { retry_after: 400_000, share: 0.1 });
    // x is one request over the configured rate over the nodes, 5 a second; the burst lasts 0.5 s: two fit.
    expect_that!(ended, elements_are![eq(&Decision { id: 1, admission: Admission::Deferred(200_000) })]);
    let mut arrive = |now| cache.admit(now, "t", Quota { rate: 50.0, burst: 25.0 }, 2);
    expect_that!(arrive(2_000), eq(Admission::Deferred(399_000)));
    expect_that!(arrive(3_000), eq(Admission::Rejected));
    expect_that!(arrive(205_000), eq(Admission::Rejected), "it has come back as promised");
    expect_that!(arrive(206_000), eq(Admission::Deferred(395_000)), "a new one");
    expect_that!(cache.rejections(), eq(RejectionCounts { total: 5, unanswered: 0 }));
    let quota = Quota { rate: 50.0, burst: 25.0 };
    expect_that!(cache.admit(500_000, "t", quota, 3), eq(Admission::Waiting));
    expect_that!(cache.tick(500_000 + super::tenant::WAIT_TIMEOUT), len(eq(1)), "no count has answered");
    expect_that!(cache.rejections(), eq(RejectionCounts { total: 6, unanswered: 1 }));
}

// After all machines of a large core had lost power, registries had their duties back within 0.4 s ("acts for 6 of 16
// slices"), lost them 2.5 s later and did not get them back for good: 285 proxies asked for each of 190 tenants again every
// 25 ms, whether a client had asked or not, and the registries had a third of a processor. Three of four requests were
// rejected as long as the clients went on.
#[gtest]
fn while_nobody_counts_leases_are_requested_no_more_often_than_clients_ask() {
    const TENANTS: usize = 190;
    const TICK: Micros = 25_000;
    const SECONDS: Micros = 10;
    let mut cache = LeaseCache::new();
    let (mut arrivals, mut lease_requests) = (0, 0);
    for now in (0..SECONDS * 1_000_000).step_by(TICK as usize) {
        // A client asks every 100 ms, and for each tenant at the start.
        let due = if now == 0 { TENANTS } else { usize::from(now % 100_000 == 0) };
        for _ in 0..due {
            let tenant = format!("t{}", arrivals % TENANTS);
            cache.admit(now, &tenant, QUOTA, arrivals as RequestId);
            arrivals += 1;
        }
        cache.tick(now);
        for request in cache.lease_requests(now) {
            lease_requests += 1;
            cache.granted(now, now, &request.tenant, LeaseGrant::NotOwner);
        }
    }
    expect_that!(lease_requests, ge(TENANTS), "each tenant is asked for");
    // While a client's request waits for 0.3 s, its lease may be requested some times.
    expect_that!(lease_requests, le(5 * arrivals), "of {arrivals} clients' requests");
}

#[gtest]
fn a_count_that_is_there_again_is_found_by_the_next_request() {
    let mut cache = LeaseCache::new();
    cache.admit(0, "t", QUOTA, 1);
    let mut now = 0;
    while now < 5_000_000 {
        cache.tick(now);
        for request in cache.lease_requests(now) {
            cache.granted(now, now, &request.tenant, LeaseGrant::NotOwner);
        }
        now += 25_000;
    }
    // Its share is spent or was never granted, so the request is rejected; but it brings the lease for those after it.
    cache.admit(now, "t", QUOTA, 2);
    let requests = cache.lease_requests(now);
    expect_that!(requests, len(eq(1)));
    let grant = LeaseGrant::Units { units: 2.0, duration: 1_000_000, fencing_token: 1, share: 0.1 };
    cache.granted(now, now, "t", grant);
    expect_that!(cache.admit(now + 1, "t", QUOTA, 3), eq(Admission::Admitted));
}
