//! Drives the lifecycle of a process: feeds events to its state machine and performs the actions that it returns.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use mountbend::interface::Event as ControlEvent;
use pinerelay_succession::claims::enough;
use pinerelay_succession::places::{connections_to_close, Side};
use pinerelay_succession::process::{Action, Event, Others, Phase, Process, Timer};
use pinerelay_succession::record::Standing;
use pinerelay_traffic::acceptor::Acceptor;
use tokio::signal::unix::Signal;
use tokio::time::{sleep_until, Instant};

use crate::net::budget::Budget;
use crate::net::clients::listen::Gate;
use crate::net::clients::Clients;
use crate::net::node::Node;
use crate::net::operators::Ops;
use crate::net::ports::{Core, QuotaStore};
use crate::net::servers::discovery::Discovery;
use crate::net::servers::members::Members;
use crate::net::servers::Servers;
use crate::net::succession::learned;
use crate::net::succession::records::{OwnState, SyncResult, SYNC_INTERVAL};
use crate::net::succession::shared::Shared;
use crate::net::watchdog::Watchdog;
use crate::operator::Stop;

/// How long a node waits for its first list before it reports that it is ready, which is due within 6 s.
const LIST_WAIT: Duration = Duration::from_secs(1);
/// How long it waits for descriptors that the previous process still holds.
const DESCRIPTOR_WAIT: Duration = Duration::from_secs(4);
/// Danger: SIGKILL may follow SIGTERM after the longest deadline (3 s at most) and 0.7 s, and loses all unanswered
/// requests. Requests still open at the longest deadline and this margin are failed; the process then stays for at most
/// the grace below, to finish writing answers.
const DEADLINE_MARGIN: Duration = Duration::from_millis(300);
const WRITE_GRACE: Duration = Duration::from_millis(200);
/// How long clients may still use idle connections after SIGTERM where the listening socket is handed on. Danger: if
/// they were closed at once, a close could cross a request; if kept for longer, the last requests would have too little
/// time for their answers.
const IDLE_USE_AFTER_STOP: Duration = Duration::from_millis(1_000);
/// How often a process that starts or stops checks its progress.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(10);
/// Interval between syncs with the other processes while this one has next to no descriptors, and in all of them during
/// an upgrade: clients move to the new process within one answer, and the descriptors have to follow.
const SHORT_SYNC_INTERVAL: Duration = Duration::from_millis(20);
/// How long the short interval applies after a process has started, begun to serve or begun to leave. A leaving process
/// is killed sooner than this; one that cannot end must not keep the others busy.
const UPGRADE_PERIOD: Duration = Duration::from_secs(4);
/// After this long without a change, processes that serve side by side are not in the middle of an upgrade.
const SETTLED_AFTER: Duration = Duration::from_secs(1);
/// Interval between syncs of a process that shares nothing.
const ALONE_SYNC_INTERVAL: Duration = Duration::from_secs(3_600);
/// How long the ready answer is delayed at most until the other processes can read that this one serves.
const MAX_READY_DELAY: Duration = Duration::from_millis(300);
/// How often the learned state is written for the next process.
const LEARNED_INTERVAL: Duration = Duration::from_secs(1);

/// The components that the lifecycle controls.
pub struct Parts {
    /// The node.
    pub node: Rc<Node>,
    /// Accepts and serves clients' connections.
    pub acceptor: Rc<Acceptor<Clients>>,
    /// Whether clients are accepted.
    pub gate: Rc<Gate>,
    /// Serves operators.
    pub ops: Rc<Ops>,
    /// Counts the descriptors in use.
    pub budget: Rc<Budget>,
    /// Connections to app servers.
    pub servers: Rc<Servers>,
    /// The list of app servers.
    pub members: Rc<Members>,
    /// The source of that list.
    pub discovery: Rc<Discovery>,
    /// The quota store, to which leases are returned.
    pub store: Rc<dyn QuotaStore>,
    /// State shared by the processes of this address.
    pub shared: Rc<Shared>,
    /// Detects that this process was stalled.
    pub watchdog: Rc<Watchdog>,
    /// Class names by number, for the next process.
    pub names: Rc<RefCell<Vec<String>>>,
}

/// Durations of the lifecycle's timers, and limits.
pub struct Times<'a> {
    /// The operator's settings for the planned stop.
    pub planned: &'a Stop,
    /// The longest deadline of any class; read when the stop begins.
    pub longest: &'a dyn Fn() -> Duration,
    /// Descriptors that all processes of this address may hold.
    pub limit: usize,
    /// The listening socket is handed on.
    pub handed_on: bool,
}

