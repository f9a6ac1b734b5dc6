//! The file of alert rules (TOML). Unknown keys and metrics, and times without a unit, are errors.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use pinerelay_node_runtime::settings::FileError;
use serde::Deserialize;

use crate::metric_names;

mod file;
#[cfg(test)]
mod tests;

use file::{RuleRecord, RulesFile};

/// The shortest window of a rate: metrics are read this often, so it holds at least two of them.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(4);
/// The longest time of a rule. The values of a window are kept in memory.
const MAX_DURATION: Duration = Duration::from_secs(3_600);
/// The most rules of a file.
const MAX_RULES: usize = 200;
/// The most bytes of a rule's name.
const MAX_NAME_LENGTH: usize = 48;

/// What of a metric is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// Its value.
    Value,
    /// By how much it has grown within this time, for each second of it.
    Rate(Duration),
}

/// On which side of the threshold trouble lies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Comparison {
    /// Above it.
    Above,
    /// Below it.
    Below,
}

/// Which processes share an alert.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Grouping {
    /// All processes.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a program.
    Role,
    /// Those of a machine.
    Node,
}

/// How urgent an alert is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Somebody has to look at once.
    Page,
    /// Somebody has to look today.
    Ticket,
}

/// An alert rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    /// Its name, which no other rule has.
    pub name: String,
    /// The metric.
    pub metric: &'static str,
    /// What of the metric is compared.
    pub reading: Reading,
    /// On which side of the threshold trouble lies.
    pub comparison: Comparison,
    /// Past this a process is in trouble.
    pub raise: f64,
    /// Once it is not past this, it is not in trouble any more.
    pub clear: f64,
    /// How long trouble lasts before the alert is raised.
    pub hold: Duration,
    /// How long there is no trouble before the alert is cleared.
    pub calm: Duration,
    /// Which processes share an alert.
    pub grouping: Grouping,
    /// How urgent the alert is.
    pub severity: Severity,
    /// The heading in the operators' page of alerts, as a link names it.
    pub page: String,
}

/// A key of a rule whose value cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
struct InvalidKey {
    key: &'static str,
    reason: String,
}

impl InvalidKey {
    fn new(key: &'static str, reason: impl Into<String>) -> InvalidKey {
        InvalidKey { key, reason: reason.into() }
    }
}

/// Whether a text is a name of lower-case letters, digits and one other character.
fn is_plain_name(text: &str, separator: u8) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == separator;
    !text.is_empty() && text.len() <= MAX_NAME_LENGTH && text.bytes().all(is_allowed)
}

fn check_names(record: &RuleRecord) -> Result<(), InvalidKey> {
    if !is_plain_name(&record.name, b'_') {
        return Err(InvalidKey::new("name", "lower-case letters, digits and _ are wanted, 48 at the most"));
    }
    if !is_plain_name(&record.page, b'-') {
        return Err(InvalidKey::new("page", "the heading's anchor in docs/operate/alerts.md is wanted"));
    }
    Ok(())
}

fn reading(record: &RuleRecord) -> Result<Reading, InvalidKey> {
    let metric = record.metric.0;
    let window = record.rate_over.as_ref().map(|window| window.0);
    match (window, metric_names::is_counter(metric)) {
        (None, true) => Err(InvalidKey::new("rate_over", format!("a time is wanted: {metric} only grows"))),
        (Some(_), false) => Err(InvalidKey::new("rate_over", format!("not wanted: {metric} does not count"))),
        (Some(window), true) if window < MIN_RATE_WINDOW || window > MAX_DURATION => {
            Err(InvalidKey::new("rate_over", "a time from 4s to 3600s is wanted"))
        }
        (Some(window), true) => Ok(Reading::Rate(window)),
        (None, false) => Ok(Reading::Value),
    }
}

fn check_durations(record: &RuleRecord) -> Result<(), InvalidKey> {
    for (key, duration) in [("hold", &record.hold), ("calm", &record.calm)] {
        if duration.0 > MAX_DURATION {
            return Err(InvalidKey::new(key, "a time up to 3600s is wanted"));
        }
    }
    Ok(())
}

impl TryFrom<RuleRecord> for Rule {
    type Error = InvalidKey;

    fn try_from(record: RuleRecord) -> Result<Rule, InvalidKey> {
        check_names(&record)?;
        let reading = reading(&record)?;
        check_durations(&record)?;
        let metric = record.metric.0;
        let is_duration = reading == Reading::Value && metric_names::is_duration(metric);
        let threshold =
            |key, value| file::threshold(value, is_duration).map_err(|reason| InvalidKey::new(key, reason));
        let (raise, clear) = (threshold("raise", &record.raise)?, threshold("clear", &record.clear)?);
        let is_clear_within = match record.compare {
            Comparison::Above => clear <= raise,
            Comparison::Below => clear >= raise,
        };
        if !is_clear_within {
            return Err(InvalidKey::new("clear", "it lies beyond raise: the side without trouble is wanted"));
        }
        Ok(Rule {
            name: record.name,
            metric,
            reading,
            comparison: record.compare,
            raise,
            clear,
            hold: record.hold.0,
            calm: record.calm.0,
            grouping: record.group,
            severity: record.severity,
            page: record.page,
        })
    }
}

/// Reads a file of rules.
///
/// # Errors
/// If it cannot be read, or what is wrong with which key.
pub fn read_file(path: &Path) -> Result<Vec<Rule>, FileError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| FileError::Unreadable { path: path.into(), error })?;
    parse(path, &text)
}

/// Parses the text of a file of rules.
///
/// # Errors
/// What is wrong with which key.
pub fn parse(path: &Path, text: &str) -> Result<Vec<Rule>, FileError> {
    let invalid = |key: String, reason: String| FileError::Invalid { path: path.into(), key, reason };
    let parsed =
        toml::Deserializer::parse(text).map_err(|error| invalid(".".into(), error.message().into()))?;
    let file: RulesFile = serde_path_to_error::deserialize(parsed)
        .map_err(|error| invalid(error.path().to_string(), error.inner().message().into()))?;
    if file.alert.len() > MAX_RULES {
        return Err(invalid("alert".into(), format!("{MAX_RULES} rules at the most are wanted")));
    }
    let mut rules = Vec::new();
    let mut names = BTreeSet::new();
    for (index, record) in file.alert.into_iter().enumerate() {
        let path_of = |key: &str| format!("alert[{index}].{key}");
        let rule = Rule::try_from(record).map_err(|error| invalid(path_of(error.key), error.reason))?;
        if !names.insert(rule.name.clone()) {
            return Err(invalid(path_of("name"), format!("another rule is called {:?}, too", rule.name)));
        }
        rules.push(rule);
    }
    Ok(rules)
}
