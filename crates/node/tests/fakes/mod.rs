//! Peers of a node under test on loopback sockets: app servers that the test answers by hand, discovery, a counter,
//! and clients. Tests synchronise on received messages rather than on time.
#![allow(dead_code)]

mod client;
mod edge;
mod log;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError, Sender};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

// Not every test file needs all of them.
#[allow(unused_imports)]
pub use client::{ask, Client, RequestSpec};
#[allow(unused_imports)]
pub use edge::{failed_start, temp_path, until, until_within, Edge, Folder, DISK_STALLED, MIN_DISK_WAIT};
use serde_json::{json, Value};

/// Timeout of every wait; far longer than anything here takes, even on a slow machine.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// The node's timeout for a call to its quota store, in tests that answer the call. It is longer than a busy machine
/// delays the answer; an incomplete answer is given up after half of it, which is within [`TIMEOUT`].
const LONG_STORE_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Message {
    pub first: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).expect("a status").parse().expect("a number")
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn refused(&self) -> bool {
        matches!(self.status(), 429 | 503)
    }
}

/// Reads one HTTP message; `None` if the connection ends first.
pub fn read_message(reader: &mut impl BufRead) -> Option<Message> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let first = line.trim_end().to_string();
    let mut headers = BTreeMap::new();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        headers.insert(name.to_lowercase(), value.to_string());
    }
    let length = headers.get("content-length").map_or(0, |l| l.parse().expect("a length"));
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Message { first, headers, body })
}

/// A complete request received by an app server, to be answered by the test.
pub struct ReceivedRequest {
    pub message: Message,
    stream: TcpStream,
}

impl ReceivedRequest {
    pub fn id(&self) -> &str {
        self.message.header("x-request-id").expect("an id")
    }

    pub fn answer(mut self, status: &str, headers: &str, body: &str) {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.stream.write_all(text.as_bytes()).expect("the node listens");
    }

    pub fn raw(mut self, bytes: &[u8]) {
        self.stream.write_all(bytes).expect("the node listens");
        self.close();
    }

    /// Sends this and leaves the connection open.
    pub fn send_partial(mut self, bytes: &[u8]) {
        // The node may close the connection before all is written.
        let _ = self.stream.write_all(bytes);
    }

    pub fn close(self) {
        self.stream.shutdown(std::net::Shutdown::Both).expect("an open connection");
    }
}

/// What happens at an app server.
pub enum AppEvent {
    Request(ReceivedRequest),
    /// A connection has ended.
    Ended,
}

/// Clones of an app server's connections, to close them.
pub type Lines = Arc<Mutex<Vec<TcpStream>>>;

pub struct AppServer {
    pub address: SocketAddr,
    pub lines: Lines,
    news: Receiver<AppEvent>,
}

impl AppServer {
    pub fn new() -> AppServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, news) = channel();
        let lines = Lines::default();
        let kept = lines.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                kept.lock().expect("no panic").push(stream.try_clone().expect("a clone"));
                let sender = sender.clone();
                spawn(move || serve_app(stream, sender));
            }
        });
        AppServer { address, news, lines }
    }

    pub fn news(&self) -> AppEvent {
        self.news.recv_timeout(TIMEOUT).expect("news in time")
    }

    /// The next request; closed connections are ignored.
    pub fn next(&self) -> ReceivedRequest {
        loop {
            if let AppEvent::Request(seen) = self.news() {
                return seen;
            }
        }
    }

    /// The next request, if one arrives within 200 events or about 200 ms.
    pub fn poll(&self) -> Option<ReceivedRequest> {
        (0..200).find_map(|_| self.poll_once())
    }

    pub fn poll_once(&self) -> Option<ReceivedRequest> {
        match self.news.recv_timeout(Duration::from_millis(1)) {
            Ok(AppEvent::Request(seen)) => Some(seen),
            _ => None,
        }
    }

    pub fn expect_close(&self) {
        assert!(matches!(self.news(), AppEvent::Ended), "a request instead of the connection's end");
    }

    /// Asserts that no request has been received by now.
    pub fn no_request(&self) {
        while let Ok(news) = self.news.try_recv() {
            assert!(!matches!(news, AppEvent::Request(_)), "a request that should not have come");
        }
    }
}

fn serve_app(stream: TcpStream, sender: Sender<AppEvent>) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    while let Some(message) = read_message(&mut reader) {
        let seen = ReceivedRequest { message, stream: stream.try_clone().expect("a clone") };
        if sender.send(AppEvent::Request(seen)).is_err() {
            return;
        }
    }
    let _ = sender.send(AppEvent::Ended);
}

