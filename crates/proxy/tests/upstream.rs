//! Attempts at a server by themselves: what is never written.

mod recorder;
mod stage;

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
use pinerelay_traffic::budget::Budget;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::long::{Download, Upload};
use pinerelay_traffic::ports::{Core, Ends, Payload, Upstream};
use pinerelay_traffic::room::Room;
use pinerelay_traffic::vigil::Vigil;
use pinerelay_traffic::Common;
use recorder::{header, Recorder, When};
use tokio::io::AsyncWriteExt;
use tokio::sync::{oneshot, Notify};

/// Hears how attempts end.
#[derive(Default)]
struct Heard {
    outcomes: RefCell<Vec<(Outcome, bool)>>,
    ended: Notify,
}

impl Core for Heard {
    fn event(&self, _: Event) {}

    fn upload_goes(&self, _: &RequestId, _: usize, _: bool) {}

    fn avoids(&self, _: ServerId) -> bool {
        false
    }
}

impl Ends<ProxyTraffic> for Heard {
    fn attempt_over(&self, _: &RequestId, _: usize, outcome: Outcome, answer: Option<Response<Bytes>>) {
        self.outcomes.borrow_mut().push((outcome, answer.is_some()));
        self.ended.notify_one();
    }

    fn answer_begins(&self, _: &RequestId, _: usize, _: (Parts, Download)) -> bool {
        false
    }
}

/// A server that answers all, and tells of each request.
fn serve() -> (SocketAddr, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (tell, told) = channel();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let tell = tell.clone();
            thread::spawn(move || {
                let mut buffer = [0_u8; 4096];
                while let Ok(1..) = stream.read(&mut buffer) {
                    let _ = tell.send(());
                    let answer =
                        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nX-Request-Id: r\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n\r\n";
                    let _ = stream.write_all(answer.as_bytes());
                }
            });
        }
    });
    (address, told)
}

struct Play {
    servers: Rc<ServerPool>,
    connector: Rc<UpstreamConnector>,
    heard: Rc<Heard>,
    clock: Rc<Clock>,
    told: Receiver<()>,
}

const SERVER: ServerId = ServerId(7);

impl Play {
    /// One server, and nothing that may be sent to a second.
    fn new() -> Play {
        let (address, told) = serve();
        Play::at(address, told)
    }

    /// One server at this address.
    fn at(address: SocketAddr, told: Receiver<()>) -> Play {
        let SocketAddr::V4(address) = address else { panic!("a loopback address") };
        let common = Common { budget: Budget::new(100, 10, 0.5), room: Room::of(64), vigil: Vigil::new() };
        let retries = RetryBounds { ratio: 0.0, extra: 0.0, ..RetryBounds::default() };
        let servers = ServerPool::new(common, RetryBudget::new(retries));
        servers.set(SERVER, "i-7", Some(&stage::server(address)));
        let (heard, clock) = (Rc::<Heard>::default(), Rc::new(Clock::new()));
        let core: Weak<dyn Ends<ProxyTraffic>> =
            Rc::downgrade(&(heard.clone() as Rc<dyn Ends<ProxyTraffic>>));
        let connector = UpstreamConnector::new(
            "s1",
            "v1",
            ServiceVersions::new(clock.clone()),
            servers.clone(),
            clock.clone(),
            core,
        );
        Play { servers, connector, heard, clock, told }
    }

    /// Makes one attempt, to be given up so many microseconds from now.
    async fn attempt(&self, forward: ProxiedRequest, within: i64) -> (Outcome, bool) {
        let stop = self.clock.now().saturating_add_signed(within) as Micros;
        self.connector.attempt(RequestId("r".into()), 0, SERVER, Rc::new(forward), stop);
        self.heard.ended.notified().await;
        self.heard.outcomes.borrow_mut().pop().expect("an end")
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
        body: Payload::Whole(Bytes::from_static(b"body")),
        route: ObservedRoute { route: 1, target_class: 9 },
        is_idempotent: false,
        max_attempts: 2,
        state: Rc::<RequestState>::default(),
    }
}

fn play(test: impl AsyncFnOnce(Play)) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async { test(Play::new()).await });
}

#[gtest]
fn nothing_is_written_of_a_request_that_its_client_was_promised_never_runs() {
    play(async |play| {
        let promised = forward();
        promised.state.is_withdrawn.set(true);
        expect_that!(play.attempt(promised, 1_000_000).await, eq((Outcome::NotSent, false)));
        expect_that!((play.servers.counts().sent, play.told.try_recv().is_err()), eq((0, true)));
        // The connection that was made for it serves the next one.
        expect_that!(play.attempt(forward(), 1_000_000).await, eq((Outcome::Ok, true)));
        expect_that!((play.servers.counts().opened, play.told.try_recv().is_ok()), eq((1, true)));
    });
}

