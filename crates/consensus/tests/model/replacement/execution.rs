//! Feeds inputs to the stores, applies their outputs to the state, and checks some properties on the way.

use pinerelay_config_state::{operator_call, Item};
use pinerelay_consensus::store::MEMBERSHIP_CHANGE_INTERVAL;
use pinerelay_consensus::StateChange;
use pinerelay_consensus::{Batch, Input, Member, Membership, Message, Output, Reply, Request, Store};
use pinerelay_consensus::{Micros, StoreConfig};

use super::properties::{
    CHANGE_INTERVAL, COMMIT_QUORUM, FRESH_READ, ONE_MEMBERSHIP, ONE_REPLY, PREVIOUS_NAMES,
    REPLACED_AFTER_SILENCE,
};
use super::scopes::{Defect, Scope};
use super::state::{Envelope, Epoch, Machine, SystemState};
use crate::state::{holds_item, quorum_size, store_name};

/// Interval of the ticks that a store gets.
const TICK: Micros = 250_000;
const TICKS_PER_ROUND: u32 = 2;
/// A member whose heartbeats have been missing for so long may be replaced.
const FAILURE_TIMEOUT: Micros = 2_500_000;
/// A proposal to replace a member follows within this time after the member was last found silent.
const PROPOSAL_TIME: Micros = 1_000_000;
/// A process that has not ticked for longer than this has stalled.
const STALL: Micros = 700_000;
/// The number of sent heartbeats that are remembered. A store sends at most one per tick (250 ms), so they span more than 5 s:
/// longer than a lease lasts (2 s).
const HEARTBEATS_KEPT: usize = 24;

impl Scope {
    /// The state after the first start, a few rounds and one acknowledged call.
    pub fn initial_state(&self) -> SystemState {
        let first_membership = Membership::first((0..self.voters).map(store_name));
        let mut state = SystemState {
            now: 0,
            round: 0,
            machines: vec![Machine::default(); self.machine_count],
            network: Default::default(),
            cut_links: self.cut_links.iter().copied().collect(),
            lost_kind: None,
            timelines: vec![0; self.timelines.len()],
            open_calls: Vec::new(),
            observed: 0,
            acknowledged: 0,
            rejected: 0,
            epochs: [(1, Epoch { membership: first_membership, since: 0 })].into(),
            proposed: Default::default(),
            accepted_by: Default::default(),
            committed_ballots: Default::default(),
            names_changed_at: None,
            name_changes: 0,
            acknowledged_after_replacement: false,
            violation: None,
        };
        (0..self.machine_count).for_each(|me| self.start(&mut state, me, me < self.voters));
        for _ in 0..self.warmup_rounds {
            self.run_round(&mut state);
        }
        self.call(&mut state, 0);
        self.run_round(&mut state);
        assert_eq!(state.acknowledged, 1, "{}: the first call is not acknowledged", self.name);
        state.round = 0;
        state
    }

    /// Starts a process on a machine. `first_start`: the system starts for the first time.
    pub fn start(&self, state: &mut SystemState, me: usize, first_start: bool) {
        let now = state.now;
        let machine = &mut state.machines[me];
        machine.process_id += 1;
        let seeds = (0..self.voters).map(store_name).collect();
        let config = StoreConfig {
            name: store_name(me),
            process_id: machine.process_id,
            tolerated_losses: 1,
            first_start,
            seeds,
        };
        let mut out = Vec::new();
        let store = Store::new(config, machine.disk.clone(), &mut out);
        *machine = Machine {
            disk: machine.disk.take(),
            store: Some(store),
            process_id: machine.process_id,
            started_at: now,
            last_tick: now,
            awake_since: now,
            ..Machine::default()
        };
        self.apply_effects(state, me, out);
    }

    /// Ends the process on a machine. The disk stays; calls made there stay without a reply.
    pub fn stop(&self, state: &mut SystemState, me: usize) {
        state.machines[me].store = None;
        state.machines[me].stalled = false;
        state.open_calls.retain(|(call, _)| self.calls[*call].0 != me);
    }

