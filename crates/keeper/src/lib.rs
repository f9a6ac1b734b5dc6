//! The exporter: reads the figures of all processes over the internal ports, serves them as Prometheus text, and tells by
//! rules what is wrong.

pub mod alerts;
pub mod command;
pub mod figures;
pub mod page;
pub mod rules;
pub mod run;
pub mod watch;
