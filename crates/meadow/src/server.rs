//! Stand-in servers: they tell of themselves, work on requests, and leave or crash as told.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout_at, Instant};

use crate::client::Client;
use crate::field::Field;
use crate::record::{Micros, Run};
use crate::registration::{Plan, Registration};

/// The path whose requests fail every other time, by a failure of the server's own.
pub const FAILING: &str = "/grey/";
/// The path whose requests at times last longer than their route's `timeout`.
pub const LASTING: &str = "/slow/";
/// How long these last.
const LASTS: Duration = Duration::from_millis(1_500);
/// Of so many requests on that path one lasts.
const LASTING_ONE_IN: u64 = 3;
/// What a server fails with. None of these promises anything.
const FAILURES: [u16; 4] = [500, 502, 504, 422];
/// Of so many requests that change something, for one the server asks for something itself.
const CALLS_ONE_IN: u64 = 5;
/// A request that names no time is worked on for so long.
const NO_DEADLINE: Duration = Duration::from_millis(5_000);

/// A running server.
pub struct Server {
    registration: Registration,
    field: Rc<Field>,
    proxies: Rc<Vec<SocketAddrV4>>,
    slots: Semaphore,
    inside: Cell<usize>,
    /// Requests that change something, at work.
    posts: Cell<usize>,
    tasks: RefCell<Vec<AbortHandle>>,
}

/// Answered by a server of its own accord.
fn answer(status: u16, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}

fn set(response: &mut Response<Full<Bytes>>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

/// Counts who is inside.
struct Inside<'a>(&'a Cell<usize>);

impl Inside<'_> {
    fn of(count: &Cell<usize>) -> Inside<'_> {
        count.set(count.get() + 1);
        Inside(count)
    }
}

impl Drop for Inside<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Server {
    /// Starts a server: it listens, and tells of itself. What it asks for itself it asks at these proxies.
    pub async fn start(
        plan: Plan,
        field: Rc<Field>,
        controls: Vec<SocketAddrV4>,
        proxies: Rc<Vec<SocketAddrV4>>,
    ) -> std::io::Result<Rc<Server>> {
        let listener = TcpListener::bind(plan.address).await?;
        let server = Rc::new(Server {
            slots: Semaphore::new(plan.capacity),
            inside: Cell::new(0),
            posts: Cell::new(0),
            tasks: RefCell::default(),
            registration: Registration::new(plan, field.clone(), controls),
            proxies,
            field,
        });
        server.keep(tokio::task::spawn_local(server.clone().accept(listener)).abort_handle());
        let beating = server.clone();
        let beats = tokio::task::spawn_local(async move { beating.registration.beats().await });
        server.keep(beats.abort_handle());
        Ok(server)
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.registration.plan.id
    }

    /// On how many requests it works that must not run twice.
    pub fn posts(&self) -> usize {
        self.posts.get()
    }

    fn keep(&self, task: AbortHandle) {
        let mut tasks = self.tasks.borrow_mut();
        tasks.retain(|task| !task.is_finished());
        tasks.push(task);
    }

