//! A process's pieces fed alone, at a size that is given: bytes on the wire, processor time and memory of each.

use std::time::Instant;

use getopts::Options;
use pinerelay_admission::fleet::Fleet;
use pinerelay_admission::lease::Usage;
use pinerelay_admission::lease::{LeaseGrant, LeaseRequest};
use pinerelay_admission::quota::Quota;
use pinerelay_admission::quota_allocator::QuotaAllocator;
use pinerelay_config_state::routing_table::RoutingTable;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::validation::{accept_update, IndexedItems};
use pinerelay_config_state::{operator_call, Item, ItemSet};
use pinerelay_peer_link::codec;
use pinerelay_peer_link::message::{PeerMessage, TenantGrant};

/// A call for a unit.
const ONE: Usage = Usage {
    wanted: 1.0,
    returned: 0.0,
    held_share: 0.0,
    share_spent: 0.0,
    share_spent_lately: 0.0,
    share_left: 0.0,
};

/// The memory of one of a thing, in MB. As many are made as take what was freed before, and 100 MB more.
fn holds<T>(make: impl Fn() -> T) -> f64 {
    let (mut held, begun) = (Vec::new(), megabytes());
    while held.len() < 10_000 && megabytes() < begun + 100.0 {
        held.push(make());
    }
    let (before, more) = (megabytes(), held.len());
    held.extend((0..more).map(|_| make()));
    (megabytes() - before) / more as f64
}

fn megabytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0 / 1e6
}

/// The shortest of five turns, in milliseconds, and what the last gave.
fn took<T>(mut turn: impl FnMut() -> T) -> (f64, T) {
    let mut least = f64::MAX;
    for _ in 0..4 {
        let begun = Instant::now();
        drop(turn());
        least = least.min(begun.elapsed().as_secs_f64());
    }
    let begun = Instant::now();
    let given = turn();
    (1e3 * least.min(begun.elapsed().as_secs_f64()), given)
}

