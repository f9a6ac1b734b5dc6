//! Which updates are accepted.

use googletest::prelude::*;

use super::*;
use crate::operator_call::parse_update;
use crate::routing_table::RoutingTable;

fn call(route: &str, tenants: &str, remove: &str) -> Vec<Item> {
    let body = format!(
        r#"{{"upsert":{{"routes":{{"column_names":["name","revision","host","path_prefix","route_type","timeout",
        "target","service","traffic_split"],"records":[{route}]}},"tenants":{{"column_names":["name","revision",
        "api_keys"],"records":[{tenants}]}},"services":{{"column_names":["name","revision"],
        "records":[["s1",1],["s2",1]]}}}},"remove":{{{remove}}}}}"#
    );
    parse_update(body.as_bytes()).expect("a call")
}

const GOOD: &str = r#"["r",1,"a.example","/x/","safe","2500ms","400ms","s1",null]"#;

#[gtest]
fn what_the_protocol_calls_invalid_is_and_all_else_is_not() {
    let validated =
        |route: &str| accept_update(&ItemSet::default(), &call(route, "", "")).map(|newer| newer.len());
    expect_that!(validated(GOOD), ok(eq(&3)));
    let cases = [
        ("safe", "idempotent", "Route r/route_type: safe or unsafe is wanted"),
        ("a.example", "", "Route r/host: a text that is not empty is wanted"),
        ("400ms", "62500ms", "Route r/target: it must not exceed the time-out by a minute or more"),
        ("\"s1\",null", "\"s9\",null", "Route r/service: there is no service s9"),
        ("\"s1\",null", "null,[{\"service\":\"s1\",\"weight\":0}]", "Route r/traffic_split: weights with"),
        ("2500ms", "soon", "Route r/timeout: a time such as"),
        ("/x/", "x/", "Route r/path_prefix: a path from slash to slash is wanted"),
    ];
    for (from, to, why) in cases {
        let error = validated(&GOOD.replace(from, to)).expect_err(to);
        expect_that!(error.to_string(), starts_with(why));
    }
    expect_that!(validated(&GOOD.replace("400ms", "62499ms")), ok(eq(&3)));
}

#[gtest]
fn nothing_of_an_invalid_call_is_taken_and_an_older_one_has_no_effect() {
    let mut item_set = ItemSet::default();
    let first = call(GOOD, r#"["t1",1,["k1"]],["t2",1,["k2"]]"#, "");
    item_set.merge_all(accept_update(&item_set, &first).expect("valid"));
    expect_that!(accept_update(&item_set, &first), ok(is_empty()), "the same once more");
    let shared = call(&GOOD.replace("\"r\",1", "\"r\",5"), r#"["t2",2,["k2","k1"]]"#, "");
    expect_that!(accept_update(&item_set, &shared).is_err(), eq(true));
    let gone = call(GOOD, "", r#""services":[{"name":"s1","revision":2}]"#);
    expect_that!(accept_update(&item_set, &gone).is_err(), eq(true), "a route leads there");
    // A key may move from one tenant to another in one call.
    let moved = call(GOOD, r#"["t1",4,[]],["t2",4,["k2","k1"]]"#, "");
    item_set.merge_all(accept_update(&item_set, &moved).expect("valid"));
    expect_that!(accept_update(&item_set, &first), ok(is_empty()), "older");
    let table = RoutingTable::from_items(&item_set);
    expect_that!(table.tenant_by_key("k1").map(|t| t.name.as_str()), some(eq("t2")));
    let both = call(GOOD, r#"["t1",7,["a"]],["t1",6,["b"]]"#, "");
    let newer = accept_update(&item_set, &both).expect("valid");
    expect_that!(newer.iter().map(|i| i.version.revision).collect::<Vec<_>>(), elements_are![eq(&7)]);
}

#[gtest]
fn one_number_stands_for_one_content() {
    let mut item_set = ItemSet::default();
    let first = call(GOOD, r#"["t1",5,["k1"]]"#, "");
    item_set.merge_all(accept_update(&item_set, &first).expect("valid"));
    expect_that!(accept_update(&item_set, &first), ok(is_empty()), "the same once more");
    let clashes = |current: &ItemSet, tenants: &str, remove: &str| {
        let error = accept_update(current, &call(GOOD, tenants, remove)).expect_err("a conflict");
        expect_that!(error.is_conflict(), eq(true));
        expect_that!(error.location, eq("Tenant t1/revision"));
    };
    clashes(&item_set, r#"["t1",5,["k2"]]"#, "");
    clashes(&item_set, "", r#""tenants":[{"name":"t1","revision":5}]"#);
    // Nothing else of such a call is taken, either, and in one call a number stands for one content, too.
    clashes(&item_set, r#"["t2",5,["k3"]],["t1",5,["k2"]]"#, "");
    clashes(&ItemSet::default(), r#"["t1",5,["k1"]],["t1",5,["k2"]]"#, "");
    clashes(&ItemSet::default(), r#"["t1",5,["k1"]]"#, r#""tenants":[{"name":"t1","revision":5}]"#);
    // A drop that is taken, against a set under its number.
    let dropped = call(GOOD, "", r#""tenants":[{"name":"t1","revision":6}]"#);
    item_set.merge_all(accept_update(&item_set, &dropped).expect("valid"));
    clashes(&item_set, r#"["t1",6,["k1"]]"#, "");
    // What was acknowledged and has been overtaken since is acknowledged again, whoever holds its keys by now.
    let other = call(GOOD, r#"["t2",7,["k1"]]"#, "");
    item_set.merge_all(accept_update(&item_set, &other).expect("valid"));
    expect_that!(accept_update(&item_set, &first), ok(is_empty()));
    expect_that!(accept_update(&item_set, &dropped), ok(is_empty()));
}

#[gtest]
fn the_longest_prefix_of_the_host_is_the_route() {
    let route = |name: &str, host: &str, prefix: &str| {
        GOOD.replace("\"r\"", &format!("\"{name}\"")).replace("a.example", host).replace("/x/", prefix)
    };
    let routes = [
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("b", "b.example", "/"),
    ];
    let mut item_set = ItemSet::default();
    item_set.merge_all(accept_update(&item_set, &call(&routes.join(","), "", "")).expect("valid"));
    let table = RoutingTable::from_items(&item_set);
    let find = |host, path| table.find_route(host, path).map_or("none", |r| r.name.as_str()).to_string();
    expect_that!(find("a.example", "/x/y/z"), eq("long"));
    expect_that!(find("A.example:8080", "/x/yz"), eq("short"));
    expect_that!(find("a.example", "/x"), eq("none"));
    expect_that!(find("b.example", "/x/y/"), eq("b"));
    expect_that!(find("c.example", "/x/y/"), eq("none"));
}
