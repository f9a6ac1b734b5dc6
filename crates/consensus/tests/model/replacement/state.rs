//! A state: machines and their clocks, links that are cut, and what has been seen of votes and changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pinerelay_consensus::Micros;
use pinerelay_consensus::PersistentState;
use pinerelay_consensus::{Ballot, Member, Membership, Message, Store};

use crate::state::{name, Calls};

/// A word on its way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Said {
    pub from: usize,
    pub to: usize,
    pub word: Message,
}

/// A machine: its disk, and the process on it, if it runs. What is written is on the disk at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Machine {
    pub disk: Option<PersistentState>,
    pub store: Option<Store>,
    pub life: u64,
    /// When its process began; its clock counts from there.
    pub begun: Micros,
    /// Its process stands still, and its clock goes on.
    pub frozen: bool,
    /// When it last ticked.
    pub ticked: Micros,
    /// From when on it has been awake without a standstill.
    pub awake: Micros,
    /// When it last heard each other's digest.
    pub heard: BTreeMap<usize, Micros>,
    /// When it last found each other silent for so long that it may be replaced.
    pub silent: BTreeMap<usize, Micros>,
    /// What had been acknowledged when it told its digest, by when that was on its clock.
    pub told: VecDeque<(Micros, Calls)>,
}

/// The kinds of words that may be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Kind {
    Put,
    Kept,
    Settle,
    Members,
}

impl Kind {
    pub fn is(self, word: &Message) -> bool {
        match self {
            Kind::Put => matches!(word, Message::Accept { .. }),
            Kind::Kept => matches!(word, Message::Accepted { .. }),
            Kind::Settle => matches!(word, Message::Commit { .. }),
            Kind::Members => matches!(word, Message::NewMembership(_)),
        }
    }
}

/// What may happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Half a second passes.
    Pass,
    /// The process ends; its disk stays.
    End(usize),
    Start(usize),
    /// The disk is lost, and a process starts on an empty one.
    StartEmpty(usize),
    /// The process stands still.
    Freeze(usize),
    Thaw(usize),
    Cut(usize, usize),
    Join(usize, usize),
    /// All its links are cut.
    CutOff(usize),
    Rejoin(usize),
    /// Words of this kind are lost for the next half second.
    Lose(Kind),
    Call(usize),
}

/// An epoch: who votes, and when a store first knew.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Epoch {
    pub membership: Membership,
    pub since: Micros,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub now: Micros,
    pub round: u32,
    pub machines: Vec<Machine>,
    pub wire: VecDeque<Said>,
    pub cuts: BTreeSet<(usize, usize)>,
    pub loses: Option<Kind>,
    /// How far each thread of events has come.
    pub threads: Vec<usize>,
    /// Open calls, each with what a read must show.
    pub open: Vec<(usize, Calls)>,
    pub known: Calls,
    pub acknowledged: Calls,
    pub refused: Calls,
    pub epochs: BTreeMap<u64, Epoch>,
    /// Changes that have been put by any store.
    pub proposed: BTreeSet<(u64, Vec<Member>)>,
    /// By ballot: on whose disks its batch was put.
    pub kept: BTreeMap<Ballot, BTreeSet<Member>>,
    pub agreed: BTreeSet<Ballot>,
    /// When the members' names last changed.
    pub renamed: Option<Micros>,
    /// How often they have.
    pub renames: u32,
    /// An order has been acknowledged since.
    pub taken_since: bool,
    /// What an input shows to be wrong.
    pub wrong: Option<&'static str>,
}

impl World {
    pub fn linked(&self, a: usize, b: usize) -> bool {
        !self.cuts.contains(&(a.min(b), a.max(b)))
    }

    pub fn newest(&self) -> &Membership {
        &self.epochs.last_key_value().expect("an epoch").1.membership
    }

    /// The disk of a member, unless it is lost.
    pub fn disk_of(&self, member: &Member) -> Option<&PersistentState> {
        let me = (0..self.machines.len()).find(|&me| name(me) == member.name)?;
        self.machines[me].disk.as_ref().filter(|kept| kept.incarnation == Some(member.incarnation))
    }

    pub fn disks(&self) -> Vec<&PersistentState> {
        self.newest().members.iter().filter_map(|member| self.disk_of(member)).collect()
    }
}
