//! What the processes of an upgrade leave to each other, by files in a folder that both have.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::net::budget::Budget;
use crate::net::handover::Handover;
use crate::net::maintenance::Maintenance;
use crate::net::members::Members;
use crate::net::node::Node;
use crate::net::seats::Seats;
use crate::net::servers::Servers;

/// How often what was learned is left for the next process.
const REMEMBER: Duration = Duration::from_secs(1);
/// How often the set of app servers that are held out is looked at: well within the grace of the rule on drains.
const SHARE_LOOKS: Duration = Duration::from_millis(200);

/// A file for the next process. It is named after the address where clients connect, which both processes share and no
/// other node has.
pub fn shared_file(listen: SocketAddr, ending: &str) -> Option<PathBuf> {
    let name = format!("pinerelay-{}.{ending}", listen.to_string().replace(':', "-"));
    std::env::var_os("TMPDIR").map(|folder| PathBuf::from(folder).join(name))
}

/// A seat among the processes that share this address and its limit of descriptors. Without one this process keeps to the
/// limit as if it were alone.
pub fn sit(path: PathBuf, limit: usize) -> Option<Seats> {
    let seats = Seats::take(path, limit);
    seats
        .map_err(|error| eprintln!("pinerelay: descriptors are not shared with a next process: {error}"))
        .ok()
}

/// Holds no more than the seat allows; what is idle beyond that is closed.
pub async fn keep_to(seats: Seats, budget: Rc<Budget>, node: Rc<Node>, servers: Rc<Servers>) {
    let apply = |most| {
        budget.resize(most);
        // A client's connection ends a moment after it is told to.
        let (all, clients) = budget.excess();
        let closed = (0..all).take_while(|_| servers.close_an_idle()).count();
        let _told = (0..clients.max(all - closed)).take_while(|_| budget.close_an_idle_client()).count();
    };
    seats.keep(|| (budget.held(), node.stopping()), apply).await;
}

/// Looks again and again which app servers the other process of an upgrade was told to hold out or let back.
pub async fn share(maintenance: Rc<Maintenance>, members: Rc<Members>) {
    loop {
        sleep(SHARE_LOOKS).await;
        if maintenance.refresh() {
            members.reconsider();
        }
    }
}

/// Leaves what the node has learned for the process that may take over, again and again until it stops: that one starts
/// before this one hears of it.
pub async fn remember(handover: Handover, names: Rc<RefCell<Vec<String>>>, node: Rc<Node>) {
    let mut failed = false;
    while !node.stopping() {
        sleep(REMEMBER).await;
        let left = handover.leave(names.borrow().clone(), node.memory());
        if let (Err(error), false) = (&left, failed) {
            eprintln!("pinerelay: the next process will have to learn anew: {error}");
        }
        failed = left.is_err();
    }
}
