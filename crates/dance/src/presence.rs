//! Which other stores are there, and who should vote in place of one that is not.

use std::collections::BTreeMap;

use crate::caller::Micros;
use crate::word::{Member, Name};

/// A member that has said nothing for so long is replaced, if another store is there that does not vote.
const GONE: Micros = 2_500_000;
/// One that has said nothing for so long has not been there all the time.
const GAP: Micros = 1_200_000;
/// Another is to have been there for so long, so that it stays.
const STEADY: Micros = 1_000_000;
/// Its copy is to have been the same within so long; one that has been there for longer than [`PATIENCE`] is taken all the
/// same: what it lacks goes with the change.
const SAME: Micros = 1_200_000;
const PATIENCE: Micros = 1_500_000;
/// A gap between two ticks by which the process has stood still: what it did not hear tells nothing.
const STOOD_STILL: Micros = 700_000;

/// What is known of another store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Other {
    /// Of its disk, if that holds it.
    incarnation: Option<u64>,
    since: Micros,
    last: Micros,
    /// When its copy was last the same as here.
    same: Option<Micros>,
}

/// The other stores.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Presence {
    me: Name,
    others: BTreeMap<Name, Other>,
    /// From when on silence tells something.
    from: Micros,
    ticked: Micros,
}

impl Presence {
    /// Nobody has been heard.
    pub fn new(me: Name) -> Presence {
        Presence { me, others: BTreeMap::new(), from: 0, ticked: 0 }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        if now > self.ticked + STOOD_STILL {
            self.from = now;
        }
        self.ticked = now;
    }

    /// Another has told its digest.
    pub fn digest(&mut self, now: Micros, name: &str, incarnation: Option<u64>, same: bool) {
        let new = Other { incarnation, since: now, last: now, same: None };
        let other = self.others.entry(name.into()).or_insert(new.clone());
        if other.incarnation != incarnation || now > other.last + GAP {
            *other = new;
        }
        other.last = now;
        if same {
            other.same = Some(now);
        }
    }

    /// The stores that have been heard lately.
    pub fn heard(&self, now: Micros) -> impl Iterator<Item = Name> + '_ {
        self.others.iter().filter(move |(_, other)| now < other.last + GONE).map(|(name, _)| name.clone())
    }

    /// Who should vote, if others than these: one that lost its disk votes as who it is now, and one that has gone gives
    /// way to another that is there. One member changes at a time.
    pub fn next(&self, now: Micros, members: &[Member]) -> Option<Vec<Member>> {
        let ready = |other: &Other| {
            let same = other.same.is_some_and(|at| now < at + SAME);
            now < other.last + GAP && (same || now >= other.since + PATIENCE)
        };
        let replaced = |at: usize, by: Member| {
            let mut next = members.to_vec();
            next[at] = by;
            next.sort();
            next
        };
        for (at, member) in members.iter().enumerate().filter(|(_, member)| member.name != self.me) {
            let Some(other) = self.others.get(&member.name).filter(|other| ready(other)) else { continue };
            if let Some(incarnation) = other.incarnation.filter(|now| *now != member.incarnation) {
                return Some(replaced(at, Member { name: member.name.clone(), incarnation }));
            }
        }
        let silent = |member: &Member| {
            let last = self.others.get(&member.name).map_or(0, |other| other.last);
            member.name != self.me && now >= last.max(self.from) + GONE
        };
        let at = members.iter().position(silent)?;
        let spare = self.others.iter().filter(|(name, other)| {
            ready(other) && now >= other.since + STEADY && !members.iter().any(|member| member.name == **name)
        });
        let mut spare = spare.filter_map(|(name, other)| Some((name, other.incarnation?)));
        let (name, incarnation) = spare.next()?;
        Some(replaced(at, Member { name: name.clone(), incarnation }))
    }
}
