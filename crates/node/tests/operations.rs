//! Operations on a running node: metrics, exclusion of app servers, reload of settings, and upgrades.

mod fakes;

use std::net::TcpListener;

use fakes::*;
use serde_json::{json, Value};

fn served(app: &AppServer, client: &mut Client, ask: &RequestSpec) {
    client.ask(ask);
    app.next().answer("200 OK", "", "ok");
    assert_eq!(client.answer().status(), 200);
}

#[test]
fn metrics_match_what_peers_saw() {
    let folder = Folder::new();
    let (app, gone) = (AppServer::new(), AppServer::new());
    let entries = [entry("s-1", app.address, "a", "up"), entry("s-2", gone.address, "a", "draining")];
    let edge = Edge::with_operators(&config(&entries), &folder.0);
    let mut client = edge.client();
    served(&app, &mut client, &ask("lookup", "l-1"));
    served(&app, &mut client, &ask("post", "p-1"));
    client.ask(&ask("post", "p-2"));
    let seen = app.next();
    until("two written whole and one more", || edge.metric("upstream_requests_total") == 3.0);
    assert_eq!(edge.metric("pending"), 1.0);
    seen.answer("500 Internal Server Error", "", "");
    assert_eq!(client.answer().status(), 502);
    // Each 503 states that the request has not run, so after the fourth and last attempt it is refused.
    client.ask(&ask("post", "p-3"));
    for _ in 0..4 {
        app.next().answer("503 Service Unavailable", "X-Not-Run: 1\r\n", "");
    }
    assert!(client.answer().refused());
    let count = |class: &str, result: &str| {
        edge.metric(&format!("downstream_requests_total{{lane=\"{class}\",result=\"{result}\"}}"))
    };
    assert_eq!(count("lookup", "completed"), 1.0);
    assert_eq!(["completed", "rejected", "failed"].map(|r| count("post", r)), [1.0, 1.0, 1.0]);
    assert_eq!(count("slip", "completed"), 0.0, "a class is there before its first request");
    assert_eq!(edge.metric("upstream_requests_total"), 7.0);
    assert_eq!(edge.metric("pending"), 0.0);
    assert_eq!((edge.metric("members"), edge.metric("members_unavailable")), (2.0, 1.0));
}

#[test]
fn operators_calls_are_answered_and_silent_callers_block_nobody() {
    let folder = Folder::new();
    let edge = Edge::with_operators(&config(&[entry("s-1", refusing_address(), "a", "up")]), &folder.0);
    let silent: Vec<_> = (0..40)
        .map(|_| std::net::TcpStream::connect(edge.ops.expect("an address")).expect("the node accepts"))
        .collect();
    until("ready", || edge.call("GET", "/api/ready", "").0 == 200);
    for (method, path, body, status) in [
        ("POST", "/api/ready", "", 405),
        ("GET", "/api/exclude", "", 405),
        ("GET", "/nowhere", "", 404),
        ("POST", "/api/exclude", "s-2", 404),
        ("POST", "/api/include", "s-2", 404),
        ("POST", "/api/exclude", "", 404),
    ] {
        assert_eq!(edge.call(method, path, body).0, status, "{method} {path} {body:?}");
    }
    edge.include("s-1");
    edge.exclude(" s-1\n");
    edge.exclude("s-1");
    assert_eq!(edge.metric("members_unavailable"), 1.0);
    drop(silent);
}

#[test]
fn a_call_that_the_disk_keeps_waiting_is_answered_500_and_200_when_repeated() {
    let folder = Folder::new();
    let edge = Edge::with_operators(&config(&[entry("s-1", refusing_address(), "a", "up")]), &folder.0);
    // A write to a FIFO without a reader blocks.
    let path = folder.0.join("pinerelay-127.0.0.1-0.0.held.next");
    assert!(std::process::Command::new("mkfifo").arg(&path).status().expect("mkfifo").success());
    std::thread::scope(|scope| {
        let calls = scope.spawn(|| edge.exclude("s-1"));
        until("stalled", || edge.has_logged(DISK_STALLED));
        assert_eq!(edge.metric("members_unavailable"), 1.0, "it is excluded here all the same");
        std::fs::read(&path).expect("what was to be written");
        assert!(calls.join().expect("confirmed") > 1);
    });
    edge.include("s-1");
    until("included", || edge.metric("members_unavailable") == 0.0);
}

