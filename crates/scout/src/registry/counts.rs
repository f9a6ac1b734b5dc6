//! The count of the tenants' units, for those whose duty is here.

use std::collections::BTreeSet;

use pinerelay_cells::routes::Tenant;
use pinerelay_nectar::fence::{self, Step, SLICES};
use pinerelay_nectar::purse::{Ask, Grant};
use pinerelay_nectar::terms::Quota;
use pinerelay_nectar::well::{Call, Well};
use pinerelay_nectar::Micros;
use pinerelay_propolis::speech::{Role, Speech};

use super::{Output, Registry, MISSED, QUIET};

/// News that was told before a duty was gained has come by so much later. At the system's first start nobody can have had a
/// duty and lost it within the time of a promise.
const NEWS: Micros = 5_000_000;
const BEGIN: Micros = 850_000;

fn quota(tenant: &Tenant) -> Quota {
    Quota { rate: tenant.rate, burst: tenant.burst }
}

impl Registry {
    /// Duties follow who is alive.
    pub(super) fn duties(&mut self, now: Micros, out: &mut Vec<Output>) {
        let alive: BTreeSet<String> = self.scouts().into_keys().collect();
        let mut steps = Vec::new();
        self.fence.tick(now, alive, &mut steps);
        self.steps(now, steps, out);
        let held = self.fence.held(now);
        if held != self.acting {
            log::info!("acts for {held} of {SLICES} slices of the tenants");
            self.acting = held;
        }
        self.counts(now);
    }

    /// A count begins with nothing, unless its tenant is new: it has to be there before it is asked.
    fn counts(&mut self, now: Micros) {
        for tenant in self.table.tenants() {
            if !self.first_seen.contains_key(&tenant.name) {
                // What came with the whole configuration may be older than this process.
                let first = if self.whole { now } else { 0 };
                self.first_seen.insert(tenant.name.clone(), first);
            }
        }
        for tenant in self.table.tenants().iter().filter(|tenant| tenant.rate > 0.0) {
            let holds = self.fence.holds(now, fence::slice(&tenant.name));
            match self.wells.get_mut(&tenant.name) {
                None if holds => {
                    let slice = fence::slice(&tenant.name);
                    let since = self.gained.get(&slice).map_or(now, |(_, since)| *since);
                    // A duty that changed hands may have come before the news of a tenant that was there already.
                    let news = since.saturating_add(NEWS);
                    let first = self.first_seen.get(&tenant.name).copied().unwrap_or(0);
                    let is_new = first > news || self.birth.first && since < BEGIN;
                    let well = if is_new { Well::full } else { Well::new };
                    self.wells.insert(tenant.name.clone(), well(now, quota(tenant)));
                }
                Some(well) if well.quota() != quota(tenant) => well.change(now, quota(tenant)),
                _ => {}
            }
        }
    }

    pub(super) fn steps(&mut self, now: Micros, steps: Vec<Step>, out: &mut Vec<Output>) {
        let scouts = self.scouts();
        for step in steps {
            match step {
                Step::Say(to, word) => {
                    if let Some(&peer) = scouts.get(&to) {
                        out.push(Output::Say(peer, Speech::Fence(word)));
                    }
                }
                Step::Gained(slice) => {
                    // What was granted by who had it before is not known.
                    self.last += 1;
                    let fence = self.birth.hello.life.wrapping_add(self.last);
                    self.gained.insert(slice, (fence, now));
                    self.wells.retain(|tenant, _| fence::slice(tenant) != slice);
                }
            }
        }
    }

    /// Proxies that have fallen silent: a count keeps back what they may live on, from when they were last heard.
    pub(super) fn quiet(&mut self, now: Micros) {
        let silent = self.heard.iter().filter(|(_, heard)| now >= **heard + QUIET);
        let silent: Vec<(String, Micros)> = silent.map(|(node, &heard)| (node.clone(), heard)).collect();
        for (node, since) in silent {
            self.heard.remove(&node);
            self.wells.values_mut().for_each(|well| well.missing(now, &node, since));
            self.missing.insert(node, since);
        }
    }

