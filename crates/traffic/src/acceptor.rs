//! The acceptor of client connections: accepts them within the descriptor budget, serves them, and closes
//! idle ones.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use pinerelay_succession::connection::{Action, Event, Why};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::budget::{Budget, Slot};
use crate::connection::{ClientState, ClientStream};
use crate::listen::Gate;
use crate::raw_head::RawHead;
use crate::watchdog::TICK;
use crate::Common;

/// Maximum length of a request head. It also bounds what a connection may buffer.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// A new connection on which no request has arrived for this long counts as idle: a request sent together with
/// the connection arrives with it.
const FIRST_REQUEST: Duration = Duration::from_millis(50);
/// How long a process without a free slot leaves a new connection to the other process that accepts on the
/// same socket. After that it accepts and closes an idle connection for it: the other may have no free slot
/// either.
const OTHER_PROCESS_TURN: Duration = Duration::from_millis(100);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers the requests of clients.
pub trait Handler: 'static {
    /// The body of an answer.
    type Reply: Body<Data = Bytes, Error = io::Error> + 'static;
    /// Answers one request. If the client disconnects first, the future is dropped.
    fn answer(
        &self,
        request: Request<Incoming>,
        wire: &RawHead,
    ) -> impl Future<Output = Response<Self::Reply>>;
    /// Closes an idle upstream connection to free its descriptor; false if there is none.
    fn close_an_idle(&self) -> bool;
    /// Maximum time to receive a request head, from connecting or from its first byte.
    fn head_wait(&self) -> Duration;
    /// Idle time-out of a connection; none: it stays open until its slot is needed.
    fn idle_wait(&self) -> Option<Duration>;
}

/// The client connections of a process.
pub struct Acceptor<H> {
    handler: Rc<H>,
    budget: Rc<Budget>,
    /// Each change asks the connections open at that time to close as soon as they are idle.
    closing: watch::Sender<u32>,
    /// The open connections by number.
    open: RefCell<BTreeMap<u64, Rc<ClientState>>>,
    /// The number of the next connection.
    opened: Cell<u64>,
    /// Whether another process accepts on the same socket.
    is_shared: Cell<bool>,
}

