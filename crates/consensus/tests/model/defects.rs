//! The seeded defects, each with a scope in which the search has to find it.

use pinerelay_consensus::Request;

use crate::properties::{COMPLETE, CONSISTENT, CURRENT, DURABLE, FRESH_READ, RECOVERABLE};
use crate::scope::{Defect, PriorCall, Scope};
use crate::searches::{change_membership, searches, tenant};
use crate::state::Budget;

/// Each defect with its scope, and the properties of which the search has to find one violated.
#[expect(clippy::too_many_lines, reason = "a table of cases, or one play with its checks")]
pub fn defects() -> Vec<(Defect, Scope, &'static [&'static str])> {
    use Defect::*;
    let named = |name: &str| searches(false).into_iter().find(|s| s.name == name).expect(name);
    let small = |calls: &[(usize, Request)], budget, depth| Scope {
        calls: calls.to_vec(),
        budget,
        depth,
        reaches: Vec::new(),
        ..named("two updates at one store")
    };
    let none = Budget::default();
    let calls = [(0, tenant("t1", 1, "k1")), (0, tenant("t2", 1, "k2"))];
    let crash = Budget { crashes: 1, ..none };
    let wipe = Budget { wipes: 1, ..none };
    let prior_call = |call, unreachable, commits_in_flight| {
        vec![PriorCall { call, unreachable, commits_in_flight, ..PriorCall::default() }]
    };
    let rejoin_c = (0, change_membership(2, &[(0, 0), (1, 0), (2, 2)]));
    let move_c_to_d = (0, change_membership(2, &[(0, 0), (1, 0), (3, 1)]));
    vec![
        (
            ForgetsPromises,
            named("two conflicting updates, a restart"),
            &[CONSISTENT, DURABLE, RECOVERABLE, FRESH_READ],
        ),
        (
            ReportsWriteBeforeSync,
            Scope { delayed_sync: vec![0, 1, 2], ..small(&calls[..1], crash, 10) },
            &[DURABLE, RECOVERABLE],
        ),
        (
            OmitsMissingItems,
            Scope { prior_calls: prior_call(0, vec![2], true), ..small(&calls, none, 6) },
            &[DURABLE, RECOVERABLE],
        ),
        (
            TreatsEmptyDiskAsFirstStart,
            Scope { prior_calls: prior_call(0, vec![2], false), ..small(&calls[..1], wipe, 4) },
            &[DURABLE, RECOVERABLE],
        ),
        (
            CommitsUnderReceiverEpoch,
            named("a member that missed a membership change, updates at two stores"),
            &[DURABLE, RECOVERABLE],
        ),
        (
            PromisesInPastEpoch,
            named("a member that learns of a membership change while its promise waits for a write"),
            &[DURABLE, RECOVERABLE],
        ),
        (
            MarksEmptyDiskComplete,
            Scope {
                prior_calls: prior_call(0, vec![2], false),
                ..small(&[calls[0].clone(), rejoin_c.clone()], wipe, 11)
            },
            &[COMPLETE],
        ),
        (
            ReusesBallots,
            Scope {
                delayed_sync: vec![0],
                restarted: vec![(0, false)],
                prior_calls: vec![PriorCall {
                    call: 0,
                    unsynced_machines: vec![0],
                    duplicate_promises: true,
                    ..PriorCall::default()
                }],
                ..small(&calls, crash, 10)
            },
            &[DURABLE, RECOVERABLE, CONSISTENT],
        ),
        (HidesPending, named("heartbeats, two updates"), &[CURRENT]),
        (
            BypassesOldQuorum,
            Scope {
                machine_count: 4,
                prior_calls: prior_call(0, vec![0], false),
                ..small(&[(1, tenant("t1", 1, "k1")), move_c_to_d, calls[1].clone()], none, 6)
            },
            &[DURABLE, RECOVERABLE],
        ),
    ]
}
