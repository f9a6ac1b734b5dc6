//! Allocates quota leases of tenants to proxies, for the slices of tenants whose duty this registry holds.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_admission::duty::{slice_of, DutyAction, SLICE_COUNT};
use pinerelay_admission::fleet::Fleet;
use pinerelay_admission::lease::{LeaseGrant, LeaseRequest};
use pinerelay_admission::quota::Quota;
use pinerelay_admission::quota_allocator::{Allocation, Exhausted, QuotaAllocator};
use pinerelay_admission::Micros;
use pinerelay_config_state::resources::Tenant;
use pinerelay_peer_link::message::{Metric, PeerMessage, TenantGrant};

use super::{Output, Registry, CALL_STALL_THRESHOLD};

#[cfg(test)]
mod tests;

/// The maximum delay of an update: one that was sent before a duty was acquired has arrived this long after.
const UPDATE_DELAY: Micros = 5_000_000;
/// At the first start of the system a duty acquired within this time had no earlier holder: it is shorter than the time for which
/// a holder is promised a duty.
const FIRST_START_PERIOD: Micros = 850_000;
/// The maximum number of proxies that a log line names.
const MAX_LOGGED_PROXIES: usize = 4;

/// The quota of a tenant.
fn quota_of(tenant: &Tenant) -> Quota {
    Quota { rate: tenant.rate, burst: tenant.burst }
}

/// A slice of tenants whose duty this registry has acquired.
#[derive(Debug, Clone, Copy, Default)]
struct AcquiredSlice {
    /// Identifies this acquisition: units that were leased under another token are not put back.
    fencing_token: u64,
    /// When the duty was acquired.
    acquisition_time: Micros,
}

/// The number of missing proxies that an allocator does not know.
#[derive(Debug, Clone, Copy)]
struct UnknownMissing {
    /// The revision of the missing proxies that it was counted for. An allocator learns only of proxies that are not missing.
    revision: u64,
    count: usize,
}

/// The state of quota allocation.
#[derive(Debug, Default)]
pub(super) struct QuotaDuty {
    /// The number of held slices that was last logged.
    logged_slices: usize,
    /// Whether it was last logged that rates are partly reserved.
    logged_reservations: bool,
    /// The last acquisition of each slice, by its index.
    acquired: BTreeMap<usize, AcquiredSlice>,
    /// The allocators of tenants, by name.
    allocators: BTreeMap<String, QuotaAllocator>,
    /// The missing proxies that the allocators do not know, by tenant.
    unknown_missing: BTreeMap<String, UnknownMissing>,
    /// When each tenant was first seen; 0 if that was before the configuration here was complete.
    first_seen: BTreeMap<String, Micros>,
}

impl QuotaDuty {
    /// A proxy counts as missing since the given time.
    pub(super) fn proxy_missing(&mut self, now: Micros, node: &str, since: Micros) {
        self.allocators.values_mut().for_each(|allocator| allocator.proxy_missing(now, node, since));
    }

    /// A missing proxy has sent a message again.
    pub(super) fn proxy_returned(&mut self, now: Micros, node: &str) {
        self.allocators.values_mut().for_each(|allocator| allocator.proxy_returned(now, node));
    }

    /// A proxy's process has ended.
    pub(super) fn proxy_ended(&mut self, now: Micros, node: &str) {
        self.allocators.values_mut().for_each(|allocator| allocator.proxy_ended(now, node));
    }
}

impl Registry {
    /// Updates the duties from the registries that are linked and not silent, and then the allocators.
    pub(super) fn update_duties(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.duties.tick(now, self.heard_registries(), &mut actions);
        self.apply_duty_actions(now, actions, out);
        let held = self.duties.held_count(now);
        if held != self.quota_duty.logged_slices {
            log::info!("holds the duty for {held} of {SLICE_COUNT} slices of the tenants");
            self.quota_duty.logged_slices = held;
        }
        self.update_allocators(now);
    }

    /// Carries out the actions of the duty table.
    pub(super) fn apply_duty_actions(
        &mut self,
        now: Micros,
        actions: Vec<DutyAction>,
        out: &mut Vec<Output>,
    ) {
        let registries = self.registry_connections();
        for action in actions {
            match action {
                DutyAction::Send(to, message) => {
                    if let Some(&connection) = registries.get(&to) {
                        out.push(Output::Send(connection, PeerMessage::Duty(message)));
                    }
                }
                DutyAction::Acquired(slice) => self.on_slice_acquired(now, slice),
            }
        }
    }

    /// Takes over a slice with a new fencing token. Its allocators start anew, as the grants of the previous holder are unknown.
    fn on_slice_acquired(&mut self, now: Micros, slice: usize) {
        let number = self.next_number();
        let fencing_token = self.config.hello.process_id.wrapping_add(number);
        self.counters.slices_acquired += 1;
        self.quota_duty.acquired.insert(slice, AcquiredSlice { fencing_token, acquisition_time: now });
        self.quota_duty.allocators.retain(|tenant, _| slice_of(tenant) != slice);
        self.quota_duty.unknown_missing.retain(|tenant, _| slice_of(tenant) != slice);
    }

