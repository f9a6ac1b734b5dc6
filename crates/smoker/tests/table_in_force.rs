//! The invariant on tables that come in part: what breaks it is found, and what does not is let be.

use std::collections::BTreeMap;

use googletest::prelude::*;
use pinerelay_config_state::{operator_call, Item, ItemSet};
use pinerelay_smoker::check::{Invariant, Ledger};
use pinerelay_smoker::figures::Figures;

const PROXY: usize = 7;

const FIRST: &str = r#"{"upsert":{"tenants":{"column_names":["name","revision","api_keys"],"records":[["t",5,["k"]]]},
"services":{"column_names":["name","revision"],"records":[["s",5]]},
"routes":{"column_names":["name","revision","host","path_prefix","route_type","timeout","service"],
"records":[["r",5,"a.example","/","safe","1s","s"]]}}}"#;
const NEWER_TENANT: &str =
    r#"{"upsert":{"tenants":{"column_names":["name","revision","api_keys"],"records":[["t",7,["l"]]]}}}"#;
const DROP_OF_TENANT: &str = r#"{"remove":{"tenants":[{"name":"t","revision":8}]}}"#;

fn items(text: &str) -> Vec<Item> {
    operator_call::parse_update(text.as_bytes()).expect("a call")
}

fn table(items: impl IntoIterator<Item = Item>) -> ItemSet {
    let mut cells = ItemSet::default();
    cells.merge_all(items);
    cells
}

/// What is broken once a proxy that has just begun puts a table in force.
fn broken(ledger: &mut Ledger, cells: &ItemSet) -> Option<Invariant> {
    ledger.begins(PROXY);
    ledger.configured(2_000_000, PROXY, cells, &mut Figures::default());
    ledger.breach.take().map(|(invariant, _)| invariant)
}

fn acknowledge(ledger: &mut Ledger, items: &[Item]) {
    ledger.acknowledged(1_000_000, items, &BTreeMap::new(), &mut Figures::default());
}

#[gtest]
fn a_table_without_a_part_of_the_first_configuration_is_found() {
    let first = items(FIRST);
    for absent in 0..first.len() {
        let mut ledger = Ledger::default();
        acknowledge(&mut ledger, &first);
        let part = first.iter().enumerate().filter(|(n, _)| *n != absent).map(|(_, item)| item.clone());
        expect_that!(broken(&mut ledger, &table(part)), some(eq(Invariant::InPart)), "item {absent}");
        expect_that!(broken(&mut ledger, &table(first.clone())), none(), "all of it");
    }
}

#[gtest]
fn newer_items_and_drops_stand_for_the_first_ones() {
    let first = items(FIRST);
    let mut ledger = Ledger::default();
    acknowledge(&mut ledger, &first);
    let newer = items(NEWER_TENANT);
    acknowledge(&mut ledger, &newer);
    let changed = table(first.iter().chain(&newer).cloned());
    expect_that!(broken(&mut ledger, &changed), none(), "a newer tenant");
    let without: Vec<Item> =
        first.iter().filter(|item| newer.iter().all(|n| n.key != item.key)).cloned().collect();
    expect_that!(broken(&mut ledger, &table(without.clone())), some(eq(Invariant::InPart)), "no tenant");
    ledger.called(&items(DROP_OF_TENANT));
    expect_that!(broken(&mut ledger, &table(without)), none(), "a drop was called for");
}

#[gtest]
fn before_the_first_configuration_is_acknowledged_nothing_is_judged() {
    let first = items(FIRST);
    expect_that!(broken(&mut Ledger::default(), &table(first.into_iter().take(1))), none());
}
