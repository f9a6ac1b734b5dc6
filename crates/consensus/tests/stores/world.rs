//! Stores with their machines, the network between them, and what operators were answered.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_config_state::hash::mix64;
use pinerelay_config_state::operator_call;
use pinerelay_config_state::rollout::RolloutChange;
use pinerelay_config_state::validation::check_references;
use pinerelay_config_state::{ItemSet, Key};
use pinerelay_consensus::{Input, Output, Reply, Request, Store};
use pinerelay_consensus::{Micros, StoreConfig};
use pinerelay_consensus::{PersistentState, StateChange};

pub struct SeededRandom(pub u64);

impl SeededRandom {
    pub fn below(&mut self, most: u64) -> u64 {
        self.0 = mix64(self.0.wrapping_add(0x9e37_79b9_7f4a_7c15));
        self.0 % most.max(1)
    }

    pub fn one_in(&mut self, one_in: u64) -> bool {
        self.below(one_in) == 0
    }
}

/// A machine: its disk, and the process on it, if it runs.
#[derive(Default)]
pub struct Machine {
    pub disk: Option<PersistentState>,
    pub store: Option<Store>,
    pub life: u64,
    /// Its disk was lost once.
    pub wiped: bool,
    /// Writes that are not on disk yet.
    pub unwritten: Vec<(Micros, u64, StateChange)>,
    pub stalled_until: Micros,
}

pub fn apply(disk: &mut Option<PersistentState>, change: &StateChange) {
    disk.get_or_insert_default().apply(change);
}

/// Three stores or more, the network between them, and what the operators have been told.
pub struct World {
    pub random: SeededRandom,
    pub now: Micros,
    pub machines: BTreeMap<String, Machine>,
    pub seeds: Vec<String>,
    /// How many machines may be lost at once.
    pub tolerated_losses: usize,
    pub wire: Vec<(Micros, String, String, pinerelay_consensus::Message)>,
    /// Who is cut off from all others until when.
    pub cut: (Option<String>, Micros),
    pub calls: BTreeMap<u64, Request>,
    pub next_call: u64,
    /// Of each item the newest version that was acknowledged before.
    pub acknowledged: BTreeMap<Key, u64>,
    /// Of each item the newest drop that was ever called for.
    pub drops: BTreeMap<Key, u64>,
    pub floor: BTreeMap<u64, BTreeMap<Key, u64>>,
    pub answers: BTreeMap<&'static str, u64>,
    pub rollouts: RolloutHistory,
    /// What was known of rollouts when a call was made.
    rollouts_before: BTreeMap<u64, RolloutHistory>,
}

/// What operators have been told of rollouts.
#[derive(Debug, Clone, Default)]
pub struct RolloutHistory {
    /// Services with an acknowledged order.
    ordered: BTreeSet<String>,
    /// How the rollouts to a target have ended, by service and target.
    pub ends: BTreeMap<(String, String), String>,
}

impl World {
    pub fn new(seed: u64, cores: usize) -> World {
        World::with_losses(seed, cores, 1)
    }

    pub fn with_losses(seed: u64, cores: usize, tolerated_losses: usize) -> World {
        let names: Vec<String> = (0..cores).map(|n| format!("10.0.0.{n}")).collect();
        let mut world = World {
            random: SeededRandom(seed),
            now: 0,
            machines: names.iter().map(|n| (n.clone(), Machine::default())).collect(),
            seeds: names.iter().take(3).cloned().collect(),
            tolerated_losses,
            wire: Vec::new(),
            cut: (None, 0),
            calls: BTreeMap::new(),
            next_call: 0,
            acknowledged: BTreeMap::new(),
            drops: BTreeMap::new(),
            floor: BTreeMap::new(),
            answers: BTreeMap::new(),
            rollouts: RolloutHistory::default(),
            rollouts_before: BTreeMap::new(),
        };
        names.iter().for_each(|name| world.start(name, true));
        world
    }

    pub fn start(&mut self, name: &str, first: bool) {
        let mut out = Vec::new();
        let seeds = self.seeds.clone();
        let machine = self.machines.get_mut(name).expect("a machine");
        machine.life += 1;
        let life = mix64(machine.life ^ name.len() as u64) ^ self.random.0;
        let birth = StoreConfig {
            name: name.into(),
            process_id: life,
            tolerated_losses: self.tolerated_losses,
            first_start: first,
            seeds,
        };
        machine.store = Some(Store::new(birth, machine.disk.clone(), &mut out));
        self.carry_out(name, out);
    }

