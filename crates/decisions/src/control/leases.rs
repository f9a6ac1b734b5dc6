//! Quota leases: units taken in advance from the shared counter, and the even share while it gives no answer.

use super::overload::SHED_DEAREST;
use super::{
    mix, uniform, Action, Bucket, Controller, CountName, Customer, CustomerId, Micros, Outcome, Plan, Reason,
    RequestId, COUNTER_BACKOFF, FAIL_SPAN, GOLDEN, RATE_SPAN,
};

/// The time, in microseconds, whose recent demand a lease covers: short, so that little lies idle.
const LEASE_SPAN: f64 = 0.5e6;
const LEASE_REQUESTS: f64 = 3.0; // At least so many mean requests, up to the node's part of the burst.
/// A customer's total gets a new key after this long: much longer than a burst, and within its time to live.
const WINDOW: Micros = 30_000_000;
pub(super) const COUNT_TTL: Micros = 60_000_000; // How long the counter keeps a total.
/// What an overloaded fleet adds to the cost of a request admitted on a guess, as a share of its worth.
const LOAD_COST: f64 = 0.5;
/// While a customer is active, its open attempts at other nodes relative to their mean.
const BURST_FACTOR: f64 = 3.0;
/// AIMD of `ask_share`, the share of requests without a lease that call the counter.
const ASK_INCREASE: f64 = 0.10; // Added to it after a prompt answer.
const ASK_DECREASE: f64 = 0.85; // Factor on it after a late answer or a failed call.
const ASK_MIN: f64 = 4.0; // Its minimum times the number of nodes; it is never below 0.05.
/// The backoff after failed counter calls doubles from `COUNTER_BACKOFF` up to this.
const COUNTER_BACKOFF_MAX: Micros = 800_000;
/// Refill that overflowed the bucket is removed from the total from this share of the burst on. What is left
/// would be granted beyond the burst by each node that has not read the total lately.
const OVERFLOW_MIN: f64 = 0.1;
/// How often a total is read again after an unreadable answer or a connection reset.
const REREADS: u32 = 1;

/// An open call to the counter.
pub(super) struct Call {
    /// Units to lease; negative: to return or to remove from the total.
    pub(super) amount: f64,
    /// The total's window: a late answer, applied to the next one, would leave the customer nothing in it.
    window: u64,
    /// Units drawn without a lease that it reports as well.
    pub(super) reported: f64,
    pub(super) sampled: f64, // The part of `reported` that is estimated from a sample.
    pub(super) at: Micros,   // When it, or the repeated reading, was sent.
    /// Times that its answer was unreadable, or missing after a connection reset.
    pub(super) unread: u32,
    /// Whether its amount was added is unknown.
    pub(super) in_doubt: bool,
}

pub(super) enum Draw {
    Granted,
    /// The request waits for the customer's open call.
    Pending,
    Denied(Reason),
}

impl Controller {
    pub(super) fn counter_up(&self) -> bool {
        self.settings.counter.allowed && self.now >= self.counter_up_at
    }

