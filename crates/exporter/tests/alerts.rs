//! Alerts on made-up figures: each rule that ships raises and clears, and the state machine holds under any figures.

use std::collections::BTreeMap;
use std::path::Path;

use googletest::prelude::*;
use pinerelay_exporter::alerts::{AlertChange, Alerts};
use pinerelay_exporter::observation::Observation;
use pinerelay_exporter::rules::{self, Rule};
use pinerelay_peer_link::message::Role;
use proptest::prelude::*;

const LOOK: u64 = 2_000_000;

fn shipped() -> Vec<Rule> {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/alerts.toml"));
    rules::read_file(path).expect("the rules that ship")
}

fn process(node: &str, figure: &'static str, value: f64) -> Observation {
    let role = if figure.starts_with("config_store") {
        Role::ConfigStore
    } else if figure.starts_with("registry") {
        Role::Registry
    } else {
        Role::Proxy
    };
    let zone = node.split('-').next().unwrap_or_default().to_string();
    Observation { role, node: node.into(), zone, process_id: 1, metrics: BTreeMap::from([(figure, value)]) }
}

/// What a figure's course raises and clears, look by look.
fn course(alerts: &mut Alerts, figure: &'static str, values: &[f64]) -> Vec<(usize, String, bool)> {
    let mut reported = Vec::new();
    for (look, value) in values.iter().enumerate() {
        let changes = alerts.observe(look as u64 * LOOK, &[process("a-1", figure, *value)]);
        reported.extend(changes.into_iter().map(|change| (look, change.rule, change.is_raised)));
    }
    reported
}

/// Values that stay for so many looks each.
fn steps(steps: &[(f64, usize)]) -> Vec<f64> {
    steps.iter().flat_map(|(value, looks)| std::iter::repeat_n(*value, *looks)).collect()
}

/// A counter that grows by so much at each look.
fn growth(steps: &[(f64, usize)]) -> Vec<f64> {
    let mut sum = 0.0;
    let all = steps.iter().flat_map(|(more, looks)| std::iter::repeat_n(*more, *looks));
    all.map(|more| {
        sum += more;
        sum
    })
    .collect()
}

