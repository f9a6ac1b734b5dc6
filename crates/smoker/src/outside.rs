//! Who calls from outside: operators, servers, and the tenants' clients.

use std::collections::BTreeMap;

use pinerelay_admission::lease_cache::{Admission, Decision};
use pinerelay_admission::quota::Quota;
use pinerelay_config_state::operator_call;
use pinerelay_config_state::server::{Heartbeat, Server, ServerState};
use pinerelay_config_state::{Item, Key};
use pinerelay_proxy::subscriber::Output as Heard;
use pinerelay_registry::control_call::ControlCall;

use crate::orders::Asked;
use crate::plan::{Lot, Micros, SECOND};
use crate::process::{Body, Output, Proc, HEARTBEAT};
use crate::scenarios::Act;
use crate::world::{proxies, Event, World};

/// The tenants that clients call for, their rates and bursts.
pub const QUOTAS: [(&str, f64, f64); 4] =
    [("q0", 94.0, 94.0), ("q1", 40.0, 20.0), ("q2", 10.0, 10.0), ("q3", 200.0, 50.0)];
/// Callers wait so long for an answer.
const WAIT: Micros = SECOND;
/// An operator gives a call up after this, and begins another.
const GIVEN_UP: Micros = 8 * SECOND;
/// A server that leaves serves on for so long.
const DRAIN: Micros = 2_700_000;

/// What is called for.
#[derive(Clone)]
pub enum What {
    /// A change, as text and as items.
    Update(Vec<u8>, Vec<Item>),
    /// A read, and what had been acknowledged before.
    Read(BTreeMap<Key, u64>),
    /// A server tells of itself.
    Beat(usize, u64, ServerState),
    /// A server leaves.
    Leave(usize, u64),
}

/// A call from outside.
pub struct Call {
    what: What,
    by: Option<usize>,
    core: usize,
    tries: u32,
    begun: Micros,
}

/// An app server's place; each start is a new life.
struct Place {
    life: u64,
    state: ServerState,
    calls: u64,
    core: usize,
}

/// All of them.
pub struct Outside {
    calls: BTreeMap<u64, Call>,
    last: u64,
    /// Calls that a registry has: of which process and life, under its number.
    pub with: BTreeMap<(Proc, u64, u64), Asked>,
    places: Vec<Place>,
    revision: u64,
    first: bool,
    waiting: BTreeMap<u64, usize>,
    requests: u64,
    /// The orders that a script has made.
    script: Vec<String>,
}

impl Outside {
    /// So many servers, none of them started.
    pub fn new(servers: usize) -> Outside {
        let place = |n| Place { life: 0, state: ServerState::Gone, calls: 0, core: n };
        Outside {
            calls: BTreeMap::new(),
            last: 0,
            with: BTreeMap::new(),
            places: (0..servers).map(place).collect(),
            revision: 10,
            first: false,
            waiting: BTreeMap::new(),
            requests: 0,
            script: Vec::new(),
        }
    }
}

fn first() -> String {
    let tenants =
        QUOTAS.map(|(name, rate, burst)| format!("[\"{name}\",5,[\"k-{name}\"],{rate},{burst}]")).join(",");
    format!(
        r#"{{"upsert":{{"tenants":{{"column_names":["name","revision","api_keys","rate_per_s","burst"],"records":[{tenants}]}},
        "services":{{"column_names":["name","revision"],"records":[["s0",5],["s1",5]]}},
        "routes":{{"column_names":["name","revision","host","path_prefix","route_type","timeout","service"],
        "records":[["r0",5,"a.example","/","safe","1s","s0"],["r1",5,"b.example","/","unsafe","1s","s1"]]}},
        "limits":{{"max_header_bytes":16384,"revision":5}}}}}}"#
    )
}

/// A change that fits alone, and with others often does not.
fn change(lot: &mut Lot, revision: u64) -> String {
    let (name, service) = (lot.upto(4), lot.upto(2));
    match lot.upto(8) {
        0 => format!(r#"{{"remove":{{"tenants":[{{"name":"t{name}","revision":{revision}}}]}}}}"#),
        1 => format!(r#"{{"remove":{{"services":[{{"name":"x{service}","revision":{revision}}}]}}}}"#),
        2 | 3 => format!(
            r#"{{"upsert":{{"services":{{"column_names":["name","revision"],"records":[["x{service}",{revision}]]}}}}}}"#
        ),
        4 => format!(
            r#"{{"upsert":{{"routes":{{"column_names":["name","revision","host","path_prefix","route_type","timeout",
            "service"],"records":[["y{name}",{revision},"y{name}.example","/","safe","1s","x{service}"]]}}}}}}"#
        ),
        _ => format!(
            r#"{{"upsert":{{"tenants":{{"column_names":["name","revision","api_keys"],
            "records":[["t{name}",{revision},["k{}","k{}"]]]}}}}}}"#,
            lot.upto(6),
            lot.upto(6)
        ),
    }
}

