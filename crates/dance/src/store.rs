//! A store: its vote, its calls, and the mending of what it or another has missed.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pinerelay_cells::merkle::Part;
use pinerelay_cells::{hash, Cells, Item};

use crate::caller::{Caller, Step};
pub use crate::caller::{Micros, Reply, Request};
use crate::presence::Presence;
use crate::voter::{Asked, Change, Kept, Put, Voter};
use crate::word::{Ballot, Batch, Member, Membership, Name, Word};

/// A copy counts as current for so long after a quorum has confirmed that it is.
pub const CURRENT: Micros = 2_000_000;
/// How often digests are told, and how often by one that is not current, or does not vote and should.
const DIGEST: Micros = 500_000;
const LOST: Micros = 100_000;
/// What is pending for so long is settled by whoever holds it.
const PENDS: Micros = 500_000;
/// After a change of the members' names the next change waits so long: whoever acts by the word of the one before has stopped
/// by then, so that two epochs at once are all that others have to think of.
pub const PACE: Micros = 4_400_000;
/// A change of who votes waits so long for each member before this one, so that not all propose it at once.
const TURNS: Micros = 300_000;
/// The calls that a store makes itself have this number.
const OWN: u64 = u64::MAX;

/// What happens to a store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// Another store has said something.
    Heard(Name, Word),
    /// An operator calls, under a number that comes back with the answer.
    Call(u64, Request),
    /// Whoever waits for this call's answer has gone: what is not put yet is not to be.
    Cancel(u64),
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
    /// A caller, whose batch is kept then.
    Keep(Name, Ballot),
    /// A caller of this epoch, who has the promise then; the ceiling that is written.
    Promise { to: Name, epoch: u64, ballot: Ballot, ranges: Vec<u64>, ceiling: Option<u64> },
    /// Nobody; the vote counts on it.
    Known(Change),
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
    membership: Membership,
    /// When it was learned.
    learned: Micros,
    voter: Voter,
    caller: Caller,
    presence: Presence,
    after: BTreeMap<u64, After>,
    written: u64,
    pends_since: Option<Micros>,
    /// Who should vote in place of whom, and since when.
    due: Option<(Vec<Member>, Micros)>,
    digest_at: Micros,
    /// By when they were asked: who has said that its copy is this one.
    confirmed: BTreeMap<Micros, BTreeSet<Member>>,
    /// When the copy here last held all that was agreed on.
    current_at: Option<Micros>,
    /// What it says to itself.
    inner: VecDeque<Word>,
}

impl Store {
    /// A store with what it found on its disk, none if that was empty. Says what is to be done first.
    pub fn new(birth: Birth, kept: Option<Kept>, out: &mut Vec<Output>) -> Store {
        let mut kept = kept.unwrap_or_default();
        let fresh = kept.incarnation.is_none();
        // One that does not know who it was has lost its disk, and is another member from now on.
        let incarnation = if birth.first { 0 } else { birth.life.max(1) };
        if fresh && birth.first {
            kept.membership = Membership::first(birth.seeds.clone());
        }
        let membership = kept.membership.clone();
        let tie = hash::of(&[birth.me.as_bytes(), &birth.life.to_le_bytes()]);
        let mut store = Store {
            caller: Caller::new(tie, birth.losses),
            membership: Membership::default(),
            learned: 0,
            voter: Voter::new(kept),
            presence: Presence::new(birth.me.clone()),
            after: BTreeMap::new(),
            written: 0,
            pends_since: None,
            due: None,
            digest_at: 0,
            confirmed: BTreeMap::new(),
            current_at: None,
            inner: VecDeque::new(),
            birth,
        };
        store.adopt(0, membership);
        // It must not vote before it would know after an end that it has begun.
        let mut change = store.voter.rise().unwrap_or_default();
        if fresh {
            change.incarnation = Some(incarnation);
            // At the system's first start there is nothing that it lacks.
            change.whole = store.birth.first;
            change.membership = Some(store.membership.clone());
        }
        store.write(change.clone(), Some(After::Known(change)), out);
        store
    }

