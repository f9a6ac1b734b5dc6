//! What a recovery plays: sizes, load, costs, the fault, and the causes of an outage that are taken out.

use pinerelay_admission::quota::Quota;
use pinerelay_peer_link::message::Role;

use super::faults::RecoveryFault;
use crate::plan::{Lot, Plan};

/// The machines of the large deployment: proxies and core.
const LARGE_MACHINES: usize = 300;
/// Those of them that are of the core.
const LARGE_CORES: usize = 18;
/// The least number of core machines: so many vote.
const MIN_CORES: usize = 5;
/// Core machines that may be lost at once.
const TOLERATED_LOSSES: usize = 2;
/// The tenants of the large deployment.
const TENANTS: usize = 190;
/// The requests a second of clients per proxy: 4,500 at 282 proxies.
const REQUESTS_PER_PROXY: f64 = 16.0;
/// The rate of a tenant's quota, by the mean of its demand.
const RATE_FACTOR: f64 = 1.4;
/// The burst of a tenant's quota, in seconds of its rate.
const BURST_SECONDS: f64 = 2.5;
/// The routes in the configuration per proxy, so that content grows with the deployment as servers and routes do.
const ROUTES_PER_PROXY: usize = 1;
/// The characters in the path of a route: an item of content has some 140 bytes.
const PATH_LENGTH: usize = 60;
/// A demand of tenants: the largest is this many times the smallest.
const DEMAND_SPREAD: u64 = 9;

/// The simulated processor time for events, in microseconds of a machine's own processor.
#[derive(Debug, Clone, Copy)]
pub struct Costs {
    /// A message, or a connection that comes or goes, at a registry or store of 0.3 cores.
    pub core_message: f64,
    /// The same at a proxy of 0.1 cores.
    pub proxy_message: f64,
    /// A byte of content at a registry or store.
    pub core_byte: f64,
    /// A byte of content at a proxy.
    pub proxy_byte: f64,
    /// A message that a registry or store sends on one connection.
    pub core_send: f64,
    /// A message that a proxy sends on one connection.
    pub proxy_send: f64,
    /// A tick at a registry or store.
    pub core_tick: f64,
    /// A tick at a proxy.
    pub proxy_tick: f64,
    /// A client's request at a proxy, with what is forwarded for it.
    pub proxy_request: f64,
    /// What a tenant's lease request takes at a registry for each proxy that there is.
    pub lease_request_per_proxy: f64,
}

impl Default for Costs {
    fn default() -> Costs {
        Costs {
            core_message: 100.0,
            proxy_message: 600.0,
            core_byte: 0.03,
            proxy_byte: 0.1,
            core_send: 30.0,
            proxy_send: 90.0,
            core_tick: 1_000.0,
            proxy_tick: 1_000.0,
            proxy_request: 2_000.0,
            lease_request_per_proxy: 0.3,
        }
    }
}

impl Costs {
    /// Events that take no time.
    pub fn none() -> Costs {
        Costs {
            core_message: 0.0,
            proxy_message: 0.0,
            core_byte: 0.0,
            proxy_byte: 0.0,
            core_send: 0.0,
            proxy_send: 0.0,
            core_tick: 0.0,
            proxy_tick: 0.0,
            proxy_request: 0.0,
            lease_request_per_proxy: 0.0,
        }
    }

    /// The costs of a message, a byte, a sent message and a tick in a process of a role.
    pub(crate) fn of_role(&self, role: Role) -> [f64; 4] {
        match role {
            Role::Proxy => [self.proxy_message, self.proxy_byte, self.proxy_send, self.proxy_tick],
            _ => [self.core_message, self.core_byte, self.core_send, self.core_tick],
        }
    }
}

/// What an event loop turns to first when both a message and its tick are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventOrder {
    /// Messages: the tick waits until none is left.
    MessagesFirst,
    /// Messages, but a due tick waits for a limited number of them, as in the programs.
    BoundedMessages,
    /// The tick.
    TickFirst,
}

/// When a client comes back after a rejection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientReturn {
    /// At once.
    AtOnce,
    /// At the told time; at once if none was told.
    AtToldTime,
}

/// Causes of an outage that are taken out of the surroundings; the state machines stay as they are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Mended {
    /// No proxy is taken for silent: registries hear of those that run whatever the load, and of no others.
    pub silence: bool,
    /// The tick of a registry comes before messages.
    pub ticks: bool,
    /// A request that a cut-off proxy rejects at once is asked there again a little later, when a probe may have been answered.
    pub probes: bool,
    /// Content takes no time on links and processors.
    pub content: bool,
    /// A lease request takes the same work whatever the number of proxies.
    pub lease_work: bool,
}

impl Mended {
    /// All of them.
    pub const ALL: Mended =
        Mended { silence: true, ticks: true, probes: true, content: true, lease_work: true };

