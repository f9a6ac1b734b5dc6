//! Overload: which request is shed when the fleet is full, and how soon it is not.

use super::{Controller, Micros, RequestId, DONE_SPAN, HELD_GAIN, TICK};

/// Smoothing of the mean time of answers, and how many requests out it weighs as much as.
pub(super) const MEAN_SPAN: f64 = 4.0e6;
const EVIDENCE: f64 = 3.0;
/// A request is shed when its expected latency is past this share of its aim: the cheapest and the dearest
/// work. Work times vary about as much as their mean, hence well under the whole.
pub(super) const SHED_CHEAPEST: f64 = 0.25;
pub(super) const SHED_DEAREST: f64 = 0.48;

impl Controller {
    /// If the fleet is full for this request, how soon it is not, if nothing more were sent: what is expected
    /// is smoothed, so it falls by a constant share each tick.
    /// Danger: a full fleet, where everything is answered late. The cheapest work goes first. Judged by what
    /// is out now, so that an idle fleet always lets in: old latencies alone latch it shut.
    pub(super) fn overloaded(&self, id: &RequestId) -> Option<Micros> {
        let r = self.requests.get(id)?;
        let plan = self.set.plans.get(r.plan)?;
        let class = &self.set.classes[r.class];
        let credit = self.set.classes.iter().map(|c| c.credit).fold(1e-9, f64::max);
        let factor = self.set.plans.iter().map(|p| p.worth_factor).fold(1e-9, f64::max);
        let rank = class.credit / credit * plan.worth_factor / factor;
        // What is no number ranks last.
        let rank = if rank > 0.0 { rank.min(1.0) } else { 0.0 };
        let share = SHED_CHEAPEST + (SHED_DEAREST - SHED_CHEAPEST) * rank;
        // All classes queue at the same servers: the shortest aim rules, or the patient class takes all.
        let over = self.expected() / (self.shortest_aim() * share).max(1.0);
        (over > 1.0).then(|| (over.ln() / HELD_GAIN * TICK as f64) as Micros)
    }

    /// The latency to expect of a new request, by Little's law: what this node has out over the rate at which
    /// answers come, on the servers that answer. Danger: a node that sees a few requests a second has one or
    /// none out, and one alone would look like a full fleet. So the mean of recent answers weighs as much as
    /// `EVIDENCE` requests out; with no answers it is forgotten.
    pub(super) fn expected(&self) -> f64 {
        let mut rate = 0.0;
        for s in self.servers.values().filter(|s| s.listed && self.well(s)) {
            rate += s.done.get(self.now, DONE_SPAN);
        }
        let mean = self.times.mean(self.now, self.shortest_aim() * SHED_CHEAPEST / 2.0, MEAN_SPAN);
        let (mean, by_cold) = self.bounded(mean);
        let age = 1.0 - (-(self.now.saturating_sub(self.begun) as f64) / DONE_SPAN).exp();
        let rate = (rate > 0.0).then_some(rate / age.max(1e-3) + EVIDENCE * 1e6 / mean.max(1.0));
        rate.map_or(0.0, |rate| (self.held + EVIDENCE) / rate * 1e6 - by_cold)
    }

    /// The mean that may weigh as evidence, and what an answer takes longer because servers are cold. Danger:
    /// a cold server is slow though nothing waits there, and a fleet being replaced would be taken for full.
    /// A mean past what sheds, with all shed, gets no new answer: alone it must not shed an idle fleet.
    fn bounded(&self, mean: f64) -> (f64, f64) {
        let by_cold = self.usual * (self.slowed() - 1.0);
        (mean.min(by_cold + self.shortest_aim() * SHED_CHEAPEST), by_cold)
    }

    /// How many times as long a request takes in the mean as in a warm fleet: each server gets its share of
    /// the requests by its warmth, and takes as many times as long by it.
    pub(super) fn slowed(&self) -> f64 {
        let near = self.servers.values().filter(|s| s.near);
        let (count, warmth) = near.fold((1e-9, 1e-9), |(n, w), s| (n + 1.0, w + self.warmth(s)));
        count / warmth
    }

    /// A class without an aim has its deadline. Danger: an aim of nothing would shed all other classes.
    pub(super) fn shortest_aim(&self) -> f64 {
        let aims = self.set.classes.iter().map(|c| if c.on_time > 0 { c.on_time } else { c.deadline });
        aims.filter(|&aim| aim > 0).min().unwrap_or(0) as f64
    }
}
