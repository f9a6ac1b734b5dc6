//! A store: its vote, its calls, and the mending of what it or another has missed.

use std::collections::{BTreeMap, VecDeque};

use pinerelay_cells::{hash, Cells, Item};

use crate::caller::{Caller, Step};
pub use crate::caller::{Micros, Reply, Request};
use crate::voter::{Change, Kept, Voter};
use crate::word::{Ballot, Membership, Name, Pending, Word};

/// How often digests are told.
const DIGEST: Micros = 1_000_000;
/// What is pending for so long is settled by whoever holds it.
const PENDS: Micros = 500_000;
/// How often one that has lost its disk asks for copies.
const FETCH: Micros = 200_000;
/// The calls that a store makes itself have this number.
const OWN: u64 = u64::MAX;

/// What happens to a store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// Another store has said something.
    Heard(Name, Word),
    /// An operator calls, under a number that comes back with the answer.
    Call(u64, Request),
    /// A change is on disk, or could not be written.
    Written(u64, bool),
    /// Time has passed.
    Tick,
}

/// What a store wants done.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// Say this to another store.
    Say(Name, Word),
    /// Write this, as one and in order; [`Input::Written`] tells its end.
    Write(u64, Change),
    /// A call has ended.
    Answer(u64, Reply),
    /// Items have been settled here.
    News(Vec<Item>),
}

/// What a write is waited for by.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum After {
    /// A voter's word.
    Keep(Name, Ballot),
    /// The copy is whole.
    Restored,
}

/// What a store is told at its start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Birth {
    /// Its name.
    pub me: Name,
    /// Another in each process.
    pub life: u64,
    /// The machines that may be lost at once.
    pub losses: usize,
    /// The system starts for the first time: an empty disk is no loss.
    pub first: bool,
    /// Stores that it has been told of.
    pub seeds: Vec<Name>,
}

/// A store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Store {
    birth: Birth,
    voters: Vec<Name>,
    voter: Voter,
    caller: Caller,
    after: BTreeMap<u64, After>,
    written: u64,
    /// Copies that others have handed over to one that has lost its disk.
    copies: BTreeMap<Name, (Ballot, Pending, Vec<Item>)>,
    restoring: bool,
    pends_since: Option<Micros>,
    digest_at: Micros,
    fetch_at: Micros,
    /// What it says to itself.
    inner: VecDeque<Word>,
}

impl Store {
    /// A store with what it found on its disk, none if that was empty. Says what is to be done first.
    pub fn new(birth: Birth, kept: Option<Kept>, out: &mut Vec<Output>) -> Store {
        let lost = kept.is_none() && !birth.first;
        let fresh = kept.is_none() && birth.first;
        let mut kept = kept.unwrap_or_default();
        if fresh {
            kept.voters = birth.seeds.clone();
            kept.voters.sort();
            kept.voters.dedup();
        }
        let voters = kept.voters.clone();
        let votes = voters.contains(&birth.me);
        let voter = Voter::new(birth.life, votes && !lost && !fresh, kept);
        let mut store = Store {
            caller: Caller::default(),
            voters: Vec::new(),
            voter,
            after: BTreeMap::new(),
            written: 0,
            copies: BTreeMap::new(),
            restoring: false,
            pends_since: None,
            digest_at: 0,
            fetch_at: 0,
            inner: VecDeque::new(),
            birth,
        };
        store.elect(voters);
        if fresh {
            // It must not vote before it would know after an end that it has begun.
            let change = Change { voters: Some(store.voters.clone()), ..Change::default() };
            store.restoring = true;
            store.write(change, votes.then_some(After::Restored), out);
        }
        store
    }

    fn elect(&mut self, voters: Vec<Name>) {
        let me = hash::of(&[self.birth.me.as_bytes()]);
        self.caller = Caller::new(me, self.birth.life, voters.clone(), self.birth.losses);
        self.voters = voters;
    }

