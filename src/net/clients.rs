//! The clients' side: the listener, what a request must hold, the answers, and `/up`.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderName, HeaderValue, CONNECTION, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use mountbend::interface::{CustomerId, Micros, NewRequest, RequestId};
use mountbend::wire::{Env, WireEffect};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{timeout, timeout_at};

use super::budget::{Budget, Slot};
use super::http::{whole, BadBody};
use super::node::{Answer, Node};
use super::servers::{Forward, BODY_MOST, DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID};

const CLASS: HeaderName = HeaderName::from_static("x-class");
const PLAN: HeaderName = HeaderName::from_static("x-tariff");
const WEIGHT: HeaderName = HeaderName::from_static("x-weight");
const RETRY: HeaderName = HeaderName::from_static("x-retry");
/// A head is at most this long.
const HEAD_MOST: usize = 32 * 1024;
/// Ids longer than this, waits and sizes past these, and customers from here on are absurd.
const ID_MOST: usize = 128;
const DEADLINE_MOST_MS: u64 = 3_600_000;
const UNITS_MOST: f64 = 1e6;
const CUSTOMERS: u64 = 1 << 33;
/// A new connection without a request by then counts as idle.
const FIRST_REQUEST: Duration = Duration::from_secs(1);
/// Pause of the listener when accepting fails.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What the settings say of requests.
pub struct Rules {
    classes: Vec<(String, WireEffect)>,
    plans: Vec<String>,
    nodes: u32,
}

impl Rules {
    /// Reads them off the settings; `nodes` is the number of edge nodes.
    pub fn new(env: &Env, nodes: u32) -> Self {
        Rules {
            classes: env.classes.iter().map(|c| (c.name.clone(), c.effect)).collect(),
            plans: env.tariffs.iter().map(|p| p.name.clone()).collect(),
            nodes: nodes.max(1),
        }
    }
}

/// The clients' side of a node.
pub struct Clients {
    node: Rc<Node>,
    rules: Rules,
    budget: Rc<Budget>,
    /// Each change tells the connections open by then to close as soon as they are idle.
    closing: watch::Sender<u32>,
}

impl Clients {
    /// The clients' side of this node.
    pub fn new(node: Rc<Node>, rules: Rules, budget: Rc<Budget>) -> Rc<Self> {
        Rc::new(Clients { node, rules, budget, closing: watch::channel(0).0 })
    }

    /// Tells all open connections to close when idle.
    pub fn close_idle(&self) {
        self.closing.send_modify(|n| *n += 1);
    }

