//! State of one client connection: its socket, its descriptor slot among the idle ones, and its lifecycle
//! events.

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
use crate::raw_head::RawHead;
use crate::streamed_body::STALL_TIMEOUT;

/// State of one client connection.
pub(crate) struct ClientState {
    budget: Rc<Budget>,
    /// Notified when the connection is to close once idle: its slot is needed, or its idle time-out has
    /// passed.
    pub(crate) close: Rc<Notify>,
    /// Notified when a request head or the delivery of an answer has exceeded its time-out.
    pub(crate) cut: Notify,
    /// Its key among the budget's idle connections, while it is idle.
    ticket: Cell<Option<Ticket>>,
    /// Since when the connection is idle.
    idle_since: Cell<Option<Instant>>,
    /// The connection is so new that its first request may still be unread.
    is_new: Cell<bool>,
    /// A request has been received on it.
    used: Cell<bool>,
    /// State machine that decides when the connection may be closed.
    lifecycle: Cell<Connection>,
    /// Since when a request head is being received.
    head_since: Cell<Option<Instant>>,
    /// Since when writes to the client are blocked.
    write_blocked_since: Cell<Option<Instant>>,
    /// The raw heads of its requests.
    pub(crate) wire: RawHead,
}

fn has_lasted(since: &Cell<Option<Instant>>, limit: Duration) -> bool {
    since.get().is_some_and(|at| at.elapsed() > limit)
}

/// Whether the socket has unread data. Danger: the runtime's readiness is as old as its last poll, and the
/// process may have been stalled since; so the socket itself is queried.
fn has_unread_data(stream: &TcpStream) -> bool {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|bytes| bytes > 0)
}

impl ClientState {
    /// The state of a connection that has just been accepted.
    pub(crate) fn new(budget: Rc<Budget>) -> Rc<ClientState> {
        // Counted as new from here on, not only from when its task first runs.
        budget.count_new();
        Rc::new(ClientState {
            budget,
            close: Rc::default(),
            cut: Notify::new(),
            ticket: Cell::new(None),
            idle_since: Cell::default(),
            is_new: Cell::new(true),
            used: Cell::new(false),
            lifecycle: Cell::default(),
            head_since: Cell::new(Some(Instant::now())),
            write_blocked_since: Cell::default(),
            wire: RawHead::default(),
        })
    }

    /// A request head has been received.
    pub(crate) fn request_received(&self, request: &Request<Incoming>) {
        self.end_new();
        self.used.set(true);
        self.apply(Event::Taken);
        self.head_since.set(None);
        self.mark_busy();
        self.wire.head_parsed(request);
    }

    /// The answer is handed over for writing; returns whether it is to be the last on this connection.
    pub(crate) fn answer_handed_over(&self) -> bool {
        let is_last = self.lifecycle.get().told();
        let ahead = self.wire.has_next_request_data();
        self.apply(Event::Answered { ahead });
        self.head_since.set(ahead.then(Instant::now));
        self.mark_idle();
        is_last
    }

    /// The time in which a new connection's first request arrives is over.
    pub(crate) fn first_request_wait_over(&self) {
        self.end_new();
        if !self.used.get() {
            self.mark_idle();
        }
    }

    /// Whether a request has ever been received on it.
    pub(crate) fn used(&self) -> bool {
        self.used.get()
    }

    /// Restarts the time-out of the request head.
    pub(crate) fn restart_head_timeout(&self) {
        self.head_since.set(Some(Instant::now()));
    }

    /// The event that reports why the connection is to be closed at once.
    pub(crate) fn overdue_event(&self) -> Event {
        if self.is_write_blocked() {
            Event::Stuck
        } else {
            Event::Overdue
        }
    }

    fn mark_idle(&self) {
        self.mark_busy();
        self.idle_since.set(Some(Instant::now()));
        self.ticket.set(Some(self.budget.register_idle(self.close.clone(), self.used.get())));
    }

    /// Whether a request head has taken longer than `head_wait`, or writes to the client are blocked for too
    /// long.
    pub(crate) fn overdue(&self, head_wait: Duration) -> bool {
        self.lifecycle.get().stage() != Stage::InWork && has_lasted(&self.head_since, head_wait)
            || self.is_write_blocked()
    }

    /// Whether it has been idle, before its first request or after an answer, for more than `limit`.
    pub(crate) fn idle_for(&self, limit: Duration) -> bool {
        has_lasted(&self.idle_since, limit)
    }

    fn is_write_blocked(&self) -> bool {
        has_lasted(&self.write_blocked_since, STALL_TIMEOUT)
    }

    /// Applies an event whose action, if any, the caller need not carry out: the last answer is marked where
    /// it is sent.
    fn apply(&self, event: Event) {
        let mut lifecycle = self.lifecycle.get();
        lifecycle.on(event);
        self.lifecycle.set(lifecycle);
    }

    /// Applies an event, and checks for unread data if the state machine asks for that; returns the action to
    /// carry out.
    pub(crate) fn handle(&self, event: Event, stream: &TcpStream) -> Option<Action> {
        let mut lifecycle = self.lifecycle.get();
        let mut action = lifecycle.on(event);
        if action == Some(Action::Look) {
            action = lifecycle.on(Event::Looked { unread: has_unread_data(stream) });
        }
        self.lifecycle.set(lifecycle);
        action
    }

    fn end_new(&self) {
        if self.is_new.replace(false) {
            self.budget.uncount_new();
        }
    }

    fn mark_busy(&self) {
        self.idle_since.set(None);
        if let Some(ticket) = self.ticket.take() {
            self.budget.unregister_idle(ticket);
        }
    }
}

impl Drop for ClientState {
    fn drop(&mut self) {
        self.end_new();
        self.mark_busy();
    }
}

/// A client's socket that records received bytes, and writes that are blocked.
pub(crate) struct ClientStream {
    /// Shared with the check for unread data; never borrowed across an await.
    pub(crate) stream: Rc<RefCell<TcpStream>>,
    pub(crate) state: Rc<ClientState>,
}

impl AsyncRead for ClientStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut *self.stream.borrow_mut()).poll_read(cx, buf);
        self.state.wire.record(&buf.filled()[before..]);
        if buf.filled().len() > before && self.state.lifecycle.get().stage() != Stage::InWork {
            self.state.apply(Event::Came);
            if self.state.head_since.get().is_none() {
                self.state.head_since.set(Some(Instant::now()));
            }
        }
        polled
    }
}

impl ClientStream {
    fn record_write(&self, blocked: bool) {
        let since = self.state.write_blocked_since.get().filter(|_| blocked);
        self.state.write_blocked_since.set(since.or_else(|| blocked.then(Instant::now)));
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.stream.borrow_mut()).poll_write(cx, buf);
        self.record_write(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut *self.stream.borrow_mut()).poll_write_vectored(cx, bufs);
        self.record_write(polled.is_pending());
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
