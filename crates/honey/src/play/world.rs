//! What is played with: proxies, the core, the stores, and the net between them.

use std::collections::BTreeMap;

use mountbend::measure::lot;

use crate::account::{Account, Record};
use crate::pause::{Gate, News, Valve};
use crate::pot::{Ask, Pot};
use crate::told::{BlockId, Holder, Lease, Tell};
use crate::watch::{Inquest, Kept, Watch};
use crate::{Credits, Micros};

pub(super) const STEP: Micros = 5_000;
pub(super) const PROXIES: usize = 6;
pub(super) const PRICES: [Credits; 3] = [3, 10, 25];

#[derive(Clone)]
pub(super) enum Word {
    Ask(Holder, Micros, Ask),
    Grant(Micros, Option<Lease>),
    Tell(Holder, Tell),
    Kept(BlockId, u64, Option<Holder>),
    Closed(BlockId),
    News(News),
    AskedAfter(BlockId),
    Watched(BlockId),
    Answer(Holder, BlockId, Kept),
}

/// To a process of a proxy, or to the core.
pub(super) type To = Option<Holder>;

pub(super) struct Proxy {
    pub(super) me: Holder,
    pub(super) dead_until: Micros,
    pub(super) frozen_until: Micros,
    pub(super) pot: Pot,
    pub(super) watch: Watch,
    pub(super) valve: Valve,
    pub(super) waiting: Vec<(u64, Credits, Micros)>,
    /// Requests with credit: when they are sent and when over.
    pub(super) open: Vec<(u64, Credits, Micros, Micros, bool)>,
}

impl Proxy {
    pub(super) fn new(n: usize, life: u64) -> Proxy {
        let me = Holder { name: format!("p{n}"), life };
        let (pot, watch, valve) = (Pot::default(), Watch::default(), Valve::new(&me.name));
        let (waiting, open) = (Vec::new(), Vec::new());
        Proxy { me, dead_until: 0, frozen_until: 0, pot, watch, valve, waiting, open }
    }
}

pub(super) struct Core {
    pub(super) fence: u64,
    pub(super) account: Account,
    pub(super) gate: Gate,
    pub(super) inquests: BTreeMap<BlockId, (Inquest, Micros)>,
    pub(super) unwritten: Vec<Record>,
    pub(super) beat: Micros,
}

/// What the servers saw of a block.
#[derive(Default)]
pub(super) struct Truth {
    pub(super) net: Credits,
    pub(super) gross: Credits,
    pub(super) under_way: Credits,
    pub(super) most: Credits,
    pub(super) ceiling: Credits,
    pub(super) granted: Micros,
    pub(super) last: Micros,
}

#[derive(Default)]
pub(super) struct Figures {
    pub(super) ran: u64,
    pub(super) refused: u64,
    pub(super) killed: u64,
    pub(super) unsure: u64,
    /// Worst and sum, micro-credits, of killed proxies' blocks.
    pub(super) unsettled: (Credits, Credits),
    /// Those of which enough watchers were heard.
    pub(super) sure: (Credits, Credits),
    pub(super) lost_blocks: u64,
    /// From the balance's end to the core's word, and from that to the last proxy's stop.
    pub(super) drying: Vec<Micros>,
    pub(super) stops: Vec<Micros>,
    pub(super) stranded: Vec<Credits>,
}

pub(super) struct Net {
    pub(super) random: u64,
    pub(super) at: BTreeMap<(Micros, u64), (To, Word)>,
    pub(super) count: u64,
}

impl Net {
    pub(super) fn dice(&mut self, most: u64) -> u64 {
        (lot(&mut self.random) * most as f64) as u64
    }

    pub(super) fn send(&mut self, now: Micros, to: To, word: Word) {
        let copies = match self.dice(100) {
            0..3 => 0,
            3..6 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let late = if self.dice(200) == 0 { 3_000_000 } else { 40_000 };
            self.count += 1;
            let at = now + 1_000 + self.dice(late);
            self.at.insert((at, self.count), (to.clone(), word.clone()));
        }
    }
}

/// Writes to the stores that are reached, and tells whether a majority has it.
pub(super) fn write(
    now: Micros,
    stores: &mut [(u64, Account)],
    cut: usize,
    fence: u64,
    record: &Record,
) -> bool {
    let reached = stores.iter_mut().enumerate().filter(|(n, (promised, _))| *n != cut && *promised <= fence);
    reached.map(|(_, (_, store))| store.merge(now, record.clone())).count() >= 2
}
