//! The life of a process carried out: what happens is told to its state machine, and what that says is done.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use mountbend::interface::Event as Told;
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
use crate::net::succession::records::{Looked, Mine, LOOKS};
use crate::net::succession::shared::Shared;
use crate::net::watchdog::Watchdog;
use crate::operator::Stop;

/// How long a node waits for its first list before it says that it is ready. It is due within 6 s.
const LIST_WAIT: Duration = Duration::from_secs(1);
/// How long it waits for the descriptors that the process before still holds.
const ROOM_WAIT: Duration = Duration::from_secs(4);
/// Danger: SIGKILL may come as soon as the longest deadline (3 s at most) and 0.7 s after SIGTERM, and what it
/// finds unanswered is lost. What is open this long after SIGTERM has failed; a node stays no longer than the
/// rest, which is for answers still being written.
const PATIENCE_OVER: Duration = Duration::from_millis(300);
const LAST_GRACE: Duration = Duration::from_millis(200);
/// How long clients of a socket that is handed on may use their idle connections after SIGTERM. Danger: closed at once,
/// each close may cross a request; kept for longer, what comes last has too little time for its answer.
const LAST_REQUESTS: Duration = Duration::from_millis(1_000);
/// How often a node that starts or ends looks how far it is.
const SHORT_LOOKS: Duration = Duration::from_millis(10);
/// How often a node looks what the other processes tell that has next to no descriptors yet, and each while one follows
/// another: clients move within one answer, and their places have to move with them.
const SOON: Duration = Duration::from_millis(20);
/// That is for so long after one of them has come, served or left. A process that leaves is killed sooner; one that can't
/// end must not keep others busy.
const MOVES: Duration = Duration::from_secs(4);
/// Who has served beside another for so long was not started to be followed at once.
const SETTLED: Duration = Duration::from_secs(1);
/// When a node that is alone looks again.
const NEVER: Duration = Duration::from_secs(3_600);
/// How long a yes waits at most until the other processes can know of it.
const YES_WAIT: Duration = Duration::from_millis(300);
/// How often what was learned is left for the next process.
const REMEMBER: Duration = Duration::from_secs(1);

/// What takes part in a process's life.
pub struct Parts {
    /// The node.
    pub node: Rc<Node>,
    /// Its clients' side.
    pub front: Rc<Acceptor<Clients>>,
    /// Whether they are accepted.
    pub gate: Rc<Gate>,
    /// The operators' side.
    pub ops: Rc<Ops>,
    /// What is open.
    pub budget: Rc<Budget>,
    /// The app servers' side.
    pub servers: Rc<Servers>,
    /// The app servers as told.
    pub members: Rc<Members>,
    /// Who tells of them.
    pub discovery: Rc<Discovery>,
    /// Where leases go back to.
    pub store: Rc<dyn QuotaStore>,
    /// What the processes of this address tell each other.
    pub shared: Rc<Shared>,
    /// Who notices that it has stood still.
    pub watchdog: Rc<Watchdog>,
    /// The classes' names, for the next process.
    pub names: Rc<RefCell<Vec<String>>>,
}

/// How long its timers run.
pub struct Times<'a> {
    /// The operator's stop.
    pub planned: &'a Stop,
    /// The longest deadline, as it is when the stop begins.
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
            Timer::Descriptors => ROOM_WAIT,
            Timer::Idle => self.planned.idle_after.0,
            Timer::AcceptEnd => self.planned.deaf_after.0,
            Timer::LastUse => LAST_REQUESTS,
            Timer::Patience => (self.longest)().min(self.planned.patience.0) + PATIENCE_OVER,
            Timer::Grace => LAST_GRACE,
        }
    }
}

/// Lives from the first look, `found` at its start, to the end. `terminate` and `interrupt` tell it to stop.
pub async fn live(
    parts: Parts,
    times: Times<'_>,
    found: Looked,
    mut terminate: Signal,
    mut interrupt: Signal,
) {
    let now = Instant::now();
    let mut run = Run {
        parts,
        times,
        timers: Vec::new(),
        ended: false,
        kept: now,
        next_look: now,
        seen: (Standing::Coming, Others::default()),
        changed: now,
        yes: None,
    };
    let (room, others) = run.found(found, Standing::Coming);
    let mut actions = Vec::new();
    let mut process = Process::start(run.times.handed_on, room, others, &mut actions);
    run.perform(&mut actions);
    while !run.ended {
        let first = run.timers.iter().map(|&(at, _)| at).min();
        let yes = run.yes.as_ref().map(|yes| yes.latest);
        let soon = run.quick(&process).then(|| Instant::now() + SHORT_LOOKS);
        let wake =
            [first, yes, soon].into_iter().flatten().chain([run.next_look]).min().unwrap_or(run.next_look);
        tokio::select! {
            _ = terminate.recv() => process.on(Event::Terminate, &mut actions),
            _ = interrupt.recv() => process.on(Event::Terminate, &mut actions),
            looked = run.parts.shared.looked() => {
                let (room, others) = run.found(looked, standing(process.phase()));
                process.on(Event::EnoughDescriptors(room), &mut actions);
                process.on(Event::Others(others), &mut actions);
            }
            () = sleep_until(wake) => {}
        }
        let now = Instant::now();
        if run.parts.discovery.heard() {
            process.on(Event::ListReceived, &mut actions);
        }
        while let Some(timer) = run.over(now) {
            process.on(Event::TimerExpired(timer), &mut actions);
        }
        run.perform(&mut actions);
        if process.looks() {
            process.on(run.open(), &mut actions);
            run.perform(&mut actions);
        }
        run.look(standing(process.phase()));
    }
}

