//! How the stores are given their inputs, and what they want done is carried out.

use std::sync::Arc;

use pinerelay_config_state::{operator_call, Item};
use pinerelay_consensus::StateChange;
use pinerelay_consensus::StoreConfig;
use pinerelay_consensus::{Ballot, Input, Message, Output, Reply, Request, Store};

use crate::properties::{ONCE, READ};
use crate::scope::{Before, Defect, Scope, Step};
use crate::shared::{hash_of, Shared};
use crate::state::{holds, name, Calls, Done, Machine, Said, Turned, World};
use stateright::Model;

impl Scope {
    pub fn start(&self, world: &mut World, me: usize, first: bool) {
        let mut out = Vec::new();
        let seeds = (0..self.voters).map(name).collect();
        world.machines[me].change(|machine| {
            machine.life += 1;
            machine.now = 0;
            let mut birth = StoreConfig {
                name: name(me),
                process_id: machine.life,
                tolerated_losses: 1,
                first_start: first,
                seeds,
            };
            let mut disk = Option::clone(&machine.disk);
            match (self.defect, &mut disk) {
                (Some(Defect::ForgetsPromises), Some(kept)) => kept.promise_ceiling = 0,
                (Some(Defect::ReusesBallots), _) => birth.process_id = 1,
                (Some(Defect::TakesEmptyDiskForFirst), None) => birth.first_start = me < self.voters,
                (Some(Defect::TakesEmptyDiskForWhole), None) if !first => {
                    Store::new(birth.clone(), None, &mut out);
                    let kept = disk.get_or_insert_default();
                    for output in out.drain(..) {
                        if let Output::Write { id: _, change } = output {
                            kept.apply(&StateChange { is_complete: true, ..change });
                        }
                    }
                    machine.disk = disk.clone().into();
                }
                _ => {}
            }
            let store = Store::new(birth, disk, &mut out);
            machine.told.clear();
            machine.waits.clear();
            machine.store = Some(store.into());
        });
        self.carry_out(world, me, &self.prepare(me, out));
    }

    /// `of` is the input's hash.
    pub fn give(&self, world: &mut World, me: usize, of: u64, input: impl FnOnce() -> Input) {
        let Some(store) = &world.machines[me].store else { return };
        let now = world.machines[me].now;
        let Turned(store, out) = self.turned.of(hash_of((store.0, now, of)), || {
            let mut out = Vec::new();
            let mut store = Store::clone(store);
            store.step(now, input(), &mut out);
            Turned(store.into(), Arc::new(self.prepare(me, out)))
        });
        world.learn(store.membership());
        if world.machines[me].store.as_ref() != Some(&store) {
            world.machines[me].change(|machine| machine.store = Some(store));
        }
        self.carry_out(world, me, &out);
    }

    pub fn hears(&self, world: &mut World, said: &Shared<Said>) {
        if let Some(word) = self.misheard(world, said) {
            let of = hash_of((said.from, &word));
            return self.give(world, said.to, of, || Input::Message { from: name(said.from), message: word });
        }
        let waiting = world.machines[said.to].unwritten.len();
        self.give(world, said.to, said.0, || Input::Message {
            from: name(said.from),
            message: said.word.clone(),
        });
        if let (Some(Defect::PromisesInPastEpoch), Message::Prepare { .. }) = (self.defect, &said.word) {
            let machine = &mut world.machines[said.to];
            if let Some((token, _)) = machine.unwritten.get(waiting).cloned() {
                machine.change(|machine| machine.waits.push((token, said.clone())));
            }
        }
    }

    pub fn misheard(&self, world: &World, said: &Said) -> Option<Message> {
        let store = world.machines[said.to].store.as_ref()?;
        let own = || store.membership().clone();
        match (self.defect?, said.word.clone()) {
            (Defect::SettlesUnderOwnEpoch, Message::Commit { ballot, batch, .. }) => {
                Some(Message::Commit { ballot, membership: own(), batch })
            }
            (Defect::LeavesOutFill, Message::Accept { ballot, batch, .. }) => {
                Some(Message::Accept { ballot, missing: Vec::new(), batch })
            }
            (
                Defect::HidesPending,
                Message::HeartbeatAck { process_id: life, sent_at: sent, digest, epoch, incarnation, .. },
            ) => Some(Message::HeartbeatAck {
                process_id: life,
                sent_at: sent,
                digest,
                epoch,
                incarnation,
                has_pending: false,
            }),
            _ => None,
        }
    }

    pub fn prepare(&self, me: usize, out: Vec<Output>) -> Vec<Done> {
        let prepare = |output| match output {
            Output::Send { to, message: word } => {
                let to = (0..self.cores).find(|n| name(*n) == to)?;
                let mends = matches!(
                    word,
                    Message::Heartbeat { .. }
                        | Message::HeartbeatAck { .. }
                        | Message::Sync { .. }
                        | Message::Update(_)
                );
                let told =
                    if let Message::Heartbeat { sent_at: sent, .. } = word { Some(sent) } else { None };
                (self.digests || !mends).then(|| Done::Say(Said { from: me, to, word }.into(), told))
            }
            Output::Write { id: token, change } => Some(Done::Write(token, change.into())),
            Output::Reply { id, reply } => Some(Done::Answer(id, reply)),
            Output::Committed(_) => None,
        };
        out.into_iter().filter_map(prepare).collect()
    }

