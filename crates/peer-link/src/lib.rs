//! Links: TCP connections between the gateway's own processes.
//!
//! - [`message`]: the messages.
//! - [`codec`]: framing and encoding of messages, with limits on length and memory.
//! - [`link`]: long-lived connections that are re-established after a failure.
//! - [`process_address`]: the addresses of processes.
//! - [`query`]: a single request for the metrics of a process on a connection of its own.

mod backoff;
pub mod codec;
pub mod event_order;
pub mod link;
pub mod message;
pub mod process_address;
pub mod query;