    fn adopt(&mut self, now: Micros, membership: Membership) -> bool {
        if membership.epoch <= self.membership.epoch {
            return false;
        }
        self.caller.elect(membership.clone());
        self.membership = membership;
        self.learned = now;
        self.confirmed.clear();
        self.due = None;
        true
    }

    /// Takes a membership that has been agreed on.
    fn learn(&mut self, now: Micros, membership: Membership, out: &mut Vec<Output>) {
        if self.adopt(now, membership) {
            let change = Change { membership: Some(self.membership.clone()), ..Change::default() };
            self.write(change, None, out);
        }
    }

    /// The settled items.
    pub fn cells(&self) -> &Cells {
        self.voter.cells()
    }

    /// Who votes, and since which epoch.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Whether it votes.
    pub fn votes(&self) -> bool {
        let me = |m: &Member| m.name == self.birth.me && Some(m.incarnation) == self.voter.incarnation();
        self.membership.members.iter().any(me)
    }

    /// Whether its copy is whole: by a quorum's word it has held all that was agreed on, in this life or on the disk that
    /// it votes with.
    pub fn whole(&self) -> bool {
        self.current_at.is_some() || self.voter.whole() && self.votes()
    }

    /// Whether its copy held all that was agreed on at a moment of the last [`CURRENT`], by a quorum's word.
    pub fn current(&self, now: Micros) -> bool {
        self.lease_left(now) > 0
    }

    /// For how much longer its copy counts as current; 0: it does not.
    pub fn lease_left(&self, now: Micros) -> Micros {
        self.current_at.map_or(0, |at| (at + CURRENT).saturating_sub(now))
    }

    /// The stores that it has to reach: those that vote, and those it was told of.
    pub fn others(&self) -> Vec<Name> {
        let all: BTreeSet<Name> =
            self.membership.names().into_iter().chain(self.birth.seeds.clone()).collect();
        all.into_iter().filter(|name| *name != self.birth.me).collect()
    }

