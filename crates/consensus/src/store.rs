//! A store: its proposer and its acceptor, and the parts that keep its replica and its membership up to date.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use pinerelay_config_state::{hash, Item, ItemSet};

use crate::acceptor::{Acceptor, Learned};
use crate::failure_detector::FailureDetector;
use crate::message::{Ballot, Batch, Member, Membership, Message, StoreName};
use crate::persistent_state::{PersistentState, StateChange};
use crate::proposer::{Action, Proposer, Reply, Request, RequestId};
use crate::quorum::{quorum_size, QuorumHealth};
use crate::Micros;

mod lease;
mod messages;
mod replacement;

use lease::Lease;
pub use lease::LEASE_DURATION;
use replacement::Replacement;
pub use replacement::MEMBERSHIP_CHANGE_INTERVAL;

/// A store that has held a pending batch for this long proposes it again, so that it is committed; each
/// rank adds half of this.
const RECOVERY_DELAY: Micros = 500_000;
/// The id of the requests that a store issues itself; replies to them are dropped.
const INTERNAL_REQUEST_ID: RequestId = u64::MAX;

/// An event that a store has to handle.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Input {
    /// A message from another store has arrived.
    Message {
        /// The sender.
        from: StoreName,
        /// The message.
        message: Message,
    },
    /// A client has made a request.
    Request {
        /// Identifies the request; returned with the reply.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// The caller of a request has gone: the request is dropped unless it is already proposed.
    Cancel(RequestId),
    /// A write has completed or failed.
    WriteCompleted {
        /// The id of the write, from [`Output::Write`].
        id: u64,
        /// Whether the change is durable.
        succeeded: bool,
    },
    /// The periodic timer has fired.
    Tick,
}

/// An effect that the caller has to carry out for a store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Output {
    /// Send a message to another store.
    Send {
        /// The receiver.
        to: StoreName,
        /// The message.
        message: Message,
    },
    /// Write a change atomically, after all earlier writes. [`Input::WriteCompleted`] reports the result.
    Write {
        /// Identifies the write.
        id: u64,
        /// The change.
        change: StateChange,
    },
    /// Reply to a client's request.
    Reply {
        /// The id of the request.
        id: RequestId,
        /// The outcome of the request.
        reply: Reply,
    },
    /// Committed items that are new to this store; their write may still be in progress.
    Committed(Vec<Item>),
}

/// What the store does once a write is durable.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
enum AfterWrite {
    /// Send [`Message::Accepted`] to a proposer.
    SendAccepted { to: StoreName, ballot: Ballot },
    /// Send the promise to a proposer, or a rejection if a higher ballot has been promised, or the membership if a newer
    /// one is in force.
    SendPromise {
        to: StoreName,
        epoch: u64,
        ballot: Ballot,
        range_digests: Vec<u64>,
        promise_ceiling: Option<u64>,
    },
    /// Record in the acceptor that the change is durable.
    NotifyAcceptor(StateChange),
}

/// The configuration of a store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct StoreConfig {
    /// The store's name.
    pub name: StoreName,
    /// Differs between all processes that run the store.
    pub process_id: u64,
    /// The number of machines that may be lost at once.
    pub tolerated_losses: usize,
    /// Whether the system starts for the first time, so that an empty disk does not mean that data was lost.
    pub first_start: bool,
    /// The stores that are contacted at the start; at the first start of the system they are the voting stores.
    pub seeds: Vec<StoreName>,
}

/// The state machine of one store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Store {
    config: StoreConfig,
    membership: Membership,
    /// When this store learned of the membership.
    membership_since: Micros,
    acceptor: Acceptor,
    proposer: Proposer,
    failure_detector: FailureDetector,
    /// What to do after each write in progress, by the id of the write.
    after_write: BTreeMap<u64, AfterWrite>,
    /// The id of the last write.
    last_write: u64,
    /// Since when a batch has been pending, or when it was last proposed for recovery.
    pending_since: Option<Micros>,
    replacement: Replacement,
    /// When the next heartbeat is due.
    next_heartbeat: Micros,
    lease: Lease,
    /// Messages of the store to itself.
    loopback: VecDeque<Message>,
}

