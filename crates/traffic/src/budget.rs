//! The file descriptor budget that client and upstream connections share. A slot stands for one open
//! connection and is released when dropped.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use pinerelay_succession::places::{for_clients, Holds};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Descriptors reserved for the listener, discovery, the counter, the runtime and the standard streams.
const RESERVED_DESCRIPTORS: usize = 24;
/// How long a connection that was asked to close gets for it before the next one is asked.
const CLOSE_PAUSE: Duration = Duration::from_millis(20);

/// Counts open connections against a limit.
pub struct Budget {
    /// Number of descriptors reserved for other uses.
    reserved: usize,
    /// Fraction of the slots that clients may use.
    client_share: f64,
    /// Descriptor limit of all processes of this node together.
    node_descriptors: usize,
    /// Descriptor limit of this process.
    allowed: Cell<usize>,
    /// Maximum number of open connections.
    max_slots: Cell<usize>,
    /// Maximum number of open client connections.
    for_clients: Cell<usize>,
    /// Number of slots in use.
    used: Cell<usize>,
    /// Number of slots in use for client connections.
    clients: Cell<usize>,
    /// Notified when a slot may have become free or another idle connection may be closed.
    availability_changed: Notify,
    /// Sequence number of the next [`Ticket`].
    next_ticket: Cell<u64>,
    /// Client connections so new that their first request may still be unread.
    new_clients: Cell<usize>,
    /// Client connections without an open request; those that never sent a request come first.
    idle: RefCell<BTreeMap<Ticket, Rc<Notify>>>,
}

/// Key of a connection among the idle ones: whether it has ever sent a request, and its sequence number.
pub type Ticket = (bool, u64);

/// The descriptor of one open connection.
pub struct Slot {
    budget: Rc<Budget>,
    /// Whether it is a client connection.
    client: bool,
}

impl Budget {
    /// A budget for a process that may use all `descriptors` of its node. Clients may use `client_share` of
    /// the slots: each request in progress needs one slot on either side. `more` descriptors are reserved on
    /// top of those that every node needs.
    pub fn new(descriptors: usize, more: usize, client_share: f64) -> Rc<Self> {
        let budget = Budget {
            reserved: RESERVED_DESCRIPTORS + more,
            client_share,
            node_descriptors: descriptors,
            allowed: Cell::new(0),
            max_slots: Cell::new(0),
            for_clients: Cell::new(0),
            used: Cell::new(0),
            clients: Cell::new(0),
            availability_changed: Notify::new(),
            next_ticket: Cell::new(0),
            new_clients: Cell::new(0),
            idle: RefCell::default(),
        };
        budget.resize(descriptors);
        Rc::new(budget)
    }

    /// Sets the descriptor limit of this process. Connections open beyond it stay until they end.
    pub fn resize(&self, descriptors: usize) {
        if descriptors == self.allowed.replace(descriptors) {
            return;
        }
        let slots = |descriptors: usize| descriptors.saturating_sub(self.reserved).max(4);
        let max_slots = slots(descriptors);
        self.max_slots.set(max_slots);
        self.for_clients.set(for_clients(slots(self.node_descriptors), max_slots, self.client_share));
        self.wake_waiters();
    }

    /// Descriptor limit of this process.
    pub fn allowed(&self) -> usize {
        self.allowed.get()
    }

    /// The descriptors in use, including the reserved ones; `idle_servers` is the number of idle upstream
    /// connections.
    pub fn holds(&self, idle_servers: usize) -> Holds {
        let (used, clients) = (self.used.get(), self.clients.get());
        let busy_servers = (used - clients).saturating_sub(idle_servers);
        Holds { all: self.reserved + used, busy_servers, clients, idle_servers }
    }

    /// A slot for a client connection, if one is free.
    pub fn for_client(self: &Rc<Self>) -> Option<Slot> {
        self.client_fits().then(|| self.take_slot(true)).flatten()
    }

    fn client_fits(&self) -> bool {
        self.clients.get() < self.for_clients.get() && !self.exhausted()
    }

    /// Returns once a slot for a client connection is free.
    pub async fn client_finds_slot(&self) {
        loop {
            let availability_changed = self.availability_changed.notified();
            if self.client_fits() {
                return;
            }
            availability_changed.await;
        }
    }

    /// A slot for an upstream connection, if one is free.
    pub fn for_server(self: &Rc<Self>) -> Option<Slot> {
        self.take_slot(false)
    }

    fn take_slot(self: &Rc<Self>, client: bool) -> Option<Slot> {
        if self.used.get() >= self.max_slots.get() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        self.clients.set(self.clients.get() + usize::from(client));
        Some(Slot { budget: self.clone(), client })
    }

