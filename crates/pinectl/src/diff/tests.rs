//! Tests that the computed changes are those that the stores would make.

use googletest::prelude::*;
use pinerelay_config_state::{operator_call, validation, Kind};
use proptest::prelude::*;

use super::*;
use crate::control_client;

/// Generates calls over a few services with random fields and revisions.
fn calls() -> impl Strategy<Value = Vec<Item>> {
    let one = (0..5_u8, 0..6_u64, proptest::option::of((0..3_u64, proptest::option::of(0..3_u8))));
    proptest::collection::vec(one, 0..12).prop_map(|all| {
        let item = |(name, revision, value): (u8, u64, Option<(u64, Option<u8>)>)| {
            let key = Key::new(Kind::Service, format!("s{name}"));
            let text = value.map(|(conns, path)| {
                let path = path.map(|path| format!("\"health_path\":\"/p{path}\",")).unwrap_or_default();
                let rest = format!("\"max_conns\":{conns},\"name\":\"s{name}\",\"revision\":{revision}");
                format!("{{{path}{rest}}}").into_bytes()
            });
            Item::with_revision(key, revision, text)
        };
        all.into_iter().map(item).collect()
    })
}

/// Applies changes to a configuration, using only the information in the changes.
fn applied(current: &ItemSet, changes: &[ItemChange]) -> ItemSet {
    let mut next = current.clone();
    for change in changes
        .iter()
        .filter(|change| change.effect.changes_configuration() || change.effect == Effect::TombstoneOnly)
    {
        let value = matches!(change.effect, Effect::Create | Effect::Update).then(|| {
            let mut all = fields_of(current.get(&change.key));
            for field in &change.fields {
                match &field.new {
                    Some(new) => drop(all.insert(field.name.clone(), new.clone())),
                    None => drop(all.remove(&field.name)),
                }
            }
            all.insert("revision".into(), change.requested_revision.to_string());
            let all: Vec<String> = all.iter().map(|(name, value)| format!("\"{name}\":{value}")).collect();
            format!("{{{}}}", all.join(",")).into_bytes()
        });
        next.merge(Item::with_revision(change.key.clone(), change.requested_revision, value));
    }
    next
}

proptest! {
    #[test]
    fn applying_a_diff_yields_the_configuration_of_the_stores(first in calls(), second in calls()) {
        let mut current = ItemSet::default();
        let has_conflicting_versions = |call: &[Item]| {
            let same = |a: &Item, b: &Item| a.key == b.key && a.version.revision == b.version.revision && a != b;
            call.iter().any(|a| call.iter().any(|b| same(a, b)))
        };
        // One revision with two contents is rejected, so duplicates are removed. Services have no references to each other.
        let mut first = first;
        first.sort_by_key(|item| (item.key.clone(), item.version.revision));
        first.dedup_by_key(|item| (item.key.clone(), item.version.revision));
        let accepted = validation::accept_update(&current, &first).expect("services without duplicate revisions are valid");
        current.merge_all(accepted);
        let changes = diff(&current, &second);
        let conflicts_with_current = |item: &Item| {
            current.get(&item.key).is_some_and(|old| old.version.revision == item.version.revision && old != item)
        };
        let accepted = validation::accept_update(&current, &second);
        prop_assert_eq!(accepted.is_err(), second.iter().any(conflicts_with_current) || has_conflicting_versions(&second));
        prop_assert!(accepted.is_err() || changes.iter().all(|change| change.effect != Effect::Conflict));
        let accepted = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                prop_assert!(error.is_conflict());
                return Ok(());
            }
        };
        let mut next = current.clone();
        next.merge_all(accepted);
        let applied = applied(&current, &changes);
        prop_assert!(applied.iter().eq(next.iter()));
        prop_assert_eq!(applied.digest(), next.digest());
        // A configuration has no difference to itself, nor to its rendered and parsed copy.
        let all: Vec<Item> = next.iter().cloned().collect();
        prop_assert_eq!(diff(&next, &all), vec![]);
        let parsed = control_client::parse_configuration(&operator_call::render_configuration(&next)).expect("the rendered configuration is parsed");
        let parsed_items: Vec<Item> = parsed.iter().cloned().collect();
        prop_assert_eq!(diff(&next, &parsed_items), vec![]);
        prop_assert!(diff(&next, &second).iter().all(|change| !change.effect.changes_configuration()));
    }
}

#[gtest]
fn each_effect_is_listed_with_its_fields() {
    let item = |name: &str, revision, text: Option<&str>| {
        Item::with_revision(Key::new(Kind::Service, name), revision, text.map(|t| t.as_bytes().to_vec()))
    };
    let mut current = ItemSet::default();
    current.merge_all(["a", "b", "c", "d"].map(|name| item(name, 5, Some("{\"max_conns\":1}"))));
    let call = [
        item("a", 6, Some("{\"max_conns\":2}")),
        item("b", 6, None),
        item("c", 4, Some("{\"max_conns\":2}")),
        item("d", 5, Some("{\"max_conns\":2}")),
        item("e", 1, Some("{}")),
        item("f", 1, None),
    ];
    let changes = diff(&current, &call);
    let effects: Vec<Effect> = changes.iter().map(|change| change.effect).collect();
    let all = [
        Effect::Update,
        Effect::Remove,
        Effect::Outdated,
        Effect::Conflict,
        Effect::Create,
        Effect::TombstoneOnly,
    ];
    expect_that!(effects, container_eq(all));
    let shown = table(&changes).to_text();
    let lines: Vec<&str> = shown.lines().collect();
    expect_that!(lines[1], matches_regex("services +a +update +5 +6 +max_conns +1 +2"));
    expect_that!(lines[3], contains_substring("outdated: no effect"));
}
