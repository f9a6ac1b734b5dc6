//! The leases of quota units that one proxy holds, the requests that wait for one, and the promised returns.
//!
//! Admission follows DSRT ("Please come back later"): beyond quota, a request is rejected with a time at which to come back,
//! spaced past the latest that was promised, while few enough promises are open; otherwise it is rejected without a time. A
//! promised return is not deferred twice.

use std::collections::BTreeMap;

use crate::lease::{LeaseGrant, LeaseRequest};
use crate::quota::Quota;
use crate::Micros;

mod tenant;
#[cfg(test)]
mod tests;

use tenant::TenantCache;

/// Identifies a client's request.
pub type RequestId = u64;

/// What happens to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Admitted: it has taken its unit.
    Admitted,
    /// It waits for a lease that has been requested.
    Waiting,
    /// Rejected, and to come back after this time, in microseconds.
    Deferred(Micros),
    /// Rejected without a time: it has come back as promised, or enough others have been promised a return.
    Rejected,
}

/// A request that does not wait any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub id: RequestId,
    /// What happens to it.
    pub admission: Admission,
}

/// Requests that were rejected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// All of them.
    pub total: u64,
    /// Those for which no count had said that no unit is left: no answer came in time, or this proxy is cut off.
    pub unanswered: u64,
}

impl RejectionCounts {
    fn add_exhausted(&mut self) {
        self.total += 1;
    }

    fn add_unanswered(&mut self) {
        self.total += 1;
        self.unanswered += 1;
    }
}

/// The leases of all tenants at one proxy.
#[derive(Debug, Default)]
pub struct LeaseCache {
    tenants: BTreeMap<String, TenantCache>,
    /// The number of proxies that share the rates, as the counts report.
    proxies: usize,
    rejections: RejectionCounts,
}

impl LeaseCache {
    /// A cache without leases.
    pub fn new() -> LeaseCache {
        LeaseCache { proxies: 1, ..LeaseCache::default() }
    }

    /// Sets the number of proxies that share the rates.
    pub fn set_proxies(&mut self, proxies: usize) {
        self.proxies = proxies.max(1);
    }

    /// Nobody is there that a lease for this tenant could be requested from.
    pub fn no_owner_reached(&mut self, now: Micros, tenant: &str) {
        if let Some(cache) = self.tenants.get_mut(tenant) {
            cache.request_failed(now);
        }
    }

    /// A request of a tenant has come.
    pub fn admit(&mut self, now: Micros, tenant: &str, quota: Quota, id: RequestId) -> Admission {
        if quota.rate <= 0.0 {
            return Admission::Admitted;
        }
        if !self.tenants.contains_key(tenant) {
            self.tenants.insert(tenant.into(), TenantCache::default());
        }
        let Some(cache) = self.tenants.get_mut(tenant) else { return Admission::Rejected };
        cache.count_arrival(now, quota);
        if !cache.has_waiting() && cache.spend(now) {
            return Admission::Admitted;
        }
        if cache.is_cut_off(now) {
            if cache.spend_share(now) {
                return Admission::Admitted;
            }
            self.rejections.add_unanswered();
            return cache.reject(now, self.proxies);
        }
        if cache.is_exhausted(now) {
            self.rejections.add_exhausted();
            return cache.reject(now, self.proxies);
        }
        cache.wait(now, id);
        Admission::Waiting
    }

    /// A waiting request has been given up by its client.
    pub fn cancel(&mut self, tenant: &str, id: RequestId) {
        if let Some(cache) = self.tenants.get_mut(tenant) {
            cache.cancel(id);
        }
    }

    /// The leases to request now, and the units to return.
    pub fn lease_requests(&mut self, now: Micros) -> Vec<LeaseRequest> {
        let tenants = self.tenants.iter_mut();
        tenants.filter_map(|(tenant, cache)| cache.lease_request(now, tenant)).collect()
    }

    /// A request that was made at `asked_at` has been answered. Returns what happens to the client requests that waited.
    ///
    /// The answer may be to a request that has been repeated since. If its lease were counted from the later one, units that a
    /// link had held up could be spent long after they were counted.
    pub fn granted(
        &mut self,
        now: Micros,
        asked_at: Micros,
        tenant: &str,
        grant: LeaseGrant,
    ) -> Vec<Decision> {
        let Some(cache) = self.tenants.get_mut(tenant) else { return Vec::new() };
        if !cache.take_grant(now, asked_at, grant) {
            return Vec::new();
        }
        let mut decisions = cache.admit_waiting(now);
        if cache.has_waiting() {
            // Fewer units were there than were requested.
            cache.mark_exhausted(now);
            for id in cache.take_waiting() {
                self.rejections.add_exhausted();
                decisions.push(Decision { id, admission: cache.reject(now, self.proxies) });
            }
        }
        decisions
    }

    /// Time has passed: requests without an answer are repeated, and what has waited for too long is rejected.
    pub fn tick(&mut self, now: Micros) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for cache in self.tenants.values_mut() {
            cache.expire_request(now);
            while let Some(id) = cache.first_waiting() {
                let admission = if cache.spend_share(now) {
                    Admission::Admitted
                } else if cache.has_waited_too_long(now) {
                    self.rejections.add_unanswered();
                    cache.reject(now, self.proxies)
                } else {
                    break;
                };
                decisions.push(Decision { id, admission });
                cache.remove_first_waiting();
            }
            cache.return_expiring(now);
        }
        decisions
    }

    /// The requests that were rejected so far.
    pub fn rejections(&self) -> RejectionCounts {
        self.rejections
    }

    /// The number of requests that wait.
    pub fn waiting(&self) -> usize {
        self.tenants.values().map(TenantCache::waiting).sum()
    }
}
