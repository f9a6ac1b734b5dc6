//! The state of one tenant at one proxy: leased units, the client requests that wait for them, and the fallback share of the rate
//! for when no allocating node is reachable.

use std::collections::VecDeque;

use mountbend::measure::{uniform, Bucket, Rate};
use mountbend::schedule::Schedule;

use super::{Admission, Decision, RequestId};
use crate::lease::{LeaseGrant, LeaseRequest};
use crate::quota::Quota;
use crate::quota_allocator::{max_share_balance, IDLE_TIMEOUT, SHARE_LIFETIME};
use crate::Micros;

/// The time constant of the rates of demand and admissions, in microseconds.
const RATE_WINDOW: f64 = 1.0e6;
/// Units are requested to cover the demand of this period, in microseconds.
const LEASE_LOOKAHEAD: f64 = 0.3e6;
/// The period is limited to this fraction of a lease's duration.
const MAX_LOOKAHEAD_FRACTION: f64 = 0.5;
/// A request that arrives up to this long after a promised time counts as that client's return.
const CLIENT_RETURN_WINDOW: Micros = 50_000;
/// An unanswered lease request is repeated after this time, possibly to another node.
pub const LEASE_REQUEST_TIMEOUT: Micros = 120_000;
/// A client's request is rejected when it has waited this long.
pub(super) const WAIT_TIMEOUT: Micros = 300_000;
/// A proxy that is cut off rejects a client's request after this shorter time: the allocator may be back, and answers within it.
pub(super) const CUT_OFF_WAIT_TIMEOUT: Micros = 100_000;
/// The minimum pause before the next lease request, after one that failed or found no units left.
const MIN_BACKOFF: Micros = 25_000;
/// The maximum pause after a lease request that found no units left: the allocator may have got more than it expected, or the
/// duty another owner.
const MAX_EXHAUSTED_PAUSE: Micros = 500_000;
/// A proxy whose lease requests fail repeats them when clients' requests arrive, and otherwise at this interval or up to a quarter
/// less. When no node allocates, the requests of all proxies fail at once, for all tenants, and the load of the repetitions must
/// not keep the allocators from recovering.
const PROBE_INTERVAL: Micros = 5_000_000;
/// The fraction of the interval by which probes are randomly brought forward.
const PROBE_SPREAD: f64 = 0.25;
/// The pause after a failed lease request of a proxy that is cut off: a client's request leads to two lease requests
/// within [`CUT_OFF_WAIT_TIMEOUT`], each to the next candidate.
const CUT_OFF_BACKOFF: Micros = 60_000;
/// How often the pause after failed lease requests is doubled at most, before the proxy is cut off.
const MAX_DOUBLINGS: u32 = 3;
/// A proxy whose lease requests have failed for this long is cut off. It spends the share that it was granted last, which accrues
/// from its first failed request on. The allocator reserves that share from when the proxy was last reachable, which is no later,
/// or else the proxy reports the units that it has spent.
const CUT_OFF_AFTER: Micros = 250_000;
/// Safety margin for clocks that run at different rates, so that no share is spent that the allocator may have granted to others.
const SHARE_CLOCK_MARGIN: Micros = 1_000_000;
/// A proxy does not begin to spend a share that was requested longer ago than this.
const MAX_SHARE_AGE_AT_START: Micros = IDLE_TIMEOUT - SHARE_CLOCK_MARGIN;
/// A proxy stops spending a share that was requested longer ago than this.
const MAX_SHARE_AGE: Micros = SHARE_LIFETIME - SHARE_CLOCK_MARGIN;
/// Units that would expire unspent within this time are returned to the allocator.
const UNIT_RETURN_AHEAD: Micros = 60_000;
/// Lower limit of a rate in divisions, which keeps the result finite.
const MIN_RATE: f64 = 1e-9;
/// Lower limit of the rate, per second, at which clients are asked to return.
const MIN_CLIENT_RETURN_RATE: f64 = 1e-3;

/// Units that were leased together.
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

