//! What stores send each other. The order of variants and fields is part of the encoding on the wire and on disk.

use bincode::{Decode, Encode};
use pinerelay_config_state::anti_entropy::SyncPart;
use pinerelay_config_state::Item;

/// The name of a store: the address of its machine.
pub type StoreName = String;

/// A proposal number: higher than all that its proposer knew of, and unique to that proposer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
pub struct Ballot {
    /// Rises with each proposal.
    pub round: u64,
    /// Tells the proposers of one round apart.
    pub proposer: u64,
}

impl Ballot {
    /// The ballot of a proposer in a round.
    pub fn new(round: u64, proposer: u64) -> Ballot {
        Ballot { round, proposer }
    }
}

/// A voting store: a machine, and the incarnation of its disk. A store whose disk came back empty is another member, which
/// holds nothing of what the earlier one promised and accepted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
pub struct Member {
    /// The store's name.
    pub name: StoreName,
    /// Different for each empty disk; 0 for the one at the first start of the system.
    pub incarnation: u64,
}

/// The voting stores from an epoch on. Memberships are agreed on like any update.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Encode, Decode)]
pub struct Membership {
    /// Rises by one with each change; 0 if no membership is known.
    pub epoch: u64,
    /// The voting stores, in the order of their names.
    pub members: Vec<Member>,
    /// The names of those that voted before the last change of names, as long as that is recent; otherwise of those of the
    /// epoch before.
    pub previous: Vec<StoreName>,
}

impl Membership {
    /// The membership at the first start of the system.
    pub fn first(names: impl IntoIterator<Item = StoreName>) -> Membership {
        let mut names: Vec<StoreName> = names.into_iter().collect();
        names.sort();
        names.dedup();
        let members = names.into_iter().map(|name| Member { name, incarnation: 0 }).collect();
        Membership { epoch: 1, members, previous: Vec::new() }
    }

    /// The names of the voting stores.
    pub fn names(&self) -> Vec<StoreName> {
        self.members.iter().map(|member| member.name.clone()).collect()
    }
}

/// The value that is proposed under a ballot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Encode, Decode)]
pub struct Batch {
    /// Items of operators' updates.
    pub items: Vec<Item>,
    /// The membership that is in force once the batch is committed, if it changes.
    pub membership: Option<Membership>,
}

/// A batch that an acceptor has accepted and does not know to be committed.
pub type Pending = Option<Batch>;

/// No round and no epoch reaches this number. A peer that told of a higher one would leave no number for the proposals after
/// it, and the stores would keep it on their disks.
const NUMBER_LIMIT: u64 = 1 << 62;

/// A message between stores.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Message {
    /// Phase 1a: accept nothing under a lower ballot from now on, and tell what you hold.
    Prepare {
        /// The proposal's ballot.
        ballot: Ballot,
        /// The membership that the proposer knows.
        membership: Membership,
        /// Digests of the proposer's committed items by range; the acceptor sends items where its own differ.
        range_digests: Vec<u64>,
    },
    /// Phase 1b: the acceptor will accept nothing lower, not even after a restart.
    Promise {
        /// The proposal's ballot.
        ballot: Ballot,
        /// The incarnation of the acceptor's disk: one that has lost its disk is another member.
        incarnation: u64,
        /// The highest ballot under which the acceptor has accepted or committed a batch.
        accepted: Ballot,
        /// The batch that it accepted under that ballot, unless it knows it to be committed.
        pending: Pending,
        /// Digests of the acceptor's committed items by range.
        range_digests: Vec<u64>,
        /// Its committed items of the ranges that differ.
        items: Vec<Item>,
    },
    /// A higher ballot has been promised.
    Reject {
        /// The proposal's ballot.
        ballot: Ballot,
        /// The ballot that was promised.
        promised: Ballot,
    },
    /// Phase 2a: write this to disk, all or nothing.
    Accept {
        /// The proposal's ballot.
        ballot: Ballot,
        /// Committed items that the acceptor lacks: whoever accepts a batch holds all that was committed before it.
        missing: Vec<Item>,
        /// The proposed value.
        batch: Batch,
    },
    /// Phase 2b: it is on disk.
    Accepted {
        /// The proposal's ballot.
        ballot: Ballot,
        /// The incarnation of the acceptor's disk.
        incarnation: u64,
    },
    /// A quorum has accepted: the batch is chosen.
    Commit {
        /// The proposal's ballot.
        ballot: Ballot,
        /// The membership under which it was chosen. A store that knows an older one learns of it here, or not at all.
        membership: Membership,
        /// The chosen value.
        batch: Batch,
    },
    /// The receiver's epoch has passed: this membership is in force.
    NewMembership(Membership),
    /// The sender is alive, and its committed items have this digest. [`Message::HeartbeatAck`] is expected.
    Heartbeat {
        /// The sender's process; returned.
        process_id: u64,
        /// When it was sent, by the sender's clock; returned.
        sent_at: u64,
        /// The digest of all committed items.
        digest: u64,
        /// The epoch of the sender's membership.
        epoch: u64,
        /// The incarnation of its disk; `None` until the disk holds it.
        incarnation: Option<u64>,
        /// The highest ballot that it knows of.
        highest_ballot: Ballot,
    },
    /// The state of the receiver of a heartbeat.
    HeartbeatAck {
        /// As in the heartbeat.
        process_id: u64,
        /// As in the heartbeat.
        sent_at: u64,
        /// The digest of all committed items.
        digest: u64,
        /// The epoch of its membership.
        epoch: u64,
        /// The incarnation of its disk.
        incarnation: Option<u64>,
        /// Whether it holds a batch that it does not know to be committed.
        has_pending: bool,
    },
    /// Anti-entropy between the committed items of two stores.
    Sync {
        /// Items that are newer here or unknown there, as far as the sender knows.
        items: Vec<Item>,
        /// What to compare or send next.
        parts: Vec<SyncPart>,
    },
    /// Committed items.
    Update(Vec<Item>),
}

impl Message {
    /// Whether proposals and changes of membership can have led to the message's numbers. Others are ignored.
    pub fn is_plausible(&self) -> bool {
        match self {
            Message::Prepare { ballot, membership, .. } => is_plausible(&[*ballot], [membership]),
            Message::Promise { ballot, accepted, pending, .. } => {
                is_plausible(&[*ballot, *accepted], pending.iter().flat_map(|batch| &batch.membership))
            }
            Message::Reject { ballot, promised } => is_plausible(&[*ballot, *promised], []),
            Message::Accept { ballot, batch, .. } => is_plausible(&[*ballot], &batch.membership),
            Message::Accepted { ballot, .. } => is_plausible(&[*ballot], []),
            Message::Commit { ballot, membership, batch } => {
                is_plausible(&[*ballot], batch.membership.iter().chain([membership]))
            }
            Message::NewMembership(membership) => is_plausible(&[], [membership]),
            Message::Heartbeat { epoch, highest_ballot, .. } => {
                *epoch < NUMBER_LIMIT && is_plausible(&[*highest_ballot], [])
            }
            Message::HeartbeatAck { .. } | Message::Sync { .. } | Message::Update(_) => true,
        }
    }
}

fn is_plausible<'a>(ballots: &[Ballot], memberships: impl IntoIterator<Item = &'a Membership>) -> bool {
    ballots.iter().all(|ballot| ballot.round < NUMBER_LIMIT)
        && memberships.into_iter().all(|membership| membership.epoch < NUMBER_LIMIT)
}
