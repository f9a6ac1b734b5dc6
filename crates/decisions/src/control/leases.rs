//! Quota leases: blocks of units taken ahead from the quota store, and the even share while it is away.

use super::overload::SHED_DEAREST;
use super::{
    lot, mix, Action, Bucket, Controller, CountName, Customer, CustomerId, Micros, Outcome, Plan, Reason,
    RequestId, COUNTER_REST, GOLDEN, RATE_SPAN, TALLY_SPAN,
};

/// Lease ahead for this long at the recent demand, at least for so many mean requests: little lies idle.
const LEASE_AHEAD: f64 = 0.5e6;
const LEASE_REQUESTS: f64 = 3.0;
/// One count name lives for this long: long against a burst, within the minute that the counter keeps it.
const WINDOW: Micros = 30_000_000;
pub(super) const KEEP: Micros = 60_000_000;
/// What a full fleet adds to the price of a doubtful request, in its worth.
const CROWD: f64 = 0.5;
/// How many times as many the others have open while a customer asks as they have in the mean.
const BURSTY: f64 = 3.0;
/// AIMD of the share that asks the counter: a prompt answer, a late one or none; the least, over the nodes.
const ASK_MORE: f64 = 0.10;
const ASK_LESS: f64 = 0.85;
const ASK_LEAST: f64 = 4.0;
/// Back-off from a failing counter doubles from `COUNTER_REST` up to this.
const COUNTER_REST_MAX: Micros = 800_000;
/// From which part of a burst on the filling that found the bucket full is taken off the count. Danger: what
/// is left on it is granted on top of the burst by nodes that have not looked lately, each after the other.
const BURN_LEAST: f64 = 0.1;
/// How often a total is read again whose answer could not be read.
const REREADS: u32 = 1;

pub(super) struct Call {
    pub(super) amount: f64,
    /// Whose count it adds to. Danger: an answer may come after the window has ended, and its total booked
    /// in the next one would leave the customer nothing for all of that.
    window: u64,
    /// Draws without a call that this one reports too; of them what it stands for as a sample.
    pub(super) told: f64,
    pub(super) proxy: f64,
    pub(super) at: Micros,
    /// Answers to it that could not be read, or did not come since its connection broke.
    pub(super) unread: u32,
    /// Whether it was added is not known.
    pub(super) doubtful: bool,
}

pub(super) enum Verdict {
    Granted,
    Held,
    Beyond(Reason),
}

impl Controller {
    pub(super) fn counter_up(&self) -> bool {
        self.set.counter.allowed && self.now >= self.counter_until
    }

