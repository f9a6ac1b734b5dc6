//! One rehearsal: everything started, the load and the faults played, everything ended, and the verdict.
//!
//! Every wait here has a bound. Whatever hangs, a rehearsal is over `OVERTIME` after its load, and nothing that
//! it started is left.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex as Lock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use pinerelay_evidence::{lock, Listed, Record, Recorder, Seen};
use pinerelay_judge::terms::Terms;
use pinerelay_judge::{judge, Judgement};
use pinerelay_standins::billers::{Crowd, Planned};
use pinerelay_standins::boxes::{Hall, StandinBox};
use pinerelay_standins::counter::{self, Counter};
use pinerelay_standins::discovery::{Discovery, Entry};
use pinerelay_standins::lots::{mix, Lots};
use pinerelay_standins::rude::{be_rude, KINDS};
use serde::Serialize;
use serde_json::{json, Value};
use tokio::net::TcpStream;
use tokio::sync::{watch, Mutex};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::nodes::{moment, Process, Program};
use crate::scenario::{Fault, Kind, Scenario};
use crate::site::{Site, Tune};

/// How long nodes have to come up at the start of a rehearsal, and one that is started again.
const UP: Duration = Duration::from_secs(10);
/// How long after its load a rehearsal is over, whatever hangs.
const OVERTIME: Duration = Duration::from_secs(45);
/// How often nodes are looked at, and how often progress is told.
const SAMPLE: Duration = Duration::from_millis(500);
const PROGRESS: Duration = Duration::from_secs(2);
/// How often the kit looks at its own lateness.
const BEAT: Duration = Duration::from_millis(5);
/// A box that has stopped is listed as gone after this; one that is back is listed again after this.
const ROSTER_GONE: Duration = Duration::from_millis(1_000);
const ROSTER_BACK: Duration = Duration::from_millis(300);
/// How long the next process of a node has to say yes, by the operators' page.
const NEXT_READY: Duration = Duration::from_secs(6);
/// Between the steps of an upgrade; and how soon after its yes a next process dies that fails.
const PAUSE: Duration = Duration::from_millis(500);
const SHORTLY: Duration = Duration::from_millis(100);
/// Clients use a new class so long after the nodes have been told of it, by the operators' page.
const USED_AFTER: Duration = Duration::from_millis(1_200);
/// How long a silent connection is held open from its client's side.
const SILENCE: Duration = Duration::from_secs(6);

/// How it is run.
#[derive(Debug, Clone)]
pub struct Options {
    /// The seed of the load, the faults' targets, and all that stand-ins draw.
    pub seed: u64,
    /// How nodes are started.
    pub program: Program,
    /// A folder of its own for files of this run.
    pub dir: PathBuf,
    /// Tells how it goes.
    pub progress: bool,
}

/// What a rehearsal comes to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// All rules kept.
    Kept,
    /// Rules broken.
    Broken,
    /// Nothing can be said, and why.
    None(String),
}

/// How late the kit itself was, in microseconds.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Lateness {
    /// The median.
    pub median: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The most.
    pub most: u64,
}

/// A fault as it was played.
#[derive(Debug, Clone, Serialize)]
pub struct Band {
    /// Its kind.
    pub kind: String,
    /// From when, in seconds of the recording.
    pub from: f64,
    /// To when.
    pub to: f64,
}

/// All that is known after a rehearsal.
#[derive(Debug, Clone, Serialize)]
pub struct Outcome {
    /// The verdict.
    pub verdict: Verdict,
    /// The judgement, where there is a verdict.
    pub judgement: Option<Judgement>,
    /// The kit's own lateness.
    pub lateness: Lateness,
    /// The faults.
    pub bands: Vec<Band>,
    /// When the load began, in seconds of the recording.
    pub began: f64,
    /// The last lines of the nodes' logs.
    pub logs: Vec<Vec<String>>,
    /// What the stand-ins saw.
    #[serde(skip)]
    pub records: Vec<Record>,
    /// What it was judged by.
    #[serde(skip)]
    pub terms: Terms,
}

