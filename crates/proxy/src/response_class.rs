//! What a server's response means, by its head alone.

use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING};
use hyper::StatusCode;
use mountbend::interface::Outcome;
use pinerelay_config_state::execution::ExecutionStatus;

use crate::request_head::{NOT_EXECUTED, REQUEST_ID, SEAL};

#[cfg(test)]
mod tests;

/// What a response's head means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseClass {
    /// The server has not executed the request.
    NotExecuted,
    /// Another server stands at the address.
    Misdirected,
    /// The server's own answer, which is the client's.
    Answer,
    /// The server has failed, and says so.
    ServerError,
    /// It belongs to no request here, or cannot be trusted.
    Untrusted,
}

/// Whether a response says which request it belongs to.
pub fn names_request(headers: &HeaderMap) -> bool {
    headers.contains_key(REQUEST_ID)
}

/// Whether a client takes a status for the promise that its request was not executed and never will be.
pub fn promises_no_execution(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Classifies a response to the request of an id. A response that comes late, or twice, stands where the next one is expected.
pub fn classify(status: StatusCode, headers: &HeaderMap, request_id: &HeaderValue) -> ResponseClass {
    if headers.get_all(REQUEST_ID).iter().any(|echoed| echoed != request_id) {
        return ResponseClass::Untrusted;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return ResponseClass::Misdirected;
    }
    if headers.contains_key(NOT_EXECUTED) {
        // A success that was not executed is neither.
        return if status.is_success() { ResponseClass::Untrusted } else { ResponseClass::NotExecuted };
    }
    if !names_request(headers) || headers.contains_key(CONTENT_ENCODING) {
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
    /// How the attempt ended, as the decisions see it.
    pub fn outcome(self) -> Outcome {
        match self {
            ResponseClass::NotExecuted => Outcome::Rejected,
            ResponseClass::Misdirected => Outcome::ConnectFailed,
            ResponseClass::Answer => Outcome::Ok,
            ResponseClass::ServerError | ResponseClass::Untrusted => Outcome::Error,
        }
    }

    /// What it tells of the request's execution.
    pub fn execution(self) -> ExecutionStatus {
        match self {
            ResponseClass::NotExecuted | ResponseClass::Misdirected => ExecutionStatus::NotExecuted,
            ResponseClass::Answer | ResponseClass::ServerError => ExecutionStatus::Executed,
            ResponseClass::Untrusted => ExecutionStatus::MayHaveExecuted,
        }
    }
}
