//! What one node costs: CPU time and allocations a request, beside a bare relay in the same run, with the same
//! clients, boxes and bodies; at saturation, and at a rate that both bear.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use pinerelay_evidence::Recorder;
use pinerelay_standins::counter::{self, Counter};
use pinerelay_standins::discovery::{Discovery, Entry};
use pinerelay_standins::http::Line;
use pinerelay_standins::lots::{mix, Lots};
use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::{Child, Command};
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::nodes::used;
use crate::scenario::Scenario;
use crate::site::{Site, Tune};

/// How long a relay warms up, and is measured.
const WARM: Duration = Duration::from_millis(1_000);
const MEASURED: Duration = Duration::from_millis(3_000);
const START: Duration = Duration::from_secs(10);
/// Clients that ask one behind the other, each on a connection of its own.
const CLIENTS: usize = 48;
/// Requests a second of the paced rows.
const PACE: f64 = 500.0;
/// The body of each answer, in bytes.
const BODY: usize = 250;

/// One row: what is measured.
#[derive(Debug, Clone, Copy)]
struct Row {
    node: bool,
    boxes: usize,
    billers: u64,
    /// Requests a second; none at saturation.
    pace: Option<f64>,
    /// Descriptors of the node.
    sockets: usize,
}

/// How requests ended.
#[derive(Debug, Default)]
struct Ends {
    all: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
}

/// What a row comes to.
#[derive(Debug, Clone, Copy)]
struct Cost {
    rate: f64,
    cpu_us: f64,
    /// The share of one core that it used.
    busy: f64,
    allocations: Option<f64>,
    /// The shares of answers 429 and 503, and of all others that are not 200.
    refused: f64,
    failed: f64,
    calls: f64,
    rss_kib: u64,
}

/// Whether this program counts allocations: with the feature `count-allocations` alone.
pub fn counts() -> bool {
    cfg!(feature = "count-allocations")
}

/// Measures all rows, each node's beside a bare relay's, and prints them.
pub async fn run(program: &Path, dir: PathBuf, sockets: usize) -> io::Result<()> {
    tokio::fs::create_dir_all(&dir).await?;
    println!(
        "{CLIENTS} clients on kept connections, GET, answers of {BODY} bytes, {sockets} descriptors; {} s a row, after \
         {} s",
        MEASURED.as_secs(),
        WARM.as_secs(),
    );
    println!(
        "boxes billers   load      relay us   node us  ratio   busy   calls  refused  failed  memory   allocations"
    );
    for (boxes, billers, pace) in [
        (4, 1, None),
        (4, 5_000, None),
        (100, 1, None),
        (100, 5_000, None),
        (4, 400, Some(PACE)),
        (100, 400, Some(PACE)),
    ] {
        let row = |node| Row { node, boxes, billers, pace, sockets };
        let bare = measure(program, &dir, row(false)).await?;
        let node = measure(program, &dir, row(true)).await?;
        let load = pace.map_or("full".to_string(), |p| format!("{p:.0}/s"));
        let counted = match (node.allocations, bare.allocations) {
            (Some(node), Some(bare)) => format!("{node:.1} beside {bare:.1}"),
            _ => "not counted".into(),
        };
        println!(
            "{boxes:>5} {billers:>7} {load:>6} {:>13.1} {:>9.1}  {:.2}  {:>4.0}%  {:>6.3}  {:>6.3}%  {:>5.3}%  {:>4.1} MB  {counted}  \
             ({:.0}/s beside {:.0}/s)",
            bare.cpu_us,
            node.cpu_us,
            node.cpu_us / bare.cpu_us.max(1e-9),
            node.busy * 100.0,
            node.calls,
            node.refused * 100.0,
            node.failed * 100.0,
            node.rss_kib as f64 / 1024.0,
            node.rate,
            bare.rate,
        );
    }
    // The folder is the bench's own.
    let _ = tokio::fs::remove_dir_all(&dir).await;
    if !counts() {
        println!("allocations are counted by a kit built with --features count-allocations");
    }
    Ok(())
}

/// A process that relays, and how often it has allocated.
struct Relayer {
    child: Child,
    address: SocketAddr,
    allocations: Arc<AtomicU64>,
}

