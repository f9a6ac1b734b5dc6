//! A simulated deployment: stores on machines with disks, the network between them, and the outcomes of client requests.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_config_state::hash::mix64;
use pinerelay_config_state::operator_call;
use pinerelay_config_state::rollout::RolloutChange;
use pinerelay_config_state::validation::check_references;
use pinerelay_config_state::{ItemSet, Key};
use pinerelay_consensus::{Input, Output, Reply, Request, Store};
use pinerelay_consensus::{Micros, StoreConfig};
use pinerelay_consensus::{PersistentState, StateChange};

/// A seeded random number generator.
pub struct SeededRandom(pub u64);

impl SeededRandom {
    /// A random number below `bound`; 0 if that is 0.
    pub fn below(&mut self, bound: u64) -> u64 {
        self.0 = mix64(self.0.wrapping_add(0x9e37_79b9_7f4a_7c15));
        self.0 % bound.max(1)
    }

    /// True with a probability of 1 / `one_in`.
    pub fn one_in(&mut self, one_in: u64) -> bool {
        self.below(one_in) == 0
    }
}

/// A machine: its disk, and the store process on it.
#[derive(Default)]
pub struct Machine {
    /// `None` if the disk is empty.
    pub disk: Option<PersistentState>,
    /// `None` if the process does not run.
    pub store: Option<Store>,
    /// How many processes were started on the machine.
    pub process_count: u64,
    /// Whether its disk was lost, or it replaces a lost machine.
    pub wiped: bool,
    /// Writes that are not durable yet: when they will be, their ids and their changes.
    pub unwritten: Vec<(Micros, u64, StateChange)>,
    /// New writes are not durable before this time.
    pub stalled_until: Micros,
}

pub fn apply(disk: &mut Option<PersistentState>, change: &StateChange) {
    disk.get_or_insert_default().apply(change);
}

/// Three or more stores, the network between them, and the outcomes of client requests.
pub struct World {
    pub random: SeededRandom,
    pub now: Micros,
    pub machines: BTreeMap<String, Machine>,
    /// The seeds of the stores that are started from now on.
    pub seeds: Vec<String>,
    /// How many machines may be lost at once.
    pub tolerated_losses: usize,
    /// Messages in flight: time of delivery, sender, receiver, message.
    pub in_flight: Vec<(Micros, String, String, pinerelay_consensus::Message)>,
    /// The machine that is cut off from all others, and until when.
    pub isolated: (Option<String>, Micros),
    /// Requests without a reply, by id.
    pub open_requests: BTreeMap<u64, Request>,
    pub last_request_id: u64,
    /// The newest acknowledged revision of each item.
    pub acknowledged: BTreeMap<Key, u64>,
    /// The newest revision of each item at which its removal was ever requested.
    pub removals: BTreeMap<Key, u64>,
    /// `acknowledged` at the time of each request without a reply: reads must not return anything older.
    pub acknowledged_before: BTreeMap<u64, BTreeMap<Key, u64>>,
    /// The number of replies by outcome: `taken` and `rollout taken` are acknowledged changes, `unsure` are unknown outcomes.
    pub outcomes: BTreeMap<&'static str, u64>,
    /// What replies have shown of rollouts so far.
    pub rollouts: RolloutHistory,
    /// `rollouts` at the time of each request without a reply.
    rollouts_before: BTreeMap<u64, RolloutHistory>,
}

/// The state of rollouts as known from replies.
#[derive(Debug, Clone, Default)]
pub struct RolloutHistory {
    /// The services with an acknowledged order to start a rollout.
    ordered: BTreeSet<String>,
    /// The final states of rollouts, by service and target version.
    pub final_states: BTreeMap<(String, String), String>,
}

impl World {
    /// A deployment that tolerates the loss of one machine.
    pub fn new(seed: u64, store_count: usize) -> World {
        World::with_tolerated_losses(seed, store_count, 1)
    }

    pub fn with_tolerated_losses(seed: u64, store_count: usize, tolerated_losses: usize) -> World {
        let names: Vec<String> = (0..store_count).map(|n| format!("10.0.0.{n}")).collect();
        let mut world = World {
            random: SeededRandom(seed),
            now: 0,
            machines: names.iter().map(|n| (n.clone(), Machine::default())).collect(),
            seeds: names.iter().take(3).cloned().collect(),
            tolerated_losses,
            in_flight: Vec::new(),
            isolated: (None, 0),
            open_requests: BTreeMap::new(),
            last_request_id: 0,
            acknowledged: BTreeMap::new(),
            removals: BTreeMap::new(),
            acknowledged_before: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            rollouts: RolloutHistory::default(),
            rollouts_before: BTreeMap::new(),
        };
        names.iter().for_each(|name| world.start(name, true));
        world
    }

