//! What goes wrong by lot: never more at once than is tolerated, and at the worst moments.

use pinerelay_config_state::ItemSet;

use crate::plan::{Broken, Micros, SECOND};
use crate::process::Proc;
use crate::trouble::{Trouble, Ways};
use crate::world::{Event, World};

/// A machine counts as lost for so long once it is back.
pub const SYNC_TIME: Micros = 4 * SECOND;
/// Nothing stands still or is cut off for longer.
const LONG: Micros = 20 * SECOND;

/// A fault's turn.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// The next trouble of the core.
    Core,
    /// The next trouble of proxies.
    Proxy,
    /// The next trouble that makes no machine lost: a step of a clock, or resets.
    Aside,
    /// A disk is lost as soon as the one before is repaired.
    Second,
    /// From now on one disk is lost after the other, each right after an acknowledgement.
    Chain,
    /// This one, now.
    Now(Trouble),
    /// A machine has power again.
    Power(usize),
    /// A process starts again.
    Start(Proc),
    /// The core was changed: it is not settled for a while.
    Stirred,
    /// A machine's time of day is right again.
    Set(usize),
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
    /// Its disk, and all others' power; the proxies', too.
    DiskAndPower(bool),
}

/// The state of all faults.
#[derive(Debug, Default)]
pub struct Faults {
    armed: Option<(u64, Loss)>,
    turn: u64,
    /// Disks are lost one after the other.
    chain: bool,
    /// When the core was last stirred.
    pub stirred: Micros,
    /// Until when one of it is slowed.
    pub slowed: Micros,
    /// Until when half of the core or more did not run.
    pub halted: Micros,
}

impl Faults {
    /// When the core's last trouble was, as the rules count it.
    pub fn core_trouble(&self, now: Micros) -> Micros {
        self.stirred.max(self.slowed.min(now))
    }
}

