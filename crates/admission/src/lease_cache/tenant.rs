//! The leases of one tenant at one proxy: units, the requests that wait for them, and the share for the time when no count is
//! reached.

use std::collections::VecDeque;

use mountbend::measure::{lot, Bucket, Rate};
use mountbend::schedule::Schedule;

use super::{Admission, Decision, RequestId};
use crate::lease::{LeaseGrant, LeaseRequest};
use crate::quota::Quota;
use crate::quota_allocator::{max_share_balance, IDLE_TIMEOUT, SHARE_LIFETIME};
use crate::Micros;

/// Microseconds over which demand and admissions are smoothed.
const RATE_WINDOW: f64 = 1.0e6;
/// Units are requested for the demand of this time, in microseconds.
const LEASE_AHEAD: f64 = 0.3e6;
/// Or of this part of a lease's duration, if that is shorter.
const LEASE_AHEAD_OF_DURATION: f64 = 0.5;
/// A request that comes so long after a promised time counts as that return.
const RETURN_WINDOW: Micros = 50_000;
/// A lease request without an answer by then is repeated, maybe to another node.
const LEASE_REQUEST_TIMEOUT: Micros = 120_000;
/// A client's request that has waited for longer is rejected.
pub(super) const WAIT_TIMEOUT: Micros = 300_000;
/// After it was told that no unit is left, a proxy asks again no sooner.
const EXHAUSTED_BACKOFF: Micros = 25_000;
/// A proxy whose requests fail asks with its clients' requests, and without them once in this time or a quarter less. All
/// proxies fail at once when nobody counts, for all tenants: their requests must not keep the counts from coming back.
const PROBE_INTERVAL: Micros = 5_000_000;
/// The part of that by which probes are spread.
const PROBE_SPREAD: f64 = 0.25;
/// How often the pause after a failed request is doubled, before the proxy is cut off.
const MAX_DOUBLINGS: u32 = 3;
/// A proxy whose requests have failed for so long is cut off, and spends the share that it was granted last, from its first
/// failed request on. The count reserves that share from when it last heard the proxy, which is no later, or the proxy reports
/// what it has spent.
const CUT_OFF_AFTER: Micros = 250_000;
/// Clocks differ in pace: a share is not spent that the count may have granted to others by now.
const SHARE_CLOCK_MARGIN: Micros = 1_000_000;
/// A share that was granted longer ago is not begun to be spent.
const SHARE_START_LIMIT: Micros = IDLE_TIMEOUT - SHARE_CLOCK_MARGIN;
/// A share that was granted longer ago is not spent any more.
const SHARE_END_LIMIT: Micros = SHARE_LIFETIME - SHARE_CLOCK_MARGIN;
/// Units that would expire unspent within this time are returned.
const RETURN_AHEAD: Micros = 60_000;
/// Keeps divisions by a rate finite.
const MIN_RATE: f64 = 1e-9;
/// No spacing of promised returns is longer than that of this rate.
const MIN_RETURN_RATE: f64 = 1e-3;

/// Leased units.
#[derive(Debug, Clone, Copy)]
struct Lease {
    expires_at: Micros,
    units: f64,
}

/// A client's request that waits for a unit.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    id: RequestId,
    since: Micros,
}

