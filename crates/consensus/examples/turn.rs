//! What one turn costs three stores in processor time at the target's size: a changed tenant, and a read.
//!
//! `cargo run --release -p pinerelay-dance --example turn`

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use pinerelay_config_state::{Item, Key, Kind};
use pinerelay_consensus::PersistentState;
use pinerelay_consensus::StoreConfig;
use pinerelay_consensus::{Input, Membership, Output, Reply, Request, Store};

const NAMES: [&str; 3] = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
const TENANTS: usize = 38_000;
const ROUTES: usize = 3_900;
const SERVICES: usize = 100;
const TURNS: u64 = 30;

fn item(kind: Kind, name: String, revision: u64, text: String) -> Item {
    Item::with_revision(Key::new(kind, name), revision, Some(text.into_bytes()))
}

fn tenant(n: usize, revision: u64) -> Item {
    let text = format!(
        r#"{{"api_keys":["key-{n}-{:016x}"],"burst":40,"name":"tenant-{n}","rate":20,"revision":{revision}}}"#,
        n * 7_919
    );
    item(Kind::Tenant, format!("tenant-{n}"), revision, text)
}

fn route(n: usize) -> Item {
    let text = format!(
        r#"{{"host":"h{}.example","name":"route-{n}","path_prefix":"/p{n}/","priority":1,"retries":2,"revision":1,
        "route_type":"safe","service":"service-{}","target":"400ms","timeout":"2500ms"}}"#,
        n % 97,
        n % SERVICES
    );
    item(Kind::Route, format!("route-{n}"), 1, text)
}

fn service(n: usize) -> Item {
    item(Kind::Service, format!("service-{n}"), 1, format!(r#"{{"name":"service-{n}","revision":1}}"#))
}

/// Stores whose words and writes take no time.
struct Stores {
    stores: Vec<Store>,
    events: VecDeque<(usize, Input)>,
    answer: Option<Reply>,
    /// Processor time of the store that is called, and of all others.
    spent: [Duration; 2],
}

impl Stores {
    fn new(items: &[Item]) -> Stores {
        let mut all =
            Stores { stores: Vec::new(), events: VecDeque::new(), answer: None, spent: Default::default() };
        for (at, name) in NAMES.iter().enumerate() {
            let retained = PersistentState {
                incarnation: Some(0),
                is_complete: true,
                membership: Membership::first(NAMES.map(String::from)),
                items: items.to_vec(),
                ..PersistentState::default()
            };
            let seeds = NAMES.map(String::from).to_vec();
            let start_config = StoreConfig {
                name: name.to_string(),
                process_id: 1,
                tolerated_losses: 1,
                first_start: false,
                seeds,
            };
            let mut out = Vec::new();
            all.stores.push(Store::new(start_config, Some(retained), &mut out));
            all.take(at, out);
        }
        all.run(0);
        all
    }

    fn take(&mut self, at: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message: word } => {
                    let other = NAMES.iter().position(|name| *name == to).expect("one of the three");
                    self.events.push_back((other, Input::Message { from: NAMES[at].into(), message: word }));
                }
                Output::Write { id: token, change: _ } => {
                    self.events.push_back((at, Input::WriteCompleted { id: token, succeeded: true }))
                }
                Output::Reply { id: _, reply } => self.answer = Some(reply),
                Output::Committed(_) => {}
            }
        }
    }

    fn run(&mut self, now: u64) {
        while let Some((at, input)) = self.events.pop_front() {
            let mut out = Vec::new();
            let begun = Instant::now();
            self.stores[at].step(now, input, &mut out);
            self.spent[usize::from(at > 0)] += begun.elapsed();
            self.take(at, out);
        }
    }

    /// A call at the first store, up to the last word that comes of it.
    fn call(&mut self, now: u64, request: Request) -> Option<Reply> {
        self.events.push_back((0, Input::Request { id: now, request }));
        self.run(now);
        self.answer.take()
    }
}

fn main() {
    let mut items: Vec<Item> = (0..SERVICES).map(service).collect();
    items.extend((0..ROUTES).map(route));
    items.extend((0..TENANTS).map(|n| tenant(n, 1)));
    let begun = Instant::now();
    let mut all = Stores::new(&items);
    println!("three stores begin with {} items: {:.0} ms", items.len(), begun.elapsed().as_secs_f64() * 1e3);
    timed(&mut all, "one changed tenant", |turn| {
        Request::Update(vec![tenant(turn as usize * 100, turn + 2)])
    });
    timed(&mut all, "a read", |_| Request::Read);
}

/// Tells what calls cost on average, one after the other.
fn timed(all: &mut Stores, what: &str, request: impl Fn(u64) -> Request) {
    all.spent = Default::default();
    for turn in 0..TURNS {
        let reply = all.call(turn + 1, request(turn));
        assert!(matches!(reply, Some(Reply::Acknowledged | Reply::Text(_))), "{reply:?}");
    }
    let [own, others] = all.spent.map(|spent| spent.as_secs_f64() * 1e3 / TURNS as f64);
    println!("{what}: {own:.3} ms at the store that is called, {others:.3} ms at the two others");
}
