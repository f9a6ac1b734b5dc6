//! The proxy's side of the protocol with the registries: replication of configuration and servers, and quota leases. A state
//! machine without clock or sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pinerelay_admission::lease_cache::{Decision, LeaseCache, RequestId};
use pinerelay_admission::quota::Quota;
use pinerelay_admission::Micros;
use pinerelay_config_state::hash::rendezvous_order;
use pinerelay_config_state::routing_table::RoutingTable;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{Item, ItemSet, Kind};
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{
    Hello, PeerMessage, RegistryStatus, Role, CONFIG_REALM, LEASE_DURATION, MIN_REGISTRIES_PER_PROXY,
    RUNTIME_REALM, UNDERSTANDS_ROLLOUTS,
};
use pinerelay_rollout::report::RolloutPermit;

mod completeness;
mod leases;
mod registry_link;
mod sync;

use leases::SliceRoute;
pub use pinerelay_admission::lease_cache::Admission;
use registry_link::{Confirmation, RegistryLink};
use sync::Exchange;

/// Interval at which the digests of the replica are sent, in microseconds.
const DIGEST_INTERVAL: Micros = 600_000;
/// Interval at which keep-alive messages are sent, in microseconds: the registries reserve the quota share of a silent proxy.
const KEEPALIVE_INTERVAL: Micros = 200_000;
/// Maximum time for which a possibly partial update is withheld, except for the first table. After a partition a proxy is allowed
/// more time than this, from reconnection, to activate what was acknowledged meanwhile. In microseconds.
const WITHHOLD_LIMIT: Micros = 1_000_000;

/// An effect that the caller carries out.
#[derive(Debug)]
pub enum Output {
    /// Send a message on a connection.
    Send(ConnectionId, PeerMessage),
    /// Close a connection on which the peer violated the protocol.
    Close(ConnectionId),
    /// Activate this configuration.
    Configured(Arc<RoutingTable>),
    /// A server has changed; `None` if it no longer accepts requests.
    ServerChanged(String, Option<Server>),
    /// The admission decision for a request that waited for a quota unit.
    Decided(Decision),
    /// A registry permits requests to new versions.
    Permitted(Vec<RolloutPermit>),
    /// The position of this proxy among all proxies has changed.
    PositionChanged {
        /// Its index, from 0.
        index: u32,
        /// The number of proxies.
        proxies: u32,
    },
}

/// The index of this proxy among all proxies, and their number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Position {
    index: u32,
    proxies: u32,
}

/// The proxy's replica of the configuration and the servers, and its quota leases.
pub struct Subscriber {
    own_hello: Hello,
    /// Registry addresses from the settings file.
    seeds: Vec<String>,
    /// Registry addresses learned from the registries.
    known_registries: BTreeSet<String>,
    /// The configuration items, and the runtime items.
    realms: [ItemSet; 2],
    /// The routing table built from the configuration items.
    table: Arc<RoutingTable>,
    /// Whether the table contains changes that are not active yet.
    is_unpublished: bool,
    /// Whether the active table has routes.
    is_serving: bool,
    /// Since when the table may contain only a part of an operator's update: items arrived through anti-entropy, and no registry
    /// has reported the same configuration yet.
    partial_since: Option<Micros>,
    leases: LeaseCache,
    /// Whether it was last logged that this proxy is cut off from the allocators.
    logged_cut_off: bool,
    /// The linked registries.
    registries: BTreeMap<ConnectionId, RegistryLink>,
    /// When the last message of any registry was handled.
    last_registry_message: Micros,
    /// Since when the registries have not all been silent at once.
    in_contact_since: Micros,
    /// The anti-entropy exchange in progress.
    exchange: Option<Exchange>,
    /// Whether the replica has once been equal to the configuration of a registry that was complete and current.
    is_complete: bool,
    /// Since when no linked registry has been current, although one is complete.
    no_current_since: Option<Micros>,
    /// Whether the proxy started to serve its configuration although no registry was current.
    is_unconfirmed: bool,
    /// Whether a registry has once reported a majority, so that quota units are being granted.
    has_seen_majority: bool,
    position: Position,
    /// By slice: which registry to ask for leases.
    slice_routes: BTreeMap<usize, SliceRoute>,
    /// When the digests last matched those of a registry.
    last_in_sync: Micros,
    /// When the digests are sent next.
    next_digests: Micros,
    /// When keep-alive messages are sent next.
    next_keepalive: Micros,
    /// When the last tick was handled.
    last_tick: Micros,
    /// How long messages may have been waiting at the last tick to be handled; 0 if none were.
    backlog: Micros,
    /// Up to this time all messages have been handled that had arrived, as the last tick found. The silence of registries is judged
    /// up to it, also between ticks: after a stall clients' requests may be handled before messages.
    handled_until: Micros,
}

