//! Ticks and events under a queue that never gets empty, and the time up to which all events have been handled.

use googletest::prelude::*;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

use super::*;
use crate::link::Links;

const INTERVAL: Duration = Duration::from_millis(100);
const MS: Duration = Duration::from_millis(1);

/// The order of a process whose first tick has run at the given start.
fn order(start: Instant) -> EventOrder {
    let mut order = EventOrder::new(start);
    order.ticked(start, INTERVAL);
    order
}

#[gtest]
fn a_due_tick_waits_for_a_bounded_number_of_events() {
    let start = Instant::now();
    let mut order = order(start);
    (0..1_000).for_each(|_| order.event_handled(start + 99 * MS));
    expect_that!(order.must_tick(start + 99 * MS), eq(false), "it is not due");
    let due = start + INTERVAL;
    expect_that!(order.must_tick(due), eq(false), "queued events are handled first");
    for _ in 0..MAX_OVERDUE_EVENTS {
        expect_that!(order.must_tick(due), eq(false));
        order.event_handled(due);
    }
    expect_that!(order.must_tick(due), eq(true));
    // The tick takes longer than the interval; events are handled after it nevertheless.
    let end = due + 3 * INTERVAL;
    order.ticked(end, INTERVAL);
    expect_that!(order.must_tick(end + 99 * MS), eq(false));
    order.bring_forward(end + 25 * MS);
    expect_that!(order.next_tick(), eq(end + 25 * MS));
    order.bring_forward(end + 50 * MS);
    expect_that!(order.next_tick(), eq(end + 25 * MS));
}

#[gtest]
fn the_backlog_counts_from_the_last_time_up_to_which_everything_was_handled() {
    let start = Instant::now();
    let mut order = order(start);
    expect_that!(order.backlog(start + INTERVAL, Some(0)), eq(Duration::ZERO));
    order.all_read_since(start + INTERVAL, Some(2));
    let next = start + 2 * INTERVAL;
    expect_that!(order.backlog(next, Some(3)), eq(INTERVAL), "empty at the tick before");
    order.event_handled(next);
    expect_that!(order.backlog(next, Some(2)), eq(INTERVAL), "one of two is not handled yet");
    order.all_read_since(next, Some(2));
    order.event_handled(next);
    let later = start + 3 * INTERVAL;
    expect_that!(order.backlog(later, Some(1)), eq(2 * INTERVAL), "what was read by the first tick");
    order.event_handled(later);
    expect_that!(order.backlog(later, Some(1)), eq(INTERVAL), "what was read by the second tick");
    expect_that!(order.backlog(later, Some(0)), eq(Duration::ZERO));
}

#[gtest]
fn messages_that_wait_for_room_in_the_queue_count_as_unhandled() {
    let start = Instant::now();
    let mut order = order(start);
    order.all_read_since(start + INTERVAL, None);
    order.event_handled(start + INTERVAL);
    expect_that!(order.backlog(start + 2 * INTERVAL, None), eq(2 * INTERVAL));
}

#[gtest]
fn after_a_stall_the_backlog_covers_the_stall() {
    let start = Instant::now();
    let mut order = order(start);
    expect_that!(order.backlog(start, Some(0)), eq(Duration::ZERO));
    // Messages are queued when the process resumes, more than are handled before the due tick.
    let resumed = start + 20 * INTERVAL;
    (0..MAX_OVERDUE_EVENTS).for_each(|_| order.event_handled(resumed));
    expect_that!(order.must_tick(resumed), eq(true));
    expect_that!(order.backlog(resumed, Some(500)), eq(20 * INTERVAL));
}

/// Runs a test with links that no process is connected to.
fn with_work(test: impl AsyncFnOnce(&Links, WorkQueue)) {
    let runtime = Builder::new_current_thread().enable_time().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let (links, events) = Links::new();
        test(&links, WorkQueue::new(events)).await;
    });
}

#[gtest]
fn ticks_run_however_many_events_are_queued() {
    with_work(async |links, mut work| {
        let mut ticks = 0;
        // Each event that is handled brings another one.
        (0..100).for_each(|_| links.report(LinkEvent::Disconnected(1), None));
        for _ in 0..10 * (MAX_OVERDUE_EVENTS + 1) {
            match work.next().await {
                Work::Event(_) => links.report(LinkEvent::Disconnected(1), None),
                Work::Tick { .. } => {
                    ticks += 1;
                    // The next one is due at once.
                    work.ticked(Duration::ZERO);
                }
            }
        }
        expect_that!(ticks, eq(10));
    });
}

#[gtest]
fn without_queued_events_a_tick_has_no_backlog() {
    with_work(async |links, mut work| {
        let started = Instant::now();
        links.report(LinkEvent::Disconnected(1), None);
        expect_that!(work.next().await, matches_pattern!(Work::Event(anything())));
        let tick = work.next().await;
        // If the test itself was delayed, that is a stall.
        if started.elapsed() <= MAX_TICK_DELAY {
            expect_that!(tick, matches_pattern!(Work::Tick { backlog: eq(&Duration::ZERO) }));
        }
        work.ticked(INTERVAL);
        links.report(LinkEvent::Disconnected(2), None);
        expect_that!(work.next().await, matches_pattern!(Work::Event(anything())));
    });
}

// Guards against proxies that are all taken for silent after a stall: the first tick ran before their messages were read.
#[gtest]
fn the_first_tick_after_a_stall_has_the_stall_as_its_backlog() {
    with_work(async |_, mut work| {
        let stalled_since = Instant::now() - 8 * MAX_TICK_DELAY;
        work.order = order(stalled_since);
        let tick = work.next().await;
        expect_that!(tick, matches_pattern!(Work::Tick { backlog: ge(&(8 * MAX_TICK_DELAY)) }));
    });
}
