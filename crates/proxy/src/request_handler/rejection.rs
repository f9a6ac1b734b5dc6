//! Answers of this system's own.

use std::borrow::Cow;

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use mountbend::interface::Micros;

use super::ResponseBody;
use crate::request_head::HeadError;

/// A request that no server takes is to come back after so long, in microseconds.
const NO_SERVER_RETRY: Micros = 30_000;
/// And up to so much later, at random.
const NO_SERVER_RETRY_JITTER: f64 = 50_000.0;
/// A request that comes before there is a configuration is to come back after so long, in microseconds.
const UNCONFIGURED_RETRY: Micros = 150_000;
/// And up to so much later, at random.
const UNCONFIGURED_RETRY_JITTER: f64 = 200_000.0;

/// The time after which a client is to come back, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RetryAfter(pub Micros);

impl RetryAfter {
    /// `random` is a number from 0 to 1.
    fn with_jitter(least: Micros, jitter: f64, random: f64) -> RetryAfter {
        RetryAfter(least + (random * jitter) as Micros)
    }

    /// In seconds with three digits behind the point.
    fn to_header(self) -> Option<HeaderValue> {
        let milliseconds = self.0.div_ceil(1_000);
        HeaderValue::from_str(&format!("{}.{:03}", milliseconds / 1_000, milliseconds % 1_000)).ok()
    }
}

/// Why a request is not forwarded or not served.
#[derive(Debug, Clone)]
pub(super) struct Rejection {
    status: StatusCode,
    reason: Cow<'static, str>,
    retry_after: Option<RetryAfter>,
}

impl Rejection {
    /// A rejection without a time to come back.
    pub(super) fn new(status: StatusCode, reason: impl Into<Cow<'static, str>>) -> Rejection {
        Rejection { status, reason: reason.into(), retry_after: None }
    }

    /// The request is malformed.
    pub(super) fn bad_request(reason: impl Into<Cow<'static, str>>) -> Rejection {
        Rejection::new(StatusCode::BAD_REQUEST, reason)
    }

    /// There is no configuration yet.
    pub(super) fn unconfigured(random: f64) -> Rejection {
        let retry_after = RetryAfter::with_jitter(UNCONFIGURED_RETRY, UNCONFIGURED_RETRY_JITTER, random);
        let rejection = Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n");
        Rejection { retry_after: Some(retry_after), ..rejection }
    }

    /// There is no memory for one more long body.
    pub(super) fn out_of_memory() -> Rejection {
        let rejection = Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "no room for one long body more\n");
        Rejection { retry_after: Some(RetryAfter(NO_SERVER_RETRY)), ..rejection }
    }

    /// No server has taken the request.
    pub(super) fn no_server(random: f64) -> Rejection {
        let retry_after = RetryAfter::with_jitter(NO_SERVER_RETRY, NO_SERVER_RETRY_JITTER, random);
        let rejection = Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "");
        Rejection { retry_after: Some(retry_after), ..rejection }
    }

    /// The tenant's quota is exhausted.
    pub(super) fn beyond_quota(retry_after: Option<RetryAfter>) -> Rejection {
        Rejection { retry_after, ..Rejection::new(StatusCode::TOO_MANY_REQUESTS, "") }
    }

    /// Whether what follows on the connection cannot be trusted.
    pub(super) fn is_malformed(&self) -> bool {
        matches!(self.status.as_u16(), 400 | 405 | 408 | 413)
    }

    /// The response.
    pub(super) fn into_response(self) -> Response<ResponseBody> {
        let body = Bytes::from(self.reason.into_owned());
        let mut response = Response::new(ResponseBody::from(body));
        *response.status_mut() = self.status;
        if let Some(value) = self.retry_after.and_then(RetryAfter::to_header) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
        response
    }
}

impl From<HeadError> for Rejection {
    fn from(error: HeadError) -> Rejection {
        Rejection::bad_request(error.to_string())
    }
}
