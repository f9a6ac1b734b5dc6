//! What a server's leaving leaves on disk.

use googletest::prelude::*;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::Kind;
use pinerelay_config_store::service::{Output, StoreService};
use pinerelay_consensus::StoreConfig;
use pinerelay_peer_link::message::{Hello, PeerMessage, Role};

const IP: &str = "127.0.0.1";

fn hello(role: Role) -> Hello {
    Hello { node: "core-1".into(), ip: IP.into(), role, process_id: 1 }
}

/// Whether a write of a server's item is among the outputs.
fn writes_server(outputs: &[Output]) -> bool {
    outputs.iter().any(|output| match output {
        Output::Write { change, .. } => change.committed.iter().any(|item| item.key.kind == Kind::Server),
        _ => false,
    })
}

// Guards against a leaving that is acknowledged and forgotten when all processes are killed within the next 0.6 s: registries
// acknowledge it once two of them have it in memory, and stores write it with the next keep-alive.
#[gtest]
fn a_leaving_is_written_as_soon_as_the_store_hears_of_it() {
    let config = StoreConfig {
        name: IP.into(),
        process_id: 1,
        tolerated_losses: 0,
        first_start: true,
        seeds: vec![IP.into()],
    };
    let mut out = Vec::new();
    let mut service = StoreService::new(0, hello(Role::ConfigStore), config, None, &mut out);
    service.receive(1_000, 1, PeerMessage::Hello(hello(Role::Registry)), &mut out);
    service.tick(2_000, &mut out);
    out.clear();
    let server = Server {
        service: "s".into(),
        address: "127.0.0.2:80".parse().expect("an address"),
        zone: "z".into(),
        revision: "1".into(),
        capacity: 1,
        state: ServerState::Draining,
        warmup_ms: 0,
    };
    service.receive(3_000, 1, PeerMessage::Update(vec![server.to_item("server-1", 2)]), &mut out);
    expect_that!(writes_server(&out), eq(true));
}
