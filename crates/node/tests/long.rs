//! Long bodies and slow peers: streaming, backpressure, and aborted transfers.

mod fakes;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use fakes::*;
use serde_json::Value;

const LONG: usize = 1_000_000;

/// An app server whose bytes are read and written by the test itself.
struct RawAppServer(TcpListener);

impl RawAppServer {
    fn new() -> (RawAppServer, Edge) {
        RawAppServer::with(|_| ())
    }

    /// With an edge node whose configuration is changed by `change`.
    fn with(change: impl Fn(&mut Value)) -> (RawAppServer, Edge) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let mut config = config(&[entry("s-1", address, "a", "up")]);
        change(&mut config);
        (RawAppServer(listener), Edge::new(&config))
    }

    /// Accepts the next connection and reads the head of its first request.
    fn next(&self) -> (BufReader<TcpStream>, String) {
        // Non-blocking, so that a node that never connects fails the test instead of blocking it.
        self.0.set_nonblocking(true).expect("a listener");
        let until = std::time::Instant::now() + TIMEOUT;
        let stream = loop {
            match self.0.accept() {
                Ok((stream, _)) => break stream,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock && std::time::Instant::now() < until => {
                    std::thread::sleep(Duration::from_millis(1));
                }
                Err(e) => panic!("no connection: {e}"),
            }
        };
        stream.set_nonblocking(false).expect("a connection");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        let mut reader = BufReader::new(stream);
        let head = head_of(&mut reader);
        (reader, head)
    }
}

fn head_of(reader: &mut impl BufRead) -> String {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(reader.read_line(&mut head).expect("a head") > 0, "the connection has ended");
    }
    head.to_lowercase()
}

/// Bytes that depend on their position.
fn body(length: usize) -> Vec<u8> {
    (0..length).map(|at| (at % 251) as u8).collect()
}

fn take(reader: &mut impl Read, length: usize) -> Vec<u8> {
    let mut taken = vec![0; length];
    reader.read_exact(&mut taken).expect("that much");
    taken
}

fn connect(edge: &Edge) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(edge.address).expect("the node accepts");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    BufReader::new(stream)
}

fn write(to: &mut BufReader<TcpStream>, bytes: &[u8]) {
    to.get_mut().write_all(bytes).expect("the peer listens");
}

fn long_ask(id: &str, framing: &str) -> Vec<u8> {
    ask("post", id).text().replace("Content-Length: 5", framing).replace("slip!", "").into_bytes()
}

const DONE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

#[test]
fn a_long_request_is_streamed_before_it_is_complete() {
    let (app, edge) = RawAppServer::new();
    let mut client = connect(&edge);
    let sent = body(LONG);
    write(&mut client, &long_ask("p-1", &format!("Content-Length: {LONG}")));
    write(&mut client, &sent[..100_000]);
    let (mut at, head) = app.next();
    assert!(head.contains(&format!("content-length: {LONG}")), "{head}");
    assert_eq!(take(&mut at, 100_000), sent[..100_000], "before the rest was sent");
    write(&mut client, &sent[100_000..]);
    assert_eq!(take(&mut at, LONG - 100_000), sent[100_000..]);
    write(&mut at, DONE);
    assert!(head_of(&mut client).starts_with("http/1.1 200"));
    assert_eq!(take(&mut client, 4), b"done");
    // Both connections are kept.
    write(&mut client, ask("post", "p-2").text().as_bytes());
    assert!(head_of(&mut at).contains("x-request-id: p-2"));
    assert_eq!(take(&mut at, 5), b"slip!");
    write(&mut at, DONE);
    assert!(head_of(&mut client).starts_with("http/1.1 200"));
}

