//! What a registry takes over from others and passes on: news at once, all else where digests differ.
//!
//! Proxies are told of configuration in whole operator's calls only. Anti-entropy brings a call in pieces, so while it is under
//! way between this registry and a store, proxies hear nothing of the configuration from here; they have other registries.

use pinerelay_cells::merkle::Part;
use pinerelay_cells::server::Server;
use pinerelay_cells::{Cells, Item};
use pinerelay_nectar::Micros;
use pinerelay_propolis::link::Peer;
use pinerelay_propolis::speech::{compare, mend, Hello, Role, Speech, REGISTRIES};

use super::{Output, Registry, PULSE};

/// Proxies are told of a configuration that came in pieces after so long at the latest.
const PARTIAL_FOR: Micros = 1_000_000;
/// Which of the two sets of items is the configuration's.
const CONFIG_REALM: usize = 0;

/// In which portions items have come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Arrival {
    /// All items of an operator's call together.
    Call,
    /// As anti-entropy cuts them.
    Piece,
}

/// Whether the configuration here may hold a part of an operator's call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum Partial {
    /// It was that of a store since the last piece came.
    #[default]
    No,
    /// Pieces have come since this moment.
    Since(Micros),
}

impl Partial {
    /// Whether proxies are not told yet.
    pub(super) fn withheld(self, now: Micros) -> bool {
        matches!(self, Partial::Since(since) if now < since + PARTIAL_FOR)
    }
}

impl Registry {
    /// Takes items that are news, and passes them on to those who have not heard them from their source; tells whether there
    /// were any.
    pub(super) fn merge(
        &mut self,
        from: Peer,
        hello: &Hello,
        items: Vec<Item>,
        arrival: Arrival,
        out: &mut Vec<Output>,
    ) -> bool {
        let mut news = Vec::new();
        let wall = self.wall(self.ticked);
        for item in items.into_iter().filter(|item| !Server::past(item, wall)) {
            let realm = usize::from(!item.key.kind.is_config());
            if self.realms[realm].merge(item.clone()) {
                self.noted(&item);
                news.push(item);
            }
        }
        if news.is_empty() {
            return false;
        }
        if news.iter().any(|item| item.key.kind.is_config()) {
            news.iter().for_each(|item| self.table.change(item));
            if arrival == Arrival::Piece {
                self.begin_partial();
                news.retain(|item| !item.key.kind.is_config());
            }
            self.look();
            self.end_partial(out);
        }
        self.pass_on(from, hello, news, out);
        true
    }

    fn pass_on(&mut self, from: Peer, hello: &Hello, news: Vec<Item>, out: &mut Vec<Output>) {
        if news.is_empty() {
            return;
        }
        // What another registry says it has told its proxies itself; digests mend what they have missed.
        // One that does not vote has no proxies, and while voters change one that does may not have them yet.
        let all_linked = self.voters.len() <= REGISTRIES && !self.fence.is_joint(self.ticked);
        let told = hello.role == Role::Scout && all_linked && self.voters.contains(&hello.ip);
        let mut to = if told { Vec::new() } else { self.of(Role::Forager) };
        if hello.role == Role::Forager {
            to.extend(self.scouts().into_values());
        }
        if hello.role != Role::Comb && news.iter().any(|item| !item.key.kind.is_config()) {
            to.extend(self.own_store());
        }
        to.retain(|peer| *peer != from);
        // More would hold up what is said behind it: the others ask for it in pieces.
        let speech = if Cells::are_few(&news) { Speech::News(news) } else { Speech::Digest(self.digests()) };
        out.push(Output::SayAll(to, speech));
    }

    pub(super) fn digest(&mut self, peer: Peer, hello: &Hello, digests: [u64; 2], out: &mut Vec<Output>) {
        let own = self.digests();
        if matches!(hello.role, Role::Comb | Role::Scout) && digests == own {
            self.agreed = self.ticked;
        }
        // A talk that is under way goes on by itself.
        let at_it = self.mended.get(&peer).is_some_and(|at| self.ticked < at + PULSE / 2);
        for (realm, digest) in digests.into_iter().enumerate() {
            if !at_it && digest != self.realms[realm].digest() && !self.withholds(hello, realm) {
                out.push(Output::Say(peer, compare(&self.realms[realm], realm as u8)));
            }
        }
        if hello.role == Role::Comb {
            self.stored.insert(peer, digests[0]);
            self.look();
            self.end_partial(out);
        }
    }

    /// Answers what another copy says of its items.
    pub(super) fn answer_parts(
        &self,
        peer: Peer,
        hello: &Hello,
        realm: u8,
        parts: &[Part],
        out: &mut Vec<Output>,
    ) {
        let Some(items) = self.realms.get(usize::from(realm)) else { return };
        if !self.withholds(hello, usize::from(realm)) {
            out.extend(mend(items, realm, parts).map(|speech| Output::Say(peer, speech)));
        }
    }

    /// Says to proxies what the items here come to.
    pub(super) fn tell_proxies(&self, proxies: Vec<Peer>, out: &mut Vec<Output>) {
        if !self.partial.withheld(self.ticked) {
            out.push(Output::SayAll(proxies, Speech::Digest(self.digests())));
        }
    }

    /// Looks whether it has all that a store has whose copy is whole.
    pub(super) fn look(&mut self) {
        let own = self.realms[CONFIG_REALM].digest();
        let whole = |(peer, whole): (&Peer, &bool)| *whole && self.stored.get(peer) == Some(&own);
        if !self.whole && self.stores.iter().any(whole) {
            log::info!("has the whole configuration: {} items", self.realms[CONFIG_REALM].len());
            self.whole = true;
            // The proxies wait for this.
            self.pulse_at = self.ticked;
        }
        self.lease.look(own);
    }

    /// Tells the proxies once the configuration here is that of a store again.
    fn end_partial(&mut self, out: &mut Vec<Output>) {
        let own = self.realms[CONFIG_REALM].digest();
        if self.partial != Partial::No && self.stored.values().any(|stored| *stored == own) {
            self.partial = Partial::No;
            self.tell_proxies(self.of(Role::Forager), out);
        }
    }

    fn begin_partial(&mut self) {
        if self.partial == Partial::No {
            self.partial = Partial::Since(self.ticked);
        }
    }

    /// Whether nothing is said of these items to that process.
    fn withholds(&self, hello: &Hello, realm: usize) -> bool {
        hello.role == Role::Forager && realm == CONFIG_REALM && self.partial.withheld(self.ticked)
    }
}