#[gtest]
fn nothing_is_written_once_its_time_is_up() {
    play(async |play| {
        expect_that!(play.attempt(forward(), 1_000_000).await, eq((Outcome::Ok, true)));
        expect_that!(play.told.try_recv().is_ok(), eq(true));
        // A connection is there at once.
        let (outcome, answered) = play.attempt(forward(), -1_000).await;
        expect_that!((outcome, answered), eq((Outcome::NotSent, false)));
        expect_that!((play.servers.counts().sent, play.told.try_recv().is_err()), eq((1, true)));
    });
}

#[gtest]
fn nothing_is_written_of_a_request_that_breaks_the_boundary() {
    play(async |play| {
        let broken = ProxiedRequest { body: Payload::Whole(Bytes::from_static(b"another")), ..forward() };
        let state = broken.state.clone();
        expect_that!(play.attempt(broken, 1_000_000).await, eq((Outcome::NotSent, false)));
        expect_that!(state.violation.get(), some(eq(ForwardingViolation::BodyFraming)));
        expect_that!((play.servers.counts().sent, play.told.try_recv().is_err()), eq((0, true)));
        expect_that!(
            play.attempt(forward(), 3_000_000).await,
            eq((Outcome::NotSent, false)),
            "more time than it has"
        );
        expect_that!(play.attempt(forward(), 1_000_000).await, eq((Outcome::Ok, true)));
    });
}

#[gtest]
fn a_connection_that_was_taken_and_not_used_has_stood_idle_all_the_while() {
    play(async |play| {
        expect_that!(play.attempt(forward(), 1_000_000).await, eq((Outcome::Ok, true)));
        let begun = Instant::now();
        // Its server keeps it for a second, of which four fifths are made use of.
        while begun.elapsed() < Duration::from_millis(900) {
            let withdrawn = forward();
            withdrawn.state.is_withdrawn.set(true);
            expect_that!(play.attempt(withdrawn, 1_000_000).await, eq((Outcome::NotSent, false)));
        }
        expect_that!(play.servers.counts().opened, eq(2), "connections opened");
    });
}

#[gtest]
fn an_attempt_that_has_written_nothing_may_always_be_cancelled() {
    play(async |play| {
        let forward = forward();
        expect_that!(play.connector.goes_on(&forward), eq(true));
        forward.state.sent.set(1);
        expect_that!(play.connector.goes_on(&forward), eq(false));
    });
}

/// Takes one request of a client that sends these bytes, and gives its body.
async fn body_of(request: String) -> Incoming {
    let (mut client, server) = tokio::io::duplex(request.len());
    client.write_all(request.as_bytes()).await.expect("written");
    let (give, body) = oneshot::channel();
    let give = RefCell::new(Some(give));
    tokio::task::spawn_local(async move {
        let service = service_fn(|request: Request<Incoming>| {
            let give = give.take();
            async move {
                let _ = give.map(|give| give.send(request.into_body()));
                // The body is read for as long as its request has no answer.
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
    ProxiedRequest { body: Payload::Long(upload.clone()), ..forward_received(received) }
}

#[gtest]
fn a_long_body_of_which_nothing_was_written_is_given_back_whole_and_sent_once() {
    const LENGTH: usize = 100_000;
    let server = Recorder::new(|head| {
        (When::Whole, stage::answer(header(head, "x-request-id").unwrap_or_default(), "hello"))
    });
    let address = server.address;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let play = Play::at(address, channel().1);
        let body: String = (0..LENGTH).map(|n| char::from(b'a' + (n % 23) as u8)).collect();
        let request = format!("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: {LENGTH}\r\n\r\n{body}");
        let (wait, grace) = (Duration::from_secs(2), Duration::from_secs(3));
        let now = tokio::time::Instant::now();
        let rest = body_of(request).await;
        let upload = Upload::new(Bytes::new(), rest, None, wait, now, grace);
        // Neither a withdrawn request nor one that fails a check takes anything of the body.
        let withdrawn = forward_long(&upload, LENGTH as u64);
        withdrawn.state.is_withdrawn.set(true);
        expect_that!(play.attempt(withdrawn, 1_000_000).await, eq((Outcome::NotSent, false)));
        let other_length = forward_long(&upload, 1 + LENGTH as u64);
        expect_that!(play.attempt(other_length, 1_000_000).await, eq((Outcome::NotSent, false)));
        expect_that!((play.servers.counts().sent, server.connections().concat().len()), eq((0, 0)));
        expect_that!(
            play.attempt(forward_long(&upload, LENGTH as u64), 2_000_000).await,
            eq((Outcome::Ok, true))
        );
        expect_that!(server.connections().concat(), ends_with(format!("\r\n\r\n{body}")));
        // What has been sent is not there for another attempt.
        let again = forward_long(&upload, LENGTH as u64);
        expect_that!(play.attempt(again, 1_000_000).await, eq((Outcome::NotSent, false)));
        expect_that!(play.servers.counts().sent, eq(1));
        expect_that!(server.requests().iter().sum::<usize>(), eq(1));
    });
}
