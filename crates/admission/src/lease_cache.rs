//! The quota units that are leased to one proxy, the client requests that wait for a lease, and the promised returns of rejected
//! clients.
//!
//! Admission follows DSRT ("Please come back later"): a request beyond the quota is rejected with the time after which to retry,
//! spaced past the latest promised one, as long as few enough promises are open. Otherwise it is rejected without a time. A client
//! that returns as promised is not deferred again.

use std::collections::BTreeMap;

use crate::fleet::Fleet;
use crate::lease::{LeaseGrant, LeaseRequest};
use crate::quota::Quota;
use crate::Micros;

mod counts;
mod tenant;
#[cfg(test)]
mod tests;

pub use counts::LeaseCounts;
use tenant::TenantCache;
pub use tenant::LEASE_REQUEST_TIMEOUT;

/// Identifies a client's request.
pub type RequestId = u64;

/// The outcome of admission for a client's request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Admitted; a unit was spent if the tenant has a quota.
    Admitted,
    /// Waits for a lease; a [`Decision`] follows unless the request is cancelled.
    Waiting,
    /// Rejected; the client is asked to come back after this many microseconds.
    Deferred(Micros),
    /// Rejected without a time, because it counts as a promised return or too many promised returns are open.
    Rejected,
}

/// The outcome of a client's request that has waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// The request.
    pub id: RequestId,
    /// Its outcome.
    pub admission: Admission,
}

/// Whether a node may be asked for leases now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Permission {
    /// It may be.
    Granted,
    /// Not before it has answered.
    Deferred,
    /// Not now, and it has not answered in time: its tenants' requests fail without being sent.
    Unanswered,
}

/// The numbers of rejected client requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RejectionCounts {
    /// All rejected requests.
    pub total: u64,
    /// Those rejected without an allocator's answer that no units are left: none came in time, or this proxy is cut off.
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

/// The leases of one proxy, for all tenants.
#[derive(Debug, Default)]
pub struct LeaseCache {
    tenants: BTreeMap<String, TenantCache>,
    /// The number of proxies that share the quotas' rates.
    proxies: usize,
    rejections: RejectionCounts,
    counts: LeaseCounts,
}

impl LeaseCache {
    /// Creates a cache without leases.
    pub fn new() -> LeaseCache {
        LeaseCache { proxies: 1, ..LeaseCache::default() }
    }

    /// Sets the number of proxies that share the quotas' rates, at least 1, and limits the shares that are held already.
    pub fn set_proxies(&mut self, proxies: usize) {
        self.proxies = proxies.max(1);
        let max_share = self.max_share();
        self.tenants.values_mut().for_each(|cache| cache.limit_share(max_share));
    }

    /// The limit of a share that this proxy holds.
    fn max_share(&self) -> f64 {
        Fleet::heard(self.proxies).max_share()
    }

    /// Records that a tenant's lease request could not be sent, because no node that owns the tenant is reachable.
    pub fn no_owner_reached(&mut self, now: Micros, tenant: &str) {
        if let Some(cache) = self.tenants.get_mut(tenant) {
            cache.request_failed(now);
        }
    }

    /// Admits, rejects or queues a client's request.
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
        if !cache.has_waiting() && cache.spend_share(now) {
            self.counts.share_units += 1;
            return Admission::Admitted;
        }
        if cache.is_exhausted(now) && !cache.is_cut_off(now) {
            self.rejections.add_exhausted();
            return cache.reject(now, self.proxies);
        }
        cache.wait(now, id);
        Admission::Waiting
    }

    /// Removes a waiting request that its client has cancelled.
    pub fn cancel(&mut self, tenant: &str, id: RequestId) {
        if let Some(cache) = self.tenants.get_mut(tenant) {
            cache.cancel(id);
        }
    }

    /// Returns the lease requests to send now, which also return unspent units.
    pub fn lease_requests(&mut self, now: Micros) -> Vec<LeaseRequest> {
        self.lease_requests_if(now, |_| Permission::Granted)
    }

    /// Returns the lease requests to send now, of the tenants whose allocating node may be asked now. The others stay due.
    pub fn lease_requests_if(
        &mut self,
        now: Micros,
        permission: impl Fn(&str) -> Permission,
    ) -> Vec<LeaseRequest> {
        let requests = self.tenants.iter_mut().filter_map(|(tenant, cache)| {
            if !cache.is_request_due(now) {
                return None;
            }
            match permission(tenant) {
                Permission::Granted => cache.lease_request(now, tenant),
                Permission::Deferred => None,
                Permission::Unanswered => {
                    cache.fail_without_request(now);
                    None
                }
            }
        });
        let requests: Vec<LeaseRequest> = requests.collect();
        self.counts.requests += requests.iter().filter(|request| request.wanted >= 1.0).count() as u64;
        requests
    }

    /// Handles the answer to the lease request that was sent at `sent_at`, and returns the decisions on waiting client requests.
    ///
    /// The lease request may have been repeated since. If the lease counted from the repetition, units in a delayed answer could be
    /// spent long after they were allocated.
    pub fn granted(
        &mut self,
        now: Micros,
        sent_at: Micros,
        tenant: &str,
        grant: LeaseGrant,
    ) -> Vec<Decision> {
        let max_share = self.max_share();
        let Some(cache) = self.tenants.get_mut(tenant) else { return Vec::new() };
        self.counts.add_answer(now, sent_at, &grant);
        if !cache.take_grant(now, sent_at, grant, max_share) {
            return Vec::new();
        }
        let mut decisions = cache.admit_waiting(now);
        if cache.has_waiting() {
            // Fewer units were granted than requested.
            cache.mark_exhausted(now);
            for id in cache.take_waiting() {
                self.rejections.add_exhausted();
                decisions.push(Decision { id, admission: cache.reject(now, self.proxies) });
            }
        }
        decisions
    }

    /// Handles the passing of time: gives up unanswered lease requests so that they are repeated, rejects client requests that have
    /// waited too long, and returns units that are about to expire.
    pub fn tick(&mut self, now: Micros) -> Vec<Decision> {
        let mut decisions = Vec::new();
        for cache in self.tenants.values_mut() {
            cache.expire_request(now);
            while let Some(id) = cache.first_waiting() {
                let admission = if cache.spend_share(now) {
                    self.counts.share_units += 1;
                    Admission::Admitted
                } else if cache.has_waited_too_long(now) {
                    self.rejections.add_unanswered();
                    self.counts.rejected_cut_off += u64::from(cache.is_cut_off(now));
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

    /// The numbers of client requests rejected so far.
    pub fn rejections(&self) -> RejectionCounts {
        self.rejections
    }

    /// The counts of lease requests and their answers.
    pub fn counts(&self) -> LeaseCounts {
        self.counts
    }

    /// The number of tenants that clients have asked for.
    pub fn tenants(&self) -> usize {
        self.tenants.len()
    }

    /// The number of tenants whose lease requests have failed for so long that the proxy lives on its share.
    pub fn tenants_cut_off(&self, now: Micros) -> usize {
        self.tenants.values().filter(|cache| cache.is_cut_off(now)).count()
    }

    /// The number of waiting client requests.
    pub fn waiting(&self) -> usize {
        self.tenants.values().map(TenantCache::waiting).sum()
    }
}
