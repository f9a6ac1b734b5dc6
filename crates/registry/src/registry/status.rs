//! What a registry reports of itself: its status, its metrics, and what it sends at each interval.

use pinerelay_admission::Micros;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{Key, Kind};
use pinerelay_peer_link::message::{Metric, PeerMessage, RegistryStatus, Role};

use super::{Output, Registry};

/// What a registry counts.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Counters {
    pub heartbeats: u64,
    /// Heartbeats that were not acknowledged, as no majority was reached.
    pub heartbeats_rejected: u64,
    /// Gaps between two ticks in which calls and updates waited.
    pub stalls: u64,
    /// Lease requests of proxies, for one tenant each.
    pub lease_requests: u64,
    /// Those of them for which the duty is not here.
    pub lease_requests_misdirected: u64,
    pub units_leased: u64,
    /// Lease requests for which no unit was left.
    pub leases_exhausted: u64,
    /// Deregistrations that no other registry has held.
    pub deregistrations_rejected: u64,
    pub servers_lost: u64,
}

impl Registry {
    pub(super) fn status(&self, now: Micros) -> RegistryStatus {
        let mut registries: Vec<String> = self.registry_connections().into_keys().collect();
        registries.push(self.config.hello.ip.clone());
        registries.sort();
        RegistryStatus {
            registries,
            voters: self.voters.clone(),
            epoch: self.duties.epoch(),
            epoch_settled: !self.duties.is_joint(now),
            proxies: self.known_proxies() as u32,
            has_majority: self.majority.is_reached(),
            is_complete: self.is_complete,
            is_current: self.is_current(now),
        }
    }

    /// Sends what is due at each status interval.
    pub(super) fn send_periodic(&mut self, now: Micros, out: &mut Vec<Output>) {
        let proxies = self.connections_of(Role::Proxy);
        let registries: Vec<_> = self.registry_connections().into_values().collect();
        let all = proxies.iter().chain(&registries).copied().collect();
        out.push(Output::Broadcast(all, PeerMessage::RegistryStatus(self.status(now))));
        out.push(Output::Broadcast(registries.clone(), PeerMessage::Digests(self.digests())));
        self.send_digests_to_proxies(proxies, out);
        // Two registries that connect to each other have two links, and each may send its messages on another one. A link on
        // which an end hears nothing is closed there.
        let mut unused = self.connections_of(Role::Registry);
        unused.retain(|connection| !registries.contains(connection));
        out.push(Output::Broadcast(unused, PeerMessage::KeepAlive));
        self.forget_expired_servers(now);
        self.send_proxy_places(out);
        self.release_reserved_shares(now);
        let stores = self.connections_of(Role::ConfigStore);
        out.push(Output::Broadcast(stores, PeerMessage::ConfirmCurrent(now)));
        let heartbeats = self.heartbeats_seen_here(now);
        out.push(Output::Broadcast(registries, PeerMessage::HeartbeatsSeen(heartbeats)));
        let own_store = self.own_store().into_iter().collect();
        out.push(Output::Broadcast(own_store, PeerMessage::Digests(self.digests())));
    }

    fn forget_expired_servers(&mut self, now: Micros) {
        let time_of_day = self.time_of_day(now);
        self.runtime_items_mut().remove_if(|item| Server::is_expired_tombstone(item, time_of_day));
        let [_, items] = &self.realms;
        self.endpoints.retain_replicated(|id| items.get(&Key::new(Kind::Server, id)).is_some());
    }

    fn servers_in_state(&self, state: ServerState) -> f64 {
        let servers = self.runtime_items().live(Kind::Server).filter_map(|(_, value)| Server::decode(value));
        servers.filter(|server| server.state == state).count() as f64
    }

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
            Metric::new("registry_proxies", self.linked_proxies() as f64),
            Metric::new("registry_proxies_missing", self.proxies.missing.len() as f64),
            Metric::flag("registry_majority", self.majority.is_reached()),
            Metric::flag("registry_complete", self.is_complete),
            Metric::flag("registry_current", self.is_current(now)),
            Metric::new("registry_not_current_seconds", seconds(self.lease.ended_for(now))),
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
        metrics.extend(self.rollout_duty.metrics());
        metrics
    }
}
