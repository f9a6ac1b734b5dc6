//! The versions of a service: chooses the version for each request, and collects attempt results for rollout reports.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use mountbend::interface::Micros;
use pinerelay_config_state::hash;
use pinerelay_config_state::resources::Route;
use pinerelay_config_state::rollout::{Stage, VersionAccess};
use pinerelay_config_state::routing_table::RolloutInForce;
use pinerelay_rollout::exposure::Exposure;
use pinerelay_rollout::report::{latency_class, RolloutPermit, RolloutReport, RouteSample};
use pinerelay_traffic::clock::Clock;

#[cfg(test)]
mod tests;

/// Maximum number of routes that are reported separately; all others are counted together.
const MAX_ROUTES: usize = 32;
/// The route hash under which routes beyond `MAX_ROUTES` are reported.
const OTHER_ROUTES: u64 = 0;

/// Identifies a route in rollout reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedRoute {
    /// The hash of the route's name.
    pub route: u64,
    /// The latency class of the route's latency target.
    pub target_class: u8,
}

impl ObservedRoute {
    /// Creates the identification of a configured route.
    pub fn new(route: &Route) -> ObservedRoute {
        let target_class = latency_class(route.latency_target.as_micros() as Micros) as u8;
        ObservedRoute { route: hash::hash_parts(&[route.name.as_bytes()]), target_class }
    }
}

/// The versions of one service.
pub struct ServiceVersions {
    clock: Rc<Clock>,
    /// The rollout that applies to the service, if there is one.
    current_rollout: RefCell<Option<Arc<RolloutInForce>>>,
    /// The permit for the target version of the rollout that applies, and how much it was used.
    exposure: RefCell<Exposure>,
    /// Attempt results of the target and the stable versions in the rollout in progress, by route.
    samples: RefCell<BTreeMap<u64, RouteSample>>,
    /// The number of ready servers of each version.
    servers: RefCell<BTreeMap<String, usize>>,
}

impl ServiceVersions {
    /// Creates the versions of a service without a rollout and without servers.
    pub fn new(clock: Rc<Clock>) -> Rc<ServiceVersions> {
        Rc::new(ServiceVersions {
            clock,
            current_rollout: RefCell::default(),
            exposure: RefCell::default(),
            samples: RefCell::default(),
            servers: RefCell::default(),
        })
    }

    /// Sets the rollout that applies. If its order differs from the previous one, exposure and samples start again from zero.
    pub fn set_current_rollout(&self, next: Option<Arc<RolloutInForce>>) {
        let order = |item: &Option<Arc<RolloutInForce>>| item.as_ref().map(|item| item.rollout.order);
        let mut current_rollout = self.current_rollout.borrow_mut();
        if order(&current_rollout) != order(&next) {
            self.exposure.replace(Exposure::default());
            self.samples.borrow_mut().clear();
        }
        *current_rollout = next;
    }

    /// Counts a server that has become ready.
    pub fn server_added(&self, version: &str) {
        *self.servers.borrow_mut().entry(version.into()).or_default() += 1;
    }

