//! The proposer: the proposals of one store, and the client requests that they serve (Lamport, "Paxos Made Simple",
//! section 2.2).
//!
//! All requests that are waiting when a quorum has promised are decided together, in one batch.

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_config_state::hash;
use pinerelay_config_state::operator_call::render_configuration;
use pinerelay_config_state::rollout::{Rollout, RolloutChange};
use pinerelay_config_state::validation::{IndexedItems, Overlay};
use pinerelay_config_state::{Item, ItemSet, ValidationError};

use crate::message::{Ballot, Batch, Member, Membership, Message, Pending, StoreName};
use crate::quorum::is_quorum;
use crate::Micros;

/// A proposal that is not chosen within this time is abandoned: its messages may have been lost.
const PROPOSAL_TIMEOUT: Micros = 300_000;
/// A request that is not decided within this time gets [`Reply::Unknown`]: its caller tries another node after one second.
const REQUEST_TIMEOUT: Micros = 750_000;
/// The minimum backoff after a rejected proposal.
const BACKOFF_MIN: Micros = 10_000;
/// Exclusive upper limit of the random time that is added to [`BACKOFF_MIN`].
const BACKOFF_JITTER: Micros = 60_000;
/// The increment of splitmix64.
const RANDOM_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;

/// Identifies a client's request.
pub type RequestId = u64;

/// A request of a client, or of the store itself.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Request {
    /// Commit these items, all or none.
    Update(Vec<Item>),
    /// Read the live configuration.
    Read,
    /// Change the rollout state of a service.
    ChangeRollout(RolloutChange),
    /// Read the rollout state of a service.
    ReadRollout(String),
    /// Commit a pending batch that may have been chosen.
    Recover,
    /// Put this membership in force, unless another change of membership is chosen first.
    ChangeMembership(Membership),
}

impl Request {
    /// The membership that the request proposes, if it is that of the epoch after `epoch`.
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
    /// The result of a read, as JSON text.
    Text(String),
    /// Invalid: nothing of the request takes effect, now or later.
    Rejected(ValidationError),
    /// Not known: the request may have taken effect, or may do so later.
    Unknown,
}

/// An acceptor's promise to the current proposal.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Promise {
    incarnation: u64,
    accepted: Ballot,
    pending: Pending,
    range_digests: Vec<u64>,
    items: Vec<Item>,
    /// Whether the acceptor was asked to accept the batch.
    accept_sent: bool,
}

/// The proposal in progress.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Proposal {
    ballot: Ballot,
    started_at: Micros,
    /// The stores that were sent [`Message::Prepare`].
    prepare_sent_to: BTreeSet<StoreName>,
    promises: BTreeMap<StoreName, Promise>,
    /// The proposed value, once a quorum has promised.
    batch: Option<Batch>,
    /// The replies to the requests that the batch decides, sent once it is chosen.
    replies: Vec<(RequestId, Reply)>,
    /// The members that have accepted the batch.
    accepted_by: BTreeSet<Member>,
}

impl Proposal {
    fn has_promise_from(&self, member: &Member) -> bool {
        self.promises.get(&member.name).is_some_and(|promise| promise.incarnation == member.incarnation)
    }

    /// The value that may have been chosen under a lower ballot and has to be proposed again (the paper's P2c): the batch
    /// that is pending under the highest ballot that an acceptor has reported. A batch accepted under a lower ballot has not
    /// been chosen, or its items are among the committed items of the acceptors that accepted the highest. Nor is a batch
    /// proposed again that another acceptor reports as committed under the same ballot.
    fn value_to_complete(&self) -> Batch {
        let highest =
            self.promises.values().max_by_key(|promise| (promise.accepted, promise.pending.is_none()));
        highest.and_then(|promise| promise.pending.clone()).unwrap_or_default()
    }
}

/// A request that is not decided yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct WaitingRequest {
    id: RequestId,
    request: Request,
    received_at: Micros,
}

/// An action that the store has to carry out for its proposer.
pub enum Action {
    /// Send a message to an acceptor.
    Send(StoreName, Message),
    /// Announce to all stores that this batch was chosen under this ballot.
    Chosen(Ballot, Batch),
    /// Reply to a request.
    Reply(RequestId, Reply),
}

