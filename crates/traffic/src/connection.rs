//! One client's connection: its socket, its place in the budget, and what it is told of both.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::Request;
use pinerelay_succession::connection::{Action, Connection, Event, Stage};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::budget::{Budget, Ticket};
use crate::long::STUCK;
use crate::wire::Wire;

/// One connection: its place in the budget, and what is under way on it.
pub(crate) struct Idle {
    budget: Rc<Budget>,
    /// Told that its place is wanted.
    pub(crate) close: Rc<Notify>,
    /// Told that a head or the taking of an answer has had its time.
    pub(crate) cut: Notify,
    ticket: Cell<Option<Ticket>>,
    /// Since when it stands idle.
    idle_since: Cell<Option<Instant>>,
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
    pub(crate) wire: Wire,
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
    /// One that has just been accepted.
    pub(crate) fn new(budget: Rc<Budget>) -> Rc<Idle> {
        // Counted as new from here on, and not from when its task first runs.
        budget.fresh();
        Rc::new(Idle {
            budget,
            close: Rc::default(),
            cut: Notify::new(),
            ticket: Cell::new(None),
            idle_since: Cell::default(),
            fresh: Cell::new(true),
            used: Cell::new(false),
            life: Cell::default(),
            head_since: Cell::new(Some(Instant::now())),
            stuck_since: Cell::default(),
            wire: Wire::default(),
        })
    }

    /// A request's head has come.
    pub(crate) fn taken(&self, request: &Request<Incoming>) {
        self.matured();
        self.used.set(true);
        self.on(Event::Taken);
        self.head_since.set(None);
        self.end();
        self.wire.begins(request);
    }

    /// Its answer is handed over; tells whether it is to be the last.
    pub(crate) fn answered(&self) -> bool {
        let told = self.life.get().told();
        let ahead = self.wire.ahead();
        self.on(Event::Answered { ahead });
        self.head_since.set(ahead.then(Instant::now));
        self.begin();
        told
    }

    /// It has had the time in which a new one's first request comes.
    pub(crate) fn settled(&self) {
        self.matured();
        if !self.used.get() {
            self.begin();
        }
    }

    /// Whether a request has ever come on it.
    pub(crate) fn used(&self) -> bool {
        self.used.get()
    }

    /// Its head gets its time once more.
    pub(crate) fn again(&self) {
        self.head_since.set(Some(Instant::now()));
    }

    /// Why it is to be cut.
    pub(crate) fn late(&self) -> Event {
        if self.stuck() {
            Event::Stuck
        } else {
            Event::Overdue
        }
    }

    fn begin(&self) {
        self.end();
        self.idle_since.set(Some(Instant::now()));
        self.ticket.set(Some(self.budget.idle(self.close.clone(), self.used.get())));
    }

    /// Whether a head has been under way for too long, or the client takes nothing.
    pub(crate) fn overdue(&self, head_wait: Duration) -> bool {
        self.life.get().stage() != Stage::InWork && past(&self.head_since, head_wait) || self.stuck()
    }

    /// Whether it has stood idle, between two requests, for so long.
    pub(crate) fn idle_for(&self, most: Duration) -> bool {
        past(&self.idle_since, most)
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
    pub(crate) fn told(&self, event: Event, stream: &TcpStream) -> Option<Action> {
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
        self.idle_since.set(None);
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

/// A client's socket that notes when something comes while no request is open.
pub(crate) struct Watched {
    /// Shared with who looks what lies unread; never borrowed across a wait.
    pub(crate) stream: Rc<RefCell<TcpStream>>,
    pub(crate) idle: Rc<Idle>,
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
