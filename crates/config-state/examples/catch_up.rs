//! What it costs to catch up and to judge, in bytes and microseconds, at the target's size and at a small one.
//!
//! `cargo run --release -p pinerelay-config-state --example catch_up`

use std::hint::black_box;
use std::time::Instant;

use pinerelay_config_state::routing_table::RoutingTable;
use pinerelay_config_state::validation::{accept_update, IndexedItems};
use pinerelay_config_state::{Item, ItemSet, Key, Kind};

fn route(n: usize, revision: u64) -> Item {
    let text = format!(
        r#"{{"host":"h{}.example","name":"route-{n}","path_prefix":"/p{n}/","priority":1,"retries":2,"revision":{revision},
        "route_type":"safe","service":"service-{}","target":"400ms","timeout":"2500ms"}}"#,
        n % 97,
        n % 100
    );
    Item::with_revision(Key::new(Kind::Route, format!("route-{n}")), revision, Some(text.into_bytes()))
}

fn tenant(n: usize, revision: u64) -> Item {
    let text = format!(
        r#"{{"api_keys":["key-{n}-{:016x}"],"burst":40,"name":"tenant-{n}","rate":20,"revision":{revision}}}"#,
        n * 7_919
    );
    Item::with_revision(Key::new(Kind::Tenant, format!("tenant-{n}")), revision, Some(text.into_bytes()))
}

fn service(n: usize) -> Item {
    let text = format!(r#"{{"name":"service-{n}","revision":1}}"#);
    Item::with_revision(Key::new(Kind::Service, format!("service-{n}")), 1, Some(text.into_bytes()))
}

/// So many tenants and routes, and 100 services.
fn copy(tenants: usize, routes: usize) -> ItemSet {
    let mut item_set = ItemSet::default();
    item_set.merge_all((0..100).map(service));
    item_set.merge_all((0..routes).map(|n| route(n, 1)));
    item_set.merge_all((0..tenants).map(|n| tenant(n, 1)));
    item_set
}

fn bytes<T: bincode::Encode>(value: &T) -> usize {
    bincode::encode_to_vec(value, bincode::config::standard()).expect("bytes").len()
}

fn timed<T>(what: &str, times: u32, mut act: impl FnMut() -> T) {
    let begun = Instant::now();
    (0..times).for_each(|_| drop(black_box(act())));
    println!("{what}: {:.1} us", begun.elapsed().as_secs_f64() * 1e6 / f64::from(times));
}

/// The old one mends itself by the new one's word: a digest that differs, and all that follows.
fn mend(old: &ItemSet, new: &ItemSet, what: &str) {
    let (mut old, mut new) = (old.clone(), new.clone());
    let begun = Instant::now();
    let (mut all, mut items, mut most, mut messages) = (bytes(&new.digest()), 0, 0, 1);
    let (mut from, mut to) = (&mut old, &mut new);
    let mut sent = (Vec::new(), from.sync_request());
    while !(sent.0.is_empty() && sent.1.is_empty()) {
        let size = [bytes(&sent.0), bytes(&sent.1)];
        all += size[0] + size[1];
        items += size[0];
        most = most.max(size[0] + size[1]);
        messages += 1;
        to.merge_all(sent.0);
        let answer = to.sync_reply(&sent.1);
        sent = (answer.items, answer.parts);
        std::mem::swap(&mut from, &mut to);
    }
    assert_eq!(old.digest(), new.digest());
    let micros = begun.elapsed().as_micros();
    println!("{what}: {all} bytes, {items} of them items, the longest message {most}, {messages} messages, {micros} us");
}

/// The same over a link of 2 Mbit/s and 20 ms each way: how long it takes, and the longest that a heartbeat
/// waits behind a message.
fn mend_over_a_link(old: &ItemSet, new: &ItemSet, what: &str) {
    let (mut copies, mut sent) = ([old.clone(), new.clone()], (Vec::new(), old.sync_request()));
    let on_the_way = |bytes: usize| bytes as f64 / 250_000.0 + 0.02;
    let (mut now, mut longest, mut to) = (0.0, 0.0_f64, 1);
    while !(sent.0.is_empty() && sent.1.is_empty()) {
        // Nothing else of the talk is on the link: at worst a heartbeat comes right behind the message.
        let took = on_the_way(bytes(&sent.0) + bytes(&sent.1));
        (now, longest) = (now + took, longest.max(took));
        copies[to].merge_all(sent.0);
        let answer = copies[to].sync_reply(&sent.1);
        sent = (answer.items, answer.parts);
        to = 1 - to;
    }
    println!("{what} at 2 Mbit/s, 20 ms away: {now:.2} s, a heartbeat waits for {longest:.2} s at most");
}

/// Pages in memory, in bytes.
fn resident() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = pages.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
    pages * 4_096
}

fn main() {
    let before = resident();
    let mut dropped = ItemSet::default();
    for n in 0..100_000 {
        dropped.merge(Item::with_revision(Key::new(Kind::Tenant, format!("tenant-{n}")), 7, None));
    }
    let all: Vec<&Item> = dropped.iter().collect();
    println!(
        "1,000 dropped items: {} bytes in memory, {} bytes on the wire",
        (resident() - before) / 100,
        bytes(&all) / 100
    );
    for (tenants, routes) in [(38_000, 3_900), (0, 0)] {
        let new = copy(tenants, routes);
        println!("{} items", new.len());
        let all = tenants.max(100);
        let changed = |count: usize| {
            let mut next = new.clone();
            next.merge_all((0..count).map(|n| tenant(n * all / count, 2)));
            next
        };
        mend(&new, &changed(1), "one change");
        mend(&new, &changed(100), "100 changes");
        mend(&new, &changed(500), "500 changes");
        mend(&ItemSet::default(), &new, "from nothing");
        mend_over_a_link(&new, &changed(500), "500 changes");
        mend_over_a_link(&ItemSet::default(), &new, "from nothing");
        let mut item_set = new.clone();
        let mut revision = 10;
        timed("merge of one changed tenant", 1_000, || {
            revision += 1;
            item_set.merge(tenant(all / 2, revision))
        });
        timed("clone", 10, || item_set.clone());
        let call = [tenant(7, 1_000_000)];
        timed("accept_update of one changed tenant", 10, || accept_update(&item_set, &call).expect("fits"));
        timed("IndexedItems::new", 10, || IndexedItems::new(item_set.clone()));
        let current = IndexedItems::new(item_set.clone());
        timed("IndexedItems::taken of one changed tenant", 10_000, || {
            current.accept_update(&call).expect("fits")
        });
        timed("RoutingTable::from_items", 10, || RoutingTable::from_items(&item_set));
        let mut table = RoutingTable::from_items(&item_set);
        timed("Table::change of one tenant", 1_000, || {
            revision += 1;
            table.apply(&tenant(all / 2, revision))
        });
        timed("Table::change of one tenant, beside a clone that others hold", 100, || {
            let held = table.clone();
            revision += 1;
            table.apply(&tenant(all / 2, revision));
            held
        });
    }
}
