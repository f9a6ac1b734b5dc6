//! Tests the client's actions against a fake registry on loopback.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use googletest::prelude::*;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use pinerelay_config_state::anti_entropy::SyncPart;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{operator_call, validation, ItemSet};
use pinerelay_peer_link::codec::{self, GREETING};
use pinerelay_peer_link::message::{Hello, Metric, PeerMessage, ProcessList, Role};
use pinerelay_pinectl::command::{Action, Invocation, TargetOptions};
use pinerelay_pinectl::execute::{execute, ExecuteError, ExitStatus, Outcome};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const LOOPBACK: Ipv4Addr = Ipv4Addr::LOCALHOST;

async fn bind_loopback() -> (TcpListener, SocketAddrV4) {
    let listener = TcpListener::bind((LOOPBACK, 0)).await.expect("a port");
    let port = listener.local_addr().expect("an address").port();
    (listener, SocketAddrV4::new(LOOPBACK, port))
}

/// Serves the registry's side of one internal link.
async fn link(mut stream: TcpStream) -> Option<()> {
    let hello =
        Hello { node: "core-1".into(), ip: LOOPBACK.to_string(), role: Role::Registry, process_id: 1 };
    stream.write_all(&GREETING).await.ok()?;
    let mut received = BytesMut::new();
    while received.len() < GREETING.len() {
        stream.read_buf(&mut received).await.ok().filter(|more| *more > 0)?;
    }
    let _ = received.split_to(GREETING.len());
    loop {
        while let Some(message) = codec::decode(&mut received).ok()? {
            let answer = match message {
                PeerMessage::Hello(_) => PeerMessage::Hello(hello.clone()),
                PeerMessage::ProcessListRequest => PeerMessage::ProcessList(ProcessList {
                    linked: vec![hello.clone()],
                    missing: vec!["edge-9".into()],
                    voters: vec![LOOPBACK.to_string()],
                }),
                PeerMessage::Sync { realm: 1, items, parts }
                    if items.is_empty() && parts == [SyncPart::request_all()] =>
                {
                    let server = |port, state| Server {
                        service: "s1".into(),
                        address: SocketAddrV4::new(LOOPBACK, port),
                        zone: "a".into(),
                        revision: String::new(),
                        capacity: 4,
                        state,
                        warmup_ms: 0,
                    };
                    let ready = server(1, ServerState::Ready).to_item("i1", 1);
                    let items = vec![
                        ready,
                        server(2, ServerState::Lost).to_item("i2", 1),
                        Server::tombstone("i3", 9),
                    ];
                    PeerMessage::Sync { realm: 1, items, parts: Vec::new() }
                }
                PeerMessage::MetricsRequest => {
                    let metrics = [
                        ("registry_info{zone=\"a\"}", 1.0),
                        ("registry_majority", 1.0),
                        ("registry_duties", 5.0),
                    ];
                    PeerMessage::Metrics(metrics.map(|(name, value)| Metric::new(name, value)).to_vec())
                }
                _ => PeerMessage::KeepAlive,
            };
            stream.write_all(&codec::encode(&answer)).await.ok()?;
        }
        stream.read_buf(&mut received).await.ok().filter(|more| *more > 0)?;
    }
}

async fn registry() -> TargetOptions {
    let (listener, at) = bind_loopback().await;
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(link(stream));
        }
    });
    TargetOptions { control_addresses: vec![at], settings: None, first_internal_port: Some(at.port()) }
}

