//! A process's pieces fed alone, at a size that is given: bytes on the wire, processor time and memory of each.

use std::time::Instant;

use getopts::Options;
use pinerelay_cells::routes::Table;
use pinerelay_cells::server::{Server, State};
use pinerelay_cells::{call, judge, Cells, Item};
use pinerelay_nectar::purse::{Ask, Grant};
use pinerelay_nectar::terms::Quota;
use pinerelay_nectar::well::{Call, Well};
use pinerelay_propolis::speech::{self, Speech};

/// A call for a unit.
const ONE: Call = Call { want: 1.0, back: 0.0, holds: 0.0, spent: 0.0, lately: 0.0, left: 0.0 };

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
        state: State::Ready,
        warmup_ms: 0,
    };
    server.item(&format!("i-{n:010x}"), 1)
}

fn copy(items: &[Item]) -> Cells {
    let mut cells = Cells::default();
    cells.merge_all(items.iter().cloned());
    cells
}

fn whole(name: &str, items: &[Item]) {
    let cells = copy(items);
    let (ms, _) = took(|| cells.digest());
    let (written, all) = took(|| speech::write(&Speech::News(items.to_vec())));
    println!(
        "{name}: {} items; all of them {} bytes, written in {written:.2} ms; their digest in {ms:.2} ms",
        items.len(),
        all.len()
    );
}

/// What a proxy and a count say for one unit of a tenant.
fn unit() -> usize {
    let tenant = "tenant12345".to_owned();
    let ask = Ask {
        tenant: tenant.clone(),
        want: 1.0,
        back: 0.0,
        holds: 0.01,
        spent: 3.0,
        lately: 0.0,
        left: 0.0,
        fence: 7,
    };
    let grant = Grant::Block { units: 1.0, life: 400_000, fence: 7, share: 0.01 };
    speech::write(&Speech::Draw(vec![ask])).len() + speech::write(&Speech::Drawn(vec![(tenant, grant)])).len()
}

/// A tenant's count from which so many proxies draw a unit each.
fn count(proxies: usize) -> Well {
    let mut well = Well::new(0, Quota { rate: 1e6, burst: 1e6 });
    for n in 0..proxies {
        well.draw(n as u64, &format!("proxy{n}"), false, &ONE);
    }
    well
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
        let mut well = count(proxies);
        let (ms, _) = took(|| (0..1_000).map(|n| well.draw(1_000 + n, "proxy1", false, &ONE)).count());
        println!("a unit from a count of {proxies} proxies: {ms:.2} us");
    }

    let text = configuration(routes, tenants, services, 1);
    let (read, items) = took(|| call::read(text.as_bytes()).unwrap_or_default());
    println!("the first call: {} bytes, read in {read:.1} ms", text.len());
    let (ms, _) = took(|| judge::taken(&Cells::default(), &items).is_ok());
    println!("judged whole in {ms:.1} ms");

    let cells = copy(&items);
    let (ms, table) = took(|| Table::of(&cells));
    println!(
        "items in memory: {:.1} MB; the table in force: {:.1} MB, made in {ms:.1} ms",
        holds(|| copy(&items)),
        holds(|| Table::of(&cells))
    );

    let change = configuration(1, 0, services, 2);
    let one = call::read(change.as_bytes()).unwrap_or_default();
    let standing = judge::Standing::new(cells.clone());
    let (ms, _) = took(|| standing.taken(&one).is_ok());
    let bytes = speech::write(&Speech::News(one.iter().take(1).cloned().collect())).len();
    println!("a change of one route: judged in {:.1} us, {bytes} bytes of news", 1e3 * ms);
    println!(
        "the items with what ties them together: {:.1} MB",
        holds(|| judge::Standing::new(copy(&items)))
    );
    let (ms, _) = took(|| cells.clone());
    println!("a copy of the items: {ms:.1} ms");
    let (ms, read) = took(|| call::write(&cells));
    println!("the answer to a read: {} bytes, written in {ms:.1} ms", read.len());
    let (ms, _) = took(|| table.tenant("00000000000000000001").is_some());
    println!("a tenant by its key: {:.2} us", 1e3 * ms);

    println!("a unit of a tenant: {} bytes, both ways", unit());
    whole("configuration", &items);
    let hive: Vec<Item> = (0..servers).map(server).collect();
    println!("servers in memory: {:.2} MB", holds(|| copy(&hive)));
    whole("servers", &hive);
}
