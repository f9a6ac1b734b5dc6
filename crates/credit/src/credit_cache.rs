//! The blocks that one proxy holds of one tenant's credit, and its debits from them.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_config_state::execution::ExecutionStatus;

use crate::debit_backup::majority;
use crate::messages::{BlockGrant, BlockId, BlockRequest, DebitBatch, DebitReport, Holder};
use crate::{is_injected, Credits, Defect, Micros};

/// How often debits are reported.
pub const REPORT_INTERVAL: Micros = 20_000;
/// Once a debit has been unacknowledged by the core and a majority of the backups for this long, no more credit of its block is
/// reserved.
pub const MAX_UNACKNOWLEDGED: Micros = 250_000;
/// A block that has not been used for this long is returned.
pub const IDLE_TIMEOUT: Micros = 300_000;
/// The window over which demand is measured: a requested block is sized for the demand of one window.
const DEMAND_WINDOW: Micros = 300_000;
/// A block request that is unanswered for this long is repeated.
const REQUEST_TIMEOUT: Micros = 120_000;
/// The longest time for which a message can be delayed in the network.
const MAX_MESSAGE_DELAY: Micros = 60_000_000;
/// The most unacknowledged reports that are tracked per block.
const MAX_OPEN_REPORTS: usize = 64;

/// The result of reserving a request's credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reservation {
    /// The credit is reserved.
    Reserved,
    /// No block can pay for the request now, or the cache is stopped. The caller tries again later.
    Waiting,
}

/// Debits that are not in a batch yet.
#[derive(Debug, Clone, Copy)]
struct FreshDebits {
    /// When the first of them was made.
    since: Micros,
    amount: i64,
}

/// A batch that the core has not acknowledged.
#[derive(Debug, Clone, Copy)]
struct OpenBatch {
    /// When its first debit was made.
    since: Micros,
    amount: i64,
}

/// A report that not enough backups have acknowledged.
#[derive(Debug)]
struct OpenReport {
    ceiling: Credits,
    /// It covers all batches below this number.
    next_batch: u32,
    acknowledged_by: BTreeSet<Holder>,
}

/// A block that this proxy holds.
#[derive(Debug)]
struct HeldBlock {
    grant: BlockGrant,
    /// The end of its lifetime.
    until: Micros,
    /// Micro-credits reserved by requests, sent or not.
    reserved: Credits,
    /// Micro-credits debited.
    debited: Credits,
    /// The micro-credits of it that may be reserved, by the acknowledged reports.
    ceiling: Credits,
    /// The number of unfinished requests that it pays for.
    open_requests: u32,
    /// When credit of it was last reserved; at first, when it was granted.
    last_used: Micros,
    /// The number of the next batch.
    next_batch: u32,
    /// The sequence number of the last report.
    last_sequence: u64,
    fresh: Option<FreshDebits>,
    open_batches: BTreeMap<u32, OpenBatch>,
    /// A majority of the backups, or the core, has all batches below this number.
    backed_up_below: u32,
    open_reports: BTreeMap<u64, OpenReport>,
    /// No more credit is reserved from it; it is returned once its open requests have ended.
    is_closing: bool,
}

impl HeldBlock {
    fn new(now: Micros, requested_at: Micros, grant: BlockGrant, is_closing: bool) -> HeldBlock {
        HeldBlock {
            until: requested_at + grant.lifetime,
            ceiling: grant.ceiling,
            grant,
            reserved: 0,
            debited: 0,
            open_requests: 0,
            last_used: now,
            next_batch: 0,
            last_sequence: 0,
            fresh: None,
            open_batches: BTreeMap::new(),
            backed_up_below: 0,
            open_reports: BTreeMap::new(),
            is_closing,
        }
    }

    fn is_alive(&self, now: Micros) -> bool {
        now < self.until
    }

    fn unreserved(&self) -> Credits {
        self.grant.amount - self.reserved
    }

    /// The time of the oldest debit that neither the core nor a majority of the backups has acknowledged.
    fn unacknowledged_since(&self) -> Option<Micros> {
        let batch = self.open_batches.range(self.backed_up_below..).next();
        batch.map(|(_, batch)| batch.since).or(self.fresh.map(|fresh| fresh.since))
    }

