//! Load balancing: the server list, server health, slow start of cold servers, and the choice of a server.

use super::overload::MEAN_SPAN;
use super::{
    uniform, Action, BTreeMap, Bucket, Controller, DecayingMean, Effect, Group, ListKind, Member,
    MemberState, Micros, Rate, RequestId, Server, ServerId, DONE_SPAN, FAIL_SPAN, PLAN_KINDS, RATE_SPAN,
};
use crate::ring;

/// Duration of a server's first ejection; it doubles with each one up to `EJECT_MAX`.
const EJECT: Micros = 400_000;
const EJECT_MAX: Micros = 6_400_000;
/// Factor on the guaranteed warmth of a cold server that is as fast as warm ones; far below `fall_multiple`.
const COLD_PACE: f64 = 1.5;
/// What a cold server may get relative to its share of what is sent, which is by its guaranteed capacity.
const COLD_HEADROOM: f64 = 2.0;
/// Preference for a cold server that may take a request: chosen by its share and limited to it, it gets less.
const COLD_BOOST: f64 = 1.4;
/// Where no server is warm, the rate sent may exceed the rate answered by this factor.
const GROWTH: f64 = 1.5;
/// Share of the former warm rate that they get at least, also while they answer nothing. They may be smaller
/// than before, and an overloaded one answers nothing in time.
const COLD_MIN: f64 = 0.25;
/// Time constant of `warm_rate`, `base`: averages over a rush, takes in little of a crash's last moments.
const WARM_SPAN: f64 = 15.0e6; // Microseconds.
/// Pending attempts per server from which on the node's own counts outweigh the random draw. Without the draw
/// all nodes with fewer would take the same few fastest servers until these are full.
const INFORMED_AT: f64 = 0.12;
/// A sound server without attempts gets the next request if it has answered nothing for this long, and for
/// `STALE_INTERVALS` mean intervals between this node's requests to one server.
const STALE_AFTER: Micros = 2_000_000;
const STALE_INTERVALS: f64 = 4.0;
/// What a certain failure adds to a server's cost.
const FAIL_COST: f64 = 10.0;
/// A server with a larger share of failures of one kind is not sound.
const FAIL_MAX: f64 = 0.1;

impl Controller {
    pub(super) fn on_members(&mut self, kind: ListKind, entries: Vec<Member>, out: &mut Vec<Action>) {
        let now = self.now;
        if kind == ListKind::Stale || (kind == ListKind::Lost && self.settings.list_on_request) {
            // A list stored before a restart may name dead servers and miss new ones, which are cold.
            out.push(if self.settings.list_on_request { Action::WatchList } else { Action::FetchList });
        }
        if kind == ListKind::Lost {
            return;
        }
        if kind != ListKind::Changes {
            self.servers.values_mut().for_each(|s| (s.listed, s.removed) = (false, true));
        }
        for m in entries {
            // A random part: with a whole request each a hundred nodes would overload a cold server at once.
            let slow_start = Bucket { store: uniform(&mut self.random), at: now };
            let (started, latency) = (m.started, self.latency);
            let known = self.restored.remove(&m.server);
            let (latency, failures) = known.unwrap_or((latency, BTreeMap::new()));
            let new = || Server { started, latency, failures, seen_at: now, slow_start, ..Server::default() };
            let s = self.servers.entry(m.server).or_insert_with(new);
            (s.zone, s.cell) = (m.zone, m.cell);
            s.size = if m.weight.is_finite() && m.weight > 0.0 { m.weight } else { 1.0 };
            s.listed = m.state == MemberState::InService;
            s.removed = m.state == MemberState::Removed;
            if m.started > s.started {
                (s.started, s.ejects, s.resets, s.eject_end) = (m.started, 0, 0, 0);
                (s.slow_start, s.latency) = (slow_start, self.latency);
            }
        }
        self.rebuild_ring();
        self.measure_warm();
        self.evict_idle();
    }

