//! The store against the stand-in Redis: what it tells, and what stands in the counts, through each fault.

use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use mountbend::interface::{CountName, Outcome};
use pinerelay_standins::redis::resp::Reply;
use pinerelay_standins::redis::session::{Refusal, User};
use pinerelay_standins::redis::Redis;
use pinerelay_store_redis::server::{Server, Settings};
use pinerelay_store_redis::store::RedisStore;
use tokio::sync::Notify;

const NAME: CountName = CountName(0x2a);
const KEY: &str = "bole:q:2a";
const LIFE: u64 = 60_000_000;
/// A wait that no answer in these tests takes, however busy the machine; and one to be over soon.
const LONG: u64 = 20_000_000;
const SHORT: u64 = 50_000;

/// What the store told, in order.
#[derive(Default)]
struct Told {
    all: RefCell<Vec<(CountName, Outcome, f64)>>,
    more: Notify,
}

struct Node {
    store: Rc<RedisStore>,
    told: Rc<Told>,
}

impl Node {
    fn new(server: Server, wait: u64, seed: u64) -> Node {
        let told = Rc::new(Told::default());
        let tell = {
            let told = told.clone();
            Rc::new(move |name, outcome, total| {
                told.all.borrow_mut().push((name, outcome, total));
                told.more.notify_one();
            })
        };
        Node { store: RedisStore::new(server, wait, seed, tell), told }
    }

    /// Adds, and waits for the outcome.
    async fn add(&self, amount: f64) -> (Outcome, f64) {
        self.store.add(NAME, amount, LIFE);
        self.next().await
    }

    async fn next(&self) -> (Outcome, f64) {
        loop {
            if let Some((_, outcome, total)) = self.told.all.borrow_mut().pop() {
                return (outcome, total);
            }
            self.told.more.notified().await;
        }
    }
}

fn settings(redis: &Redis) -> Settings {
    Settings {
        url: format!("redis://{}", redis.address(0)),
        user: None,
        password_file: None,
        password_env: None,
        prefix: "bole".into(),
        connections: 2,
        resp: 3,
    }
}

fn server(redis: &Redis) -> Server {
    settings(redis).server().expect("a server")
}

async fn open_redis() -> Redis {
    Redis::start(vec![User::open()], 1, 1).await.expect("a stand-in")
}

