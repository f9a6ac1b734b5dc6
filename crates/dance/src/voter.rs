//! One store's vote: what it has promised, put and settled.

use pinerelay_cells::judge::Standing;
use pinerelay_cells::{Cells, Item};

use crate::range;
use crate::word::{Ballot, Batch, Membership, Pending, Word};

/// Ballots are promised up to a ceiling that is on disk, and it rises by so many at once: a promise outlives its process
/// without a sync of its own.
const CEILING: u64 = 1_000;

/// What a voter keeps on disk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Kept {
    /// Of this disk; none: it was never written.
    pub incarnation: Option<u64>,
    /// It has held all that was agreed on, at some moment.
    pub whole: bool,
    /// Who votes.
    pub membership: Membership,
    /// No ballot with a higher count has been promised.
    pub ceiling: u64,
    /// The highest ballot under which something was put or settled.
    pub at: Ballot,
    /// What was put under it and is not known to be agreed on.
    pub pending: Pending,
    /// The settled items.
    pub cells: Vec<Item>,
}

impl Kept {
    /// What a disk with this on it keeps after a change.
    pub fn write(&mut self, change: &Change) {
        self.incarnation = change.incarnation.or(self.incarnation);
        self.whole |= change.whole;
        if let Some(membership) = &change.membership {
            self.membership.clone_from(membership);
        }
        self.ceiling = change.ceiling.unwrap_or(self.ceiling);
        if let Some((at, pending)) = &change.put {
            (self.at, self.pending) = (*at, pending.clone());
        }
        let mut cells = Cells::default();
        cells.merge_all(std::mem::take(&mut self.cells).into_iter().chain(change.settled.iter().cloned()));
        self.cells = cells.all().cloned().collect();
    }
}

/// What of it has changed and is to be written, as one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Change {
    /// The disk's incarnation.
    pub incarnation: Option<u64>,
    /// It holds all that was agreed on.
    pub whole: bool,
    /// Who votes.
    pub membership: Option<Membership>,
    /// The ceiling of promises.
    pub ceiling: Option<u64>,
    /// The highest ballot, and what is pending under it.
    pub put: Option<(Ballot, Pending)>,
    /// Items that have been settled.
    pub settled: Vec<Item>,
}

impl Change {
    /// Takes what is to be written after it, as if both were one.
    pub fn join(&mut self, more: Change) {
        self.incarnation = more.incarnation.or(self.incarnation.take());
        self.whole |= more.whole;
        self.membership = more.membership.or(self.membership.take());
        self.ceiling = more.ceiling.or(self.ceiling.take());
        self.put = more.put.or(self.put.take());
        self.settled.extend(more.settled);
    }
}

/// A voter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Voter {
    /// None until the disk holds it: before, nothing is promised.
    incarnation: Option<u64>,
    /// The disk says that it has held all that was agreed on.
    whole: bool,
    /// What the disk holds, and what it will once the write under way is safe.
    ceiling: u64,
    rises_to: u64,
    promised: Ballot,
    at: Ballot,
    pending: Pending,
    /// The settled items.
    settled: Standing,
}

/// What comes of the first turn.
pub enum Asked {
    /// This is the answer.
    Answer(Word),
    /// The answer waits for this to be on disk: then [`Voter::promise`] tells it.
    After(Change),
    /// There is none: the disk does not hold yet who this is.
    Silent,
}

/// What comes of the second turn.
pub enum Put {
    /// This is the answer.
    Answer(Word),
    /// [`Word::Kept`] waits for this to be on disk; these items are news here.
    After(Vec<Item>, Change),
    /// There is none.
    Silent,
}

impl Voter {
    /// A voter with what it found on its disk.
    pub fn new(kept: Kept) -> Voter {
        let mut cells = Cells::default();
        cells.merge_all(kept.cells);
        // Danger: the process before may have promised any ballot up to the ceiling. One that takes a lower one breaks it,
        // and two writes can be agreed on without seeing each other.
        let promised = if kept.ceiling > 0 { kept.at.max(Ballot(kept.ceiling, u64::MAX)) } else { kept.at };
        Voter {
            incarnation: kept.incarnation,
            whole: kept.whole,
            ceiling: kept.ceiling,
            rises_to: kept.ceiling,
            promised,
            at: kept.at,
            pending: kept.pending,
            settled: Standing::new(cells),
        }
    }

