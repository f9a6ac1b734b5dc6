//! The registry's state machine. It does no I/O: callers pass in link events, calls and the current time, and carry out the
//! [`Output`]s that it appends.

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
mod endpoints;
mod freshness;
mod messages;
mod processes;
mod proxy_set;
mod quota_duty;
mod replication;
mod rollout_duty;
mod status;

use call_forwarding::ForwardedCalls;
use endpoints::Endpoints;
use freshness::FreshnessLease;
use processes::{PeerRegistry, Proxies, StoreLink};
use quota_duty::QuotaDuty;
use replication::PartialUpdate;
use rollout_duty::RolloutDuty;
use status::Counters;

/// The interval at which a registry sends its status, in microseconds.
const STATUS_INTERVAL: Micros = 600_000;
/// A registry connects to the stores of other machines once its own machine's store has been silent, or not confirmed as
/// current, for this long.
const OWN_STORE_TIMEOUT: Micros = 1_000_000;
/// The process counts as stalled after a gap of this length between two ticks. Missing messages during a stall do not mean
/// that a peer is silent.
const STALL_THRESHOLD: Micros = 700_000;
/// After a gap of this length between two ticks a call may have been queued here for so long that its caller has already retried
/// at another registry.
const CALL_STALL_THRESHOLD: Micros = 250_000;
/// For how long after such a gap changes are still rejected.
const CALL_REJECT_PERIOD: Micros = 150_000;

/// An action that the caller of the state machine carries out.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Send a message on a connection.
    Send(ConnectionId, PeerMessage),
    /// Send the same message on many connections.
    Broadcast(Vec<ConnectionId>, PeerMessage),
    /// Answer the control call with this number.
    Answer(u64, CallReply),
    /// Close a connection whose peer violated the protocol.
    Close(ConnectionId),
}

/// The configuration of a registry, fixed at its start.
#[derive(Debug, Clone)]
pub struct RegistryConfig {
    /// The hello message that it sends on each connection.
    pub hello: Hello,
    /// Whether this is the first start of the whole system.
    pub first_start: bool,
    /// The Unix time when the process starts, in seconds.
    pub time_of_day: u64,
    /// The interval between the heartbeats of a server.
    pub heartbeat_interval: Micros,
    /// The operator's bounds on quotas.
    pub quota_bounds: QuotaBounds,
    /// The operator's settings for rollouts.
    pub rollouts: RolloutSettings,
    /// The addresses of the core machines in the settings.
    pub seeds: Vec<String>,
}

/// The operator's settings for rollouts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RolloutSettings {
    /// Whether the baseline of a service is set as soon as it has servers, so that a version without a rollout never gets
    /// requests. Otherwise it is set at the first order for the service.
    pub baseline_without_order: bool,
    /// The bounds on exposure and rollback.
    pub bounds: RolloutBounds,
}

/// Whether a majority of the core is reached, and since when.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Majority {
    /// Reached since this time.
    Reached(Micros),
    /// Not reached since this time.
    Lost(Micros),
}

impl Majority {
    fn is_reached(self) -> bool {
        matches!(self, Majority::Reached(_))
    }
}

