//! Which processes there are, when each may be asked, and what it last told: a state machine without clock or sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::Ipv4Addr;

use pinerelay_peer_link::message::{Metric, ProcessList, Role};
use pinerelay_peer_link::query::ProcessReport;

use crate::alerts::Seen;
use crate::figures::{self, Label};

/// Microseconds of the exporter's clock.
pub type Micros = u64;

/// No process is asked more often.
pub const EACH: Micros = 2_000_000;
/// One of the core that nobody names any more is forgotten when it has been silent for so long.
const FORGET: Micros = 60_000_000;
/// So many processes are asked, and so many figures of each are kept.
const PROCESSES_MOST: usize = 2_000;
const FIGURES_MOST: usize = 256;

/// Where a process is reached: its program, and the machine's address.
pub type Place = (Role, Ipv4Addr);

/// A figure as a process told it.
pub type Figure = (&'static str, Option<Label>, f64);

/// What is known of one process.
#[derive(Debug, Default)]
pub struct Process {
    /// Its machine's name; none until it is known.
    pub node: Option<String>,
    /// The machine's zone, once it has been told.
    pub zone: String,
    /// It has answered when it was last asked.
    pub up: bool,
    /// How often it was seen to start.
    pub starts: u64,
    /// What it told.
    pub figures: Vec<Figure>,
    life: Option<u64>,
    asked: Option<Micros>,
    heard: Micros,
    rolled: Option<ProcessList>,
}

/// All processes.
#[derive(Default)]
pub struct Watch {
    seeds: BTreeSet<Ipv4Addr>,
    known: BTreeMap<Place, Process>,
    /// Figures that are not known here, in all.
    odd: u64,
}

impl Watch {
    /// One that has been told of these registries.
    pub fn new(seeds: impl IntoIterator<Item = Ipv4Addr>) -> Watch {
        let mut watch = Watch { seeds: seeds.into_iter().collect(), ..Watch::default() };
        watch.known = watch.seeds.iter().map(|ip| ((Role::Registry, *ip), Process::default())).collect();
        watch
    }

    /// The processes that may be asked now; they count as asked.
    pub fn due(&mut self, now: Micros) -> Vec<Place> {
        let due = self.known.iter_mut().filter(|(_, p)| p.asked.is_none_or(|asked| now >= asked + EACH));
        due.map(|(place, process)| {
            process.asked = Some(now);
            *place
        })
        .collect()
    }

    /// One has answered.
    pub fn told(&mut self, now: Micros, place: Place, told: ProcessReport) {
        let Some(process) = self.known.get_mut(&place) else { return };
        if told.hello.role != place.0 {
            process.up = false;
            return;
        }
        if process.node.as_ref().is_some_and(|node| *node != told.hello.node) {
            // Another machine has its address now.
            *process = Process { asked: process.asked, ..Process::default() };
        }
        if process.life.replace(told.hello.process_id).is_some_and(|life| life != told.hello.process_id) {
            process.starts += 1;
        }
        process.node = Some(told.hello.node);
        (process.up, process.heard) = (true, now);
        process.figures.clear();
        for Metric { name, value } in told.metrics.into_iter().take(FIGURES_MOST) {
            match figures::read(&name).filter(|_| value.is_finite()) {
                Some((name, Some(("zone", zone)))) if name.ends_with("_info") => process.zone = zone,
                Some((name, label)) => process.figures.push((name, label, value)),
                None => self.odd += 1,
            }
        }
        process.rolled = told.process_list;
        if let Some(rolled) = process.rolled.clone() {
            self.learn(now, &rolled);
        }
    }

    fn learn(&mut self, now: Micros, rolled: &ProcessList) {
        let linked = rolled.linked.iter().filter(|hello| hello.role != Role::Observer);
        let linked = linked.map(|hello| (hello.role, &hello.ip, Some(&hello.node)));
        // Who votes is there even when nobody is linked to it.
        let core =
            rolled.voters.iter().flat_map(|ip| [(Role::Registry, ip, None), (Role::ConfigStore, ip, None)]);
        for (role, ip, node) in linked.chain(core) {
            let Ok(ip) = ip.parse() else { continue };
            if self.known.len() >= PROCESSES_MOST && !self.known.contains_key(&(role, ip)) {
                continue;
            }
            let fresh = || Process { heard: now, ..Process::default() };
            let process = self.known.entry((role, ip)).or_insert_with(fresh);
            if process.node.is_none() {
                process.node = node.cloned();
            }
        }
        // The programs of one machine share its name.
        let names: BTreeMap<Ipv4Addr, String> =
            self.known.iter().filter_map(|((_, ip), p)| Some((*ip, p.node.clone()?))).collect();
        for ((_, ip), process) in self.known.iter_mut().filter(|(_, p)| p.node.is_none()) {
            process.node = names.get(ip).cloned();
        }
    }

    /// One has not answered in time.
    pub fn silent(&mut self, place: Place) {
        if let Some(process) = self.known.get_mut(&place) {
            process.up = false;
            process.rolled = None;
            process.figures.clear();
        }
    }

    /// All that are asked have answered, or have not in time: those that have gone as planned are forgotten.
    pub fn settle(&mut self, now: Micros) {
        let rolls: Vec<&ProcessList> = self.known.values().filter_map(|p| p.rolled.as_ref()).collect();
        let proxies: BTreeSet<&String> = rolls
            .iter()
            .flat_map(|r| r.linked.iter().filter(|h| h.role == Role::Proxy).map(|h| &h.node))
            .chain(rolls.iter().flat_map(|r| &r.missing))
            .collect();
        let core: BTreeSet<Ipv4Addr> =
            rolls.iter().flat_map(|r| &r.voters).filter_map(|ip| ip.parse().ok()).collect();
        let gone = self.known.iter().filter(|((role, ip), process)| {
            let old = now >= process.heard + FORGET;
            !process.up
                && match role {
                    // As long as no registry answers, nothing is known to have gone.
                    Role::Proxy => {
                        !rolls.is_empty() && process.node.as_ref().is_none_or(|node| !proxies.contains(node))
                    }
                    _ => old && !core.contains(ip) && !(*role == Role::Registry && self.seeds.contains(ip)),
                }
        });
        let gone: Vec<Place> = gone.map(|(place, _)| *place).collect();
        gone.iter().for_each(|place| drop(self.known.remove(place)));
    }

    /// The processes whose names are known.
    pub fn named(&self) -> impl Iterator<Item = (Role, &str, &Process)> {
        self.known.iter().filter_map(|((role, _), p)| Some((*role, p.node.as_deref()?, p)))
    }

    /// How many processes have never told their name, and how many figures were not known.
    pub fn unknown(&self) -> (usize, u64) {
        (self.known.len() - self.named().count(), self.odd)
    }

    /// What the rules see.
    pub fn seen(&self) -> Vec<Seen> {
        let zones: BTreeMap<&str, &str> = self
            .named()
            .filter(|(_, _, p)| !p.zone.is_empty())
            .map(|(_, n, p)| (n, p.zone.as_str()))
            .collect();
        let all = self.named().map(|(role, node, process)| {
            let mut figures = BTreeMap::new();
            for (name, _, value) in &process.figures {
                *figures.entry(*name).or_insert(0.0) += value;
            }
            figures.insert("up", f64::from(u8::from(process.up)));
            figures.insert("starts_total", process.starts as f64);
            let zone = zones.get(node).copied().unwrap_or_default().to_string();
            Seen { role, node: node.into(), zone, life: process.life.unwrap_or(0), figures }
        });
        all.collect()
    }
}
