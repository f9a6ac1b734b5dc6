//! A Merkle tree over the items, by ranges of the hashes of their keys.
//!
//! Each inner node has `FAN_OUT` children, and a node of at most `LEAF_CAPACITY` items has none, so the shape of the tree
//! depends on the items alone. The digest of a range is the sum of its items' digests, so a change updates a single path.

use std::sync::Arc;

use bincode::{Decode, Encode};

use crate::item::Item;

/// Maximum number of items in a leaf above [`MAX_DEPTH`].
const LEAF_CAPACITY: usize = 16;
/// Children of an inner node.
pub(crate) const FAN_OUT: u8 = 16;
/// Bits of a key hash that select the child at each depth.
const BITS_PER_DEPTH: u32 = 4;
/// A node at this depth has no children: its range is a single hash.
pub(crate) const MAX_DEPTH: u8 = 16;

/// The key hashes whose upper `4 * depth` bits are those of `first`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct KeyRange {
    first: u64,
    depth: u8,
}

impl KeyRange {
    /// All key hashes.
    pub const ALL: KeyRange = KeyRange { first: 0, depth: 0 };

    /// The range at a depth that contains a key hash.
    pub(crate) fn containing(key_hash: u64, depth: u8) -> KeyRange {
        let depth = depth.min(MAX_DEPTH);
        let free_bits = u64::BITS - BITS_PER_DEPTH * u32::from(depth);
        let first = if free_bits == u64::BITS { 0 } else { key_hash >> free_bits << free_bits };
        KeyRange { first, depth }
    }

    /// The range aligned to the tree. One that a peer sent may have a start or depth that no node has.
    pub(crate) fn normalized(self) -> KeyRange {
        KeyRange::containing(self.first, self.depth)
    }

    /// The lowest key hash of the range.
    pub(crate) fn first(self) -> u64 {
        self.first
    }

    /// The highest key hash of the range.
    fn last(self) -> u64 {
        self.first | u64::MAX.checked_shr(BITS_PER_DEPTH * u32::from(self.depth)).unwrap_or(0)
    }

    /// The depth of the nodes that have ranges of this size.
    pub(crate) fn depth(self) -> u8 {
        self.depth
    }

    pub(crate) fn contains(self, key_hash: u64) -> bool {
        KeyRange::containing(key_hash, self.depth) == self
    }

    /// The child range of an index; `None` if there is none.
    pub(crate) fn child(self, index: u8) -> Option<KeyRange> {
        if self.depth >= MAX_DEPTH || index >= FAN_OUT {
            return None;
        }
        let first = self.first | u64::from(index) << child_shift(self.depth);
        Some(KeyRange { first, depth: self.depth + 1 })
    }

    /// The index of the child that contains this range's first key hash, in its ancestor at a depth.
    pub(crate) fn child_index(self, depth: u8) -> u8 {
        child_index(self.first, depth)
    }
}

fn child_shift(depth: u8) -> u32 {
    u64::BITS - BITS_PER_DEPTH * (u32::from(depth) + 1)
}

/// The index of the child that contains a key hash, in a node at this depth.
fn child_index(key_hash: u64, depth: u8) -> u8 {
    (key_hash >> child_shift(depth)) as u8 & (FAN_OUT - 1)
}

/// An item with the hash of its key.
pub(crate) type HashedItem = (u64, Arc<Item>);

#[derive(Debug, Clone)]
enum Children {
    /// The items of a leaf, in the order of their key hashes, then of their keys.
    Items(Vec<HashedItem>),
    Nodes(Box<[DigestTree; FAN_OUT as usize]>),
}

/// How an insertion has changed a node's digest and item count.
struct Growth {
    digest: u64,
    count: usize,
}

/// A node with its subtree.
#[derive(Debug, Clone)]
pub(crate) struct DigestTree {
    /// The sum of the items' digests.
    digest: u64,
    count: usize,
    children: Children,
}

impl Default for DigestTree {
    fn default() -> DigestTree {
        DigestTree { digest: 0, count: 0, children: Children::Items(Vec::new()) }
    }
}

impl DigestTree {
    /// The digest of all items.
    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    /// Inserts an item, replacing the one with the same key.
    pub(crate) fn insert(&mut self, item: Arc<Item>) {
        self.insert_at(0, item.key.key_hash(), item);
    }

    fn insert_at(&mut self, depth: u8, key_hash: u64, item: Arc<Item>) -> Growth {
        let growth = match &mut self.children {
            Children::Nodes(nodes) => {
                nodes[usize::from(child_index(key_hash, depth))].insert_at(depth + 1, key_hash, item)
            }
            Children::Items(items) => insert_into_leaf(items, key_hash, item),
        };
        self.digest = self.digest.wrapping_add(growth.digest);
        self.count += growth.count;
        if self.count > LEAF_CAPACITY && depth < MAX_DEPTH {
            self.split(depth);
        }
        growth
    }

