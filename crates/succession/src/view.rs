//! One picture of all the records that were found, whole or not: who else is there, what they claim, who is held out.

use crate::claims::Claim;
use crate::held::HeldOut;
use crate::process::Others;
use crate::record::{Flaw, Learned, Reading, Standing};

/// For so many looks a record of a running process that can't be read counts as claiming all: time for that process to write
/// it again, or to give way to one that can't be known.
pub const MENDS_WITHIN: u32 = 3;

/// What was found in the place of one process.
#[derive(Debug, Clone, PartialEq)]
pub struct Found {
    /// Its place.
    pub place: usize,
    /// Whether a process sits there: it holds the lock.
    pub live: bool,
    /// Its record; `None` if there is none, or why it can't be read.
    pub record: Result<Option<Reading>, String>,
    /// The second copy of who it holds out, looked for where there is no whole record.
    pub copy: Option<Reading>,
    /// For how many looks in a row its life could not be read.
    pub unread: u32,
}

/// What is wrong in a place, for the log.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Trouble {
    /// The place.
    pub place: usize,
    /// Whether its process runs.
    pub live: bool,
    /// What it is.
    pub what: What,
    /// Whether the second copy tells all the same who is held out.
    pub covered: bool,
}

/// What is wrong with a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum What {
    /// A running process has none.
    Missing,
    /// It can't be read.
    Unreadable(String),
    /// It is not whole.
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

/// The picture.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct View {
    /// What the other running processes claim.
    pub claims: Vec<Claim>,
    /// Where they are in their lives.
    pub others: Others,
    /// Who is held out, by all that could be read.
    pub held: HeldOut,
    /// What was learned last.
    pub learned: Option<Learned>,
    /// Some marks could not be read.
    pub doubt: bool,
    /// What is wrong.
    pub troubles: Vec<Trouble>,
    /// Places of processes that have ended and left a record of ours. What is in it is in this picture; once that has been
    /// written, it may go.
    pub spent: Vec<usize>,
}

/// Makes the picture. `limit` is the limit of descriptors that all share.
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
            live(&mut view, one, reading, limit);
        } else if reading.is_some() && flaw != Some(Flaw::Foreign) {
            // Danger: a file of somebody else that happens to have the name is not ours to take away.
            view.spent.push(one.place);
        }
        let what = match (&one.record, flaw) {
            (Err(error), _) => What::Unreadable(error.clone()),
            (Ok(Some(_)), Some(flaw)) => What::Flawed(flaw),
            // One that has just begun has not written yet.
            (Ok(None), _) if one.live && one.unread >= MENDS_WITHIN => What::Missing,
            _ => continue,
        };
        let covered = one.copy.as_ref().is_some_and(|copy| copy.flaw.is_none());
        view.doubt |= !covered;
        view.troubles.push(Trouble { place: one.place, live: one.live, what, covered });
    }
    view
}

fn live(view: &mut View, one: &Found, reading: Option<&Reading>, limit: usize) {
    let Some(life) = reading.and_then(|reading| reading.life) else {
        // Danger: a claim that can't be read may be any. Each side that can't read the other keeps to an equal part, once
        // the other has had the time to do so.
        let most = if one.unread < MENDS_WITHIN { limit } else { limit / 2 };
        view.claims.push(Claim { most, leaves: false });
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
    fn whole_records_add_up() {
        let (a, b) = (record(Standing::Serves, &["x"], 5), record(Standing::Leaves, &["y"], 9));
        let dead = record(Standing::Serves, &["z"], 7);
        let all = [
            found(0, true, Some(&a.encode())),
            found(1, true, Some(&b.encode())),
            found(2, false, Some(&dead.encode())),
            found(3, false, None),
        ];
        let view = view(384, &all);
        assert_eq!(view.claims, [Claim { most: 100, leaves: false }, Claim { most: 100, leaves: true }]);
        assert_eq!(view.others, Others { coming: 0, serving: 1, leaving: 1 });
        assert!(["x", "y", "z"].iter().all(|name| view.held.holds(name)));
        assert_eq!(view.learned.map(|l| l.at), Some(9));
        assert_eq!((view.doubt, view.troubles, view.spent), (false, vec![], vec![2]));
    }

    /// The table of the design note: what is found, and what it comes to.
    #[test]
    fn each_kind_of_damage_has_its_outcome() {
        let told = record(Standing::Serves, &["x", "y"], 5);
        let whole = told.encode();
        let half = &whole[..whole.len() / 2];
        let copy = || Some(Reading::of(&told.encode_held()));
        let unreadable = || Err("permission denied".to_string());
        // Found, whether its second copy is whole: claim (if it runs), doubt, trouble, whether it may go.
        let base = |live, bytes: Option<&[u8]>| found(4, live, bytes);
        let all = 384;
        let rows = [
            (base(true, None), Some(all), false, false, false),
            (Found { unread: MENDS_WITHIN, ..base(true, None) }, Some(all / 2), true, true, false),
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
        for (found, claim, doubt, trouble, goes) in rows {
            let told = format!("{found:?}");
            let held = found.copy.is_some();
            let view = view(all, &[found]);
            assert_eq!(view.claims.first().map(|c| c.most), claim, "{told}");
            assert_eq!((view.doubt, view.troubles.len() == 1), (doubt, trouble), "{told}");
            assert_eq!(!view.spent.is_empty(), goes, "{told}");
            assert!(!held || view.held.holds("x") && view.held.holds("y"), "{told}");
        }
    }
}
