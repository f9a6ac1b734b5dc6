//! The clients' side: whose request it is, where it goes, whether it is let in, and what it is answered.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONTENT_LENGTH, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{Method, Request, Response, StatusCode};
use mountbend::interface::{CustomerId, Micros, NewRequest, Reason, RequestId};
use mountbend::measure::lot;
use pinerelay_cells::routes::{Limits, Route, RouteType, Table, Tenant};
use pinerelay_cells::verdict::Verdict;
use pinerelay_nectar::purse::Admission;
use pinerelay_nectar::terms::Quota;
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

use crate::flow::{promises, Fate, Flow, Forward};
use crate::forwarded::{Breach, Forwarded, Frame, Received};
use crate::hosts::Hosts;
use crate::outlet::BODY_MOST;
use crate::request::{drop_hop, Head};
use crate::services::Services;

/// What is not served for want of a server is to come back after so long, and up to so much more by lot.
const AGAIN: Micros = 30_000;
const AGAIN_LOT: f64 = 50_000.0;
/// What comes before there is a configuration is to come back after so long, and up to so much more by lot.
const UNCONFIGURED_AGAIN: Micros = 150_000;
const UNCONFIGURED_AGAIN_LOT: f64 = 200_000.0;
/// How long a body may take after its head, beside what it takes at the least pace.
const BODY_WAIT: Duration = Duration::from_secs(3);
/// As much is read of a body whose request was turned away on its head, so that its client gets the answer.
const UNWANTED_MOST: u64 = 1 << 20;
/// How long before the client gives up a request has failed.
const FAIL: Duration = Duration::from_micros(FAIL_BEFORE);

/// An answer's body.
type Reply = Outgoing<Download>;

/// What is asked of the state machine that hears the registries.
pub trait Admits {
    /// A tenant's request has come; what waits is told through [`Inlet::admitted`].
    fn arrive(&self, tenant: &str, quota: Quota, id: u64) -> Admission;
    /// A request that waits has gone.
    fn gone(&self, tenant: &str, id: u64);
}

/// Counters of what became of requests.
#[derive(Debug, Default)]
pub struct Figures {
    /// By the answer's status.
    pub statuses: RefCell<BTreeMap<u16, u64>>,
    /// Not served by the decisions, by their reason.
    pub unserved: RefCell<BTreeMap<&'static str, u64>>,
    /// Refused beyond quota: with a time to come back, and without.
    pub deferred: Cell<[u64; 2]>,
    /// Not sent because the boundary found something changed, by what that was.
    pub breaches: RefCell<BTreeMap<&'static str, u64>>,
}

/// The clients' side.
pub struct Inlet {
    /// The configuration in force; none before all of the first one has come.
    pub table: ArcSwapOption<Table>,
    clock: Rc<Clock>,
    services: Rc<Services>,
    hosts: Rc<Hosts>,
    room: Room,
    admits: Weak<dyn Admits>,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Admission>>>,
    last: Cell<u64>,
    random: Cell<u64>,
    ending: Cell<bool>,
    /// What became of requests.
    pub figures: Figures,
}

/// An answer of this system's own.
struct Rejected(StatusCode, &'static str, Option<Micros>);

fn bad(why: &'static str) -> Rejected {
    Rejected(StatusCode::BAD_REQUEST, why, None)
}

/// Whether a connection ends with the answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stays {
    /// The next request may come on it.
    Open,
    /// Something of the body may still be on its way.
    Ends,
}

/// What was found for a request before its body is read.
struct Found {
    head: Head,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
}

impl Inlet {
    /// The clients' side of a proxy that has no configuration yet.
    pub fn new(
        clock: Rc<Clock>,
        services: Rc<Services>,
        hosts: Rc<Hosts>,
        room: Room,
        admits: Weak<dyn Admits>,
        seed: u64,
    ) -> Rc<Inlet> {
        Rc::new(Inlet {
            table: ArcSwapOption::default(),
            clock,
            services,
            hosts,
            room,
            admits,
            waiting: RefCell::default(),
            last: Cell::new(0),
            random: Cell::new(seed),
            ending: Cell::new(false),
            figures: Figures::default(),
        })
    }

    /// A new configuration is in force.
    pub fn configure(&self, table: Arc<Table>) {
        self.room.lengthen(table.limits.body_bytes);
        let most = table.services.values().map(|service| (service.name.clone(), service.max_conns));
        self.hosts.most.replace(most.collect());
        self.table.store(Some(table));
    }

