//! The operators' HTTP interface: readiness, metrics, and exclusion and inclusion of app servers.

pub mod figures;

use std::cell::Cell;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, CONTENT_TYPE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use pinerelay_succession::held::Call;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::AbortHandle;
use tokio::time::timeout;

use crate::net::body::{read_body, BadBody};
use crate::net::clients::listen::listen;
use crate::net::operators::figures::Metrics;
use crate::net::servers::members::Members;
use crate::net::succession::shared::Shared;

/// Maximum concurrent callers, one descriptor each. A further caller replaces the oldest.
pub const MAX_CALLERS: usize = 12;
/// Time limit of a connection. A caller that never completes its call must not occupy a descriptor forever.
const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Maximum length of a call's body, in bytes: it contains one name.
const MAX_BODY_BYTES: usize = 4 * 1024;
/// Maximum length of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Answers operators' calls.
pub struct Ops {
    metrics: Rc<Metrics>,
    members: Rc<Members>,
    shared: Rc<Shared>,
    ready: Cell<bool>,
}

impl Ops {
    /// Creates the interface; it reports not ready until `set_ready`.
    pub fn new(metrics: Rc<Metrics>, members: Rc<Members>, shared: Rc<Shared>) -> Rc<Self> {
        Rc::new(Ops { metrics, members, shared, ready: Cell::new(false) })
    }

    /// Sets whether this process accepts clients.
    pub fn set_ready(&self, ready: bool) {
        self.ready.set(ready);
    }

    /// Listens at this address.
    pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
        listen(address, 64)
    }

    /// Accepts and answers callers; never returns.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        let mut callers: VecDeque<AbortHandle> = VecDeque::new();
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    callers.retain(|caller| !caller.is_finished());
                    if callers.len() >= MAX_CALLERS {
                        callers.pop_front().into_iter().for_each(|oldest| oldest.abort());
                    }
                    let ops = self.clone();
                    callers.push_back(tokio::task::spawn_local(ops.call(stream)).abort_handle());
                }
                Err(error) => {
                    eprintln!("pinerelay: operators: accepting a connection failed: {error}");
                    callers.pop_front().into_iter().for_each(|oldest| oldest.abort());
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn call(self: Rc<Self>, stream: TcpStream) {
        // A failure only delays answers.
        let _ = stream.set_nodelay(true);
        let service = service_fn(|request| {
            let ops = self.clone();
            async move { Ok::<_, Infallible>(ops.answer(request).await) }
        });
        let connection = http1::Builder::new()
            .keep_alive(false)
            .max_buf_size(MAX_HEAD_BYTES)
            .header_read_timeout(None)
            .serve_connection(TokioIo::new(stream), service);
        // A caller that disconnects or takes too long needs no error answer.
        let _ = timeout(CALL_TIMEOUT, connection).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (head, body) = request.into_parts();
        let get = || (head.method == Method::GET).then_some(()).ok_or(wrong_method("GET"));
        let result = match head.uri.path() {
            "/api/ready" => get().and_then(|()| match self.ready.get() {
                true => Ok("ready\n".to_string()),
                false => Err((StatusCode::SERVICE_UNAVAILABLE, "this process takes no clients\n".into())),
            }),
            "/api/telemetry" => get().map(|()| self.metrics.text(self.members.metrics())),
            "/api/exclude" => self.set_excluded(&head.method, body, Call::Exclude).await,
            "/api/include" => self.set_excluded(&head.method, body, Call::Include).await,
            _ => Err((StatusCode::NOT_FOUND, "no such call\n".to_string())),
        };
        let (status, text) = match result {
            Ok(text) => (StatusCode::OK, text),
            Err((status, why)) => (status, why),
        };
        let mut response = Response::new(Full::new(Bytes::from(text)));
        *response.status_mut() = status;
        response
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4; charset=utf-8"));
        response
    }

    /// Excludes or includes an app server. Both are idempotent.
    async fn set_excluded(
        &self,
        method: &Method,
        body: Incoming,
        call: Call,
    ) -> Result<String, (StatusCode, String)> {
        if method != Method::POST {
            return Err(wrong_method("POST"));
        }
        let unreadable =
            |_| (StatusCode::BAD_REQUEST, "the body is to hold an app server's id\n".to_string());
        let body = read_body(body, MAX_BODY_BYTES).await.map_err(unreadable)?;
        let name = std::str::from_utf8(&body).map_err(|_| unreadable(BadBody::Malformed))?.trim();
        if !self.members.known(name) && !self.shared.is_excluded(name) {
            return Err((StatusCode::NOT_FOUND, format!("no app server {name:?} is known here\n")));
        }
        let recorded = self.shared.call(name, call);
        // An exclusion takes effect here at once, before the other processes know of it.
        self.members.refresh_exclusions();
        let call_result = recorded.await;
        self.members.refresh_exclusions();
        call_result.map(|()| "done\n".to_string()).map_err(|error| {
            let why = match call {
                Call::Exclude => format!("out here, but the next process does not know of it yet: {error}\n"),
                Call::Include => format!("call again, it may stay out: {error}\n"),
            };
            eprintln!("pinerelay: operators: {name}: {}", why.trim_end());
            (StatusCode::INTERNAL_SERVER_ERROR, why)
        })
    }
}

fn wrong_method(wanted: &str) -> (StatusCode, String) {
    (StatusCode::METHOD_NOT_ALLOWED, format!("{wanted} is wanted here\n"))
}
