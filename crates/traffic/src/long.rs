//! Bodies too long to be taken in whole: passed on in pieces as they come, at the pace of the slower side.

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
use crate::room::{Hold, Room};

/// No body is longer unless the room says so: 32 MB, and what a careless sender counts on top.
pub const LONGEST: u64 = 34_000_000;
/// The least that a client sends of a body in a second.
const RATE: u64 = 64_000;
/// A peer from which, or to which, nothing has moved for this long is gone.
pub const STUCK: Duration = Duration::from_secs(15);

/// A body, or as much of it as is to be taken in ahead.
pub enum Taken {
    /// All of it.
    Whole(Bytes),
    /// What has come of a longer one, and the rest.
    Part(Bytes, Incoming),
}

/// Takes in a body of at most `most` bytes; of a longer one, as far as that, as there is room, or up to `until`. One that
/// says at once that it is longer is left as it is.
pub async fn take(
    mut body: Incoming,
    most: usize,
    until: Option<Instant>,
    room: &Room,
) -> Result<Taken, BadBody> {
    let least = body.size_hint().lower();
    if least > room.longest() {
        return Err(BadBody::TooLong);
    }
    if least > most as u64 {
        return Ok(Taken::Part(Bytes::new(), body));
    }
    let mut taken = BytesMut::new();
    let mut first = Bytes::new();
    let mut hold = room.hold();
    let whole = loop {
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
            // Trailers are dropped: nobody here asks for any.
            Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
        };
        hold.add(data.len());
        // One piece is the usual case, and is not copied.
        if first.is_empty() && taken.is_empty() {
            first = data;
        } else {
            if taken.is_empty() {
                taken.extend_from_slice(&first);
                first.clear();
            }
            taken.extend_from_slice(&data);
        }
        let no_room = !hold.may_grow() && !body.is_end_stream();
        if no_room || taken.len().max(first.len()) > most {
            break false;
        }
    };
    let taken = hold.around(if taken.is_empty() { first } else { taken.freeze() });
    Ok(if whole { Taken::Whole(taken) } else { Taken::Part(taken, body) })
}

/// Reads what is left of a body that nobody wants, up to `most` bytes and for so long, and drops it. Danger: a client that
/// is still writing when its connection closes loses the answer that lies there for it.
pub fn discard(mut body: Incoming, most: u64, patience: Duration) {
    if body.is_end_stream() || body.size_hint().lower() > most {
        return;
    }
    let read = async move {
        let mut left = most;
        while let Some(Ok(frame)) = body.frame().await {
            let data = frame.into_data().unwrap_or_default();
            let Some(less) = left.checked_sub(data.len() as u64) else { return };
            left = less;
        }
    };
    tokio::task::spawn_local(tokio::time::timeout(patience, read));
}

/// How far a client's long body has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing of it has been passed on.
    Waiting,
    /// Some has.
    Begun,
    /// All of it has.
    Whole,
    /// The client broke it off, or was too slow.
    Broken,
}

/// A client's long body, as the client's side and the attempt see it.
pub struct Upload {
    first: Bytes,
    rest: RefCell<Option<Incoming>>,
    length: Option<u64>,
    /// How long the client waits for its answer, from the last byte on.
    pub wait: Duration,
    begun: Instant,
    grace: Duration,
    received: Cell<u64>,
    stage: Cell<Stage>,
    ended: Cell<Option<Instant>>,
    tell: Notify,
    /// What it holds on its way; nothing of one that is only drained.
    _pipe: Option<Hold>,
    longest: u64,
}

impl Upload {
    /// A body of which this much has come since `begun`. One slower than `grace` and 64 kB a second is broken off.
    pub fn new(
        first: Bytes,
        rest: Incoming,
        pipe: Option<Hold>,
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
            stage: Cell::new(Stage::Waiting),
            ended: Cell::default(),
            tell: Notify::new(),
            longest: pipe.as_ref().map_or(LONGEST, Hold::longest),
            _pipe: pipe,
        })
    }

    /// The body for an attempt; none if an earlier one has taken of it. `goes` is told once a piece is passed on, and
    /// again (true) once the last one is.
    pub fn body(self: &Rc<Self>, goes: impl Fn(bool) + 'static) -> Option<UploadBody> {
        let rest = self.rest.take()?;
        let timer = Box::pin(sleep_until(self.patience()));
        let first = Some(self.first.clone()).filter(|first| !first.is_empty());
        Some(UploadBody { upload: self.clone(), first, rest: Some(rest), goes: Box::new(goes), timer })
    }

    /// When the last byte had been passed on, or the client had broken it off.
    pub async fn ended(&self) -> Instant {
        loop {
            let tell = self.tell.notified();
            match self.ended.get() {
                Some(at) => return at,
                None => tell.await,
            }
        }
    }

    /// How long it is, if that is known.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether the client has broken it off.
    pub fn broken(&self) -> bool {
        self.stage.get() == Stage::Broken
    }

    /// Whether all of it has been passed on.
    pub fn whole(&self) -> bool {
        self.stage.get() == Stage::Whole
    }

    /// Reads what is left and drops it. Danger: a client that is still writing when its connection closes loses the
    /// answer that lies there for it.
    pub fn drain(self: &Rc<Self>) {
        if let Some(mut body) = self.body(|_| ()) {
            tokio::task::spawn_local(async move { while let Some(Ok(_)) = body.frame().await {} });
        }
    }

    fn patience(&self) -> Instant {
        self.begun + self.grace + Duration::from_micros(self.received.get() * 1_000_000 / RATE)
    }

    fn over(&self, stage: Stage) {
        if self.ended.get().is_none() {
            self.stage.set(stage);
            self.ended.set(Some(Instant::now()));
            self.tell.notify_waiters();
        }
    }
}

