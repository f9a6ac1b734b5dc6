//! What one process knows and tells the others: looks, calls, claims, and what a failed write takes back.

use serde_json::Value;

use crate::claims::claim;
use crate::held::{Call, HeldOut, UnixMs};
use crate::record::{Learned, Life, Record, Standing};
use crate::view::View;

/// One process among those that share an address.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    life: Life,
    /// What it claimed when its record was written last, if it ever was: the others know no more.
    known: Option<usize>,
    held: HeldOut,
    learned: Option<Learned>,
    doubt: bool,
}

impl Peer {
    /// One that has just begun. It claims nothing yet.
    pub fn new(process: u32) -> Peer {
        let life = Life { process, standing: Standing::Coming, descriptors: 0 };
        Peer { life, known: None, held: HeldOut::default(), learned: None, doubt: false }
    }

    /// Takes in what the others tell; whether who is held out has changed.
    pub fn take(&mut self, view: &View) -> bool {
        self.doubt = view.doubt;
        if let Some(theirs) = &view.learned {
            if self.learned.as_ref().is_none_or(|mine| mine.at < theirs.at) {
                self.learned = Some(theirs.clone());
            }
        }
        self.held.merge(&view.held)
    }

    /// Claims descriptors beside the others. Only one process may be at it at a time, from its look at the others to the end
    /// of its write.
    pub fn claims(&mut self, limit: usize, standing: Standing, used: usize, view: &View) {
        self.life.standing = standing;
        self.life.descriptors = claim(limit, used, standing == Standing::Leaves, &view.claims);
    }

    /// The record has been written, or could not be. Danger: a claim that the others can't read is none; it may shrink, but
    /// what they count with must not be passed. Of one that has never written that is an equal part, and nothing is owed to
    /// others if there are none.
    pub fn written(&mut self, well: bool, used: usize, limit: usize, view: &View) {
        if well {
            self.known = Some(self.life.descriptors);
            return;
        }
        let most = match self.known {
            Some(known) => known,
            None if view.claims.is_empty() => limit,
            None => limit / 2,
        };
        self.life.descriptors = self.life.descriptors.min(most).max(used);
    }

    /// Takes a call, after a look at the others, and writes. Danger: a call back that could not be written must not hold: it
    /// would come out later and undo a call out that another process has said yes to since. A call out holds here all the
    /// same, and is told to the others as soon as it can be.
    pub fn call<E>(
        &mut self,
        name: &str,
        call: Call,
        now: UnixMs,
        write: impl FnOnce(&Record) -> Result<(), E>,
    ) -> Result<(), E> {
        let before = self.held.clone();
        self.held.call(name, call, now, self.doubt);
        let written = write(&self.record());
        if written.is_err() && call == Call::Include {
            self.held = before;
        }
        written
    }

    /// Keeps what was learned.
    pub fn keep(&mut self, at: UnixMs, of: Value) {
        self.learned = Some(Learned { at, of });
    }

    /// Forgets who came back before `until` and is listed no more.
    pub fn forget(&mut self, until: UnixMs, listed: impl Fn(&str) -> bool) {
        self.held.forget(until, listed);
    }

    /// Who is held out.
    pub fn held(&self) -> &HeldOut {
        &self.held
    }

    /// What was learned last by any process.
    pub fn learned(&self) -> Option<&Learned> {
        self.learned.as_ref()
    }

    /// The descriptors that it may hold.
    pub fn descriptors(&self) -> usize {
        self.life.descriptors
    }

    /// What it tells.
    pub fn record(&self) -> Record {
        Record { life: self.life, held: self.held.clone(), learned: self.learned.clone() }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::claims::Claim;
    use serde_json::json;

    #[test]
    fn a_claim_that_could_not_be_written_does_not_grow() {
        let beside = |most| View { claims: vec![Claim { most, leaves: false }], ..View::default() };
        let alone = View::default();
        let mut peer = Peer::new(1);
        let claims = |peer: &mut Peer, well, view: &View| {
            peer.claims(384, Standing::Serves, 10, view);
            peer.written(well, 10, 384, view);
            peer.descriptors()
        };
        assert_eq!(claims(&mut peer, true, &beside(0)), 192);
        assert_eq!(claims(&mut peer, false, &alone), 192, "who comes next would count with that");
        assert_eq!(
            claims(&mut peer, false, &beside(300)),
            84,
            "it may shrink, though the others do not know"
        );
        assert_eq!(claims(&mut peer, true, &alone), 384);
        // Never written: the others count with an equal part, and a next one with all.
        let mut new = Peer::new(2);
        assert_eq!(claims(&mut new, false, &alone), 384);
        assert_eq!(claims(&mut new, false, &beside(100)), 192);
        assert_eq!(claims(&mut new, false, &beside(384)), 10);
    }

    #[test]
    fn a_call_back_that_could_not_be_written_does_not_hold_and_a_call_out_does() {
        let mut peer = Peer::new(1);
        assert_eq!(peer.call("a", Call::Exclude, 1, |_| Err("full")), Err("full"));
        assert!(peer.held().holds("a"));
        assert_eq!(peer.call("a", Call::Include, 2, |_| Err("full")), Err("full"));
        assert!(peer.held().holds("a"));
        let write = |record: &Record| (!record.held.holds("a")).then_some(()).ok_or("not in the record");
        assert_eq!(peer.call("a", Call::Include, 3, write), Ok(()));
        assert!(!peer.held().holds("a"));
    }

    #[test]
    fn the_newest_of_what_was_learned_is_kept() {
        let mut peer = Peer::new(1);
        peer.keep(5, json!("mine"));
        let of = |at| View { learned: Some(Learned { at, of: json!("theirs") }), ..View::default() };
        peer.take(&of(4));
        assert_eq!(peer.learned().map(|l| l.at), Some(5));
        peer.take(&of(6));
        assert_eq!(peer.record().learned.map(|l| l.of), Some(json!("theirs")));
    }
}
