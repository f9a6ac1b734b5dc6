//! Hostile and malformed JSON is rejected and ends no process. A stack overflow cannot be caught, so each reader of nested
//! texts runs in a child process.

use std::process::Command;

use googletest::prelude::*;
use pinerelay_config_state::json::{self, JsonError};
use pinerelay_config_state::resources::{Route, Tenant};
use pinerelay_config_state::routing_table::RoutingTable;
use pinerelay_config_state::server::Heartbeat;
use pinerelay_config_state::validation::{accept_update, IndexedItems};
use pinerelay_config_state::{operator_call, Item, ItemSet, Key, Kind, ValidationError};

/// The environment variable that names the reader that a child process is to run.
const READER_VARIABLE: &str = "PINERELAY_TEST_READER";

/// A text that opens arrays or objects and never closes them. A caller once sent 500 KB of this.
fn nested(opening: &str, count: usize) -> Vec<u8> {
    opening.repeat(count).into_bytes()
}

/// Passes texts of different nestings and depths to a reader, at each place at which it could recurse.
fn read_nested(reader: &str) {
    for opening in ["{\"a\":", "[", "{\"upsert\":{\"routes\":{\"records\":[[", "[{\"\":["] {
        for count in [1_000, 100_000, 400_000] {
            let text = nested(opening, count);
            match reader {
                "call" => drop(operator_call::parse_update(&text)),
                "heartbeat" => drop(Heartbeat::parse(&text)),
                "route" => drop(Route::parse("r", &text)),
                "tenant" => drop(Tenant::parse("t", &text)),
                "standing" => {
                    let mut item_set = ItemSet::default();
                    item_set.merge(Item::with_revision(Key::new(Kind::Route, "r"), 1, Some(text)));
                    drop(operator_call::render_configuration(&item_set));
                    drop(RoutingTable::from_items(&item_set));
                    drop(IndexedItems::new(item_set));
                }
                other => panic!("no reader {other}"),
            }
        }
    }
}

#[gtest]
fn deep_nesting_causes_no_stack_overflow() {
    if let Ok(reader) = std::env::var(READER_VARIABLE) {
        return read_nested(&reader);
    }
    let program = std::env::current_exe().expect("this program");
    for reader in ["call", "heartbeat", "route", "tenant", "standing"] {
        let mut child = Command::new(&program);
        let child =
            child.args(["deep_nesting_causes_no_stack_overflow", "--exact"]).env(READER_VARIABLE, reader);
        let child_output = child.output().expect("a child process");
        expect_that!(child_output.status.success(), eq(true), "{reader}: {}", child_output.status);
    }
}

#[gtest]
fn a_text_at_a_bound_is_parsed_and_one_over_it_rejected() {
    let nested_arrays = |depth: usize| format!("{}{}", "[".repeat(depth), "]".repeat(depth));
    let max_depth = json::OPERATOR_CALL.depth;
    expect_that!(json::parse(nested_arrays(max_depth).as_bytes(), &json::OPERATOR_CALL).is_ok(), eq(true));
    let too_deep = json::parse(nested_arrays(max_depth + 1).as_bytes(), &json::OPERATOR_CALL).map(drop);
    expect_that!(too_deep, err(eq(&JsonError::TooDeep { byte_offset: max_depth, max_depth })));
    let quoted_brackets = format!("[\"{}\\\"[{{\"]", "[".repeat(max_depth));
    expect_that!(
        json::parse(quoted_brackets.as_bytes(), &json::OPERATOR_CALL).is_ok(),
        eq(true),
        "brackets in a string"
    );
    let side_by_side = format!("[{}1]", "[[]],".repeat(max_depth));
    expect_that!(json::parse(side_by_side.as_bytes(), &json::OPERATOR_CALL).is_ok(), eq(true));
    let too_many = format!("[{}1]", "1,".repeat(json::HEARTBEAT.values));
    expect_that!(
        json::parse(too_many.as_bytes(), &json::HEARTBEAT).map(drop),
        err(eq(&JsonError::TooManyValues(json::HEARTBEAT.values)))
    );
    let too_long = format!("\"{}\"", "x".repeat(json::HEARTBEAT.bytes));
    expect_that!(
        json::parse(too_long.as_bytes(), &json::HEARTBEAT).map(drop),
        err(eq(&JsonError::TooLong(json::HEARTBEAT.bytes)))
    );
}

