//! A client's request on its way to servers, and what is known of it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use hyper::http::response::Parts;
use hyper::Response;
use mountbend::interface::Micros;
use pinerelay_config_state::execution::ExecutionStatus;
use pinerelay_traffic::long::Download;
use pinerelay_traffic::ports::{Payload, Traffic};

use crate::forwarded_request::{ForwardedRequest, ForwardingViolation};
use crate::versions::ObservedRoute;

/// Attempts beyond the route's limit: those that reach no server are not counted by the operator's limit.
const EXTRA_ATTEMPTS: usize = 3;

/// What is known of a request's execution and its client. Shared by its attempts and its handler.
#[derive(Default)]
pub struct RequestState {
    /// Whether it may have been executed.
    pub execution: Cell<ExecutionStatus>,
    /// The number of servers that it has been sent to.
    pub sent: Cell<usize>,
    /// The check that it has failed, so that it was not sent.
    pub violation: Cell<Option<ForwardingViolation>>,
    /// Its client has gone, or has an answer, which may promise that it is never executed: nothing of it may be written any more.
    pub is_withdrawn: Cell<bool>,
    /// A server's own failure, for the client if no other server does better.
    pub fallback: RefCell<Option<Response<Bytes>>>,
}

/// A request that is forwarded to servers.
pub struct ProxiedRequest {
    /// All of it but the body.
    pub request: ForwardedRequest,
    /// The body.
    pub body: Payload,
    /// Its route.
    pub route: ObservedRoute,
    /// Whether it may be executed more than once.
    pub is_idempotent: bool,
    /// The number of servers that it may be sent to.
    pub max_attempts: usize,
    /// What is known of it.
    pub state: Rc<RequestState>,
}

/// The kind of traffic that the proxy hands to the decisions.
pub struct ProxyTraffic;

impl Traffic for ProxyTraffic {
    type Forward = ProxiedRequest;
    type Whole = Response<Bytes>;
    type Long = (Parts, Download);

    fn stop(request: &ProxiedRequest, due: Micros) -> Micros {
        request.body.stop(due)
    }

    fn tries(request: &ProxiedRequest) -> Option<usize> {
        Some(request.max_attempts + EXTRA_ATTEMPTS)
    }

    /// A request that is not idempotent runs on: its client may ask again what became of it.
    fn stops_when_gone(request: &ProxiedRequest) -> bool {
        request.is_idempotent
    }

    fn outlasts_cancel(_: &ProxiedRequest) -> bool {
        true
    }
}
