//! Error responses that the proxy generates itself.

use std::borrow::Cow;

use bytes::Bytes;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use mountbend::interface::Micros;

use super::ResponseBody;
use crate::request_head::HeadError;

/// Minimum `Retry-After` of a request that no server has taken, in microseconds.
const NO_SERVER_RETRY: Micros = 30_000;
/// Maximum random addition to `NO_SERVER_RETRY`, in microseconds.
const NO_SERVER_RETRY_JITTER: f64 = 50_000.0;
/// Minimum `Retry-After` of a request that arrives before the first configuration, in microseconds.
const UNCONFIGURED_RETRY: Micros = 150_000;
/// Maximum random addition to `UNCONFIGURED_RETRY`, in microseconds.
const UNCONFIGURED_RETRY_JITTER: f64 = 200_000.0;

/// The time after which the client may retry, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RetryAfter(pub Micros);

impl RetryAfter {
    /// Adds up to `jitter` to `min`. `random` is a number from 0 to 1.
    fn with_jitter(min: Micros, jitter: f64, random: f64) -> RetryAfter {
        RetryAfter(min + (random * jitter) as Micros)
    }

    /// Formats the time in seconds with three decimal places, rounded up.
    fn to_header(self) -> Option<HeaderValue> {
        let milliseconds = self.0.div_ceil(1_000);
        HeaderValue::from_str(&format!("{}.{:03}", milliseconds / 1_000, milliseconds % 1_000)).ok()
    }
}

/// A request that is not forwarded or not served, with the status, body and `Retry-After` of the error response.
#[derive(Debug, Clone)]
pub(super) struct Rejection {
    status: StatusCode,
    reason: Cow<'static, str>,
    retry_after: Option<RetryAfter>,
}

impl Rejection {
    /// A rejection without a `Retry-After` header.
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

    /// The memory limit allows no further long body.
    pub(super) fn out_of_memory() -> Rejection {
        let rejection = Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "no room for one long body more\n");
        Rejection { retry_after: Some(RetryAfter(NO_SERVER_RETRY)), ..rejection }
    }

    /// No server has taken the request for execution.
    pub(super) fn no_server(random: f64) -> Rejection {
        let retry_after = RetryAfter::with_jitter(NO_SERVER_RETRY, NO_SERVER_RETRY_JITTER, random);
        let rejection = Rejection::new(StatusCode::SERVICE_UNAVAILABLE, "");
        Rejection { retry_after: Some(retry_after), ..rejection }
    }

    /// The tenant's quota is exhausted.
    pub(super) fn over_quota(retry_after: Option<RetryAfter>) -> Rejection {
        Rejection { retry_after, ..Rejection::new(StatusCode::TOO_MANY_REQUESTS, "") }
    }

    /// Whether the connection must be closed, since the following bytes cannot be trusted to be a new request.
    pub(super) fn requires_close(&self) -> bool {
        matches!(self.status.as_u16(), 400 | 405 | 408 | 413)
    }

    /// Converts the rejection to an error response.
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
