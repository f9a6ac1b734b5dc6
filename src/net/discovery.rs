//! Discovery: the list of app servers as last known, a watch that never ends, and single fetches.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, StatusCode, Uri};
use mountbend::interface::{Event, ListKind, Member, MemberState, ServerId};
use serde::Deserialize;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

use super::http::{whole, Connection};
use super::node::Node;

/// How long a watch may wait, and how much later its answer counts as lost. Danger: a change counts as told
/// 6 s after it at the latest, arrived or not, so a watch on a dead connection is given up sooner.
const WAIT_MS: u64 = 4_000;
const GRACE: Duration = Duration::from_millis(1_000);
/// How long a fetch of the whole list may take.
const FETCH_WAIT: Duration = Duration::from_secs(2);
/// How long the first list of a new agent may take: what it knows counts as told 4 s after the move.
const FIRST_WAIT: Duration = Duration::from_millis(500);
/// Pause after a watch that failed, from the first to the last; a watch goes on only within 200 ms.
const PAUSE: Duration = Duration::from_millis(20);
const PAUSE_MOST: Duration = Duration::from_millis(160);
/// No list is this long.
const LIST_MOST: usize = 8 * 1024 * 1024;

/// A list of app servers, or what has changed in it.
#[derive(Deserialize, Default)]
pub struct List {
    index: u64,
    #[serde(default)]
    snapshot: bool,
    /// Read one by one: one that is malformed must not hide the others.
    #[serde(default)]
    endpoints: Vec<serde_json::Value>,
}

#[derive(Deserialize)]
struct Endpoint {
    name: String,
    #[serde(default)]
    address: String,
    #[serde(default)]
    zone: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    group: u32,
    status: String,
    weight: Option<f64>,
    #[serde(default)]
    since_ms: u64,
}

/// Why a call to discovery failed.
enum Failure {
    Silent,
    Broken,
    Status(StatusCode),
    Malformed(serde_json::Error),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Silent => f.write_str("no answer in time"),
            Failure::Broken => f.write_str("the connection failed"),
            Failure::Status(status) => write!(f, "answer {status}"),
            Failure::Malformed(error) => write!(f, "malformed list: {error}"),
        }
    }
}

/// Discovery as this node sees it.
pub struct Discovery {
    address: Cell<SocketAddr>,
    zones: Vec<String>,
    kinds: Vec<String>,
    names: RefCell<BTreeMap<ServerId, String>>,
    /// The newest version taken in. Versions are an agent's own; none is known of a new one.
    index: Cell<Option<u64>>,
    watcher: RefCell<Option<AbortHandle>>,
}

impl Discovery {
    /// Discovery at this address. Zones and kinds are told by name and numbered as in the settings.
    pub fn new(address: SocketAddr, zones: Vec<String>, kinds: Vec<String>) -> Rc<Self> {
        Rc::new(Discovery {
            address: Cell::new(address),
            zones,
            kinds,
            names: RefCell::default(),
            index: Cell::default(),
            watcher: RefCell::default(),
        })
    }

    /// Takes in the list that the node had before its start, and watches from there on for ever.
    pub fn start(self: &Rc<Self>, node: &Rc<Node>, known: List) {
        self.take(node, known, ListKind::Stale);
        self.spawn(node);
    }

