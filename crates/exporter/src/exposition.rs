//! Renders the metrics of all processes, the alerts and the exporter itself as Prometheus text.

use std::collections::BTreeMap;
use std::fmt::Error;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{prometheus_text, DescriptorEncoder, EncodeMetric, MetricEncoder};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::Registry;

use crate::alerts::{AlertStatus, Alerts};
use crate::metric_names::{is_counter, KNOWN_METRICS};
use crate::process_table::ProcessTable;

/// The content type of the text.
pub const CONTENT_TYPE: &str = prometheus_text::CONTENT_TYPE;
/// The prefix of all metric names.
const PREFIX: &str = "pinerelay_";

/// Metrics of the exporter itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct ExporterMetrics {
    /// Polls of all processes.
    pub polls: u64,
    /// Queries to processes.
    pub queries: u64,
    /// Queries that were not answered.
    pub unanswered: u64,
    /// Bytes read and written for answered queries.
    pub bytes: u64,
    /// The time since the last poll began, in seconds.
    pub poll_age: f64,
    /// The duration of the last poll, in seconds.
    pub poll_duration: f64,
}

type Labels = Vec<(&'static str, String)>;

/// One value of a metric.
#[derive(Debug)]
struct Sample {
    labels: Labels,
    value: f64,
}

impl Sample {
    fn unlabelled(value: f64) -> Sample {
        Sample { labels: Vec::new(), value }
    }
}

/// All values of one metric.
#[derive(Debug)]
struct Family {
    name: &'static str,
    help: &'static str,
    samples: Vec<Sample>,
}

#[derive(Debug)]
struct Families(Vec<Family>);

impl Collector for Families {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), Error> {
        self.0.iter().try_for_each(|family| family.encode(&mut encoder))
    }
}

impl Family {
    fn encode(&self, encoder: &mut DescriptorEncoder) -> Result<(), Error> {
        let name = format!("{PREFIX}{}", self.name);
        // The library appends the suffix `_total` to the name of a counter.
        let (name, metric_type) = match name.strip_suffix("_total") {
            Some(name) => (name, MetricType::Counter),
            None => (name.as_str(), MetricType::Gauge),
        };
        let mut metric = encoder.encode_descriptor(name, self.help, None, metric_type)?;
        for Sample { labels, value } in &self.samples {
            let sample = metric.encode_family(labels)?;
            if is_counter(self.name) {
                encode_value(&ConstCounter::new(*value), sample)?;
            } else {
                encode_value(&ConstGauge::new(*value), sample)?;
            }
        }
        Ok(())
    }
}

fn encode_value(metric: &impl EncodeMetric, encoder: MetricEncoder) -> Result<(), Error> {
    metric.encode(encoder)
}

/// Returns the metrics of processes, in the order of [`KNOWN_METRICS`].
fn process_families(processes: &ProcessTable) -> Vec<Family> {
    let mut samples: BTreeMap<&'static str, Vec<Sample>> = BTreeMap::new();
    for (role, node, process) in processes.named() {
        let mut add = |name, label, value| {
            let mut labels: Labels =
                vec![("role", role.name().into()), ("node", node.into()), ("zone", process.zone.clone())];
            labels.extend(label);
            samples.entry(name).or_default().push(Sample { labels, value });
        };
        add("up", None, f64::from(u8::from(process.is_up)));
        add("starts_total", None, process.starts as f64);
        for metric in &process.metrics {
            let label = metric.name.label.clone().map(|label| (label.name, label.value));
            add(metric.name.name, label, metric.value);
        }
    }
    let families = KNOWN_METRICS.iter().filter_map(|known| {
        let samples = samples.remove(known.name)?;
        Some(Family { name: known.name, help: known.help, samples })
    });
    families.collect()
}

fn alert_family(alerts: &Alerts) -> Family {
    let samples = alerts.statuses().map(|AlertStatus { rule, group, is_raised }| Sample {
        labels: vec![("name", rule.to_string()), ("group", group.to_string())],
        value: f64::from(u8::from(is_raised)),
    });
    Family { name: "alert", help: "The alert is raised", samples: samples.collect() }
}

fn exporter_families(processes: &ProcessTable, own: ExporterMetrics) -> Vec<Family> {
    let unnamed = processes.unnamed() as f64;
    let unknown = processes.unknown_metrics() as f64;
    let metrics = [
        ("exporter_polls_total", "Polls of all processes", own.polls as f64),
        ("exporter_queries_total", "Queries to processes", own.queries as f64),
        ("exporter_unanswered_total", "Queries that were not answered in time", own.unanswered as f64),
        ("exporter_query_bytes_total", "Bytes read and written for queries", own.bytes as f64),
        ("exporter_poll_age_seconds", "Time since the last poll began", own.poll_age),
        ("exporter_poll_duration_seconds", "Duration of the last poll", own.poll_duration),
        ("exporter_unnamed_processes", "Addresses whose process has never told its name", unnamed),
        ("exporter_unknown_metrics_total", "Metrics received that the exporter does not know", unknown),
    ];
    let families = metrics.into_iter().map(|(name, help, value)| {
        let samples = vec![Sample::unlabelled(value)];
        Family { name, help, samples }
    });
    families.collect()
}

/// Renders all metrics.
///
/// # Errors
/// If the Prometheus library fails to encode the text.
pub fn write(processes: &ProcessTable, alerts: &Alerts, own: ExporterMetrics) -> Result<String, Error> {
    let mut families = process_families(processes);
    families.push(alert_family(alerts));
    families.extend(exporter_families(processes, own));
    let mut registry = Registry::default();
    registry.register_collector(Box::new(Families(families)));
    let mut text = String::new();
    prometheus_text::encode(&mut text, &registry)?;
    Ok(text)
}