/// The next request at either of two app servers: which, and the request.
pub fn next_of(apps: &[&AppServer]) -> (usize, ReceivedRequest) {
    let until = Instant::now() + TIMEOUT;
    while Instant::now() < until {
        for (i, app) in apps.iter().enumerate() {
            match app.news.recv_timeout(Duration::from_millis(2)) {
                Ok(AppEvent::Request(seen)) => return (i, seen),
                Ok(AppEvent::Ended) | Err(RecvTimeoutError::Timeout) => {}
                Err(RecvTimeoutError::Disconnected) => panic!("an app server ended"),
            }
        }
    }
    panic!("no request in time");
}

/// An address that refuses connections for as long as the tests run. Danger: a released port could be assigned to another
/// test's peer, which would then receive this node's connections.
pub fn refusing_address() -> SocketAddr {
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = socket.local_addr().expect("an address");
    // The socket stays bound, never listening, to the end of the process.
    std::mem::forget(socket);
    address
}

#[derive(Default)]
struct ListState {
    index: u64,
    changes: Vec<(u64, Value)>,
    /// Versions from which a watch has begun to wait.
    watched: Vec<u64>,
    lines: Vec<TcpStream>,
    mute: bool,
    /// The answer to a fetch of the complete list.
    snapshot: Option<Vec<Value>>,
}

/// Discovery: changes are pushed by the test.
pub struct DiscoveryServer {
    pub address: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
}

impl DiscoveryServer {
    pub fn new() -> DiscoveryServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state: Arc<(Mutex<ListState>, Condvar)> = Arc::default();
        state.0.lock().expect("no panic").index = 1;
        let shared = state.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                shared.0.lock().expect("no panic").lines.push(stream.try_clone().expect("a clone"));
                spawn(move || serve_lists(stream, &shared));
            }
        });
        DiscoveryServer { address, state }
    }

    /// An agent that answers fetches with this complete list, at a version of its own.
    pub fn with_snapshot(index: u64, entries: &[Value]) -> DiscoveryServer {
        let lists = DiscoveryServer::new();
        let mut state = lists.state.0.lock().expect("no panic");
        (state.index, state.snapshot) = (index, Some(entries.to_vec()));
        drop(state);
        lists
    }

    /// Waits until the node watches from this version on.
    pub fn watched_from(&self, index: u64) {
        let (lock, wake) = &*self.state;
        let state = lock.lock().expect("no panic");
        let rest = |s: &mut ListState| !s.watched.contains(&index);
        let (_held, late) = wake.wait_timeout_while(state, TIMEOUT, rest).expect("no panic");
        assert!(!late.timed_out(), "the node does not watch from {index}");
    }

    /// Publishes a change; returns its version.
    pub fn publish(&self, entry: Value) -> u64 {
        let (lock, wake) = &*self.state;
        let mut state = lock.lock().expect("no panic");
        state.index += 1;
        let index = state.index;
        state.changes.push((index, entry));
        wake.notify_all();
        index
    }

    /// Publishes a change and waits until the node has applied it, that is until it watches from its version.
    pub fn publish_and_wait(&self, entry: Value) {
        let index = self.publish(entry);
        let (lock, wake) = &*self.state;
        let state = lock.lock().expect("no panic");
        let rest = |s: &mut ListState| !s.watched.contains(&index);
        let (_held, late) = wake.wait_timeout_while(state, TIMEOUT, rest).expect("no panic");
        assert!(!late.timed_out(), "the node does not watch on");
    }

    /// Waits until the node watches at all.
    pub fn watched(&self) {
        let (lock, wake) = &*self.state;
        let state = lock.lock().expect("no panic");
        let (_held, late) =
            wake.wait_timeout_while(state, TIMEOUT, |s| s.watched.is_empty()).expect("no panic");
        assert!(!late.timed_out(), "the node does not watch");
    }

    /// Sets whether watches are received but never answered.
    pub fn mute(&self, mute: bool) {
        self.state.0.lock().expect("no panic").mute = mute;
    }

    /// Breaks all connections.
    pub fn break_all(&self) {
        for line in self.state.0.lock().expect("no panic").lines.drain(..) {
            let _ = line.shutdown(std::net::Shutdown::Both);
        }
    }
}

