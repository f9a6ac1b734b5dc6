//! The running store: its state machine, its links and its disk joined.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use pinerelay_cells::server::Server;
use pinerelay_cells::{call, hash, Cells, Item};
use pinerelay_dance::store::Birth;
use pinerelay_dance::voter::Change;
use pinerelay_dance::{Input, Output, Reply, Request, Store};
use pinerelay_propolis::link::{Event, Links, Peer, Wanted, PULSE};
use pinerelay_propolis::ports;
use pinerelay_propolis::settings::Settings;
use pinerelay_propolis::speech::{Answered, Hello, Passed, Role, Speech};
use pinerelay_propolis::watch;
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};
use tokio::time::{sleep_until, Instant};

use crate::disk::Disk;

/// How often time passes for the state machine: while a call is under way, and else.
const BUSY: Duration = Duration::from_millis(25);
const IDLE: Duration = Duration::from_millis(150);
/// At a planned end calls under way have so long.
const LAST: Duration = Duration::from_millis(600);

/// Runs a store until it is told to stop.
pub fn run(path: PathBuf, settings: Settings) -> Result<(), Box<dyn Error>> {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(serve(path, settings))
}

struct Comb {
    store: Store,
    /// What the machine's registry knows of servers: kept for a day on which all memory is lost at once, and never waited
    /// for.
    hive: Cells,
    unkept: Vec<Item>,
    links: Rc<Links>,
    disk: Disk,
    hello: Hello,
    zone: String,
    /// Who is at the other end, once it has said so.
    peers: BTreeMap<Peer, Hello>,
    wanted: BTreeMap<String, Wanted>,
    /// Calls that registries have passed on: whose, and under which number.
    calls: BTreeMap<u64, (Peer, u64)>,
    last_call: u64,
    unwritten: usize,
    begun: Instant,
    /// The time of day then, in seconds.
    wall: u64,
    stood: Option<(Vec<String>, bool)>,
}

async fn serve(path: PathBuf, settings: Settings) -> Result<(), Box<dyn Error>> {
    let folder = settings.data_dir.clone().ok_or("data_dir: a folder is wanted: this role keeps files")?;
    let (disk, kept, mut written) = Disk::open(&folder)?;
    log::info!(
        "begins with {}",
        kept.as_ref().map_or("an empty disk".into(), |k| format!("{} items, turn {}", k.cells.len(), k.at.0))
    );
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let life = hash::of(&[
        settings.node.as_bytes(),
        &now.as_nanos().to_le_bytes(),
        &std::process::id().to_le_bytes(),
    ]);
    let me = settings.ip.to_string();
    let birth = Birth {
        me: me.clone(),
        life,
        losses: settings.tolerate.machines,
        first: settings.first_start,
        seeds: settings.seeds().iter().map(Ipv4Addr::to_string).collect(),
    };
    let (links, mut events) = Links::new();
    links.listen(ports::at(&settings, settings.ip, ports::COMB))?;
    let mut first = Vec::new();
    let (mut hive, mut kept) = (Cells::default(), kept);
    if let Some(kept) = &mut kept {
        let (config, others) =
            std::mem::take(&mut kept.cells).into_iter().partition(|i| i.key.kind.is_config());
        kept.cells = config;
        hive.merge_all(others);
        hive.forget_if(|item| Server::past(item, now.as_secs()));
    }
    let mut comb = Comb {
        hive,
        unkept: Vec::new(),
        wall: now.as_secs(),
        store: Store::new(birth, kept, &mut first),
        links,
        disk,
        hello: Hello { node: settings.node.clone(), ip: me, role: Role::Comb, life },
        zone: settings.zone.clone(),
        peers: BTreeMap::new(),
        wanted: BTreeMap::new(),
        calls: BTreeMap::new(),
        last_call: 0,
        unwritten: 0,
        begun: Instant::now(),
        stood: None,
    };
    comb.carry_out(first);
    let mut terminate = signal(SignalKind::terminate())?;
    // Nothing in the file changes while a store runs but its seeds, and by then it knows who votes.
    tokio::task::spawn_local(watch::settings(path, |_| log::info!("the settings file has changed")));
    let (mut tick_at, mut pulse_at) = (Instant::now(), Instant::now());
    let mut end_by: Option<Instant> = None;
    loop {
        comb.reach(&settings);
        if end_by.is_some_and(|by| comb.unwritten == 0 && comb.calls.is_empty() || Instant::now() >= by) {
            break;
        }
        tokio::select! {
            biased;
            _ = terminate.recv(), if end_by.is_none() => {
                log::info!("ends as planned");
                end_by = Some(Instant::now() + LAST);
                comb.links.say_all(comb.peers.keys().copied(), &Speech::Bye);
            }
            Some(number) = written.recv() => {
                comb.unwritten = comb.unwritten.saturating_sub(1);
                comb.disk.is_safe(number);
                comb.give(Input::Written(number, true));
            }
            Some(event) = events.recv() => comb.event(event, end_by.is_some()),
            () = sleep_until(tick_at) => {
                comb.give(Input::Tick);
                let pause = if comb.calls.is_empty() { IDLE } else { BUSY };
                tick_at = Instant::now() + pause;
            }
        }
        if !comb.calls.is_empty() {
            tick_at = tick_at.min(Instant::now() + BUSY);
        }
        comb.stands(Instant::now() >= pulse_at);
        if Instant::now() >= pulse_at {
            comb.keep();
            pulse_at = Instant::now() + PULSE;
        }
    }
    Ok(())
}

