//! Duties: each tenant's units are counted by one node at a time.
//!
//! Keys are divided into slices. A slice belongs to the node that rendezvous hashing names among those it sees alive. The node
//! acts only while it holds a lease: a majority of the voters has promised it the slice for a time that it counts from before
//! it asked, and a voter promises a slice to nobody else until that time is over on its own clock. So two nodes never act at
//! once, whatever each of them sees, and clocks need to agree in nothing but their pace (Gray and Cheriton, "Leases", 1989).
//!
//! The voters change by epochs, and a majority of one epoch need not meet a majority of the next. So a node acts only while a
//! quorum has confirmed a short while ago that its epoch is the newest. After a change it needs a majority of the epoch before
//! as well, until all leases of that epoch have ended ([`JOINT_PERIOD`]; compare joint consensus in Ongaro and Ousterhout, "In
//! Search of an Understandable Consensus Algorithm", 2014, section 6).

use std::collections::{BTreeMap, BTreeSet};

use bincode::{Decode, Encode};
use pinerelay_config_state::hash;

use crate::Micros;

/// The number of slices that keys are divided into.
pub const SLICE_COUNT: usize = 16;
/// For how long a voter promises a slice.
const PROMISE_DURATION: Micros = 900_000;
/// The holder of a lease stops so much earlier: clocks differ in pace.
const CLOCK_MARGIN: Micros = 100_000;
/// For so long after a change of epoch majorities of both epochs are needed. It is longer than the lease of an epoch, counted
/// from when that was the newest, and an epoch is agreed on no sooner than this after the one before.
pub const JOINT_PERIOD: Micros = 4_400_000;
/// How often a holder renews its leases.
const RENEWAL_INTERVAL: Micros = 250_000;
/// How soon a node asks again that was not promised all it asked for.
const RETRY_INTERVAL: Micros = 50_000;

/// A message between the nodes that share duties. The order of variants and fields is part of the encoding on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum DutyMessage {
    /// Requests a promise of these slices.
    Claim {
        /// The number of the claim; returned.
        claim: u64,
        /// One bit for each slice.
        slices: u32,
    },
    /// These slices are promised.
    Promise {
        /// The claim that is answered.
        claim: u64,
        /// One bit for each slice.
        slices: u32,
    },
    /// The sender does not act for these slices any more.
    Release {
        /// The last claim that is given up: a promise to a later one stands.
        claim: u64,
        /// One bit for each slice.
        slices: u32,
    },
}

/// The voters of an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Voters {
    /// Rises with each change; 0 if no voters are known.
    pub epoch: u64,
    /// The nodes that vote.
    pub members: Vec<String>,
    /// The voters of the epoch before; empty in the first.
    pub previous: Vec<String>,
}

/// The slice that a key is in.
pub fn slice_of(key: &str) -> usize {
    (hash::hash_parts(&[key.as_bytes()]) % SLICE_COUNT as u64) as usize
}

/// The node that a slice belongs to, among those that are alive.
pub fn slice_owner<'a>(slice: usize, alive: impl IntoIterator<Item = &'a String>) -> Option<&'a String> {
    hash::rendezvous_order(&format!("duty-{slice}"), alive).into_iter().next()
}

/// The slices of a set of bits.
fn slices_in(bits: u32) -> impl Iterator<Item = usize> {
    (0..SLICE_COUNT).filter(move |slice| bits & (1 << slice) != 0)
}

/// A claim that has not been renewed by the next one yet.
#[derive(Debug, Clone)]
struct Claim {
    number: u64,
    asked_at: Micros,
    promised_by: BTreeSet<String>,
}

/// This node's lease of one slice.
#[derive(Debug, Clone, Default)]
struct SliceLease {
    /// The node may act until then; 0 if it has no lease.
    expires_at: Micros,
    /// The voters whose promises it rests on.
    promised_by: BTreeSet<String>,
    claim: Option<Claim>,
}

