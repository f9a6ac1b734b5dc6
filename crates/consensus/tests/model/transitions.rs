//! The steps of a state, and the state after each.

use std::collections::BTreeMap;

use pinerelay_consensus::{Input, Membership, Message, Request};
use stateright::{Model, Property};

use crate::properties;
use crate::scope::{Defect, Scope, Step};
use crate::shared::hash_of;
use crate::state::{name, Machine, World};

impl Model for Scope {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let machine = Machine {
            disk: None.into(),
            unwritten: Vec::new(),
            store: None,
            life: 0,
            now: 0,
            told: Vec::new(),
            waits: Vec::new(),
            lost: 0,
        };
        let mut world = World {
            machines: vec![machine.into(); self.cores],
            wire: Vec::new(),
            left: self.left,
            made: 0,
            open: Vec::new(),
            known: 0,
            acknowledged: 0,
            refused: 0,
            epochs: BTreeMap::from([(1, Membership::first((0..self.voters).map(name)))]).into(),
            wrong: None,
        };
        for me in 0..self.cores {
            self.start(&mut world, me, me < self.voters);
            while !world.machines[me].unwritten.is_empty() {
                self.sync(&mut world, me);
            }
        }
        for &(me, synced) in &self.restarted {
            self.end(&mut world, me);
            self.start(&mut world, me, false);
            while synced && !world.machines[me].unwritten.is_empty() {
                self.sync(&mut world, me);
            }
        }
        for before in &self.already {
            self.before(&mut world, before);
        }
        self.off.iter().for_each(|&me| self.end(&mut world, me));
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let mut last = None;
        for said in &world.wire {
            if last != Some(said) && world.machines[said.to].store.is_some() {
                steps.push(Step::Hear { said: said.clone(), again: false });
                if world.left.doubles > 0 {
                    steps.push(Step::Hear { said: said.clone(), again: true });
                }
            }
            last = Some(said);
        }
        for (me, machine) in world.machines.iter().enumerate() {
            if machine.store.is_none() {
                if !self.off.contains(&me) {
                    steps.push(Step::Start(me));
                }
                continue;
            }
            if !machine.unwritten.is_empty() {
                steps.push(Step::Sync(me));
            }
            if world.left.ticks > 0 {
                steps.extend(self.jumps.iter().map(|&jump| Step::Tick(me, jump)));
            }
            if world.left.crashes > 0 {
                steps.extend((0..=machine.unwritten.len()).map(|on_disk| Step::Crash(me, on_disk)));
            }
            if world.left.wipes > 0 && world.lost() == 0 {
                steps.push(Step::Wipe(me));
            }
        }
        let running = |(n, (at, _)): &(usize, &(usize, Request))| {
            world.made & (1 << n) == 0 && world.machines[*at].store.is_some()
        };
        steps.extend(self.calls.iter().enumerate().filter(running).map(|(n, _)| Step::Call(n)));
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Hear { said, again } => {
                if again {
                    world.left.doubles -= 1;
                } else {
                    let at = world.wire.iter().position(|s| *s == said)?;
                    world.wire.remove(at);
                }
                let (before, on_way) = (world.machines[said.to].clone(), world.wire.len());
                self.hears(&mut world, &said);
                // A word without effect may as well stay on its way.
                if world.machines[said.to] == before && world.wire.len() == on_way && world.open == last.open
                {
                    return None;
                }
            }
            Step::Sync(me) => self.sync(&mut world, me),
            Step::Crash(me, on_disk) => {
                world.left.crashes -= 1;
                world.machines[me].change(|machine| (0..on_disk).for_each(|_| _ = machine.sync(&self.disks)));
                self.end(&mut world, me);
            }
            Step::Wipe(me) => {
                world.left.wipes -= 1;
                self.end(&mut world, me);
                let lost = world.acknowledged;
                world.machines[me].change(|machine| (machine.disk, machine.lost) = (None.into(), lost));
            }
            Step::Start(me) => self.start(&mut world, me, false),
            Step::Call(n) => {
                world.made |= 1 << n;
                let known = world.known;
                world.open.push((n, known));
                let (me, request) = &self.calls[n];
                if let (Some(Defect::LeavesOutOldMembers), Request::ChangeMembership(next)) =
                    (self.defect, request)
                {
                    let next =
                        || Input::Message { from: name(*me), message: Message::NewMembership(next.clone()) };
                    self.give(&mut world, *me, hash_of(("change", n)), next);
                    return Some(world);
                }
                self.give(&mut world, *me, hash_of(("call", n)), || Input::Request {
                    id: n as u64,
                    request: request.clone(),
                });
            }
            Step::Tick(me, jump) => {
                world.left.ticks -= 1;
                world.machines[me].change(|machine| machine.now += jump);
                self.give(&mut world, me, hash_of("tick"), || Input::Tick);
            }
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        properties::all()
    }
}
