//! The app servers: where they are, the connections kept to each, attempts and their outcomes, probes.

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
use crate::net::ports::{AttemptEvents, Boxes, Forward, Register, Upstream};
use crate::net::streamed_body::{buffer_body, Buffered, Download, End};
use crate::net::watchdog::Watchdog;
use crate::net::Common;
use pinerelay_traffic::http::{framed, Connection, OnWritten, SendError, Sent};
use pinerelay_traffic::pool::Pool;

/// How long an answer that has begun may stand still. Danger: one that says it is longer than it is never ends. It does
/// harm where app servers pause for longer within a short answer.
const STALL: Duration = Duration::from_millis(400);
/// How long a body whose length is not told is waited for, from its head on, before what has come of it is passed on: it
/// may be a long one, and the first bytes of these are timed.
const LENGTH_WAIT: Duration = Duration::from_millis(200);
/// A connection has this long at least to come up.
const CONNECT_LEAST: Duration = Duration::from_millis(60);
/// How long a probe may take.
const PROBE_WAIT: Duration = Duration::from_millis(250);

/// How long before the client gives up an attempt is given up.
const STOP: Duration = Duration::from_micros(STOP_BEFORE);

/// What is known of an app server beside its address.
struct Named {
    host: HeaderValue,
    since_ms: u64,
}

/// All app servers that discovery has named.
pub struct Servers {
    pool: Rc<Pool<Named>>,
    budget: Rc<Budget>,
    connect_timeout: Duration,
    keep: Duration,
    on_written: OnWritten,
    clock: Rc<Clock>,
    core: Weak<dyn AttemptEvents<Boxes>>,
    room: BodyMemoryPool,
    watchdog: Rc<Watchdog>,
    me: Weak<Servers>,
}

/// A connection to an app server, and of which generation.
struct Line {
    connection: Connection,
    generation: u64,
    /// For how long it stood idle, if it was kept.
    idle: Option<Duration>,
}

/// What came back on a connection.
enum Exchanged {
    /// A whole answer: its outcome, its body if it served, and whether the connection can be kept.
    Whole(Outcome, Option<Bytes>, bool),
    /// The beginning of a long answer that serves.
    Long(Bytes, Incoming),
}

enum NoLine {
    /// No connection came up, or the app server wants nothing new.
    Failed,
    /// No descriptor was to be had.
    Shed,
}

impl Servers {
    /// No app servers yet. Idle connections are dropped at half the time after which the peer may do so: a
    /// request that crosses the peer's close could not be told from one that ran.
    pub fn new(
        Common { budget, body_memory: room, watchdog }: Common,
        connect_timeout: Micros,
        conn_idle: Micros,
        on_written: OnWritten,
        clock: Rc<Clock>,
        core: Weak<dyn AttemptEvents<Boxes>>,
    ) -> Rc<Self> {
        let or = |value: Micros, default| if value > 0 { value } else { default };
        let pool = Pool::new(budget.clone());
        Rc::new_cyclic(|me: &Weak<Servers>| Servers {
            pool,
            budget,
            connect_timeout: Duration::from_micros(or(connect_timeout, 250_000)),
            keep: Duration::from_micros(or(conn_idle, 10_000_000) / 2),
            on_written,
            clock,
            core,
            room,
            watchdog,
            me: me.clone(),
        })
    }

    /// How many connections stand idle.
    pub fn idle(&self) -> usize {
        self.pool.idle()
    }

    /// Closes the connection that has been idle for longest, to free its descriptor.
    pub fn close_an_idle(&self) -> bool {
        self.pool.close_an_idle()
    }

