//! The proposer: one store's proposals, and the clients' requests that they carry out (Lamport, "Paxos Made Simple",
//! section 2.2).
//!
//! All requests that wait when a quorum has promised are decided together, as one batch.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_config_state::hash;
use pinerelay_config_state::operator_call::render_configuration;
use pinerelay_config_state::rollout::{Rollout, RolloutChange};
use pinerelay_config_state::validation::{IndexedItems, Overlay};
use pinerelay_config_state::{Item, ItemSet, ValidationError};

use crate::message::{Ballot, Batch, Member, Membership, Message, Pending, StoreName};
use crate::quorum::is_quorum;
use crate::Micros;

/// A proposal that is not chosen by then is given up: its messages may have got lost.
const PROPOSAL_TIMEOUT: Micros = 300_000;
/// A request that is not decided by then gets [`Reply::Unknown`]: its caller turns to another node after a second.
const REQUEST_TIMEOUT: Micros = 750_000;
/// The shortest backoff after a rejected proposal.
const BACKOFF_MIN: Micros = 10_000;
/// How much longer it may be, at random.
const BACKOFF_JITTER: Micros = 60_000;
/// The increment of splitmix64.
const RANDOM_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Identifies a client's request.
pub type RequestId = u64;

/// A client's request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Request {
    /// Commit these items, all or none.
    Update(Vec<Item>),
    /// Read the live configuration.
    Read,
    /// Change what is decided about a service's versions.
    ChangeRollout(RolloutChange),
    /// Read what is decided about the versions of a service.
    ReadRollout(String),
    /// Commit what may have been chosen and is not known to be.
    Recover,
    /// Put this membership in force, unless another change comes first.
    ChangeMembership(Membership),
}

impl Request {
    /// The membership that the request proposes, if it follows an epoch.
    fn membership_after(&self, epoch: u64) -> Option<&Membership> {
        match self {
            Request::ChangeMembership(next) if next.epoch == epoch + 1 => Some(next),
            _ => None,
        }
    }
}

/// The outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Reply {
    /// Committed.
    Acknowledged,
    /// What was to be read, as text.
    Text(String),
    /// Invalid: nothing of it is in force or will be.
    Rejected(ValidationError),
    /// Not known: it may be in force, or may yet be.
    Unknown,
}

/// An acceptor's promise to the proposal under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Promise {
    incarnation: u64,
    accepted: Ballot,
    pending: Pending,
    range_digests: Vec<u64>,
    items: Vec<Item>,
    /// Whether it was asked to accept the batch.
    accept_sent: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Proposal {
    ballot: Ballot,
    started_at: Micros,
    /// The stores that were asked to promise.
    asked: BTreeSet<StoreName>,
    promises: BTreeMap<StoreName, Promise>,
    /// The proposed value, once a quorum has promised.
    batch: Option<Batch>,
    /// The replies to the requests that it decides.
    replies: Vec<(RequestId, Reply)>,
    /// The members that have accepted.
    accepted_by: BTreeSet<Member>,
}

impl Proposal {
    fn has_promise_of(&self, member: &Member) -> bool {
        self.promises.get(&member.name).is_some_and(|promise| promise.incarnation == member.incarnation)
    }

    /// The value that may have been chosen under a lower ballot (the paper's P2c). A batch that was accepted under a ballot
    /// lower than another acceptor's highest has not been chosen, or is among the committed items of whoever accepted
    /// that; neither has one that is committed elsewhere under the same ballot.
    fn value_to_complete(&self) -> Batch {
        let highest =
            self.promises.values().max_by_key(|promise| (promise.accepted, promise.pending.is_none()));
        highest.and_then(|promise| promise.pending.clone()).unwrap_or_default()
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct WaitingRequest {
    id: RequestId,
    request: Request,
    since: Micros,
}

/// What a proposer wants done.
pub enum Action {
    /// Send this to an acceptor.
    Send(StoreName, Message),
    /// A batch was chosen under this ballot: tell all stores.
    Chosen(Ballot, Batch),
    /// A request has ended.
    Reply(RequestId, Reply),
}

/// The proposer of one store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Proposer {
    /// Tells its ballots from those of all other proposers: unique to the store and its process.
    id: u64,
    random: u64,
    membership: Membership,
    tolerated_losses: usize,
    /// The highest ballot that it knows of.
    highest_ballot: Ballot,
    waiting: Vec<WaitingRequest>,
    proposal: Option<Proposal>,
    /// No proposal begins before this.
    backoff_until: Micros,
}

impl Proposer {
    /// A proposer without requests. `id` is another one in each process of each store; `tolerated_losses` is the number of
    /// machines that may be lost at once.
    pub fn new(id: u64, tolerated_losses: usize) -> Proposer {
        Proposer { id, random: id, tolerated_losses, ..Proposer::default() }
    }