    /// Starts a store process on a machine, with what its disk holds.
    pub fn start(&mut self, name: &str, is_first_start: bool) {
        let mut out = Vec::new();
        let seeds = self.seeds.clone();
        let machine = self.machines.get_mut(name).expect("a machine");
        machine.process_count += 1;
        let unique_id = mix64(machine.process_count ^ name.len() as u64) ^ self.random.0;
        let store_config = StoreConfig {
            name: name.into(),
            process_id: unique_id,
            tolerated_losses: self.tolerated_losses,
            first_start: is_first_start,
            seeds,
        };
        machine.store = Some(Store::new(store_config, machine.disk.clone(), &mut out));
        self.execute_outputs(name, out);
    }

    /// Ends the process on a machine. If the machine loses its power, the writes that are not durable are lost; otherwise
    /// they still reach the disk.
    pub fn kill(&mut self, name: &str, power_loss: bool) {
        let machine = self.machines.get_mut(name).expect("a machine");
        machine.store = None;
        for (_, _, change) in std::mem::take(&mut machine.unwritten) {
            if !power_loss {
                apply(&mut machine.disk, &change);
            }
        }
    }

    /// Empties the disk of a machine.
    pub fn wipe(&mut self, name: &str) {
        let machine = self.machines.get_mut(name).expect("a machine");
        (machine.disk, machine.wiped) = (None, true);
    }

    /// Passes an input to the store on a machine, if it runs.
    pub fn step_store(&mut self, name: &str, input: Input) {
        let now = self.now;
        let Some(store) = self.machines.get_mut(name).and_then(|m| m.store.as_mut()) else { return };
        let mut out = Vec::new();
        store.step(now, input, &mut out);
        self.execute_outputs(name, out);
    }

