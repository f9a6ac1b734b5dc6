//! The learned state that one process of a node hands over to the next one.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::control::{Controller, FAIL_SPAN, RATE_SPAN};
use crate::interface::{Micros, ServerId};
use crate::measure::{DecayingMean, Rate};

/// How attempts ended, by kind: the kind (class or plan), how many there were, and how many of them failed.
/// The counts decay over time.
pub type Ends = Vec<(usize, f64, f64)>;

/// What a node has learned of the servers, for the process that takes over from it. It holds no leases and no
/// promises: these stay with the process that granted them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Memory {
    /// Mean latency, its mean deviation, and the usual latency of warm servers, in microseconds.
    pub latency: [f64; 3],
    /// What a warm server of size 1 answers for this node, and what the node sends, in requests per second.
    pub rates: [f64; 2],
    /// For how long the first of these rates and the last of the latencies were measured, in microseconds.
    #[serde(default)]
    pub measured: f64,
    /// How attempts ended over all servers.
    pub tally: Ends,
    /// By server id: its mean latency in microseconds, and how attempts ended there.
    pub servers: Vec<(u32, f64, Ends)>,
}

impl Controller {
    /// Exports what this node has learned of the servers.
    pub fn memory(&self) -> Memory {
        let ends = |tally: &BTreeMap<usize, DecayingMean>| {
            let get = |r: &Rate| r.get(self.now, FAIL_SPAN);
            tally.iter().map(|(&kind, t)| (kind, get(&t.count), get(&t.sum))).collect()
        };
        let servers = self.servers.iter().map(|(id, s)| (id.0, s.latency, ends(&s.failures)));
        Memory {
            latency: [self.latency, self.deviation, self.base],
            measured: self.warm_measured_for,
            rates: [self.warm_rate.value, self.send_rate.get(self.now, RATE_SPAN)],
            tally: ends(&self.failures),
            servers: servers.collect(),
        }
    }

    /// Imports what the previous process had learned. A node without it sends everything to the few servers
    /// that are warm, and learns again at its clients' cost which ones fail.
    pub fn restore(&mut self, now: Micros, memory: &Memory) {
        let rate = |value| Rate { value, at: now };
        let means = |tally: &[(usize, f64, f64)]| {
            let each =
                |&(kind, attempts, failed)| (kind, DecayingMean { count: rate(attempts), sum: rate(failed) });
            tally.iter().map(each).collect::<BTreeMap<_, _>>()
        };
        [self.latency, self.deviation, self.base] = memory.latency;
        self.warm_measured_for = memory.measured;
        // A version that does not report how long it measured took servers of any size for size 1.
        let warm_rate = if memory.measured > 0.0 { memory.rates[0] } else { 0.0 };
        (self.warm_rate, self.send_rate) = (rate(warm_rate), rate(memory.rates[1]));
        self.failures = means(&memory.tally);
        let servers = memory.servers.iter().map(|(id, latency, t)| (ServerId(*id), (*latency, means(t))));
        self.restored = servers.collect();
    }
}