/// A promise that this node has made.
#[derive(Debug, Clone)]
struct SlicePromise {
    holder: String,
    claim: u64,
    expires_at: Micros,
}

/// What is to be done about duties.
#[derive(Debug, PartialEq, Eq)]
pub enum DutyAction {
    /// Send a message to another node.
    Send(String, DutyMessage),
    /// From now on this node acts for a slice, and knows nothing of what was done for it before.
    Acquired(usize),
}

/// One node's duties, and what it has promised to others.
#[derive(Debug)]
pub struct DutyTable {
    own_name: String,
    voters: Voters,
    /// Majorities of both epochs are needed until then.
    joint_until: Micros,
    /// A quorum has confirmed that the epoch was the newest; the node may act until then.
    epoch_lease_until: Micros,
    alive: BTreeSet<String>,
    /// An earlier process may have promised slices. This one promises nothing until those promises are over, or until all who
    /// may hold them have learned that it is a new process, and have dropped them.
    promises_from: Micros,
    /// Nodes that have learned so.
    introduced_to: BTreeSet<String>,
    leases: Vec<SliceLease>,
    /// By slice.
    promises: BTreeMap<usize, SlicePromise>,
    last_claim: u64,
    renew_at: Micros,
}

impl DutyTable {
    /// The duties of a process that starts now. `first_start`: the whole system does, and no slice was promised before.
    pub fn new(now: Micros, own_name: &str, first_start: bool) -> DutyTable {
        DutyTable {
            own_name: own_name.into(),
            voters: Voters::default(),
            joint_until: 0,
            epoch_lease_until: 0,
            alive: BTreeSet::new(),
            promises_from: if first_start { now } else { now + PROMISE_DURATION },
            introduced_to: BTreeSet::new(),
            leases: vec![SliceLease::default(); SLICE_COUNT],
            promises: BTreeMap::new(),
            last_claim: now,
            renew_at: 0,
        }
    }

    /// Puts voters in force, unless they are older than those that are known.
    pub fn set_voters(&mut self, now: Micros, voters: Voters) {
        if voters.epoch <= self.voters.epoch {
            return;
        }
        self.joint_until = if voters.previous.is_empty() { 0 } else { now + JOINT_PERIOD };
        self.voters = voters;
        self.epoch_lease_until = 0;
        self.renew_at = 0;
        self.drop_unsupported(now);
    }

    /// A quorum has confirmed that an epoch was the newest: the node may act in it until `until`.
    pub fn epoch_confirmed(&mut self, epoch: u64, until: Micros) {
        if epoch == self.voters.epoch {
            self.epoch_lease_until = self.epoch_lease_until.max(until);
        }
    }

    /// Another node has known an epoch for longer than [`JOINT_PERIOD`].
    pub fn epoch_settled(&mut self, epoch: u64) {
        if epoch == self.voters.epoch {
            self.joint_until = 0;
        }
    }

    /// The epoch of the voters that it knows.
    pub fn epoch(&self) -> u64 {
        self.voters.epoch
    }

    /// Whether majorities of both epochs are needed: the epoch has not been known for [`JOINT_PERIOD`], here or elsewhere.
    pub fn is_joint(&self, now: Micros) -> bool {
        now < self.joint_until
    }

    /// Another node has learned that this process is a new one.
    pub fn peer_introduced(&mut self, name: &str) {
        self.introduced_to.insert(name.into());
    }

    /// Another node's process is a new one: what the earlier one promised does not count any more.
    pub fn peer_restarted(&mut self, now: Micros, name: &str) {
        for lease in &mut self.leases {
            if let Some(claim) = &mut lease.claim {
                claim.promised_by.remove(name);
            }
            lease.promised_by.remove(name);
        }
        let to_peer = self.promises.values_mut().filter(|promise| promise.holder == name);
        to_peer.for_each(|promise| promise.claim = 0);
        self.drop_unsupported(now);
    }

