//! App servers: addresses, pooled connections, attempts and their outcomes, probes.

pub mod backoff;
pub mod discovery;
pub mod members;

use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, StatusCode, Uri};
use mountbend::interface::{Event, Micros, Outcome, RequestId, ServerId};
use pinerelay_protocol::outcome::{outcome, BodyEnd};
use pinerelay_protocol::request::{BODY_MOST, DEADLINE, IDEMPOTENCY_KEY, REQUEST_ID};
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

use crate::net::body::BadBody;
use crate::net::body_memory::BodyMemoryPool;
use crate::net::budget::Budget;
use crate::net::clock::Clock;
use crate::net::node::STOP_BEFORE;
use crate::net::ports::{AttemptEvents, EdgeTraffic, Forward, ServerTable, Upstream};
use crate::net::streamed_body::{buffer_body, Buffered, Download, End};
use crate::net::watchdog::Watchdog;
use crate::net::Common;
use pinerelay_traffic::http::{framed, Connection, OnWritten, SendError, Sent};
use pinerelay_traffic::pool::Pool;

/// How long an answer that has begun may stall. Danger: an answer that is shorter than its announced length never ends.
/// Cost: app servers that pause for longer within a short answer are cut off.
const STALL_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a body of unknown length is buffered, from its head on, before the part received is passed on: it may be a
/// long one, and the time to the first bytes of these counts.
const UNKNOWN_LENGTH_WAIT: Duration = Duration::from_millis(200);
/// Minimum time allowed for connecting.
const MIN_CONNECT_TIME: Duration = Duration::from_millis(60);
/// How long a probe may take.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// How long before the client's deadline an attempt is abandoned.
const STOP_MARGIN: Duration = Duration::from_micros(STOP_BEFORE);

/// What is known of an app server besides its address.
struct ServerInfo {
    host: HeaderValue,
    since_ms: u64,
}

/// All app servers that discovery has listed.
pub struct Servers {
    pool: Rc<Pool<ServerInfo>>,
    budget: Rc<Budget>,
    connect_timeout: Duration,
    idle_timeout: Duration,
    on_written: OnWritten,
    clock: Rc<Clock>,
    core: Weak<dyn AttemptEvents<EdgeTraffic>>,
    body_pool: BodyMemoryPool,
    watchdog: Rc<Watchdog>,
    weak_self: Weak<Servers>,
}

/// A connection to an app server, and the generation of its pool entry.
struct AcquiredConnection {
    connection: Connection,
    generation: u64,
    /// How long it had been idle, if it came from the pool.
    idle: Option<Duration>,
}

/// The answer received on a connection.
enum Exchanged {
    /// A complete answer: its outcome, its body if the outcome is `Ok`, and whether the connection can be reused.
    Full(Outcome, Option<Bytes>, bool),
    /// The first part of a long answer with status 200, and the rest of its body.
    Long(Bytes, Incoming),
}

/// Why there is no connection.
enum AcquireError {
    /// Connecting failed, or the app server accepts no new requests.
    Failed,
    /// No file descriptor was available.
    Shed,
}

impl Servers {
    /// Creates an empty table. Idle connections are dropped at half the time after which the peer may do so: a request
    /// that crosses the peer's close could not be distinguished from one that ran.
    pub fn new(
        Common { budget, body_memory: body_pool, watchdog }: Common,
        connect_timeout: Micros,
        conn_idle: Micros,
        on_written: OnWritten,
        clock: Rc<Clock>,
        core: Weak<dyn AttemptEvents<EdgeTraffic>>,
    ) -> Rc<Self> {
        let or = |value: Micros, default| if value > 0 { value } else { default };
        let pool = Pool::new(budget.clone());
        Rc::new_cyclic(|weak_self: &Weak<Servers>| Servers {
            pool,
            budget,
            connect_timeout: Duration::from_micros(or(connect_timeout, 250_000)),
            idle_timeout: Duration::from_micros(or(conn_idle, 10_000_000) / 2),
            on_written,
            clock,
            core,
            body_pool,
            watchdog,
            weak_self: weak_self.clone(),
        })
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.pool.idle()
    }

