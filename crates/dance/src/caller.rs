//! One store's writes and reads: the turns that it takes with the voters.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_cells::call::{self, Unfit};
use pinerelay_cells::judge::Standing;
use pinerelay_cells::{Cells, Item};

use crate::range;
use crate::word::{Ballot, Batch, Member, Membership, Name, Pending, Word};

/// Microseconds.
pub type Micros = u64;

/// A turn without an end by then is given up: what it asked may have got lost.
const TURN: Micros = 300_000;
/// A call without an end by then gets none: its caller moves on after a second of silence.
const PATIENCE: Micros = 750_000;
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
    /// These vote from now on, if no other change of the membership comes first.
    Change(Membership),
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
    incarnation: u64,
    at: Ballot,
    pending: Pending,
    ranges: Vec<u64>,
    cells: Vec<Item>,
    put: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Turn {
    ballot: Ballot,
    begun: Micros,
    asked: BTreeSet<Name>,
    promises: BTreeMap<Name, Promise>,
    /// What is put, once enough have promised, and the calls that it answers.
    batch: Option<Batch>,
    answers: Vec<(u64, Reply)>,
    kept: BTreeSet<Member>,
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
    Agreed(Ballot, Batch),
    /// A call has ended.
    Answer(u64, Reply),
}

/// The caller of one store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Caller {
    /// What tells its ballots from all others': of the store and of its life.
    tie: u64,
    random: u64,
    membership: Membership,
    losses: usize,
    highest: Ballot,
    waiting: Vec<Waiting>,
    turn: Option<Turn>,
    /// No new turn before this.
    rest: Micros,
}

/// Whether enough members are among these: a majority, and one more than may be lost at once.
fn quorum(membership: &Membership, losses: usize, among: impl Fn(&Member) -> bool) -> bool {
    let all = membership.members.len();
    let least = (all / 2 + 1).max((losses + 1).min(all));
    membership.members.iter().filter(|member| among(member)).count() >= least
}

impl Caller {
    /// One without a call. `tie` is another in each life of each store, `losses` are the machines that may be lost at once.
    pub fn new(tie: u64, losses: usize) -> Caller {
        Caller { tie, random: tie, losses, ..Caller::default() }
    }

    /// Who votes by now. A turn with those before is given up; what it was to do is done in another.
    pub fn elect(&mut self, membership: Membership) {
        self.membership = membership;
        self.turn = None;
    }

    /// Others know of a ballot as high as this.
    pub fn know(&mut self, highest: Ballot) {
        self.highest = self.highest.max(highest);
    }

    /// Whether enough of who votes are among these.
    pub fn quorum(&self, among: impl Fn(&Member) -> bool) -> bool {
        quorum(&self.membership, self.losses, among)
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

    /// A call has no caller any more. Danger: he asks elsewhere by now, and may be refused there; so it is not begun again.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|waiting| waiting.id != id);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, own: &Cells, seen: Ballot, out: &mut Vec<Step>) {
        if self.turn.as_ref().is_some_and(|turn| now >= turn.begun + TURN) {
            self.turn = None;
        }
        self.give_up(now, out);
        self.begin(now, own, seen, out);
    }

