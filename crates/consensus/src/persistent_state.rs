//! What an acceptor keeps on disk, and the changes to it.

use pinerelay_config_state::{Item, ItemSet};

use crate::message::{Ballot, Membership, Pending};

/// The state of an acceptor that outlives its process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PersistentState {
    /// The incarnation of this disk; `None` if it was never written.
    pub incarnation: Option<u64>,
    /// Whether it has held all that was committed, at some moment.
    pub is_complete: bool,
    /// The membership that it knows.
    pub membership: Membership,
    /// No ballot of a higher round has been promised.
    pub promise_ceiling: u64,
    /// The highest ballot under which a batch was accepted or committed.
    pub accepted: Ballot,
    /// The batch that was accepted under it, unless it is known to be committed.
    pub pending: Pending,
    /// The committed items.
    pub items: Vec<Item>,
}

impl PersistentState {
    /// Applies a change, as the disk does.
    pub fn apply(&mut self, change: &StateChange) {
        self.incarnation = change.incarnation.or(self.incarnation);
        self.is_complete |= change.is_complete;
        if let Some(membership) = &change.membership {
            self.membership.clone_from(membership);
        }
        self.promise_ceiling = change.promise_ceiling.unwrap_or(self.promise_ceiling);
        if let Some((ballot, pending)) = &change.accepted {
            (self.accepted, self.pending) = (*ballot, pending.clone());
        }
        let mut items = ItemSet::default();
        items.merge_all(std::mem::take(&mut self.items).into_iter().chain(change.committed.iter().cloned()));
        self.items = items.iter().cloned().collect();
    }
}

/// A change to the state, which is written atomically. Fields that are `None`, false or empty leave the state as it is.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
#[must_use = "a change that is not written is lost"]
pub struct StateChange {
    /// The disk's incarnation.
    pub incarnation: Option<u64>,
    /// The disk holds all that was committed.
    pub is_complete: bool,
    /// The membership.
    pub membership: Option<Membership>,
    /// The ceiling of promises.
    pub promise_ceiling: Option<u64>,
    /// The highest ballot, and the batch that is pending under it.
    pub accepted: Option<(Ballot, Pending)>,
    /// Items that were committed.
    pub committed: Vec<Item>,
}

impl StateChange {
    /// Appends a later change, so that both are written as one.
    pub fn append(&mut self, later: StateChange) {
        self.incarnation = later.incarnation.or(self.incarnation.take());
        self.is_complete |= later.is_complete;
        self.membership = later.membership.or(self.membership.take());
        self.promise_ceiling = later.promise_ceiling.or(self.promise_ceiling.take());
        self.accepted = later.accepted.or(self.accepted.take());
        self.committed.extend(later.committed);
    }
}
