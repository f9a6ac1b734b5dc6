//! The places of one process, each a connection: how many clients may hold, and what a process gives back beside another.
//!
//! While one process follows another, clients move from the one to the other within one answer each. What the old one still
//! holds then, the new one lacks: it would turn out one client for each that comes, who comes again.

use crate::claims::{slack, wanted};
use crate::process::Others;
use crate::record::Standing;

/// The least part of a process's places that is left for app servers, as one in so many.
const FOR_SERVERS: usize = 5;
/// A process that leaves may get one request more on each connection. So many of them keep one idle connection to app
/// servers, and there are always a few.
const CLIENTS_TO_A_LINE: usize = 4;
const LINES_LEAST: usize = 4;

/// What a process holds, in descriptors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holds {
    /// All, with those that it keeps back for itself.
    pub all: usize,
    /// Connections to app servers that requests are open on.
    pub busy_servers: usize,
    /// Clients' connections.
    pub clients: usize,
    /// Connections to app servers that stand idle.
    pub idle_servers: usize,
}

/// Who stands beside a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Side {
    /// Where it stands itself.
    pub standing: Standing,
    /// Where the others do.
    pub others: Others,
    /// That has been so for a while.
    pub settled: bool,
}

/// What a process is to close.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct GiveBack {
    /// Idle connections to app servers.
    pub servers: usize,
    /// Clients' connections that nothing is owed on.
    pub clients: usize,
}

/// How many of its `slots` clients may hold. Alone it is their `share` of all; beside another it is the share of what the
/// node has as a `whole`, since the clients are the whole node's, and app servers keep a part of what is left.
pub fn for_clients(whole: usize, slots: usize, share: f64) -> usize {
    let alone = (whole as f64 * share) as usize;
    let most = ((slots as f64 * share) as usize).max(slots - slots / FOR_SERVERS);
    // A process that holds next to nothing lets in two all the same.
    alone.min(most).max(2)
}

