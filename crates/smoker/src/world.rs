//! The simulated world: one virtual clock, the processes, and the events between them.

use std::collections::BTreeMap;
use std::rc::Rc;

use pinerelay_admission::duty::SLICE_COUNT;
use pinerelay_config_state::hash::mix64;
use pinerelay_config_state::server::ServerState;
use pinerelay_config_state::ItemSet;
use pinerelay_consensus::Membership;
use pinerelay_peer_link::message::{PeerMessage, Role};
use pinerelay_proxy::subscriber::Output as Heard;

use crate::check::{Breach, Ledger};
use crate::contact::Contact;
use crate::disk::Disk;
use crate::faults::{Fault, Faults};
use crate::figures::Figures;
use crate::look::LOOK;
use crate::net::{Net, SILENCE};
use crate::orders::Orders;
use crate::outside::{Outside, QUOTAS};
use crate::plan::{Broken, Lot, Micros, Plan, SECOND};
use crate::process::{wall, Body, Dial, Input, Output, Peer, Places, Proc, Process, Told};
use crate::recovery::{Recovery, Step};
use crate::scenarios::Act;

/// The pause before another attempt to connect, as `peer_link::link` makes it.
pub const AGAIN: Micros = 100_000;
/// What all slices together are.
pub const ALL: u32 = (1 << SLICE_COUNT) - 1;

/// What comes over a connection.
pub enum Coming {
    /// The other end greets.
    Up,
    /// The other end says this.
    Said(Rc<PeerMessage>),
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
    /// What was on its way to the disk of a core's store of this life is there, or refused.
    Synced(usize, u64),
    /// What a disk has refused is tried again.
    Retry(usize, u64),
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
    /// Of a script.
    Act(Act),
    /// The invariants are looked at.
    Look,
    /// At the end all cores are asked what stands.
    ReadAll,
    /// Of a recovery at full size.
    Recovery(Step),
}

/// The world.
pub struct World {
    /// What is played.
    pub plan: Plan,
    /// Which process is where.
    pub places: Places,
    /// The machines that the core consists of now.
    pub core: Vec<usize>,
    /// The machines that have left it for good.
    pub left: Vec<usize>,
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
    /// The proxies' contacts with current registries.
    pub contacts: BTreeMap<Proc, Contact>,
    /// What was answered to orders.
    pub orders: Orders,
    /// Disks of those that vote which were lost and are not repaired, and since when.
    pub wiped: BTreeMap<usize, Micros>,
    /// Who votes, by the newest word of any store.
    pub voting: Membership,
    /// What goes wrong.
    pub faults: Faults,
    /// What is measured.
    pub figures: Figures,
    /// Which faults there were: when, what, and whose number.
    pub trail: Vec<(Micros, &'static str, usize)>,
    /// Since when some duty is held by nobody, after a core's end.
    pub gap: Option<Micros>,
    /// The load, the processors and the samples of a recovery at full size.
    pub recovery: Option<Box<Recovery>>,
}

/// The proxies that run: their last trouble, and their configuration.
pub fn proxies<'a>(places: Places, procs: &'a [Process], net: &Net) -> BTreeMap<Proc, (Micros, &'a ItemSet)> {
    let all = (0..places.proxies).map(|n| places.proxy(n));
    all.filter_map(|proc| match &procs[proc].body {
        Some(Body::Proxy(subscriber)) => {
            Some((proc, (net.machines[places.machine(proc)].trouble, &subscriber.realms()[0])))
        }
        _ => None,
    })
    .collect()
}

/// Plays a plan to its end, or to the first breach.
pub fn play(plan: &Plan) -> Result<Figures, Breach> {
    let mut world = World::new(plan.clone());
    world.schedule();
    let end = plan.seconds * SECOND;
    loop {
        let is_over = !world.happens_next(end);
        world.ledger.overrun(world.now, is_over);
        if let Some((invariant, what)) = world.ledger.breach.take() {
            return Err(Breach { seed: plan.seed, at: world.now, invariant, what, trail: world.trail });
        }
        if is_over {
            break;
        }
    }
    for (invariant, times) in &world.ledger.counted {
        *world.figures.broken.entry(*invariant).or_default() += times;
    }
    world.figures.usable[1] += if plan.faults { 0.0 } else { QUOTAS[0].1 * (plan.seconds as f64 - 10.0) };
    Ok(world.figures)
}

