//! Tests of single attempts: when nothing may be written to the server.

mod harness;
mod recorder;

use std::cell::RefCell;
use std::convert::Infallible;
use std::future::pending;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::{Rc, Weak};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use mountbend::interface::{Event, Micros, Outcome, RequestId, ServerId};
use pinerelay_admission::retry_budget::{RetryBounds, RetryBudget};
use pinerelay_proxy::forwarded_request::{
    BodyFraming, ForwardedRequest, ForwardingViolation, ReceivedRequest,
};
use pinerelay_proxy::proxied_request::{ProxiedRequest, ProxyTraffic, RequestState};
use pinerelay_proxy::request_head::REQUEST_ID;
use pinerelay_proxy::server_pool::ServerPool;
use pinerelay_proxy::upstream::UpstreamConnector;
use pinerelay_proxy::versions::{ObservedRoute, ServiceVersions};
use pinerelay_traffic::body_memory::BodyMemoryPool;
use pinerelay_traffic::budget::Budget;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::ports::{AttemptEvents, Core, Payload, Upstream};
use pinerelay_traffic::streamed_body::{Download, Upload};
use pinerelay_traffic::watchdog::Watchdog;
use pinerelay_traffic::Common;
use recorder::{header, Recorder, ResponseTiming};
use tokio::io::AsyncWriteExt;
use tokio::sync::{oneshot, Notify};

/// Records the outcomes of attempts.
#[derive(Default)]
struct OutcomeRecorder {
    outcomes: RefCell<Vec<(Outcome, bool)>>,
    ended: Notify,
}

impl Core for OutcomeRecorder {
    fn event(&self, _: Event) {}

    fn upload_progressed(&self, _: &RequestId, _: usize, _: bool) {}

    fn avoids(&self, _: ServerId) -> bool {
        false
    }
}

impl AttemptEvents<ProxyTraffic> for OutcomeRecorder {
    fn attempt_ended(&self, _: &RequestId, _: usize, outcome: Outcome, answer: Option<Response<Bytes>>) {
        self.outcomes.borrow_mut().push((outcome, answer.is_some()));
        self.ended.notify_one();
    }

    fn answer_started(&self, _: &RequestId, _: usize, _: (Parts, Download)) -> bool {
        false
    }
}

