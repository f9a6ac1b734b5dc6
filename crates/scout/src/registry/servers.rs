//! Servers: what they tell of themselves, who else has to know, and which have fallen silent.

use std::collections::BTreeSet;

use pinerelay_cells::item::{Item, Key, Kind};
use pinerelay_cells::server::{Beat, Server, State};
use pinerelay_nectar::Micros;
use pinerelay_propolis::link::Peer;
use pinerelay_propolis::speech::{Answered, Speech};

use super::{error, Output, Registry};

/// A server that has not been heard for so many of its beats is lost.
const BEATS: f64 = 3.2;
/// One that stays lost for so long has left.
const LOST: Micros = 120_000_000;
/// Another registry has so long to say that it holds a leaving: the server waits for a second.
const HOLD: Micros = 700_000;

/// When a server was last heard, by any registry and by this one.
#[derive(Debug, Clone, Copy)]
pub struct Beaten {
    last: Micros,
    here: Option<Micros>,
}

/// A leaving that is not acknowledged before another registry holds it.
#[derive(Debug)]
pub struct Holding {
    call: u64,
    id: String,
    since: Micros,
    /// The connections that it was asked on: only what comes on these tells that it is held.
    asked: BTreeSet<Peer>,
}

fn taken() -> Answered {
    Answered { status: 200, body: "{}".into() }
}

impl Registry {
    pub(super) fn beat(&mut self, now: Micros, call: u64, id: &str, beat: Beat, out: &mut Vec<Output>) {
        self.figures[0] += 1;
        let key = Key::new(Kind::Server, id);
        let old = self.realms[1].get(&key);
        if old.is_some_and(|old| old.version.0 > beat.calls) {
            // A late one, which changes nothing; or one that has left.
            return self.acknowledge(now, call, out);
        }
        let known = old.and_then(|old| old.value.as_deref()).and_then(Server::read);
        let news = known.is_none_or(|known| !beat.server.says_no_more_than(&known));
        let leaves = beat.server.state == State::Draining;
        if news {
            let item = beat.server.item(id, beat.calls);
            self.realms[1].merge(item.clone());
            self.noted(&item);
            self.tell(item, out);
        }
        self.beaten.insert(id.into(), Beaten { last: now, here: Some(now) });
        if leaves && !self.held.contains(id) {
            return self.hold(now, call, &key, out);
        }
        self.acknowledge(now, call, out);
    }

    /// Danger: what one that is cut off has heard the others do not know, and take the server for lost. What it heard stands,
    /// for the proxies on its side and for later; the server goes on to another.
    fn acknowledge(&mut self, now: Micros, call: u64, out: &mut Vec<Output>) {
        let contact = self.in_contact(now);
        self.refused += u64::from(!contact);
        let answer = if contact { taken() } else { error(503, "no majority of the core is reached") };
        out.push(Output::Answer(call, answer));
    }

    pub(super) fn leave(&mut self, now: Micros, call: u64, id: &str, out: &mut Vec<Output>) {
        let key = Key::new(Kind::Server, id);
        let known = self.realms[1].get(&key).is_some_and(|item| item.value.is_none());
        let item = Server::left(id, self.wall(now));
        if !known && self.realms[1].merge(item.clone()) {
            self.held.remove(id);
            self.noted(&item);
            self.tell(item, out);
        }
        if self.held.contains(id) {
            return self.acknowledge(now, call, out);
        }
        self.hold(now, call, &key, out);
    }

    /// Tells the proxies and the other registries.
    fn tell(&self, item: Item, out: &mut Vec<Output>) {
        let mut to = self.of(pinerelay_propolis::speech::Role::Forager);
        to.extend(self.scouts().into_values());
        to.extend(self.own_store());
        out.push(Output::SayAll(to, Speech::News(vec![item])));
    }

    /// Danger: a leaving that is known here alone gets lost with this machine, and proxies would send on to a server that
    /// was told it may go. So it is acknowledged once another registry holds it that reaches a majority of the core.
    fn hold(&mut self, now: Micros, call: u64, key: &Key, out: &mut Vec<Output>) {
        if self.voters.len() <= 1 {
            self.held.insert(key.name.clone());
            return out.push(Output::Answer(call, taken()));
        }
        let asked: BTreeSet<Peer> = self.scouts().into_values().collect();
        let item = self.realms[1].get(key).cloned().filter(|_| !asked.is_empty());
        let Some(item) = item else { return self.unheld(call, out) };
        self.last += 1;
        let to = asked.iter().copied().collect();
        let holding = Holding { call, id: key.name.clone(), since: now, asked };
        self.holding.insert(self.last, holding);
        out.push(Output::SayAll(to, Speech::Hold { number: self.last, items: vec![item] }));
    }

    fn unheld(&mut self, call: u64, out: &mut Vec<Output>) {
        self.figures[4] += 1;
        out.push(Output::Answer(call, error(503, "no other registry holds it")));
    }