    /// Orders the listed servers by this node's preference.
    pub(super) fn rebuild_ring(&mut self) {
        let listed = self.servers.iter().filter(|(_, s)| s.listed);
        let listed = listed.map(|(&key, s)| (key, s.zone, s.size));
        self.ring = ring::ring(self.settings.me, self.settings.nodes, listed);
        self.update_subset();
    }

    /// Sizes this node's subset, the first servers on the ring, by its send rate. A hundred nodes that each
    /// send to sixty servers would open thousands of connections, and none would see which servers are busy.
    pub(super) fn update_subset(&mut self) {
        let (now, age) = (self.now, self.now.saturating_sub(self.first_event_at) as f64 / RATE_SPAN);
        let rate = self.send_rate.get(now, RATE_SPAN) / (1.0 - (-age).exp()).max(0.1);
        if rate > self.peak.get(now, ring::PEAK_SPAN) {
            self.peak = Rate { value: rate, at: now };
        }
        self.subset_size =
            ring::subset_size(self.peak.get(now, ring::PEAK_SPAN), self.base).min(self.ring.len());
        self.servers.values_mut().for_each(|s| s.in_subset = false);
        for key in &self.ring[..self.subset_size] {
            self.servers.get_mut(key).into_iter().for_each(|s| s.in_subset = true);
        }
    }

    /// Updates whether a server is surely warm, and the rate and latency of warm servers. The rate is that of
    /// answers: the rate sent doubles as servers die, and goes to the last that is listed.
    pub(super) fn measure_warm(&mut self) {
        let (now, cold) = (self.now, self.settings.cold_start.cold);
        let warm = |s: &&Server| s.started == 0 || now >= s.started.saturating_add(cold);
        self.any_warm = self.servers.values().filter(|s| s.listed).any(|s| warm(&s));
        // A failing server gets almost no requests, and so shows nothing of what a sound one can answer.
        let sound = |s: &&Server| {
            self.healthy(s) && s.failures.values().all(|t| t.mean(now, 0.0, FAIL_SPAN) < FAIL_MAX)
        };
        let sum = |(size, answers), s: &Server| (size + s.size, answers + s.answers.get(now, DONE_SPAN));
        let in_subset = self.servers.values().filter(|s| s.in_subset);
        let (size, answers) = in_subset.filter(warm).filter(sound).fold((0.0, 0.0), sum);
        let span = (now.saturating_sub(self.warm_rate.at) as f64).min(WARM_SPAN);
        self.warm_rate.at = now;
        // Rates are too low until they have settled; and a decaying mean shows its initial value until it has
        // been measured for long, so at first all samples weigh the same.
        if size > 0.0 && now > self.first_event_at + 2 * DONE_SPAN as Micros {
            self.warm_measured_for += span;
            let gain = (1.0 - (-span / WARM_SPAN).exp()).max(span / self.warm_measured_for.max(1.0));
            self.warm_rate.value += (answers / size - self.warm_rate.value) * gain;
            let factor = self.cold_slowdown();
            self.base += (self.recent.mean(now, self.base * factor, MEAN_SPAN) / factor - self.base) * gain;
        }
    }

    /// The basis of cold servers' shares, in requests per second to a warm server of size 1: the mean rate
    /// sent or the warm rate (where warm servers fail they get what cold ones are not given), times
    /// `COLD_HEADROOM`. With no warm server (after a power cut) shares of almost nothing would leave the
    /// fleet idle until it is warm by age: there it is the last warm rate, one request after the other over
    /// all nodes, or a little more than is answered now. It overloads servers that return much smaller.
    pub(super) fn server_rate(&self) -> f64 {
        let listed = self.servers.values().filter(|s| s.listed);
        if self.any_warm {
            let warmth: f64 = listed.map(|s| self.warmth(s) * s.size).sum();
            let mean = self.send_rate.get(self.now, RATE_SPAN) / warmth.max(1.0) * self.parts();
            return mean.max(self.warm_rate.value) * COLD_HEADROOM;
        }
        let sum = |(w, n), s: &Server| (w + self.warmth(s) * s.size, n + s.answers.get(self.now, DONE_SPAN));
        let (warmth, answers) = listed.fold((0.0, 0.0), sum);
        let in_turn = 1e6 / (self.latency * f64::from(self.settings.nodes.max(1))) * self.parts();
        let served = ((answers + 1.0) / (self.send_rate.get(self.now, RATE_SPAN) + 1.0)).clamp(COLD_MIN, 1.0);
        (answers / warmth.max(0.05) * self.parts() * GROWTH).max(self.warm_rate.value * served).max(in_turn)
    }

