//! Anti-entropy with the registries, one exchange at a time.
//!
//! After a failure of the whole site every registry has all that a starting proxy lacks. The proxy fetches it from one of them, so
//! that its link carries the content once, and compares digests with the others; what differs there is reconciled in turn. Each
//! proxy prefers another registry by rendezvous hashing. A registry that makes no progress loses its turn to the next one.

use pinerelay_admission::Micros;
use pinerelay_config_state::anti_entropy::SyncPart;
use pinerelay_config_state::hash::rendezvous_order;
use pinerelay_config_state::Item;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{PeerMessage, CONFIG_REALM, RUNTIME_REALM};

use super::{Output, Subscriber};

/// A registry without progress for this long loses its turn to one that has not timed out, in microseconds.
const SYNC_TIMEOUT: Micros = 500_000;
/// A registry without progress for this long loses its turn to one that has timed out before, in microseconds. This is longer, so
/// that a proxy whose registries are all slow does not request the same items from each of them again and again.
const SYNC_RETRY_TIMEOUT: Micros = 1_000_000;
/// How long the proxy waits for the digests of the registry that it prefers, once another has sent its own, in microseconds.
const PREFERENCE_WAIT: Micros = 200_000;

/// An anti-entropy exchange in progress.
#[derive(Debug, Clone, Copy)]
pub(super) struct Exchange {
    connection: ConnectionId,
    realm: u8,
    /// When it began, or the registry last answered.
    last_progress: Micros,
    /// Whether the registry has answered.
    is_answered: bool,
}

impl Exchange {
    fn is_with(&self, connection: ConnectionId, realm: u8) -> bool {
        (self.connection, self.realm) == (connection, realm)
    }
}

/// The order in which differences are reconciled, the lowest first. Rendezvous hashing orders registries of the same rank.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether the registry has no items of the realm.
    is_empty: bool,
    /// When an exchange with the registry timed out, if it has not answered in time since.
    last_timeout: Option<Micros>,
    /// The configuration goes before the servers.
    realm: u8,
    /// Whether the registry does not report that it has the complete configuration.
    is_incomplete: bool,
    /// Whether the registry does not report that it is current.
    is_outdated: bool,
}

/// A realm in which the replica differs from a registry.
#[derive(Debug, Clone, Copy)]
struct Difference {
    connection: ConnectionId,
    since: Micros,
    rank: Rank,
}

impl Subscriber {
    /// The digests of the configuration items and of the runtime items.
    pub(super) fn digests(&self) -> [u64; 2] {
        [self.realms[0].digest(), self.realms[1].digest()]
    }

    /// Compares a registry's digests with those of the replica, and notes each realm that differs.
    pub(super) fn on_digests(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        digests: [u64; 2],
        out: &mut Vec<Output>,
    ) {
        let own_digests = self.digests();
        if digests == own_digests {
            self.last_in_sync = now;
        }
        self.update_registry(connection, |registry| registry.digests_reported(now, digests, own_digests));
        self.check_complete(now);
        self.continue_sync(now, out);
    }

    /// Merges the items of an anti-entropy message, and replies with the next one, unless another exchange is in progress.
    pub(super) fn on_sync(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        realm: u8,
        items: Vec<Item>,
        parts: &[SyncPart],
        out: &mut Vec<Output>,
    ) {
        let was_published = !self.is_unpublished;
        let (is_request, has_new) = (items.is_empty(), self.merge(now, items, out));
        if was_published && self.is_unpublished {
            self.partial_since.get_or_insert(now);
        }
        if self.exchange.is_some_and(|exchange| exchange.is_with(connection, realm)) {
            self.note_answer(now, connection);
            self.exchange = None;
        }
        // A late answer of another registry is taken up if the exchange in progress has not been answered at all, so that there is
        // progress also if all registries are slow.
        let takes_part = self.exchange.is_none_or(|exchange| !exchange.is_answered);
        if takes_part && (is_request || has_new) {
            self.reply_to_sync(now, connection, realm, parts, out);
        }
        self.continue_sync(now, out);
    }

    /// A registry that answers in time counts as responsive again.
    fn note_answer(&mut self, now: Micros, connection: ConnectionId) {
        let current = self.exchange.filter(|exchange| exchange.connection == connection);
        if current.is_some_and(|exchange| now < exchange.last_progress + SYNC_TIMEOUT) {
            self.update_registry(connection, |registry| registry.last_sync_timeout = None);
        }
    }

