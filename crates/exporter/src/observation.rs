//! What the alert rules are applied to.

use std::collections::BTreeMap;

use pinerelay_peer_link::message::Role;

/// What is known of one process at one poll.
#[derive(Debug, Clone)]
pub struct Observation {
    /// Its program.
    pub role: Role,
    /// The name of its machine.
    pub node: String,
    /// That machine's zone; empty until it is known.
    pub zone: String,
    /// Another number in each run of the process.
    pub process_id: u64,
    /// Its metrics by name, those with labels added up. Of a process that does not answer: what is known without it.
    pub metrics: BTreeMap<&'static str, f64>,
}
