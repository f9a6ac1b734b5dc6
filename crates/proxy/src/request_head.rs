//! Parses and validates request heads, and removes hop-by-hop headers. Defines the headers that are specific to this gateway.

use std::time::Duration;

use hyper::header::{
    HeaderMap, HeaderName, HeaderValue, CONNECTION, CONTENT_LENGTH, HOST, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use hyper::http::request::Parts;
use hyper::Uri;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// The id of a request. Each attempt of a client has its own id.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long the client waits for the response, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// A tenant's API key.
pub const CREDENTIAL: HeaderName = HeaderName::from_static("x-credential");
/// The tenant that owns the API key; set by the proxy.
pub const TENANT: HeaderName = HeaderName::from_static("x-tenant");
/// The id of the only server that may execute the request; set by the proxy.
pub const EXPECT_SERVER: HeaderName = HeaderName::from_static("x-expect-server");
/// Set by a server that has not executed the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// Set by a server on its responses; a success response without it is not trusted.
pub const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// Connection parameters; `timeout` is the idle time after which the sender closes the connection.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Headers that are needed end to end, and are kept even if the `Connection` header lists them.
const END_TO_END: [HeaderName; 5] = [HOST, REQUEST_ID, NOT_EXECUTED, SEAL, CONTENT_LENGTH];

/// Why a head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeadError {
    /// A header that may occur only once occurs several times.
    #[error("a header of the protocol comes twice")]
    DuplicateHeader,
    /// The request target contains user information.
    #[error("a host has no user")]
    UserInfo,
    /// The host is not a valid header value, or contains characters other than visible ASCII.
    #[error("the host is no text")]
    InvalidHost,
    /// The host is missing.
    #[error("no host")]
    NoHost,
    /// The request id is missing or empty.
    #[error("no X-Request-Id")]
    NoRequestId,
    /// The deadline is not an unsigned integer of ASCII digits, or is too large.
    #[error("X-Deadline-Ms is no whole number")]
    InvalidDeadline,
    /// The request target has no path.
    #[error("no path")]
    NoPath,
    /// The path of the request target does not begin with `/`.
    #[error("a path is wanted")]
    InvalidPath,
}

/// The validated parts of a request head.
#[derive(Debug)]
pub struct RequestHead {
    /// The host as a string.
    pub host: String,
    /// The host as a header value.
    pub authority: HeaderValue,
    /// The request id.
    pub id: HeaderValue,
    /// How long the client waits for the response, if it sent a deadline.
    pub deadline: Option<Duration>,
    /// The API key, if the request has one. A key that is not UTF-8 counts as missing: a lossy conversion could make two keys
    /// equal.
    pub api_key: Option<String>,
    /// The path and the query.
    pub target: Uri,
}

/// Returns the value of a header; `None` if it is missing, an error if it occurs several times.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, HeadError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        _ => Err(HeadError::DuplicateHeader),
    }
}

impl RequestHead {
    /// Parses and validates a request head.
    ///
    /// # Errors
    /// If a required part is missing or invalid, or a header occurs several times.
    pub fn parse(parts: &Parts) -> Result<RequestHead, HeadError> {
        let headers = &parts.headers;
        let authority = parse_authority(parts)?;
        let host = authority.to_str().map_err(|_| HeadError::InvalidHost)?.to_string();
        let id = single(headers, &REQUEST_ID)?.filter(|id| !id.is_empty()).ok_or(HeadError::NoRequestId)?;
        let deadline = single(headers, &DEADLINE)?.map(parse_deadline).transpose()?;
        let api_key = single(headers, &CREDENTIAL)?.and_then(|key| std::str::from_utf8(key.as_bytes()).ok());
        let target = parse_target(&parts.uri)?;
        Ok(RequestHead {
            host,
            authority,
            id: id.clone(),
            deadline,
            api_key: api_key.map(String::from),
            target,
        })
    }
}

/// Returns the host. The host of a target in absolute form replaces the `Host` header (RFC 9112, section 3.2.2).
fn parse_authority(parts: &Parts) -> Result<HeaderValue, HeadError> {
    let header = single(&parts.headers, &HOST)?;
    match parts.uri.authority() {
        Some(authority) if authority.as_str().contains('@') => Err(HeadError::UserInfo),
        Some(authority) => HeaderValue::from_str(authority.as_str()).map_err(|_| HeadError::InvalidHost),
        None => header.cloned().ok_or(HeadError::NoHost),
    }
}

/// Parses a deadline in milliseconds; only ASCII digits are accepted.
fn parse_deadline(value: &HeaderValue) -> Result<Duration, HeadError> {
    let digits = value.to_str().ok().filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let milliseconds = digits.and_then(|text| text.parse().ok()).ok_or(HeadError::InvalidDeadline)?;
    Ok(Duration::from_millis(milliseconds))
}

/// Returns the path and the query of the target, without scheme and authority.
fn parse_target(uri: &Uri) -> Result<Uri, HeadError> {
    let target = match uri.scheme() {
        None => uri.clone(),
        Some(_) => uri.path_and_query().cloned().map(Uri::from).ok_or(HeadError::NoPath)?,
    };
    if target.path().starts_with('/') {
        Ok(target)
    } else {
        Err(HeadError::InvalidPath)
    }
}

/// Removes hop-by-hop headers, including those that the `Connection` header lists, except for `END_TO_END` headers.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let listed = values.flat_map(|value| value.split(',')).filter_map(|name| name.trim().parse().ok());
    let listed: Vec<HeaderName> = listed.filter(|name| !END_TO_END.contains(name)).collect();
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
}
