//! The conduct of a soak: does what its plan says, one step after another without waiting for what they begin.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{sleep, sleep_until, Instant};

use super::{ready, stalls, Play, PlayError, Troubles, AFTER, FIRST_GREY, INSIST};
use crate::client::Client;
use crate::field::{terms, Field, GRACE, RECOVERY};
use crate::judge::serves_again;
use crate::operator;
use crate::record::{Micros, Outage, Standstill};
use crate::server::Server;
use crate::site::{Class, Process, SiteError, MACHINES};
use crate::soak::{self, Change, Disk, Program, Signal, Soak, Step, Target};

/// How often processes are looked at.
const LOOK: Duration = Duration::from_millis(10);
/// How long a call of the operator is made: all processes may have been killed when it begins.
const CALL: Duration = Duration::from_secs(20);
/// How long a server that comes back waits until its address is free.
const ADDRESS: Duration = Duration::from_secs(2);
/// How often a proxy is asked whether it is ready, after all were killed.
const ASK: Duration = Duration::from_millis(50);
/// A play goes on for so long after `recovery` if the gateway does not serve again.
const BEYOND: Duration = Duration::from_secs(2);

/// What a soak knows of a process.
#[derive(Default)]
struct Watched {
    /// It has ended, and that was noted.
    down: bool,
    /// It was killed, so that its end is no surprise.
    killed: bool,
    /// Since when it has been told to end.
    told: Option<Instant>,
    /// Since when it has stood still.
    still: Option<Micros>,
    /// It is to be started once it has ended.
    start: Option<Disk>,
}

/// The server of each number that is there.
type Fleet = Rc<RefCell<BTreeMap<usize, Rc<Server>>>>;

/// A soak under way.
struct Soaking<'a> {
    play: &'a mut Play,
    watched: BTreeMap<Target, Watched>,
    fleet: Fleet,
    /// The calls of the operator, by what they change.
    calls: BTreeMap<String, JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Play {
    /// Plays a soak's plan; then reads the configuration back.
    pub(super) async fn soak(
        &mut self,
        length: Duration,
        soak: Soak,
        troubles: Troubles,
    ) -> Result<(), PlayError> {
        let begun = Instant::now();
        let plan = soak::draw(soak, length);
        self.clients_come(troubles);
        self.soak_clients_come();
        let watch = tokio::task::spawn_local(stalls(self.field.clone()));
        self.configuration_changes().await?;
        let mut soaking = Soaking::new(self);
        for (at, step) in plan.steps {
            soaking.look_until(begun + at).await?;
            soaking.step(step).await;
        }
        soaking.look_until(begun + length).await?;
        soaking.settle(troubles).await?;
        self.field.over.set(true);
        self.await_last().await;
        watch.abort();
        operator::read(&self.field, &self.site.controls(), INSIST).await;
        self.note_ends();
        Ok(())
    }

    fn soak_clients_come(&mut self) {
        let proxies = Rc::new(self.proxies());
        for home in 0..MACHINES {
            let client = Client::new(self.field.clone(), proxies.clone(), home, true);
            self.clients.push(tokio::task::spawn_local(client.series()));
        }
    }

    fn process(&mut self, target: Target) -> &mut Process {
        let Target { program, machine } = target;
        match program {
            Program::Store => &mut self.stores[machine],
            Program::Registry => &mut self.registries[machine],
            Program::Proxy => &mut self.proxies[machine],
        }
    }

    /// Starts a program anew, on an empty disk if so wanted.
    fn start_anew(&mut self, target: Target, disk: Disk) -> Result<(), SiteError> {
        let Target { program, machine } = target;
        let class = if program == Program::Proxy { Class::Edge } else { Class::Core };
        if program == Program::Store && disk == Disk::Empty {
            self.site.lose_disk(machine)?;
        }
        *self.process(target) = self.site.start(class, machine, program.name(), false)?;
        if program == Program::Proxy {
            self.field.records.borrow_mut().restarts.push(self.field.now());
        }
        Ok(())
    }
}

/// The service of the server of this number.
fn service_of(n: usize) -> &'static str {
    match n / MACHINES {
        0 => "bells",
        1 => "posts",
        _ => "greys",
    }
}

