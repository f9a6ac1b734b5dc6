//! The registry's state machine: what is heard goes in with the clock, what is to be said and answered comes out.

mod counts;
mod current;
mod relay;
mod roll;
mod servers;

use std::collections::{BTreeMap, BTreeSet};

use pinerelay_cells::routes::Table;
use pinerelay_cells::server::Server;
use pinerelay_cells::{Cells, Key, Kind};
use pinerelay_nectar::fence::{Fence, SLICES};
use pinerelay_nectar::terms::Bounds;
use pinerelay_nectar::well::{Well, SHARE_LIFE};
use pinerelay_nectar::Micros;
use pinerelay_propolis::link::Peer;
use pinerelay_propolis::speech::{Answered, Hello, Passed, Role, Speech, Standing, CURRENT};

use crate::dispatch::Call;
use current::Lease;
use relay::{Arrival, Partial};
use servers::{Beaten, Holding};

/// How often it says how it stands.
const PULSE: Micros = 600_000;
/// A call that a store has not answered by then gets 503 with the next tick: the caller moves on after a second.
const PATIENCE: Micros = 900_000;
/// A proxy that says nothing for so long counts as cut off, and for so long at the most.
const QUIET: Micros = 650_000;
const MISSED: Micros = SHARE_LIFE;
/// A registry that has not heard its machine's store for so long, or that it is current, keeps links to the others.
const OWN_STORE: Micros = 1_000_000;
/// No call is passed to a store that has said nothing for two of its pulses.
const SILENT: Micros = 1_200_000;
/// A gap between two ticks by which the process has stood still: what it did not hear tells nothing.
const STOOD_STILL: Micros = 700_000;
/// A gap after which an order may have waited here for so long that its caller has asked elsewhere, and for how long after it.
const WAITED: Micros = 250_000;
const AFTER: Micros = 150_000;

/// What the registry wants done.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Say this on a connection.
    Say(Peer, Speech),
    /// Say the same on many.
    SayAll(Vec<Peer>, Speech),
    /// Answer a call from outside.
    Answer(u64, Answered),
    /// Cut a connection: what came on it makes no sense.
    Cut(Peer),
}

/// What a registry is told at its start.
#[derive(Debug, Clone)]
pub struct Birth {
    /// Who it is.
    pub hello: Hello,
    /// The whole system starts for the first time.
    pub first: bool,
    /// The time of day at the process's begin, in seconds.
    pub wall: u64,
    /// How often servers tell of themselves.
    pub heartbeat: Micros,
    /// Of quotas.
    pub bounds: Bounds,
    /// The machines of the core that it has been told of.
    pub seeds: Vec<String>,
}

/// A call that is with a store.
#[derive(Debug)]
struct Offered {
    call: u64,
    since: Micros,
    /// The connection that it went out on: its answer comes on this one and on no other.
    store: Peer,
    passed: Passed,
}

