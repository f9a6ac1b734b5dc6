//! The registry: hears the servers, tells the proxies what there is, and counts the tenants' units.
//!
//! [`registry::Registry`] is its state machine; [`run`] joins it to links and to the calls from outside.

pub mod bodies;
pub mod dispatch;
pub mod registry;
pub mod run;
