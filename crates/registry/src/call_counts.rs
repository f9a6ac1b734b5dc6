//! Counts of answered control calls.

use std::collections::BTreeMap;

use pinerelay_peer_link::message::Metric;

use crate::control_call::CallError;

/// Counts answers by HTTP status and logs unknown calls.
#[derive(Debug, Default)]
pub struct CallCounts {
    by_status: BTreeMap<u16, u64>,
    /// The name of the last unknown call: repetitions of it are not logged.
    last_unknown: Option<String>,
}

impl CallCounts {
    /// Counts an answer with this HTTP status.
    pub fn count(&mut self, status: u16) {
        *self.by_status.entry(status).or_default() += 1;
    }

    /// Logs the name of an unknown call, unless the last unknown call had the same name.
    pub fn log_unknown_call(&mut self, error: &CallError) {
        let CallError::UnknownCall(name) = error else { return };
        if self.last_unknown.as_ref() != Some(name) {
            log::warn!("rejected unknown call {name:?}");
            self.last_unknown = Some(name.clone());
        }
    }

    /// The counts as metrics.
    pub fn metrics(&self) -> impl Iterator<Item = Metric> + '_ {
        self.by_status.iter().map(|(status, count)| {
            Metric::new(format!("registry_answers_total{{status=\"{status}\"}}"), *count as f64)
        })
    }
}
