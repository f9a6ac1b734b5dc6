//! The order of events at a processor whose queue never gets empty.

use googletest::prelude::*;

use super::*;

/// More events than a due tick waits for.
const EVENTS: usize = 3 * MAX_OVERDUE_EVENTS;

/// How many events are handled before a tick that is due.
fn events_before_tick(order: EventOrder) -> usize {
    let waiting = (0..EVENTS as u64).map(|id| (0, Work::Request(id))).collect();
    let mut processor = Processor { waiting, tick_due: true, ..Processor::default() };
    std::iter::from_fn(|| processor.next(order)).take_while(|work| !matches!(work, Work::Tick)).count()
}

#[gtest]
fn a_due_tick_waits_as_the_order_of_events_says() {
    expect_that!(events_before_tick(EventOrder::TickFirst), eq(0));
    expect_that!(events_before_tick(EventOrder::BoundedMessages), eq(MAX_OVERDUE_EVENTS));
    expect_that!(events_before_tick(EventOrder::MessagesFirst), eq(EVENTS));
}
