//! The allocator of one tenant's quota units, at the node that has the duty for the tenant.

use crate::fleet::{Fleet, MAX_TOTAL_SHARE};
use crate::lease::Usage;
use crate::quota::Quota;
use crate::Micros;

mod lessees;
#[cfg(test)]
mod tests;

use lessees::{Lessee, Lessees};

/// A proxy that has requested nothing for this long loses its share, and does not begin to spend one that old.
pub(crate) const IDLE_TIMEOUT: Micros = 20_000_000;
/// The maximum time for which a proxy spends a share, counted from the request that the share was granted for.
pub const SHARE_LIFETIME: Micros = 60_000_000;
/// Lower limit of a rate in divisions, which keeps the result finite.
const MIN_RATE: f64 = 1e-3;

fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}

/// Returns the maximum of unspent units that a proxy accumulates from its share: that share of the burst, and at least one.
pub(crate) fn max_share_balance(quota: Quota, share: f64) -> f64 {
    (quota.burst * share).max(1.0)
}

/// No units are left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted {
    /// The time until a unit is available.
    pub retry_after: Micros,
}

/// The answer to a proxy's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allocation {
    /// The number of leased units.
    pub units: Result<f64, Exhausted>,
    /// The share of the quota's rate that the proxy may spend when it reaches no allocating node.
    pub share: f64,
}

/// The units of a tenant that can be leased: a token bucket that fills at the quota's rate up to its burst.
///
/// At any time each part of the rate has one owner. A proxy that is cut off spends the share that it was granted. The sum of all
/// shares is less than one, including those that the previous allocator may have granted. While a proxy is missing, its share
/// does not fill the bucket, and the units that it may have spent since it was last reachable are taken from the bucket, whose
/// level may become negative.
///
/// The same holds for the burst: the units in the bucket and the unspent units of the proxies' shares together never exceed it.
/// Units that were reserved for a proxy are put back only as far as the proxy itself could have accumulated them.
#[derive(Debug, Clone)]
pub struct QuotaAllocator {
    quota: Quota,
    /// The number of units in the bucket; negative while it is in debt.
    level: f64,
    /// When the bucket was last refilled.
    filled_at: Micros,
    /// When this allocator was created.
    started_at: Micros,
    /// The sum of the shares that the previous allocator may have granted to proxies that have sent no request to this one.
    unknown_shares: f64,
    /// Units reserved for these proxies.
    unknown_reserved: f64,
    /// At the last request, the limit of the shares of the proxies that are out of reach and unknown to this allocator.
    max_unheard_share: f64,
    lessees: Lessees,
}

impl QuotaAllocator {
    /// Creates the allocator of a tenant whose duty has just been taken over. It begins without units, because the previous
    /// allocator may have leased them.
    pub fn new(now: Micros, quota: Quota) -> QuotaAllocator {
        QuotaAllocator {
            quota,
            level: 0.0,
            filled_at: now,
            started_at: now,
            unknown_shares: MAX_TOTAL_SHARE,
            unknown_reserved: 0.0,
            max_unheard_share: 0.0,
            lessees: Lessees::default(),
        }
    }

    /// Creates the allocator of a tenant that did not exist before, so that none of its units have been leased.
    pub fn full(now: Micros, quota: Quota) -> QuotaAllocator {
        let mut allocator = QuotaAllocator::new(now, quota);
        allocator.unknown_shares = 0.0;
        allocator.level = allocator.capacity(now, 0.0);
        allocator
    }

    /// The maximum level of the bucket: the burst without the units that proxies may have left, and at least one.
    fn capacity(&self, now: Micros, reserved_share: f64) -> f64 {
        let unspent = self.lessees.unspent(now, self.quota);
        (self.quota.burst * (1.0 - reserved_share) - unspent).max(1.0)
    }

    /// The sum of the shares that proxies unknown to this allocator may hold.
    fn unknown_shares(&self, now: Micros) -> f64 {
        if now < self.started_at + SHARE_LIFETIME {
            self.unknown_shares
        } else {
            0.0
        }
    }

