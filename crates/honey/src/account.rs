//! One tenant's account at the core: refills, leased blocks, and what became of them.
//!
//! It is a set of records: a refill by its id, a block by its name. Each merges with another copy of itself in any order
//! and any number of times (a batch that is known counts once, an end only goes forward), so copies at several stores
//! need no log and no leader. Only who has the fence leases and settles, and it merges a majority's copies before.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use thiserror::Error;

use crate::told::{BlockId, Holder, Lease, Tell, Told};
use crate::{seeded, Credits, Defect, Micros};

/// How long a block may be spent from when it was asked for.
pub const LIFE: Micros = 1_000_000;
/// So long after its life, counted from when it was leased, a block is settled: what was told in it has arrived by then.
pub const MARGIN: Micros = 300_000;
/// Micro-credits that a proxy may spend ahead of what is kept elsewhere are this part of a block (and one request).
const LEAD: Credits = 8;

/// How a block ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum End {
    /// Its life is over without its holder's last word; no more than `ceiling` was spent.
    Lost {
        /// Micro-credits.
        ceiling: Credits,
    },
    /// Its holder said that it debited so much, and no more.
    Returned {
        /// Micro-credits.
        spent: Credits,
    },
    /// An operator said so of what stayed unsettled.
    Resolved {
        /// Micro-credits charged.
        spent: Credits,
    },
}

/// A block of credit.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Block {
    /// Its name.
    pub id: BlockId,
    /// Who may spend it.
    pub holder: Holder,
    /// Who keeps its debits.
    pub watchers: Vec<Holder>,
    /// Micro-credits.
    pub amount: Credits,
    /// The core knows that its holder may spend up to this, in micro-credits.
    pub ceiling: Credits,
    /// Debits that the core knows.
    pub told: Told,
    /// How it ended.
    pub end: Option<End>,
}

impl Block {
    fn merge(&mut self, other: &Block) {
        self.told.merge(&other.told);
        self.ceiling = self.ceiling.max(other.ceiling);
        self.end = self.end.max(other.end);
    }

    /// Micro-credits that are leased still, settled, unsettled, and given back; their sum is the amount.
    fn parts(&self) -> [Credits; 4] {
        let told = self.told.sum().min(self.amount);
        match self.end {
            None => [self.amount - told, told, 0, 0],
            Some(End::Lost { .. }) if seeded(Defect::UnsettledForgiven) => [0, told, 0, self.amount - told],
            Some(End::Lost { ceiling }) => {
                // A word that comes late moves what is unsettled, and never what was given back.
                let told = told.min(ceiling);
                [0, told, ceiling - told, self.amount - ceiling]
            }
            Some(End::Returned { spent } | End::Resolved { spent }) => [0, spent, 0, self.amount - spent],
        }
    }
}

/// What is written to the stores, and merged there.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Record {
    /// A refill.
    Refill {
        /// Its id, which its sender chose.
        id: String,
        /// Micro-credits.
        amount: Credits,
    },
    /// A block.
    Block(Block),
    /// The account was taken over. A block of an earlier fence after `last` was at no majority, so it was never granted.
    Reign {
        /// The new fence.
        fence: u64,
        /// The last block that a majority knew.
        last: Option<BlockId>,
    },
}

/// Why a call is turned down.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AccountError {
    /// Less credit is there than is needed.
    #[error("there is no credit")]
    Empty,
    /// A refill of this id is here with another amount.
    #[error("a refill of this id has another amount")]
    Differs,
    /// More than can be counted.
    #[error("the balance is more than can be counted")]
    TooMuch,
    /// Nothing is unsettled there, or less than that.
    #[error("not so much is unsettled there")]
    Settled,
}

/// Sums in micro-credits: `refilled` is always the four others together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Sums {
    /// All refills.
    pub refilled: Credits,
    /// What may be leased.
    pub balance: Credits,
    /// Out at proxies.
    pub leased: Credits,
    /// Debited.
    pub settled: Credits,
    /// Neither known as debited nor as not.
    pub unsettled: Credits,
}

/// Why the balance changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reason {
    /// A refill of this id.
    Refill(String),
    /// Out in this block.
    Leased(BlockId),
    /// Debited out of this block.
    Settled(BlockId),
    /// Given back from this block. It has no change of its own: it is no longer leased.
    Returned(BlockId),
    /// Kept back: it is not known whether it was debited.
    Unsettled(BlockId),
}

