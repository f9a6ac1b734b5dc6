//! What one proxy holds of one tenant's credit, and the debits that it makes of it.

use std::collections::{BTreeMap, BTreeSet};

use bincode::{Decode, Encode};
use pinerelay_config_state::execution::ExecutionStatus;

use crate::told::{BlockId, Holder, Lease, Tell};
use crate::watch::enough;
use crate::{seeded, Credits, Defect, Micros};

/// Debits are told this often.
pub const TELL: Micros = 20_000;
/// With a debit that is not kept elsewhere for so long, nothing more is spent.
pub const STALE: Micros = 250_000;
/// A block that has not been used for so long is handed back.
pub const IDLE: Micros = 300_000;
/// A block is for what is asked within this time.
const AHEAD: Micros = 300_000;
/// An ask without an answer by then is made anew.
const ANSWER: Micros = 120_000;
/// No message is later than this.
const FORGET: Micros = 60_000_000;

/// What is to happen with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// It has its credit.
    Go,
    /// Credit is here or asked for, and cannot be spent yet.
    Wait,
}

/// A call for a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
pub struct Ask {
    /// Micro-credits wanted.
    pub want: Credits,
    /// Micro-credits without which it is of no use.
    pub need: Credits,
}

#[derive(Debug)]
struct Held {
    lease: Lease,
    until: Micros,
    /// Micro-credits taken by requests, sent or not; those debited; and those debited and told in batches.
    taken: Credits,
    debited: Credits,
    ceiling: Credits,
    /// Requests under way with it.
    open: u32,
    used: Micros,
    next: u32,
    turn: u64,
    /// Not yet in a batch: the sum, and since when.
    fresh: Option<(Micros, i64)>,
    /// Batches that the core has not acknowledged.
    batches: BTreeMap<u32, (Micros, i64)>,
    /// All before this are kept by enough watchers.
    safe: u32,
    /// Words not yet kept by enough: the ceiling, the next batch, and who keeps them.
    words: BTreeMap<u64, (Credits, u32, BTreeSet<Holder>)>,
    closing: bool,
}

impl Held {
    /// Since when a debit is not kept elsewhere.
    fn oldest(&self) -> Option<Micros> {
        let told = self.batches.range(self.safe..).next().map(|(_, &(at, _))| at);
        told.or(self.fresh.map(|(at, _)| at))
    }

    fn stale(&self, now: Micros) -> bool {
        self.oldest().is_some_and(|at| now >= at + STALE)
    }

    fn debit(&mut self, now: Micros, sum: i64) {
        self.debited = self.debited.saturating_add_signed(sum);
        self.fresh = Some(self.fresh.map_or((now, sum), |(at, fresh)| (at, fresh + sum)));
    }

    fn tell(&mut self, now: Micros, need: Credits) -> Tell {
        if let Some((at, sum)) = self.fresh.take() {
            self.batches.insert(self.next, (at, sum));
            self.next += 1;
        }
        self.turn += 1;
        let lead = self.lease.ceiling.max(need);
        let ceiling = if now < self.until && !self.closing { self.taken + lead } else { self.ceiling };
        let ceiling = ceiling.min(self.lease.amount).max(self.ceiling);
        self.words.insert(self.turn, (ceiling, self.next, BTreeSet::new()));
        while self.words.len() > 64 {
            self.words.pop_first();
        }
        let batches = self.batches.iter().map(|(&number, &(_, sum))| (number, sum)).collect();
        let spent = (self.closing && self.open == 0).then_some(self.debited);
        Tell { turn: self.turn, block: self.lease.id, ceiling, batches, spent }
    }
}

#[derive(Debug, Clone, Copy)]
struct Open {
    block: BlockId,
    price: Credits,
    debited: bool,
}

