//! The stand-in Redis, as the client library `redis` finds it: an unmodified client can't tell, until it is told to
//! fail.

use std::time::Duration;

use pinerelay_standins::lots::Lots;
use pinerelay_standins::redis::resp::Reply;
use pinerelay_standins::redis::session::{Refusal, User};
use pinerelay_standins::redis::store::Store;
use pinerelay_standins::redis::Redis;
use redis::aio::MultiplexedConnection;
use redis::{cmd, pipe, AsyncConnectionConfig, Client, RedisResult};

async fn server() -> Redis {
    Redis::start(vec![User::open()], 1, 2).await.expect("a server")
}

async fn to(server: &Redis, rest: &str) -> RedisResult<MultiplexedConnection> {
    let patience = AsyncConnectionConfig::new().set_response_timeout(Some(Duration::from_secs(20)));
    let client = Client::open(format!("redis://{}/{rest}", server.address(0)))?;
    client.get_multiplexed_async_connection_with_config(&patience).await
}

fn code<T: std::fmt::Debug>(result: RedisResult<T>) -> String {
    result.expect_err("an error").code().unwrap_or("none").to_string()
}

#[tokio::test]
async fn strings_numbers_and_lives_in_either_protocol() {
    for rest in ["", "?protocol=resp3"] {
        let server = server().await;
        let mut c = to(&server, rest).await.expect("a connection");
        let set: String = cmd("SET").arg("a").arg("x").query_async(&mut c).await.expect("set");
        assert_eq!(set, "OK");
        let got: Option<String> = cmd("GET").arg("a").query_async(&mut c).await.expect("get");
        assert_eq!(got.as_deref(), Some("x"));
        let none: Option<String> = cmd("GET").arg("no").query_async(&mut c).await.expect("get");
        assert_eq!(none, None);
        let not: Option<String> =
            cmd("SET").arg("a").arg("y").arg("NX").query_async(&mut c).await.expect("set");
        assert_eq!(not, None);
        let sum: f64 = cmd("INCRBYFLOAT").arg("f").arg("0.1").query_async(&mut c).await.expect("a sum");
        assert_eq!(sum, 0.1);
        let sum: String = cmd("INCRBYFLOAT").arg("f").arg("0.2").query_async(&mut c).await.expect("a sum");
        assert_eq!(sum, "0.3");
        let sum: i64 = cmd("INCRBY").arg("n").arg(-7).query_async(&mut c).await.expect("a sum");
        assert_eq!(sum, -7);
        // An expiry is set where there is none, and then left alone.
        for (span, set) in [(60_000, 1), (1, 0)] {
            let set_now: i64 =
                cmd("PEXPIRE").arg("n").arg(span).arg("NX").query_async(&mut c).await.expect("an expiry");
            assert_eq!(set_now, set);
        }
        let left: i64 = cmd("PTTL").arg("n").query_async(&mut c).await.expect("a span");
        assert!((1..=60_000).contains(&left), "{left}");
        server.jump(Duration::from_secs(60));
        let left: i64 = cmd("PTTL").arg("n").query_async(&mut c).await.expect("a span");
        assert_eq!(left, -2);
        assert_eq!(code(cmd("INCR").arg("a").query_async::<i64>(&mut c).await), "ERR");
        assert_eq!(code(cmd("HGET").arg("a").arg("f").query_async::<String>(&mut c).await), "WRONGTYPE");
        assert_eq!(code(cmd("NOSUCH").query_async::<String>(&mut c).await), "ERR");
        assert_eq!(code(cmd("GET").query_async::<String>(&mut c).await), "ERR");
    }
}

#[tokio::test]
async fn hashes_transactions_and_databases() {
    let server = server().await;
    let mut c = to(&server, "").await.expect("a connection");
    let (new, kept, values): (i64, i64, Vec<f64>) = pipe()
        .atomic()
        .cmd("HSET")
        .arg("h")
        .arg("n0")
        .arg("2.5")
        .arg("n1")
        .arg("-1")
        .cmd("PEXPIRE")
        .arg("h")
        .arg(9_000)
        .arg("NX")
        .cmd("HVALS")
        .arg("h")
        .query_async(&mut c)
        .await
        .expect("a transaction");
    assert_eq!((new, kept, values), (2, 1, vec![2.5, -1.0]));
    let all: std::collections::BTreeMap<String, f64> =
        cmd("HGETALL").arg("h").query_async(&mut c).await.expect("all");
    assert_eq!(all.into_iter().collect::<Vec<_>>(), [("n0".to_string(), 2.5), ("n1".to_string(), -1.0)]);
    // A command that can't be right calls the transaction off; one that goes wrong does not.
    let failed = pipe().atomic().cmd("SET").arg("t").arg("1").cmd("NOSUCH").query_async::<()>(&mut c).await;
    assert_eq!(code(failed), "EXECABORT");
    assert_eq!(server.look(&["EXISTS", "t"]), Reply::Number(0));
    let failed =
        pipe().atomic().cmd("SET").arg("t").arg("x").cmd("INCR").arg("t").query_async::<()>(&mut c).await;
    assert!(failed.is_err());
    assert_eq!(server.look(&["GET", "t"]), Reply::text("x"));
    // What was watched and has changed calls it off too.
    let mut other = to(&server, "").await.expect("a connection");
    let mut watcher = to(&server, "").await.expect("a connection");
    let _: () = cmd("WATCH").arg("w").query_async(&mut watcher).await.expect("a watch");
    let _: () = cmd("SET").arg("w").arg("1").query_async(&mut other).await.expect("set");
    let off: Option<Vec<String>> =
        pipe().atomic().cmd("SET").arg("w").arg("2").query_async(&mut watcher).await.expect("no error");
    assert_eq!(off, None);
    assert_eq!(server.look(&["GET", "w"]), Reply::text("1"));
    let mut third = to(&server, "3").await.expect("a connection");
    let none: Option<String> = cmd("GET").arg("w").query_async(&mut third).await.expect("get");
    assert_eq!(none, None, "another database");
}

