//! One tenant's account at the core: refills, leased blocks, and what became of them.
//!
//! It is a set of records: a refill by its id, a block by its name. Each merges with another replica of itself in any order and any
//! number of times (a known batch counts once, an end only advances), so replicas at several stores need no log and no leader. Only
//! the holder of the fencing token leases and settles, and it merges the replicas of a majority first.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use thiserror::Error;

use crate::messages::{BlockGrant, BlockId, BlockRequest, DebitReport, Holder, KnownDebits};
use crate::{is_injected, Credits, Defect, Micros};

/// How long a block may be spent, from when it was requested.
pub const BLOCK_LIFETIME: Micros = 1_000_000;
/// How long after its lifetime, counted from when it was leased, a block is settled: all reports have arrived by then.
pub const SETTLEMENT_MARGIN: Micros = 300_000;
/// A proxy may spend this part of a block (and one request) ahead of what is acknowledged.
const UNACKNOWLEDGED_PART: Credits = 8;

/// How a block ended. The order is that in which ends replace each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum BlockEnd {
    /// Its lifetime is over without its holder's last report. No more than `ceiling` was spent.
    Lost {
        /// Micro-credits.
        ceiling: Credits,
    },
    /// Its holder reported that it debited so much, and no more.
    Returned {
        /// Micro-credits.
        debited: Credits,
    },
    /// An operator decided on what was unsettled.
    Resolved {
        /// Micro-credits charged.
        debited: Credits,
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
    pub backups: Vec<Holder>,
    /// Micro-credits.
    pub amount: Credits,
    /// Its holder may spend up to this, in micro-credits, as far as the core knows.
    pub ceiling: Credits,
    /// The debits that the core knows.
    pub debits: KnownDebits,
    /// How it ended.
    pub end: Option<BlockEnd>,
}

/// What became of a block's micro-credits. The sum of the parts is the block's amount.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
struct BlockParts {
    leased: Credits,
    settled: Credits,
    unsettled: Credits,
    returned: Credits,
}

impl Block {
    fn merge(&mut self, other: &Block) {
        self.debits.merge(&other.debits);
        self.ceiling = self.ceiling.max(other.ceiling);
        self.end = self.end.max(other.end);
    }

    fn parts(&self) -> BlockParts {
        let debited = self.debits.total().min(self.amount);
        match self.end {
            None => BlockParts { leased: self.amount - debited, settled: debited, ..BlockParts::default() },
            Some(BlockEnd::Lost { .. }) if is_injected(Defect::UnsettledForgiven) => {
                BlockParts { settled: debited, returned: self.amount - debited, ..BlockParts::default() }
            }
            Some(BlockEnd::Lost { ceiling }) => {
                // A report that arrives late settles what was unsettled, and never what was returned.
                let settled = debited.min(ceiling);
                let returned = self.amount - ceiling;
                BlockParts { leased: 0, settled, unsettled: ceiling - settled, returned }
            }
            Some(BlockEnd::Returned { debited } | BlockEnd::Resolved { debited }) => {
                BlockParts { settled: debited, returned: self.amount - debited, ..BlockParts::default() }
            }
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
    /// The account was taken over. A block of an earlier token after `last` was at no majority, so it was never granted.
    Takeover {
        /// The new fencing token.
        fencing_token: u64,
        /// The last block that a majority knew.
        last: Option<BlockId>,
    },
}

/// Why a call is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AccountError {
    /// Less credit is left than is needed.
    #[error("there is no credit")]
    Exhausted,
    /// There is a refill of this id with another amount.
    #[error("a refill of this id has another amount")]
    RefillConflict,
    /// The balance would overflow.
    #[error("the balance is more than can be counted")]
    Overflow,
    /// Less than that is unsettled of the block, or nothing.
    #[error("not so much is unsettled there")]
    NotUnsettled,
}

/// Totals in micro-credits: `refilled` is always the sum of the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Totals {
    /// All refills.
    pub refilled: Credits,
    /// What may be leased.
    pub balance: Credits,
    /// Leased to proxies.
    pub leased: Credits,
    /// Debited.
    pub settled: Credits,
    /// Not known whether it was debited.
    pub unsettled: Credits,
}

/// Why the balance changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementReason {
    /// A refill of this id.
    Refill(String),
    /// Leased in this block.
    Leased(BlockId),
    /// Debited from this block.
    Settled(BlockId),
    /// Returned from this block. It changes nothing: it is not leased any more.
    Returned(BlockId),
    /// Reserved, as it is not known whether it was debited.
    Unsettled(BlockId),
}

/// A line of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementLine {
    /// Why.
    pub reason: StatementReason,
    /// Micro-credits that it is about.
    pub amount: Credits,
    /// By how much it changes the balance, in micro-credits. The sum of all lines is the balance.
    pub change: i128,
}

impl StatementLine {
    fn credit(reason: StatementReason, amount: Credits) -> StatementLine {
        StatementLine { reason, amount, change: i128::from(amount) }
    }

