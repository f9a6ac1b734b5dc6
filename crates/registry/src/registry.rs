//! The registry's state machine: events of links and calls go in with the clock, what is to be sent and answered comes out.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_admission::duty::{DutyTable, SLICE_COUNT};
use pinerelay_admission::quota::QuotaBounds;
use pinerelay_admission::Micros;
use pinerelay_config_state::routing_table::RoutingTable;
use pinerelay_config_state::ItemSet;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{CallReply, Hello, PeerMessage, Role, CONFIG_REALM, RUNTIME_REALM};
use pinerelay_rollout::decider::RolloutBounds;

mod call_forwarding;
mod currency;
mod endpoints;
mod messages;
mod processes;
mod quota_duty;
mod replication;
mod rollout_duty;
mod status;

use call_forwarding::ForwardedCalls;
use currency::CurrencyLease;
use endpoints::Endpoints;
use processes::{PeerRegistry, Proxies, StoreLink};
use quota_duty::QuotaDuty;
use replication::PartialUpdate;
use rollout_duty::RolloutDuty;
use status::Counters;

/// How often a registry reports its status.
const STATUS_INTERVAL: Micros = 600_000;
/// A registry that has not heard its machine's store for so long, or that it is current, links to the others' stores.
const OWN_STORE_TIMEOUT: Micros = 1_000_000;
/// A gap between two ticks after which the process has stalled: what it did not hear meanwhile tells nothing.
const STALL: Micros = 700_000;
/// A gap after which a call may have waited here for so long that its caller has asked elsewhere.
const CALL_STALL: Micros = 250_000;
/// For how long after such a gap that is so.
const AFTER_CALL_STALL: Micros = 150_000;

/// What the registry wants done.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a message on a connection.
    Send(ConnectionId, PeerMessage),
    /// Send the same message on many connections.
    Broadcast(Vec<ConnectionId>, PeerMessage),
    /// Answer a call from outside.
    Answer(u64, CallReply),
    /// Close a connection: what arrived on it makes no sense.
    Close(ConnectionId),
}

/// What a registry is told at its start.
#[derive(Debug, Clone)]
pub struct RegistryConfig {
    /// How it introduces itself.
    pub hello: Hello,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// The time of day when the process starts, in seconds.
    pub time_of_day: u64,
    /// The interval of servers' heartbeats.
    pub heartbeat_interval: Micros,
    /// The operator's bounds on quotas.
    pub quota_bounds: QuotaBounds,
    /// Rollouts, as the operator wants them.
    pub rollouts: RolloutSettings,
    /// The core machines that it has been told of.
    pub seeds: Vec<String>,
}

/// Rollouts, as the operator wants them.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RolloutSettings {
    /// Whether a version that no rollout has let in is to get nothing from the first server of a service on. Otherwise that holds for a
    /// service from its first order on.
    pub are_guaranteed: bool,
    /// The bounds.
    pub bounds: RolloutBounds,
}

/// Whether a majority of the core is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Majority {
    /// Since this moment.
    Reached(Micros),
    /// Not since this moment.
    Lost(Micros),
}

impl Majority {
    fn is_reached(self) -> bool {
        matches!(self, Majority::Reached(_))
    }
}

/// The registry.
pub struct Registry {
    config: RegistryConfig,
    /// The committed items of the configuration, and all others.
    realms: [ItemSet; 2],
    /// What the configuration's items make.
    table: RoutingTable,
    /// Whether a store with a complete replica has sent all that it has.
    is_complete: bool,
    /// Whether the configuration may hold a part of an operator's update.
    partial: PartialUpdate,
    /// Whether what it has is current.
    lease: CurrencyLease,
    peers: BTreeMap<ConnectionId, Hello>,
    stores: BTreeMap<ConnectionId, StoreLink>,
    /// Other registries, by their address.
    registries: BTreeMap<String, PeerRegistry>,
    proxies: Proxies,
    /// The process of each proxy and registry, by its machine.
    process_ids: BTreeMap<(Role, String), u64>,
    /// When a peer last took part in anti-entropy.
    last_sync: BTreeMap<ConnectionId, Micros>,
    /// The core machines that vote, once a store has told them; until then those that it was told of.
    voters: Vec<String>,
    /// The voters of the epoch before.
    previous_voters: Vec<String>,
    majority: Majority,
    endpoints: Endpoints,
    duties: DutyTable,
    quota_duty: QuotaDuty,
    rollout_duty: RolloutDuty,
    calls: ForwardedCalls,
    /// The last number that was given to a call, a replication or a fencing token.
    last_number: u64,
    started_at: Micros,
    last_tick: Micros,
    /// When the process went on after its last stall.
    resumed_at: Option<Micros>,
    /// When the machine's own store was last heard.
    own_store_heard_at: Micros,
    /// When the machine's own store was last current.
    own_store_current_at: Micros,
    next_status: Micros,
    /// When what it has was last equal to what a store or another registry has.
    last_equal: Micros,
    counters: Counters,
}

impl Registry {
    /// A registry that has heard nothing yet.
    pub fn new(now: Micros, config: RegistryConfig) -> Registry {
        let duties = DutyTable::new(now, &config.hello.ip, config.first_start);
        Registry {
            voters: config.seeds.clone(),
            previous_voters: Vec::new(),
            started_at: now,
            lease: CurrencyLease::new(now),
            config,
            realms: Default::default(),
            table: RoutingTable::default(),
            is_complete: false,
            partial: PartialUpdate::default(),
            peers: BTreeMap::new(),
            stores: BTreeMap::new(),
            registries: BTreeMap::new(),
            proxies: Proxies::default(),
            process_ids: BTreeMap::new(),
            last_sync: BTreeMap::new(),
            majority: Majority::Lost(now),
            endpoints: Endpoints::new(now),
            duties,
            quota_duty: QuotaDuty::default(),
            rollout_duty: RolloutDuty::default(),
            calls: ForwardedCalls::default(),
            last_number: 0,
            last_tick: now,
            resumed_at: None,
            own_store_heard_at: now,
            own_store_current_at: now,
            next_status: now,
            last_equal: now,
            counters: Counters::default(),
        }
    }

