//! The count of one tenant's units, at the node that has the duty for it.

use std::collections::BTreeMap;

use mountbend::measure::Rate;

use crate::lease::Usage;
use crate::quota::Quota;
use crate::Micros;

#[cfg(test)]
mod tests;

/// Microseconds over which a proxy's demand is smoothed.
const DEMAND_WINDOW: f64 = 3.0e6;
/// The part of the rate that all shares together may reach: what one proxy was told may be old at another.
const MAX_SHARES: f64 = 0.95;
/// The weight of a proxy that draws nothing, where one that draws a unit a second weighs 1.
const IDLE_WEIGHT: f64 = 0.05;
/// A proxy that has drawn nothing for so long has no share any more: it does not begin to spend one that is older.
pub(crate) const IDLE_TIMEOUT: Micros = 20_000_000;
/// No proxy spends a share for longer than this after the request that it was granted with.
pub const SHARE_LIFETIME: Micros = 60_000_000;
/// Keeps divisions by a rate finite.
const MIN_RATE: f64 = 1e-3;

fn seconds(duration: Micros) -> f64 {
    duration as f64 / 1e6
}

/// The most units of its share that a proxy keeps unspent: that part of the burst, and at least one.
pub(crate) fn max_share_balance(quota: Quota, share: f64) -> f64 {
    (quota.burst * share).max(1.0)
}

/// A proxy that leases units.
#[derive(Debug, Clone, Copy, Default)]
struct Lessee {
    demand: Rate,
    /// The share that it was granted last.
    granted_share: f64,
    /// The most that it may still hold besides, until it has reported that share.
    earlier_share: f64,
    /// It has not been heard since, and spends its share.
    is_missing: bool,
    /// Units that it has spent of its share in all, as far as they were taken out here.
    settled: f64,
    /// Units that were taken out for it while it was missing, before it could report what it has spent.
    reserved: f64,
    /// Units of its share that were left when it asked last.
    share_left: f64,
    last_request: Micros,
}

impl Lessee {
    fn share(&self) -> f64 {
        self.granted_share.max(self.earlier_share)
    }

    /// The most that it may still spend of what it has had of its share so far. What was left when it asked has grown since.
    fn unspent(&self, now: Micros, quota: Quota) -> f64 {
        let balance = max_share_balance(quota, self.share());
        if self.is_missing {
            self.reserved.min(balance)
        } else if self.share_left > 0.0 {
            let grown = self.share() * quota.rate * seconds(now.saturating_sub(self.last_request));
            (self.share_left + grown).min(balance).max(self.share_left)
        } else {
            0.0
        }
    }

    /// Its weight among all proxies.
    fn weight(&self, now: Micros) -> f64 {
        self.demand.get(now, DEMAND_WINDOW) + IDLE_WEIGHT
    }
}

/// No unit is left.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted {
    /// When one will be, from now.
    pub retry_after: Micros,
}

/// The answer to a proxy's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Allocation {
    /// The units that are leased.
    pub units: Result<f64, Exhausted>,
    /// The share of the rate that the proxy may spend when it reaches no count.
    pub share: f64,
}

/// The units of a tenant that can be leased: a token bucket that fills at the quota's rate up to its burst.
///
/// At any time each part of the rate has one owner. A proxy that is cut off spends the share that it was granted; all shares
/// together are less than one, those included that an earlier count has granted. While a proxy is missing, its share does not
/// fill the bucket, and what it had since it was last heard is taken out: the bucket may be in debt.
///
/// The same holds for the burst: what is in the bucket and what proxies may have left of their shares never exceed it. Units
/// that were reserved for a proxy come back only as far as the proxy could have kept them itself.
#[derive(Debug, Clone)]
pub struct QuotaAllocator {
    quota: Quota,
    /// Units in the bucket.
    level: f64,
    /// When the bucket was last filled.
    filled_at: Micros,
    started_at: Micros,
    /// The sum of the shares that an earlier count may have granted to proxies that have not asked here.
    unknown_shares: f64,
    /// Units that were reserved for these proxies.
    unknown_reserved: f64,
    /// Whether proxies are cut off that this count has never heard of, as it was told last.
    has_strangers: bool,
    lessees: BTreeMap<String, Lessee>,
}