fn serve_lists(mut stream: TcpStream, state: &(Mutex<ListState>, Condvar)) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    while let Some(message) = read_message(&mut reader) {
        let Some((_, after)) = message.first.split_once("after=") else {
            // Unanswered unless the test gives a complete list: nodes start from the list in their configuration.
            let held = state.0.lock().expect("no panic");
            let Some(snapshot) = &held.snapshot else { continue };
            let body = json!({"index": held.index, "snapshot": true, "endpoints": snapshot}).to_string();
            let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            if stream.write_all(text.as_bytes()).is_err() {
                return;
            }
            continue;
        };
        let after: u64 = after.split('&').next().and_then(|n| n.parse().ok()).expect("a version");
        let (lock, wake) = state;
        let mut held = lock.lock().expect("no panic");
        held.watched.push(after);
        wake.notify_all();
        if held.mute {
            continue;
        }
        let (held, _) =
            wake.wait_timeout_while(held, Duration::from_secs(5), |s| s.index <= after).expect("no panic");
        let changed: Vec<_> = held.changes.iter().filter(|(i, _)| *i > after).map(|(_, e)| e).collect();
        let body = json!({"index": held.index, "snapshot": false, "endpoints": changed}).to_string();
        drop(held);
        let text = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

/// A call received by the counter, to be answered by the test.
pub struct CounterCall {
    pub name: String,
    pub amount: f64,
    stream: TcpStream,
}

impl CounterCall {
    /// The node's address on the connection of the call.
    pub fn line(&self) -> SocketAddr {
        self.stream.peer_addr().expect("a peer")
    }

    pub fn total(&mut self, total: f64) {
        let text = total.to_string();
        self.raw(&format!("${}\r\n{text}\r\n", text.len()));
    }

    pub fn raw(&mut self, text: &str) {
        self.stream.write_all(text.as_bytes()).expect("the node listens");
    }

    pub fn close(self) {
        self.stream.shutdown(std::net::Shutdown::Both).expect("an open connection");
    }
}

pub struct CounterServer {
    pub address: SocketAddr,
    calls: Receiver<CounterCall>,
}

impl CounterServer {
    pub fn new() -> CounterServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (sender, calls) = channel();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let sender = sender.clone();
                spawn(move || {
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    while let Some(words) = read_call(&mut reader) {
                        let stream = stream.try_clone().expect("a clone");
                        let amount = words[2].parse().expect("a decimal number");
                        let called = CounterCall { name: words[1].clone(), amount, stream };
                        if sender.send(called).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        CounterServer { address, calls }
    }

    pub fn poll(&self) -> Option<CounterCall> {
        self.calls.try_recv().ok()
    }

    pub fn next(&self) -> CounterCall {
        self.calls.recv_timeout(TIMEOUT).expect("a call in time")
    }
}

fn read_call(reader: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    assert_eq!(line, "*4\r\n");
    let mut words = Vec::new();
    for _ in 0..4 {
        let mut argument = String::new();
        reader.read_line(&mut argument).ok()?;
        argument.clear();
        reader.read_line(&mut argument).ok()?;
        words.push(argument.trim_end().to_string());
    }
    assert_eq!(words[0], "INCRTTL");
    Some(words)
}

pub fn entry(name: &str, address: SocketAddr, zone: &str, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": zone, "type": "m1", "group": 1,
           "status": status, "weight": 1.0, "since_ms": 0})
}

/// Settings with a class of each kind, a plan without a quota and one with; two nodes, two zones.
pub fn settings() -> Value {
    let class = |name: &str, effect: &str| {
        json!({"name": name, "effect": effect, "group": "zone", "window": 1_500_000, "credit": 1.0,
               "on_time": 20_000_000, "deadline": 40_000_000})
    };
    json!({
        "n_instances": 2, "me": 0, "zone": 0, "quantum": 2000, "registry_mode": "push",
        "zones": ["a", "b"], "kinds": ["m1"],
        "classes": [class("lookup", "safe"), class("slip", "keyed"), class("post", "unsafe")],
        "tariffs": [
            {"name": "free", "worth_factor": 1.0},
            {"name": "paid", "worth_factor": 1.0, "quota_rate": 2.0, "most_at_once": 12.0, "excess_cost": 1.0},
        ],
        "bounds": {"cancel": true, "retry_after": true, "max_retry_after": 1_000_000, "try_limit": 4,
                   "connect_timeout": 2_000_000, "conn_idle": 60_000_000},
        "domain": {"may_count": true, "count_wait": 80_000, "largest": 4},
        "invariants": {"cold_from": 0.2, "cold": 15_000_000, "fall_multiple": 3.0, "tip_after": 1_500_000},
    })
}

/// A configuration with nothing but these app servers.
pub fn config(entries: &[Value]) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": refusing_address().to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256}, "counter": refusing_address().to_string(),
        "known": {"index": 1, "snapshot": true, "endpoints": entries}, "settings": settings(),
    })
}

/// A configuration with nothing but this app server, for tests in which a call to the quota store must not time out.
pub fn config_with_long_store_timeout(app: &AppServer) -> Value {
    let mut config = config(&[entry("s-1", app.address, "a", "up")]);
    config["settings"]["domain"]["count_wait"] = json!(LONG_STORE_TIMEOUT.as_micros() as u64);
    config
}
