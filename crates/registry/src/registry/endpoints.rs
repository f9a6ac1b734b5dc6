//! Registration of servers: heartbeats, replicated deregistrations, and detection of failed servers.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_admission::Micros;
use pinerelay_config_state::server::{Heartbeat, Server, ServerState};
use pinerelay_config_state::{Item, Key, Kind};
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{CallReply, PeerMessage, Role, SeenHeartbeat};

use super::{Output, Registry, STATUS_INTERVAL};

/// A server is lost after a silence of this many heartbeat intervals.
const LOST_AFTER_INTERVALS: f64 = 3.2;
/// A server is deregistered once it has been lost for this long.
const LOST_LIMIT: Micros = 120_000_000;
/// The time within which another registry must acknowledge a deregistration, and the machine's store may: the server waits one
/// second for its answer.
const REPLICATION_TIMEOUT: Micros = 700_000;

/// The maximum number of versions of a service that are logged.
const MAX_LOGGED_VERSIONS: usize = 64;

/// When the last heartbeat of a server arrived.
#[derive(Debug, Clone, Copy)]
struct LastHeartbeat {
    /// At any registry.
    anywhere: Micros,
    /// At this one.
    here: Option<Micros>,
}

/// A draining or deregistering server whose call is answered once another registry and the machine's store have acknowledged
/// the item.
#[derive(Debug)]
struct PendingDeregistration {
    /// The number of the server's call.
    call: u64,
    /// The server's id.
    id: String,
    /// When the call arrived.
    since: Micros,
    /// The connections on which other registries were asked; acknowledgements on other connections are ignored.
    requested_on: BTreeSet<ConnectionId>,
    /// Whether another registry has acknowledged the item, or none has to.
    is_replicated: bool,
    /// The connection to the store that has not written the item yet.
    awaited_store: Option<ConnectionId>,
}

impl PendingDeregistration {
    /// Notes that the process at the other end of a connection has acknowledged the item.
    fn acknowledged_on(&mut self, connection: ConnectionId) {
        self.is_replicated |= self.requested_on.contains(&connection);
        self.awaited_store = self.awaited_store.filter(|store| *store != connection);
    }

    /// Whether the item survives a failure of this machine, and a loss of all memory.
    fn is_safe(&self) -> bool {
        self.is_replicated && self.awaited_store.is_none()
    }
}

/// The state of the servers beyond their items.
#[derive(Debug)]
pub(super) struct Endpoints {
    /// By server id.
    last_heartbeats: BTreeMap<String, LastHeartbeat>,
    /// Lost servers, and when this registry learned of it.
    lost: BTreeMap<String, Micros>,
    /// Server ids by the key hash of their items, by which other registries report heartbeats.
    ids_by_key_hash: BTreeMap<u64, String>,
    /// Pending deregistrations, by the number of the replication request.
    pending: BTreeMap<u64, PendingDeregistration>,
    /// Servers whose draining or deregistration has been replicated.
    replicated: BTreeSet<String>,
    /// The versions of each service's servers that have been logged.
    versions: BTreeMap<String, BTreeSet<String>>,
    /// No server is marked as lost before this time, as heartbeats at other registries may not have been reported here since a
    /// majority was reached again.
    detect_losses_from: Micros,
}

impl Endpoints {
    /// Creates the state without servers.
    pub(super) fn new(now: Micros) -> Endpoints {
        Endpoints {
            last_heartbeats: BTreeMap::new(),
            lost: BTreeMap::new(),
            ids_by_key_hash: BTreeMap::new(),
            pending: BTreeMap::new(),
            replicated: BTreeSet::new(),
            versions: BTreeMap::new(),
            detect_losses_from: now,
        }
    }

    /// Logs the first server of a version.
    fn log_new_version(&mut self, server: &Server) {
        let Server { service, revision, .. } = server;
        let versions = self.versions.entry(service.clone()).or_default();
        if versions.len() < MAX_LOGGED_VERSIONS && versions.insert(revision.clone()) {
            log::info!("service {service} has a first server of version {revision}");
        }
    }

    /// The number of deregistrations whose calls are not answered yet.
    pub(super) fn pending_deregistrations(&self) -> usize {
        self.pending.len()
    }

