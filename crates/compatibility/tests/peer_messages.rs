//! Messages between processes: what they are written as, and that what was written is read back.

mod samples;

use bincode::config::standard;
use googletest::prelude::*;
use pinerelay_admission::duty::{self, DutyMessage};
use pinerelay_admission::lease::{LeaseGrant, LeaseRequest};
use pinerelay_compatibility::Golden;
use pinerelay_config_state::{hash, ItemSet};
use pinerelay_consensus::Message;
use pinerelay_peer_link::codec::{self, Decoder, GREETING};
use pinerelay_peer_link::message::{
    CallReply, ForwardedCall, Hello, Metric, PeerMessage, ProcessList, RegistryStatus, Role, SeenHeartbeat,
    TenantGrant,
};

fn hello(role: Role) -> Hello {
    Hello { node: "core-1".into(), ip: "10.0.0.1".into(), role, process_id: 0x0102_0304_0506_0708 }
}

fn standing() -> RegistryStatus {
    RegistryStatus {
        registries: vec!["10.0.0.1".into(), "10.0.0.2".into()],
        voters: vec!["10.0.0.3".into()],
        epoch: 4,
        epoch_settled: true,
        proxies: 11,
        has_majority: false,
        is_complete: true,
        is_current: false,
    }
}

fn grants() -> Vec<TenantGrant> {
    vec![
        TenantGrant {
            tenant: "t1".into(),
            grant: LeaseGrant::Units { units: 5.0, duration: 500_000, fencing_token: 9, share: 0.25 },
        },
        TenantGrant {
            tenant: "t2".into(),
            grant: LeaseGrant::Exhausted { retry_after: 12_000, share: 0.125 },
        },
        TenantGrant { tenant: "t3".into(), grant: LeaseGrant::NotOwner },
    ]
}

fn asks() -> Vec<LeaseRequest> {
    let ask = LeaseRequest {
        tenant: "t1".into(),
        wanted: 3.0,
        returned: 1.0,
        held_share: 0.5,
        share_spent: 7.0,
        share_spent_lately: 2.0,
        share_left: 4.0,
        fencing_token: 9,
    };
    vec![ask]
}

/// What stores say to each other.
fn store_messages() -> Vec<(&'static str, Message)> {
    let (ballot, membership, batch) = (samples::ballot(), samples::membership(), samples::batch());
    let items = samples::items();
    vec![
        (
            "ask",
            Message::Prepare { ballot, membership: membership.clone(), range_digests: vec![1, 2, 70_000] },
        ),
        (
            "promise",
            Message::Promise {
                ballot,
                incarnation: 6,
                accepted: pinerelay_consensus::Ballot::new(40, 3),
                pending: Some(batch.clone()),
                range_digests: vec![8, 9],
                items: items.clone(),
            },
        ),
        ("deny", Message::Reject { ballot, promised: pinerelay_consensus::Ballot::new(50, 1) }),
        ("put", Message::Accept { ballot, missing: items.clone(), batch: batch.clone() }),
        ("kept", Message::Accepted { ballot, incarnation: 7 }),
        ("settle", Message::Commit { ballot, membership: membership.clone(), batch }),
        ("members", Message::NewMembership(membership)),
        (
            "digest",
            Message::Heartbeat {
                process_id: 1,
                sent_at: 2,
                digest: 3,
                epoch: 4,
                incarnation: Some(5),
                highest_ballot: ballot,
            },
        ),
        (
            "seen",
            Message::HeartbeatAck {
                process_id: 1,
                sent_at: 2,
                digest: 3,
                epoch: 4,
                incarnation: None,
                has_pending: true,
            },
        ),
        ("mend", Message::Sync { items: items.clone(), parts: samples::parts() }),
        ("news", Message::Update(items)),
    ]
}

fn fence_messages() -> Vec<(&'static str, DutyMessage)> {
    vec![
        ("claim", DutyMessage::Claim { claim: 7, slices: 0x1_0003 }),
        ("promised", DutyMessage::Promise { claim: 8, slices: 3 }),
        ("released", DutyMessage::Release { claim: 9, slices: u32::MAX }),
    ]
}

