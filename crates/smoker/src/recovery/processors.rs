//! The processor of each process: events are handled one after the other, and each takes its time.

use std::collections::{BTreeSet, VecDeque};

use pinerelay_admission::lease::LeaseGrant;
use pinerelay_peer_link::codec;
use pinerelay_peer_link::event_order::MAX_OVERDUE_EVENTS;
use pinerelay_peer_link::message::{PeerMessage, Role};

use super::clients::Outcome;
use super::plan::{EventOrder, RecoveryPlan};
use super::Step;
use crate::plan::Micros;
use crate::process::{Input, Peer, Proc};
use crate::world::{Event, World};

#[cfg(test)]
mod tests;

/// What waits for a processor.
pub(crate) enum Work {
    /// A message, or a connection that comes or goes.
    Input(Input),
    /// A client's request.
    Request(u64),
    /// The tick.
    Tick,
}

/// A process's events.
#[derive(Default)]
pub(crate) struct Processor {
    /// Each with the moment at which it arrived.
    waiting: VecDeque<(Micros, Work)>,
    tick_due: bool,
    /// The events handled since the tick became due.
    overdue_events: usize,
    /// What is handled now.
    current: Option<Work>,
    /// It is busy with what it handles, or with sending.
    busy: bool,
    /// Messages sent by what was handled last, once for each connection.
    sent: usize,
    /// When the last tick was handled; none in this life: none yet.
    last_tick: Option<Micros>,
    /// For how long it was busy in this sample.
    busy_for: Micros,
    /// Connections on which the other end has introduced itself.
    introduced: BTreeSet<Peer>,
}

impl Processor {
    /// For how long it was busy since this was last asked.
    pub(crate) fn take_busy(&mut self) -> Micros {
        std::mem::take(&mut self.busy_for)
    }

    /// The events that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// How long ago the last tick was.
    pub(crate) fn tick_gap(&self, now: Micros) -> Micros {
        self.last_tick.map_or(0, |last| now - last)
    }

    /// Takes out what is handled next.
    fn next(&mut self, order: EventOrder) -> Option<Work> {
        let is_turn_of_tick = match order {
            EventOrder::MessagesFirst => false,
            EventOrder::BoundedMessages => self.overdue_events >= MAX_OVERDUE_EVENTS,
            EventOrder::TickFirst => true,
        };
        if self.tick_due && (is_turn_of_tick || self.waiting.is_empty()) {
            (self.tick_due, self.overdue_events) = (false, 0);
            return Some(Work::Tick);
        }
        let (_, work) = self.waiting.pop_front()?;
        self.overdue_events += usize::from(self.tick_due);
        Some(work)
    }
}

/// Whether a message carries content: configuration items and servers.
fn is_content(message: &PeerMessage) -> bool {
    matches!(message, PeerMessage::Update(_) | PeerMessage::Sync { .. } | PeerMessage::Replicate { .. })
}

/// The time that a process of a role takes for some work, in microseconds.
fn cost(plan: &RecoveryPlan, role: Role, work: &Work) -> Micros {
    let [message, byte, _, tick] = plan.costs.of_role(role);
    let cost = match work {
        Work::Tick => tick,
        Work::Request(_) => plan.costs.proxy_request,
        Work::Input(Input::Said(_, said)) if is_content(said) => {
            if plan.mended.content {
                0.0
            } else {
                message + byte * codec::encode(said).len() as f64
            }
        }
        Work::Input(Input::Said(_, PeerMessage::LeaseRequests(requests))) if !plan.mended.lease_work => {
            let proxies = requests.len() as f64 * plan.proxies as f64;
            message + plan.costs.lease_request_per_proxy * proxies
        }
        Work::Input(_) => message,
    };
    cost as Micros
}

impl World {
    /// Whether a message takes no time on links.
    pub(crate) fn is_free(&self, message: &PeerMessage) -> bool {
        self.recovery.as_ref().is_some_and(|recovery| recovery.plan.mended.content) && is_content(message)
    }

    /// Counts a message that a process sends, and changes it where a cause is taken out.
    pub(crate) fn see_said(&mut self, proc: Proc, connections: usize, message: &mut PeerMessage) {
        let Some(recovery) = &mut self.recovery else { return };
        recovery.processors[proc].sent += connections;
        match message {
            PeerMessage::LeaseGrants(grants) => {
                let units = grants.iter().map(|granted| match granted.grant {
                    LeaseGrant::Units { units, .. } => units,
                    _ => 0.0,
                });
                let units: f64 = units.sum();
                if let Some(sample) = recovery.samples.last_mut() {
                    sample.granted += units;
                }
            }
            PeerMessage::KnownProxies(nodes)
                if recovery.plan.mended.silence && self.places.role(proc) == Role::ConfigStore =>
            {
                nodes.clear();
            }
            PeerMessage::RegistryStatus(status) if recovery.plan.mended.silence => status.proxies = 0,
            _ => {}
        }
    }

    /// Puts an input of a process in its queue, if processors take time; hands it back otherwise.
    pub(crate) fn queue_input(&mut self, proc: Proc, input: Input) -> Option<Input> {
        if self.recovery.is_none() {
            return Some(input);
        }
        self.queue_work(proc, Work::Input(input));
        None
    }

    /// Puts work of a process in its queue.
    pub(crate) fn queue_work(&mut self, proc: Proc, work: Work) {
        let Some(recovery) = &mut self.recovery else { return };
        if self.procs[proc].body.is_some() {
            recovery.processors[proc].waiting.push_back((self.now, work));
            self.handle_next(proc);
        }
    }