impl World {
    /// A world in which all processes start and nobody calls yet.
    pub(crate) fn new(plan: Plan) -> World {
        let places = Places { cores: plan.cores + plan.spares, proxies: plan.proxies };
        let mut world = World {
            places,
            core: (0..plan.cores).collect(),
            left: Vec::new(),
            now: 0,
            lot: Lot(mix64(plan.seed)),
            queue: BTreeMap::new(),
            number: 0,
            net: Net::new(places.machines()),
            procs: (0..places.processes()).map(|_| Process::default()).collect(),
            disks: Vec::new(),
            outside: Outside::new(plan.servers),
            ledger: Ledger::counting(plan.counts.clone()),
            contacts: BTreeMap::new(),
            orders: Orders::default(),
            wiped: BTreeMap::new(),
            voting: Membership::default(),
            faults: Faults::default(),
            figures: Figures::default(),
            trail: Vec::new(),
            gap: None,
            recovery: None,
            plan,
        };
        (0..places.cores).for_each(|_| world.disks.push(world.new_disk()));
        (world.plan.cores..places.cores).for_each(|spare| world.net.machines[spare].off = true);
        (0..places.processes()).for_each(|proc| world.start(proc, true));
        world
    }

    /// Schedules the callers from outside, the looks at the invariants, and the faults.
    fn schedule(&mut self) {
        let (places, world) = (self.places, self);
        (0..2).for_each(|n| world.at(SECOND, Event::Operator(n)));
        for place in 0..world.plan.servers {
            let at = SECOND + world.lot.upto(SECOND);
            world.at(at, Event::Starts(place));
        }
        (0..QUOTAS.len()).for_each(|tenant| world.at(5 * SECOND, Event::Client(tenant)));
        world.at(LOOK, Event::Look);
        world.at(2 * SECOND, Event::Churn);
        world.at((world.plan.seconds - 1) * SECOND, Event::ReadAll);
        if let Some(scenario) = world.plan.scenario {
            world.orders.all_fit = scenario.all_fit;
            let mut lot = Lot(mix64(world.plan.seed ^ mix64(ALL.into())));
            let script = (scenario.script)(&world.plan, places, &mut lot);
            script.into_iter().for_each(|(at, act)| world.at(at, Event::Act(act)));
        } else if world.plan.faults {
            for fault in [Fault::Core, Fault::Proxy, Fault::Aside] {
                world.at(4 * SECOND, Event::Fault(fault));
            }
        }
    }

    /// The next event happens, if there is one up to the end; tells whether there was.
    pub(crate) fn happens_next(&mut self, end: Micros) -> bool {
        let Some(((at, _), event)) = self.queue.pop_first() else { return false };
        self.now = at.min(end);
        if at <= end {
            self.happens(event);
        }
        at <= end
    }

    /// An empty disk.
    pub fn new_disk(&self) -> Disk {
        Disk::new(self.plan.broken == Some(Broken::Tombstones))
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
        if self.recovery.is_some() {
            return false;
        }
        let from = if self.plan.faults { 2 * SECOND } else { self.plan.calm_from() / 2 };
        self.now >= from && self.now < self.plan.calm_from()
    }

    /// Whether the quota's use is measured now.
    pub fn measured(&self) -> bool {
        !self.plan.faults && self.now >= 10 * SECOND
    }

    /// What tells a process's life from all others.
    pub fn name(&self, proc: Proc) -> u64 {
        mix64(self.procs[proc].life ^ mix64(proc as u64 ^ mix64(self.plan.seed)))
    }

