//! What is measured in a recovery, each half second.

use std::collections::BTreeMap;
use std::fmt;

use pinerelay_admission::duty::SLICE_COUNT;
use pinerelay_peer_link::message::Role;

use super::clients::Outcome;
use super::faults::FAULT_ENDS;
use super::{Recovery, Step};
use crate::check::Invariant;
use crate::plan::{Micros, SECOND};
use crate::process::Body;
use crate::world::{Event, World};

/// The length of a sample.
pub const SAMPLE: Micros = SECOND / 2;
/// The samples of a second.
const PER_SECOND: usize = (SECOND / SAMPLE) as usize;

/// What happened within [`SAMPLE`].
#[derive(Debug, Clone, Default)]
pub struct Sample {
    /// New requests.
    pub asked: u64,
    /// The same by tenant.
    pub asked_by_tenant: BTreeMap<usize, u64>,
    /// What became of tries, also of those that clients came back with.
    pub outcomes: BTreeMap<Outcome, u64>,
    /// Units that were granted to proxies.
    pub granted: f64,
    /// The longest time between two ticks of a registry, or since the last one.
    pub longest_tick_gap: Micros,
    /// The part of it for which the busiest registry was busy, in percent.
    pub busiest_registry: u64,
    /// The same of the busiest proxy.
    pub busiest_proxy: u64,
    /// The events that wait at the registry with the most, at its end.
    pub waiting: usize,
    /// Slices whose duty a registry held at its end.
    pub slices: u32,
    /// Proxies that may serve at its end.
    pub serving: usize,
    /// Proxies with links to at least one registry at its end.
    pub linked: usize,
}

impl Sample {
    /// How many tries had this outcome.
    pub fn count(&self, outcome: Outcome) -> u64 {
        self.outcomes.get(&outcome).copied().unwrap_or(0)
    }
}

/// What a second of a recovery amounts to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Second {
    /// When it began.
    pub from: Micros,
    /// New requests within the tenants' rates.
    pub within_quotas: f64,
    /// Tries that were admitted.
    pub admitted: f64,
}

impl Second {
    /// The part of what is asked within the quotas that was admitted.
    pub fn share(&self) -> f64 {
        self.admitted / self.within_quotas.max(1.0)
    }
}

/// What a recovery has measured.
#[derive(Debug, Clone, Default)]
pub struct Report {
    /// The samples in order, [`SAMPLE`] long each.
    pub samples: Vec<Sample>,
    /// The rates of the tenants.
    pub rates: Vec<f64>,
    /// Quotas that were exceeded: whose, and by how much.
    pub exceeded: Vec<String>,
}

impl Report {
    /// The whole seconds from one moment to another.
    pub fn seconds(&self, from: Micros, to: Micros) -> Vec<Second> {
        let samples = (from / SAMPLE) as usize..(to / SAMPLE) as usize;
        let samples = self.samples.get(samples).unwrap_or_default();
        let second = |(n, samples): (usize, &[Sample])| {
            let mut by_tenant = BTreeMap::<usize, u64>::new();
            let asked = samples.iter().flat_map(|sample| &sample.asked_by_tenant);
            asked.for_each(|(tenant, asked)| *by_tenant.entry(*tenant).or_default() += asked);
            let within = by_tenant.iter().map(|(tenant, asked)| self.rates[*tenant].min(*asked as f64));
            Second {
                from: from + n as u64 * SECOND,
                within_quotas: within.sum(),
                admitted: samples.iter().map(|sample| sample.count(Outcome::Admitted) as f64).sum(),
            }
        };
        samples.chunks_exact(PER_SECOND).enumerate().map(second).collect()
    }

    /// The second with the least share of what is asked that was admitted.
    pub fn worst(&self, from: Micros, to: Micros) -> Option<Second> {
        self.seconds(from, to).into_iter().min_by(|a, b| a.share().total_cmp(&b.share()))
    }

