//! The invariants, and how a breach of one is told.

use thiserror::Error;

use crate::plan::Micros;

/// An invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// What was acknowledged stands on a read at any core.
    Stands,
    /// What stands together is valid, and nothing refused is in force.
    Valid,
    /// In one life no proxy goes back.
    NeverBack,
    /// What was acknowledged is in force at who is in touch.
    Applied,
    /// Nobody in touch uses a server that has left.
    Drained,
    /// No tenant runs more than its quota in any window.
    Quota,
    /// Two never act for one duty.
    OneDuty,
    /// After the faults all copies are the same, and every proxy is ready.
    Heals,
    /// What was confirmed is on enough synced disks at every moment.
    Copies,
    /// Under one revision one content is confirmed.
    OneContent,
    /// An order that was taken is never refused.
    NeverRefused,
    /// Each answer belongs to a call of this life of its process, and none is answered twice.
    WhoseAnswer,
    /// Who is cut off from the core confirms and refuses no order, read or leaving.
    CutOff,
    /// Who has been cut off from the core for a while confirms no heartbeats.
    Beats,
    /// A configuration that a proxy serves as confirmed lacks nothing that was acknowledged a while ago.
    NeverOld,
    /// A proxy serves what no registry has confirmed only after it was in touch with no current one for long enough.
    Unconfirmed,
    /// A machine that comes back has all that it missed within the time that it counts as lost.
    CaughtUp,
    /// No proxy puts a table in force that lacks a part of the first configuration, once that was acknowledged.
    InPart,
}

impl Invariant {
    /// All of them.
    pub const ALL: [Invariant; 18] = [
        Invariant::Stands,
        Invariant::Valid,
        Invariant::NeverBack,
        Invariant::Applied,
        Invariant::Drained,
        Invariant::Quota,
        Invariant::OneDuty,
        Invariant::Heals,
        Invariant::Copies,
        Invariant::OneContent,
        Invariant::NeverRefused,
        Invariant::WhoseAnswer,
        Invariant::CutOff,
        Invariant::Beats,
        Invariant::NeverOld,
        Invariant::Unconfirmed,
        Invariant::CaughtUp,
        Invariant::InPart,
    ];

    /// The one of this name.
    pub fn named(name: &str) -> Option<Invariant> {
        Invariant::ALL.into_iter().find(|invariant| format!("{invariant:?}") == name)
    }
}

/// What was broken, and when.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("seed {seed} at {:.3} s: {invariant:?}: {what}", *at as f64 / 1e6)]
pub struct Breach {
    /// The play's.
    pub seed: u64,
    /// When.
    pub at: Micros,
    /// Which invariant.
    pub invariant: Invariant,
    /// What was seen.
    pub what: String,
    /// The faults before it: when, what, and the number of whose process or machine.
    pub trail: Vec<(Micros, &'static str, usize)>,
}