    /// Accepts for ever. Guard: with no descriptor left it waits for one, idle connections being closed
    /// first; what the machine has accepted meanwhile waits in the backlog.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let slot = self.slot().await;
            match listener.accept().await {
                Ok((stream, _)) => self.open(stream, slot),
                Err(error) => {
                    drop(slot);
                    eprintln!("pinerelay: accepting a connection failed: {error}");
                    self.budget.close_an_idle_client();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn slot(&self) -> Slot {
        loop {
            if let Some(slot) = self.budget.for_client() {
                return slot;
            }
            let eased = self.budget.eased();
            if !(self.budget.exhausted() && self.node.servers.close_an_idle()) {
                self.budget.close_an_idle_client();
            }
            eased.await;
        }
    }

    fn open(self: &Rc<Self>, stream: TcpStream, slot: Slot) {
        let clients = self.clone();
        let mut closing = self.closing.subscribe();
        tokio::task::spawn_local(async move {
            let _slot = slot;
            // Without it answers are late, not wrong.
            let _ = stream.set_nodelay(true);
            let close = Rc::new(Notify::new());
            let idle = Rc::new(Idle {
                budget: clients.budget.clone(),
                close: close.clone(),
                ticket: Cell::new(None),
                used: Cell::new(false),
            });
            let service = service_fn(|request| {
                let (clients, idle) = (clients.clone(), idle.clone());
                async move {
                    idle.used.set(true);
                    idle.end();
                    let response = clients.answer(request).await;
                    idle.begin();
                    Ok::<_, Infallible>(response)
                }
            });
            let connection = http1::Builder::new()
                .max_buf_size(HEAD_MOST)
                .header_read_timeout(None)
                .serve_connection(TokioIo::new(stream), service);
            let mut connection = std::pin::pin!(connection);
            // Danger: the first request of a new connection may lie unread; only one that stays silent is idle.
            let mut silent = std::pin::pin!(tokio::time::sleep(FIRST_REQUEST));
            let mut new = true;
            loop {
                tokio::select! {
                    _ = connection.as_mut() => return,
                    _ = close.notified() => break,
                    _ = closing.changed() => break,
                    _ = silent.as_mut(), if new => {
                        new = false;
                        if !idle.used.get() {
                            idle.begin();
                        }
                    }
                }
            }
            connection.as_mut().graceful_shutdown();
            // Danger: half a head would hold the descriptor for ever; no request has been taken with it.
            while timeout(FIRST_REQUEST, connection.as_mut()).await.is_err() {
                if !idle.used.get() || idle.ticket.get().is_some() {
                    return;
                }
            }
        });
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let mut response = match self.serve(request).await {
            Ok(Answer::Served(body)) => Response::new(Full::new(body)),
            Ok(Answer::Refused(wait)) => refused(wait),
            Ok(Answer::Failed) => plain(StatusCode::BAD_GATEWAY, ""),
            Err(Rejected(status, why)) => plain(status, why),
        };
        if self.node.stopping() {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn serve(&self, request: Request<Incoming>) -> Result<Answer, Rejected> {
        let now = self.node.clock.now();
        let (head, body) = request.into_parts();
        if head.uri.path() == "/up" {
            return match head.method {
                Method::GET => Ok(Answer::Served(Bytes::from_static(b"up\n"))),
                _ => Err(Rejected(StatusCode::METHOD_NOT_ALLOWED, "GET alone is served here\n")),
            };
        }
        let new = self.read(&head.method, head.uri.path(), head.uri.query(), &head.headers, now)?;
        let last_call = self.node.last_call(new.due);
        let body = match timeout_at(last_call, whole(body, BODY_MOST)).await {
            Ok(Ok(body)) => body,
            Ok(Err(BadBody::TooLong)) => {
                return Err(Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 64 KiB\n"));
            }
            Ok(Err(BadBody::Broken)) => return Err(bad("the body is not whole\n")),
            Err(_) => return Err(Rejected(StatusCode::REQUEST_TIMEOUT, "the body came too late\n")),
        };
        let mut headers = head.headers;
        let forward = Forward {
            method: head.method,
            uri: head.uri,
            id: headers.remove(REQUEST_ID).ok_or(bad("no id\n"))?,
            key: headers.remove(IDEMPOTENCY_KEY),
            body,
        };
        let id = new.id.clone();
        let answer =
            self.node.take(new, forward).map_err(|_| Rejected(StatusCode::CONFLICT, "id in use\n"))?;
        // When the client goes away, this future is dropped with its connection.
        let _gone = Gone { node: &self.node, id: &id };
        match timeout_at(last_call, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            // Never a refusal: nothing is known of what the attempts have done.
            Ok(Err(_)) => Ok(Answer::Failed),
            Err(_) => Err(Rejected(StatusCode::GATEWAY_TIMEOUT, "")),
        }
    }

    /// Reads what the decisions have to know. Danger: what is malformed never reaches them.
    fn read(
        &self,
        method: &Method,
        path: &str,
        query: Option<&str>,
        headers: &HeaderMap,
        now: Micros,
    ) -> Result<NewRequest, Rejected> {
        let text = |name: &HeaderName| headers.get(name).and_then(|v| v.to_str().ok());
        let id =
            text(&REQUEST_ID).filter(|id| !id.is_empty() && id.len() <= ID_MOST).ok_or(bad("no id\n"))?;
        let name = text(&CLASS).ok_or(bad("no class\n"))?;
        let class = self.rules.classes.iter().position(|(n, _)| n == name).ok_or(bad("no such class\n"))?;
        if path.split('/').nth(1) != Some(name) {
            return Err(bad("the path is not the class's\n"));
        }
        let keyed = headers.contains_key(IDEMPOTENCY_KEY);
        let fits = match self.rules.classes[class].1 {
            WireEffect::Safe => *method == Method::GET,
            WireEffect::Keyed => *method == Method::POST && keyed,
            WireEffect::Unsafe => *method == Method::POST && !keyed,
        };
        if !fits {
            return Err(bad("method and key are not the class's\n"));
        }
        let plan = text(&PLAN).and_then(|name| self.rules.plans.iter().position(|n| n == name));
        let plan = plan.ok_or(bad("no such plan\n"))?;
        let customer = query
            .and_then(|q| q.split('&').find_map(|pair| pair.strip_prefix("key=")))
            .filter(|k| k.len() == 16 && k.bytes().all(|b| b.is_ascii_hexdigit()))
            .and_then(|k| u64::from_str_radix(k, 16).ok())
            .filter(|&k| k < CUSTOMERS)
            .ok_or(bad("no key of 16 hex digits\n"))?;
        let wait = text(&DEADLINE).and_then(|v| v.parse::<u64>().ok()).filter(|&ms| ms <= DEADLINE_MOST_MS);
        let wait = wait.ok_or(bad("no deadline in milliseconds\n"))?;
        let (units, spread, first_node) =
            text(&WEIGHT).and_then(|v| self.weight(v)).ok_or(bad("no weight\n"))?;
        Ok(NewRequest {
            id: RequestId::from(id),
            customer: CustomerId(customer),
            class,
            plan,
            units,
            first_node,
            spread,
            marked_retry: text(&RETRY) == Some("1"),
            due: now + wait * 1000,
        })
    }

    fn weight(&self, text: &str) -> Option<(f64, u32, u32)> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for pair in text.split(',') {
            match pair.trim().split_once('=')? {
                ("units", v) => units = v.parse::<f64>().ok(),
                ("spread", v) => spread = v.parse::<u32>().ok(),
                ("first", v) => first = v.parse::<u32>().ok(),
                _ => {}
            }
        }
        let units = units.filter(|u| u.is_finite() && *u > 0.0 && *u <= UNITS_MOST)?;
        let spread = spread.filter(|s| (1..=self.rules.nodes).contains(s))?;
        Some((units, spread, first.filter(|&f| f < self.rules.nodes)?))
    }
}

/// Tells the node that a request's client waits no longer, when dropped; once it is answered that is nothing.
struct Gone<'a> {
    node: &'a Rc<Node>,
    id: &'a RequestId,
}

impl Drop for Gone<'_> {
    fn drop(&mut self) {
        self.node.gone(self.id);
    }
}

/// Whether a connection stands idle.
struct Idle {
    budget: Rc<Budget>,
    close: Rc<Notify>,
    ticket: Cell<Option<u64>>,
    /// A request has come on it.
    used: Cell<bool>,
}

impl Idle {
    fn begin(&self) {
        self.end();
        self.ticket.set(Some(self.budget.idle(self.close.clone())));
    }

    fn end(&self) {
        if let Some(ticket) = self.ticket.take() {
            self.budget.busy(ticket);
        }
    }
}

impl Drop for Idle {
    fn drop(&mut self) {
        self.end();
    }
}

/// An answer to what is no proper request, or had no answer in time.
struct Rejected(StatusCode, &'static str);

fn bad(why: &'static str) -> Rejected {
    Rejected(StatusCode::BAD_REQUEST, why)
}

fn plain(status: StatusCode, why: &'static str) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from_static(why.as_bytes())));
    *response.status_mut() = status;
    response
}

/// A refusal; with a time to come back if there is one, in seconds, rounded up to the millisecond.
fn refused(wait: Micros) -> Response<Full<Bytes>> {
    if wait == 0 {
        return plain(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    let mut response = plain(StatusCode::TOO_MANY_REQUESTS, "");
    let ms = wait.div_ceil(1000);
    if let Ok(value) = HeaderValue::from_str(&format!("{}.{:03}", ms / 1000, ms % 1000)) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
