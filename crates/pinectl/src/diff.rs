//! Computes what a call would change in the current configuration, item by item.

use std::collections::BTreeMap;

use pinerelay_config_state::{json, Item, ItemSet, Key};
use sonic_rs::{JsonContainerTrait, Value};

use crate::listings::kind_name;
use crate::report::{Cell, Table};

#[cfg(test)]
mod tests;

/// The effect of a call on an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// The item does not exist and is created.
    Create,
    /// The item exists at an older revision and is replaced.
    Update,
    /// The item exists and is removed.
    Remove,
    /// The item to remove does not exist. Only a tombstone is stored, which blocks older revisions of the item.
    TombstoneOnly,
    /// A newer revision exists; the call has no effect on the item.
    Outdated,
    /// The same revision exists with other content; the call is rejected.
    Conflict,
}

impl Effect {
    /// The effect as it is shown in reports.
    pub fn name(self) -> &'static str {
        match self {
            Effect::Create => "create",
            Effect::Update => "update",
            Effect::Remove => "remove",
            Effect::TombstoneOnly => "does not exist",
            Effect::Outdated => "outdated: no effect",
            Effect::Conflict => "same revision, other content: rejected",
        }
    }

    /// Whether the effect changes the live configuration; a tombstone alone does not.
    pub fn changes_configuration(self) -> bool {
        matches!(self, Effect::Create | Effect::Update | Effect::Remove)
    }
}

/// A field that differs, with its JSON before and after the call; `None` if it does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldChange {
    /// The name of the field.
    pub name: String,
    /// The value before the call.
    pub old: Option<String>,
    /// The value after the call.
    pub new: Option<String>,
}

/// The change that a call makes to one item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemChange {
    /// The item.
    pub key: Key,
    /// The effect of the call on the item.
    pub effect: Effect,
    /// The current revision, if any.
    pub current_revision: Option<u64>,
    /// The revision in the call.
    pub requested_revision: u64,
    /// The fields that differ between the current item and the call; empty for [`Effect::Remove`].
    pub fields: Vec<FieldChange>,
}

/// Returns the fields of an item as JSON, by name.
fn fields_of(item: Option<&Item>) -> BTreeMap<String, String> {
    let value = item.and_then(|item| json::parse(item.value.as_deref()?, &json::STORED).ok());
    let object = value.as_ref().and_then(|value| value.as_object());
    let text = |value: &Value| sonic_rs::to_string(value).unwrap_or_default();
    object
        .iter()
        .flat_map(|object| object.iter())
        .map(|(name, value)| (name.to_string(), text(value)))
        .collect()
}

/// Returns the fields that differ, except the revision, which has its own column.
fn changed_fields(old: Option<&Item>, new: &Item) -> Vec<FieldChange> {
    let (old, new) = (fields_of(old), fields_of(Some(new)));
    let mut names: Vec<&String> = old.keys().chain(new.keys()).filter(|name| *name != "revision").collect();
    names.sort();
    names.dedup();
    let change = |name: &String| FieldChange {
        name: name.clone(),
        old: old.get(name).cloned(),
        new: new.get(name).cloned(),
    };
    names.into_iter().map(change).filter(|change| change.old != change.new).collect()
}

/// Returns the effect of a requested item; `None` if it equals the current one.
fn effect(current: Option<&Item>, requested: &Item) -> Option<Effect> {
    let exists = current.is_some_and(|current| current.value.is_some());
    if let Some(current) = current {
        if current == requested {
            return None;
        }
        if current.version.revision == requested.version.revision {
            return Some(Effect::Conflict);
        }
        if current.version.revision > requested.version.revision {
            return Some(Effect::Outdated);
        }
    }
    Some(match (&requested.value, exists) {
        (Some(_), true) => Effect::Update,
        (Some(_), false) => Effect::Create,
        (None, true) => Effect::Remove,
        (None, false) => Effect::TombstoneOnly,
    })
}

fn item_change(current: Option<&Item>, requested: &Item) -> Option<ItemChange> {
    let effect = effect(current, requested)?;
    let fields = if effect == Effect::Remove { Vec::new() } else { changed_fields(current, requested) };
    Some(ItemChange {
        key: requested.key.clone(),
        effect,
        current_revision: current.map(|current| current.version.revision),
        requested_revision: requested.version.revision,
        fields,
    })
}

/// Returns the changes that the items of a call would make. Items that equal the current ones are omitted.
pub fn diff(current: &ItemSet, call: &[Item]) -> Vec<ItemChange> {
    // If a call has two versions of an item, the higher one wins.
    let mut requested = ItemSet::default();
    requested.merge_all(call.iter().cloned());
    requested.iter().filter_map(|item| item_change(current.get(&item.key), item)).collect()
}

/// Returns the changes as a table: one row per changed field, or a single row for an item without changed fields.
pub fn table(changes: &[ItemChange]) -> Table {
    let columns = ["kind", "name", "effect", "current", "requested", "field", "old", "new"];
    let mut table = Table::new("changes", &columns);
    for change in changes {
        let head = [
            kind_name(change.key.kind).into(),
            change.key.name.as_str().into(),
            change.effect.name().into(),
            change.current_revision.map_or(Cell::None, Cell::Integer),
            Cell::Integer(change.requested_revision),
        ];
        let fields: &[FieldChange] = if change.effect == Effect::Outdated { &[] } else { &change.fields };
        // The name has its own column.
        let mut fields = fields.iter().filter(|field| field.name != "name").peekable();
        if fields.peek().is_none() {
            table.rows.push(head.iter().cloned().chain([const { Cell::None }; 3]).collect());
        }
        for field in fields {
            let values = [Some(field.name.as_str()), field.old.as_deref(), field.new.as_deref()];
            table.rows.push(head.iter().cloned().chain(values.map(Cell::from)).collect());
        }
    }
    table
}