/// Each message that processes send each other.
fn messages() -> Vec<(String, PeerMessage)> {
    let named = |name: &str, speech| (name.to_string(), speech);
    let items = samples::items();
    let mut messages = vec![
        named("bye", PeerMessage::Goodbye),
        named("news", PeerMessage::Update(items.clone())),
        named("digest", PeerMessage::Digests([9, u64::MAX])),
        named("mend", PeerMessage::Sync { realm: 1, items: items.clone(), parts: samples::parts() }),
        named("hold", PeerMessage::Replicate { number: 5, items }),
        named("held", PeerMessage::Replicated(300)),
        named(
            "beats",
            PeerMessage::HeartbeatsSeen(vec![
                SeenHeartbeat { key_hash: u64::MAX, age_ms: 450 },
                SeenHeartbeat { key_hash: 3, age_ms: 0 },
            ]),
        ),
        named("standing", PeerMessage::RegistryStatus(standing())),
        named("placed", PeerMessage::ProxyPlace { index: 3, proxies: 11 }),
        named("here", PeerMessage::KeepAlive),
        named("draw", PeerMessage::LeaseRequests(asks())),
        named("drawn", PeerMessage::LeaseGrants(grants())),
        named(
            "store_stands",
            PeerMessage::StoreStatus {
                membership: samples::membership(),
                is_complete: true,
                is_current: false,
            },
        ),
        named("confirm", PeerMessage::ConfirmCurrent(123_456)),
        named("confirmed", PeerMessage::Current { asked_at: 1, epoch: 2, digest: 3, lease_left: 4 }),
        named("pass_update", PeerMessage::ForwardCall(7, ForwardedCall::Update(b"{}".to_vec()))),
        named("pass_read", PeerMessage::ForwardCall(8, ForwardedCall::Read)),
        named(
            "answer",
            PeerMessage::CallReply(9, CallReply { status: 503, body: "{\"error\":\"x\"}".into() }),
        ),
        named("ask", PeerMessage::MetricsRequest),
        named("figures", PeerMessage::Metrics(vec![Metric::new("name", 1.5)])),
        named("roll", PeerMessage::ProcessListRequest),
        named(
            "rolled",
            PeerMessage::ProcessList(ProcessList {
                linked: vec![hello(Role::Registry)],
                missing: vec!["edge-9".into()],
                voters: vec!["10.0.0.1".into()],
            }),
        ),
        named("proxies", PeerMessage::KnownProxies(vec!["edge-1".into(), "edge-2".into()])),
    ];
    let roles = [Role::Proxy, Role::Registry, Role::ConfigStore, Role::Observer];
    messages.extend(
        (0..).zip(roles).map(|(n, role)| (format!("hello_of_role_{n}"), PeerMessage::Hello(hello(role)))),
    );
    let store = store_messages().into_iter();
    messages.extend(store.map(|(name, message)| (format!("store_{name}"), PeerMessage::Consensus(message))));
    let fence = fence_messages().into_iter();
    messages.extend(fence.map(|(name, message)| (format!("fence_{name}"), PeerMessage::Duty(message))));
    messages
}

#[gtest]
fn messages_are_written_as_by_the_release_in_service() -> googletest::Result<()> {
    let mut golden = Golden::file("peer_messages.txt");
    golden.bytes("greeting", &GREETING);
    for (name, message) in messages() {
        golden.bytes(&name, &codec::encode(&message));
    }
    golden.check().or_fail()
}

#[gtest]
fn messages_of_the_release_in_service_are_read() {
    let golden = Golden::file("peer_messages.txt");
    for (name, message) in messages() {
        let mut decoder = Decoder::default();
        decoder.read_buffer().extend_from_slice(&GREETING);
        decoder.read_buffer().extend_from_slice(&golden.recorded_bytes(&name).expect("recorded"));
        expect_that!(decoder.next_message(), ok(some(eq(&message))), "{name}");
    }
}

#[gtest]
fn what_processes_compute_alike_stays_the_same() -> googletest::Result<()> {
    let mut golden = Golden::file("shared_hashes.txt");
    golden.text("hash", &format!("{:016x}", hash::hash_parts(&[b"ab", b"c"])));
    golden.text("digest", &format!("{:016x}", samples::item_set().digest()));
    golden.text("digest_of_many", &format!("{:016x}", samples::large_item_set().digest()));
    for item in samples::items() {
        let name = format!("key_{:?}_{}", item.key.kind, item.key.name);
        golden.text(
            &name,
            &format!("{:016x} {:?}", item.key.key_hash(), (item.version.revision, item.version.tie_breaker)),
        );
    }
    let nodes: Vec<String> = (1..6).map(|n| format!("10.0.0.{n}")).collect();
    golden.text(
        "rendezvous",
        &hash::rendezvous_order("tenant-7", &nodes).into_iter().cloned().collect::<Vec<_>>().join(" "),
    );
    for tenant in ["t1", "tenant-7", ""] {
        golden.text(&format!("slice_of_{tenant}"), &duty::slice_of(tenant).to_string());
    }
    for slice in 0..duty::SLICE_COUNT {
        let owner = duty::slice_owner(slice, &nodes).map_or("", String::as_str);
        golden.text(&format!("owner_of_{slice:02}"), owner);
    }
    golden.check().or_fail()
}

#[gtest]
fn anti_entropy_answers_as_in_the_release_in_service() -> googletest::Result<()> {
    let mut golden = Golden::file("anti_entropy.txt");
    let (few, many) = (samples::item_set(), samples::large_item_set());
    let mut exchange = |name: &str, from: &ItemSet, to: &ItemSet| {
        let mut parts = from.sync_request();
        let (mut left, mut right) = (from.clone(), to.clone());
        for step in 0.. {
            let answer = right.sync_reply(&parts);
            let written =
                bincode::encode_to_vec((&answer.items, &answer.parts), standard()).unwrap_or_default();
            golden.bytes(&format!("{name}_{step:02}"), &written);
            if answer.is_empty() {
                break;
            }
            left.merge_all(answer.items);
            parts = answer.parts;
            std::mem::swap(&mut left, &mut right);
        }
        (left.digest(), right.digest())
    };
    let (left, right) = exchange("few_to_many", &few, &many);
    expect_that!(left, eq(right));
    let (left, right) = exchange("many_to_few", &many, &few);
    expect_that!(left, eq(right));
    let (left, right) = exchange("none_to_many", &ItemSet::default(), &many);
    expect_that!(left, eq(right));
    let digests: Vec<String> = many.range_digests().iter().map(|digest| format!("{digest:x}")).collect();
    golden.text("ranges", &digests.join(" "));
    golden.check().or_fail()
}