#[gtest]
fn each_rule_that_ships_names_its_trouble_and_no_other() {
    // By rule: its figure, a course that raises it within so many seconds and then clears it, and one that must not.
    type Case = (&'static str, Vec<f64>, usize, Vec<f64>);
    let cases: BTreeMap<&str, Case> = BTreeMap::from([
        (
            "core_without_majority",
            ("registry_majority", steps(&[(1.0, 3), (0.0, 5), (1.0, 4)]), 0, steps(&[(1.0, 12)])),
        ),
        (
            "quorum_lost",
            (
                "config_store_spare_voters",
                steps(&[(1.0, 3), (-1.0, 5), (1.0, 4)]),
                4,
                steps(&[(1.0, 3), (-1.0, 2), (0.0, 5), (1.0, 4)]),
            ),
        ),
        (
            "no_spare_voter",
            (
                "config_store_spare_voters",
                steps(&[(1.0, 3), (0.0, 20), (2.0, 4)]),
                30,
                steps(&[(1.0, 3), (0.0, 12), (1.0, 4)]),
            ),
        ),
        (
            "store_incomplete",
            (
                "config_store_complete_reported",
                steps(&[(1.0, 3), (0.0, 8), (1.0, 4)]),
                4,
                steps(&[(0.0, 2), (1.0, 9)]),
            ),
        ),
        (
            "disk_slow",
            (
                "config_store_write_seconds_total",
                growth(&[(0.01, 6), (1.9, 6), (0.01, 14)]),
                10,
                growth(&[(0.1, 9), (1.9, 1), (0.1, 9)]),
            ),
        ),
        (
            "disk_stalled",
            (
                "config_store_oldest_open_write_seconds",
                steps(&[(0.0, 2), (1.5, 2), (0.0, 5)]),
                0,
                steps(&[(0.3, 4), (0.0, 5), (0.7, 1)]),
            ),
        ),
        (
            "disk_failing",
            ("config_store_writes_refused_total", growth(&[(0.0, 3), (3.0, 2), (0.0, 12)]), 0, vec![7.0; 12]),
        ),
        (
            "updates_late",
            (
                "proxy_update_age_seconds",
                steps(&[(0.4, 3), (4.0, 4), (0.3, 5)]),
                0,
                steps(&[(0.6, 3), (2.4, 6), (0.6, 4)]),
            ),
        ),
        (
            "registry_updates_late",
            (
                "registry_update_age_seconds",
                steps(&[(0.4, 3), (4.0, 4), (0.3, 5)]),
                0,
                steps(&[(0.6, 3), (2.4, 6), (0.6, 4)]),
            ),
        ),
        (
            "deregistration_rejected",
            (
                "registry_deregistrations_rejected_total",
                growth(&[(0.0, 3), (1.0, 1), (0.0, 12)]),
                0,
                vec![2.0; 12],
            ),
        ),
        (
            "quota_unanswered",
            (
                "proxy_quota_unanswered_total",
                growth(&[(0.0, 3), (8.0, 6), (0.0, 14)]),
                4,
                growth(&[(0.0, 3), (5.0, 1), (0.0, 9), (1.0, 9)]),
            ),
        ),
        (
            "retries_near_limit",
            (
                "proxy_retry_budget_used_ratio",
                steps(&[(0.1, 3), (0.9, 4), (0.7, 3), (0.1, 7)]),
                2,
                steps(&[(0.8, 9), (0.9, 1), (0.5, 5)]),
            ),
        ),
        (
            "retries_denied",
            (
                "proxy_retries_denied_total",
                growth(&[(0.0, 3), (8.0, 6), (0.0, 14)]),
                4,
                growth(&[(0.0, 3), (5.0, 1), (0.0, 9), (1.0, 9)]),
            ),
        ),
        (
            "node_flapping",
            (
                "starts_total",
                growth(&[(0.0, 3), (1.0, 1), (0.0, 3), (1.0, 1), (0.0, 70)]),
                8,
                growth(&[(0.0, 3), (1.0, 1), (0.0, 50), (1.0, 1), (0.0, 9)]),
            ),
        ),
        (
            "node_missing",
            ("up", steps(&[(1.0, 3), (0.0, 4), (1.0, 5)]), 2, steps(&[(1.0, 3), (0.0, 1), (1.0, 5)])),
        ),
        (
            "servers_lost",
            ("registry_servers_lost_total", growth(&[(0.0, 3), (1.0, 1), (0.0, 30)]), 0, vec![4.0; 12]),
        ),
    ]);
    let rules = shipped();
    expect_that!(rules.iter().map(|r| r.name.as_str()).collect::<Vec<_>>(), len(eq(cases.len())));
    for rule in &rules {
        let (figure, trouble, within, quiet) = &cases[rule.name.as_str()];
        expect_that!(rule.metric, eq(*figure));
        let reported = course(&mut Alerts::new(rules.clone()), figure, trouble);
        let names: Vec<(&str, bool)> =
            reported.iter().map(|(_, name, raised)| (name.as_str(), *raised)).collect();
        expect_that!(names, elements_are![eq(&(rule.name.as_str(), true)), eq(&(rule.name.as_str(), false))]);
        let begin = trouble.iter().position(|value| *value != trouble[0]).unwrap_or(0);
        // A counter of the disk's time moves before the trouble, too.
        let begin = if rule.name == "disk_slow" { 6 } else { begin };
        expect_that!((reported[0].0 - begin) * 2, le(*within), "{}", rule.name);
        expect_that!(course(&mut Alerts::new(rules.clone()), figure, quiet), is_empty(), "{}", rule.name);
    }
}

#[gtest]
fn each_rule_that_ships_has_its_heading_in_the_operators_page() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operate/alerts.md");
    let page = std::fs::read_to_string(path).expect("the page");
    let headings: Vec<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("## "))
        .map(|heading| heading.to_lowercase().replace(' ', "-"))
        .collect();
    for rule in shipped() {
        expect_that!(headings, contains(eq(&rule.page)), "{}", rule.name);
        expect_that!(page, contains_substring(format!("`{}`", rule.name)));
    }
}

