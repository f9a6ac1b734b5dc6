//! The store against the stand-in Redis: the reported outcomes and the resulting counters under each fault.

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
/// A counter whose calls take the other one of two connections.
const OTHER_NAME: CountName = CountName(0x2b);
const OTHER_KEY: &str = "bole:q:2b";
const LIFETIME: u64 = 60_000_000;
/// A call timeout that no reply in these tests reaches, even on a busy machine, and one that expires soon.
const LONG_TIMEOUT: u64 = 20_000_000;
const SHORT_TIMEOUT: u64 = 50_000;
/// A call timeout that a login without delays does not reach, and that a call which waits for a late one soon does.
const CONNECT_TIMEOUT: u64 = 5_000_000;

/// The outcomes that the store has reported and no test has taken yet.
#[derive(Default)]
struct Outcomes {
    reported: RefCell<Vec<(CountName, Outcome, f64)>>,
    changed: Notify,
}

struct Node {
    store: Rc<RedisStore>,
    outcomes: Rc<Outcomes>,
}

impl Node {
    fn new(server: Server, call_timeout: u64, seed: u64) -> Node {
        let outcomes = Rc::new(Outcomes::default());
        let on_outcome = {
            let outcomes = outcomes.clone();
            Rc::new(move |name, outcome, total| {
                outcomes.reported.borrow_mut().push((name, outcome, total));
                outcomes.changed.notify_one();
            })
        };
        Node { store: RedisStore::new(server, call_timeout, seed, on_outcome), outcomes }
    }

    /// Adds an amount and waits for the outcome.
    async fn add(&self, amount: f64) -> (Outcome, f64) {
        self.store.add(NAME, amount, LIFETIME);
        self.next().await
    }

