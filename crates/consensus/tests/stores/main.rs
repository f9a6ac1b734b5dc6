//! Stores under random load and faults: acknowledged updates persist, and the configuration is always valid as a whole.

mod rollouts;
mod tolerated_losses;
mod world;

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use pinerelay_config_state::operator_call;
use pinerelay_config_state::Item;
use pinerelay_consensus::Micros;
use pinerelay_consensus::{Ballot, Batch, Input, Message, Request, Store};
use world::{Machine, SeededRandom, World};

/// The items of an operator's update.
pub(crate) fn parse_items(text: &str) -> Vec<Item> {
    operator_call::parse_update(text.as_bytes()).expect("a valid update")
}

/// An update that moves keys between tenants, or removes a tenant. Each is valid alone, many conflict with each other.
fn random_tenant_update(random: &mut SeededRandom, revision: u64) -> Request {
    let name = random.below(4);
    if random.one_in(6) {
        let text = format!(r#"{{"remove":{{"tenants":[{{"name":"t{name}","revision":{revision}}}]}}}}"#);
        return Request::Update(parse_items(&text));
    }
    let keys = format!(r#"["k{}","k{}"]"#, random.below(6), random.below(6));
    Request::Update(parse_items(&format!(
        r#"{{"upsert":{{"tenants":{{"column_names":["name","revision","api_keys"],
        "records":[["t{name}",{revision},{keys}]]}}}}}}"#
    )))
}

/// An update that removes or adds a service, or adds a route that refers to it.
fn random_service_or_route_update(random: &mut SeededRandom, revision: u64) -> Request {
    let service = random.below(2);
    let text = match random.below(3) {
        0 => format!(r#"{{"remove":{{"services":[{{"name":"s{service}","revision":{revision}}}]}}}}"#),
        1 => format!(
            r#"{{"upsert":{{"services":{{"column_names":["name","revision"],"records":[["s{service}",{revision}]]}}}}}}"#
        ),
        _ => format!(
            r#"{{"upsert":{{"routes":{{"column_names":["name","revision","host","path_prefix","route_type","timeout",
            "service"],"records":[["r",{revision},"a.example","/","safe","1s","s{service}"]]}}}}}}"#
        ),
    };
    Request::Update(parse_items(&text))
}

/// Runs random requests and faults, checks the final state, and returns the number of replies by outcome.
#[expect(clippy::too_many_lines, reason = "a table of cases, or one play with its checks")]
fn run_random_faults(seed: u64, store_count: usize) -> BTreeMap<&'static str, u64> {
    let mut world = World::new(seed, store_count);
    world.advance_to(200_000);
    let names = world.names();
    let (mut down, mut restart_at): (Option<(String, bool)>, Micros) = (None, 0);
    let mut no_fault_until = 0;
    for round in 1..160_u64 {
        let name = names[world.random.below(names.len() as u64) as usize].clone();
        let other = names[world.random.below(names.len() as u64) as usize].clone();
        match world.random.below(10) {
            0 | 1 => world.send_request(&name, Request::Read),
            // Two concurrent updates at two stores.
            2..=5 => {
                let (one, two) = (
                    random_tenant_update(&mut world.random, round * 2),
                    random_tenant_update(&mut world.random, round * 2 + 1),
                );
                world.send_request(&name, one);
                world.send_request(&other, two);
            }
            _ => {
                let (one, two) = (
                    random_service_or_route_update(&mut world.random, round * 2),
                    random_service_or_route_update(&mut world.random, round * 2 + 1),
                );
                world.send_request(&name, one);
                world.send_request(&other, two);
            }
        }
        // Only one machine at a time is down, in half the cases with its disk wiped, and none for 4 s after the last one is
        // back. The others at most restart.
        if down.is_none() && world.now >= no_fault_until && world.random.one_in(6) {
            let delay = world.random.below(20_000);
            let at = world.now + delay;
            world.advance_to(at);
            let wiped = world.random.one_in(2);
            let power_loss = wiped || world.random.one_in(2);
            world.kill(&name, power_loss);
            if wiped {
                world.wipe(&name);
            }
            // In one of four cases all others lose their power, too, and restart.
            if world.random.one_in(4) {
                for other in names.iter().filter(|other| **other != name) {
                    world.kill(other, true);
                    world.start(other, false);
                }
                world.open_requests.clear();
                world.acknowledged_before.clear();
            }
            let dropped: BTreeSet<u64> = world.open_requests.keys().copied().collect();
            dropped.into_iter().for_each(|id| {
                world.open_requests.remove(&id);
                world.acknowledged_before.remove(&id);
            });
            // The other processes restart, so that no reply comes to a request that was dropped.
            for other in names.iter().filter(|other| **other != name) {
                world.kill(other, false);
                world.start(other, false);
            }
            down = Some((name.clone(), wiped));
            restart_at = world.now + world.random.below(1_500_000);
        } else if down.is_none() && world.now >= no_fault_until && world.random.one_in(8) {
            let until = world.now + world.random.below(2_000_000);
            world.isolated = (Some(name.clone()), until);
            no_fault_until = until + 4_000_000;
        } else if world.random.one_in(10) {
            let until = world.now + world.random.below(600_000);
            world.machines.get_mut(&name).expect("a machine").stalled_until = until;
        }
        if let Some((name, _)) = down.clone().filter(|_| world.now >= restart_at) {
            world.start(&name, false);
            down = None;
            no_fault_until = world.now + 4_000_000;
        }
        let pause = 20_000 + world.random.below(150_000);
        let until = world.now + pause;
        world.advance_to(until);
    }
    if let Some((name, _)) = down {
        world.start(&name, false);
    }
    let until = world.now + 5_000_000;
    world.advance_to(until);
    // In the end every store answers reads, and all replicas are equal.
    for name in &names {
        world.send_request(name, Request::Read);
    }
    let until = world.now + 2_000_000;
    world.advance_to(until);
    assert!(
        world.open_requests.is_empty(),
        "seed {seed}: {} requests without a reply",
        world.open_requests.len()
    );
    let digests: BTreeSet<u64> =
        world.machines.values().filter_map(|m| Some(m.store.as_ref()?.items().digest())).collect();
    assert_eq!(digests.len(), 1, "seed {seed}: replicas differ");
    let voter_count =
        world.machines.values().filter(|m| m.store.as_ref().is_some_and(Store::is_voter)).count();
    assert_eq!(voter_count, 3, "seed {seed}: not three voters again");
    let complete_count =
        world.machines.values().filter(|m| m.store.as_ref().is_some_and(Store::is_complete)).count();
    assert_eq!(complete_count, store_count, "seed {seed}: not all replicas are complete again");
    world.outcomes
}

