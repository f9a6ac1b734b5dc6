//! Streamed bodies: too long to be buffered, so they are forwarded in pieces at the pace of the slower side.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::{oneshot, Notify};
use tokio::time::{sleep_until, Instant, Sleep};

use crate::body::{bad_body, BadBody};
use crate::body_memory::{BodyMemoryPool, Reservation};

/// Default maximum length of a body: 32 MB plus a margin for senders that count it loosely.
pub const DEFAULT_MAX_BODY_BYTES: u64 = 34_000_000;
/// Minimum rate of a client's body, in bytes per second.
const MIN_UPLOAD_RATE: u64 = 64_000;
/// A peer is considered gone if no byte has moved from it or to it for this long.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(15);

/// A body, or as much of it as could be buffered.
pub enum Buffered {
    /// The complete body.
    Complete(Bytes),
    /// What was received of a longer body, and the rest.
    Partial(Bytes, Incoming),
}

/// Buffers a body. Stops and returns the rest unread once the body exceeds `max_bytes` or its share of the memory
/// limit, or at the time `until`. A body that declares more than `max_bytes` is not read at all; one that declares
/// more than the maximum length is an error.
pub async fn buffer_body(
    mut body: Incoming,
    max_bytes: usize,
    until: Option<Instant>,
    memory: &BodyMemoryPool,
) -> Result<Buffered, BadBody> {
    let min_length = body.size_hint().lower();
    if min_length > memory.max_body_bytes() {
        return Err(BadBody::TooLong);
    }
    if min_length > max_bytes as u64 {
        return Ok(Buffered::Partial(Bytes::new(), body));
    }
    let mut buffered = BytesMut::new();
    let mut first = Bytes::new();
    let mut reservation = memory.reservation();
    let complete = loop {
        let frame = match until {
            Some(until) => match tokio::time::timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => break false,
            },
            None => body.frame().await,
        };
        let data = match frame {
            None => break true,
            Some(Err(error)) => return Err(bad_body(&error)),
            // Trailers are dropped: nothing uses them.
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        reservation.add(data.len());
        // A body in one piece, the usual case, is not copied.
        if first.is_empty() && buffered.is_empty() {
            first = data;
        } else {
            if buffered.is_empty() {
                buffered.extend_from_slice(&first);
                first.clear();
            }
            buffered.extend_from_slice(&data);
        }
        let limit_reached = !reservation.may_grow() && !body.is_end_stream();
        if limit_reached || buffered.len().max(first.len()) > max_bytes {
            break false;
        }
    };
    let buffered = reservation.attach_to(if buffered.is_empty() { first } else { buffered.freeze() });
    Ok(if complete { Buffered::Complete(buffered) } else { Buffered::Partial(buffered, body) })
}

/// Reads and drops the rest of an unwanted body, up to `max_bytes` bytes and for at most `time_limit`. Danger: a
/// client that is still writing when its connection closes loses the answer that was sent to it.
pub fn discard(mut body: Incoming, max_bytes: u64, time_limit: Duration) {
    if body.is_end_stream() || body.size_hint().lower() > max_bytes {
        return;
    }
    let read = async move {
        let mut left = max_bytes;
        while let Some(Ok(frame)) = body.frame().await {
            let data = frame.into_data().unwrap_or_default();
            let Some(less) = left.checked_sub(data.len() as u64) else { return };
            left = less;
        }
    };
    tokio::task::spawn_local(tokio::time::timeout(time_limit, read));
}

/// Progress of a client's streamed body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UploadStage {
    /// Nothing has been forwarded.
    Waiting,
    /// Part of it has been forwarded.
    Started,
    /// All of it has been forwarded.
    Complete,
    /// The client aborted it or was too slow, or it was too long.
    Broken,
}

/// A client's streamed body, shared by the client's connection and the attempt.
pub struct Upload {
    /// The part that was buffered before.
    first: Bytes,
    /// The rest; `None` while an attempt holds it or once one has taken some of it.
    rest: RefCell<Option<Incoming>>,
    /// The total length in bytes, if known.
    length: Option<u64>,
    /// How long the client waits for the answer after the last byte of its body.
    pub wait: Duration,
    /// Since when it is being received.
    begun: Instant,
    /// Time that it may take beyond what the minimum rate allows.
    grace: Duration,
    /// Bytes received, including `first`.
    received: Cell<u64>,
    stage: Cell<UploadStage>,
    /// When all of it had been forwarded, or forwarding failed.
    ended: Cell<Option<Instant>>,
    /// Notified when `ended` is set.
    notify_end: Notify,
    /// Reserved memory for its buffers; none for a body that is only drained.
    _reservation: Option<Reservation>,
    /// Maximum total length, in bytes.
    max_body_bytes: u64,
}

