//! What a request's head must hold, which of its headers go on, and which are this system's own.

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

/// A request's id. Each attempt of a client has one of its own.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How long the client waits, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// A tenant's API key.
pub const CREDENTIAL: HeaderName = HeaderName::from_static("x-credential");
/// The tenant that has the key; set by this system.
pub const TENANT: HeaderName = HeaderName::from_static("x-tenant");
/// The only server that is to execute the request; set by this system.
pub const EXPECT_SERVER: HeaderName = HeaderName::from_static("x-expect-server");
/// A server's statement that it has not executed the request.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// A server's mark on its response.
pub const SEAL: HeaderName = HeaderName::from_static("x-server-seal");
/// How long a connection may be idle.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");

/// Headers that concern one connection only (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [HeaderName; 7] =
    [CONNECTION, KEEP_ALIVE, PROXY_CONNECTION, TE, TRAILER, TRANSFER_ENCODING, UPGRADE];

/// Headers that this system needs from end to end: no `Connection` header removes them.
const END_TO_END: [HeaderName; 5] = [HOST, REQUEST_ID, NOT_EXECUTED, SEAL, CONTENT_LENGTH];

/// Why a head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeadError {
    /// A header occurs twice that may occur once.
    #[error("a header of the protocol comes twice")]
    DuplicateHeader,
    /// The target holds user information.
    #[error("a host has no user")]
    UserInfo,
    /// The host is no text.
    #[error("the host is no text")]
    InvalidHost,
    /// There is no host.
    #[error("no host")]
    NoHost,
    /// There is no id.
    #[error("no X-Request-Id")]
    NoRequestId,
    /// The deadline is no number.
    #[error("X-Deadline-Ms is no whole number")]
    InvalidDeadline,
    /// The target has no path.
    #[error("no path")]
    NoPath,
    /// The target does not begin with a path.
    #[error("a path is wanted")]
    InvalidPath,
}

/// What is needed of a head.
#[derive(Debug)]
pub struct RequestHead {
    /// The host, as text.
    pub host: String,
    /// The host, as a header's value.
    pub authority: HeaderValue,
    /// The request's id.
    pub id: HeaderValue,
    /// How long the client waits, if it says so.
    pub deadline: Option<Duration>,
    /// The API key, if there is one. Bytes that are no UTF-8 are nobody's key: read with replacements, two keys could be equal.
    pub api_key: Option<String>,
    /// Path and query.
    pub target: Uri,
}

/// The only value of a header; `None` if it does not occur.
fn single<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Result<Option<&'a HeaderValue>, HeadError> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (value, None) => Ok(value),
        _ => Err(HeadError::DuplicateHeader),
    }
}

impl RequestHead {
    /// Parses a head.
    ///
    /// # Errors
    /// If the head does not hold what is needed, or holds it twice.
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

/// The host. The one in a target in absolute form takes the header's place (RFC 9112, section 3.2.2).
fn parse_authority(parts: &Parts) -> Result<HeaderValue, HeadError> {
    let header = single(&parts.headers, &HOST)?;
    match parts.uri.authority() {
        Some(authority) if authority.as_str().contains('@') => Err(HeadError::UserInfo),
        Some(authority) => HeaderValue::from_str(authority.as_str()).map_err(|_| HeadError::InvalidHost),
        None => header.cloned().ok_or(HeadError::NoHost),
    }
}

fn parse_deadline(value: &HeaderValue) -> Result<Duration, HeadError> {
    let digits = value.to_str().ok().filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
    let milliseconds = digits.and_then(|text| text.parse().ok()).ok_or(HeadError::InvalidDeadline)?;
    Ok(Duration::from_millis(milliseconds))
}

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

/// Removes headers that concern one connection only, those included that the `Connection` header names, except for what is
/// needed from end to end.
pub fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let named = values.flat_map(|value| value.split(',')).filter_map(|name| name.trim().parse().ok());
    let named: Vec<HeaderName> = named.filter(|name| !END_TO_END.contains(name)).collect();
    for name in HOP_BY_HOP.iter().chain(&named) {
        headers.remove(name);
    }
}
