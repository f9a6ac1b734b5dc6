//! Handles clients' requests. Each passes these phases, one function each:
//!
//! 1. `check_framing`: what would make its end ambiguous is rejected;
//! 2. `find_route`: its route and its tenant;
//! 3. `read_body`: its body, or the beginning of a long one;
//! 4. `admit`: a unit of its tenant's quota;
//! 5. `forward`: it is handed to the service's node, which makes attempts at servers;
//! 6. `respond`: the response, or why there is none.

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
use pinerelay_traffic::body::BadBody;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::front::{last, Handler};
use pinerelay_traffic::long::{discard, take, Download, Outgoing, Taken, Upload};
use pinerelay_traffic::node::FAIL_BEFORE;
use pinerelay_traffic::ports::{Answer, Payload};
use pinerelay_traffic::room::Room;
use pinerelay_traffic::wire::Wire;
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

/// How long a body may take after its head, besides the time that it takes at the least pace.
const BODY_TIMEOUT: Duration = Duration::from_secs(3);
/// So many bytes are read of a body whose request was rejected by its head, so that its client gets the answer.
const DISCARDED_BODY_LENGTH: u64 = 1 << 20;
/// How long before its client gives up a request has failed.
const FAILURE_MARGIN: Duration = Duration::from_micros(FAIL_BEFORE);

/// The body of a response.
type ResponseBody = Outgoing<Download>;

/// Admits requests by their tenants' quotas.
pub trait Admitter {
    /// A tenant's request has come. If it waits, [`RequestHandler::decided`] reports what happens to it.
    fn admit(&self, tenant: &str, quota: Quota, id: RequestId) -> Admission;
    /// A waiting request has been given up by its client.
    fn cancel(&self, tenant: &str, id: RequestId);
}

/// Counts of what became of requests.
#[derive(Debug, Default)]
pub struct RequestCounts {
    /// Answers by their status.
    pub statuses: RefCell<BTreeMap<u16, u64>>,
    /// Requests that the decisions have not served, by the reason.
    pub unserved: RefCell<BTreeMap<&'static str, u64>>,
    /// Requests beyond quota that were rejected with a time to come back.
    pub deferred: Cell<u64>,
    /// Requests beyond quota that were rejected without one.
    pub rejected_without_time: Cell<u64>,
    /// Routing tables that were put in force.
    pub configurations: Cell<u64>,
    /// Requests that were not sent, by the check that they failed.
    pub violations: RefCell<BTreeMap<&'static str, u64>>,
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// Handles clients' requests.
pub struct RequestHandler {
    /// The routing table in force; `None` until the first complete one has arrived.
    table: ArcSwapOption<RoutingTable>,
    clock: Rc<Clock>,
    services: Rc<Services>,
    servers: Rc<ServerPool>,
    room: Room,
    admitter: Weak<dyn Admitter>,
    /// Requests that wait for a unit of their quota.
    waiting: RefCell<BTreeMap<RequestId, oneshot::Sender<Admission>>>,
    last_id: Cell<u64>,
    random: Cell<u64>,
    is_shutting_down: Cell<bool>,
    /// What became of requests.
    pub counts: RequestCounts,
}

/// Whether a connection may carry another request behind the answer to this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionUse {
    KeepAlive,
    /// Something of the body may still be on its way.
    Close,
}

/// What was found for a request by its head.
struct FoundRoute {
    head: RequestHead,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
}

/// A request that was handed to its service's node.
struct Forwarding {
    service: Rc<Service>,
    id: NodeRequestId,
    /// When it is due, by the proxy's clock.
    due: u64,
    upload: Option<Rc<Upload>>,
    state: Rc<RequestState>,
}

impl RequestHandler {
    /// The handler of a proxy that has no configuration yet.
    pub fn new(
        clock: Rc<Clock>,
        services: Rc<Services>,
        servers: Rc<ServerPool>,
        room: Room,
        admitter: Weak<dyn Admitter>,
        seed: u64,
    ) -> Rc<RequestHandler> {
        Rc::new(RequestHandler {
            table: ArcSwapOption::default(),
            clock,
            services,
            servers,
            room,
            admitter,
            waiting: RefCell::default(),
            last_id: Cell::new(0),
            random: Cell::new(seed),
            is_shutting_down: Cell::new(false),
            counts: RequestCounts::default(),
        })
    }

    /// The routing table in force.
    pub(crate) fn routing_table(&self) -> Option<Arc<RoutingTable>> {
        self.table.load_full()
    }