#[test]
fn an_excluded_server_gets_no_new_requests_until_included() {
    let folder = Folder::new();
    let (a, b) = (AppServer::new(), AppServer::new());
    let entries = [entry("s-1", a.address, "a", "up"), entry("s-2", b.address, "a", "up")];
    let lists = DiscoveryServer::with_snapshot(1, &entries);
    let mut config = config(&entries);
    config["discovery"] = json!(lists.address.to_string());
    let edge = Edge::with_operators(&config, &folder.0);
    lists.watched();
    let mut client = edge.client();
    // A request that is already at the excluded server may complete.
    client.ask(&ask("post", "p-0"));
    let (first, seen) = next_of(&[&a, &b]);
    let (held, other, name) = if first == 0 { (&a, &b, "s-1") } else { (&b, &a, "s-2") };
    let excluded = edge.exclude(name);
    seen.answer("200 OK", "", "ends");
    assert_eq!(client.answer().body, b"ends");
    lists.publish_and_wait(entry(name, held.address, "a", "up"));
    lists.watched();
    for number in 1..20 {
        served(other, &mut client, &ask("post", &format!("p-{number}")));
    }
    held.no_request();
    // Included again, and the only one once the other is excluded. It counts as just started and ramps up slowly.
    let calls = [excluded, edge.include(name), edge.exclude(if first == 0 { "s-2" } else { "s-1" })];
    assert!(calls.contains(&1), "each of {calls:?} had to be repeated");
    served(held, &mut client, &ask("post", "p-back"));
}

/// The same settings with other classes.
fn with_classes(config: &Value, classes: Value) -> Value {
    let mut next = config.clone();
    next["settings"]["classes"] = classes;
    next
}

#[test]
fn new_settings_add_drop_and_change_classes_and_open_requests_keep_their_rules() {
    let folder = Folder::new();
    let (a, b) = (AppServer::new(), AppServer::new());
    let first = config(&[entry("s-1", a.address, "a", "up"), entry("s-2", b.address, "a", "up")]);
    let edge = Edge::with_operators(&first, &folder.0);
    let classes = &first["settings"]["classes"];
    // Open under the old rules: unsafe, so a request that may have run is never sent again.
    let (mut open, mut client) = (edge.client(), edge.client());
    open.ask(&ask("post", "p-open"));
    let (_, seen) = next_of(&[&a, &b]);
    // Dropped: lookup. Changed: post is safe now. New: extra, unsafe.
    let (mut post, mut extra) = (classes[0].clone(), classes[2].clone());
    (post["name"], extra["name"]) = (json!("post"), json!("extra"));
    let mut next = with_classes(&first, json!([classes[1], post, extra]));
    next["settings"]["bounds"]["try_limit"] = json!(2);
    edge.reload(&next.to_string());
    until("taken", || edge.metric("config_reloads_total") == 1.0);
    seen.answer("500 Internal Server Error", "", "");
    assert_eq!(open.answer().status(), 502);
    // New rules: post goes by GET, is safe, and gets two attempts.
    let text = RequestSpec { class: "lookup", ..ask("lookup", "p-new") }.text().replace("lookup", "post");
    client.raw(&text);
    for _ in 0..2 {
        next_of(&[&a, &b]).1.answer("500 Internal Server Error", "", "");
    }
    assert!(client.answer().refused());
    a.no_request();
    b.no_request();
    let text = ask("post", "x-1").text().replace("post", "extra");
    client.raw(&text);
    next_of(&[&a, &b]).1.answer("200 OK", "", "new class");
    assert_eq!(client.answer().body, b"new class");
    assert_eq!(edge.metric("downstream_requests_total{lane=\"extra\",result=\"completed\"}"), 1.0);
    // Rejected once clients must know of the new classes.
    until("dropped", || {
        let mut client = edge.client();
        client.ask(&ask("lookup", "l-1"));
        match a.poll_once().or_else(|| b.poll_once()) {
            Some(seen) => seen.answer("200 OK", "", "still known"),
            None if !client.has_answer() => {}
            None => return client.answer().status() == 400,
        }
        false
    });
}

