//! What stores say to each other.

use bincode::{Decode, Encode};
use pinerelay_cells::merkle::Part;
use pinerelay_cells::Item;

/// A store's name: the address of its machine.
pub type Name = String;

/// A turn's number, higher than all that its store had heard of, and what tells two stores' apart.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
pub struct Ballot(pub u64, pub u64);

/// A store as one that votes: the machine's address, and which disk of it. A store whose disk came back empty is another
/// member, which holds nothing of what the one before it promised and kept.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
pub struct Member {
    /// Its name.
    pub name: Name,
    /// Another with each empty disk; 0: the one at the system's first start.
    pub incarnation: u64,
}

/// Who votes from an epoch on, agreed on as any write is.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Encode, Decode)]
pub struct Membership {
    /// Higher by one with each change; 0: not known.
    pub epoch: u64,
    /// In the order of their names.
    pub members: Vec<Member>,
    /// The names of those that voted before the last change of names, as long as that is recent; else of the epoch before.
    pub before: Vec<Name>,
}

impl Membership {
    /// Those of the system's first start.
    pub fn first(names: impl IntoIterator<Item = Name>) -> Membership {
        let mut names: Vec<Name> = names.into_iter().collect();
        names.sort();
        names.dedup();
        let members = names.into_iter().map(|name| Member { name, incarnation: 0 }).collect();
        Membership { epoch: 1, members, before: Vec::new() }
    }

    /// The members' names.
    pub fn names(&self) -> Vec<Name> {
        self.members.iter().map(|member| member.name.clone()).collect()
    }
}

/// What is put under one ballot.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default, Encode, Decode)]
pub struct Batch {
    /// Items of operators' calls.
    pub items: Vec<Item>,
    /// Who votes from then on.
    pub membership: Option<Membership>,
}

/// What a voter has put under a ballot and does not know to be agreed on.
pub type Pending = Option<Batch>;

/// No turn and no epoch comes to a number as high as this. Danger: a peer that told of a higher one would leave no number for
/// the turns after it, and what the stores wrote on their disks would stay there.
const NUMBER_MOST: u64 = 1 << 62;

/// A word between stores.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Word {
    /// Take nothing under a lower ballot from now on, and tell what you hold.
    Ask {
        /// The turn's.
        ballot: Ballot,
        /// Who votes, as far as the asker knows.
        membership: Membership,
        /// Of the asker's settled items, by range; a voter need not send what is the same.
        ranges: Vec<u64>,
    },
    /// The voter will not, not in a later life either.
    Promise {
        /// The turn's.
        ballot: Ballot,
        /// Of the voter's disk: one that has lost it is another member.
        incarnation: u64,
        /// The highest ballot under which something was put or settled here.
        at: Ballot,
        /// What was put under it and is not known to be agreed on.
        pending: Pending,
        /// Of the voter's settled items, by range.
        ranges: Vec<u64>,
        /// Its settled items of the ranges that differ.
        cells: Vec<Item>,
    },
    /// A higher ballot has been promised.
    Deny {
        /// The turn's.
        ballot: Ballot,
        /// The one promised.
        higher: Ballot,
    },
    /// Put these on disk, all of it or nothing.
    Put {
        /// The turn's.
        ballot: Ballot,
        /// Settled items that the voter lacks: who keeps a batch holds all that was agreed on before it.
        fill: Vec<Item>,
        /// What is new.
        batch: Batch,
    },
    /// They are on disk.
    Kept {
        /// The turn's.
        ballot: Ballot,
        /// Of the voter's disk.
        incarnation: u64,
    },
    /// They are on enough disks: agreed on.
    Settle {
        /// The turn's.
        ballot: Ballot,
        /// Under which it was agreed on: one whose epoch is older learns of the newer with it, and not without.
        membership: Membership,
        /// What was put.
        batch: Batch,
    },
    /// Who votes by now: the other's epoch is past.
    Members(Membership),
    /// The speaker is there, and what its settled items come to. [`Word::Seen`] is wanted.
    Digest {
        /// Comes back: the speaker's process.
        life: u64,
        /// Comes back: when it was said, by the speaker's clock.
        sent: u64,
        /// Of all settled items.
        digest: u64,
        /// Of its membership.
        epoch: u64,
        /// Of its disk; none: its disk does not hold it yet.
        incarnation: Option<u64>,
        /// The highest ballot that it knows of.
        highest: Ballot,
    },
    /// What the settled items of who was asked come to.
    Seen {
        /// From the digest.
        life: u64,
        /// From the digest.
        sent: u64,
        /// Of all settled items.
        digest: u64,
        /// Of its membership.
        epoch: u64,
        /// Of its disk.
        incarnation: Option<u64>,
        /// It holds what it does not know to be agreed on.
        pends: bool,
    },
    /// Of anti-entropy between copies of the settled items.
    Mend {
        /// Newer or unknown, as far as the speaker knows.
        items: Vec<Item>,
        /// What is to be compared or wanted next.
        parts: Vec<Part>,
    },
    /// Settled items.
    News(Vec<Item>),
}

impl Word {
    /// Whether turns and epochs can have come to its numbers; what else it says is as if it had been lost.
    pub fn is_plausible(&self) -> bool {
        let turns = |ballots: &[Ballot]| ballots.iter().all(|ballot| ballot.0 < NUMBER_MOST);
        let epoch = |membership: &Membership| membership.epoch < NUMBER_MOST;
        let of_batch = |batch: &Batch| batch.membership.as_ref().is_none_or(epoch);
        match self {
            Word::Ask { ballot, membership, .. } => turns(&[*ballot]) && epoch(membership),
            Word::Promise { ballot, at, pending, .. } => {
                turns(&[*ballot, *at]) && pending.as_ref().is_none_or(of_batch)
            }
            Word::Deny { ballot, higher } => turns(&[*ballot, *higher]),
            Word::Put { ballot, batch, .. } => turns(&[*ballot]) && of_batch(batch),
            Word::Kept { ballot, .. } => turns(&[*ballot]),
            Word::Settle { ballot, membership, batch } => {
                turns(&[*ballot]) && epoch(membership) && of_batch(batch)
            }
            Word::Members(membership) => epoch(membership),
            Word::Digest { epoch, highest, .. } => *epoch < NUMBER_MOST && turns(&[*highest]),
            Word::Seen { .. } | Word::Mend { .. } | Word::News(_) => true,
        }
    }
}
