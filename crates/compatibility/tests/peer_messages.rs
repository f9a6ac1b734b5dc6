//! Messages between processes: what they are written as, and that what was written is read back.

mod samples;

use bincode::config::standard;
use googletest::prelude::*;
use pinerelay_cells::{hash, Cells};
use pinerelay_compatibility::Golden;
use pinerelay_dance::Word;
use pinerelay_nectar::fence;
use pinerelay_nectar::purse::{Ask, Grant};
use pinerelay_propolis::speech::{
    self, Answered, Hello, Incoming, Passed, Role, Rolled, Speech, Standing, GREETING,
};

fn hello(role: Role) -> Hello {
    Hello { node: "core-1".into(), ip: "10.0.0.1".into(), role, life: 0x0102_0304_0506_0708 }
}

fn standing() -> Standing {
    Standing {
        scouts: vec!["10.0.0.1".into(), "10.0.0.2".into()],
        voters: vec!["10.0.0.3".into()],
        epoch: 4,
        settled: true,
        foragers: 11,
        majority: false,
        whole: true,
        current: false,
    }
}

fn grants() -> Vec<(String, Grant)> {
    vec![
        ("t1".into(), Grant::Block { units: 5.0, life: 500_000, fence: 9, share: 0.25 }),
        ("t2".into(), Grant::Dry { wait: 12_000, share: 0.125 }),
        ("t3".into(), Grant::Elsewhere),
    ]
}

fn asks() -> Vec<Ask> {
    let ask = Ask {
        tenant: "t1".into(),
        want: 3.0,
        back: 1.0,
        holds: 0.5,
        spent: 7.0,
        lately: 2.0,
        left: 4.0,
        fence: 9,
    };
    vec![ask]
}

/// What stores say to each other.
fn store_messages() -> Vec<(&'static str, Word)> {
    let (ballot, membership, batch) = (samples::ballot(), samples::membership(), samples::batch());
    let items = samples::items();
    vec![
        ("ask", Word::Ask { ballot, membership: membership.clone(), ranges: vec![1, 2, 70_000] }),
        (
            "promise",
            Word::Promise {
                ballot,
                incarnation: 6,
                at: pinerelay_dance::Ballot(40, 3),
                pending: Some(batch.clone()),
                ranges: vec![8, 9],
                cells: items.clone(),
            },
        ),
        ("deny", Word::Deny { ballot, higher: pinerelay_dance::Ballot(50, 1) }),
        ("put", Word::Put { ballot, fill: items.clone(), batch: batch.clone() }),
        ("kept", Word::Kept { ballot, incarnation: 7 }),
        ("settle", Word::Settle { ballot, membership: membership.clone(), batch }),
        ("members", Word::Members(membership)),
        (
            "digest",
            Word::Digest { life: 1, sent: 2, digest: 3, epoch: 4, incarnation: Some(5), highest: ballot },
        ),
        ("seen", Word::Seen { life: 1, sent: 2, digest: 3, epoch: 4, incarnation: None, pends: true }),
        ("mend", Word::Mend { items: items.clone(), parts: samples::parts() }),
        ("news", Word::News(items)),
    ]
}

fn fence_messages() -> Vec<(&'static str, fence::Word)> {
    vec![
        ("claim", fence::Word::Claim { turn: 7, slices: 0x1_0003 }),
        ("promised", fence::Word::Promised { turn: 8, slices: 3 }),
        ("released", fence::Word::Released { turn: 9, slices: u32::MAX }),
    ]
}

