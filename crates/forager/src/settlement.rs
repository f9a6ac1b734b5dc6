//! What follows from a server's whole answer: for the decisions, the connection and the client. A pure function.

use mountbend::interface::Outcome;
use pinerelay_cells::verdict::Verdict;

use crate::flow::Means;

/// What becomes of the connection that an answer came on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Line {
    /// It may carry another request.
    Kept,
    /// It is closed.
    Closed,
    /// It is closed, and no connection to its server is used twice for a while.
    Distrusted,
}

/// What becomes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reply {
    /// It is the client's.
    Client,
    /// It is the client's if no other server does better.
    Spare,
    /// It reaches nobody.
    Dropped,
}

/// What follows from an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settlement {
    /// How the attempt ended, for the decisions.
    pub outcome: Outcome,
    /// Whether the request has run.
    pub verdict: Verdict,
    /// What becomes of the connection.
    pub line: Line,
    /// What becomes of the answer.
    pub reply: Reply,
}

impl Settlement {
    /// Of an answer with this meaning to a request that may or may not be repeated; `clean`: nothing of the request can be
    /// left on the connection.
    pub fn of(means: Means, repeatable: bool, clean: bool) -> Settlement {
        let (outcome, verdict) = means.told();
        let line = match means {
            Means::Spoilt => Line::Distrusted,
            _ if clean => Line::Kept,
            _ => Line::Closed,
        };
        let reply = match means {
            Means::Answer => Reply::Client,
            Means::Failure if repeatable => Reply::Spare,
            // What may not be repeated has the server's own answer; else another may do better.
            Means::Failure => Reply::Client,
            Means::NotRun | Means::Another | Means::Spoilt => Reply::Dropped,
        };
        Settlement { outcome, verdict, line, reply }
    }
}