    /// Replies to an anti-entropy message. The exchange goes on if the reply asks for more.
    fn reply_to_sync(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        realm: u8,
        parts: &[SyncPart],
        out: &mut Vec<Output>,
    ) {
        let Some(items) = self.realms.get(usize::from(realm)) else { return };
        let Some(reply) = PeerMessage::sync_reply(items, realm, parts) else { return };
        if matches!(&reply, PeerMessage::Sync { parts, .. } if !parts.is_empty()) {
            self.exchange = Some(Exchange { connection, realm, last_progress: now, is_answered: true });
        }
        out.push(Output::Send(connection, reply));
    }

    /// Starts the next exchange if none is in progress, or the one in progress has ended or timed out.
    pub(super) fn continue_sync(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.exchange = self.exchange.filter(|exchange| self.is_open(exchange));
        if let Some(Exchange { connection, last_progress, .. }) = self.exchange {
            let timeout = last_progress + SYNC_TIMEOUT;
            if now < timeout {
                return;
            }
            self.update_registry(connection, |registry| registry.last_sync_timeout = Some(timeout));
        }
        if let Some(next) = self.next_difference(now).filter(|next| !self.precedes(now, next)) {
            self.start_exchange(now, next, out);
        }
    }

    /// Whether the exchange in progress still goes before another one with a registry that has timed out, too.
    fn precedes(&self, now: Micros, next: &Difference) -> bool {
        let retries_at = self.exchange.map(|exchange| exchange.last_progress + SYNC_RETRY_TIMEOUT);
        next.rank.last_timeout.is_some() && retries_at.is_some_and(|at| now < at)
    }

    /// Whether the registry of an exchange is linked, and was not equal to the replica as far as it has reported.
    fn is_open(&self, exchange: &Exchange) -> bool {
        let own_digests = self.digests();
        let index = usize::from(exchange.realm);
        self.registries.get(&exchange.connection).is_some_and(|registry| {
            registry.digests.is_none_or(|digests| digests.get(index) != own_digests.get(index))
        })
    }

    fn start_exchange(&mut self, now: Micros, next: Difference, out: &mut Vec<Output>) {
        let Difference { connection, rank: Rank { realm, .. }, .. } = next;
        let index = usize::from(realm);
        self.update_registry(connection, |registry| registry.differs_since[index] = None);
        self.exchange = Some(Exchange { connection, realm, last_progress: now, is_answered: false });
        let request = PeerMessage::sync_request(&self.realms[index], realm);
        out.push(Output::Send(connection, request));
    }

    /// The difference to reconcile next. `None` if nothing differs, or the digests of the preferred registry are still awaited.
    fn next_difference(&self, now: Micros) -> Option<Difference> {
        let differences = self.differences();
        let since = differences.iter().map(|difference| difference.since).min()?;
        if now < since + PREFERENCE_WAIT && self.awaits_preferred() {
            return None;
        }
        let ip =
            |difference: &Difference| self.registries.get(&difference.connection).map(|link| &link.hello.ip);
        let order = rendezvous_order(&self.own_hello.node, differences.iter().filter_map(ip));
        let position =
            |difference: &Difference| order.iter().position(|other| Some(*other) == ip(difference));
        let next = differences.iter().min_by_key(|difference| (difference.rank, position(difference)));
        next.copied()
    }

    /// The realms in which the replica differs from the registries' last digests, where no exchange has started since.
    fn differences(&self) -> Vec<Difference> {
        let own_digests = self.digests();
        let mut differences = Vec::new();
        for (&connection, registry) in &self.registries {
            for realm in [CONFIG_REALM, RUNTIME_REALM] {
                let index = usize::from(realm);
                let digest = registry.digests.map(|digests| digests[index]);
                let since = registry.differs_since[index].filter(|_| digest != Some(own_digests[index]));
                let rank = Rank {
                    is_empty: digest == Some(0),
                    last_timeout: registry.last_sync_timeout,
                    realm,
                    is_incomplete: !registry.is_complete(),
                    is_outdated: !registry.reports_current(),
                };
                differences.extend(since.map(|since| Difference { connection, since, rank }));
            }
        }
        differences
    }

    /// Whether the registry that this proxy prefers has not sent its digests yet.
    fn awaits_preferred(&self) -> bool {
        let wanted = self.wanted_registries();
        let order = rendezvous_order(&self.own_hello.node, &wanted);
        let has_reported = |ip: &&String| {
            self.registries.values().any(|registry| registry.hello.ip == **ip && registry.digests.is_some())
        };
        !order.first().is_none_or(has_reported)
    }
}
