//! Troubles by name: what befalls whom, and for how long. Lots draw them, and scenarios name them.

use crate::faults::Fault;
use crate::plan::{Micros, SECOND};
use crate::process::Proc;
use crate::world::{Event, World};

/// Which way a machine is cut off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ways {
    /// Both ways.
    Both,
    /// Nothing of it reaches others.
    Out,
    /// Nothing reaches it.
    In,
}

/// A trouble. Times are in microseconds; none lasts longer than the play's faults.
#[derive(Debug, Clone, Copy)]
pub enum Trouble {
    /// A machine is without power for so long. What was not synced may be lost.
    Power(usize, Micros),
    /// It loses its disk besides.
    Wipe(usize, Micros),
    /// All machines of the core lose power at once, and one its disk; the proxies too.
    Dark {
        /// Whose disk is lost.
        wiped: Option<usize>,
        /// Whether the proxies lose power, too.
        proxies: bool,
    },
    /// A process is killed, and starts again after so long.
    Kill(Proc, Micros),
    /// All processes of the core are killed at once.
    KillCore,
    /// A process stands still for so long.
    Freeze(Proc, Micros),
    /// A machine is cut off from all others.
    Cut {
        /// Which.
        machine: usize,
        /// Which way.
        ways: Ways,
        /// Callers from outside are cut off, too.
        outside: bool,
        /// For how long.
        span: Micros,
    },
    /// Nothing gets from one machine to another, and all the other way.
    Part {
        /// From here.
        from: usize,
        /// To there.
        to: usize,
        /// For how long.
        span: Micros,
    },
    /// A machine of the core is cut off from the others of it, and reached by all else.
    Alone(usize, Micros),
    /// A machine of the core and a proxy are cut off from all others, and reach each other.
    Split {
        /// The machine of the core.
        core: usize,
        /// The proxy's.
        proxy: usize,
        /// For how long.
        span: Micros,
    },
    /// A disk answers nothing for so long.
    Stall(usize, Micros),
    /// A disk refuses all writes for so long.
    Refuse(usize, Micros),
    /// A machine's time of day is off.
    Step {
        /// Whose.
        machine: usize,
        /// By how much.
        seconds: i64,
        /// For how long.
        span: Micros,
    },
    /// All connections of a machine are reset.
    Reset(usize),
    /// Bytes over a machine's link take time.
    Slow {
        /// Whose.
        machine: usize,
        /// So many bytes a second go over it, each way.
        rate: u64,
        /// For how long.
        span: Micros,
    },
    /// One in five messages from and to a machine gets lost, and is sent again.
    Lossy(usize, Micros),
    /// A machine of the core leaves for good; a new one comes under a new address, with an empty disk.
    Replace(usize),
}

impl World {
    /// Counts a fault, and keeps it for who asks what came before a breach.
    pub fn note(&mut self, what: &'static str, whose: usize) {
        self.figures.count(what);
        self.trail.push((self.now, what, whose));
    }

