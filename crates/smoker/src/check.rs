//! What must hold, checked while a play runs. The first breach ends it; a quota's once it is known by how much.

mod invariant;

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pinerelay_config_state::item::Version;
use pinerelay_config_state::{operator_call, validation, Item, ItemSet, Key};

use crate::figures::Figures;
use crate::orders::Orders;
use crate::plan::{Micros, SECOND};
use crate::process::Proc;

pub use invariant::{Breach, Invariant};

/// A change that was acknowledged is in force after this at who is in touch; a server that leaves gets no more.
pub const APPLY: Micros = 2_500_000;
/// In touch is who has had no trouble for so long.
pub const CONTACT: Micros = 3_000_000;
/// While the core is not settled it may take so much longer.
pub const STRETCH: Micros = 8_000_000;
/// Within this after all faults all copies are the same.
pub const HEALED: Micros = 8_000_000;

/// A proxy that starts serves what no registry has confirmed once it was in touch with none that is current for so long.
pub const UNCONFIRMED: Micros = 10 * SECOND;

/// Something acknowledged that proxies have yet to follow.
struct Due<T> {
    at: Micros,
    what: T,
    waits: BTreeSet<Proc>,
}

/// What is known to who looks on from outside.
#[derive(Default)]
pub struct Ledger {
    /// The first breach.
    pub breach: Option<(Invariant, String)>,
    /// Breaches of these are counted and end nothing.
    counts: Vec<Invariant>,
    /// How many of these there were.
    pub counted: BTreeMap<Invariant, u64>,
    /// What was acknowledged, and when.
    acks: Vec<(Micros, Key, u64)>,
    /// What the first call brought that was acknowledged: every later table has all of it, at these revisions or newer
    /// ones, unless a drop was called for.
    first: Vec<(Key, u64)>,
    /// Of each item the newest version that was acknowledged.
    pub newest: BTreeMap<Key, u64>,
    /// Of each item the newest drop that was called for.
    drops: BTreeMap<Key, u64>,
    refused: BTreeSet<(Key, Version)>,
    changes: Vec<Due<Vec<(Key, u64)>>>,
    leaving: Vec<Due<String>>,
    /// What each proxy has had in force in this life.
    seen: BTreeMap<Proc, BTreeMap<Key, u64>>,
    /// The servers that each proxy uses.
    usable: BTreeMap<Proc, BTreeSet<String>>,
    runs: BTreeMap<String, VecDeque<Micros>>,
    /// The tenants that are over their quota now: since when, and the most that was seen in a window.
    over: BTreeMap<String, Overrun>,
}

/// A quota that is broken, until no window that reaches the present is over it.
struct Overrun {
    since: Micros,
    most: usize,
    bound: f64,
}

impl Ledger {
    /// One that counts breaches of these.
    pub fn counting(counts: Vec<Invariant>) -> Ledger {
        Ledger { counts, ..Ledger::default() }
    }

    /// Notes a breach, if it is the first, or counts it.
    pub fn broken(&mut self, invariant: Invariant, what: String) {
        if self.counts.contains(&invariant) {
            *self.counted.entry(invariant).or_default() += 1;
            return;
        }
        self.breach.get_or_insert((invariant, what));
    }

    /// These are called for.
    pub fn called(&mut self, items: &[Item]) {
        for item in items.iter().filter(|item| item.value.is_none()) {
            let newest = self.drops.entry(item.key.clone()).or_default();
            *newest = (*newest).max(item.version.revision);
        }
    }

    /// These are acknowledged; these proxies run.
    pub fn acknowledged(
        &mut self,
        now: Micros,
        items: &[Item],
        proxies: &BTreeMap<Proc, (Micros, &ItemSet)>,
        figures: &mut Figures,
    ) {
        for item in items {
            let newest = self.newest.entry(item.key.clone()).or_default();
            *newest = (*newest).max(item.version.revision);
            self.acks.push((now, item.key.clone(), item.version.revision));
        }
        let what: Vec<(Key, u64)> = items.iter().map(|i| (i.key.clone(), i.version.revision)).collect();
        if self.first.is_empty() {
            self.first.clone_from(&what);
        }
        let (early, waits): (Vec<_>, Vec<_>) = proxies.iter().partition(|(_, (_, cells))| has(cells, &what));
        figures.news.extend(early.iter().map(|_| 0));
        let waits = waits.into_iter().map(|(&proc, _)| proc).collect();
        self.changes.push(Due { at: now, what, waits });
    }

    /// These are refused for good.
    pub fn refused(&mut self, items: &[Item]) {
        self.refused.extend(items.iter().map(|i| (i.key.clone(), i.version)));
    }