    fn is_stale(&self, now: Micros) -> bool {
        self.unacknowledged_since().is_some_and(|since| now >= since + MAX_UNACKNOWLEDGED)
    }

    /// Whether a request of this price can be reserved from it.
    fn can_reserve(&self, now: Micros, price: Credits) -> bool {
        let is_alive = self.is_alive(now) || is_injected(Defect::SpentAfterLifetime);
        is_alive && !self.is_closing && self.reserved + price <= self.ceiling && !self.is_stale(now)
    }

    fn debit(&mut self, now: Micros, amount: i64) {
        self.debited = self.debited.saturating_add_signed(amount);
        let fresh = self.fresh.get_or_insert(FreshDebits { since: now, amount: 0 });
        fresh.amount += amount;
    }

    fn close_batch(&mut self) {
        if let Some(FreshDebits { since, amount }) = self.fresh.take() {
            self.open_batches.insert(self.next_batch, OpenBatch { since, amount });
            self.next_batch += 1;
        }
    }

    /// Whether a report is due.
    fn is_report_due(&self, now: Micros, needed: Credits) -> bool {
        let is_expired = !self.is_alive(now) && !is_injected(Defect::SpentAfterLifetime);
        let has_debits = self.fresh.is_some() || !self.open_batches.is_empty();
        let needed_ceiling = self.reserved + needed.max(self.grant.ceiling / 2 + 1);
        let needs_ceiling = self.ceiling < needed_ceiling.min(self.grant.amount);
        has_debits || needs_ceiling && !is_expired || self.is_closing
    }

    fn close_if_unused(&mut self, now: Micros) {
        let is_expired = !self.is_alive(now) && !is_injected(Defect::SpentAfterLifetime);
        let is_idle = now >= self.last_used + IDLE_TIMEOUT;
        self.is_closing |= self.open_requests == 0 && (is_expired || is_idle);
    }

    fn report(&mut self, now: Micros, needed: Credits) -> DebitReport {
        self.close_batch();
        self.last_sequence += 1;
        let ceiling = self.next_ceiling(now, needed);
        let acknowledged_by = BTreeSet::new();
        let report = OpenReport { ceiling, next_batch: self.next_batch, acknowledged_by };
        self.open_reports.insert(self.last_sequence, report);
        while self.open_reports.len() > MAX_OPEN_REPORTS {
            self.open_reports.pop_first();
        }
        let batches = self.open_batches.iter();
        let batches = batches.map(|(&number, batch)| DebitBatch { number, amount: batch.amount }).collect();
        let final_total = (self.is_closing && self.open_requests == 0).then_some(self.debited);
        DebitReport { sequence: self.last_sequence, block: self.grant.id, ceiling, batches, final_total }
    }

    /// The ceiling to announce in the next report.
    fn next_ceiling(&self, now: Micros, needed: Credits) -> Credits {
        let is_spendable = self.is_alive(now) && !self.is_closing;
        let headroom = self.grant.ceiling.max(needed);
        let ceiling = if is_spendable { self.reserved + headroom } else { self.ceiling };
        ceiling.min(self.grant.amount).max(self.ceiling)
    }
}

/// An unfinished request with reserved credit.
#[derive(Debug, Clone, Copy)]
struct OpenRequest {
    block: BlockId,
    price: Credits,
    is_debited: bool,
}

/// The recent demand for credit.
#[derive(Debug, Default)]
struct Demand {
    /// The start of the current window.
    window_start: Micros,
    /// Micro-credits requested in the current window.
    current: Credits,
    /// Micro-credits requested in the window before.
    previous: Credits,
    /// The price of the most expensive waiting request.
    needed: Credits,
}

impl Demand {
    fn advance(&mut self, now: Micros) {
        if now < self.window_start + DEMAND_WINDOW {
            return;
        }
        let is_recent = now < self.window_start + 2 * DEMAND_WINDOW;
        self.previous = if is_recent { self.current } else { 0 };
        self.window_start = now;
        self.current = 0;
        // A request that still waits calls `reserve` again.
        self.needed = 0;
    }

    fn wanted(&self) -> Credits {
        self.current.max(self.previous)
    }
}

