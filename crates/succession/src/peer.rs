//! The state that one process shares with the others: its claim, the exclusions, and what happens if a write of its record fails.

use serde_json::Value;

use crate::claims::claim;
use crate::held::{Call, HeldOut, UnixMs};
use crate::record::{Learned, Life, Record, Standing};
use crate::view::View;

/// One of the processes that share an address.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    life: Life,
    /// The claim in its last written record, which is what the others can read; `None` if none was written.
    written_claim: Option<usize>,
    held: HeldOut,
    learned: Option<Learned>,
    /// Whether exclusions of other processes may be missing; see [`View::doubt`].
    doubt: bool,
}

impl Peer {
    /// A process that has just started. It claims nothing yet.
    pub fn new(process: u32) -> Peer {
        let life = Life { process, standing: Standing::Coming, descriptors: 0 };
        Peer { life, written_claim: None, held: HeldOut::default(), learned: None, doubt: false }
    }

    /// Merges the others' records. Returns whether the exclusions have changed.
    pub fn take(&mut self, view: &View) -> bool {
        self.doubt = view.doubt;
        if let Some(theirs) = &view.learned {
            if self.learned.as_ref().is_none_or(|mine| mine.at < theirs.at) {
                self.learned = Some(theirs.clone());
            }
        }
        self.held.merge(&view.held)
    }

    /// Computes the claim from the others' claims. Only one process at a time may do this, from reading the others' records until
    /// its own record has been written.
    pub fn claims(&mut self, limit: usize, standing: Standing, used: usize, view: &View) {
        self.life.standing = standing;
        self.life.descriptors = claim(limit, used, standing == Standing::Leaves, &view.claims);
    }

    /// Takes the result of writing the record. A claim that the others can't read doesn't count: after a failed write it may
    /// shrink, but must not exceed what they assume. For a process that has never written a record, that is half of the limit,
    /// or all of it if there are no others.
    pub fn written(&mut self, succeeded: bool, used: usize, limit: usize, view: &View) {
        if succeeded {
            self.written_claim = Some(self.life.descriptors);
            return;
        }
        let max_claim = match self.written_claim {
            Some(known) => known,
            None if view.claims.is_empty() => limit,
            None => limit / 2,
        };
        self.life.descriptors = self.life.descriptors.min(max_claim).max(used);
    }

    /// Executes an operator's call and writes the record; the others' records must have been merged before. An inclusion that could
    /// not be written is undone: it would be written later, and undo an exclusion that another process has confirmed since. An
    /// exclusion stays in effect here all the same, and reaches the others with the next successful write.
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

    /// Stores what this process has learned.
    pub fn keep(&mut self, at: UnixMs, of: Value) {
        self.learned = Some(Learned { at, of });
    }

    /// Removes marks as [`HeldOut::forget`] does.
    pub fn forget(&mut self, until: UnixMs, listed: impl Fn(&str) -> bool) {
        self.held.forget(until, listed);
    }

    /// The excluded app servers.
    pub fn held(&self) -> &HeldOut {
        &self.held
    }

    /// What any process has learned last.
    pub fn learned(&self) -> Option<&Learned> {
        self.learned.as_ref()
    }

    /// The descriptors that this process may have open.
    pub fn descriptors(&self) -> usize {
        self.life.descriptors
    }

    /// The record to be written.
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
        let beside = |max_descriptors| View {
            claims: vec![Claim { max_descriptors, leaves: false }],
            ..View::default()
        };
        let alone = View::default();
        let mut peer = Peer::new(1);
        let claims = |peer: &mut Peer, succeeded, view: &View| {
            peer.claims(384, Standing::Serves, 10, view);
            peer.written(succeeded, 10, 384, view);
            peer.descriptors()
        };
        assert_eq!(claims(&mut peer, true, &beside(0)), 192);
        assert_eq!(claims(&mut peer, false, &alone), 192, "a new process would rely on the written claim");
        assert_eq!(
            claims(&mut peer, false, &beside(300)),
            84,
            "it may shrink, though the others can't read that"
        );
        assert_eq!(claims(&mut peer, true, &alone), 384);
        // Never written: half of the limit beside another process, and all of it alone.
        let mut new = Peer::new(2);
        assert_eq!(claims(&mut new, false, &alone), 384);
        assert_eq!(claims(&mut new, false, &beside(100)), 192);
        assert_eq!(claims(&mut new, false, &beside(384)), 10);
    }

    #[test]
    fn an_inclusion_that_could_not_be_written_is_undone_and_an_exclusion_is_not() {
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
    fn the_newest_learned_value_wins() {
        let mut peer = Peer::new(1);
        peer.keep(5, json!("mine"));
        let of = |at| View { learned: Some(Learned { at, of: json!("theirs") }), ..View::default() };
        peer.take(&of(4));
        assert_eq!(peer.learned().map(|l| l.at), Some(5));
        peer.take(&of(6));
        assert_eq!(peer.record().learned.map(|l| l.of), Some(json!("theirs")));
    }
}