/// Serves a control address on a configuration. The first `unavailable_answers` accepted updates are answered with 503.
async fn control(items: Rc<RefCell<ItemSet>>, unavailable_answers: usize) -> SocketAddrV4 {
    let (listener, at) = bind_loopback().await;
    let unavailable_answers = Rc::new(Cell::new(unavailable_answers));
    tokio::task::spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (items, unavailable_answers) = (items.clone(), unavailable_answers.clone());
            let serve = service_fn(move |request: Request<Incoming>| {
                let (items, unavailable_answers) = (items.clone(), unavailable_answers.clone());
                async move {
                    let update = request.uri().query() == Some("call=config.update");
                    let body = request.into_body().collect().await.expect("a body").to_bytes();
                    let mut items = items.borrow_mut();
                    let (status, body) = if !update {
                        (200, operator_call::render_configuration(&items))
                    } else {
                        match operator_call::parse_update(&body)
                            .and_then(|call| validation::accept_update(&items, &call))
                        {
                            Ok(accepted) => {
                                items.merge_all(accepted);
                                let remaining = unavailable_answers.get();
                                unavailable_answers.set(remaining.saturating_sub(1));
                                (if remaining > 0 { 503 } else { 200 }, "{}".into())
                            }
                            Err(rejection) => (400, rejection.to_string()),
                        }
                    };
                    let mut response = Response::new(Full::new(Bytes::from(body)));
                    *response.status_mut() = hyper::StatusCode::from_u16(status).expect("a status");
                    Ok::<_, Infallible>(response)
                }
            });
            let connection = hyper::server::conn::http1::Builder::new();
            tokio::task::spawn_local(connection.serve_connection(TokioIo::new(stream), serve));
        }
    });
    at
}

/// A temporary file that is removed on drop.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> File {
        let path = std::env::temp_dir().join(format!("pinectl-{}-{name}.json", std::process::id()));
        std::fs::write(&path, text).expect("a file");
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Executes an action and returns its output and exit status.
async fn run(
    action: Action,
    targets: &TargetOptions,
    as_json: bool,
) -> std::result::Result<(String, ExitStatus), ExecuteError> {
    let targets = TargetOptions {
        control_addresses: targets.control_addresses.clone(),
        settings: targets.settings.clone(),
        first_internal_port: targets.first_internal_port,
    };
    let Outcome { text, status } = execute(&Invocation { action, targets, as_json }).await?;
    Ok((text, status))
}