    /// Makes call `n` of the scope.
    pub fn call(&self, state: &mut SystemState, n: usize) {
        state.open_calls.push((n, state.observed));
        let (me, request) = &self.calls[n];
        self.apply_input(state, *me, Input::Request { id: n as u64, request: request.clone() });
    }

    /// Runs a round of half a second: twice, each running store ticks and all messages are delivered.
    pub fn run_round(&self, state: &mut SystemState) {
        for _ in 0..TICKS_PER_ROUND {
            state.now += TICK;
            for me in 0..self.machine_count {
                if state.machines[me].store.is_some() && !state.machines[me].stalled {
                    self.tick(state, me);
                }
            }
            self.deliver_all(state);
        }
        state.lost_kind = None;
        state.round += 1;
    }

    /// Gives a tick to a store, and records which machines it has had no heartbeat of for [`FAILURE_TIMEOUT`] while it was
    /// awake.
    fn tick(&self, state: &mut SystemState, me: usize) {
        let now = state.now;
        if now > state.machines[me].last_tick + STALL {
            state.machines[me].awake_since = now;
        }
        if self.defect == Some(Defect::IgnoresOwnStall) {
            // The store gets the ticks that it missed while it was stalled, as if it had been awake and received nothing.
            while state.machines[me].last_tick + TICK < now {
                state.now = state.machines[me].last_tick + TICK;
                state.machines[me].last_tick = state.now;
                self.apply_input(state, me, Input::Tick);
            }
            state.now = now;
        }
        let machine_count = self.machine_count;
        let machine = &mut state.machines[me];
        machine.last_tick = now;
        for other in (0..machine_count).filter(|other| *other != me) {
            let last = machine.last_heartbeat.get(&other).copied().unwrap_or(0).max(machine.awake_since);
            if now >= last + FAILURE_TIMEOUT {
                machine.last_silent.insert(other, now);
            }
        }
        self.apply_input(state, me, Input::Tick);
    }

    /// Delivers the messages in flight, and those that are sent in response. A stalled process gets its messages later.
    fn deliver_all(&self, state: &mut SystemState) {
        let mut later = Vec::new();
        while let Some(envelope) = state.network.pop_front() {
            let lost = state.lost_kind.is_some_and(|kind| kind.includes(&envelope.message))
                || !state.linked(envelope.from, envelope.to);
            if lost || state.machines[envelope.to].store.is_none() {
                continue;
            }
            if state.machines[envelope.to].stalled {
                later.push(envelope);
                continue;
            }
            self.deliver_one(state, envelope);
        }
        state.network.extend(later);
    }

    fn deliver_one(&self, state: &mut SystemState, Envelope { from, to, message }: Envelope) {
        if let Message::Heartbeat { .. } = message {
            let now = state.now;
            state.machines[to].last_heartbeat.insert(from, now);
        }
        let message = match self.defect {
            Some(Defect::IgnoresChangeInterval) => without_previous_names(message),
            _ => message,
        };
        self.apply_input(state, to, Input::Message { from: store_name(from), message });
    }

    fn apply_input(&self, state: &mut SystemState, me: usize, input: Input) {
        let now = state.now;
        let machine = &mut state.machines[me];
        let started_at = machine.started_at;
        let Some(store) = machine.store.as_mut() else { return };
        let mut out = Vec::new();
        store.step(now - started_at, input, &mut out);
        let membership = store.membership().clone();
        self.record_membership(state, membership);
        self.apply_effects(state, me, out);
    }

