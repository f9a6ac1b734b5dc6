//! Server choice: the list of app servers, their health, cold starts, and which one gets an attempt.

use super::overload::MEAN_SPAN;
use super::{
    lot, Action, BTreeMap, Bucket, Controller, Effect, Group, ListKind, Member, MemberState, Micros, Rate,
    RequestId, Server, ServerId, Tally, DONE_SPAN, PLANS, RATE_SPAN, TALLY_SPAN,
};
use crate::ring;

/// First ejection of a suspect server; doubles up to the last.
const EJECT: Micros = 400_000;
const EJECT_MAX: Micros = 6_400_000;
/// A cold server no slower than warm ones usually are gets this much over its sure share; far under the fall
/// multiple.
const COLD_PACE: f64 = 1.5;
/// What a cold server may take, in its part of what is sent: the part is by the least that it can do.
const COLD_ROOM: f64 = 2.0;
/// A cold server whose part is saved up is taken by so much more readily. Danger: drawn by its part and held
/// to its part, it gets less.
const COLD_DRAWN: f64 = 1.4;
/// Where no server is warm, what they are sent may grow by this much over what they answer.
const COLD_GROWTH: f64 = 1.5;
/// What they get of what warm ones carried while they answer nothing. Danger: those that come back may be
/// smaller, and with more than they can do none answers in time to tell.
const COLD_UNHEARD: f64 = 0.25;
/// Smoothing of what a warm server carries: over minutes of a rush, and little of a crash's last moments.
const CARRY_SPAN: f64 = 15.0e6;
/// From how many attempts out at each server on own counts outweigh the lot. Danger: where a node sees less
/// than that, all take the fastest few servers until these are full.
const SEEN: f64 = 0.12;
/// A server in good standing that has answered nothing for so long, and for so many times what passes between
/// two requests of this node to one server, gets the next request.
const UNHEARD: Micros = 2_000_000;
const UNHEARD_TURNS: f64 = 4.0;
/// How much a sure failure adds to a server's cost.
const FAIL_COST: f64 = 10.0;
/// A server that fails more than this share of a kind is not sound.
const FAILS: f64 = 0.1;

impl Controller {
    pub(super) fn on_members(&mut self, kind: ListKind, entries: Vec<Member>, out: &mut Vec<Action>) {
        let now = self.now;
        if kind == ListKind::Stale || (kind == ListKind::Lost && self.set.list_on_request) {
            // Danger: an old list after a restart names dead servers and hides cold ones. Ask anew.
            out.push(if self.set.list_on_request { Action::WatchList } else { Action::FetchList });
        }
        if kind == ListKind::Lost {
            return;
        }
        if kind != ListKind::Changes {
            self.servers.values_mut().for_each(|s| (s.listed, s.gone) = (false, true));
        }
        for m in entries {
            // Danger: a whole request for free at each of a hundred nodes pushes a cold server over at once.
            let slow = Bucket { store: lot(&mut self.random), at: now };
            let (started, latency) = (m.started, self.latency);
            let known = self.recalled.remove(&m.server);
            let (latency, tally) = known.unwrap_or((latency, BTreeMap::new()));
            let new = || Server { started, latency, tally, heard: now, slow, ..Server::default() };
            let s = self.servers.entry(m.server).or_insert_with(new);
            (s.zone, s.cell) = (m.zone, m.cell);
            s.size = if m.weight.is_finite() && m.weight > 0.0 { m.weight } else { 1.0 };
            s.listed = m.state == MemberState::In;
            s.gone = m.state == MemberState::Out;
            if m.started > s.started {
                (s.started, s.strikes, s.breaks, s.ejected) = (m.started, 0, 0, 0);
                (s.slow, s.latency) = (slow, self.latency);
            }
        }
        self.arrange();
        self.measure_warm();
        self.forget();
    }

    /// Puts the listed servers in the order in which this node turns to them.
    pub(super) fn arrange(&mut self) {
        let listed = self.servers.iter().filter(|(_, s)| s.listed);
        let listed = listed.map(|(&key, s)| (key, s.zone, s.size));
        self.ring = ring::ring(self.set.me, self.set.nodes, listed);
        self.keep_to();
    }

    /// Takes the first on the ring for those that this node keeps to, by what it sends. Danger: a hundred
    /// nodes that each send to sixty servers open thousands of connections, and none sees which are busy.
    pub(super) fn keep_to(&mut self) {
        let (now, age) = (self.now, self.now.saturating_sub(self.begun) as f64 / RATE_SPAN);
        let rate = self.sends.get(now, RATE_SPAN) / (1.0 - (-age).exp()).max(0.1);
        if rate > self.peak.get(now, ring::PEAK_SPAN) {
            self.peak = Rate { value: rate, at: now };
        }
        self.reach = ring::reach(self.peak.get(now, ring::PEAK_SPAN), self.usual).min(self.ring.len());
        self.servers.values_mut().for_each(|s| s.near = false);
        for key in &self.ring[..self.reach] {
            self.servers.get_mut(key).into_iter().for_each(|s| s.near = true);
        }
    }

