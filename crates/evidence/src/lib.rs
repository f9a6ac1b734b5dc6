//! What stand-ins saw on the sockets: records with their times, and the recorder that they share.
//!
//! All times are microseconds since the recorder was made, read off one monotonic clock, so records of
//! different stand-ins can be compared. A stand-in stamps what comes in after reading it and what goes out
//! before writing it: so what was caused by a thing never bears an earlier stamp than the thing.
#![forbid(unsafe_code)]

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Microseconds since the start of the recording.
pub type Micros = u64;

/// A request's id as it stands in `X-Request-Id`, 16 hex digits.
pub type RequestId = u64;

/// The number of an attempt, given by the box that it came to; unique in a recording.
pub type AttemptId = u64;

/// One thing seen, and when.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// When.
    pub at: Micros,
    /// What.
    pub seen: Seen,
}

/// How a connection ended on which a client waited for an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Nothing of an answer had come.
    Nothing,
    /// Part of one had.
    Part,
}

/// What the body of a 200 answer held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// What a box had made, whole: for this request and in this attempt.
    Made {
        /// The request that the box made it for.
        by_request: RequestId,
        /// The attempt in which it did.
        in_attempt: AttemptId,
    },
    /// Nothing that a box made.
    Foreign,
}

/// What became of a connection on which something was sent that is no proper request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RudeEnd {
    /// Answered with this status.
    Status(u16),
    /// Closed.
    Closed,
    /// Neither, by the time it was owed.
    Nothing,
}

/// What the list of boxes says of one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Listed {
    /// In service.
    Up,
    /// Finishes what it has, wants nothing new.
    Draining,
    /// Gone.
    Removed,
}

/// What became of a call to the counter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Counted {
    /// Added and answered.
    Added,
    /// Turned away with `-BUSY`.
    Busy,
    /// Taken and never answered.
    Silent,
}

/// What was seen.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "what", rename_all = "snake_case")]
pub enum Seen {
    /// A client's try was due and could not be written to any node.
    NotTaken {
        /// The try's id.
        id: RequestId,
        /// The first try of the same request.
        first: RequestId,
        /// The node it was meant for.
        node: u32,
        /// Its biller.
        biller: u64,
        /// Its plan.
        plan: usize,
        /// Its class.
        class: usize,
        /// Its units.
        units: f64,
    },
    /// A client's request was written whole.
    Sent {
        /// The try's id.
        id: RequestId,
        /// The first try of the same request; the same as `id` for a first try.
        first: RequestId,
        /// To which node.
        node: u32,
        /// Its biller.
        biller: u64,
        /// Its plan.
        plan: usize,
        /// Its class.
        class: usize,
        /// Its units.
        units: f64,
        /// How long the client waits, in milliseconds.
        deadline_ms: u64,
        /// Its idempotency key, where its class has one.
        key: Option<u64>,
        /// It is the first request on its connection.
        first_on_connection: bool,
        /// It is written once more, since the node closed a kept connection as it was written.
        crossed: bool,
    },
    /// A client's request was answered; the time is that of the last byte.
    Answered {
        /// The try.
        id: RequestId,
        /// The status.
        status: u16,
        /// `Retry-After`, in milliseconds.
        retry_after_ms: Option<u64>,
        /// What a 200 answer's body held; none with another status.
        body: Option<Body>,
    },
    /// A client's connection ended with no whole answer.
    CutOff {
        /// The try.
        id: RequestId,
        /// How.
        how: Cut,
    },
    /// A client has had no whole answer at the end of its wait and the slack, and closed its connection.
    GaveUp {
        /// The try.
        id: RequestId,
        /// Whether part of an answer had come.
        how: Cut,
    },
    /// Bytes came on a client's connection with no request open, after the answer to this one.
    Extra {
        /// The try answered last.
        id: RequestId,
        /// How many bytes.
        bytes: usize,
    },
    /// Something that is no proper request was sent, and this came of it.
    Rude {
        /// To which node.
        node: u32,
        /// Which rudeness.
        kind: String,
        /// What came of it.
        end: RudeEnd,
        /// How long after connecting, in microseconds.
        after: Micros,
    },
    /// A request has come whole to a box.
    Arrived {
        /// The attempt.
        attempt: AttemptId,
        /// The request.
        id: RequestId,
        /// The box.
        at_box: u32,
        /// From which node.
        node: u32,
        /// When its first byte had come.
        first_byte: Micros,
        /// Its idempotency key.
        key: Option<u64>,
        /// The work it asks for, in microseconds of this box's whole capacity when warm.
        work: f64,
    },
    /// A request that no client of this recording can have sent came to a box: its id is no number of 16 hex digits.
    Strange {
        /// The box.
        at_box: u32,
        /// From which node.
        node: u32,
    },
    /// An attempt's effect has happened at its box.
    Ran {
        /// The attempt.
        attempt: AttemptId,
        /// The request.
        id: RequestId,
    },
    /// A box drops a repeat of a keyed request: its effect does not happen again.
    Dropped {
        /// The attempt.
        attempt: AttemptId,
        /// The request.
        id: RequestId,
    },
    /// A box is about to write its answer.
    Replied {
        /// The attempt.
        attempt: AttemptId,
        /// The status.
        status: u16,
        /// With `X-Not-Run: 1`.
        not_run: bool,
        /// The answer is spoilt on purpose.
        spoilt: bool,
    },
    /// The connection of an attempt ended with no whole answer.
    Broke {
        /// The attempt.
        attempt: AttemptId,
        /// The box ended it; else the node did.
        by_box: bool,
    },
    /// A box has started.
    BoxStarted {
        /// The box.
        at_box: u32,
        /// Its hall.
        hall: u32,
        /// Cores times speed: work, in microseconds a microsecond, when warm.
        capacity: f64,
        /// It has just been started: its capacity ramps up from the share `cold_from` within `cold` microseconds.
        cold: Option<(f64, Micros)>,
    },
    /// A cold box was sent too much and has fallen over.
    BoxFell {
        /// The box.
        at_box: u32,
    },
    /// A box has stopped; its connections are reset.
    BoxStopped {
        /// The box.
        at_box: u32,
    },
    /// The list that a node's discovery agent holds has changed.
    Held {
        /// The node.
        node: u32,
        /// The box.
        at_box: u32,
        /// What it says now.
        says: Listed,
    },
    /// Discovery is about to write what its list says of a box to a node.
    Told {
        /// The node.
        node: u32,
        /// The box.
        at_box: u32,
        /// What it says.
        says: Listed,
    },
    /// Operators hold a box out at a node, or bring it back: out, from the node's yes on; back, from just before the call.
    /// A node that has not said yes within 1 s leaves the run without a verdict.
    HeldOut {
        /// The node.
        node: u32,
        /// The box.
        at_box: u32,
        /// Out, and not back.
        out: bool,
    },
    /// A call has come to the counter, and this was done with it.
    Called {
        /// From which node.
        node: u32,
        /// The name.
        name: u64,
        /// The amount.
        amount: f64,
        /// What was done.
        how: Counted,
    },
    /// A node is about to be started.
    NodeStarted {
        /// The node.
        node: u32,
    },
    /// A node has answered that it is up.
    NodeUp {
        /// The node.
        node: u32,
    },
    /// A node is about to be told to stop, by SIGTERM.
    NodeTold {
        /// The node.
        node: u32,
    },
    /// A node is about to be told that its configuration has changed, by SIGHUP.
    NodeMoved {
        /// The node.
        node: u32,
    },
    /// A node is about to be killed.
    NodeKilled {
        /// The node.
        node: u32,
    },
    /// A node has ended.
    NodeEnded {
        /// The node.
        node: u32,
        /// Its exit code; none if a signal ended it.
        code: Option<i32>,
        /// The kit had it end: a stop, or a kill.
        meant: bool,
    },
    /// CPU time used and memory held by a node, so far.
    NodeUsed {
        /// The node.
        node: u32,
        /// CPU time since its start, in microseconds.
        cpu: Micros,
        /// Memory held, in KiB.
        rss_kib: u64,
    },
    /// A fault begins or ends.
    Fault {
        /// Its place in the scenario.
        number: usize,
        /// Its kind.
        kind: String,
        /// It begins; else it ends.
        begins: bool,
    },
}