/// What a process is to close that may hold `claim` of `limit`. What is idle goes back where another needs it: to app
/// servers first, for nobody misses those. A client that is told to close comes again, and costs whoever takes it a
/// connection: these go only where the process beside it can't begin without, where it holds more than it may, and where
/// both have gone on serving for a while, with nobody told to leave (`settled`): then they share alike.
pub fn gives_back(limit: usize, claim: usize, holds: Holds, side: Side) -> GiveBack {
    let Side { standing, others, settled } = side;
    let Holds { all, busy_servers, clients, idle_servers } = holds;
    if standing == Standing::Leaves {
        let kept = (clients / CLIENTS_TO_A_LINE).max(LINES_LEAST);
        // Without a successor what it holds is in nobody's way.
        let servers = if others.serving > 0 { idle_servers.saturating_sub(kept) } else { 0 };
        return GiveBack { servers, clients: 0 };
    }
    let need = match settled && others.serving > 0 {
        true => limit - limit / (others.serving + 1),
        false => others.coming * (wanted(limit) + slack(limit)),
    };
    let room = limit.saturating_sub(need).min(claim);
    let servers = all.saturating_sub(room).min(idle_servers);
    // What is busy is idle in a moment, and goes back then.
    let lasting = all.saturating_sub(busy_servers + idle_servers);
    GiveBack { servers, clients: lasting.saturating_sub(room).min(clients) }
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
    fn alone_clients_have_their_share_and_beside_another_nearly_as_many() {
        assert_eq!(for_clients(299, 299, 0.6), 179);
        assert_eq!(for_clients(299, 131, 0.6), 105, "78 by its own part alone");
        assert_eq!(for_clients(299, 131, 0.9), 117, "a larger share is the operator's own will");
        assert_eq!(for_clients(299, 131, 0.1), 29, "and a smaller one holds for all together");
        assert_eq!(for_clients(299, 0, 0.6), 2);
    }

    #[test]
    fn idle_lines_go_first_and_clients_only_where_nobody_can_begin_without() {
        let busy = Holds { all: 264, busy_servers: 7, clients: 120, idle_servers: 100 };
        let back = |holds, others| gives_back(LIMIT, 264, holds, serves(others));
        assert_eq!(back(busy, ALONE), GiveBack::default());
        assert_eq!(back(busy, COMING), GiveBack { servers: 33, clients: 0 });
        let worked = Holds { busy_servers: 107, idle_servers: 0, ..busy };
        assert_eq!(back(worked, COMING), GiveBack::default(), "they are idle in a moment");
        let crowd = Holds { all: 264, busy_servers: 10, clients: 217, idle_servers: 0 };
        assert_eq!(back(crowd, COMING), GiveBack { servers: 0, clients: 23 });
        assert_eq!(back(crowd, BESIDE), GiveBack::default());
        let settled = Side { settled: true, ..serves(BESIDE) };
        assert_eq!(gives_back(LIMIT, 264, busy, settled), GiveBack { servers: 96, clients: 0 });
        assert_eq!(gives_back(LIMIT, 264, crowd, settled), GiveBack { servers: 0, clients: 86 });
        let over = gives_back(LIMIT, 200, busy, serves(ALONE));
        assert_eq!(over, GiveBack { servers: 64, clients: 0 }, "more than it may hold");
    }

    #[test]
    fn one_that_leaves_keeps_lines_for_those_who_may_still_ask() {
        let holds = |clients| Holds { all: 264, busy_servers: 0, clients, idle_servers: 100 };
        let back = |clients, others| gives_back(LIMIT, 264, holds(clients), leaves(others));
        assert_eq!(back(120, BESIDE), GiveBack { servers: 70, clients: 0 });
        assert_eq!(back(0, BESIDE), GiveBack { servers: 96, clients: 0 });
        assert_eq!(back(120, ALONE), GiveBack::default());
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(1_000))]
        /// Clients that move from a process that leaves to the next one find a place there, whatever had been idle where,
        /// as long as both have looked since.
        #[test]
        fn who_moves_finds_a_place(clients in 1usize..150, moved in 0usize..150, in_work in 0usize..40, idle in 0usize..120) {
            let moved = moved.min(clients);
            let stay = clients - moved;
            let in_work = in_work.min(stay);
            let holds = Holds {
                all: KEPT + stay + in_work + idle, busy_servers: in_work, clients: stay, idle_servers: idle,
            };
            prop_assume!(holds.all <= LIMIT);
            let back = gives_back(LIMIT, holds.all, holds, leaves(BESIDE));
            let left = claim(LIMIT, holds.all - back.servers, true, &[Claim { most: 0, leaves: false }]);
            let next = claim(LIMIT, 0, false, &[Claim { most: left, leaves: true }]);
            let places = for_clients(LIMIT - KEPT, next.saturating_sub(KEPT), 0.6);
            prop_assert!(places >= moved.min(120), "{} places for {}", places, moved);
        }

        /// Whatever a process holds, one that comes gets what it needs to begin once what is idle, and what was busy, has
        /// been given back.
        #[test]
        fn who_comes_can_begin(clients in 0usize..290, idle in 0usize..180, in_work in 0usize..20) {
            let in_work = in_work.min(clients);
            let mut holds = Holds { all: KEPT + clients + in_work + idle, busy_servers: in_work, clients, idle_servers: idle };
            prop_assume!(holds.all <= LIMIT);
            for idle in [idle, in_work] {
                holds.idle_servers = idle;
                holds.busy_servers = in_work - idle.min(in_work);
                let back = gives_back(LIMIT, LIMIT, holds, serves(COMING));
                holds.all -= back.servers + back.clients;
                holds.clients -= back.clients;
            }
            let left = holds.all;
            let mine = claim(LIMIT, left, false, &[Claim { most: 0, leaves: false }]);
            prop_assert!(enough(LIMIT - mine, LIMIT), "{} of {}", mine, LIMIT);
        }
    }
}
