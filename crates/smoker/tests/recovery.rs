//! Deployments of any size come back from a loss of power, and from a burst, within seconds.

use googletest::prelude::*;
use pinerelay_smoker::plan::{Micros, SECOND};
use pinerelay_smoker::recovery::clients::Outcome;
use pinerelay_smoker::recovery::faults::{RecoveryFault, BURST_LENGTH, FAULT_ENDS};
use pinerelay_smoker::recovery::plan::{EventOrder, RecoveryPlan};
use pinerelay_smoker::recovery::play;
use pinerelay_smoker::recovery::samples::{Report, Second, SAMPLE};

/// So much of what is asked within the quotas has to be admitted: most.
const MOST: f64 = 0.5;
/// So much of it has to be admitted on average while a burst lasts: near what the quotas bear.
const NEAR: f64 = 0.8;
/// So much of it has to be admitted in each second once a burst is over for [`SETTLED_AFTER`]: nearly all.
const NEARLY_ALL: f64 = 0.95;
/// Up to so many machines a burst is borne even if the cost of a lease request grows with the proxies.
const MACHINES_WITH_DEAR_LEASES: usize = 100;
/// How long after a burst nearly all has to be admitted again.
const SETTLED_AFTER: Micros = 2 * SECOND;
/// For so long after a fault it is looked at: longer than the epochs' joint period, after which duties move.
const WATCHED_SECONDS: u64 = 6;

fn plan(machines: usize, fault: RecoveryFault, watched_from: Micros) -> RecoveryPlan {
    let mut plan = RecoveryPlan::of_size(machines, fault, 1);
    plan.seconds = watched_from / SECOND + WATCHED_SECONDS + 1;
    plan
}

fn recover(machines: usize, fault: RecoveryFault, watched_from: Micros) -> Report {
    play(&plan(machines, fault, watched_from))
}

/// The share that was admitted in each second that is watched, from a second after a moment on.
fn shares(report: &Report, from: Micros) -> Vec<f64> {
    let seconds = report.seconds(from + SECOND, from + WATCHED_SECONDS * SECOND);
    seconds.iter().map(Second::share).collect()
}

fn expect_most_admitted(report: &Report, from: Micros, machines: usize) {
    let shares = shares(report, from);
    expect_that!(shares.len() as u64, eq(WATCHED_SECONDS - 1), "{machines} machines: {report}");
    expect_that!(shares, each(ge(&MOST)), "{machines} machines: {report}");
    expect_that!(report.exceeded, is_empty(), "{machines} machines");
}

#[gtest]
fn most_requests_are_admitted_from_a_second_after_all_power_is_back() {
    for machines in [36, 100, 300] {
        let report = recover(machines, RecoveryFault::AllPower, FAULT_ENDS);
        expect_most_admitted(&report, FAULT_ENDS, machines);
    }
}

#[gtest]
fn one_silent_proxy_of_hundreds_does_not_stop_the_others() {
    for machines in [36, 200] {
        let report = recover(machines, RecoveryFault::LateProxy, FAULT_ENDS);
        expect_most_admitted(&report, FAULT_ENDS, machines);
    }
}

#[gtest]
fn a_burst_is_admitted_up_to_the_quotas_and_ends_with_it() {
    for machines in [36, 100] {
        let burst_ends = FAULT_ENDS + BURST_LENGTH;
        let report = recover(machines, RecoveryFault::Burst, burst_ends);
        expect_most_admitted(&report, FAULT_ENDS - SECOND, machines);
        expect_most_admitted(&report, burst_ends - SECOND, machines);
    }
}

/// Expects that a burst with two core machines lost in it admits what the quotas bear, and that its end is felt at once.
fn expect_burst_and_loss_are_borne(machines: usize) {
    let burst_ends = FAULT_ENDS + BURST_LENGTH;
    let mut plan = plan(machines, RecoveryFault::BurstAndLoss, burst_ends);
    plan.order = EventOrder::BoundedMessages;
    // In the programs a lease request costs the same at any number of proxies; the dearer one is borne by fewer machines.
    plan.mended.lease_work = machines > MACHINES_WITH_DEAR_LEASES;
    let report = play(&plan);
    let in_burst = report.seconds(FAULT_ENDS, burst_ends);
    // A second in which full buckets are emptied does not make up for another.
    let shares: Vec<f64> = in_burst.iter().map(|second| second.share().min(1.0)).collect();
    let mean = shares.iter().sum::<f64>() / shares.len() as f64;
    expect_that!(shares.len() as u64, eq(BURST_LENGTH / SECOND), "{machines} machines: {report}");
    expect_that!(mean, ge(NEAR), "{machines} machines, in the burst: {report}");
    expect_that!(shares, each(ge(&MOST)), "{machines} machines, in the burst");
    let settled = report.seconds(burst_ends + SETTLED_AFTER, burst_ends + WATCHED_SECONDS * SECOND);
    let shares: Vec<f64> = settled.iter().map(Second::share).collect();
    expect_that!(shares.len() as u64, eq(WATCHED_SECONDS - SETTLED_AFTER / SECOND), "{machines} machines");
    expect_that!(shares, each(ge(&NEARLY_ALL)), "{machines} machines, after the burst");
    expect_that!(report.exceeded, is_empty(), "{machines} machines");
}

#[gtest]
fn two_core_machines_lost_in_a_burst_leave_what_is_admitted_near_the_quotas() {
    [36, 100].into_iter().for_each(expect_burst_and_loss_are_borne);
}

#[gtest]
fn two_core_machines_lost_in_a_burst_at_hundreds_of_proxies_leave_what_is_admitted_near_the_quotas() {
    expect_burst_and_loss_are_borne(300);
}

/// After the loss of a core machine its duties are with others within this time: they lapse 0.9 s after its last claim.
const TAKEOVER: Micros = 3 * SAMPLE;
/// At most one in this many requests waits in vain for a lease from then on.
const WAITED_IN_VAIN_DIVISOR: u64 = 50;

// Guards against duties that stay with a lost machine until the links to it close, and against proxies that go on asking it.
#[gtest]
fn the_duties_of_a_lost_core_machine_are_taken_over_before_the_links_to_it_close() {
    for machines in [36, 100] {
        let report = recover(machines, RecoveryFault::CoreMachine, FAULT_ENDS);
        expect_most_admitted(&report, FAULT_ENDS - SECOND, machines);
        let samples = &report.samples[((FAULT_ENDS + TAKEOVER) / SAMPLE) as usize..];
        for sample in samples {
            let in_vain = sample.count(Outcome::WaitedInVain) * WAITED_IN_VAIN_DIVISOR;
            expect_that!(in_vain, le(sample.asked), "{machines} machines: {report}");
        }
    }
}
