//! What follows from a server's complete response: for the decisions, the connection and the client.

use mountbend::interface::Outcome;
use pinerelay_config_state::execution::ExecutionStatus;

use crate::response_class::ResponseClass;

/// What becomes of the connection that a response came on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFate {
    /// It may carry another request.
    Reused,
    /// It is closed.
    Closed,
    /// It is closed, and no connection to its server is reused for a while.
    Distrusted,
}

/// What becomes of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseUse {
    /// It is the client's.
    Client,
    /// It is the client's if no other server does better.
    Fallback,
    /// It reaches nobody.
    Dropped,
}

/// What follows from a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptOutcome {
    /// How the attempt ended, as the decisions see it.
    pub outcome: Outcome,
    /// Whether the request was executed.
    pub execution: ExecutionStatus,
    /// What becomes of the connection.
    pub connection: ConnectionFate,
    /// What becomes of the response.
    pub response: ResponseUse,
}

impl AttemptOutcome {
    /// What follows from a response of a class. `is_clean`: nothing of the request can be left on the connection.
    pub fn new(class: ResponseClass, is_idempotent: bool, is_clean: bool) -> AttemptOutcome {
        let connection = match class {
            ResponseClass::Untrusted => ConnectionFate::Distrusted,
            _ if is_clean => ConnectionFate::Reused,
            _ => ConnectionFate::Closed,
        };
        let response = match class {
            ResponseClass::Answer => ResponseUse::Client,
            ResponseClass::ServerError if is_idempotent => ResponseUse::Fallback,
            // A request that must not be repeated has the server's own answer.
            ResponseClass::ServerError => ResponseUse::Client,
            ResponseClass::NotExecuted | ResponseClass::Misdirected | ResponseClass::Untrusted => {
                ResponseUse::Dropped
            }
        };
        AttemptOutcome { outcome: class.outcome(), execution: class.execution(), connection, response }
    }
}
