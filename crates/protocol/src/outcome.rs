//! Maps an app server's answer, complete or partial, to an outcome according to the protocol's table of
//! outcomes.

use http::{HeaderMap, StatusCode};
use mountbend::interface::Outcome;

/// `X-Not-Run: 1`: the app server did not execute the request.
pub const NOT_RUN: http::HeaderName = http::HeaderName::from_static("x-not-run");

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// It was received completely.
    Complete,
    /// The connection failed before its end.
    Broken,
    /// It can't be decoded, or is longer than allowed.
    Unusable,
}

/// The outcome of an attempt whose answer had this head and body end. Danger: 503 without `X-Not-Run: 1` is
/// an error, after which an unsafe request must not be sent again.
pub fn outcome(status: StatusCode, headers: &HeaderMap, body: BodyEnd) -> Outcome {
    let not_run = headers.get(NOT_RUN).is_some_and(|v| v == "1");
    let is_unavailable = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    match body {
        // The head alone states that the request was not executed, whatever happened to the body.
        _ if is_unavailable && not_run => Outcome::Rejected,
        BodyEnd::Broken => Outcome::Reset,
        BodyEnd::Unusable => Outcome::Error,
        BodyEnd::Complete if status == StatusCode::OK => Outcome::Ok,
        BodyEnd::Complete => Outcome::Error,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_row_of_the_outcome_table() {
        let outcome_of = |status: u16, not_run: &str, body| {
            let mut headers = HeaderMap::new();
            if !not_run.is_empty() {
                headers.insert(NOT_RUN, not_run.parse().expect("a value"));
            }
            outcome(StatusCode::from_u16(status).expect("a status"), &headers, body)
        };
        use BodyEnd::*;
        assert_eq!(outcome_of(200, "", Complete), Outcome::Ok);
        assert_eq!(outcome_of(200, "1", Complete), Outcome::Ok);
        assert_eq!(outcome_of(200, "", Broken), Outcome::Reset);
        assert_eq!(outcome_of(200, "", Unusable), Outcome::Error);
        assert_eq!(outcome_of(500, "", Complete), Outcome::Error);
        assert_eq!(outcome_of(500, "1", Complete), Outcome::Error);
        for status in [503, 504] {
            assert_eq!(outcome_of(status, "", Complete), Outcome::Error);
            assert_eq!(outcome_of(status, "0", Complete), Outcome::Error);
            for body in [Complete, Broken, Unusable] {
                assert_eq!(outcome_of(status, "1", body), Outcome::Rejected);
            }
        }
    }
}
