//! All proxies stop together when a tenant's credit is used up, start together after a refill, and remember deferred requests
//! meanwhile.
//!
//! The level of a tenant's credit is one register that merges by version, sent when it changes and again at an interval. A deferred
//! request is remembered by tenant and slot, not by client: nodes tell each other how many places of a slot were promised and how
//! many used, each its own two counts, and the greater count of a node wins. So any node recognises an arrival within a slot.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use pinerelay_config_state::hash;

use crate::{Credits, Micros};

#[cfg(test)]
mod tests;

/// How often the core repeats the level.
pub const UPDATE_INTERVAL: Micros = 100_000;
/// A proxy in contact has stopped so long after the core said so, if each way takes 50 ms and no two updates in a row are lost.
pub const MAX_STOP_DELAY: Micros = 2 * UPDATE_INTERVAL + 50_000;
/// The length of a slot, in the core's time.
pub const SLOT_LENGTH: Micros = 100_000;
/// A deferred request is to come back after at least so long, and at most twice that.
pub const MIN_RETRY_AFTER: Micros = 2_000_000;
/// After a start newcomers are admitted gradually over so long; promised places are admitted at once.
pub const RAMP_UP: Micros = 1_000_000;
/// Stopped proxies start again once there are so many of the cheapest requests for each.
const RESTART_REQUESTS: Credits = 2;
/// With fewer of the cheapest requests for each proxy than this, the level is low.
const LOW_REQUESTS: Credits = 4;
/// And it is low until there are so many.
const LOW_ENDS_REQUESTS: Credits = 8;

/// How much credit a tenant has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Encode, Decode)]
pub enum Level {
    /// Enough.
    #[default]
    Available,
    /// Little: proxies return what they do not use.
    Low,
    /// None: no request starts.
    Empty,
}

/// A version of a tenant's level, ordered by its fencing token and then its sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Encode, Decode)]
pub struct LevelUpdate {
    /// The fencing token under which it was decided.
    pub fencing_token: u64,
    /// Its number under that token.
    pub sequence: u64,
    /// The level.
    pub level: Level,
}

/// Decides at the core on the level.
#[derive(Debug, Clone, Copy, Default)]
pub struct LevelController {
    current: LevelUpdate,
}

impl LevelController {
    /// A controller under a new fencing token.
    pub fn new(fencing_token: u64) -> LevelController {
        LevelController { current: LevelUpdate { fencing_token, ..LevelUpdate::default() } }
    }

    /// Decides on the level. `cheapest` is the price of the cheapest request. What idle proxies return after the stop is less than
    /// one such a node, and does not start so many proxies again.
    pub fn step(
        &mut self,
        balance: Credits,
        leased: Credits,
        cheapest: Credits,
        proxies: usize,
    ) -> LevelUpdate {
        let one_each = cheapest.max(1).saturating_mul(proxies.max(1) as Credits);
        let below = |requests: Credits| balance < one_each.saturating_mul(requests);
        let level = match self.current.level {
            Level::Empty if below(RESTART_REQUESTS) => Level::Empty,
            _ if balance < cheapest && leased < one_each => Level::Empty,
            Level::Low if below(LOW_ENDS_REQUESTS) => Level::Low,
            _ if below(LOW_REQUESTS) => Level::Low,
            _ => Level::Available,
        };
        if level != self.current.level {
            self.current.sequence += 1;
            self.current.level = level;
        }
        self.current
    }
}

/// The places of a slot that one node has promised and seen used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Encode, Decode)]
pub struct SlotCounts {
    /// Promised.
    pub promised: u32,
    /// Used.
    pub used: u32,
}

/// What is to happen with an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It is admitted if its credit is reserved.
    Admitted,
    /// It is rejected at once, and has a place in this slot.
    Deferred {
        /// The slot.
        slot: u64,
        /// The time to the middle of the slot.
        retry_after: Micros,
    },
}

/// One tenant's pause at one proxy.
#[derive(Debug, Default)]
pub struct ArrivalGate {
    own_name: String,
    current: LevelUpdate,
    /// When it last started again.
    started: Option<Micros>,
    /// By slot, then by node.
    counts: BTreeMap<u64, BTreeMap<String, SlotCounts>>,
    /// Newcomers that arrived since the start.
    newcomers: u64,
}

