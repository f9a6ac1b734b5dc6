//! How one process divides its connections between clients and app servers, and which it closes for the benefit of another process.
//!
//! During a handover, each client moves to the new process after one more answer. Descriptors that the old process keeps are missing
//! at the new one, which would have to close one client's connection for each arriving client, and those clients would reconnect.

use crate::claims::{slack, wanted};
use crate::process::Others;
use crate::record::Standing;

/// At least one in this many of a process's connections is reserved for app servers.
const SERVER_SHARE_DIVISOR: usize = 5;
/// A leaving process may get one more request on each client connection. It keeps one idle connection to app servers per this
/// many clients, and always the minimum below.
const CLIENTS_PER_IDLE_SERVER: usize = 4;
const MIN_IDLE_SERVERS: usize = 4;

/// The descriptors in use by a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holds {
    /// All of them, with those that it reserves for its own purposes.
    pub all: usize,
    /// Connections to app servers with an open request.
    pub busy_servers: usize,
    /// Clients' connections.
    pub clients: usize,
    /// Idle connections to app servers.
    pub idle_servers: usize,
}

/// The state of a process and of those beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Side {
    /// Its own standing.
    pub standing: Standing,
    /// The other processes, counted by standing.
    pub others: Others,
    /// Whether `standing` and `others` have not changed for a while.
    pub settled: bool,
}

/// The connections that a process is to close.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GiveBack {
    /// Idle connections to app servers.
    pub servers: usize,
    /// Client connections that can be closed without losing a request.
    pub clients: usize,
}

/// How many of a process's `slots` connections clients may use: the `share` of the connections of the `whole` node, since all clients
/// of the node may move to this process, but so that a part of `slots` is left for app servers.
pub fn for_clients(whole: usize, slots: usize, share: f64) -> usize {
    let of_node = (whole as f64 * share) as usize;
    let max_clients = ((slots as f64 * share) as usize).max(slots - slots / SERVER_SHARE_DIVISOR);
    // A process with hardly any descriptors accepts two clients nevertheless.
    of_node.min(max_clients).max(2)
}

