//! Where servers are, and the connections kept to each.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use mountbend::interface::ServerId;
use pinerelay_cells::server::{Server, State};
use pinerelay_nectar::budget::Budget as Tries;
use pinerelay_traffic::http::Connection;
use pinerelay_traffic::pool::{Idle, Pool, Reach};
use pinerelay_traffic::Common;
use tokio::time::{timeout, Instant};

/// A connection has so long to come up: one to a dead machine hangs, and a full backlog costs seconds.
const CONNECT: Duration = Duration::from_millis(200);
const CONNECT_LEAST: Duration = Duration::from_millis(40);
/// An idle connection is dropped after this where its server says nothing of that.
pub(crate) const KEEP_UNTOLD: Duration = Duration::from_secs(4);
/// After an answer that belonged to no request, a server's connections are not used twice for so long.
const DISTRUST: Duration = Duration::from_secs(6);

/// What is known of a server beside its address.
pub(crate) struct Known {
    name: HeaderValue,
    service: String,
    distrusted: Option<Instant>,
    /// Open connections.
    open: Rc<Cell<usize>>,
}

/// A connection's place among those that a server accepts of this node.
struct Place(Rc<Cell<usize>>);

impl Place {
    fn take(open: &Rc<Cell<usize>>) -> Place {
        open.set(open.get() + 1);
        Place(open.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Why there is no connection.
pub(crate) enum NoLine {
    /// None came up, or the server takes nothing new.
    Failed,
    /// This node has as many as are its part of what the server accepts.
    Full,
}

/// Where all servers are, and the connections kept to them.
pub struct Hosts {
    pub(crate) pool: Rc<Pool<Known>>,
    pub(crate) common: Common,
    /// What may be sent to a second server.
    pub tries: RefCell<Tries>,
    /// Among how many nodes that is shared, and what servers accept.
    pub nodes: Cell<usize>,
    /// By service: how many connections one of its servers accepts, of all callers together.
    pub most: RefCell<BTreeMap<String, u64>>,
    opened: Cell<u64>,
    pub(crate) sent: Cell<u64>,
    spoilt: Cell<u64>,
}

/// A connection to a server, and of which generation.
pub(crate) struct Line {
    pub(crate) connection: Connection,
    pub(crate) generation: u64,
    pub(crate) name: HeaderValue,
    /// For how long it stood idle, if it was kept.
    pub(crate) idle: Option<Idle>,
}

impl Hosts {
    /// None yet.
    pub fn new(common: Common, tries: Tries) -> Rc<Hosts> {
        Rc::new(Hosts {
            pool: Pool::new(common.budget.clone()),
            common,
            tries: RefCell::new(tries),
            nodes: Cell::new(1),
            most: RefCell::default(),
            opened: Cell::new(0),
            sent: Cell::new(0),
            spoilt: Cell::new(0),
        })
    }

    /// Connections opened, requests sent, and answers that belonged to no request.
    pub fn figures(&self) -> (u64, u64, u64) {
        (self.opened.get(), self.sent.get(), self.spoilt.get())
    }

    /// Clients' connections that are open.
    pub fn clients(&self) -> usize {
        self.common.budget.clients()
    }

    /// Closes the connection that has been idle for longest, to free its descriptor.
    pub fn close_an_idle(&self) -> bool {
        self.pool.close_an_idle()
    }

    /// What is known of a server; none: it has left.
    pub fn set(&self, number: ServerId, id: &str, server: Option<&Server>) {
        let Some(server) = server else { return self.pool.remove(number) };
        let first = |_| Known {
            // Ids are what registries have taken: what is no header's value names no server.
            name: HeaderValue::from_str(id).unwrap_or(HeaderValue::from_static("-")),
            service: server.service.clone(),
            distrusted: None,
            open: Rc::default(),
        };
        let up = server.state == State::Ready;
        self.pool.set(number, Some(server.address.into()), up, first, |_, _| false);
    }

    /// This node's part of the connections that a server of a service accepts.
    fn part(&self, service: &str) -> usize {
        let most = self.most.borrow().get(service).copied().filter(|&most| most > 0);
        most.map_or(usize::MAX, |most| (most as usize / self.nodes.get()).max(2))
    }

    /// A kept connection or a new one.
    pub(crate) async fn line(
        &self,
        server: ServerId,
        fresh_only: bool,
        left: Duration,
    ) -> Result<Line, NoLine> {
        let trusted = |known: &Known| known.distrusted.is_none_or(|since| since.elapsed() > DISTRUST);
        let more = |known: &Known| (known.name.clone(), known.open.clone(), self.part(&known.service));
        let reach = self.pool.reach(server, |known| !fresh_only && trusted(known), more);
        let Some(Reach { address, generation, kept, more: (name, open, part) }) = reach else {
            return Err(NoLine::Failed);
        };
        if let Some((connection, idle)) = kept {
            return Ok(Line { connection, generation, name, idle: Some(idle) });
        }
        if open.get() >= part {
            return Err(NoLine::Full);
        }
        let place = Place::take(&open);
        let connect = async { Connection::open(address, (self.pool.slot().await, place), None).await };
        // Danger: a machine that has vanished must not take the time in which another could still be asked.
        let patience = CONNECT.min((left / 4).max(CONNECT_LEAST));
        let connection = match timeout(patience, connect).await {
            Ok(Ok(connection)) => connection,
            _ => return Err(NoLine::Failed),
        };
        self.opened.set(self.opened.get() + 1);
        // What is known of it may have changed while the connection came up.
        self.pool
            .stands(server, generation)
            .then_some(Line { connection, generation, name, idle: None })
            .ok_or(NoLine::Failed)
    }

    /// Keeps a connection on which nothing has been written.
    pub(crate) fn unused(
        &self,
        server: ServerId,
        connection: Connection,
        generation: u64,
        idle: Option<Idle>,
    ) {
        match idle {
            Some(idle) => self.pool.put_back(server, connection, generation, idle),
            None => self.pool.give_back(server, connection, generation, KEEP_UNTOLD),
        }
    }

    pub(crate) fn distrust(&self, server: ServerId) {
        self.spoilt.set(self.spoilt.get() + 1);
        self.pool.more(server, |known| known.distrusted = Some(Instant::now()));
        self.pool.drop_idle(server);
    }
}