    /// Gives up leases that not enough voters have promised.
    fn drop_unsupported(&mut self, now: Micros) {
        for slice in 0..SLICE_COUNT {
            let lease = &self.leases[slice];
            if lease.expires_at > 0 && !self.is_majority(now, &lease.promised_by) {
                self.leases[slice].expires_at = 0;
                self.renew_at = 0;
            }
        }
    }

    /// Whether nodes are a majority of the voters, and of those before as long as that is needed.
    fn is_majority(&self, now: Micros, nodes: &BTreeSet<String>) -> bool {
        let is_majority_of =
            |voters: &[String]| voters.iter().filter(|name| nodes.contains(*name)).count() * 2 > voters.len();
        is_majority_of(&self.voters.members) && (!self.is_joint(now) || is_majority_of(&self.voters.previous))
    }

    /// Whether a node takes duties. One that has restarted may know the previous epoch alone, and waits for its voters to have
    /// learned of the restart; so no new voter acts before that epoch is over.
    fn takes_duties(&self, now: Micros, name: &String) -> bool {
        let Voters { members, previous, .. } = &self.voters;
        members.contains(name) && (!self.is_joint(now) || previous.contains(name))
    }

    fn other_voters(&self) -> BTreeSet<&String> {
        let voters = self.voters.members.iter().chain(&self.voters.previous);
        voters.filter(|name| **name != self.own_name).collect()
    }

    /// Whether this node may act for a slice now.
    pub fn holds(&self, now: Micros, slice: usize) -> bool {
        now < self.leases[slice].expires_at.min(self.epoch_lease_until)
    }

    /// The number of slices that it may act for.
    pub fn held_count(&self, now: Micros) -> usize {
        (0..SLICE_COUNT).filter(|&slice| self.holds(now, slice)).count()
    }

    /// Time has passed, or nodes have come or gone. `alive`: the other nodes that are heard.
    pub fn tick(&mut self, now: Micros, alive: BTreeSet<String>, actions: &mut Vec<DutyAction>) {
        let has_changed = alive != self.alive;
        self.alive = alive;
        if now < self.renew_at && !has_changed {
            return;
        }
        self.renew_at = now + RENEWAL_INTERVAL;
        let owned = self.owned_slices(now);
        let released = self.give_up_others(owned);
        if released != 0 {
            let claim = self.last_claim;
            self.broadcast(DutyMessage::Release { claim, slices: released }, actions);
            self.on_release(&self.own_name.clone(), claim, released);
        }
        if owned != 0 {
            self.claim(now, owned, actions);
        }
    }

    /// The slices that belong to this node, one bit each.
    fn owned_slices(&self, now: Micros) -> u32 {
        let nodes = self.alive.iter().chain(std::iter::once(&self.own_name));
        let nodes: Vec<&String> = nodes.filter(|name| self.takes_duties(now, name)).collect();
        let is_owned = |slice: &usize| slice_owner(*slice, nodes.iter().copied()) == Some(&self.own_name);
        (0..SLICE_COUNT).filter(is_owned).fold(0, |bits, slice| bits | 1 << slice)
    }

    /// Gives up all slices but the owned ones; returns those that were held or claimed. A claim that too few voters have
    /// promised was promised by some all the same.
    fn give_up_others(&mut self, owned: u32) -> u32 {
        let mut released = 0;
        for slice in slices_in(!owned) {
            let lease = &mut self.leases[slice];
            if lease.expires_at > 0 || lease.claim.is_some() {
                *lease = SliceLease::default();
                released |= 1 << slice;
            }
        }
        released
    }

    fn claim(&mut self, now: Micros, slices: u32, actions: &mut Vec<DutyAction>) {
        self.last_claim += 1;
        let claim = self.last_claim;
        for slice in slices_in(slices) {
            let promised_by = BTreeSet::new();
            self.leases[slice].claim = Some(Claim { number: claim, asked_at: now, promised_by });
        }
        self.broadcast(DutyMessage::Claim { claim, slices }, actions);
        let promised = self.promise(now, &self.own_name.clone(), claim, slices);
        self.on_promise(now, &self.own_name.clone(), claim, promised, actions);
    }

