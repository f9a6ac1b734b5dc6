//! The lease under which a store's replica counts as current.
//!
//! A store asks all others whether their replica equals its own. If a quorum confirms that, the replica held all that was
//! committed at the moment at which the store asked: a later commit would have gone through one of those that confirmed.

use std::collections::{BTreeMap, BTreeSet};

use super::{AfterWrite, Output, Store};
use crate::message::{Ballot, Member, Message, StoreName};
use crate::persistent_state::StateChange;
use crate::Micros;

/// For how long after such a moment the replica counts as current.
pub const LEASE_DURATION: Micros = 2_000_000;
/// Interval of heartbeats.
const HEARTBEAT_INTERVAL: Micros = 500_000;
/// Interval of heartbeats of a store that is not current, or that should vote and does not.
const URGENT_HEARTBEAT_INTERVAL: Micros = 100_000;

/// The lease.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Lease {
    /// By when they were asked: the members that have confirmed an equal replica.
    confirmations: BTreeMap<Micros, BTreeSet<Member>>,
    /// The last moment at which a quorum has confirmed that the replica held all that was committed.
    current_at: Option<Micros>,
}

impl Lease {
    /// Forgets who has confirmed: the membership has changed.
    pub(super) fn forget_confirmations(&mut self) {
        self.confirmations.clear();
    }

    /// Whether it was ever held in this process.
    pub(super) fn was_ever_held(&self) -> bool {
        self.current_at.is_some()
    }

    /// What is left of it; 0 if it is over.
    pub(super) fn left(&self, now: Micros) -> Micros {
        self.current_at.map_or(0, |at| (at + LEASE_DURATION).saturating_sub(now))
    }

    /// Begins to collect confirmations for a moment.
    fn ask(&mut self, now: Micros) {
        self.confirmations.retain(|asked_at, _| now < *asked_at + LEASE_DURATION);
        self.confirmations.insert(now, BTreeSet::new());
    }

    /// Adds a confirmation; returns all for that moment, unless the lease is newer or the moment is forgotten.
    fn confirm(&mut self, asked_at: Micros, by: Member) -> Option<&BTreeSet<Member>> {
        if self.current_at.is_some_and(|at| at >= asked_at) {
            return None;
        }
        let confirmations = self.confirmations.get_mut(&asked_at)?;
        confirmations.insert(by);
        Some(confirmations)
    }

    fn renew(&mut self, asked_at: Micros) {
        self.current_at = Some(asked_at);
        self.confirmations.retain(|at, _| *at > asked_at);
    }
}

impl Store {
    /// Sends heartbeats, which also ask for confirmations.
    pub(super) fn send_heartbeats(&mut self, now: Micros, highest_ballot: Ballot, out: &mut Vec<Output>) {
        let should_vote = self.membership.names().contains(&self.config.name);
        let is_urgent = !self.is_current(now) || should_vote && !self.is_voter();
        let interval = if is_urgent { URGENT_HEARTBEAT_INTERVAL } else { HEARTBEAT_INTERVAL };
        self.next_heartbeat = now + interval;
        self.lease.ask(now);
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
        // A store without peers is a quorum by itself.
        self.confirmed(now, Member::default(), out);
    }

    /// A store that holds nothing but committed items has an equal replica, or had it when it was asked.
    pub(super) fn confirmed(&mut self, asked_at: Micros, by: Member, out: &mut Vec<Output>) {
        let own_name = &self.config.name;
        let own_vote = self.acceptor.incarnation().filter(|_| !self.acceptor.has_pending());
        let Some(confirmations) = self.lease.confirm(asked_at, by) else { return };
        let has_confirmed = |member: &Member| {
            let is_self = member.name == *own_name && own_vote == Some(member.incarnation);
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
