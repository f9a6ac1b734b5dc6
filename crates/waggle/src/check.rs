//! Whether a call's body can be taken, with the daemon's own code, and where in the body it can't.

use pinerelay_config_state::{json, operator_call, validation, Item, ItemSet, Key, Kind, ValidationError};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};

use crate::command::KINDS;
use crate::table::{Cell, Table};

/// Reads a body, and judges it on top of what stands: its items, or each fault with a JSON pointer. A body whose layout is
/// at fault has one fault, as nothing after it can be read.
pub fn check(standing: &ItemSet, body: &[u8]) -> Result<Vec<Item>, Vec<ValidationError>> {
    let items = operator_call::parse_update(body).map_err(|unfit| vec![unfit])?;
    let whole = json::parse(body, &json::OPERATOR_CALL).unwrap_or_default();
    let mut faults = Vec::new();
    for item in &items {
        if let Err(unfit) = validation::check_item(item) {
            faults.push(placed(&whole, &item.key, item.version.revision, &unfit));
        }
    }
    if faults.is_empty() {
        faults = together(standing, &items, &whole);
    }
    if faults.is_empty() {
        Ok(items)
    } else {
        Err(faults)
    }
}

/// Faults of items that do not fit each other. What is at fault is left out for the next look: routes and tenants alone
/// are, and nothing needs those.
fn together(standing: &ItemSet, items: &[Item], whole: &Value) -> Vec<ValidationError> {
    let (mut standing, mut items) = (standing.clone(), items.to_vec());
    let mut faults = Vec::new();
    while let Err(unfit) = validation::accept_update(&standing, &items) {
        let key = key_of(&unfit.location);
        let Some(key) = key else {
            faults.push(unfit);
            break;
        };
        let asked = items.iter().filter(|item| item.key == key).map(|item| item.version.revision);
        let newest =
            asked.max().filter(|asked| standing.get(&key).is_none_or(|old| old.version.revision < *asked));
        faults.push(match newest {
            Some(asked) => placed(whole, &key, asked, &unfit),
            // It stands already, and what the call brings does not fit it.
            None => unfit,
        });
        let before = (standing.len(), items.len());
        standing.remove(&key);
        items.retain(|item| item.key != key);
        if before == (standing.len(), items.len()) {
            break;
        }
    }
    faults
}

/// The item that a judge names, such as `Route r/service`.
fn key_of(at: &str) -> Option<Key> {
    let (item, _) = at.rsplit_once('/')?;
    let (kind, name) = item.split_once(' ')?;
    let kind = Kind::CONFIG.into_iter().find(|known| format!("{known:?}") == kind)?;
    Some(Key::new(kind, name))
}

/// A judge's fault with a pointer into the body.
fn placed(whole: &Value, key: &Key, revision: u64, unfit: &ValidationError) -> ValidationError {
    let field = unfit.location.rsplit_once('/').map_or("", |(_, field)| field);
    let why = format!("{}: {}", unfit.location, unfit.reason);
    match pointer(whole, key, revision, field) {
        Some(at) => ValidationError::invalid(at, why),
        None => unfit.clone(),
    }
}

/// The pointer to a field of an upserted item; to its record, where the field is in no column.
fn pointer(whole: &Value, key: &Key, revision: u64, field: &str) -> Option<String> {
    let (list, _) = KINDS.iter().find(|(_, kind)| *kind == key.kind)?;
    let upserted = whole.get("upsert")?.get(*list)?;
    if key.kind == Kind::Limits {
        return Some(format!("/upsert/{list}/{field}"));
    }
    let columns = upserted.get("column_names")?.as_array()?;
    let column = |name: &str| columns.iter().position(|column| column.as_str() == Some(name));
    let (name_at, revision_at) = (column("name")?, column("revision")?);
    let mut records = upserted.get("records")?.as_array()?.iter();
    let record = records.position(|record| {
        record.get(name_at).and_then(|v| v.as_str()) == Some(&key.name)
            && record.get(revision_at).and_then(|v| v.as_u64()) == Some(revision)
    })?;
    let record = format!("/upsert/{list}/records/{record}");
    // A route's service may be named by its split.
    let at = column(field).or_else(|| column("traffic_split").filter(|_| field == "service"));
    Some(at.map_or(record.clone(), |at| format!("{record}/{at}")))
}

