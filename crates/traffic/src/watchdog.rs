//! Detects that this process was stalled, and delays new attempts until pending input has been processed.
//!
//! A process on a shared core or a busy machine may not run for seconds. When it resumes, sockets are handled
//! in the order in which they became readable: a client's request may come before the operator's call or the
//! discovery update that forbids its app server, although that was sent long before.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// Interval of the ticks that show that the process runs.
pub const TICK: Duration = Duration::from_millis(250);
/// A tick this late counts as a stall. Together with the tick interval it is less than the 0.5 s within which
/// a draining app server must stop receiving new requests.
const STALL_THRESHOLD: Duration = Duration::from_millis(150);
/// Number of polls of all sockets until pending input has been acted upon: accept a call, read it, carry it out, and
/// one spare.
const CATCH_UP_POLLS: usize = 4;
/// How long to wait for the records of the other processes: reading them may wait for the disk.
const RECORDS_TIMEOUT: Duration = Duration::from_millis(50);

/// The state between two ticks, without clock and I/O.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct State {
    /// Time since the last tick.
    since_tick: Duration,
    /// The process was stalled and has not processed all pending input yet.
    behind: bool,
}

impl State {
    /// Whether unprocessed input may be pending.
    fn behind(self) -> bool {
        self.behind || self.since_tick > TICK + STALL_THRESHOLD
    }
}

/// Detects stalls of one process.
pub struct Watchdog {
    last_tick: Cell<Instant>,
    /// As in [`State`].
    behind: Cell<bool>,
    /// Other processes of this node may have received input that this one has not.
    others: Cell<bool>,
    /// Notified when the records of the other processes have been read.
    records_read: Notify,
}

impl Watchdog {
    /// Starts now. The caller has to call [`Watchdog::tick`] once per [`TICK`].
    pub fn new() -> Rc<Watchdog> {
        Rc::new(Watchdog {
            last_tick: Cell::new(Instant::now()),
            behind: Cell::new(false),
            others: Cell::new(false),
            records_read: Notify::new(),
        })
    }

    /// Whether the process was stalled and unprocessed input may be pending.
    pub fn behind(&self) -> bool {
        State { since_tick: self.last_tick.get().elapsed(), behind: self.behind.get() }.behind()
    }

    /// Records that the process runs; after a stall, waits for [`Watchdog::caught_up`] first.
    pub async fn tick(&self) {
        if self.behind() {
            self.behind.set(true);
            self.caught_up().await;
            self.behind.set(false);
        }
        self.last_tick.set(Instant::now());
    }

    /// Gives the input that arrived during a stall time to be processed: returns after `CATCH_UP_POLLS` polls of
    /// the sockets and, if there are other processes, once their records have been read or `RECORDS_TIMEOUT` has
    /// passed. Returns at once if there was no stall.
    pub async fn caught_up(&self) {
        if !self.behind() {
            return;
        }
        // Registered before the polls, so that records read during them count.
        let records_read = self.records_read.notified();
        for _ in 0..CATCH_UP_POLLS {
            // Resumes after the next poll of the sockets, behind every task that the poll woke.
            tokio::task::yield_now().await;
        }
        if self.others.get() {
            // A stalled disk must not delay requests for longer.
            let _ = timeout(RECORDS_TIMEOUT, records_read).await;
        }
    }

    /// The records of the other processes have been read; `others` tells whether there are such processes.
    pub fn records_read(&self, others: bool) {
        self.others.set(others);
        self.records_read.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::Future;
    use std::pin::pin;
    use std::task::{Context, Waker};

    #[test]
    fn a_late_tick_means_a_stall_until_all_input_is_processed() {
        let state = |ms, behind| State { since_tick: Duration::from_millis(ms), behind }.behind();
        assert!(!state(0, false) && !state(400, false));
        assert!(state(401, false) && state(0, true));
    }

    #[tokio::test(start_paused = true)]
    async fn after_a_stall_the_other_processes_records_are_awaited() {
        let watchdog = Watchdog::new();
        watchdog.tick().await;
        assert!(!watchdog.behind());
        watchdog.records_read(true);
        tokio::time::advance(Duration::from_millis(401)).await;
        assert!(watchdog.behind());
        let mut tick = pin!(watchdog.tick());
        let mut cx = Context::from_waker(Waker::noop());
        for _ in 0..20 {
            assert!(tick.as_mut().poll(&mut cx).is_pending());
            tokio::task::yield_now().await;
        }
        watchdog.records_read(true);
        tick.await;
        assert!(!watchdog.behind());
    }

    #[tokio::test(start_paused = true)]
    async fn unreadable_records_delay_it_by_the_timeout_only() {
        let watchdog = Watchdog::new();
        watchdog.records_read(true);
        tokio::time::advance(Duration::from_millis(500)).await;
        let begun = Instant::now();
        watchdog.tick().await;
        assert_eq!(begun.elapsed().as_millis(), RECORDS_TIMEOUT.as_millis());
        assert!(!watchdog.behind());
    }
}
