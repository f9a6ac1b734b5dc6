//! The format of the alert rules file.

use std::time::Duration;

use pinerelay_config_state::duration;
use serde::de::{Error, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use toml::Value;

use super::{Comparison, Grouping, Severity};
use crate::metric_names::known_name;

/// The top level of the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RulesFile {
    pub alert: Vec<RuleRecord>,
}

/// A rule before cross-field validation.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RuleRecord {
    pub name: String,
    /// Files for releases up to 0.2.0 use the key `figure`.
    #[serde(alias = "figure")]
    pub metric: MetricKey,
    pub rate_over: Option<WrittenDuration>,
    pub compare: Comparison,
    pub raise: Value,
    pub clear: Value,
    pub hold: WrittenDuration,
    pub calm: WrittenDuration,
    pub group: Grouping,
    pub severity: Severity,
    pub page: String,
}

/// The name of a known metric.
pub(super) struct MetricKey(pub &'static str);

impl<'de> Deserialize<'de> for MetricKey {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let name = String::deserialize(deserializer)?;
        let expected = "a metric of the table in docs/design/observing.md, without pinerelay_";
        let invalid = || D::Error::invalid_value(Unexpected::Str(&name), &expected);
        known_name(&name).map(MetricKey).ok_or_else(invalid)
    }
}

/// A duration that is written as text with a unit.
pub(super) struct WrittenDuration(pub Duration);

impl<'de> Deserialize<'de> for WrittenDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(DurationVisitor)
    }
}

struct DurationVisitor;

impl Visitor<'_> for DurationVisitor {
    type Value = WrittenDuration;

    fn expecting(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        formatter.write_str("a duration with a unit, such as \"1500ms\" or \"2.5s\"")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<WrittenDuration, E> {
        let invalid = || E::invalid_value(Unexpected::Str(text), &self);
        duration::parse_duration(text).map(WrittenDuration).ok_or_else(invalid)
    }
}

/// Parses a threshold: a duration, returned in seconds, if `is_duration`, otherwise a number. The error says what is expected.
pub(super) fn threshold(value: &Value, is_duration: bool) -> Result<f64, String> {
    if is_duration {
        let parsed = value.as_str().and_then(duration::parse_duration);
        return parsed.map(|duration| duration.as_secs_f64()).ok_or_else(|| {
            format!(
                "expected a duration with a unit for this metric, such as \"1500ms\" or \"2.5s\", not {value}"
            )
        });
    }
    let number = value.as_float().or(value.as_integer().map(|integer| integer as f64));
    number
        .filter(|number| number.is_finite())
        .ok_or_else(|| format!("expected a number for this metric, not {value}"))
}
