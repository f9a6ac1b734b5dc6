//! Which app servers operators hold out by hand: a set that several processes change, and that merges in any order.
//!
//! For each name the mark with the highest stamp holds; of two with the same stamp the one that holds out. A process looks
//! at the others' marks before it takes a call, so calls that came one after the other are stamped in their order, wherever
//! they were made. Only calls at two processes at once can be stamped alike, and then either order was one they may have
//! had.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Milliseconds of Unix time.
pub type UnixMs = u64;

/// How far a call leaps where another process's marks can't be read: further than that one can have got meanwhile.
const LEAP: u64 = 1 << 20;

/// What an operator asks of an app server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Call {
    /// Nothing more to it.
    Exclude,
    /// It may serve again.
    Include,
}

/// What was last asked of an app server. The order of the fields is the order in which marks win.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    /// Higher is later.
    pub stamp: u64,
    /// It is out.
    pub out: bool,
    /// Since when it is or was out.
    pub since: UnixMs,
    /// When it was let back; 0 while it is out.
    pub back: UnixMs,
}

/// The app servers held out, and those that came back.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct HeldOut {
    marks: BTreeMap<String, Mark>,
}

impl HeldOut {
    /// Whether it is to get nothing new.
    pub fn holds(&self, name: &str) -> bool {
        self.marks.get(name).is_some_and(|mark| mark.out)
    }

    /// Takes a call; a second one like it changes nothing. `doubt` is whether some process's marks could not be read:
    /// a call out then wins over whatever they hold. Tells whether anything has changed.
    pub fn call(&mut self, name: &str, call: Call, now: UnixMs, doubt: bool) -> bool {
        let last = self.marks.values().map(|mark| mark.stamp).max().unwrap_or(0);
        let stamp = last + 1;
        let before = self.marks.get(name).copied();
        let next = match (call, before) {
            // Danger: what can't be read may hold a later call back, of before this one.
            (Call::Exclude, Some(mark)) if mark.out && !doubt => return false,
            (Call::Exclude, before) => {
                let since = before.filter(|mark| mark.out).map_or(now, |mark| mark.since);
                Mark { stamp: if doubt { last + LEAP } else { stamp }, out: true, since, back: 0 }
            }
            (Call::Include, Some(mark)) if mark.out => {
                Mark { stamp, out: false, since: mark.since, back: now }
            }
            (Call::Include, _) => return false,
        };
        self.marks.insert(name.into(), next);
        true
    }

    /// When an app server has started, if its source says at `told` (0: long ago). Danger: one that was out was
    /// restarted, and is cold. A source that has not told of a start meanwhile will do so later or never, so the
    /// coming back counts as one. It does harm where an app server was out and not restarted: it warms up once more.
    pub fn started(&self, name: &str, told: UnixMs) -> UnixMs {
        match self.marks.get(name) {
            Some(mark) if mark.back > 0 && told < mark.since => mark.back,
            _ => told,
        }
    }

    /// Takes in one mark; tells whether it wins.
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

    /// Takes in what another process knows; tells whether anything is new.
    pub fn merge(&mut self, other: &HeldOut) -> bool {
        other.marks.iter().fold(false, |new, (name, mark)| self.take(name, *mark) || new)
    }

    /// Forgets those that came back before `until` and that no source lists any more. What is out stays.
    pub fn forget(&mut self, until: UnixMs, listed: impl Fn(&str) -> bool) {
        self.marks.retain(|name, mark| mark.out || mark.back >= until || listed(name));
    }

    /// All marks, by name.
    pub fn marks(&self) -> impl Iterator<Item = (&str, Mark)> {
        self.marks.iter().map(|(name, mark)| (name.as_str(), *mark))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn a_second_call_out_changes_nothing_and_one_call_back_undoes_both() {
        let mut held = HeldOut::default();
        assert!(held.call("a", Call::Exclude, 100, false));
        assert!(!held.call("a", Call::Exclude, 200, false));
        assert!(held.holds("a") && !held.holds("b"));
        assert!(held.call("a", Call::Include, 300, false));
        assert!(!held.holds("a"));
        assert_eq!(held.started("a", 50), 300, "no start was told while it was out");
        assert_eq!(held.started("a", 150), 150, "a start was told while it was out");
        assert_eq!(held.started("a", 400), 400);
        assert!(!held.call("a", Call::Include, 500, false));
        assert_eq!(held.started("a", 50), 300, "a second call back is no second start");
        held.forget(300, |_| false);
        assert_eq!(held.started("a", 50), 300, "the other processes may not have heard yet");
        held.forget(301, |_| false);
        assert_eq!(held.started("a", 50), 50);
    }

    #[test]
    fn a_call_out_beside_marks_that_cannot_be_read_wins_over_them() {
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
        assert!(!here.holds("a"), "and a call back after it undoes it");
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
            // Whatever is left out: what any of the rest holds out last stays out.
            let part = merged(&[&a, &c]);
            for (name, mark) in a.marks().filter(|(_, mark)| mark.out) {
                let later = c.marks().any(|(other, m)| other == name && m.stamp > mark.stamp && !m.out);
                prop_assert!(part.holds(name) || later);
            }
        }

        /// Calls one after the other, each at some process that first looks at the others.
        #[test]
        fn calls_in_turn_hold_in_their_order_wherever_they_are_made(
            calls in prop::collection::vec((0usize..3, any::<bool>()), 1..30)
        ) {
            let mut all = vec![HeldOut::default(); 3];
            let mut wanted = false;
            for (at, (who, out)) in calls.into_iter().enumerate() {
                for other in all.clone() {
                    all[who].merge(&other);
                }
                all[who].call("a", if out { Call::Exclude } else { Call::Include }, at as u64, false);
                wanted = out;
            }
            let mut last = HeldOut::default();
            all.iter().for_each(|set| { last.merge(set); });
            prop_assert_eq!(last.holds("a"), wanted);
        }
    }
}