impl Comb {
    fn now(&self) -> u64 {
        self.begun.elapsed().as_micros() as u64
    }

    /// Keeps links to the stores that it has to reach.
    fn reach(&mut self, settings: &Settings) {
        let others = self.store.others();
        self.wanted.retain(|name, _| others.contains(name));
        for name in others {
            let Ok(machine) = name.parse() else { continue };
            let links = &self.links;
            self.wanted.entry(name).or_insert_with(|| links.want(ports::at(settings, machine, ports::COMB)));
        }
    }

    /// Tells the registries how this store stands: when that has changed, and now and then.
    fn stands(&mut self, pulse: bool) {
        let votes = self.store.voters().contains(&self.hello.ip);
        let whole = !self.store.voters().is_empty() && (self.store.whole() || !votes);
        let stands = (self.store.voters().to_vec(), whole);
        if !pulse && self.stood.as_ref() == Some(&stands) {
            return;
        }
        if self.stood.as_ref().is_some_and(|(_, before)| *before != whole) {
            log::info!("its copy is {}", if whole { "whole" } else { "not whole" });
        }
        let speech = Speech::StoreStands { voters: stands.0.clone(), whole };
        self.stood = Some(stands);
        let scouts = self.of(Role::Scout);
        self.links.say_all(scouts.iter().copied(), &speech);
        let digest = Speech::Digest([self.store.cells().digest(), self.hive.digest()]);
        self.links.say_all(scouts, &digest);
        if pulse {
            let combs = self.of(Role::Comb);
            self.links.say_all(combs, &Speech::Digest([0, 0]));
        }
    }

    /// Writes what it was told of servers since the last time.
    fn keep(&mut self) {
        let wall = self.wall + self.begun.elapsed().as_secs();
        self.hive.forget_if(|item| Server::past(item, wall));
        let settled = std::mem::take(&mut self.unkept);
        if !settled.is_empty() {
            self.unwritten += 1;
            self.disk.write(0, Change { settled, ..Change::default() });
        }
    }

    fn of(&self, role: Role) -> Vec<Peer> {
        self.peers.iter().filter(|(_, hello)| hello.role == role).map(|(&peer, _)| peer).collect()
    }

    fn event(&mut self, event: Event, ending: bool) {
        match event {
            Event::Up(peer, _) => self.links.say(peer, &Speech::Hello(self.hello.clone())),
            Event::Down(peer) => {
                self.peers.remove(&peer);
            }
            Event::Said(peer, Speech::Hello(hello)) => {
                let scout = hello.role == Role::Scout;
                self.peers.insert(peer, hello);
                if scout {
                    self.stood = None;
                    self.stands(false);
                }
            }
            Event::Said(peer, speech) => self.said(peer, speech, ending),
        }
    }

