//! Stores under random load and faults: what was acknowledged stands, and what does not fit never does.

use std::collections::{BTreeMap, BTreeSet};

use googletest::prelude::*;
use pinerelay_config_state::hash::mix64;
use pinerelay_config_state::operator_call;
use pinerelay_config_state::validation::check_references;
use pinerelay_config_state::{Item, ItemSet, Key};
use pinerelay_consensus::{Ballot, Batch, Input, Message, Output, Reply, Request, Store};
use pinerelay_consensus::{Micros, StoreConfig};
use pinerelay_consensus::{PersistentState, StateChange};

struct Lot(u64);

impl Lot {
    fn upto(&mut self, most: u64) -> u64 {
        self.0 = mix64(self.0.wrapping_add(0x9e37_79b9_7f4a_7c15));
        self.0 % most.max(1)
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.upto(one_in) == 0
    }
}

/// A machine: its disk, and the process on it, if it runs.
#[derive(Default)]
struct Machine {
    disk: Option<PersistentState>,
    store: Option<Store>,
    life: u64,
    /// Its disk was lost once.
    wiped: bool,
    /// Writes that are not on disk yet.
    unwritten: Vec<(Micros, u64, StateChange)>,
    stalled_until: Micros,
}

fn apply(disk: &mut Option<PersistentState>, change: &StateChange) {
    disk.get_or_insert_default().apply(change);
}

/// Three stores or more, the network between them, and what the operators have been told.
struct World {
    lot: Lot,
    now: Micros,
    machines: BTreeMap<String, Machine>,
    seeds: Vec<String>,
    wire: Vec<(Micros, String, String, pinerelay_consensus::Message)>,
    /// Who is cut off from all others until when.
    cut: (Option<String>, Micros),
    calls: BTreeMap<u64, Request>,
    next_call: u64,
    /// Of each item the newest version that was acknowledged before.
    acknowledged: BTreeMap<Key, u64>,
    /// Of each item the newest drop that was ever called for.
    drops: BTreeMap<Key, u64>,
    floor: BTreeMap<u64, BTreeMap<Key, u64>>,
    answers: BTreeMap<&'static str, u64>,
}

impl World {
    fn new(seed: u64, cores: usize) -> World {
        let names: Vec<String> = (0..cores).map(|n| format!("10.0.0.{n}")).collect();
        let mut world = World {
            lot: Lot(seed),
            now: 0,
            machines: names.iter().map(|n| (n.clone(), Machine::default())).collect(),
            seeds: names.iter().take(3).cloned().collect(),
            wire: Vec::new(),
            cut: (None, 0),
            calls: BTreeMap::new(),
            next_call: 0,
            acknowledged: BTreeMap::new(),
            drops: BTreeMap::new(),
            floor: BTreeMap::new(),
            answers: BTreeMap::new(),
        };
        names.iter().for_each(|name| world.start(name, true));
        world
    }

    fn start(&mut self, name: &str, first: bool) {
        let mut out = Vec::new();
        let seeds = self.seeds.clone();
        let machine = self.machines.get_mut(name).expect("a machine");
        machine.life += 1;
        let life = mix64(machine.life ^ name.len() as u64) ^ self.lot.0;
        let birth = StoreConfig {
            name: name.into(),
            process_id: life,
            tolerated_losses: 1,
            first_start: first,
            seeds,
        };
        machine.store = Some(Store::new(birth, machine.disk.clone(), &mut out));
        self.carry_out(name, out);
    }

    /// The process ends; with the power goes all that is not on disk, else what it gave to the disk gets there.
    fn kill(&mut self, name: &str, power: bool) {
        let machine = self.machines.get_mut(name).expect("a machine");
        machine.store = None;
        for (_, _, change) in std::mem::take(&mut machine.unwritten) {
            if !power {
                apply(&mut machine.disk, &change);
            }
        }
    }

    fn wipe(&mut self, name: &str) {
        let machine = self.machines.get_mut(name).expect("a machine");
        (machine.disk, machine.wiped) = (None, true);
    }

    fn give(&mut self, name: &str, input: Input) {
        let now = self.now;
        let Some(store) = self.machines.get_mut(name).and_then(|m| m.store.as_mut()) else { return };
        let mut out = Vec::new();
        store.step(now, input, &mut out);
        self.carry_out(name, out);
    }

