//! The figures as Prometheus text.

use std::collections::BTreeMap;
use std::fmt::Error;

use prometheus_client::collector::Collector;
use prometheus_client::encoding::{prometheus_text, DescriptorEncoder};
use prometheus_client::metrics::counter::ConstCounter;
use prometheus_client::metrics::gauge::ConstGauge;
use prometheus_client::metrics::MetricType;
use prometheus_client::registry::Registry;

use crate::alerts::Alerts;
use crate::figures::{counts, KNOWN};
use crate::watch::Watch;

/// The text's type.
pub const TYPE: &str = prometheus_text::CONTENT_TYPE;

/// What the exporter tells of itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct Own {
    /// Rounds of asking.
    pub looks: u64,
    /// Processes that were asked.
    pub asked: u64,
    /// And did not answer in time.
    pub silent: u64,
    /// Bytes read and written for that.
    pub bytes: u64,
    /// How long ago the last round began, in seconds.
    pub age: f64,
    /// How long it took, in seconds.
    pub took: f64,
}

type Labels = Vec<(&'static str, String)>;

#[derive(Debug)]
struct Family {
    name: &'static str,
    help: &'static str,
    series: Vec<(Labels, f64)>,
}

#[derive(Debug)]
struct Page(Vec<Family>);

impl Collector for Page {
    fn encode(&self, mut encoder: DescriptorEncoder) -> Result<(), Error> {
        for family in &self.0 {
            // The library adds the end of a counter's name itself.
            let name = format!("pinerelay_{}", family.name);
            let (name, kind) = match name.strip_suffix("_total") {
                Some(name) => (name, MetricType::Counter),
                None => (name.as_str(), MetricType::Gauge),
            };
            let mut metric = encoder.encode_descriptor(name, family.help, None, kind)?;
            for (labels, value) in &family.series {
                let series = metric.encode_family(labels)?;
                if counts(family.name) {
                    encode(&ConstCounter::new(*value), series)?;
                } else {
                    encode(&ConstGauge::new(*value), series)?;
                }
            }
        }
        Ok(())
    }
}

fn encode(
    metric: &impl prometheus_client::encoding::EncodeMetric,
    to: prometheus_client::encoding::MetricEncoder,
) -> Result<(), Error> {
    metric.encode(to)
}

/// Writes all figures.
pub fn write(watch: &Watch, alerts: &Alerts, own: Own) -> Result<String, Error> {
    let mut families: BTreeMap<&'static str, Vec<(Labels, f64)>> = BTreeMap::new();
    for (role, node, process) in watch.named() {
        let mut add = |name, label, value| {
            let mut labels: Labels =
                vec![("role", role.name().into()), ("node", node.into()), ("zone", process.zone.clone())];
            labels.extend(label);
            families.entry(name).or_default().push((labels, value));
        };
        add("up", None, f64::from(u8::from(process.up)));
        add("starts_total", None, process.starts as f64);
        process.figures.iter().for_each(|(name, label, value)| add(name, label.clone(), *value));
    }
    let known = KNOWN.iter().filter_map(|(name, help)| Some((*name, *help, families.remove(name)?)));
    let mut page: Vec<Family> = known.map(|(name, help, series)| Family { name, help, series }).collect();
    let alert = |(name, group, raised): (&str, &str, bool)| {
        (vec![("name", name.to_string()), ("group", group.to_string())], f64::from(u8::from(raised)))
    };
    let series = alerts.all().map(alert).collect();
    page.push(Family { name: "alert", help: "The alert is raised", series });
    let (unheard, odd) = watch.unknown();
    page.extend(
        [
            ("keeper_looks_total", "Rounds of asking all processes", own.looks as f64),
            ("keeper_asked_total", "Processes that were asked", own.asked as f64),
            ("keeper_silent_total", "Of them, those that did not answer in time", own.silent as f64),
            ("keeper_look_bytes_total", "Bytes read and written for asking", own.bytes as f64),
            ("keeper_look_age_seconds", "Time since the last round began", own.age),
            ("keeper_look_seconds", "How long that took", own.took),
            ("keeper_unheard", "Addresses from which no name was ever heard", unheard as f64),
            ("keeper_odd_figures_total", "Figures told that the exporter does not know", odd as f64),
        ]
        .map(|(name, help, value)| Family { name, help, series: vec![(Vec::new(), value)] }),
    );
    let mut registry = Registry::default();
    registry.register_collector(Box::new(Page(page)));
    let mut text = String::new();
    prometheus_text::encode(&mut text, &registry)?;
    Ok(text)
}
