//! What is wrong by the rules: figures go in with the clock, and alerts that are raised or cleared come out.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pinerelay_peer_link::message::Role;

use crate::rules::{Compare, Group, Reads, Rule, Severity};
use crate::watch::Micros;

/// After a gap between two looks that is longer, what was seen before it counts for no time that has passed.
const GAP: Micros = 7_000_000;

/// What is known of one process.
#[derive(Debug, Clone)]
pub struct Seen {
    /// Its program.
    pub role: Role,
    /// Its machine.
    pub node: String,
    /// That machine's zone; empty until it was told.
    pub zone: String,
    /// Another in each process.
    pub life: u64,
    /// Its figures, those with labels added up. Of one that does not answer: what is known without it.
    pub figures: BTreeMap<&'static str, f64>,
}

/// An alert has been raised or cleared.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// The rule's name.
    pub name: String,
    /// Which group's it is.
    pub group: String,
    /// It has been raised; else it has been cleared.
    pub raised: bool,
    /// How much it matters.
    pub severity: Severity,
    /// Where operators read of it.
    pub page: String,
    /// The processes whose figures say so.
    pub who: Vec<String>,
}

type Who = (Role, String);

#[derive(Default)]
struct Member {
    life: u64,
    group: String,
    past: VecDeque<(Micros, f64)>,
    /// Past the threshold, and not back over the other since.
    over: bool,
}

#[derive(Default)]
struct Alert {
    raised: bool,
    /// Since when its processes say otherwise.
    since: Option<Micros>,
}

#[derive(Default)]
struct Ruled {
    members: BTreeMap<Who, Member>,
    alerts: BTreeMap<String, Alert>,
}

/// All alerts.
pub struct Alerts {
    rules: Vec<(Rule, Ruled)>,
    looked: Option<Micros>,
}

impl Alerts {
    /// None is raised yet.
    pub fn new(rules: Vec<Rule>) -> Alerts {
        Alerts { rules: rules.into_iter().map(|rule| (rule, Ruled::default())).collect(), looked: None }
    }

    /// Each alert's name and group, and whether it is raised.
    pub fn all(&self) -> impl Iterator<Item = (&str, &str, bool)> {
        self.rules.iter().flat_map(|(rule, ruled)| {
            ruled.alerts.iter().map(|(group, alert)| (rule.name.as_str(), group.as_str(), alert.raised))
        })
    }

    /// Takes what all processes have told by now.
    pub fn look(&mut self, now: Micros, seen: &[Seen]) -> Vec<Change> {
        let stood_still = self.looked.is_some_and(|looked| now > looked + GAP);
        self.looked = Some(now);
        let mut changes = Vec::new();
        for (rule, ruled) in &mut self.rules {
            ruled.take(now, rule, seen);
            ruled.tell(now, rule, stood_still, &mut changes);
        }
        changes
    }
}

fn group_of(rule: &Rule, seen: &Seen) -> String {
    match rule.group {
        Group::All => "all".into(),
        Group::Zone if seen.zone.is_empty() => "unknown".into(),
        Group::Zone => seen.zone.clone(),
        Group::Role => seen.role.name().into(),
        Group::Node => seen.node.clone(),
    }
}

impl Ruled {
    fn take(&mut self, now: Micros, rule: &Rule, seen: &[Seen]) {
        let mut here = BTreeSet::new();
        for process in seen {
            let who = (process.role, process.node.clone());
            let value = process.figures.get(rule.figure).copied().filter(|value| value.is_finite());
            if value.is_none() && !self.members.contains_key(&who) {
                continue;
            }
            let member = self.members.entry(who.clone()).or_default();
            here.insert(who);
            member.group = group_of(rule, process);
            let alert = self.alerts.entry(member.group.clone()).or_default();
            match value {
                Some(value) => member.take(now, rule, process.life, value),
                // What is not known raises nothing, and clears nothing.
                None => member.over &= alert.raised,
            }
        }
        self.members.retain(|who, _| here.contains(who));
    }

    fn tell(&mut self, now: Micros, rule: &Rule, stood_still: bool, changes: &mut Vec<Change>) {
        let mut over: BTreeMap<&str, Vec<String>> = BTreeMap::new();
        for ((role, node), member) in self.members.iter().filter(|(_, member)| member.over) {
            over.entry(&member.group).or_default().push(format!("{} {node}", role.name()));
        }
        for (group, alert) in &mut self.alerts {
            let trouble = over.get(group.as_str());
            if trouble.is_some() == alert.raised {
                alert.since = None;
                continue;
            }
            if stood_still {
                alert.since = None;
            }
            let since = *alert.since.get_or_insert(now);
            let wait = if alert.raised { rule.calm } else { rule.hold };
            if now.saturating_sub(since) < wait.as_micros() as Micros {
                continue;
            }
            alert.raised = !alert.raised;
            alert.since = None;
            changes.push(Change {
                name: rule.name.clone(),
                group: group.clone(),
                raised: alert.raised,
                severity: rule.severity,
                page: rule.page.clone(),
                who: trouble.cloned().unwrap_or_default(),
            });
        }
        let groups: BTreeSet<&String> = self.members.values().map(|member| &member.group).collect();
        self.alerts.retain(|group, alert| alert.raised || groups.contains(group));
    }
}

impl Member {
    fn take(&mut self, now: Micros, rule: &Rule, life: u64, value: f64) {
        let reading = match rule.reads {
            Reads::Value => value,
            Reads::Rate(over) => {
                // The exporter's own count goes on where a process begins anew; the process's begins with nothing.
                let own = rule.figure == "starts_total";
                let fell = self.past.back().is_some_and(|(_, last)| value < *last);
                if fell || self.life != life && !own {
                    self.past.clear();
                }
                let window = over.as_micros() as Micros;
                self.past.push_back((now, value));
                // The one at the window's begin or the last before it stays.
                while self.past.get(1).is_some_and(|(at, _)| at + window <= now) {
                    self.past.pop_front();
                }
                let first = self.past.front().map_or(value, |(_, first)| *first);
                // Over the whole window, even when less of it has been seen: a first look must raise nothing.
                (value - first) / over.as_secs_f64()
            }
        };
        self.life = life;
        let past = |threshold: f64| match rule.compare {
            Compare::Above => reading > threshold,
            Compare::Below => reading < threshold,
        };
        self.over = if self.over { past(rule.clear) } else { past(rule.raise) };
    }
}
