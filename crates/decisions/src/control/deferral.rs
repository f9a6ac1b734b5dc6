//! The deferral schedule: what is beyond quota is refused with a spaced time to come back (DSRT).

use super::overload::SHED_CHEAPEST;
use super::{Action, Controller, Reason, RequestId, RATE_SPAN};

impl Controller {
    /// Beyond quota: DSRT. A retry-after x past the latest promise, at most D of them open.
    pub(super) fn beyond(&mut self, id: &RequestId, why: Reason, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(r) = self.requests.get(id) else { return };
        let Some(plan) = self.set.plans.get(r.plan) else { return };
        // Where a try beyond quota earns more than it costs it is served, while there is room.
        let roomy = self.expected() < self.set.classes[r.class].on_time as f64 * SHED_CHEAPEST;
        if plan.extra_worth > plan.excess_cost && plan.ceiling_rate <= 0.0 && roomy {
            return self.launch(id, out);
        }
        let Some(c) = self.customers.get_mut(&r.customer) else { return };
        let (rate, burst) = (plan.quota_rate, plan.burst);
        let x = if rate > 0.0 {
            r.units / c.drawn.get(now, RATE_SPAN).max(rate / c.spread) * 1e6
        } else {
            self.latency / (plan.open_limit as f64 / c.spread).max(1.0)
        };
        let reach = if rate > 0.0 { burst / rate * 1e6 } else { self.latency * plan.open_limit as f64 };
        let reach = reach.min(self.set.limits.max_retry_after as f64);
        c.promises.drop_due(now);
        let told = self.set.limits.retry_after && !r.marked;
        let advice = told.then(|| c.promises.promise(now, x, reach)).flatten().unwrap_or(0);
        self.refuse(id, advice, why, out);
    }
}
