//! Learns up to which idle age a connection can be reused, from how requests on reused connections end.

use std::cell::{Cell, RefCell};
use std::time::Duration;

/// Number of buckets of idle ages. Each covers a factor of √2; the first begins at 0, the last at about 46 s.
const AGE_BUCKETS: usize = 32;
/// Cost of a new connection (handshake and the app server's work for it), as a fraction of a broken request.
const NEW_CONNECTION_COST: f64 = 0.05;
/// Connections from some idle age on are skipped only if that saves more broken requests than this, net of the
/// cost of the new connections.
const MIN_BREAKS_SAVED: f64 = 2.0;
/// Decay factor of the counts per second.
const DECAY_PER_SECOND: f64 = 0.92;

/// Decaying counts of the requests that ended on new connections, or on those of one age bucket.
#[derive(Clone, Copy, Default)]
struct EndCounts {
    /// All of them.
    all: f64,
    /// Those that a connection failure ended before a byte of the answer came.
    broken: f64,
}

/// The idle age up to which connections are reused. Danger: app servers, or middleboxes before them, may drop
/// idle connections long before they announce it. That shows only once a request has been written, and a
/// request that may have run is lost. The limit also covers a middlebox that forgets idle flows. Drawback: if
/// old connections break by chance for a while, each request pays for a new connection until the counts have
/// decayed.
pub struct Reuse {
    /// Counts of new connections.
    fresh: Cell<EndCounts>,
    /// Counts of reused connections by age bucket.
    aged: RefCell<[EndCounts; AGE_BUCKETS]>,
    /// Ages from this bucket on are not reused.
    limit: Cell<usize>,
}

impl Default for Reuse {
    fn default() -> Self {
        Reuse::new()
    }
}

impl Reuse {
    /// Starts without observations: any age may be reused.
    pub fn new() -> Self {
        Reuse { fresh: Cell::default(), aged: RefCell::default(), limit: Cell::new(AGE_BUCKETS) }
    }

    /// Whether a connection that has been idle for `idle` should be reused.
    pub fn allows(&self, idle: Duration) -> bool {
        age_bucket(idle) < self.limit.get()
    }

    /// Records the end of a request on a connection of this idle age (`None`: a new connection); `broken` if
    /// the connection failed before any byte of the answer.
    pub fn ended(&self, idle: Option<Duration>, broken: bool) {
        let add = |e: &mut EndCounts| {
            e.all += 1.0;
            e.broken += f64::from(u8::from(broken));
        };
        match idle {
            Some(idle) => add(&mut self.aged.borrow_mut()[age_bucket(idle)]),
            None => {
                let mut fresh = self.fresh.get();
                add(&mut fresh);
                self.fresh.set(fresh);
            }
        }
        if broken {
            self.update_limit();
        }
    }

    /// Decays the counts; called once per second. Ages that are not reused get no new observations, so they
    /// are tried again once their counts have decayed.
    pub fn fade(&self) {
        let decay = |e: &mut EndCounts| {
            *e = EndCounts { all: e.all * DECAY_PER_SECOND, broken: e.broken * DECAY_PER_SECOND }
        };
        let mut fresh = self.fresh.get();
        decay(&mut fresh);
        self.fresh.set(fresh);
        self.aged.borrow_mut().iter_mut().for_each(decay);
        self.update_limit();
    }

    /// Sets the limit to the age from which on new connections save the most breaks net of their cost; no
    /// limit if none saves more than [`MIN_BREAKS_SAVED`].
    fn update_limit(&self) {
        let fresh = self.fresh.get();
        let cost = fresh.broken / (fresh.all + 1.0) + NEW_CONNECTION_COST;
        let (mut saved, mut max_saved, mut limit) = (0.0, MIN_BREAKS_SAVED, AGE_BUCKETS);
        for (bucket, ends) in self.aged.borrow().iter().enumerate().rev() {
            saved += ends.broken - cost * ends.all;
            if saved > max_saved {
                (max_saved, limit) = (saved, bucket);
            }
        }
        self.limit.set(limit);
    }
}

/// The bucket of an idle age; the last one for all longer ages.
fn age_bucket(idle: Duration) -> usize {
    let buckets = 2.0 * (idle.as_secs_f64() * 1e3).max(1.0).log2();
    (buckets as usize).min(AGE_BUCKETS - 1)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn ages_that_break_are_skipped_until_the_counts_decay() {
        let reuse = Reuse::new();
        let (young, old) = (Duration::from_millis(20), Duration::from_millis(200));
        for number in 0..60 {
            // The same share of breaks at either age.
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
    fn ages_that_break_no_more_than_new_connections_are_reused() {
        let reuse = Reuse::new();
        for number in 0..90 {
            reuse.ended(None, number % 3 == 0);
            reuse.ended(Some(Duration::from_millis(200)), number % 3 == 0);
        }
        assert!(reuse.allows(Duration::from_millis(200)));
    }
}