impl World {
    /// A new call goes to a core.
    fn ask(&mut self, what: What, by: Option<usize>, core: usize) {
        self.outside.last += 1;
        let id = self.outside.last;
        self.outside.calls.insert(id, Call { what, by, core, tries: 0, begun: self.now });
        self.send(id);
    }

    fn send(&mut self, id: u64) {
        let Some(call) = self.outside.calls.get_mut(&id) else { return };
        call.tries += 1;
        if let What::Beat(place, life, state) = call.what {
            let here = &mut self.outside.places[place];
            if (here.life, here.state) != (life, state) {
                // It says something else by now.
                self.outside.calls.remove(&id);
                return;
            }
            here.calls += 1;
        }
        let tries = call.tries;
        self.later(1_000, Event::Reach(id, tries));
        self.later(WAIT, Event::Late(id, tries));
    }

    /// A call has come to its core.
    pub fn reach(&mut self, id: u64, tries: u32) {
        let Some(call) = self.outside.calls.get(&id).filter(|call| call.tries == tries) else { return };
        let (core, what) = (call.core, call.what.clone());
        let proc = self.places.scout(core);
        if !self.net.outside(self.now, core, false) {
            return;
        }
        if self.procs[proc].frozen > self.now {
            return self.at(self.procs[proc].frozen, Event::Reach(id, tries));
        }
        let process = &mut self.procs[proc];
        if process.body.is_none() {
            return self.later(1_000, Event::Back(id, tries, 0, String::new()));
        }
        process.last_call += 1;
        let (number, life, now) = (process.last_call, process.life, process.clock(self.now));
        let asked = Asked { id, tries, at: self.now, what: what.clone() };
        self.outside.with.insert((proc, life, number), asked);
        let server = |place: usize, life: u64| format!("i-{place}-{life}");
        let call = match what {
            What::Update(body, _) => ControlCall::Update(body),
            What::Read(_) => ControlCall::Read,
            What::Leave(place, life) => ControlCall::Leave { id: server(place, life) },
            What::Beat(place, life, state) => {
                let calls = self.outside.places[place].calls;
                let beat = Heartbeat { server: told(place, state), call_count: calls };
                ControlCall::Heartbeat { id: server(place, life), heartbeat: beat }
            }
        };
        let Some(Body::Scout(registry)) = &mut self.procs[proc].body else { return };
        let mut wants = Vec::new();
        registry.call(now, number, call, &mut wants);
        self.carry_out(proc, wants.into_iter().map(Output::from).collect());
    }

    /// An answer has come back, or none (0), or there was none in time.
    #[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
    pub fn back(&mut self, id: u64, tries: u32, status: u16, body: &str) {
        let Some(call) = self.outside.calls.get(&id).filter(|call| call.tries == tries) else { return };
        let (what, by, core, begun) = (call.what.clone(), call.by, call.core, call.begun);
        let clear = matches!(status, 200 | 400 | 409);
        let over = match what {
            What::Beat(..) | What::Leave(..) => tries >= 6,
            _ => self.now > begun + GIVEN_UP && self.outside.first,
        };
        if !clear && !over {
            let next = self.other_core(core);
            if let What::Beat(place, ..) = what {
                self.outside.places[place].core = next;
            }
            let Some(call) = self.outside.calls.get_mut(&id) else { return };
            call.core = next;
            // The tries rise now: what comes of the last one comes too late.
            call.tries += 1;
            let pause = 50_000 + self.lot.upto(300_000);
            return self.later(pause, Event::Again(id));
        }
        self.outside.calls.remove(&id);
        match &what {
            What::Update(_, items) if status == 200 => {
                self.figures.count("taken");
                self.figures.answers.push(self.now - begun);
                let proxies = proxies(self.places, &self.procs, &self.net);
                self.ledger.acknowledged(self.now, items, &proxies, &mut self.figures);
                self.outside.first = true;
                self.after_ack(core);
            }
            What::Update(_, items) if status == 400 => {
                self.figures.count("refused");
                self.ledger.refused(items);
            }
            What::Update(..) if status == 409 => self.figures.count("conflicts"),
            What::Read(floor) if status == 200 => {
                self.figures.count("reads");
                self.ledger.read(floor, body, &self.orders);
            }
            What::Beat(place, life, state) => {
                let here = &self.outside.places[*place];
                if *state == ServerState::Draining && here.life == *life {
                    if status == 200 {
                        self.figures.count("drains");
                        self.ledger.leaves(self.now, &format!("i-{place}-{life}"));
                        self.after_ack(core);
                    }
                    self.later(DRAIN, Event::Leave(*place, *life));
                }
            }
            What::Leave(place, life) if status == 200 => {
                self.ledger.leaves(self.now, &format!("i-{place}-{life}"));
                self.after_ack(core);
            }
            _ if !clear => self.figures.count("unclear"),
            _ => {}
        }
        if let Some(operator) = by {
            let pause = if self.lot.chance(3) {
                SECOND / 2 - self.now % (SECOND / 2)
            } else {
                self.lot.within(50_000, 500_000)
            };
            self.later(pause, Event::Operator(operator));
        }
    }

