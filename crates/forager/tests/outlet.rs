//! Attempts at a server by themselves: what is never written.

mod stage;

use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::rc::{Rc, Weak};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use googletest::prelude::*;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Method, Response, Uri};
use mountbend::interface::{Event, Micros, Outcome, RequestId, ServerId};
use pinerelay_forager::flow::{Fate, Flow, Forward};
use pinerelay_forager::forwarded::{Breach, Forwarded, Frame, Received};
use pinerelay_forager::hosts::Hosts;
use pinerelay_forager::outlet::Outlet;
use pinerelay_forager::request::REQUEST_ID;
use pinerelay_nectar::budget;
use pinerelay_traffic::budget::Budget;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::long::Download;
use pinerelay_traffic::ports::{Core, Ends, Payload, Upstream};
use pinerelay_traffic::room::Room;
use pinerelay_traffic::vigil::Vigil;
use pinerelay_traffic::Common;
use tokio::sync::Notify;

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

impl Ends<Flow> for Heard {
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
    hosts: Rc<Hosts>,
    outlet: Rc<Outlet>,
    heard: Rc<Heard>,
    clock: Rc<Clock>,
    told: Receiver<()>,
}

const SERVER: ServerId = ServerId(7);

impl Play {
    /// One server, and nothing that may be sent to a second.
    fn new() -> Play {
        let (SocketAddr::V4(address), told) = serve() else { panic!("a loopback address") };
        let common = Common { budget: Budget::new(100, 10, 0.5), room: Room::of(64), vigil: Vigil::new() };
        let tries = budget::Bounds { ratio: 0.0, extra: 0.0, ..budget::Bounds::default() };
        let hosts = Hosts::new(common, budget::Budget::new(tries));
        hosts.set(SERVER, "i-7", Some(&stage::server(address)));
        let (heard, clock) = (Rc::<Heard>::default(), Rc::new(Clock::new()));
        let core: Weak<dyn Ends<Flow>> = Rc::downgrade(&(heard.clone() as Rc<dyn Ends<Flow>>));
        let outlet = Outlet::new("s1", hosts.clone(), clock.clone(), core);
        Play { hosts, outlet, heard, clock, told }
    }

    /// Makes one attempt, to be given up so many microseconds from now.
    async fn attempt(&self, forward: Forward, within: i64) -> (Outcome, bool) {
        let stop = self.clock.now().saturating_add_signed(within) as Micros;
        self.outlet.attempt(RequestId("r".into()), 0, SERVER, Rc::new(forward), stop);
        self.heard.ended.notified().await;
        self.heard.outcomes.borrow_mut().pop().expect("an end")
    }
}

fn forward() -> Forward {
    let received = Received {
        method: Method::POST,
        target: Uri::from_static("/once/1"),
        host: HeaderValue::from_static("a.example"),
        id: HeaderValue::from_static("r"),
        tenant: None,
        frame: Frame::Length(4),
        wait: Duration::from_secs(2),
    };
    let headers = HeaderMap::from_iter([(REQUEST_ID, received.id.clone())]);
    Forward {
        request: Forwarded::new(received, headers),
        body: Payload::Whole(Bytes::from_static(b"body")),
        repeatable: false,
        servers: 2,
        fate: Rc::<Fate>::default(),
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
        promised.fate.withdrawn.set(true);
        expect_that!(play.attempt(promised, 1_000_000).await, eq((Outcome::Ignored, false)));
        expect_that!((play.hosts.figures().1, play.told.try_recv().is_err()), eq((0, true)));
        // The connection that was made for it serves the next one.
        expect_that!(play.attempt(forward(), 1_000_000).await, eq((Outcome::Ok, true)));
        expect_that!((play.hosts.figures().0, play.told.try_recv().is_ok()), eq((1, true)));
    });
}

#[gtest]
fn nothing_is_written_once_its_time_is_up() {
    play(async |play| {
        expect_that!(play.attempt(forward(), 1_000_000).await, eq((Outcome::Ok, true)));
        expect_that!(play.told.try_recv().is_ok(), eq(true));
        // A connection is there at once.
        let (outcome, answered) = play.attempt(forward(), -1_000).await;
        expect_that!((outcome, answered), eq((Outcome::Ignored, false)));
        expect_that!((play.hosts.figures().1, play.told.try_recv().is_err()), eq((1, true)));
    });
}

#[gtest]
fn nothing_is_written_of_a_request_that_breaks_the_boundary() {
    play(async |play| {
        let broken = Forward { body: Payload::Whole(Bytes::from_static(b"another")), ..forward() };
        let fate = broken.fate.clone();
        expect_that!(play.attempt(broken, 1_000_000).await, eq((Outcome::Ignored, false)));
        expect_that!(fate.breach.get(), some(eq(Breach::BodyFrame)));
        expect_that!((play.hosts.figures().1, play.told.try_recv().is_err()), eq((0, true)));
        expect_that!(
            play.attempt(forward(), 3_000_000).await,
            eq((Outcome::Ignored, false)),
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
            withdrawn.fate.withdrawn.set(true);
            expect_that!(play.attempt(withdrawn, 1_000_000).await, eq((Outcome::Ignored, false)));
        }
        expect_that!(play.hosts.figures().0, eq(2), "connections opened");
    });
}

#[gtest]
fn an_attempt_that_has_written_nothing_may_always_be_cancelled() {
    play(async |play| {
        let forward = forward();
        expect_that!(play.outlet.goes_on(&forward), eq(true));
        forward.fate.arrived.set(1);
        expect_that!(play.outlet.goes_on(&forward), eq(false));
    });
}