#[tokio::test]
async fn who_may_do_what() {
    let user = |name: &str, password: &str, reads_only| User {
        name: name.into(),
        password: Some(password.into()),
        reads_only,
    };
    let users = vec![user("default", "secret", false), user("looker", "look", true)];
    let server = Redis::start(users, 1, 1).await.expect("a server");
    for rest in ["", "?protocol=resp3"] {
        let client = Client::open(format!("redis://{}/{rest}", server.address(0))).expect("an address");
        let said = match client.get_multiplexed_async_connection().await {
            Ok(mut c) => code(cmd("GET").arg("a").query_async::<String>(&mut c).await),
            Err(error) => error.code().unwrap_or("none").to_string(),
        };
        assert_eq!(said, "NOAUTH", "{rest}");
        let open = |words: &str| Client::open(format!("redis://{words}@{}/{rest}", server.address(0)));
        let wrong = open("looker:wrong").expect("an address").get_multiplexed_async_connection().await;
        assert!(wrong.is_err(), "a wrong password");
        let mut default =
            open(":secret").expect("an address").get_multiplexed_async_connection().await.expect("in");
        let _: () = cmd("SET").arg("a").arg("1").query_async(&mut default).await.expect("set");
        let mut looker =
            open("looker:look").expect("an address").get_multiplexed_async_connection().await.expect("in");
        let got: String = cmd("GET").arg("a").query_async(&mut looker).await.expect("get");
        assert_eq!(got, "1");
        assert_eq!(code(cmd("SET").arg("a").arg("2").query_async::<()>(&mut looker).await), "NOPERM");
    }
}

#[tokio::test]
async fn what_it_refuses_is_not_done_and_what_it_may_do_it_does() {
    let server = server().await;
    let mut c = to(&server, "").await.expect("a connection");
    let _: () = cmd("SET").arg("n").arg("5").query_async(&mut c).await.expect("set");
    let rows = [
        (Refusal::Oom, "OOM", true),
        (Refusal::ReadOnly, "READONLY", true),
        (Refusal::Misconf, "MISCONF", true),
        (Refusal::Loading, "LOADING", false),
        (Refusal::Busy, "BUSY", false),
        (Refusal::MasterDown, "MASTERDOWN", false),
    ];
    for (refusal, word, reads) in rows {
        server.feel(|m| m.refusal = Some(refusal));
        let refused = cmd("INCR").arg("n").query_async::<i64>(&mut c).await.expect_err("an error");
        assert!(refused.to_string().contains(word) || refused.code() == Some(word), "{refused}");
        let read = cmd("GET").arg("n").query_async::<String>(&mut c).await;
        assert_eq!(read.is_ok(), reads, "{refusal:?}");
        server.feel(|m| m.refusal = None);
        assert_eq!(server.look(&["GET", "n"]), Reply::text("5"), "{refusal:?}");
    }
}

#[tokio::test]
async fn answers_that_are_late_lost_or_spoilt_tell_of_what_was_done() {
    let server = server().await;
    let mut c = to(&server, "").await.expect("a connection");
    // Late: it is done long before its answer comes.
    server.feel(|m| m.late = Duration::from_millis(300));
    let mut asked = tokio::spawn(async move { cmd("INCR").arg("n").query_async::<i64>(&mut c).await });
    assert!(tokio::time::timeout(Duration::from_millis(100), &mut asked).await.is_err(), "an answer");
    assert_eq!(server.look(&["GET", "n"]), Reply::text("1"));
    assert_eq!(asked.await.expect("no panic").expect("an answer"), 1);
    server.feel(|m| m.late = Duration::ZERO);
    // Lost, or spoilt: done all the same.
    for (halves, spoils, total) in [(1.0, 0.0, "2"), (0.0, 1.0, "3")] {
        let mut c = to(&server, "").await.expect("a connection");
        server.feel(|m| (m.halves, m.spoils) = (halves, spoils));
        assert!(cmd("INCR").arg("n").query_async::<i64>(&mut c).await.is_err());
        server.feel(|m| (m.halves, m.spoils) = (0.0, 0.0));
        assert_eq!(server.look(&["GET", "n"]), Reply::text(total));
    }
    // Deaf: not done until it reads again.
    let mut c = to(&server, "").await.expect("a connection");
    server.feel(|m| m.deaf += 1);
    let mut asked = tokio::spawn(async move { cmd("INCR").arg("n").query_async::<i64>(&mut c).await });
    assert!(tokio::time::timeout(Duration::from_millis(100), &mut asked).await.is_err(), "an answer");
    assert_eq!(server.look(&["GET", "n"]), Reply::text("3"));
    server.feel(|m| m.deaf -= 1);
    assert_eq!(asked.await.expect("no panic").expect("an answer"), 4);
}

