//! The simulator adapter: mapping of messages, malformed lines, and unknown messages and fields.

use mountbend_wire::{run, WireError};

const START: &str = r#"{"time":1000000,"parts":[{"node_id":"node_0","msgs":[{"what":"PowerOn","salt":3,"env":{"n_instances":1,"me":0,"new_setting":4,"bounds":{"try_limit":3},"classes":[{"on_time":500000,"deadline":2000000,"effect":"safe"}]}},{"what":"Pool","list":0,"members":[{"server":12,"condition":"IN","novel":true}]},{"what":"Membership","how":"total","rev":1,"list":0}]}]}"#;
const REQUEST: &str = r#"{"time":1002000,"parts":[{"node_id":"node_0","msgs":[{"what":"Novelty"},{"what":"Knock","xid":"rq_1","lane":0,"member":"91f03b7c55d20a64","due":2900000,"mood":1}]}]}"#;

fn exchange(lines: &[&str]) -> (Result<(), WireError>, String) {
    let mut out = Vec::new();
    let result = run(lines.join("\n").as_bytes(), &mut out);
    (result, String::from_utf8(out).expect("UTF-8"))
}

#[test]
fn a_request_is_sent_to_a_server_and_unknown_messages_are_ignored() {
    let (result, out) = exchange(&[START, REQUEST, r#"{"time":1003000,"parts":[]}"#]);
    result.expect("no error");
    assert_eq!(out.lines().count(), 3, "one reply line per batch");
    assert!(out.contains(r#"{"what":"PassOn","xid":"rq_1","server":12,"timeout":0}"#), "{out}");
    assert_eq!(out.lines().last(), Some(r#"{"parts":[]}"#));
}

#[test]
fn malformed_lines_are_reported_by_number_and_reason() {
    let (result, _) = exchange(&[START, "not json"]);
    let text = result.expect_err("an error").to_string();
    assert!(text.starts_with("line 2 is malformed") && !text.contains('\n'), "{text}");
    let (result, _) = exchange(&[
        START,
        r#"{"time":1002000,"parts":[{"node_id":"node_0","msgs":[{"what":"Knock","lane":0}]}]}"#,
    ]);
    assert!(result.expect_err("an error").to_string().contains("xid"));
    let (result, _) = exchange(&[REQUEST]);
    assert!(matches!(result, Err(WireError::NotStarted(_))));
}