/// A line of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Why.
    pub reason: Reason,
    /// Micro-credits that it is about.
    pub amount: Credits,
    /// What it does to the balance, in micro-credits. The sum of all lines is the balance.
    pub change: i128,
}

/// The account.
#[derive(Debug, Clone, Default)]
pub struct Account {
    refills: BTreeMap<String, Credits>,
    blocks: BTreeMap<BlockId, Block>,
    /// When this process heard first of each block without an end.
    since: BTreeMap<BlockId, Micros>,
    /// By fence: the last block that a majority knew when it was taken.
    reigns: BTreeMap<u64, Option<BlockId>>,
}

impl Account {
    /// Takes a refill; none: it is here already.
    ///
    /// # Errors
    ///
    /// [`AccountError::Differs`], [`AccountError::TooMuch`].
    pub fn refill(&mut self, id: &str, amount: Credits) -> Result<Option<Record>, AccountError> {
        match self.refills.get(id) {
            Some(&old) if seeded(Defect::DoubleRefill) => {
                self.refills.insert(id.into(), old + amount);
                return Ok(Some(Record::Refill { id: id.into(), amount: old + amount }));
            }
            Some(&old) if old == amount => return Ok(None),
            Some(_) => return Err(AccountError::Differs),
            None => {}
        }
        // Debits are told as signed numbers.
        let fits = self.sums().refilled.checked_add(amount).is_some_and(|sum| i64::try_from(sum).is_ok());
        if !fits {
            return Err(AccountError::TooMuch);
        }
        self.refills.insert(id.into(), amount);
        Ok(Some(Record::Refill { id: id.into(), amount }))
    }

    /// Takes a record of another copy. Of two refills of one id, which no store takes, the greater stays in all copies.
    pub fn merge(&mut self, now: Micros, record: Record) {
        match record {
            Record::Refill { id, amount } => {
                let here = self.refills.entry(id).or_default();
                *here = amount.max(*here);
            }
            Record::Reign { fence, last } => {
                let here = self.reigns.entry(fence).or_insert(last);
                *here = last.max(*here);
            }
            Record::Block(block) => {
                self.since.entry(block.id).or_insert(now);
                let here = self.blocks.entry(block.id).or_insert_with(|| block.clone());
                here.merge(&block);
                if here.end.is_some() {
                    self.since.remove(&here.id);
                }
            }
        }
    }

