//! One tenant's account at the core: refills, and leased blocks with their debits and ends.
//!
//! It is a set of records: refills and blocks, each by its id. Merging two replicas of a record is commutative and idempotent (a
//! known batch counts once, an end only advances), so replicas at several stores need no log and no leader. Only the holder of the
//! fencing token leases and settles, after it has merged the replicas of a majority.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use thiserror::Error;

use crate::messages::{BlockGrant, BlockId, BlockRequest, DebitReport, Holder, KnownDebits};
use crate::{is_injected, Credits, Defect, Micros};

/// How long a block may be spent, counted from its request.
pub const BLOCK_LIFETIME: Micros = 1_000_000;
/// A block is settled this long after its lifetime (counted from its lease), when all reports are expected to have arrived.
pub const SETTLEMENT_MARGIN: Micros = 300_000;
/// A new block's ceiling is its amount divided by this, but at least what one request needs: the most that its holder may spend
/// before a majority of its backups, or the core, has acknowledged a report.
const FIRST_CEILING_DIVISOR: Credits = 8;

/// How a block ended. A later variant replaces an earlier one when replicas merge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum BlockEnd {
    /// Its lifetime is over and its holder's last report is missing. At most `ceiling` was spent.
    Lost {
        /// The most that can have been spent, in micro-credits.
        ceiling: Credits,
    },
    /// Its holder sent the last report, and the rest was returned.
    Returned {
        /// Micro-credits debited in all.
        debited: Credits,
    },
    /// An operator decided how much of the unsettled amount is charged.
    Resolved {
        /// Micro-credits charged in all: those known to be debited before the decision, and those that the operator charged.
        debited: Credits,
    },
}

/// A block of credit that is leased to one proxy.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Block {
    /// Its id.
    pub id: BlockId,
    /// The proxy process that may spend it.
    pub holder: Holder,
    /// The proxy processes that keep copies of its debits.
    pub backups: Vec<Holder>,
    /// Its size in micro-credits.
    pub amount: Credits,
    /// The highest ceiling known to the core: how many micro-credits of it the holder may spend.
    pub ceiling: Credits,
    /// The debits known to the core.
    pub debits: KnownDebits,
    /// How it ended; `None` while it is leased.
    pub end: Option<BlockEnd>,
}

/// A block's micro-credits by state. The sum of the parts is the block's amount.
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
                // A late report settles unsettled micro-credits, but never those that were returned.
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

/// A part of the account, as it is written to the stores and merged there.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Record {
    /// A refill.
    Refill {
        /// Its id, chosen by the sender, which makes retries idempotent.
        id: String,
        /// The amount in micro-credits.
        amount: Credits,
    },
    /// A block.
    Block(Block),
    /// The account was taken over. Blocks of earlier tokens after `last` never reached a majority, so they were never granted.
    Takeover {
        /// The new fencing token.
        fencing_token: u64,
        /// The last granted block of an earlier token.
        last: Option<BlockId>,
    },
}

/// Why an operation on the account is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum AccountError {
    /// Less credit is left than one request needs.
    #[error("insufficient credit")]
    Exhausted,
    /// A refill with this id exists with a different amount.
    #[error("a refill with this id has a different amount")]
    RefillConflict,
    /// The balance would overflow.
    #[error("the balance would overflow")]
    Overflow,
    /// The block is unknown, has nothing unsettled, or less than the amount to be charged.
    #[error("the block is unknown, has nothing unsettled, or less than the amount to be charged")]
    ExceedsUnsettled,
}

/// Totals in micro-credits: `refilled` is the sum of the others, except in a replica that lacks a refill.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Totals {
    /// All refills.
    pub refilled: Credits,
    /// Available for leases.
    pub balance: Credits,
    /// Leased to proxies in blocks that have not ended, without the debits known to this replica.
    pub leased: Credits,
    /// Debited from blocks, as far as this replica knows, including what operators charged.
    pub settled: Credits,
    /// Of lost blocks: up to their ceilings, what is not known to be debited. It stays reserved until it is reported or resolved.
    pub unsettled: Credits,
}

/// Why the balance changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StatementReason {
    /// A refill of this id.
    Refill(String),
    /// Leased as this block, which has not ended, and not known to be debited.
    Leased(BlockId),
    /// Debited from this block, including what an operator charged.
    Settled(BlockId),
    /// Returned from this block. It doesn't change the balance: the returned part no longer counts as leased.
    Returned(BlockId),
    /// Reserved of this lost block, as it is not known whether it was debited.
    Unsettled(BlockId),
}

/// A line of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementLine {
    /// The reason of the change.
    pub reason: StatementReason,
    /// The micro-credits that were refilled, leased, debited, returned or reserved; above 0 in every line.
    pub amount: Credits,
    /// The change of the balance in micro-credits. The sum over all lines is the balance.
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

/// One replica of a tenant's account.
#[derive(Debug, Clone, Default)]
pub struct Account {
    refills: BTreeMap<String, Credits>,
    blocks: BTreeMap<BlockId, Block>,
    /// When this process first learned of each block that has not ended.
    open_since: BTreeMap<BlockId, Micros>,
    /// By fencing token: the last granted block when the account was taken over under it.
    takeovers: BTreeMap<u64, Option<BlockId>>,
}

