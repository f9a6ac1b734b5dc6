//! A replica: the newest known version of each item.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::sync::Arc;

use crate::digest_tree::DigestTree;
use crate::item::{Item, Key, Kind};

#[cfg(test)]
mod tests;

/// An item that compares by its key alone.
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

/// A replica: at most one item for each key, tombstones included. Clones share the items.
#[derive(Debug, Clone, Default)]
pub struct ItemSet {
    items: BTreeSet<ByKey>,
    /// The same items by the hash of their keys. Equal replicas have equal trees, whatever the order of arrival.
    tree: DigestTree,
}

impl PartialEq for ItemSet {
    fn eq(&self, other: &ItemSet) -> bool {
        self.digest() == other.digest() && self.iter().eq(other.iter())
    }
}

impl Eq for ItemSet {}

impl Hash for ItemSet {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.iter().for_each(|item| item.hash(state));
    }
}

impl ItemSet {
    /// A digest of all items: replicas with equal items have equal digests.
    pub fn digest(&self) -> u64 {
        self.tree.digest()
    }

    pub(crate) fn tree(&self) -> &DigestTree {
        &self.tree
    }

    /// The number of items, tombstones included.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether there are no items, not even tombstones.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// The item of a key, which may be a tombstone.
    pub fn get(&self, key: &Key) -> Option<&Item> {
        self.items.get(key).map(|item| &*item.0)
    }

    /// All items in the order of their keys, tombstones included.
    pub fn iter(&self) -> impl Iterator<Item = &Item> {
        self.items.iter().map(|item| &*item.0)
    }

    /// The name and content of each item of a kind that is not a tombstone, in the order of names.
    pub fn live(&self, kind: Kind) -> impl Iterator<Item = (&str, &[u8])> {
        let from_first = self.items.range(Key::new(kind, "")..).map(|item| &*item.0);
        let of_kind = from_first.take_while(move |item| item.key.kind == kind);
        of_kind.filter_map(|item| Some((item.key.name.as_str(), item.value.as_deref()?)))
    }

    /// Inserts an item if it is newer than the one with its key; returns whether it was.
    pub fn merge(&mut self, item: Item) -> bool {
        if self.get(&item.key).is_some_and(|old| old.version >= item.version) {
            return false;
        }
        let item = Arc::new(item);
        self.tree.insert(item.clone());
        self.items.replace(ByKey(item));
        true
    }

    /// Merges several items; returns those that were newer.
    pub fn merge_all(&mut self, items: impl IntoIterator<Item = Item>) -> Vec<Item> {
        items.into_iter().filter(|item| self.merge(item.clone())).collect()
    }

    /// Removes an item without leaving a tombstone: a replica that still has it may replicate it back.
    pub fn remove(&mut self, key: &Key) {
        if let Some(item) = self.items.take(key) {
            self.tree.remove(&item.0);
        }
    }

    /// Removes all items that match, as [`ItemSet::remove`] does.
    pub fn remove_if(&mut self, matches: impl Fn(&Item) -> bool) {
        let keys: Vec<Key> = self.iter().filter(|item| matches(item)).map(|item| item.key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}