    /// The number of subsets that the ring holds: one node in so many uses a given server.
    fn parts(&self) -> f64 {
        self.ring.len() as f64 / self.subset_size.max(1) as f64
    }

    /// The share of capacity that a server has by now at least. Its speed shows nothing where all are cold.
    pub(super) fn warmth(&self, s: &Server) -> f64 {
        let cold_start = &self.settings.cold_start;
        if s.started == 0 || cold_start.cold == 0 {
            return 1.0;
        }
        let age = self.now.saturating_sub(s.started) as f64 / cold_start.cold as f64;
        let pace = if self.any_warm && s.latency < self.base { COLD_PACE } else { 1.0 };
        (pace * (cold_start.cold_from + (1.0 - cold_start.cold_from) * age)).min(1.0)
    }

    /// The time after which an attempt at a server is overdue, in microseconds. A cold server takes several
    /// times as long: cancelled before it could answer, no attempt would ever show how long.
    pub(super) fn overdue_after(&self, s: &Server) -> f64 {
        (self.latency + 4.0 * self.deviation) / self.warmth(s).max(0.05)
    }

    /// Whether a server's oldest attempt since its last ejection is overdue without any answer meanwhile. One
    /// from before it that hangs, and may not be retried, would keep a recovered server out.
    pub(super) fn silent(&self, s: &Server) -> bool {
        let Some(&oldest) = s.in_flight.iter().find(|&&sent| sent >= s.eject_end) else { return false };
        let since = self.now.saturating_sub(oldest.max(s.seen_at)) as f64;
        since > self.overdue_after(s) * if s.in_flight.len() > 2 { 1.0 } else { 2.0 }
    }

    /// Whether a server answers, at less than twice the mean latency.
    pub(super) fn healthy(&self, s: &Server) -> bool {
        s.ejects == 0 && s.latency < 2.0 * self.latency && !self.silent(s)
    }

    /// The number of attempts that a server is working on. Attempts that hung before its last ejection, or
    /// were lost while later ones were answered, stay pending until the client gives up; one or two would
    /// look like overload. The price: a request that takes much longer than others is not counted.
    pub(super) fn active_count(&self, s: &Server) -> usize {
        let lost = s.newest_answered.saturating_sub(self.overdue_after(s) as Micros);
        s.in_flight.iter().filter(|&&sent| sent >= s.eject_end && sent >= lost).count()
    }

    /// The time without an answer after which what is known of a server is stale.
    pub(super) fn stale_after(&self) -> Micros {
        let interval = self.subset_size as f64 / self.send_rate.get(self.now, RATE_SPAN).max(1e-3) * 1e6;
        STALE_AFTER.max((STALE_INTERVALS * interval) as Micros)
    }