#[gtest]
fn duplicate_names_are_rejected() {
    let duplicates = [
        r#"{"upsert":{},"upsert":{}}"#,
        r#"{"upsert":{"routes":null,"routes":null}}"#,
        r#"{"upsert":{},"\u0075psert":{}}"#,
        r#"{"upsert" : {}, "remove":{"routes":[{"name":"a","revision":1,"name":"b"}]}}"#,
    ];
    for text in duplicates {
        let error = operator_call::parse_update(text.as_bytes()).expect_err(text).to_string();
        expect_that!(error, contains_substring("stands twice in one object"), "{text}");
    }
    let duplicate_column =
        br#"{"upsert":{"services":{"column_names":["name","revision","name"],"records":[["a",1,"b"]]}}}"#;
    expect_that!(
        operator_call::parse_update(duplicate_column).map_err(|error| error.location),
        err(eq("/upsert/services/column_names/2"))
    );
    let many_names = |last: &str| {
        let names: Vec<String> = (0..100).map(|n| format!("\"n{n}\":{n}")).collect();
        json::check(format!("{{{},\"{last}\":0}}", names.join(",")).as_bytes(), &json::OPERATOR_CALL)
    };
    expect_that!(many_names("n100"), ok(anything()));
    expect_that!(many_names("n3"), err(anything()));
    expect_that!(many_names("n73"), err(anything()));
    let distinct_objects = br#"[{"a":1},{"a":{"a":"a"}},"a"]"#;
    expect_that!(json::check(distinct_objects, &json::OPERATOR_CALL), ok(anything()));
}

#[gtest]
fn malformed_numbers_and_texts_are_rejected() {
    let call = |revision: &str, name: &str| {
        let body = format!("{{\"remove\":{{\"routes\":[{{\"name\":{name},\"revision\":{revision}}}]}}}}");
        operator_call::parse_update(body.as_bytes()).map(|items| items.len())
    };
    expect_that!(call("7", "\"r\""), ok(eq(&1)));
    expect_that!(call("18446744073709551615", "\"r\""), ok(eq(&1)));
    let numbers = [
        "NaN",
        "1e999",
        "-1",
        "18446744073709551616",
        "7.5",
        "1e400",
        "Infinity",
        "0x7",
        "07",
        "--1",
        "\"7\"",
    ];
    for number in numbers {
        expect_that!(call(number, "\"r\""), err(anything()), "{number}");
    }
    for name in ["\"\"", "\"\\ud800\"", "\"\\udc00x\"", "\"\\u12\"", "\"\\q\"", "7", "null"] {
        expect_that!(call("7", name), err(anything()), "{name}");
    }
    let mut body = br#"{"remove":{"routes":[{"name":"r?","revision":7}]}}"#.to_vec();
    let index = body.iter().position(|&byte| byte == b'?').expect("the placeholder");
    for byte in [0xff, 0xc0, 0x80, 0x00, 0x1f] {
        body[index] = byte;
        expect_that!(operator_call::parse_update(&body), err(anything()), "{byte:#x}");
    }
}

/// An update that sets a tenant, a route and a service.
fn update(tenant: &str, revision: u64, key: &str, prefix: &str) -> Vec<Item> {
    let tenant = sonic_rs::to_string(tenant).expect("a text");
    let key = sonic_rs::to_string(key).expect("a text");
    let prefix = sonic_rs::to_string(prefix).expect("a text");
    let body = format!(
        r#"{{"upsert":{{"tenants":{{"column_names":["name","revision","api_keys"],"records":[[{tenant},{revision},[{key}]]]}},
        "routes":{{"column_names":["name","revision","host","path_prefix","route_type","timeout","service"],
        "records":[["r",{revision},"a.example",{prefix},"safe","1s","s"]]}},
        "services":{{"column_names":["name","revision"],"records":[["s",{revision}]]}}}}}}"#
    );
    operator_call::parse_update(body.as_bytes()).expect("a call")
}