impl QuotaAllocator {
    /// The count of a tenant whose duty has just been taken over. It begins without units: the earlier count may have granted
    /// them.
    pub fn new(now: Micros, quota: Quota) -> QuotaAllocator {
        QuotaAllocator {
            quota,
            level: 0.0,
            filled_at: now,
            started_at: now,
            unknown_shares: MAX_SHARES,
            unknown_reserved: 0.0,
            has_strangers: false,
            lessees: BTreeMap::new(),
        }
    }

    /// The count of a tenant that did not exist before: nobody has granted any of its units.
    pub fn full(now: Micros, quota: Quota) -> QuotaAllocator {
        let mut allocator = QuotaAllocator::new(now, quota);
        allocator.unknown_shares = 0.0;
        allocator.level = allocator.capacity(now, 0.0);
        allocator
    }

    /// The most that the bucket may hold: the burst without what proxies may have left, and at least one unit.
    fn capacity(&self, now: Micros, reserved_share: f64) -> f64 {
        let unspent: f64 = self.lessees.values().map(|lessee| lessee.unspent(now, self.quota)).sum();
        (self.quota.burst * (1.0 - reserved_share) - unspent).max(1.0)
    }

    /// The sum of the shares that proxies may hold that this count has never heard of.
    fn unknown_shares(&self, now: Micros) -> f64 {
        if now < self.started_at + SHARE_LIFETIME {
            self.unknown_shares
        } else {
            0.0
        }
    }

    /// Fills the bucket up to now, without the shares of proxies that are cut off. Returns the share that is reserved for
    /// proxies that this count has never heard of.
    fn fill(&mut self, now: Micros) -> f64 {
        let reserved_share = if self.has_strangers { self.unknown_shares(now) } else { 0.0 };
        let elapsed = seconds(now.saturating_sub(self.filled_at));
        self.filled_at = self.filled_at.max(now);
        let full_rate = self.quota.rate;
        let mut missing_shares = 0.0;
        for lessee in self.lessees.values_mut().filter(|lessee| lessee.is_missing) {
            missing_shares += lessee.share();
            lessee.reserved += lessee.share() * full_rate * elapsed;
        }
        self.unknown_reserved += reserved_share * full_rate * elapsed;
        let rate = self.quota.rate * (1.0 - reserved_share - missing_shares).clamp(0.0, 1.0);
        self.level = (self.level + rate * elapsed).min(self.capacity(now, reserved_share));
        reserved_share
    }

    /// Changes the quota. Units above a lower burst are gone.
    pub fn set_quota(&mut self, now: Micros, quota: Quota) {
        self.fill(now);
        self.quota = quota;
        self.fill(now);
    }

    /// A proxy has not been heard since a moment, and may spend its share since then. One that did so already when it asked last
    /// has had its share since that request.
    pub fn proxy_missing(&mut self, now: Micros, proxy: &str, since: Micros) {
        self.fill(now);
        let rate = self.quota.rate;
        if let Some(lessee) = self.lessees.get_mut(proxy).filter(|lessee| !lessee.is_missing) {
            lessee.is_missing = true;
            let since = if lessee.share_left > 0.0 { since.min(lessee.last_request) } else { since };
            let had = lessee.share_left + lessee.share() * rate * seconds(now.saturating_sub(since));
            lessee.reserved += had;
            self.level -= had;
        }
    }

    /// A missing proxy is heard again. Its units stay reserved until it reports what it has spent.
    pub fn proxy_returned(&mut self, now: Micros, proxy: &str) {
        if self.lessees.get(proxy).is_some_and(|lessee| lessee.is_missing) {
            self.fill(now);
            self.lessees.entry(proxy.into()).and_modify(|lessee| {
                lessee.is_missing = false;
                lessee.share_left = lessee.reserved.min(max_share_balance(self.quota, lessee.share()));
            });
        }
    }

    /// A proxy's process has ended, and its share with it.
    pub fn proxy_ended(&mut self, now: Micros, proxy: &str) {
        if self.lessees.contains_key(proxy) {
            self.fill(now);
            self.lessees.remove(proxy);
        }
    }

    /// Takes out what a proxy has spent of its share. Units that were reserved while it was missing count towards that. Of the
    /// rest it could have kept a part itself, which comes back; the remainder is lost, as it was to the proxy.
    fn settle(&mut self, now: Micros, proxy: &str, usage: &Usage) {
        let held_share = usage.held_share.clamp(0.0, 1.0);
        if !self.lessees.contains_key(proxy) {
            self.add_lessee(now, proxy, held_share, usage);
        }
        let quota = self.quota;
        let Some(lessee) = self.lessees.get_mut(proxy) else { return };
        // A share that was granted later than the one it holds counts as well: it may have arrived by now, or may yet.
        let other_share = if held_share == lessee.granted_share { 0.0 } else { lessee.share() };
        lessee.earlier_share = held_share.max(other_share);
        let spent = (usage.share_spent - lessee.settled).max(0.0);
        lessee.settled = lessee.settled.max(usage.share_spent);
        let reserved = std::mem::take(&mut lessee.reserved);
        self.level += (reserved - spent).min(max_share_balance(quota, held_share));
        (lessee.share_left, lessee.last_request) = (usage.share_left.max(0.0), now);
    }

