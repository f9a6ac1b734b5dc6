//! A store that reaches no majority neither confirms nor refuses, and tells nobody that it is current of itself.

use googletest::prelude::*;
use pinerelay_cells::call;
use pinerelay_comb::desk::{Desk, Output};
use pinerelay_dance::store::Birth;
use pinerelay_dance::voter::Kept;
use pinerelay_dance::Membership;
use pinerelay_propolis::speech::{Hello, Passed, Role, Speech, CURRENT};

fn ip(n: u64) -> String {
    format!("127.0.0.{n}")
}

#[gtest]
fn cut_off_it_sends_its_callers_on() {
    let text =
        r#"{"upsert":{"tenants":{"column_names":["name","revision","api_keys"],"records":[["a",5,["k"]]]}}}"#;
    let cells = call::read(text.as_bytes()).expect("a configuration");
    let kept = Kept {
        incarnation: Some(0),
        whole: true,
        membership: Membership::first((1..4).map(ip)),
        cells,
        ..Kept::default()
    };
    let birth = Birth { me: ip(1), life: 1, losses: 1, first: false, seeds: (1..4).map(ip).collect() };
    let hello = |role| Hello { node: "n1".into(), ip: ip(1), role, life: 1 };
    let mut out = Vec::new();
    let mut desk = Desk::new(0, hello(Role::Comb), birth, Some(kept), &mut out);
    desk.said(0, 1, Speech::Hello(hello(Role::Scout)), &mut out);
    out.clear();
    // What stands already, what can't stand beside it, and a read.
    let taken = text.replace(r#""a",5"#, r#""b",6"#);
    let calls = [Passed::Update(text.into()), Passed::Update(taken.into()), Passed::Read];
    for (number, passed) in (1..).zip(calls) {
        desk.said(1_000, 1, Speech::Pass(number, passed), &mut out);
    }
    (1..12).for_each(|n| desk.tick(n * 100_000, &mut out));
    let statuses: Vec<(u64, u16)> = out
        .iter()
        .filter_map(|output| match output {
            Output::Say(_, Speech::Answer(number, answered)) => Some((*number, answered.status)),
            _ => None,
        })
        .collect();
    expect_that!(statuses, unordered_elements_are![eq(&(1, 503)), eq(&(2, 503)), eq(&(3, 503))]);
}

#[gtest]
fn it_hands_on_what_is_left_of_its_lease() {
    let kept =
        Kept { incarnation: Some(0), whole: true, membership: Membership::first([ip(1)]), ..Kept::default() };
    let birth = Birth { me: ip(1), life: 1, losses: 1, first: false, seeds: vec![ip(1)] };
    let hello = |role| Hello { node: "n1".into(), ip: ip(1), role, life: 1 };
    let mut desk = Desk::new(0, hello(Role::Comb), birth, Some(kept), &mut Vec::new());
    desk.said(0, 1, Speech::Hello(hello(Role::Scout)), &mut Vec::new());
    // Alone it is a quorum: the lease begins with each of its digests.
    desk.tick(100_000, &mut Vec::new());
    let mut left_at = |now| {
        let mut out = Vec::new();
        desk.said(now, 1, Speech::Confirm(9), &mut out);
        out.iter().find_map(|output| match output {
            Output::Say(1, Speech::Confirmed { asked: 9, epoch: 1, left, .. }) => Some(*left),
            _ => None,
        })
    };
    expect_that!(left_at(100_000), some(eq(CURRENT)));
    expect_that!(left_at(1_600_000), some(eq(CURRENT - 1_500_000)));
    expect_that!(left_at(100_000 + CURRENT), none());
}
