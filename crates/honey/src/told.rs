//! What proxies, watchers and the core say to each other of blocks and debits.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};

use crate::{seeded, Credits, Defect, Micros};

/// A process of a proxy: what it held in memory ends with its life.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Holder {
    /// The node's name.
    pub name: String,
    /// The number of its process.
    pub life: u64,
}

/// A block's name: the fence under which it was leased, and which it was under that.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct BlockId {
    /// The fence.
    pub fence: u64,
    /// Counted from 0 under that fence.
    pub number: u32,
}

/// Batches of debits that are known of a block. A batch never changes, so copies merge in any order and number of times.
#[derive(Debug, Clone, PartialEq, Eq, Default, Encode, Decode)]
pub struct Told {
    /// All batches before this are known.
    pub upto: u32,
    sum: i64,
    later: BTreeMap<u32, i64>,
}

impl Told {
    /// Takes a batch of this number; one that is known counts no second time.
    pub fn batch(&mut self, number: u32, sum: i64) {
        if seeded(Defect::BatchTwice) && number < self.upto {
            self.sum += sum;
        }
        if number >= self.upto {
            self.later.insert(number, sum);
        }
        self.pack();
    }

    /// Takes what another copy knows.
    pub fn merge(&mut self, other: &Told) {
        if other.upto > self.upto {
            (self.upto, self.sum) = (other.upto, other.sum);
        }
        self.later.extend(&other.later);
        self.pack();
    }

    fn pack(&mut self) {
        self.later = self.later.split_off(&self.upto);
        while let Some(sum) = self.later.remove(&self.upto) {
            self.sum += sum;
            self.upto += 1;
        }
    }

    /// Micro-credits debited by what is known.
    pub fn sum(&self) -> Credits {
        (self.sum + self.later.values().sum::<i64>()).max(0) as Credits
    }
}

/// A proxy tells of a block's debits, to its watchers and to the core.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Tell {
    /// Which of the proxy's words on this block it is.
    pub turn: u64,
    /// The block.
    pub block: BlockId,
    /// It wants to spend up to this of the block, in micro-credits, once this word is kept.
    pub ceiling: Credits,
    /// Batches: their numbers, and micro-credits debited less those taken back.
    pub batches: Vec<(u32, i64)>,
    /// The proxy's last word: so many micro-credits were debited in all, and no more will be.
    pub spent: Option<Credits>,
}

/// A block, as it is granted to a proxy.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Lease {
    /// Its name.
    pub id: BlockId,
    /// Micro-credits in it.
    pub amount: Credits,
    /// Micro-credits of it that may be spent before any watcher has answered.
    pub ceiling: Credits,
    /// It may be spent for so long from when it was asked for.
    pub life: Micros,
    /// Who keeps its debits.
    pub watchers: Vec<Holder>,
}
