//! Replication of items: updates are relayed at once, and anti-entropy repairs what they missed.
//!
//! Proxies must not receive a part of an operator's update. Anti-entropy may split an update, so while an exchange with a store
//! is incomplete, this registry withholds the configuration from proxies; they are linked to other registries, too.

use pinerelay_admission::Micros;
use pinerelay_config_state::anti_entropy::{fits_one_message, SyncPart};
use pinerelay_config_state::server::Server;
use pinerelay_config_state::Item;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{Hello, PeerMessage, Role, CONFIG_REALM, RUNTIME_REALM};

use super::{Output, Registry, STATUS_INTERVAL};

/// The configuration is withheld from proxies for at most this long.
const WITHHOLD_LIMIT: Micros = 1_000_000;

/// Whether received items may be only a part of an operator's update.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Delivery {
    /// All items of an update arrived in one message.
    CompleteUpdate,
    /// The items arrived by anti-entropy, which may split an update.
    AntiEntropy,
}

/// Whether the configuration here may contain only a part of an operator's update.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum PartialUpdate {
    /// No configuration items arrived by anti-entropy since it was last equal to that of a store.
    #[default]
    No,
    /// Anti-entropy has brought configuration items since then, the first of them at this time.
    Since(Micros),
}

impl PartialUpdate {
    /// Whether the configuration is still withheld from proxies.
    pub(super) fn is_withheld(self, now: Micros) -> bool {
        matches!(self, PartialUpdate::Since(since) if now < since + WITHHOLD_LIMIT)
    }
}

/// The index of the realm that an item belongs to.
fn realm_of(item: &Item) -> u8 {
    if item.key.kind.is_config() {
        CONFIG_REALM
    } else {
        RUNTIME_REALM
    }
}

impl Registry {
    /// Merges received items, and relays the new ones to peers that the sender does not reach, except configuration items that
    /// anti-entropy brought. Returns whether there were any new ones.
    pub(super) fn merge(
        &mut self,
        from: ConnectionId,
        peer: &Hello,
        items: Vec<Item>,
        delivery: Delivery,
        out: &mut Vec<Output>,
    ) -> bool {
        let mut updates = self.merge_items(items);
        if updates.is_empty() {
            return false;
        }
        if updates.iter().any(|item| item.key.kind.is_config()) {
            updates.iter().for_each(|item| self.table.apply(item));
            if delivery == Delivery::AntiEntropy {
                self.begin_partial_update();
                updates.retain(|item| !item.key.kind.is_config());
            }
            self.compare_with_stores();
            self.end_partial_update(out);
        }
        self.relay_updates(from, peer, updates, out);
        true
    }

    /// Merges items except expired tombstones, and returns those that are new.
    fn merge_items(&mut self, items: Vec<Item>) -> Vec<Item> {
        let mut updates = Vec::new();
        let time_of_day = self.time_of_day(self.last_tick);
        for item in items.into_iter().filter(|item| !Server::is_expired_tombstone(item, time_of_day)) {
            if self.realms[usize::from(realm_of(&item))].merge(item.clone()) {
                self.record_server_item(&item);
                updates.push(item);
            }
        }
        updates
    }

    /// Relays new items to the peers that the process which sent them does not reach itself.
    fn relay_updates(&mut self, from: ConnectionId, peer: &Hello, updates: Vec<Item>, out: &mut Vec<Output>) {
        if updates.is_empty() {
            return;
        }
        let mut receivers = Vec::new();
        if !self.sends_to_all_proxies(peer) {
            receivers.extend(self.connections_of(Role::Proxy));
        }
        if peer.role == Role::Proxy {
            receivers.extend(self.registry_connections().into_values());
        }
        if peer.role != Role::ConfigStore && updates.iter().any(|item| !item.key.kind.is_config()) {
            receivers.extend(self.own_store());
        }
        receivers.retain(|connection| *connection != from);
        // A long message would delay those behind it: the receivers fetch many items by anti-entropy.
        let message = if fits_one_message(&updates) {
            PeerMessage::Update(updates)
        } else {
            PeerMessage::Digests(self.digests())
        };
        out.push(Output::Broadcast(receivers, message));
    }