    /// Looks whether a server is past its cold start for sure, and what such a one carries for this node and
    /// how long its answers take. What it carries is told by answers: what is sent doubles as servers die,
    /// and falls on the last that is listed.
    pub(super) fn measure_warm(&mut self) {
        let (now, cold) = (self.now, self.set.rules.cold);
        let warm = |s: &&Server| s.started == 0 || now >= s.started.saturating_add(cold);
        self.any_warm = self.servers.values().filter(|s| s.listed).any(|s| warm(&s));
        // One that fails what it is sent gets next to nothing, and tells nothing of what a sound one carries.
        let sound =
            |s: &&Server| self.well(s) && s.tally.values().all(|t| t.mean(now, 0.0, TALLY_SPAN) < FAILS);
        let sum = |(size, done), s: &Server| (size + s.size, done + s.done.get(now, DONE_SPAN));
        let near = self.servers.values().filter(|s| s.near);
        let (size, done) = near.filter(warm).filter(sound).fold((0.0, 0.0), sum);
        let span = (now.saturating_sub(self.carried.at) as f64).min(CARRY_SPAN);
        self.carried.at = now;
        // Until rates have settled they tell of too little, and until it has measured for long a mean that
        // fades tells of what it began with.
        if size > 0.0 && now > self.begun + 2 * DONE_SPAN as Micros {
            self.measured += span;
            let gain = (1.0 - (-span / CARRY_SPAN).exp()).max(span / self.measured.max(1.0));
            self.carried.value += (done / size - self.carried.value) * gain;
            let slowed = self.slowed();
            self.usual += (self.times.mean(now, self.usual * slowed, MEAN_SPAN) / slowed - self.usual) * gain;
        }
    }

    /// What this node sends a second to a warm server of size 1, in the mean, or what a sound one has
    /// carried, with the room that cold ones have beyond their sure part. Danger: where warm ones fail, all
    /// that cold ones are not given goes to these. Danger: a fleet that is cold as a whole (after a power
    /// cut) has no warm one to tell, and a part of next to nothing is nothing: it would idle until it is warm
    /// by the clock. There it is what a warm one carried last, or, at all nodes together, one request after
    /// the other, or a little more than is answered now. It does harm where the servers that come back are
    /// some times smaller than before.
    pub(super) fn per_server(&self) -> f64 {
        let listed = self.servers.values().filter(|s| s.listed);
        if self.any_warm {
            let warmth: f64 = listed.map(|s| self.warmth(s) * s.size).sum();
            let mean = self.sends.get(self.now, RATE_SPAN) / warmth.max(1.0) * self.parts();
            return mean.max(self.carried.value) * COLD_ROOM;
        }
        let sum = |(w, d), s: &Server| (w + self.warmth(s) * s.size, d + s.done.get(self.now, DONE_SPAN));
        let (warmth, done) = listed.fold((0.0, 0.0), sum);
        let in_turn = 1e6 / (self.latency * f64::from(self.set.nodes.max(1))) * self.parts();
        let heard = ((done + 1.0) / (self.sends.get(self.now, RATE_SPAN) + 1.0)).clamp(COLD_UNHEARD, 1.0);
        (done / warmth.max(0.05) * self.parts() * COLD_GROWTH).max(self.carried.value * heard).max(in_turn)
    }

    /// How many nodes there are for each that keeps to a server.
    fn parts(&self) -> f64 {
        self.ring.len() as f64 / self.reach.max(1) as f64
    }

    /// The share of its capacity that a server surely has by now. To be no slower than a fleet that is cold
    /// as a whole tells nothing.
    pub(super) fn warmth(&self, s: &Server) -> f64 {
        let rules = &self.set.rules;
        if s.started == 0 || rules.cold == 0 {
            return 1.0;
        }
        let age = self.now.saturating_sub(s.started) as f64 / rules.cold as f64;
        let pace = if self.any_warm && s.latency < self.usual { COLD_PACE } else { 1.0 };
        (pace * (rules.cold_from + (1.0 - rules.cold_from) * age)).min(1.0)
    }

    /// An attempt out for longer than this is past what such a server needs. Danger: a cold one takes some
    /// times as long; given up before it could answer, none would ever tell how long that is.
    pub(super) fn overdue(&self, s: &Server) -> f64 {
        (self.latency + 4.0 * self.deviation) / self.warmth(s).max(0.05)
    }

    /// Silence while others answer, by the oldest attempt out since the last ejection. Danger: what hung
    /// before, and may not be sent again, would keep a server shut long after it has recovered.
    pub(super) fn silent(&self, s: &Server) -> bool {
        let Some(&oldest) = s.out.iter().find(|&&sent| sent >= s.ejected) else { return false };
        let since = self.now.saturating_sub(oldest.max(s.heard)) as f64;
        since > self.overdue(s) * if s.out.len() > 2 { 1.0 } else { 2.0 }
    }

    /// Whether a server answers, and about as fast as the others.
    pub(super) fn well(&self, s: &Server) -> bool {
        s.strikes == 0 && s.latency < 2.0 * self.latency && !self.silent(s)
    }

