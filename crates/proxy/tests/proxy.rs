//! The proxy as a process, between raw clients, scripted servers and a registry that the test plays: each hard case of
//! what may come from either side.

mod stage;

use googletest::prelude::*;
use stage::{answer, Does, Stage};

const GET: &str = "GET /safe/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 1500\r\nX-Credential: key\r\n\r\n";
const POST: &str = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 1500\r\nX-Credential: key\r\nContent-Length: 4\r\n\r\nbody";

fn status(answer: &str) -> &str {
    answer.split(' ').nth(1).unwrap_or("none")
}

#[gtest]
fn a_request_goes_on_as_it_came_with_the_systems_own_word_of_who_and_where() {
    let stage = Stage::with(vec![Does::Answer(answer("r1", "hello"))]);
    let forged = GET.replace("\r\n\r\n", "\r\nX-Tenant: other\r\nX-Expect-Server: i-9\r\nX-Mine: 1\r\n\r\n");
    let got = stage.ask(&forged);
    expect_that!(got, starts_with("HTTP/1.1 200"));
    expect_that!(got, ends_with("hello"));
    expect_that!(got.to_lowercase(), contains_substring("x-server-seal: s"));
    let seen = stage.seen();
    let head = seen[0].to_lowercase();
    expect_that!(head, starts_with("get /safe/1 http/1.1"));
    for line in ["host: a.example", "x-tenant: t1", "x-expect-server: i-0", "x-request-id: r1", "x-mine: 1"] {
        expect_that!(head, contains_substring(line));
    }
    expect_that!(head.matches("x-tenant").count(), eq(1));
    expect_that!(head, not(contains_substring("x-credential")));
    expect_that!(head, not(contains_substring("key")));
}

#[gtest]
fn what_could_hide_another_request_is_refused_and_nothing_goes_on() {
    let stage = Stage::with(vec![Does::Answer(answer("r1", "hello"))]);
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
        let got = stage.ask(&case);
        expect_that!(status(&got), any!(eq("400"), eq("none")), "{case:?}");
    }
    expect_that!(stage.seen(), is_empty());
    expect_that!(stage.ask(GET), starts_with("HTTP/1.1 200"), "and it lives on");
}

#[gtest]
fn unknown_keys_and_routes_are_told_and_public_routes_need_none() {
    let stage = Stage::with(vec![Does::Answer(answer("r1", "hello"))]);
    expect_that!(status(&stage.ask(&GET.replace("X-Credential: key", "X-Credential: kex"))), eq("401"));
    expect_that!(status(&stage.ask(&GET.replace("X-Credential: key\r\n", ""))), eq("401"));
    expect_that!(status(&stage.ask(&GET.replace("/safe/1", "/none/1"))), eq("404"));
    expect_that!(status(&stage.ask(&GET.replace("a.example", "b.example"))), eq("404"));
    expect_that!(stage.seen(), is_empty());
    let public = GET.replace("/safe/1", "/open/1").replace("X-Credential: key", "X-Tenant: t1");
    expect_that!(status(&stage.ask(&public)), eq("200"));
    expect_that!(stage.seen()[0].to_lowercase(), not(contains_substring("x-tenant")));
}

#[gtest]
fn what_belongs_to_another_request_never_reaches_the_client() {
    let odd = [
        answer("r0", "another's"),
        answer("r1", "hello").replace("X-Server-Seal: s\r\n", ""),
        answer("r1", "hello").replace("X-Server-Seal", "Content-Encoding: gzip\r\nX-Server-Seal"),
        answer("r1", "hello").replace("Content-Length: 5", "Content-Length: 50"),
        answer("r1", "hello").replace("Content-Length: 5", "Content-Length: 5\r\nTransfer-Encoding: chunked"),
        answer("r1", "hello").replace("Content-Length: 5", "Transfer-Encoding: chunkedxyz"),
        answer("r1", "hello").replace("Content-Length: 5", "Transfer-Encoding: gzip, chunked"),
        "what is this\r\n\r\n".to_string(),
    ];
    for spoilt in odd {
        // What may be repeated is, at the other server; what may not is answered without a promise.
        let servers = vec![Does::Answer(spoilt.clone()), Does::Answer(answer("r1", "hello"))];
        let stage = Stage::with(servers);
        let got: Vec<String> = (0..4).map(|_| stage.ask(GET)).collect();
        for got in got {
            expect_that!(got, all!(starts_with("HTTP/1.1 200"), ends_with("hello")), "{spoilt:?}");
        }
        let stage = Stage::with(vec![Does::Answer(spoilt.clone())]);
        expect_that!(status(&stage.ask(POST)), any!(eq("502"), eq("504")), "{spoilt:?}");
    }
}