/// The registry.
pub struct Registry {
    birth: Birth,
    /// The settled items of the configuration, and all others.
    realms: [Cells; 2],
    table: Table,
    peers: BTreeMap<Peer, Hello>,
    begun: Micros,
    /// Who votes, by a store's word: until then those it was told of.
    voters: Vec<String>,
    /// Who voted in the epoch before.
    before: Vec<String>,
    /// Whether what it has is current.
    lease: Lease,
    /// A store whose copy is whole has told all that it has.
    whole: bool,
    /// Whether its configuration may hold a part of an operator's call.
    partial: Partial,
    stores: BTreeMap<Peer, bool>,
    /// What each store's items came to, as it said last.
    stored: BTreeMap<Peer, u64>,
    /// When each store last said something.
    spoke: BTreeMap<Peer, Micros>,
    /// When a peer said something of anti-entropy last.
    mended: BTreeMap<Peer, Micros>,
    beaten: BTreeMap<String, Beaten>,
    /// Servers that are lost, and since when.
    lost: BTreeMap<String, Micros>,
    numbers: BTreeMap<u64, String>,
    holding: BTreeMap<u64, Holding>,
    /// Servers whose leaving is known elsewhere, too.
    held: BTreeSet<String>,
    /// Since when it reaches a majority of the core, or since when it does not.
    majority: std::result::Result<Micros, Micros>,
    /// No server is lost before: since it reaches a majority it may not have been told of them all.
    judges_from: Micros,
    fence: Fence,
    /// For how many slices it acts.
    acting: usize,
    /// By slice: under which fence it was gained, and when.
    gained: BTreeMap<usize, (u64, Micros)>,
    wells: BTreeMap<String, Well>,
    /// When each tenant came, if that was after this process had the whole configuration.
    first_seen: BTreeMap<String, Micros>,
    /// When each proxy was last heard; those that are not any more, and since when.
    heard: BTreeMap<String, Micros>,
    /// The proxies that the machine's store was told of, once it has told what it had kept.
    kept: Option<Vec<String>>,
    missing: BTreeMap<String, Micros>,
    /// The process of each proxy and registry, by its node.
    lives: BTreeMap<(Role, String), u64>,
    /// How many proxies other registries know of.
    told: BTreeMap<String, u32>,
    /// Which registries each other one reaches: all of them beat for their servers, those that do not vote, too.
    reached: BTreeMap<String, Vec<String>>,
    offered: BTreeMap<u64, Offered>,
    /// What each proxy was last told of its number.
    placed: BTreeMap<Peer, (u32, u32)>,
    last: u64,
    ticked: Micros,
    /// When the process last went on after it had stood still.
    went_on: Option<Micros>,
    /// When the machine's own store was last heard, and when it was last current.
    own_store_at: Micros,
    own_current_at: Micros,
    pulse_at: Micros,
    /// When what it has last agreed with what a store or another registry has.
    agreed: Micros,
    /// Counters: beats, calls passed on, units leased, asks that found none, leavings that no other registry has held,
    /// servers marked as lost.
    figures: [u64; 6],
    /// Beats that were heard and not acknowledged, as no majority was reached.
    refused: u64,
}

impl Registry {
    /// A registry that has heard nothing yet.
    pub fn new(now: Micros, birth: Birth) -> Registry {
        let fence = Fence::new(now, &birth.hello.ip, birth.first);
        Registry {
            voters: birth.seeds.clone(),
            before: Vec::new(),
            begun: now,
            lease: Lease::new(now),
            birth,
            realms: Default::default(),
            table: Table::default(),
            peers: BTreeMap::new(),
            whole: false,
            partial: Partial::default(),
            stores: BTreeMap::new(),
            stored: BTreeMap::new(),
            spoke: BTreeMap::new(),
            mended: BTreeMap::new(),
            beaten: BTreeMap::new(),
            lost: BTreeMap::new(),
            numbers: BTreeMap::new(),
            holding: BTreeMap::new(),
            held: BTreeSet::new(),
            majority: Err(now),
            judges_from: now,
            fence,
            acting: 0,
            gained: BTreeMap::new(),
            wells: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            heard: BTreeMap::new(),
            kept: None,
            missing: BTreeMap::new(),
            lives: BTreeMap::new(),
            told: BTreeMap::new(),
            reached: BTreeMap::new(),
            offered: BTreeMap::new(),
            placed: BTreeMap::new(),
            last: 0,
            ticked: now,
            went_on: None,
            own_store_at: now,
            own_current_at: now,
            pulse_at: now,
            agreed: now,
            figures: [0; 6],
            refused: 0,
        }
    }

    /// The other registries that it is to reach.
    pub fn others(&self) -> BTreeSet<String> {
        let named = self.voters.iter().chain(&self.before).chain(&self.birth.seeds);
        let all = named.chain(self.told.keys()).chain(self.reached.values().flatten());
        all.filter(|ip| **ip != self.birth.hello.ip).cloned().collect()
    }

