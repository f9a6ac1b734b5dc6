//! How a service's requests move to a new version of its servers.
//!
//! Each proxy counts what both versions did with its requests and reports that to the registries. The registry that has the
//! duty for the service decides, and permits proxies to send a part of their requests to the new version for a short time.
//!
//! - [`report`]: what proxies and registries send each other.
//! - [`exposure`]: how much of the requests a proxy may send to the new version.
//! - [`evidence`]: what all proxies have seen, and whether the new version is worse.
//! - [`decider`]: when a rollout goes on, and when it is reverted.

pub mod decider;
pub mod evidence;
pub mod exposure;
pub mod report;

/// A time in microseconds, by the clock of the process.
pub type Micros = u64;
