//! Evaluates the alert rules: takes observations with their time and returns the alerts that change. Has no clock of its own.
//!
//! Each process has its own hysteresis: beyond `raise` it is triggered until it is no longer beyond `clear`. Hold and calm times
//! apply to the group, so a group never raises an alert twice within the hold time, even if its processes trigger in turn.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use pinerelay_peer_link::message::Role;

use crate::observation::Observation;
use crate::rules::{Comparison, Grouping, Reading, Rule, Severity};
use crate::Micros;

/// The longest gap between two polls, in microseconds, that counts towards hold and calm times; they restart after a longer one.
const MAX_POLL_GAP: Micros = 7_000_000;
/// A counter that the exporter itself keeps, so a process restart does not reset it.
const STARTS_METRIC: &str = "starts_total";

/// An alert was raised or cleared.
#[derive(Debug, Clone, PartialEq)]
pub struct AlertChange {
    /// The name of the rule.
    pub rule: String,
    /// The group of processes that shares the alert.
    pub group: String,
    /// Whether it was raised; otherwise it was cleared.
    pub is_raised: bool,
    /// The urgency of the alert.
    pub severity: Severity,
    /// The anchor of the alert in the operators' documentation.
    pub page: String,
    /// The triggered processes; empty if the alert was cleared.
    pub processes: Vec<String>,
}

/// An alert, raised or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AlertStatus<'a> {
    /// The name of the rule.
    pub rule: &'a str,
    /// The group of processes that shares the alert.
    pub group: &'a str,
    /// Whether the alert is raised.
    pub is_raised: bool,
}

/// The key of a process in the state of a rule.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessName {
    role: Role,
    node: String,
}

/// A value with the time of its observation.
struct TimedValue {
    at: Micros,
    value: f64,
}

/// The state of a rule for one process.
#[derive(Default)]
struct ProcessState {
    process_id: u64,
    group: String,
    /// The values within the rule's window, and the last one before it.
    window: VecDeque<TimedValue>,
    /// Whether the reading went beyond `raise` and has stayed beyond `clear` since.
    is_triggered: bool,
}

#[derive(Default)]
struct AlertState {
    is_raised: bool,
    /// Since when the triggered processes of the group contradict `is_raised`.
    differs_since: Option<Micros>,
}

/// A rule with its state.
struct ActiveRule {
    rule: Rule,
    processes: BTreeMap<ProcessName, ProcessState>,
    /// The alerts by group.
    alerts: BTreeMap<String, AlertState>,
}

/// The alert rules with their state.
pub struct Alerts {
    rules: Vec<ActiveRule>,
    last_poll: Option<Micros>,
}

impl Alerts {
    /// Creates the state for these rules, with no alert raised.
    pub fn new(rules: Vec<Rule>) -> Alerts {
        Alerts { rules: rules.into_iter().map(ActiveRule::new).collect(), last_poll: None }
    }

    /// Returns the status of each alert.
    pub fn statuses(&self) -> impl Iterator<Item = AlertStatus<'_>> {
        self.rules.iter().flat_map(|active| {
            active.alerts.iter().map(|(group, alert)| AlertStatus {
                rule: &active.rule.name,
                group,
                is_raised: alert.is_raised,
            })
        })
    }

    /// Applies the rules to the observations of one poll and returns the alerts that were raised or cleared.
    pub fn observe(&mut self, now: Micros, observations: &[Observation]) -> Vec<AlertChange> {
        let has_stalled = self.last_poll.is_some_and(|last| now > last + MAX_POLL_GAP);
        self.last_poll = Some(now);
        let mut changes = Vec::new();
        for active in &mut self.rules {
            active.observe(now, observations);
            if has_stalled {
                active.restart_hold_times();
            }
            active.update_alerts(now, &mut changes);
            active.remove_empty_groups();
        }
        changes
    }
}

fn group_of(grouping: Grouping, observation: &Observation) -> String {
    match grouping {
        Grouping::All => "all".into(),
        Grouping::Zone if observation.zone.is_empty() => "unknown".into(),
        Grouping::Zone => observation.zone.clone(),
        Grouping::Role => observation.role.name().into(),
        Grouping::Node => observation.node.clone(),
    }
}

impl ActiveRule {
    fn new(rule: Rule) -> ActiveRule {
        ActiveRule { rule, processes: BTreeMap::new(), alerts: BTreeMap::new() }
    }

