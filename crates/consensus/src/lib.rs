//! Consensus among the configuration stores. Any store can propose an update; there is neither a log nor a leader.
//!
//! An update is agreed on in two phases, as in Paxos for a single value (Lamport, "Paxos Made Simple", 2001, section 2.2). In
//! the first, the proposer asks a quorum of the voting stores to promise that they accept nothing under a lower ballot, and
//! to return their pending batch and the committed items that the proposer lacks. In the second, it asks them to write a
//! batch of items to disk. A batch that may have been chosen under a lower ballot becomes part of the new batch. Updates that
//! are proposed by two stores therefore see each other, and two that are valid alone but conflict are never both
//! acknowledged; no other order is established. Items are merged by their own versions, and anti-entropy delivers those that
//! a store has missed.
//!
//! The crate is a state machine without I/O or clock: [`Store::step`] takes an [`Input`] and the current time, and appends
//! each [`Output`] that the caller has to carry out.
//!
//! - [`message`]: messages between stores, ballots and memberships.
//! - [`proposer`], [`acceptor`]: the two Paxos roles, both played by every store.
//! - [`quorum`]: quorum sizes.
//! - [`persistent_state`]: the state that an acceptor keeps on disk.
//! - [`failure_detector`]: which stores are alive, and which store should vote in place of a failed one.
//! - [`store`]: the store as a whole, with the lease under which its replica counts as current.

pub mod acceptor;
pub mod failure_detector;
pub mod message;
pub mod persistent_state;
pub mod proposer;
pub mod quorum;
pub mod store;

pub use message::{Ballot, Batch, Member, Membership, Message, StoreName};
pub use persistent_state::{PersistentState, StateChange};
pub use proposer::{Reply, Request, RequestId};
pub use quorum::QuorumHealth;
pub use store::{Input, Output, Store, StoreConfig};

/// Time in microseconds since an arbitrary origin, which is the same for all calls of one state machine.
pub type Micros = u64;
