//! Clients of a play: on kept and on fresh connections, within their deadlines, with further tries as told.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use tokio::time::{sleep, timeout, Instant};

use crate::field::{Field, APPLY};
use crate::http::{Line, Reply};
use crate::operator::GREEDY;
use crate::record::{Answer, Micros, Try};

/// How long a client waits for a request, with all its tries.
const DEADLINE: Duration = Duration::from_millis(2_000);
/// With less than this left no further try is begun.
const TOO_LITTLE: Duration = Duration::from_millis(50);
/// Tries of one request.
const TRIES: usize = 4;
/// Pause before a further try when nobody said how long.
const AGAIN: Duration = Duration::from_millis(20);
/// Between two requests of the greedy tenant at one proxy: 120 a second at most, at three.
const GREEDY_PAUSE: Duration = Duration::from_millis(25);
/// Between two requests of who probes.
const PROBE_PAUSE: Duration = Duration::from_millis(60);

/// Who owns a key, and the key.
type Key = (Option<&'static str>, Option<&'static str>);

const BEE: Key = (Some("bee"), Some("key-of-bee"));
const BEE_AGAIN: Key = (Some("bee"), Some("second-key-of-bee"));
const MOTH: Key = (Some("moth"), Some("key-of-moth"));
const WASP: Key = (Some(GREEDY), Some("key-of-wasp"));
const STRANGER: Key = (None, Some("nobody's-key"));
const NO_KEY: Key = (None, None);

/// What is asked for.
#[derive(Clone, Copy)]
struct Wish {
    route: &'static str,
    host: &'static str,
    safe: bool,
    key: Key,
}

fn wish(route: &'static str, key: Key) -> Wish {
    let host = if ["bell", "post", "both"].contains(&route) { "hill.example" } else { "lane.example" };
    Wish { route, host, safe: !["post", "move"].contains(&route), key }
}

/// A client, and the proxy that it goes to first.
pub struct Client {
    field: Rc<Field>,
    proxies: Rc<Vec<SocketAddrV4>>,
    home: usize,
    /// Whether it keeps its connection from one request to the next.
    keeps: bool,
    line: Option<Line>,
}

/// What became of one try.
enum Came {
    Answer(Reply),
    /// Nothing of it was sent.
    Unsent,
    /// Nobody knows.
    Nothing,
}

impl Client {
    /// A client that has no connection yet.
    pub fn new(field: Rc<Field>, proxies: Rc<Vec<SocketAddrV4>>, home: usize, keeps: bool) -> Client {
        Client { field, proxies, home, keeps, line: None }
    }

    /// Asks for one thing after another until the play is over.
    pub async fn usual(mut self) {
        let wishes = [
            wish("bell", BEE),
            wish("post", BEE_AGAIN),
            wish("move", MOTH),
            wish("both", MOTH),
            wish("open", NO_KEY),
            wish("post", MOTH),
        ];
        while !self.field.over.get() {
            let wish = wishes[self.field.below(wishes.len() as u64) as usize];
            self.field.records.borrow_mut().wanted += 1;
            if self.request(wish, TRIES).await {
                self.field.records.borrow_mut().served += 1;
            }
            sleep(Duration::from_millis(10 + self.field.below(20))).await;
        }
    }

    /// Asks for far more than its tenant's quota, and heeds nothing.
    pub async fn greedy(mut self) {
        while !self.field.over.get() {
            let next = Instant::now() + GREEDY_PAUSE;
            let route = if self.field.below(2) == 0 { "bell" } else { "move" };
            self.request(wish(route, WASP), 1).await;
            tokio::time::sleep_until(next).await;
        }
    }