    /// A process begins a life.
    pub fn start(&mut self, proc: Proc, first: bool) {
        let machine = self.places.machine(proc);
        if self.procs[proc].body.is_some() || self.net.machines[machine].off {
            return;
        }
        let role = self.places.role(proc);
        let kept = if role == Role::ConfigStore { self.disks[machine].read() } else { None };
        let seeds = self.seeds(machine, first);
        let process = &mut self.procs[proc];
        process.life += 1;
        process.begun = self.now;
        process.wall = wall(self.now).saturating_add_signed(self.net.machines[machine].skew);
        process.hasty = role == Role::Proxy && self.plan.broken == Some(Broken::Haste);
        let life = process.life;
        let told = Told { life: self.name(proc), wall: self.procs[proc].wall, first, seeds };
        let mut out = Vec::new();
        self.procs[proc].body = Some(Body::begin(&self.plan, self.places, proc, told, kept, &mut out));
        if role == Role::Proxy {
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
        process.basis = None;
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
        self.drop_work(proc);
        if self.places.role(proc) == Role::ConfigStore {
            self.disks[self.places.machine(proc)].ends(&mut self.lot, power);
        }
    }

    /// Whether a process lives this life.
    pub fn runs(&self, proc: Proc, life: u64) -> bool {
        self.procs[proc].life == life && self.procs[proc].body.is_some()
    }

    /// Tells a process something: at once, or where processors take time, when its turn comes.
    pub fn give(&mut self, proc: Proc, input: Input) {
        if let Some(input) = self.queue_input(proc, input) {
            self.give_now(proc, input);
        }
    }

    /// Has a process handle something now.
    pub(crate) fn give_now(&mut self, proc: Proc, input: Input) {
        let process = &mut self.procs[proc];
        let now = process.clock(self.now);
        let Some(body) = process.body.as_mut() else { return };
        let mut out = Vec::new();
        body.on(now, input, &mut out);
        self.look_at_service(proc);
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
                    self.disks[core].give(number, change);
                    let life = self.procs[proc].life;
                    if self.plan.broken == Some(Broken::Sync) {
                        self.later(0, Event::Told(proc, life, number));
                    }
                    self.sync(core);
                }
                Output::Answer(number, status, body) => self.answered(proc, number, status, body),
                Output::Proxy(heard) => self.heard(proc, heard),
            }
        }
        self.put_pieces_in_force(proc);
    }

    /// The defect of a proxy that puts in force whatever has come.
    fn put_pieces_in_force(&mut self, proc: Proc) {
        if self.plan.broken != Some(Broken::Pieces) {
            return;
        }
        let Some(Body::Proxy(subscriber)) = &self.procs[proc].body else { return };
        let items = &subscriber.realms()[0];
        if !items.is_empty() {
            self.ledger.configured(self.now, proc, items, &mut self.figures);
        }
    }

    fn heard(&mut self, proc: Proc, heard: Heard) {
        match heard {
            Heard::Configured(table) => {
                self.procs[proc].table = Some(table);
                if self.recovery.is_some() {
                    return;
                }
                let Some(Body::Proxy(subscriber)) = &self.procs[proc].body else { return };
                self.ledger.configured(self.now, proc, &subscriber.realms()[0], &mut self.figures);
            }
            Heard::ServerChanged(id, server) => {
                let usable = server.is_some_and(|server| server.state == ServerState::Ready);
                self.ledger.server(proc, id, usable);
            }
            Heard::Decided(decision) if self.recovery.is_some() => self.decided(decision),
            Heard::Decided(decision) => self.admitted(decision),
            _ => {}
        }
    }

    fn happens(&mut self, event: Event) {
        let frozen = |world: &World, proc: Proc| Some(world.procs[proc].frozen).filter(|f| *f > world.now);
        match event {
            Event::Tick(proc, life) | Event::Told(proc, life, _) if !self.runs(proc, life) => {}
            Event::Tick(proc, life) => {
                if let Some(until) = frozen(self, proc) {
                    return self.at(until, Event::Tick(proc, life));
                }
                if !self.queue_tick(proc) {
                    self.tick(proc, life);
                }
            }
            Event::Told(proc, _, number) => self.give(proc, Input::Written(number)),
            Event::Dial(proc, life, to) if self.runs(proc, life) => self.dial(proc, life, to),
            Event::Failed(proc, life, to) if self.runs(proc, life) => {
                if let Some(dial) = self.procs[proc].dials.get_mut(&to) {
                    dial.busy = false;
                }
            }
            Event::Came(connection, end, coming) => self.came(connection, end, coming),
            Event::Synced(core, life) => self.synced(core, life),
            Event::Retry(core, life) if self.runs(self.places.store(core), life) => self.sync(core),
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
            Event::Act(act) => self.act(act),
            Event::ReadAll => self.read_all(),
            Event::Look => self.look(),
            Event::Recovery(step) => self.recovery_step(step),
            Event::Dial(..) | Event::Failed(..) | Event::Retry(..) => {}
        }
    }

    /// Lets time pass for a process, and has it make and drop links.
    pub(crate) fn tick(&mut self, proc: Proc, life: u64) {
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
        self.give_now(proc, Input::Tick(self.backlog(proc)));
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
}
