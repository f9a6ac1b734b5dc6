//! Orders and stages of rollouts under random load and faults: an acknowledged order is never gone, a rollout ends once and in
//! one way, and every store reads the same.

use googletest::prelude::*;
use pinerelay_config_state::rollout::{Rollout, RolloutChange, RolloutOrder, Stage};
use pinerelay_consensus::{Request, Store};

use crate::config;
use crate::world::World;

const SECOND: u64 = 1_000_000;
const SERVICES: [&str; 2] = ["s0", "s1"];

fn start(world: &mut World, service: &str) -> RolloutChange {
    // Orders that come together are repetitions of one another.
    let target = format!("v{}", 2 + world.now / (SECOND / 2));
    let deadline_ms = 12_000;
    let order = RolloutOrder { service: service.into(), target, deadline_ms };
    RolloutChange::Start { order, ordered_at_ms: world.now / 1_000 }
}

/// What a registry decides by the items that it has, which may be old.
fn advance(world: &mut World, service: &str, seen_by: &str) -> Option<RolloutChange> {
    let store = world.machines[seen_by].store.as_ref()?;
    let revision = store.items().get(&Rollout::key(service))?.version.revision;
    let stages = [Stage::Ramp, Stage::Cutover, Stage::Finished, Stage::Reverted];
    let stage = stages[world.random.below(4) as usize];
    Some(RolloutChange::Advance { service: service.into(), revision, stage })
}

fn call(world: &mut World) {
    let names = world.names();
    let name = names[world.random.below(names.len() as u64) as usize].clone();
    let other = names[world.random.below(names.len() as u64) as usize].clone();
    let service = SERVICES[world.random.below(2) as usize];
    let change = match world.random.below(8) {
        0 | 1 => return world.call(&name, Request::ReadRollout(service.into())),
        2 => Some(RolloutChange::SetBaseline { service: service.into(), versions: vec!["v1".into()] }),
        3 => Some(start(world, service)),
        _ => advance(world, service, &other),
    };
    if let Some(change) = change {
        world.call(&name, Request::ChangeRollout(change));
    }
}

/// A store loses its process, its power or its disk, and is back some time later.
fn lose_one(world: &mut World) {
    let names = world.names();
    let name = names[world.random.below(names.len() as u64) as usize].clone();
    let is_wiped = world.random.one_in(3);
    let is_power = is_wiped || world.random.one_in(2);
    world.kill(&name, is_power);
    if is_wiped {
        world.wipe(&name);
    }
    let down_until = world.now + world.random.below(SECOND);
    world.pass(down_until);
    world.start(&name, false);
    let synced = world.now + 4 * SECOND;
    world.pass(synced);
}

fn play(seed: u64) -> World {
    let mut world = World::new(seed, 3);
    world.pass(SECOND / 5);
    let services =
        r#"{"upsert":{"services":{"column_names":["name","revision"],"records":[["s0",1],["s1",1]]}}}"#;
    let first = world.names()[0].clone();
    world.call(&first, Request::Update(config(services)));
    world.pass(SECOND);
    for _ in 0..120 {
        call(&mut world);
        let until = world.now + world.random.below(60_000);
        world.pass(until);
        if world.random.one_in(30) {
            lose_one(&mut world);
        }
    }
    let settled = world.now + 5 * SECOND;
    world.pass(settled);
    world
}

#[gtest]
fn an_acknowledged_order_outlives_losses_and_a_rollout_ends_once() {
    let mut ends = 0;
    for seed in 0..40 {
        let world = play(seed);
        ends += world.rollouts.ends.len();
        let stores: Vec<&Store> =
            world.machines.values().filter_map(|machine| machine.store.as_ref()).collect();
        for service in SERVICES {
            let item = |store: &Store| store.items().get(&Rollout::key(service)).cloned();
            expect_that!(stores.iter().all(|store| item(store) == item(stores[0])), eq(true), "seed {seed}");
        }
    }
    expect_that!(ends, ge(20), "rollouts have to end for this to show anything");
}