    /// Danger: who called has asked elsewhere by then, and may have been refused there. What was late while the process stood
    /// still must not be judged any more.
    fn give_up(&mut self, now: Micros, out: &mut Vec<Step>) {
        let (late, waiting) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|w: &Waiting| now >= w.since.saturating_add(PATIENCE));
        self.waiting = waiting;
        out.extend(late.into_iter().map(|w| Step::Answer(w.id, Reply::Unsure)));
    }

    fn begin(&mut self, now: Micros, own: &Cells, seen: Ballot, out: &mut Vec<Step>) {
        if self.turn.is_some()
            || self.waiting.is_empty()
            || now < self.rest
            || self.membership.members.is_empty()
        {
            return;
        }
        let ballot = Ballot(self.highest.0.max(seen.0) + 1, self.tie);
        self.highest = ballot;
        self.turn = Some(Turn {
            ballot,
            begun: now,
            asked: BTreeSet::new(),
            promises: BTreeMap::new(),
            batch: None,
            answers: Vec::new(),
            kept: BTreeSet::new(),
        });
        let mut names = self.membership.names();
        let changes = self.waiting.iter().filter_map(|w| match &w.request {
            Request::Change(next) if next.epoch == self.membership.epoch + 1 => Some(next.names()),
            _ => None,
        });
        names.extend(changes.flatten());
        self.ask(names, own, out);
    }

    fn ask(&mut self, names: Vec<Name>, own: &Cells, out: &mut Vec<Step>) {
        let Some(turn) = self.turn.as_mut() else { return };
        let new: BTreeSet<Name> = names.into_iter().filter(|name| !turn.asked.contains(name)).collect();
        if new.is_empty() {
            return;
        }
        let (ballot, ranges) = (turn.ballot, range::ranges(own));
        for name in new {
            let (membership, ranges) = (self.membership.clone(), ranges.clone());
            out.push(Step::Say(name.clone(), Word::Ask { ballot, membership, ranges }));
            turn.asked.insert(name);
        }
    }

    /// A voter's answer. `own` are the settled items here, and all that a promise has told of are among them.
    pub fn heard(&mut self, now: Micros, from: &str, word: Word, own: &Standing, out: &mut Vec<Step>) {
        match word {
            Word::Deny { ballot, higher } => {
                self.know(higher);
                if self.turn.as_ref().is_some_and(|turn| turn.ballot == ballot) {
                    self.random = pinerelay_cells::hash::mix(self.random.wrapping_add(0x9e37_79b9_7f4a_7c15));
                    self.rest = now + PAUSE + self.random % PAUSE_LOT;
                    self.turn = None;
                }
            }
            Word::Promise { ballot, incarnation, at, pending, ranges, cells } => {
                let Some(turn) = self.turn.as_mut().filter(|turn| turn.ballot == ballot) else { return };
                let promise = Promise { incarnation, at, pending, ranges, cells, put: false };
                turn.promises.entry(from.into()).or_insert(promise);
                if turn.batch.is_none() {
                    self.decide(now, own, out);
                }
                self.put(own.cells(), out);
            }
            Word::Kept { ballot, incarnation } => {
                let Some(turn) = self.turn.as_mut().filter(|turn| turn.ballot == ballot) else { return };
                // Danger: who keeps it must be who promised: a disk that was lost in between holds nothing else.
                if turn.promises.get(from).is_none_or(|promise| promise.incarnation != incarnation) {
                    return;
                }
                turn.kept.insert(Member { name: from.into(), incarnation });
                let Some(batch) = &turn.batch else { return };
                let enough = |of: &Membership| quorum(of, self.losses, |member| turn.kept.contains(member));
                if enough(&self.membership) && batch.membership.as_ref().is_none_or(enough) {
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

    /// Once enough have promised, what stands is known, and what of the calls fits it.
    fn decide(&mut self, now: Micros, own: &Standing, out: &mut Vec<Step>) {
        self.give_up(now, out);
        let Some(turn) = self.turn.as_mut() else { return };
        let enough = |of: &Membership| {
            quorum(of, self.losses, |m| {
                turn.promises.get(&m.name).is_some_and(|p| p.incarnation == m.incarnation)
            })
        };
        if !enough(&self.membership) {
            return;
        }
        // What was put under a ballot lower than another's highest has not been agreed on, or is among the settled items of
        // who kept that; and so has what is settled under the same one elsewhere.
        let last = turn.promises.values().max_by_key(|p| (p.at, p.pending.is_none()));
        let mut batch = last.and_then(|p| p.pending.clone()).unwrap_or_default();
        let epoch = self.membership.epoch;
        batch.membership = batch.membership.filter(|next| next.epoch > epoch);
        if batch.membership.is_none() {
            let change = self.waiting.iter().find_map(|w| match &w.request {
                Request::Change(next) if next.epoch == epoch + 1 => Some(next.clone()),
                _ => None,
            });
            batch.membership = change;
        }
        // Danger: those who are to vote next may do so already, and what they have agreed on since is known to them alone.
        if let Some(next) = batch.membership.clone().filter(|next| !enough(next)) {
            return self.ask(next.names(), own.cells(), out);
        }
        let mut next = own.overlay();
        next.merge_all(batch.items.iter().cloned());
        let mut read = Vec::new();
        for Waiting { id, request, .. } in &self.waiting {
            match request {
                Request::Mend | Request::Change(_) => turn.answers.push((*id, Reply::Taken)),
                Request::Read => read.push(*id),
                Request::Update(items) => match next.taken(items) {
                    Ok(newer) => {
                        next.merge_all(newer.iter().cloned());
                        batch.items.extend(newer);
                        turn.answers.push((*id, Reply::Taken));
                    }
                    Err(unfit) => turn.answers.push((*id, Reply::Invalid(unfit))),
                },
            }
        }
        if !read.is_empty() {
            let text = match batch.items.is_empty() {
                true => call::write(own.cells()),
                false => call::write(&next.to_cells()),
            };
            turn.answers.extend(read.into_iter().map(|id| (id, Reply::Stands(text.clone()))));
        }
        // What has been overtaken is put again as nothing, or it would be pending for ever, and nobody there ever current.
        let pends = turn.promises.values().any(|promise| promise.pending.is_some());
        if batch == Batch::default() && !pends {
            let answers = std::mem::take(&mut turn.answers);
            self.turn = None;
            self.answer(answers, out);
        } else {
            turn.batch = Some(batch);
        }
    }

    /// Puts the batch to each who has promised, with what it lacks of all that is settled.
    fn put(&mut self, own: &Cells, out: &mut Vec<Step>) {
        let Some(Turn { ballot, promises, batch: Some(batch), .. }) = &mut self.turn else { return };
        let mut ranges = None;
        for (voter, promise) in promises.iter_mut().filter(|(_, promise)| !promise.put) {
            promise.put = true;
            let own_ranges: &Vec<u64> = ranges.get_or_insert_with(|| range::ranges(own));
            let mut theirs = Cells::default();
            theirs.merge_all(std::mem::take(&mut promise.cells));
            let lacks = |item: &&Item| theirs.get(&item.key).is_none_or(|there| there.version < item.version);
            let fill = range::differing(own, own_ranges, &promise.ranges).filter(lacks).cloned().collect();
            let word = Word::Put { ballot: *ballot, fill, batch: batch.clone() };
            out.push(Step::Say(voter.clone(), word));
        }
    }
}
