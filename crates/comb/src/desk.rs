//! The store's state machine with whom it talks to: links' events go in, what is to be said and written comes out.

use std::collections::BTreeMap;

use pinerelay_cells::server::Server;
use pinerelay_cells::{call, Cells, Item, Key, Kind};
use pinerelay_dance::store::{Birth, Micros};
use pinerelay_dance::voter::{Change, Kept};
use pinerelay_dance::{Input, Membership, Output as Wants, Reply, Request, Store};
use pinerelay_propolis::link::{Peer, PULSE};
use pinerelay_propolis::speech::{mend, Answered, Hello, Passed, Role, Speech};

/// A gap between two ticks by which the process has stood still, and for how long after it a call may have waited meanwhile.
/// With the time that a store takes for a call it is no more than the second after which callers go elsewhere.
const STOOD_STILL: Micros = 250_000;
const AFTER: Micros = 150_000;

/// What the store wants done.
#[derive(Debug, PartialEq)]
pub enum Output {
    /// Say this on a connection.
    Say(Peer, Speech),
    /// Say the same on many.
    SayAll(Vec<Peer>, Speech),
    /// Cut a connection: what came on it makes no sense.
    Cut(Peer),
    /// Write this, behind all before; [`Desk::written`] tells that it is safe.
    Write(u64, Change),
}

/// A store and its connections.
pub struct Desk {
    store: Store,
    /// What the machine's registry knows of servers: kept for a day on which all memory is lost at once, and never waited
    /// for.
    hive: Cells,
    unkept: Vec<Item>,
    /// The proxies that the machine's registry has told of, and how often that has changed.
    proxies: (u64, Vec<String>),
    hello: Hello,
    /// The time of day at the process's begin, in seconds.
    wall: u64,
    /// Who is at the other end, once it has said so.
    peers: BTreeMap<Peer, Hello>,
    /// Calls that registries have passed on: whose, and under which number.
    calls: BTreeMap<u64, (Peer, u64)>,
    last_call: u64,
    unwritten: usize,
    stood: Option<(Membership, bool, bool)>,
    pulse_at: Micros,
    ticked: Micros,
    /// When the process last went on after it had stood still.
    went_on: Option<Micros>,
    ending: bool,
}

/// The name of the one item that holds the proxies.
const PROXIES: &str = "proxies";

impl Desk {
    /// A store with what it found on its disk. `wall` is the time of day now, in seconds; all other times count from now.
    pub fn new(wall: u64, hello: Hello, birth: Birth, mut kept: Option<Kept>, out: &mut Vec<Output>) -> Desk {
        let (mut first, mut hive) = (Vec::new(), Cells::default());
        let mut proxies = (0, Vec::new());
        if let Some(kept) = &mut kept {
            let (config, others) =
                std::mem::take(&mut kept.cells).into_iter().partition(|i| i.key.kind.is_config());
            kept.cells = config;
            hive.merge_all(others);
            if let Some(item) = hive.get(&Key::new(Kind::Node, PROXIES)).cloned() {
                let text = String::from_utf8(item.value.unwrap_or_default()).unwrap_or_default();
                proxies = (item.version.0, text.lines().map(String::from).collect());
                hive.forget(&item.key);
            }
            hive.forget_if(|item| Server::past(item, wall));
        }
        let mut desk = Desk {
            store: Store::new(birth, kept, &mut first),
            hive,
            unkept: Vec::new(),
            proxies,
            hello,
            wall,
            peers: BTreeMap::new(),
            calls: BTreeMap::new(),
            last_call: 0,
            unwritten: 0,
            stood: None,
            pulse_at: 0,
            ticked: 0,
            went_on: None,
            ending: false,
        };
        desk.carry_out(first, out);
        desk
    }

    /// What it keeps of servers.
    pub fn hive(&self) -> &Cells {
        &self.hive
    }

    /// The store.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Whether a call is under way.
    pub fn busy(&self) -> bool {
        !self.calls.is_empty()
    }

    /// Whether nothing is under way, neither calls nor writes.
    pub fn idle(&self) -> bool {
        self.calls.is_empty() && self.unwritten == 0
    }

    /// A planned end: no further call is taken.
    pub fn end(&mut self, out: &mut Vec<Output>) {
        self.ending = true;
        out.push(Output::SayAll(self.peers.keys().copied().collect(), Speech::Bye));
    }

    /// A connection has come up.
    pub fn up(&mut self, peer: Peer, out: &mut Vec<Output>) {
        out.push(Output::Say(peer, Speech::Hello(self.hello.clone())));
    }

