//! Discovery client: starts from the configured list of app servers, watches for changes, and fetches the list on demand.

use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderValue, HOST};
use hyper::{Request, StatusCode, Uri};
use mountbend::interface::ListKind;
use pinerelay_protocol::list::List;
use tokio::task::AbortHandle;
use tokio::time::{timeout, Instant};

use crate::net::body::read_body;
use crate::net::ports::MemberSource;
use crate::net::servers::backoff::Backoff;
use crate::net::servers::members::Members;
use pinerelay_traffic::http::Connection;

/// How long discovery may hold a watch open, and how much later it times out. Danger: a node is taken to know of a change
/// 6 s after it, received or not, so a watch on a dead connection must time out sooner.
const WAIT_MS: u64 = 4_000;
const WATCH_GRACE: Duration = Duration::from_millis(1_000);
/// How long a fetch of the complete list may take.
const FETCH_WAIT: Duration = Duration::from_secs(2);
/// How long the first list of a new agent may take: the node is taken to know its content 4 s after the move.
const FIRST_WAIT: Duration = Duration::from_millis(500);
/// Initial and maximum pause after a failed watch; a watch may be resumed only within 200 ms.
const PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_millis(160);
/// Maximum length of a list, in bytes.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;

/// Why a call to discovery failed.
enum Failure {
    TimedOut,
    Broken,
    Status(StatusCode),
    Malformed(serde_json::Error),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::TimedOut => f.write_str("no answer in time"),
            Failure::Broken => f.write_str("the connection failed"),
            Failure::Status(status) => write!(f, "answer {status}"),
            Failure::Malformed(error) => write!(f, "malformed list: {error}"),
        }
    }
}

/// Returns the pause before the next call. Danger: if all nodes share one overloaded service, retries at the pace meant for
/// a local agent keep it from serving any node.
fn retry_pause(backoff: Option<&RefCell<Backoff>>, failure: &Failure, pause: &mut Duration) -> Duration {
    match (backoff, failure) {
        (Some(backoff), Failure::Status(_)) => backoff.borrow_mut().pause(),
        _ => std::mem::replace(pause, (*pause * 2).min(MAX_PAUSE)),
    }
}

/// Client of the discovery service.
pub struct Discovery {
    address: Cell<SocketAddr>,
    members: Rc<Members>,
    /// The newest version applied. Versions differ between agents, so there is none after a move to a new one.
    index: Cell<Option<u64>>,
    complete_received: Cell<bool>,
    watcher: RefCell<Option<AbortHandle>>,
    /// Backoff for a service that all nodes share; `None` where each node has an agent of its own.
    backoff: Option<RefCell<Backoff>>,
    weak_self: Weak<Discovery>,
}

impl Discovery {
    /// Creates the client of discovery at this address; lists are applied to `members`. With a backoff, an error status is
    /// taken as overload of a service that all nodes share.
    pub fn new(address: SocketAddr, members: Rc<Members>, backoff: Option<Backoff>) -> Rc<Self> {
        Rc::new_cyclic(|weak_self| Discovery {
            address: Cell::new(address),
            members,
            index: Cell::default(),
            complete_received: Cell::default(),
            watcher: RefCell::default(),
            backoff: backoff.map(RefCell::new),
            weak_self: weak_self.clone(),
        })
    }

    /// Applies the list from the configuration, and starts to watch from its version.
    pub fn start(&self, known: List) {
        self.apply(known, ListKind::Stale);
        self.spawn();
    }

    /// Whether a complete list has been received from the agent.
    pub fn has_complete_list(&self) -> bool {
        self.complete_received.get()
    }

