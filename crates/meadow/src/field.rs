//! What all parts of a play share: its clock, its figures, and the records that they add to.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::client::DEADLINE;
use crate::judge::Terms;
use crate::play::Troubles;
use crate::record::{Micros, Records};

/// How often servers tell of themselves.
pub const HEARTBEAT: Duration = Duration::from_millis(500);
/// How long a server that leaves still serves.
pub const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Within this a change is in force.
pub const APPLY: Duration = Duration::from_millis(2_000);
/// From SIGTERM to SIGKILL.
pub const GRACE: Duration = Duration::from_millis(4_000);
/// The window of quotas.
pub const QUOTA_PERIOD: Duration = Duration::from_millis(2_000);
/// The share by which a window may be over.
pub const QUOTA_OVERRUN: f64 = 0.1;
/// And the number.
pub const QUOTA_MARGIN: f64 = 10.0;
/// The share of requests within quotas that has to be served. Troubles cost some; a gateway that serves nothing keeps all
/// other rules.
const SERVED_LEAST: f64 = 0.9;

/// How long a request may be held past its route's `timeout`.
const HELD_SLACK: Duration = Duration::from_millis(250);
/// By how much the time that a server is handed may be over the client's.
const DEADLINE_SLACK: Duration = Duration::from_millis(500);
/// How many requests may run on more servers than their route's `retries`.
const ATTEMPTS_SLACK: usize = 3;
/// Groups of requests with fewer than this are not judged by their share.
const GROUP_LEAST: usize = 20;
/// The share of all requests' service that each group has to get.
const GROUP_SHARE: f64 = 0.25;
/// After all processes run again, requests within quotas are served within this.
pub const RECOVERY: Duration = Duration::from_secs(15);
/// The share of them that has to be served in each second from then on.
const RECOVERY_LEAST: f64 = 0.25;
/// The share of a second's requests at which the gateway is said to serve again.
const RECOVERY_SHARE: f64 = 0.9;
/// For how long after a proxy's restart its requests are looked at.
const RESTART_WATCH: Duration = Duration::from_millis(3_000);

/// What the judge holds a play with these troubles against.
pub fn terms(troubles: Troubles) -> Terms {
    Terms {
        drain_timeout: DRAIN_TIMEOUT.as_micros() as Micros,
        apply: APPLY.as_micros() as Micros,
        quota_period: QUOTA_PERIOD.as_micros() as Micros,
        quota_overrun: QUOTA_OVERRUN,
        quota_margin: QUOTA_MARGIN,
        served_least: SERVED_LEAST,
        held_slack: HELD_SLACK.as_micros() as Micros,
        deadline_slack: DEADLINE_SLACK.as_micros() as Micros,
        attempts_slack: ATTEMPTS_SLACK,
        group_least: GROUP_LEAST,
        group_share: GROUP_SHARE,
        early_answers: troubles.early,
        restart_watch: RESTART_WATCH.as_micros() as Micros,
        soak: troubles.soak.is_some(),
        recovery: RECOVERY.as_micros() as Micros,
        recovery_least: RECOVERY_LEAST,
        recovery_share: RECOVERY_SHARE,
        client_wait: DEADLINE.as_micros() as Micros,
    }
}

/// What the parts of a play share.
pub struct Field {
    begun: Instant,
    /// What was seen so far.
    pub records: RefCell<Records>,
    /// Clients begin nothing more.
    pub over: Cell<bool>,
    random: Cell<u64>,
    last: Cell<u64>,
    said: RefCell<Vec<(Micros, String)>>,
}

impl Field {
    /// A play that begins now.
    pub fn new() -> Rc<Field> {
        Field::with_seed(0)
    }

    /// A play that begins now, and whose draws follow from this.
    pub fn with_seed(seed: u64) -> Rc<Field> {
        // The generator stands still at zero.
        let state = (seed.wrapping_mul(0xd134_2543_de82_ef95) ^ 0x9e37_79b9_7f4a_7c15).max(1);
        Rc::new(Field {
            begun: Instant::now(),
            records: RefCell::default(),
            over: Cell::new(false),
            random: Cell::new(state),
            last: Cell::new(0),
            said: RefCell::default(),
        })
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.begun.elapsed().as_micros() as Micros
    }

    /// A number that was not given yet.
    pub fn number(&self) -> u64 {
        self.last.set(self.last.get() + 1);
        self.last.get()
    }

    /// A number below `end`, by lot (xorshift; all plays of a seed draw the same).
    pub fn below(&self, end: u64) -> u64 {
        let mut x = self.random.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.random.set(x);
        x % end.max(1)
    }

    /// Notes a trouble or another turn of the play for the report.
    pub fn say(&self, what: impl Into<String>) {
        self.said.borrow_mut().push((self.now(), what.into()));
    }

    /// The turns of the play so far.
    pub fn said(&self) -> Vec<(Micros, String)> {
        self.said.borrow().clone()
    }
}