/// A block that this proxy has closed or will never accept.
#[derive(Debug, Clone, Copy)]
struct EndedBlock {
    /// Until then, a duplicate of its grant may arrive.
    until: Micros,
    /// Micro-credits debited from it in all; 0 if it was never accepted.
    debited: Credits,
}

/// One tenant's credit at one proxy.
#[derive(Debug, Default)]
pub struct CreditCache {
    blocks: BTreeMap<BlockId, HeldBlock>,
    requests: BTreeMap<u64, OpenRequest>,
    /// When the unanswered block request was sent.
    requested_at: Option<Micros>,
    demand: Demand,
    ended: BTreeMap<BlockId, EndedBlock>,
    last_report: Micros,
    is_stopped: bool,
}

impl CreditCache {
    /// Reserves the credit of a request, once per request even if it is sent to several servers.
    pub fn reserve(&mut self, now: Micros, request: u64, price: Credits) -> Reservation {
        self.demand.advance(now);
        if self.requests.contains_key(&request) {
            return Reservation::Reserved;
        }
        self.demand.current = self.demand.current.saturating_add(price);
        let block = self.blocks.values_mut().find(|block| block.can_reserve(now, price));
        let Some(block) = block.filter(|_| !self.is_stopped) else {
            self.demand.needed = self.demand.needed.max(price);
            return Reservation::Waiting;
        };
        self.demand.needed = 0;
        block.reserved += price;
        block.open_requests += 1;
        block.last_used = now;
        self.requests.insert(request, OpenRequest { block: block.grant.id, price, is_debited: false });
        Reservation::Reserved
    }

    /// Debits a request that is about to be sent to a server, since it may be executed from then on; only the first sending counts.
    /// Returns whether it may be sent. If not, as its block's lifetime has ended, its credit must be reserved again.
    #[must_use]
    pub fn note_sending(&mut self, now: Micros, request: u64) -> bool {
        let Some(open) = self.requests.get_mut(&request) else { return false };
        let Some(block) = self.blocks.get_mut(&open.block) else { return false };
        if open.is_debited && !is_injected(Defect::SecondServer) {
            return true;
        }
        if !block.is_alive(now) && !is_injected(Defect::SpentAfterLifetime) {
            block.reserved -= open.price;
            block.open_requests -= 1;
            self.requests.remove(&request);
            return false;
        }
        open.is_debited = true;
        block.debit(now, open.price as i64);
        true
    }

    /// Ends a request. The debit of one that was not executed is reversed.
    pub fn finish(&mut self, now: Micros, request: u64, execution: ExecutionStatus) {
        let Some(open) = self.requests.remove(&request) else { return };
        let Some(block) = self.blocks.get_mut(&open.block) else { return };
        block.open_requests -= 1;
        match (execution, open.is_debited) {
            (ExecutionStatus::NotExecuted, true) => {
                block.reserved -= open.price;
                block.debit(now, -(open.price as i64));
            }
            (ExecutionStatus::NotExecuted, false) => block.reserved -= open.price,
            // What may have been executed is debited even if its sending was not noted.
            (_, false) => block.debit(now, open.price as i64),
            (_, true) => {}
        }
    }

    /// Stops, returning all credit that no unfinished request uses, or starts again. Unfinished requests keep their credit.
    pub fn set_stopped(&mut self, is_stopped: bool) {
        self.is_stopped = is_stopped;
        if is_stopped {
            self.return_all();
        }
    }

    /// Closes all blocks: nothing more is reserved from them, and each is returned once its requests have ended.
    pub fn return_all(&mut self) {
        self.blocks.values_mut().for_each(|block| block.is_closing = true);
    }

    fn spendable_blocks(&self, now: Micros) -> impl Iterator<Item = &HeldBlock> {
        self.blocks.values().filter(move |block| block.is_alive(now) && !block.is_closing)
    }

    /// Returns the block request to send now, if one is due.
    pub fn block_request(&mut self, now: Micros) -> Option<BlockRequest> {
        self.demand.advance(now);
        let wanted = self.demand.wanted();
        let is_waiting = self.requested_at.is_some_and(|at| now < at + REQUEST_TIMEOUT);
        let largest = self.spendable_blocks(now).map(HeldBlock::unreserved).max().unwrap_or(0);
        let has_enough = largest >= self.demand.needed && self.spendable(now) >= wanted / 2;
        if is_waiting || self.is_stopped || has_enough {
            return None;
        }
        self.requested_at = Some(now);
        let needed = self.demand.needed.max(1);
        Some(BlockRequest { wanted: wanted.max(needed), needed })
    }