/// A client's long body on its way to an app server.
pub struct UploadBody {
    upload: Rc<Upload>,
    first: Option<Bytes>,
    rest: Option<Incoming>,
    goes: Box<dyn Fn(bool)>,
    timer: Pin<Box<Sleep>>,
}

impl UploadBody {
    fn whole(upload: &Upload, goes: &dyn Fn(bool)) {
        if upload.ended.get().is_none() {
            upload.over(Stage::Whole);
            goes(true);
        }
    }

    /// Gives the body back of which nothing has been passed on.
    pub fn give_back(mut self) {
        if self.upload.stage.get() == Stage::Waiting {
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
        if this.upload.stage.get() == Stage::Waiting {
            this.upload.stage.set(Stage::Begun);
            (this.goes)(false);
        }
        if let Some(first) = this.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = &mut this.rest else { return Poll::Ready(None) };
        loop {
            let polled = match Pin::new(&mut *rest).poll_frame(cx) {
                Poll::Ready(polled) => polled,
                Poll::Pending => {
                    // What has come meanwhile gives the client more time.
                    let until = this.upload.patience();
                    if this.timer.deadline() < until {
                        this.timer.as_mut().reset(until);
                    }
                    ready!(this.timer.as_mut().poll(cx));
                    this.upload.over(Stage::Broken);
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
            };
            let data = match polled {
                None => {
                    Self::whole(&this.upload, &*this.goes);
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    this.upload.over(Stage::Broken);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            let received = this.upload.received.get() + data.len() as u64;
            this.upload.received.set(received);
            if received > this.upload.longest {
                this.upload.over(Stage::Broken);
                return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
            }
            if this.upload.length == Some(received) {
                // Of a body whose length is known nobody asks for the end.
                Self::whole(&this.upload, &*this.goes);
            }
            if data.has_remaining() {
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.upload.whole()
    }

    fn size_hint(&self) -> SizeHint {
        self.upload.length.map_or_else(SizeHint::default, |length| {
            let gone = self.upload.received.get() - self.first.as_ref().map_or(0, |f| f.len() as u64);
            SizeHint::with_exact(length - gone)
        })
    }
}

impl Drop for UploadBody {
    fn drop(&mut self) {
        // Danger: what was begun and dropped on the way never comes whole, and nothing would wait for its end.
        if self.upload.stage.get() == Stage::Begun {
            self.upload.over(Stage::Begun);
        }
    }
}

/// How a long answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The client has been given all of it.
    Whole,
    /// The app server broke it off.
    Broken,
}

/// An app server's long answer on its way to the client.
pub struct Download {
    first: Option<Bytes>,
    rest: Incoming,
    length: Option<u64>,
    passed: u64,
    /// Tells the attempt; dropped untold, the client has gone.
    end: Option<oneshot::Sender<End>>,
    timer: Pin<Box<Sleep>>,
    counted: Option<Box<dyn FnOnce(End)>>,
    pipe: Hold,
}

impl Download {
    /// An answer of which this much has come. The other half tells how it ended; an error there is a client that went.
    pub fn new(first: Bytes, rest: Incoming, pipe: Hold) -> (Self, oneshot::Receiver<End>) {
        let (end, ended) = oneshot::channel();
        let download = Download {
            length: rest.size_hint().exact().map(|left| left + first.len() as u64),
            first: Some(first).filter(|first| !first.is_empty()),
            rest,
            passed: 0,
            end: Some(end),
            timer: Box::pin(sleep_until(Instant::now() + STUCK)),
            counted: None,
            pipe,
        };
        (download, ended)
    }

    /// Tells its end to who counts it; dropped untold, the client has gone.
    pub fn counted(mut self, count: impl FnOnce(End) + 'static) -> Self {
        self.counted = Some(Box::new(count));
        self
    }

    fn over(&mut self, end: End) {
        if let Some(tell) = self.end.take() {
            // An attempt that is over has nothing to be told.
            let _ = tell.send(end);
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
                    this.over(End::Broken);
                    return Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
                }
                Poll::Ready(None) => {
                    this.over(End::Whole);
                    return Poll::Ready(None);
                }
                Poll::Ready(Some(Err(error))) => {
                    this.over(End::Broken);
                    return Poll::Ready(Some(Err(io::Error::other(error))));
                }
                Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            this.timer.as_mut().reset(Instant::now() + STUCK);
            this.passed += data.len() as u64;
            if this.passed > this.pipe.longest() {
                this.over(End::Broken);
                return Poll::Ready(Some(Err(io::ErrorKind::FileTooLarge.into())));
            }
            if this.length == Some(this.passed) {
                this.over(End::Whole);
            }
            if data.has_remaining() {
                return Poll::Ready(Some(Ok(Frame::data(data))));
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.length == Some(self.passed)
    }

    fn size_hint(&self) -> SizeHint {
        self.length.map_or_else(SizeHint::default, |length| SizeHint::with_exact(length - self.passed))
    }
}

/// A body that is there, or is passed on as it comes: a request's to an app server, or an answer's to a client.
pub enum Outgoing<L> {
    /// All of it is there.
    Whole(Full<Bytes>),
    /// It is passed on.
    Long(L),
}

impl<L> From<Bytes> for Outgoing<L> {
    fn from(body: Bytes) -> Self {
        Outgoing::Whole(Full::new(body))
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
            Outgoing::Whole(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Outgoing::Long(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Outgoing::Whole(body) => body.is_end_stream(),
            Outgoing::Long(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outgoing::Whole(body) => body.size_hint(),
            Outgoing::Long(body) => body.size_hint(),
        }
    }
}
