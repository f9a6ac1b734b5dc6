//! What the proxy receives from the registries, and what it asks of them: a state machine without clock or sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pinerelay_admission::lease_cache::{Decision, LeaseCache, RequestId};
use pinerelay_admission::quota::Quota;
use pinerelay_admission::Micros;
use pinerelay_config_state::anti_entropy::SyncPart;
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

mod leases;
mod registry_link;

pub use pinerelay_admission::lease_cache::Admission;
use registry_link::{Confirmation, RegistryLink};

/// How often it sends the digests of what it has.
const DIGEST_INTERVAL: Micros = 600_000;
/// How often it sends a keep-alive: the counts reserve the share of a proxy that is not heard.
const KEEPALIVE_INTERVAL: Micros = 200_000;
/// With no current registry for so long a proxy that starts serves what it has. That is longer than a configuration may take
/// to reach a machine while the core is unsettled, and shorter than service may take to come back after a loss.
const UNCONFIRMED_AFTER: Micros = 10_000_000;
/// A gap between two ticks after which the process has stalled: what it did not hear meanwhile tells nothing.
const STALL: Micros = 700_000;
/// Items that came in pieces stay out of force for so long at the most, except for the first table. A proxy that was cut off
/// has longer than this, from when it is reached again, to put in force what was acknowledged meanwhile.
const WITHHOLD_LIMIT: Micros = 1_000_000;

/// What the proxy wants done.
#[derive(Debug)]
pub enum Output {
    /// Send a message on a connection.
    Send(ConnectionId, PeerMessage),
    /// Close a connection: what arrived on it makes no sense.
    Close(ConnectionId),
    /// This configuration is in force from now on.
    Configured(Arc<RoutingTable>),
    /// What is known of a server has changed; `None` if it takes no requests.
    ServerChanged(String, Option<Server>),
    /// A request that waited for a unit does not wait any more.
    Decided(Decision),
    /// A registry permits requests to new versions.
    Permitted(Vec<RolloutPermit>),
    /// This proxy's place among all of them.
    Placed {
        /// Its index, from 0.
        index: u32,
        /// The number of proxies.
        proxies: u32,
    },
}

/// The proxy's place among all proxies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Place {
    index: u32,
    proxies: u32,
}

/// A proxy's replica of the state, and its leases.
pub struct Subscriber {
    own_hello: Hello,
    seeds: Vec<String>,
    /// Registries that others have named.
    known_registries: BTreeSet<String>,
    /// The configuration's items, and all others.
    realms: [ItemSet; 2],
    /// What the configuration's items make.
    table: Arc<RoutingTable>,
    /// Whether the table holds something that is not in force.
    is_unpublished: bool,
    /// Whether a table with routes is in force.
    is_serving: bool,
    /// Since when the table may hold a part of an operator's call: items came in pieces, and no registry has reported the same
    /// configuration yet.
    partial_since: Option<Micros>,
    leases: LeaseCache,
    registries: BTreeMap<ConnectionId, RegistryLink>,
    /// Whether the configuration here once was that of a registry whose own was complete and current.
    is_complete: bool,
    /// Since when there has been no such registry, but one that is complete.
    alone_since: Option<Micros>,
    /// Whether it began to serve what it has although no registry was current.
    is_unconfirmed: bool,
    /// Whether a registry has been heard that reaches a majority: somebody counts quota units.
    has_heard_majority: bool,
    place: Place,
    /// By slice: how often in a row its owner, as seen from here, did not have the duty.
    misdirected: BTreeMap<usize, usize>,
    /// When what it has was last equal to what a registry has.
    last_equal: Micros,
    next_digests: Micros,
    next_keepalive: Micros,
    last_tick: Micros,
}

