//! The services' servers: who they are to the decisions, and one node that decides for each version of a service.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mountbend::control::Controller;
use mountbend::interface::{
    Class, ColdStart, CountName, Effect, Event, Limits, ListKind, Member, MemberState, Micros, ServerId,
    Settings,
};
use pinerelay_config_state::hash;
use pinerelay_config_state::resources::{Route, RouteType};
use pinerelay_config_state::routing_table::RolloutInForce;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_rollout::report::{RolloutPermit, RolloutReport};
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::node::{Node, Peers};
use pinerelay_traffic::ports::{Core, MemberSource, QuotaStore};

use crate::proxied_request::ProxyTraffic;
use crate::server_pool::ServerPool;
use crate::upstream::UpstreamConnector;
use crate::versions::ServiceVersions;

/// How long the slow start of a server lasts that reports one.
const SLOW_START: Micros = 3_000_000;
/// The share of its capacity that such a server has at its start.
const SLOW_START_SHARE: f64 = 0.5;
/// What a server in another zone costs, beside one in this zone.
const CROSS_ZONE_PRICE: f64 = 0.15;
/// A request that no server may take now waits for one part in so many of its latency target: rejected later, its client would
/// have no time to go elsewhere.
const QUEUE_TIME_DIVISOR: u64 = 5;
/// Attempts at one request, as far as the decisions go; each route has a limit of its own.
const MAX_ATTEMPTS: u32 = 16;

/// What the decisions need of a route, which many routes may have in common. Times in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct RouteClass {
    latency_target: Micros,
    timeout: Micros,
    is_idempotent: bool,
}

impl RouteClass {
    fn of(route: &Route) -> RouteClass {
        let micros = |duration: Duration| duration.as_micros() as Micros;
        RouteClass {
            latency_target: micros(route.latency_target),
            timeout: micros(route.timeout),
            is_idempotent: route.route_type == RouteType::Safe,
        }
    }

    fn to_class(self) -> Class {
        Class {
            on_time: self.latency_target / QUEUE_TIME_DIVISOR,
            deadline: self.timeout,
            effect: if self.is_idempotent { Effect::Safe } else { Effect::Unsafe },
            credit: 1.0,
            late_worth: 1.0,
            ..Class::default()
        }
    }
}

/// One version of a service: its node, and the classes of requests that it knows.
pub struct Service {
    /// The node that decides.
    pub node: Rc<Node<ProxyTraffic>>,
    classes: RefCell<Vec<RouteClass>>,
}

/// A server, as the decisions know it.
#[derive(Debug, Clone)]
struct NumberedServer {
    number: ServerId,
    name: VersionName,
    is_ready: bool,
}

/// A version of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct VersionName {
    service: String,
    version: String,
}

/// All services that routes or servers name.
pub struct Services {
    clock: Rc<Clock>,
    pool: Rc<ServerPool>,
    /// The zones that servers have named; this machine's is the first.
    zones: RefCell<Vec<String>>,
    seed: u64,
    /// This proxy's index, and the number of proxies.
    place: Cell<(u32, u32)>,
    services: RefCell<BTreeMap<VersionName, Rc<Service>>>,
    versions: RefCell<BTreeMap<String, Rc<ServiceVersions>>>,
    servers: RefCell<BTreeMap<String, NumberedServer>>,
}

/// The number of this machine's zone.
const OWN_ZONE: u32 = 0;

/// Admission comes before a service's node, which needs no quotas of its own.
struct NoQuotas;

impl QuotaStore for NoQuotas {
    fn add(&self, _: CountName, _: f64, _: Micros) {}

    fn settled(&self) -> bool {
        true
    }
}

/// Servers are reported as they become known; there is no list to fetch.
struct NoMemberList;

impl MemberSource for NoMemberList {
    fn fetch(&self) {}
}

impl Services {
    /// No services yet. `zone` is this machine's.
    pub fn new(clock: Rc<Clock>, pool: Rc<ServerPool>, zone: &str, seed: u64) -> Rc<Services> {
        Rc::new(Services {
            clock,
            pool,
            zones: RefCell::new(vec![zone.into()]),
            seed,
            place: Cell::new((0, 1)),
            services: RefCell::default(),
            versions: RefCell::default(),
            servers: RefCell::default(),
        })
    }

