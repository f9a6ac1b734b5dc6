//! Duties: exclusive ownership of keys, such as tenants, by one node at a time, based on majority leases.
//!
//! Keys are hashed into slices. A node claims the slices that rendezvous hashing assigns to it among the nodes that it sees
//! alive. It acts for a slice only while it holds a lease: a majority of the voters has promised it the slice for a period that
//! the node counts from before it sent the claim, and a voter promises the slice to no other node until that period has expired
//! on the voter's own clock. So two nodes never act for a slice at once, whatever each of them sees, and clocks need to agree
//! only in their rate (Gray and Cheriton, "Leases", 1989).
//!
//! The set of voters changes by epochs, and a majority of one epoch need not intersect a majority of the next. So a node acts
//! only while a quorum has recently confirmed that its epoch is the newest. After a change it also needs a majority of the
//! previous epoch's voters, until all leases of that epoch have expired ([`JOINT_PERIOD`]; compare joint consensus in Ongaro and
//! Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014, section 6).

use std::collections::{BTreeMap, BTreeSet};

use bincode::{Decode, Encode};
use pinerelay_config_state::hash;

use crate::Micros;

/// The number of slices that keys are hashed into.
pub const SLICE_COUNT: usize = 16;
/// For how long a voter's promise of a slice is valid. No node acts for a slice for longer than this after the last claim that it
/// sent.
pub const PROMISE_DURATION: Micros = 900_000;
/// The holder of a lease stops this much before the promises expire, because clocks run at different rates.
const CLOCK_MARGIN: Micros = 100_000;
/// For this long after a change of epoch, majorities of both epochs are needed. This is longer than the lease of an epoch,
/// counted from when that epoch was the newest. Consecutive epochs are agreed on at least this far apart.
pub const JOINT_PERIOD: Micros = 4_400_000;
/// How often a node renews its claims.
const RENEWAL_INTERVAL: Micros = 250_000;
/// After an incomplete promise the node claims again after this time at the latest.
const RETRY_INTERVAL: Micros = 50_000;

/// A message between the nodes that share duties. The order of variants and fields is part of the encoding on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum DutyMessage {
    /// Requests promises for a set of slices, or their renewal.
    Claim {
        /// The number of the claim, which the answer repeats.
        claim: u64,
        /// Bit set of the claimed slices.
        slices: u32,
    },
    /// Answers a claim with the slices that the sender promises.
    Promise {
        /// The number of the answered claim.
        claim: u64,
        /// Bit set of the promised slices.
        slices: u32,
    },
    /// The sender no longer acts for a set of slices, and promises to it can be dropped.
    Release {
        /// The last claim that this release covers; promises for later claims stay valid.
        claim: u64,
        /// Bit set of the released slices.
        slices: u32,
    },
}

/// The voters of an epoch.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Voters {
    /// Increases with each change of the voters; 0 if none are known.
    pub epoch: u64,
    /// The voters of this epoch.
    pub members: Vec<String>,
    /// The voters of the previous epoch; empty in the first one.
    pub previous: Vec<String>,
}

/// Returns the slice that a key belongs to.
pub fn slice_of(key: &str) -> usize {
    (hash::hash_parts(&[key.as_bytes()]) % SLICE_COUNT as u64) as usize
}

/// Returns the node that should own a slice, chosen by rendezvous hashing among the live nodes.
pub fn slice_owner<'a>(slice: usize, alive: impl IntoIterator<Item = &'a String>) -> Option<&'a String> {
    hash::rendezvous_order(&format!("duty-{slice}"), alive).into_iter().next()
}

/// Iterates over the slices whose bits are set.
fn slices_in(bits: u32) -> impl Iterator<Item = usize> {
    (0..SLICE_COUNT).filter(move |slice| bits & (1 << slice) != 0)
}

/// The latest claim of a slice; the next claim replaces it.
#[derive(Debug, Clone)]
struct Claim {
    number: u64,
    sent_at: Micros,
    promised_by: BTreeSet<String>,
}

/// This node's lease of one slice.
#[derive(Debug, Clone, Default)]
struct SliceLease {
    /// The lease's end; 0 if there is no lease.
    expires_at: Micros,
    /// The voters whose promises support the lease.
    promised_by: BTreeSet<String>,
    claim: Option<Claim>,
}

/// A promise of one slice that this node has made as a voter.
#[derive(Debug, Clone)]
struct SlicePromise {
    holder: String,
    claim: u64,
    expires_at: Micros,
}