fn configuration(routes: usize, tenants: usize, services: usize, revision: u64) -> String {
    let routes: Vec<String> = (0..routes)
        .map(|n| {
            let host = n / 8;
            let service = n % services;
            format!(r#"["r-{n:07}","host{host}.example","/part{n}/","safe","1000ms","400ms",2,2,false,{revision},"service{service}"]"#)
        })
        .collect();
    let tenants: Vec<String> = (0..tenants)
        .map(|n| format!(r#"["tenant{n}",["{n:0>20}","{n:b>20}"],0,94,94,{revision}]"#))
        .collect();
    let services: Vec<String> =
        (0..services).map(|n| format!(r#"["service{n}","/health",130,"h1",false,{revision}]"#)).collect();
    format!(
        r#"{{"upsert":{{"routes":{{"column_names":["name","host","path_prefix","route_type","timeout","target","priority","retries","public","revision","service"],"records":[{}]}},"tenants":{{"column_names":["name","api_keys","priority","rate_per_s","burst","revision"],"records":[{}]}},"services":{{"column_names":["name","health_path","max_conns","protocol","tls","revision"],"records":[{}]}}}}}}"#,
        routes.join(","),
        tenants.join(","),
        services.join(",")
    )
}

fn server(n: usize) -> Item {
    let server = Server {
        service: format!("service{}", n % 130),
        address: std::net::SocketAddrV4::new([10, (n >> 16) as u8, (n >> 8) as u8, n as u8].into(), 8080),
        zone: "zone-of-some-name".into(),
        revision: "v1".into(),
        capacity: 3,
        state: ServerState::Ready,
        warmup_ms: 0,
    };
    server.to_item(&format!("i-{n:010x}"), 1)
}

fn copy(items: &[Item]) -> ItemSet {
    let mut item_set = ItemSet::default();
    item_set.merge_all(items.iter().cloned());
    item_set
}

fn whole(name: &str, items: &[Item]) {
    let item_set = copy(items);
    let (ms, _) = took(|| item_set.digest());
    let (written, all) = took(|| codec::encode(&PeerMessage::Update(items.to_vec())));
    println!(
        "{name}: {} items; all of them {} bytes, written in {written:.2} ms; their digest in {ms:.2} ms",
        items.len(),
        all.len()
    );
}

/// What a proxy and a count say for one unit of a tenant.
fn unit() -> usize {
    let tenant = "tenant12345".to_owned();
    let ask = LeaseRequest {
        tenant: tenant.clone(),
        wanted: 1.0,
        returned: 0.0,
        held_share: 0.01,
        share_spent: 3.0,
        share_spent_lately: 0.0,
        share_left: 0.0,
        fencing_token: 7,
    };
    let grant = LeaseGrant::Units { units: 1.0, duration: 400_000, fencing_token: 7, share: 0.01 };
    codec::encode(&PeerMessage::LeaseRequests(vec![ask])).len()
        + codec::encode(&PeerMessage::LeaseGrants(vec![TenantGrant { tenant, grant }])).len()
}

/// A tenant's count from which so many proxies draw a unit each.
fn count(proxies: usize) -> QuotaAllocator {
    let mut allocator = QuotaAllocator::new(0, Quota { rate: 1e6, burst: 1e6 });
    for n in 0..proxies {
        allocator.draw(n as u64, &format!("proxy{n}"), Fleet::heard(proxies), &ONE);
    }
    allocator
}

fn main() {
    let mut options = Options::new();
    for name in ["routes", "tenants", "services", "servers"] {
        options.optopt("", name, "how many", "N");
    }
    let Ok(found) = options.parse(std::env::args().skip(1)) else {
        eprintln!("{}", options.usage("size: pieces of a process fed alone"));
        std::process::exit(2);
    };
    let many = |name: &str, or: usize| found.opt_str(name).and_then(|n| n.parse().ok()).unwrap_or(or);
    let (routes, tenants) = (many("routes", 3_900), many("tenants", 38_000));
    let (services, servers) = (many("services", 130).max(1), many("servers", 6_200));
    println!("{routes} routes, {tenants} tenants, {services} services, {servers} servers");

    println!("a count from which 84 proxies draw: {:.1} KB", 1e3 * holds(|| count(84)));
    for proxies in [6, 84, 590] {
        let mut allocator = count(proxies);
        let (ms, _) = took(|| {
            (0..1_000).map(|n| allocator.draw(1_000 + n, "proxy1", Fleet::heard(proxies), &ONE)).count()
        });
        println!("a unit from a count of {proxies} proxies: {ms:.2} us");
    }

    let text = configuration(routes, tenants, services, 1);
    let (read, items) = took(|| operator_call::parse_update(text.as_bytes()).unwrap_or_default());
    println!("the first call: {} bytes, read in {read:.1} ms", text.len());
    let (ms, _) = took(|| accept_update(&ItemSet::default(), &items).is_ok());
    println!("judged whole in {ms:.1} ms");

    let item_set = copy(&items);
    let (ms, table) = took(|| RoutingTable::from_items(&item_set));
    println!(
        "items in memory: {:.1} MB; the table in force: {:.1} MB, made in {ms:.1} ms",
        holds(|| copy(&items)),
        holds(|| RoutingTable::from_items(&item_set))
    );

    let change = configuration(1, 0, services, 2);
    let one = operator_call::parse_update(change.as_bytes()).unwrap_or_default();
    let standing = IndexedItems::new(item_set.clone());
    let (ms, _) = took(|| standing.accept_update(&one).is_ok());
    let bytes = codec::encode(&PeerMessage::Update(one.iter().take(1).cloned().collect())).len();
    println!("a change of one route: judged in {:.1} us, {bytes} bytes of news", 1e3 * ms);
    println!("the items with what ties them together: {:.1} MB", holds(|| IndexedItems::new(copy(&items))));
    let (ms, _) = took(|| item_set.clone());
    println!("a copy of the items: {ms:.1} ms");
    let (ms, read) = took(|| operator_call::render_configuration(&item_set));
    println!("the answer to a read: {} bytes, written in {ms:.1} ms", read.len());
    let (ms, _) = took(|| table.tenant_by_key("00000000000000000001").is_some());
    println!("a tenant by its key: {:.2} us", 1e3 * ms);

    println!("a unit of a tenant: {} bytes, both ways", unit());
    whole("configuration", &items);
    let server_items: Vec<Item> = (0..servers).map(server).collect();
    println!("servers in memory: {:.2} MB", holds(|| copy(&server_items)));
    whole("servers", &server_items);
}
