//! Handles client requests. Each request passes these phases, one function each:
//!
//! 1. `check_framing`: rejects a request whose end is ambiguous;
//! 2. `find_route`: matches the route and the tenant;
//! 3. `read_body`: reads the body, or the first part of a long one;
//! 4. `admit`: takes a unit of the tenant's quota;
//! 5. `forward`: hands the request to the service's load-balancing node, which makes attempts at servers;
//! 6. `respond`: returns the server's response, or an error response.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use hyper::body::{Body, Incoming};
use hyper::header::TRANSFER_ENCODING;
use hyper::http::request::Parts;
use hyper::{Request, Response, StatusCode};
use mountbend::interface::{CustomerId, NewRequest, Reason, RequestId as NodeRequestId};
use mountbend::measure::uniform;
use pinerelay_admission::lease_cache::{Admission, Decision, RequestId};
use pinerelay_admission::quota::Quota;
use pinerelay_config_state::execution::ExecutionStatus;
use pinerelay_config_state::resources::{Limits, Route, RouteType, Tenant};
use pinerelay_config_state::routing_table::RoutingTable;
use pinerelay_traffic::acceptor::{mark_last_answer, Handler};
use pinerelay_traffic::body::BadBody;
use pinerelay_traffic::body_memory::BodyMemoryPool;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::node::FAIL_BEFORE;
use pinerelay_traffic::ports::{Answer, Payload};
use pinerelay_traffic::raw_head::RawHead;
use pinerelay_traffic::streamed_body::{buffer_body, discard, Buffered, Download, Outgoing, Upload};
use tokio::sync::oneshot;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::forwarded_request::{BodyFraming, ForwardedRequest, ForwardingViolation, ReceivedRequest};
use crate::proxied_request::{ProxiedRequest, ProxyTraffic, RequestState};
use crate::request_head::{remove_hop_by_hop, RequestHead};
use crate::response_class::promises_no_execution;
use crate::server_pool::ServerPool;
use crate::services::{Service, Services};
use crate::upstream::BUFFERED_BODY_LENGTH;
use crate::versions::ObservedRoute;

mod framing;
mod guards;
mod rejection;
mod response;

use framing::check_framing;
use guards::{DrainGuard, WaitingGuard, WithdrawalGuard};
use rejection::{Rejection, RetryAfter};
use response::{complete_response, fallback_response};

/// Timeout for receiving a short body, or the first part of a long one, from the receipt of the head. The rest of a long body may
/// take this much longer than the minimum transfer rate allows.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of bytes of a body that are read and discarded after a request was rejected by its head, so that the client can
/// receive the response.
const DISCARDED_BODY_LENGTH: u64 = 1 << 20;
/// A request fails this long before its client gives up.
const FAILURE_MARGIN: Duration = Duration::from_micros(FAIL_BEFORE);

/// The body of a response to a client.
type ResponseBody = Outgoing<Download>;

/// Applies tenant quotas to requests.
pub trait Admitter {
    /// Asks for a quota unit for a request. If the result is [`Admission::Waiting`], [`RequestHandler::decided`] delivers the decision.
    fn admit(&self, tenant: &str, quota: Quota, id: RequestId) -> Admission;
    /// Cancels a waiting request whose client has disconnected.
    fn cancel(&self, tenant: &str, id: RequestId);
}

