//! The upstream services: maps servers to members of the load balancer, with one load-balancing node per service version.

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

/// Duration of the slow start of a server that reports a warm-up time, in microseconds.
const SLOW_START: Micros = 3_000_000;
/// Fraction of its capacity that a server has at the beginning of its slow start.
const SLOW_START_SHARE: f64 = 0.5;
/// Additional price of an attempt at a server in another zone: the load balancer's `Settings::cross_zone_price`.
const CROSS_ZONE_PRICE: f64 = 0.15;
/// A request that no server can take now is queued for its latency target divided by this: if it were rejected later, its client
/// would have no time left to try elsewhere.
const QUEUE_TIME_DIVISOR: u64 = 5;
/// Upper bound on the load balancer's attempts per request; each route has a limit of its own.
const MAX_ATTEMPTS: u32 = 16;

/// The parameters of a route that the load balancer needs; several routes may share one class. Times in microseconds.
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

/// One version of a service: its load-balancing node, and the request classes registered with it.
pub struct Service {
    /// The load-balancing node of this version.
    pub node: Rc<Node<ProxyTraffic>>,
    /// The registered classes; the index is the class's number at the node.
    classes: RefCell<Vec<RouteClass>>,
}

/// A server with the number under which the load balancer knows it.
#[derive(Debug, Clone)]
struct NumberedServer {
    number: ServerId,
    /// The service version that it belongs to.
    name: VersionName,
    is_ready: bool,
}

/// Identifies a version of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct VersionName {
    service: String,
    version: String,
}

/// All services that are named by routes or servers.
pub struct Services {
    clock: Rc<Clock>,
    pool: Rc<ServerPool>,
    /// The zones of all servers seen so far; the index is the zone's number. This machine's zone is the first.
    zones: RefCell<Vec<String>>,
    /// The seed from which each node's random seed is derived.
    seed: u64,
    /// The index of this proxy among all proxies, and their number.
    proxy_position: Cell<(u32, u32)>,
    services: RefCell<BTreeMap<VersionName, Rc<Service>>>,
    /// By service name.
    versions: RefCell<BTreeMap<String, Rc<ServiceVersions>>>,
    /// By server id.
    servers: RefCell<BTreeMap<String, NumberedServer>>,
}

/// The zone number of this machine.
const LOCAL_ZONE: u32 = 0;

/// A quota store that does nothing: quotas are applied before a request reaches the load-balancing node.
struct NoQuotas;

impl QuotaStore for NoQuotas {
    fn add(&self, _: CountName, _: f64, _: Micros) {}

    fn settled(&self) -> bool {
        true
    }
}

/// A member source that fetches nothing: servers are pushed as events when the replica changes.
struct NoMemberList;

impl MemberSource for NoMemberList {
    fn fetch(&self) {}
}

impl Services {
    /// Creates an empty set of services. `zone` is the zone of this machine.
    pub fn new(clock: Rc<Clock>, pool: Rc<ServerPool>, zone: &str, seed: u64) -> Rc<Services> {
        Rc::new(Services {
            clock,
            pool,
            zones: RefCell::new(vec![zone.into()]),
            seed,
            proxy_position: Cell::new((0, 1)),
            services: RefCell::default(),
            versions: RefCell::default(),
            servers: RefCell::default(),
        })
    }

    /// Returns the number of a zone, assigning one to a new zone.
    fn zone_number(&self, name: &str) -> u32 {
        let mut zones = self.zones.borrow_mut();
        let found = zones.iter().position(|zone| zone == name);
        found.unwrap_or_else(|| {
            zones.push(name.into());
            zones.len() - 1
        }) as u32
    }

    /// Chooses the service version for the next request. `proxies` is the number of proxies that share the service's traffic;
    /// `drawn` is a random number from 0 to 1.
    pub fn next_service(&self, service: &str, proxies: usize, drawn: f64) -> Rc<Service> {
        let version = self.versions(service).choose(proxies, drawn);
        self.service(&VersionName { service: service.into(), version })
    }

    /// Returns a service version, creating its node on first use.
    fn service(&self, name: &VersionName) -> Rc<Service> {
        if let Some(service) = self.services.borrow().get(name) {
            return service.clone();
        }
        let service = Rc::new(Service { node: self.new_node(name), classes: RefCell::default() });
        self.services.borrow_mut().insert(name.clone(), service.clone());
        service
    }

    /// Returns the versions of a service, adding an unknown service.
    fn versions(&self, service: &str) -> Rc<ServiceVersions> {
        if let Some(versions) = self.versions.borrow().get(service) {
            return versions.clone();
        }
        let versions = ServiceVersions::new(self.clock.clone());
        self.versions.borrow_mut().insert(service.into(), versions.clone());
        versions
    }

