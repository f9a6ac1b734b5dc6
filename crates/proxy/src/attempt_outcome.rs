//! Decides how a complete response is handled: its outcome for the load balancer, its connection, and the response itself.

use mountbend::interface::Outcome;
use pinerelay_config_state::execution::ExecutionStatus;

use crate::response_class::ResponseClass;

/// How the connection of a response is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionDisposition {
    /// The connection may be kept for further requests, if the server keeps it open.
    Reused,
    /// The connection is closed.
    Closed,
    /// The connection is closed, and no connection to the server is reused for a while.
    Distrusted,
}

/// How a response is handled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseDisposition {
    /// It is returned to the client.
    Client,
    /// It is returned to the client if no other server serves the request.
    Fallback,
    /// It is discarded.
    Dropped,
}

/// The handling of a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHandling {
    /// The outcome of the attempt for the load balancer.
    pub outcome: Outcome,
    /// Whether the request was executed by this attempt.
    pub execution: ExecutionStatus,
    /// How the connection is handled.
    pub connection: ConnectionDisposition,
    /// How the response is handled.
    pub response: ResponseDisposition,
}

impl ResponseHandling {
    /// Decides how a response of a class is handled. `is_clean`: no bytes of the request can remain unread on the connection.
    pub fn new(class: ResponseClass, is_idempotent: bool, is_clean: bool) -> ResponseHandling {
        let connection = match class {
            ResponseClass::Untrusted => ConnectionDisposition::Distrusted,
            _ if is_clean => ConnectionDisposition::Reused,
            _ => ConnectionDisposition::Closed,
        };
        let response = match class {
            ResponseClass::Answer => ResponseDisposition::Client,
            ResponseClass::ServerError if is_idempotent => ResponseDisposition::Fallback,
            // A request that must not be repeated gets no further attempt, so the client receives this response.
            ResponseClass::ServerError => ResponseDisposition::Client,
            ResponseClass::NotExecuted | ResponseClass::Misdirected | ResponseClass::Untrusted => {
                ResponseDisposition::Dropped
            }
        };
        ResponseHandling { outcome: class.outcome(), execution: class.execution(), connection, response }
    }
}
