//! Who is asked, how often, and who is forgotten.

use std::net::Ipv4Addr;

use googletest::prelude::*;
use pinerelay_keeper::alerts::Alerts;
use pinerelay_keeper::page::{self, Own};
use pinerelay_keeper::watch::{Watch, EACH};
use pinerelay_propolis::speech::{Hello, Role, Rolled};
use pinerelay_propolis::visit::Told;

const CORE: Ipv4Addr = Ipv4Addr::new(127, 0, 1, 1);
const EDGE: Ipv4Addr = Ipv4Addr::new(127, 0, 2, 1);

fn hello(role: Role, ip: Ipv4Addr, life: u64) -> Hello {
    let node = if ip == CORE { "core-1" } else { "edge-1" };
    Hello { node: node.into(), ip: ip.to_string(), role, life }
}

fn scout(proxies: bool, missing: bool) -> Told {
    let mut linked = vec![hello(Role::Scout, CORE, 1)];
    linked.extend(proxies.then(|| hello(Role::Forager, EDGE, 1)));
    let missing = if missing { vec!["edge-1".to_string()] } else { Vec::new() };
    let rolled = Rolled { linked, missing, core: vec![CORE.to_string()] };
    Told {
        hello: hello(Role::Scout, CORE, 1),
        figures: Vec::new(),
        rolled: Some(rolled),
        items: Vec::new(),
        bytes: 0,
    }
}

fn proxy(life: u64) -> Told {
    let figures = [
        ("forager_info{zone=\"a\"}", 1.0),
        ("forager_answers_total{status=\"200\"}", 5.0),
        ("forager_answers_total{key=\"secret\"}", 5.0),
        ("forager_mood", 1.0),
        ("forager_ready", f64::NAN),
    ];
    let figures = figures.map(|(name, value)| (name.to_string(), value)).to_vec();
    Told { hello: hello(Role::Forager, EDGE, life), figures, rolled: None, items: Vec::new(), bytes: 0 }
}

fn names(watch: &Watch) -> Vec<(Role, bool)> {
    watch.named().map(|(role, _, process)| (role, process.up)).collect()
}

#[gtest]
fn all_are_learned_from_one_registry_asked_once_in_two_seconds_and_forgotten_when_they_leave() {
    let mut watch = Watch::new([CORE]);
    expect_that!(watch.due(0), eq(&vec![(Role::Scout, CORE)]));
    watch.told(0, (Role::Scout, CORE), scout(true, false));
    expect_that!(watch.due(1), eq(&vec![(Role::Forager, EDGE), (Role::Comb, CORE)]));
    watch.told(1, (Role::Forager, EDGE), proxy(1));
    watch.silent((Role::Comb, CORE));
    watch.settle(1);
    let comb_down = vec![(Role::Forager, true), (Role::Scout, true), (Role::Comb, false)];
    expect_that!(names(&watch), eq(&comb_down));
    expect_that!(watch.due(EACH - 1), is_empty());
    expect_that!(watch.due(EACH + 1), len(eq(3)));
    // The proxy is gone without a word: it is down as long as a registry misses it.
    watch.told(EACH, (Role::Scout, CORE), scout(false, true));
    watch.silent((Role::Forager, EDGE));
    watch.settle(EACH);
    expect_that!(names(&watch)[0], eq((Role::Forager, false)));
    // The registry itself does not answer: nothing is known to have gone.
    watch.silent((Role::Scout, CORE));
    watch.settle(EACH);
    expect_that!(names(&watch), len(eq(3)));
    watch.told(2 * EACH, (Role::Scout, CORE), scout(false, false));
    watch.settle(100 * EACH);
    // The core's store is still wanted, however long it is silent.
    expect_that!(names(&watch), eq(&vec![(Role::Scout, true), (Role::Comb, false)]));
}

#[gtest]
fn starts_are_counted_and_only_known_figures_with_bounded_labels_are_served() {
    let mut watch = Watch::new([CORE]);
    watch.told(0, (Role::Scout, CORE), scout(true, false));
    for life in [1, 1, 2, 3] {
        watch.told(0, (Role::Forager, EDGE), proxy(life));
    }
    let text = page::write(&watch, &Alerts::new(Vec::new()), Own::default()).expect("a page");
    for line in [
        "# TYPE pinerelay_up gauge",
        "pinerelay_up{role=\"forager\",node=\"edge-1\",zone=\"a\"} 1.0",
        "pinerelay_starts_total{role=\"forager\",node=\"edge-1\",zone=\"a\"} 2.0",
        "# TYPE pinerelay_forager_answers_total counter",
        "pinerelay_forager_answers_total{role=\"forager\",node=\"edge-1\",zone=\"a\",status=\"200\"} 5.0",
        "pinerelay_keeper_odd_figures_total 12.0",
    ] {
        expect_that!(text.lines().any(|l| l == line), eq(true), "{line}");
    }
    expect_that!(text, not(contains_substring("secret")));
    expect_that!(text, not(contains_substring("127.0")));
}
