//! Operators' orders and their answers: one content under one revision, nothing refused that was taken, and each answer its
//! own call's.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_config_state::item::Version;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{Item, ItemSet, Key, Kind};
use pinerelay_peer_link::message::Role;

use crate::check::{Invariant, CONTACT};
use crate::outside::What;
use crate::plan::Micros;
use crate::process::{Body, Proc};
use crate::world::{Event, World};

/// What stands for the content of an item that is dropped.
const DROPPED: u64 = u64::MAX;

/// What was answered to orders.
#[derive(Default)]
pub struct Orders {
    /// By item and revision: the content that was confirmed first.
    confirmed: BTreeMap<(Key, u64), Version>,
    /// All versions that were confirmed.
    taken: BTreeSet<(Key, Version)>,
    /// By item: the newest revision that was confirmed, and when its call had come: a disk that was lost since may have been
    /// one of those that it was confirmed by.
    pub vowed: BTreeMap<Key, (u64, Micros)>,
    /// Every order of this play fits whatever stands: none may be refused.
    pub all_fit: bool,
}

/// A call that a registry has.
pub struct Asked {
    /// The call, and at which try.
    pub id: u64,
    /// The try.
    pub tries: u32,
    /// When it came.
    pub at: Micros,
    /// What is called for.
    pub what: What,
}

impl Orders {
    /// An order is confirmed; `newest` tells the newest revision of an item that any store has.
    fn confirm(
        &mut self,
        came: Micros,
        items: &[Item],
        newest: impl Fn(&Key) -> Option<u64>,
    ) -> Option<String> {
        let mut broken = None;
        for item in items {
            let (key, revision) = (item.key.clone(), item.version.revision);
            let first = *self.confirmed.entry((key.clone(), revision)).or_insert(item.version);
            // One that a higher revision has overtaken has no effect, whatever it holds.
            if first != item.version && newest(&key).is_none_or(|newest| newest <= revision) {
                broken = Some(format!("two contents of {key:?} are confirmed under {revision}"));
            }
            self.taken.insert((key.clone(), item.version));
            let vowed = self.vowed.entry(key).or_insert((revision, came));
            if vowed.0 < revision {
                *vowed = (revision, came);
            }
        }
        broken
    }

    /// Whether all of an order was confirmed before.
    fn was_taken(&self, items: &[Item]) -> bool {
        items.iter().all(|item| self.taken.contains(&(item.key.clone(), item.version)))
    }

    /// Whether it was confirmed that an item is set under a revision.
    pub fn was_set(&self, key: &Key, revision: u64) -> bool {
        let confirmed = self.confirmed.get(&(key.clone(), revision));
        confirmed.is_some_and(|confirmed| confirmed.tie_breaker != DROPPED)
    }

    /// A read has another content than the one confirmed.
    pub fn differs(&self, stands: &ItemSet) -> Option<String> {
        let other = |item: &&Item| {
            let confirmed = self.confirmed.get(&(item.key.clone(), item.version.revision));
            confirmed.is_some_and(|confirmed| *confirmed != item.version)
        };
        let item = stands.iter().find(other)?;
        Some(format!("a read has another content of {:?} than was confirmed", item.key))
    }
}

impl World {
    /// The newest revision of an item that any store has, safe or in memory.
    fn newest(&self, key: &Key) -> Option<u64> {
        let here = |core: usize| {
            let there = match &self.procs[self.places.store(core)].body {
                Some(Body::Store(desk)) => desk.store().items().get(key).map(|item| item.version.revision),
                _ => None,
            };
            there.max(self.disks[core].holds(key))
        };
        (0..self.places.cores).filter_map(here).max()
    }

    /// A registry answers a call.
    pub fn answered(&mut self, proc: Proc, number: u64, status: u16, body: String) {
        let life = self.procs[proc].life;
        let Some(asked) = self.outside.with.remove(&(proc, life, number)) else {
            let what = format!("process {proc} answers call {number}, which it has not or has answered");
            return self.ledger.broken(Invariant::WhoseAnswer, what);
        };
        let refused = (400..500).contains(&status);
        if status == 200 || refused {
            self.judge_cut(proc, &asked, status);
        }
        match &asked.what {
            What::Update(_, items) if status == 200 => {
                let absent = items
                    .iter()
                    .find(|item| self.newest(&item.key).is_none_or(|n| n < item.version.revision));
                if let Some(item) = absent {
                    let what = format!("an order is taken, and no store has {:?}", item.key);
                    self.ledger.broken(Invariant::WhoseAnswer, what);
                }
                if body != "{}" {
                    self.ledger.broken(Invariant::WhoseAnswer, format!("an order is answered {body}"));
                }
                let mut orders = std::mem::take(&mut self.orders);
                let clash = orders.confirm(asked.at, items, |key| self.newest(key));
                self.orders = orders;
                if let Some(what) = clash {
                    self.ledger.broken(Invariant::OneContent, what);
                }
                self.copies();
            }
            What::Update(_, items) if refused => {
                if self.orders.was_taken(items) {
                    let first = items.first().map(|item| &item.key);
                    let what = format!("an order of {first:?} was taken and is refused with {status}");
                    self.ledger.broken(Invariant::NeverRefused, what);
                } else if self.orders.all_fit {
                    let what = format!("an order that fits is answered {status}: {body}");
                    self.ledger.broken(Invariant::WhoseAnswer, what);
                }
            }
            What::Read(floor) if status == 200 && body == "{}" && !floor.is_empty() => {
                self.ledger.broken(Invariant::WhoseAnswer, "a read is answered as an order is".into());
            }
            What::Leave(place, life) | What::Beat(place, life, ServerState::Draining) if status == 200 => {
                let id = format!("i-{place}-{life}");
                if !self.known_elsewhere(self.places.machine(proc), &id) {
                    let what = format!("the leaving of {id} is confirmed, and nobody else knows of it");
                    self.ledger.broken(Invariant::Copies, what);
                }
            }
            What::Read(..) | What::Beat(..) | What::Leave(..) if refused => {
                let what = format!("a call that is neither old nor unfit is answered {status}");
                self.ledger.broken(Invariant::WhoseAnswer, what);
            }
            _ => {}
        }
        if self.net.outside(self.now, self.places.machine(proc), true) {
            self.later(1_000, Event::Back(asked.id, asked.tries, status, body));
        }
    }

