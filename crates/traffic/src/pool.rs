//! Where servers are, and the idle connections kept to each.

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

struct Kept {
    connection: Connection,
    idle: Idle,
}

/// How long a connection has stood idle, and may.
#[derive(Debug, Clone, Copy)]
pub struct Idle {
    since: Instant,
    /// For how long it may stand idle.
    keep: Duration,
}

impl Idle {
    /// For how long it has stood idle.
    pub fn age(&self) -> Duration {
        self.since.elapsed()
    }
}

struct Host<T> {
    address: SocketAddr,
    up: bool,
    /// Another with each address and life, never given twice: connections of an earlier one are not kept.
    generation: u64,
    idle: Vec<Kept>,
    more: T,
}

/// All servers that are known. `T` is what a program knows of each beside its address.
pub struct Pool<T> {
    hosts: RefCell<BTreeMap<ServerId, Host<T>>>,
    /// The last generation given.
    generation: Cell<u64>,
    budget: Rc<Budget>,
    /// Up to which age idle connections are used again.
    pub reuse: Reuse,
}

/// A server that takes requests, as it is reached.
pub struct Reach<R> {
    /// Where it is.
    pub address: SocketAddr,
    /// Which of the lives that were there.
    pub generation: u64,
    /// A kept connection, and how long it stood idle.
    pub kept: Option<(Connection, Idle)>,
    /// What was asked of what is known beside.
    pub more: R,
}

impl<T: 'static> Pool<T> {
    /// No servers yet.
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

    fn sweep(&self) {
        self.reuse.fade();
        for host in self.hosts.borrow_mut().values_mut() {
            host.idle.retain(|kept| self.usable(kept));
        }
    }

    fn usable(&self, kept: &Kept) -> bool {
        let age = kept.idle.age();
        age < kept.idle.keep && self.reuse.allows(age) && kept.connection.usable()
    }

    /// How many connections stand idle.
    pub fn idle(&self) -> usize {
        self.hosts.borrow().values().map(|host| host.idle.len()).sum()
    }

    /// Closes the connection that has been idle for longest, to free its descriptor.
    pub fn close_an_idle(&self) -> bool {
        let mut hosts = self.hosts.borrow_mut();
        let oldest = hosts.values_mut().filter(|h| !h.idle.is_empty()).min_by_key(|h| h.idle[0].idle.since);
        oldest.map(|host| host.idle.remove(0)).is_some()
    }

    /// A place for one more connection. Guard: with none free, idle ones are closed first.
    pub async fn slot(&self) -> Slot {
        let close_one = || self.close_an_idle() || self.budget.close_an_idle_client();
        self.budget.room(|| self.budget.for_server(), close_one).await
    }

    /// Whether a server wants something new, and still is the one of this generation.
    pub fn stands(&self, server: ServerId, generation: u64) -> bool {
        self.hosts.borrow().get(&server).is_some_and(|h| h.up && h.generation == generation)
    }

    /// How a server is reached; none if it takes nothing new. Of kept connections the youngest comes first, if `reuse` says
    /// that they may be used.
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

    /// Keeps a connection for so long, if its server is still the one of this generation.
    pub fn give_back(&self, server: ServerId, connection: Connection, generation: u64, keep: Duration) {
        self.put_back(server, connection, generation, Idle { since: Instant::now(), keep });
    }

    /// Keeps a connection on which nothing was written since it was taken: it has stood idle all the while.
    pub fn put_back(&self, server: ServerId, connection: Connection, generation: u64, idle: Idle) {
        let mut hosts = self.hosts.borrow_mut();
        if let Some(host) = hosts.get_mut(&server).filter(|h| h.up && h.generation == generation) {
            host.idle.push(Kept { connection, idle });
            self.budget.ease();
        }
    }

    /// Closes all idle connections to a server.
    pub fn drop_idle(&self, server: ServerId) {
        self.hosts.borrow_mut().get_mut(&server).into_iter().for_each(|host| host.idle.clear());
    }

    /// What is known of a server beside its address.
    pub fn more<R>(&self, server: ServerId, of: impl FnOnce(&mut T) -> R) -> Option<R> {
        self.hosts.borrow_mut().get_mut(&server).map(|host| of(&mut host.more))
    }

    /// What is known of a server; without a usable address the last one stands. `first` makes what is known of a new one
    /// beside, and `then` brings that up to date, and tells whether it is another life. False if there is no address.
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
        // Danger: a new server may stand where one that has gone stood. Connections lead to the old one.
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
        let another = then(&mut host.more, address);
        if host.address != address || another {
            (host.address, host.generation) = (address, next);
            host.idle.clear();
        }
        host.up = up;
        if !up {
            host.idle.clear();
        }
        true
    }

    /// Forgets all but those that this says so of.
    pub fn retain(&self, keep: impl Fn(ServerId) -> bool) {
        self.hosts.borrow_mut().retain(|&server, _| keep(server));
    }

    /// Forgets a server.
    pub fn remove(&self, server: ServerId) {
        self.hosts.borrow_mut().remove(&server);
    }
}