    /// Updates the state of the observed processes, and removes those that were not observed.
    fn observe(&mut self, now: Micros, observations: &[Observation]) {
        let mut observed = BTreeSet::new();
        for observation in observations {
            let name = ProcessName { role: observation.role, node: observation.node.clone() };
            let value = observation.metrics.get(self.rule.metric).copied().filter(|value| value.is_finite());
            if value.is_none() && !self.processes.contains_key(&name) {
                continue;
            }
            let process = self.processes.entry(name.clone()).or_default();
            observed.insert(name);
            process.group = group_of(self.rule.grouping, observation);
            let alert = self.alerts.entry(process.group.clone()).or_default();
            match value {
                Some(value) => process.observe(now, &self.rule, observation.process_id, value),
                // An unknown value neither raises nor clears an alert.
                None => process.is_triggered &= alert.is_raised,
            }
        }
        self.processes.retain(|name, _| observed.contains(name));
    }

    fn restart_hold_times(&mut self) {
        self.alerts.values_mut().for_each(|alert| alert.differs_since = None);
    }

    /// Returns the triggered processes by group.
    fn triggered(&self) -> BTreeMap<String, Vec<String>> {
        let mut triggered: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (name, process) in self.processes.iter().filter(|(_, process)| process.is_triggered) {
            let text = format!("{} {}", name.role.name(), name.node);
            triggered.entry(process.group.clone()).or_default().push(text);
        }
        triggered
    }

    /// Raises and clears the alerts whose hold or calm time has elapsed.
    fn update_alerts(&mut self, now: Micros, changes: &mut Vec<AlertChange>) {
        let mut triggered = self.triggered();
        for (group, alert) in &mut self.alerts {
            let processes = triggered.remove(group);
            if alert.update(now, &self.rule, processes.is_some()) {
                changes.push(AlertChange {
                    rule: self.rule.name.clone(),
                    group: group.clone(),
                    is_raised: alert.is_raised,
                    severity: self.rule.severity,
                    page: self.rule.page.clone(),
                    processes: processes.unwrap_or_default(),
                });
            }
        }
    }

    fn remove_empty_groups(&mut self) {
        let groups: BTreeSet<&String> = self.processes.values().map(|process| &process.group).collect();
        self.alerts.retain(|group, alert| alert.is_raised || groups.contains(group));
    }
}

impl AlertState {
    /// Updates the alert, and returns whether it was raised or cleared.
    fn update(&mut self, now: Micros, rule: &Rule, has_triggered_process: bool) -> bool {
        if has_triggered_process == self.is_raised {
            self.differs_since = None;
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let wait = if self.is_raised { rule.calm } else { rule.hold };
        if now.saturating_sub(since) < to_micros(wait) {
            return false;
        }
        self.is_raised = !self.is_raised;
        self.differs_since = None;
        true
    }
}

impl ProcessState {
    fn observe(&mut self, now: Micros, rule: &Rule, process_id: u64, value: f64) {
        let reading = match rule.reading {
            Reading::Value => value,
            Reading::Rate(window) => {
                let is_restarted = self.process_id != process_id && rule.metric != STARTS_METRIC;
                self.rate(now, window, value, is_restarted)
            }
        };
        self.process_id = process_id;
        let threshold = if self.is_triggered { rule.clear } else { rule.raise };
        self.is_triggered = match rule.comparison {
            Comparison::Above => reading > threshold,
            Comparison::Below => reading < threshold,
        };
    }

    /// Returns the increase of a counter within a window, divided by the length of the full window even if less of it has been
    /// observed: the first poll must not raise an alert.
    fn rate(&mut self, now: Micros, window: Duration, value: f64, is_restarted: bool) -> f64 {
        let has_fallen = self.window.back().is_some_and(|last| value < last.value);
        if has_fallen || is_restarted {
            self.window.clear();
        }
        self.window.push_back(TimedValue { at: now, value });
        // Keeps the value at the start of the window, or the last one before it.
        while self.window.get(1).is_some_and(|second| second.at + to_micros(window) <= now) {
            self.window.pop_front();
        }
        let first = self.window.front().map_or(value, |first| first.value);
        (value - first) / window.as_secs_f64()
    }
}

fn to_micros(duration: Duration) -> Micros {
    duration.as_micros() as Micros
}
