//! A core of fifteen machines was told to bear the loss of two at once. Its three first voters all had to take part in every
//! update, since two losses need three copies; so one voter that was away, or one disk that was lost, was enough, and nothing
//! could be written, read or repaired any more, by the other thirteen machines either. After two disks were lost the registries
//! said "reaches 1 of 3 core machines" and "the configuration is not known to be current: no store confirms it" to the end,
//! and each of 30 updates got "503 no majority of the stores has answered in time".

use googletest::prelude::*;
use pinerelay_consensus::{Request, Store};

use crate::config;
use crate::world::World;

const SECOND: u64 = 1_000_000;
/// How many machines may be lost at once.
const TOLERATED: usize = 2;
/// A new machine votes within so long, so that the next one may be lost.
const SYNC_TIME: u64 = 6 * SECOND;
/// An update is acknowledged within so long.
const ACKNOWLEDGED_WITHIN: u64 = 4 * SECOND;

fn update(revision: u64) -> Request {
    let records = format!(r#"[["s{revision}",{revision}]]"#);
    let services = format!(r#"{{"column_names":["name","revision"],"records":{records}}}"#);
    Request::Update(config(&format!(r#"{{"upsert":{{"services":{services}}}}}"#)))
}

fn pass(world: &mut World, time: u64) {
    let until = world.now + time;
    world.pass(until);
}

fn voters(world: &World) -> Vec<String> {
    let running = world.machines.values().filter_map(|machine| machine.store.as_ref());
    let newest = running.max_by_key(|store| store.membership().epoch).expect("a store runs");
    newest.membership().names()
}

/// Calls each store that runs, one after the other, until one has answered; returns whether one has.
fn is_answered(world: &mut World, answer: &str, request: &Request) -> bool {
    let before = world.answers.get(answer).copied().unwrap_or(0);
    let begun = world.now;
    while world.now < begun + ACKNOWLEDGED_WITHIN {
        for name in world.names() {
            world.call(&name, request.clone());
            pass(world, SECOND / 10);
            if world.answers.get(answer).copied().unwrap_or(0) > before {
                return true;
            }
        }
    }
    false
}

/// Calls that were with a process that has ended are not followed up.
fn forget_calls(world: &mut World) {
    world.calls.clear();
    world.floor.clear();
}

#[gtest]
fn what_was_acknowledged_is_read_after_the_disks_of_two_voters_are_lost_at_once() {
    for seed in 0..20 {
        let mut world = World::with_losses(seed, 5 + seed as usize % 3, TOLERATED);
        pass(&mut world, SYNC_TIME);
        assert!(is_answered(&mut world, "taken", &update(3)), "seed {seed}: an update of a calm core");
        let lost = voters(&world).split_off(seed as usize % 2);
        let lost = &lost[..TOLERATED];
        // At times all others lose their power at the same moment.
        for name in world.names().iter().filter(|name| seed % 4 < 2 || lost.contains(name)) {
            world.kill(name, true);
        }
        lost.iter().for_each(|name| world.wipe(name));
        forget_calls(&mut world);
        let stopped = world.names().into_iter().filter(|name| world.machines[name].store.is_none());
        for name in stopped.collect::<Vec<_>>() {
            world.start(&name, false);
        }
        pass(&mut world, SECOND);
        assert!(is_answered(&mut world, "read", &Request::Read), "seed {seed}: nothing is read back");
        assert!(is_answered(&mut world, "taken", &update(5)), "seed {seed}: the next update");
        forget_calls(&mut world);
        pass(&mut world, SYNC_TIME);
        let complete = world.machines.values().filter_map(|machine| machine.store.as_ref());
        assert!(complete.clone().all(Store::is_complete), "seed {seed}: each replica is complete again");
    }
}

#[gtest]
fn two_voters_that_are_gone_for_good_at_once_are_replaced_and_two_more_after_them() {
    for seed in 0..10 {
        let mut world = World::with_losses(seed, 9, TOLERATED);
        pass(&mut world, SYNC_TIME);
        for revision in 3..5 {
            assert!(is_answered(&mut world, "taken", &update(revision)), "seed {seed}: an update");
            for name in voters(&world).split_off(1).iter().take(TOLERATED) {
                world.kill(name, true);
                world.machines.remove(name);
            }
            forget_calls(&mut world);
            assert!(is_answered(&mut world, "read", &Request::Read), "seed {seed}: with two voters gone");
            forget_calls(&mut world);
            pass(&mut world, SYNC_TIME);
            let there = world.names();
            let voters = voters(&world);
            assert!(voters.iter().all(|name| there.contains(name)), "seed {seed}: {voters:?} of {there:?}");
        }
    }
}
