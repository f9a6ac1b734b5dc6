//! A simulated fleet: proxies that send a service's requests to two versions, one registry that decides, and a store that commits.
//! Messages between proxies and registry are delayed and may be lost.

use std::collections::{BTreeMap, BinaryHeap};

use pinerelay_config_state::hash::mix64;
use pinerelay_config_state::rollout::{Rollout, Stage};
use pinerelay_config_state::routing_table::RolloutInForce;
use pinerelay_rollout::decider::{Decider, FleetState, RolloutBounds, REPORT_INTERVAL};
use pinerelay_rollout::exposure::Exposure;
use pinerelay_rollout::report::{latency_class, RolloutPermit, RolloutReport, RouteSample};
use pinerelay_rollout::Micros;

pub const SECOND: Micros = 1_000_000;
/// The time step of the simulation.
const STEP: Micros = 20_000;
/// The operator's bounds, which are the defaults of `RolloutBounds`.
pub const EXPOSURE_SHARE: f64 = 0.1;
pub const EXPOSURE_MARGIN: u64 = 50;
pub const ROLLBACK: Micros = 5 * SECOND;
/// The time limit for a rollback counts from this bad answer on.
const BAD_ANSWERS: u64 = 50;
/// When the servers of the new version become ready, after the order, and the duration of their slow start.
const SERVERS_READY_AFTER: Micros = 600_000;
const SLOW_START: Micros = 3 * SECOND;
const SERVERS: usize = 100;
/// The latency target of all routes.
const LATENCY_TARGET: Micros = 800_000;
/// The maximum delay of a message that is not lost.
const MAX_DELAY: Micros = 60_000;
/// The maximum delay until a changed item reaches a proxy.
const MAX_UPDATE_DELAY: Micros = 400_000;
/// The delay until the stores commit a stage.
const COMMIT_DELAY: Micros = 60_000;

/// The defect of the new version.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Defect {
    None,
    /// A fraction of its answers fail.
    Errors(f64),
    /// A fraction of its answers take a multiple of the normal latency.
    Slow(f64, f64),
    /// A fraction of its answers on one route fail.
    OneRoute(f64),
    /// A fraction of its answers fail, from this time after its servers became ready on.
    Late(f64, Micros),
}

/// The parameters of a simulated rollout.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    pub seed: u64,
    pub proxies: usize,
    pub requests_per_second: f64,
    pub deadline: Micros,
    pub defect: Defect,
    /// The fraction of the answers of both versions that fail because of unrelated faults.
    pub faults: f64,
    /// The fraction of messages that are lost.
    pub lost_messages: f64,
    /// The interval at which another registry without state takes over.
    pub takeover_every: Option<Micros>,
    /// The interval at which a proxy restarts.
    pub restart_every: Option<Micros>,
    /// From this time on, only this number of servers of the new version are left.
    pub servers_left: Option<(Micros, usize)>,
}

impl Plan {
    pub fn new(seed: u64, defect: Defect) -> Plan {
        Plan {
            seed,
            proxies: 85,
            requests_per_second: 1_200.0,
            deadline: 15 * SECOND,
            defect,
            faults: 0.01,
            lost_messages: 0.0,
            takeover_every: None,
            restart_every: None,
            servers_left: None,
        }
    }
}

/// The result of a simulated rollout.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub stage: Option<Stage>,
    /// When the rollout was finished or reverted, after the order.
    pub ended_at: Option<Micros>,
    /// The number of requests up to the deadline, and of those sent to the new version.
    pub requests: u64,
    pub exposed: u64,
    /// When the new version gave its 50th bad answer, and when the last request was sent to it.
    pub fiftieth_bad: Option<Micros>,
    pub last_exposed: Option<Micros>,
    /// The number of requests that were open at the stable version when the rollout was finished, or sent there later.
    pub open_at_finish: u64,
}

