//! The processes: a real state machine each, and what its program would hold around it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use pinerelay_admission::quota::QuotaBounds;
use pinerelay_config_state::routing_table::RoutingTable;
use pinerelay_config_store::service::{self, StoreService};
use pinerelay_consensus::StoreConfig as StoreBirth;
use pinerelay_consensus::{PersistentState, StateChange};
use pinerelay_peer_link::message::{Hello, PeerMessage, Role};
use pinerelay_proxy::subscriber::{self, Subscriber};
use pinerelay_registry::registry::{self, Registry};

use crate::plan::{Broken, Micros, Plan, SECOND};

/// A process's number: two for each machine of the core, then one for each proxy.
pub type Proc = usize;
/// A connection as its process calls it.
pub type Peer = pinerelay_peer_link::link::ConnectionId;

/// How often servers tell of themselves.
pub const HEARTBEAT: Micros = 1_500_000;

/// So many times too fast goes a clock that is hasty. From tick to tick that is less than a standstill.
const HASTE: u64 = 8;

/// Which process is where.
#[derive(Debug, Clone, Copy)]
pub struct Places {
    /// Machines of the core, and those that are there to replace one.
    pub cores: usize,
    /// Proxies.
    pub proxies: usize,
}

impl Places {
    /// How many machines there are.
    pub fn machines(self) -> usize {
        self.cores + self.proxies
    }

    /// How many processes there are.
    pub fn processes(self) -> usize {
        2 * self.cores + self.proxies
    }

    /// The processes of a machine.
    pub fn on(self, machine: usize) -> Vec<Proc> {
        if machine < self.cores {
            vec![self.store(machine), self.scout(machine)]
        } else {
            vec![self.proxy(machine - self.cores)]
        }
    }

    /// A core's store.
    pub fn store(self, core: usize) -> Proc {
        2 * core
    }

    /// A core's registry.
    pub fn scout(self, core: usize) -> Proc {
        2 * core + 1
    }

    /// A proxy.
    pub fn proxy(self, n: usize) -> Proc {
        2 * self.cores + n
    }

    /// The machine that a process runs on.
    pub fn machine(self, proc: Proc) -> usize {
        if proc < 2 * self.cores {
            proc / 2
        } else {
            proc - self.cores
        }
    }

    /// Whether a process's machine is one for the core, and not of the core as it is now.
    pub fn out_of(self, core: &[usize], proc: Proc) -> bool {
        let machine = self.machine(proc);
        machine < self.cores && !core.contains(&machine)
    }

    /// What it runs.
    pub fn role(self, proc: Proc) -> Role {
        match proc {
            p if p >= 2 * self.cores => Role::Proxy,
            p if p % 2 == 0 => Role::ConfigStore,
            _ => Role::Registry,
        }
    }

    /// A machine's address.
    pub fn ip(self, machine: usize) -> String {
        format!("10.{}.{}.{}", u8::from(machine >= self.cores), machine / 250, machine % 250)
    }

    /// The process of a role at an address.
    pub fn at(self, ip: &str, role: Role) -> Option<Proc> {
        let core = (0..self.cores).find(|&core| self.ip(core) == ip)?;
        Some(if role == Role::ConfigStore { self.store(core) } else { self.scout(core) })
    }
}

/// The true time of day, in seconds.
pub fn wall(now: Micros) -> u64 {
    1_700_000_000 + now / SECOND
}

/// What a process is told when it begins.
pub struct Told {
    /// Another in each life.
    pub life: u64,
    /// The time of day as its machine has it, in seconds.
    pub wall: u64,
    /// The whole system starts for the first time.
    pub first: bool,
    /// Machines of the core, as some list had them.
    pub seeds: Vec<String>,
}

/// A state machine.
pub enum Body {
    /// Of a store.
    Store(Box<StoreService>),
    /// Of a registry.
    Scout(Box<Registry>),
    /// Of a proxy.
    Proxy(Box<Subscriber>),
}