#[tokio::test]
async fn a_restart_resets_connections_and_brings_back_what_was_saved_last() {
    let server = server().await;
    let mut c = to(&server, "").await.expect("a connection");
    let _: i64 = cmd("INCR").arg("n").query_async(&mut c).await.expect("a sum");
    server.save();
    let _: i64 = cmd("INCR").arg("n").query_async(&mut c).await.expect("a sum");
    server.restart();
    assert!(cmd("GET").arg("n").query_async::<String>(&mut c).await.is_err(), "the old connection");
    assert_eq!(server.look(&["GET", "n"]), Reply::text("1"), "a write that was told as done is lost");
    server.evict(1.0);
    assert_eq!(server.look(&["DBSIZE"]), Reply::Number(0));
    server.feel(|m| m.down += 1);
    assert!(to(&server, "").await.is_err());
    server.feel(|m| m.down -= 1);
    assert!(to(&server, "").await.is_ok());
}

/// A model of strings with expiry, far simpler than the store, by the words of the commands' pages.
#[derive(Default)]
struct Model(std::collections::BTreeMap<u8, (f64, Option<u64>)>);

impl Model {
    fn live(&mut self, key: u8, now: u64) -> Option<&mut (f64, Option<u64>)> {
        if self.0.get(&key).is_some_and(|(_, at)| at.is_some_and(|at| at <= now)) {
            self.0.remove(&key);
        }
        self.0.get_mut(&key)
    }
}

#[test]
fn the_store_agrees_with_a_simple_model_over_twenty_thousand_random_commands() {
    for seed in 0..10 {
        let mut lots = Lots::new(seed, 0);
        let (mut store, mut model, mut now) = (Store::default(), Model::default(), 1_000u64);
        for step in 0..2_000 {
            now += lots.below(40) as u64;
            let key = lots.below(4) as u8;
            let word = |text: String| text.into_bytes();
            let name = vec![b'k', b'0' + key];
            let mut run = |command: &str, rest: &[String]| {
                let words: Vec<Vec<u8>> =
                    std::iter::once(name.clone()).chain(rest.iter().map(|r| word(r.clone()))).collect();
                store.command(0, command, &words, now).expect("a command")
            };
            let (said, wanted) = match lots.below(5) {
                0 => {
                    // Quarters are exact, in whatever order they are added.
                    let amount = (lots.below(64) as f64 - 32.0) / 4.0;
                    let said = run("INCRBYFLOAT", &[amount.to_string()]);
                    let old = model.live(key, now).copied().unwrap_or((0.0, None));
                    model.0.insert(key, (old.0 + amount, old.1));
                    (said, Reply::text((old.0 + amount + 0.0).to_string()))
                }
                1 => {
                    let span = lots.below(200) as u64 + 1;
                    let flag = ["NX", "XX", "GT", "LT"][lots.below(4)];
                    let said = run("PEXPIRE", &[span.to_string(), flag.into()]);
                    let at = now + span;
                    let fits = |old: Option<u64>| match flag {
                        "NX" => old.is_none(),
                        "XX" => old.is_some(),
                        "GT" => old.is_some_and(|old| at > old),
                        _ => old.is_none_or(|old| at < old),
                    };
                    let set = model.live(key, now).filter(|kept| fits(kept.1)).map(|kept| kept.1 = Some(at));
                    (said, Reply::Number(i64::from(set.is_some())))
                }
                2 => {
                    let said = run("PTTL", &[]);
                    let left = model.live(key, now).map_or(-2, |k| k.1.map_or(-1, |at| (at - now) as i64));
                    (said, Reply::Number(left))
                }
                3 => {
                    let said = run("DEL", &[]);
                    let there = model.live(key, now).is_some();
                    model.0.remove(&key);
                    (said, Reply::Number(i64::from(there)))
                }
                _ => {
                    let said = run("GET", &[]);
                    let kept = model.live(key, now).map(|k| Reply::text((k.0 + 0.0).to_string()));
                    (said, kept.unwrap_or(Reply::Null))
                }
            };
            assert_eq!(said, wanted, "seed {seed}, step {step}");
        }
    }
}
