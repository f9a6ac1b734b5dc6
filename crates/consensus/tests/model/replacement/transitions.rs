//! The transition relation: the steps that are enabled in a state, and the state after each.

use stateright::{Model, Property};

use super::properties;
use super::scopes::{Event, Scope};
use super::state::{Step, SystemState};

impl Scope {
    /// Takes a step; returns false if it is not possible in this state.
    fn perform(&self, state: &mut SystemState, step: Step) -> bool {
        let running = |state: &SystemState, me: usize| state.machines[me].store.is_some();
        match step {
            Step::AdvanceRound => self.run_round(state),
            Step::Stop(me) if running(state, me) => self.stop(state, me),
            Step::Start(me) if !running(state, me) => self.start(state, me, false),
            Step::StartEmpty(me) if !running(state, me) => {
                state.machines[me].disk = None;
                self.start(state, me, false);
            }
            Step::Stall(me) if running(state, me) => state.machines[me].stalled = true,
            Step::Resume(me) if state.machines[me].stalled => state.machines[me].stalled = false,
            Step::CutLink(a, b) => _ = state.cut_links.insert((a.min(b), a.max(b))),
            Step::RestoreLink(a, b) => return state.cut_links.remove(&(a.min(b), a.max(b))),
            Step::Isolate(me) => {
                let others = (0..self.machine_count).filter(|other| *other != me);
                state.cut_links.extend(others.map(|other| (me.min(other), me.max(other))));
            }
            Step::Reconnect(me) => state.cut_links.retain(|(a, b)| *a != me && *b != me),
            Step::Lose(kind) if state.lost_kind.is_none() => state.lost_kind = Some(kind),
            Step::Call(n) if running(state, self.calls[n].0) && !state.machines[self.calls[n].0].stalled => {
                self.call(state, n);
            }
            _ => return false,
        }
        true
    }
}

impl Model for Scope {
    type State = SystemState;
    type Action = Step;

    fn init_states(&self) -> Vec<SystemState> {
        vec![self.initial_state()]
    }

    fn actions(&self, state: &SystemState, steps: &mut Vec<Step>) {
        if state.round < self.rounds {
            steps.push(Step::AdvanceRound);
        }
        for (events, &at) in self.timelines.iter().zip(&state.timelines) {
            // An event that has not happened in its rounds never does.
            if let Some(event) = events[at..].iter().find(|event| state.round < event.until) {
                if state.round >= event.from {
                    steps.extend(&event.any);
                }
            }
        }
    }

    fn next_state(&self, previous: &SystemState, step: Step) -> Option<SystemState> {
        let mut state = previous.clone();
        if step != Step::AdvanceRound {
            let due = |(events, at): (&Vec<Event>, &usize)| {
                let n = (*at..events.len()).find(|&n| state.round < events[n].until)?;
                (state.round >= events[n].from && events[n].any.contains(&step)).then_some(n)
            };
            let mut timelines = self.timelines.iter().zip(&state.timelines).enumerate();
            let (timeline, n) = timelines.find_map(|(timeline, of)| Some((timeline, due(of)?)))?;
            state.timelines[timeline] = n + 1;
        }
        self.perform(&mut state, step).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties::all()
    }
}