#[gtest]
fn acknowledged_updates_persist_and_reads_are_always_valid() {
    let mut outcomes: BTreeMap<&str, u64> = BTreeMap::new();
    let seeds = std::env::var("DANCE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    for seed in 0..seeds {
        for (what, times) in run_random_faults(seed, 3 + (seed % 2) as usize) {
            *outcomes.entry(what).or_default() += times;
        }
    }
    // The runs are only meaningful if enough requests had each outcome.
    expect_that!(outcomes["taken"], gt(outcomes["invalid"]));
    expect_that!(outcomes["invalid"], gt(seeds));
    expect_that!(outcomes["read"], gt(4 * seeds));
    println!("{outcomes:?}");
}

#[gtest]
fn stale_and_wiped_stores_answer_no_read_without_the_complete_replica() {
    let mut world = World::new(5, 3);
    world.advance_to(200_000);
    let names = world.names();
    // Commit an update at the first two stores alone.
    world.kill(&names[2], false);
    let first =
        parse_items(r#"{"upsert":{"services":{"column_names":["name","revision"],"records":[["s0",3]]}}}"#);
    world.send_request(&names[0], Request::Update(first));
    world.advance_to(400_000);
    expect_that!(world.outcomes.get("taken"), some(eq(&1)));
    world.kill(&names[0], true);
    world.wipe(&names[0]);
    world.kill(&names[1], true);
    // The third never received the update, and the first has lost it: they must not answer without the second.
    world.start(&names[2], false);
    world.start(&names[0], false);
    world.advance_to(1_000_000);
    world.send_request(&names[2], Request::Read);
    world.advance_to(2_200_000);
    expect_that!(world.outcomes.get("unsure"), some(eq(&1)));
    world.start(&names[1], false);
    world.advance_to(3_000_000);
    world.send_request(&names[0], Request::Read);
    world.advance_to(3_500_000);
    expect_that!(world.outcomes.get("read"), some(eq(&1)));
    expect_that!(world.machines[&names[0]].store.as_ref().map(Store::is_complete), some(eq(true)));
}

#[gtest]
fn all_machines_can_be_replaced_permanently_one_after_the_other() {
    let mut acknowledged_count = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, 3);
        world.advance_to(400_000);
        let mut revision = 10;
        for turn in 3..9 {
            let names = world.names();
            for name in &names {
                revision += 1;
                let update = random_tenant_update(&mut world.random, revision);
                world.send_request(name, update);
            }
            let wait = world.now + world.random.below(400_000);
            world.advance_to(wait);
            // A machine is removed with its disk, possibly in the middle of a membership change; the next one has a new
            // address, and the remaining machines are its seeds.
            let lost_machine = names[world.random.below(3) as usize].clone();
            world.kill(&lost_machine, true);
            world.machines.remove(&lost_machine);
            let next = format!("10.0.0.{turn}");
            world.seeds = names.into_iter().filter(|name| *name != lost_machine).collect();
            world.machines.insert(next.clone(), Machine { wiped: true, ..Machine::default() });
            let begin = world.now + world.random.below(1_500_000);
            world.advance_to(begin);
            world.start(&next, false);
            // To operators, a new machine counts as lost for this long; after that it has to vote.
            let synced_at = world.now + 4_000_000;
            world.advance_to(synced_at);
            assert!(
                world.machines[&next].store.as_ref().is_some_and(Store::is_voter),
                "seed {seed}: {next} does not vote"
            );
        }
        for name in world.names() {
            world.send_request(&name, Request::Read);
        }
        let end = world.now + 1_000_000;
        world.advance_to(end);
        assert_eq!(world.outcomes.get("read"), Some(&3), "seed {seed}");
        acknowledged_count += world.outcomes["taken"];
    }
    assert!(acknowledged_count > 100, "{acknowledged_count} of {} updates were acknowledged", 20 * 6 * 3);
}