/// The state of a registry.
pub struct Registry {
    config: RegistryConfig,
    /// The committed configuration items, and the runtime items.
    realms: [ItemSet; 2],
    /// The routing table built from the configuration items.
    table: RoutingTable,
    /// Whether the configuration here has been equal to that of a store with a complete replica.
    is_complete: bool,
    /// Whether the configuration may contain only a part of an operator's update.
    partial: PartialUpdate,
    /// The lease during which the configuration here counts as current.
    lease: FreshnessLease,
    /// The hello messages of the linked peers.
    peers: BTreeMap<ConnectionId, Hello>,
    /// The linked stores.
    stores: BTreeMap<ConnectionId, StoreLink>,
    /// The status of other registries, by IP address.
    registries: BTreeMap<String, PeerRegistry>,
    /// When the last message of each linked registry was handled, or the first tick after a later stall ran, by IP address.
    registries_heard: BTreeMap<String, Micros>,
    proxies: Proxies,
    /// The last process id of each peer, by role and node.
    process_ids: BTreeMap<(Role, String), u64>,
    /// When the last anti-entropy message arrived on each connection.
    last_sync: BTreeMap<ConnectionId, Micros>,
    /// The voting core machines as reported by a store; until then the seeds.
    voters: Vec<String>,
    /// The voters of the previous epoch.
    previous_voters: Vec<String>,
    majority: Majority,
    endpoints: Endpoints,
    duties: DutyTable,
    quota_duty: QuotaDuty,
    rollout_duty: RolloutDuty,
    calls: ForwardedCalls,
    /// The last number assigned to a forwarded call, a replication or a fencing token.
    last_number: u64,
    started_at: Micros,
    last_tick: Micros,
    /// How long messages may have been waiting at the last tick to be handled; 0 if none were.
    backlog: Micros,
    /// When the first tick after the last gap of [`CALL_STALL_THRESHOLD`] ran.
    resumed_at: Option<Micros>,
    /// When the last message of the machine's own store arrived.
    own_store_last_message: Micros,
    /// When the machine's own store was last confirmed as current.
    own_store_last_current: Micros,
    /// When the next status is due.
    next_status: Micros,
    /// When the digests here were last equal to those of a store or another registry.
    last_equal: Micros,
    counters: Counters,
}

impl Registry {
    /// Creates a registry without links and items.
    pub fn new(now: Micros, config: RegistryConfig) -> Registry {
        let duties = DutyTable::new(now, &config.hello.ip, config.first_start);
        Registry {
            voters: config.seeds.clone(),
            previous_voters: Vec::new(),
            started_at: now,
            lease: FreshnessLease::new(now),
            config,
            realms: Default::default(),
            table: RoutingTable::default(),
            is_complete: false,
            partial: PartialUpdate::default(),
            peers: BTreeMap::new(),
            stores: BTreeMap::new(),
            registries: BTreeMap::new(),
            registries_heard: BTreeMap::new(),
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
            backlog: 0,
            resumed_at: None,
            own_store_last_message: now,
            own_store_last_current: now,
            next_status: now,
            last_equal: now,
            counters: Counters::default(),
        }
    }

    /// The IP addresses of the other registries that this one connects to.
    pub fn other_registries(&self) -> BTreeSet<String> {
        let voters = self.voters.iter().chain(&self.previous_voters).chain(&self.config.seeds);
        let reported = self.registries.values().flat_map(|registry| &registry.registries);
        let all = voters.chain(self.registries.keys()).chain(reported);
        all.filter(|ip| **ip != self.config.hello.ip).cloned().collect()
    }

    /// The processes that this one keeps links to, by IP address and role: the other registries, the store of its own machine,
    /// and while that store is silent or not current, the stores of the other machines.
    pub fn wanted_links(&self) -> BTreeSet<(String, Role)> {
        let others = self.other_registries();
        let mut wanted: BTreeSet<_> = others.iter().map(|ip| (ip.clone(), Role::Registry)).collect();
        wanted.insert((self.config.hello.ip.clone(), Role::ConfigStore));
        let last_usable = self.own_store_last_message.min(self.own_store_last_current);
        if self.handled_until(self.last_tick) > last_usable + OWN_STORE_TIMEOUT {
            wanted.extend(others.into_iter().map(|ip| (ip, Role::ConfigStore)));
        }
        wanted
    }

    /// The configuration items, and the runtime items.
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

    /// The digests of the configuration items and the runtime items.
    fn digests(&self) -> [u64; 2] {
        [self.config_items().digest(), self.runtime_items().digest()]
    }

    /// The Unix time, in seconds.
    fn time_of_day(&self, now: Micros) -> u64 {
        self.config.time_of_day + now / 1_000_000
    }