/// What stands on the stage.
struct Stage {
    scenario: Scenario,
    site: Site,
    options: Options,
    recorder: Recorder,
    boxes: Vec<StandinBox>,
    entries: Lock<Vec<Entry>>,
    discovery: Discovery,
    /// The counter in use comes last: an old one stays until the end.
    counters: Lock<Vec<Arc<Counter>>>,
    crowd: Arc<Crowd>,
    nodes: Vec<Mutex<Option<Process>>>,
    /// The nodes' listening sockets, where they are handed on from process to process.
    fronts: Vec<Option<TcpListener>>,
    /// All processes of all nodes so far: their numbers, and what tells of their ends.
    alive: Lock<Vec<(u32, watch::Receiver<bool>)>>,
    /// What a retuning has changed.
    tune: Lock<Tune>,
    /// Faults that could not be played, and why.
    unplayed: Lock<Vec<String>>,
}

/// Runs a rehearsal until its end, or until `interrupt` becomes true.
pub async fn rehearse(
    scenario: Scenario,
    load: Vec<Planned>,
    options: Options,
    mut interrupt: watch::Receiver<bool>,
) -> io::Result<Outcome> {
    let site = Site::new(&scenario);
    let terms = site.terms(&scenario);
    let recorder = Recorder::new();
    tokio::fs::create_dir_all(&options.dir).await?;
    let stage = Arc::new(Stage::set(scenario, site, options, recorder.clone()).await?);
    let late = Arc::new(Lock::new(Vec::new()));
    let bound = Duration::from_secs(u64::from(stage.scenario.seconds)) + OVERTIME;
    let mut began = 0;
    let cut = {
        let played = timeout(bound, stage.clone().play(load, late.clone(), &mut began));
        let cut = tokio::select! {
            biased;
            _ = interrupt.wait_for(|stop| *stop) => Some("it was cut short".to_string()),
            played = played => match played {
                Ok(Ok(())) => lock(&stage.unplayed).first().cloned(),
                Ok(Err(error)) => Some(error.to_string()),
                Err(_) => Some(format!("it was not over {} s after its load", OVERTIME.as_secs())),
            },
        };
        cut
    };
    let logs = stage.end(cut.is_some()).await;
    let records = recorder.take();
    let lateness = lateness(&mut lock(&late));
    let most = stage.scenario.judge.late_most.0.as_micros() as u64;
    let reason = cut.or_else(|| {
        (lateness.p99 > most).then(|| {
            format!(
                "the kit itself was {} us late at the 99th percentile; {most} us are allowed",
                lateness.p99
            )
        })
    });
    let judgement = reason.is_none().then(|| judge(&terms, &records));
    let verdict = match (reason, &judgement) {
        (Some(reason), _) => Verdict::None(reason),
        (None, Some(judgement)) if judgement.breaches.is_empty() => Verdict::Kept,
        (None, _) => Verdict::Broken,
    };
    let bands = bands(&records);
    Ok(Outcome { verdict, judgement, lateness, bands, began: began as f64 / 1e6, logs, records, terms })
}

