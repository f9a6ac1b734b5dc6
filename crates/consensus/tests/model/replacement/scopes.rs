//! The scopes of the searches: events, each with a range of rounds in which it may happen, and the seeded defects.

use pinerelay_consensus::Request;

use super::properties::{
    ACKNOWLEDGED_AFTER_REPLACEMENT, CHANGE_INTERVAL, COMMIT_QUORUM, PAST_EPOCHS_AWARE, PREVIOUS_NAMES,
    REPLACED, REPLACED_AFTER_SILENCE, REPLACED_RETURNS, REPLACED_TWICE, REPLACED_VOTES_AGAIN,
};
use super::state::{MessageKind, Step};
use crate::searches::tenant;

/// Depth limit that no search reaches: the rounds and events of a scope end it before.
pub const DEPTH: usize = 100;

/// One of the steps `any` happens, in a round from `from` on and before `until`, or none does.
#[derive(Debug, Clone)]
pub struct Event {
    pub from: u32,
    pub until: u32,
    pub any: Vec<Step>,
}

/// A seeded defect. The store itself is unmodified: the model alters its inputs, messages or disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// A store that learns of a membership change does not wait before the next one.
    IgnoresChangeInterval,
    /// The vote of a replaced store counts as the vote of the member in its place.
    CountsVoteOfReplaced,
    /// A process that was stalled judges the silence of others as if it had been awake.
    IgnoresOwnStall,
    /// Membership changes after the first write are not written to disk.
    ForgetsMembershipChange,
    /// The names of the voters before the last change are not written to disk.
    ForgetsPreviousMembers,
}

/// A bounded model: machines, calls, events and seeded defect.
#[derive(Debug, Clone)]
pub struct Scope {
    pub name: &'static str,
    pub machine_count: usize,
    /// Number of machines that vote from the beginning, the first ones; the others are spares.
    pub voters: usize,
    /// Each call: the index of its machine, and the request. The first is acknowledged before the search begins.
    pub calls: Vec<(usize, Request)>,
    /// Links that are cut from the beginning.
    pub cut_links: Vec<(usize, usize)>,
    /// Rounds before the search begins.
    pub warmup_rounds: u32,
    /// Rounds of half a second that the search covers.
    pub rounds: u32,
    /// Independent sequences of events; the events of one sequence happen in their order.
    pub timelines: Vec<Vec<Event>>,
    /// The `sometimes` properties that the search has to reach.
    pub reaches: Vec<&'static str>,
    pub defect: Option<Defect>,
}

const A: usize = 0;
const B: usize = 1;
const C: usize = 2;
const D: usize = 3;
const E: usize = 4;

fn event(from: u32, until: u32, any: &[Step]) -> Event {
    Event { from, until, any: any.to_vec() }
}

fn scope(name: &'static str, machine_count: usize, rounds: u32, timelines: Vec<Vec<Event>>) -> Scope {
    let update = |name: &str| tenant(name, 1, name);
    let calls = vec![
        (A, update("t0")),
        (A, update("t1")),
        (B, update("t2")),
        (C, update("t3")),
        (C, Request::Read),
        (D, Request::Read),
        (A, Request::Read),
        (D, update("t4")),
    ];
    Scope {
        name,
        machine_count,
        voters: 3,
        calls,
        cut_links: Vec::new(),
        warmup_rounds: 5,
        rounds,
        timelines,
        reaches: vec![REPLACED, ACKNOWLEDGED_AFTER_REPLACEMENT],
        defect: None,
    }
}

/// The messages of one kind are lost in a round in which a membership change may be committed.
fn lose_messages(from: u32, until: u32) -> Vec<Event> {
    use MessageKind::*;
    vec![event(from, until, &[Accept, Accepted, Commit, NewMembership].map(Step::Lose))]
}

/// Call `n` is made in one of these rounds, or never.
fn call(n: usize, from: u32, until: u32) -> Vec<Event> {
    vec![event(from, until, &[Step::Call(n)])]
}

/// The searches, none of which may find a violation. With `long` events have extra_rounds rounds in which they may happen.
pub fn searches(long: bool) -> Vec<Scope> {
    let extra_rounds = if long { 3 } else { 0 };
    vec![
        silent_member_returns_with_disk(extra_rounds),
        silent_member_returns_without_disk(extra_rounds),
        two_members_fall_silent(extra_rounds),
        unlinked_spares(extra_rounds),
        voters_without_a_link(extra_rounds),
        process_stalls(extra_rounds),
        process_stalls_and_another_falls_silent(extra_rounds),
        one_member_and_a_replaced_store_left(extra_rounds),
        disk_lost_within_change_interval(extra_rounds),
        proposer_restarts(extra_rounds),
        disk_lost_and_proposer_restarts(extra_rounds),
        isolated_member(extra_rounds),
    ]
}

