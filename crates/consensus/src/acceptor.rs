//! The acceptor: the ballots and batches that a store has promised, accepted and committed (Lamport, "Paxos Made Simple",
//! section 2.2).
//!
//! Invariant P1a of the paper: an acceptor accepts a proposal under a ballot only if it has not promised a higher one, in
//! this process or an earlier one on the same disk.

use pinerelay_config_state::validation::IndexedItems;
use pinerelay_config_state::{Item, ItemSet};

use crate::message::{Ballot, Batch, Message, Pending};
use crate::persistent_state::{PersistentState, StateChange};

/// Number of rounds by which one write raises the promise ceiling. A promise up to the ceiling on disk survives a restart
/// without a sync of its own.
const CEILING_STEP: u64 = 1_000;

/// The acceptor of one store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Acceptor {
    /// The incarnation of the disk; `None` until it is durable. The acceptor promises and accepts nothing before that.
    incarnation: Option<u64>,
    /// Whether the disk records that it has held all committed items at some point.
    is_complete: bool,
    /// The promise ceiling that is on disk.
    durable_ceiling: u64,
    /// The promise ceiling once the writes in progress are durable.
    requested_ceiling: u64,
    /// No batch is accepted under a lower ballot: the highest ballot that was promised, accepted or learned with a commit. At
    /// the start all ballots up to the ceiling on disk count as promised.
    promised: Ballot,
    /// The highest ballot under which it has accepted a batch or learned of a commit; the ballot of `pending`, if there is one.
    accepted: Ballot,
    /// The accepted batch that it does not know to be committed.
    pending: Pending,
    committed: IndexedItems,
}

/// The response to a phase 1 request.
pub enum PrepareResponse {
    /// Reply with this message at once.
    Reply(Message),
    /// Write this change; once it is durable, reply with the result of [`Acceptor::promise`].
    AfterWrite(StateChange),
    /// Do not reply: the incarnation is not durable yet.
    None,
}

/// The response to a phase 2 request.
pub enum AcceptResponse {
    /// Reply with this message at once.
    Reply(Message),
    /// Write `change`; once it is durable, reply with [`Message::Accepted`].
    AfterWrite {
        /// Committed items that came with the request and are new to this store.
        learned: Vec<Item>,
        /// The change that has to be durable before the reply.
        change: StateChange,
    },
    /// Do not reply: the incarnation is not durable yet.
    None,
}

/// Committed items that are new to this store, and the change that persists them.
#[must_use = "the change has to be written"]
pub struct Learned {
    /// The new items.
    pub items: Vec<Item>,
    /// The change to write.
    pub change: StateChange,
}

impl Acceptor {
    /// Creates an acceptor from the state on its disk.
    pub fn new(state: PersistentState) -> Acceptor {
        let mut items = ItemSet::default();
        items.merge_all(state.items);
        // An earlier process may have promised any ballot up to the ceiling. Accepting a lower one would break that promise,
        // and two updates could be chosen without seeing each other. So all ballots up to the ceiling count as promised.
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

    /// Records that a change is durable.
    pub fn record_durable(&mut self, change: &StateChange) {
        self.incarnation = change.incarnation.or(self.incarnation);
        self.is_complete |= change.is_complete;
        self.durable_ceiling = self.durable_ceiling.max(change.promise_ceiling.unwrap_or(0));
    }

    /// The incarnation of its disk; `None` until it is durable, and nothing may be promised.
    pub fn incarnation(&self) -> Option<u64> {
        self.incarnation
    }

    /// Whether its disk has held all committed items at some point.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// The committed items.
    pub fn items(&self) -> &ItemSet {
        self.committed.items()
    }

    /// The committed items, indexed by their references.
    pub fn committed(&self) -> &IndexedItems {
        &self.committed
    }

    /// The highest ballot that it knows of.
    pub fn highest_ballot(&self) -> Ballot {
        self.promised.max(self.accepted)
    }

    /// Whether it has accepted a batch that it does not know to be committed.
    pub fn has_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Returns the change that raises the promise ceiling if less than half of `CEILING_STEP` is left up to it.
    pub fn raise_ceiling(&mut self) -> Option<StateChange> {
        let round = self.highest_ballot().round;
        let is_almost_exhausted = round + CEILING_STEP / 2 > self.requested_ceiling;
        is_almost_exhausted.then(|| {
            self.requested_ceiling = round + CEILING_STEP;
            StateChange { promise_ceiling: Some(self.requested_ceiling), ..StateChange::default() }
        })
    }

    /// Phase 1: promises a ballot that is higher than all promised before, otherwise rejects it.
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

    /// The promise for a ballot, or a rejection if a higher one has been promised meanwhile.
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

    /// Commits the items of a batch that was chosen under a ballot.
    pub fn commit(&mut self, ballot: Ballot, items: Vec<Item>) -> Learned {
        let mut learned = self.learn(items);
        // The acceptors that accepted this ballot's batch hold everything that was chosen under lower ballots, so a batch
        // that is pending here under a lower ballot need not be kept.
        if ballot >= self.accepted {
            self.accepted = ballot;
            self.promised = self.promised.max(ballot);
            if self.pending.take().is_some() {
                learned.change.accepted = Some((ballot, None));
            }
        }
        learned
    }

    /// Merges committed items of another store.
    pub fn learn(&mut self, items: Vec<Item>) -> Learned {
        let items = self.committed.merge_all(items);
        let change = StateChange { committed: items.clone(), ..StateChange::default() };
        Learned { items, change }
    }
}
