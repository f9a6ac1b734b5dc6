//! One store's writes and reads: the turns that it takes with the voters.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_cells::call::{self, Unfit};
use pinerelay_cells::{judge, Cells, Item};

use crate::word::{Ballot, Name, Pending, Word};

/// Microseconds.
pub type Micros = u64;

/// A turn without an end by then is given up: what it asked may have got lost.
const TURN: Micros = 300_000;
/// A call without an end by then gets none: its caller moves on after a second of silence.
const PATIENCE: Micros = 850_000;
/// After a higher ballot was met the next turn waits so long, and up to so much more by lot.
const PAUSE: Micros = 10_000;
const PAUSE_LOT: Micros = 60_000;

/// What an operator calls for.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Request {
    /// These items, all or none.
    Update(Vec<Item>),
    /// All that stands.
    Read,
    /// Nothing: what may have been agreed on and is not known to be, is to be settled.
    Mend,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Reply {
    /// Acknowledged.
    Taken,
    /// What stands, laid out as in the operator's first call.
    Stands(String),
    /// Invalid: nothing of it is in force, or will be.
    Invalid(Unfit),
    /// Not known: it may be in force, or may yet be.
    Unsure,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Promise {
    life: u64,
    at: Ballot,
    pending: Pending,
    cells: Option<Vec<Item>>,
    put: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Turn {
    ballot: Ballot,
    begun: Micros,
    promises: BTreeMap<Name, Promise>,
    /// What is put, once enough have promised, and the calls that it answers.
    batch: Option<Vec<Item>>,
    answers: Vec<(u64, Reply)>,
    kept: BTreeSet<Name>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Waiting {
    id: u64,
    request: Request,
    since: Micros,
}

/// What the caller wants done.
pub enum Step {
    /// Say this to a voter.
    Say(Name, Word),
    /// This has been agreed on: settle it everywhere.
    Agreed(Ballot, Vec<Item>),
    /// A call has ended.
    Answer(u64, Reply),
}

/// The caller of one store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Caller {
    me: u64,
    random: u64,
    voters: Vec<Name>,
    /// How many must keep an item: a majority, and one more than may be lost at once.
    quorum: usize,
    highest: Ballot,
    waiting: Vec<Waiting>,
    turn: Option<Turn>,
    /// No new turn before this.
    rest: Micros,
}

impl Caller {
    /// One without a call. `me` is another at each store, `losses` are the machines that may be lost at once.
    pub fn new(me: u64, random: u64, voters: Vec<Name>, losses: usize) -> Caller {
        let quorum = (voters.len() / 2 + 1).max((losses + 1).min(voters.len()));
        Caller { me, random, voters, quorum, ..Caller::default() }
    }

    /// Whether a call waits or a turn is under way.
    pub fn busy(&self) -> bool {
        self.turn.is_some() || !self.waiting.is_empty()
    }

    /// Takes a call.
    pub fn call(
        &mut self,
        now: Micros,
        id: u64,
        request: Request,
        own: &Cells,
        seen: Ballot,
        out: &mut Vec<Step>,
    ) {
        self.waiting.push(Waiting { id, request, since: now });
        self.begin(now, own, seen, out);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, own: &Cells, seen: Ballot, out: &mut Vec<Step>) {
        if self.turn.as_ref().is_some_and(|turn| now >= turn.begun + TURN) {
            self.turn = None;
        }
        let (late, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w: &Waiting| now >= w.since.saturating_add(PATIENCE));
        self.waiting = waiting;
        out.extend(late.into_iter().map(|w| Step::Answer(w.id, Reply::Unsure)));
        self.begin(now, own, seen, out);
    }

    fn begin(&mut self, now: Micros, own: &Cells, seen: Ballot, out: &mut Vec<Step>) {
        if self.turn.is_some() || self.waiting.is_empty() || now < self.rest || self.voters.is_empty() {
            return;
        }
        let ballot = Ballot(self.highest.0.max(seen.0) + 1, self.me);
        self.highest = ballot;
        self.turn = Some(Turn {
            ballot,
            begun: now,
            promises: BTreeMap::new(),
            batch: None,
            answers: Vec::new(),
            kept: BTreeSet::new(),
        });
        let digest = own.digest();
        out.extend(self.voters.iter().map(|v| Step::Say(v.clone(), Word::Ask { ballot, digest })));
    }

    /// A voter's answer. `own` are the settled items here.
    pub fn heard(&mut self, now: Micros, from: &str, word: Word, own: &Cells, out: &mut Vec<Step>) {
        match word {
            Word::Deny { ballot, higher } => {
                self.highest = self.highest.max(higher);
                if self.turn.as_ref().is_some_and(|turn| turn.ballot == ballot) {
                    self.random = pinerelay_cells::hash::mix(self.random.wrapping_add(0x9e37_79b9_7f4a_7c15));
                    self.rest = now + PAUSE + self.random % PAUSE_LOT;
                    self.turn = None;
                }
            }
            Word::Promise { ballot, life, at, pending, cells } => {
                let Some(turn) = self.turn.as_mut().filter(|turn| turn.ballot == ballot) else { return };
                let promise = Promise { life, at, pending, cells, put: false };
                turn.promises.entry(from.into()).or_insert(promise);
                if turn.batch.is_none() && turn.promises.len() >= self.quorum {
                    self.decide(own, out);
                }
                self.put(out);
            }
            Word::Kept { ballot } => {
                let Some(turn) = self.turn.as_mut().filter(|turn| turn.ballot == ballot) else { return };
                turn.kept.insert(from.into());
                if turn.kept.len() >= self.quorum {
                    if let Some(Turn { ballot, batch: Some(batch), answers, .. }) = self.turn.take() {
                        out.push(Step::Agreed(ballot, batch));
                        self.answer(answers, out);
                    }
                }
            }
            _ => {}
        }
    }

    fn answer(&mut self, answers: Vec<(u64, Reply)>, out: &mut Vec<Step>) {
        let ended: BTreeSet<u64> = answers.iter().map(|(id, _)| *id).collect();
        // One whose time had run out has been answered already.
        let open: BTreeSet<u64> = self.waiting.iter().map(|w| w.id).collect();
        self.waiting.retain(|w| !ended.contains(&w.id));
        out.extend(
            answers.into_iter().filter(|(id, _)| open.contains(id)).map(|(id, r)| Step::Answer(id, r)),
        );
    }

    /// Enough have promised: what stands is known, and what of the calls fits it.
    fn decide(&mut self, own: &Cells, out: &mut Vec<Step>) {
        let Some(turn) = self.turn.as_mut() else { return };
        let mut base = own.clone();
        for cells in turn.promises.values().filter_map(|p| p.cells.as_ref()) {
            base.merge_all(cells.iter().cloned());
        }
        // What was put under a ballot lower than another's highest has not been agreed on, or is settled there.
        let last = turn.promises.values().max_by_key(|p| p.at);
        let mut batch = last.and_then(|p| p.pending.clone()).unwrap_or_default();
        let mut next = base;
        next.merge_all(batch.iter().cloned());
        let mut read = Vec::new();
        for Waiting { id, request, .. } in &self.waiting {
            match request {
                Request::Mend => turn.answers.push((*id, Reply::Taken)),
                Request::Read => read.push(*id),
                Request::Update(items) => match judge::taken(&next, items) {
                    Ok(newer) => {
                        next.merge_all(newer.iter().cloned());
                        batch.extend(newer);
                        turn.answers.push((*id, Reply::Taken));
                    }
                    Err(unfit) => turn.answers.push((*id, Reply::Invalid(unfit))),
                },
            }
        }
        if !read.is_empty() {
            let text = call::write(&next);
            turn.answers.extend(read.into_iter().map(|id| (id, Reply::Stands(text.clone()))));
        }
        if batch.is_empty() {
            let answers = std::mem::take(&mut turn.answers);
            self.turn = None;
            self.answer(answers, out);
        } else {
            turn.batch = Some(batch);
        }
    }

    fn put(&mut self, out: &mut Vec<Step>) {
        let Some(Turn { ballot, promises, batch: Some(batch), .. }) = &mut self.turn else { return };
        for (voter, promise) in promises.iter_mut().filter(|(_, promise)| !promise.put) {
            promise.put = true;
            let word = Word::Put { ballot: *ballot, life: promise.life, batch: batch.clone() };
            out.push(Step::Say(voter.clone(), word));
        }
    }
}