fn silent_member_returns_with_disk(extra_rounds: u32) -> Scope {
    let silent = vec![event(0, 1, &[Step::Stop(C)]), event(2, 9 + extra_rounds, &[Step::Start(C)])];
    let calls = vec![event(5, 10 + extra_rounds, &[Step::Call(3), Step::Call(4)])];
    Scope {
        reaches: vec![REPLACED, REPLACED_RETURNS, ACKNOWLEDGED_AFTER_REPLACEMENT],
        ..scope(
            "a silent member comes back with its disk",
            4,
            12 + extra_rounds,
            vec![silent, call(2, 3, 10 + extra_rounds), calls, lose_messages(4, 8 + extra_rounds)],
        )
    }
}

fn silent_member_returns_without_disk(extra_rounds: u32) -> Scope {
    let silent = vec![
        event(0, 1, &[Step::Stop(C)]),
        event(2, 9 + extra_rounds, &[Step::StartEmpty(C)]),
        event(9, 11 + extra_rounds, &[Step::Stop(B)]),
    ];
    Scope {
        reaches: vec![REPLACED, REPLACED_TWICE, REPLACED_VOTES_AGAIN, ACKNOWLEDGED_AFTER_REPLACEMENT],
        ..scope(
            "a silent member comes back without its disk, then another falls silent",
            4,
            26 + extra_rounds,
            vec![silent, call(2, 3, 8 + extra_rounds), call(1, 14, 20 + extra_rounds)],
        )
    }
}

fn two_members_fall_silent(extra_rounds: u32) -> Scope {
    let second = vec![event(5, 10 + extra_rounds, &[Step::Stop(A), Step::Stop(B)])];
    let first = vec![
        event(0, 1, &[Step::Stop(C)]),
        event(7, 12 + extra_rounds, &[Step::Start(C), Step::StartEmpty(C)]),
    ];
    Scope {
        reaches: vec![REPLACED, REPLACED_TWICE, REPLACED_RETURNS],
        ..scope(
            "two members fall silent one after the other, two spares",
            5,
            26 + extra_rounds,
            vec![first, second, call(7, 6, 14 + extra_rounds)],
        )
    }
}

fn unlinked_spares(extra_rounds: u32) -> Scope {
    let first = vec![event(0, 1, &[Step::Stop(C)]), event(4, 9 + extra_rounds, &[Step::Start(C)])];
    let second = vec![event(7, 11 + extra_rounds, &[Step::Stop(A), Step::Stop(B)])];
    Scope {
        cut_links: vec![(D, E)],
        reaches: vec![REPLACED, REPLACED_TWICE, ACKNOWLEDGED_AFTER_REPLACEMENT],
        ..scope(
            "two spares without a link to each other",
            5,
            24 + extra_rounds,
            vec![first, second, call(7, 6, 10 + extra_rounds)],
        )
    }
}

fn voters_without_a_link(extra_rounds: u32) -> Scope {
    let link =
        vec![event(0, 1, &[Step::CutLink(A, C)]), event(5, 12 + extra_rounds, &[Step::RestoreLink(A, C)])];
    let calls = vec![event(3, 10 + extra_rounds, &[Step::Call(2), Step::Call(3)])];
    Scope {
        reaches: vec![REPLACED, REPLACED_RETURNS, ACKNOWLEDGED_AFTER_REPLACEMENT],
        ..scope(
            "two voters without a link to each other",
            4,
            14 + extra_rounds,
            vec![link, calls, call(4, 4, 12 + extra_rounds), lose_messages(4, 8 + extra_rounds)],
        )
    }
}

fn process_stalls(extra_rounds: u32) -> Scope {
    let stall = vec![event(0, 1, &[Step::Stall(A)]), event(1, 11 + extra_rounds, &[Step::Resume(A)])];
    let calls = vec![event(5, 10 + extra_rounds, &[Step::Call(6), Step::Call(1)])];
    Scope {
        reaches: vec![REPLACED, REPLACED_RETURNS, ACKNOWLEDGED_AFTER_REPLACEMENT],
        ..scope(
            "a process stalls",
            4,
            16 + extra_rounds,
            vec![stall, calls, call(2, 4, 10 + extra_rounds), lose_messages(4, 7 + extra_rounds)],
        )
    }
}

fn process_stalls_and_another_falls_silent(extra_rounds: u32) -> Scope {
    let stall = vec![event(0, 3, &[Step::Stall(A)]), event(1, 6 + extra_rounds, &[Step::Resume(A)])];
    let link = vec![
        event(0, 8 + extra_rounds, &[Step::CutLink(A, B), Step::Stop(B)]),
        event(4, 14 + extra_rounds, &[Step::RestoreLink(A, B)]),
    ];
    Scope {
        reaches: vec![REPLACED, ACKNOWLEDGED_AFTER_REPLACEMENT],
        ..scope(
            "a process stalls, another falls silent to it",
            4,
            16 + extra_rounds,
            vec![stall, link, vec![event(6, 14 + extra_rounds, &[Step::Call(3), Step::Call(6)])]],
        )
    }
}

