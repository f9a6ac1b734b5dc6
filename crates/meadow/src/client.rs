//! Clients of a play: on kept and on fresh connections, within their deadlines, with further tries as told.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use tokio::time::{sleep, timeout, Instant};

use crate::field::{Field, APPLY};
use crate::http::{Line, Reply};
use crate::operator::{self, GREEDY};
use crate::record::{Answer, Caller, Micros, Outcome, Try};

/// How long a client waits for a request, with all its tries.
pub const DEADLINE: Duration = Duration::from_millis(2_000);
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

/// Between two requests of who asks on a route with troubles of its own.
const TROUBLED_PAUSE: Duration = Duration::from_millis(50);
/// Between two requests with a long body.
const LOAD_PAUSE: Duration = Duration::from_millis(30);
/// Between two requests of the many tenants at one proxy.
const CROWD_PAUSE: Duration = Duration::from_millis(8);
/// How long the bodies are that go on the route for them: within one buffer of a proxy, and beyond.
const LOADS: [usize; 2] = [60_000, 200_000];

/// A key that a request carries.
#[derive(Clone)]
enum Key {
    /// A tenant's.
    Of(Rc<str>, Rc<str>),
    /// One that nobody owns.
    Strange,
    /// None.
    No,
}

impl Key {
    fn of(tenant: &str, key: &str) -> Key {
        Key::Of(tenant.into(), key.into())
    }

    fn of_one(tenant: &str) -> Key {
        Key::of(tenant, &operator::key_of(tenant))
    }

    fn tenant(&self) -> Option<&str> {
        match self {
            Key::Of(tenant, _) => Some(tenant),
            Key::Strange | Key::No => None,
        }
    }

    fn text(&self) -> Option<&str> {
        match self {
            Key::Of(_, key) => Some(key),
            Key::Strange => Some("nobody's-key"),
            Key::No => None,
        }
    }
}

/// What is asked for.
#[derive(Clone)]
struct Wish {
    route: Rc<str>,
    key: Key,
    by: Caller,
    /// The length of the body, if it is a long one.
    long: Option<usize>,
}

impl Wish {
    fn host(&self) -> &'static str {
        operator::host_of(&self.route)
    }

    fn safe(&self) -> bool {
        !["post", "move", operator::LOAD].contains(&&*self.route)
    }

    /// Whether it is owed an answer: the key is right, and its tenant stays within its quota.
    fn owed(&self) -> bool {
        match &self.key {
            Key::Of(tenant, _) => **tenant != *GREEDY,
            Key::Strange => false,
            Key::No => &*self.route == "open",
        }
    }
}

fn wish(route: &str, key: Key) -> Wish {
    Wish { route: route.into(), key, by: Caller::Client, long: None }
}

/// A long body of a request: each few bytes of it tell whose they are, and where in it.
pub fn long_payload(id: &str, length: usize) -> String {
    let mut payload = String::with_capacity(length + 2 * id.len() + 20);
    while payload.len() < length {
        payload.push_str(&format!("{id}@{};", payload.len()));
    }
    payload.truncate(length);
    payload
}

