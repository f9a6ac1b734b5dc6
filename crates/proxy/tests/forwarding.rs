//! Forwarding at the byte level: each request reaches a server complete and unchanged, or not at all, and no bytes of one request
//! are parsed as another (request smuggling).

mod harness;
mod recorder;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use harness::{answer, Behavior, ReceivedRequests, TestProxy};
use recorder::{header, Recorder, ResponseTiming};

const HEAD: &str = "Host: a.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 1500\r\nX-Credential: key\r\n";

fn get(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\n{HEAD}\r\n")
}

fn post(target: &str, id: &str, bytes: usize) -> String {
    let head = HEAD.replace("r1", id);
    format!("POST {target} HTTP/1.1\r\n{head}Content-Length: {bytes}\r\n\r\n{}", "b".repeat(bytes))
}

fn own_response(head: &str) -> String {
    answer(header(head, "x-request-id").unwrap_or_default(), "hello")
}

fn rejection(head: &str) -> String {
    let id = header(head, "x-request-id").unwrap_or_default();
    format!("HTTP/1.1 503 Full\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

fn chunked(method: &str, bytes: usize) -> String {
    let body = format!("{:x}\r\n{}\r\n0\r\n\r\n", bytes, "c".repeat(bytes));
    format!("{method} /safe/1 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n{body}")
}

fn with(server: &Recorder) -> TestProxy {
    TestProxy::with_addresses(&[server.address], ReceivedRequests::default())
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

/// Sends pieces on one connection; returns the bytes received until it is closed or silent for 700 ms.
fn send_pieces(proxy: &TestProxy, pieces: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(proxy.public).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_millis(700))).expect("a time-out");
    stream.set_nodelay(true).expect("no delay");
    for piece in pieces {
        // The proxy may have closed the connection meanwhile.
        if stream.write_all(piece).is_err() {
            break;
        }
    }
    let mut received = Vec::new();
    let mut buffer = [0_u8; 4096];
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..n]);
    }
    String::from_utf8_lossy(&received).into_owned()
}

#[gtest]
fn a_connection_whose_body_was_rejected_at_the_head_is_not_reused() {
    let server = Recorder::new(|head| match head.starts_with("POST") {
        true => (ResponseTiming::AfterHead, rejection(head)),
        false => (ResponseTiming::AfterRequest, own_response(head)),
    });
    let proxy = with(&server);
    // The body of 60 kB takes 0.24 s at 2 Mbit/s. On a busy machine the server may take longer to respond, so a fast response is
    // awaited.
    let fast = (0..20).find_map(|_| {
        let (before, begun) = (server.connections().len(), Instant::now());
        expect_that!(status(&proxy.send_request(&post("/once/1", "r1", 60_000))), eq("503"));
        (begun.elapsed() < Duration::from_millis(200)).then_some(before)
    });
    let before = fast.expect("a fast rejection");
    for _ in 0..4 {
        expect_that!(status(&proxy.send_request(&get("/safe/1"))), eq("200"));
    }
    let since = server.connections().split_off(before);
    let refused: Vec<_> = since.iter().filter(|bytes| bytes.starts_with("POST ")).collect();
    expect_that!(refused, not(is_empty()));
    for bytes in refused {
        let requests = bytes.matches(" HTTP/1.1\r\n").count();
        expect_that!(requests, eq(1), "requests on the connection of a refused body");
    }
}

#[gtest]
fn a_connection_is_reused_after_ordinary_responses() {
    let server = Recorder::new(|head| match header(head, "x-request-id") {
        Some("no") => (ResponseTiming::AfterRequest, rejection(head)),
        // The shortest processing time in deployments; 18 kB take 0.075 s at 2 Mbit/s.
        _ => (ResponseTiming::AfterDelay(Duration::from_millis(84)), own_response(head)),
    });
    let proxy = with(&server);
    for n in 0..4 {
        expect_that!(status(&proxy.send_request(&post("/once/1", "r1", 6_000 * n))), eq("200"));
        expect_that!(status(&proxy.send_request(&get("/safe/1"))), eq("200"));
    }
    // A body that fits one TCP segment has arrived when the response is sent, whatever its status.
    expect_that!(status(&proxy.send_request(&post("/once/1", "no", 300))), eq("503"));
    expect_that!(status(&proxy.send_request(&get("/safe/1"))), eq("200"));
    expect_that!(server.connections().len(), eq(1));
}

