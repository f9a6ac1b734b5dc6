//! A crowd of clients that all use their connections, and a process that follows another: nobody is turned out to let
//! another in who is turned out in his place.

mod fakes;

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{scope, sleep, spawn};
use std::time::{Duration, Instant};

use fakes::*;
use serde_json::json;

/// So many clients. The node has places for 179 of them, and each of two processes for 78 by its own part alone.
const CROWD: usize = 120;

/// What clients met, all together.
#[derive(Default)]
struct Met {
    connected: AtomicUsize,
    /// Requests that were written and got no answer, on a kept connection first and then on a new one.
    lost: AtomicUsize,
    served: AtomicUsize,
}

/// An app server that takes a while for each request.
fn app(takes: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    spawn(move || {
        for stream in listener.incoming().flatten() {
            spawn(move || {
                let mut writer = stream.try_clone().expect("a clone");
                let mut reader = BufReader::new(stream);
                while read_message(&mut reader).is_some() {
                    sleep(takes);
                    if writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

struct Kept {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

fn connect(to: SocketAddr, met: &Met) -> Kept {
    met.connected.fetch_add(1, Ordering::Relaxed);
    let stream = TcpStream::connect(to).expect("the platform's socket");
    stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
    Kept { reader: BufReader::new(stream.try_clone().expect("a clone")), stream }
}

impl Kept {
    /// Whether it has been closed while it stood idle.
    fn closed(&self) -> bool {
        self.stream.set_nonblocking(true).expect("a socket");
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).expect("a socket");
        !matches!(peeked, Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    fn asks(&mut self, text: &str) -> Option<Message> {
        self.stream.write_all(text.as_bytes()).ok()?;
        read_message(&mut self.reader)
    }
}

/// A client behind the platform's front: one request at a time on a kept connection, once more on a new one where that
/// is closed under it.
fn client(to: SocketAddr, name: usize, think: Duration, over: &AtomicBool, met: &Met) {
    let mut line = None;
    for number in 0.. {
        if over.load(Ordering::Relaxed) {
            return;
        }
        let text = ask("post", &format!("{name}-{number}")).text();
        let mut kept: Kept = match line.take().filter(|kept: &Kept| !kept.closed()) {
            Some(kept) => kept,
            None => connect(to, met),
        };
        let mut answer = kept.asks(&text);
        if answer.is_none() {
            kept = connect(to, met);
            answer = kept.asks(&text);
        }
        match answer {
            Some(answer) => {
                met.served.fetch_add(usize::from(answer.status() == 200), Ordering::Relaxed);
                if answer.header("connection") != Some("close") {
                    line = Some(kept);
                }
            }
            None => drop(met.lost.fetch_add(1, Ordering::Relaxed)),
        }
        sleep(think);
    }
}

#[test]
fn an_upgrade_turns_no_client_out_whose_place_another_needs_no_more() {
    let folder = Folder::new();
    let entries: Vec<_> =
        (0..6).map(|n| entry(&format!("s-{n}"), app(Duration::from_millis(30)), "a", "up")).collect();
    let mut config = config(&entries);
    config["limits"] = json!({"cores": 1.0, "memory_mb": 48, "sockets": 384});
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let at = platform.local_addr().expect("an address");
    let (met, over) = (Met::default(), AtomicBool::new(false));
    let old = Edge::inheriting(&config, &folder.0, &platform);
    until("ready", || old.call("GET", "/api/ready", "").0 == 200);
    // It outlives its clients.
    let _new = scope(|scope| {
        for name in 0..CROWD {
            let (met, over) = (&met, &over);
            scope.spawn(move || client(at, name, Duration::from_millis(150), over, met));
        }
        let served = |more: usize| {
            let before = met.served.load(Ordering::Relaxed);
            until("all are served", || met.served.load(Ordering::Relaxed) > before + more * CROWD);
        };
        served(4);
        let before = met.connected.load(Ordering::Relaxed);
        let began = Instant::now();
        let new = Edge::inheriting(&config, &folder.0, &platform);
        until("ready", || new.call("GET", "/api/ready", "").0 == 200);
        let ready = began.elapsed();
        old.terminate();
        assert!(old.end().0.success());
        served(4);
        over.store(true, Ordering::Relaxed);
        let again = met.connected.load(Ordering::Relaxed) - before;
        assert_eq!(met.lost.load(Ordering::Relaxed), 0);
        // Each moves once; a few more are met by a process that has no place for them yet.
        assert!((CROWD..CROWD * 2).contains(&again), "{again} connections for {CROWD} clients");
        // It waits a second for its list, and not four for places.
        assert!(ready < Duration::from_millis(3_500), "{ready:?} until the yes");
        new
    });
}
