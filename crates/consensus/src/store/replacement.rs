//! Changes of the membership: a voting store that has lost its disk gets its new incarnation, one that has failed is
//! replaced, and further stores join until there are enough that the losses which the deployment tolerates leave a quorum.

use super::{Effects, Store, INTERNAL_REQUEST_ID};
use crate::message::{Member, Membership, StoreName};
use crate::proposer::Request;
use crate::quorum::target_member_count;
use crate::Micros;

/// The minimum time between two changes of the members' names. Once it has passed, no process acts any more on the
/// membership before the last change, so that at most two epochs have to be considered at once.
pub const MEMBERSHIP_CHANGE_INTERVAL: Micros = 4_400_000;
/// How long a store waits for each member of a lower rank before it proposes a change, so that not all propose it at once.
const RANK_DELAY: Micros = 300_000;

/// The change of membership that a store is waiting to propose.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Replacement {
    due: Option<DueReplacement>,
}

/// New members, and since when the change to them has been due.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DueReplacement {
    members: Vec<Member>,
    since: Micros,
}

impl Replacement {
    /// Discards the change.
    pub(super) fn reset(&mut self) {
        self.due = None;
    }

    /// Discards the change, and returns since when it was due if it leads to these members.
    fn take_due_since(&mut self, members: &[Member]) -> Option<Micros> {
        self.due.take().filter(|due| due.members == members).map(|due| due.since)
    }
}

impl Store {
    /// Proposes a change of membership if one has been due for long enough.
    pub(super) fn propose_membership_change(&mut self, now: Micros, effects: &mut Effects) {
        let is_recent = self.has_changed_names_recently(now);
        let members = self.next_members(now).filter(|next| !is_recent || self.has_same_names(next));
        let Some(members) = members else { return self.replacement.reset() };
        let since = self.replacement.take_due_since(&members).unwrap_or(now);
        if now < since + self.rank() * RANK_DELAY || self.proposer.is_busy() {
            self.replacement.due = Some(DueReplacement { members, since });
            return;
        }
        let previous = self.previous_names(is_recent);
        let next = Membership { epoch: self.membership.epoch + 1, members, previous };
        self.submit_request(now, INTERNAL_REQUEST_ID, Request::ChangeMembership(next), effects);
    }

    fn next_members(&self, now: Micros) -> Option<Vec<Member>> {
        if !self.is_voter() {
            return None;
        }
        // At the first start of the system only the seeds vote, which may be too few.
        let target_count = target_member_count(self.config.tolerated_losses);
        self.failure_detector.next_members(now, &self.membership.members, target_count)
    }

    /// Whether the members' names have changed less than [`MEMBERSHIP_CHANGE_INTERVAL`] ago.
    fn has_changed_names_recently(&self, now: Micros) -> bool {
        let previous = &self.membership.previous;
        let has_changed = !previous.is_empty() && *previous != self.membership.names();
        has_changed && now < self.membership_since + MEMBERSHIP_CHANGE_INTERVAL
    }

    /// Whether only incarnations change. Such a change does not wait for [`MEMBERSHIP_CHANGE_INTERVAL`]: the next disk may be
    /// lost as soon as the machine counts as repaired.
    fn has_same_names(&self, members: &[Member]) -> bool {
        members.iter().map(|member| &member.name).eq(&self.membership.names())
    }

    /// [`Membership::previous`] for the next membership.
    fn previous_names(&self, is_recent: bool) -> Vec<StoreName> {
        if is_recent {
            self.membership.previous.clone()
        } else {
            self.membership.names()
        }
    }
}
