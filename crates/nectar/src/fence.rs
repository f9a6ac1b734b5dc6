//! Duties cut by key over the live nodes, and the fence under which a key changes hands.
//!
//! A slice of the keys belongs to the node that rendezvous hashing names among those it sees alive. It acts only while a
//! majority of the voters has promised it the slice for a time that it counts from before it asked; a voter promises a
//! slice to nobody else until that time is over on its own clock. So two never act at once, whatever each sees, and no
//! clock has to agree with another but in its pace.

use std::collections::{BTreeMap, BTreeSet};

use bincode::{Decode, Encode};
use pinerelay_cells::hash;

use crate::Micros;

/// Into how many slices keys are cut.
pub const SLICES: usize = 16;
/// For how long a voter promises a slice.
const PROMISE: Micros = 900_000;
/// The holder stops so much earlier: clocks differ in pace.
const MARGIN: Micros = 100_000;
/// How often a holder asks anew.
const RENEW: Micros = 250_000;
/// And one that was not promised all.
const SOON: Micros = 50_000;

/// A word between nodes that share duties.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Word {
    /// Promise me these slices.
    Claim {
        /// Comes back with the answer.
        turn: u64,
        /// One bit a slice.
        slices: u32,
    },
    /// These are promised.
    Promised {
        /// The claim's.
        turn: u64,
        /// One bit a slice.
        slices: u32,
    },
    /// I act for these no more.
    Released {
        /// One bit a slice.
        slices: u32,
    },
}

/// The slice that a key is in.
pub fn slice(key: &str) -> usize {
    (hash::of(&[key.as_bytes()]) % SLICES as u64) as usize
}

/// The node that a slice belongs to, by who is alive.
pub fn owner<'a>(slice: usize, alive: impl IntoIterator<Item = &'a String>) -> Option<&'a String> {
    hash::rendezvous(&format!("duty-{slice}"), alive).into_iter().next()
}

#[derive(Debug, Clone, Default)]
struct Mine {
    /// It may act until then.
    until: Micros,
    /// By whose promises.
    by: BTreeSet<String>,
    /// The claim under way: its turn, when it was asked for, and who has promised.
    asked: Option<(u64, Micros, BTreeSet<String>)>,
}

/// One node's duties, and what it has promised to others.
#[derive(Debug)]
pub struct Fence {
    me: String,
    voters: Vec<String>,
    alive: BTreeSet<String>,
    /// What was promised before its process began is not known: it promises nothing until that must be over, or all others
    /// have heard that this is a new process, and have dropped what it had promised.
    from: Micros,
    met: BTreeSet<String>,
    mine: Vec<Mine>,
    promised: BTreeMap<usize, (String, Micros)>,
    turn: u64,
    renew_at: Micros,
}

/// What a fence wants done.
#[derive(Debug, PartialEq, Eq)]
pub enum Step {
    /// Say this to another node.
    Say(String, Word),
    /// From now on this node acts for a slice, and knows nothing of what was done for it before.
    Gained(usize),
}

impl Fence {
    /// A fence of a process that begins now. `fresh`: the whole system does, and nobody has been promised anything.
    pub fn new(now: Micros, me: &str, fresh: bool) -> Fence {
        Fence {
            me: me.into(),
            voters: Vec::new(),
            alive: BTreeSet::new(),
            from: if fresh { now } else { now + PROMISE },
            met: BTreeSet::new(),
            mine: vec![Mine::default(); SLICES],
            promised: BTreeMap::new(),
            turn: now,
            renew_at: 0,
        }
    }

    /// Who votes.
    pub fn elect(&mut self, voters: &[String]) {
        self.voters = voters.to_vec();
    }

    /// Another node is known to have heard that this process is a new one.
    pub fn met(&mut self, name: &str) {
        self.met.insert(name.into());
        if self.voters.iter().all(|voter| *voter == self.me || self.met.contains(voter)) {
            self.from = 0;
        }
    }

