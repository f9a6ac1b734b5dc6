//! The order in which a process handles link events and runs its periodic work, the tick.
//!
//! A due tick waits for queued events, so that peers are not taken for silent while their messages are queued here, but only for
//! [`MAX_OVERDUE_EVENTS`] of them: periodic work is not starved by a queue that never gets empty. A tick that runs while events
//! are queued is told since when messages may be unhandled, and judges the silence of peers up to that time.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::{sleep_until, Instant};

use crate::link::{LinkEvent, LinkEvents};

#[cfg(test)]
mod tests;

/// The maximum number of events that are handled while a tick is due.
pub const MAX_OVERDUE_EVENTS: usize = 32;
/// A tick that is later than this counts as the first one after a stall of the process.
const MAX_TICK_DELAY: Duration = Duration::from_millis(100);

/// A number of handled events by which everything is handled that had arrived up to a time.
#[derive(Debug, Clone, Copy)]
struct Checkpoint {
    arrived_until: Instant,
    handled: u64,
}

/// Decides between events and ticks, and tracks up to which time all events have been handled. It reads no clock.
#[derive(Debug)]
pub struct EventOrder {
    next_tick: Instant,
    /// The number of events handled since the tick became due.
    overdue_events: usize,
    /// The number of all events handled so far.
    handled: u64,
    /// Oldest first.
    checkpoints: VecDeque<Checkpoint>,
    /// Everything that had arrived up to this time has been handled.
    handled_until: Instant,
}

impl EventOrder {
    /// The order of a process that starts now. Its first tick is due at once.
    pub fn new(now: Instant) -> EventOrder {
        EventOrder {
            next_tick: now,
            overdue_events: 0,
            handled: 0,
            checkpoints: VecDeque::new(),
            handled_until: now,
        }
    }

    /// When the next tick is due.
    pub fn next_tick(&self) -> Instant {
        self.next_tick
    }

    /// Makes the next tick due at a time, unless it is due before.
    pub fn bring_forward(&mut self, to: Instant) {
        self.next_tick = self.next_tick.min(to);
    }

    /// Whether the tick has to run before the next event.
    pub fn must_tick(&self, now: Instant) -> bool {
        now >= self.next_tick && self.overdue_events >= MAX_OVERDUE_EVENTS
    }

    /// An event has been handled.
    pub fn event_handled(&mut self, now: Instant) {
        if now >= self.next_tick {
            self.overdue_events += 1;
        }
        self.handled += 1;
        while let Some(passed) = self.checkpoints.pop_front_if(|next| next.handled <= self.handled) {
            self.handled_until = self.handled_until.max(passed.arrived_until);
        }
    }

    /// For how long messages may have been waiting at a tick that runs now; zero if no event is queued. `queued` is the number of
    /// queued events; `None` if further ones have been received that are not queued yet.
    pub fn backlog(&mut self, now: Instant, queued: Option<usize>) -> Duration {
        if queued == Some(0) {
            self.handled_until = self.handled_until.max(now);
            self.checkpoints.clear();
        }
        now.saturating_duration_since(self.handled_until)
    }

    /// A tick has ended. The next one is due an interval later, so that events are handled in between however long it took.
    pub fn ticked(&mut self, now: Instant, interval: Duration) {
        self.next_tick = now + interval;
        self.overdue_events = 0;
    }

    /// All links have been read since a time: what had arrived by then is handled once the events queued now are. `queued` is as
    /// in [`EventOrder::backlog`].
    pub fn all_read_since(&mut self, time: Instant, queued: Option<usize>) {
        if let Some(queued) = queued {
            let handled = self.handled + queued as u64;
            self.checkpoints.push_back(Checkpoint { arrived_until: time, handled });
        }
    }
}

/// What a process does next.
#[derive(Debug)]
pub enum Work {
    /// Handle a link event.
    Event(LinkEvent),
    /// Run the tick, and then call [`WorkQueue::ticked`].
    Tick {
        /// Messages that arrived within this time may not have been handled yet; zero if all have been.
        backlog: Duration,
    },
}

/// The link events and ticks of a process, in the order of an [`EventOrder`].
pub struct WorkQueue {
    events: LinkEvents,
    order: EventOrder,
    /// Whether the last work was an event, which has been handled once further work is asked for.
    handles_event: bool,
    /// When the last tick began, until the links have been read since.
    ticked_at: Option<Instant>,
}

impl WorkQueue {
    /// The work of a process that starts now. Its first tick is due at once.
    pub fn new(events: LinkEvents) -> WorkQueue {
        WorkQueue { events, order: EventOrder::new(Instant::now()), handles_event: false, ticked_at: None }
    }

    /// Waits for the next work. No work is lost if the future is dropped.
    pub async fn next(&mut self) -> Work {
        if std::mem::take(&mut self.handles_event) {
            self.order.event_handled(Instant::now());
        }
        if let Some(ticked_at) = self.ticked_at {
            yield_now().await;
            self.ticked_at = None;
            self.order.all_read_since(ticked_at, self.events.queued());
        }
        if self.order.must_tick(Instant::now()) {
            return self.tick();
        }
        let waiting_since = (self.events.queued() == Some(0)).then(Instant::now);
        tokio::select! {
            biased;
            Some(event) = self.events.recv() => {
                self.handles_event = true;
                if let Some(since) = waiting_since {
                    self.order.all_read_since(since, self.events.queued().map(|others| others + 1));
                }
                Work::Event(event)
            }
            () = sleep_until(self.order.next_tick()) => self.tick(),
        }
    }

    fn tick(&mut self) -> Work {
        let now = Instant::now();
        self.ticked_at = Some(now);
        let delay = now.saturating_duration_since(self.order.next_tick());
        // After a stall the links have not been read yet, so messages may have arrived though none are queued.
        let queued = self.events.queued().filter(|_| delay <= MAX_TICK_DELAY);
        Work::Tick { backlog: self.order.backlog(now, queued) }
    }

    /// The tick has ended; the next one is due after an interval.
    pub fn ticked(&mut self, interval: Duration) {
        self.order.ticked(Instant::now(), interval);
    }

    /// Makes the next tick due within a time, unless it is due before.
    pub fn tick_within(&mut self, time: Duration) {
        self.order.bring_forward(Instant::now() + time);
    }

    /// The remaining events, for a process that runs no further ticks.
    pub fn into_events(self) -> LinkEvents {
        self.events
    }
}
