//! Stand-ins proved by clients that no one here wrote: `redis` speaks to the counter, `hyper` to boxes and
//! discovery. Their faults are those of the protocol, and not of these clients' making.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use pinerelay_evidence::{Counted, Listed, Record, Recorder, Seen};
use pinerelay_standins::boxes::{made_by, Hall, Make, StandinBox, Work};
use pinerelay_standins::counter::{self, Counter};
use pinerelay_standins::discovery::{Discovery, Entry};
use serde_json::Value;
use tokio::net::TcpStream;

/// Far longer than anything here takes, on however slow a machine.
const PATIENCE: Duration = Duration::from_secs(30);

async fn counter(calls_a_second: f64) -> (Counter, Recorder) {
    let recorder = Recorder::new();
    let make = counter::Make { parts: 2, calls_a_second, delay: Duration::ZERO, seed: 1 };
    (Counter::start(make, recorder.clone(), 2).await.expect("a counter"), recorder)
}

async fn redis_to(counter: &Counter, node: u32) -> redis::aio::MultiplexedConnection {
    let client = redis::Client::open(format!("redis://{}", counter.address(node))).expect("an address");
    client.get_multiplexed_async_connection().await.expect("a connection")
}

async fn add(
    to: &mut redis::aio::MultiplexedConnection,
    name: &str,
    amount: f64,
    life: u64,
) -> redis::RedisResult<f64> {
    redis::cmd("INCRTTL").arg(name).arg(amount).arg(life).query_async(to).await
}

#[tokio::test]
async fn a_redis_client_counts_with_the_counter_and_understands_what_it_is_refused() {
    let (counter, recorder) = counter(100_000.0).await;
    let (mut one, mut other) = (redis_to(&counter, 0).await, redis_to(&counter, 1).await);
    assert_eq!(add(&mut one, "000000000000002a", 2.5, 4_000).await.expect("a total"), 2.5);
    assert_eq!(add(&mut other, "000000000000002a", -1.0, 4_000).await.expect("a total"), 1.5);
    assert_eq!(counter.total(b"000000000000002a"), Some(1.5));
    let pong: String = redis::cmd("PING").query_async(&mut one).await.expect("an answer");
    assert_eq!(pong, "PONG");
    // Rows: no such call, an amount that is no number or too much, a life of nothing, a name too long.
    let rows: [&[&str]; 5] = [
        &["GET", "a"],
        &["INCRTTL", "a", "many", "1000"],
        &["INCRTTL", "a", "2000000000", "1000"],
        &["INCRTTL", "a", "1", "0"],
        &["INCRTTL", &"a".repeat(65), "1", "1000"],
    ];
    for row in rows {
        let mut call = redis::cmd(row[0]);
        call.arg(&row[1..]);
        let error = call.query_async::<f64>(&mut one).await.expect_err("an error");
        assert_eq!(error.code(), Some("ERR"), "{row:?}");
    }
    counter.feel(|m| m.refuses += 1);
    let error = add(&mut one, "000000000000002a", 5.0, 4_000).await.expect_err("an error");
    assert_eq!(error.code(), Some("BUSY"));
    counter.feel(|m| m.refuses -= 1);
    counter.lose(1.0);
    assert_eq!(add(&mut one, "000000000000002a", 1.0, 4_000).await.expect("a total"), 1.0);
    let calls = recorder.take().into_iter().filter_map(|r| match r.seen {
        Seen::Called { node, amount, how, .. } => Some((node, amount, how)),
        _ => None,
    });
    let (added, busy) = (Counted::Added, Counted::Busy);
    assert_eq!(
        calls.collect::<Vec<_>>(),
        [(0, 2.5, added), (1, -1.0, added), (0, 5.0, busy), (0, 1.0, added)]
    );
}

