//! Validation by index gives the same result as validation of all live items.

use googletest::prelude::*;
use pinerelay_config_state::validation::{accept_update, check_references, IndexedItems};
use pinerelay_config_state::{Item, ItemSet, Key, Kind};
use proptest::prelude::*;

/// Items with few names, so that they conflict often; some cannot be parsed.
fn item() -> impl Strategy<Value = Item> {
    (0..3_u8, 0..4_u8, 0..6_u64, 0..12_u8, 0..4_u8, 0..4_u8).prop_map(
        |(kind, name, revision, content, one, two)| {
            let (kind, text) = match kind {
                0 => (Kind::Service, "{}".to_string()),
                1 => (Kind::Tenant, format!(r#"{{"api_keys":["k{one}","k{two}"]}}"#)),
                _ => (
                    Kind::Route,
                    format!(
                        r#"{{"host":"h","path_prefix":"/","route_type":"safe","timeout":"1s","traffic_split":[
                    {{"service":"n{one}","weight":1}},{{"service":"n{two}","weight":1}}]}}"#
                    ),
                ),
            };
            let value = match content {
                0..3 => None,
                3 => Some(b"{".to_vec()),
                _ => Some(text.into_bytes()),
            };
            Item::with_revision(Key::new(kind, format!("n{name}")), revision, value)
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(1_024))]

    #[test]
    fn validation_by_index_agrees_with_validation_of_all_items(
        unchecked in prop::collection::vec(item(), 0..4),
        calls in prop::collection::vec(prop::collection::vec(item(), 0..5), 0..30),
        committed in 0..30_usize,
    ) {
        // Sometimes the live items conflict or cannot be parsed. Both validations then reject the same calls.
        let mut item_set = ItemSet::default();
        if calls.len() % 4 == 0 {
            item_set.merge_all(unchecked);
        }
        let mut current = IndexedItems::new(item_set.clone());
        for call in &calls[..committed.min(calls.len())] {
            let (expected, by_index) = (accept_update(&item_set, call), current.accept_update(call));
            prop_assert_eq!(by_index.as_ref().ok(), expected.as_ref().ok(), "{:?}", expected);
            prop_assert_eq!(
                by_index.is_err_and(|e| e.is_conflict()),
                expected.as_ref().is_err_and(|e| e.is_conflict())
            );
            let newer = expected.unwrap_or_default();
            item_set.merge_all(newer.iter().cloned());
            current.merge_all(newer);
        }
        // The other calls go to an overlay on the committed items.
        let mut uncommitted = current.overlay();
        for call in &calls[committed.min(calls.len())..] {
            let expected = accept_update(&item_set, call);
            prop_assert_eq!(uncommitted.accept_update(call).ok(), expected.clone().ok(), "{:?}", expected);
            let newer = expected.unwrap_or_default();
            item_set.merge_all(newer.iter().cloned());
            uncommitted.merge_all(newer);
        }
        prop_assert!(uncommitted.to_item_set() == item_set);
    }

    #[test]
    fn the_error_names_a_fault_of_the_rejected_call(call in prop::collection::vec(item(), 0..9)) {
        if let Err(error) = IndexedItems::default().accept_update(&call) {
            let mut item_set = ItemSet::default();
            let is_in_call = |item_label: &str| {
                let (kind, name) = item_label.split_once(' ').expect("kind and name");
                call.iter().any(|i| format!("{:?}", i.key.kind) == kind && i.key.name == name)
            };
            prop_assert!(is_in_call(error.location.split('/').next().expect("a location")), "{}", error);
            item_set.merge_all(call.clone());
            prop_assert!(error.is_conflict() || call.iter().any(|i| pinerelay_config_state::validation::check_item(i).is_err()) || check_references(&item_set).is_err());
        }
    }
}

#[gtest]
fn a_fault_of_the_live_items_is_reported_until_an_update_corrects_it() {
    let tenant = |name: &str, revision, key: &str| {
        let text = format!(r#"{{"api_keys":["{key}"]}}"#).into_bytes();
        Item::with_revision(Key::new(Kind::Tenant, name), revision, Some(text))
    };
    let mut item_set = ItemSet::default();
    item_set.merge_all([tenant("a", 1, "k"), tenant("b", 1, "k")]);
    let current = IndexedItems::new(item_set);
    let error = current.accept_update(&[tenant("c", 1, "x")]).expect_err("the live items conflict");
    expect_that!(error.to_string(), eq("Tenant b/api_keys: a has the same key"));
    expect_that!(current.accept_update(&[tenant("b", 2, "y")]), ok(len(eq(1))));
}
