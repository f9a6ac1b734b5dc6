//! The simulated world: one virtual clock, the processes, and the events between them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use pinerelay_cells::hash::mix;
use pinerelay_cells::server::State;
use pinerelay_cells::{judge, Cells, Kind};
use pinerelay_dance::{Membership, Word as StoreWord};
use pinerelay_forager::hearing::Output as Heard;
use pinerelay_nectar::fence::{Word, SLICES};
use pinerelay_nectar::purse::Grant;
use pinerelay_propolis::speech::{Role, Speech};

use crate::check::{Breach, Invariant, Ledger, HEALED};
use crate::faults::{Fault, Faults};
use crate::figures::Figures;
use crate::net::{Connection, Net, CONNECT, SILENCE};
use crate::outside::{Outside, QUOTAS};
use crate::plan::{Broken, Lot, Micros, Plan, SECOND};
use crate::process::{wall, Body, Dial, Disk, Input, Output, Peer, Places, Proc, Process};

/// How often the invariants are looked at that no single event breaks.
const LOOK: Micros = 20_000;
/// Pauses between attempts to connect, as `propolis::link` makes them.
const AGAIN: Micros = 100_000;
const AGAIN_MOST: Micros = 800_000;
/// What all slices together are.
const ALL: u32 = (1 << SLICES) - 1;

/// What comes over a connection.
pub enum Coming {
    /// The other end greets.
    Up,
    /// The other end says this.
    Said(Rc<Speech>),
    /// The other end has closed.
    Gone,
}

/// What happens at a moment.
pub enum Event {
    /// Time passes for a process of this life.
    Tick(Proc, u64),
    /// It tries to reach another.
    Dial(Proc, u64, Proc),
    /// An attempt has failed, or its connection is gone.
    Failed(Proc, u64, Proc),
    /// Something comes to an end of a connection.
    Came(usize, usize, Coming),
    /// So many changes are on the disk of a core's store of this life.
    Synced(usize, u64, usize),
    /// A disk tells that this is safe, true or not.
    Told(Proc, u64, u64),
    /// A call comes to its core, at this try.
    Reach(u64, u32),
    /// Its answer comes back.
    Back(u64, u32, u16, String),
    /// It has had no answer.
    Late(u64, u32),
    /// It is made once more.
    Again(u64),
    /// An operator's turn.
    Operator(usize),
    /// A server starts.
    Starts(usize),
    /// A server of this life beats.
    Beat(usize, u64),
    /// It leaves.
    Leave(usize, u64),
    /// Some server drains or crashes.
    Churn,
    /// A client asks.
    Client(usize),
    /// A request waits at a frozen proxy.
    Request(Proc, usize),
    /// Of faults.
    Fault(Fault),
    /// The invariants are looked at.
    Look,
    /// At the end all cores are asked what stands.
    ReadAll,
}

/// The world.
pub struct World {
    /// What is played.
    pub plan: Plan,
    /// Which process is where.
    pub places: Places,
    /// The virtual clock.
    pub now: Micros,
    /// All lots.
    pub lot: Lot,
    queue: BTreeMap<(Micros, u64), Event>,
    number: u64,
    /// Machines and ways.
    pub net: Net,
    /// Processes.
    pub procs: Vec<Process>,
    /// The stores' disks.
    pub disks: Vec<Disk>,
    /// Who calls from outside.
    pub outside: Outside,
    /// What must hold.
    pub ledger: Ledger,
    /// What goes wrong.
    pub faults: Faults,
    /// What is measured.
    pub figures: Figures,
    /// Which faults there were: when, what, and whose number.
    pub trail: Vec<(Micros, &'static str, usize)>,
    /// Since when some duty is held by nobody, after a core's end.
    pub gap: Option<Micros>,
}

/// The proxies that run: their last trouble, and their configuration.
pub fn proxies<'a>(places: Places, procs: &'a [Process], net: &Net) -> BTreeMap<Proc, (Micros, &'a Cells)> {
    let all = (0..places.proxies).map(|n| places.proxy(n));
    all.filter_map(|proc| match &procs[proc].body {
        Some(Body::Proxy(hearing)) => {
            Some((proc, (net.machines[places.machine(proc)].trouble, &hearing.realms()[0])))
        }
        _ => None,
    })
    .collect()
}

