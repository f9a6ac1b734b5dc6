//! The parts of a simulation: proxies, the core, the stores, and the network between them.

use std::collections::BTreeMap;

use mountbend::measure::uniform;

use crate::account::{Account, Record};
use crate::credit_cache::CreditCache;
use crate::debit_backup::{BackedUpBlock, DebitBackup, DebitRecovery};
use crate::messages::{BlockGrant, BlockId, BlockRequest, DebitReport, Holder};
use crate::pause::{ArrivalGate, LevelController, LevelUpdate};
use crate::{Credits, Micros};

/// The time between two steps.
pub(super) const STEP: Micros = 5_000;
pub(super) const PROXIES: usize = 6;
pub(super) const STORES: usize = 3;
/// An index that no store has: all stores are reachable.
pub(super) const NO_STORE: usize = 9;
pub(super) const PRICES: [Credits; 3] = [3, 10, 25];

#[derive(Clone)]
pub(super) enum Message {
    BlockRequest { from: Holder, requested_at: Micros, request: BlockRequest },
    BlockGrant { requested_at: Micros, grant: Option<BlockGrant> },
    Report { from: Holder, report: DebitReport },
    AcknowledgedByBackup { block: BlockId, sequence: u64, backup: Holder },
    AcknowledgedByCore { block: BlockId, sequence: u64 },
    Closed(BlockId),
    Level(LevelUpdate),
    FinalReportRequest(BlockId),
    BackupRequest(BlockId),
    BackupAnswer { from: Holder, block: BlockId, backup: BackedUpBlock },
}

/// The recipient of a message.
#[derive(Clone, PartialEq, Eq)]
pub(super) enum Destination {
    Core,
    Proxy(Holder),
}

/// A request waiting for credit at a proxy.
pub(super) struct WaitingRequest {
    pub id: u64,
    pub price: Credits,
    pub since: Micros,
}

/// A request with reserved credit.
pub(super) struct RunningRequest {
    pub id: u64,
    pub price: Credits,
    /// When it is sent.
    pub sent_at: Micros,
    /// When it ends.
    pub ends_at: Micros,
    pub is_sent: bool,
}

pub(super) struct Proxy {
    pub holder: Holder,
    pub dead_until: Micros,
    pub frozen_until: Micros,
    pub cache: CreditCache,
    pub backup: DebitBackup,
    pub gate: ArrivalGate,
    pub waiting: Vec<WaitingRequest>,
    pub running: Vec<RunningRequest>,
}

impl Proxy {
    pub(super) fn new(index: usize, process_id: u64) -> Proxy {
        let name = format!("p{index}");
        let gate = ArrivalGate::new(&name);
        Proxy {
            holder: Holder { name, process_id },
            dead_until: 0,
            frozen_until: 0,
            cache: CreditCache::default(),
            backup: DebitBackup::default(),
            gate,
            waiting: Vec::new(),
            running: Vec::new(),
        }
    }

    pub(super) fn is_alive(&self, now: Micros) -> bool {
        now >= self.dead_until
    }

    pub(super) fn runs(&self, now: Micros) -> bool {
        self.is_alive(now) && now >= self.frozen_until
    }
}

/// The recovery of a block, and when its backups were last queried.
pub(super) struct Recovery {
    pub recovery: DebitRecovery,
    pub last_query: Micros,
}

pub(super) struct Core {
    pub fencing_token: u64,
    pub account: Account,
    pub controller: LevelController,
    pub recoveries: BTreeMap<BlockId, Recovery>,
    /// Records that have not reached a majority of the stores.
    pub unwritten: Vec<Record>,
    pub last_update: Micros,
}

#[derive(Default)]
pub(super) struct Store {
    /// It rejects writes under earlier tokens.
    pub promised_token: u64,
    pub account: Account,
}

