//! What a call would change of the current configuration, item by item.

use std::collections::BTreeMap;

use pinerelay_config_state::{json, Item, ItemSet, Key};
use sonic_rs::{JsonContainerTrait, Value};

use crate::listings::kind_name;
use crate::report::{Cell, Table};

#[cfg(test)]
mod tests;

/// What a call does to an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// The item does not exist, and will.
    Create,
    /// The item exists at an older revision.
    Update,
    /// The item exists, and will not any more.
    Remove,
    /// The item does not exist. Only a tombstone is kept, which keeps older revisions of it away.
    TombstoneOnly,
    /// A newer revision exists: no effect.
    Outdated,
    /// This revision exists with other content: the call is rejected.
    Conflict,
}

impl Effect {
    /// In words.
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

    /// Whether the configuration changes.
    pub fn changes_configuration(self) -> bool {
        matches!(self, Effect::Create | Effect::Update | Effect::Remove)
    }
}

/// A field that differs, with its JSON before and after; `None` if it does not exist.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldChange {
    /// Its name.
    pub name: String,
    /// Before.
    pub old: Option<String>,
    /// After.
    pub new: Option<String>,
}

/// What a call does to one item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ItemChange {
    /// The item.
    pub key: Key,
    /// What the call does to it.
    pub effect: Effect,
    /// The revision that exists, if any.
    pub current_revision: Option<u64>,
    /// The revision of the call.
    pub requested_revision: u64,
    /// Fields that differ. Of an item that is new, or on which the call has no effect, they are those of the call.
    pub fields: Vec<FieldChange>,
}

/// The fields of an item as JSON, by name.
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

/// Fields that differ, without the revision, which is shown in a column of its own.
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

/// What a requested item does; `None` if it is the current one.
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

/// What a call's items would change. Items that are current already, as they are in the call, are left out.
pub fn diff(current: &ItemSet, call: &[Item]) -> Vec<ItemChange> {
    // Of two versions of one item in a call the higher prevails.
    let mut requested = ItemSet::default();
    requested.merge_all(call.iter().cloned());
    requested.iter().filter_map(|item| item_change(current.get(&item.key), item)).collect()
}

/// Changes as a table: one row for each field of a changed item, or one for the item.
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
        // The name is in the second column.
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