    /// The processes that it is to keep links to: the other registries, the store of its own machine, and as long as that
    /// is not there or not current, the others' stores.
    pub fn wanted(&self) -> BTreeSet<(String, Role)> {
        let others = self.others();
        let mut wanted: BTreeSet<_> = others.iter().map(|ip| (ip.clone(), Role::Scout)).collect();
        wanted.insert((self.birth.hello.ip.clone(), Role::Comb));
        if self.ticked > self.own_store_at.min(self.own_current_at) + OWN_STORE {
            wanted.extend(others.into_iter().map(|ip| (ip, Role::Comb)));
        }
        wanted
    }

    /// The configuration's items, and all others.
    pub fn realms(&self) -> &[Cells; 2] {
        &self.realms
    }

    fn wall(&self, now: Micros) -> u64 {
        self.birth.wall + now / 1_000_000
    }

    /// The store on its own machine, which keeps the servers for a day on which all memory is lost at once.
    fn own_store(&self) -> Option<Peer> {
        self.stores
            .keys()
            .find(|peer| self.peers.get(peer).is_some_and(|h| h.ip == self.birth.hello.ip))
            .copied()
    }

    fn of(&self, role: Role) -> Vec<Peer> {
        self.peers.iter().filter(|(_, hello)| hello.role == role).map(|(&peer, _)| peer).collect()
    }

    /// One connection to each other registry that is heard.
    fn scouts(&self) -> BTreeMap<String, Peer> {
        let scouts = self.peers.iter().filter(|(_, hello)| hello.role == Role::Scout);
        scouts.map(|(&peer, hello)| (hello.ip.clone(), peer)).collect()
    }

    /// A connection has come up: both ends say who they are.
    pub fn up(&mut self, peer: Peer, out: &mut Vec<Output>) {
        out.push(Output::Say(peer, Speech::Hello(self.birth.hello.clone())));
    }

    /// A connection has gone.
    pub fn down(&mut self, now: Micros, peer: Peer, out: &mut Vec<Output>) {
        self.stores.remove(&peer);
        self.stored.remove(&peer);
        self.spoke.remove(&peer);
        self.mended.remove(&peer);
        self.lease.down(peer);
        let Some(hello) = self.peers.remove(&peer) else { return };
        self.reoffer(now, peer, out);
        self.not_held_by(peer, &hello.ip, out);
        let again = self.peers.values().any(|h| h.role == hello.role && h.node == hello.node);
        match hello.role {
            Role::Scout if !again => {
                self.told.remove(&hello.ip);
                self.reached.remove(&hello.ip);
                self.duties(now, out);
            }
            _ => {}
        }
    }