    /// Takes the answer to a block request; `None` if there is no credit, or the account is at another core.
    pub fn granted(&mut self, requested_at: Micros, now: Micros, grant: Option<BlockGrant>) {
        self.requested_at = None;
        self.ended.retain(|_, block| now < block.until);
        // A duplicate of an ended block's grant must not be spent again.
        let Some(grant) = grant.filter(|grant| !self.ended.contains_key(&grant.id)) else { return };
        let is_stopped = self.is_stopped;
        self.blocks.entry(grant.id).or_insert_with(|| HeldBlock::new(now, requested_at, grant, is_stopped));
    }

    /// Returns the reports that are due now, each to be sent to the core and to the listed backups. Debits are reported again until
    /// the core has acknowledged them.
    pub fn tick(&mut self, now: Micros) -> Vec<(DebitReport, Vec<Holder>)> {
        if now < self.last_report + REPORT_INTERVAL {
            return Vec::new();
        }
        self.last_report = now;
        let needed = self.demand.needed;
        let mut reports = Vec::new();
        for block in self.blocks.values_mut() {
            block.close_if_unused(now);
            if block.is_report_due(now, needed) {
                reports.push((block.report(now, needed), block.grant.backups.clone()));
            }
        }
        reports
    }

    /// Takes a backup's acknowledgement of a report.
    pub fn acknowledged_by_backup(&mut self, block: BlockId, sequence: u64, backup: &Holder) {
        let Some(block) = self.blocks.get_mut(&block) else { return };
        let needed = majority(block.grant.backups.len());
        let Some(report) = block.open_reports.get_mut(&sequence) else { return };
        if block.grant.backups.contains(backup) {
            report.acknowledged_by.insert(backup.clone());
        }
        if report.acknowledged_by.len() >= needed {
            block.ceiling = block.ceiling.max(report.ceiling);
            block.backed_up_below = block.backed_up_below.max(report.next_batch);
        }
    }

    /// Takes the core's acknowledgement of a report: a majority of the stores has it.
    pub fn acknowledged_by_core(&mut self, block: BlockId, sequence: u64) {
        let Some(block) = self.blocks.get_mut(&block) else { return };
        let Some(report) = block.open_reports.get(&sequence) else { return };
        block.ceiling = block.ceiling.max(report.ceiling);
        block.backed_up_below = block.backed_up_below.max(report.next_batch);
        block.open_batches = block.open_batches.split_off(&report.next_batch);
        block.open_reports = block.open_reports.split_off(&(sequence + 1));
    }

    /// Removes a block after the core has taken its last report.
    pub fn closed(&mut self, now: Micros, block: BlockId) {
        if let Some(held) = self.blocks.remove(&block) {
            self.ended.insert(block, EndedBlock { until: now + MAX_MESSAGE_DELAY, debited: held.debited });
        }
    }

    /// Answers the core's query about an expired block, unless it is still held here. A block that is unknown here was not spent, and
    /// a grant of it that arrives later is ignored.
    pub fn final_report(&mut self, now: Micros, block: BlockId) -> Option<DebitReport> {
        if self.blocks.contains_key(&block) {
            return None;
        }
        let unspent = EndedBlock { until: now + MAX_MESSAGE_DELAY, debited: 0 };
        let debited = self.ended.entry(block).or_insert(unspent).debited;
        Some(DebitReport { sequence: 0, block, ceiling: 0, batches: Vec::new(), final_total: Some(debited) })
    }

    /// The unreserved micro-credits of all open blocks, regardless of their ceilings.
    pub fn spendable(&self, now: Micros) -> Credits {
        self.spendable_blocks(now).map(HeldBlock::unreserved).sum()
    }

    #[cfg(test)]
    pub(crate) fn block_of(&self, request: u64) -> Option<BlockId> {
        self.requests.get(&request).map(|open| open.block)
    }

    #[cfg(test)]
    pub(crate) fn unacknowledged_since(&self, block: BlockId) -> Option<Micros> {
        self.blocks.get(&block)?.unacknowledged_since()
    }
}
