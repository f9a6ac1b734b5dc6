//! The limit of the requests that a proxy may send to the new version.
//!
//! While the new version is a canary, each proxy keeps its requests to the new version within the permitted fraction of all its
//! requests since its first permit. So all proxies together stay within that fraction of the requests since the order, even if
//! reports or permits are lost or another registry takes over. A restarted process counts from zero, which keeps the same bound.
//! If requests counted from the order on, the canary would begin with a burst of requests, of which the slow ones end together and
//! make the new version appear slow.

use crate::report::RolloutPermit;
use crate::Micros;

/// One proxy's requests in a rollout, and its permit.
#[derive(Debug, Clone, Default)]
pub struct Exposure {
    /// Requests that have reached the service since the first permit.
    reached: u64,
    /// Requests that were sent to the new version, including repeated attempts there.
    exposed: u64,
    first_exposed_at: Option<Micros>,
    /// The newest permit, possibly expired.
    permit: Option<RolloutPermit>,
}

impl Exposure {
    /// Counts a request to the service, whichever version gets it, once a permit has been received.
    pub fn count_reached(&mut self) {
        self.reached += u64::from(self.permit.is_some());
    }

    /// Counts a request that is sent to the new version, or another attempt of it there.
    pub fn count_exposed(&mut self, now: Micros) {
        self.exposed += 1;
        self.first_exposed_at.get_or_insert(now);
    }

    /// The time since the first request was sent to the new version; 0 if there was none.
    pub fn exposed_for(&self, now: Micros) -> Micros {
        self.first_exposed_at.map_or(0, |at| now.saturating_sub(at))
    }

    /// Stores a received permit, unless a newer one is known.
    pub fn permit(&mut self, permit: RolloutPermit) {
        let is_newer = self.permit.as_ref().is_none_or(|known| known.sent_at <= permit.sent_at);
        if is_newer {
            self.permit = Some(permit);
        }
    }

    /// The permit that is valid now, if any.
    pub fn valid_permit(&self, now: Micros) -> Option<&RolloutPermit> {
        self.permit.as_ref().filter(|permit| now < permit.sent_at.saturating_add(permit.duration))
    }

    /// Whether the next request goes to the new version. `proxies` is the number of proxies that share the service's requests;
    /// `drawn` is a random number from 0 to 1.
    pub fn takes_next(&self, now: Micros, proxies: usize, drawn: f64) -> bool {
        let Some(permit) = self.valid_permit(now) else { return false };
        let share = u64::from(permit.share_permille);
        if !permit.is_cumulative {
            return drawn * 1_000.0 < share as f64;
        }
        let first = u64::from(permit.margin) / proxies.max(1) as u64;
        (self.exposed + 1) * 1_000 <= self.reached * share + first * 1_000
    }
}