    /// Draws a request's units from the lease, the even share or on a guess; else it waits for a call or is
    /// denied. `is_new`: it queues behind the waiting requests; otherwise it is the first of them.
    #[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
    pub(super) fn draw(&mut self, id: &RequestId, is_new: bool, out: &mut Vec<Action>) -> Draw {
        let (now, up) = (self.now, self.counter_up());
        let Some(request) = self.requests.get_mut(id) else { return Draw::Denied(Reason::Overdue) };
        let Some(c) = self.customers.get_mut(&request.customer) else { return Draw::Denied(Reason::Overdue) };
        let Some(plan) = self.settings.plans.get(request.plan) else { return Draw::Granted };
        let (key, units, credit) =
            (request.customer, request.units, self.settings.classes[request.class].credit);
        if plan.open_limit > 0 {
            // Open attempts at other nodes are estimated by their recent draws, and as geometric since
            // customers come in bursts. An attempt beyond the limit costs more than one within it earns.
            let other = match c.last_total {
                Some(_) => BURST_FACTOR * c.others.get(now, RATE_SPAN) / c.mean.max(0.1) * self.latency / 1e6,
                None => plan.open_limit as f64 * (1.0 - 1.0 / c.spread),
            };
            let p_full = (other / (1.0 + other)).powi(plan.open_limit.saturating_sub(c.open) as i32);
            if p_full * (1.0 + (plan.excess_cost - plan.extra_worth).max(0.0)) >= 1.0 {
                return Draw::Denied(Reason::ConcurrencyQuota);
            }
        }
        if plan.quota_rate <= 0.0 {
            return Draw::Granted;
        }
        if c.lease >= units && (!is_new || c.waiting.is_empty()) {
            c.lease -= units;
            request.drawn_units = units;
            c.draw_rate.add(now, units, RATE_SPAN);
            let ahead = c.demand_rate.get(now, RATE_SPAN) * LEASE_SPAN / 1e6;
            if up && c.call.is_none() && ahead > LEASE_REQUESTS * c.mean && c.lease < ahead / 2.0 {
                self.refill(key, 0.0, out);
            }
            return Draw::Granted;
        }
        let queued: f64 = c.waiting.iter().filter_map(|w| self.requests.get(w)).map(|w| w.units).sum();
        let queued = if is_new { queued } else { 0.0 };
        let left = projected_level(c, plan, now);
        if let (true, Some(call)) = (up, &c.call) {
            let refilled = c.lease + call.amount.min(left).max(0.0);
            let suffices = refilled - queued >= units || left - call.amount.max(0.0) - queued >= units;
            return if suffices { Draw::Pending } else { Draw::Denied(Reason::LeasePending) };
        }
        if up && c.last_total.is_some() && left + c.lease - queued < units {
            return Draw::Denied(Reason::QuotaExhausted);
        }
        let load = (self.expected_latency() / (self.shortest_target() * SHED_DEAREST).max(1.0)).min(1.0);
        let Some(c) = self.customers.get_mut(&key) else { return Draw::Denied(Reason::Overdue) };
        // The probability of a call grows with the expected loss of a wrong guess.
        let prior = self.shortfall_by_plan.get(&c.plan).map_or(0.3, |t| t.mean(now, 0.3, FAIL_SPAN));
        let risk = c.shortfall_share.mean(now, prior, FAIL_SPAN);
        let cost = plan.excess_cost - plan.extra_worth;
        let stake = (1.0 - risk).min(risk * cost.max(0.0)) * plan.worth_factor * units * credit;
        // Where the even share holds no whole request, one is admitted on a guess if the counter would likely
        // grant it. Under load that displaces other requests, so that guesses are the first to be refused.
        let is_small = plan.burst / c.spread < c.mean;
        let guessed = is_small && plan.ceiling_rate <= 0.0 && 1.0 - risk > risk * cost + load * LOAD_COST;
        self.mean_stake += (stake - self.mean_stake) * if is_new { 0.02 } else { 0.0 };
        let odds = self.ask_share * (stake / self.mean_stake.max(1e-9)).clamp(0.2, 5.0);
        let chance = odds / (1.0 - self.ask_share + odds);
        if up && uniform(&mut self.random) < chance {
            c.unasked_per_call = if guessed { 1.0 / chance - 1.0 } else { 0.0 };
            self.refill(key, units + queued, out);
            return Draw::Pending;
        }
        // No call: the even share of the rate, from this node's part of the level; half if no total is known.
        let part = 1.0 / c.spread;
        let start = left.max(0.0) * part * if c.last_total.is_some() { 1.0 } else { 0.5 };
        let share = c.local_share.get_or_insert(Bucket { store: start, at: now });
        share.refill(now, plan.quota_rate * part, plan.burst * part);
        if guessed && left >= units || c.lease + share.store >= units {
            let unleased = units - c.lease.max(0.0);
            (c.lease, share.store) = (0.0, (share.store - unleased).max(0.0));
            c.unreported += unleased;
            c.draw_rate.add(now, units, RATE_SPAN);
            self.requests.entry(id.clone()).and_modify(|request| request.drawn_units = units);
            return Draw::Granted;
        }
        Draw::Denied(Reason::ShareExhausted)
    }

    /// Calls for a lease sized by the demand: at most half of the projected level, but for at least `need`.
    pub(super) fn refill(&mut self, key: CustomerId, need: f64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(c) = self.customers.get_mut(&key) else { return };
        let Some(plan) = self.settings.plans.get(c.plan) else { return };
        let left = projected_level(c, plan, now);
        // Whole requests leased by each of a hundred nodes would strand the burst of a slow customer.
        let part = (LEASE_REQUESTS * c.mean).min(plan.burst / c.spread);
        let target = (c.demand_rate.get(now, RATE_SPAN) * LEASE_SPAN / 1e6).max(part);
        let amount = (need - c.lease).max(target - c.lease).min((left / 2.0).max(need - c.lease)).max(0.0);
        if amount > 0.0 {
            self.call_counter(key, amount, out);
        }
    }

    /// Calls the counter to add an amount to the customer's total, together with what is not yet reported.
    pub(super) fn call_counter(&mut self, key: CustomerId, amount: f64, out: &mut Vec<Action>) {
        let Some(c) = self.customers.get_mut(&key) else { return };
        let window = window_of(key, self.now);
        let name = count_name(key, window);
        let sampled = amount.max(0.0) * std::mem::take(&mut c.unasked_per_call);
        let reported = std::mem::take(&mut c.unreported) + sampled;
        c.call = Some(Call { amount, window, reported, sampled, at: self.now, unread: 0, in_doubt: false });
        self.calls.insert(name, key);
        out.push(Action::Count { name, amount: amount + reported, keep_for: COUNT_TTL });
    }

