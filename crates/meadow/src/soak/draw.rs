//! Draws a plan from a seed: troubles of proxies, core machines, servers and the configuration, on tracks that overlap.

use std::time::Duration;

use super::{Change, Disk, Plan, Program, Signal, Soak, Step, Target, LOST_AFTER_RETURN};
use crate::site::MACHINES;

/// Times are drawn in whole milliseconds since the play's begin.
type Millis = u64;

/// Troubles begin this much after the play.
const FIRST: Millis = 1_000;
/// All processes are killed once in so long, at a place between these parts of it.
const KILL_CYCLE: Millis = 20_000;
const KILL_PLACE: (f64, f64) = (0.4, 0.55);
/// All are down for no longer than this.
const ALL_DOWN: Millis = 1_200;
/// Of so many kills of all one is followed by another, while the gateway comes back.
const AGAIN_ONE_IN: u64 = 3;
/// How long after the start that is.
const AGAIN: (Millis, Millis) = (100, 2_000);
/// No trouble begins in this last part of a play.
const LAST_PART: f64 = 0.15;
/// A process that was started is let alone for this long.
const STARTING: Millis = 1_000;
/// After an empty disk nothing else is lost for so long: the others hand over what they hold.
const HANDING_OVER: Millis = 6_000;
/// The longest standstill of a core machine.
const CORE_STANDSTILL: Millis = 3_000;
/// The longest standstill of a proxy: within it and what is left of `apply`, it can hear of a change.
const PROXY_STANDSTILL: Millis = 1_400;
/// A proxy may need this long for its planned end.
const PROXY_END: Millis = 4_000;
/// Up to so many proxies, all but one may be in trouble at once; of more, every fourth.
const FEW_PROXIES: usize = 4;
/// Of so many restarts of a store one is on an empty disk.
const EMPTY_ONE_IN: u64 = 3;
/// The first tenants of the crowd are touched by other plays as well.
const FIRST_TOUCHED: usize = 10;

/// Where a plan stands while it is drawn.
struct Draw {
    soak: Soak,
    random: u64,
    last: Millis,
    /// When all are killed and started.
    kills: Vec<(Millis, Millis)>,
    steps: Vec<(Millis, Step)>,
    /// Routes of the soak: whether each was moved, and was removed.
    routes: Vec<(bool, bool)>,
    touched: usize,
}

/// Draws the plan of a soak that lasts so long.
pub fn draw(soak: Soak, length: Duration) -> Plan {
    let length = length.as_millis() as Millis;
    let last = (length as f64 * (1.0 - LAST_PART)) as Millis;
    let (kills, steps, routes, touched) = Default::default();
    let mut draw = Draw { soak, random: soak.seed, last, kills, steps, routes, touched };
    draw.kills(length);
    draw.cores(soak.cores);
    draw.proxies(soak.proxies);
    draw.servers();
    draw.configuration();
    let mut steps = draw.steps;
    steps.sort_by_key(|(at, _)| *at);
    let steps = steps.into_iter().map(|(at, step)| (Duration::from_millis(at), step)).collect();
    Plan { soak, steps }
}