impl Subscriber {
    /// A subscriber that has heard nothing yet.
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
            registries: BTreeMap::new(),
            is_complete: false,
            alone_since: None,
            is_unconfirmed: false,
            has_heard_majority: false,
            place: Place { index: 0, proxies: 1 },
            misdirected: BTreeMap::new(),
            last_equal: now,
            next_digests: now,
            next_keepalive: now,
            last_tick: now,
        }
    }

    /// The settings name other machines now.
    pub fn set_seeds(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// The registries that it is to be linked to: the voters, and others by rendezvous hashing where these are not reached.
    pub fn wanted_registries(&self) -> Vec<String> {
        let known: BTreeSet<&String> = self.seeds.iter().chain(&self.known_registries).collect();
        let statuses = self.registries.values().filter_map(|registry| registry.status.as_ref());
        let newest = statuses.max_by_key(|status| (status.epoch, status.voters.len()));
        let voters: Vec<&String> = newest.into_iter().flat_map(|status| &status.voters).collect();
        let others = known.into_iter().filter(|ip| !voters.contains(ip));
        let others = rendezvous_order(&self.own_hello.node, others);
        // A registry that does not answer must not leave it with fewer links than there could be.
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

    /// Whether it has a complete configuration, and has heard of somebody who counts quota units. Once it has, that stays so: a
    /// proxy that is cut off spends its shares.
    pub fn can_serve(&self) -> bool {
        self.is_complete && self.has_heard_majority || self.is_unconfirmed
    }

    /// Whether it serves a configuration that no registry has confirmed as current.
    pub fn serves_unconfirmed(&self) -> bool {
        self.is_unconfirmed && !self.is_complete
    }

    /// The configuration's items, and all others.
    pub fn realms(&self) -> &[ItemSet; 2] {
        &self.realms
    }

    fn config_items(&self) -> &ItemSet {
        &self.realms[usize::from(CONFIG_REALM)]
    }

    /// The number of proxies that share the tenants' rates.
    pub fn proxies(&self) -> usize {
        self.place.proxies.max(1) as usize
    }

    /// The leases of quota units that are here.
    pub fn leases(&self) -> &LeaseCache {
        &self.leases
    }

    /// The connections to registries.
    pub fn connections(&self) -> Vec<ConnectionId> {
        self.registries.keys().copied().collect()
    }

    /// The number of registries that it is linked to.
    pub fn linked_registries(&self) -> usize {
        self.registries.len()
    }

    /// How long ago what it has was equal to what a registry has.
    pub fn update_age(&self, now: Micros) -> Micros {
        now.saturating_sub(self.last_equal)
    }

    /// A connection has come up.
    pub fn connected(&mut self, connection: ConnectionId, out: &mut Vec<Output>) {
        out.push(Output::Send(connection, PeerMessage::Hello(self.own_hello.clone())));
    }

    /// A connection has gone.
    pub fn disconnected(&mut self, connection: ConnectionId) {
        self.registries.remove(&connection);
    }

    /// A client's request of a tenant has come.
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

    /// A waiting request has been given up by its client.
    pub fn cancel(&mut self, tenant: &str, id: RequestId) {
        self.leases.cancel(tenant, id);
    }

    /// A message has arrived on a connection.
    pub fn receive(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        message: PeerMessage,
        out: &mut Vec<Output>,
    ) {
        match message {
            PeerMessage::Hello(hello) => self.on_hello(connection, hello, out),
            message if self.registries.contains_key(&connection) => {
                self.dispatch(now, connection, message, out);
            }
            _ => out.push(Output::Close(connection)),
        }
        self.publish(now, out);
    }

    fn on_hello(&mut self, connection: ConnectionId, hello: Hello, out: &mut Vec<Output>) {
        if hello.role == Role::Observer {
            // It wants metrics alone.
            return;
        }
        // A connection belongs to one process at each end.
        if hello.role != Role::Registry || self.registries.contains_key(&connection) {
            return out.push(Output::Close(connection));
        }
        self.known_registries.insert(hello.ip.clone());
        self.registries.insert(connection, RegistryLink::new(hello));
        out.push(Output::Send(connection, PeerMessage::Digests(self.digests())));
        out.push(Output::Send(connection, PeerMessage::ConfirmCurrent(UNDERSTANDS_ROLLOUTS)));
    }

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
            PeerMessage::ProxyPlace { index, proxies } => self.on_place(Place { index, proxies }, out),
            PeerMessage::Update(items) => {
                self.merge(now, items, out);
            }
            PeerMessage::Digests(digests) => self.on_digests(now, connection, digests, out),
            PeerMessage::Sync { realm, items, parts } => {
                self.on_sync(now, connection, realm, items, &parts, out);
            }
            PeerMessage::LeaseGrants(grants) => self.on_lease_grants(now, connection, grants, out),
            PeerMessage::RolloutPermits(permits) => {
                // A permit for a report that was not sent yet would be valid for longer than it may be.
                let possible = permits.into_iter().filter(|permit| permit.sent_at <= now).collect();
                out.push(Output::Permitted(possible));
            }
            _ => {}
        }
    }

    fn update_registry(&mut self, connection: ConnectionId, update: impl FnOnce(&mut RegistryLink)) {
        if let Some(registry) = self.registries.get_mut(&connection) {
            update(registry);
        }
    }

    fn on_registry_status(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        status: RegistryStatus,
        out: &mut Vec<Output>,
    ) {
        self.has_heard_majority |= status.has_majority;
        self.known_registries.extend(status.registries.iter().cloned());
        if status.is_current && !self.is_complete {
            out.push(Output::Send(connection, PeerMessage::ConfirmCurrent(now)));
        }
        self.update_registry(connection, |registry| registry.status = Some(status));
    }

    fn on_place(&mut self, place: Place, out: &mut Vec<Output>) {
        if self.place != place {
            self.place = place;
            let Place { index, proxies } = place;
            self.leases.set_proxies(proxies as usize);
            out.push(Output::Placed { index, proxies });
        }
    }

    fn on_digests(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        digests: [u64; 2],
        out: &mut Vec<Output>,
    ) {
        let own_digests = self.digests();
        if digests == own_digests {
            self.last_equal = now;
        }
        let [config_digest, _] = digests;
        let Some(registry) = self.registries.get_mut(&connection) else { return };
        registry.config_digest = Some(config_digest);
        // An exchange that is under way goes on by itself.
        let is_under_way = registry.last_sync.is_some_and(|at| now < at + DIGEST_INTERVAL / 2);
        for realm in [CONFIG_REALM, RUNTIME_REALM] {
            let index = usize::from(realm);
            if !is_under_way && digests[index] != own_digests[index] {
                let request = PeerMessage::sync_request(&self.realms[index], realm);
                out.push(Output::Send(connection, request));
            }
        }
        self.check_complete(now);
    }

    fn on_sync(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        realm: u8,
        items: Vec<Item>,
        parts: &[SyncPart],
        out: &mut Vec<Output>,
    ) {
        self.update_registry(connection, |registry| registry.last_sync = Some(now));
        let was_published = !self.is_unpublished;
        let goes_on = items.is_empty() || self.merge(now, items, out);
        if was_published && self.is_unpublished {
            self.partial_since.get_or_insert(now);
        }
        if let Some(items) = self.realms.get(usize::from(realm)).filter(|_| goes_on) {
            let reply = PeerMessage::sync_reply(items, realm, parts);
            out.extend(reply.map(|reply| Output::Send(connection, reply)));
        }
    }

    fn digests(&self) -> [u64; 2] {
        [self.realms[0].digest(), self.realms[1].digest()]
    }

    /// Checks whether the configuration here is that of a registry whose own is complete and current. A registry that was cut
    /// off with its store is complete, but may be out of date.
    fn check_complete(&mut self, now: Micros) {
        // That there is nothing yet is confirmed at the first start. It says nothing of what comes next, which may be a part.
        if self.is_complete || self.config_items().is_empty() {
            return;
        }
        let own_digest = self.config_items().digest();
        let complete: Vec<&RegistryLink> =
            self.registries.values().filter(|registry| registry.is_complete()).collect();
        if complete.iter().any(|registry| registry.current_digest(now) == Some(own_digest)) {
            log::info!("has the complete configuration: {} items", self.config_items().len());
            self.is_complete = true;
            return;
        }
        let none_is_current = self.registries.values().all(|registry| registry.current_digest(now).is_none());
        let is_alone = !complete.is_empty() && none_is_current;
        let is_equal = complete.iter().any(|registry| registry.config_digest == Some(own_digest));
        let has_stalled = now > self.last_tick + STALL;
        self.alone_since = is_alone.then(|| self.alone_since.filter(|_| !has_stalled).unwrap_or(now));
        let is_long = self.alone_since.is_some_and(|since| now >= since + UNCONFIRMED_AFTER);
        if is_long && !self.is_unconfirmed && is_equal {
            log::warn!("serves {} items that no registry confirms as current", self.config_items().len());
            self.is_unconfirmed = true;
        }
    }

    /// Takes over items; returns whether any of them was new.
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
                let is_there =
                    |server: &Server| !matches!(server.state, ServerState::Lost | ServerState::Gone);
                out.push(Output::ServerChanged(item.key.name, server.filter(is_there)));
            }
        }
        if has_new_config {
            self.is_unpublished = true;
            self.check_complete(now);
        }
        has_new
    }

    /// Puts the table in force, unless it may hold only a part of what is to take force together: the first table before all of
    /// it has arrived, or a part of an operator's call (an API key that moves between tenants would be nobody's).
    fn publish(&mut self, now: Micros, out: &mut Vec<Output>) {
        let is_confirmed = self.is_complete || self.is_unconfirmed;
        if !self.is_unpublished || !is_confirmed {
            return;
        }
        let own_digest = self.config_items().digest();
        let is_reported = self.registries.values().any(|registry| registry.config_digest == Some(own_digest));
        let is_withheld =
            self.partial_since.is_some_and(|since| !self.is_serving || now < since + WITHHOLD_LIMIT);
        if is_reported || !is_withheld {
            self.partial_since = None;
            self.is_unpublished = false;
            self.is_serving = !self.table.is_empty();
            out.push(Output::Configured(self.table.clone()));
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let decisions = self.leases.tick(now);
        out.extend(decisions.into_iter().map(Output::Decided));
        self.request_leases(now, out);
        self.check_complete(now);
        self.publish(now, out);
        self.last_tick = now;
        if now >= self.next_keepalive {
            self.next_keepalive = now + KEEPALIVE_INTERVAL;
            self.send_to_all(&PeerMessage::KeepAlive, out);
        }
        if now >= self.next_digests {
            self.next_digests = now + DIGEST_INTERVAL;
            // The proxy's clock is the time of day at its start, and goes on steadily.
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