/// The effects that the handlers of one step collect.
struct Effects<'a> {
    actions: Vec<Action>,
    out: &'a mut Vec<Output>,
}

impl Store {
    /// Creates a store from the state on its disk (`None` if the disk is empty), and appends the first outputs.
    pub fn new(config: StoreConfig, state: Option<PersistentState>, out: &mut Vec<Output>) -> Store {
        let mut state = state.unwrap_or_default();
        let is_empty = state.incarnation.is_none();
        if is_empty && config.first_start {
            state.membership = Membership::first(config.seeds.clone());
        }
        let membership = state.membership.clone();
        let proposer_id = hash::hash_parts(&[config.name.as_bytes(), &config.process_id.to_le_bytes()]);
        let mut store = Store {
            proposer: Proposer::new(proposer_id, config.tolerated_losses),
            membership: Membership::default(),
            membership_since: 0,
            acceptor: Acceptor::new(state),
            failure_detector: FailureDetector::new(config.name.clone()),
            after_write: BTreeMap::new(),
            last_write: 0,
            pending_since: None,
            replacement: Replacement::default(),
            next_heartbeat: 0,
            lease: Lease::default(),
            loopback: VecDeque::new(),
            config,
        };
        store.adopt(0, membership);
        let change = store.initial_change(is_empty);
        store.write(change.clone(), Some(AfterWrite::NotifyAcceptor(change)), out);
        store
    }

    /// The change that is written before anything is promised: after a restart the store must know that it ran before.
    fn initial_change(&mut self, is_empty: bool) -> StateChange {
        let mut change = self.acceptor.raise_ceiling().unwrap_or_default();
        if is_empty {
            let StoreConfig { first_start, process_id, .. } = self.config;
            // Except at the first start of the system, an empty disk means that the disk was lost: the store is another
            // member from now on.
            change.incarnation = Some(if first_start { 0 } else { process_id.max(1) });
            // At the first start of the system, nothing was committed that it could lack.
            change.is_complete = first_start;
            change.membership = Some(self.membership.clone());
        }
        change
    }

    /// Puts a membership in force if it is newer than the present one; returns whether it was.
    fn adopt(&mut self, now: Micros, membership: Membership) -> bool {
        if membership.epoch <= self.membership.epoch {
            return false;
        }
        self.proposer.set_membership(membership.clone());
        self.membership = membership;
        self.membership_since = now;
        self.lease.forget_confirmations();
        self.replacement.reset();
        true
    }

    /// Puts a committed membership in force and writes it to disk, if it is newer than the present one.
    fn learn_membership(&mut self, now: Micros, membership: Membership, out: &mut Vec<Output>) {
        if self.adopt(now, membership) {
            let membership = Some(self.membership.clone());
            self.write(StateChange { membership, ..StateChange::default() }, None, out);
        }
    }

    /// The committed items.
    pub fn items(&self) -> &ItemSet {
        self.acceptor.items()
    }

    /// The newest membership that this store knows.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Whether this store votes: its name and disk incarnation are in the membership.
    pub fn is_voter(&self) -> bool {
        let incarnation = self.acceptor.incarnation();
        let is_self =
            |member: &Member| member.name == self.config.name && Some(member.incarnation) == incarnation;
        self.membership.members.iter().any(is_self)
    }

    /// Whether its replica is complete: a quorum has confirmed that it held all committed items, either in this process, or
    /// earlier on the disk with which the store votes. After the first start of the system no confirmation is needed.
    pub fn is_complete(&self) -> bool {
        self.lease.was_ever_held() || self.acceptor.is_complete() && self.is_voter()
    }

