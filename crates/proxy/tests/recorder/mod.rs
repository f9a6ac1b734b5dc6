//! A fake server that records all bytes received on each connection, and responds according to a script.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// When the server responds to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseTiming {
    /// As soon as the head is received; the body is read afterwards.
    AfterHead,
    /// Once the request is received completely.
    AfterRequest,
    /// This long after the request was received completely.
    AfterDelay(Duration),
    /// Never.
    Never,
}

/// Chooses the timing and the bytes of the response by the request head.
pub type Script = fn(&str) -> (ResponseTiming, String);

/// A fake server and the bytes that it has received.
pub struct Recorder {
    /// The address of the server.
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<Vec<u8>>>>,
    closed: Arc<AtomicUsize>,
}

impl Recorder {
    /// Starts a server with this script.
    pub fn new(script: Script) -> Recorder {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let connections = Arc::new(Mutex::new(Vec::new()));
        let all = connections.clone();
        let closed = Arc::new(AtomicUsize::new(0));
        let closed_count = closed.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let all = all.clone();
                let number = {
                    let mut all = all.lock().expect("a lock");
                    all.push(Vec::new());
                    all.len() - 1
                };
                let closed_count = closed_count.clone();
                thread::spawn(move || {
                    serve_connection(stream, script, &all, number);
                    closed_count.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Recorder { address, connections, closed }
    }

    /// The bytes received so far on each connection, as text.
    pub fn connections(&self) -> Vec<String> {
        let all = self.connections.lock().expect("a lock");
        all.iter().map(|bytes| String::from_utf8_lossy(bytes).into_owned()).collect()
    }

    /// Waits until the received bytes satisfy a condition, for at most 10 s; returns them.
    pub fn wait_until(&self, condition: impl Fn(&[String]) -> bool) -> Vec<String> {
        let begun = Instant::now();
        loop {
            let all = self.connections();
            if condition(&all) || begun.elapsed() > Duration::from_secs(10) {
                return all;
            }
            thread::yield_now();
        }
    }

    /// The number of closed connections.
    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }

    /// The number of requests started on each connection.
    pub fn requests(&self) -> Vec<usize> {
        self.connections().iter().map(|bytes| bytes.matches(" HTTP/1.1\r\n").count()).collect()
    }
}

/// Returns the value of a header.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(": ")?;
        found.eq_ignore_ascii_case(name).then_some(value)
    })
}

/// Returns the end of the request at the start of the bytes, if it was received completely.
fn request_end(head_end: usize, head: &str, bytes: &[u8]) -> Option<usize> {
    if header(head, "transfer-encoding").is_some() {
        let at = bytes[head_end..].windows(5).position(|five| five == b"0\r\n\r\n")?;
        return Some(head_end + at + 5);
    }
    let length = header(head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    (bytes.len() >= head_end + length).then_some(head_end + length)
}

/// Serves one connection.
fn serve_connection(mut stream: TcpStream, script: Script, all: &Mutex<Vec<Vec<u8>>>, number: usize) {
    let mut buffer = vec![0_u8; 1024];
    let mut unparsed: Vec<u8> = Vec::new();
    let mut answered = false;
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        unparsed.extend_from_slice(&buffer[..n]);
        all.lock().expect("a lock")[number].extend_from_slice(&buffer[..n]);
        while let Some(at) = unparsed.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&unparsed[..at + 4]).into_owned();
            let (timing, answer) = script(&head);
            let end = request_end(at + 4, &head, &unparsed);
            let is_due = match timing {
                ResponseTiming::AfterHead => true,
                ResponseTiming::AfterRequest | ResponseTiming::AfterDelay(_) => end.is_some(),
                ResponseTiming::Never => false,
            };
            if !answered && is_due {
                answered = true;
                if let ResponseTiming::AfterDelay(delay) = timing {
                    thread::sleep(delay);
                }
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            let Some(end) = end else { break };
            unparsed.drain(..end);
            answered = false;
        }
    }
}