/// The proposer of one store.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct Proposer {
    /// Distinguishes its ballots from those of all other proposers: unique to the store and its process.
    id: u64,
    /// The state of the random number generator for backoffs.
    random: u64,
    membership: Membership,
    tolerated_losses: usize,
    /// The highest ballot that it knows of.
    highest_ballot: Ballot,
    waiting: Vec<WaitingRequest>,
    proposal: Option<Proposal>,
    /// No proposal is started before this time.
    backoff_until: Micros,
}

impl Proposer {
    /// Creates a proposer without requests. `id` differs between all processes of all stores; `tolerated_losses` is the
    /// number of machines that may be lost at once.
    pub fn new(id: u64, tolerated_losses: usize) -> Proposer {
        Proposer { id, random: id, tolerated_losses, ..Proposer::default() }
    }

    /// Puts a membership in force. A proposal to the previous members is abandoned; its requests wait for the next proposal.
    pub fn set_membership(&mut self, membership: Membership) {
        self.membership = membership;
        self.proposal = None;
    }

    /// Records a ballot that another store knows of, so that later proposals get a higher one.
    pub fn observe_ballot(&mut self, ballot: Ballot) {
        self.highest_ballot = self.highest_ballot.max(ballot);
    }

    /// Whether the voting stores for which `contains` holds form a quorum.
    pub fn is_quorum(&self, contains: impl Fn(&Member) -> bool) -> bool {
        is_quorum(&self.membership, self.tolerated_losses, contains)
    }

    /// Whether a request is waiting or a proposal is in progress.
    pub fn is_busy(&self) -> bool {
        self.proposal.is_some() || !self.waiting.is_empty()
    }

    /// Queues a request and starts a proposal if possible. `committed` are the store's committed items, `observed` is the
    /// highest ballot that its acceptor knows of.
    pub fn request(
        &mut self,
        now: Micros,
        id: RequestId,
        request: Request,
        committed: &ItemSet,
        observed: Ballot,
        actions: &mut Vec<Action>,
    ) {
        self.waiting.push(WaitingRequest { id, request, received_at: now });
        self.start_proposal(now, committed, observed, actions);
    }

    /// Drops a request whose caller has gone; a batch that is already proposed keeps it. The caller may have retried at
    /// another store and been rejected there, so the request must not be proposed again.
    pub fn cancel(&mut self, id: RequestId) {
        self.waiting.retain(|waiting| waiting.id != id);
    }

    /// Handles timeouts; to be called periodically.
    pub fn tick(&mut self, now: Micros, committed: &ItemSet, observed: Ballot, actions: &mut Vec<Action>) {
        if self.proposal.as_ref().is_some_and(|proposal| now >= proposal.started_at + PROPOSAL_TIMEOUT) {
            self.proposal = None;
        }
        self.expire_requests(now, actions);
        self.start_proposal(now, committed, observed, actions);
    }

    /// Ends requests that have waited too long. Their callers have retried at another store and may have been rejected there,
    /// so a request that is late because this process stalled must not be decided any more.
    fn expire_requests(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let is_expired =
            |waiting: &WaitingRequest| now >= waiting.received_at.saturating_add(REQUEST_TIMEOUT);
        let (expired, waiting) = std::mem::take(&mut self.waiting).into_iter().partition(is_expired);
        self.waiting = waiting;
        actions.extend(
            expired.into_iter().map(|expired: WaitingRequest| Action::Reply(expired.id, Reply::Unknown)),
        );
    }

