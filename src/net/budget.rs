//! The descriptors that clients and app servers share. A slot stands for one open connection and frees
//! itself when dropped.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::sync::futures::Notified;
use tokio::sync::Notify;

/// Descriptors kept back for the listener, discovery, the counter, the runtime and the standard streams.
const KEPT_BACK: usize = 24;
/// The share of the slots that clients may hold: every request in work needs one on either side.
const CLIENT_SHARE: f64 = 0.6;

/// How many connections may be open, and are.
pub struct Budget {
    most: usize,
    for_clients: usize,
    used: Cell<usize>,
    clients: Cell<usize>,
    eased: Notify,
    tickets: Cell<u64>,
    idle: RefCell<BTreeMap<u64, Rc<Notify>>>,
}

/// One open connection's place in the budget.
pub struct Slot {
    budget: Rc<Budget>,
    client: bool,
}

impl Budget {
    /// A budget for a process that may hold `descriptors`.
    pub fn new(descriptors: usize) -> Rc<Self> {
        let most = descriptors.saturating_sub(KEPT_BACK).max(4);
        Rc::new(Budget {
            most,
            for_clients: ((most as f64 * CLIENT_SHARE) as usize).max(2),
            used: Cell::new(0),
            clients: Cell::new(0),
            eased: Notify::new(),
            tickets: Cell::new(0),
            idle: RefCell::default(),
        })
    }

    /// A slot for a client's connection, if one is free.
    pub fn for_client(self: &Rc<Self>) -> Option<Slot> {
        (self.clients.get() < self.for_clients).then(|| self.take(true)).flatten()
    }

    /// A slot for a connection to an app server, if one is free.
    pub fn for_server(self: &Rc<Self>) -> Option<Slot> {
        self.take(false)
    }

    fn take(self: &Rc<Self>, client: bool) -> Option<Slot> {
        if self.used.get() >= self.most {
            return None;
        }
        self.used.set(self.used.get() + 1);
        self.clients.set(self.clients.get() + usize::from(client));
        Some(Slot { budget: self.clone(), client })
    }

    /// Whether the whole is used up, and not just the clients' part.
    pub fn exhausted(&self) -> bool {
        self.used.get() >= self.most
    }

    /// Waits for the next slot that is freed, or connection that falls idle, after this call. Danger: waiting
    /// for freed slots alone, new clients starve while those with slots stand idle.
    pub fn eased(&self) -> Notified<'_> {
        self.eased.notified()
    }

    /// A connection to an app server has fallen idle.
    pub fn ease(&self) {
        self.eased.notify_waiters();
    }

    /// A client's connection stands idle; it may be told to close. The ticket takes that back.
    pub fn idle(&self, close: Rc<Notify>) -> u64 {
        let ticket = self.tickets.get();
        self.tickets.set(ticket + 1);
        self.idle.borrow_mut().insert(ticket, close);
        self.ease();
        ticket
    }

    /// The connection with this ticket is in use, or gone.
    pub fn busy(&self, ticket: u64) {
        self.idle.borrow_mut().remove(&ticket);
    }

    /// Tells the client's connection that has been idle for longest to close.
    pub fn close_an_idle_client(&self) -> bool {
        let oldest = self.idle.borrow_mut().pop_first();
        oldest.is_some_and(|(_, close)| {
            close.notify_one();
            true
        })
    }

    /// How many clients are connected.
    pub fn clients(&self) -> usize {
        self.clients.get()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let b = &self.budget;
        b.used.set(b.used.get() - 1);
        b.clients.set(b.clients.get() - usize::from(self.client));
        b.ease();
    }
}
