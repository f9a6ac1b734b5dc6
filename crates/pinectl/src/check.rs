//! Validates the body of a call with the same code as the stores, and locates each error in the body.

use pinerelay_config_state::{json, operator_call, validation, Item, ItemSet, Key, Kind, ValidationError};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};

use crate::command::KINDS;
use crate::report::{Cell, Table};

#[cfg(test)]
mod tests;

/// Parses a body and validates it against the current configuration. Returns its items.
///
/// # Errors
/// All errors of single items or, if there are none, all errors between items, with JSON pointers into the body where the
/// location is known. A malformed body has a single error, because parsing stops there.
pub fn check(current: &ItemSet, body: &[u8]) -> Result<Vec<Item>, Vec<ValidationError>> {
    let items = operator_call::parse_update(body).map_err(|error| vec![error])?;
    let body = json::parse(body, &json::OPERATOR_CALL).unwrap_or_default();
    let mut errors = Vec::new();
    for item in &items {
        if let Err(error) = validation::check_item(item) {
            errors.push(with_pointer(&body, &item.key, item.version.revision, &error));
        }
    }
    if errors.is_empty() {
        errors = check_references(current, &items, &body);
    }
    if errors.is_empty() {
        Ok(items)
    } else {
        Err(errors)
    }
}

/// Returns the errors between items. Each item with an error is removed before the next pass; this causes no further errors, as
/// only routes and tenants have such errors and nothing refers to them.
fn check_references(current: &ItemSet, items: &[Item], body: &Value) -> Vec<ValidationError> {
    let (mut current, mut items) = (current.clone(), items.to_vec());
    let mut errors = Vec::new();
    while let Err(error) = validation::accept_update(&current, &items) {
        let key = key_of(&error.location);
        let Some(key) = key else {
            errors.push(error);
            break;
        };
        let requested = items.iter().filter(|item| item.key == key).map(|item| item.version.revision);
        let newest = requested
            .max()
            .filter(|requested| current.get(&key).is_none_or(|old| old.version.revision < *requested));
        errors.push(match newest {
            Some(requested) => with_pointer(body, &key, requested, &error),
            // The item is in the current configuration and conflicts with the call.
            None => error,
        });
        let before = (current.len(), items.len());
        current.remove(&key);
        items.retain(|item| item.key != key);
        if before == (current.len(), items.len()) {
            break;
        }
    }
    errors
}

/// Returns the key of the item in the location of a validation error, such as `Route r/service`.
fn key_of(location: &str) -> Option<Key> {
    let (item, _) = location.rsplit_once('/')?;
    let (kind, name) = item.split_once(' ')?;
    let kind = Kind::CONFIG.into_iter().find(|known| format!("{known:?}") == kind)?;
    Some(Key::new(kind, name))
}

/// Replaces the location of a validation error with a JSON pointer into the body, if the item is found there.
fn with_pointer(body: &Value, key: &Key, revision: u64, error: &ValidationError) -> ValidationError {
    let field = error.location.rsplit_once('/').map_or("", |(_, field)| field);
    let reason = format!("{}: {}", error.location, error.reason);
    match pointer(body, key, revision, field) {
        Some(at) => ValidationError::invalid(at, reason),
        None => error.clone(),
    }
}

/// Returns the JSON pointer to a field of an upserted item, or to its record if no column holds the field.
fn pointer(body: &Value, key: &Key, revision: u64, field: &str) -> Option<String> {
    let (list, _) = KINDS.iter().find(|(_, kind)| *kind == key.kind)?;
    let upserted = body.get("upsert")?.get(*list)?;
    if key.kind == Kind::Limits {
        return Some(format!("/upsert/{list}/{field}"));
    }
    let columns = upserted.get("column_names")?.as_array()?;
    let column = |name: &str| columns.iter().position(|column| column.as_str() == Some(name));
    let (name_column, revision_column) = (column("name")?, column("revision")?);
    let mut records = upserted.get("records")?.as_array()?.iter();
    let record = records.position(|record| {
        record.get(name_column).and_then(|value| value.as_str()) == Some(&key.name)
            && record.get(revision_column).and_then(|value| value.as_u64()) == Some(revision)
    })?;
    let record = format!("/upsert/{list}/records/{record}");
    // The service of a route may come from its traffic split.
    let at = column(field).or_else(|| column("traffic_split").filter(|_| field == "service"));
    Some(at.map_or(record.clone(), |at| format!("{record}/{at}")))
}

/// Returns the errors as a table.
pub fn table(errors: &[ValidationError]) -> Table {
    let mut table = Table::new("errors", &["at", "reason"]);
    for error in errors {
        let at = if error.location.is_empty() {
            Cell::from("(the whole body)")
        } else {
            error.location.as_str().into()
        };
        table.rows.push(vec![at, error.reason.as_str().into()]);
    }
    table
}
