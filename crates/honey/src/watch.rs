//! Other proxies keep the debits of a proxy that has no disk, and its blocks are settled from them after its loss.

use std::collections::{BTreeMap, BTreeSet};

use bincode::{Decode, Encode};
use pinerelay_config_state::hash;

use crate::account::Block;
use crate::told::{BlockId, Holder, Tell, Told};
use crate::{Credits, Micros};

/// How many watchers a block has, where there are so many other proxies.
pub const WATCHERS: usize = 3;
/// A watcher that has not answered for so long is taken as lost: one that only stood still has come back by then.
pub const ANSWER: Micros = 3_000_000;
/// A watcher keeps what it was told for so long after the last word.
const KEEP: Micros = 60_000_000;

/// How many of so many watchers must keep a word before it counts: any two such sets have one in common.
pub fn enough(watchers: usize) -> usize {
    watchers / 2 + 1
}

/// Who watches a holder: rendezvous hashing over the other live proxies.
pub fn watchers(holder: &Holder, live: &BTreeSet<Holder>) -> Vec<Holder> {
    let others = live.iter().filter(|other| other.name != holder.name);
    let by_name: BTreeMap<&str, &Holder> = others.map(|other| (other.name.as_str(), other)).collect();
    let ranked = hash::rendezvous_order(&holder.name, by_name.keys().copied());
    ranked.into_iter().take(WATCHERS).map(|name| by_name[name].clone()).collect()
}

/// What a watcher keeps of a block.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
pub struct Kept {
    /// Debits.
    pub told: Told,
    /// The highest ceiling that was told, in micro-credits.
    pub ceiling: Credits,
}

/// All that a proxy keeps for others, in memory.
#[derive(Debug, Default)]
pub struct Watch {
    kept: BTreeMap<BlockId, (Micros, Kept)>,
}

impl Watch {
    /// Another proxy tells; its turn is to be acknowledged.
    pub fn heard(&mut self, now: Micros, tell: &Tell) {
        let (at, kept) = self.kept.entry(tell.block).or_default();
        *at = now;
        tell.batches.iter().for_each(|&(number, sum)| kept.told.batch(number, sum));
        kept.ceiling = kept.ceiling.max(tell.ceiling);
    }

    /// The core asks. Nothing kept is an answer, too: this process has been told nothing.
    pub fn asked(&self, block: BlockId) -> Kept {
        self.kept.get(&block).map(|(_, kept)| kept.clone()).unwrap_or_default()
    }

    /// Forgets what is old.
    pub fn tick(&mut self, now: Micros) {
        self.kept.retain(|_, (at, _)| now < *at + KEEP);
    }
}

/// The core asks the watchers of one block.
#[derive(Debug)]
pub struct Inquest {
    block: BlockId,
    from: Micros,
    watchers: usize,
    open: BTreeSet<Holder>,
    heard: usize,
    kept: Kept,
}

impl Inquest {
    /// Begins; all its watchers are to be asked, anew every 100 ms.
    pub fn new(now: Micros, block: &Block) -> Inquest {
        let open: BTreeSet<Holder> = block.watchers.iter().cloned().collect();
        let kept = Kept { told: block.told.clone(), ceiling: block.ceiling };
        Inquest { block: block.id, from: now, watchers: open.len(), open, heard: 0, kept }
    }

    /// The block.
    pub fn block(&self) -> BlockId {
        self.block
    }

    /// Who is still to answer.
    pub fn open(&self) -> impl Iterator<Item = &Holder> {
        self.open.iter()
    }

    /// A watcher answers. Danger: `from` is the process that answers; a new one of the same name knows nothing, and is not
    /// who was told.
    pub fn answer(&mut self, from: &Holder, kept: &Kept) {
        if self.open.remove(from) {
            self.heard += 1;
            self.kept.told.merge(&kept.told);
            self.kept.ceiling = self.kept.ceiling.max(kept.ceiling);
        }
    }

    /// Once all have answered, or time is over: the debits, and the ceiling if nothing acknowledged can be missing.
    pub fn result(&self, now: Micros) -> Option<(&Told, Option<Credits>)> {
        let over = self.open.is_empty() || now >= self.from + ANSWER;
        // One of those heard is among any that were enough to acknowledge.
        let sure = self.heard + enough(self.watchers) > self.watchers;
        over.then(|| (&self.kept.told, sure.then_some(self.kept.ceiling)))
    }
}
