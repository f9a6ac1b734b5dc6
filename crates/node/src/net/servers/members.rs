//! Converts the lists of member sources into events for the controller and entries of the server table.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use mountbend::interface::{Event, ListKind, Member, MemberState, ServerId};
use pinerelay_protocol::list::{number, Endpoint};

use crate::net::operators::figures::MemberMetrics;
use crate::net::ports::{Core, ServerTable};
use crate::net::succession::shared::Shared;

/// An app server as its source lists it.
struct ListedServer {
    name: String,
    member: Member,
    since_ms: u64,
    /// The state and start time last sent to the controller.
    last_sent: (MemberState, u64),
}

/// The listed app servers.
pub struct Members {
    zones: Vec<String>,
    kinds: Vec<String>,
    servers: RefCell<BTreeMap<ServerId, ListedServer>>,
    shared: Rc<Shared>,
    upstream: Rc<dyn ServerTable>,
    core: Weak<dyn Core>,
}

impl Members {
    /// Creates an empty list. Sources give zones and kinds by name; their numbers are their positions here.
    pub fn new(
        zones: Vec<String>,
        kinds: Vec<String>,
        shared: Rc<Shared>,
        upstream: Rc<dyn ServerTable>,
        core: Weak<dyn Core>,
    ) -> Rc<Self> {
        Rc::new(Members { zones, kinds, servers: RefCell::default(), shared, upstream, core })
    }

    /// Applies entries of a list, or the notice that the source has lost track.
    pub fn apply(&self, kind: ListKind, entries: Vec<serde_json::Value>) {
        let entries: Vec<Member> = entries.into_iter().filter_map(|value| self.entry(value)).collect();
        if kind != ListKind::Changes && kind != ListKind::Lost {
            self.servers.borrow_mut().retain(|id, _| entries.iter().any(|m| m.server == *id));
            self.upstream.keep_only(&entries.iter().map(|m| m.server).collect::<Vec<_>>());
            self.shared.listed(
                self.servers.borrow().values().map(|listed_server| listed_server.name.clone()).collect(),
            );
        }
        self.send_to_core(kind, entries);
    }

    /// Whether an app server of this name is on the list.
    pub fn known(&self, name: &str) -> bool {
        self.servers.borrow().get(&number(name)).is_some_and(|t| t.name == name)
    }

    /// Applies changes of the operators' exclusions, and sends the affected app servers to the controller.
    pub fn refresh_exclusions(&self) {
        let mut entries = Vec::new();
        for (&id, listed_server) in self.servers.borrow_mut().iter_mut() {
            let (state, since_ms) = self.effective(listed_server);
            if (state, since_ms) != listed_server.last_sent {
                listed_server.last_sent = (state, since_ms);
                self.upstream.set(id, None, since_ms, state == MemberState::InService);
                let started = since_ms.saturating_mul(1000);
                entries.push(Member { state, started, ..listed_server.member.clone() });
            }
        }
        if !entries.is_empty() {
            self.send_to_core(ListKind::Changes, entries);
        }
    }

    /// Counts the listed app servers and those that get no new requests.
    pub fn metrics(&self) -> MemberMetrics {
        let servers = self.servers.borrow();
        let avoids = |id| self.core.upgrade().is_some_and(|core| core.avoids(id));
        let avoided =
            servers.iter().filter(|(&id, t)| t.last_sent.0 != MemberState::InService || avoids(id)).count();
        MemberMetrics { listed: servers.len(), avoided }
    }

    fn send_to_core(&self, kind: ListKind, entries: Vec<Member>) {
        if let Some(core) = self.core.upgrade() {
            core.event(Event::Members { kind, entries });
        }
    }

    /// Effective state and start time. One that is in service but excluded by operators counts as draining.
    fn effective(&self, listed_server: &ListedServer) -> (MemberState, u64) {
        let state = match listed_server.member.state {
            MemberState::InService if self.shared.is_excluded(&listed_server.name) => MemberState::Draining,
            state => state,
        };
        (state, self.shared.started(&listed_server.name, listed_server.since_ms))
    }

    fn entry(&self, value: serde_json::Value) -> Option<Member> {
        let e: Endpoint = match serde_json::from_value(value) {
            Ok(e) => e,
            Err(error) => {
                eprintln!("pinerelay: discovery: malformed entry: {error}");
                return None;
            }
        };
        let server = number(&e.name);
        let mut all = self.servers.borrow_mut();
        if let Some(other) = all.get(&server).filter(|t| t.name != e.name) {
            // Danger: two app servers with one number would share their state. The later one is ignored.
            eprintln!("pinerelay: discovery: {} and {} have the same number", e.name, other.name);
            return None;
        }
        // Danger: an app server in an unknown state must get no requests.
        let state = e.state().unwrap_or_else(|| {
            eprintln!("pinerelay: discovery: {} is {:?}, taken as draining", e.name, e.status);
            MemberState::Draining
        });
        let index_in =
            |list: &[String], name: &str| list.iter().position(|n| n == name).unwrap_or(list.len()) as u32;
        let member = Member {
            server,
            zone: index_in(&self.zones, &e.zone),
            kind: index_in(&self.kinds, &e.kind),
            cell: e.group,
            state,
            weight: e.weight.unwrap_or(1.0),
            started: e.since_ms.saturating_mul(1000),
        };
        let mut listed_server =
            ListedServer { name: e.name, member, since_ms: e.since_ms, last_sent: (state, e.since_ms) };
        let (state, since_ms) = self.effective(&listed_server);
        listed_server.last_sent = (state, since_ms);
        let entry = Member { state, started: since_ms.saturating_mul(1000), ..listed_server.member.clone() };
        if state == MemberState::Removed {
            all.remove(&server);
            self.upstream.remove(server);
        } else if self.upstream.set(server, e.address.parse().ok(), since_ms, state == MemberState::InService)
        {
            all.insert(server, listed_server);
        } else {
            eprintln!("pinerelay: discovery: {} has no usable address", listed_server.name);
            return None;
        }
        Some(entry)
    }
}
