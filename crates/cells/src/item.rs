//! Items, each with its own version, and copies of them that merge one by one.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use bincode::{Decode, Encode};

use crate::hash;
use crate::merkle::Tree;

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

    /// A number that stands for it in lines, and its place in the tree of digests.
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

    /// What it adds to the digests of the ranges that it is in.
    pub(crate) fn mark(&self) -> u64 {
        let Version(number, tie) = self.version;
        hash::mix(self.key.number() ^ hash::mix(number ^ hash::mix(tie)))
    }
}

/// What tells of an item: its key's number and its version.
pub type Line = (u64, Version);

/// An item in the order of its key.
#[derive(Debug, Clone)]
struct ByKey(Arc<Item>);

impl Borrow<Key> for ByKey {
    fn borrow(&self) -> &Key {
        &self.0.key
    }
}

impl PartialEq for ByKey {
    fn eq(&self, other: &ByKey) -> bool {
        self.0.key == other.0.key
    }
}

impl Eq for ByKey {}

impl PartialOrd for ByKey {
    fn partial_cmp(&self, other: &ByKey) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ByKey {
    fn cmp(&self, other: &ByKey) -> Ordering {
        self.0.key.cmp(&other.0.key)
    }
}

/// A copy of the items.
#[derive(Debug, Clone, Default)]
pub struct Cells {
    items: BTreeSet<ByKey>,
    /// The same items, by ranges of their keys' numbers. Equal copies have equal trees, whatever the order in which items
    /// came.
    tree: Tree,
}

impl PartialEq for Cells {
    fn eq(&self, other: &Cells) -> bool {
        self.digest() == other.digest() && self.all().eq(other.all())
    }
}

impl Eq for Cells {}

impl Hash for Cells {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.all().for_each(|item| item.hash(state));
    }
}

impl Cells {
    /// What stands for all of it: copies with the same items have the same digest.
    pub fn digest(&self) -> u64 {
        self.tree.digest()
    }

    pub(crate) fn tree(&self) -> &Tree {
        &self.tree
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
        self.items.get(key).map(|item| &*item.0)
    }

    /// All items, dropped ones too, in the order of their keys.
    pub fn all(&self) -> impl Iterator<Item = &Item> {
        self.items.iter().map(|item| &*item.0)
    }

    /// The items of a kind that stand: their names and what they hold.
    pub fn standing(&self, kind: Kind) -> impl Iterator<Item = (&str, &[u8])> {
        let of_kind = self.items.range(Key::new(kind, "")..).map(|item| &*item.0);
        let of_kind = of_kind.take_while(move |item| item.key.kind == kind);
        of_kind.filter_map(|item| Some((item.key.name.as_str(), item.value.as_deref()?)))
    }

    /// Takes an item that is newer than what is here; tells whether it was.
    pub fn merge(&mut self, item: Item) -> bool {
        if self.get(&item.key).is_some_and(|old| old.version >= item.version) {
            return false;
        }
        let item = Arc::new(item);
        self.tree.put(item.clone());
        self.items.replace(ByKey(item));
        true
    }

    /// Takes those that are newer than what is here, and tells which they were.
    pub fn merge_all(&mut self, items: impl IntoIterator<Item = Item>) -> Vec<Item> {
        items.into_iter().filter(|item| self.merge(item.clone())).collect()
    }

    /// Forgets an item, as if it had never been here.
    pub fn forget(&mut self, key: &Key) {
        if let Some(item) = self.items.take(key) {
            self.tree.remove(&item.0);
        }
    }

    /// Forgets all that this says so of.
    pub fn forget_if(&mut self, is: impl Fn(&Item) -> bool) {
        let keys: Vec<Key> = self.all().filter(|item| is(item)).map(|item| item.key.clone()).collect();
        keys.iter().for_each(|key| self.forget(key));
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
            // A digest that differs is mended by words each way, and nothing that is newer is lost.
            let (mut left, mut right) = (first, copy(&other));
            let mut parts = if left.digest() == right.digest() { Vec::new() } else { left.compare() };
            while !parts.is_empty() {
                let answer = right.answer(&parts);
                left.merge_all(answer.items);
                parts = answer.parts;
                std::mem::swap(&mut left, &mut right);
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
