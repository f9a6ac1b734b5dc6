//! Addresses of the servers, and a pool of idle connections to each.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mountbend::interface::ServerId;
use tokio::time::Instant;

use crate::budget::{Budget, Slot};
use crate::http::Connection;
use crate::reuse::Reuse;

/// A connection in the pool.
struct IdleConnection {
    connection: Connection,
    idle: Idle,
}

/// Since when a connection has been idle, and for how long it may be.
#[derive(Debug, Clone, Copy)]
pub struct Idle {
    /// When it was returned to the pool after its last use.
    since: Instant,
    /// For how long it may stay idle.
    keep: Duration,
}

impl Idle {
    /// For how long it has been idle.
    pub fn age(&self) -> Duration {
        self.since.elapsed()
    }
}

/// A server and its idle connections.
struct Host<T> {
    address: SocketAddr,
    /// Whether it accepts new requests.
    up: bool,
    /// Changes with the address, with each restart of the server, and when another server gets its address; never
    /// reused. Connections of an earlier generation are not kept.
    generation: u64,
    idle: Vec<IdleConnection>,
    /// The program's data about the server.
    more: T,
}

/// All known servers. `T` is what a program stores about each server besides its address.
pub struct Pool<T> {
    hosts: RefCell<BTreeMap<ServerId, Host<T>>>,
    /// The last generation assigned.
    generation: Cell<u64>,
    budget: Rc<Budget>,
    /// Up to which idle age connections are reused.
    pub reuse: Reuse,
}

/// How to connect to a server that accepts requests.
pub struct Reach<R> {
    /// Its address.
    pub address: SocketAddr,
    /// The server's generation at this address.
    pub generation: u64,
    /// An idle connection to reuse, since when it has been idle and for how long it may be; `None` if a new one
    /// must be opened.
    pub kept: Option<(Connection, Idle)>,
    /// The result of the closure `more` that the caller passed to [`Pool::reach`].
    pub more: R,
}

