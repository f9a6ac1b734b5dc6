//! Requests leases of quota units, each from the registry that owns the tenant's slice.
//!
//! At most two messages that request units are unanswered on a link. Requests that become due meanwhile share the next one, and a
//! registry that does not answer gets further ones ever more rarely. So what waits in a registry's queue goes by the number of
//! proxies, however many tenants and clients there are.

use std::cell::{Cell, OnceCell};
use std::collections::BTreeMap;

use pinerelay_admission::duty::{slice_of, slice_owner, PROMISE_DURATION, SLICE_COUNT};
use pinerelay_admission::lease::{LeaseGrant, LeaseRequest};
use pinerelay_admission::lease_cache::Permission;
use pinerelay_admission::Micros;
use pinerelay_config_state::hash::rendezvous_order;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{PeerMessage, TenantGrant};

use super::registry_link::RegistryLink;
use super::{Output, Subscriber};

/// Which registry to ask for leases of the tenants of a slice.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SliceRoute {
    /// The registry that last answered as the owner of the slice.
    owner: Option<ConnectionId>,
    /// Without a known owner: the number of candidates that have answered that they are not the owner.
    misdirected: usize,
}

/// A registry that has been silent for this long is not asked for leases, in microseconds. If it lost power after its last message,
/// the promises of its duties have expired. Registries send a message every 0.6 s.
const OWNER_SILENCE_LIMIT: Micros = PROMISE_DURATION;
/// A proxy is reported as cut off once the lease requests of one in this many tenants fail.
const CUT_OFF_REPORT_DIVISOR: usize = 2;
/// It is reported as answered again once no more than one in this many still fail.
const ANSWERED_REPORT_DIVISOR: usize = 10;

impl Subscriber {
    /// Logs when the lease requests of many tenants begin to fail, and when they no longer do.
    pub(super) fn report_cut_off(&mut self, now: Micros) {
        let (tenants, cut_off) = (self.leases.tenants(), self.leases.tenants_cut_off(now));
        if !self.logged_cut_off && cut_off > 0 && cut_off * CUT_OFF_REPORT_DIVISOR >= tenants {
            log::warn!(
                "lease requests of {cut_off} of {tenants} tenants fail, {} registries are linked",
                self.registries.len()
            );
            self.logged_cut_off = true;
        } else if self.logged_cut_off && cut_off * ANSWERED_REPORT_DIVISOR <= tenants {
            log::info!("lease requests are answered again, those of {cut_off} of {tenants} tenants fail");
            self.logged_cut_off = false;
        }
    }

    /// Sends the lease requests that are due, except to registries that have too many unanswered ones.
    pub(super) fn request_leases(&mut self, now: Micros, out: &mut Vec<Output>) {
        let (contact, registries, routes) = (self.contact(), &self.registries, &self.slice_routes);
        let alive = OnceCell::new();
        let by_slice: [Cell<Option<Permission>>; SLICE_COUNT] = Default::default();
        let requests = self.leases.lease_requests_if(now, |tenant| {
            let slice = slice_of(tenant);
            by_slice[slice].get().unwrap_or_else(|| {
                let alive = alive.get_or_init(|| alive_registries(registries, contact));
                let owner = presumed_owner(routes, slice, alive).and_then(|owner| registries.get(&owner));
                let permission = owner.map_or(Permission::Granted, |owner| owner.lease_permission(now));
                by_slice[slice].set(Some(permission));
                permission
            })
        });
        if requests.is_empty() {
            return;
        }
        let alive = alive.into_inner().unwrap_or_else(|| self.alive_registries());
        let mut by_connection: BTreeMap<ConnectionId, Vec<LeaseRequest>> = BTreeMap::new();
        for request in requests {
            let owner = self.owner_of(&request.tenant, &alive);
            if request.is_spending_share() {
                // The actual owner may be another registry than the one asked, so units spent from a share are reported to all.
                let report = LeaseRequest { wanted: 0.0, returned: 0.0, ..request.clone() };
                for other in self.registries.keys().filter(|other| Some(**other) != owner) {
                    by_connection.entry(*other).or_default().push(report.clone());
                }
            }
            match owner {
                Some(owner) => by_connection.entry(owner).or_default().push(request),
                None => self.leases.no_owner_reached(now, &request.tenant),
            }
        }
        for (connection, requests) in by_connection {
            let asks = requests.iter().any(|request| request.wanted >= 1.0);
            self.update_registry(connection, |registry| registry.lease_message_sent(now, asks));
            out.push(Output::Send(connection, PeerMessage::LeaseRequests(requests)));
        }
    }

    /// The linked registries that may be asked for leases, by address.
    fn alive_registries(&self) -> BTreeMap<String, ConnectionId> {
        alive_registries(&self.registries, self.contact())
    }