#[gtest]
fn a_spare_store_replaces_a_failed_voter_and_a_second_loss_is_tolerated() {
    let mut world = World::new(7, 4);
    world.advance_to(2_000_000);
    let names = world.names();
    expect_that!(world.machines[&names[3]].store.as_ref().map(Store::is_voter), some(eq(false)));
    let update = |revision: u64| {
        let text = format!(
            r#"{{"upsert":{{"services":{{"column_names":["name","revision"],"records":[["s0",{revision}]]}}}}}}"#
        );
        Request::Update(parse_items(&text))
    };
    world.send_request(&names[0], update(3));
    world.advance_to(2_400_000);
    // One voter is lost permanently, and another 3.6 s later: with fixed voters nothing could be agreed on any more.
    world.kill(&names[0], true);
    world.advance_to(6_000_000);
    world.kill(&names[1], true);
    world.advance_to(6_100_000);
    world.send_request(&names[3], update(5));
    world.advance_to(8_000_000);
    expect_that!(world.outcomes.get("taken"), some(eq(&2)));
    // The first comes back with its old disk: it neither votes nor serves outdated items.
    world.start(&names[0], false);
    world.send_request(&names[0], Request::Read);
    world.advance_to(9_500_000);
    expect_that!(world.outcomes.get("read"), some(eq(&1)));
}

#[gtest]
fn a_lost_disk_is_replaced_without_waiting_and_keeps_the_previous_voters() {
    let mut world = World::new(11, 4);
    world.advance_to(2_000_000);
    let names = world.names();
    // The spare store replaces the first; right after that the second loses its disk.
    world.kill(&names[0], true);
    world.advance_to(5_000_000);
    let membership = |world: &World, name: &str| {
        world.machines[name].store.as_ref().map(|store| store.membership().clone()).expect("it runs")
    };
    expect_that!(membership(&world, &names[3]).names(), eq(&names[1..].to_vec()));
    world.kill(&names[1], true);
    world.wipe(&names[1]);
    world.advance_to(5_100_000);
    world.start(&names[1], false);
    world.advance_to(6_900_000);
    expect_that!(world.machines[&names[1]].store.as_ref().map(Store::is_voter), some(eq(true)));
    let now = membership(&world, &names[3]);
    expect_that!((now.epoch, now.previous), eq(&(3, names[..3].to_vec())));
}

#[gtest]
fn a_superseded_pending_batch_does_not_stay_pending_forever() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3);
        world.advance_to(1_000_000);
        let names = world.names();
        // One store accepts a change to a membership that it has already learned of from other messages; no commit follows
        // under that ballot.
        world.kill(&names[2], true);
        world.wipe(&names[2]);
        world.start(&names[2], false);
        let until = world.now + 1_000_000 + world.random.below(1_500_000);
        world.advance_to(until);
        let membership = world.machines[&names[0]].store.as_ref().map(|store| store.membership().clone());
        let batch = Batch { items: Vec::new(), membership };
        for name in &names {
            let high_ballot = Ballot::new(5_000, 7);
            let prepare = Message::Prepare {
                ballot: high_ballot,
                membership: batch.membership.clone().expect("it runs"),
                range_digests: Vec::new(),
            };
            world.step_store(name, Input::Message { from: "10.0.0.9".into(), message: prepare });
        }
        let until = world.now + 100_000;
        world.advance_to(until);
        let accept = Message::Accept { ballot: Ballot::new(5_000, 7), missing: Vec::new(), batch };
        world.step_store(&names[1], Input::Message { from: "10.0.0.9".into(), message: accept });
        let until = world.now + 4_000_000;
        world.advance_to(until);
        // With one store gone, confirmations of all others are needed.
        world.kill(&names[0], true);
        let until = world.now + 3_000_000;
        world.advance_to(until);
        for name in &names[1..] {
            let store = world.machines[name].store.as_ref().expect("it runs");
            assert!(store.is_current(world.now), "seed {seed}: {name} is not current");
        }
    }
}
