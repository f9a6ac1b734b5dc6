//! The clients' side: the listener, what a request must hold, the answers, and `/up`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::str::FromStr;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderName, HeaderValue, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use mountbend::interface::{CustomerId, Micros, NewRequest, RequestId};
use mountbend::wire::{Env, WireEffect};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{timeout, timeout_at, Instant};

use super::budget::{Budget, Slot, Ticket};
use super::http::{whole, BadBody};
use super::node::{Answer, Node};
use super::servers::{Forward, BODY_MOST, DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID};

const CLASS: HeaderName = HeaderName::from_static("x-class");
const PLAN: HeaderName = HeaderName::from_static("x-tariff");
const WEIGHT: HeaderName = HeaderName::from_static("x-weight");
const RETRY: HeaderName = HeaderName::from_static("x-retry");
/// A head is at most this long. It bounds what a connection may hold in buffers, too.
const HEAD_MOST: usize = 16 * 1024;
/// Ids longer than this, waits and sizes past these, and customers from here on are absurd.
const ID_MOST: usize = 128;
const DEADLINE_MOST_MS: u64 = 3_600_000;
const CUSTOMERS: u64 = 1 << 33;
/// A new connection without a request by then counts as idle: what comes with it lies there from the start.
const FIRST_REQUEST: Duration = Duration::from_millis(50);
/// How long a head may take, from connecting or from its first byte, and then a body.
const HEAD_WAIT: Duration = Duration::from_millis(1_500);
const BODY_WAIT: Duration = Duration::from_millis(1_500);
/// How often connections are looked at for that.
const LOOK: Duration = Duration::from_millis(250);
/// How long a connection that is told to close may still take to answer what crosses.
const CLOSE_WAIT: Duration = Duration::from_secs(1);
/// Pause of the listener when accepting fails.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// What the settings say of requests.
pub struct Rules {
    classes: Vec<(String, WireEffect)>,
    plans: Vec<String>,
    nodes: u32,
    largest_units: f64,
}

impl Rules {
    /// Reads them off the settings.
    pub fn new(env: &Env) -> Self {
        Rules {
            classes: env.classes.iter().map(|c| (c.name.clone(), c.effect)).collect(),
            plans: env.tariffs.iter().map(|p| p.name.clone()).collect(),
            nodes: env.n_instances.max(1),
            largest_units: Some(env.largest_units()).filter(|&most| most > 0.0).unwrap_or(f64::MAX),
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
    /// The open connections.
    open: RefCell<BTreeMap<u64, Rc<Idle>>>,
    opened: Cell<u64>,
}

impl Clients {
    /// The clients' side of this node.
    pub fn new(node: Rc<Node>, rules: Rules, budget: Rc<Budget>) -> Rc<Self> {
        let clients = Rc::new(Clients {
            node,
            rules,
            budget,
            closing: watch::channel(0).0,
            open: RefCell::default(),
            opened: Cell::default(),
        });
        let weak = Rc::downgrade(&clients);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(LOOK).await;
                let Some(clients) = weak.upgrade() else { return };
                let open = clients.open.borrow();
                open.values().filter(|idle| idle.overdue()).for_each(|idle| idle.cut.notify_one());
            }
        });
        clients
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
        let close_one = || {
            self.budget.exhausted() && self.node.servers.close_an_idle() || self.budget.close_an_idle_client()
        };
        self.budget.room(|| self.budget.for_client(), close_one).await
    }

    fn open(self: &Rc<Self>, stream: TcpStream, slot: Slot) {
        // Counted as new from here on, and not from when its task first runs.
        self.budget.fresh();
        let close = Rc::new(Notify::new());
        let idle = Rc::new(Idle {
            budget: self.budget.clone(),
            close: close.clone(),
            cut: Notify::new(),
            ticket: Cell::new(None),
            fresh: Cell::new(true),
            used: Cell::new(false),
            busy: Cell::new(false),
            head_since: Cell::new(Some(Instant::now())),
        });
        let clients = self.clone();
        let mut closing = self.closing.subscribe();
        tokio::task::spawn_local(async move {
            let _slot = slot;
            let _listed = Listed::new(&clients, &idle);
            // Without it answers are late, not wrong.
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| {
                let (clients, idle) = (clients.clone(), idle.clone());
                async move {
                    idle.matured();
                    idle.used.set(true);
                    idle.busy.set(true);
                    idle.head_since.set(None);
                    idle.end();
                    let response = clients.answer(request).await;
                    idle.busy.set(false);
                    idle.begin();
                    Ok::<_, Infallible>(response)
                }
            });
            let connection = http1::Builder::new()
                .max_buf_size(HEAD_MOST)
                .header_read_timeout(None)
                .serve_connection(TokioIo::new(Watched { stream, idle: idle.clone() }), service);
            let mut connection = std::pin::pin!(connection);
            // Danger: the first request of a new connection may lie unread; only one that stays silent is idle.
            let mut silent = std::pin::pin!(tokio::time::sleep(FIRST_REQUEST));
            let mut new = true;
            loop {
                tokio::select! {
                    _ = connection.as_mut() => return,
                    _ = close.notified() => break,
                    // Danger: half a head, or none, would hold the descriptor for ever. No request has been taken.
                    _ = idle.cut.notified() => return,
                    _ = closing.changed() => break,
                    _ = silent.as_mut(), if new => {
                        new = false;
                        idle.matured();
                        if !idle.used.get() {
                            idle.begin();
                        }
                    }
                }
            }
            connection.as_mut().graceful_shutdown();
            if !idle.used.get() && !idle.busy.get() {
                return;
            }
            while timeout(CLOSE_WAIT, connection.as_mut()).await.is_err() {
                if idle.ticket.get().is_some() {
                    return;
                }
            }
        });
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (mut response, last) = match self.serve(request).await {
            Ok(Answer::Served(body)) => (Response::new(Full::new(body)), false),
            Ok(Answer::Refused(wait)) => (refused(wait), false),
            Ok(Answer::Failed) => (plain(StatusCode::BAD_GATEWAY, ""), false),
            Err(Rejected(status, why)) => {
                (plain(status, why), status.is_client_error() && status != StatusCode::CONFLICT)
            }
        };
        // Danger: behind a request that can't be trusted may lie another that its sender hid there.
        if last || self.node.stopping() {
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
        // Danger: of a request with a length as well the length is gone by now; a body in chunks may hide another
        // request. The protocol's bodies have a length.
        if head.headers.contains_key(TRANSFER_ENCODING) {
            return Err(bad("bodies come with a length, in no transfer encoding\n"));
        }
        let new = self.read(&head.method, head.uri.path(), head.uri.query(), &head.headers, now)?;
        let last_call = self.node.last_call(new.due);
        if head.method == Method::GET && !body.is_end_stream() {
            return Err(bad("a GET has no body\n"));
        }
        let body_by = last_call.min(Instant::now() + BODY_WAIT);
        let body = match timeout_at(body_by, whole(body, BODY_MOST)).await {
            Ok(Ok(body)) => body,
            Ok(Err(BadBody::TooLong)) => {
                return Err(Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 64 KiB\n"));
            }
            Ok(Err(BadBody::Broken | BadBody::Malformed)) => return Err(bad("the body is not whole\n")),
            Err(_) => return Err(Rejected(StatusCode::REQUEST_TIMEOUT, "the body came too late\n")),
        };
        let mut headers = head.headers;
        // A request in absolute form goes on in origin form.
        let uri = match head.uri.scheme() {
            None => head.uri,
            Some(_) => head.uri.path_and_query().cloned().map(Uri::from).ok_or(bad("no path\n"))?,
        };
        let forward = Forward {
            method: head.method,
            uri,
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
        let named = [&REQUEST_ID, &CLASS, &PLAN, &DEADLINE, &WEIGHT, &RETRY, &IDEMPOTENCY_KEY];
        if named.iter().any(|name| headers.get_all(*name).iter().nth(1).is_some()) {
            return Err(bad("a header comes twice\n"));
        }
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
        let mut keys = query.unwrap_or_default().split('&').filter_map(|pair| pair.strip_prefix("key="));
        let customer = (keys.next())
            .filter(|_| keys.next().is_none())
            .filter(|k| k.len() == 16 && k.bytes().all(|b| b.is_ascii_hexdigit()))
            .and_then(|k| u64::from_str_radix(k, 16).ok())
            .filter(|&k| k < CUSTOMERS)
            .ok_or(bad("no key of 16 hex digits\n"))?;
        let wait = text(&DEADLINE).and_then(whole_number::<u64>).filter(|&ms| ms <= DEADLINE_MOST_MS);
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
            // A part that comes twice says nothing.
            let again = match pair.trim().split_once('=')? {
                ("units", v) => units.replace(number(v)?).is_some(),
                ("spread", v) => spread.replace(whole_number(v)?).is_some(),
                ("first", v) => first.replace(whole_number(v)?).is_some(),
                _ => false,
            };
            if again {
                return None;
            }
        }
        let units = units.filter(|u| *u > 0.0 && *u <= self.rules.largest_units)?;
        let spread = spread.filter(|s| (1..=self.rules.nodes).contains(s))?;
        Some((units, spread, first.filter(|&f| f < self.rules.nodes)?))
    }
}