    /// Gives all duties up, at a planned shutdown.
    pub fn release_all(&mut self, actions: &mut Vec<DutyAction>) {
        self.leases = vec![SliceLease::default(); SLICE_COUNT];
        self.renew_at = Micros::MAX;
        self.broadcast(DutyMessage::Release { claim: self.last_claim, slices: u32::MAX }, actions);
    }

    /// Handles a message of another node.
    pub fn receive(&mut self, now: Micros, from: &str, message: DutyMessage, actions: &mut Vec<DutyAction>) {
        match message {
            DutyMessage::Claim { claim, slices } => {
                let slices = self.promise(now, from, claim, slices);
                actions.push(DutyAction::Send(from.into(), DutyMessage::Promise { claim, slices }));
            }
            DutyMessage::Promise { claim, slices } => {
                self.on_promise(now, from, claim, slices, actions);
                self.retry_soon(now, claim);
            }
            DutyMessage::Release { claim, slices } => self.on_release(from, claim, slices),
        }
    }

    /// What another node still holds is claimed again soon: it may have been released by then.
    fn retry_soon(&mut self, now: Micros, claim: u64) {
        let is_open = |lease: &SliceLease| {
            lease.expires_at <= now && lease.claim.as_ref().is_some_and(|open| open.number == claim)
        };
        if self.leases.iter().any(is_open) {
            self.renew_at = self.renew_at.min(now + RETRY_INTERVAL);
        }
    }

    fn broadcast(&self, message: DutyMessage, actions: &mut Vec<DutyAction>) {
        let voters = self.other_voters().into_iter();
        actions.extend(voters.map(|voter| DutyAction::Send(voter.clone(), message.clone())));
    }

    /// Whether this process may promise slices yet. Without the lease of the epoch there may be voters that it has not heard of.
    fn may_promise(&mut self, now: Micros) -> bool {
        if now < self.promises_from {
            let knows_voters = now < self.epoch_lease_until;
            if !knows_voters || !self.other_voters().iter().all(|name| self.introduced_to.contains(*name)) {
                return false;
            }
            self.promises_from = 0;
        }
        true
    }

    /// Promises slices to a node, unless they are promised to others; returns those that are promised.
    fn promise(&mut self, now: Micros, to: &str, claim: u64, slices: u32) -> u32 {
        if !self.may_promise(now) {
            return 0;
        }
        let mut promised = 0;
        for slice in slices_in(slices) {
            let last_claim = match self.promises.get(&slice) {
                Some(promise) if promise.holder == to => promise.claim,
                Some(promise) if now < promise.expires_at => continue,
                _ => 0,
            };
            let claim = claim.max(last_claim);
            let promise = SlicePromise { holder: to.into(), claim, expires_at: now + PROMISE_DURATION };
            self.promises.insert(slice, promise);
            promised |= 1 << slice;
        }
        promised
    }

    fn on_release(&mut self, from: &str, claim: u64, slices: u32) {
        self.promises.retain(|slice, promise| {
            promise.holder != from || promise.claim > claim || slices & (1 << *slice) == 0
        });
    }

    fn on_promise(
        &mut self,
        now: Micros,
        from: &str,
        claim: u64,
        slices: u32,
        actions: &mut Vec<DutyAction>,
    ) {
        for slice in slices_in(slices) {
            let Some(open) = self.leases[slice].claim.as_mut().filter(|open| open.number == claim) else {
                continue;
            };
            open.promised_by.insert(from.into());
            let expires_at = open.asked_at + PROMISE_DURATION - CLOCK_MARGIN;
            let promised_by = open.promised_by.clone();
            if now < expires_at && self.is_majority(now, &promised_by) {
                let lease = &mut self.leases[slice];
                if now >= lease.expires_at {
                    actions.push(DutyAction::Acquired(slice));
                }
                lease.expires_at = lease.expires_at.max(expires_at);
                lease.promised_by = promised_by;
            }
        }
    }
}