    /// A machine that was cut off from all others of the core before the call came may neither confirm nor refuse.
    fn judge_cut(&mut self, proc: Proc, asked: &Asked, status: u16) {
        let machine = self.places.machine(proc);
        let (from, until) = self.net.machines[machine].apart;
        if !(from <= asked.at && self.now < until) {
            return;
        }
        let what = match &asked.what {
            What::Update(..) => "an order",
            What::Read(..) => "a read",
            // What others know is not lost with this one.
            What::Leave(place, life) | What::Beat(place, life, ServerState::Draining) => {
                if self.known_elsewhere(machine, &format!("i-{place}-{life}")) {
                    return;
                }
                "a leaving"
            }
            // It notices by a while of silence, no sooner.
            What::Beat(..) if asked.at < from + CONTACT => return,
            What::Beat(..) => {
                let what = format!("a heartbeat is answered {status} by machine {machine}, which is cut off");
                return self.ledger.broken(Invariant::Beats, what);
            }
        };
        let what = format!("{what} is answered {status} by machine {machine}, which is cut off");
        self.ledger.broken(Invariant::CutOff, what);
    }

    /// Whether some process on another machine knows that a server leaves, or has left.
    fn known_elsewhere(&self, machine: usize, id: &str) -> bool {
        let key = Key::new(Kind::Server, id);
        let others = (0..self.places.processes()).filter(|proc| self.places.machine(*proc) != machine);
        let mut others = others.filter_map(|proc| self.procs[proc].body.as_ref());
        others.any(|body| {
            let servers = match body {
                Body::Store(desk) => desk.runtime_items(),
                Body::Scout(registry) => &registry.realms()[1],
                Body::Proxy(hearing) => &hearing.realms()[1],
            };
            let server = servers.get(&key).map(|item| item.value.as_deref().and_then(Server::decode));
            server.is_some_and(|server| server.is_none_or(|server| server.state != ServerState::Ready))
        })
    }

    /// Each confirmed item is on enough synced disks of those that vote: on as many as a quorum has, less those that were
    /// wiped since and are not repaired, and of these no more than may be lost at once.
    pub fn copies(&mut self) {
        let voters = self.voters();
        let whole = |core: &usize| match &self.procs[self.places.store(*core)].body {
            Some(Body::Store(desk)) => desk.store().is_voter(),
            _ => false,
        };
        let repaired: Vec<usize> = self.wiped.keys().copied().filter(whole).collect();
        self.wiped.retain(|core, _| !repaired.contains(core));
        let quorum = (voters.len() / 2 + 1).max((self.plan.losses + 1).min(voters.len()));
        for (key, (revision, at)) in &self.orders.vowed {
            let holders = voters.iter().filter(|core| self.disks[**core].holds(key) >= Some(*revision));
            let wiped = self.wiped.iter().filter(|(core, when)| voters.contains(core) && *when >= at);
            let wanted = quorum - wiped.count().min(self.plan.losses);
            let holders: Vec<usize> = holders.copied().collect();
            if holders.len() < wanted {
                let what = format!("{key:?} at {revision} is safe on {holders:?} alone, {wanted} are wanted");
                return self.ledger.broken(Invariant::Copies, what);
            }
        }
    }

    /// The machines whose stores vote, by the newest word of any store.
    fn voters(&mut self) -> Vec<usize> {
        for core in 0..self.places.cores {
            let Some(Body::Store(desk)) = &self.procs[self.places.store(core)].body else { continue };
            let membership = desk.store().membership().clone();
            if membership.epoch > self.voting.epoch {
                self.voting = membership;
            }
        }
        self.voting_machines()
    }

    /// The machines whose stores vote, by the newest word that was looked at.
    pub fn voting_machines(&self) -> Vec<usize> {
        let machine = |ip: String| Some(self.places.machine(self.places.at(&ip, Role::ConfigStore)?));
        self.voting.names().into_iter().filter_map(machine).collect()
    }
}
