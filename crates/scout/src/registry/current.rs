//! Whether what a registry has is current: a lease by the word of a store that has heard a quorum, and what is told of it.

use std::collections::BTreeMap;

use pinerelay_dance::Membership;
use pinerelay_nectar::fence::{Voters, JOINT};
use pinerelay_nectar::Micros;
use pinerelay_propolis::link::Peer;
use pinerelay_propolis::speech::{Role, Speech, CURRENT};

use super::{Output, Registry, STOOD_STILL};

/// A process that has just begun may have no links yet.
const START: Micros = 1_000_000;

// The lease of an epoch ends one `CURRENT` after it was the newest. This is from when a registry's was added to the store's.
const _: () = assert!(JOINT > 2 * CURRENT + CURRENT / 10);
// A change of the voters' names is agreed on no sooner than this after the one before.
const _: () = assert!(JOINT <= pinerelay_dance::store::PACE);

/// The lease: what was left of a store's own, counted from before it was asked. So it ends no later than the store's, and what
/// a link or a freeze has held up does not make it longer.
#[derive(Debug)]
pub struct Lease {
    /// By store: what its items came to, and until when that counts.
    confirmed: BTreeMap<Peer, (u64, Micros)>,
    until: Micros,
    /// As it was told last.
    told: bool,
}

impl Lease {
    /// One that is over.
    pub fn new(now: Micros) -> Lease {
        Lease { confirmed: BTreeMap::new(), until: now, told: false }
    }

    /// A link to a store has gone.
    pub fn down(&mut self, peer: Peer) {
        self.confirmed.remove(&peer);
    }

    /// The items here come to this: what a store had at a moment is held from then on, whatever comes to it.
    pub fn look(&mut self, own: u64) {
        let same = self.confirmed.values().filter(|(digest, _)| *digest == own);
        self.until = same.map(|(_, until)| *until).max().unwrap_or(0).max(self.until);
    }

    /// Whether this store has confirmed lately that it is current.
    pub fn is_by(&self, store: Peer, now: Micros) -> bool {
        self.confirmed.get(&store).is_some_and(|(_, until)| now < *until)
    }

    /// Whether less than half of it is left.
    pub fn wanes(&self, now: Micros) -> bool {
        now + CURRENT / 2 > self.until
    }

    /// For how long it has been over.
    pub fn over_for(&self, now: Micros) -> Micros {
        now.saturating_sub(self.until)
    }
}

impl Registry {
    /// Whether it has all that was agreed on at a moment not long ago.
    pub fn is_current(&self, now: Micros) -> bool {
        now < self.lease.until
    }

    /// Whether it reaches a majority of the core, as far as it can know. One that has stood still does not know.
    pub(super) fn in_contact(&self, now: Micros) -> bool {
        now <= self.ticked + STOOD_STILL && (self.majority.is_ok() || now < self.begun + START)
    }

    pub(super) fn elect(&mut self, now: Micros, membership: Membership) {
        let members = membership.names();
        log::info!("epoch {}: {} vote", membership.epoch, members.join(", "));
        self.voters.clone_from(&members);
        self.before.clone_from(&membership.before);
        self.fence.elect(now, Voters { epoch: membership.epoch, members, before: membership.before });
    }

    /// A store has confirmed that its copy, which came to this digest, is current until then.
    pub(super) fn confirmed(&mut self, peer: Peer, digest: u64, until: Micros) {
        self.lease.confirmed.insert(peer, (digest, until));
        self.look();
    }

    /// What a proxy is told that asks whether this registry is current: what is left of the lease, or nothing.
    pub(super) fn confirm(&self, now: Micros, peer: Peer, asked: Micros) -> Option<Output> {
        let left = self.lease.until.saturating_sub(now);
        let (epoch, digest) = (self.fence.epoch(now).0, self.realms[0].digest());
        // Danger: a part of an operator's call is no configuration to start with.
        let whole = !self.partial.withheld(now);
        (left > 0 && whole).then_some(Output::Say(peer, Speech::Confirmed { asked, epoch, digest, left }))
    }

    /// Tells the proxies at once when it has become current, or is so no more: who starts waits for it.
    pub(super) fn tell_current(&mut self, now: Micros, out: &mut Vec<Output>) {
        let current = self.is_current(now);
        if std::mem::replace(&mut self.lease.told, current) == current {
            return;
        }
        match current {
            true => log::info!("its configuration is current"),
            false => log::warn!("its configuration is not known to be current: no store confirms it"),
        }
        let proxies = self.of(Role::Forager);
        out.push(Output::SayAll(proxies.clone(), Speech::Standing(self.standing(now))));
        self.tell_proxies(proxies, out);
    }
}