    /// Creates the allocators of tenants whose duty is held here before the first lease request, and applies changed quotas.
    fn update_allocators(&mut self, now: Micros) {
        self.record_new_tenants(now);
        for tenant in self.table.tenants().iter().filter(|tenant| tenant.rate > 0.0) {
            let quota = quota_of(tenant);
            match self.quota_duty.allocators.get_mut(&tenant.name) {
                None if self.duties.holds(now, slice_of(&tenant.name)) => {
                    let allocator = self.new_allocator(now, tenant);
                    self.quota_duty.allocators.insert(tenant.name.clone(), allocator);
                }
                Some(allocator) if allocator.quota() != quota => allocator.set_quota(now, quota),
                _ => {}
            }
        }
    }

    /// Records when new tenants were first seen.
    fn record_new_tenants(&mut self, now: Micros) {
        // Tenants of the initial configuration may be older than this process.
        let first_seen = if self.is_complete { now } else { 0 };
        for tenant in self.table.tenants() {
            if !self.quota_duty.first_seen.contains_key(&tenant.name) {
                self.quota_duty.first_seen.insert(tenant.name.clone(), first_seen);
            }
        }
    }

    /// Creates an allocator. It starts without units, unless no earlier holder can have granted any: the tenant is new, or this
    /// is the first holder of the duty.
    fn new_allocator(&self, now: Micros, tenant: &Tenant) -> QuotaAllocator {
        let acquired = self.quota_duty.acquired.get(&slice_of(&tenant.name));
        let acquired_at = acquired.map_or(now, |slice| slice.acquisition_time);
        let first_seen = self.quota_duty.first_seen.get(&tenant.name).copied().unwrap_or(0);
        // The previous holder may have received the tenant's update before this registry did.
        let is_new_tenant = first_seen > acquired_at.saturating_add(UPDATE_DELAY);
        let is_first_duty = self.config.first_start && acquired_at < FIRST_START_PERIOD;
        if is_new_tenant || is_first_duty {
            QuotaAllocator::full(now, quota_of(tenant))
        } else {
            QuotaAllocator::new(now, quota_of(tenant))
        }
    }

    /// The proxies that share a tenant's quota. Those that are unreachable and unknown to the tenant's allocator count as unheard: a
    /// previous holder of the duty may have granted them a share.
    fn fleet_of(&mut self, tenant: &str) -> Fleet {
        let proxies = self.total_proxies();
        if self.proxies.stored.is_none() {
            // Until the machine's store has sent its list, proxies that were unreachable at the start are unknown.
            return Fleet::unknown(proxies);
        }
        let elsewhere = proxies.saturating_sub(self.proxies.set.known_count());
        Fleet { proxies, unheard: elsewhere + self.unknown_missing(tenant) }
    }

    /// The number of missing proxies that a tenant's allocator does not know.
    fn unknown_missing(&mut self, tenant: &str) -> usize {
        let revision = self.proxies.set.missing_revision();
        let counted = self.quota_duty.unknown_missing.get(tenant);
        if let Some(counted) = counted.filter(|counted| counted.revision == revision) {
            return counted.count;
        }
        let allocator = self.quota_duty.allocators.get(tenant);
        let is_known = |node: &&String| allocator.is_some_and(|allocator| allocator.knows(node));
        let count = self.proxies.set.missing().keys().filter(|node| !is_known(node)).count();
        self.quota_duty.unknown_missing.insert(tenant.into(), UnknownMissing { revision, count });
        count
    }

    /// Releases the shares reserved for unknown proxies in allocators that know every proxy.
    pub(super) fn release_reserved_shares(&mut self, now: Micros) {
        let set = &self.proxies.set;
        let nodes: BTreeSet<&String> = set.linked().chain(set.missing().keys()).collect();
        if self.proxies.stored.is_none() || nodes.len() < self.total_proxies() {
            return;
        }
        for allocator in self.quota_duty.allocators.values_mut() {
            let known = allocator.known_while_reserving(now);
            if known.is_some_and(|known| known >= nodes.len())
                && nodes.iter().all(|node| allocator.knows(node))
            {
                allocator.drop_unknown_shares();
            }
        }
    }

    /// The allocators of slices whose duty is held.
    fn held_allocators(&self, now: Micros) -> impl Iterator<Item = &QuotaAllocator> {
        let allocators = self.quota_duty.allocators.iter();
        allocators.filter(move |(tenant, _)| self.duties.holds(now, slice_of(tenant))).map(|(_, held)| held)
    }

