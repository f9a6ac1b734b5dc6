//! Who is asked, how often, and who is forgotten.

use std::net::Ipv4Addr;

use googletest::prelude::*;
use pinerelay_keeper::alerts::Alerts;
use pinerelay_keeper::page::{self, Own};
use pinerelay_keeper::watch::{Watch, EACH};
use pinerelay_peer_link::message::{Hello, Metric, ProcessList, Role};
use pinerelay_peer_link::query::ProcessReport;

const CORE: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);
const EDGE: Ipv4Addr = Ipv4Addr::new(127, 0, 2, 1);

fn hello(role: Role, ip: Ipv4Addr, life: u64) -> Hello {
    let node = if ip == CORE { "core-1" } else { "edge-1" };
    Hello { node: node.into(), ip: ip.to_string(), role, process_id: life }
}

fn scout(proxies: bool, missing: bool) -> ProcessReport {
    let mut linked = vec![hello(Role::Registry, CORE, 1)];
    linked.extend(proxies.then(|| hello(Role::Proxy, EDGE, 1)));
    let missing = if missing { vec!["edge-1".to_string()] } else { Vec::new() };
    let rolled = ProcessList { linked, missing, voters: vec![CORE.to_string()] };
    ProcessReport {
        hello: hello(Role::Registry, CORE, 1),
        metrics: Vec::new(),
        process_list: Some(rolled),
        items: Vec::new(),
        bytes: 0,
    }
}

fn proxy(life: u64) -> ProcessReport {
    let figures = [
        ("proxy_info{zone=\"a\"}", 1.0),
        ("proxy_answers_total{status=\"200\"}", 5.0),
        ("proxy_answers_total{key=\"secret\"}", 5.0),
        ("proxy_mood", 1.0),
        ("proxy_ready", f64::NAN),
    ];
    let figures = figures.map(|(name, value)| Metric::new(name, value)).to_vec();
    ProcessReport {
        hello: hello(Role::Proxy, EDGE, life),
        metrics: figures,
        process_list: None,
        items: Vec::new(),
        bytes: 0,
    }
}

fn names(watch: &Watch) -> Vec<(Role, bool)> {
    watch.named().map(|(role, _, process)| (role, process.up)).collect()
}

#[gtest]
fn all_are_learned_from_one_registry_asked_once_in_two_seconds_and_forgotten_when_they_leave() {
    let mut watch = Watch::new([CORE]);
    expect_that!(watch.due(0), eq(&vec![(Role::Registry, CORE)]));
    watch.told(0, (Role::Registry, CORE), scout(true, false));
    expect_that!(watch.due(1), eq(&vec![(Role::Proxy, EDGE), (Role::ConfigStore, CORE)]));
    watch.told(1, (Role::Proxy, EDGE), proxy(1));
    watch.silent((Role::ConfigStore, CORE));
    watch.settle(1);
    let store_down = vec![(Role::Proxy, true), (Role::Registry, true), (Role::ConfigStore, false)];
    expect_that!(names(&watch), eq(&store_down));
    expect_that!(watch.due(EACH - 1), is_empty());
    expect_that!(watch.due(EACH + 1), len(eq(3)));
    // The proxy is gone without a word: it is down as long as a registry misses it.
    watch.told(EACH, (Role::Registry, CORE), scout(false, true));
    watch.silent((Role::Proxy, EDGE));
    watch.settle(EACH);
    expect_that!(names(&watch)[0], eq((Role::Proxy, false)));
    // The registry itself does not answer: nothing is known to have gone.
    watch.silent((Role::Registry, CORE));
    watch.settle(EACH);
    expect_that!(names(&watch), len(eq(3)));
    watch.told(2 * EACH, (Role::Registry, CORE), scout(false, false));
    watch.settle(100 * EACH);
    // The core's store is still wanted, however long it is silent.
    expect_that!(names(&watch), eq(&vec![(Role::Registry, true), (Role::ConfigStore, false)]));
}

#[gtest]
fn starts_are_counted_and_only_known_figures_with_bounded_labels_are_served() {
    let mut watch = Watch::new([CORE]);
    watch.told(0, (Role::Registry, CORE), scout(true, false));
    for life in [1, 1, 2, 3] {
        watch.told(0, (Role::Proxy, EDGE), proxy(life));
    }
    let text = page::write(&watch, &Alerts::new(Vec::new()), Own::default()).expect("a page");
    for line in [
        "# TYPE pinerelay_up gauge",
        "pinerelay_up{role=\"proxy\",node=\"edge-1\",zone=\"a\"} 1.0",
        "pinerelay_starts_total{role=\"proxy\",node=\"edge-1\",zone=\"a\"} 2.0",
        "# TYPE pinerelay_proxy_answers_total counter",
        "pinerelay_proxy_answers_total{role=\"proxy\",node=\"edge-1\",zone=\"a\",status=\"200\"} 5.0",
        "pinerelay_keeper_odd_figures_total 12.0",
    ] {
        expect_that!(text.lines().any(|l| l == line), eq(true), "{line}");
    }
    expect_that!(text, not(contains_substring("secret")));
    expect_that!(text, not(contains_substring("127.0")));
}
