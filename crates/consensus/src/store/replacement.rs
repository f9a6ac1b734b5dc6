//! Changes of the membership: a voting store that has lost its disk, or has failed, is replaced, and others join until the
//! losses that the deployment tolerates leave a quorum.

use super::{Effects, Store, OWN_REQUEST};
use crate::message::{Member, Membership, StoreName};
use crate::proposer::Request;
use crate::quorum::wanted_members;
use crate::Micros;

/// After a change of the members' names the next such change waits so long. By then nobody acts by the membership before it,
/// so that at most two epochs have to be considered at once.
pub const MEMBERSHIP_CHANGE_INTERVAL: Micros = 4_400_000;
/// A store waits so long for each voter of a lower rank, so that not all propose a change at once.
const TURN: Micros = 300_000;

/// The change that a store is about to propose.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub(super) struct Replacement {
    due: Option<DueReplacement>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct DueReplacement {
    members: Vec<Member>,
    since: Micros,
}

impl Replacement {
    /// Forgets the change.
    pub(super) fn reset(&mut self) {
        self.due = None;
    }

    /// Forgets the change, and returns since when it was due if it leads to these members.
    fn take_since(&mut self, members: &[Member]) -> Option<Micros> {
        self.due.take().filter(|due| due.members == members).map(|due| due.since)
    }
}

impl Store {
    /// Proposes new members, where others should vote than do.
    pub(super) fn change_members(&mut self, now: Micros, effects: &mut Effects) {
        let is_recent = self.has_changed_names_recently(now);
        let members = self.next_members(now).filter(|next| !is_recent || self.has_same_names(next));
        let Some(members) = members else { return self.replacement.reset() };
        let since = self.replacement.take_since(&members).unwrap_or(now);
        if now < since + self.rank() * TURN || self.proposer.is_busy() {
            self.replacement.due = Some(DueReplacement { members, since });
            return;
        }
        let previous = self.previous_names(is_recent);
        let next = Membership { epoch: self.membership.epoch + 1, members, previous };
        self.propose(now, OWN_REQUEST, Request::ChangeMembership(next), effects);
    }

    fn next_members(&self, now: Micros) -> Option<Vec<Member>> {
        if !self.is_voter() {
            return None;
        }
        // At the first start the seeds vote, which may be too few.
        let wanted = wanted_members(self.config.tolerated_losses);
        self.failure_detector.next_members(now, &self.membership.members, wanted)
    }

    /// Whether the members' names have changed less than [`MEMBERSHIP_CHANGE_INTERVAL`] ago.
    fn has_changed_names_recently(&self, now: Micros) -> bool {
        let previous = &self.membership.previous;
        let has_changed = !previous.is_empty() && *previous != self.membership.names();
        has_changed && now < self.membership_since + MEMBERSHIP_CHANGE_INTERVAL
    }

    /// Whether only incarnations change. Such a change does not wait: the next disk may be lost as soon as the machine counts
    /// as repaired.
    fn has_same_names(&self, members: &[Member]) -> bool {
        members.iter().map(|member| &member.name).eq(&self.membership.names())
    }

    fn previous_names(&self, is_recent: bool) -> Vec<StoreName> {
        if is_recent {
            self.membership.previous.clone()
        } else {
            self.membership.names()
        }
    }
}