    /// Draws a request's units from the lease, or says whether to wait for a refill.
    #[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
    pub(super) fn draw(&mut self, id: &RequestId, may_wait: bool, out: &mut Vec<Action>) -> Verdict {
        let (now, up) = (self.now, self.counter_up());
        let Some(r) = self.requests.get_mut(id) else { return Verdict::Beyond(Reason::Overdue) };
        let Some(c) = self.customers.get_mut(&r.customer) else { return Verdict::Beyond(Reason::Overdue) };
        let Some(plan) = self.set.plans.get(r.plan) else { return Verdict::Granted };
        let (key, units, credit) = (r.customer, r.units, self.set.classes[r.class].credit);
        if plan.open_limit > 0 {
            // What the other nodes have out is known by their recent draws alone, and customers come in
            // bursts: as it turns out, it swings by as much as its mean (geometric). Danger: beyond the limit
            // a try costs more than one within it earns.
            let other = match c.seen {
                Some(_) => BURSTY * c.others.get(now, RATE_SPAN) / c.mean.max(0.1) * self.latency / 1e6,
                None => plan.open_limit as f64 * (1.0 - 1.0 / c.spread),
            };
            let over = (other / (1.0 + other)).powi(plan.open_limit.saturating_sub(c.open) as i32);
            if over * (1.0 + (plan.excess_cost - plan.extra_worth).max(0.0)) >= 1.0 {
                return Verdict::Beyond(Reason::Places);
            }
        }
        if plan.quota_rate <= 0.0 {
            return Verdict::Granted;
        }
        if c.lease >= units && (!may_wait || c.waiting.is_empty()) {
            c.lease -= units;
            r.drew = units;
            c.drawn.add(now, units, RATE_SPAN);
            let ahead = c.asked.get(now, RATE_SPAN) * LEASE_AHEAD / 1e6;
            if up && c.call.is_none() && ahead > LEASE_REQUESTS * c.mean && c.lease < ahead / 2.0 {
                self.refill(key, 0.0, out);
            }
            return Verdict::Granted;
        }
        let queued: f64 = c.waiting.iter().filter_map(|w| self.requests.get(w)).map(|w| w.units).sum();
        let queued = if may_wait { queued } else { 0.0 };
        let left = projected(c, plan, now);
        if let (true, Some(call)) = (up, &c.call) {
            let expected = c.lease + call.amount.min(left).max(0.0);
            let room = expected - queued >= units || left - call.amount.max(0.0) - queued >= units;
            return if room { Verdict::Held } else { Verdict::Beyond(Reason::Asking) };
        }
        if up && c.seen.is_some() && left + c.lease - queued < units {
            return Verdict::Beyond(Reason::Spent);
        }
        let crowd = (self.expected() / (self.shortest_aim() * SHED_DEAREST).max(1.0)).min(1.0);
        let Some(c) = self.customers.get_mut(&key) else { return Verdict::Beyond(Reason::Overdue) };
        // What is asked about is drawn by what a wrong guess would cost.
        let prior = self.looks.get(&c.plan).map_or(0.3, |t| t.mean(now, 0.3, TALLY_SPAN));
        let risk = c.looks.mean(now, prior, TALLY_SPAN);
        let cost = plan.excess_cost - plan.extra_worth;
        let stake = (1.0 - risk).min(risk * cost.max(0.0)) * plan.worth_factor * units * credit;
        // In a full fleet what is let in crowds out others: doubtful tries are the first to go.
        let slight = plan.burst / c.spread < c.mean;
        let trusted = slight && plan.ceiling_rate <= 0.0 && 1.0 - risk > risk * cost + crowd * CROWD;
        self.stakes += (stake - self.stakes) * if may_wait { 0.02 } else { 0.0 };
        let odds = self.asking * (stake / self.stakes.max(1e-9)).clamp(0.2, 5.0);
        let chance = odds / (1.0 - self.asking + odds);
        if up && lot(&mut self.random) < chance {
            c.stands = if trusted { 1.0 / chance - 1.0 } else { 0.0 };
            self.refill(key, units + queued, out);
            return Verdict::Held;
        }
        // No answer to be had: the even share of the rate. It starts from this node's part of what the last
        // totals left; a node that knows nothing starts low, and with nothing under a hard ceiling.
        let part = 1.0 / c.spread;
        let start = left.max(0.0) * part * if c.seen.is_some() { 1.0 } else { 0.5 };
        let share = c.share.get_or_insert(Bucket { store: start, at: now });
        share.refill(now, plan.quota_rate * part, plan.burst * part);
        if trusted && left >= units || c.lease + share.store >= units {
            let drew = units - c.lease.max(0.0);
            (c.lease, share.store) = (0.0, (share.store - drew).max(0.0));
            c.untold += drew;
            c.drawn.add(now, units, RATE_SPAN);
            self.requests.entry(id.clone()).and_modify(|r| r.drew = units);
            return Verdict::Granted;
        }
        Verdict::Beyond(Reason::Share)
    }

    /// Calls for a demand-sized block, no more than the bucket seems to hold.
    pub(super) fn refill(&mut self, key: CustomerId, need: f64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(c) = self.customers.get_mut(&key) else { return };
        let Some(plan) = self.set.plans.get(c.plan) else { return };
        let left = projected(c, plan, now);
        // Danger: whole requests lying at each of a hundred nodes would strand the burst of a slow customer.
        let part = (LEASE_REQUESTS * c.mean).min(plan.burst / c.spread);
        let block = (c.asked.get(now, RATE_SPAN) * LEASE_AHEAD / 1e6).max(part);
        let amount = (need - c.lease).max(block - c.lease).min((left / 2.0).max(need - c.lease)).max(0.0);
        if amount > 0.0 {
            self.count(key, amount, out);
        }
    }

    pub(super) fn count(&mut self, key: CustomerId, amount: f64, out: &mut Vec<Action>) {
        let Some(c) = self.customers.get_mut(&key) else { return };
        let window = window_of(key, self.now);
        let name = count_name(key, window);
        let proxy = amount.max(0.0) * std::mem::take(&mut c.stands);
        let told = std::mem::take(&mut c.untold) + proxy;
        c.call = Some(Call { amount, window, told, proxy, at: self.now, unread: 0, doubtful: false });
        self.calls.insert(name, key);
        out.push(Action::Count { name, amount: amount + told, keep_for: KEEP });
    }

