//! The boundary in front of the servers: the one place where a request that goes to a server is built, and checked against
//! what was received before it may be sent.

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

/// An invariant of forwarding that a request would violate. It is answered 500 and not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum ForwardingViolation {
    /// The id is not the client's, or does not occur once.
    #[error("the request id is not the one received")]
    RequestId,
    /// The method differs.
    #[error("the method is not the one received")]
    Method,
    /// Path or query differs.
    #[error("path and query are not those received")]
    Target,
    /// The host differs, or does not occur once.
    #[error("the host is not the one received")]
    Host,
    /// The length or framing of the body differs, or is ambiguous.
    #[error("the body is not framed as it was received")]
    BodyFraming,
    /// The tenant is not the one that was admitted, or no header can hold it.
    #[error("the tenant is not the one that holds the client's key")]
    Tenant,
    /// The client's key would be shown to the server.
    #[error("the key would be passed on")]
    Credential,
    /// The server would be given more time than the client has.
    #[error("the deadline is later than the client's")]
    Deadline,
    /// The server that is to execute it is not named once.
    #[error("the server that is to run it is not named")]
    ExpectServer,
}

impl ForwardingViolation {
    /// The name of the check in metrics.
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

/// How a body is delimited on the way to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyFraming {
    /// There is no body, and the client sent no length either.
    Absent,
    /// By its length, in bytes.
    Length(u64),
    /// In chunks.
    Chunked,
}

impl BodyFraming {
    /// The framing of a body that was received with these headers.
    pub fn of(payload: &Payload, headers: &HeaderMap) -> BodyFraming {
        match payload {
            Payload::Whole(body) if body.is_empty() => {
                let is_framed =
                    [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| headers.contains_key(name));
                if is_framed {
                    BodyFraming::Length(0)
                } else {
                    BodyFraming::Absent
                }
            }
            Payload::Whole(body) => BodyFraming::Length(body.len() as u64),
            Payload::Long(upload) => upload.length().map_or(BodyFraming::Chunked, BodyFraming::Length),
        }
    }
}

/// What was received, as a server has to get it.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The host.
    pub host: HeaderValue,
    /// The request's id.
    pub id: HeaderValue,
    /// The tenant that has the client's key, by the routing table that admitted the request; `None` on a public route.
    pub tenant: Option<HeaderValue>,
    /// How the body is delimited.
    pub framing: BodyFraming,
    /// How long the request may be held.
    pub time_limit: Duration,
}

impl ReceivedRequest {
    /// What was received with a head.
    ///
    /// # Errors
    /// If the tenant does not have the client's key, or no header can hold the tenant's name.
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

    /// Checks that a request may be sent to a server as this one.
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
        ensure(self.is_framed_alike(request), ForwardingViolation::BodyFraming)?;
        ensure(single(TENANT) == self.tenant.as_ref(), ForwardingViolation::Tenant)?;
        ensure(self.tenant.is_some() || !headers.contains_key(TENANT), ForwardingViolation::Tenant)?;
        ensure(!headers.contains_key(CREDENTIAL), ForwardingViolation::Credential)?;
        let time_left = single(DEADLINE).and_then(|value| value.to_str().ok()?.parse::<u64>().ok());
        let is_in_time = time_left.is_some_and(|time| u128::from(time) <= self.time_limit.as_millis());
        ensure(is_in_time, ForwardingViolation::Deadline)?;
        ensure(single(EXPECT_SERVER).is_some(), ForwardingViolation::ExpectServer)
    }

    /// Whether headers and body of a request agree on where it ends, and with what was received.
    fn is_framed_alike(&self, request: &Request<Sent>) -> bool {
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

/// The tenant's name as a header. A receiver removes white space from both ends of a value, and would read another name.
fn tenant_header(tenant: &Arc<Tenant>, head: &RequestHead) -> Result<HeaderValue, ForwardingViolation> {
    let has_key = head.api_key.as_ref().is_some_and(|key| tenant.api_keys.contains(key));
    let is_unchanged = tenant.name.trim_matches([' ', '\t']) == tenant.name && !tenant.name.is_empty();
    let name = HeaderValue::from_str(&tenant.name).ok();
    name.filter(|_| is_unchanged && has_key).ok_or(ForwardingViolation::Tenant)
}

/// A request that may be forwarded to servers, and what it is checked against at each attempt.
pub struct ForwardedRequest {
    received: ReceivedRequest,
    headers: HeaderMap,
}

/// A request that failed a check, with its body, of which nothing was sent.
pub struct RejectedAttempt {
    /// The check.
    pub violation: ForwardingViolation,
    /// The body.
    pub body: Sent,
}

impl ForwardedRequest {
    /// The forwarded request of what was received, with the headers as they came.
    pub fn new(received: ReceivedRequest, headers: HeaderMap) -> ForwardedRequest {
        let headers = forwarded_headers(headers, &received);
        ForwardedRequest { received, headers }
    }

    /// What was received.
    pub fn received(&self) -> &ReceivedRequest {
        &self.received
    }

    /// The request for one server, with the milliseconds that are left of its time.
    ///
    /// # Errors
    /// If it may not be sent; nothing of its body was.
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

/// The headers that go on: without those of the client's connection, the key, and what the client says in this system's name;
/// with the host, the tenant and the framing of the body.
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
        // Without this header the client library sends a GET or HEAD of unknown length with no body.
        BodyFraming::Chunked => {
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
    }
    headers
}
