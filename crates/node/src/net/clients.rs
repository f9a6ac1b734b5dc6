//! The clients' side: what is accepted, what a request must hold, the answers, and `/up`.

mod connection;
pub mod listen;
mod wire;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONNECTION, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use mountbend::interface::{Micros, NewRequest, Reason, RequestId};
use pinerelay_protocol::request::{Malformed, Rules, BODY_MOST, CLASS, IDEMPOTENCY_KEY, REQUEST_ID};
use pinerelay_succession::connection::{Action, Event, Why};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::net::body::BadBody;
use crate::net::budget::{Budget, Slot};
use crate::net::long::{take, Download, Outgoing, Taken, Upload};
use crate::net::node::{Node, FAIL_BEFORE};
use crate::net::operators::figures::{self, Figures};
use crate::net::ports::{Answer, Forward, Payload};
use crate::net::room::Room;
use crate::net::servers::Servers;
use crate::net::vigil::TICK;
use crate::net::Common;
use crate::operator::Front;

use connection::{Idle, Watched};
use listen::Gate;
use wire::Wire;

/// A head is at most this long. It bounds what a connection may hold in buffers, too.
const HEAD_MOST: usize = 16 * 1024;
/// A new connection without a request by then counts as idle: what comes with it lies there from the start.
const FIRST_REQUEST: Duration = Duration::from_millis(50);
/// Clients use new classes 1.2 s after the node has heard of them at the earliest (the operators' page on retuning).
const FORMER: Duration = Duration::from_millis(1_200);
/// What a client that sends 64 kB a second takes for the part that is taken in ahead.
const AHEAD: Duration = Duration::from_millis(1_030);
/// How long before the client gives up a long request has failed.
const FAIL: Duration = Duration::from_micros(FAIL_BEFORE);
/// When a client is to come back whose long body found no room, in seconds.
const FULL_WAIT: &str = "1";
/// How long a process without a free place leaves who comes to another that accepts too. Then it closes an idle connection
/// for him all the same: the other may have no place either.
const ANOTHERS_TURN: Duration = Duration::from_millis(100);
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
    /// Another process accepts from the same socket.
    beside: Cell<bool>,
}

impl Clients {
    /// The clients' side of this node.
    pub fn new(
        node: Rc<Node>,
        servers: Rc<Servers>,
        rules: Rules,
        figures: Rc<Figures>,
        Common { budget, room, vigil }: Common,
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
            beside: Cell::default(),
        });
        let weak = Rc::downgrade(&clients);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(TICK).await;
                vigil.tick().await;
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

    /// Accepts while the gate is open. Guard: with no descriptor left the last that was accepted waits for one, idle
    /// connections being closed first; what the machine has accepted meanwhile waits in the backlog. A socket of this process's own (`handed_on`
    /// false) is emptied once the gate is shut, and closed: nobody else would meet what lies there.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, gate: Rc<Gate>, handed_on: bool) {
        loop {
            gate.is(true).await;
            self.accept_while_open(&listener, &gate).await;
            if !handed_on {
                break;
            }
            gate.heed();
        }
        // Danger: what the runtime knows of the backlog is as old as its last look.
        if let Ok(listener) = listener.into_std() {
            while let Ok((stream, _)) = listener.accept() {
                let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                if let (Ok(stream), Some(slot)) = (stream, self.budget.for_client()) {
                    self.open(stream, slot);
                }
            }
        }
        gate.heed();
    }

    /// Danger: a place made ahead of need is made by closing a connection whose client comes again, and needs it. So one is
    /// accepted first, with a descriptor that is kept back for this, and then finds or is made its place.
    async fn accept_while_open(self: &Rc<Self>, listener: &TcpListener, gate: &Gate) {
        let mut shut = std::pin::pin!(gate.is(false));
        loop {
            tokio::select! {
                biased;
                () = shut.as_mut() => return,
                () = self.budget.client_finds_slot() => {}
                () = tokio::time::sleep(ANOTHERS_TURN), if self.beside.get() => {}
                () = std::future::ready(()), if !self.beside.get() => {}
            }
            let accepted = tokio::select! {
                biased;
                () = shut.as_mut() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.open(stream, self.slot().await),
                Err(error) => {
                    eprintln!("pinerelay: accepting a connection failed: {error}");
                    self.budget.close_an_idle_client();
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Whether another process accepts from the same socket.
    pub fn beside(&self, another: bool) {
        self.beside.set(another);
    }

    async fn slot(&self) -> Slot {
        let close_one =
            || self.budget.exhausted() && self.servers.close_an_idle() || self.budget.close_an_idle_client();
        self.budget.room(|| self.budget.for_client(), close_one).await
    }

    fn open(self: &Rc<Self>, stream: TcpStream, slot: Slot) {
        let idle = Idle::new(self.budget.clone());
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
                    idle.taken(&request);
                    let mut response = clients.answer(request, &idle.wire).await;
                    if idle.answered() {
                        last(&mut response);
                    }
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
                    _ = idle.close.notified() => Event::Told(Why::Room),
                    _ = closing.changed() => Event::Told(Why::Stop),
                    _ = idle.cut.notified() => idle.late(),
                    _ = silent.as_mut(), if new => {
                        new = false;
                        idle.settled();
                        continue;
                    }
                };
                match idle.told(event, &stream.borrow()) {
                    None | Some(Action::Look | Action::LastAnswer) => {}
                    Some(Action::Again) => idle.again(),
                    Some(Action::Cut) => return,
                    // One that has never been used would wait for its first request.
                    Some(Action::Shut) if !idle.used() => return,
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
            Ok(Answer::Refused(wait, _)) => (refused(wait), false),
            Ok(Answer::Failed(_)) => (plain(StatusCode::BAD_GATEWAY, ""), false),
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
            answer = answer => Ok(answer.unwrap_or(Answer::Failed(Reason::TimedOut))),
            _ = overdue => Err(Rejected(StatusCode::GATEWAY_TIMEOUT, "")),
        };
        upload.iter().for_each(|upload| upload.drain());
        let class = class_of(&class);
        if let Ok(Answer::Long(body)) = answer {
            return Ok(Answer::Long(body.counted(self.figures.clone(), class.into(), pending)));
        }
        let (result, why) = match &answer {
            Ok(Answer::Served(_) | Answer::Long(_)) => (figures::Result::Completed, None),
            Ok(Answer::Refused(_, why)) => (figures::Result::Rejected, Some(*why)),
            Ok(Answer::Failed(why)) => (figures::Result::Failed, Some(*why)),
            Err(_) => (figures::Result::Failed, Some(Reason::TimedOut)),
        };
        self.figures.ended(class, result);
        why.into_iter().for_each(|why| self.figures.unserved(class, why));
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
