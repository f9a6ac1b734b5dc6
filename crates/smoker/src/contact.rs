//! Which proxies are in touch with a current registry, as the network and the registries have it, and what each proxy serves.

use std::collections::BTreeMap;

use pinerelay_peer_link::message::Role;

use crate::check::CONTACT;
use crate::plan::Micros;
use crate::process::{Basis, Body, Proc};
use crate::world::World;

/// A proxy that has stood still for longer counts anew for how long no registry was current, as
/// `proxy::subscriber` does.
const STOOD_STILL: Micros = 700_000;

/// A proxy's contact with current registries in one life.
#[derive(Debug)]
pub struct Contact {
    life: u64,
    /// Since when it has run without a standstill.
    awake: Micros,
    /// Since when and until when it stands still.
    asleep: Option<(Micros, Micros)>,
    /// By connection: since when it leads to a current registry without a break.
    links: BTreeMap<usize, Micros>,
    /// When it last had been in touch with a current registry for `CONTACT` without a break.
    touched: Option<Micros>,
}

impl Contact {
    /// That of a proxy which has begun this life.
    pub fn new(life: u64, begun: Micros) -> Contact {
        Contact { life, awake: begun, asleep: None, links: BTreeMap::new(), touched: None }
    }

    /// Takes what holds at a moment: until when the proxy stands still, and its connections to current registries.
    pub fn look(&mut self, now: Micros, frozen: Micros, current: &[usize]) {
        if frozen > now {
            let (since, _) = *self.asleep.get_or_insert((now, frozen));
            self.asleep = Some((since, frozen));
            self.links.clear();
            return;
        }
        if let Some((_, until)) = self.asleep.take().filter(|(since, until)| *until > since + STOOD_STILL) {
            self.awake = until;
        }
        self.links.retain(|connection, _| current.contains(connection));
        for connection in current {
            let since = *self.links.entry(*connection).or_insert(now);
            if now >= since + CONTACT {
                self.touched = Some(now);
            }
        }
    }

    /// For how long it has run without a standstill, and without a current registry that it had been in touch with for
    /// `CONTACT`. Of a contact the first `CONTACT` is taken off: so long it may last unnoticed.
    pub fn alone(&self, now: Micros) -> Micros {
        let touched = self.touched.map_or(0, |at| at.saturating_sub(CONTACT));
        now.saturating_sub(self.awake.max(touched))
    }
}

impl World {
    /// Looks at the contacts of all proxies.
    pub fn look_at_contacts(&mut self) {
        for n in 0..self.places.proxies {
            let proc = self.places.proxy(n);
            let process = &self.procs[proc];
            if process.body.is_none() {
                self.contacts.remove(&proc);
                continue;
            }
            let (life, begun, frozen) = (process.life, process.begun, process.frozen);
            let current = self.current_links(proc);
            let contact = self.contacts.entry(proc).or_insert_with(|| Contact::new(life, begun));
            if contact.life != life {
                *contact = Contact::new(life, begun);
            }
            contact.look(self.now, frozen, &current);
        }
    }

    /// A proxy's connections to registries that are current, and that it reaches and is reached by.
    fn current_links(&self, proc: Proc) -> Vec<usize> {
        let lines = self.procs[proc].lines.values();
        lines.filter(|line| self.leads_to_current(proc, **line)).map(|(connection, _)| *connection).collect()
    }

    fn leads_to_current(&self, proc: Proc, (connection, end): (usize, usize)) -> bool {
        let line = &self.net.connections[connection];
        let (other, life, _) = line.ends[1 - end];
        if self.places.role(other) != Role::Registry || !self.runs(other, life) || line.closed != [false; 2] {
            return false;
        }
        let [here, there] = [proc, other].map(|proc| self.places.machine(proc));
        let blocked = self.net.blocked(here, there).max(self.net.blocked(there, here));
        let held_up = blocked.max(line.held[0]).max(line.held[1]).max(self.procs[other].frozen) > self.now;
        let clock = self.procs[other].clock(self.now);
        let Some(Body::Scout(registry)) = &self.procs[other].body else { return false };
        !held_up && (self.reaches_quorum(there) || registry.is_current(clock))
    }

    /// Whether a machine's registry can have its configuration confirmed, whatever it and the stores make of that: stores of a
    /// quorum run, and nothing is cut between their machines and this one.
    fn reaches_quorum(&self, machine: usize) -> bool {
        let voters = self.voting_machines();
        let reached = voters.iter().filter(|voter| {
            let store = &self.procs[self.places.store(**voter)];
            let blocked = self.net.blocked(machine, **voter).max(self.net.blocked(**voter, machine));
            store.body.is_some() && store.frozen.max(blocked) <= self.now
        });
        reached.count() > voters.len() / 2
    }

    /// Judges what a proxy serves, whenever that changes: confirmed, or by its rule for when no registry is current.
    pub fn look_at_service(&mut self, proc: Proc) {
        let process = &mut self.procs[proc];
        let Some(Body::Proxy(hearing)) = &process.body else { return };
        let basis = match (hearing.can_serve(), hearing.serves_unconfirmed()) {
            (false, _) => None,
            (true, true) => Some(Basis::Unconfirmed),
            (true, false) => Some(Basis::Confirmed),
        };
        if std::mem::replace(&mut process.basis, basis) == basis {
            return;
        }
        match basis {
            Some(Basis::Confirmed) => self.ledger.confirmed(self.now, proc, &hearing.realms()[0]),
            Some(Basis::Unconfirmed) => {
                let contact = self.contacts.get(&proc).filter(|contact| contact.life == process.life);
                let alone = contact.map_or(0, |contact| contact.alone(self.now));
                self.figures.count("served unconfirmed");
                self.ledger.unconfirmed(proc, alone);
            }
            None => {}
        }
    }
}