impl<T: 'static> Pool<T> {
    /// Creates a pool without servers, and spawns a local task that drops expired idle connections each second
    /// until the pool is dropped.
    pub fn new(budget: Rc<Budget>) -> Rc<Pool<T>> {
        let pool = Rc::new(Pool {
            hosts: RefCell::default(),
            generation: Cell::new(0),
            budget,
            reuse: Reuse::new(),
        });
        let weak = Rc::downgrade(&pool);
        tokio::task::spawn_local(async move {
            loop {
                tokio::time::sleep(Duration::from_secs(1)).await;
                let Some(pool) = weak.upgrade() else { return };
                pool.sweep();
            }
        });
        pool
    }

    /// Closes idle connections that are no longer usable.
    fn sweep(&self) {
        self.reuse.fade();
        for host in self.hosts.borrow_mut().values_mut() {
            host.idle.retain(|kept| self.usable(kept));
        }
    }

    fn usable(&self, kept: &IdleConnection) -> bool {
        let age = kept.idle.age();
        age < kept.idle.keep && self.reuse.allows(age) && kept.connection.usable()
    }

    /// Number of idle connections.
    pub fn idle(&self) -> usize {
        self.hosts.borrow().values().map(|host| host.idle.len()).sum()
    }

    /// Closes the connection that has been idle for longest, to free its descriptor; false if there is none.
    pub fn close_an_idle(&self) -> bool {
        let mut hosts = self.hosts.borrow_mut();
        let oldest = hosts.values_mut().filter(|h| !h.idle.is_empty()).min_by_key(|h| h.idle[0].idle.since);
        oldest.map(|host| host.idle.remove(0)).is_some()
    }

    /// A slot for one more connection. With none free, idle connections are closed first.
    pub async fn slot(&self) -> Slot {
        let close_one = || self.close_an_idle() || self.budget.close_an_idle_client();
        self.budget.acquire(|| self.budget.for_server(), close_one).await
    }

    /// Whether a server accepts new requests and is still of this generation.
    pub fn is_current(&self, server: ServerId, generation: u64) -> bool {
        self.hosts.borrow().get(&server).is_some_and(|h| h.up && h.generation == generation)
    }

    /// How to connect to a server; none if it accepts nothing new. Returns the most recently used idle
    /// connection if `reuse` allows reusing them; those that are no longer usable are closed.
    pub fn reach<R>(
        &self,
        server: ServerId,
        reuse: impl FnOnce(&T) -> bool,
        more: impl FnOnce(&T) -> R,
    ) -> Option<Reach<R>> {
        let mut hosts = self.hosts.borrow_mut();
        let host = hosts.get_mut(&server).filter(|host| host.up)?;
        let reuse = reuse(&host.more);
        let mut found = None;
        while let Some(kept) = host.idle.pop().filter(|_| reuse) {
            if self.usable(&kept) {
                found = Some((kept.connection, kept.idle));
                break;
            }
        }
        let (address, generation) = (host.address, host.generation);
        Some(Reach { address, generation, kept: found, more: more(&host.more) })
    }

    /// Returns a connection to the pool for `keep`, if its server is still of this generation.
    pub fn give_back(&self, server: ServerId, connection: Connection, generation: u64, keep: Duration) {
        self.put_back(server, connection, generation, Idle { since: Instant::now(), keep });
    }

    /// Returns a connection on which nothing was written since it was taken from the pool: its idle time goes
    /// on.
    pub fn put_back(&self, server: ServerId, connection: Connection, generation: u64, idle: Idle) {
        let mut hosts = self.hosts.borrow_mut();
        if let Some(host) = hosts.get_mut(&server).filter(|h| h.up && h.generation == generation) {
            host.idle.push(IdleConnection { connection, idle });
            self.budget.wake_waiters();
        }
    }

    /// Closes all idle connections to a server.
    pub fn drop_idle(&self, server: ServerId) {
        self.hosts.borrow_mut().get_mut(&server).into_iter().for_each(|host| host.idle.clear());
    }

    /// Accesses the program's data about a server; none if the server is unknown.
    pub fn more<R>(&self, server: ServerId, of: impl FnOnce(&mut T) -> R) -> Option<R> {
        self.hosts.borrow_mut().get_mut(&server).map(|host| of(&mut host.more))
    }

    /// Adds or updates a server; without a usable address the last one is kept. `first` creates the program's
    /// data for a new server; `then` updates them and returns whether the server has restarted. False if
    /// there is no address.
    pub fn set(
        &self,
        server: ServerId,
        address: Option<SocketAddr>,
        up: bool,
        first: impl FnOnce(SocketAddr) -> T,
        then: impl FnOnce(&mut T, SocketAddr) -> bool,
    ) -> bool {
        let mut hosts = self.hosts.borrow_mut();
        let Some(address) = address.or_else(|| hosts.get(&server).map(|h| h.address)) else { return false };
        let next = self.generation.get() + 1;
        self.generation.set(next);
        // Danger: a new server may have the address of one that is gone. Idle connections lead to the old
        // one.
        let same = hosts.iter_mut().filter(|(&other, h)| other != server && h.address == address);
        same.for_each(|(_, old)| {
            old.generation = next;
            old.idle.clear();
        });
        let host = hosts.entry(server).or_insert_with(|| Host {
            address,
            up,
            generation: next,
            idle: Vec::new(),
            more: first(address),
        });
        let restarted = then(&mut host.more, address);
        if host.address != address || restarted {
            (host.address, host.generation) = (address, next);
            host.idle.clear();
        }
        host.up = up;
        if !up {
            host.idle.clear();
        }
        true
    }

    /// Removes all servers except those for which `keep` returns true.
    pub fn retain(&self, keep: impl Fn(ServerId) -> bool) {
        self.hosts.borrow_mut().retain(|&server, _| keep(server));
    }

    /// Removes a server.
    pub fn remove(&self, server: ServerId) {
        self.hosts.borrow_mut().remove(&server);
    }
}
