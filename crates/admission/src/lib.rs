//! Distributed admission control: cluster-wide request quotas and retry budgets.
//!
//! One node at a time allocates the units of a tenant's quota and leases them to proxies for a limited time. A proxy spends one
//! unit for each request that it admits.
//!
//! - [`quota`]: the quota of a tenant, and for how long leased units may be spent.
//! - [`lease`]: the messages between proxies and the allocating node.
//! - [`lease_cache`]: the leases of one proxy, and its schedules of promised client returns (DSRT).
//! - [`fleet`]: the proxies that share the quotas, and the limit of what each may spend on its own.
//! - [`quota_allocator`]: the token bucket from which one tenant's units are leased.
//! - [`duty`]: which node allocates for which tenants, and how this ownership moves between nodes.
//! - [`retry_budget`]: how many requests may be retried on another server.

pub mod duty;
pub mod fleet;
pub mod lease;
pub mod lease_cache;
pub mod quota;
pub mod quota_allocator;
pub mod retry_budget;

pub use mountbend::interface::Micros;