    /// Goes on with the agent at this address. Danger: its versions have nothing to do with the old one's, so
    /// it is asked for the whole list first, and what the old one still says is dropped with its watch.
    pub fn move_to(self: &Rc<Self>, node: &Rc<Node>, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.index.set(None);
            self.spawn(node);
        }
    }

    fn spawn(self: &Rc<Self>, node: &Rc<Node>) {
        let (discovery, node) = (self.clone(), node.clone());
        let task = tokio::task::spawn_local(async move { discovery.watch(&node).await });
        if let Some(old) = self.watcher.replace(Some(task.abort_handle())) {
            old.abort();
        }
    }

    async fn watch(&self, node: &Rc<Node>) {
        let (mut connection, mut pause, mut failing) = (None, PAUSE, false);
        loop {
            let (path, wait) = match self.index.get() {
                Some(index) => (
                    format!("/discovery/hosts?after={index}&wait_ms={WAIT_MS}"),
                    Duration::from_millis(WAIT_MS) + GRACE,
                ),
                None => ("/discovery/hosts".into(), FIRST_WAIT),
            };
            let begun = Instant::now();
            match self.get(&mut connection, &path, wait).await {
                Ok(list) => {
                    (pause, failing) = (PAUSE, false);
                    let nothing = list.endpoints.is_empty() && !list.snapshot && self.index.get().is_some();
                    let whole = list.snapshot || self.index.get().is_none();
                    let kind = if whole { ListKind::Whole } else { ListKind::Changes };
                    // Danger: a fetch may have brought a newer list meanwhile; older changes would undo it.
                    let old = kind == ListKind::Changes && Some(list.index) < self.index.get();
                    if !nothing && !old {
                        self.take(node, list, kind);
                    } else if begun.elapsed() < PAUSE {
                        // Danger: a watch that does not wait would keep the core busy.
                        tokio::time::sleep(PAUSE).await;
                    }
                }
                Err(failure) => {
                    if !std::mem::replace(&mut failing, true) {
                        eprintln!("pinerelay: discovery: {failure}; trying on");
                    }
                    connection = None;
                    tokio::time::sleep(pause).await;
                    pause = (pause * 2).min(PAUSE_MOST);
                }
            }
        }
    }

    /// Fetches the whole list once.
    pub fn fetch(self: &Rc<Self>, node: &Rc<Node>) {
        let (discovery, node, address) = (self.clone(), node.clone(), self.address.get());
        tokio::task::spawn_local(async move {
            let answer = discovery.get(&mut None, "/discovery/hosts", FETCH_WAIT).await;
            if discovery.address.get() != address {
                // The new agent is asked for its whole list anyway.
                return;
            }
            match answer {
                // The watch may have brought something newer meanwhile.
                Ok(list) if Some(list.index) >= discovery.index.get() => {
                    discovery.take(&node, list, ListKind::Whole);
                }
                Ok(_) => {}
                Err(failure) => {
                    eprintln!("pinerelay: discovery: {failure}; the watch goes on");
                    node.event(Event::Members { kind: ListKind::Lost, entries: Vec::new() });
                }
            }
        });
    }

    async fn get(
        &self,
        connection: &mut Option<Connection>,
        path: &str,
        wait: Duration,
    ) -> Result<List, Failure> {
        timeout(wait, self.exchange(connection, path)).await.unwrap_or(Err(Failure::Silent))
    }

    async fn exchange(&self, connection: &mut Option<Connection>, path: &str) -> Result<List, Failure> {
        let mut line = match connection.take().filter(Connection::usable) {
            Some(line) => line,
            None => Connection::open(self.address.get(), ()).await.map_err(|_| Failure::Broken)?,
        };
        let mut request = Request::new(Full::<Bytes>::default());
        *request.uri_mut() = path.parse::<Uri>().map_err(|_| Failure::Broken)?;
        let host = HeaderValue::from_str(&self.address.get().to_string()).map_err(|_| Failure::Broken)?;
        request.headers_mut().insert(HOST, host);
        let response = line.send(request).await.map_err(|_| Failure::Broken)?;
        let status = response.status();
        let body = whole(response.into_body(), LIST_MOST).await.map_err(|_| Failure::Broken)?;
        if status != StatusCode::OK {
            return Err(Failure::Status(status));
        }
        *connection = Some(line);
        serde_json::from_slice(&body).map_err(Failure::Malformed)
    }

    fn take(&self, node: &Rc<Node>, list: List, kind: ListKind) {
        self.index.set(Some(list.index));
        let entries: Vec<Member> =
            list.endpoints.into_iter().filter_map(|value| self.entry(node, value)).collect();
        if kind != ListKind::Changes {
            self.names.borrow_mut().retain(|id, _| entries.iter().any(|m| m.server == *id));
            node.servers.keep_only(&entries.iter().map(|m| m.server).collect::<Vec<_>>());
        }
        node.event(Event::Members { kind, entries });
    }

    fn entry(&self, node: &Rc<Node>, value: serde_json::Value) -> Option<Member> {
        let e: Endpoint = match serde_json::from_value(value) {
            Ok(e) => e,
            Err(error) => {
                eprintln!("pinerelay: discovery: malformed entry: {error}");
                return None;
            }
        };
        let server = number(&e.name);
        let mut names = self.names.borrow_mut();
        let name = names.entry(server).or_insert_with(|| e.name.clone());
        if *name != e.name {
            // Danger: two app servers under one number would share their state. The later one is left out.
            eprintln!("pinerelay: discovery: {} and {name} have the same number", e.name);
            return None;
        }
        let state = match e.status.as_str() {
            "up" => MemberState::In,
            "removed" => MemberState::Out,
            "draining" => MemberState::Draining,
            other => {
                eprintln!("pinerelay: discovery: {} is {other:?}, taken as draining", e.name);
                MemberState::Draining
            }
        };
        if state == MemberState::Out {
            names.remove(&server);
            node.servers.remove(server);
        } else if !node.servers.set(server, e.address.parse().ok(), e.since_ms, state == MemberState::In) {
            eprintln!("pinerelay: discovery: {} has no usable address", e.name);
            return None;
        }
        let place =
            |list: &[String], name: &str| list.iter().position(|n| n == name).unwrap_or(list.len()) as u32;
        Some(Member {
            server,
            zone: place(&self.zones, &e.zone),
            kind: place(&self.kinds, &e.kind),
            cell: e.group,
            state,
            weight: e.weight.unwrap_or(1.0),
            started: e.since_ms.saturating_mul(1000),
        })
    }
}

/// A server's number, from its name alone so that all nodes agree: FNV-1a.
fn number(name: &str) -> ServerId {
    let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    ServerId(name.bytes().fold(0x811c_9dc5, step))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_name_gives_the_same_number_everywhere() {
        // Published FNV-1a values: the number must not change from build to build, or nodes would differ.
        assert_eq!(number(""), ServerId(0x811c_9dc5));
        assert_eq!(number("a"), ServerId(0xe40c_292c));
        assert_eq!(number("foobar"), ServerId(0xbf9c_f968));
    }
}
