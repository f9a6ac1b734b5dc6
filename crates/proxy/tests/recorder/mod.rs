//! A server that writes down all bytes of each of its connections, and answers as a script says.

// Each test file plays with a part of it.
#![allow(dead_code)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// When a server answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum When {
    /// As soon as it has the head, and then reads on.
    RequestHead,
    /// Once it has all.
    Whole,
    /// Once it has all, and has worked for so long.
    Worked(Duration),
    /// Never.
    Never,
}

/// What a server says to a request, by its head.
pub type Script = fn(&str) -> (When, String);

/// A server and what it has got.
pub struct Recorder {
    /// Where it is.
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<Vec<u8>>>>,
    closed: Arc<AtomicUsize>,
}

impl Recorder {
    /// A server with this script.
    pub fn new(script: Script) -> Recorder {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let connections = Arc::new(Mutex::new(Vec::new()));
        let all = connections.clone();
        let closed = Arc::new(AtomicUsize::new(0));
        let ended = closed.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let all = all.clone();
                let number = {
                    let mut all = all.lock().expect("a lock");
                    all.push(Vec::new());
                    all.len() - 1
                };
                let ended = ended.clone();
                thread::spawn(move || {
                    converse(stream, script, &all, number);
                    ended.fetch_add(1, Ordering::SeqCst);
                });
            }
        });
        Recorder { address, connections, closed }
    }

    /// The bytes of each connection so far, as text.
    pub fn connections(&self) -> Vec<String> {
        let all = self.connections.lock().expect("a lock");
        all.iter().map(|bytes| String::from_utf8_lossy(bytes).into_owned()).collect()
    }

    /// Looks until that is so of what has come, and gives it.
    pub fn until(&self, is: impl Fn(&[String]) -> bool) -> Vec<String> {
        let begun = Instant::now();
        loop {
            let all = self.connections();
            if is(&all) || begun.elapsed() > Duration::from_secs(10) {
                return all;
            }
            thread::yield_now();
        }
    }

    /// How many connections have ended.
    pub fn closed(&self) -> usize {
        self.closed.load(Ordering::SeqCst)
    }

    /// How many requests have begun on each connection.
    pub fn requests(&self) -> Vec<usize> {
        self.connections().iter().map(|bytes| bytes.matches(" HTTP/1.1\r\n").count()).collect()
    }
}

/// The value of a header of a head.
pub fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(": ")?;
        found.eq_ignore_ascii_case(name).then_some(value)
    })
}

/// Where the request at the start of these bytes ends, if all of it is there.
fn end_of(head_end: usize, head: &str, bytes: &[u8]) -> Option<usize> {
    if header(head, "transfer-encoding").is_some() {
        let at = bytes[head_end..].windows(5).position(|five| five == b"0\r\n\r\n")?;
        return Some(head_end + at + 5);
    }
    let length = header(head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    (bytes.len() >= head_end + length).then_some(head_end + length)
}

fn converse(mut stream: TcpStream, script: Script, all: &Mutex<Vec<Vec<u8>>>, number: usize) {
    let mut buffer = vec![0_u8; 1024];
    let mut open: Vec<u8> = Vec::new();
    let mut answered = false;
    while let Ok(n @ 1..) = stream.read(&mut buffer) {
        open.extend_from_slice(&buffer[..n]);
        all.lock().expect("a lock")[number].extend_from_slice(&buffer[..n]);
        while let Some(at) = open.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&open[..at + 4]).into_owned();
            let (when, answer) = script(&head);
            let end = end_of(at + 4, &head, &open);
            let due = match when {
                When::RequestHead => true,
                When::Whole | When::Worked(_) => end.is_some(),
                When::Never => false,
            };
            if !answered && due {
                answered = true;
                if let When::Worked(time) = when {
                    thread::sleep(time);
                }
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
            let Some(end) = end else { break };
            open.drain(..end);
            answered = false;
        }
    }
}
