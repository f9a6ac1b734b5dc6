//! Tests of forwarded requests: which headers are built, and that each check detects a deviation from the received request.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use hyper::header::{HeaderMap, HeaderName, HeaderValue, CONTENT_LENGTH, HOST, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Uri};
use pinerelay_config_state::resources::Tenant;
use pinerelay_proxy::forwarded_request::{
    BodyFraming, ForwardedRequest, ForwardingViolation, ReceivedRequest,
};
use pinerelay_proxy::request_head::{RequestHead, CREDENTIAL, DEADLINE, EXPECT_SERVER, REQUEST_ID, TENANT};
use pinerelay_traffic::http::Sent;
use pinerelay_traffic::ports::Payload;

const TIME_LIMIT: Duration = Duration::from_millis(250);

fn parts(headers: &[(&str, &str)]) -> Parts {
    let mut request = Request::builder().method("POST").uri("/x/y?z=1");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    request.body(()).expect("a request").into_parts().0
}

const REQUEST_HEADERS: [(&str, &str); 4] =
    [("host", "a.example"), ("x-request-id", "1"), ("x-deadline-ms", "250"), ("x-credential", "k")];

fn tenant(name: &str, key: &str) -> Arc<Tenant> {
    Arc::new(Tenant { name: name.into(), api_keys: vec![key.into()], priority: None, rate: 0.0, burst: 0.0 })
}

fn received(tenant: Option<&Arc<Tenant>>) -> std::result::Result<ReceivedRequest, ForwardingViolation> {
    let head = RequestHead::parse(&parts(&REQUEST_HEADERS)).expect("a head");
    ReceivedRequest::new(Method::POST, &head, tenant, TIME_LIMIT, BodyFraming::Length(4))
}

fn body() -> Sent {
    Bytes::from_static(b"body").into()
}

fn build(sent: &[(&str, &str)]) -> Request<Sent> {
    let received = received(Some(&tenant("mine", "k"))).expect("received");
    let forwarded = ForwardedRequest::new(received, parts(sent).headers);
    let request = forwarded.attempt(body(), HeaderValue::from_static("i-1"), 240);
    request.map_err(|rejected| rejected.violation).expect("no violation")
}

#[gtest]
fn the_api_key_and_client_supplied_internal_headers_are_not_forwarded() {
    let extra = [
        ("connection", "x-mine, x-request-id, host, close"),
        ("x-mine", "1"),
        ("x-tenant", "other"),
        ("x-expect-server", "i"),
        ("te", "trailers"),
        ("x-kept", "1"),
        ("x-kept", "2"),
        ("expect", "100-continue"),
    ];
    let sent: Vec<_> = REQUEST_HEADERS.into_iter().chain(extra).collect();
    let request = build(&sent);
    let headers = request.headers();
    let mut names: Vec<_> = headers.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    let expected =
        ["content-length", "host", "x-deadline-ms", "x-expect-server", "x-kept", "x-request-id", "x-tenant"];
    expect_that!(names, container_eq(expected));
    expect_that!(headers[TENANT].to_str(), ok(eq(&"mine")));
    expect_that!(headers[EXPECT_SERVER].to_str(), ok(eq(&"i-1")));
    expect_that!(headers.get_all("x-kept").iter().count(), eq(2));
}

#[gtest]
fn a_tenant_with_an_invalid_header_value_or_without_the_key_is_an_error() {
    for name in ["t\n", "t\u{7f}", "", " t", "t\t"] {
        expect_that!(
            received(Some(&tenant(name, "k"))).err(),
            some(eq(ForwardingViolation::Tenant)),
            "{name:?}"
        );
    }
    expect_that!(received(Some(&tenant("mine", "other"))).err(), some(eq(ForwardingViolation::Tenant)));
    // A name that is not ASCII is forwarded as its UTF-8 bytes.
    let accented = received(Some(&tenant("t\u{e9}", "k"))).expect("received");
    expect_that!(accented.tenant.as_ref().map(HeaderValue::as_bytes), some(eq("t\u{e9}".as_bytes())));
    expect_that!(received(None).is_ok(), eq(true));
}