    /// Whether a quorum has confirmed that its replica held all committed items at a point within the last
    /// [`LEASE_DURATION`].
    pub fn is_current(&self, now: Micros) -> bool {
        self.lease_left(now) > 0
    }

    /// The time for which its replica still counts as current; 0 if it does not.
    pub fn lease_left(&self, now: Micros) -> Micros {
        self.lease.remaining(now)
    }

    /// Messages that arrived within the last `backlog` may not have been handled yet: other stores are not taken for failed because
    /// of them.
    pub fn set_backlog(&mut self, now: Micros, backlog: Micros) {
        self.failure_detector.set_backlog(now, backlog);
    }

    /// How many of the voting stores are alive, as seen by this store.
    pub fn quorum_health(&self, now: Micros) -> QuorumHealth {
        let members = &self.membership.members;
        let own_incarnation = self.acceptor.incarnation();
        let is_alive = |member: &&Member| {
            let is_self = member.name == self.config.name && own_incarnation == Some(member.incarnation);
            is_self || self.failure_detector.is_member_alive(now, member)
        };
        QuorumHealth {
            voters: members.len(),
            heard: members.iter().filter(is_alive).count(),
            needed: quorum_size(&self.membership, self.config.tolerated_losses),
        }
    }

    /// The stores that this store needs a connection to: the other voters and the seeds.
    pub fn peers(&self) -> Vec<StoreName> {
        let names = self.membership.names().into_iter().chain(self.config.seeds.clone());
        let names: BTreeSet<StoreName> = names.collect();
        names.into_iter().filter(|name| *name != self.config.name).collect()
    }

    /// Handles one input at the time `now` and appends the outputs.
    pub fn step(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let mut effects = Effects { actions: Vec::new(), out };
        match input {
            Input::Message { from, message } if message.is_plausible() => {
                self.receive(now, &from, message, &mut effects);
            }
            Input::Message { .. } => {}
            Input::Request { id, request } => self.submit_request(now, id, request, &mut effects),
            Input::Cancel(id) => self.proposer.cancel(id),
            Input::WriteCompleted { id, succeeded } => self.write_completed(id, succeeded, effects.out),
            Input::Tick => self.tick(now, &mut effects),
        }
        self.execute_actions(now, effects);
        self.pending_since = self.acceptor.has_pending().then(|| self.pending_since.unwrap_or(now));
    }

    /// Executes the proposer's actions and handles the messages of the store to itself, until none are left.
    fn execute_actions(&mut self, now: Micros, mut effects: Effects) {
        loop {
            for action in std::mem::take(&mut effects.actions) {
                match action {
                    Action::Send(to, message) => self.send(to, message, effects.out),
                    Action::Reply(INTERNAL_REQUEST_ID, _) => {}
                    Action::Reply(id, reply) => effects.out.push(Output::Reply { id, reply }),
                    Action::Chosen(ballot, batch) => self.send_commit(now, ballot, &batch, effects.out),
                }
            }
            let Some(message) = self.loopback.pop_front() else { break };
            let own_name = self.config.name.clone();
            self.receive(now, &own_name, message, &mut effects);
        }
    }

    fn submit_request(&mut self, now: Micros, id: RequestId, request: Request, effects: &mut Effects) {
        let highest_known_ballot = self.acceptor.highest_ballot();
        self.proposer.request(
            now,
            id,
            request,
            self.acceptor.items(),
            highest_known_ballot,
            &mut effects.actions,
        );
    }

    fn send(&mut self, to: StoreName, message: Message, out: &mut Vec<Output>) {
        if to == self.config.name {
            self.loopback.push_back(message);
        } else {
            out.push(Output::Send { to, message });
        }
    }

