//! Rollouts: accepts the orders of operators, and runs the rollouts whose duty this registry holds.
//!
//! Every registry evaluates the reports of the proxies, so that it can take a rollout over. Only the one that holds the duty for
//! the service permits requests to the new version and proposes the next stage; the stores decide on the proposal.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_admission::duty::slice_of;
use pinerelay_admission::Micros;
use pinerelay_config_state::rollout::{Rollout, RolloutChange, RolloutOrder, Stage};
use pinerelay_config_state::routing_table::RolloutInForce;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::Kind;
use pinerelay_peer_link::link::ConnectionId;
use pinerelay_peer_link::message::{CallReply, ForwardedCall, Hello, Metric, PeerMessage, Role};
use pinerelay_rollout::decider::{Decider, FleetState, REPORT_INTERVAL};
use pinerelay_rollout::report::{RolloutPermit, RolloutReport};

use super::call_forwarding::Caller;
use super::{Output, Registry};

/// The interval of checks for services without a usable baseline: the versions that get a service's requests without a rollout.
const BASELINE_INTERVAL: Micros = 1_000_000;
/// No baseline is proposed for this long after the start, as some servers may not be known yet.
const BASELINE_DELAY: Micros = 3_000_000;
/// A baseline is replaced by the present versions once none of its versions has had a server for this long.
const BASELINE_TIMEOUT: Micros = 5_000_000;

/// A server of the target version during a rollout.
#[derive(Debug, Clone, Copy)]
struct TargetServer {
    /// When its warm-up (slow start) ends, counted from when this registry first saw it.
    warm_at: Micros,
}

/// The state of a rollout in progress at this registry.
#[derive(Debug)]
struct TrackedRollout {
    decider: Decider,
    /// The revision of the rollout's item.
    revision: u64,
    fleet_state: FleetState,
    /// The ready servers of the target version, by id.
    target_servers: BTreeMap<String, TargetServer>,
}

/// The state of rollouts and baselines.
#[derive(Debug, Default)]
pub(super) struct RolloutDuty {
    /// Rollouts in progress, by service.
    tracked: BTreeMap<String, TrackedRollout>,
    /// When the tracked rollouts are updated next.
    next_update: Micros,
    /// When services are next checked for a usable baseline.
    next_baselines: Micros,
    /// The connections of peers that support rollout items.
    rollout_capable_peers: BTreeSet<ConnectionId>,
    /// Services that got an order before they had a baseline.
    ordered_services: BTreeSet<String>,
    /// Services whose baseline versions have no servers, and since when.
    baselines_without_servers: BTreeMap<String, Micros>,
}

impl RolloutDuty {
    /// A peer has announced that it supports rollout items.
    pub(super) fn peer_supports_rollouts(&mut self, connection: ConnectionId) {
        self.rollout_capable_peers.insert(connection);
    }

    /// A connection has closed.
    pub(super) fn disconnected(&mut self, connection: ConnectionId) {
        self.rollout_capable_peers.remove(&connection);
    }

    /// A proxy's process has ended: its confirmations are not valid for the next process.
    pub(super) fn proxy_ended(&mut self, node: &str) {
        self.tracked.values_mut().for_each(|tracked| tracked.decider.proxy_ended(node));
    }

    /// The metrics of the rollouts in progress.
    pub(super) fn metrics(&self) -> [Metric; 3] {
        let evidence = self.tracked.values().map(|tracked| tracked.decider.evidence());
        let attempts: u64 = evidence.clone().map(|evidence| evidence.target_attempts()).sum();
        let failures: u64 = evidence.map(|evidence| evidence.target_failures()).sum();
        [
            Metric::new("registry_rollouts_under_way", self.tracked.len() as f64),
            Metric::new("registry_rollout_attempts", attempts as f64),
            Metric::new("registry_rollout_failures", failures as f64),
        ]
    }
}

impl Registry {
    /// Forwards an operator's order of a rollout to a store. If the service has no baseline, rejects the order and
    /// proposes a baseline if the conditions for that are met.
    pub(super) fn start_rollout(
        &mut self,
        now: Micros,
        call: u64,
        order: RolloutOrder,
        out: &mut Vec<Output>,
    ) {
        let is_service = self.table.services.contains_key(&order.service);
        if is_service && !self.table.rollouts.contains_key(&order.service) {
            self.rollout_duty.ordered_services.insert(order.service.clone());
            self.set_baselines(now, out);
            let reply = CallReply::error(503, "it is not decided which versions have the service's requests");
            return out.push(Output::Answer(call, reply));
        }
        let ordered_at_ms = self.time_of_day_ms(now);
        let change = RolloutChange::Start { order, ordered_at_ms };
        self.forward(now, Caller::External(call), ForwardedCall::ChangeRollout(change), out);
    }

    /// The Unix time, in milliseconds.
    fn time_of_day_ms(&self, now: Micros) -> u64 {
        self.config.time_of_day * 1_000 + now / 1_000
    }

