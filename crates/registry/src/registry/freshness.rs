//! The lease during which a registry's configuration counts as current. It is derived from the lease of a store.

use std::collections::BTreeMap;

use pinerelay_admission::duty::{Voters, JOINT_PERIOD};
use pinerelay_admission::Micros;
use pinerelay_consensus::store::MEMBERSHIP_CHANGE_INTERVAL;
use pinerelay_consensus::Membership;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{PeerMessage, Role, LEASE_DURATION};

use super::{Output, Registry};

/// For this long after the start of the process links may not be up yet.
pub(super) const START_GRACE: Micros = 1_000_000;

// The lease of an epoch ends one `LEASE_DURATION` after the epoch was the newest, plus one for the registry's own lease.
const _: () = assert!(JOINT_PERIOD > 2 * LEASE_DURATION + LEASE_DURATION / 10);
// Two changes of the voters' names are at least this far apart.
const _: () = assert!(JOINT_PERIOD <= MEMBERSHIP_CHANGE_INTERVAL);

/// A store's confirmation that its replica is current.
#[derive(Debug, Clone, Copy)]
struct Confirmation {
    /// The digest of the store's configuration items.
    digest: u64,
    /// When the confirmation expires.
    until: Micros,
}

/// The lease lasts for what was left of the store's own lease, counted from when the store was asked. So it ends no later than
/// the store's, and delays on the link or stalls do not extend it.
#[derive(Debug)]
pub(super) struct FreshnessLease {
    /// The last confirmation of each linked store.
    confirmations: BTreeMap<ConnectionId, Confirmation>,
    /// When the lease expires.
    until: Micros,
    /// Whether the last report to the proxies said that the lease was valid.
    reported_valid: bool,
}

impl FreshnessLease {
    /// Creates an expired lease.
    pub(super) fn new(now: Micros) -> FreshnessLease {
        FreshnessLease { confirmations: BTreeMap::new(), until: now, reported_valid: false }
    }

    /// Forgets the confirmation of a store whose connection has closed.
    pub(super) fn store_disconnected(&mut self, connection: ConnectionId) {
        self.confirmations.remove(&connection);
    }

    /// Renews the lease if the configuration here has a digest that a store has confirmed. Later changes do not end the lease:
    /// merging never removes what was committed.
    pub(super) fn compare(&mut self, own_digest: u64) {
        let equal = self.confirmations.values().filter(|confirmation| confirmation.digest == own_digest);
        let until = equal.map(|confirmation| confirmation.until).max().unwrap_or(0);
        self.until = self.until.max(until);
    }

    /// Whether a store's confirmation has not expired yet.
    pub(super) fn is_confirmed_by(&self, store: ConnectionId, now: Micros) -> bool {
        self.confirmations.get(&store).is_some_and(|confirmation| now < confirmation.until)
    }

    /// Whether less than half of [`LEASE_DURATION`] is left.
    pub(super) fn needs_renewal(&self, now: Micros) -> bool {
        now + LEASE_DURATION / 2 > self.until
    }

    /// How long ago the lease expired; 0 while it is valid.
    pub(super) fn time_since_expiry(&self, now: Micros) -> Micros {
        now.saturating_sub(self.until)
    }
}

impl Registry {
    /// Whether the configuration here includes all changes committed before a recent time, as the lease guarantees.
    pub fn is_current(&self, now: Micros) -> bool {
        now < self.lease.until
    }

    /// Takes over the voters of a new epoch.
    pub(super) fn set_voters(&mut self, now: Micros, membership: Membership) {
        let members = membership.names();
        log::info!("epoch {}: voters are {}", membership.epoch, members.join(", "));
        self.voters.clone_from(&members);
        self.previous_voters.clone_from(&membership.previous);
        let voters = Voters { epoch: membership.epoch, members, previous: membership.previous };
        self.duties.set_voters(now, voters);
    }

    /// A store has confirmed that its replica, which had this digest, is current until the given time.
    pub(super) fn store_confirmed(&mut self, store: ConnectionId, digest: u64, until: Micros) {
        self.lease.confirmations.insert(store, Confirmation { digest, until });
        self.compare_with_stores();
    }

    /// The answer to a proxy that asks whether this registry is current: the remaining time of the lease. `None` if the lease has
    /// expired or the configuration is withheld: a proxy must not start with a part of an operator's update.
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

    /// Sends the proxies the status at once when the lease becomes valid or expires: a starting proxy waits for this.
    pub(super) fn report_freshness(&mut self, now: Micros, out: &mut Vec<Output>) {
        let is_current = self.is_current(now);
        if std::mem::replace(&mut self.lease.reported_valid, is_current) == is_current {
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