async fn start(program: &Path, words: &[String], config: Option<&Path>) -> io::Result<Relayer> {
    let mut command = Command::new(program);
    command.args(words).env_remove("PINERELAY_OPERATOR").env("PINERELAY_COUNTS", "1");
    if let Some(config) = config {
        command.env("PROXY_CONFIG", config);
    }
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped()).kill_on_drop(true);
    let mut child = command.spawn()?;
    let (Some(stderr), Some(stdout)) = (child.stderr.take(), child.stdout.take()) else {
        return Err(io::Error::other("no output"));
    };
    let mut lines = BufReader::new(stderr).lines();
    let said = async {
        while let Some(line) = lines.next_line().await? {
            if let Some(address) = line.strip_prefix("pinerelay: listening on ") {
                return address.trim().parse().map_err(io::Error::other);
            }
        }
        Err(io::Error::other("it has ended"))
    };
    let address = timeout(START, said).await.map_err(io::Error::other)??;
    tokio::spawn(async move { while let Ok(Some(_)) = lines.next_line().await {} });
    let allocations = Arc::new(AtomicU64::new(0));
    let counted = allocations.clone();
    tokio::spawn(async move {
        let mut lines = BufReader::new(stdout).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            if let Some(count) = line.strip_prefix("allocations ").and_then(|n| n.parse().ok()) {
                counted.store(count, Ordering::Relaxed);
            }
        }
    });
    Ok(Relayer { child, address, allocations })
}

async fn measure(program: &Path, dir: &Path, row: Row) -> io::Result<Cost> {
    let mut background = JoinSet::new();
    let mut addresses = Vec::new();
    for _ in 0..row.boxes {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        addresses.push(listener.local_addr()?);
        background.spawn(serve(listener));
    }
    let recorder = Recorder::new();
    let make = counter::Make { parts: 1, calls_a_second: 1e6, delay: Duration::ZERO, seed: 1 };
    let counter = Counter::start(make, recorder.clone(), 1).await?;
    let entries: Vec<Entry> = addresses.iter().enumerate().map(|(n, a)| entry(n as u32, *a)).collect();
    let discovery = Discovery::start(recorder.clone(), 1, &entries).await?;
    let mut relayer = if row.node {
        let config = dir.join("bench.json");
        tokio::fs::write(&config, configuration(&discovery, &counter, row.sockets).to_string()).await?;
        start(program, &["node".into()], Some(&config)).await?
    } else {
        let words: Vec<String> =
            std::iter::once("relay".to_string()).chain(addresses.iter().map(ToString::to_string)).collect();
        start(program, &words, None).await?
    };
    let id = relayer.child.id().unwrap_or(0);
    let ends = Arc::new(Ends::default());
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = JoinSet::new();
    for client in 0..CLIENTS {
        let (address, ends, over) = (relayer.address, ends.clone(), over.clone());
        let pace = row.pace.map(|p| p / CLIENTS as f64);
        clients.spawn(async move { ask_on(address, client, row.billers, pace, &ends, &over).await });
    }
    sleep(WARM).await;
    let load = |n: &AtomicU64| n.load(Ordering::Relaxed);
    let sample = || (used(id), load(&ends.all), load(&ends.refused), load(&ends.failed));
    let allocated = || relayer.allocations.load(Ordering::Relaxed);
    // What was recorded while it warmed up is dropped.
    recorder.take();
    let (first, began, alloc_before) = (sample(), Instant::now(), allocated());
    sleep(MEASURED).await;
    let (last, span, alloc_after) = (sample(), began.elapsed().as_secs_f64(), allocated());
    let calls =
        recorder.take().iter().filter(|r| matches!(r.seen, pinerelay_evidence::Seen::Called { .. })).count();
    over.store(true, Ordering::Relaxed);
    clients.shutdown().await;
    let _ = relayer.child.start_kill();
    let _ = timeout(START, relayer.child.wait()).await;
    background.shutdown().await;
    let (Some((cpu_before, _)), Some((cpu_after, rss_kib))) = (first.0, last.0) else {
        return Err(io::Error::other("the relayed process has ended"));
    };
    let requests = (last.1 - first.1).max(1) as f64;
    let cpu = (cpu_after - cpu_before) as f64;
    Ok(Cost {
        rate: requests / span,
        cpu_us: cpu / requests,
        busy: cpu / 1e6 / span,
        allocations: counts().then(|| (alloc_after - alloc_before) as f64 / requests),
        refused: (last.2 - first.2) as f64 / requests,
        failed: (last.3 - first.3) as f64 / requests,
        calls: calls as f64 / requests,
        rss_kib,
    })
}

