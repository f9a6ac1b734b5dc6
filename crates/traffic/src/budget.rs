//! The descriptors that clients and app servers share. A slot stands for one open connection and frees
//! itself when dropped.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use pinerelay_succession::places::{for_clients, Holds};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Descriptors kept back for the listener, discovery, the counter, the runtime and the standard streams.
const KEPT_BACK: usize = 24;
/// How long a connection that is told to close has for it before the next one is told so.
const CLOSE_PAUSE: Duration = Duration::from_millis(20);

/// How many connections may be open, and are.
pub struct Budget {
    /// Descriptors that are kept back, and the part of the rest that clients may hold.
    kept_back: usize,
    client_share: f64,
    /// Of how many descriptors all processes of this node together.
    whole: usize,
    /// Of how many descriptors.
    allowed: Cell<usize>,
    most: Cell<usize>,
    for_clients: Cell<usize>,
    used: Cell<usize>,
    clients: Cell<usize>,
    eased: Notify,
    tickets: Cell<u64>,
    /// Clients' connections so new that their first request may still lie unread.
    fresh: Cell<usize>,
    /// Clients' connections that no request is open on; those that have never sent one come first.
    idle: RefCell<BTreeMap<Ticket, Rc<Notify>>>,
}

/// A connection's place among the idle ones: whether it has ever sent a request, and its turn.
pub type Ticket = (bool, u64);

/// One open connection's place in the budget.
pub struct Slot {
    budget: Rc<Budget>,
    client: bool,
}

impl Budget {
    /// A budget for a process that may hold `descriptors`, all that its node has. Clients may hold `client_share` of the slots: every
    /// request in work needs one on either side.
    /// `more` are kept back beside those that every node needs.
    pub fn new(descriptors: usize, more: usize, client_share: f64) -> Rc<Self> {
        let budget = Budget {
            kept_back: KEPT_BACK + more,
            client_share,
            whole: descriptors,
            allowed: Cell::new(0),
            most: Cell::new(0),
            for_clients: Cell::new(0),
            used: Cell::new(0),
            clients: Cell::new(0),
            eased: Notify::new(),
            tickets: Cell::new(0),
            fresh: Cell::new(0),
            idle: RefCell::default(),
        };
        budget.resize(descriptors);
        Rc::new(budget)
    }

    /// The process may hold so many descriptors from now on. What is open beyond that stays until it ends.
    pub fn resize(&self, descriptors: usize) {
        if descriptors == self.allowed.replace(descriptors) {
            return;
        }
        let slots = |descriptors: usize| descriptors.saturating_sub(self.kept_back).max(4);
        let most = slots(descriptors);
        self.most.set(most);
        self.for_clients.set(for_clients(slots(self.whole), most, self.client_share));
        self.ease();
    }

    /// How many descriptors the process may hold.
    pub fn allowed(&self) -> usize {
        self.allowed.get()
    }

    /// What it holds, with those that are kept back; so many connections to app servers are idle.
    pub fn holds(&self, idle_servers: usize) -> Holds {
        let (used, clients) = (self.used.get(), self.clients.get());
        let busy_servers = (used - clients).saturating_sub(idle_servers);
        Holds { all: self.kept_back + used, busy_servers, clients, idle_servers }
    }

    /// A slot for a client's connection, if one is free.
    pub fn for_client(self: &Rc<Self>) -> Option<Slot> {
        self.client_fits().then(|| self.take(true)).flatten()
    }

    fn client_fits(&self) -> bool {
        self.clients.get() < self.for_clients.get() && !self.exhausted()
    }

    /// Comes back once one client more finds a slot.
    pub async fn client_finds_slot(&self) {
        loop {
            let eased = self.eased.notified();
            if self.client_fits() {
                return;
            }
            eased.await;
        }
    }

    /// A slot for a connection to an app server, if one is free.
    pub fn for_server(self: &Rc<Self>) -> Option<Slot> {
        self.take(false)
    }

