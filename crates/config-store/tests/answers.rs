//! A store answers each call on the connection that it came on, and nowhere else.

use googletest::prelude::*;
use pinerelay_config_store::service::{Output, StoreService};
use pinerelay_consensus::StoreConfig;
use pinerelay_peer_link::message::{ForwardedCall, Hello, PeerMessage, Role};

const IP: &str = "127.0.0.1";

fn hello(role: Role, life: u64) -> PeerMessage {
    PeerMessage::Hello(Hello { node: "core-1".into(), ip: IP.into(), role, process_id: life })
}

/// A store that votes alone.
fn service() -> StoreService {
    let config = StoreConfig {
        name: IP.into(),
        process_id: 1,
        tolerated_losses: 0,
        first_start: true,
        seeds: vec![IP.into()],
    };
    let PeerMessage::Hello(me) = hello(Role::ConfigStore, 1) else { unreachable!() };
    let mut out = Vec::new();
    let mut service = StoreService::new(0, me, config, None, &mut out);
    play(&mut service, 0, out);
    service
}

/// Writes what it wants written, and lets a second pass; what it has answered: on which connection, which number and status.
fn play(service: &mut StoreService, from: u64, mut out: Vec<Output>) -> Vec<(u64, u64, u16)> {
    let mut answers = Vec::new();
    for step in 0..40 {
        let now = from + step * 25_000;
        for output in std::mem::take(&mut out) {
            match output {
                Output::Write { id: number, .. } => service.write_completed(now, number, &mut out),
                Output::Send(peer, PeerMessage::CallReply(number, answered)) => {
                    answers.push((peer, number, answered.status));
                }
                _ => {}
            }
        }
        service.tick(now, &mut out);
    }
    answers
}

#[gtest]
fn what_an_earlier_life_asked_is_never_answered_to_a_later_one() {
    let mut service = service();
    let mut out = Vec::new();
    service.receive(1_000_000, 1, hello(Role::Registry, 1), &mut out);
    service.receive(
        1_000_000,
        1,
        PeerMessage::ForwardCall(1, ForwardedCall::Update(b"{}".to_vec())),
        &mut out,
    );
    // The registry begins anew, numbers its calls from the first on, and has another connection.
    service.disconnected(2, 1, &mut out);
    service.receive(1_000_000, 2, hello(Role::Registry, 2), &mut out);
    service.receive(1_000_000, 2, PeerMessage::ForwardCall(1, ForwardedCall::Read), &mut out);
    service.receive(
        1_000_000,
        2,
        PeerMessage::ForwardCall(2, ForwardedCall::Update(b"[]".to_vec())),
        &mut out,
    );
    let answers = play(&mut service, 1_000_000, out);
    let later: Vec<_> = answers.iter().filter(|(peer, ..)| *peer == 2).collect();
    expect_that!(later, unordered_elements_are![eq(&&(2, 1, 200)), eq(&&(2, 2, 400))]);
    expect_that!(answers.iter().filter(|(peer, ..)| *peer == 1).count(), le(1));
}

#[gtest]
fn a_connection_belongs_to_one_life() {
    let mut service = service();
    let mut out = Vec::new();
    service.receive(0, 1, hello(Role::Registry, 1), &mut out);
    out.clear();
    service.receive(0, 1, hello(Role::Registry, 2), &mut out);
    expect_that!(out, elements_are![eq(&Output::Close(1))]);
}

#[gtest]
fn an_order_that_may_have_waited_through_a_standstill_is_not_judged() {
    let mut service = service();
    let mut out = Vec::new();
    service.receive(1_000_000, 1, hello(Role::Registry, 1), &mut out);
    // The last tick was at 0.975 s. What lies here by now may be older than its caller's patience.
    let update = || PeerMessage::ForwardCall(1, ForwardedCall::Update(b"{}".to_vec()));
    let status = |out: &[Output]| {
        out.iter().find_map(|output| match output {
            Output::Send(1, PeerMessage::CallReply(1, answered)) => Some(answered.status),
            _ => None,
        })
    };
    out.clear();
    service.receive(3_000_000, 1, update(), &mut out);
    expect_that!(status(&out), some(eq(503)));
    service.tick(3_000_100, &mut out);
    out.clear();
    service.receive(3_100_000, 1, update(), &mut out);
    expect_that!(status(&out), some(eq(503)), "it may have come in at any moment of the standstill");
    service.tick(3_150_000, &mut out);
    out.clear();
    service.receive(3_200_000, 1, update(), &mut out);
    let answers = play(&mut service, 3_200_000, out);
    expect_that!(answers, elements_are![eq(&(1, 1, 200))]);
}