    /// Puts a membership in force. A proposal to the earlier one is given up, and its requests wait for another.
    pub fn set_membership(&mut self, membership: Membership) {
        self.membership = membership;
        self.proposal = None;
    }

    /// Notes that some store knows of this ballot.
    pub fn observe(&mut self, ballot: Ballot) {
        self.highest_ballot = self.highest_ballot.max(ballot);
    }

    /// Whether a quorum of the voting stores is in a set.
    pub fn is_quorum(&self, contains: impl Fn(&Member) -> bool) -> bool {
        is_quorum(&self.membership, self.tolerated_losses, contains)
    }

    /// Whether a request waits or a proposal is under way.
    pub fn is_busy(&self) -> bool {
        self.proposal.is_some() || !self.waiting.is_empty()
    }

    /// Takes a request. `committed` are the items here, `observed` is the highest ballot that the store's acceptor knows.
    pub fn request(
        &mut self,
        now: Micros,
        id: RequestId,
        request: Request,
        committed: &ItemSet,
        observed: Ballot,
        actions: &mut Vec<Action>,
    ) {
        self.waiting.push(WaitingRequest { id, request, since: now });
        self.begin(now, committed, observed, actions);
    }

    /// Drops a request whose caller has gone, unless it is part of a batch already. The caller asks elsewhere by now and may
    /// be rejected there, so the request must not be proposed again.
    pub fn cancel(&mut self, id: RequestId) {
        self.waiting.retain(|waiting| waiting.id != id);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, committed: &ItemSet, observed: Ballot, actions: &mut Vec<Action>) {
        if self.proposal.as_ref().is_some_and(|proposal| now >= proposal.started_at + PROPOSAL_TIMEOUT) {
            self.proposal = None;
        }
        self.expire_requests(now, actions);
        self.begin(now, committed, observed, actions);
    }

    /// Ends requests that have waited too long. Their callers have asked elsewhere, and may have been rejected there: what was
    /// late because the process stalled must not be decided any more.
    fn expire_requests(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let is_late = |waiting: &WaitingRequest| now >= waiting.since.saturating_add(REQUEST_TIMEOUT);
        let (late, waiting) = std::mem::take(&mut self.waiting).into_iter().partition(is_late);
        self.waiting = waiting;
        actions.extend(late.into_iter().map(|late: WaitingRequest| Action::Reply(late.id, Reply::Unknown)));
    }

    /// Begins a proposal if requests wait and none is under way.
    fn begin(&mut self, now: Micros, committed: &ItemSet, observed: Ballot, actions: &mut Vec<Action>) {
        let has_no_voters = self.membership.members.is_empty();
        if self.proposal.is_some() || self.waiting.is_empty() || now < self.backoff_until || has_no_voters {
            return;
        }
        let ballot = Ballot::new(self.highest_ballot.round.max(observed.round) + 1, self.id);
        self.highest_ballot = ballot;
        self.proposal = Some(Proposal {
            ballot,
            started_at: now,
            asked: BTreeSet::new(),
            promises: BTreeMap::new(),
            batch: None,
            replies: Vec::new(),
            accepted_by: BTreeSet::new(),
        });
        let mut names = self.membership.names();
        let epoch = self.membership.epoch;
        let next = self.waiting.iter().filter_map(|waiting| waiting.request.membership_after(epoch));
        names.extend(next.flat_map(Membership::names));
        self.send_prepare(names, committed, actions);
    }

    /// Asks those of the stores to promise that were not asked yet.
    fn send_prepare(&mut self, names: Vec<StoreName>, committed: &ItemSet, actions: &mut Vec<Action>) {
        let Some(proposal) = self.proposal.as_mut() else { return };
        let new: BTreeSet<StoreName> =
            names.into_iter().filter(|name| !proposal.asked.contains(name)).collect();
        if new.is_empty() {
            return;
        }
        let (ballot, range_digests) = (proposal.ballot, committed.range_digests());
        for name in new {
            let (membership, range_digests) = (self.membership.clone(), range_digests.clone());
            let message = Message::Prepare { ballot, membership, range_digests };
            actions.push(Action::Send(name.clone(), message));
            proposal.asked.insert(name);
        }
    }