impl Subscriber {
    /// Creates a subscriber with an empty replica and no connections.
    pub fn new(now: Micros, own_hello: Hello, seeds: Vec<String>) -> Subscriber {
        Subscriber {
            own_hello,
            seeds,
            known_registries: BTreeSet::new(),
            realms: Default::default(),
            table: Arc::default(),
            is_unpublished: false,
            is_serving: false,
            partial_since: None,
            leases: LeaseCache::new(),
            logged_cut_off: false,
            registries: BTreeMap::new(),
            last_registry_message: now,
            in_contact_since: now,
            exchange: None,
            is_complete: false,
            no_current_since: None,
            is_unconfirmed: false,
            has_seen_majority: false,
            position: Position { index: 0, proxies: 1 },
            slice_routes: BTreeMap::new(),
            last_in_sync: now,
            next_digests: now,
            next_keepalive: now,
            last_tick: now,
            backlog: 0,
            handled_until: now,
        }
    }

    /// Replaces the seed addresses after a change of the settings file.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// Returns the registries to connect to: the voters, and others in rendezvous order while too few of these are linked.
    pub fn wanted_registries(&self) -> Vec<String> {
        let known: BTreeSet<&String> = self.seeds.iter().chain(&self.known_registries).collect();
        let statuses = self.registries.values().filter_map(|registry| registry.status.as_ref());
        let newest = statuses.max_by_key(|status| (status.epoch, status.voters.len()));
        let voters: Vec<&String> = newest.into_iter().flat_map(|status| &status.voters).collect();
        let others = known.into_iter().filter(|ip| !voters.contains(ip));
        let others = rendezvous_order(&self.own_hello.node, others);
        // Unreachable registries are not counted, so that they do not reduce the number of working links.
        let linked: BTreeSet<&String> = self.registries.values().map(|registry| &registry.hello.ip).collect();
        let mut wanted: Vec<String> = voters.iter().map(|ip| (*ip).clone()).collect();
        for ip in others {
            let reached = wanted.iter().filter(|ip| linked.contains(ip)).count();
            if reached < MIN_REGISTRIES_PER_PROXY {
                wanted.push(ip.clone());
            }
        }
        wanted
    }

    /// Whether the proxy has a complete configuration and has once seen a registry with a majority, which grants quota units; or
    /// whether it serves unconfirmed. Stays true once reached: a disconnected proxy spends its quota shares.
    pub fn can_serve(&self) -> bool {
        self.is_complete && self.has_seen_majority || self.is_unconfirmed
    }

    /// Whether the proxy serves a configuration that no registry has confirmed as current.
    pub fn serves_unconfirmed(&self) -> bool {
        self.is_unconfirmed && !self.is_complete
    }

    /// The configuration items, and the runtime items.
    pub fn realms(&self) -> &[ItemSet; 2] {
        &self.realms
    }

    fn config_items(&self) -> &ItemSet {
        &self.realms[usize::from(CONFIG_REALM)]
    }

    /// The number of proxies that share the tenants' quotas.
    pub fn proxies(&self) -> usize {
        self.position.proxies.max(1) as usize
    }

    /// The quota leases held by this proxy.
    pub fn leases(&self) -> &LeaseCache {
        &self.leases
    }

    /// The connections to registries.
    pub fn connections(&self) -> Vec<ConnectionId> {
        self.registries.keys().copied().collect()
    }

    /// The number of linked registries.
    pub fn linked_registries(&self) -> usize {
        self.registries.len()
    }