impl Outcome {
    pub fn exposure_bound(&self) -> u64 {
        (self.requests as f64 * EXPOSURE_SHARE) as u64 + EXPOSURE_MARGIN
    }

    /// The time from the 50th bad answer to the last request at the new version.
    pub fn stopped_after(&self) -> Micros {
        match (self.fiftieth_bad, self.last_exposed) {
            (Some(bad), Some(last)) => last.saturating_sub(bad),
            _ => 0,
        }
    }
}

struct Random(u64);

impl Random {
    fn unit(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix64(self.0) >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn below(&mut self, end: u64) -> u64 {
        (self.unit() * end as f64) as u64
    }

    fn normal(&mut self) -> f64 {
        let (first, second) = (self.unit().max(1e-12), self.unit());
        (-2.0 * first.ln()).sqrt() * (std::f64::consts::TAU * second).cos()
    }
}

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestEnd {
    at: std::cmp::Reverse<Micros>,
    proxy: usize,
    process: u64,
    route: u64,
    latency: Micros,
    is_target: bool,
    has_failed: bool,
    is_bad: bool,
}

#[derive(Default)]
struct Proxy {
    process: u64,
    exposure: Exposure,
    samples: BTreeMap<u64, RouteSample>,
    in_force: Option<RolloutInForce>,
    /// The item on its way to the proxy, and when it arrives.
    update: Option<(Micros, RolloutInForce)>,
    open_at_stable: u64,
    next_report: Micros,
}

struct Simulation {
    plan: Plan,
    random: Random,
    now: Micros,
    proxies: Vec<Proxy>,
    ends: BinaryHeap<RequestEnd>,
    item: RolloutInForce,
    commit: Option<(Micros, Stage)>,
    decider: Decider,
    reports: Vec<(Micros, usize, u64, RolloutReport)>,
    permits: Vec<(Micros, usize, u64, RolloutPermit)>,
    bad_answers: u64,
    outcome: Outcome,
}

/// Simulates a rollout until 6 s after its deadline.
pub fn simulate(plan: Plan) -> Outcome {
    let rollout = Rollout {
        stage: Stage::Canary,
        target: "v2".into(),
        stable: vec!["v1".into()],
        order: 2,
        ordered_at_ms: 0,
        deadline_ms: plan.deadline / 1_000,
    };
    let decider = Decider::new(0, 0, RolloutBounds::default(), &rollout);
    let item = RolloutInForce { revision: 2, rollout };
    let mut simulation = Simulation {
        random: Random(mix64(plan.seed)),
        now: 0,
        proxies: (0..plan.proxies).map(|_| Proxy::default()).collect(),
        ends: BinaryHeap::new(),
        item,
        commit: None,
        decider,
        reports: Vec::new(),
        permits: Vec::new(),
        bad_answers: 0,
        outcome: Outcome::default(),
        plan,
    };
    simulation.send_updates();
    while simulation.now < plan.deadline + 6 * SECOND {
        simulation.step();
    }
    simulation.outcome.stage = Some(simulation.item.rollout.stage);
    simulation.outcome
}

impl Simulation {
    fn step(&mut self) {
        self.now += STEP;
        self.apply_updates();
        self.send_requests();
        self.end_requests();
        self.inject_faults();
        self.report();
        self.deliver();
        self.decide();
    }

    fn send_updates(&mut self) {
        for proxy in &mut self.proxies {
            let at = self.now + self.random.below(MAX_UPDATE_DELAY);
            proxy.update = Some((at, self.item.clone()));
        }
    }

    fn apply_updates(&mut self) {
        let now = self.now;
        for proxy in &mut self.proxies {
            if proxy.update.as_ref().is_some_and(|(at, _)| now >= *at) {
                proxy.in_force = proxy.update.take().map(|(_, item)| item);
            }
        }
    }

    fn send_requests(&mut self) {
        let wanted = self.plan.requests_per_second * STEP as f64 / 1e6;
        let count = wanted as u64 + u64::from(self.random.unit() < wanted.fract());
        for _ in 0..count {
            self.send_request();
        }
    }

