//! Configuration of one bounded search: the steps, the bounds and the seeded defect.

use pinerelay_config_state::Item;
use pinerelay_consensus::Micros;
use pinerelay_consensus::PersistentState;
use pinerelay_consensus::Request;

use crate::shared::{Memo, Shared};
use crate::state::{Budget, CallSet, Envelope, Transition};

/// A step of the model.
#[derive(Clone, PartialEq)]
pub enum Step {
    /// Delivers a message that is in flight.
    Deliver {
        envelope: Shared<Envelope>,
        /// The message stays in flight and can be delivered again.
        duplicate: bool,
    },
    /// The oldest unsynced write of this machine becomes durable.
    Sync(usize),
    /// The process on a machine ends. The given number of its unsynced writes become durable first; the others are lost.
    Crash(usize, usize),
    /// The process on this machine ends, and the disk loses its content.
    Wipe(usize),
    /// A process starts on this machine.
    Start(usize),
    /// Makes the call with this index in [`Scope::calls`].
    Call(usize),
    /// The clock of a machine advances by this much, and its store gets a tick.
    Tick(usize, Micros),
}

/// A call that is acknowledged before the search begins.
#[derive(Debug, Clone, Default)]
pub struct PriorCall {
    /// Index in [`Scope::calls`].
    pub call: usize,
    /// Messages to these machines are lost, except those that stay in flight.
    pub unreachable: Vec<usize>,
    /// Each `Commit` stays in flight instead of being delivered.
    pub commits_in_flight: bool,
    /// Writes on these machines stay unsynced.
    pub unsynced_machines: Vec<usize>,
    /// A copy of each promise stays in flight.
    pub duplicate_promises: bool,
}

/// A seeded defect. The store itself is unmodified: the model alters its inputs, outputs or disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// The promise ceiling does not survive a restart.
    ForgetsPromises,
    /// Writes are reported as durable before they are synced.
    ReportsWriteBeforeSync,
    /// `Accept` arrives without the committed items that the acceptor lacks.
    OmitsMissingItems,
    /// A voter that finds an empty disk takes it for the first start of the system.
    TreatsEmptyDiskAsFirstStart,
    /// The membership in a `Commit` is replaced by the receiver's own.
    CommitsUnderReceiverEpoch,
    /// A promise that waited for a write is sent even if its epoch has passed meanwhile.
    PromisesInPastEpoch,
    /// An empty disk is marked as complete.
    MarksEmptyDiskComplete,
    /// Each process of a machine has process id 1, and so the same ballots.
    ReusesBallots,
    /// A `HeartbeatAck` never reports a pending batch.
    HidesPending,
    /// A membership change takes effect without votes of the members before it.
    BypassesOldQuorum,
}

/// A bounded model: machines, calls, fault budget, depth and seeded defect.
#[derive(Debug, Clone)]
pub struct Scope {
    pub name: &'static str,
    pub machine_count: usize,
    /// Number of machines that vote from the beginning, the first ones; the others are spares.
    pub voters: usize,
    /// Each call: the index of its machine, and the request.
    pub calls: Vec<(usize, Request)>,
    pub budget: Budget,
    /// By how much one tick may advance the clock of a store.
    pub clock_advances: Vec<Micros>,
    /// Machines whose writes become durable in a step of their own; elsewhere they do so at once.
    pub delayed_sync: Vec<usize>,
    /// Whether heartbeats and anti-entropy messages are sent.
    pub background_messages: bool,
    /// Calls that are acknowledged before the search begins.
    pub prior_calls: Vec<PriorCall>,
    /// Machines that are stopped before the search begins and never start.
    pub stopped: Vec<usize>,
    /// Machines that were restarted once before the search begins, each with whether the first writes of its new process
    /// are synced. Their ballots are above the promise ceiling on the disks of the others.
    pub restarted: Vec<(usize, bool)>,
    /// Maximum depth; the initial state has depth 1. Properties of states at the maximum depth are not checked, so traces
    /// of up to `depth` - 2 steps are.
    pub depth: usize,
    /// The `sometimes` properties that the search has to reach.
    pub reaches: Vec<&'static str>,
    pub defect: Option<Defect>,
    /// Results of [`pinerelay_consensus::Store::step`].
    pub transitions: Memo<Transition>,
    /// Disks after a write.
    pub disks: Memo<Shared<Option<PersistentState>>>,
    /// Results of the properties that depend only on parts of the state.
    pub property_results: Memo<bool>,
}

impl Scope {
    /// The items of the updates in a set of calls.
    pub fn items(&self, set: CallSet) -> impl Iterator<Item = &Item> {
        let in_set = move |(n, call): (usize, &'_ (usize, Request))| {
            set & (1 << n) != 0 && matches!(call.1, Request::Update(_))
        };
        self.calls.iter().enumerate().filter(move |(n, call)| in_set((*n, call))).flat_map(
            |(_, (_, request))| match request {
                Request::Update(items) => items.as_slice(),
                _ => &[],
            },
        )
    }
}
