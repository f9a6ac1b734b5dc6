//! The exhaustive searches: their scopes and calls.

use pinerelay_config_state::operator_call;
use pinerelay_consensus::{Member, Membership, Request};

use crate::properties::{CONFLICT, REPAIRED, TWO_ACKNOWLEDGED};
use crate::scope::{PriorCall, Scope};
use crate::shared::Memo;
use crate::state::{store_name, Budget};

/// A call that upserts a tenant with one API key.
pub fn tenant(name: &str, revision: u64, key: &str) -> Request {
    let text = format!(
        r#"{{"upsert":{{"tenants":{{"column_names":["name","revision","api_keys"],
        "records":[["{name}",{revision},["{key}"]]]}}}}}}"#
    );
    Request::Update(operator_call::parse_update(text.as_bytes()).expect("the call is valid"))
}

/// The membership of an epoch, by the indices of the machines and the incarnations of their disks.
pub fn membership(epoch: u64, members: &[(usize, u64)]) -> Membership {
    let mut members: Vec<Member> = members
        .iter()
        .map(|&(machine, incarnation)| Member { name: store_name(machine), incarnation })
        .collect();
    members.sort();
    Membership { epoch, members, previous: (0..3).map(store_name).collect() }
}

/// A call that changes the membership.
pub fn change_membership(epoch: u64, members: &[(usize, u64)]) -> Request {
    Request::ChangeMembership(membership(epoch, members))
}