    /// For how long the oldest event of a process has been waiting; zero if none waits.
    pub(crate) fn backlog(&self, proc: Proc) -> Micros {
        let processor = self.recovery.as_ref().map(|recovery| &recovery.processors[proc]);
        let oldest = processor.and_then(|processor| processor.waiting.front());
        oldest.map_or(0, |(arrived, _)| self.now - arrived)
    }

    /// The tick of a process is due: it waits for its turn, if processors take time; tells whether they do.
    pub(crate) fn queue_tick(&mut self, proc: Proc) -> bool {
        let Some(recovery) = &mut self.recovery else { return false };
        recovery.processors[proc].tick_due = true;
        self.handle_next(proc);
        true
    }

    /// A process that ends loses what waited for its processor.
    pub(crate) fn drop_work(&mut self, proc: Proc) {
        if let Some(recovery) = &mut self.recovery {
            recovery.processors[proc] = Processor::default();
            self.fail_requests_at(proc);
        }
    }

    /// A process that is idle begins with what it turns to next.
    fn handle_next(&mut self, proc: Proc) {
        let Some(recovery) = &mut self.recovery else { return };
        let role = self.places.role(proc);
        let order = if role == Role::Registry { recovery.plan.registry_order() } else { recovery.plan.order };
        let processor = &mut recovery.processors[proc];
        if processor.busy {
            return;
        }
        let Some(work) = processor.next(order) else { return };
        let cost = cost(&recovery.plan, role, &work);
        (processor.busy, processor.current) = (true, Some(work));
        processor.busy_for += cost;
        let life = self.procs[proc].life;
        self.later(cost, Event::Recovery(Step::Handled(proc, life)));
    }

    /// A process has taken the time for what it handles, or for sending.
    pub(crate) fn handled(&mut self, proc: Proc, life: u64) {
        if !self.runs(proc, life) {
            return;
        }
        let Some(recovery) = &mut self.recovery else { return };
        let processor = &mut recovery.processors[proc];
        processor.sent = 0;
        let Some(work) = processor.current.take() else {
            processor.busy = false;
            return self.handle_next(proc);
        };
        self.perform(proc, life, work);
        let Some(recovery) = &mut self.recovery else { return };
        let [.., send, _] = recovery.plan.costs.of_role(self.places.role(proc));
        let processor = &mut recovery.processors[proc];
        let sending = (send * std::mem::take(&mut processor.sent) as f64) as Micros;
        processor.busy_for += sending;
        self.later(sending, Event::Recovery(Step::Handled(proc, life)));
    }

    fn perform(&mut self, proc: Proc, life: u64, work: Work) {
        match work {
            Work::Input(input) => {
                match &input {
                    Input::Said(peer, PeerMessage::Hello(_)) => self.introduced(proc, *peer),
                    Input::Down(peer) => self.before_loss(proc, *peer),
                    _ => {}
                }
                self.give_now(proc, input);
            }
            Work::Request(id) => self.handle_request(proc, id),
            Work::Tick => {
                self.before_tick(proc);
                self.tick(proc, life);
                if let Some(recovery) = &mut self.recovery {
                    recovery.in_tick = false;
                }
            }
        }
    }

    fn introduced(&mut self, proc: Proc, peer: Peer) {
        if let Some(recovery) = &mut self.recovery {
            recovery.processors[proc].introduced.insert(peer);
        }
    }

    /// Has a proxy whose connection is lost take its leave of a registry, if silence is taken out.
    fn before_loss(&mut self, proc: Proc, peer: Peer) {
        let is_registry = self.places.role(proc) == Role::Registry;
        let Some(recovery) = &mut self.recovery else { return };
        let was_introduced = recovery.processors[proc].introduced.remove(&peer);
        if !(is_registry && was_introduced && recovery.plan.mended.silence) {
            return;
        }
        // From other peers it has no effect.
        self.give_now(proc, Input::Said(peer, PeerMessage::Goodbye));
    }

    /// Notes how long ago the last tick was, and lets a registry hear of the proxies that run if silence is taken out.
    fn before_tick(&mut self, proc: Proc) {
        let is_registry = self.places.role(proc) == Role::Registry;
        let Some(recovery) = &mut self.recovery else { return };
        recovery.in_tick = true;
        let processor = &mut recovery.processors[proc];
        let gap = processor.tick_gap(self.now);
        processor.last_tick = Some(self.now);
        if !is_registry {
            return;
        }
        if let Some(sample) = recovery.samples.last_mut() {
            sample.longest_tick_gap = sample.longest_tick_gap.max(gap);
        }
        if recovery.plan.mended.silence {
            for peer in processor.introduced.clone() {
                if self.is_linked_with_proxy(proc, peer) {
                    self.give_now(proc, Input::Said(peer, PeerMessage::KeepAlive));
                }
            }
        }
    }

    /// Whether a connection of a process leads to a proxy that runs.
    fn is_linked_with_proxy(&self, proc: Proc, peer: Peer) -> bool {
        let Some(&(connection, end)) = self.procs[proc].lines.get(&peer) else { return false };
        let (other, life, _) = self.net.connections[connection].ends[1 - end];
        self.places.role(other) == Role::Proxy && self.runs(other, life)
    }

    /// Requests that a process had not answered get no answer.
    fn fail_requests_at(&mut self, proc: Proc) {
        let Some(recovery) = &self.recovery else { return };
        let lost = recovery.clients.open_at(proc);
        lost.into_iter().for_each(|id| self.request_ends(id, Outcome::Failed, None));
    }
}
