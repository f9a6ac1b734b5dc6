//! End-to-end tests of the proxy process between raw TCP clients, scripted servers and a fake registry: malformed and
//! adversarial input from clients and servers.

mod harness;

use googletest::prelude::*;
use harness::{answer, Behavior, TestProxy};

const GET: &str = "GET /safe/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 1500\r\nX-Credential: key\r\n\r\n";
const POST: &str = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 1500\r\nX-Credential: key\r\nContent-Length: 4\r\n\r\nbody";

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

#[gtest]
fn a_request_is_forwarded_with_the_proxys_own_tenant_and_server_headers() {
    let proxy = TestProxy::with_servers(vec![Behavior::Answer(answer("r1", "hello"))]);
    let forged = GET.replace("\r\n\r\n", "\r\nX-Tenant: other\r\nX-Expect-Server: i-9\r\nX-Mine: 1\r\n\r\n");
    let response = proxy.send_request(&forged);
    expect_that!(response, starts_with("HTTP/1.1 200"));
    expect_that!(response, ends_with("hello"));
    expect_that!(response.to_lowercase(), contains_substring("x-server-seal: s"));
    let received = proxy.received_requests();
    let head = received[0].to_lowercase();
    expect_that!(head, starts_with("get /safe/1 http/1.1"));
    for line in ["host: a.example", "x-tenant: t1", "x-expect-server: i-0", "x-request-id: r1", "x-mine: 1"] {
        expect_that!(head, contains_substring(line));
    }
    expect_that!(head.matches("x-tenant").count(), eq(1));
    expect_that!(head, not(contains_substring("x-credential")));
    expect_that!(head, not(contains_substring("key")));
}

#[gtest]
fn ambiguous_requests_are_rejected_and_not_forwarded() {
    let proxy = TestProxy::with_servers(vec![Behavior::Answer(answer("r1", "hello"))]);
    let with = |line: &str| POST.replace("Content-Length: 4\r\n", line);
    let cases = [
        with("Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"),
        with("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"),
        with("Content-Length: 4\r\nContent-Length: 5\r\n"),
        with("Content-Length: 4, 4\r\n"),
        with("Content-Length: +4\r\n"),
        with("Transfer-Encoding: chunked, identity\r\n"),
        with("Transfer-Encoding: gzip\r\n"),
        with("Content-Length: 4\r\nX-Folded: a\r\n b\r\n"),
        with("Content-Length: 4\nX-Bare: 1\r\n"),
        with("Content-Length : 4\r\n"),
        POST.replace("Host: a.example\r\n", ""),
        POST.replace("Host: a.example\r\n", "Host: a.example\r\nHost: b.example\r\n"),
        POST.replace("X-Request-Id: r1\r\n", ""),
        POST.replace("X-Deadline-Ms: 1500", "X-Deadline-Ms: soon"),
        "\x16\x03\x01\x02\x00\x01\x00\x01\r\n\r\n".to_string(),
    ];
    for case in cases {
        let response = proxy.send_request(&case);
        expect_that!(status(&response), any!(eq("400"), eq("none")), "{case:?}");
    }
    expect_that!(proxy.received_requests(), is_empty());
    expect_that!(proxy.send_request(GET), starts_with("HTTP/1.1 200"), "the proxy still serves");
}

#[gtest]
fn unknown_keys_and_routes_are_rejected_and_public_routes_need_no_key() {
    let proxy = TestProxy::with_servers(vec![Behavior::Answer(answer("r1", "hello"))]);
    expect_that!(
        status(&proxy.send_request(&GET.replace("X-Credential: key", "X-Credential: kex"))),
        eq("401")
    );
    expect_that!(status(&proxy.send_request(&GET.replace("X-Credential: key\r\n", ""))), eq("401"));
    expect_that!(status(&proxy.send_request(&GET.replace("/safe/1", "/none/1"))), eq("404"));
    expect_that!(status(&proxy.send_request(&GET.replace("a.example", "b.example"))), eq("404"));
    expect_that!(proxy.received_requests(), is_empty());
    let public = GET.replace("/safe/1", "/open/1").replace("X-Credential: key", "X-Tenant: t1");
    expect_that!(status(&proxy.send_request(&public)), eq("200"));
    expect_that!(proxy.received_requests()[0].to_lowercase(), not(contains_substring("x-tenant")));
}

#[gtest]
fn responses_that_cannot_be_trusted_never_reach_the_client() {
    let untrusted_responses = [
        answer("r0", "another's"),
        answer("r1", "hello").replace("X-Server-Seal: s\r\n", ""),
        answer("r1", "hello").replace("X-Server-Seal", "Content-Encoding: gzip\r\nX-Server-Seal"),
        answer("r1", "hello").replace("Content-Length: 5", "Content-Length: 50"),
        answer("r1", "hello").replace("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked"),
        answer("r1", "hello").replace("Content-Length: 5", "Transfer-Encoding: chunkedxyz"),
        answer("r1", "hello").replace("Content-Length: 5", "Transfer-Encoding: gzip, chunked"),
        "what is this\r\n\r\n".to_string(),
    ];
    for untrusted in untrusted_responses {
        // A repeatable request is retried at the other server; any other gets a status that promises nothing about its execution.
        let servers = vec![Behavior::Answer(untrusted.clone()), Behavior::Answer(answer("r1", "hello"))];
        let proxy = TestProxy::with_servers(servers);
        let responses: Vec<String> = (0..4).map(|_| proxy.send_request(GET)).collect();
        for response in responses {
            expect_that!(response, all!(starts_with("HTTP/1.1 200"), ends_with("hello")), "{untrusted:?}");
        }
        let proxy = TestProxy::with_servers(vec![Behavior::Answer(untrusted.clone())]);
        expect_that!(status(&proxy.send_request(POST)), any!(eq("502"), eq("504")), "{untrusted:?}");
    }
}