#[gtest]
fn a_connection_whose_response_precedes_the_end_of_the_body_is_not_reused() {
    let server = Recorder::new(|head| match head.starts_with("POST") {
        true => (ResponseTiming::AfterHead, own_response(head)),
        false => (ResponseTiming::AfterRequest, own_response(head)),
    });
    let proxy = with(&server);
    let fast = (0..20).find_map(|_| {
        let (before, begun) = (server.connections().len(), Instant::now());
        expect_that!(status(&proxy.send_request(&post("/once/1", "r1", 60_000))), eq("200"));
        (begun.elapsed() < Duration::from_millis(200)).then_some(before)
    });
    let before = fast.expect("a fast response").saturating_sub(1);
    expect_that!(status(&proxy.send_request(&get("/safe/1"))), eq("200"));
    for bytes in server.connections().split_off(before).iter().filter(|bytes| bytes.starts_with("POST ")) {
        let requests = bytes.matches(" HTTP/1.1\r\n").count();
        expect_that!(requests, eq(1), "requests on the connection of a body that was answered early");
    }
}

#[gtest]
fn a_chunked_body_is_forwarded_completely_for_any_method_and_server_version() {
    let server = Recorder::new(|head| {
        let answer =
            own_response(head).replace("HTTP/1.1 200 OK", "HTTP/1.0 200 OK\r\nConnection: keep-alive");
        (ResponseTiming::AfterRequest, answer)
    });
    let proxy = with(&server);
    for method in ["POST", "POST", "GET", "PUT", "DELETE"] {
        expect_that!(status(&proxy.send_request(&chunked(method, 100_000))), eq("200"), "{method}");
    }
    let connections = server.connections();
    expect_that!(connections.len(), eq(5));
    for bytes in connections {
        expect_that!(bytes.matches('c').count(), ge(100_000));
    }
}

#[gtest]
fn the_rest_of_a_rejected_body_is_never_parsed_as_a_request() {
    let hidden = get("/safe/hidden").replace("r1", "hidden");
    let long = "x".repeat(20_000);
    let cases = [
        ("401", HEAD.replace(": key", ": kex"), "/safe/1"),
        ("404", HEAD.to_string(), "/none/1"),
        ("400", HEAD.replace("1500", "soon"), "/safe/1"),
        ("413", HEAD.to_string(), "/safe/1"),
    ];
    for (expected, head, target) in cases {
        let too_long = expected == "413";
        let length = if too_long { 80 << 20 } else { long.len() + hidden.len() };
        let sized = format!("POST {target} HTTP/1.1\r\n{head}Content-Length: {length}\r\n\r\n");
        let chunks = format!("POST {target} HTTP/1.1\r\n{head}Transfer-Encoding: chunked\r\n\r\n");
        let chunk = format!("{:x}\r\n", long.len() + hidden.len());
        let behind = get("/safe/behind").replace("r1", "behind");
        let (long, hidden, behind) = (long.as_bytes(), hidden.as_bytes(), behind.as_bytes());
        let server = Recorder::new(|head| (ResponseTiming::AfterRequest, own_response(head)));
        let proxy = with(&server);
        let received =
            send_pieces(&proxy, &[sized.as_bytes(), &long[..9_000], &long[9_000..], hidden, behind]);
        expect_that!(status(&received), eq(expected), "with a length");
        expect_that!(received.to_lowercase(), contains_substring("connection: close"), "{expected}");
        if !too_long {
            let chunk = chunk.as_bytes();
            let received =
                send_pieces(&proxy, &[chunks.as_bytes(), chunk, long, hidden, b"\r\n0\r\n\r\n", behind]);
            expect_that!(status(&received), eq(expected), "in chunks");
            expect_that!(received.to_lowercase(), contains_substring("connection: close"), "{expected}");
        }
        expect_that!(server.connections(), is_empty(), "{expected}");
    }
}

#[gtest]
fn the_rest_of_a_long_body_is_discarded_before_the_next_request() {
    let proxy = TestProxy::with_servers(vec![Behavior::Refuse]);
    let hidden = get("/safe/hidden");
    let behind = get("/safe/behind");
    let first = "x".repeat(70_000);
    let head =
        format!("POST /once/1 HTTP/1.1\r\n{HEAD}Content-Length: {}\r\n\r\n", first.len() + hidden.len());
    let mut stream = TcpStream::connect(proxy.public).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(6))).expect("a time-out");
    stream.write_all((head + &first).as_bytes()).expect("written");
    let mut buffer = [0_u8; 4096];
    let n = stream.read(&mut buffer).expect("an answer before the body has come");
    let early = String::from_utf8_lossy(&buffer[..n]).into_owned();
    expect_that!(status(&early), eq("503"));
    stream.write_all((hidden + &behind).as_bytes()).expect("written");
    let _ = stream.shutdown(Shutdown::Write);
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    let rest = String::from_utf8_lossy(&rest);
    expect_that!(rest.matches("HTTP/1.1 ").count(), le(1), "{rest}");
}

