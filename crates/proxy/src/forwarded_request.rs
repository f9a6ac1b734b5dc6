//! Builds the requests that are forwarded to servers. This is the only place that builds them, and each is checked against the
//! received request before it may be sent.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Uri};
use pinerelay_config_state::resources::Tenant;
use pinerelay_traffic::http::Sent;
use pinerelay_traffic::ports::Payload;
use thiserror::Error;

use crate::request_head::{
    remove_hop_by_hop, RequestHead, CREDENTIAL, DEADLINE, EXPECT_SERVER, REQUEST_ID, TENANT,
};

/// A forwarding invariant that a request would violate. The request is not sent, and the client receives status 500.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum ForwardingViolation {
    /// The request id is not the client's, or does not occur exactly once.
    #[error("the request id is not the one received")]
    RequestId,
    /// The method differs.
    #[error("the method is not the one received")]
    Method,
    /// The path or the query differs.
    #[error("path and query are not those received")]
    Target,
    /// The host differs, or does not occur exactly once.
    #[error("the host is not the one received")]
    Host,
    /// The length or framing of the body differs, or is ambiguous.
    #[error("the body is not framed as it was received")]
    BodyFraming,
    /// The tenant does not own the client's API key; its name is empty, has leading or trailing white space or is not a valid
    /// header value; or the tenant header does not occur exactly once with this name (without a tenant: not at all).
    #[error("the tenant is not the one that holds the client's key")]
    Tenant,
    /// The client's API key would be disclosed to the server.
    #[error("the API key would be forwarded")]
    Credential,
    /// The deadline for the server is later than the client's, or does not occur exactly once.
    #[error("the deadline is later than the client's")]
    Deadline,
    /// The header that names the expected server does not occur exactly once.
    #[error("the expected server is not named")]
    ExpectServer,
}

impl ForwardingViolation {
    /// The name of the check, a label value in metrics.
    pub fn name(self) -> &'static str {
        match self {
            ForwardingViolation::RequestId => "request_id",
            ForwardingViolation::Method => "method",
            ForwardingViolation::Target => "target",
            ForwardingViolation::Host => "host",
            ForwardingViolation::BodyFraming => "body_frame",
            ForwardingViolation::Tenant => "tenant",
            ForwardingViolation::Credential => "credential",
            ForwardingViolation::Deadline => "deadline",
            ForwardingViolation::ExpectServer => "expect_server",
        }
    }
}

/// How the body is delimited in a forwarded request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// No body, and the client sent no framing header.
    Absent,
    /// Delimited by its length, in bytes.
    Length(u64),
    /// Sent in chunked transfer coding.
    Chunked,
}

impl BodyFraming {
    /// Returns the framing for a body that was received with these headers.
    pub fn of(payload: &Payload, headers: &HeaderMap) -> BodyFraming {
        match payload {
            Payload::Buffered(body) if body.is_empty() => {
                let is_framed =
                    [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| headers.contains_key(name));
                if is_framed {
                    BodyFraming::Length(0)
                } else {
                    BodyFraming::Absent
                }
            }
            Payload::Buffered(body) => BodyFraming::Length(body.len() as u64),
            Payload::Streamed(upload) => upload.length().map_or(BodyFraming::Chunked, BodyFraming::Length),
        }
    }
}

/// The received request, to which every forwarded request must correspond.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub target: Uri,
    /// The host.
    pub host: HeaderValue,
    /// The value of the client's request id header, which a forwarded request must carry exactly once.
    pub id: HeaderValue,
    /// The tenant that owns the client's API key, according to the routing table that matched the request; `None` without a tenant.
    pub tenant: Option<HeaderValue>,
    /// How the body is delimited.
    pub framing: BodyFraming,
    /// The maximum time from receipt to response.
    pub time_limit: Duration,
}

impl ReceivedRequest {
    /// Records a received request.
    ///
    /// # Errors
    /// If the tenant does not own the client's API key, or its name is empty, has leading or trailing white space or is not a valid
    /// header value.
    pub fn new(
        method: Method,
        head: &RequestHead,
        tenant: Option<&Arc<Tenant>>,
        time_limit: Duration,
        framing: BodyFraming,
    ) -> Result<ReceivedRequest, ForwardingViolation> {
        let tenant = tenant.map(|tenant| tenant_header(tenant, head)).transpose()?;
        Ok(ReceivedRequest {
            method,
            target: head.target.clone(),
            host: head.authority.clone(),
            id: head.id.clone(),
            tenant,
            framing,
            time_limit,
        })
    }

