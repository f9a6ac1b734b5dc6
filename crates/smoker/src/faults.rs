//! What goes wrong: never more at once than is tolerated, and at the worst moments.

use crate::plan::{Broken, Micros, SECOND};
use crate::process::Proc;
use crate::world::{Event, World};

/// A machine counts as lost for so long once it is back.
const SYNC_TIME: Micros = 4 * SECOND;

/// A fault's turn.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The next trouble of the core.
    Core,
    /// The next trouble of proxies.
    Proxy,
    /// A machine has power again.
    Power(usize),
    /// A process starts again.
    Start(Proc),
    /// The core was changed: it is not settled for a while.
    Stirred,
    /// What was to happen right after an acknowledgement has found none.
    Disarm(u64),
}

/// What befalls a core that has just acknowledged something.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// Its power.
    Power,
    /// Its disk.
    Disk,
    /// Its disk, and all others' power.
    DiskAndPower,
}

/// The state of all faults.
#[derive(Debug, Default)]
pub struct Faults {
    armed: Option<(u64, Loss)>,
    turn: u64,
    /// When the core was last stirred, and until when one is slowed.
    stirred: Micros,
    slowed: Micros,
    /// Until when half of the core or more did not run.
    halted: Micros,
}

impl Faults {
    /// When the core's last trouble was, as the rules count it.
    pub fn core_trouble(&self, now: Micros) -> Micros {
        self.stirred.max(self.slowed.min(now))
    }

    /// Until when half of the core or more did not run.
    pub fn halted(&self) -> Micros {
        self.halted
    }
}

impl World {
    /// Counts a fault, and keeps it for who asks what came before a breach.
    fn note(&mut self, what: &'static str, whose: usize) {
        self.figures.count(what);
        self.trail.push((self.now, what, whose));
    }

    /// When something ends that lasts so long: with the faults at the latest.
    fn until(&self, after: Micros) -> Micros {
        (self.now + after).min(self.plan.calm_from())
    }

