//! How the stores are given their inputs, and what they want done is carried out.

use pinerelay_config_state::{operator_call, Item};
use pinerelay_consensus::store::MEMBERSHIP_CHANGE_INTERVAL;
use pinerelay_consensus::StateChange;
use pinerelay_consensus::{Batch, Input, Member, Membership, Message, Output, Reply, Request, Store};
use pinerelay_consensus::{Micros, StoreConfig};

use super::properties::{BEFORE, EPOCH, ONCE, PACED, READ, SILENT, VOTES};
use super::scopes::{Defect, Scope};
use super::state::{Epoch, Machine, Said, World};
use crate::state::{holds, name, quorum};

const TICK: Micros = 250_000;
const TICKS_OF_A_ROUND: u32 = 2;
/// A member that has said nothing for so long may be replaced.
const GONE: Micros = 2_500_000;
/// A turn that proposes it ends within this.
const TURN: Micros = 1_000_000;
/// A process that has not ticked for so long has stood still.
const STOOD_STILL: Micros = 700_000;
/// Digests are remembered for longer than a lease lasts.
const TOLD: usize = 24;

impl Scope {
    pub fn first_state(&self) -> World {
        let first = Membership::first((0..self.voters).map(name));
        let mut world = World {
            now: 0,
            round: 0,
            machines: vec![Machine::default(); self.cores],
            wire: Default::default(),
            cuts: self.cuts.iter().copied().collect(),
            loses: None,
            threads: vec![0; self.threads.len()],
            open: Vec::new(),
            known: 0,
            acknowledged: 0,
            refused: 0,
            epochs: [(1, Epoch { membership: first, since: 0 })].into(),
            proposed: Default::default(),
            kept: Default::default(),
            agreed: Default::default(),
            renamed: None,
            renames: 0,
            taken_since: false,
            wrong: None,
        };
        (0..self.cores).for_each(|me| self.start(&mut world, me, me < self.voters));
        for _ in 0..self.settled {
            self.pass(&mut world);
        }
        self.call(&mut world, 0);
        self.pass(&mut world);
        assert_eq!(world.acknowledged, 1, "{}: the first order", self.name);
        world.round = 0;
        world
    }

    pub fn start(&self, world: &mut World, me: usize, first: bool) {
        let now = world.now;
        let machine = &mut world.machines[me];
        machine.life += 1;
        let seeds = (0..self.voters).map(name).collect();
        let birth = StoreConfig {
            name: name(me),
            process_id: machine.life,
            tolerated_losses: 1,
            first_start: first,
            seeds,
        };
        let mut out = Vec::new();
        let store = Store::new(birth, machine.disk.clone(), &mut out);
        *machine = Machine {
            disk: machine.disk.take(),
            store: Some(store),
            life: machine.life,
            begun: now,
            ticked: now,
            awake: now,
            ..Machine::default()
        };
        self.carry_out(world, me, out);
    }

    pub fn end(&self, world: &mut World, me: usize) {
        world.machines[me].store = None;
        world.machines[me].frozen = false;
        world.open.retain(|(call, _)| self.calls[*call].0 != me);
    }

    pub fn call(&self, world: &mut World, n: usize) {
        world.open.push((n, world.known));
        let (me, request) = &self.calls[n];
        self.give(world, *me, Input::Request { id: n as u64, request: request.clone() });
    }

    pub fn pass(&self, world: &mut World) {
        for _ in 0..TICKS_OF_A_ROUND {
            world.now += TICK;
            for me in 0..self.cores {
                if world.machines[me].store.is_some() && !world.machines[me].frozen {
                    self.tick(world, me);
                }
            }
            self.deliver(world);
        }
        world.loses = None;
        world.round += 1;
    }

    fn tick(&self, world: &mut World, me: usize) {
        let now = world.now;
        if now > world.machines[me].ticked + STOOD_STILL {
            world.machines[me].awake = now;
        }
        if self.defect == Some(Defect::JudgesAfterStandstill) {
            // As if it had ticked all the time and heard nothing.
            while world.machines[me].ticked + TICK < now {
                world.now = world.machines[me].ticked + TICK;
                world.machines[me].ticked = world.now;
                self.give(world, me, Input::Tick);
            }
            world.now = now;
        }
        let cores = self.cores;
        let machine = &mut world.machines[me];
        machine.ticked = now;
        for other in (0..cores).filter(|other| *other != me) {
            let last = machine.heard.get(&other).copied().unwrap_or(0).max(machine.awake);
            if now >= last + GONE {
                machine.silent.insert(other, now);
            }
        }
        self.give(world, me, Input::Tick);
    }

