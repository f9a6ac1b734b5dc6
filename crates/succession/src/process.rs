//! The lifecycle of a process: when it accepts clients, what it does on a request to stop, and when it may exit.
//!
//! A process starts alone or beside another one, serves, and leaves. It must not stop accepting while no other process accepts,
//! accept more clients than it has descriptors for while another process could accept them, or exit before accepted requests are
//! answered.

/// The number of other processes in each state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Others {
    /// Processes that don't serve yet, or whose state is unknown.
    pub coming: usize,
    /// Processes that serve.
    pub serving: usize,
    /// Processes that are stopping.
    pub leaving: usize,
}

/// The phase of a process, with its obligations to clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Phase {
    /// It has not reported that it is ready. No obligation, unless it accepts already.
    Starting,
    /// It serves. It must answer each request.
    Serving,
    /// It was requested to stop; each open connection may be used once more. It must answer each request, and accept connections
    /// if no other process does.
    Leaving,
    /// Idle connections are being closed and leases returned. It must answer the requests that are open.
    Draining,
    /// Errors are being written as the answers to all open requests. It exits once nothing is open, or when [`Timer::Grace`] expires.
    Failing,
    /// It has exited.
    Gone,
}

/// The timers of a process. The caller defines their durations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Timer {
    /// Waiting for the first list of app servers.
    List,
    /// Waiting for descriptors that another process still uses.
    Descriptors,
    /// Leaving without a successor: from the request to stop until [`Action::CloseIdle`].
    Idle,
    /// Leaving without a successor: from the expiry of [`Timer::Idle`] until it stops accepting and drains.
    AcceptEnd,
    /// Leaving with a successor: waiting for the last requests on open connections.
    LastUse,
    /// From the request to stop (SIGTERM): until all open requests are answered with errors ([`Action::FailAll`]).
    Patience,
    /// From [`Action::FailAll`] until it exits even if something is still open.
    Grace,
}

/// An event for a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Event {
    /// The list of app servers has been received.
    ListReceived,
    /// Whether it has enough descriptors to serve.
    EnoughDescriptors(bool),
    /// The current states of the other processes.
    Others(Others),
    /// A timer has expired.
    TimerExpired(Timer),
    /// It is requested to stop.
    Terminate,
    /// The open work, reported repeatedly while it is draining or failing.
    Open {
        /// Whether any client waits for the answer to a request.
        waited_for: bool,
        /// The number of connected clients.
        clients: usize,
        /// Whether no call to the shared quota counters is in flight.
        settled: bool,
    },
}

/// An action for a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Action {
    /// Start to accept connections.
    Accept,
    /// Stop accepting. If the listening socket is its own, accept the connections in its backlog first.
    StopAccepting,
    /// Report whether it is ready to serve clients.
    Ready(bool),
    /// Close each client connection as soon as that loses no request; see [`crate::connection`].
    CloseIdle,
    /// Return all leases.
    ReturnLeases,
    /// Answer all open requests with an error.
    FailAll,
    /// Start a timer.
    Start(Timer),
    /// Exit.
    End,
}

/// The state machine of one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Process {
    phase: Phase,
    /// Its listening socket is shared: the service manager keeps it open, so another process can accept what this one doesn't.
    shared_socket: bool,
    /// It accepts connections.
    accepts: bool,
    /// The list of app servers has been received, or [`Timer::List`] has expired.
    list_received: bool,
    /// Whether it has enough descriptors to serve; also set when [`Timer::Descriptors`] expires.
    has_descriptors: bool,
    others: Others,
    /// It has seen a serving successor while leaving.
    has_successor: bool,
}

impl Process {
    /// Starts a process. `has_descriptors` is whether it has enough descriptors to serve.
    pub fn start(
        shared_socket: bool,
        has_descriptors: bool,
        others: Others,
        out: &mut Vec<Action>,
    ) -> Process {
        let mut process = Process {
            phase: Phase::Starting,
            shared_socket,
            accepts: false,
            list_received: false,
            has_descriptors,
            others,
            has_successor: false,
        };
        out.extend([Action::Start(Timer::List), Action::Start(Timer::Descriptors)]);
        process.starting(out);
        process
    }

    /// Its phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether it accepts connections.
    pub fn accepts(&self) -> bool {
        self.accepts
    }

    /// Whether the caller must report the open work as [`Event::Open`].
    pub fn looks(&self) -> bool {
        matches!(self.phase, Phase::Draining | Phase::Failing)
    }

