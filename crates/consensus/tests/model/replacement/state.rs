//! A state of the model: machines with their clocks, links that are cut, and a record of votes and membership changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pinerelay_consensus::Micros;
use pinerelay_consensus::PersistentState;
use pinerelay_consensus::{Ballot, Member, Membership, Message, Store};

use crate::state::{store_name, CallSet};

/// A message in flight, with the indices of its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Envelope {
    pub from: usize,
    pub to: usize,
    pub message: Message,
}

/// A machine: its disk, and its store while the process runs. Writes are durable at once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Machine {
    pub disk: Option<PersistentState>,
    pub store: Option<Store>,
    /// Counts the starts of the process.
    pub process_id: u64,
    /// When its process started; the clock of the store counts from there.
    pub started_at: Micros,
    /// The process is stalled: it handles no input while its clock goes on.
    pub stalled: bool,
    /// When it last ticked.
    pub last_tick: Micros,
    /// Since when the process has run without a stall.
    pub awake_since: Micros,
    /// By sender: when it last received a heartbeat.
    pub last_heartbeat: BTreeMap<usize, Micros>,
    /// By machine: when it last found that machine silent for so long that it may be replaced.
    pub last_silent: BTreeMap<usize, Micros>,
    /// For each time, by its own clock, at which it sent heartbeats: the calls that had been acknowledged by then.
    pub heartbeats_sent: VecDeque<(Micros, CallSet)>,
}

/// The kinds of messages that may be lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageKind {
    Accept,
    Accepted,
    Commit,
    NewMembership,
}

impl MessageKind {
    /// Whether a message is of this kind.
    pub fn includes(self, message: &Message) -> bool {
        match self {
            MessageKind::Accept => matches!(message, Message::Accept { .. }),
            MessageKind::Accepted => matches!(message, Message::Accepted { .. }),
            MessageKind::Commit => matches!(message, Message::Commit { .. }),
            MessageKind::NewMembership => matches!(message, Message::NewMembership(_)),
        }
    }
}

/// A step of the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Step {
    /// Half a second passes.
    AdvanceRound,
    /// The process on this machine ends; the disk stays.
    Stop(usize),
    /// A process starts on this machine.
    Start(usize),
    /// The disk is lost, and a process starts on an empty one.
    StartEmpty(usize),
    /// The process on this machine stalls.
    Stall(usize),
    /// The stalled process goes on.
    Resume(usize),
    /// No message passes between these machines any more.
    CutLink(usize, usize),
    /// Messages pass between these machines again.
    RestoreLink(usize, usize),
    /// All links of this machine are cut.
    Isolate(usize),
    /// All links of this machine are restored.
    Reconnect(usize),
    /// Messages of this kind are lost until the end of the next round.
    Lose(MessageKind),
    /// Makes the call with this index in the scope.
    Call(usize),
}

/// An epoch: its membership, and when a store first knew it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Epoch {
    pub membership: Membership,
    pub since: Micros,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct SystemState {
    pub now: Micros,
    pub round: u32,
    pub machines: Vec<Machine>,
    pub network: VecDeque<Envelope>,
    pub cut_links: BTreeSet<(usize, usize)>,
    /// Messages of this kind are lost.
    pub lost_kind: Option<MessageKind>,
    /// By timeline of the scope: the index after its last event that has happened.
    pub timelines: Vec<usize>,
    /// Calls without a reply, each with the updates that it must return if it is a read.
    pub open_calls: Vec<(usize, CallSet)>,
    /// Updates that were acknowledged, or returned by a read.
    pub observed: CallSet,
    pub acknowledged: CallSet,
    pub rejected: CallSet,
    pub epochs: BTreeMap<u64, Epoch>,
    /// Membership changes that any store has proposed: epoch and members.
    pub proposed: BTreeSet<(u64, Vec<Member>)>,
    /// By ballot: the members that have accepted its batch.
    pub accepted_by: BTreeMap<Ballot, BTreeSet<Member>>,
    /// Ballots whose batch was committed.
    pub committed_ballots: BTreeSet<Ballot>,
    /// When the names of the members last changed.
    pub names_changed_at: Option<Micros>,
    /// How often the names of the members have changed.
    pub name_changes: u32,
    /// An update has been acknowledged after the first of these changes.
    pub acknowledged_after_replacement: bool,
    /// The property that a step has violated.
    pub violation: Option<&'static str>,
}

impl SystemState {
    /// Whether messages pass between two machines.
    pub fn linked(&self, a: usize, b: usize) -> bool {
        !self.cut_links.contains(&(a.min(b), a.max(b)))
    }

    /// The membership of the highest epoch that any store has known.
    pub fn newest_membership(&self) -> &Membership {
        &self.epochs.last_key_value().expect("epoch 1 is always recorded").1.membership
    }

    /// The disk of a member, unless it was lost.
    pub fn disk_of(&self, member: &Member) -> Option<&PersistentState> {
        let index = (0..self.machines.len()).find(|&index| store_name(index) == member.name)?;
        self.machines[index]
            .disk
            .as_ref()
            .filter(|persisted| persisted.incarnation == Some(member.incarnation))
    }

    /// The disks of the current members, without those that were lost.
    pub fn member_disks(&self) -> Vec<&PersistentState> {
        self.newest_membership().members.iter().filter_map(|member| self.disk_of(member)).collect()
    }
}
