//! How long a connection may have stood idle and still be used again, learned from how requests on it end.

use std::cell::{Cell, RefCell};
use std::time::Duration;

/// Idle ages are told apart by half octaves, from under a millisecond to about a minute.
const STEPS: usize = 32;
/// What a new connection costs, its handshake and the app server's work for it, in breaks of a request.
const PRICE: f64 = 0.05;
/// Breaks saved beyond the price from which on older connections are passed over.
const EVIDENCE: f64 = 2.0;
/// What counts are still worth a second later.
const FADE: f64 = 0.92;

/// Requests that ended on connections of one age, and those that a break ended before a byte came back.
#[derive(Clone, Copy, Default)]
struct Ends {
    all: f64,
    broken: f64,
}

/// The age up to which connections are used again. Danger: app servers, or what lies before them, that drop
/// idle connections long before they say so. The end shows only once a request has been written, and what may
/// have run is lost. Guards too against a middlebox that forgets its idle flows. It does harm where old
/// connections break by chance for a while: each request then pays for a new one until the counts have faded.
pub struct Reuse {
    fresh: Cell<Ends>,
    aged: RefCell<[Ends; STEPS]>,
    /// Ages from this step on are not used again.
    limit: Cell<usize>,
}

impl Default for Reuse {
    fn default() -> Self {
        Reuse::new()
    }
}

impl Reuse {
    /// Nothing is known yet: any age will do.
    pub fn new() -> Self {
        Reuse { fresh: Cell::default(), aged: RefCell::default(), limit: Cell::new(STEPS) }
    }

    /// Whether a connection that has stood idle for so long should be used again.
    pub fn allows(&self, idle: Duration) -> bool {
        step(idle) < self.limit.get()
    }

    /// A request on a connection of this idle age (none: a new one) ended, by a break before any answer or not.
    pub fn ended(&self, idle: Option<Duration>, broken: bool) {
        let add = |e: &mut Ends| {
            e.all += 1.0;
            e.broken += f64::from(u8::from(broken));
        };
        match idle {
            Some(idle) => add(&mut self.aged.borrow_mut()[step(idle)]),
            None => {
                let mut fresh = self.fresh.get();
                add(&mut fresh);
                self.fresh.set(fresh);
            }
        }
        if broken {
            self.judge();
        }
    }

    /// A second has passed. What is no longer used is no longer counted: as counts fade, it is tried again.
    pub fn fade(&self) {
        let fade = |e: &mut Ends| *e = Ends { all: e.all * FADE, broken: e.broken * FADE };
        let mut fresh = self.fresh.get();
        fade(&mut fresh);
        self.fresh.set(fresh);
        self.aged.borrow_mut().iter_mut().for_each(fade);
        self.judge();
    }

    /// The age from which on new connections save the most breaks, less their price; none if too few are seen.
    fn judge(&self) {
        let fresh = self.fresh.get();
        let price = fresh.broken / (fresh.all + 1.0) + PRICE;
        let (mut saved, mut most, mut limit) = (0.0, EVIDENCE, STEPS);
        for (step, ends) in self.aged.borrow().iter().enumerate().rev() {
            saved += ends.broken - price * ends.all;
            if saved > most {
                (most, limit) = (saved, step);
            }
        }
        self.limit.set(limit);
    }
}

fn step(idle: Duration) -> usize {
    let steps = 2.0 * (idle.as_secs_f64() * 1e3).max(1.0).log2();
    (steps as usize).min(STEPS - 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ages_that_break_are_passed_over_until_that_is_long_ago() {
        let reuse = Reuse::new();
        let (young, old) = (Duration::from_millis(20), Duration::from_millis(200));
        for number in 0..60 {
            // A part of all breaks, whatever the age.
            reuse.ended(None, number % 20 == 0);
            reuse.ended(Some(young), number % 20 == 0);
        }
        assert!(reuse.allows(young) && reuse.allows(old));
        for number in 0..12 {
            reuse.ended(Some(old), number % 3 == 0);
        }
        assert!(reuse.allows(young) && !reuse.allows(old) && !reuse.allows(old * 10));
        (0..60).for_each(|_| reuse.fade());
        assert!(reuse.allows(old));
    }

    #[test]
    fn new_connections_that_break_as_often_are_no_better() {
        let reuse = Reuse::new();
        for number in 0..90 {
            reuse.ended(None, number % 3 == 0);
            reuse.ended(Some(Duration::from_millis(200)), number % 3 == 0);
        }
        assert!(reuse.allows(Duration::from_millis(200)));
    }
}
