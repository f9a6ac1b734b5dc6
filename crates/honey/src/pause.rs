//! All proxies stop together when a tenant's credit is used up, start together after a refill, and keep places meanwhile.
//!
//! The core's word on a tenant is one register that merges by version, sent as news and carried by each beat. A place is
//! kept by tenant and slot, not by client: nodes tell each other how many places of a slot are kept and how many taken,
//! each its own two numbers, and the greater number of a node counts. So any node recognises an arrival inside a slot.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};
use pinerelay_config_state::hash;

use crate::{Credits, Micros};

/// The core's word is sent anew this often.
pub const BEAT: Micros = 100_000;
/// A proxy in touch has stopped so long after the core said so, if each way takes 50 ms and one word in a row is lost.
pub const STOP: Micros = 2 * BEAT + 50_000;
/// Slots are so long, in the core's time.
pub const SLOT: Micros = 100_000;
/// A refused request is to come back after at least so long, and at most twice that.
pub const BACK: Micros = 2_000_000;
/// After a start newcomers are let in bit by bit over so long; kept places go at once.
pub const RAMP: Micros = 1_000_000;

/// Where a tenant stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Encode, Decode)]
pub enum Level {
    /// There is credit.
    #[default]
    Flows,
    /// Little: proxies hand back what they do not use.
    Low,
    /// None: nothing starts.
    Empty,
}

/// The core's word, ordered by its fence and then its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Encode, Decode)]
pub struct News {
    /// The fence under which it was said.
    pub fence: u64,
    /// Counted under that fence.
    pub turn: u64,
    /// Where the tenant stands.
    pub level: Level,
}

/// Decides at the core where a tenant stands.
#[derive(Debug, Clone, Copy, Default)]
pub struct Gate {
    news: News,
}

impl Gate {
    /// Under a new fence.
    pub fn new(fence: u64) -> Gate {
        Gate { news: News { fence, ..News::default() } }
    }

    /// The word in force. `least` is the price of the cheapest request; what idle proxies hand back after the stop is less
    /// than one such a node, and does not start `nodes` proxies again: two each do.
    pub fn step(&mut self, balance: Credits, leased: Credits, least: Credits, nodes: usize) -> News {
        let each = least.max(1).saturating_mul(nodes.max(1) as Credits);
        let level = match self.news.level {
            Level::Empty if balance < each.saturating_mul(2) => Level::Empty,
            _ if balance < least && leased < each => Level::Empty,
            Level::Low if balance < each.saturating_mul(8) => Level::Low,
            _ if balance < each.saturating_mul(4) => Level::Low,
            _ => Level::Flows,
        };
        if level != self.news.level {
            self.news.turn += 1;
            self.news.level = level;
        }
        self.news
    }
}

/// Places that one node knows of in one slot: its own two numbers are kept here, those of others merged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Encode, Decode)]
pub struct Places {
    /// Promised.
    pub kept: u32,
    /// Used.
    pub taken: u32,
}

/// What is to happen with an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// It goes if the pot has its credit.
    Go,
    /// It is refused at once; its place is in this slot, and it is to come back after so long.
    Later {
        /// The slot.
        slot: u64,
        /// Microseconds, to the middle of the slot.
        back: Micros,
    },
}

/// One tenant's pause at one proxy.
#[derive(Debug, Default)]
pub struct Valve {
    me: String,
    news: News,
    started: Option<Micros>,
    /// By slot, then by node.
    places: BTreeMap<u64, BTreeMap<String, Places>>,
    /// Newcomers let in since the start, and asked.
    count: u64,
}

impl Valve {
    /// At the node of this name.
    pub fn new(me: &str) -> Valve {
        Valve { me: me.into(), ..Valve::default() }
    }

    /// The core's word is heard. True: it is news here, and the pot is to be stopped, recalled or started by it.
    pub fn heard(&mut self, now: Micros, news: News) -> bool {
        if news <= self.news {
            return false;
        }
        if self.news.level == Level::Empty && news.level != Level::Empty {
            self.started = Some(now);
            self.count = 0;
        }
        self.news = news;
        true
    }

    /// Where the tenant stands.
    pub fn level(&self) -> Level {
        self.news.level
    }

    /// Another node's numbers of a slot.
    pub fn told(&mut self, slot: u64, node: &str, places: Places) {
        let here = self.places.entry(slot).or_default().entry(node.into()).or_default();
        here.kept = here.kept.max(places.kept);
        here.taken = here.taken.max(places.taken);
    }

