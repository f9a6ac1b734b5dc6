//! What is played: events, each within a span of rounds, and what is tampered with.

use pinerelay_consensus::Request;

use super::properties::{AFTER, AGAIN, BACK, BEFORE, MEET, PACED, REPLACED, SILENT, TWICE, VOTES};
use super::state::{Kind, Step};
use crate::searches::tenant;

/// No search comes so deep: the rounds and events of a scope end it.
pub const DEPTH: usize = 100;

/// One of some steps, in a round from `from` on and before `until`, or never.
#[derive(Debug, Clone)]
pub struct Event {
    pub from: u32,
    pub until: u32,
    pub any: Vec<Step>,
}

/// What a store is made to do wrong, by what it is given and what is taken from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Who hears of a change does not wait with the next one.
    LeavesOutPace,
    /// A replaced member's vote is taken for that of the one in its place.
    CountsReplaced,
    /// A process that has stood still judges as if it had been awake.
    JudgesAfterStandstill,
    /// Disks do not keep a change of the membership.
    ForgetsChange,
    /// Disks do not keep who voted before the last change.
    ForgetsBefore,
}

/// What is played.
#[derive(Debug, Clone)]
pub struct Scope {
    pub name: &'static str,
    pub cores: usize,
    /// The first of them vote from the beginning; the others are spares.
    pub voters: usize,
    /// At which machine, and what. The first is acknowledged before the search begins.
    pub calls: Vec<(usize, Request)>,
    /// Links that are cut from the beginning.
    pub cuts: Vec<(usize, usize)>,
    /// Rounds before the search begins.
    pub settled: u32,
    /// Rounds of half a second that are searched.
    pub rounds: u32,
    /// The events of a thread happen in their order.
    pub threads: Vec<Vec<Event>>,
    /// What it has to meet.
    pub meets: Vec<&'static str>,
    pub defect: Option<Defect>,
}

const A: usize = 0;
const B: usize = 1;
const C: usize = 2;
const D: usize = 3;
const E: usize = 4;

fn at(from: u32, until: u32, any: &[Step]) -> Event {
    Event { from, until, any: any.to_vec() }
}

fn scope(name: &'static str, cores: usize, rounds: u32, threads: Vec<Vec<Event>>) -> Scope {
    let order = |name: &str| tenant(name, 1, name);
    let calls = vec![
        (A, order("t0")),
        (A, order("t1")),
        (B, order("t2")),
        (C, order("t3")),
        (C, Request::Read),
        (D, Request::Read),
        (A, Request::Read),
        (D, order("t4")),
    ];
    Scope {
        name,
        cores,
        voters: 3,
        calls,
        cuts: Vec::new(),
        settled: 5,
        rounds,
        threads,
        meets: vec![REPLACED, AFTER],
        defect: None,
    }
}

/// Words that are lost in a round in which a change may be agreed on.
fn losing(from: u32, until: u32) -> Vec<Event> {
    use Kind::*;
    vec![at(from, until, &[Put, Kept, Settle, Members].map(Step::Lose))]
}

fn order(n: usize, from: u32, until: u32) -> Vec<Event> {
    vec![at(from, until, &[Step::Call(n)])]
}

/// The searches, each of which is to break nothing. In `long` ones events have more time.
pub fn searches(long: bool) -> Vec<Scope> {
    let more = if long { 3 } else { 0 };
    vec![
        back_with_its_disk(more),
        back_without_its_disk(more),
        two_fall_silent(more),
        unlinked_spares(more),
        cut_off_from_one(more),
        stands_still(more),
        stands_still_and_hears_one_less(more),
        only_the_replaced_one_is_left(more),
        a_lost_disk_at_the_pace(more),
        the_proposer_starts_again(more),
        a_lost_disk_and_a_start(more),
        cut_off_from_all(more),
    ]
}

fn back_with_its_disk(more: u32) -> Scope {
    let silent = vec![at(0, 1, &[Step::End(C)]), at(2, 9 + more, &[Step::Start(C)])];
    let calls = vec![at(5, 10 + more, &[Step::Call(3), Step::Call(4)])];
    Scope {
        meets: vec![REPLACED, BACK, AFTER],
        ..scope(
            "a silent one comes back with its disk",
            4,
            12 + more,
            vec![silent, order(2, 3, 10 + more), calls, losing(4, 8 + more)],
        )
    }
}

fn back_without_its_disk(more: u32) -> Scope {
    let silent = vec![
        at(0, 1, &[Step::End(C)]),
        at(2, 9 + more, &[Step::StartEmpty(C)]),
        at(9, 11 + more, &[Step::End(B)]),
    ];
    Scope {
        meets: vec![REPLACED, TWICE, AGAIN, AFTER],
        ..scope(
            "a silent one comes back without its disk, then another falls silent",
            4,
            26 + more,
            vec![silent, order(2, 3, 8 + more), order(1, 14, 20 + more)],
        )
    }
}

fn two_fall_silent(more: u32) -> Scope {
    let second = vec![at(5, 10 + more, &[Step::End(A), Step::End(B)])];
    let first = vec![at(0, 1, &[Step::End(C)]), at(7, 12 + more, &[Step::Start(C), Step::StartEmpty(C)])];
    Scope {
        meets: vec![REPLACED, TWICE, BACK],
        ..scope(
            "two fall silent one after the other, two spares",
            5,
            26 + more,
            vec![first, second, order(7, 6, 14 + more)],
        )
    }
}

fn unlinked_spares(more: u32) -> Scope {
    let first = vec![at(0, 1, &[Step::End(C)]), at(4, 9 + more, &[Step::Start(C)])];
    let second = vec![at(7, 11 + more, &[Step::End(A), Step::End(B)])];
    Scope {
        cuts: vec![(D, E)],
        meets: vec![REPLACED, TWICE, AFTER],
        ..scope(
            "two spares that are not linked to each other",
            5,
            24 + more,
            vec![first, second, order(7, 6, 10 + more)],
        )
    }
}