    /// Closes the connection that has been idle for longest, to free its descriptor.
    pub fn close_an_idle(&self) -> bool {
        self.pool.close_an_idle()
    }

    /// Makes one attempt. Returns its outcome by the protocol's table, and the body of a buffered answer.
    #[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
    async fn attempt_outcome(
        &self,
        (id, number): (&RequestId, usize),
        server: ServerId,
        forward: &Forward,
        stop: Micros,
    ) -> (Outcome, Option<Bytes>) {
        let upload = forward.body.streamed();
        let until = forward.body.connect_by(self.clock.instant(stop));
        let mut fresh_only = false;
        let mut request = None;
        loop {
            let acquired =
                match timeout_at(until, self.acquire(server, fresh_only, until - Instant::now())).await {
                    Ok(Ok(acquired)) => acquired,
                    // Nothing has been written.
                    Err(_) | Ok(Err(AcquireError::Failed)) => return (Outcome::ConnectFailed, None),
                    Ok(Err(AcquireError::Shed)) => return (Outcome::NotSent, None),
                };
            if self.watchdog.behind() {
                // Danger: after a stall, a message that forbids this app server may still be unread.
                self.watchdog.caught_up().await;
                if !self.pool.is_current(server, acquired.generation) {
                    return (Outcome::ConnectFailed, None);
                }
            }
            let remaining = match upload {
                None => stop.saturating_sub(self.clock.now()) / 1000,
                Some(upload) => upload.wait.as_millis() as u64,
            };
            let Some(host) = self.pool.more(server, |info| info.host.clone()) else {
                return (Outcome::ConnectFailed, None);
            };
            let message = match request.take() {
                Some(message) => message,
                None => {
                    // An earlier attempt has consumed part of the body: this one can't be made.
                    let Some(body) = forward.body.body(&self.core, id, number) else {
                        return (Outcome::NotSent, None);
                    };
                    build_request(forward, body, host, remaining)
                }
            };
            let AcquiredConnection { mut connection, generation, idle } = acquired;
            let timing = connection.answer_timing();
            let answer = tokio::select! {
                biased;
                answer = self.exchange(&mut connection, message) => answer,
                // Danger: the last byte may have been written, so the request may have run.
                () = forward.body.wait_until_due(until, STOP_MARGIN) => return (Outcome::TimedOut, None),
                _ = timing.stalled(STALL_TIMEOUT) => Err(SendError::BadAnswer),
            };
            if upload.is_some_and(|upload| upload.is_broken()) {
                // The client aborted the upload: the request has not run, and the app server is not at fault.
                return (Outcome::NotSent, None);
            }
            if !matches!(answer, Err(SendError::NotWritten(_))) {
                self.pool
                    .reuse
                    .ended(idle, matches!(answer, Err(SendError::MaybeWritten)) && !timing.begun());
            }
            match answer {
                Ok(Exchanged::Full(outcome, body, reusable)) => {
                    // Danger: a connection whose answer came before the request was complete can't be reused.
                    if reusable && upload.is_none_or(|upload| upload.is_complete()) {
                        self.pool.give_back(server, connection, generation, self.idle_timeout);
                    }
                    return (outcome, body);
                }
                Ok(Exchanged::Long(first, rest)) => {
                    let (answer, ended) = Download::new(first, rest, self.body_pool.reserve_stream());
                    if !self.core.upgrade().is_some_and(|core| core.answer_started(id, number, answer)) {
                        return (Outcome::Cancelled, None);
                    }
                    return match ended.await {
                        Ok(End::Complete) => {
                            self.pool.give_back(server, connection, generation, self.idle_timeout);
                            (Outcome::Ok, None)
                        }
                        Ok(End::Broken) => (Outcome::Reset, None),
                        // The client has gone.
                        Err(_) => (Outcome::NotSent, None),
                    };
                }
                // No byte was written, as the pooled connection turned out closed: the same attempt continues on a new
                // connection.
                Err(SendError::NotWritten(message)) if idle.is_some() => {
                    request = Some(*message);
                    fresh_only = true;
                }
                Err(SendError::NotWritten(message)) => {
                    if let Sent::Streamed(body) = message.into_body() {
                        body.give_back();
                    }
                    return (Outcome::ConnectFailed, None);
                }
                // Its last byte has not been written.
                Err(SendError::MaybeWritten) if upload.is_some_and(|upload| !upload.is_complete()) => {
                    return (Outcome::ConnectFailed, None);
                }
                Err(SendError::MaybeWritten) => return (Outcome::Reset, None),
                // Danger: any app server may send a malformed answer. It is alive and no worse than others, and ejecting it
                // would take it from all requests.
                Err(SendError::BadAnswer) => return (Outcome::Error, None),
            }
        }
    }

