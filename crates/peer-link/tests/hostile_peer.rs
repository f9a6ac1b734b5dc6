//! Peers that flood a process: the memory for their messages is limited, and other links keep working.
//!
//! Guards against unhandled messages, incomplete messages and first messages that grow without limit.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddrV4};

use googletest::prelude::*;
use pinerelay_peer_link::codec::{self, Decoder, GREETING, MAX_HELLO_LENGTH, MAX_MESSAGE_LENGTH};
use pinerelay_peer_link::link::{LinkEvent, LinkEvents, Links};
use pinerelay_peer_link::message::{Hello, PeerMessage, Role};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, LocalOptions};

/// More than a process buffers for all links together, in bytes.
const FLOOD_BYTES: usize = 64 << 20;
/// The size of each write of a flood, in bytes.
const CHUNK: usize = 256 * 1024;

fn hello() -> Hello {
    Hello { node: "n".into(), ip: "127.0.0.9".into(), role: Role::Registry, process_id: 1 }
}

/// Runs a test on a single-threaded runtime, as the programs use it.
fn run(test: impl AsyncFnOnce()) {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(test());
}

/// Links that listen on a free port, and a connection to them that has sent its greeting and hello.
async fn listen_and_connect(ip: [u8; 4]) -> (std::rc::Rc<Links>, LinkEvents, SocketAddrV4, TcpStream) {
    let (links, events) = Links::new();
    let probe = std::net::TcpListener::bind((Ipv4Addr::from(ip), 0)).expect("a port");
    let port = probe.local_addr().expect("bound").port();
    drop(probe);
    let address = SocketAddrV4::new(ip.into(), port);
    links.listen(address).expect("an address");
    let stream = connect_peer(address).await;
    (links, events, address, stream)
}

async fn connect_peer(address: SocketAddrV4) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    stream.write_all(&GREETING).await.expect("written");
    stream.write_all(&codec::encode(&PeerMessage::Hello(hello()))).await.expect("written");
    stream
}

/// Waits for the next hello; returns the connection that it arrived on.
async fn wait_for_hello(events: &mut LinkEvents) -> u64 {
    loop {
        if let Some(LinkEvent::Received(connection, PeerMessage::Hello(_))) = events.recv().await {
            return connection;
        }
    }
}

/// Writes chunks until the other end accepts no more, or `max_bytes` are written. Returns the number of written bytes.
async fn flood(stream: &mut TcpStream, chunk: &[u8], max_bytes: usize) -> usize {
    let mut written = 0;
    // How often a write may block, each time followed by a yield to other tasks, until the other end counts as not reading.
    let mut attempts_left = 2_000;
    while written < max_bytes && attempts_left > 0 {
        match stream.try_write(chunk) {
            Ok(bytes) => written += bytes,
            Err(error) if error.kind() == ErrorKind::WouldBlock => attempts_left -= 1,
            Err(_) => break,
        }
        tokio::task::yield_now().await;
    }
    written
}

#[gtest]
fn unhandled_messages_stop_the_reading_of_a_link() {
    run(async || {
        let (links, mut events, _, mut stream) = listen_and_connect([127, 89, 0, 1]).await;
        wait_for_hello(&mut events).await;
        let keep_alive = codec::encode(&PeerMessage::KeepAlive);
        let chunk = keep_alive.repeat(CHUNK / keep_alive.len());
        flood(&mut stream, &chunk, FLOOD_BYTES).await;
        let metrics = links.metrics("p");
        let received = metrics.iter().find(|metric| metric.name == "p_link_received_bytes_total");
        let received = received.map(|metric| metric.value);
        // Each message takes 5 bytes and one KiB of the limit of 4 MiB: about four thousand, and what was read with the last.
        expect_that!(received, some(lt(2.5e5)));
        // Handling the messages resumes the reading, and none is lost.
        for _ in 0..20_000 {
            let event = events.recv().await;
            assert_that!(
                event,
                some(matches_pattern!(LinkEvent::Received(anything(), eq(&PeerMessage::KeepAlive))))
            );
        }
    });
}

#[gtest]
fn the_link_with_the_largest_receive_buffer_is_closed_and_others_keep_working() {
    run(async || {
        let (links, mut events, address, mut small) = listen_and_connect([127, 89, 0, 2]).await;
        let small_id = wait_for_hello(&mut events).await;
        let mut others = Vec::new();
        for _ in 0..4 {
            let mut stream = connect_peer(address).await;
            wait_for_hello(&mut events).await;
            stream.write_all(&(MAX_MESSAGE_LENGTH as u32).to_le_bytes()).await.expect("written");
            flood(&mut stream, &vec![0; CHUNK], MAX_MESSAGE_LENGTH - CHUNK).await;
            others.push(stream);
        }
        let mut closed = 0;
        small.write_all(&codec::encode(&PeerMessage::Goodbye)).await.expect("written");
        loop {
            match events.recv().await.expect("events") {
                LinkEvent::Disconnected(connection) => {
                    assert_that!(connection, not(eq(small_id)));
                    closed += 1;
                }
                LinkEvent::Received(connection, PeerMessage::Goodbye) if connection == small_id => break,
                _ => {}
            }
        }
        expect_that!(closed, ge(1));
        expect_that!(links.metrics("p").len(), ge(1));
    });
}

fn metric(links: &Links, name: &str) -> f64 {
    let metrics = links.metrics("p");
    metrics.iter().find(|metric| metric.name == name).expect("a metric of this name").value
}

#[gtest]
fn a_peer_that_does_not_read_shows_in_the_longest_queue_and_its_end_in_the_closed_links() {
    run(async || {
        let (links, mut events, _, stream) = listen_and_connect([127, 89, 0, 9]).await;
        let id = wait_for_hello(&mut events).await;
        expect_that!(metric(&links, "p_link_longest_queue_bytes"), eq(0.0));
        let message = PeerMessage::KnownProxies(vec!["x".repeat(1_000); 100]);
        // More than the sockets buffer, and less than the limit of a queue.
        for _ in 0..160 {
            links.send(id, &message);
            tokio::task::yield_now().await;
        }
        expect_that!(metric(&links, "p_link_longest_queue_bytes"), gt(1e6));
        expect_that!(metric(&links, "p_links_closed_total"), eq(0.0));
        drop(stream);
        while !matches!(events.recv().await, Some(LinkEvent::Disconnected(_))) {}
        expect_that!(metric(&links, "p_links_closed_total"), eq(1.0));
        expect_that!(metric(&links, "p_link_longest_queue_bytes"), eq(0.0));
    });
}

#[gtest]
fn the_length_of_the_first_message_is_limited() {
    let decode_first = |node: String| {
        let mut decoder = Decoder::default();
        decoder.read_buffer().extend_from_slice(&GREETING);
        decoder
            .read_buffer()
            .extend_from_slice(&codec::encode(&PeerMessage::Hello(Hello { node, ..hello() })));
        decoder.next_message().map(|message| message.is_some())
    };
    expect_that!(decode_first("n".into()), ok(eq(&true)));
    expect_that!(decode_first("n".repeat(MAX_HELLO_LENGTH)), err(anything()));
}
