//! The program that keeps the gateway's configuration: one replica of a consensus group, stored in SQLite.
//!
//! - [`service`]: the state machine: [`pinerelay_consensus::Store`] and its connections to other processes.
//! - [`disk`]: the database that persists the store's state.
//! - [`run`]: the event loop that connects the state machine to links and disk.

pub mod disk;
pub mod run;
pub mod service;