impl Times<'_> {
    fn of(&self, timer: Timer) -> Duration {
        match timer {
            Timer::List => LIST_WAIT,
            Timer::Descriptors => DESCRIPTOR_WAIT,
            Timer::Idle => self.planned.idle_after.0,
            Timer::AcceptEnd => self.planned.deaf_after.0,
            Timer::LastUse => IDLE_USE_AFTER_STOP,
            Timer::Patience => (self.longest)().min(self.planned.patience.0) + DEADLINE_MARGIN,
            Timer::Grace => WRITE_GRACE,
        }
    }
}

/// Runs the lifecycle from the first sync, whose result is `first_sync`, to the end of the process. `terminate` and
/// `interrupt` begin the stop.
pub async fn run_lifecycle(
    parts: Parts,
    times: Times<'_>,
    first_sync: SyncResult,
    mut terminate: Signal,
    mut interrupt: Signal,
) {
    let now = Instant::now();
    let mut run = Lifecycle {
        parts,
        times,
        timers: Vec::new(),
        ended: false,
        learned_written_at: now,
        next_sync: now,
        standings: (Standing::Coming, Others::default()),
        standings_since: now,
        pending_ready: None,
    };
    let (has_descriptors, others) = run.apply_sync(first_sync, Standing::Coming);
    let mut actions = Vec::new();
    let mut process = Process::start(run.times.handed_on, has_descriptors, others, &mut actions);
    run.perform(&mut actions);
    while !run.ended {
        let next_timer = run.timers.iter().map(|&(at, _)| at).min();
        let pending_ready = run.pending_ready.as_ref().map(|pending_ready| pending_ready.publish_by);
        let next_check = run.checks_progress(&process).then(|| Instant::now() + PROGRESS_INTERVAL);
        let wake = [next_timer, pending_ready, next_check]
            .into_iter()
            .flatten()
            .chain([run.next_sync])
            .min()
            .unwrap_or(run.next_sync);
        tokio::select! {
            _ = terminate.recv() => process.on(Event::Terminate, &mut actions),
            _ = interrupt.recv() => process.on(Event::Terminate, &mut actions),
            synced = run.parts.shared.next_sync_result() => {
                let (has_descriptors, others) = run.apply_sync(synced, standing(process.phase()));
                process.on(Event::EnoughDescriptors(has_descriptors), &mut actions);
                process.on(Event::Others(others), &mut actions);
            }
            () = sleep_until(wake) => {}
        }
        let now = Instant::now();
        if run.parts.discovery.has_complete_list() {
            process.on(Event::ListReceived, &mut actions);
        }
        while let Some(timer) = run.take_expired(now) {
            process.on(Event::TimerExpired(timer), &mut actions);
        }
        run.perform(&mut actions);
        if process.looks() {
            process.on(run.open_work(), &mut actions);
            run.perform(&mut actions);
        }
        run.sync_if_due(standing(process.phase()));
    }
}

fn standing(phase: Phase) -> Standing {
    match phase {
        Phase::Starting => Standing::Coming,
        Phase::Serving => Standing::Serves,
        Phase::Leaving | Phase::Draining | Phase::Failing | Phase::Gone => Standing::Leaves,
    }
}

/// A change to ready that is published once the other processes can read it.
struct PendingReady {
    /// A sync that writes it has been requested.
    sync_requested: bool,
    /// When it is published in any case: the disk may be stalled.
    publish_by: Instant,
}

struct Lifecycle<'a> {
    parts: Parts,
    times: Times<'a>,
    timers: Vec<(Instant, Timer)>,
    ended: bool,
    /// When the learned state was last passed on for writing.
    learned_written_at: Instant,
    next_sync: Instant,
    /// The last known standings of this process and the others, and since when they hold.
    standings: (Standing, Others),
    standings_since: Instant,
    pending_ready: Option<PendingReady>,
}

