//! What the proxy hears from the registries, and what it asks of them: a state machine without clock or sockets.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use pinerelay_cells::hash::rendezvous;
use pinerelay_cells::item::{Item, Kind};
use pinerelay_cells::routes::Table;
use pinerelay_cells::server::{Server, State};
use pinerelay_cells::Cells;
use pinerelay_nectar::fence::{owner, slice};
use pinerelay_nectar::purse::{Admission, Ask, Grant, Purse};
use pinerelay_nectar::Micros;
use pinerelay_propolis::link::Peer;
use pinerelay_propolis::speech::{compare, mend, Hello, Role, Speech, Standing, CURRENT, REGISTRIES};

/// How often it says what it has, and that it is there: the counts keep back the share of one that is not heard.
const PULSE: Micros = 600_000;
const HERE: Micros = 200_000;
/// With no current registry for so long a proxy that starts serves what it has. That is longer than a configuration may
/// take to a machine while the core is not settled, and shorter than service may take to come back after a loss.
const UNCONFIRMED: Micros = 10_000_000;
/// A gap between two ticks by which the process has stood still: what it did not hear tells nothing.
const STOOD_STILL: Micros = 700_000;
/// Items that came in pieces are kept out of a table in force for so long at the most, but for the first one. A proxy that was cut off has longer
/// than this, from the moment when it is reached again, to put in force what was acknowledged meanwhile.
const PARTIAL_FOR: Micros = 1_000_000;

/// What the proxy wants done.
#[derive(Debug)]
pub enum Output {
    /// Say this on a connection.
    Say(Peer, Speech),
    /// Cut a connection.
    Cut(Peer),
    /// This configuration is in force from now on.
    Configured(Arc<Table>),
    /// What is known of a server has changed; none: it has left.
    Server(String, Option<Server>),
    /// A request that waited for a unit has one, or is refused.
    Admitted(u64, Admission),
    /// This node's number among so many.
    Placed(u32, u32),
}

struct Registry {
    hello: Hello,
    /// How things stood there.
    standing: Option<Standing>,
    /// What its configuration's items came to, as it said last.
    digest: Option<u64>,
    /// What they came to when it last confirmed that it is current, and until when that counts.
    confirmed: Option<(u64, Micros)>,
    /// When units were asked for there, of asks without an answer: answers come in the same order.
    draws: VecDeque<Micros>,
    /// When it said something of anti-entropy last.
    mended: Option<Micros>,
}

/// What is heard.
pub struct Hearing {
    hello: Hello,
    seeds: Vec<String>,
    known: BTreeSet<String>,
    realms: [Cells; 2],
    /// What the configuration's items make.
    table: Arc<Table>,
    /// The table holds something that is not in force.
    unpublished: bool,
    /// A table with routes is in force.
    serves: bool,
    /// Since when the table may hold a part of an operator's call: items came in pieces, and a registry has not yet told of
    /// the same configuration.
    partial: Option<Micros>,
    /// The tenants' units that are here.
    pub purse: Purse,
    registries: BTreeMap<Peer, Registry>,
    /// The configuration here was once that of a registry whose own was whole and current.
    whole: bool,
    /// Since when there is no such registry, but one that is whole.
    alone: Option<Micros>,
    /// It began to serve what it has although no registry was current.
    unconfirmed: bool,
    /// A registry that reaches a majority of the core has been heard: there is somebody who counts.
    counted: bool,
    placed: (u32, u32),
    /// Of a slice: how often in a row its owner, as seen from here, did not have the duty.
    astray: BTreeMap<usize, usize>,
    /// When what it has last agreed with what a registry has.
    agreed: Micros,
    pulse_at: Micros,
    here_at: Micros,
    ticked: Micros,
}