    /// Puts a routing table in force.
    pub fn set_routing_table(&self, table: Arc<RoutingTable>) {
        increment(&self.counts.configurations);
        log::info!("puts {} routes and {} tenants in force", table.route_count(), table.tenants().len());
        self.room.lengthen(table.limits.max_body_bytes);
        self.servers.set_max_connections(table.services.values());
        self.services.set_rollouts(&table.rollouts);
        self.table.store(Some(table));
    }

    /// Whether a routing table with routes is in force.
    pub fn has_routes(&self) -> bool {
        self.table.load().as_ref().is_some_and(|table| !table.is_empty())
    }

    fn limits(&self) -> Limits {
        self.table.load().as_ref().map(|table| table.limits).unwrap_or_default()
    }

    /// A request that waited for a unit of its quota does not wait any more.
    pub fn decided(&self, decision: Decision) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&decision.id) {
            // A request whose client has gone was removed already.
            let _ = waiting.send(decision.admission);
        }
    }

    /// From now on answers are the last on their connections.
    pub fn shut_down(&self) {
        self.is_shutting_down.set(true);
    }

    /// A random number from 0 to 1.
    fn random(&self) -> f64 {
        let mut random = self.random.get();
        let drawn = uniform(&mut random);
        self.random.set(random);
        drawn
    }

    fn next_id(&self) -> u64 {
        increment(&self.last_id);
        self.last_id.get()
    }

    /// Handles a request up to its response. When the client goes away, this future is dropped with its connection.
    async fn handle(
        &self,
        request: Request<Incoming>,
        wire: &Wire,
        connection: &Cell<ConnectionUse>,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let begun = Instant::now();
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
        let payload = self.read_body(body, begun, time_limit).await?;
        let upload = payload.long().cloned();
        let drain_guard = DrainGuard(upload.clone());
        if let Some(tenant) = &found.tenant {
            self.admit(tenant).await?;
        }
        // The time that a long body takes is not the servers'.
        let since = if upload.is_some() { Instant::now() } else { begun };
        let is_idempotent = found.route.route_type == RouteType::Safe;
        let request = self.build_forwarded(parts, &found, time_limit, &payload)?;
        let time_left = time_limit.saturating_sub(since.elapsed());
        let (forwarding, answer) = self.forward(&found.route, request, payload, time_left)?;
        let withdrawal_guard = WithdrawalGuard(forwarding.state.clone());
        let waiting_guard = forwarding.service.node.waited(forwarding.id.clone());
        let answer = self.await_answer(&forwarding, answer).await;
        drop((withdrawal_guard, waiting_guard, drain_guard));
        self.respond(answer, &forwarding.state, is_idempotent)
    }

    /// Finds the route and the tenant of a request.
    fn find_route(&self, parts: &Parts) -> Result<FoundRoute, Rejection> {
        let head = RequestHead::parse(parts)?;
        let in_force = self.table.load();
        let Some(table) = in_force.as_ref() else {
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

    /// Reads the body, or the beginning of a long one, whose rest is passed on as it comes.
    async fn read_body(
        &self,
        body: Incoming,
        begun: Instant,
        time_limit: Duration,
    ) -> Result<Payload, Rejection> {
        let read = take(body, BUFFERED_BODY_LENGTH, None, &self.room);
        match timeout_at(begun + BODY_TIMEOUT, read).await {
            Ok(Ok(Taken::Whole(body))) => Ok(Payload::Whole(body)),
            Ok(Ok(Taken::Part(first, rest))) => {
                let pipe = self.room.pipe();
                let has_memory = pipe.is_some();
                let upload = Upload::new(first, rest, pipe, time_limit, begun, BODY_TIMEOUT);
                if !has_memory {
                    // With one more long body the process would be killed for its memory, with all that it holds.
                    upload.drain();
                    return Err(Rejection::out_of_memory());
                }
                Ok(Payload::Long(upload))
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

    /// Admits a tenant's request, or rejects it. It may have to wait for a lease of units that is on its way.
    async fn admit(&self, tenant: &Tenant) -> Result<(), Rejection> {
        let Some(admitter) = self.admitter.upgrade() else { return Ok(()) };
        let id = self.next_id();
        let quota = Quota { rate: tenant.rate, burst: tenant.burst };
        let (sender, decided) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        let guard = WaitingGuard { handler: self, tenant: &tenant.name, id };
        let admission = match admitter.admit(&tenant.name, quota, id) {
            Admission::Waiting => decided.await.unwrap_or(Admission::Rejected),
            at_once => at_once,
        };
        drop(guard);
        match admission {
            Admission::Admitted => Ok(()),
            Admission::Deferred(retry_after) => {
                increment(&self.counts.deferred);
                Err(Rejection::beyond_quota(Some(RetryAfter(retry_after))))
            }
            Admission::Rejected | Admission::Waiting => {
                increment(&self.counts.rejected_without_time);
                Err(Rejection::beyond_quota(None))
            }
        }
    }

    /// Builds the request that goes to servers, without its body.
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

    /// Hands a request to its service's node.
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
        let upload = body.long().cloned();
        let proxied = ProxiedRequest {
            request,
            body,
            route: ObservedRoute::new(route),
            is_idempotent: route.route_type == RouteType::Safe,
            max_attempts: route.max_attempts as usize,
            state: state.clone(),
        };
        self.servers.retries.borrow_mut().count_request(self.clock.now(), service_name);
        let service = self.services.next_service(service_name, self.servers.proxies(), self.random());
        let id = NodeRequestId(format!("{}", self.next_id()).into());
        let new = NewRequest {
            id: id.clone(),
            customer: CustomerId(0),
            class: service.class(route),
            plan: 0,
            units: 1.0,
            first_node: 0,
            spread: 1,
            marked_retry: false,
            due,
        };
        let answer = service.node.take(new, proxied).map_err(|_| Rejection::bad_request("id in use\n"))?;
        Ok((Forwarding { service, id, due, upload, state }, answer))
    }

    /// Waits for the answer, for as long as the client does.
    async fn await_answer(
        &self,
        forwarding: &Forwarding,
        answer: oneshot::Receiver<Answer<ProxyTraffic>>,
    ) -> Answer<ProxyTraffic> {
        let Forwarding { service, due, upload, .. } = forwarding;
        let overdue = async {
            match upload {
                None => sleep_until(service.node.last_call(*due)).await,
                Some(upload) => sleep_until(upload.ended().await + upload.wait - FAILURE_MARGIN).await,
            }
        };
        tokio::select! {
            biased;
            answer = answer => answer.unwrap_or(Answer::Failed(Reason::TimedOut)),
            () = overdue => Answer::Failed(Reason::TimedOut),
        }
    }

    /// Rejects a request that has failed a check of forwarding. It is not sent, and nothing is promised to its client.
    fn reject_violation(&self, violation: ForwardingViolation) -> Rejection {
        *self.counts.violations.borrow_mut().entry(violation.name()).or_default() += 1;
        log::error!("a request was not forwarded: {violation}");
        Rejection::new(StatusCode::INTERNAL_SERVER_ERROR, "")
    }

    /// The service that a request of a route goes to, by the weights.
    fn choose_service<'a>(&self, route: &'a Route) -> &'a str {
        let total: f64 = route.services.iter().map(|part| part.weight).sum();
        let mut position = if route.services.len() > 1 { self.random() * total } else { 0.0 };
        let mut chosen = "";
        for part in route.services.iter().filter(|part| part.weight > 0.0) {
            chosen = &part.service;
            position -= part.weight;
            if position < 0.0 {
                break;
            }
        }
        chosen
    }

    /// The response to the client. 429 and 503 promise that the request was not executed and never will be.
    fn respond(
        &self,
        answer: Answer<ProxyTraffic>,
        state: &RequestState,
        is_idempotent: bool,
    ) -> Result<Response<ResponseBody>, Rejection> {
        // A server's status that promises nothing between it and this proxy is a promise to the client.
        let may_pass = |status| is_idempotent || !promises_no_execution(status);
        let bad_gateway = || Rejection::new(StatusCode::BAD_GATEWAY, "");
        let reason = match answer {
            Answer::Served(response) if !may_pass(response.status()) => return Err(bad_gateway()),
            Answer::Long((head, _)) if !may_pass(head.status) => return Err(bad_gateway()),
            Answer::Served(response) => return Ok(complete_response(response)),
            Answer::Long((mut head, body)) => {
                remove_hop_by_hop(&mut head.headers);
                return Ok(Response::from_parts(head, ResponseBody::Long(body)));
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

    async fn answer(&self, request: Request<Incoming>, wire: &Wire) -> Response<ResponseBody> {
        // Behind a body in chunks the next request may have been read along with it. Its head was not checked as this one's was.
        let is_chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let connection = Cell::new(ConnectionUse::KeepAlive);
        let (mut response, is_malformed) = match self.handle(request, wire, &connection).await {
            Ok(response) => (response, false),
            Err(rejection) => {
                let is_malformed = rejection.is_malformed();
                (rejection.into_response(), is_malformed)
            }
        };
        *self.counts.statuses.borrow_mut().entry(response.status().as_u16()).or_default() += 1;
        // Behind a request that cannot be trusted may lie another one that its sender hid there.
        let must_close = connection.get() == ConnectionUse::Close || self.is_shutting_down.get();
        if is_malformed || is_chunked || must_close {
            last(&mut response);
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
