//! Attempts at servers: sending them, handling their ends, retrying, and the final answer.

use super::overload::MEAN_SPAN;
use super::{
    Action, Attempt, Controller, Customer, Effect, Ended, Group, Micros, Outcome, Reason, RequestId, Server,
    ServerId, Stage, DONE_SPAN, FAIL_SPAN, PLAN_KINDS, RATE_SPAN, RETRIES_MAX,
};

/// Weight of a new sample in a server's latency EWMA; half of it in the EWMAs over all servers.
const LATENCY_GAIN: f64 = 0.1;
/// Consecutive resets eject a server if they are less probable than this at the fleet's share of resets.
const RESET_CHANCE: f64 = 0.01;
/// This many consecutive resets always eject a server.
const RESETS_MAX: u32 = 3;
/// Retry budget: retries earned per first attempt.
const RETRY_SHARE: f64 = 0.2;

impl Attempt {
    /// Sets whether it counts towards its customer's concurrency quota.
    fn set_counted(&mut self, customer: Option<&mut Customer>, counted: bool) {
        if let (Some(c), true) = (customer, counted != self.counted) {
            c.open = if counted { c.open + 1 } else { c.open.saturating_sub(1) };
        }
        self.counted = counted;
    }
}

impl Controller {
    /// Sends a request's first attempt, or parks the request until a server may take it.
    pub(super) fn launch(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        match self.choose(id, None) {
            Some(server) => self.send(id, server, out),
            None => self.parked.push_back(id.clone()),
        }
    }

    /// Sends an attempt. The first one adds to the retry budget, each retry takes from it.
    pub(super) fn send(&mut self, id: &RequestId, server: ServerId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(id) else { return };
        let first = request.attempts.is_empty();
        self.retry_budget = (self.retry_budget + if first { RETRY_SHARE } else { -1.0 }).min(RETRIES_MAX);
        let location = self.servers.get(&server).map_or((0, 0), |s| (s.zone, s.cell));
        let mut attempt =
            Attempt { server, location, sent_at: now, pending: true, counted: false, streaming: false };
        attempt.set_counted(self.customers.get_mut(&request.customer), true);
        request.attempts.push(attempt);
        let server_rate = self.server_rate();
        self.send_rate.add(now, 1.0, RATE_SPAN);
        let part = self.servers.get(&server).map_or(1.0, |s| self.warmth(s) * s.size);
        if let Some(s) = self.servers.get_mut(&server) {
            s.in_flight.push_back(now);
            s.slow_start.refill(now, server_rate * part, 1.5);
            s.slow_start.store -= 1.0;
        }
        out.push(Action::Send { id: id.clone(), server, timeout: 0 });
    }

