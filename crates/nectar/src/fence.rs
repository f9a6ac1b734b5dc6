//! Duties cut by key over the live nodes, and the fence under which a key changes hands.
//!
//! A slice of the keys belongs to the node that rendezvous hashing names among those it sees alive. It acts only while a
//! majority of the voters has promised it the slice for a time that it counts from before it asked; a voter promises a
//! slice to nobody else until that time is over on its own clock. So two never act at once, whatever each sees, and no
//! clock has to agree with another but in its pace.
//!
//! Who votes changes by epochs, and a majority of one need not meet a majority of the next. So a node acts only under a
//! lease: a quorum has confirmed a short while ago that its epoch is the newest. After a change it needs a majority of the
//! epoch before as well, until every such lease of that epoch has ended ([`JOINT`]).

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
/// For so long after a change of epoch majorities of both epochs are needed. It is longer than the lease of an epoch, counted
/// from when that was the newest, and an epoch is agreed on no sooner than this after the one before.
pub const JOINT: Micros = 4_400_000;
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
        /// Of the last claim before: a promise to a later one stands.
        turn: u64,
        /// One bit a slice.
        slices: u32,
    },
}

/// Who votes.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Voters {
    /// Higher with each change; 0: not known.
    pub epoch: u64,
    /// The nodes that vote.
    pub members: Vec<String>,
    /// Those of the epoch before; empty at the first.
    pub before: Vec<String>,
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
    voters: Voters,
    /// Majorities of both epochs are needed until then.
    joint: Micros,
    /// The epoch was the newest, by a quorum's word: it may act until then.
    leased: Micros,
    alive: BTreeSet<String>,
    /// What was promised before its process began is not known: it promises nothing until that must be over, or all who may
    /// have been promised anything have heard that this is a new process, and have dropped what it had promised.
    from: Micros,
    met: BTreeSet<String>,
    mine: Vec<Mine>,
    /// By slice: to whom, at which of his turns, and until when.
    promised: BTreeMap<usize, (String, u64, Micros)>,
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
            voters: Voters::default(),
            joint: 0,
            leased: 0,
            alive: BTreeSet::new(),
            from: if fresh { now } else { now + PROMISE },
            met: BTreeSet::new(),
            mine: vec![Mine::default(); SLICES],
            promised: BTreeMap::new(),
            turn: now,
            renew_at: 0,
        }
    }

    /// Who votes from now on. What is older than what is known changes nothing.
    pub fn elect(&mut self, now: Micros, voters: Voters) {
        if voters.epoch <= self.voters.epoch {
            return;
        }
        self.joint = if voters.before.is_empty() { 0 } else { now + JOINT };
        self.voters = voters;
        self.leased = 0;
        self.renew_at = 0;
        self.drop_short(now);
    }

    /// A quorum has confirmed that this epoch was the newest at a moment: who acts in it may do so until `until`.
    pub fn confirmed(&mut self, epoch: u64, until: Micros) {
        if epoch == self.voters.epoch {
            self.leased = self.leased.max(until);
        }
    }

    /// Another node has known this epoch for longer than [`JOINT`].
    pub fn settled(&mut self, epoch: u64) {
        if epoch == self.voters.epoch {
            self.joint = 0;
        }
    }

    /// Its epoch, and whether that has been known for longer than [`JOINT`], here or elsewhere.
    pub fn epoch(&self, now: Micros) -> (u64, bool) {
        (self.voters.epoch, !self.is_joint(now))
    }

    /// Whether majorities of both epochs are needed.
    pub fn is_joint(&self, now: Micros) -> bool {
        now < self.joint
    }

    /// Another node is known to have heard that this process is a new one.
    pub fn met(&mut self, name: &str) {
        self.met.insert(name.into());
    }

    /// Another node's process is a new one: what it had promised before counts no more.
    pub fn restarted(&mut self, now: Micros, name: &str) {
        for mine in &mut self.mine {
            if let Some((.., by)) = &mut mine.asked {
                by.remove(name);
            }
            mine.by.remove(name);
        }
        self.promised.values_mut().filter(|(holder, ..)| holder == name).for_each(|(_, turn, _)| *turn = 0);
        self.drop_short(now);
    }

    /// Gives up what not enough have promised.
    fn drop_short(&mut self, now: Micros) {
        for slice in 0..SLICES {
            if self.mine[slice].until > 0 && !self.enough(now, &self.mine[slice].by) {
                self.mine[slice].until = 0;
                self.renew_at = 0;
            }
        }
    }

    /// Whether these are a majority of the members, and of those before as long as that is needed.
    fn enough(&self, now: Micros, by: &BTreeSet<String>) -> bool {
        let most = |of: &[String]| of.iter().filter(|name| by.contains(*name)).count() * 2 > of.len();
        most(&self.voters.members) && (!self.is_joint(now) || most(&self.voters.before))
    }

    /// Whether a node takes duties. Danger: who restarts may know the epoch before alone, and waits for those of it to have
    /// heard that; so none that is new acts before that epoch is over.
    fn takes(&self, now: Micros, name: &String) -> bool {
        let Voters { members, before, .. } = &self.voters;
        members.contains(name) && (!self.is_joint(now) || before.contains(name))
    }

    fn others(&self) -> BTreeSet<&String> {
        let all = self.voters.members.iter().chain(&self.voters.before);
        all.filter(|name| **name != self.me).collect()
    }

    /// Whether this node may act for a slice now.
    pub fn holds(&self, now: Micros, slice: usize) -> bool {
        now < self.mine[slice].until.min(self.leased)
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
        let all = self.alive.iter().chain(std::iter::once(&self.me));
        let all: Vec<&String> = all.filter(|name| self.takes(now, name)).collect();
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
            self.tell(Word::Released { turn: self.turn, slices: release }, out);
            self.released(&self.me.clone(), self.turn, release);
        }
        if claim != 0 {
            self.turn += 1;
            for slice in (0..SLICES).filter(|slice| claim & (1 << slice) != 0) {
                self.mine[slice].asked = Some((self.turn, now, BTreeSet::new()));
            }
            let turn = self.turn;
            self.tell(Word::Claim { turn, slices: claim }, out);
            let slices = self.promise(now, &self.me.clone(), turn, claim);
            self.promises(now, &self.me.clone(), turn, slices, out);
        }
    }

    /// Gives all duties up, at a planned end.
    pub fn leave(&mut self, out: &mut Vec<Step>) {
        self.mine = vec![Mine::default(); SLICES];
        self.renew_at = Micros::MAX;
        self.tell(Word::Released { turn: self.turn, slices: u32::MAX }, out);
    }

    /// Another node says something.
    pub fn heard(&mut self, now: Micros, from: &str, word: Word, out: &mut Vec<Step>) {
        match word {
            Word::Claim { turn, slices } => {
                let slices = self.promise(now, from, turn, slices);
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
            Word::Released { turn, slices } => self.released(from, turn, slices),
        }
    }

    fn tell(&self, word: Word, out: &mut Vec<Step>) {
        out.extend(self.others().into_iter().map(|voter| Step::Say(voter.clone(), word.clone())));
    }

    fn promise(&mut self, now: Micros, to: &str, turn: u64, slices: u32) -> u32 {
        if now < self.from {
            // Without the lease there may be voters that this node has not heard of.
            if now >= self.leased || !self.others().iter().all(|name| self.met.contains(*name)) {
                return 0;
            }
            self.from = 0;
        }
        let mut given = 0;
        for slice in (0..SLICES).filter(|slice| slices & (1 << slice) != 0) {
            let last = match self.promised.get(&slice) {
                Some((holder, last, _)) if holder == to => *last,
                Some((.., until)) if now < *until => continue,
                _ => 0,
            };
            self.promised.insert(slice, (to.into(), turn.max(last), now + PROMISE));
            given |= 1 << slice;
        }
        given
    }

    fn released(&mut self, from: &str, turn: u64, slices: u32) {
        self.promised
            .retain(|slice, (holder, last, _)| holder != from || *last > turn || slices & (1 << *slice) == 0);
    }

    fn promises(&mut self, now: Micros, from: &str, turn: u64, slices: u32, out: &mut Vec<Step>) {
        for slice in (0..SLICES).filter(|slice| slices & (1 << slice) != 0) {
            let Some((last, asked, by)) = &mut self.mine[slice].asked else { continue };
            if *last != turn {
                continue;
            }
            by.insert(from.into());
            let (until, by) = (*asked + PROMISE - MARGIN, by.clone());
            if now < until && self.enough(now, &by) {
                let mine = &mut self.mine[slice];
                if now >= mine.until {
                    out.push(Step::Gained(slice));
                }
                mine.until = mine.until.max(until);
                mine.by = by;
            }
        }
    }
}
