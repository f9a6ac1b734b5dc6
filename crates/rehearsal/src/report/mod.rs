//! Reports of a rehearsal: a terminal summary, JSON, and one page that needs nothing beside it.

pub mod html;
pub mod text;

use serde::Serialize;

use crate::run::Outcome;

/// The version of the JSON report's form. It grows by one when a key changes its meaning or goes.
pub const SCHEMA: u32 = 1;

/// The JSON report.
#[derive(Debug, Serialize)]
pub struct Report<'a> {
    /// The version of this form.
    pub schema: u32,
    /// The program's version.
    pub version: &'a str,
    /// The scenario's name.
    pub scenario: &'a str,
    /// What it rehearses.
    pub title: &'a str,
    /// The seed.
    pub seed: u64,
    /// How long the load lasted, in seconds.
    pub seconds: u32,
    /// All that is known after it.
    #[serde(flatten)]
    pub outcome: &'a Outcome,
}

impl<'a> Report<'a> {
    /// The report of an outcome.
    pub fn new(scenario: &'a str, title: &'a str, seed: u64, seconds: u32, outcome: &'a Outcome) -> Self {
        Report { schema: SCHEMA, version: env!("CARGO_PKG_VERSION"), scenario, title, seed, seconds, outcome }
    }
}