    /// Something was said on a connection.
    pub fn said(&mut self, now: Micros, peer: Peer, speech: Speech, out: &mut Vec<Output>) {
        let (hello, speech) = match (speech, self.peers.get(&peer).cloned()) {
            (Speech::Hello(hello), None) => return self.meet(now, peer, hello, out),
            // A connection belongs to one life at each end.
            (Speech::Hello(_), Some(_)) | (_, None) => return out.push(Output::Cut(peer)),
            (speech, Some(hello)) => (hello, speech),
        };
        match hello.role {
            Role::Forager => self.loud(now, &hello.node),
            Role::Comb => {
                self.spoke.insert(peer, now);
            }
            Role::Scout | Role::Visitor => {}
        }
        match (hello.role, speech) {
            (Role::Forager, Speech::Bye) => {
                // Planned: it holds nothing that has to be kept back.
                self.peers.remove(&peer);
                self.over(now, &hello.node);
            }
            // A visitor looks on, and brings nothing.
            (Role::Visitor, Speech::News(_)) => {}
            (_, Speech::News(items)) => {
                self.merge(peer, &hello, items, Arrival::Call, out);
            }
            (_, Speech::Digest(digests)) => self.digest(peer, &hello, digests, out),
            (_, Speech::Mend { realm, items, parts }) => {
                self.mended.insert(peer, self.ticked);
                let items = if hello.role == Role::Visitor { Vec::new() } else { items };
                let goes_on = items.is_empty() || self.merge(peer, &hello, items, Arrival::Piece, out);
                if goes_on {
                    self.answer_parts(peer, &hello, realm, &parts, out);
                }
            }
            (Role::Scout, Speech::Hold { number, items }) => {
                self.merge(peer, &hello, items, Arrival::Call, out);
                // Danger: the caller takes this for the word of one that reaches the proxies.
                if self.in_contact(now) {
                    out.push(Output::Say(peer, Speech::Held(number)));
                }
            }
            (Role::Scout, Speech::Held(number)) => self.is_held(peer, number, out),
            (Role::Scout, Speech::Beats(beats)) => self.beats(now, &beats),
            (Role::Scout, Speech::Standing(standing)) => {
                // It has had this process's greeting: nothing is said before.
                self.fence.met(&hello.ip);
                if standing.settled {
                    self.fence.settled(standing.epoch);
                }
                self.reached.insert(hello.ip.clone(), standing.scouts);
                self.told.insert(hello.ip, standing.foragers);
            }
            (Role::Scout, Speech::Fence(word)) => {
                let mut steps = Vec::new();
                self.fence.heard(now, &hello.ip, word, &mut steps);
                self.steps(now, steps, out);
            }
            (Role::Forager, Speech::Draw(asks)) => {
                let grants = self.draw(now, &hello.node, asks);
                out.push(Output::Say(peer, Speech::Drawn(grants)));
            }
            (Role::Comb, Speech::Proxies(names)) if hello.ip == self.birth.hello.ip => {
                // Those that are not heard yet may be cut off, and live on what a registry told them that has ended since.
                let unheard = names.into_iter().filter(|node| !self.heard.contains_key(node));
                let unheard: Vec<String> = unheard.filter(|_| self.kept.is_none()).collect();
                self.missing.extend(unheard.into_iter().map(|node| (node, now)));
                self.kept.get_or_insert_default();
            }
            (Role::Comb, Speech::StoreStands { membership, whole, current }) => {
                self.stores.insert(peer, whole);
                self.look();
                let newer = membership.epoch > self.fence.epoch(now).0;
                if newer {
                    self.elect(now, membership);
                }
                if current && (newer || self.lease.wanes(now)) {
                    out.push(Output::Say(peer, Speech::Confirm(now)));
                }
            }
            (Role::Comb, Speech::Confirmed { asked, epoch, digest, left }) => {
                // Duties have time for a store's whole word behind what is left of it: `JOINT` counts on twice `CURRENT`.
                let acts_until = asked.saturating_add(CURRENT);
                if asked <= now && now < acts_until {
                    self.fence.confirmed(epoch, acts_until);
                }
                let current_until = asked.saturating_add(left.min(CURRENT));
                if asked <= now && now < current_until {
                    self.confirmed(peer, digest, current_until);
                }
            }
            (Role::Forager, Speech::Confirm(asked)) => out.extend(self.confirm(now, peer, asked)),
            (Role::Comb, Speech::Answer(number, answered)) => self.answered(peer, number, answered, out),
            (_, Speech::Roll) => out.push(Output::Say(peer, Speech::Rolled(self.roll()))),
            (_, Speech::Ask) => out.push(Output::Say(peer, Speech::Figures(self.figures(now)))),
            _ => {}
        }
        self.tell_current(now, out);
    }