    /// Another machine of the core, which a caller goes on to.
    fn other_core(&mut self, core: usize) -> usize {
        let others: Vec<usize> = self.core.iter().copied().filter(|other| *other != core).collect();
        others[self.lot.upto(others.len() as u64) as usize]
    }

    /// A call is made once more.
    pub fn again(&mut self, id: u64) {
        self.send(id);
    }

    /// An operator's turn.
    pub fn operator(&mut self, operator: usize) {
        let core = self.any_core();
        if !self.outside.first {
            if operator == 0 {
                let text =
                    self.recovery.as_ref().map_or_else(first, |recovery| recovery.plan.configuration());
                let items = operator_call::parse_update(text.as_bytes()).unwrap_or_default();
                return self.ask(What::Update(text.into_bytes(), items), Some(operator), core);
            }
            return self.later(SECOND, Event::Operator(operator));
        }
        if !self.changes() || self.orders.all_fit {
            return self.later(SECOND / 5, Event::Operator(operator));
        }
        if self.lot.chance(5) {
            return self.ask(What::Read(self.ledger.newest.clone()), Some(operator), core);
        }
        self.outside.revision += 1;
        let text = change(&mut self.lot, self.outside.revision);
        let items = operator_call::parse_update(text.as_bytes()).unwrap_or_default();
        self.ledger.called(&items);
        self.ask(What::Update(text.into_bytes(), items), Some(operator), core);
    }

    /// What a script has happen.
    pub fn act(&mut self, act: Act) {
        match act {
            Act::Fault(fault) => self.fault(fault),
            Act::Order(text, core) => {
                self.order(&text, core);
                self.outside.script.push(text);
            }
            Act::Again(n, core) => {
                if let Some(text) = self.outside.script.get(n).cloned() {
                    self.order(&text, core);
                }
            }
            Act::Read(core) => self.ask(What::Read(self.ledger.newest.clone()), None, core),
            Act::Caught(core, since) => self.caught(core, since),
        }
    }

    fn order(&mut self, text: &str, core: usize) {
        // One sent again before the first order of all is none.
        if self.outside.first {
            let items = operator_call::parse_update(text.as_bytes()).unwrap_or_default();
            self.ledger.called(&items);
            self.ask(What::Update(text.as_bytes().to_vec(), items), None, core);
        }
    }

    /// At the end each core is asked what stands.
    pub fn read_all(&mut self) {
        for core in self.core.clone() {
            self.ask(What::Read(self.ledger.newest.clone()), None, core);
        }
    }

    /// A server starts a new life.
    pub fn server_starts(&mut self, place: usize) {
        let core = self.any_core();
        let here = &mut self.outside.places[place];
        here.life += 1;
        here.calls = 0;
        here.state = ServerState::Ready;
        let life = here.life;
        here.core = core;
        self.later(0, Event::Beat(place, life));
    }

