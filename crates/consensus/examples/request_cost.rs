//! Measures the time that the state machines of three stores spend on one request, with a configuration of the target size:
//! on an update of one tenant, and on a read.
//!
//! `cargo run --release -p pinerelay-consensus --example request_cost`

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use pinerelay_config_state::{Item, Key, Kind};
use pinerelay_consensus::PersistentState;
use pinerelay_consensus::StoreConfig;
use pinerelay_consensus::{Input, Membership, Output, Reply, Request, Store};

const STORE_NAMES: [&str; 3] = ["10.0.0.1", "10.0.0.2", "10.0.0.3"];
const TENANTS: usize = 38_000;
const ROUTES: usize = 3_900;
const SERVICES: usize = 100;
const REQUESTS: u64 = 30;

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

/// Three stores whose messages and writes take no time.
struct Stores {
    stores: Vec<Store>,
    /// Inputs that are not handled yet, with the index of the store.
    events: VecDeque<(usize, Input)>,
    /// The last reply to a request.
    last_reply: Option<Reply>,
    /// Time spent by the store that receives the requests, and by all others.
    time_spent: [Duration; 2],
}

impl Stores {
    fn new(items: &[Item]) -> Stores {
        let mut cluster = Stores {
            stores: Vec::new(),
            events: VecDeque::new(),
            last_reply: None,
            time_spent: Default::default(),
        };
        for (index, name) in STORE_NAMES.iter().enumerate() {
            let state = PersistentState {
                incarnation: Some(0),
                is_complete: true,
                membership: Membership::first(STORE_NAMES.map(String::from)),
                items: items.to_vec(),
                ..PersistentState::default()
            };
            let seeds = STORE_NAMES.map(String::from).to_vec();
            let start_config = StoreConfig {
                name: name.to_string(),
                process_id: 1,
                tolerated_losses: 1,
                first_start: false,
                seeds,
            };
            let mut out = Vec::new();
            cluster.stores.push(Store::new(start_config, Some(state), &mut out));
            cluster.queue_inputs(index, out);
        }
        cluster.run(0);
        cluster
    }

    /// Queues the inputs that follow from the outputs of a store.
    fn queue_inputs(&mut self, index: usize, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message: msg } => {
                    let receiver = STORE_NAMES.iter().position(|name| *name == to).expect("one of the three");
                    self.events.push_back((
                        receiver,
                        Input::Message { from: STORE_NAMES[index].into(), message: msg },
                    ));
                }
                Output::Write { id: write_id, change: _ } => {
                    self.events.push_back((index, Input::WriteCompleted { id: write_id, succeeded: true }))
                }
                Output::Reply { id: _, reply } => self.last_reply = Some(reply),
                Output::Committed(_) => {}
            }
        }
    }

    /// Handles all queued inputs.
    fn run(&mut self, now: u64) {
        while let Some((index, input)) = self.events.pop_front() {
            let mut out = Vec::new();
            let started_at = Instant::now();
            self.stores[index].step(now, input, &mut out);
            self.time_spent[usize::from(index > 0)] += started_at.elapsed();
            self.queue_inputs(index, out);
        }
    }

    /// Sends a request to the first store, and handles all messages and writes that follow from it. Returns the reply.
    fn handle_request(&mut self, now: u64, request: Request) -> Option<Reply> {
        self.events.push_back((0, Input::Request { id: now, request }));
        self.run(now);
        self.last_reply.take()
    }
}

fn main() {
    let mut items: Vec<Item> = (0..SERVICES).map(service).collect();
    items.extend((0..ROUTES).map(route));
    items.extend((0..TENANTS).map(|n| tenant(n, 1)));
    let started_at = Instant::now();
    let mut cluster = Stores::new(&items);
    println!(
        "three stores start with {} items: {:.0} ms",
        items.len(),
        started_at.elapsed().as_secs_f64() * 1e3
    );
    measure(&mut cluster, "one changed tenant", |request_number| {
        Request::Update(vec![tenant(request_number as usize * 100, request_number + 2)])
    });
    measure(&mut cluster, "a read", |_| Request::Read);
}

/// Prints the mean time per request, of requests one after the other.
fn measure(cluster: &mut Stores, kind_of_request: &str, request: impl Fn(u64) -> Request) {
    cluster.time_spent = Default::default();
    for request_number in 0..REQUESTS {
        let reply = cluster.handle_request(request_number + 1, request(request_number));
        assert!(matches!(reply, Some(Reply::Acknowledged | Reply::Text(_))), "{reply:?}");
    }
    let [own, others] = cluster.time_spent.map(|time_spent| time_spent.as_secs_f64() * 1e3 / REQUESTS as f64);
    println!("{kind_of_request}: {own:.3} ms index the store that receives the request, {others:.3} ms index the two others");
}