    /// All that is on the way is heard, and what comes of it; who stands still hears it later.
    fn deliver(&self, world: &mut World) {
        let mut later = Vec::new();
        while let Some(said) = world.wire.pop_front() {
            let lost =
                world.loses.is_some_and(|kind| kind.is(&said.word)) || !world.linked(said.from, said.to);
            if lost || world.machines[said.to].store.is_none() {
                continue;
            }
            if world.machines[said.to].frozen {
                later.push(said);
                continue;
            }
            self.hear(world, said);
        }
        world.wire.extend(later);
    }

    fn hear(&self, world: &mut World, Said { from, to, word }: Said) {
        if let Message::Heartbeat { .. } = word {
            let now = world.now;
            world.machines[to].heard.insert(from, now);
        }
        let word = match self.defect {
            Some(Defect::LeavesOutPace) => without_before(word),
            _ => word,
        };
        self.give(world, to, Input::Message { from: name(from), message: word });
    }

    fn give(&self, world: &mut World, me: usize, input: Input) {
        let now = world.now;
        let machine = &mut world.machines[me];
        let begun = machine.begun;
        let Some(store) = machine.store.as_mut() else { return };
        let mut out = Vec::new();
        store.step(now - begun, input, &mut out);
        let membership = store.membership().clone();
        self.learn(world, membership);
        self.carry_out(world, me, out);
    }

    fn learn(&self, world: &mut World, membership: Membership) {
        if membership.epoch == 0 {
            return;
        }
        if let Some(known) = world.epochs.get(&membership.epoch) {
            if known.membership.members != membership.members {
                world.wrong = Some(EPOCH);
            }
            return;
        }
        let last = world.newest();
        let recent = world.renamed.is_some_and(|at| world.now < at + MEMBERSHIP_CHANGE_INTERVAL);
        let renames = last.names() != membership.names();
        let before = if renames { last.names() } else { last.previous.clone() };
        if (renames || recent) && membership.previous != before {
            world.wrong = Some(BEFORE);
        }
        if renames {
            if recent {
                world.wrong = Some(PACED);
            }
            world.renamed = Some(world.now);
            world.renames += 1;
        }
        world.epochs.insert(membership.epoch, Epoch { membership, since: world.now });
    }

