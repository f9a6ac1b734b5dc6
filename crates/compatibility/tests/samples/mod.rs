//! Values of each kind that the tests encode. Numbers differ from field to field, so that two that change places are noticed,
//! and take all lengths that the encoding has.
#![allow(dead_code)]

use pinerelay_config_state::anti_entropy::{DigestEntry, SyncPart};
use pinerelay_config_state::digest_tree::KeyRange;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{Item, ItemSet, Key, Kind, Version};
use pinerelay_consensus::{Ballot, Batch, Member, Membership};

/// One item of each kind, and one that was dropped.
pub fn items() -> Vec<Item> {
    let text = |text: &str| Some(text.as_bytes().to_vec());
    vec![
        Item::with_revision(Key::new(Kind::Route, "r1"), 7, text(r#"{"host":"a.example"}"#)),
        Item::with_revision(Key::new(Kind::Tenant, "t1"), 300, text(r#"{"api_keys":["k1"]}"#)),
        Item::with_revision(Key::new(Kind::Service, "s1"), 70_000, text("{}")),
        Item::with_revision(Key::new(Kind::Limits, "limits"), 5_000_000_000, text(r#"{"max_body_bytes":9}"#)),
        server().to_item("server-1", 12),
        Server::tombstone("server-2", 1_700_000_000),
        Item::with_revision(Key::new(Kind::Node, "proxies"), 3, text("edge-1\nedge-2")),
        Item { key: Key::new(Kind::Route, "dropped"), version: Version::new(8, 9), value: None },
    ]
}

/// A set of all of them.
pub fn item_set() -> ItemSet {
    let mut set = ItemSet::default();
    set.merge_all(items());
    set
}

/// A set that is large enough for a tree of digests with branches.
pub fn large_item_set() -> ItemSet {
    let mut set = ItemSet::default();
    let item = |n: u64| {
        Item::with_revision(Key::new(Kind::Tenant, format!("tenant-{n}")), n, Some(vec![n as u8; 3]))
    };
    set.merge_all((0..200).map(item));
    set
}

/// A server in the state `Draining`.
pub fn server() -> Server {
    Server {
        service: "s1".into(),
        address: "10.1.2.3:8080".parse().expect("an address"),
        zone: "z1".into(),
        revision: "v2".into(),
        capacity: 3,
        state: ServerState::Draining,
        warmup_ms: 250,
    }
}

/// A membership of the second epoch.
pub fn membership() -> Membership {
    let member = |name: &str, incarnation| Member { name: name.into(), incarnation };
    Membership {
        epoch: 2,
        members: vec![member("10.0.0.1", 0), member("10.0.0.2", 77_777), member("10.0.0.3", 0)],
        previous: vec!["10.0.0.1".into(), "10.0.0.2".into()],
    }
}

/// A batch that also changes the membership.
pub fn batch() -> Batch {
    Batch { items: items()[..2].to_vec(), membership: Some(membership()) }
}

/// A ballot whose halves differ.
pub fn ballot() -> Ballot {
    Ballot::new(41, 0xfedc_ba98_7654_3210)
}

/// One of each kind of part that is compared in anti-entropy.
pub fn parts() -> Vec<SyncPart> {
    let entry = |key_hash, version| DigestEntry { key_hash, version };
    let mut parts = large_item_set().sync_request();
    parts.push(SyncPart::Entries {
        range: KeyRange::ALL,
        entries: vec![entry(1, Version::new(2, 3)), entry(u64::MAX, Version::new(400, 5))],
    });
    parts.push(SyncPart::Want(vec![6, 70_000]));
    parts
}