    fn limits(&self) -> Limits {
        self.table.load().as_ref().map(|table| table.limits).unwrap_or_default()
    }

    /// A request that waited for a unit has one, or is refused.
    pub fn admitted(&self, id: u64, admission: Admission) {
        if let Some(waits) = self.waiting.borrow_mut().remove(&id) {
            // One whose client has gone has been taken off already.
            let _ = waits.send(admission);
        }
    }

    /// Answers are the last on their connections from now on.
    pub fn end(&self) {
        self.ending.set(true);
    }

    fn lot(&self) -> f64 {
        let mut random = self.random.get();
        let drawn = lot(&mut random);
        self.random.set(random);
        drawn
    }

    /// Finds the route and the tenant of a request.
    fn find(&self, parts: &Parts, wire: &Wire) -> Result<Found, Rejected> {
        let mut codings = parts.headers.get_all(TRANSFER_ENCODING).iter();
        if let Some(coding) = codings.next() {
            if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                return Err(bad("chunked alone is decoded here\n"));
            }
            // Danger: one body with two lengths may hide another request (RFC 9112, 6.1 and 6.3), and of the two headers
            // only this one is left by now.
            if wire.names_length() {
                return Err(bad("a body comes in chunks or with a length, not with both\n"));
            }
        }
        if wire.target_changed() {
            return Err(bad("a path holds no fragment\n"));
        }
        if wire.odd_lines() {
            return Err(bad("lines of a head end with CR and LF, and none is folded\n"));
        }
        if parts.method == Method::CONNECT {
            return Err(Rejected(StatusCode::METHOD_NOT_ALLOWED, "no tunnels are made here\n", None));
        }
        let head = Head::read(parts).map_err(bad)?;
        let in_force = self.table.load();
        let Some(table) = in_force.as_ref() else {
            let again = UNCONFIGURED_AGAIN + (self.lot() * UNCONFIGURED_AGAIN_LOT) as Micros;
            return Err(Rejected(StatusCode::SERVICE_UNAVAILABLE, "no configuration yet\n", Some(again)));
        };
        let route = table.route(&head.host, head.uri.path());
        let route = route.ok_or(Rejected(StatusCode::NOT_FOUND, "no route\n", None))?;
        let tenant = head.key.as_deref().and_then(|key| table.tenant(key));
        if tenant.is_none() && !route.public && !table.tenants().is_empty() {
            return Err(Rejected(StatusCode::UNAUTHORIZED, "no such key\n", None));
        }
        Ok(Found { route: route.clone(), tenant: tenant.cloned(), head })
    }

    async fn serve(
        &self,
        request: Request<Incoming>,
        wire: &Wire,
        stays: &Cell<Stays>,
    ) -> Result<Response<Reply>, Rejected> {
        let begun = Instant::now();
        let (parts, body) = request.into_parts();
        let Found { head, route, tenant } = match self.find(&parts, wire) {
            Ok(found) => found,
            Err(rejected) => {
                if !body.is_end_stream() {
                    stays.set(Stays::Ends);
                    discard(body, UNWANTED_MOST, BODY_WAIT);
                }
                return Err(rejected);
            }
        };
        let wait = head.wait.map_or(route.timeout, |wait| wait.min(route.timeout));
        // As much as is taken in ahead may come at the least pace that a client is held to.
        let payload = match timeout_at(begun + BODY_WAIT, take(body, BODY_MOST, None, &self.room)).await {
            Ok(Ok(Taken::Whole(body))) => Payload::Whole(body),
            Ok(Ok(Taken::Part(first, rest))) => {
                let pipe = self.room.pipe();
                let full = pipe.is_none();
                let upload = Upload::new(first, rest, pipe, wait, begun, BODY_WAIT);
                if full {
                    // Danger: one long body more, and the process is killed for its memory, with all it holds.
                    upload.drain();
                    let why = "no room for one long body more\n";
                    return Err(Rejected(StatusCode::SERVICE_UNAVAILABLE, why, Some(AGAIN)));
                }
                Payload::Long(upload)
            }
            Ok(Err(BadBody::TooLong)) => {
                return Err(Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is too long\n", None));
            }
            Ok(Err(BadBody::Broken | BadBody::Malformed)) => return Err(bad("the body is not whole\n")),
            Err(_) => return Err(Rejected(StatusCode::REQUEST_TIMEOUT, "the body came too late\n", None)),
        };
        let upload = match &payload {
            Payload::Whole(_) => None,
            Payload::Long(upload) => Some(upload.clone()),
        };
        let drained = Drained(upload.clone());
        if let Some(tenant) = &tenant {
            self.admit(tenant).await?;
        }
        // The time that a long body takes is not the servers'.
        let since = if upload.is_some() { Instant::now() } else { begun };
        let frame = Frame::of(&payload, &parts.headers);
        let received = Received::new(parts.method, &head, tenant.as_ref(), wait, frame);
        let received = received.map_err(|breach| self.breached(breach))?;
        let due = self.clock.now() + (wait.saturating_sub(since.elapsed())).as_micros() as u64;
        let service = self.choose(&route);
        let fate = Rc::new(Fate::default());
        let forward = Forward {
            request: Forwarded::new(received, parts.headers),
            body: payload,
            repeatable: route.kind == RouteType::Safe,
            servers: route.retries as usize,
            fate: fate.clone(),
        };
        self.hosts.tries.borrow_mut().asked(self.clock.now(), service);
        let service = self.services.service(service);
        let id = RequestId(format!("{}", self.number()).into());
        let new = NewRequest {
            id: id.clone(),
            customer: CustomerId(0),
            class: service.class(&route),
            plan: 0,
            units: 1.0,
            first_node: 0,
            spread: 1,
            marked_retry: false,
            due,
        };
        let answer = service.node.take(new, forward).map_err(|_| bad("id in use\n"))?;
        // When the client goes away, this future is dropped with its connection.
        let withdrawn = Withdrawn(fate.clone());
        let waited = service.node.waited(id);
        let overdue = async {
            match &upload {
                None => sleep_until(service.node.last_call(due)).await,
                Some(upload) => sleep_until(upload.ended().await + upload.wait - FAIL).await,
            }
        };
        let answer = tokio::select! {
            biased;
            answer = answer => answer.unwrap_or(Answer::Failed(Reason::TimedOut)),
            _ = overdue => Answer::Failed(Reason::TimedOut),
        };
        drop((withdrawn, waited, drained));
        self.answered(answer, &fate, route.kind == RouteType::Safe)
    }

    /// A request that the boundary does not let through is not sent, and not promised anything.
    fn breached(&self, breach: Breach) -> Rejected {
        *self.figures.breaches.borrow_mut().entry(breach.name()).or_default() += 1;
        log::error!("a request was not sent on: {breach}");
        Rejected(StatusCode::INTERNAL_SERVER_ERROR, "", None)
    }

    fn number(&self) -> u64 {
        self.last.set(self.last.get() + 1);
        self.last.get()
    }

    /// Lets a tenant's request in, or refuses it; it may have to wait for a block of units that is on its way.
    async fn admit(&self, tenant: &Tenant) -> Result<(), Rejected> {
        let Some(admits) = self.admits.upgrade() else { return Ok(()) };
        let id = self.number();
        let quota = Quota { rate: tenant.rate, burst: tenant.burst };
        let (tell, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, tell);
        let waits = Waits { inlet: self, tenant: &tenant.name, id };
        let admission = match admits.arrive(&tenant.name, quota, id) {
            Admission::Wait => told.await.unwrap_or(Admission::Never),
            at_once => at_once,
        };
        drop(waits);
        let [with, without] = self.figures.deferred.get();
        match admission {
            Admission::Go => Ok(()),
            Admission::Later(wait) => {
                self.figures.deferred.set([with + 1, without]);
                Err(Rejected(StatusCode::TOO_MANY_REQUESTS, "", Some(wait)))
            }
            Admission::Never | Admission::Wait => {
                self.figures.deferred.set([with, without + 1]);
                Err(Rejected(StatusCode::TOO_MANY_REQUESTS, "", None))
            }
        }
    }

    /// The service that a request on a route goes to, by the weights.
    fn choose<'a>(&self, route: &'a Route) -> &'a str {
        let all: f64 = route.services.iter().map(|(_, weight)| weight).sum();
        let mut at = if route.services.len() > 1 { self.lot() * all } else { 0.0 };
        let mut chosen = "";
        for (service, weight) in route.services.iter().filter(|(_, weight)| *weight > 0.0) {
            chosen = service;
            at -= weight;
            if at < 0.0 {
                break;
            }
        }
        chosen
    }

    /// What the client is answered. Danger: 429 and 503 promise that it has not run and never will.
    fn answered(
        &self,
        answer: Answer<Flow>,
        fate: &Fate,
        repeatable: bool,
    ) -> Result<Response<Reply>, Rejected> {
        // Danger: a server's word that means no promise between it and here is one to the client.
        let passes = |status| repeatable || !promises(status);
        let why = match answer {
            Answer::Served(response) if !passes(response.status()) => {
                return Err(Rejected(StatusCode::BAD_GATEWAY, "", None));
            }
            Answer::Long((head, _)) if !passes(head.status) => {
                return Err(Rejected(StatusCode::BAD_GATEWAY, "", None));
            }
            Answer::Served(response) => {
                let (mut head, body) = response.into_parts();
                drop_hop(&mut head.headers);
                if !body.is_empty() {
                    // It is told anew, by what there is.
                    head.headers.remove(CONTENT_LENGTH);
                }
                return Ok(Response::from_parts(head, body.into()));
            }
            Answer::Long((mut head, body)) => {
                drop_hop(&mut head.headers);
                return Ok(Response::from_parts(head, Reply::Long(body)));
            }
            Answer::Refused(_, why) | Answer::Failed(why) => why,
        };
        *self.figures.unserved.borrow_mut().entry(why.name()).or_default() += 1;
        if let Some(breach) = fate.breach.get() {
            return Err(self.breached(breach));
        }
        if let Some(response) = fate.spare.take() {
            let (mut head, body) = response.into_parts();
            drop_hop(&mut head.headers);
            head.headers.remove(CONTENT_LENGTH);
            return Ok(Response::from_parts(head, body.into()));
        }
        match fate.verdict.get() {
            Verdict::NeverRan => {
                fate.withdrawn.set(true);
                let again = AGAIN + (self.lot() * AGAIN_LOT) as Micros;
                Err(Rejected(StatusCode::SERVICE_UNAVAILABLE, "", Some(again)))
            }
            _ if why == Reason::TimedOut => Err(Rejected(StatusCode::GATEWAY_TIMEOUT, "", None)),
            _ => Err(Rejected(StatusCode::BAD_GATEWAY, "", None)),
        }
    }
}

