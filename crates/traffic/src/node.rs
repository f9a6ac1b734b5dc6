//! The node owns the load balancer's controller (crate `mountbend`) and all open requests. All events are passed
//! to the controller here, and all its actions are performed here.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::rc::{Rc, Weak};
use std::time::Duration;

use mountbend::control::Controller;
use mountbend::interface::{
    Action, Class, Ended, Event, Micros, NewRequest, Outcome, Reason, RequestId, ServerId, Stage,
};
use mountbend::memory::Memory;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::clock::Clock;
use crate::ports::{Answer, AttemptEvents, Core, MemberSource, QuotaStore, Traffic, Upstream};

/// Attempts are given up this long before the client's deadline (in microseconds), so that the answer still
/// reaches it.
pub const STOP_BEFORE: Micros = 25_000;
/// A request without an answer this long before the client's deadline (in microseconds) has failed.
pub const FAIL_BEFORE: Micros = 15_000;

/// One attempt at a request; its number is its index in `OpenRequest::attempts`.
struct Attempt {
    server: ServerId,
    /// When it was started, by the node's clock.
    sent: Micros,
    /// Its task, while the attempt is in progress.
    task: Option<AbortHandle>,
    /// The controller has cancelled it in favour of another attempt, which has not been written yet.
    superseded: bool,
}

/// A request without a final answer, or with an attempt in progress.
struct OpenRequest<T: Traffic> {
    /// Receives the final answer; none once it was sent or the client has disconnected.
    answer: Option<oneshot::Sender<Answer<T>>>,
    /// The controller's final answer, used if no superseded attempt yields a better one.
    fallback: Option<Answer<T>>,
    /// The request that is forwarded.
    forward: Rc<T::Forward>,
    /// When attempts are given up, by the node's clock.
    stop: Micros,
    attempts: Vec<Attempt>,
    /// Maximum number of attempts.
    try_limit: usize,
}

/// The peers of a node.
pub struct Peers<T: Traffic> {
    /// The app servers.
    pub upstream: Rc<dyn Upstream<T>>,
    /// The store of the shared counters.
    pub store: Rc<dyn QuotaStore>,
    /// The source of the list of app servers.
    pub members: Rc<dyn MemberSource>,
}

/// One edge node.
pub struct Node<T: Traffic> {
    /// The node's clock.
    pub clock: Rc<Clock>,
    peers: Peers<T>,
    /// Maximum number of attempts for requests without a limit of their own.
    try_limit: Cell<usize>,
    controller: RefCell<Controller>,
    open: RefCell<BTreeMap<RequestId, OpenRequest<T>>>,
    /// Events that the controller has not handled yet.
    events: RefCell<VecDeque<Event>>,
    /// Whether an event is being handled; further ones are queued.
    busy: Cell<bool>,
    /// Whether a graceful shutdown has begun.
    stopping: Cell<bool>,
    /// The node itself, for tasks that outlive a call.
    me: Weak<Node<T>>,
}

/// The request's id belongs to a request that is still in progress.
pub struct Duplicate;

/// A client that waits for a request's answer. Dropping it reports that the client is gone.
pub struct WaitingClient<T: Traffic> {
    node: Rc<Node<T>>,
    id: RequestId,
}

impl<T: Traffic> Drop for WaitingClient<T> {
    fn drop(&mut self) {
        self.node.client_gone(&self.id);
    }
}

impl<T: Traffic> Node<T> {
    /// A node without state, connected to the peers that `join` creates. They must not report events before
    /// this has returned.
    pub fn new(
        controller: Controller,
        try_limit: u32,
        clock: Rc<Clock>,
        join: impl FnOnce(Weak<dyn AttemptEvents<T>>) -> Peers<T>,
    ) -> Rc<Self> {
        Rc::new_cyclic(|me: &Weak<Node<T>>| Node {
            clock,
            peers: join(me.clone()),
            try_limit: Cell::new(try_limit.max(1) as usize),
            controller: RefCell::new(controller),
            open: RefCell::default(),
            events: RefCell::default(),
            busy: Cell::new(false),
            stopping: Cell::new(false),
            me: me.clone(),
        })
    }