/// Plays a plan to its end, or to the first breach.
pub fn play(plan: &Plan) -> Result<Figures, Breach> {
    let mut world = World::new(plan.clone());
    let end = plan.seconds * SECOND;
    while let Some(((at, _), event)) = world.queue.pop_first() {
        world.now = at.min(end);
        if at <= end {
            world.happens(event);
        }
        world.ledger.overrun(world.now, at > end);
        if let Some((invariant, what)) = world.ledger.breach.take() {
            return Err(Breach { seed: plan.seed, at: world.now, invariant, what, trail: world.trail });
        }
        if at > end {
            break;
        }
    }
    world.figures.usable[1] += if plan.faults { 0.0 } else { QUOTAS[0].1 * (plan.seconds as f64 - 10.0) };
    Ok(world.figures)
}

impl World {
    fn new(plan: Plan) -> World {
        let places = Places { cores: plan.cores, proxies: plan.proxies };
        let mut world = World {
            places,
            now: 0,
            lot: Lot(mix(plan.seed)),
            queue: BTreeMap::new(),
            number: 0,
            net: Net::new(plan.cores + plan.proxies),
            procs: (0..places.processes()).map(|_| Process::default()).collect(),
            disks: (0..plan.cores).map(|_| Disk::default()).collect(),
            outside: Outside::new(plan.servers),
            ledger: Ledger::default(),
            faults: Faults::default(),
            figures: Figures::default(),
            trail: Vec::new(),
            gap: None,
            plan,
        };
        (0..places.processes()).for_each(|proc| world.start(proc, true));
        (0..2).for_each(|n| world.at(SECOND, Event::Operator(n)));
        for place in 0..world.plan.servers {
            let at = SECOND + world.lot.upto(SECOND);
            world.at(at, Event::Starts(place));
        }
        (0..QUOTAS.len()).for_each(|tenant| world.at(5 * SECOND, Event::Client(tenant)));
        world.at(LOOK, Event::Look);
        world.at(2 * SECOND, Event::Churn);
        world.at((world.plan.seconds - 1) * SECOND, Event::ReadAll);
        if world.plan.faults {
            world.at(4 * SECOND, Event::Fault(Fault::Core));
            world.at(4 * SECOND, Event::Fault(Fault::Proxy));
        }
        world
    }

    /// Something will happen at a moment.
    pub fn at(&mut self, at: Micros, event: Event) {
        self.number += 1;
        self.queue.insert((at.max(self.now), self.number), event);
    }

    /// Something will happen after so long.
    pub fn later(&mut self, after: Micros, event: Event) {
        self.at(self.now + after, event);
    }

    /// Whether the configuration and the servers change now.
    pub fn changes(&self) -> bool {
        let from = if self.plan.faults { 2 * SECOND } else { self.plan.calm_from() / 2 };
        self.now >= from && self.now < self.plan.calm_from()
    }

    /// Whether the quota's use is measured now.
    pub fn measured(&self) -> bool {
        !self.plan.faults && self.now >= 10 * SECOND
    }

    /// A process begins a life.
    pub fn start(&mut self, proc: Proc, first: bool) {
        let machine = self.places.machine(proc);
        if self.procs[proc].body.is_some() || self.net.machines[machine].off {
            return;
        }
        let role = self.places.role(proc);
        let kept = if role == Role::Comb { self.disks[machine].kept.clone() } else { None };
        let process = &mut self.procs[proc];
        process.life += 1;
        process.begun = self.now;
        let life = process.life;
        let name = mix(life ^ mix(proc as u64 ^ mix(self.plan.seed)));
        let mut out = Vec::new();
        self.procs[proc].body =
            Some(Body::begin(&self.plan, self.places, proc, (name, wall(self.now)), first, kept, &mut out));
        if role == Role::Forager {
            self.ledger.begins(proc);
        }
        self.carry_out(proc, out);
        let at = self.lot.upto(30_000);
        self.later(at, Event::Tick(proc, life));
    }

