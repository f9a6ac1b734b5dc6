//! Client connections of HTTP/1.1: one request at a time, nothing sent again, closed when dropped.

use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;

/// An open connection. Dropping it closes the socket, whatever is under way on it.
pub struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// How a request on a connection went wrong.
pub enum Broken {
    /// Not a byte of it was written; here it is again.
    Unwritten(Box<Request<Full<Bytes>>>),
    /// Some of it may have been.
    Doubtful,
}

impl Connection {
    /// Connects. `held` lives as long as the socket.
    pub async fn open<H: 'static>(address: SocketAddr, held: H) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(64 * 1024)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            let _held = held;
            // What breaks here is told to the request under way as well.
            let _ = connection.await;
        });
        Ok(Connection { sender, driver: task.abort_handle() })
    }

    /// Whether it is still open, as far as this side knows.
    pub fn usable(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Sends one request and waits for the head of its answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Broken> {
        if self.sender.ready().await.is_err() {
            return Err(Broken::Unwritten(Box::new(request)));
        }
        self.sender.try_send_request(request).await.map_err(|mut e| match e.take_message() {
            Some(request) => Broken::Unwritten(Box::new(request)),
            None => Broken::Doubtful,
        })
    }
}

/// Why a body was not taken in.
pub enum BadBody {
    /// It is longer than allowed.
    TooLong,
    /// The connection broke first.
    Broken,
}

/// Takes in a whole body of at most `most` bytes.
pub async fn whole(body: Incoming, most: usize) -> Result<Bytes, BadBody> {
    match Limited::new(body, most).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => Err(BadBody::TooLong),
        Err(_) => Err(BadBody::Broken),
    }
}