    #[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
    pub(super) fn on_ended(&mut self, end: Ended, out: &mut Vec<Action>) {
        let (now, stale_after) = (self.now, self.stale_after());
        let Some(request) = self.requests.get_mut(&end.id) else { return };
        let Some(a) = request.attempts.get_mut(end.attempt as usize) else { return };
        if !a.pending {
            return;
        }
        a.pending = false;
        let (server, sent_at, location, streamed) = (a.server, a.sent_at, a.location, a.streaming);
        let maybe_ran = !matches!(end.outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        if maybe_ran && request.first_run.is_none_or(|(at, _)| sent_at < at) {
            request.first_run = Some((sent_at, location));
        }
        request.answered |= end.finished;
        a.set_counted(self.customers.get_mut(&request.customer), false);
        let mut unknown = Server::default();
        let s = self.servers.get_mut(&server).unwrap_or(&mut unknown);
        if let Some(i) = s.in_flight.iter().position(|&t| t == sent_at && !streamed) {
            s.in_flight.remove(i);
        }
        // A server may fail one class or reject one plan and serve the rest: failures are counted by kind,
        // and the server is avoided for that kind alone (outlier ejection by success rate).
        let failed = matches!(end.outcome, Outcome::Error | Outcome::Rejected);
        if failed || end.outcome == Outcome::Ok {
            let failed = if failed { 1.0 } else { 0.0 };
            for kind in [request.class, PLAN_KINDS + request.plan] {
                s.failures.entry(kind).or_default().add(now, failed, FAIL_SPAN);
                self.failures.entry(kind).or_default().add(now, failed, FAIL_SPAN);
            }
        }
        let unheard_since = s.seen_at < sent_at && sent_at >= s.eject_end;
        // Resets may hit all servers alike (a lossy network, servers that close idle connections early): if
        // one ejected a server, most of a healthy fleet would be out. So one suffices only where they are
        // rare. The price: a server that dies while many others reset fails two or three more attempts.
        let common = self.reset_share.mean(now, 0.0, FAIL_SPAN);
        let was_reset = end.outcome == Outcome::Reset;
        if was_reset || matches!(end.outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            self.reset_share.add(now, if was_reset { 1.0 } else { 0.0 }, FAIL_SPAN);
            s.resets = if was_reset { s.resets + 1 } else { 0 };
        }
        let is_dead = s.resets >= RESETS_MAX || common.powi(s.resets as i32) < RESET_CHANCE;
        match end.outcome {
            Outcome::Ok if streamed => (s.seen_at, s.ejects, s.eject_end) = (now, 0, s.eject_end.min(now)),
            Outcome::Ok => {
                let sample = end.spent as f64;
                self.deviation += ((sample - self.latency).abs() - self.deviation) * LATENCY_GAIN / 2.0;
                self.latency += (sample - self.latency) * LATENCY_GAIN / 2.0;
                if s.latency < 2.0 * self.latency {
                    self.recent.add(now, sample, MEAN_SPAN);
                }
                // A slow server gets almost no requests, so that its average would take minutes to recover. A
                // prompt answer after a long silence shows that the average is stale.
                if now > s.seen_at + stale_after && sample < 2.0 * self.latency {
                    s.latency = s.latency.min(self.latency.max(sample));
                }
                s.latency += (sample - s.latency) * LATENCY_GAIN;
                s.answers.add(now, 1.0, DONE_SPAN);
                s.newest_answered = s.newest_answered.max(sent_at);
                (s.seen_at, s.ejects, s.eject_end) = (now, 0, s.eject_end.min(now));
            }
            // A server that fails fast looks idle and quick: an error only shows that it is alive.
            Outcome::Error => s.seen_at = now,
            // It has left the server too, and overload is judged by the rate at which requests leave.
            Outcome::Reset if !is_dead => s.answers.add(now, 1.0, DONE_SPAN),
            Outcome::ConnectFailed | Outcome::Reset => self.eject(server),
            Outcome::TimedOut | Outcome::Cancelled if unheard_since => self.eject(server),
            _ => {}
        }
        let Some(request) = self.requests.get(&end.id) else { return };
        let all_ended = request.attempts.iter().all(|a| !a.pending);
        if !request.answered && all_ended {
            let may_retry = end.outcome != Outcome::NotSent && self.may_resend(&end.id);
            let pick = || self.choose(&end.id, Some(server)).or_else(|| self.choose(&end.id, None));
            match may_retry.then(pick).flatten() {
                Some(next) => self.send(&end.id, next, out),
                None => self.give_up(&end.id, end.outcome.into(), out),
            }
        } else if all_ended {
            self.requests.remove(&end.id);
        }
    }

    /// Notes that an attempt streams a long body, and so lasts as long as its peers take: it no longer counts
    /// for its server's silence, load and latency, nor, until it is sent, for its customer's open limit.
    pub(super) fn on_streams(&mut self, id: &RequestId, attempt: u32, stage: Stage) {
        let (now, answered) = (self.now, stage == Stage::Answering);
        let Some(request) = self.requests.get_mut(id) else { return };
        request.is_streamed = true;
        request.answered |= answered;
        let Some(a) = request.attempts.get_mut(attempt as usize).filter(|a| a.pending) else { return };
        let first = !std::mem::replace(&mut a.streaming, true);
        let counted = if answered { a.counted } else { stage == Stage::Sent };
        a.set_counted(self.customers.get_mut(&request.customer), counted);
        let Some(s) = self.servers.get_mut(&a.server) else { return };
        if let Some(i) = s.in_flight.iter().position(|&t| t == a.sent_at && first) {
            s.in_flight.remove(i);
        }
        if answered {
            (s.seen_at, s.newest_answered) = (now, s.newest_answered.max(a.sent_at));
        }
    }

    /// Whether the class's effect, the attempt limit, the client's time and the retry budget allow a retry.
    pub(super) fn may_resend(&self, id: &RequestId) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let class = &self.settings.classes[request.class];
        let fits = (request.attempts.len() as u32) < request.try_limit
            && self.now + self.latency as Micros / 2 < request.due
            && !request.answered
            && !request.is_streamed
            && self.retry_budget >= 1.0;
        // A pending attempt may have been executed, too.
        let pending = request.attempts.iter().filter(|a| a.pending).map(|a| a.sent_at);
        let first = pending.chain(request.first_run.map(|(at, _)| at)).min();
        fits && match (class.effect, first) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Keyed, Some(at)) => self.now < at + class.window,
            (Effect::Unsafe, Some(_)) => false,
        }
    }

    /// Answers a request that can't be served: refused where a retry is harmless, else failed.
    pub(super) fn give_up(&mut self, id: &RequestId, why: Reason, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(id) else { return };
        let class = &self.settings.classes[request.class];
        let maybe_executed = request.first_run.is_some() || request.attempts.iter().any(|a| a.pending);
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => !maybe_executed || class.group == Group::All,
            Effect::Unsafe => !maybe_executed,
        };
        if harmless {
            self.refuse(id, 0, why, out);
        } else {
            out.push(Action::Fail { id: id.clone(), why });
            self.close(id);
        }
    }

    pub(super) fn refuse(&mut self, id: &RequestId, after: Micros, why: Reason, out: &mut Vec<Action>) {
        out.push(Action::Refuse { id: id.clone(), retry_after: after, why });
        self.close(id);
    }

    /// Marks a request as answered; it stays until its attempts have ended. Without any, its units go back.
    pub(super) fn close(&mut self, id: &RequestId) {
        let Some(request) = self.requests.get_mut(id) else { return };
        request.answered = true;
        if let Some(c) = self.customers.get_mut(&request.customer).filter(|_| request.attempts.is_empty()) {
            c.lease += request.drawn_units;
        }
        if request.attempts.iter().all(|a| !a.pending) {
            self.requests.remove(id);
        }
    }

    /// Ejects servers that accept requests and answer none; cancels attempts there that may be retried.
    pub(super) fn cancel_at_silent(&mut self, out: &mut Vec<Action>) {
        let mut stuck = Vec::new();
        for (id, request) in &self.requests {
            let mut pending = request.attempts.iter().enumerate().filter(|(_, a)| a.pending);
            let (Some((n, a)), None) = (pending.next(), pending.next()) else { continue };
            let Some(s) = self.servers.get(&a.server) else { continue };
            let suspect = self.silent(s) || s.eject_end > self.now;
            let age = self.now.saturating_sub(a.sent_at) as f64;
            if suspect && age > self.overdue_after(s) && self.settings.limits.cancel && self.may_resend(id) {
                stuck.push((id.clone(), n as u32, a.server));
            }
        }
        for (id, attempt, server) in stuck {
            self.eject(server);
            out.push(Action::Cancel { id, attempt });
        }
    }
}
