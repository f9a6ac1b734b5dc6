//! How many votes are enough.

use crate::message::{Member, Membership};

/// Whether enough members are in a set: a majority, and one more than may be lost at once, so that what a quorum has written
/// survives the losses that the deployment tolerates.
pub fn is_quorum(
    membership: &Membership,
    tolerated_losses: usize,
    contains: impl Fn(&Member) -> bool,
) -> bool {
    let members = membership.members.len();
    let majority = members / 2 + 1;
    let needed = majority.max((tolerated_losses + 1).min(members));
    membership.members.iter().filter(|member| contains(member)).count() >= needed
}
