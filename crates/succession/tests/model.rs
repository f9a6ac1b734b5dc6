//! Model checking of upgrades: all interleavings, to a given depth, of the state machines of this package with failing and corrupted
//! record files, operators' calls, and clients whose requests may stay unread for any time.
//!
//! Each guard is also disabled in turn; the search must then find the violation that the guard prevents.

use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

use pinerelay_succession::claims::enough;
use pinerelay_succession::connection::{self, Connection, Stage, Why};
use pinerelay_succession::held::{Call, HeldOut};
use pinerelay_succession::peer::Peer;
use pinerelay_succession::process::{Action as ProcessAction, Event, Phase, Process, Timer};
use pinerelay_succession::record::{Reading, Standing};
use pinerelay_succession::view::{view, Found, View};
use stateright::{Checker, HasDiscoveries, Model, Property};

/// The limit of descriptors of all processes together.
const TOTAL_DESCRIPTORS: usize = 16;
/// The descriptors that they may claim.
const LIMIT: usize = TOTAL_DESCRIPTORS - TOTAL_DESCRIPTORS / 8;
/// The app server that operators exclude and include.
const SERVER: &str = "s";

/// A guard that is disabled on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Without {
    Nothing,
    /// Connections are closed without a check for unread data.
    UnreadCheck,
    /// A connection with an incomplete head counts as idle.
    HeadWait,
    /// A starting process accepts even without enough descriptors.
    DescriptorWait,
    /// A leaving process doesn't accept again after its successor has died.
    AcceptAgain,
    /// A leaving process exits although clients are connected.
    ClientCheck,
    /// A call is executed without reading the others' records.
    ReadBeforeCalls,
    /// The marks that were read last win, regardless of their stamps.
    Stamps,
    /// A call is confirmed even if it was not written.
    WriteBeforeConfirm,
    /// An inclusion stays in effect although it could not be written.
    InclusionRollback,
    /// The record of an ended process is deleted even if its marks have not been written to the own record.
    WriteBeforeDelete,
    /// The second copy of a damaged record is not read.
    SecondCopy,
    /// Two processes read the records and claim concurrently.
    ClaimLock,
    /// A claim grows although it could not be written.
    WrittenClaimBound,
    /// A process with an unreadable record counts as claiming nothing.
    UnreadableClaims,
}

const REQUESTS_ANSWERED: &str = "accepted requests are answered";
const EXCLUSIONS_RESPECTED: &str = "exclusions are respected";
const LIMIT_KEPT: &str = "the descriptor limit is kept";
const SOME_ACCEPTS: &str = "some process accepts";
const READY_HAS_DESCRIPTORS: &str = "a ready process has descriptors";
const LEAVING_ENDS: &str = "a leaving process ends";

/// Each guard, the search that needs it, and the property that is violated without it.
const GUARDS: [(Without, &str, &str); 14] = [
    (Without::UnreadCheck, CONNECTIONS, REQUESTS_ANSWERED),
    (Without::HeadWait, CONNECTIONS, REQUESTS_ANSWERED),
    (Without::DescriptorWait, CONNECTIONS, READY_HAS_DESCRIPTORS),
    (Without::AcceptAgain, CRASH, SOME_ACCEPTS),
    (Without::ClientCheck, CONNECTIONS, REQUESTS_ANSWERED),
    (Without::ReadBeforeCalls, CALLS, EXCLUSIONS_RESPECTED),
    (Without::Stamps, CALLS, EXCLUSIONS_RESPECTED),
    (Without::WriteBeforeConfirm, CALLS_AND_CRASH, EXCLUSIONS_RESPECTED),
    (Without::InclusionRollback, CALLS, EXCLUSIONS_RESPECTED),
    (Without::WriteBeforeDelete, NESTED_UPGRADE, EXCLUSIONS_RESPECTED),
    (Without::SecondCopy, CALLS_AND_CRASH, EXCLUSIONS_RESPECTED),
    (Without::ClaimLock, NESTED_UPGRADE, LIMIT_KEPT),
    (Without::WrittenClaimBound, NESTED_UPGRADE, LIMIT_KEPT),
    (Without::UnreadableClaims, CALLS, LIMIT_KEPT),
];

