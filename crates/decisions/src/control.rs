//! The decisions of one gateway node, as a state machine: [`Controller`] handles events and emits actions
//! (types in `interface.rs`). A request within its customer's quota draws on the node's quota lease and is
//! sent to a server; beyond the quota it is refused with a spaced retry-after (DSRT). Reading order: this
//! file, `leases`, `deferral`, `choice`, `attempts`, `overload`.

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
use crate::measure::{mix, uniform, Bucket, DecayingMean, Rate, GOLDEN};
use crate::schedule::Schedule;
use leases::{Call, Draw, COUNT_TTL};

/// Period of the housekeeping tick: silent and half-open servers, parked requests, idle leases.
const TICK: Micros = 20_000;
/// Weight of one tick in the mean of active attempts: smooths over 0.2 s, a few times a request's duration.
/// One node has few requests out, so that their number fluctuates, and overload is judged by it.
const ACTIVE_GAIN: f64 = 0.1;
/// The lease of a customer without requests for this long is returned, unless the counter is overloaded.
const LEASE_IDLE: Micros = 3_000_000;
/// An idle customer's state is kept at least this long.
const CUSTOMER_KEEP: Micros = 6_000_000;
const SWEEP_PERIOD: Micros = 500_000; // Interval of returning leases, evicting state, sizing the subset.
/// Time constant of demand, draw and send rates: a few requests of a busy customer, shorter than a spike.
pub(crate) const RATE_SPAN: f64 = 2.0e6; // Microseconds.
/// Time constant of the rate of answers: some tens of answers, well within the onset of an overload.
const DONE_SPAN: f64 = 1.5e6; // Microseconds.
/// The first backoff after a failed counter call.
const COUNTER_BACKOFF: Micros = 50_000;
/// The latency assumed before the first answer, in microseconds.
const INITIAL_LATENCY: f64 = 100_000.0;
/// Time constant of failure shares, in microseconds.
pub(crate) const FAIL_SPAN: f64 = 15.0e6;
/// Failures are counted by kind: a class's index, or a plan's plus this. Classes may be added later.
const PLAN_KINDS: usize = 1 << 32;
/// Most retries that the retry budget accumulates.
const RETRIES_MAX: f64 = 20.0;

#[derive(Default)]
struct Customer {
    plan: usize,
    /// Number of nodes that its requests come to.
    spread: f64,
    /// Units leased from the counter and not yet drawn.
    lease: f64,
    /// Level of its fleet-wide bucket by the counter's total at `level_at`, in units.
    level: f64,
    level_at: Micros,
    /// Share of its lease calls that were not granted in full.
    shortfall_share: DecayingMean,
    /// Requests admitted without a call for each one that calls, if the open call is such a sample.
    unasked_per_call: f64,
    /// The counter's last window and total; none before the first answer.
    last_total: Option<(u64, f64)>,
    /// Units per second: drawn at other nodes, requested here, drawn here.
    others: Rate,
    demand_rate: Rate,
    draw_rate: Rate,
    mean: f64, // EWMA of the units of its requests.
    call: Option<Call>,
    /// Requests that wait for the open call.
    waiting: VecDeque<RequestId>,
    /// Units admitted without a lease and not yet reported to the counter.
    unreported: f64,
    /// This node's even share of the quota while the counter gives no answer.
    local_share: Option<Bucket>,
    promises: Schedule,
    /// Attempts that count towards the plan's concurrency quota.
    open: u32,
    used_at: Micros, // When its latest request arrived.
}

struct Attempt {
    server: ServerId,
    /// The server's zone and cell, kept here since the server may leave the list earlier.
    location: (u32, u32),
    sent_at: Micros,
    pending: bool,
    /// Counts towards its customer's concurrency quota.
    counted: bool,
    /// A long body is being streamed, so its duration depends on its peers' speed.
    streaming: bool,
}