/// The pot of one tenant at one proxy.
#[derive(Debug, Default)]
pub struct Pot {
    blocks: BTreeMap<BlockId, Held>,
    open: BTreeMap<u64, Open>,
    asked: Option<Micros>,
    /// Micro-credits that were asked for since then, and in as long before; and the dearest that waits.
    demand: (Micros, Credits, Credits),
    need: Credits,
    /// Blocks that are over here: until when their grants may be heard again, and what was debited of them.
    gone: BTreeMap<BlockId, (Micros, Credits)>,
    told: Micros,
    stopped: bool,
}

impl Pot {
    fn fade(&mut self, now: Micros) {
        if now >= self.demand.0 + AHEAD {
            let before = if now >= self.demand.0 + 2 * AHEAD { 0 } else { self.demand.1 };
            self.demand = (now, 0, before);
            // What waits still says so again.
            self.need = 0;
        }
    }

    /// A request wants its credit: once for each, however many servers it is sent to.
    pub fn take(&mut self, now: Micros, request: u64, price: Credits) -> Take {
        self.fade(now);
        if self.open.contains_key(&request) {
            return Take::Go;
        }
        let fits = |held: &&mut Held| {
            let alive = now < held.until || seeded(Defect::SpentAfterLife);
            alive && !held.closing && held.taken + price <= held.ceiling && !held.stale(now)
        };
        self.demand.1 = self.demand.1.saturating_add(price);
        let Some(held) = self.blocks.values_mut().find(fits).filter(|_| !self.stopped) else {
            self.need = self.need.max(price);
            return Take::Wait;
        };
        self.need = 0;
        held.taken += price;
        held.open += 1;
        held.used = now;
        self.open.insert(request, Open { block: held.lease.id, price, debited: false });
        Take::Go
    }

    /// It is about to be sent to a server: from now on it may have run, and is debited, once. False: its block's life is
    /// over meanwhile, it must not be sent, and is to be taken anew.
    pub fn send(&mut self, now: Micros, request: u64) -> bool {
        let Some(open) = self.open.get_mut(&request) else { return false };
        let Some(held) = self.blocks.get_mut(&open.block) else { return false };
        if open.debited && !seeded(Defect::SecondServer) {
            return true;
        }
        if now >= held.until && !seeded(Defect::SpentAfterLife) {
            held.taken -= open.price;
            held.open -= 1;
            self.open.remove(&request);
            return false;
        }
        open.debited = true;
        held.debit(now, open.price as i64);
        true
    }

    /// It is over. One that never ran is not debited, or is so no longer.
    pub fn done(&mut self, now: Micros, request: u64, verdict: ExecutionStatus) {
        let Some(open) = self.open.remove(&request) else { return };
        let Some(held) = self.blocks.get_mut(&open.block) else { return };
        held.open -= 1;
        match (verdict, open.debited) {
            (ExecutionStatus::NotExecuted, true) => {
                held.taken -= open.price;
                held.debit(now, -(open.price as i64));
            }
            (ExecutionStatus::NotExecuted, false) => held.taken -= open.price,
            // Danger: what may have run is debited even if nobody said that it was sent.
            (_, false) => held.debit(now, open.price as i64),
            (_, true) => {}
        }
    }

    /// Stops (true), handing back what is not under way, or starts again. What is under way is carried through.
    pub fn stop(&mut self, stop: bool) {
        self.stopped = stop;
        if stop {
            self.recall();
        }
    }

    /// Little is left for all: what is not under way is handed back.
    pub fn recall(&mut self) {
        self.blocks.values_mut().for_each(|held| held.closing = true);
    }

    /// The call for a block that is due now, if any.
    pub fn ask(&mut self, now: Micros) -> Option<Ask> {
        self.fade(now);
        let demand = self.demand.1.max(self.demand.2);
        let waits = self.asked.is_some_and(|at| now < at + ANSWER);
        let alive = self.blocks.values().filter(|held| now < held.until && !held.closing);
        let (mut free, mut most) = (0, 0);
        for left in alive.map(|held| held.lease.amount - held.taken) {
            (free, most) = (free + left, most.max(left));
        }
        if waits || self.stopped || most >= self.need && free >= demand / 2 {
            return None;
        }
        self.asked = Some(now);
        let need = self.need.max(1);
        Some(Ask { want: demand.max(need), need })
    }

