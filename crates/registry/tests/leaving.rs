//! What a server's leaving costs, and what its acknowledgement waits for.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_config_state::Kind;
use pinerelay_consensus::Membership;
use pinerelay_peer_link::message::{Hello, PeerMessage, Role};
use pinerelay_registry::control_call::{self, ControlCall};
use pinerelay_registry::registry::{Output, Registry, RegistryConfig};

const OWN: &str = "127.0.0.1";
const OTHER: &str = "127.0.0.2";
/// The connection of the store on the same machine.
const STORE: u64 = 1;
/// The connection of the other registry.
const REGISTRY: u64 = 2;

fn hello(ip: &str, role: Role) -> Hello {
    Hello { node: format!("core-{ip}"), ip: ip.into(), role, process_id: 1 }
}

/// A draining server's heartbeat.
fn draining_heartbeat(call_count: u64) -> ControlCall {
    let heartbeat = format!(
        r#"{{"service":"s","address":"127.0.0.9:80","zone":"z","revision":"v","capacity":1,"state":"draining",
        "warmup_left":"0ms","call_count":{call_count}}}"#
    );
    let query = Some("call=servers.heartbeat&of=i-1");
    control_call::parse("POST", control_call::PATH, query, heartbeat.as_bytes()).expect("a valid call")
}

/// A registry with a simulated clock, the store of its machine, and another registry.
struct Simulation {
    registry: Registry,
    now: u64,
}

impl Simulation {
    fn new() -> Simulation {
        let config = RegistryConfig {
            hello: hello(OWN, Role::Registry),
            first_start: true,
            heartbeat_interval: 1_500_000,
            quota_bounds: QuotaBounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 },
            seeds: vec![OWN.into(), OTHER.into()],
            time_of_day: 0,
            rollouts: Default::default(),
        };
        let mut sim = Simulation { registry: Registry::new(0, config), now: 0 };
        sim.receive(REGISTRY, PeerMessage::Hello(hello(OTHER, Role::Registry)));
        sim
    }

    fn run(&mut self, operation: impl FnOnce(&mut Registry, u64, &mut Vec<Output>)) -> Vec<Output> {
        let mut out = Vec::new();
        operation(&mut self.registry, self.now, &mut out);
        out
    }

    fn receive(&mut self, connection: u64, message: PeerMessage) -> Vec<Output> {
        self.run(|registry, now, out| registry.receive(now, connection, message, out))
    }

    fn connect_store(&mut self) {
        self.receive(STORE, PeerMessage::Hello(hello(OWN, Role::ConfigStore)));
        let membership = Membership::default();
        self.receive(STORE, PeerMessage::StoreStatus { membership, is_complete: true, is_current: true });
    }

    fn call(&mut self, number: u64, call: ControlCall) -> Vec<Output> {
        self.run(|registry, now, out| registry.call(now, number, call, out))
    }
}

/// How many updates of servers the store gets.
fn server_updates_to_store(outputs: &[Output]) -> usize {
    let is_update = |output: &&Output| match output {
        Output::Broadcast(receivers, PeerMessage::Update(items)) => {
            receivers.contains(&STORE) && items.iter().any(|item| item.key.kind == Kind::Server)
        }
        _ => false,
    };
    outputs.iter().filter(is_update).count()
}

// Guards against a write and a sync for each heartbeat of a draining server: stores write a leaving at once.
#[gtest]
fn further_heartbeats_of_a_draining_server_bring_the_store_nothing() {
    let mut sim = Simulation::new();
    sim.connect_store();
    let first = sim.call(70, draining_heartbeat(4));
    expect_that!(server_updates_to_store(&first), eq(1));
    for call_count in 5..8 {
        let further = sim.call(70 + call_count, draining_heartbeat(call_count));
        expect_that!(server_updates_to_store(&further), eq(0));
    }
}
