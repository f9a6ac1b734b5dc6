//! What a server's leaving leaves on disk.

use googletest::prelude::*;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{Item, Kind};
use pinerelay_config_store::service::{Output, StoreService};
use pinerelay_consensus::StoreConfig;
use pinerelay_peer_link::message::{Hello, PeerMessage, Role, ACKNOWLEDGES_WRITES};

const IP: &str = "127.0.0.1";
/// The connection of the registry.
const REGISTRY: u64 = 1;
const SERVER: &str = "server-1";

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

/// The ids of the writes among the outputs.
fn writes(outputs: &[Output]) -> Vec<u64> {
    let write = |output: &Output| match output {
        Output::Write { id, .. } => Some(*id),
        _ => None,
    };
    outputs.iter().filter_map(write).collect()
}

/// The numbers of the acknowledgements among the outputs.
fn acknowledged(outputs: &[Output]) -> Vec<u64> {
    let acknowledgement = |output: &Output| match output {
        Output::Send(REGISTRY, PeerMessage::Replicated(number)) => Some(*number),
        _ => None,
    };
    outputs.iter().filter_map(acknowledgement).collect()
}

fn replicate(number: u64, item: Item) -> PeerMessage {
    PeerMessage::Replicate { number, items: vec![item] }
}

fn service(out: &mut Vec<Output>) -> StoreService {
    let config = StoreConfig {
        name: IP.into(),
        process_id: 1,
        tolerated_losses: 0,
        first_start: true,
        seeds: vec![IP.into()],
    };
    let mut service = StoreService::new(0, hello(Role::ConfigStore), config, None, out);
    service.receive(1_000, REGISTRY, PeerMessage::Hello(hello(Role::Registry)), out);
    service.tick(2_000, out);
    out.clear();
    service
}

/// The item of a server as of a heartbeat.
fn server_item(state: ServerState, call_count: u64) -> Item {
    let server = Server {
        service: "s".into(),
        address: "127.0.0.2:80".parse().expect("an address"),
        zone: "z".into(),
        revision: "1".into(),
        capacity: 1,
        state,
        warmup_ms: 0,
    };
    server.to_item(SERVER, call_count)
}

// Guards against a leaving that is acknowledged and forgotten when all processes are killed within the next 0.6 s: registries
// acknowledge it once two of them have it in memory, and stores write it with the next keep-alive.
#[gtest]
fn a_leaving_is_written_as_soon_as_the_store_hears_of_it() {
    let mut out = Vec::new();
    let mut service = service(&mut out);
    let item = server_item(ServerState::Draining, 2);
    service.receive(3_000, REGISTRY, PeerMessage::Update(vec![item]), &mut out);
    expect_that!(writes_server(&out), eq(true));
}

// Guards against the same loss of a server's last call, after which its address may belong to another service.
#[gtest]
fn the_end_of_a_server_is_written_as_soon_as_the_store_hears_of_it() {
    let mut out = Vec::new();
    let mut service = service(&mut out);
    service.receive(3_000, REGISTRY, PeerMessage::Update(vec![Server::tombstone(SERVER, 0)]), &mut out);
    expect_that!(writes_server(&out), eq(true));
}

// Guards against a write and a sync for each heartbeat: only a leaving is urgent, and only the first time.
#[gtest]
fn other_heartbeats_and_known_leavings_are_not_written_at_once() {
    let mut out = Vec::new();
    let mut service = service(&mut out);
    let ready = server_item(ServerState::Ready, 1);
    service.receive(3_000, REGISTRY, PeerMessage::Update(vec![ready]), &mut out);
    expect_that!(writes_server(&out), eq(false), "a ready server");
    let leaving = server_item(ServerState::Draining, 2);
    service.receive(4_000, REGISTRY, PeerMessage::Update(vec![leaving.clone()]), &mut out);
    expect_that!(writes_server(&out), eq(true));
    out.clear();
    service.receive(5_000, REGISTRY, PeerMessage::Update(vec![leaving]), &mut out);
    service.tick(1_000_000, &mut out);
    expect_that!(writes_server(&out), eq(false), "a leaving that is written already");
}

// Guards against an acknowledgement before the write: it would be worth no more than that of a registry, which has the item in
// memory.
#[gtest]
fn a_replicated_leaving_is_acknowledged_once_it_is_written() {
    let mut out = Vec::new();
    let mut service = service(&mut out);
    service.receive(3_000, REGISTRY, replicate(7, server_item(ServerState::Draining, 2)), &mut out);
    expect_that!(acknowledged(&out), is_empty());
    let [write] = writes(&out)[..] else { panic!("{out:?}") };
    service.write_completed(4_000, write, &mut out);
    expect_that!(acknowledged(&out), elements_are![eq(&7)]);
}

// Guards against taking an item for durable because it is known: the registry sends it as an update first.
#[gtest]
fn a_leaving_that_is_being_written_is_acknowledged_after_its_own_write() {
    let mut out = Vec::new();
    let mut service = service(&mut out);
    let ready = server_item(ServerState::Ready, 1);
    service.receive(3_000, REGISTRY, PeerMessage::Update(vec![ready]), &mut out);
    service.tick(1_000_000, &mut out);
    let leaving = server_item(ServerState::Draining, 2);
    service.receive(1_100_000, REGISTRY, PeerMessage::Update(vec![leaving.clone()]), &mut out);
    service.receive(1_100_000, REGISTRY, replicate(7, leaving.clone()), &mut out);
    let [earlier, own] = writes(&out)[..] else { panic!("{out:?}") };
    service.write_completed(1_200_000, earlier, &mut out);
    expect_that!(acknowledged(&out), is_empty());
    service.write_completed(1_300_000, own, &mut out);
    expect_that!(acknowledged(&out), elements_are![eq(&7)]);
    out.clear();
    service.receive(1_400_000, REGISTRY, replicate(8, leaving), &mut out);
    expect_that!(writes(&out), is_empty());
    expect_that!(acknowledged(&out), elements_are![eq(&8)], "it is durable already");
}

// Guards against an acknowledgement that a later connection would take for its own.
#[gtest]
fn a_connection_that_has_closed_gets_no_acknowledgement() {
    let mut out = Vec::new();
    let mut service = service(&mut out);
    service.receive(3_000, REGISTRY, replicate(7, server_item(ServerState::Draining, 2)), &mut out);
    let [write] = writes(&out)[..] else { panic!("{out:?}") };
    service.disconnected(4_000, REGISTRY, &mut out);
    service.write_completed(5_000, write, &mut out);
    expect_that!(acknowledged(&out), is_empty());
}

// Guards against registries that wait in vain for a store of an earlier release: only stores that announce it are waited for.
#[gtest]
fn registries_are_told_that_writes_are_acknowledged() {
    let mut out = Vec::new();
    let mut service = service(&mut out);
    service.receive(3_000, REGISTRY + 1, PeerMessage::Hello(hello(Role::Registry)), &mut out);
    let announcement = PeerMessage::ConfirmCurrent(ACKNOWLEDGES_WRITES);
    expect_that!(out, contains(eq(&Output::Send(REGISTRY + 1, announcement))));
}
