//! Feeds inputs to the stores and applies their outputs to the state.

use std::sync::Arc;

use pinerelay_config_state::{operator_call, Item};
use pinerelay_consensus::StateChange;
use pinerelay_consensus::StoreConfig;
use pinerelay_consensus::{Ballot, Input, Message, Output, Reply, Request, Store};

use crate::properties::{FRESH_READ, ONE_REPLY};
use crate::scope::{Defect, PriorCall, Scope, Step};
use crate::shared::{hash_of, Shared};
use crate::state::{holds_item, store_name, CallSet, Effect, Envelope, Machine, SystemState, Transition};
use stateright::Model;

impl Scope {
    /// Starts a process on a machine. `first_start`: the system starts for the first time.
    pub fn start(&self, state: &mut SystemState, me: usize, first_start: bool) {
        let mut out = Vec::new();
        let seeds = (0..self.voters).map(store_name).collect();
        state.machines[me].modify(|machine| {
            machine.process_id += 1;
            machine.now = 0;
            let mut config = StoreConfig {
                name: store_name(me),
                process_id: machine.process_id,
                tolerated_losses: 1,
                first_start,
                seeds,
            };
            let mut disk = Option::clone(&machine.disk);
            match (self.defect, &mut disk) {
                (Some(Defect::ForgetsPromises), Some(persisted)) => persisted.promise_ceiling = 0,
                (Some(Defect::ReusesBallots), _) => config.process_id = 1,
                (Some(Defect::TreatsEmptyDiskAsFirstStart), None) => config.first_start = me < self.voters,
                (Some(Defect::MarksEmptyDiskComplete), None) if !first_start => {
                    Store::new(config.clone(), None, &mut out);
                    let persisted = disk.get_or_insert_default();
                    for output in out.drain(..) {
                        if let Output::Write { id: _, change } = output {
                            persisted.apply(&StateChange { is_complete: true, ..change });
                        }
                    }
                    machine.disk = disk.clone().into();
                }
                _ => {}
            }
            let store = Store::new(config, disk, &mut out);
            machine.heartbeats_sent.clear();
            machine.deferred_prepares.clear();
            machine.store = Some(store.into());
        });
        self.apply_effects(state, me, &self.to_effects(me, out));
    }

    /// Gives an input to the store of a machine, if it runs. `input_hash`, the hash of the input, is part of the key under
    /// which the transition is memoized.
    pub fn apply_input(
        &self,
        state: &mut SystemState,
        me: usize,
        input_hash: u64,
        input: impl FnOnce() -> Input,
    ) {
        let Some(store) = &state.machines[me].store else { return };
        let now = state.machines[me].now;
        let Transition(store, out) =
            self.transitions.get_or_insert_with(hash_of((store.0, now, input_hash)), || {
                let mut out = Vec::new();
                let mut store = Store::clone(store);
                store.step(now, input(), &mut out);
                Transition(store.into(), Arc::new(self.to_effects(me, out)))
            });
        state.record_membership(store.membership());
        if state.machines[me].store.as_ref() != Some(&store) {
            state.machines[me].modify(|machine| machine.store = Some(store));
        }
        self.apply_effects(state, me, &out);
    }

    /// Delivers a message to its receiver, as altered by the seeded defect.
    pub fn deliver(&self, state: &mut SystemState, envelope: &Shared<Envelope>) {
        if let Some(message) = self.altered_message(state, envelope) {
            let input_hash = hash_of((envelope.from, &message));
            return self.apply_input(state, envelope.to, input_hash, || Input::Message {
                from: store_name(envelope.from),
                message,
            });
        }
        let write_count = state.machines[envelope.to].unsynced_writes.len();
        self.apply_input(state, envelope.to, envelope.0, || Input::Message {
            from: store_name(envelope.from),
            message: envelope.message.clone(),
        });
        if let (Some(Defect::PromisesInPastEpoch), Message::Prepare { .. }) = (self.defect, &envelope.message)
        {
            let machine = &mut state.machines[envelope.to];
            if let Some((write_id, _)) = machine.unsynced_writes.get(write_count).cloned() {
                machine.modify(|machine| machine.deferred_prepares.push((write_id, envelope.clone())));
            }
        }
    }