    /// Whether all slots are used, not only the clients' share.
    pub fn exhausted(&self) -> bool {
        self.used.get() >= self.max_slots.get()
    }

    /// Waits for a slot and closes one connection after the other to free it. Danger: if it waited for
    /// released slots only, new clients would starve while idle connections keep theirs. A connection that
    /// was asked to close takes a moment, during which no other must be closed for the same slot.
    pub async fn acquire(&self, take: impl Fn() -> Option<Slot>, close_one: impl Fn() -> bool) -> Slot {
        loop {
            let availability_changed = self.availability_changed.notified();
            if let Some(slot) = take() {
                return slot;
            }
            if !close_one() {
                availability_changed.await;
                continue;
            }
            let freed = async {
                loop {
                    let availability_changed = self.availability_changed.notified();
                    match take() {
                        Some(slot) => return slot,
                        None => availability_changed.await,
                    }
                }
            };
            if let Ok(slot) = timeout(CLOSE_PAUSE, freed).await {
                return slot;
            }
        }
    }

    /// Wakes the tasks that wait for a slot, for example once an upstream connection has become idle.
    pub fn wake_waiters(&self) {
        self.availability_changed.notify_waiters();
    }

    /// Registers a client connection as idle, so that it may be asked to close. [`Budget::unregister_idle`] with the
    /// ticket undoes this.
    pub fn register_idle(&self, close: Rc<Notify>, used: bool) -> Ticket {
        let ticket = (used, self.next_ticket.get());
        self.next_ticket.set(ticket.1 + 1);
        self.idle.borrow_mut().insert(ticket, close);
        self.wake_waiters();
        ticket
    }

    /// The connection with this ticket is in use again or closed.
    pub fn unregister_idle(&self, ticket: Ticket) {
        self.idle.borrow_mut().remove(&ticket);
    }

    /// Counts a new client connection that may still have an unread request.
    pub fn count_new(&self) {
        self.new_clients.set(self.new_clients.get() + 1);
    }

    /// A new connection has sent its first request, or the wait for it is over.
    pub fn uncount_new(&self) {
        self.new_clients.set(self.new_clients.get() - 1);
        self.wake_waiters();
    }

    /// Asks a client connection to close: the oldest that has never sent a request, otherwise the one that
    /// has been idle for longest; false if there is none to close. Danger: a flood of silent connections
    /// would evict the ones in use, so while new connections hold half of the clients' slots, no used one is
    /// closed. With fewer, waiting for the new ones would keep out the other clients.
    pub fn close_an_idle_client(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let many_new = self.new_clients.get() * 2 >= self.for_clients.get();
        let first = idle.first_entry().filter(|first| !first.key().0 || !many_new);
        let first = first.map(|first| first.remove_entry());
        first.is_some_and(|(_, close)| {
            close.notify_one();
            true
        })
    }

    /// Number of client connections.
    pub fn clients(&self) -> usize {
        self.clients.get()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let shared = &self.budget;
        shared.used.set(shared.used.get() - 1);
        shared.clients.set(shared.clients.get() - usize::from(self.client));
        shared.wake_waiters();
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn open_connections_stay_when_the_budget_shrinks_and_new_ones_are_refused() {
        let budget = Budget::new(RESERVED_DESCRIPTORS + 20, 0, 0.5);
        let mut slots: Vec<_> = (0..9).map(|_| budget.for_client().expect("a slot")).collect();
        budget.resize(RESERVED_DESCRIPTORS + 10);
        assert!(budget.for_client().is_none());
        assert!(budget.for_server().is_some(), "9 of 10 are used");
        slots.truncate(4);
        assert!(budget.for_client().is_some());
        let connection = budget.for_server();
        let holds = Holds { all: RESERVED_DESCRIPTORS + 5, busy_servers: 1, clients: 4, idle_servers: 0 };
        assert!(connection.is_some() && budget.holds(0) == holds, "{:?}", budget.holds(0));
    }

    #[test]
    fn an_idle_connection_is_closed_unless_half_of_all_are_new() {
        let budget = Budget::new(RESERVED_DESCRIPTORS + 20, 0, 0.6);
        budget.register_idle(Rc::default(), true);
        (0..5).for_each(|_| budget.count_new());
        assert!(budget.close_an_idle_client(), "a few new connections must not protect an idle one");
        budget.register_idle(Rc::default(), true);
        budget.count_new();
        assert!(!budget.close_an_idle_client(), "a flood of new connections must not evict a used one");
        budget.register_idle(Rc::default(), false);
        assert!(budget.close_an_idle_client(), "a connection that never sent a request is closed first");
        budget.uncount_new();
        assert!(budget.close_an_idle_client());
    }
}
