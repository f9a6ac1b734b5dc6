//! Which stores are there, by their heartbeats, and which of them should vote.

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
/// Where fewer stores are there than members are missing, one that has been there for so long joins all the same.
const PARTIAL_GROWTH_AFTER: Micros = 5_000_000;
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

    /// The members that should vote, if others than these. A store that has lost its disk votes with its new incarnation, one
    /// that has failed gives way to another that is there, and others join until there are as many members as wanted.
    ///
    /// All that is known to be due is one change: the next change of names has to wait, and further members may be lost
    /// meanwhile.
    pub fn next_members(&self, now: Micros, members: &[Member], wanted: usize) -> Option<Vec<Member>> {
        self.with_new_disks(now, members).or_else(|| self.with_spares(now, members, wanted))
    }

    /// The members, those whose disk was lost and that are back with their new incarnations; `None` if there are none.
    fn with_new_disks(&self, now: Micros, members: &[Member]) -> Option<Vec<Member>> {
        let renewed = members.iter().map(|member| self.renewed_member(now, member));
        let next: Vec<Member> =
            renewed.zip(members).map(|(renewed, member)| renewed.unwrap_or(member.clone())).collect();
        (next != members).then_some(next)
    }

    /// The member that a store has become by the loss of its disk.
    fn renewed_member(&self, now: Micros, member: &Member) -> Option<Member> {
        let peer = self.peers.get(&member.name).filter(|peer| peer.is_ready(now))?;
        let incarnation = peer.incarnation.filter(|incarnation| *incarnation != member.incarnation)?;
        Some(Member { name: member.name.clone(), incarnation })
    }

    /// The members, with spare stores in place of those that have failed and as further ones; `None` if there is no change.
    fn with_spares(&self, now: Micros, members: &[Member], wanted: usize) -> Option<Vec<Member>> {
        if members.iter().any(|member| self.is_suspected(now, member)) {
            return None;
        }
        let failed = members.iter().filter(|member| self.has_failed(now, member)).count();
        let missing = wanted.saturating_sub(members.len());
        let mut spares = self.spares(now, members);
        if spares.len() < failed + missing {
            // Those that are there replace what has failed; what is still missing may be about to come.
            let replacing = spares.len().min(failed);
            let patient = spares
                .split_off(replacing)
                .into_iter()
                .filter(|(_, since)| now >= since + PARTIAL_GROWTH_AFTER);
            spares.extend(patient.collect::<Vec<_>>());
        }
        let mut spares = spares.into_iter().map(|(member, _)| member);
        let replace = |member: &Member| {
            let spare = if self.has_failed(now, member) { spares.next() } else { None };
            spare.unwrap_or(member.clone())
        };
        let mut next: Vec<Member> = members.iter().map(replace).collect();
        next.extend(spares.take(missing));
        next.sort();
        (next != members).then_some(next)
    }

    /// Stores that could vote and do not, each with since when it has been there.
    fn spares(&self, now: Micros, members: &[Member]) -> Vec<(Member, Micros)> {
        let is_member = |name: &StoreName| members.iter().any(|member| member.name == *name);
        let spares = self.peers.iter().filter(|(name, peer)| {
            peer.is_ready(now) && now >= peer.since + STABLE_AFTER && !is_member(name)
        });
        let member = |(name, peer): (&StoreName, &Peer)| {
            Some((Member { name: name.clone(), incarnation: peer.incarnation? }, peer.since))
        };
        spares.filter_map(member).collect()
    }

    /// For how long nothing has been heard of a member; 0 for this store itself.
    fn silence(&self, now: Micros, member: &Member) -> Micros {
        if member.name == self.own_name {
            return 0;
        }
        let last_heartbeat = self.peers.get(&member.name).map_or(0, |peer| peer.last_heartbeat);
        now.saturating_sub(last_heartbeat.max(self.watching_since))
    }

    fn has_failed(&self, now: Micros, member: &Member) -> bool {
        self.silence(now, member) >= FAILURE_TIMEOUT
    }

    /// Whether a member is silent and may be about to fail.
    fn is_suspected(&self, now: Micros, member: &Member) -> bool {
        (INTERRUPTION..FAILURE_TIMEOUT).contains(&self.silence(now, member))
    }
}
