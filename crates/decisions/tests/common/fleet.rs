//! A discrete-event simulation of a fleet on one clock: clients, nodes, and servers that are cold for a while after
//! their start.

use std::collections::{BTreeMap, BTreeSet};

use mountbend::interface::*;

use super::*;

/// How many requests a server works on at once.
const CORES: usize = 3;
/// A warm server's capacity, in requests per second.
pub const CAPACITY: f64 = 30.0;
/// The first server's id; later ids count down, so that a new server comes first wherever the order of ids matters.
const FIRST_ID: u32 = 1_000;
const COLD_FROM: f64 = 0.2;
const COLD: Micros = 15 * SECOND;
const FALL_MULTIPLE: f64 = 2.5;
const TIP_AFTER: Micros = 1_500 * MS;
/// Requests that a server may get by chance beyond its capacity.
const SLACK: f64 = 3.0;
/// Connect timeout, and the timeout of an attempt without an answer.
const CONNECT_TIMEOUT: Micros = 250 * MS;
const ATTEMPT_TIMEOUT: Micros = 1_975 * MS;

/// Parameters of a simulation.
#[derive(Clone, Copy)]
pub struct Setup {
    pub nodes: usize,
    pub servers: u32,
    /// Requests per second of all clients together.
    pub load: f64,
    /// Whether the servers run and are warm from the beginning.
    pub warm_before: bool,
    /// Time from one server's start to the next one's.
    pub gap: Micros,
    /// Capacity when warm of servers started during the simulation, in requests per second.
    pub capacity: f64,
    /// Whether servers differ in speed by up to a third, and requests in work by an exponential distribution.
    pub varied: bool,
}

impl Setup {
    fn speed(&self, server: u32) -> f64 {
        if self.varied {
            0.75 + f64::from(server % 6) / 10.0
        } else {
            1.0
        }
    }
}

pub const BASELINE: Setup = Setup {
    nodes: 3,
    servers: 6,
    load: 110.0,
    warm_before: true,
    gap: 700 * MS,
    capacity: CAPACITY,
    varied: false,
};

/// A simulated server: one queue, served in order by `CORES` cores at the speed of its warmth. A request that takes
/// 100 ms on a warm server takes half a second on one that has just started.
pub struct SimServer {
    capacity: f64,
    /// When it last started; none: long ago.
    started: Option<Micros>,
    /// While false it refuses connections.
    running: bool,
    /// When each core is free.
    free_at: [Micros; CORES],
    /// When each request was sent to it.
    pub sent: Vec<Micros>,
    /// While it is not running, connection attempts time out.
    unreachable: bool,
    /// It accepts requests and answers none.
    pub hanging: bool,
}

impl SimServer {
    /// The share of its capacity that it has at a time.
    fn warmth(&self, at: Micros) -> f64 {
        let age = |started: Micros| at.saturating_sub(started) as f64 / COLD as f64;
        self.started.map_or(1.0, |s| (COLD_FROM + (1.0 - COLD_FROM) * age(s)).min(1.0))
    }

    /// Accepts a request and returns when its answer is complete.
    fn accept(&mut self, now: Micros, work: f64) -> Micros {
        self.sent.push(now);
        let duration = work * 1e6 * CORES as f64 / (self.capacity * self.warmth(now));
        let core = self.free_at.iter_mut().min().expect("a server has cores");
        *core = (*core).max(now) + duration as Micros;
        *core
    }

    /// The most that it was sent in any window of its cold start, relative to its capacity in that window.
    fn overload(&self) -> f64 {
        let Some(started) = self.started else { return 0.0 };
        let cold: Vec<_> = self.sent.iter().filter(|&&at| at >= started && at < started + COLD).collect();
        let within = |from| cold.iter().filter(|&&&at| at >= from && at < from + TIP_AFTER).count() as f64;
        let mean_warmth = |from| (self.warmth(from) + self.warmth(from + TIP_AFTER)) / 2.0;
        let bearable = |from| mean_warmth(from) * self.capacity * TIP_AFTER as f64 / 1e6;
        cold.iter().map(|&&from| (within(from) - SLACK) / bearable(from)).fold(0.0, f64::max)
    }
}

