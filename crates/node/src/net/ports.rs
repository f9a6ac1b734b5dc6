//! What the edge node passes on: its kind of traffic, and the register of app servers that it is sent to.

use std::net::SocketAddr;

use bytes::Bytes;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use mountbend::interface::{Micros, ServerId};
use pinerelay_traffic::ports;
use pinerelay_traffic::streamed_body::Download;

pub use pinerelay_traffic::ports::{
    AttemptEvents, Core, MemberSource, Payload, QuotaStore, Traffic, Upstream,
};

/// The requests of plans' customers to app servers.
pub struct Boxes;

impl Traffic for Boxes {
    type Forward = Forward;
    type Buffered = Bytes;
    type Streamed = Download;

    fn stop(forward: &Forward, due: Micros) -> Micros {
        forward.body.stop(due)
    }

    fn attempt_limit(_: &Forward) -> Option<usize> {
        None
    }
}

/// The one final answer to a request.
pub type Answer = ports::Answer<Boxes>;

/// Where the app servers are.
pub trait Register {
    /// What is known of an app server; without a usable address the last one stands. False if there is none.
    fn set(&self, server: ServerId, address: Option<SocketAddr>, since_ms: u64, up: bool) -> bool;
    /// Forgets an app server that has been removed.
    fn remove(&self, server: ServerId);
    /// Forgets all but these.
    fn keep_only(&self, listed: &[ServerId]);
}

/// What goes on to an app server.
pub struct Forward {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// `X-Request-Id`.
    pub id: HeaderValue,
    /// `Idempotency-Key`.
    pub key: Option<HeaderValue>,
    /// The body.
    pub body: Payload,
}
