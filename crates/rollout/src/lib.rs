//! Progressive rollouts: a service's requests move in stages from the stable versions of its servers to a new one.
//!
//! Each proxy counts the outcomes of its requests for both sides and reports them to the registries. The registry that has the
//! duty for the service decides, and permits proxies for short periods to send a part of their requests to the new version.
//!
//! - [`report`]: the messages between proxies and registries.
//! - [`exposure`]: the limit of the requests that a proxy may send to the new version.
//! - [`evidence`]: the outcomes that all proxies have reported, and the comparison of the new version with the stable ones.
//! - [`decider`]: when a rollout advances to its next stage, and when it is reverted.

pub mod decider;
pub mod evidence;
pub mod exposure;
pub mod report;

/// A time in microseconds, by the clock of the process.
pub type Micros = u64;