    /// Forgets the replicated deregistrations of servers that are not known any more.
    pub(super) fn retain_replicated(&mut self, is_known: impl Fn(&str) -> bool) {
        self.replicated.retain(|id| is_known(id));
    }
}

fn server_key(id: &str) -> Key {
    Key::new(Kind::Server, id)
}

impl Registry {
    /// A server has sent a heartbeat.
    pub(super) fn on_heartbeat(
        &mut self,
        now: Micros,
        call: u64,
        id: &str,
        heartbeat: Heartbeat,
        out: &mut Vec<Output>,
    ) {
        self.counters.heartbeats += 1;
        let key = server_key(id);
        let old = self.runtime_items().get(&key);
        if old.is_some_and(|old| old.version.revision > heartbeat.call_count) {
            // A delayed heartbeat, or the server has deregistered.
            return self.acknowledge(now, call, out);
        }
        let known = old.and_then(|old| old.value.as_deref()).and_then(Server::decode);
        if known.is_none_or(|known| !heartbeat.server.is_redundant_to(&known)) {
            let item = heartbeat.server.to_item(id, heartbeat.call_count);
            self.runtime_items_mut().merge(item.clone());
            self.record_server_item(&item);
            self.send_update(item, out);
        }
        let last = LastHeartbeat { anywhere: now, here: Some(now) };
        self.endpoints.last_heartbeats.insert(id.into(), last);
        let is_draining = heartbeat.server.state == ServerState::Draining;
        if !is_draining {
            self.endpoints.replicated.remove(id);
        }
        if is_draining && !self.endpoints.replicated.contains(id) {
            return self.replicate(now, call, &key, out);
        }
        self.acknowledge(now, call, out);
    }

    /// Answers a call of a server: with success if a majority of the core is presumed to be reached. Other registries do not
    /// learn of heartbeats at a partitioned registry and would mark the server as lost, so 503 makes it call another node. The
    /// change itself is kept, for the proxies on this side of the partition and for later.
    fn acknowledge(&mut self, now: Micros, call: u64, out: &mut Vec<Output>) {
        let reply = if self.presumes_majority(now) {
            CallReply::ok()
        } else {
            self.counters.heartbeats_rejected += 1;
            CallReply::error(503, "no majority of the core is reached")
        };
        out.push(Output::Answer(call, reply));
    }

    /// A server has deregistered.
    pub(super) fn on_deregister(&mut self, now: Micros, call: u64, id: &str, out: &mut Vec<Output>) {
        let key = server_key(id);
        let is_known = self.runtime_items().get(&key).is_some_and(|item| item.value.is_none());
        let tombstone = Server::tombstone(id, self.time_of_day(now));
        if !is_known && self.runtime_items_mut().merge(tombstone.clone()) {
            self.endpoints.replicated.remove(id);
            self.record_server_item(&tombstone);
            self.send_update(tombstone, out);
        }
        if self.endpoints.replicated.contains(id) {
            return self.acknowledge(now, call, out);
        }
        self.replicate(now, call, &key, out);
    }

    /// Broadcasts an item to the proxies, the other registries and the machine's store.
    fn send_update(&self, item: Item, out: &mut Vec<Output>) {
        let mut receivers = self.connections_of(Role::Proxy);
        receivers.extend(self.registry_connections().into_values());
        receivers.extend(self.own_store());
        out.push(Output::Broadcast(receivers, PeerMessage::Update(vec![item])));
    }

    /// Replicates a draining or deregistered server's item to the other registries and the machine's store. If it were known here
    /// alone, a failure of this machine would lose it, and a loss of all memory if no store had written it; proxies would go on
    /// sending requests to a server that was allowed to stop. So the call is acknowledged once another registry that presumes to
    /// reach a majority of the core has it, unless there are no other voters, and the store has written it.
    fn replicate(&mut self, now: Micros, call: u64, key: &Key, out: &mut Vec<Output>) {
        let is_replicated = self.voters.len() <= 1;
        let requested_on: BTreeSet<ConnectionId> =
            if is_replicated { BTreeSet::new() } else { self.registry_connections().into_values().collect() };
        let can_be_replicated = is_replicated || !requested_on.is_empty();
        let item = self.runtime_items().get(key).cloned().filter(|_| can_be_replicated);
        let Some(item) = item else { return self.reject_deregistration(call, out) };
        let awaited_store = self.acknowledging_store();
        let receivers: Vec<ConnectionId> = requested_on.iter().copied().chain(awaited_store).collect();
        let id = key.name.clone();
        let pending =
            PendingDeregistration { call, id, since: now, requested_on, is_replicated, awaited_store };
        if pending.is_safe() {
            return self.acknowledge_deregistration(pending, out);
        }
        let number = self.next_number();
        self.endpoints.pending.insert(number, pending);
        out.push(Output::Broadcast(receivers, PeerMessage::Replicate { number, items: vec![item] }));
    }