#[gtest]
#[tokio::test]
async fn lists_the_registry_state_and_reports_what_is_missing() {
    let work = async {
        let from = registry().await;
        let run_ok = async |requested, json| run(requested, &from, json).await.expect("a report");
        let (text, code) = run_ok(Action::Nodes, false).await;
        expect_that!(code, eq(ExitStatus::Done));
        expect_that!(text, contains_regex(r"registry +core-1 +127\.0\.0\.1 +a +yes +majority=1 duties=5"));
        expect_that!(text, contains_regex(r"config_store +core-1 +127\.0\.0\.1 +a +no "));
        expect_that!(
            text,
            contains_regex(r"proxy +edge-9 +- +- +no +disappeared without a planned shutdown")
        );
        let (text, code) = run_ok(Action::Servers, true).await;
        expect_that!(code, eq(ExitStatus::Done));
        expect_that!(text, contains_substring(r#"[{"service":"s1","ready":1,"draining":0,"lost":1}]"#));
        expect_that!(
            text,
            contains_substring(r#""id":"i2","address":"127.0.0.1:2","zone":"a","state":"lost""#)
        );
        expect_that!(text, not(contains_substring("i3")));
        let (text, code) = run_ok(Action::Duties, false).await;
        expect_that!((code, text.lines().count()), eq((ExitStatus::Partial, 3)));
        expect_that!(text, contains_substring("partial: the registries that answered hold 5 of"));
    };
    LocalSet::new().run_until(work).await;
}

#[gtest]
#[tokio::test]
async fn an_unreachable_registry_makes_a_list_partial_and_no_registry_is_an_error() {
    let work = async {
        let mut from = registry().await;
        from.control_addresses.push(SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 77), 1));
        let (text, code) = run(Action::Servers, &from, true).await.expect("a report");
        expect_that!(code, eq(ExitStatus::Partial));
        expect_that!(text, starts_with(r#"{"partial":true,"missing":["the registry at 127.0.0.77 was not"#));
        from.control_addresses.remove(0);
        let error = run(Action::Servers, &from, true).await.expect_err("no registry is reachable");
        expect_that!(error, matches_pattern!(ExecuteError::Unreached(len(eq(1)))));
        expect_that!(error.status(), eq(ExitStatus::Partial));
    };
    LocalSet::new().run_until(work).await;
}

#[gtest]
#[tokio::test]
async fn a_call_is_compared_retried_unchanged_and_reported() {
    let work = async {
        let items = Rc::new(RefCell::new(ItemSet::default()));
        let (first, second) = (control(items.clone(), 1).await, control(items.clone(), 0).await);
        let from = TargetOptions { control_addresses: vec![first, second], ..TargetOptions::default() };
        let body = r#"{"upsert":{"services":{"column_names":["name","revision","max_conns"],"records":[["s1",N,M]]}}}"#;
        let call = |n: &str, m: &str| File::new(n, &body.replace('N', n).replace('M', m));
        let run_ok = async |requested| run(requested, &from, false).await.expect("a report");
        let file = call("7", "1");
        let (text, code) = run_ok(Action::Apply { path: file.0.clone(), is_dry_run: true }).await;
        expect_that!(code, eq(ExitStatus::Done));
        expect_that!(text, contains_substring("a dry run, nothing was sent"));
        expect_that!(items.borrow().len(), eq(0));
        let (text, code) = run_ok(Action::Apply { path: file.0.clone(), is_dry_run: false }).await;
        expect_that!(code, eq(ExitStatus::Done));
        expect_that!(text, contains_substring(format!("200 by {second}: accepted")));
        expect_that!(run_ok(Action::Items(None)).await.0, contains_regex("services +s1 +7"));
        expect_that!(run_ok(Action::Diff(file.0.clone())).await.0, ends_with("effective: 0\n"));
        let next = call("8", "2");
        expect_that!(
            run_ok(Action::Diff(next.0.clone())).await.0,
            contains_regex("update +7 +8 +max_conns +1 +2")
        );
        let invalid = call("9", "-1");
        let (text, code) = run_ok(Action::Apply { path: invalid.0.clone(), is_dry_run: false }).await;
        expect_that!(code, eq(ExitStatus::Rejected));
        expect_that!(text, contains_substring("/upsert/services/records/0/2"));
        let (text, code) = run_ok(Action::Read).await;
        expect_that!(code, eq(ExitStatus::Done));
        expect_that!(text, contains_substring(r#""services":{"column_names":"#));
        // A removal at a higher revision is only detected after the call was accepted.
        let removal = File::new("drop", r#"{"remove":{"services":[{"name":"s1","revision":20}]}}"#);
        let (text, code) = run_ok(Action::Apply { path: removal.0.clone(), is_dry_run: false }).await;
        expect_that!((code, text.contains("remove")), eq((ExitStatus::Done, true)));
        let (text, code) = run_ok(Action::Apply { path: next.0.clone(), is_dry_run: false }).await;
        expect_that!(code, eq(ExitStatus::Done));
        expect_that!(text, contains_substring("without effect on s1"));
        // The update is accepted, but every answer is 503.
        let unavailable = TargetOptions {
            control_addresses: vec![control(items.clone(), 9).await],
            ..TargetOptions::default()
        };
        let last = call("30", "3");
        let (text, code) = run(Action::Apply { path: last.0.clone(), is_dry_run: false }, &unavailable, true)
            .await
            .expect("a report");
        expect_that!(code, eq(ExitStatus::Partial));
        expect_that!(text, starts_with(r#"{"partial":true"#));
        expect_that!(text, contains_substring("apply it again unchanged"));
        // No control address is reachable.
        let unreachable = TargetOptions {
            control_addresses: vec![SocketAddrV4::new(Ipv4Addr::new(127, 0, 0, 77), 1)],
            ..TargetOptions::default()
        };
        let error = run(Action::Read, &unreachable, false).await.expect_err("no registry is reachable");
        expect_that!(error.status(), eq(ExitStatus::Partial));
    };
    LocalSet::new().run_until(work).await;
}
