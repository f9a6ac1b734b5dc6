//! Looks at processes on loopback: who does not answer is down and holds nobody up.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use pinerelay_keeper::run::Keeper;
use pinerelay_peer_link::link::{LinkEvent, Links};
use pinerelay_peer_link::message::{Hello, Metric, PeerMessage, ProcessList, Role};
use tokio::runtime::{Builder, LocalOptions};

const CORE: Ipv4Addr = Ipv4Addr::new(127, 88, 0, 1);
const DEAF: Ipv4Addr = Ipv4Addr::new(127, 88, 0, 2);

fn hello(role: Role, ip: Ipv4Addr, node: &str) -> Hello {
    Hello { node: node.into(), ip: ip.to_string(), role, process_id: 3 }
}

fn scout(port: u16) {
    let (links, mut events) = Links::new();
    links.listen(SocketAddrV4::new(CORE, port)).expect("an address");
    let me = hello(Role::Registry, CORE, "core-1");
    let linked = vec![me.clone(), hello(Role::Proxy, DEAF, "edge-1")];
    let rolled = PeerMessage::ProcessList(ProcessList { linked, missing: Vec::new(), voters: Vec::new() });
    tokio::task::spawn_local(async move {
        while let Some(event) = events.recv().await {
            match event {
                LinkEvent::Connected(peer, _) => links.send(peer, &PeerMessage::Hello(me.clone())),
                LinkEvent::Received(peer, PeerMessage::ProcessListRequest) => links.send(peer, &rolled),
                LinkEvent::Received(peer, PeerMessage::MetricsRequest) => {
                    links.send(peer, &PeerMessage::Metrics(vec![Metric::new("registry_majority", 1.0)]));
                }
                _ => {}
            }
        }
    });
}

#[gtest]
fn a_look_ends_though_one_never_answers_and_the_next_reader_gets_the_same() {
    // Accepts, since the kernel does, and never says a word.
    let deaf = TcpListener::bind((DEAF, 0)).expect("an address");
    let port = deaf.local_addr().expect("bound").port() - pinerelay_node_runtime::internal_port::PROXY;
    let runtime =
        Builder::new_current_thread().enable_all().build_local(LocalOptions::default()).expect("a runtime");
    runtime.block_on(async {
        scout(port);
        let keeper = Keeper::new(vec![CORE], port, Vec::new());
        let begun = Instant::now();
        let text = keeper.scrape().await.expect("a page");
        expect_that!(begun.elapsed(), lt(Duration::from_millis(1_900)));
        let up = "pinerelay_up{role=\"registry\",node=\"core-1\",zone=\"\"} 1.0";
        let down = "pinerelay_up{role=\"proxy\",node=\"edge-1\",zone=\"\"} 0.0";
        expect_that!(text, all!(contains_substring(up), contains_substring(down)));
        expect_that!(text, contains_substring("pinerelay_registry_majority"));
        let again = keeper.scrape().await.expect("a page");
        expect_that!(again, contains_substring("pinerelay_keeper_looks_total 1.0"));
        expect_that!(again, contains_substring("pinerelay_keeper_silent_total 1.0"));
    });
}
