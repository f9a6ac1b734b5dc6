//! A client's request while it is forwarded to servers, and its execution state.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use hyper::http::response::Parts;
use hyper::Response;
use mountbend::interface::Micros;
use pinerelay_config_state::execution::ExecutionStatus;
use pinerelay_traffic::ports::{Payload, Traffic};
use pinerelay_traffic::streamed_body::Download;

use crate::forwarded_request::{ForwardedRequest, ForwardingViolation};
use crate::versions::ObservedRoute;

/// Attempts allowed beyond the route's limit: the limit set by the operator does not count attempts that reach no server.
const EXTRA_ATTEMPTS: usize = 3;

/// The execution state of a request and whether it was withdrawn. Shared by its attempts and the request handler.
#[derive(Default)]
pub struct RequestState {
    /// Whether the request may have been executed.
    pub execution: Cell<ExecutionStatus>,
    /// The number of attempts in which the request was sent to a server.
    pub sent: Cell<usize>,
    /// The forwarding invariant for which an attempt was not sent.
    pub violation: Cell<Option<ForwardingViolation>>,
    /// Whether the client has disconnected or was answered. The answer may promise that the request is never executed, so nothing
    /// more of it may be written.
    pub is_withdrawn: Cell<bool>,
    /// The error response of a server, returned to the client if no other server serves the request.
    pub fallback: RefCell<Option<Response<Bytes>>>,
}

/// A request that is forwarded to servers.
pub struct ProxiedRequest {
    /// The request without its body.
    pub request: ForwardedRequest,
    /// The request body.
    pub body: Payload,
    /// The route, for rollout reports.
    pub route: ObservedRoute,
    /// Whether the request may be executed more than once.
    pub is_idempotent: bool,
    /// The maximum number of attempts in which the request is sent.
    pub max_attempts: usize,
    /// The execution state.
    pub state: Rc<RequestState>,
}

/// The types of requests and responses that the proxy passes through the load-balancing node.
pub struct ProxyTraffic;

impl Traffic for ProxyTraffic {
    type Forward = ProxiedRequest;
    type Buffered = Response<Bytes>;
    type Streamed = (Parts, Download);

    fn stop(request: &ProxiedRequest, due: Micros) -> Micros {
        request.body.stop(due)
    }

    fn attempt_limit(request: &ProxiedRequest) -> Option<usize> {
        Some(request.max_attempts + EXTRA_ATTEMPTS)
    }

    /// A request that is not idempotent continues after its client has disconnected: the client may ask for its result later.
    fn aborts_without_client(request: &ProxiedRequest) -> bool {
        request.is_idempotent
    }

    fn continues_when_cancelled(_: &ProxiedRequest) -> bool {
        true
    }
}