#[gtest]
fn required_headers_are_kept_even_if_the_connection_header_lists_them() {
    let server = Recorder::new(|head| (ResponseTiming::AfterRequest, own_response(head)));
    let proxy = with(&server);
    let names = "Connection: X-Request-Id, Host, X-Mine, X-Tenant, X-Deadline-Ms\r\nX-Mine: 1\r\n\r\n";
    expect_that!(
        status(&proxy.send_request(&get("/safe/1").replace("\r\n\r\n", &format!("\r\n{names}")))),
        eq("200")
    );
    let received = server.connections().concat();
    for (name, value) in [("host", "a.example"), ("x-request-id", "r1"), ("x-tenant", "t1")] {
        expect_that!(header(&received, name), some(eq(value)));
    }
    expect_that!(header(&received, "x-deadline-ms"), some(anything()));
    expect_that!(header(&received, "x-mine"), none());
}

#[gtest]
fn targets_are_forwarded_unchanged_or_rejected() {
    let server = Recorder::new(|head| (ResponseTiming::AfterRequest, own_response(head)));
    let proxy = with(&server);
    let same = [
        "/safe/a?x",
        "/safe/a?",
        "/safe//a",
        "/safe/../once/1",
        "/safe/./a",
        "/safe/%2e%2E/%2f?%00=%zz&a=b?c",
        "/safe/a;b=c,d",
        "/safe/a?x=/y//z",
        "/safe/~!$&'()*+,;=:@",
        "/safe/a|b{c}\"<>`?\"{}",
    ];
    for target in same {
        let received = proxy.send_request(&get(target));
        let seen = server.connections().concat();
        let line = format!("GET {target} HTTP/1.1\r\n");
        // The parser may reject a target, but never changes it.
        let passed = status(&received) == "200" && seen.contains(&line);
        expect_that!(passed || status(&received) == "400", eq(true), "{target} {received}");
    }
    let before = server.requests();
    for target in
        ["/safe/a?x#y", "/safe/a#", "/safe/#/../once/", "http://a.example/safe/1#x", "*", "a.example:80", ""]
    {
        expect_that!(status(&proxy.send_request(&get(target))), any!(eq("400"), eq("none")), "{target}");
    }
    expect_that!(
        status(&proxy.send_request(&get("a.example:80").replace("GET", "CONNECT"))),
        any!(eq("400"), eq("405"))
    );
    expect_that!(server.requests(), eq(&before));
    // The host of a target in absolute form replaces the `Host` header, also in the forwarded request.
    let absolute = get("http://a.example/safe/abs?q").replace("Host: a.example", "Host: b.example");
    expect_that!(status(&proxy.send_request(&absolute)), eq("200"));
    let seen = server.connections().concat();
    expect_that!(seen, contains_substring("GET /safe/abs?q HTTP/1.1\r\n"));
    expect_that!(seen.to_lowercase(), not(contains_substring("b.example")));
}

