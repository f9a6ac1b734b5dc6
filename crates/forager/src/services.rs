//! The services' servers: who they are to the decisions, and one node that decides for each service.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use mountbend::control::Controller;
use mountbend::interface::{
    Class, CountName, Effect, Event, Limits, ListKind, Member, MemberState, Micros, Rules, ServerId, Settings,
};
use pinerelay_cells::hash;
use pinerelay_cells::routes::{Route, RouteType};
use pinerelay_cells::server::{Server, State};
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::node::{Node, Peers};
use pinerelay_traffic::ports::{Core, MemberSource, QuotaStore};

use crate::flow::Flow;
use crate::hosts::Hosts;
use crate::outlet::Outlet;

/// How long a server is slow after its start, where one says that it is.
const COLD: Micros = 3_000_000;
/// The share of its capacity that a cold one has at its start.
const COLD_FROM: f64 = 0.5;
/// What a server in another zone costs beside one in this.
const CROSS_ZONE: f64 = 0.15;
/// A request that no server may take now waits for this part of its aim at the most: refused later, its client would have
/// no time to go elsewhere.
const WAIT: u64 = 5;
/// Attempts at one request, as far as the decisions go; each route has its own limit.
const TRIES: u32 = 16;

/// What the decisions need of a route, which many routes may have in common.
type Kind = (u64, u64, bool);

/// One service: its node, and the classes that it knows.
pub struct Service {
    /// The node that decides.
    pub node: Rc<Node<Flow>>,
    classes: RefCell<Vec<Kind>>,
}

/// All services that routes or servers name.
pub struct Services {
    clock: Rc<Clock>,
    hosts: Rc<Hosts>,
    zones: RefCell<Vec<String>>,
    zone: u32,
    seed: u64,
    placed: Cell<(u32, u32)>,
    services: RefCell<BTreeMap<String, Rc<Service>>>,
    numbers: RefCell<BTreeMap<String, (ServerId, String)>>,
}

/// Quotas are no matter of a service's node: admission comes before it.
struct NoCounts;

impl QuotaStore for NoCounts {
    fn add(&self, _: CountName, _: f64, _: Micros) {}

    fn settled(&self) -> bool {
        true
    }
}

/// Servers are told as they become known; there is no list to be fetched.
struct Told;

impl MemberSource for Told {
    fn fetch(&self) {}
}

impl Services {
    /// None yet. `zone` is this machine's.
    pub fn new(clock: Rc<Clock>, hosts: Rc<Hosts>, zone: &str, seed: u64) -> Rc<Services> {
        Rc::new(Services {
            clock,
            hosts,
            zones: RefCell::new(vec![zone.into()]),
            zone: 0,
            seed,
            placed: Cell::new((0, 1)),
            services: RefCell::default(),
            numbers: RefCell::default(),
        })
    }

    fn zone(&self, name: &str) -> u32 {
        let mut zones = self.zones.borrow_mut();
        let found = zones.iter().position(|zone| zone == name);
        found.unwrap_or_else(|| {
            zones.push(name.into());
            zones.len() - 1
        }) as u32
    }

    /// A service's node.
    pub fn service(&self, name: &str) -> Rc<Service> {
        if let Some(service) = self.services.borrow().get(name) {
            return service.clone();
        }
        let (me, nodes) = self.placed.get();
        let settings = Settings {
            me,
            nodes,
            zone: self.zone,
            cross_zone_price: CROSS_ZONE,
            limits: Limits { cancel: true, retry_after: true, try_limit: TRIES, ..Limits::default() },
            rules: Rules { cold_from: COLD_FROM, cold: COLD, ..Rules::default() },
            ..Settings::default()
        };
        let seed = hash::mix(self.seed ^ hash::of(&[name.as_bytes()]));
        let (hosts, clock) = (self.hosts.clone(), self.clock.clone());
        let node = Node::new(Controller::new(seed, settings), TRIES, self.clock.clone(), |core| Peers {
            upstream: Outlet::new(name, hosts, clock, core),
            store: Rc::new(NoCounts),
            members: Rc::new(Told),
        });
        let service = Rc::new(Service { node, classes: RefCell::default() });
        self.services.borrow_mut().insert(name.into(), service.clone());
        service
    }

    /// This node's number among so many.
    pub fn placed(&self, me: u32, nodes: u32) {
        self.placed.set((me, nodes));
        for service in self.services.borrow().values() {
            service.node.event(Event::Placed { me, nodes });
        }
    }

    /// What is known of a server has changed; none: it has left.
    pub fn server(&self, id: &str, server: Option<&Server>) {
        let known = self.numbers.borrow().get(id).cloned();
        let (number, service) = match (known, server) {
            (Some(known), _) => known,
            (None, Some(server)) => {
                let number = self.number(id);
                self.numbers.borrow_mut().insert(id.into(), (number, server.service.clone()));
                (number, server.service.clone())
            }
            (None, None) => return,
        };
        let state = match server.map(|server| server.state) {
            Some(State::Ready) => MemberState::In,
            Some(State::Draining) => MemberState::Draining,
            _ => MemberState::Out,
        };
        self.hosts.set(number, id, server);
        let now = self.clock.now();
        let warm_at = |server: &Server| now + u64::from(server.warmup_ms) * 1_000;
        let started = server.filter(|server| server.warmup_ms > 0).map(warm_at);
        let member = Member {
            server: number,
            zone: server.map_or(0, |server| self.zone(&server.zone)),
            state,
            weight: server.map_or(1.0, |server| f64::from(server.capacity)),
            started: started.map_or(0, |at| at.saturating_sub(COLD)),
            ..Member::default()
        };
        let node = self.service(&service).node.clone();
        node.event(Event::Members { kind: ListKind::Changes, entries: vec![member] });
        if server.is_none() {
            self.numbers.borrow_mut().remove(id);
        }
    }

    /// A number for a new server: the same at every node, but for names that happen to share one.
    fn number(&self, id: &str) -> ServerId {
        let numbers = self.numbers.borrow();
        let taken: std::collections::BTreeSet<u32> = numbers.values().map(|(number, _)| number.0).collect();
        let mut number = (hash::of(&[id.as_bytes()]) >> 32) as u32;
        while taken.contains(&number) {
            number = number.wrapping_add(1);
        }
        ServerId(number)
    }

    /// How many servers are known.
    pub fn servers(&self) -> usize {
        self.numbers.borrow().len()
    }

    /// All services' nodes.
    pub fn nodes(&self) -> Vec<Rc<Node<Flow>>> {
        self.services.borrow().values().map(|service| service.node.clone()).collect()
    }
}

impl Service {
    /// The class of a route's requests, as the service's node knows it.
    pub fn class(&self, route: &Route) -> usize {
        let micros = |time: std::time::Duration| time.as_micros() as u64;
        let kind = (micros(route.target), micros(route.timeout), route.kind == RouteType::Safe);
        let mut classes = self.classes.borrow_mut();
        if let Some(found) = classes.iter().position(|known| *known == kind) {
            return found;
        }
        classes.push(kind);
        let all = classes.iter().map(|&(target, timeout, safe)| Class {
            on_time: target / WAIT,
            deadline: timeout,
            effect: if safe { Effect::Safe } else { Effect::Unsafe },
            credit: 1.0,
            late_worth: 1.0,
            ..Class::default()
        });
        self.node.retune(all.collect(), TRIES);
        classes.len() - 1
    }
}