impl ArrivalGate {
    /// A gate at the node of this name.
    pub fn new(own_name: &str) -> ArrivalGate {
        ArrivalGate { own_name: own_name.into(), ..ArrivalGate::default() }
    }

    /// Takes the core's level. Returns whether it is newer than the one here, so that the credit cache is to be stopped, emptied or
    /// started by it.
    pub fn update(&mut self, now: Micros, update: LevelUpdate) -> bool {
        if update <= self.current {
            return false;
        }
        if self.current.level == Level::Empty && update.level != Level::Empty {
            self.started = Some(now);
            self.newcomers = 0;
        }
        self.current = update;
        true
    }

    /// The level.
    pub fn level(&self) -> Level {
        self.current.level
    }

    /// Takes another node's counts of a slot.
    pub fn merge_counts(&mut self, slot: u64, node: &str, counts: SlotCounts) {
        let known = self.counts.entry(slot).or_default().entry(node.into()).or_default();
        known.promised = known.promised.max(counts.promised);
        known.used = known.used.max(counts.used);
    }

    /// This node's counts by slot, for the others.
    pub fn own_counts(&self) -> impl Iterator<Item = (u64, SlotCounts)> + '_ {
        self.counts.iter().filter_map(|(&slot, by_node)| Some((slot, *by_node.get(&self.own_name)?)))
    }

    /// How many places of a slot were promised and not used.
    pub fn open_places(&self, slot: u64) -> u32 {
        let Some(by_node) = self.counts.get(&slot) else { return 0 };
        let promised: u32 = by_node.values().map(|counts| counts.promised).sum();
        let used: u32 = by_node.values().map(|counts| counts.used).sum();
        promised.saturating_sub(used)
    }

    /// A request arrives. `core_time` is the core's time; `has_credit` tells whether its price is reserved, or a block requested.
    ///
    /// While the level is empty, or without credit, it is deferred at once, and its place is remembered. Promised places of the slot
    /// go before newcomers.
    pub fn arrive(&mut self, now: Micros, core_time: Micros, request: u64, has_credit: bool) -> Arrival {
        let slot = core_time / SLOT_LENGTH;
        self.counts = self.counts.split_off(&slot.saturating_sub(1));
        // An arrival that is a little late uses a place of the slot before.
        let slots = [slot, slot.saturating_sub(1)];
        let place = slots.into_iter().find(|&slot| self.open_places(slot) > 0);
        if let Some(place) = place {
            self.own_counts_of(place).used += 1;
        }
        let is_open = self.current.level != Level::Empty && has_credit;
        if is_open && (place.is_some() || self.admits_newcomer(now)) {
            return Arrival::Admitted;
        }
        self.defer(core_time, request)
    }

    fn defer(&mut self, core_time: Micros, request: u64) -> Arrival {
        let hash = hash::hash_parts(&[self.own_name.as_bytes(), &request.to_le_bytes()]);
        let slot = (core_time + MIN_RETRY_AFTER + hash % MIN_RETRY_AFTER) / SLOT_LENGTH;
        self.own_counts_of(slot).promised += 1;
        let middle = slot * SLOT_LENGTH + SLOT_LENGTH / 2;
        Arrival::Deferred { slot, retry_after: middle.saturating_sub(core_time) }
    }

    fn own_counts_of(&mut self, slot: u64) -> &mut SlotCounts {
        self.counts.entry(slot).or_default().entry(self.own_name.clone()).or_default()
    }

    /// After a start a growing part of the newcomers is admitted.
    fn admits_newcomer(&mut self, now: Micros) -> bool {
        let elapsed = self.started.map(|started| now.saturating_sub(started));
        let Some(elapsed) = elapsed.filter(|&elapsed| elapsed < RAMP_UP) else { return true };
        self.newcomers += 1;
        // Of each ten, as many as tenths of the time have elapsed.
        self.newcomers * 7 % 10 < elapsed * 10 / RAMP_UP
    }
}