impl Stage {
    async fn set(scenario: Scenario, site: Site, options: Options, recorder: Recorder) -> io::Result<Stage> {
        let (nodes, seed) = (scenario.fleet.nodes, options.seed);
        let halls: Vec<Arc<Hall>> = scenario.fleet.halls.iter().map(|_| Arc::default()).collect();
        let (mut boxes, mut entries) = (Vec::new(), Vec::new());
        for make in site.boxes(&scenario, seed) {
            let hall = halls[make.hall as usize].clone();
            let number = make.number;
            let std = make.cores == 3;
            let new = StandinBox::start(make, hall, recorder.clone(), nodes, false).await?;
            entries.push(Entry {
                number,
                name: format!("s-{:08x}", mix(&[seed, u64::from(number)]) as u32),
                addresses: (0..nodes).map(|n| new.address(n)).collect(),
                hall: scenario.fleet.halls[new.make().hall as usize].clone(),
                kind: if std { "std-3core" } else { "small-2core" }.into(),
                cell: new.make().hall,
                weight: if std { 3.0 } else { 2.0 },
                says: Listed::Up,
                since_ms: 0,
            });
            boxes.push(new);
        }
        let discovery = Discovery::start(recorder.clone(), nodes, &entries).await?;
        let counter = Arc::new(new_counter(&scenario, seed, &recorder).await?);
        let mut stage = Stage {
            crowd: Crowd::new(site.habits(&scenario, seed), recorder.clone(), &[]),
            scenario,
            site,
            options,
            recorder,
            boxes,
            entries: Lock::new(entries),
            discovery,
            counters: Lock::new(vec![counter]),
            nodes: (0..nodes).map(|_| Mutex::new(None)).collect(),
            fronts: Vec::new(),
            alive: Lock::default(),
            tune: Lock::default(),
            unplayed: Lock::default(),
        };
        let mut addresses = Vec::new();
        let handed_on = stage.scenario.fault.iter().any(|f| f.kind.hands_on());
        for node in 0..nodes {
            let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 1, node as u8 + 1));
            let mut at = SocketAddr::new(ip, 0);
            let front = if handed_on { Some(TcpListener::bind(at)?) } else { None };
            if let Some(front) = &front {
                at = front.local_addr()?;
            }
            stage.fronts.push(front);
            let process = stage.start_node(node, at).await?;
            addresses.push(process.address);
            stage.nodes[node as usize] = Mutex::new(Some(process));
        }
        let habits = stage.site.habits(&stage.scenario, seed);
        stage.crowd = Crowd::new(habits, stage.recorder.clone(), &addresses);
        Ok(stage)
    }

    fn config_path(&self, node: u32) -> PathBuf {
        self.options.dir.join(format!("node-{node}.json"))
    }

    fn config(&self, node: u32, listen: SocketAddr) -> Value {
        let counter = lock(&self.counters).last().map(|c| c.address(node).to_string());
        // Callers take descriptors: the address is there where it is used.
        let by_hand = self.scenario.fault.iter().any(|f| f.kind.by_hand());
        json!({
            "name": format!("n{node}"), "listen": listen.to_string(),
            "ops": by_hand.then_some("127.0.0.1:0"),
            "discovery": self.discovery.address(node).to_string(),
            "seed": format!("{:016x}", mix(&[self.options.seed, u64::from(node), self.recorder.now()])),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.scenario.fleet.sockets},
            "counter": counter, "known": self.discovery.list(node),
            "settings": self.site.settings(&self.scenario, node, *lock(&self.tune)),
        })
    }

    async fn start_node(&self, node: u32, listen: SocketAddr) -> io::Result<Process> {
        let content = self.config(node, listen);
        let path = self.config_path(node);
        let front = self.fronts[node as usize].as_ref();
        let process =
            Process::start(&self.options.program, node, &path, &content, &self.recorder, front).await?;
        lock(&self.alive).push(process.alive());
        Ok(process)
    }

    /// The next process of a node, once it says yes.
    async fn next_process(&self, node: u32) -> io::Result<Process> {
        let next = self.start_node(node, self.crowd.address(node)).await?;
        if next.ready(NEXT_READY).await {
            return Ok(next);
        }
        let why = format!("the next process of node {node} was not ready after {} s", NEXT_READY.as_secs());
        Err(io::Error::other(why))
    }

    /// Puts a node's next process in the place of the one that serves, and tells that one to stop.
    async fn followed_by(&self, node: u32, next: Process) {
        let old = self.nodes[node as usize].lock().await.replace(next);
        if let Some(mut old) = old {
            old.stop(self.site.stop_limit()).await;
        }
    }

    /// A next process that dies before its yes, one that says yes and dies, and one that never says yes.
    async fn upgrade_fails(&self, node: u32) -> io::Result<()> {
        self.start_node(node, self.crowd.address(node)).await?.kill().await;
        sleep(PAUSE).await;
        let mut next = self.next_process(node).await?;
        let old = self.nodes[node as usize].lock().await.take();
        let stop = async {
            if let Some(mut old) = old {
                old.stop(self.site.stop_limit()).await;
            }
        };
        let again = async {
            sleep(SHORTLY).await;
            next.kill().await;
            self.next_process(node).await
        };
        let (_, again) = tokio::join!(stop, again);
        *self.nodes[node as usize].lock().await = Some(again?);
        sleep(PAUSE).await;
        let mut never = self.start_node(node, self.crowd.address(node)).await?;
        never.freeze().await;
        sleep(PAUSE * 2).await;
        never.kill().await;
        Ok(())
    }

    /// A third process starts while the second is on its way; both before it are told to stop upon its yes.
    async fn upgrade_in_upgrade(&self, node: u32) -> io::Result<()> {
        let second = self.start_node(node, self.crowd.address(node)).await?;
        let third = self.next_process(node).await?;
        let first = self.nodes[node as usize].lock().await.replace(third);
        let limit = self.site.stop_limit();
        let stop = |process: Option<Process>| async move {
            if let Some(mut process) = process {
                process.stop(limit).await;
            }
        };
        tokio::join!(stop(first), stop(Some(second)));
        Ok(())
    }

    /// All processes of all nodes stand still for this long, `times` a second, each at moments of its own.
    async fn still(&self, lasts: Duration, times: f64, by: Duration) {
        let until = Instant::now() + lasts;
        let mut lots = Lots::new(self.options.seed, 0x57);
        let mut stalls = JoinSet::new();
        while Instant::now() < until {
            let all = lock(&self.alive).clone();
            for (id, ended) in all {
                let after = Duration::from_secs_f64(lots.span(0.5 / times.max(0.01)));
                stalls.spawn(async move {
                    sleep(after).await;
                    if !*ended.borrow() {
                        Process::still(id, by).await;
                    }
                });
            }
            sleep(Duration::from_secs_f64(1.0 / times.max(0.01))).await;
            while stalls.try_join_next().is_some() {}
        }
        while stalls.join_next().await.is_some() {}
    }

    /// Plays the load and the faults to their end.
    async fn play(
        self: Arc<Self>,
        load: Vec<Planned>,
        late: Arc<Lock<Vec<u64>>>,
        began: &mut u64,
    ) -> io::Result<()> {
        for node in 0..self.nodes.len() as u32 {
            if !self.greet(node).await {
                return Err(io::Error::other(format!("node {node} is not up after {} s", UP.as_secs())));
            }
        }
        let begin = self.crowd.begin();
        *began = self.recorder.now();
        let mut faults = JoinSet::new();
        for (number, fault) in self.scenario.fault.iter().cloned().enumerate() {
            faults.spawn(self.clone().fault(number, fault, begin));
        }
        let mut watching = JoinSet::new();
        watching.spawn(self.clone().watch(begin));
        for _ in 0..2 {
            watching.spawn(beat(late.clone()));
        }
        for planned in load {
            let at = begin + Duration::from_micros(planned.at);
            // Timers tick by the millisecond; what is due within one goes out together.
            if at > Instant::now() {
                sleep_until(at).await;
            }
            lock(&late).push(at.elapsed().as_micros() as u64);
            tokio::spawn(self.crowd.clone().ask(planned));
        }
        sleep_until(begin + Duration::from_secs(u64::from(self.scenario.seconds))).await;
        while self.crowd.open() > 0 {
            moment().await;
        }
        while faults.join_next().await.is_some() {}
        while self.crowd.open() > 0 {
            moment().await;
        }
        Ok(())
    }

    async fn greet(&self, node: u32) -> bool {
        let until = Instant::now() + UP;
        while Instant::now() < until {
            if self.crowd.greet(node).await {
                return true;
            }
            moment().await;
        }
        false
    }

    /// Ends all that was started. What was cut short is killed; else the nodes are told to stop.
    async fn end(&self, now: bool) -> Vec<Vec<String>> {
        let limit = self.site.stop_limit();
        let mut logs = Vec::new();
        let mut stops = JoinSet::new();
        for (node, place) in self.nodes.iter().enumerate() {
            // A fault that was cut short may hold it for a moment more.
            let taken = timeout(Duration::from_secs(5), place.lock()).await;
            let Some(mut process) = taken.ok().and_then(|mut p| p.take()) else { continue };
            process.sample();
            let crowd = self.crowd.clone();
            stops.spawn(async move {
                if now {
                    process.kill().await;
                } else {
                    crowd.leave_out(node as u32);
                    process.stop(limit).await;
                }
                process
            });
        }
        while let Some(stopped) = stops.join_next().await {
            logs.extend(stopped.map(|p| p.log()));
        }
        self.boxes.iter().for_each(StandinBox::stop);
        // The folder is the kit's own.
        let _ = tokio::fs::remove_dir_all(&self.options.dir).await;
        logs
    }

    /// Looks at the nodes, and tells how it goes.
    async fn watch(self: Arc<Self>, begin: Instant) {
        let mut told = Instant::now();
        let mut before = [0; 3];
        loop {
            sleep(SAMPLE).await;
            for (node, place) in self.nodes.iter().enumerate() {
                if let Ok(process) = place.try_lock() {
                    match &*process {
                        Some(p) if p.ended() => self.crowd.leave_out(node as u32),
                        Some(p) => p.sample(),
                        None => {}
                    }
                }
            }
            if self.options.progress && told.elapsed() >= PROGRESS {
                let ends = self.crowd.ends();
                let per = |n: usize| (ends[n] - before[n]) as f64 / told.elapsed().as_secs_f64();
                eprintln!(
                    "  {:>4.0} s of {}: {:>5.0} served, {:>4.0} refused, {:>4.0} failed a second; {} open",
                    begin.elapsed().as_secs_f64(),
                    self.scenario.seconds,
                    per(0),
                    per(1),
                    per(2),
                    self.crowd.open(),
                );
                (told, before) = (Instant::now(), ends);
            }
        }
    }

    /// The boxes that a fault is for, drawn by lot.
    fn targets(&self, number: usize, fault: &Fault) -> Vec<usize> {
        let hall = fault.hall.as_ref().and_then(|h| self.scenario.fleet.halls.iter().position(|x| x == h));
        let fits = |b: &&usize| hall.is_none_or(|h| self.boxes[**b].make().hall == h as u32);
        let all: Vec<usize> = (0..self.boxes.len()).collect();
        let mut all: Vec<usize> = all.iter().filter(fits).copied().collect();
        let mut lots = Lots::new(self.options.seed, 0xfa + number as u64);
        for n in (1..all.len()).rev() {
            all.swap(n, lots.below(n + 1));
        }
        all.truncate(fault.boxes.map_or(all.len(), |n| n as usize));
        all
    }

    fn say(&self, at_box: usize, says: Listed, started: bool) {
        let entry = {
            let mut entries = lock(&self.entries);
            let entry = &mut entries[at_box];
            entry.says = says;
            if started {
                let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
                entry.since_ms = unix.as_millis() as u64;
            }
            entry.clone()
        };
        self.discovery.say(&entry);
    }

    async fn fault(self: Arc<Self>, number: usize, fault: Fault, begin: Instant) {
        sleep_until(begin + fault.at.0).await;
        let kind = fault.kind.name();
        self.recorder.see(Seen::Fault { number, kind: kind.clone(), begins: true });
        // What would outlast the load ends with it: a stall of a minute must not hold up the end.
        let left = Duration::from_secs(u64::from(self.scenario.seconds)).saturating_sub(fault.at.0);
        if let Err(error) = self.clone().commit(number, &fault, fault.lasts().min(left)).await {
            lock(&self.unplayed).push(format!("the fault {kind} could not be played: {error}"));
        }
        self.recorder.see(Seen::Fault { number, kind, begins: false });
    }

    async fn commit(self: Arc<Self>, number: usize, fault: &Fault, lasts: Duration) -> io::Result<()> {
        let (share, times) = (fault.share.unwrap_or(1.0), fault.times.unwrap_or(1.0));
        let boxes = self.targets(number, fault);
        let feel = |change: &dyn Fn(&mut pinerelay_standins::boxes::Mood)| {
            boxes.iter().for_each(|&b| self.boxes[b].feel(|m| change(m)));
        };
        let counter = lock(&self.counters).last().cloned();
        let count = |change: &dyn Fn(&mut counter::Mood)| counter.iter().for_each(|c| c.feel(|m| change(m)));
        let even = |n: usize| lasts / n.max(1) as u32;
        match fault.kind {
            Kind::Hang => {
                feel(&|m| m.hangs += 1);
                sleep(lasts).await;
                feel(&|m| m.hangs = m.hangs.saturating_sub(1));
            }
            Kind::FailFast => {
                feel(&|m| m.fails += share);
                sleep(lasts).await;
                feel(&|m| m.fails = (m.fails - share).max(0.0));
            }
            Kind::Resets => {
                feel(&|m| m.resets += share);
                sleep(lasts).await;
                feel(&|m| m.resets = (m.resets - share).max(0.0));
            }
            Kind::Spoil => {
                feel(&|m| m.spoils += share);
                sleep(lasts).await;
                feel(&|m| m.spoils = (m.spoils - share).max(0.0));
            }
            Kind::Slow => {
                feel(&|m| m.slow *= times);
                sleep(lasts).await;
                feel(&|m| m.slow = (m.slow / times).max(1.0));
            }
            Kind::Stop => {
                boxes.iter().for_each(|&b| self.boxes[b].stop());
                sleep(ROSTER_GONE.min(lasts)).await;
                boxes.iter().for_each(|&b| self.say(b, Listed::Removed, false));
                sleep(lasts.saturating_sub(ROSTER_GONE)).await;
                for &b in &boxes {
                    self.back(b).await?;
                }
            }
            Kind::Restarts => {
                for &b in &boxes {
                    let next = Instant::now() + even(boxes.len());
                    self.boxes[b].stop();
                    self.back(b).await?;
                    sleep_until(next).await;
                }
            }
            Kind::Drains | Kind::HeldOut => {
                let by_hand = fault.kind == Kind::HeldOut;
                let mut rounds = JoinSet::new();
                for &b in &boxes {
                    let stage = self.clone();
                    rounds.spawn(async move {
                        if by_hand {
                            stage.held_out(b).await
                        } else {
                            stage.drained(b).await
                        }
                    });
                    sleep(even(boxes.len())).await;
                }
                while let Some(round) = rounds.join_next().await {
                    round.map_err(io::Error::other)??;
                }
            }
            Kind::CounterSlow => {
                count(&|m| m.slow *= times);
                sleep(lasts).await;
                count(&|m| m.slow /= times);
            }
            Kind::CounterSilent => {
                count(&|m| m.silent += 1);
                sleep(lasts).await;
                count(&|m| m.silent = m.silent.saturating_sub(1));
            }
            Kind::CounterRefuses => {
                count(&|m| m.refuses += 1);
                sleep(lasts).await;
                count(&|m| m.refuses = m.refuses.saturating_sub(1));
            }
            Kind::CounterDown => {
                count(&|m| m.down += 1);
                sleep(lasts).await;
                count(&|m| m.down = m.down.saturating_sub(1));
            }
            Kind::CounterLoses => counter.iter().for_each(|c| c.lose(share)),
            Kind::CounterMoves => {
                let seed = mix(&[self.options.seed, number as u64]);
                let new = new_counter(&self.scenario, seed, &self.recorder).await?;
                lock(&self.counters).push(Arc::new(new));
                self.move_nodes(false).await?;
            }
            Kind::DiscoveryMoves => self.move_nodes(true).await?,
            Kind::Retune => self.retune(lasts).await?,
            Kind::DiscoverySilent => {
                self.discovery.silent(true);
                sleep(lasts).await;
                self.discovery.silent(false);
            }
            Kind::DiscoveryLate => {
                self.discovery.late(fault.by.map_or(Duration::ZERO, |by| by.0));
                sleep(lasts).await;
                self.discovery.late(Duration::ZERO);
            }
            Kind::Gather => {
                self.crowd.drift(|d| d.gather += share);
                sleep(lasts).await;
                self.crowd.drift(|d| d.gather = (d.gather - share).max(0.0));
            }
            Kind::Shift => {
                self.crowd.drift(|d| (d.shifted, d.turn) = (share, d.turn + 1));
                sleep(lasts).await;
                self.crowd.drift(|d| d.shifted = 0.0);
            }
            Kind::NodeKill => {
                let node = fault.node.unwrap_or(0);
                let mut place = self.nodes[node as usize].lock().await;
                let Some(process) = place.as_mut() else { return Ok(()) };
                let address = process.address;
                process.kill().await;
                let notice = self.crowd.notice().min(lasts);
                sleep(notice).await;
                self.crowd.leave_out(node);
                sleep(lasts - notice).await;
                *place = Some(self.start_node(node, address).await?);
                drop(place);
                self.greet(node).await;
            }
            Kind::NodeRestarts => {
                for node in 0..self.nodes.len() as u32 {
                    let mut place = self.nodes[node as usize].lock().await;
                    let Some(process) = place.as_mut() else { continue };
                    let address = process.address;
                    let crowd = self.crowd.clone();
                    // New connections go on coming for a while after SIGTERM.
                    let leaving = tokio::spawn(async move {
                        sleep(Duration::from_millis(300)).await;
                        crowd.leave_out(node);
                    });
                    process.stop(self.site.stop_limit()).await;
                    let _ = leaving.await;
                    *place = Some(self.start_node(node, address).await?);
                    drop(place);
                    self.greet(node).await;
                    sleep(Duration::from_secs(1)).await;
                }
            }
            Kind::Upgrade | Kind::UpgradeFails | Kind::UpgradeInUpgrade => {
                for node in 0..self.nodes.len() as u32 {
                    match fault.kind {
                        Kind::UpgradeFails => self.upgrade_fails(node).await?,
                        Kind::UpgradeInUpgrade => self.upgrade_in_upgrade(node).await?,
                        _ => self.followed_by(node, self.next_process(node).await?).await,
                    }
                    sleep(PAUSE).await;
                }
            }
            Kind::Still => self.still(lasts, times, fault.by.map_or(Duration::ZERO, |by| by.0)).await,
            Kind::Rude | Kind::Silent => self.pester(number, fault, lasts, times).await,
        }
        Ok(())
    }

    /// A box that was stopped starts, cold, and is listed a moment later.
    async fn back(&self, at_box: usize) -> io::Result<()> {
        self.boxes[at_box].restart().await?;
        sleep(ROSTER_BACK).await;
        self.say(at_box, Listed::Up, true);
        Ok(())
    }

    async fn drained(&self, at_box: usize) -> io::Result<()> {
        self.boxes[at_box].drain(true);
        self.say(at_box, Listed::Draining, false);
        sleep(Duration::from_secs(1)).await;
        self.boxes[at_box].stop();
        self.say(at_box, Listed::Removed, false);
        sleep(Duration::from_secs(2)).await;
        self.back(at_box).await
    }

    /// A box is held out at every node, restarted, and brought back.
    async fn held_out(&self, at_box: usize) -> io::Result<()> {
        self.by_hand(at_box, true).await?;
        sleep(Duration::from_secs(1)).await;
        self.boxes[at_box].stop();
        self.back(at_box).await?;
        sleep(Duration::from_secs(2)).await;
        self.by_hand(at_box, false).await
    }

    /// Calls all nodes at their operators' addresses, one after the other as staff do.
    async fn by_hand(&self, at_box: usize, out: bool) -> io::Result<()> {
        let name = lock(&self.entries)[at_box].name.clone();
        let path = if out { "/api/exclude" } else { "/api/include" };
        for (number, place) in self.nodes.iter().enumerate() {
            let place = place.lock().await;
            let Some(process) = place.as_ref().filter(|p| !p.ended()) else { continue };
            let seen = Seen::HeldOut { node: number as u32, at_box: at_box as u32, out };
            if !out {
                self.recorder.see(seen.clone());
            }
            if !process.call(path, &name).await? {
                return Err(io::Error::other(format!("node {number} said no to {path} {name}")));
            }
            if out {
                self.recorder.see(seen);
            }
        }
        Ok(())
    }

    /// Writes all nodes' configurations anew and tells them; with new agents, if these move.
    async fn move_nodes(&self, agents: bool) -> io::Result<()> {
        for (number, place) in self.nodes.iter().enumerate() {
            let node = number as u32;
            if agents {
                self.discovery.move_agent(node).await?;
            }
            let place = place.lock().await;
            if let Some(process) = &*place {
                process.move_to(&self.config_path(node), &self.config(node, process.address)).await?;
            }
        }
        Ok(())
    }

    /// A class comes, is used, and goes again; a file that is cut in two in between changes nothing.
    async fn retune(&self, lasts: Duration) -> io::Result<()> {
        lock(&self.tune).added = true;
        self.move_nodes(false).await?;
        sleep(USED_AFTER).await;
        self.took(1.0, 0.0).await?;
        self.crowd.drift(|d| d.swapped = self.site.swap());
        let rest = lasts.saturating_sub(USED_AFTER) / 2;
        sleep(rest).await;
        for (node, place) in self.nodes.iter().enumerate() {
            let place = place.lock().await;
            if let Some(process) = &*place {
                let whole = self.config(node as u32, process.address).to_string();
                process.given(&self.config_path(node as u32), &whole[..whole.len() / 2]).await?;
            }
        }
        sleep(rest).await;
        self.crowd.drift(|d| d.swapped = None);
        // Who has asked for it may do so again until its time is over.
        sleep(self.site.longest()).await;
        lock(&self.tune).added = false;
        self.move_nodes(false).await?;
        sleep(USED_AFTER).await;
        self.took(2.0, 1.0).await
    }

    /// Whether all nodes say that they have taken so many files, and turned so many down.
    async fn took(&self, taken: f64, refused: f64) -> io::Result<()> {
        for (node, place) in self.nodes.iter().enumerate() {
            let place = place.lock().await;
            let Some(process) = &*place else { continue };
            let reloads = process.figure("config_reloads_total").await?;
            let errors = process.figure("config_reload_errors_total").await?;
            if (reloads, errors) != (taken, refused) {
                let why = format!(
                    "node {node} has taken {reloads} files and turned {errors} down, {taken} and {refused} are right"
                );
                return Err(io::Error::other(why));
            }
        }
        Ok(())
    }

    /// Rude clients, or silent ones, for as long as the fault lasts.
    async fn pester(&self, number: usize, fault: &Fault, lasts: Duration, times: f64) {
        let until = Instant::now() + lasts;
        let mut lots = Lots::new(self.options.seed, 0x51 + number as u64);
        let class = self.site.classes().next().map_or("", |c| c.0).to_string();
        let plan = self.site.plans().next().map_or("", |p| p.0).to_string();
        let mut visits = JoinSet::new();
        let mut next = Instant::now();
        while next < until {
            let node = lots.below(self.nodes.len()) as u32;
            let address = self.crowd.address(node);
            let kind = lots.below(KINDS.len());
            let (recorder, class, plan) = (self.recorder.clone(), class.clone(), plan.clone());
            if fault.kind == Kind::Rude {
                visits.spawn(async move { be_rude(node, address, kind, &class, &plan, &recorder).await });
            } else {
                visits.spawn(async move {
                    if let Ok(stream) = TcpStream::connect(address).await {
                        let _ = timeout(SILENCE, stream.readable()).await;
                    }
                });
            }
            next += Duration::from_secs_f64(lots.span(1.0 / times.max(0.01)));
            sleep_until(next).await;
            while visits.try_join_next().is_some() {}
        }
        while visits.join_next().await.is_some() {}
    }
}

