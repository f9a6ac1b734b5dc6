//! Tests that each error has a JSON pointer, and that the check accepts the same bodies as the stores.

use googletest::prelude::*;
use proptest::prelude::*;

use super::*;

const BODY: &str = r#"{"upsert":{"routes":{"column_names":["name","revision","host","path_prefix","route_type",
    "timeout","service"],"records":[["r1",7,"a.example","/x/","safe","2s","s1"],
    ["r2",7,"a.example","/y/","safe","2s","s2"]]},"tenants":{"column_names":["name","api_keys","revision"],
    "records":[["t1",["k1"],7],["t2",["k2"],7]]},"services":{"column_names":["name","revision"],
    "records":[["s1",7],["s2",7]]},"limits":{"header_timeout":"2s","revision":7}}}"#;

fn errors(body: &str) -> Vec<String> {
    let errors = check(&ItemSet::default(), body.as_bytes()).err().unwrap_or_default();
    errors.iter().map(|error| error.to_string()).collect()
}

#[gtest]
fn each_error_has_a_json_pointer() {
    expect_that!(errors(BODY), is_empty());
    let invalid_fields =
        BODY.replace("\"/x/\"", "\"x\"").replace("\"/y/\",\"safe\",\"2s\"", "\"/y/\",\"safe\",\"soon\"");
    let invalid_fields = invalid_fields.replace("\"header_timeout\":\"2s\"", "\"header_timeout\":2");
    let all = errors(&invalid_fields);
    assert_that!(all.len(), eq(3));
    expect_that!(all[0], starts_with("/upsert/routes/records/0/3: Route r1/path_prefix: a path"));
    expect_that!(all[1], starts_with("/upsert/routes/records/1/5: Route r2/timeout: a time"));
    expect_that!(all[2], starts_with("/upsert/limits/header_timeout: Limits limits/header_timeout: a"));
    let invalid_references = BODY.replace("[[\"s1\",7],[\"s2\",7]]", "[]").replace("k2", "k1");
    let all = errors(&invalid_references);
    assert_that!(all.len(), eq(3));
    expect_that!(all[0], starts_with("/upsert/routes/records/0/6: Route r1/service: there is no"));
    expect_that!(all[1], starts_with("/upsert/routes/records/1/6: Route r2/service: there is no"));
    expect_that!(all[2], starts_with("/upsert/tenants/records/1/1: Tenant t2/api_keys: t1 has"));
    expect_that!(errors("{"), elements_are![contains_substring("no whole JSON")]);
}

#[gtest]
fn references_from_the_current_configuration_are_checked() {
    let mut current = ItemSet::default();
    current.merge_all(check(&current, BODY.as_bytes()).expect("it fits"));
    let removal = br#"{"remove":{"services":[{"name":"s1","revision":8}]}}"#;
    let all = check(&current, removal).expect_err("a route refers to the removed service");
    expect_that!(all[0].to_string(), eq("Route r1/service: there is no service s1"));
    expect_that!(check(&ItemSet::default(), removal).is_ok(), eq(true));
}

proptest! {
    #[test]
    fn the_check_agrees_with_the_validation_of_the_stores(index in 0..BODY.len(), byte in 0x20..0x7f_u8) {
        let mut body = BODY.as_bytes().to_vec();
        body[index] = byte;
        let expected = operator_call::parse_update(&body).is_ok_and(|items| validation::accept_update(&ItemSet::default(), &items).is_ok());
        prop_assert_eq!(check(&ItemSet::default(), &body).is_ok(), expected);
    }
}