fn one_member_and_a_replaced_store_left(extra_rounds: u32) -> Scope {
    let replaced = vec![event(0, 1, &[Step::Stop(C)]), event(4, 10 + extra_rounds, &[Step::Start(C)])];
    let others = vec![
        event(6, 9 + extra_rounds, &[Step::Stop(D)]),
        event(6, 10 + extra_rounds, &[Step::Stop(A)]),
        event(11, 14 + extra_rounds, &[Step::Start(A), Step::Start(D)]),
    ];
    Scope {
        reaches: vec![REPLACED, REPLACED_RETURNS],
        ..scope(
            "one member and a replaced store are left",
            4,
            17 + extra_rounds,
            vec![replaced, others, call(2, 8, 12 + extra_rounds), call(4, 9, 12 + extra_rounds)],
        )
    }
}

fn disk_lost_within_change_interval(extra_rounds: u32) -> Scope {
    let replaced = vec![event(0, 1, &[Step::Stop(C)]), event(8, 12 + extra_rounds, &[Step::Start(C)])];
    let lost = vec![
        event(6, 10 + extra_rounds, &[Step::Stop(B)]),
        event(7, 12 + extra_rounds, &[Step::StartEmpty(B)]),
    ];
    let next = vec![event(17, 20 + extra_rounds, &[Step::Stop(A), Step::Stop(D)])];
    Scope {
        reaches: vec![REPLACED, REPLACED_TWICE, ACKNOWLEDGED_AFTER_REPLACEMENT],
        ..scope(
            "a disk is lost within the change interval, then another member falls silent",
            4,
            30 + extra_rounds,
            vec![replaced, lost, next, call(7, 6, 10 + extra_rounds)],
        )
    }
}

fn proposer_restarts(extra_rounds: u32) -> Scope {
    let silent = vec![event(0, 1, &[Step::Stop(C)]), event(6, 10 + extra_rounds, &[Step::Stop(B)])];
    let restart =
        vec![event(4, 10 + extra_rounds, &[Step::Stop(A)]), event(5, 13 + extra_rounds, &[Step::Start(A)])];
    Scope {
        reaches: vec![REPLACED, REPLACED_TWICE, ACKNOWLEDGED_AFTER_REPLACEMENT],
        ..scope(
            "the proposer of a change restarts within the change interval, another member falls silent",
            5,
            28 + extra_rounds,
            vec![silent, restart, call(7, 6, 12 + extra_rounds)],
        )
    }
}

fn disk_lost_and_proposer_restarts(extra_rounds: u32) -> Scope {
    let lost = vec![
        event(0, 1, &[Step::Stop(C)]),
        event(7, 10 + extra_rounds, &[Step::Stop(B)]),
        event(8, 12 + extra_rounds, &[Step::StartEmpty(B)]),
    ];
    let restart =
        vec![event(4, 8 + extra_rounds, &[Step::Stop(A)]), event(5, 10 + extra_rounds, &[Step::Start(A)])];
    Scope {
        reaches: vec![REPLACED, ACKNOWLEDGED_AFTER_REPLACEMENT],
        ..scope(
            "a disk is lost within the change interval, the proposer of the change restarts",
            4,
            18 + extra_rounds,
            vec![lost, restart, call(7, 6, 12 + extra_rounds)],
        )
    }
}

fn isolated_member(extra_rounds: u32) -> Scope {
    let isolation =
        vec![event(0, 2, &[Step::Isolate(C)]), event(4, 11 + extra_rounds, &[Step::Reconnect(C)])];
    let calls = vec![event(0, 11 + extra_rounds, &[Step::Call(3), Step::Call(4)])];
    Scope {
        reaches: vec![REPLACED, REPLACED_RETURNS, ACKNOWLEDGED_AFTER_REPLACEMENT],
        ..scope(
            "an isolated member keeps running and gets calls",
            4,
            13 + extra_rounds,
            vec![isolation, calls, call(2, 4, 11 + extra_rounds), lose_messages(4, 7 + extra_rounds)],
        )
    }
}

/// Each defect with its scope, and the properties of which the search has to find one violated.
pub fn defects() -> Vec<(Defect, Scope, &'static [&'static str])> {
    vec![
        (Defect::IgnoresChangeInterval, two_members_fall_silent(0), &[CHANGE_INTERVAL]),
        (Defect::CountsVoteOfReplaced, one_member_and_a_replaced_store_left(0), &[COMMIT_QUORUM]),
        (Defect::IgnoresOwnStall, process_stalls_and_another_falls_silent(0), &[REPLACED_AFTER_SILENCE]),
        (Defect::ForgetsMembershipChange, silent_member_returns_with_disk(0), &[PAST_EPOCHS_AWARE]),
        (Defect::ForgetsPreviousMembers, disk_lost_and_proposer_restarts(0), &[PREVIOUS_NAMES]),
    ]
}