    /// Applies the rollouts of a new configuration, and removes service versions that are no longer used.
    pub fn set_rollouts(&self, rollouts: &BTreeMap<String, Arc<RolloutInForce>>) {
        for service in rollouts.keys() {
            self.versions(service);
        }
        for (service, versions) in self.versions.borrow().iter() {
            versions.set_current_rollout(rollouts.get(service).cloned());
        }
        self.remove_unused_versions();
    }

    /// Removes versions that receive no requests any more and have neither servers nor open requests.
    fn remove_unused_versions(&self) {
        let versions = self.versions.borrow();
        self.services.borrow_mut().retain(|name, service| {
            let versions = versions.get(&name.service);
            let is_used = versions.is_none_or(|versions| versions.is_used(&name.version));
            is_used || !service.node.is_idle()
        });
    }

    /// Applies permits by which a registry allows requests to new versions.
    pub fn permit(&self, permits: Vec<RolloutPermit>) {
        for permit in permits {
            self.versions(&permit.service).permit(permit);
        }
    }

    /// Returns the reports on the rollouts in progress.
    pub fn rollout_reports(&self) -> Vec<RolloutReport> {
        let versions = self.versions.borrow();
        let reports = versions.iter().filter_map(|(service, versions)| {
            versions.report(service, |version| self.is_idle(service, version))
        });
        reports.collect()
    }

    /// Whether a version has no open requests.
    fn is_idle(&self, service: &str, version: &str) -> bool {
        let name = VersionName { service: service.into(), version: version.into() };
        self.services.borrow().get(&name).is_none_or(|service| service.node.is_idle())
    }

    /// Creates the load-balancing node of a service version.
    fn new_node(&self, name: &VersionName) -> Rc<Node<ProxyTraffic>> {
        let (index, proxies) = self.proxy_position.get();
        let settings = Settings {
            me: index,
            nodes: proxies,
            zone: LOCAL_ZONE,
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

    /// Sets the index of this proxy among all proxies, and their number, for all nodes.
    pub fn set_position(&self, index: u32, proxies: u32) {
        self.proxy_position.set((index, proxies));
        for service in self.services.borrow().values() {
            service.node.event(Event::NodesChanged { me: index, nodes: proxies });
        }
    }

    /// Applies a change of a server; `None` if it no longer accepts requests.
    pub fn server_changed(&self, id: &str, server: Option<&Server>) {
        let Some(NumberedServer { number, name, .. }) = self.find_or_add(id, server) else { return };
        self.count_ready(id, server);
        self.pool.set_server(number, id, server);
        let member = self.to_member(number, server);
        let node = self.service(&name).node.clone();
        node.event(Event::Members { kind: ListKind::Changes, entries: vec![member] });
        if server.is_none() {
            self.servers.borrow_mut().remove(id);
        }
    }

    /// Returns the entry of a server, adding a new server; `None` for an unknown server that accepts no requests.
    fn find_or_add(&self, id: &str, server: Option<&Server>) -> Option<NumberedServer> {
        if let Some(known) = self.servers.borrow().get(id) {
            return Some(known.clone());
        }
        let Server { service, revision, .. } = server?;
        let name = VersionName { service: service.clone(), version: revision.clone() };
        let new = NumberedServer { number: self.new_number(id), name, is_ready: false };
        self.servers.borrow_mut().insert(id.into(), new.clone());
        Some(new)
    }

    /// Updates the number of ready servers of the server's version.
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

    /// Converts a server to a member of the load balancer.
    fn to_member(&self, number: ServerId, server: Option<&Server>) -> Member {
        let Some(server) = server else {
            let state = MemberState::Removed;
            return Member { server: number, zone: LOCAL_ZONE, state, weight: 1.0, ..Member::default() };
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

    /// Derives the number of a new server from its id: equal on all proxies, unless two ids have the same hash.
    fn new_number(&self, id: &str) -> ServerId {
        let servers = self.servers.borrow();
        let taken: BTreeSet<u32> = servers.values().map(|server| server.number.0).collect();
        let mut number = (hash::hash_parts(&[id.as_bytes()]) >> 32) as u32;
        while taken.contains(&number) {
            number = number.wrapping_add(1);
        }
        ServerId(number)
    }

    /// The number of known servers.
    pub fn server_count(&self) -> usize {
        self.servers.borrow().len()
    }

    /// The load-balancing nodes of all service versions.
    pub fn nodes(&self) -> Vec<Rc<Node<ProxyTraffic>>> {
        self.services.borrow().values().map(|service| service.node.clone()).collect()
    }
}

impl Service {
    /// Returns the index of the route's request class, registering a new class with the node.
    pub fn class_index(&self, route: &Route) -> usize {
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