impl Draw {
    /// A number below `end` (SplitMix64, which draws well from small seeds too).
    fn below(&mut self, end: u64) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut bits = self.random;
        bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (bits ^ (bits >> 31)) % end.max(1)
    }

    fn between(&mut self, least: Millis, most: Millis) -> Millis {
        least + self.below(most - least)
    }

    fn kills(&mut self, length: Millis) {
        for turn in 0..(length / KILL_CYCLE).max(1) {
            let cycle = KILL_CYCLE.min(length);
            let place = |part: f64| turn * cycle + (cycle as f64 * part) as Millis;
            let at = self.between(place(KILL_PLACE.0), place(KILL_PLACE.1));
            let start = self.kill_all(at);
            if self.below(AGAIN_ONE_IN) == 0 {
                let again = start + self.between(AGAIN.0, AGAIN.1);
                self.kill_all(again);
            }
        }
    }

    /// All processes are killed, and started again: half of the times at once, else some before the others. When all are.
    fn kill_all(&mut self, at: Millis) -> Millis {
        let start = at + self.below(ALL_DOWN);
        self.kills.push((at, start));
        // Ahead of the starts at the same time.
        self.steps.push((at, Step::KillAll));
        let one_by_one = self.below(2) == 0;
        let Soak { cores, proxies, .. } = self.soak;
        let programs = [(Program::Store, cores), (Program::Registry, cores), (Program::Proxy, proxies)];
        for (program, machines) in programs.into_iter().filter(|_| one_by_one) {
            for machine in 0..machines {
                let before = self.between(at, start + 1);
                self.steps.push((before, Step::Start(Target { program, machine }, Disk::Same)));
            }
        }
        self.steps.push((start, Step::StartAll));
        start
    }

    /// When a trouble at this time may be begun: not while all are dead, or have been started less than `settle` ago.
    fn after_kills(&self, at: Millis, settle: Millis) -> Millis {
        let later = |at, &(kill, start): &(Millis, Millis)| {
            if (kill..start + settle).contains(&at) {
                start + settle
            } else {
                at
            }
        };
        self.kills.iter().fold(at, later)
    }

    /// Adds a step for a process, unless all are killed between the series' begin and it: they are started as one then.
    fn push(&mut self, begun: Millis, at: Millis, step: Step) {
        if !self.kills.iter().any(|(kill, _)| (begun..=at).contains(kill)) {
            self.steps.push((at, step));
        }
    }

    fn signal(&mut self, begun: Millis, at: Millis, targets: &[Target], signal: Signal) {
        for target in targets {
            let apart = self.below(100);
            self.push(begun, at + apart, Step::Signal(*target, signal));
        }
    }

    fn start(&mut self, begun: Millis, at: Millis, targets: &[Target], disk: Disk) {
        for target in targets {
            // Behind the signals of the same time.
            self.push(begun, at + 100, Step::Start(*target, disk));
        }
    }

    /// A series of signals to processes, which run again at its end; when that is.
    fn series(&mut self, at: Millis, targets: &[Target], standstill: Millis, disk: Disk) -> Millis {
        let down = self.between(100, 1_500);
        let still = self.between(200, standstill);
        match self.below(8) {
            0 | 1 => {
                self.signal(at, at, targets, Signal::Kill);
                self.start(at, at + down, targets, disk);
                at + down
            }
            2 => {
                self.signal(at, at, targets, Signal::Terminate);
                self.start(at, at + down, targets, disk);
                at + PROXY_END.max(down)
            }
            3 => {
                self.signal(at, at, targets, Signal::Terminate);
                let then = if self.below(2) == 0 { Signal::Hangup } else { Signal::Terminate };
                self.signal(at, at + 200, targets, then);
                self.signal(at, at + 600, targets, Signal::Kill);
                self.start(at, at + 600 + down, targets, disk);
                at + 600 + down
            }
            4 => {
                self.signal(at, at, targets, Signal::Stop);
                self.signal(at, at + still, targets, Signal::Continue);
                at + still
            }
            5 => {
                self.signal(at, at, targets, Signal::Stop);
                self.signal(at, at + 100, targets, Signal::Terminate);
                self.signal(at, at + still.max(300), targets, Signal::Continue);
                self.start(at, at + still + down, targets, disk);
                at + still + PROXY_END.max(down)
            }
            6 => self.hangups(at, targets),
            _ => self.crash_loop(at, targets, disk),
        }
    }

    fn hangups(&mut self, at: Millis, targets: &[Target]) -> Millis {
        let count = self.between(1, 5);
        for n in 0..count {
            self.signal(at, at + n * 120, targets, Signal::Hangup);
        }
        at + count * 120
    }

    fn crash_loop(&mut self, begun: Millis, targets: &[Target], disk: Disk) -> Millis {
        let mut at = begun;
        for _ in 0..self.between(2, 4) {
            self.signal(begun, at, targets, Signal::Kill);
            let down = self.between(50, 400);
            self.start(begun, at + down, targets, Disk::Same);
            at += down + STARTING;
        }
        self.signal(begun, at, targets, Signal::Kill);
        self.start(begun, at + 100, targets, disk);
        at + 100
    }

    /// Tracks of troubles, each of which takes one of `machines` at a time, when that is free, and lets it rest for `settle`.
    fn tracks(
        &mut self,
        tracks: usize,
        machines: usize,
        settle: Millis,
        mut trouble: impl FnMut(&mut Draw, Millis, usize) -> Millis,
    ) {
        let mut next = vec![FIRST; tracks];
        let mut free: Vec<Millis> = vec![0; machines];
        while let Some(track) = (0..tracks).min_by_key(|track| next[*track]) {
            let pause = self.below(1_200);
            let at = self.after_kills(next[track] + pause, settle);
            if at > self.last {
                return;
            }
            let rested: Vec<usize> = (0..machines).filter(|n| free[*n] <= at).collect();
            let lot = self.below(rested.len() as u64) as usize;
            let end = rested.get(lot).map(|n| {
                let end = trouble(self, at, *n) + settle;
                free[*n] = end;
                end
            });
            next[track] = end.unwrap_or(at + settle);
        }
    }

    fn cores(&mut self, cores: usize) {
        let settle = LOST_AFTER_RETURN.as_millis() as Millis;
        self.tracks((cores - 1) / 2, cores, settle, |draw, at, machine| {
            let (store, registry) = (Program::Store, Program::Registry);
            let programs: &[Program] = match draw.below(4) {
                0 => &[store],
                1 => &[registry],
                _ => &[store, registry],
            };
            let targets: Vec<Target> = programs.iter().map(|&program| Target { program, machine }).collect();
            let soon = draw.kills.iter().any(|(kill, _)| (at..at + 2 * HANDING_OVER).contains(kill));
            let empty = !soon && programs.contains(&store) && draw.below(EMPTY_ONE_IN) == 0;
            let disk = if empty { Disk::Empty } else { Disk::Same };
            let end = draw.series(at, &targets, CORE_STANDSTILL, disk);
            end + if empty { HANDING_OVER - settle } else { 0 }
        });
    }

    fn proxies(&mut self, proxies: usize) {
        let tracks = if proxies <= FEW_PROXIES { proxies - 1 } else { proxies / FEW_PROXIES };
        self.tracks(tracks, proxies, STARTING, |draw, at, machine| {
            let target = Target { program: Program::Proxy, machine };
            draw.series(at, &[target], PROXY_STANDSTILL, Disk::Same)
        });
    }

    /// On each service one server at a time leaves or crashes, also while all of the gateway is dead.
    fn servers(&mut self) {
        for service in 0..2 {
            let mut at = FIRST + self.below(1_500);
            while at < self.last {
                let n = service * MACHINES + self.below(MACHINES as u64) as usize;
                let pause = Duration::from_millis(self.below(600));
                let leaves = self.below(2) == 0;
                let step = if leaves { Step::ServerLeaves(n, pause) } else { Step::ServerCrashes(n, pause) };
                self.steps.push((at, step));
                at += self.between(2_500, 4_000);
            }
        }
    }

    /// Bursts of changes, also while all of the gateway is dead.
    fn configuration(&mut self) {
        let mut at = FIRST;
        while at < self.last {
            for _ in 0..self.between(1, 6) {
                let change = self.change();
                self.steps.push((at, Step::Change(change)));
                at += self.below(30);
            }
            at += self.between(300, 1_500);
        }
    }

    fn change(&mut self) -> Change {
        let lot = self.below(self.routes.len() as u64) as usize;
        let route = self.routes.get(lot).copied();
        match (self.below(6), route) {
            (0, Some((false, false))) => {
                self.routes[lot].0 = true;
                Change::Move(lot)
            }
            // Every other route stays, so that some are there for long.
            (1, Some((_, false))) if lot % 2 == 1 => {
                self.routes[lot].1 = true;
                Change::Remove(lot)
            }
            (0..=2, _) => {
                self.routes.push((false, false));
                Change::Add(self.routes.len() - 1)
            }
            _ => {
                self.touched += 1;
                Change::Touch(FIRST_TOUCHED + self.touched)
            }
        }
    }
}