    pub(super) fn on_counted(
        &mut self,
        name: CountName,
        outcome: Outcome,
        total: f64,
        out: &mut Vec<Action>,
    ) {
        let now = self.now;
        let Some(key) = self.calls.remove(&name) else { return };
        let Some(c) = self.customers.get_mut(&key) else { return };
        let Some(mut call) = c.call.take() else { return };
        // Danger: what got an answer that can't be read was added all the same; what got none since its
        // connection broke may have been, and the counter is alive. The total is read once more, and tells
        // what the answer would have told.
        let spoilt = matches!(outcome, Outcome::Error | Outcome::Reset);
        if spoilt && call.unread < REREADS {
            (call.unread, call.at) = (call.unread + 1, now);
            call.doubtful = outcome == Outcome::Reset;
            c.call = Some(call);
            self.calls.insert(name, key);
            return out.push(Action::Count { name, amount: 0.0, keep_for: KEEP });
        }
        let Some(plan) = self.set.plans.get(c.plan) else { return };
        let (mut excess, mut burn) = (0.0, 0.0);
        // Danger: a hundred nodes that ask for every request crowd the counter, and then none gets an answer.
        let prompt = outcome == Outcome::Ok && now.saturating_sub(call.at) < self.set.counter.wait / 2;
        if !spoilt {
            let next = if prompt { self.asking + ASK_MORE } else { self.asking * ASK_LESS };
            self.asking = next.max(ASK_LEAST / self.set.nodes as f64).clamp(0.05, 1.0);
        }
        if outcome == Outcome::Ok && total.is_finite() {
            (self.counter_rest, self.counter_until) = (COUNTER_REST, 0);
            c.share = None;
            settle(c, &mut call, total);
            (excess, burn) = book(c, plan, key, now, &call, total);
            if call.amount > 0.0 {
                let empty = if excess > 0.0 { 1.0 } else { 0.0 };
                c.looks.add(now, empty, TALLY_SPAN);
                self.looks.entry(c.plan).or_default().add(now, empty, TALLY_SPAN);
                excess += empty * call.proxy;
            }
        } else if !spoilt {
            // Danger: a silent or crowded counter. Nothing is granted; the next call waits, longer each time,
            // and a random part keeps the nodes from coming back in step.
            let rest = self.counter_rest;
            self.counter_until = now + rest / 2 + (lot(&mut self.random) * rest as f64 / 2.0) as Micros;
            self.counter_rest = (rest * 2).min(COUNTER_REST_MAX);
            // Of a call that was read again this says nothing.
            if outcome != Outcome::TimedOut && call.unread == 0 {
                c.untold += call.told;
                c.lease += (-call.amount).max(0.0);
            }
        }
        if excess > 0.01 {
            self.count(key, -excess, out);
        } else if !call.doubtful && (burn < 0.0 || burn > 0.0 && self.asking > 0.5) {
            c.untold += burn;
            self.count(key, 0.0, out);
        }
        self.serve_waiting(key, out);
        if self.stopping {
            self.hand_back(0, out);
        }
    }

    /// Lets in what waited for a lease, in order; what still lacks units is deferred.
    pub(super) fn serve_waiting(&mut self, key: CustomerId, out: &mut Vec<Action>) {
        while let Some(id) = self.customers.get_mut(&key).and_then(|c| c.waiting.pop_front()) {
            if self.requests.get(&id).is_none_or(|r| r.answered) {
                continue;
            }
            match self.draw(&id, false, out) {
                Verdict::Granted => self.launch(&id, out),
                Verdict::Held => return self.customers.entry(key).or_default().waiting.push_front(id),
                Verdict::Beyond(why) => self.beyond(&id, why, out),
            }
        }
    }

    /// Gives back leases unused for `idle`; 0: the node stops, and each call that was out does so again.
    pub(super) fn hand_back(&mut self, idle: Micros, out: &mut Vec<Action>) {
        let (now, up) = (self.now, self.counter_up());
        self.stopping |= idle == 0;
        let spare = |c: &Customer| up && now.saturating_sub(c.used_at) >= idle && c.call.is_none();
        let spare = self.customers.iter_mut().filter(|(_, c)| spare(c) && c.lease > c.mean / 2.0);
        let back: Vec<_> = spare.map(|(&key, c)| (key, std::mem::take(&mut c.lease))).collect();
        back.into_iter().for_each(|(key, back)| self.count(key, -back, out));
    }
}