    /// Applies the end of a counter call, and serves the requests that waited for it.
    pub(super) fn on_count(&mut self, name: CountName, outcome: Outcome, total: f64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(key) = self.calls.remove(&name) else { return };
        let Some(c) = self.customers.get_mut(&key) else { return };
        let Some(mut call) = c.call.take() else { return };
        // After an unreadable answer the amount was added; after a connection reset it may have been, and the
        // counter is alive. Reading the total again gives what the answer would have given.
        let unclear = matches!(outcome, Outcome::Error | Outcome::Reset);
        if unclear && call.unread < REREADS {
            (call.unread, call.at) = (call.unread + 1, now);
            call.in_doubt = outcome == Outcome::Reset;
            c.call = Some(call);
            self.calls.insert(name, key);
            return out.push(Action::Count { name, amount: 0.0, keep_for: COUNT_TTL });
        }
        let Some(plan) = self.settings.plans.get(c.plan) else { return };
        let (mut not_granted, mut correction) = (0.0, 0.0);
        // A hundred nodes that call for every request overload the counter, and then none gets an answer.
        let prompt = outcome == Outcome::Ok && now.saturating_sub(call.at) < self.settings.counter.wait / 2;
        if !unclear {
            let next = if prompt { self.ask_share + ASK_INCREASE } else { self.ask_share * ASK_DECREASE };
            self.ask_share = next.max(ASK_MIN / self.settings.nodes as f64).clamp(0.05, 1.0);
        }
        if outcome == Outcome::Ok && total.is_finite() {
            (self.counter_backoff, self.counter_up_at) = (COUNTER_BACKOFF, 0);
            c.local_share = None;
            resolve_in_doubt(c, &mut call, total);
            (not_granted, correction) = apply(c, plan, key, now, &call, total);
            if call.amount > 0.0 {
                let had_shortfall = if not_granted > 0.0 { 1.0 } else { 0.0 };
                c.shortfall_share.add(now, had_shortfall, FAIL_SPAN);
                self.shortfall_by_plan.entry(c.plan).or_default().add(now, had_shortfall, FAIL_SPAN);
                not_granted += had_shortfall * call.sampled;
            }
        } else if !unclear {
            // The counter is silent or overloaded: exponential backoff, with jitter to spread the nodes.
            let delay = self.counter_backoff;
            self.counter_up_at = now + delay / 2 + (uniform(&mut self.random) * delay as f64 / 2.0) as Micros;
            self.counter_backoff = (delay * 2).min(COUNTER_BACKOFF_MAX);
            // When it was the second reading that failed, the first call's units may have been added.
            if outcome != Outcome::TimedOut && call.unread == 0 {
                c.unreported += call.reported;
                c.lease += (-call.amount).max(0.0);
            }
        }
        if not_granted > 0.01 {
            self.call_counter(key, -not_granted, out);
        } else if !call.in_doubt && (correction < 0.0 || correction > 0.0 && self.ask_share > 0.5) {
            c.unreported += correction;
            self.call_counter(key, 0.0, out);
        }
        self.serve_waiting(key, out);
        if self.stopping {
            self.return_leases(0, out);
        }
    }

    /// Sends the requests that waited for a lease, in order; those that still lack units are deferred.
    pub(super) fn serve_waiting(&mut self, key: CustomerId, out: &mut Vec<Action>) {
        while let Some(id) = self.customers.get_mut(&key).and_then(|c| c.waiting.pop_front()) {
            if self.requests.get(&id).is_none_or(|request| request.answered) {
                continue;
            }
            match self.draw(&id, false, out) {
                Draw::Granted => self.launch(&id, out),
                Draw::Pending => return self.customers.entry(key).or_default().waiting.push_front(id),
                Draw::Denied(why) => self.defer(&id, why, out),
            }
        }
    }

    /// While the counter is up, returns the leases above half a mean request of customers that were idle for
    /// `idle` and without an open call. 0: the node is shutting down; each open call repeats it at its end.
    pub(super) fn return_leases(&mut self, idle: Micros, out: &mut Vec<Action>) {
        let (now, up) = (self.now, self.counter_up());
        self.stopping |= idle == 0;
        let unused = |c: &Customer| up && now.saturating_sub(c.used_at) >= idle && c.call.is_none();
        let unused = self.customers.iter_mut().filter(|(_, c)| unused(c) && c.lease > c.mean / 2.0);
        let leases: Vec<_> = unused.map(|(&key, c)| (key, std::mem::take(&mut c.lease))).collect();
        leases.into_iter().for_each(|(key, returned)| self.call_counter(key, -returned, out));
    }
}

