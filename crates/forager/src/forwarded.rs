//! The boundary in front of the servers: the one place where a request that goes to a server is built, and checked against
//! what was received before it may be sent.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Body;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, EXPECT, HOST, TRANSFER_ENCODING};
use hyper::{Method, Request, Uri};
use pinerelay_cells::routes::Tenant;
use pinerelay_traffic::http::Sent;
use pinerelay_traffic::ports::Payload;
use thiserror::Error;

use crate::request::{drop_hop, Head, CREDENTIAL, DEADLINE, EXPECT_SERVER, REQUEST_ID, TENANT};

/// An invariant of forwarding that a request would break. It is answered 500 and not sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Error)]
pub enum Breach {
    /// The id is not the client's, or not there once.
    #[error("the request id is not the one received")]
    RequestId,
    /// The method is another.
    #[error("the method is not the one received")]
    Method,
    /// Path or query is another.
    #[error("path and query are not those received")]
    Target,
    /// The host is another, or not there once.
    #[error("the host is not the one received")]
    Host,
    /// The length or framing of the body is another, or ambiguous.
    #[error("the body is not framed as it was received")]
    BodyFrame,
    /// The tenant is not the one that let the request in, or can't be written as a header.
    #[error("the tenant is not the one that holds the client's key")]
    Tenant,
    /// The client's key would be shown to the server.
    #[error("the key would be passed on")]
    Credential,
    /// More time is handed on than the client has.
    #[error("the deadline is later than the client's")]
    Deadline,
    /// The server that is to run it is not named once.
    #[error("the server that is to run it is not named")]
    ExpectServer,
}

impl Breach {
    /// Its name in figures.
    pub fn name(self) -> &'static str {
        match self {
            Breach::RequestId => "request_id",
            Breach::Method => "method",
            Breach::Target => "target",
            Breach::Host => "host",
            Breach::BodyFrame => "body_frame",
            Breach::Tenant => "tenant",
            Breach::Credential => "credential",
            Breach::Deadline => "deadline",
            Breach::ExpectServer => "expect_server",
        }
    }
}

/// How a body is delimited on the way to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Frame {
    /// There is none, and the client sent no length either.
    Absent,
    /// By its length.
    Length(u64),
    /// In chunks.
    Chunks,
}

impl Frame {
    /// Of a body that was received with these headers.
    pub fn of(payload: &Payload, headers: &HeaderMap) -> Frame {
        match payload {
            Payload::Whole(body) if body.is_empty() => {
                let framed =
                    [CONTENT_LENGTH, TRANSFER_ENCODING].iter().any(|name| headers.contains_key(name));
                if framed {
                    Frame::Length(0)
                } else {
                    Frame::Absent
                }
            }
            Payload::Whole(body) => Frame::Length(body.len() as u64),
            Payload::Long(upload) => upload.length().map_or(Frame::Chunks, Frame::Length),
        }
    }
}

/// What was received, as a server has to get it.
#[derive(Debug, Clone)]
pub struct Received {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: Uri,
    /// The host that it is for.
    pub host: HeaderValue,
    /// Its id.
    pub id: HeaderValue,
    /// The tenant that holds the client's key under the table that let it in; none on a route that needs none.
    pub tenant: Option<HeaderValue>,
    /// How its body is delimited.
    pub frame: Frame,
    /// How long it may be held.
    pub wait: Duration,
}

impl Received {
    /// What was received: its method and head, who holds its key, how long it may be held, and its body.
    pub fn new(
        method: Method,
        head: &Head,
        tenant: Option<&Arc<Tenant>>,
        wait: Duration,
        frame: Frame,
    ) -> Result<Received, Breach> {
        let named = |tenant: &Arc<Tenant>| {
            let holds = head.key.as_ref().is_some_and(|key| tenant.keys.contains(key));
            // Danger: a receiver takes white space off both ends of a value, and would read another name.
            let same = tenant.name.trim_matches([' ', '\t']) == tenant.name && !tenant.name.is_empty();
            let name = HeaderValue::from_str(&tenant.name).ok();
            name.filter(|_| same && holds).ok_or(Breach::Tenant)
        };
        Ok(Received {
            method,
            target: head.uri.clone(),
            host: head.authority.clone(),
            id: head.id.clone(),
            tenant: tenant.map(named).transpose()?,
            frame,
            wait,
        })
    }