    /// What the controller has learned about the servers.
    pub fn memory(&self) -> Memory {
        self.controller.borrow().memory()
    }

    /// Whether a graceful shutdown has begun.
    pub fn stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Begins a graceful shutdown.
    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Applies new settings: the complete table of classes, and the maximum number of attempts per request.
    /// Open requests keep the old ones.
    pub fn retune(&self, classes: Vec<Class>, try_limit: u32) {
        self.try_limit.set(try_limit.max(1) as usize);
        self.event(Event::SettingsChanged { classes, try_limit });
    }

    /// Whether a client waits for an answer.
    pub fn has_waiting_clients(&self) -> bool {
        self.open.borrow().values().any(|o| o.answer.is_some())
    }

    /// Whether no request is open.
    pub fn is_idle(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Ends a graceful shutdown: requests without an answer fail.
    pub fn fail_all(&self) {
        let unanswered: Vec<_> = self.open.borrow().keys().cloned().collect();
        for id in unanswered {
            let waiting_client = self.open.borrow_mut().get_mut(&id).and_then(|o| o.answer.take());
            if let Some(sender) = waiting_client {
                let _ = sender.send(Answer::Failed(Reason::TimedOut));
                self.event(Event::ClientGone { id });
            }
        }
    }

    fn perform(&self, action: Action) {
        match action {
            Action::Send { id, server, timeout } => self.send(id, server, timeout),
            Action::Refuse { id, retry_after, why } => self.finish(&id, Answer::Refused(retry_after, why)),
            Action::Fail { id, why } => self.finish(&id, Answer::Failed(why)),
            Action::Cancel { id, attempt } => {
                let forward = self.open.borrow().get(&id).map(|open| open.forward.clone());
                match forward {
                    // Danger: a request that may not be sent to another server must not be cancelled because
                    // of its server's silence.
                    Some(forward) if !self.peers.upstream.would_retry(&forward) => {}
                    Some(forward) if T::continues_when_cancelled(&forward) => {
                        self.supersede(&id, attempt as usize)
                    }
                    _ => self.end_attempt(&id, attempt as usize, Outcome::Cancelled, None),
                }
            }
            Action::Probe { server } => self.peers.upstream.probe(server),
            Action::Count { name, amount, keep_for } => self.peers.store.add(name, amount, keep_for),
            Action::Timer { id, after } => {
                let node = self.me.clone();
                tokio::task::spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(after)).await;
                    if let Some(node) = node.upgrade() {
                        node.event(Event::Timer { id });
                    }
                });
            }
            Action::FetchList => self.peers.members.fetch(),
            // The list is watched from the start.
            Action::WatchList => {}
        }
    }

    /// Accepts a request; the receiver yields its answer. Danger: the id of a request in progress must not be
    /// accepted again, or a request that must not run twice would.
    pub fn take(
        &self,
        request: NewRequest,
        forward: T::Forward,
    ) -> Result<oneshot::Receiver<Answer<T>>, Duplicate> {
        let (sender, receiver) = oneshot::channel();
        let stop = T::stop(&forward, request.due);
        let try_limit = T::attempt_limit(&forward).unwrap_or(self.try_limit.get());
        let open = OpenRequest {
            answer: Some(sender),
            fallback: None,
            forward: Rc::new(forward),
            stop,
            attempts: Vec::new(),
            try_limit,
        };
        match self.open.borrow_mut().entry(request.id.clone()) {
            std::collections::btree_map::Entry::Occupied(_) => return Err(Duplicate),
            std::collections::btree_map::Entry::Vacant(vacant) => vacant.insert(open),
        };
        self.event(Event::Request(request));
        Ok(receiver)
    }

    /// When a request with the deadline `due` has to be answered.
    pub fn answer_deadline(&self, due: Micros) -> Instant {
        self.clock.instant(due.saturating_sub(FAIL_BEFORE))
    }

    /// No client waits for this request any more: the client has disconnected, or was just sent a failure.
    pub fn client_gone(&self, id: &RequestId) {
        let waiting_client = self.open.borrow_mut().get_mut(id).and_then(|o| o.answer.take());
        if waiting_client.is_some() {
            self.event(Event::ClientGone { id: id.clone() });
            self.abort_attempts(id);
        }
    }

    /// Aborts the attempts at a request without a waiting client, if its kind of traffic wants that.
    fn abort_attempts(&self, id: &RequestId) {
        let running: Vec<_> = match self.open.borrow().get(id) {
            Some(open) if T::aborts_without_client(&open.forward) => {
                let tasks = open.attempts.iter().enumerate();
                tasks.filter_map(|(number, attempt)| Some((number, attempt.task.clone()?))).collect()
            }
            _ => return,
        };
        for (number, task) in running {
            // Closes the connection, which notifies the server.
            task.abort();
            self.end_attempt(id, number, Outcome::NotSent, None);
        }
    }

    /// A guard for a client that waits for this request's answer; when dropped, the client no longer waits.
    /// No effect once the request is answered.
    pub fn waiting_client(self: &Rc<Self>, id: RequestId) -> WaitingClient<T> {
        WaitingClient { node: self.clone(), id }
    }

    /// Reports an attempt to the controller as cancelled, but lets it continue until another one is written.
    /// Danger: there may be no connection for another one, and the server that was given up may be working on
    /// the request.
    fn supersede(&self, id: &RequestId, number: usize) {
        let mut requests = self.open.borrow_mut();
        let Some(open) = requests.get_mut(id) else { return };
        let finished = open.answer.is_none();
        let Some(attempt) = open.attempts.get_mut(number).filter(|a| a.task.is_some()) else { return };
        if std::mem::replace(&mut attempt.superseded, true) {
            return;
        }
        let (server, spent) = (attempt.server, self.clock.now().saturating_sub(attempt.sent));
        drop(requests);
        self.report_end(id, number, server, Outcome::Cancelled, spent, finished);
    }

    /// Handles the end of a superseded attempt, which was already reported to the controller as cancelled; if there is a
    /// `body`, it has served the request.
    fn end_superseded(&self, id: &RequestId, body: Option<T::Buffered>) {
        let mut requests = self.open.borrow_mut();
        let Some(open) = requests.get_mut(id) else { return };
        let served = body.is_some();
        let is_running = open.attempts.iter().any(|attempt| attempt.task.is_some());
        let answer = match body {
            Some(body) => Some(Answer::Served(body)),
            None if !is_running => open.fallback.take(),
            None => None,
        };
        let waiting = answer.is_some().then(|| open.answer.take()).flatten();
        drop(requests);
        if let (Some(sender), Some(answer)) = (waiting, answer) {
            let _ = sender.send(answer);
        }
        if served {
            self.event(Event::ClientGone { id: id.clone() });
            self.abort_attempts(id);
        }
        self.remove_if_done(id);
    }

    fn report_end(
        &self,
        id: &RequestId,
        number: usize,
        server: ServerId,
        outcome: Outcome,
        spent: Micros,
        finished: bool,
    ) {
        let (id, attempt) = (id.clone(), number as u32);
        self.event(Event::Ended(Ended { id, attempt, server, outcome, spent, finished, final_units: None }));
    }

    fn finish(&self, id: &RequestId, answer: Answer<T>) {
        if let Some(open) = self.open.borrow_mut().get_mut(id) {
            if open.attempts.iter().any(|attempt| attempt.superseded && attempt.task.is_some()) {
                open.fallback = Some(answer);
                return;
            }
        }
        if let Some(sender) = self.open.borrow_mut().get_mut(id).and_then(|o| o.answer.take()) {
            // If the client has just disconnected, its connection reports that.
            let _ = sender.send(answer);
        }
        self.remove_if_done(id);
    }

    /// Removes a request once it is answered and no attempt is in progress.
    fn remove_if_done(&self, id: &RequestId) {
        let mut open = self.open.borrow_mut();
        if open.get(id).is_some_and(|o| o.answer.is_none() && o.attempts.iter().all(|a| a.task.is_none())) {
            open.remove(id);
        }
    }

    fn send(&self, id: RequestId, server: ServerId, timeout: Micros) {
        let now = self.clock.now();
        let mut requests = self.open.borrow_mut();
        let Some(open) = requests.get_mut(&id) else {
            eprintln!("pinerelay: an attempt was ordered for a request that is no longer open");
            return;
        };
        let number = open.attempts.len();
        let mut attempt = Attempt { server, sent: now, task: None, superseded: false };
        if open.answer.is_none() || number >= open.try_limit || now >= open.stop {
            open.attempts.push(attempt);
            let finished = open.answer.is_none();
            drop(requests);
            return self.report_end(&id, number, server, Outcome::NotSent, 0, finished);
        }
        let stop = if timeout > 0 { open.stop.min(now + timeout) } else { open.stop };
        let task = self.peers.upstream.attempt(id, number, server, open.forward.clone(), stop);
        attempt.task = Some(task);
        open.attempts.push(attempt);
    }

    /// Handles the end of an attempt; a second end of the same attempt is ignored. If there is a `body`, it
    /// has served the request.
    fn end_attempt(&self, id: &RequestId, number: usize, outcome: Outcome, body: Option<T::Buffered>) {
        let mut requests = self.open.borrow_mut();
        let Some(open) = requests.get_mut(id) else { return };
        let Some(attempt) = open.attempts.get_mut(number) else { return };
        let Some(task) = attempt.task.take() else { return };
        if outcome == Outcome::Cancelled {
            // Also closes the connection, which notifies the app server.
            task.abort();
        }
        if attempt.superseded {
            drop(requests);
            return self.end_superseded(id, body);
        }
        let (server, spent) = (attempt.server, self.clock.now().saturating_sub(attempt.sent));
        if let Some(body) = body {
            if let Some(sender) = open.answer.take() {
                let _ = sender.send(Answer::Served(body));
            }
        }
        let finished = open.answer.is_none();
        drop(requests);
        self.report_end(id, number, server, outcome, spent, finished);
    }
}