    /// Switches to the agent at this address. Danger: its versions are unrelated to the old agent's, so the complete list is
    /// requested first, and the old agent's watch is aborted.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.index.set(None);
            self.spawn();
        }
    }

    fn spawn(&self) {
        let Some(discovery) = self.weak_self.upgrade() else { return };
        let task = tokio::task::spawn_local(async move { discovery.watch().await });
        if let Some(old) = self.watcher.replace(Some(task.abort_handle())) {
            old.abort();
        }
    }

    async fn watch(&self) {
        let (mut connection, mut pause, mut failing) = (None, PAUSE, false);
        loop {
            let (path, wait) = match self.index.get() {
                Some(index) => (
                    format!("/discovery/hosts?after={index}&wait_ms={WAIT_MS}"),
                    Duration::from_millis(WAIT_MS) + WATCH_GRACE,
                ),
                None => ("/discovery/hosts".into(), FIRST_WAIT),
            };
            let begun = Instant::now();
            match self.get(&mut connection, &path, wait).await {
                Ok(list) => {
                    (pause, failing) = (PAUSE, false);
                    self.backoff.iter().for_each(|b| b.borrow_mut().served());
                    let unchanged = list.endpoints.is_empty() && !list.snapshot && self.index.get().is_some();
                    let complete = list.snapshot || self.index.get().is_none();
                    let kind = if complete { ListKind::Complete } else { ListKind::Changes };
                    // Danger: a fetch may have applied a newer list meanwhile; older changes would undo it.
                    let outdated = kind == ListKind::Changes && Some(list.index) < self.index.get();
                    if !unchanged && !outdated {
                        self.apply(list, kind);
                    } else if begun.elapsed() < PAUSE {
                        // Danger: a watch that returns at once would keep the CPU busy.
                        tokio::time::sleep(PAUSE).await;
                    }
                }
                Err(failure) => {
                    if !std::mem::replace(&mut failing, true) {
                        eprintln!("pinerelay: discovery: {failure}; trying on");
                    }
                    connection = None;
                    tokio::time::sleep(retry_pause(self.backoff.as_ref(), &failure, &mut pause)).await;
                }
            }
        }
    }

    async fn get(
        &self,
        connection: &mut Option<Connection>,
        path: &str,
        wait: Duration,
    ) -> Result<List, Failure> {
        timeout(wait, self.exchange(connection, path)).await.unwrap_or(Err(Failure::TimedOut))
    }

    async fn exchange(&self, connection: &mut Option<Connection>, path: &str) -> Result<List, Failure> {
        let mut active = match connection.take().filter(Connection::usable) {
            Some(active) => active,
            None => Connection::open(self.address.get(), (), None).await.map_err(|_| Failure::Broken)?,
        };
        let mut request = Request::new(Bytes::new().into());
        *request.uri_mut() = path.parse::<Uri>().map_err(|_| Failure::Broken)?;
        let host = HeaderValue::from_str(&self.address.get().to_string()).map_err(|_| Failure::Broken)?;
        request.headers_mut().insert(HOST, host);
        let response = active.send(request).await.map_err(|_| Failure::Broken)?;
        let status = response.status();
        let body = read_body(response.into_body(), MAX_LIST_BYTES).await.map_err(|_| Failure::Broken)?;
        if status != StatusCode::OK {
            return Err(Failure::Status(status));
        }
        *connection = Some(active);
        serde_json::from_slice(&body).map_err(Failure::Malformed)
    }

    fn apply(&self, list: List, kind: ListKind) {
        self.index.set(Some(list.index));
        self.complete_received.set(self.complete_received.get() || kind == ListKind::Complete);
        self.members.apply(kind, list.endpoints);
    }
}

impl MemberSource for Discovery {
    fn fetch(&self) {
        let Some(discovery) = self.weak_self.upgrade() else { return };
        let address = self.address.get();
        tokio::task::spawn_local(async move {
            let answer = discovery.get(&mut None, "/discovery/hosts", FETCH_WAIT).await;
            if discovery.address.get() != address {
                // The new agent's complete list is requested anyway.
                return;
            }
            match answer {
                // The watch may have applied something newer meanwhile.
                Ok(list) if Some(list.index) >= discovery.index.get() => {
                    discovery.apply(list, ListKind::Complete);
                }
                Ok(_) => {}
                Err(failure) => {
                    eprintln!("pinerelay: discovery: {failure}; the watch goes on");
                    discovery.members.apply(ListKind::Lost, Vec::new());
                }
            }
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_shared_service_gets_backoff_and_an_agent_short_retries() {
        let shared = RefCell::new(Backoff::new(3));
        let overloaded = Failure::Status(StatusCode::SERVICE_UNAVAILABLE);
        let mut pause = PAUSE;
        for _ in 0..8 {
            assert!(retry_pause(Some(&shared), &overloaded, &mut pause) >= Duration::from_secs(2));
        }
        assert_eq!(pause, PAUSE);
        for (backoff, failure) in
            [(None, &overloaded), (Some(&shared), &Failure::Broken), (Some(&shared), &Failure::TimedOut)]
        {
            let mut pause = PAUSE;
            let most = (0..8).map(|_| retry_pause(backoff, failure, &mut pause)).max();
            assert_eq!(most, Some(MAX_PAUSE));
        }
    }
}
