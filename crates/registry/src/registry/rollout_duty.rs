//! Rollouts: orders of operators, and the decisions about those whose duty is here.
//!
//! Every registry follows the reports of the proxies, so that another one can take a rollout over. Only the one that has the duty
//! for the service permits requests to the new version and proposes the next stage, on which the stores decide.

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

/// How often it is checked whether it is decided which versions have a service's requests.
const BASELINE_INTERVAL: Micros = 1_000_000;
/// A registry that has just started may not have heard of all servers yet.
const BASELINE_DELAY: Micros = 3_000_000;
/// A baseline of which no server is left for so long is replaced by the versions that there are.
const BASELINE_TIMEOUT: Micros = 5_000_000;

/// A server of the new version, while a rollout is under way.
#[derive(Debug, Clone, Copy)]
struct TargetServer {
    /// When its slow start ends.
    warm_at: Micros,
}

/// A rollout that is under way, as this registry follows it.
#[derive(Debug)]
struct FollowedRollout {
    decider: Decider,
    revision: u64,
    surroundings: FleetState,
    target_servers: BTreeMap<String, TargetServer>,
}

/// The rollouts that are under way, by service.
#[derive(Debug, Default)]
pub(super) struct RolloutDuty {
    followed: BTreeMap<String, FollowedRollout>,
    next_update: Micros,
    next_baselines: Micros,
    /// Peers that understand items of rollouts.
    understanding: BTreeSet<ConnectionId>,
    /// Services that have had an order before it was decided which versions have their requests.
    ordered: BTreeSet<String>,
    /// Services of whose versions no server is left, and since when.
    without_servers: BTreeMap<String, Micros>,
}

impl RolloutDuty {
    /// A peer understands items of rollouts.
    pub(super) fn peer_understands(&mut self, connection: ConnectionId) {
        self.understanding.insert(connection);
    }

    /// A connection has gone.
    pub(super) fn disconnected(&mut self, connection: ConnectionId) {
        self.understanding.remove(&connection);
    }

    /// A proxy's process has ended: what it confirmed does not hold for the next one.
    pub(super) fn proxy_ended(&mut self, node: &str) {
        self.followed.values_mut().for_each(|followed| followed.decider.proxy_ended(node));
    }

    /// The rollouts that are under way, as metrics.
    pub(super) fn metrics(&self) -> [Metric; 3] {
        let evidence = self.followed.values().map(|followed| followed.decider.evidence());
        let attempts: u64 = evidence.clone().map(|evidence| evidence.target_attempts()).sum();
        let failures: u64 = evidence.map(|evidence| evidence.target_failures()).sum();
        [
            Metric::new("registry_rollouts_under_way", self.followed.len() as f64),
            Metric::new("registry_rollout_attempts", attempts as f64),
            Metric::new("registry_rollout_failures", failures as f64),
        ]
    }
}

impl Registry {
    /// An operator orders a rollout. A store decides about it.
    pub(super) fn start_rollout(
        &mut self,
        now: Micros,
        call: u64,
        order: RolloutOrder,
        out: &mut Vec<Output>,
    ) {
        let is_service = self.table.services.contains_key(&order.service);
        if is_service && !self.table.rollouts.contains_key(&order.service) {
            self.rollout_duty.ordered.insert(order.service.clone());
            self.set_baselines(now, out);
            let reply = CallReply::error(503, "it is not decided which versions have the service's requests");
            return out.push(Output::Answer(call, reply));
        }
        let ordered_at_ms = self.time_of_day_ms(now);
        let change = RolloutChange::Start { order, ordered_at_ms };
        self.forward(now, Caller::Outside(call), ForwardedCall::ChangeRollout(change), out);
    }

    fn time_of_day_ms(&self, now: Micros) -> u64 {
        self.config.time_of_day * 1_000 + now / 1_000
    }