    /// Another node's process is a new one: what it had promised before counts no more.
    pub fn restarted(&mut self, name: &str) {
        let most = self.voters.len() / 2 + 1;
        for mine in &mut self.mine {
            if let Some((.., by)) = &mut mine.asked {
                by.remove(name);
            }
            if mine.by.remove(name) && mine.by.len() < most {
                mine.until = 0;
                self.renew_at = 0;
            }
        }
    }

    /// Whether this node may act for a slice now.
    pub fn holds(&self, now: Micros, slice: usize) -> bool {
        now < self.mine[slice].until
    }

    /// How many slices it acts for.
    pub fn held(&self, now: Micros) -> usize {
        (0..SLICES).filter(|&slice| self.holds(now, slice)).count()
    }

    /// Time has passed, or others have come or gone: `alive` are the others that are heard.
    pub fn tick(&mut self, now: Micros, alive: BTreeSet<String>, out: &mut Vec<Step>) {
        let changed = alive != self.alive;
        self.alive = alive;
        if now < self.renew_at && !changed {
            return;
        }
        self.renew_at = now + RENEW;
        let all: Vec<&String> = self.alive.iter().chain(std::iter::once(&self.me)).collect();
        let (mut claim, mut release) = (0, 0);
        for slice in 0..SLICES {
            let owns = owner(slice, all.iter().copied()) == Some(&self.me);
            // Danger: what was asked for and not yet promised by enough is promised by some all the same.
            let held = self.mine[slice].until > 0 || self.mine[slice].asked.is_some();
            if owns {
                claim |= 1 << slice;
            } else if held {
                self.mine[slice] = Mine::default();
                release |= 1 << slice;
            }
        }
        if release != 0 {
            self.tell(Word::Released { slices: release }, out);
            self.released(&self.me.clone(), release);
        }
        if claim != 0 {
            self.turn += 1;
            for slice in (0..SLICES).filter(|slice| claim & (1 << slice) != 0) {
                self.mine[slice].asked = Some((self.turn, now, BTreeSet::new()));
            }
            let turn = self.turn;
            self.tell(Word::Claim { turn, slices: claim }, out);
            if self.voters.contains(&self.me) {
                let slices = self.promise(now, &self.me.clone(), claim);
                self.promises(now, &self.me.clone(), turn, slices, out);
            }
        }
    }

    /// Gives all duties up, at a planned end.
    pub fn leave(&mut self, out: &mut Vec<Step>) {
        self.mine = vec![Mine::default(); SLICES];
        self.renew_at = Micros::MAX;
        self.tell(Word::Released { slices: u32::MAX }, out);
    }

    /// Another node says something.
    pub fn heard(&mut self, now: Micros, from: &str, word: Word, out: &mut Vec<Step>) {
        match word {
            Word::Claim { turn, slices } => {
                let slices = self.promise(now, from, slices);
                out.push(Step::Say(from.into(), Word::Promised { turn, slices }));
            }
            Word::Promised { turn, slices } => {
                self.promises(now, from, turn, slices, out);
                // What another still has is asked for again soon: it may have been released by then.
                let open =
                    |mine: &Mine| mine.until <= now && mine.asked.as_ref().is_some_and(|a| a.0 == turn);
                if self.mine.iter().any(open) {
                    self.renew_at = self.renew_at.min(now + SOON);
                }
            }
            Word::Released { slices } => self.released(from, slices),
        }
    }

    fn tell(&self, word: Word, out: &mut Vec<Step>) {
        let others = self.voters.iter().filter(|voter| **voter != self.me);
        out.extend(others.map(|voter| Step::Say(voter.clone(), word.clone())));
    }