    fn send_request(&mut self) {
        let (now, proxies) = (self.now, self.proxies.len());
        let index = self.random.below(proxies as u64) as usize;
        let (route, drawn) = (1 + u64::from(self.random.unit() < 0.15), self.random.unit());
        let has_servers = now >= SERVERS_READY_AFTER;
        let proxy = &mut self.proxies[index];
        let stage = proxy.in_force.as_ref().map(|item| item.rollout.stage);
        let is_target = match stage {
            Some(Stage::Canary | Stage::Ramp) => {
                has_servers && proxy.exposure.takes_next(now, proxies, drawn)
            }
            Some(Stage::Cutover | Stage::Finished) => true,
            _ => false,
        };
        proxy.exposure.count_reached();
        if is_target {
            proxy.exposure.count_exposed(now);
        } else {
            proxy.open_at_stable += 1;
        }
        self.count_request(is_target);
        self.serve(index, route, is_target);
    }

    fn count_request(&mut self, is_target: bool) {
        if self.now <= self.plan.deadline {
            self.outcome.requests += 1;
            self.outcome.exposed += u64::from(is_target);
        }
        if is_target {
            self.outcome.last_exposed = Some(self.now);
        } else if self.item.rollout.stage == Stage::Finished {
            self.outcome.open_at_finish += 1;
        }
    }

    /// Draws the latency and result of a request.
    fn serve(&mut self, proxy: usize, route: u64, is_target: bool) {
        // Log-normal, as in a fleet of servers of different speed: 240 ms on average.
        let mut latency = 174.0 * (0.8 * self.random.normal()).exp() * 1e3;
        let mut has_failed = self.random.unit() < self.plan.faults;
        let (drawn, mut is_bad) = (self.random.unit(), false);
        match self.plan.defect {
            _ if !is_target => {}
            Defect::None => {}
            Defect::Errors(share) => is_bad = drawn < share,
            Defect::OneRoute(share) => is_bad = route == 2 && drawn < share,
            Defect::Late(share, from) => is_bad = self.now >= SERVERS_READY_AFTER + from && drawn < share,
            Defect::Slow(share, factor) => {
                is_bad = drawn < share;
                latency *= if is_bad { factor } else { 1.0 };
            }
        }
        let is_slow = matches!(self.plan.defect, Defect::Slow(..));
        has_failed |= is_bad && !is_slow;
        let process = self.proxies[proxy].process;
        let latency = (latency as Micros).min(5 * SECOND);
        let at = std::cmp::Reverse(self.now + latency);
        self.ends.push(RequestEnd { at, proxy, process, route, latency, is_target, has_failed, is_bad });
    }

    fn end_requests(&mut self) {
        while self.ends.peek().is_some_and(|end| end.at.0 <= self.now) {
            let Some(end) = self.ends.pop() else { break };
            self.bad_answers += u64::from(end.is_bad);
            if self.bad_answers == BAD_ANSWERS && end.is_bad {
                self.outcome.fiftieth_bad = Some(end.at.0);
            }
            let proxy = &mut self.proxies[end.proxy];
            if proxy.process != end.process {
                continue;
            }
            let sample = proxy.samples.entry(end.route).or_default();
            sample.route = end.route;
            sample.target_class = latency_class(LATENCY_TARGET) as u8;
            let side = if end.is_target { &mut sample.target } else { &mut sample.stable };
            side.count(end.latency, end.has_failed);
            proxy.open_at_stable -= u64::from(!end.is_target);
        }
    }

    fn is_due(&self, every: Option<Micros>) -> bool {
        every.is_some_and(|every| self.now % every < STEP)
    }

