//! Which changes of a rollout are accepted, and what operators and proxies read of it.

use googletest::prelude::*;

use super::*;
use crate::ItemSet;

const NOW_MS: u64 = 1_700_000_000_000;

fn live() -> ItemSet {
    let mut live = ItemSet::default();
    live.merge(Item::with_revision(Key::new(Kind::Service, "s"), 1, Some(b"{}".to_vec())));
    let versions = vec!["v1".into()];
    apply(&mut live, &RolloutChange::SetBaseline { service: "s".into(), versions }).expect("a baseline");
    live
}

fn start(target: &str, order_time_ms: u64) -> RolloutChange {
    let order = RolloutOrder { service: "s".into(), target: target.into(), deadline_ms: 12_000 };
    RolloutChange::Start { order, ordered_at_ms: order_time_ms }
}

fn apply(live: &mut ItemSet, change: &RolloutChange) -> std::result::Result<bool, ValidationError> {
    let item = change.apply(|key| live.get(key))?;
    Ok(item.is_some_and(|item| live.merge(item)))
}

fn current(live: &ItemSet) -> Rollout {
    live.get(&Rollout::key("s")).and_then(Rollout::from_item).expect("a rollout")
}

fn advance(live: &mut ItemSet, stage: Stage) -> std::result::Result<bool, ValidationError> {
    let revision = live.get(&Rollout::key("s")).map_or(0, |item| item.version.revision);
    apply(live, &RolloutChange::Advance { service: "s".into(), revision, stage })
}

#[gtest]
fn a_version_outside_the_baseline_and_the_rollout_is_closed() {
    let mut live = live();
    expect_that!(current(&live).access("v1"), eq(VersionAccess::Open));
    expect_that!(current(&live).access("v2"), eq(VersionAccess::Closed));
    expect_that!(current(&live).render(), none());
    apply(&mut live, &start("v2", NOW_MS)).expect("an order");
    expect_that!(current(&live).access("v2"), eq(VersionAccess::ByPermit));
    expect_that!(current(&live).access("v3"), eq(VersionAccess::Closed));
}

#[gtest]
fn each_stage_grants_access_to_its_versions() {
    let mut live = live();
    apply(&mut live, &start("v2", NOW_MS)).expect("an order");
    let access = |live: &ItemSet| (current(live).access("v1"), current(live).access("v2"));
    use VersionAccess::{ByPermit, Closed, Open};
    expect_that!(access(&live), eq((Open, ByPermit)));
    for (stage, expected) in [(Stage::Ramp, (Open, ByPermit)), (Stage::Cutover, (Closed, Open))] {
        expect_that!(advance(&mut live, stage), ok(eq(&true)));
        expect_that!(access(&live), eq(expected));
    }
    let mut reverted = live.clone();
    expect_that!(advance(&mut reverted, Stage::Reverted), ok(eq(&true)));
    expect_that!(access(&reverted), eq((Open, Closed)));
    expect_that!(advance(&mut live, Stage::Finished), ok(eq(&true)));
    expect_that!(access(&live), eq((Closed, Open)));
}

#[gtest]
fn a_rollout_ends_once() {
    let mut live = live();
    apply(&mut live, &start("v2", NOW_MS)).expect("an order");
    expect_that!(advance(&mut live, Stage::Finished), err(anything()), "not before the other stages");
    expect_that!(advance(&mut live, Stage::Reverted), ok(eq(&true)));
    for stage in [Stage::Ramp, Stage::Cutover, Stage::Finished, Stage::Canary, Stage::Baseline] {
        expect_that!(advance(&mut live, stage), err(anything()), "{stage:?}");
    }
    expect_that!(advance(&mut live, Stage::Reverted), ok(eq(&false)));
}

#[gtest]
fn a_stage_that_was_decided_on_an_older_item_is_rejected() {
    let mut live = live();
    apply(&mut live, &start("v2", NOW_MS)).expect("an order");
    let revision = live.get(&Rollout::key("s")).expect("an item").version.revision;
    let stale_change = RolloutChange::Advance { service: "s".into(), revision, stage: Stage::Reverted };
    advance(&mut live, Stage::Ramp).expect("the next stage");
    expect_that!(
        apply(&mut live, &stale_change),
        err(predicate(|error: &ValidationError| error.is_conflict()))
    );
}

