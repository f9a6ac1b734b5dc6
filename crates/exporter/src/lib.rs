//! Metrics exporter: polls the metrics of all processes over the internal ports, serves them as Prometheus text, and evaluates
//! alert rules.
//!
//! - [`process_table`]: the known processes, when each may be queried, and its last answer;
//! - [`metric_names`]: the known metrics, and the parser of their names;
//! - [`rules`]: the alert rules file; [`alerts`]: evaluates the rules;
//! - [`observation`]: the input of the rules; [`exporter`]: polls the processes;
//! - [`exposition`]: renders all metrics as text; [`http`]: serves the text;
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

/// A time in microseconds since the exporter started.
pub type Micros = u64;