/// An action that the caller of [`DutyTable`] has to carry out.
#[derive(Debug, PartialEq, Eq)]
pub enum DutyAction {
    /// Send a message to another node.
    Send(String, DutyMessage),
    /// This node starts to act for a slice, without any state from its previous owner.
    Acquired(usize),
}

/// The leases that one node holds, and the promises that it has made as a voter.
#[derive(Debug)]
pub struct DutyTable {
    own_name: String,
    voters: Voters,
    /// Until this time, majorities of both epochs are needed.
    joint_until: Micros,
    /// The end of the epoch's lease: a quorum has confirmed that the epoch was the newest, so the node may act until this time.
    epoch_lease_until: Micros,
    /// The other nodes that are reachable.
    alive: BTreeSet<String>,
    /// An earlier process of this node may have promised slices. This process promises nothing until those promises have
    /// expired, or until all nodes that may rely on them have learned of the restart and dropped them.
    promises_from: Micros,
    /// Nodes that have learned of the restart.
    introduced_to: BTreeSet<String>,
    leases: Vec<SliceLease>,
    /// Promises that this node has made, by slice.
    promises: BTreeMap<usize, SlicePromise>,
    /// The number of this node's last claim.
    last_claim: u64,
    /// When the slices are claimed next, unless the set of live nodes changes before.
    renew_at: Micros,
}

impl DutyTable {
    /// Creates the table of a process that starts now. `first_start` means that the whole system starts for the first time, so
    /// no earlier process has promised a slice.
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

    /// Replaces the voters, unless the given epoch is not newer than the known one.
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

    /// Records that a quorum has confirmed `epoch` as the newest one: the node may act in it until `until`.
    pub fn epoch_confirmed(&mut self, epoch: u64, until: Micros) {
        if epoch == self.voters.epoch {
            self.epoch_lease_until = self.epoch_lease_until.max(until);
        }
    }

    /// Records that another node has known `epoch` for longer than [`JOINT_PERIOD`], which ends the joint period here as well.
    pub fn epoch_settled(&mut self, epoch: u64) {
        if epoch == self.voters.epoch {
            self.joint_until = 0;
        }
    }

    /// The newest known epoch of voters.
    pub fn epoch(&self) -> u64 {
        self.voters.epoch
    }

    /// Whether majorities of both epochs are needed: no node is known to have had the epoch for [`JOINT_PERIOD`].
    pub fn is_joint(&self, now: Micros) -> bool {
        now < self.joint_until
    }

    /// Records that another node has learned that this process is a new one.
    pub fn peer_introduced(&mut self, name: &str) {
        self.introduced_to.insert(name.into());
    }

    /// Handles the restart of another node: promises of its earlier process are no longer valid.
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

    /// Drops leases that are no longer supported by a majority.
    fn drop_unsupported(&mut self, now: Micros) {
        for slice in 0..SLICE_COUNT {
            let lease = &self.leases[slice];
            if lease.expires_at > 0 && !self.is_majority(now, &lease.promised_by) {
                self.leases[slice].expires_at = 0;
                self.renew_at = 0;
            }
        }
    }

    /// Whether the nodes are a majority of the voters and, during the joint period, of the previous voters too.
    fn is_majority(&self, now: Micros, nodes: &BTreeSet<String>) -> bool {
        let is_majority_of =
            |voters: &[String]| voters.iter().filter(|name| nodes.contains(*name)).count() * 2 > voters.len();
        is_majority_of(&self.voters.members) && (!self.is_joint(now) || is_majority_of(&self.voters.previous))
    }

    /// Whether a node is eligible for slices. New voters are not during the joint period: a restarted node may know only the
    /// previous epoch, and before it promises again it waits just for that epoch's voters to learn of the restart. It could
    /// promise a slice to another node while a new voter still relies on a promise of its earlier process.
    fn is_eligible(&self, now: Micros, name: &String) -> bool {
        let Voters { members, previous, .. } = &self.voters;
        members.contains(name) && (!self.is_joint(now) || previous.contains(name))
    }

    /// The voters of this epoch and the previous one, without this node.
    fn other_voters(&self) -> BTreeSet<&String> {
        let voters = self.voters.members.iter().chain(&self.voters.previous);
        voters.filter(|name| **name != self.own_name).collect()
    }

