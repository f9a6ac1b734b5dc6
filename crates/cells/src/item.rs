//! Items, each with its own version, and copies of them that merge one by one.

use std::collections::BTreeMap;

use bincode::{Decode, Encode};

use crate::hash;

/// What an item is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Kind {
    /// A route of the configuration.
    Route,
    /// A tenant of the configuration.
    Tenant,
    /// A service of the configuration.
    Service,
    /// The configuration's one item of limits.
    Limits,
    /// A life of a server, as it last told of itself.
    Server,
    /// A node of this system.
    Node,
}

impl Kind {
    /// The kinds that the operator's configuration consists of.
    pub const CONFIG: [Kind; 4] = [Kind::Route, Kind::Tenant, Kind::Service, Kind::Limits];

    /// Whether it is of the operator's configuration.
    pub fn is_config(self) -> bool {
        Kind::CONFIG.contains(&self)
    }
}

/// An item's name among all.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Key {
    /// What it is.
    pub kind: Kind,
    /// Its name among those of its kind.
    pub name: String,
}

impl Key {
    /// The key of an item.
    pub fn new(kind: Kind, name: impl Into<String>) -> Key {
        Key { kind, name: name.into() }
    }

    /// A number that stands for it in summaries.
    pub fn number(&self) -> u64 {
        hash::of(&[&[self.kind as u8], self.name.as_bytes()])
    }
}

/// An item's version: the number that its source gave it, then what tells two of one number apart, so that all copies
/// keep the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
pub struct Version(pub u64, pub u64);

/// One item.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Item {
    /// Its name.
    pub key: Key,
    /// Its version.
    pub version: Version,
    /// What it holds; none: it has been dropped, and stays as the mark of that.
    pub value: Option<Vec<u8>>,
}

impl Item {
    /// An item whose version is a source's number; what it holds breaks ties.
    pub fn sourced(key: Key, revision: u64, value: Option<Vec<u8>>) -> Item {
        let tie = value.as_ref().map_or(u64::MAX, |v| hash::of(&[v]) >> 1);
        Item { key, version: Version(revision, tie), value }
    }

    fn mark(&self) -> u64 {
        mark(self.key.number(), self.version)
    }
}

fn mark(number: u64, version: Version) -> u64 {
    hash::mix(number ^ hash::mix(version.0 ^ hash::mix(version.1)))
}

/// A line of a summary: an item's number and its version.
pub type Line = (u64, Version);

/// A copy of the items.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Cells {
    items: BTreeMap<Key, Item>,
    /// The sum of all items' marks: equal copies have equal sums, whatever the order in which items came.
    digest: u64,
}

impl Cells {
    /// What stands for all of it: copies with the same items have the same digest.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// How many items there are, dropped ones too.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// An item, dropped or not.
    pub fn get(&self, key: &Key) -> Option<&Item> {
        self.items.get(key)
    }

    /// All items, dropped ones too, in the order of their keys.
    pub fn all(&self) -> impl Iterator<Item = &Item> {
        self.items.values()
    }

    /// The items of a kind that stand: their names and what they hold.
    pub fn standing(&self, kind: Kind) -> impl Iterator<Item = (&str, &[u8])> {
        let of_kind = self.items.range(Key::new(kind, "")..).take_while(move |(key, _)| key.kind == kind);
        of_kind.filter_map(|(key, item)| Some((key.name.as_str(), item.value.as_deref()?)))
    }

    /// Takes an item that is newer than what is here; tells whether it was.
    pub fn merge(&mut self, item: Item) -> bool {
        match self.items.get(&item.key) {
            Some(old) if old.version >= item.version => return false,
            Some(old) => self.digest = self.digest.wrapping_sub(old.mark()),
            None => {}
        }
        self.digest = self.digest.wrapping_add(item.mark());
        self.items.insert(item.key.clone(), item);
        true
    }

    /// Takes those that are newer than what is here, and tells which they were.
    pub fn merge_all(&mut self, items: impl IntoIterator<Item = Item>) -> Vec<Item> {
        items.into_iter().filter(|item| self.merge(item.clone())).collect()
    }

