//! Attempts to send a request to a server.
//!
//! An attempt connects, sends the request once, and reads the response. The execution status of the request is raised before the
//! first byte is written, and lowered again only if none was written, so an attempt that is cancelled at any point leaves a correct
//! status.

use std::cell::RefCell;
use std::ops::ControlFlow;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response, Version};
use mountbend::interface::{Micros, Outcome, RequestId, ServerId};
use pinerelay_config_state::execution::ExecutionStatus;
use pinerelay_traffic::body::BadBody;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::http::{framed, Connection, SendError, Sent};
use pinerelay_traffic::node::STOP_BEFORE;
use pinerelay_traffic::ports::{AttemptEvents, Upstream};
use pinerelay_traffic::streamed_body::{buffer_body, Buffered, Download, End, Upload};
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

use crate::attempt_outcome::{ConnectionDisposition, ResponseDisposition, ResponseHandling};
use crate::forwarded_request::RejectedAttempt;
use crate::proxied_request::{ProxiedRequest, ProxyTraffic};
use crate::request_head::KEEP_ALIVE;
use crate::response_class::{classify, has_request_id, ResponseClass};
use crate::server_pool::{ConnectError, ServerConnection, ServerPool, DEFAULT_KEEP_ALIVE};
use crate::versions::{Observation, ServiceVersions};

#[cfg(test)]
mod tests;

/// Maximum length of a body that is buffered, in bytes; a longer one is streamed.
pub const BUFFERED_BODY_LENGTH: usize = 64 * 1024;
/// Fraction of the server's keep-alive timeout after which an idle connection is closed.
const KEEP_ALIVE_USE: f64 = 0.8;
/// An attempt is aborted this long before its client gives up.
const STOP_MARGIN: Duration = Duration::from_micros(STOP_BEFORE);

/// Makes the attempts of a service's requests at the servers of one version.
pub struct UpstreamConnector {
    /// The name of the service.
    service: String,
    /// The name of the version.
    version: Rc<str>,
    /// The versions of the service, and what this proxy has measured of them.
    versions: Rc<ServiceVersions>,
    servers: Rc<ServerPool>,
    clock: Rc<Clock>,
    /// The node to which the attempts are reported.
    core: Weak<dyn AttemptEvents<ProxyTraffic>>,
    weak_self: Weak<UpstreamConnector>,
}

/// A response that was read completely.
struct CompleteResponse {
    class: ResponseClass,
    response: Response<Bytes>,
    /// How long its connection may be kept idle; `None` if it must be closed.
    keep_alive: Option<Duration>,
}

/// The first part of a response that is streamed to the client.
struct StreamedResponse {
    head: Parts,
    first: Bytes,
    rest: Incoming,
    /// How long its connection may be kept idle; `None` if it must be closed.
    keep_alive: Option<Duration>,
}

/// A response received on a connection.
enum ReceivedResponse {
    Complete(CompleteResponse),
    Streamed(StreamedResponse),
}

/// The result of an attempt, with the response for the client if there is one.
struct AttemptEnd {
    outcome: Outcome,
    response: Option<Response<Bytes>>,
}

impl From<Outcome> for AttemptEnd {
    fn from(outcome: Outcome) -> AttemptEnd {
        AttemptEnd { outcome, response: None }
    }
}

/// The connection used by an attempt.
struct AttemptConnection {
    connection: Connection,
    /// The generation of the server's address.
    generation: u64,
    /// Whether it came from the pool.
    is_reused: bool,
}

/// One attempt at one server.
struct Attempt<'a> {
    connector: &'a UpstreamConnector,
    id: &'a RequestId,
    number: usize,
    server: ServerId,
    request: &'a ProxiedRequest,
    /// When the attempt is aborted, by the proxy's clock.
    abort_at: Micros,
    /// Measures the attempt for the rollout report, once the request is sent.
    observation: RefCell<Option<Observation>>,
}

