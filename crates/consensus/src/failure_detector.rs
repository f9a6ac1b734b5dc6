//! The failure detector: which stores are alive, judged by their heartbeats, and which of them should vote.

use std::collections::BTreeMap;

use crate::message::{Member, StoreName};
use crate::Micros;

#[cfg(test)]
mod tests;

/// A member counts as failed after a silence of this length, and is replaced if a spare (non-voting) store is ready.
const FAILURE_TIMEOUT: Micros = 2_500_000;
/// A silence of this length interrupts the time for which a store counts as continuously alive.
const INTERRUPTION_TIMEOUT: Micros = 1_200_000;
/// A spare store must have been continuously alive for this long before it may vote, so that it is likely to stay.
const STABLE_AFTER: Micros = 1_000_000;
/// A store whose replica was equal to the one here within this time counts as up to date.
const EQUAL_REPLICA_MAX_AGE: Micros = 1_200_000;
/// A store that has been alive for this long may vote even if its replica differs: the change of membership delivers the
/// committed items that it lacks.
const UNEQUAL_REPLICA_WAIT: Micros = 1_500_000;
/// If there are fewer spare stores than members to replace and to add, those that replace no failed member join only once
/// they have been alive for this long.
const PARTIAL_GROWTH_AFTER: Micros = 5_000_000;
/// A longer gap between two ticks means that this process has stalled: heartbeats that it did not receive meanwhile do not
/// show that a peer has failed.
const STALL_THRESHOLD: Micros = 700_000;

/// What this store knows about another one.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Peer {
    /// The incarnation of its disk; `None` until it is durable.
    incarnation: Option<u64>,
    /// When its current time of being alive without interruption began.
    alive_since: Micros,
    last_heartbeat: Micros,
    /// When its replica was last known to equal the one here.
    last_equal: Option<Micros>,
}

impl Peer {
    /// Whether it is alive, and its replica is up to date or has had long enough to become so.
    fn is_ready(&self, now: Micros) -> bool {
        let is_equal = self.last_equal.is_some_and(|at| now < at + EQUAL_REPLICA_MAX_AGE);
        now < self.last_heartbeat + INTERRUPTION_TIMEOUT
            && (is_equal || now >= self.alive_since + UNEQUAL_REPLICA_WAIT)
    }
}

/// The failure detector of one store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FailureDetector {
    own_name: StoreName,
    peers: BTreeMap<StoreName, Peer>,
    /// When the last stall of this process, or the last long backlog, ended; 0 if there was none. A peer's silence is counted from here at the earliest.
    watching_since: Micros,
    last_tick: Micros,
}

impl FailureDetector {
    /// Creates a detector that has received no heartbeat yet.
    pub fn new(own_name: StoreName) -> FailureDetector {
        FailureDetector { own_name, peers: BTreeMap::new(), watching_since: 0, last_tick: 0 }
    }

    /// Detects stalls of this process; to be called periodically.
    pub fn tick(&mut self, now: Micros) {
        if now > self.last_tick + STALL_THRESHOLD {
            self.watching_since = now;
        }
        self.last_tick = now;
    }

    /// Heartbeats that arrived within the last `backlog` may not have been handled yet. A long backlog counts as a stall.
    pub fn set_backlog(&mut self, now: Micros, backlog: Micros) {
        if backlog > STALL_THRESHOLD {
            self.watching_since = now;
        }
    }

    /// Records a heartbeat of another store. `is_equal`: its replica has the same digest as the one here.
    pub fn heartbeat(&mut self, now: Micros, name: &str, incarnation: Option<u64>, is_equal: bool) {
        let new = Peer { incarnation, alive_since: now, last_heartbeat: now, last_equal: None };
        let peer = self.peers.entry(name.into()).or_insert(new.clone());
        if peer.incarnation != incarnation || now > peer.last_heartbeat + INTERRUPTION_TIMEOUT {
            *peer = new;
        }
        peer.last_heartbeat = now;
        if is_equal {
            peer.last_equal = Some(now);
        }
    }