impl Upload {
    /// A body whose first part has been received since `begun`. It is aborted if it is slower than 64 kB per
    /// second after a grace period of `grace`.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        reservation: Option<Reservation>,
        wait: Duration,
        begun: Instant,
        grace: Duration,
    ) -> Rc<Self> {
        let length = rest.size_hint().exact().map(|left| left + first.len() as u64);
        Rc::new(Upload {
            received: Cell::new(first.len() as u64),
            first,
            rest: RefCell::new(Some(rest)),
            length,
            wait,
            begun,
            grace,
            stage: Cell::new(UploadStage::Waiting),
            ended: Cell::default(),
            notify_end: Notify::new(),
            max_body_bytes: reservation.as_ref().map_or(DEFAULT_MAX_BODY_BYTES, Reservation::max_body_bytes),
            _reservation: reservation,
        })
    }

    /// The body for an attempt; none if another attempt holds it or has taken some of it. `on_progress` is called with false
    /// when the first piece is forwarded and with true when the last one is.
    pub fn body(self: &Rc<Self>, on_progress: impl Fn(bool) + 'static) -> Option<UploadBody> {
        let rest = self.rest.take()?;
        let timer = Box::pin(sleep_until(self.time_limit()));
        let first = Some(self.first.clone()).filter(|first| !first.is_empty());
        Some(UploadBody {
            upload: self.clone(),
            first,
            rest: Some(rest),
            on_progress: Box::new(on_progress),
            timer,
        })
    }

    /// Waits until the last byte has been forwarded or the body was aborted; returns when that was.
    pub async fn ended(&self) -> Instant {
        loop {
            let notify_end = self.notify_end.notified();
            match self.ended.get() {
                Some(at) => return at,
                None => notify_end.await,
            }
        }
    }

    /// Its length, if known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether the client aborted it or was too slow, or it was too long.
    pub fn is_broken(&self) -> bool {
        self.stage.get() == UploadStage::Broken
    }

    /// Whether all of it has been forwarded.
    pub fn is_complete(&self) -> bool {
        self.stage.get() == UploadStage::Complete
    }

    /// Reads and drops the rest. Danger: a client that is still writing when its connection closes loses the
    /// answer that was sent to it.
    pub fn drain(self: &Rc<Self>) {
        if let Some(mut body) = self.body(|_| ()) {
            tokio::task::spawn_local(async move { while let Some(Ok(_)) = body.frame().await {} });
        }
    }

    /// When the client is too slow unless more bytes arrive.
    fn time_limit(&self) -> Instant {
        self.begun + self.grace + Duration::from_micros(self.received.get() * 1_000_000 / MIN_UPLOAD_RATE)
    }

    /// Records the end and its stage; only the first call counts.
    fn finish(&self, stage: UploadStage) {
        if self.ended.get().is_none() {
            self.stage.set(stage);
            self.ended.set(Some(Instant::now()));
            self.notify_end.notify_waiters();
        }
    }
}

/// A client's streamed body as the body of an upstream request.
pub struct UploadBody {
    upload: Rc<Upload>,
    /// The buffered part, until it is forwarded.
    first: Option<Bytes>,
    rest: Option<Incoming>,
    /// Called with false when the first piece is forwarded and with true when the last one is.
    on_progress: Box<dyn Fn(bool)>,
    /// Expires when the client is too slow.
    timer: Pin<Box<Sleep>>,
}

impl UploadBody {
    fn mark_complete(upload: &Upload, on_progress: &dyn Fn(bool)) {
        if upload.ended.get().is_none() {
            upload.finish(UploadStage::Complete);
            on_progress(true);
        }
    }

    /// Returns the body for another attempt if nothing of it has been forwarded.
    pub fn give_back(mut self) {
        if self.upload.stage.get() == UploadStage::Waiting {
            self.upload.rest.replace(self.rest.take());
        }
    }
}

