//! A store answers each call on the connection that it came on, and nowhere else.

use googletest::prelude::*;
use pinerelay_comb::desk::{Desk, Output};
use pinerelay_dance::store::Birth;
use pinerelay_propolis::speech::{Hello, Passed, Role, Speech};

const IP: &str = "127.0.0.1";

fn hello(role: Role, life: u64) -> Speech {
    Speech::Hello(Hello { node: "core-1".into(), ip: IP.into(), role, life })
}

/// A store that votes alone.
fn desk() -> Desk {
    let birth = Birth { me: IP.into(), life: 1, losses: 0, first: true, seeds: vec![IP.into()] };
    let Speech::Hello(me) = hello(Role::Comb, 1) else { unreachable!() };
    let mut out = Vec::new();
    let mut desk = Desk::new(0, me, birth, None, &mut out);
    play(&mut desk, 0, out);
    desk
}

/// Writes what it wants written, and lets a second pass; what it has answered: on which connection, which number and status.
fn play(desk: &mut Desk, from: u64, mut out: Vec<Output>) -> Vec<(u64, u64, u16)> {
    let mut answers = Vec::new();
    for step in 0..40 {
        let now = from + step * 25_000;
        for output in std::mem::take(&mut out) {
            match output {
                Output::Write(number, _) => desk.written(now, number, &mut out),
                Output::Say(peer, Speech::Answer(number, answered)) => {
                    answers.push((peer, number, answered.status));
                }
                _ => {}
            }
        }
        desk.tick(now, &mut out);
    }
    answers
}

#[gtest]
fn what_an_earlier_life_asked_is_never_answered_to_a_later_one() {
    let mut desk = desk();
    let mut out = Vec::new();
    desk.said(1_000_000, 1, hello(Role::Scout, 1), &mut out);
    desk.said(1_000_000, 1, Speech::Pass(1, Passed::Update(b"{}".to_vec())), &mut out);
    // The registry begins anew, numbers its calls from the first on, and has another connection.
    desk.down(2, 1, &mut out);
    desk.said(1_000_000, 2, hello(Role::Scout, 2), &mut out);
    desk.said(1_000_000, 2, Speech::Pass(1, Passed::Read), &mut out);
    desk.said(1_000_000, 2, Speech::Pass(2, Passed::Update(b"[]".to_vec())), &mut out);
    let answers = play(&mut desk, 1_000_000, out);
    let later: Vec<_> = answers.iter().filter(|(peer, ..)| *peer == 2).collect();
    expect_that!(later, unordered_elements_are![eq(&&(2, 1, 200)), eq(&&(2, 2, 400))]);
    expect_that!(answers.iter().filter(|(peer, ..)| *peer == 1).count(), le(1));
}

#[gtest]
fn a_connection_belongs_to_one_life() {
    let mut desk = desk();
    let mut out = Vec::new();
    desk.said(0, 1, hello(Role::Scout, 1), &mut out);
    out.clear();
    desk.said(0, 1, hello(Role::Scout, 2), &mut out);
    expect_that!(out, elements_are![eq(&Output::Cut(1))]);
}

#[gtest]
fn an_order_that_may_have_waited_through_a_standstill_is_not_judged() {
    let mut desk = desk();
    let mut out = Vec::new();
    desk.said(1_000_000, 1, hello(Role::Scout, 1), &mut out);
    // The last tick was at 0.975 s. What lies here by now may be older than its caller's patience.
    let update = || Speech::Pass(1, Passed::Update(b"{}".to_vec()));
    let status = |out: &[Output]| {
        out.iter().find_map(|output| match output {
            Output::Say(1, Speech::Answer(1, answered)) => Some(answered.status),
            _ => None,
        })
    };
    out.clear();
    desk.said(3_000_000, 1, update(), &mut out);
    expect_that!(status(&out), some(eq(503)));
    desk.tick(3_000_100, &mut out);
    out.clear();
    desk.said(3_100_000, 1, update(), &mut out);
    expect_that!(status(&out), some(eq(503)), "it may have come in at any moment of the standstill");
    desk.tick(3_150_000, &mut out);
    out.clear();
    desk.said(3_200_000, 1, update(), &mut out);
    let answers = play(&mut desk, 3_200_000, out);
    expect_that!(answers, elements_are![eq(&(1, 1, 200))]);
}
