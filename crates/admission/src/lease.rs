//! Messages between proxies and the allocating node about leases of quota units. The order of variants and fields is part of the
//! wire encoding.

use bincode::{Decode, Encode};

use crate::Micros;

/// A proxy's request to lease or return units of one tenant's quota.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct LeaseRequest {
    /// The tenant.
    pub tenant: String,
    /// The number of units to lease.
    pub wanted: f64,
    /// The number of unspent units that are returned, from leases granted under `fencing_token`.
    pub returned: f64,
    /// The share of the quota's rate that the proxy holds as a fallback for when it reaches no allocating node.
    pub held_share: f64,
    /// The number of units of its share that the process has spent in total.
    pub share_spent: f64,
    /// The number of units of its share that it has spent since its lease requests began to fail.
    pub share_spent_lately: f64,
    /// The number of units of its share that are left now; 0 unless it is cut off.
    pub share_left: f64,
    /// The fencing token of the last lease that the proxy was granted.
    pub fencing_token: u64,
}

impl LeaseRequest {
    /// Whether the proxy is spending its share, because its lease requests have failed.
    pub fn is_spending_share(&self) -> bool {
        self.share_left > 0.0 || self.share_spent_lately > 0.0
    }

    /// The part of the request that the allocator needs.
    pub fn usage(&self) -> Usage {
        Usage {
            wanted: self.wanted,
            returned: self.returned,
            held_share: self.held_share,
            share_spent: self.share_spent,
            share_spent_lately: self.share_spent_lately,
            share_left: self.share_left,
        }
    }
}

/// The units that a proxy requests of one tenant, and its use of its share.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// The number of units to lease.
    pub wanted: f64,
    /// The number of units that are returned unspent.
    pub returned: f64,
    /// The share that the proxy holds. A share that was granted later has not reached it.
    pub held_share: f64,
    /// The number of units of its share that it has spent in total.
    pub share_spent: f64,
    /// The part of `share_spent` since its lease requests began to fail.
    pub share_spent_lately: f64,
    /// The number of units of its share that are left now; 0 while its lease requests succeed.
    pub share_left: f64,
}

/// The answer to a lease request.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum LeaseGrant {
    /// Units are leased.
    Units {
        /// The number of leased units.
        units: f64,
        /// For how long the units may be spent, counted from when they were requested.
        duration: Micros,
        /// The fencing token of the duty under which the units were granted.
        fencing_token: u64,
        /// The share of the quota's rate that the proxy may spend when it reaches no allocating node.
        share: f64,
    },
    /// No units are left.
    Exhausted {
        /// The time until a unit is available.
        retry_after: Micros,
        /// As in [`LeaseGrant::Units`].
        share: f64,
    },
    /// The answering node does not allocate for the tenant.
    NotOwner,
}
