//! A table that takes changes one by one is that of all items.

use googletest::prelude::*;
use pinerelay_cells::routes::Table;
use pinerelay_cells::{Cells, Item, Key, Kind};
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
        Item::sourced(Key::new(kind, name), revision, value)
    })
}

proptest! {
    #[test]
    fn changes_one_by_one_make_the_table_of_all(items in prop::collection::vec(item(), 0..60)) {
        let (mut cells, mut table) = (Cells::default(), Table::default());
        for item in items {
            let (held, before) = (table.clone(), Table::of(&cells));
            if cells.merge(item.clone()) {
                table.change(&item);
            }
            prop_assert_eq!(&table, &Table::of(&cells));
            prop_assert_eq!(&held, &before, "what others hold stays");
            // Of several tenants that name a key, it is the newest's.
            let version = |name: &str| cells.get(&Key::new(Kind::Tenant, name)).map(|item| item.version);
            for key in ["k0", "k1", "k2"] {
                let named = table.tenants().iter().filter(|tenant| tenant.keys.iter().any(|k| k == key));
                let newest = named.clone().map(|tenant| version(&tenant.name)).max();
                prop_assert_eq!(table.tenant(key).map(|tenant| version(&tenant.name)), newest);
            }
        }
    }
}

#[gtest]
fn an_empty_table_is_empty() {
    let mut table = Table::default();
    let item = Item::sourced(Key::new(Kind::Tenant, "t"), 1, Some(br#"{"api_keys":["k"]}"#.to_vec()));
    table.change(&item);
    expect_that!(table.tenant("k").is_some(), eq(true));
    table.change(&Item::sourced(item.key, 2, None));
    expect_that!(table, eq(&Table::default()));
    expect_that!(table.tenant("k"), none());
}
