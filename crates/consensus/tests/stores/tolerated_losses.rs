//! Guards against a membership that is too small for the tolerated losses. Of fifteen core machines that should tolerate the
//! loss of two at once, only the first three voted. Two losses need three copies, so all three had to take part in every
//! update: one absent voter or one lost disk blocked all writes, reads and repairs, also through the other machines. After
//! the loss of two disks the registries reported "reaches 1 of 3 core machines" and "the configuration is not known to be
//! current: no store confirms it" until the end, and each of 30 updates got "503 no majority of the stores has answered in
//! time".

use googletest::prelude::*;
use pinerelay_consensus::{Request, Store};

use crate::parse_items;
use crate::world::World;

const SECOND: u64 = 1_000_000;
/// How many machines may be lost at once.
const TOLERATED: usize = 2;
/// A new machine votes within this time, so that the next one may be lost.
const SYNC_TIME: u64 = 6 * SECOND;
/// An update or a read is answered within this time.
const REPLY_TIMEOUT: u64 = 4 * SECOND;

fn update(revision: u64) -> Request {
    let records = format!(r#"[["s{revision}",{revision}]]"#);
    let services = format!(r#"{{"column_names":["name","revision"],"records":{records}}}"#);
    Request::Update(parse_items(&format!(r#"{{"upsert":{{"services":{services}}}}}"#)))
}

/// Advances the time of the world.
fn advance_by(world: &mut World, time: u64) {
    let until = world.now + time;
    world.advance_to(until);
}

/// The names in the newest membership that a running store knows.
fn voters(world: &World) -> Vec<String> {
    let running = world.machines.values().filter_map(|machine| machine.store.as_ref());
    let newest = running.max_by_key(|store| store.membership().epoch).expect("a store runs");
    newest.membership().names()
}

/// Sends a request to each running store in turn until one replies with `outcome`; returns whether one did.
fn gets_reply(world: &mut World, outcome: &str, request: &Request) -> bool {
    let before = world.outcomes.get(outcome).copied().unwrap_or(0);
    let started_at = world.now;
    while world.now < started_at + REPLY_TIMEOUT {
        for name in world.names() {
            world.send_request(&name, request.clone());
            advance_by(world, SECOND / 10);
            if world.outcomes.get(outcome).copied().unwrap_or(0) > before {
                return true;
            }
        }
    }
    false
}

/// Drops all open requests: those at a process that has ended get no reply.
fn drop_open_requests(world: &mut World) {
    world.open_requests.clear();
    world.acknowledged_before.clear();
}

#[gtest]
fn acknowledged_updates_are_read_after_two_voters_lose_their_disks_at_once() {
    for seed in 0..20 {
        let mut world = World::with_tolerated_losses(seed, 5 + seed as usize % 3, TOLERATED);
        advance_by(&mut world, SYNC_TIME);
        assert!(
            gets_reply(&mut world, "taken", &update(3)),
            "seed {seed}: no update without faults is acknowledged"
        );
        let lost = voters(&world).split_off(seed as usize % 2);
        let lost = &lost[..TOLERATED];
        // For half of the seeds all others lose their power at the same moment.
        for name in world.names().iter().filter(|name| seed % 4 < 2 || lost.contains(name)) {
            world.kill(name, true);
        }
        lost.iter().for_each(|name| world.wipe(name));
        drop_open_requests(&mut world);
        let stopped = world.names().into_iter().filter(|name| world.machines[name].store.is_none());
        for name in stopped.collect::<Vec<_>>() {
            world.start(&name, false);
        }
        advance_by(&mut world, SECOND);
        assert!(gets_reply(&mut world, "read", &Request::Read), "seed {seed}: no read succeeds");
        assert!(
            gets_reply(&mut world, "taken", &update(5)),
            "seed {seed}: the next update is not acknowledged"
        );
        drop_open_requests(&mut world);
        advance_by(&mut world, SYNC_TIME);
        let complete = world.machines.values().filter_map(|machine| machine.store.as_ref());
        assert!(complete.clone().all(Store::is_complete), "seed {seed}: a replica is not complete again");
    }
}

#[gtest]
fn two_voters_lost_permanently_at_once_are_replaced_and_so_are_two_more() {
    for seed in 0..10 {
        let mut world = World::with_tolerated_losses(seed, 9, TOLERATED);
        advance_by(&mut world, SYNC_TIME);
        for revision in 3..5 {
            assert!(
                gets_reply(&mut world, "taken", &update(revision)),
                "seed {seed}: an update is not acknowledged"
            );
            for name in voters(&world).split_off(1).iter().take(TOLERATED) {
                world.kill(name, true);
                world.machines.remove(name);
            }
            drop_open_requests(&mut world);
            assert!(
                gets_reply(&mut world, "read", &Request::Read),
                "seed {seed}: no read succeeds with two voters gone"
            );
            drop_open_requests(&mut world);
            advance_by(&mut world, SYNC_TIME);
            let existing = world.names();
            let voters = voters(&world);
            assert!(
                voters.iter().all(|name| existing.contains(name)),
                "seed {seed}: {voters:?} are not all among {existing:?}"
            );
        }
    }
}
