//! Rollouts under random load and faults: an acknowledged order to start one is never lost, a rollout ends once and in one
//! final state, and all stores hold the same.

use googletest::prelude::*;
use pinerelay_config_state::rollout::{Rollout, RolloutChange, RolloutOrder, Stage};
use pinerelay_consensus::{Request, Store};

use crate::parse_items;
use crate::world::World;

const SECOND: u64 = 1_000_000;
const SERVICES: [&str; 2] = ["s0", "s1"];

/// An order to start a rollout.
fn start_rollout(world: &mut World, service: &str) -> RolloutChange {
    // Orders within half a second have the same target: they repeat each other.
    let target = format!("v{}", 2 + world.now / (SECOND / 2));
    let deadline_ms = 12_000;
    let order = RolloutOrder { service: service.into(), target, deadline_ms };
    RolloutChange::Start { order, ordered_at_ms: world.now / 1_000 }
}

/// A stage that a registry decides on, based on the replica of one store, which may be outdated.
fn advance_rollout(world: &mut World, service: &str, replica_of: &str) -> Option<RolloutChange> {
    let store = world.machines[replica_of].store.as_ref()?;
    let revision = store.items().get(&Rollout::key(service))?.version.revision;
    let stages = [Stage::Ramp, Stage::Cutover, Stage::Finished, Stage::Reverted];
    let stage = stages[world.random.below(4) as usize];
    Some(RolloutChange::Advance { service: service.into(), revision, stage })
}

/// Sends a random request about a rollout to a random store.
fn send_random_request(world: &mut World) {
    let names = world.names();
    let name = names[world.random.below(names.len() as u64) as usize].clone();
    let other = names[world.random.below(names.len() as u64) as usize].clone();
    let service = SERVICES[world.random.below(2) as usize];
    let change = match world.random.below(8) {
        0 | 1 => return world.send_request(&name, Request::ReadRollout(service.into())),
        2 => Some(RolloutChange::SetBaseline { service: service.into(), versions: vec!["v1".into()] }),
        3 => Some(start_rollout(world, service)),
        _ => advance_rollout(world, service, &other),
    };
    if let Some(change) = change {
        world.send_request(&name, Request::ChangeRollout(change));
    }
}

/// A random store loses its process, its power or its disk, and restarts some time later.
fn fail_random_store(world: &mut World) {
    let names = world.names();
    let name = names[world.random.below(names.len() as u64) as usize].clone();
    let is_wiped = world.random.one_in(3);
    let is_power_loss = is_wiped || world.random.one_in(2);
    world.kill(&name, is_power_loss);
    if is_wiped {
        world.wipe(&name);
    }
    let down_until = world.now + world.random.below(SECOND);
    world.advance_to(down_until);
    world.start(&name, false);
    let synced = world.now + 4 * SECOND;
    world.advance_to(synced);
}

/// Runs random requests and faults, then waits until the stores have settled.
fn run_random_rollouts(seed: u64) -> World {
    let mut world = World::new(seed, 3);
    world.advance_to(SECOND / 5);
    let services =
        r#"{"upsert":{"services":{"column_names":["name","revision"],"records":[["s0",1],["s1",1]]}}}"#;
    let first = world.names()[0].clone();
    world.send_request(&first, Request::Update(parse_items(services)));
    world.advance_to(SECOND);
    for _ in 0..120 {
        send_random_request(&mut world);
        let until = world.now + world.random.below(60_000);
        world.advance_to(until);
        if world.random.one_in(30) {
            fail_random_store(&mut world);
        }
    }
    let settled = world.now + 5 * SECOND;
    world.advance_to(settled);
    world
}

#[gtest]
fn acknowledged_rollout_orders_survive_losses_and_a_rollout_ends_once() {
    let mut ended_count = 0;
    for seed in 0..40 {
        let world = run_random_rollouts(seed);
        ended_count += world.rollouts.final_states.len();
        let stores: Vec<&Store> =
            world.machines.values().filter_map(|machine| machine.store.as_ref()).collect();
        for service in SERVICES {
            let item = |store: &Store| store.items().get(&Rollout::key(service)).cloned();
            expect_that!(stores.iter().all(|store| item(store) == item(stores[0])), eq(true), "seed {seed}");
        }
    }
    expect_that!(ended_count, ge(20), "too few rollouts have ended for the test to be meaningful");
}