    /// Sends a request and reads its answer, whole or up to the first part of a long one.
    async fn exchange(
        &self,
        connection: &mut Connection,
        message: Request<Sent>,
    ) -> Result<Exchanged, SendError> {
        let response = connection.send(message).await?;
        if !framed(&response) {
            return Err(SendError::BadAnswer);
        }
        let (head, body) = response.into_parts();
        let length_known = body.size_hint().exact().is_some();
        let until =
            (!length_known && head.status == StatusCode::OK).then(|| Instant::now() + UNKNOWN_LENGTH_WAIT);
        let (body, end) = match buffer_body(body, BODY_MOST, until, &self.body_pool).await {
            Ok(Buffered::Complete(body)) => (Some(body), BodyEnd::Complete),
            Ok(Buffered::Partial(first, rest)) if head.status == StatusCode::OK => {
                return Ok(Exchanged::Long(first, rest));
            }
            // For any other answer the head is sufficient, and the rest stays unread.
            Ok(Buffered::Partial(..)) => (None, BodyEnd::Unusable),
            Err(BadBody::Broken) => (None, BodyEnd::Broken),
            Err(_) => (None, BodyEnd::Unusable),
        };
        let outcome = outcome(head.status, &head.headers, end);
        if outcome == Outcome::Error && end == BodyEnd::Unusable {
            return Err(SendError::BadAnswer);
        }
        Ok(Exchanged::Full(outcome, body.filter(|_| outcome == Outcome::Ok), end == BodyEnd::Complete))
    }

    /// Takes a connection from the pool or opens a new one.
    async fn acquire(
        &self,
        server: ServerId,
        fresh_only: bool,
        remaining: Duration,
    ) -> Result<AcquiredConnection, AcquireError> {
        // Danger: connecting to a vanished machine must not use up the time for an attempt at another.
        let connect_limit = self.connect_timeout.min((remaining / 4).max(MIN_CONNECT_TIME));
        let reach = self.pool.reach(server, |_| !fresh_only, |_| ()).ok_or(AcquireError::Failed)?;
        let (address, generation) = (reach.address, reach.generation);
        if let Some((connection, idle)) = reach.kept {
            return Ok(AcquiredConnection { connection, generation, idle: Some(idle.age()) });
        }
        let connect = async {
            // Without a free descriptor within the connect timeout the attempt is shed.
            let slot = self.pool.slot().await;
            Connection::open(address, slot, self.on_written.clone())
                .await
                .map_err(|e| is_descriptor_limit(&e))
        };
        match timeout(connect_limit, connect).await {
            Ok(Ok(connection)) => {
                // Danger: the list may have changed while connecting.
                self.pool
                    .is_current(server, generation)
                    .then_some(AcquiredConnection { connection, generation, idle: None })
                    .ok_or(AcquireError::Failed)
            }
            Ok(Err(true)) => Err(AcquireError::Shed),
            Err(_) if self.budget.exhausted() => Err(AcquireError::Shed),
            Ok(Err(false)) | Err(_) => Err(AcquireError::Failed),
        }
    }

