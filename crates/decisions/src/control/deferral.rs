//! Deferral: requests beyond the quota are refused with spaced retry-after times (DSRT).

use super::overload::SHED_CHEAPEST;
use super::{Action, Controller, Reason, RequestId, RATE_SPAN};

impl Controller {
    /// Refuses a request beyond the quota, with a retry-after `spacing` past the latest promise while fewer
    /// than D are open. A request that earns more than it costs is sent while there is spare capacity.
    pub(super) fn defer(&mut self, id: &RequestId, why: Reason, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(request) = self.requests.get(id) else { return };
        let Some(plan) = self.settings.plans.get(request.plan) else { return };
        let spare =
            self.expected_latency() < self.settings.classes[request.class].on_time as f64 * SHED_CHEAPEST;
        if plan.extra_worth > plan.excess_cost && plan.ceiling_rate <= 0.0 && spare {
            return self.launch(id, out);
        }
        let Some(c) = self.customers.get_mut(&request.customer) else { return };
        let (rate, burst) = (plan.quota_rate, plan.burst);
        let spacing = if rate > 0.0 {
            request.units / c.draw_rate.get(now, RATE_SPAN).max(rate / c.spread) * 1e6
        } else {
            self.latency / (plan.open_limit as f64 / c.spread).max(1.0)
        };
        let horizon = if rate > 0.0 { burst / rate * 1e6 } else { self.latency * plan.open_limit as f64 };
        let horizon = horizon.min(self.settings.limits.max_retry_after as f64);
        c.promises.drop_due(now);
        let advises = self.settings.limits.retry_after && !request.is_retry;
        let advice = advises.then(|| c.promises.promise(now, spacing, horizon)).flatten().unwrap_or(0);
        self.refuse(id, advice, why, out);
    }
}
