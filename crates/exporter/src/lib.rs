//! The exporter: reads the metrics of all processes over the internal ports, serves them as Prometheus text, and raises alerts by
//! rules.
//!
//! - [`process_table`]: which processes there are, when each may be queried, and what it answered last;
//! - [`metric_names`]: the metrics that are known, and how a process writes their names;
//! - [`rules`]: the file of alert rules; [`alerts`]: which alerts are raised by them;
//! - [`exposition`]: all of it as text; [`exporter`]: queries the processes; [`http`]: serves the text;
//! - [`command`]: the command line.

pub mod alerts;
pub mod command;
pub mod exporter;
pub mod exposition;
pub mod http;
pub mod metric_names;
pub mod observation;
pub mod process_table;
pub mod rules;

/// Microseconds of the exporter's clock.
pub type Micros = u64;
