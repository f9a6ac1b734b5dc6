//! The processes that a registry knows: stores, other registries, and the proxies that share the tenants' rates.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_admission::quota_allocator::SHARE_LIFETIME;
use pinerelay_admission::Micros;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{Hello, PeerMessage, ProcessList, Role};

use super::{Output, Registry};

/// A proxy that has been silent for so long counts as missing.
const PROXY_TIMEOUT: Micros = 650_000;
/// A proxy counts as missing for so long at the most: then its share has ended.
const MISSING_LIMIT: Micros = SHARE_LIFETIME;

/// What is known of a store that this registry is linked to.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct StoreLink {
    /// Whether its replica is complete; `None` until it has reported its status.
    pub is_complete: Option<bool>,
    /// The digest of its configuration items, once it has sent it.
    pub config_digest: Option<u64>,
    /// When it last sent something.
    pub last_message: Micros,
}

/// What another registry has reported of itself.
#[derive(Debug, Clone, Default)]
pub(super) struct PeerRegistry {
    /// The number of proxies that it knows.
    pub proxies: u32,
    /// The registries that it reaches.
    pub registries: Vec<String>,
}

/// The place of a proxy among all of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ProxyPlace {
    index: u32,
    proxies: u32,
}

/// What is known of the proxies, by their machines.
#[derive(Debug, Default)]
pub(super) struct Proxies {
    /// When each proxy was last heard.
    pub last_heard: BTreeMap<String, Micros>,
    /// Proxies that are not heard any more, and since when.
    pub missing: BTreeMap<String, Micros>,
    /// The proxies that the machine's store keeps; `None` until it has told those of an earlier process.
    pub stored: Option<Vec<String>>,
    /// The place that was last sent to each proxy.
    places: BTreeMap<ConnectionId, ProxyPlace>,
}

impl Registry {
    /// The connections of a program's processes.
    pub(super) fn connections_of(&self, role: Role) -> Vec<ConnectionId> {
        let of_role = self.peers.iter().filter(|(_, hello)| hello.role == role);
        of_role.map(|(&connection, _)| connection).collect()
    }

    /// One connection to each other registry that it is linked to, by address.
    pub(super) fn registry_connections(&self) -> BTreeMap<String, ConnectionId> {
        let registries = self.peers.iter().filter(|(_, hello)| hello.role == Role::Registry);
        registries.map(|(&connection, hello)| (hello.ip.clone(), connection)).collect()
    }