    /// Emits the write of a change, unless the change is empty. `after` is carried out once the change is durable.
    fn write(&mut self, change: StateChange, after: Option<AfterWrite>, out: &mut Vec<Output>) {
        if change == StateChange::default() {
            return;
        }
        self.last_write += 1;
        if let Some(after) = after {
            self.after_write.insert(self.last_write, after);
        }
        out.push(Output::Write { id: self.last_write, change });
    }

    fn write_completed(&mut self, id: u64, succeeded: bool, out: &mut Vec<Output>) {
        let Some(after) = self.after_write.remove(&id).filter(|_| succeeded) else { return };
        match after {
            AfterWrite::SendAccepted { to, ballot } => {
                if let Some(incarnation) = self.acceptor.incarnation() {
                    self.send(to, Message::Accepted { ballot, incarnation }, out);
                }
            }
            AfterWrite::SendPromise { to, epoch, ballot, range_digests, promise_ceiling } => {
                self.acceptor.record_durable(&StateChange { promise_ceiling, ..StateChange::default() });
                // The pending batch may have been committed meanwhile, and with it a change of membership.
                let reply = if epoch < self.membership.epoch {
                    Message::NewMembership(self.membership.clone())
                } else {
                    self.acceptor.promise(ballot, &range_digests)
                };
                self.send(to, reply, out);
            }
            AfterWrite::NotifyAcceptor(change) => self.acceptor.record_durable(&change),
        }
    }

    /// Emits the write of newly learned committed items, and reports them to the caller without waiting for the write.
    fn apply_learned(&mut self, learned: Learned, out: &mut Vec<Output>) {
        self.write(learned.change, None, out);
        report_committed(learned.items, out);
    }

    /// Sends a chosen batch to the present and the next members and to all stores that are alive, including those that do not
    /// vote.
    fn send_commit(&mut self, now: Micros, ballot: Ballot, batch: &Batch, out: &mut Vec<Output>) {
        let next = batch.membership.as_ref().map(Membership::names).unwrap_or_default();
        let mut receivers: BTreeSet<StoreName> = self.membership.names().into_iter().chain(next).collect();
        receivers.extend(self.failure_detector.alive(now));
        receivers.insert(self.config.name.clone());
        for name in receivers {
            let membership = self.membership.clone();
            self.send(name, Message::Commit { ballot, membership, batch: batch.clone() }, out);
        }
    }

    fn tick(&mut self, now: Micros, effects: &mut Effects) {
        self.failure_detector.tick(now);
        if let Some(change) = self.acceptor.raise_ceiling() {
            self.write(change.clone(), Some(AfterWrite::NotifyAcceptor(change)), effects.out);
        }
        self.recover_pending(now, effects);
        self.propose_membership_change(now, effects);
        let highest_known_ballot = self.acceptor.highest_ballot();
        self.proposer.tick(now, self.acceptor.items(), highest_known_ballot, &mut effects.actions);
        if now >= self.next_heartbeat {
            self.send_heartbeats(now, highest_known_ballot, effects.out);
        }
    }

    /// The store's position among the members' names, which staggers their proposals; 0 if it is not among them.
    fn rank(&self) -> Micros {
        let names = self.membership.names();
        names.iter().position(|name| *name == self.config.name).unwrap_or(0) as Micros
    }

    /// Proposes a batch that has been pending for long, so that it is committed. The delay grows with the store's rank, so
    /// that not all holders of the batch propose at once.
    fn recover_pending(&mut self, now: Micros, effects: &mut Effects) {
        let delay = RECOVERY_DELAY + self.rank() * RECOVERY_DELAY / 2;
        let is_due = self.pending_since.is_some_and(|since| now >= since + delay);
        if is_due && !self.proposer.is_busy() {
            self.pending_since = Some(now);
            self.submit_request(now, INTERNAL_REQUEST_ID, Request::Recover, effects);
        }
    }
}

fn report_committed(items: Vec<Item>, out: &mut Vec<Output>) {
    if !items.is_empty() {
        out.push(Output::Committed(items));
    }
}