    /// The best server for an attempt, if any may take it. `except` is passed over.
    pub(super) fn choose(&mut self, id: &RequestId, except: Option<ServerId>) -> Option<ServerId> {
        let request = self.requests.get(id)?;
        let class = &self.settings.classes[request.class];
        let bound_to = request.first_run.map(|(_, location)| location);
        let server_rate = self.server_rate();
        let safe = class.effect == Effect::Safe;
        // With almost nothing pending a node would always take the largest server. The less is pending, the
        // more a random draw decides: exponential, so that servers are drawn in proportion to size.
        let pending: usize = self.servers.values().map(|s| s.in_flight.len()).sum();
        let noise = 1.0 / (1.0 + (pending as f64 / self.subset_size.max(1) as f64 / INFORMED_AT).powi(2));
        let now = self.now;
        let stale_after = self.stale_after();
        let common = |kind| (kind, self.failures.get(&kind).map_or(0.0, |t| t.mean(now, 0.0, FAIL_SPAN)));
        let kinds = [request.class, PLAN_KINDS + request.plan].map(common);
        let failing = kinds.iter().any(|k| k.1 > 0.01);
        let mut best: Option<(bool, f64, ServerId)> = None;
        let mut available = 0;
        for &key in &self.ring {
            let Some(s) = self.servers.get(&key) else { continue };
            let in_group = match (class.effect, class.group, bound_to) {
                (Effect::Keyed, Group::Zone, Some((zone, _))) => s.zone == zone,
                (Effect::Keyed, Group::Cell, Some((_, cell))) => s.cell == cell,
                _ => true,
            };
            let warmth = self.warmth(s);
            // A cold server gets its share from the nodes whose subset includes it, and nothing from others.
            if !in_group || Some(key) == except || (warmth < 1.0 && !s.in_subset) {
                continue;
            }
            // Against overload a cold server gets only this node's 1/n part of its guaranteed capacity.
            let span = self.now.saturating_sub(s.slow_start.at) as f64 / 1e6;
            if warmth < 1.0 && s.slow_start.store + server_rate * warmth * s.size * span < 1.0 {
                continue;
            }
            let down = s.eject_end > self.now || self.silent(s);
            if !down && s.ejects > 0 && (!safe || s.in_flight.back().is_some_and(|&sent| sent >= s.eject_end))
            {
                continue;
            }
            let load = s.in_flight.iter().filter(|&&sent| sent >= s.eject_end).count() as f64;
            let slowness = (s.latency / self.latency).clamp(0.25, 4.0);
            let draw = -(1.0 - uniform(&mut self.random)).ln();
            let boost = if warmth < 1.0 { 1.0 + COLD_BOOST } else { 1.0 };
            let cost = slowness * (load + 1.0 - noise + noise * draw) / (s.size * warmth.max(0.05) * boost);
            let far =
                if s.zone == self.settings.zone { 1.0 } else { 1.0 + 2.0 * self.settings.cross_zone_price };
            let share = |t: &DecayingMean, prior| t.mean(now, prior, FAIL_SPAN);
            let risk = |(kind, prior)| s.failures.get(&kind).map_or(prior, |t| share(t, prior));
            let failure_share = if failing { kinds.map(risk).into_iter().fold(0.0, f64::max) } else { 0.0 };
            // A server that was slow, or is cold, would never be tried again while others have capacity. By a
            // fixed time alone a hundred nodes that send little would all try the same one at once.
            let sound = !down && s.ejects == 0 && failure_share < FAIL_MAX;
            let is_stale = sound && s.in_flight.is_empty() && now > s.seen_at + stale_after;
            let cost = cost * far * (1.0 + FAIL_COST * failure_share).powi(2);
            let cost = if is_stale { cost * 1e-6 } else { cost };
            if best.is_none_or(|(u, least, _)| (down, cost) < (u, least)) {
                best = Some((down, cost, key));
            }
            available += usize::from(!down);
            if available >= self.subset_size {
                break;
            }
        }
        best.map(|(_, _, key)| key)
    }

    /// Ejects a server, unless it is ejected already.
    pub(super) fn eject(&mut self, key: ServerId) {
        let Some(s) = self.servers.get_mut(&key).filter(|s| s.eject_end <= self.now) else { return };
        s.eject_end = self.now + (EJECT << s.ejects.min(8)).min(EJECT_MAX);
        s.ejects += 1;
    }
}
