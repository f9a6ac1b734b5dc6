//! The addresses of the upstream servers, and a pool of connections to each.

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

/// Connect timeout: connecting to a dead machine hangs, and a full listen backlog delays it by seconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Minimum connect timeout, however little of the request's time is left; the attempt's deadline may end it earlier.
const MIN_CONNECT_TIMEOUT: Duration = Duration::from_millis(40);
/// Connecting may take the request's remaining time divided by this, so that another server can still be tried.
const CONNECT_TIME_DIVISOR: u32 = 4;
/// Idle timeout of a connection whose server sends no `Keep-Alive` timeout.
pub(crate) const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);
/// How long connections to a server are not reused after an untrusted response.
const DISTRUST_DURATION: Duration = Duration::from_secs(6);
/// Each proxy may have this many connections to a server, however many proxies there are.
const MIN_CONNECTIONS: usize = 2;

/// The data that the pool keeps for each server besides its address.
pub(crate) struct ServerInfo {
    /// The server's id as a header value.
    id: HeaderValue,
    /// The name of its service.
    service: String,
    /// When its last untrusted response arrived.
    distrusted_since: Option<Instant>,
    /// The number of connections that are open or being opened.
    connections: Rc<Cell<usize>>,
}

impl ServerInfo {
    fn is_trusted(&self) -> bool {
        self.distrusted_since.is_none_or(|since| since.elapsed() > DISTRUST_DURATION)
    }
}

/// Counts a connection against the server's connection limit until it is dropped.
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

/// Why no connection is available. Nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub(crate) enum ConnectError {
    /// Connecting failed or timed out, or the server accepts no new requests.
    #[error("could not connect to the server")]
    Failed,
    /// This proxy already uses its share of the connections that the server accepts.
    #[error("the connection limit of the server is reached")]
    Exhausted,
}

/// A connection to a server.
pub(crate) struct ServerConnection {
    pub(crate) connection: Connection,
    /// The generation of the server's address.
    pub(crate) generation: u64,
    pub(crate) server_id: HeaderValue,
    /// Since when a reused connection was idle, and how long it could be; `None` for a new one.
    pub(crate) idle_period: Option<Idle>,
}

/// Counters of a server pool.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerPoolCounts {
    /// Connections that were opened.
    pub opened: u64,
    /// Attempts that were sent.
    pub sent: u64,
    /// Untrusted responses.
    pub distrusted: u64,
}

/// The servers of all services, and the pooled connections to them.
pub struct ServerPool {
    pub(crate) connections: Rc<Pool<ServerInfo>>,
    pub(crate) common: Common,
    /// Limits how many requests may be sent again to another server.
    pub retry_budget: RefCell<RetryBudget>,
    /// The number of proxies that share the retry budget and the servers' connection limits.
    proxies: Cell<usize>,
    /// By service: the connection limit of each of its servers, for all proxies together.
    max_connections: RefCell<BTreeMap<String, u64>>,
    counts: Cell<ServerPoolCounts>,
}

impl ServerPool {
    /// Creates a pool without servers.
    pub fn new(common: Common, retry_budget: RetryBudget) -> Rc<ServerPool> {
        Rc::new(ServerPool {
            connections: Pool::new(common.budget.clone()),
            common,
            retry_budget: RefCell::new(retry_budget),
            proxies: Cell::new(1),
            max_connections: RefCell::default(),
            counts: Cell::default(),
        })
    }

    /// The current counters.
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

    /// Sets the connection limit of the servers of each service.
    pub fn set_max_connections<'a>(&self, services: impl Iterator<Item = &'a Service>) {
        let max_connections = services.map(|service| (service.name.clone(), service.max_connections));
        self.max_connections.replace(max_connections.collect());
    }

    /// The number of open client connections.
    pub fn client_connections(&self) -> usize {
        self.common.budget.clients()
    }

    /// Closes the connection that has been idle for the longest time, to free its descriptor; returns whether there was one.
    pub fn close_an_idle(&self) -> bool {
        self.connections.close_an_idle()
    }

    /// Adds or updates a server; with `None`, removes it.
    pub fn set_server(&self, number: ServerId, id: &str, server: Option<&Server>) {
        let Some(server) = server else { return self.connections.remove(number) };
        let new_info = |_| ServerInfo {
            // Registries accept ids that are not valid header values; they are replaced by one that names no server.
            id: HeaderValue::from_str(id).unwrap_or(HeaderValue::from_static("-")),
            service: server.service.clone(),
            distrusted_since: None,
            connections: Rc::default(),
        };
        let is_ready = server.state == ServerState::Ready;
        self.connections.set(number, Some(server.address.into()), is_ready, new_info, |_, _| false);
    }

    /// The number of connections that this proxy may have to each server of a service: its share of the server's limit.
    fn connection_limit(&self, service: &str) -> usize {
        let accepted = self.max_connections.borrow().get(service).copied().filter(|&accepted| accepted > 0);
        accepted.map_or(usize::MAX, |accepted| (accepted as usize / self.proxies.get()).max(MIN_CONNECTIONS))
    }

    /// Returns a pooled connection to a server, or opens a new one. `time_left` is the remaining time of the request.
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
        if let Some((connection, idle_period)) = kept {
            return Ok(ServerConnection {
                connection,
                generation,
                server_id,
                idle_period: Some(idle_period),
            });
        }
        if open.get() >= limit {
            return Err(ConnectError::Exhausted);
        }
        let slot = ConnectionSlot::take(&open);
        let connect = async { Connection::open(address, (self.connections.slot().await, slot), None).await };
        let max_wait = CONNECT_TIMEOUT.min((time_left / CONNECT_TIME_DIVISOR).max(MIN_CONNECT_TIMEOUT));
        let Ok(Ok(connection)) = timeout(max_wait, connect).await else { return Err(ConnectError::Failed) };
        self.count(|counts| counts.opened += 1);
        // The server may have changed while connecting.
        if !self.connections.is_current(server, generation) {
            return Err(ConnectError::Failed);
        }
        Ok(ServerConnection { connection, generation, server_id, idle_period: None })
    }

    /// Returns a connection to the pool on which nothing was written.
    pub(crate) fn return_unused(
        &self,
        server: ServerId,
        connection: Connection,
        generation: u64,
        idle_period: Option<Idle>,
    ) {
        match idle_period {
            Some(idle_period) => self.connections.put_back(server, connection, generation, idle_period),
            None => self.connections.give_back(server, connection, generation, DEFAULT_KEEP_ALIVE),
        }
    }

    /// Closes the idle connections to a server after an untrusted response, and disables reuse for `DISTRUST_DURATION`.
    pub(crate) fn distrust(&self, server: ServerId) {
        self.count(|counts| counts.distrusted += 1);
        self.connections.more(server, |info| info.distrusted_since = Some(Instant::now()));
        self.connections.drop_idle(server);
    }
}
