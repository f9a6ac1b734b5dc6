//! The decisions of one gateway node: its state, and what each event leads to. The types it speaks are in
//! `interface.rs`. The ordinary path is DSRT: a request within its customer's quota draws on the node's lease
//! and goes to a server; beyond the quota it is refused with a spaced retry-after. Reading order: this file,
//! `leases`, `deferral`, `choice`, `attempts`, `overload`.

mod attempts;
mod choice;
mod deferral;
mod leases;
mod overload;

use std::collections::{BTreeMap, VecDeque};

use crate::interface::{
    Action, CountName, CustomerId, Effect, Ended, Event, Group, ListKind, Member, MemberState, Micros,
    NewRequest, Outcome, Plan, Reason, RequestId, ServerId, Settings, Stage,
};
use crate::measure::{lot, mix, Bucket, Rate, Tally, GOLDEN};
use crate::schedule::Schedule;
use leases::{Call, Verdict, KEEP};

/// Housekeeping period: rescues, half-open servers, held requests, give-backs.
const TICK: Micros = 20_000;
/// Danger: of the few requests that one node has out the number swings by chance, and overload is judged by
/// it. A tick's weight in its mean: over 0.2 s, some times what a request takes.
const HELD_GAIN: f64 = 0.1;
/// A lease untouched for this long is handed back.
const LEASE_IDLE: Micros = 3_000_000;
/// A customer is kept for this long at least, and all are looked through so often.
const FORGET: Micros = 6_000_000;
const SWEEP: Micros = 500_000;
/// Smoothing of demand and draw rates: a few requests of a busy customer, less than a spike lasts.
pub(crate) const RATE_SPAN: f64 = 2.0e6;
/// Smoothing of the rate of answers: some tens of answers, and well within an overload's onset.
const DONE_SPAN: f64 = 1.5e6;
/// The first back-off from a failing counter.
const COUNTER_REST: Micros = 50_000;
/// The latency assumed before the first answer.
const LATENCY_START: f64 = 100_000.0;
/// How long failures by kind are remembered.
pub(crate) const TALLY_SPAN: f64 = 15.0e6;
/// Failures are told apart by kind: classes from 0, plans from here on. There may come to be more classes.
const PLANS: usize = 1 << 32;
/// The most that the retry budget saves up, in further attempts.
const RETRY_STORE: f64 = 20.0;

#[derive(Default)]
struct Customer {
    plan: usize,
    spread: f64,
    lease: f64,
    /// The fleet's bucket as the counter's totals tell it.
    level: f64,
    level_at: Micros,
    /// Looks at the total, and those that found it empty.
    looks: Tally,
    /// How many unasked requests the next call stands for.
    stands: f64,
    /// Last total seen, and in which window; none before the first answer.
    seen: Option<(u64, f64)>,
    others: Rate,
    /// What clients ask here, and what is drawn here.
    asked: Rate,
    drawn: Rate,
    mean: f64,
    call: Option<Call>,
    waiting: VecDeque<RequestId>,
    /// Let in on the even share and not yet told to the counter.
    untold: f64,
    /// Even share of quota while the counter is away.
    share: Option<Bucket>,
    promises: Schedule,
    open: u32,
    used_at: Micros,
}

struct Attempt {
    server: ServerId,
    /// The server's zone and cell: the request's group outlives the server.
    place: (u32, u32),
    sent: Micros,
    out: bool,
    /// It is one of its customer's open ones.
    open: bool,
    /// A long body is being passed on: its time tells of the peers' pace.
    streams: bool,
}

#[derive(Default)]
struct Request {
    customer: CustomerId,
    class: usize,
    plan: usize,
    units: f64,
    /// Most attempts, as it stood when it came.
    try_limit: u32,
    arrived: Micros,
    due: Micros,
    marked: bool,
    drew: f64,
    attempts: Vec<Attempt>,
    /// First attempt that may have run: when it was sent, and in which zone and cell.
    ran: Option<(Micros, (u32, u32))>,
    answered: bool,
    stream: bool,
}

#[derive(Default)]
pub(crate) struct Server {
    zone: u32,
    cell: u32,
    size: f64,
    listed: bool,
    /// Among the first on the ring.
    near: bool,
    /// Removed, or on no list any more.
    gone: bool,
    started: Micros,
    out: VecDeque<Micros>,
    pub(crate) latency: f64,
    done: Rate,
    /// How attempts ended, by kind: class or plan.
    pub(crate) tally: BTreeMap<usize, Tally>,
    heard: Micros,
    /// When the latest of the attempts was sent that it has answered.
    answered: Micros,
    strikes: u32,
    /// Connections to it that broke under a request since its last answer.
    breaks: u32,
    ejected: Micros,
    slow: Bucket,
}