impl Hearing {
    /// One that has heard nothing yet.
    pub fn new(now: Micros, hello: Hello, seeds: Vec<String>) -> Hearing {
        Hearing {
            hello,
            known: BTreeSet::new(),
            seeds,
            realms: Default::default(),
            table: Arc::default(),
            unpublished: false,
            serves: false,
            partial: None,
            purse: Purse::new(),
            registries: BTreeMap::new(),
            whole: false,
            alone: None,
            unconfirmed: false,
            counted: false,
            placed: (0, 1),
            astray: BTreeMap::new(),
            agreed: now,
            pulse_at: now,
            here_at: now,
            ticked: now,
        }
    }

    /// The settings name other machines now.
    pub fn reseed(&mut self, seeds: Vec<String>) {
        self.seeds = seeds;
    }

    /// The registries that it wants links to.
    pub fn wanted(&self) -> Vec<String> {
        let all: BTreeSet<&String> = self.seeds.iter().chain(&self.known).collect();
        let standings = self.registries.values().filter_map(|r| r.standing.as_ref());
        let newest = standings.max_by_key(|s| (s.epoch, s.voters.len()));
        let voters: Vec<&String> = newest.into_iter().flat_map(|s| &s.voters).collect();
        let mut named = voters.clone();
        named.extend(rendezvous(&self.hello.node, all.into_iter().filter(|ip| !voters.contains(ip))));
        // One that does not answer must not leave it with fewer than there are.
        let linked: BTreeSet<&String> = self.registries.values().map(|r| &r.hello.ip).collect();
        let mut wanted: Vec<String> = Vec::new();
        for ip in named {
            let reached = wanted.iter().filter(|ip| linked.contains(ip)).count();
            if reached < REGISTRIES {
                wanted.push(ip.clone());
            }
        }
        wanted
    }

    /// Whether it has a whole configuration, and has heard of somebody who counts. Once it has, it stays so: a proxy that is
    /// cut off lives on its shares.
    pub fn whole(&self) -> bool {
        self.whole && self.counted || self.unconfirmed
    }

    /// Whether it serves a configuration that no registry has confirmed as current.
    pub fn unconfirmed(&self) -> bool {
        self.unconfirmed && !self.whole
    }

    /// The configuration's items, and all others.
    pub fn realms(&self) -> &[Cells; 2] {
        &self.realms
    }

    /// How many proxies share the tenants' rates.
    pub fn nodes(&self) -> usize {
        self.placed.1.max(1) as usize
    }

    /// The connections to registries.
    pub fn peers(&self) -> Vec<Peer> {
        self.registries.keys().copied().collect()
    }

    /// How many registries are linked.
    pub fn linked(&self) -> usize {
        self.registries.len()
    }

    /// For how long nothing that a registry has was the same as here.
    pub fn behind(&self, now: Micros) -> Micros {
        now.saturating_sub(self.agreed)
    }

    /// A connection has come up.
    pub fn up(&mut self, peer: Peer, out: &mut Vec<Output>) {
        out.push(Output::Say(peer, Speech::Hello(self.hello.clone())));
    }

    /// A connection has gone.
    pub fn down(&mut self, peer: Peer) {
        self.registries.remove(&peer);
    }

    /// Something was said.
    pub fn said(&mut self, now: Micros, peer: Peer, speech: Speech, out: &mut Vec<Output>) {
        self.hear(now, peer, speech, out);
        self.publish(now, out);
    }

