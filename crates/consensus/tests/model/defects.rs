//! The seeded defects, each with the scope that is to find it.

use pinerelay_consensus::Request;

use crate::properties::{CURRENT, DURABLE, FIT, READ, SEEN, WHOLE};
use crate::scope::{Before, Defect, Scope};
use crate::searches::{change, searches, tenant};
use crate::state::Left;

/// Each defect with the scope that is to find it, and what it is to break.
#[expect(clippy::too_many_lines, reason = "a table of cases, or one play with its checks")]
pub fn defects() -> Vec<(Defect, Scope, &'static [&'static str])> {
    use Defect::*;
    let named = |name: &str| searches(false).into_iter().find(|s| s.name == name).expect(name);
    let small = |calls: &[(usize, Request)], left, depth| Scope {
        calls: calls.to_vec(),
        left,
        depth,
        meets: Vec::new(),
        ..named("two at one store")
    };
    let none = Left::default();
    let calls = [(0, tenant("t1", 1, "k1")), (0, tenant("t2", 1, "k2"))];
    let crash = Left { crashes: 1, ..none };
    let wipe = Left { wipes: 1, ..none };
    let held_by = |call, deaf, untold| vec![Before { call, deaf, untold, ..Before::default() }];
    let c_again = (0, change(2, &[(0, 0), (1, 0), (2, 2)]));
    let to_d = (0, change(2, &[(0, 0), (1, 0), (3, 1)]));
    vec![
        (ForgetsPromises, named("two that clash, a restart"), &[FIT, DURABLE, SEEN, READ]),
        (TellsUnsynced, Scope { late: vec![0, 1, 2], ..small(&calls[..1], crash, 10) }, &[DURABLE, SEEN]),
        (
            LeavesOutFill,
            Scope { already: held_by(0, vec![2], true), ..small(&calls, none, 6) },
            &[DURABLE, SEEN],
        ),
        (
            TakesEmptyDiskForFirst,
            Scope { already: held_by(0, vec![2], false), ..small(&calls[..1], wipe, 4) },
            &[DURABLE, SEEN],
        ),
        (
            SettlesUnderOwnEpoch,
            named("a member that missed a change, an order at each side"),
            &[DURABLE, SEEN],
        ),
        (
            PromisesInPastEpoch,
            named("a member that learns of a change while its promise waits for the disk"),
            &[DURABLE, SEEN],
        ),
        (
            TakesEmptyDiskForWhole,
            Scope {
                already: held_by(0, vec![2], false),
                ..small(&[calls[0].clone(), c_again.clone()], wipe, 11)
            },
            &[WHOLE],
        ),
        (
            ReusesBallots,
            Scope {
                late: vec![0],
                restarted: vec![(0, false)],
                already: vec![Before { call: 0, unsynced: vec![0], doubled: true, ..Before::default() }],
                ..small(&calls, crash, 10)
            },
            &[DURABLE, SEEN, FIT],
        ),
        (HidesPending, named("digests, an order"), &[CURRENT]),
        (
            LeavesOutOldMembers,
            Scope {
                cores: 4,
                already: held_by(0, vec![0], false),
                ..small(&[(1, tenant("t1", 1, "k1")), to_d, calls[1].clone()], none, 6)
            },
            &[DURABLE, SEEN],
        ),
    ]
}