/// The connections that a process with a claim of `claim` out of `limit` descriptors is to close for the others. Idle connections to
/// app servers are closed first, since no client notices. A client whose connection is closed reconnects, and needs a connection
/// elsewhere, so client connections are closed only if another process can't start to serve otherwise, if this process exceeds its
/// claim, or if both processes have been serving for a while without a request to stop (`settled`): then they share equally.
pub fn connections_to_close(limit: usize, claim: usize, holds: Holds, side: Side) -> GiveBack {
    let Side { standing, others, settled } = side;
    let Holds { all, busy_servers, clients, idle_servers } = holds;
    if standing == Standing::Leaves {
        let kept = (clients / CLIENTS_PER_IDLE_SERVER).max(MIN_IDLE_SERVERS);
        // Without a successor nobody needs its descriptors.
        let servers = if others.serving > 0 { idle_servers.saturating_sub(kept) } else { 0 };
        return GiveBack { servers, clients: 0 };
    }
    let needed_by_others = match settled && others.serving > 0 {
        true => limit - limit / (others.serving + 1),
        false => others.coming * (wanted(limit) + slack(limit)),
    };
    let max_open_descriptors = limit.saturating_sub(needed_by_others).min(claim);
    let servers = all.saturating_sub(max_open_descriptors).min(idle_servers);
    // Busy connections to app servers will be idle in a moment and are closed then.
    let non_server_descriptors = all.saturating_sub(busy_servers + idle_servers);
    GiveBack { servers, clients: non_server_descriptors.saturating_sub(max_open_descriptors).min(clients) }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::claims::{claim, enough, Claim};
    use proptest::prelude::*;

    const ALONE: Others = Others { coming: 0, serving: 0, leaving: 0 };
    const COMING: Others = Others { coming: 1, serving: 0, leaving: 0 };
    const BESIDE: Others = Others { coming: 0, serving: 1, leaving: 0 };
    fn serves(others: Others) -> Side {
        Side { standing: Standing::Serves, others, settled: false }
    }

    fn leaves(others: Others) -> Side {
        Side { standing: Standing::Leaves, ..serves(others) }
    }

    const LIMIT: usize = 336;
    const KEPT: usize = 37;

    #[test]
    fn clients_get_their_share_alone_and_nearly_as_much_beside_another_process() {
        assert_eq!(for_clients(299, 299, 0.6), 179);
        assert_eq!(for_clients(299, 131, 0.6), 105, "its own share alone would be 78");
        assert_eq!(for_clients(299, 131, 0.9), 117, "a larger share set by the operator applies");
        assert_eq!(for_clients(299, 131, 0.1), 29, "a smaller share applies to the whole node");
        assert_eq!(for_clients(299, 0, 0.6), 2);
    }

    #[test]
    fn idle_connections_are_closed_first_and_clients_only_if_necessary() {
        let busy = Holds { all: 264, busy_servers: 7, clients: 120, idle_servers: 100 };
        let back = |holds, others| connections_to_close(LIMIT, 264, holds, serves(others));
        assert_eq!(back(busy, ALONE), GiveBack::default());
        assert_eq!(back(busy, COMING), GiveBack { servers: 33, clients: 0 });
        let working = Holds { busy_servers: 107, idle_servers: 0, ..busy };
        assert_eq!(back(working, COMING), GiveBack::default(), "busy connections will be idle in a moment");
        let crowd = Holds { all: 264, busy_servers: 10, clients: 217, idle_servers: 0 };
        assert_eq!(back(crowd, COMING), GiveBack { servers: 0, clients: 23 });
        assert_eq!(back(crowd, BESIDE), GiveBack::default());
        let settled = Side { settled: true, ..serves(BESIDE) };
        assert_eq!(connections_to_close(LIMIT, 264, busy, settled), GiveBack { servers: 96, clients: 0 });
        assert_eq!(connections_to_close(LIMIT, 264, crowd, settled), GiveBack { servers: 0, clients: 86 });
        let over = connections_to_close(LIMIT, 200, busy, serves(ALONE));
        assert_eq!(over, GiveBack { servers: 64, clients: 0 }, "it exceeds its claim");
    }

    #[test]
    fn a_leaving_process_keeps_idle_connections_for_last_requests() {
        let holds = |clients| Holds { all: 264, busy_servers: 0, clients, idle_servers: 100 };
        let back = |clients, others| connections_to_close(LIMIT, 264, holds(clients), leaves(others));
        assert_eq!(back(120, BESIDE), GiveBack { servers: 70, clients: 0 });
        assert_eq!(back(0, BESIDE), GiveBack { servers: 96, clients: 0 });
        assert_eq!(back(120, ALONE), GiveBack::default());
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(1_000))]
        /// Clients that move from a leaving process to its successor find a place there, whatever connections were idle, once both
        /// processes have updated their claims.
        #[test]
        fn moving_clients_find_a_place(clients in 1usize..150, moved in 0usize..150, in_work in 0usize..40, idle in 0usize..120) {
            let moved = moved.min(clients);
            let stay = clients - moved;
            let in_work = in_work.min(stay);
            let holds = Holds {
                all: KEPT + stay + in_work + idle, busy_servers: in_work, clients: stay, idle_servers: idle,
            };
            prop_assume!(holds.all <= LIMIT);
            let back = connections_to_close(LIMIT, holds.all, holds, leaves(BESIDE));
            let left = claim(LIMIT, holds.all - back.servers, true, &[Claim { max_descriptors: 0, leaves: false }]);
            let next = claim(LIMIT, 0, false, &[Claim { max_descriptors: left, leaves: true }]);
            let places = for_clients(LIMIT - KEPT, next.saturating_sub(KEPT), 0.6);
            prop_assert!(places >= moved.min(120), "{} places for {}", places, moved);
        }

        /// Whatever connections a process has, a starting one gets the descriptors that it needs once idle connections, and those
        /// that were busy, have been closed.
        #[test]
        fn a_starting_process_can_begin_to_serve(clients in 0usize..290, idle in 0usize..180, in_work in 0usize..20) {
            let in_work = in_work.min(clients);
            let mut holds = Holds { all: KEPT + clients + in_work + idle, busy_servers: in_work, clients, idle_servers: idle };
            prop_assume!(holds.all <= LIMIT);
            for idle in [idle, in_work] {
                holds.idle_servers = idle;
                holds.busy_servers = in_work - idle.min(in_work);
                let back = connections_to_close(LIMIT, LIMIT, holds, serves(COMING));
                holds.all -= back.servers + back.clients;
                holds.clients -= back.clients;
            }
            let left = holds.all;
            let mine = claim(LIMIT, left, false, &[Claim { max_descriptors: 0, leaves: false }]);
            prop_assert!(enough(LIMIT - mine, LIMIT), "{} of {}", mine, LIMIT);
        }
    }
}
