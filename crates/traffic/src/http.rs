//! Client connections of HTTP/1.1: one request at a time, nothing sent again, closed when dropped.

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

use crate::long::{Outgoing, UploadBody};
use crate::passage::Passage;

/// What a connection reads ahead at most; no head is longer.
const BUFFER_MOST: usize = 16 * 1024;

/// An open connection. Dropping it closes the socket, whatever is under way on it.
pub struct Connection {
    sender: SendRequest<Told>,
    written: Rc<Written>,
    driver: AbortHandle,
    heard: Rc<Heard>,
}

/// When the answer under way began to come, and last went on.
#[derive(Default)]
pub struct Heard {
    since: Cell<Option<Instant>>,
    last: Cell<Option<Instant>>,
    first: Notify,
}

impl Heard {
    /// Whether an answer has begun.
    pub fn begun(&self) -> bool {
        self.since.get().is_some()
    }

    /// Comes back once an answer has begun and nothing more of it has come for this long.
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

/// What is told once a request has been written whole.
pub type OnWritten = Option<Rc<dyn Fn()>>;

/// How far the request under way has been written.
struct Written {
    /// Its last byte has been handed to the connection.
    given: Cell<bool>,
    /// How many bytes of it have gone to the socket, and when.
    passage: Cell<Passage>,
    tell: OnWritten,
}

impl Written {
    fn begin(&self, given: bool) {
        self.given.set(given);
        self.passage.take();
    }

    /// So many bytes have gone to the socket.
    fn wrote(&self, bytes: usize) {
        let mut passage = self.passage.get();
        passage.begun.get_or_insert_with(Instant::now);
        passage.bytes += bytes as u64;
        self.passage.set(passage);
    }

    /// All that the connection was handed has gone to the socket.
    fn flushed(&self) {
        let mut passage = self.passage.get();
        if self.given.get() && passage.bytes > 0 && passage.flushed.is_none() {
            passage.flushed = Some(Instant::now());
            self.passage.set(passage);
            self.tell.iter().for_each(|tell| tell());
        }
    }
}

/// What goes to a peer.
pub type Sent = Outgoing<UploadBody>;

/// A body that tells when its last piece has been taken.
struct Told {
    body: Sent,
    written: Rc<Written>,
}

impl Body for Told {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if self.body.is_end_stream() || matches!(polled, Poll::Ready(None)) {
            self.written.given.set(true);
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

/// A socket that notes when an answer begins.
struct Watched {
    stream: TcpStream,
    heard: Rc<Heard>,
    written: Rc<Written>,
}

impl Watched {
    fn wrote(&self, polled: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes @ 1..)) = polled {
            self.written.wrote(*bytes);
        }
    }
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.heard.last.set(Some(Instant::now()));
            if self.heard.since.get().is_none() {
                self.heard.since.set(self.heard.last.get());
                self.heard.first.notify_waiters();
            }
        }
        polled
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.wrote(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.wrote(&polled);
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

/// How a request on a connection went wrong.
pub enum Broken {
    /// Not a byte of it was written; here it is again.
    Unwritten(Box<Request<Sent>>),
    /// Some of it may have been, and the connection broke.
    Doubtful,
    /// It was answered with what can't be read, or can't be trusted. The connection is of no further use.
    Spoilt,
}

impl Connection {
    /// Connects. `held` lives as long as the socket.
    pub async fn open<H: 'static>(address: SocketAddr, held: H, tell: OnWritten) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let heard = Rc::<Heard>::default();
        let (given, passage) = Default::default();
        let written = Rc::new(Written { given, passage, tell });
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(BUFFER_MOST)
            .handshake(TokioIo::new(Watched { stream, heard: heard.clone(), written: written.clone() }))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            let _held = held;
            // What breaks here is told to the request under way as well.
            let _ = connection.await;
        });
        Ok(Connection { sender, written, driver: task.abort_handle(), heard })
    }

    /// Whether it is still open, as far as this side knows.
    pub fn usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Tells when the answer to the next request begins.
    pub fn heard(&self) -> Rc<Heard> {
        self.heard.since.set(None);
        self.heard.clone()
    }

    /// How the request under way went out, and when its answer began.
    pub fn passage(&self) -> Passage {
        Passage { answered: self.heard.since.get(), ..self.written.passage.get() }
    }

    /// Sends one request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Sent>) -> Result<Response<Incoming>, Broken> {
        if self.sender.ready().await.is_err() {
            return Err(Broken::Unwritten(Box::new(request)));
        }
        self.written.begin(request.body().is_end_stream());
        let written = self.written.clone();
        let request = request.map(|body| Told { body, written });
        self.sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
            Some(request) => Broken::Unwritten(Box::new(request.map(|told| told.body))),
            None if e.error().is_parse() => Broken::Spoilt,
            None => Broken::Doubtful,
        })
    }
}

/// Whether an answer's head tells without doubt where the answer ends. Danger: without a length a broken
/// connection looks like a whole body, and of two different ones neither can be believed.
pub fn framed(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    let closes = || headers.get_all(CONNECTION).iter().any(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    match (headers.contains_key(CONTENT_LENGTH), headers.contains_key(TRANSFER_ENCODING)) {
        (true, true) => false,
        (false, false) => closes() || response.status() == StatusCode::NO_CONTENT,
        (true, false) => !response.status().is_informational(),
        (false, true) => chunked_alone(headers) && !response.status().is_informational(),
    }
}

/// Whether a body comes in chunks and in no other coding. Danger: the client library reads a body of a coding that it does
/// not know up to the connection's end, and what comes is not the body.
fn chunked_alone(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    let chunked = codings.next().is_some_and(|coding| coding.as_bytes().eq_ignore_ascii_case(b"chunked"));
    chunked && codings.next().is_none()
}