/// Locks. A stand-in that panicked has left nothing half done that matters more than going on.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[derive(Debug)]
struct Shared {
    began: Instant,
    records: Mutex<Vec<Record>>,
}

/// Takes what stand-ins see. Clones share one recording.
#[derive(Debug, Clone)]
pub struct Recorder(Arc<Shared>);

impl Recorder {
    /// A recording that begins now.
    pub fn new() -> Self {
        Recorder(Arc::new(Shared { began: Instant::now(), records: Mutex::default() }))
    }

    /// Now, on the recording's clock.
    pub fn now(&self) -> Micros {
        self.0.began.elapsed().as_micros() as Micros
    }

    /// When the recording began.
    pub fn began(&self) -> Instant {
        self.0.began
    }

    /// Records a thing seen now.
    pub fn see(&self, seen: Seen) -> Micros {
        let at = self.now();
        self.see_at(at, seen);
        at
    }

    /// Records a thing seen at this time.
    pub fn see_at(&self, at: Micros, seen: Seen) {
        lock(&self.0.records).push(Record { at, seen });
    }

    /// All that was seen so far, in the order of time.
    pub fn take(&self) -> Vec<Record> {
        let mut records = std::mem::take(&mut *lock(&self.0.records));
        records.sort_by_key(|r| r.at);
        records
    }
}

impl Default for Recorder {
    fn default() -> Self {
        Recorder::new()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn records_come_in_the_order_of_time_whoever_saw_them() {
        let recorder = Recorder::new();
        let other = recorder.clone();
        other.see_at(9, Seen::NodeUp { node: 1 });
        recorder.see_at(3, Seen::NodeStarted { node: 1 });
        recorder.see_at(9, Seen::NodeUp { node: 2 });
        let seen: Vec<_> = recorder.take().into_iter().map(|r| (r.at, r.seen)).collect();
        let up = |node| Seen::NodeUp { node };
        assert_eq!(seen, [(3, Seen::NodeStarted { node: 1 }), (9, up(1)), (9, up(2))]);
        assert!(recorder.take().is_empty());
    }
}