#[test]
fn a_broken_file_changes_nothing() {
    let folder = Folder::new();
    let app = AppServer::new();
    let (old, new) =
        (DiscoveryServer::new(), DiscoveryServer::with_snapshot(0, &[entry("s-1", app.address, "a", "up")]));
    let mut first = config(&[entry("s-1", app.address, "a", "up")]);
    first["discovery"] = json!(old.address.to_string());
    let mut edge = Edge::with_operators(&first, &folder.0);
    old.watched();
    let mut moved = first.clone();
    moved["discovery"] = json!(new.address.to_string());
    let broken = |edit: &dyn Fn(&mut Value)| {
        let mut value = moved.clone();
        edit(&mut value);
        value.to_string()
    };
    let without = |at: &str, key: &str| {
        broken(&|v| {
            v.pointer_mut(at).and_then(Value::as_object_mut).expect("an object").remove(key).expect("a key");
        })
    };
    let set = |at: &str, to: Value| broken(&|v| *v.pointer_mut(at).expect("a place") = to.clone());
    let moved_text = moved.to_string();
    let rows = [
        (String::new(), "malformed"),
        (moved_text[..moved_text.len() / 2].to_string(), "malformed"),
        (without("", "counter"), "counter is missing"),
        (without("/settings", "tariffs"), "settings.tariffs is missing"),
        (without("/settings/bounds", "try_limit"), "settings.bounds.try_limit is missing"),
        (without("/settings/classes/1", "window"), "settings.classes[1].window is missing"),
        (set("/settings/bounds/try_limit", json!(0)), "settings.bounds.try_limit: a positive number"),
        (set("/settings/bounds/try_limit", json!(-1)), "malformed"),
        (set("/settings/classes/0/deadline", json!(0)), "settings.classes[0].deadline: a positive number"),
        (set("/settings/classes/0/deadline", json!("soon")), "malformed"),
        (set("/settings/classes", json!([])), "settings.classes: at least one"),
        (set("/settings/classes/1/name", json!("lookup")), "settings.classes[1].name: stands there twice"),
        (set("/counter", json!("nowhere")), "counter: \"nowhere\" is no address"),
    ];
    for (number, (text, why)) in rows.iter().enumerate() {
        edge.reload(text);
        let log_text = edge.next_log_line();
        assert!(
            log_text.starts_with("pinerelay: the old configuration stays: ") && log_text.contains(why),
            "{log_text}"
        );
        assert_eq!(edge.metric("config_reload_errors_total"), (number + 1) as f64);
    }
    assert_eq!(edge.metric("config_reloads_total"), 0.0);
    // The node still watches the old discovery.
    old.publish_and_wait(entry("s-1", app.address, "a", "draining"));
    until("drains", || edge.metric("members_unavailable") == 1.0);
    edge.reload(&moved_text);
    new.watched_from(0);
    assert_eq!(edge.metric("config_reloads_total"), 1.0);
}

