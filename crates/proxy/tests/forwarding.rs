//! What servers are handed: each request as its client sent it, whole, alone on its connection, or not at all.

mod recorder;
mod stage;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use recorder::{header, Recorder, When};
use stage::{answer, Does, Seen, Stage};

const HEAD: &str = "Host: a.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 1500\r\nX-Credential: key\r\n";

fn get(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\n{HEAD}\r\n")
}

fn post(target: &str, id: &str, bytes: usize) -> String {
    let head = HEAD.replace("r1", id);
    format!("POST {target} HTTP/1.1\r\n{head}Content-Length: {bytes}\r\n\r\n{}", "b".repeat(bytes))
}

fn own(head: &str) -> String {
    answer(header(head, "x-request-id").unwrap_or_default(), "hello")
}

fn refusal(head: &str) -> String {
    let id = header(head, "x-request-id").unwrap_or_default();
    format!("HTTP/1.1 503 Full\r\nX-Request-Id: {id}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
}

fn chunked(method: &str, bytes: usize) -> String {
    let body = format!("{:x}\r\n{}\r\n0\r\n\r\n", bytes, "c".repeat(bytes));
    format!("{method} /safe/1 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n{body}")
}

fn with(server: &Recorder) -> Stage {
    Stage::at(&[server.address], Seen::default())
}

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

/// Sends pieces on one connection, and gives all that comes back until it is closed or silent for a while.
fn raw(stage: &Stage, pieces: &[&[u8]]) -> String {
    let mut stream = TcpStream::connect(stage.public).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_millis(700))).expect("a time-out");
    stream.set_nodelay(true).expect("no delay");
    for piece in pieces {
        // One that has been closed meanwhile takes no more.
        if stream.write_all(piece).is_err() {
            break;
        }
    }
    let mut got = Vec::new();
    let mut buffer = [0_u8; 4096];
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        got.extend_from_slice(&buffer[..n]);
    }
    String::from_utf8_lossy(&got).into_owned()
}

