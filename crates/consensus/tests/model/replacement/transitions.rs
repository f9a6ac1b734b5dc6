//! The steps of a state, and the state after each.

use stateright::{Model, Property};

use super::properties;
use super::scopes::{Event, Scope};
use super::state::{Step, World};

impl Scope {
    /// Whether the step can be taken, and then the state after it.
    fn take(&self, world: &mut World, step: Step) -> bool {
        let running = |world: &World, me: usize| world.machines[me].store.is_some();
        match step {
            Step::Pass => self.pass(world),
            Step::End(me) if running(world, me) => self.end(world, me),
            Step::Start(me) if !running(world, me) => self.start(world, me, false),
            Step::StartEmpty(me) if !running(world, me) => {
                world.machines[me].disk = None;
                self.start(world, me, false);
            }
            Step::Freeze(me) if running(world, me) => world.machines[me].frozen = true,
            Step::Thaw(me) if world.machines[me].frozen => world.machines[me].frozen = false,
            Step::Cut(a, b) => _ = world.cuts.insert((a.min(b), a.max(b))),
            Step::Join(a, b) => return world.cuts.remove(&(a.min(b), a.max(b))),
            Step::CutOff(me) => {
                let others = (0..self.cores).filter(|other| *other != me);
                world.cuts.extend(others.map(|other| (me.min(other), me.max(other))));
            }
            Step::Rejoin(me) => world.cuts.retain(|(a, b)| *a != me && *b != me),
            Step::Lose(kind) if world.loses.is_none() => world.loses = Some(kind),
            Step::Call(n) if running(world, self.calls[n].0) && !world.machines[self.calls[n].0].frozen => {
                self.call(world, n);
            }
            _ => return false,
        }
        true
    }
}

impl Model for Scope {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![self.first_state()]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.round < self.rounds {
            steps.push(Step::Pass);
        }
        for (events, &at) in self.threads.iter().zip(&world.threads) {
            // What has not happened in its time never does.
            if let Some(event) = events[at..].iter().find(|event| world.round < event.until) {
                if world.round >= event.from {
                    steps.extend(&event.any);
                }
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        if step != Step::Pass {
            let due = |(events, at): (&Vec<Event>, &usize)| {
                let n = (*at..events.len()).find(|&n| world.round < events[n].until)?;
                (world.round >= events[n].from && events[n].any.contains(&step)).then_some(n)
            };
            let mut threads = self.threads.iter().zip(&world.threads).enumerate();
            let (thread, n) = threads.find_map(|(thread, of)| Some((thread, due(of)?)))?;
            world.threads[thread] = n + 1;
        }
        self.take(&mut world, step).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties::all()
    }
}