    /// Ends at a stroke: all its connections are closed, and it says nothing.
    pub fn crash(&self) {
        self.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Leaves as planned; comes back once it has ended.
    pub async fn leave(&self) {
        self.registration.leave().await;
        self.crash();
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            // Without it answers are later, not wrong.
            let _ = stream.set_nodelay(true);
            let server = self.clone();
            let task = tokio::task::spawn_local(async move {
                let service = service_fn(|request| {
                    let server = server.clone();
                    async move { Ok::<_, Infallible>(server.serve(request).await) }
                });
                // Who closes a connection ends it, and no more.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
            self.keep(task.abort_handle());
        }
    }

    async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let came = self.field.now();
        let since = Instant::now();
        let (head, body) = request.into_parts();
        let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).map(String::from);
        let draining = self.registration.draining();
        let mut response = if head.uri.path() == "/health" {
            answer(if draining { 503 } else { 200 }, String::new())
        } else if header("x-expect-server").is_some_and(|id| id != self.id()) {
            self.turn_away(421, None)
        } else if header("x-request-id").is_none() {
            self.field.records.borrow_mut().nameless.push((self.id().into(), came));
            self.turn_away(400, Some(came))
        } else {
            match body.collect().await {
                Ok(body) => {
                    let run = self.run(&head, &body.to_bytes(), came);
                    let wait = run.handed.map_or(NO_DEADLINE, Duration::from_micros);
                    self.work(run, since + wait).await
                }
                Err(_) => self.turn_away(400, Some(came)),
            }
        };
        if let Some(id) = head.headers.get("x-request-id") {
            response.headers_mut().insert("x-request-id", id.clone());
        }
        set(&mut response, "x-server-id", self.id());
        if draining {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// The record of a request that has come whole, as one that will succeed.
    fn run(&self, head: &Parts, body: &[u8], came: Micros) -> Run {
        let header = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).map(String::from);
        let Plan { id: server, service, .. } = &self.registration.plan;
        let id = header("x-request-id").unwrap_or_default();
        let line = format!("{} {}", head.method, head.uri);
        let payload = String::from_utf8_lossy(body).into_owned();
        Run {
            server: server.clone(),
            service: (*service).into(),
            at: came,
            tenant: header("x-tenant"),
            key: header("x-credential").is_some(),
            handed: header("x-deadline-ms").and_then(|ms| ms.parse::<Micros>().ok()).map(|ms| ms * 1_000),
            status: 200,
            seal: format!("{server}.{id}.{}", self.field.number()),
            body: format!("{server} has {line} {payload}\n"),
            line,
            payload: Some(payload),
            id,
        }
    }

    /// Says that a request was not run.
    fn turn_away(&self, status: u16, came: Option<Micros>) -> Response<Full<Bytes>> {
        let mut records = self.field.records.borrow_mut();
        *records.turned_away.entry(status).or_default() += 1;
        if let Some(came) = came.filter(|_| self.registration.draining()) {
            records.late.push((self.id().into(), came));
        }
        let mut response = answer(status, String::new());
        set(&mut response, "x-not-executed", "1");
        response
    }

    async fn work(&self, run: Run, due: Instant) -> Response<Full<Bytes>> {
        let Plan { capacity, queue, .. } = self.registration.plan;
        if self.inside.get() >= capacity + queue {
            return self.turn_away(503, Some(run.at));
        }
        let _inside = Inside::of(&self.inside);
        let Ok(Ok(_slot)) = timeout_at(due, self.slots.acquire()).await else {
            return self.turn_away(503, Some(run.at));
        };
        let changes = run.line.starts_with("POST");
        let _post = changes.then(|| Inside::of(&self.posts));
        let (seal, body) = (run.seal.clone(), run.body.clone());
        let work = self.work_on(&run);
        let failure = self.failure(&run);
        let place = self.field.records.borrow().runs.len();
        self.field.records.borrow_mut().runs.push(run);
        let worked = async {
            sleep(work).await;
            if changes && self.field.below(CALLS_ONE_IN) == 0 {
                self.ask_for_something().await;
            }
        };
        let in_time = timeout_at(due, worked).await.is_ok();
        let status = if in_time { failure.unwrap_or(200) } else { 504 };
        let mut records = self.field.records.borrow_mut();
        records.runs[place].status = status;
        records.sealed.insert(seal.clone(), status);
        let mut response = answer(status, if status == 200 { body } else { String::new() });
        set(&mut response, "x-server-seal", &seal);
        response
    }

    /// How long the server works on a request: not in step, so that answers come in any order.
    fn work_on(&self, run: &Run) -> Duration {
        if path_of(run).starts_with(LASTING) && self.field.below(LASTING_ONE_IN) == 0 {
            return LASTS;
        }
        let usual = self.registration.plan.work;
        usual / 2 + usual.mul_f64(self.field.below(1_000) as f64 / 1_000.0)
    }

    /// What the server fails a request with, if it does.
    fn failure(&self, run: &Run) -> Option<u16> {
        let fails = path_of(run).starts_with(FAILING) && self.field.below(2) == 0;
        fails.then(|| FAILURES[self.field.below(FAILURES.len() as u64) as usize])
    }

    /// Asks for something at a proxy, as servers do while they work.
    async fn ask_for_something(&self) {
        let home = self.field.below(self.proxies.len() as u64) as usize;
        Client::new(self.field.clone(), self.proxies.clone(), home, false).call_of_a_server().await;
    }
}

fn path_of(run: &Run) -> &str {
    run.line.split(' ').nth(1).unwrap_or_default()
}
