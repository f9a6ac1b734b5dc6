//! The service that billers got, as the brief counts it, and what it cost.

use std::collections::{BTreeMap, HashMap};

use pinerelay_evidence::{Body, Micros, RequestId};
use serde::Serialize;

use crate::terms::Terms;
use crate::view::{End, Try, View};

/// Weights of the whole run, its worst 10 s, the worst-served class and the worst-served plan.
const WEIGHTS: [f64; 4] = [0.50, 0.25, 0.10, 0.15];
/// The worst window's length, in seconds.
const WINDOW: usize = 10;

/// Worth asked for inside quotas, and the part of it that was served in time.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Worth {
    /// Asked for.
    pub asked: f64,
    /// Served, in full if in time.
    pub got: f64,
}

impl Worth {
    fn add(&mut self, asked: f64, got: f64) {
        self.asked += asked;
        self.got += got;
    }

    /// The share served; 1 where nothing was asked for.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 {
            self.got / self.asked
        } else {
            1.0
        }
    }
}

/// A class's or a plan's part.
#[derive(Debug, Clone, Serialize)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// Its worth.
    pub worth: Worth,
    /// First tries.
    pub offered: u64,
    /// First tries that were served, at whatever try.
    pub served: u64,
    /// Answers 429 and 503.
    pub refused: u64,
    /// All other ends.
    pub failed: u64,
    /// Times from a first try to its served answer, in milliseconds: the median and the 99th percentile.
    pub median_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
}

/// One second of the run.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Second {
    /// First tries.
    pub offered: u32,
    /// Answers 200.
    pub served: u32,
    /// Answers 429 and 503.
    pub refused: u32,
    /// All other ends.
    pub failed: u32,
    /// Boxes listed in service.
    pub boxes: u32,
    #[serde(skip)]
    worth: Worth,
}

/// What was sent on for one biller.
#[derive(Debug, Clone, Serialize)]
pub struct Biller {
    /// The biller, 16 hex digits.
    pub biller: String,
    /// Its plan.
    pub plan: String,
    /// Units asked for, first tries alone.
    pub asked: f64,
    /// Units sent on.
    pub sent: f64,
    /// Units sent on beyond its quota.
    pub beyond: f64,
    /// For a biller under a hard ceiling: the least that the ceiling's store held, and units sent on in each
    /// second.
    pub ceiling: Option<CeilingUse>,
}

/// A ceiling's use.
#[derive(Debug, Clone, Serialize)]
pub struct CeilingUse {
    /// The least that its store held.
    pub least: f64,
    /// What it may hold at the least, without the sockets' slack.
    pub allowed: f64,
    /// Units sent on in each second.
    pub by_second: Vec<f64>,
    /// Units a second that it gives.
    pub rate: f64,
}

/// What a node used.
#[derive(Debug, Clone, Serialize)]
pub struct NodeUse {
    /// The node.
    pub node: u32,
    /// Requests written to it.
    pub requests: u64,
    /// CPU time, in microseconds a request.
    pub cpu_us: f64,
    /// Most memory held, in KiB.
    pub rss_kib: u64,
}

/// All figures of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Service {
    /// The one figure, from 0 to 1.
    pub figure: f64,
    /// The whole run.
    pub whole: Worth,
    /// The share served in the worst 10 s, and when they began, in seconds.
    pub worst: (f64, usize),
    /// By class.
    pub classes: Vec<Part>,
    /// By plan.
    pub plans: Vec<Part>,
    /// By second.
    pub seconds: Vec<Second>,
    /// By biller, most units beyond quota first.
    pub billers: Vec<Biller>,
    /// First tries.
    pub offered: u64,
    /// Tries a first try.
    pub tries_each: f64,
    /// Attempts a first try.
    pub attempts_each: f64,
    /// Calls to the counter, a first try.
    pub calls_each: f64,
    /// Units sent on, and those beyond quota.
    pub units: (f64, f64),
    /// By node.
    pub nodes: Vec<NodeUse>,
    /// Things that are no proper request and were left with neither an error nor a close, and all of them.
    pub rude: (usize, usize),
}

#[derive(Default)]
struct Tally {
    worth: Worth,
    offered: u64,
    served: u64,
    refused: u64,
    failed: u64,
    times: Vec<Micros>,
}

impl Tally {
    fn part(mut self, name: &str) -> Part {
        self.times.sort_unstable();
        let at = |share: f64| {
            let place = (self.times.len() as f64 * share) as usize;
            self.times.get(place.min(self.times.len().saturating_sub(1))).map_or(0.0, |&t| t as f64 / 1e3)
        };
        let (median_ms, p99_ms) = (at(0.5), at(0.99));
        Part {
            name: name.into(),
            worth: self.worth,
            offered: self.offered,
            served: self.served,
            refused: self.refused,
            failed: self.failed,
            median_ms,
            p99_ms,
        }
    }
}