#[gtest]
fn each_check_detects_its_violation() {
    let tenant = tenant("mine", "k");
    let received = received(Some(&tenant)).expect("received");
    let check = |change: &dyn Fn(&mut Request<Sent>)| {
        let mut request = build(&REQUEST_HEADERS);
        change(&mut request);
        received.check(&request)
    };
    let set = |name: HeaderName, value: &'static str| {
        move |request: &mut Request<Sent>| {
            request.headers_mut().insert(&name, HeaderValue::from_static(value));
        }
    };
    let add = |name: HeaderName, value: &'static str| {
        move |request: &mut Request<Sent>| {
            request.headers_mut().append(&name, HeaderValue::from_static(value));
        }
    };
    let drop = |name: HeaderName| {
        move |request: &mut Request<Sent>| {
            request.headers_mut().remove(&name);
        }
    };
    expect_that!(check(&|_| ()), ok(eq(())));
    type Change = Box<dyn Fn(&mut Request<Sent>)>;
    let violations: Vec<(ForwardingViolation, Change)> = vec![
        (ForwardingViolation::RequestId, Box::new(set(REQUEST_ID, "2"))),
        (ForwardingViolation::RequestId, Box::new(add(REQUEST_ID, "1"))),
        (ForwardingViolation::RequestId, Box::new(drop(REQUEST_ID))),
        (ForwardingViolation::Method, Box::new(|request| *request.method_mut() = Method::GET)),
        (ForwardingViolation::Target, Box::new(|request| *request.uri_mut() = Uri::from_static("/x/y?z=2"))),
        (ForwardingViolation::Target, Box::new(|request| *request.uri_mut() = Uri::from_static("/x/y"))),
        (
            ForwardingViolation::Target,
            Box::new(|request| *request.uri_mut() = Uri::from_static("http://a.example/x/y?z=1")),
        ),
        (ForwardingViolation::Host, Box::new(set(HOST, "b.example"))),
        (ForwardingViolation::Host, Box::new(drop(HOST))),
        (ForwardingViolation::BodyFraming, Box::new(set(CONTENT_LENGTH, "5"))),
        (ForwardingViolation::BodyFraming, Box::new(add(CONTENT_LENGTH, "4"))),
        (ForwardingViolation::BodyFraming, Box::new(drop(CONTENT_LENGTH))),
        (ForwardingViolation::BodyFraming, Box::new(set(TRANSFER_ENCODING, "chunked"))),
        (
            ForwardingViolation::BodyFraming,
            Box::new(|request| *request.body_mut() = Bytes::from_static(b"bod").into()),
        ),
        (ForwardingViolation::Tenant, Box::new(set(TENANT, "other"))),
        (ForwardingViolation::Tenant, Box::new(add(TENANT, "mine"))),
        (ForwardingViolation::Tenant, Box::new(drop(TENANT))),
        (ForwardingViolation::Credential, Box::new(set(CREDENTIAL, "k"))),
        (ForwardingViolation::Deadline, Box::new(set(DEADLINE, "251"))),
        (ForwardingViolation::Deadline, Box::new(drop(DEADLINE))),
        (ForwardingViolation::ExpectServer, Box::new(drop(EXPECT_SERVER))),
    ];
    for (expected_violation, change) in violations {
        expect_that!(check(&*change), err(eq(expected_violation)));
    }
    let open = ReceivedRequest { tenant: None, ..received.clone() };
    expect_that!(open.check(&build(&REQUEST_HEADERS)), err(eq(ForwardingViolation::Tenant)));
}

#[gtest]
fn the_framing_follows_the_received_body_and_headers() {
    let empty = Payload::Buffered(Bytes::new());
    let with = |name: HeaderName, value: &'static str| {
        HeaderMap::from_iter([(name, HeaderValue::from_static(value))])
    };
    expect_that!(BodyFraming::of(&empty, &HeaderMap::new()), eq(BodyFraming::Absent));
    expect_that!(BodyFraming::of(&empty, &with(CONTENT_LENGTH, "0")), eq(BodyFraming::Length(0)));
    expect_that!(BodyFraming::of(&empty, &with(TRANSFER_ENCODING, "chunked")), eq(BodyFraming::Length(0)));
    let payload = Payload::Buffered(Bytes::from_static(b"body"));
    expect_that!(BodyFraming::of(&payload, &with(TRANSFER_ENCODING, "chunked")), eq(BodyFraming::Length(4)));
}