/// What the fleet's bucket should hold now, if the others go on drawing as they did.
fn projected(c: &Customer, plan: &Plan, now: Micros) -> f64 {
    let span = now.saturating_sub(c.level_at) as f64 / 1e6;
    let net = (plan.quota_rate - c.others.get(now, RATE_SPAN)).max(plan.quota_rate / c.spread);
    (c.level + net * span).min(plan.burst - c.lease)
}

/// Whether two sums are the same, as exactly as a total tells (seven digits).
fn equal(a: f64, b: f64, total: f64) -> bool {
    (a - b).abs() <= total.abs().max(1.0) * 2e-6
}

/// Clears up whether a doubtful call was added. Danger: what others drew must not be granted here as well. So
/// it counts as added only if the total grew by its very amount, as not added only if by less; else its units
/// stay with the counter and nobody gets them, which costs a customer with little left.
fn settle(c: &mut Customer, call: &mut Call, total: f64) {
    let last = c.seen.filter(|&(w, _)| w == call.window).map_or(0.0, |(_, last)| last);
    let (sum, grown) = (call.amount + call.told, total - last);
    if !call.doubtful || equal(grown, sum, total) {
        return;
    }
    if sum > 0.0 && grown < sum {
        c.untold += call.told - call.proxy;
    }
    (call.amount, call.told, call.proxy) = (0.0, 0.0, 0.0);
}

/// Books a total. Returns what of the call's amount does not fit into the bucket, and what of the filling
/// found the bucket full, or of what was used before a new window, is to be taken off the total.
fn book(c: &mut Customer, plan: &Plan, key: CustomerId, now: Micros, call: &Call, total: f64) -> (f64, f64) {
    let (amount, window, sum) = (call.amount, call.window, call.amount + call.told);
    let secs = |from: Micros| now.saturating_sub(from) as f64 / 1e6;
    let last = c.seen.filter(|&(w, _)| w == window).map(|(_, last)| last);
    let fallen = last.is_some_and(|last| total + plan.burst / 2.0 < last + amount);
    let delta = total - last.filter(|_| !fallen).unwrap_or(total - amount);
    c.others.add(now, (delta - amount - call.told).max(0.0), RATE_SPAN);
    let level = plan.burst + plan.quota_rate * secs(window_start(key, window)) - total;
    // Danger: a total that fell (flushed, or empty after a restart) tells nothing of the past. The level is
    // carried on, less what the others draw; under a hard ceiling always, since no total may grant a burst
    // twice.
    let carried = fallen || plan.ceiling_rate > 0.0;
    let unseen = if last.is_none() || fallen { c.others.get(now, RATE_SPAN) * secs(c.level_at) } else { 0.0 };
    let grown = (c.level + plan.quota_rate * secs(c.level_at)).min(plan.burst);
    c.level = if carried { grown - delta - unseen } else { level.min(grown - amount) };
    c.level_at = now;
    let asked = amount.max(0.0);
    let fit = (asked + (c.level + call.proxy).min(0.0)).clamp(0.0, asked);
    c.lease += fit;
    let over = level + amount - plan.burst;
    // Danger: two nodes that see one overflow both burn it. The later sees the burst gone, though it knew of
    // it, and puts it back.
    let gone = over < -call.told / 2.0 && grown - level > call.told / 2.0;
    let doubled = amount == 0.0 && call.told > 0.0 && gone;
    // Danger: a new window counts from nothing, as if the bucket were full, and each node goes by its count.
    // The first to add to it, which sees its own sum as the total, burns what it knows to be used by then.
    let first = c.seen.is_some_and(|(w, _)| w < window) && equal(total, sum, total);
    let used = level - (grown - unseen - sum);
    let burn = match () {
        () if carried => 0.0,
        () if first && used > c.mean / 2.0 => used,
        () if over < plan.burst * BURN_LEAST => 0.0,
        () => over,
    };
    c.seen = Some((window, total));
    (asked - fit, if doubled { -call.told } else { burn })
}

/// Windows are staggered by customer, so that not all names change at a stroke.
fn window_of(key: CustomerId, now: Micros) -> u64 {
    (now + mix(key.0) % WINDOW) / WINDOW
}

fn window_start(key: CustomerId, window: u64) -> Micros {
    (window * WINDOW).saturating_sub(mix(key.0) % WINDOW)
}

fn count_name(key: CustomerId, window: u64) -> CountName {
    CountName(mix(mix(key.0) ^ window.wrapping_mul(GOLDEN)) >> 1)
}
