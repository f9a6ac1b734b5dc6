//! Combines all records that were found, damaged ones included: the other processes, their claims and the exclusions.

use crate::claims::Claim;
use crate::held::HeldOut;
use crate::process::Others;
use crate::record::{Flaw, Learned, Reading, Standing};

/// For this many reads in a row, a running process with an unreadable record counts as claiming the whole limit. This gives it the
/// time to write the record again, or to shrink its own claim for a process whose record it can't read.
pub const UNREADABLE_GRACE_READS: u32 = 3;

/// What was found in the place (numbered slot for files) of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Found {
    /// The number of the place.
    pub place: usize,
    /// Whether a running process has the place: its lock is held.
    pub live: bool,
    /// The record, `None` if there is none, or the error if it can't be read.
    pub record: Result<Option<Reading>, String>,
    /// The second copy of its exclusions, which is read if the record is not complete.
    pub copy: Option<Reading>,
    /// How many times in a row its `life` entry could not be read.
    pub unread: u32,
}

/// A problem with the record in a place, for the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Trouble {
    /// The number of the place.
    pub place: usize,
    /// Whether its process runs.
    pub live: bool,
    /// The kind of problem.
    pub what: What,
    /// Whether the exclusions could be read from the second copy.
    pub covered: bool,
}

/// The kind of a problem with a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum What {
    /// A running process has no record.
    Missing,
    /// Reading it failed with this error.
    Unreadable(String),
    /// It is damaged, incomplete or of another version.
    Flawed(Flaw),
}

impl std::fmt::Display for Trouble {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let whose = if self.live { "another process" } else { "a process that has ended" };
        write!(f, "the record of {whose}, place {}: ", self.place)?;
        match &self.what {
            What::Missing => f.write_str("there is none")?,
            What::Unreadable(error) => f.write_str(error)?,
            What::Flawed(flaw) => flaw.fmt(f)?,
        }
        f.write_str(match self.covered {
            true => "; its second copy tells who is held out",
            false => "; what it held out and nobody else knows is lost, and what is held out here stays so",
        })
    }
}

/// The combined content of all records.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct View {
    /// The claims of the other running processes.
    pub claims: Vec<Claim>,
    /// The other running processes, counted by standing.
    pub others: Others,
    /// The exclusions, merged from everything that could be read.
    pub held: HeldOut,
    /// What any process has learned last.
    pub learned: Option<Learned>,
    /// Whether some process's exclusions may be missing here: its record has a problem, and no intact second copy was read.
    pub doubt: bool,
    /// The problems that were found.
    pub troubles: Vec<Trouble>,
    /// The places of ended processes that left a record. Its content is part of this view; once that has been written to the
    /// reader's own record, the old record may be deleted.
    pub spent: Vec<usize>,
}

/// Combines what was found. `limit` is the limit of descriptors that all processes share.
pub fn view(limit: usize, found: &[Found]) -> View {
    let mut view = View::default();
    for one in found {
        let reading = one.record.as_ref().ok().and_then(Option::as_ref);
        let flaw = reading.and_then(|reading| reading.flaw.clone());
        for read in reading.iter().copied().chain(&one.copy) {
            view.held.merge(&read.held);
        }
        if let Some(learned) = reading.and_then(|reading| reading.learned.clone()) {
            if view.learned.as_ref().is_none_or(|best| best.at < learned.at) {
                view.learned = Some(learned);
            }
        }
        if one.live {
            add_live(&mut view, one, reading, limit);
        } else if reading.is_some() && flaw != Some(Flaw::Foreign) {
            // A foreign file that happens to have the record's name must not be deleted.
            view.spent.push(one.place);
        }
        let what = match (&one.record, flaw) {
            (Err(error), _) => What::Unreadable(error.clone()),
            (Ok(Some(_)), Some(flaw)) => What::Flawed(flaw),
            // A process that has just started has not written its record yet.
            (Ok(None), _) if one.live && one.unread >= UNREADABLE_GRACE_READS => What::Missing,
            _ => continue,
        };
        let covered = one.copy.as_ref().is_some_and(|copy| copy.flaw.is_none());
        view.doubt |= !covered;
        view.troubles.push(Trouble { place: one.place, live: one.live, what, covered });
    }
    view
}