/// The files of one process: its record and the second copy.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Default)]
struct Disk {
    record: Option<Vec<u8>>,
    copy: Option<Vec<u8>>,
}

#[derive(Debug, Clone, PartialEq)]
struct ProcessState {
    lifecycle: Process,
    peer: Peer,
    timers: BTreeSet<Timer>,
    /// It has read the records since another process last changed its phase, started or crashed.
    is_up_to_date: bool,
    /// It has read the records since an exclusion was confirmed, so it must respect that.
    must_exclude: bool,
    /// By process: how many times in a row its record could not be read, counting only reads with one by that process in between.
    unread: [u32; 3],
    has_read_since: [bool; 3],
    /// The view that it has read but not yet claimed by; only set without the claim lock.
    pending: Option<View>,
    /// It has reported that it is ready.
    ready: bool,
    /// Its timer for descriptors has expired.
    room_timer_expired: bool,
}

impl Eq for ProcessState {}

impl Hash for ProcessState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.lifecycle.hash(state);
        self.peer.held().hash(state);
        self.peer.record().encode().hash(state);
        self.timers.hash(state);
        (
            self.is_up_to_date,
            self.must_exclude,
            self.unread,
            self.has_read_since,
            self.ready,
            self.room_timer_expired,
        )
            .hash(state);
        self.pending.as_ref().map(|view| (&view.claims, &view.held, view.others)).hash(state);
    }
}