impl<H: Handler> Acceptor<H> {
    /// Creates an acceptor without connections, and spawns a local task that enforces the time-outs at each
    /// watchdog tick until the acceptor is dropped.
    pub fn new(handler: Rc<H>, Common { budget, watchdog, .. }: Common) -> Rc<Self> {
        let acceptor = Rc::new(Acceptor {
            handler,
            budget,
            closing: watch::channel(0).0,
            open: RefCell::default(),
            opened: Cell::default(),
            is_shared: Cell::default(),
        });
        let weak = Rc::downgrade(&acceptor);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(TICK).await;
                watchdog.tick().await;
                let Some(acceptor) = weak.upgrade() else { return };
                let (head, idle_for) = (acceptor.handler.head_wait(), acceptor.handler.idle_wait());
                for state in acceptor.open.borrow().values() {
                    if state.overdue(head) {
                        state.cut.notify_one();
                    } else if idle_for.is_some_and(|limit| state.idle_for(limit)) {
                        state.close.notify_one();
                    }
                }
            }
        });
        acceptor
    }

    /// Asks all open connections to close when idle.
    pub fn close_idle(&self) {
        self.closing.send_modify(|n| *n += 1);
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.open.borrow().len()
    }

    /// Accepts while the gate is open. Without a free descriptor, the connection accepted last waits for one
    /// while idle connections are closed; later ones wait in the kernel's backlog. If the socket is this
    /// process's own (`handed_on` is false), the backlog is accepted once the gate is shut and the socket is
    /// closed, as no other process would accept what is queued there.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, gate: Rc<Gate>, handed_on: bool) {
        loop {
            gate.wait_until(true).await;
            self.accept_while_open(&listener, &gate).await;
            if !handed_on {
                break;
            }
            gate.acknowledge();
        }
        // Danger: the runtime's readiness of the listener is as old as its last poll, so the socket itself is
        // asked.
        if let Ok(listener) = listener.into_std() {
            while let Ok((stream, _)) = listener.accept() {
                let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                if let (Ok(stream), Some(slot)) = (stream, self.budget.for_client()) {
                    self.open(stream, slot);
                }
            }
        }
        gate.acknowledge();
    }

    /// Danger: freeing a slot ahead of need closes a connection whose client may come back and need one. So a
    /// connection is accepted first, with a descriptor reserved for this, and then gets a free slot or one
    /// that is freed for it.
    async fn accept_while_open(self: &Rc<Self>, listener: &TcpListener, gate: &Gate) {
        let mut shut = std::pin::pin!(gate.wait_until(false));
        loop {
            tokio::select! {
                biased;
                () = shut.as_mut() => return,
                () = self.budget.client_finds_slot() => {}
                () = tokio::time::sleep(OTHER_PROCESS_TURN), if self.is_shared.get() => {}
                () = std::future::ready(()), if !self.is_shared.get() => {}
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

    /// Sets whether another process accepts on the same socket.
    pub fn set_shared(&self, another: bool) {
        self.is_shared.set(another);
    }

    /// Waits for a slot for a client connection. With none free, idle connections are closed: client connections,
    /// or, if all slots are used, upstream connections first.
    async fn slot(&self) -> Slot {
        let close_one =
            || self.budget.exhausted() && self.handler.close_an_idle() || self.budget.close_an_idle_client();
        self.budget.acquire(|| self.budget.for_client(), close_one).await
    }

    /// Serves a connection in a task of its own until it is closed.
    fn open(self: &Rc<Self>, stream: TcpStream, slot: Slot) {
        let state = ClientState::new(self.budget.clone());
        let acceptor = self.clone();
        let mut closing = self.closing.subscribe();
        tokio::task::spawn_local(async move {
            let _slot = slot;
            let _open_entry = OpenEntry::new(&acceptor, &state);
            // Without TCP_NODELAY answers are delayed, not wrong.
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| {
                let (handler, state) = (acceptor.handler.clone(), state.clone());
                async move {
                    state.request_received(&request);
                    let mut response = handler.answer(request, &state.wire).await;
                    if state.answer_handed_over() {
                        mark_last_answer(&mut response);
                    }
                    Ok::<_, Infallible>(response)
                }
            });
            let stream = Rc::new(RefCell::new(stream));
            let watched = ClientStream { stream: stream.clone(), state: state.clone() };
            let connection = http1::Builder::new()
                .max_buf_size(MAX_HEAD_BYTES)
                .header_read_timeout(None)
                .serve_connection(TokioIo::new(watched), service);
            let mut connection = std::pin::pin!(connection);
            // Danger: the first request of a new connection may be unread; only one that stays silent is
            // idle.
            let mut first_request_wait = std::pin::pin!(tokio::time::sleep(FIRST_REQUEST));
            let mut new = true;
            loop {
                let event = tokio::select! {
                    biased;
                    _ = connection.as_mut() => return,
                    _ = state.close.notified() => Event::Told(Why::Room),
                    _ = closing.changed() => Event::Told(Why::Stop),
                    _ = state.cut.notified() => state.overdue_event(),
                    _ = first_request_wait.as_mut(), if new => {
                        new = false;
                        state.first_request_wait_over();
                        continue;
                    }
                };
                match state.handle(event, &stream.borrow()) {
                    None | Some(Action::Look | Action::LastAnswer) => {}
                    Some(Action::Again) => state.restart_head_timeout(),
                    Some(Action::Cut) => return,
                    // A graceful shutdown of a connection that was never used would wait for its first
                    // request.
                    Some(Action::Shut) if !state.used() => return,
                    Some(Action::Shut) => connection.as_mut().graceful_shutdown(),
                }
            }
        });
    }
}

/// Marks an answer as the last on its connection: `Connection: close`.
pub fn mark_last_answer<B>(response: &mut Response<B>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// Keeps a connection in the map of open ones until dropped.
struct OpenEntry<H> {
    acceptor: Rc<Acceptor<H>>,
    /// The key of the connection in the map of open ones.
    number: u64,
}

impl<H> OpenEntry<H> {
    fn new(acceptor: &Rc<Acceptor<H>>, state: &Rc<ClientState>) -> Self {
        let number = acceptor.opened.get();
        acceptor.opened.set(number + 1);
        acceptor.open.borrow_mut().insert(number, state.clone());
        OpenEntry { acceptor: acceptor.clone(), number }
    }
}

impl<H> Drop for OpenEntry<H> {
    fn drop(&mut self) {
        self.acceptor.open.borrow_mut().remove(&self.number);
    }
}