    /// The servers that are there, with their services and versions.
    fn servers(&self) -> impl Iterator<Item = (&str, Server)> {
        let servers = self.runtime_items().live(Kind::Server);
        let decoded = servers.filter_map(|(id, value)| Some((id, Server::decode(value)?)));
        decoded.filter(|(_, server)| matches!(server.state, ServerState::Ready | ServerState::Draining))
    }

    fn has_rollout_duty(&self, now: Micros, service: &str) -> bool {
        self.duties.holds(now, slice_of(service))
    }

    /// Time has passed.
    pub(super) fn update_rollouts(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now >= self.rollout_duty.next_update {
            self.rollout_duty.next_update = now + REPORT_INTERVAL;
            self.follow_rollouts(now);
        }
        for (service, revision, stage) in self.next_stages(now) {
            self.propose_stage(now, service, revision, stage, out);
        }
        if now >= self.rollout_duty.next_baselines {
            self.rollout_duty.next_baselines = now + BASELINE_INTERVAL;
            self.set_baselines(now, out);
        }
    }

    /// Follows the rollouts that are under way, and what is around them.
    fn follow_rollouts(&mut self, now: Micros) {
        let under_way = self.table.rollouts.iter().filter(|(_, item)| item.rollout.stage.is_under_way());
        let under_way: Vec<(String, RolloutInForce)> =
            under_way.map(|(service, item)| (service.clone(), (**item).clone())).collect();
        let is_under_way = |service: &String| under_way.iter().any(|(other, _)| other == service);
        self.rollout_duty.followed.retain(|service, _| is_under_way(service));
        for (service, item) in under_way {
            self.follow(now, &service, &item.rollout);
            let surroundings = self.surroundings(now, &service, &item.rollout);
            let Some(followed) = self.rollout_duty.followed.get_mut(&service) else { continue };
            followed.surroundings = surroundings;
            if std::mem::replace(&mut followed.revision, item.revision) != item.revision {
                followed.decider.stage_changed();
                let RolloutInForce { rollout: Rollout { target, stage, .. }, .. } = &item;
                log::info!("rollout of {service} to {target}: {stage:?}");
            }
        }
    }

    fn follow(&mut self, now: Micros, service: &str, rollout: &Rollout) -> &mut FollowedRollout {
        let time_of_day_ms = self.time_of_day_ms(now);
        let bounds = self.config.rollouts.bounds;
        let new = || FollowedRollout {
            decider: Decider::new(now, time_of_day_ms, bounds, rollout),
            revision: 0,
            surroundings: FleetState::default(),
            target_servers: BTreeMap::new(),
        };
        let followed = self.rollout_duty.followed.entry(service.into()).or_insert_with(new);
        if followed.decider.order() != rollout.order {
            *followed = new();
        }
        followed
    }

    fn surroundings(&mut self, now: Micros, service: &str, rollout: &Rollout) -> FleetState {
        let ready = self.servers().filter(|(_, server)| server.service == service);
        let ready: Vec<(String, Server)> = ready
            .filter(|(_, server)| server.state == ServerState::Ready)
            .map(|(id, server)| (id.to_string(), server))
            .collect();
        let linked = self.peers.values().filter(|hello| hello.role == Role::Proxy);
        let linked_proxies = linked.map(|hello| (hello.node.clone(), hello.process_id)).collect();
        let mut surroundings = FleetState {
            linked_proxies,
            missing_proxies: self.proxies.missing.clone(),
            total_proxies: self.total_proxies(),
            ..FleetState::default()
        };
        let Some(followed) = self.rollout_duty.followed.get_mut(service) else { return surroundings };
        followed.target_servers.retain(|id, _| ready.iter().any(|(other, _)| other == id));
        for (id, server) in ready {
            if server.revision != rollout.target {
                surroundings.stable_servers += usize::from(rollout.stable.contains(&server.revision));
                continue;
            }
            let warm_at = now + u64::from(server.warmup_ms) * 1_000;
            let target = followed.target_servers.entry(id).or_insert(TargetServer { warm_at });
            surroundings.target_servers += 1;
            surroundings.warm_target_servers += usize::from(now >= target.warm_at);
        }
        surroundings
    }