impl Handler for Inlet {
    type Reply = Reply;

    async fn answer(&self, request: Request<Incoming>, wire: &Wire) -> Response<Reply> {
        // Danger: where a body in chunks ends, the next request may have been read along with it. Its head is not looked at
        // for what this one's was.
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let stays = Cell::new(Stays::Open);
        let (mut response, end) = match self.serve(request, wire, &stays).await {
            Ok(response) => (response, false),
            Err(Rejected(status, why, wait)) => {
                let mut response = Response::new(Reply::from(Bytes::from_static(why.as_bytes())));
                *response.status_mut() = status;
                if let Some(wait) = wait {
                    let ms = wait.div_ceil(1_000);
                    if let Ok(value) = HeaderValue::from_str(&format!("{}.{:03}", ms / 1_000, ms % 1_000)) {
                        response.headers_mut().insert(RETRY_AFTER, value);
                    }
                }
                let malformed = matches!(status.as_u16(), 400 | 405 | 408 | 413);
                (response, malformed)
            }
        };
        *self.figures.statuses.borrow_mut().entry(response.status().as_u16()).or_default() += 1;
        // Danger: behind a request that can't be trusted may lie another that its sender hid there.
        if end || chunked || stays.get() == Stays::Ends || self.ending.get() {
            last(&mut response);
        }
        response
    }