    fn promise(&mut self, now: Micros, to: &str, slices: u32) -> u32 {
        if now < self.from {
            return 0;
        }
        let mut given = 0;
        for slice in (0..SLICES).filter(|slice| slices & (1 << slice) != 0) {
            let free = self.promised.get(&slice).is_none_or(|(holder, until)| holder == to || *until <= now);
            if free {
                self.promised.insert(slice, (to.into(), now + PROMISE));
                given |= 1 << slice;
            }
        }
        given
    }

    fn released(&mut self, from: &str, slices: u32) {
        self.promised.retain(|slice, (holder, _)| holder != from || slices & (1 << *slice) == 0);
    }

    fn promises(&mut self, now: Micros, from: &str, turn: u64, slices: u32, out: &mut Vec<Step>) {
        let most = self.voters.len() / 2 + 1;
        for slice in (0..SLICES).filter(|slice| slices & (1 << slice) != 0) {
            let mine = &mut self.mine[slice];
            let Some((_, asked, by)) = mine.asked.as_mut().filter(|(t, ..)| *t == turn) else { continue };
            by.insert(from.into());
            if by.len() < most {
                continue;
            }
            let until = *asked + PROMISE - MARGIN;
            if now < until {
                if now >= mine.until {
                    out.push(Step::Gained(slice));
                }
                mine.until = mine.until.max(until);
                mine.by.clone_from(by);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use mountbend::measure::lot;

    use super::*;

    struct Place {
        fence: Option<Fence>,
        /// A frozen process: what came for it waits, and its clock goes on.
        frozen_until: Micros,
        inbox: Vec<(Micros, String, Word)>,
    }

    /// Three nodes that see each other or not, die, freeze and come back; at no time do two act for one slice.
    fn play(seed: u64) -> (u64, u64) {
        let names: Vec<String> = (0..3).map(|n| format!("n{n}")).collect();
        let mut random = seed;
        let mut dice = |most: u64| (lot(&mut random) * most as f64) as u64;
        let mut places: BTreeMap<String, Place> = BTreeMap::new();
        for name in &names {
            let mut fence = Fence::new(0, name, true);
            fence.elect(&names);
            places.insert(name.clone(), Place { fence: Some(fence), frozen_until: 0, inbox: Vec::new() });
        }
        let (mut cut, mut cut_until, mut dead_until) = (0, 0, 0);
        // Whose life each has heard of, and the words that it has.
        let (mut lives, mut met) = ([1_u64; 3], [[1_u64; 3]; 3]);
        let mut hellos: Vec<(Micros, usize, u64, usize)> = Vec::new();
        let (mut acting, mut moments) = (0, 0);
        for step in 0..4_000_u64 {
            let now = step * 10_000;
            if now >= cut_until + 1_000_000 && dice(100) == 0 {
                (cut, cut_until) = (dice(3), now + dice(3_000_000));
            }
            if now >= dead_until + 1_000_000 && dice(150) == 0 {
                let dead;
                (dead, dead_until) = (dice(3), now + dice(3_000_000));
                places.get_mut(&names[dead as usize]).expect("a place").fence = None;
            }
            if dice(1_000) == 0 {
                let frozen = &names[dice(3) as usize];
                places.get_mut(frozen).expect("a place").frozen_until = now + dice(2_000_000);
            }
            for (n, name) in names.iter().enumerate() {
                let apart = |other: usize| now < cut_until && (other as u64 == cut) != (n as u64 == cut);
                let alive: BTreeSet<String> = (0..3)
                    .filter(|&m| m != n && !apart(m) && places[&names[m]].fence.is_some())
                    .map(|m| names[m].clone())
                    .collect();
                let place = places.get_mut(name).expect("a place");
                if place.fence.is_none() && now >= dead_until {
                    let mut fence = Fence::new(now, name, false);
                    fence.elect(&names);
                    place.fence = Some(fence);
                    lives[n] += 1;
                    met[n] = [0; 3];
                }
                if now < place.frozen_until {
                    continue;
                }
                let mut out = Vec::new();
                let (due, later): (Vec<_>, Vec<_>) =
                    std::mem::take(&mut place.inbox).into_iter().partition(|(at, ..)| *at <= now);
                place.inbox = later;
                // Who is linked hears of a new life, says so, and is then met by it.
                for other in alive.iter().filter_map(|o| names.iter().position(|name| name == o)) {
                    if met[n][other] != lives[other] {
                        met[n][other] = lives[other];
                        if let Some(fence) = place.fence.as_mut() {
                            fence.restarted(&names[other]);
                        }
                        let at = now + dice(40_000);
                        hellos.push((at, other, lives[other], n));
                    }
                }
                if let Some(fence) = place.fence.as_mut() {
                    hellos.retain(|&(at, to, life, from)| {
                        let due = to == n && at <= now;
                        if due && life == lives[n] {
                            fence.met(&names[from]);
                        }
                        !due
                    });
                    due.into_iter().for_each(|(_, from, word)| fence.heard(now, &from, word, &mut out));
                    fence.tick(now, alive, &mut out);
                }
                for step in out {
                    let Step::Say(to, word) = step else { continue };
                    let m = names.iter().position(|other| *other == to).expect("a name");
                    if !apart(m) && dice(30) > 0 {
                        let at = now + dice(40_000);
                        places.get_mut(&to).expect("a place").inbox.push((at, name.clone(), word));
                    }
                }
            }
            for slice in 0..SLICES {
                let holds = |p: &&Place| p.fence.as_ref().is_some_and(|f| f.holds(now, slice));
                let holders = places.values().filter(holds).count();
                assert!(holders <= 1, "seed {seed}: {holders} act for slice {slice} at {now}");
                acting += holders as u64;
                moments += 1;
            }
        }
        (acting, moments)
    }

    #[gtest]
    fn two_never_act_at_once_and_somebody_nearly_always_does() {
        let played: Vec<(u64, u64)> = (0..40).map(play).collect();
        let (acting, moments) = played.iter().fold((0, 0), |(a, m), p| (a + p.0, m + p.1));
        expect_that!(acting as f64 / moments as f64, gt(0.75));
    }

    #[gtest]
    fn what_was_asked_for_and_is_another_s_by_now_is_given_up() {
        let names: Vec<String> = (0..3).map(|n| format!("n{n}")).collect();
        let mut fence = Fence::new(0, "n0", true);
        fence.elect(&names);
        let mut out = Vec::new();
        // Alone it asks for all, and hears nothing; then the others are there.
        fence.tick(0, BTreeSet::new(), &mut out);
        out.clear();
        fence.tick(10_000, names[1..].iter().cloned().collect(), &mut out);
        let released = out.iter().find_map(|step| match step {
            Step::Say(_, Word::Released { slices }) => Some(slices.count_ones()),
            _ => None,
        });
        expect_that!(released, some(gt(5)));
    }

    #[gtest]
    fn with_nothing_wrong_duties_are_spread_and_kept() {
        let names: Vec<String> = (0..3).map(|n| format!("n{n}")).collect();
        let mut fence = Fence::new(0, "n0", true);
        fence.elect(&names);
        let alive: BTreeSet<String> = names[1..].iter().cloned().collect();
        let mut gained = 0;
        for now in (0..20_u64).map(|n| n * 100_000) {
            let mut out = Vec::new();
            fence.tick(now, alive.clone(), &mut out);
            for step in std::mem::take(&mut out) {
                if let Step::Say(to, Word::Claim { turn, slices }) = step {
                    fence.heard(now + 1_000, &to, Word::Promised { turn, slices }, &mut out);
                }
            }
            gained += out.iter().filter(|s| matches!(s, Step::Gained(_))).count();
        }
        expect_that!(fence.held(1_950_000), all!(gt(1), lt(12)));
        expect_that!(gained, eq(fence.held(1_950_000)), "once gained, a duty is kept");
    }
}