    fn take(self: &Rc<Self>, client: bool) -> Option<Slot> {
        if self.used.get() >= self.most.get() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        self.clients.set(self.clients.get() + usize::from(client));
        Some(Slot { budget: self.clone(), client })
    }

    /// Whether the whole is used up, and not just the clients' part.
    pub fn exhausted(&self) -> bool {
        self.used.get() >= self.most.get()
    }

    /// Waits for a slot, closing one connection after the other to free it. Danger: waiting for freed slots
    /// alone, new clients starve while those with slots stand idle; and what is told to close takes a moment,
    /// in which nothing else must be closed in its stead.
    pub async fn room(&self, take: impl Fn() -> Option<Slot>, close_one: impl Fn() -> bool) -> Slot {
        loop {
            let eased = self.eased.notified();
            if let Some(slot) = take() {
                return slot;
            }
            if !close_one() {
                eased.await;
                continue;
            }
            let freed = async {
                loop {
                    let eased = self.eased.notified();
                    match take() {
                        Some(slot) => return slot,
                        None => eased.await,
                    }
                }
            };
            if let Ok(slot) = timeout(CLOSE_PAUSE, freed).await {
                return slot;
            }
        }
    }

    /// A connection to an app server has fallen idle.
    pub fn ease(&self) {
        self.eased.notify_waiters();
    }

    /// A client's connection stands idle; it may be told to close. The ticket takes that back.
    pub fn idle(&self, close: Rc<Notify>, used: bool) -> Ticket {
        let ticket = (used, self.tickets.get());
        self.tickets.set(ticket.1 + 1);
        self.idle.borrow_mut().insert(ticket, close);
        self.ease();
        ticket
    }

    /// The connection with this ticket is in use, or gone.
    pub fn busy(&self, ticket: Ticket) {
        self.idle.borrow_mut().remove(&ticket);
    }

    /// A client has connected.
    pub fn fresh(&self) {
        self.fresh.set(self.fresh.get() + 1);
    }

    /// Whether a new connection has a request or stays silent is known by now.
    pub fn matured(&self) {
        self.fresh.set(self.fresh.get() - 1);
        self.ease();
    }

    /// Tells a client's connection to close: the first that has stayed silent from its start, else the one
    /// that has been idle for longest. Danger: a flood of silent connections would push out those in use; while
    /// half of all are too new to tell, these are waited for. With fewer, waiting would keep out the others.
    pub fn close_an_idle_client(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        let flood = self.fresh.get() * 2 >= self.for_clients.get();
        let first = idle.first_entry().filter(|first| !first.key().0 || !flood);
        let first = first.map(|first| first.remove_entry());
        first.is_some_and(|(_, close)| {
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_open_stays_when_the_budget_shrinks_and_nothing_new_is_let_in() {
        let budget = Budget::new(KEPT_BACK + 20, 0, 0.5);
        let mut slots: Vec<_> = (0..9).map(|_| budget.for_client().expect("a slot")).collect();
        budget.resize(KEPT_BACK + 10);
        assert!(budget.for_client().is_none());
        assert!(budget.for_server().is_some(), "9 of 10 are used");
        slots.truncate(4);
        assert!(budget.for_client().is_some());
        let line = budget.for_server();
        let holds = Holds { all: KEPT_BACK + 5, busy_servers: 1, clients: 4, idle_servers: 0 };
        assert!(line.is_some() && budget.holds(0) == holds, "{:?}", budget.holds(0));
    }

    #[test]
    fn a_kept_connection_makes_room_unless_half_of_all_are_too_new_to_tell() {
        let budget = Budget::new(KEPT_BACK + 20, 0, 0.6);
        budget.idle(Rc::default(), true);
        (0..5).for_each(|_| budget.fresh());
        assert!(budget.close_an_idle_client(), "a few new ones must not keep it");
        budget.idle(Rc::default(), true);
        budget.fresh();
        assert!(!budget.close_an_idle_client(), "a flood must not push it out");
        budget.idle(Rc::default(), false);
        assert!(budget.close_an_idle_client(), "one that stayed silent goes first");
        budget.matured();
        assert!(budget.close_an_idle_client());
    }
}
