//! Tests of stops, restarts and deferred requests.

use googletest::prelude::*;

use super::*;

#[gtest]
fn a_deferred_request_is_admitted_in_its_slot_at_any_node() {
    let (mut a, mut b) = (ArrivalGate::new("a"), ArrivalGate::new("b"));
    let empty = LevelUpdate { fencing_token: 1, sequence: 1, level: Level::Empty };
    let available = LevelUpdate { sequence: 2, level: Level::Available, ..empty };
    expect_that!([a.update(0, empty), b.update(0, empty), b.update(0, empty)], eq([true, true, false]));
    let Arrival::Deferred { slot, retry_after } = a.arrive(0, 0, 7, true) else { panic!("it is deferred") };
    expect_that!(retry_after, all!(ge(MIN_RETRY_AFTER - SLOT_LENGTH), le(2 * MIN_RETRY_AFTER + SLOT_LENGTH)));
    a.own_counts().for_each(|(slot, counts)| (0..2).for_each(|_| b.merge_counts(slot, "a", counts)));
    // The restart was just before, so hardly any new request is admitted.
    b.update(retry_after - 1_000, available);
    expect_that!(b.update(retry_after, empty), eq(false), "an old update");
    expect_that!(b.open_places(slot), eq(1), "received twice, counted once");
    expect_that!(b.arrive(retry_after, retry_after, 7, true), eq(Arrival::Admitted));
    expect_that!(
        b.arrive(retry_after, retry_after, 8, true),
        not(eq(Arrival::Admitted)),
        "the only place is used"
    );
}

#[gtest]
fn requests_are_spread_out_after_a_stop_and_after_a_restart() {
    let mut gate = ArrivalGate::new("a");
    gate.update(0, LevelUpdate { fencing_token: 1, sequence: 1, level: Level::Empty });
    let mut slots: BTreeMap<u64, u32> = BTreeMap::new();
    for request in 0..1_000 {
        if let Arrival::Deferred { slot, .. } = gate.arrive(0, 0, request, true) {
            *slots.entry(slot).or_default() += 1;
        }
    }
    // 1,000 requests over 20 slots, 50 each on average.
    expect_that!(slots.values().max(), some(le(&90)));
    gate.update(0, LevelUpdate { fencing_token: 1, sequence: 2, level: Level::Available });
    let mut in_tenth = [0; 10];
    for n in 0..1_000_u64 {
        in_tenth[(n / 100) as usize] +=
            u32::from(gate.arrive(n * 1_000, n * 1_000, n, true) == Arrival::Admitted);
    }
    expect_that!(in_tenth, eq([0, 10, 20, 30, 40, 50, 60, 70, 80, 90]));
}

#[gtest]
fn credit_returned_after_the_stop_does_not_restart_proxies() {
    let mut controller = LevelController::new(3);
    expect_that!(controller.step(10_000, 0, 10, 11).level, eq(Level::Available));
    expect_that!(controller.step(300, 0, 10, 11).level, eq(Level::Low));
    expect_that!(controller.step(0, 200, 10, 11).level, eq(Level::Low), "proxies still hold credit");
    expect_that!(controller.step(0, 100, 10, 11).level, eq(Level::Empty));
    expect_that!(controller.step(109, 0, 10, 11).level, eq(Level::Empty));
    let low = controller.step(300, 0, 10, 11);
    expect_that!(low, eq(LevelUpdate { fencing_token: 3, sequence: 3, level: Level::Low }));
}