    /// The other stores whose last heartbeat is less than `FAILURE_TIMEOUT` old.
    pub fn alive(&self, now: Micros) -> impl Iterator<Item = StoreName> + '_ {
        let alive = self.peers.iter().filter(move |(_, peer)| now < peer.last_heartbeat + FAILURE_TIMEOUT);
        alive.map(|(name, _)| name.clone())
    }

    /// Whether a member is alive, with the disk incarnation with which it votes.
    pub fn is_member_alive(&self, now: Micros, member: &Member) -> bool {
        self.peers.get(&member.name).is_some_and(|peer| {
            peer.incarnation == Some(member.incarnation) && now < peer.last_heartbeat + FAILURE_TIMEOUT
        })
    }

    /// The members that should vote, or `None` if they are the present ones. A store that has lost its disk votes with its
    /// new incarnation, a failed one is replaced by a spare store, and spare stores join until there are `target_count`
    /// members.
    ///
    /// All changes of names that are due form a single change: the next one has to wait for
    /// [`MEMBERSHIP_CHANGE_INTERVAL`](crate::store::MEMBERSHIP_CHANGE_INTERVAL), and further members may be lost meanwhile.
    pub fn next_members(&self, now: Micros, members: &[Member], target_count: usize) -> Option<Vec<Member>> {
        self.with_new_incarnations(now, members).or_else(|| self.with_spares(now, members, target_count))
    }

    /// The members, with new incarnations for those that are back after the loss of their disk; `None` if there are none.
    fn with_new_incarnations(&self, now: Micros, members: &[Member]) -> Option<Vec<Member>> {
        let reincarnated = members.iter().map(|member| self.reincarnated_member(now, member));
        let next: Vec<Member> = reincarnated
            .zip(members)
            .map(|(reincarnated, member)| reincarnated.unwrap_or(member.clone()))
            .collect();
        (next != members).then_some(next)
    }

    /// The member with its new incarnation, if the store has lost its disk and is ready to vote again.
    fn reincarnated_member(&self, now: Micros, member: &Member) -> Option<Member> {
        let peer = self.peers.get(&member.name).filter(|peer| peer.is_ready(now))?;
        let incarnation = peer.incarnation.filter(|incarnation| *incarnation != member.incarnation)?;
        Some(Member { name: member.name.clone(), incarnation })
    }

    /// The members, with failed ones replaced and missing ones added from the spare stores; `None` if nothing changes.
    /// Nothing changes while any member is suspected, so that all that is due forms one change.
    fn with_spares(&self, now: Micros, members: &[Member], target_count: usize) -> Option<Vec<Member>> {
        if members.iter().any(|member| self.is_suspected(now, member)) {
            return None;
        }
        let failed = members.iter().filter(|member| self.has_failed(now, member)).count();
        let missing = target_count.saturating_sub(members.len());
        let mut spares = self.spares(now, members);
        if spares.len() < failed + missing {
            // The spare stores replace failed members first. To fill the other places, wait for more spare stores: they may
            // be about to start.
            let replacing = spares.len().min(failed);
            let long_alive = spares
                .split_off(replacing)
                .into_iter()
                .filter(|(_, alive_since)| now >= alive_since + PARTIAL_GROWTH_AFTER);
            spares.extend(long_alive.collect::<Vec<_>>());
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

    /// Stores that could vote but do not, each with the time since when it has been alive.
    fn spares(&self, now: Micros, members: &[Member]) -> Vec<(Member, Micros)> {
        let is_member = |name: &StoreName| members.iter().any(|member| member.name == *name);
        let spares = self.peers.iter().filter(|(name, peer)| {
            peer.is_ready(now) && now >= peer.alive_since + STABLE_AFTER && !is_member(name)
        });
        let member = |(name, peer): (&StoreName, &Peer)| {
            Some((Member { name: name.clone(), incarnation: peer.incarnation? }, peer.alive_since))
        };
        spares.filter_map(member).collect()
    }

    /// Time since the last heartbeat of a member, or since the last stall of this process if that is later; 0 for this store
    /// itself.
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

    /// Whether a member has missed heartbeats, but not for long enough to count as failed.
    fn is_suspected(&self, now: Micros, member: &Member) -> bool {
        (INTERRUPTION_TIMEOUT..FAILURE_TIMEOUT).contains(&self.silence(now, member))
    }
}