    /// Adds a proxy that asks for the first time. What it spent before this count began came from a rate that nobody else had
    /// then.
    fn add_lessee(&mut self, now: Micros, proxy: &str, held_share: f64, usage: &Usage) {
        let age = seconds(now.saturating_sub(self.started_at));
        let spent_here = usage.share_spent_lately.min(held_share * self.quota.rate * age);
        let reserved = spent_here.min(self.unknown_reserved);
        self.unknown_reserved -= reserved;
        self.unknown_shares = (self.unknown_shares - held_share).max(0.0);
        let settled = usage.share_spent - spent_here;
        let lessee = Lessee { settled, reserved, granted_share: held_share, ..Lessee::default() };
        self.lessees.insert(proxy.into(), lessee);
    }

    /// Leases up to as many whole units to a proxy as it wants, after it has returned some (the negative add). `has_strangers`:
    /// proxies are cut off that may hold shares of an earlier count. A proxy that wants no unit is granted no new share.
    pub fn draw(&mut self, now: Micros, proxy: &str, has_strangers: bool, usage: &Usage) -> Allocation {
        self.has_strangers |= has_strangers;
        let reserved_share = self.fill(now);
        self.has_strangers = has_strangers;
        self.settle(now, proxy, usage);
        let wanted = usage.wanted;
        self.level = (self.level + usage.returned.max(0.0)).min(self.capacity(now, reserved_share));
        let granted = wanted.max(0.0).min(self.level.max(0.0)).floor();
        self.level -= granted;
        let share = self.grant_share(now, proxy, granted, wanted >= 1.0);
        if granted >= 1.0 || wanted < 1.0 {
            return Allocation { units: Ok(granted), share };
        }
        let rate = (self.quota.rate * (1.0 - reserved_share)).max(MIN_RATE);
        let retry_after = ((1.0 - self.level).max(0.0) / rate * 1e6) as Micros;
        Allocation { units: Err(Exhausted { retry_after }), share }
    }

    /// The share of a proxy: shares follow demand. A proxy that is not heard keeps the share that it was granted, here or by an
    /// earlier count, so another's share grows only into what is free.
    fn grant_share(&mut self, now: Micros, proxy: &str, granted: f64, is_new: bool) -> f64 {
        self.lessees.retain(|_, lessee| lessee.is_missing || now < lessee.demand.at + IDLE_TIMEOUT);
        if let Some(lessee) = self.lessees.get_mut(proxy) {
            lessee.demand.add(now, granted, DEMAND_WINDOW);
        }
        let (mut total_weight, mut other_shares) = (0.0, self.unknown_shares(now));
        for (name, lessee) in &self.lessees {
            total_weight += lessee.weight(now);
            other_shares += if name == proxy { 0.0 } else { lessee.share() };
        }
        let Some(lessee) = self.lessees.get_mut(proxy) else { return 0.0 };
        if is_new {
            let fair_share = lessee.weight(now) / total_weight * MAX_SHARES;
            lessee.granted_share = fair_share.min((MAX_SHARES - other_shares).max(0.0));
        }
        lessee.granted_share
    }

    /// Whether a proxy has been granted a share here.
    pub fn knows(&self, proxy: &str) -> bool {
        self.lessees.contains_key(proxy)
    }

    /// The number of proxies that it knows, as long as it reserves a share for others; `None` if it does not.
    pub fn known_while_reserving(&self, now: Micros) -> Option<usize> {
        (self.unknown_shares(now) > 0.0).then_some(self.lessees.len())
    }

    /// It knows all proxies that there are: nothing is reserved for others any more.
    pub fn knows_all(&mut self) {
        self.unknown_shares = 0.0;
    }

    /// The quota.
    pub fn quota(&self) -> Quota {
        self.quota
    }

    /// Units that can be leased; negative if proxies that are cut off have had more than there was.
    pub fn level(&self) -> f64 {
        self.level
    }
}