    /// Removes a server that is no longer ready from the count.
    pub fn server_removed(&self, version: &str) {
        let mut servers = self.servers.borrow_mut();
        if let Some(count) = servers.get_mut(version) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                servers.remove(version);
            }
        }
    }

    /// Applies a registry's permit for the target version; a permit of another rollout is ignored.
    pub fn permit(&self, permit: RolloutPermit) {
        let is_current =
            self.current_rollout.borrow().as_ref().is_some_and(|item| item.rollout.order == permit.order);
        if is_current {
            self.exposure.borrow_mut().permit(permit);
        }
    }

    /// Chooses the version for the next request. `proxies` is the number of proxies that share the service's traffic; `drawn` is a
    /// random number from 0 to 1.
    pub fn choose(&self, proxies: usize, drawn: f64) -> String {
        let current_rollout = self.current_rollout.borrow();
        let servers = self.servers.borrow();
        let Some(item) = current_rollout.as_ref() else {
            return choose_weighted(servers.iter(), drawn).unwrap_or_default();
        };
        let rollout = &item.rollout;
        let is_canary = matches!(rollout.stage, Stage::Canary | Stage::Ramp);
        if is_canary && servers.contains_key(&rollout.target) {
            let mut exposure = self.exposure.borrow_mut();
            if exposure.takes_next(self.clock.now(), proxies, drawn) {
                exposure.count_exposed(self.clock.now());
                return rollout.target.clone();
            }
        }
        let candidates = servers.iter().filter(|(version, _)| rollout.access(version) == VersionAccess::Open);
        let chosen = choose_weighted(candidates, drawn);
        chosen.or_else(|| rollout.open_versions().into_iter().next()).unwrap_or_default()
    }

    /// Whether a request that was assigned to a version may still be sent to it.
    pub fn may_send(&self, version: &str) -> bool {
        let current_rollout = self.current_rollout.borrow();
        let Some(item) = current_rollout.as_ref() else { return true };
        match item.rollout.access(version) {
            VersionAccess::Open => true,
            VersionAccess::ByPermit => self.exposure.borrow().valid_permit(self.clock.now()).is_some(),
            // The stable versions of a rollout still complete the requests that were assigned to them.
            VersionAccess::Closed => item.rollout.stable.iter().any(|stable| stable == version),
        }
    }

    /// Whether a version has ready servers or may receive requests.
    pub fn is_used(&self, version: &str) -> bool {
        self.servers.borrow().contains_key(version) || self.may_send(version)
    }

    /// Counts a request that is sent to a version. `is_first`: it is the request's first attempt.
    pub fn count_sent(&self, version: &str, is_first: bool) {
        let mut exposure = self.exposure.borrow_mut();
        if is_first {
            exposure.count_reached();
        } else if self.is_target(version) {
            exposure.count_exposed(self.clock.now());
        }
    }

    /// Whether a version is the target of the rollout that applies.
    fn is_target(&self, version: &str) -> bool {
        self.current_rollout.borrow().as_ref().is_some_and(|item| item.rollout.target == version)
    }

    /// Whether the rollout that applies is in progress (canary, ramp or cutover).
    fn is_under_way(&self) -> bool {
        self.current_rollout.borrow().as_ref().is_some_and(|item| item.rollout.stage.is_under_way())
    }

    /// Counts a completed attempt while a rollout is in progress.
    fn count_attempt(&self, version: &str, observed: ObservedRoute, latency: Micros, has_failed: bool) {
        if !self.is_under_way() {
            return;
        }
        let mut samples = self.samples.borrow_mut();
        let is_known = samples.contains_key(&observed.route) || samples.len() < MAX_ROUTES;
        let route = if is_known { observed.route } else { OTHER_ROUTES };
        let sample = samples.entry(route).or_default();
        sample.route = route;
        sample.target_class = sample.target_class.max(observed.target_class);
        let counts = if self.is_target(version) { &mut sample.target } else { &mut sample.stable };
        counts.count(latency, has_failed);
    }

    /// Returns the report on the rollout in progress, if there is one. `is_idle` tells whether a version has no open requests.
    pub fn report(&self, service: &str, is_idle: impl Fn(&str) -> bool) -> Option<RolloutReport> {
        let current_rollout = self.current_rollout.borrow();
        let item = current_rollout.as_ref().filter(|item| item.rollout.stage.is_under_way())?;
        let rollout = &item.rollout;
        let has_drained =
            rollout.stage == Stage::Cutover && rollout.stable.iter().all(|version| is_idle(version));
        Some(RolloutReport {
            service: service.into(),
            order: rollout.order,
            sent_at: self.clock.now(),
            in_force: item.revision,
            exposed_for: self.exposure.borrow().exposed_for(self.clock.now()),
            has_drained,
            routes: self.samples.borrow().values().copied().collect(),
        })
    }
}

/// Chooses a version with a probability proportional to its number of servers.
fn choose_weighted<'a>(
    servers: impl Iterator<Item = (&'a String, &'a usize)> + Clone,
    drawn: f64,
) -> Option<String> {
    let total: usize = servers.clone().map(|(_, count)| count).sum();
    let mut position = drawn * total as f64;
    let mut chosen = None;
    for (version, count) in servers {
        chosen = Some(version);
        position -= *count as f64;
        if position < 0.0 {
            break;
        }
    }
    chosen.cloned()
}

/// Measures an attempt that was sent to a server. An attempt that is dropped, because its client has disconnected or another attempt
/// replaces it, is counted as a success with the time elapsed so far, a lower bound of its latency.
pub(crate) struct Observation {
    versions: Rc<ServiceVersions>,
    version: Rc<str>,
    route: ObservedRoute,
    /// When the attempt was sent, by the proxy's clock.
    since: Micros,
    /// Whether it has been neither counted nor discarded.
    is_pending: bool,
}

impl Observation {
    /// Starts the measurement when the attempt is sent.
    pub(crate) fn begin(
        versions: &Rc<ServiceVersions>,
        version: &Rc<str>,
        route: ObservedRoute,
    ) -> Observation {
        let since = versions.clock.now();
        Observation { versions: versions.clone(), version: version.clone(), route, since, is_pending: true }
    }

    /// Counts the attempt with its result.
    pub(crate) fn end(mut self, has_failed: bool) {
        self.count(has_failed);
    }

    /// Discards an attempt whose result says nothing about the version.
    pub(crate) fn discard(mut self) {
        self.is_pending = false;
    }

    /// Counts the attempt once; a second call does nothing.
    fn count(&mut self, has_failed: bool) {
        if std::mem::replace(&mut self.is_pending, false) {
            let latency = self.versions.clock.now().saturating_sub(self.since);
            self.versions.count_attempt(&self.version, self.route, latency, has_failed);
        }
    }
}

impl Drop for Observation {
    fn drop(&mut self) {
        self.count(false);
    }
}