    fn close_an_idle(&self) -> bool {
        self.hosts.close_an_idle()
    }

    fn head_wait(&self) -> Duration {
        self.limits().header_timeout
    }

    fn idle_wait(&self) -> Option<Duration> {
        Some(self.limits().idle_timeout)
    }
}

/// A request that may wait for a unit; dropped, it does not any more.
struct Waits<'a> {
    inlet: &'a Inlet,
    tenant: &'a str,
    id: u64,
}

impl Drop for Waits<'_> {
    fn drop(&mut self) {
        if self.inlet.waiting.borrow_mut().remove(&self.id).is_some() {
            if let Some(admits) = self.inlet.admits.upgrade() {
                admits.gone(self.tenant, self.id);
            }
        }
    }
}

/// Dropped, the request is answered or its client has gone: nothing more of it is sent.
struct Withdrawn(Rc<Fate>);

impl Drop for Withdrawn {
    fn drop(&mut self) {
        self.0.withdrawn.set(true);
    }
}

/// Reads what is left of a long body once its request is answered. Danger: a client that is still writing when its
/// connection closes loses the answer that lies there for it.
struct Drained(Option<Rc<Upload>>);

impl Drop for Drained {
    fn drop(&mut self) {
        self.0.iter().for_each(|upload| upload.drain());
    }
}
