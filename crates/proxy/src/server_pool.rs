//! Where the servers are, and the connections kept to each.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use mountbend::interface::ServerId;
use pinerelay_admission::retry_budget::RetryBudget;
use pinerelay_config_state::resources::Service;
use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_traffic::http::Connection;
use pinerelay_traffic::pool::{Idle, Pool, Reach};
use pinerelay_traffic::Common;
use thiserror::Error;
use tokio::time::{timeout, Instant};

/// A connection has so long to come up: one to a dead machine hangs, and a full backlog costs seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// However little time is left, a connection has so long.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(40);
/// Connecting may take one part in so many of the time that is left, so that another server can still be asked.
const CONNECT_TIME_DIVISOR: u32 = 4;
/// An idle connection is closed after this where its server does not say how long it keeps it.
pub(crate) const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// After a response that belonged to no request, a server's connections are not reused for so long.
const DISTRUST_DURATION: Duration = Duration::from_secs(6);
/// However many proxies there are, each may have so many connections to a server.
const MIN_CONNECTIONS: usize = 2;

/// What is known of a server besides its address.
pub(crate) struct ServerInfo {
    /// Its id as a header's value.
    id: HeaderValue,
    service: String,
    distrusted_since: Option<Instant>,
    /// The number of open connections.
    connections: Rc<Cell<usize>>,
}

impl ServerInfo {
    fn is_trusted(&self) -> bool {
        self.distrusted_since.is_none_or(|since| since.elapsed() > DISTRUST_DURATION)
    }
}

/// A connection's slot among those that a server accepts of this proxy.
struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    fn take(connections: &Rc<Cell<usize>>) -> ConnectionSlot {
        connections.set(connections.get() + 1);
        ConnectionSlot(connections.clone())
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Why there is no connection. Nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum ConnectError {
    /// None came up, or the server takes no new requests.
    #[error("no connection came up")]
    Failed,
    /// This proxy has its part of the connections that the server accepts.
    #[error("the server accepts no more connections of this proxy")]
    Exhausted,
}

/// A connection to a server.
pub(crate) struct ServerConnection {
    pub(crate) connection: Connection,
    /// The generation of the server's address.
    pub(crate) generation: u64,
    pub(crate) server_id: HeaderValue,
    /// For how long it was idle, if it is reused.
    pub(crate) idle: Option<Idle>,
}

/// What a pool counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerPoolCounts {
    /// Connections that were opened.
    pub opened: u64,
    /// Attempts that were sent.
    pub sent: u64,
    /// Responses that belonged to no request.
    pub distrusted: u64,
}

/// The servers of all services, and the connections kept to them.
pub struct ServerPool {
    pub(crate) connections: Rc<Pool<ServerInfo>>,
    pub(crate) common: Common,
    /// How many requests may be sent to a second server.
    pub retries: RefCell<RetryBudget>,
    /// The number of proxies that share the budget, and the connections that servers accept.
    proxies: Cell<usize>,
    /// By service: the connections that one of its servers accepts from all callers together.
    max_connections: RefCell<BTreeMap<String, u64>>,
    counts: Cell<ServerPoolCounts>,
}

impl ServerPool {
    /// A pool without servers.
    pub fn new(common: Common, retries: RetryBudget) -> Rc<ServerPool> {
        Rc::new(ServerPool {
            connections: Pool::new(common.budget.clone()),
            common,
            retries: RefCell::new(retries),
            proxies: Cell::new(1),
            max_connections: RefCell::default(),
            counts: Cell::default(),
        })
    }

    /// What was counted so far.
    pub fn counts(&self) -> ServerPoolCounts {
        self.counts.get()
    }