    /// Makes one attempt and tells how it ended, as the protocol's table has it. With the body, if served.
    #[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
    async fn outcome_of(
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
            let line = match timeout_at(until, self.line(server, fresh_only, until - Instant::now())).await {
                Ok(Ok(line)) => line,
                // Nothing has been written.
                Err(_) | Ok(Err(NoLine::Failed)) => return (Outcome::ConnectFailed, None),
                Ok(Err(NoLine::Shed)) => return (Outcome::NotSent, None),
            };
            if self.watchdog.behind() {
                // Danger: what forbids this app server may lie unread.
                self.watchdog.caught_up().await;
                if !self.pool.is_current(server, line.generation) {
                    return (Outcome::ConnectFailed, None);
                }
            }
            let left = match upload {
                None => stop.saturating_sub(self.clock.now()) / 1000,
                Some(upload) => upload.wait.as_millis() as u64,
            };
            let Some(host) = self.pool.more(server, |named| named.host.clone()) else {
                return (Outcome::ConnectFailed, None);
            };
            let message = match request.take() {
                Some(message) => message,
                None => {
                    // An earlier attempt has taken of the body: this one can't be made.
                    let Some(body) = forward.body.body(&self.core, id, number) else {
                        return (Outcome::NotSent, None);
                    };
                    build(forward, body, host, left)
                }
            };
            let Line { mut connection, generation, idle } = line;
            let heard = connection.answer_timing();
            let answer = tokio::select! {
                biased;
                answer = self.exchange(&mut connection, message) => answer,
                // Danger: whether the last byte went out is not known here, so it may have run.
                () = forward.body.wait_until_due(until, STOP) => return (Outcome::TimedOut, None),
                _ = heard.stalled(STALL) => Err(SendError::BadAnswer),
            };
            if upload.is_some_and(|upload| upload.is_broken()) {
                // The client broke it off: it has not run, and the app server has done nothing wrong.
                return (Outcome::NotSent, None);
            }
            if !matches!(answer, Err(SendError::NotWritten(_))) {
                self.pool.reuse.ended(idle, matches!(answer, Err(SendError::MaybeWritten)) && !heard.begun());
            }
            match answer {
                Ok(Exchanged::Whole(outcome, body, reusable)) => {
                    // Danger: an answer that came before the request was whole leaves the rest of it on the line.
                    if reusable && upload.is_none_or(|upload| upload.is_complete()) {
                        self.pool.give_back(server, connection, generation, self.keep);
                    }
                    return (outcome, body);
                }
                Ok(Exchanged::Long(first, rest)) => {
                    let (answer, ended) = Download::new(first, rest, self.room.reserve_stream());
                    if !self.core.upgrade().is_some_and(|core| core.answer_started(id, number, answer)) {
                        return (Outcome::Cancelled, None);
                    }
                    return match ended.await {
                        Ok(End::Complete) => {
                            self.pool.give_back(server, connection, generation, self.keep);
                            (Outcome::Ok, None)
                        }
                        Ok(End::Broken) => (Outcome::Reset, None),
                        // The client has gone.
                        Err(_) => (Outcome::NotSent, None),
                    };
                }
                // Not a byte was written to a kept connection that turned out closed: this is still the same
                // attempt, on a new connection.
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
                // Danger: any app server may spoil an answer. It is alive and no worse than others, and an
                // ejection would take it from all.
                Err(SendError::BadAnswer) => return (Outcome::Error, None),
            }
        }
    }

    /// Writes a request and reads its whole answer; tells too whether the connection can be kept.
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
        let told = body.size_hint().exact().is_some();
        let until = (!told && head.status == StatusCode::OK).then(|| Instant::now() + LENGTH_WAIT);
        let (body, end) = match buffer_body(body, BODY_MOST, until, &self.room).await {
            Ok(Buffered::Complete(body)) => (Some(body), BodyEnd::Complete),
            Ok(Buffered::Partial(first, rest)) if head.status == StatusCode::OK => {
                return Ok(Exchanged::Long(first, rest));
            }
            // Of any other answer the head tells all, and the rest stays unread.
            Ok(Buffered::Partial(..)) => (None, BodyEnd::Unusable),
            Err(BadBody::Broken) => (None, BodyEnd::Broken),
            Err(_) => (None, BodyEnd::Unusable),
        };
        let outcome = outcome(head.status, &head.headers, end);
        if outcome == Outcome::Error && end == BodyEnd::Unusable {
            return Err(SendError::BadAnswer);
        }
        Ok(Exchanged::Whole(outcome, body.filter(|_| outcome == Outcome::Ok), end == BodyEnd::Complete))
    }

    /// A kept connection or a new one.
    async fn line(&self, server: ServerId, fresh_only: bool, left: Duration) -> Result<Line, NoLine> {
        // Danger: a machine that has vanished must not take the time in which another could still be asked.
        let patience = self.connect_timeout.min((left / 4).max(CONNECT_LEAST));
        let reach = self.pool.reach(server, |_| !fresh_only, |_| ()).ok_or(NoLine::Failed)?;
        let (address, generation) = (reach.address, reach.generation);
        if let Some((connection, idle)) = reach.kept {
            return Ok(Line { connection, generation, idle: Some(idle.age()) });
        }
        let connect = async {
            // What finds no place within the connect time-out is shed.
            let slot = self.pool.slot().await;
            Connection::open(address, slot, self.on_written.clone()).await.map_err(|e| is_descriptors(&e))
        };
        match timeout(patience, connect).await {
            Ok(Ok(connection)) => {
                // Danger: the list may have changed while the connection came up.
                self.pool
                    .is_current(server, generation)
                    .then_some(Line { connection, generation, idle: None })
                    .ok_or(NoLine::Failed)
            }
            Ok(Err(true)) => Err(NoLine::Shed),
            Err(_) if self.budget.exhausted() => Err(NoLine::Shed),
            Ok(Err(false)) | Err(_) => Err(NoLine::Failed),
        }
    }

    async fn probed(&self, server: ServerId) -> Outcome {
        let Some(host) = self.pool.more(server, |named| named.host.clone()) else {
            return Outcome::ConnectFailed;
        };
        let Ok(Line { mut connection, generation, .. }) = self.line(server, false, PROBE_WAIT).await else {
            return Outcome::ConnectFailed;
        };
        let mut request = Request::new(Bytes::new().into());
        *request.uri_mut() = Uri::from_static("/alive");
        request.headers_mut().insert(HOST, host);
        match timeout(PROBE_WAIT, self.exchange(&mut connection, request)).await {
            Ok(Ok(Exchanged::Long(..))) => Outcome::Error,
            Ok(Ok(Exchanged::Whole(outcome, _, reusable))) => {
                if reusable {
                    self.pool.give_back(server, connection, generation, self.keep);
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

impl Upstream<Boxes> for Servers {
    fn attempt(
        &self,
        id: RequestId,
        number: usize,
        server: ServerId,
        forward: Rc<Forward>,
        stop: Micros,
    ) -> AbortHandle {
        let (servers, core) = (self.me.clone(), self.core.clone());
        let task = tokio::task::spawn_local(async move {
            let Some(servers) = servers.upgrade() else { return };
            let (outcome, body) = servers.outcome_of((&id, number), server, &forward, stop).await;
            if let Some(core) = core.upgrade() {
                core.attempt_ended(&id, number, outcome, body);
            }
        });
        task.abort_handle()
    }

    /// The decisions know of every limit here.
    fn would_retry(&self, _: &Forward) -> bool {
        true
    }

    fn probe(&self, server: ServerId) {
        let (servers, core) = (self.me.clone(), self.core.clone());
        tokio::task::spawn_local(async move {
            let Some(servers) = servers.upgrade() else { return };
            let outcome = servers.probed(server).await;
            if let Some(core) = core.upgrade() {
                core.event(Event::Probed { server, outcome });
            }
        });
    }
}

impl Register for Servers {
    fn set(&self, id: ServerId, address: Option<SocketAddr>, since_ms: u64, up: bool) -> bool {
        let first = |address| Named { host: host_header(address), since_ms };
        self.pool.set(id, address, up, first, |named, address| {
            let another = named.since_ms != since_ms;
            *named = Named { host: host_header(address), since_ms };
            another
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
fn is_descriptors(error: &std::io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}

fn build(forward: &Forward, body: Sent, host: HeaderValue, left_ms: u64) -> Request<Sent> {
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