    /// Starts a proposal if requests are waiting and none is in progress.
    fn start_proposal(
        &mut self,
        now: Micros,
        committed: &ItemSet,
        observed: Ballot,
        actions: &mut Vec<Action>,
    ) {
        let has_no_voters = self.membership.members.is_empty();
        if self.proposal.is_some() || self.waiting.is_empty() || now < self.backoff_until || has_no_voters {
            return;
        }
        let ballot = Ballot::new(self.highest_ballot.round.max(observed.round) + 1, self.id);
        self.highest_ballot = ballot;
        self.proposal = Some(Proposal {
            ballot,
            started_at: now,
            prepare_sent_to: BTreeSet::new(),
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

    /// Sends [`Message::Prepare`] to those of the stores that did not get it yet.
    fn send_prepare(&mut self, names: Vec<StoreName>, committed: &ItemSet, actions: &mut Vec<Action>) {
        let Some(proposal) = self.proposal.as_mut() else { return };
        let new: BTreeSet<StoreName> =
            names.into_iter().filter(|name| !proposal.prepare_sent_to.contains(name)).collect();
        if new.is_empty() {
            return;
        }
        let (ballot, range_digests) = (proposal.ballot, committed.range_digests());
        for name in new {
            let (membership, range_digests) = (self.membership.clone(), range_digests.clone());
            let message = Message::Prepare { ballot, membership, range_digests };
            actions.push(Action::Send(name.clone(), message));
            proposal.prepare_sent_to.insert(name);
        }
    }

    /// Handles an acceptor's reply. `committed` are the store's committed items, including those that came with a promise.
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
        self.observe_ballot(promised);
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
        let Some(proposal) = self.proposal_with(ballot) else { return };
        proposal.promises.entry(from.into()).or_insert(promise);
        if proposal.batch.is_none() {
            self.decide(now, committed, actions);
        }
        self.send_accept(committed.items(), actions);
    }

    fn on_accepted(&mut self, from: &str, ballot: Ballot, incarnation: u64, actions: &mut Vec<Action>) {
        let Some(proposal) = self.proposal_with(ballot) else { return };
        let member = Member { name: from.into(), incarnation };
        // Only the member that promised may accept: if its disk was lost in between, the new one lacks what the promise
        // reported.
        if !proposal.has_promise_from(&member) {
            return;
        }
        proposal.accepted_by.insert(member);
        if let Some(Proposal { ballot, batch: Some(batch), replies, .. }) = self.take_chosen() {
            actions.push(Action::Chosen(ballot, batch));
            self.reply(replies, actions);
        }
    }

    /// The proposal in progress, if it has this ballot.
    fn proposal_with(&mut self, ballot: Ballot) -> Option<&mut Proposal> {
        self.proposal.as_mut().filter(|proposal| proposal.ballot == ballot)
    }

    /// Takes the proposal once its batch is chosen: accepted by a quorum of the membership and, if the batch changes the
    /// membership, by a quorum of the next one as well.
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

    /// Replies to the decided requests that are still waiting: those that have timed out got their reply already.
    fn reply(&mut self, replies: Vec<(RequestId, Reply)>, actions: &mut Vec<Action>) {
        let decided: BTreeSet<RequestId> = replies.iter().map(|(id, _)| *id).collect();
        let waiting: BTreeSet<RequestId> = self.waiting.iter().map(|waiting| waiting.id).collect();
        self.waiting.retain(|waiting| !decided.contains(&waiting.id));
        let unanswered = replies.into_iter().filter(|(id, _)| waiting.contains(id));
        actions.extend(unanswered.map(|(id, reply)| Action::Reply(id, reply)));
    }

    /// Whether a quorum of a membership has promised to the proposal in progress.
    fn has_promised(&self, membership: &Membership) -> bool {
        self.proposal.as_ref().is_some_and(|proposal| {
            is_quorum(membership, self.tolerated_losses, |member| proposal.has_promise_from(member))
        })
    }

    /// Once a quorum has promised, everything that was committed is known: validates the waiting requests against it and
    /// fixes the batch.
    fn decide(&mut self, now: Micros, committed: &IndexedItems, actions: &mut Vec<Action>) {
        self.expire_requests(now, actions);
        if !self.has_promised(&self.membership) {
            return;
        }
        let Some(mut batch) = self.proposal.as_ref().map(Proposal::value_to_complete) else { return };
        batch.membership = self.next_membership(batch.membership);
        // The members of the next epoch may vote already, and only they know what they have chosen since: a quorum of them
        // has to promise, too.
        if let Some(next) = batch.membership.clone().filter(|next| !self.has_promised(next)) {
            return self.send_prepare(next.names(), committed.items(), actions);
        }
        let mut overlay = committed.overlay();
        overlay.merge_all(batch.items.iter().cloned());
        let replies = self.decide_requests(&mut batch, &mut overlay, committed);
        self.propose(batch, replies, actions);
    }

    /// The membership to propose: the pending one, which may have been chosen already, otherwise a requested one.
    fn next_membership(&self, pending: Option<Membership>) -> Option<Membership> {
        let epoch = self.membership.epoch;
        let requested = || self.waiting.iter().find_map(|waiting| waiting.request.membership_after(epoch));
        pending.filter(|next| next.epoch > epoch).or_else(|| requested().cloned())
    }

    /// Adds the valid updates to the batch and to `overlay`, the committed items with the batch applied. Returns the reply to
    /// each request.
    fn decide_requests(
        &self,
        batch: &mut Batch,
        overlay: &mut Overlay,
        committed: &IndexedItems,
    ) -> Vec<(RequestId, Reply)> {
        let (mut replies, mut reads) = (Vec::new(), Vec::new());
        for WaitingRequest { id, request, .. } in &self.waiting {
            let validated = match request {
                Request::Recover | Request::ChangeMembership(_) => Ok(Vec::new()),
                Request::Update(items) => overlay.accept_update(items),
                Request::ChangeRollout(change) => {
                    change.apply(|key| overlay.get(key)).map(|item| item.into_iter().collect())
                }
                Request::Read | Request::ReadRollout(_) => {
                    reads.push((*id, request));
                    continue;
                }
            };
            match validated {
                Ok(newer) => {
                    overlay.merge_all(newer.iter().cloned());
                    batch.items.extend(newer);
                    replies.push((*id, Reply::Acknowledged));
                }
                Err(error) => replies.push((*id, Reply::Rejected(error))),
            }
        }
        replies.extend(self.decide_reads(&reads, batch, overlay, committed));
        replies
    }

    /// Returns the replies to reads, which see all updates of the batch.
    fn decide_reads(
        &self,
        reads: &[(RequestId, &Request)],
        batch: &Batch,
        overlay: &Overlay,
        committed: &IndexedItems,
    ) -> Vec<(RequestId, Reply)> {
        let mut configuration = None;
        let mut render = || match batch.items.is_empty() {
            true => render_configuration(committed.items()),
            false => render_configuration(&overlay.to_item_set()),
        };
        let mut reply = |request: &Request| match request {
            Request::ReadRollout(service) => read_rollout(overlay, service),
            _ => Reply::Text(configuration.get_or_insert_with(&mut render).clone()),
        };
        reads.iter().map(|(id, request)| (*id, reply(request))).collect()
    }

    /// Sets the proposed batch, or ends the proposal at once if there is nothing to choose.
    fn propose(&mut self, batch: Batch, replies: Vec<(RequestId, Reply)>, actions: &mut Vec<Action>) {
        let Some(proposal) = self.proposal.as_mut() else { return };
        // Even an empty batch is proposed if an acceptor has a pending batch that was superseded. Otherwise that batch would
        // stay pending, and its holder would never be current.
        let has_pending = proposal.promises.values().any(|promise| promise.pending.is_some());
        if batch == Batch::default() && !has_pending {
            self.proposal = None;
            self.reply(replies, actions);
        } else {
            (proposal.batch, proposal.replies) = (Some(batch), replies);
        }
    }

    /// Sends the batch, with the committed items that the receiver lacks, to each acceptor that has promised.
    fn send_accept(&mut self, committed: &ItemSet, actions: &mut Vec<Action>) {
        let Some(Proposal { ballot, promises, batch: Some(batch), .. }) = &mut self.proposal else { return };
        let mut own_digests = None;
        for (acceptor, promise) in promises.iter_mut().filter(|(_, promise)| !promise.accept_sent) {
            promise.accept_sent = true;
            let own_digests: &Vec<u64> = own_digests.get_or_insert_with(|| committed.range_digests());
            let mut acceptor_items = ItemSet::default();
            acceptor_items.merge_all(std::mem::take(&mut promise.items));
            let is_missing =
                |item: &&Item| acceptor_items.get(&item.key).is_none_or(|other| other.version < item.version);
            let differing = committed.items_in_differing_ranges(own_digests, &promise.range_digests);
            let missing = differing.filter(is_missing).cloned().collect();
            let message = Message::Accept { ballot: *ballot, missing, batch: batch.clone() };
            actions.push(Action::Send(acceptor.clone(), message));
        }
    }
}

/// Returns the reply to a read of the rollout state of a service.
fn read_rollout(live: &Overlay, service: &str) -> Reply {
    let rollout = live.get(&Rollout::key(service)).and_then(Rollout::from_item);
    let not_found = || ValidationError::not_found("/of", format!("there is no rollout of {service}"));
    let text = rollout.and_then(|rollout| rollout.render());
    text.map_or_else(|| Reply::Rejected(not_found()), Reply::Text)
}