#[gtest]
fn a_repeated_order_is_acknowledged_again_and_a_different_one_conflicts() {
    let mut live = live();
    expect_that!(apply(&mut live, &start("v2", NOW_MS)), ok(eq(&true)));
    let order = current(&live).order;
    expect_that!(apply(&mut live, &start("v2", NOW_MS + 900)), ok(eq(&false)));
    expect_that!(
        apply(&mut live, &start("v3", NOW_MS + 900)),
        err(predicate(|error: &ValidationError| error.is_conflict()))
    );
    advance(&mut live, Stage::Reverted).expect("reverted");
    // The caller may not have received the answer yet.
    expect_that!(apply(&mut live, &start("v2", NOW_MS + 5_000)), ok(eq(&false)));
    expect_that!(
        apply(&mut live, &start("v2", NOW_MS + 60_000)),
        err(predicate(|error: &ValidationError| error.is_conflict()))
    );
    expect_that!(apply(&mut live, &start("v3", NOW_MS + 60_000)), ok(eq(&true)));
    expect_that!(current(&live).stable, elements_are![eq("v1")]);
    expect_that!(current(&live).order, gt(order));
}

#[gtest]
fn the_next_rollout_starts_from_the_target_of_the_finished_one() {
    let mut live = live();
    apply(&mut live, &start("v2", NOW_MS)).expect("an order");
    for stage in [Stage::Ramp, Stage::Cutover, Stage::Finished] {
        advance(&mut live, stage).expect("the next stage");
    }
    expect_that!(
        apply(&mut live, &start("v2", NOW_MS + 60_000)),
        ok(eq(&false)),
        "the version has the requests already"
    );
    expect_that!(apply(&mut live, &start("v3", NOW_MS + 60_000)), ok(eq(&true)));
    expect_that!(current(&live).stable, elements_are![eq("v2")]);
}

#[gtest]
fn an_order_for_an_unknown_service_or_for_the_baseline_version_is_rejected() {
    let mut empty = ItemSet::default();
    expect_that!(apply(&mut empty, &start("v2", NOW_MS)), err(anything()));
    let mut live = live();
    expect_that!(
        apply(&mut live, &start("v1", NOW_MS)),
        err(predicate(|error: &ValidationError| error.is_conflict()))
    );
}

#[gtest]
fn a_baseline_does_not_override_a_rollout() {
    let mut live = live();
    apply(&mut live, &start("v2", NOW_MS)).expect("an order");
    let versions = vec!["v9".into()];
    let baseline = RolloutChange::SetBaseline { service: "s".into(), versions };
    expect_that!(apply(&mut live, &baseline), ok(eq(&false)));
}

#[gtest]
fn valid_orders_are_parsed_and_invalid_ones_rejected() {
    let parse = |body: &str| RolloutOrder::parse(body.as_bytes());
    let order = parse(r#"{"service":"s","target_version":"v2","deadline":"1.5s"}"#);
    expect_that!(order, ok(field!(RolloutOrder.deadline_ms, eq(&1_500))));
    for body in [
        "",
        "[]",
        r#"{"service":"s","target_version":"v2"}"#,
        r#"{"service":"s","target_version":"v2","deadline":"0s"}"#,
        r#"{"service":"s","target_version":"v2","deadline":12}"#,
        r#"{"service":"","target_version":"v2","deadline":"1s"}"#,
        r#"{"service":"s","target_version":7,"deadline":"1s"}"#,
    ] {
        expect_that!(parse(body), err(anything()), "{body}");
    }
}

#[gtest]
fn operators_read_public_state_names() {
    let mut live = live();
    apply(&mut live, &start("v\"2", NOW_MS)).expect("an order");
    let read = |live: &ItemSet| current(live).render();
    expect_that!(read(&live), some(eq(r#"{"state":"serving","target_version":"v\"2"}"#)));
    advance(&mut live, Stage::Reverted).expect("reverted");
    expect_that!(read(&live), some(eq(r#"{"state":"reverted","target_version":"v\"2"}"#)));
}