#[gtest]
fn a_surplus_response_is_never_returned_for_the_next_request() {
    let twice = answer("r1", "hello") + &answer("r1", "again");
    let proxy = TestProxy::with_servers(vec![Behavior::Answer(twice)]);
    for n in 0..6 {
        let response = proxy.send_request(POST);
        // The fake server sends all responses with the id `r1`, so only the body reveals a surplus response.
        expect_that!(response, not(ends_with("again")), "at {n}");
    }
}

#[gtest]
fn an_unsafe_request_is_retried_only_if_it_was_certainly_not_executed() {
    let rejects = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_string();
    let misdirected = "HTTP/1.1 421 Other\r\nX-Server-Id: i-7\r\nContent-Length: 0\r\n\r\n".to_string();
    for not_run in [Behavior::Answer(rejects.clone()), Behavior::Answer(misdirected), Behavior::Refuse] {
        let proxy = TestProxy::with_servers(vec![not_run, Behavior::Answer(answer("r1", "hello"))]);
        for _ in 0..4 {
            expect_that!(proxy.send_request(POST), starts_with("HTTP/1.1 200"));
        }
    }
    for may_have_run in [Behavior::Reset, Behavior::Close] {
        let proxy = TestProxy::with_servers(vec![may_have_run]);
        let response = proxy.send_request(POST);
        expect_that!(status(&response), eq("502"));
        expect_that!(proxy.received_requests().len(), eq(1));
    }
    // Rejected by all servers: 503 promises that the request was not executed, with a `Retry-After`.
    let proxy = TestProxy::with_servers(vec![Behavior::Answer(rejects)]);
    let response = proxy.send_request(POST);
    expect_that!(status(&response), eq("503"));
    expect_that!(response.to_lowercase(), contains_substring("retry-after: 0."));
    // The error response of a server is returned unchanged.
    let failed = "HTTP/1.1 500 Oh\r\nX-Request-Id: r1\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n\r\nwhy";
    let proxy = TestProxy::with_servers(vec![Behavior::Answer(failed.into())]);
    expect_that!(proxy.send_request(POST), all!(starts_with("HTTP/1.1 500"), ends_with("why")));
}

#[gtest]
fn an_attempt_at_a_silent_server_counts_against_the_attempt_limit() {
    let proxy = TestProxy::with_servers(vec![Behavior::Silent, Behavior::Silent]);
    // This route allows one attempt, and silence does not justify a second one.
    let response = proxy.send_request(&GET.replace("/safe/", "/first/"));
    expect_that!(status(&response), eq("504"), "held until its deadline, not aborted because of silence");
    expect_that!(proxy.received_requests().len(), eq(1));
    // The other route allows three attempts; the next one starts after the server has been silent for a time.
    expect_that!(status(&proxy.send_request(GET)), any!(eq("502"), eq("504")));
    expect_that!(proxy.received_requests().len(), gt(2));
}

#[gtest]
fn long_bodies_are_streamed_both_ways_in_bounded_memory() {
    let proxy = TestProxy::with_servers(vec![Behavior::LongBody(24 << 20)]);
    let head = POST.split("Content-Length").next().expect("a head");
    let (status, length) =
        proxy.exchange_long_body(&format!("{head}Content-Length: {}\r\n\r\n", 24 << 20), 24 << 20);
    expect_that!(status.as_str(), starts_with("HTTP/1.1 200"));
    expect_that!(length, eq(24 << 20));
    expect_that!(proxy.peak_memory_mb(), lt(64));
    let too_long = format!("{head}Content-Length: {}\r\n\r\n", 65 << 20);
    expect_that!(status_of(&proxy.send_request(&too_long)), eq("413"));
}

fn status_of(answer: &str) -> String {
    status(answer).to_string()
}

#[gtest]
fn invalid_bytes_on_the_internal_port_do_no_harm() {
    let proxy = TestProxy::with_servers(vec![Behavior::Answer(answer("r1", "hello"))]);
    for noise in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"prp3\xff\xff\xff\xff",
        b"prp3\x05\x00\x00\x00\xfe\xfe\xfe\xfe\xfe",
        b"",
    ] {
        proxy.send_to_internal_port(noise);
    }
    expect_that!(proxy.send_request(GET), starts_with("HTTP/1.1 200"));
}

#[gtest]
fn after_sigterm_the_proxy_is_unready_still_serves_and_exits_with_zero() {
    let mut proxy = TestProxy::with_servers(vec![Behavior::Answer(answer("r1", "hello"))]);
    expect_that!(proxy.is_ready(), eq(true));
    proxy.terminate();
    proxy.wait_until(|proxy| !proxy.is_ready());
    let response = proxy.send_request(GET);
    expect_that!(response, starts_with("HTTP/1.1 200"));
    expect_that!(response.to_lowercase(), contains_substring("connection: close"));
    expect_that!(proxy.exit_code(), some(eq(0)));
}