/// A whole number in digits alone.
fn whole_number<T: FromStr>(text: &str) -> Option<T> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// A number in decimal notation, with no sign or exponent.
fn number(text: &str) -> Option<f64> {
    text.bytes().all(|b| b.is_ascii_digit() || b == b'.').then(|| text.parse().ok()).flatten()
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
    /// Told to end at once.
    cut: Notify,
    ticket: Cell<Option<Ticket>>,
    /// So new that its first request may still lie unread.
    fresh: Cell<bool>,
    /// A request has come on it, and is open.
    used: Cell<bool>,
    busy: Cell<bool>,
    /// Since when a head is under way.
    head_since: Cell<Option<Instant>>,
}

/// A client's socket that notes when something comes while no request is open.
struct Watched {
    stream: TcpStream,
    idle: Rc<Idle>,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before && !self.idle.busy.get() && self.idle.head_since.get().is_none() {
            self.idle.head_since.set(Some(Instant::now()));
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection's place on the list of open ones.
struct Listed {
    clients: Rc<Clients>,
    number: u64,
}

impl Listed {
    fn new(clients: &Rc<Clients>, idle: &Rc<Idle>) -> Self {
        let number = clients.opened.get();
        clients.opened.set(number + 1);
        clients.open.borrow_mut().insert(number, idle.clone());
        Listed { clients: clients.clone(), number }
    }
}

impl Drop for Listed {
    fn drop(&mut self) {
        self.clients.open.borrow_mut().remove(&self.number);
    }
}

impl Idle {
    fn begin(&self) {
        self.end();
        self.ticket.set(Some(self.budget.idle(self.close.clone(), self.used.get())));
    }

    /// Whether a head has been under way for too long.
    fn overdue(&self) -> bool {
        !self.busy.get() && self.head_since.get().is_some_and(|since| since.elapsed() > HEAD_WAIT)
    }

    fn matured(&self) {
        if self.fresh.replace(false) {
            self.budget.matured();
        }
    }

    fn end(&self) {
        if let Some(ticket) = self.ticket.take() {
            self.budget.busy(ticket);
        }
    }
}

impl Drop for Idle {
    fn drop(&mut self) {
        self.matured();
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