    /// Applies an event and appends the resulting actions to `out`.
    pub fn on(&mut self, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::ListReceived => self.list_received = true,
            Event::EnoughDescriptors(has_descriptors) => self.has_descriptors = has_descriptors,
            Event::Others(others) => self.others = others,
            Event::Terminate => return self.terminate(out),
            Event::TimerExpired(timer) => self.timer_expired(timer, out),
            Event::Open { waited_for, clients, settled } => {
                if self.looks() && !waited_for && clients == 0 && settled {
                    self.end(out);
                }
            }
        }
        match self.phase {
            Phase::Starting => self.starting(out),
            Phase::Leaving => self.leaving(out),
            _ => {}
        }
    }

    /// Beside another process it has only a few descriptors at first. It would have to reject clients that it accepted then, although
    /// the other process could have served them.
    fn starting(&mut self, out: &mut Vec<Action>) {
        let is_beside_serving = self.shared_socket && self.others.serving > 0;
        if !self.accepts && (self.has_descriptors || !is_beside_serving) {
            self.accept(out);
        }
        // When this process is ready, its predecessor is stopped. It waits for the list of app servers before, since the one that a
        // node starts with may be outdated.
        if self.accepts && self.list_received && self.has_descriptors {
            self.phase = Phase::Serving;
            out.push(Action::Ready(true));
        }
    }

    fn terminate(&mut self, out: &mut Vec<Action>) {
        if !matches!(self.phase, Phase::Starting | Phase::Serving) {
            return;
        }
        self.phase = Phase::Leaving;
        out.extend([Action::Ready(false), Action::Start(Timer::Patience)]);
        self.has_successor = self.shared_socket && self.others.serving > 0;
        if self.has_successor {
            // Connections accepted from now on would have to be closed soon; the successor can serve them.
            self.stop_accepting(out);
            out.push(Action::Start(Timer::LastUse));
        } else {
            out.push(Action::Start(Timer::Idle));
        }
    }

    /// The successor may have died since it was ready. Until this process drains, it accepts again in that case.
    fn leaving(&mut self, out: &mut Vec<Action>) {
        let successor_serves = self.shared_socket && self.others.serving > 0;
        if successor_serves && self.accepts {
            // The successor was not known yet when this process was requested to stop, or has started since.
            if !std::mem::replace(&mut self.has_successor, true) {
                out.push(Action::Start(Timer::LastUse));
            }
            self.stop_accepting(out);
        }
        if self.has_successor && !successor_serves && !self.accepts {
            self.accept(out);
        }
    }

    fn timer_expired(&mut self, timer: Timer, out: &mut Vec<Action>) {
        match (self.phase, timer) {
            (Phase::Starting, Timer::List) => self.list_received = true,
            // It has waited long enough: serving with few descriptors is better than not serving.
            (Phase::Starting, Timer::Descriptors) => self.has_descriptors = true,
            // The successor accepts new connections, and open ones may be used until `LastUse` expires.
            (Phase::Leaving, Timer::Idle | Timer::AcceptEnd) if self.has_successor => {}
            (Phase::Leaving, Timer::Idle) => out.extend([Action::CloseIdle, Action::Start(Timer::AcceptEnd)]),
            (Phase::Leaving, Timer::AcceptEnd | Timer::LastUse) => self.drain(out),
            (Phase::Leaving, Timer::Patience) => {
                self.drain(out);
                self.fail(out);
            }
            (Phase::Draining, Timer::Patience) => self.fail(out),
            (Phase::Failing, Timer::Grace) => self.end(out),
            _ => {}
        }
    }

    fn drain(&mut self, out: &mut Vec<Action>) {
        self.stop_accepting(out);
        self.phase = Phase::Draining;
        out.extend([Action::ReturnLeases, Action::CloseIdle]);
    }

    fn fail(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::Failing;
        out.extend([Action::FailAll, Action::Start(Timer::Grace)]);
    }

    fn end(&mut self, out: &mut Vec<Action>) {
        self.phase = Phase::Gone;
        out.push(Action::End);
    }

    fn accept(&mut self, out: &mut Vec<Action>) {
        self.accepts = true;
        out.push(Action::Accept);
    }

    fn stop_accepting(&mut self, out: &mut Vec<Action>) {
        if std::mem::take(&mut self.accepts) {
            out.push(Action::StopAccepting);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use Action::*;

    const ALONE: Others = Others { coming: 0, serving: 0, leaving: 0 };
    const BESIDE: Others = Others { coming: 0, serving: 1, leaving: 0 };

    fn started(shared_socket: bool, has_descriptors: bool, others: Others) -> (Process, Vec<Action>) {
        let mut out = Vec::new();
        let process = Process::start(shared_socket, has_descriptors, others, &mut out);
        (process, out)
    }

    fn on(process: &mut Process, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        process.on(event, &mut out);
        out
    }

    const NOTHING_OPEN: Event = Event::Open { waited_for: false, clients: 0, settled: true };

    #[test]
    fn alone_it_accepts_at_once_and_is_ready_once_it_has_the_list() {
        for shared_socket in [false, true] {
            let (mut process, out) = started(shared_socket, true, ALONE);
            assert_eq!(out, [Start(Timer::List), Start(Timer::Descriptors), Accept]);
            assert_eq!(on(&mut process, Event::TimerExpired(Timer::Descriptors)), []);
            assert_eq!(on(&mut process, Event::ListReceived), [Ready(true)]);
            assert_eq!(on(&mut process, Event::TimerExpired(Timer::List)), []);
        }
    }

    #[test]
    fn beside_another_process_it_accepts_only_with_enough_descriptors() {
        let (mut process, _) = started(true, false, BESIDE);
        assert!(!process.accepts());
        assert_eq!(on(&mut process, Event::ListReceived), []);
        assert_eq!(on(&mut process, Event::EnoughDescriptors(true)), [Accept, Ready(true)]);
        // If the other process dies instead, this one accepts without enough descriptors.
        let (mut process, _) = started(true, false, BESIDE);
        assert_eq!(on(&mut process, Event::Others(ALONE)), [Accept]);
        assert_eq!(on(&mut process, Event::ListReceived), []);
        assert_eq!(on(&mut process, Event::TimerExpired(Timer::Descriptors)), [Ready(true)]);
    }

    #[test]
    fn with_a_successor_it_stops_accepting_at_once() {
        let (mut process, _) = started(true, true, ALONE);
        on(&mut process, Event::ListReceived);
        on(&mut process, Event::Others(BESIDE));
        let out = on(&mut process, Event::Terminate);
        assert_eq!(out, [Ready(false), Start(Timer::Patience), StopAccepting, Start(Timer::LastUse)]);
        assert_eq!(on(&mut process, NOTHING_OPEN), [], "open connections may be used for a while");
        assert_eq!(on(&mut process, Event::TimerExpired(Timer::LastUse)), [ReturnLeases, CloseIdle]);
        assert_eq!(on(&mut process, Event::Open { waited_for: false, clients: 1, settled: true }), []);
        assert_eq!(on(&mut process, NOTHING_OPEN), [End]);
    }

    #[test]
    fn it_accepts_again_if_its_successor_dies_before_it_drains() {
        let (mut process, _) = started(true, true, BESIDE);
        on(&mut process, Event::ListReceived);
        on(&mut process, Event::Terminate);
        assert!(!process.accepts());
        assert_eq!(on(&mut process, Event::Others(ALONE)), [Accept]);
        assert_eq!(on(&mut process, Event::Others(BESIDE)), [StopAccepting]);
        assert_eq!(on(&mut process, Event::Others(ALONE)), [Accept]);
        assert_eq!(
            on(&mut process, Event::TimerExpired(Timer::LastUse)),
            [StopAccepting, ReturnLeases, CloseIdle]
        );
        assert_eq!(on(&mut process, Event::Others(ALONE)), []);
    }

    #[test]
    fn a_successor_that_becomes_known_late_takes_over_too() {
        let (mut process, _) = started(true, true, ALONE);
        on(&mut process, Event::ListReceived);
        assert_eq!(on(&mut process, Event::Terminate).last(), Some(&Start(Timer::Idle)));
        assert_eq!(on(&mut process, Event::Others(BESIDE)), [Start(Timer::LastUse), StopAccepting]);
        assert_eq!(
            on(&mut process, Event::TimerExpired(Timer::Idle)),
            [],
            "open connections may be used for a while"
        );
        assert_eq!(
            on(&mut process, Event::Others(ALONE)),
            [Accept],
            "if the successor dies, this process accepts again"
        );
        assert_eq!(
            on(&mut process, Event::TimerExpired(Timer::LastUse)),
            [StopAccepting, ReturnLeases, CloseIdle]
        );
    }

    #[test]
    fn without_a_successor_it_accepts_for_a_while_and_then_drains() {
        for shared_socket in [false, true] {
            let (mut process, _) = started(shared_socket, true, ALONE);
            on(&mut process, Event::ListReceived);
            assert_eq!(
                on(&mut process, Event::Terminate),
                [Ready(false), Start(Timer::Patience), Start(Timer::Idle)]
            );
            assert_eq!(on(&mut process, Event::Terminate), [], "a repeated request to stop changes nothing");
            assert_eq!(
                on(&mut process, Event::TimerExpired(Timer::Idle)),
                [CloseIdle, Start(Timer::AcceptEnd)]
            );
            assert_eq!(
                on(&mut process, Event::TimerExpired(Timer::AcceptEnd)),
                [StopAccepting, ReturnLeases, CloseIdle]
            );
            let busy = Event::Open { waited_for: true, clients: 1, settled: true };
            assert_eq!(on(&mut process, busy), []);
            assert_eq!(
                on(&mut process, Event::TimerExpired(Timer::Patience)),
                [FailAll, Start(Timer::Grace)]
            );
            assert_eq!(on(&mut process, busy), []);
            assert_eq!(on(&mut process, Event::TimerExpired(Timer::Grace)), [End]);
        }
    }

    #[test]
    fn the_patience_timer_also_fails_requests_before_draining() {
        let (mut process, _) = started(false, true, ALONE);
        on(&mut process, Event::Terminate);
        let out = on(&mut process, Event::TimerExpired(Timer::Patience));
        assert_eq!(out, [StopAccepting, ReturnLeases, CloseIdle, FailAll, Start(Timer::Grace)]);
    }
}
