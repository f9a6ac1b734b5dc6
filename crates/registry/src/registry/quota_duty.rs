//! The count of the tenants' quota units, for those tenants whose duty is here.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_admission::duty::{slice_of, DutyAction, SLICE_COUNT};
use pinerelay_admission::lease::{LeaseGrant, LeaseRequest};
use pinerelay_admission::quota::Quota;
use pinerelay_admission::quota_allocator::{Allocation, Exhausted, QuotaAllocator};
use pinerelay_admission::Micros;
use pinerelay_config_state::resources::Tenant;
use pinerelay_peer_link::message::{PeerMessage, Role, TenantGrant};

use super::{Output, Registry};

/// An update that was sent before a duty was acquired has arrived after so long.
const UPDATE_DELAY: Micros = 5_000_000;
/// At the first start of the system nobody can have had a duty and lost it within the time of a promise.
const FIRST_START_PERIOD: Micros = 850_000;

fn quota_of(tenant: &Tenant) -> Quota {
    Quota { rate: tenant.rate, burst: tenant.burst }
}

/// A slice that this registry acts for.
#[derive(Debug, Clone, Copy, Default)]
struct AcquiredSlice {
    fencing_token: u64,
    at: Micros,
}

/// The counts of this registry.
#[derive(Debug, Default)]
pub(super) struct QuotaDuty {
    /// How many slices it acted for when that was logged last.
    logged_slices: usize,
    /// By slice.
    acquired: BTreeMap<usize, AcquiredSlice>,
    /// By tenant.
    allocators: BTreeMap<String, QuotaAllocator>,
    /// When each tenant came, if that was after this process had the complete configuration; otherwise 0.
    first_seen: BTreeMap<String, Micros>,
}

impl QuotaDuty {
    /// A proxy is missing.
    pub(super) fn proxy_missing(&mut self, now: Micros, node: &str, since: Micros) {
        self.allocators.values_mut().for_each(|allocator| allocator.proxy_missing(now, node, since));
    }

    /// A missing proxy is heard again.
    pub(super) fn proxy_returned(&mut self, now: Micros, node: &str) {
        self.allocators.values_mut().for_each(|allocator| allocator.proxy_returned(now, node));
    }

    /// A proxy's process has ended.
    pub(super) fn proxy_ended(&mut self, now: Micros, node: &str) {
        self.allocators.values_mut().for_each(|allocator| allocator.proxy_ended(now, node));
    }
}

impl Registry {
    /// Duties follow the registries that are alive.
    pub(super) fn update_duties(&mut self, now: Micros, out: &mut Vec<Output>) {
        let alive: BTreeSet<String> = self.registry_connections().into_keys().collect();
        let mut actions = Vec::new();
        self.duties.tick(now, alive, &mut actions);
        self.carry_out_duty_actions(now, actions, out);
        let held = self.duties.held_count(now);
        if held != self.quota_duty.logged_slices {
            log::info!("acts for {held} of {SLICE_COUNT} slices of the tenants");
            self.quota_duty.logged_slices = held;
        }
        self.update_allocators(now);
    }

    pub(super) fn carry_out_duty_actions(
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
                DutyAction::Acquired(slice) => self.slice_acquired(now, slice),
            }
        }
    }

    /// What the earlier holder of a slice has granted is not known.
    fn slice_acquired(&mut self, now: Micros, slice: usize) {
        let number = self.next_number();
        let fencing_token = self.config.hello.process_id.wrapping_add(number);
        self.quota_duty.acquired.insert(slice, AcquiredSlice { fencing_token, at: now });
        self.quota_duty.allocators.retain(|tenant, _| slice_of(tenant) != slice);
    }

    /// Creates the counts of tenants whose duty is here, before they are asked for, and follows changed quotas.
    fn update_allocators(&mut self, now: Micros) {
        self.note_new_tenants(now);
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

    fn note_new_tenants(&mut self, now: Micros) {
        // What came with the complete configuration may be older than this process.
        let first_seen = if self.is_complete { now } else { 0 };
        for tenant in self.table.tenants() {
            if !self.quota_duty.first_seen.contains_key(&tenant.name) {
                self.quota_duty.first_seen.insert(tenant.name.clone(), first_seen);
            }
        }
    }

    /// A count begins without units, unless its tenant is new and nobody can have granted any.
    fn new_allocator(&self, now: Micros, tenant: &Tenant) -> QuotaAllocator {
        let acquired = self.quota_duty.acquired.get(&slice_of(&tenant.name));
        let acquired_at = acquired.map_or(now, |slice| slice.at);
        let first_seen = self.quota_duty.first_seen.get(&tenant.name).copied().unwrap_or(0);
        // The duty may have changed hands before the update arrived that brought the tenant.
        let is_new_tenant = first_seen > acquired_at.saturating_add(UPDATE_DELAY);
        let is_first_duty = self.config.first_start && acquired_at < FIRST_START_PERIOD;
        if is_new_tenant || is_first_duty {
            QuotaAllocator::full(now, quota_of(tenant))
        } else {
            QuotaAllocator::new(now, quota_of(tenant))
        }
    }

    /// Whether proxies are cut off that a tenant's count has never heard of: an earlier count may have granted them a share.
    fn has_strangers(&self, tenant: &str) -> bool {
        let allocator = self.quota_duty.allocators.get(tenant);
        let is_known = |node: &String| allocator.is_some_and(|allocator| allocator.knows(node));
        let elsewhere = self.total_proxies().saturating_sub(self.known_proxies());
        // Until its machine's store has told what it kept, a registry does not know who was cut off when it started.
        let knows_earlier_proxies = self.proxies.stored.is_some();
        !knows_earlier_proxies || elsewhere > 0 || self.proxies.missing.keys().any(|node| !is_known(node))
    }

    /// Counts that have heard of every proxy since they began reserve nothing for others.
    pub(super) fn release_reserved_shares(&mut self, now: Micros) {
        let linked = self.peers.values().filter(|hello| hello.role == Role::Proxy).map(|hello| &hello.node);
        let nodes: BTreeSet<&String> = linked.chain(self.proxies.missing.keys()).collect();
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

    /// Answers a proxy's lease requests.
    pub(super) fn grant_leases(
        &mut self,
        now: Micros,
        node: &str,
        requests: Vec<LeaseRequest>,
    ) -> Vec<TenantGrant> {
        let has_allocator = |request: &LeaseRequest| self.quota_duty.allocators.contains_key(&request.tenant);
        if !requests.iter().all(has_allocator) {
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

    fn grant_lease(&mut self, now: Micros, node: &str, request: &LeaseRequest) -> LeaseGrant {
        let slice = slice_of(&request.tenant);
        let Some(tenant) = self.table.tenant_by_name(&request.tenant) else { return LeaseGrant::NotOwner };
        if !self.duties.holds(now, slice) {
            self.counters.lease_requests_misdirected += 1;
            return LeaseGrant::NotOwner;
        }
        let quota = quota_of(tenant);
        let has_strangers = self.has_strangers(&request.tenant);
        let AcquiredSlice { fencing_token, .. } =
            self.quota_duty.acquired.get(&slice).copied().unwrap_or_default();
        let mut usage = request.usage();
        if request.fencing_token != fencing_token {
            usage.returned = 0.0;
        }
        let allocators = &mut self.quota_duty.allocators;
        let allocator =
            allocators.entry(request.tenant.clone()).or_insert_with(|| QuotaAllocator::new(now, quota));
        let Allocation { units, share } = allocator.draw(now, node, has_strangers, &usage);
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
