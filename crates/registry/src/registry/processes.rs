//! Tracks the processes that a registry knows: stores, other registries, and the proxies that share the tenants' quotas.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_admission::duty::PROMISE_DURATION;
use pinerelay_admission::quota_allocator::SHARE_LIFETIME;
use pinerelay_admission::Micros;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{Hello, PeerMessage, ProcessList, Role};

use super::proxy_set::ProxySet;
use super::{Output, Registry};

/// A proxy counts as missing once it has been silent for this long.
const PROXY_TIMEOUT: Micros = 650_000;
/// The duties of a registry are claimed by others once it has been silent for this long: the promises for what it had claimed until
/// then have expired. Registries send a message every [`super::STATUS_INTERVAL`].
const REGISTRY_TIMEOUT: Micros = PROMISE_DURATION;
/// A missing proxy is forgotten after this time, when its quota share has expired.
const MISSING_LIMIT: Micros = SHARE_LIFETIME;

/// The state of a store that this registry is linked to.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StoreLink {
    /// Whether its replica is complete; `None` until it has reported its status.
    pub is_complete: Option<bool>,
    /// The last digest of its configuration items; `None` until it has sent one.
    pub config_digest: Option<u64>,
    /// Whether it acknowledges replicated items once they are durable.
    pub acknowledges_writes: bool,
    /// When its last message arrived, or the first tick after a later stall ran.
    pub last_message: Micros,
}

/// What another registry has reported in its last status.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerRegistry {
    /// The number of linked and missing proxies there.
    pub proxies: u32,
    /// The IP addresses of the registries that it is linked to, and its own.
    pub registries: Vec<String>,
}

/// The position of a proxy among all proxies, by which they share quotas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ProxyPosition {
    /// The index among all known proxies, ordered by node.
    index: u32,
    /// The total number of proxies.
    proxies: u32,
}

/// The state of the proxies, by their nodes.
#[derive(Debug, Default)]
pub(super) struct Proxies {
    /// When the last message of each proxy arrived, except missing ones.
    pub last_seen: BTreeMap<String, Micros>,
    /// The linked proxies, and those that have fallen silent.
    pub set: ProxySet,
    /// The proxies that this process last sent to the machine's store; `None` until the store has sent the list of an earlier
    /// process.
    pub stored: Option<Vec<String>>,
    /// The position that was last sent to each proxy.
    positions: BTreeMap<ConnectionId, ProxyPosition>,
}

impl Registry {
    /// The connections to processes of a role.
    pub(super) fn connections_of(&self, role: Role) -> Vec<ConnectionId> {
        let of_role = self.peers.iter().filter(|(_, hello)| hello.role == role);
        of_role.map(|(&connection, _)| connection).collect()
    }

    /// One connection to each linked registry, by IP address.
    pub(super) fn registry_connections(&self) -> BTreeMap<String, ConnectionId> {
        let registries = self.peers.iter().filter(|(_, hello)| hello.role == Role::Registry);
        registries.map(|(&connection, hello)| (hello.ip.clone(), connection)).collect()
    }

    /// Records that a message of a registry has arrived.
    pub(super) fn record_registry_message(&mut self, now: Micros, ip: &str) {
        match self.registries_heard.get_mut(ip) {
            Some(heard) => *heard = now,
            None => {
                self.registries_heard.insert(ip.into(), now);
            }
        }
    }

    /// The IP addresses of the linked registries that have not been silent for [`REGISTRY_TIMEOUT`] among the handled messages.
    pub(super) fn heard_registries(&self) -> BTreeSet<String> {
        // As the last tick found: between ticks messages may have been waiting for longer than is known.
        let handled_until = self.handled_until(self.last_tick);
        let is_heard = |ip: &String| {
            let heard = self.registries_heard.get(ip);
            heard.is_some_and(|heard| handled_until < heard + REGISTRY_TIMEOUT)
        };
        self.registry_connections().into_keys().filter(is_heard).collect()
    }

    /// The stores that have reported their status.
    pub(super) fn reported_stores(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        let reported = self.stores.iter().filter(|(_, store)| store.is_complete.is_some());
        reported.map(|(&connection, _)| connection)
    }

    /// The store on this machine, if it has reported its status. It persists the servers in case all processes lose their memory
    /// at once.
    pub(super) fn own_store(&self) -> Option<ConnectionId> {
        let is_own = |connection: &ConnectionId| {
            self.peers.get(connection).is_some_and(|hello| hello.ip == self.config.hello.ip)
        };
        self.reported_stores().find(is_own)
    }

    /// The store on this machine, if it acknowledges replicated items once they are durable.
    pub(super) fn acknowledging_store(&self) -> Option<ConnectionId> {
        let acknowledges = |connection: &ConnectionId| {
            self.stores.get(connection).is_some_and(|store| store.acknowledges_writes)
        };
        self.own_store().filter(acknowledges)
    }

    /// The number of proxies that share the tenants' quotas: the largest number that this or another registry knows.
    pub(super) fn total_proxies(&self) -> usize {
        let elsewhere = self.registries.values().map(|registry| registry.proxies as usize).max();
        elsewhere.unwrap_or(0).max(self.proxies.set.known_count())
    }