    /// What silence is judged by.
    fn contact(&self) -> Contact {
        Contact { since: self.in_contact_since, handled_until: self.handled_until }
    }

    /// Records that a message of a registry is handled. Once all have been silent, each gets the time to be heard again.
    pub(super) fn record_registry_message(&mut self, now: Micros, connection: ConnectionId) {
        if now >= self.last_registry_message + OWNER_SILENCE_LIMIT {
            self.in_contact_since = now;
        }
        self.last_registry_message = now;
        self.update_registry(connection, |registry| registry.last_message = now);
    }

    /// Returns the registry that presumably owns the tenant's slice.
    fn owner_of(&self, tenant: &str, alive: &BTreeMap<String, ConnectionId>) -> Option<ConnectionId> {
        presumed_owner(&self.slice_routes, slice_of(tenant), alive)
    }

    /// Records whether a registry owns the slice of a tenant. Further replies of a registry that is no longer the one to ask say
    /// nothing about the next candidate.
    fn record_owner(&mut self, tenant: &str, connection: ConnectionId, is_owner: bool) {
        let slice = slice_of(tenant);
        let route = self.slice_routes.get(&slice).copied().unwrap_or_default();
        let route = if is_owner {
            SliceRoute { owner: Some(connection), misdirected: 0 }
        } else if route.owner == Some(connection) {
            SliceRoute::default()
        } else if self.owner_of(tenant, &self.alive_registries()) == Some(connection) {
            SliceRoute { misdirected: route.misdirected + 1, ..route }
        } else {
            return;
        };
        self.slice_routes.insert(slice, route);
    }

    /// Handles a registry's reply to lease requests.
    pub(super) fn on_lease_grants(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        grants: Vec<TenantGrant>,
        out: &mut Vec<Output>,
    ) {
        let registry = self.registries.get_mut(&connection);
        let requested_at = registry.and_then(RegistryLink::lease_message_answered);
        let Some(requested_at) = requested_at else { return out.push(Output::Close(connection)) };
        for TenantGrant { tenant, grant } in grants {
            self.record_owner(&tenant, connection, grant != LeaseGrant::NotOwner);
            let decisions = self.leases.granted(now, requested_at, &tenant, grant);
            out.extend(decisions.into_iter().map(Output::Decided));
        }
        self.request_leases(now, out);
    }
}

/// Returns the registry that presumably owns a slice: the one that last answered as its owner, and otherwise the
/// candidates in rendezvous order. Registries may view each other differently, or may not be eligible yet after a change of
/// voters, so each `NotOwner` reply moves on to the next candidate. The owner is remembered while it is silent, until another
/// registry answers as the owner: it may have kept its duty.
fn presumed_owner(
    routes: &BTreeMap<usize, SliceRoute>,
    slice: usize,
    alive: &BTreeMap<String, ConnectionId>,
) -> Option<ConnectionId> {
    let route = routes.get(&slice).copied().unwrap_or_default();
    if let Some(owner) = route.owner.filter(|owner| alive.values().any(|connection| connection == owner)) {
        return Some(owner);
    }
    let candidates = rendezvous_order(&format!("duty-{slice}"), alive.keys());
    debug_assert!(candidates.first().copied() == slice_owner(slice, alive.keys()));
    candidates.get(route.misdirected % candidates.len().max(1)).map(|name| alive[*name])
}

/// What the silence of registries is judged by.
#[derive(Debug, Clone, Copy)]
struct Contact {
    /// Since when the registries have not all been silent at once.
    since: Micros,
    /// Messages that had arrived by then have been handled.
    handled_until: Micros,
}

impl Contact {
    /// Whether a registry has been silent for [`OWNER_SILENCE_LIMIT`] among the handled messages, while others were not.
    fn is_silent(self, registry: &RegistryLink) -> bool {
        let since = registry.last_message.max(self.since);
        self.handled_until >= since + OWNER_SILENCE_LIMIT
    }
}

/// The linked registries that report a majority and are not silent, by address. If all of them are silent, the proxy itself is
/// probably cut off, and silence says nothing about a single registry: then all that report a majority.
fn alive_registries(
    registries: &BTreeMap<ConnectionId, RegistryLink>,
    contact: Contact,
) -> BTreeMap<String, ConnectionId> {
    let heard = majority_registries(registries, |registry| !contact.is_silent(registry));
    if heard.is_empty() {
        return majority_registries(registries, |_| true);
    }
    heard
}

/// The linked registries that report a majority and meet a condition, by address.
fn majority_registries(
    registries: &BTreeMap<ConnectionId, RegistryLink>,
    condition: impl Fn(&RegistryLink) -> bool,
) -> BTreeMap<String, ConnectionId> {
    let registries = registries.iter().filter(|(_, registry)| registry.has_majority() && condition(registry));
    registries.map(|(&connection, registry)| (registry.hello.ip.clone(), connection)).collect()
}
