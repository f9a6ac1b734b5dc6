//! The clients' side: the listener, what a request must hold, the answers, and `/up`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use mountbend::interface::{Micros, NewRequest, RequestId};
use pinerelay_protocol::request::{Malformed, Rules, BODY_MOST, CLASS, IDEMPOTENCY_KEY, REQUEST_ID};
use pinerelay_succession::connection::{Action, Connection, Event, Stage, Why};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::operator::Front;

use super::body::BadBody;
use super::budget::{Budget, Slot, Ticket};
use super::figures::{self, Figures};
use super::long::{take, Download, Outgoing, Taken, Upload, STUCK};
use super::node::{Node, FAIL_BEFORE};
use super::ports::{Answer, Forward, Payload};
use super::room::Room;
use super::servers::Servers;

/// A head is at most this long. It bounds what a connection may hold in buffers, too.
const HEAD_MOST: usize = 16 * 1024;
/// A new connection without a request by then counts as idle: what comes with it lies there from the start.
const FIRST_REQUEST: Duration = Duration::from_millis(50);
/// Clients use new classes 1.2 s after the node has heard of them at the earliest (the operators' page on retuning).
const FORMER: Duration = Duration::from_millis(1_200);
/// How often connections are looked at for that.
const LOOK: Duration = Duration::from_millis(250);
/// What a client that sends 64 kB a second takes for the part that is taken in ahead.
const AHEAD: Duration = Duration::from_millis(1_030);
/// How long before the client gives up a long request has failed.
const FAIL: Duration = Duration::from_micros(FAIL_BEFORE);
/// When a client is to come back whose long body found no room, in seconds.
const FULL_WAIT: &str = "1";
/// Pause of the listener when accepting fails.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// An answer's body.
type Reply = Outgoing<Download>;