    /// Turns a leaf into an inner node; an inner node does not change.
    fn split(&mut self, depth: u8) {
        let Children::Items(items) = &mut self.children else { return };
        let mut nodes: [DigestTree; FAN_OUT as usize] = Default::default();
        for (key_hash, item) in std::mem::take(items) {
            nodes[usize::from(child_index(key_hash, depth))].insert_at(depth + 1, key_hash, item);
        }
        self.children = Children::Nodes(Box::new(nodes));
    }

    /// Removes an item that is in the tree.
    pub(crate) fn remove(&mut self, item: &Item) {
        self.remove_at(0, item.key.key_hash(), item);
    }

    fn remove_at(&mut self, depth: u8, key_hash: u64, item: &Item) -> bool {
        let removed = match &mut self.children {
            Children::Nodes(nodes) => {
                nodes[usize::from(child_index(key_hash, depth))].remove_at(depth + 1, key_hash, item)
            }
            Children::Items(items) => {
                let index = items.iter().position(|(hash, old)| *hash == key_hash && old.key == item.key);
                index.map(|index| items.remove(index)).is_some()
            }
        };
        if removed {
            self.digest = self.digest.wrapping_sub(item.digest());
            self.count -= 1;
            self.collapse();
        }
        removed
    }

    /// Turns an inner node into a leaf if its items fit in one.
    fn collapse(&mut self) {
        if self.count > LEAF_CAPACITY || matches!(self.children, Children::Items(_)) {
            return;
        }
        let mut items = Vec::with_capacity(LEAF_CAPACITY);
        self.for_each(&mut |key_hash, item| items.push((key_hash, item.clone())));
        self.children = Children::Items(items);
    }

    /// Visits all items in the order of their key hashes.
    pub(crate) fn for_each<'a>(&'a self, visit: &mut impl FnMut(u64, &'a Arc<Item>)) {
        match &self.children {
            Children::Items(items) => items.iter().for_each(|(key_hash, item)| visit(*key_hash, item)),
            Children::Nodes(nodes) => nodes.iter().for_each(|node| node.for_each(visit)),
        }
    }

    /// The node of a range, with the node's own range. Where the tree is less deep, it is the leaf that contains the range.
    pub(crate) fn node(&self, range: KeyRange) -> (&DigestTree, KeyRange) {
        let mut node = self;
        for depth in 0..range.depth() {
            match &node.children {
                Children::Nodes(nodes) => node = &nodes[usize::from(range.child_index(depth))],
                Children::Items(_) => return (node, KeyRange::containing(range.first(), depth)),
            }
        }
        (node, range)
    }

    /// The digests of a node's children; `None` for a leaf.
    pub(crate) fn child_digests(&self) -> Option<Vec<u64>> {
        match &self.children {
            Children::Nodes(nodes) => Some(nodes.iter().map(|node| node.digest).collect()),
            Children::Items(_) => None,
        }
    }

    /// The items of a leaf; none for an inner node.
    pub(crate) fn leaf_items(&self) -> &[HashedItem] {
        match &self.children {
            Children::Items(items) => items,
            Children::Nodes(_) => &[],
        }
    }

    /// The digest of a range.
    pub(crate) fn range_digest(&self, range: KeyRange) -> u64 {
        let (node, node_range) = self.node(range);
        if node_range == range {
            return node.digest;
        }
        let inside = node.leaf_items().iter().filter(|(key_hash, _)| range.contains(*key_hash));
        inside.fold(0, |digest, (_, item)| digest.wrapping_add(item.digest()))
    }

    /// The items of the leaf that contains a key hash, and that leaf's range.
    pub(crate) fn leaf(&self, key_hash: u64) -> (&[HashedItem], KeyRange) {
        let (node, range) = self.node(KeyRange::containing(key_hash, MAX_DEPTH));
        (node.leaf_items(), range)
    }

    /// The leaves within a range, or the one leaf that contains it.
    pub(crate) fn leaves(&self, range: KeyRange) -> Leaves<'_> {
        Leaves { tree: self, range, next: Some(range.first()) }
    }
}

fn insert_into_leaf(items: &mut Vec<HashedItem>, key_hash: u64, item: Arc<Item>) -> Growth {
    let digest = item.digest();
    match items.binary_search_by(|(hash, old)| (hash, &old.key).cmp(&(&key_hash, &item.key))) {
        Ok(index) => {
            let old = std::mem::replace(&mut items[index].1, item);
            Growth { digest: digest.wrapping_sub(old.digest()), count: 0 }
        }
        Err(index) => {
            items.insert(index, (key_hash, item));
            Growth { digest, count: 1 }
        }
    }
}

/// Iterates over the leaves of a range in the order of key hashes.
pub(crate) struct Leaves<'a> {
    tree: &'a DigestTree,
    range: KeyRange,
    /// The first key hash that has not been visited.
    next: Option<u64>,
}

impl<'a> Iterator for Leaves<'a> {
    type Item = (&'a [HashedItem], KeyRange);

    fn next(&mut self) -> Option<Self::Item> {
        let key_hash = self.next.filter(|key_hash| self.range.contains(*key_hash))?;
        let (items, leaf) = self.tree.leaf(key_hash);
        self.next = leaf.last().checked_add(1);
        Some((items, leaf))
    }
}