/// What any of them wants done.
pub enum Output {
    /// Say this on these connections.
    Say(Vec<Peer>, PeerMessage),
    /// Cut a connection.
    Cut(Peer),
    /// Write this.
    Write(u64, StateChange),
    /// Answer a call from outside.
    Answer(u64, u16, String),
    /// Of a proxy.
    Proxy(subscriber::Output),
}

/// What a link, a disk or the clock tells a process.
pub enum Input {
    /// A connection has come up.
    Up(Peer),
    /// Something was said.
    Said(Peer, PeerMessage),
    /// A connection has gone.
    Down(Peer),
    /// A change is on disk.
    Written(u64),
    /// Time has passed, while messages that arrived within the last so many microseconds may not have been handled yet.
    Tick(Micros),
}

impl Body {
    /// The state machine of a process that begins.
    pub fn begin(
        plan: &Plan,
        places: Places,
        proc: Proc,
        told: Told,
        mut kept: Option<PersistentState>,
        out: &mut Vec<Output>,
    ) -> Body {
        let Told { life, wall, first, seeds } = told;
        let machine = places.machine(proc);
        let ip = places.ip(machine);
        let role = places.role(proc);
        let hello = Hello { node: format!("{role:?}-{machine}"), ip: ip.clone(), role, process_id: life };
        match role {
            Role::ConfigStore => {
                let alone = plan.broken == Some(Broken::Quorum);
                let birth = StoreBirth {
                    name: ip.clone(),
                    process_id: life,
                    tolerated_losses: if alone { 0 } else { plan.losses },
                    first_start: first,
                    seeds: if alone { vec![ip] } else { seeds },
                };
                if let Some(kept) = kept.as_mut().filter(|_| plan.broken == Some(Broken::Ballots)) {
                    kept.accepted = Default::default();
                }
                let mut first = Vec::new();
                let body = Body::Store(Box::new(StoreService::new(wall, hello, birth, kept, &mut first)));
                out.extend(first.into_iter().map(Output::from));
                body
            }
            Role::Registry => Body::Scout(Box::new(Registry::new(
                0,
                registry::RegistryConfig {
                    hello,
                    first_start: first,
                    time_of_day: wall,
                    rollouts: Default::default(),
                    heartbeat_interval: HEARTBEAT,
                    quota_bounds: QuotaBounds::default(),
                    seeds,
                },
            ))),
            _ => Body::Proxy(Box::new(Subscriber::new(wall * SECOND, hello, seeds))),
        }
    }

    /// Takes one input.
    pub fn on(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        match self {
            Body::Store(service) => {
                let mut wants = Vec::new();
                match input {
                    Input::Up(peer) => service.connected(peer, &mut wants),
                    Input::Said(peer, speech) => service.receive(now, peer, speech, &mut wants),
                    Input::Down(peer) => service.disconnected(now, peer, &mut wants),
                    Input::Written(number) => service.write_completed(now, number, &mut wants),
                    Input::Tick(backlog) => service.tick_with_backlog(now, backlog, &mut wants),
                }
                out.extend(wants.into_iter().map(Output::from));
            }
            Body::Scout(registry) => {
                let mut wants = Vec::new();
                match input {
                    Input::Up(peer) => registry.connected(peer, &mut wants),
                    Input::Said(peer, speech) => registry.receive(now, peer, speech, &mut wants),
                    Input::Down(peer) => registry.disconnected(now, peer, &mut wants),
                    Input::Tick(backlog) => registry.tick_with_backlog(now, backlog, &mut wants),
                    Input::Written(_) => {}
                }
                out.extend(wants.into_iter().map(Output::from));
            }
            Body::Proxy(subscriber) => {
                let mut wants = Vec::new();
                match input {
                    Input::Up(peer) => subscriber.connected(peer, &mut wants),
                    Input::Said(peer, speech) => subscriber.receive(now, peer, speech, &mut wants),
                    Input::Down(peer) => subscriber.disconnected(peer),
                    Input::Tick(backlog) => subscriber.tick_with_backlog(now, backlog, &mut wants),
                    Input::Written(_) => {}
                }
                out.extend(wants.into_iter().map(Output::from));
            }
        }
    }