    /// The message that the receiver gets instead, if the seeded defect alters it.
    pub fn altered_message(&self, state: &SystemState, envelope: &Envelope) -> Option<Message> {
        let store = state.machines[envelope.to].store.as_ref()?;
        let own_membership = || store.membership().clone();
        match (self.defect?, envelope.message.clone()) {
            (Defect::CommitsUnderReceiverEpoch, Message::Commit { ballot, batch, .. }) => {
                Some(Message::Commit { ballot, membership: own_membership(), batch })
            }
            (Defect::OmitsMissingItems, Message::Accept { ballot, batch, .. }) => {
                Some(Message::Accept { ballot, missing: Vec::new(), batch })
            }
            (
                Defect::HidesPending,
                Message::HeartbeatAck { process_id, sent_at, digest, epoch, incarnation, .. },
            ) => Some(Message::HeartbeatAck {
                process_id,
                sent_at,
                digest,
                epoch,
                incarnation,
                has_pending: false,
            }),
            _ => None,
        }
    }

    /// The effects of the outputs of a store. Messages to unknown stores are dropped, and background messages unless the
    /// scope has them.
    pub fn to_effects(&self, me: usize, out: Vec<Output>) -> Vec<Effect> {
        let to_effect = |output| match output {
            Output::Send { to, message } => {
                let to = (0..self.machine_count).find(|n| store_name(*n) == to)?;
                let is_background = matches!(
                    message,
                    Message::Heartbeat { .. }
                        | Message::HeartbeatAck { .. }
                        | Message::Sync { .. }
                        | Message::Update(_)
                );
                let sent_at =
                    if let Message::Heartbeat { sent_at, .. } = message { Some(sent_at) } else { None };
                (self.background_messages || !is_background)
                    .then(|| Effect::Send(Envelope { from: me, to, message }.into(), sent_at))
            }
            Output::Write { id: write_id, change } => Some(Effect::Write(write_id, change.into())),
            Output::Reply { id, reply } => Some(Effect::Reply(id, reply)),
            Output::Committed(_) => None,
        };
        out.into_iter().filter_map(to_effect).collect()
    }

