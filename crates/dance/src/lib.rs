//! How the stores agree on what operators write. Any store takes a write; there is no log and no leader.
//!
//! A write is put to a majority of the voting stores in two turns, as in Paxos for a single value (Lamport, "Paxos Made
//! Simple", 2001): the first asks each for what it holds and for the promise to take nothing older, the second puts the
//! items there, on disk. What was put and may have been agreed on goes into the next write. So the writes of two stores
//! see each other, and two that fit alone and not together cannot both be acknowledged; nothing else is put in an order.
//! Items merge by their own versions, and a store that missed some is mended by digests.

pub mod caller;
pub mod presence;
pub mod range;
pub mod store;
pub mod voter;
pub mod word;

pub use store::{Input, Output, Reply, Request, Store};
pub use word::{Ballot, Batch, Member, Membership, Word};
