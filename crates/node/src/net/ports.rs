//! Interfaces between the parts of the edge node: its kind of traffic, and the table of app servers.

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

/// The traffic of an edge node: HTTP requests from clients, forwarded to app servers.
pub struct EdgeTraffic;

impl Traffic for EdgeTraffic {
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

/// The final answer to a request.
pub type Answer = ports::Answer<EdgeTraffic>;

/// The table of app servers and their addresses.
pub trait ServerTable {
    /// Adds or updates an app server; without a usable address the last one is kept. Returns false if there is none.
    fn set(&self, server: ServerId, address: Option<SocketAddr>, since_ms: u64, up: bool) -> bool;
    /// Removes an app server.
    fn remove(&self, server: ServerId);
    /// Removes all app servers but these.
    fn keep_only(&self, listed: &[ServerId]);
}

/// A request to be forwarded to an app server.
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
