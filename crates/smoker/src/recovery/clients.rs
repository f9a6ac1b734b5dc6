//! The clients: they send each request to some proxy, and come back once after a rejection.

use std::collections::BTreeMap;

use pinerelay_admission::lease_cache::{Admission, Decision};
use pinerelay_admission::quota::Quota;

use super::faults::burst_factor;
use super::plan::{quota_for, ClientReturn, RecoveryPlan};
use super::processors::Work;
use super::Step;
use crate::plan::{Micros, SECOND};
use crate::process::{Body, Output, Proc};
use crate::world::{Event, World};

/// When clients begin: all have the configuration, and the duties lie with the voters for good (`duty::JOINT_PERIOD`).
pub const CLIENTS_BEGIN: Micros = 5_700_000;
/// From a client to a proxy.
const CLIENT_WAY: Micros = 2_000;
/// What a client needs to come back at once.
const RETURN_AT_ONCE: Micros = 20_000;
/// A client comes back once.
const MAX_TRIES: u32 = 2;
/// After this a request that a cut-off proxy would reject is asked again, where that cause is taken out.
const PROBE_WAIT: Micros = 60_000;
/// So often.
const MAX_PROBE_WAITS: u32 = 4;
/// The parts of a unit that a lot is drawn from.
const LOT_PARTS: u64 = 1 << 30;

/// What becomes of one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// It is admitted.
    Admitted,
    /// It is rejected: the allocator has no units, or told so a moment ago.
    Exhausted,
    /// It is rejected: it has waited for units, and no answer came.
    WaitedInVain,
    /// It is rejected at once: the proxy is cut off from the tenant's allocator.
    CutOff,
    /// The proxy has no configuration that it may serve.
    Unready,
    /// There is no answer: the proxy does not run, or ends.
    Failed,
}

/// A request on its way.
#[derive(Debug, Clone, Copy)]
struct Request {
    tenant: usize,
    tries: u32,
    proxy: Proc,
    /// It has reached the proxy.
    is_there: bool,
    probe_waits: u32,
}

/// A tenant, and the part of all requests that is for it and those before it.
#[derive(Debug, Clone)]
struct TenantLoad {
    name: String,
    quota: Quota,
    up_to: f64,
}

/// All clients.
#[derive(Debug, Default)]
pub(crate) struct Clients {
    tenants: Vec<TenantLoad>,
    open: BTreeMap<u64, Request>,
    last: u64,
}

impl Clients {
    /// The clients of a plan's tenants.
    pub(crate) fn new(plan: &RecoveryPlan) -> Clients {
        let mut up_to = 0.0;
        let tenants = plan.tenants().into_iter().map(|(name, demand)| {
            up_to += demand / plan.requests_per_second();
            TenantLoad { name, quota: quota_for(demand), up_to }
        });
        Clients { tenants: tenants.collect(), ..Clients::default() }
    }

    /// The rates of the tenants.
    pub(crate) fn rates(&self) -> Vec<f64> {
        self.tenants.iter().map(|tenant| tenant.quota.rate).collect()
    }

    /// The requests that have reached a proxy and have no answer yet.
    pub(crate) fn open_at(&self, proxy: Proc) -> Vec<u64> {
        let open = self.open.iter().filter(|(_, request)| request.proxy == proxy && request.is_there);
        open.map(|(id, _)| *id).collect()
    }
}

impl World {
    /// A number from above 0 to 1.
    fn fraction(&mut self) -> f64 {
        (self.lot.upto(LOT_PARTS) + 1) as f64 / LOT_PARTS as f64
    }

    /// A new request of some tenant's client.
    pub(crate) fn client_arrives(&mut self) {
        let (wait, drawn) = (-self.fraction().ln(), self.fraction());
        let Some(recovery) = &mut self.recovery else { return };
        let rate = recovery.plan.requests_per_second() * burst_factor(recovery.plan.fault, self.now);
        let clients = &mut recovery.clients;
        let tenant = clients.tenants.partition_point(|tenant| tenant.up_to < drawn);
        let tenant = tenant.min(clients.tenants.len() - 1);
        clients.last += 1;
        let id = clients.last;
        let request = Request { tenant, tries: 0, proxy: 0, is_there: false, probe_waits: 0 };
        clients.open.insert(id, request);
        if let Some(sample) = recovery.samples.last_mut() {
            sample.asked += 1;
            *sample.asked_by_tenant.entry(tenant).or_default() += 1;
        }
        self.later((wait / rate * SECOND as f64) as Micros, Event::Recovery(Step::Arrival));
        self.send_request(id);
    }

