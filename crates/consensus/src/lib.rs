//! How the configuration stores agree on updates. Any store takes an update; there is neither a log nor a leader.
//!
//! An update is agreed on in two phases, as in Paxos for a single value (Lamport, "Paxos Made Simple", 2001, section 2.2). In
//! the first, the proposer asks a quorum of the voting stores to promise that they accept nothing under a lower ballot, and
//! to tell what they hold. In the second it asks them to write a batch of items to disk. A batch that may have been chosen
//! becomes part of the next one. So the updates of two stores see each other, and two that are valid alone but not together
//! are never both acknowledged; no other order is established. Items merge by their own versions, and anti-entropy brings
//! those that a store has missed.
//!
//! All of it is a state machine without I/O or clock: [`Store::step`] takes an [`Input`] with the time, and returns each
//! [`Output`] that is to be carried out.
//!
//! - [`message`]: what stores send each other, ballots and memberships.
//! - [`proposer`], [`acceptor`]: the two roles that every store plays.
//! - [`quorum`]: how many votes are enough.
//! - [`persistent_state`]: what an acceptor keeps on disk.
//! - [`failure_detector`]: which stores are there, and who should vote in place of one that is not.
//! - [`store`]: all of it together, with the lease under which a replica counts as current.

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

/// Time in microseconds. Zero is an arbitrary moment, the same for all calls of one state machine.
pub type Micros = u64;
