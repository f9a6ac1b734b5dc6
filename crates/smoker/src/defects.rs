//! Behaviours that are left out or broken on purpose, and the invariant that has to notice.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use crate::check::Invariant;
use crate::plan::{Broken, Plan};
use crate::scenarios;
use crate::world::play;

/// Each has to be found within so many seeds.
pub const SEEDS: u64 = 1_000;
/// So many seeds are played at once.
const THREADS: usize = 4;

/// A defect that is put in, and what finds it.
#[derive(Debug, Clone, Copy)]
pub struct Defect {
    /// What is broken.
    pub broken: Broken,
    /// The scenario in which it shows; none: plays by lot.
    pub scenario: Option<&'static str>,
    /// What breaks of it.
    pub invariant: Invariant,
    /// From this seed on it is found soon.
    pub from: u64,
}

const fn defect(broken: Broken, scenario: Option<&'static str>, invariant: Invariant, from: u64) -> Defect {
    Defect { broken, scenario, invariant, from }
}

/// All of them.
pub const ALL: [Defect; 22] = [
    defect(Broken::Sync, None, Invariant::Stands, 25),
    defect(Broken::Quorum, None, Invariant::Valid, 0),
    defect(Broken::News, None, Invariant::Applied, 0),
    defect(Broken::Digests, None, Invariant::Drained, 0),
    defect(Broken::Copies, None, Invariant::Heals, 0),
    defect(Broken::Hold, None, Invariant::Copies, 0),
    defect(Broken::Memory, None, Invariant::NeverBack, 0),
    defect(Broken::Pieces, None, Invariant::InPart, 0),
    defect(Broken::Units, None, Invariant::Quota, 0),
    defect(Broken::Fence, None, Invariant::OneDuty, 0),
    defect(Broken::Refusal, None, Invariant::Copies, 0),
    defect(Broken::Tombstones, None, Invariant::Stands, 199),
    defect(Broken::Ballots, None, Invariant::Stands, 30),
    defect(Broken::Pending, None, Invariant::Stands, 30),
    defect(Broken::Judge, Some("one-number"), Invariant::OneContent, 0),
    defect(Broken::Refuse, Some("cut-off-core"), Invariant::CutOff, 0),
    defect(Broken::OwnRead, Some("cut-off-core"), Invariant::Stands, 0),
    defect(Broken::Answers, Some("whose-answer"), Invariant::WhoseAnswer, 0),
    defect(Broken::Whole, None, Invariant::NeverOld, 2_000),
    defect(Broken::Leases, Some("lease-handed-on"), Invariant::NeverOld, 0),
    defect(Broken::Confirmations, None, Invariant::Unconfirmed, 0),
    defect(Broken::Haste, Some("cut-off-core"), Invariant::Unconfirmed, 0),
];

/// What is broken under this name.
pub fn named(name: &str) -> Option<Broken> {
    ALL.iter().map(|defect| defect.broken).find(|broken| format!("{broken:?}") == name)
}

impl Defect {
    /// A play of this seed, with the defect or without. Breaches of all other invariants are counted alone.
    fn play(&self, seed: u64, put_in: bool) -> bool {
        let scenario = self.scenario.and_then(scenarios::named);
        let small = Plan::small(seed);
        let counts = Invariant::ALL.into_iter().filter(|invariant| *invariant != self.invariant).collect();
        let seconds = scenario.map_or(small.seconds, |scenario| scenario.seconds);
        let broken = put_in.then_some(self.broken);
        play(&Plan { broken, scenario, seconds, counts, ..small }).is_err()
    }

    /// The first of so many seeds that breaks its invariant with the defect, and keeps it without.
    pub fn find(&self, from: u64, seeds: u64) -> Option<u64> {
        let (next, found) = (AtomicU64::new(from), AtomicU64::new(u64::MAX));
        let search = || loop {
            let seed = next.fetch_add(1, Relaxed);
            if seed >= (from + seeds).min(found.load(Relaxed)) {
                break;
            }
            if self.play(seed, true) && !self.play(seed, false) {
                found.fetch_min(seed, Relaxed);
            }
        };
        std::thread::scope(|scope| (0..THREADS).for_each(|_| drop(scope.spawn(search))));
        Some(found.into_inner()).filter(|seed| *seed < u64::MAX)
    }
}
