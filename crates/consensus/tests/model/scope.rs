//! What is played: the steps, the bounds, and what is tampered with.

use pinerelay_config_state::Item;
use pinerelay_consensus::Micros;
use pinerelay_consensus::PersistentState;
use pinerelay_consensus::Request;

use crate::shared::{Memo, Shared};
use crate::state::{Calls, Left, Said, Turned};

#[derive(Clone, PartialEq)]
pub enum Step {
    Hear {
        said: Shared<Said>,
        again: bool,
    },
    Sync(usize),
    /// So many of its unsynced writes get to the disk.
    Crash(usize, usize),
    Wipe(usize),
    Start(usize),
    Call(usize),
    Tick(usize, Micros),
}

/// A call that is made and answered before the search begins, where these machines hear nothing, and what
/// tells of its end may still be on the way.
#[derive(Debug, Clone, Default)]
pub struct Before {
    pub call: usize,
    pub deaf: Vec<usize>,
    pub untold: bool,
    /// What these write stays unwritten.
    pub unsynced: Vec<usize>,
    /// Promises are heard, and stay on the way.
    pub doubled: bool,
}

/// What a store is made to do wrong, by what it is given and what is taken from it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// The ceiling of its promises is gone with a process.
    ForgetsPromises,
    /// It tells what is not on its disk yet.
    TellsUnsynced,
    /// What a voter lacks does not come with a put.
    LeavesOutFill,
    /// An empty disk is the one at the system's first start.
    TakesEmptyDiskForFirst,
    /// What is settled counts under the epoch of who hears of it.
    SettlesUnderOwnEpoch,
    /// A promise that had to wait for the disk does not ask whether the epoch is past.
    PromisesInPastEpoch,
    /// An empty disk says that it has held everything.
    TakesEmptyDiskForWhole,
    /// Each life counts as the first.
    ReusesBallots,
    /// A copy is confirmed by one that has something pending.
    HidesPending,
    /// A change of the membership takes force without the members before it.
    LeavesOutOldMembers,
}

/// What is played: how many of each there may be, and what is tampered with.
#[derive(Debug, Clone)]
pub struct Scope {
    pub name: &'static str,
    pub cores: usize,
    /// The first of them vote from the beginning; the others are new.
    pub voters: usize,
    /// At which machine, and what.
    pub calls: Vec<(usize, Request)>,
    pub left: Left,
    /// By how much a store's clock may go on at once.
    pub jumps: Vec<Micros>,
    /// What is written here gets to the disk in a step of its own, elsewhere at once.
    pub late: Vec<usize>,
    /// Digests and summaries are told, too.
    pub digests: bool,
    /// Calls that are made and answered before.
    pub already: Vec<Before>,
    /// These are off, and never start.
    pub off: Vec<usize>,
    /// These have ended and started once before: their ballots are above what the others' disks allow them to promise.
    /// Of some not even what they wrote at their start is on disk.
    pub restarted: Vec<(usize, bool)>,
    /// States are reached so deep, the first as 1. What a state of the last depth breaks is not looked at, so
    /// all of two steps less is.
    pub depth: usize,
    /// What it has to meet.
    pub meets: Vec<&'static str>,
    pub defect: Option<Defect>,
    pub turned: Memo<Turned>,
    pub disks: Memo<Shared<Option<PersistentState>>>,
    pub judged: Memo<bool>,
}

impl Scope {
    pub fn items(&self, set: Calls) -> impl Iterator<Item = &Item> {
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
