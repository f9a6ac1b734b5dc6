//! Stops all proxies together when a tenant's credit is used up, restarts them together after a refill, and reserves places for the
//! requests that are deferred meanwhile.
//!
//! The level of a tenant's credit is a register that is merged by version, sent when it changes and repeated at an interval. A
//! deferred request is remembered by tenant and time slot, not by client: each node shares how many places of a slot it has promised
//! and how many were used, and the greater count of a node wins in a merge. So any node can admit a request that returns in its slot.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use pinerelay_config_state::hash;

use crate::{Credits, Micros};

#[cfg(test)]
mod tests;

/// The interval at which the core repeats the level.
pub const UPDATE_INTERVAL: Micros = 100_000;
/// The longest time from an `Empty` level at the core to the stop of a connected proxy, if messages take up to 50 ms and no two
/// updates in a row are lost.
pub const MAX_STOP_DELAY: Micros = 2 * UPDATE_INTERVAL + 50_000;
/// The length of a time slot on the core's clock.
pub const SLOT_LENGTH: Micros = 100_000;
/// A deferred request is to return after about this time at least, and at most about twice that.
pub const MIN_RETRY_AFTER: Micros = 2_000_000;
/// How long new requests are admitted only gradually after a restart; requests with promised places are admitted at once.
pub const RAMP_UP: Micros = 1_000_000;
/// Stopped proxies restart once the balance covers this many of the cheapest requests for each proxy.
const RESTART_REQUESTS: Credits = 2;
/// The level becomes low when the balance covers fewer than this many of the cheapest requests for each proxy.
const LOW_REQUESTS: Credits = 4;
/// The level stays low until the balance covers this many of the cheapest requests for each proxy.
const LOW_ENDS_REQUESTS: Credits = 8;

/// How much credit a tenant has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Encode, Decode)]
pub enum Level {
    /// The balance covers several of the cheapest requests for each proxy.
    #[default]
    Available,
    /// The balance covers few of the cheapest requests or none: proxies return what they do not use.
    Low,
    /// The balance is below the cheapest price, and less than that is leased per proxy: no request starts until the balance rises.
    Empty,
}

/// A version of a tenant's level, ordered by its fencing token and then its sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Encode, Decode)]
pub struct LevelUpdate {
    /// The fencing token under which it was decided.
    pub fencing_token: u64,
    /// The number of the update under that token.
    pub sequence: u64,
    /// The level.
    pub level: Level,
}

/// Determines the level at the core.
#[derive(Debug, Clone, Copy, Default)]
pub struct LevelController {
    current: LevelUpdate,
}

impl LevelController {
    /// A controller under a new fencing token.
    pub fn new(fencing_token: u64) -> LevelController {
        LevelController { current: LevelUpdate { fencing_token, ..LevelUpdate::default() } }
    }

    /// Determines the level. `cheapest` is the price of the cheapest request. After the stop, proxies return less than one such price
    /// each, which is not enough to restart them.
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

/// The places of a slot that one node has promised, and those that it has seen used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Encode, Decode)]
pub struct SlotCounts {
    /// The places promised to deferred requests.
    pub promised: u32,
    /// The places used by arrivals.
    pub used: u32,
}

/// The decision on an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It is admitted, provided that its credit can be reserved.
    Admitted,
    /// It is rejected at once, with a place promised in a later slot.
    Deferred {
        /// The slot of the promised place.
        slot: u64,
        /// The time to the middle of the slot.
        retry_after: Micros,
    },
}

/// Admits or defers one tenant's requests at one proxy.
#[derive(Debug, Default)]
pub struct ArrivalGate {
    own_name: String,
    current: LevelUpdate,
    /// When it last restarted.
    restarted_at: Option<Micros>,
    /// The place counts by slot and node name.
    counts: BTreeMap<u64, BTreeMap<String, SlotCounts>>,
    /// The number of new requests (without a promised place) since the restart.
    new_requests: u64,
}

impl ArrivalGate {
    /// A gate at the node `own_name`.
    pub fn new(own_name: &str) -> ArrivalGate {
        ArrivalGate { own_name: own_name.into(), ..ArrivalGate::default() }
    }

    /// Takes the core's level. Returns whether it is newer than the current one; the caller must then stop, empty or restart the
    /// credit cache accordingly.
    pub fn update(&mut self, now: Micros, update: LevelUpdate) -> bool {
        if update <= self.current {
            return false;
        }
        if self.current.level == Level::Empty && update.level != Level::Empty {
            self.restarted_at = Some(now);
            self.new_requests = 0;
        }
        self.current = update;
        true
    }

    /// The current level.
    pub fn level(&self) -> Level {
        self.current.level
    }

    /// Merges another node's counts of a slot.
    pub fn merge_counts(&mut self, slot: u64, node: &str, counts: SlotCounts) {
        let known = self.counts.entry(slot).or_default().entry(node.into()).or_default();
        known.promised = known.promised.max(counts.promised);
        known.used = known.used.max(counts.used);
    }

    /// This node's counts by slot, to be sent to the others.
    pub fn own_counts(&self) -> impl Iterator<Item = (u64, SlotCounts)> + '_ {
        self.counts.iter().filter_map(|(&slot, by_node)| Some((slot, *by_node.get(&self.own_name)?)))
    }

    /// The number of places of a slot that were promised and not used yet.
    pub fn open_places(&self, slot: u64) -> u32 {
        let Some(by_node) = self.counts.get(&slot) else { return 0 };
        let promised: u32 = by_node.values().map(|counts| counts.promised).sum();
        let used: u32 = by_node.values().map(|counts| counts.used).sum();
        promised.saturating_sub(used)
    }

    /// Decides on an arriving request. `core_time` is the time of the core's clock; `has_credit` is whether the request's price is
    /// reserved or a block has been requested.
    ///
    /// While the level is empty, or without credit, the request is deferred at once, with a place in a later slot. Promised places of
    /// the current slot take precedence over new requests.
    pub fn arrive(&mut self, now: Micros, core_time: Micros, request: u64, has_credit: bool) -> Arrival {
        let slot = core_time / SLOT_LENGTH;
        self.counts = self.counts.split_off(&slot.saturating_sub(1));
        // A slightly late arrival uses a place of the previous slot.
        let slots = [slot, slot.saturating_sub(1)];
        let place = slots.into_iter().find(|&slot| self.open_places(slot) > 0);
        if let Some(place) = place {
            self.own_counts_of(place).used += 1;
        }
        let can_admit = self.current.level != Level::Empty && has_credit;
        if can_admit && (place.is_some() || self.admits_new_request(now)) {
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

    /// Whether a new request is admitted: after a restart, a growing share of them is.
    fn admits_new_request(&mut self, now: Micros) -> bool {
        let elapsed = self.restarted_at.map(|restarted_at| now.saturating_sub(restarted_at));
        let Some(elapsed) = elapsed.filter(|&elapsed| elapsed < RAMP_UP) else { return true };
        self.new_requests += 1;
        // Admits n of every ten requests after n tenths of the ramp-up time. The factor 7 spreads them over the ten.
        self.new_requests * 7 % 10 < elapsed * 10 / RAMP_UP
    }
}