    /// The cause of this name, taken out alone.
    pub fn named(name: &str) -> Option<Mended> {
        let none = Mended::default();
        Some(match name {
            "none" => none,
            "silence" => Mended { silence: true, ..none },
            "ticks" => Mended { ticks: true, ..none },
            "probes" => Mended { probes: true, ..none },
            "content" => Mended { content: true, ..none },
            "lease-work" => Mended { lease_work: true, ..none },
            "all" => Mended::ALL,
            _ => return None,
        })
    }

    /// Both.
    #[must_use]
    pub fn and(self, other: Mended) -> Mended {
        Mended {
            silence: self.silence | other.silence,
            ticks: self.ticks | other.ticks,
            probes: self.probes | other.probes,
            content: self.content | other.content,
            lease_work: self.lease_work | other.lease_work,
        }
    }
}

/// A recovery.
#[derive(Debug, Clone)]
pub struct RecoveryPlan {
    /// Of all lots.
    pub seed: u64,
    /// Proxies.
    pub proxies: usize,
    /// Core machines.
    pub cores: usize,
    /// Tenants.
    pub tenants: usize,
    /// New requests a second of clients, per proxy.
    pub requests_per_proxy: f64,
    /// How long it lasts.
    pub seconds: u64,
    /// What befalls it.
    pub fault: RecoveryFault,
    /// The processor time for events.
    pub costs: Costs,
    /// The order of events in registries.
    pub order: EventOrder,
    /// When clients come back.
    pub returns: ClientReturn,
    /// Bytes take no time on links.
    pub fast_links: bool,
    /// The causes that are taken out.
    pub mended: Mended,
}

impl RecoveryPlan {
    /// A deployment of so many machines, the load per proxy and the part of the core as in the large one.
    pub fn of_size(machines: usize, fault: RecoveryFault, seed: u64) -> RecoveryPlan {
        let cores = (machines * LARGE_CORES / LARGE_MACHINES).max(MIN_CORES);
        RecoveryPlan {
            seed,
            proxies: machines.saturating_sub(cores).max(1),
            cores,
            tenants: TENANTS,
            requests_per_proxy: REQUESTS_PER_PROXY,
            seconds: fault.seconds(),
            fault,
            costs: Costs::default(),
            order: EventOrder::MessagesFirst,
            returns: ClientReturn::AtToldTime,
            fast_links: false,
            mended: Mended::default(),
        }
    }

    /// The requests a second of all clients.
    pub fn requests_per_second(&self) -> f64 {
        self.requests_per_proxy * self.proxies as f64
    }

    /// The order of events in registries.
    pub(crate) fn registry_order(&self) -> EventOrder {
        if self.mended.ticks {
            EventOrder::TickFirst
        } else {
            self.order
        }
    }

    /// The tenants: their names, and the requests a second that are made for each.
    pub(crate) fn tenants(&self) -> Vec<(String, f64)> {
        let mut lot = Lot(self.seed ^ self.tenants as u64);
        let weights: Vec<f64> = (0..self.tenants).map(|_| (1 + lot.upto(DEMAND_SPREAD)) as f64).collect();
        let all: f64 = weights.iter().sum();
        let demand = weights.into_iter().map(|weight| weight / all * self.requests_per_second());
        demand.enumerate().map(|(n, demand)| (format!("tenant-{n:03}"), demand)).collect()
    }

    /// The first order: all tenants, and the routes of a deployment of this size.
    pub(crate) fn configuration(&self) -> String {
        let tenants = self.tenants().into_iter().map(|(name, demand)| {
            let Quota { rate, burst } = quota_for(demand);
            format!(r#"["{name}",5,["key-{name}"],{rate},{burst}]"#)
        });
        let tenants: Vec<String> = tenants.collect();
        let path = "p".repeat(PATH_LENGTH);
        let route = |n| format!(r#"["route-{n:05}",5,"host{n}.example","/{path}/","safe","1s","service"]"#);
        let routes: Vec<String> = (0..self.proxies * ROUTES_PER_PROXY).map(route).collect();
        format!(
            r#"{{"upsert":{{"tenants":{{"column_names":["name","revision","api_keys","rate_per_s","burst"],"records":[{}]}},"services":{{"column_names":["name","revision"],"records":[["service",5]]}},"routes":{{"column_names":["name","revision","host","path_prefix","route_type","timeout","service"],"records":[{}]}},"limits":{{"max_header_bytes":16384,"revision":5}}}}}}"#,
            tenants.join(","),
            routes.join(",")
        )
    }

    /// The world that it is played in.
    pub(crate) fn world(&self) -> Plan {
        Plan {
            cores: self.cores,
            losses: TOLERATED_LOSSES,
            proxies: self.proxies,
            servers: 0,
            // Troubles end ten seconds before a play does.
            seconds: self.seconds + 60,
            faults: false,
            ..Plan::small(self.seed)
        }
    }
}

/// The quota of a tenant for which so many requests a second are made.
pub(crate) fn quota_for(demand: f64) -> Quota {
    let rate = (demand * RATE_FACTOR * 100.0).round() / 100.0;
    Quota { rate, burst: (rate * BURST_SECONDS).round().max(1.0) }
}