    /// The ready and draining servers, by id.
    fn servers(&self) -> impl Iterator<Item = (&str, Server)> {
        let servers = self.runtime_items().live(Kind::Server);
        let decoded = servers.filter_map(|(id, value)| Some((id, Server::decode(value)?)));
        decoded.filter(|(_, server)| matches!(server.state, ServerState::Ready | ServerState::Draining))
    }

    /// Whether this registry holds the duty for a service's rollouts.
    fn has_rollout_duty(&self, now: Micros, service: &str) -> bool {
        self.duties.holds(now, slice_of(service))
    }

    /// Runs the rollout work that is due by now.
    pub(super) fn update_rollouts(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.rollout_duty.next_update {
            self.rollout_duty.next_update = now + REPORT_INTERVAL;
            self.track_rollouts(now);
        }
        for (service, revision, stage) in self.next_stages(now) {
            self.propose_stage(now, service, revision, stage, out);
        }
        if now >= self.rollout_duty.next_baselines {
            self.rollout_duty.next_baselines = now + BASELINE_INTERVAL;
            self.set_baselines(now, out);
        }
    }

    /// Updates the state of the rollouts in progress, and drops that of ended ones.
    fn track_rollouts(&mut self, now: Micros) {
        let under_way = self.table.rollouts.iter().filter(|(_, item)| item.rollout.stage.is_under_way());
        let under_way: Vec<(String, RolloutInForce)> =
            under_way.map(|(service, item)| (service.clone(), (**item).clone())).collect();
        let is_under_way = |service: &String| under_way.iter().any(|(other, _)| other == service);
        self.rollout_duty.tracked.retain(|service, _| is_under_way(service));
        for (service, item) in under_way {
            self.track(now, &service, &item.rollout);
            let fleet_state = self.fleet_state(now, &service, &item.rollout);
            let Some(tracked) = self.rollout_duty.tracked.get_mut(&service) else { continue };
            tracked.fleet_state = fleet_state;
            if std::mem::replace(&mut tracked.revision, item.revision) != item.revision {
                tracked.decider.stage_changed();
                let RolloutInForce { rollout: Rollout { target, stage, .. }, .. } = &item;
                log::info!("rollout of {service} to {target}: {stage:?}");
            }
        }
    }

    /// The state of a rollout; starts anew if the order is not the one tracked so far.
    fn track(&mut self, now: Micros, service: &str, rollout: &Rollout) -> &mut TrackedRollout {
        let time_of_day_ms = self.time_of_day_ms(now);
        let bounds = self.config.rollouts.bounds;
        let new = || TrackedRollout {
            decider: Decider::new(now, time_of_day_ms, bounds, rollout),
            revision: 0,
            fleet_state: FleetState::default(),
            target_servers: BTreeMap::new(),
        };
        let tracked = self.rollout_duty.tracked.entry(service.into()).or_insert_with(new);
        if tracked.decider.order() != rollout.order {
            *tracked = new();
        }
        tracked
    }

    /// The servers and proxies that a rollout's decisions depend on.
    fn fleet_state(&mut self, now: Micros, service: &str, rollout: &Rollout) -> FleetState {
        let ready = self.servers().filter(|(_, server)| server.service == service);
        let ready: Vec<(String, Server)> = ready
            .filter(|(_, server)| server.state == ServerState::Ready)
            .map(|(id, server)| (id.to_string(), server))
            .collect();
        let linked = self.peers.values().filter(|hello| hello.role == Role::Proxy);
        let linked_proxies = linked.map(|hello| (hello.node.clone(), hello.process_id)).collect();
        let mut fleet_state = FleetState {
            linked_proxies,
            missing_proxies: self.proxies.set.missing().clone(),
            total_proxies: self.total_proxies(),
            ..FleetState::default()
        };
        let Some(tracked) = self.rollout_duty.tracked.get_mut(service) else { return fleet_state };
        tracked.target_servers.retain(|id, _| ready.iter().any(|(other, _)| other == id));
        for (id, server) in ready {
            if server.revision != rollout.target {
                fleet_state.stable_servers += usize::from(rollout.stable.contains(&server.revision));
                continue;
            }
            let warm_at = now + u64::from(server.warmup_ms) * 1_000;
            let target = tracked.target_servers.entry(id).or_insert(TargetServer { warm_at });
            fleet_state.target_servers += 1;
            fleet_state.warm_target_servers += usize::from(now >= target.warm_at);
        }
        fleet_state
    }

    /// The rollouts due for another stage whose duty this registry holds: service, revision and new stage.
    fn next_stages(&mut self, now: Micros) -> Vec<(String, u64, Stage)> {
        let mut next = Vec::new();
        for (service, tracked) in &mut self.rollout_duty.tracked {
            let Some(item) = self.table.rollouts.get(service) else { continue };
            let stage = tracked.decider.tick(now, item, &tracked.fleet_state);
            let has_duty = self.duties.holds(now, slice_of(service));
            if let Some(stage) = stage.filter(|_| has_duty && item.rollout.order == tracked.decider.order()) {
                next.push((service.clone(), item.revision, stage));
            }
        }
        next
    }

