//! What a call would change of what stands, item by item.

use std::collections::BTreeMap;

use pinerelay_config_state::{json, Item, ItemSet, Key};
use sonic_rs::{JsonContainerTrait, Value};

use crate::table::{Cell, Table};
use crate::views::kind_name;

/// What becomes of an item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum What {
    /// It does not stand, and will.
    New,
    /// It stands at an older revision.
    Newer,
    /// It stands, and will not any more.
    Drop,
    /// It does not stand. Only its mark is kept, which keeps older revisions of it away.
    Mark,
    /// A newer revision stands: no effect.
    Older,
    /// This revision stands with other content: no effect.
    Other,
}

impl What {
    /// In words.
    pub fn name(self) -> &'static str {
        match self {
            What::New => "new",
            What::Newer => "newer",
            What::Drop => "drop",
            What::Mark => "does not stand",
            What::Older => "older: no effect",
            What::Other => "same revision, other content: refused",
        }
    }

    /// Whether what stands will differ.
    pub fn changes(self) -> bool {
        matches!(self, What::New | What::Newer | What::Drop)
    }
}

/// A field that differs, with its JSON before and after; none: it is not there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Its name.
    pub name: String,
    /// Before.
    pub old: Option<String>,
    /// After.
    pub new: Option<String>,
}

/// What becomes of one item.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StateChange {
    /// The item.
    pub key: Key,
    /// What becomes of it.
    pub what: What,
    /// The revision that stands; none: nothing does.
    pub stands: Option<u64>,
    /// The revision of the call.
    pub asked: u64,
    /// Fields that differ. Of what is new or has no effect they are those of the call, beside what stands.
    pub fields: Vec<Field>,
}

fn fields(item: Option<&Item>) -> BTreeMap<String, String> {
    let value = item.and_then(|item| json::parse(item.value.as_deref()?, &json::STORED).ok());
    let object = value.as_ref().and_then(|value| value.as_object());
    let text = |value: &Value| sonic_rs::to_string(value).unwrap_or_default();
    object.iter().flat_map(|o| o.iter()).map(|(name, value)| (name.to_string(), text(value))).collect()
}

/// Fields that differ, without the revision, which is told anyhow.
fn differ(old: Option<&Item>, new: &Item) -> Vec<Field> {
    let (old, new) = (fields(old), fields(Some(new)));
    let mut names: Vec<&String> = old.keys().chain(new.keys()).filter(|name| *name != "revision").collect();
    names.sort();
    names.dedup();
    let field = |name: &String| Field {
        name: name.clone(),
        old: old.get(name).cloned(),
        new: new.get(name).cloned(),
    };
    names.into_iter().map(field).filter(|field| field.old != field.new).collect()
}

/// What a call's items would change. What stands already, as it is in the call, is left out.
pub fn diff(standing: &ItemSet, call: &[Item]) -> Vec<StateChange> {
    // Of two versions of one item in a call the higher prevails.
    let mut asked = ItemSet::default();
    asked.merge_all(call.iter().cloned());
    let change = |item: &Item| {
        let old = standing.get(&item.key);
        let stands = old.is_some_and(|old| old.value.is_some());
        let newer = old.is_none_or(|old| old.version.revision < item.version.revision);
        let what = match (&item.value, old) {
            (_, Some(old)) if old == item => return None,
            (_, Some(old)) if old.version.revision == item.version.revision => What::Other,
            _ if !newer => What::Older,
            (Some(_), _) if stands => What::Newer,
            (Some(_), _) => What::New,
            (None, _) if stands => What::Drop,
            (None, _) => What::Mark,
        };
        let fields = if what == What::Drop { Vec::new() } else { differ(old, item) };
        let stands = old.map(|old| old.version.revision);
        Some(StateChange { key: item.key.clone(), what, stands, asked: item.version.revision, fields })
    };
    asked.iter().filter_map(change).collect()
}

