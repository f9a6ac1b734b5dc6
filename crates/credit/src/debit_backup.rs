//! Copies of a proxy's debits at other proxies: a proxy has no disk, so its blocks are settled from these copies if it is lost.

use std::collections::{BTreeMap, BTreeSet};

use bincode::{Decode, Encode};
use pinerelay_config_state::hash;

use crate::account::Block;
use crate::messages::{BlockId, DebitReport, Holder, KnownDebits};
use crate::{Credits, Micros};

/// The number of backups of a block; fewer if there are not enough other proxies.
pub const BACKUPS: usize = 3;
/// A backup that has not answered for this long counts as lost; one that merely stalled has resumed by then.
pub const ANSWER_TIMEOUT: Micros = 3_000_000;
/// How long a backup keeps a block's debits after the last report.
const RETENTION: Micros = 60_000_000;

/// The number of backups that must acknowledge a report: any two sets of this size have a backup in common.
pub fn majority(backups: usize) -> usize {
    backups / 2 + 1
}

/// Chooses the backups of a holder by rendezvous hashing over the other live proxies.
pub fn choose_backups(holder: &Holder, live: &BTreeSet<Holder>) -> Vec<Holder> {
    let others = live.iter().filter(|other| other.name != holder.name);
    let by_name: BTreeMap<&str, &Holder> = others.map(|other| (other.name.as_str(), other)).collect();
    let ranked = hash::rendezvous_order(&holder.name, by_name.keys().copied());
    ranked.into_iter().take(BACKUPS).map(|name| by_name[name].clone()).collect()
}

/// A backup's copy of a block.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
pub struct BackedUpBlock {
    /// Its debits.
    pub debits: KnownDebits,
    /// The highest ceiling that was reported, in micro-credits.
    pub ceiling: Credits,
}

#[derive(Debug, Default)]
struct StoredBackup {
    /// When the last report was received.
    last_report: Micros,
    block: BackedUpBlock,
}

/// The copies that one proxy keeps for others, in memory.
#[derive(Debug, Default)]
pub struct DebitBackup {
    blocks: BTreeMap<BlockId, StoredBackup>,
}

impl DebitBackup {
    /// Stores another proxy's report, which is to be acknowledged then.
    pub fn store(&mut self, now: Micros, report: &DebitReport) {
        let stored = self.blocks.entry(report.block).or_default();
        stored.last_report = now;
        report.batches.iter().for_each(|&batch| stored.block.debits.add(batch));
        stored.block.ceiling = stored.block.ceiling.max(report.ceiling);
    }

    /// The copy of a block, for the core. It is empty if nothing was reported to this process, which is a valid answer.
    pub fn block(&self, id: BlockId) -> BackedUpBlock {
        self.blocks.get(&id).map(|stored| stored.block.clone()).unwrap_or_default()
    }

    /// Removes copies that are older than the retention time.
    pub fn tick(&mut self, now: Micros) {
        self.blocks.retain(|_, stored| now < stored.last_report + RETENTION);
    }
}

/// The merged answers of a block's backups.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RecoveredBlock<'a> {
    /// Its debits.
    pub debits: &'a KnownDebits,
    /// The highest known ceiling, if enough backups answered that no acknowledged report can be missing.
    pub ceiling: Option<Credits>,
}

/// The core's query to the backups of one block.
#[derive(Debug)]
pub struct DebitRecovery {
    started: Micros,
    /// The number of the block's backups.
    backups: usize,
    unanswered: BTreeSet<Holder>,
    /// The number of backups that have answered.
    answers: usize,
    /// What the core knew of the block, merged with the answers.
    block: BackedUpBlock,
}

impl DebitRecovery {
    /// Starts the query. The caller queries all unanswered backups, and repeats that every 100 ms.
    pub fn new(now: Micros, block: &Block) -> DebitRecovery {
        let unanswered: BTreeSet<Holder> = block.backups.iter().cloned().collect();
        let known = BackedUpBlock { debits: block.debits.clone(), ceiling: block.ceiling };
        DebitRecovery { started: now, backups: unanswered.len(), unanswered, answers: 0, block: known }
    }

    /// The backups that have not answered yet.
    pub fn unanswered(&self) -> impl Iterator<Item = &Holder> {
        self.unanswered.iter()
    }

    /// Takes an answer from the process `from`. A different process of the same node is ignored: it has not acknowledged the reports.
    pub fn answer(&mut self, from: &Holder, block: &BackedUpBlock) {
        if self.unanswered.remove(from) {
            self.answers += 1;
            self.block.debits.merge(&block.debits);
            self.block.ceiling = self.block.ceiling.max(block.ceiling);
        }
    }

    /// The result, once all backups have answered or the time is up.
    pub fn result(&self, now: Micros) -> Option<RecoveredBlock<'_>> {
        let is_over = self.unanswered.is_empty() || now >= self.started + ANSWER_TIMEOUT;
        // So many have answered that any majority that acknowledged a report includes one of them.
        let is_certain = self.answers + majority(self.backups) > self.backups;
        let ceiling = is_certain.then_some(self.block.ceiling);
        is_over.then_some(RecoveredBlock { debits: &self.block.debits, ceiling })
    }
}