    /// The settled items.
    pub fn cells(&self) -> &Cells {
        self.voter.cells()
    }

    /// Whether its copy is whole, and it votes.
    pub fn whole(&self) -> bool {
        self.voter.whole()
    }

    /// Who votes, and since which epoch.
    pub fn membership(&self) -> Membership {
        if self.voters.is_empty() {
            Membership::default()
        } else {
            Membership::first(self.voters.clone())
        }
    }

    /// Whether the copy here held all that was agreed on at a moment of the last while, by a quorum's word.
    pub fn current(&self, _now: Micros) -> bool {
        self.whole()
    }

    /// Who votes.
    pub fn voters(&self) -> &[Name] {
        &self.voters
    }

    /// The stores that it has to reach: those that vote, or as long as it does not know them, those it was told of.
    pub fn others(&self) -> Vec<Name> {
        let all = if self.voters.is_empty() { &self.birth.seeds } else { &self.voters };
        all.iter().filter(|name| **name != self.birth.me).cloned().collect()
    }

    /// Takes one input at the time `now` and appends what is to be done.
    pub fn on(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let mut steps = Vec::new();
        match input {
            Input::Heard(from, word) => self.heard(now, &from, word, &mut steps, out),
            Input::Call(id, request) => {
                let seen = self.voter.highest();
                self.caller.call(now, id, request, self.voter.cells(), seen, &mut steps);
            }
            Input::Written(token, ok) => match self.after.remove(&token) {
                Some(After::Keep(to, ballot)) if ok => self.say(to, Word::Kept { ballot }, out),
                Some(After::Restored) if ok => {
                    self.voter.restored();
                    self.restoring = false;
                }
                Some(After::Restored) => self.restoring = false,
                _ => {}
            },
            Input::Tick => self.tick(now, &mut steps, out),
        }
        loop {
            for step in std::mem::take(&mut steps) {
                match step {
                    Step::Say(to, word) => self.say(to, word, out),
                    Step::Answer(OWN, _) => {}
                    Step::Answer(id, reply) => out.push(Output::Answer(id, reply)),
                    Step::Agreed(ballot, batch) => {
                        for voter in self.voters.clone() {
                            self.say(voter, Word::Settle { ballot, batch: batch.clone() }, out);
                        }
                        if !self.voters.contains(&self.birth.me) {
                            self.inner.push_back(Word::Settle { ballot, batch });
                        }
                    }
                }
            }
            let Some(word) = self.inner.pop_front() else { break };
            let me = self.birth.me.clone();
            self.heard(now, &me, word, &mut steps, out);
        }
        self.pends_since = self.voter.pends().then(|| self.pends_since.unwrap_or(now));
    }

    fn say(&mut self, to: Name, word: Word, out: &mut Vec<Output>) {
        if to == self.birth.me {
            self.inner.push_back(word);
        } else {
            out.push(Output::Say(to, word));
        }
    }

    fn write(&mut self, change: Change, after: Option<After>, out: &mut Vec<Output>) {
        if change == Change::default() {
            return;
        }
        self.written += 1;
        if let Some(after) = after {
            self.after.insert(self.written, after);
        }
        out.push(Output::Write(self.written, change));
    }

    fn news(&mut self, (news, change): (Vec<Item>, Change), out: &mut Vec<Output>) {
        self.write(change, None, out);
        if !news.is_empty() {
            out.push(Output::News(news));
        }
    }

