//! Messages between stores. The order of variants and fields is part of the encoding on the wire and on disk.

use bincode::{Decode, Encode};
use pinerelay_config_state::anti_entropy::SyncPart;
use pinerelay_config_state::Item;

/// The name of a store: the address of its machine.
pub type StoreName = String;

/// A proposal number: higher than all that its proposer knew of, and unique to the proposer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
pub struct Ballot {
    /// Increases with each proposal; compared first.
    pub round: u64,
    /// The proposer's id, which distinguishes the ballots of one round.
    pub proposer: u64,
}

impl Ballot {
    /// Creates the ballot of a proposer in a round.
    pub fn new(round: u64, proposer: u64) -> Ballot {
        Ballot { round, proposer }
    }
}

/// A voting store, identified by its name and the incarnation of its disk. A store that restarted with an empty disk is
/// another member: it holds nothing that the earlier one promised and accepted.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
pub struct Member {
    /// The store's name.
    pub name: StoreName,
    /// Different each time the store starts with an empty disk; 0 at the first start of the system.
    pub incarnation: u64,
}

/// The voting stores of an epoch. A change of membership is agreed on like any update.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Encode, Decode)]
pub struct Membership {
    /// Increases by one with each change; 0 if no membership is known.
    pub epoch: u64,
    /// The voting stores, sorted by name.
    pub members: Vec<Member>,
    /// The names of the stores that voted before the last change of names, as long as that change is recent (see
    /// [`MEMBERSHIP_CHANGE_INTERVAL`](crate::store::MEMBERSHIP_CHANGE_INTERVAL)); otherwise of those that voted in the
    /// preceding epoch.
    pub previous: Vec<StoreName>,
}

impl Membership {
    /// The membership at the first start of the system, in epoch 1.
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
    /// The items of updates and changes of rollouts.
    pub items: Vec<Item>,
    /// The new membership, in force once the batch is committed; `None` if it does not change.
    pub membership: Option<Membership>,
}

/// The batch that an acceptor has accepted and does not know to be committed, if any.
pub type Pending = Option<Batch>;

/// Exclusive limit of plausible rounds and epochs; proposals never reach it. If a peer's higher number were accepted, no
/// numbers would be left for the proposals after it, and the stores would keep it on their disks.
const ROUND_AND_EPOCH_LIMIT: u64 = 1 << 62;

/// A message between stores.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Message {
    /// Phase 1a: asks the acceptor to accept nothing under a lower ballot from now on, and to report its state.
    Prepare {
        /// The proposal's ballot.
        ballot: Ballot,
        /// The membership that the proposer knows.
        membership: Membership,
        /// Digests of the proposer's committed items by range; the acceptor sends items where its own differ.
        range_digests: Vec<u64>,
    },
    /// Phase 1b: the acceptor will accept nothing under a lower ballot, not even after a restart.
    Promise {
        /// The proposal's ballot.
        ballot: Ballot,
        /// The incarnation of the acceptor's disk: an acceptor that has lost its disk is another member.
        incarnation: u64,
        /// The highest ballot under which the acceptor has accepted a batch or learned of a commit.
        accepted: Ballot,
        /// The batch that it accepted under that ballot, unless it knows the batch to be committed.
        pending: Pending,
        /// Digests of the acceptor's committed items by range.
        range_digests: Vec<u64>,
        /// The acceptor's committed items in the ranges whose digests differ.
        items: Vec<Item>,
    },
    /// The proposal is rejected because of a ballot that was promised before.
    Reject {
        /// The proposal's ballot.
        ballot: Ballot,
        /// The highest ballot that the acceptor has promised.
        promised: Ballot,
    },
    /// Phase 2a: asks the acceptor to write the missing items and the batch to disk, atomically.
    Accept {
        /// The proposal's ballot.
        ballot: Ballot,
        /// Committed items that the acceptor lacks: an acceptor of a batch holds everything that was committed before it.
        missing: Vec<Item>,
        /// The proposed value.
        batch: Batch,
    },
    /// Phase 2b: the batch is on the acceptor's disk.
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
        /// The membership under which it was chosen. A store that knows only an older one may not learn of it otherwise.
        membership: Membership,
        /// The chosen value.
        batch: Batch,
    },
    /// The receiver's epoch is outdated: this newer membership is in force.
    NewMembership(Membership),
    /// The sender is alive, and its committed items have this digest. The receiver replies with [`Message::HeartbeatAck`].
    Heartbeat {
        /// The id of the sender's process; returned in the acknowledgement.
        process_id: u64,
        /// When it was sent, by the sender's clock; returned in the acknowledgement.
        sent_at: u64,
        /// The digest of all committed items.
        digest: u64,
        /// The epoch of the sender's membership.
        epoch: u64,
        /// The incarnation of the sender's disk; `None` until it is durable.
        incarnation: Option<u64>,
        /// The highest ballot that the sender's acceptor knows of.
        highest_ballot: Ballot,
    },
    /// The acknowledgement of a heartbeat, with the state of the store that received it.
    HeartbeatAck {
        /// Copied from the heartbeat.
        process_id: u64,
        /// Copied from the heartbeat.
        sent_at: u64,
        /// The digest of all committed items of the acknowledging store.
        digest: u64,
        /// The epoch of its membership.
        epoch: u64,
        /// The incarnation of its disk; `None` until it is durable.
        incarnation: Option<u64>,
        /// Whether it has accepted a batch that it does not know to be committed.
        has_pending: bool,
    },
    /// Anti-entropy between the committed items of two stores.
    Sync {
        /// Items that, as far as the sender knows, the receiver lacks or has in an older version.
        items: Vec<Item>,
        /// The parts of the item set that the receiver is to compare or send next.
        parts: Vec<SyncPart>,
    },
    /// Committed items for the receiver to merge.
    Update(Vec<Item>),
}

impl Message {
    /// Whether the message's rounds and epochs are below the limit that regular operation never reaches. Other messages are
    /// ignored.
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
                *epoch < ROUND_AND_EPOCH_LIMIT && is_plausible(&[*highest_ballot], [])
            }
            Message::HeartbeatAck { .. } | Message::Sync { .. } | Message::Update(_) => true,
        }
    }
}

fn is_plausible<'a>(ballots: &[Ballot], memberships: impl IntoIterator<Item = &'a Membership>) -> bool {
    ballots.iter().all(|ballot| ballot.round < ROUND_AND_EPOCH_LIMIT)
        && memberships.into_iter().all(|membership| membership.epoch < ROUND_AND_EPOCH_LIMIT)
}
