//! A store without a quorum answers every call with 503, and a registry gets only the remaining duration of a store's lease.

use googletest::prelude::*;
use pinerelay_config_state::operator_call;
use pinerelay_config_store::service::{Output, StoreService};
use pinerelay_consensus::{Membership, PersistentState, StoreConfig};
use pinerelay_peer_link::message::{ForwardedCall, Hello, PeerMessage, Role, LEASE_DURATION};

fn ip(n: u64) -> String {
    format!("127.0.0.{n}")
}

#[gtest]
fn a_partitioned_store_answers_every_call_with_503() {
    let text =
        r#"{"upsert":{"tenants":{"column_names":["name","revision","api_keys"],"records":[["a",5,["k"]]]}}}"#;
    let items = operator_call::parse_update(text.as_bytes()).expect("a configuration");
    let state = PersistentState {
        incarnation: Some(0),
        is_complete: true,
        membership: Membership::first((1..4).map(ip)),
        items,
        ..PersistentState::default()
    };
    let config = StoreConfig {
        name: ip(1),
        process_id: 1,
        tolerated_losses: 1,
        first_start: false,
        seeds: (1..4).map(ip).collect(),
    };
    let hello = |role| Hello { node: "n1".into(), ip: ip(1), role, process_id: 1 };
    let mut out = Vec::new();
    let mut service = StoreService::new(0, hello(Role::ConfigStore), config, Some(state), &mut out);
    service.receive(0, 1, PeerMessage::Hello(hello(Role::Registry)), &mut out);
    out.clear();
    // An update that is committed already, a conflicting one (the same key for another tenant), and a read.
    let conflicting = text.replace(r#""a",5"#, r#""b",6"#);
    let calls =
        [ForwardedCall::Update(text.into()), ForwardedCall::Update(conflicting.into()), ForwardedCall::Read];
    for (number, call) in (1..).zip(calls) {
        service.receive(1_000, 1, PeerMessage::ForwardCall(number, call), &mut out);
    }
    (1..12).for_each(|n| service.tick(n * 100_000, &mut out));
    let statuses: Vec<(u64, u16)> = out
        .iter()
        .filter_map(|output| match output {
            Output::Send(_, PeerMessage::CallReply(number, reply)) => Some((*number, reply.status)),
            _ => None,
        })
        .collect();
    expect_that!(statuses, unordered_elements_are![eq(&(1, 503)), eq(&(2, 503)), eq(&(3, 503))]);
}

#[gtest]
fn it_reports_the_remaining_duration_of_its_lease() {
    let state = PersistentState {
        incarnation: Some(0),
        is_complete: true,
        membership: Membership::first([ip(1)]),
        ..PersistentState::default()
    };
    let config = StoreConfig {
        name: ip(1),
        process_id: 1,
        tolerated_losses: 1,
        first_start: false,
        seeds: vec![ip(1)],
    };
    let hello = |role| Hello { node: "n1".into(), ip: ip(1), role, process_id: 1 };
    let mut service = StoreService::new(0, hello(Role::ConfigStore), config, Some(state), &mut Vec::new());
    service.receive(0, 1, PeerMessage::Hello(hello(Role::Registry)), &mut Vec::new());
    // It is a quorum by itself, so its lease begins whenever it sends its digest.
    service.tick(100_000, &mut Vec::new());
    let mut lease_left_at = |now| {
        let mut out = Vec::new();
        service.receive(now, 1, PeerMessage::ConfirmCurrent(9), &mut out);
        out.iter().find_map(|output| match output {
            Output::Send(1, PeerMessage::Current { asked_at: 9, epoch: 1, lease_left: remaining, .. }) => {
                Some(*remaining)
            }
            _ => None,
        })
    };
    expect_that!(lease_left_at(100_000), some(eq(LEASE_DURATION)));
    expect_that!(lease_left_at(1_600_000), some(eq(LEASE_DURATION - 1_500_000)));
    expect_that!(lease_left_at(100_000 + LEASE_DURATION), none());
}