/// What a proxy holds of one tenant's units.
#[derive(Debug, Default)]
pub(super) struct TenantCache {
    quota: Quota,
    /// In the order in which they expire.
    leases: VecDeque<Lease>,
    /// How long leases last, as the count said last.
    lease_duration: Micros,
    fencing_token: u64,
    /// Units to return.
    returned: f64,
    /// Since when a lease request has been open.
    requested_at: Option<Micros>,
    waiting: VecDeque<Waiting>,
    /// No lease is requested before this.
    backoff_until: Micros,
    /// No unit is left at the count until then.
    exhausted_until: Micros,
    demand: Rate,
    admitted: Rate,
    /// Promised returns.
    schedule: Schedule,
    /// The share of the rate to spend when no count is reached.
    share: f64,
    /// When the request was made with which the share was granted.
    share_asked_at: Micros,
    /// Since when lease requests have failed.
    failing_since: Option<Micros>,
    /// How many have failed in a row.
    failures: u32,
    /// Whether a client's request has come since a lease was requested last.
    has_new_arrival: bool,
    /// Whether the count was asked, and told what is left, since the share has been spent.
    has_reported_share: bool,
    /// When the count is asked without a client's request.
    probe_at: Micros,
    /// What is there of the share meanwhile.
    share_bucket: Option<Bucket>,
    /// Units that were spent of the share, in all.
    share_spent: f64,
    /// Units that were spent of the share since lease requests have failed.
    share_spent_lately: f64,
}

impl TenantCache {
    /// Counts a client's request, and notes the quota in force.
    pub(super) fn count_arrival(&mut self, now: Micros, quota: Quota) {
        self.quota = quota;
        self.has_new_arrival = true;
        self.demand.add(now, 1.0, RATE_WINDOW);
    }

    /// Units that can be spent now.
    fn units(&mut self, now: Micros) -> f64 {
        while self.leases.front().is_some_and(|lease| lease.expires_at <= now) {
            self.leases.pop_front();
        }
        self.leases.iter().map(|lease| lease.units).sum()
    }

    /// Spends one leased unit, if there is one.
    #[must_use]
    pub(super) fn spend(&mut self, now: Micros) -> bool {
        if self.units(now) < 1.0 {
            return false;
        }
        let Some(lease) = self.leases.front_mut() else { return false };
        lease.units -= 1.0;
        if lease.units < 1.0 {
            self.leases.pop_front();
        }
        self.admitted.add(now, 1.0, RATE_WINDOW);
        true
    }

    /// Whether lease requests have failed for so long that the share is spent.
    pub(super) fn is_cut_off(&self, now: Micros) -> bool {
        self.failing_since.is_some_and(|since| now >= since + CUT_OFF_AFTER)
    }

    /// Whether the count has said that no unit is left.
    pub(super) fn is_exhausted(&self, now: Micros) -> bool {
        now < self.exhausted_until
    }

    /// Notes that fewer units were granted than were requested.
    pub(super) fn mark_exhausted(&mut self, now: Micros) {
        self.exhausted_until = self.exhausted_until.max(now + EXHAUSTED_BACKOFF);
    }

    /// Units of the share that are left, if the proxy is cut off and the share is still valid.
    fn share_left(&mut self, now: Micros) -> f64 {
        let Some(since) = self.failing_since.filter(|_| self.is_cut_off(now)) else { return 0.0 };
        let is_stale = since >= self.share_asked_at + SHARE_START_LIMIT;
        if is_stale || now >= self.share_asked_at + SHARE_END_LIMIT {
            return 0.0;
        }
        let bucket = self.share_bucket.get_or_insert(Bucket { store: 0.0, at: since });
        bucket.refill(now, self.quota.rate * self.share, max_share_balance(self.quota, self.share));
        bucket.store
    }

    /// Spends one unit of the share, if the proxy is cut off and one is left.
    #[must_use]
    pub(super) fn spend_share(&mut self, now: Micros) -> bool {
        if self.share_left(now) < 1.0 {
            return false;
        }
        let Some(bucket) = &mut self.share_bucket else { return false };
        bucket.store -= 1.0;
        self.share_spent += 1.0;
        self.share_spent_lately += 1.0;
        self.admitted.add(now, 1.0, RATE_WINDOW);
        true
    }

    /// A count has answered. The share counts from when it was requested: by then the count had not granted it to others.
    fn set_share(&mut self, asked_at: Micros, share: f64) {
        (self.failing_since, self.failures, self.has_reported_share) = (None, 0, false);
        (self.share_bucket, self.share_spent_lately) = (None, 0.0);
        (self.share, self.share_asked_at) = (share, asked_at);
    }

