//! What a play measures, and how it is told.

use std::collections::BTreeMap;
use std::fmt;

use pinerelay_peer_link::codec;
use pinerelay_peer_link::message::PeerMessage;

use crate::check::Invariant;
use crate::plan::{Micros, SECOND};

/// The figures of one play, or of many.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// From an acknowledgement until a proxy has it in force.
    pub news: Vec<Micros>,
    /// Bytes said by kind of message: at rest, and while the configuration changes and servers come and go.
    pub bytes: BTreeMap<&'static str, [u64; 2]>,
    /// For how long bytes were counted, at rest and not.
    pub counted: [Micros; 2],
    /// Units that ran of the tenant that asks for more than it may, and how many it might have.
    pub usable: [f64; 2],
    /// From a core's end until each duty was held again.
    pub gaps: Vec<Micros>,
    /// From the end of all faults until all copies were the same and every proxy ready.
    pub heals: Vec<Micros>,
    /// From an operator's first attempt to the acknowledgement.
    pub answers: Vec<Micros>,
    /// How often an invariant was broken whose breaches are counted.
    pub broken: BTreeMap<Invariant, u64>,
    /// How often each thing happened.
    pub times: BTreeMap<&'static str, u64>,
}

impl Figures {
    /// One more of these.
    pub fn count(&mut self, what: &'static str) {
        *self.times.entry(what).or_default() += 1;
    }

    /// A message was said to so many.
    pub fn said(&mut self, speech: &PeerMessage, to: usize, change: bool) {
        let bytes = codec::encode(speech).len() * to;
        self.bytes.entry(kind(speech)).or_default()[usize::from(change)] += bytes as u64;
    }

    /// Takes another play's.
    pub fn join(&mut self, other: Figures) {
        self.news.extend(other.news);
        self.gaps.extend(other.gaps);
        self.heals.extend(other.heals);
        self.answers.extend(other.answers);
        for n in 0..2 {
            self.counted[n] += other.counted[n];
            self.usable[n] += other.usable[n];
        }
        for (kind, bytes) in other.bytes {
            let mine = self.bytes.entry(kind).or_default();
            (mine[0], mine[1]) = (mine[0] + bytes[0], mine[1] + bytes[1]);
        }
        for (what, times) in other.broken {
            *self.broken.entry(what).or_default() += times;
        }
        for (what, times) in other.times {
            *self.times.entry(what).or_default() += times;
        }
    }
}

fn kind(speech: &PeerMessage) -> &'static str {
    match speech {
        PeerMessage::Update(_) => "news",
        PeerMessage::Digests(_) => "digest",
        PeerMessage::Sync { .. } => "mend",
        PeerMessage::Replicate { .. } | PeerMessage::Replicated(_) => "hold",
        PeerMessage::HeartbeatsSeen(_) => "beats",
        PeerMessage::RegistryStatus(_) | PeerMessage::StoreStatus { .. } => "standing",
        PeerMessage::Duty(_) => "fence",
        PeerMessage::LeaseRequests(_) | PeerMessage::LeaseGrants(_) => "units",
        PeerMessage::Consensus(_) => "stores",
        PeerMessage::ForwardCall(..) | PeerMessage::CallReply(..) => "calls",
        _ => "other",
    }
}

/// Middle, 99th of a hundred, and most, in milliseconds.
fn spread(times: &[Micros]) -> String {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let at = |part: f64| {
        let n = ((sorted.len() as f64 * part) as usize).min(sorted.len().saturating_sub(1));
        sorted.get(n).map_or("-".into(), |t| format!("{:.1}", *t as f64 / 1e3))
    };
    format!("p50 {} ms, p99 {} ms, most {} ms of {}", at(0.5), at(0.99), at(1.0), sorted.len())
}

impl fmt::Display for Figures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "acknowledgement:   {}", spread(&self.answers))?;
        writeln!(f, "news to a proxy:   {}", spread(&self.news))?;
        if !self.gaps.is_empty() {
            writeln!(f, "duty not held:     {}", spread(&self.gaps))?;
        }
        if !self.heals.is_empty() {
            writeln!(f, "time to heal:      {}", spread(&self.heals))?;
        }
        if self.usable[1] > 0.0 {
            writeln!(f, "quota used:        {:.1} %", 100.0 * self.usable[0] / self.usable[1])?;
        }
        if self.counted[0] > 0 && self.counted[1] > 0 {
            let each =
                |bytes: &[u64; 2]| [0, 1].map(|n| bytes[n] as f64 * SECOND as f64 / self.counted[n] as f64);
            writeln!(f, "bytes a second     at rest   under change")?;
            let mut all = [0; 2];
            for (kind, bytes) in &self.bytes {
                let [rest, change] = each(bytes);
                writeln!(f, "  {kind:<12} {rest:>11.0} {change:>14.0}")?;
                all = [all[0] + bytes[0], all[1] + bytes[1]];
            }
            let [rest, change] = each(&all);
            writeln!(f, "  {:<12} {rest:>11.0} {change:>14.0}", "all")?;
        }
        for (invariant, times) in &self.broken {
            writeln!(f, "broken:            {invariant:?} {times} times")?;
        }
        let times: Vec<String> = self.times.iter().map(|(what, n)| format!("{what} {n}")).collect();
        write!(f, "happened:          {}", times.join(", "))
    }
}