#[gtest]
fn a_connection_on_which_a_body_was_turned_away_on_its_head_carries_no_other_request() {
    let server = Recorder::new(|head| match head.starts_with("POST") {
        true => (When::RequestHead, refusal(head)),
        false => (When::Whole, own(head)),
    });
    let stage = with(&server);
    // Sixty thousand bytes take 0.24 s at 2 Mbit/s: a server of this busy machine may be slower than that by chance.
    let quick = (0..20).find_map(|_| {
        let (before, begun) = (server.connections().len(), Instant::now());
        expect_that!(status(&stage.ask(&post("/once/1", "r1", 60_000))), eq("503"));
        (begun.elapsed() < Duration::from_millis(200)).then_some(before)
    });
    let before = quick.expect("a quick refusal");
    for _ in 0..4 {
        expect_that!(status(&stage.ask(&get("/safe/1"))), eq("200"));
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
fn a_connection_is_kept_after_usual_answers() {
    let server = Recorder::new(|head| match header(head, "x-request-id") {
        Some("no") => (When::Whole, refusal(head)),
        // As long as the deployments' shortest work; 18 kB take 0.075 s at 2 Mbit/s.
        _ => (When::Worked(Duration::from_millis(84)), own(head)),
    });
    let stage = with(&server);
    for n in 0..4 {
        expect_that!(status(&stage.ask(&post("/once/1", "r1", 6_000 * n))), eq("200"));
        expect_that!(status(&stage.ask(&get("/safe/1"))), eq("200"));
    }
    // One that fits a segment is there once it is answered, whatever the answer.
    expect_that!(status(&stage.ask(&post("/once/1", "no", 300))), eq("503"));
    expect_that!(status(&stage.ask(&get("/safe/1"))), eq("200"));
    expect_that!(server.connections().len(), eq(1));
}

#[gtest]
fn a_success_that_comes_before_its_body_can_have_come_ends_its_connection() {
    let server = Recorder::new(|head| match head.starts_with("POST") {
        true => (When::RequestHead, own(head)),
        false => (When::Whole, own(head)),
    });
    let stage = with(&server);
    let quick = (0..20).find_map(|_| {
        let (before, begun) = (server.connections().len(), Instant::now());
        expect_that!(status(&stage.ask(&post("/once/1", "r1", 60_000))), eq("200"));
        (begun.elapsed() < Duration::from_millis(200)).then_some(before)
    });
    let before = quick.expect("a quick answer").saturating_sub(1);
    expect_that!(status(&stage.ask(&get("/safe/1"))), eq("200"));
    for bytes in server.connections().split_off(before).iter().filter(|bytes| bytes.starts_with("POST ")) {
        let requests = bytes.matches(" HTTP/1.1\r\n").count();
        expect_that!(requests, eq(1), "requests on the connection of a body that was answered early");
    }
}

#[gtest]
fn a_body_of_unknown_length_comes_whole_whatever_its_method_and_the_servers_version() {
    let server = Recorder::new(|head| {
        let answer = own(head).replace("HTTP/1.1 200 OK", "HTTP/1.0 200 OK\r\nConnection: keep-alive");
        (When::Whole, answer)
    });
    let stage = with(&server);
    for method in ["POST", "POST", "GET", "PUT", "DELETE"] {
        expect_that!(status(&stage.ask(&chunked(method, 100_000))), eq("200"), "{method}");
    }
    let connections = server.connections();
    expect_that!(connections.len(), eq(5));
    for bytes in connections {
        expect_that!(bytes.matches('c').count(), ge(100_000));
    }
}

#[gtest]
fn the_rest_of_a_body_whose_request_was_turned_away_is_never_a_request() {
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
        let server = Recorder::new(|head| (When::Whole, own(head)));
        let stage = with(&server);
        let got = raw(&stage, &[sized.as_bytes(), &long[..9_000], &long[9_000..], hidden, behind]);
        expect_that!(status(&got), eq(expected), "with a length");
        expect_that!(got.to_lowercase(), contains_substring("connection: close"), "{expected}");
        if !too_long {
            let chunk = chunk.as_bytes();
            let got = raw(&stage, &[chunks.as_bytes(), chunk, long, hidden, b"\r\n0\r\n\r\n", behind]);
            expect_that!(status(&got), eq(expected), "in chunks");
            expect_that!(got.to_lowercase(), contains_substring("connection: close"), "{expected}");
        }
        expect_that!(server.connections(), is_empty(), "{expected}");
    }
}

#[gtest]
fn the_rest_of_a_long_body_is_read_before_the_next_request() {
    let stage = Stage::with(vec![Does::Refuse]);
    let hidden = get("/safe/hidden");
    let behind = get("/safe/behind");
    let first = "x".repeat(70_000);
    let head =
        format!("POST /once/1 HTTP/1.1\r\n{HEAD}Content-Length: {}\r\n\r\n", first.len() + hidden.len());
    let mut stream = TcpStream::connect(stage.public).expect("a connection");
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
fn what_is_named_in_a_connection_header_is_kept_where_the_system_needs_it() {
    let server = Recorder::new(|head| (When::Whole, own(head)));
    let stage = with(&server);
    let names = "Connection: X-Request-Id, Host, X-Mine, X-Tenant, X-Deadline-Ms\r\nX-Mine: 1\r\n\r\n";
    expect_that!(status(&stage.ask(&get("/safe/1").replace("\r\n\r\n", &format!("\r\n{names}")))), eq("200"));
    let got = server.connections().concat();
    for (name, value) in [("host", "a.example"), ("x-request-id", "r1"), ("x-tenant", "t1")] {
        expect_that!(header(&got, name), some(eq(value)));
    }
    expect_that!(header(&got, "x-deadline-ms"), some(anything()));
    expect_that!(header(&got, "x-mine"), none());
}

#[gtest]
fn targets_go_on_as_they_were_sent_or_not_at_all() {
    let server = Recorder::new(|head| (When::Whole, own(head)));
    let stage = with(&server);
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
        let got = stage.ask(&get(target));
        let seen = server.connections().concat();
        let line = format!("GET {target} HTTP/1.1\r\n");
        // What the parser does not know it turns away; nothing is ever changed.
        let passed = status(&got) == "200" && seen.contains(&line);
        expect_that!(passed || status(&got) == "400", eq(true), "{target} {got}");
    }
    let before = server.requests();
    for target in
        ["/safe/a?x#y", "/safe/a#", "/safe/#/../once/", "http://a.example/safe/1#x", "*", "a.example:80", ""]
    {
        expect_that!(status(&stage.ask(&get(target))), any!(eq("400"), eq("none")), "{target}");
    }
    expect_that!(
        status(&stage.ask(&get("a.example:80").replace("GET", "CONNECT"))),
        any!(eq("400"), eq("405"))
    );
    expect_that!(server.requests(), eq(&before));
    // What a request in absolute form names goes before its header, also at the server.
    let absolute = get("http://a.example/safe/abs?q").replace("Host: a.example", "Host: b.example");
    expect_that!(status(&stage.ask(&absolute)), eq("200"));
    let seen = server.connections().concat();
    expect_that!(seen, contains_substring("GET /safe/abs?q HTTP/1.1\r\n"));
    expect_that!(seen.to_lowercase(), not(contains_substring("b.example")));
}

#[gtest]
fn methods_versions_and_lengths_go_on_as_they_came() {
    let server = Recorder::new(|head| (When::Whole, own(head)));
    let stage = with(&server);
    for method in ["POST", "PUT", "PATCH", "DELETE", "OPTIONS", "MADE-UP", "get"] {
        let empty = format!("{method} /safe/{method} HTTP/1.1\r\n{HEAD}Content-Length: 0\r\n\r\n");
        expect_that!(status(&stage.ask(&empty)), eq("200"), "{method}");
        let seen = server.connections().concat();
        let head = seen.rsplit_once(&format!("{method} /safe/")).map_or("", |(_, head)| head);
        expect_that!(header(&format!("\n{head}"), "content-length"), some(eq("0")), "{method}");
    }
    // A body in chunks with nothing in it, and none at all.
    let none = format!("POST /safe/chunks HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    expect_that!(status(&stage.ask(&none)), eq("200"));
    let old = get("/safe/old").replace("HTTP/1.1", "HTTP/1.0");
    expect_that!(status(&stage.ask(&old)), eq("200"));
    let expects =
        post("/safe/expects", "r1", 5).replace("Content-Length", "Expect: 100-continue\r\nContent-Length");
    expect_that!(stage.ask(&expects).contains("200 OK"), eq(true));
    let trailers = chunked("POST", 5).replace("0\r\n\r\n", "0\r\nX-Request-Id: other\r\n\r\n");
    expect_that!(status(&stage.ask(&trailers)), eq("200"));
    let seen = server.connections().concat();
    expect_that!(seen, contains_substring("GET /safe/old HTTP/1.1\r\n"));
    expect_that!(
        seen.to_lowercase(),
        not(any!(contains_substring("expect:"), contains_substring("id: other")))
    );
}

#[gtest]
fn bytes_that_are_no_text_never_make_two_keys_or_two_ids_one() {
    let server = Recorder::new(|head| (When::Whole, own(head)));
    let stage = with(&server);
    let mut odd = get("/safe/1").into_bytes();
    let at = odd.windows(5).position(|five| five == b": key").expect("a key") + 5;
    odd.insert(at, 0xff);
    expect_that!(status(&raw(&stage, &[&odd])), eq("401"));
    for empty in ["X-Request-Id:\r\n", "X-Request-Id: \r\n"] {
        expect_that!(status(&stage.ask(&get("/safe/1").replace("X-Request-Id: r1\r\n", empty))), eq("400"));
    }
    expect_that!(server.connections(), is_empty());
}

#[gtest]
fn a_client_that_closes_at_any_byte_has_sent_nothing() {
    let server = Recorder::new(|head| (When::Whole, own(head)));
    let stage = with(&server);
    let chunks =
        format!("POST /once/1 HTTP/1.1\r\n{HEAD}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n");
    for request in [get("/safe/1"), post("/once/1", "r1", 4), chunks] {
        for cut in 1..request.len() {
            let mut stream = TcpStream::connect(stage.public).expect("a connection");
            stream.write_all(&request.as_bytes()[..cut]).expect("written");
            let half = cut % 2 == 0;
            if half {
                let _ = stream.shutdown(Shutdown::Write);
                let mut rest = Vec::new();
                let _ = stream.read_to_end(&mut rest);
            }
        }
    }
    expect_that!(status(&stage.ask(&get("/safe/last"))), eq("200"));
    let seen = server.connections();
    expect_that!(seen.len(), eq(1));
    expect_that!(seen[0], starts_with("GET /safe/last "));
    expect_that!(server.requests(), eq(&vec![1]));
}

#[gtest]
fn a_long_body_that_its_client_breaks_off_never_looks_whole_and_ends_its_connection() {
    let server = Recorder::new(|head| (When::Whole, own(head)));
    let stage = with(&server);
    let sized = post("/once/1", "r1", 200_000);
    let chunks = chunked("POST", 200_000);
    for (n, request) in [sized, chunks].iter().enumerate() {
        let mut stream = TcpStream::connect(stage.public).expect("a connection");
        stream.write_all(&request.as_bytes()[..150_000]).expect("written");
        server.until(|all| all.len() > n && all[n].len() > 100_000);
        drop(stream);
    }
    expect_that!(status(&stage.ask(&get("/safe/last"))), eq("200"));
    let seen = server.connections();
    expect_that!(seen.len(), eq(3));
    expect_that!(seen[1].contains("\r\n0\r\n"), eq(false));
    expect_that!(server.requests(), eq(&vec![1, 1, 1]));
}

#[gtest]
fn a_server_hears_at_once_that_the_client_of_a_repeatable_request_has_left() {
    let server = Recorder::new(|_| (When::Never, String::new()));
    let stage = with(&server);
    let patient = |request: String| request.replace("X-Deadline-Ms: 1500", "X-Deadline-Ms: 4000");
    for (n, request) in [get("/safe/1"), get("/first/1")].into_iter().enumerate() {
        let mut stream = TcpStream::connect(stage.public).expect("a connection");
        stream.write_all(patient(request).as_bytes()).expect("written");
        server.until(|all| all.len() > n && all[n].ends_with("\r\n\r\n"));
        let left = Instant::now();
        drop(stream);
        server.until(|_| server.closed() > n);
        expect_that!(left.elapsed(), lt(Duration::from_millis(500)));
    }
    // What may not be repeated is left at work.
    let mut stream = TcpStream::connect(stage.public).expect("a connection");
    stream.write_all(patient(post("/once/1", "r1", 4)).as_bytes()).expect("written");
    server.until(|all| all.len() > 2 && all[2].ends_with("bbbb"));
    drop(stream);
    expect_that!(status(&stage.ask(&get("/none/1"))), eq("404"));
    expect_that!(server.closed(), eq(2));
}