    fn hear(&mut self, now: Micros, peer: Peer, speech: Speech, out: &mut Vec<Output>) {
        if let Speech::Hello(hello) = speech {
            // One that looks on wants figures alone.
            if hello.role == Role::Visitor {
                return;
            }
            // A connection belongs to one life at each end.
            if hello.role != Role::Scout || self.registries.contains_key(&peer) {
                return out.push(Output::Cut(peer));
            }
            self.known.insert(hello.ip.clone());
            let registry = Registry {
                hello,
                standing: None,
                digest: None,
                confirmed: None,
                draws: VecDeque::new(),
                mended: None,
            };
            self.registries.insert(peer, registry);
            out.push(Output::Say(peer, Speech::Digest(self.digests())));
            return;
        }
        let Some(registry) = self.registries.get_mut(&peer) else { return out.push(Output::Cut(peer)) };
        match speech {
            Speech::Standing(standing) => {
                self.counted |= standing.majority;
                self.known.extend(standing.scouts.iter().cloned());
                if standing.current && !self.whole {
                    out.push(Output::Say(peer, Speech::Confirm(now)));
                }
                registry.standing = Some(standing);
            }
            Speech::Confirmed { asked, digest, left, .. } if asked <= now => {
                registry.confirmed = Some((digest, asked.saturating_add(left.min(CURRENT))));
                self.look(now);
            }
            Speech::Placed { me, nodes } if self.placed != (me, nodes) => {
                self.placed = (me, nodes);
                self.purse.shared_by(nodes as usize);
                out.push(Output::Placed(me, nodes));
            }
            Speech::News(items) => {
                self.merge(now, items, out);
            }
            Speech::Digest(digests) => {
                registry.digest = Some(digests[0]);
                let own = [self.realms[0].digest(), self.realms[1].digest()];
                if digests == own {
                    self.agreed = now;
                }
                // A talk that is under way goes on by itself.
                let at_it = registry.mended.is_some_and(|at| now < at + PULSE / 2);
                for realm in 0..2 {
                    if !at_it && digests[realm] != own[realm] {
                        out.push(Output::Say(peer, compare(&self.realms[realm], realm as u8)));
                    }
                }
                self.look(now);
            }
            Speech::Mend { realm, items, parts } => {
                registry.mended = Some(now);
                let published = !self.unpublished;
                let goes_on = items.is_empty() || self.merge(now, items, out);
                if published && self.unpublished {
                    self.partial.get_or_insert(now);
                }
                if let Some(cells) = self.realms.get(usize::from(realm)).filter(|_| goes_on) {
                    out.extend(mend(cells, realm, &parts).map(|speech| Output::Say(peer, speech)));
                }
            }
            Speech::Drawn(grants) => {
                let Some(asked) = registry.draws.pop_front() else { return out.push(Output::Cut(peer)) };
                for (tenant, grant) in grants {
                    let slice = slice(&tenant);
                    match grant {
                        Grant::Elsewhere => *self.astray.entry(slice).or_default() += 1,
                        _ => {
                            self.astray.remove(&slice);
                        }
                    }
                    let ended = self.purse.granted(now, asked, &tenant, grant);
                    out.extend(ended.into_iter().map(|(id, admission)| Output::Admitted(id, admission)));
                }
                self.ask(now, out);
            }
            _ => {}
        }
    }

    fn digests(&self) -> [u64; 2] {
        [self.realms[0].digest(), self.realms[1].digest()]
    }

    /// Looks whether the configuration here is that of a registry whose own is whole and current. Danger: one that was cut off
    /// with its store is whole, and old.
    fn look(&mut self, now: Micros) {
        if self.whole {
            return;
        }
        let own = self.realms[0].digest();
        let whole: Vec<&Registry> = self
            .registries
            .values()
            .filter(|r| r.standing.as_ref().is_some_and(|standing| standing.whole))
            .collect();
        let current = |r: &Registry| r.confirmed.filter(|(_, until)| now < *until).map(|(digest, _)| digest);
        if whole.iter().any(|r| current(r) == Some(own)) {
            log::info!("has the whole configuration: {} items", self.realms[0].len());
            self.whole = true;
            return;
        }
        let alone = !whole.is_empty() && self.registries.values().all(|r| current(r).is_none());
        let same = whole.iter().any(|r| r.digest == Some(own));
        let stood_still = now > self.ticked + STOOD_STILL;
        self.alone = alone.then(|| self.alone.filter(|_| !stood_still).unwrap_or(now));
        let long = self.alone.is_some_and(|since| now >= since + UNCONFIRMED);
        if long && !self.unconfirmed && same {
            log::warn!("serves {} items that no registry confirms as current", self.realms[0].len());
            self.unconfirmed = true;
        }
    }

