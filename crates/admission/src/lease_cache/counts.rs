//! Counts of lease requests and their answers, which tell why client requests are rejected.

use crate::lease::LeaseGrant;
use crate::Micros;

use super::tenant::LEASE_REQUEST_TIMEOUT;

/// Lease requests of one proxy and their answers, since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LeaseCounts {
    /// Requests that asked for units.
    pub requests: u64,
    /// Answers.
    pub answers: u64,
    /// The sum of the times that the answers took.
    pub answer_time: Micros,
    /// Answers that took at least the timeout of a lease request, after which a request is given up and repeated.
    pub late_answers: u64,
    /// Answers of nodes that do not allocate for the tenant.
    pub not_owner: u64,
    /// Units received in leases.
    pub units: f64,
    /// The part of these that had expired on arrival.
    pub expired_units: f64,
    /// Units spent from shares.
    pub share_units: u64,
    /// Client requests rejected because the proxy was cut off and had no unit of its share left.
    pub rejected_cut_off: u64,
}

impl LeaseCounts {
    /// Counts the answer to the request that was sent at `sent_at`.
    pub(super) fn add_answer(&mut self, now: Micros, sent_at: Micros, grant: &LeaseGrant) {
        let answer_time = now.saturating_sub(sent_at);
        self.answers += 1;
        self.answer_time += answer_time;
        self.late_answers += u64::from(answer_time >= LEASE_REQUEST_TIMEOUT);
        match grant {
            LeaseGrant::Units { units, duration, .. } => {
                self.units += units;
                if answer_time >= *duration {
                    self.expired_units += units;
                }
            }
            LeaseGrant::Exhausted { .. } => {}
            LeaseGrant::NotOwner => self.not_owner += 1,
        }
    }
}