    fn count(&self, change: impl FnOnce(&mut ServerPoolCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Counts an attempt that was sent.
    pub(crate) fn count_sent(&self) {
        self.count(|counts| counts.sent += 1);
    }

    /// The number of proxies.
    pub fn proxies(&self) -> usize {
        self.proxies.get()
    }

    /// Sets the number of proxies.
    pub fn set_proxies(&self, proxies: u32) {
        self.proxies.set(proxies.max(1) as usize);
    }

    /// Sets how many connections the servers of each service accept.
    pub fn set_max_connections<'a>(&self, services: impl Iterator<Item = &'a Service>) {
        let max_connections = services.map(|service| (service.name.clone(), service.max_connections));
        self.max_connections.replace(max_connections.collect());
    }

    /// Clients' connections that are open.
    pub fn clients(&self) -> usize {
        self.common.budget.clients()
    }

    /// Closes the connection that has been idle for longest, to free its descriptor; returns whether there was one.
    pub fn close_an_idle(&self) -> bool {
        self.connections.close_an_idle()
    }

    /// Sets what is known of a server; `None` if it takes no requests.
    pub fn set(&self, number: ServerId, id: &str, server: Option<&Server>) {
        let Some(server) = server else { return self.connections.remove(number) };
        let new_info = |_| ServerInfo {
            // Registries accept ids that no header can hold: such an id names no server.
            id: HeaderValue::from_str(id).unwrap_or(HeaderValue::from_static("-")),
            service: server.service.clone(),
            distrusted_since: None,
            connections: Rc::default(),
        };
        let is_ready = server.state == ServerState::Ready;
        self.connections.set(number, Some(server.address.into()), is_ready, new_info, |_, _| false);
    }

    /// The connections that this proxy may have to a server of a service: its part of those that the server accepts.
    fn connection_limit(&self, service: &str) -> usize {
        let accepted = self.max_connections.borrow().get(service).copied().filter(|&accepted| accepted > 0);
        accepted.map_or(usize::MAX, |accepted| (accepted as usize / self.proxies.get()).max(MIN_CONNECTIONS))
    }

    /// A kept connection to a server, or a new one. `time_left` is that of the request.
    pub(crate) async fn connect(
        &self,
        server: ServerId,
        new_only: bool,
        time_left: Duration,
    ) -> Result<ServerConnection, ConnectError> {
        let may_reuse = |info: &ServerInfo| !new_only && info.is_trusted();
        let details = |info: &ServerInfo| {
            (info.id.clone(), info.connections.clone(), self.connection_limit(&info.service))
        };
        let reach = self.connections.reach(server, may_reuse, details);
        let Some(Reach { address, generation, kept, more: (server_id, open, limit) }) = reach else {
            return Err(ConnectError::Failed);
        };
        if let Some((connection, idle)) = kept {
            return Ok(ServerConnection { connection, generation, server_id, idle: Some(idle) });
        }
        if open.get() >= limit {
            return Err(ConnectError::Exhausted);
        }
        let slot = ConnectionSlot::take(&open);
        let connect = async { Connection::open(address, (self.connections.slot().await, slot), None).await };
        let patience = CONNECT_TIMEOUT.min((time_left / CONNECT_TIME_DIVISOR).max(MIN_CONNECT_TIMEOUT));
        let Ok(Ok(connection)) = timeout(patience, connect).await else { return Err(ConnectError::Failed) };
        self.count(|counts| counts.opened += 1);
        // The server may have changed while the connection came up.
        if !self.connections.stands(server, generation) {
            return Err(ConnectError::Failed);
        }
        Ok(ServerConnection { connection, generation, server_id, idle: None })
    }

    /// Keeps a connection on which nothing was written.
    pub(crate) fn return_unused(
        &self,
        server: ServerId,
        connection: Connection,
        generation: u64,
        idle: Option<Idle>,
    ) {
        match idle {
            Some(idle) => self.connections.put_back(server, connection, generation, idle),
            None => self.connections.give_back(server, connection, generation, DEFAULT_KEEP_ALIVE),
        }
    }

    /// A server's response belonged to no request: its connections are not reused for a while.
    pub(crate) fn distrust(&self, server: ServerId) {
        self.count(|counts| counts.distrusted += 1);
        self.connections.more(server, |info| info.distrusted_since = Some(Instant::now()));
        self.connections.drop_idle(server);
    }
}