impl Lifecycle<'_> {
    /// Whether the process's progress has to be checked again in a moment.
    fn checks_progress(&self, process: &Process) -> bool {
        process.looks() || process.phase() == Phase::Starting
    }

    fn sync_interval(&self) -> Duration {
        let upgrading =
            self.standings.1 != Others::default() && self.standings_since.elapsed() < UPGRADE_PERIOD;
        if self.parts.shared.is_alone() {
            ALONE_SYNC_INTERVAL
        } else if enough(self.parts.budget.allowed(), self.times.limit) && !upgrading {
            SYNC_INTERVAL
        } else {
            SHORT_SYNC_INTERVAL
        }
    }

    /// Removes and returns the expired timer that was due first.
    fn take_expired(&mut self, now: Instant) -> Option<Timer> {
        let (index, _) =
            self.timers.iter().enumerate().filter(|(_, t)| t.0 <= now).min_by_key(|(_, t)| t.0)?;
        Some(self.timers.remove(index).1)
    }

    /// The open work as an event. A connection that is being accepted counts as a client.
    fn open_work(&self) -> Event {
        let p = &self.parts;
        Event::Open {
            waited_for: p.node.has_waiting_clients(),
            clients: p.budget.clients() + usize::from(!p.gate.is_acknowledged()),
            settled: p.store.settled(),
        }
    }

    /// Requests a sync with the other processes if one is due and none is under way, and publishes an overdue ready.
    fn sync_if_due(&mut self, standing: Standing) {
        let now = Instant::now();
        if self.pending_ready.as_ref().is_some_and(|pending_ready| now >= pending_ready.publish_by) {
            self.pending_ready = None;
            self.parts.ops.set_ready(true);
        }
        if now < self.next_sync {
            return;
        }
        let p = &self.parts;
        let due = self.learned_written_at.elapsed() >= LEARNED_INTERVAL && standing == Standing::Serves;
        let learned = due.then(|| learned::export(p.names.borrow().clone(), p.node.memory()));
        if p.shared.request_sync(OwnState { standing, used: p.budget.holds(0).all }, learned) {
            if due {
                self.learned_written_at = now;
            }
            self.pending_ready.iter_mut().for_each(|pending_ready| pending_ready.sync_requested = true);
        }
        self.next_sync = now + self.sync_interval();
    }

    /// Applies the result of a sync: limits this process to its claim and closes idle connections that another process
    /// needs. Returns whether there are descriptors to serve with, and the standings of the other processes.
    fn apply_sync(&mut self, synced: SyncResult, standing: Standing) -> (bool, Others) {
        if self.pending_ready.as_ref().is_some_and(|pending_ready| pending_ready.sync_requested) {
            self.pending_ready = None;
            self.parts.ops.set_ready(true);
        }
        let p = &self.parts;
        if synced.exclusions_changed {
            p.members.refresh_exclusions();
        }
        if self.standings != (standing, synced.others) {
            self.standings = (standing, synced.others);
            self.standings_since = Instant::now();
            self.next_sync = self.standings_since;
        }
        let leaves = standing == Standing::Leaves;
        p.watchdog.records_read(synced.others != Others::default());
        p.budget.resize(synced.claim);
        p.acceptor.set_shared(synced.others.serving > 0);
        let settled = self.standings_since.elapsed() >= SETTLED_AFTER;
        let side = Side { standing, others: synced.others, settled };
        let holds = p.budget.holds(p.servers.idle());
        let surplus = connections_to_close(self.times.limit, synced.claim, holds, side);
        let _servers_closed = (0..surplus.servers).take_while(|_| p.servers.close_an_idle()).count();
        // A client's connection closes a moment after the request to close it.
        let _clients_closing = (0..surplus.clients).take_while(|_| p.budget.close_an_idle_client()).count();
        (leaves || enough(synced.claim, self.times.limit) && !synced.awaits_repair, synced.others)
    }

    fn perform(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            let p = &self.parts;
            match action {
                Action::Accept => p.gate.open(),
                Action::StopAccepting => p.gate.shut(),
                Action::Ready(true) => {
                    // Danger: once this process is ready the previous one is stopped, and looks for its successor.
                    self.pending_ready = Some(PendingReady {
                        sync_requested: false,
                        publish_by: Instant::now() + MAX_READY_DELAY,
                    });
                    self.next_sync = Instant::now();
                }
                Action::Ready(false) => {
                    p.node.stop();
                    p.ops.set_ready(false);
                    self.pending_ready = None;
                    // Sync at once: the others must know that it stops, and it must know its successor.
                    self.next_sync = Instant::now();
                }
                Action::CloseIdle => p.acceptor.close_idle(),
                Action::ReturnLeases => p.node.event(ControlEvent::Stopping),
                Action::FailAll => p.node.fail_all(),
                Action::Start(timer) => self.timers.push((Instant::now() + self.times.of(timer), timer)),
                Action::End => self.ended = true,
            }
        }
    }
}
