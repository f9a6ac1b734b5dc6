//! Parsing of `config.update` calls into items, and rendering of items as the answer to `config.read`.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use sonic_rs::{pointer, Array, JsonContainerTrait, JsonValueTrait, Value};

use crate::error::ValidationError;
use crate::item::{Item, Key, Kind};
use crate::item_set::ItemSet;
use crate::json::{self, Bounds};

#[cfg(test)]
mod tests;

/// Maximum length of an item's name, in bytes.
pub const MAX_NAME_LENGTH: usize = 1_024;

/// The name of the single limits item.
pub const LIMITS_NAME: &str = "limits";

/// The lists of a call, and the kind of their items.
const LISTS: [(&str, Kind); 3] =
    [("routes", Kind::Route), ("tenants", Kind::Tenant), ("services", Kind::Service)];

/// Fields of a record or of an object, by name.
type Fields<'a> = BTreeMap<&'a str, &'a Value>;

/// Parses the body of a `config.update` call into items with their versions. [`crate::validation`] checks whether they are
/// consistent with each other and with the live items.
pub fn parse_update(body: &[u8]) -> Result<Vec<Item>, ValidationError> {
    parse_update_within(body, &json::OPERATOR_CALL)
}

/// As [`parse_update`], within other bounds: a complete configuration may be larger than one call.
pub fn parse_update_within(body: &[u8], bounds: &Bounds) -> Result<Vec<Item>, ValidationError> {
    let call = json::parse(body, bounds)?;
    if !call.is_object() {
        return Err(ValidationError::invalid("", "an object with `upsert` and `remove` is wanted"));
    }
    let mut items = Vec::new();
    if let Some(upsert) = non_null(call.pointer(pointer!["upsert"])) {
        parse_upsert(upsert, &mut items)?;
    }
    if let Some(remove) = non_null(call.pointer(pointer!["remove"])) {
        parse_remove(remove, &mut items)?;
    }
    Ok(items)
}

fn non_null(value: Option<&Value>) -> Option<&Value> {
    value.filter(|value| !value.is_null())
}

fn list_kind(name: &str) -> Option<Kind> {
    LISTS.iter().find(|(known, _)| *known == name).map(|&(_, kind)| kind)
}

fn parse_upsert(upsert: &Value, items: &mut Vec<Item>) -> Result<(), ValidationError> {
    let lists =
        upsert.as_object().ok_or(ValidationError::invalid("/upsert", "an object of lists is wanted"))?;
    for (name, list) in lists.iter() {
        let location = format!("/upsert/{name}");
        match list_kind(name) {
            Some(kind) => parse_table(kind, list, &location, items)?,
            None if name == LIMITS_NAME && list.is_null() => {}
            None if name == LIMITS_NAME => items.push(parse_limits(list, &location)?),
            None => {
                let reason = "routes, tenants, services or limits are wanted";
                return Err(ValidationError::invalid(location, reason));
            }
        }
    }
    Ok(())
}

/// Parses a list of items that is laid out as a table: the names of the columns, then one record for each item.
fn parse_table(
    kind: Kind,
    table: &Value,
    location: &str,
    items: &mut Vec<Item>,
) -> Result<(), ValidationError> {
    if table.is_null() {
        return Ok(());
    }
    let columns = parse_columns(table, location)?;
    for (index, record) in member_list(table, "records", location)?.iter().enumerate() {
        let location = format!("{location}/records/{index}");
        let values =
            record.as_array().ok_or(ValidationError::invalid(&location, "a list of values is wanted"))?;
        if values.len() != columns.len() {
            let reason = format!("{} values are wanted, one for each column", columns.len());
            return Err(ValidationError::invalid(location, reason));
        }
        let fields = columns.iter().copied().zip(values.iter()).filter(|(_, value)| !value.is_null());
        let fields: Fields = fields.collect();
        let name = parse_name(&fields, &location)?;
        let revision = parse_revision(&fields, &location)?;
        let text = to_item_text(&fields, &location)?;
        items.push(Item::with_revision(Key::new(kind, name), revision, Some(text)));
    }
    Ok(())
}

fn parse_columns<'a>(table: &'a Value, location: &str) -> Result<Vec<&'a str>, ValidationError> {
    let error = |index: usize, reason: &str| {
        ValidationError::invalid(format!("{location}/column_names/{index}"), reason)
    };
    let names = member_list(table, "column_names", location)?.iter().enumerate();
    let names =
        names.map(|(index, name)| name.as_str().ok_or_else(|| error(index, "a field's name is wanted")));
    let names = names.collect::<Result<Vec<_>, _>>()?;
    let mut known = BTreeSet::new();
    match names.iter().position(|name| !known.insert(name)) {
        Some(index) => Err(error(index, "it stands there twice")),
        None => Ok(names),
    }
}