    /// Whether this node may act for a slice now.
    pub fn holds(&self, now: Micros, slice: usize) -> bool {
        now < self.leases[slice].expires_at.min(self.epoch_lease_until)
    }

    /// The number of slices that this node may act for now.
    pub fn held_count(&self, now: Micros) -> usize {
        (0..SLICE_COUNT).filter(|&slice| self.holds(now, slice)).count()
    }

    /// Claims, renews and releases slices as time passes or the set of live nodes changes. `alive` holds the other nodes that are
    /// reachable.
    pub fn tick(&mut self, now: Micros, alive: BTreeSet<String>, actions: &mut Vec<DutyAction>) {
        let has_changed = alive != self.alive;
        self.alive = alive;
        if now < self.renew_at && !has_changed {
            return;
        }
        self.renew_at = now + RENEWAL_INTERVAL;
        let owned = self.owned_slices(now);
        let released = self.drop_unowned(owned);
        if released != 0 {
            let claim = self.last_claim;
            self.broadcast(DutyMessage::Release { claim, slices: released }, actions);
            self.on_release(&self.own_name.clone(), claim, released);
        }
        if owned != 0 {
            self.claim(now, owned, actions);
        }
    }

    /// The bit set of the slices that this node should own.
    fn owned_slices(&self, now: Micros) -> u32 {
        let nodes = self.alive.iter().chain(std::iter::once(&self.own_name));
        let nodes: Vec<&String> = nodes.filter(|name| self.is_eligible(now, name)).collect();
        let is_owned = |slice: &usize| slice_owner(*slice, nodes.iter().copied()) == Some(&self.own_name);
        (0..SLICE_COUNT).filter(is_owned).fold(0, |bits, slice| bits | 1 << slice)
    }

    /// Drops all leases and claims except for the owned slices, and returns the bit set of those to release. Claims without a
    /// majority are released too, because some voters may have promised them.
    fn drop_unowned(&mut self, owned: u32) -> u32 {
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

    /// Sends a new claim to the other voters, and promises the slices itself as far as it can.
    fn claim(&mut self, now: Micros, slices: u32, actions: &mut Vec<DutyAction>) {
        self.last_claim += 1;
        let claim = self.last_claim;
        for slice in slices_in(slices) {
            let promised_by = BTreeSet::new();
            self.leases[slice].claim = Some(Claim { number: claim, sent_at: now, promised_by });
        }
        self.broadcast(DutyMessage::Claim { claim, slices }, actions);
        let promised = self.promise(now, &self.own_name.clone(), claim, slices);
        self.on_promise(now, &self.own_name.clone(), claim, promised, actions);
    }

    /// Releases all slices at a planned shutdown, and schedules no further claim.
    pub fn release_all(&mut self, actions: &mut Vec<DutyAction>) {
        self.leases = vec![SliceLease::default(); SLICE_COUNT];
        self.renew_at = Micros::MAX;
        self.broadcast(DutyMessage::Release { claim: self.last_claim, slices: u32::MAX }, actions);
    }

    /// Handles a message from another node.
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

    /// Brings the next claim forward if a slice of this claim is still without a lease: its current holder may release it soon.
    fn retry_soon(&mut self, now: Micros, claim: u64) {
        let is_open = |lease: &SliceLease| {
            lease.expires_at <= now && lease.claim.as_ref().is_some_and(|open| open.number == claim)
        };
        if self.leases.iter().any(is_open) {
            self.renew_at = self.renew_at.min(now + RETRY_INTERVAL);
        }
    }

    /// Sends a message to all other voters.
    fn broadcast(&self, message: DutyMessage, actions: &mut Vec<DutyAction>) {
        let voters = self.other_voters().into_iter();
        actions.extend(voters.map(|voter| DutyAction::Send(voter.clone(), message.clone())));
    }

    /// Whether this process may promise slices yet. Without an epoch lease there may be voters that it does not know.
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

    /// Promises slices to a node, except those promised to other nodes; returns the bit set of the promised ones.
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

    /// Drops the promises of released slices, except those for claims after the release.
    fn on_release(&mut self, from: &str, claim: u64, slices: u32) {
        self.promises.retain(|slice, promise| {
            promise.holder != from || promise.claim > claim || slices & (1 << *slice) == 0
        });
    }

    /// Records a voter's promises, and grants or extends the leases that a majority supports.
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
            let expires_at = open.sent_at + PROMISE_DURATION - CLOCK_MARGIN;
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