    /// Tells whether any of it is news.
    fn merge(&mut self, now: Micros, items: Vec<Item>, out: &mut Vec<Output>) -> bool {
        let (mut news, mut configured) = (false, false);
        for item in items {
            let config = item.key.kind.is_config();
            if !self.realms[usize::from(!config)].merge(item.clone()) {
                continue;
            }
            (news, configured) = (true, configured | config);
            if config {
                Arc::make_mut(&mut self.table).change(&item);
            }
            if item.key.kind == Kind::Server {
                let server = item.value.as_deref().and_then(Server::read);
                let server = server.filter(|server| !matches!(server.state, State::Lost | State::Gone));
                out.push(Output::Server(item.key.name, server));
            }
        }
        if configured {
            self.unpublished = true;
            self.look(now);
        }
        news
    }

    /// Puts the table in force, unless it may hold a part of what is to take force together: the first table before all of
    /// it has come, or a part of an operator's call (a key that passes from one tenant to another would be nobody's).
    fn publish(&mut self, now: Micros, out: &mut Vec<Output>) {
        let confirmed = self.whole || self.unconfirmed;
        if !self.unpublished || !confirmed {
            return;
        }
        let own = self.realms[0].digest();
        let as_told = self.registries.values().any(|registry| registry.digest == Some(own));
        let partial = self.partial.is_some_and(|since| !self.serves || now < since + PARTIAL_FOR);
        if as_told || !partial {
            self.partial = None;
            self.unpublished = false;
            self.serves = !self.table.is_empty();
            out.push(Output::Configured(self.table.clone()));
        }
    }

    /// Asks for the units that are wanted now, each at the registry whose duty it is.
    pub fn ask(&mut self, now: Micros, out: &mut Vec<Output>) {
        let asks = self.purse.asks(now);
        if asks.is_empty() {
            return;
        }
        let sound = |r: &&Registry| r.standing.as_ref().is_some_and(|s| s.majority);
        let alive: BTreeMap<String, Peer> = self
            .registries
            .iter()
            .filter(|(_, r)| sound(r))
            .map(|(&peer, r)| (r.hello.ip.clone(), peer))
            .collect();
        let mut by_peer: BTreeMap<Peer, Vec<_>> = BTreeMap::new();
        for ask in asks {
            let slice = slice(&ask.tenant);
            // Another may have the duty than who it is asked of: what is spent of a share is told to all.
            let living = ask.lives_on_share().then(|| Ask { want: 0.0, back: 0.0, ..ask.clone() });
            let astray = self.astray.get(&slice).copied().unwrap_or(0);
            // Who sees other registries alive than they see themselves finds the owner among the next.
            let names = rendezvous(&format!("duty-{slice}"), alive.keys());
            debug_assert!(names.first().copied() == owner(slice, alive.keys()));
            let peer = names.get(astray % names.len().max(1)).map(|name| alive[*name]);
            for other in self.registries.keys().filter(|other| Some(**other) != peer) {
                by_peer.entry(*other).or_default().extend(living.clone());
            }
            match peer {
                Some(peer) => by_peer.entry(peer).or_default().push(ask),
                None => self.purse.unasked(now, &ask.tenant),
            }
        }
        by_peer.retain(|_, asks| !asks.is_empty());
        for (peer, asks) in by_peer {
            if let Some(registry) = self.registries.get_mut(&peer) {
                registry.draws.push_back(now);
            }
            out.push(Output::Say(peer, Speech::Draw(asks)));
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let ended = self.purse.tick(now);
        out.extend(ended.into_iter().map(|(id, admission)| Output::Admitted(id, admission)));
        self.ask(now, out);
        self.look(now);
        self.publish(now, out);
        self.ticked = now;
        if now >= self.here_at {
            self.here_at = now + HERE;
            out.extend(self.registries.keys().map(|&peer| Output::Say(peer, Speech::Here)));
        }
        if now >= self.pulse_at {
            self.pulse_at = now + PULSE;
            // The proxy's clock is the time of day at its begin, and goes on steadily.
            self.realms[1].forget_if(|item| Server::past(item, now / 1_000_000));
            let digest = Speech::Digest(self.digests());
            out.extend(self.registries.keys().map(|&peer| Output::Say(peer, digest.clone())));
        }
    }
}