    /// A process ends. With the power goes what was said of its end, too.
    pub fn kill(&mut self, proc: Proc, power: bool) {
        let process = &mut self.procs[proc];
        process.body = None;
        process.table = None;
        process.frozen = 0;
        process.dials.clear();
        for (_, (connection, end)) in std::mem::take(&mut process.lines) {
            self.net.connections[connection].closed[end] = true;
            if !power {
                self.later(1_000, Event::Came(connection, 1 - end, Coming::Gone));
            }
        }
        self.ledger.ends(proc);
        if self.places.role(proc) == Role::Comb {
            let disk = &mut self.disks[self.places.machine(proc)];
            // Of what was not safe some is there, from the first on.
            let there = self.lot.upto(disk.unwritten.len() as u64 + 1) as usize;
            if there > 0 {
                disk.sync(there);
            }
            disk.unwritten.clear();
            disk.syncing = false;
        }
    }

    fn runs(&self, proc: Proc, life: u64) -> bool {
        self.procs[proc].life == life && self.procs[proc].body.is_some()
    }

    fn give(&mut self, proc: Proc, input: Input) {
        let process = &mut self.procs[proc];
        let now = process.clock(self.now);
        let Some(body) = process.body.as_mut() else { return };
        let mut out = Vec::new();
        body.on(now, input, &mut out);
        self.carry_out(proc, out);
    }

