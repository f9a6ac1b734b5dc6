//! Peers that say too much: what a process holds for them is bounded, and others are heard beside them.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddrV4};

use googletest::prelude::*;
use pinerelay_propolis::link::{Event, Events, Links};
use pinerelay_propolis::speech::{self, Hello, Incoming, Role, Speech, GREETING, HELLO_MOST, LONGEST};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::{Builder, LocalOptions};

/// More than a process holds of what comes on all its links, in bytes, and the pieces in which it is sent.
const MUCH: usize = 64 << 20;
const PIECE: usize = 256 * 1024;

fn hello() -> Hello {
    Hello { node: "n".into(), ip: "127.0.0.9".into(), role: Role::Scout, life: 1 }
}

/// Plays on one thread, as the programs run.
fn play(act: impl AsyncFnOnce()) {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(act());
}

/// Links that listen at a free port, and a connection to them that has said who it is.
async fn met(ip: [u8; 4]) -> (std::rc::Rc<Links>, Events, SocketAddrV4, TcpStream) {
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
    stream.write_all(&speech::write(&Speech::Hello(hello()))).await.expect("written");
    stream
}

/// The greeting and what is said, in messages.
async fn until_met(events: &mut Events) -> u64 {
    loop {
        if let Some(Event::Said(peer, Speech::Hello(_))) = events.recv().await {
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
        let here = speech::write(&Speech::Here);
        let piece = here.repeat(PIECE / here.len());
        flood(&mut stream, &piece, MUCH).await;
        let told = links.told("p");
        let heard = told.iter().find(|(name, _)| name == "p_link_heard_bytes_total").map(|(_, bytes)| *bytes);
        // They come to 5 bytes each: room for four thousand, and what was read with them.
        expect_that!(heard, some(lt(2.5e5)));
        // Who takes them gets them, and all after.
        for _ in 0..20_000 {
            let event = events.recv().await;
            assert_that!(event, some(matches_pattern!(Event::Said(anything(), eq(&Speech::Here)))));
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
            stream.write_all(&(LONGEST as u32).to_le_bytes()).await.expect("written");
            flood(&mut stream, &vec![0; PIECE], LONGEST - PIECE).await;
            others.push(stream);
        }
        let mut cut = 0;
        small.write_all(&speech::write(&Speech::Bye)).await.expect("written");
        loop {
            match events.recv().await.expect("events") {
                Event::Down(peer) => {
                    assert_that!(peer, not(eq(own)));
                    cut += 1;
                }
                Event::Said(peer, Speech::Bye) if peer == own => break,
                _ => {}
            }
        }
        expect_that!(cut, ge(1));
        expect_that!(links.told("p").len(), ge(1));
    });
}

#[gtest]
fn the_first_message_is_short() {
    let first = |node: String| {
        let mut come = Incoming::default();
        come.room().extend_from_slice(&GREETING);
        come.room().extend_from_slice(&speech::write(&Speech::Hello(Hello { node, ..hello() })));
        come.take().map(|speech| speech.is_some())
    };
    expect_that!(first("n".into()), ok(eq(&true)));
    expect_that!(first("n".repeat(HELLO_MOST)), err(anything()));
}