    /// Records that a message of a proxy has arrived.
    pub(super) fn record_proxy_message(&mut self, now: Micros, node: &str) {
        if self.proxies.set.remove_missing(node) {
            self.quota_duty.proxy_returned(now, node);
        }
        match self.proxies.last_seen.get_mut(node) {
            Some(last_seen) => *last_seen = now,
            None => {
                self.proxies.last_seen.insert(node.into(), now);
            }
        }
    }

    /// A proxy's process has ended, and all its leases with it.
    pub(super) fn proxy_ended(&mut self, now: Micros, node: &str) {
        self.proxies.set.remove_missing(node);
        self.proxies.last_seen.remove(node);
        self.quota_duty.proxy_ended(now, node);
        self.rollout_duty.proxy_ended(node);
    }

    /// Marks proxies as missing after a silence of [`PROXY_TIMEOUT`] among the handled messages. Their shares are reserved from when their last message arrived.
    pub(super) fn detect_missing_proxies(&mut self, now: Micros) {
        let handled_until = self.handled_until(now);
        let last_seen = self.proxies.last_seen.iter();
        let silent = last_seen.filter(|(_, last_seen)| handled_until >= **last_seen + PROXY_TIMEOUT);
        let silent: Vec<(String, Micros)> = silent.map(|(node, &since)| (node.clone(), since)).collect();
        for (node, since) in silent {
            self.proxies.last_seen.remove(&node);
            self.quota_duty.proxy_missing(now, &node, since);
            self.proxies.set.add_missing(node, since);
        }
    }

    /// Forgets proxies that have been missing for [`MISSING_LIMIT`]: their shares have expired.
    pub(super) fn forget_missing_proxies(&mut self, now: Micros) {
        let missing = self.proxies.set.missing().iter();
        let expired = missing.filter(|(_, since)| now >= **since + MISSING_LIMIT);
        let expired: Vec<String> = expired.map(|(node, _)| node.clone()).collect();
        expired.iter().for_each(|node| self.proxy_ended(now, node));
    }

    /// The machine's store has sent the proxies that an earlier process of this registry knew. Those that have not sent a message
    /// yet count as missing: they may be partitioned and spend the share that the earlier process granted.
    pub(super) fn on_known_proxies(&mut self, now: Micros, machines: Vec<String>) {
        if self.proxies.stored.is_none() {
            let not_seen = machines.into_iter().filter(|node| !self.proxies.last_seen.contains_key(node));
            let not_seen: Vec<String> = not_seen.collect();
            not_seen.into_iter().for_each(|node| self.proxies.set.add_missing(node, now));
            self.proxies.stored = Some(Vec::new());
        }
    }

    /// Sends each linked proxy its position, and the machine's store the list of proxies, where these have changed.
    pub(super) fn send_proxy_positions(&mut self, out: &mut Vec<Output>) {
        let linked = self.peers.iter().filter(|(_, hello)| hello.role == Role::Proxy);
        let linked: BTreeMap<ConnectionId, String> =
            linked.map(|(&connection, hello)| (connection, hello.node.clone())).collect();
        let nodes = linked.values().chain(self.proxies.set.missing().keys());
        let nodes: Vec<String> = nodes.collect::<BTreeSet<_>>().into_iter().cloned().collect();
        self.proxies.positions.retain(|connection, _| linked.contains_key(connection));
        self.store_proxies(&nodes, out);
        let proxies = self.total_proxies().max(nodes.len()) as u32;
        for (&connection, node) in &linked {
            let index = nodes.iter().position(|other| other == node).unwrap_or(0) as u32;
            let new_position = ProxyPosition { index, proxies };
            if self.proxies.positions.insert(connection, new_position) != Some(new_position) {
                out.push(Output::Send(connection, PeerMessage::ProxyPlace { index, proxies }));
            }
        }
    }

    /// Sends the machine's store the known proxies if they differ from those it has recorded.
    fn store_proxies(&mut self, nodes: &[String], out: &mut Vec<Output>) {
        let (Some(store), Some(stored)) = (self.own_store(), &self.proxies.stored) else { return };
        if stored != nodes {
            out.push(Output::Send(store, PeerMessage::KnownProxies(nodes.to_vec())));
            self.proxies.stored = Some(nodes.to_vec());
        }
    }

    /// The linked processes and this one, the missing proxies, and the voters. Observers are left out.
    pub(super) fn process_list(&self) -> ProcessList {
        let linked = self.peers.values().filter(|hello| hello.role != Role::Observer);
        let mut linked: Vec<Hello> = linked.chain([&self.config.hello]).cloned().collect();
        linked.sort_by(|a, b| (&a.ip, a.role, a.process_id).cmp(&(&b.ip, b.role, b.process_id)));
        linked.dedup();
        // A proxy whose link broke without a planned shutdown is listed as missing before its timeout, too.
        let is_linked =
            |node: &&String| linked.iter().any(|hello| hello.role == Role::Proxy && hello.node == **node);
        let known = self.proxies.set.missing().keys().chain(self.proxies.last_seen.keys());
        let mut missing: Vec<String> = known.filter(|node| !is_linked(node)).cloned().collect();
        missing.sort();
        missing.dedup();
        ProcessList { linked, missing, voters: self.voters.clone() }
    }
}
