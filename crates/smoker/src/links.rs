//! The connections between the processes: what is said on them, and how they come and go.

use std::rc::Rc;

use pinerelay_admission::duty::DutyMessage;
use pinerelay_admission::lease::LeaseGrant;
use pinerelay_config_state::operator_call;
use pinerelay_consensus::{Membership, Message as ConsensusMessage};
use pinerelay_peer_link::message::{
    CallReply, ForwardedCall, PeerMessage, Role, TenantGrant, LEASE_DURATION,
};

use crate::net::Size;
use crate::net::{Connection, CONNECT};
use crate::plan::{Broken, Micros, SECOND};
use crate::process::{Body, Input, Peer, Proc};
use crate::world::{Coming, Event, World, AGAIN, ALL};

/// The longest pause between attempts to connect, as `peer_link::link` makes them.
const AGAIN_MOST: Micros = 800_000;

impl World {
    /// A process says something on connections.
    #[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
    pub fn say(&mut self, proc: Proc, peers: &[Peer], mut speech: PeerMessage) {
        if self.recovery.is_none()
            && !self.plan.faults
            && self.now > 6 * SECOND
            && self.now < self.plan.calm_from()
        {
            let change = self.changes();
            self.figures.said(&speech, peers.len(), change);
        }
        self.see_said(proc, peers.len(), &mut speech);
        let broken = self.plan.broken;
        let back = match &mut speech {
            PeerMessage::Digests(_) if broken == Some(Broken::Digests) => return,
            PeerMessage::Consensus(ConsensusMessage::Heartbeat { incarnation, .. })
                if broken == Some(Broken::Copies) =>
            {
                *incarnation = incarnation.filter(|n| *n == 0);
                None
            }
            PeerMessage::Replicate { number, .. } if broken == Some(Broken::Hold) => {
                Some(PeerMessage::Replicated(*number))
            }
            PeerMessage::Duty(DutyMessage::Claim { claim, .. }) if broken == Some(Broken::Fence) => {
                Some(PeerMessage::Duty(DutyMessage::Promise { claim: *claim, slices: ALL }))
            }
            PeerMessage::StoreStatus { membership, .. } if broken == Some(Broken::Quorum) => {
                // The registries' duties are not meant.
                *membership = Membership::first((0..self.plan.cores.min(3)).map(|core| self.places.ip(core)));
                None
            }
            PeerMessage::Consensus(ConsensusMessage::Promise { pending, .. })
                if broken == Some(Broken::Pending) =>
            {
                *pending = None;
                None
            }
            PeerMessage::CallReply(_, answered)
                if broken == Some(Broken::Judge) && answered.status == 409 =>
            {
                *answered = CallReply { status: 200, body: "{}".into() };
                None
            }
            PeerMessage::CallReply(_, answered)
                if broken == Some(Broken::Refuse) && answered.status == 503 =>
            {
                answered.status = 409;
                None
            }
            PeerMessage::CallReply(number, _) if broken == Some(Broken::Answers) && self.lot.chance(10) => {
                *number += 1;
                None
            }
            PeerMessage::RegistryStatus(standing) if broken == Some(Broken::Whole) => {
                (standing.is_complete, standing.has_majority, standing.is_current) = (true, true, true);
                None
            }
            PeerMessage::Current { lease_left: left, .. } if broken == Some(Broken::Leases) => {
                *left = LEASE_DURATION;
                None
            }
            PeerMessage::LeaseGrants(grants) if broken == Some(Broken::Units) => {
                for TenantGrant { grant, .. } in grants {
                    if let LeaseGrant::Units { units, .. } = grant {
                        *units *= 2.0;
                    }
                }
                None
            }
            _ => None,
        };
        let unsaid = match &speech {
            PeerMessage::Update(_) => broken == Some(Broken::News),
            PeerMessage::Sync { items, .. } => !items.is_empty() && broken == Some(Broken::News),
            PeerMessage::Current { .. } => broken == Some(Broken::Confirmations),
            _ => false,
        };
        let said = Rc::new(speech);
        let bytes = Size::new(self.is_free(&said));
        for peer in peers {
            let Some(&(connection, end)) = self.procs[proc].lines.get(peer) else { continue };
            if let Some(back) = &back {
                self.later(0, Event::Came(connection, end, Coming::Said(Rc::new(back.clone()))));
                continue;
            }
            let other = self.net.connections[connection].ends[1 - end].0;
            if unsaid && self.places.role(other) == Role::Proxy {
                continue;
            }
            let way = [self.places.machine(proc), self.places.machine(other)];
            let at = self.net.send(self.now, &mut self.lot, (connection, end), way, || bytes.of(&said));
            self.at(at, Event::Came(connection, 1 - end, Coming::Said(said.clone())));
        }
    }

    /// A process closes a connection.
    pub fn close(&mut self, proc: Proc, peer: Peer) {
        let Some((connection, end)) = self.procs[proc].lines.remove(&peer) else { return };
        let line = &mut self.net.connections[connection];
        line.closed[end] = true;
        let other = line.ends[1 - end].0;
        let way = [self.places.machine(proc), self.places.machine(other)];
        let at = self.net.send(self.now, &mut self.lot, (connection, end), way, || 0);
        self.at(at, Event::Came(connection, 1 - end, Coming::Gone));
        if end == 0 {
            let life = self.procs[proc].life;
            self.later(AGAIN, Event::Failed(proc, life, other));
        }
        self.give(proc, Input::Down(peer));
    }