#[test]
fn an_upgrade_hands_over_the_socket_and_exclusions_without_a_lost_request() {
    let folder = Folder::new();
    let (a, b) = (AppServer::new(), AppServer::new());
    let config = config(&[entry("s-1", a.address, "a", "up"), entry("s-2", b.address, "a", "up")]);
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let old = Edge::inheriting(&config, &folder.0, &platform);
    assert_eq!(old.address, platform.local_addr().expect("an address"));
    let mut calls = vec![old.exclude("s-2")];
    let (mut kept, mut waits) = (old.client(), old.client());
    served(&a, &mut kept, &ask("post", "p-1"));
    // A connection without any request would be closed 2.2 s later.
    served(&a, &mut waits, &ask("post", "p-1a"));
    let new = Edge::inheriting(&config, &folder.0, &platform);
    until("ready", || new.call("GET", "/api/ready", "").0 == 200);
    assert_eq!(new.metric("members_unavailable"), 1.0, "the next process knows the exclusion");
    // A call to the new process takes effect in the old one too.
    calls.push(new.include("s-2"));
    until("let back in both", || old.metric("members_unavailable") == 0.0);
    calls.push(new.exclude("s-2"));
    assert!(calls.contains(&1), "each of {calls:?} had to be repeated");
    until("held out in both", || old.metric("members_unavailable") == 1.0);
    served(&a, &mut waits, &ask("post", "p-1b"));
    waits.ask(&ask("post", "p-2"));
    let seen = a.next();
    old.terminate();
    until("not ready", || old.call("GET", "/api/ready", "").0 == 503);
    seen.answer("200 OK", "", "was open");
    assert_eq!(waits.answer().body, b"was open");
    // A kept connection serves one more request, and its answer announces the close.
    kept.ask(&ask("post", "p-3"));
    a.next().answer("200 OK", "", "old one");
    let answer = kept.answer();
    assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
    // New connections go to the new process at once.
    for number in 0..10 {
        let mut client = new.client();
        client.ask(&ask("post", &format!("n-{number}")));
        a.next().answer("200 OK", "", "new one");
        let answer = client.answer();
        assert_eq!((answer.status(), answer.header("connection")), (200, None));
    }
    old.end_in_success();
    assert_eq!(new.metric("downstream_requests_total{lane=\"post\",result=\"completed\"}"), 10.0);
    b.no_request();
}

#[test]
fn two_processes_together_keep_the_descriptor_limit_of_one() {
    let folder = Folder::new();
    let app = AppServer::new();
    let mut config = config(&[entry("s-1", app.address, "a", "up")]);
    let limit = 172;
    // An eighth is reserved for a process that starts.
    let half = (limit - limit / 8) / 2;
    config["limits"] = json!({"cores": 1.0, "memory_mb": 64, "sockets": limit});
    let platform = TcpListener::bind("127.0.0.1:0").expect("a port");
    let old = Edge::inheriting(&config, &folder.0, &platform);
    let crowd = |from: &Edge, name: &str| -> Vec<Client> {
        let each = |number| {
            let mut client = from.client();
            served(&app, &mut client, &ask("post", &format!("{name}-{number}")));
            client
        };
        (0..65).map(each).collect()
    };
    let first = crowd(&old, "a");
    assert!(old.descriptors() > half, "{}", old.descriptors());
    let new = Edge::inheriting(&config, &folder.0, &platform);
    until("ready", || new.call("GET", "/api/ready", "").0 == 200);
    until("the old one keeps to its half", || old.descriptors() <= half);
    let second = crowd(&new, "b");
    let held = (old.descriptors(), new.descriptors());
    assert!(held.0 <= half && held.1 <= half, "{held:?}");
    // After a kill of the old process all descriptors belong to the new one.
    old.signal("KILL");
    drop((first, second));
    until("all is the new one's", || {
        let third = crowd(&new, "c");
        third.len() == 65 && new.descriptors() > half
    });
}

#[test]
fn a_descriptor_that_is_not_a_listening_socket_fails_the_start_with_one_log_line() {
    for fd in ["5", "two"] {
        let path = temp_path(".json");
        std::fs::write(&path, config(&[]).to_string()).expect("a file");
        let out = std::process::Command::new(env!("CARGO_BIN_EXE_pinerelay"))
            .envs([("PROXY_FD", fd.as_ref()), ("PROXY_CONFIG", path.as_os_str())])
            .output()
            .expect("an end");
        std::fs::remove_file(path).expect("the file");
        let log_text = String::from_utf8(out.stderr).expect("text");
        assert_eq!(out.status.code(), Some(1), "{log_text}");
        assert!(log_text.starts_with("pinerelay: PROXY_FD: ") && log_text.lines().count() == 1, "{log_text}");
    }
}