/// One tenant's units, waiting client requests and promised returns at one proxy.
#[derive(Debug, Default)]
pub(super) struct TenantCache {
    quota: Quota,
    /// The leases, in order of expiry.
    leases: VecDeque<Lease>,
    /// The lease duration in the last grant; 0 before the first one.
    lease_duration: Micros,
    fencing_token: u64,
    /// Unspent units to return with the next lease request.
    returned: f64,
    /// When the outstanding lease request was sent.
    requested_at: Option<Micros>,
    waiting: VecDeque<Waiting>,
    /// No lease is requested before this time.
    backoff_until: Micros,
    /// The allocator has no units left until this time.
    exhausted_until: Micros,
    demand: Rate,
    admitted: Rate,
    /// The promised returns of rejected clients.
    schedule: Schedule,
    /// The share of the quota's rate to spend while the proxy is cut off.
    share: f64,
    /// When the lease request was sent whose answer granted the share.
    share_requested_at: Micros,
    /// Since when lease requests have failed.
    failing_since: Option<Micros>,
    /// The number of lease requests that have failed in a row.
    failures: u32,
    /// Whether a client's request has arrived since the last lease request.
    has_new_arrival: bool,
    /// Whether a lease request has been sent since the proxy was cut off, and so has reported what is left of the share.
    has_reported_share: bool,
    /// When the next lease request is due without a client's request.
    probe_at: Micros,
    /// The units accumulated from the share, once it has been used as a fallback.
    share_bucket: Option<Bucket>,
    /// The total of units spent from the share.
    share_spent: f64,
    /// The units spent from the share since lease requests began to fail.
    share_spent_lately: f64,
}

impl TenantCache {
    /// Counts a client's request, and stores the quota in force.
    pub(super) fn count_arrival(&mut self, now: Micros, quota: Quota) {
        self.quota = quota;
        self.has_new_arrival = true;
        self.demand.add(now, 1.0, RATE_WINDOW);
    }

    /// Drops expired leases, and returns the number of units left.
    fn units(&mut self, now: Micros) -> f64 {
        while self.leases.front().is_some_and(|lease| lease.expires_at <= now) {
            self.leases.pop_front();
        }
        self.leases.iter().map(|lease| lease.units).sum()
    }

    /// Spends one leased unit; returns `false` if there is none.
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

    /// Whether lease requests have failed for so long that the proxy falls back to its share.
    pub(super) fn is_cut_off(&self, now: Micros) -> bool {
        self.failing_since.is_some_and(|since| now >= since + CUT_OFF_AFTER)
    }

    /// Whether the allocator has reported that no units are left.
    pub(super) fn is_exhausted(&self, now: Micros) -> bool {
        now < self.exhausted_until
    }

    /// Records that fewer units were granted than requested.
    pub(super) fn mark_exhausted(&mut self, now: Micros) {
        self.exhausted_until = self.exhausted_until.max(now + MIN_BACKOFF);
    }

    /// The units of the share that are left; 0 unless the proxy is cut off and the share is still valid.
    fn share_left(&mut self, now: Micros) -> f64 {
        let Some(since) = self.failing_since.filter(|_| self.is_cut_off(now)) else { return 0.0 };
        let is_stale = since >= self.share_requested_at + MAX_SHARE_AGE_AT_START;
        if is_stale || now >= self.share_requested_at + MAX_SHARE_AGE {
            return 0.0;
        }
        let bucket = self.share_bucket.get_or_insert(Bucket { store: 0.0, at: since });
        bucket.refill(now, self.quota.rate * self.share, max_share_balance(self.quota, self.share));
        bucket.store
    }

    /// Spends one unit of the share; returns `false` if the proxy is not cut off or no unit is left.
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

    /// Ends the fallback after an allocator's answer, and stores the granted share. The share's age counts from when it was
    /// requested: until then, the allocator had not granted it to others.
    fn set_share(&mut self, sent_at: Micros, share: f64) {
        (self.failing_since, self.failures, self.has_reported_share) = (None, 0, false);
        (self.share_bucket, self.share_spent_lately) = (None, 0.0);
        (self.share, self.share_requested_at) = (share, sent_at);
    }