    /// Proxies that have been silent for as long as they may live on a share: what is kept back for them is free.
    pub(super) fn forget(&mut self, now: Micros) {
        let gone = self.missing.iter().filter(|(_, since)| now >= **since + MISSED);
        let gone: Vec<String> = gone.map(|(node, _)| node.clone()).collect();
        gone.iter().for_each(|node| self.over(now, node));
    }

    /// A proxy is heard.
    pub(super) fn loud(&mut self, now: Micros, node: &str) {
        if self.missing.remove(node).is_some() {
            self.wells.values_mut().for_each(|well| well.returned(now, node));
        }
        match self.heard.get_mut(node) {
            Some(heard) => *heard = now,
            None => {
                self.heard.insert(node.into(), now);
            }
        }
    }

    /// A proxy's process has ended, and all that it held with it.
    pub(super) fn over(&mut self, now: Micros, node: &str) {
        self.missing.remove(node);
        self.heard.remove(node);
        self.wells.values_mut().for_each(|well| well.ended(now, node));
    }

    /// Whether proxies are cut off that a tenant's count has never heard of: who had the duty before may have told them a
    /// share.
    fn strangers(&self, tenant: &str) -> bool {
        let known = |node: &String| self.wells.get(tenant).is_some_and(|well| well.knows(node));
        let elsewhere = self.foragers().saturating_sub(self.linked() + self.missing.len());
        // Before its machine's store has told what it had kept, a registry does not know who was cut off when it began.
        self.kept.is_none() || elsewhere > 0 || self.missing.keys().any(|node| !known(node))
    }

    /// Counts that have heard of every proxy since they began keep back nothing for others.
    pub(super) fn all_known(&mut self, now: Micros) {
        let foragers = self.peers.values().filter(|hello| hello.role == Role::Forager);
        let nodes: BTreeSet<&String> = foragers.map(|hello| &hello.node).chain(self.missing.keys()).collect();
        if self.kept.is_none() || nodes.len() < self.foragers() {
            return;
        }
        for well in self.wells.values_mut() {
            let some = well.keeps_back(now).is_some_and(|known| known >= nodes.len());
            if some && nodes.iter().all(|node| well.knows(node)) {
                well.knows_all();
            }
        }
    }

    pub(super) fn draw(&mut self, now: Micros, node: &str, asks: Vec<Ask>) -> Vec<(String, Grant)> {
        if asks.iter().any(|ask| !self.wells.contains_key(&ask.tenant)) {
            self.counts(now);
        }
        let mut grants = Vec::with_capacity(asks.len());
        for ask in asks {
            let slice = fence::slice(&ask.tenant);
            let tenant = self.table.named(&ask.tenant).cloned();
            let grant = match tenant {
                Some(tenant) if slice < SLICES && self.fence.holds(now, slice) => {
                    let quota = quota(&tenant);
                    let strangers = self.strangers(&ask.tenant);
                    let well = self.wells.entry(ask.tenant.clone()).or_insert_with(|| Well::new(now, quota));
                    let (fence, _) = self.gained.get(&slice).copied().unwrap_or_default();
                    let back = if ask.fence == fence { ask.back } else { 0.0 };
                    let drawn = well.draw(now, node, strangers, &Call { back, ..ask.call() });
                    let share = drawn.share;
                    match drawn.units {
                        Ok(units) => {
                            self.figures[2] += units as u64;
                            Grant::Block { units, life: self.birth.bounds.life(quota), fence, share }
                        }
                        Err(wait) => {
                            self.figures[3] += 1;
                            Grant::Dry { wait, share }
                        }
                    }
                }
                _ => Grant::Elsewhere,
            };
            if ask.want >= 1.0 {
                grants.push((ask.tenant, grant));
            }
        }
        grants
    }
}
