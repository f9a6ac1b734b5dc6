//! The registry: knows the servers and the nodes, tells the proxies, counts the tenants' quota units, and takes all calls from
//! outside.
//!
//! - [`registry`]: the state machine.
//! - [`control_call`]: the calls of servers and operators.
//! - [`call_counts`]: how they were answered.
//! - [`call_body`]: their bodies, within what the process may hold at once.
//! - [`run`]: joins the state machine to links and to the calls from outside.

pub mod call_body;
pub mod call_counts;
pub mod control_call;
pub mod registry;
pub mod run;