    /// Limits the share that is held. Allocators reserve no more for a proxy that they do not hear.
    pub(super) fn limit_share(&mut self, max_share: f64) {
        self.share = self.share.min(max_share);
    }

    /// Rejects a client's request, with a time to return that is spaced past the latest promised one, or without a time if too many
    /// promised returns are open. A promised return is not deferred again.
    pub(super) fn reject(&mut self, now: Micros, proxies: usize) -> Admission {
        if self.schedule.redeem(now, CLIENT_RETURN_WINDOW) {
            return Admission::Rejected;
        }
        let even_rate = self.quota.rate / proxies.max(1) as f64;
        let rate = self.admitted.get(now, RATE_WINDOW).max(even_rate).max(MIN_CLIENT_RETURN_RATE);
        let spacing = 1e6 / rate;
        let burst_duration = self.quota.burst / self.quota.rate.max(MIN_RATE) * 1e6;
        let promised = self.schedule.promise(now, spacing, burst_duration);
        promised.map_or(Admission::Rejected, Admission::Deferred)
    }

    /// The number of units that the proxy should hold, given its demand.
    fn target_units(&self, now: Micros) -> f64 {
        let max_lookahead = match self.lease_duration {
            0 => LEASE_LOOKAHEAD,
            duration => duration as f64 * MAX_LOOKAHEAD_FRACTION,
        };
        self.demand.get(now, RATE_WINDOW) * max_lookahead.min(LEASE_LOOKAHEAD) / 1e6
    }

    /// The number of units to request now; 0 for no request.
    fn wanted_units(&mut self, now: Micros) -> f64 {
        if self.requested_at.is_some() || now < self.backoff_until || now < self.exhausted_until {
            return 0.0;
        }
        let (units, target) = (self.units(now), self.target_units(now));
        // After failures the proxy keeps sending lease requests. Otherwise it would never return from its share to leases.
        let min_units = if self.is_probe_due(now) { 1.0 } else { 0.0 };
        let waiting = (self.waiting.len() as f64).max(min_units);
        if waiting == 0.0 && units >= target / 2.0 {
            return 0.0;
        }
        // Rounded to the nearest: with little demand at each of many proxies, one surplus unit at each would exceed the quota.
        (waiting + (target - units).round().max(0.0)).max(0.0)
    }

    /// Whether, after failures, a lease request is due even if no client's request waits. Units spent from the share are reported
    /// with the lease request that follows. The allocator computes by itself how the remainder grows, once it was reported.
    fn is_probe_due(&self, now: Micros) -> bool {
        let is_unreported = self.share > 0.0 && self.is_cut_off(now) && !self.has_reported_share;
        self.failing_since.is_some() && (self.has_new_arrival || is_unreported || now >= self.probe_at)
    }

    /// Schedules the next lease request without a client's request, with a pseudorandom part seeded by the time.
    fn schedule_probe(&mut self, now: Micros) {
        let mut seed = now;
        let spread = uniform(&mut seed) * PROBE_SPREAD;
        self.probe_at = now + (PROBE_INTERVAL as f64 * (1.0 - spread)) as Micros;
    }

    /// Whether there are units to request or to return now.
    pub(super) fn is_request_due(&mut self, now: Micros) -> bool {
        self.returned >= 1.0 || self.wanted_units(now) >= 1.0
    }

    /// Returns the lease request to send now, if any, and records it as sent.
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

    /// Records that no lease request could be sent, because no owner of the tenant is reachable.
    pub(super) fn request_failed(&mut self, now: Micros) {
        self.requested_at = None;
        self.record_failure(now);
    }

    /// Records that a due lease request is not sent, because the allocating node does not answer.
    pub(super) fn fail_without_request(&mut self, now: Micros) {
        if self.wanted_units(now) >= 1.0 {
            self.failing_since.get_or_insert(now);
        }
    }

    /// Records a failed lease request, and sets the pause before the next one.
    fn record_failure(&mut self, now: Micros) {
        self.failing_since.get_or_insert(now);
        // A proxy that is cut off reports the units spent from its share without a longer pause.
        let backoff = if self.is_cut_off(now) {
            CUT_OFF_BACKOFF
        } else {
            MIN_BACKOFF << self.failures.min(MAX_DOUBLINGS)
        };
        self.backoff_until = now + backoff;
        self.failures += 1;
    }