/// The decision module of one node.
#[derive(Default)]
pub struct Controller {
    stopping: bool,
    set: Settings,
    random: u64,
    pub(crate) now: Micros,
    begun: Micros,
    /// When customers and servers were last looked through.
    swept: Micros,
    ticking: bool,
    customers: BTreeMap<CustomerId, Customer>,
    /// Calls out, by name: one at a time for a customer.
    calls: BTreeMap<CountName, CustomerId>,
    counter_rest: Micros,
    counter_until: Micros,
    /// The share of requests without a lease that ask the counter: AIMD on its answers.
    asking: f64,
    /// What a guess loses in the mean.
    stakes: f64,
    /// By plan, the looks at totals and those that found nothing.
    looks: BTreeMap<usize, Tally>,
    requests: BTreeMap<RequestId, Request>,
    parked: VecDeque<RequestId>,
    /// How long new tries of a class wait.
    patience: BTreeMap<usize, Micros>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// The listed servers in the order in which this node turns to them; how many of them it keeps to.
    ring: Vec<ServerId>,
    reach: usize,
    /// The highest rate at which it has lately sent.
    peak: Rate,
    /// Whether a listed server is warm for sure; what such a one carries for this node, requests a second for
    /// size 1, and how long an answer usually takes there. Both stay as they were while none is warm.
    any_warm: bool,
    pub(crate) carried: Rate,
    pub(crate) usual: f64,
    /// For how long these two were measured, in microseconds.
    pub(crate) measured: f64,
    pub(crate) latency: f64,
    pub(crate) deviation: f64,
    /// What is out at servers that answer, smoothed.
    held: f64,
    /// How attempts ended over the fleet, by kind.
    pub(crate) tally: BTreeMap<usize, Tally>,
    /// The share of answers and breaks over the fleet that are breaks.
    breaks: Tally,
    times: Tally,
    pub(crate) sends: Rate,
    retries: f64,
    /// What the process before this one knew of servers that are not listed here yet.
    pub(crate) recalled: BTreeMap<ServerId, (f64, BTreeMap<usize, Tally>)>,
}

impl Controller {
    /// A node at its start. It knows no servers until the first list comes.
    pub fn new(seed: u64, set: Settings) -> Self {
        Controller {
            set,
            random: seed,
            counter_rest: COUNTER_REST,
            asking: 1.0,
            latency: LATENCY_START,
            usual: LATENCY_START,
            deviation: LATENCY_START / 2.0,
            retries: RETRY_STORE / 2.0,
            ..Controller::default()
        }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.ticking {
            (self.ticking, self.begun) = (true, now);
            out.push(Action::Timer { id: 0, after: TICK });
        }
        match event {
            Event::Members { kind, entries } => self.on_members(kind, entries, out),
            Event::Request(new) => self.on_request(new, out),
            Event::Began { id } => self.requests.get_mut(&id).into_iter().for_each(|r| r.stream = true),
            Event::Streams { id, attempt, stage } => self.on_streams(&id, attempt, stage),
            Event::Ended(end) => self.on_ended(end, out),
            Event::Gone { id } => self.close(&id),
            Event::Counted { name, outcome, total } => self.on_counted(name, outcome, total, out),
            Event::Timer { .. } => self.on_tick(out),
            Event::Stopping => self.hand_back(0, out),
            // Danger: what is open must not change its effect in flight. A table that shrank is not taken.
            Event::Retuned { classes, try_limit } if classes.len() >= self.set.classes.len() => {
                (self.set.classes, self.set.limits.try_limit) = (classes, try_limit);
            }
            Event::Placed { me, nodes } => {
                (self.set.me, self.set.nodes) = (me, nodes);
                self.arrange();
            }
            Event::Retuned { .. } | Event::Probed { .. } => {}
        }
    }

    /// How many customers and app servers something is kept of.
    pub fn kept(&self) -> (usize, usize) {
        (self.customers.len(), self.servers.len())
    }

