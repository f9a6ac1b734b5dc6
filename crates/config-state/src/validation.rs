//! Validation of updates against the live items.
//!
//! [`accept_update`] defines the rules, at a cost proportional to all live items. [`IndexedItems`] gives the same result
//! at a cost proportional to what the update touches.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

use crate::error::ValidationError;
use crate::item::{Item, Key, Kind};
use crate::item_set::ItemSet;
use crate::request_syntax::check_request_syntax;
use crate::resources::{Route, Tenant};

mod reference_index;
mod references;
#[cfg(test)]
mod tests;

use reference_index::ReferenceIndex;
use references::{exceeds_bounds, references, shared_api_key, unknown_service};

/// Checks an item by itself. A tombstone is always valid.
pub fn check_item(item: &Item) -> Result<(), ValidationError> {
    references(item).map(drop)
}

/// Whether a call's item is newer than the live one of its key, by the operator's revision.
fn is_newer_revision(live: Option<&Item>, item: &Item) -> bool {
    live.is_none_or(|old| old.version.revision < item.version.revision)
}

/// Checks the request syntax of the items that are new in a call. An item that was accepted once is acknowledged again, even
/// if it would be rejected now.
fn check_new_syntax<'a>(
    live: impl Fn(&Key) -> Option<&'a Item>,
    call: &[Item],
) -> Result<(), ValidationError> {
    let mut newer = call.iter().filter(|item| is_newer_revision(live(&item.key), item));
    newer.try_for_each(check_request_syntax)
}

/// Checks that a revision of an item has a single content, within a call and compared to the live item.
fn check_revisions<'a>(
    live: impl Fn(&Key) -> Option<&'a Item>,
    call: &[Item],
) -> Result<(), ValidationError> {
    let mut sent: BTreeMap<(&Key, u64), &Item> = BTreeMap::new();
    for item in call {
        let revision = item.version.revision;
        let other = sent.insert((&item.key, revision), item).or_else(|| live(&item.key));
        if other.is_some_and(|other| other.version.revision == revision && other != item) {
            return Err(ValidationError::conflict(
                format!("{:?} {}/revision", item.key.kind, item.key.name),
                format!("{revision} is taken with another content: a higher one is wanted"),
            ));
        }
    }
    Ok(())
}

/// Live items with an index of their references.
#[derive(Debug, Clone, Default)]
pub struct IndexedItems {
    items: ItemSet,
    index: ReferenceIndex<'static>,
}

/// Compares the items alone: the index is derived from them.
impl PartialEq for IndexedItems {
    fn eq(&self, other: &IndexedItems) -> bool {
        self.items == other.items
    }
}

impl Eq for IndexedItems {}

impl Hash for IndexedItems {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.items.hash(state);
    }
}

impl IndexedItems {
    /// Indexes all items.
    pub fn new(items: ItemSet) -> IndexedItems {
        let mut index = ReferenceIndex::default();
        items.iter().for_each(|item| index.insert(item));
        IndexedItems { items, index }
    }

    /// The items.
    pub fn items(&self) -> &ItemSet {
        &self.items
    }

    /// Inserts an item if it is newer than the one with its key; returns whether it was.
    pub fn merge(&mut self, item: Item) -> bool {
        let old = self.items.get(&item.key);
        if old.is_some_and(|old| old.version >= item.version) {
            return false;
        }
        self.index.replace(old, &item);
        self.items.merge(item)
    }

    /// Merges several items; returns those that were newer.
    pub fn merge_all(&mut self, items: impl IntoIterator<Item = Item>) -> Vec<Item> {
        items.into_iter().filter(|item| self.merge(item.clone())).collect()
    }

    /// An empty overlay, to which items can be added without changing these.
    pub fn overlay(&self) -> Overlay<'_> {
        Overlay { base: &self.items, index: ReferenceIndex::over(&self.index), items: BTreeMap::new() }
    }

    /// As [`accept_update`], at a cost proportional to what the update touches.
    pub fn accept_update(&self, call: &[Item]) -> Result<Vec<Item>, ValidationError> {
        self.overlay().accept_update(call)
    }
}

/// Items on top of live ones, until it is known whether they are committed.
#[derive(Debug, Clone)]
pub struct Overlay<'a> {
    base: &'a ItemSet,
    index: ReferenceIndex<'a>,
    items: BTreeMap<Key, Item>,
}