fn member_list<'a>(table: &'a Value, name: &str, location: &str) -> Result<&'a Array, ValidationError> {
    let list = table.get(name).and_then(|value| value.as_array());
    list.ok_or_else(|| ValidationError::invalid(format!("{location}/{name}"), "a list is wanted"))
}

fn parse_limits(value: &Value, location: &str) -> Result<Item, ValidationError> {
    let object = value.as_object().ok_or(ValidationError::invalid(location, "an object is wanted"))?;
    let fields: Fields = object.iter().filter(|(_, value)| !value.is_null()).collect();
    let revision = parse_revision(&fields, location)?;
    let text = to_item_text(&fields, location)?;
    Ok(Item::with_revision(Key::new(Kind::Limits, LIMITS_NAME), revision, Some(text)))
}

fn parse_remove(remove: &Value, items: &mut Vec<Item>) -> Result<(), ValidationError> {
    let lists =
        remove.as_object().ok_or(ValidationError::invalid("/remove", "an object of lists is wanted"))?;
    for (name, list) in lists.iter() {
        let location = format!("/remove/{name}");
        let kind = list_kind(name)
            .ok_or(ValidationError::invalid(&location, "routes, tenants or services are wanted"))?;
        parse_removals(kind, list, &location, items)?;
    }
    Ok(())
}

fn parse_removals(
    kind: Kind,
    list: &Value,
    location: &str,
    items: &mut Vec<Item>,
) -> Result<(), ValidationError> {
    if list.is_null() {
        return Ok(());
    }
    let list = list
        .as_array()
        .ok_or(ValidationError::invalid(location, "a list of names and revisions is wanted"))?;
    for (index, entry) in list.iter().enumerate() {
        let location = format!("{location}/{index}");
        let object = entry
            .as_object()
            .ok_or(ValidationError::invalid(&location, "a name and a revision are wanted"))?;
        let fields: Fields = object.iter().collect();
        let name = parse_name(&fields, &location)?;
        let revision = parse_revision(&fields, &location)?;
        items.push(Item::with_revision(Key::new(kind, name), revision, None));
    }
    Ok(())
}

fn parse_name<'a>(fields: &Fields<'a>, location: &str) -> Result<&'a str, ValidationError> {
    let name = fields.get("name").copied().and_then(|value| value.as_str()).filter(|name| !name.is_empty());
    name.ok_or_else(|| ValidationError::invalid(format!("{location}/name"), "a name is wanted"))
}

fn parse_revision(fields: &Fields, location: &str) -> Result<u64, ValidationError> {
    let revision = fields.get("revision").and_then(|value| value.as_u64());
    let error =
        || ValidationError::invalid(format!("{location}/revision"), "a whole number from 0 on is wanted");
    revision.ok_or_else(error)
}

/// The stored text of an item: a JSON object with the fields in the order of their names.
fn to_item_text(fields: &Fields, location: &str) -> Result<Vec<u8>, ValidationError> {
    sonic_rs::to_vec(fields).map_err(|error| ValidationError::invalid(location, error.to_string()))
}

/// The answer to `config.read`: all live items, laid out as under `upsert` in an update.
pub fn render_configuration(items: &ItemSet) -> String {
    let mut out = String::from("{");
    for (name, kind) in LISTS {
        let _ = write!(out, "\"{name}\":");
        render_table(items, kind, &mut out);
        out.push(',');
    }
    let limits = items.live(Kind::Limits).next();
    let limits = limits.and_then(|(_, text)| std::str::from_utf8(text).ok()).unwrap_or("null");
    let _ = write!(out, "\"limits\":{limits}}}");
    out
}

fn render_table(items: &ItemSet, kind: Kind, out: &mut String) {
    let records: Vec<Value> =
        items.live(kind).filter_map(|(_, text)| json::parse(text, &json::STORED).ok()).collect();
    let mut columns: Vec<&str> = Vec::new();
    for record in records.iter().filter_map(|record| record.as_object()) {
        for (column, _) in record.iter() {
            if !columns.contains(&column) {
                columns.push(column);
            }
        }
    }
    let _ = write!(out, "{{\"column_names\":{},\"records\":[", to_json(&columns));
    for (index, record) in records.iter().enumerate() {
        out.push_str(if index > 0 { ",[" } else { "[" });
        for (column_index, column) in columns.iter().enumerate() {
            out.push_str(if column_index > 0 { "," } else { "" });
            out.push_str(&record.get(*column).map_or("null".into(), to_json));
        }
        out.push(']');
    }
    out.push_str("]}");
}

fn to_json<T: serde::Serialize + ?Sized>(value: &T) -> String {
    sonic_rs::to_string(value).unwrap_or_else(|_| "null".into())
}
