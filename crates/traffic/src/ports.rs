//! The seams between the node and its peers: what it needs of each, and what they tell it.
//!
//! The node holds each peer as one of these traits and knows no other thing of it; a peer knows the node as
//! [`Core`]. A second quota store or member source implements the same trait and nothing else changes.

use bytes::Bytes;
use mountbend::interface::{CountName, Event, Micros, Outcome, Reason, RequestId, ServerId};
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};

use crate::http::Sent;
use crate::long::Upload;
use crate::node::STOP_BEFORE;

/// What peers tell the node. It takes each thing in at once; what follows from it may call the peer again
/// before this returns, so nothing may be borrowed meanwhile.
pub trait Core {
    /// Something has happened that the decisions are to know.
    fn event(&self, event: Event);
    /// A long body has begun to go to an app server, and can't be sent again; or all of it has gone.
    fn upload_goes(&self, id: &RequestId, number: usize, whole: bool);
    /// Whether the decisions send an app server nothing new for now, though it is in service.
    fn avoids(&self, server: ServerId) -> bool;
}

/// How the attempts at a kind of traffic end, as its upstream tells the node.
pub trait Ends<T: Traffic>: Core {
    /// An attempt has ended; with an answer, it has served the request. A second end of the same one is dropped.
    fn attempt_over(&self, id: &RequestId, number: usize, outcome: Outcome, answer: Option<T::Whole>);
    /// An attempt's long answer has begun, and goes to the client as it comes; false if nobody waits for it.
    fn answer_begins(&self, id: &RequestId, number: usize, answer: T::Long) -> bool;
    /// An attempt's request is about to be written: earlier attempts that it takes the place of end.
    fn attempt_goes(&self, _id: &RequestId, _number: usize) {}
}

/// A kind of traffic: what goes on to its servers, and what comes back.
pub trait Traffic: 'static {
    /// What goes on to a server.
    type Forward: 'static;
    /// An answer that has come whole.
    type Whole: 'static;
    /// An answer that is passed on as it comes.
    type Long: 'static;
    /// When attempts at a request that is due at this time are given up.
    fn stop(forward: &Self::Forward, due: Micros) -> Micros;
    /// Most attempts for this one; none: as many as the node makes for any.
    fn tries(forward: &Self::Forward) -> Option<usize>;
    /// Whether attempts at this one are broken off once nobody waits for its answer, so that its server stops.
    fn stops_when_gone(_forward: &Self::Forward) -> bool {
        false
    }
    /// Whether an attempt at a silent server goes on until another one is written: with no other, its answer still counts.
    fn outlasts_cancel(_forward: &Self::Forward) -> bool {
        false
    }
}

/// Where the shared counts live: an amount is added to a named count in one step, and its total comes back.
pub trait QuotaStore {
    /// Adds `amount` units to a name that, if new, is kept for `keep_for` microseconds. Told once, as
    /// [`Event::CounterReply`], at the store's time-out at the latest: `Ok` (added; the total), `Rejected` and
    /// `ConnectFailed` (nothing was added), `TimedOut` (it may have been, or may yet be), `Reset` (it may have
    /// been, and the store is alive), `Error` (it was, but the total can't be read).
    fn add(&self, name: CountName, amount: f64, keep_for: Micros);
    /// Whether the outcome of every call has been told.
    fn settled(&self) -> bool;
}

/// Who tells of app servers. What it hears goes to the node as [`Event::Members`].
pub trait MemberSource {
    /// Asks for the whole list once more; told as a whole list, or as lost.
    fn fetch(&self);
}

/// The app servers: where they are, and attempts at them.
pub trait Upstream<T: Traffic> {
    /// Starts an attempt, to be given up at `stop`; told once through [`Ends::attempt_over`]. Nothing is sent
    /// again once a byte may have gone. Aborting the task closes its connection: so an app server learns that
    /// the attempt is given up.
    fn attempt(
        &self,
        id: RequestId,
        number: usize,
        server: ServerId,
        forward: Rc<T::Forward>,
        stop: Micros,
    ) -> AbortHandle;
    /// Whether another attempt at a request would be made. An attempt is not given up on for a silent server's sake where
    /// none would.
    fn goes_on(&self, forward: &T::Forward) -> bool;
    /// Asks an app server whether it is alive; told as [`Event::Probed`].
    fn probe(&self, server: ServerId);
}

/// The one final answer to a request.
pub enum Answer<T: Traffic> {
    /// An app server's answer.
    Served(T::Whole),
    /// An app server's answer that is passed on as it comes.
    Long(T::Long),
    /// Turned away: a repeat is harmless. How long to stay away, in microseconds, if told; else 0. And why.
    Refused(Micros, Reason),
    /// Failed, nothing promised, and why.
    Failed(Reason),
}

/// A request's body.
pub enum Payload {
    /// All of it has come, and it may be sent again.
    Whole(Bytes),
    /// It is passed on as it comes, once.
    Long(Rc<Upload>),
}

impl Payload {
    /// One that is passed on as it comes.
    pub fn long(&self) -> Option<&Rc<Upload>> {
        match self {
            Payload::Whole(_) => None,
            Payload::Long(upload) => Some(upload),
        }
    }

    /// When attempts at a request with it that is due at this time are given up: a long one's time counts from its last
    /// byte, and the attempt looks to it.
    pub fn stop(&self, due: Micros) -> Micros {
        match self {
            Payload::Whole(_) => due.saturating_sub(STOP_BEFORE),
            Payload::Long(_) => Micros::MAX,
        }
    }

    /// Until when a connection is waited for by an attempt that begins now: a long one's own pace bounds it else.
    pub fn connect_by(&self, stop: Instant) -> Instant {
        self.long().map_or(stop, |upload| Instant::now() + upload.wait)
    }

    /// Comes back when `before` is left of the time of a request with it, which is up at `until` if it is a whole one.
    pub async fn time_up(&self, until: Instant, before: Duration) {
        match self.long() {
            None => sleep_until(until).await,
            Some(upload) => sleep_until(upload.ended().await + upload.wait - before).await,
        }
    }

    /// For an attempt; none if an earlier one has taken of it. `core` is told how far a long one goes.
    pub fn body<T: Traffic>(&self, core: &Weak<dyn Ends<T>>, id: &RequestId, number: usize) -> Option<Sent> {
        let upload = match self {
            Payload::Whole(body) => return Some(body.clone().into()),
            Payload::Long(upload) => upload,
        };
        let (core, id) = (core.clone(), id.clone());
        let goes = move |whole| {
            if let Some(core) = core.upgrade() {
                core.upload_goes(&id, number, whole);
            }
        };
        upload.body(goes).map(Sent::Long)
    }
}