    /// Whether a process is a registry that sends its updates to all proxies itself; anti-entropy repairs lost ones. A registry
    /// that does not vote has no proxies, and during a change of voters a new voter may not be linked to them yet.
    fn sends_to_all_proxies(&self, peer: &Hello) -> bool {
        let is_settled = !self.duties.is_joint(self.last_tick);
        peer.role == Role::Registry && is_settled && self.voters.contains(&peer.ip)
    }

    /// A peer has sent the digests of its items: requests a sync of each realm that differs, unless an exchange is in progress. A
    /// proxy starts its exchanges itself, with one registry at a time.
    pub(super) fn on_digests(
        &mut self,
        connection: ConnectionId,
        peer: &Hello,
        digests: [u64; 2],
        out: &mut Vec<Output>,
    ) {
        let is_replica = matches!(peer.role, Role::ConfigStore | Role::Registry);
        if is_replica && digests == self.digests() {
            self.last_equal = self.last_tick;
        }
        // An exchange in progress continues without a new request.
        let is_in_progress =
            self.last_sync.get(&connection).is_some_and(|at| self.last_tick < at + STATUS_INTERVAL / 2);
        for (realm, digest) in (0..).zip(digests) {
            let items = &self.realms[usize::from(realm)];
            if peer.role != Role::Proxy && !is_in_progress && digest != items.digest() {
                out.push(Output::Send(connection, PeerMessage::sync_request(items, realm)));
            }
        }
        if peer.role == Role::ConfigStore {
            let [config_digest, _] = digests;
            self.stores.entry(connection).or_default().config_digest = Some(config_digest);
            self.compare_with_stores();
            self.end_partial_update(out);
        }
    }

    /// Answers the anti-entropy message of another replica, unless the realm is withheld from it.
    pub(super) fn send_sync_reply(
        &self,
        connection: ConnectionId,
        peer: &Hello,
        realm: u8,
        parts: &[SyncPart],
        out: &mut Vec<Output>,
    ) {
        let Some(items) = self.realms.get(usize::from(realm)) else { return };
        if !self.is_withheld_from(peer, realm) {
            let reply = PeerMessage::sync_reply(items, realm, parts);
            out.extend(reply.map(|reply| Output::Send(connection, reply)));
        }
    }

    /// Sends the digests of both realms to proxies, unless the configuration is withheld.
    pub(super) fn send_digests_to_proxies(&self, proxies: Vec<ConnectionId>, out: &mut Vec<Output>) {
        if !self.partial.is_withheld(self.last_tick) {
            out.push(Output::Broadcast(proxies, PeerMessage::Digests(self.digests())));
        }
    }

    /// Marks the configuration here as complete once it equals that of a store with a complete replica, and renews the lease if
    /// a confirmed digest matches.
    pub(super) fn compare_with_stores(&mut self) {
        let digest = self.config_items().digest();
        let has_equal = self
            .stores
            .values()
            .any(|store| store.is_complete == Some(true) && store.config_digest == Some(digest));
        if !self.is_complete && has_equal {
            log::info!("configuration is complete: {} items", self.config_items().len());
            self.is_complete = true;
            // Sends the status now, not at the next interval: the proxies wait until it says that the configuration is complete.
            self.next_status = self.last_tick;
        }
        self.lease.compare(digest);
    }

    /// Notes that the configuration may be partial, and since when: it is withheld from proxies until it equals that of a store,
    /// for at most [`WITHHOLD_LIMIT`] from the first note.
    fn begin_partial_update(&mut self) {
        if self.partial == PartialUpdate::No {
            self.partial = PartialUpdate::Since(self.last_tick);
        }
    }

    /// Stops withholding the configuration once it equals that of a store, and sends the proxies its digest.
    fn end_partial_update(&mut self, out: &mut Vec<Output>) {
        let digest = self.config_items().digest();
        let has_equal = self.stores.values().any(|store| store.config_digest == Some(digest));
        if self.partial != PartialUpdate::No && has_equal {
            self.partial = PartialUpdate::No;
            self.send_digests_to_proxies(self.connections_of(Role::Proxy), out);
        }
    }

    /// Whether a realm is withheld from a process.
    fn is_withheld_from(&self, peer: &Hello, realm: u8) -> bool {
        peer.role == Role::Proxy && realm == CONFIG_REALM && self.partial.is_withheld(self.last_tick)
    }
}
