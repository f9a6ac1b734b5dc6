//! Admission: quotas that hold over all nodes together, and the budget of retries.
//!
//! Units of a tenant's quota are counted by one node, and leased to proxies for a limited time. A proxy spends a unit for each
//! request that it admits.
//!
//! - [`quota`]: what a quota allows, and how long a lease may be spent.
//! - [`lease`]: what proxies and the counting node send each other.
//! - [`lease_cache`]: the leases that one proxy holds, and its schedules of promised returns (DSRT).
//! - [`quota_allocator`]: the count of one tenant's units.
//! - [`duty`]: which node counts for which tenants, and how that duty changes hands.
//! - [`retry_budget`]: how many requests may be sent to a second server.

pub mod duty;
pub mod lease;
pub mod lease_cache;
pub mod quota;
pub mod quota_allocator;
pub mod retry_budget;

pub use mountbend::interface::Micros;