    /// The stores that have reported their status.
    pub(super) fn reported_stores(&self) -> impl Iterator<Item = ConnectionId> + '_ {
        let reported = self.stores.iter().filter(|(_, store)| store.is_complete.is_some());
        reported.map(|(&connection, _)| connection)
    }

    /// The store on its own machine, which keeps the servers in case all processes lose their memory at once.
    pub(super) fn own_store(&self) -> Option<ConnectionId> {
        let is_own = |connection: &ConnectionId| {
            self.peers.get(connection).is_some_and(|hello| hello.ip == self.config.hello.ip)
        };
        self.reported_stores().find(is_own)
    }

    /// The number of proxies that are linked to it.
    pub(super) fn linked_proxies(&self) -> usize {
        let proxies = self.peers.values().filter(|hello| hello.role == Role::Proxy);
        proxies.map(|hello| &hello.node).collect::<BTreeSet<_>>().len()
    }

    /// The number of proxies that it knows: linked and missing ones.
    pub(super) fn known_proxies(&self) -> usize {
        self.linked_proxies() + self.proxies.missing.len()
    }

    /// The number of proxies that share the tenants' rates, as far as any registry knows.
    pub(super) fn total_proxies(&self) -> usize {
        let elsewhere = self.registries.values().map(|registry| registry.proxies as usize).max();
        elsewhere.unwrap_or(0).max(self.known_proxies())
    }

    /// A proxy is heard.
    pub(super) fn proxy_heard(&mut self, now: Micros, node: &str) {
        if self.proxies.missing.remove(node).is_some() {
            self.quota_duty.proxy_returned(now, node);
        }
        match self.proxies.last_heard.get_mut(node) {
            Some(last_heard) => *last_heard = now,
            None => {
                self.proxies.last_heard.insert(node.into(), now);
            }
        }
    }

    /// A proxy's process has ended, and all its leases with it.
    pub(super) fn proxy_ended(&mut self, now: Micros, node: &str) {
        self.proxies.missing.remove(node);
        self.proxies.last_heard.remove(node);
        self.quota_duty.proxy_ended(now, node);
        self.rollout_duty.proxy_ended(node);
    }

    /// Counts proxies as missing that have been silent for too long. Their shares are reserved from when they were last heard.
    pub(super) fn detect_missing_proxies(&mut self, now: Micros) {
        let last_heard = self.proxies.last_heard.iter();
        let silent = last_heard.filter(|(_, last_heard)| now >= **last_heard + PROXY_TIMEOUT);
        let silent: Vec<(String, Micros)> = silent.map(|(node, &since)| (node.clone(), since)).collect();
        for (node, since) in silent {
            self.proxies.last_heard.remove(&node);
            self.quota_duty.proxy_missing(now, &node, since);
            self.proxies.missing.insert(node, since);
        }
    }

    /// Forgets proxies that have been missing for longer than their shares last.
    pub(super) fn forget_missing_proxies(&mut self, now: Micros) {
        let missing = self.proxies.missing.iter();
        let expired = missing.filter(|(_, since)| now >= **since + MISSING_LIMIT);
        let expired: Vec<String> = expired.map(|(node, _)| node.clone()).collect();
        expired.iter().for_each(|node| self.proxy_ended(now, node));
    }

    /// The machine's store has told the proxies that an earlier process knew. Those that are not heard yet may be cut off, and
    /// spend the share that the earlier process granted.
    pub(super) fn on_known_proxies(&mut self, now: Micros, machines: Vec<String>) {
        if self.proxies.stored.is_none() {
            let unheard = machines.into_iter().filter(|node| !self.proxies.last_heard.contains_key(node));
            let unheard: Vec<(String, Micros)> = unheard.map(|node| (node, now)).collect();
            self.proxies.missing.extend(unheard);
            self.proxies.stored = Some(Vec::new());
        }
    }

    /// Sends each proxy its place among all of them, and the machine's store all proxies, where that has changed.
    pub(super) fn send_proxy_places(&mut self, out: &mut Vec<Output>) {
        let linked = self.peers.iter().filter(|(_, hello)| hello.role == Role::Proxy);
        let linked: BTreeMap<ConnectionId, String> =
            linked.map(|(&connection, hello)| (connection, hello.node.clone())).collect();
        let nodes = linked.values().chain(self.proxies.missing.keys());
        let nodes: Vec<String> = nodes.collect::<BTreeSet<_>>().into_iter().cloned().collect();
        self.proxies.places.retain(|connection, _| linked.contains_key(connection));
        self.store_proxies(&nodes, out);
        let proxies = self.total_proxies().max(nodes.len()) as u32;
        for (&connection, node) in &linked {
            let index = nodes.iter().position(|other| other == node).unwrap_or(0) as u32;
            let place = ProxyPlace { index, proxies };
            if self.proxies.places.insert(connection, place) != Some(place) {
                out.push(Output::Send(connection, PeerMessage::ProxyPlace { index, proxies }));
            }
        }
    }

    fn store_proxies(&mut self, nodes: &[String], out: &mut Vec<Output>) {
        let (Some(store), Some(stored)) = (self.own_store(), &self.proxies.stored) else { return };
        if stored != nodes {
            out.push(Output::Send(store, PeerMessage::KnownProxies(nodes.to_vec())));
            self.proxies.stored = Some(nodes.to_vec());
        }
    }

    /// The processes that it knows. Observers are not among them.
    pub(super) fn process_list(&self) -> ProcessList {
        let linked = self.peers.values().filter(|hello| hello.role != Role::Observer);
        let mut linked: Vec<Hello> = linked.chain([&self.config.hello]).cloned().collect();
        linked.sort_by(|a, b| (&a.ip, a.role, a.process_id).cmp(&(&b.ip, b.role, b.process_id)));
        linked.dedup();
        // A proxy whose link has broken is not missing at once; but it has not ended as planned, either.
        let is_linked =
            |node: &&String| linked.iter().any(|hello| hello.role == Role::Proxy && hello.node == **node);
        let known = self.proxies.missing.keys().chain(self.proxies.last_heard.keys());
        let mut missing: Vec<String> = known.filter(|node| !is_linked(node)).cloned().collect();
        missing.sort();
        missing.dedup();
        ProcessList { linked, missing, voters: self.voters.clone() }
    }
}
