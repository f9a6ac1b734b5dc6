//! Discovery: the list of app servers as last known, a watch that never ends, and single fetches.

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

/// How long to wait before the next call. Danger: where all nodes ask one service that has no time for them, calls at
/// an agent's pace keep it from serving any.
fn away(backoff: Option<&RefCell<Backoff>>, failure: &Failure, pause: &mut Duration) -> Duration {
    match (backoff, failure) {
        (Some(backoff), Failure::Status(_)) => backoff.borrow_mut().pause(),
        _ => std::mem::replace(pause, (*pause * 2).min(PAUSE_MOST)),
    }
}

/// Discovery as this node sees it.
pub struct Discovery {
    address: Cell<SocketAddr>,
    members: Rc<Members>,
    /// The newest version taken in. Versions are an agent's own; none is known of a new one.
    index: Cell<Option<u64>>,
    heard: Cell<bool>,
    watcher: RefCell<Option<AbortHandle>>,
    /// For how long to stay away where all nodes ask one service; none where an agent answers for itself.
    backoff: Option<RefCell<Backoff>>,
    me: Weak<Discovery>,
}

impl Discovery {
    /// Discovery at this address; what it tells goes to these members. With a back-off, a call that is answered by
    /// an error is taken for one that a service which all nodes share had no time for.
    pub fn new(address: SocketAddr, members: Rc<Members>, backoff: Option<Backoff>) -> Rc<Self> {
        Rc::new_cyclic(|me| Discovery {
            address: Cell::new(address),
            members,
            index: Cell::default(),
            heard: Cell::default(),
            watcher: RefCell::default(),
            backoff: backoff.map(RefCell::new),
            me: me.clone(),
        })
    }

    /// Takes in the list that the node had before its start, and watches from there on for ever.
    pub fn start(&self, known: List) {
        self.take(known, ListKind::Stale);
        self.spawn();
    }

    /// Whether the whole list has been heard of the agent.
    pub fn heard(&self) -> bool {
        self.heard.get()
    }

    /// Goes on with the agent at this address. Danger: its versions have nothing to do with the old one's, so
    /// it is asked for the whole list first, and what the old one still says is dropped with its watch.
    pub fn move_to(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.index.set(None);
            self.spawn();
        }
    }

    fn spawn(&self) {
        let Some(discovery) = self.me.upgrade() else { return };
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
                    Duration::from_millis(WAIT_MS) + GRACE,
                ),
                None => ("/discovery/hosts".into(), FIRST_WAIT),
            };
            let begun = Instant::now();
            match self.get(&mut connection, &path, wait).await {
                Ok(list) => {
                    (pause, failing) = (PAUSE, false);
                    self.backoff.iter().for_each(|b| b.borrow_mut().served());
                    let nothing = list.endpoints.is_empty() && !list.snapshot && self.index.get().is_some();
                    let whole = list.snapshot || self.index.get().is_none();
                    let kind = if whole { ListKind::Complete } else { ListKind::Changes };
                    // Danger: a fetch may have brought a newer list meanwhile; older changes would undo it.
                    let old = kind == ListKind::Changes && Some(list.index) < self.index.get();
                    if !nothing && !old {
                        self.take(list, kind);
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
                    tokio::time::sleep(away(self.backoff.as_ref(), &failure, &mut pause)).await;
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
        timeout(wait, self.exchange(connection, path)).await.unwrap_or(Err(Failure::Silent))
    }

    async fn exchange(&self, connection: &mut Option<Connection>, path: &str) -> Result<List, Failure> {
        let mut line = match connection.take().filter(Connection::usable) {
            Some(line) => line,
            None => Connection::open(self.address.get(), (), None).await.map_err(|_| Failure::Broken)?,
        };
        let mut request = Request::new(Bytes::new().into());
        *request.uri_mut() = path.parse::<Uri>().map_err(|_| Failure::Broken)?;
        let host = HeaderValue::from_str(&self.address.get().to_string()).map_err(|_| Failure::Broken)?;
        request.headers_mut().insert(HOST, host);
        let response = line.send(request).await.map_err(|_| Failure::Broken)?;
        let status = response.status();
        let body = read_body(response.into_body(), LIST_MOST).await.map_err(|_| Failure::Broken)?;
        if status != StatusCode::OK {
            return Err(Failure::Status(status));
        }
        *connection = Some(line);
        serde_json::from_slice(&body).map_err(Failure::Malformed)
    }

    fn take(&self, list: List, kind: ListKind) {
        self.index.set(Some(list.index));
        self.heard.set(self.heard.get() || kind == ListKind::Complete);
        self.members.take(kind, list.endpoints);
    }
}

impl MemberSource for Discovery {
    fn fetch(&self) {
        let Some(discovery) = self.me.upgrade() else { return };
        let address = self.address.get();
        tokio::task::spawn_local(async move {
            let answer = discovery.get(&mut None, "/discovery/hosts", FETCH_WAIT).await;
            if discovery.address.get() != address {
                // The new agent is asked for its whole list anyway.
                return;
            }
            match answer {
                // The watch may have brought something newer meanwhile.
                Ok(list) if Some(list.index) >= discovery.index.get() => {
                    discovery.take(list, ListKind::Complete);
                }
                Ok(_) => {}
                Err(failure) => {
                    eprintln!("pinerelay: discovery: {failure}; the watch goes on");
                    discovery.members.take(ListKind::Lost, Vec::new());
                }
            }
        });
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_service_that_all_share_is_left_alone_and_an_agent_is_asked_again_at_once() {
        let shared = RefCell::new(Backoff::new(3));
        let full = Failure::Status(StatusCode::SERVICE_UNAVAILABLE);
        let mut pause = PAUSE;
        for _ in 0..8 {
            assert!(away(Some(&shared), &full, &mut pause) >= Duration::from_secs(2));
        }
        assert_eq!(pause, PAUSE);
        for (backoff, failure) in
            [(None, &full), (Some(&shared), &Failure::Broken), (Some(&shared), &Failure::Silent)]
        {
            let mut pause = PAUSE;
            let most = (0..8).map(|_| away(backoff, failure, &mut pause)).max();
            assert_eq!(most, Some(PAUSE_MOST));
        }
    }
}