/// Faults as a list.
pub fn table(faults: &[ValidationError]) -> Table {
    let mut table = Table::new("faults", &["at", "why"]);
    for fault in faults {
        let at = if fault.location.is_empty() {
            Cell::from("(the whole)")
        } else {
            fault.location.as_str().into()
        };
        table.rows.push(vec![at, fault.reason.as_str().into()]);
    }
    table
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use proptest::prelude::*;

    use super::*;

    const BODY: &str = r#"{"upsert":{"routes":{"column_names":["name","revision","host","path_prefix","route_type",
        "timeout","service"],"records":[["r1",7,"a.example","/x/","safe","2s","s1"],
        ["r2",7,"a.example","/y/","safe","2s","s2"]]},"tenants":{"column_names":["name","api_keys","revision"],
        "records":[["t1",["k1"],7],["t2",["k2"],7]]},"services":{"column_names":["name","revision"],
        "records":[["s1",7],["s2",7]]},"limits":{"header_timeout":"2s","revision":7}}}"#;

    fn faults(body: &str) -> Vec<String> {
        let faults = check(&ItemSet::default(), body.as_bytes()).err().unwrap_or_default();
        faults.iter().map(|fault| fault.to_string()).collect()
    }

    #[gtest]
    fn each_fault_has_its_pointer() {
        expect_that!(faults(BODY), is_empty());
        let odd =
            BODY.replace("\"/x/\"", "\"x\"").replace("\"/y/\",\"safe\",\"2s\"", "\"/y/\",\"safe\",\"soon\"");
        let odd = odd.replace("\"header_timeout\":\"2s\"", "\"header_timeout\":2");
        let all = faults(&odd);
        assert_that!(all.len(), eq(3));
        expect_that!(all[0], starts_with("/upsert/routes/records/0/3: Route r1/path_prefix: a path"));
        expect_that!(all[1], starts_with("/upsert/routes/records/1/5: Route r2/timeout: a time"));
        expect_that!(all[2], starts_with("/upsert/limits/header_timeout: Limits limits/header_timeout: a"));
        let apart = BODY.replace("[[\"s1\",7],[\"s2\",7]]", "[]").replace("k2", "k1");
        let all = faults(&apart);
        assert_that!(all.len(), eq(3));
        expect_that!(all[0], starts_with("/upsert/routes/records/0/6: Route r1/service: there is no"));
        expect_that!(all[1], starts_with("/upsert/routes/records/1/6: Route r2/service: there is no"));
        expect_that!(all[2], starts_with("/upsert/tenants/records/1/1: Tenant t2/api_keys: t1 has"));
        expect_that!(faults("{"), elements_are![contains_substring("no whole JSON")]);
    }

    #[gtest]
    fn what_stands_counts_too() {
        let mut standing = ItemSet::default();
        standing.merge_all(check(&standing, BODY.as_bytes()).expect("it fits"));
        let drops = br#"{"remove":{"services":[{"name":"s1","revision":8}]}}"#;
        let all = check(&standing, drops).expect_err("a route needs it");
        expect_that!(all[0].to_string(), eq("Route r1/service: there is no service s1"));
        expect_that!(check(&ItemSet::default(), drops).is_ok(), eq(true));
    }

    proptest! {
        #[test]
        fn the_check_says_what_the_daemon_would(at in 0..BODY.len(), byte in 0x20..0x7f_u8) {
            let mut body = BODY.as_bytes().to_vec();
            body[at] = byte;
            let daemon = operator_call::parse_update(&body).is_ok_and(|items| validation::accept_update(&ItemSet::default(), &items).is_ok());
            prop_assert_eq!(check(&ItemSet::default(), &body).is_ok(), daemon);
        }
    }
}
