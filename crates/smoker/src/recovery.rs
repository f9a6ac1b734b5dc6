//! Recovery at full size: hundreds of proxies, the clients of hundreds of tenants, links that carry so many bytes a second, and
//! processors that handle one event after the other.
//!
//! A [`RecoveryPlan`] says how large, how loaded and how slow a gateway is, and what befalls it; [`play`] samples what becomes of
//! the requests. The state machines are the real ones. [`Mended`](plan::Mended) takes one cause of an outage out of the simulated surroundings
//! at a time, so that one can see what the others bring about.

pub mod clients;
pub mod faults;
pub mod plan;
pub mod processors;
pub mod samples;

use clients::Clients;
use faults::Step as FaultStep;
use plan::RecoveryPlan;
use processors::Processor;
use samples::{Report, Sample, SAMPLE};

use crate::plan::{Micros, SECOND};
use crate::process::Proc;
use crate::world::{Event, World};

/// The bytes a second that a proxy's link carries each way: 2 Mbit/s.
pub const LINK_BYTES: u64 = 250_000;
/// The operator's first order, which brings the configuration.
const FIRST_ORDER: Micros = SECOND;

/// What happens in a recovery at a moment.
pub enum Step {
    /// A new request of a client.
    Arrival,
    /// A request reaches its proxy.
    Ask(u64),
    /// A client comes back with a request that was rejected.
    Return(u64),
    /// A process of this life has handled what it had begun.
    Handled(Proc, u64),
    /// The next sample begins.
    Sample,
    /// A part of the fault.
    Fault(FaultStep),
}

/// The state of a recovery beside that of the processes.
pub struct Recovery {
    /// What is played.
    pub plan: RecoveryPlan,
    pub(crate) clients: Clients,
    pub(crate) processors: Vec<Processor>,
    pub(crate) samples: Vec<Sample>,
    /// A tick of a process is handled now.
    pub(crate) in_tick: bool,
    /// Quotas that were exceeded.
    pub(crate) exceeded: Vec<String>,
}

/// Plays a recovery to its end.
pub fn play(plan: &RecoveryPlan) -> Report {
    let mut world = World::new(plan.world());
    world.begin_recovery(plan.clone());
    let end = plan.seconds * SECOND;
    while world.happens_next(end) {}
    world.note_exceeded(true);
    world.recovery.map_or_else(Report::default, |recovery| recovery.report())
}

impl World {
    fn begin_recovery(&mut self, plan: RecoveryPlan) {
        let processors = (0..self.places.processes()).map(|_| Processor::default()).collect();
        let clients = Clients::new(&plan);
        if !plan.fast_links {
            let proxies = self.places.cores..self.places.machines();
            proxies.for_each(|machine| self.net.machines[machine].slow = (LINK_BYTES, Micros::MAX));
        }
        let faults = plan.fault.steps();
        let samples = vec![Sample::default()];
        let recovery = Recovery { plan, clients, processors, samples, in_tick: false, exceeded: Vec::new() };
        self.recovery = Some(Box::new(recovery));
        self.at(FIRST_ORDER, Event::Operator(0));
        self.at(clients::CLIENTS_BEGIN, Event::Recovery(Step::Arrival));
        self.at(SAMPLE, Event::Recovery(Step::Sample));
        faults.into_iter().for_each(|(at, step)| self.at(at, Event::Recovery(Step::Fault(step))));
    }

    /// A step of a recovery.
    pub(crate) fn recovery_step(&mut self, step: Step) {
        match step {
            Step::Arrival => self.client_arrives(),
            Step::Ask(id) => self.request_arrives(id),
            Step::Return(id) => self.send_request(id),
            Step::Handled(proc, life) => self.handled(proc, life),
            Step::Sample => self.next_sample(),
            Step::Fault(step) => self.fault_step(step),
        }
    }

    /// The sample that counts what happens now.
    pub(crate) fn sample(&mut self) -> Option<&mut Sample> {
        self.recovery.as_mut().and_then(|recovery| recovery.samples.last_mut())
    }
}
