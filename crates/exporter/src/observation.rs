//! The input of the alert rules.

use std::collections::BTreeMap;

use pinerelay_peer_link::message::Role;

/// The state of one process at one poll.
#[derive(Debug, Clone)]
pub struct Observation {
    /// The role of the process.
    pub role: Role,
    /// The name of its machine.
    pub node: String,
    /// The zone of the machine; empty until it is known.
    pub zone: String,
    /// Identifies a run of the process; differs after a restart.
    pub process_id: u64,
    /// The metrics by name, summed over their labels. For a process that does not answer, only those that the exporter keeps
    /// itself.
    pub metrics: BTreeMap<&'static str, f64>,
}
