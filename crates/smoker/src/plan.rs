//! What is played: a seed, a size, and what of the gateway's behaviour is broken on purpose.

use pinerelay_config_state::hash::mix64;

use crate::check::Invariant;
use crate::scenarios::Scenario;

/// Microseconds.
pub type Micros = u64;
/// A second.
pub const SECOND: Micros = 1_000_000;

/// Seeded lots.
#[derive(Debug, Clone)]
pub struct Lot(pub u64);

impl Lot {
    /// One of 0 to `most` - 1.
    pub fn upto(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix64(self.0) % most.max(1)
    }

    /// One in so many times.
    pub fn chance(&mut self, one_in: u64) -> bool {
        self.upto(one_in) == 0
    }

    /// One of `from` to `to` - 1.
    pub fn within(&mut self, from: u64, to: u64) -> u64 {
        from + self.upto(to - from)
    }
}

/// A behaviour that is left out on purpose: the invariant that needs it has to break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Broken {
    /// A disk tells that a change is safe before it is.
    Sync,
    /// Each store is its own majority.
    Quorum,
    /// Nothing is told to the proxies but that they lack it.
    News,
    /// Nobody says what it has: what was missed stays missed.
    Digests,
    /// A store that has lost its disk is never taken in again.
    Copies,
    /// A leaving is acknowledged although no other registry holds it.
    Hold,
    /// A proxy forgets all, within one life.
    Memory,
    /// A proxy puts in force each piece of a configuration that comes.
    Pieces,
    /// A block holds twice the units that were counted.
    Units,
    /// A duty is taken without the others' promise.
    Fence,
    /// A disk that refuses a write tells that it is safe.
    Refusal,
    /// A disk forgets at once what was dropped.
    Tombstones,
    /// A store that starts again knows no ballot, and uses those that were used before.
    Ballots,
    /// A promise tells nothing of what is pending: it is replaced, and not carried on.
    Pending,
    /// Another content under a revision that is taken is confirmed.
    Judge,
    /// A call without an answer of a quorum is refused for good.
    Refuse,
    /// A store answers reads from its own copy.
    OwnRead,
    /// Now and then a store's answer names the number of the next call.
    Answers,
    /// A registry calls its configuration whole and current, and the core reached, from the first on.
    Whole,
    /// Who is asked whether it is current hands on a whole lease, and not what is left of its own.
    Leases,
    /// No registry's confirmation comes to a proxy.
    Confirmations,
    /// A proxy's clock goes so fast that it soon serves what nobody has confirmed.
    Haste,
}

/// A play.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Of all lots.
    pub seed: u64,
    /// Machines of the core: a store and a registry on each.
    pub cores: usize,
    /// Machines that replace one of the core for good, one after the other, each under a new address.
    pub spares: usize,
    /// Machines of the core that may be lost at once.
    pub losses: usize,
    /// Proxies.
    pub proxies: usize,
    /// App servers.
    pub servers: usize,
    /// How long it lasts; the last ten are without faults and changes.
    pub seconds: u64,
    /// Whether there are faults.
    pub faults: bool,
    /// What is broken on purpose.
    pub broken: Option<Broken>,
    /// What happens by a script; none: by lot.
    pub scenario: Option<&'static Scenario>,
    /// Breaches of these are counted and do not end the play.
    pub counts: Vec<Invariant>,
}

impl Plan {
    /// A small gateway with faults.
    pub fn small(seed: u64) -> Plan {
        Plan {
            seed,
            cores: 3,
            spares: 0,
            losses: 1,
            proxies: 6,
            servers: 8,
            seconds: 30,
            faults: true,
            broken: None,
            scenario: None,
            counts: Vec::new(),
        }
    }

    /// When faults and changes end.
    pub fn calm_from(&self) -> Micros {
        self.seconds.saturating_sub(10) * SECOND
    }
}
