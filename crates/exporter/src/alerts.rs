//! Which alerts are raised by the rules: observations go in with the clock, and changes come out.
//!
//! Each process has a hysteresis of its own: past `raise` it is in trouble until it is back over `clear`. Hold and calm times are the
//! group's, so one group never raises an alert twice within the hold time, however its processes take turns.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use pinerelay_peer_link::message::Role;

use crate::observation::Observation;
use crate::rules::{Comparison, Grouping, Reading, Rule, Severity};
use crate::Micros;

/// After a longer gap between two polls, in microseconds, the time between them counts for no hold or calm time.
const MAX_POLL_GAP: Micros = 7_000_000;
/// The metric that the exporter itself counts, which goes on where a process restarts.
const STARTS_METRIC: &str = "starts_total";

/// An alert was raised or cleared.
#[derive(Debug, Clone, PartialEq)]
pub struct AlertChange {
    /// The name of its rule.
    pub rule: String,
    /// Its group.
    pub group: String,
    /// Whether it was raised; otherwise it was cleared.
    pub is_raised: bool,
    /// How urgent it is.
    pub severity: Severity,
    /// The heading of the operators' page on it.
    pub page: String,
    /// The processes that are in trouble.
    pub processes: Vec<String>,
}

/// An alert, raised or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AlertStatus<'a> {
    /// The name of its rule.
    pub rule: &'a str,
    /// Its group.
    pub group: &'a str,
    /// Whether it is raised.
    pub is_raised: bool,
}

/// A process, as rules know it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessName {
    role: Role,
    node: String,
}

/// A value and when it was observed.
struct TimedValue {
    at: Micros,
    value: f64,
}

/// What a rule knows of one process.
#[derive(Default)]
struct ProcessState {
    process_id: u64,
    group: String,
    /// The values within the rule's window, and the last one before it.
    window: VecDeque<TimedValue>,
    /// Whether the reading has passed the threshold to raise, and not been back over the one to clear since.
    is_in_trouble: bool,
}

#[derive(Default)]
struct AlertState {
    is_raised: bool,
    /// Since when the group's processes say otherwise.
    differs_since: Option<Micros>,
}

/// A rule with its state.
struct ActiveRule {
    rule: Rule,
    processes: BTreeMap<ProcessName, ProcessState>,
    /// By group.
    alerts: BTreeMap<String, AlertState>,
}

/// All alerts.
pub struct Alerts {
    rules: Vec<ActiveRule>,
    last_poll: Option<Micros>,
}

impl Alerts {
    /// Alerts by these rules, none of which is raised yet.
    pub fn new(rules: Vec<Rule>) -> Alerts {
        Alerts { rules: rules.into_iter().map(ActiveRule::new).collect(), last_poll: None }
    }

    /// Each alert.
    pub fn statuses(&self) -> impl Iterator<Item = AlertStatus<'_>> {
        self.rules.iter().flat_map(|active| {
            active.alerts.iter().map(|(group, alert)| AlertStatus {
                rule: &active.rule.name,
                group,
                is_raised: alert.is_raised,
            })
        })
    }

    /// Takes what was observed at one poll.
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

    /// Updates the state of all processes, and forgets those that were not observed.
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
                // What is not known raises nothing, and clears nothing.
                None => process.is_in_trouble &= alert.is_raised,
            }
        }
        self.processes.retain(|name, _| observed.contains(name));
    }

    fn restart_hold_times(&mut self) {
        self.alerts.values_mut().for_each(|alert| alert.differs_since = None);
    }

    /// The processes that are in trouble, by group.
    fn troubled(&self) -> BTreeMap<String, Vec<String>> {
        let mut troubled: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for (name, process) in self.processes.iter().filter(|(_, process)| process.is_in_trouble) {
            let text = format!("{} {}", name.role.name(), name.node);
            troubled.entry(process.group.clone()).or_default().push(text);
        }
        troubled
    }

    /// Raises and clears alerts whose hold or calm time is over.
    fn update_alerts(&mut self, now: Micros, changes: &mut Vec<AlertChange>) {
        let mut troubled = self.troubled();
        for (group, alert) in &mut self.alerts {
            let processes = troubled.remove(group);
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
    /// Returns whether the alert was raised or cleared.
    fn update(&mut self, now: Micros, rule: &Rule, has_trouble: bool) -> bool {
        if has_trouble == self.is_raised {
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
        let threshold = if self.is_in_trouble { rule.clear } else { rule.raise };
        self.is_in_trouble = match rule.comparison {
            Comparison::Above => reading > threshold,
            Comparison::Below => reading < threshold,
        };
    }

    /// By how much a counter has grown within a window, for each second of the whole window, even if less of it has been observed:
    /// a first poll must raise nothing.
    fn rate(&mut self, now: Micros, window: Duration, value: f64, is_restarted: bool) -> f64 {
        let has_fallen = self.window.back().is_some_and(|last| value < last.value);
        if has_fallen || is_restarted {
            self.window.clear();
        }
        self.window.push_back(TimedValue { at: now, value });
        // The value at the begin of the window, or the last one before it, stays.
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