#[gtest]
fn methods_versions_and_lengths_are_forwarded_unchanged() {
    let server = Recorder::new(|head| (ResponseTiming::AfterRequest, own_response(head)));
    let proxy = with(&server);
    for method in ["POST", "PUT", "PATCH", "DELETE", "OPTIONS", "MADE-UP", "get"] {
        let empty = format!("{method} /safe/{method} HTTP/1.1\r\n{HEAD}Content-Length: 0\r\n\r\n");
        expect_that!(status(&proxy.send_request(&empty)), eq("200"), "{method}");
        let seen = server.connections().concat();
        let head = seen.rsplit_once(&format!("{method} /safe/")).map_or("", |(_, head)| head);
        expect_that!(header(&format!("\n{head}"), "content-length"), some(eq("0")), "{method}");
    }
    // An empty chunked body, an HTTP/1.0 request, `Expect`, and trailers.
    let none = format!("POST /safe/chunks HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    expect_that!(status(&proxy.send_request(&none)), eq("200"));
    let old = get("/safe/old").replace("HTTP/1.1", "HTTP/1.0");
    expect_that!(status(&proxy.send_request(&old)), eq("200"));
    let expects =
        post("/safe/expects", "r1", 5).replace("Content-Length", "Expect: 100-continue\r\nContent-Length");
    expect_that!(proxy.send_request(&expects).contains("200 OK"), eq(true));
    let trailers = chunked("POST", 5).replace("0\r\n\r\n", "0\r\nX-Request-Id: other\r\n\r\n");
    expect_that!(status(&proxy.send_request(&trailers)), eq("200"));
    let seen = server.connections().concat();
    expect_that!(seen, contains_substring("GET /safe/old HTTP/1.1\r\n"));
    expect_that!(
        seen.to_lowercase(),
        not(any!(contains_substring("expect:"), contains_substring("id: other")))
    );
}

#[gtest]
fn a_key_with_invalid_utf8_and_an_empty_id_are_rejected() {
    let server = Recorder::new(|head| (ResponseTiming::AfterRequest, own_response(head)));
    let proxy = with(&server);
    let mut non_utf8_request = get("/safe/1").into_bytes();
    let at = non_utf8_request.windows(5).position(|five| five == b": key").expect("a key") + 5;
    non_utf8_request.insert(at, 0xff);
    expect_that!(status(&send_pieces(&proxy, &[&non_utf8_request])), eq("401"));
    for empty in ["X-Request-Id:\r\n", "X-Request-Id: \r\n"] {
        expect_that!(
            status(&proxy.send_request(&get("/safe/1").replace("X-Request-Id: r1\r\n", empty))),
            eq("400")
        );
    }
    expect_that!(server.connections(), is_empty());
}

#[gtest]
fn a_request_cut_off_at_any_byte_is_not_forwarded() {
    let server = Recorder::new(|head| (ResponseTiming::AfterRequest, own_response(head)));
    let proxy = with(&server);
    let chunks =
        format!("POST /once/1 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    for request in [get("/safe/1"), post("/once/1", "r1", 4), chunks] {
        for cut in 1..request.len() {
            let mut stream = TcpStream::connect(proxy.public).expect("a connection");
            stream.write_all(&request.as_bytes()[..cut]).expect("written");
            let is_half_close = cut % 2 == 0;
            if is_half_close {
                let _ = stream.shutdown(Shutdown::Write);
                let mut rest = Vec::new();
                let _ = stream.read_to_end(&mut rest);
            }
        }
    }
    expect_that!(status(&proxy.send_request(&get("/safe/last"))), eq("200"));
    let seen = server.connections();
    expect_that!(seen.len(), eq(1));
    expect_that!(seen[0], starts_with("GET /safe/last "));
    expect_that!(server.requests(), eq(&vec![1]));
}

#[gtest]
fn an_aborted_long_body_never_looks_complete_and_closes_its_connection() {
    let server = Recorder::new(|head| (ResponseTiming::AfterRequest, own_response(head)));
    let proxy = with(&server);
    let sized = post("/once/1", "r1", 200_000);
    let chunks = chunked("POST", 200_000);
    for (n, request) in [sized, chunks].iter().enumerate() {
        let mut stream = TcpStream::connect(proxy.public).expect("a connection");
        stream.write_all(&request.as_bytes()[..150_000]).expect("written");
        server.wait_until(|all| all.len() > n && all[n].len() > 100_000);
        drop(stream);
    }
    expect_that!(status(&proxy.send_request(&get("/safe/last"))), eq("200"));
    let seen = server.connections();
    expect_that!(seen.len(), eq(3));
    expect_that!(seen[1].contains("\r\n0\r\n"), eq(false));
    expect_that!(server.requests(), eq(&vec![1, 1, 1]));
}

#[gtest]
fn a_repeatable_request_is_aborted_at_once_when_its_client_disconnects() {
    let server = Recorder::new(|_| (ResponseTiming::Never, String::new()));
    let proxy = with(&server);
    let with_long_deadline = |request: String| request.replace("X-Deadline-Ms: 1500", "X-Deadline-Ms: 4000");
    for (n, request) in [get("/safe/1"), get("/first/1")].into_iter().enumerate() {
        let mut stream = TcpStream::connect(proxy.public).expect("a connection");
        stream.write_all(with_long_deadline(request).as_bytes()).expect("written");
        server.wait_until(|all| all.len() > n && all[n].ends_with("\r\n\r\n"));
        let disconnected_at = Instant::now();
        drop(stream);
        server.wait_until(|_| server.closed() > n);
        expect_that!(disconnected_at.elapsed(), lt(Duration::from_millis(500)));
    }
    // A request that may not be repeated is not aborted.
    let mut stream = TcpStream::connect(proxy.public).expect("a connection");
    stream.write_all(with_long_deadline(post("/once/1", "r1", 4)).as_bytes()).expect("written");
    server.wait_until(|all| all.len() > 2 && all[2].ends_with("bbbb"));
    drop(stream);
    expect_that!(status(&proxy.send_request(&get("/none/1"))), eq("404"));
    expect_that!(server.closed(), eq(2));
}
