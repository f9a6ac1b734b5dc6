//! How often a link reconnects to a process that accepts connections.
//!
//! Guards against a backoff that is reset by a process whose kernel accepts connections, but which never greets.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use pinerelay_peer_link::codec::GREETING;
use pinerelay_peer_link::link::{LinkEvent, LinkEvents, Links};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};

/// Runs a test on a single-threaded runtime, as the programs use it.
fn run(test: impl AsyncFnOnce()) {
    let runtime = Builder::new_current_thread().enable_all().build_local(LocalOptions::default());
    runtime.expect("a runtime").block_on(test());
}

/// A listener on a free port.
async fn listener(ip: [u8; 4]) -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((Ipv4Addr::from(ip), 0)).await.expect("a port");
    let Ok(SocketAddr::V4(address)) = listener.local_addr() else { panic!("an IPv4 address") };
    (listener, address)
}

async fn wait_for_connected(events: &mut LinkEvents) {
    while !matches!(events.recv().await.expect("events"), LinkEvent::Connected(..)) {}
}

#[gtest]
fn a_process_that_accepts_and_never_greets_does_not_reset_the_backoff() {
    run(async || {
        let (listener, address) = listener([127, 89, 0, 20]).await;
        let (links, _events) = Links::new();
        let _link = links.connect(address);
        listener.accept().await.expect("the first attempt");
        let first = Instant::now();
        for _ in 0..5 {
            listener.accept().await.expect("a further attempt");
        }
        // Five initial pauses take at most half a second, five growing ones more than twice that.
        expect_that!(first.elapsed(), ge(Duration::from_secs(1)));
    });
}

#[gtest]
fn a_connection_that_carried_the_greeting_resets_the_backoff() {
    run(async || {
        let (listener, address) = listener([127, 89, 0, 21]).await;
        let (links, mut events) = Links::new();
        let _link = links.connect(address);
        let start = Instant::now();
        for _ in 0..12 {
            let (mut stream, _) = listener.accept().await.expect("an attempt");
            stream.write_all(&GREETING).await.expect("written");
            wait_for_connected(&mut events).await;
        }
        // Eleven initial pauses take at most 1.1 s, eleven growing ones more than 3.5 s.
        expect_that!(start.elapsed(), lt(Duration::from_millis(2_500)));
    });
}