impl Overlay<'_> {
    /// The item of a key, from the overlay or else from the live items.
    pub fn get(&self, key: &Key) -> Option<&Item> {
        self.items.get(key).or_else(|| self.base.get(key))
    }

    /// Inserts an item if it is newer than the one with its key; returns whether it was.
    pub fn merge(&mut self, item: Item) -> bool {
        let old = self.items.get(&item.key).or_else(|| self.base.get(&item.key));
        if old.is_some_and(|old| old.version >= item.version) {
            return false;
        }
        self.index.replace(old, &item);
        self.items.insert(item.key.clone(), item);
        true
    }

    /// Merges several items; returns those that were newer.
    pub fn merge_all(&mut self, items: impl IntoIterator<Item = Item>) -> Vec<Item> {
        items.into_iter().filter(|item| self.merge(item.clone())).collect()
    }

    /// The live items merged with those of the overlay, at a cost proportional to all items.
    pub fn to_item_set(&self) -> ItemSet {
        let mut items = self.base.clone();
        items.merge_all(self.items.values().cloned());
        items
    }

    /// As [`accept_update`], at a cost proportional to what the update touches. The overlay itself does not change.
    pub fn accept_update(&self, call: &[Item]) -> Result<Vec<Item>, ValidationError> {
        call.iter().try_for_each(check_item)?;
        check_revisions(|key| self.get(key), call)?;
        check_new_syntax(|key| self.get(key), call)?;
        let accepted = self.highest_newer(call);
        if !accepted.is_empty() {
            self.check_references_with(accepted.values().copied())?;
        }
        let mut seen = BTreeSet::new();
        let newer =
            call.iter().filter(|item| accepted.get(&item.key) == Some(item) && seen.insert(&item.key));
        Ok(newer.cloned().collect())
    }

    /// The newer items of a call: of two versions of one item, the higher.
    fn highest_newer<'b>(&self, call: &'b [Item]) -> BTreeMap<&'b Key, &'b Item> {
        let mut highest: BTreeMap<&Key, &Item> = BTreeMap::new();
        for item in call.iter().filter(|item| is_newer_revision(self.get(&item.key), item)) {
            let kept = highest.entry(&item.key).or_insert(item);
            if kept.version < item.version {
                *kept = item;
            }
        }
        highest
    }

    fn check_references_with<'b>(
        &self,
        items: impl Iterator<Item = &'b Item>,
    ) -> Result<(), ValidationError> {
        let mut index = ReferenceIndex::over(&self.index);
        for item in items {
            index.replace(self.get(&item.key), item);
        }
        if !index.has_faults() {
            return Ok(());
        }
        // If what the update touches has no fault, the live items have one, and no update that leaves it is accepted.
        let live_fault = || check_references(&self.to_item_set()).err();
        let fault = index.own_fault().or_else(live_fault);
        Err(fault.unwrap_or(ValidationError::invalid("", "what stands does not fit")))
    }
}

/// Returns the newer items of an update, if the live items would be consistent with them.
///
/// An older or repeated version has no effect and is not an error. Different content under an accepted revision is a
/// conflict: of two operators who send different content under one revision at most one is acknowledged.
///
/// The cost is proportional to all live items. This is the reference implementation for [`Overlay::accept_update`].
pub fn accept_update(live: &ItemSet, call: &[Item]) -> Result<Vec<Item>, ValidationError> {
    call.iter().try_for_each(check_item)?;
    check_revisions(|key| live.get(key), call)?;
    check_new_syntax(|key| live.get(key), call)?;
    let mut next = live.clone();
    let newer = call
        .iter()
        .filter(|item| is_newer_revision(live.get(&item.key), item) && next.merge((*item).clone()));
    let newer: Vec<Item> = newer.cloned().collect();
    // Of two versions of an item in one call, the higher wins.
    let newer: Vec<Item> = newer.into_iter().filter(|item| next.get(&item.key) == Some(item)).collect();
    if !newer.is_empty() {
        check_references(&next)?;
    }
    Ok(newer)
}

/// Checks that each live route's services are live, and that no two live tenants share an API key.
pub fn check_references(items: &ItemSet) -> Result<(), ValidationError> {
    let services: BTreeSet<&str> = items.live(Kind::Service).map(|(name, _)| name).collect();
    let checked = |kind: Kind| {
        let of_kind = items.iter().filter(move |item| item.key.kind == kind && !exceeds_bounds(item));
        of_kind.filter_map(|item| Some((item.key.name.as_str(), item.value.as_deref()?)))
    };
    for (name, text) in checked(Kind::Route) {
        let route = Route::parse(name, text)?;
        let unknown = route.services.iter().find(|part| !services.contains(part.service.as_str()));
        if let Some(part) = unknown {
            return Err(unknown_service(name, &part.service));
        }
    }
    let mut owners: BTreeMap<String, &str> = BTreeMap::new();
    for (name, text) in checked(Kind::Tenant) {
        for key in Tenant::parse(name, text)?.api_keys {
            if let Some(other) = owners.insert(key, name).filter(|other| *other != name) {
                return Err(shared_api_key(name, other));
            }
        }
    }
    Ok(())
}
