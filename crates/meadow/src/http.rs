//! Plain HTTP/1.1 connections of the play's own clients, servers and operator.

use std::io;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::CONNECTION;
use hyper::{HeaderMap, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::timeout;

/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(500);

/// A whole answer.
#[derive(Debug)]
pub struct Reply {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

impl Reply {
    /// A header's value, if it is a text.
    pub fn header(&self, name: &str) -> Option<String> {
        self.headers.get(name).and_then(|v| v.to_str().ok()).map(String::from)
    }

    /// Whether its sender closes the connection after it.
    pub fn closes(&self) -> bool {
        self.headers.get(CONNECTION).is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"))
    }
}

/// An open connection; dropped, it is closed, whatever is under way on it.
pub struct Line {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Line {
    /// Connects.
    pub async fn open(address: SocketAddrV4) -> io::Result<Line> {
        let stream = timeout(CONNECT, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // What breaks here is told to the request under way as well.
            let _ = connection.await;
        });
        Ok(Line { sender, driver: task.abort_handle() })
    }

    /// Whether its other end has closed it.
    pub fn closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and takes in the whole answer.
    pub async fn send(&mut self, request: Request<Full<Bytes>>) -> Result<Reply, hyper::Error> {
        self.sender.ready().await?;
        let (head, body) = self.sender.send_request(request).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Reply { status: head.status, headers: head.headers, body })
    }
}

/// Makes one call of the control interface on a connection of its own; none if it is not answered within a second.
pub async fn call(address: SocketAddrV4, query: &str, body: String) -> Option<Reply> {
    let request = Request::post(format!("/-/rpc?{query}"))
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .ok()?;
    let answered = async { Line::open(address).await.ok()?.send(request).await.ok() };
    timeout(Duration::from_secs(1), answered).await.ok().flatten()
}