    /// How many seconds after the fault the last one ended in which less than this share was admitted.
    pub fn below_until(&self, share: f64) -> f64 {
        let all = self.seconds(FAULT_ENDS, self.samples.len() as u64 * SAMPLE);
        let last = all.iter().rfind(|second| second.share() < share);
        last.map_or(0.0, |second| (second.from + SECOND - FAULT_ENDS) as f64 / SECOND as f64)
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "  from  asked admitted exhausted in vain cut off unready failed  units slices tick gap busy proxy waiting serving linked"
        )?;
        for (n, sample) in self.samples.iter().enumerate() {
            let count = |outcome| sample.count(outcome);
            writeln!(
                f,
                "{:>6.1} {:>6} {:>8} {:>9} {:>7} {:>7} {:>7} {:>6} {:>6} {:>6} {:>8} {:>4} {:>5} {:>7} {:>7} {:>6}",
                (n as u64 * SAMPLE) as f64 / SECOND as f64,
                sample.asked,
                count(Outcome::Admitted),
                count(Outcome::Exhausted),
                count(Outcome::WaitedInVain),
                count(Outcome::CutOff),
                count(Outcome::Unready),
                count(Outcome::Failed),
                sample.granted,
                sample.slices,
                sample.longest_tick_gap / 1_000,
                sample.busiest_registry,
                sample.busiest_proxy,
                sample.waiting,
                sample.serving,
                sample.linked,
            )?;
        }
        self.exceeded.iter().try_for_each(|exceeded| writeln!(f, "quota exceeded: {exceeded}"))
    }
}

impl Recovery {
    /// What was measured.
    pub(crate) fn report(mut self) -> Report {
        // The last one has only begun.
        self.samples.pop();
        Report { samples: self.samples, rates: self.clients.rates(), exceeded: self.exceeded }
    }
}

impl World {
    /// A sample ends, and the next one begins.
    pub(crate) fn next_sample(&mut self) {
        let slices = self.slices_held();
        let proxies = (0..self.places.proxies).filter_map(|n| {
            let process = &self.procs[self.places.proxy(n)];
            let Some(Body::Proxy(subscriber)) = &process.body else { return None };
            Some((subscriber.can_serve() && process.table.is_some(), subscriber.linked_registries() > 0))
        });
        let (mut serving, mut linked) = (0, 0);
        for (serves, is_linked) in proxies {
            serving += usize::from(serves);
            linked += usize::from(is_linked);
        }
        if let Some(sample) = self.sample() {
            (sample.slices, sample.serving, sample.linked) = (slices, serving, linked);
        }
        self.sample_processors();
        self.note_exceeded(false);
        if let Some(recovery) = &mut self.recovery {
            recovery.samples.push(Sample::default());
        }
        self.later(SAMPLE, Event::Recovery(Step::Sample));
    }

    fn sample_processors(&mut self) {
        let (places, now) = (self.places, self.now);
        let Some(recovery) = &mut self.recovery else { return };
        let Some(sample) = recovery.samples.last_mut() else { return };
        for (proc, processor) in recovery.processors.iter_mut().enumerate() {
            let busy = processor.take_busy() * 100 / SAMPLE;
            match places.role(proc) {
                Role::Registry => {
                    sample.busiest_registry = sample.busiest_registry.max(busy);
                    sample.waiting = sample.waiting.max(processor.waiting());
                    sample.longest_tick_gap = sample.longest_tick_gap.max(processor.tick_gap(now));
                }
                Role::Proxy => sample.busiest_proxy = sample.busiest_proxy.max(busy),
                _ => {}
            }
        }
    }

    /// How many slices some registry holds.
    fn slices_held(&self) -> u32 {
        let held = (0..self.places.cores).filter_map(|core| {
            let process = &self.procs[self.places.scout(core)];
            let Some(Body::Scout(registry)) = &process.body else { return None };
            Some(registry.held_slices(process.clock(self.now)))
        });
        held.fold(0_u32, |all, held| all | held).count_ones().min(SLICE_COUNT as u32)
    }

    /// Notes the quotas that were exceeded.
    pub(crate) fn note_exceeded(&mut self, is_over: bool) {
        self.ledger.overrun(self.now, is_over);
        // The other invariants are not looked at in a recovery.
        let breach = self.ledger.breach.take().filter(|(invariant, _)| *invariant == Invariant::Quota);
        if let (Some(recovery), Some((_, what))) = (&mut self.recovery, breach) {
            recovery.exceeded.push(what);
        }
    }
}