#[gtest]
fn values_that_no_request_can_contain_are_rejected() {
    let validated = |tenant: &str, key: &str, prefix: &str| {
        let call = update(tenant, 1, key, prefix);
        let reference = accept_update(&ItemSet::default(), &call);
        expect_that!(IndexedItems::default().accept_update(&call), eq(&reference));
        reference.map(|items| items.len()).map_err(|error| error.to_string())
    };
    expect_that!(validated("yefi830", "xd9dnn2ctnfzs989anu6", "/x/"), ok(eq(&3)));
    expect_that!(validated("A tenant, 7~", "a b=\u{e9}", "/x/%20;=@/"), ok(eq(&3)));
    let long_name = "n".repeat(operator_call::MAX_NAME_LENGTH + 1);
    for tenant in ["caf\u{e9}", " a", "a ", "a\tb", "a\u{0}", "a\r\nX-Tenant: b", "\u{7f}", &long_name] {
        expect_that!(validated(tenant, "k", "/x/"), err(anything()), "{tenant:?}");
    }
    let long_key = "k".repeat(pinerelay_config_state::request_syntax::MAX_KEY_LENGTH + 1);
    for key in [" k", "k ", "\tk", "k\n", "k\u{0}", "k\u{7f}", "k\u{fffd}", &long_key] {
        expect_that!(validated("t", key, "/x/"), err(contains_substring("api_keys")), "{key:?}");
    }
    for prefix in ["/x y/", "/x?y/", "/x#y/", "/\u{0}/", "/x\r\n/", "/\u{7f}/"] {
        expect_that!(validated("t", "k", prefix), err(contains_substring("path_prefix")), "{prefix:?}");
    }
}

#[gtest]
fn items_of_an_earlier_release_stay_live_and_are_acknowledged_again() {
    let old = update("caf\u{e9}", 5, "k\n", "/x y/");
    let mut item_set = ItemSet::default();
    item_set.merge_all(old.clone());
    let current = IndexedItems::new(item_set.clone());
    expect_that!(accept_update(&item_set, &old), ok(is_empty()));
    expect_that!(current.accept_update(&old), ok(is_empty()));
    let older = update("caf\u{e9}", 3, "k\n", "/x y/");
    expect_that!(current.accept_update(&older), ok(is_empty()));
    let other = update("t2", 6, "k2", "/x/");
    expect_that!(
        current.accept_update(&other).map(|items| items.len()),
        ok(eq(&3)),
        "other items are accepted beside it"
    );
    expect_that!(accept_update(&item_set, &other).map(|items| items.len()), ok(eq(&3)));
    let newer = update("caf\u{e9}", 7, "k", "/x/");
    expect_that!(current.accept_update(&newer), err(contains_display("X-Tenant")));
    expect_that!(RoutingTable::from_items(&item_set).tenant_by_name("caf\u{e9}"), some(anything()));
}

fn contains_display(part: &'static str) -> impl for<'a> Matcher<&'a ValidationError> {
    predicate(move |error: &ValidationError| error.to_string().contains(part))
}

#[gtest]
fn a_live_item_that_is_nested_too_deeply_does_not_block_other_updates() {
    let deep = format!("{{\"x\":{}{}}}", "[".repeat(4_000), "]".repeat(4_000)).into_bytes();
    for kind in [Kind::Route, Kind::Tenant, Kind::Service, Kind::Limits] {
        let mut item_set = ItemSet::default();
        item_set.merge(Item::with_revision(Key::new(kind, "deep"), 1, Some(deep.clone())));
        let call = update("t", 1, "k", "/x/");
        expect_that!(accept_update(&item_set, &call).map(|items| items.len()), ok(eq(&3)), "{kind:?}");
        let mut current = IndexedItems::new(item_set);
        expect_that!(current.accept_update(&call).map(|items| items.len()), ok(eq(&3)), "{kind:?}");
        current.merge_all(call);
        expect_that!(RoutingTable::from_items(current.items()).tenant_by_key("k"), some(anything()));
        let tombstone = Item::with_revision(Key::new(kind, "deep"), 2, None);
        expect_that!(current.accept_update(&[tombstone]).map(|items| items.len()), ok(eq(&1)), "{kind:?}");
    }
}
