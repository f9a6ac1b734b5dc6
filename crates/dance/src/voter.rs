//! One store's vote: what it has promised, put and settled.

use pinerelay_cells::{Cells, Item};

use crate::word::{Ballot, Pending, Word};

/// What a voter keeps on disk.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Kept {
    /// Who votes; empty: not known.
    pub voters: Vec<String>,
    /// The highest ballot under which something was put or settled.
    pub at: Ballot,
    /// What was put under it and is not known to be agreed on.
    pub pending: Pending,
    /// The settled items.
    pub cells: Vec<Item>,
}

/// What of it has changed and is to be written, as one.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Change {
    /// Who votes.
    pub voters: Option<Vec<String>>,
    /// The highest ballot, and what is pending under it.
    pub put: Option<(Ballot, Pending)>,
    /// Items that have been settled.
    pub settled: Vec<Item>,
}

/// A voter.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Voter {
    life: u64,
    /// The copy is whole: it may vote. One that came back without its disk has to be handed all that the others hold.
    whole: bool,
    promised: Ballot,
    at: Ballot,
    pending: Pending,
    cells: Cells,
}

impl Voter {
    /// A voter with what it found on its disk. `life` is another in each process.
    pub fn new(life: u64, whole: bool, kept: Kept) -> Voter {
        let mut cells = Cells::default();
        cells.merge_all(kept.cells);
        // A promise of the process before need not be known: what was promised to is put to that process's life.
        Voter { life, whole, promised: kept.at, at: kept.at, pending: kept.pending, cells }
    }

    /// Whether it may vote.
    pub fn whole(&self) -> bool {
        self.whole
    }

    /// The settled items.
    pub fn cells(&self) -> &Cells {
        &self.cells
    }

    /// The highest ballot that it knows of.
    pub fn highest(&self) -> Ballot {
        self.promised.max(self.at)
    }

    /// Whether it holds what is not known to be agreed on.
    pub fn pends(&self) -> bool {
        self.pending.is_some()
    }

    /// The first turn.
    pub fn ask(&mut self, ballot: Ballot, digest: u64) -> Option<Word> {
        if !self.whole {
            return None;
        }
        if ballot <= self.promised {
            return Some(Word::Deny { ballot, higher: self.promised });
        }
        self.promised = ballot;
        let differs = digest != self.cells.digest();
        Some(Word::Promise {
            ballot,
            life: self.life,
            at: self.at,
            pending: self.pending.clone(),
            cells: differs.then(|| self.cells.all().cloned().collect()),
        })
    }

    /// The second turn: what is to be written before [`Word::Kept`] may be said, or why not.
    pub fn put(&mut self, ballot: Ballot, life: u64, batch: Vec<Item>) -> Result<Change, Option<Word>> {
        if !self.whole || life != self.life {
            return Err(None);
        }
        if ballot < self.promised {
            return Err(Some(Word::Deny { ballot, higher: self.promised }));
        }
        (self.promised, self.at, self.pending) = (ballot, ballot, Some(batch));
        Ok(Change { put: Some((ballot, self.pending.clone())), ..Change::default() })
    }

    /// What has been agreed on; the items that are news here, and what is to be written.
    pub fn settle(&mut self, ballot: Ballot, batch: Vec<Item>) -> (Vec<Item>, Change) {
        let news = self.cells.merge_all(batch);
        let mut change = Change { settled: news.clone(), ..Change::default() };
        if ballot >= self.at {
            self.at = ballot;
            if self.pending.take().is_some() {
                change.put = Some((ballot, None));
            }
        }
        (news, change)
    }

    /// Settled items that others hand over.
    pub fn merge(&mut self, items: Vec<Item>) -> (Vec<Item>, Change) {
        let news = self.cells.merge_all(items);
        let change = Change { settled: news.clone(), ..Change::default() };
        (news, change)
    }

    /// All that it holds, for one that has lost its disk.
    pub fn copy(&self, voters: &[String]) -> Option<Word> {
        self.whole.then(|| Word::Copy {
            voters: voters.to_vec(),
            at: self.at,
            pending: self.pending.clone(),
            cells: self.cells.all().cloned().collect(),
        })
    }

    /// Takes all that the others hold; what is to be written before it may vote.
    pub fn restore(&mut self, at: Ballot, pending: Pending, cells: Vec<Item>) -> (Vec<Item>, Change) {
        let news = self.cells.merge_all(cells);
        if at > self.at {
            (self.at, self.pending) = (at, pending);
            self.promised = self.promised.max(at);
        }
        let change =
            Change { put: Some((self.at, self.pending.clone())), settled: news.clone(), voters: None };
        (news, change)
    }

    /// What was restored is on disk.
    pub fn restored(&mut self) {
        self.whole = true;
    }
}
