//! The state that an acceptor keeps on disk, and changes of it.

use pinerelay_config_state::{Item, ItemSet};

use crate::message::{Ballot, Membership, Pending};

/// The state of an acceptor that survives restarts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct PersistentState {
    /// The incarnation of this disk; `None` if the disk was never written.
    pub incarnation: Option<u64>,
    /// Whether the disk has held all committed items at some point.
    pub is_complete: bool,
    /// The newest membership that the store knows.
    pub membership: Membership,
    /// The promise ceiling: no ballot of a higher round has been promised.
    pub promise_ceiling: u64,
    /// The ballot under which a batch was last accepted, or the ballot of the commit that ended the pending state of that batch.
    pub accepted: Ballot,
    /// The batch that was accepted under that ballot; `None` after such a commit.
    pub pending: Pending,
    /// The committed items.
    pub items: Vec<Item>,
}

impl PersistentState {
    /// Applies a change in the same way as writing it to disk does.
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

/// A change of the persistent state, written atomically. Fields that are `None`, false or empty leave the state unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
#[must_use = "a change that is not written is lost"]
pub struct StateChange {
    /// The new incarnation of the disk.
    pub incarnation: Option<u64>,
    /// Whether the disk now holds all committed items.
    pub is_complete: bool,
    /// The new membership.
    pub membership: Option<Membership>,
    /// The new promise ceiling.
    pub promise_ceiling: Option<u64>,
    /// The new [`PersistentState::accepted`] and [`PersistentState::pending`].
    pub accepted: Option<(Ballot, Pending)>,
    /// Newly committed items.
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