    pub fn carry_out(&self, world: &mut World, me: usize, out: &[Done]) {
        let mut written = Vec::new();
        for done in out {
            match done {
                Done::Say(said, told) => {
                    if let Some(sent) = told {
                        let acknowledged = world.acknowledged;
                        world.machines[me].change(|machine| {
                            if machine.told.last().is_none_or(|(at, _)| at != sent) {
                                machine.told.push((*sent, acknowledged));
                            }
                        });
                    }
                    world.push(said.clone());
                }
                Done::Write(token, change) => {
                    world.machines[me].change(|machine| machine.unwritten.push((*token, change.clone())));
                    written.push(*token);
                }
                Done::Answer(id, reply) => self.answered(world, *id as usize, reply.clone()),
            }
        }
        for token in written {
            if !self.late.contains(&me) {
                self.sync(world, me);
            } else if self.defect == Some(Defect::TellsUnsynced) {
                self.written(world, me, token);
            }
        }
    }

    pub fn sync(&self, world: &mut World, me: usize) {
        let token = world.machines[me].change(|machine| machine.sync(&self.disks));
        self.written(world, me, token);
    }

    pub fn written(&self, world: &mut World, me: usize, token: u64) {
        let late = world.machines[me].waits.iter().find(|(at, _)| *at == token).map(|(_, said)| said.clone());
        let promise = late.and_then(|asked| self.late_promise(&world.machines[me], token, &asked));
        let on_way = world.wire.clone();
        self.give(world, me, hash_of(("written", token)), || Input::WriteCompleted {
            id: token,
            succeeded: true,
        });
        if let Some(promise) = promise {
            // In place of the newer membership.
            world.wire = on_way;
            world.push(promise.into());
        }
    }

    /// What a store whose promise waited for its disk would say if it took the ask for one of the present epoch.
    pub fn late_promise(&self, machine: &Machine, token: u64, asked: &Said) -> Option<Said> {
        let Message::Prepare { ballot, membership, range_digests: ranges } = &asked.word else { return None };
        let mut store = Store::clone(machine.store.as_ref()?);
        store.step(machine.now, Input::WriteCompleted { id: token, succeeded: true }, &mut Vec::new());
        if membership.epoch >= store.membership().epoch {
            return None;
        }
        // Asked again with the next ballot, since it answers this one no more.
        let (next, membership) = (Ballot::new(ballot.round, u64::MAX), store.membership().clone());
        let again = Message::Prepare { ballot: next, membership, range_digests: ranges.clone() };
        let mut out = Vec::new();
        store.step(machine.now, Input::Message { from: name(asked.from), message: again }, &mut out);
        out.into_iter().find_map(|output| match output {
            Output::Send {
                to: _,
                message:
                    Message::Promise {
                        ballot: _,
                        incarnation,
                        accepted: at,
                        pending,
                        range_digests: ranges,
                        items: item_set,
                    },
            } => {
                let word = Message::Promise {
                    ballot: *ballot,
                    incarnation,
                    accepted: at,
                    pending,
                    range_digests: ranges,
                    items: item_set,
                };
                Some(Said { from: asked.to, to: asked.from, word })
            }
            _ => None,
        })
    }

    pub fn answered(&self, world: &mut World, id: usize, reply: Reply) {
        let Some(at) = world.open.iter().position(|(call, _)| *call == id) else {
            world.wrong = Some(ONCE);
            return;
        };
        let (_, floor) = world.open.remove(at);
        match reply {
            Reply::Acknowledged => {
                world.acknowledged |= 1 << id;
                world.known |= 1 << id;
            }
            Reply::Rejected(_) => world.refused |= 1 << id,
            Reply::Unknown => {}
            Reply::Text(text) => {
                let shown = operator_call::parse_update(format!("{{\"upsert\":{text}}}").as_bytes())
                    .expect("what stands");
                let all = self.items(Calls::MAX);
                let drops: Vec<Item> = all.filter(|item| item.value.is_none()).cloned().collect();
                // What is missing must have been dropped under a higher number.
                if !self.items(floor).all(|item| holds(&shown, item) || holds(&drops, item)) {
                    world.wrong = Some(READ);
                }
                for (n, (_, request)) in self.calls.iter().enumerate() {
                    let Request::Update(items) = request else { continue };
                    if items.iter().all(|item| shown.contains(item)) {
                        world.known |= 1 << n;
                    }
                }
            }
        }
    }

    pub fn before(&self, world: &mut World, Before { call, deaf, untold, unsynced, doubled }: &Before) {
        let mut late = Vec::new();
        *world = self.next_state(world, Step::Call(*call)).expect("a call");
        loop {
            let writes = |me: &usize| !unsynced.contains(me) && !world.machines[*me].unwritten.is_empty();
            if let Some(me) = (0..self.cores).find(writes) {
                self.sync(world, me);
                continue;
            }
            if world.wire.is_empty() {
                break;
            }
            let said = world.wire.remove(0);
            let settles = matches!(said.word, Message::Commit { .. });
            if *untold && settles || *doubled && matches!(said.word, Message::Promise { .. }) {
                late.push(said.clone());
            }
            if !(*untold && settles || deaf.contains(&said.to)) {
                self.hears(world, &said);
            }
        }
        assert_ne!(world.acknowledged & (1 << call), 0, "{}: call {call} is acknowledged before", self.name);
        late.into_iter().for_each(|said| world.push(said));
    }
}

impl Scope {
    pub fn end(&self, world: &mut World, me: usize) {
        world.machines[me].change(|machine| (machine.store, machine.unwritten) = (None, Vec::new()));
        world.open.retain(|(call, _)| self.calls[*call].0 != me);
    }
}