/// The clients' side of a node.
pub struct Clients {
    node: Rc<Node>,
    servers: Rc<Servers>,
    rules: RefCell<Rc<Rules>>,
    /// The rules before the last retuning, and until when they are still heeded.
    former: RefCell<Option<(Rc<Rules>, Instant)>>,
    figures: Rc<Figures>,
    budget: Rc<Budget>,
    room: Room,
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
        room: Room,
        front: &Front,
    ) -> Rc<Self> {
        let clients = Rc::new(Clients {
            node,
            servers,
            rules: RefCell::new(Rc::new(rules)),
            former: RefCell::default(),
            figures,
            budget,
            room,
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
            life: Cell::default(),
            head_since: Cell::new(Some(Instant::now())),
            stuck_since: Cell::default(),
            wire: Wire::default(),
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
                    idle.on(Event::Taken);
                    idle.head_since.set(None);
                    idle.end();
                    idle.wire.begins(&request);
                    let mut response = clients.answer(request, &idle.wire).await;
                    if idle.life.get().told() {
                        last(&mut response);
                    }
                    let ahead = idle.wire.ahead();
                    idle.on(Event::Answered { ahead });
                    idle.head_since.set(ahead.then(Instant::now));
                    idle.begin();
                    Ok::<_, Infallible>(response)
                }
            });
            let stream = Rc::new(RefCell::new(stream));
            let watched = Watched { stream: stream.clone(), idle: idle.clone() };
            let connection = http1::Builder::new()
                .max_buf_size(HEAD_MOST)
                .header_read_timeout(None)
                .serve_connection(TokioIo::new(watched), service);
            let mut connection = std::pin::pin!(connection);
            // Danger: the first request of a new connection may lie unread; only one that stays silent is idle.
            let mut silent = std::pin::pin!(tokio::time::sleep(FIRST_REQUEST));
            let mut new = true;
            loop {
                let event = tokio::select! {
                    biased;
                    _ = connection.as_mut() => return,
                    _ = close.notified() => Event::Told(Why::Room),
                    _ = closing.changed() => Event::Told(Why::Stop),
                    _ = idle.cut.notified() => if idle.stuck() { Event::Stuck } else { Event::Overdue },
                    _ = silent.as_mut(), if new => {
                        new = false;
                        idle.matured();
                        if !idle.used.get() {
                            idle.begin();
                        }
                        continue;
                    }
                };
                match idle.told(event, &stream.borrow()) {
                    None | Some(Action::Look | Action::LastAnswer) => {}
                    Some(Action::Again) => idle.head_since.set(Some(Instant::now())),
                    Some(Action::Cut) => return,
                    // One that has never been used would wait for its first request.
                    Some(Action::Shut) if !idle.used.get() => return,
                    Some(Action::Shut) => connection.as_mut().graceful_shutdown(),
                }
            }
        });
    }

    async fn answer(&self, request: Request<Incoming>, wire: &Wire) -> Response<Reply> {
        // Danger: where a body in chunks ends, the next request may have been read along with it. Its head is not
        // looked at for what this one's was.
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let (mut response, end) = match self.serve(request, wire).await {
            Ok(Answer::Served(body)) => (Response::new(body.into()), false),
            Ok(Answer::Long(body)) => (Response::new(Reply::Long(body)), false),
            Ok(Answer::Refused(wait)) => (refused(wait), false),
            Ok(Answer::Failed) => (plain(StatusCode::BAD_GATEWAY, ""), false),
            Err(Rejected(status, why)) => {
                let mut response = plain(status, why);
                if status == StatusCode::SERVICE_UNAVAILABLE {
                    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(FULL_WAIT));
                }
                (response, status.is_client_error() && status != StatusCode::CONFLICT)
            }
        };
        // Danger: behind a request that can't be trusted may lie another that its sender hid there.
        if end || chunked || self.node.stopping() {
            last(&mut response);
        }
        response
    }

    async fn serve(&self, request: Request<Incoming>, wire: &Wire) -> Result<Answer, Rejected> {
        let now = self.node.clock.now();
        let (head, body) = request.into_parts();
        if head.uri.path() == "/up" {
            return match head.method {
                Method::GET => Ok(Answer::Served(Bytes::from_static(b"up\n"))),
                _ => Err(Rejected(StatusCode::METHOD_NOT_ALLOWED, "GET alone is served here\n")),
            };
        }
        let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
        if let Some(coding) = codings.next() {
            if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                return Err(Rejected(StatusCode::NOT_IMPLEMENTED, "chunked alone is decoded here\n"));
            }
            // Danger: one body with two lengths may hide another request (RFC 9112, 6.1 and 6.3), and of the two
            // headers only this one is left by now.
            if wire.names_length() {
                return Err(bad("a body comes in chunks or with a length, not with both\n"));
            }
        }
        let mut new = self.read(&head, now).map_err(|Malformed(why)| bad(why))?;
        let class = head.headers.get(CLASS).cloned();
        let begun = Instant::now();
        let wait = new.due - now;
        // As much as is taken in ahead may come at the least pace that a client is held to.
        let body_by = begun + self.body_wait + AHEAD;
        let payload = match timeout_at(body_by, take(body, BODY_MOST, None, &self.room)).await {
            Ok(Ok(Taken::Whole(body))) => Payload::Whole(body),
            Ok(Ok(Taken::Part(first, rest))) => {
                let wait = Duration::from_micros(wait);
                let pipe = self.room.pipe();
                let full = pipe.is_none();
                let upload = Upload::new(first, rest, pipe, wait, begun, self.body_wait);
                if full && head.method != Method::GET {
                    // Danger: one long body more, and the process is killed for its memory, with all it holds.
                    upload.drain();
                    self.figures.ended(class_of(&class), figures::Result::Rejected);
                    return Err(Rejected(
                        StatusCode::SERVICE_UNAVAILABLE,
                        "no room for one long body more\n",
                    ));
                }
                Payload::Long(upload)
            }
            Ok(Err(BadBody::TooLong)) => {
                return Err(Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 32 MB\n"));
            }
            Ok(Err(BadBody::Broken | BadBody::Malformed)) => return Err(bad("the body is not whole\n")),
            Err(_) => return Err(Rejected(StatusCode::REQUEST_TIMEOUT, "the body came too late\n")),
        };
        let upload = match &payload {
            Payload::Whole(body) if head.method == Method::GET && !body.is_empty() => {
                return Err(bad("a GET has no body\n"));
            }
            Payload::Whole(_) => None,
            Payload::Long(_) if head.method == Method::GET => return Err(bad("a GET has no body\n")),
            Payload::Long(upload) => Some(upload.clone()),
        };
        // A request's time counts from its last byte.
        new.due = self.node.clock.now() + wait;
        let last_call = self.node.last_call(new.due);
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
            body: payload,
        };
        let id = new.id.clone();
        let pending = self.figures.taken();
        let answer =
            self.node.take(new, forward).map_err(|_| Rejected(StatusCode::CONFLICT, "id in use\n"))?;
        // When the client goes away, this future is dropped with its connection.
        let _gone = Gone { node: &self.node, id: &id };
        let overdue = async {
            match &upload {
                None => sleep_until(last_call).await,
                Some(upload) => sleep_until(upload.ended().await + upload.wait - FAIL).await,
            }
        };
        let answer = tokio::select! {
            biased;
            // Never a refusal where the node gives none: nothing is known of what the attempts have done.
            answer = answer => Ok(answer.unwrap_or(Answer::Failed)),
            _ = overdue => Err(Rejected(StatusCode::GATEWAY_TIMEOUT, "")),
        };
        upload.iter().for_each(|upload| upload.drain());
        let class = class_of(&class);
        if let Ok(Answer::Long(body)) = answer {
            return Ok(Answer::Long(body.counted(self.figures.clone(), class.into(), pending)));
        }
        let result = match &answer {
            Ok(Answer::Served(_) | Answer::Long(_)) => figures::Result::Completed,
            Ok(Answer::Refused(_)) => figures::Result::Rejected,
            Ok(Answer::Failed) | Err(_) => figures::Result::Failed,
        };
        self.figures.ended(class, result);
        answer
    }
}

