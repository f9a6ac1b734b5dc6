//! Other proxies keep the debits of a proxy that has no disk, and its blocks are settled from them after its loss.

use std::collections::{BTreeMap, BTreeSet};

use bincode::{Decode, Encode};
use pinerelay_config_state::hash;

use crate::account::Block;
use crate::messages::{BlockId, DebitReport, Holder, KnownDebits};
use crate::{Credits, Micros};

/// How many backups a block has, where there are so many other proxies.
pub const BACKUPS: usize = 3;
/// A backup that has not answered for so long counts as lost: one that only stalled has resumed by then.
pub const ANSWER_TIMEOUT: Micros = 3_000_000;
/// How long a backup keeps what was reported to it, after the last report.
const RETENTION: Micros = 60_000_000;

/// How many of so many backups have to acknowledge a report: any two such sets have one in common.
pub fn majority(backups: usize) -> usize {
    backups / 2 + 1
}

/// The backups of a holder: by rendezvous hashing over the other live proxies.
pub fn choose_backups(holder: &Holder, live: &BTreeSet<Holder>) -> Vec<Holder> {
    let others = live.iter().filter(|other| other.name != holder.name);
    let by_name: BTreeMap<&str, &Holder> = others.map(|other| (other.name.as_str(), other)).collect();
    let ranked = hash::rendezvous_order(&holder.name, by_name.keys().copied());
    ranked.into_iter().take(BACKUPS).map(|name| by_name[name].clone()).collect()
}

/// What a backup keeps of a block.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
pub struct BackedUpBlock {
    /// Its debits.
    pub debits: KnownDebits,
    /// The highest ceiling that was reported, in micro-credits.
    pub ceiling: Credits,
}

#[derive(Debug, Default)]
struct StoredBackup {
    last_report: Micros,
    block: BackedUpBlock,
}

/// All that a proxy keeps for others, in memory.
#[derive(Debug, Default)]
pub struct DebitBackup {
    blocks: BTreeMap<BlockId, StoredBackup>,
}

impl DebitBackup {
    /// Another proxy reports. The report is to be acknowledged.
    pub fn store(&mut self, now: Micros, report: &DebitReport) {
        let stored = self.blocks.entry(report.block).or_default();
        stored.last_report = now;
        report.batches.iter().for_each(|&batch| stored.block.debits.add(batch));
        stored.block.ceiling = stored.block.ceiling.max(report.ceiling);
    }

    /// What is kept of a block, for the core. Nothing is an answer, too: nothing was reported to this process.
    pub fn block(&self, id: BlockId) -> BackedUpBlock {
        self.blocks.get(&id).map(|stored| stored.block.clone()).unwrap_or_default()
    }

    /// Forgets what is old.
    pub fn tick(&mut self, now: Micros) {
        self.blocks.retain(|_, stored| now < stored.last_report + RETENTION);
    }
}

/// What the backups of a block have answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecoveredBlock<'a> {
    /// Its debits.
    pub debits: &'a KnownDebits,
    /// The ceiling, if nothing that was acknowledged can be missing.
    pub ceiling: Option<Credits>,
}

/// The core queries the backups of one block.
#[derive(Debug)]
pub struct DebitRecovery {
    started: Micros,
    backups: usize,
    unanswered: BTreeSet<Holder>,
    answers: usize,
    block: BackedUpBlock,
}

impl DebitRecovery {
    /// Starts. All backups are to be queried, again every 100 ms.
    pub fn new(now: Micros, block: &Block) -> DebitRecovery {
        let unanswered: BTreeSet<Holder> = block.backups.iter().cloned().collect();
        let known = BackedUpBlock { debits: block.debits.clone(), ceiling: block.ceiling };
        DebitRecovery { started: now, backups: unanswered.len(), unanswered, answers: 0, block: known }
    }

    /// The backups that have not answered.
    pub fn unanswered(&self) -> impl Iterator<Item = &Holder> {
        self.unanswered.iter()
    }

    /// A backup answers. `from` is the process that answers: another process of the same name is not the one that acknowledged.
    pub fn answer(&mut self, from: &Holder, block: &BackedUpBlock) {
        if self.unanswered.remove(from) {
            self.answers += 1;
            self.block.debits.merge(&block.debits);
            self.block.ceiling = self.block.ceiling.max(block.ceiling);
        }
    }

    /// The result, once all have answered or the time is over.
    pub fn result(&self, now: Micros) -> Option<RecoveredBlock<'_>> {
        let is_over = self.unanswered.is_empty() || now >= self.started + ANSWER_TIMEOUT;
        // One that answered is among any that were enough to acknowledge.
        let is_certain = self.answers + majority(self.backups) > self.backups;
        let ceiling = is_certain.then_some(self.block.ceiling);
        is_over.then_some(RecoveredBlock { debits: &self.block.debits, ceiling })
    }
}
