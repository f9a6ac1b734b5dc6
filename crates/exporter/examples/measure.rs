//! Measures the cost of a scrape: one thread simulates the processes, another one runs the exporter. The arguments are numbers of
//! processes.
//!
//! `cargo run --release -p pinerelay-exporter --example measure -- 11 100`

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::mpsc::channel;
use std::time::Duration;

use pinerelay_exporter::exporter::Exporter;
use pinerelay_exporter::{metric_names, rules};
use pinerelay_peer_link::link::{LinkEvent, Links};
use pinerelay_peer_link::message::{Hello, Metric, PeerMessage, ProcessList, Role};
use tokio::runtime::{Builder, LocalOptions, LocalRuntime};

/// The first internal port of the first measurement.
const PORT: u16 = 47_560;
/// The number of measured polls, one every two seconds.
const POLLS: u32 = 5;

fn runtime() -> std::io::Result<LocalRuntime> {
    Builder::new_current_thread().enable_all().build_local(LocalOptions::default())
}

/// The CPU time of this thread in seconds.
fn cpu_seconds() -> f64 {
    let schedstat = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    schedstat.split(' ').next().and_then(|ns| ns.parse::<f64>().ok()).unwrap_or(f64::NAN) / 1e9
}

/// Three core machines with a registry and a store each; all further processes are proxies.
fn fleet(processes: usize) -> Vec<Hello> {
    let hello = |number: usize| {
        let (role, machine) = match number {
            0..3 => (Role::Registry, number),
            3..6 => (Role::ConfigStore, number - 3),
            _ => (Role::Proxy, number),
        };
        let ip = Ipv4Addr::new(127, 77, 0, 1 + machine as u8).to_string();
        Hello { node: format!("node-{machine}"), ip, role, process_id: 7 }
    };
    (0..processes).map(hello).collect()
}

/// The metrics with which a simulated process of a role answers.
fn metrics(role: Role) -> Vec<Metric> {
    let prefix = format!("{}_", role.name());
    let own = metric_names::KNOWN_METRICS.iter().filter(|known| known.name.starts_with(&prefix));
    let mut all: Vec<Metric> = own.map(|known| Metric::new(known.name, 1234.5)).collect();
    all.push(Metric::new(format!("{prefix}info{{zone=\"a\"}}"), 1.0));
    let status = |s: u32| Metric::new(format!("proxy_answers_total{{status=\"{s}\"}}"), 9.0);
    all.extend((role == Role::Proxy).then(|| [200, 400, 404, 429, 503].map(status)).into_iter().flatten());
    all
}

/// Simulates the processes of `fleet`; reports to `ready` once all of them listen.
async fn simulate(fleet: Vec<Hello>, port: u16, ready: std::sync::mpsc::Sender<()>) -> std::io::Result<()> {
    let core = fleet[..3].iter().map(|hello| hello.ip.clone()).collect();
    let process_list = ProcessList { linked: fleet.clone(), missing: Vec::new(), voters: core };
    for own_hello in fleet {
        let (links, mut events) = Links::new();
        let port_offset = match own_hello.role {
            Role::Registry | Role::Observer => 0,
            Role::ConfigStore => 1,
            Role::Proxy => 2,
        };
        let ip = own_hello.ip.parse().unwrap_or(Ipv4Addr::LOCALHOST);
        links.listen(SocketAddrV4::new(ip, port + port_offset))?;
        let (process_list, metrics_answer) =
            (PeerMessage::ProcessList(process_list.clone()), PeerMessage::Metrics(metrics(own_hello.role)));
        tokio::task::spawn_local(async move {
            while let Some(event) = events.recv().await {
                match event {
                    LinkEvent::Connected(peer, _) => links.send(peer, &PeerMessage::Hello(own_hello.clone())),
                    LinkEvent::Received(peer, PeerMessage::ProcessListRequest) => {
                        links.send(peer, &process_list)
                    }
                    LinkEvent::Received(peer, PeerMessage::MetricsRequest) => {
                        links.send(peer, &metrics_answer)
                    }
                    _ => {}
                }
            }
        });
    }
    let _ = ready.send(());
    std::future::pending().await
}

fn main() -> Result<(), Box<dyn Error>> {
    let rules =
        rules::read_file(Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/alerts.toml")))?;
    println!("processes | CPU ms / poll | query bytes | text bytes | poll ms | CPU share");
    for (run, processes) in std::env::args().skip(1).enumerate() {
        let processes: usize = processes.parse()?;
        let (ready, is_ready) = channel();
        let port = PORT + 10 * run as u16;
        std::thread::spawn(move || runtime()?.block_on(simulate(fleet(processes), port, ready)));
        is_ready.recv()?;
        let exporter = Exporter::new(vec![Ipv4Addr::new(127, 77, 0, 1)], port, rules.clone());
        let number = |text: &str, name: &str| -> f64 {
            let line = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
            line.and_then(|value| value.parse().ok()).unwrap_or(f64::NAN)
        };
        let (mut poll_seconds, mut text) = (0.0, String::new());
        runtime()?.block_on(async {
            // The first poll discovers the processes.
            text = exporter.scrape().await?;
            let first = number(&text, "pinerelay_exporter_query_bytes_total");
            // The kernel updates a thread's CPU time when the thread sleeps, so it is current after the pause.
            tokio::time::sleep(Duration::from_millis(2_010)).await;
            let start = cpu_seconds();
            for _ in 0..POLLS {
                text = exporter.scrape().await?;
                poll_seconds += number(&text, "pinerelay_exporter_poll_duration_seconds");
                tokio::time::sleep(Duration::from_millis(2_010)).await;
            }
            let cpu_time = cpu_seconds() - start;
            let query_bytes = number(&text, "pinerelay_exporter_query_bytes_total") - first;
            let up = text.lines().filter(|l| l.starts_with("pinerelay_up{") && l.ends_with(" 1.0")).count();
            let polls = f64::from(POLLS);
            println!(
                "{up:9} | {:13.2} | {:11.0} | {:10} | {:7.1} | {:.3}%",
                cpu_time / polls * 1e3,
                query_bytes / polls,
                text.len(),
                poll_seconds / polls * 1e3,
                cpu_time / polls / 2.0 * 100.0
            );
            Ok::<(), Box<dyn Error>>(())
        })?;
    }
    Ok(())
}