    /// A fault's turn.
    pub fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Core => self.core_fault(),
            Fault::Proxy => self.proxy_fault(),
            Fault::Power(machine) => {
                self.faults.stirred = self.now;
                self.net.machines[machine].off = false;
                self.start(self.places.store(machine), false);
                self.start(self.places.scout(machine), false);
            }
            Fault::Start(proc) => {
                if proc < self.places.proxy(0) {
                    self.faults.stirred = self.now;
                }
                self.start(proc, false);
            }
            Fault::Stirred => self.faults.stirred = self.now,
            Fault::Disarm(turn) => {
                if self.faults.armed.is_some_and(|(armed, _)| armed == turn) {
                    self.faults.armed = None;
                    self.at(self.now, Event::Fault(Fault::Core));
                }
            }
        }
    }

    /// The core bears no other trouble before a while after this moment.
    fn next_core_fault(&mut self, end: Micros) {
        let pause = SYNC_TIME + self.lot.upto(SECOND);
        if end + pause + SECOND < self.plan.calm_from() {
            self.at(end + pause, Event::Fault(Fault::Core));
        }
    }

    fn lose(&mut self, core: usize, loss: Option<Loss>) -> Micros {
        let back = self.lot.within(SECOND / 3, 3 * SECOND);
        let back = self.until(back);
        self.faults.stirred = self.now;
        self.gap = Some(self.now);
        let together = self.lot.chance(2);
        if matches!(loss, Some(Loss::DiskAndPower)) {
            self.faults.halted = self.until(3 * SECOND);
            for other in (0..self.plan.cores).filter(|other| *other != core) {
                self.power_off(other);
                let alone = self.lot.within(SECOND / 5, 3 * SECOND);
                let alone = self.until(alone);
                self.at(if together { back } else { alone }, Event::Fault(Fault::Power(other)));
            }
        }
        self.power_off(core);
        if matches!(loss, Some(Loss::Disk | Loss::DiskAndPower)) {
            self.note("disks lost", core);
            self.disks[core] = Default::default();
        }
        self.at(back, Event::Fault(Fault::Power(core)));
        if loss.is_some() {
            // What was acknowledged is asked for before others can have handed it over.
            self.at(back + SECOND / 10, Event::ReadAll);
        }
        back
    }

    fn power_off(&mut self, machine: usize) {
        self.note("power lost", machine);
        self.net.machines[machine].off = true;
        self.kill(self.places.store(machine), true);
        self.kill(self.places.scout(machine), true);
    }

    /// A core has just acknowledged something to its caller.
    pub fn after_ack(&mut self, core: usize) {
        if self.net.machines[core].off {
            return;
        }
        if let Some((_, loss)) = self.faults.armed.take() {
            self.note("lost right after an acknowledgement", core);
            let back = self.lose(core, Some(loss));
            self.next_core_fault(back);
        }
    }

    fn core_fault(&mut self) {
        if self.now + SECOND >= self.plan.calm_from() {
            return;
        }
        let core = self.lot.upto(self.plan.cores as u64) as usize;
        let (store, scout) = (self.places.store(core), self.places.scout(core));
        self.faults.turn += 1;
        let end = match self.lot.upto(12) {
            n @ 0..=3 => {
                let loss = [Loss::Power, Loss::Disk, Loss::Disk, Loss::DiskAndPower][n as usize];
                self.faults.armed = Some((self.faults.turn, loss));
                return self.later(2 * SECOND, Event::Fault(Fault::Disarm(self.faults.turn)));
            }
            4 => self.lose(core, None),
            5 => {
                // One of its processes, or both.
                let which = self.lot.upto(3);
                let back = self.lot.within(SECOND / 5, SECOND);
                let back = self.until(back);
                for proc in [store, scout].into_iter().skip(usize::from(which == 1)).take(if which < 2 {
                    1
                } else {
                    2
                }) {
                    self.kill(proc, false);
                    self.at(back, Event::Fault(Fault::Start(proc)));
                }
                self.note("core processes killed", core);
                self.faults.stirred = self.now;
                self.gap = Some(self.now);
                back
            }
            6..=8 => self.cut_core(core),
            9 => {
                let mut last = self.now;
                self.note("whole core killed", 0);
                for proc in 0..self.places.proxy(0) {
                    self.kill(proc, false);
                    let back = self.lot.within(SECOND / 5, SECOND);
                    let back = self.until(back);
                    last = last.max(back);
                    self.at(back, Event::Fault(Fault::Start(proc)));
                }
                self.faults.stirred = self.now;
                self.faults.halted = last;
                last
            }
            10 => {
                let until = self.lot.within(SECOND / 3, 3 * SECOND);
                let until = self.until(until);
                let both = self.lot.chance(2);
                for proc in [store, scout].into_iter().skip(usize::from(!both)) {
                    self.procs[proc].frozen = until;
                }
                self.note("cores frozen", core);
                self.faults.stirred = self.now;
                self.at(until, Event::Fault(Fault::Stirred));
                until
            }
            _ => {
                let until = self.lot.within(SECOND / 3, 4 * SECOND);
                let until = self.until(until);
                self.disks[core].stalled = until;
                self.faults.slowed = until;
                self.note("disks stalled", core);
                until
            }
        };
        self.next_core_fault(end);
    }

    /// One way or both, with callers from outside or without.
    fn cut_core(&mut self, core: usize) -> Micros {
        let until = self.lot.within(SECOND / 3, 8 * SECOND);
        let until = self.until(until);
        let ways = self.lot.upto(4);
        let machine = &mut self.net.machines[core];
        machine.outside = self.lot.chance(2);
        machine.mute = if ways == 1 { 0 } else { until };
        machine.deaf = if ways == 2 { 0 } else { until };
        self.note("cores cut off", core);
        self.faults.stirred = self.now;
        self.at(until, Event::Fault(Fault::Stirred));
        until
    }

    fn proxy_fault(&mut self) {
        if self.now + SECOND >= self.plan.calm_from() {
            return;
        }
        let pause = self.lot.within(SECOND / 5, 3 * SECOND);
        self.later(pause, Event::Fault(Fault::Proxy));
        let some = 1 + self.lot.upto(self.plan.proxies as u64 / 2) as usize;
        let what = self.lot.upto(6);
        let span = self.lot.within(SECOND / 3, if what == 1 { 10 } else { 3 } * SECOND);
        for _ in 0..if what == 1 { some } else { 1 } {
            let proc = self.places.proxy(self.lot.upto(self.plan.proxies as u64) as usize);
            let machine = self.places.machine(proc);
            let until = self.until(span);
            let trouble = match what {
                0 if self.plan.broken == Some(Broken::Memory) => {
                    // Its state is lost, and nobody is told that another life began.
                    let seen = self.ledger.remembered(proc);
                    self.kill(proc, false);
                    self.start(proc, false);
                    self.ledger.remember(proc, seen);
                    self.now
                }
                0 => {
                    self.note("proxies killed", proc);
                    self.kill(proc, false);
                    let back = self.lot.within(SECOND / 5, SECOND);
                    let back = self.until(back);
                    self.at(back, Event::Fault(Fault::Start(proc)));
                    back
                }
                1 => {
                    self.note("proxies cut off", proc);
                    let ways = self.lot.upto(4);
                    self.net.machines[machine].mute = if ways == 1 { 0 } else { until };
                    self.net.machines[machine].deaf = if ways == 2 { 0 } else { until };
                    until
                }
                2 => {
                    self.note("proxies frozen", proc);
                    self.procs[proc].frozen = until;
                    until
                }
                3 => {
                    self.note("links broken", proc);
                    let lines: Vec<_> = self.procs[proc].lines.keys().copied().collect();
                    lines.into_iter().for_each(|peer| self.close(proc, peer));
                    self.now
                }
                _ => {
                    self.note("lossy links", proc);
                    self.net.machines[machine].lossy = (5, until);
                    until
                }
            };
            let machine = &mut self.net.machines[machine];
            machine.trouble = machine.trouble.max(trouble);
        }
    }
}
