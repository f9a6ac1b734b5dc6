//! What becomes of an attempt at a silent server that the decisions give up for another one.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use googletest::prelude::*;
use mountbend::control::Controller;
use mountbend::interface::*;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::node::{Node, Peers};
use pinerelay_traffic::ports::{Answer, Core, Ends, MemberSource, QuotaStore, Traffic, Upstream};
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// How long the silent server works before it answers.
const SILENCE: Duration = Duration::from_secs(3);

struct Flow;

impl Traffic for Flow {
    type Forward = Plan;
    type Whole = &'static str;
    type Long = ();

    fn stop(_: &Plan, due: Micros) -> Micros {
        due
    }

    fn tries(_: &Plan) -> Option<usize> {
        None
    }

    fn outlasts_cancel(_: &Plan) -> bool {
        true
    }
}

/// What becomes of the attempts at a request.
#[derive(Clone, Copy, PartialEq)]
enum Plan {
    /// The first is answered at once.
    Quick,
    /// The first is answered after [`SILENCE`], and no connection comes up for others.
    SilentThenNone,
    /// The first is answered after [`SILENCE`], others at once.
    SilentThenQuick,
}

/// Tells that a task has ended.
struct Ended(Rc<Cell<usize>>);

impl Drop for Ended {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

struct Servers {
    core: Weak<dyn Ends<Flow>>,
    attempts: RefCell<Vec<usize>>,
    silent_ended: Rc<Cell<usize>>,
}

impl Upstream<Flow> for Servers {
    fn attempt(&self, id: RequestId, number: usize, _: ServerId, plan: Rc<Plan>, _: Micros) -> AbortHandle {
        if *plan != Plan::Quick {
            self.attempts.borrow_mut().push(number);
        }
        let core = self.core.clone();
        let silent = (*plan != Plan::Quick && number == 0).then(|| Ended(self.silent_ended.clone()));
        let task = tokio::task::spawn_local(async move {
            sleep(Duration::from_millis(5)).await;
            let Some(core) = core.upgrade() else { return };
            if *plan == Plan::SilentThenNone && number > 0 {
                return core.attempt_over(&id, number, Outcome::ConnectFailed, None);
            }
            core.attempt_goes(&id, number);
            let answer = if silent.is_some() { "slow" } else { "quick" };
            if silent.is_some() {
                sleep(SILENCE).await;
            }
            core.attempt_over(&id, number, Outcome::Ok, Some(answer));
        });
        task.abort_handle()
    }

    fn goes_on(&self, _: &Plan) -> bool {
        true
    }

    fn probe(&self, _: ServerId) {}
}

struct Nothing;

impl QuotaStore for Nothing {
    fn add(&self, _: CountName, _: f64, _: Micros) {}

    fn settled(&self) -> bool {
        true
    }
}

impl MemberSource for Nothing {
    fn fetch(&self) {}
}

struct Play {
    node: Rc<Node<Flow>>,
    servers: Rc<Servers>,
}

impl Play {
    fn new() -> Play {
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
            Peers { upstream, store: Rc::new(Nothing), members: Rc::new(Nothing) }
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
        Play { node, servers: servers.expect("made with the node") }
    }

    async fn ask(&self, number: usize, plan: Plan) -> Option<Answer<Flow>> {
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

    /// The fleet answers at once, so that what takes long stands out; then one request meets a silent server.
    async fn after_quick_ones(&self, plan: Plan) -> Option<Answer<Flow>> {
        for number in 0..300 {
            let answer = self.ask(number, Plan::Quick).await;
            assert_that!(matches!(answer, Some(Answer::Served("quick"))), eq(true));
        }
        self.ask(300, plan).await
    }
}

fn play(test: impl AsyncFnOnce(Play)) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async { test(Play::new()).await });
}

#[gtest]
fn with_no_connection_for_another_attempt_the_silent_server_s_answer_counts() {
    play(async |play| {
        let answer = play.after_quick_ones(Plan::SilentThenNone).await;
        expect_that!(play.servers.attempts.borrow().len(), gt(1), "it was given up for another");
        expect_that!(matches!(answer, Some(Answer::Served("slow"))), eq(true));
    });
}

#[gtest]
fn an_attempt_ends_once_another_takes_its_place() {
    play(async |play| {
        let answer = play.after_quick_ones(Plan::SilentThenQuick).await;
        expect_that!(matches!(answer, Some(Answer::Served("quick"))), eq(true));
        expect_that!(play.servers.silent_ended.get(), eq(1));
        expect_that!(*play.servers.attempts.borrow(), elements_are![eq(&0), eq(&1)]);
        expect_that!(play.node.waited_for(), eq(false));
    });
}
