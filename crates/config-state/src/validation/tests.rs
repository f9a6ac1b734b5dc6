//! Which updates are accepted, and which errors the others get.

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

const VALID_ROUTE: &str = r#"["r",1,"a.example","/x/","safe","2500ms","400ms","s1",null]"#;

#[gtest]
fn only_values_that_the_protocol_forbids_are_rejected() {
    let validated =
        |route: &str| accept_update(&ItemSet::default(), &call(route, "", "")).map(|newer| newer.len());
    expect_that!(validated(VALID_ROUTE), ok(eq(&3)));
    let cases = [
        ("safe", "idempotent", "Route r/route_type: safe or unsafe is wanted"),
        ("a.example", "", "Route r/host: a text that is not empty is wanted"),
        ("400ms", "62500ms", "Route r/target: it must not exceed the time-out by a minute or more"),
        ("\"s1\",null", "\"s9\",null", "Route r/service: there is no service s9"),
        ("\"s1\",null", "null,[{\"service\":\"s1\",\"weight\":0}]", "Route r/traffic_split: weights with"),
        ("2500ms", "soon", "Route r/timeout: a time such as"),
        ("/x/", "x/", "Route r/path_prefix: a path from slash to slash is wanted"),
    ];
    for (from, to, expected) in cases {
        let error = validated(&VALID_ROUTE.replace(from, to)).expect_err(to);
        expect_that!(error.to_string(), starts_with(expected));
    }
    expect_that!(validated(&VALID_ROUTE.replace("400ms", "62499ms")), ok(eq(&3)));
}

#[gtest]
fn an_invalid_call_is_rejected_as_a_whole_and_an_older_one_has_no_effect() {
    let mut item_set = ItemSet::default();
    let first = call(VALID_ROUTE, r#"["t1",1,["k1"]],["t2",1,["k2"]]"#, "");
    item_set.merge_all(accept_update(&item_set, &first).expect("valid"));
    expect_that!(accept_update(&item_set, &first), ok(is_empty()), "the same once more");
    let shared_key = call(&VALID_ROUTE.replace("\"r\",1", "\"r\",5"), r#"["t2",2,["k2","k1"]]"#, "");
    expect_that!(accept_update(&item_set, &shared_key).is_err(), eq(true));
    let service_removed = call(VALID_ROUTE, "", r#""services":[{"name":"s1","revision":2}]"#);
    expect_that!(
        accept_update(&item_set, &service_removed).is_err(),
        eq(true),
        "a route forwards to the removed service"
    );
    // A key may move from one tenant to another in one call.
    let moved_keys = call(VALID_ROUTE, r#"["t1",4,[]],["t2",4,["k2","k1"]]"#, "");
    item_set.merge_all(accept_update(&item_set, &moved_keys).expect("valid"));
    expect_that!(accept_update(&item_set, &first), ok(is_empty()), "the same call, older by now");
    let table = RoutingTable::from_items(&item_set);
    expect_that!(table.tenant_by_key("k1").map(|t| t.name.as_str()), some(eq("t2")));
    let two_revisions = call(VALID_ROUTE, r#"["t1",7,["a"]],["t1",6,["b"]]"#, "");
    let newer = accept_update(&item_set, &two_revisions).expect("valid");
    expect_that!(newer.iter().map(|i| i.version.revision).collect::<Vec<_>>(), elements_are![eq(&7)]);
}

#[gtest]
fn different_content_under_one_revision_is_a_conflict() {
    let mut item_set = ItemSet::default();
    let first = call(VALID_ROUTE, r#"["t1",5,["k1"]]"#, "");
    item_set.merge_all(accept_update(&item_set, &first).expect("valid"));
    expect_that!(accept_update(&item_set, &first), ok(is_empty()), "the same once more");
    let expect_conflict = |current: &ItemSet, tenants: &str, remove: &str| {
        let error = accept_update(current, &call(VALID_ROUTE, tenants, remove)).expect_err("a conflict");
        expect_that!(error.is_conflict(), eq(true));
        expect_that!(error.location, eq("Tenant t1/revision"));
    };
    expect_conflict(&item_set, r#"["t1",5,["k2"]]"#, "");
    expect_conflict(&item_set, "", r#""tenants":[{"name":"t1","revision":5}]"#);
    // The whole call is rejected, and two contents under one revision within a call conflict as well.
    expect_conflict(&item_set, r#"["t2",5,["k3"]],["t1",5,["k2"]]"#, "");
    expect_conflict(&ItemSet::default(), r#"["t1",5,["k1"]],["t1",5,["k2"]]"#, "");
    expect_conflict(&ItemSet::default(), r#"["t1",5,["k1"]]"#, r#""tenants":[{"name":"t1","revision":5}]"#);
    // An upsert under the revision of an accepted removal.
    let removed = call(VALID_ROUTE, "", r#""tenants":[{"name":"t1","revision":6}]"#);
    item_set.merge_all(accept_update(&item_set, &removed).expect("valid"));
    expect_conflict(&item_set, r#"["t1",6,["k1"]]"#, "");
    // A call that was accepted and has been superseded is acknowledged again, whichever tenant has its keys by now.
    let other = call(VALID_ROUTE, r#"["t2",7,["k1"]]"#, "");
    item_set.merge_all(accept_update(&item_set, &other).expect("valid"));
    expect_that!(accept_update(&item_set, &first), ok(is_empty()));
    expect_that!(accept_update(&item_set, &removed), ok(is_empty()));
}

#[gtest]
fn the_longest_matching_prefix_of_the_host_selects_the_route() {
    let route = |name: &str, host: &str, prefix: &str| {
        VALID_ROUTE.replace("\"r\"", &format!("\"{name}\"")).replace("a.example", host).replace("/x/", prefix)
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
