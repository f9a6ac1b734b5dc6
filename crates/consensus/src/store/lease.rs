//! The lease under which a store's replica counts as current.
//!
//! A store asks all others by heartbeat whether their replica equals its own. If a quorum confirms that, the replica held all
//! items that were committed when the store asked: an item that it lacked would have been accepted by at least one of those
//! that confirmed, whose replica would then differ or have a pending batch.

use std::collections::{BTreeMap, BTreeSet};

use super::{AfterWrite, Output, Store};
use crate::message::{Ballot, Member, Message, StoreName};
use crate::persistent_state::StateChange;
use crate::Micros;

/// How long a replica counts as current after the heartbeat that a quorum has confirmed.
pub const LEASE_DURATION: Micros = 2_000_000;
/// The interval between heartbeats.
const HEARTBEAT_INTERVAL: Micros = 500_000;
/// The interval between heartbeats of a store that is not current, or whose name is in the membership while its disk
/// incarnation is not.
const URGENT_HEARTBEAT_INTERVAL: Micros = 100_000;

/// The lease of one store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Lease {
    /// The members that have confirmed an equal replica, by the time of the heartbeat that asked them.
    confirmations: BTreeMap<Micros, BTreeSet<Member>>,
    /// The time of the last heartbeat for which a quorum has confirmed that the replica held all committed items.
    current_at: Option<Micros>,
}

impl Lease {
    /// Discards all confirmations, as the membership has changed.
    pub(super) fn forget_confirmations(&mut self) {
        self.confirmations.clear();
    }

    /// Whether the lease was ever held in this process.
    pub(super) fn was_ever_held(&self) -> bool {
        self.current_at.is_some()
    }

    /// The remaining time of the lease; 0 if it has expired.
    pub(super) fn remaining(&self, now: Micros) -> Micros {
        self.current_at.map_or(0, |heartbeat_at| (heartbeat_at + LEASE_DURATION).saturating_sub(now))
    }

    /// Starts to collect confirmations for a heartbeat that is sent now.
    fn start_round(&mut self, now: Micros) {
        self.confirmations.retain(|asked_at, _| now < *asked_at + LEASE_DURATION);
        self.confirmations.insert(now, BTreeSet::new());
    }

    /// Adds a confirmation and returns all for that heartbeat; `None` if the lease is as new as that, or the heartbeat is too
    /// old or was sent before the last change of membership.
    fn confirm(&mut self, asked_at: Micros, by: Member) -> Option<&BTreeSet<Member>> {
        if self.current_at.is_some_and(|heartbeat_at| heartbeat_at >= asked_at) {
            return None;
        }
        let confirmations = self.confirmations.get_mut(&asked_at)?;
        confirmations.insert(by);
        Some(confirmations)
    }

    /// Renews the lease from the time of a heartbeat that a quorum has confirmed.
    fn renew(&mut self, asked_at: Micros) {
        self.current_at = Some(asked_at);
        self.confirmations.retain(|heartbeat_at, _| *heartbeat_at > asked_at);
    }
}

impl Store {
    /// Sends heartbeats, which also ask for confirmations of the lease.
    pub(super) fn send_heartbeats(&mut self, now: Micros, highest_ballot: Ballot, out: &mut Vec<Output>) {
        let should_vote = self.membership.names().contains(&self.config.name);
        let is_urgent = !self.is_current(now) || should_vote && !self.is_voter();
        let interval = if is_urgent { URGENT_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL };
        self.next_heartbeat = now + interval;
        self.lease.start_round(now);
        let message = Message::Heartbeat {
            process_id: self.config.process_id,
            sent_at: now,
            digest: self.items().digest(),
            epoch: self.membership.epoch,
            incarnation: self.acceptor.incarnation(),
            highest_ballot,
        };
        let receivers = self.peers().into_iter().chain(self.failure_detector.alive(now));
        let receivers: BTreeSet<StoreName> = receivers.collect();
        out.extend(receivers.into_iter().map(|to| Output::Send { to, message: message.clone() }));
        // A store without peers is a quorum by itself: check that with a placeholder that is no member.
        self.on_confirmation(now, Member::default(), out);
    }

    /// Handles a member's confirmation, and renews the lease if a quorum has confirmed. This store counts as well, unless a
    /// batch is pending: a store that holds nothing but committed items has an equal replica, or had it when it was asked.
    pub(super) fn on_confirmation(&mut self, asked_at: Micros, by: Member, out: &mut Vec<Output>) {
        let own_name = &self.config.name;
        let confirming_incarnation = self.acceptor.incarnation().filter(|_| !self.acceptor.has_pending());
        let Some(confirmations) = self.lease.confirm(asked_at, by) else { return };
        let has_confirmed = |member: &Member| {
            let is_self = member.name == *own_name && confirming_incarnation == Some(member.incarnation);
            is_self || confirmations.contains(member)
        };
        if !self.proposer.is_quorum(has_confirmed) {
            return;
        }
        if !self.lease.was_ever_held() && !self.acceptor.is_complete() {
            let change = StateChange { is_complete: true, ..StateChange::default() };
            self.write(change.clone(), Some(AfterWrite::NotifyAcceptor(change)), out);
        }
        self.lease.renew(asked_at);
    }
}
