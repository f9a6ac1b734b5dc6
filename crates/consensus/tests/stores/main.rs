//! Stores under random load and faults: what was acknowledged stands, and what does not fit never does.

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

pub(crate) fn config(text: &str) -> Vec<Item> {
    operator_call::parse_update(text.as_bytes()).expect("a call")
}

/// A call that moves keys between tenants, or drops one; alone each fits, together many do not.
fn tenants(random: &mut SeededRandom, revision: u64) -> Request {
    let name = random.below(4);
    if random.one_in(6) {
        let text = format!(r#"{{"remove":{{"tenants":[{{"name":"t{name}","revision":{revision}}}]}}}}"#);
        return Request::Update(config(&text));
    }
    let keys = format!(r#"["k{}","k{}"]"#, random.below(6), random.below(6));
    Request::Update(config(&format!(
        r#"{{"upsert":{{"tenants":{{"column_names":["name","revision","api_keys"],
        "records":[["t{name}",{revision},{keys}]]}}}}}}"#
    )))
}

/// A service that goes, or a route that needs it.
fn service_or_route(random: &mut SeededRandom, revision: u64) -> Request {
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
    Request::Update(config(&text))
}

#[expect(clippy::too_many_lines, reason = "a table of cases, or one play with its checks")]
fn play(seed: u64, cores: usize) -> BTreeMap<&'static str, u64> {
    let mut world = World::new(seed, cores);
    world.pass(200_000);
    let names = world.names();
    let (mut down, mut back_at): (Option<(String, bool)>, Micros) = (None, 0);
    let mut lost_until = 0;
    for round in 1..160_u64 {
        let name = names[world.random.below(names.len() as u64) as usize].clone();
        let other = names[world.random.below(names.len() as u64) as usize].clone();
        match world.random.below(10) {
            0 | 1 => world.call(&name, Request::Read),
            // Two operators at once, at two stores.
            2..=5 => {
                let (one, two) =
                    (tenants(&mut world.random, round * 2), tenants(&mut world.random, round * 2 + 1));
                world.call(&name, one);
                world.call(&other, two);
            }
            _ => {
                let (one, two) = (
                    service_or_route(&mut world.random, round * 2),
                    service_or_route(&mut world.random, round * 2 + 1),
                );
                world.call(&name, one);
                world.call(&other, two);
            }
        }
        // One machine at a time may be lost, and for some seconds after it is back.
        if down.is_none() && world.now >= lost_until && world.random.one_in(6) {
            let lost = world.random.below(20_000);
            let at = world.now + lost;
            world.pass(at);
            let wiped = world.random.one_in(2);
            let power = wiped || world.random.one_in(2);
            world.kill(&name, power);
            if wiped {
                world.wipe(&name);
            }
            // At times all others lose their power, too, and come back.
            if world.random.one_in(4) {
                for other in names.iter().filter(|other| **other != name) {
                    world.kill(other, true);
                    world.start(other, false);
                }
                world.calls.clear();
                world.floor.clear();
            }
            let gone: BTreeSet<u64> = world.calls.keys().copied().collect();
            gone.into_iter().for_each(|id| {
                world.calls.remove(&id);
                world.floor.remove(&id);
            });
            // Calls under way at the others are not followed up.
            for other in names.iter().filter(|other| **other != name) {
                world.kill(other, false);
                world.start(other, false);
            }
            down = Some((name.clone(), wiped));
            back_at = world.now + world.random.below(1_500_000);
        } else if down.is_none() && world.now >= lost_until && world.random.one_in(8) {
            let until = world.now + world.random.below(2_000_000);
            world.cut = (Some(name.clone()), until);
            lost_until = until + 4_000_000;
        } else if world.random.one_in(10) {
            let until = world.now + world.random.below(600_000);
            world.machines.get_mut(&name).expect("a machine").stalled_until = until;
        }
        if let Some((name, _)) = down.clone().filter(|_| world.now >= back_at) {
            world.start(&name, false);
            down = None;
            lost_until = world.now + 4_000_000;
        }
        let pause = 20_000 + world.random.below(150_000);
        let until = world.now + pause;
        world.pass(until);
    }
    if let Some((name, _)) = down {
        world.start(&name, false);
    }
    let until = world.now + 5_000_000;
    world.pass(until);
    // Whichever store is asked knows all, and all copies are the same in the end.
    for name in &names {
        world.call(name, Request::Read);
    }
    let until = world.now + 2_000_000;
    world.pass(until);
    assert!(world.calls.is_empty(), "seed {seed}: {} calls without an answer", world.calls.len());
    let digests: BTreeSet<u64> =
        world.machines.values().filter_map(|m| Some(m.store.as_ref()?.items().digest())).collect();
    assert_eq!(digests.len(), 1, "seed {seed}: copies differ");
    let vote = world.machines.values().filter(|m| m.store.as_ref().is_some_and(Store::is_voter)).count();
    assert_eq!(vote, 3, "seed {seed}: three vote again");
    let whole = world.machines.values().filter(|m| m.store.as_ref().is_some_and(Store::is_complete)).count();
    assert_eq!(whole, cores, "seed {seed}: all copies are whole again");
    world.answers
}