/// What stands in the count, in units, by a look past the store.
fn stands(redis: &Redis) -> f64 {
    redis.sum(KEY).expect("a hash of whole numbers") as f64 / 1e6
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn nodes_add_to_one_count_in_both_versions_of_the_protocol() {
    run(async {
        let redis = open_redis().await;
        let a = Node::new(server(&redis), LONG, 1);
        let b = Node::new(Settings { resp: 2, ..settings(&redis) }.server().expect("a server"), LONG, 2);
        assert_eq!(a.add(2.5).await, (Outcome::Ok, 2.5));
        assert_eq!(b.add(1.25).await, (Outcome::Ok, 3.75));
        assert_eq!(a.add(-0.5).await, (Outcome::Ok, 3.25));
        assert_eq!(b.add(0.0).await, (Outcome::Ok, 3.25));
        assert_eq!(redis.look(&["HLEN", KEY]), Reply::Number(2), "a field for each node");
        let Reply::Number(left) = redis.look(&["PTTL", KEY]) else { panic!("a life is expected") };
        assert!((1..=60_000).contains(&left), "{left} ms left");
        assert!(a.store.settled() && b.store.settled());
    });
}

#[test]
fn an_answer_that_is_lost_is_asked_for_again_and_counts_once() {
    run(async {
        let redis = open_redis().await;
        let node = Node::new(server(&redis), LONG, 1);
        assert_eq!(node.add(2.0).await, (Outcome::Ok, 2.0));
        // The next answer breaks off in the middle, and the connection with it; those after it are whole.
        let calls = redis.calls();
        redis.feel(|m| m.halves = 1.0);
        node.store.add(NAME, 3.0, LIFE);
        while redis.calls() == calls {
            tokio::task::yield_now().await;
        }
        redis.feel(|m| m.halves = 0.0);
        assert_eq!(node.next().await, (Outcome::Ok, 5.0));
        assert_eq!(stands(&redis), 5.0);
    });
}

#[test]
fn what_is_refused_never_stands_in_the_count() {
    for refusal in [Refusal::Oom, Refusal::ReadOnly, Refusal::Loading, Refusal::Misconf, Refusal::Busy] {
        run(async {
            let redis = open_redis().await;
            let node = Node::new(server(&redis), LONG, 1);
            assert_eq!(node.add(4.0).await, (Outcome::Ok, 4.0));
            redis.feel(|m| m.refusal = Some(refusal));
            assert_eq!(node.add(3.0).await, (Outcome::Rejected, 0.0), "{refusal:?}");
            redis.feel(|m| m.refusal = None);
            assert_eq!(node.add(1.0).await, (Outcome::Ok, 5.0), "{refusal:?}");
            redis.feel(|m| m.refusal = Some(refusal));
            // A give-back can't be said to have failed: the node does not get its units again.
            assert_eq!(node.add(-2.0).await.0, Outcome::TimedOut, "{refusal:?}");
            redis.feel(|m| m.refusal = None);
            assert_eq!(node.add(0.0).await, (Outcome::Ok, 3.0), "{refusal:?}");
        });
    }
}

#[test]
fn a_late_answer_is_told_once_and_its_lease_is_taken_back() {
    run(async {
        let redis = open_redis().await;
        let node = Node::new(server(&redis), SHORT, 1);
        while node.add(4.0).await.0 != Outcome::Ok {
            // A busy machine may need more than the short wait to connect.
        }
        let held = stands(&redis);
        redis.feel(|m| m.late = Duration::from_millis(200));
        assert_eq!(node.add(3.0).await, (Outcome::ConnectFailed, 0.0), "it will not stand there");
        assert_eq!(stands(&redis), held + 3.0, "but does until the node's next call");
        redis.feel(|m| m.late = Duration::ZERO);
        let outcome = loop {
            let (outcome, total) = node.add(1.0).await;
            if outcome == Outcome::Ok {
                break total;
            }
        };
        assert_eq!(outcome, held + 1.0, "each lease that was not told as added is gone");
        assert!(node.told.all.borrow().is_empty(), "nothing is told twice");
    });
}

#[test]
fn what_a_store_lost_comes_back_with_the_nodes_next_call() {
    run(async {
        let redis = open_redis().await;
        let (a, b) = (Node::new(server(&redis), LONG, 1), Node::new(server(&redis), LONG, 2));
        a.add(7.0).await;
        b.add(2.0).await;
        redis.restart();
        assert_eq!(a.add(1.0).await, (Outcome::Ok, 8.0), "its own part at once");
        assert_eq!(b.add(0.0).await, (Outcome::Ok, 10.0), "and the other's with its next call");
        redis.evict(1.0);
        assert_eq!(b.add(1.0).await, (Outcome::Ok, 3.0));
        assert_eq!(a.add(0.0).await, (Outcome::Ok, 11.0));
    });
}

#[test]
fn a_node_that_is_moved_under_load_loses_and_doubles_nothing() {
    run(async {
        let (one, two) = (open_redis().await, open_redis().await);
        let node = Node::new(server(&one), LONG, 1);
        let mut added = 0.0;
        for round in 0..6 {
            // Some calls are out and some wait as the store moves.
            for _ in 0..20 {
                node.store.add(NAME, 0.5, LIFE);
            }
            tokio::task::yield_now().await;
            node.store.move_to(server(if round % 2 == 0 { &two } else { &one }));
            for _ in 0..20 {
                if node.next().await.0 == Outcome::Ok {
                    added += 0.5;
                }
            }
            assert_eq!(node.add(0.0).await, (Outcome::Ok, added), "round {round}");
        }
        assert_eq!(added, 60.0, "none failed on the way");
        assert_eq!(stands(&one), 60.0);
    });
}

#[test]
fn a_wrong_password_lets_nobody_in_and_a_right_one_does() {
    run(async {
        let ledger = User { name: "ledger".into(), password: Some("hunter2".into()), reads_only: false };
        let off = User { name: "default".into(), password: Some("other".into()), reads_only: false };
        let redis = Redis::start(vec![off, ledger], 1, 1).await.expect("a stand-in");
        let file = |text: &str| {
            let path = std::env::temp_dir().join(format!("pinerelay-{}-{text}", std::process::id()));
            std::fs::write(&path, text).expect("a file");
            let with = Settings {
                user: Some("ledger".into()),
                password_file: Some(path.clone()),
                ..settings(&redis)
            };
            let server = with.server().expect("a server");
            std::fs::remove_file(path).expect("gone");
            server
        };
        assert_eq!(Node::new(server(&redis), LONG, 1).add(1.0).await.0, Outcome::ConnectFailed);
        assert_eq!(Node::new(file("hunter3"), LONG, 1).add(1.0).await.0, Outcome::ConnectFailed);
        assert_eq!(Node::new(file("hunter2"), LONG, 1).add(1.0).await, (Outcome::Ok, 1.0));
    });
}

#[test]
fn a_store_that_reads_nothing_or_is_down_is_told_in_time() {
    run(async {
        let redis = open_redis().await;
        let node = Node::new(server(&redis), SHORT, 1);
        while node.add(4.0).await.0 != Outcome::Ok {}
        redis.feel(|m| m.deaf = 1);
        assert_eq!(node.add(1.0).await.0, Outcome::ConnectFailed);
        assert_eq!(node.add(-1.0).await.0, Outcome::TimedOut);
        redis.feel(|m| (m.deaf, m.down) = (0, 1));
        assert_eq!(node.add(1.0).await.0, Outcome::ConnectFailed);
        redis.feel(|m| m.down = 0);
        let total = loop {
            if let (Outcome::Ok, total) = node.add(0.0).await {
                break total;
            }
        };
        assert_eq!(total, 3.0, "the give-back, and no lease that failed");
    });
}