    /// All records, for another copy.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        let refills = self.refills.iter().map(|(id, &amount)| Record::Refill { id: id.clone(), amount });
        let reigns = self.reigns.iter().map(|(&fence, &last)| Record::Reign { fence, last });
        refills.chain(reigns).chain(self.blocks.values().cloned().map(Record::Block))
    }

    /// This process takes the account over under a new fence, having merged copies of a majority of the stores, each of
    /// which takes nothing under an earlier fence from when it handed its copy over. The records are to be written to a
    /// majority before the first lease.
    pub fn take_over(&mut self, fence: u64) -> Vec<Record> {
        let before = self.blocks.range(..BlockId { fence, number: 0 });
        let last = before.map(|(id, _)| *id).rfind(|&id| !self.void(id));
        self.reigns.insert(fence, last);
        self.records().collect()
    }

    fn void(&self, id: BlockId) -> bool {
        self.reigns.range(id.fence + 1..).any(|(_, last)| *last < Some(id))
    }

    fn parts(&self) -> impl Iterator<Item = (&Block, [Credits; 4])> {
        self.blocks.values().filter(|block| !self.void(block.id)).map(|block| (block, block.parts()))
    }

    /// Leases a block under a fence that is held now: `want` micro-credits where there is plenty, and no more than what
    /// one request needs where little is left for `nodes` proxies. It is granted, and another leased, once the record is
    /// at a majority.
    ///
    /// # Errors
    ///
    /// [`AccountError::Empty`]: not even `need` is there.
    pub fn lease(
        &mut self,
        now: Micros,
        fence: u64,
        holder: &Holder,
        (want, need): (Credits, Credits),
        nodes: usize,
        watchers: Vec<Holder>,
    ) -> Result<(Lease, Record), AccountError> {
        let balance = self.sums().balance;
        let need = need.max(1);
        if balance < need {
            return Err(AccountError::Empty);
        }
        let amount = want.max(need).min((balance / (2 * nodes.max(1) as Credits)).max(need));
        let under = BlockId { fence, number: 0 }..=BlockId { fence, number: u32::MAX };
        let number = self.blocks.range(under).next_back().map_or(0, |(last, _)| last.number + 1);
        let id = BlockId { fence, number };
        let ceiling = (amount / LEAD).max(need);
        let (holder, told) = (holder.clone(), Told::default());
        let block = Block { id, holder, watchers: watchers.clone(), amount, ceiling, told, end: None };
        let record = Record::Block(block);
        self.merge(now, record.clone());
        Ok((Lease { id, amount, ceiling, life: LIFE, watchers }, record))
    }

    /// A proxy has told of a block. What comes back is to be written, and acknowledged once it is at a majority.
    pub fn told(&mut self, tell: &Tell) -> Option<Record> {
        let block = self.blocks.get_mut(&tell.block)?;
        tell.batches.iter().for_each(|&(number, sum)| block.told.batch(number, sum));
        block.ceiling = block.ceiling.max(tell.ceiling.min(block.amount));
        if let Some(spent) = tell.spent {
            block.end = block.end.max(Some(End::Returned { spent: spent.min(block.amount) }));
            self.since.remove(&tell.block);
        }
        Some(Record::Block(block.clone()))
    }

    /// Blocks whose life is over for sure, with no last word of their holders: their watchers are to be asked.
    pub fn due(&self, now: Micros) -> impl Iterator<Item = &Block> {
        let due = self.since.iter().filter(move |(_, &since)| now >= since + LIFE + MARGIN);
        due.filter(|(id, _)| !self.void(**id)).filter_map(|(id, _)| self.blocks.get(id))
    }

    /// Settles such a block by what its watchers keep: `told`, and the ceiling if enough of them are heard that none that
    /// was acknowledged can be missing; without one all that is not known as debited stays unsettled.
    pub fn settle(&mut self, id: BlockId, told: &Told, ceiling: Option<Credits>) -> Option<Record> {
        let block = self.blocks.get_mut(&id)?;
        block.told.merge(told);
        let ceiling = ceiling.map_or(block.amount, |c| c.max(block.ceiling).min(block.amount));
        block.end = block.end.or(Some(End::Lost { ceiling }));
        self.since.remove(&id);
        Some(Record::Block(block.clone()))
    }

    /// An operator decides on what is unsettled of a block: so many micro-credits of it are charged, the rest given back.
    ///
    /// # Errors
    ///
    /// [`AccountError::Settled`].
    pub fn resolve(&mut self, id: BlockId, charged: Credits) -> Result<Record, AccountError> {
        let block = self.blocks.get_mut(&id).ok_or(AccountError::Settled)?;
        let [_, settled, unsettled, _] = block.parts();
        if unsettled == 0 || charged > unsettled {
            return Err(AccountError::Settled);
        }
        block.end = Some(End::Resolved { spent: settled + charged });
        Ok(Record::Block(block.clone()))
    }

    /// The sums.
    pub fn sums(&self) -> Sums {
        let mut sums = Sums { refilled: self.refills.values().sum(), ..Sums::default() };
        let mut out: Credits = 0;
        for [leased, settled, unsettled, _] in self.parts().map(|(_, parts)| parts) {
            sums.leased += leased;
            sums.settled += settled;
            sums.unsettled += unsettled;
            out += leased + settled + unsettled;
        }
        // Danger: a copy that lacks a refill knows of more that is out than came in; it must lease nothing.
        sums.balance = sums.refilled.saturating_sub(out);
        sums
    }

    /// Each change, and why. Its sum is the balance, and below zero only in a copy that lacks a refill.
    pub fn statement(&self) -> Vec<Line> {
        let line =
            |reason, amount: Credits, sign: i128| Line { reason, amount, change: sign * i128::from(amount) };
        let refills = self.refills.iter().map(|(id, &amount)| line(Reason::Refill(id.clone()), amount, 1));
        let mut lines: Vec<Line> = refills.collect();
        for (block, [leased, settled, unsettled, returned]) in self.parts() {
            lines.push(line(Reason::Leased(block.id), leased, -1));
            lines.push(line(Reason::Settled(block.id), settled, -1));
            lines.push(line(Reason::Unsettled(block.id), unsettled, -1));
            lines.push(line(Reason::Returned(block.id), returned, 0));
        }
        lines.retain(|line| line.amount > 0);
        lines
    }

    /// Blocks of which something is unsettled, and how many micro-credits.
    pub fn unsettled(&self) -> impl Iterator<Item = (&Block, Credits)> {
        self.parts().map(|(block, parts)| (block, parts[2])).filter(|(_, unsettled)| *unsettled > 0)
    }

    /// A block.
    pub fn block(&self, id: BlockId) -> Option<&Block> {
        self.blocks.get(&id)
    }
}