#[gtest]
fn what_was_acknowledged_stands_and_what_does_not_fit_never_does() {
    let mut answers: BTreeMap<&str, u64> = BTreeMap::new();
    let seeds = std::env::var("DANCE_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(60);
    for seed in 0..seeds {
        for (what, times) in play(seed, 3 + (seed % 2) as usize) {
            *answers.entry(what).or_default() += times;
        }
    }
    // The plays do what they are meant to.
    expect_that!(answers["taken"], gt(answers["invalid"]));
    expect_that!(answers["invalid"], gt(seeds));
    expect_that!(answers["read"], gt(4 * seeds));
    println!("{answers:?}");
}

#[gtest]
fn a_store_that_lost_its_disk_is_no_copy_until_all_others_have_handed_theirs_over() {
    let mut world = World::new(5, 3);
    world.pass(200_000);
    let names = world.names();
    // PersistentState by the first two alone.
    world.kill(&names[2], false);
    let first =
        config(r#"{"upsert":{"services":{"column_names":["name","revision"],"records":[["s0",3]]}}}"#);
    world.call(&names[0], Request::Update(first));
    world.pass(400_000);
    expect_that!(world.answers.get("taken"), some(eq(&1)));
    world.kill(&names[0], true);
    world.wipe(&names[0]);
    world.kill(&names[1], true);
    // The third has never heard of it, and the first has lost it: they must not answer without the second.
    world.start(&names[2], false);
    world.start(&names[0], false);
    world.pass(1_000_000);
    world.call(&names[2], Request::Read);
    world.pass(2_200_000);
    expect_that!(world.answers.get("unsure"), some(eq(&1)));
    world.start(&names[1], false);
    world.pass(3_000_000);
    world.call(&names[0], Request::Read);
    world.pass(3_500_000);
    expect_that!(world.answers.get("read"), some(eq(&1)));
    expect_that!(world.machines[&names[0]].store.as_ref().map(Store::is_complete), some(eq(true)));
}

#[gtest]
fn machines_are_replaced_for_good_one_after_the_other_until_none_of_the_first_is_left() {
    let mut taken = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, 3);
        world.pass(400_000);
        let mut revision = 10;
        for turn in 3..9 {
            let names = world.names();
            for name in &names {
                revision += 1;
                let order = tenants(&mut world.random, revision);
                world.call(name, order);
            }
            let wait = world.now + world.random.below(400_000);
            world.pass(wait);
            // It goes with its disk, at times in the middle of a change; the next comes under a new address and is told of
            // those that are there.
            let gone = names[world.random.below(3) as usize].clone();
            world.kill(&gone, true);
            world.machines.remove(&gone);
            let next = format!("10.0.0.{turn}");
            world.seeds = names.into_iter().filter(|name| *name != gone).collect();
            world.machines.insert(next.clone(), Machine { wiped: true, ..Machine::default() });
            let begin = world.now + world.random.below(1_500_000);
            world.pass(begin);
            world.start(&next, false);
            // As long as the operators' bounds take a new machine for lost.
            let counts = world.now + 4_000_000;
            world.pass(counts);
            assert!(
                world.machines[&next].store.as_ref().is_some_and(Store::is_voter),
                "seed {seed}: {next} votes"
            );
        }
        for name in world.names() {
            world.call(&name, Request::Read);
        }
        let end = world.now + 1_000_000;
        world.pass(end);
        assert_eq!(world.answers.get("read"), Some(&3), "seed {seed}");
        taken += world.answers["taken"];
    }
    assert!(taken > 100, "{taken} orders of {} were taken", 20 * 6 * 3);
}