    /// Refills the bucket up to now, without the shares of proxies that are cut off. Returns the share that is reserved for
    /// proxies that this allocator does not know.
    fn fill(&mut self, now: Micros) -> f64 {
        let reserved_share = self.unknown_shares(now).min(self.max_unheard_share);
        let elapsed = seconds(now.saturating_sub(self.filled_at));
        self.filled_at = self.filled_at.max(now);
        let full_rate = self.quota.rate;
        let missing_shares = self.lessees.reserve_for_missing(full_rate, elapsed);
        self.unknown_reserved += reserved_share * full_rate * elapsed;
        let rate = full_rate * (1.0 - reserved_share - missing_shares).clamp(0.0, 1.0);
        self.level = (self.level + rate * elapsed).min(self.capacity(now, reserved_share));
        reserved_share
    }

    /// Changes the quota. Units above a reduced burst are lost.
    pub fn set_quota(&mut self, now: Micros, quota: Quota) {
        self.fill(now);
        self.quota = quota;
        self.fill(now);
    }

    /// Marks a proxy as missing: it has been unreachable since `since`, and may have spent its share from then on, or already from
    /// its last request on if it reported then that it was spending its share.
    pub fn proxy_missing(&mut self, now: Micros, proxy: &str, since: Micros) {
        if self.lessees.get(proxy).is_none_or(|lessee| lessee.is_missing) {
            return;
        }
        self.fill(now);
        let rate = self.quota.rate;
        let mut may_have_spent = 0.0;
        self.lessees.update(proxy, |lessee| {
            lessee.is_missing = true;
            let since = if lessee.share_left > 0.0 { since.min(lessee.last_request) } else { since };
            may_have_spent = lessee.share_left + lessee.share() * rate * seconds(now.saturating_sub(since));
            lessee.reserved += may_have_spent;
        });
        self.level -= may_have_spent;
    }

    /// Marks a missing proxy as reachable again. Its units stay reserved until it reports what it has spent.
    pub fn proxy_returned(&mut self, now: Micros, proxy: &str) {
        if self.lessees.get(proxy).is_none_or(|lessee| !lessee.is_missing) {
            return;
        }
        self.fill(now);
        let quota = self.quota;
        self.lessees.update(proxy, |lessee| {
            lessee.is_missing = false;
            lessee.share_left = lessee.reserved.min(max_share_balance(quota, lessee.share()));
        });
    }

    /// Removes a proxy whose process has ended, together with its share.
    pub fn proxy_ended(&mut self, now: Micros, proxy: &str) {
        if self.knows(proxy) {
            self.fill(now);
            self.lessees.remove(now, proxy);
        }
    }

    /// Takes the units that a proxy has spent of its share from the bucket. Units that were reserved while it was missing count
    /// towards them. An unspent rest is put back up to what the proxy could have accumulated. The rest above that is dropped: the
    /// proxy's share overflowed as well, so the proxy lost those units too.
    fn settle(&mut self, now: Micros, proxy: &str, usage: &Usage) {
        let held_share = usage.held_share.clamp(0.0, 1.0);
        if !self.knows(proxy) {
            self.add_lessee(now, proxy, held_share, usage);
        }
        let mut returned = 0.0;
        let quota = self.quota;
        self.lessees.update(proxy, |lessee| {
            // A share that was granted after the reported one counts too: its grant may have arrived since, or may still arrive.
            let other_share = if held_share == lessee.granted_share { 0.0 } else { lessee.share() };
            lessee.earlier_share = held_share.max(other_share);
            let spent = (usage.share_spent - lessee.accounted_spend).max(0.0);
            lessee.accounted_spend = lessee.accounted_spend.max(usage.share_spent);
            let reserved = std::mem::take(&mut lessee.reserved);
            returned = (reserved - spent).min(max_share_balance(quota, held_share));
            (lessee.share_left, lessee.last_request) = (usage.share_left.max(0.0), now);
        });
        self.level += returned;
    }