/// What the servers received of a block's requests.
#[derive(Default)]
pub(super) struct ServedBlock {
    /// Micro-credits of requests that were sent and may have been executed.
    pub net: Credits,
    /// Micro-credits of all requests that were sent.
    pub gross: Credits,
    /// Micro-credits of requests that were sent and have not ended.
    pub under_way: Credits,
    /// The greatest value of `under_way` so far.
    pub most_under_way: Credits,
    /// The ceiling in the block's grant.
    pub ceiling: Credits,
    /// When the block was granted.
    pub granted: Micros,
    /// When the last request was sent.
    pub last_sent: Micros,
    pub is_spent_after_lifetime: bool,
}

/// The greatest of some amounts, and their sum.
#[derive(Debug, Default, Clone, Copy)]
pub(super) struct Amounts {
    pub greatest: Credits,
    pub sum: Credits,
}

impl Amounts {
    pub(super) fn add(&mut self, amount: Credits) {
        self.greatest = self.greatest.max(amount);
        self.sum += amount;
    }
}

#[derive(Default)]
pub(super) struct Statistics {
    pub executed: u64,
    pub deferred: u64,
    pub proxies_killed: u64,
    /// Recoveries without a ceiling, as too few backups answered in time.
    pub uncertain_recoveries: u64,
    /// Unsettled micro-credits of each block that ended as lost.
    pub unsettled: Amounts,
    /// The same for lost blocks with a ceiling below their amount: enough backups have answered that no acknowledged report can be
    /// missing.
    pub certain_unsettled: Amounts,
    pub lost_blocks: u64,
    /// The times from a balance below the cheapest price to the level `Empty`.
    pub exhaustion_delays: Vec<Micros>,
    /// The times from the level `Empty` to the last proxy's stop.
    pub stop_delays: Vec<Micros>,
    /// The micro-credits left at proxies when the level became empty.
    pub stranded: Vec<Credits>,
}

#[derive(Clone)]
pub(super) struct Delivery {
    pub to: Destination,
    pub message: Message,
}

pub(super) struct Network {
    rng_state: u64,
    deliveries: BTreeMap<(Micros, u64), Delivery>,
    last_number: u64,
}

impl Network {
    pub(super) fn new(seed: u64) -> Network {
        Network { rng_state: seed, deliveries: BTreeMap::new(), last_number: 0 }
    }

    /// Returns a random number below a bound.
    pub(super) fn random_below(&mut self, bound: u64) -> u64 {
        (uniform(&mut self.rng_state) * bound as f64) as u64
    }

    pub(super) fn one_in(&mut self, bound: u64) -> bool {
        self.random_below(bound) == 0
    }

    /// Sends a message, which may be lost, duplicated or very late.
    pub(super) fn send(&mut self, now: Micros, to: Destination, message: Message) {
        let copies = match self.random_below(100) {
            0..3 => 0,
            3..6 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let max_delay = if self.one_in(200) { 3_000_000 } else { 40_000 };
            let at = now + 1_000 + self.random_below(max_delay);
            self.deliver_at(at, Delivery { to: to.clone(), message: message.clone() });
        }
    }

    pub(super) fn deliver_at(&mut self, at: Micros, delivery: Delivery) {
        self.last_number += 1;
        self.deliveries.insert((at, self.last_number), delivery);
    }

    /// Removes and returns the next message that is due.
    pub(super) fn next_delivery(&mut self, now: Micros) -> Option<Delivery> {
        let entry = self.deliveries.first_entry().filter(|entry| entry.key().0 <= now)?;
        Some(entry.remove())
    }
}

/// Writes a record to all reachable stores that accept the token. Returns whether a majority has it.
pub(super) fn write(
    now: Micros,
    stores: &mut [Store],
    unreachable: usize,
    fencing_token: u64,
    record: &Record,
) -> bool {
    let accepts = |index: usize, store: &Store| index != unreachable && store.promised_token <= fencing_token;
    let reached = stores.iter_mut().enumerate().filter(|(index, store)| accepts(*index, store));
    reached.map(|(_, store)| store.account.merge(now, record.clone())).count() > STORES / 2
}