fn standing(phase: Phase) -> Standing {
    match phase {
        Phase::Starting => Standing::Coming,
        Phase::Serving => Standing::Serves,
        Phase::Leaving | Phase::Draining | Phase::Failing | Phase::Gone => Standing::Leaves,
    }
}

/// A yes that is said once the other processes can know of it.
struct Yes {
    /// A look that tells them has been asked for.
    asked: bool,
    /// It is said by then in any case: the disk may stand still.
    latest: Instant,
}

struct Run<'a> {
    parts: Parts,
    times: Times<'a>,
    timers: Vec<(Instant, Timer)>,
    ended: bool,
    /// When what was learned was kept last.
    kept: Instant,
    next_look: Instant,
    /// Where this process and the others were last, and since when.
    seen: (Standing, Others),
    changed: Instant,
    yes: Option<Yes>,
}

impl Run<'_> {
    /// Whether it is to look again in a moment.
    fn quick(&self, process: &Process) -> bool {
        process.looks() || process.phase() == Phase::Starting
    }

    fn pause(&self) -> Duration {
        let moves = self.seen.1 != Others::default() && self.changed.elapsed() < MOVES;
        if self.parts.shared.is_alone() {
            NEVER
        } else if enough(self.parts.budget.allowed(), self.times.limit) && !moves {
            LOOKS
        } else {
            SOON
        }
    }

    /// The first timer that has run out.
    fn over(&mut self, now: Instant) -> Option<Timer> {
        let (place, _) =
            self.timers.iter().enumerate().filter(|(_, t)| t.0 <= now).min_by_key(|(_, t)| t.0)?;
        Some(self.timers.remove(place).1)
    }

    /// What is open. A connection that is being accepted is one.
    fn open(&self) -> Event {
        let p = &self.parts;
        Event::Open {
            waited_for: p.node.has_waiting_clients(),
            clients: p.budget.clients() + usize::from(!p.gate.is_acknowledged()),
            settled: p.store.settled(),
        }
    }

    /// Has the other processes told of this one and looked at, if it is time and none is under way.
    fn look(&mut self, standing: Standing) {
        let now = Instant::now();
        if self.yes.as_ref().is_some_and(|yes| now >= yes.latest) {
            self.yes = None;
            self.parts.ops.ready(true);
        }
        if now < self.next_look {
            return;
        }
        let p = &self.parts;
        let due = self.kept.elapsed() >= REMEMBER && standing == Standing::Serves;
        let learned = due.then(|| learned::leave(p.names.borrow().clone(), p.node.memory()));
        if p.shared.look(Mine { standing, used: p.budget.holds(0).all }, learned) {
            if due {
                self.kept = now;
            }
            self.yes.iter_mut().for_each(|yes| yes.asked = true);
        }
        self.next_look = now + self.pause();
    }

    /// Takes in what a look has found: whether there are descriptors to serve with, and where the other processes are in
    /// their lives. Holds no more than the claim allows, and gives back what another needs.
    fn found(&mut self, looked: Looked, standing: Standing) -> (bool, Others) {
        if self.yes.as_ref().is_some_and(|yes| yes.asked) {
            self.yes = None;
            self.parts.ops.ready(true);
        }
        let p = &self.parts;
        if looked.held {
            p.members.reconsider();
        }
        if self.seen != (standing, looked.others) {
            self.seen = (standing, looked.others);
            self.changed = Instant::now();
            self.next_look = self.changed;
        }
        let leaves = standing == Standing::Leaves;
        p.watchdog.records_read(looked.others != Others::default());
        p.budget.resize(looked.claim);
        p.front.set_shared(looked.others.serving > 0);
        let settled = self.changed.elapsed() >= SETTLED;
        let side = Side { standing, others: looked.others, settled };
        let holds = p.budget.holds(p.servers.idle());
        let back = connections_to_close(self.times.limit, looked.claim, holds, side);
        let _closed = (0..back.servers).take_while(|_| p.servers.close_an_idle()).count();
        // A client's connection ends a moment after it is told to.
        let _told = (0..back.clients).take_while(|_| p.budget.close_an_idle_client()).count();
        (leaves || enough(looked.claim, self.times.limit) && !looked.waits, looked.others)
    }

    fn perform(&mut self, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            let p = &self.parts;
            match action {
                Action::Accept => p.gate.open(),
                Action::StopAccepting => p.gate.shut(),
                Action::Ready(true) => {
                    // Danger: upon the yes the process before is stopped, and looks who follows it.
                    self.yes = Some(Yes { asked: false, latest: Instant::now() + YES_WAIT });
                    self.next_look = Instant::now();
                }
                Action::Ready(false) => {
                    p.node.stop();
                    p.ops.ready(false);
                    self.yes = None;
                    // The others are to hear of it at once, and it is to hear who follows it.
                    self.next_look = Instant::now();
                }
                Action::CloseIdle => p.front.close_idle(),
                Action::ReturnLeases => p.node.event(Told::Stopping),
                Action::FailAll => p.node.fail_all(),
                Action::Start(timer) => self.timers.push((Instant::now() + self.times.of(timer), timer)),
                Action::End => self.ended = true,
            }
        }
    }
}