    /// Notes it under a name for machines of the core, or for proxies.
    fn note_at(&mut self, names: [&'static str; 2], machine: usize) {
        self.note(names[usize::from(machine >= self.places.cores)], machine);
    }

    /// When something ends that lasts so long: with the faults at the latest.
    fn until(&self, span: Micros) -> Micros {
        (self.now + span).min(self.plan.calm_from().max(self.now))
    }

    /// A machine is in trouble from now on until then.
    fn troubled(&mut self, machine: usize, until: Micros) {
        let trouble = &mut self.net.machines[machine].trouble;
        *trouble = until.max(*trouble);
        if machine < self.places.cores {
            self.faults.stirred = self.now;
            self.at(until, Event::Fault(Fault::Stirred));
        }
    }

    fn power_off(&mut self, machine: usize, back: Micros) {
        self.note_at(["power lost", "proxies without power"], machine);
        self.net.machines[machine].off = true;
        self.places.on(machine).into_iter().for_each(|proc| self.kill(proc, true));
        self.troubled(machine, back);
        self.at(back, Event::Fault(Fault::Power(machine)));
    }

    pub(crate) fn wipe(&mut self, core: usize) {
        self.note("disks lost", core);
        self.disks[core] = self.new_disk();
        self.wiped.insert(core, self.now);
        self.copies();
    }

    fn kill_for(&mut self, proc: Proc, back: Micros) {
        self.kill(proc, false);
        self.troubled(self.places.machine(proc), back);
        self.at(back, Event::Fault(Fault::Start(proc)));
    }

    /// It happens now; tells when it ends.
    pub fn befall(&mut self, trouble: Trouble) -> Micros {
        match trouble {
            Trouble::Power(machine, span) => self.lose_power(machine, span),
            Trouble::Wipe(machine, span) => self.lose_disk(machine, span),
            Trouble::Dark { wiped, proxies } => self.dark(wiped, proxies),
            Trouble::Kill(proc, span) => self.kill_process(proc, span),
            Trouble::KillCore => self.kill_core(),
            Trouble::Freeze(proc, span) => self.freeze(proc, span),
            Trouble::Cut { machine, ways, outside, span } => self.cut(machine, ways, outside, span),
            Trouble::Part { from, to, span } => self.part(from, to, span),
            Trouble::Alone(core, span) => self.cut_from_core(core, span),
            Trouble::Split { core, proxy, span } => self.split(core, proxy, span),
            Trouble::Stall(core, span) => self.stall_disk(core, span),
            Trouble::Refuse(core, span) => self.refuse_writes(core, span),
            Trouble::Step { machine, seconds, span } => self.step_clock(machine, seconds, span),
            Trouble::Reset(machine) => self.reset_connections(machine),
            Trouble::Slow { machine, rate, span } => self.slow_link(machine, rate, span),
            Trouble::Lossy(machine, span) => self.lose_messages(machine, span),
            Trouble::Replace(core) => self.replace(core),
        }
    }

    fn lose_power(&mut self, machine: usize, span: Micros) -> Micros {
        if self.net.machines[machine].off {
            return self.now;
        }
        let back = self.until(span);
        self.power_off(machine, back);
        if machine < self.places.cores {
            self.gap = Some(self.now);
        }
        back
    }

    fn lose_disk(&mut self, machine: usize, span: Micros) -> Micros {
        let was_off = self.net.machines[machine].off;
        let back = self.lose_power(machine, span);
        if !was_off {
            self.wipe(machine);
        }
        back
    }

    fn kill_process(&mut self, proc: Proc, span: Micros) -> Micros {
        let (back, machine) = (self.until(span), self.places.machine(proc));
        self.note_at(["core processes killed", "proxies killed"], machine);
        if machine < self.places.cores {
            self.gap = Some(self.now);
        }
        self.kill_for(proc, back);
        back
    }

    fn kill_core(&mut self) -> Micros {
        for core in self.core.clone() {
            for proc in self.places.on(core) {
                let back = self.lot.within(SECOND / 5, SECOND);
                let back = self.until(back);
                self.faults.halted = self.faults.halted.max(back);
                self.kill_for(proc, back);
            }
        }
        self.faults.halted
    }

    fn freeze(&mut self, proc: Proc, span: Micros) -> Micros {
        let (until, machine) = (self.until(span), self.places.machine(proc));
        self.note_at(["cores frozen", "proxies frozen"], machine);
        self.procs[proc].frozen = until;
        self.troubled(machine, until);
        until
    }

    fn cut(&mut self, machine: usize, ways: Ways, outside: bool, span: Micros) -> Micros {
        let until = self.until(span);
        self.note_at(["cores cut off", "proxies cut off"], machine);
        let here = &mut self.net.machines[machine];
        here.outside = outside;
        here.mute = if ways == Ways::In { 0 } else { until };
        here.deaf = if ways == Ways::Out { 0 } else { until };
        if ways == Ways::Both {
            here.apart = (self.now, until);
        }
        self.troubled(machine, until);
        until
    }

    fn part(&mut self, from: usize, to: usize, span: Micros) -> Micros {
        self.note("ways cut", from);
        let until = self.until(span);
        self.net.cuts.insert((from, to), until);
        [from, to].into_iter().for_each(|machine| self.troubled(machine, until));
        until
    }

    fn cut_from_core(&mut self, core: usize, span: Micros) -> Micros {
        self.note("cores alone", core);
        let until = self.until(span);
        self.net.machines[core].apart = (self.now, until);
        for other in self.core.clone().into_iter().filter(|other| *other != core) {
            self.cut_both_ways(core, other, until);
        }
        self.troubled(core, until);
        until
    }

    fn split(&mut self, core: usize, proxy: usize, span: Micros) -> Micros {
        self.note("cores cut off with a proxy", core);
        let until = self.until(span);
        self.net.machines[core].apart = (self.now, until);
        let others = (0..self.places.machines()).filter(|other| ![core, proxy].contains(other));
        for other in others {
            self.cut_both_ways(core, other, until);
            self.cut_both_ways(proxy, other, until);
        }
        [core, proxy].into_iter().for_each(|machine| self.troubled(machine, until));
        until
    }

    fn cut_both_ways(&mut self, one: usize, other: usize, until: Micros) {
        self.net.cuts.insert((one, other), until);
        self.net.cuts.insert((other, one), until);
    }

    fn stall_disk(&mut self, core: usize, span: Micros) -> Micros {
        let until = self.until(span);
        self.note("disks stalled", core);
        self.disks[core].stalled = until;
        self.faults.slowed = until;
        until
    }

    fn refuse_writes(&mut self, core: usize, span: Micros) -> Micros {
        let until = self.until(span);
        self.note("disks refuse", core);
        self.disks[core].refuses = until;
        self.faults.slowed = until;
        until
    }

    fn step_clock(&mut self, machine: usize, seconds: i64, span: Micros) -> Micros {
        self.note("clocks stepped", machine);
        self.net.machines[machine].skew = seconds;
        let until = self.until(span);
        self.at(until, Event::Fault(Fault::Set(machine)));
        self.troubled(machine, self.now);
        until
    }

    fn reset_connections(&mut self, machine: usize) -> Micros {
        self.note_at(["core connections reset", "links broken"], machine);
        let procs = self.places.on(machine);
        let lines = procs.iter().flat_map(|&proc| self.procs[proc].lines.values());
        let lines: Vec<usize> = lines.map(|(connection, _)| *connection).collect();
        lines.into_iter().for_each(|connection| self.reset(connection));
        self.troubled(machine, self.now);
        self.now
    }

    fn slow_link(&mut self, machine: usize, rate: u64, span: Micros) -> Micros {
        self.note("links slowed", machine);
        let until = self.until(span);
        self.net.machines[machine].slow = (rate, until);
        self.faults.slowed = until;
        self.troubled(machine, until);
        until
    }

    fn lose_messages(&mut self, machine: usize, span: Micros) -> Micros {
        self.note("lossy links", machine);
        let until = self.until(span);
        self.net.machines[machine].lossy = (5, until);
        self.troubled(machine, until);
        until
    }

    fn dark(&mut self, wiped: Option<usize>, proxies: bool) -> Micros {
        self.note("all without power", 0);
        self.faults.stirred = self.now;
        self.gap = Some(self.now);
        let together = self.lot.chance(2);
        let all = self.lot.within(SECOND / 3, 3 * SECOND);
        let machines = self.core.clone().into_iter();
        let machines: Vec<usize> =
            machines.chain(if proxies { self.places.cores..self.places.machines() } else { 0..0 }).collect();
        let mut last = self.now;
        for machine in machines {
            if self.net.machines[machine].off {
                continue;
            }
            let alone = self.lot.within(SECOND / 5, 3 * SECOND);
            let back = self.until(if together { all } else { alone });
            last = last.max(back);
            self.power_off(machine, back);
        }
        if let Some(core) = wiped {
            self.wipe(core);
        }
        self.faults.halted = last;
        last
    }

    fn replace(&mut self, core: usize) -> Micros {
        let new = self.plan.cores + self.left.len();
        let back = self.lot.within(SECOND / 5, 3 * SECOND);
        let back = self.until(back);
        self.power_off(core, Micros::MAX);
        self.note("machines replaced", core);
        self.wipe(core);
        self.core.retain(|machine| *machine != core);
        self.core.push(new);
        self.left.push(core);
        self.troubled(new, back);
        self.at(back, Event::Fault(Fault::Power(new)));
        back
    }
}