impl Soaking<'_> {
    fn new(play: &mut Play) -> Soaking<'_> {
        let numbers = (0..2 * MACHINES).chain(FIRST_GREY..FIRST_GREY + MACHINES);
        let fleet = numbers.zip(play.servers.drain(..)).collect();
        let of = |program, machines| (0..machines).map(move |machine| Target { program, machine });
        let (cores, proxies) = (play.stores.len(), play.proxies.len());
        let targets =
            of(Program::Store, cores).chain(of(Program::Registry, cores)).chain(of(Program::Proxy, proxies));
        let watched = targets.map(|target| (target, Watched::default())).collect();
        let (calls, tasks) = Default::default();
        Soaking { play, watched, fleet: Rc::new(RefCell::new(fleet)), calls, tasks }
    }

    fn field(&self) -> &Rc<Field> {
        &self.play.field
    }

    /// Looks at the processes until a time.
    async fn look_until(&mut self, until: Instant) -> Result<(), PlayError> {
        loop {
            self.look()?;
            let now = Instant::now();
            if now >= until {
                return Ok(());
            }
            sleep_until(until.min(now + LOOK)).await;
        }
    }

    /// Notes processes that have ended, kills those that are late to, and starts those that are to be started.
    fn look(&mut self) -> Result<(), SiteError> {
        let targets: Vec<Target> = self.watched.keys().copied().collect();
        for target in targets {
            let ended = self.play.process(target).ended();
            let Some(watched) = self.watched.get_mut(&target) else { continue };
            let mut told = None;
            if let Some(status) = ended.filter(|_| !watched.down) {
                watched.down = true;
                if watched.told.is_some() && !watched.killed && !status.success() {
                    told = Some(format!("{target}, at SIGTERM: {status}"));
                } else if watched.told.is_none() && !watched.killed {
                    told = Some(format!("{target}, unasked: {status}"));
                    watched.start = Some(Disk::Same);
                }
            }
            let late = watched.told.is_some_and(|told| told.elapsed() > GRACE);
            if late && !watched.down && !watched.killed && watched.still.is_none() {
                watched.killed = true;
                told = Some(format!("{target}, at SIGTERM: not at all"));
                self.play.process(target).strike();
            }
            self.note(told);
            self.start_if_due(target)?;
        }
        self.note_running();
        Ok(())
    }

    fn note(&self, breach: Option<String>) {
        let Some(breach) = breach else { return };
        self.field().say(breach.clone());
        self.field().records.borrow_mut().ended.push(breach);
    }

    fn start_if_due(&mut self, target: Target) -> Result<(), SiteError> {
        let Some(watched) = self.watched.get_mut(&target).filter(|watched| watched.down) else {
            return Ok(());
        };
        let Some(disk) = watched.start.take() else { return Ok(()) };
        *watched = Watched::default();
        self.play.start_anew(target, disk)
    }

    /// Notes that all processes run again after all were killed, and waits for the first proxy to be ready.
    fn note_running(&mut self) {
        if self.watched.values().any(|watched| watched.down || watched.killed) {
            return;
        }
        let now = self.field().now();
        let mut records = self.play.field.records.borrow_mut();
        let Some(outage) = records.outages.last_mut().filter(|outage| outage.running.is_none()) else {
            return;
        };
        outage.running = Some(now);
        drop(records);
        self.field().say("all processes run again");
        for n in 0..self.play.proxies.len() {
            let (field, address) = (self.field().clone(), self.play.site.readiness(n));
            self.tasks.push(tokio::task::spawn_local(async move {
                while !ready(address).await {
                    sleep(ASK).await;
                }
                let now = field.now();
                if let Some(outage) = field.records.borrow_mut().outages.last_mut() {
                    outage.ready.get_or_insert(now);
                }
            }));
        }
    }

    async fn step(&mut self, step: Step) {
        if !matches!(step, Step::Change(_)) {
            self.field().say(step.to_string());
        }
        match step {
            Step::Signal(target, signal) => self.signal(target, signal).await,
            Step::Start(target, disk) => {
                if let Some(watched) = self.watched.get_mut(&target) {
                    watched.start = Some(disk);
                }
            }
            Step::KillAll => self.kill_all(),
            Step::StartAll => {
                // Those that were started before the others are let alone.
                let dead = self.watched.values_mut().filter(|watched| watched.down || watched.killed);
                dead.for_each(|watched| watched.start = Some(Disk::Same));
            }
            Step::Change(change) => self.change(change),
            Step::ServerLeaves(n, pause) => self.server_goes(n, pause, false),
            Step::ServerCrashes(n, pause) => self.server_goes(n, pause, true),
        }
    }

    async fn signal(&mut self, target: Target, signal: Signal) {
        let now = self.field().now();
        let Some(watched) = self.watched.get_mut(&target) else { return };
        match signal {
            Signal::Terminate => {
                watched.told.get_or_insert_with(Instant::now);
                self.play.field.records.borrow_mut().watched += 1;
            }
            Signal::Kill => watched.killed = true,
            Signal::Stop => watched.still = Some(now),
            Signal::Hangup | Signal::Continue => {}
        }
        if signal == Signal::Kill {
            self.play.process(target).strike();
        } else {
            self.play.process(target).signal(signal.name()).await;
        }
        if signal == Signal::Continue {
            self.goes_on(target);
        }
    }

    /// Notes that a process stands still no longer. What it was told before, it hears now.
    fn goes_on(&mut self, target: Target) {
        let until = self.field().now();
        let Some(watched) = self.watched.get_mut(&target) else { return };
        let Some(from) = watched.still.take() else { return };
        watched.told = watched.told.map(|_| Instant::now());
        if target.program == Program::Proxy {
            let standstill = Standstill { proxy: target.machine, from, until };
            self.play.field.records.borrow_mut().standstills.push(standstill);
        }
    }

    fn kill_all(&mut self) {
        let targets: Vec<Target> = self.watched.keys().copied().collect();
        for &target in &targets {
            self.play.process(target).strike();
        }
        for target in targets {
            self.goes_on(target);
            self.watched.insert(target, Watched { killed: true, ..Watched::default() });
        }
        self.tasks.drain(..).for_each(|task| task.abort());
        let outage = Outage { killed: self.field().now(), running: None, ready: None };
        self.field().records.borrow_mut().outages.push(outage);
    }

    /// Makes a call of the operator, after those on the same item.
    fn change(&mut self, change: Change) {
        let item = match change {
            Change::Add(n) | Change::Move(n) | Change::Remove(n) => format!("route {n}"),
            Change::Touch(n) => format!("tenant {n}"),
        };
        let before = self.calls.remove(&item);
        let (field, controls) = (self.field().clone(), self.play.site.controls());
        let call = tokio::task::spawn_local(async move {
            if let Some(before) = before {
                // One that was cut off tells its own story.
                let _ = before.await;
            }
            let begun = field.now();
            let taken = operator::soak_change(&field, &controls, change, CALL).await;
            let mut records = field.records.borrow_mut();
            records.calls += 1;
            if !taken {
                let (begun, most) = (begun as f64 / 1e6, CALL.as_secs());
                records.unacknowledged.push(format!("{change:?}, called from {begun:.3} s on for {most} s"));
            }
        });
        self.calls.insert(item, call);
    }

    /// A server leaves or crashes, and comes back at its address after a pause.
    fn server_goes(&mut self, n: usize, pause: Duration, crashes: bool) {
        let Some(server) = self.fleet.borrow_mut().remove(&n) else {
            return self.field().say(format!("server {n} has not come back yet"));
        };
        let plan = self.play.server_plan(service_of(n), n);
        let (field, controls) = (self.field().clone(), self.play.site.controls());
        let (fleet, proxies) = (self.fleet.clone(), Rc::new(self.play.proxies()));
        let leaving = self.play.leaving.clone();
        *leaving.borrow_mut() += 1;
        tokio::task::spawn_local(async move {
            if crashes {
                server.crash();
                field.records.borrow_mut().crashed.insert(server.id().into());
            } else {
                server.leave().await;
            }
            drop(server);
            sleep(pause).await;
            let until = Instant::now() + ADDRESS;
            while Instant::now() < until {
                let come =
                    Server::start(plan.clone(), field.clone(), controls.clone(), proxies.clone()).await;
                if let Ok(server) = come {
                    fleet.borrow_mut().insert(n, server);
                    break;
                }
                sleep(LOOK).await;
            }
            *leaving.borrow_mut() -= 1;
        });
    }

    /// Waits until all processes run, calls are over, and the last outage is over or overdue; all within bounds.
    async fn settle(&mut self, troubles: Troubles) -> Result<(), PlayError> {
        let terms = terms(troubles);
        let until = Instant::now() + RECOVERY + BEYOND;
        while Instant::now() < until {
            let running = self.watched.values().all(|watched| !watched.down && !watched.killed);
            let serves = {
                let records = self.field().records.borrow();
                records.outages.last().is_none_or(|outage| serves_again(&records, outage, &terms).is_some())
            };
            if running && serves {
                break;
            }
            self.look_until(Instant::now() + ASK).await?;
        }
        let calls = std::mem::take(&mut self.calls);
        while calls.values().any(|call| !call.is_finished()) {
            self.look_until(Instant::now() + ASK).await?;
        }
        self.look_until(Instant::now() + AFTER).await?;
        self.tasks.drain(..).for_each(|task| task.abort());
        self.play.servers = std::mem::take(&mut *self.fleet.borrow_mut()).into_values().collect();
        Ok(())
    }
}
