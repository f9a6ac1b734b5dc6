//! Tests the alert rules on synthetic metrics: each shipped rule raises and clears its alert, and the state machine agrees with a
//! simple model on random values.

use std::collections::BTreeMap;
use std::path::Path;

use googletest::prelude::*;
use pinerelay_exporter::alerts::{AlertChange, Alerts};
use pinerelay_exporter::observation::Observation;
use pinerelay_exporter::rules::{self, Rule};
use pinerelay_peer_link::message::Role;
use proptest::prelude::*;

/// The time between two polls, in microseconds.
const POLL_MICROS: u64 = 2_000_000;

fn shipped_rules() -> Vec<Rule> {
    let path = Path::new(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/alerts.toml"));
    rules::read_file(path).expect("shipped rules are valid")
}

fn process(node: &str, metric_name: &'static str, value: f64) -> Observation {
    let role = if metric_name.starts_with("config_store") {
        Role::ConfigStore
    } else if metric_name.starts_with("registry") {
        Role::Registry
    } else {
        Role::Proxy
    };
    let zone = node.split('-').next().unwrap_or_default().to_string();
    Observation {
        role,
        node: node.into(),
        zone,
        process_id: 1,
        metrics: BTreeMap::from([(metric_name, value)]),
    }
}

/// Feeds the values of a metric to the rules, one per poll, and returns the polls at which alerts were raised or cleared.
fn observe_series(
    alerts: &mut Alerts,
    metric_name: &'static str,
    values: &[f64],
) -> Vec<(usize, String, bool)> {
    let mut reported = Vec::new();
    for (poll, value) in values.iter().enumerate() {
        let changes = alerts.observe(poll as u64 * POLL_MICROS, &[process("a-1", metric_name, *value)]);
        reported.extend(changes.into_iter().map(|change| (poll, change.rule, change.is_raised)));
    }
    reported
}

/// A series from pairs of a value and the number of polls for which it stays.
fn steps(steps: &[(f64, usize)]) -> Vec<f64> {
    steps.iter().flat_map(|(value, polls)| std::iter::repeat_n(*value, *polls)).collect()
}

/// The series of a counter, from pairs of its increase per poll and a number of polls.
fn growth(steps: &[(f64, usize)]) -> Vec<f64> {
    let mut sum = 0.0;
    let all = steps.iter().flat_map(|(increase, polls)| std::iter::repeat_n(*increase, *polls));
    all.map(|increase| {
        sum += increase;
        sum
    })
    .collect()
}

#[gtest]
fn each_shipped_rule_raises_and_clears_its_own_alert_only() {
    // By rule: its metric, a series that raises the alert within this many seconds and then clears it, and one that must not raise it.
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
            "quota_reserved",
            (
                "registry_quota_reserved_ratio",
                steps(&[(0.0, 3), (0.95, 4), (0.0, 5)]),
                2,
                steps(&[(0.0, 3), (0.95, 1), (0.0, 4), (0.15, 6)]),
            ),
        ),
        (
            "registry_stalled",
            (
                "registry_stalled_seconds_total",
                growth(&[(0.0, 3), (2.0, 4), (0.0, 14)]),
                4,
                growth(&[(0.0, 3), (1.2, 1), (0.0, 9), (0.3, 9)]),
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
    let rules = shipped_rules();
    expect_that!(rules.iter().map(|r| r.name.as_str()).collect::<Vec<_>>(), len(eq(cases.len())));
    for rule in &rules {
        let (metric_name, raising, within, quiet) = &cases[rule.name.as_str()];
        expect_that!(rule.metric, eq(*metric_name));
        let reported = observe_series(&mut Alerts::new(rules.clone()), metric_name, raising);
        let names: Vec<(&str, bool)> =
            reported.iter().map(|(_, name, raised)| (name.as_str(), *raised)).collect();
        expect_that!(names, elements_are![eq(&(rule.name.as_str(), true)), eq(&(rule.name.as_str(), false))]);
        let begin = raising.iter().position(|value| *value != raising[0]).unwrap_or(0);
        // The counter of disk time also grows before the disk becomes slow.
        let begin = if rule.name == "disk_slow" { 6 } else { begin };
        expect_that!((reported[0].0 - begin) * 2, le(*within), "{}", rule.name);
        expect_that!(
            observe_series(&mut Alerts::new(rules.clone()), metric_name, quiet),
            is_empty(),
            "{}",
            rule.name
        );
    }
}

#[gtest]
fn each_shipped_rule_has_a_heading_in_the_operators_page() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/operate/alerts.md");
    let page = std::fs::read_to_string(path).expect("operators' page is readable");
    let headings: Vec<String> = page
        .lines()
        .filter_map(|line| line.strip_prefix("## "))
        .map(|heading| heading.to_lowercase().replace(' ', "-"))
        .collect();
    for rule in shipped_rules() {
        expect_that!(headings, contains(eq(&rule.page)), "{}", rule.name);
        expect_that!(page, contains_substring(format!("`{}`", rule.name)));
    }
}

#[gtest]
fn an_isolated_zone_raises_one_alert_and_unknown_values_do_not_clear_it() {
    let mut alerts = Alerts::new(shipped_rules());
    let zone_observations = |up: f64| {
        let isolated = (0..11).map(move |n| process(&format!("b-{n}"), "up", up));
        isolated.chain([process("a-1", "up", 1.0)]).collect::<Vec<Observation>>()
    };
    let mut reported = Vec::new();
    (0..2).for_each(|poll| reported.extend(alerts.observe(poll * POLL_MICROS, &zone_observations(1.0))));
    (2..8).for_each(|poll| reported.extend(alerts.observe(poll * POLL_MICROS, &zone_observations(0.0))));
    expect_that!(reported, len(eq(1)));
    expect_that!((reported[0].group.as_str(), reported[0].processes.len()), eq(("b", 11)));
    // First no metric of the processes is known, not even `up`; then they are not observed at all.
    let mut unknown = zone_observations(0.0);
    unknown.iter_mut().for_each(|observed| observed.metrics.clear());
    (8..20).for_each(|poll| reported.extend(alerts.observe(poll * POLL_MICROS, &unknown)));
    expect_that!(reported, len(eq(1)));
    (20..24).for_each(|poll| reported.extend(alerts.observe(poll * POLL_MICROS, &[])));
    expect_that!(reported, len(eq(2)));
    expect_that!(alerts.statuses().count(), eq(0));
}

#[gtest]
fn a_restart_or_counter_reset_does_not_count_as_growth() {
    let mut alerts = Alerts::new(shipped_rules());
    let counts = [0.0, 50.0, 51.0, 600.0, 0.0, 1.0];
    let process_ids = [1, 1, 1, 2, 2, 2];
    let mut reported: Vec<AlertChange> = Vec::new();
    for poll in 0..6 {
        // The counter may have any value at the first poll: only its growth counts.
        let mut observed = process("a-1", "proxy_quota_unanswered_total", counts[poll] / 10.0);
        observed.process_id = process_ids[poll];
        reported.extend(alerts.observe(poll as u64 * POLL_MICROS, &[observed]));
    }
    expect_that!(reported, is_empty());
}

proptest! {
    #[test]
    fn random_values_raise_and_clear_alerts_as_the_model_does(
        series in prop::collection::vec(prop::collection::vec(0_u8..=9, 3), 2..80),
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
        "#).expect("rule is valid");
        let mut alerts = Alerts::new(rule);
        let mut now = 0;
        let mut history: Vec<(u64, Vec<u8>)> = Vec::new();
        // By group: whether the alert is raised, since which poll, and when it was cleared.
        let mut raised = [(false, 0, 0); 2];
        for (values, gap) in series.iter().zip(gaps) {
            now += gap;
            history.push((now, values.clone()));
            let observed: Vec<Observation> = values.iter().enumerate().map(|(number, value)| {
                let zone = if number == 0 { "a" } else { "b" };
                process(&format!("{zone}-{number}"), "proxy_update_age_seconds", f64::from(*value))
            }).collect();
            let reported = alerts.observe(now, &observed);
            for (group, numbers) in [("a", 0..1), ("b", 1..3)] {
                // The model: recomputes the expected state from the complete history.
                let is_triggered = |poll: usize, number: usize| {
                    let course = history[..=poll].iter().rev().map(|(_, values)| values[number]);
                    course.take_while(|value| *value > 3).any(|value| value > 6)
                };
                let group_triggered = |poll: usize| numbers.clone().any(|number| is_triggered(poll, number));
                let (was_raised, since, cleared) = &mut raised[usize::from(group == "b")];
                let mut first = history.len();
                while first > *since && group_triggered(first - 1) != *was_raised {
                    first -= 1;
                    if first > 0 && history[first].0 > history[first - 1].0 + 7_000_000 {
                        break;
                    }
                }
                let wait = if *was_raised { 4_000_000 } else { 5_000_000 };
                let change = first < history.len() && now >= history[first].0 + wait;
                let reported: Vec<bool> = reported.iter().filter(|c| c.group == group).map(|c| c.is_raised).collect();
                prop_assert_eq!(reported, if change { vec![!*was_raised] } else { Vec::new() });
                if change {
                    prop_assert!(*was_raised || *cleared == 0 || now >= *cleared + 5_000_000, "twice within the hold time");
                    *cleared = if *was_raised { now } else { *cleared };
                    (*was_raised, *since) = (!*was_raised, history.len());
                }
            }
        }
        prop_assert!(alerts.statuses().count() <= 2, "one for each group");
    }
}