    /// Acknowledges the call of a draining or deregistering server.
    fn acknowledge_deregistration(&mut self, pending: PendingDeregistration, out: &mut Vec<Output>) {
        self.endpoints.replicated.insert(pending.id);
        out.push(Output::Answer(pending.call, CallReply::ok()));
    }

    /// Rejects the call of a draining or deregistering server.
    fn reject_deregistration(&mut self, call: u64, out: &mut Vec<Output>) {
        self.counters.deregistrations_rejected += 1;
        out.push(Output::Answer(call, CallReply::error(503, "no other registry holds it")));
    }

    /// Another registry or the machine's store has acknowledged a replicated item.
    pub(super) fn on_replicated(&mut self, connection: ConnectionId, number: u64, out: &mut Vec<Output>) {
        let Some(pending) = self.endpoints.pending.get_mut(&number) else { return };
        pending.acknowledged_on(connection);
        if pending.is_safe() {
            self.finish_deregistrations(vec![number], out);
        }
    }

    /// A connection to a registry has closed: repeats its replication requests on another connection to it, and rejects those
    /// that no other registry has been asked for.
    pub(super) fn retry_replication(&mut self, connection: ConnectionId, ip: &str, out: &mut Vec<Output>) {
        let other = self.registry_connections().get(ip).copied();
        let mut failed = Vec::new();
        let pending = self.endpoints.pending.iter_mut().filter(|(_, pending)| !pending.is_replicated);
        for (&number, pending) in pending.filter(|(_, pending)| pending.requested_on.contains(&connection)) {
            pending.requested_on.remove(&connection);
            let item = self.realms[1].get(&server_key(&pending.id));
            if let (Some(other), Some(item)) = (other, item) {
                pending.requested_on.insert(other);
                let message = PeerMessage::Replicate { number, items: vec![item.clone()] };
                out.push(Output::Send(other, message));
            } else if pending.requested_on.is_empty() {
                failed.push(number);
            }
        }
        self.finish_deregistrations(failed, out);
    }

    /// Answers deregistrations after [`REPLICATION_TIMEOUT`]. A store that has not written the item by then delays the answer, but
    /// a slow disk is no reason to refuse a server its end.
    pub(super) fn expire_deregistrations(&mut self, now: Micros, out: &mut Vec<Output>) {
        let handled_until = self.handled_until(now);
        let pending = self.endpoints.pending.iter();
        let expired = pending.filter(|(_, pending)| handled_until >= pending.since + REPLICATION_TIMEOUT);
        let expired: Vec<u64> = expired.map(|(&number, _)| number).collect();
        self.finish_deregistrations(expired, out);
    }

    /// Answers the calls of pending deregistrations: with success if another registry has the item.
    fn finish_deregistrations(&mut self, numbers: Vec<u64>, out: &mut Vec<Output>) {
        for number in numbers {
            match self.endpoints.pending.remove(&number) {
                Some(pending) if pending.is_replicated => self.acknowledge_deregistration(pending, out),
                Some(pending) => self.reject_deregistration(pending.call, out),
                None => {}
            }
        }
    }

    /// Updates the state of a server from its new item; ignores other items.
    pub(super) fn record_server_item(&mut self, item: &Item) {
        if item.key.kind != Kind::Server {
            return;
        }
        let (id, now) = (&item.key.name, self.last_tick);
        self.endpoints.ids_by_key_hash.insert(item.key.key_hash(), id.clone());
        let server = item.value.as_deref().and_then(Server::decode);
        if let Some(server) = &server {
            self.endpoints.log_new_version(server);
        }
        let state = server.map(|server| server.state);
        if state == Some(ServerState::Lost) {
            self.endpoints.lost.entry(id.clone()).or_insert(now);
        } else {
            self.endpoints.lost.remove(id);
        }
        if state.is_none_or(|state| state == ServerState::Lost) {
            self.endpoints.last_heartbeats.remove(id);
        } else {
            let new = LastHeartbeat { anywhere: now, here: None };
            let last = self.endpoints.last_heartbeats.entry(id.clone()).or_insert(new);
            last.anywhere = last.anywhere.max(now);
        }
    }

