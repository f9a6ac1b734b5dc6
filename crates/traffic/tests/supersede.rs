//! Guards against losing the answer of a silent server that was cancelled for another attempt which then gets
//! no connection, and against leaving the cancelled attempt running once it is replaced.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use googletest::prelude::*;
use mountbend::control::Controller;
use mountbend::interface::*;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::node::{Node, Peers};
use pinerelay_traffic::ports::{Answer, AttemptEvents, Core, MemberSource, QuotaStore, Traffic, Upstream};
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// How long the silent server takes to answer.
const SILENCE: Duration = Duration::from_secs(3);

struct TestTraffic;

impl Traffic for TestTraffic {
    type Forward = Plan;
    type Buffered = &'static str;
    type Streamed = ();

    fn stop(_: &Plan, due: Micros) -> Micros {
        due
    }

    fn attempt_limit(_: &Plan) -> Option<usize> {
        None
    }

    fn continues_when_cancelled(_: &Plan) -> bool {
        true
    }
}

/// How the attempts at a request go.
#[derive(Clone, Copy, PartialEq)]
enum Plan {
    /// The first attempt is answered at once.
    Quick,
    /// The first attempt is answered after [`SILENCE`]; the others get no connection.
    SilentThenNone,
    /// The first attempt is answered after [`SILENCE`], the others at once.
    SilentThenQuick,
}

/// Counts the end of a task when dropped.
struct EndCounter(Rc<Cell<usize>>);

impl Drop for EndCounter {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

struct Servers {
    core: Weak<dyn AttemptEvents<TestTraffic>>,
    attempts: RefCell<Vec<usize>>,
    silent_ended: Rc<Cell<usize>>,
}

impl Upstream<TestTraffic> for Servers {
    fn attempt(&self, id: RequestId, number: usize, _: ServerId, plan: Rc<Plan>, _: Micros) -> AbortHandle {
        if *plan != Plan::Quick {
            self.attempts.borrow_mut().push(number);
        }
        let core = self.core.clone();
        let silent = (*plan != Plan::Quick && number == 0).then(|| EndCounter(self.silent_ended.clone()));
        let task = tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(5)).await;
            let Some(core) = core.upgrade() else { return };
            if *plan == Plan::SilentThenNone && number > 0 {
                return core.attempt_ended(&id, number, Outcome::ConnectFailed, None);
            }
            core.attempt_about_to_write(&id, number);
            let answer = if silent.is_some() { "slow" } else { "quick" };
            if silent.is_some() {
                sleep(SILENCE).await;
            }
            core.attempt_ended(&id, number, Outcome::Ok, Some(answer));
        });
        task.abort_handle()
    }

    fn would_retry(&self, _: &Plan) -> bool {
        true
    }

    fn probe(&self, _: ServerId) {}
}

struct NoPeer;

impl QuotaStore for NoPeer {
    fn add(&self, _: CountName, _: f64, _: Micros) {}

    fn settled(&self) -> bool {
        true
    }
}

impl MemberSource for NoPeer {
    fn fetch(&self) {}
}

struct Fixture {
    node: Rc<Node<TestTraffic>>,
    servers: Rc<Servers>,
}

impl Fixture {
    fn new() -> Fixture {
        let settings = Settings {
            nodes: 1,
            limits: Limits { cancel: true, try_limit: 3, ..Limits::default() },
            ..Settings::default()
        };
        let clock = Rc::new(Clock::new());
        let mut servers = None;
        let node = Node::new(Controller::new(1, settings), 3, clock, |core| {
            let upstream =
                Rc::new(Servers { core, attempts: RefCell::default(), silent_ended: Rc::default() });
            servers = Some(upstream.clone());
            Peers { upstream, store: Rc::new(NoPeer), members: Rc::new(NoPeer) }
        });
        let class = Class {
            on_time: 1_000_000,
            deadline: 10_000_000,
            effect: Effect::Safe,
            credit: 1.0,
            ..Class::default()
        };
        node.retune(vec![class], 3);
        let member = |n| Member { server: ServerId(n), weight: 4.0, ..Member::default() };
        node.event(Event::Members { kind: ListKind::Complete, entries: (1..4).map(member).collect() });
        Fixture { node, servers: servers.expect("created with the node") }
    }

    async fn send_request(&self, number: usize, plan: Plan) -> Option<Answer<TestTraffic>> {
        let id = RequestId(format!("{number}").into());
        let request = NewRequest {
            id,
            customer: CustomerId(0),
            class: 0,
            plan: 0,
            units: 1.0,
            first_node: 0,
            spread: 1,
            marked_retry: false,
            due: self.node.clock.now() + 8_000_000,
        };
        let answer = self.node.take(request, plan).ok()?;
        answer.await.ok()
    }

    /// All servers answer at once, so that a long answer time stands out; then one request meets a silent
    /// server.
    async fn after_quick_ones(&self, plan: Plan) -> Option<Answer<TestTraffic>> {
        for number in 0..300 {
            let answer = self.send_request(number, Plan::Quick).await;
            assert_that!(matches!(answer, Some(Answer::Served("quick"))), eq(true));
        }
        self.send_request(300, plan).await
    }
}

fn run_with_fixture(test: impl AsyncFnOnce(Fixture)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async { test(Fixture::new()).await });
}

#[gtest]
fn without_a_connection_for_another_attempt_the_silent_server_s_answer_counts() {
    run_with_fixture(async |fixture| {
        let answer = fixture.after_quick_ones(Plan::SilentThenNone).await;
        expect_that!(fixture.servers.attempts.borrow().len(), gt(1), "it was given up for another");
        expect_that!(matches!(answer, Some(Answer::Served("slow"))), eq(true));
    });
}

#[gtest]
fn a_cancelled_attempt_is_aborted_once_another_is_written() {
    run_with_fixture(async |fixture| {
        let answer = fixture.after_quick_ones(Plan::SilentThenQuick).await;
        expect_that!(matches!(answer, Some(Answer::Served("quick"))), eq(true));
        expect_that!(fixture.servers.silent_ended.get(), eq(1));
        expect_that!(*fixture.servers.attempts.borrow(), elements_are![eq(&0), eq(&1)]);
        expect_that!(fixture.node.has_waiting_clients(), eq(false));
    });
}
