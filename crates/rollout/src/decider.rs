//! Decides when a rollout advances to its next stage and when it is reverted: a state machine without I/O or a clock, at the
//! registry that has the duty for the service.
//!
//! It decides on the rollout item that the stores have committed, and proposes the item's next stage. A registry that does not know
//! yet that it has lost the duty proposes for an outdated revision, which the stores reject.

use std::collections::BTreeMap;

use pinerelay_config_state::rollout::{Rollout, Stage};
use pinerelay_config_state::routing_table::RolloutInForce;

use crate::evidence::{Comparison, Evidence, Verdict};
use crate::report::{RolloutPermit, RolloutReport};
use crate::Micros;

/// The maximum duration of a permit. A proxy without a newer permit by then sends nothing to the new version.
const MAX_PERMIT_DURATION: Micros = 1_000_000;
/// The duration of a permit as a fraction of the operator's time limit for a rollback. The rest of that time is needed to find that
/// the version is bad.
const PERMIT_FRACTION: f64 = 0.25;
/// The interval between a proxy's reports.
pub const REPORT_INTERVAL: Micros = 300_000;
/// The fraction of the operator's exposure bounds that the canary stage uses; the ramp uses no more than the rest.
const CANARY_EXPOSURE_FRACTION: f64 = 0.6;
/// The fraction of the requests in each step of the ramp, in thousandths.
const RAMP_SHARES: [u16; 2] = [250, 500];
/// The minimum duration of the canary stage, counted from the first request to the new version, as a fraction of the time to the
/// deadline.
const CANARY_FRACTION: f64 = 0.3;
/// The duration of a step of the ramp, as a fraction of the time to the deadline multiplied by the exposure bound.
const RAMP_STEP_FRACTION: f64 = 0.6;
/// The minimum duration of a step of the ramp.
const MIN_RAMP_STEP: Micros = 800_000;
/// After this fraction of the time to the deadline, a version that has not been shown to be healthy is reverted.
const DECISION_FRACTION: f64 = 0.92;
/// A version is given up when it has been suspect for this long with at least [`MIN_SUSPECT_ATTEMPTS`] bad attempts. The operator's
/// time limit for a rollback starts at twice as many bad attempts, and even then a difference may still be explained by chance.
const SUSPICION_PERIOD: Micros = 1_000_000;
/// The minimum number of excess bad attempts of a suspect version; see [`SUSPICION_PERIOD`].
const MIN_SUSPECT_ATTEMPTS: f64 = 25.0;
/// A proposal without an effect is repeated after this time.
const PROPOSAL_INTERVAL: Micros = 400_000;
/// A proxy that has been missing for this long is not waited for: by then it has dropped all servers, or its process has ended.
const MISSING_PROXY_TIMEOUT: Micros = 6_000_000;
/// No permits are given until this fraction of the expected servers of the new version is past slow start.
const WARM_FRACTION: f64 = 0.8;
/// The minimum number of servers of the new version for the cutover, as a fraction of those of the stable versions.
const CAPACITY_FRACTION: f64 = 0.6;
/// The new version is given up when fewer of its servers are left than this fraction of their largest number.
const MIN_SERVERS_FRACTION: f64 = 0.5;
/// The maximum wait, from the first server of the new version on, for the other ones to be past slow start.
const WARM_UP_TIMEOUT: Micros = 6_000_000;

/// The operator's bounds on the exposure of a bad version and on the time to stop it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutBounds {
    /// The fraction of the requests between order and deadline that a bad version may get.
    pub exposure_share: f64,
    /// The number of requests that a bad version may get in addition.
    pub exposure_margin: f64,
    /// The time limit, counted from its fiftieth bad answer, after which a bad version may get no more requests.
    pub rollback: Micros,
}

impl Default for RolloutBounds {
    fn default() -> RolloutBounds {
        RolloutBounds { exposure_share: 0.1, exposure_margin: 50.0, rollback: 5_000_000 }
    }
}

