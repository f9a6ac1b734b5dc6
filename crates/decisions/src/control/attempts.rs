//! Attempts: how they end, whether another may follow, and the final answer.

use super::overload::MEAN_SPAN;
use super::{
    Action, Attempt, Controller, Customer, Effect, Ended, Group, Micros, Outcome, Reason, RequestId, Server,
    ServerId, Stage, DONE_SPAN, PLANS, RATE_SPAN, RETRY_STORE, TALLY_SPAN,
};

/// Weight of a new latency sample in the EWMAs.
const LATENCY_GAIN: f64 = 0.1;
/// Breaks in a row eject a server when so many would come by chance, at the fleet's own share of breaks, less
/// often than this; so many always do.
const BREAK_CHANCE: f64 = 0.01;
const BREAKS_MOST: u32 = 3;
/// Retry budget: further attempts per first attempt.
const RETRY_SHARE: f64 = 0.2;

impl Attempt {
    /// Counts it among its customer's open ones, or no more.
    fn count(&mut self, customer: Option<&mut Customer>, open: bool) {
        if let (Some(c), true) = (customer, open != self.open) {
            c.open = if open { c.open + 1 } else { c.open.saturating_sub(1) };
        }
        self.open = open;
    }
}

impl Controller {
    pub(super) fn launch(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        match self.choose(id, None) {
            Some(server) => self.send(id, server, out),
            None => self.parked.push_back(id.clone()),
        }
    }

    pub(super) fn send(&mut self, id: &RequestId, server: ServerId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(id) else { return };
        let first = r.attempts.is_empty();
        self.retries = (self.retries + if first { RETRY_SHARE } else { -1.0 }).min(RETRY_STORE);
        let place = self.servers.get(&server).map_or((0, 0), |s| (s.zone, s.cell));
        let mut attempt = Attempt { server, place, sent: now, out: true, open: false, streams: false };
        attempt.count(self.customers.get_mut(&r.customer), true);
        r.attempts.push(attempt);
        let per_server = self.per_server();
        self.sends.add(now, 1.0, RATE_SPAN);
        let part = self.servers.get(&server).map_or(1.0, |s| self.warmth(s) * s.size);
        if let Some(s) = self.servers.get_mut(&server) {
            s.out.push_back(now);
            s.slow.refill(now, per_server * part, 1.5);
            s.slow.store -= 1.0;
        }
        out.push(Action::Send { id: id.clone(), server, timeout: 0 });
    }

    #[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
    pub(super) fn on_ended(&mut self, end: Ended, out: &mut Vec<Action>) {
        let (now, hush) = (self.now, self.hush());
        let Some(r) = self.requests.get_mut(&end.id) else { return };
        let Some(a) = r.attempts.get_mut(end.attempt as usize) else { return };
        if !a.out {
            return;
        }
        a.out = false;
        let (server, sent, place, streamed) = (a.server, a.sent, a.place, a.streams);
        let may_have_run = !matches!(end.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Ignored);
        if may_have_run && r.ran.is_none_or(|(at, _)| sent < at) {
            r.ran = Some((sent, place));
        }
        r.answered |= end.finished;
        a.count(self.customers.get_mut(&r.customer), false);
        let mut unknown = Server::default();
        let s = self.servers.get_mut(&server).unwrap_or(&mut unknown);
        if let Some(i) = s.out.iter().position(|&t| t == sent && !streamed) {
            s.out.remove(i);
        }
        // Danger: servers that fail one class, or turn one plan away, and serve the rest. They are passed
        // over for that kind alone, by what else is known of it (outlier ejection by success rate).
        let bad = matches!(end.outcome, Outcome::Error | Outcome::Full);
        if bad || end.outcome == Outcome::Ok {
            let bad = if bad { 1.0 } else { 0.0 };
            for kind in [r.class, PLANS + r.plan] {
                s.tally.entry(kind).or_default().add(now, bad, TALLY_SPAN);
                self.tally.entry(kind).or_default().add(now, bad, TALLY_SPAN);
            }
        }
        let quiet = s.heard < sent && sent >= s.ejected;
        // Danger: connections that break at all servers alike (a lossy network, servers that close idle ones
        // early): ejected in turn for one break each, most of a fleet that answers would be out. So a break
        // tells of a server by how rare breaks are, and by no answer since. Where breaks are rare one is
        // enough. It does harm where servers die while many others break: each takes two or three more.
        let common = self.breaks.mean(now, 0.0, TALLY_SPAN);
        let broke = end.outcome == Outcome::Reset;
        if broke || matches!(end.outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            self.breaks.add(now, if broke { 1.0 } else { 0.0 }, TALLY_SPAN);
            s.breaks = if broke { s.breaks + 1 } else { 0 };
        }
        let dead = s.breaks >= BREAKS_MOST || common.powi(s.breaks as i32) < BREAK_CHANCE;
        match end.outcome {
            Outcome::Ok if streamed => (s.heard, s.strikes, s.ejected) = (now, 0, s.ejected.min(now)),
            Outcome::Ok => {
                let sample = end.spent as f64;
                self.deviation += ((sample - self.latency).abs() - self.deviation) * LATENCY_GAIN / 2.0;
                self.latency += (sample - self.latency) * LATENCY_GAIN / 2.0;
                if s.latency < 2.0 * self.latency {
                    self.times.add(now, sample, MEAN_SPAN);
                }
                // Danger: a slow one gets next to nothing, and its figure would take minutes to tell that it
                // is well again. An answer in time after a long silence tells that the figure is old.
                if now > s.heard + hush && sample < 2.0 * self.latency {
                    s.latency = s.latency.min(self.latency.max(sample));
                }
                s.latency += (sample - s.latency) * LATENCY_GAIN;
                s.done.add(now, 1.0, DONE_SPAN);
                s.answered = s.answered.max(sent);
                (s.heard, s.strikes, s.ejected) = (now, 0, s.ejected.min(now));
            }
            // Danger: a server that fails fast looks idle and quick. It is alive, and no more.
            Outcome::Error => s.heard = now,
            // What broke has left the server too, and overload is judged by the rate at which requests leave.
            Outcome::Reset if !dead => s.done.add(now, 1.0, DONE_SPAN),
            Outcome::ConnectFailed | Outcome::Reset => self.strike(server),
            Outcome::TimedOut | Outcome::Cancelled if quiet => self.strike(server),
            _ => {}
        }
        let Some(r) = self.requests.get(&end.id) else { return };
        let idle = r.attempts.iter().all(|a| !a.out);
        if !r.answered && idle {
            let again = end.outcome != Outcome::Ignored && self.may_resend(&end.id);
            let pick = || self.choose(&end.id, Some(server)).or_else(|| self.choose(&end.id, None));
            match again.then(pick).flatten() {
                Some(next) => self.send(&end.id, next, out),
                None => self.give_up(&end.id, end.outcome.into(), out),
            }
        } else if idle {
            self.requests.remove(&end.id);
        }
    }