/// A client, and the proxy that it goes to first.
pub struct Client {
    field: Rc<Field>,
    proxies: Rc<Vec<SocketAddrV4>>,
    home: usize,
    /// Whether it keeps its connection from one request to the next.
    keeps: bool,
    /// The connection that is open, and its proxy.
    line: Option<(usize, Line)>,
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
            wish("bell", Key::of_one("bee")),
            wish("post", Key::of("bee", "second-key-of-bee")),
            wish("move", Key::of_one("moth")),
            wish("both", Key::of_one("moth")),
            wish("open", Key::No),
            wish("post", Key::of_one("moth")),
        ];
        while !self.field.over.get() {
            let wish = wishes[self.field.below(wishes.len() as u64) as usize].clone();
            let begun = self.field.now();
            let served = self.request(wish, TRIES).await;
            self.note_outcome(begun, served);
            sleep(Duration::from_millis(10 + self.field.below(20))).await;
        }
    }

    fn note_outcome(&self, begun: Micros, served: bool) {
        let mut records = self.field.records.borrow_mut();
        records.wanted += 1;
        records.served += usize::from(served);
        records.outcomes.push(Outcome { begun, served });
    }

    /// Asks for far more than its tenant's quota, and heeds nothing.
    pub async fn greedy(mut self) {
        while !self.field.over.get() {
            let next = Instant::now() + GREEDY_PAUSE;
            let route = if self.field.below(2) == 0 { "bell" } else { "move" };
            self.request(wish(route, Key::of_one(GREEDY)), 1).await;
            tokio::time::sleep_until(next).await;
        }
    }

    /// Asks with a key that nobody owns, on a route that goes and on one that comes. At all proxies in turn.
    pub async fn probe(mut self) {
        while !self.field.over.get() {
            self.request(wish("bell", Key::Strange), 1).await;
            self.request(wish("old", Key::of_one("bee")), 1).await;
            let due = self.field.records.borrow().changes.first().map(|c| c.at + APPLY.as_micros() as Micros);
            let due = due.is_some_and(|due| self.field.now() > due);
            let begun = self.field.now();
            let served = self.request(wish("new", Key::of_one("bee")), TRIES).await;
            if due {
                self.note_outcome(begun, served);
            }
            self.home += 1;
            self.line = None;
            sleep(PROBE_PAUSE).await;
        }
    }

    /// Asks on a route whose servers fail, and on one where they take too long.
    pub async fn troubled(mut self) {
        while !self.field.over.get() {
            let route = if self.field.below(2) == 0 { operator::GREY } else { operator::SLOW };
            self.request(wish(route, Key::of_one("moth")), 1).await;
            sleep(TROUBLED_PAUSE).await;
        }
    }

    /// Asks on the routes that were added later, once one of them should be there.
    pub async fn later(mut self) {
        while !self.field.over.get() {
            let route = operator::later_route(self.field.below(operator::LATER as u64) as usize);
            let due =
                self.field.records.borrow().added.get(&route).map(|at| at + APPLY.as_micros() as Micros);
            if due.is_some_and(|due| self.field.now() > due) {
                self.request(wish(&route, Key::of_one("bee")), 1).await;
            }
            sleep(TROUBLED_PAUSE).await;
        }
    }

    /// Asks on the routes of a soak that have been in force, also on those that have gone since.
    pub async fn series(mut self) {
        while !self.field.over.get() {
            let due = self.field.now().saturating_sub(APPLY.as_micros() as Micros);
            let routes: Vec<String> = {
                let records = self.field.records.borrow();
                let added =
                    records.added.iter().filter(|(name, at)| operator::is_soak_route(name) && **at < due);
                added.map(|(name, _)| name.clone()).collect()
            };
            if let Some(route) = routes.get(self.field.below(routes.len() as u64) as usize) {
                self.request(wish(route, Key::of_one("bee")), 1).await;
            }
            sleep(TROUBLED_PAUSE).await;
        }
    }

    /// Sends long bodies.
    pub async fn loads(mut self) {
        while !self.field.over.get() {
            let long = Some(LOADS[self.field.below(LOADS.len() as u64) as usize]);
            let wish = Wish { long, ..wish(operator::LOAD, Key::of_one("moth")) };
            self.request(wish, 1).await;
            sleep(LOAD_PAUSE).await;
        }
    }

    /// Asks for one of so many tenants after another.
    pub async fn crowd(mut self, tenants: usize) {
        while !self.field.over.get() {
            let tenant = operator::crowd_tenant(self.field.below(tenants as u64) as usize);
            let route = ["bell", "post", "both"][self.field.below(3) as usize];
            self.request(wish(route, Key::of_one(&tenant)), 2).await;
            sleep(CROWD_PAUSE).await;
        }
    }

    /// Asks once, as a server does while it works on a request.
    pub async fn call_of_a_server(mut self) {
        self.request(Wish { by: Caller::Server, ..wish("bell", Key::of_one("moth")) }, 1).await;
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
            match self.attempt(&wish, &mut proxy, until).await {
                Came::Answer(reply) => {
                    let status = reply.status.as_u16();
                    if reply.status.is_success() {
                        return true;
                    }
                    let promise = [408, 421, 429, 503].contains(&status);
                    let last = [400, 401, 404, 413, 431].contains(&status);
                    if last || !promise && !wish.safe() {
                        return false;
                    }
                    let told = reply.header("retry-after").and_then(|s| s.parse().ok());
                    let told = told.and_then(|s| Duration::try_from_secs_f64(s).ok());
                    let left = until.saturating_duration_since(Instant::now());
                    pause = told.map_or(pause, |told| told.min(left / 3));
                }
                Came::Unsent => {}
                Came::Nothing if !wish.safe() => return false,
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

    async fn attempt(&mut self, wish: &Wish, proxy: &mut usize, until: Instant) -> Came {
        let kept = self.line.take().filter(|(_, line)| !line.closed());
        let mut line = None;
        for _ in 0..self.proxies.len() {
            if kept.is_some() {
                break;
            }
            let number = *proxy % self.proxies.len();
            line = Line::open(self.proxies[number]).await.ok().map(|line| (number, line));
            if line.is_some() {
                break;
            }
            *proxy += 1;
        }
        let Some((number, mut line)) = kept.or(line) else { return Came::Unsent };
        let left = until.saturating_duration_since(Instant::now());
        let place = self.begin(wish, number, left);
        let Some(request) = self.prepare(wish, place) else { return Came::Unsent };
        let came = timeout(left, line.send(request)).await;
        let mut records = self.field.records.borrow_mut();
        let tried = &mut records.tries[place];
        tried.ended = self.field.now();
        match came {
            Ok(Ok(reply)) => {
                tried.answer = Some(Answer {
                    status: reply.status.as_u16(),
                    id: reply.header("x-request-id"),
                    seal: reply.header("x-server-seal"),
                    body: String::from_utf8_lossy(&reply.body).into(),
                });
                if self.keeps && !reply.closes() {
                    self.line = Some((number, line));
                }
                Came::Answer(reply)
            }
            Ok(Err(error)) if error.is_canceled() => Came::Unsent,
            _ => Came::Nothing,
        }
    }

    /// Notes a try that begins now; its place among the records.
    fn begin(&self, wish: &Wish, proxy: usize, wait: Duration) -> usize {
        let id = format!("{:08x}", self.field.number());
        let (method, payload) = match (wish.safe(), wish.long) {
            (true, _) => ("GET", String::new()),
            (false, None) => ("POST", format!("for {id}")),
            (false, Some(length)) => ("POST", long_payload(&id, length)),
        };
        let line = format!("{method} /{}/{id}?as=sent", wish.route);
        let now = self.field.now();
        let tried = Try {
            id,
            route: wish.route.to_string(),
            safe: wish.safe(),
            tenant: wish.key.tenant().map(String::from),
            by: wish.by,
            proxy,
            owed: wish.owed(),
            line,
            payload,
            // In whole milliseconds, as it is told.
            wait: wait.as_millis() as Micros * 1_000,
            sent: now,
            ended: now,
            answer: None,
        };
        let mut records = self.field.records.borrow_mut();
        records.tries.push(tried);
        records.tries.len() - 1
    }

    /// The request of a try.
    fn prepare(&self, wish: &Wish, place: usize) -> Option<Request<Full<Bytes>>> {
        let records = self.field.records.borrow();
        let tried = &records.tries[place];
        let (method, path) = tried.line.split_once(' ')?;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", wish.host())
            .header("x-request-id", &tried.id)
            .header("x-deadline-ms", (tried.wait / 1_000).to_string());
        if let Some(key) = wish.key.text() {
            request = request.header("x-credential", key);
        }
        request.body(Full::new(Bytes::from(tried.payload.clone()))).ok()
    }
}