    fn heard(&mut self, now: Micros, from: &str, word: Word, steps: &mut Vec<Step>, out: &mut Vec<Output>) {
        match word {
            Word::Ask { ballot, digest } => {
                if let Some(answer) = self.voter.ask(ballot, digest) {
                    self.say(from.into(), answer, out);
                }
            }
            Word::Put { ballot, life, batch } => match self.voter.put(ballot, life, batch) {
                Ok(change) => self.write(change, Some(After::Keep(from.into(), ballot)), out),
                Err(Some(answer)) => self.say(from.into(), answer, out),
                Err(None) => {}
            },
            Word::Settle { ballot, batch } => {
                let settled = self.voter.settle(ballot, batch);
                self.news(settled, out);
            }
            Word::Promise { .. } | Word::Deny { .. } | Word::Kept { .. } => {
                self.caller.heard(now, from, word, self.voter.cells(), steps);
            }
            Word::Fetch => {
                if let Some(copy) = self.voter.copy(&self.voters) {
                    self.say(from.into(), copy, out);
                }
            }
            Word::Copy { voters, at, pending, cells } => self.copied(from, voters, (at, pending, cells), out),
            Word::Digest(digest) => {
                if digest != self.cells().digest() {
                    self.say(from.into(), Word::Summary { lines: self.cells().summary(), answer: true }, out);
                }
            }
            Word::Summary { lines, answer } => {
                let (newer, behind) = self.cells().beside(&lines);
                if !newer.is_empty() {
                    self.say(from.into(), Word::News(newer), out);
                }
                if behind && answer {
                    self.say(
                        from.into(),
                        Word::Summary { lines: self.cells().summary(), answer: false },
                        out,
                    );
                }
            }
            Word::News(items) => {
                let merged = self.voter.merge(items);
                self.news(merged, out);
            }
        }
    }

    /// Danger: a write may stand on this store's lost disk and on one other. Only the copies of all the others hold all
    /// that was acknowledged.
    fn copied(
        &mut self,
        from: &str,
        voters: Vec<Name>,
        copy: (Ballot, Pending, Vec<Item>),
        out: &mut Vec<Output>,
    ) {
        if self.voters.is_empty() {
            self.elect(voters.clone());
            self.write(Change { voters: Some(voters), ..Change::default() }, None, out);
        }
        let votes = self.voters.contains(&self.birth.me);
        if !votes {
            let merged = self.voter.merge(copy.2);
            return self.news(merged, out);
        }
        if self.voter.whole() || self.restoring || !self.voters.iter().any(|v| v == from) {
            return;
        }
        self.copies.insert(from.into(), copy);
        if self.copies.len() + 1 < self.voters.len() {
            return;
        }
        let copies = std::mem::take(&mut self.copies);
        let last = copies.values().max_by_key(|(at, ..)| *at).map(|(at, pending, _)| (*at, pending.clone()));
        let (at, pending) = last.unwrap_or_default();
        let cells = copies.into_values().flat_map(|(_, _, cells)| cells).collect();
        let (news, change) = self.voter.restore(at, pending, cells);
        self.restoring = true;
        let change = Change { voters: Some(self.voters.clone()), ..change };
        self.write(change, Some(After::Restored), out);
        if !news.is_empty() {
            out.push(Output::News(news));
        }
    }

    fn tick(&mut self, now: Micros, steps: &mut Vec<Step>, out: &mut Vec<Output>) {
        let seen = self.voter.highest();
        // The first of the holders settles it, so that not all do at once.
        let rank = self.voters.iter().position(|v| *v == self.birth.me).unwrap_or(0) as Micros;
        let pends = self.pends_since.is_some_and(|since| now >= since + PENDS + rank * PENDS / 2);
        if pends && !self.caller.busy() {
            self.pends_since = Some(now);
            self.caller.call(now, OWN, Request::Mend, self.voter.cells(), seen, steps);
        }
        self.caller.tick(now, self.voter.cells(), seen, steps);
        let votes = self.voters.contains(&self.birth.me);
        let lost = self.voters.is_empty() || votes && !self.voter.whole() && !self.restoring;
        if lost && now >= self.fetch_at {
            self.fetch_at = now + FETCH;
            out.extend(self.others().into_iter().map(|to| Output::Say(to, Word::Fetch)));
        }
        if now >= self.digest_at {
            self.digest_at = now + DIGEST;
            let digest = self.cells().digest();
            out.extend(self.others().into_iter().map(|to| Output::Say(to, Word::Digest(digest))));
        }
    }
}