    /// A client sends a request to some proxy.
    pub(crate) fn send_request(&mut self, id: u64) {
        let proxy = self.places.proxy(self.lot.upto(self.places.proxies as u64) as usize);
        let Some(recovery) = &mut self.recovery else { return };
        if let Some(request) = recovery.clients.open.get_mut(&id) {
            (request.proxy, request.is_there) = (proxy, false);
            request.tries += 1;
            self.later(CLIENT_WAY, Event::Recovery(Step::Ask(id)));
        }
    }

    /// A request reaches its proxy, or a process that does not run.
    pub(crate) fn request_arrives(&mut self, id: u64) {
        let Some(recovery) = &mut self.recovery else { return };
        let Some(request) = recovery.clients.open.get_mut(&id) else { return };
        let proxy = request.proxy;
        if self.procs[proxy].body.is_none() {
            return self.request_ends(id, Outcome::Failed, None);
        }
        request.is_there = true;
        self.queue_work(proxy, Work::Request(id));
    }

    /// A proxy handles a request.
    pub(crate) fn handle_request(&mut self, proxy: Proc, id: u64) {
        let Some(recovery) = &self.recovery else { return };
        let Some(request) = recovery.clients.open.get(&id) else { return };
        let TenantLoad { name, quota, .. } = recovery.clients.tenants[request.tenant].clone();
        let process = &mut self.procs[proxy];
        let (now, has_table) = (process.clock(self.now), process.table.is_some());
        let Some(Body::Proxy(subscriber)) = &mut process.body else { return };
        if !has_table || !subscriber.can_serve() {
            return self.request_ends(id, Outcome::Unready, None);
        }
        let unanswered = subscriber.leases().rejections().unanswered;
        let mut wants = Vec::new();
        let admission = subscriber.admit(now, &name, quota, id, &mut wants);
        let is_cut_off = subscriber.leases().rejections().unanswered > unanswered;
        let rejected = if is_cut_off { Outcome::CutOff } else { Outcome::Exhausted };
        self.carry_out(proxy, wants.into_iter().map(Output::from).collect());
        if admission == Admission::Waiting || is_cut_off && self.waits_for_probe(id) {
            return;
        }
        self.request_decided(id, admission, rejected);
    }

    /// Has a request asked again a little later, where proxies that are cut off wait for a probe's answer; tells whether it does.
    fn waits_for_probe(&mut self, id: u64) -> bool {
        let Some(recovery) = &mut self.recovery else { return false };
        let Some(request) = recovery.clients.open.get_mut(&id) else { return false };
        if !recovery.plan.mended.probes || request.probe_waits >= MAX_PROBE_WAITS {
            return false;
        }
        request.probe_waits += 1;
        self.later(PROBE_WAIT, Event::Recovery(Step::Ask(id)));
        true
    }

    /// A request that has waited is decided.
    pub(crate) fn decided(&mut self, decision: Decision) {
        let in_tick = self.recovery.as_ref().is_some_and(|recovery| recovery.in_tick);
        let rejected = if in_tick { Outcome::WaitedInVain } else { Outcome::Exhausted };
        self.request_decided(decision.id, decision.admission, rejected);
    }

    fn request_decided(&mut self, id: u64, admission: Admission, rejected: Outcome) {
        match admission {
            Admission::Admitted => self.request_ends(id, Outcome::Admitted, None),
            Admission::Deferred(wait) => self.request_ends(id, rejected, Some(wait)),
            Admission::Rejected | Admission::Waiting => self.request_ends(id, rejected, None),
        }
    }

    /// A try has ended; the client comes back once if it was rejected.
    pub(crate) fn request_ends(&mut self, id: u64, outcome: Outcome, told: Option<Micros>) {
        let Some(recovery) = &mut self.recovery else { return };
        let Some(request) = recovery.clients.open.get_mut(&id) else { return };
        if let Some(sample) = recovery.samples.last_mut() {
            *sample.outcomes.entry(outcome).or_default() += 1;
        }
        (request.is_there, request.probe_waits) = (false, 0);
        let is_rejected = matches!(outcome, Outcome::Exhausted | Outcome::WaitedInVain | Outcome::CutOff);
        if is_rejected && request.tries < MAX_TRIES {
            let wait = told.filter(|_| recovery.plan.returns == ClientReturn::AtToldTime);
            return self.later(wait.unwrap_or(RETURN_AT_ONCE), Event::Recovery(Step::Return(id)));
        }
        let tenant = request.tenant;
        recovery.clients.open.remove(&id);
        if outcome == Outcome::Admitted {
            let TenantLoad { name, quota, .. } = &recovery.clients.tenants[tenant];
            self.ledger.ran(self.now, name, quota.rate, quota.burst);
        }
    }
}
