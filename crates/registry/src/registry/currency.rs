//! Whether what a registry has is current: a lease that rests on a store's own, and what is told of it.

use std::collections::BTreeMap;

use pinerelay_admission::duty::{Voters, JOINT_PERIOD};
use pinerelay_admission::Micros;
use pinerelay_consensus::store::MEMBERSHIP_CHANGE_INTERVAL;
use pinerelay_consensus::Membership;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{PeerMessage, Role, LEASE_DURATION};

use super::{Output, Registry};

/// A process that has just started may have no links yet.
pub(super) const START_GRACE: Micros = 1_000_000;

// The lease of an epoch ends one `LEASE_DURATION` after the epoch was the newest, plus one for the registry's own lease.
const _: () = assert!(JOINT_PERIOD > 2 * LEASE_DURATION + LEASE_DURATION / 10);
// A change of the voters' names is agreed on no sooner than this after the one before.
const _: () = assert!(JOINT_PERIOD <= MEMBERSHIP_CHANGE_INTERVAL);

/// What a store has confirmed.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    /// The digest of its items.
    digest: u64,
    /// Until when they count as current.
    until: Micros,
}

/// The lease: what was left of a store's own, counted from before the store was asked. So it ends no later than the store's,
/// and what a link or a stall has held up does not make it longer.
#[derive(Debug)]
pub(super) struct CurrencyLease {
    confirmations: BTreeMap<ConnectionId, Confirmation>,
    until: Micros,
    /// Whether it held when it was reported last.
    is_reported: bool,
}

impl CurrencyLease {
    /// A lease that has ended.
    pub(super) fn new(now: Micros) -> CurrencyLease {
        CurrencyLease { confirmations: BTreeMap::new(), until: now, is_reported: false }
    }

    /// The connection to a store has gone.
    pub(super) fn store_disconnected(&mut self, connection: ConnectionId) {
        self.confirmations.remove(&connection);
    }

    /// Renews the lease if the items here have a digest that a store has confirmed. What a store had at a moment is held from
    /// then on, whatever is added to it.
    pub(super) fn compare(&mut self, own_digest: u64) {
        let equal = self.confirmations.values().filter(|confirmation| confirmation.digest == own_digest);
        let until = equal.map(|confirmation| confirmation.until).max().unwrap_or(0);
        self.until = self.until.max(until);
    }

    /// Whether a store has confirmed lately that it is current.
    pub(super) fn is_confirmed_by(&self, store: ConnectionId, now: Micros) -> bool {
        self.confirmations.get(&store).is_some_and(|confirmation| now < confirmation.until)
    }

    /// Whether less than half of it is left.
    pub(super) fn is_waning(&self, now: Micros) -> bool {
        now + LEASE_DURATION / 2 > self.until
    }

    /// How long ago it has ended.
    pub(super) fn ended_for(&self, now: Micros) -> Micros {
        now.saturating_sub(self.until)
    }
}

impl Registry {
    /// Whether it has all that was committed at a moment not long ago.
    pub fn is_current(&self, now: Micros) -> bool {
        now < self.lease.until
    }

    pub(super) fn set_voters(&mut self, now: Micros, membership: Membership) {
        let members = membership.names();
        log::info!("epoch {}: voters are {}", membership.epoch, members.join(", "));
        self.voters.clone_from(&members);
        self.previous_voters.clone_from(&membership.previous);
        let voters = Voters { epoch: membership.epoch, members, previous: membership.previous };
        self.duties.set_voters(now, voters);
    }

    /// A store has confirmed that its replica, which had this digest, is current until then.
    pub(super) fn store_confirmed(&mut self, store: ConnectionId, digest: u64, until: Micros) {
        self.lease.confirmations.insert(store, Confirmation { digest, until });
        self.compare_with_stores();
    }

    /// The answer to a proxy that asks whether this registry is current: what is left of the lease; `None` if nothing is. A part
    /// of an operator's update is no configuration to start with.
    pub(super) fn current_confirmation(
        &self,
        now: Micros,
        connection: ConnectionId,
        asked_at: Micros,
    ) -> Option<Output> {
        let lease_left = self.lease.until.saturating_sub(now);
        let (epoch, digest) = (self.duties.epoch(), self.config_items().digest());
        let is_confirmed = lease_left > 0 && !self.partial.is_withheld(now);
        is_confirmed
            .then_some(Output::Send(connection, PeerMessage::Current { asked_at, epoch, digest, lease_left }))
    }

    /// Tells the proxies at once when it has become current, or is not any more: a proxy that starts waits for it.
    pub(super) fn report_currency(&mut self, now: Micros, out: &mut Vec<Output>) {
        let is_current = self.is_current(now);
        if std::mem::replace(&mut self.lease.is_reported, is_current) == is_current {
            return;
        }
        if is_current {
            log::info!("the configuration is current");
        } else {
            log::warn!("the configuration is not known to be current: no store confirms it");
        }
        let proxies = self.connections_of(Role::Proxy);
        let status = PeerMessage::RegistryStatus(self.status(now));
        out.push(Output::Broadcast(proxies.clone(), status));
        self.send_digests_to_proxies(proxies, out);
    }
}
