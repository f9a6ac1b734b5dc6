//! HTTP/1.1 client connections: one request at a time, no automatic retry, closed when dropped.

use std::cell::Cell;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HeaderMap, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::{sleep_until, Instant};

use crate::request_timing::RequestTiming;
use crate::streamed_body::{Outgoing, UploadBody};

/// Maximum read-ahead of a connection, and so the maximum length of an answer's head, in bytes.
const MAX_READ_AHEAD: usize = 16 * 1024;

/// An open connection. Dropping it closes the socket, whatever is in progress on it.
pub struct Connection {
    sender: SendRequest<TrackedBody>,
    /// Progress of writing the current request.
    written: Rc<WriteProgress>,
    /// The task that owns the socket; aborted when this is dropped.
    driver: AbortHandle,
    /// Timing of the answer to the current request.
    answer_timing: Rc<AnswerTiming>,
}

/// When the current answer began and when it last made progress.
#[derive(Default)]
pub struct AnswerTiming {
    /// When the first byte of the answer was received.
    since: Cell<Option<Instant>>,
    /// When bytes were last received.
    last: Cell<Option<Instant>>,
    /// Notified when the first byte of an answer is received.
    first: Notify,
}

impl AnswerTiming {
    /// Whether an answer has begun.
    pub fn begun(&self) -> bool {
        self.since.get().is_some()
    }

    /// Returns once an answer has begun and nothing more of it has been received for `patience`.
    pub async fn stalled(&self, patience: Duration) {
        self.first.notified().await;
        while let Some(last) = self.last.get() {
            if last.elapsed() >= patience {
                return;
            }
            sleep_until(last + patience).await;
        }
        pending().await
    }
}

/// Called once a request has been written completely.
pub type OnWritten = Option<Rc<dyn Fn()>>;

/// Progress of writing the current request.
struct WriteProgress {
    /// Its last byte has been passed to the HTTP connection.
    body_taken: Cell<bool>,
    /// How many bytes have been written to the socket, and when.
    request_timing: Cell<RequestTiming>,
    /// Called when the request has been written completely.
    on_written: OnWritten,
}

impl WriteProgress {
    fn begin(&self, body_taken: bool) {
        self.body_taken.set(body_taken);
        self.request_timing.take();
    }

    /// Records bytes written to the socket.
    fn record_write(&self, bytes: usize) {
        let mut request_timing = self.request_timing.get();
        request_timing.begun.get_or_insert_with(Instant::now);
        request_timing.bytes += bytes as u64;
        self.request_timing.set(request_timing);
    }

    /// The HTTP connection has written everything that it was given to the socket.
    fn flushed(&self) {
        let mut request_timing = self.request_timing.get();
        if self.body_taken.get() && request_timing.bytes > 0 && request_timing.flushed.is_none() {
            request_timing.flushed = Some(Instant::now());
            self.request_timing.set(request_timing);
            self.on_written.iter().for_each(|on_written| on_written());
        }
    }
}

/// The body of a request to a server.
pub type Sent = Outgoing<UploadBody>;

/// A body that records when its last frame has been taken.
struct TrackedBody {
    body: Sent,
    written: Rc<WriteProgress>,
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if self.body.is_end_stream() || matches!(polled, Poll::Ready(None)) {
            self.written.body_taken.set(true);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A socket that records the progress of writes and of the answer.
struct MonitoredStream {
    stream: TcpStream,
    answer_timing: Rc<AnswerTiming>,
    written: Rc<WriteProgress>,
}

impl MonitoredStream {
    fn record_write(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes @ 1..)) = polled {
            self.written.record_write(*bytes);
        }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.answer_timing.last.set(Some(Instant::now()));
            if self.answer_timing.since.get().is_none() {
                self.answer_timing.since.set(self.answer_timing.last.get());
                self.answer_timing.first.notify_waiters();
            }
        }
        polled
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let polled = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(polled, Poll::Ready(Ok(()))) {
            self.written.flushed();
        }
        polled
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// How sending a request on a connection failed.
pub enum SendError {
    /// Nothing was written; the request is handed back.
    NotWritten(Box<Request<Sent>>),
    /// Part of it may have been written, and the connection failed.
    MaybeWritten,
    /// The answer can't be parsed or can't be trusted. The connection must not be used again.
    BadAnswer,
}

impl Connection {
    /// Connects. `guard` is dropped together with the socket.
    pub async fn open<H: 'static>(address: SocketAddr, guard: H, on_written: OnWritten) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let answer_timing = Rc::<AnswerTiming>::default();
        let (body_taken, request_timing) = Default::default();
        let written = Rc::new(WriteProgress { body_taken, request_timing, on_written });
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_READ_AHEAD)
            .handshake(TokioIo::new(MonitoredStream {
                stream,
                answer_timing: answer_timing.clone(),
                written: written.clone(),
            }))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            let _guard = guard;
            // An error here is also reported to the current request.
            let _ = connection.await;
        });
        Ok(Connection { sender, written, driver: task.abort_handle(), answer_timing })
    }

    /// Whether it is still open, as far as this side knows.
    pub fn usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Resets the timing of the answer for the next request, and returns it.
    pub fn answer_timing(&self) -> Rc<AnswerTiming> {
        self.answer_timing.since.set(None);
        self.answer_timing.clone()
    }

    /// When the current request was written, and when its answer began.
    pub fn request_timing(&self) -> RequestTiming {
        RequestTiming { answered: self.answer_timing.since.get(), ..self.written.request_timing.get() }
    }

    /// Sends one request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Sent>) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotWritten(Box::new(request)));
        }
        self.written.begin(request.body().is_end_stream());
        let written = self.written.clone();
        let request = request.map(|body| TrackedBody { body, written });
        self.sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
            Some(request) => SendError::NotWritten(Box::new(request.map(|tracked| tracked.body))),
            None if e.error().is_parse() => SendError::BadAnswer,
            None => SendError::MaybeWritten,
        })
    }
}

/// Whether an answer's head defines the end of its body: by exactly one of a length and the coding `chunked`, by
/// `Connection: close`, or by status 204. Danger: without any of these a failed connection looks like a complete
/// body, and of a length beside a transfer coding neither can be trusted.
pub fn framed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let closes = || headers.get_all(CONNECTION).iter().any(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    match (headers.contains_key(CONTENT_LENGTH), headers.contains_key(TRANSFER_ENCODING)) {
        (true, true) => false,
        (false, false) => closes() || response.status() == StatusCode::NO_CONTENT,
        (true, false) => !response.status().is_informational(),
        (false, true) => is_only_chunked(headers) && !response.status().is_informational(),
    }
}

/// Whether the only transfer coding is `chunked`. Danger: the client library reads a body in an unknown
/// coding until the connection closes, and what it returns is not the body.
fn is_only_chunked(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let chunked = codings.next().is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    chunked && codings.next().is_none()
}
