//! What proxies, their backups and the core send each other about blocks and debits.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};

use crate::{is_injected, Credits, Defect, Micros};

/// A process of a proxy. What it holds in memory ends with the process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Holder {
    /// The node's name.
    pub name: String,
    /// Another number in each run of the process.
    pub process_id: u64,
}

/// The name of a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct BlockId {
    /// The fencing token under which it was leased.
    pub fencing_token: u64,
    /// Its number under that token, from 0.
    pub number: u32,
}

/// A batch of debits. Its amount never changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct DebitBatch {
    /// Its number within its block, from 0.
    pub number: u32,
    /// Micro-credits debited less those taken back.
    pub amount: i64,
}

/// The batches that are known of a block. A batch never changes, so replicas merge in any order and any number of times.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
pub struct KnownDebits {
    /// All batches below this number are known.
    complete_below: u32,
    /// The sum of those.
    sum: i64,
    /// Batches above a gap.
    later: BTreeMap<u32, i64>,
}

impl KnownDebits {
    /// Adds a batch. One that is known already counts no second time.
    pub fn add(&mut self, batch: DebitBatch) {
        if is_injected(Defect::DoubleBatch) && batch.number < self.complete_below {
            self.sum += batch.amount;
        }
        if batch.number >= self.complete_below {
            self.later.insert(batch.number, batch.amount);
        }
        self.compact();
    }

    /// Adds the batches that another replica knows.
    pub fn merge(&mut self, other: &KnownDebits) {
        if other.complete_below > self.complete_below {
            self.complete_below = other.complete_below;
            self.sum = other.sum;
        }
        self.later.extend(&other.later);
        self.compact();
    }

    fn compact(&mut self) {
        self.later = self.later.split_off(&self.complete_below);
        while let Some(amount) = self.later.remove(&self.complete_below) {
            self.sum += amount;
            self.complete_below += 1;
        }
    }

    /// Micro-credits debited by all known batches.
    pub fn total(&self) -> Credits {
        (self.sum + self.later.values().sum::<i64>()).max(0) as Credits
    }
}

/// A proxy's report of the debits of a block, to the core and to the backups.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct DebitReport {
    /// Which of the proxy's reports on this block it is.
    pub sequence: u64,
    /// The block.
    pub block: BlockId,
    /// The proxy is going to spend up to this of the block, in micro-credits, once this report is acknowledged.
    pub ceiling: Credits,
    /// Batches that the core has not acknowledged.
    pub batches: Vec<DebitBatch>,
    /// In the last report: the micro-credits that were debited in all. No more will be.
    pub final_total: Option<Credits>,
}

/// A request for a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct BlockRequest {
    /// Micro-credits wanted.
    pub wanted: Credits,
    /// Micro-credits without which a block is of no use.
    pub needed: Credits,
}

/// A block as it is granted to a proxy.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct BlockGrant {
    /// Its name.
    pub id: BlockId,
    /// Micro-credits in it.
    pub amount: Credits,
    /// Micro-credits of it that may be spent before any report was acknowledged.
    pub ceiling: Credits,
    /// How long it may be spent, from when it was requested.
    pub lifetime: Micros,
    /// Who keeps its debits.
    pub backups: Vec<Holder>,
}