    /// Takes one input at the time `now` and appends what is to be done.
    pub fn on(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let mut steps = Vec::new();
        match input {
            Input::Heard(from, word) if word.is_plausible() => {
                self.heard(now, &from, word, &mut steps, out);
            }
            Input::Heard(..) => {}
            Input::Call(id, request) => {
                let seen = self.voter.highest();
                self.caller.call(now, id, request, self.voter.cells(), seen, &mut steps);
            }
            Input::Cancel(id) => self.caller.cancel(id),
            Input::Written(token, ok) => match self.after.remove(&token) {
                Some(After::Keep(to, ballot)) if ok => {
                    let incarnation = self.voter.incarnation();
                    if let Some(incarnation) = incarnation {
                        self.say(to, Word::Kept { ballot, incarnation }, out);
                    }
                }
                Some(After::Promise { to, epoch, ballot, ranges, ceiling }) if ok => {
                    self.voter.written(&Change { ceiling, ..Change::default() });
                    // Danger: what was pending may have been settled meanwhile, a change of who votes with it.
                    let answer = if epoch < self.membership.epoch {
                        Word::Members(self.membership.clone())
                    } else {
                        self.voter.promise(ballot, &ranges)
                    };
                    self.say(to, answer, out);
                }
                Some(After::Known(change)) if ok => self.voter.written(&change),
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
                    Step::Agreed(ballot, batch) => self.agreed(now, ballot, batch, out),
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
        self.tell(news, out);
    }

    /// Tells all whom it concerns, those that do not vote as well.
    fn agreed(&mut self, now: Micros, ballot: Ballot, batch: Batch, out: &mut Vec<Output>) {
        let next = batch.membership.as_ref().map(Membership::names).unwrap_or_default();
        let mut to: BTreeSet<Name> = self.membership.names().into_iter().chain(next).collect();
        to.extend(self.presence.heard(now));
        to.insert(self.birth.me.clone());
        for name in to {
            let membership = self.membership.clone();
            self.say(name, Word::Settle { ballot, membership, batch: batch.clone() }, out);
        }
    }

    fn heard(&mut self, now: Micros, from: &str, word: Word, steps: &mut Vec<Step>, out: &mut Vec<Output>) {
        match word {
            Word::Ask { ballot, membership, ranges } => {
                if membership.epoch < self.membership.epoch {
                    return self.say(from.into(), Word::Members(self.membership.clone()), out);
                }
                self.learn(now, membership, out);
                match self.voter.ask(ballot, &ranges) {
                    Asked::Answer(answer) => self.say(from.into(), answer, out),
                    Asked::After(change) => {
                        let (to, epoch, ceiling) = (from.into(), self.membership.epoch, change.ceiling);
                        let after = After::Promise { to, epoch, ballot, ranges, ceiling };
                        self.write(change, Some(after), out);
                    }
                    Asked::Silent => {}
                }
            }
            Word::Put { ballot, fill, batch } => match self.voter.put(ballot, fill, batch) {
                Put::After(news, change) => {
                    self.write(change, Some(After::Keep(from.into(), ballot)), out);
                    self.tell(news, out);
                }
                Put::Answer(answer) => self.say(from.into(), answer, out),
                Put::Silent => {}
            },
            Word::Settle { ballot, membership, batch } => {
                // Danger: it may take the place of a change that is pending here. What makes the epoch must not get lost.
                self.learn(now, membership, out);
                if let Some(membership) = batch.membership {
                    self.learn(now, membership, out);
                }
                let settled = self.voter.settle(ballot, batch.items);
                self.news(settled, out);
            }
            Word::Promise { ballot, incarnation, at, pending, ranges, cells } => {
                // What is settled anywhere is agreed on.
                let merged = self.voter.merge(cells.clone());
                self.news(merged, out);
                let word = Word::Promise { ballot, incarnation, at, pending, ranges, cells };
                self.caller.heard(now, from, word, self.voter.settled(), steps);
            }
            Word::Deny { .. } | Word::Kept { .. } => {
                self.caller.heard(now, from, word, self.voter.settled(), steps);
            }
            Word::Members(membership) => self.learn(now, membership, out),
            Word::Digest { life, sent, digest, epoch, incarnation, highest } => {
                self.caller.know(highest);
                let own = self.cells().digest();
                self.presence.digest(now, from, incarnation, digest == own);
                let seen = Word::Seen {
                    life,
                    sent,
                    digest: own,
                    epoch: self.membership.epoch,
                    incarnation: self.voter.incarnation(),
                    pends: self.voter.pends(),
                };
                self.say(from.into(), seen, out);
                if epoch < self.membership.epoch {
                    self.say(from.into(), Word::Members(self.membership.clone()), out);
                }
                if digest != own {
                    let word = Word::Mend { items: Vec::new(), parts: self.cells().compare() };
                    self.say(from.into(), word, out);
                }
            }
            Word::Seen { life, sent, digest, epoch, incarnation, pends } if life == self.birth.life => {
                let same = epoch == self.membership.epoch && digest == self.cells().digest() && !pends;
                if let Some(incarnation) = incarnation.filter(|_| same) {
                    self.confirm(sent, Member { name: from.into(), incarnation }, out);
                }
            }
            Word::Seen { .. } => {}
            Word::Mend { items, parts } => self.mend(from, items, &parts, out),
            Word::News(items) => {
                let merged = self.voter.merge(items);
                self.news(merged, out);
            }
        }
    }

    /// Takes what is newer there, and says what is newer here or is to be compared next.
    fn mend(&mut self, from: &str, items: Vec<Item>, parts: &[Part], out: &mut Vec<Output>) {
        let asked = items.is_empty();
        let merged = self.voter.merge(items);
        // Items that bring nothing are of a second talk about the same: the first goes on.
        let goes_on = asked || !merged.0.is_empty();
        self.news(merged, out);
        let answer = self.cells().answer(parts);
        if goes_on && !answer.is_empty() {
            self.say(from.into(), Word::Mend { items: answer.items, parts: answer.parts }, out);
        }
    }

    /// A store that holds nothing but what is settled has the same copy, or had it when it was asked.
    fn confirm(&mut self, sent: Micros, by: Member, out: &mut Vec<Output>) {
        if self.current_at.is_some_and(|at| at >= sent) {
            return;
        }
        let Some(by_now) = self.confirmed.get_mut(&sent) else { return };
        by_now.insert(by);
        let me = (&self.birth.me, self.voter.incarnation(), self.voter.pends());
        let own = |m: &Member| (&m.name, Some(m.incarnation), false) == me;
        if self.caller.quorum(|member| by_now.contains(member) || own(member)) {
            if self.current_at.is_none() && !self.voter.whole() {
                let change = Change { whole: true, ..Change::default() };
                self.write(change.clone(), Some(After::Known(change)), out);
            }
            self.current_at = Some(sent);
            self.confirmed.retain(|at, _| *at > sent);
        }
    }

    fn tell(&mut self, news: Vec<Item>, out: &mut Vec<Output>) {
        if !news.is_empty() {
            out.push(Output::News(news));
        }
    }

    fn tick(&mut self, now: Micros, steps: &mut Vec<Step>, out: &mut Vec<Output>) {
        self.presence.tick(now);
        if let Some(change) = self.voter.rise() {
            self.write(change.clone(), Some(After::Known(change)), out);
        }
        let seen = self.voter.highest();
        // The first of the holders settles it, so that not all do at once.
        let names = self.membership.names();
        let rank = names.iter().position(|name| *name == self.birth.me).unwrap_or(0) as Micros;
        let pends = self.pends_since.is_some_and(|since| now >= since + PENDS + rank * PENDS / 2);
        if pends && !self.caller.busy() {
            self.pends_since = Some(now);
            self.caller.call(now, OWN, Request::Mend, self.voter.cells(), seen, steps);
        }
        self.members(now, rank, steps);
        self.caller.tick(now, self.voter.cells(), seen, steps);
        if now >= self.digest_at {
            let lost = !self.current(now) || names.contains(&self.birth.me) && !self.votes();
            self.digest_at = now + if lost { LOST } else { DIGEST };
            self.confirmed.retain(|at, _| now < *at + CURRENT);
            self.confirmed.insert(now, BTreeSet::new());
            let digest = Word::Digest {
                life: self.birth.life,
                sent: now,
                digest: self.cells().digest(),
                epoch: self.membership.epoch,
                incarnation: self.voter.incarnation(),
                highest: seen,
            };
            let to: BTreeSet<Name> = self.others().into_iter().chain(self.presence.heard(now)).collect();
            out.extend(to.into_iter().map(|to| Output::Say(to, digest.clone())));
            // Where there is no other, its own word is enough.
            self.confirm(now, Member::default(), out);
        }
    }

    /// Proposes who is to vote, where a member has lost its disk or has gone and another is there.
    fn members(&mut self, now: Micros, rank: Micros, steps: &mut Vec<Step>) {
        let next = self.votes().then(|| self.presence.next(now, &self.membership.members)).flatten();
        let (names, before) = (self.membership.names(), &self.membership.before);
        let recent = !before.is_empty() && *before != names && now < self.learned + PACE;
        let same = |next: &Vec<Member>| next.iter().map(|member| &member.name).eq(&names);
        // Danger: a disk that was lost waits for nothing. The next one may be lost as soon as its machine counts as repaired.
        let Some(next) = next.filter(|next| !recent || same(next)) else {
            self.due = None;
            return;
        };
        let before = if recent { before.clone() } else { names };
        let since = self.due.take().filter(|(due, _)| *due == next).map_or(now, |(_, since)| since);
        if now < since + rank * TURNS || self.caller.busy() {
            self.due = Some((next, since));
            return;
        }
        let next = Membership { epoch: self.membership.epoch + 1, members: next, before };
        self.caller.call(now, OWN, Request::Change(next), self.voter.cells(), self.voter.highest(), steps);
    }
}