    /// The other registries that it is to reach.
    pub fn other_registries(&self) -> BTreeSet<String> {
        let voters = self.voters.iter().chain(&self.previous_voters).chain(&self.config.seeds);
        let reported = self.registries.values().flat_map(|registry| &registry.registries);
        let all = voters.chain(self.registries.keys()).chain(reported);
        all.filter(|ip| **ip != self.config.hello.ip).cloned().collect()
    }

    /// The processes that it is to keep links to, by address and program: the other registries, the store of its own machine,
    /// and as long as that is missing or not current, the others' stores.
    pub fn wanted_links(&self) -> BTreeSet<(String, Role)> {
        let others = self.other_registries();
        let mut wanted: BTreeSet<_> = others.iter().map(|ip| (ip.clone(), Role::Registry)).collect();
        wanted.insert((self.config.hello.ip.clone(), Role::ConfigStore));
        let own_store_at = self.own_store_heard_at.min(self.own_store_current_at);
        if self.last_tick > own_store_at + OWN_STORE_TIMEOUT {
            wanted.extend(others.into_iter().map(|ip| (ip, Role::ConfigStore)));
        }
        wanted
    }

    /// The configuration's items, and all others.
    pub fn realms(&self) -> &[ItemSet; 2] {
        &self.realms
    }

    fn config_items(&self) -> &ItemSet {
        &self.realms[usize::from(CONFIG_REALM)]
    }

    fn runtime_items(&self) -> &ItemSet {
        &self.realms[usize::from(RUNTIME_REALM)]
    }

    fn runtime_items_mut(&mut self) -> &mut ItemSet {
        &mut self.realms[usize::from(RUNTIME_REALM)]
    }

    fn digests(&self) -> [u64; 2] {
        [self.config_items().digest(), self.runtime_items().digest()]
    }

    /// The time of day, in seconds.
    fn time_of_day(&self, now: Micros) -> u64 {
        self.config.time_of_day + now / 1_000_000
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The slices that it acts for now, one bit each.
    pub fn held_slices(&self, now: Micros) -> u32 {
        let held = (0..SLICE_COUNT).filter(|&slice| self.duties.holds(now, slice));
        held.fold(0, |bits, slice| bits | 1 << slice)
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let has_stalled = now > self.last_tick + STALL;
        if now > self.last_tick + CALL_STALL {
            self.resumed_at = Some(now);
            self.counters.stalls += 1;
            log::warn!("has stood still for {} ms", (now - self.last_tick) / 1_000);
        }
        self.last_tick = now;
        if has_stalled {
            // What was sent meanwhile has not been read yet.
            self.stores.values_mut().for_each(|store| store.last_message = now);
        }
        self.update_own_store(now);
        self.update_majority(now, has_stalled);
        self.update_duties(now, out);
        self.report_currency(now, out);
        self.detect_missing_proxies(now);
        self.expire_deregistrations(now, out);
        self.remove_lost_servers(now, out);
        self.detect_lost_servers(now, out);
        self.forget_missing_proxies(now);
        self.expire_calls(now, out);
        self.update_rollouts(now, out);
        if now >= self.next_status {
            self.next_status = now + STATUS_INTERVAL;
            self.send_periodic(now, out);
        }
    }

    /// Notes when the machine's own store was last heard and current.
    fn update_own_store(&mut self, now: Micros) {
        let Some(connection) = self.own_store() else { return };
        if let Some(store) = self.stores.get(&connection) {
            self.own_store_heard_at = store.last_message;
        }
        if self.lease.is_confirmed_by(connection, now) {
            self.own_store_current_at = now;
        }
    }

    fn update_majority(&mut self, now: Micros, has_stalled: bool) {
        let registries = self.registry_connections();
        let is_reached = |ip: &&String| **ip == self.config.hello.ip || registries.contains_key(*ip);
        let reached = self.voters.iter().filter(is_reached).count();
        let has_majority = reached * 2 > self.voters.len();
        if !has_majority || has_stalled {
            if self.majority.is_reached() && !has_majority {
                log::warn!("reaches {reached} of {} core machines", self.voters.len());
            }
            if self.majority.is_reached() {
                self.majority = Majority::Lost(now);
            }
        }
        if let (true, Majority::Lost(since)) = (has_majority, self.majority) {
            self.majority = Majority::Reached(now);
            self.postpone_losses(now, now - since);
            // The proxies wait for this.
            self.next_status = now;
        }
    }

    /// Whether it reaches a majority of the core, as far as it can know. A process that has stalled does not know; one that has
    /// just started may have no links yet.
    fn is_in_contact(&self, now: Micros) -> bool {
        let has_just_started = now < self.started_at + currency::START_GRACE;
        now <= self.last_tick + STALL && (self.majority.is_reached() || has_just_started)
    }

    /// Gives its duties up, at a planned shutdown.
    pub fn shut_down(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.duties.release_all(&mut actions);
        self.carry_out_duty_actions(now, actions, out);
        out.push(Output::Broadcast(self.peers.keys().copied().collect(), PeerMessage::Goodbye));
    }
}
