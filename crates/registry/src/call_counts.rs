//! How calls from outside were answered.

use std::collections::BTreeMap;

use pinerelay_peer_link::message::Metric;

use crate::control_call::CallError;

/// Counts answers.
#[derive(Debug, Default)]
pub struct CallCounts {
    by_status: BTreeMap<u16, u64>,
    /// The last call that is not served here: it is logged once.
    last_unknown: Option<String>,
}

impl CallCounts {
    /// A call was answered.
    pub fn count(&mut self, status: u16) {
        *self.by_status.entry(status).or_default() += 1;
    }

    /// Notes what was asked for that is not served here.
    pub fn note_error(&mut self, error: &CallError) {
        let CallError::UnknownCall(name) = error else { return };
        if self.last_unknown.as_ref() != Some(name) {
            log::warn!("a caller asks for {name:?}, which is not served here");
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