#[test]
fn a_chunked_request_is_served_and_nothing_behind_it_is_read() {
    let (app, edge) = RawAppServer::new();
    for (number, length) in [5, LONG].into_iter().enumerate() {
        let mut client = connect(&edge);
        let sent = body(length);
        // Preceded by a request with a content length on the same connection, whose head must not be taken for this one's.
        write(&mut client, ask("post", &format!("p-{number}")).text().as_bytes());
        let (mut at, _) = app.next();
        take(&mut at, 5);
        write(&mut at, b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone");
        drop(at);
        assert!(head_of(&mut client).starts_with("http/1.1 200"));
        take(&mut client, 4);
        write(&mut client, &long_ask(&format!("c-{number}"), "Transfer-Encoding: chunked"));
        let size = length.div_ceil(3);
        for chunk in sent.chunks(size) {
            write(&mut client, format!("{:x};ext=1\r\n", chunk.len()).as_bytes());
            write(&mut client, chunk);
            write(&mut client, b"\r\n");
        }
        write(&mut client, b"0\r\nTrailer: dropped\r\n\r\n");
        write(&mut client, ask("post", "behind").text().as_bytes());
        let (mut at, head) = app.next();
        let received = match head.contains("transfer-encoding: chunked") {
            false => take(&mut at, length),
            true => {
                let mut received = Vec::new();
                loop {
                    let mut line = String::new();
                    at.read_line(&mut line).expect("a size");
                    let size = usize::from_str_radix(line.trim(), 16).expect("a size");
                    received.extend(take(&mut at, size));
                    take(&mut at, 2);
                    if size == 0 {
                        break received;
                    }
                }
            }
        };
        assert!(received == sent, "{length}: what came differs");
        write(&mut at, DONE);
        let head = head_of(&mut client);
        assert!(head.starts_with("http/1.1 200") && head.contains("connection: close"), "{head}");
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest);
        assert_eq!(rest, b"done");
        drop(at);
    }
    app.0.set_nonblocking(true).expect("a listener");
    assert!(app.0.accept().is_err(), "what lay behind has gone on");
}

