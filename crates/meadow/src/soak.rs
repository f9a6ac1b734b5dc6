//! What a soak does to the gateway: the plan, drawn from a seed, and what its parts are called.

mod draw;

use std::fmt;
use std::time::Duration;

pub use draw::draw;

/// How long a core machine counts as lost after it is back.
pub const LOST_AFTER_RETURN: Duration = Duration::from_secs(4);

/// What a soak is drawn from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Soak {
    /// The seed of the plan and of the clients' choices.
    pub seed: u64,
    /// How many core machines there are.
    pub cores: usize,
    /// How many proxies there are.
    pub proxies: usize,
}

/// A program of the gateway.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Program {
    /// `config-store`, on a core machine.
    Store,
    /// `registry`, on a core machine.
    Registry,
    /// `proxy`, on an edge machine.
    Proxy,
}

impl Program {
    /// The name of its executable.
    pub fn name(self) -> &'static str {
        match self {
            Program::Store => "config-store",
            Program::Registry => "registry",
            Program::Proxy => "proxy",
        }
    }
}

/// One program on one machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// Which program.
    pub program: Program,
    /// On which machine of its class.
    pub machine: usize,
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}-{}", self.program.name(), self.machine)
    }
}

/// A signal that a soak sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: end as planned.
    Terminate,
    /// SIGHUP: read the settings again.
    Hangup,
    /// SIGKILL: end at a stroke.
    Kill,
    /// SIGSTOP: stand still.
    Stop,
    /// SIGCONT: go on.
    Continue,
}

impl Signal {
    /// Its name without the prefix, as `kill` takes it.
    pub fn name(self) -> &'static str {
        match self {
            Signal::Terminate => "TERM",
            Signal::Hangup => "HUP",
            Signal::Kill => "KILL",
            Signal::Stop => "STOP",
            Signal::Continue => "CONT",
        }
    }
}

/// A change of the configuration. Those of one route are made in turn; others wait for none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A route of the soak comes.
    Add(usize),
    /// It goes to another service from then on.
    Move(usize),
    /// It goes.
    Remove(usize),
    /// One of the many tenants gets a new revision, with nothing else changed.
    Touch(usize),
}

/// One step of a plan. None waits for what it begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// A signal is sent.
    Signal(Target, Signal),
    /// A process is started, once the one before has ended; a store's disk may be lost before.
    Start(Target, Disk),
    /// All processes of the gateway are killed.
    KillAll,
    /// Those that do not run are started again, with their disks.
    StartAll,
    /// The operator calls.
    Change(Change),
    /// The server of this number leaves as planned, and comes back in a new life after a pause.
    ServerLeaves(usize, Duration),
    /// The server of this number crashes, and comes back in a new life after a pause.
    ServerCrashes(usize, Duration),
}

/// What becomes of a machine's disk when a process is started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disk {
    /// It is the one that was there.
    Same,
    /// It is empty.
    Empty,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Step::Signal(target, signal) => write!(f, "{target} gets SIG{}", signal.name()),
            Step::Start(target, Disk::Same) => write!(f, "{target} is started"),
            Step::Start(target, Disk::Empty) => write!(f, "{target} is started on an empty disk"),
            Step::KillAll => write!(f, "all processes are killed"),
            Step::StartAll => write!(f, "all processes that do not run are started"),
            Step::Change(change) => write!(f, "change {change:?}"),
            Step::ServerLeaves(n, pause) => write!(f, "server {n} leaves, and comes {pause:?} later"),
            Step::ServerCrashes(n, pause) => write!(f, "server {n} crashes, and comes {pause:?} later"),
        }
    }
}

/// What is done when, from the play's begin on, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// What it was drawn from.
    pub soak: Soak,
    /// The steps with their times.
    pub steps: Vec<(Duration, Step)>,
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Soak { seed, cores, proxies } = self.soak;
        writeln!(f, "plan of seed {seed}, {cores} cores, {proxies} proxies, {} steps", self.steps.len())?;
        for (at, step) in &self.steps {
            writeln!(f, "{:8.3} s  {step}", at.as_secs_f64())?;
        }
        Ok(())
    }
}