    /// A registry says that it holds what it was asked to.
    pub(super) fn is_held(&mut self, peer: Peer, number: u64, out: &mut Vec<Output>) {
        if self.holding.get(&number).is_some_and(|holding| holding.asked.contains(&peer)) {
            if let Some(holding) = self.holding.remove(&number) {
                self.held.insert(holding.id);
                out.push(Output::Answer(holding.call, taken()));
            }
        }
    }

    /// A connection has gone, and nothing comes on it any more. Whoever was asked there is asked again on another that he has.
    pub(super) fn not_held_by(&mut self, peer: Peer, ip: &str, out: &mut Vec<Output>) {
        let other = self.scouts().get(ip).copied();
        let mut over = Vec::new();
        for (&number, holding) in self.holding.iter_mut().filter(|(_, h)| h.asked.contains(&peer)) {
            holding.asked.remove(&peer);
            let item = self.realms[1].get(&Key::new(Kind::Server, holding.id.as_str()));
            if let (Some(other), Some(item)) = (other, item) {
                holding.asked.insert(other);
                out.push(Output::Say(other, Speech::Hold { number, items: vec![item.clone()] }));
            } else if holding.asked.is_empty() {
                over.push(number);
            }
        }
        for holding in over.into_iter().filter_map(|number| self.holding.remove(&number)).collect::<Vec<_>>()
        {
            self.unheld(holding.call, out);
        }
    }

    /// Notes an item of the others that is news.
    pub(super) fn noted(&mut self, item: &Item) {
        if item.key.kind != Kind::Server {
            return;
        }
        let id = &item.key.name;
        self.numbers.insert(item.key.number(), id.clone());
        let server = item.value.as_deref().and_then(Server::read);
        if server.as_ref().is_some_and(|server| server.state == State::Lost) {
            self.lost.entry(id.clone()).or_insert(self.ticked);
        } else {
            self.lost.remove(id);
        }
        if server.is_none_or(|server| server.state == State::Lost) {
            self.beaten.remove(id);
        } else {
            let now = self.ticked;
            let beaten = self.beaten.entry(id.clone()).or_insert(Beaten { last: now, here: None });
            beaten.last = beaten.last.max(now);
        }
    }

    /// Another registry has heard these.
    pub(super) fn beats(&mut self, now: Micros, beats: &[(u64, u32)]) {
        for (number, ago) in beats {
            let Some(id) = self.numbers.get(number) else { continue };
            if let Some(beaten) = self.beaten.get_mut(id) {
                beaten.last = beaten.last.max(now.saturating_sub(u64::from(*ago) * 1_000));
            }
        }
    }

    /// The servers that have been heard here lately, for the other registries.
    pub(super) fn heard_here(&self, now: Micros) -> Vec<(u64, u32)> {
        let heard = self.beaten.iter().filter_map(|(id, beaten)| {
            let ago = now.saturating_sub(beaten.here?);
            (ago < 2 * super::PULSE)
                .then(|| (Key::new(Kind::Server, id.as_str()).number(), (ago / 1_000) as u32))
        });
        heard.collect()
    }

    fn silence(&self) -> Micros {
        (BEATS * self.birth.heartbeat as f64) as Micros
    }

    /// It reaches a majority again, after so long. Servers that nobody acknowledged may call more and more seldom.
    pub(super) fn judges_again(&mut self, now: Micros, after: Micros) {
        let silence = self.silence();
        self.judges_from = now + silence + after.min(2 * silence);
    }

    /// Marks servers as lost that nobody has heard, as long as this registry would have been told; and gives up on
    /// leavings that no other registry has held in time.
    pub(super) fn overdue(&mut self, now: Micros, out: &mut Vec<Output>) {
        let late: Vec<u64> =
            self.holding.iter().filter(|(_, h)| now >= h.since + HOLD).map(|(&n, _)| n).collect();
        for holding in late.into_iter().filter_map(|number| self.holding.remove(&number)).collect::<Vec<_>>()
        {
            self.unheld(holding.call, out);
        }
        let wall = self.wall(now);
        let over: Vec<String> =
            self.lost.iter().filter(|(_, since)| now >= **since + LOST).map(|(id, _)| id.clone()).collect();
        for id in over {
            let left = Server::left(&id, wall);
            if self.realms[1].merge(left.clone()) {
                self.noted(&left);
                self.tell(left, out);
            }
        }
        if self.majority.is_err() || now < self.judges_from {
            return;
        }
        let silence = self.silence();
        let silent = self.beaten.iter().filter(|(_, beaten)| now >= beaten.last + silence);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in silent {
            self.beaten.remove(&id);
            let Some(item) = self.realms[1].get(&Key::new(Kind::Server, id.as_str())) else { continue };
            let Some(server) = item.value.as_deref().and_then(Server::read) else { continue };
            if server.state != State::Lost {
                let lost = Server { state: State::Lost, ..server }.item(&id, item.version.0);
                if self.realms[1].merge(lost.clone()) {
                    self.figures[5] += 1;
                    self.noted(&lost);
                    log::info!("server {id} is lost: not heard for {} ms", silence / 1_000);
                    self.tell(lost, out);
                }
            }
        }
    }
}