    /// The disk holds this by now.
    pub fn written(&mut self, change: &Change) {
        self.incarnation = change.incarnation.or(self.incarnation);
        self.whole |= change.whole;
        self.ceiling = self.ceiling.max(change.ceiling.unwrap_or(0));
    }

    /// Of its disk; none: it may not promise anything yet.
    pub fn incarnation(&self) -> Option<u64> {
        self.incarnation
    }

    /// Whether its disk has held all that was agreed on, at some moment.
    pub fn whole(&self) -> bool {
        self.whole
    }

    /// The settled items.
    pub fn cells(&self) -> &Cells {
        self.settled.cells()
    }

    /// The settled items, with what ties them together.
    pub fn settled(&self) -> &Standing {
        &self.settled
    }

    /// The highest ballot that it knows of.
    pub fn highest(&self) -> Ballot {
        self.promised.max(self.at)
    }

    /// Whether it holds what is not known to be agreed on.
    pub fn pends(&self) -> bool {
        self.pending.is_some()
    }

    /// The ceiling that is to be written, if the one on disk is near.
    pub fn rise(&mut self) -> Option<Change> {
        let near = self.highest().0 + CEILING / 2 > self.rises_to;
        near.then(|| {
            self.rises_to = self.highest().0 + CEILING;
            Change { ceiling: Some(self.rises_to), ..Change::default() }
        })
    }

    /// The first turn.
    pub fn ask(&mut self, ballot: Ballot, ranges: &[u64]) -> Asked {
        if self.incarnation.is_none() {
            return Asked::Silent;
        }
        if ballot <= self.promised {
            return Asked::Answer(Word::Deny { ballot, higher: self.promised });
        }
        self.promised = ballot;
        if ballot.0 <= self.ceiling {
            return Asked::Answer(self.promise(ballot, ranges));
        }
        self.rises_to = self.rises_to.max(ballot.0 + CEILING);
        Asked::After(Change { ceiling: Some(self.rises_to), ..Change::default() })
    }

    /// The promise for a ballot, if a higher one has not come meanwhile.
    pub fn promise(&self, ballot: Ballot, ranges: &[u64]) -> Word {
        match self.incarnation {
            Some(incarnation) if ballot == self.promised => {
                let own = range::ranges(self.cells());
                let cells = range::differing(self.cells(), &own, ranges).cloned().collect();
                Word::Promise {
                    ballot,
                    incarnation,
                    at: self.at,
                    pending: self.pending.clone(),
                    ranges: own,
                    cells,
                }
            }
            _ => Word::Deny { ballot, higher: self.promised },
        }
    }

    /// The second turn.
    pub fn put(&mut self, ballot: Ballot, fill: Vec<Item>, batch: Batch) -> Put {
        if self.incarnation.is_none() {
            return Put::Silent;
        }
        if ballot < self.promised {
            return Put::Answer(Word::Deny { ballot, higher: self.promised });
        }
        (self.promised, self.at, self.pending) = (ballot, ballot, Some(batch));
        let news = self.settled.merge_all(fill);
        let put = Some((ballot, self.pending.clone()));
        let change = Change { put, settled: news.clone(), ..Change::default() };
        Put::After(news, change)
    }

    /// What has been agreed on; the items that are news here, and what is to be written.
    pub fn settle(&mut self, ballot: Ballot, items: Vec<Item>) -> (Vec<Item>, Change) {
        let news = self.settled.merge_all(items);
        let mut change = Change { settled: news.clone(), ..Change::default() };
        // What was put under a lower ballot and agreed on, those who kept this one hold as well.
        if ballot >= self.at {
            self.at = ballot;
            self.promised = self.promised.max(ballot);
            if self.pending.take().is_some() {
                change.put = Some((ballot, None));
            }
        }
        (news, change)
    }

    /// Settled items that others hand over.
    pub fn merge(&mut self, items: Vec<Item>) -> (Vec<Item>, Change) {
        let news = self.settled.merge_all(items);
        let change = Change { settled: news.clone(), ..Change::default() };
        (news, change)
    }
}