/// Each message that processes send each other.
fn messages() -> Vec<(String, Speech)> {
    let named = |name: &str, speech| (name.to_string(), speech);
    let items = samples::items();
    let mut messages = vec![
        named("bye", Speech::Bye),
        named("news", Speech::News(items.clone())),
        named("digest", Speech::Digest([9, u64::MAX])),
        named("mend", Speech::Mend { realm: 1, items: items.clone(), parts: samples::parts() }),
        named("hold", Speech::Hold { number: 5, items }),
        named("held", Speech::Held(300)),
        named("beats", Speech::Beats(vec![(u64::MAX, 450), (3, 0)])),
        named("standing", Speech::Standing(standing())),
        named("placed", Speech::Placed { me: 3, nodes: 11 }),
        named("here", Speech::Here),
        named("draw", Speech::Draw(asks())),
        named("drawn", Speech::Drawn(grants())),
        named(
            "store_stands",
            Speech::StoreStands { membership: samples::membership(), whole: true, current: false },
        ),
        named("confirm", Speech::Confirm(123_456)),
        named("confirmed", Speech::Confirmed { asked: 1, epoch: 2, digest: 3, left: 4 }),
        named("pass_update", Speech::Pass(7, Passed::Update(b"{}".to_vec()))),
        named("pass_read", Speech::Pass(8, Passed::Read)),
        named("answer", Speech::Answer(9, Answered { status: 503, body: "{\"error\":\"x\"}".into() })),
        named("ask", Speech::Ask),
        named("figures", Speech::Figures(vec![("name".into(), 1.5)])),
        named("roll", Speech::Roll),
        named(
            "rolled",
            Speech::Rolled(Rolled {
                linked: vec![hello(Role::Scout)],
                missing: vec!["edge-9".into()],
                core: vec!["10.0.0.1".into()],
            }),
        ),
        named("proxies", Speech::Proxies(vec!["edge-1".into(), "edge-2".into()])),
    ];
    let roles = [Role::Forager, Role::Scout, Role::Comb, Role::Visitor];
    messages
        .extend((0..).zip(roles).map(|(n, role)| (format!("hello_of_role_{n}"), Speech::Hello(hello(role)))));
    let store = store_messages().into_iter();
    messages.extend(store.map(|(name, word)| (format!("store_{name}"), Speech::Store(word))));
    let fence = fence_messages().into_iter();
    messages.extend(fence.map(|(name, word)| (format!("fence_{name}"), Speech::Fence(word))));
    messages
}

#[gtest]
fn messages_are_written_as_by_the_release_in_service() -> googletest::Result<()> {
    let mut golden = Golden::file("peer_messages.txt");
    golden.bytes("greeting", &GREETING);
    for (name, message) in messages() {
        golden.bytes(&name, &speech::write(&message));
    }
    golden.check().or_fail()
}

#[gtest]
fn messages_of_the_release_in_service_are_read() {
    let golden = Golden::file("peer_messages.txt");
    for (name, message) in messages() {
        let mut incoming = Incoming::default();
        incoming.room().extend_from_slice(&GREETING);
        incoming.room().extend_from_slice(&golden.recorded_bytes(&name).expect("recorded"));
        expect_that!(incoming.take(), ok(some(eq(&message))), "{name}");
    }
}

#[gtest]
fn what_processes_compute_alike_stays_the_same() -> googletest::Result<()> {
    let mut golden = Golden::file("shared_hashes.txt");
    golden.text("hash", &format!("{:016x}", hash::of(&[b"ab", b"c"])));
    golden.text("digest", &format!("{:016x}", samples::item_set().digest()));
    golden.text("digest_of_many", &format!("{:016x}", samples::large_item_set().digest()));
    for item in samples::items() {
        let name = format!("key_{:?}_{}", item.key.kind, item.key.name);
        golden.text(&name, &format!("{:016x} {:?}", item.key.number(), (item.version.0, item.version.1)));
    }
    let nodes: Vec<String> = (1..6).map(|n| format!("10.0.0.{n}")).collect();
    golden.text(
        "rendezvous",
        &hash::rendezvous("tenant-7", &nodes).into_iter().cloned().collect::<Vec<_>>().join(" "),
    );
    for tenant in ["t1", "tenant-7", ""] {
        golden.text(&format!("slice_of_{tenant}"), &fence::slice(tenant).to_string());
    }
    for slice in 0..fence::SLICES {
        let owner = fence::owner(slice, &nodes).map_or("", String::as_str);
        golden.text(&format!("owner_of_{slice:02}"), owner);
    }
    golden.check().or_fail()
}

#[gtest]
fn anti_entropy_answers_as_in_the_release_in_service() -> googletest::Result<()> {
    let mut golden = Golden::file("anti_entropy.txt");
    let (few, many) = (samples::item_set(), samples::large_item_set());
    let mut exchange = |name: &str, from: &Cells, to: &Cells| {
        let mut parts = from.compare();
        let (mut left, mut right) = (from.clone(), to.clone());
        for step in 0.. {
            let answer = right.answer(&parts);
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
    let (left, right) = exchange("none_to_many", &Cells::default(), &many);
    expect_that!(left, eq(right));
    let digests: Vec<String> = many.digests().iter().map(|digest| format!("{digest:x}")).collect();
    golden.text("ranges", &digests.join(" "));
    golden.check().or_fail()
}