    /// The number of a zone.
    fn zone_number(&self, name: &str) -> u32 {
        let mut zones = self.zones.borrow_mut();
        let found = zones.iter().position(|zone| zone == name);
        found.unwrap_or_else(|| {
            zones.push(name.into());
            zones.len() - 1
        }) as u32
    }

    /// The version of a service that its next request goes to. `proxies` share the service's requests; `drawn` is a random number
    /// from 0 to 1.
    pub fn next_service(&self, service: &str, proxies: usize, drawn: f64) -> Rc<Service> {
        let version = self.versions(service).choose(proxies, drawn);
        self.service(&VersionName { service: service.into(), version })
    }

    fn service(&self, name: &VersionName) -> Rc<Service> {
        if let Some(service) = self.services.borrow().get(name) {
            return service.clone();
        }
        let service = Rc::new(Service { node: self.new_node(name), classes: RefCell::default() });
        self.services.borrow_mut().insert(name.clone(), service.clone());
        service
    }

    /// The versions of a service.
    fn versions(&self, service: &str) -> Rc<ServiceVersions> {
        if let Some(versions) = self.versions.borrow().get(service) {
            return versions.clone();
        }
        let versions = ServiceVersions::new(self.clock.clone());
        self.versions.borrow_mut().insert(service.into(), versions.clone());
        versions
    }

    /// Puts in force what is decided about the services' versions.
    pub fn set_rollouts(&self, rollouts: &BTreeMap<String, Arc<RolloutInForce>>) {
        for service in rollouts.keys() {
            self.versions(service);
        }
        for (service, versions) in self.versions.borrow().iter() {
            versions.set_in_force(rollouts.get(service).cloned());
        }
        self.forget_ended_versions();
    }

    /// Forgets versions that get no requests any more, and have neither servers nor an open request.
    fn forget_ended_versions(&self) {
        let versions = self.versions.borrow();
        self.services.borrow_mut().retain(|name, service| {
            let versions = versions.get(&name.service);
            let is_used = versions.is_none_or(|versions| versions.is_used(&name.version));
            is_used || !service.node.is_idle()
        });
    }

    /// A registry permits requests to new versions.
    pub fn permit(&self, permits: Vec<RolloutPermit>) {
        for permit in permits {
            self.versions(&permit.service).permit(permit);
        }
    }

    /// The reports on the rollouts that are under way.
    pub fn rollout_reports(&self) -> Vec<RolloutReport> {
        let versions = self.versions.borrow();
        let reports = versions.iter().filter_map(|(service, versions)| {
            versions.report(service, |version| self.is_idle(service, version))
        });
        reports.collect()
    }

    /// Whether no request is open at a version.
    fn is_idle(&self, service: &str, version: &str) -> bool {
        let name = VersionName { service: service.into(), version: version.into() };
        self.services.borrow().get(&name).is_none_or(|service| service.node.is_idle())
    }

    fn new_node(&self, name: &VersionName) -> Rc<Node<ProxyTraffic>> {
        let (index, proxies) = self.place.get();
        let settings = Settings {
            me: index,
            nodes: proxies,
            zone: OWN_ZONE,
            cross_zone_price: CROSS_ZONE_PRICE,
            limits: Limits { cancel: true, retry_after: true, try_limit: MAX_ATTEMPTS, ..Limits::default() },
            cold_start: ColdStart { cold_from: SLOW_START_SHARE, cold: SLOW_START, ..ColdStart::default() },
            ..Settings::default()
        };
        let VersionName { service, version } = name;
        let seed = hash::mix64(self.seed ^ hash::hash_parts(&[service.as_bytes(), version.as_bytes()]));
        let versions = self.versions(service);
        let (pool, clock) = (self.pool.clone(), self.clock.clone());
        Node::new(Controller::new(seed, settings), MAX_ATTEMPTS, self.clock.clone(), |core| Peers {
            upstream: UpstreamConnector::new(service, version, versions, pool, clock, core),
            store: Rc::new(NoQuotas),
            members: Rc::new(NoMemberList),
        })
    }

