//! The planned stop: all that was taken is answered, and leases are handed back, before the process may be killed.

use std::rc::Rc;
use std::time::Duration;

use mountbend::interface::Event;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

use crate::net::budget::Budget;
use crate::net::clients::Clients;
use crate::net::node::Node;
use crate::net::ops::Ops;
use crate::net::ports::{Core, QuotaStore};
use crate::operator::Stop;

/// Danger: SIGKILL may come as soon as the longest deadline (3 s at most) and 0.7 s after SIGTERM, and what it
/// finds unanswered is lost. What is open this long after SIGTERM has failed; a node stays no longer than the
/// rest, which is for answers still being written.
const PATIENCE_OVER: Duration = Duration::from_millis(300);
const LAST_GRACE: Duration = Duration::from_millis(200);
/// How long clients of a socket that is handed on may use their idle connections after SIGTERM. Danger: closed at once,
/// each close may cross a request; kept for longer, what comes last has too little time for its answer.
const LAST_REQUESTS: Duration = Duration::from_millis(1_000);
/// How often a node that stops looks whether all is answered.
const LAST_LOOKS: Duration = Duration::from_millis(10);

/// What takes part in a stop.
pub struct Parts {
    /// The node.
    pub node: Rc<Node>,
    /// Its clients' side.
    pub clients: Rc<Clients>,
    /// The task that accepts their connections.
    pub accepting: JoinHandle<()>,
    /// The operators' address.
    pub ops: Rc<Ops>,
    /// What is open.
    pub budget: Rc<Budget>,
    /// Where leases go back to.
    pub store: Rc<dyn QuotaStore>,
}

/// Stops; what is open after `patience` has failed. A socket that is handed on is met by the next process.
pub async fn stop(parts: Parts, planned: &Stop, patience: Duration, handed_on: bool) {
    let Parts { node, clients, accepting, ops, budget, store } = parts;
    let last = Instant::now() + patience.min(planned.patience.0) + PATIENCE_OVER;
    node.stop();
    ops.ready(false);
    if handed_on {
        // Danger: what is accepted from here on would be turned back soon, and the next process serves it.
        accepting.abort();
        sleep(LAST_REQUESTS).await;
        clients.close_idle();
    } else {
        sleep(planned.idle_after.0).await;
        clients.close_idle();
        sleep(planned.deaf_after.0).await;
        accepting.abort();
    }
    node.event(Event::Stopping);
    clients.close_idle();
    let over = || !node.waited_for() && budget.clients() == 0 && store.settled();
    while !over() && Instant::now() < last {
        sleep(LAST_LOOKS).await;
    }
    node.fail_all();
    while !over() && Instant::now() < last + LAST_GRACE {
        sleep(LAST_LOOKS).await;
    }
}
