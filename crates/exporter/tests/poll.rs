//! Tests polls of processes on loopback: a process that does not answer counts as down and does not delay the poll.

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::time::{Duration, Instant};

use googletest::prelude::*;
use pinerelay_exporter::exporter::Exporter;
use pinerelay_peer_link::link::{LinkEvent, Links};
use pinerelay_peer_link::message::{Hello, Metric, PeerMessage, ProcessList, Role};
use tokio::runtime::{Builder, LocalOptions};

const CORE: Ipv4Addr = Ipv4Addr::new(127, 88, 0, 1);
const UNRESPONSIVE: Ipv4Addr = Ipv4Addr::new(127, 88, 0, 2);

fn hello(role: Role, ip: Ipv4Addr, node: &str) -> Hello {
    Hello { node: node.into(), ip: ip.to_string(), role, process_id: 3 }
}

fn registry(port: u16) {
    let (links, mut events) = Links::new();
    links.listen(SocketAddrV4::new(CORE, port)).expect("an address");
    let own_hello = hello(Role::Registry, CORE, "core-1");
    let linked = vec![own_hello.clone(), hello(Role::Proxy, UNRESPONSIVE, "edge-1")];
    let process_list =
        PeerMessage::ProcessList(ProcessList { linked, missing: Vec::new(), voters: Vec::new() });
    tokio::task::spawn_local(async move {
        while let Some(event) = events.recv().await {
            match event {
                LinkEvent::Connected(peer, _) => links.send(peer, &PeerMessage::Hello(own_hello.clone())),
                LinkEvent::Received(peer, PeerMessage::ProcessListRequest) => links.send(peer, &process_list),
                LinkEvent::Received(peer, PeerMessage::MetricsRequest) => {
                    links.send(peer, &PeerMessage::Metrics(vec![Metric::new("registry_majority", 1.0)]));
                }
                _ => {}
            }
        }
    });
}

#[gtest]
fn a_poll_ends_despite_an_unresponsive_process_and_the_next_scrape_reuses_it() {
    // The kernel completes connections, but nothing is ever sent on them.
    let unresponsive = TcpListener::bind((UNRESPONSIVE, 0)).expect("an address");
    let port =
        unresponsive.local_addr().expect("bound").port() - pinerelay_node_runtime::internal_port::PROXY;
    let runtime =
        Builder::new_current_thread().enable_all().build_local(LocalOptions::default()).expect("a runtime");
    runtime.block_on(async {
        registry(port);
        let exporter = Exporter::new(vec![CORE], port, Vec::new());
        let began = Instant::now();
        let text = exporter.scrape().await.expect("metrics text");
        expect_that!(began.elapsed(), lt(Duration::from_millis(1_900)));
        let up = "pinerelay_up{role=\"registry\",node=\"core-1\",zone=\"\"} 1.0";
        let down = "pinerelay_up{role=\"proxy\",node=\"edge-1\",zone=\"\"} 0.0";
        expect_that!(text, all!(contains_substring(up), contains_substring(down)));
        expect_that!(text, contains_substring("pinerelay_registry_majority"));
        let second_text = exporter.scrape().await.expect("metrics text");
        expect_that!(second_text, contains_substring("pinerelay_exporter_polls_total 1.0"));
        expect_that!(second_text, contains_substring("pinerelay_exporter_unanswered_total 1.0"));
    });
}
