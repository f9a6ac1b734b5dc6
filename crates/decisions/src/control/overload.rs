//! Load shedding: which requests are refused while the servers are overloaded, and until when.

use super::{Controller, Micros, RequestId, ACTIVE_GAIN, DONE_SPAN, TICK};

/// Time constant of the mean latency, in microseconds.
pub(super) const MEAN_SPAN: f64 = 4.0e6;
const PRIOR_ATTEMPTS: f64 = 3.0; // The mean latency's weight in the expected latency, in active attempts.
/// A request is shed when the expected latency exceeds this share of the shortest target: for requests worth
/// least, and for those worth most. Service times vary about as much as their mean, hence well below 1.
pub(super) const SHED_CHEAPEST: f64 = 0.25;
pub(super) const SHED_DEAREST: f64 = 0.48;

impl Controller {
    /// If the servers are overloaded for this request: how soon they are not if nothing more is sent (the
    /// smoothed load falls by a constant share each tick). The cheapest are shed first, or all would be late.
    /// Judged by the attempts active now: by past latencies alone an idle fleet would shed forever.
    pub(super) fn overload_ends_in(&self, id: &RequestId) -> Option<Micros> {
        let request = self.requests.get(id)?;
        let plan = self.settings.plans.get(request.plan)?;
        let class = &self.settings.classes[request.class];
        let credit = self.settings.classes.iter().map(|c| c.credit).fold(1e-9, f64::max);
        let factor = self.settings.plans.iter().map(|p| p.worth_factor).fold(1e-9, f64::max);
        let rank = class.credit / credit * plan.worth_factor / factor;
        // NaN ranks last.
        let rank = if rank > 0.0 { rank.min(1.0) } else { 0.0 };
        let share = SHED_CHEAPEST + (SHED_DEAREST - SHED_CHEAPEST) * rank;
        // All classes share the servers' queues: with targets of their own the longest would take them all.
        let excess = self.expected_latency() / (self.shortest_target() * share).max(1.0);
        (excess > 1.0).then(|| (excess.ln() / ACTIVE_GAIN * TICK as f64) as Micros)
    }

    /// The expected latency of a new request, by Little's law: this node's active attempts at healthy servers
    /// over the rate of their answers. A node with few requests has one active or none, and one would look
    /// like overload: while there are answers, recent latencies weigh as much as `PRIOR_ATTEMPTS` attempts.
    pub(super) fn expected_latency(&self) -> f64 {
        let mut rate = 0.0;
        for s in self.servers.values().filter(|s| s.listed && self.healthy(s)) {
            rate += s.answers.get(self.now, DONE_SPAN);
        }
        let mean = self.recent.mean(self.now, self.shortest_target() * SHED_CHEAPEST / 2.0, MEAN_SPAN);
        let (mean, cold_excess) = self.bounded_mean(mean);
        let age = 1.0 - (-(self.now.saturating_sub(self.first_event_at) as f64) / DONE_SPAN).exp();
        let rate = (rate > 0.0).then_some(rate / age.max(1e-3) + PRIOR_ATTEMPTS * 1e6 / mean.max(1.0));
        rate.map_or(0.0, |rate| (self.active_mean + PRIOR_ATTEMPTS) / rate * 1e6 - cold_excess)
    }

    /// The mean latency, limited so that it can't shed by itself (with all shed no answer would correct it),
    /// and the excess due to cold servers: slow without a queue, a fleet under replacement would look full.
    fn bounded_mean(&self, mean: f64) -> (f64, f64) {
        let cold_excess = self.base * (self.cold_slowdown() - 1.0);
        (mean.min(cold_excess + self.shortest_target() * SHED_CHEAPEST), cold_excess)
    }

    /// Mean latency relative to warm servers: each server gets requests in proportion to its warmth, and
    /// takes longer for each in inverse proportion.
    pub(super) fn cold_slowdown(&self) -> f64 {
        let in_subset = self.servers.values().filter(|s| s.in_subset);
        let (count, warmth) = in_subset.fold((1e-9, 1e-9), |(n, w), s| (n + 1.0, w + self.warmth(s)));
        count / warmth
    }

    /// The shortest latency target; a class without one counts by its deadline, as 0 would shed all others.
    pub(super) fn shortest_target(&self) -> f64 {
        let bounds = self.settings.classes.iter().map(|c| if c.on_time > 0 { c.on_time } else { c.deadline });
        bounds.filter(|&target| target > 0).min().unwrap_or(0) as f64
    }
}