    /// The stages that rollouts should go on to whose duty is here.
    fn next_stages(&mut self, now: Micros) -> Vec<(String, u64, Stage)> {
        let mut next = Vec::new();
        for (service, followed) in &mut self.rollout_duty.followed {
            let Some(item) = self.table.rollouts.get(service) else { continue };
            let stage = followed.decider.tick(now, item, &followed.surroundings);
            let has_duty = self.duties.holds(now, slice_of(service));
            if let Some(stage) = stage.filter(|_| has_duty && item.rollout.order == followed.decider.order())
            {
                next.push((service.clone(), item.revision, stage));
            }
        }
        next
    }

    fn propose_stage(
        &mut self,
        now: Micros,
        service: String,
        revision: u64,
        stage: Stage,
        out: &mut Vec<Output>,
    ) {
        if let Some(followed) = self.rollout_duty.followed.get(&service) {
            let (verdict, evidence) = (followed.decider.verdict(), followed.decider.evidence());
            let (attempts, failures) = (evidence.target_attempts(), evidence.target_failures());
            log::info!(
                "proposes {stage:?} for {service}: {verdict:?}, {failures} of {attempts} attempts failed"
            );
        }
        let change = RolloutChange::Advance { service, revision, stage };
        self.forward(now, Caller::Registry, ForwardedCall::ChangeRollout(change), out);
    }

    /// Has the versions decided that have the requests of services for which nothing is decided yet, so that a version which comes
    /// later gets nothing without an order.
    fn set_baselines(&mut self, now: Micros, out: &mut Vec<Output>) {
        let is_wanted = self.config.rollouts.are_guaranteed || !self.rollout_duty.ordered.is_empty();
        let has_heard_all = self.is_complete && now >= self.started_at + BASELINE_DELAY;
        if !is_wanted || !has_heard_all || !self.is_in_contact(now) || !self.all_understand_rollouts() {
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

    /// Whether all peers understand items of rollouts: while machines are updated one by one, some may not.
    fn all_understand_rollouts(&self) -> bool {
        let mut peers = self.peers.iter().filter(|(_, hello)| hello.role != Role::Observer);
        peers.all(|(connection, _)| self.rollout_duty.understanding.contains(connection))
    }

    /// The services with servers whose duty is here, and of whose decided versions no server has been left for a while.
    fn services_without_baseline(
        &mut self,
        now: Micros,
        versions: &BTreeMap<String, BTreeSet<String>>,
    ) -> Vec<String> {
        let is_wanted = |service: &String| {
            let has_order = self.rollout_duty.ordered.contains(service);
            has_order || self.config.rollouts.are_guaranteed && self.has_rollout_duty(now, service)
        };
        let is_due = |service: &&String| self.table.services.contains_key(*service) && is_wanted(service);
        let mut due = Vec::new();
        let mut without_servers = BTreeMap::new();
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
            let since = self.rollout_duty.without_servers.get(service).copied().unwrap_or(now);
            without_servers.insert(service.clone(), since);
            if now >= since + BASELINE_TIMEOUT {
                due.push(service.clone());
            }
        }
        self.rollout_duty.without_servers = without_servers;
        due
    }

    /// A proxy has reported what it has seen. If the duty is here, it is permitted to send a part of its requests to new versions.
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

    fn on_rollout_report(
        &mut self,
        now: Micros,
        peer: &Hello,
        report: &RolloutReport,
    ) -> Option<RolloutPermit> {
        let item = self.table.rollouts.get(&report.service)?.clone();
        let has_duty = self.has_rollout_duty(now, &report.service);
        let is_current = self.is_current(now);
        let followed = self.rollout_duty.followed.get_mut(&report.service)?;
        if followed.decider.order() != report.order || item.rollout.order != report.order {
            return None;
        }
        followed.decider.report(now, &peer.node, peer.process_id, report);
        if !has_duty || !is_current {
            return None;
        }
        followed.decider.permit(now, &item.rollout, &followed.surroundings, report)
    }
}