fn cut_off_from_one(more: u32) -> Scope {
    let link = vec![at(0, 1, &[Step::Cut(A, C)]), at(5, 12 + more, &[Step::Join(A, C)])];
    let calls = vec![at(3, 10 + more, &[Step::Call(2), Step::Call(3)])];
    Scope {
        meets: vec![REPLACED, BACK, AFTER],
        ..scope(
            "two that vote do not hear each other",
            4,
            14 + more,
            vec![link, calls, order(4, 4, 12 + more), losing(4, 8 + more)],
        )
    }
}

fn stands_still(more: u32) -> Scope {
    let freeze = vec![at(0, 1, &[Step::Freeze(A)]), at(1, 11 + more, &[Step::Thaw(A)])];
    let calls = vec![at(5, 10 + more, &[Step::Call(6), Step::Call(1)])];
    Scope {
        meets: vec![REPLACED, BACK, AFTER],
        ..scope(
            "a process stands still",
            4,
            16 + more,
            vec![freeze, calls, order(2, 4, 10 + more), losing(4, 7 + more)],
        )
    }
}

fn stands_still_and_hears_one_less(more: u32) -> Scope {
    let freeze = vec![at(0, 3, &[Step::Freeze(A)]), at(1, 6 + more, &[Step::Thaw(A)])];
    let link = vec![at(0, 8 + more, &[Step::Cut(A, B), Step::End(B)]), at(4, 14 + more, &[Step::Join(A, B)])];
    Scope {
        meets: vec![REPLACED, AFTER],
        ..scope(
            "a process stands still, another falls silent to it",
            4,
            16 + more,
            vec![freeze, link, vec![at(6, 14 + more, &[Step::Call(3), Step::Call(6)])]],
        )
    }
}

fn only_the_replaced_one_is_left(more: u32) -> Scope {
    let replaced = vec![at(0, 1, &[Step::End(C)]), at(4, 10 + more, &[Step::Start(C)])];
    let others = vec![
        at(6, 9 + more, &[Step::End(D)]),
        at(6, 10 + more, &[Step::End(A)]),
        at(11, 14 + more, &[Step::Start(A), Step::Start(D)]),
    ];
    Scope {
        meets: vec![REPLACED, BACK],
        ..scope(
            "one member and the replaced one are left",
            4,
            17 + more,
            vec![replaced, others, order(2, 8, 12 + more), order(4, 9, 12 + more)],
        )
    }
}

fn a_lost_disk_at_the_pace(more: u32) -> Scope {
    let replaced = vec![at(0, 1, &[Step::End(C)]), at(8, 12 + more, &[Step::Start(C)])];
    let lost = vec![at(6, 10 + more, &[Step::End(B)]), at(7, 12 + more, &[Step::StartEmpty(B)])];
    let next = vec![at(17, 20 + more, &[Step::End(A), Step::End(D)])];
    Scope {
        meets: vec![REPLACED, TWICE, AFTER],
        ..scope(
            "a disk is lost within the pace, then another falls silent",
            4,
            30 + more,
            vec![replaced, lost, next, order(7, 6, 10 + more)],
        )
    }
}

fn the_proposer_starts_again(more: u32) -> Scope {
    let silent = vec![at(0, 1, &[Step::End(C)]), at(6, 10 + more, &[Step::End(B)])];
    let again = vec![at(4, 10 + more, &[Step::End(A)]), at(5, 13 + more, &[Step::Start(A)])];
    Scope {
        meets: vec![REPLACED, TWICE, AFTER],
        ..scope(
            "who proposed a change starts again within the pace, another falls silent",
            5,
            28 + more,
            vec![silent, again, order(7, 6, 12 + more)],
        )
    }
}

fn a_lost_disk_and_a_start(more: u32) -> Scope {
    let lost = vec![
        at(0, 1, &[Step::End(C)]),
        at(7, 10 + more, &[Step::End(B)]),
        at(8, 12 + more, &[Step::StartEmpty(B)]),
    ];
    let again = vec![at(4, 8 + more, &[Step::End(A)]), at(5, 10 + more, &[Step::Start(A)])];
    Scope {
        meets: vec![REPLACED, AFTER],
        ..scope(
            "a disk is lost within the pace, who proposed the change has started again",
            4,
            18 + more,
            vec![lost, again, order(7, 6, 12 + more)],
        )
    }
}

fn cut_off_from_all(more: u32) -> Scope {
    let links = vec![at(0, 2, &[Step::CutOff(C)]), at(4, 11 + more, &[Step::Rejoin(C)])];
    let there = vec![at(0, 11 + more, &[Step::Call(3), Step::Call(4)])];
    Scope {
        meets: vec![REPLACED, BACK, AFTER],
        ..scope(
            "one that is cut off from all runs on and is called",
            4,
            13 + more,
            vec![links, there, order(2, 4, 11 + more), losing(4, 7 + more)],
        )
    }
}

/// Each defect with the scope that is to find it, and what it is to break.
pub fn defects() -> Vec<(Defect, Scope, &'static [&'static str])> {
    vec![
        (Defect::LeavesOutPace, two_fall_silent(0), &[PACED]),
        (Defect::CountsReplaced, only_the_replaced_one_is_left(0), &[VOTES]),
        (Defect::JudgesAfterStandstill, stands_still_and_hears_one_less(0), &[SILENT]),
        (Defect::ForgetsChange, back_with_its_disk(0), &[MEET]),
        (Defect::ForgetsBefore, a_lost_disk_and_a_start(0), &[BEFORE]),
    ]
}
