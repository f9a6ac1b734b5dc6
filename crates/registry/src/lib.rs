//! The registry: tracks servers by their heartbeats, replicates updates to the proxies, leases quota units of tenants to them,
//! runs rollouts, and serves the control calls of servers and operators.
//!
//! - [`registry`]: the state machine.
//! - [`control_call`]: parses control calls.
//! - [`call_counts`]: counts the answers by HTTP status.
//! - [`call_body`]: reads request bodies within a memory limit.
//! - [`run`]: connects the state machine to peer links and the HTTP listener.

pub mod call_body;
pub mod call_counts;
pub mod control_call;
pub mod registry;
pub mod run;
