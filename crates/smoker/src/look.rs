//! What is looked at while a play runs: the invariants that no single event breaks.

use std::collections::BTreeSet;

use pinerelay_config_state::{validation, Kind};

use crate::check::{Invariant, HEALED};
use crate::plan::{Micros, SECOND};
use crate::process::Body;
use crate::world::{proxies, Event, World, ALL};

/// How often they are looked at.
pub const LOOK: Micros = 20_000;

impl World {
    /// Looks at them.
    pub fn look(&mut self) {
        let mut held = 0;
        for core in 0..self.places.cores {
            let process = &self.procs[self.places.scout(core)];
            let Some(Body::Scout(registry)) = &process.body else { continue };
            if process.frozen > self.now {
                continue;
            }
            let acts = registry.held_slices(process.clock(self.now));
            if held & acts != 0 {
                self.ledger.broken(Invariant::OneDuty, format!("{:016b} are held twice", held & acts));
            }
            held |= acts;
        }
        if held == ALL {
            if let Some(since) = self.gap.take() {
                self.figures.gaps.push(self.now - since);
            }
        }
        self.look_at_contacts();
        if self.now.is_multiple_of(5 * LOOK) {
            let proxies = proxies(self.places, &self.procs, &self.net);
            let (core, halted) = (self.faults.core_trouble(self.now), self.faults.halted);
            self.ledger.look(self.now, &proxies, core, halted);
            if self.now >= self.plan.calm_from() {
                self.look_for_heal();
            }
        }
        if !self.plan.faults && self.now > 6 * SECOND && self.now < self.plan.calm_from() {
            self.figures.counted[usize::from(self.changes())] += LOOK;
        }
        self.later(LOOK, Event::Look);
    }

    /// A machine that was away has to have what was acknowledged before this.
    pub fn caught(&mut self, core: usize, before: Micros) {
        let lacks =
            match [self.places.store(core), self.places.scout(core)].map(|proc| &self.procs[proc].body) {
                [Some(Body::Store(desk)), Some(Body::Scout(registry))] => {
                    let copies = [desk.store().items(), &registry.realms()[0]];
                    copies.into_iter().find_map(|cells| self.ledger.lacks(before, cells))
                }
                _ => Some("all: it does not run".into()),
            };
        self.figures.count("came back");
        if let Some(what) = lacks {
            self.ledger.broken(Invariant::CaughtUp, format!("machine {core} lacks {what}"));
        }
    }

    fn look_for_heal(&mut self) {
        if !self.figures.heals.is_empty() {
            return;
        }
        match self.unlike() {
            None => self.figures.heals.push(self.now - self.plan.calm_from()),
            Some(what) if self.now > self.plan.calm_from() + HEALED => {
                self.ledger.broken(Invariant::Heals, what);
            }
            _ => {}
        }
    }

    /// What keeps the copies from being the same, or a proxy from being ready.
    fn unlike(&mut self) -> Option<String> {
        let mut digests = [BTreeSet::new(), BTreeSet::new()];
        for (proc, process) in self.procs.iter().enumerate() {
            match &process.body {
                Some(Body::Store(desk)) => {
                    let named = desk.store().membership().names().contains(&self.places.ip(proc / 2));
                    if !desk.store().is_complete() || named && !desk.store().is_voter() {
                        let (whole, votes) = (desk.store().is_complete(), desk.store().is_voter());
                        let who = desk.store().membership();
                        return Some(format!(
                            "store {proc}: whole {whole}, votes {votes}, as it knows: {who:?}"
                        ));
                    }
                    digests[0].insert(desk.store().items().digest());
                    if let Err(unfit) = validation::check_references(desk.store().items()) {
                        return Some(format!("store {proc}: {unfit}"));
                    }
                }
                Some(Body::Scout(registry)) => {
                    digests.iter_mut().zip(registry.realms()).for_each(|(all, cells)| {
                        all.insert(cells.digest());
                    });
                }
                Some(Body::Proxy(hearing)) => {
                    digests.iter_mut().zip(hearing.realms()).for_each(|(all, cells)| {
                        all.insert(cells.digest());
                    });
                    let routes = hearing.realms()[0].live(Kind::Route).next().is_some();
                    let servers = self.ledger.servers(proc);
                    if !hearing.can_serve() || !routes || servers == 0 {
                        return Some(format!("proxy {proc} is not ready: {servers} servers"));
                    }
                }
                // One that has left the core, or waits to replace one that does.
                None if self.places.out_of(&self.core, proc) => {}
                None => return Some(format!("process {proc} does not run")),
            }
        }
        let copies = [digests[0].len(), digests[1].len()];
        (copies != [1, 1]).then(|| format!("{copies:?} different copies"))
    }
}