    /// Does what a process wants done.
    pub fn carry_out(&mut self, proc: Proc, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Say(peers, speech) => self.say(proc, &peers, speech),
                Output::Cut(peer) => self.close(proc, peer),
                Output::Write(number, change) => {
                    let core = self.places.machine(proc);
                    self.disks[core].unwritten.push((number, change));
                    let life = self.procs[proc].life;
                    if self.plan.broken == Some(Broken::Sync) {
                        self.later(0, Event::Told(proc, life, number));
                    }
                    self.sync(core);
                }
                Output::Answer(number, status, body) => {
                    let life = self.procs[proc].life;
                    let Some((id, tries)) = self.outside.with.remove(&(proc, life, number)) else { continue };
                    if self.net.outside(self.now, self.places.machine(proc), true) {
                        self.later(1_000, Event::Back(id, tries, status, body));
                    }
                }
                Output::Proxy(heard) => self.heard(proc, heard),
            }
        }
    }

    fn heard(&mut self, proc: Proc, heard: Heard) {
        match heard {
            Heard::Configured(table) => {
                self.procs[proc].table = Some(table);
                let Some(Body::Proxy(hearing)) = &self.procs[proc].body else { return };
                self.ledger.configured(self.now, proc, &hearing.realms()[0], &mut self.figures);
            }
            Heard::Server(id, server) => {
                let usable = server.is_some_and(|server| server.state == State::Ready);
                self.ledger.server(proc, id, usable);
            }
            Heard::Admitted(id, admission) => self.admitted(id, admission),
            _ => {}
        }
    }

    fn say(&mut self, proc: Proc, peers: &[Peer], mut speech: Speech) {
        if !self.plan.faults && self.now > 6 * SECOND && self.now < self.plan.calm_from() {
            let change = self.changes();
            self.figures.said(&speech, peers.len(), change);
        }
        let broken = self.plan.broken;
        let back = match &mut speech {
            Speech::Digest(_) if broken == Some(Broken::Digests) => return,
            Speech::Store(StoreWord::Digest { incarnation, .. }) if broken == Some(Broken::Copies) => {
                *incarnation = incarnation.filter(|n| *n == 0);
                None
            }
            Speech::Hold { number, .. } if broken == Some(Broken::Hold) => Some(Speech::Held(*number)),
            Speech::Fence(Word::Claim { turn, .. }) if broken == Some(Broken::Fence) => {
                Some(Speech::Fence(Word::Promised { turn: *turn, slices: ALL }))
            }
            Speech::StoreStands { membership, .. } if broken == Some(Broken::Quorum) => {
                // The registries' duties are not meant.
                *membership = Membership::first((0..self.plan.cores.min(3)).map(|core| self.places.ip(core)));
                None
            }
            Speech::Drawn(grants) if broken == Some(Broken::Units) => {
                for (_, grant) in grants {
                    if let Grant::Block { units, .. } = grant {
                        *units *= 2.0;
                    }
                }
                None
            }
            _ => None,
        };
        let news = match &speech {
            Speech::News(_) => broken == Some(Broken::News),
            Speech::Mend { items, .. } => !items.is_empty() && broken == Some(Broken::News),
            _ => false,
        };
        let speech = Rc::new(speech);
        for peer in peers {
            let Some(&(connection, end)) = self.procs[proc].lines.get(peer) else { continue };
            if let Some(back) = &back {
                self.later(0, Event::Came(connection, end, Coming::Said(Rc::new(back.clone()))));
                continue;
            }
            let other = self.net.connections[connection].ends[1 - end].0;
            if news && self.places.role(other) == Role::Forager {
                continue;
            }
            let way = [self.places.machine(proc), self.places.machine(other)];
            let at = self.net.send(self.now, &mut self.lot, connection, end, way);
            self.at(at, Event::Came(connection, 1 - end, Coming::Said(speech.clone())));
        }
    }

    /// A process closes a connection.
    pub fn close(&mut self, proc: Proc, peer: Peer) {
        let Some((connection, end)) = self.procs[proc].lines.remove(&peer) else { return };
        let line = &mut self.net.connections[connection];
        line.closed[end] = true;
        let other = line.ends[1 - end].0;
        let way = [self.places.machine(proc), self.places.machine(other)];
        let at = self.net.send(self.now, &mut self.lot, connection, end, way);
        self.at(at, Event::Came(connection, 1 - end, Coming::Gone));
        if end == 0 {
            let life = self.procs[proc].life;
            self.later(AGAIN, Event::Failed(proc, life, other));
        }
        self.give(proc, Input::Down(peer));
    }

    fn sync(&mut self, core: usize) {
        let disk = &mut self.disks[core];
        if disk.syncing || disk.unwritten.is_empty() {
            return;
        }
        disk.syncing = true;
        let n = disk.unwritten.len();
        let slow = if self.lot.chance(4) { 40_000 } else { 6_000 };
        let at = disk.stalled.max(self.now) + 2_000 + self.lot.upto(slow);
        let life = self.procs[self.places.store(core)].life;
        self.at(at, Event::Synced(core, life, n));
    }

    fn happens(&mut self, event: Event) {
        let frozen = |world: &World, proc: Proc| Some(world.procs[proc].frozen).filter(|f| *f > world.now);
        match event {
            Event::Tick(proc, life) | Event::Told(proc, life, _) if !self.runs(proc, life) => {}
            Event::Tick(proc, life) => {
                if let Some(until) = frozen(self, proc) {
                    return self.at(until, Event::Tick(proc, life));
                }
                self.tick(proc, life);
            }
            Event::Told(proc, _, number) => self.give(proc, Input::Written(number)),
            Event::Dial(proc, life, to) if self.runs(proc, life) => self.dial(proc, life, to),
            Event::Failed(proc, life, to) if self.runs(proc, life) => {
                if let Some(dial) = self.procs[proc].dials.get_mut(&to) {
                    dial.busy = false;
                }
            }
            Event::Came(connection, end, coming) => self.came(connection, end, coming),
            Event::Synced(core, life, n) => {
                let proc = self.places.store(core);
                if !self.runs(proc, life) {
                    return;
                }
                let until = self.disks[core].stalled.max(self.procs[proc].frozen);
                if until > self.now {
                    return self.at(until + 5_000, Event::Synced(core, life, n));
                }
                self.disks[core].syncing = false;
                let safe = self.disks[core].sync(n);
                if self.plan.broken != Some(Broken::Sync) {
                    safe.into_iter().for_each(|number| self.give(proc, Input::Written(number)));
                }
                self.sync(core);
            }
            Event::Reach(id, tries) => self.reach(id, tries),
            Event::Back(id, tries, status, body) => self.back(id, tries, status, &body),
            Event::Late(id, tries) => self.back(id, tries, 0, ""),
            Event::Again(id) => self.again(id),
            Event::Operator(n) => self.operator(n),
            Event::Starts(place) => self.server_starts(place),
            Event::Beat(place, life) => self.beat(place, life),
            Event::Leave(place, life) => self.leave(place, life),
            Event::Churn => self.churn(),
            Event::Client(tenant) => self.client(tenant),
            Event::Request(proc, tenant) => self.request(proc, tenant),
            Event::Fault(fault) => self.fault(fault),
            Event::ReadAll => self.read_all(),
            Event::Look => self.look(),
            Event::Dial(..) | Event::Failed(..) => {}
        }
    }

    fn tick(&mut self, proc: Proc, life: u64) {
        let silent = |world: &World, line: &(usize, usize)| {
            world.now >= world.net.connections[line.0].heard[line.1] + SILENCE
        };
        let silent: Vec<Peer> = self.procs[proc]
            .lines
            .iter()
            .filter(|(_, line)| silent(self, line))
            .map(|(&peer, _)| peer)
            .collect();
        silent.into_iter().for_each(|peer| self.close(proc, peer));
        self.give(proc, Input::Tick);
        let Some(body) = &self.procs[proc].body else { return };
        let (wanted, pause) = (body.wanted(self.places), body.pause());
        // A link that is not wanted any more is dropped.
        let lines = self.procs[proc].lines.iter();
        let dropped = lines
            .filter(|(_, line)| line.1 == 0 && !wanted.contains(&self.net.connections[line.0].ends[1].0));
        let dropped: Vec<Peer> = dropped.map(|(&peer, _)| peer).collect();
        dropped.into_iter().for_each(|peer| self.close(proc, peer));
        self.procs[proc].dials.retain(|to, _| wanted.contains(to));
        for to in wanted {
            let dial = self.procs[proc].dials.entry(to).or_insert(Dial { pause: AGAIN, busy: false });
            if !std::mem::replace(&mut dial.busy, true) {
                self.later(0, Event::Dial(proc, life, to));
            }
        }
        self.later(pause, Event::Tick(proc, life));
    }

    fn dial(&mut self, proc: Proc, life: u64, to: Proc) {
        let way = [self.places.machine(proc), self.places.machine(to)];
        let there = &self.procs[to];
        let cut = self.now < self.net.blocked(way[0], way[1]).max(self.net.blocked(way[1], way[0]));
        let cut = cut || self.net.machines[way[1]].off;
        let dumb = there.frozen > self.now || self.procs[proc].frozen > self.now;
        if cut || dumb || there.body.is_none() {
            let Some(dial) = self.procs[proc].dials.get_mut(&to) else { return };
            let wait = dial.pause + if cut || dumb { CONNECT } else { 1_000 };
            dial.pause = (dial.pause * 2).min(AGAIN_MOST);
            return self.later(wait, Event::Failed(proc, life, to));
        }
        if let Some(dial) = self.procs[proc].dials.get_mut(&to) {
            dial.pause = AGAIN;
        }
        let mut end = |proc: Proc| {
            let process = &mut self.procs[proc];
            process.last_peer += 1;
            (proc, process.life, process.last_peer)
        };
        let ends = [end(proc), end(to)];
        let connection = self.net.connections.len();
        for (n, (proc, _, peer)) in ends.iter().enumerate() {
            self.procs[*proc].lines.insert(*peer, (connection, n));
        }
        let (heard, next) = ([self.now; 2], [self.now; 2]);
        self.net.connections.push(Connection { ends, closed: [false; 2], heard, next, held: [0; 2] });
        for n in 0..2 {
            let at = self.net.send(self.now, &mut self.lot, connection, n, [way[n], way[1 - n]]);
            self.at(at, Event::Came(connection, 1 - n, Coming::Up));
        }
    }

    fn came(&mut self, connection: usize, end: usize, coming: Coming) {
        let line = &self.net.connections[connection];
        let (proc, life, peer) = line.ends[end];
        if line.closed[end] || !self.runs(proc, life) {
            return;
        }
        let (other, closed) = (line.ends[1 - end].0, line.closed[1 - end]);
        let way = [self.places.machine(other), self.places.machine(proc)];
        if let Some(until) = self.net.held(self.now, connection, 1 - end, way) {
            // What a process that has ended had sent is sent again by nobody.
            if !closed {
                self.at(until, Event::Came(connection, end, coming));
            }
            return;
        }
        if self.procs[proc].frozen > self.now {
            let until = self.procs[proc].frozen;
            self.net.connections[connection].heard[end] = until;
            return self.at(until, Event::Came(connection, end, coming));
        }
        self.net.connections[connection].heard[end] = self.now;
        match coming {
            Coming::Up => self.give(proc, Input::Up(peer)),
            Coming::Said(speech) => self.give(proc, Input::Said(peer, Rc::unwrap_or_clone(speech))),
            Coming::Gone => {
                self.net.connections[connection].closed[end] = true;
                self.procs[proc].lines.remove(&peer);
                if end == 0 {
                    self.later(AGAIN, Event::Failed(proc, life, other));
                }
                self.give(proc, Input::Down(peer));
            }
        }
    }

    fn look(&mut self) {
        let mut held = 0;
        for core in 0..self.plan.cores {
            let process = &self.procs[self.places.scout(core)];
            let Some(Body::Scout(registry)) = &process.body else { continue };
            if process.frozen > self.now {
                continue;
            }
            let acts = registry.acts_for(process.clock(self.now));
            if held & acts != 0 {
                self.ledger.broken(Invariant::OneDuty, format!("{:016b} are held twice", held & acts));
            }
            held |= acts;
        }
        if held == ALL {
            if let Some(since) = self.gap.take() {
                self.figures.gaps.push(self.now - since);
            }
        }
        if self.now.is_multiple_of(5 * LOOK) {
            let proxies = proxies(self.places, &self.procs, &self.net);
            let (core, halted) = (self.faults.core_trouble(self.now), self.faults.halted());
            self.ledger.look(self.now, &proxies, core, halted);
            if self.now >= self.plan.calm_from() {
                self.look_for_heal();
            }
        }
        if !self.plan.faults && self.now > 6 * SECOND && self.now < self.plan.calm_from() {
            self.figures.counted[usize::from(self.changes())] += LOOK;
        }
        self.later(LOOK, Event::Look);
    }

    fn look_for_heal(&mut self) {
        if !self.figures.heals.is_empty() {
            return;
        }
        match self.unlike() {
            None => self.figures.heals.push(self.now - self.plan.calm_from()),
            Some(what) if self.now > self.plan.calm_from() + HEALED => {
                self.ledger.broken(Invariant::Heals, what);
            }
            _ => {}
        }
    }

    /// What keeps the copies from being the same, or a proxy from being ready.
    fn unlike(&mut self) -> Option<String> {
        let mut digests = [BTreeSet::new(), BTreeSet::new()];
        for (proc, process) in self.procs.iter().enumerate() {
            match &process.body {
                Some(Body::Store(desk)) => {
                    let named = desk.store().membership().names().contains(&self.places.ip(proc / 2));
                    if !desk.store().whole() || named && !desk.store().votes() {
                        return Some(format!("store {proc} is not whole, or does not vote and should"));
                    }
                    digests[0].insert(desk.store().cells().digest());
                    if let Err(unfit) = judge::together(desk.store().cells()) {
                        return Some(format!("store {proc}: {unfit}"));
                    }
                }
                Some(Body::Scout(registry)) => {
                    digests.iter_mut().zip(registry.realms()).for_each(|(all, cells)| {
                        all.insert(cells.digest());
                    });
                }
                Some(Body::Proxy(hearing)) => {
                    digests.iter_mut().zip(hearing.realms()).for_each(|(all, cells)| {
                        all.insert(cells.digest());
                    });
                    let routes = hearing.realms()[0].standing(Kind::Route).next().is_some();
                    let servers = self.ledger.servers(proc);
                    if !hearing.whole() || !routes || servers == 0 {
                        return Some(format!("proxy {proc} is not ready: {servers} servers"));
                    }
                }
                None => return Some(format!("process {proc} does not run")),
            }
        }
        let copies = [digests[0].len(), digests[1].len()];
        (copies != [1, 1]).then(|| format!("{copies:?} different copies"))
    }
}
