//! The app servers that operators have excluded by hand: a set that several processes change, with a commutative merge.
//!
//! For each name, the mark with the highest stamp wins; of two with the same stamp, the one that excludes. A process reads the
//! others' marks before it executes an operator's call, so sequential calls get increasing stamps, at whichever process they are
//! made. Only concurrent calls at two processes can get the same stamp, and these have no defined order.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Unix time in milliseconds.
pub type UnixMs = u64;

/// Added to the stamp of an exclusion while another process's marks can't be read: more than that process's stamps can have
/// advanced.
const STAMP_LEAP: u64 = 1 << 20;

/// An operator's call for an app server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Call {
    /// Send it no more requests.
    Exclude,
    /// It may serve again.
    Include,
}

/// The last call for an app server. The field order defines which mark wins a merge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    /// Of two marks for one app server, the one with the higher stamp wins.
    pub stamp: u64,
    /// Whether the app server is excluded.
    pub out: bool,
    /// When it was excluded last.
    pub since: UnixMs,
    /// When it was included again; 0 while it is excluded.
    pub back: UnixMs,
}

/// The marks of excluded app servers, and of those that have been included again.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct HeldOut {
    marks: BTreeMap<String, Mark>,
}

impl HeldOut {
    /// Whether an app server is excluded, so that it gets no new requests.
    pub fn holds(&self, name: &str) -> bool {
        self.marks.get(name).is_some_and(|mark| mark.out)
    }

    /// Applies a call, which is idempotent. `doubt` is whether some process's marks could not be read: an exclusion then gets a
    /// stamp that wins over whatever those contain. Returns whether the marks have changed.
    pub fn call(&mut self, name: &str, call: Call, now: UnixMs, doubt: bool) -> bool {
        let last = self.marks.values().map(|mark| mark.stamp).max().unwrap_or(0);
        let stamp = last + 1;
        let before = self.marks.get(name).copied();
        let next = match (call, before) {
            // With unreadable marks, even an excluded name gets a new mark: they may contain a later inclusion, made before this
            // call.
            (Call::Exclude, Some(mark)) if mark.out && !doubt => return false,
            (Call::Exclude, before) => {
                let since = before.filter(|mark| mark.out).map_or(now, |mark| mark.since);
                Mark { stamp: if doubt { last + STAMP_LEAP } else { stamp }, out: true, since, back: 0 }
            }
            (Call::Include, Some(mark)) if mark.out => {
                Mark { stamp, out: false, since: mark.since, back: now }
            }
            (Call::Include, _) => return false,
        };
        self.marks.insert(name.into(), next);
        true
    }

    /// When an app server has started, if its source reports `reported` (0: long ago). An app server is usually excluded to be
    /// restarted, and is cold then. Its source may report that start late or never, so without a reported start since the
    /// exclusion, the inclusion counts as the start. The cost: one that was not restarted warms up once more.
    pub fn started(&self, name: &str, reported: UnixMs) -> UnixMs {
        match self.marks.get(name) {
            Some(mark) if mark.back > 0 && reported < mark.since => mark.back,
            _ => reported,
        }
    }

    /// Merges one mark. Returns whether it wins.
    pub fn take(&mut self, name: &str, mark: Mark) -> bool {
        match self.marks.get_mut(name) {
            Some(mine) if *mine >= mark => false,
            Some(mine) => {
                *mine = mark;
                true
            }
            None => self.marks.insert(name.into(), mark).is_none(),
        }
    }

    /// Merges another process's marks. Returns whether any of them wins.
    pub fn merge(&mut self, other: &HeldOut) -> bool {
        other.marks.iter().fold(false, |new, (name, mark)| self.take(name, *mark) || new)
    }

    /// Removes the marks of app servers that were included again before `until` and that no source lists any more. Marks of excluded
    /// ones are kept.
    pub fn forget(&mut self, until: UnixMs, listed: impl Fn(&str) -> bool) {
        self.marks.retain(|name, mark| mark.out || mark.back >= until || listed(name));
    }

