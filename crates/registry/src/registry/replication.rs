//! What a registry takes over from others and passes on: updates at once, the rest by anti-entropy.
//!
//! Proxies receive the configuration in whole operator's calls only. Anti-entropy brings a call in pieces, so while it is under
//! way between this registry and a store, proxies receive nothing of the configuration from here; they have other registries.

use pinerelay_admission::Micros;
use pinerelay_config_state::anti_entropy::{fits_one_message, SyncPart};
use pinerelay_config_state::server::Server;
use pinerelay_config_state::Item;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{Hello, PeerMessage, Role, CONFIG_REALM, RUNTIME_REALM};

use super::{Output, Registry, STATUS_INTERVAL};

/// Proxies receive a configuration that came in pieces after so long at the latest.
const WITHHOLD_LIMIT: Micros = 1_000_000;

/// In which portions items have arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Arrival {
    /// All items of an operator's call together.
    WholeCall,
    /// As anti-entropy divides them.
    Piece,
}

/// Whether the configuration here may hold a part of an operator's call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum PartialUpdate {
    /// It has been equal to that of a store since the last piece came.
    #[default]
    No,
    /// Pieces have come since this moment.
    Since(Micros),
}

impl PartialUpdate {
    /// Whether proxies do not receive it yet.
    pub(super) fn is_withheld(self, now: Micros) -> bool {
        matches!(self, PartialUpdate::Since(since) if now < since + WITHHOLD_LIMIT)
    }
}

fn realm_of(item: &Item) -> u8 {
    if item.key.kind.is_config() {
        CONFIG_REALM
    } else {
        RUNTIME_REALM
    }
}

impl Registry {
    /// Takes over items that are new, and passes them on to those who have not received them from their source. Returns whether
    /// there were any.
    pub(super) fn merge(
        &mut self,
        from: ConnectionId,
        peer: &Hello,
        items: Vec<Item>,
        arrival: Arrival,
        out: &mut Vec<Output>,
    ) -> bool {
        let mut updates = self.merge_items(items);
        if updates.is_empty() {
            return false;
        }
        if updates.iter().any(|item| item.key.kind.is_config()) {
            updates.iter().for_each(|item| self.table.apply(item));
            if arrival == Arrival::Piece {
                self.begin_partial_update();
                updates.retain(|item| !item.key.kind.is_config());
            }
            self.compare_with_stores();
            self.end_partial_update(out);
        }
        self.pass_on(from, peer, updates, out);
        true
    }

    fn merge_items(&mut self, items: Vec<Item>) -> Vec<Item> {
        let mut updates = Vec::new();
        let time_of_day = self.time_of_day(self.last_tick);
        for item in items.into_iter().filter(|item| !Server::is_expired_tombstone(item, time_of_day)) {
            if self.realms[usize::from(realm_of(&item))].merge(item.clone()) {
                self.note_server_item(&item);
                updates.push(item);
            }
        }
        updates
    }

    fn pass_on(&mut self, from: ConnectionId, peer: &Hello, updates: Vec<Item>, out: &mut Vec<Output>) {
        if updates.is_empty() {
            return;
        }
        let mut receivers = Vec::new();
        if !self.reaches_all_proxies(peer) {
            receivers.extend(self.connections_of(Role::Proxy));
        }
        if peer.role == Role::Proxy {
            receivers.extend(self.registry_connections().into_values());
        }
        if peer.role != Role::ConfigStore && updates.iter().any(|item| !item.key.kind.is_config()) {
            receivers.extend(self.own_store());
        }
        receivers.retain(|connection| *connection != from);
        // Many items would hold up the messages behind them: the receivers fetch those by anti-entropy.
        let message = if fits_one_message(&updates) {
            PeerMessage::Update(updates)
        } else {
            PeerMessage::Digests(self.digests())
        };
        out.push(Output::Broadcast(receivers, message));
    }

    /// Whether a process is a registry that sends its updates to all proxies itself; anti-entropy brings what they miss. A
    /// registry that does not vote has no proxies, and while voters change one that does may not have them yet.
    fn reaches_all_proxies(&self, peer: &Hello) -> bool {
        let is_settled = !self.duties.is_joint(self.last_tick);
        peer.role == Role::Registry && is_settled && self.voters.contains(&peer.ip)
    }

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
        // An exchange that is under way goes on by itself.
        let is_under_way =
            self.last_sync.get(&connection).is_some_and(|at| self.last_tick < at + STATUS_INTERVAL / 2);
        for (realm, digest) in (0..).zip(digests) {
            let items = &self.realms[usize::from(realm)];
            if !is_under_way && digest != items.digest() && !self.is_withheld_from(peer, realm) {
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

    /// Replies to what another replica has sent about its items.
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

    /// Sends the digests of the items here to proxies, unless the configuration is withheld.
    pub(super) fn send_digests_to_proxies(&self, proxies: Vec<ConnectionId>, out: &mut Vec<Output>) {
        if !self.partial.is_withheld(self.last_tick) {
            out.push(Output::Broadcast(proxies, PeerMessage::Digests(self.digests())));
        }
    }

    /// Checks whether it has all that a store with a complete replica has.
    pub(super) fn compare_with_stores(&mut self) {
        let digest = self.config_items().digest();
        let has_equal = self
            .stores
            .values()
            .any(|store| store.is_complete == Some(true) && store.config_digest == Some(digest));
        if !self.is_complete && has_equal {
            log::info!("has the complete configuration: {} items", self.config_items().len());
            self.is_complete = true;
            // The proxies wait for this.
            self.next_status = self.last_tick;
        }
        self.lease.compare(digest);
    }

    fn begin_partial_update(&mut self) {
        if self.partial == PartialUpdate::No {
            self.partial = PartialUpdate::Since(self.last_tick);
        }
    }

    /// Tells the proxies once the configuration here is equal to that of a store again.
    fn end_partial_update(&mut self, out: &mut Vec<Output>) {
        let digest = self.config_items().digest();
        let has_equal = self.stores.values().any(|store| store.config_digest == Some(digest));
        if self.partial != PartialUpdate::No && has_equal {
            self.partial = PartialUpdate::No;
            self.send_digests_to_proxies(self.connections_of(Role::Proxy), out);
        }
    }

    /// Whether nothing of a realm is sent to a process.
    fn is_withheld_from(&self, peer: &Hello, realm: u8) -> bool {
        peer.role == Role::Proxy && realm == CONFIG_REALM && self.partial.is_withheld(self.last_tick)
    }
}
