//! Links between the gateway's own processes.
//!
//! - [`message`]: what processes send each other.
//! - [`codec`]: how messages are framed, and the bounds on what is read.
//! - [`link`]: connections that are made anew as long as they are wanted.
//! - [`process_address`]: where processes are reached.
//! - [`query`]: one short connection to a process, which asks for its metrics.

pub mod codec;
pub mod link;
pub mod message;
pub mod process_address;
pub mod query;