    async fn next(&self) -> (Outcome, f64) {
        loop {
            if let Some((_, outcome, total)) = self.outcomes.reported.borrow_mut().pop() {
                return (outcome, total);
            }
            self.outcomes.changed.notified().await;
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

/// The counter's total in units, read directly from the stand-in.
fn total_in_redis(redis: &Redis) -> f64 {
    redis.sum(KEY).expect("a hash of whole numbers") as f64 / 1e6
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

#[test]
fn nodes_share_a_counter_over_both_protocol_versions() {
    run(async {
        let redis = open_redis().await;
        let a = Node::new(server(&redis), LONG_TIMEOUT, 1);
        let b =
            Node::new(Settings { resp: 2, ..settings(&redis) }.server().expect("a server"), LONG_TIMEOUT, 2);
        assert_eq!(a.add(2.5).await, (Outcome::Ok, 2.5));
        assert_eq!(b.add(1.25).await, (Outcome::Ok, 3.75));
        assert_eq!(a.add(-0.5).await, (Outcome::Ok, 3.25));
        assert_eq!(b.add(0.0).await, (Outcome::Ok, 3.25));
        assert_eq!(redis.look(&["HLEN", KEY]), Reply::Number(2), "one field per node");
        let Reply::Number(left) = redis.look(&["PTTL", KEY]) else { panic!("a TTL is expected") };
        assert!((1..=60_000).contains(&left), "{left} ms left");
        assert!(a.store.settled() && b.store.settled());
    });
}

#[test]
fn a_call_whose_reply_is_lost_is_retried_and_counted_once() {
    run(async {
        let redis = open_redis().await;
        // The login of a second connection must not be taken for the call.
        let server = Settings { connections: 1, ..settings(&redis) }.server().expect("a server");
        let node = Node::new(server, LONG_TIMEOUT, 1);
        assert_eq!(node.add(2.0).await, (Outcome::Ok, 2.0));
        // The next reply is cut off in the middle and its connection closed; later replies are complete.
        let calls = redis.calls();
        redis.feel(|m| m.halves = 1.0);
        node.store.add(NAME, 3.0, LIFETIME);
        while redis.calls() == calls {
            tokio::task::yield_now().await;
        }
        redis.feel(|m| m.halves = 0.0);
        assert_eq!(node.next().await, (Outcome::Ok, 5.0));
        assert_eq!(total_in_redis(&redis), 5.0);
    });
}

/// The node's next counter may be assigned to another connection. While the server replies late, a login takes two late
/// replies, and a node that stops has no time for them: its lease would not be returned.
#[test]
fn the_first_call_over_another_connection_does_not_wait_for_a_login() {
    run(async {
        let redis = open_redis().await;
        let node = Node::new(server(&redis), CONNECT_TIMEOUT, 1);
        // More round trips than a login takes, on the same thread.
        for _ in 0..100 {
            assert_eq!(node.add(0.0).await, (Outcome::Ok, 0.0));
        }
        redis.feel(|m| m.late = Duration::from_secs(3_600));
        node.store.add(OTHER_NAME, 1.0, LIFETIME);
        while redis.sum(OTHER_KEY).is_none() {
            assert_eq!(*node.outcomes.reported.borrow(), [], "the call was not sent");
            tokio::task::yield_now().await;
        }
        assert_eq!(redis.sum(OTHER_KEY), Some(1_000_000));
    });
}

/// A server that has restarted is connected to again over all connections by the next call.
#[test]
fn a_call_restores_all_connections_that_the_server_has_closed() {
    run(async {
        let redis = open_redis().await;
        let node = Node::new(server(&redis), CONNECT_TIMEOUT, 1);
        assert_eq!(node.add(0.0).await, (Outcome::Ok, 0.0));
        redis.restart();
        for _ in 0..100 {
            assert_eq!(node.add(0.0).await, (Outcome::Ok, 0.0));
        }
        redis.feel(|m| m.late = Duration::from_secs(3_600));
        node.store.add(OTHER_NAME, 1.0, LIFETIME);
        while redis.sum(OTHER_KEY).is_none() {
            assert_eq!(*node.outcomes.reported.borrow(), [], "the call was not sent");
            tokio::task::yield_now().await;
        }
    });
}

#[test]
fn rejected_leases_are_never_counted() {
    for refusal in [Refusal::Oom, Refusal::ReadOnly, Refusal::Loading, Refusal::Misconf, Refusal::Busy] {
        run(async {
            let redis = open_redis().await;
            let node = Node::new(server(&redis), LONG_TIMEOUT, 1);
            assert_eq!(node.add(4.0).await, (Outcome::Ok, 4.0));
            redis.feel(|m| m.refusal = Some(refusal));
            assert_eq!(node.add(3.0).await, (Outcome::Rejected, 0.0), "{refusal:?}");
            redis.feel(|m| m.refusal = None);
            assert_eq!(node.add(1.0).await, (Outcome::Ok, 5.0), "{refusal:?}");
            redis.feel(|m| m.refusal = Some(refusal));
            // A rejected return is not reported as failed, since the node must not use those units again.
            assert_eq!(node.add(-2.0).await.0, Outcome::TimedOut, "{refusal:?}");
            redis.feel(|m| m.refusal = None);
            assert_eq!(node.add(0.0).await, (Outcome::Ok, 3.0), "{refusal:?}");
        });
    }
}

#[test]
fn a_late_reply_is_not_reported_and_its_lease_is_reverted() {
    run(async {
        let redis = open_redis().await;
        let node = Node::new(server(&redis), SHORT_TIMEOUT, 1);
        while node.add(4.0).await.0 != Outcome::Ok {
            // On a busy machine, connecting may take longer than the short timeout.
        }
        let before = total_in_redis(&redis);
        redis.feel(|m| m.late = Duration::from_millis(200));
        assert_eq!(node.add(3.0).await, (Outcome::ConnectFailed, 0.0), "the lease is reverted");
        assert_eq!(
            total_in_redis(&redis),
            before + 3.0,
            "but stays in the counter until the node's next call"
        );
        redis.feel(|m| m.late = Duration::ZERO);
        let total = loop {
            let (outcome, total) = node.add(1.0).await;
            if outcome == Outcome::Ok {
                break total;
            }
        };
        assert_eq!(total, before + 1.0, "no lease is left that was not reported as added");
        assert!(node.outcomes.reported.borrow().is_empty(), "no outcome is reported twice");
    });
}

#[test]
fn lost_data_is_restored_by_each_nodes_next_call() {
    run(async {
        let redis = open_redis().await;
        let (a, b) = (Node::new(server(&redis), LONG_TIMEOUT, 1), Node::new(server(&redis), LONG_TIMEOUT, 2));
        a.add(7.0).await;
        b.add(2.0).await;
        redis.restart();
        assert_eq!(a.add(1.0).await, (Outcome::Ok, 8.0), "this node's share at once");
        assert_eq!(b.add(0.0).await, (Outcome::Ok, 10.0), "the other node's share with its next call");
        redis.evict(1.0);
        assert_eq!(b.add(1.0).await, (Outcome::Ok, 3.0));
        assert_eq!(a.add(0.0).await, (Outcome::Ok, 11.0));
    });
}

#[test]
fn moving_to_another_server_under_load_loses_and_duplicates_nothing() {
    run(async {
        let (one, two) = (open_redis().await, open_redis().await);
        let node = Node::new(server(&one), LONG_TIMEOUT, 1);
        let mut added = 0.0;
        for round in 0..6 {
            // When the store moves, some calls are in flight and some are queued.
            for _ in 0..20 {
                node.store.add(NAME, 0.5, LIFETIME);
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
        assert_eq!(added, 60.0, "no call failed");
        assert_eq!(total_in_redis(&one), 60.0);
    });
}

#[test]
fn only_the_right_password_is_accepted() {
    run(async {
        let ledger = User { name: "ledger".into(), password: Some("hunter2".into()), reads_only: false };
        let default_user = User { name: "default".into(), password: Some("other".into()), reads_only: false };
        let redis = Redis::start(vec![default_user, ledger], 1, 1).await.expect("a stand-in");
        let with_password_file = |text: &str| {
            let path = std::env::temp_dir().join(format!("pinerelay-{}-{text}", std::process::id()));
            std::fs::write(&path, text).expect("a file");
            let with_password = Settings {
                user: Some("ledger".into()),
                password_file: Some(path.clone()),
                ..settings(&redis)
            };
            let server = with_password.server().expect("a server");
            std::fs::remove_file(path).expect("gone");
            server
        };
        assert_eq!(Node::new(server(&redis), LONG_TIMEOUT, 1).add(1.0).await.0, Outcome::ConnectFailed);
        assert_eq!(
            Node::new(with_password_file("hunter3"), LONG_TIMEOUT, 1).add(1.0).await.0,
            Outcome::ConnectFailed
        );
        assert_eq!(
            Node::new(with_password_file("hunter2"), LONG_TIMEOUT, 1).add(1.0).await,
            (Outcome::Ok, 1.0)
        );
    });
}

#[test]
fn an_unresponsive_or_stopped_server_is_reported_in_time() {
    run(async {
        let redis = open_redis().await;
        let node = Node::new(server(&redis), SHORT_TIMEOUT, 1);
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
        assert_eq!(total, 3.0, "the return is counted and the failed leases are not");
    });
}