    /// Logs when rates begin to be partly reserved for proxies that are not reachable, and when no longer.
    pub(super) fn report_reservations(&mut self, now: Micros) {
        let tenants = self.held_allocators(now).count();
        let reserving = self.held_allocators(now).filter(|held| held.reserved_share(now) > 0.0).count();
        if (reserving > 0) == self.quota_duty.logged_reservations {
            return;
        }
        self.quota_duty.logged_reservations = reserving > 0;
        let (linked, counted) = (self.proxies.set.linked_count(), self.total_proxies());
        if reserving > 0 {
            let missing = self.process_list().missing;
            let named = missing[..missing.len().min(MAX_LOGGED_PROXIES)].join(", ");
            log::warn!(
                "reserves a part of the rate of {reserving} of {tenants} tenants: {linked} of {counted} proxies are linked, \
                 {} are known and not linked: {named}",
                missing.len()
            );
        } else {
            log::info!("reserves no rate of {tenants} tenants: {linked} of {counted} proxies are linked");
        }
    }

    /// The metrics of quota allocation, and of what delays it.
    pub(super) fn quota_metrics(&self, now: Micros) -> Vec<Metric> {
        let held: Vec<&QuotaAllocator> = self.held_allocators(now).collect();
        let reserved_shares: Vec<f64> = held.iter().map(|allocator| allocator.reserved_share(now)).collect();
        let reserving = reserved_shares.iter().filter(|share| **share > 0.0).count();
        let rate: f64 = held.iter().map(|allocator| allocator.quota().rate).sum();
        let reserved = held.iter().zip(&reserved_shares).map(|(held, share)| held.quota().rate * share);
        let reserved_ratio = if rate > 0.0 { reserved.sum::<f64>() / rate } else { 0.0 };
        let lowest_level = held.iter().map(|allocator| allocator.level()).reduce(f64::min).unwrap_or(0.0);
        let gap = now.saturating_sub(self.last_tick);
        // A registry that does not run its periodic work may still answer messages.
        let stalled = self.counters.stalled_time + if gap > CALL_STALL_THRESHOLD { gap } else { 0 };
        vec![
            Metric::new("registry_quota_tenants", held.len() as f64),
            Metric::new("registry_quota_tenants_reserving", reserving as f64),
            Metric::new("registry_quota_reserved_ratio", reserved_ratio),
            Metric::new("registry_quota_lowest_level_units", lowest_level),
            Metric::new("registry_proxies_counted", self.total_proxies() as f64),
            Metric::new("registry_duties_acquired_total", self.counters.slices_acquired as f64),
            Metric::flag("registry_epoch_settled", !self.duties.is_joint(now)),
            Metric::new("registry_stalled_seconds_total", stalled as f64 / 1e6),
        ]
    }

    /// Answers a proxy's lease requests.
    pub(super) fn grant_leases(
        &mut self,
        now: Micros,
        node: &str,
        requests: Vec<LeaseRequest>,
    ) -> Vec<TenantGrant> {
        let lacks_allocator = |request: &LeaseRequest| {
            !self.quota_duty.allocators.contains_key(&request.tenant)
                && self.duties.holds(now, slice_of(&request.tenant))
        };
        if requests.iter().any(lacks_allocator) {
            self.update_allocators(now);
        }
        self.counters.lease_requests += requests.len() as u64;
        let mut grants = Vec::with_capacity(requests.len());
        for request in requests {
            let grant = self.grant_lease(now, node, &request);
            if request.wanted >= 1.0 {
                grants.push(TenantGrant { tenant: request.tenant, grant });
            }
        }
        grants
    }

    /// Answers one lease request.
    fn grant_lease(&mut self, now: Micros, node: &str, request: &LeaseRequest) -> LeaseGrant {
        let slice = slice_of(&request.tenant);
        let Some(tenant) = self.table.tenant_by_name(&request.tenant) else { return LeaseGrant::NotOwner };
        if !self.duties.holds(now, slice) {
            self.counters.lease_requests_misdirected += 1;
            return LeaseGrant::NotOwner;
        }
        let quota = quota_of(tenant);
        let fleet = self.fleet_of(&request.tenant);
        let AcquiredSlice { fencing_token, .. } =
            self.quota_duty.acquired.get(&slice).copied().unwrap_or_default();
        let mut usage = request.usage();
        if request.fencing_token != fencing_token {
            usage.returned = 0.0;
        }
        let allocators = &mut self.quota_duty.allocators;
        let allocator =
            allocators.entry(request.tenant.clone()).or_insert_with(|| QuotaAllocator::new(now, quota));
        let Allocation { units, share } = allocator.draw(now, node, fleet, &usage);
        match units {
            Ok(units) => {
                self.counters.units_leased += units as u64;
                let duration = self.config.quota_bounds.lease_duration(quota);
                LeaseGrant::Units { units, duration, fencing_token, share }
            }
            Err(Exhausted { retry_after }) => {
                self.counters.leases_exhausted += 1;
                LeaseGrant::Exhausted { retry_after, share }
            }
        }
    }
}