    fn meet(&mut self, now: Micros, peer: Peer, hello: Hello, out: &mut Vec<Output>) {
        let role = hello.role;
        let before = self.lives.insert((role, hello.node.clone()), hello.life);
        let another = before.is_some_and(|life| life != hello.life);
        match role {
            Role::Forager => {
                if another {
                    self.over(now, &hello.node);
                }
                self.loud(now, &hello.node);
            }
            Role::Scout if before != Some(hello.life) => self.fence.restarted(now, &hello.ip),
            _ => {}
        }
        self.peers.insert(peer, hello);
        if role == Role::Scout {
            self.duties(now, out);
        }
        if matches!(role, Role::Scout | Role::Forager) {
            out.push(Output::Say(peer, Speech::Standing(self.standing(now))));
            match role {
                Role::Forager => self.tell_proxies(vec![peer], out),
                _ => out.push(Output::Say(peer, Speech::Digest(self.digests()))),
            }
        }
    }

    fn digests(&self) -> [u64; 2] {
        [self.realms[0].digest(), self.realms[1].digest()]
    }

    /// How many proxies share the tenants' rates: those that are linked, and those that have gone without a word, as far as
    /// any registry knows.
    fn foragers(&self) -> usize {
        let own = self.linked() + self.missing.len();
        self.told.values().map(|&n| n as usize).max().unwrap_or(0).max(own)
    }

    fn linked(&self) -> usize {
        let nodes: BTreeSet<&String> =
            self.peers.values().filter(|h| h.role == Role::Forager).map(|h| &h.node).collect();
        nodes.len()
    }

    /// Tells each proxy its number among all, where that has changed.
    fn place(&mut self, out: &mut Vec<Output>) {
        let linked = self.peers.iter().filter(|(_, h)| h.role == Role::Forager);
        let linked: BTreeMap<Peer, String> = linked.map(|(&peer, h)| (peer, h.node.clone())).collect();
        let nodes: BTreeSet<&String> = linked.values().chain(self.missing.keys()).collect();
        self.placed.retain(|peer, _| linked.contains_key(peer));
        if let (Some(store), Some(kept)) = (self.own_store(), &self.kept) {
            let names: Vec<String> = nodes.iter().map(|node| node.to_string()).collect();
            if *kept != names {
                out.push(Output::Say(store, Speech::Proxies(names.clone())));
                self.kept = Some(names);
            }
        }
        let all = self.foragers().max(nodes.len()) as u32;
        for (&peer, node) in &linked {
            let me = nodes.iter().position(|other| *other == node).unwrap_or(0) as u32;
            if self.placed.insert(peer, (me, all)) != Some((me, all)) {
                out.push(Output::Say(peer, Speech::Placed { me, nodes: all }));
            }
        }
    }

    fn standing(&self, now: Micros) -> Standing {
        let mut scouts: Vec<String> = self.scouts().into_keys().collect();
        scouts.push(self.birth.hello.ip.clone());
        scouts.sort();
        let (epoch, settled) = self.fence.epoch(now);
        Standing {
            scouts,
            voters: self.voters.clone(),
            epoch,
            settled,
            foragers: (self.linked() + self.missing.len()) as u32,
            majority: self.majority.is_ok(),
            whole: self.whole,
            current: self.is_current(now),
        }
    }

    /// The slices that it acts for now, one bit each.
    pub fn acts_for(&self, now: Micros) -> u32 {
        (0..SLICES).filter(|&slice| self.fence.holds(now, slice)).fold(0, |bits, slice| bits | 1 << slice)
    }

    /// A call from outside, under a number that comes back with the answer.
    pub fn call(&mut self, now: Micros, number: u64, call: Call, out: &mut Vec<Output>) {
        match call {
            Call::Beat(id, beat) => self.beat(now, number, &id, beat, out),
            Call::Leave(id) => self.leave(now, number, &id, out),
            // Danger: its caller may have been refused elsewhere meanwhile.
            Call::Update(_)
                if now > self.ticked + WAITED || self.went_on.is_some_and(|since| now < since + AFTER) =>
            {
                out.push(Output::Answer(number, error(503, "the registry has stood still")));
            }
            Call::Update(body) => self.pass(now, number, Passed::Update(body), out),
            Call::Read => self.pass(now, number, Passed::Read, out),
        }
    }