impl World {
    /// A fault's turn.
    pub fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Core => self.core_fault(),
            Fault::Proxy => self.proxy_fault(),
            Fault::Aside => self.aside(),
            Fault::Chain => {
                self.faults.chain = true;
                self.fault(Fault::Second);
            }
            Fault::Second if self.faults.chain => {
                if self.left.len() < self.plan.spares && self.lot.chance(3) {
                    let core = self.any_core();
                    let back = self.befall(Trouble::Replace(core));
                    return self.next_core_fault(back, true);
                }
                // Until something is acknowledged.
                self.faults.armed = Some((self.faults.turn, Loss::Disk));
            }
            Fault::Second => {
                let core = self.any_core();
                let span = self.span();
                let back = self.lose(core, Loss::Disk, span);
                self.next_core_fault(back, true);
            }
            Fault::Now(trouble) => {
                self.befall(trouble);
            }
            Fault::Power(machine) => {
                self.stir(machine);
                self.net.machines[machine].off = false;
                self.places.on(machine).into_iter().for_each(|proc| self.start(proc, false));
            }
            Fault::Start(proc) => {
                self.stir(self.places.machine(proc));
                self.start(proc, false);
            }
            Fault::Stirred => self.faults.stirred = self.now,
            Fault::Set(machine) => self.net.machines[machine].skew = 0,
            Fault::Disarm(turn) => {
                if self.faults.armed.is_some_and(|(armed, _)| armed == turn) {
                    self.faults.armed = None;
                    self.at(self.now, Event::Fault(Fault::Core));
                }
            }
        }
    }

    /// A machine that was changed: one of the core is not settled for a while.
    pub fn stir(&mut self, machine: usize) {
        if machine < self.places.cores {
            self.faults.stirred = self.now;
        }
    }

    /// A machine of the core.
    pub fn any_core(&mut self) -> usize {
        self.core[self.lot.upto(self.core.len() as u64) as usize]
    }

    /// One of its processes, or both.
    fn some_of(&mut self, core: usize) -> Vec<Proc> {
        let mut procs = self.places.on(core);
        match self.lot.upto(3) {
            2 => {}
            n => {
                procs.remove(n as usize);
            }
        }
        procs
    }

    /// Further machines of the core that are lost together with one, as many as is tolerated.
    fn lost_with(&mut self, core: usize) -> Vec<usize> {
        let mut others: Vec<usize> = self.core.iter().copied().filter(|other| *other != core).collect();
        let mut lost = Vec::new();
        while lost.len() + 1 < self.plan.losses && !others.is_empty() {
            let drawn = self.lot.upto(others.len() as u64) as usize;
            lost.push(others.swap_remove(drawn));
        }
        lost
    }

    /// As many machines of the core as is tolerated lose their power, or their disks, at once.
    fn lose(&mut self, core: usize, loss: Loss, span: Micros) -> Micros {
        let lost_with = self.lost_with(core);
        let back = match loss {
            Loss::Power => self.befall(Trouble::Power(core, span)),
            Loss::Disk => self.befall(Trouble::Wipe(core, span)),
            Loss::DiskAndPower(proxies) => self.befall(Trouble::Dark { wiped: Some(core), proxies }),
        };
        let further = lost_with.into_iter().map(|other| match loss {
            Loss::Power => self.befall(Trouble::Power(other, span)),
            Loss::Disk => self.befall(Trouble::Wipe(other, span)),
            Loss::DiskAndPower(_) => {
                self.wipe(other);
                back
            }
        });
        further.max().unwrap_or(back).max(back)
    }

    /// How long something lasts: mostly short, now and then for long.
    fn span(&mut self) -> Micros {
        if self.lot.chance(6) {
            self.lot.within(3 * SECOND, LONG)
        } else {
            self.lot.within(SECOND / 3, 3 * SECOND)
        }
    }

    /// What a process that begins on a machine is told of the core: at the first start the same for all; later some list of any
    /// age. One that names no other machine of the core would be found by nobody.
    pub fn seeds(&mut self, machine: usize, first: bool) -> Vec<String> {
        let mut all = self.core.clone();
        if !first && self.plan.faults && self.lot.chance(2) {
            all.extend(&self.left);
            for n in (1..all.len()).rev() {
                all.swap(n, self.lot.upto(n as u64 + 1) as usize);
            }
            if all.iter().take(3).all(|other| *other == machine || self.left.contains(other)) {
                let others: Vec<usize> =
                    self.core.iter().copied().filter(|other| *other != machine).collect();
                all[0] = others[self.lot.upto(others.len() as u64) as usize];
            }
        }
        all.iter().take(3).map(|&machine| self.places.ip(machine)).collect()
    }

    /// The core bears no other trouble before a while after this moment. Right after a repair the next disk may be lost.
    fn next_core_fault(&mut self, end: Micros, repaired: bool) {
        let (pause, fault) = if self.faults.chain || repaired && self.lot.chance(3) {
            (SYNC_TIME, Fault::Second)
        } else {
            (SYNC_TIME + self.lot.upto(SECOND), Fault::Core)
        };
        if end + pause + SECOND < self.plan.calm_from() {
            self.at(end + pause, Event::Fault(fault));
        }
    }

    /// A core has just acknowledged something to its caller.
    pub fn after_ack(&mut self, core: usize) {
        if self.net.machines[core].off || !self.core.contains(&core) {
            return;
        }
        if let Some((_, loss)) = self.faults.armed.take() {
            self.note("lost right after an acknowledgement", core);
            let span = self.lot.within(SECOND / 3, 3 * SECOND);
            let back = self.lose(core, loss, span);
            // What was acknowledged is asked for before others can have handed it over.
            self.at(back + SECOND / 10, Event::ReadAll);
            self.next_core_fault(back, !matches!(loss, Loss::Power));
        }
    }

    fn core_fault(&mut self) {
        if self.now + SECOND >= self.plan.calm_from() {
            return;
        }
        let core = self.any_core();
        let other = self.core.iter().position(|c| *c == core).unwrap_or(0) + 1;
        let other = other + self.lot.upto(self.core.len() as u64 - 1) as usize;
        let other = self.core[other % self.core.len()];
        let span = self.span();
        let short = self.lot.within(SECOND / 5, SECOND);
        self.faults.turn += 1;
        let end = match self.lot.upto(18) {
            n @ 0..=3 => {
                let proxies = self.lot.chance(3);
                let loss = [Loss::Power, Loss::Disk, Loss::Disk, Loss::DiskAndPower(proxies)][n as usize];
                self.faults.armed = Some((self.faults.turn, loss));
                return self.later(2 * SECOND, Event::Fault(Fault::Disarm(self.faults.turn)));
            }
            4 => self.lose(core, Loss::Power, span),
            5 => {
                let procs = self.some_of(core);
                let ends = procs.into_iter().map(|proc| self.befall(Trouble::Kill(proc, short)));
                ends.max().unwrap_or(self.now)
            }
            6..=8 => {
                let ways = [Ways::Both, Ways::Out, Ways::In, Ways::Both][self.lot.upto(4) as usize];
                let outside = self.lot.chance(2);
                self.befall(Trouble::Cut { machine: core, ways, outside, span })
            }
            9 => {
                self.note("whole core killed", 0);
                self.befall(Trouble::KillCore)
            }
            10 | 11 => {
                let procs = self.some_of(core);
                let ends = procs.into_iter().map(|proc| self.befall(Trouble::Freeze(proc, span)));
                ends.max().unwrap_or(self.now)
            }
            12 => self.befall(Trouble::Stall(core, span)),
            13 => self.befall(Trouble::Refuse(core, span)),
            14 => self.befall(Trouble::Part { from: core, to: other, span }),
            15 => self.befall(Trouble::Alone(core, span)),
            16 => {
                let proxies = self.lot.chance(2);
                self.befall(Trouble::Dark { wiped: None, proxies })
            }
            _ if self.left.len() < self.plan.spares => self.befall(Trouble::Replace(core)),
            _ => self.befall(Trouble::Slow { machine: core, rate: 250_000, span }),
        };
        self.next_core_fault(end, false);
    }

    /// What may befall any machine at any time: nothing of it counts as lost.
    fn aside(&mut self) {
        if self.now + SECOND >= self.plan.calm_from() {
            return;
        }
        let pause = self.lot.within(SECOND, 4 * SECOND);
        self.later(pause, Event::Fault(Fault::Aside));
        if self.lot.chance(2) {
            let machine = self.lot.upto(self.places.machines() as u64) as usize;
            let seconds = self.lot.within(1, 30) as i64 * if self.lot.chance(2) { -1 } else { 1 };
            let span = self.lot.within(SECOND, LONG);
            self.befall(Trouble::Step { machine, seconds, span });
        } else {
            let core = self.any_core();
            self.befall(Trouble::Reset(core));
        }
    }

    fn proxy_fault(&mut self) {
        if self.now + SECOND >= self.plan.calm_from() {
            return;
        }
        let pause = self.lot.within(SECOND / 5, 3 * SECOND);
        self.later(pause, Event::Fault(Fault::Proxy));
        let some = 1 + self.lot.upto(self.plan.proxies as u64 / 2) as usize;
        let what = self.lot.upto(7);
        let long = if what == 1 { self.lot.within(SECOND / 3, 10 * SECOND) } else { self.span() };
        for _ in 0..if matches!(what, 1 | 6) { some } else { 1 } {
            let proc = self.places.proxy(self.lot.upto(self.plan.proxies as u64) as usize);
            let machine = self.places.machine(proc);
            let short = self.lot.within(SECOND / 5, SECOND);
            match what {
                0 if self.plan.broken == Some(Broken::Memory) => {
                    // Its state is lost, and nobody is told that another life began: what is in force is nothing.
                    let seen = self.ledger.remembered(proc);
                    self.kill(proc, false);
                    self.start(proc, false);
                    self.ledger.remember(proc, seen);
                    self.ledger.configured(self.now, proc, &ItemSet::default(), &mut self.figures);
                    self.net.machines[machine].trouble = self.now;
                }
                0 => {
                    self.befall(Trouble::Kill(proc, short));
                }
                1 => {
                    let ways = [Ways::Both, Ways::Out, Ways::In, Ways::Both][self.lot.upto(4) as usize];
                    self.befall(Trouble::Cut { machine, ways, outside: false, span: long });
                }
                2 => {
                    self.befall(Trouble::Freeze(proc, long));
                }
                3 => {
                    self.befall(Trouble::Reset(machine));
                }
                6 => {
                    self.befall(Trouble::Power(machine, short));
                }
                _ => {
                    self.befall(Trouble::Lossy(machine, long));
                }
            }
        }
    }
}
