//! A table to which changes are applied one by one equals the table built from all items.

use googletest::prelude::*;
use pinerelay_config_state::routing_table::RoutingTable;
use pinerelay_config_state::{Item, ItemSet, Key, Kind};
use proptest::prelude::*;

fn item() -> impl Strategy<Value = Item> {
    (0..4_u8, 0..4_u8, 0..9_u64, 0..9_u8, 0..3_u8, 0..3_u8).prop_map(|(kind, name, revision, odd, one, two)| {
        let (kind, text) = match kind {
            0 => (Kind::Service, format!(r#"{{"max_conns":{one}}}"#)),
            1 => (Kind::Tenant, format!(r#"{{"api_keys":["k{one}","k{two}","k{one}"]}}"#)),
            2 => (Kind::Limits, format!(r#"{{"max_header_bytes":{two}}}"#)),
            _ => (
                Kind::Route,
                format!(
                    r#"{{"host":"h{one}","path_prefix":"/{}","route_type":"safe","timeout":"1s","service":"s"}}"#,
                    "x/".repeat(two.into())
                ),
            ),
        };
        let value = match odd {
            0 => None,
            1 => Some(b"{".to_vec()),
            _ => Some(text.into_bytes()),
        };
        let name = if kind == Kind::Limits { "limits".into() } else { format!("n{name}") };
        Item::with_revision(Key::new(kind, name), revision, value)
    })
}

proptest! {
    #[test]
    fn incremental_changes_give_the_table_of_all_items(items in prop::collection::vec(item(), 0..60)) {
        let (mut item_set, mut table) = (ItemSet::default(), RoutingTable::default());
        for item in items {
            let (snapshot, before) = (table.clone(), RoutingTable::from_items(&item_set));
            if item_set.merge(item.clone()) {
                table.apply(&item);
            }
            prop_assert_eq!(&table, &RoutingTable::from_items(&item_set));
            prop_assert_eq!(&snapshot, &before, "a clone does not change with the table");
            // Of several tenants that name a key, the newest has it.
            let version = |name: &str| item_set.get(&Key::new(Kind::Tenant, name)).map(|item| item.version);
            for key in ["k0", "k1", "k2"] {
                let claimants =
                    table.tenants().iter().filter(|tenant| tenant.api_keys.iter().any(|k| k == key));
                let newest = claimants.clone().map(|tenant| version(&tenant.name)).max();
                prop_assert_eq!(table.tenant_by_key(key).map(|tenant| version(&tenant.name)), newest);
            }
        }
    }
}

#[gtest]
fn a_table_is_empty_again_after_its_only_tenant_is_removed() {
    let mut table = RoutingTable::default();
    let item = Item::with_revision(Key::new(Kind::Tenant, "t"), 1, Some(br#"{"api_keys":["k"]}"#.to_vec()));
    table.apply(&item);
    expect_that!(table.tenant_by_key("k").is_some(), eq(true));
    table.apply(&Item::with_revision(item.key, 2, None));
    expect_that!(table, eq(&RoutingTable::default()));
    expect_that!(table.tenant_by_key("k"), none());
}
