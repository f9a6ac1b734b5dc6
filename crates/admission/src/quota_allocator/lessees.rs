//! The proxies that lease a tenant's units, with totals over all of them: the work for one request does not grow with their number.

use std::collections::{BTreeMap, BTreeSet};

use mountbend::measure::Rate;

use super::{max_share_balance, seconds, IDLE_TIMEOUT};
use crate::quota::Quota;
use crate::Micros;

/// The time constant with which the units that a proxy leases are averaged as its demand, in microseconds.
const DEMAND_WINDOW: f64 = 3.0e6;
/// The weight of a proxy without demand. A demand of one unit per second adds 1.
const IDLE_WEIGHT: f64 = 0.05;
/// How often idle proxies are looked for, in microseconds.
const IDLE_CHECK_INTERVAL: Micros = 1_000_000;

/// A proxy that leases units.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Lessee {
    /// The units per second that the proxy has leased lately, with the time constant [`DEMAND_WINDOW`].
    pub demand: Rate,
    /// The share that the proxy was granted last.
    pub granted_share: f64,
    /// The largest earlier share that the proxy may still hold, until it reports the granted one.
    pub earlier_share: f64,
    /// Whether the proxy is unreachable, and so is assumed to spend its share.
    pub is_missing: bool,
    /// The total of units that the proxy has spent of its share, as far as it is accounted for here.
    pub accounted_spend: f64,
    /// Units set aside for the proxy while it is missing, until it reports what it has spent.
    pub reserved: f64,
    /// The units of its share that the proxy had left at its last request.
    pub share_left: f64,
    /// When the proxy's last request arrived.
    pub last_request: Micros,
}

impl Lessee {
    /// The largest share that the proxy may hold.
    pub fn share(&self) -> f64 {
        self.granted_share.max(self.earlier_share)
    }

    /// The maximum of units that the proxy may have accumulated from its share and not spent. The remainder that it reported has
    /// grown since.
    fn unspent(&self, now: Micros, quota: Quota) -> f64 {
        let balance = max_share_balance(quota, self.share());
        if self.is_missing {
            self.reserved.min(balance)
        } else if self.share_left > 0.0 {
            let accrued = self.share() * quota.rate * seconds(now.saturating_sub(self.last_request));
            (self.share_left + accrued).min(balance).max(self.share_left)
        } else {
            0.0
        }
    }

    /// Whether [`Lessee::unspent`] may be more than 0.
    fn may_have_unspent(&self) -> bool {
        self.is_missing || self.share_left > 0.0
    }
}

/// All proxies that lease a tenant's units.
#[derive(Debug, Clone, Default)]
pub(super) struct Lessees {
    by_proxy: BTreeMap<String, Lessee>,
    /// The proxies that may have unspent units of their shares.
    with_unspent: BTreeSet<String>,
    /// The demand of all proxies.
    total_demand: Rate,
    /// The sum of the shares of all proxies.
    total_share: f64,
    /// When idle proxies are looked for next.
    next_idle_check: Micros,
}

impl Lessees {
    /// The entry of a proxy.
    pub fn get(&self, proxy: &str) -> Option<&Lessee> {
        self.by_proxy.get(proxy)
    }

    /// All proxies with their entries.
    #[cfg(test)]
    pub fn iter(&self) -> impl Iterator<Item = (&String, &Lessee)> {
        self.by_proxy.iter()
    }

    /// The number of proxies.
    pub fn len(&self) -> usize {
        self.by_proxy.len()
    }

    /// The sum of the shares of all proxies.
    pub fn total_share(&self) -> f64 {
        self.total_share
    }

    /// The sum of the shares of missing proxies.
    pub fn missing_share(&self) -> f64 {
        self.with_unspent().filter(|lessee| lessee.is_missing).map(Lessee::share).sum()
    }

    /// The entries of the proxies that may have unspent units of their shares.
    fn with_unspent(&self) -> impl Iterator<Item = &Lessee> {
        self.with_unspent.iter().filter_map(|proxy| self.by_proxy.get(proxy))
    }