async fn new_counter(scenario: &Scenario, seed: u64, recorder: &Recorder) -> io::Result<Counter> {
    let part = &scenario.counter;
    let make =
        counter::Make { parts: part.parts, calls_a_second: part.calls_a_second, delay: part.delay.0, seed };
    Counter::start(make, recorder.clone(), scenario.fleet.nodes).await
}

/// How late the runtime wakes up what sleeps.
async fn beat(late: Arc<Lock<Vec<u64>>>) {
    loop {
        let due = Instant::now() + BEAT;
        sleep_until(due).await;
        lock(&late).push(due.elapsed().as_micros() as u64);
    }
}

fn lateness(late: &mut [u64]) -> Lateness {
    late.sort_unstable();
    let at = |share: f64| late.get((late.len() as f64 * share) as usize).copied().unwrap_or(0);
    Lateness { median: at(0.5), p99: at(0.99), most: late.last().copied().unwrap_or(0) }
}

fn bands(records: &[Record]) -> Vec<Band> {
    let mut bands: Vec<(usize, Band)> = Vec::new();
    for record in records {
        let Seen::Fault { number, kind, begins } = &record.seen else { continue };
        let at = record.at as f64 / 1e6;
        match bands.iter_mut().find(|(n, _)| n == number) {
            Some((_, band)) if !begins => band.to = at,
            Some(_) => {}
            None => bands.push((*number, Band { kind: kind.clone(), from: at, to: at })),
        }
    }
    bands.sort_by_key(|(n, _)| *n);
    bands.into_iter().map(|(_, band)| band).collect()
}

/// A folder of this run's own under the machine's folder for such things.
pub fn own_dir(seed: u64) -> PathBuf {
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let name = format!("pinerelay-rehearsal-{}-{:08x}", std::process::id(), mix(&[seed, unix]) as u32);
    Path::new(&std::env::temp_dir()).join(name)
}