/// A scheduled event of the simulation. Nodes and servers are given by index.
enum Task {
    /// A client's request arrives.
    Arrival,
    /// A node's timer expires.
    Tick(usize),
    /// An attempt of a node ends.
    End(usize, Ended),
    /// A client gives up its request at a node.
    GiveUp(usize, RequestId),
    /// A server starts.
    Start(u32),
    /// A new server takes the place of this one.
    Replace(u32),
    /// All servers lose power and are removed from the list.
    PowerCut,
    /// A server stops, and connection attempts to it time out.
    Unreachable(u32),
    /// A server is removed from the list.
    Unlist(u32),
    /// This many nodes, the first ones, are killed and lose their state.
    Kill(usize),
    /// They start again without state.
    Restart(usize),
    /// The load changes to this many requests per second.
    Load(f64),
    /// From now on a server accepts requests and answers none.
    Hang(u32),
}

/// A simulated fleet.
pub struct Fleet {
    setup: Setup,
    pub now: Micros,
    nodes: Vec<TestNode>,
    pub servers: Vec<SimServer>,
    /// Task events, by time and order of scheduling.
    schedule: BTreeMap<(Micros, u64), Task>,
    last_number: u64,
    /// Requests without a final answer, by node.
    unanswered: BTreeSet<(usize, RequestId)>,
    /// The servers that each request was sent to.
    attempts: BTreeMap<(usize, RequestId), Vec<ServerId>>,
    /// Which node has sent to which server.
    connections: BTreeSet<(usize, ServerId)>,
    /// When the final attempt of each served request ended, and how long that attempt took.
    served: Vec<(Micros, Micros)>,
    /// When each request arrived, and when each was refused or failed.
    pub arrived_at: Vec<Micros>,
    pub rejected_at: Vec<Micros>,
    /// By node, the weight of its part of the traffic; 0 while it is down.
    weights: Vec<f64>,
    seed: u64,
    config: Settings,
    random: u64,
}

impl Fleet {
    pub fn new(seed: u64, setup: Setup) -> Fleet {
        let mut config = no_quota();
        config.nodes = setup.nodes as u32;
        config.cold_start = ColdStart {
            cold_from: COLD_FROM,
            cold: COLD,
            fall_multiple: FALL_MULTIPLE,
            tip_after: TIP_AFTER,
        };
        let node =
            |i| TestNode::seeded(seed * 1_000 + i as u64, Settings { me: i as u32, ..config.clone() }, 0);
        let (running, capacity) = (setup.warm_before, CAPACITY);
        let fresh = |server| SimServer {
            capacity: capacity * setup.speed(server),
            started: None,
            running,
            free_at: [0; CORES],
            sent: Vec::new(),
            unreachable: false,
            hanging: false,
        };
        let mut fleet = Fleet {
            setup,
            now: 100 * SECOND,
            nodes: (0..setup.nodes).map(node).collect(),
            servers: (0..setup.servers).map(fresh).collect(),
            schedule: BTreeMap::new(),
            last_number: 0,
            unanswered: BTreeSet::new(),
            attempts: BTreeMap::new(),
            connections: BTreeSet::new(),
            served: Vec::new(),
            arrived_at: Vec::new(),
            rejected_at: Vec::new(),
            weights: vec![1.0; setup.nodes],
            seed,
            config,
            random: seed,
        };
        let listed = if setup.warm_before { setup.servers } else { 0 };
        (0..listed).for_each(|b| fleet.announce(b, MemberState::InService, 0));
        (0..setup.nodes).for_each(|i| fleet.add_event(fleet.now + i as u64 * 7 * MS, Task::Tick(i)));
        fleet.add_event(fleet.now, Task::Arrival);
        fleet
    }

    fn add_event(&mut self, at: Micros, task: Task) {
        self.last_number += 1;
        self.schedule.insert((at, self.last_number), task);
    }