    fn debit(reason: StatementReason, amount: Credits) -> StatementLine {
        StatementLine { reason, amount, change: -i128::from(amount) }
    }

    fn neutral(reason: StatementReason, amount: Credits) -> StatementLine {
        StatementLine { reason, amount, change: 0 }
    }
}

/// The account.
#[derive(Debug, Clone, Default)]
pub struct Account {
    refills: BTreeMap<String, Credits>,
    blocks: BTreeMap<BlockId, Block>,
    /// When this process first heard of each block without an end.
    open_since: BTreeMap<BlockId, Micros>,
    /// By fencing token: the last block that a majority knew when the account was taken over.
    takeovers: BTreeMap<u64, Option<BlockId>>,
}

impl Account {
    /// Takes a refill. Returns the record to write; `None` if it is known already.
    ///
    /// # Errors
    /// [`AccountError::RefillConflict`], [`AccountError::Overflow`].
    pub fn refill(&mut self, id: &str, amount: Credits) -> Result<Option<Record>, AccountError> {
        match self.refills.get(id) {
            Some(&known) if is_injected(Defect::DoubleRefill) => {
                self.refills.insert(id.into(), known + amount);
                return Ok(Some(Record::Refill { id: id.into(), amount: known + amount }));
            }
            Some(&known) if known == amount => return Ok(None),
            Some(_) => return Err(AccountError::RefillConflict),
            None => {}
        }
        // Debits are reported as signed numbers.
        let total = self.totals().refilled.checked_add(amount);
        if total.is_none_or(|total| i64::try_from(total).is_err()) {
            return Err(AccountError::Overflow);
        }
        self.refills.insert(id.into(), amount);
        Ok(Some(Record::Refill { id: id.into(), amount }))
    }

    /// Merges a record of another replica. Of two refills of one id, which no store accepts, the greater one wins everywhere.
    pub fn merge(&mut self, now: Micros, record: Record) {
        match record {
            Record::Refill { id, amount } => {
                let known = self.refills.entry(id).or_default();
                *known = amount.max(*known);
            }
            Record::Takeover { fencing_token, last } => {
                let known = self.takeovers.entry(fencing_token).or_insert(last);
                *known = last.max(*known);
            }
            Record::Block(block) => self.merge_block(now, &block),
        }
    }

    fn merge_block(&mut self, now: Micros, block: &Block) {
        self.open_since.entry(block.id).or_insert(now);
        let known = self.blocks.entry(block.id).or_insert_with(|| block.clone());
        known.merge(block);
        if known.end.is_some() {
            self.open_since.remove(&known.id);
        }
    }

