//! Machines and the ways between them: what is cut, delayed and lost, and the connections that go over them.

use std::cell::Cell;
use std::collections::BTreeMap;

use pinerelay_peer_link::codec;
use pinerelay_peer_link::message::PeerMessage;

use crate::plan::{Lot, Micros, SECOND};
use crate::process::{Peer, Proc};

/// A connection on which nothing was heard for so long is closed, as `peer_link::link` does.
pub const SILENCE: Micros = 2_000_000;
/// An attempt to connect that nobody answers is given up after this.
pub const CONNECT: Micros = 500_000;
/// What was lost is sent again after this at the least.
const RESENT: Micros = 200_000;

/// A machine's troubles; each lasts until the moment that it holds.
#[derive(Debug, Clone, Default)]
pub struct Machine {
    /// Nothing of it reaches other machines.
    pub mute: Micros,
    /// Nothing from other machines reaches it.
    pub deaf: Micros,
    /// And callers from outside do not reach it either.
    pub outside: bool,
    /// One in so many messages from and to it is sent again; 0: none.
    pub lossy: (u64, Micros),
    /// So many bytes a second go over its link, each way.
    pub slow: (u64, Micros),
    /// Until when its link is taken, out and in, while it is slow.
    taken: [Micros; 2],
    /// By so many seconds its time of day is off.
    pub skew: i64,
    /// Without power.
    pub off: bool,
    /// From when until when it is cut off both ways from all others of the core.
    pub apart: (Micros, Micros),
    /// When its last trouble ends or ended.
    pub trouble: Micros,
}

/// A connection between two processes. End 0 is the one that made it.
#[derive(Debug)]
pub struct Connection {
    /// Its processes, their lives, and how they call it.
    pub ends: [(Proc, u64, Peer); 2],
    /// Which ends are closed.
    pub closed: [bool; 2],
    /// When each end last heard something.
    pub heard: [Micros; 2],
    /// What each end says arrives no sooner: in order.
    pub next: [Micros; 2],
    /// What each end says is held up by a cut until then.
    pub held: [Micros; 2],
}

/// The bytes of a message, counted once for all connections that it goes over.
pub struct Size(Cell<Option<usize>>);

impl Size {
    /// Of a message that takes no bytes, or whose bytes are counted when they are asked for.
    pub fn new(is_free: bool) -> Size {
        Size(Cell::new(is_free.then_some(0)))
    }

    /// Counts the message.
    pub fn of(&self, message: &PeerMessage) -> usize {
        let bytes = self.0.get().unwrap_or_else(|| codec::encode(message).len());
        self.0.set(Some(bytes));
        bytes
    }
}

/// Machines and connections.
#[derive(Debug)]
pub struct Net {
    /// The machines, those of the core first.
    pub machines: Vec<Machine>,
    /// Until when nothing gets from one machine to another.
    pub cuts: BTreeMap<(usize, usize), Micros>,
    /// All connections that ever were.
    pub connections: Vec<Connection>,
}

impl Net {
    /// Machines without trouble.
    pub fn new(machines: usize) -> Net {
        Net { machines: vec![Machine::default(); machines], cuts: BTreeMap::new(), connections: Vec::new() }
    }

    /// What waits to go over a machine's link is lost.
    pub fn drop_queued(&mut self, machine: usize) {
        self.machines[machine].taken = [0; 2];
    }

    /// Until when nothing gets from one machine to another.
    pub fn blocked(&self, from: usize, to: usize) -> Micros {
        if from == to {
            return 0;
        }
        let cut = self.cuts.get(&(from, to)).copied().unwrap_or(0);
        self.machines[from].mute.max(self.machines[to].deaf).max(cut)
    }

    /// Whether a caller from outside reaches a machine, or is reached by it.
    pub fn outside(&self, now: Micros, machine: usize, answer: bool) -> bool {
        let m = &self.machines[machine];
        let until = if answer { m.mute } else { m.deaf };
        !(m.off || m.outside && now < until)
    }

    /// How long a message takes.
    pub fn way(&self, now: Micros, lot: &mut Lot, from: usize, to: usize) -> Micros {
        if from == to {
            return 50 + lot.upto(100);
        }
        let resent = [from, to].into_iter().any(|m| {
            let (one_in, until) = self.machines[m].lossy;
            now < until && lot.chance(one_in)
        });
        1_000 + lot.upto(1_500) + if resent { RESENT + lot.upto(400_000) } else { 0 }
    }

    /// When so many bytes that go out now have passed the links of both machines.
    fn passed(&mut self, now: Micros, way: [usize; 2], bytes: impl Fn() -> usize) -> Micros {
        let mut at = now;
        for (n, machine) in way.into_iter().enumerate().filter(|_| way[0] != way[1]) {
            let machine = &mut self.machines[machine];
            if now < machine.slow.1 {
                at = at.max(machine.taken[n]) + bytes() as u64 * SECOND / machine.slow.0;
                machine.taken[n] = at;
            }
        }
        at
    }

    /// When something of so many bytes that one end says now arrives.
    pub fn send(
        &mut self,
        now: Micros,
        lot: &mut Lot,
        (connection, end): (usize, usize),
        way: [usize; 2],
        bytes: impl Fn() -> usize,
    ) -> Micros {
        let after = self.passed(now, way, bytes) + self.way(now, lot, way[0], way[1]);
        let line = &mut self.connections[connection];
        line.next[end] = line.next[end].max(after).max(line.held[end]);
        line.next[end]
    }

    /// Whether what one end said and arrives now is held up, and until when.
    pub fn held(&mut self, now: Micros, connection: usize, from: usize, way: [usize; 2]) -> Option<Micros> {
        let blocked = self.blocked(way[0], way[1]);
        let line = &mut self.connections[connection];
        if now < blocked {
            line.held[from] = line.held[from].max(blocked + RESENT);
        }
        (now < line.held[from]).then_some(line.held[from])
    }
}