fn add_live(view: &mut View, one: &Found, reading: Option<&Reading>, limit: usize) {
    let Some(life) = reading.and_then(|reading| reading.life) else {
        // An unreadable claim may have any size. Two processes that can't read each other's records each keep to half of the
        // limit, once the other has had the time to do so.
        let max_descriptors = if one.unread < UNREADABLE_GRACE_READS { limit } else { limit / 2 };
        view.claims.push(Claim { max_descriptors, leaves: false });
        view.others.coming += 1;
        return;
    };
    view.claims.push(life.claim());
    *match life.standing {
        Standing::Coming => &mut view.others.coming,
        Standing::Serves => &mut view.others.serving,
        Standing::Leaves => &mut view.others.leaving,
    } += 1;
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::held::Call;
    use crate::record::{Life, Record};
    use serde_json::json;

    fn record(standing: Standing, out: &[&str], at: u64) -> Record {
        let mut held = HeldOut::default();
        for name in out {
            held.call(name, Call::Exclude, 5, false);
        }
        let learned = Some(Learned { at, of: json!(at) });
        Record { life: Life { process: 7, standing, descriptors: 100 }, held, learned }
    }

    fn found(place: usize, live: bool, bytes: Option<&[u8]>) -> Found {
        Found { place, live, record: Ok(bytes.map(Reading::of)), copy: None, unread: 0 }
    }

    #[test]
    fn complete_records_are_combined() {
        let (a, b) = (record(Standing::Serves, &["x"], 5), record(Standing::Leaves, &["y"], 9));
        let dead = record(Standing::Serves, &["z"], 7);
        let all = [
            found(0, true, Some(&a.encode())),
            found(1, true, Some(&b.encode())),
            found(2, false, Some(&dead.encode())),
            found(3, false, None),
        ];
        let view = view(384, &all);
        assert_eq!(
            view.claims,
            [Claim { max_descriptors: 100, leaves: false }, Claim { max_descriptors: 100, leaves: true }]
        );
        assert_eq!(view.others, Others { coming: 0, serving: 1, leaving: 1 });
        assert!(["x", "y", "z"].iter().all(|name| view.held.holds(name)));
        assert_eq!(view.learned.map(|l| l.at), Some(9));
        assert_eq!((view.doubt, view.troubles, view.spent), (false, vec![], vec![2]));
    }

    /// For each state of another process's record (missing, unreadable, damaged, intact): the claim assumed for the process, whether
    /// there is doubt or trouble, and whether the record may be deleted.
    #[test]
    fn each_kind_of_damage_has_its_outcome() {
        let written = record(Standing::Serves, &["x", "y"], 5);
        let whole = written.encode();
        let half = &whole[..whole.len() / 2];
        let copy = || Some(Reading::of(&written.encode_held()));
        let unreadable = || Err("permission denied".to_string());
        // What was found; the expected claim (if the process runs), doubt, trouble, and whether the record may be deleted.
        let base = |live, bytes: Option<&[u8]>| found(4, live, bytes);
        let all = 384;
        let rows = [
            (base(true, None), Some(all), false, false, false),
            (Found { unread: UNREADABLE_GRACE_READS, ..base(true, None) }, Some(all / 2), true, true, false),
            (base(true, Some(b"")), Some(all), true, true, false),
            (Found { unread: 9, ..base(true, Some(b"not ours\n")) }, Some(all / 2), true, true, false),
            (Found { copy: copy(), ..base(true, Some(b"")) }, Some(all), false, true, false),
            (base(true, Some(half)), Some(100), true, true, false),
            (Found { record: unreadable(), ..base(true, None) }, Some(all), true, true, false),
            (base(false, None), None, false, false, false),
            (base(false, Some(b"not ours\n")), None, true, true, false),
            (base(false, Some(half)), None, true, true, true),
            (Found { copy: copy(), ..base(false, Some(half)) }, None, false, true, true),
            (Found { record: unreadable(), copy: copy(), ..base(false, None) }, None, false, true, false),
            (base(false, Some(&whole)), None, false, false, true),
        ];
        for (found, claim, doubt, trouble, deletable) in rows {
            let description = format!("{found:?}");
            let has_copy = found.copy.is_some();
            let view = view(all, &[found]);
            assert_eq!(view.claims.first().map(|c| c.max_descriptors), claim, "{description}");
            assert_eq!((view.doubt, view.troubles.len() == 1), (doubt, trouble), "{description}");
            assert_eq!(!view.spent.is_empty(), deletable, "{description}");
            assert!(!has_copy || view.held.holds("x") && view.held.holds("y"), "{description}");
        }
    }
}