    /// What of all that was acknowledged before a moment a copy lacks.
    pub fn lacks(&self, before: Micros, cells: &ItemSet) -> Option<String> {
        let past = |(at, key, version): &&(Micros, Key, u64)| {
            *at < before && cells.get(key).is_none_or(|item| item.version.revision < *version)
        };
        let (at, key, version) = self.acks.iter().find(past)?;
        Some(format!("{key:?} at {version}, acknowledged at {:.3} s", *at as f64 / 1e6))
    }

    /// A proxy serves a configuration that a registry has confirmed as current.
    pub fn confirmed(&mut self, now: Micros, proc: Proc, cells: &ItemSet) {
        if let Some(what) = self.lacks(now.saturating_sub(CONTACT), cells) {
            self.broken(Invariant::NeverOld, format!("proxy {proc} is whole without {what}"));
        }
    }

    /// A proxy begins to serve a configuration that no registry has confirmed, after so long in which it ran and was in touch
    /// with no current registry. After less than `UNCONFIRMED` it may not, be its configuration old or not.
    pub fn unconfirmed(&mut self, proc: Proc, alone: Micros) {
        if alone < UNCONFIRMED {
            let alone = alone as f64 / 1e6;
            let what =
                format!("proxy {proc} serves unconfirmed after {alone:.3} s without a current registry");
            self.broken(Invariant::Unconfirmed, what);
        }
    }

    /// A read has been answered; `floor` had been acknowledged before it.
    pub fn read(&mut self, floor: &BTreeMap<Key, u64>, text: &str, orders: &Orders) {
        let Ok(stands) = operator_call::parse_update(format!("{{\"upsert\":{text}}}").as_bytes()) else {
            return self.broken(Invariant::Stands, "a read can't be read".into());
        };
        let mut all = ItemSet::default();
        all.merge_all(stands);
        if let Err(unfit) = validation::check_references(&all) {
            self.broken(Invariant::Valid, format!("a read: {unfit}"));
        }
        if let Some(what) = orders.differs(&all) {
            self.broken(Invariant::OneContent, what);
        }
        self.in_force("a read", &all);
        for (key, newest) in floor {
            let there = all.get(key).map(|item| item.version.revision);
            let dropped = self.drops.get(key).copied();
            // What was confirmed as set is absent only after a later drop.
            let least = *newest + u64::from(orders.was_set(key, *newest));
            let stands = there.map_or(dropped >= Some(least), |version| version >= *newest);
            if !stands {
                self.broken(
                    Invariant::Stands,
                    format!("{key:?} at {newest} was acknowledged, a read has {there:?}"),
                );
            }
        }
    }

    fn in_force(&mut self, whose: &str, cells: &ItemSet) {
        let bad = cells.iter().find(|i| self.refused.contains(&(i.key.clone(), i.version)));
        if let Some(key) = bad.map(|item| item.key.clone()) {
            self.broken(Invariant::Valid, format!("{whose}: {key:?} was refused and is in force"));
        }
    }

    /// A proxy begins a life.
    pub fn begins(&mut self, proc: Proc) {
        self.seen.remove(&proc);
    }

    /// What a proxy has had in force.
    pub fn remembered(&self, proc: Proc) -> BTreeMap<Key, u64> {
        self.seen.get(&proc).cloned().unwrap_or_default()
    }

    /// A proxy's life counts as the one before, in which it had this in force.
    pub fn remember(&mut self, proc: Proc, seen: BTreeMap<Key, u64>) {
        self.seen.insert(proc, seen);
    }

    /// A proxy has ended.
    pub fn ends(&mut self, proc: Proc) {
        self.usable.remove(&proc);
    }

    /// A proxy has put this in force.
    pub fn configured(&mut self, now: Micros, proc: Proc, cells: &ItemSet, figures: &mut Figures) {
        let seen = self.seen.entry(proc).or_default();
        let back = seen
            .iter()
            .find(|(key, version)| cells.get(key).is_none_or(|item| item.version.revision < **version));
        let back = back.map(|(key, version)| format!("proxy {proc} had {key:?} at {version}"));
        seen.extend(cells.iter().map(|item| (item.key.clone(), item.version.revision)));
        if let Some(what) = back {
            self.broken(Invariant::NeverBack, what);
        }
        self.in_force("a proxy", cells);
        if let Some(what) = self.first_lacks(cells) {
            self.broken(Invariant::InPart, format!("proxy {proc} has a table in force without {what}"));
        }
        for due in &mut self.changes {
            if due.waits.contains(&proc) && has(cells, &due.what) {
                due.waits.remove(&proc);
                figures.news.push(now - due.at);
            }
        }
    }