#[gtest]
fn a_spare_store_takes_the_place_of_one_that_is_gone_and_a_second_loss_is_borne() {
    let mut world = World::new(7, 4);
    world.pass(2_000_000);
    let names = world.names();
    expect_that!(world.machines[&names[3]].store.as_ref().map(Store::is_voter), some(eq(false)));
    let order = |revision: u64| {
        let text = format!(
            r#"{{"upsert":{{"services":{{"column_names":["name","revision"],"records":[["s0",{revision}]]}}}}}}"#
        );
        Request::Update(config(&text))
    };
    world.call(&names[0], order(3));
    world.pass(2_400_000);
    // Gone for good, and three seconds later another: with three that vote for ever nothing could be agreed on any more.
    world.kill(&names[0], true);
    world.pass(6_000_000);
    world.kill(&names[1], true);
    world.pass(6_100_000);
    world.call(&names[3], order(5));
    world.pass(8_000_000);
    expect_that!(world.answers.get("taken"), some(eq(&2)));
    // The first comes back with its old disk: it neither votes nor serves what is old.
    world.start(&names[0], false);
    world.call(&names[0], Request::Read);
    world.pass(9_500_000);
    expect_that!(world.answers.get("read"), some(eq(&1)));
}

#[gtest]
fn a_lost_disk_waits_for_no_pace_and_keeps_who_voted_before_a_recent_change_of_names() {
    let mut world = World::new(11, 4);
    world.pass(2_000_000);
    let names = world.names();
    // The spare takes the place of the first; right after that the second loses its disk.
    world.kill(&names[0], true);
    world.pass(5_000_000);
    let membership = |world: &World, name: &str| {
        world.machines[name].store.as_ref().map(|store| store.membership().clone()).expect("it runs")
    };
    expect_that!(membership(&world, &names[3]).names(), eq(&names[1..].to_vec()));
    world.kill(&names[1], true);
    world.wipe(&names[1]);
    world.pass(5_100_000);
    world.start(&names[1], false);
    world.pass(6_900_000);
    expect_that!(world.machines[&names[1]].store.as_ref().map(Store::is_voter), some(eq(true)));
    let now = membership(&world, &names[3]);
    expect_that!((now.epoch, now.previous), eq(&(3, names[..3].to_vec())));
}

#[gtest]
fn what_is_pending_and_has_been_overtaken_does_not_pend_for_ever() {
    for seed in 0..20 {
        let mut world = World::new(seed, 3);
        world.pass(1_000_000);
        let names = world.names();
        // A change of the membership is put at a machine that hears of its end by another way, and of the put after that.
        world.kill(&names[2], true);
        world.wipe(&names[2]);
        world.start(&names[2], false);
        let until = world.now + 1_000_000 + world.random.below(1_500_000);
        world.pass(until);
        let membership = world.machines[&names[0]].store.as_ref().map(|store| store.membership().clone());
        let batch = Batch { items: Vec::new(), membership };
        for name in &names {
            let highest = Ballot::new(5_000, 7);
            let ask = Message::Prepare {
                ballot: highest,
                membership: batch.membership.clone().expect("it runs"),
                range_digests: Vec::new(),
            };
            world.give(name, Input::Message { from: "10.0.0.9".into(), message: ask });
        }
        let until = world.now + 100_000;
        world.pass(until);
        let put = Message::Accept { ballot: Ballot::new(5_000, 7), missing: Vec::new(), batch };
        world.give(&names[1], Input::Message { from: "10.0.0.9".into(), message: put });
        let until = world.now + 4_000_000;
        world.pass(until);
        // With one gone the word of all others is needed.
        world.kill(&names[0], true);
        let until = world.now + 3_000_000;
        world.pass(until);
        for name in &names[1..] {
            let store = world.machines[name].store.as_ref().expect("it runs");
            assert!(store.is_current(world.now), "seed {seed}: {name} is not current");
        }
    }
}
