//! Links between registries. Registries that do not vote have to be linked, too, as each receives the heartbeats of a part of the
//! servers.

use std::collections::{BTreeSet, VecDeque};

use googletest::prelude::*;
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_peer_link::link::{ConnectionId, LINK_TIMEOUT};
use pinerelay_peer_link::message::{Hello, PeerMessage, RegistryStatus, Role};
use pinerelay_registry::registry::{Output, Registry, RegistryConfig};

fn hello(n: u8) -> Hello {
    Hello { node: format!("core-{n}"), ip: format!("10.0.0.{n}"), role: Role::Registry, process_id: 1 }
}

#[gtest]
fn a_registry_connects_to_those_that_linked_registries_report() {
    let seeds: Vec<String> = (1..=3).map(|n| hello(n).ip).collect();
    let config = RegistryConfig {
        hello: hello(4),
        first_start: true,
        time_of_day: 0,
        rollouts: Default::default(),
        heartbeat_interval: 1_500_000,
        quota_bounds: QuotaBounds::default(),
        seeds: seeds.clone(),
    };
    let mut registry = Registry::new(0, config);
    let mut out = Vec::new();
    registry.receive(1, 7, PeerMessage::Hello(hello(1)), &mut out);
    let voters = seeds.clone();
    let mut registries = seeds.clone();
    registries.extend(["10.0.0.4".to_string(), "10.0.0.5".into()]);
    let status = RegistryStatus {
        registries,
        voters,
        epoch: 1,
        epoch_settled: true,
        proxies: 0,
        has_majority: true,
        is_complete: true,
        is_current: true,
    };
    registry.receive(2, 7, PeerMessage::RegistryStatus(status), &mut out);
    let mut all: BTreeSet<String> = seeds.into_iter().collect();
    all.insert("10.0.0.5".into());
    expect_that!(registry.other_registries(), eq(&all), "a registry does not connect to itself");
    // Once no linked registry reports an address, it is forgotten.
    registry.disconnected(3, 7, &mut out);
    all.remove("10.0.0.5");
    expect_that!(registry.other_registries(), eq(&all));
}

/// Two registries that have connected to each other: two links, which the two ends number in opposite order.
struct RegistryPair {
    ends: [Registry; 2],
    in_flight: VecDeque<(usize, ConnectionId, PeerMessage)>,
    /// When each end last received a message on each link.
    last_received: [[u64; 2]; 2],
}

impl RegistryPair {
    fn new() -> RegistryPair {
        let seeds: Vec<String> = (1..=2).map(|n| hello(n).ip).collect();
        let registry = |n| {
            let config = RegistryConfig {
                hello: hello(n),
                first_start: true,
                time_of_day: 0,
                rollouts: Default::default(),
                heartbeat_interval: 1_500_000,
                quota_bounds: QuotaBounds::default(),
                seeds: seeds.clone(),
            };
            Registry::new(0, config)
        };
        RegistryPair {
            ends: [registry(1), registry(2)],
            in_flight: VecDeque::new(),
            last_received: Default::default(),
        }
    }

    /// The index of the link for a connection id of an end. The first end has ids 1 and 2 for the links, the other one 2 and 1.
    fn link(end: usize, connection: ConnectionId) -> usize {
        if end == 0 {
            connection as usize - 1
        } else {
            2 - connection as usize
        }
    }

    fn enqueue(&mut self, end: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send(connection, message) => self.in_flight.push_back((end, connection, message)),
                Output::Broadcast(connections, message) => {
                    self.in_flight
                        .extend(connections.into_iter().map(|connection| (end, connection, message.clone())));
                }
                Output::Close(_) | Output::Answer(..) => {}
            }
        }
    }

    fn run(&mut self, now: u64, operation: impl Fn(&mut Registry, &mut Vec<Output>)) {
        for end in 0..2 {
            let mut out = Vec::new();
            operation(&mut self.ends[end], &mut out);
            self.enqueue(end, out);
        }
        while let Some((from, connection, message)) = self.in_flight.pop_front() {
            let (to, link) = (1 - from, RegistryPair::link(from, connection));
            self.last_received[to][link] = now;
            let mut out = Vec::new();
            self.ends[to].receive(now, 3 - connection, message, &mut out);
            self.enqueue(to, out);
        }
    }
}

#[gtest]
fn neither_of_two_links_between_two_registries_times_out() {
    let mut pair = RegistryPair::new();
    pair.run(0, |registry, out| {
        [1, 2].into_iter().for_each(|connection| registry.connected(connection, out))
    });
    for now in (100_000..10_000_000).step_by(100_000) {
        pair.run(now, |registry, out| registry.tick(now, out));
        let oldest = pair.last_received.iter().flatten().min().copied().unwrap_or(0);
        let has_timed_out = u128::from(now - oldest) >= LINK_TIMEOUT.as_micros();
        assert_that!(has_timed_out, eq(false), "at {now}, last messages at {:?}", pair.last_received);
    }
}
