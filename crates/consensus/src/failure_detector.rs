//! Which stores are there, by their heartbeats, and which of them should vote in place of one that is not.

use std::collections::BTreeMap;

use crate::message::{Member, StoreName};
use crate::Micros;

/// A member that has been silent for so long is replaced, if another store is there that does not vote.
const FAILURE_TIMEOUT: Micros = 2_500_000;
/// A store that has been silent for so long has not been there without interruption.
const INTERRUPTION: Micros = 1_200_000;
/// A replacement must have been there for so long, so that it stays.
const STABLE_AFTER: Micros = 1_000_000;
/// Its replica must have been equal within so long.
const EQUAL_WITHIN: Micros = 1_200_000;
/// A store that has been there for longer is taken even if its replica differs: what it lacks comes with the change.
const REPLICA_PATIENCE: Micros = 1_500_000;
/// A gap between two ticks after which the process has stalled: what it did not hear meanwhile tells nothing.
const STALL: Micros = 700_000;

/// What is known of another store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Peer {
    /// The incarnation of its disk; `None` until the disk holds it.
    incarnation: Option<u64>,
    /// Since when it has been there without interruption.
    since: Micros,
    last_heartbeat: Micros,
    /// When its replica was last equal to the one here.
    last_equal: Option<Micros>,
}

impl Peer {
    /// Whether it is there and its replica is as good as it gets.
    fn is_ready(&self, now: Micros) -> bool {
        let is_equal = self.last_equal.is_some_and(|at| now < at + EQUAL_WITHIN);
        now < self.last_heartbeat + INTERRUPTION && (is_equal || now >= self.since + REPLICA_PATIENCE)
    }
}

/// The other stores.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FailureDetector {
    own_name: StoreName,
    peers: BTreeMap<StoreName, Peer>,
    /// From when on silence tells something.
    watching_since: Micros,
    last_tick: Micros,
}

impl FailureDetector {
    /// A detector that has heard nobody yet.
    pub fn new(own_name: StoreName) -> FailureDetector {
        FailureDetector { own_name, peers: BTreeMap::new(), watching_since: 0, last_tick: 0 }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros) {
        if now > self.last_tick + STALL {
            self.watching_since = now;
        }
        self.last_tick = now;
    }

    /// A heartbeat of another store has come. `is_equal`: its replica has the digest of the one here.
    pub fn heartbeat(&mut self, now: Micros, name: &str, incarnation: Option<u64>, is_equal: bool) {
        let new = Peer { incarnation, since: now, last_heartbeat: now, last_equal: None };
        let peer = self.peers.entry(name.into()).or_insert(new.clone());
        if peer.incarnation != incarnation || now > peer.last_heartbeat + INTERRUPTION {
            *peer = new;
        }
        peer.last_heartbeat = now;
        if is_equal {
            peer.last_equal = Some(now);
        }
    }

    /// The stores that have been heard lately.
    pub fn alive(&self, now: Micros) -> impl Iterator<Item = StoreName> + '_ {
        let alive = self.peers.iter().filter(move |(_, peer)| now < peer.last_heartbeat + FAILURE_TIMEOUT);
        alive.map(|(name, _)| name.clone())
    }

    /// Whether a member has been heard lately, with the disk with which it votes.
    pub fn hears(&self, now: Micros, member: &Member) -> bool {
        self.peers.get(&member.name).is_some_and(|peer| {
            peer.incarnation == Some(member.incarnation) && now < peer.last_heartbeat + FAILURE_TIMEOUT
        })
    }

    /// The members that should vote, if others than these. A store that has lost its disk votes with its new incarnation, and
    /// one that has failed gives way to another that is there. One member changes at a time.
    pub fn replacement(&self, now: Micros, members: &[Member]) -> Option<Vec<Member>> {
        let renewed = self.renewed_member(now, members);
        let (index, by) = renewed.or_else(|| self.failed_member(now, members))?;
        let mut next = members.to_vec();
        next[index] = by;
        next.sort();
        Some(next)
    }

    /// A member whose disk was lost and that is back: its index, and the member that it is now.
    fn renewed_member(&self, now: Micros, members: &[Member]) -> Option<(usize, Member)> {
        let others = members.iter().enumerate().filter(|(_, member)| member.name != self.own_name);
        others.into_iter().find_map(|(index, member)| {
            let peer = self.peers.get(&member.name).filter(|peer| peer.is_ready(now))?;
            let incarnation = peer.incarnation.filter(|incarnation| *incarnation != member.incarnation)?;
            Some((index, Member { name: member.name.clone(), incarnation }))
        })
    }

    /// A member that has failed: its index, and a store that can replace it.
    fn failed_member(&self, now: Micros, members: &[Member]) -> Option<(usize, Member)> {
        let index = members.iter().position(|member| self.has_failed(now, member))?;
        let is_member = |name: &StoreName| members.iter().any(|member| member.name == *name);
        let mut spares = self.peers.iter().filter(|(name, peer)| {
            peer.is_ready(now) && now >= peer.since + STABLE_AFTER && !is_member(name)
        });
        let spare = spares.find_map(|(name, peer)| Some((name.clone(), peer.incarnation?)));
        spare.map(|(name, incarnation)| (index, Member { name, incarnation }))
    }

    fn has_failed(&self, now: Micros, member: &Member) -> bool {
        let last_heartbeat = self.peers.get(&member.name).map_or(0, |peer| peer.last_heartbeat);
        member.name != self.own_name && now >= last_heartbeat.max(self.watching_since) + FAILURE_TIMEOUT
    }
}