impl UpstreamConnector {
    /// Creates the connector of a service version.
    pub fn new(
        service: &str,
        version: &str,
        versions: Rc<ServiceVersions>,
        servers: Rc<ServerPool>,
        clock: Rc<Clock>,
        core: Weak<dyn AttemptEvents<ProxyTraffic>>,
    ) -> Rc<UpstreamConnector> {
        let (service, version) = (service.into(), version.into());
        Rc::new_cyclic(|weak_self| UpstreamConnector {
            service,
            version,
            versions,
            servers,
            clock,
            core,
            weak_self: weak_self.clone(),
        })
    }

    /// Takes the permission to send a request again, which the route's attempt limit and the shared retry budget must allow. The
    /// first attempt needs none.
    fn take_retry(&self, request: &ProxiedRequest) -> bool {
        let sent = request.state.sent.get();
        let now = self.clock.now();
        sent == 0
            || sent < request.max_attempts
                && self.servers.retry_budget.borrow_mut().try_take(now, &self.service, self.servers.proxies())
    }
}

impl Attempt<'_> {
    fn servers(&self) -> &ServerPool {
        &self.connector.servers
    }

    fn upload(&self) -> Option<&Rc<Upload>> {
        self.request.body.streamed()
    }

    /// Makes the attempt. A pooled connection that turns out to be closed before anything was written is replaced by a new one.
    async fn run(&self) -> AttemptEnd {
        let connect_deadline = self.request.body.connect_by(self.connector.clock.instant(self.abort_at));
        let mut unsent_message = None;
        loop {
            let connection = match self.connect(connect_deadline, unsent_message.is_some()).await {
                Ok(connection) => connection,
                Err(outcome) => return outcome.into(),
            };
            match self.send(connection, unsent_message.take(), connect_deadline).await {
                ControlFlow::Break(end) => return end,
                ControlFlow::Continue(message) => unsent_message = Some(message),
            }
        }
    }

    /// Gets a connection for the request. Writes nothing.
    async fn connect(&self, connect_deadline: Instant, new_only: bool) -> Result<ServerConnection, Outcome> {
        let connect = self.servers().connect(self.server, new_only, connect_deadline - Instant::now());
        let connection = match timeout_at(connect_deadline, connect).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(ConnectError::Exhausted)) => return Err(Outcome::Rejected),
            Ok(Err(ConnectError::Failed)) | Err(_) => return Err(Outcome::ConnectFailed),
        };
        let watchdog = &self.servers().common.watchdog;
        if watchdog.behind() {
            // This process lags behind: a message that removes this server may not have been read yet.
            watchdog.caught_up().await;
            if !self.servers().connections.is_current(self.server, connection.generation) {
                return Err(Outcome::ConnectFailed);
            }
        }
        Ok(connection)
    }

    /// Sends the request on a connection and reads the response. Returns `Continue` with the message if nothing was written and a
    /// new connection may be tried.
    async fn send(
        &self,
        server_connection: ServerConnection,
        unsent_message: Option<Request<Sent>>,
        connect_deadline: Instant,
    ) -> ControlFlow<AttemptEnd, Request<Sent>> {
        let ServerConnection { mut connection, generation, server_id, idle_period } = server_connection;
        let idle_for = idle_period.as_ref().map(|period| period.age());
        let message = self.build_message(unsent_message, server_id);
        let message = match message {
            Some(message) if self.may_still_send(connect_deadline) => message,
            unsent_request => {
                self.servers().return_unused(self.server, connection, generation, idle_period);
                unsent_request.into_iter().for_each(|message| give_back(message.into_body()));
                return ControlFlow::Break(Outcome::NotSent.into());
            }
        };
        let execution_before = self.mark_sending();
        let response_progress = connection.answer_timing();
        let result = tokio::select! {
            biased;
            result = self.exchange(&mut connection, message, idle_period.is_some()) => result,
            // It is unknown whether the last byte was sent, so the request may have been executed.
            () = self.request.body.wait_until_due(connect_deadline, STOP_MARGIN) => {
                return ControlFlow::Break(Outcome::TimedOut.into());
            }
        };
        if matches!(result, Err(SendError::NotWritten(_))) {
            self.unmark_sending(execution_before);
        } else {
            let was_closed_early =
                matches!(result, Err(SendError::MaybeWritten)) && !response_progress.begun();
            self.servers().count_sent();
            self.servers().connections.reuse.ended(idle_for, was_closed_early);
        }
        if self.upload().is_some_and(|upload| upload.is_broken()) {
            // The client aborted the upload: this is no failure of the server.
            return ControlFlow::Break(Outcome::NotSent.into());
        }
        let connection = AttemptConnection { connection, generation, is_reused: idle_period.is_some() };
        self.conclude(result, connection, execution_before).await
    }

    /// Whether the request may still be sent: it was not withdrawn (client disconnected, or promised that it is never executed), there
    /// is time left for a response, and its version may receive it.
    fn may_still_send(&self, connect_deadline: Instant) -> bool {
        let is_late = self.upload().is_none() && Instant::now() >= connect_deadline;
        let may_send = self.connector.versions.may_send(&self.connector.version);
        !self.request.state.is_withdrawn.get() && !is_late && may_send
    }

    /// Raises the request's execution status before anything is written, since an attempt that is cancelled later may have reached
    /// its server. Returns the previous status.
    fn mark_sending(&self) -> ExecutionStatus {
        let state = &self.request.state;
        let before = state.execution.get();
        state.execution.set(before.combine(ExecutionStatus::MayHaveExecuted));
        state.sent.set(state.sent.get() + 1);
        self.begin_observation();
        if let Some(core) = self.connector.core.upgrade() {
            core.attempt_about_to_write(self.id, self.number);
        }
        before
    }

    /// Reverts `mark_sending` after nothing was written.
    fn unmark_sending(&self, execution_before: ExecutionStatus) {
        let state = &self.request.state;
        state.execution.set(execution_before);
        state.sent.set(state.sent.get() - 1);
        self.observation.take().into_iter().for_each(Observation::discard);
    }

    /// Starts to measure the attempt for the rollout report.
    fn begin_observation(&self) {
        let UpstreamConnector { versions, version, .. } = self.connector;
        versions.count_sent(version, self.request.state.sent.get() == 1);
        self.observation.replace(Some(Observation::begin(versions, version, self.request.route)));
    }

    /// Counts the result of the attempt for the rollout report, or discards it if it says nothing about the version.
    fn end_observation(&self, end: &AttemptEnd) {
        let Some(observation) = self.observation.take() else { return };
        let is_error = |response: &Response<Bytes>| response.status().as_u16() >= 400;
        match end.outcome {
            Outcome::Ok => observation.end(end.response.as_ref().is_some_and(is_error)),
            Outcome::Error | Outcome::Reset | Outcome::TimedOut => observation.end(true),
            Outcome::Rejected | Outcome::ConnectFailed | Outcome::Cancelled | Outcome::NotSent => {
                observation.discard();
            }
        }
    }

    /// Handles the result of an exchange.
    async fn conclude(
        &self,
        result: Result<ReceivedResponse, SendError>,
        connection: AttemptConnection,
        execution_before: ExecutionStatus,
    ) -> ControlFlow<AttemptEnd, Request<Sent>> {
        let end = match result {
            Ok(ReceivedResponse::Complete(response)) => {
                self.conclude_complete(response, connection, execution_before)
            }
            Ok(ReceivedResponse::Streamed(response)) => {
                self.stream_to_client(response, connection).await.into()
            }
            Err(SendError::NotWritten(message)) if connection.is_reused => {
                return ControlFlow::Continue(*message);
            }
            Err(SendError::NotWritten(message)) => {
                give_back(message.into_body());
                Outcome::ConnectFailed.into()
            }
            // A server may execute a request before it has read all of its body.
            Err(SendError::MaybeWritten) => Outcome::Reset.into(),
            Err(SendError::BadAnswer) => {
                self.servers().distrust(self.server);
                Outcome::Error.into()
            }
        };
        ControlFlow::Break(end)
    }

    /// Handles a complete response.
    fn conclude_complete(
        &self,
        complete: CompleteResponse,
        connection: AttemptConnection,
        execution_before: ExecutionStatus,
    ) -> AttemptEnd {
        let CompleteResponse { class, response, keep_alive } = complete;
        let is_clean = self.is_request_complete(&connection.connection);
        let handling = ResponseHandling::new(class, self.request.is_idempotent, is_clean);
        let state = &self.request.state;
        state.execution.set(execution_before.combine(handling.execution));
        match (handling.connection, keep_alive) {
            (ConnectionDisposition::Reused, Some(keep_alive)) => self.keep_connection(connection, keep_alive),
            (ConnectionDisposition::Distrusted, _) => self.servers().distrust(self.server),
            (ConnectionDisposition::Reused, None) | (ConnectionDisposition::Closed, _) => {}
        }
        match handling.response {
            ResponseDisposition::Client => AttemptEnd { outcome: handling.outcome, response: Some(response) },
            ResponseDisposition::Fallback => {
                state.fallback.replace(Some(response));
                handling.outcome.into()
            }
            ResponseDisposition::Dropped => handling.outcome.into(),
        }
    }

    /// Streams a response to the client.
    async fn stream_to_client(&self, response: StreamedResponse, connection: AttemptConnection) -> Outcome {
        let StreamedResponse { head, first, rest, keep_alive } = response;
        self.request.state.execution.set(ExecutionStatus::Executed);
        let memory_pool = &self.servers().common.body_memory;
        let (download, ended) = Download::new(first, rest, memory_pool.reserve_stream());
        let core = self.connector.core.upgrade();
        if !core.is_some_and(|core| core.answer_started(self.id, self.number, (head, download))) {
            return Outcome::Cancelled;
        }
        match ended.await {
            Ok(End::Complete) => {
                if let Some(keep_alive) =
                    keep_alive.filter(|_| self.is_request_complete(&connection.connection))
                {
                    self.keep_connection(connection, keep_alive);
                }
                Outcome::Ok
            }
            Ok(End::Broken) => Outcome::Reset,
            // The client has disconnected.
            Err(_) => Outcome::NotSent,
        }
    }

    /// Returns the connection to the pool.
    fn keep_connection(&self, connection: AttemptConnection, keep_alive: Duration) {
        let AttemptConnection { connection, generation, .. } = connection;
        self.servers().connections.give_back(self.server, connection, generation, keep_alive);
    }

    /// Whether the request was written and taken completely. A response may arrive before the end of the request body; a server
    /// that stops reading would parse the rest of the body as the next request.
    fn is_request_complete(&self, connection: &Connection) -> bool {
        self.upload().is_none_or(|upload| upload.is_complete()) && connection.request_timing().is_received()
    }

    /// Builds the request for this attempt, reusing the body of an unsent one; `None` if it may not be sent.
    fn build_message(&self, unsent: Option<Request<Sent>>, server_id: HeaderValue) -> Option<Request<Sent>> {
        let body = match unsent {
            Some(message) => message.into_body(),
            None if !self.connector.take_retry(self.request) => return None,
            // `None` here: an earlier attempt has consumed a part of the body.
            None => self.request.body.body(&self.connector.core, self.id, self.number)?,
        };
        match self.request.request.attempt(body, server_id, self.time_left_ms()) {
            Ok(message) => Some(message),
            Err(RejectedAttempt { violation, body }) => {
                self.request.state.violation.set(Some(violation));
                give_back(body);
                None
            }
        }
    }

    /// The remaining time for the server, in milliseconds. For a long body it is counted from its last byte.
    fn time_left_ms(&self) -> u64 {
        match self.upload() {
            None => self.abort_at.saturating_sub(self.connector.clock.now()) / 1_000,
            Some(upload) => upload.wait.as_millis() as u64,
        }
    }

    /// Writes the request and reads the response, or the first part of a long one.
    async fn exchange(
        &self,
        connection: &mut Connection,
        message: Request<Sent>,
        is_reused: bool,
    ) -> Result<ReceivedResponse, SendError> {
        let response = connection.send(message).await?;
        if !framed(&response) {
            return Err(SendError::BadAnswer);
        }
        let (head, body) = response.into_parts();
        let class = classify(head.status, &head.headers, &self.request.request.received().id);
        // A response without a request id is accepted only on a new connection: on a reused one it may be a surplus response to an
        // earlier request, while this request is still executed.
        let is_named = has_request_id(&head.headers);
        if class == ResponseClass::Untrusted || !is_named && is_reused {
            return Err(SendError::BadAnswer);
        }
        // The connection of an HTTP/1.0 server is not kept: for it the HTTP client library sends no chunks, and so drops a body of
        // unknown length.
        let keeps_alive = is_named && head.version == Version::HTTP_11;
        let keep_alive = keeps_alive.then(|| keep_alive_of(&head.headers));
        let complete = |head, body, keep_alive| {
            let response = Response::from_parts(head, body);
            Ok(ReceivedResponse::Complete(CompleteResponse { class, response, keep_alive }))
        };
        let needs_no_body = matches!(class, ResponseClass::NotExecuted | ResponseClass::Misdirected);
        match buffer_body(body, BUFFERED_BODY_LENGTH, None, &self.servers().common.body_memory).await {
            Ok(Buffered::Complete(body)) => complete(head, body, keep_alive),
            Ok(Buffered::Partial(first, rest)) if class == ResponseClass::Answer => {
                Ok(ReceivedResponse::Streamed(StreamedResponse { head, first, rest, keep_alive }))
            }
            _ if needs_no_body => complete(head, Bytes::new(), None),
            Ok(Buffered::Partial(..)) | Err(BadBody::Malformed | BadBody::TooLong) => {
                Err(SendError::BadAnswer)
            }
            Err(BadBody::Broken) => Err(SendError::MaybeWritten),
        }
    }
}