    /// Adds a proxy at its first request. Units that it spent before this allocator started came from a part of the rate that
    /// nobody else had, and are not taken from the bucket.
    fn add_lessee(&mut self, now: Micros, proxy: &str, held_share: f64, usage: &Usage) {
        let age = seconds(now.saturating_sub(self.started_at));
        let spent_here = usage.share_spent_lately.min(held_share * self.quota.rate * age);
        let reserved = spent_here.min(self.unknown_reserved);
        self.unknown_reserved -= reserved;
        self.unknown_shares = (self.unknown_shares - held_share).max(0.0);
        let accounted_spend = usage.share_spent - spent_here;
        let lessee = Lessee { accounted_spend, reserved, granted_share: held_share, ..Lessee::default() };
        self.lessees.insert(proxy, lessee);
    }

    /// Handles a proxy's request: puts returned units back, and leases it whole units, at most as many as it wants. A proxy that
    /// wants less than one unit is granted no new share.
    pub fn draw(&mut self, now: Micros, proxy: &str, fleet: Fleet, usage: &Usage) -> Allocation {
        // Proxies that were or have become unheard since the last request may have been so all the time.
        self.max_unheard_share = self.max_unheard_share.max(fleet.max_unheard_share());
        let reserved_share = self.fill(now);
        self.max_unheard_share = fleet.max_unheard_share();
        self.settle(now, proxy, usage);
        let wanted = usage.wanted;
        self.level = (self.level + usage.returned.max(0.0)).min(self.capacity(now, reserved_share));
        let granted = wanted.max(0.0).min(self.level.max(0.0)).floor();
        self.level -= granted;
        let share = self.grant_share(now, proxy, fleet, granted, wanted >= 1.0);
        if granted >= 1.0 || wanted < 1.0 {
            return Allocation { units: Ok(granted), share };
        }
        let rate = (self.quota.rate * (1.0 - reserved_share)).max(MIN_RATE);
        let retry_after = ((1.0 - self.level).max(0.0) / rate * 1e6) as Micros;
        Allocation { units: Err(Exhausted { retry_after }), share }
    }

    /// Returns a proxy's share, which is updated to its part of the demand if `is_renewed`. A missing proxy keeps the share that it
    /// was granted, here or by the previous allocator, so other shares grow only into what is unassigned.
    fn grant_share(&mut self, now: Micros, proxy: &str, fleet: Fleet, granted: f64, is_renewed: bool) -> f64 {
        self.lessees.remove_idle(now);
        self.lessees.add_demand(now, proxy, granted);
        let Some(lessee) = self.lessees.get(proxy) else { return 0.0 };
        if !is_renewed {
            return lessee.granted_share;
        }
        let other_shares = self.unknown_shares(now) + self.lessees.total_share() - lessee.share();
        let fair_share = self.lessees.demand_ratio(now, proxy) * MAX_TOTAL_SHARE;
        let unassigned_share = (MAX_TOTAL_SHARE - other_shares).max(0.0);
        let share = fair_share.min(unassigned_share).min(fleet.max_share());
        self.lessees.update(proxy, |lessee| lessee.granted_share = share);
        share
    }

    /// Whether the allocator has an entry for a proxy.
    pub fn knows(&self, proxy: &str) -> bool {
        self.lessees.get(proxy).is_some()
    }

    /// The number of known proxies while a share is reserved for unknown ones; `None` if nothing is reserved.
    pub fn known_while_reserving(&self, now: Micros) -> Option<usize> {
        (self.unknown_shares(now) > 0.0).then_some(self.lessees.len())
    }

    /// Drops the reservation for unknown proxies, because all proxies are known.
    pub fn drop_unknown_shares(&mut self) {
        self.unknown_shares = 0.0;
    }

    /// The part of the rate that does not fill the bucket, because proxies that are not reachable may spend it.
    pub fn reserved_share(&self, now: Micros) -> f64 {
        let unknown = self.unknown_shares(now).min(self.max_unheard_share);
        (unknown + self.lessees.missing_share()).min(1.0)
    }

    /// The quota in force.
    pub fn quota(&self) -> Quota {
        self.quota
    }

    /// The number of units that can be leased; negative if proxies that are cut off may have spent more than was available.
    pub fn level(&self) -> f64 {
        self.level
    }
}
