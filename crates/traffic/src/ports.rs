//! The interfaces between the node and its peers: what it needs of each, and which events they report to it.
//!
//! The node knows each peer only through one of these traits, and a peer knows the node as [`Core`]. A second
//! quota store or member source implements the same trait, without changes elsewhere.

use bytes::Bytes;
use mountbend::interface::{CountName, Event, Micros, Outcome, Reason, RequestId, ServerId};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};

use crate::http::Sent;
use crate::node::STOP_BEFORE;
use crate::streamed_body::Upload;

/// Events that peers report to the node. It handles each before the call returns, and may call the peer again
/// meanwhile, so the caller must not hold a `RefCell` borrow across the call.
pub trait Core {
    /// Passes an event to the load balancer's controller.
    fn event(&self, event: Event);
    /// Forwarding of a streamed body to an app server has begun, so it can't be sent again, or (`complete`) is
    /// complete.
    fn upload_progressed(&self, id: &RequestId, number: usize, complete: bool);
    /// Whether the controller currently sends nothing new to an app server, though it is in service.
    fn avoids(&self, server: ServerId) -> bool;
}

/// Results of attempts of one kind of traffic, reported to the node by its upstream.
pub trait AttemptEvents<T: Traffic>: Core {
    /// An attempt has ended; if there is an answer, the request has been served. A second end of the same
    /// attempt is ignored.
    fn attempt_ended(&self, id: &RequestId, number: usize, outcome: Outcome, answer: Option<T::Buffered>);
    /// An attempt's streamed answer has begun and is forwarded to the client; false if no client waits for
    /// it.
    fn answer_started(&self, id: &RequestId, number: usize, answer: T::Streamed) -> bool;
    /// An attempt's request is about to be written: the earlier attempts that it replaces end.
    fn attempt_about_to_write(&self, _id: &RequestId, _number: usize) {}
}

/// A kind of traffic: the types of its requests and answers, and its rules for attempts.
pub trait Traffic: 'static {
    /// The request that is forwarded to a server.
    type Forward: 'static;
    /// A complete answer.
    type Buffered: 'static;
    /// A streamed answer.
    type Streamed: 'static;
    /// When attempts at a request with the deadline `due` are given up.
    fn stop(forward: &Self::Forward, due: Micros) -> Micros;
    /// Maximum number of attempts for this request; none: the node's default.
    fn attempt_limit(forward: &Self::Forward) -> Option<usize>;
    /// Whether attempts at this request are aborted once no client waits for its answer, so that the server
    /// stops working on it.
    fn aborts_without_client(_forward: &Self::Forward) -> bool {
        false
    }
    /// Whether a cancelled attempt at a silent server continues until another attempt is written. If none is,
    /// its answer still counts.
    fn continues_when_cancelled(_forward: &Self::Forward) -> bool {
        false
    }
}

/// The store of the shared counters: adds an amount to a named counter atomically and returns the total.
pub trait QuotaStore {
    /// Adds `amount` units to a counter that, if new, is kept for `keep_for` microseconds. The outcome is
    /// reported once, as [`Event::CounterReply`], no later than the store's time-out: `Ok` (added; the
    /// total), `Rejected` and `ConnectFailed` (nothing was added), `TimedOut` (it may have been added, or may
    /// be added later), `Reset` (it may have been added, and the store is alive), `Error` (it was added, but
    /// the total can't be read).
    fn add(&self, name: CountName, amount: f64, keep_for: Micros);
    /// Whether the outcome of every call has been reported.
    fn settled(&self) -> bool;
}

/// A source of the list of app servers. It reports changes to the node as [`Event::Members`].
pub trait MemberSource {
    /// Requests the complete list again; the result is reported as a complete list or as lost.
    fn fetch(&self);
}

/// The app servers: their addresses, and attempts at them.
pub trait Upstream<T: Traffic> {
    /// Starts an attempt, to be given up at `stop`; its end is reported once through [`AttemptEvents::attempt_ended`].
    /// Nothing is sent again once a byte may have been written. Aborting the task closes its connection,
    /// which tells the app server that the attempt was given up.
    fn attempt(
        &self,
        id: RequestId,
        number: usize,
        server: ServerId,
        forward: Rc<T::Forward>,
        stop: Micros,
    ) -> AbortHandle;
    /// Whether another attempt at a request would be made. If not, an attempt is not given up because its
    /// server is silent.
    fn would_retry(&self, forward: &T::Forward) -> bool;
    /// Checks whether an app server is alive; reported as [`Event::Probed`].
    fn probe(&self, server: ServerId);
}

/// The final answer to a request.
pub enum Answer<T: Traffic> {
    /// An app server's answer.
    Served(T::Buffered),
    /// An app server's streamed answer.
    Streamed(T::Streamed),
    /// Rejected without execution, so a retry is safe: the suggested delay before it in microseconds (0 if
    /// none), and the reason.
    Refused(Micros, Reason),
    /// Failed, and the reason. The request may have been executed.
    Failed(Reason),
}

/// A request's body.
pub enum Payload {
    /// A buffered body, which may be sent again.
    Buffered(Bytes),
    /// A streamed body, which can be sent only once.
    Streamed(Rc<Upload>),
}

impl Payload {
    /// The streamed body, if it is one.
    pub fn streamed(&self) -> Option<&Rc<Upload>> {
        match self {
            Payload::Buffered(_) => None,
            Payload::Streamed(upload) => Some(upload),
        }
    }

    /// When attempts at a request with the deadline `due` are given up. The time limit of a streamed body
    /// counts from its last byte and is enforced by the attempt itself.
    pub fn stop(&self, due: Micros) -> Micros {
        match self {
            Payload::Buffered(_) => due.saturating_sub(STOP_BEFORE),
            Payload::Streamed(_) => Micros::MAX,
        }
    }

    /// Until when a new attempt may wait for a connection; a streamed body may outlast `stop`, so its own wait
    /// limits it.
    pub fn connect_by(&self, stop: Instant) -> Instant {
        self.streamed().map_or(stop, |upload| Instant::now() + upload.wait)
    }

    /// Returns at `until` for a buffered body (`before` is not used). For a streamed body, returns `before` ahead of the
    /// end of its time limit, which counts from the body's last byte.
    pub async fn wait_until_due(&self, until: Instant, before: Duration) {
        match self.streamed() {
            None => sleep_until(until).await,
            Some(upload) => sleep_until(upload.ended().await + upload.wait - before).await,
        }
    }

    /// The body for an attempt; none if it is streamed and another attempt holds it or has taken some of it.
    /// Reports the progress of a streamed body to `core`.
    pub fn body<T: Traffic>(
        &self,
        core: &Weak<dyn AttemptEvents<T>>,
        id: &RequestId,
        number: usize,
    ) -> Option<Sent> {
        let upload = match self {
            Payload::Buffered(body) => return Some(body.clone().into()),
            Payload::Streamed(upload) => upload,
        };
        let (core, id) = (core.clone(), id.clone());
        let report_progress = move |complete| {
            if let Some(core) = core.upgrade() {
                core.upload_progressed(&id, number, complete);
            }
        };
        upload.body(report_progress).map(Sent::Streamed)
    }
}