#[derive(Default)]
struct Request {
    customer: CustomerId,
    class: usize,
    plan: usize,
    units: f64,
    /// Most attempts, by the settings at its arrival.
    try_limit: u32,
    arrived: Micros,
    due: Micros, // When the client gives up this try.
    is_retry: bool,
    drawn_units: f64,
    attempts: Vec<Attempt>,
    /// The earliest attempt that may have been executed: when it was sent, and its zone and cell.
    first_run: Option<(Micros, (u32, u32))>,
    answered: bool,
    is_streamed: bool,
}

#[derive(Default)]
pub(crate) struct Server {
    zone: u32,
    cell: u32,
    size: f64,
    listed: bool,
    /// Whether this node uses it ordinarily.
    in_subset: bool,
    /// Removed, or missing from the last complete list.
    removed: bool,
    started: Micros,
    /// When each pending attempt was sent, except those that stream.
    in_flight: VecDeque<Micros>,
    pub(crate) latency: f64, // EWMA, in microseconds.
    answers: Rate,           // Successful answers that are not streamed, and resets that do not eject it.
    /// Share of attempts that failed, by kind: class or plan.
    pub(crate) failures: BTreeMap<usize, DecayingMean>,
    /// When it last answered, or was added to the list.
    seen_at: Micros,
    /// The latest send time among the attempts that it answered.
    newest_answered: Micros,
    /// Ejections since its last answer.
    ejects: u32,
    /// Attempts that ended by a connection reset since its last answer.
    resets: u32,
    eject_end: Micros,
    /// Token bucket, one token per request: limits how fast it is sent requests while it is cold.
    slow_start: Bucket,
}

/// The state machine that makes one node's decisions.
#[derive(Default)]
pub struct Controller {
    stopping: bool,
    settings: Settings,
    random: u64,
    pub(crate) now: Micros,
    first_event_at: Micros,
    last_sweep_at: Micros,
    ticking: bool,
    customers: BTreeMap<CustomerId, Customer>,
    /// Open counter calls by key; at most one for each customer.
    calls: BTreeMap<CountName, CustomerId>,
    counter_backoff: Micros,
    counter_up_at: Micros,
    /// Share of the requests without a lease that call the counter, by AIMD on its answers.
    ask_share: f64,
    /// Mean expected loss of deciding without a call.
    mean_stake: f64,
    /// By plan, the share of lease calls that were not granted in full.
    shortfall_by_plan: BTreeMap<usize, DecayingMean>,
    requests: BTreeMap<RequestId, Request>,
    /// Requests that wait for an eligible server.
    parked: VecDeque<RequestId>,
    /// By class, how long the client waited at its latest try that is no retry.
    patience: BTreeMap<usize, Micros>,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// The listed servers in this node's order of preference; it ordinarily uses the first `subset_size`.
    ring: Vec<ServerId>,
    subset_size: usize,
    /// The highest recent send rate, in requests per second.
    peak: Rate,
    /// Whether a listed server is surely warm, by its age.
    any_warm: bool,
    /// Answers per second that a warm server of size 1 gives this node; kept while no server is warm.
    pub(crate) warm_rate: Rate,
    pub(crate) base: f64, // Usual latency of warm servers, in microseconds; kept like `warm_rate`.
    /// For how long `warm_rate` and `base` have been measured in total, in microseconds.
    pub(crate) warm_measured_for: f64,
    pub(crate) latency: f64,   // EWMA over all servers, in microseconds.
    pub(crate) deviation: f64, // EWMA of the samples' absolute deviation from `latency`.
    /// Smoothed `active_count` of all healthy listed servers: without attempts that stream or count as lost.
    active_mean: f64,
    /// Share of attempts over all servers that failed, by kind.
    pub(crate) failures: BTreeMap<usize, DecayingMean>,
    /// Over all servers: resets as a share of answers and resets, and the mean of recent latencies.
    reset_share: DecayingMean,
    recent: DecayingMean,
    pub(crate) send_rate: Rate,
    retry_budget: f64,
    /// State restored from the previous process for servers that are not listed yet.
    pub(crate) restored: BTreeMap<ServerId, (f64, BTreeMap<usize, DecayingMean>)>,
}

