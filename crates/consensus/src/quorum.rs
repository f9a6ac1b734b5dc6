//! How many votes are enough.

use crate::message::{Member, Membership};

/// How many of the voting stores are there, as one store sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct QuorumHealth {
    /// The voting stores.
    pub voters: usize,
    /// Those of them that are heard, with the disk with which they vote.
    pub heard: usize,
    /// How many are a quorum.
    pub needed: usize,
}

impl QuorumHealth {
    /// Whether a quorum is heard: updates can be agreed on.
    pub fn has_quorum(self) -> bool {
        self.heard >= self.needed
    }

    /// How many more voting stores may go before no update can be agreed on; negative if that is so already.
    pub fn spare_voters(self) -> i64 {
        self.heard as i64 - self.needed as i64
    }
}

/// How many members of a membership are a quorum: a majority, and one more than may be lost at once, so that what a quorum has
/// written survives the losses that the deployment tolerates.
pub fn quorum_size(membership: &Membership, tolerated_losses: usize) -> usize {
    let members = membership.members.len();
    let majority = members / 2 + 1;
    majority.max((tolerated_losses + 1).min(members))
}

/// How many members a membership should have at least: with fewer, the losses that the deployment tolerates could leave less
/// than a quorum, and nothing could be read, written or repaired any more.
pub fn wanted_members(tolerated_losses: usize) -> usize {
    2 * tolerated_losses + 1
}

/// Whether enough members are in a set.
pub fn is_quorum(
    membership: &Membership,
    tolerated_losses: usize,
    contains: impl Fn(&Member) -> bool,
) -> bool {
    let contained = membership.members.iter().filter(|member| contains(member)).count();
    contained >= quorum_size(membership, tolerated_losses)
}