    /// Whether a listed server gets nothing new for now.
    pub fn avoids(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|s| s.listed && (s.ejected > self.now || self.silent(s)))
    }

    fn on_request(&mut self, new: NewRequest, out: &mut Vec<Action>) {
        if new.class >= self.set.classes.len() || self.requests.contains_key(&new.id) {
            return;
        }
        let (now, id, key) = (self.now, new.id, new.customer);
        let units = if new.units.is_finite() { new.units.max(0.0) } else { 1.0 };
        let spread = new.spread.clamp(1, self.set.nodes.max(1)) as f64;
        // Danger: under a hard ceiling nodes may restart in any number while the counter is empty.
        let first = |p: &Plan| if p.ceiling_rate > 0.0 { p.burst / spread / 2.0 } else { p.burst };
        let level = self.set.plans.get(new.plan).map_or(0.0, first);
        let fresh = || Customer { level, level_at: now, mean: units, ..Customer::default() };
        let c = self.customers.entry(key).or_insert_with(fresh);
        (c.plan, c.spread, c.used_at) = (new.plan, spread, now);
        c.asked.add(now, units, RATE_SPAN);
        c.mean += (units - c.mean) * 0.1;
        let (class, plan, due, marked) = (new.class, new.plan, new.due, new.marked_retry);
        let (arrived, try_limit) = (now, self.set.limits.try_limit);
        let r = Request { customer: key, class, plan, units, try_limit, ..Request::default() };
        let request = Request { due, marked, arrived, ..r };
        self.requests.insert(id.clone(), request);
        if !new.marked_retry {
            self.patience.insert(new.class, new.due.saturating_sub(now));
        }
        // Danger: a try that comes as its client gives up is overdue before any answer could come.
        if let Some(over) = self.overloaded(&id) {
            let told = self.set.limits.retry_after && !marked;
            let relief = over.clamp(TICK, self.set.limits.max_retry_after.max(TICK));
            return self.refuse(&id, if told { relief } else { 0 }, Reason::Overload, out);
        }
        if self.hopeless(&id) || now + TICK + self.latency as Micros / 4 > new.due {
            return self.refuse(&id, 0, Reason::Overdue, out);
        }
        match self.draw(&id, true, out) {
            Verdict::Granted => self.launch(&id, out),
            Verdict::Held => {
                if let Some(c) = self.customers.get_mut(&key) {
                    c.waiting.push_back(id);
                }
            }
            Verdict::Beyond(why) => self.beyond(&id, why, out),
        }
    }

    /// Whether a marked return can no longer earn its worth: its client's time, counted back from when it
    /// gives up, is past the aim. A new try's span tells nothing of that, so an equal one is let be.
    fn hopeless(&self, id: &RequestId) -> bool {
        let Some(r) = self.requests.get(id).filter(|r| r.marked) else { return false };
        let class = &self.set.classes[r.class];
        let span = r.due.saturating_sub(r.arrived);
        let fresh = self.patience.get(&r.class).is_some_and(|&p| p.abs_diff(span) < p / 50);
        let gone = class.deadline.saturating_sub(span) as f64;
        !fresh && class.late_worth < 0.5 && gone + self.latency / 2.0 > class.on_time as f64
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Timer { id: 0, after: TICK });
        let now = self.now;
        let held: usize =
            self.servers.values().filter(|s| s.listed && self.well(s)).map(|s| self.working(s)).sum();
        self.held += (held as f64 - self.held) * HELD_GAIN;
        self.measure_warm();
        for id in std::mem::take(&mut self.parked) {
            let Some(r) = self.requests.get(&id) else { continue };
            // Danger: what is turned away late has cost its client the time to go elsewhere.
            let patience = self.set.classes[r.class].on_time.min(r.due.saturating_sub(r.arrived) / 2);
            if now + 2 * TICK >= r.arrived + patience {
                self.give_up(&id, Reason::NoServer, out);
            } else {
                self.launch(&id, out);
            }
        }
        self.rescue(out);
        let silent: Vec<_> = self.servers.iter().filter(|(_, s)| self.silent(s)).map(|(&k, _)| k).collect();
        silent.into_iter().for_each(|key| self.strike(key));
        if now >= self.swept + SWEEP {
            self.swept = now;
            let idle = if self.asking > 0.5 { LEASE_IDLE } else { Micros::MAX };
            self.hand_back(idle, out);
            self.forget();
            self.keep_to();
        }
    }

    /// Danger: app servers and customers are ever new, and what is kept of each grows without end. A server
    /// goes once it is removed and nothing is out there, a customer once its bucket must be full again and
    /// its lease is handed back: a new one is told the same by the counter.
    fn forget(&mut self) {
        let now = self.now;
        self.servers.retain(|_, s| !s.gone || !s.out.is_empty());
        let full = |c: &Customer| {
            let plan = self.set.plans.get(c.plan).filter(|p| p.quota_rate > 0.0);
            plan.map_or(0, |p| (p.burst / p.quota_rate * 1e6) as Micros).max(FORGET)
        };
        let idle = |c: &Customer| c.open == 0 && c.call.is_none() && c.waiting.is_empty();
        let over = |c: &Customer| now > c.used_at + if c.lease > c.mean / 2.0 { KEEP } else { full(c) };
        self.customers.retain(|_, c| !(idle(c) && over(c)));
    }
}
