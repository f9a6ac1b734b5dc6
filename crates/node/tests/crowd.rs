//! An upgrade under many busy clients: processes must not close one client's connection to accept another whose connection
//! is then closed in turn.

mod fakes;

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{scope, sleep, spawn};
use std::time::{Duration, Instant};

use fakes::*;
use serde_json::json;

/// Number of clients. The node has slots for 179, and each of two processes for 78 by its own share alone.
const CLIENTS: usize = 120;

/// Totals over all clients.
#[derive(Default)]
struct Totals {
    connected: AtomicUsize,
    /// Requests that were written and got no answer, on a kept connection first and then on a new one.
    lost: AtomicUsize,
    served: AtomicUsize,
}

/// An app server that takes a given time for each request.
fn app(service_time: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn(move || {
                let mut writer = stream.try_clone().expect("a clone");
                let mut reader = BufReader::new(stream);
                while read_message(&mut reader).is_some() {
                    sleep(service_time);
                    if writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

struct KeptConnection {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

fn connect(to: SocketAddr, totals: &Totals) -> KeptConnection {
    totals.connected.fetch_add(1, Ordering::Relaxed);
    let stream = TcpStream::connect(to).expect("the platform's socket");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
    KeptConnection { reader: BufReader::new(stream.try_clone().expect("a clone")), stream }
}

impl KeptConnection {
    /// Whether the peer has closed the idle connection.
    fn closed(&self) -> bool {
        self.stream.set_nonblocking(true).expect("a socket");
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).expect("a socket");
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    fn send_request(&mut self, text: &str) -> Option<Message> {
        self.stream.write_all(text.as_bytes()).ok()?;
        read_message(&mut self.reader)
    }
}

/// A client as the platform's front: one request at a time on a kept connection, retried once on a new one if the
/// connection is closed.
fn client(to: SocketAddr, name: usize, think: Duration, over: &AtomicBool, totals: &Totals) {
    let mut line = None;
    for number in 0.. {
        if over.load(Ordering::Relaxed) {
            return;
        }
        let text = ask("post", &format!("{name}-{number}")).text();
        let mut kept: KeptConnection = match line.take().filter(|kept: &KeptConnection| !kept.closed()) {
            Some(kept) => kept,
            None => connect(to, totals),
        };
        let mut answer = kept.send_request(&text);
        if answer.is_none() {
            kept = connect(to, totals);
            answer = kept.send_request(&text);
        }
        match answer {
            Some(answer) => {
                totals.served.fetch_add(usize::from(answer.status() == 200), Ordering::Relaxed);
                if answer.header("connection") != Some("close") {
                    line = Some(kept);
                }
            }
            None => drop(totals.lost.fetch_add(1, Ordering::Relaxed)),
        }
        sleep(think);
    }
}

#[test]
fn an_upgrade_reconnects_each_client_about_once_and_loses_no_request() {
    let folder = Folder::new();
    let entries: Vec<_> =
        (0..6).map(|n| entry(&format!("s-{n}"), app(Duration::from_millis(30)), "a", "up")).collect();
    let mut config = config(&entries);
    config["limits"] = json!({"cores": 1.0, "memory_mb": 48, "sockets": 384});
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = platform.local_addr().expect("an address");
    let (totals, over) = (Totals::default(), AtomicBool::new(false));
    let old = Edge::inheriting(&config, &folder.0, &platform);
    until("ready", || old.call("GET", "/api/ready", "").0 == 200);
    // The new process outlives its clients.
    let _new = scope(|scope| {
        for name in 0..CLIENTS {
            let (totals, over) = (&totals, &over);
            scope.spawn(move || client(at, name, Duration::from_millis(150), over, totals));
        }
        let served = |more: usize| {
            let before = totals.served.load(Ordering::Relaxed);
            until("all are served", || totals.served.load(Ordering::Relaxed) > before + more * CLIENTS);
        };
        served(4);
        let before = totals.connected.load(Ordering::Relaxed);
        let began = Instant::now();
        let new = Edge::inheriting(&config, &folder.0, &platform);
        until("ready", || new.call("GET", "/api/ready", "").0 == 200);
        let ready = began.elapsed();
        old.terminate();
        old.end_in_success();
        served(4);
        over.store(true, Ordering::Relaxed);
        let again = totals.connected.load(Ordering::Relaxed) - before;
        assert_eq!(totals.lost.load(Ordering::Relaxed), 0);
        // Each client moves once; a few more connections meet a process without a free slot.
        assert!((CLIENTS..CLIENTS * 2).contains(&again), "{again} connections for {CLIENTS} clients");
        // The new process waits a second for its list, and not four for descriptors.
        assert!(ready < Duration::from_millis(3_500), "{ready:?} until the yes");
        new
    });
}
