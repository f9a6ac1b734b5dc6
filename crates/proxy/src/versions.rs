//! The versions of a service's servers: which of them a request goes to, and what they make of it.

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

/// So many routes are told apart in reports; the rest are counted together.
const MAX_ROUTES: usize = 32;
/// Stands for all routes beyond those.
const OTHER_ROUTES: u64 = 0;

/// A route, as reports name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservedRoute {
    /// The hash of its name.
    pub route: u64,
    /// The class of latency that its target is in.
    pub target_class: u8,
}

impl ObservedRoute {
    /// Of a route of the configuration.
    pub fn new(route: &Route) -> ObservedRoute {
        let target_class = latency_class(route.latency_target.as_micros() as Micros) as u8;
        ObservedRoute { route: hash::hash_parts(&[route.name.as_bytes()]), target_class }
    }
}

/// The versions of one service.
pub struct ServiceVersions {
    clock: Rc<Clock>,
    /// What is decided about them.
    in_force: RefCell<Option<Arc<RolloutInForce>>>,
    exposure: RefCell<Exposure>,
    /// What both sides of the rollout under way did, by route.
    samples: RefCell<BTreeMap<u64, RouteSample>>,
    /// The number of ready servers of each version.
    servers: RefCell<BTreeMap<String, usize>>,
}

impl ServiceVersions {
    /// A service of whose versions nothing is decided.
    pub fn new(clock: Rc<Clock>) -> Rc<ServiceVersions> {
        Rc::new(ServiceVersions {
            clock,
            in_force: RefCell::default(),
            exposure: RefCell::default(),
            samples: RefCell::default(),
            servers: RefCell::default(),
        })
    }

    /// Puts in force what is decided. Another order is counted anew.
    pub fn set_in_force(&self, next: Option<Arc<RolloutInForce>>) {
        let order = |item: &Option<Arc<RolloutInForce>>| item.as_ref().map(|item| item.rollout.order);
        let mut in_force = self.in_force.borrow_mut();
        if order(&in_force) != order(&next) {
            self.exposure.replace(Exposure::default());
            self.samples.borrow_mut().clear();
        }
        *in_force = next;
    }

    /// A server of a version has become ready.
    pub fn server_added(&self, version: &str) {
        *self.servers.borrow_mut().entry(version.into()).or_default() += 1;
    }

    /// A server of a version is not ready any more.
    pub fn server_removed(&self, version: &str) {
        let mut servers = self.servers.borrow_mut();
        if let Some(count) = servers.get_mut(version) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                servers.remove(version);
            }
        }
    }

    /// A registry permits requests to the new version.
    pub fn permit(&self, permit: RolloutPermit) {
        let is_current =
            self.in_force.borrow().as_ref().is_some_and(|item| item.rollout.order == permit.order);
        if is_current {
            self.exposure.borrow_mut().permit(permit);
        }
    }

    /// The version that the next request goes to. `proxies` share the service's requests; `drawn` is a random number from 0 to 1.
    pub fn choose(&self, proxies: usize, drawn: f64) -> String {
        let in_force = self.in_force.borrow();
        let servers = self.servers.borrow();
        let Some(item) = in_force.as_ref() else {
            return weighted(servers.iter(), drawn).unwrap_or_default();
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
        let open = servers.iter().filter(|(version, _)| rollout.access(version) == VersionAccess::Open);
        let chosen = weighted(open, drawn);
        chosen.or_else(|| rollout.open_versions().into_iter().next()).unwrap_or_default()
    }

    /// Whether a request that was given to a version may still be sent there.
    pub fn may_send(&self, version: &str) -> bool {
        let in_force = self.in_force.borrow();
        let Some(item) = in_force.as_ref() else { return true };
        match item.rollout.access(version) {
            VersionAccess::Open => true,
            VersionAccess::ByPermit => self.exposure.borrow().valid_permit(self.clock.now()).is_some(),
            // The versions that a rollout moves away from complete what they have.
            VersionAccess::Closed => item.rollout.stable.iter().any(|stable| stable == version),
        }
    }

    /// Whether a version has servers, or is decided to have requests.
    pub fn is_used(&self, version: &str) -> bool {
        self.servers.borrow().contains_key(version) || self.may_send(version)
    }

    /// A request is sent to a server of a version.
    pub fn count_sent(&self, version: &str, is_first: bool) {
        let mut exposure = self.exposure.borrow_mut();
        if is_first {
            exposure.count_reached();
        } else if self.is_target(version) {
            exposure.count_exposed(self.clock.now());
        }
    }

    fn is_target(&self, version: &str) -> bool {
        self.in_force.borrow().as_ref().is_some_and(|item| item.rollout.target == version)
    }

    fn is_under_way(&self) -> bool {
        self.in_force.borrow().as_ref().is_some_and(|item| item.rollout.stage.is_under_way())
    }

    /// Counts an attempt that has ended, while a rollout is under way.
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
        let side = if self.is_target(version) { &mut sample.target } else { &mut sample.stable };
        side.count(latency, has_failed);
    }

    /// The report on the rollout under way; `None` without one. `is_idle` tells whether no request is open at a version.
    pub fn report(&self, service: &str, is_idle: impl Fn(&str) -> bool) -> Option<RolloutReport> {
        let in_force = self.in_force.borrow();
        let item = in_force.as_ref().filter(|item| item.rollout.stage.is_under_way())?;
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

/// A version, each as probable as it has servers.
fn weighted<'a>(
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

/// An attempt that was sent to a server. One that is given up, because its client has gone or another attempt takes its place, has taken at
/// least as long as it did.
pub(crate) struct Observation {
    versions: Rc<ServiceVersions>,
    version: Rc<str>,
    route: ObservedRoute,
    since: Micros,
    is_open: bool,
}

impl Observation {
    /// An attempt is sent now.
    pub(crate) fn begin(
        versions: &Rc<ServiceVersions>,
        version: &Rc<str>,
        route: ObservedRoute,
    ) -> Observation {
        let since = versions.clock.now();
        Observation { versions: versions.clone(), version: version.clone(), route, since, is_open: true }
    }

    /// The attempt has ended.
    pub(crate) fn end(mut self, has_failed: bool) {
        self.count(has_failed);
    }

    /// The attempt tells nothing of the version.
    pub(crate) fn forget(mut self) {
        self.is_open = false;
    }

    fn count(&mut self, has_failed: bool) {
        if std::mem::replace(&mut self.is_open, false) {
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