    /// Checks that a forwarded request corresponds to this one.
    ///
    /// # Errors
    /// The first invariant that the request violates.
    pub fn check(&self, request: &Request<Sent>) -> Result<(), ForwardingViolation> {
        let headers = request.headers();
        let ensure = |holds: bool, violation| if holds { Ok(()) } else { Err(violation) };
        let single = |name: HeaderName| {
            let mut values = headers.get_all(name).iter();
            values.next().filter(|_| values.next().is_none())
        };
        ensure(single(REQUEST_ID) == Some(&self.id), ForwardingViolation::RequestId)?;
        ensure(request.method() == self.method, ForwardingViolation::Method)?;
        let is_same_target = request.uri() == &self.target && self.target.scheme().is_none();
        ensure(is_same_target, ForwardingViolation::Target)?;
        ensure(single(HOST) == Some(&self.host), ForwardingViolation::Host)?;
        ensure(self.has_received_framing(request), ForwardingViolation::BodyFraming)?;
        ensure(single(TENANT) == self.tenant.as_ref(), ForwardingViolation::Tenant)?;
        ensure(self.tenant.is_some() || !headers.contains_key(TENANT), ForwardingViolation::Tenant)?;
        ensure(!headers.contains_key(CREDENTIAL), ForwardingViolation::Credential)?;
        let time_left = single(DEADLINE).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let is_within_limit = time_left.is_some_and(|time| u128::from(time) <= self.time_limit.as_millis());
        ensure(is_within_limit, ForwardingViolation::Deadline)?;
        ensure(single(EXPECT_SERVER).is_some(), ForwardingViolation::ExpectServer)
    }

    /// Whether the framing headers and the body of a request agree with each other and with the received framing.
    fn has_received_framing(&self, request: &Request<Sent>) -> bool {
        let headers = request.headers();
        let values = |name| headers.get_all(name).iter().map(HeaderValue::as_bytes).collect::<Vec<_>>();
        let (lengths, codings) = (values(CONTENT_LENGTH), values(TRANSFER_ENCODING));
        let size = request.body().size_hint();
        match self.framing {
            BodyFraming::Absent => lengths.is_empty() && codings.is_empty() && size.exact() == Some(0),
            BodyFraming::Length(length) => {
                let declared =
                    lengths.first().and_then(|value| std::str::from_utf8(value).ok()?.parse().ok());
                lengths.len() == 1
                    && declared == Some(length)
                    && codings.is_empty()
                    && size.exact() == Some(length)
            }
            BodyFraming::Chunked => lengths.is_empty() && codings == [b"chunked"] && size.exact().is_none(),
        }
    }
}

/// Returns the tenant's name as a header value. A name with leading or trailing white space is refused: receivers strip it, and
/// would read another name.
fn tenant_header(tenant: &Arc<Tenant>, head: &RequestHead) -> Result<HeaderValue, ForwardingViolation> {
    let has_key = head.api_key.as_ref().is_some_and(|key| tenant.api_keys.contains(key));
    let is_unchanged = tenant.name.trim_matches([' ', '\t']) == tenant.name && !tenant.name.is_empty();
    let name = HeaderValue::from_str(&tenant.name).ok();
    name.filter(|_| is_unchanged && has_key).ok_or(ForwardingViolation::Tenant)
}

/// The headers of a forwarded request, and the received request against which each attempt is checked.
pub struct ForwardedRequest {
    received: ReceivedRequest,
    headers: HeaderMap,
}

/// An attempt that failed a check. Nothing of its body was sent.
pub struct RejectedAttempt {
    /// The violated invariant.
    pub violation: ForwardingViolation,
    /// The unsent body.
    pub body: Sent,
}

impl ForwardedRequest {
    /// Computes the headers to forward from the received request and its headers; [`Self::attempt`] builds the requests.
    pub fn new(received: ReceivedRequest, headers: HeaderMap) -> ForwardedRequest {
        let headers = forwarded_headers(headers, &received);
        ForwardedRequest { received, headers }
    }

    /// The received request.
    pub fn received(&self) -> &ReceivedRequest {
        &self.received
    }

    /// Builds and checks the request for one server. `time_left_ms` is the remaining time, in milliseconds.
    ///
    /// # Errors
    /// If the request violates an invariant and must not be sent. Nothing of its body was sent.
    pub fn attempt(
        &self,
        body: Sent,
        server_id: HeaderValue,
        time_left_ms: u64,
    ) -> Result<Request<Sent>, RejectedAttempt> {
        let mut request = Request::new(body);
        *request.method_mut() = self.received.method.clone();
        *request.uri_mut() = self.received.target.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        headers.insert(DEADLINE, HeaderValue::from(time_left_ms));
        headers.insert(EXPECT_SERVER, server_id);
        match self.received.check(&request) {
            Ok(()) => Ok(request),
            Err(violation) => Err(RejectedAttempt { violation, body: request.into_body() }),
        }
    }
}

/// Returns the headers to forward: without hop-by-hop headers, the API key, and client-supplied values of headers that only the
/// proxy sets; with the host, the tenant and the framing of the body.
fn forwarded_headers(mut headers: HeaderMap, received: &ReceivedRequest) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    for name in [CREDENTIAL, TENANT, EXPECT_SERVER, DEADLINE, CONTENT_LENGTH, EXPECT] {
        headers.remove(name);
    }
    headers.insert(HOST, received.host.clone());
    if let Some(tenant) = &received.tenant {
        headers.insert(TENANT, tenant.clone());
    }
    match received.framing {
        BodyFraming::Absent => {}
        BodyFraming::Length(length) => {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        // Without this header the HTTP client library would drop the body of a GET or HEAD of unknown length.
        BodyFraming::Chunked => {
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
    }
    headers
}