    /// Adds a proxy, which must not have an entry.
    pub fn insert(&mut self, proxy: &str, lessee: Lessee) {
        self.by_proxy.insert(proxy.into(), Lessee::default());
        self.update(proxy, |entry| *entry = lessee);
    }

    /// Changes the entry of a proxy, if there is one.
    pub fn update(&mut self, proxy: &str, change: impl FnOnce(&mut Lessee)) {
        let Some(lessee) = self.by_proxy.get_mut(proxy) else { return };
        let previous_share = lessee.share();
        change(lessee);
        self.total_share += lessee.share() - previous_share;
        if !lessee.may_have_unspent() {
            self.with_unspent.remove(proxy);
        } else if !self.with_unspent.contains(proxy) {
            self.with_unspent.insert(proxy.into());
        }
    }

    /// Removes a proxy, if it has an entry.
    pub fn remove(&mut self, now: Micros, proxy: &str) {
        let Some(lessee) = self.by_proxy.remove(proxy) else { return };
        self.with_unspent.remove(proxy);
        self.total_share -= lessee.share();
        let demand = lessee.demand.get(now, DEMAND_WINDOW);
        self.total_demand = Rate { value: self.total_demand.get(now, DEMAND_WINDOW) - demand, at: now };
    }

    /// Removes the proxies that have requested nothing for [`IDLE_TIMEOUT`], except missing ones, and sums up the others anew,
    /// which ends what rounding errors have added up to.
    pub fn remove_idle(&mut self, now: Micros) {
        if now < self.next_idle_check {
            return;
        }
        self.next_idle_check = now + IDLE_CHECK_INTERVAL;
        self.by_proxy.retain(|_, lessee| lessee.is_missing || now < lessee.last_request + IDLE_TIMEOUT);
        self.with_unspent.retain(|proxy| self.by_proxy.contains_key(proxy));
        self.total_share = self.by_proxy.values().map(Lessee::share).sum();
        let demand = self.by_proxy.values().map(|lessee| lessee.demand.get(now, DEMAND_WINDOW)).sum();
        self.total_demand = Rate { value: demand, at: now };
    }

    /// Counts units that a proxy has leased.
    pub fn add_demand(&mut self, now: Micros, proxy: &str, units: f64) {
        if let Some(lessee) = self.by_proxy.get_mut(proxy) {
            lessee.demand.add(now, units, DEMAND_WINDOW);
            self.total_demand.add(now, units, DEMAND_WINDOW);
        }
    }

    /// The part of the demand of all proxies that is this proxy's, between 0 and 1. A proxy without demand counts a little.
    pub fn demand_ratio(&self, now: Micros, proxy: &str) -> f64 {
        let Some(lessee) = self.by_proxy.get(proxy) else { return 0.0 };
        let weight = lessee.demand.get(now, DEMAND_WINDOW) + IDLE_WEIGHT;
        let total = self.total_demand.get(now, DEMAND_WINDOW) + IDLE_WEIGHT * self.by_proxy.len() as f64;
        (weight / total.max(weight)).clamp(0.0, 1.0)
    }

    /// The maximum of units that all proxies may have accumulated from their shares and not spent.
    pub fn unspent(&self, now: Micros, quota: Quota) -> f64 {
        self.with_unspent().map(|lessee| lessee.unspent(now, quota)).sum()
    }

    /// Sets aside what missing proxies may spend of their shares within the elapsed seconds. Returns the sum of their shares.
    pub fn reserve_for_missing(&mut self, rate: f64, elapsed: f64) -> f64 {
        let mut missing_shares = 0.0;
        for proxy in &self.with_unspent {
            if let Some(lessee) = self.by_proxy.get_mut(proxy).filter(|lessee| lessee.is_missing) {
                missing_shares += lessee.share();
                lessee.reserved += lessee.share() * rate * elapsed;
            }
        }
        missing_shares
    }
}
