//! The cost of anti-entropy and of validation, in bytes and microseconds, for a full-size and for a small configuration.
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

/// A replica with the given numbers of tenants and routes, and 100 services.
fn replica(tenants: usize, routes: usize) -> ItemSet {
    let mut item_set = ItemSet::default();
    item_set.merge_all((0..100).map(service));
    item_set.merge_all((0..routes).map(|n| route(n, 1)));
    item_set.merge_all((0..tenants).map(|n| tenant(n, 1)));
    item_set
}

/// The size of an encoded value, in bytes.
fn encoded_len<T: bincode::Encode>(value: &T) -> usize {
    bincode::encode_to_vec(value, bincode::config::standard()).expect("an encoded value").len()
}

/// Prints the mean time of an operation, in microseconds.
fn measure<T>(label: &str, runs: u32, mut operation: impl FnMut() -> T) {
    let started = Instant::now();
    (0..runs).for_each(|_| drop(black_box(operation())));
    println!("{label}: {:.1} us", started.elapsed().as_secs_f64() * 1e6 / f64::from(runs));
}

/// Brings the old replica up to date with the new one, from the differing digest to the last reply, and prints the cost.
fn synchronize(old: &ItemSet, new: &ItemSet, label: &str) {
    let (mut old, mut new) = (old.clone(), new.clone());
    let started = Instant::now();
    let (mut total, mut item_bytes, mut max_message, mut messages) = (encoded_len(&new.digest()), 0, 0, 1);
    let (mut sender, mut receiver) = (&mut old, &mut new);
    let mut sent = (Vec::new(), sender.sync_request());
    while !(sent.0.is_empty() && sent.1.is_empty()) {
        let size = [encoded_len(&sent.0), encoded_len(&sent.1)];
        total += size[0] + size[1];
        item_bytes += size[0];
        max_message = max_message.max(size[0] + size[1]);
        messages += 1;
        receiver.merge_all(sent.0);
        let reply = receiver.sync_reply(&sent.1);
        sent = (reply.items, reply.parts);
        std::mem::swap(&mut sender, &mut receiver);
    }
    assert_eq!(old.digest(), new.digest());
    let micros = started.elapsed().as_micros();
    println!("{label}: {total} bytes, {item_bytes} of them items, the longest message {max_message}, {messages} messages, {micros} us");
}

/// The same over a link of 2 Mbit/s with a delay of 20 ms each way: prints the total time and the longest time that a
/// heartbeat waits behind a message.
fn synchronize_over_link(old: &ItemSet, new: &ItemSet, label: &str) {
    let (mut replicas, mut sent) = ([old.clone(), new.clone()], (Vec::new(), old.sync_request()));
    let transfer_time = |length: usize| length as f64 / 250_000.0 + 0.02;
    let (mut now, mut longest, mut receiver) = (0.0, 0.0_f64, 1);
    while !(sent.0.is_empty() && sent.1.is_empty()) {
        // One message of the exchange is in transit at a time: at worst a heartbeat is queued right behind it.
        let duration = transfer_time(encoded_len(&sent.0) + encoded_len(&sent.1));
        (now, longest) = (now + duration, longest.max(duration));
        replicas[receiver].merge_all(sent.0);
        let reply = replicas[receiver].sync_reply(&sent.1);
        sent = (reply.items, reply.parts);
        receiver = 1 - receiver;
    }
    println!("{label} at 2 Mbit/s, 20 ms away: {now:.2} s, a heartbeat waits for {longest:.2} s at most");
}

/// The resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let pages = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages: usize = pages.split(' ').nth(1).and_then(|n| n.parse().ok()).unwrap_or(0);
    pages * 4_096
}

fn main() {
    let before = resident_bytes();
    let mut tombstones = ItemSet::default();
    for n in 0..100_000 {
        tombstones.merge(Item::with_revision(Key::new(Kind::Tenant, format!("tenant-{n}")), 7, None));
    }
    let all: Vec<&Item> = tombstones.iter().collect();
    println!(
        "1,000 tombstones: {} bytes in memory, {} bytes on the wire",
        (resident_bytes() - before) / 100,
        encoded_len(&all) / 100
    );
    for (tenants, routes) in [(38_000, 3_900), (0, 0)] {
        let new = replica(tenants, routes);
        println!("{} items", new.len());
        // The small replica has no tenants: there the changes add tenants with numbers below 100.
        let tenant_number_range = tenants.max(100);
        let changed = |count: usize| {
            let mut next = new.clone();
            next.merge_all((0..count).map(|n| tenant(n * tenant_number_range / count, 2)));
            next
        };
        synchronize(&new, &changed(1), "one change");
        synchronize(&new, &changed(100), "100 changes");
        synchronize(&new, &changed(500), "500 changes");
        synchronize(&ItemSet::default(), &new, "from nothing");
        synchronize_over_link(&new, &changed(500), "500 changes");
        synchronize_over_link(&ItemSet::default(), &new, "from nothing");
        let mut item_set = new.clone();
        let mut revision = 10;
        measure("merge of one changed tenant", 1_000, || {
            revision += 1;
            item_set.merge(tenant(tenant_number_range / 2, revision))
        });
        measure("clone", 10, || item_set.clone());
        let call = [tenant(7, 1_000_000)];
        measure("accept_update of one changed tenant", 10, || {
            accept_update(&item_set, &call).expect("a valid call")
        });
        measure("IndexedItems::new", 10, || IndexedItems::new(item_set.clone()));
        let current = IndexedItems::new(item_set.clone());
        measure("IndexedItems::accept_update of one changed tenant", 10_000, || {
            current.accept_update(&call).expect("a valid call")
        });
        measure("RoutingTable::from_items", 10, || RoutingTable::from_items(&item_set));
        let mut table = RoutingTable::from_items(&item_set);
        measure("RoutingTable::apply of one tenant", 1_000, || {
            revision += 1;
            table.apply(&tenant(tenant_number_range / 2, revision))
        });
        measure("RoutingTable::apply of one tenant, while a clone exists", 100, || {
            let snapshot = table.clone();
            revision += 1;
            table.apply(&tenant(tenant_number_range / 2, revision));
            snapshot
        });
    }
}
