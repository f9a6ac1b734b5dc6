//! How much of its requests a proxy may send to the new version.
//!
//! While the new version is a canary, each proxy keeps to the permitted part of its own requests since its first permit. So all
//! proxies together keep to that part of those since the order, whatever becomes of reports, permits, or the registry that gave
//! them; a process that starts anew counts from nothing, which keeps the same bound. Counted from the order on, the canary would
//! begin with many requests at once, of which the slow ones end together and make it look slow.

use crate::report::RolloutPermit;
use crate::Micros;

/// What a proxy has sent in a rollout, and what it may.
#[derive(Debug, Clone, Default)]
pub struct Exposure {
    /// Requests that have reached the service since the first permit.
    reached: u64,
    /// Requests that were given to the new version, and attempts at it beyond their first.
    exposed: u64,
    first_exposed_at: Option<Micros>,
    permit: Option<RolloutPermit>,
}

impl Exposure {
    /// A request has reached the service, at whichever version.
    pub fn count_reached(&mut self) {
        self.reached += u64::from(self.permit.is_some());
    }

    /// A request is given to the new version, or sent once more there.
    pub fn count_exposed(&mut self, now: Micros) {
        self.exposed += 1;
        self.first_exposed_at.get_or_insert(now);
    }

    /// How long ago the new version was given its first request; 0 if it has been given none.
    pub fn exposed_for(&self, now: Micros) -> Micros {
        self.first_exposed_at.map_or(0, |at| now.saturating_sub(at))
    }

    /// A permit has come.
    pub fn permit(&mut self, permit: RolloutPermit) {
        let is_newer = self.permit.as_ref().is_none_or(|known| known.sent_at <= permit.sent_at);
        if is_newer {
            self.permit = Some(permit);
        }
    }

    /// The permit that is valid now.
    pub fn valid_permit(&self, now: Micros) -> Option<&RolloutPermit> {
        self.permit.as_ref().filter(|permit| now < permit.sent_at.saturating_add(permit.duration))
    }

    /// Whether the next request goes to the new version. `proxies` share the service's requests; `drawn` is a random number from
    /// 0 to 1.
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
