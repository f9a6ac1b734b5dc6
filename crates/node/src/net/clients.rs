//! The clients' side: the listener, what a request must hold, the answers, and `/up`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use mountbend::interface::{Micros, NewRequest, RequestId};
use pinerelay_protocol::request::{Malformed, Rules, BODY_MOST, CLASS, IDEMPOTENCY_KEY, REQUEST_ID};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{timeout, timeout_at, Instant};

use crate::operator::Front;

use super::budget::{Budget, Slot, Ticket};
use super::figures::{self, Figures};
use super::http::{whole, BadBody};
use super::node::Node;
use super::ports::{Answer, Forward};
use super::servers::Servers;

/// A head is at most this long. It bounds what a connection may hold in buffers, too.
const HEAD_MOST: usize = 16 * 1024;
/// A new connection without a request by then counts as idle: what comes with it lies there from the start.
const FIRST_REQUEST: Duration = Duration::from_millis(50);
/// Clients use new classes 1.2 s after the node has heard of them at the earliest (the operators' page on retuning).
const FORMER: Duration = Duration::from_millis(1_200);
/// How often connections are looked at for that.
const LOOK: Duration = Duration::from_millis(250);
/// How long a connection that is told to close may still take to answer what crosses.
const CLOSE_WAIT: Duration = Duration::from_secs(1);
/// Pause of the listener when accepting fails.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The clients' side of a node.
pub struct Clients {
    node: Rc<Node>,
    servers: Rc<Servers>,
    rules: RefCell<Rc<Rules>>,
    /// The rules before the last retuning, and until when they are still heeded.
    former: RefCell<Option<(Rc<Rules>, Instant)>>,
    figures: Rc<Figures>,
    budget: Rc<Budget>,
    /// How long a head may take, from connecting or from its first byte, and then a body.
    head_wait: Duration,
    body_wait: Duration,
    /// Each change tells the connections open by then to close as soon as they are idle.
    closing: watch::Sender<u32>,
    /// The open connections.
    open: RefCell<BTreeMap<u64, Rc<Idle>>>,
    opened: Cell<u64>,
}

impl Clients {
    /// The clients' side of this node.
    pub fn new(
        node: Rc<Node>,
        servers: Rc<Servers>,
        rules: Rules,
        budget: Rc<Budget>,
        figures: Rc<Figures>,
        front: &Front,
    ) -> Rc<Self> {
        let clients = Rc::new(Clients {
            node,
            servers,
            rules: RefCell::new(Rc::new(rules)),
            former: RefCell::default(),
            figures,
            budget,
            head_wait: front.head_wait.0,
            body_wait: front.body_wait.0,
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
                open.values()
                    .filter(|idle| idle.overdue(clients.head_wait))
                    .for_each(|idle| idle.cut.notify_one());
            }
        });
        clients
    }

    /// Reads requests by new rules. Clients learn of them later than the node does: what fits the old ones alone is
    /// taken by these for a moment.
    pub fn retune(&self, rules: Rules) {
        let old = self.rules.replace(Rc::new(rules));
        self.former.replace(Some((old, Instant::now() + FORMER)));
    }

    /// What the decisions have to know of a request, and its class's name.
    fn read(&self, head: &request::Parts, now: Micros) -> Result<NewRequest, Malformed> {
        let read =
            |rules: &Rules| rules.read(&head.method, head.uri.path(), head.uri.query(), &head.headers, now);
        read(&self.rules.borrow()).or_else(|malformed| {
            let mut former = self.former.borrow_mut();
            if former.as_ref().is_some_and(|(_, until)| Instant::now() > *until) {
                *former = None;
            }
            former.as_ref().and_then(|(rules, _)| read(rules).ok()).ok_or(malformed)
        })
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
        let close_one =
            || self.budget.exhausted() && self.servers.close_an_idle() || self.budget.close_an_idle_client();
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
        let new = self.read(&head, now).map_err(|Malformed(why)| bad(why))?;
        let class = head.headers.get(CLASS).cloned();
        let last_call = self.node.last_call(new.due);
        if head.method == Method::GET && !body.is_end_stream() {
            return Err(bad("a GET has no body\n"));
        }
        let body_by = last_call.min(Instant::now() + self.body_wait);
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
        let _pending = self.figures.taken();
        let answer =
            self.node.take(new, forward).map_err(|_| Rejected(StatusCode::CONFLICT, "id in use\n"))?;
        // When the client goes away, this future is dropped with its connection.
        let _gone = Gone { node: &self.node, id: &id };
        let answer = match timeout_at(last_call, answer).await {
            Ok(Ok(answer)) => Ok(answer),
            // Never a refusal: nothing is known of what the attempts have done.
            Ok(Err(_)) => Ok(Answer::Failed),
            Err(_) => Err(Rejected(StatusCode::GATEWAY_TIMEOUT, "")),
        };
        let result = match &answer {
            Ok(Answer::Served(_)) => figures::Result::Completed,
            Ok(Answer::Refused(_)) => figures::Result::Rejected,
            Ok(Answer::Failed) | Err(_) => figures::Result::Failed,
        };
        self.figures.ended(class.as_ref().and_then(|c| c.to_str().ok()).unwrap_or_default(), result);
        answer
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
    fn overdue(&self, head_wait: Duration) -> bool {
        !self.busy.get() && self.head_since.get().is_some_and(|since| since.elapsed() > head_wait)
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