    /// Another registry has reported the heartbeats that it has received.
    pub(super) fn on_heartbeats_seen(&mut self, now: Micros, heartbeats: &[SeenHeartbeat]) {
        for seen in heartbeats {
            let Some(id) = self.endpoints.ids_by_key_hash.get(&seen.key_hash) else { continue };
            if let Some(last) = self.endpoints.last_heartbeats.get_mut(id) {
                last.anywhere = last.anywhere.max(now.saturating_sub(u64::from(seen.age_ms) * 1_000));
            }
        }
    }

    /// The recent heartbeats received here, for the other registries.
    pub(super) fn heartbeats_seen_here(&self, now: Micros) -> Vec<SeenHeartbeat> {
        let seen = self.endpoints.last_heartbeats.iter().filter_map(|(id, last)| {
            let age = now.saturating_sub(last.here?);
            let key_hash = server_key(id).key_hash();
            (age < 2 * STATUS_INTERVAL).then_some(SeenHeartbeat { key_hash, age_ms: (age / 1_000) as u32 })
        });
        seen.collect()
    }

    /// The silence after which a server is lost.
    fn server_timeout(&self) -> Micros {
        (LOST_AFTER_INTERVALS * self.config.heartbeat_interval as f64) as Micros
    }

    /// Postpones the detection of lost servers when a majority is reached again after an outage of this duration: servers back
    /// off while nobody acknowledges their heartbeats.
    pub(super) fn postpone_losses(&mut self, now: Micros, outage: Micros) {
        let timeout = self.server_timeout();
        self.endpoints.detect_losses_from = now + timeout + outage.min(2 * timeout);
    }

    /// Deregisters servers that have been lost for [`LOST_LIMIT`].
    pub(super) fn remove_lost_servers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let time_of_day = self.time_of_day(now);
        let lost = self.endpoints.lost.iter().filter(|(_, since)| now >= **since + LOST_LIMIT);
        let ids: Vec<String> = lost.map(|(id, _)| id.clone()).collect();
        for id in ids {
            let tombstone = Server::tombstone(&id, time_of_day);
            if self.runtime_items_mut().merge(tombstone.clone()) {
                self.record_server_item(&tombstone);
                self.send_update(tombstone, out);
            }
        }
    }

    /// Marks servers as lost that no registry has received a heartbeat of, while this registry would learn of all heartbeats.
    pub(super) fn detect_lost_servers(&mut self, now: Micros, out: &mut Vec<Output>) {
        let handled_until = self.handled_until(now);
        if !self.majority.is_reached() || handled_until < self.endpoints.detect_losses_from {
            return;
        }
        let timeout = self.server_timeout();
        let last_heartbeats = self.endpoints.last_heartbeats.iter();
        let silent = last_heartbeats.filter(|(_, last)| handled_until >= last.anywhere + timeout);
        let ids: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in ids {
            self.endpoints.last_heartbeats.remove(&id);
            if let Some(lost) = self.lost_item(&id) {
                if self.runtime_items_mut().merge(lost.clone()) {
                    self.counters.servers_lost += 1;
                    self.record_server_item(&lost);
                    log::info!("server {id} is lost: silent for {} ms", timeout / 1_000);
                    self.send_update(lost, out);
                }
            }
        }
    }

    /// The item that marks a server as lost; `None` if it is unknown or lost already.
    fn lost_item(&self, id: &str) -> Option<Item> {
        let item = self.runtime_items().get(&server_key(id))?;
        let server = item.value.as_deref().and_then(Server::decode)?;
        let is_lost = server.state == ServerState::Lost;
        let lost = Server { state: ServerState::Lost, ..server };
        (!is_lost).then(|| lost.to_item(id, item.version.revision))
    }
}