    /// All marks, sorted by name.
    pub fn marks(&self) -> impl Iterator<Item = (&str, Mark)> {
        self.marks.iter().map(|(name, mark)| (name.as_str(), *mark))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_repeated_exclusion_changes_nothing_and_one_inclusion_undoes_both() {
        let mut held = HeldOut::default();
        assert!(held.call("a", Call::Exclude, 100, false));
        assert!(!held.call("a", Call::Exclude, 200, false));
        assert!(held.holds("a") && !held.holds("b"));
        assert!(held.call("a", Call::Include, 300, false));
        assert!(!held.holds("a"));
        assert_eq!(held.started("a", 50), 300, "no start was reported while it was excluded");
        assert_eq!(held.started("a", 150), 150, "a start was reported while it was excluded");
        assert_eq!(held.started("a", 400), 400);
        assert!(!held.call("a", Call::Include, 500, false));
        assert_eq!(held.started("a", 50), 300, "a repeated inclusion is not a second start");
        held.forget(300, |_| false);
        assert_eq!(held.started("a", 50), 300, "the other processes may not have read it yet");
        held.forget(301, |_| false);
        assert_eq!(held.started("a", 50), 50);
    }

    #[test]
    fn an_exclusion_wins_over_marks_that_could_not_be_read() {
        let (mut here, mut there) = (HeldOut::default(), HeldOut::default());
        for at in 0..1_000 {
            there.call("a", if at % 2 == 0 { Call::Exclude } else { Call::Include }, at, false);
        }
        here.call("a", Call::Exclude, 2_000, true);
        here.merge(&there);
        assert!(here.holds("a"));
        there.merge(&here);
        assert_eq!(here, there);
        assert!(there.call("a", Call::Include, 3_000, false));
        here.merge(&there);
        assert!(!here.holds("a"), "a later inclusion undoes it");
    }

    fn marks() -> impl Strategy<Value = HeldOut> {
        let mark = (0u64..6, any::<bool>(), 0u64..4, 0u64..4).prop_map(|(stamp, out, since, back)| Mark {
            stamp,
            out,
            since,
            back: if out { 0 } else { back + 1 },
        });
        prop::collection::btree_map("[a-d]", mark, 0..5).prop_map(|marks| HeldOut { marks })
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(2_000))]
        #[test]
        fn marks_merge_to_the_same_in_any_order_and_grouping(a in marks(), b in marks(), c in marks()) {
            let merged = |sets: &[&HeldOut]| {
                let mut all = HeldOut::default();
                sets.iter().for_each(|set| { all.merge(set); });
                all
            };
            let once = merged(&[&a, &b, &c]);
            prop_assert_eq!(&once, &merged(&[&c, &a, &b, &a]));
            prop_assert_eq!(&once, &merged(&[&a, &merged(&[&b, &c])]));
            // Without the marks of `b`: every exclusion in `a` stays in effect unless `c` has a later inclusion.
            let part = merged(&[&a, &c]);
            for (name, mark) in a.marks().filter(|(_, mark)| mark.out) {
                let later = c.marks().any(|(other, m)| other == name && m.stamp > mark.stamp && !m.out);
                prop_assert!(part.holds(name) || later);
            }
        }

        /// Sequential calls, each at a process that first merges the others' marks.
        #[test]
        fn the_last_of_sequential_calls_wins_at_whichever_process_they_are_made(
            calls in prop::collection::vec((0usize..3, any::<bool>()), 1..30)
        ) {
            let mut all = vec![HeldOut::default(); 3];
            let mut wanted = false;
            for (at, (process, out)) in calls.into_iter().enumerate() {
                for other in all.clone() {
                    all[process].merge(&other);
                }
                all[process].call("a", if out { Call::Exclude } else { Call::Include }, at as u64, false);
                wanted = out;
            }
            let mut last = HeldOut::default();
            all.iter().for_each(|set| { last.merge(set); });
            prop_assert_eq!(last.holds("a"), wanted);
        }
    }
}