    /// How many attempts a server is at. Danger: what hung before the last ejection, and what got lost while
    /// later attempts were answered, stays out until its client gives up; one or two look like a full fleet.
    /// It does harm where single requests work for much longer than others: these are not seen.
    pub(super) fn working(&self, s: &Server) -> usize {
        let lost = s.answered.saturating_sub(self.overdue(s) as Micros);
        s.out.iter().filter(|&&sent| sent >= s.ejected && sent >= lost).count()
    }

    /// After how long without an answer what is known of a server is old.
    pub(super) fn hush(&self) -> Micros {
        let turn = self.reach as f64 / self.sends.get(self.now, RATE_SPAN).max(1e-3) * 1e6;
        UNHEARD.max((UNHEARD_TURNS * turn) as Micros)
    }

    /// The server where an attempt should do best, or none that may take it.
    pub(super) fn choose(&mut self, id: &RequestId, not: Option<ServerId>) -> Option<ServerId> {
        let r = self.requests.get(id)?;
        let class = &self.set.classes[r.class];
        let bound = r.ran.map(|(_, place)| place);
        let per_server = self.per_server();
        let safe = class.effect == Effect::Safe;
        // Danger: a node with next to nothing out would always take the largest server. The less its own
        // counts tell, the more the lot decides: exponential, so that servers are drawn by their size.
        let held: usize = self.servers.values().map(|s| s.out.len()).sum();
        let blind = 1.0 / (1.0 + (held as f64 / self.reach.max(1) as f64 / SEEN).powi(2));
        let now = self.now;
        let hush = self.hush();
        let common = |kind| (kind, self.tally.get(&kind).map_or(0.0, |t| t.mean(now, 0.0, TALLY_SPAN)));
        let kinds = [r.class, PLANS + r.plan].map(common);
        let failing = kinds.iter().any(|k| k.1 > 0.01);
        let mut best: Option<(bool, f64, ServerId)> = None;
        let mut open = 0;
        for &key in &self.ring {
            let Some(s) = self.servers.get(&key) else { continue };
            let in_group = match (class.effect, class.group, bound) {
                (Effect::Keyed, Group::Zone, Some((zone, _))) => s.zone == zone,
                (Effect::Keyed, Group::Cell, Some((_, cell))) => s.cell == cell,
                _ => true,
            };
            let warmth = self.warmth(s);
            // Danger: a cold one gets its part from those that keep to it, and no more from others.
            if !in_group || Some(key) == not || (warmth < 1.0 && !s.near) {
                continue;
            }
            // Danger: a cold server pushed over. This node's 1/n part of the guaranteed share, counted in
            // what it sends a warm one, is all it gets.
            let span = self.now.saturating_sub(s.slow.at) as f64 / 1e6;
            if warmth < 1.0 && s.slow.store + per_server * warmth * s.size * span < 1.0 {
                continue;
            }
            let closed = s.ejected > self.now || self.silent(s);
            if !closed && s.strikes > 0 && (!safe || s.out.back().is_some_and(|&sent| sent >= s.ejected)) {
                continue;
            }
            let load = s.out.iter().filter(|&&sent| sent >= s.ejected).count() as f64;
            let slowness = (s.latency / self.latency).clamp(0.25, 4.0);
            let lot = -(1.0 - lot(&mut self.random)).ln();
            let saved = if warmth < 1.0 { 1.0 + COLD_DRAWN } else { 1.0 };
            let cost = slowness * (load + 1.0 - blind + blind * lot) / (s.size * warmth.max(0.05) * saved);
            let far = if s.zone == self.set.zone { 1.0 } else { 1.0 + 2.0 * self.set.cross_zone_price };
            let share = |t: &Tally, prior| t.mean(now, prior, TALLY_SPAN);
            let risk = |(kind, prior)| s.tally.get(&kind).map_or(prior, |t| share(t, prior));
            let fails = if failing { kinds.map(risk).into_iter().fold(0.0, f64::max) } else { 0.0 };
            // Danger: one that was slow, or is cold, is passed over for good while others have room. But a
            // node that sends little hears of all rarely, and a hundred such would take the same one at once.
            let sound = !closed && s.strikes == 0 && fails < FAILS;
            let unheard = sound && s.out.is_empty() && now > s.heard + hush;
            let cost = cost * far * (1.0 + FAIL_COST * fails).powi(2);
            let cost = if unheard { cost * 1e-6 } else { cost };
            if best.is_none_or(|(c, b, _)| (closed, cost) < (c, b)) {
                best = Some((closed, cost, key));
            }
            open += usize::from(!closed);
            if open >= self.reach {
                break;
            }
        }
        best.map(|(_, _, key)| key)
    }

    pub(super) fn strike(&mut self, key: ServerId) {
        let Some(s) = self.servers.get_mut(&key).filter(|s| s.ejected <= self.now) else { return };
        s.ejected = self.now + (EJECT << s.strikes.min(8)).min(EJECT_MAX);
        s.strikes += 1;
    }
}