    fn carry_out(&mut self, name: &str, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message: word } => {
                    if !self.lot.chance(100) {
                        let at = self.now + 500 + self.lot.upto(3_000);
                        self.wire.push((at, name.into(), to, word));
                    }
                }
                Output::Write { id: token, change } => {
                    let machine = self.machines.get_mut(name).expect("a machine");
                    let after = machine.unwritten.last().map_or(0, |w| w.0).max(machine.stalled_until);
                    machine.unwritten.push((after.max(self.now) + 5_000, token, change));
                }
                Output::Reply { id, reply } => self.answered(id, reply),
                Output::Committed(items) => {
                    assert!(!items.is_empty());
                }
            }
        }
    }

    fn answered(&mut self, id: u64, reply: Reply) {
        let request = self.calls.remove(&id).expect("one answer to a call");
        let floor = self.floor.remove(&id).expect("what was acknowledged before");
        match (request, reply) {
            (Request::Update(items), Reply::Acknowledged) => {
                *self.answers.entry("taken").or_default() += 1;
                for item in items {
                    let newest = self.acknowledged.entry(item.key).or_default();
                    *newest = (*newest).max(item.version.revision);
                }
            }
            (Request::Read, Reply::Configuration(text)) => {
                *self.answers.entry("read").or_default() += 1;
                let stands = operator_call::parse_update(format!("{{\"upsert\":{text}}}").as_bytes())
                    .expect("what stands");
                let mut all = ItemSet::default();
                all.merge_all(stands.iter().cloned());
                // A copy may miss some items for a moment; what a majority holds always fits.
                check_references(&all).expect("what stands fits");
                let versions: BTreeMap<&Key, u64> =
                    stands.iter().map(|i| (&i.key, i.version.revision)).collect();
                for (key, newest) in &floor {
                    match versions.get(key) {
                        Some(version) => {
                            assert!(version >= newest, "{key:?}: {version} is older than {newest}")
                        }
                        // Only a drop takes it away that is the newest that was acknowledged, or newer.
                        None => assert!(self.drops.get(key) >= Some(newest), "{key:?} is missing"),
                    }
                }
            }
            (_, Reply::Rejected(_)) => *self.answers.entry("invalid").or_default() += 1,
            (_, Reply::Unknown) => *self.answers.entry("unsure").or_default() += 1,
            (request, reply) => panic!("{reply:?} to {request:?}"),
        }
    }

    fn call(&mut self, name: &str, request: Request) {
        if self.machines[name].store.is_none() {
            return;
        }
        self.next_call += 1;
        if let Request::Update(items) = &request {
            for item in items.iter().filter(|item| item.value.is_none()) {
                let newest = self.drops.entry(item.key.clone()).or_default();
                *newest = (*newest).max(item.version.revision);
            }
        }
        self.calls.insert(self.next_call, request.clone());
        self.floor.insert(self.next_call, self.acknowledged.clone());
        self.give(name, Input::Request { id: self.next_call, request });
    }

    fn pass(&mut self, until: Micros) {
        while self.now < until {
            self.now += 1_000;
            let (cut, cut_until) = self.cut.clone();
            let apart = |a: &str, b: &str| self.now < cut_until && cut.iter().any(|c| (c == a) != (c == b));
            let now = self.now;
            let (due, left): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.wire).into_iter().partition(|(at, ..)| *at <= now);
            self.wire = left;
            let due: Vec<_> = due.into_iter().filter(|(_, from, to, _)| !apart(from, to)).collect();
            for (_, from, to, word) in due {
                self.give(&to, Input::Message { from, message: word });
            }
            for name in self.machines.keys().cloned().collect::<Vec<_>>() {
                let machine = self.machines.get_mut(&name).expect("a machine");
                let mut written = Vec::new();
                while machine.unwritten.first().is_some_and(|w| w.0 <= now) {
                    let (_, token, change) = machine.unwritten.remove(0);
                    apply(&mut machine.disk, &change);
                    written.push(token);
                }
                written
                    .into_iter()
                    .for_each(|token| self.give(&name, Input::WriteCompleted { id: token, succeeded: true }));
                if now.is_multiple_of(10_000) {
                    assert_eq!(self.thin(), None, "at {now}");
                }
                if now.is_multiple_of(20_000) {
                    self.give(&name, Input::Tick);
                }
            }
        }
    }

    /// On how many disks each acknowledged item is at least, settled or put; and one that is not on enough.
    fn thin(&self) -> Option<String> {
        let mut disks = Vec::new();
        for kept in self.machines.values().filter_map(|machine| machine.disk.as_ref()) {
            let pending = kept.pending.iter().flat_map(|batch| &batch.items);
            let mut newest: BTreeMap<&Key, u64> = BTreeMap::new();
            for item in kept.items.iter().chain(pending) {
                let there = newest.entry(&item.key).or_default();
                *there = (*there).max(item.version.revision);
            }
            disks.push(newest);
        }
        // A disk that was lost counts again once its store votes.
        let lost = self.machines.values().any(|m| m.wiped && !m.store.as_ref().is_some_and(Store::is_voter));
        let least = if lost { 1 } else { 2 };
        let on = |key: &Key, revision: u64| disks.iter().filter(|d| d.get(key) >= Some(&revision)).count();
        let mut thin = self.acknowledged.iter().filter(|(key, revision)| on(key, **revision) < least);
        thin.next().map(|(key, revision)| format!("{key:?} at {revision} is on fewer than {least} disks"))
    }

    fn names(&self) -> Vec<String> {
        self.machines.keys().cloned().collect()
    }
}