    /// The time since the replica was last known to be equal to that of a registry.
    pub fn update_age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_in_sync)
    }

    /// Handles a new connection.
    pub fn connected(&mut self, connection: ConnectionId, out: &mut Vec<Output>) {
        out.push(Output::Send(connection, PeerMessage::Hello(self.own_hello.clone())));
    }

    /// Handles the loss of a connection.
    pub fn disconnected(&mut self, connection: ConnectionId) {
        if let Some(registry) = self.registries.remove(&connection) {
            let left = self.registries.len();
            log::info!("the link to registry {} has closed, {left} are linked", registry.hello.ip);
        }
    }

    /// Admits a request of a tenant, rejects it, or lets it wait for a lease.
    pub fn admit(
        &mut self,
        now: Micros,
        tenant: &str,
        quota: Quota,
        id: RequestId,
        out: &mut Vec<Output>,
    ) -> Admission {
        let admission = self.leases.admit(now, tenant, quota, id);
        self.request_leases(now, out);
        admission
    }

    /// Cancels a waiting request whose client has disconnected.
    pub fn cancel(&mut self, tenant: &str, id: RequestId) {
        self.leases.cancel(tenant, id);
    }

    /// Handles a message received on a connection.
    pub fn receive(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::Hello(hello) => self.on_hello(now, connection, hello, out),
            message if self.registries.contains_key(&connection) => {
                self.record_registry_message(now, connection);
                self.dispatch(now, connection, message, out);
            }
            _ => out.push(Output::Close(connection)),
        }
        self.publish(now, out);
    }

    /// Registers a link to a registry and sends it the digests; closes connections from other roles, except observers.
    fn on_hello(&mut self, now: Micros, connection: ConnectionId, hello: Hello, out: &mut Vec<Output>) {
        if hello.role == Role::Observer {
            // An observer only requests metrics.
            return;
        }
        // Only registries are accepted, and each connection carries a single `Hello`.
        if hello.role != Role::Registry || self.registries.contains_key(&connection) {
            return out.push(Output::Close(connection));
        }
        log::info!("linked to registry {}", hello.ip);
        self.known_registries.insert(hello.ip.clone());
        self.registries.insert(connection, RegistryLink::new(now, hello));
        self.record_registry_message(now, connection);
        out.push(Output::Send(connection, PeerMessage::Digests(self.digests())));
        out.push(Output::Send(connection, PeerMessage::ConfirmCurrent(UNDERSTANDS_ROLLOUTS)));
    }

    /// Handles a message other than `Hello` from a linked registry.
    fn dispatch(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::RegistryStatus(status) => self.on_registry_status(now, connection, status, out),
            PeerMessage::Current { asked_at, digest, lease_left, .. } if asked_at <= now => {
                let until = asked_at.saturating_add(lease_left.min(LEASE_DURATION));
                self.update_registry(connection, |registry| {
                    registry.confirmation = Some(Confirmation { digest, until });
                });
                self.check_complete(now);
            }
            PeerMessage::ProxyPlace { index, proxies } => self.on_position(Position { index, proxies }, out),
            PeerMessage::Update(items) => {
                self.merge(now, items, out);
            }
            PeerMessage::Digests(digests) => self.on_digests(now, connection, digests, out),
            PeerMessage::Sync { realm, items, parts } => {
                self.on_sync(now, connection, realm, items, &parts, out);
            }
            PeerMessage::LeaseGrants(grants) => self.on_lease_grants(now, connection, grants, out),
            PeerMessage::RolloutPermits(permits) => {
                // A permit that refers to a future report time would be valid for too long.
                let possible = permits.into_iter().filter(|permit| permit.sent_at <= now).collect();
                out.push(Output::Permitted(possible));
            }
            _ => {}
        }
    }

    /// Updates the state of a link, if it still exists.
    fn update_registry(&mut self, connection: ConnectionId, update: impl FnOnce(&mut RegistryLink)) {
        if let Some(registry) = self.registries.get_mut(&connection) {
            update(registry);
        }
    }

    /// Records a registry's status, and asks a registry that claims to be current to confirm it.
    fn on_registry_status(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        status: RegistryStatus,
        out: &mut Vec<Output>,
    ) {
        self.has_seen_majority |= status.has_majority;
        self.known_registries.extend(status.registries.iter().cloned());
        if status.is_current && !self.is_complete {
            out.push(Output::Send(connection, PeerMessage::ConfirmCurrent(now)));
        }
        self.update_registry(connection, |registry| registry.status = Some(status));
    }

    /// Applies a changed position of this proxy among all proxies.
    fn on_position(&mut self, position: Position, out: &mut Vec<Output>) {
        if self.position != position {
            self.position = position;
            let Position { index, proxies } = position;
            self.leases.set_proxies(proxies as usize);
            out.push(Output::PositionChanged { index, proxies });
        }
    }

    /// Merges items into the replica; returns whether any of them was new.
    fn merge(&mut self, now: Micros, items: Vec<Item>, out: &mut Vec<Output>) -> bool {
        let (mut has_new, mut has_new_config) = (false, false);
        for item in items {
            let is_config = item.key.kind.is_config();
            if !self.realms[usize::from(!is_config)].merge(item.clone()) {
                continue;
            }
            (has_new, has_new_config) = (true, has_new_config | is_config);
            if is_config {
                Arc::make_mut(&mut self.table).apply(&item);
            }
            if item.key.kind == Kind::Server {
                let server = item.value.as_deref().and_then(Server::decode);
                let is_present =
                    |server: &Server| !matches!(server.state, ServerState::Lost | ServerState::Gone);
                out.push(Output::ServerChanged(item.key.name, server.filter(is_present)));
            }
        }
        if has_new_config {
            self.is_unpublished = true;
            self.check_complete(now);
        }
        has_new
    }

    /// Activates the table, unless it may contain only a part of an atomic change: the first table before it is complete, or a part
    /// of an operator's update (an API key that moves between tenants would temporarily belong to none).
    fn publish(&mut self, now: Micros, out: &mut Vec<Output>) {
        let is_confirmed = self.is_complete || self.is_unconfirmed;
        if !self.is_unpublished || !is_confirmed {
            return;
        }
        let own_digest = self.config_items().digest();
        let is_reported =
            self.registries.values().any(|registry| registry.config_digest() == Some(own_digest));
        let is_withheld =
            self.partial_since.is_some_and(|since| !self.is_serving || now < since + WITHHOLD_LIMIT);
        if is_reported || !is_withheld {
            self.partial_since = None;
            self.is_unpublished = false;
            self.is_serving = !self.table.is_empty();
            out.push(Output::Configured(self.table.clone()));
        }
    }

    /// Runs the periodic work. All messages have been handled that have arrived.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.tick_with_backlog(now, 0, out);
    }

    /// Runs the periodic work, while messages that arrived within the last `backlog` may not have been handled yet.
    pub fn tick_with_backlog(&mut self, now: Micros, backlog: Micros, out: &mut Vec<Output>) {
        self.backlog = backlog;
        self.handled_until = now.saturating_sub(backlog);
        let decisions = self.leases.tick(now);
        out.extend(decisions.into_iter().map(Output::Decided));
        self.request_leases(now, out);
        self.check_complete(now);
        self.continue_sync(now, out);
        self.publish(now, out);
        self.last_tick = now;
        if now >= self.next_keepalive {
            self.next_keepalive = now + KEEPALIVE_INTERVAL;
            self.report_cut_off(now);
            self.send_to_all(&PeerMessage::KeepAlive, out);
        }
        if now >= self.next_digests {
            self.next_digests = now + DIGEST_INTERVAL;
            // The proxy's clock starts at the wall-clock time and then advances monotonically.
            let time_of_day = now / 1_000_000;
            self.realms[usize::from(RUNTIME_REALM)]
                .remove_if(|item| Server::is_expired_tombstone(item, time_of_day));
            self.send_to_all(&PeerMessage::Digests(self.digests()), out);
        }
    }

    fn send_to_all(&self, message: &PeerMessage, out: &mut Vec<Output>) {
        out.extend(self.registries.keys().map(|&connection| Output::Send(connection, message.clone())));
    }
}
