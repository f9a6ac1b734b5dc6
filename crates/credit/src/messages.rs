//! The messages about blocks and debits between proxies, their backups and the core.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};

use crate::{is_injected, Credits, Defect, Micros};

/// One process of a proxy. Its credit is in memory only, so a restarted process is a different holder.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Holder {
    /// The node's name.
    pub name: String,
    /// A number that differs in each run of the process.
    pub process_id: u64,
}

/// The id of a block.
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
    /// Micro-credits debited, minus debits that were reversed.
    pub amount: i64,
}

/// The known batches of a block. A batch never changes, so merging replicas is commutative and idempotent.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
pub struct KnownDebits {
    /// All batches below this number are known.
    complete_below: u32,
    /// The sum of the batches below `complete_below`.
    sum: i64,
    /// Batches above a gap, by number.
    later: BTreeMap<u32, i64>,
}

impl KnownDebits {
    /// Adds a batch. A known batch is not counted again.
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
    /// The number of the report among those of this block. The first is 1; 0 marks an answer to a final report request.
    pub sequence: u64,
    /// The block that is reported on.
    pub block: BlockId,
    /// The micro-credits of the block that the proxy may spend once this report is acknowledged.
    pub ceiling: Credits,
    /// Batches that the core has not acknowledged.
    pub batches: Vec<DebitBatch>,
    /// In the last report: the micro-credits debited in all. Nothing more will be debited.
    pub final_total: Option<Credits>,
}

/// A request for a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct BlockRequest {
    /// Micro-credits wanted.
    pub wanted: Credits,
    /// The smallest useful size of the block in micro-credits: the price of a waiting request.
    pub needed: Credits,
}

/// The grant of a block to a proxy.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct BlockGrant {
    /// The block's id.
    pub id: BlockId,
    /// Its size in micro-credits.
    pub amount: Credits,
    /// The micro-credits of it that may be spent before any report is acknowledged.
    pub ceiling: Credits,
    /// How long it may be spent, counted from its request.
    pub lifetime: Micros,
    /// The proxy processes that keep copies of its debits.
    pub backups: Vec<Holder>,
}
