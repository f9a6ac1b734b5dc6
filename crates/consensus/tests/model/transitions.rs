//! The transition relation: the steps that are enabled in a state, and the state after each.

use std::collections::BTreeMap;

use pinerelay_consensus::{Input, Membership, Message, Request};
use stateright::{Model, Property};

use crate::properties;
use crate::scope::{Defect, Scope, Step};
use crate::shared::hash_of;
use crate::state::{store_name, Machine, SystemState};

impl Model for Scope {
    type State = SystemState;
    type Action = Step;

    fn init_states(&self) -> Vec<SystemState> {
        let machine = Machine {
            disk: None.into(),
            unsynced_writes: Vec::new(),
            store: None,
            process_id: 0,
            now: 0,
            heartbeats_sent: Vec::new(),
            deferred_prepares: Vec::new(),
            acknowledged_at_wipe: 0,
        };
        let mut state = SystemState {
            machines: vec![machine.into(); self.machine_count],
            network: Vec::new(),
            budget: self.budget,
            issued: 0,
            open_calls: Vec::new(),
            observed: 0,
            acknowledged: 0,
            rejected: 0,
            epochs: BTreeMap::from([(1, Membership::first((0..self.voters).map(store_name)))]).into(),
            violation: None,
        };
        for me in 0..self.machine_count {
            self.start(&mut state, me, me < self.voters);
            while !state.machines[me].unsynced_writes.is_empty() {
                self.sync(&mut state, me);
            }
        }
        for &(me, synced) in &self.restarted {
            self.stop(&mut state, me);
            self.start(&mut state, me, false);
            while synced && !state.machines[me].unsynced_writes.is_empty() {
                self.sync(&mut state, me);
            }
        }
        for prior_call in &self.prior_calls {
            self.make_prior_call(&mut state, prior_call);
        }
        self.stopped.iter().for_each(|&me| self.stop(&mut state, me));
        vec![state]
    }

    fn actions(&self, state: &SystemState, steps: &mut Vec<Step>) {
        let mut last = None;
        for envelope in &state.network {
            if last != Some(envelope) && state.machines[envelope.to].store.is_some() {
                steps.push(Step::Deliver { envelope: envelope.clone(), duplicate: false });
                if state.budget.duplications > 0 {
                    steps.push(Step::Deliver { envelope: envelope.clone(), duplicate: true });
                }
            }
            last = Some(envelope);
        }
        for (me, machine) in state.machines.iter().enumerate() {
            if machine.store.is_none() {
                if !self.stopped.contains(&me) {
                    steps.push(Step::Start(me));
                }
                continue;
            }
            if !machine.unsynced_writes.is_empty() {
                steps.push(Step::Sync(me));
            }
            if state.budget.ticks > 0 {
                steps.extend(self.clock_advances.iter().map(|&advance| Step::Tick(me, advance)));
            }
            if state.budget.crashes > 0 {
                steps.extend((0..=machine.unsynced_writes.len()).map(|synced| Step::Crash(me, synced)));
            }
            if state.budget.wipes > 0 && state.lost_disks() == 0 {
                steps.push(Step::Wipe(me));
            }
        }
        let running = |(n, (at, _)): &(usize, &(usize, Request))| {
            state.issued & (1 << n) == 0 && state.machines[*at].store.is_some()
        };
        steps.extend(self.calls.iter().enumerate().filter(running).map(|(n, _)| Step::Call(n)));
    }

    fn next_state(&self, previous: &SystemState, step: Step) -> Option<SystemState> {
        let mut state = previous.clone();
        match step {
            Step::Deliver { envelope, duplicate } => {
                if duplicate {
                    state.budget.duplications -= 1;
                } else {
                    let at = state.network.iter().position(|s| *s == envelope)?;
                    state.network.remove(at);
                }
                let (before, network_len) = (state.machines[envelope.to].clone(), state.network.len());
                self.deliver(&mut state, &envelope);
                // Without an effect the message may as well stay in flight.
                if state.machines[envelope.to] == before
                    && state.network.len() == network_len
                    && state.open_calls == previous.open_calls
                {
                    return None;
                }
            }
            Step::Sync(me) => self.sync(&mut state, me),
            Step::Crash(me, synced) => {
                state.budget.crashes -= 1;
                state.machines[me].modify(|machine| (0..synced).for_each(|_| _ = machine.sync(&self.disks)));
                self.stop(&mut state, me);
            }
            Step::Wipe(me) => {
                state.budget.wipes -= 1;
                self.stop(&mut state, me);
                let acknowledged = state.acknowledged;
                state.machines[me].modify(|machine| {
                    (machine.disk, machine.acknowledged_at_wipe) = (None.into(), acknowledged)
                });
            }
            Step::Start(me) => self.start(&mut state, me, false),
            Step::Call(n) => {
                state.issued |= 1 << n;
                let observed = state.observed;
                state.open_calls.push((n, observed));
                let (me, request) = &self.calls[n];
                if let (Some(Defect::BypassesOldQuorum), Request::ChangeMembership(next)) =
                    (self.defect, request)
                {
                    let next = || Input::Message {
                        from: store_name(*me),
                        message: Message::NewMembership(next.clone()),
                    };
                    self.apply_input(&mut state, *me, hash_of(("change", n)), next);
                    return Some(state);
                }
                self.apply_input(&mut state, *me, hash_of(("call", n)), || Input::Request {
                    id: n as u64,
                    request: request.clone(),
                });
            }
            Step::Tick(me, advance) => {
                state.budget.ticks -= 1;
                state.machines[me].modify(|machine| machine.now += advance);
                self.apply_input(&mut state, me, hash_of("tick"), || Input::Tick);
            }
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties::all()
    }
}
