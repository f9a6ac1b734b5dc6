//! Classifies a server's response by its head.

use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING};
use hyper::StatusCode;
use mountbend::interface::Outcome;
use pinerelay_config_state::execution::ExecutionStatus;

use crate::request_head::{NOT_EXECUTED, REQUEST_ID, SEAL};

#[cfg(test)]
mod tests;

/// The class of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The server states that it has not executed the request.
    NotExecuted,
    /// Another server answers at the address.
    Misdirected,
    /// A response of the server that is meant for the client.
    Answer,
    /// The server reports an error of its own (5xx).
    ServerError,
    /// The response belongs to another request, or lacks or contradicts the expected headers.
    Untrusted,
}

/// Whether a response carries a request id.
pub fn has_request_id(headers: &HeaderMap) -> bool {
    headers.contains_key(REQUEST_ID)
}

/// Whether clients take a status as a promise that the request was not executed and never will be.
pub fn promises_no_execution(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Classifies a response to the request with `request_id`. A late or duplicate response arrives on the connection in place of the
/// response to the next request.
pub fn classify(status: StatusCode, headers: &HeaderMap, request_id: &HeaderValue) -> ResponseClass {
    if headers.get_all(REQUEST_ID).iter().any(|echoed| echoed != request_id) {
        return ResponseClass::Untrusted;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::Misdirected;
    }
    if headers.contains_key(NOT_EXECUTED) {
        // A success status contradicts the statement that the request was not executed.
        return if status.is_success() { ResponseClass::Untrusted } else { ResponseClass::NotExecuted };
    }
    if !has_request_id(headers) || headers.contains_key(CONTENT_ENCODING) {
        return ResponseClass::Untrusted;
    }
    if status.is_success() {
        return if headers.contains_key(SEAL) { ResponseClass::Answer } else { ResponseClass::Untrusted };
    }
    if status.is_server_error() {
        ResponseClass::ServerError
    } else {
        ResponseClass::Answer
    }
}

impl ResponseClass {
    /// The outcome of the attempt for the load balancer.
    pub fn outcome(self) -> Outcome {
        match self {
            ResponseClass::NotExecuted => Outcome::Rejected,
            ResponseClass::Misdirected => Outcome::ConnectFailed,
            ResponseClass::Answer => Outcome::Ok,
            ResponseClass::ServerError | ResponseClass::Untrusted => Outcome::Error,
        }
    }

    /// What the response tells about the execution of the request.
    pub fn execution(self) -> ExecutionStatus {
        match self {
            ResponseClass::NotExecuted | ResponseClass::Misdirected => ExecutionStatus::NotExecuted,
            ResponseClass::Answer | ResponseClass::ServerError => ExecutionStatus::Executed,
            ResponseClass::Untrusted => ExecutionStatus::MayHaveExecuted,
        }
    }
}