    /// Handles the answer to a lease request; returns whether it came from the tenant's allocator. At most `max_share` is kept of
    /// the granted share: allocators reserve no more for a proxy that they do not hear.
    pub(super) fn take_grant(
        &mut self,
        now: Micros,
        sent_at: Micros,
        grant: LeaseGrant,
        max_share: f64,
    ) -> bool {
        if self.requested_at.is_some_and(|last| last <= sent_at) {
            self.requested_at = None;
        }
        match grant {
            LeaseGrant::Units { units, duration, fencing_token, share } => {
                // The lease counts from when it was requested, so its usable time is shortened by the transit.
                let expires_at = sent_at.saturating_add(duration);
                if expires_at > now && units >= 1.0 {
                    self.leases.push_back(Lease { expires_at, units });
                }
                self.lease_duration = duration;
                if self.fencing_token != fencing_token {
                    (self.fencing_token, self.returned) = (fencing_token, 0.0);
                }
                self.set_share(sent_at, share.min(max_share));
                true
            }
            LeaseGrant::Exhausted { retry_after, share } => {
                self.exhausted_until =
                    now.saturating_add(retry_after.clamp(MIN_BACKOFF, MAX_EXHAUSTED_PAUSE));
                self.set_share(sent_at, share.min(max_share));
                true
            }
            LeaseGrant::NotOwner => {
                self.record_failure(now);
                false
            }
        }
    }

    /// Adds a client's request to the queue.
    pub(super) fn wait(&mut self, now: Micros, id: RequestId) {
        self.waiting.push_back(Waiting { id, since: now });
    }

    /// Whether any client's request waits.
    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// The number of waiting client requests.
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The client's request that has waited longest.
    pub(super) fn first_waiting(&self) -> Option<RequestId> {
        self.waiting.front().map(|waiting| waiting.id)
    }

    /// Removes the client's request that has waited longest.
    pub(super) fn remove_first_waiting(&mut self) {
        self.waiting.pop_front();
    }

    /// Removes a cancelled request.
    pub(super) fn cancel(&mut self, id: RequestId) {
        self.waiting.retain(|waiting| waiting.id != id);
    }

    /// Removes and returns all waiting requests.
    pub(super) fn take_waiting(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.waiting).into_iter().map(|waiting| waiting.id).collect()
    }

    /// Admits waiting requests in order while leased units are left.
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

    /// Whether the request that has waited longest should be rejected.
    pub(super) fn has_waited_too_long(&self, now: Micros) -> bool {
        let timeout = if self.is_cut_off(now) { CUT_OFF_WAIT_TIMEOUT } else { WAIT_TIMEOUT };
        self.waiting.front().is_some_and(|waiting| now >= waiting.since + timeout)
    }

    /// Gives up an unanswered lease request after its timeout, so that it is repeated.
    pub(super) fn expire_request(&mut self, now: Micros) {
        if let Some(sent_at) = self.requested_at.filter(|sent_at| now >= sent_at + LEASE_REQUEST_TIMEOUT) {
            self.requested_at = None;
            self.failing_since.get_or_insert(sent_at);
        }
    }

    /// Schedules the return of units that are about to expire and exceed the expected demand until then.
    pub(super) fn return_expiring(&mut self, now: Micros) {
        while self.leases.front().is_some_and(|lease| lease.expires_at <= now + UNIT_RETURN_AHEAD) {
            let Some(lease) = self.leases.pop_front().filter(|lease| lease.expires_at > now) else {
                continue;
            };
            let needed = self.demand.get(now, RATE_WINDOW) * UNIT_RETURN_AHEAD as f64 / 1e6;
            let surplus = (lease.units - needed).round().min(lease.units.floor()).max(0.0);
            self.returned += surplus;
            let units = lease.units - surplus;
            if units >= 1.0 {
                self.leases.push_front(Lease { units, ..lease });
                break;
            }
        }
    }
}