    /// Records the membership that a store knows. Checks that its epoch has no other members, that changes of names keep
    /// their interval, and that it names the previous voters.
    fn record_membership(&self, state: &mut SystemState, membership: Membership) {
        if membership.epoch == 0 {
            return;
        }
        if let Some(recorded) = state.epochs.get(&membership.epoch) {
            if recorded.membership.members != membership.members {
                state.violation = Some(ONE_MEMBERSHIP);
            }
            return;
        }
        let last = state.newest_membership();
        let is_recent = state.names_changed_at.is_some_and(|at| state.now < at + MEMBERSHIP_CHANGE_INTERVAL);
        let changes_names = last.names() != membership.names();
        let previous_names = if changes_names { last.names() } else { last.previous.clone() };
        if (changes_names || is_recent) && membership.previous != previous_names {
            state.violation = Some(PREVIOUS_NAMES);
        }
        if changes_names {
            if is_recent {
                state.violation = Some(CHANGE_INTERVAL);
            }
            state.names_changed_at = Some(state.now);
            state.name_changes += 1;
        }
        state.epochs.insert(membership.epoch, Epoch { membership, since: state.now });
    }

    fn apply_effects(&self, state: &mut SystemState, me: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => self.send(state, me, &to, message),
                Output::Write { id: write_id, change } => {
                    self.write(state, me, &change);
                    self.apply_input(state, me, Input::WriteCompleted { id: write_id, succeeded: true });
                }
                Output::Reply { id, reply } => self.record_reply(state, id as usize, reply),
                Output::Committed(_) => {}
            }
        }
    }

    /// Makes a change durable, as altered by the seeded defect, and records an accepted batch.
    fn write(&self, state: &mut SystemState, me: usize, change: &StateChange) {
        let disk = state.machines[me].disk.get_or_insert_default();
        disk.apply(&persisted_change(self.defect, disk.incarnation, change));
        if let (Some((ballot, Some(_))), Some(incarnation)) = (&change.accepted, disk.incarnation) {
            let member = Member { name: store_name(me), incarnation };
            state.accepted_by.entry(*ballot).or_default().insert(member);
        }
    }

    /// Puts a message in flight, and checks proposals of a membership and commits.
    fn send(&self, state: &mut SystemState, from: usize, to: &str, message: Message) {
        match &message {
            Message::Heartbeat { sent_at, .. } => {
                let acknowledged = state.acknowledged;
                let heartbeats_sent = &mut state.machines[from].heartbeats_sent;
                if heartbeats_sent.back().is_none_or(|(at, _)| at != sent_at) {
                    heartbeats_sent.push_back((*sent_at, acknowledged));
                    if heartbeats_sent.len() > HEARTBEATS_KEPT {
                        heartbeats_sent.pop_front();
                    }
                }
            }
            Message::Accept { batch: Batch { membership: Some(next), .. }, .. } => {
                self.check_proposal(state, from, next)
            }
            Message::Commit { ballot, membership, batch } if state.committed_ballots.insert(*ballot) => {
                let accepted_by = state.accepted_by.get(ballot).cloned().unwrap_or_default();
                let has_quorum = |of: &Membership| {
                    of.members.iter().filter(|m| accepted_by.contains(m)).count()
                        >= quorum_size(of.members.len())
                };
                if !has_quorum(membership) || !batch.membership.as_ref().is_none_or(has_quorum) {
                    state.violation = Some(COMMIT_QUORUM);
                }
            }
            _ => {}
        }
        let Some(to) = (0..self.machine_count).find(|n| store_name(*n) == to) else { return };
        if let Some(envelope) = self.misattributed(state, from, to, &message) {
            state.network.push_back(envelope);
        }
        state.network.push_back(Envelope { from, to, message });
    }

    /// Checks a proposed membership: each member that it leaves out was found silent, not long ago, by the awake proposer.
    fn check_proposal(&self, state: &mut SystemState, me: usize, next: &Membership) {
        if !state.proposed.insert((next.epoch, next.members.clone())) {
            return;
        }
        let Some(store) = &state.machines[me].store else { return };
        let is_left_out = |member: &Member| !next.names().contains(&member.name);
        for member in store.membership().members.iter().filter(|member| is_left_out(member)) {
            let other = (0..self.machine_count)
                .find(|n| store_name(*n) == member.name)
                .expect("the name of a machine");
            let last_silent = state.machines[me].last_silent.get(&other);
            if last_silent.is_none_or(|at| state.now > at + PROPOSAL_TIME) {
                state.violation = Some(REPLACED_AFTER_SILENCE);
            }
        }
    }

    /// For [`Defect::CountsVoteOfReplaced`]: the replaced store also gets what is sent to the member in its place, and its
    /// votes are sent once more as if by that member.
    fn misattributed(
        &self,
        state: &SystemState,
        from: usize,
        to: usize,
        message: &Message,
    ) -> Option<Envelope> {
        if self.defect != Some(Defect::CountsVoteOfReplaced) {
            return None;
        }
        let (replaced, replacement) = (2, 3);
        let is_member = |me: usize| state.newest_membership().names().contains(&store_name(me));
        if is_member(replaced) || !is_member(replacement) {
            return None;
        }
        match message {
            Message::Prepare { .. } | Message::Accept { .. } if to == replacement => {
                Some(Envelope { from, to: replaced, message: message.clone() })
            }
            Message::Promise { .. } | Message::Accepted { .. } if from == replaced => {
                let incarnation = state
                    .newest_membership()
                    .members
                    .iter()
                    .find(|m| m.name == store_name(replacement))?
                    .incarnation;
                let mut message = message.clone();
                if let Message::Promise { incarnation: claimed, .. }
                | Message::Accepted { incarnation: claimed, .. } = &mut message
                {
                    *claimed = incarnation;
                }
                Some(Envelope { from: replacement, to, message })
            }
            _ => None,
        }
    }

    /// Records the reply to a call, and checks that the call had none before and that a read is fresh.
    fn record_reply(&self, state: &mut SystemState, id: usize, reply: Reply) {
        let Some(at) = state.open_calls.iter().position(|(call, _)| *call == id) else {
            state.violation = Some(ONE_REPLY);
            return;
        };
        let (_, required) = state.open_calls.remove(at);
        match reply {
            Reply::Acknowledged => {
                state.acknowledged |= 1 << id;
                state.observed |= 1 << id;
                state.acknowledged_after_replacement |= state.name_changes > 0;
            }
            Reply::Rejected(_) => state.rejected |= 1 << id,
            Reply::Unknown => {}
            Reply::Text(text) => {
                let returned = operator_call::parse_update(format!("{{\"upsert\":{text}}}").as_bytes())
                    .expect("a rendered configuration parses");
                if !self.items(required).all(|item| holds_item(&returned, item)) {
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

    /// The items of the updates in a set of calls.
    pub fn items(&self, set: crate::state::CallSet) -> impl Iterator<Item = &Item> {
        let in_set = self.calls.iter().enumerate().filter(move |(n, _)| set & (1 << n) != 0);
        in_set.flat_map(|(_, (_, request))| match request {
            Request::Update(items) => items.as_slice(),
            _ => &[],
        })
    }
}

/// The message, with memberships that do not name the voters before them.
fn without_previous_names(mut message: Message) -> Message {
    match &mut message {
        Message::Prepare { membership, .. } | Message::NewMembership(membership) => {
            membership.previous.clear()
        }
        Message::Commit { membership, batch, .. } => {
            membership.previous.clear();
            batch.membership.iter_mut().for_each(|next| next.previous.clear());
        }
        _ => {}
    }
    message
}

/// The part of a change that becomes durable under the seeded defect.
fn persisted_change(defect: Option<Defect>, incarnation: Option<u64>, change: &StateChange) -> StateChange {
    let mut persisted = change.clone();
    match defect {
        Some(Defect::ForgetsMembershipChange) if incarnation.is_some() => {
            persisted.membership = None;
            if let Some((_, Some(batch))) = &mut persisted.accepted {
                batch.membership = None;
            }
        }
        Some(Defect::ForgetsPreviousMembers) => {
            persisted.membership.iter_mut().for_each(|membership| membership.previous.clear());
        }
        _ => {}
    }
    persisted
}
