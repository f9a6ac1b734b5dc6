//! Notices that this process has stood still, and keeps attempts back until it has heard what it was told meanwhile.
//!
//! A process that gets a part of a core, or whose machine is busy, stands still for seconds at times. When it goes on, its
//! sockets are looked at in the order in which they became readable: a client's request may come before the operator's call
//! or the change of the list that forbids its app server, though that was told long ago.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

/// How often the process proves that it goes on.
pub const TICK: Duration = Duration::from_millis(250);
/// So much later it has stood still. With the tick that is less than the 0.5 s in which nothing new has to go to an app server
/// that drains.
const LATE: Duration = Duration::from_millis(150);
/// Looks at all sockets until what lay unread has been acted upon: a call is accepted, then read, then done; and one to spare.
const LOOKS: usize = 4;
/// How long the other processes' records are waited for: their reading may wait for the disk.
const RECORDS_WAIT: Duration = Duration::from_millis(50);

/// Where a process stands between two ticks: no clock, no I/O.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct State {
    /// Since the last tick.
    ticked: Duration,
    /// It has stood still and has not heard all yet.
    behind: bool,
}

impl State {
    /// Whether it may have been told what it has not heard.
    fn behind(self) -> bool {
        self.behind || self.ticked > TICK + LATE
    }
}

/// Watches over one process.
pub struct Vigil {
    last: Cell<Instant>,
    behind: Cell<bool>,
    /// Other processes of this node may have been told what this one was not.
    others: Cell<bool>,
    looked: Notify,
}

impl Vigil {
    /// One that begins now. Somebody has to call [`Vigil::tick`] each [`TICK`].
    pub fn new() -> Rc<Vigil> {
        Rc::new(Vigil {
            last: Cell::new(Instant::now()),
            behind: Cell::new(false),
            others: Cell::new(false),
            looked: Notify::new(),
        })
    }

    /// Whether it may have been told what it has not heard yet.
    pub fn behind(&self) -> bool {
        State { ticked: self.last.get().elapsed(), behind: self.behind.get() }.behind()
    }

    /// It goes on. After a standstill this comes back once all has been heard.
    pub async fn tick(&self) {
        if self.behind() {
            self.behind.set(true);
            self.caught_up().await;
            self.behind.set(false);
        }
        self.last.set(Instant::now());
    }

    /// Comes back once all that was told while the process stood still has been heard; at once if it has not.
    pub async fn caught_up(&self) {
        if !self.behind() {
            return;
        }
        // Made before the looks: what is found during them counts.
        let looked = self.looked.notified();
        for _ in 0..LOOKS {
            // Runs again after the next look at the sockets, behind all that it woke.
            tokio::task::yield_now().await;
        }
        if self.others.get() {
            // A disk that stands still must not hold requests for longer.
            let _ = timeout(RECORDS_WAIT, looked).await;
        }
    }

    /// The records of the other processes have been read; there are some, or not.
    pub fn looked(&self, others: bool) {
        self.others.set(others);
        self.looked.notify_waiters();
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::future::Future;
    use std::pin::pin;
    use std::task::{Context, Waker};

    #[test]
    fn a_tick_that_is_late_means_a_standstill_until_all_is_heard() {
        let state = |ms, behind| State { ticked: Duration::from_millis(ms), behind }.behind();
        assert!(!state(0, false) && !state(400, false));
        assert!(state(401, false) && state(0, true));
    }

    #[tokio::test(start_paused = true)]
    async fn after_a_standstill_the_other_processes_are_heard_too() {
        let vigil = Vigil::new();
        vigil.tick().await;
        assert!(!vigil.behind());
        vigil.looked(true);
        tokio::time::advance(Duration::from_millis(401)).await;
        assert!(vigil.behind());
        let mut tick = pin!(vigil.tick());
        let mut cx = Context::from_waker(Waker::noop());
        for _ in 0..20 {
            assert!(tick.as_mut().poll(&mut cx).is_pending());
            tokio::task::yield_now().await;
        }
        vigil.looked(true);
        tick.await;
        assert!(!vigil.behind());
    }

    #[tokio::test(start_paused = true)]
    async fn records_that_cannot_be_read_hold_it_up_for_a_moment() {
        let vigil = Vigil::new();
        vigil.looked(true);
        tokio::time::advance(Duration::from_millis(500)).await;
        let begun = Instant::now();
        vigil.tick().await;
        assert_eq!(begun.elapsed().as_millis(), RECORDS_WAIT.as_millis());
        assert!(!vigil.behind());
    }
}