fn class_of(class: &Option<HeaderValue>) -> &str {
    class.as_ref().and_then(|c| c.to_str().ok()).unwrap_or_default()
}

/// Says with an answer that its connection ends with it.
fn last(response: &mut Response<Reply>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
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

/// One connection: its place in the budget, and what is under way on it.
struct Idle {
    budget: Rc<Budget>,
    close: Rc<Notify>,
    /// Told that a head or the taking of an answer has had its time.
    cut: Notify,
    ticket: Cell<Option<Ticket>>,
    /// So new that its first request may still lie unread.
    fresh: Cell<bool>,
    /// A request has come on it.
    used: Cell<bool>,
    /// Decides when it may be closed.
    life: Cell<Connection>,
    /// Since when a head is under way.
    head_since: Cell<Option<Instant>>,
    /// Since when the client has taken nothing of what lies there for it.
    stuck_since: Cell<Option<Instant>>,
    wire: Wire,
}

/// The heads of a connection's requests as they came. The parser drops a length that stands beside chunks; whether there
/// was one is seen only here.
#[derive(Default)]
struct Wire {
    /// What has come since the last request ended, while it may belong to a head.
    head: RefCell<Vec<u8>>,
    /// Bytes of the present body that are yet to come.
    skip: Cell<u64>,
    /// The head of the present request.
    length: Cell<bool>,
}

impl Wire {
    /// Bytes have come.
    fn read(&self, mut bytes: &[u8]) {
        let skipped = self.skip.get().min(bytes.len() as u64);
        self.skip.set(self.skip.get() - skipped);
        bytes = &bytes[skipped as usize..];
        let mut head = self.head.borrow_mut();
        // The parser reads no further ahead than a head may be long, and one buffer more.
        let room = (2 * HEAD_MOST).saturating_sub(head.len());
        head.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    /// A request's head has come: what is left over is of its body, or of the next one.
    fn begins(&self, request: &Request<Incoming>) {
        let mut bytes = self.head.borrow_mut();
        let blank = |at: usize| bytes[at..].starts_with(b"\r\n\r\n") || bytes[at..].starts_with(b"\n\n");
        let start = bytes.iter().position(|b| !matches!(b, b'\r' | b'\n')).unwrap_or(bytes.len());
        let end = (start..bytes.len()).find(|&at| bytes[at] <= b'\r' && blank(at)).unwrap_or(bytes.len());
        let named = |line: &[u8]| {
            let name = line.split(|&b| b == b':').next().unwrap_or_default();
            name.trim_ascii().eq_ignore_ascii_case(b"content-length")
        };
        if request.headers().contains_key(TRANSFER_ENCODING) {
            self.length.set(bytes[..end].split(|&b| b == b'\n').any(named));
        }
        let body = request.body().size_hint().exact().unwrap_or(u64::MAX);
        let end = (end + if bytes[end..].starts_with(b"\r") { 4 } else { 2 }).min(bytes.len());
        let come = (bytes.len() - end) as u64;
        self.skip.set(body.saturating_sub(come));
        bytes.drain(..end + body.min(come) as usize);
    }

    /// Whether something of a next request has been read.
    fn ahead(&self) -> bool {
        self.skip.get() == 0 && !self.head.borrow().is_empty()
    }

    /// Whether the head of the request named a length.
    fn names_length(&self) -> bool {
        self.length.get()
    }
}

/// A client's socket that notes when something comes while no request is open.
struct Watched {
    /// Shared with who looks what lies unread; never borrowed across a wait.
    stream: Rc<RefCell<TcpStream>>,
    idle: Rc<Idle>,
}

impl AsyncRead for Watched {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf);
        self.idle.wire.read(&buf.filled()[before..]);
        if buf.filled().len() > before && self.idle.life.get().stage() != Stage::InWork {
            self.idle.on(Event::Came);
            if self.idle.head_since.get().is_none() {
                self.idle.head_since.set(Some(Instant::now()));
            }
        }
        polled
    }
}

