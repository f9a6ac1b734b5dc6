//! A call is judged by index as it is by all that stands.

use googletest::prelude::*;
use pinerelay_config_state::validation::{accept_update, check_references, IndexedItems};
use pinerelay_config_state::{Item, ItemSet, Key, Kind};
use proptest::prelude::*;

/// A few names, so that items clash often; some can't be read.
fn item() -> impl Strategy<Value = Item> {
    (0..3_u8, 0..4_u8, 0..6_u64, 0..12_u8, 0..4_u8, 0..4_u8).prop_map(
        |(kind, name, revision, odd, one, two)| {
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
            let value = match odd {
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
    fn a_call_is_judged_by_index_as_by_all_that_stands(
        unchecked in prop::collection::vec(item(), 0..4),
        calls in prop::collection::vec(prop::collection::vec(item(), 0..5), 0..30),
        settled in 0..30_usize,
    ) {
        // At times what stands does not fit, or can't be read: that no call is taken on top of it is the same, too.
        let mut item_set = ItemSet::default();
        if calls.len() % 4 == 0 {
            item_set.merge_all(unchecked);
        }
        let mut current = IndexedItems::new(item_set.clone());
        for call in &calls[..settled.min(calls.len())] {
            let (all, by_index) = (accept_update(&item_set, call), current.accept_update(call));
            prop_assert_eq!(by_index.as_ref().ok(), all.as_ref().ok(), "{:?}", all);
            prop_assert_eq!(by_index.is_err_and(|e| e.is_conflict()), all.as_ref().is_err_and(|e| e.is_conflict()));
            let newer = all.unwrap_or_default();
            item_set.merge_all(newer.iter().cloned());
            current.merge_all(newer);
        }
        // The rest as one turn's, over what is settled.
        let mut turn = current.overlay();
        for call in &calls[settled.min(calls.len())..] {
            let all = accept_update(&item_set, call);
            prop_assert_eq!(turn.accept_update(call).ok(), all.clone().ok(), "{:?}", all);
            let newer = all.unwrap_or_default();
            item_set.merge_all(newer.iter().cloned());
            turn.merge_all(newer);
        }
        prop_assert!(turn.to_item_set() == item_set);
    }

    #[test]
    fn an_unfit_call_is_told_a_fault_that_it_has(call in prop::collection::vec(item(), 0..9)) {
        if let Err(error) = IndexedItems::default().accept_update(&call) {
            let mut item_set = ItemSet::default();
            let of = |named: &str| {
                let (kind, name) = named.split_once(' ').expect("kind and name");
                call.iter().any(|i| format!("{:?}", i.key.kind) == kind && i.key.name == name)
            };
            prop_assert!(of(error.location.split('/').next().expect("a place")), "{}", error);
            item_set.merge_all(call.clone());
            prop_assert!(error.is_conflict() || call.iter().any(|i| pinerelay_config_state::validation::check_item(i).is_err()) || check_references(&item_set).is_err());
        }
    }
}

#[gtest]
fn a_fault_of_what_stands_is_told_and_mended_by_a_call() {
    let tenant = |name: &str, revision, key: &str| {
        let text = format!(r#"{{"api_keys":["{key}"]}}"#).into_bytes();
        Item::with_revision(Key::new(Kind::Tenant, name), revision, Some(text))
    };
    let mut item_set = ItemSet::default();
    item_set.merge_all([tenant("a", 1, "k"), tenant("b", 1, "k")]);
    let current = IndexedItems::new(item_set);
    let error = current.accept_update(&[tenant("c", 1, "x")]).expect_err("what stands does not fit");
    expect_that!(error.to_string(), eq("Tenant b/api_keys: a has the same key"));
    expect_that!(current.accept_update(&[tenant("b", 2, "y")]), ok(len(eq(1))));
}
