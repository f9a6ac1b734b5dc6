//! The stores' disks: what is safe, what a loss of power may take, and when they stall or refuse.

use pinerelay_config_state::Key;
use pinerelay_consensus::{PersistentState, StateChange};

use crate::plan::{Broken, Lot, Micros};
use crate::process::Input;
use crate::world::{Event, World};

/// What a disk refuses is tried again after this, as `config_store::disk` does.
pub const AGAIN: Micros = 300_000;

/// A store's disk, and the queue before it.
///
/// Each change counts as a transaction of its own. The real disk joins those that wait, so that what it may lose is one of
/// the cases here.
#[derive(Default)]
pub struct Disk {
    /// What is safe.
    kept: Option<PersistentState>,
    /// Transactions that a process which has ended had written and not synced: the next one reads them, and its first
    /// sync makes them safe; a loss of power may take them.
    cached: Vec<StateChange>,
    /// What was given to it and is not safe yet.
    unwritten: Vec<(u64, StateChange)>,
    /// So many of them are on their way.
    syncing: usize,
    /// It answers nothing until then.
    pub stalled: Micros,
    /// It refuses each write until then.
    pub refuses: Micros,
    /// What was dropped is forgotten at once: a fault that is put in.
    forgets: bool,
}

impl Disk {
    /// An empty one.
    pub fn new(forgets: bool) -> Disk {
        Disk { forgets, ..Disk::default() }
    }

    /// Takes a change, behind all before.
    pub fn give(&mut self, number: u64, change: StateChange) {
        self.unwritten.push((number, change));
    }

    /// Begins to write all that waits, if anything does and nothing is on its way; tells how many changes that are.
    pub fn begin(&mut self) -> Option<usize> {
        if self.syncing > 0 || self.unwritten.is_empty() {
            return None;
        }
        self.syncing = self.unwritten.len();
        Some(self.syncing)
    }

    /// What was on its way is safe; tells the numbers.
    pub fn synced(&mut self) -> Vec<u64> {
        let kept = self.kept.get_or_insert_default();
        self.cached.drain(..).for_each(|change| apply(kept, &change, self.forgets));
        let done: Vec<(u64, StateChange)> =
            self.unwritten.drain(..std::mem::take(&mut self.syncing)).collect();
        let numbers = done.iter().map(|(number, _)| *number).collect();
        done.into_iter().for_each(|(_, change)| apply(kept, &change, self.forgets));
        numbers
    }

    /// What was on its way is refused: it waits again.
    pub fn refused(&mut self) {
        self.syncing = 0;
    }

    /// What was on its way is refused and lost, and the numbers are told as if it were safe: a fault that is put in.
    pub fn swallowed(&mut self) -> Vec<u64> {
        self.unwritten.drain(..std::mem::take(&mut self.syncing)).map(|(number, _)| number).collect()
    }

    /// The process ends, and with the power goes what was not synced.
    ///
    /// The database's log holds transactions one behind the other, each with a checksum over all frames before it. So of
    /// pages that reached the disk by themselves those count that stand before the first one torn: what is there is always a
    /// first part of what was written, and the frames of a later commit don't count when an earlier one is torn.
    pub fn ends(&mut self, lot: &mut Lot, power: bool) {
        self.syncing = 0;
        let written = self.cached.len();
        self.cached.extend(self.unwritten.drain(..).map(|(_, change)| change));
        let from = if power { 0 } else { written };
        let all_gone = lot.chance(4);
        let there =
            from + if all_gone { 0 } else { lot.upto((self.cached.len() - from) as u64 + 1) as usize };
        self.cached.truncate(there);
        if power && there > 0 {
            let kept = self.kept.get_or_insert_default();
            self.cached.drain(..).for_each(|change| apply(kept, &change, self.forgets));
        }
    }

    /// What a process that begins finds; none: the disk is empty.
    pub fn read(&self) -> Option<PersistentState> {
        if self.cached.is_empty() {
            return self.kept.clone();
        }
        let mut kept = self.kept.clone().unwrap_or_default();
        self.cached.iter().for_each(|change| apply(&mut kept, change, self.forgets));
        Some(kept)
    }

    /// The newest revision of an item that is safe here, settled or pending.
    pub fn holds(&self, key: &Key) -> Option<u64> {
        let kept = self.kept.as_ref()?;
        let settled = kept.items.binary_search_by(|item| item.key.cmp(key)).ok();
        let settled = settled.map(|n| kept.items[n].version.revision);
        let pending = kept.pending.iter().flat_map(|batch| &batch.items).filter(|item| item.key == *key);
        settled.max(pending.map(|item| item.version.revision).max())
    }
}

/// Puts a change on top of what is kept. The items stay in the order of their keys.
fn apply(kept: &mut PersistentState, change: &StateChange, forgets: bool) {
    kept.apply(change);
    if forgets {
        kept.items.retain(|item| item.value.is_some());
    }
}

impl World {
    /// A disk begins to write what waits, unless it is busy.
    pub(crate) fn sync(&mut self, core: usize) {
        let disk = &mut self.disks[core];
        if disk.begin().is_none() {
            return;
        }
        let slow = if self.lot.chance(4) { 40_000 } else { 6_000 };
        let at = disk.stalled.max(self.now) + 2_000 + self.lot.upto(slow);
        let life = self.procs[self.places.store(core)].life;
        self.at(at, Event::Synced(core, life));
    }

    /// What was on its way to a disk is there, or refused.
    pub(crate) fn synced(&mut self, core: usize, life: u64) {
        let proc = self.places.store(core);
        if !self.runs(proc, life) {
            return;
        }
        let until = self.disks[core].stalled.max(self.procs[proc].frozen);
        if until > self.now {
            return self.at(until + 5_000, Event::Synced(core, life));
        }
        let disk = &mut self.disks[core];
        let safe = if self.now < disk.refuses {
            self.figures.count("writes refused");
            if self.plan.broken == Some(Broken::Refusal) {
                disk.swallowed()
            } else {
                disk.refused();
                return self.later(AGAIN, Event::Retry(core, life));
            }
        } else {
            disk.synced()
        };
        if self.recovery.is_none() {
            self.copies();
        }
        if self.plan.broken != Some(Broken::Sync) {
            safe.into_iter().for_each(|number| self.give(proc, Input::Written(number)));
        }
        self.sync(core);
    }
}