    async fn run_probe(&self, server: ServerId) -> Outcome {
        let Some(host) = self.pool.more(server, |info| info.host.clone()) else {
            return Outcome::ConnectFailed;
        };
        let Ok(AcquiredConnection { mut connection, generation, .. }) =
            self.acquire(server, false, PROBE_TIMEOUT).await
        else {
            return Outcome::ConnectFailed;
        };
        let mut request = Request::new(Bytes::new().into());
        *request.uri_mut() = Uri::from_static("/alive");
        request.headers_mut().insert(HOST, host);
        match timeout(PROBE_TIMEOUT, self.exchange(&mut connection, request)).await {
            Ok(Ok(Exchanged::Long(..))) => Outcome::Error,
            Ok(Ok(Exchanged::Full(outcome, _, reusable))) => {
                if reusable {
                    self.pool.give_back(server, connection, generation, self.idle_timeout);
                }
                outcome
            }
            Ok(Err(SendError::NotWritten(_))) => Outcome::ConnectFailed,
            Ok(Err(SendError::MaybeWritten)) => Outcome::Reset,
            Ok(Err(SendError::BadAnswer)) => Outcome::Error,
            Err(_) => Outcome::TimedOut,
        }
    }
}

impl Upstream<EdgeTraffic> for Servers {
    fn attempt(
        &self,
        id: RequestId,
        number: usize,
        server: ServerId,
        forward: Rc<Forward>,
        stop: Micros,
    ) -> AbortHandle {
        let (servers, core) = (self.weak_self.clone(), self.core.clone());
        let task = tokio::task::spawn_local(async move {
            let Some(servers) = servers.upgrade() else { return };
            let (outcome, body) = servers.attempt_outcome((&id, number), server, &forward, stop).await;
            if let Some(core) = core.upgrade() {
                core.attempt_ended(&id, number, outcome, body);
            }
        });
        task.abort_handle()
    }

    /// Always true: the controller knows every limit that applies here.
    fn would_retry(&self, _: &Forward) -> bool {
        true
    }

    fn probe(&self, server: ServerId) {
        let (servers, core) = (self.weak_self.clone(), self.core.clone());
        tokio::task::spawn_local(async move {
            let Some(servers) = servers.upgrade() else { return };
            let outcome = servers.run_probe(server).await;
            if let Some(core) = core.upgrade() {
                core.event(Event::Probed { server, outcome });
            }
        });
    }
}

impl ServerTable for Servers {
    fn set(&self, id: ServerId, address: Option<SocketAddr>, since_ms: u64, up: bool) -> bool {
        let first = |address| ServerInfo { host: host_header(address), since_ms };
        self.pool.set(id, address, up, first, |info, address| {
            let restarted = info.since_ms != since_ms;
            *info = ServerInfo { host: host_header(address), since_ms };
            restarted
        })
    }

    fn keep_only(&self, listed: &[ServerId]) {
        self.pool.retain(|id| listed.contains(&id));
    }

    fn remove(&self, id: ServerId) {
        self.pool.remove(id);
    }
}

fn host_header(address: SocketAddr) -> HeaderValue {
    HeaderValue::from_str(&address.to_string()).unwrap_or(HeaderValue::from_static("localhost"))
}

/// Whether a connection failed because this process may hold no more descriptors.
fn is_descriptor_limit(error: &std::io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}

fn build_request(forward: &Forward, body: Sent, host: HeaderValue, left_ms: u64) -> Request<Sent> {
    let mut request = Request::new(body);
    *request.method_mut() = forward.method.clone();
    *request.uri_mut() = forward.uri.clone();
    let headers = request.headers_mut();
    headers.insert(HOST, host);
    headers.insert(REQUEST_ID, forward.id.clone());
    headers.insert(DEADLINE, HeaderValue::from(left_ms));
    if let Some(key) = &forward.key {
        headers.insert(IDEMPOTENCY_KEY, key.clone());
    }
    request
}
