//! A state of the model: machines, messages in flight, and the replies that callers have got.

use std::collections::BTreeMap;
use std::sync::Arc;

use pinerelay_config_state::{Item, ItemSet};
use pinerelay_consensus::Micros;
use pinerelay_consensus::{Member, Membership, Message, Reply, Store};
use pinerelay_consensus::{PersistentState, StateChange};

use crate::properties::ONE_MEMBERSHIP;
use crate::shared::{hash_of, Memo, Shared};

/// An output of a store, ready to be applied to the state.
#[derive(Debug)]
pub enum Effect {
    /// Sends a message. The time is set for a heartbeat: when it was sent, by the clock of its sender.
    Send(Shared<Envelope>, Option<Micros>),
    Write(u64, Shared<StateChange>),
    Reply(u64, Reply),
}

/// A store after an input, and the effects of that input.
#[derive(Debug, Clone)]
pub struct Transition(pub Shared<Store>, pub Arc<Vec<Effect>>);

/// A message in flight, with the indices of its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

/// A machine: its disk, and its store while the process runs.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Machine {
    pub disk: Shared<Option<PersistentState>>,
    /// Writes that are not durable yet, each with its id, in order.
    pub unsynced_writes: Vec<(u64, Shared<StateChange>)>,
    pub store: Option<Shared<Store>>,
    /// Counts the starts of the process.
    pub process_id: u64,
    /// The clock of the process; 0 at its start.
    pub now: Micros,
    /// For each time at which the process sent heartbeats: the calls that had been acknowledged by then.
    pub heartbeats_sent: Vec<(Micros, CallSet)>,
    /// `Prepare` messages whose promise waits for a write, by its id. Only for `Defect::PromisesInPastEpoch`.
    pub deferred_prepares: Vec<(u64, Shared<Envelope>)>,
    /// The calls that had been acknowledged when the machine lost its disk.
    pub acknowledged_at_wipe: CallSet,
}

impl Machine {
    /// Makes the oldest unsynced write durable; returns its id.
    pub fn sync(&mut self, disks: &Memo<Shared<Option<PersistentState>>>) -> u64 {
        let (write_id, change) = self.unsynced_writes.remove(0);
        let disk = disks.get_or_insert_with(hash_of((self.disk.0, change.0)), || {
            let mut disk = Option::clone(&self.disk);
            disk.get_or_insert_default().apply(&change);
            disk.into()
        });
        self.disk = disk;
        write_id
    }
}

/// How many events of each kind may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Default)]
pub struct Budget {
    pub crashes: u8,
    /// Losses of a disk.
    pub wipes: u8,
    /// Messages that are delivered and stay in flight.
    pub duplications: u8,
    pub ticks: u8,
}

/// A set of calls: bit n stands for call n of the scope.
pub type CallSet = u16;

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SystemState {
    pub machines: Vec<Shared<Machine>>,
    /// The messages in flight, sorted by hash.
    pub network: Vec<Shared<Envelope>>,
    pub budget: Budget,
    pub issued: CallSet,
    /// Calls without a reply, each with the updates that it must return if it is a read.
    pub open_calls: Vec<(usize, CallSet)>,
    /// Updates that were acknowledged, or returned by a read.
    pub observed: CallSet,
    pub acknowledged: CallSet,
    pub rejected: CallSet,
    /// The membership of each epoch that any store has known.
    pub epochs: Shared<BTreeMap<u64, Membership>>,
    /// The property that a step has violated.
    pub violation: Option<&'static str>,
}

/// The letter that stands for a machine in traces.
pub fn letter(machine: usize) -> char {
    char::from(b'A' + machine as u8)
}

/// The name of the store on a machine.
pub fn store_name(machine: usize) -> String {
    format!("10.0.0.{machine}")
}

/// Whether the items include this one or a newer version of it.
pub fn holds_item(items: &[Item], item: &Item) -> bool {
    items.iter().any(|c| c.key == item.key && c.version >= item.version)
}

/// The number of members that are a quorum, if the loss of one machine is tolerated.
pub fn quorum_size(members: usize) -> usize {
    (members / 2 + 1).max(2.min(members))
}

/// All subsets of `count` elements.
pub fn combinations<T: Copy>(elements: &[T], count: usize) -> Vec<Vec<T>> {
    if count == 0 {
        return vec![Vec::new()];
    }
    let with_element = |at: usize| {
        combinations(&elements[at + 1..], count - 1).into_iter().map(move |mut set| {
            set.push(elements[at]);
            set
        })
    };
    (0..elements.len()).filter(|at| elements.len() - at >= count).flat_map(with_element).collect()
}

/// The items that a proposal recovers from promises of these disks: the committed ones, and the batch pending under the
/// highest ballot.
pub fn recovered_items<'a>(disks: impl Iterator<Item = &'a PersistentState>) -> ItemSet {
    let mut all = ItemSet::default();
    let mut newest: Option<&PersistentState> = None;
    for persisted in disks {
        all.merge_all(persisted.items.iter().cloned());
        if newest.is_none_or(|newest| persisted.accepted > newest.accepted) {
            newest = Some(persisted);
        }
    }
    all.merge_all(newest.and_then(|newest| newest.pending.clone()).into_iter().flat_map(|batch| batch.items));
    all
}

impl SystemState {
    /// What is durable on the disk of a machine; `None` if the disk is empty.
    pub fn disk(&self, index: usize) -> Option<&PersistentState> {
        self.machines[index].disk.1.as_ref().as_ref()
    }

    /// The membership of the highest epoch that any store has known.
    pub fn newest_membership(&self) -> &Membership {
        self.epochs.last_key_value().expect("epoch 1 is always recorded").1
    }

    /// The disks of the current members, without those that were lost.
    pub fn member_disks(&self) -> Vec<&PersistentState> {
        let disk = |member: &Member| {
            let index = (0..self.machines.len()).find(|&index| store_name(index) == member.name)?;
            self.disk(index).filter(|persisted| persisted.incarnation == Some(member.incarnation))
        };
        self.newest_membership().members.iter().filter_map(disk).collect()
    }

    /// How many of the current members have lost their disk.
    pub fn lost_disks(&self) -> usize {
        self.newest_membership().members.len() - self.member_disks().len()
    }

    /// Records the membership that a store knows, and checks that the epoch has no other.
    pub fn record_membership(&mut self, membership: &Membership) {
        match self.epochs.get(&membership.epoch) {
            _ if membership.epoch == 0 => {}
            Some(recorded) if recorded != membership => self.violation = Some(ONE_MEMBERSHIP),
            Some(_) => {}
            None => {
                self.epochs.modify(|epochs| _ = epochs.insert(membership.epoch, membership.clone()));
            }
        }
    }

    /// Puts a message in flight.
    pub fn send(&mut self, envelope: Shared<Envelope>) {
        let at = self.network.partition_point(|s| s.0 < envelope.0);
        self.network.insert(at, envelope);
    }
}