    /// A server's next beat.
    pub fn beat(&mut self, place: usize, life: u64) {
        let here = &self.outside.places[place];
        if here.life != life || here.state == ServerState::Gone {
            return;
        }
        let (core, state) = (here.core, here.state);
        self.ask(What::Beat(place, life, state), None, core);
        if state == ServerState::Ready {
            let pause = HEARTBEAT - 50_000 + self.lot.upto(100_000);
            self.later(pause, Event::Beat(place, life));
        }
    }

    /// A server leaves.
    pub fn leave(&mut self, place: usize, life: u64) {
        let here = &mut self.outside.places[place];
        if here.life != life || here.state == ServerState::Gone {
            return;
        }
        here.state = ServerState::Gone;
        let core = here.core;
        self.ask(What::Leave(place, life), None, core);
        let pause = self.lot.within(SECOND, 3 * SECOND);
        self.later(pause, Event::Starts(place));
    }

    /// Some server drains, or crashes.
    pub fn churn(&mut self) {
        if self.changes() && self.now > 4 * SECOND {
            let place = self.lot.upto(self.outside.places.len() as u64) as usize;
            let crashes = self.lot.chance(3);
            let here = &mut self.outside.places[place];
            if here.state == ServerState::Ready {
                let life = here.life;
                if crashes {
                    here.state = ServerState::Gone;
                    self.figures.count("crashes");
                    let pause = self.lot.within(SECOND, 6 * SECOND);
                    self.later(pause, Event::Starts(place));
                } else {
                    here.state = ServerState::Draining;
                    self.later(0, Event::Beat(place, life));
                }
            }
        }
        let pause = self.lot.within(SECOND / 5, SECOND);
        self.later(pause, Event::Churn);
    }

    /// How many servers take requests.
    pub fn serving(&self) -> usize {
        self.outside.places.iter().filter(|place| place.state == ServerState::Ready).count()
    }

    /// A client of a tenant asks at some proxy.
    pub fn client(&mut self, tenant: usize) {
        let (_, rate, _) = QUOTAS[tenant];
        // Quiet and then more than there is, by turns; the first always asks for more on a play without faults.
        let busy =
            if self.plan.faults { (self.now / (4 * SECOND) + tenant as u64) % 2 == 1 } else { tenant == 0 };
        let asked = rate * if busy { 2.5 } else { 0.3 };
        let lot = (self.lot.upto(1 << 30) + 1) as f64 / (1_u64 << 30) as f64;
        self.later((-lot.ln() / asked * 1e6) as Micros, Event::Client(tenant));
        let proc = self.places.proxy(self.lot.upto(self.plan.proxies as u64) as usize);
        self.request(proc, tenant);
    }

    /// A request has come to a proxy.
    pub fn request(&mut self, proc: Proc, tenant: usize) {
        if self.procs[proc].frozen > self.now {
            return self.at(self.procs[proc].frozen, Event::Request(proc, tenant));
        }
        let process = &mut self.procs[proc];
        let now = process.clock(self.now);
        let name = QUOTAS[tenant].0;
        let known = process.table.as_ref().and_then(|t| t.tenants().iter().find(|t| t.name == name).cloned());
        let (Some(known), Some(Body::Proxy(subscriber))) = (known, &mut process.body) else { return };
        self.outside.requests += 1;
        let id = self.outside.requests;
        let mut wants = Vec::new();
        let quota = Quota { rate: known.rate, burst: known.burst };
        let admission = subscriber.admit(now, name, quota, id, &mut wants);
        self.outside.waiting.insert(id, tenant);
        if admission != Admission::Waiting {
            wants.push(Heard::Decided(Decision { id, admission }));
        }
        self.carry_out(proc, wants.into_iter().map(Output::from).collect());
    }

    /// What has become of a request.
    pub fn admitted(&mut self, decision: Decision) {
        let Decision { id, admission } = decision;
        let Some(tenant) = self.outside.waiting.remove(&id) else { return };
        let (name, rate, burst) = QUOTAS[tenant];
        if admission == Admission::Admitted {
            self.ledger.ran(self.now, name, rate, burst);
            if tenant == 0 && self.measured() {
                self.figures.usable[0] += 1.0;
            }
        }
    }
}

fn told(place: usize, state: ServerState) -> Server {
    let address =
        std::net::SocketAddrV4::new([10, 128, (place / 250) as u8, (place % 250) as u8].into(), 8080);
    Server {
        service: format!("s{}", place % 2),
        address,
        zone: "a".into(),
        revision: "v1".into(),
        capacity: 3,
        state,
        warmup_ms: 0,
    }
}