/// The servers and proxies, as the registry sees them, for the decisions on one service.
#[derive(Debug, Clone, Default)]
pub struct FleetState {
    /// The number of ready servers of the new version.
    pub target_servers: usize,
    /// The number of these servers that are past slow start.
    pub warm_target_servers: usize,
    /// The number of ready servers of the stable versions.
    pub stable_servers: usize,
    /// The proxies that are linked to this registry, with their process IDs.
    pub linked_proxies: BTreeMap<String, u64>,
    /// The proxies that have become unreachable, and since when.
    pub missing_proxies: BTreeMap<String, Micros>,
    /// The number of proxies, as far as any registry knows.
    pub total_proxies: usize,
}

/// The last reported state of a proxy.
#[derive(Debug, Clone, Copy, Default)]
struct ProxyState {
    /// The process that sent the report: a report of an earlier process does not count for the linked one.
    process_id: u64,
    /// The revision of the rollout item that is in force at the proxy.
    in_force: u64,
    /// Whether it sends no new requests to the stable versions and has none open there.
    has_drained: bool,
}

/// The state of one rollout at the registry that decides on it.
#[derive(Debug, Clone)]
pub struct Decider {
    bounds: RolloutBounds,
    /// See [`Decider::order`].
    order: u64,
    /// When this registry learned of the order.
    known_since: Micros,
    /// The age of the order at `known_since`.
    age_when_known: Micros,
    evidence: Evidence,
    /// The last reported state of each proxy, by node.
    proxies: BTreeMap<String, ProxyState>,
    /// The largest number of ready servers of the new version so far.
    most_target_servers: usize,
    /// When the first ready server of the new version was seen.
    target_since: Option<Micros>,
    /// When the new version got its first request, according to the proxies' reports.
    exposed_since: Option<Micros>,
    /// The current step of the ramp, and when it began.
    ramp_step: Option<(usize, Micros)>,
    /// Since when the new version has been suspect.
    suspect_since: Option<Micros>,
    /// The last verdict; a bad one is final and ends all permits.
    verdict: Verdict,
    /// When a stage was last proposed; `None` since the item's stage last changed.
    proposed_at: Option<Micros>,
}

impl Decider {
    /// Starts to decide on a rollout. `time_of_day_ms` is the current time of day, from which the order's age is computed.
    pub fn new(now: Micros, time_of_day_ms: u64, bounds: RolloutBounds, rollout: &Rollout) -> Decider {
        // The age is wrong if a clock was adjusted, and is limited to the deadline.
        let age_ms = time_of_day_ms.saturating_sub(rollout.ordered_at_ms).min(rollout.deadline_ms);
        Decider {
            bounds,
            order: rollout.order,
            known_since: now,
            age_when_known: age_ms.saturating_mul(1_000),
            evidence: Evidence::default(),
            proxies: BTreeMap::new(),
            most_target_servers: 0,
            target_since: None,
            exposed_since: None,
            ramp_step: None,
            suspect_since: None,
            verdict: Verdict::Undecided,
            proposed_at: None,
        }
    }

    /// The order that started the rollout: the item's revision at which it was accepted.
    pub fn order(&self) -> u64 {
        self.order
    }

    /// The outcomes that all proxies have reported.
    pub fn evidence(&self) -> &Evidence {
        &self.evidence
    }

    /// Handles a proxy's report.
    pub fn report(&mut self, now: Micros, node: &str, process_id: u64, report: &RolloutReport) {
        if report.exposed_for > 0 {
            let since = now.saturating_sub(report.exposed_for);
            self.exposed_since = Some(self.exposed_since.map_or(since, |earlier| earlier.min(since)));
        }
        self.evidence.report(node, process_id, report);
        let RolloutReport { in_force, has_drained, .. } = *report;
        let state = ProxyState { process_id, in_force, has_drained };
        self.proxies.insert(node.into(), state);
    }

    /// Drops the state of a proxy whose process has ended: what it has confirmed does not apply to its next process.
    pub fn proxy_ended(&mut self, node: &str) {
        self.proxies.remove(node);
    }

