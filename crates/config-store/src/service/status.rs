//! What the store tells registries, the log and metrics about its replica and its quorum.

use pinerelay_consensus::{Membership, Micros, QuorumHealth};
use pinerelay_peer_link::message::{Metric, PeerMessage, Role};

use super::{Output, StoreService};

/// The status of the store as it is sent to registries.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Status {
    membership: Membership,
    is_complete: bool,
    is_current: bool,
}

impl StoreService {
    /// Logs the quorum health if it has changed.
    pub(super) fn log_quorum_health(&mut self, now: Micros) {
        let health = self.store.quorum_health(now);
        if self.logged_health == health {
            return;
        }
        self.logged_health = health;
        let QuorumHealth { voters, heard, needed } = health;
        let level = if health.has_quorum() { log::Level::Info } else { log::Level::Warn };
        log::log!(level, "heard from {heard} of {voters} voters, quorum is {needed}");
    }

    /// Metrics of the store and its calls.
    pub fn metrics(&self) -> Vec<Metric> {
        let health = self.store.quorum_health(self.last_tick);
        let is_complete = self.sent_status.as_ref().is_some_and(|status| status.is_complete);
        vec![
            Metric::new("config_store_items", self.store.items().len() as f64),
            Metric::flag("config_store_complete", self.store.is_complete()),
            Metric::flag("config_store_complete_reported", is_complete),
            Metric::new("config_store_voters", health.voters as f64),
            Metric::new("config_store_voters_heard", health.heard as f64),
            Metric::new("config_store_quorum", health.needed as f64),
            Metric::new("config_store_spare_voters", health.spare_voters() as f64),
            Metric::new("config_store_open_writes", self.open_writes as f64),
            Metric::new("config_store_open_calls", self.calls.len() as f64),
            Metric::new("config_store_calls_total", self.last_call as f64),
        ]
    }

    pub(super) fn status(&self, now: Micros) -> Status {
        Status {
            membership: self.store.membership().clone(),
            is_complete: self.store.is_complete(),
            is_current: self.store.is_current(now),
        }
    }

    /// Sends the status to all registries if it has changed since the last time.
    pub(super) fn send_changed_status(&mut self, now: Micros, out: &mut Vec<Output>) {
        let status = self.status(now);
        if self.sent_status.as_ref() != Some(&status) {
            self.send_status(status, out);
        }
    }

    /// Sends the status and the digests of all items to all registries.
    pub(super) fn send_status(&mut self, status: Status, out: &mut Vec<Output>) {
        let Status { membership, is_complete, is_current } = status.clone();
        if self.sent_status.as_ref().is_some_and(|sent| sent.is_complete != is_complete) {
            log::info!("the replica is {}", if is_complete { "complete" } else { "not complete" });
        }
        self.sent_status = Some(status);
        let registries = self.connections_of(Role::Registry);
        let message = PeerMessage::StoreStatus { membership, is_complete, is_current };
        out.push(Output::Broadcast(registries.clone(), message));
        out.push(Output::Broadcast(registries, PeerMessage::Digests(self.digests())));
    }

    pub(super) fn digests(&self) -> [u64; 2] {
        [self.store.items().digest(), self.runtime.items().digest()]
    }
}