#[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
pub(crate) fn count(terms: &Terms, view: &View) -> Service {
    let length = (view.last / 1_000_000 + 1) as usize;
    let mut seconds = vec![Second::default(); length];
    let mut classes: Vec<Tally> = terms.classes.iter().map(|_| Tally::default()).collect();
    let mut plans: Vec<Tally> = terms.plans.iter().map(|_| Tally::default()).collect();
    let mut served: HashMap<RequestId, Micros> = HashMap::new();
    for t in &view.tries {
        if let Some((at, 200, Some(Body::Made { .. }))) = t.answer() {
            let first = served.entry(t.first).or_insert(at);
            *first = at.min(*first);
        }
        let Some(&(at, end)) = t.ends.last() else { continue };
        let (class, plan) = (&mut classes[t.class], &mut plans[t.plan]);
        let second = &mut seconds[(at / 1_000_000) as usize];
        match end {
            End::Answered { status: 200, .. } => second.served += 1,
            End::Answered { status: 429 | 503, .. } => {
                second.refused += 1;
                class.refused += 1;
                plan.refused += 1;
            }
            _ => {
                second.failed += 1;
                class.failed += 1;
                plan.failed += 1;
            }
        }
    }
    let mut whole = Worth::default();
    let mut stores: HashMap<u64, Store> = HashMap::new();
    let mut firsts: Vec<&Try> = view.tries.iter().filter(|t| t.id == t.first).collect();
    firsts.sort_by_key(|t| t.at);
    let mut asked_by: BTreeMap<(u64, usize), f64> = BTreeMap::new();
    for t in &firsts {
        let (class, plan) = (&terms.classes[t.class], &terms.plans[t.plan]);
        *asked_by.entry((t.biller, t.plan)).or_default() += t.units;
        let second = &mut seconds[(t.at / 1_000_000) as usize];
        second.offered += 1;
        let time = served.get(&t.id).map(|at| at.saturating_sub(t.at));
        for tally in [&mut classes[t.class], &mut plans[t.plan]] {
            tally.offered += 1;
            tally.served += u64::from(time.is_some());
            tally.times.extend(time);
        }
        let store = stores.entry(t.biller).or_insert_with(|| Store::full(plan.burst));
        if plan.quota_rate > 0.0 && !store.take(t.at, t.units, plan.quota_rate, plan.burst) {
            continue;
        }
        let worth = class.worth * plan.worth_factor * t.units;
        let got = match time {
            Some(time) if time <= class.on_time => worth,
            Some(_) => worth * class.late_worth,
            None => 0.0,
        };
        for part in [&mut whole, &mut classes[t.class].worth, &mut plans[t.plan].worth, &mut second.worth] {
            part.add(worth, got);
        }
    }
    boxes_by_second(view, &mut seconds);
    let worst = worst_window(&seconds, firsts.last().map_or(0, |t| t.at));
    let least = |tallies: &[Tally]| tallies.iter().map(|t| t.worth.share()).fold(1.0, f64::min);
    let parts = [whole.share(), worst.0, least(&classes), least(&plans)];
    let figure = parts.iter().zip(WEIGHTS).map(|(part, weight)| part * weight).sum();
    let (billers, units) = billers(terms, view, &asked_by, length);
    let offered = firsts.len() as u64;
    let each = |n: usize| n as f64 / offered.max(1) as f64;
    let named = |tallies: Vec<Tally>, names: Vec<&String>| {
        tallies.into_iter().zip(names).map(|(tally, name)| tally.part(name)).collect()
    };
    let owed = view.rude.iter().filter(|r| r.3 == pinerelay_evidence::RudeEnd::Nothing).count();
    Service {
        figure,
        whole,
        worst,
        classes: named(classes, terms.classes.iter().map(|c| &c.name).collect()),
        plans: named(plans, terms.plans.iter().map(|p| &p.name).collect()),
        seconds,
        billers,
        offered,
        tries_each: each(view.tries.len()),
        attempts_each: each(view.attempts.len()),
        calls_each: each(view.calls as usize),
        units,
        nodes: nodes(view),
        rude: (owed, view.rude.len()),
    }
}

/// A store of units that fills by a rate; what finds it too low takes nothing.
struct Store {
    units: f64,
    at: Micros,
}

impl Store {
    fn full(burst: f64) -> Self {
        Store { units: burst, at: 0 }
    }

    fn take(&mut self, at: Micros, units: f64, rate: f64, burst: f64) -> bool {
        self.units = (self.units + rate * at.saturating_sub(self.at) as f64 / 1e6).min(burst);
        self.at = self.at.max(at);
        let has = self.units + 1e-9 >= units;
        if has {
            self.units -= units;
        }
        has
    }
}