    /// Updates the verdict as time passes, and returns the stage to propose, if the rollout should advance or be reverted now.
    pub fn tick(&mut self, now: Micros, item: &RolloutInForce, fleet: &FleetState) -> Option<Stage> {
        self.evidence.tick(now);
        if fleet.target_servers > 0 {
            self.target_since.get_or_insert(now);
        }
        self.most_target_servers = self.most_target_servers.max(fleet.target_servers);
        if !self.verdict.is_bad() {
            self.verdict = self.assess(now, item.rollout.stage);
        }
        let next = self.next_stage(now, item, fleet)?;
        let is_repeated = self.proposed_at.is_some_and(|at| now < at + PROPOSAL_INTERVAL);
        if is_repeated {
            return None;
        }
        self.proposed_at = Some(now);
        Some(next)
    }

    /// Compares the new version with the stable ones. A suspicion that lasts for [`SUSPICION_PERIOD`] becomes the verdict.
    fn assess(&mut self, now: Micros, stage: Stage) -> Verdict {
        if stage == Stage::Cutover {
            return self.evidence.verdict(now, Comparison::Earlier);
        }
        let verdict = self.evidence.verdict(now, Comparison::Concurrent);
        let suspicion =
            self.evidence.suspicion().filter(|suspicion| suspicion.bad_attempts >= MIN_SUSPECT_ATTEMPTS);
        let Some(suspicion) = suspicion else {
            self.suspect_since = None;
            return verdict;
        };
        let since = *self.suspect_since.get_or_insert(now);
        let is_long = now >= since.saturating_add(SUSPICION_PERIOD);
        if is_long && !verdict.is_bad() {
            return suspicion.verdict;
        }
        verdict
    }

    /// Records that the item's stage has changed, so that the next proposal is not delayed.
    pub fn stage_changed(&mut self) {
        self.proposed_at = None;
    }

    /// The stage that should follow now; `None` to stay in the current one.
    fn next_stage(&mut self, now: Micros, item: &RolloutInForce, fleet: &FleetState) -> Option<Stage> {
        let rollout = &item.rollout;
        if !rollout.stage.is_under_way() {
            return None;
        }
        if self.verdict.is_bad() || self.has_lost_servers(fleet) {
            return Some(Stage::Reverted);
        }
        match rollout.stage {
            Stage::Canary if self.has_been_healthy(now, rollout) => Some(Stage::Ramp),
            Stage::Canary => self.is_out_of_time(now, rollout).then_some(Stage::Reverted),
            Stage::Ramp => self.ramp(now, rollout, fleet),
            _ => self.all_have_drained(now, item, fleet).then_some(Stage::Finished),
        }
    }

    /// Whether the new version has lost too many of its servers.
    fn has_lost_servers(&self, fleet: &FleetState) -> bool {
        (fleet.target_servers as f64) < self.most_target_servers as f64 * MIN_SERVERS_FRACTION
    }

    /// Whether the new version is healthy and has been a canary for the minimum duration.
    fn has_been_healthy(&self, now: Micros, rollout: &Rollout) -> bool {
        let needed = fraction_of_deadline(rollout, CANARY_FRACTION);
        let is_long = self.exposed_since.is_some_and(|since| now >= since.saturating_add(needed));
        is_long && self.verdict == Verdict::Healthy
    }

    /// Whether it is too late to decide for the new version.
    fn is_out_of_time(&self, now: Micros, rollout: &Rollout) -> bool {
        self.age(now) >= fraction_of_deadline(rollout, DECISION_FRACTION)
    }

    /// The time since the order was accepted.
    fn age(&self, now: Micros) -> Micros {
        self.age_when_known.saturating_add(now.saturating_sub(self.known_since))
    }

    /// Advances the ramp, and returns the stage that should follow it. A registry that takes over the duty restarts the ramp.
    fn ramp(&mut self, now: Micros, rollout: &Rollout, fleet: &FleetState) -> Option<Stage> {
        let fraction = RAMP_STEP_FRACTION * self.bounds.exposure_share;
        let duration = fraction_of_deadline(rollout, fraction).max(MIN_RAMP_STEP);
        let (step, since) = *self.ramp_step.get_or_insert((0, now));
        if now < since.saturating_add(duration) {
            return None;
        }
        let is_last = step + 1 == RAMP_SHARES.len();
        let has_capacity = fleet.target_servers as f64 >= fleet.stable_servers as f64 * CAPACITY_FRACTION;
        if self.verdict != Verdict::Healthy || is_last && !has_capacity {
            return self.is_out_of_time(now, rollout).then_some(Stage::Reverted);
        }
        if is_last {
            return Some(Stage::Cutover);
        }
        self.ramp_step = Some((step + 1, now));
        None
    }