    /// This node's numbers, for the others.
    pub fn mine(&self) -> impl Iterator<Item = (u64, Places)> + '_ {
        self.places.iter().filter_map(|(&slot, by)| Some((slot, *by.get(&self.me)?)))
    }

    /// How many places of a slot are open.
    pub fn open(&self, slot: u64) -> u32 {
        let by = self.places.get(&slot);
        let (kept, taken) =
            by.into_iter().flat_map(|by| by.values()).fold((0, 0), |(k, t), p| (k + p.kept, t + p.taken));
        kept.saturating_sub(taken)
    }

    /// A request arrives. `core` is the core's time. `credit`: the pot has its price, or waits for a block.
    ///
    /// While nothing flows, or if `credit` says that there is none, it is refused at once, and its place is kept. Kept places
    /// of the slot go before newcomers.
    pub fn arrives(&mut self, now: Micros, core: Micros, request: u64, credit: bool) -> Arrival {
        let slot = core / SLOT;
        self.places = self.places.split_off(&slot.saturating_sub(1));
        // An arrival a little late counts for the slot before.
        let place = [slot, slot.saturating_sub(1)].into_iter().find(|&slot| self.open(slot) > 0);
        if let Some(place) = place {
            self.own(place).taken += 1;
        }
        if self.news.level != Level::Empty && credit && (place.is_some() || self.newcomer(now)) {
            return Arrival::Go;
        }
        let spread = hash::hash_parts(&[self.me.as_bytes(), &request.to_le_bytes()]) % BACK;
        let slot = (core + BACK + spread) / SLOT;
        self.own(slot).kept += 1;
        Arrival::Later { slot, back: (slot * SLOT + SLOT / 2).saturating_sub(core) }
    }

    fn own(&mut self, slot: u64) -> &mut Places {
        self.places.entry(slot).or_default().entry(self.me.clone()).or_default()
    }

    /// After a start a growing part of the newcomers is let in.
    fn newcomer(&mut self, now: Micros) -> bool {
        let Some(since) = self.started.map(|at| now.saturating_sub(at)).filter(|&s| s < RAMP) else {
            return true;
        };
        self.count += 1;
        // Of each ten, as many as tenths of the time have passed.
        self.count * 7 % 10 < since * 10 / RAMP
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn what_comes_back_in_its_slot_goes_first_at_any_node() {
        let (mut a, mut b) = (Valve::new("a"), Valve::new("b"));
        let empty = News { fence: 1, turn: 1, level: Level::Empty };
        let flows = News { turn: 2, level: Level::Flows, ..empty };
        expect_that!([a.heard(0, empty), b.heard(0, empty), b.heard(0, empty)], eq([true, true, false]));
        let Arrival::Later { slot, back } = a.arrives(0, 0, 7, true) else { panic!("it is refused") };
        expect_that!(back, all!(ge(BACK - SLOT), le(2 * BACK + SLOT)));
        a.mine().for_each(|(slot, places)| (0..2).for_each(|_| b.told(slot, "a", places)));
        // The refill comes just before, so newcomers are hardly let in.
        b.heard(back - 1_000, flows);
        expect_that!(b.heard(back, empty), eq(false), "an old word");
        expect_that!(b.open(slot), eq(1), "told twice, kept once");
        expect_that!(b.arrives(back, back, 7, true), eq(Arrival::Go));
        expect_that!(b.arrives(back, back, 8, true), not(eq(Arrival::Go)), "one place for one");
    }

    #[gtest]
    fn after_a_start_there_is_no_herd() {
        let mut valve = Valve::new("a");
        valve.heard(0, News { fence: 1, turn: 1, level: Level::Empty });
        let mut slots: BTreeMap<u64, u32> = BTreeMap::new();
        for request in 0..1_000 {
            if let Arrival::Later { slot, .. } = valve.arrives(0, 0, request, true) {
                *slots.entry(slot).or_default() += 1;
            }
        }
        // 1,000 over 20 slots.
        expect_that!(slots.values().max(), some(le(&90)));
        valve.heard(0, News { fence: 1, turn: 2, level: Level::Flows });
        let mut in_tenth = [0; 10];
        for n in 0..1_000_u64 {
            in_tenth[(n / 100) as usize] +=
                u32::from(valve.arrives(n * 1_000, n * 1_000, n, true) == Arrival::Go);
        }
        expect_that!(in_tenth, eq([0, 10, 20, 30, 40, 50, 60, 70, 80, 90]));
    }

    #[gtest]
    fn what_is_handed_back_at_the_end_does_not_start_all_again() {
        let mut gate = Gate::new(3);
        expect_that!(gate.step(10_000, 0, 10, 11).level, eq(Level::Flows));
        expect_that!(gate.step(300, 0, 10, 11).level, eq(Level::Low));
        expect_that!(gate.step(0, 200, 10, 11).level, eq(Level::Low), "proxies still have some");
        expect_that!(gate.step(0, 100, 10, 11).level, eq(Level::Empty));
        expect_that!(gate.step(109, 0, 10, 11).level, eq(Level::Empty));
        let low = gate.step(300, 0, 10, 11);
        expect_that!(low, eq(News { fence: 3, turn: 3, level: Level::Low }));
    }
}
