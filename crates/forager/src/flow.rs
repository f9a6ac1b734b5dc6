//! What goes on to a server, what is known of what became of it, and what an answer means.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue, CONTENT_ENCODING};
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use mountbend::interface::{Micros, Outcome};
use pinerelay_cells::verdict::Verdict;
use pinerelay_traffic::long::Download;
use pinerelay_traffic::ports::{Payload, Traffic};

use crate::forwarded::{Breach, Forwarded};
use crate::request::{NOT_EXECUTED, REQUEST_ID, SEAL};

/// Requests on routes to the servers of services.
pub struct Flow;

/// What is known of what became of a request.
#[derive(Default)]
pub struct Fate {
    /// Whether it may have run.
    pub verdict: Cell<Verdict>,
    /// To how many servers it has been sent.
    pub arrived: Cell<usize>,
    /// What the boundary found wrong, so that it was not sent.
    pub breach: Cell<Option<Breach>>,
    /// Its client has gone, or has an answer, which may promise that it never runs: nothing of it may be written any more.
    pub withdrawn: Cell<bool>,
    /// A server's own failure, for the client if no other server does better.
    pub spare: RefCell<Option<Response<Bytes>>>,
}

/// What goes on to a server.
pub struct Forward {
    /// All of it but the body.
    pub request: Forwarded,
    /// The body.
    pub body: Payload,
    /// It may run more than once.
    pub repeatable: bool,
    /// To how many servers it may be sent.
    pub servers: usize,
    /// What became of it.
    pub fate: Rc<Fate>,
}

impl Traffic for Flow {
    type Forward = Forward;
    type Whole = Response<Bytes>;
    type Long = (Parts, Download);

    fn stop(forward: &Forward, due: Micros) -> Micros {
        forward.body.stop(due)
    }

    /// Attempts that reach no server are not counted by the operator's limit; these are so many.
    fn tries(forward: &Forward) -> Option<usize> {
        Some(forward.servers + 3)
    }

    /// What may not be repeated runs on: its client may ask again what became of it.
    fn stops_when_gone(forward: &Forward) -> bool {
        forward.repeatable
    }
}

/// What an answer's head means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Means {
    /// The server has not run it.
    NotRun,
    /// Another server stands at the address.
    Another,
    /// The server's own answer, which is the client's.
    Answer,
    /// The server has failed, and says so.
    Failure,
    /// It belongs to no request here, or can't be trusted.
    Spoilt,
}

/// Whether an answer says which request it belongs to.
pub fn names_request(headers: &HeaderMap) -> bool {
    headers.contains_key(REQUEST_ID)
}

/// Whether a client takes a status for the promise that its request has not run and never will.
pub fn promises(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Reads an answer's head, given the id of the request.
pub fn means(status: StatusCode, headers: &HeaderMap, id: &HeaderValue) -> Means {
    // Danger: an answer that comes late, or once more, stands where the next one is expected.
    if headers.get_all(REQUEST_ID).iter().any(|echoed| echoed != id) {
        return Means::Spoilt;
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Means::Another;
    }
    if headers.contains_key(NOT_EXECUTED) {
        // A success that has not run is neither.
        return if status.is_success() { Means::Spoilt } else { Means::NotRun };
    }
    if !names_request(headers) || headers.contains_key(CONTENT_ENCODING) {
        return Means::Spoilt;
    }
    match status.is_success() {
        true if headers.contains_key(SEAL) => Means::Answer,
        true => Means::Spoilt,
        false if status.is_server_error() => Means::Failure,
        false => Means::Answer,
    }
}

impl Means {
    /// As the decisions know it, and what it tells of whether the request has run.
    pub fn told(self) -> (Outcome, Verdict) {
        match self {
            Means::NotRun => (Outcome::Full, Verdict::NeverRan),
            Means::Another => (Outcome::ConnectFailed, Verdict::NeverRan),
            Means::Answer => (Outcome::Ok, Verdict::Ran),
            Means::Failure => (Outcome::Error, Verdict::Ran),
            Means::Spoilt => (Outcome::Error, Verdict::MayHaveRun),
        }
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn each_kind_of_answer_means_one_thing() {
        let said = |status: u16, names: &[(&'static str, &str)]| {
            let mut headers = HeaderMap::new();
            for (name, value) in names {
                headers.insert(*name, value.parse().expect("a value"));
            }
            means(StatusCode::from_u16(status).expect("a status"), &headers, &HeaderValue::from_static("7"))
        };
        let (id, seal) = (("x-request-id", "7"), ("x-server-seal", "s"));
        expect_that!(said(200, &[id, seal]), eq(Means::Answer));
        expect_that!(said(200, &[id]), eq(Means::Spoilt), "no stamp");
        expect_that!(said(200, &[seal]), eq(Means::Spoilt), "no id");
        expect_that!(said(200, &[("x-request-id", "8"), seal]), eq(Means::Spoilt), "another's");
        expect_that!(said(503, &[("x-request-id", "8"), ("x-not-executed", "1")]), eq(Means::Spoilt));
        expect_that!(said(200, &[id, seal, ("content-encoding", "gzip")]), eq(Means::Spoilt));
        expect_that!(said(503, &[("x-not-executed", "1")]), eq(Means::NotRun));
        expect_that!(said(200, &[id, seal, ("x-not-executed", "1")]), eq(Means::Spoilt), "either or");
        expect_that!(said(503, &[id]), eq(Means::Failure));
        expect_that!(said(500, &[id]), eq(Means::Failure));
        expect_that!(said(404, &[id]), eq(Means::Answer));
        expect_that!(said(421, &[id]), eq(Means::Another));
        expect_that!(Means::Spoilt.told().1.may_refuse(), eq(false));
        expect_that!(Means::Another.told().1.may_refuse(), eq(true));
    }
}