    /// Executes a store's outputs. One message in a hundred is lost, the others arrive after a random delay.
    pub fn execute_outputs(&mut self, name: &str, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message: msg } => {
                    if !self.random.one_in(100) {
                        let at = self.now + 500 + self.random.below(3_000);
                        self.in_flight.push((at, name.into(), to, msg));
                    }
                }
                Output::Write { id: write_id, change } => {
                    let machine = self.machines.get_mut(name).expect("a machine");
                    let after = machine.unwritten.last().map_or(0, |w| w.0).max(machine.stalled_until);
                    machine.unwritten.push((after.max(self.now) + 5_000, write_id, change));
                }
                Output::Reply { id, reply } => self.on_reply(id, reply),
                Output::Committed(items) => {
                    assert!(!items.is_empty());
                }
            }
        }
    }

    /// Counts a reply and checks it against the replies that came before the request.
    pub fn on_reply(&mut self, id: u64, reply: Reply) {
        let request = self.open_requests.remove(&id).expect("a reply to an open request");
        let acknowledged_before = self
            .acknowledged_before
            .remove(&id)
            .expect("a record of what was acknowledged before the request");
        let rollouts_before = self.rollouts_before.remove(&id).unwrap_or_default();
        match (request, reply) {
            (Request::Update(items), Reply::Acknowledged) => {
                *self.outcomes.entry("taken").or_default() += 1;
                for item in items {
                    let newest = self.acknowledged.entry(item.key).or_default();
                    *newest = (*newest).max(item.version.revision);
                }
            }
            (Request::Read, Reply::Text(text)) => {
                *self.outcomes.entry("read").or_default() += 1;
                let live_items = operator_call::parse_update(format!("{{\"upsert\":{text}}}").as_bytes())
                    .expect("a valid configuration");
                let mut all = ItemSet::default();
                all.merge_all(live_items.iter().cloned());
                // One replica may miss some items for a moment; what a majority holds is always valid.
                check_references(&all).expect("all references resolve");
                let versions: BTreeMap<&Key, u64> =
                    live_items.iter().map(|i| (&i.key, i.version.revision)).collect();
                for (key, newest) in &acknowledged_before {
                    match versions.get(key) {
                        Some(version) => {
                            assert!(version >= newest, "{key:?}: {version} is older than {newest}")
                        }
                        // The item may only be missing because of a removal that is as new as the acknowledged revision.
                        None => assert!(self.removals.get(key) >= Some(newest), "{key:?} is missing"),
                    }
                }
            }
            (Request::ChangeRollout(change), Reply::Acknowledged) => {
                *self.outcomes.entry("rollout taken").or_default() += 1;
                if matches!(change, RolloutChange::Start { .. }) {
                    self.rollouts.ordered.insert(change.service().into());
                }
            }
            (Request::ReadRollout(service), Reply::Text(text)) => {
                self.check_rollout_read(&service, &text, &rollouts_before);
            }
            (Request::ReadRollout(service), Reply::Rejected(error)) => {
                let was_ordered = rollouts_before.ordered.contains(&service);
                assert!(!was_ordered, "the rollout of {service} is gone: {error}");
            }
            (_, Reply::Rejected(_)) => *self.outcomes.entry("invalid").or_default() += 1,
            (_, Reply::Unknown) => *self.outcomes.entry("unsure").or_default() += 1,
            (request, reply) => panic!("{reply:?} to {request:?}"),
        }
    }

    /// Checks that a rollout has only one final state, and is not in progress once it has ended.
    fn check_rollout_read(&mut self, service: &str, text: &str, before: &RolloutHistory) {
        *self.outcomes.entry("rollout read").or_default() += 1;
        let field = |name: &str| {
            let (_, rest) = text.split_once(&format!("\"{name}\":\""))?;
            rest.split_once('"').map(|(value, _)| value.to_string())
        };
        let (state, target) = (field("state").expect("a state"), field("target_version").expect("a target"));
        let rollout = (service.to_string(), target);
        if state == "serving" {
            assert_eq!(
                before.final_states.get(&rollout),
                None,
                "{rollout:?} is in progress again after its end"
            );
        } else {
            let final_state = self.rollouts.final_states.entry(rollout.clone()).or_insert(state.clone());
            assert_eq!(*final_state, state, "{rollout:?} has two final states");
        }
    }

    /// Sends a client request to the store on a machine, if it runs.
    pub fn send_request(&mut self, name: &str, request: Request) {
        if self.machines[name].store.is_none() {
            return;
        }
        self.last_request_id += 1;
        if let Request::Update(items) = &request {
            for item in items.iter().filter(|item| item.value.is_none()) {
                let newest = self.removals.entry(item.key.clone()).or_default();
                *newest = (*newest).max(item.version.revision);
            }
        }
        self.open_requests.insert(self.last_request_id, request.clone());
        self.acknowledged_before.insert(self.last_request_id, self.acknowledged.clone());
        self.rollouts_before.insert(self.last_request_id, self.rollouts.clone());
        self.step_store(name, Input::Request { id: self.last_request_id, request });
    }

    /// Advances the time in steps of one millisecond. Delivers the messages that are due, except that those between the
    /// isolated machine and the others are lost; completes the writes that are due; ticks every running store each 20 ms; and
    /// asserts each 10 ms that no acknowledged item is on too few disks.
    pub fn advance_to(&mut self, until: Micros) {
        while self.now < until {
            self.now += 1_000;
            let (isolated, isolated_until) = self.isolated.clone();
            let are_separated =
                |a: &str, b: &str| self.now < isolated_until && isolated.iter().any(|c| (c == a) != (c == b));
            let now = self.now;
            let (due, remaining): (Vec<_>, Vec<_>) =
                std::mem::take(&mut self.in_flight).into_iter().partition(|(at, ..)| *at <= now);
            self.in_flight = remaining;
            let due: Vec<_> = due.into_iter().filter(|(_, from, to, _)| !are_separated(from, to)).collect();
            for (_, from, to, msg) in due {
                self.step_store(&to, Input::Message { from, message: msg });
            }
            for name in self.machines.keys().cloned().collect::<Vec<_>>() {
                let machine = self.machines.get_mut(&name).expect("a machine");
                let mut written = Vec::new();
                while machine.unwritten.first().is_some_and(|w| w.0 <= now) {
                    let (_, write_id, change) = machine.unwritten.remove(0);
                    apply(&mut machine.disk, &change);
                    written.push(write_id);
                }
                written.into_iter().for_each(|write_id| {
                    self.step_store(&name, Input::WriteCompleted { id: write_id, succeeded: true })
                });
                if now.is_multiple_of(10_000) {
                    assert_eq!(self.under_replicated(), None, "at {now}");
                }
                if now.is_multiple_of(20_000) {
                    self.step_store(&name, Input::Tick);
                }
            }
        }
    }

    /// Describes an acknowledged item that is on too few disks, committed or pending; `None` if there is none.
    pub fn under_replicated(&self) -> Option<String> {
        let mut disks = Vec::new();
        for disk_state in self.machines.values().filter_map(|machine| machine.disk.as_ref()) {
            let pending = disk_state.pending.iter().flat_map(|batch| &batch.items);
            let mut newest: BTreeMap<&Key, u64> = BTreeMap::new();
            for item in disk_state.items.iter().chain(pending) {
                let on_disk = newest.entry(&item.key).or_default();
                *on_disk = (*on_disk).max(item.version.revision);
            }
            disks.push(newest);
        }
        // From the loss of a disk until its store votes again, one copy is enough.
        let is_disk_lost =
            self.machines.values().any(|m| m.wiped && !m.store.as_ref().is_some_and(Store::is_voter));
        let min_copies = if is_disk_lost { 1 } else { self.tolerated_losses + 1 };
        let copies =
            |key: &Key, revision: u64| disks.iter().filter(|d| d.get(key) >= Some(&revision)).count();
        let mut under_replicated =
            self.acknowledged.iter().filter(|(key, revision)| copies(key, **revision) < min_copies);
        under_replicated
            .next()
            .map(|(key, revision)| format!("{key:?} at {revision} is on fewer than {min_copies} disks"))
    }

    pub fn names(&self) -> Vec<String> {
        self.machines.keys().cloned().collect()
    }
}