    /// Looks whether a request may be sent to a server as this one.
    pub fn check(&self, request: &Request<Sent>) -> Result<(), Breach> {
        let headers = request.headers();
        let holds = |is: bool, breach: Breach| if is { Ok(()) } else { Err(breach) };
        let only = |name: HeaderName| {
            let mut all = headers.get_all(name).iter();
            all.next().filter(|_| all.next().is_none())
        };
        holds(only(REQUEST_ID) == Some(&self.id), Breach::RequestId)?;
        holds(request.method() == self.method, Breach::Method)?;
        holds(request.uri() == &self.target && self.target.scheme().is_none(), Breach::Target)?;
        holds(only(HOST) == Some(&self.host), Breach::Host)?;
        holds(self.framed(request), Breach::BodyFrame)?;
        holds(only(TENANT) == self.tenant.as_ref(), Breach::Tenant)?;
        holds(self.tenant.is_some() || !headers.contains_key(TENANT), Breach::Tenant)?;
        holds(!headers.contains_key(CREDENTIAL), Breach::Credential)?;
        let left = only(DEADLINE).and_then(|left| left.to_str().ok()?.parse::<u64>().ok());
        holds(left.is_some_and(|left| u128::from(left) <= self.wait.as_millis()), Breach::Deadline)?;
        holds(only(EXPECT_SERVER).is_some(), Breach::ExpectServer)
    }

    /// Whether headers and body of a request say one and the same of where it ends.
    fn framed(&self, request: &Request<Sent>) -> bool {
        let headers = request.headers();
        let told = |name| headers.get_all(name).iter().map(HeaderValue::as_bytes).collect::<Vec<_>>();
        let (lengths, codings) = (told(CONTENT_LENGTH), told(TRANSFER_ENCODING));
        let size = request.body().size_hint();
        match self.frame {
            Frame::Absent => lengths.is_empty() && codings.is_empty() && size.exact() == Some(0),
            Frame::Length(length) => {
                let said = lengths.first().and_then(|said| std::str::from_utf8(said).ok()?.parse().ok());
                lengths.len() == 1
                    && said == Some(length)
                    && codings.is_empty()
                    && size.exact() == Some(length)
            }
            Frame::Chunks => lengths.is_empty() && codings == [b"chunked"] && size.exact().is_none(),
        }
    }
}

/// A request that may go on to servers, and what it is checked against each time that it does.
pub struct Forwarded {
    received: Received,
    headers: HeaderMap,
}

impl Forwarded {
    /// Of what was received, with its headers as they came.
    pub fn new(received: Received, headers: HeaderMap) -> Forwarded {
        let headers = onward(headers, &received);
        Forwarded { received, headers }
    }

    /// What was received.
    pub fn received(&self) -> &Received {
        &self.received
    }

    /// The request for one server, with what is left of its time; its body is handed back if it may not be sent.
    pub fn attempt(
        &self,
        body: Sent,
        server: HeaderValue,
        left_ms: u64,
    ) -> Result<Request<Sent>, (Breach, Sent)> {
        let mut request = Request::new(body);
        *request.method_mut() = self.received.method.clone();
        *request.uri_mut() = self.received.target.clone();
        *request.headers_mut() = self.headers.clone();
        let headers = request.headers_mut();
        headers.insert(DEADLINE, HeaderValue::from(left_ms));
        headers.insert(EXPECT_SERVER, server);
        match self.received.check(&request) {
            Ok(()) => Ok(request),
            Err(breach) => Err((breach, request.into_body())),
        }
    }
}

/// The headers that go on: without those of the client's connection, the key, and what the client says in this system's
/// name; with the host, the tenant and the framing of the body.
fn onward(mut headers: HeaderMap, received: &Received) -> HeaderMap {
    drop_hop(&mut headers);
    for name in [CREDENTIAL, TENANT, EXPECT_SERVER, DEADLINE, CONTENT_LENGTH, EXPECT] {
        headers.remove(name);
    }
    headers.insert(HOST, received.host.clone());
    if let Some(tenant) = &received.tenant {
        headers.insert(TENANT, tenant.clone());
    }
    match received.frame {
        Frame::Absent => {}
        Frame::Length(length) => {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
        }
        // Danger: without this header the client library sends a GET or HEAD of unknown length with no body.
        Frame::Chunks => {
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }
    }
    headers
}