    /// Rejects a request: with a time to come back, spaced past the latest that was promised, while few enough are open. A
    /// promised return is not deferred again.
    pub(super) fn reject(&mut self, now: Micros, proxies: usize) -> Admission {
        if self.schedule.returns(now, RETURN_WINDOW) {
            return Admission::Rejected;
        }
        let even_rate = self.quota.rate / proxies.max(1) as f64;
        let rate = self.admitted.get(now, RATE_WINDOW).max(even_rate).max(MIN_RETURN_RATE);
        let spacing = 1e6 / rate;
        let burst_duration = self.quota.burst / self.quota.rate.max(MIN_RATE) * 1e6;
        let promised = self.schedule.promise(now, spacing, burst_duration);
        promised.map_or(Admission::Rejected, Admission::Deferred)
    }

    /// Units that it should hold.
    fn target_units(&self, now: Micros) -> f64 {
        let of_duration = match self.lease_duration {
            0 => LEASE_AHEAD,
            duration => duration as f64 * LEASE_AHEAD_OF_DURATION,
        };
        self.demand.get(now, RATE_WINDOW) * of_duration.min(LEASE_AHEAD) / 1e6
    }

    /// Units to request now.
    fn wanted_units(&mut self, now: Micros) -> f64 {
        if self.requested_at.is_some() || now < self.backoff_until || now < self.exhausted_until {
            return 0.0;
        }
        let (units, target) = (self.units(now), self.target_units(now));
        // A proxy whose requests have failed goes on to ask; otherwise it would spend its share for good.
        let least = if self.is_probe_due(now) { 1.0 } else { 0.0 };
        let waiting = (self.waiting.len() as f64).max(least);
        if waiting == 0.0 && units >= target / 2.0 {
            return 0.0;
        }
        // Where each proxy sees little of a tenant, one unit more than needed at each would be more than there is.
        (waiting + (target - units).round().max(0.0)).max(0.0)
    }

    /// Whether a proxy whose requests have failed asks again, also for no request that waits. What it spends of its share is
    /// reported with the request that follows; how the rest grows the count knows by itself once it has been told of it.
    fn is_probe_due(&self, now: Micros) -> bool {
        let is_unreported = self.is_cut_off(now) && !self.has_reported_share;
        self.failing_since.is_some() && (self.has_new_arrival || is_unreported || now >= self.probe_at)
    }

    fn schedule_probe(&mut self, now: Micros) {
        let mut seed = now;
        let spread = lot(&mut seed) * PROBE_SPREAD;
        self.probe_at = now + (PROBE_INTERVAL as f64 * (1.0 - spread)) as Micros;
    }

    /// The lease request to send now, if any.
    pub(super) fn lease_request(&mut self, now: Micros, tenant: &str) -> Option<LeaseRequest> {
        let wanted = self.wanted_units(now);
        if wanted < 1.0 && self.returned < 1.0 {
            return None;
        }
        if wanted >= 1.0 {
            self.requested_at = Some(now);
            self.has_new_arrival = false;
            self.has_reported_share = self.is_cut_off(now);
            self.schedule_probe(now);
        }
        Some(LeaseRequest {
            tenant: tenant.into(),
            wanted: wanted.max(0.0),
            returned: std::mem::take(&mut self.returned),
            held_share: self.share,
            share_spent: self.share_spent,
            share_spent_lately: self.share_spent_lately,
            share_left: self.share_left(now),
            fencing_token: self.fencing_token,
        })
    }

    /// A lease request has reached nobody, or nobody who counts for the tenant.
    pub(super) fn request_failed(&mut self, now: Micros) {
        self.requested_at = None;
        self.failed(now);
    }

    /// A lease request has failed.
    fn failed(&mut self, now: Micros) {
        self.failing_since.get_or_insert(now);
        // What is spent of the share is reported without delay.
        let doublings = if self.is_cut_off(now) { 0 } else { self.failures.min(MAX_DOUBLINGS) };
        self.backoff_until = now + (EXHAUSTED_BACKOFF << doublings);
        self.failures += 1;
    }

