//! Stand-in rude clients: what can't be read, what is out of range, what never ends, and what says nothing.

use std::net::SocketAddr;
use std::time::Duration;

use pinerelay_evidence::{Micros, Recorder, RudeEnd, Seen};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use crate::http::Line;

/// Within this such a client is owed an error or a close.
pub const OWED: Duration = Duration::from_secs(3);

/// The kinds, by number.
pub const KINDS: [&str; 16] = [
    "noise",
    "a head without an end",
    "a negative length",
    "a huge length",
    "two lengths",
    "a length and chunks",
    "a class that does not exist",
    "a plan that does not exist",
    "units that are no number",
    "a set that is out of range",
    "a deadline that is no number",
    "no id",
    "a key that is no biller",
    "half a request",
    "silence",
    "a GET with a body",
];

/// Sends a rudeness to a node and waits for what it is owed.
pub async fn be_rude(
    node: u32,
    address: SocketAddr,
    kind: usize,
    class: &str,
    plan: &str,
    recorder: &Recorder,
) {
    let began = Instant::now();
    let until = began + OWED;
    let met = timeout_at(until, meet(address, kind % KINDS.len(), class, plan, recorder)).await;
    let end = match met {
        Ok(Some(end)) => end,
        // Connections that never come up are no one's rudeness.
        Ok(None) => return,
        Err(_) => RudeEnd::Nothing,
    };
    let after = began.elapsed().as_micros() as Micros;
    recorder.see(Seen::Rude { node, kind: KINDS[kind % KINDS.len()].into(), end, after });
}

async fn meet(
    address: SocketAddr,
    kind: usize,
    class: &str,
    plan: &str,
    recorder: &Recorder,
) -> Option<RudeEnd> {
    let mut line = Line::new(TcpStream::connect(address).await.ok()?);
    let text = text(kind, class, plan);
    // It may have been closed on halfway: the answer, if there is one, tells.
    let _ = line.stream.write_all(&text).await;
    if KINDS[kind] == "half a request" {
        let _ = line.stream.shutdown().await;
    }
    Some(match line.answer(recorder).await {
        Ok(answer) => RudeEnd::Status(answer.status()),
        Err(_) => RudeEnd::Closed,
    })
}

fn text(kind: usize, class: &str, plan: &str) -> Vec<u8> {
    struct Parts<'a> {
        class: &'a str,
        plan: &'a str,
        id: &'a str,
        key: &'a str,
        deadline: &'a str,
        weight: &'a str,
        extra: &'a str,
    }
    // Under an id that no proper client has: what gets through to a box is seen to be none's.
    let mut p = Parts {
        class,
        plan,
        id: "X-Request-Id: rude-rude-rude-0\r\n",
        key: "0000000000000007",
        deadline: "500",
        weight: "units=1,spread=1,first=0",
        extra: "",
    };
    match KINDS[kind] {
        "noise" => return b"\x16\x03\x01\x00\xff\xfe\x00noise\r\n\r\n".to_vec(),
        "a head without an end" => {
            return [b"GET / HTTP/1.1\r\nX-Long: ".to_vec(), vec![b'x'; 100_000]].concat()
        }
        "silence" => return Vec::new(),
        "a negative length" => p.extra = "Content-Length: -5\r\n",
        "a huge length" => p.extra = "Content-Length: 60000000\r\n",
        "two lengths" => p.extra = "Content-Length: 3\r\nContent-Length: 7\r\n",
        "a length and chunks" => p.extra = "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "a class that does not exist" => p.class = "no-such-class",
        "a plan that does not exist" => p.plan = "no-such-plan",
        "units that are no number" => p.weight = "units=many,spread=1,first=0",
        "a set that is out of range" => p.weight = "units=1,spread=999,first=4000000000",
        "a deadline that is no number" => p.deadline = "soon",
        "no id" => p.id = "",
        "a key that is no biller" => p.key = "not-a-biller-key",
        "a GET with a body" => p.extra = "Content-Length: 5\r\n",
        _ => {}
    }
    let Parts { class, plan, id, key, deadline, weight, extra } = p;
    let mut text = format!(
        "GET /{class}?key={key} HTTP/1.1\r\nHost: service.internal\r\n{id}X-Class: {class}\r\nX-Tariff: {plan}\r\n\
         X-Deadline-Ms: {deadline}\r\nX-Weight: {weight}\r\n{extra}\r\nhello"
    )
    .into_bytes();
    if KINDS[kind] == "half a request" {
        text.truncate(60);
    }
    text
}
