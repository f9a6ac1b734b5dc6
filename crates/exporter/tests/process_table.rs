//! Tests which processes are queried, how often, and when they are removed.

use std::net::Ipv4Addr;

use googletest::prelude::*;
use pinerelay_exporter::alerts::Alerts;
use pinerelay_exporter::exposition::{self, ExporterMetrics};
use pinerelay_exporter::process_table::{ProcessTable, POLL_INTERVAL};
use pinerelay_peer_link::message::{Hello, Metric, ProcessList, Role};
use pinerelay_peer_link::process_address::ProcessAddress;
use pinerelay_peer_link::query::ProcessReport;

const CORE: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);
const EDGE: Ipv4Addr = Ipv4Addr::new(127, 0, 2, 1);

fn hello(role: Role, ip: Ipv4Addr, run_id: u64) -> Hello {
    let node = if ip == CORE { "core-1" } else { "edge-1" };
    Hello { node: node.into(), ip: ip.to_string(), role, process_id: run_id }
}

fn registry(proxies: bool, missing: bool) -> ProcessReport {
    let mut linked = vec![hello(Role::Registry, CORE, 1)];
    linked.extend(proxies.then(|| hello(Role::Proxy, EDGE, 1)));
    let missing = if missing { vec!["edge-1".to_string()] } else { Vec::new() };
    let expected_processes = ProcessList { linked, missing, voters: vec![CORE.to_string()] };
    ProcessReport {
        hello: hello(Role::Registry, CORE, 1),
        metrics: Vec::new(),
        process_list: Some(expected_processes),
        items: Vec::new(),
        bytes: 0,
    }
}

fn proxy(run_id: u64) -> ProcessReport {
    let reported_metrics = [
        ("proxy_info{zone=\"a\"}", 1.0),
        ("proxy_answers_total{status=\"200\"}", 5.0),
        ("proxy_answers_total{key=\"secret\"}", 5.0),
        ("proxy_mood", 1.0),
        ("proxy_ready", f64::NAN),
    ];
    let reported_metrics = reported_metrics.map(|(name, value)| Metric::new(name, value)).to_vec();
    ProcessReport {
        hello: hello(Role::Proxy, EDGE, run_id),
        metrics: reported_metrics,
        process_list: None,
        items: Vec::new(),
        bytes: 0,
    }
}

fn names(table: &ProcessTable) -> Vec<(Role, bool)> {
    table.named().map(|(role, _, process)| (role, process.is_up)).collect()
}

#[gtest]
fn processes_are_discovered_queried_once_per_interval_and_removed_when_they_end() {
    let mut table = ProcessTable::new([CORE]);
    expect_that!(table.take_due(0), eq(&vec![ProcessAddress::new(Role::Registry, CORE)]));
    table.answered(0, ProcessAddress::new(Role::Registry, CORE), registry(true, false));
    expect_that!(
        table.take_due(1),
        eq(&vec![ProcessAddress::new(Role::Proxy, EDGE), ProcessAddress::new(Role::ConfigStore, CORE)])
    );
    table.answered(1, ProcessAddress::new(Role::Proxy, EDGE), proxy(1));
    table.unanswered(ProcessAddress::new(Role::ConfigStore, CORE));
    table.forget_ended(1);
    let store_down = vec![(Role::Proxy, true), (Role::Registry, true), (Role::ConfigStore, false)];
    expect_that!(names(&table), eq(&store_down));
    expect_that!(table.take_due(POLL_INTERVAL - 1), is_empty());
    expect_that!(table.take_due(POLL_INTERVAL + 1), len(eq(3)));
    // The proxy disappeared without a planned shutdown: it is down while a registry reports it as missing.
    table.answered(POLL_INTERVAL, ProcessAddress::new(Role::Registry, CORE), registry(false, true));
    table.unanswered(ProcessAddress::new(Role::Proxy, EDGE));
    table.forget_ended(POLL_INTERVAL);
    expect_that!(names(&table)[0], eq((Role::Proxy, false)));
    // The registry does not answer either: without its list, no process is removed.
    table.unanswered(ProcessAddress::new(Role::Registry, CORE));
    table.forget_ended(POLL_INTERVAL);
    expect_that!(names(&table), len(eq(3)));
    table.answered(2 * POLL_INTERVAL, ProcessAddress::new(Role::Registry, CORE), registry(false, false));
    table.forget_ended(100 * POLL_INTERVAL);
    // The store on a core machine is still expected, however long it does not answer.
    expect_that!(names(&table), eq(&vec![(Role::Registry, true), (Role::ConfigStore, false)]));
}

#[gtest]
fn starts_are_counted_and_only_known_metrics_with_bounded_labels_are_served() {
    let mut table = ProcessTable::new([CORE]);
    table.answered(0, ProcessAddress::new(Role::Registry, CORE), registry(true, false));
    for run_id in [1, 1, 2, 3] {
        table.answered(0, ProcessAddress::new(Role::Proxy, EDGE), proxy(run_id));
    }
    let text = exposition::write(&table, &Alerts::new(Vec::new()), ExporterMetrics::default())
        .expect("metrics text");
    for line in [
        "# TYPE pinerelay_up gauge",
        "pinerelay_up{role=\"proxy\",node=\"edge-1\",zone=\"a\"} 1.0",
        "pinerelay_starts_total{role=\"proxy\",node=\"edge-1\",zone=\"a\"} 2.0",
        "# TYPE pinerelay_proxy_answers_total counter",
        "pinerelay_proxy_answers_total{role=\"proxy\",node=\"edge-1\",zone=\"a\",status=\"200\"} 5.0",
        "pinerelay_exporter_unknown_metrics_total 12.0",
    ] {
        expect_that!(text.lines().any(|l| l == line), eq(true), "{line}");
    }
    expect_that!(text, not(contains_substring("secret")));
    expect_that!(text, not(contains_substring("127.0")));
}