fn config(text: &str) -> Vec<Item> {
    operator_call::parse_update(text.as_bytes()).expect("a call")
}

/// A call that moves keys between tenants, or drops one; alone each fits, together many do not.
fn tenants(lot: &mut Lot, revision: u64) -> Request {
    let name = lot.upto(4);
    if lot.chance(6) {
        let text = format!(r#"{{"remove":{{"tenants":[{{"name":"t{name}","revision":{revision}}}]}}}}"#);
        return Request::Update(config(&text));
    }
    let keys = format!(r#"["k{}","k{}"]"#, lot.upto(6), lot.upto(6));
    Request::Update(config(&format!(
        r#"{{"upsert":{{"tenants":{{"column_names":["name","revision","api_keys"],
        "records":[["t{name}",{revision},{keys}]]}}}}}}"#
    )))
}

/// A service that goes, or a route that needs it.
fn service_or_route(lot: &mut Lot, revision: u64) -> Request {
    let service = lot.upto(2);
    let text = match lot.upto(3) {
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
        let name = names[world.lot.upto(names.len() as u64) as usize].clone();
        let other = names[world.lot.upto(names.len() as u64) as usize].clone();
        match world.lot.upto(10) {
            0 | 1 => world.call(&name, Request::Read),
            // Two operators at once, at two stores.
            2..=5 => {
                let (one, two) = (tenants(&mut world.lot, round * 2), tenants(&mut world.lot, round * 2 + 1));
                world.call(&name, one);
                world.call(&other, two);
            }
            _ => {
                let (one, two) = (
                    service_or_route(&mut world.lot, round * 2),
                    service_or_route(&mut world.lot, round * 2 + 1),
                );
                world.call(&name, one);
                world.call(&other, two);
            }
        }
        // One machine at a time may be lost, and for some seconds after it is back.
        if down.is_none() && world.now >= lost_until && world.lot.chance(6) {
            let lost = world.lot.upto(20_000);
            let at = world.now + lost;
            world.pass(at);
            let wiped = world.lot.chance(2);
            let power = wiped || world.lot.chance(2);
            world.kill(&name, power);
            if wiped {
                world.wipe(&name);
            }
            // At times all others lose their power, too, and come back.
            if world.lot.chance(4) {
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
            back_at = world.now + world.lot.upto(1_500_000);
        } else if down.is_none() && world.now >= lost_until && world.lot.chance(8) {
            let until = world.now + world.lot.upto(2_000_000);
            world.cut = (Some(name.clone()), until);
            lost_until = until + 4_000_000;
        } else if world.lot.chance(10) {
            let until = world.now + world.lot.upto(600_000);
            world.machines.get_mut(&name).expect("a machine").stalled_until = until;
        }
        if let Some((name, _)) = down.clone().filter(|_| world.now >= back_at) {
            world.start(&name, false);
            down = None;
            lost_until = world.now + 4_000_000;
        }
        let pause = 20_000 + world.lot.upto(150_000);
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
                let order = tenants(&mut world.lot, revision);
                world.call(name, order);
            }
            let wait = world.now + world.lot.upto(400_000);
            world.pass(wait);
            // It goes with its disk, at times in the middle of a change; the next comes under a new address and is told of
            // those that are there.
            let gone = names[world.lot.upto(3) as usize].clone();
            world.kill(&gone, true);
            world.machines.remove(&gone);
            let next = format!("10.0.0.{turn}");
            world.seeds = names.into_iter().filter(|name| *name != gone).collect();
            world.machines.insert(next.clone(), Machine { wiped: true, ..Machine::default() });
            let begin = world.now + world.lot.upto(1_500_000);
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
        let until = world.now + 1_000_000 + world.lot.upto(1_500_000);
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