    /// Applies the effects of an input. Writes become durable at once, unless their sync is delayed on this machine.
    pub fn apply_effects(&self, state: &mut SystemState, me: usize, effects: &[Effect]) {
        let mut write_ids = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send(envelope, sent_at) => {
                    if let Some(sent_at) = sent_at {
                        let acknowledged = state.acknowledged;
                        state.machines[me].modify(|machine| {
                            if machine.heartbeats_sent.last().is_none_or(|(at, _)| at != sent_at) {
                                machine.heartbeats_sent.push((*sent_at, acknowledged));
                            }
                        });
                    }
                    state.send(envelope.clone());
                }
                Effect::Write(write_id, change) => {
                    state.machines[me]
                        .modify(|machine| machine.unsynced_writes.push((*write_id, change.clone())));
                    write_ids.push(*write_id);
                }
                Effect::Reply(id, reply) => self.record_reply(state, *id as usize, reply.clone()),
            }
        }
        for write_id in write_ids {
            if !self.delayed_sync.contains(&me) {
                self.sync(state, me);
            } else if self.defect == Some(Defect::ReportsWriteBeforeSync) {
                self.complete_write(state, me, write_id);
            }
        }
    }

    /// Makes the oldest unsynced write of a machine durable and reports it to the store.
    pub fn sync(&self, state: &mut SystemState, me: usize) {
        let write_id = state.machines[me].modify(|machine| machine.sync(&self.disks));
        self.complete_write(state, me, write_id);
    }

    /// Reports a write as durable to the store.
    pub fn complete_write(&self, state: &mut SystemState, me: usize, write_id: u64) {
        let deferred = state.machines[me]
            .deferred_prepares
            .iter()
            .find(|(id, _)| *id == write_id)
            .map(|(_, envelope)| envelope.clone());
        let promise =
            deferred.and_then(|prepare| self.stale_promise(&state.machines[me], write_id, &prepare));
        let network_before = state.network.clone();
        self.apply_input(state, me, hash_of(("written", write_id)), || Input::WriteCompleted {
            id: write_id,
            succeeded: true,
        });
        if let Some(promise) = promise {
            // Sent in place of the newer membership.
            state.network = network_before;
            state.send(promise.into());
        }
    }

    /// For [`Defect::PromisesInPastEpoch`]: the promise of a store for a `Prepare` that waited for a write, if the epoch of
    /// that `Prepare` has passed meanwhile.
    pub fn stale_promise(&self, machine: &Machine, write_id: u64, prepare: &Envelope) -> Option<Envelope> {
        let Message::Prepare { ballot, membership, range_digests } = &prepare.message else { return None };
        let mut store = Store::clone(machine.store.as_ref()?);
        store.step(machine.now, Input::WriteCompleted { id: write_id, succeeded: true }, &mut Vec::new());
        if membership.epoch >= store.membership().epoch {
            return None;
        }
        // A second `Prepare` under this ballot would be rejected, so the store gets one under a higher ballot and in its own
        // epoch.
        let (higher_ballot, membership) = (Ballot::new(ballot.round, u64::MAX), store.membership().clone());
        let retry =
            Message::Prepare { ballot: higher_ballot, membership, range_digests: range_digests.clone() };
        let mut out = Vec::new();
        store.step(machine.now, Input::Message { from: store_name(prepare.from), message: retry }, &mut out);
        out.into_iter().find_map(|output| match output {
            Output::Send {
                to: _,
                message: Message::Promise { ballot: _, incarnation, accepted, pending, range_digests, items },
            } => {
                let message = Message::Promise {
                    ballot: *ballot,
                    incarnation,
                    accepted,
                    pending,
                    range_digests,
                    items,
                };
                Some(Envelope { from: prepare.to, to: prepare.from, message })
            }
            _ => None,
        })
    }

    /// Records the reply to a call, and checks that the call had none before and that a read is fresh.
    pub fn record_reply(&self, state: &mut SystemState, id: usize, reply: Reply) {
        let Some(at) = state.open_calls.iter().position(|(call, _)| *call == id) else {
            state.violation = Some(ONE_REPLY);
            return;
        };
        let (_, required) = state.open_calls.remove(at);
        match reply {
            Reply::Acknowledged => {
                state.acknowledged |= 1 << id;
                state.observed |= 1 << id;
            }
            Reply::Rejected(_) => state.rejected |= 1 << id,
            Reply::Unknown => {}
            Reply::Text(text) => {
                let returned = operator_call::parse_update(format!("{{\"upsert\":{text}}}").as_bytes())
                    .expect("a rendered configuration parses");
                let all = self.items(CallSet::MAX);
                let deletions: Vec<Item> = all.filter(|item| item.value.is_none()).cloned().collect();
                // An item that is missing must have been deleted under a higher revision.
                if !self
                    .items(required)
                    .all(|item| holds_item(&returned, item) || holds_item(&deletions, item))
                {
                    state.violation = Some(FRESH_READ);
                }
                for (n, (_, request)) in self.calls.iter().enumerate() {
                    let Request::Update(items) = request else { continue };
                    if items.iter().all(|item| returned.contains(item)) {
                        state.observed |= 1 << n;
                    }
                }
            }
        }
    }

    /// Makes a call and delivers messages, as configured, until none is left. The call must have been acknowledged by then.
    pub fn make_prior_call(
        &self,
        state: &mut SystemState,
        PriorCall { call, unreachable, commits_in_flight, unsynced_machines, duplicate_promises }: &PriorCall,
    ) {
        let mut in_flight = Vec::new();
        *state = self.next_state(state, Step::Call(*call)).expect("a call is always enabled");
        loop {
            let has_write = |me: &usize| {
                !unsynced_machines.contains(me) && !state.machines[*me].unsynced_writes.is_empty()
            };
            if let Some(me) = (0..self.machine_count).find(has_write) {
                self.sync(state, me);
                continue;
            }
            if state.network.is_empty() {
                break;
            }
            let envelope = state.network.remove(0);
            let is_commit = matches!(envelope.message, Message::Commit { .. });
            if *commits_in_flight && is_commit
                || *duplicate_promises && matches!(envelope.message, Message::Promise { .. })
            {
                in_flight.push(envelope.clone());
            }
            if !(*commits_in_flight && is_commit || unreachable.contains(&envelope.to)) {
                self.deliver(state, &envelope);
            }
        }
        assert_ne!(
            state.acknowledged & (1 << call),
            0,
            "{}: call {call} is not acknowledged before the search",
            self.name
        );
        in_flight.into_iter().for_each(|envelope| state.send(envelope));
    }
}

impl Scope {
    /// Ends the process on a machine. Its unsynced writes are lost, and calls made there stay without a reply.
    pub fn stop(&self, state: &mut SystemState, me: usize) {
        state.machines[me].modify(|machine| (machine.store, machine.unsynced_writes) = (None, Vec::new()));
        state.open_calls.retain(|(call, _)| self.calls[*call].0 != me);
    }
}