    fn pass(&mut self, now: Micros, call: u64, passed: Passed, out: &mut Vec<Output>) {
        self.figures[1] += 1;
        self.offer(now, (call, now), passed, out);
    }

    /// Passes a call to the machine's own store, or to any other that is heard; with none its caller moves on at once.
    fn offer(&mut self, now: Micros, (call, since): (u64, Micros), passed: Passed, out: &mut Vec<Output>) {
        let own = self.own_store().into_iter();
        let Some(store) = own.chain(self.stores.keys().copied()).find(|&peer| self.hears(now, peer)) else {
            return out.push(Output::Answer(call, error(503, "no store is reached")));
        };
        self.last += 1;
        self.offered.insert(self.last, Offered { call, since, store, passed: passed.clone() });
        out.push(Output::Say(store, Speech::Pass(self.last, passed)));
    }

    /// Danger: numbers begin anew with each process, so one that is in use here may come from elsewhere.
    fn answered(&mut self, store: Peer, number: u64, answered: Answered, out: &mut Vec<Output>) {
        let ours = self.offered.get(&number).is_some_and(|offered| offered.store == store);
        if let Some(Offered { call, .. }) = ours.then(|| self.offered.remove(&number)).flatten() {
            out.push(Output::Answer(call, answered));
        }
    }

    /// Whether a store is heard, as far as this process would know.
    fn hears(&self, now: Micros, store: Peer) -> bool {
        let stood_still = now > self.ticked + STOOD_STILL;
        stood_still || self.spoke.get(&store).is_some_and(|&at| now < at + SILENT)
    }

    /// A connection to a store has gone, and no answer comes on it any more. A read goes to another.
    ///
    /// Danger: an update does not, and its caller is not told at once, either. The store may still have it before it, and
    /// take it after another has refused it. Its time there has run out when [`PATIENCE`] is over here.
    fn reoffer(&mut self, now: Micros, store: Peer, out: &mut Vec<Output>) {
        let reads = self.offered.iter().filter(|(_, o)| o.store == store && o.passed == Passed::Read);
        let open: Vec<u64> = reads.map(|(&n, _)| n).collect();
        for number in open {
            if let Some(Offered { call, since, passed, .. }) = self.offered.remove(&number) {
                self.offer(now, (call, since), passed, out);
            }
        }
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let stood_still = now > self.ticked + STOOD_STILL;
        if now > self.ticked + WAITED {
            self.went_on = Some(now);
        }
        self.ticked = now;
        if stood_still {
            // What was said meanwhile lies unread.
            self.spoke.values_mut().for_each(|at| *at = now);
        }
        if let Some(&at) = self.own_store().and_then(|store| self.spoke.get(&store)) {
            self.own_store_at = at;
        }
        if self.own_store().is_some_and(|store| self.lease.is_by(store, now)) {
            self.own_current_at = now;
        }
        let scouts = self.scouts();
        let core =
            self.voters.iter().filter(|v| **v == self.birth.hello.ip || scouts.contains_key(*v)).count();
        let majority = core * 2 > self.voters.len();
        if !majority || stood_still {
            if self.majority.is_ok() && !majority {
                log::warn!("reaches {core} of {} machines of the core", self.voters.len());
            }
            self.majority = Err(self.majority.err().unwrap_or(now));
        }
        if let (true, Err(since)) = (majority, self.majority) {
            self.majority = Ok(now);
            self.judges_again(now, now - since);
            // The proxies wait for this.
            self.pulse_at = now;
        }
        self.duties(now, out);
        self.tell_current(now, out);
        self.quiet(now);
        self.overdue(now, out);
        self.forget(now);
        let late: Vec<u64> =
            self.offered.iter().filter(|(_, o)| now >= o.since + PATIENCE).map(|(&n, _)| n).collect();
        for number in late {
            if let Some(Offered { call, .. }) = self.offered.remove(&number) {
                out.push(Output::Answer(call, error(503, "the store has not answered in time")));
            }
        }
        if now < self.pulse_at {
            return;
        }
        self.pulse_at = now + PULSE;
        let proxies = self.of(Role::Forager);
        let registries: Vec<Peer> = scouts.values().copied().collect();
        let all = proxies.iter().chain(&registries).copied().collect();
        out.push(Output::SayAll(all, Speech::Standing(self.standing(now))));
        out.push(Output::SayAll(registries, Speech::Digest(self.digests())));
        self.tell_proxies(proxies, out);
        // Danger: two registries that reach for each other have two links, and each may say its own on another one. One on
        // which an end hears nothing is cut there.
        let others =
            self.of(Role::Scout).into_iter().filter(|peer| !scouts.values().any(|said| said == peer));
        out.push(Output::SayAll(others.collect(), Speech::Here));
        let wall = self.wall(now);
        self.realms[1].forget_if(|item| Server::past(item, wall));
        self.held.retain(|id| self.realms[1].get(&Key::new(Kind::Server, id.as_str())).is_some());
        self.place(out);
        self.all_known(now);
        out.push(Output::SayAll(self.of(Role::Comb), Speech::Confirm(now)));
        let heard = self.heard_here(now);
        out.push(Output::SayAll(scouts.into_values().collect(), Speech::Beats(heard)));
        out.push(Output::SayAll(self.own_store().into_iter().collect(), Speech::Digest(self.digests())));
    }