    /// A uniform random number in [0, 1): the upper half of a linear congruential generator's state.
    fn uniform(&mut self) -> f64 {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) as f64 / (1u64 << 31) as f64
    }

    fn event(&mut self, node: usize, event: Event) {
        self.nodes[node].now = self.now;
        let actions = self.nodes[node].event(event);
        self.perform(node, actions);
    }

    /// Carries out a node's actions.
    fn perform(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { id, server, .. } => self.send(node, id, server),
                Action::Refuse { id, .. } | Action::Fail { id, .. } => {
                    self.unanswered.remove(&(node, id));
                    self.rejected_at.push(self.now);
                }
                Action::Cancel { id, attempt } => {
                    let server = self.attempts[&(node, id.clone())][attempt as usize];
                    self.end(node, id, attempt, server, Outcome::Cancelled, 0);
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, node: usize, id: RequestId, server: ServerId) {
        let attempts = self.attempts.entry((node, id.clone())).or_default();
        let attempt = attempts.len() as u32;
        attempts.push(server);
        self.connections.insert((node, server));
        let work = if self.setup.varied { -(1.0 - self.uniform()).ln() } else { 1.0 };
        let target = &mut self.servers[(FIRST_ID - server.0) as usize];
        let (spent, outcome) = if target.hanging {
            target.sent.push(self.now);
            (ATTEMPT_TIMEOUT, Outcome::TimedOut)
        } else if target.running {
            (target.accept(self.now, work) - self.now, Outcome::Ok)
        } else {
            (if target.unreachable { CONNECT_TIMEOUT } else { MS }, Outcome::ConnectFailed)
        };
        self.end(node, id, attempt, server, outcome, spent);
    }

    /// Schedules the end of an attempt.
    fn end(
        &mut self,
        node: usize,
        id: RequestId,
        attempt: u32,
        server: ServerId,
        outcome: Outcome,
        spent: Micros,
    ) {
        let finished = outcome == Outcome::Ok;
        let end = Ended { id, attempt, server, outcome, spent, finished, final_units: None };
        self.add_event(self.now + spent, Task::End(node, end));
    }

    /// A random node, by the nodes' weights.
    fn pick_node(&mut self) -> usize {
        let mut left = self.uniform() * self.weights.iter().sum::<f64>();
        let picked = self.weights.iter().position(|&weight| {
            left -= weight;
            left < 0.0
        });
        picked.unwrap_or(0)
    }

    /// Runs the simulation up to a time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some((&(at, number), _)) = self.schedule.first_key_value() {
            if at > until {
                break;
            }
            let task = self.schedule.remove(&(at, number)).expect("the first entry");
            self.now = at;
            match task {
                Task::Arrival => {
                    let node = self.pick_node();
                    self.arrived_at.push(at);
                    self.nodes[node].now = at;
                    let (id, actions) = self.nodes[node].submit(0, 1.0);
                    self.unanswered.insert((node, id.clone()));
                    self.perform(node, actions);
                    self.add_event(at + 2 * SECOND, Task::GiveUp(node, id));
                    let gap = -(1.0 - self.uniform()).ln() / self.setup.load;
                    self.add_event(at + (gap * 1e6) as Micros, Task::Arrival);
                }
                Task::Tick(node) => {
                    if self.weights[node] > 0.0 {
                        self.event(node, Event::Timer { id: 0 });
                    }
                    self.add_event(at + 20 * MS, Task::Tick(node));
                }
                Task::End(node, end) => {
                    if end.finished && self.unanswered.remove(&(node, end.id.clone())) {
                        self.served.push((at, end.spent));
                    }
                    self.event(node, Event::Ended(end));
                }
                Task::GiveUp(node, id) => {
                    if self.unanswered.remove(&(node, id.clone())) {
                        self.event(node, Event::ClientGone { id });
                    }
                }
                Task::Start(server) => {
                    let started = &mut self.servers[server as usize];
                    (started.running, started.started, started.free_at) = (true, Some(at), [at; CORES]);
                    started.capacity = self.setup.capacity * self.setup.speed(server);
                    started.unreachable = false;
                    self.announce(server, MemberState::InService, at);
                }
                Task::Replace(old) => {
                    let new = self.servers.len() as u32;
                    let capacity = self.setup.capacity * self.setup.speed(new);
                    let sent = Vec::new();
                    let started = Some(at);
                    let free_at = [at; CORES];
                    let (running, unreachable, hanging) = (true, false, false);
                    self.servers.push(SimServer {
                        capacity,
                        started,
                        running,
                        unreachable,
                        hanging,
                        free_at,
                        sent,
                    });
                    self.servers[old as usize].running = false;
                    self.announce(old, MemberState::Removed, 0);
                    self.announce(new, MemberState::InService, at);
                }
                Task::Unreachable(server) => {
                    let stopped = &mut self.servers[server as usize];
                    (stopped.running, stopped.unreachable) = (false, true);
                }
                Task::Unlist(server) => self.announce(server, MemberState::Removed, 0),
                Task::Kill(nodes) => {
                    self.weights[..nodes].fill(0.0);
                    self.unanswered.retain(|(node, _)| *node >= nodes);
                    let lost =
                        |task: &Task| matches!(task, Task::End(n, _) | Task::GiveUp(n, _) if *n < nodes);
                    self.schedule.retain(|_, task| !lost(task));
                }
                Task::Restart(nodes) => {
                    for node in 0..nodes {
                        self.weights[node] = 1.0;
                        let config = Settings { me: node as u32, ..self.config.clone() };
                        self.nodes[node] = TestNode::seeded(self.seed * 1_000_000 + node as u64, config, 0);
                        self.send_full_list(node);
                    }
                }
                Task::Hang(server) => self.servers[server as usize].hanging = true,
                Task::Load(load) => self.setup.load = load,
                Task::PowerCut => {
                    self.servers.iter_mut().for_each(|b| b.running = false);
                    // Requests inside a server are lost with it.
                    let lost = |task: &mut Task| {
                        if let Task::End(_, end) = task {
                            (end.outcome, end.finished) = (Outcome::Reset, false);
                        }
                    };
                    self.schedule.values_mut().for_each(lost);
                    (0..self.setup.servers).for_each(|b| self.announce(b, MemberState::Removed, 0));
                }
            }
        }
        self.now = until;
    }

    /// Sends the complete server list to a node that has just started.
    fn send_full_list(&mut self, node: usize) {
        let listed = |(index, one): (usize, &SimServer)| {
            member(FIRST_ID - index as u32, MemberState::InService, one.started.unwrap_or(0))
        };
        let running = self.servers.iter().enumerate().filter(|(_, one)| one.running);
        let entries = running.map(listed).collect();
        self.event(node, Event::Members { kind: ListKind::Complete, entries });
    }

    /// Sends a change of the server list to all nodes.
    fn announce(&mut self, server: u32, state: MemberState, started: Micros) {
        for node in 0..self.setup.nodes {
            let entries = vec![member(FIRST_ID - server, state, started)];
            self.event(node, Event::Members { kind: ListKind::Changes, entries });
        }
    }

    /// Half of the servers are lost for 6 s and restart cold; the list drops them after 2 s.
    pub fn lose_half(&mut self, at: Micros) {
        for b in (0..self.setup.servers).step_by(2) {
            self.add_event(at, Task::Unreachable(b));
            self.add_event(at + 2 * SECOND, Task::Unlist(b));
            self.add_event(at + 6 * SECOND, Task::Start(b));
        }
    }

    /// Kills the first `nodes` nodes; they restart without state 2 s later, and clients use the others meanwhile.
    pub fn restart_nodes(&mut self, nodes: usize, at: Micros) {
        self.add_event(at, Task::Kill(nodes));
        self.add_event(at + 2 * SECOND, Task::Restart(nodes));
    }

    /// From then on a server accepts requests and answers none.
    pub fn hang(&mut self, server: u32, at: Micros) {
        self.add_event(at, Task::Hang(server));
    }

    /// Changes the capacity of all servers, from `CAPACITY` to this many requests per second for a mean server. Each
    /// request takes longer in proportion.
    pub fn set_capacity(&mut self, capacity: f64) {
        self.servers.iter_mut().for_each(|b| b.capacity *= capacity / CAPACITY);
    }

    /// How many requests a server has been sent since `from`.
    pub fn sent_to(&self, server: u32, from: Micros) -> usize {
        self.servers[server as usize].sent.iter().filter(|&&at| at >= from).count()
    }

    /// From then on clients send this many requests per second.
    pub fn change_load(&mut self, load: f64, at: Micros) {
        self.add_event(at, Task::Load(load));
    }

    /// Gives a node `times` the traffic of another one.
    pub fn set_weight(&mut self, node: usize, times: f64) {
        self.weights[node] = times;
    }

    /// The present capacity of all running servers, in requests per second.
    pub fn total_capacity(&self) -> f64 {
        self.servers.iter().filter(|b| b.running).map(|b| b.warmth(self.now) * b.capacity).sum()
    }

    /// Refused or failed requests from `from` to `to`, as a share of the requests that arrived.
    pub fn rejected_share(&self, from: Micros, to: Micros) -> f64 {
        let count = |of: &[Micros]| of.iter().filter(|&&at| at >= from && at < to).count() as f64;
        count(&self.rejected_at) / count(&self.arrived_at).max(1.0)
    }

    /// Requests served from `from` to `to` within `limit`, as a share of the requests that arrived.
    pub fn share_in_time(&self, from: Micros, to: Micros, limit: Micros) -> f64 {
        let served = self.served.iter().filter(|s| s.0 >= from && s.0 < to && s.1 <= limit).count() as f64;
        served / self.arrived_at.iter().filter(|&&at| at >= from && at < to).count().max(1) as f64
    }

    /// Mean number of attempts of the requests that were sent to a server at all.
    pub fn attempts_per_request(&self) -> f64 {
        self.attempts.values().map(Vec::len).sum::<usize>() as f64 / self.attempts.len().max(1) as f64
    }

    /// Starts the servers cold, one after the other from `at` on, and runs for 20 s more. Returns when the last one
    /// starts.
    pub fn start_all(&mut self, at: Micros) -> Micros {
        let gap = self.setup.gap;
        (0..self.setup.servers).for_each(|b| self.add_event(at + u64::from(b) * gap, Task::Start(b)));
        let all = at + u64::from(self.setup.servers - 1) * gap;
        self.run_until(all + 20 * SECOND);
        all
    }

    /// Runs for 20 s, cuts the power for 4 s, and starts all servers again.
    pub fn power_cut(&mut self) -> Micros {
        self.run_until(self.now + 20 * SECOND);
        self.add_event(self.now, Task::PowerCut);
        self.start_all(self.now + 4 * SECOND)
    }

    /// The highest overload of any server during its cold start.
    pub fn max_server_overload(&self) -> f64 {
        self.servers.iter().map(SimServer::overload).fold(0.0, f64::max)
    }

    /// Requests served in the 15 s since `from`, as a share of the lesser of the servers' capacity and the load.
    pub fn utilization(&self, from: Micros) -> f64 {
        let to = from + 15 * SECOND;
        let served = self.served.iter().filter(|&&(at, _)| at >= from && at < to).count() as f64;
        let at_once = |at: Micros| self.servers.iter().map(|b| b.warmth(at) * b.capacity).sum::<f64>();
        let step = 100 * MS;
        let possible =
            (from..to).step_by(step as usize).map(|at| at_once(at).min(self.setup.load) * step as f64 / 1e6);
        served / possible.sum::<f64>()
    }

    /// Replaces the first `servers` servers by new cold ones with new ids, one in each gap from `at` on.
    pub fn replace_servers(&mut self, servers: u32, at: Micros) {
        for b in 0..servers {
            self.add_event(at + u64::from(b) * self.setup.gap, Task::Replace(b));
        }
    }

    /// The most that any running server was sent since `from` in proportion to its capacity, relative to the mean.
    pub fn imbalance(&self, from: Micros) -> f64 {
        let got = |b: &&SimServer| b.sent.iter().filter(|&&at| at >= from).count() as f64;
        let running: Vec<_> = self.servers.iter().filter(|b| b.running).collect();
        let (all, total) = running.iter().fold((1e-9, 1e-9), |(n, c), b| (n + got(b), c + b.capacity));
        running.iter().map(|b| got(b) / b.capacity).fold(0.0, f64::max) * total / all
    }

    /// Connections that all nodes need together: pairs of a node and a server that it has sent to.
    pub fn connection_count(&self) -> usize {
        self.connections.len()
    }

    /// The share of the requests served since `from` that took no longer than `limit`.
    pub fn served_within(&self, from: Micros, limit: Micros) -> f64 {
        let since: Vec<_> = self.served.iter().filter(|s| s.0 >= from).collect();
        since.iter().filter(|s| s.1 <= limit).count() as f64 / since.len().max(1) as f64
    }

    /// The share of the requests sent from `from` to `to` that went to cold servers, relative to their share of the
    /// total capacity.
    pub fn cold_share(&self, from: Micros, to: Micros) -> f64 {
        let running: Vec<_> = self.servers.iter().filter(|b| b.running).collect();
        let sent = |b: &&&SimServer| b.sent.iter().filter(|&&at| at >= from && at < to).count() as f64;
        let bearable = |b: &&&SimServer| (b.warmth(from) + b.warmth(to)) / 2.0 * b.capacity;
        let cold = |of: &dyn Fn(&&&SimServer) -> f64| {
            let part: f64 = running.iter().filter(|b| b.started.is_some()).map(|b| of(&b)).sum();
            part / running.iter().map(|b| of(&b)).sum::<f64>()
        };
        cold(&sent) / cold(&bearable)
    }
}