    /// Forgets an item, as if it had never been here.
    pub fn forget(&mut self, key: &Key) {
        if let Some(item) = self.items.remove(key) {
            self.digest = self.digest.wrapping_sub(item.mark());
        }
    }

    /// Forgets all that this says so of.
    pub fn forget_if(&mut self, is: impl Fn(&Item) -> bool) {
        let keys: Vec<Key> =
            self.items.values().filter(|item| is(item)).map(|item| item.key.clone()).collect();
        keys.iter().for_each(|key| self.forget(key));
    }

    /// What there is here, in short.
    pub fn summary(&self) -> Vec<Line> {
        self.items.values().map(|item| (item.key.number(), item.version)).collect()
    }

    /// Beside another's summary: the items that are newer here or unknown there, and whether it has any that is newer
    /// there or unknown here.
    pub fn beside(&self, theirs: &[Line]) -> (Vec<Item>, bool) {
        let theirs: BTreeMap<u64, Version> = theirs.iter().copied().collect();
        let mut known = 0;
        let mut behind = false;
        let mut newer = Vec::new();
        for item in self.items.values() {
            match theirs.get(&item.key.number()) {
                Some(&there) => {
                    known += 1;
                    behind |= there > item.version;
                    if there < item.version {
                        newer.push(item.clone());
                    }
                }
                None => newer.push(item.clone()),
            }
        }
        (newer, behind || known < theirs.len())
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use proptest::prelude::*;

    use super::*;

    fn items() -> impl Strategy<Value = Vec<Item>> {
        let one = (0..6_u8, 0..5_u64, proptest::option::of(0..3_u8));
        proptest::collection::vec(one, 0..40).prop_map(|all| {
            let item = |(name, revision, value): (u8, u64, Option<u8>)| {
                let kind = if name % 2 == 0 { Kind::Route } else { Kind::Tenant };
                Item::sourced(Key::new(kind, format!("n{name}")), revision, value.map(|v| vec![v]))
            };
            all.into_iter().map(item).collect()
        })
    }

    proptest! {
        #[test]
        fn the_order_in_which_items_come_tells_nothing(mut all in items(), other in items()) {
            let copy = |items: &[Item]| {
                let mut cells = Cells::default();
                cells.merge_all(items.iter().cloned());
                cells
            };
            let first = copy(&all);
            all.reverse();
            let again: Vec<Item> = all.iter().chain(&all).cloned().collect();
            let second = copy(&again);
            prop_assert_eq!(first.digest(), second.digest());
            prop_assert!(first.all().eq(second.all()));
            // A digest that differs is mended by a summary each way, and nothing that is newer is lost.
            let (mut left, mut right) = (first, copy(&other));
            let (news, behind) = left.beside(&right.summary());
            right.merge_all(news);
            if behind {
                let (news, _) = right.beside(&left.summary());
                left.merge_all(news);
            }
            prop_assert_eq!(left.digest(), right.digest());
            prop_assert!(left.all().eq(right.all()));
            let newest = |key: &Key| all.iter().chain(&other).filter(|i| i.key == *key).map(|i| i.version).max();
            prop_assert!(left.all().all(|item| Some(item.version) == newest(&item.key)));
        }
    }

    #[gtest]
    fn what_is_dropped_stays_dropped_until_a_higher_version() {
        let mut cells = Cells::default();
        let key = Key::new(Kind::Route, "r");
        let item =
            |revision, value: Option<&[u8]>| Item::sourced(key.clone(), revision, value.map(Into::into));
        assert_that!(cells.merge(item(5, Some(b"a"))), eq(true));
        assert_that!(cells.merge(item(7, None)), eq(true));
        expect_that!(cells.merge(item(6, Some(b"b"))), eq(false));
        expect_that!(cells.standing(Kind::Route).count(), eq(0));
        expect_that!(cells.merge(item(8, Some(b"b"))), eq(true));
        expect_that!(cells.standing(Kind::Route).collect::<Vec<_>>(), elements_are![eq(&("r", &b"b"[..]))]);
        cells.forget(&key);
        expect_that!(cells.digest(), eq(0));
    }
}
