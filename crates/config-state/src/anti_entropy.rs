//! Anti-entropy: the messages that two replicas exchange until they are equal.
//!
//! A replica first sends the digests of the top of its tree ([`ItemSet::sync_request`]). The other descends where digests
//! differ and replies with newer items and with the next digests or entries to compare ([`ItemSet::sync_reply`]). A reply
//! depends on nothing but the request and the items present, so any message may get lost, arrive twice or late, or cross a
//! change on either side.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use bincode::{Decode, Encode};

use crate::digest_tree::{DigestTree, HashedItem, KeyRange, FAN_OUT};
use crate::item::{Item, Version};
use crate::item_set::ItemSet;

/// The size in bytes at which a reply ends; the part or item that exceeds it is still included. At 2 Mbit/s such a reply
/// takes a quarter of a second, so heartbeats queued behind it are not late.
pub const REPLY_SIZE_LIMIT: usize = 64 * 1024;
/// The number of ranges whose digests [`ItemSet::range_digests`] returns.
pub const RANGE_COUNT: usize = 256;
/// The depth of these ranges in the tree.
const RANGE_DEPTH: u8 = 2;
/// Bits by which a range's index is shifted left to get its first key hash.
const RANGE_SHIFT: u32 = 56;

/// Approximate bytes on the wire of a digest.
const DIGEST_SIZE: usize = 9;
/// Approximate bytes on the wire of an entry.
const ENTRY_SIZE: usize = 24;
/// Approximate bytes on the wire of an item besides its name and value.
const ITEM_OVERHEAD: usize = 16;

/// Approximate bytes on the wire of an item.
fn encoded_size(item: &Item) -> usize {
    ITEM_OVERHEAD + item.key.name.len() + item.value.as_ref().map_or(0, Vec::len)
}

/// Whether items are small enough in total to be pushed in one message. Otherwise the peer fetches them reply by reply.
pub fn fits_one_message(items: &[Item]) -> bool {
    items.iter().map(encoded_size).sum::<usize>() <= REPLY_SIZE_LIMIT / 2
}

/// An item as it is described to another replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct DigestEntry {
    /// The hash of its key.
    pub key_hash: u64,
    /// Its version.
    pub version: Version,
}

/// One part of a request or reply.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub enum SyncPart {
    /// The digests of a range's children, from one of them on.
    Digests {
        /// The range.
        range: KeyRange,
        /// The index of the first child that is covered.
        first_child: u8,
        /// The digests of that child and those after it; 0 for a child without items.
        digests: Vec<u64>,
    },
    /// The entries of all items of a range.
    Entries {
        /// The range.
        range: KeyRange,
        /// One entry for each item.
        entries: Vec<DigestEntry>,
    },
    /// Requests the items of these key hashes.
    Want(Vec<u64>),
}

impl SyncPart {
    /// The part that a replica without items sends, which requests all items.
    pub fn request_all() -> SyncPart {
        SyncPart::Entries { range: KeyRange::ALL, entries: Vec::new() }
    }

    /// The lowest key hash that the part concerns.
    fn first_key_hash(&self) -> u64 {
        match self {
            SyncPart::Digests { range, first_child, .. } => {
                range.normalized().child(*first_child).map_or(u64::MAX, KeyRange::first)
            }
            SyncPart::Entries { range, .. } => range.normalized().first(),
            SyncPart::Want(key_hashes) => key_hashes.iter().copied().min().unwrap_or(u64::MAX),
        }
    }

    fn encoded_size(&self) -> usize {
        match self {
            SyncPart::Digests { digests, .. } => DIGEST_SIZE * (1 + digests.len()),
            SyncPart::Entries { entries, .. } => DIGEST_SIZE + ENTRY_SIZE * entries.len(),
            SyncPart::Want(key_hashes) => DIGEST_SIZE * key_hashes.len(),
        }
    }
}

/// A replica's reply to the parts that another has sent.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SyncReply {
    /// Items that are newer than the other replica's, or that it lacks.
    pub items: Vec<Item>,
    /// Digests and entries to compare next, and requests for items.
    pub parts: Vec<SyncPart>,
    /// Approximate bytes on the wire.
    size: usize,
}

impl SyncReply {
    /// Whether there is nothing to send, which ends the exchange.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty() && self.parts.is_empty()
    }

    fn is_full(&self) -> bool {
        self.size >= REPLY_SIZE_LIMIT
    }

    fn push_item(&mut self, item: &Item) {
        self.size += encoded_size(item);
        self.items.push(item.clone());
    }

    fn push_part(&mut self, part: SyncPart) {
        self.size += part.encoded_size();
        self.parts.push(part);
    }
}