fn boxes_by_second(view: &View, seconds: &mut [Second]) {
    use pinerelay_evidence::Listed;
    // As the first node's list has it: the lists differ by their lateness alone.
    let Some(&node) = view.held.keys().map(|(node, _)| node).min() else { return };
    let mut changes: Vec<_> = (view.held.iter())
        .filter(|((n, _), _)| *n == node)
        .flat_map(|((_, b), held)| held.iter().map(move |&(at, says)| (at, *b, says == Listed::Up)))
        .collect();
    changes.sort_by_key(|c| c.0);
    let mut up = std::collections::BTreeSet::new();
    let mut changes = changes.into_iter().peekable();
    for (n, second) in seconds.iter_mut().enumerate() {
        while let Some((_, b, in_service)) = changes.next_if(|c| c.0 < (n as u64 + 1) * 1_000_000) {
            if in_service {
                up.insert(b);
            } else {
                up.remove(&b);
            }
        }
        second.boxes = up.len() as u32;
    }
}

fn worst_window(seconds: &[Second], last: Micros) -> (f64, usize) {
    let end = ((last / 1_000_000 + 1) as usize).min(seconds.len());
    let length = WINDOW.min(end).max(1);
    let mut worst = (1.0, 0);
    for from in 0..=end.saturating_sub(length) {
        let mut worth = Worth::default();
        seconds[from..(from + length).min(end)].iter().for_each(|s| worth.add(s.worth.asked, s.worth.got));
        if worth.share() < worst.0 {
            worst = (worth.share(), from);
        }
    }
    worst
}

fn billers(
    terms: &Terms,
    view: &View,
    asked_by: &BTreeMap<(u64, usize), f64>,
    length: usize,
) -> (Vec<Biller>, (f64, f64)) {
    let mut sends: BTreeMap<(u64, usize), Vec<(Micros, f64)>> = BTreeMap::new();
    for t in &view.tries {
        if let Some(&first) = t.attempts.first() {
            let send = (view.attempts[first].whole, t.units);
            sends.entry((t.biller, t.plan)).or_default().push(send);
        }
    }
    let mut all = (0.0, 0.0);
    let mut billers = Vec::new();
    for (&(biller, plan_number), &asked) in asked_by {
        let plan = &terms.plans[plan_number];
        let mut sends = sends.remove(&(biller, plan_number)).unwrap_or_default();
        sends.sort_by_key(|s| s.0);
        let (mut sent, mut beyond) = (0.0, 0.0);
        let mut store = Store::full(plan.burst);
        let mut ceiling = Store::full(plan.ceiling_burst);
        let mut used = CeilingUse {
            least: plan.ceiling_burst,
            allowed: -plan.ceiling_slack,
            by_second: vec![0.0; length],
            rate: plan.ceiling_rate,
        };
        for (at, units) in sends {
            sent += units;
            if plan.quota_rate > 0.0 && !store.take(at, units, plan.quota_rate, plan.burst) {
                beyond += units;
            }
            let grown = ceiling.units + plan.ceiling_rate * at.saturating_sub(ceiling.at) as f64 / 1e6;
            ceiling = Store { units: grown.min(plan.ceiling_burst) - units, at };
            used.least = used.least.min(ceiling.units);
            used.by_second[(at / 1_000_000) as usize] += units;
        }
        all = (all.0 + sent, all.1 + beyond);
        let ceiling = (plan.ceiling_rate > 0.0).then_some(used);
        let (biller, plan) = (crate::hex(biller), plan.name.clone());
        billers.push(Biller { biller, plan, asked, sent, beyond, ceiling });
    }
    billers.sort_by(|a, b| b.beyond.total_cmp(&a.beyond).then_with(|| a.biller.cmp(&b.biller)));
    (billers, all)
}

fn nodes(view: &View) -> Vec<NodeUse> {
    let mut requests: BTreeMap<u32, u64> = BTreeMap::new();
    for writing in view.tries.iter().flat_map(|t| &t.writings) {
        *requests.entry(writing.node).or_default() += 1;
    }
    let used = |node: u32| -> (Micros, u64) {
        let samples = view.used.get(&node).map_or(&[][..], |s| s);
        let mut cpu = 0;
        let mut last = 0;
        for &(_, at, _) in samples {
            // A restarted node counts from nothing again.
            cpu += if at >= last { at - last } else { at };
            last = at;
        }
        (cpu, samples.iter().map(|s| s.2).max().unwrap_or(0))
    };
    let of = |(&node, &requests): (&u32, &u64)| {
        let (cpu, rss_kib) = used(node);
        NodeUse { node, requests, cpu_us: cpu as f64 / requests.max(1) as f64, rss_kib }
    };
    requests.iter().map(of).collect()
}