    /// Handles an acceptor's reply. `committed` are the items here, all that a promise has brought included.
    pub fn receive(
        &mut self,
        now: Micros,
        from: &str,
        message: Message,
        committed: &IndexedItems,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Message::Reject { ballot, promised } => self.on_reject(now, ballot, promised),
            Message::Promise { ballot, incarnation, accepted, pending, range_digests, items } => {
                let accept_sent = false;
                let promise = Promise { incarnation, accepted, pending, range_digests, items, accept_sent };
                self.on_promise(now, from, ballot, promise, committed, actions);
            }
            Message::Accepted { ballot, incarnation } => self.on_accepted(from, ballot, incarnation, actions),
            _ => {}
        }
    }

    fn on_reject(&mut self, now: Micros, ballot: Ballot, promised: Ballot) {
        self.observe(promised);
        if self.proposal.as_ref().is_some_and(|proposal| proposal.ballot == ballot) {
            self.random = hash::mix64(self.random.wrapping_add(RANDOM_INCREMENT));
            self.backoff_until = now + BACKOFF_MIN + self.random % BACKOFF_JITTER;
            self.proposal = None;
        }
    }

    fn on_promise(
        &mut self,
        now: Micros,
        from: &str,
        ballot: Ballot,
        promise: Promise,
        committed: &IndexedItems,
        actions: &mut Vec<Action>,
    ) {
        let Some(proposal) = self.current(ballot) else { return };
        proposal.promises.entry(from.into()).or_insert(promise);
        if proposal.batch.is_none() {
            self.decide(now, committed, actions);
        }
        self.send_accept(committed.items(), actions);
    }

    fn on_accepted(&mut self, from: &str, ballot: Ballot, incarnation: u64, actions: &mut Vec<Action>) {
        let Some(proposal) = self.current(ballot) else { return };
        let member = Member { name: from.into(), incarnation };
        // Whoever accepts must be the member that promised: a disk that was lost in between holds nothing else.
        if !proposal.has_promise_of(&member) {
            return;
        }
        proposal.accepted_by.insert(member);
        if let Some(Proposal { ballot, batch: Some(batch), replies, .. }) = self.take_chosen() {
            actions.push(Action::Chosen(ballot, batch));
            self.reply(replies, actions);
        }
    }

    /// The proposal under way, if this is its ballot.
    fn current(&mut self, ballot: Ballot) -> Option<&mut Proposal> {
        self.proposal.as_mut().filter(|proposal| proposal.ballot == ballot)
    }

    /// Takes the proposal once its batch is chosen: by a quorum of the membership, and of the next one if that changes.
    fn take_chosen(&mut self) -> Option<Proposal> {
        let proposal = self.proposal.as_ref()?;
        let batch = proposal.batch.as_ref()?;
        let has_accepted = |membership: &Membership| {
            is_quorum(membership, self.tolerated_losses, |member| proposal.accepted_by.contains(member))
        };
        let is_chosen = has_accepted(&self.membership) && batch.membership.as_ref().is_none_or(has_accepted);
        if is_chosen {
            self.proposal.take()
        } else {
            None
        }
    }

    /// Replies to those requests that still wait: one that has timed out was replied to already.
    fn reply(&mut self, replies: Vec<(RequestId, Reply)>, actions: &mut Vec<Action>) {
        let ended: BTreeSet<RequestId> = replies.iter().map(|(id, _)| *id).collect();
        let waiting: BTreeSet<RequestId> = self.waiting.iter().map(|waiting| waiting.id).collect();
        self.waiting.retain(|waiting| !ended.contains(&waiting.id));
        let open = replies.into_iter().filter(|(id, _)| waiting.contains(id));
        actions.extend(open.map(|(id, reply)| Action::Reply(id, reply)));
    }

    /// Whether a quorum of a membership has promised.
    fn has_promised(&self, membership: &Membership) -> bool {
        self.proposal.as_ref().is_some_and(|proposal| {
            is_quorum(membership, self.tolerated_losses, |member| proposal.has_promise_of(member))
        })
    }

    /// Once a quorum has promised, all that was committed is known. Decides which of the requests are valid on top of it.
    fn decide(&mut self, now: Micros, committed: &IndexedItems, actions: &mut Vec<Action>) {
        self.expire_requests(now, actions);
        if !self.has_promised(&self.membership) {
            return;
        }
        let Some(mut batch) = self.proposal.as_ref().map(Proposal::value_to_complete) else { return };
        batch.membership = self.next_membership(batch.membership);
        // The members of the next epoch may vote already, and what they have chosen since is known to them alone.
        if let Some(next) = batch.membership.clone().filter(|next| !self.has_promised(next)) {
            return self.send_prepare(next.names(), committed.items(), actions);
        }
        let mut next = committed.overlay();
        next.merge_all(batch.items.iter().cloned());
        let replies = self.decide_requests(&mut batch, &mut next, committed);
        self.propose(batch, replies, actions);
    }

