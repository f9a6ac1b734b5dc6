//! A state: machines, the words on the way, and what the operators were told.

use std::collections::BTreeMap;
use std::sync::Arc;

use pinerelay_config_state::{Item, ItemSet};
use pinerelay_consensus::Micros;
use pinerelay_consensus::{Member, Membership, Message, Reply, Store};
use pinerelay_consensus::{PersistentState, StateChange};

use crate::properties::EPOCH;
use crate::shared::{hash_of, Memo, Shared};

/// What a store wants done, from which machine.
#[derive(Debug)]
pub enum Done {
    /// And when it was told, if it is a digest.
    Say(Shared<Said>, Option<Micros>),
    Write(u64, Shared<StateChange>),
    Answer(u64, Reply),
}

/// What a store is after an input.
#[derive(Debug, Clone)]
pub struct Turned(pub Shared<Store>, pub Arc<Vec<Done>>);

/// A word on its way, from one machine to another.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Said {
    pub from: usize,
    pub to: usize,
    pub word: Message,
}

/// A machine: its disk, and the process on it, if it runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Machine {
    pub disk: Shared<Option<PersistentState>>,
    /// Given to the disk and not yet on it, in order.
    pub unwritten: Vec<(u64, Shared<StateChange>)>,
    pub store: Option<Shared<Store>>,
    pub life: u64,
    pub now: Micros,
    /// What had been acknowledged when its process told its digest, by when that was.
    pub told: Vec<(Micros, Calls)>,
    /// Asks that wait for a write here, only for [`Defect::PromisesInPastEpoch`].
    pub waits: Vec<(u64, Shared<Said>)>,
    /// What had been acknowledged when it lost its disk.
    pub lost: Calls,
}

impl Machine {
    /// The next write gets to the disk.
    pub fn sync(&mut self, disks: &Memo<Shared<Option<PersistentState>>>) -> u64 {
        let (token, change) = self.unwritten.remove(0);
        let disk = disks.of(hash_of((self.disk.0, change.0)), || {
            let mut disk = Option::clone(&self.disk);
            disk.get_or_insert_default().apply(&change);
            disk.into()
        });
        self.disk = disk;
        token
    }
}

/// What may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Left {
    pub crashes: u8,
    pub wipes: u8,
    pub doubles: u8,
    pub ticks: u8,
}

/// A set of calls, by their places.
pub type Calls = u16;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct World {
    pub machines: Vec<Shared<Machine>>,
    /// In the order of their hashes.
    pub wire: Vec<Shared<Said>>,
    pub left: Left,
    pub made: Calls,
    /// Open ones, each with the writes that it must show if it is a read.
    pub open: Vec<(usize, Calls)>,
    /// Writes that were acknowledged, or shown by a read that has ended.
    pub known: Calls,
    pub acknowledged: Calls,
    pub refused: Calls,
    /// The membership of each epoch that any store has known.
    pub epochs: Shared<BTreeMap<u64, Membership>>,
    /// What an answer shows to be wrong.
    pub wrong: Option<&'static str>,
}

pub fn letter(machine: usize) -> char {
    char::from(b'A' + machine as u8)
}

pub fn name(machine: usize) -> String {
    format!("10.0.0.{machine}")
}

pub fn holds(item_set: &[Item], item: &Item) -> bool {
    item_set.iter().any(|c| c.key == item.key && c.version >= item.version)
}

pub fn quorum(members: usize) -> usize {
    (members / 2 + 1).max(2.min(members))
}

/// All sets of so many of these.
pub fn choose<T: Copy>(of: &[T], count: usize) -> Vec<Vec<T>> {
    if count == 0 {
        return vec![Vec::new()];
    }
    let with = |at: usize| {
        choose(&of[at + 1..], count - 1).into_iter().map(move |mut set| {
            set.push(of[at]);
            set
        })
    };
    (0..of.len()).filter(|at| of.len() - at >= count).flat_map(with).collect()
}

/// What a turn with these disks takes for standing.
pub fn stands<'a>(disks: impl Iterator<Item = &'a PersistentState>) -> ItemSet {
    let mut all = ItemSet::default();
    let mut last: Option<&PersistentState> = None;
    for kept in disks {
        all.merge_all(kept.items.iter().cloned());
        if last.is_none_or(|l| kept.accepted > l.accepted) {
            last = Some(kept);
        }
    }
    all.merge_all(last.and_then(|l| l.pending.clone()).into_iter().flat_map(|batch| batch.items));
    all
}

impl World {
    pub fn disk(&self, me: usize) -> Option<&PersistentState> {
        self.machines[me].disk.1.as_ref().as_ref()
    }

    /// The newest membership that has been agreed on.
    pub fn newest(&self) -> &Membership {
        self.epochs.last_key_value().expect("an epoch").1
    }

    /// The members' disks that are there.
    pub fn disks(&self) -> Vec<&PersistentState> {
        let disk = |member: &Member| {
            let me = (0..self.machines.len()).find(|&me| name(me) == member.name)?;
            self.disk(me).filter(|kept| kept.incarnation == Some(member.incarnation))
        };
        self.newest().members.iter().filter_map(disk).collect()
    }

    /// How many members have lost their disk.
    pub fn lost(&self) -> usize {
        self.newest().members.len() - self.disks().len()
    }

    /// What a store knows for the membership of its epoch.
    pub fn learn(&mut self, membership: &Membership) {
        match self.epochs.get(&membership.epoch) {
            _ if membership.epoch == 0 => {}
            Some(known) if known != membership => self.wrong = Some(EPOCH),
            Some(_) => {}
            None => {
                self.epochs.change(|epochs| _ = epochs.insert(membership.epoch, membership.clone()));
            }
        }
    }

    pub fn push(&mut self, said: Shared<Said>) {
        let at = self.wire.partition_point(|s| s.0 < said.0);
        self.wire.insert(at, said);
    }
}