    /// The processes that it wants links to.
    pub fn wanted(&self, places: Places) -> BTreeSet<Proc> {
        let all: Vec<Option<Proc>> = match self {
            Body::Store(service) => {
                service.store().peers().iter().map(|ip| places.at(ip, Role::ConfigStore)).collect()
            }
            Body::Scout(registry) => {
                registry.wanted_links().iter().map(|(ip, role)| places.at(ip, *role)).collect()
            }
            Body::Proxy(subscriber) => {
                subscriber.wanted_registries().iter().map(|ip| places.at(ip, Role::Registry)).collect()
            }
        };
        all.into_iter().flatten().collect()
    }

    /// How long its program waits between two ticks.
    pub fn pause(&self) -> Micros {
        match self {
            Body::Store(service) if service.is_busy() => 25_000,
            Body::Store(_) => 150_000,
            Body::Scout(_) => 100_000,
            Body::Proxy(subscriber) if subscriber.leases().waiting() > 0 => 25_000,
            Body::Proxy(_) => 75_000,
        }
    }
}

impl From<service::Output> for Output {
    fn from(output: service::Output) -> Output {
        match output {
            service::Output::Send(peer, speech) => Output::Say(vec![peer], speech),
            service::Output::Broadcast(peers, speech) => Output::Say(peers, speech),
            service::Output::Close(peer) => Output::Cut(peer),
            service::Output::Write { id: number, change } => Output::Write(number, change),
        }
    }
}

impl From<registry::Output> for Output {
    fn from(output: registry::Output) -> Output {
        match output {
            registry::Output::Send(peer, speech) => Output::Say(vec![peer], speech),
            registry::Output::Broadcast(peers, speech) => Output::Say(peers, speech),
            registry::Output::Close(peer) => Output::Cut(peer),
            registry::Output::Answer(call, answered) => Output::Answer(call, answered.status, answered.body),
        }
    }
}

impl From<subscriber::Output> for Output {
    fn from(output: subscriber::Output) -> Output {
        match output {
            subscriber::Output::Send(peer, speech) => Output::Say(vec![peer], speech),
            subscriber::Output::Close(peer) => Output::Cut(peer),
            other => Output::Proxy(other),
        }
    }
}

/// An attempt to reach another process, or the connection that came of it.
#[derive(Debug, Default)]
pub struct Dial {
    /// The next pause.
    pub pause: Micros,
    /// An attempt is on its way, or a connection stands.
    pub busy: bool,
}

/// By what right a proxy serves its configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Basis {
    /// A registry has confirmed it as current.
    Confirmed,
    /// No registry was current for so long that it serves what it has.
    Unconfirmed,
}

/// A process, or where one was.
#[derive(Default)]
pub struct Process {
    /// Its state machine, while it runs.
    pub body: Option<Body>,
    /// Rises with each start.
    pub life: u64,
    /// When this life began.
    pub begun: Micros,
    /// The time of day that its machine had then, in seconds.
    pub wall: u64,
    /// It stands still until then.
    pub frozen: Micros,
    /// Its last connection.
    pub last_peer: Peer,
    /// Its connections: which, and which end of it.
    pub lines: BTreeMap<Peer, (usize, usize)>,
    /// Whom it reaches for.
    pub dials: BTreeMap<Proc, Dial>,
    /// The table in force, of a proxy.
    pub table: Option<Arc<RoutingTable>>,
    /// By what right it serves its configuration, of a proxy; none: it does not serve yet.
    pub basis: Option<Basis>,
    /// Its last call from outside.
    pub last_call: u64,
    /// Its clock goes too fast, where that is put in.
    pub hasty: bool,
}

impl Process {
    /// Its own clock: a proxy's is the time of day at its begin, and all go on steadily.
    pub fn clock(&self, now: Micros) -> Micros {
        let from = if matches!(self.body, Some(Body::Proxy(_))) { self.wall * SECOND } else { 0 };
        from + (now - self.begun) * if self.hasty { HASTE } else { 1 }
    }
}
