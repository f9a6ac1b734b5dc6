//! The plan of a soak follows from its seed alone, and keeps within what the gateway is told to bear.

use std::collections::BTreeSet;
use std::time::Duration;

use googletest::prelude::*;
use pinerelay_meadow::soak::{
    draw, Change, Disk, Plan, Program, Signal, Soak, Step, Target, LOST_AFTER_RETURN,
};

const LENGTH: Duration = Duration::from_secs(20);
const SEEDS: u64 = 300;
/// Steps of one series to the programs of a machine lie this far apart at the most, and a start waits as long for the end.
const APART: Duration = Duration::from_millis(100);

fn plan(seed: u64, cores: usize, proxies: usize) -> Plan {
    draw(Soak { seed, cores, proxies }, LENGTH)
}

#[gtest]
fn a_plan_follows_from_its_seed() {
    expect_that!(plan(7, 3, 3), eq(&plan(7, 3, 3)));
    expect_that!(plan(7, 3, 3).steps, not(eq(&plan(8, 3, 3).steps)));
    expect_that!(plan(7, 3, 3).to_string(), starts_with("plan of seed 7, 3 cores, 3 proxies"));
}

/// Core machines that are lost at a time: from the first signal that stops or ends one of its programs until four seconds
/// after it is back.
fn lost(plan: &Plan, at: Duration) -> BTreeSet<usize> {
    let core = |target: &Target| target.program != Program::Proxy;
    let mut lost = BTreeSet::new();
    for (begun, step) in &plan.steps {
        let Step::Signal(target, signal) = step else { continue };
        if !core(target) || *signal == Signal::Hangup || *signal == Signal::Continue || *begun > at {
            continue;
        }
        let back = plan.steps.iter().find(|(end, step)| {
            let same = |other: &Target| other == target;
            let comes = match step {
                Step::Signal(other, Signal::Continue) => *signal == Signal::Stop && same(other),
                Step::Start(other, _) => *signal != Signal::Stop && same(other),
                Step::StartAll => true,
                _ => false,
            };
            comes && *end >= *begun
        });
        if back.is_none_or(|(end, _)| *end + LOST_AFTER_RETURN > at + APART * 2) {
            lost.insert(target.machine);
        }
    }
    lost
}

#[gtest]
fn no_more_core_machines_are_lost_at_once_than_tolerated() {
    for seed in 0..SEEDS {
        for (cores, tolerated) in [(3, 1), (5, 2)] {
            let plan = plan(seed, cores, 3);
            for (at, _) in &plan.steps {
                expect_that!(lost(&plan, *at).len(), le(tolerated), "seed {seed}, {cores} cores, {at:?}");
            }
        }
    }
}

#[gtest]
fn each_process_runs_at_the_end_and_at_least_one_proxy_has_no_trouble_at_a_time() {
    for seed in 0..SEEDS {
        let plan = plan(seed, 5, 3);
        let (mut down, mut still) = (BTreeSet::new(), BTreeSet::new());
        for (at, step) in &plan.steps {
            match step {
                Step::Signal(target, Signal::Stop) => drop(still.insert(*target)),
                Step::Signal(target, Signal::Continue) => drop(still.remove(target)),
                Step::Signal(target, Signal::Kill | Signal::Terminate) => drop(down.insert(*target)),
                Step::Start(target, _) => drop(down.remove(target)),
                Step::StartAll => (down, still) = Default::default(),
                _ => {}
            }
            let proxies: BTreeSet<usize> =
                down.union(&still).filter(|t| t.program == Program::Proxy).map(|t| t.machine).collect();
            expect_that!(proxies.len(), lt(3), "seed {seed}, {at:?}");
        }
        expect_that!((down, still), eq(&(BTreeSet::new(), BTreeSet::new())), "seed {seed}");
    }
}

#[gtest]
fn plans_have_all_troubles_and_kill_all_at_once_or_twice() {
    let mut signals = BTreeSet::new();
    let mut changes = BTreeSet::new();
    let (mut empty, mut leaves, mut crashes, mut twice) = (0, 0, 0, 0);
    for seed in 0..SEEDS {
        let plan = plan(seed, 3, 3);
        let all = |wanted: Step| plan.steps.iter().filter(|(_, step)| *step == wanted).count();
        expect_that!(all(Step::KillAll), all![ge(1), le(2)], "seed {seed}");
        expect_that!(all(Step::KillAll), eq(all(Step::StartAll)), "seed {seed}");
        twice += all(Step::KillAll) - 1;
        for (_, step) in &plan.steps {
            match step {
                Step::Signal(target, signal) => drop(signals.insert((target.program, signal.name()))),
                Step::Start(_, disk) => empty += usize::from(*disk == Disk::Empty),
                Step::Change(Change::Add(_)) => drop(changes.insert("add")),
                Step::Change(Change::Move(_)) => drop(changes.insert("move")),
                Step::Change(Change::Remove(_)) => drop(changes.insert("remove")),
                Step::Change(Change::Touch(_)) => drop(changes.insert("touch")),
                Step::ServerLeaves(..) => leaves += 1,
                Step::ServerCrashes(..) => crashes += 1,
                Step::KillAll | Step::StartAll => {}
            }
        }
    }
    expect_that!(signals.len(), eq(15), "five signals, three programs");
    expect_that!(changes.len(), eq(4));
    expect_that!((empty, leaves, crashes, twice), (gt(50), gt(500), gt(500), gt(50)));
}

#[gtest]
fn a_long_soak_kills_all_again_and_again() {
    let plan = draw(Soak { seed: 3, cores: 5, proxies: 40 }, Duration::from_secs(100));
    expect_that!(plan.steps.iter().filter(|(_, step)| *step == Step::KillAll).count(), all![ge(5), le(10)]);
}