    /// A block that was asked for then; none: there is no credit, or the account is elsewhere.
    pub fn granted(&mut self, asked: Micros, now: Micros, lease: Option<Lease>) {
        self.asked = None;
        self.gone.retain(|_, (until, _)| now < *until);
        // Danger: a grant that is heard twice would be spent twice.
        let Some(lease) = lease.filter(|lease| !self.gone.contains_key(&lease.id)) else { return };
        let (until, ceiling, id) = (asked + lease.life, lease.ceiling, lease.id);
        self.blocks.entry(id).or_insert_with(|| Held {
            lease,
            until,
            taken: 0,
            debited: 0,
            ceiling,
            open: 0,
            used: now,
            next: 0,
            turn: 0,
            fresh: None,
            batches: BTreeMap::new(),
            safe: 0,
            words: BTreeMap::new(),
            closing: self.stopped,
        });
    }

    /// Words that are due now, each for the core and for these watchers. All are sent anew until they are acknowledged.
    pub fn tick(&mut self, now: Micros) -> Vec<(Tell, Vec<Holder>)> {
        if now < self.told + TELL {
            return Vec::new();
        }
        self.told = now;
        let mut out = Vec::new();
        for held in self.blocks.values_mut() {
            let over = now >= held.until && !seeded(Defect::SpentAfterLife);
            held.closing |= held.open == 0 && (over || now >= held.used + IDLE);
            let news = held.fresh.is_some() || !held.batches.is_empty();
            let soon = held.taken + self.need.max(held.lease.ceiling / 2 + 1);
            let short = held.ceiling < soon.min(held.lease.amount);
            if news || short && !over || held.closing {
                out.push((held.tell(now, self.need), held.lease.watchers.clone()));
            }
        }
        out
    }

    /// Somebody keeps a word: a watcher, or the core (none) at a majority.
    pub fn kept(&mut self, block: BlockId, turn: u64, by: Option<&Holder>) {
        let Some(held) = self.blocks.get_mut(&block) else { return };
        let enough = enough(held.lease.watchers.len());
        let Some((ceiling, next, keepers)) = held.words.get_mut(&turn) else { return };
        if let Some(by) = by.filter(|by| held.lease.watchers.contains(by)) {
            keepers.insert(by.clone());
        }
        if by.is_some() && keepers.len() < enough {
            return;
        }
        held.ceiling = held.ceiling.max(*ceiling);
        held.safe = held.safe.max(*next);
        if by.is_none() {
            held.batches = held.batches.split_off(next);
            held.words = held.words.split_off(&(turn + 1));
        }
    }

    /// The core has taken the last word on a block.
    pub fn closed(&mut self, now: Micros, block: BlockId) {
        if let Some(held) = self.blocks.remove(&block) {
            self.gone.insert(block, (now + FORGET, held.debited));
        }
    }

    /// The core asks after a block whose life is over. One that was never heard of here has not been spent, and never will.
    pub fn asked_after(&mut self, now: Micros, block: BlockId) -> Option<Tell> {
        if self.blocks.contains_key(&block) {
            return None;
        }
        let (_, spent) = *self.gone.entry(block).or_insert((now + FORGET, 0));
        Some(Tell { turn: 0, block, ceiling: 0, batches: Vec::new(), spent: Some(spent) })
    }

    /// Micro-credits that could still be spent here, were their words kept.
    pub fn free(&self, now: Micros) -> Credits {
        let alive = self.blocks.values().filter(|held| now < held.until && !held.closing);
        alive.map(|held| held.lease.amount - held.taken).sum()
    }

    #[cfg(test)]
    pub(crate) fn block_of(&self, request: u64) -> Option<BlockId> {
        self.open.get(&request).map(|open| open.block)
    }

    #[cfg(test)]
    pub(crate) fn oldest(&self, block: BlockId) -> Option<Micros> {
        self.blocks.get(&block)?.oldest()
    }
}