/// Starts a server that responds to all requests, and reports each read on a channel.
fn start_server() -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (read_sender, requests_read) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let read_sender = read_sender.clone();
            thread::spawn(move || {
                let mut buffer = [0_u8; 4096];
                while let Ok(1..) = stream.read(&mut buffer) {
                    let _ = read_sender.send(());
                    let answer =
                        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nX-Request-Id: r\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n";
                    let _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    (address, requests_read)
}

struct TestUpstream {
    servers: Rc<ServerPool>,
    connector: Rc<UpstreamConnector>,
    outcome_recorder: Rc<OutcomeRecorder>,
    clock: Rc<Clock>,
    requests_read: Receiver<()>,
}

const SERVER: ServerId = ServerId(7);

impl TestUpstream {
    /// One server, and a retry budget that allows no second attempt.
    fn new() -> TestUpstream {
        let (address, requests_read) = start_server();
        TestUpstream::at(address, requests_read)
    }

    /// The same with a server at this address.
    fn at(address: SocketAddr, requests_read: Receiver<()>) -> TestUpstream {
        let SocketAddr::V4(address) = address else { panic!("a loopback address") };
        let common = Common {
            budget: Budget::new(100, 10, 0.5),
            body_memory: BodyMemoryPool::for_process(64),
            watchdog: Watchdog::new(),
        };
        let retry_bounds = RetryBounds { ratio: 0.0, extra: 0.0, ..RetryBounds::default() };
        let servers = ServerPool::new(common, RetryBudget::new(retry_bounds));
        servers.set_server(SERVER, "i-7", Some(&harness::server(address)));
        let (outcome_recorder, clock) = (Rc::<OutcomeRecorder>::default(), Rc::new(Clock::new()));
        let core: Weak<dyn AttemptEvents<ProxyTraffic>> =
            Rc::downgrade(&(outcome_recorder.clone() as Rc<dyn AttemptEvents<ProxyTraffic>>));
        let connector = UpstreamConnector::new(
            "s1",
            "v1",
            ServiceVersions::new(clock.clone()),
            servers.clone(),
            clock.clone(),
            core,
        );
        TestUpstream { servers, connector, outcome_recorder, clock, requests_read }
    }

    /// Makes one attempt, which is aborted `within` microseconds from now.
    async fn attempt(&self, forward: ProxiedRequest, within: i64) -> (Outcome, bool) {
        let abort_at = self.clock.now().saturating_add_signed(within) as Micros;
        self.connector.attempt(RequestId("r".into()), 0, SERVER, Rc::new(forward), abort_at);
        self.outcome_recorder.ended.notified().await;
        self.outcome_recorder.outcomes.borrow_mut().pop().expect("an end")
    }
}

fn received() -> ReceivedRequest {
    ReceivedRequest {
        method: Method::POST,
        target: Uri::from_static("/once/1"),
        host: HeaderValue::from_static("a.example"),
        id: HeaderValue::from_static("r"),
        tenant: None,
        framing: BodyFraming::Length(4),
        time_limit: Duration::from_secs(2),
    }
}

fn forward() -> ProxiedRequest {
    forward_received(received())
}

fn forward_received(received: ReceivedRequest) -> ProxiedRequest {
    let headers = HeaderMap::from_iter([(REQUEST_ID, received.id.clone())]);
    ProxiedRequest {
        request: ForwardedRequest::new(received, headers),
        body: Payload::Buffered(Bytes::from_static(b"body")),
        route: ObservedRoute { route: 1, target_class: 9 },
        is_idempotent: false,
        max_attempts: 2,
        state: Rc::<RequestState>::default(),
    }
}

fn run_test(test: impl AsyncFnOnce(TestUpstream)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async { test(TestUpstream::new()).await });
}

#[gtest]
fn a_withdrawn_request_is_not_written() {
    run_test(async |upstream| {
        let withdrawn_request = forward();
        withdrawn_request.state.is_withdrawn.set(true);
        expect_that!(upstream.attempt(withdrawn_request, 1_000_000).await, eq((Outcome::NotSent, false)));
        expect_that!(
            (upstream.servers.counts().sent, upstream.requests_read.try_recv().is_err()),
            eq((0, true))
        );
        // The connection that was opened for it is reused by the next attempt.
        expect_that!(upstream.attempt(forward(), 1_000_000).await, eq((Outcome::Ok, true)));
        expect_that!(
            (upstream.servers.counts().opened, upstream.requests_read.try_recv().is_ok()),
            eq((1, true))
        );
    });
}

#[gtest]
fn a_request_past_its_deadline_is_not_written() {
    run_test(async |upstream| {
        expect_that!(upstream.attempt(forward(), 1_000_000).await, eq((Outcome::Ok, true)));
        expect_that!(upstream.requests_read.try_recv().is_ok(), eq(true));
        // An idle connection is available.
        let (outcome, answered) = upstream.attempt(forward(), -1_000).await;
        expect_that!((outcome, answered), eq((Outcome::NotSent, false)));
        expect_that!(
            (upstream.servers.counts().sent, upstream.requests_read.try_recv().is_err()),
            eq((1, true))
        );
    });
}

#[gtest]
fn a_request_that_violates_a_forwarding_invariant_is_not_written() {
    run_test(async |upstream| {
        let invalid = ProxiedRequest { body: Payload::Buffered(Bytes::from_static(b"another")), ..forward() };
        let state = invalid.state.clone();
        expect_that!(upstream.attempt(invalid, 1_000_000).await, eq((Outcome::NotSent, false)));
        expect_that!(state.violation.get(), some(eq(ForwardingViolation::BodyFraming)));
        expect_that!(
            (upstream.servers.counts().sent, upstream.requests_read.try_recv().is_err()),
            eq((0, true))
        );
        expect_that!(
            upstream.attempt(forward(), 3_000_000).await,
            eq((Outcome::NotSent, false)),
            "a deadline later than the client's"
        );
        expect_that!(upstream.attempt(forward(), 1_000_000).await, eq((Outcome::Ok, true)));
    });
}

#[gtest]
fn an_unused_connection_keeps_its_idle_time() {
    run_test(async |upstream| {
        expect_that!(upstream.attempt(forward(), 1_000_000).await, eq((Outcome::Ok, true)));
        let begun = Instant::now();
        // The server keeps idle connections for 1 s, of which the pool uses 80 %. Returning an unused connection must not restart its
        // idle time.
        while begun.elapsed() < Duration::from_millis(900) {
            let withdrawn = forward();
            withdrawn.state.is_withdrawn.set(true);
            expect_that!(upstream.attempt(withdrawn, 1_000_000).await, eq((Outcome::NotSent, false)));
        }
        expect_that!(upstream.servers.counts().opened, eq(2), "connections opened");
    });
}

#[gtest]
fn an_attempt_that_has_written_nothing_may_be_replaced_without_budget() {
    run_test(async |upstream| {
        let forward = forward();
        expect_that!(upstream.connector.would_retry(&forward), eq(true));
        forward.state.sent.set(1);
        expect_that!(upstream.connector.would_retry(&forward), eq(false));
    });
}

/// Parses a request from these bytes; returns its body.
async fn body_of(request: String) -> Incoming {
    let (mut client, server) = tokio::io::duplex(request.len());
    client.write_all(request.as_bytes()).await.expect("written");
    let (body_sender, body) = oneshot::channel();
    let body_sender = RefCell::new(Some(body_sender));
    tokio::task::spawn_local(async move {
        let service = service_fn(|request: Request<Incoming>| {
            let body_sender = body_sender.take();
            async move {
                let _ = body_sender.map(|body_sender| body_sender.send(request.into_body()));
                // The body can be read only while its request has no response.
                pending::<std::result::Result<Response<Full<Bytes>>, Infallible>>().await
            }
        });
        let _ = http1::Builder::new().serve_connection(TokioIo::new(server), service).await;
        drop(client);
    });
    body.await.expect("a body")
}

/// A request with a long body.
fn forward_long(upload: &Rc<Upload>, length: u64) -> ProxiedRequest {
    let received = ReceivedRequest { framing: BodyFraming::Length(length), ..received() };
    ProxiedRequest { body: Payload::Streamed(upload.clone()), ..forward_received(received) }
}

#[gtest]
fn an_unwritten_long_body_is_returned_completely_and_sent_once() {
    const LENGTH: usize = 100_000;
    let server = Recorder::new(|head| {
        (
            ResponseTiming::AfterRequest,
            harness::answer(header(head, "x-request-id").unwrap_or_default(), "hello"),
        )
    });
    let address = server.address;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let upstream = TestUpstream::at(address, channel().1);
        let body: String = (0..LENGTH).map(|n| char::from(b'a' + (n % 23) as u8)).collect();
        let request = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {LENGTH}\r\n\r\n{body}");
        let (wait, grace) = (Duration::from_secs(2), Duration::from_secs(3));
        let now = tokio::time::Instant::now();
        let rest = body_of(request).await;
        let upload = Upload::new(Bytes::new(), rest, None, wait, now, grace);
        // Neither a withdrawn request nor one that fails a check consumes any of the body.
        let withdrawn = forward_long(&upload, LENGTH as u64);
        withdrawn.state.is_withdrawn.set(true);
        expect_that!(upstream.attempt(withdrawn, 1_000_000).await, eq((Outcome::NotSent, false)));
        let other_length = forward_long(&upload, 1 + LENGTH as u64);
        expect_that!(upstream.attempt(other_length, 1_000_000).await, eq((Outcome::NotSent, false)));
        expect_that!((upstream.servers.counts().sent, server.connections().concat().len()), eq((0, 0)));
        expect_that!(
            upstream.attempt(forward_long(&upload, LENGTH as u64), 2_000_000).await,
            eq((Outcome::Ok, true))
        );
        expect_that!(server.connections().concat(), ends_with(format!("\r\n\r\n{body}")));
        // A body that was sent is not available for another attempt.
        let repeated = forward_long(&upload, LENGTH as u64);
        expect_that!(upstream.attempt(repeated, 1_000_000).await, eq((Outcome::NotSent, false)));
        expect_that!(upstream.servers.counts().sent, eq(1));
        expect_that!(server.requests().iter().sum::<usize>(), eq(1));
    });
}