    /// A long body is on its way. Danger: what is out for as long as its peers take looks like a silent
    /// server and a full fleet, its time like a slow one, and what is still being sent fills its customer's
    /// places. From here on it is no part of these.
    pub(super) fn on_streams(&mut self, id: &RequestId, attempt: u32, stage: Stage) {
        let (now, answered) = (self.now, stage == Stage::Answering);
        let Some(r) = self.requests.get_mut(id) else { return };
        r.stream = true;
        r.answered |= answered;
        let Some(a) = r.attempts.get_mut(attempt as usize).filter(|a| a.out) else { return };
        let first = !std::mem::replace(&mut a.streams, true);
        let open = if answered { a.open } else { stage == Stage::Sent };
        a.count(self.customers.get_mut(&r.customer), open);
        let Some(s) = self.servers.get_mut(&a.server) else { return };
        if let Some(i) = s.out.iter().position(|&t| t == a.sent && first) {
            s.out.remove(i);
        }
        if answered {
            (s.heard, s.answered) = (now, s.answered.max(a.sent));
        }
    }

    /// Whether the rules, the client's time and the retry budget allow another attempt.
    pub(super) fn may_resend(&self, id: &RequestId) -> bool {
        let Some(r) = self.requests.get(id) else { return false };
        let class = &self.set.classes[r.class];
        let fits = (r.attempts.len() as u32) < r.try_limit
            && self.now + self.latency as Micros / 2 < r.due
            && !r.answered
            && !r.stream
            && self.retries >= 1.0;
        // An attempt still out counts as one that may have run.
        let out = r.attempts.iter().filter(|a| a.out).map(|a| a.sent);
        let first = out.chain(r.ran.map(|(at, _)| at)).min();
        fits && match (class.effect, first) {
            (Effect::Safe, _) | (_, None) => true,
            (Effect::Keyed, Some(at)) => self.now < at + class.window,
            (Effect::Unsafe, Some(_)) => false,
        }
    }

    /// The last answer to a request that cannot be served: refused where that is true, else failed.
    pub(super) fn give_up(&mut self, id: &RequestId, why: Reason, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let class = &self.set.classes[r.class];
        let ran = r.ran.is_some() || r.attempts.iter().any(|a| a.out);
        let harmless = match class.effect {
            Effect::Safe => true,
            Effect::Keyed => !ran || class.group == Group::All,
            Effect::Unsafe => !ran,
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

    /// Marks a request as answered; it stays until its attempts have ended. Unused units go back.
    pub(super) fn close(&mut self, id: &RequestId) {
        let Some(r) = self.requests.get_mut(id) else { return };
        r.answered = true;
        if let Some(c) = self.customers.get_mut(&r.customer).filter(|_| r.attempts.is_empty()) {
            c.lease += r.drew;
        }
        if r.attempts.iter().all(|a| !a.out) {
            self.requests.remove(id);
        }
    }

    /// Danger: a server that takes work and answers nothing. What is out there for longer than the fleet ever
    /// needs gets another try elsewhere, as far as class and retry budget allow.
    pub(super) fn rescue(&mut self, out: &mut Vec<Action>) {
        let mut late = Vec::new();
        for (id, r) in &self.requests {
            let mut flying = r.attempts.iter().enumerate().filter(|(_, a)| a.out);
            let (Some((n, a)), None) = (flying.next(), flying.next()) else { continue };
            let Some(s) = self.servers.get(&a.server) else { continue };
            let silent = self.silent(s) || s.ejected > self.now;
            let age = self.now.saturating_sub(a.sent) as f64;
            if silent && age > self.overdue(s) && self.set.limits.cancel && self.may_resend(id) {
                late.push((id.clone(), n as u32, a.server));
            }
        }
        for (id, attempt, server) in late {
            self.strike(server);
            out.push(Action::Cancel { id, attempt });
        }
    }
}