#[gtest]
fn a_surplus_answer_is_never_taken_for_the_next_ones() {
    let twice = answer("r1", "hello") + &answer("r1", "again");
    let stage = Stage::with(vec![Does::Answer(twice)]);
    for n in 0..6 {
        let got = stage.ask(POST);
        // The stand-in answers all with r1, so that only the count of answers tells them apart.
        expect_that!(got, not(ends_with("again")), "at {n}");
    }
}

#[gtest]
fn an_unsafe_request_goes_to_a_second_server_only_where_it_surely_has_not_run() {
    let refuses = "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_string();
    let another = "HTTP/1.1 421 Other\r\nX-Server-Id: i-7\r\nContent-Length: 0\r\n\r\n".to_string();
    for not_run in [Does::Answer(refuses.clone()), Does::Answer(another), Does::Refuse] {
        let stage = Stage::with(vec![not_run, Does::Answer(answer("r1", "hello"))]);
        for _ in 0..4 {
            expect_that!(stage.ask(POST), starts_with("HTTP/1.1 200"));
        }
    }
    for may_have_run in [Does::Reset, Does::Close] {
        let stage = Stage::with(vec![may_have_run]);
        let got = stage.ask(POST);
        expect_that!(status(&got), eq("502"));
        expect_that!(stage.seen().len(), eq(1));
    }
    // Refused by all: a promise, and a time to come back.
    let stage = Stage::with(vec![Does::Answer(refuses)]);
    let got = stage.ask(POST);
    expect_that!(status(&got), eq("503"));
    expect_that!(got.to_lowercase(), contains_substring("retry-after: 0."));
    // A server's own failure is the client's answer, as it is.
    let failed = "HTTP/1.1 500 Oh\r\nX-Request-Id: r1\r\nX-Server-Seal: s\r\nContent-Length: 3\r\n\r\nwhy";
    let stage = Stage::with(vec![Does::Answer(failed.into())]);
    expect_that!(stage.ask(POST), all!(starts_with("HTTP/1.1 500"), ends_with("why")));
}

#[gtest]
fn a_request_given_up_on_at_a_silent_server_has_reached_it_all_the_same() {
    let stage = Stage::with(vec![Does::Mute, Does::Mute]);
    // Its route lets it go to one server, and silence is no reason to send it to a second.
    let got = stage.ask(&GET.replace("/safe/", "/first/"));
    expect_that!(status(&got), eq("504"), "held to its end, and not broken off for silence");
    expect_that!(stage.seen().len(), eq(1));
    // The other's lets it go to three: the second hears of it once the first has been silent for long.
    expect_that!(status(&stage.ask(GET)), any!(eq("502"), eq("504")));
    expect_that!(stage.seen().len(), gt(2));
}

#[gtest]
fn long_bodies_pass_both_ways_in_little_memory() {
    let stage = Stage::with(vec![Does::Long(24 << 20)]);
    let head = POST.split("Content-Length").next().expect("a head");
    let (status, length) = stage.long(&format!("{head}Content-Length: {}\r\n\r\n", 24 << 20), 24 << 20);
    expect_that!(status.as_str(), starts_with("HTTP/1.1 200"));
    expect_that!(length, eq(24 << 20));
    expect_that!(stage.peak_mb(), lt(64));
    let too_long = format!("{head}Content-Length: {}\r\n\r\n", 65 << 20);
    expect_that!(status_of(&stage.ask(&too_long)), eq("413"));
}

fn status_of(answer: &str) -> String {
    status(answer).to_string()
}

#[gtest]
fn noise_on_the_internal_port_harms_nobody() {
    let stage = Stage::with(vec![Does::Answer(answer("r1", "hello"))]);
    for noise in [
        &b"GET / HTTP/1.1\r\n\r\n"[..],
        b"prp3\xff\xff\xff\xff",
        b"prp3\x05\x00\x00\x00\xfe\xfe\xfe\xfe\xfe",
        b"",
    ] {
        stage.noise(noise);
    }
    expect_that!(stage.ask(GET), starts_with("HTTP/1.1 200"));
}

#[gtest]
fn at_a_planned_end_it_says_so_first_serves_on_and_ends_with_zero() {
    let mut stage = Stage::with(vec![Does::Answer(answer("r1", "hello"))]);
    expect_that!(stage.ready(), eq(true));
    stage.terminate();
    stage.until(|stage| !stage.ready());
    let got = stage.ask(GET);
    expect_that!(got, starts_with("HTTP/1.1 200"));
    expect_that!(got.to_lowercase(), contains_substring("connection: close"));
    expect_that!(stage.exit_code(), some(eq(0)));
}