/// The projected level of the customer's fleet-wide bucket, if other nodes go on drawing at the same rate.
fn projected_level(c: &Customer, plan: &Plan, now: Micros) -> f64 {
    let span = now.saturating_sub(c.level_at) as f64 / 1e6;
    let net = (plan.quota_rate - c.others.get(now, RATE_SPAN)).max(plan.quota_rate / c.spread);
    (c.level + net * span).min(plan.burst - c.lease)
}

/// Whether two sums are equal within the precision of a total (seven digits).
fn nearly_equal(a: f64, b: f64, total: f64) -> bool {
    (a - b).abs() <= total.abs().max(1.0) * 2e-6
}

/// Resolves whether a call in doubt was added: yes if the total grew by just its amount, no if by less.
/// Otherwise the growth may be what others drew, and granting it here as well would exceed the quota: the
/// units stay with the counter and nobody gets them, which costs a customer with little left.
fn resolve_in_doubt(c: &mut Customer, call: &mut Call, total: f64) {
    let last = c.last_total.filter(|&(w, _)| w == call.window).map_or(0.0, |(_, last)| last);
    let (sum, growth) = (call.amount + call.reported, total - last);
    if !call.in_doubt || nearly_equal(growth, sum, total) {
        return;
    }
    if sum > 0.0 && growth < sum {
        c.unreported += call.reported - call.sampled;
    }
    (call.amount, call.reported, call.sampled) = (0.0, 0.0, 0.0);
}

/// Updates the customer's level and lease by a total. Returns the part of the call's amount that exceeds the
/// bucket, and a correction of the total: by refill that overflowed, or by units used before a new window.
fn apply(c: &mut Customer, plan: &Plan, key: CustomerId, now: Micros, call: &Call, total: f64) -> (f64, f64) {
    let (amount, window, sum) = (call.amount, call.window, call.amount + call.reported);
    let secs = |from: Micros| now.saturating_sub(from) as f64 / 1e6;
    let last = c.last_total.filter(|&(w, _)| w == window).map(|(_, last)| last);
    let reset = last.is_some_and(|last| total + plan.burst / 2.0 < last + amount);
    let delta = total - last.filter(|_| !reset).unwrap_or(total - amount);
    c.others.add(now, (delta - amount - call.reported).max(0.0), RATE_SPAN);
    let level = plan.burst + plan.quota_rate * secs(window_start(key, window)) - total;
    // A total that fell (flushed, or empty after a restart) says nothing of the past: the level is carried
    // over, less what the others draw. Under a ceiling always, since no total may grant a burst twice.
    let carried = reset || plan.ceiling_rate > 0.0;
    let unseen = if last.is_none() || reset { c.others.get(now, RATE_SPAN) * secs(c.level_at) } else { 0.0 };
    let refilled = (c.level + plan.quota_rate * secs(c.level_at)).min(plan.burst);
    c.level = if carried { refilled - delta - unseen } else { level.min(refilled - amount) };
    c.level_at = now;
    let requested = amount.max(0.0);
    let granted = (requested + (c.level + call.sampled).min(0.0)).clamp(0.0, requested);
    c.lease += granted;
    let overflow = level + amount - plan.burst;
    // Two nodes may both remove one overflow. The later sees less than it knew of, and puts its part back.
    let is_gone = overflow < -call.reported / 2.0 && refilled - level > call.reported / 2.0;
    let doubled = amount == 0.0 && call.reported > 0.0 && is_gone;
    // A new window's total starts from 0, as if the bucket were full, and each node goes by it. The first
    // node to add to it, which sees its own sum as the total, adds what it knows to be used by then.
    let first = c.last_total.is_some_and(|(w, _)| w < window) && nearly_equal(total, sum, total);
    let used = level - (refilled - unseen - sum);
    let correction = match () {
        () if carried => 0.0,
        () if first && used > c.mean / 2.0 => used,
        () if overflow < plan.burst * OVERFLOW_MIN => 0.0,
        () => overflow,
    };
    c.last_total = Some((window, total));
    (requested - granted, if doubled { -call.reported } else { correction })
}

/// The customer's window at `now`. Windows are staggered by customer, so that not all keys change at once.
fn window_of(key: CustomerId, now: Micros) -> u64 {
    (now + mix(key.0) % WINDOW) / WINDOW
}

fn window_start(key: CustomerId, window: u64) -> Micros {
    (window * WINDOW).saturating_sub(mix(key.0) % WINDOW)
}

fn count_name(key: CustomerId, window: u64) -> CountName {
    CountName(mix(mix(key.0) ^ window.wrapping_mul(GOLDEN)) >> 1)
}
