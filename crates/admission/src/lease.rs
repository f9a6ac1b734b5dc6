//! What proxies and the counting node send each other about leases of quota units. The order of variants and fields is part of
//! the encoding on the wire.

use bincode::{Decode, Encode};

use crate::Micros;

/// A proxy's request for units of one tenant.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct LeaseRequest {
    /// The tenant.
    pub tenant: String,
    /// Units that are wanted.
    pub wanted: f64,
    /// Units that are returned unspent, of a lease granted under `fencing_token`.
    pub returned: f64,
    /// The share of the rate that the proxy holds for the time when it reaches no count.
    pub held_share: f64,
    /// Units that it has spent of its share, in all.
    pub share_spent: f64,
    /// Units that it has spent of its share since its requests have failed.
    pub share_spent_lately: f64,
    /// Units of its share that are left now.
    pub share_left: f64,
    /// The fencing token of the last lease.
    pub fencing_token: u64,
}

impl LeaseRequest {
    /// Whether the proxy spends its share by now.
    pub fn is_on_share(&self) -> bool {
        self.share_left > 0.0 || self.share_spent_lately > 0.0
    }

    /// What the count needs of it.
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

/// What a proxy wants of one tenant's units, and how it has used its share.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Units that are wanted.
    pub wanted: f64,
    /// Units that are returned unspent.
    pub returned: f64,
    /// The share that the proxy holds by now: a later one has not arrived.
    pub held_share: f64,
    /// Units that it has spent of its share, in all.
    pub share_spent: f64,
    /// The part of that since its requests have failed.
    pub share_spent_lately: f64,
    /// Units of its share that are left now; 0 while its requests do not fail.
    pub share_left: f64,
}

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum LeaseGrant {
    /// Units are leased.
    Units {
        /// How many.
        units: f64,
        /// For how long they may be spent, from when they were requested.
        duration: Micros,
        /// The fencing token of the duty under which they were granted.
        fencing_token: u64,
        /// The share of the rate that the proxy may spend when it reaches no count.
        share: f64,
    },
    /// No unit is left.
    Exhausted {
        /// When one will be, from now.
        retry_after: Micros,
        /// As in [`LeaseGrant::Units`].
        share: f64,
    },
    /// This node does not count for the tenant.
    NotOwner,
}