#[test]
fn a_long_answer_is_streamed_before_it_is_complete() {
    let (app, edge) = RawAppServer::new();
    let mut client = connect(&edge);
    let sent = body(LONG);
    for (number, framing) in
        [format!("Content-Length: {LONG}"), "Transfer-Encoding: chunked".into()].into_iter().enumerate()
    {
        write(&mut client, ask("lookup", &format!("l-{number}")).text().as_bytes());
        let (mut at, _) = app.next();
        let chunked = number == 1;
        write(&mut at, format!("HTTP/1.1 200 OK\r\nConnection: close\r\n{framing}\r\n\r\n").as_bytes());
        let piece = |bytes: &[u8]| match chunked {
            true => [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat(),
            false => bytes.to_vec(),
        };
        write(&mut at, &piece(&sent[..100_000]));
        let head = head_of(&mut client);
        assert!(head.starts_with("http/1.1 200") && head.contains(&framing.to_lowercase()), "{head}");
        let mut received = read_some(&mut client, 50_000, chunked);
        write(&mut at, &piece(&sent[100_000..]));
        if chunked {
            write(&mut at, b"0\r\n\r\n");
        }
        received.extend(read_rest(&mut client, LONG - received.len(), chunked));
        assert!(received == sent, "what came differs");
    }
}

/// Reads at least this many bytes of a body.
fn read_some(client: &mut BufReader<TcpStream>, least: usize, chunked: bool) -> Vec<u8> {
    if !chunked {
        return take(client, least);
    }
    let mut received = Vec::new();
    while received.len() < least {
        received.extend(chunk(client).expect("no end yet"));
    }
    received
}

fn read_rest(client: &mut BufReader<TcpStream>, left: usize, chunked: bool) -> Vec<u8> {
    if !chunked {
        return take(client, left);
    }
    std::iter::from_fn(|| chunk(client)).flatten().collect()
}

fn chunk(client: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut line = String::new();
    client.read_line(&mut line).expect("a size");
    let size = usize::from_str_radix(line.trim(), 16).expect("a size");
    let data = take(client, size);
    take(client, 2);
    (size > 0).then_some(data)
}

#[test]
fn a_truncated_long_answer_is_recognisably_incomplete() {
    let (app, edge) = RawAppServer::new();
    for framing in [format!("Content-Length: {LONG}"), "Transfer-Encoding: chunked".into()] {
        let mut client = connect(&edge);
        write(&mut client, ask("lookup", "l-1").text().as_bytes());
        let (mut at, _) = app.next();
        write(&mut at, format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n186a0\r\n").as_bytes());
        write(&mut at, &body(100_000));
        assert!(head_of(&mut client).starts_with("http/1.1 200"));
        drop(at);
        let mut rest = Vec::new();
        let _ = client.read_to_end(&mut rest);
        assert!(rest.len() < LONG && !rest.ends_with(b"0\r\n\r\n"), "{framing}");
    }
}

#[test]
fn an_aborted_long_request_ejects_no_server() {
    let (app, edge) = RawAppServer::new();
    for number in 0..6 {
        let mut client = connect(&edge);
        write(&mut client, &long_ask(&format!("p-{number}"), &format!("Content-Length: {LONG}")));
        write(&mut client, &body(100_000));
        let (mut at, _) = app.next();
        take(&mut at, 100_000);
        drop(client);
        let mut rest = Vec::new();
        let _ = at.read_to_end(&mut rest);
        assert!(rest.is_empty(), "the attempt ends with its client");
    }
    let mut client = connect(&edge);
    write(&mut client, ask("post", "p-whole").text().as_bytes());
    let (mut at, head) = app.next();
    assert!(head.contains("x-request-id: p-whole"), "{head}");
    take(&mut at, 5);
    write(&mut at, DONE);
    assert!(head_of(&mut client).starts_with("http/1.1 200"));
}

#[test]
fn a_request_s_time_counts_from_its_last_byte() {
    let (app, edge) = RawAppServer::new();
    let mut client = connect(&edge);
    let text = RequestSpec { deadline_ms: 300, ..ask("post", "p-1") }.text();
    let (head, body) = text.split_at(text.len() - 3);
    write(&mut client, head.as_bytes());
    // Longer than the client would wait for its answer.
    std::thread::sleep(Duration::from_millis(400));
    write(&mut client, body.as_bytes());
    let (mut at, _) = app.next();
    take(&mut at, 5);
    write(&mut at, DONE);
    assert!(head_of(&mut client).starts_with("http/1.1 200"));
}

#[test]
fn a_long_request_that_never_reached_a_server_goes_to_another() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let there = listener.local_addr().expect("an address");
    let entries = [entry("s-1", refusing_address(), "a", "up"), entry("s-2", there, "a", "up")];
    let (app, edge) = (RawAppServer(listener), Edge::new(&config(&entries)));
    for number in 0..3 {
        let mut client = connect(&edge);
        let sent = body(LONG);
        write(&mut client, &long_ask(&format!("p-{number}"), &format!("Content-Length: {LONG}")));
        write(&mut client, &sent[..70_000]);
        let (mut at, _) = app.next();
        write(&mut client, &sent[70_000..]);
        assert!(take(&mut at, LONG) == sent);
        write(&mut at, b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\ndone");
        assert!(head_of(&mut client).starts_with("http/1.1 200"));
    }
}

#[test]
fn a_long_request_counts_for_concurrency_from_its_last_byte_on() {
    let (app, edge) = RawAppServer::with(|config| {
        let plan = &mut config["settings"]["tariffs"][0];
        (plan["concurrency"], plan["excess_cost"]) = (1.into(), 1.0.into());
    });
    let mut client = connect(&edge);
    let sent = body(LONG);
    write(&mut client, &long_ask("p-1", &format!("Content-Length: {LONG}")));
    write(&mut client, &sent[..100_000]);
    let (mut at, _) = app.next();
    take(&mut at, 100_000);
    // The request is not complete yet, so the plan's only slot is free.
    let mut other = connect(&edge);
    write(&mut other, ask("lookup", "l-1").text().as_bytes());
    let (mut there, _) = app.next();
    write(&mut there, DONE);
    assert!(head_of(&mut other).starts_with("http/1.1 200"));
    assert_eq!(take(&mut other, 4), b"done");
    write(&mut client, &sent[100_000..]);
    take(&mut at, LONG - 100_000);
    write(&mut other, ask("lookup", "l-2").text().as_bytes());
    assert!(head_of(&mut other).starts_with("http/1.1 429"));
    write(&mut at, DONE);
    assert!(head_of(&mut client).starts_with("http/1.1 200"));
}

#[test]
fn a_long_body_beyond_the_memory_gets_503_with_retry_after() {
    // A quarter of 1 MiB is for bodies: eight of 32 KiB.
    let (app, edge) = RawAppServer::with(|config| config["limits"]["memory_mb"] = 1.into());
    let begin = |name: &str| {
        let mut client = connect(&edge);
        write(&mut client, &long_ask(name, &format!("Content-Length: {LONG}")));
        write(&mut client, &body(LONG)[..1_000]);
        client
    };
    let mut stalled: Vec<_> = (0..8).map(|n| (begin(&format!("p-{n}")), app.next().0)).collect();
    let mut late = begin("p-8");
    let head = head_of(&mut late);
    assert!(head.starts_with("http/1.1 503") && head.contains("retry-after: 1\r\n"), "{head}");
    // Short bodies have the memory they need.
    let mut short = connect(&edge);
    write(&mut short, ask("post", "short").text().as_bytes());
    write(&mut app.next().0, DONE);
    assert!(head_of(&mut short).starts_with("http/1.1 200"));
    // One completes and frees its memory.
    let (mut client, mut at) = stalled.remove(0);
    write(&mut client, &body(LONG)[1_000..]);
    take(&mut at, LONG);
    write(&mut at, DONE);
    assert!(head_of(&mut client).starts_with("http/1.1 200"));
    assert_eq!(take(&mut client, 4), b"done");
    let _next = begin("p-9");
    // On the connection that the first request used.
    assert!(head_of(&mut at).contains("x-request-id: p-9"));
}

#[test]
fn less_is_buffered_where_memory_is_scarce() {
    let (app, edge) = RawAppServer::with(|config| config["limits"]["memory_mb"] = 1.into());
    let mut client = connect(&edge);
    write(&mut client, &long_ask("p-1", "Transfer-Encoding: chunked"));
    let sent = body(40_000);
    write(&mut client, format!("{:x}\r\n", sent.len()).as_bytes());
    write(&mut client, &sent);
    // Shorter than what is buffered where memory is ample, and incomplete: it is forwarded all the same.
    let (mut at, head) = app.next();
    assert!(head.contains("x-request-id: p-1"));
    write(&mut client, b"\r\n0\r\n\r\n");
    let mut line = String::new();
    at.read_line(&mut line).expect("a size");
    write(&mut at, DONE);
    assert!(head_of(&mut client).starts_with("http/1.1 200"));
}

/// `cargo test --release -p pinerelay --test long -- --ignored --nocapture stalled` prints the peak memory.
#[test]
#[ignore = "a measurement"]
fn stalled_bodies_and_the_memory_they_take() {
    let (_app, edge) = RawAppServer::with(|config| {
        config["limits"] = serde_json::json!({"cores": 1.0, "memory_mb": 48, "sockets": 1024});
    });
    let before = edge.memory();
    let stalled: Vec<_> = (0..580)
        .map(|n| {
            let mut client = connect(&edge);
            write(&mut client, &long_ask(&format!("p-{n}"), "Transfer-Encoding: chunked"));
            write(&mut client, format!("{:x}\r\n", 64_000).as_bytes());
            write(&mut client, &body(63_000));
            client
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    println!("{} stalled bodies: {} KiB before, {} KiB at most", stalled.len(), before, edge.memory());
}
