//! What a registry tells its proxies of a configuration that comes to it in pieces.

use std::time::Duration;

use googletest::prelude::*;
use pinerelay_cells::{call, Cells, Item};
use pinerelay_nectar::terms::Bounds;
use pinerelay_propolis::speech::{Hello, Role, Speech};
use pinerelay_scout::registry::{Birth, Output, Registry};

const STORE: u64 = 1;
const PROXY: u64 = 2;
const MILLISECOND: u64 = 1_000;

fn hello(role: Role) -> Hello {
    Hello { node: format!("{role:?}"), ip: "127.0.0.1".into(), role, life: 1 }
}

fn registry() -> Registry {
    let bounds = Bounds { period: Duration::from_secs(5), overrun: 0.1, margin: 20.0 };
    let birth = Birth {
        hello: hello(Role::Scout),
        first: false,
        heartbeat: 1_500_000,
        bounds,
        seeds: vec!["127.0.0.1".into()],
        wall: 0,
    };
    let mut registry = Registry::new(0, birth);
    registry.said(1, STORE, Speech::Hello(hello(Role::Comb)), &mut Vec::new());
    registry.said(1, PROXY, Speech::Hello(hello(Role::Forager)), &mut Vec::new());
    registry.tick(2, &mut Vec::new());
    registry
}

/// One key, which two tenants pass on to each other: both items belong to one call.
fn pass_key(revision: u64) -> Vec<Item> {
    let text = format!(
        r#"{{"upsert":{{"tenants":{{"column_names":["name","api_keys","revision"],
            "records":[["t1",[],{revision}],["t2",["k"],{revision}]]}}}}}}"#
    );
    call::read(text.as_bytes()).expect("a change")
}

fn digest(items: &[Item]) -> u64 {
    let mut cells = Cells::default();
    cells.merge_all(items.iter().cloned());
    cells.digest()
}

fn piece(items: &[Item]) -> Speech {
    Speech::Mend { realm: 0, items: items.to_vec(), parts: Vec::new() }
}

/// What the proxy is told of the configuration.
fn told(registry: &mut Registry, now: u64, speech: Speech) -> Vec<Speech> {
    let mut out = Vec::new();
    registry.said(now, STORE, speech, &mut out);
    let to_proxy = out.into_iter().filter_map(|output| match output {
        Output::Say(PROXY, speech) => Some(speech),
        Output::SayAll(peers, speech) if peers.contains(&PROXY) => Some(speech),
        _ => None,
    });
    to_proxy
        .filter(|speech| matches!(speech, Speech::News(_) | Speech::Digest(_) | Speech::Mend { .. }))
        .collect()
}

#[gtest]
fn pieces_of_a_call_are_told_once_all_of_them_have_come() {
    let mut registry = registry();
    let call = pass_key(5);
    expect_that!(told(&mut registry, 3, Speech::Digest([digest(&call), 0])), is_empty());
    expect_that!(told(&mut registry, 4, piece(&call[..1])), is_empty());
    // Nor does a proxy that asks get at half of it.
    let mut out = Vec::new();
    registry.said(5, PROXY, Speech::Digest([1, 0]), &mut out);
    registry.said(
        5,
        PROXY,
        Speech::Mend { realm: 0, items: Vec::new(), parts: Cells::default().compare() },
        &mut out,
    );
    expect_that!(out, is_empty());
    let all = told(&mut registry, 6, piece(&call[1..]));
    expect_that!(all, elements_are![eq(&Speech::Digest([digest(&call), 0]))]);
}

#[gtest]
fn a_call_that_comes_as_news_is_told_at_once() {
    let mut registry = registry();
    let call = pass_key(5);
    expect_that!(told(&mut registry, 3, Speech::News(call.clone())), elements_are![eq(&Speech::News(call))]);
}

#[gtest]
fn where_no_store_says_the_same_for_long_proxies_are_told_all_the_same() {
    let mut registry = registry();
    let call = pass_key(5);
    expect_that!(told(&mut registry, 3, piece(&call[..1])), is_empty());
    let mut digests = 0;
    for now in (10..2_000).step_by(100).map(|ms| ms * MILLISECOND) {
        let mut out = Vec::new();
        registry.tick(now, &mut out);
        digests += out
            .iter()
            .filter(|o| matches!(o, Output::SayAll(to, Speech::Digest(_)) if to.contains(&PROXY)))
            .count();
        if now < 1_000 * MILLISECOND {
            expect_that!(digests, eq(0), "told after {now} us");
        }
    }
    expect_that!(digests, gt(0));
}
