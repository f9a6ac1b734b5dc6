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
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use sonic_rs::{pointer, JsonValueTrait, Value};
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout_at, Instant};

use crate::field::{Field, DRAIN_TIMEOUT, HEARTBEAT};
use crate::http;
use crate::record::{Drained, Run};

/// After the drain timeout a server goes on for this much.
const LITTLE_LONGER: Duration = Duration::from_millis(400);
/// A call for the end that nobody acknowledges is made for so long.
const GIVE_UP: Duration = Duration::from_secs(5);
/// Pause before the next registry is called.
const NEXT: Duration = Duration::from_millis(50);

/// What a server is.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The id of this life.
    pub id: String,
    /// Its service.
    pub service: &'static str,
    /// Where it is.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: &'static str,
    /// On how many requests it works at once.
    pub capacity: usize,
    /// How many more may wait.
    pub queue: usize,
    /// How long a request takes.
    pub work: Duration,
}

/// A running server.
pub struct Server {
    plan: Plan,
    field: Rc<Field>,
    controls: Vec<SocketAddrV4>,
    slots: Semaphore,
    inside: Cell<usize>,
    /// Requests that change something, at work.
    posts: Cell<usize>,
    draining: Cell<bool>,
    calls: Cell<u64>,
    /// Where later beats go, if an answer said so.
    told: Cell<Option<SocketAddrV4>>,
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
    /// Starts a server: it listens, and tells of itself.
    pub async fn start(
        plan: Plan,
        field: Rc<Field>,
        controls: Vec<SocketAddrV4>,
    ) -> std::io::Result<Rc<Server>> {
        let listener = TcpListener::bind(plan.address).await?;
        let server = Rc::new(Server {
            slots: Semaphore::new(plan.capacity),
            inside: Cell::new(0),
            posts: Cell::new(0),
            draining: Cell::new(false),
            calls: Cell::new(0),
            told: Cell::new(None),
            tasks: RefCell::default(),
            plan,
            field,
            controls,
        });
        server.keep(tokio::task::spawn_local(server.clone().accept(listener)).abort_handle());
        server.keep(tokio::task::spawn_local(server.clone().beats()).abort_handle());
        Ok(server)
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.plan.id
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
        self.draining.set(true);
        if self.insist("servers.heartbeat").await {
            let drained = Drained { server: self.plan.id.clone(), at: self.field.now() };
            self.field.records.borrow_mut().drained.push(drained);
        }
        sleep(DRAIN_TIMEOUT + LITTLE_LONGER).await;
        self.insist("servers.leave").await;
        self.crash();
    }

    /// Calls until it is acknowledged, or for some seconds.
    async fn insist(&self, call: &str) -> bool {
        let until = Instant::now() + GIVE_UP;
        while Instant::now() < until {
            if self.call(call).await {
                return true;
            }
            sleep(NEXT).await;
        }
        false
    }

    async fn beats(self: Rc<Self>) {
        // Servers don't beat in step.
        sleep(Duration::from_millis(self.field.below(100))).await;
        loop {
            let pause = if self.call("servers.heartbeat").await { HEARTBEAT } else { NEXT };
            sleep(pause).await;
        }
    }

    /// Makes a call at one registry; whether it was acknowledged.
    async fn call(&self, call: &str) -> bool {
        let Plan { id, service, address, zone, capacity, .. } = &self.plan;
        self.calls.set(self.calls.get() + 1);
        let lot = self.field.below(self.controls.len() as u64) as usize;
        let to = self.told.take().unwrap_or(self.controls[lot]);
        let body = match call {
            "servers.heartbeat" => format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"revision\":\"v1\",\
                 \"capacity\":{capacity},\"state\":\"{}\",\"warmup_left\":\"0ms\",\"call_count\":{}}}",
                if self.draining.get() { "draining" } else { "ready" },
                self.calls.get(),
            ),
            _ => "{}".into(),
        };
        let Some(reply) = http::call(to, &format!("call={call}&of={id}"), body).await else { return false };
        if !reply.status.is_success() {
            return false;
        }
        let told = sonic_rs::from_slice::<Value>(&reply.body).ok();
        let told = told.as_ref().and_then(|v| v.pointer(pointer!["heartbeat_url"])).and_then(|v| v.as_str());
        let told = told.map(|url| url.trim_start_matches("http://").trim_end_matches('/'));
        self.told.set(told.and_then(|address| address.parse().ok()));
        true
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
        let mut response = if head.uri.path() == "/health" {
            answer(if self.draining.get() { 503 } else { 200 }, String::new())
        } else if header("x-expect-server").is_some_and(|id| id != self.plan.id) {
            self.turn_away(421, None)
        } else if let Some(id) = header("x-request-id") {
            match body.collect().await {
                Ok(body) => {
                    let body = body.to_bytes();
                    let asked = format!("{} {} {}", head.method, head.uri, String::from_utf8_lossy(&body));
                    let run = Run {
                        server: self.plan.id.clone(),
                        service: self.plan.service.into(),
                        at: came,
                        tenant: header("x-tenant"),
                        key: header("x-credential").is_some(),
                        seal: format!("{}.{id}.{}", self.plan.id, asked.len()),
                        body: format!("{} has {asked}\n", self.plan.id),
                        asked,
                        id,
                    };
                    let wait = header("x-deadline-ms").and_then(|ms| ms.parse().ok()).unwrap_or(5_000);
                    self.work(run, since + Duration::from_millis(wait)).await
                }
                Err(_) => self.turn_away(400, Some(came)),
            }
        } else {
            self.turn_away(400, Some(came))
        };
        if let Some(id) = head.headers.get("x-request-id") {
            response.headers_mut().insert("x-request-id", id.clone());
        }
        set(&mut response, "x-server-id", &self.plan.id);
        if self.draining.get() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    /// Says that a request was not run.
    fn turn_away(&self, status: u16, came: Option<u64>) -> Response<Full<Bytes>> {
        let mut records = self.field.records.borrow_mut();
        *records.turned_away.entry(status).or_default() += 1;
        if let Some(came) = came.filter(|_| self.draining.get()) {
            records.late.push((self.plan.id.clone(), came));
        }
        let mut response = answer(status, String::new());
        set(&mut response, "x-not-executed", "1");
        response
    }

    async fn work(&self, run: Run, due: Instant) -> Response<Full<Bytes>> {
        if self.inside.get() >= self.plan.capacity + self.plan.queue {
            return self.turn_away(503, Some(run.at));
        }
        let _inside = Inside::of(&self.inside);
        let Ok(Ok(_slot)) = timeout_at(due, self.slots.acquire()).await else {
            return self.turn_away(503, Some(run.at));
        };
        let _post = run.asked.starts_with("POST").then(|| Inside::of(&self.posts));
        let (seal, body) = (run.seal.clone(), run.body.clone());
        self.field.records.borrow_mut().runs.push(run);
        // Not in step, so that answers come in any order.
        let work = self.plan.work / 2 + self.plan.work.mul_f64(self.field.below(1_000) as f64 / 1_000.0);
        if timeout_at(due, sleep(work)).await.is_err() {
            return answer(504, String::new());
        }
        let mut response = answer(200, body);
        set(&mut response, "x-server-seal", &seal);
        response
    }
}