    /// The membership to propose: the one that may have been chosen before, or one that was requested.
    fn next_membership(&self, pending: Option<Membership>) -> Option<Membership> {
        let epoch = self.membership.epoch;
        let requested = || self.waiting.iter().find_map(|waiting| waiting.request.membership_after(epoch));
        pending.filter(|next| next.epoch > epoch).or_else(|| requested().cloned())
    }

    /// Adds the valid updates to the batch; `next` is what is live with the batch. Returns the reply to each request.
    fn decide_requests(
        &self,
        batch: &mut Batch,
        next: &mut Overlay,
        committed: &IndexedItems,
    ) -> Vec<(RequestId, Reply)> {
        let (mut replies, mut reads) = (Vec::new(), Vec::new());
        for WaitingRequest { id, request, .. } in &self.waiting {
            let accepted = match request {
                Request::Recover | Request::ChangeMembership(_) => Ok(Vec::new()),
                Request::Update(items) => next.accept_update(items),
                Request::ChangeRollout(change) => {
                    change.apply(|key| next.get(key)).map(|item| item.into_iter().collect())
                }
                Request::Read | Request::ReadRollout(_) => {
                    reads.push((*id, request));
                    continue;
                }
            };
            match accepted {
                Ok(newer) => {
                    next.merge_all(newer.iter().cloned());
                    batch.items.extend(newer);
                    replies.push((*id, Reply::Acknowledged));
                }
                Err(error) => replies.push((*id, Reply::Rejected(error))),
            }
        }
        replies.extend(self.decide_reads(&reads, batch, next, committed));
        replies
    }

    /// The replies to reads, which see all updates of the batch.
    fn decide_reads(
        &self,
        reads: &[(RequestId, &Request)],
        batch: &Batch,
        next: &Overlay,
        committed: &IndexedItems,
    ) -> Vec<(RequestId, Reply)> {
        let mut configuration = None;
        let mut render = || match batch.items.is_empty() {
            true => render_configuration(committed.items()),
            false => render_configuration(&next.to_item_set()),
        };
        let mut reply = |request: &Request| match request {
            Request::ReadRollout(service) => read_rollout(next, service),
            _ => Reply::Text(configuration.get_or_insert_with(&mut render).clone()),
        };
        reads.iter().map(|(id, request)| (*id, reply(request))).collect()
    }

    /// Proposes a batch, or ends the proposal at once if there is nothing to choose.
    fn propose(&mut self, batch: Batch, replies: Vec<(RequestId, Reply)>, actions: &mut Vec<Action>) {
        let Some(proposal) = self.proposal.as_mut() else { return };
        // A batch that was overtaken is replaced by an empty one. Otherwise it would stay pending, and its holder would never
        // be current.
        let has_pending = proposal.promises.values().any(|promise| promise.pending.is_some());
        if batch == Batch::default() && !has_pending {
            self.proposal = None;
            self.reply(replies, actions);
        } else {
            (proposal.batch, proposal.replies) = (Some(batch), replies);
        }
    }

    /// Asks each acceptor that has promised to accept the batch, with the committed items that it lacks.
    fn send_accept(&mut self, committed: &ItemSet, actions: &mut Vec<Action>) {
        let Some(Proposal { ballot, promises, batch: Some(batch), .. }) = &mut self.proposal else { return };
        let mut own_digests = None;
        for (acceptor, promise) in promises.iter_mut().filter(|(_, promise)| !promise.accept_sent) {
            promise.accept_sent = true;
            let own_digests: &Vec<u64> = own_digests.get_or_insert_with(|| committed.range_digests());
            let mut theirs = ItemSet::default();
            theirs.merge_all(std::mem::take(&mut promise.items));
            let is_missing =
                |item: &&Item| theirs.get(&item.key).is_none_or(|other| other.version < item.version);
            let differing = committed.items_in_differing_ranges(own_digests, &promise.range_digests);
            let missing = differing.filter(is_missing).cloned().collect();
            let message = Message::Accept { ballot: *ballot, missing, batch: batch.clone() };
            actions.push(Action::Send(acceptor.clone(), message));
        }
    }
}

/// The reply to a read of what is decided about the versions of a service.
fn read_rollout(live: &Overlay, service: &str) -> Reply {
    let rollout = live.get(&Rollout::key(service)).and_then(Rollout::of);
    let not_found = || ValidationError::not_found("/of", format!("there is no rollout of {service}"));
    let text = rollout.and_then(|rollout| rollout.render());
    text.map_or_else(|| Reply::Rejected(not_found()), Reply::Text)
}