fn entry(number: u32, address: SocketAddr) -> Entry {
    Entry {
        number,
        name: format!("s-{number:08x}"),
        addresses: vec![address],
        hall: "hall-a".into(),
        kind: "std-3core".into(),
        cell: 0,
        weight: 1.0,
        says: pinerelay_evidence::Listed::Up,
        since_ms: 0,
    }
}

/// A configuration with quotas so wide that no request is beyond one.
fn configuration(discovery: &Discovery, counter: &Counter, sockets: usize) -> serde_json::Value {
    let scenario = match Scenario::bundled("calm") {
        Some(Ok(scenario)) => scenario,
        // The bundled scenarios are checked by a test.
        _ => return json!(null),
    };
    let mut settings = Site::new(&scenario).settings(&scenario, 0, Tune::default());
    settings["n_instances"] = json!(1);
    settings["tariffs"][0]["quota_rate"] = json!(1e6);
    settings["tariffs"][0]["most_at_once"] = json!(1e6);
    let listen = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
    json!({
        "name": "n0", "listen": listen.to_string(), "discovery": discovery.address(0).to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "counter": counter.address(0).to_string(), "known": discovery.list(0), "settings": settings,
    })
}

/// A box that answers at once.
async fn serve(listener: TcpListener) {
    let mut connections = JoinSet::new();
    let recorder = Recorder::new();
    let body = "x".repeat(BODY);
    let answer: Arc<str> = format!("HTTP/1.1 200 OK\r\nContent-Length: {BODY}\r\n\r\n{body}").into();
    while let Ok((stream, _)) = listener.accept().await {
        let (answer, recorder) = (answer.clone(), recorder.clone());
        connections.spawn(async move {
            let mut line = Line::new(stream);
            while line.request(&recorder).await.is_ok() {
                if line.stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}

/// Asks one request behind the other until all is over.
async fn ask_on(
    address: SocketAddr,
    client: usize,
    billers: u64,
    pace: Option<f64>,
    ends: &Ends,
    over: &AtomicBool,
) {
    let recorder = Recorder::new();
    let mut lots = Lots::new(client as u64, 0xbe);
    let mut number = 0u64;
    let mut next = Instant::now();
    while !over.load(Ordering::Relaxed) {
        let Ok(stream) = TcpStream::connect(address).await else {
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let mut line = Line::new(stream);
        while !over.load(Ordering::Relaxed) {
            if let Some(pace) = pace {
                next += Duration::from_secs_f64(lots.span(1.0 / pace));
                sleep_until(next).await;
            }
            number += 1;
            let id = mix(&[client as u64, number]);
            let biller = mix(&[0xb1, (lots.share() * billers as f64) as u64]) % (1 << 33);
            let text = format!(
                "GET /bill-lookup?key={biller:016x} HTTP/1.1\r\nHost: service.internal\r\n\
                 X-Request-Id: {id:016x}\r\nX-Class: bill-lookup\r\nX-Tariff: basic\r\nX-Deadline-Ms: 4000\r\n\
                 X-Weight: units=1,spread=1,first=0\r\n\r\n"
            );
            if line.stream.write_all(text.as_bytes()).await.is_err() {
                break;
            }
            match line.answer(&recorder).await {
                Ok(answer) => {
                    ends.all.fetch_add(1, Ordering::Relaxed);
                    match answer.status() {
                        200 => {}
                        429 | 503 => drop(ends.refused.fetch_add(1, Ordering::Relaxed)),
                        _ => drop(ends.failed.fetch_add(1, Ordering::Relaxed)),
                    }
                    if answer.closes() {
                        break;
                    }
                }
                Err(_) => break,
            }
        }
    }
}

/// Prints how often this process has allocated, again and again, for a bench that asked for it.
#[cfg(feature = "count-allocations")]
pub fn print_counts(allocations: impl Fn() -> usize + Send + 'static) {
    if std::env::var_os("PINERELAY_COUNTS").is_none() {
        return;
    }
    std::thread::spawn(move || loop {
        println!("allocations {}", allocations());
        std::thread::sleep(Duration::from_millis(20));
    });
}