#[gtest]
fn a_cut_hall_is_one_alert_and_what_is_not_known_clears_nothing() {
    let mut alerts = Alerts::new(shipped());
    let hall = |up: f64| {
        let cut = (0..11).map(move |n| process(&format!("b-{n}"), "up", up));
        cut.chain([process("a-1", "up", 1.0)]).collect::<Vec<Observation>>()
    };
    let mut reported = Vec::new();
    (0..2).for_each(|look| reported.extend(alerts.observe(look * LOOK, &hall(1.0))));
    (2..8).for_each(|look| reported.extend(alerts.observe(look * LOOK, &hall(0.0))));
    expect_that!(reported, len(eq(1)));
    expect_that!((reported[0].group.as_str(), reported[0].processes.len()), eq(("b", 11)));
    // They tell nothing any more, not even that they are down; then they are forgotten.
    let mut nothing = hall(0.0);
    nothing.iter_mut().for_each(|seen| seen.metrics.clear());
    (8..20).for_each(|look| reported.extend(alerts.observe(look * LOOK, &nothing)));
    expect_that!(reported, len(eq(1)));
    (20..24).for_each(|look| reported.extend(alerts.observe(look * LOOK, &[])));
    expect_that!(reported, len(eq(2)));
    expect_that!(alerts.statuses().count(), eq(0));
}

#[gtest]
fn a_process_that_begins_anew_has_counted_nothing() {
    let mut alerts = Alerts::new(shipped());
    let counts = [0.0, 50.0, 51.0, 600.0, 0.0, 1.0];
    let process_ids = [1, 1, 1, 2, 2, 2];
    let mut reported: Vec<AlertChange> = Vec::new();
    for look in 0..6 {
        // The first look's counter may be of any age: only what it grows by counts.
        let mut seen = process("a-1", "proxy_quota_unanswered_total", counts[look] / 10.0);
        seen.process_id = process_ids[look];
        reported.extend(alerts.observe(look as u64 * LOOK, &[seen]));
    }
    expect_that!(reported, is_empty());
}

proptest! {
    #[test]
    fn no_figures_raise_an_alert_twice_within_its_hold_time_or_against_its_thresholds(
        courses in prop::collection::vec(prop::collection::vec(0_u8..=9, 3), 2..80),
        gaps in prop::collection::vec(1_u64..9_000_000, 80),
    ) {
        let rule = rules::parse(Path::new("r.toml"), r#"
            [[alert]]
            name = "r"
            metric = "proxy_update_age_seconds"
            compare = "above"
            raise = "6s"
            clear = "3s"
            hold = "5s"
            calm = "4s"
            group = "zone"
            severity = "page"
            page = "p"
        "#).expect("a rule");
        let mut alerts = Alerts::new(rule);
        let mut now = 0;
        let mut past: Vec<(u64, Vec<u8>)> = Vec::new();
        // By group: whether it is raised, since which look, and when it was cleared.
        let mut raised = [(false, 0, 0); 2];
        for (values, gap) in courses.iter().zip(gaps) {
            now += gap;
            past.push((now, values.clone()));
            let seen: Vec<Observation> = values.iter().enumerate().map(|(number, value)| {
                let zone = if number == 0 { "a" } else { "b" };
                process(&format!("{zone}-{number}"), "proxy_update_age_seconds", f64::from(*value))
            }).collect();
            let reported = alerts.observe(now, &seen);
            for (group, numbers) in [("a", 0..1), ("b", 1..3)] {
                // Said again from all that has been, the slow way.
                let over = |look: usize, number: usize| {
                    let course = past[..=look].iter().rev().map(|(_, values)| values[number]);
                    course.take_while(|value| *value > 3).any(|value| value > 6)
                };
                let trouble = |look: usize| numbers.clone().any(|number| over(look, number));
                let (was, since, cleared) = &mut raised[usize::from(group == "b")];
                let mut first = past.len();
                while first > *since && trouble(first - 1) != *was {
                    first -= 1;
                    if first > 0 && past[first].0 > past[first - 1].0 + 7_000_000 {
                        break;
                    }
                }
                let wait = if *was { 4_000_000 } else { 5_000_000 };
                let change = first < past.len() && now >= past[first].0 + wait;
                let reported: Vec<bool> = reported.iter().filter(|c| c.group == group).map(|c| c.is_raised).collect();
                prop_assert_eq!(reported, if change { vec![!*was] } else { Vec::new() });
                if change {
                    prop_assert!(*was || *cleared == 0 || now >= *cleared + 5_000_000, "twice within the hold time");
                    *cleared = if *was { now } else { *cleared };
                    (*was, *since) = (!*was, past.len());
                }
            }
        }
        prop_assert!(alerts.statuses().count() <= 2, "one for each group");
    }
}