    /// Whether no proxy sends requests to the stable versions any more, and none has one open there.
    fn all_have_drained(&self, now: Micros, item: &RolloutInForce, fleet: &FleetState) -> bool {
        let has_drained = |state: &ProxyState| state.in_force >= item.revision && state.has_drained;
        let is_done = |(node, process_id): (&String, &u64)| {
            let state = self.proxies.get(node).filter(|state| state.process_id == *process_id);
            state.is_some_and(has_drained)
        };
        let is_given_up = |since: &Micros| now >= since + MISSING_PROXY_TIMEOUT;
        let missing_is_done = |(node, since): (&String, &Micros)| {
            is_given_up(since) || self.proxies.get(node).is_some_and(has_drained)
        };
        // A proxy that is silent on an open link is linked and missing.
        let is_unlinked = |node: &&String| !fleet.linked_proxies.contains_key(*node);
        let known = fleet.linked_proxies.len() + fleet.missing_proxies.keys().filter(is_unlinked).count();
        known >= fleet.total_proxies
            && fleet.linked_proxies.iter().all(is_done)
            && fleet.missing_proxies.iter().all(missing_is_done)
    }

    /// Returns the permit in answer to a proxy's report; `None` if no requests to the new version are permitted now.
    pub fn permit(
        &self,
        now: Micros,
        rollout: &Rollout,
        fleet: &FleetState,
        report: &RolloutReport,
    ) -> Option<RolloutPermit> {
        if self.verdict.is_bad() || !self.is_warm(now, fleet) {
            return None;
        }
        let (share_permille, is_cumulative) = match (rollout.stage, self.ramp_step) {
            (Stage::Canary, _) if !self.is_out_of_time(now, rollout) => (self.canary_share(), true),
            (Stage::Ramp, Some((step, _))) => (RAMP_SHARES[step], false),
            _ => return None,
        };
        Some(RolloutPermit {
            service: report.service.clone(),
            order: report.order,
            sent_at: report.sent_at,
            duration: self.permit_duration(),
            share_permille,
            margin: (self.bounds.exposure_margin * CANARY_EXPOSURE_FRACTION) as u32,
            is_cumulative,
        })
    }

    /// The fraction of the requests that the new version may get as a canary, in thousandths.
    fn canary_share(&self) -> u16 {
        (self.bounds.exposure_share * CANARY_EXPOSURE_FRACTION * 1_000.0) as u16
    }

    /// The duration of a permit, within the operator's time limit for a rollback.
    fn permit_duration(&self) -> Micros {
        let rollback_fraction = (self.bounds.rollback as f64 * PERMIT_FRACTION) as Micros;
        rollback_fraction.min(MAX_PERMIT_DURATION)
    }

    /// Whether enough servers of the new version are past slow start, during which they would appear slow.
    fn is_warm(&self, now: Micros, fleet: &FleetState) -> bool {
        let expected = fleet.target_servers.max(fleet.stable_servers) as f64;
        let has_waited = self.target_since.is_some_and(|since| now >= since + WARM_UP_TIMEOUT);
        let are_most_warm = fleet.warm_target_servers as f64 >= expected * WARM_FRACTION;
        fleet.warm_target_servers > 0 && (are_most_warm || has_waited)
    }

    /// The last result of comparing the new version with the stable ones.
    pub fn verdict(&self) -> Verdict {
        self.verdict
    }
}

/// Returns a fraction of the time from the order to the deadline.
fn fraction_of_deadline(rollout: &Rollout, fraction: f64) -> Micros {
    (rollout.deadline_ms as f64 * 1_000.0 * fraction) as Micros
}