    /// All records, for another replica.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        let refills = self.refills.iter().map(|(id, &amount)| Record::Refill { id: id.clone(), amount });
        let takeovers =
            self.takeovers.iter().map(|(&token, &last)| Record::Takeover { fencing_token: token, last });
        refills.chain(takeovers).chain(self.blocks.values().cloned().map(Record::Block))
    }

    /// This process takes the account over under a new fencing token. It has merged the replicas of a majority of the stores, each
    /// of which accepts nothing under an earlier token from when it handed its replica over. The records are to be written to a
    /// majority before the first lease.
    pub fn take_over(&mut self, fencing_token: u64) -> Vec<Record> {
        let earlier = self.blocks.range(..BlockId { fencing_token, number: 0 });
        let last = earlier.map(|(id, _)| *id).rfind(|&id| !self.is_void(id));
        self.takeovers.insert(fencing_token, last);
        self.records().collect()
    }

    /// Whether a block was at no majority when the account was taken over, so that it was never granted.
    fn is_void(&self, id: BlockId) -> bool {
        self.takeovers.range(id.fencing_token + 1..).any(|(_, last)| *last < Some(id))
    }

    fn granted_blocks(&self) -> impl Iterator<Item = (&Block, BlockParts)> {
        self.blocks.values().filter(|block| !self.is_void(block.id)).map(|block| (block, block.parts()))
    }

    /// Leases a block under a fencing token that is held now: as much as is wanted where there is plenty, and no more than one
    /// request needs where little is left for so many proxies. It is granted, and another one leased, once the record is at a
    /// majority.
    ///
    /// # Errors
    /// [`AccountError::Exhausted`]: there is not even what is needed.
    pub fn lease(
        &mut self,
        now: Micros,
        fencing_token: u64,
        holder: &Holder,
        request: BlockRequest,
        proxies: usize,
        backups: Vec<Holder>,
    ) -> Result<(BlockGrant, Record), AccountError> {
        let balance = self.totals().balance;
        let needed = request.needed.max(1);
        if balance < needed {
            return Err(AccountError::Exhausted);
        }
        let fair_part = balance / (2 * proxies.max(1) as Credits);
        let amount = request.wanted.max(needed).min(fair_part.max(needed));
        let ceiling = (amount / UNACKNOWLEDGED_PART).max(needed);
        let id = self.next_block_id(fencing_token);
        let block = Block {
            id,
            holder: holder.clone(),
            backups: backups.clone(),
            amount,
            ceiling,
            debits: KnownDebits::default(),
            end: None,
        };
        let record = Record::Block(block);
        self.merge(now, record.clone());
        Ok((BlockGrant { id, amount, ceiling, lifetime: BLOCK_LIFETIME, backups }, record))
    }

    fn next_block_id(&self, fencing_token: u64) -> BlockId {
        let first = BlockId { fencing_token, number: 0 };
        let under_token = first..=BlockId { fencing_token, number: u32::MAX };
        let last = self.blocks.range(under_token).next_back();
        last.map_or(first, |(last, _)| BlockId { fencing_token, number: last.number + 1 })
    }

    /// A proxy has reported on a block. The record is to be written, and the report acknowledged once it is at a majority.
    pub fn apply_report(&mut self, report: &DebitReport) -> Option<Record> {
        let block = self.blocks.get_mut(&report.block)?;
        report.batches.iter().for_each(|&batch| block.debits.add(batch));
        block.ceiling = block.ceiling.max(report.ceiling.min(block.amount));
        if let Some(total) = report.final_total {
            block.end = block.end.max(Some(BlockEnd::Returned { debited: total.min(block.amount) }));
            self.open_since.remove(&report.block);
        }
        Some(Record::Block(block.clone()))
    }

    /// Blocks whose lifetime is over for certain without a last report of their holders: their backups are to be queried.
    pub fn expired_blocks(&self, now: Micros) -> impl Iterator<Item = &Block> {
        let is_over = move |since: Micros| now >= since + BLOCK_LIFETIME + SETTLEMENT_MARGIN;
        let expired = self.open_since.iter().filter(move |(_, &since)| is_over(since));
        expired.filter(|(id, _)| !self.is_void(**id)).filter_map(|(id, _)| self.blocks.get(id))
    }

    /// Settles such a block by what its backups keep: the debits, and the ceiling if enough backups answered that nothing
    /// acknowledged can be missing. Without a ceiling all that is not known as debited stays unsettled.
    pub fn settle(&mut self, id: BlockId, debits: &KnownDebits, ceiling: Option<Credits>) -> Option<Record> {
        let block = self.blocks.get_mut(&id)?;
        block.debits.merge(debits);
        let ceiling = ceiling.map_or(block.amount, |ceiling| ceiling.max(block.ceiling).min(block.amount));
        block.end = block.end.or(Some(BlockEnd::Lost { ceiling }));
        self.open_since.remove(&id);
        Some(Record::Block(block.clone()))
    }

    /// An operator decides on what is unsettled of a block: so many micro-credits of it are charged, the rest is returned.
    ///
    /// # Errors
    /// [`AccountError::NotUnsettled`].
    pub fn resolve(&mut self, id: BlockId, charged: Credits) -> Result<Record, AccountError> {
        let block = self.blocks.get_mut(&id).ok_or(AccountError::NotUnsettled)?;
        let BlockParts { settled, unsettled, .. } = block.parts();
        if unsettled == 0 || charged > unsettled {
            return Err(AccountError::NotUnsettled);
        }
        block.end = Some(BlockEnd::Resolved { debited: settled + charged });
        Ok(Record::Block(block.clone()))
    }

    /// The totals.
    pub fn totals(&self) -> Totals {
        let mut totals = Totals { refilled: self.refills.values().sum(), ..Totals::default() };
        for (_, parts) in self.granted_blocks() {
            totals.leased += parts.leased;
            totals.settled += parts.settled;
            totals.unsettled += parts.unsettled;
        }
        // A replica that lacks a refill knows of more that was spent than came in; it must lease nothing.
        let spent = totals.leased + totals.settled + totals.unsettled;
        totals.balance = totals.refilled.saturating_sub(spent);
        totals
    }

    /// Each change of the balance, and why. Their sum is the balance, and below zero only in a replica that lacks a refill.
    pub fn statement(&self) -> Vec<StatementLine> {
        let refills = self.refills.iter();
        let mut lines: Vec<StatementLine> = refills
            .map(|(id, &amount)| StatementLine::credit(StatementReason::Refill(id.clone()), amount))
            .collect();
        for (block, parts) in self.granted_blocks() {
            lines.push(StatementLine::debit(StatementReason::Leased(block.id), parts.leased));
            lines.push(StatementLine::debit(StatementReason::Settled(block.id), parts.settled));
            lines.push(StatementLine::debit(StatementReason::Unsettled(block.id), parts.unsettled));
            lines.push(StatementLine::neutral(StatementReason::Returned(block.id), parts.returned));
        }
        lines.retain(|line| line.amount > 0);
        lines
    }

    /// Blocks of which something is unsettled, and how many micro-credits.
    pub fn unsettled(&self) -> impl Iterator<Item = (&Block, Credits)> {
        let unsettled = self.granted_blocks().map(|(block, parts)| (block, parts.unsettled));
        unsettled.filter(|(_, unsettled)| *unsettled > 0)
    }

    /// A block.
    pub fn block(&self, id: BlockId) -> Option<&Block> {
        self.blocks.get(&id)
    }
}
