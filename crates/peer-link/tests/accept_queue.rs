//! Connections whose other end has given up before they are accepted.
//!
//! Guards against work and memory for connections that timed out in the accept queue of a busy process.

use std::io::Write;
use std::net::{Ipv4Addr, Shutdown, SocketAddrV4, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use googletest::prelude::*;
use pinerelay_peer_link::codec::{self, GREETING};
use pinerelay_peer_link::link::{LinkEvent, LinkEvents, Links};
use pinerelay_peer_link::message::{Hello, PeerMessage, Role};
use tokio::io::AsyncReadExt;
use tokio::runtime::{Builder, LocalOptions};

/// Connections that are given up in the accept queue.
const GIVEN_UP: usize = 20;

/// Runs a test on a single-threaded runtime, as the programs use it. Nothing is accepted while the test does not wait.
fn run(test: impl AsyncFnOnce()) {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(test());
}

/// Links that listen on a free port.
fn listen(ip: [u8; 4]) -> (Rc<Links>, LinkEvents, SocketAddrV4) {
    let (links, events) = Links::new();
    let probe = std::net::TcpListener::bind((Ipv4Addr::from(ip), 0)).expect("a port");
    let address = SocketAddrV4::new(ip.into(), probe.local_addr().expect("bound").port());
    drop(probe);
    links.listen(address).expect("an address");
    (links, events, address)
}

/// A connection that waits in the accept queue, with these bytes sent.
fn connect(address: SocketAddrV4, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream.write_all(bytes).expect("written");
    stream
}

/// What the other end writes on a connection until it closes it.
async fn written_to(stream: TcpStream) -> Vec<u8> {
    stream.set_nonblocking(true).expect("an option");
    let mut stream = tokio::net::TcpStream::from_std(stream).expect("a socket");
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.expect("closed in order");
    bytes
}

fn metric(links: &Links, name: &str) -> f64 {
    let metrics = links.metrics("p");
    metrics.iter().find(|metric| metric.name == name).expect("a metric of this name").value
}

#[gtest]
fn a_connection_that_was_given_up_in_the_accept_queue_is_not_reported() {
    run(async || {
        let (links, mut events, address) = listen([127, 89, 0, 22]);
        let mut given_up = Vec::new();
        for _ in 0..GIVEN_UP {
            let stream = connect(address, &GREETING);
            stream.shutdown(Shutdown::Write).expect("open");
            given_up.push(stream);
        }
        let live = connect(address, &GREETING);
        let from = live.local_addr().expect("connected");
        let LinkEvent::Connected(_, peer) = events.recv().await.expect("events") else {
            panic!("a connection is reported first")
        };
        expect_that!(std::net::SocketAddr::V4(peer), eq(from));
        for stream in given_up {
            expect_that!(written_to(stream).await, is_empty());
        }
        expect_that!(metric(&links, "p_links"), eq(1.0));
        expect_that!(events.queued(), some(eq(0)));
    });
}

#[gtest]
fn a_connection_that_was_reset_in_the_accept_queue_is_not_reported() {
    run(async || {
        let (links, mut events, address) = listen([127, 89, 0, 23]);
        for _ in 0..GIVEN_UP {
            let stream = connect(address, &GREETING);
            let socket = socket2::SockRef::from(&stream);
            socket.set_linger(Some(Duration::ZERO)).expect("an option");
        }
        let live = connect(address, &GREETING);
        let from = live.local_addr().expect("connected");
        let LinkEvent::Connected(_, peer) = events.recv().await.expect("events") else {
            panic!("a connection is reported first")
        };
        expect_that!(std::net::SocketAddr::V4(peer), eq(from));
        expect_that!(metric(&links, "p_links"), eq(1.0));
        expect_that!(events.queued(), some(eq(0)));
    });
}

#[gtest]
fn the_messages_of_a_connection_that_ended_in_the_accept_queue_are_handled() {
    run(async || {
        let (_links, mut events, address) = listen([127, 89, 0, 24]);
        let hello = Hello { node: "n".into(), ip: "127.0.0.9".into(), role: Role::Proxy, process_id: 1 };
        let messages = [PeerMessage::Hello(hello), PeerMessage::Goodbye];
        let bytes = messages
            .iter()
            .fold(GREETING.to_vec(), |bytes, message| [&bytes[..], &codec::encode(message)].concat());
        drop(connect(address, &bytes));
        let mut received = Vec::new();
        loop {
            match events.recv().await.expect("events") {
                LinkEvent::Connected(..) => {}
                LinkEvent::Received(_, message) => received.push(message),
                LinkEvent::Disconnected(_) => break,
            }
        }
        expect_that!(received, container_eq(messages));
    });
}
