//! Registries that do not vote reach each other, too: each hears a part of the servers.

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
fn a_registry_reaches_those_that_others_reach_as_long_as_they_say_so() {
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
    let current = RegistryStatus {
        registries,
        voters,
        epoch: 1,
        epoch_settled: true,
        proxies: 0,
        has_majority: true,
        is_complete: true,
        is_current: true,
    };
    registry.receive(2, 7, PeerMessage::RegistryStatus(current), &mut out);
    let mut all: BTreeSet<String> = seeds.into_iter().collect();
    all.insert("10.0.0.5".into());
    expect_that!(registry.other_registries(), eq(&all), "itself left out");
    // Who is gone is named by nobody by and by.
    registry.disconnected(3, 7, &mut out);
    all.remove("10.0.0.5");
    expect_that!(registry.other_registries(), eq(&all));
}

/// Two registries that have reached for each other: two links, which came up in another order at each end.
struct Pair {
    ends: [Registry; 2],
    said: VecDeque<(usize, ConnectionId, PeerMessage)>,
    /// When each end last heard something on each link.
    heard: [[u64; 2]; 2],
}

impl Pair {
    fn new() -> Pair {
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
        Pair { ends: [registry(1), registry(2)], said: VecDeque::new(), heard: Default::default() }
    }

    /// The link that an end calls so. The first end calls them 1 and 2, the other one 2 and 1.
    fn link(end: usize, peer: ConnectionId) -> usize {
        if end == 0 {
            peer as usize - 1
        } else {
            2 - peer as usize
        }
    }

    fn take(&mut self, end: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send(peer, message) => self.said.push_back((end, peer, message)),
                Output::Broadcast(peers, message) => {
                    self.said.extend(peers.into_iter().map(|peer| (end, peer, message.clone())));
                }
                Output::Close(_) | Output::Answer(..) => {}
            }
        }
    }

    fn act(&mut self, now: u64, act: impl Fn(&mut Registry, &mut Vec<Output>)) {
        for end in 0..2 {
            let mut out = Vec::new();
            act(&mut self.ends[end], &mut out);
            self.take(end, out);
        }
        while let Some((from, peer, message)) = self.said.pop_front() {
            let (to, link) = (1 - from, Pair::link(from, peer));
            self.heard[to][link] = now;
            let mut out = Vec::new();
            self.ends[to].receive(now, 3 - peer, message, &mut out);
            self.take(to, out);
        }
    }
}

#[gtest]
fn of_two_links_between_two_registries_neither_falls_silent() {
    let mut pair = Pair::new();
    pair.act(0, |registry, out| [1, 2].into_iter().for_each(|peer| registry.connected(peer, out)));
    for now in (100_000..10_000_000).step_by(100_000) {
        pair.act(now, |registry, out| registry.tick(now, out));
        let oldest = pair.heard.iter().flatten().min().copied().unwrap_or(0);
        let silent = u128::from(now - oldest) >= LINK_TIMEOUT.as_micros();
        assert_that!(silent, eq(false), "at {now}, heard at {:?}", pair.heard);
    }
}