    /// Gives its duties up, at a planned end.
    pub fn leave_all(&mut self, now: Micros, out: &mut Vec<Output>) {
        let mut steps = Vec::new();
        self.fence.leave(&mut steps);
        self.steps(now, steps, out);
        out.push(Output::SayAll(self.peers.keys().copied().collect(), Speech::Bye));
    }

    fn figures(&self, now: Micros) -> Vec<(String, f64)> {
        let servers = |state| {
            let states = self.realms[1].standing(Kind::Server);
            let states = states.filter_map(|(_, v)| Server::read(v));
            states.filter(|server| server.state == state).count() as f64
        };
        use pinerelay_cells::server::State;
        let [beats, calls, leased, dry, unheld, losses] = self.figures.map(|n| n as f64);
        [
            ("scout_servers_ready", servers(State::Ready)),
            ("scout_servers_draining", servers(State::Draining)),
            ("scout_servers_lost", servers(State::Lost)),
            ("scout_foragers", self.linked() as f64),
            ("scout_foragers_missing", self.missing.len() as f64),
            ("scout_majority", f64::from(u8::from(self.majority.is_ok()))),
            ("scout_whole", f64::from(u8::from(self.whole))),
            ("scout_current", f64::from(u8::from(self.is_current(now)))),
            ("scout_not_current_seconds", self.lease.over_for(now) as f64 / 1e6),
            ("scout_epoch", self.fence.epoch(now).0 as f64),
            ("scout_beats_refused_total", self.refused as f64),
            ("scout_drains_open", self.holding.len() as f64),
            ("scout_drains_unheld_total", unheld),
            ("scout_losses_total", losses),
            ("scout_news_age_seconds", now.saturating_sub(self.agreed) as f64 / 1e6),
            ("scout_duties", self.fence.held(now) as f64),
            ("scout_beats_total", beats),
            ("scout_calls_passed_total", calls),
            ("scout_units_leased_total", leased),
            ("scout_asks_dry_total", dry),
        ]
        .map(|(name, value)| (name.to_string(), value))
        .to_vec()
    }
}

/// An answer that tells why.
pub fn error(status: u16, why: &str) -> Answered {
    let why = sonic_rs::to_string(why).unwrap_or_else(|_| "\"\"".into());
    Answered { status, body: format!("{{\"error\":{why}}}") }
}