    /// A connection is reset: what is on its way is lost, and both ends know at once.
    pub fn reset(&mut self, connection: usize) {
        let line = &self.net.connections[connection];
        let (ends, closed) = (line.ends, line.closed);
        self.net.connections[connection].closed = [true; 2];
        for (end, (proc, life, peer)) in ends.into_iter().enumerate() {
            if closed[end] || !self.runs(proc, life) {
                continue;
            }
            self.procs[proc].lines.remove(&peer);
            if end == 0 {
                self.later(AGAIN, Event::Failed(proc, life, ends[1].0));
            }
            self.give(proc, Input::Down(peer));
        }
    }

    /// It tries to reach another.
    pub fn dial(&mut self, proc: Proc, life: u64, to: Proc) {
        let way = [self.places.machine(proc), self.places.machine(to)];
        let there = &self.procs[to];
        let cut = self.now < self.net.blocked(way[0], way[1]).max(self.net.blocked(way[1], way[0]));
        let cut = cut || self.net.machines[way[1]].off;
        let dumb = there.frozen > self.now || self.procs[proc].frozen > self.now;
        if cut || dumb || there.body.is_none() {
            let Some(dial) = self.procs[proc].dials.get_mut(&to) else { return };
            let wait = dial.pause + if cut || dumb { CONNECT } else { 1_000 };
            dial.pause = (dial.pause * 2).min(AGAIN_MOST);
            return self.later(wait, Event::Failed(proc, life, to));
        }
        if let Some(dial) = self.procs[proc].dials.get_mut(&to) {
            dial.pause = AGAIN;
        }
        let mut end = |proc: Proc| {
            let process = &mut self.procs[proc];
            process.last_peer += 1;
            (proc, process.life, process.last_peer)
        };
        let ends = [end(proc), end(to)];
        let connection = self.net.connections.len();
        for (n, (proc, _, peer)) in ends.iter().enumerate() {
            self.procs[*proc].lines.insert(*peer, (connection, n));
        }
        let (heard, next) = ([self.now; 2], [self.now; 2]);
        self.net.connections.push(Connection { ends, closed: [false; 2], heard, next, held: [0; 2] });
        for n in 0..2 {
            let at = self.net.send(self.now, &mut self.lot, (connection, n), [way[n], way[1 - n]], || 0);
            self.at(at, Event::Came(connection, 1 - n, Coming::Up));
        }
    }

    /// Answers a read from a store's own copy, where that is put in; tells whether it did.
    fn reads_alone(&mut self, proc: Proc, peer: Peer, speech: &PeerMessage) -> bool {
        let Some(Body::Store(desk)) = &self.procs[proc].body else { return false };
        let PeerMessage::ForwardCall(number, ForwardedCall::Read) = speech else { return false };
        if self.plan.broken != Some(Broken::OwnRead) {
            return false;
        }
        let answered =
            CallReply { status: 200, body: operator_call::render_configuration(desk.store().items()) };
        self.say(proc, &[peer], PeerMessage::CallReply(*number, answered));
        true
    }

    /// Has a registry confirm that it is current whatever it knows, where that is put in; tells whether it did.
    fn confirms_always(&mut self, proc: Proc, peer: Peer, speech: &PeerMessage) -> bool {
        let Some(Body::Scout(registry)) = &self.procs[proc].body else { return false };
        let PeerMessage::ConfirmCurrent(asked) = speech else { return false };
        if self.plan.broken != Some(Broken::Whole) {
            return false;
        }
        let digest = registry.realms()[0].digest();
        self.say(
            proc,
            &[peer],
            PeerMessage::Current { asked_at: *asked, epoch: 0, digest, lease_left: LEASE_DURATION },
        );
        true
    }

    /// Something comes to an end of a connection.
    pub fn came(&mut self, connection: usize, end: usize, coming: Coming) {
        let line = &self.net.connections[connection];
        let (proc, life, peer) = line.ends[end];
        if line.closed[end] || !self.runs(proc, life) {
            return;
        }
        let (other, closed) = (line.ends[1 - end].0, line.closed[1 - end]);
        let way = [self.places.machine(other), self.places.machine(proc)];
        if let Some(until) = self.net.held(self.now, connection, 1 - end, way) {
            // What a process that has ended had sent is sent again by nobody.
            if !closed {
                self.at(until, Event::Came(connection, end, coming));
            }
            return;
        }
        if self.procs[proc].frozen > self.now {
            let until = self.procs[proc].frozen;
            self.net.connections[connection].heard[end] = until;
            return self.at(until, Event::Came(connection, end, coming));
        }
        self.net.connections[connection].heard[end] = self.now;
        match coming {
            Coming::Up => self.give(proc, Input::Up(peer)),
            Coming::Said(speech) => {
                if !self.reads_alone(proc, peer, &speech) && !self.confirms_always(proc, peer, &speech) {
                    self.give(proc, Input::Said(peer, Rc::unwrap_or_clone(speech)));
                }
            }
            Coming::Gone => {
                self.net.connections[connection].closed[end] = true;
                self.procs[proc].lines.remove(&peer);
                if end == 0 {
                    self.later(AGAIN, Event::Failed(proc, life, other));
                }
                self.give(proc, Input::Down(peer));
            }
        }
    }
}
