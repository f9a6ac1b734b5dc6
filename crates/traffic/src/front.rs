//! The clients' connections: what is accepted, how many are open, and when one may be closed.

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
use crate::connection::{Idle, Watched};
use crate::listen::Gate;
use crate::vigil::TICK;
use crate::wire::Wire;
use crate::Common;

/// A head is at most this long. It bounds what a connection may hold in buffers, too.
pub const HEAD_MOST: usize = 16 * 1024;
/// A new connection without a request by then counts as idle: what comes with it lies there from the start.
const FIRST_REQUEST: Duration = Duration::from_millis(50);
/// How long a process without a free place leaves who comes to another that accepts too. Then it closes an idle connection
/// for him all the same: the other may have no place either.
const ANOTHERS_TURN: Duration = Duration::from_millis(100);
/// Pause of the listener when accepting fails.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Who answers what clients ask.
pub trait Handler: 'static {
    /// An answer's body.
    type Reply: Body<Data = Bytes, Error = io::Error> + 'static;
    /// Answers one request; dropped before it has, the client has gone.
    fn answer(&self, request: Request<Incoming>, wire: &Wire) -> impl Future<Output = Response<Self::Reply>>;
    /// Closes an idle connection to a server, to free its descriptor; false if there is none.
    fn close_an_idle(&self) -> bool;
    /// How long a head may take, from connecting or from its first byte.
    fn head_wait(&self) -> Duration;
    /// How long a connection may stand idle; none: until its place is wanted.
    fn idle_wait(&self) -> Option<Duration>;
}

/// The clients' connections of a process.
pub struct Front<H> {
    handler: Rc<H>,
    budget: Rc<Budget>,
    /// Each change tells the connections open by then to close as soon as they are idle.
    closing: watch::Sender<u32>,
    /// The open connections.
    open: RefCell<BTreeMap<u64, Rc<Idle>>>,
    opened: Cell<u64>,
    /// Another process accepts from the same socket.
    beside: Cell<bool>,
}

impl<H: Handler> Front<H> {
    /// No connections yet.
    pub fn new(handler: Rc<H>, Common { budget, vigil, .. }: Common) -> Rc<Self> {
        let front = Rc::new(Front {
            handler,
            budget,
            closing: watch::channel(0).0,
            open: RefCell::default(),
            opened: Cell::default(),
            beside: Cell::default(),
        });
        let weak = Rc::downgrade(&front);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(TICK).await;
                vigil.tick().await;
                let Some(front) = weak.upgrade() else { return };
                let (head, idle_for) = (front.handler.head_wait(), front.handler.idle_wait());
                for idle in front.open.borrow().values() {
                    if idle.overdue(head) {
                        idle.cut.notify_one();
                    } else if idle_for.is_some_and(|most| idle.idle_for(most)) {
                        idle.close.notify_one();
                    }
                }
            }
        });
        front
    }

    /// Tells all open connections to close when idle.
    pub fn close_idle(&self) {
        self.closing.send_modify(|n| *n += 1);
    }

    /// How many connections are open.
    pub fn connections(&self) -> usize {
        self.open.borrow().len()
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
            || self.budget.exhausted() && self.handler.close_an_idle() || self.budget.close_an_idle_client();
        self.budget.room(|| self.budget.for_client(), close_one).await
    }

    fn open(self: &Rc<Self>, stream: TcpStream, slot: Slot) {
        let idle = Idle::new(self.budget.clone());
        let front = self.clone();
        let mut closing = self.closing.subscribe();
        tokio::task::spawn_local(async move {
            let _slot = slot;
            let _listed = Listed::new(&front, &idle);
            // Without it answers are late, not wrong.
            let _ = stream.set_nodelay(true);
            let service = service_fn(|request| {
                let (handler, idle) = (front.handler.clone(), idle.clone());
                async move {
                    idle.taken(&request);
                    let mut response = handler.answer(request, &idle.wire).await;
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
}

/// Says with an answer that its connection ends with it.
pub fn last<B>(response: &mut Response<B>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}

/// A connection's place on the list of open ones.
struct Listed<H> {
    front: Rc<Front<H>>,
    number: u64,
}

impl<H> Listed<H> {
    fn new(front: &Rc<Front<H>>, idle: &Rc<Idle>) -> Self {
        let number = front.opened.get();
        front.opened.set(number + 1);
        front.open.borrow_mut().insert(number, idle.clone());
        Listed { front: front.clone(), number }
    }
}

impl<H> Drop for Listed<H> {
    fn drop(&mut self) {
        self.front.open.borrow_mut().remove(&self.number);
    }
}
