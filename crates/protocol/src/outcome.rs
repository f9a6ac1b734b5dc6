//! What an app server's answer means: PROTOCOL's table of outcomes, for answers that came whole or in part.

use http::{HeaderMap, StatusCode};
use mountbend::interface::Outcome;

/// `X-Not-Run: 1`: the app server says that it has not begun the request.
pub const NOT_RUN: http::HeaderName = http::HeaderName::from_static("x-not-run");

/// What came of the body behind an answer's head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// All of it came.
    Whole,
    /// The connection broke first.
    Broken,
    /// It can't be read, or is longer than allowed.
    Spoilt,
}

/// The outcome of an attempt whose answer had this head. Danger: 503 without the word that it has not run is
/// an error, after which what is unsafe must not be sent again.
pub fn outcome(status: StatusCode, headers: &HeaderMap, body: BodyEnd) -> Outcome {
    let not_run = headers.get(NOT_RUN).is_some_and(|v| v == "1");
    let turned_away = matches!(status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT);
    match body {
        // The head alone says that it has not run, whatever became of the rest.
        _ if turned_away && not_run => Outcome::Rejected,
        BodyEnd::Broken => Outcome::Reset,
        BodyEnd::Spoilt => Outcome::Error,
        BodyEnd::Whole if status == StatusCode::OK => Outcome::Ok,
        BodyEnd::Whole => Outcome::Error,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn each_row_of_the_table() {
        let says = |status: u16, not_run: &str, body| {
            let mut headers = HeaderMap::new();
            if !not_run.is_empty() {
                headers.insert(NOT_RUN, not_run.parse().expect("a value"));
            }
            outcome(StatusCode::from_u16(status).expect("a status"), &headers, body)
        };
        use BodyEnd::*;
        assert_eq!(says(200, "", Whole), Outcome::Ok);
        assert_eq!(says(200, "1", Whole), Outcome::Ok);
        assert_eq!(says(200, "", Broken), Outcome::Reset);
        assert_eq!(says(200, "", Spoilt), Outcome::Error);
        assert_eq!(says(500, "", Whole), Outcome::Error);
        assert_eq!(says(500, "1", Whole), Outcome::Error);
        for status in [503, 504] {
            assert_eq!(says(status, "", Whole), Outcome::Error);
            assert_eq!(says(status, "0", Whole), Outcome::Error);
            for body in [Whole, Broken, Spoilt] {
                assert_eq!(says(status, "1", body), Outcome::Rejected);
            }
        }
    }
}
