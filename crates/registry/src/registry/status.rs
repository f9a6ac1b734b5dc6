//! The status and metrics of a registry, and the messages that it sends periodically.

use pinerelay_admission::Micros;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{Key, Kind};
use pinerelay_peer_link::message::{Metric, PeerMessage, RegistryStatus, Role};

use super::{Output, Registry};

/// The event counters of a registry.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Counters {
    /// All heartbeats of servers.
    pub heartbeats: u64,
    /// Calls of servers that were answered with 503, as no majority was reached.
    pub heartbeats_rejected: u64,
    /// Gaps between two ticks longer than [`super::CALL_STALL_THRESHOLD`].
    pub stalls: u64,
    /// The time in these gaps.
    pub stalled_time: Micros,
    /// Slices of tenants that were acquired, with new allocators.
    pub slices_acquired: u64,
    /// Lease requests of proxies, counted per tenant.
    pub lease_requests: u64,
    /// Lease requests for tenants whose duty is not held here.
    pub lease_requests_misdirected: u64,
    /// Quota units granted in leases.
    pub units_leased: u64,
    /// Lease requests that got no units as the quota was exhausted.
    pub leases_exhausted: u64,
    /// Deregistrations that no other registry acknowledged.
    pub deregistrations_rejected: u64,
    /// Servers that this registry has marked as lost.
    pub servers_lost: u64,
}

impl Registry {
    /// The status that is sent to registries and proxies.
    pub(super) fn status(&self, now: Micros) -> RegistryStatus {
        let mut registries: Vec<String> = self.registry_connections().into_keys().collect();
        registries.push(self.config.hello.ip.clone());
        registries.sort();
        RegistryStatus {
            registries,
            voters: self.voters.clone(),
            epoch: self.duties.epoch(),
            epoch_settled: !self.duties.is_joint(now),
            proxies: self.proxies.set.known_count() as u32,
            has_majority: self.majority.is_reached(),
            is_complete: self.is_complete,
            is_current: self.is_current(now),
        }
    }

    /// Sends the messages that are due at each [`super::STATUS_INTERVAL`].
    pub(super) fn send_periodic(&mut self, now: Micros, out: &mut Vec<Output>) {
        let proxies = self.connections_of(Role::Proxy);
        let registries: Vec<_> = self.registry_connections().into_values().collect();
        let all = proxies.iter().chain(&registries).copied().collect();
        out.push(Output::Broadcast(all, PeerMessage::RegistryStatus(self.status(now))));
        out.push(Output::Broadcast(registries.clone(), PeerMessage::Digests(self.digests())));
        self.send_digests_to_proxies(proxies, out);
        // Two registries that connect to each other have two links, and each may choose a different one to send on. An end closes
        // a link on which it receives nothing.
        let mut unused = self.connections_of(Role::Registry);
        unused.retain(|connection| !registries.contains(connection));
        out.push(Output::Broadcast(unused, PeerMessage::KeepAlive));
        self.remove_expired_tombstones(now);
        self.send_proxy_positions(out);
        self.release_reserved_shares(now);
        self.report_reservations(now);
        let stores = self.connections_of(Role::ConfigStore);
        out.push(Output::Broadcast(stores, PeerMessage::ConfirmCurrent(now)));
        let heartbeats = self.heartbeats_seen_here(now);
        out.push(Output::Broadcast(registries, PeerMessage::HeartbeatsSeen(heartbeats)));
        let own_store = self.own_store().into_iter().collect();
        out.push(Output::Broadcast(own_store, PeerMessage::Digests(self.digests())));
    }

    /// Removes the expired tombstones of servers.
    fn remove_expired_tombstones(&mut self, now: Micros) {
        let time_of_day = self.time_of_day(now);
        self.runtime_items_mut().remove_if(|item| Server::is_expired_tombstone(item, time_of_day));
        let [_, items] = &self.realms;
        self.endpoints.retain_replicated(|id| items.get(&Key::new(Kind::Server, id)).is_some());
    }

    /// The number of servers in a state.
    fn servers_in_state(&self, state: ServerState) -> f64 {
        let servers = self.runtime_items().live(Kind::Server).filter_map(|(_, value)| Server::decode(value));
        servers.filter(|server| server.state == state).count() as f64
    }

    /// The metrics of the state machine.
    pub(super) fn metrics(&self, now: Micros) -> Vec<Metric> {
        let seconds = |duration: Micros| duration as f64 / 1e6;
        let Counters { heartbeats, heartbeats_rejected, units_leased, leases_exhausted, .. } = self.counters;
        let Counters { deregistrations_rejected, servers_lost, stalls, .. } = self.counters;
        let Counters { lease_requests, lease_requests_misdirected, .. } = self.counters;
        let pending = self.endpoints.pending_deregistrations();
        let update_age = seconds(now.saturating_sub(self.last_equal));
        let mut metrics = vec![
            Metric::new("registry_servers_ready", self.servers_in_state(ServerState::Ready)),
            Metric::new("registry_servers_draining", self.servers_in_state(ServerState::Draining)),
            Metric::new("registry_servers_lost", self.servers_in_state(ServerState::Lost)),
            Metric::new("registry_proxies", self.proxies.set.linked_count() as f64),
            Metric::new("registry_proxies_missing", self.proxies.set.missing().len() as f64),
            Metric::flag("registry_majority", self.majority.is_reached()),
            Metric::flag("registry_complete", self.is_complete),
            Metric::flag("registry_current", self.is_current(now)),
            Metric::new("registry_not_current_seconds", seconds(self.lease.time_since_expiry(now))),
            Metric::new("registry_epoch", self.duties.epoch() as f64),
            Metric::new("registry_heartbeats_rejected_total", heartbeats_rejected as f64),
            Metric::new("registry_deregistrations_pending", pending as f64),
            Metric::new("registry_deregistrations_rejected_total", deregistrations_rejected as f64),
            Metric::new("registry_servers_lost_total", servers_lost as f64),
            Metric::new("registry_update_age_seconds", update_age),
            Metric::new("registry_duties", self.duties.held_count(now) as f64),
            Metric::new("registry_heartbeats_total", heartbeats as f64),
            Metric::new("registry_calls_forwarded_total", self.calls.total as f64),
            Metric::new("registry_stalls_total", stalls as f64),
            Metric::new("registry_lease_requests_total", lease_requests as f64),
            Metric::new("registry_lease_requests_misdirected_total", lease_requests_misdirected as f64),
            Metric::new("registry_units_leased_total", units_leased as f64),
            Metric::new("registry_leases_exhausted_total", leases_exhausted as f64),
        ];
        metrics.extend(self.quota_metrics(now));
        metrics.extend(self.rollout_duty.metrics());
        metrics
    }
}