/// Returns an unsent body to its request, so that another attempt can send it.
fn give_back(body: Sent) {
    if let Sent::Streamed(body) = body {
        body.give_back();
    }
}

/// Returns how long a connection may be kept idle, from the server's `Keep-Alive` header.
fn keep_alive_of(headers: &HeaderMap) -> Duration {
    let value = headers.get(KEEP_ALIVE).and_then(|value| value.to_str().ok());
    let seconds = value.into_iter().flat_map(|value| value.split(',')).find_map(|parameter| {
        let (name, value) = parameter.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then(|| value.trim().parse::<u32>().ok())?
    });
    seconds.map_or(DEFAULT_KEEP_ALIVE, |seconds| Duration::from_secs(seconds.into()).mul_f64(KEEP_ALIVE_USE))
}

impl Upstream<ProxyTraffic> for UpstreamConnector {
    fn attempt(
        &self,
        id: RequestId,
        number: usize,
        server: ServerId,
        request: Rc<ProxiedRequest>,
        abort_at: Micros,
    ) -> AbortHandle {
        let (connector, core) = (self.weak_self.clone(), self.core.clone());
        let task = tokio::task::spawn_local(async move {
            let Some(connector) = connector.upgrade() else { return };
            let attempt = Attempt {
                connector: &connector,
                id: &id,
                number,
                server,
                request: &request,
                abort_at,
                observation: RefCell::default(),
            };
            let end = attempt.run().await;
            attempt.end_observation(&end);
            let AttemptEnd { outcome, response } = end;
            if let Some(core) = core.upgrade() {
                core.attempt_ended(&id, number, outcome, response);
            }
        });
        task.abort_handle()
    }

    fn would_retry(&self, request: &ProxiedRequest) -> bool {
        let (now, sent) = (self.clock.now(), request.state.sent.get());
        // As in `take_retry`, the first attempt needs no permission.
        sent == 0
            || sent < request.max_attempts
                && self.servers.retry_budget.borrow().has_retry(now, &self.service, self.servers.proxies())
    }

    /// Does nothing: the load balancer is configured without health probes.
    fn probe(&self, _: ServerId) {}
}