impl Watched {
    fn wrote(&self, stuck: bool) {
        let since = self.idle.stuck_since.get().filter(|_| stuck);
        self.idle.stuck_since.set(since.or_else(|| stuck.then(Instant::now)));
    }
}

impl AsyncWrite for Watched {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, buf);
        self.wrote(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.wrote(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.borrow().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream.borrow_mut()).poll_shutdown(cx)
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

fn past(since: &Cell<Option<Instant>>, most: Duration) -> bool {
    since.get().is_some_and(|at| at.elapsed() > most)
}

/// Whether something lies in the machine for this connection. Danger: what the runtime knows of that is as old as its
/// last look, and a process may have stood still since.
fn unread(stream: &TcpStream) -> bool {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|some| some > 0)
}

impl Idle {
    fn begin(&self) {
        self.end();
        self.ticket.set(Some(self.budget.idle(self.close.clone(), self.used.get())));
    }

    /// Whether a head has been under way for too long, or the client takes nothing.
    fn overdue(&self, head_wait: Duration) -> bool {
        self.life.get().stage() != Stage::InWork && past(&self.head_since, head_wait) || self.stuck()
    }

    fn stuck(&self) -> bool {
        past(&self.stuck_since, STUCK)
    }

    /// Takes an event that asks for nothing here: whoever hands out the answer sees to it.
    fn on(&self, event: Event) {
        let mut life = self.life.get();
        life.on(event);
        self.life.set(life);
    }

    /// Takes an event, and looks what lies unread if that is wanted.
    fn told(&self, event: Event, stream: &TcpStream) -> Option<Action> {
        let mut life = self.life.get();
        let mut action = life.on(event);
        if action == Some(Action::Look) {
            action = life.on(Event::Looked { unread: unread(stream) });
        }
        self.life.set(life);
        action
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

fn plain(status: StatusCode, why: &'static str) -> Response<Reply> {
    let mut response = Response::new(Reply::from(Bytes::from_static(why.as_bytes())));
    *response.status_mut() = status;
    response
}

/// A refusal; with a time to come back if there is one, in seconds, rounded up to the millisecond.
fn refused(wait: Micros) -> Response<Reply> {
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