    /// The process ends; with the power goes all that is not on disk, else what it gave to the disk gets there.
    pub fn kill(&mut self, name: &str, power: bool) {
        let machine = self.machines.get_mut(name).expect("a machine");
        machine.store = None;
        for (_, _, change) in std::mem::take(&mut machine.unwritten) {
            if !power {
                apply(&mut machine.disk, &change);
            }
        }
    }

    pub fn wipe(&mut self, name: &str) {
        let machine = self.machines.get_mut(name).expect("a machine");
        (machine.disk, machine.wiped) = (None, true);
    }

    pub fn give(&mut self, name: &str, input: Input) {
        let now = self.now;
        let Some(store) = self.machines.get_mut(name).and_then(|m| m.store.as_mut()) else { return };
        let mut out = Vec::new();
        store.step(now, input, &mut out);
        self.carry_out(name, out);
    }

    pub fn carry_out(&mut self, name: &str, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message: word } => {
                    if !self.random.one_in(100) {
                        let at = self.now + 500 + self.random.below(3_000);
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

    pub fn answered(&mut self, id: u64, reply: Reply) {
        let request = self.calls.remove(&id).expect("one answer to a call");
        let floor = self.floor.remove(&id).expect("what was acknowledged before");
        let rollouts_before = self.rollouts_before.remove(&id).unwrap_or_default();
        match (request, reply) {
            (Request::Update(items), Reply::Acknowledged) => {
                *self.answers.entry("taken").or_default() += 1;
                for item in items {
                    let newest = self.acknowledged.entry(item.key).or_default();
                    *newest = (*newest).max(item.version.revision);
                }
            }
            (Request::Read, Reply::Text(text)) => {
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
            (Request::ChangeRollout(change), Reply::Acknowledged) => {
                *self.answers.entry("rollout taken").or_default() += 1;
                if matches!(change, RolloutChange::Start { .. }) {
                    self.rollouts.ordered.insert(change.service().into());
                }
            }
            (Request::ReadRollout(service), Reply::Text(text)) => {
                self.rollout_read(&service, &text, &rollouts_before);
            }
            (Request::ReadRollout(service), Reply::Rejected(error)) => {
                let was_ordered = rollouts_before.ordered.contains(&service);
                assert!(!was_ordered, "the rollout of {service} is gone: {error}");
            }
            (_, Reply::Rejected(_)) => *self.answers.entry("invalid").or_default() += 1,
            (_, Reply::Unknown) => *self.answers.entry("unsure").or_default() += 1,
            (request, reply) => panic!("{reply:?} to {request:?}"),
        }
    }

    /// A rollout ends once and in one way, and what has ended is not under way any more.
    fn rollout_read(&mut self, service: &str, text: &str, before: &RolloutHistory) {
        *self.answers.entry("rollout read").or_default() += 1;
        let field = |name: &str| {
            let (_, rest) = text.split_once(&format!("\"{name}\":\""))?;
            rest.split_once('"').map(|(value, _)| value.to_string())
        };
        let (state, target) = (field("state").expect("a state"), field("target_version").expect("a target"));
        let rollout = (service.to_string(), target);
        if state == "serving" {
            assert_eq!(before.ends.get(&rollout), None, "{rollout:?} is under way again");
        } else {
            let end = self.rollouts.ends.entry(rollout.clone()).or_insert(state.clone());
            assert_eq!(*end, state, "{rollout:?} has ended in two ways");
        }
    }

    pub fn call(&mut self, name: &str, request: Request) {
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
        self.rollouts_before.insert(self.next_call, self.rollouts.clone());
        self.give(name, Input::Request { id: self.next_call, request });
    }

    pub fn pass(&mut self, until: Micros) {
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
    pub fn thin(&self) -> Option<String> {
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
        let least = if lost { 1 } else { self.tolerated_losses + 1 };
        let on = |key: &Key, revision: u64| disks.iter().filter(|d| d.get(key) >= Some(&revision)).count();
        let mut thin = self.acknowledged.iter().filter(|(key, revision)| on(key, **revision) < least);
        thin.next().map(|(key, revision)| format!("{key:?} at {revision} is on fewer than {least} disks"))
    }

    pub fn names(&self) -> Vec<String> {
        self.machines.keys().cloned().collect()
    }
}
