//! Values of each kind that the tests encode. Numbers differ from field to field, so that two that change places are noticed,
//! and take all lengths that the encoding has.
#![allow(dead_code)]

use pinerelay_cells::merkle::{Part, Range};
use pinerelay_cells::server::{Server, State};
use pinerelay_cells::{Cells, Item, Key, Kind, Version};
use pinerelay_dance::{Ballot, Batch, Member, Membership};

/// One item of each kind, and one that was dropped.
pub fn items() -> Vec<Item> {
    let text = |text: &str| Some(text.as_bytes().to_vec());
    vec![
        Item::sourced(Key::new(Kind::Route, "r1"), 7, text(r#"{"host":"a.example"}"#)),
        Item::sourced(Key::new(Kind::Tenant, "t1"), 300, text(r#"{"api_keys":["k1"]}"#)),
        Item::sourced(Key::new(Kind::Service, "s1"), 70_000, text("{}")),
        Item::sourced(Key::new(Kind::Limits, "limits"), 5_000_000_000, text(r#"{"max_body_bytes":9}"#)),
        server().item("server-1", 12),
        Server::left("server-2", 1_700_000_000),
        Item::sourced(Key::new(Kind::Node, "proxies"), 3, text("edge-1\nedge-2")),
        Item { key: Key::new(Kind::Route, "dropped"), version: Version(8, 9), value: None },
    ]
}

/// A set of all of them.
pub fn item_set() -> Cells {
    let mut set = Cells::default();
    set.merge_all(items());
    set
}

/// A set that is large enough for a tree of digests with branches.
pub fn large_item_set() -> Cells {
    let mut set = Cells::default();
    let item =
        |n: u64| Item::sourced(Key::new(Kind::Tenant, format!("tenant-{n}")), n, Some(vec![n as u8; 3]));
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
        state: State::Draining,
        warmup_ms: 250,
    }
}

/// A membership of the second epoch.
pub fn membership() -> Membership {
    let member = |name: &str, incarnation| Member { name: name.into(), incarnation };
    Membership {
        epoch: 2,
        members: vec![member("10.0.0.1", 0), member("10.0.0.2", 77_777), member("10.0.0.3", 0)],
        before: vec!["10.0.0.1".into(), "10.0.0.2".into()],
    }
}

/// A batch that also changes the membership.
pub fn batch() -> Batch {
    Batch { items: items()[..2].to_vec(), membership: Some(membership()) }
}

/// A ballot whose halves differ.
pub fn ballot() -> Ballot {
    Ballot(41, 0xfedc_ba98_7654_3210)
}

/// One of each kind of part that is compared in anti-entropy.
pub fn parts() -> Vec<Part> {
    let mut parts = large_item_set().compare();
    parts.push(Part::Lines {
        range: Range::ALL,
        lines: vec![(1, Version(2, 3)), (u64::MAX, Version(400, 5))],
    });
    parts.push(Part::Want(vec![6, 70_000]));
    parts
}