/// The reply has reached its size limit. Nothing was compared from this range on.
struct Full {
    from: KeyRange,
}

/// Builds the reply to the parts of a request from the items of a tree.
struct Responder<'a> {
    tree: &'a DigestTree,
    reply: SyncReply,
}

/// What two replicas have under one key hash. Several keys may share it.
#[derive(Default)]
struct KeyHashSides<'s> {
    /// The items here.
    own: Vec<&'s Arc<Item>>,
    /// The versions of the other replica; `None` if it has no item of this key hash.
    theirs: Option<&'s BTreeSet<Version>>,
}

impl<'a> Responder<'a> {
    fn respond(&mut self, part: &SyncPart) -> Result<(), Full> {
        match part {
            SyncPart::Digests { range, first_child, digests } => {
                self.compare_digests(range.normalized(), *first_child, digests)
            }
            SyncPart::Entries { range, entries } => self.compare_entries(range.normalized(), entries),
            SyncPart::Want(key_hashes) => self.send_wanted(key_hashes),
        }
    }

    /// Descends into the children whose digests differ.
    fn compare_digests(&mut self, range: KeyRange, first_child: u8, digests: &[u64]) -> Result<(), Full> {
        for (index, &digest) in (first_child..FAN_OUT).zip(digests) {
            let child = range.child(index).filter(|child| self.tree.range_digest(*child) != digest);
            let Some(child) = child else { continue };
            if self.reply.is_full() {
                return Err(Full { from: child });
            }
            if digest == 0 {
                self.compare_entries(child, &[])?;
            } else {
                self.reply.push_part(describe(self.tree, child));
            }
        }
        Ok(())
    }

    /// Compares all entries of the other replica in a range with the items here.
    fn compare_entries(&mut self, range: KeyRange, entries: &[DigestEntry]) -> Result<(), Full> {
        let theirs = versions_by_key_hash(range, entries);
        let mut wanted = Vec::new();
        let mut result = Ok(());
        for (items, leaf) in self.tree.leaves(range) {
            let inside = items.iter().filter(|(key_hash, _)| range.contains(*key_hash));
            let of_leaf = theirs.range(leaf.first()..).take_while(|(key_hash, _)| leaf.contains(**key_hash));
            result = self.compare_leaf(leaf, inside, of_leaf, &mut wanted);
            if result.is_err() {
                break;
            }
        }
        if !wanted.is_empty() {
            self.reply.push_part(SyncPart::Want(wanted));
        }
        result
    }

    fn compare_leaf<'b>(
        &mut self,
        leaf: KeyRange,
        items: impl Iterator<Item = &'a HashedItem>,
        theirs: impl Iterator<Item = (&'b u64, &'b BTreeSet<Version>)>,
        wanted: &mut Vec<u64>,
    ) -> Result<(), Full> {
        let mut both: BTreeMap<u64, KeyHashSides> = BTreeMap::new();
        for (key_hash, item) in items {
            both.entry(*key_hash).or_default().own.push(item);
        }
        for (key_hash, versions) in theirs {
            both.entry(*key_hash).or_default().theirs = Some(versions);
        }
        for (key_hash, sides) in both {
            if self.reply.is_full() {
                return Err(Full { from: leaf });
            }
            self.compare_key_hash(key_hash, &sides.own, sides.theirs, wanted);
        }
        Ok(())
    }

    /// Compares the items of one key hash. Several keys may share it.
    fn compare_key_hash(
        &mut self,
        key_hash: u64,
        own: &[&Arc<Item>],
        theirs: Option<&BTreeSet<Version>>,
        wanted: &mut Vec<u64>,
    ) {
        let single = theirs.and_then(|versions| versions.first().filter(|_| versions.len() == 1));
        if let ([item], Some(version)) = (own, single) {
            if *version < item.version {
                self.reply.push_item(item);
            } else if *version > item.version {
                wanted.push(key_hash);
            }
            return;
        }
        // Only one side has items, or several keys share the hash: each side sends all its items, unless the versions are
        // equal.
        let versions: BTreeSet<Version> = own.iter().map(|item| item.version).collect();
        if theirs == Some(&versions) && versions.len() == own.len() {
            return;
        }
        own.iter().for_each(|item| self.reply.push_item(item));
        if theirs.is_some_and(|theirs| !theirs.is_subset(&versions)) {
            wanted.push(key_hash);
        }
    }

    fn send_wanted(&mut self, key_hashes: &[u64]) -> Result<(), Full> {
        for &key_hash in key_hashes.iter().collect::<BTreeSet<_>>() {
            let (items, leaf) = self.tree.leaf(key_hash);
            if self.reply.is_full() {
                return Err(Full { from: leaf });
            }
            let wanted = items.iter().filter(|(hash, _)| *hash == key_hash);
            wanted.for_each(|(_, item)| self.reply.push_item(item));
        }
        Ok(())
    }

    /// Adds the digests of all ranges from this one on, so that the other replica's next request continues there.
    fn describe_rest(&mut self, from: KeyRange) {
        if from.depth() == 0 {
            return self.reply.parts.push(describe(self.tree, from));
        }
        for depth in (0..from.depth()).rev() {
            // At the deepest level the range itself is included; above it, the child that contains it is already covered.
            let first_child = from.child_index(depth) + u8::from(depth + 1 < from.depth());
            let parent = KeyRange::containing(from.first(), depth);
            let children = (first_child..FAN_OUT).filter_map(|index| parent.child(index));
            let digests: Vec<u64> = children.map(|child| self.tree.range_digest(child)).collect();
            if !digests.is_empty() {
                self.reply.parts.push(SyncPart::Digests { range: parent, first_child, digests });
            }
        }
    }
}