/// Counters of requests by result.
#[derive(Debug, Default)]
pub struct RequestCounts {
    /// Responses to clients, by status code.
    pub statuses: RefCell<BTreeMap<u16, u64>>,
    /// Requests that the load balancer did not serve, by reason.
    pub unserved: RefCell<BTreeMap<&'static str, u64>>,
    /// Requests over quota that were rejected with a `Retry-After` header.
    pub deferred: Cell<u64>,
    /// Requests over quota that were rejected without a `Retry-After` header.
    pub rejected_without_time: Cell<u64>,
    /// Routing tables that were activated.
    pub configurations: Cell<u64>,
    /// Requests that were not forwarded because of a forwarding violation, by the failed check.
    pub violations: RefCell<BTreeMap<&'static str, u64>>,
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// Handles client requests.
pub struct RequestHandler {
    /// The active routing table; `None` until the first complete one has been received.
    table: ArcSwapOption<RoutingTable>,
    clock: Rc<Clock>,
    services: Rc<Services>,
    servers: Rc<ServerPool>,
    memory: BodyMemoryPool,
    admitter: Weak<dyn Admitter>,
    /// Requests that wait for a quota unit.
    waiting: RefCell<BTreeMap<RequestId, oneshot::Sender<Admission>>>,
    /// The last id that `next_id` returned.
    last_id: Cell<u64>,
    /// The state of the random number generator.
    random: Cell<u64>,
    is_shutting_down: Cell<bool>,
    /// Counters of requests by result.
    pub counts: RequestCounts,
}

/// Whether a client connection may carry another request after this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionUse {
    /// It may.
    KeepAlive,
    /// It may not: unread bytes of the body may still arrive.
    Close,
}

/// The route and the tenant that match a request's head.
struct FoundRoute {
    head: RequestHead,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
}

/// A request that was handed to the load-balancing node of its service.
struct Forwarding {
    service: Rc<Service>,
    id: NodeRequestId,
    /// The deadline of the request, by the proxy's clock, in microseconds.
    due: u64,
    /// The body, if it is streamed.
    upload: Option<Rc<Upload>>,
    state: Rc<RequestState>,
}

impl RequestHandler {
    /// Creates a handler without a routing table.
    pub fn new(
        clock: Rc<Clock>,
        services: Rc<Services>,
        servers: Rc<ServerPool>,
        memory: BodyMemoryPool,
        admitter: Weak<dyn Admitter>,
        seed: u64,
    ) -> Rc<RequestHandler> {
        Rc::new(RequestHandler {
            table: ArcSwapOption::default(),
            clock,
            services,
            servers,
            memory,
            admitter,
            waiting: RefCell::default(),
            last_id: Cell::new(0),
            random: Cell::new(seed),
            is_shutting_down: Cell::new(false),
            counts: RequestCounts::default(),
        })
    }

    /// The active routing table, if there is one.
    pub(crate) fn routing_table(&self) -> Option<Arc<RoutingTable>> {
        self.table.load_full()
    }

    /// Activates a routing table.
    pub fn set_routing_table(&self, table: Arc<RoutingTable>) {
        increment(&self.counts.configurations);
        log::info!(
            "routing table activated: {} routes, {} tenants",
            table.route_count(),
            table.tenants().len()
        );
        self.memory.set_max_body_bytes(table.limits.max_body_bytes);
        self.servers.set_max_connections(table.services.values());
        self.services.set_rollouts(&table.rollouts);
        self.table.store(Some(table));
    }

    /// Whether the active routing table has routes.
    pub fn has_routes(&self) -> bool {
        self.table.load().as_ref().is_some_and(|table| !table.is_empty())
    }

    /// The client limits of the active routing table, or the defaults without one.
    fn limits(&self) -> Limits {
        self.table.load().as_ref().map(|table| table.limits).unwrap_or_default()
    }

