//! Handlers for the messages between stores.

use pinerelay_config_state::anti_entropy::SyncPart;
use pinerelay_config_state::Item;

use super::{report_committed, AfterWrite, Effects, Output, Store};
use crate::acceptor::{AcceptResponse, PrepareResponse};
use crate::message::{Ballot, Batch, Member, Membership, Message};
use crate::Micros;

impl Store {
    /// Handles a message from another store, or from this store to itself.
    pub(super) fn receive(&mut self, now: Micros, from: &str, message: Message, effects: &mut Effects) {
        let out = &mut *effects.out;
        match message {
            Message::Prepare { ballot, membership, range_digests } => {
                self.on_prepare(now, from, ballot, membership, range_digests, out);
            }
            Message::Accept { ballot, missing, batch } => self.on_accept(from, ballot, missing, batch, out),
            Message::Commit { ballot, membership, batch } => {
                self.on_commit(now, ballot, membership, batch, out);
            }
            Message::Promise { .. } => self.on_promise(now, from, message, effects),
            Message::Reject { .. } | Message::Accepted { .. } => {
                let committed = self.acceptor.committed();
                self.proposer.receive(now, from, message, committed, &mut effects.actions);
            }
            Message::NewMembership(membership) => self.learn_membership(now, membership, out),
            Message::Heartbeat { .. } => self.on_heartbeat(now, from, message, out),
            Message::HeartbeatAck { .. } => self.on_heartbeat_ack(from, message, out),
            Message::Sync { items, parts } => self.on_sync(from, items, &parts, out),
            Message::Update(items) => {
                let learned = self.acceptor.learn(items);
                self.apply_learned(learned, out);
            }
        }
    }

    fn on_prepare(
        &mut self,
        now: Micros,
        from: &str,
        ballot: Ballot,
        membership: Membership,
        range_digests: Vec<u64>,
        out: &mut Vec<Output>,
    ) {
        if membership.epoch < self.membership.epoch {
            return self.send(from.into(), Message::NewMembership(self.membership.clone()), out);
        }
        self.learn_membership(now, membership, out);
        match self.acceptor.prepare(ballot, &range_digests) {
            PrepareResponse::Reply(reply) => self.send(from.into(), reply, out),
            PrepareResponse::AfterWrite(change) => {
                let (epoch, promise_ceiling) = (self.membership.epoch, change.promise_ceiling);
                let to = from.into();
                let after = AfterWrite::SendPromise { to, epoch, ballot, range_digests, promise_ceiling };
                self.write(change, Some(after), out);
            }
            PrepareResponse::None => {}
        }
    }

    fn on_accept(
        &mut self,
        from: &str,
        ballot: Ballot,
        missing: Vec<Item>,
        batch: Batch,
        out: &mut Vec<Output>,
    ) {
        match self.acceptor.accept(ballot, missing, batch) {
            AcceptResponse::AfterWrite { learned, change } => {
                self.write(change, Some(AfterWrite::SendAccepted { to: from.into(), ballot }), out);
                report_committed(learned, out);
            }
            AcceptResponse::Reply(reply) => self.send(from.into(), reply, out),
            AcceptResponse::None => {}
        }
    }

    fn on_commit(
        &mut self,
        now: Micros,
        ballot: Ballot,
        membership: Membership,
        batch: Batch,
        out: &mut Vec<Output>,
    ) {
        // The commit may discard a change of membership that is pending here and was chosen: the membership that resulted
        // from it must not be lost.
        self.learn_membership(now, membership, out);
        if let Some(next) = batch.membership {
            self.learn_membership(now, next, out);
        }
        let learned = self.acceptor.commit(ballot, batch.items);
        self.apply_learned(learned, out);
    }

    fn on_promise(&mut self, now: Micros, from: &str, message: Message, effects: &mut Effects) {
        if let Message::Promise { items, .. } = &message {
            // Items that any store reports as committed were chosen, so they may be merged at once.
            let learned = self.acceptor.learn(items.clone());
            self.apply_learned(learned, effects.out);
        }
        self.proposer.receive(now, from, message, self.acceptor.committed(), &mut effects.actions);
    }

    fn on_heartbeat(&mut self, now: Micros, from: &str, message: Message, out: &mut Vec<Output>) {
        let Message::Heartbeat { process_id, sent_at, digest, epoch, incarnation, highest_ballot } = message
        else {
            return;
        };
        self.proposer.observe_ballot(highest_ballot);
        let own_digest = self.items().digest();
        self.failure_detector.heartbeat(now, from, incarnation, digest == own_digest);
        let ack = Message::HeartbeatAck {
            process_id,
            sent_at,
            digest: own_digest,
            epoch: self.membership.epoch,
            incarnation: self.acceptor.incarnation(),
            has_pending: self.acceptor.has_pending(),
        };
        self.send(from.into(), ack, out);
        if epoch < self.membership.epoch {
            self.send(from.into(), Message::NewMembership(self.membership.clone()), out);
        }
        if digest != own_digest {
            let request = Message::Sync { items: Vec::new(), parts: self.items().sync_request() };
            self.send(from.into(), request, out);
        }
    }

    fn on_heartbeat_ack(&mut self, from: &str, message: Message, out: &mut Vec<Output>) {
        let Message::HeartbeatAck { process_id, sent_at, digest, epoch, incarnation, has_pending } = message
        else {
            return;
        };
        let is_equal = epoch == self.membership.epoch && digest == self.items().digest() && !has_pending;
        if process_id != self.config.process_id || !is_equal {
            return;
        }
        if let Some(incarnation) = incarnation {
            self.on_confirmation(sent_at, Member { name: from.into(), incarnation }, out);
        }
    }

    /// Merges the items that are newer at the sender, and replies with those that are newer here and the parts to compare
    /// next.
    fn on_sync(&mut self, from: &str, items: Vec<Item>, parts: &[SyncPart], out: &mut Vec<Output>) {
        let is_request = items.is_empty();
        let learned = self.acceptor.learn(items);
        // If none of the items is new, another exchange about the same difference is already in progress: end this one.
        let should_reply = is_request || !learned.items.is_empty();
        self.apply_learned(learned, out);
        let reply = self.items().sync_reply(parts);
        if should_reply && !reply.is_empty() {
            self.send(from.into(), Message::Sync { items: reply.items, parts: reply.parts }, out);
        }
    }
}