    /// What a table lacks of the first configuration, unless a drop of it was called for.
    fn first_lacks(&self, cells: &ItemSet) -> Option<String> {
        let lacks = |(key, version): &&(Key, u64)| {
            let held = cells.get(key).is_some_and(|item| item.version.revision >= *version);
            !held && !self.drops.contains_key(key)
        };
        self.first.iter().find(lacks).map(|(key, version)| format!("{key:?} at {version}"))
    }

    /// A proxy uses a server, or does not any more.
    pub fn server(&mut self, proc: Proc, id: String, usable: bool) {
        let servers = self.usable.entry(proc).or_default();
        if usable {
            servers.insert(id);
        } else {
            servers.remove(&id);
        }
    }

    /// How many servers a proxy uses.
    pub fn servers(&self, proc: Proc) -> usize {
        self.usable.get(&proc).map_or(0, BTreeSet::len)
    }

    /// A server's leaving is acknowledged.
    pub fn leaves(&mut self, now: Micros, id: &str) {
        self.leaving.push(Due { at: now, what: id.into(), waits: BTreeSet::new() });
    }

    /// A request of a tenant has drawn its unit.
    pub fn ran(&mut self, now: Micros, tenant: &str, rate: f64, burst: f64) {
        if !self.runs.contains_key(tenant) {
            self.runs.insert(tenant.into(), VecDeque::new());
        }
        let Some(runs) = self.runs.get_mut(tenant) else { return };
        runs.push_back(now);
        trim(runs, now);
        let bound = (rate * 5.0 + burst) * 1.1 + 20.0;
        if runs.len() as f64 > bound {
            let over = self.over.entry(tenant.into()).or_insert(Overrun { since: now, most: 0, bound });
            over.most = over.most.max(runs.len());
        }
    }

    /// Tells of the quotas that were broken and are not over any more, or at the play's end of all that are: by how much.
    pub fn overrun(&mut self, now: Micros, end: bool) {
        let runs = &mut self.runs;
        let ended = self.over.iter().find(|(tenant, over)| {
            let within = runs.get_mut(*tenant).is_none_or(|runs| {
                trim(runs, now);
                runs.len() as f64 <= over.bound
            });
            end || within
        });
        let told = ended.map(|(tenant, Overrun { since, most, bound })| {
            let (since, for_s) = (*since as f64 / 1e6, (now - since) as f64 / 1e6);
            format!(
                "{tenant}: {most} in five seconds, {bound:.0} allowed, from {since:.3} s for {for_s:.3} s"
            )
        });
        told.into_iter().for_each(|what| self.broken(Invariant::Quota, what));
    }

    /// Looks at what is overdue. A proxy's trouble and the core's: when the last one ends or ended;
    /// `halted`: until when half of the core or more did not run.
    pub fn look(
        &mut self,
        now: Micros,
        proxies: &BTreeMap<Proc, (Micros, &ItemSet)>,
        core: Micros,
        halted: Micros,
    ) {
        let late = |at: Micros, trouble: Micros| {
            let calm = |since: Micros| now >= since + CONTACT;
            calm(trouble) && (calm(core) && now > at + APPLY || now > at.max(halted) + APPLY + STRETCH)
        };
        let mut broken = Vec::new();
        for due in &mut self.changes {
            due.waits.retain(|proc| proxies.contains_key(proc));
            for (proc, (trouble, cells)) in proxies {
                if late(due.at, *trouble) && !has(cells, &due.what) {
                    broken.push((Invariant::Applied, format!("proxy {proc} lacks {:?}", due.what.first())));
                }
            }
        }
        for due in &self.leaving {
            for (proc, (trouble, _)) in proxies {
                let uses = self.usable.get(proc).is_some_and(|servers| servers.contains(&due.what));
                if uses && late(due.at, *trouble) {
                    broken.push((Invariant::Drained, format!("proxy {proc} still uses {}", due.what)));
                }
            }
        }
        let old = APPLY + STRETCH + 2 * CONTACT;
        self.changes.retain(|due| now < due.at + old);
        self.leaving.retain(|due| now < due.at + old);
        broken.into_iter().for_each(|(invariant, what)| self.broken(invariant, what));
    }
}

/// Leaves what ran in the window that ends now.
fn trim(runs: &mut VecDeque<Micros>, now: Micros) {
    while runs.front().is_some_and(|at| at + 5 * SECOND <= now) {
        runs.pop_front();
    }
}

fn has(cells: &ItemSet, what: &[(Key, u64)]) -> bool {
    what.iter().all(|(key, version)| cells.get(key).is_some_and(|item| item.version.revision >= *version))
}
