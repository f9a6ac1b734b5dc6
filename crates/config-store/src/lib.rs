//! The store of the configuration as a program.
//!
//! - [`service`]: the state machine: [`pinerelay_consensus::Store`] with the processes that it is linked to.
//! - [`disk`]: the database in which the store's state outlives its process.
//! - [`run`]: joins the state machine to links and disk.

pub mod disk;
pub mod run;
pub mod service;