    fn said(&mut self, peer: Peer, speech: Speech, ending: bool) {
        let Some(hello) = self.peers.get(&peer) else { return self.links.cut(peer) };
        match speech {
            Speech::Store(word) if hello.role == Role::Comb => {
                let from = hello.ip.clone();
                self.give(Input::Heard(from, word));
            }
            Speech::Summary { realm, lines, answer } if hello.role == Role::Scout => {
                let cells = if realm == 0 { self.store.cells() } else { &self.hive };
                let (newer, behind) = cells.beside(&lines);
                if !newer.is_empty() {
                    self.links.say(peer, &Speech::News(newer));
                }
                // What a registry has settled items of, this store may have missed.
                if behind && answer {
                    let lines = cells.summary();
                    self.links.say(peer, &Speech::Summary { realm, lines, answer: false });
                }
            }
            Speech::News(items) if hello.role == Role::Scout => {
                let from = hello.ip.clone();
                let (items, others): (Vec<_>, Vec<_>) =
                    items.into_iter().partition(|item| item.key.kind.is_config());
                let wall = self.wall + self.begun.elapsed().as_secs();
                let others = others.into_iter().filter(|item| !Server::past(item, wall));
                self.unkept.extend(self.hive.merge_all(others));
                if items.is_empty() {
                    return;
                }
                self.give(Input::Heard(from, pinerelay_dance::Word::News(items)));
            }
            Speech::Pass(number, passed) if hello.role == Role::Scout => {
                let answer = |status, body| Speech::Answer(number, Answered { status, body });
                let request = match passed {
                    _ if ending => return self.links.say(peer, &answer(503, error("the store ends"))),
                    Passed::Read => Request::Read,
                    Passed::Update(body) => match call::read(&body) {
                        Ok(items) => Request::Update(items),
                        Err(unfit) => return self.links.say(peer, &answer(400, error(&unfit.to_string()))),
                    },
                };
                self.last_call += 1;
                self.calls.insert(self.last_call, (peer, number));
                self.give(Input::Call(self.last_call, request));
            }
            Speech::Ask => {
                let stands = self.stood.as_ref().is_some_and(|(_, whole)| *whole);
                let mut figures = vec![
                    (format!("comb_info{{zone=\"{}\"}}", self.zone), 1.0),
                    ("comb_items".to_string(), self.store.cells().len() as f64),
                    ("comb_whole".to_string(), f64::from(u8::from(self.store.whole()))),
                    ("comb_stands".to_string(), f64::from(u8::from(stands))),
                    ("comb_unwritten".to_string(), self.unwritten as f64),
                    ("comb_calls_open".to_string(), self.calls.len() as f64),
                    ("comb_calls_total".to_string(), self.last_call as f64),
                ];
                figures.extend(self.links.told("comb"));
                figures.extend(self.disk.figures());
                self.links.say(peer, &Speech::Figures(figures));
            }
            _ => {}
        }
    }

    fn give(&mut self, input: Input) {
        let mut out = Vec::new();
        self.store.on(self.now(), input, &mut out);
        self.carry_out(out);
    }

    fn carry_out(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Say(to, word) => {
                    let peer = self.peers.iter().rfind(|(_, h)| h.role == Role::Comb && h.ip == to);
                    if let Some((&peer, _)) = peer {
                        self.links.say(peer, &Speech::Store(word));
                    }
                }
                Output::Write(number, change) => {
                    self.unwritten += 1;
                    self.disk.write(number, change);
                }
                Output::Answer(number, reply) => {
                    let Some((peer, number)) = self.calls.remove(&number) else { continue };
                    let (status, body) = match reply {
                        Reply::Taken => (200, "{}".to_string()),
                        Reply::Stands(text) => (200, text),
                        Reply::Invalid(unfit) => (400, error(&unfit.to_string())),
                        Reply::Unsure => (503, error("no majority of the stores has answered in time")),
                    };
                    self.links.say(peer, &Speech::Answer(number, Answered { status, body }));
                }
                Output::News(items) => {
                    let scouts = self.of(Role::Scout);
                    self.links.say_all(scouts, &Speech::News(items));
                }
            }
        }
    }
}

fn error(why: &str) -> String {
    format!("{{\"error\":{}}}", sonic_rs::to_string(why).unwrap_or_else(|_| "\"\"".into()))
}