fn versions_by_key_hash(range: KeyRange, entries: &[DigestEntry]) -> BTreeMap<u64, BTreeSet<Version>> {
    let mut versions: BTreeMap<u64, BTreeSet<Version>> = BTreeMap::new();
    for entry in entries.iter().filter(|entry| range.contains(entry.key_hash)) {
        versions.entry(entry.key_hash).or_default().insert(entry.version);
    }
    versions
}

/// Describes a range by the digests of its children, or by the entries of its items where it lies in a leaf.
fn describe(tree: &DigestTree, range: KeyRange) -> SyncPart {
    let (node, _) = tree.node(range);
    if let Some(digests) = node.child_digests() {
        return SyncPart::Digests { range, first_child: 0, digests };
    }
    let inside = node.leaf_items().iter().filter(|(key_hash, _)| range.contains(*key_hash));
    let entries = inside.map(|(key_hash, item)| DigestEntry { key_hash: *key_hash, version: item.version });
    SyncPart::Entries { range, entries: entries.collect() }
}

impl ItemSet {
    /// The first request to a replica whose digest differs.
    pub fn sync_request(&self) -> Vec<SyncPart> {
        vec![describe(self.tree(), KeyRange::ALL)]
    }

    /// The reply to another replica's parts. It takes about [`REPLY_SIZE_LIMIT`] bytes on the wire at most, besides the last
    /// item; digests describe the ranges that did not fit.
    pub fn sync_reply(&self, parts: &[SyncPart]) -> SyncReply {
        let mut parts: Vec<&SyncPart> = parts.iter().collect();
        parts.sort_by_key(|part| part.first_key_hash());
        let mut responder = Responder { tree: self.tree(), reply: SyncReply::default() };
        for part in parts {
            if let Err(full) = responder.respond(part) {
                responder.describe_rest(full.from);
                break;
            }
        }
        responder.reply
    }

    /// The digests of the [`RANGE_COUNT`] equal parts of the key-hash space, in order.
    pub fn range_digests(&self) -> Vec<u64> {
        (0..RANGE_COUNT).map(|index| self.tree().range_digest(indexed_range(index))).collect()
    }

    /// The items of one of the [`RANGE_COUNT`] ranges.
    pub fn items_in_range(&self, index: usize) -> Vec<&Item> {
        let range = indexed_range(index);
        let mut items = Vec::new();
        self.tree().node(range).0.for_each(&mut |key_hash, item| {
            if range.contains(key_hash) {
                items.push(&**item);
            }
        });
        items
    }

    /// The items of the ranges whose digests differ between `own` and `theirs`: all items if `theirs` does not have
    /// [`RANGE_COUNT`] digests.
    pub fn items_in_differing_ranges<'a>(
        &'a self,
        own: &'a [u64],
        theirs: &'a [u64],
    ) -> impl Iterator<Item = &'a Item> + 'a {
        let differs =
            move |index: &usize| theirs.len() != RANGE_COUNT || own.get(*index) != theirs.get(*index);
        (0..RANGE_COUNT).filter(differs).flat_map(|index| self.items_in_range(index))
    }
}

/// The range of an index among the [`RANGE_COUNT`] ranges.
fn indexed_range(index: usize) -> KeyRange {
    KeyRange::containing((index as u64) << RANGE_SHIFT, RANGE_DEPTH)
}