    fn inject_faults(&mut self) {
        if self.is_due(self.plan.takeover_every) {
            self.decider =
                Decider::new(self.now, self.now / 1_000, RolloutBounds::default(), &self.item.rollout);
        }
        if self.is_due(self.plan.restart_every) {
            let index = self.random.below(self.proxies.len() as u64) as usize;
            let process = self.proxies[index].process + 1;
            let in_force = Some(self.item.clone());
            self.proxies[index] = Proxy { process, in_force, ..Proxy::default() };
            self.decider.proxy_ended(&index.to_string());
        }
    }

    fn is_lost(&mut self) -> bool {
        self.random.unit() < self.plan.lost_messages
    }

    fn report(&mut self) {
        for index in 0..self.proxies.len() {
            let proxy = &mut self.proxies[index];
            let Some(item) = proxy.in_force.clone().filter(|item| item.rollout.stage.is_under_way()) else {
                continue;
            };
            if self.now < proxy.next_report {
                continue;
            }
            proxy.next_report = self.now + REPORT_INTERVAL;
            let report = RolloutReport {
                service: "s".into(),
                order: item.rollout.order,
                sent_at: self.now,
                in_force: item.revision,
                exposed_for: proxy.exposure.exposed_for(self.now),
                has_drained: item.rollout.stage == Stage::Cutover && proxy.open_at_stable == 0,
                routes: proxy.samples.values().copied().collect(),
            };
            let process = proxy.process;
            let at = self.now + self.random.below(MAX_DELAY);
            if !self.is_lost() {
                self.reports.push((at, index, process, report));
            }
        }
    }

    fn fleet_state(&self) -> FleetState {
        let is_warm = self.now >= SERVERS_READY_AFTER + SLOW_START;
        let servers = match self.plan.servers_left {
            Some((from, left)) if self.now >= from => left,
            _ if self.now >= SERVERS_READY_AFTER => SERVERS,
            _ => 0,
        };
        let linked = self.proxies.iter().enumerate().map(|(index, proxy)| (index.to_string(), proxy.process));
        FleetState {
            target_servers: servers,
            warm_target_servers: if is_warm { servers } else { 0 },
            stable_servers: SERVERS,
            linked_proxies: linked.collect(),
            missing_proxies: BTreeMap::new(),
            total_proxies: self.proxies.len(),
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let fleet = self.fleet_state();
        let (due, later) = std::mem::take(&mut self.reports).into_iter().partition(|(at, ..)| now >= *at);
        self.reports = later;
        let due: Vec<(Micros, usize, u64, RolloutReport)> = due;
        for (_, proxy, process, report) in due {
            self.decider.report(now, &proxy.to_string(), process, &report);
            let permit = self.decider.permit(now, &self.item.rollout, &fleet, &report);
            let at = now + self.random.below(MAX_DELAY);
            if let Some(permit) = permit.filter(|_| !self.is_lost()) {
                self.permits.push((at, proxy, process, permit));
            }
        }
        let (due, later) = std::mem::take(&mut self.permits).into_iter().partition(|(at, ..)| now >= *at);
        self.permits = later;
        let due: Vec<(Micros, usize, u64, RolloutPermit)> = due;
        for (_, proxy, process, permit) in due {
            if self.proxies[proxy].process == process {
                self.proxies[proxy].exposure.permit(permit);
            }
        }
    }

    fn decide(&mut self) {
        let fleet = self.fleet_state();
        let next = self.decider.tick(self.now, &self.item, &fleet);
        if self.commit.is_none() {
            self.commit = next.map(|stage| (self.now + COMMIT_DELAY, stage));
        }
        let Some((_, stage)) = self.commit.filter(|(at, _)| self.now >= *at) else { return };
        self.commit = None;
        self.item.revision += 1;
        self.item.rollout.stage = stage;
        self.decider.stage_changed();
        self.send_updates();
        if !stage.is_under_way() {
            self.outcome.ended_at = Some(self.now);
        }
        if stage == Stage::Finished {
            self.outcome.open_at_finish = self.proxies.iter().map(|proxy| proxy.open_at_stable).sum();
        }
    }
}