    /// Sets this proxy's place among all of them.
    pub fn placed(&self, index: u32, proxies: u32) {
        self.place.set((index, proxies));
        for service in self.services.borrow().values() {
            service.node.event(Event::NodesChanged { me: index, nodes: proxies });
        }
    }

    /// What is known of a server has changed; `None` if it takes no requests.
    pub fn server_changed(&self, id: &str, server: Option<&Server>) {
        let Some(NumberedServer { number, name, .. }) = self.numbered(id, server) else { return };
        self.count_ready(id, server);
        self.pool.set(number, id, server);
        let member = self.member(number, server);
        let node = self.service(&name).node.clone();
        node.event(Event::Members { kind: ListKind::Changes, entries: vec![member] });
        if server.is_none() {
            self.servers.borrow_mut().remove(id);
        }
    }

    /// The number of a server, which is given to one that is new; `None` for an unknown one that takes no requests.
    fn numbered(&self, id: &str, server: Option<&Server>) -> Option<NumberedServer> {
        if let Some(known) = self.servers.borrow().get(id) {
            return Some(known.clone());
        }
        let Server { service, revision, .. } = server?;
        let name = VersionName { service: service.clone(), version: revision.clone() };
        let new = NumberedServer { number: self.new_number(id), name, is_ready: false };
        self.servers.borrow_mut().insert(id.into(), new.clone());
        Some(new)
    }

    /// Counts the ready servers of each version.
    fn count_ready(&self, id: &str, server: Option<&Server>) {
        let is_ready = server.is_some_and(|server| server.state == ServerState::Ready);
        let mut servers = self.servers.borrow_mut();
        let Some(known) = servers.get_mut(id) else { return };
        if std::mem::replace(&mut known.is_ready, is_ready) == is_ready {
            return;
        }
        let versions = self.versions(&known.name.service);
        if is_ready {
            versions.server_added(&known.name.version);
        } else {
            versions.server_removed(&known.name.version);
        }
    }

    /// A server as the decisions know it.
    fn member(&self, number: ServerId, server: Option<&Server>) -> Member {
        let Some(server) = server else {
            let state = MemberState::Removed;
            return Member { server: number, zone: OWN_ZONE, state, weight: 1.0, ..Member::default() };
        };
        let state = match server.state {
            ServerState::Ready => MemberState::InService,
            ServerState::Draining => MemberState::Draining,
            ServerState::Lost | ServerState::Gone => MemberState::Removed,
        };
        let warm_at = self.clock.now() + u64::from(server.warmup_ms) * 1_000;
        let started = if server.warmup_ms > 0 { warm_at.saturating_sub(SLOW_START) } else { 0 };
        Member {
            server: number,
            zone: self.zone_number(&server.zone),
            state,
            weight: f64::from(server.capacity),
            started,
            ..Member::default()
        }
    }

    /// A number for a new server: the same at every proxy, unless two ids happen to share one.
    fn new_number(&self, id: &str) -> ServerId {
        let servers = self.servers.borrow();
        let taken: BTreeSet<u32> = servers.values().map(|server| server.number.0).collect();
        let mut number = (hash::hash_parts(&[id.as_bytes()]) >> 32) as u32;
        while taken.contains(&number) {
            number = number.wrapping_add(1);
        }
        ServerId(number)
    }

    /// The number of servers that are known.
    pub fn server_count(&self) -> usize {
        self.servers.borrow().len()
    }

    /// All services' nodes.
    pub fn nodes(&self) -> Vec<Rc<Node<ProxyTraffic>>> {
        self.services.borrow().values().map(|service| service.node.clone()).collect()
    }
}

impl Service {
    /// The class of a route's requests, as the service's node knows it.
    pub fn class(&self, route: &Route) -> usize {
        let class = RouteClass::of(route);
        let mut classes = self.classes.borrow_mut();
        if let Some(index) = classes.iter().position(|known| *known == class) {
            return index;
        }
        classes.push(class);
        self.node.retune(classes.iter().map(|class| class.to_class()).collect(), MAX_ATTEMPTS);
        classes.len() - 1
    }
}