#[tokio::test]
async fn a_name_lives_as_long_as_its_first_call_said() {
    let (counter, _) = counter(100_000.0).await;
    let mut to = redis_to(&counter, 0).await;
    assert_eq!(add(&mut to, "1", 1.0, 30).await.expect("a total"), 1.0);
    let until = Instant::now() + PATIENCE;
    // Its life is not made longer by the later calls, so it ends while it is called.
    while add(&mut to, "1", 1.0, 60_000).await.expect("a total") != 1.0 {
        assert!(Instant::now() < until, "it lives on");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn a_crowded_counter_turns_calls_away_and_a_silent_one_answers_late() {
    // A call would have its turn in some seconds; it is turned away where that is over half a second.
    let (counter, _) = counter(200.0).await;
    let mut to = redis_to(&counter, 0).await;
    counter.feel(|m| m.slow = 1_000.0);
    let error = add(&mut to, "1", 1.0, 60_000).await.expect_err("an error");
    assert_eq!(error.code(), Some("BUSY"));
    counter.feel(|m| m.slow = 1.0);
    assert_eq!(add(&mut to, "1", 1.0, 60_000).await.expect("a total"), 1.0);
    let (counter, _) = self::counter(100_000.0).await;
    let mut to = redis_to(&counter, 0).await;
    counter.feel(|m| m.silent += 1);
    let mut silent = tokio::spawn(async move { add(&mut to, "1", 1.0, 60_000).await });
    assert!(tokio::time::timeout(Duration::from_millis(100), &mut silent).await.is_err(), "an answer");
    counter.feel(|m| m.silent -= 1);
    assert_eq!(silent.await.expect("no panic").expect("a total"), 1.0);
}

#[tokio::test]
async fn the_counter_holds_32_connections_of_a_node_and_resets_further_ones() {
    let (counter, _) = counter(100_000.0).await;
    let client = redis::Client::open(format!("redis://{}", counter.address(0))).expect("an address");
    let mut open = Vec::new();
    for _ in 0..counter::CONNECTIONS {
        open.push(client.get_multiplexed_async_connection().await.expect("a connection"));
    }
    assert!(client.get_multiplexed_async_connection().await.is_err(), "one too many");
    assert!(
        redis_to(&counter, 1).await.send_packed_command(&redis::cmd("PING")).await.is_ok(),
        "another node's"
    );
}

fn make() -> Make {
    let work = |class: &str, window| Work { class: class.into(), mean_ms: 5.0, cv: 0.1, window };
    Make {
        number: 3,
        hall: 0,
        cores: 1,
        speed: 1.0,
        room: 1,
        connections: 8,
        idle: Duration::from_secs(20),
        handshake: Duration::ZERO,
        cold_from: 0.2,
        cold: Duration::from_secs(17),
        fall_multiple: 3.0,
        tip_after: Duration::from_millis(1_500),
        work: vec![work("look", None), work("slip", Some(Duration::from_millis(1_500)))],
        seed: 1,
    }
}

async fn a_box(make: Make, cold: bool) -> (StandinBox, Recorder) {
    let recorder = Recorder::new();
    let hall = Arc::<Hall>::default();
    (StandinBox::start(make, hall, recorder.clone(), 1, cold).await.expect("a box"), recorder)
}

type Sender = http1::SendRequest<Full<Bytes>>;

async fn hyper_to(address: std::net::SocketAddr) -> Sender {
    let stream = TcpStream::connect(address).await.expect("a connection");
    let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.expect("a connection");
    tokio::spawn(connection);
    sender
}

struct Answer {
    status: StatusCode,
    not_run: bool,
    body: Bytes,
}

async fn ask(sender: &mut Sender, path: &str, headers: &[(&str, &str)]) -> Result<Answer, hyper::Error> {
    let mut request = Request::builder().uri(path).header("Host", "box");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    sender.ready().await?;
    let answer = sender.send_request(request.body(Full::default()).expect("a request")).await?;
    let not_run = answer.headers().get("x-not-run").is_some_and(|v| v == "1");
    let status = answer.status();
    Ok(Answer { status, not_run, body: answer.into_body().collect().await?.to_bytes() })
}

async fn look(sender: &mut Sender, number: u64) -> Result<Answer, hyper::Error> {
    ask(sender, "/look", &[("x-request-id", &id(number))]).await
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

#[tokio::test]
async fn a_box_serves_hyper_and_turns_away_in_the_words_of_the_protocol() {
    let (made, recorder) = a_box(make(), false).await;
    let mut to = hyper_to(made.address(0)).await;
    let served = ask(&mut to, "/look?key=7", &[("x-request-id", &id(1))]).await.expect("an answer");
    assert_eq!(served.status, StatusCode::OK);
    assert_eq!(made_by(&served.body).map(|b| b.0), Some(1));
    // Rows: no id, an id that no client has, no such class; a deadline that is over; a box that drains.
    type Row<'a> = (&'a str, Vec<(&'a str, String)>, u16, bool);
    let rows: [Row; 4] = [
        ("/look", vec![], 404, false),
        ("/look", vec![("x-request-id", "rude".into())], 400, false),
        ("/none", vec![("x-request-id", id(2))], 400, false),
        ("/look", vec![("x-request-id", id(3)), ("x-deadline-ms", "0".into())], 504, true),
    ];
    for (path, headers, status, not_run) in rows {
        let headers: Vec<_> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        let answer = ask(&mut to, path, &headers).await.expect("an answer");
        assert_eq!((answer.status.as_u16(), answer.not_run), (status, not_run), "{path} {headers:?}");
    }
    made.drain(true);
    let answer = look(&mut to, 4).await.expect("an answer");
    assert_eq!((answer.status.as_u16(), answer.not_run), (503, true));
    assert_eq!(ask(&mut to, "/alive", &[]).await.expect("an answer").status.as_u16(), 503);
    made.drain(false);
    made.feel(|m| m.fails = 1.0);
    let answer = look(&mut to, 5).await.expect("an answer");
    assert_eq!((answer.status.as_u16(), answer.not_run), (500, false));
    made.feel(|m| (m.fails, m.resets) = (0.0, 1.0));
    assert!(look(&mut to, 6).await.is_err(), "a reset");
    made.feel(|m| (m.resets, m.spoils) = (0.0, 1.0));
    let mut to = hyper_to(made.address(0)).await;
    let asked = look(&mut to, 7);
    // Some spoilt answers never end.
    let spoilt = tokio::time::timeout(Duration::from_millis(300), asked).await;
    assert!(!matches!(spoilt, Ok(Ok(_))), "a whole answer");
    let ran: Vec<_> = recorder.take().into_iter().filter(|r| matches!(r.seen, Seen::Ran { .. })).collect();
    assert_eq!(ran.len(), 3, "what is turned away or fails at once has not run: {ran:?}");
}

#[tokio::test]
async fn a_box_has_one_core_and_room_for_one_and_drops_keyed_repeats() {
    let mut make = make();
    make.work.iter_mut().for_each(|w| (w.mean_ms, w.cv) = (200.0, 0.0));
    let (made, recorder) = a_box(make, false).await;
    let mut asked = tokio::task::JoinSet::new();
    for n in 1..=3 {
        let mut to = hyper_to(made.address(0)).await;
        asked.spawn(async move { look(&mut to, n).await.expect("an answer") });
    }
    let mut statuses = Vec::new();
    while let Some(answer) = asked.join_next().await {
        statuses.push(answer.expect("no panic").status.as_u16());
    }
    // The one that is turned away is told first.
    assert_eq!(statuses, [503, 200, 200]);
    let mut to = hyper_to(made.address(0)).await;
    for n in [4, 5] {
        let headers = [("x-request-id", id(n)), ("idempotency-key", id(9))];
        let headers: Vec<_> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
        assert_eq!(ask(&mut to, "/slip", &headers).await.expect("an answer").status, StatusCode::OK);
    }
    let seen = recorder.take();
    let dropped: Vec<_> = seen.iter().filter(|r| matches!(r.seen, Seen::Dropped { id: 5, .. })).collect();
    let ran = seen.iter().filter(|r| matches!(r.seen, Seen::Ran { id: 4 | 5, .. })).count();
    assert_eq!((dropped.len(), ran), (1, 1));
}

#[tokio::test]
async fn a_hanging_box_answers_what_it_had_taken_once_it_wakes_up_and_a_stopped_one_resets() {
    let (made, _) = a_box(make(), false).await;
    made.feel(|m| m.hangs += 1);
    let mut to = hyper_to(made.address(0)).await;
    let mut asked = tokio::spawn(async move { (look(&mut to, 1).await, to) });
    assert!(tokio::time::timeout(Duration::from_millis(150), &mut asked).await.is_err(), "an answer");
    made.feel(|m| m.hangs -= 1);
    let (answer, mut to) = asked.await.expect("no panic");
    assert_eq!(answer.expect("an answer").status, StatusCode::OK);
    made.stop();
    assert!(look(&mut to, 2).await.is_err(), "a reset");
    assert!(TcpStream::connect(made.address(0)).await.is_err(), "refused");
    made.restart().await.expect("a start");
    let mut to = hyper_to(made.address(0)).await;
    let answer = look(&mut to, 3).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn of_keyed_repeats_that_a_hanging_box_had_taken_one_alone_runs() {
    let (made, recorder) = a_box(make(), false).await;
    made.feel(|m| m.hangs += 1);
    let mut asked = tokio::task::JoinSet::new();
    for n in [4, 5] {
        let mut to = hyper_to(made.address(0)).await;
        asked.spawn(async move {
            let headers = [("x-request-id", id(n)), ("idempotency-key", id(9))];
            let headers: Vec<_> = headers.iter().map(|(n, v)| (*n, v.as_str())).collect();
            ask(&mut to, "/slip", &headers).await.expect("an answer").status
        });
    }
    let mut seen = Vec::new();
    while seen.iter().filter(|r: &&Record| matches!(r.seen, Seen::Arrived { .. })).count() < 2 {
        tokio::task::yield_now().await;
        seen.extend(recorder.take());
    }
    made.feel(|m| m.hangs -= 1);
    while let Some(status) = asked.join_next().await {
        assert_eq!(status.expect("no panic"), StatusCode::OK);
    }
    let ran = recorder.take().iter().filter(|r| matches!(r.seen, Seen::Ran { .. })).count();
    assert_eq!(ran, 1, "an effect that happened twice");
}

#[tokio::test]
async fn a_cold_box_that_is_pushed_falls_over_and_stays_down() {
    let mut make = make();
    (make.room, make.connections) = (10_000, 10_000);
    make.work.iter_mut().for_each(|w| (w.mean_ms, w.cv) = (100.0, 0.0));
    let (made, recorder) = a_box(make, true).await;
    let mut asked = tokio::task::JoinSet::new();
    // Cold, it can do some 0.3 s of work in its first window; three times that and the slack are 13 attempts.
    for n in 1..=30 {
        let mut to = hyper_to(made.address(0)).await;
        asked.spawn(async move { look(&mut to, n).await.is_ok() });
    }
    let fell = || recorder.take().iter().any(|r| matches!(r.seen, Seen::BoxFell { .. }));
    let until = Instant::now() + PATIENCE;
    while !fell() {
        assert!(Instant::now() < until, "it bears it");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut to = hyper_to(made.address(0)).await;
    let after = tokio::time::timeout(Duration::from_millis(200), look(&mut to, 99));
    assert!(!matches!(after.await, Ok(Ok(_))), "it answers");
}

async fn listed(sender: &mut Sender, path: &str) -> Value {
    let answer = ask(sender, path, &[]).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    serde_json::from_slice(&answer.body).expect("a list")
}

fn entry(says: Listed) -> Entry {
    Entry {
        number: 3,
        name: "s-3".into(),
        addresses: vec!["127.0.0.1:1".parse().expect("an address"); 2],
        hall: "a".into(),
        kind: "m1".into(),
        cell: 0,
        weight: 1.0,
        says,
        since_ms: 0,
    }
}

#[tokio::test]
async fn discovery_tells_hyper_the_list_and_what_changes_and_is_silent_while_it_is_down() {
    let recorder = Recorder::new();
    let discovery = Discovery::start(recorder.clone(), 2, &[entry(Listed::Up)]).await.expect("discovery");
    let mut to = hyper_to(discovery.address(0)).await;
    let whole = listed(&mut to, "/discovery/hosts").await;
    assert_eq!(
        (whole["snapshot"].as_bool(), whole["endpoints"][0]["status"].as_str()),
        (Some(true), Some("up"))
    );
    let index = whole["index"].as_u64().expect("a version");
    let none = listed(&mut to, &format!("/discovery/hosts?after={index}&wait_ms=1")).await;
    assert_eq!(none["endpoints"].as_array().map(Vec::len), Some(0));
    // A watch that waits hears of the change as it comes.
    let path = format!("/discovery/hosts?after={index}&wait_ms=30000");
    let watch = tokio::spawn(async move { (listed(&mut to, &path).await, to) });
    discovery.say(&entry(Listed::Draining));
    let (change, mut to) = watch.await.expect("no panic");
    assert_eq!(change["endpoints"][0]["status"], "draining");
    assert!(change["index"].as_u64() > Some(index));
    // Down: no answer, no news; what it missed comes with its end.
    discovery.silent(true);
    discovery.say(&entry(Listed::Removed));
    let path = format!("/discovery/hosts?after={}&wait_ms=1", change["index"]);
    let mut watch = tokio::spawn(async move { listed(&mut to, &path).await });
    assert!(tokio::time::timeout(Duration::from_millis(150), &mut watch).await.is_err(), "an answer");
    discovery.silent(false);
    assert_eq!(watch.await.expect("no panic")["endpoints"][0]["status"], "removed");
    let told = recorder.take().into_iter().filter_map(|r| match r.seen {
        Seen::Told { node: 0, at_box: 3, says } => Some(says),
        _ => None,
    });
    assert_eq!(told.collect::<Vec<_>>(), [Listed::Up, Listed::Draining, Listed::Removed]);
}

#[tokio::test]
async fn an_agent_that_moves_has_versions_of_its_own() {
    let discovery = Discovery::start(Recorder::new(), 1, &[entry(Listed::Up)]).await.expect("discovery");
    let old = discovery.address(0);
    let before = listed(&mut hyper_to(old).await, "/discovery/hosts").await;
    let new = discovery.move_agent(0).await.expect("a move");
    assert_ne!(old, new);
    assert!(TcpStream::connect(old).await.is_err(), "the old address takes no new connection");
    let after = listed(&mut hyper_to(new).await, "/discovery/hosts").await;
    assert!(after["index"].as_u64() > before["index"].as_u64());
    assert_eq!(after["endpoints"], before["endpoints"]);
}
