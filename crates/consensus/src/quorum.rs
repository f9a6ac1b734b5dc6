//! Quorum sizes.

use crate::message::{Member, Membership};

/// How many of the voting stores are alive, as seen by one store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuorumHealth {
    /// The number of voting stores.
    pub voters: usize,
    /// The number of voting stores that are alive, with the disk incarnation with which they vote.
    pub heard: usize,
    /// The number of voting stores that form a quorum.
    pub needed: usize,
}

impl QuorumHealth {
    /// Whether a quorum is alive, so that updates can be agreed on.
    pub fn has_quorum(self) -> bool {
        self.heard >= self.needed
    }

    /// How many more voting stores may fail before the quorum is lost; negative if it is lost already.
    pub fn spare_voters(self) -> i64 {
        self.heard as i64 - self.needed as i64
    }
}

/// The number of members that form a quorum: at least a majority, and at least one more than may be lost at once (all members
/// if there are fewer), so that what a quorum has written survives the losses that the deployment tolerates.
pub fn quorum_size(membership: &Membership, tolerated_losses: usize) -> usize {
    let members = membership.members.len();
    let majority = members / 2 + 1;
    majority.max((tolerated_losses + 1).min(members))
}

/// The minimum number of members that a membership should have: with fewer, the losses that the deployment tolerates could
/// leave less than a quorum, and nothing could be read, written or repaired any more.
pub fn target_member_count(tolerated_losses: usize) -> usize {
    2 * tolerated_losses + 1
}

/// Whether the members for which `contains` holds form a quorum.
pub fn is_quorum(
    membership: &Membership,
    tolerated_losses: usize,
    contains: impl Fn(&Member) -> bool,
) -> bool {
    let contained_count = membership.members.iter().filter(|member| contains(member)).count();
    contained_count >= quorum_size(membership, tolerated_losses)
}