    /// Delivers the admission decision for a request that waited for a quota unit.
    pub fn decided(&self, decision: Decision) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&decision.id) {
            // The entry of a request whose client has disconnected was removed already, so this send reaches a receiver.
            let _ = waiting.send(decision.admission);
        }
    }

    /// Closes client connections after their next response.
    pub fn shut_down(&self) {
        self.is_shutting_down.set(true);
    }

    /// Draws a random number from 0 to 1.
    fn random(&self) -> f64 {
        let mut random = self.random.get();
        let drawn = uniform(&mut random);
        self.random.set(random);
        drawn
    }

    /// Returns the next id, unique within this process.
    fn next_id(&self) -> u64 {
        increment(&self.last_id);
        self.last_id.get()
    }

    /// Runs a request through all phases. When the client disconnects, this future is dropped with its connection.
    async fn handle(
        &self,
        request: Request<Incoming>,
        wire: &RawHead,
        connection: &Cell<ConnectionUse>,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let received_at = Instant::now();
        let (parts, body) = request.into_parts();
        let found = match check_framing(&parts, wire).and_then(|()| self.find_route(&parts)) {
            Ok(found) => found,
            Err(rejection) => {
                if !body.is_end_stream() {
                    connection.set(ConnectionUse::Close);
                    discard(body, DISCARDED_BODY_LENGTH, BODY_TIMEOUT);
                }
                return Err(rejection);
            }
        };
        let timeout = found.route.timeout;
        let time_limit = found.head.deadline.map_or(timeout, |deadline| deadline.min(timeout));
        let payload = self.read_body(body, received_at, time_limit).await?;
        let upload = payload.streamed().cloned();
        let drain_guard = DrainGuard(upload.clone());
        if let Some(tenant) = &found.tenant {
            self.admit(tenant).await?;
        }
        // The time for uploading a long body does not count towards the servers' time limit.
        let forwarding_since = if upload.is_some() { Instant::now() } else { received_at };
        let is_idempotent = found.route.route_type == RouteType::Safe;
        let request = self.build_forwarded(parts, &found, time_limit, &payload)?;
        let time_left = time_limit.saturating_sub(forwarding_since.elapsed());
        let (forwarding, answer) = self.forward(&found.route, request, payload, time_left)?;
        let withdrawal_guard = WithdrawalGuard(forwarding.state.clone());
        let waiting_guard = forwarding.service.node.waiting_client(forwarding.id.clone());
        let answer = self.await_answer(&forwarding, answer).await;
        drop((withdrawal_guard, waiting_guard, drain_guard));
        self.respond(answer, &forwarding.state, is_idempotent)
    }

    /// Matches the route and the tenant of a request.
    fn find_route(&self, parts: &Parts) -> Result<FoundRoute, Rejection> {
        let head = RequestHead::parse(parts)?;
        let active_table = self.table.load();
        let Some(table) = active_table.as_ref() else {
            return Err(Rejection::unconfigured(self.random()));
        };
        let route = table.find_route(&head.host, head.target.path());
        let route = route.ok_or(Rejection::new(StatusCode::NOT_FOUND, "no route\n"))?;
        let tenant = head.api_key.as_deref().and_then(|key| table.tenant_by_key(key));
        if tenant.is_none() && !route.public && !table.tenants().is_empty() {
            return Err(Rejection::new(StatusCode::UNAUTHORIZED, "no such key\n"));
        }
        Ok(FoundRoute { route: route.clone(), tenant: tenant.map(Arc::clone), head })
    }

    /// Reads the body. Of a long body only the first part is read; the rest is streamed to the server.
    async fn read_body(
        &self,
        body: Incoming,
        received_at: Instant,
        time_limit: Duration,
    ) -> Result<Payload, Rejection> {
        let read = buffer_body(body, BUFFERED_BODY_LENGTH, None, &self.memory);
        match timeout_at(received_at + BODY_TIMEOUT, read).await {
            Ok(Ok(Buffered::Complete(body))) => Ok(Payload::Buffered(body)),
            Ok(Ok(Buffered::Partial(first, rest))) => {
                let pipe = self.memory.try_reserve_stream();
                let has_memory = pipe.is_some();
                let upload = Upload::new(first, rest, pipe, time_limit, received_at, BODY_TIMEOUT);
                if !has_memory {
                    // Another long body would exceed the memory limit: the process would be killed, and all open requests lost.
                    upload.drain();
                    return Err(Rejection::out_of_memory());
                }
                Ok(Payload::Streamed(upload))
            }
            Ok(Err(BadBody::TooLong)) => {
                Err(Rejection::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n"))
            }
            Ok(Err(BadBody::Broken | BadBody::Malformed)) => {
                Err(Rejection::bad_request("the body is not whole\n"))
            }
            Err(_) => Err(Rejection::new(StatusCode::REQUEST_TIMEOUT, "the body came too late\n")),
        }
    }

    /// Takes a unit of the tenant's quota, or rejects the request. It may wait for a lease that was requested from a registry.
    async fn admit(&self, tenant: &Tenant) -> Result<(), Rejection> {
        let Some(admitter) = self.admitter.upgrade() else { return Ok(()) };
        let id = self.next_id();
        let quota = Quota { rate: tenant.rate, burst: tenant.burst };
        let (sender, decided) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        let guard = WaitingGuard { handler: self, tenant: &tenant.name, id };
        let admission = match admitter.admit(&tenant.name, quota, id) {
            Admission::Waiting => decided.await.unwrap_or(Admission::Rejected),
            immediate => immediate,
        };
        drop(guard);
        match admission {
            Admission::Admitted => Ok(()),
            Admission::Deferred(retry_after) => {
                increment(&self.counts.deferred);
                Err(Rejection::over_quota(Some(RetryAfter(retry_after))))
            }
            Admission::Rejected | Admission::Waiting => {
                increment(&self.counts.rejected_without_time);
                Err(Rejection::over_quota(None))
            }
        }
    }

    /// Builds the request that is forwarded to servers, without its body.
    fn build_forwarded(
        &self,
        parts: Parts,
        found: &FoundRoute,
        time_limit: Duration,
        payload: &Payload,
    ) -> Result<ForwardedRequest, Rejection> {
        let framing = BodyFraming::of(payload, &parts.headers);
        let tenant = found.tenant.as_ref();
        let received = ReceivedRequest::new(parts.method, &found.head, tenant, time_limit, framing);
        let received = received.map_err(|violation| self.reject_violation(violation))?;
        Ok(ForwardedRequest::new(received, parts.headers))
    }

    /// Hands a request to the load-balancing node of the chosen service.
    fn forward(
        &self,
        route: &Route,
        request: ForwardedRequest,
        body: Payload,
        time_left: Duration,
    ) -> Result<(Forwarding, oneshot::Receiver<Answer<ProxyTraffic>>), Rejection> {
        let due = self.clock.now() + time_left.as_micros() as u64;
        let service_name = self.choose_service(route);
        let state = Rc::new(RequestState::default());
        let upload = body.streamed().cloned();
        let proxied = ProxiedRequest {
            request,
            body,
            route: ObservedRoute::new(route),
            is_idempotent: route.route_type == RouteType::Safe,
            max_attempts: route.max_attempts as usize,
            state: state.clone(),
        };
        self.servers.retry_budget.borrow_mut().count_request(self.clock.now(), service_name);
        let service = self.services.next_service(service_name, self.servers.proxies(), self.random());
        let id = NodeRequestId(format!("{}", self.next_id()).into());
        let new_request = NewRequest {
            id: id.clone(),
            customer: CustomerId(0),
            class: service.class_index(route),
            plan: 0,
            units: 1.0,
            first_node: 0,
            spread: 1,
            marked_retry: false,
            due,
        };
        let answer =
            service.node.take(new_request, proxied).map_err(|_| Rejection::bad_request("id in use\n"))?;
        Ok((Forwarding { service, id, due, upload, state }, answer))
    }

    /// Waits for the node's answer until the request's deadline.
    async fn await_answer(
        &self,
        forwarding: &Forwarding,
        answer: oneshot::Receiver<Answer<ProxyTraffic>>,
    ) -> Answer<ProxyTraffic> {
        let Forwarding { service, due, upload, .. } = forwarding;
        let overdue = async {
            match upload {
                None => sleep_until(service.node.answer_deadline(*due)).await,
                Some(upload) => sleep_until(upload.ended().await + upload.wait - FAILURE_MARGIN).await,
            }
        };
        tokio::select! {
            biased;
            answer = answer => answer.unwrap_or(Answer::Failed(Reason::TimedOut)),
            () = overdue => Answer::Failed(Reason::TimedOut),
        }
    }

    /// Counts and logs a forwarding violation. The rejection's status does not promise that the request was not executed.
    fn reject_violation(&self, violation: ForwardingViolation) -> Rejection {
        *self.counts.violations.borrow_mut().entry(violation.name()).or_default() += 1;
        log::error!("request not forwarded: {violation}");
        Rejection::new(StatusCode::INTERNAL_SERVER_ERROR, "")
    }

    /// Chooses one of the route's services at random, by weight.
    fn choose_service<'a>(&self, route: &'a Route) -> &'a str {
        let total: f64 = route.services.iter().map(|candidate| candidate.weight).sum();
        let mut position = if route.services.len() > 1 { self.random() * total } else { 0.0 };
        let mut chosen = "";
        for candidate in route.services.iter().filter(|candidate| candidate.weight > 0.0) {
            chosen = &candidate.service;
            position -= candidate.weight;
            if position < 0.0 {
                break;
            }
        }
        chosen
    }

    /// Builds the response to the client. Statuses such as 429 and 503 promise that the request was not executed and never will be.
    fn respond(
        &self,
        answer: Answer<ProxyTraffic>,
        state: &RequestState,
        is_idempotent: bool,
    ) -> Result<Response<ResponseBody>, Rejection> {
        // Between a server and this proxy such a status promises nothing, but the client would take it for that promise.
        let may_pass = |status| is_idempotent || !promises_no_execution(status);
        let bad_gateway = || Rejection::new(StatusCode::BAD_GATEWAY, "");
        let reason = match answer {
            Answer::Served(response) if !may_pass(response.status()) => return Err(bad_gateway()),
            Answer::Streamed((head, _)) if !may_pass(head.status) => return Err(bad_gateway()),
            Answer::Served(response) => return Ok(complete_response(response)),
            Answer::Streamed((mut head, body)) => {
                remove_hop_by_hop(&mut head.headers);
                return Ok(Response::from_parts(head, ResponseBody::Streamed(body)));
            }
            Answer::Refused(_, reason) | Answer::Failed(reason) => reason,
        };
        *self.counts.unserved.borrow_mut().entry(reason.name()).or_default() += 1;
        if let Some(violation) = state.violation.get() {
            return Err(self.reject_violation(violation));
        }
        if let Some(response) = state.fallback.take() {
            return Ok(fallback_response(response));
        }
        match state.execution.get() {
            ExecutionStatus::NotExecuted => {
                state.is_withdrawn.set(true);
                Err(Rejection::no_server(self.random()))
            }
            _ if reason == Reason::TimedOut => Err(Rejection::new(StatusCode::GATEWAY_TIMEOUT, "")),
            _ => Err(bad_gateway()),
        }
    }
}

impl Handler for RequestHandler {
    type Reply = ResponseBody;

    async fn answer(&self, request: Request<Incoming>, wire: &RawHead) -> Response<ResponseBody> {
        // After a chunked body the next request may have been read with it, without the checks that this request's head passed.
        let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let connection = Cell::new(ConnectionUse::KeepAlive);
        let (mut response, requires_close) = match self.handle(request, wire, &connection).await {
            Ok(response) => (response, false),
            Err(rejection) => {
                let requires_close = rejection.requires_close();
                (rejection.into_response(), requires_close)
            }
        };
        *self.counts.statuses.borrow_mut().entry(response.status().as_u16()).or_default() += 1;
        // After a request with untrusted framing, the following bytes may be a smuggled request.
        let must_close = connection.get() == ConnectionUse::Close || self.is_shutting_down.get();
        if requires_close || is_chunked || must_close {
            mark_last_answer(&mut response);
        }
        response
    }

    fn close_an_idle(&self) -> bool {
        self.servers.close_an_idle()
    }

    fn head_wait(&self) -> Duration {
        self.limits().header_timeout
    }

    fn idle_wait(&self) -> Option<Duration> {
        Some(self.limits().idle_timeout)
    }
}