impl Body for UploadBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        if this.upload.stage.get() == UploadStage::Waiting {
            this.upload.stage.set(UploadStage::Started);
            (this.on_progress)(false);
        }
        if let Some(first) = this.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = &mut this.rest else { return Poll::Ready(None) };
        loop {
            let polled = match Pin::new(&mut *rest).poll_frame(cx) {
                Poll::Ready(polled) => polled,
                Poll::Pending => {
                    // Bytes received since the timer was set extend the client's time.
                    let until = this.upload.time_limit();
                    if this.timer.deadline() < until {
                        this.timer.as_mut().reset(until);
                    }
                    ready!(this.timer.as_mut().poll(cx));
                    this.upload.finish(UploadStage::Broken);
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
            };
            let data = match polled {
                None => {
                    Self::mark_complete(&this.upload, &*this.on_progress);
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    this.upload.finish(UploadStage::Broken);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let received = this.upload.received.get() + data.len() as u64;
            this.upload.received.set(received);
            if received > this.upload.max_body_bytes {
                this.upload.finish(UploadStage::Broken);
                return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
            }
            if this.upload.length == Some(received) {
                // With a known length the end of the body is not polled for.
                Self::mark_complete(&this.upload, &*this.on_progress);
            }
            if data.has_remaining() {
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.upload.is_complete()
    }

    fn size_hint(&self) -> SizeHint {
        self.upload.length.map_or_else(SizeHint::default, |length| {
            let forwarded = self.upload.received.get() - self.first.as_ref().map_or(0, |f| f.len() as u64);
            SizeHint::with_exact(length - forwarded)
        })
    }
}

impl Drop for UploadBody {
    fn drop(&mut self) {
        // Danger: a body that was started and then dropped never completes; without this nothing would report
        // its end to the tasks that wait for it.
        if self.upload.stage.get() == UploadStage::Started {
            self.upload.finish(UploadStage::Started);
        }
    }
}

/// How a streamed answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// All of it has been passed to the client's connection.
    Complete,
    /// The app server aborted it or sent nothing for [`STALL_TIMEOUT`], or it was too long.
    Broken,
}

/// An app server's streamed answer as the body of the client's response.
pub struct Download {
    /// The buffered part, until it is forwarded.
    first: Option<Bytes>,
    rest: Incoming,
    /// The total length in bytes, if known.
    length: Option<u64>,
    /// Bytes forwarded so far.
    forwarded: u64,
    /// Reports the end to the attempt; dropped without a value, the client has disconnected.
    end: Option<oneshot::Sender<End>>,
    /// Expires [`STALL_TIMEOUT`] after the last bytes.
    timer: Pin<Box<Sleep>>,
    /// Called with its end.
    counted: Option<Box<dyn FnOnce(End)>>,
    /// Reserved memory for its buffers.
    reservation: Reservation,
}

impl Download {
    /// An answer whose first part has been received. The receiver yields how it ended; an error means that
    /// the client has disconnected.
    pub fn new(first: Bytes, rest: Incoming, reservation: Reservation) -> (Self, oneshot::Receiver<End>) {
        let (end, ended) = oneshot::channel();
        let download = Download {
            length: rest.size_hint().exact().map(|left| left + first.len() as u64),
            first: Some(first).filter(|first| !first.is_empty()),
            rest,
            forwarded: 0,
            end: Some(end),
            timer: Box::pin(sleep_until(Instant::now() + STALL_TIMEOUT)),
            counted: None,
            reservation,
        };
        (download, ended)
    }

    /// Calls `count` with its end; if it is dropped without a call, the client has disconnected.
    pub fn counted(mut self, count: impl FnOnce(End) + 'static) -> Self {
        self.counted = Some(Box::new(count));
        self
    }

    fn finish(&mut self, end: End) {
        if let Some(sender) = self.end.take() {
            // The attempt may be over, and the receiver dropped.
            let _ = sender.send(end);
        }
        if let Some(count) = self.counted.take() {
            count(end);
        }
    }
}

impl Body for Download {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        loop {
            let polled = match this.first.take() {
                Some(first) => Poll::Ready(Some(Ok(Frame::data(first)))),
                None => Pin::new(&mut this.rest).poll_frame(cx),
            };
            let data = match polled {
                Poll::Pending => {
                    ready!(this.timer.as_mut().poll(cx));
                    this.finish(End::Broken);
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
                Poll::Ready(None) => {
                    this.finish(End::Complete);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    this.finish(End::Broken);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            this.timer.as_mut().reset(Instant::now() + STALL_TIMEOUT);
            this.forwarded += data.len() as u64;
            if this.forwarded > this.reservation.max_body_bytes() {
                this.finish(End::Broken);
                return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
            }
            if this.length == Some(this.forwarded) {
                this.finish(End::Complete);
            }
            if data.has_remaining() {
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.length == Some(self.forwarded)
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, |length| SizeHint::with_exact(length - self.forwarded))
    }
}

/// A buffered or streamed body: of a request to an app server or of an answer to a client.
pub enum Outgoing<L> {
    /// A buffered body.
    Buffered(Full<Bytes>),
    /// A streamed body.
    Streamed(L),
}

impl<L> From<Bytes> for Outgoing<L> {
    fn from(body: Bytes) -> Self {
        Outgoing::Buffered(Full::new(body))
    }
}

impl<L: Body<Data = Bytes, Error = io::Error> + Unpin> Body for Outgoing<L> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match &mut *self {
            Outgoing::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Outgoing::Streamed(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Outgoing::Buffered(body) => body.is_end_stream(),
            Outgoing::Streamed(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outgoing::Buffered(body) => body.size_hint(),
            Outgoing::Streamed(body) => body.size_hint(),
        }
    }
}