    /// Takes the answer to a lease request; returns whether a count has given it.
    pub(super) fn take_grant(&mut self, now: Micros, asked_at: Micros, grant: LeaseGrant) -> bool {
        if self.requested_at.is_some_and(|last| last <= asked_at) {
            self.requested_at = None;
        }
        match grant {
            LeaseGrant::Units { units, duration, fencing_token, share } => {
                // The lease counts from when it was requested: what the transit took is the proxy's loss.
                let expires_at = asked_at.saturating_add(duration);
                if expires_at > now && units >= 1.0 {
                    self.leases.push_back(Lease { expires_at, units });
                }
                self.lease_duration = duration;
                if self.fencing_token != fencing_token {
                    (self.fencing_token, self.returned) = (fencing_token, 0.0);
                }
                self.set_share(asked_at, share);
                true
            }
            LeaseGrant::Exhausted { retry_after, share } => {
                self.exhausted_until = now.saturating_add(retry_after.max(EXHAUSTED_BACKOFF));
                self.set_share(asked_at, share);
                true
            }
            LeaseGrant::NotOwner => {
                self.failed(now);
                false
            }
        }
    }

    /// Lets a client's request wait.
    pub(super) fn wait(&mut self, now: Micros, id: RequestId) {
        self.waiting.push_back(Waiting { id, since: now });
    }

    /// Whether any request waits.
    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The number of requests that wait.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The request that has waited longest.
    pub(super) fn first_waiting(&self) -> Option<RequestId> {
        self.waiting.front().map(|waiting| waiting.id)
    }

    /// Removes the request that has waited longest.
    pub(super) fn remove_first_waiting(&mut self) {
        self.waiting.pop_front();
    }

    /// Removes a request.
    pub(super) fn cancel(&mut self, id: RequestId) {
        self.waiting.retain(|waiting| waiting.id != id);
    }

    /// Removes all requests that wait.
    pub(super) fn take_waiting(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting).into_iter().map(|waiting| waiting.id).collect()
    }

    /// Admits requests that wait, as far as there are units.
    pub(super) fn admit_waiting(&mut self, now: Micros) -> Vec<Decision> {
        let mut decisions = Vec::new();
        while let Some(id) = self.first_waiting() {
            if !self.spend(now) {
                break;
            }
            self.remove_first_waiting();
            decisions.push(Decision { id, admission: Admission::Admitted });
        }
        decisions
    }

    /// Whether the request that has waited longest is to be rejected.
    pub(super) fn has_waited_too_long(&self, now: Micros) -> bool {
        let is_late = self.waiting.front().is_some_and(|waiting| now >= waiting.since + WAIT_TIMEOUT);
        is_late || self.share_bucket.is_some()
    }

    /// Gives up a lease request without an answer, so that it is repeated.
    pub(super) fn expire_request(&mut self, now: Micros) {
        if let Some(asked_at) = self.requested_at.filter(|asked_at| now >= asked_at + LEASE_REQUEST_TIMEOUT) {
            self.requested_at = None;
            self.failing_since.get_or_insert(asked_at);
        }
    }

    /// Returns units that are about to expire and that the demand until then will not need.
    pub(super) fn return_expiring(&mut self, now: Micros) {
        while self.leases.front().is_some_and(|lease| lease.expires_at <= now + RETURN_AHEAD) {
            let Some(lease) = self.leases.pop_front().filter(|lease| lease.expires_at > now) else {
                continue;
            };
            let needed = self.demand.get(now, RATE_WINDOW) * RETURN_AHEAD as f64 / 1e6;
            let spare = (lease.units - needed).round().min(lease.units.floor()).max(0.0);
            self.returned += spare;
            let units = lease.units - spare;
            if units >= 1.0 {
                self.leases.push_front(Lease { units, ..lease });
                break;
            }
        }
    }
}