    /// Proposes a stage to the stores.
    fn propose_stage(
        &mut self,
        now: Micros,
        service: String,
        revision: u64,
        stage: Stage,
        out: &mut Vec<Output>,
    ) {
        if let Some(tracked) = self.rollout_duty.tracked.get(&service) {
            let (verdict, evidence) = (tracked.decider.verdict(), tracked.decider.evidence());
            let (attempts, failures) = (evidence.target_attempts(), evidence.target_failures());
            log::info!(
                "proposes {stage:?} for {service}: {verdict:?}, {failures} of {attempts} attempts failed"
            );
        }
        let change = RolloutChange::Advance { service, revision, stage };
        self.forward(now, Caller::Registry, ForwardedCall::ChangeRollout(change), out);
    }

    /// Proposes baselines for services that need one, so that a version that appears later gets no requests without a rollout.
    fn set_baselines(&mut self, now: Micros, out: &mut Vec<Output>) {
        let is_needed =
            self.config.rollouts.baseline_without_order || !self.rollout_duty.ordered_services.is_empty();
        let servers_are_known = self.is_complete && now >= self.started_at + BASELINE_DELAY;
        if !is_needed
            || !servers_are_known
            || !self.presumes_majority(now)
            || !self.all_peers_support_rollouts()
        {
            return;
        }
        let mut versions: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for (_, server) in self.servers() {
            versions.entry(server.service).or_default().insert(server.revision);
        }
        for service in self.services_without_baseline(now, &versions) {
            let versions = versions.remove(&service).unwrap_or_default().into_iter().collect();
            let change = RolloutChange::SetBaseline { service, versions };
            self.forward(now, Caller::Registry, ForwardedCall::ChangeRollout(change), out);
        }
    }

    /// Whether all peers support rollout items: while machines are upgraded one by one, some may not.
    fn all_peers_support_rollouts(&self) -> bool {
        let mut peers = self.peers.iter().filter(|(_, hello)| hello.role != Role::Observer);
        peers.all(|(connection, _)| self.rollout_duty.rollout_capable_peers.contains(connection))
    }

    /// The services with servers that have no baseline, or one whose versions have had no servers for [`BASELINE_TIMEOUT`].
    /// Limited to services that got an order and, with `baseline_without_order`, those whose duty this registry holds.
    fn services_without_baseline(
        &mut self,
        now: Micros,
        versions: &BTreeMap<String, BTreeSet<String>>,
    ) -> Vec<String> {
        let is_needed = |service: &String| {
            let has_order = self.rollout_duty.ordered_services.contains(service);
            has_order || self.config.rollouts.baseline_without_order && self.has_rollout_duty(now, service)
        };
        let is_due = |service: &&String| self.table.services.contains_key(*service) && is_needed(service);
        let mut due = Vec::new();
        let mut baselines_without_servers = BTreeMap::new();
        for service in versions.keys().filter(is_due) {
            let Some(item) = self.table.rollouts.get(service) else {
                due.push(service.clone());
                continue;
            };
            let is_replaceable = item.rollout.stage == Stage::Baseline;
            if !is_replaceable
                || item.rollout.stable.iter().any(|version| versions[service].contains(version))
            {
                continue;
            }
            let since = self.rollout_duty.baselines_without_servers.get(service).copied().unwrap_or(now);
            baselines_without_servers.insert(service.clone(), since);
            if now >= since + BASELINE_TIMEOUT {
                due.push(service.clone());
            }
        }
        self.rollout_duty.baselines_without_servers = baselines_without_servers;
        due
    }

    /// Handles the rollout reports of a proxy. Answers with the permits that the deciders give, for rollouts whose duty this
    /// registry holds while it is current. A permit lets the proxy send a share of its requests to the target version.
    pub(super) fn on_rollout_reports(
        &mut self,
        now: Micros,
        connection: ConnectionId,
        peer: &Hello,
        reports: &[RolloutReport],
        out: &mut Vec<Output>,
    ) {
        let permits: Vec<RolloutPermit> =
            reports.iter().filter_map(|report| self.on_rollout_report(now, peer, report)).collect();
        if !permits.is_empty() {
            out.push(Output::Send(connection, PeerMessage::RolloutPermits(permits)));
        }
    }

    /// Records a report if it is for the current order. Returns the permit that the decider gives, if this registry holds the
    /// duty and is current.
    fn on_rollout_report(
        &mut self,
        now: Micros,
        peer: &Hello,
        report: &RolloutReport,
    ) -> Option<RolloutPermit> {
        let item = self.table.rollouts.get(&report.service)?.clone();
        let has_duty = self.has_rollout_duty(now, &report.service);
        let is_current = self.is_current(now);
        let tracked = self.rollout_duty.tracked.get_mut(&report.service)?;
        if tracked.decider.order() != report.order || item.rollout.order != report.order {
            return None;
        }
        tracked.decider.report(now, &peer.node, peer.process_id, report);
        if !has_duty || !is_current {
            return None;
        }
        tracked.decider.permit(now, &item.rollout, &tracked.fleet_state, report)
    }
}
