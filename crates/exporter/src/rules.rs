//! The alert rules file (TOML). Unknown keys and metrics, and durations without a unit, are errors.

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

/// The shortest window of a rate: two poll intervals.
const MIN_RATE_WINDOW: Duration = Duration::from_secs(4);
/// The longest duration in a rule. Bounds memory, as the values of a window are kept.
const MAX_DURATION: Duration = Duration::from_secs(3_600);
/// The maximum number of rules in a file.
const MAX_RULES: usize = 200;
/// The maximum length of a rule's name or page, in bytes.
const MAX_NAME_LENGTH: usize = 48;

/// The quantity that is compared with the thresholds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reading {
    /// The value of the metric.
    Value,
    /// The increase of the metric per second, averaged over this window.
    Rate(Duration),
}

/// The side of the threshold on which a rule triggers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Comparison {
    /// Above the threshold.
    Above,
    /// Below the threshold.
    Below,
}

/// The grouping of processes that share an alert.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Grouping {
    /// All processes share one.
    All,
    /// One alert per zone.
    Zone,
    /// One alert per role.
    Role,
    /// One alert per machine.
    Node,
}

/// How urgent an alert is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Requires immediate attention.
    Page,
    /// Requires attention on the same day.
    Ticket,
}

/// An alert rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    /// The unique name of the rule.
    pub name: String,
    /// The metric.
    pub metric: &'static str,
    /// The quantity that is compared with the thresholds.
    pub reading: Reading,
    /// The side of the thresholds on which the rule triggers.
    pub comparison: Comparison,
    /// The threshold beyond which a process is triggered.
    pub raise: f64,
    /// A triggered process stays triggered while it is beyond this threshold.
    pub clear: f64,
    /// How long a group must have triggered processes before its alert is raised.
    pub hold: Duration,
    /// How long a group must have no triggered process before its alert is cleared.
    pub calm: Duration,
    /// The processes that share an alert.
    pub grouping: Grouping,
    /// How urgent the alert is.
    pub severity: Severity,
    /// The anchor of the alert's heading in the operators' documentation.
    pub page: String,
}

/// A key of a rule with an invalid value, and the reason.
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

/// Whether a text is a name of lower-case letters, digits and `separator`, of at most [`MAX_NAME_LENGTH`] bytes.
fn is_plain_name(text: &str, separator: u8) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == separator;
    !text.is_empty() && text.len() <= MAX_NAME_LENGTH && text.bytes().all(is_allowed)
}

fn check_names(record: &RuleRecord) -> Result<(), InvalidKey> {
    if !is_plain_name(&record.name, b'_') {
        return Err(InvalidKey::new("name", "expected at most 48 lower-case letters, digits and _"));
    }
    if !is_plain_name(&record.page, b'-') {
        return Err(InvalidKey::new("page", "expected the anchor of a heading in docs/operate/alerts.md"));
    }
    Ok(())
}

fn reading(record: &RuleRecord) -> Result<Reading, InvalidKey> {
    let metric = record.metric.0;
    let window = record.rate_over.as_ref().map(|window| window.0);
    match (window, metric_names::is_counter(metric)) {
        (None, true) => {
            Err(InvalidKey::new("rate_over", format!("a duration is required: {metric} is a counter")))
        }
        (Some(_), false) => {
            Err(InvalidKey::new("rate_over", format!("not allowed: {metric} is not a counter")))
        }
        (Some(window), true) if window < MIN_RATE_WINDOW || window > MAX_DURATION => {
            Err(InvalidKey::new("rate_over", "expected a duration from 4s to 3600s"))
        }
        (Some(window), true) => Ok(Reading::Rate(window)),
        (None, false) => Ok(Reading::Value),
    }
}

fn check_durations(record: &RuleRecord) -> Result<(), InvalidKey> {
    for (key, duration) in [("hold", &record.hold), ("calm", &record.calm)] {
        if duration.0 > MAX_DURATION {
            return Err(InvalidKey::new(key, "expected a duration of at most 3600s"));
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
            return Err(InvalidKey::new("clear", "must not lie beyond raise"));
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

/// Reads an alert rules file.
///
/// # Errors
/// If the file cannot be read or is invalid; the error names the key.
pub fn read_file(path: &Path) -> Result<Vec<Rule>, FileError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| FileError::Unreadable { path: path.into(), error })?;
    parse(path, &text)
}

/// Parses the text of an alert rules file. `path` is named in errors.
///
/// # Errors
/// If the text is invalid; the error names the key.
pub fn parse(path: &Path, text: &str) -> Result<Vec<Rule>, FileError> {
    let invalid = |key: String, reason: String| FileError::Invalid { path: path.into(), key, reason };
    let parsed =
        toml::Deserializer::parse(text).map_err(|error| invalid(".".into(), error.message().into()))?;
    let file: RulesFile = serde_path_to_error::deserialize(parsed)
        .map_err(|error| invalid(error.path().to_string(), error.inner().message().into()))?;
    if file.alert.len() > MAX_RULES {
        return Err(invalid("alert".into(), format!("at most {MAX_RULES} rules are allowed")));
    }
    let mut rules = Vec::new();
    let mut names = BTreeSet::new();
    for (index, record) in file.alert.into_iter().enumerate() {
        let path_of = |key: &str| format!("alert[{index}].{key}");
        let rule = Rule::try_from(record).map_err(|error| invalid(path_of(error.key), error.reason))?;
        if !names.insert(rule.name.clone()) {
            return Err(invalid(path_of("name"), format!("another rule has the name {:?}", rule.name)));
        }
        rules.push(rule);
    }
    Ok(rules)
}