impl<T: Traffic> Core for Node<T> {
    /// Passes an event to the controller and performs the actions that it returns. Danger: actions may cause
    /// further events at once. These are queued until all actions of the earlier event are done, as the
    /// controller must not be called recursively.
    fn event(&self, event: Event) {
        self.events.borrow_mut().push_back(event);
        if self.busy.replace(true) {
            return;
        }
        let mut actions = Vec::new();
        loop {
            let Some(event) = self.events.borrow_mut().pop_front() else { break };
            let ended_id = match &event {
                Event::Ended(e) => Some(e.id.clone()),
                Event::ClientGone { id } => Some(id.clone()),
                _ => None,
            };
            self.controller.borrow_mut().handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.perform(action);
            }
            if let Some(id) = ended_id {
                self.remove_if_done(&id);
            }
        }
        self.busy.set(false);
    }

    fn upload_progressed(&self, id: &RequestId, number: usize, complete: bool) {
        let stage = if complete { Stage::Sent } else { Stage::Sending };
        self.event(Event::Streaming { id: id.clone(), attempt: number as u32, stage });
    }

    fn avoids(&self, server: ServerId) -> bool {
        self.controller.borrow().avoids(server)
    }
}

impl<T: Traffic> AttemptEvents<T> for Node<T> {
    fn attempt_ended(&self, id: &RequestId, number: usize, outcome: Outcome, body: Option<T::Buffered>) {
        self.end_attempt(id, number, outcome, body);
    }

    fn attempt_about_to_write(&self, id: &RequestId, number: usize) {
        let mut requests = self.open.borrow_mut();
        let Some(open) = requests.get_mut(id) else { return };
        let earlier = open.attempts.iter_mut().take(number).filter(|attempt| attempt.superseded);
        // Closes the connections, which notifies the servers.
        earlier.filter_map(|attempt| attempt.task.take()).for_each(|task| task.abort());
    }

    fn answer_started(&self, id: &RequestId, number: usize, answer: T::Streamed) -> bool {
        let client = self.open.borrow_mut().get_mut(id).and_then(|o| o.answer.take());
        let sent = client.is_some_and(|sender| sender.send(Answer::Streamed(answer)).is_ok());
        self.event(Event::Streaming { id: id.clone(), attempt: number as u32, stage: Stage::Answering });
        sent
    }
}