/// Changes as a list: one row for each field of what is changed, else one for the item.
pub fn table(changes: &[StateChange]) -> Table {
    let columns = ["kind", "name", "what", "stands", "asked", "field", "old", "new"];
    let mut table = Table::new("changes", &columns);
    for change in changes {
        let head = [
            kind_name(change.key.kind).into(),
            change.key.name.as_str().into(),
            change.what.name().into(),
            change.stands.map_or(Cell::None, Cell::Whole),
            Cell::Whole(change.asked),
        ];
        let shown: &[Field] = if change.what == What::Older { &[] } else { &change.fields };
        // The name of what is new is told anyhow.
        let mut shown = shown.iter().filter(|field| field.name != "name").peekable();
        if shown.peek().is_none() {
            table.rows.push(head.iter().cloned().chain([const { Cell::None }; 3]).collect());
        }
        for field in shown {
            let values = [Some(field.name.as_str()), field.old.as_deref(), field.new.as_deref()];
            table.rows.push(head.iter().cloned().chain(values.map(Cell::from)).collect());
        }
    }
    table
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use pinerelay_config_state::{operator_call, validation, Kind};
    use proptest::prelude::*;

    use super::*;
    use crate::rpc;

    /// Calls over a few services, whose fields and revisions are random.
    fn calls() -> impl Strategy<Value = Vec<Item>> {
        let one = (0..5_u8, 0..6_u64, proptest::option::of((0..3_u64, proptest::option::of(0..3_u8))));
        proptest::collection::vec(one, 0..12).prop_map(|all| {
            let item = |(name, revision, value): (u8, u64, Option<(u64, Option<u8>)>)| {
                let key = Key::new(Kind::Service, format!("s{name}"));
                let text = value.map(|(conns, path)| {
                    let path = path.map(|p| format!("\"health_path\":\"/p{p}\",")).unwrap_or_default();
                    let rest = format!("\"max_conns\":{conns},\"name\":\"s{name}\",\"revision\":{revision}");
                    format!("{{{path}{rest}}}").into_bytes()
                });
                Item::with_revision(key, revision, text)
            };
            all.into_iter().map(item).collect()
        })
    }

    /// What stands once changes are made, from what they say alone.
    fn made(standing: &ItemSet, changes: &[StateChange]) -> ItemSet {
        let mut next = standing.clone();
        for change in changes.iter().filter(|change| change.what.changes() || change.what == What::Mark) {
            let value = matches!(change.what, What::New | What::Newer).then(|| {
                let mut all = fields(standing.get(&change.key));
                for field in &change.fields {
                    match &field.new {
                        Some(new) => drop(all.insert(field.name.clone(), new.clone())),
                        None => drop(all.remove(&field.name)),
                    }
                }
                all.insert("revision".into(), change.asked.to_string());
                let all: Vec<String> =
                    all.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
                format!("{{{}}}", all.join(",")).into_bytes()
            });
            next.merge(Item::with_revision(change.key.clone(), change.asked, value));
        }
        next
    }

    proptest! {
        #[test]
        fn a_diff_that_is_made_gives_what_the_daemon_would_have(first in calls(), second in calls()) {
            let mut standing = ItemSet::default();
            let twins = |call: &[Item]| {
                let same = |a: &Item, b: &Item| a.key == b.key && a.version.revision == b.version.revision && a != b;
                call.iter().any(|a| call.iter().any(|b| same(a, b)))
            };
            // One number with two contents is refused, and services alone fit each other anyhow.
            let mut first = first;
            first.sort_by_key(|item| (item.key.clone(), item.version.revision));
            first.dedup_by_key(|item| (item.key.clone(), item.version.revision));
            let taken = validation::accept_update(&standing, &first).expect("services fit");
            standing.merge_all(taken);
            let changes = diff(&standing, &second);
            let other = |item: &Item| {
                standing.get(&item.key).is_some_and(|old| old.version.revision == item.version.revision && old != item)
            };
            let taken = validation::accept_update(&standing, &second);
            prop_assert_eq!(taken.is_err(), second.iter().any(other) || twins(&second));
            prop_assert!(taken.is_err() || changes.iter().all(|change| change.what != What::Other));
            let taken = match taken {
                Ok(taken) => taken,
                Err(unfit) => {
                    prop_assert!(unfit.is_conflict());
                    return Ok(());
                }
            };
            let mut next = standing.clone();
            next.merge_all(taken);
            let made = made(&standing, &changes);
            prop_assert!(made.iter().eq(next.iter()));
            prop_assert_eq!(made.digest(), next.digest());
            // Whatever stands differs from itself in nothing, and neither does it once it was written and read.
            let all: Vec<Item> = next.iter().cloned().collect();
            prop_assert_eq!(diff(&next, &all), vec![]);
            let read = rpc::parse(&operator_call::render_configuration(&next)).expect("what was written");
            let left: Vec<Item> = read.iter().cloned().collect();
            prop_assert_eq!(diff(&next, &left), vec![]);
            prop_assert!(diff(&next, &second).iter().all(|change| !change.what.changes()));
        }
    }

    #[gtest]
    fn each_item_is_told_with_its_fields() {
        let item = |name: &str, revision, text: Option<&str>| {
            Item::with_revision(Key::new(Kind::Service, name), revision, text.map(|t| t.as_bytes().to_vec()))
        };
        let mut standing = ItemSet::default();
        standing.merge_all(["a", "b", "c", "d"].map(|name| item(name, 5, Some("{\"max_conns\":1}"))));
        let call = [
            item("a", 6, Some("{\"max_conns\":2}")),
            item("b", 6, None),
            item("c", 4, Some("{\"max_conns\":2}")),
            item("d", 5, Some("{\"max_conns\":2}")),
            item("e", 1, Some("{}")),
            item("f", 1, None),
        ];
        let changes = diff(&standing, &call);
        let whats: Vec<What> = changes.iter().map(|change| change.what).collect();
        let all = [What::Newer, What::Drop, What::Older, What::Other, What::New, What::Mark];
        expect_that!(whats, container_eq(all));
        let shown = table(&changes).shown();
        let lines: Vec<&str> = shown.lines().collect();
        expect_that!(lines[1], matches_regex("services +a +newer +5 +6 +max_conns +1 +2"));
        expect_that!(lines[3], contains_substring("older: no effect"));
    }
}