impl Account {
    /// Adds a refill. Returns the record to write, or `None` if the refill is known already.
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
        // Debits are reported as `i64`, so the total must fit into one.
        let total = self.totals().refilled.checked_add(amount);
        if total.is_none_or(|total| i64::try_from(total).is_err()) {
            return Err(AccountError::Overflow);
        }
        self.refills.insert(id.into(), amount);
        Ok(Some(Record::Refill { id: id.into(), amount }))
    }

    /// Merges a record of another replica. If two refills have the same id, which no store accepts, the greater one wins in every
    /// replica.
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

    /// All records, to be merged into another replica.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        let refills = self.refills.iter().map(|(id, &amount)| Record::Refill { id: id.clone(), amount });
        let takeovers =
            self.takeovers.iter().map(|(&token, &last)| Record::Takeover { fencing_token: token, last });
        refills.chain(takeovers).chain(self.blocks.values().cloned().map(Record::Block))
    }

    /// Takes the account over under a new fencing token. The caller must have merged the replicas of a majority of the stores, and
    /// each of these must reject writes under earlier tokens since it sent its replica. The returned records must be written to a
    /// majority before the first lease.
    pub fn take_over(&mut self, fencing_token: u64) -> Vec<Record> {
        let earlier = self.blocks.range(..BlockId { fencing_token, number: 0 });
        let last = earlier.map(|(id, _)| *id).rfind(|&id| !self.is_void(id));
        self.takeovers.insert(fencing_token, last);
        self.records().collect()
    }

    /// Whether a block had not reached a majority when the account was taken over, so that it was never granted.
    fn is_void(&self, id: BlockId) -> bool {
        self.takeovers.range(id.fencing_token + 1..).any(|(_, last)| *last < Some(id))
    }

    fn granted_blocks(&self) -> impl Iterator<Item = (&Block, BlockParts)> {
        self.blocks.values().filter(|block| !self.is_void(block.id)).map(|block| (block, block.parts()))
    }

    /// Leases a block under the current fencing token: the wanted amount, but no more than half of the balance divided by the number
    /// of proxies, and at least what one request needs. The caller may send the grant, and lease another block, only once the
    /// record is at a majority.
    ///
    /// # Errors
    /// [`AccountError::Exhausted`]: the balance is below what is needed.
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
        let fair_share = balance / (2 * proxies.max(1) as Credits);
        let amount = request.wanted.max(needed).min(fair_share.max(needed));
        let ceiling = (amount / FIRST_CEILING_DIVISOR).max(needed);
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

    /// Applies a proxy's report. Returns the record to write; the report may be acknowledged once that is at a majority. `None` if
    /// the block is unknown.
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

    /// Blocks whose lifetime and settlement margin have passed without their holders' last reports: their backups are to be queried.
    pub fn expired_blocks(&self, now: Micros) -> impl Iterator<Item = &Block> {
        let is_over = move |since: Micros| now >= since + BLOCK_LIFETIME + SETTLEMENT_MARGIN;
        let expired = self.open_since.iter().filter(move |(_, &since)| is_over(since));
        expired.filter(|(id, _)| !self.is_void(**id)).filter_map(|(id, _)| self.blocks.get(id))
    }

    /// Settles an expired block from its backups' copies: the debits, and the ceiling if enough backups answered that no acknowledged
    /// report can be missing. Without a ceiling, everything that is not known to be debited stays unsettled.
    pub fn settle(&mut self, id: BlockId, debits: &KnownDebits, ceiling: Option<Credits>) -> Option<Record> {
        let block = self.blocks.get_mut(&id)?;
        block.debits.merge(debits);
        let ceiling = ceiling.map_or(block.amount, |ceiling| ceiling.max(block.ceiling).min(block.amount));
        block.end = block.end.or(Some(BlockEnd::Lost { ceiling }));
        self.open_since.remove(&id);
        Some(Record::Block(block.clone()))
    }

    /// Applies an operator's decision on a block's unsettled amount: `charged` micro-credits are charged, the rest is returned.
    ///
    /// # Errors
    /// [`AccountError::ExceedsUnsettled`].
    pub fn resolve(&mut self, id: BlockId, charged: Credits) -> Result<Record, AccountError> {
        let block = self.blocks.get_mut(&id).ok_or(AccountError::ExceedsUnsettled)?;
        let BlockParts { settled, unsettled, .. } = block.parts();
        if unsettled == 0 || charged > unsettled {
            return Err(AccountError::ExceedsUnsettled);
        }
        block.end = Some(BlockEnd::Resolved { debited: settled + charged });
        Ok(Record::Block(block.clone()))
    }

    /// The totals of all refills and granted blocks.
    pub fn totals(&self) -> Totals {
        let mut totals = Totals { refilled: self.refills.values().sum(), ..Totals::default() };
        for (_, parts) in self.granted_blocks() {
            totals.leased += parts.leased;
            totals.settled += parts.settled;
            totals.unsettled += parts.unsettled;
        }
        // In a replica that lacks a refill, more may be spent than refilled; the balance is 0 then, so that it leases nothing.
        let spent = totals.leased + totals.settled + totals.unsettled;
        totals.balance = totals.refilled.saturating_sub(spent);
        totals
    }

    /// The refills, and each granted block's micro-credits by state. The sum of the changes is the balance; it is
    /// negative only in a replica that lacks a refill.
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

    /// The blocks with an unsettled amount, and that amount in micro-credits.
    pub fn unsettled(&self) -> impl Iterator<Item = (&Block, Credits)> {
        let unsettled = self.granted_blocks().map(|(block, parts)| (block, parts.unsettled));
        unsettled.filter(|(_, unsettled)| *unsettled > 0)
    }

    /// The block with this id, granted or not.
    pub fn block(&self, id: BlockId) -> Option<&Block> {
        self.blocks.get(&id)
    }
}