    fn carry_out(&self, world: &mut World, me: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message: word } => self.say(world, me, &to, word),
                Output::Write { id: token, change } => {
                    self.write(world, me, &change);
                    self.give(world, me, Input::WriteCompleted { id: token, succeeded: true });
                }
                Output::Reply { id, reply } => self.answered(world, id as usize, reply),
                Output::Committed(_) => {}
            }
        }
    }

    fn write(&self, world: &mut World, me: usize, change: &StateChange) {
        let disk = world.machines[me].disk.get_or_insert_default();
        disk.apply(&written(self.defect, disk.incarnation, change));
        if let (Some((ballot, Some(_))), Some(incarnation)) = (&change.accepted, disk.incarnation) {
            let member = Member { name: name(me), incarnation };
            world.kept.entry(*ballot).or_default().insert(member);
        }
    }

    fn say(&self, world: &mut World, from: usize, to: &str, word: Message) {
        match &word {
            Message::Heartbeat { sent_at: sent, .. } => {
                let acknowledged = world.acknowledged;
                let told = &mut world.machines[from].told;
                if told.back().is_none_or(|(at, _)| at != sent) {
                    told.push_back((*sent, acknowledged));
                    if told.len() > TOLD {
                        told.pop_front();
                    }
                }
            }
            Message::Accept { batch: Batch { membership: Some(next), .. }, .. } => {
                self.proposes(world, from, next)
            }
            Message::Commit { ballot, membership, batch } if world.agreed.insert(*ballot) => {
                let kept = world.kept.get(ballot).cloned().unwrap_or_default();
                let enough = |of: &Membership| {
                    of.members.iter().filter(|m| kept.contains(m)).count() >= quorum(of.members.len())
                };
                if !enough(membership) || !batch.membership.as_ref().is_none_or(enough) {
                    world.wrong = Some(VOTES);
                }
            }
            _ => {}
        }
        let Some(to) = (0..self.cores).find(|n| name(*n) == to) else { return };
        if let Some(said) = self.taken_for_another(world, from, to, &word) {
            world.wire.push_back(said);
        }
        world.wire.push_back(Said { from, to, word });
    }

    /// Who proposes that a member gives way to another has heard nothing of it, while it was awake itself.
    fn proposes(&self, world: &mut World, me: usize, next: &Membership) {
        if !world.proposed.insert((next.epoch, next.members.clone())) {
            return;
        }
        let Some(store) = &world.machines[me].store else { return };
        let leaves = |of: &Member| !next.names().contains(&of.name);
        for member in store.membership().members.iter().filter(|of| leaves(of)) {
            let other = (0..self.cores).find(|n| name(*n) == member.name).expect("a machine");
            let silent = world.machines[me].silent.get(&other);
            if silent.is_none_or(|at| world.now > at + TURN) {
                world.wrong = Some(SILENT);
            }
        }
    }

    /// For [`Defect::CountsReplaced`]: what is said to the member in its place the replaced one hears as well, and its
    /// answer is taken for that member's.
    fn taken_for_another(&self, world: &World, from: usize, to: usize, word: &Message) -> Option<Said> {
        if self.defect != Some(Defect::CountsReplaced) {
            return None;
        }
        let (replaced, by) = (2, 3);
        let is_member = |me: usize| world.newest().names().contains(&name(me));
        if is_member(replaced) || !is_member(by) {
            return None;
        }
        match word {
            Message::Prepare { .. } | Message::Accept { .. } if to == by => {
                Some(Said { from, to: replaced, word: word.clone() })
            }
            Message::Promise { .. } | Message::Accepted { .. } if from == replaced => {
                let incarnation = world.newest().members.iter().find(|m| m.name == name(by))?.incarnation;
                let mut word = word.clone();
                if let Message::Promise { incarnation: of, .. } | Message::Accepted { incarnation: of, .. } =
                    &mut word
                {
                    *of = incarnation;
                }
                Some(Said { from: by, to, word })
            }
            _ => None,
        }
    }

    fn answered(&self, world: &mut World, id: usize, reply: Reply) {
        let Some(at) = world.open.iter().position(|(call, _)| *call == id) else {
            world.wrong = Some(ONCE);
            return;
        };
        let (_, floor) = world.open.remove(at);
        match reply {
            Reply::Acknowledged => {
                world.acknowledged |= 1 << id;
                world.known |= 1 << id;
                world.taken_since |= world.renames > 0;
            }
            Reply::Rejected(_) => world.refused |= 1 << id,
            Reply::Unknown => {}
            Reply::Text(text) => {
                let shown = operator_call::parse_update(format!("{{\"upsert\":{text}}}").as_bytes())
                    .expect("what stands");
                if !self.items(floor).all(|item| holds(&shown, item)) {
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

    pub fn items(&self, set: crate::state::Calls) -> impl Iterator<Item = &Item> {
        let called = self.calls.iter().enumerate().filter(move |(n, _)| set & (1 << n) != 0);
        called.flat_map(|(_, (_, request))| match request {
            Request::Update(items) => items.as_slice(),
            _ => &[],
        })
    }
}

/// A word whose membership does not say who voted before it.
fn without_before(mut word: Message) -> Message {
    match &mut word {
        Message::Prepare { membership, .. } | Message::NewMembership(membership) => {
            membership.previous.clear()
        }
        Message::Commit { membership, batch, .. } => {
            membership.previous.clear();
            batch.membership.iter_mut().for_each(|next| next.previous.clear());
        }
        _ => {}
    }
    word
}

/// What of a change gets to the disk.
fn written(defect: Option<Defect>, incarnation: Option<u64>, change: &StateChange) -> StateChange {
    let mut written = change.clone();
    match defect {
        Some(Defect::ForgetsChange) if incarnation.is_some() => {
            written.membership = None;
            if let Some((_, Some(batch))) = &mut written.accepted {
                batch.membership = None;
            }
        }
        Some(Defect::ForgetsBefore) => {
            written.membership.iter_mut().for_each(|membership| membership.previous.clear());
        }
        _ => {}
    }
    written
}
