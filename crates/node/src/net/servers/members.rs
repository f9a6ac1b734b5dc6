//! What member sources tell, made into what the decisions and the upstream are told.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use mountbend::interface::{Event, ListKind, Member, MemberState, ServerId};
use pinerelay_protocol::list::{number, Endpoint};

use crate::net::operators::figures::MemberFigures;
use crate::net::ports::{Core, Register};
use crate::net::succession::shared::Shared;

/// An app server as its source tells it.
struct Told {
    name: String,
    member: Member,
    since_ms: u64,
    /// What the decisions were told last: its state, and when it started.
    passed_on: (MemberState, u64),
}

/// The app servers by name and number, as the sources name them.
pub struct Members {
    zones: Vec<String>,
    kinds: Vec<String>,
    told: RefCell<BTreeMap<ServerId, Told>>,
    shared: Rc<Shared>,
    upstream: Rc<dyn Register>,
    core: Weak<dyn Core>,
}

impl Members {
    /// No app servers yet. Zones and kinds are told by name and numbered as in the settings.
    pub fn new(
        zones: Vec<String>,
        kinds: Vec<String>,
        shared: Rc<Shared>,
        upstream: Rc<dyn Register>,
        core: Weak<dyn Core>,
    ) -> Rc<Self> {
        Rc::new(Members { zones, kinds, told: RefCell::default(), shared, upstream, core })
    }

    /// Takes in entries of a list, or that a source has lost its way.
    pub fn take(&self, kind: ListKind, entries: Vec<serde_json::Value>) {
        let entries: Vec<Member> = entries.into_iter().filter_map(|value| self.entry(value)).collect();
        if kind != ListKind::Changes && kind != ListKind::Lost {
            self.told.borrow_mut().retain(|id, _| entries.iter().any(|m| m.server == *id));
            self.upstream.keep_only(&entries.iter().map(|m| m.server).collect::<Vec<_>>());
            self.shared.listed(self.told.borrow().values().map(|told| told.name.clone()).collect());
        }
        self.pass_on(kind, entries);
    }

    /// Whether an app server of this name is on the list.
    pub fn known(&self, name: &str) -> bool {
        self.told.borrow().get(&number(name)).is_some_and(|t| t.name == name)
    }

    /// Who is held out by hand may have changed: tells the decisions of those that it concerns.
    pub fn reconsider(&self) {
        let mut entries = Vec::new();
        for (&id, told) in self.told.borrow_mut().iter_mut() {
            let (state, since_ms) = self.effective(told);
            if (state, since_ms) != told.passed_on {
                told.passed_on = (state, since_ms);
                self.upstream.set(id, None, since_ms, state == MemberState::InService);
                let started = since_ms.saturating_mul(1000);
                entries.push(Member { state, started, ..told.member.clone() });
            }
        }
        if !entries.is_empty() {
            self.pass_on(ListKind::Changes, entries);
        }
    }

    /// How many there are, and how many of them get nothing new.
    pub fn figures(&self) -> MemberFigures {
        let told = self.told.borrow();
        let avoids = |id| self.core.upgrade().is_some_and(|core| core.avoids(id));
        let avoided =
            told.iter().filter(|(&id, t)| t.passed_on.0 != MemberState::InService || avoids(id)).count();
        MemberFigures { listed: told.len(), avoided }
    }

    fn pass_on(&self, kind: ListKind, entries: Vec<Member>) {
        if let Some(core) = self.core.upgrade() {
            core.event(Event::Members { kind, entries });
        }
    }

    /// State and start as they hold here. What operators hold out is as one that drains, whatever its source says.
    fn effective(&self, told: &Told) -> (MemberState, u64) {
        let state = match told.member.state {
            MemberState::InService if self.shared.holds(&told.name) => MemberState::Draining,
            state => state,
        };
        (state, self.shared.started(&told.name, told.since_ms))
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
        let mut all = self.told.borrow_mut();
        if let Some(other) = all.get(&server).filter(|t| t.name != e.name) {
            // Danger: two app servers under one number would share their state. The later one is left out.
            eprintln!("pinerelay: discovery: {} and {} have the same number", e.name, other.name);
            return None;
        }
        // Danger: what is not known to want work must get none.
        let state = e.state().unwrap_or_else(|| {
            eprintln!("pinerelay: discovery: {} is {:?}, taken as draining", e.name, e.status);
            MemberState::Draining
        });
        let place =
            |list: &[String], name: &str| list.iter().position(|n| n == name).unwrap_or(list.len()) as u32;
        let member = Member {
            server,
            zone: place(&self.zones, &e.zone),
            kind: place(&self.kinds, &e.kind),
            cell: e.group,
            state,
            weight: e.weight.unwrap_or(1.0),
            started: e.since_ms.saturating_mul(1000),
        };
        let mut told = Told { name: e.name, member, since_ms: e.since_ms, passed_on: (state, e.since_ms) };
        let (state, since_ms) = self.effective(&told);
        told.passed_on = (state, since_ms);
        let entry = Member { state, started: since_ms.saturating_mul(1000), ..told.member.clone() };
        if state == MemberState::Removed {
            all.remove(&server);
            self.upstream.remove(server);
        } else if self.upstream.set(server, e.address.parse().ok(), since_ms, state == MemberState::InService)
        {
            all.insert(server, told);
        } else {
            eprintln!("pinerelay: discovery: {} has no usable address", told.name);
            return None;
        }
        Some(entry)
    }
}
