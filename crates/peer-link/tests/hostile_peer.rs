//! Peers that say too much: what a process holds for them is bounded, and others are heard beside them.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddrV4};

use googletest::prelude::*;
use pinerelay_peer_link::codec::{self, Decoder, GREETING, MAX_HELLO_LENGTH, MAX_MESSAGE_LENGTH};
use pinerelay_peer_link::link::{LinkEvent, LinkEvents, Links};
use pinerelay_peer_link::message::{Hello, PeerMessage, Role};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, LocalOptions};

/// More than a process holds of what comes on all its links, in bytes, and the pieces in which it is sent.
const MUCH: usize = 64 << 20;
const PIECE: usize = 256 * 1024;

fn hello() -> Hello {
    Hello { node: "n".into(), ip: "127.0.0.9".into(), role: Role::Registry, process_id: 1 }
}

/// Plays on one thread, as the programs run.
fn play(act: impl AsyncFnOnce()) {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(act());
}

/// Links that listen at a free port, and a connection to them that has said who it is.
async fn met(ip: [u8; 4]) -> (std::rc::Rc<Links>, LinkEvents, SocketAddrV4, TcpStream) {
    let (links, events) = Links::new();
    let free = std::net::TcpListener::bind((Ipv4Addr::from(ip), 0)).expect("a port");
    let port = free.local_addr().expect("bound").port();
    drop(free);
    let at = SocketAddrV4::new(ip.into(), port);
    links.listen(at).expect("an address");
    let stream = meet(at).await;
    (links, events, at, stream)
}

async fn meet(at: SocketAddrV4) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.expect("a connection");
    stream.write_all(&GREETING).await.expect("written");
    stream.write_all(&codec::encode(&PeerMessage::Hello(hello()))).await.expect("written");
    stream
}

/// The greeting and what is said, in messages.
async fn until_met(events: &mut LinkEvents) -> u64 {
    loop {
        if let Some(LinkEvent::Received(peer, PeerMessage::Hello(_))) = events.recv().await {
            return peer;
        }
    }
}

/// Writes until the other end takes no more, or has taken this much.
async fn flood(stream: &mut TcpStream, piece: &[u8], most: usize) -> usize {
    let mut written = 0;
    // So often others have a turn before what is not taken counts as never taken.
    let mut patience = 2_000;
    while written < most && patience > 0 {
        match stream.try_write(piece) {
            Ok(some) => written += some,
            Err(error) if error.kind() == ErrorKind::WouldBlock => patience -= 1,
            Err(_) => break,
        }
        tokio::task::yield_now().await;
    }
    written
}

#[gtest]
fn messages_that_nobody_takes_are_not_read_without_end() {
    play(async || {
        let (links, mut events, _, mut stream) = met([127, 89, 0, 1]).await;
        until_met(&mut events).await;
        let here = codec::encode(&PeerMessage::KeepAlive);
        let piece = here.repeat(PIECE / here.len());
        flood(&mut stream, &piece, MUCH).await;
        let metrics = links.metrics("p");
        let heard = metrics.iter().find(|metric| metric.name == "p_link_received_bytes_total");
        let heard = heard.map(|metric| metric.value);
        // They come to 5 bytes each: room for four thousand, and what was read with them.
        expect_that!(heard, some(lt(2.5e5)));
        // Who takes them gets them, and all after.
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
fn the_link_that_holds_most_is_cut_and_others_are_heard() {
    play(async || {
        let (links, mut events, at, mut small) = met([127, 89, 0, 2]).await;
        let own = until_met(&mut events).await;
        let mut others = Vec::new();
        for _ in 0..4 {
            let mut stream = meet(at).await;
            until_met(&mut events).await;
            stream.write_all(&(MAX_MESSAGE_LENGTH as u32).to_le_bytes()).await.expect("written");
            flood(&mut stream, &vec![0; PIECE], MAX_MESSAGE_LENGTH - PIECE).await;
            others.push(stream);
        }
        let mut cut = 0;
        small.write_all(&codec::encode(&PeerMessage::Goodbye)).await.expect("written");
        loop {
            match events.recv().await.expect("events") {
                LinkEvent::Disconnected(peer) => {
                    assert_that!(peer, not(eq(own)));
                    cut += 1;
                }
                LinkEvent::Received(peer, PeerMessage::Goodbye) if peer == own => break,
                _ => {}
            }
        }
        expect_that!(cut, ge(1));
        expect_that!(links.metrics("p").len(), ge(1));
    });
}

#[gtest]
fn the_first_message_is_short() {
    let first = |node: String| {
        let mut come = Decoder::default();
        come.read_buffer().extend_from_slice(&GREETING);
        come.read_buffer().extend_from_slice(&codec::encode(&PeerMessage::Hello(Hello { node, ..hello() })));
        come.next_message().map(|message| message.is_some())
    };
    expect_that!(first("n".into()), ok(eq(&true)));
    expect_that!(first("n".repeat(MAX_HELLO_LENGTH)), err(anything()));
}