/// The state of the request that a client has sent on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Sent {
    Nothing,
    /// An incomplete head, which has been read.
    PartialHead,
    /// A complete request, or the rest of one, that has not been read.
    Unread,
    /// Read and being processed.
    InWork,
    /// Lost, since the process has closed the connection.
    Lost,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Client {
    /// The process that accepted it; `None` while it is in the backlog.
    accepted_by: Option<usize>,
    lifecycle: Connection,
    sent: Sent,
    closed: bool,
    /// The number of requests that it may still send.
    requests_left: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct World {
    procs: [Option<ProcessState>; 3],
    disk: [Disk; 3],
    clients: Vec<Client>,
    /// The last confirmed call: whether it excluded the app server.
    confirmed: Option<bool>,
    /// The number of processes started so far.
    started: usize,
    calls: u8,
    crashes: u8,
    failed_writes: u8,
    corruptions: u8,
    ready_without_descriptors: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Step {
    Start(usize, WriteOutcome),
    ReadRecords(usize, WriteOutcome),
    Claim(usize),
    Expire(usize, Timer),
    Terminate(usize),
    Crash(usize),
    Corrupt(usize),
    Call(usize, bool, WriteOutcome),
    Accept(usize, usize),
    Read(usize),
    Send(usize, Sent),
    Answer(usize),
    ReportOpen(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum WriteOutcome {
    Success,
    Failure,
}

/// The model: the number of processes, clients and faults, and the disabled guard.
#[derive(Debug, Clone)]
struct Upgrade {
    without: Without,
    processes: usize,
    clients: usize,
    calls: u8,
    crashes: u8,
    failed_writes: u8,
    corruptions: u8,
}

impl Upgrade {
    fn is_disabled(&self, without: Without) -> bool {
        self.without == without
    }

    /// Reads all other processes' records as process `me`.
    fn read_records(&self, world: &mut World, me: usize) -> View {
        let mut found = Vec::new();
        for place in (0..3).filter(|&place| place != me) {
            let disk = &world.disk[place];
            let live = world.procs[place].is_some();
            let record = disk.record.as_deref().map(Reading::of);
            let whole = record.as_ref().is_some_and(|r| r.flaw.is_none());
            let copy = (!whole && !self.is_disabled(Without::SecondCopy))
                .then(|| disk.copy.as_deref().map(Reading::of))
                .flatten();
            let known = record.as_ref().is_some_and(|r| r.life.is_some());
            let Some(mine) = world.procs[me].as_mut() else { continue };
            let had_read = std::mem::take(&mut mine.has_read_since[place]);
            let counts = mine.unread[place] == 0 || had_read;
            mine.unread[place] =
                if live && !known { (mine.unread[place] + u32::from(counts)).min(4) } else { 0 };
            found.push(Found { place, live, record: Ok(record), copy, unread: mine.unread[place] });
        }
        let mut view = view(LIMIT, &found);
        if self.is_disabled(Without::UnreadableClaims) {
            let unread = |place: &usize| world.procs[me].as_ref().is_some_and(|p| p.unread[*place] > 0);
            let count = (0..3).filter(unread).count();
            view.claims.truncate(view.claims.len().saturating_sub(count));
        }
        view
    }

    fn merge_view(&self, world: &mut World, me: usize, view: &View) {
        let excluded = world.confirmed == Some(true);
        let Some(proc) = world.procs[me].as_mut() else { return };
        // It has read the records since the last call, so it must know of it.
        proc.must_exclude |= excluded;
        if self.is_disabled(Without::Stamps) {
            // The marks that were read last win, even if their writer had not read newer ones.
            let mut theirs = HeldOut::default();
            theirs.merge(&view.held);
            if theirs.marks().next().is_some() {
                let mut fresh = Peer::new(1);
                fresh.take(&View { held: theirs, ..View::default() });
                proc.peer = fresh;
                return;
            }
        }
        proc.peer.take(view);
    }

    fn write(&self, world: &mut World, me: usize, writes: WriteOutcome) -> bool {
        let Some(proc) = &world.procs[me] else { return false };
        if writes == WriteOutcome::Success {
            let record = proc.peer.record();
            world.disk[me] = Disk { record: Some(record.encode()), copy: Some(record.encode_held()) };
        }
        writes == WriteOutcome::Success
    }

    fn used(world: &World, me: usize) -> usize {
        1 + world.clients.iter().filter(|c| c.accepted_by == Some(me) && !c.closed).count()
    }

    fn claim(&self, world: &mut World, me: usize, view: &View, writes: WriteOutcome) {
        let used = Upgrade::used(world, me);
        let Some(proc) = world.procs[me].as_mut() else { return };
        let standing = match proc.lifecycle.phase() {
            Phase::Starting => Standing::Coming,
            Phase::Serving => Standing::Serves,
            _ => Standing::Leaves,
        };
        proc.peer.claims(LIMIT, standing, used, view);
        let is_written = self.write(world, me, writes);
        if let Some(proc) = world.procs[me].as_mut() {
            proc.peer.written(is_written || self.is_disabled(Without::WrittenClaimBound), used, LIMIT, view);
        }
        if is_written || self.is_disabled(Without::WriteBeforeDelete) {
            view.spent.iter().for_each(|&place| world.disk[place] = Disk::default());
        }
    }

    fn finish_read(&self, world: &mut World, me: usize, view: &View) {
        let room = {
            let Some(proc) = world.procs[me].as_mut() else { return };
            proc.is_up_to_date = true;
            let waits = proc.unread.iter().any(|&n| (1..3).contains(&n));
            enough(proc.peer.descriptors(), LIMIT) && !waits || self.is_disabled(Without::DescriptorWait)
        };
        world.procs.iter_mut().flatten().for_each(|other| other.has_read_since[me] = true);
        self.apply_event(world, me, Event::EnoughDescriptors(room));
        self.apply_event(world, me, Event::Others(view.others));
        self.apply_event(world, me, Event::ListReceived);
    }

    fn apply_event(&self, world: &mut World, me: usize, event: Event) {
        let mut out = Vec::new();
        let Some(proc) = world.procs[me].as_mut() else { return };
        let before = proc.lifecycle.phase();
        proc.lifecycle.on(event, &mut out);
        self.perform(world, me, out);
        if let Some(proc) = world.procs[me].as_mut().filter(|proc| proc.lifecycle.phase() != Phase::Starting)
        {
            proc.timers.remove(&Timer::Descriptors);
        }
        if world.procs[me].as_ref().is_none_or(|proc| proc.lifecycle.phase() != before) {
            world.procs.iter_mut().enumerate().filter(|(n, _)| *n != me).for_each(|(_, p)| {
                if let Some(p) = p {
                    p.is_up_to_date = false;
                }
            });
        }
    }

    fn perform(&self, world: &mut World, me: usize, out: Vec<ProcessAction>) {
        for action in out {
            let Some(proc) = world.procs[me].as_mut() else { return };
            match action {
                ProcessAction::Accept
                    if self.is_disabled(Without::AcceptAgain) && proc.lifecycle.phase() == Phase::Leaving => {
                }
                ProcessAction::Accept | ProcessAction::StopAccepting | ProcessAction::ReturnLeases => {}
                ProcessAction::Ready(ready) => {
                    proc.ready = ready;
                    let has_too_few = !enough(proc.peer.descriptors(), LIMIT) && !proc.room_timer_expired;
                    world.ready_without_descriptors |= ready && has_too_few;
                }
                // The model always provides the list of app servers, so this timer has no effect.
                ProcessAction::Start(Timer::List) => {}
                ProcessAction::Start(timer) => drop(proc.timers.insert(timer)),
                ProcessAction::CloseIdle => self.close_idle(world, me, Why::Stop),
                ProcessAction::FailAll => {
                    for client in world.clients.iter_mut().filter(|c| c.accepted_by == Some(me)) {
                        if client.sent == Sent::InWork {
                            answer(client);
                        }
                    }
                }
                ProcessAction::End => {
                    close_connections(world, me);
                    world.procs[me] = None;
                }
            }
        }
    }

    fn close_idle(&self, world: &mut World, me: usize, why: Why) {
        for client in world.clients.iter_mut().filter(|c| c.accepted_by == Some(me) && !c.closed) {
            if self.is_disabled(Without::HeadWait) && client.lifecycle.stage() == Stage::Head {
                close(client);
                continue;
            }
            let mut action = client.lifecycle.on(connection::Event::Told(why));
            if action == Some(connection::Action::Look) {
                let unread = client.sent == Sent::Unread && !self.is_disabled(Without::UnreadCheck);
                action = client.lifecycle.on(connection::Event::Looked { unread });
            }
            if matches!(action, Some(connection::Action::Shut | connection::Action::Cut)) {
                close(client);
            }
        }
    }

    fn accepts(&self, proc: &ProcessState) -> bool {
        let second =
            proc.lifecycle.phase() == Phase::Leaving && !proc.ready && self.is_disabled(Without::AcceptAgain);
        proc.lifecycle.accepts() && !second
    }
}

fn close(client: &mut Client) {
    client.closed = true;
    if client.sent != Sent::Nothing && client.sent != Sent::PartialHead {
        client.sent = Sent::Lost;
    }
}

fn answer(client: &mut Client) {
    let last = client.lifecycle.told();
    client.lifecycle.on(connection::Event::Answered { ahead: false });
    client.sent = Sent::Nothing;
    if last {
        client.closed = true;
    }
}

/// Closes all connections of a process that has exited; their unanswered requests are lost.
fn close_connections(world: &mut World, me: usize) {
    world.clients.iter_mut().filter(|c| c.accepted_by == Some(me) && !c.closed).for_each(close);
}

fn running(world: &World) -> impl Iterator<Item = &ProcessState> {
    world.procs.iter().flatten()
}

impl Model for Upgrade {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let client = Client {
            accepted_by: None,
            lifecycle: Connection::default(),
            sent: Sent::Nothing,
            closed: false,
            requests_left: 2,
        };
        let mut world = World {
            procs: [None, None, None],
            disk: Default::default(),
            clients: vec![client; self.clients],
            confirmed: None,
            started: 0,
            calls: self.calls,
            crashes: self.crashes,
            failed_writes: self.failed_writes,
            corruptions: self.corruptions,
            ready_without_descriptors: false,
        };
        // One process serves already.
        self.start(&mut world, 0, WriteOutcome::Success);
        let view = self.read_records(&mut world, 0);
        self.finish_read(&mut world, 0, &view);
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let both = |bad: u8| {
            [Some(WriteOutcome::Success), (bad > 0).then_some(WriteOutcome::Failure)].into_iter().flatten()
        };
        for (me, proc) in world.procs.iter().enumerate().take(self.processes) {
            let Some(proc) = proc else {
                if world.started == me {
                    steps.extend(both(world.failed_writes).map(|writes| Step::Start(me, writes)));
                }
                continue;
            };
            if proc.pending.is_some() {
                steps.push(Step::Claim(me));
            } else {
                steps.extend(both(world.failed_writes).map(|writes| Step::ReadRecords(me, writes)));
            }
            // Timers expire in any order, except that `Grace` doesn't expire while a client's request is incomplete or unanswered.
            let unread = world
                .clients
                .iter()
                .any(|c| c.accepted_by == Some(me) && !c.closed && c.sent != Sent::Nothing);
            steps.extend(
                proc.timers.iter().filter(|&&t| t != Timer::Grace || !unread).map(|&t| Step::Expire(me, t)),
            );
            // The service manager stops a process once another one is ready.
            let next = running(world).filter(|p| p.ready).count() > usize::from(proc.ready);
            if matches!(proc.lifecycle.phase(), Phase::Starting | Phase::Serving) && next {
                steps.push(Step::Terminate(me));
            }
            if world.crashes > 0 {
                steps.push(Step::Crash(me));
            }
            if world.calls > 0 {
                for out in [true, false] {
                    steps.extend(both(world.failed_writes).map(|writes| Step::Call(me, out, writes)));
                }
            }
            if proc.lifecycle.looks() {
                steps.push(Step::ReportOpen(me));
            }
            if self.accepts(proc) && Upgrade::used(world, me) < proc.peer.descriptors() {
                let waiting = world.clients.iter().position(|c| c.accepted_by.is_none());
                steps.extend(waiting.map(|client| Step::Accept(me, client)));
            }
        }
        if world.corruptions > 0 {
            let there = |place: &usize| world.disk[*place].record.is_some();
            steps.extend((0..3).filter(there).map(Step::Corrupt));
        }
        for (number, client) in world.clients.iter().enumerate().filter(|(_, c)| !c.closed) {
            match client.sent {
                Sent::Nothing if client.requests_left > 0 => {
                    steps.push(Step::Send(number, Sent::Unread));
                    if client.accepted_by.is_some() {
                        steps.push(Step::Send(number, Sent::PartialHead));
                    }
                }
                Sent::PartialHead => steps.push(Step::Send(number, Sent::Unread)),
                Sent::Unread if client.accepted_by.is_some() => steps.push(Step::Read(number)),
                Sent::InWork => steps.push(Step::Answer(number)),
                _ => {}
            }
        }
    }

    fn next_state(&self, last: &World, step: Step) -> Option<World> {
        let mut world = last.clone();
        match step {
            Step::Start(me, writes) => {
                world.failed_writes -= u8::from(writes == WriteOutcome::Failure);
                self.start(&mut world, me, writes);
            }
            Step::ReadRecords(me, writes) => {
                world.failed_writes -= u8::from(writes == WriteOutcome::Failure);
                let view = self.read_records(&mut world, me);
                self.merge_view(&mut world, me, &view);
                if self.is_disabled(Without::ClaimLock) {
                    world.procs[me].as_mut()?.pending = Some(view);
                } else {
                    self.claim(&mut world, me, &view, writes);
                    self.finish_read(&mut world, me, &view);
                }
            }
            Step::Claim(me) => {
                let view = world.procs[me].as_mut()?.pending.take()?;
                self.claim(&mut world, me, &view, WriteOutcome::Success);
                self.finish_read(&mut world, me, &view);
            }
            Step::Expire(me, timer) => {
                let proc = world.procs[me].as_mut()?;
                proc.timers.remove(&timer);
                proc.room_timer_expired |= timer == Timer::Descriptors;
                self.apply_event(&mut world, me, Event::TimerExpired(timer));
            }
            Step::Terminate(me) => {
                self.apply_event(&mut world, me, Event::Terminate);
                // It writes its new phase at once.
                let view = self.read_records(&mut world, me);
                self.merge_view(&mut world, me, &view);
                self.claim(&mut world, me, &view, WriteOutcome::Success);
                self.finish_read(&mut world, me, &view);
            }
            Step::Crash(me) => {
                world.crashes -= 1;
                // Requests that are lost by a crash are not a violation.
                world.clients.iter_mut().filter(|c| c.accepted_by == Some(me)).for_each(|c| {
                    (c.closed, c.sent) = (true, Sent::Nothing);
                });
                world.procs[me] = None;
                world.procs.iter_mut().flatten().for_each(|p| p.is_up_to_date = false);
            }
            Step::Corrupt(place) => {
                world.corruptions -= 1;
                let record = world.disk[place].record.as_mut()?;
                *record = b"spoilt".to_vec();
            }
            Step::Call(me, out, writes) => {
                world.calls -= 1;
                world.failed_writes -= u8::from(writes == WriteOutcome::Failure);
                if !self.is_disabled(Without::ReadBeforeCalls) {
                    let view = self.read_records(&mut world, me);
                    self.merge_view(&mut world, me, &view);
                }
                let call = if out { Call::Exclude } else { Call::Include };
                let is_written = writes == WriteOutcome::Success;
                let keep_inclusion = self.is_disabled(Without::InclusionRollback) && !out;
                let written = world.procs[me].as_mut()?.peer.call(SERVER, call, 1, |_| {
                    match is_written || keep_inclusion {
                        true => Ok(()),
                        false => Err(()),
                    }
                });
                self.write(&mut world, me, writes);
                let is_confirmed =
                    is_written && written.is_ok() || self.is_disabled(Without::WriteBeforeConfirm);
                if is_confirmed {
                    world.confirmed = Some(out);
                    for (n, proc) in world.procs.iter_mut().enumerate() {
                        if let Some(proc) = proc {
                            proc.must_exclude = out && (n == me || proc.must_exclude);
                        }
                    }
                }
            }
            Step::Accept(me, client) => {
                world.clients[client].accepted_by = Some(me);
            }
            Step::Send(number, what) => {
                let client = &mut world.clients[number];
                if client.sent != Sent::PartialHead {
                    client.requests_left -= 1;
                }
                if what == Sent::PartialHead {
                    client.lifecycle.on(connection::Event::Came);
                }
                client.sent = what;
            }
            Step::Read(number) => {
                let client = &mut world.clients[number];
                client.lifecycle.on(connection::Event::Came);
                client.lifecycle.on(connection::Event::Taken);
                client.sent = Sent::InWork;
            }
            Step::Answer(number) => answer(&mut world.clients[number]),
            Step::ReportOpen(me) => {
                let open = |c: &&Client| c.accepted_by == Some(me) && !c.closed;
                let clients = match self.is_disabled(Without::ClientCheck) {
                    true => 0,
                    false => world.clients.iter().filter(open).count(),
                };
                let waited_for = world.clients.iter().any(|c| open(&c) && c.sent == Sent::InWork);
                self.apply_event(&mut world, me, Event::Open { waited_for, clients, settled: true });
            }
        }
        (world != *last).then_some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(REQUESTS_ANSWERED, |_, world: &World| {
                world.clients.iter().all(|c| c.sent != Sent::Lost)
            }),
            Property::always(EXCLUSIONS_RESPECTED, |_, world: &World| {
                running(world).all(|p| !p.must_exclude || p.peer.held().holds(SERVER))
            }),
            Property::always(LIMIT_KEPT, |_, world: &World| {
                running(world).map(|p| p.peer.descriptors()).sum::<usize>() <= TOTAL_DESCRIPTORS
            }),
            Property::always(SOME_ACCEPTS, |model: &Upgrade, world: &World| {
                let all: Vec<_> = running(world).collect();
                let stays =
                    all.iter().any(|p| matches!(p.lifecycle.phase(), Phase::Serving | Phase::Leaving));
                !stays || !all.iter().all(|p| p.is_up_to_date) || all.iter().any(|p| model.accepts(p))
            }),
            Property::always(READY_HAS_DESCRIPTORS, |_, world: &World| !world.ready_without_descriptors),
            Property::always(LEAVING_ENDS, |_, world: &World| {
                running(world).all(|p| match p.lifecycle.phase() {
                    Phase::Leaving | Phase::Draining => p.timers.contains(&Timer::Patience),
                    Phase::Failing => p.timers.contains(&Timer::Grace),
                    _ => true,
                })
            }),
        ]
    }
}

impl Upgrade {
    fn start(&self, world: &mut World, me: usize, writes: WriteOutcome) {
        world.started += 1;
        let mut out = Vec::new();
        let lifecycle = Process::start(true, false, Default::default(), &mut Vec::new());
        world.procs[me] = Some(ProcessState {
            lifecycle,
            peer: Peer::new(me as u32 + 1),
            timers: BTreeSet::new(),
            is_up_to_date: true,
            must_exclude: false,
            unread: [0; 3],
            has_read_since: [false; 3],
            pending: None,
            ready: false,
            room_timer_expired: false,
        });
        let view = self.read_records(world, me);
        self.merge_view(world, me, &view);
        self.claim(world, me, &view, writes);
        let Some(proc) = world.procs[me].as_mut() else { return };
        let room = enough(proc.peer.descriptors(), LIMIT) || self.is_disabled(Without::DescriptorWait);
        proc.lifecycle = Process::start(true, room, view.others, &mut out);
        proc.must_exclude = world.confirmed == Some(true);
        self.perform(world, me, out);
        world.procs.iter_mut().enumerate().filter(|(n, _)| *n != me).for_each(|(_, p)| {
            if let Some(p) = p {
                p.is_up_to_date = false;
            }
        });
    }
}

const CONNECTIONS: &str = "two connections";
const CRASH: &str = "a crash";
const CALLS: &str = "calls, a failed write, a damaged record";
const CALLS_AND_CRASH: &str = "calls, a failed write, a damaged record and a crash";
const NESTED_UPGRADE: &str = "an upgrade in an upgrade";

/// The searches: name, model and depth, which is increased by `more` steps.
fn searches(without: Without, more: usize) -> [(&'static str, Upgrade, usize); 5] {
    let base =
        Upgrade { without, processes: 2, clients: 0, calls: 0, crashes: 0, failed_writes: 0, corruptions: 0 };
    let faults = Upgrade { calls: 3, failed_writes: 1, corruptions: 1, ..base.clone() };
    [
        (CONNECTIONS, Upgrade { clients: 2, ..base.clone() }, 10 + more),
        (CRASH, Upgrade { clients: 1, crashes: 1, ..base.clone() }, 11 + more),
        (CALLS, faults.clone(), 7 + more),
        (CALLS_AND_CRASH, Upgrade { crashes: 1, ..faults }, 6 + more),
        (NESTED_UPGRADE, Upgrade { processes: 3, calls: 1, crashes: 2, failed_writes: 1, ..base }, 7 + more),
    ]
}

/// Returns the violated properties, each with the steps that lead to the violation, and the number of states visited.
fn search(model: Upgrade, depth: usize) -> (Vec<(&'static str, String)>, usize) {
    let threads = std::thread::available_parallelism().map_or(2, |n| n.get().min(4));
    let any = HasDiscoveries::Any;
    let checker =
        model.checker().threads(threads).target_max_depth(depth).finish_when(any).spawn_bfs().join();
    let describe = |(name, path): (_, stateright::Path<_, _>)| (name, format!("{:?}", path.into_actions()));
    (checker.discoveries().into_iter().map(describe).collect(), checker.unique_state_count())
}

fn check_all_interleavings(more: usize) {
    for (what, model, depth) in searches(Without::Nothing, more) {
        let started_at = std::time::Instant::now();
        let (found, states) = search(model, depth);
        println!("{what}: {states} states to depth {depth} in {:?}", started_at.elapsed());
        assert_eq!(found, [], "{what}");
        assert!(states > 1_000, "{what}: {states} states");
    }
}

#[test]
fn all_interleavings_satisfy_the_properties() {
    check_all_interleavings(0);
}

/// Takes some minutes: `cargo test --release -p pinerelay-succession --test model -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn all_interleavings_satisfy_the_properties_deeper() {
    check_all_interleavings(4);
}

#[test]
fn disabling_any_guard_violates_its_property() {
    for (without, what, violated) in GUARDS {
        let all = searches(without, 1);
        let (_, model, depth) = all.into_iter().find(|(name, ..)| *name == what).expect("a search");
        let (found, states) = search(model, depth);
        println!("without {without:?}: {states} states: {found:?}");
        assert!(found.iter().any(|(name, _)| *name == violated), "without {without:?}: {found:?}");
    }
}
