//! What stores say to each other.

use bincode::{Decode, Encode};
use pinerelay_cells::item::Line;
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
    /// The names of those that voted in the epoch before.
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

/// What a voter has put under a ballot and does not know to be agreed on.
pub type Pending = Option<Vec<Item>>;

/// A word between stores.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum Word {
    /// Take nothing under a lower ballot from now on, and tell what you hold.
    Ask {
        /// The turn's.
        ballot: Ballot,
        /// Of the asker's own items; a voter that has the same ones need not send them.
        digest: u64,
    },
    /// The voter will not.
    Promise {
        /// The turn's.
        ballot: Ballot,
        /// Of the voter's process: a later one knows nothing of the promise.
        life: u64,
        /// The highest ballot under which something was put or settled here.
        at: Ballot,
        /// What was put under it and is not known to be agreed on.
        pending: Pending,
        /// The settled items, if they differ.
        cells: Option<Vec<Item>>,
    },
    /// A higher ballot has been promised.
    Deny {
        /// The turn's.
        ballot: Ballot,
        /// The one promised.
        higher: Ballot,
    },
    /// Put these on disk.
    Put {
        /// The turn's.
        ballot: Ballot,
        /// Of the process that promised.
        life: u64,
        /// The items.
        batch: Vec<Item>,
    },
    /// They are on disk.
    Kept {
        /// The turn's.
        ballot: Ballot,
    },
    /// They are on enough disks: agreed on.
    Settle {
        /// The turn's.
        ballot: Ballot,
        /// The items.
        batch: Vec<Item>,
    },
    /// Tell all that you hold: the asker has lost its disk.
    Fetch,
    /// All that a voter holds.
    Copy {
        /// Who votes.
        voters: Vec<Name>,
        /// The highest ballot under which something was put or settled here.
        at: Ballot,
        /// What was put under it and is not known to be agreed on.
        pending: Pending,
        /// The settled items.
        cells: Vec<Item>,
    },
    /// What the settled items come to.
    Digest(u64),
    /// What settled items there are.
    Summary {
        /// Item by item.
        lines: Vec<Line>,
        /// The other's summary is wanted, too.
        answer: bool,
    },
    /// Settled items.
    News(Vec<Item>),
}