impl Controller {
    /// Creates the controller of a node that starts. It knows no servers until the first list arrives.
    pub fn new(seed: u64, settings: Settings) -> Self {
        Controller {
            settings,
            random: seed,
            counter_backoff: COUNTER_BACKOFF,
            ask_share: 1.0,
            latency: INITIAL_LATENCY,
            base: INITIAL_LATENCY,
            deviation: INITIAL_LATENCY / 2.0,
            retry_budget: RETRIES_MAX / 2.0,
            ..Controller::default()
        }
    }

    /// Handles one event at the time `now` and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.ticking {
            (self.ticking, self.first_event_at) = (true, now);
            out.push(Action::Timer { id: 0, after: TICK });
        }
        match event {
            Event::Members { kind, entries } => self.on_members(kind, entries, out),
            Event::Request(new) => self.on_request(new, out),
            Event::Began { id } => self.requests.get_mut(&id).into_iter().for_each(|r| r.is_streamed = true),
            Event::Streaming { id, attempt, stage } => self.on_streams(&id, attempt, stage),
            Event::Ended(end) => self.on_ended(end, out),
            Event::ClientGone { id } => self.close(&id),
            Event::CounterReply { name, outcome, total } => self.on_count(name, outcome, total, out),
            Event::Timer { .. } => self.on_tick(out),
            Event::Stopping => self.return_leases(0, out),
            // Open requests refer to classes by index and must keep their effect: no shorter table is taken.
            Event::SettingsChanged { classes, try_limit } if classes.len() >= self.settings.classes.len() => {
                (self.settings.classes, self.settings.limits.try_limit) = (classes, try_limit);
            }
            Event::NodesChanged { me, nodes } => {
                (self.settings.me, self.settings.nodes) = (me, nodes);
                self.rebuild_ring();
            }
            Event::SettingsChanged { .. } | Event::Probed { .. } => {}
        }
    }

    /// How many customers and servers the controller keeps state of.
    pub fn state_counts(&self) -> (usize, usize) {
        (self.customers.len(), self.servers.len())
    }

    /// Whether a listed server gets no new attempts for now.
    pub fn avoids(&self, server: ServerId) -> bool {
        self.servers.get(&server).is_some_and(|s| s.listed && (s.eject_end > self.now || self.silent(s)))
    }

    fn on_request(&mut self, new: NewRequest, out: &mut Vec<Action>) {
        if new.class >= self.settings.classes.len() || self.requests.contains_key(&new.id) {
            return;
        }
        let (now, id, key) = (self.now, new.id, new.customer);
        let units = if new.units.is_finite() { new.units.max(0.0) } else { 1.0 };
        let spread = new.spread.clamp(1, self.settings.nodes.max(1)) as f64;
        // Any number of nodes may restart while the counter is empty: under a ceiling each assumes little.
        let initial = |p: &Plan| if p.ceiling_rate > 0.0 { p.burst / spread / 2.0 } else { p.burst };
        let level = self.settings.plans.get(new.plan).map_or(0.0, initial);
        let fresh = || Customer { level, level_at: now, mean: units, ..Customer::default() };
        let c = self.customers.entry(key).or_insert_with(fresh);
        (c.plan, c.spread, c.used_at) = (new.plan, spread, now);
        c.demand_rate.add(now, units, RATE_SPAN);
        c.mean += (units - c.mean) * 0.1;
        let (class, plan, due, is_retry) = (new.class, new.plan, new.due, new.marked_retry);
        let (arrived, try_limit) = (now, self.settings.limits.try_limit);
        let r = Request { customer: key, class, plan, units, try_limit, ..Request::default() };
        let request = Request { due, is_retry, arrived, ..r };
        self.requests.insert(id.clone(), request);
        if !new.marked_retry {
            self.patience.insert(new.class, new.due.saturating_sub(now));
        }
        if let Some(ends_in) = self.overload_ends_in(&id) {
            let advises = self.settings.limits.retry_after && !is_retry;
            let advice = ends_in.clamp(TICK, self.settings.limits.max_retry_after.max(TICK));
            return self.refuse(&id, if advises { advice } else { 0 }, Reason::Overload, out);
        }
        // A try that arrives as its client gives up would be overdue before any answer.
        if self.is_hopeless(&id) || now + TICK + self.latency as Micros / 4 > new.due {
            return self.refuse(&id, 0, Reason::Overdue, out);
        }
        match self.draw(&id, true, out) {
            Draw::Granted => self.launch(&id, out),
            Draw::Pending => {
                if let Some(c) = self.customers.get_mut(&key) {
                    c.waiting.push_back(id);
                }
            }
            Draw::Denied(why) => self.defer(&id, why, out),
        }
    }

    /// Whether a marked retry can't be answered on time any more: its first try, counted back from when its
    /// client gives up, is too long ago. That is unknown, so false, where its span equals a new try's.
    fn is_hopeless(&self, id: &RequestId) -> bool {
        let Some(r) = self.requests.get(id).filter(|r| r.is_retry) else { return false };
        let class = &self.settings.classes[r.class];
        let span = r.due.saturating_sub(r.arrived);
        let fresh = self.patience.get(&r.class).is_some_and(|&p| p.abs_diff(span) < p / 50);
        let elapsed = class.deadline.saturating_sub(span) as f64;
        !fresh && class.late_worth < 0.5 && elapsed + self.latency / 2.0 > class.on_time as f64
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Timer { id: 0, after: TICK });
        let now = self.now;
        let active: usize =
            self.servers.values().filter(|s| s.listed && self.healthy(s)).map(|s| self.active_count(s)).sum();
        self.active_mean += (active as f64 - self.active_mean) * ACTIVE_GAIN;
        self.measure_warm();
        for id in std::mem::take(&mut self.parked) {
            let Some(r) = self.requests.get(&id) else { continue };
            // Refused late, its client would have no time left to try elsewhere.
            let patience = self.settings.classes[r.class].on_time.min(r.due.saturating_sub(r.arrived) / 2);
            if now + 2 * TICK >= r.arrived + patience {
                self.give_up(&id, Reason::NoServer, out);
            } else {
                self.launch(&id, out);
            }
        }
        self.cancel_at_silent(out);
        let silent: Vec<_> = self.servers.iter().filter(|(_, s)| self.silent(s)).map(|(&k, _)| k).collect();
        silent.into_iter().for_each(|key| self.eject(key));
        if now >= self.last_sweep_at + SWEEP_PERIOD {
            self.last_sweep_at = now;
            let idle = if self.ask_share > 0.5 { LEASE_IDLE } else { Micros::MAX };
            self.return_leases(idle, out);
            self.evict_idle();
            self.update_subset();
        }
    }

    /// Evicts removed servers without attempts in flight, and idle customers whose bucket must be full again
    /// and whose lease is returned: the counter would report the same of a new customer. New servers and
    /// customers keep coming, so that without this the state grows without bound.
    fn evict_idle(&mut self) {
        let now = self.now;
        self.servers.retain(|_, s| !s.removed || !s.in_flight.is_empty());
        let ttl = |c: &Customer| {
            let plan = self.settings.plans.get(c.plan).filter(|p| p.quota_rate > 0.0);
            plan.map_or(0, |p| (p.burst / p.quota_rate * 1e6) as Micros).max(CUSTOMER_KEEP)
        };
        let idle = |c: &Customer| c.open == 0 && c.call.is_none() && c.waiting.is_empty();
        let aged = |c: &Customer| now > c.used_at + if c.lease > c.mean / 2.0 { COUNT_TTL } else { ttl(c) };
        self.customers.retain(|_, c| !(idle(c) && aged(c)));
    }
}