    /// A number that is unique within this process.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    /// The slices whose duty this registry holds now, one bit each.
    pub fn held_slices(&self, now: Micros) -> u32 {
        let held = (0..SLICE_COUNT).filter(|&slice| self.duties.holds(now, slice));
        held.fold(0, |bits, slice| bits | 1 << slice)
    }

    /// Up to when all messages have been handled that have arrived. The silence of peers is judged up to this time.
    fn handled_until(&self, now: Micros) -> Micros {
        now.saturating_sub(self.backlog)
    }

    /// Runs all work that is due by now. All messages have been handled that have arrived.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.tick_with_backlog(now, 0, out);
    }

    /// Runs all work that is due by now, while messages that arrived within the last `backlog` may not have been handled yet.
    pub fn tick_with_backlog(&mut self, now: Micros, backlog: Micros, out: &mut Vec<Output>) {
        self.backlog = backlog;
        let has_stalled = now > self.last_tick + STALL_THRESHOLD;
        if now > self.last_tick + CALL_STALL_THRESHOLD {
            self.resumed_at = Some(now);
            self.counters.stalls += 1;
            self.counters.stalled_time += now - self.last_tick;
            log::warn!("stalled for {} ms", (now - self.last_tick) / 1_000);
        }
        self.last_tick = now;
        if has_stalled {
            // Messages that arrived during the stall have not been read yet.
            self.stores.values_mut().for_each(|store| store.last_message = now);
            self.registries_heard.values_mut().for_each(|heard| *heard = now);
        }
        self.update_own_store(now);
        self.update_majority(now, has_stalled);
        self.update_duties(now, out);
        self.report_freshness(now, out);
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

    /// Records when the machine's own store last sent a message and was last current.
    fn update_own_store(&mut self, now: Micros) {
        let Some(connection) = self.own_store() else { return };
        if let Some(store) = self.stores.get(&connection) {
            self.own_store_last_message = store.last_message;
        }
        if self.lease.is_confirmed_by(connection, now) {
            self.own_store_last_current = now;
        }
    }

    /// Updates whether a majority of the core is reached. After a stall the majority counts as newly reached, so that losses are
    /// postponed.
    fn update_majority(&mut self, now: Micros, has_stalled: bool) {
        let registries = self.registry_connections();
        let is_reached = |ip: &&String| **ip == self.config.hello.ip || registries.contains_key(*ip);
        let reached = self.voters.iter().filter(is_reached).count();
        let has_majority = reached * 2 > self.voters.len();
        if !has_majority || has_stalled {
            if self.majority.is_reached() && !has_majority {
                log::warn!("majority lost: {reached} of {} core machines are reached", self.voters.len());
            }
            if self.majority.is_reached() {
                self.majority = Majority::Lost(now);
            }
        }
        if let (true, Majority::Lost(since)) = (has_majority, self.majority) {
            self.majority = Majority::Reached(now);
            self.postpone_losses(now, now - since);
            // Sends the status now, not at the next interval: the proxies wait for it.
            self.next_status = now;
        }
    }

    /// Whether a majority of the core is presumed to be reached. Not after a stall, or while messages have been waiting for as long,
    /// as links may have broken meanwhile; but for
    /// [`freshness::START_GRACE`] after the start, when links may not be up yet.
    fn presumes_majority(&self, now: Micros) -> bool {
        let has_just_started = now < self.started_at + freshness::START_GRACE;
        now + self.backlog <= self.last_tick + STALL_THRESHOLD
            && (self.majority.is_reached() || has_just_started)
    }

    /// Releases the duties and notifies the peers, at a planned shutdown.
    pub fn shut_down(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut actions = Vec::new();
        self.duties.release_all(&mut actions);
        self.apply_duty_actions(now, actions, out);
        out.push(Output::Broadcast(self.peers.keys().copied().collect(), PeerMessage::Goodbye));
    }
}
