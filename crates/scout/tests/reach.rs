//! Registries that do not vote reach each other, too: each hears a part of the servers.

use std::collections::{BTreeSet, VecDeque};

use googletest::prelude::*;
use pinerelay_nectar::terms::Bounds;
use pinerelay_propolis::link::{Peer, SILENCE};
use pinerelay_propolis::speech::{Hello, Role, Speech, Standing};
use pinerelay_scout::registry::{Birth, Output, Registry};

fn hello(n: u8) -> Hello {
    Hello { node: format!("core-{n}"), ip: format!("10.0.0.{n}"), role: Role::Scout, life: 1 }
}

#[gtest]
fn a_registry_reaches_those_that_others_reach_as_long_as_they_say_so() {
    let seeds: Vec<String> = (1..=3).map(|n| hello(n).ip).collect();
    let birth = Birth {
        hello: hello(4),
        first: true,
        wall: 0,
        heartbeat: 1_500_000,
        bounds: Bounds::default(),
        seeds: seeds.clone(),
    };
    let mut registry = Registry::new(0, birth);
    let mut out = Vec::new();
    registry.said(1, 7, Speech::Hello(hello(1)), &mut out);
    let voters = seeds.clone();
    let mut scouts = seeds.clone();
    scouts.extend(["10.0.0.4".to_string(), "10.0.0.5".into()]);
    let standing = Standing {
        scouts,
        voters,
        epoch: 1,
        settled: true,
        foragers: 0,
        majority: true,
        whole: true,
        current: true,
    };
    registry.said(2, 7, Speech::Standing(standing), &mut out);
    let mut all: BTreeSet<String> = seeds.into_iter().collect();
    all.insert("10.0.0.5".into());
    expect_that!(registry.others(), eq(&all), "itself left out");
    // Who is gone is named by nobody by and by.
    registry.down(3, 7, &mut out);
    all.remove("10.0.0.5");
    expect_that!(registry.others(), eq(&all));
}

/// Two registries that have reached for each other: two links, which came up in another order at each end.
struct Pair {
    ends: [Registry; 2],
    said: VecDeque<(usize, Peer, Speech)>,
    /// When each end last heard something on each link.
    heard: [[u64; 2]; 2],
}

impl Pair {
    fn new() -> Pair {
        let seeds: Vec<String> = (1..=2).map(|n| hello(n).ip).collect();
        let registry = |n| {
            let birth = Birth {
                hello: hello(n),
                first: true,
                wall: 0,
                heartbeat: 1_500_000,
                bounds: Bounds::default(),
                seeds: seeds.clone(),
            };
            Registry::new(0, birth)
        };
        Pair { ends: [registry(1), registry(2)], said: VecDeque::new(), heard: Default::default() }
    }

    /// The link that an end calls so. The first end calls them 1 and 2, the other one 2 and 1.
    fn link(end: usize, peer: Peer) -> usize {
        if end == 0 {
            peer as usize - 1
        } else {
            2 - peer as usize
        }
    }

    fn take(&mut self, end: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Say(peer, speech) => self.said.push_back((end, peer, speech)),
                Output::SayAll(peers, speech) => {
                    self.said.extend(peers.into_iter().map(|peer| (end, peer, speech.clone())));
                }
                Output::Cut(_) | Output::Answer(..) => {}
            }
        }
    }

    fn act(&mut self, now: u64, act: impl Fn(&mut Registry, &mut Vec<Output>)) {
        for end in 0..2 {
            let mut out = Vec::new();
            act(&mut self.ends[end], &mut out);
            self.take(end, out);
        }
        while let Some((from, peer, speech)) = self.said.pop_front() {
            let (to, link) = (1 - from, Pair::link(from, peer));
            self.heard[to][link] = now;
            let mut out = Vec::new();
            self.ends[to].said(now, 3 - peer, speech, &mut out);
            self.take(to, out);
        }
    }
}

#[gtest]
fn of_two_links_between_two_registries_neither_falls_silent() {
    let mut pair = Pair::new();
    pair.act(0, |registry, out| [1, 2].into_iter().for_each(|peer| registry.up(peer, out)));
    for now in (100_000..10_000_000).step_by(100_000) {
        pair.act(now, |registry, out| registry.tick(now, out));
        let oldest = pair.heard.iter().flatten().min().copied().unwrap_or(0);
        let silent = u128::from(now - oldest) >= SILENCE.as_micros();
        assert_that!(silent, eq(false), "at {now}, heard at {:?}", pair.heard);
    }
}