/// The searches, none of which may find a violation. With `long` they go deeper.
#[expect(clippy::too_many_lines, reason = "a table of cases, or one play with its checks")]
pub fn searches(long: bool) -> Vec<Scope> {
    let base = Scope {
        name: "",
        machine_count: 3,
        voters: 3,
        calls: Vec::new(),
        budget: Budget::default(),
        clock_advances: vec![400_000],
        delayed_sync: Vec::new(),
        background_messages: false,
        prior_calls: Vec::new(),
        stopped: Vec::new(),
        restarted: Vec::new(),
        depth: 60,
        reaches: Vec::new(),
        defect: None,
        transitions: Memo::default(),
        disks: Memo::default(),
        property_results: Memo::default(),
    };
    let (read, none) = ((2, Request::Read), Budget::default());
    let conflicting_at_a_and_c = [(0, tenant("t1", 1, "k")), (2, tenant("t2", 1, "k"))];
    let independent = [(0, tenant("t1", 1, "k1")), (2, tenant("t2", 1, "k2"))];
    let one_store = [(0, tenant("t1", 1, "k1")), (0, tenant("t2", 1, "k2"))];
    let scope = |name, calls: &[(usize, Request)], budget, depths: [usize; 2]| Scope {
        name,
        calls: calls.to_vec(),
        budget,
        depth: depths[usize::from(long)],
        ..base.clone()
    };
    let wipe_and_tick = Budget { wipes: 1, ticks: 1, ..none };
    let move_c_to_d = change_membership(2, &[(0, 0), (1, 0), (3, 1)]);
    let crash = Budget { crashes: 1, ..none };
    let at_a_and_b = [(0, tenant("t1", 1, "k1")), (1, tenant("t2", 1, "k2"))];
    let conflicting_at_a_and_b = [(0, tenant("t1", 1, "k")), (1, tenant("t2", 1, "k"))];
    let concat = |first: &[(usize, Request)], more: &[(usize, Request)]| [first, more].concat();
    let move_c_to_d_call = (0, move_c_to_d.clone());
    let moved_commit_in_flight = |unreachable: &[usize]| {
        vec![PriorCall {
            call: 0,
            unreachable: unreachable.to_vec(),
            commits_in_flight: true,
            ..PriorCall::default()
        }]
    };
    let moved = vec![PriorCall { call: 0, ..PriorCall::default() }];
    // C votes again after the loss of its disk; B likewise, in an epoch after D joined.
    let rejoin_c = (0, change_membership(2, &[(0, 0), (1, 0), (2, 2)]));
    let rejoin_b = (0, change_membership(3, &[(0, 0), (1, 2), (3, 1)]));
    let on_two_disks = vec![PriorCall { call: 0, unreachable: vec![2], ..PriorCall::default() }];
    vec![
        Scope {
            reaches: vec![CONFLICT],
            ..scope("two conflicting updates", &conflicting_at_a_and_c, Budget { ticks: 1, ..none }, [12, 17])
        },
        scope("two conflicting updates, a restart", &conflicting_at_a_and_c, crash, [18, 23]),
        scope("two updates and a read", &concat(&one_store, std::slice::from_ref(&read)), none, [17, 20]),
        Scope {
            reaches: vec![TWO_ACKNOWLEDGED],
            ..scope("two updates at one store", &one_store, none, [17, 22])
        },
        Scope {
            delayed_sync: vec![0, 1, 2, 3],
            ..scope("two updates at one store, a restart, delayed syncs", &one_store, crash, [16, 21])
        },
        scope("two independent updates, a lost disk", &independent, Budget { wipes: 1, ..none }, [12, 17]),
        Scope {
            prior_calls: on_two_disks.clone(),
            ..scope(
                "an update on two disks, a read, a lost disk",
                &[independent[0].clone(), read.clone()],
                wipe_and_tick,
                [60, 60],
            )
        },
        Scope {
            prior_calls: on_two_disks.clone(),
            ..scope(
                "an update on two disks, a read, a lost disk that votes again, a restart",
                &[independent[0].clone(), (2, Request::Read), rejoin_c.clone()],
                Budget { crashes: 1, ..wipe_and_tick },
                [11, 16],
            )
        },
        Scope {
            reaches: vec![REPAIRED],
            ..scope("a lost disk", std::slice::from_ref(&rejoin_c), wipe_and_tick, [60, 60])
        },
        Scope {
            machine_count: 4,
            stopped: vec![2],
            prior_calls: moved.clone(),
            reaches: vec![REPAIRED],
            ..scope(
                "a lost disk while another machine is stopped",
                &[move_c_to_d_call.clone(), at_a_and_b[0].clone(), rejoin_b],
                wipe_and_tick,
                [13, 18],
            )
        },
        Scope {
            machine_count: 4,
            prior_calls: moved_commit_in_flight(&[2, 3]),
            ..scope(
                "a member that missed a membership change, updates at two stores",
                &concat(std::slice::from_ref(&move_c_to_d_call), &at_a_and_b),
                none,
                [13, 18],
            )
        },
        Scope {
            machine_count: 4,
            delayed_sync: vec![0, 1, 2, 3],
            restarted: vec![(2, true)],
            prior_calls: moved_commit_in_flight(&[2, 3]),
            ..scope(
                "a member that learns of a membership change while its promise waits for a write",
                &[move_c_to_d_call.clone(), (2, tenant("t2", 1, "k2"))],
                none,
                [16, 21],
            )
        },
        Scope {
            machine_count: 4,
            ..scope(
                "a membership change during two conflicting updates",
                &concat(std::slice::from_ref(&move_c_to_d_call), &conflicting_at_a_and_b),
                none,
                [11, 16],
            )
        },
        Scope {
            machine_count: 4,
            ..scope(
                "a membership change during an update, a restart",
                &[move_c_to_d_call.clone(), at_a_and_b[1].clone()],
                crash,
                [11, 16],
            )
        },
        Scope {
            machine_count: 4,
            prior_calls: moved_commit_in_flight(&[1]),
            ..scope(
                "a second membership change before the first is known",
                &[
                    move_c_to_d_call.clone(),
                    (1, change_membership(2, &[(0, 0), (2, 0), (3, 1)])),
                    at_a_and_b[1].clone(),
                ],
                none,
                [11, 16],
            )
        },
        Scope {
            machine_count: 4,
            prior_calls: moved_commit_in_flight(&[2]),
            ..scope(
                "an update and a read at a removed member",
                &[
                    move_c_to_d_call.clone(),
                    at_a_and_b[0].clone(),
                    (2, tenant("t2", 1, "k1")),
                    (2, Request::Read),
                ],
                none,
                [10, 15],
            )
        },
        Scope {
            prior_calls: on_two_disks.clone(),
            ..scope(
                "messages of a lost disk are in flight while the new disk votes",
                &[at_a_and_b[0].clone(), (0, tenant("t2", 1, "k2")), rejoin_c.clone()],
                Budget { wipes: 1, ..none },
                [15, 60],
            )
        },
        Scope {
            prior_calls: on_two_disks.clone(),
            background_messages: true,
            clock_advances: vec![100_000],
            ..scope(
                "heartbeats, two updates, a lost disk that votes again",
                &[at_a_and_b[0].clone(), (0, tenant("t2", 1, "k2")), rejoin_c.clone()],
                Budget { wipes: 1, ticks: 2, ..none },
                [9, 13],
            )
        },
        Scope {
            background_messages: true,
            prior_calls: moved.clone(),
            clock_advances: vec![100_000],
            ..scope(
                "heartbeats, two updates",
                &[at_a_and_b[0].clone(), at_a_and_b[1].clone()],
                Budget { ticks: 2, ..none },
                [10, 14],
            )
        },
    ]
}