    /// A connection has gone.
    pub fn down(&mut self, now: Micros, peer: Peer, out: &mut Vec<Output>) {
        self.peers.remove(&peer);
        let open: Vec<u64> = self.calls.iter().filter(|(_, (of, _))| *of == peer).map(|(&n, _)| n).collect();
        for number in open {
            self.calls.remove(&number);
            self.give(now, Input::Cancel(number), out);
        }
    }

    /// A change is on disk.
    pub fn written(&mut self, now: Micros, number: u64, out: &mut Vec<Output>) {
        self.unwritten = self.unwritten.saturating_sub(1);
        self.give(now, Input::Written(number, true), out);
        self.stands(now, false, out);
    }

    /// Time has passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        if now > self.ticked + STOOD_STILL {
            self.went_on = Some(now);
        }
        self.ticked = now;
        self.give(now, Input::Tick, out);
        let pulse = now >= self.pulse_at;
        if pulse {
            self.pulse_at = now + PULSE.as_micros() as Micros;
        }
        self.stands(now, pulse, out);
        if pulse {
            self.keep(now, out);
        }
    }

    /// Something was said on a connection.
    pub fn said(&mut self, now: Micros, peer: Peer, speech: Speech, out: &mut Vec<Output>) {
        if let Speech::Hello(hello) = speech {
            if self.peers.contains_key(&peer) {
                // A connection belongs to one life at each end.
                return out.push(Output::Cut(peer));
            }
            if hello.role == Role::Scout {
                self.stood = None;
                if hello.ip == self.hello.ip {
                    out.push(Output::Say(peer, Speech::Proxies(self.proxies.1.clone())));
                }
            }
            self.peers.insert(peer, hello);
        } else {
            self.hear(now, peer, speech, out);
        }
        self.stands(now, false, out);
    }

    /// Its figures: name, value.
    pub fn figures(&self) -> Vec<(String, f64)> {
        let stands = self.stood.as_ref().is_some_and(|(_, whole, _)| *whole);
        vec![
            ("comb_items".to_string(), self.store.cells().len() as f64),
            ("comb_whole".to_string(), f64::from(u8::from(self.store.whole()))),
            ("comb_stands".to_string(), f64::from(u8::from(stands))),
            ("comb_unwritten".to_string(), self.unwritten as f64),
            ("comb_calls_open".to_string(), self.calls.len() as f64),
            ("comb_calls_total".to_string(), self.last_call as f64),
        ]
    }

    /// Tells the registries how this store stands: when that has changed, and now and then.
    fn stands(&mut self, now: Micros, pulse: bool, out: &mut Vec<Output>) {
        let whole = self.store.whole();
        let stands = (self.store.membership().clone(), whole, self.store.current(now));
        if !pulse && self.stood.as_ref() == Some(&stands) {
            return;
        }
        if self.stood.as_ref().is_some_and(|(_, before, _)| *before != whole) {
            log::info!("its copy is {}", if whole { "whole" } else { "not whole" });
        }
        let speech = Speech::StoreStands { membership: stands.0.clone(), whole, current: stands.2 };
        self.stood = Some(stands);
        let scouts = self.of(Role::Scout);
        out.push(Output::SayAll(scouts.clone(), speech));
        out.push(Output::SayAll(scouts, Speech::Digest([self.store.cells().digest(), self.hive.digest()])));
        if pulse {
            out.push(Output::SayAll(self.of(Role::Comb), Speech::Here));
        }
    }

    /// Writes what it was told of servers since the last time.
    fn keep(&mut self, now: Micros, out: &mut Vec<Output>) {
        let wall = self.wall_at(now);
        self.hive.forget_if(|item| Server::past(item, wall));
        let settled = std::mem::take(&mut self.unkept);
        if !settled.is_empty() {
            self.unwritten += 1;
            out.push(Output::Write(0, Change { settled, ..Change::default() }));
        }
    }

    fn wall_at(&self, now: Micros) -> u64 {
        self.wall + now / 1_000_000
    }

    fn of(&self, role: Role) -> Vec<Peer> {
        self.peers.iter().filter(|(_, hello)| hello.role == role).map(|(&peer, _)| peer).collect()
    }

    fn hear(&mut self, now: Micros, peer: Peer, speech: Speech, out: &mut Vec<Output>) {
        let Some(hello) = self.peers.get(&peer) else { return out.push(Output::Cut(peer)) };
        match speech {
            Speech::Store(word) if hello.role == Role::Comb => {
                let from = hello.ip.clone();
                self.give(now, Input::Heard(from, word), out);
            }
            Speech::Proxies(names)
                if hello.role == Role::Scout && hello.ip == self.hello.ip && names != self.proxies.1 =>
            {
                self.proxies = (self.proxies.0 + 1, names);
                let text = self.proxies.1.join("\n").into_bytes();
                let key = Key::new(Kind::Node, PROXIES);
                self.unkept.push(Item::sourced(key, self.proxies.0, Some(text)));
            }
            Speech::Mend { realm, items, parts } if hello.role == Role::Scout => {
                let ip = hello.ip.clone();
                // What a registry has settled items of, this store may have missed.
                let goes_on = items.is_empty() || self.merge(now, &ip, items, out);
                let cells = if realm == 0 { self.store.cells() } else { &self.hive };
                out.extend(mend(cells, realm, &parts).filter(|_| goes_on).map(|s| Output::Say(peer, s)));
            }
            Speech::News(items) if hello.role == Role::Scout => {
                let ip = hello.ip.clone();
                self.merge(now, &ip, items, out);
            }
            Speech::Confirm(asked) if hello.role == Role::Scout && self.store.current(now) => {
                let (epoch, digest) = (self.store.membership().epoch, self.store.cells().digest());
                let left = self.store.lease_left(now);
                out.push(Output::Say(peer, Speech::Confirmed { asked, epoch, digest, left }));
            }
            Speech::Pass(number, passed) if hello.role == Role::Scout => {
                let waited =
                    now > self.ticked + STOOD_STILL || self.went_on.is_some_and(|since| now < since + AFTER);
                let mut answer = |status, why: &str| {
                    let answered = Answered { status, body: error(why) };
                    out.push(Output::Say(peer, Speech::Answer(number, answered)));
                };
                let request = match passed {
                    _ if self.ending => return answer(503, "the store ends"),
                    Passed::Read => Request::Read,
                    // Danger: its caller may have asked elsewhere since it was sent, and been refused there.
                    Passed::Update(_) if waited => return answer(503, "the store has stood still"),
                    Passed::Update(body) => match call::read(&body) {
                        Ok(items) => Request::Update(items),
                        Err(unfit) => return answer(400, &unfit.to_string()),
                    },
                };
                self.last_call += 1;
                self.calls.insert(self.last_call, (peer, number));
                self.give(now, Input::Call(self.last_call, request), out);
            }
            _ => {}
        }
    }

    /// Takes what a registry has, and tells whether any of it is news.
    fn merge(&mut self, now: Micros, from: &str, items: Vec<Item>, out: &mut Vec<Output>) -> bool {
        let (items, others): (Vec<_>, Vec<_>) = items.into_iter().partition(|item| item.key.kind.is_config());
        let wall = self.wall_at(now);
        let others = others.into_iter().filter(|item| !Server::past(item, wall));
        let others = self.hive.merge_all(others);
        let before = self.store.cells().digest();
        if !items.is_empty() {
            self.give(now, Input::Heard(from.into(), pinerelay_dance::Word::News(items)), out);
        }
        let news = !others.is_empty() || self.store.cells().digest() != before;
        self.unkept.extend(others);
        news
    }

    fn give(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let mut wants = Vec::new();
        self.store.on(now, input, &mut wants);
        self.carry_out(wants, out);
    }

    fn carry_out(&mut self, wants: Vec<Wants>, out: &mut Vec<Output>) {
        for want in wants {
            match want {
                Wants::Say(to, word) => {
                    let peer = self.peers.iter().rfind(|(_, h)| h.role == Role::Comb && h.ip == to);
                    if let Some((&peer, _)) = peer {
                        out.push(Output::Say(peer, Speech::Store(word)));
                    }
                }
                Wants::Write(number, change) => {
                    self.unwritten += 1;
                    out.push(Output::Write(number, change));
                }
                Wants::Answer(number, reply) => {
                    let Some((peer, number)) = self.calls.remove(&number) else { continue };
                    let (status, body) = match reply {
                        Reply::Taken => (200, "{}".to_string()),
                        Reply::Stands(text) => (200, text),
                        Reply::Invalid(unfit) => {
                            (if unfit.conflict { 409 } else { 400 }, error(&unfit.to_string()))
                        }
                        Reply::Unsure => (503, error("no majority of the stores has answered in time")),
                    };
                    out.push(Output::Say(peer, Speech::Answer(number, Answered { status, body })));
                }
                // More would hold up what is said behind it: the registries ask for it in pieces.
                Wants::News(items) if !Cells::are_few(&items) => {
                    let digests = [self.store.cells().digest(), self.hive.digest()];
                    out.push(Output::SayAll(self.of(Role::Scout), Speech::Digest(digests)));
                }
                Wants::News(items) => out.push(Output::SayAll(self.of(Role::Scout), Speech::News(items))),
            }
        }
    }
}

fn error(why: &str) -> String {
    format!("{{\"error\":{}}}", sonic_rs::to_string(why).unwrap_or_else(|_| "\"\"".into()))
}
