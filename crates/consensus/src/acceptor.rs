//! The acceptor: what a store has promised, accepted and committed (Lamport, "Paxos Made Simple", section 2.2).
//!
//! Invariant P1a of the paper: an acceptor accepts a proposal under a ballot only if it has not promised a higher one, in this
//! process or an earlier one on the same disk.

use pinerelay_config_state::validation::IndexedItems;
use pinerelay_config_state::{Item, ItemSet};

use crate::message::{Ballot, Batch, Message, Pending};
use crate::persistent_state::{PersistentState, StateChange};

/// Rounds by which the ceiling of promises rises at once. Promises up to the ceiling on disk outlive the process without a
/// sync of their own.
const CEILING_STEP: u64 = 1_000;

/// An acceptor.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// `None` until the disk holds it; nothing is promised before.
    incarnation: Option<u64>,
    /// The disk says that it has held all that was committed.
    is_complete: bool,
    /// The ceiling of promises that is on disk.
    durable_ceiling: u64,
    /// The ceiling once the write under way is durable.
    requested_ceiling: u64,
    promised: Ballot,
    accepted: Ballot,
    pending: Pending,
    committed: IndexedItems,
}

/// The response to a phase 1 request.
pub enum PrepareResponse {
    /// This is the reply.
    Reply(Message),
    /// Once this is durable, [`Acceptor::promise`] gives the reply.
    AfterWrite(StateChange),
    /// There is none: the disk does not hold its incarnation yet.
    None,
}

/// The response to a phase 2 request.
pub enum AcceptResponse {
    /// This is the reply.
    Reply(Message),
    /// [`Message::Accepted`] is sent once `change` is durable.
    AfterWrite {
        /// Committed items that came with the request and are new here.
        learned: Vec<Item>,
        /// What has to be durable first.
        change: StateChange,
    },
    /// There is none: the disk does not hold its incarnation yet.
    None,
}

/// Committed items that are new here, and the change that writes them.
#[must_use = "the change has to be written"]
pub struct Learned {
    /// The items.
    pub items: Vec<Item>,
    /// What is to be written.
    pub change: StateChange,
}

impl Acceptor {
    /// An acceptor with what its disk holds.
    pub fn new(state: PersistentState) -> Acceptor {
        let mut items = ItemSet::default();
        items.merge_all(state.items);
        // An earlier process may have promised any ballot up to the ceiling. Accepting a lower one would break that promise,
        // and two updates could be chosen without seeing each other.
        let ceiling = Ballot::new(state.promise_ceiling, u64::MAX);
        let promised = if state.promise_ceiling > 0 { state.accepted.max(ceiling) } else { state.accepted };
        Acceptor {
            incarnation: state.incarnation,
            is_complete: state.is_complete,
            durable_ceiling: state.promise_ceiling,
            requested_ceiling: state.promise_ceiling,
            promised,
            accepted: state.accepted,
            pending: state.pending,
            committed: IndexedItems::new(items),
        }
    }

    /// Notes that a change is durable.
    pub fn written(&mut self, change: &StateChange) {
        self.incarnation = change.incarnation.or(self.incarnation);
        self.is_complete |= change.is_complete;
        self.durable_ceiling = self.durable_ceiling.max(change.promise_ceiling.unwrap_or(0));
    }

    /// The incarnation of its disk; `None` as long as it may not promise anything.
    pub fn incarnation(&self) -> Option<u64> {
        self.incarnation
    }

    /// Whether its disk has held all that was committed, at some moment.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// The committed items.
    pub fn items(&self) -> &ItemSet {
        self.committed.items()
    }

    /// The committed items with the index of their references.
    pub fn committed(&self) -> &IndexedItems {
        &self.committed
    }

    /// The highest ballot that it knows of.
    pub fn highest_ballot(&self) -> Ballot {
        self.promised.max(self.accepted)
    }

    /// Whether it holds a batch that it does not know to be committed.
    pub fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// The change that raises the ceiling of promises, if the durable one is near.
    pub fn raise_ceiling(&mut self) -> Option<StateChange> {
        let round = self.highest_ballot().round;
        let is_near = round + CEILING_STEP / 2 > self.requested_ceiling;
        is_near.then(|| {
            self.requested_ceiling = round + CEILING_STEP;
            StateChange { promise_ceiling: Some(self.requested_ceiling), ..StateChange::default() }
        })
    }

    /// Phase 1: promises a ballot that is higher than all before.
    pub fn prepare(&mut self, ballot: Ballot, range_digests: &[u64]) -> PrepareResponse {
        if self.incarnation.is_none() {
            return PrepareResponse::None;
        }
        if ballot <= self.promised {
            return PrepareResponse::Reply(Message::Reject { ballot, promised: self.promised });
        }
        self.promised = ballot;
        if ballot.round <= self.durable_ceiling {
            return PrepareResponse::Reply(self.promise(ballot, range_digests));
        }
        self.requested_ceiling = self.requested_ceiling.max(ballot.round + CEILING_STEP);
        let promise_ceiling = Some(self.requested_ceiling);
        PrepareResponse::AfterWrite(StateChange { promise_ceiling, ..StateChange::default() })
    }

    /// The promise for a ballot, unless a higher one has been promised meanwhile.
    pub fn promise(&self, ballot: Ballot, range_digests: &[u64]) -> Message {
        match self.incarnation {
            Some(incarnation) if ballot == self.promised => {
                let own_digests = self.items().range_digests();
                let items = self.items().items_in_differing_ranges(&own_digests, range_digests);
                let items = items.cloned().collect();
                Message::Promise {
                    ballot,
                    incarnation,
                    accepted: self.accepted,
                    pending: self.pending.clone(),
                    range_digests: own_digests,
                    items,
                }
            }
            _ => Message::Reject { ballot, promised: self.promised },
        }
    }

    /// Phase 2: accepts a batch unless a higher ballot has been promised.
    pub fn accept(&mut self, ballot: Ballot, missing: Vec<Item>, batch: Batch) -> AcceptResponse {
        if self.incarnation.is_none() {
            return AcceptResponse::None;
        }
        if ballot < self.promised {
            return AcceptResponse::Reply(Message::Reject { ballot, promised: self.promised });
        }
        (self.promised, self.accepted, self.pending) = (ballot, ballot, Some(batch));
        let learned = self.committed.merge_all(missing);
        let accepted = Some((ballot, self.pending.clone()));
        let change = StateChange { accepted, committed: learned.clone(), ..StateChange::default() };
        AcceptResponse::AfterWrite { learned, change }
    }

    /// Takes over a batch that was chosen under a ballot.
    pub fn commit(&mut self, ballot: Ballot, items: Vec<Item>) -> Learned {
        let mut learned = self.learn(items);
        // Whoever accepted this ballot's batch holds what was chosen under lower ones.
        if ballot >= self.accepted {
            self.accepted = ballot;
            self.promised = self.promised.max(ballot);
            if self.pending.take().is_some() {
                learned.change.accepted = Some((ballot, None));
            }
        }
        learned
    }

    /// Takes over committed items from another store.
    pub fn learn(&mut self, items: Vec<Item>) -> Learned {
        let items = self.committed.merge_all(items);
        let change = StateChange { committed: items.clone(), ..StateChange::default() };
        Learned { items, change }
    }
}
