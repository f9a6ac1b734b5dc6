//! Calls are answered only on the connection that they came from, and changes are rejected after a stall.

use googletest::prelude::*;
use pinerelay_config_store::service::{Output, StoreService};
use pinerelay_consensus::StoreConfig;
use pinerelay_peer_link::message::{ForwardedCall, Hello, PeerMessage, Role};

const IP: &str = "127.0.0.1";

fn hello(role: Role, process: u64) -> PeerMessage {
    PeerMessage::Hello(Hello { node: "core-1".into(), ip: IP.into(), role, process_id: process })
}

/// A store that is the only voter.
fn service() -> StoreService {
    let config = StoreConfig {
        name: IP.into(),
        process_id: 1,
        tolerated_losses: 0,
        first_start: true,
        seeds: vec![IP.into()],
    };
    let PeerMessage::Hello(own_hello) = hello(Role::ConfigStore, 1) else { unreachable!() };
    let mut out = Vec::new();
    let mut service = StoreService::new(0, own_hello, config, None, &mut out);
    run_one_second(&mut service, 0, out);
    service
}

/// Completes all writes and ticks for one second from `start`. Returns the connection, call number and status of each reply.
fn run_one_second(service: &mut StoreService, start: u64, mut out: Vec<Output>) -> Vec<(u64, u64, u16)> {
    let mut answers = Vec::new();
    for step in 0..40 {
        let now = start + step * 25_000;
        for output in std::mem::take(&mut out) {
            match output {
                Output::Write { id: write_id, .. } => service.write_completed(now, write_id, &mut out),
                Output::Send(connection, PeerMessage::CallReply(number, reply)) => {
                    answers.push((connection, number, reply.status));
                }
                _ => {}
            }
        }
        service.tick(now, &mut out);
    }
    answers
}

#[gtest]
fn a_call_from_an_earlier_connection_is_never_answered_on_a_later_one() {
    let mut service = service();
    let mut out = Vec::new();
    service.receive(1_000_000, 1, hello(Role::Registry, 1), &mut out);
    service.receive(
        1_000_000,
        1,
        PeerMessage::ForwardCall(1, ForwardedCall::Update(b"{}".to_vec())),
        &mut out,
    );
    // The registry restarts: it has another connection and numbers its calls from 1 again.
    service.disconnected(2, 1, &mut out);
    service.receive(1_000_000, 2, hello(Role::Registry, 2), &mut out);
    service.receive(1_000_000, 2, PeerMessage::ForwardCall(1, ForwardedCall::Read), &mut out);
    service.receive(
        1_000_000,
        2,
        PeerMessage::ForwardCall(2, ForwardedCall::Update(b"[]".to_vec())),
        &mut out,
    );
    let answers = run_one_second(&mut service, 1_000_000, out);
    let later: Vec<_> = answers.iter().filter(|(connection, ..)| *connection == 2).collect();
    expect_that!(later, unordered_elements_are![eq(&&(2, 1, 200)), eq(&&(2, 2, 400))]);
    expect_that!(answers.iter().filter(|(connection, ..)| *connection == 1).count(), le(1));
}

#[gtest]
fn a_second_hello_closes_the_connection() {
    let mut service = service();
    let mut out = Vec::new();
    service.receive(0, 1, hello(Role::Registry, 1), &mut out);
    out.clear();
    service.receive(0, 1, hello(Role::Registry, 2), &mut out);
    expect_that!(out, elements_are![eq(&Output::Close(1))]);
}

#[gtest]
fn a_change_that_may_have_been_queued_during_a_stall_is_rejected() {
    let mut service = service();
    let mut out = Vec::new();
    service.receive(1_000_000, 1, hello(Role::Registry, 1), &mut out);
    // The last tick was at 0.975 s. A change that arrives at 3 s may be older than its caller's timeout.
    let update = || PeerMessage::ForwardCall(1, ForwardedCall::Update(b"{}".to_vec()));
    let status = |out: &[Output]| {
        out.iter().find_map(|output| match output {
            Output::Send(1, PeerMessage::CallReply(1, reply)) => Some(reply.status),
            _ => None,
        })
    };
    out.clear();
    service.receive(3_000_000, 1, update(), &mut out);
    expect_that!(status(&out), some(eq(503)));
    service.tick(3_000_100, &mut out);
    out.clear();
    service.receive(3_100_000, 1, update(), &mut out);
    expect_that!(status(&out), some(eq(503)), "it may have arrived at any time during the stall");
    service.tick(3_150_000, &mut out);
    out.clear();
    service.receive(3_200_000, 1, update(), &mut out);
    let answers = run_one_second(&mut service, 3_200_000, out);
    expect_that!(answers, elements_are![eq(&(1, 1, 200))]);
}

#[gtest]
fn a_change_that_may_have_been_queued_for_long_is_rejected_although_ticks_ran() {
    let mut service = service();
    let mut out = Vec::new();
    service.receive(1_000_000, 1, hello(Role::Registry, 1), &mut out);
    let update = || PeerMessage::ForwardCall(1, ForwardedCall::Update(b"{}".to_vec()));
    // Ticks run in time, but messages that arrived within the last 240 ms are queued.
    service.tick_with_backlog(1_100_000, 100_000, &mut out);
    service.tick_with_backlog(1_240_000, 240_000, &mut out);
    out.clear();
    service.receive(1_260_000, 1, update(), &mut out);
    let is_rejected = |output: &Output| matches!(output, Output::Send(1, PeerMessage::CallReply(1, reply)) if reply.status == 503);
    expect_that!(out.iter().any(is_rejected), eq(true));
    service.tick_with_backlog(1_300_000, 0, &mut out);
    out.clear();
    service.receive(1_310_000, 1, update(), &mut out);
    let answers = run_one_second(&mut service, 1_310_000, out);
    expect_that!(answers, elements_are![eq(&(1, 1, 200))]);
}