    /// Asks with a key that nobody owns, on a route that goes and on one that comes. At all proxies in turn.
    pub async fn probe(mut self) {
        while !self.field.over.get() {
            self.request(wish("bell", STRANGER), 1).await;
            self.request(wish("old", BEE), 1).await;
            let due = self.field.records.borrow().changes.first().map(|c| c.at + APPLY.as_micros() as Micros);
            let due = due.is_some_and(|due| self.field.now() > due);
            let served = self.request(wish("new", BEE), TRIES).await;
            if due {
                let mut records = self.field.records.borrow_mut();
                records.wanted += 1;
                records.served += usize::from(served);
            }
            self.home += 1;
            self.line = None;
            sleep(PROBE_PAUSE).await;
        }
    }

    /// Makes a request with its tries; whether it was served.
    async fn request(&mut self, wish: Wish, tries: usize) -> bool {
        let until = Instant::now() + DEADLINE;
        let mut proxy = self.home;
        // A proxy that does not listen costs no try, but is not asked for ever.
        for turn in 0..tries {
            if turn > 0 {
                // Further tries go out on new connections.
                self.line = None;
                proxy += 1;
            }
            let mut pause = AGAIN;
            match self.attempt(wish, &mut proxy, until).await {
                Came::Answer(reply) => {
                    let status = reply.status.as_u16();
                    if reply.status.is_success() {
                        return true;
                    }
                    let promise = [408, 421, 429, 503].contains(&status);
                    let last = [400, 401, 404, 413, 431].contains(&status);
                    if last || !promise && !wish.safe {
                        return false;
                    }
                    let told = reply.header("retry-after").and_then(|s| s.parse().ok());
                    let told = told.and_then(|s| Duration::try_from_secs_f64(s).ok());
                    let left = until.saturating_duration_since(Instant::now());
                    pause = told.map_or(pause, |told| told.min(left / 3));
                }
                Came::Unsent => {}
                Came::Nothing if !wish.safe => return false,
                Came::Nothing => {}
            }
            if turn + 1 < tries {
                sleep(pause).await;
            }
            if Instant::now() + TOO_LITTLE > until {
                return false;
            }
        }
        false
    }

    async fn attempt(&mut self, wish: Wish, proxy: &mut usize, until: Instant) -> Came {
        let kept = self.line.take().filter(|line| !line.closed());
        let mut line = None;
        for _ in 0..self.proxies.len() {
            if kept.is_some() {
                break;
            }
            line = Line::open(self.proxies[*proxy % self.proxies.len()]).await.ok();
            if line.is_some() {
                break;
            }
            *proxy += 1;
        }
        let Some(mut line) = kept.or(line) else { return Came::Unsent };
        let left = until.saturating_duration_since(Instant::now());
        let id = format!("{:08x}", self.field.number());
        let (method, body) = match wish.safe {
            true => (Method::GET, String::new()),
            false => (Method::POST, format!("for {id}")),
        };
        let path = format!("/{}/{id}?as=sent", wish.route);
        let sent = self.field.now();
        let place = self.field.records.borrow().tries.len();
        self.field.records.borrow_mut().tries.push(Try {
            id: id.clone(),
            route: wish.route.into(),
            safe: wish.safe,
            tenant: wish.key.0.map(String::from),
            asked: format!("{method} {path} {body}"),
            sent,
            answer: None,
        });
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", wish.host)
            .header("x-request-id", &id)
            .header("x-deadline-ms", left.as_millis().to_string());
        if let Some(key) = wish.key.1 {
            request = request.header("x-credential", key);
        }
        let Ok(request) = request.body(Full::new(Bytes::from(body))) else { return Came::Unsent };
        match timeout(left, line.send(request)).await {
            Ok(Ok(reply)) => {
                self.field.records.borrow_mut().tries[place].answer = Some(Answer {
                    status: reply.status.as_u16(),
                    id: reply.header("x-request-id"),
                    seal: reply.header("x-server-seal"),
                    body: String::from_utf8_lossy(&reply.body).into(),
                });
                if self.keeps && !reply.closes() {
                    self.line = Some(line);
                }
                Came::Answer(reply)
            }
            Ok(Err(error)) if error.is_canceled() => Came::Unsent,
            _ => Came::Nothing,
        }
    }
}
