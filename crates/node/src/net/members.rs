//! What member sources tell, made into what the decisions and the upstream are told.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};

use mountbend::interface::{Event, ListKind, Member, MemberState, ServerId};
use pinerelay_protocol::list::{number, Endpoint};

use super::ports::{Core, Upstream};

/// The app servers by name and number, as the sources name them.
pub struct Members {
    zones: Vec<String>,
    kinds: Vec<String>,
    names: RefCell<BTreeMap<ServerId, String>>,
    upstream: Rc<dyn Upstream>,
    core: Weak<dyn Core>,
}

impl Members {
    /// No app servers yet. Zones and kinds are told by name and numbered as in the settings.
    pub fn new(
        zones: Vec<String>,
        kinds: Vec<String>,
        upstream: Rc<dyn Upstream>,
        core: Weak<dyn Core>,
    ) -> Self {
        Members { zones, kinds, names: RefCell::default(), upstream, core }
    }

    /// Takes in entries of a list, or that a source has lost its way.
    pub fn take(&self, kind: ListKind, entries: Vec<serde_json::Value>) {
        let entries: Vec<Member> = entries.into_iter().filter_map(|value| self.entry(value)).collect();
        if kind != ListKind::Changes && kind != ListKind::Lost {
            self.names.borrow_mut().retain(|id, _| entries.iter().any(|m| m.server == *id));
            self.upstream.keep_only(&entries.iter().map(|m| m.server).collect::<Vec<_>>());
        }
        if let Some(core) = self.core.upgrade() {
            core.event(Event::Members { kind, entries });
        }
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
        let mut names = self.names.borrow_mut();
        let name = names.entry(server).or_insert_with(|| e.name.clone());
        if *name != e.name {
            // Danger: two app servers under one number would share their state. The later one is left out.
            eprintln!("pinerelay: discovery: {} and {name} have the same number", e.name);
            return None;
        }
        // Danger: what is not known to want work must get none.
        let state = e.state().unwrap_or_else(|| {
            eprintln!("pinerelay: discovery: {} is {:?}, taken as draining", e.name, e.status);
            MemberState::Draining
        });
        if state == MemberState::Out {
            names.remove(&server);
            self.upstream.remove(server);
        } else if !self.upstream.set(server, e.address.parse().ok(), e.since_ms, state == MemberState::In) {
            eprintln!("pinerelay: discovery: {} has no usable address", e.name);
            return None;
        }
        let place =
            |list: &[String], name: &str| list.iter().position(|n| n == name).unwrap_or(list.len()) as u32;
        Some(Member {
            server,
            zone: place(&self.zones, &e.zone),
            kind: place(&self.kinds, &e.kind),
            cell: e.group,
            state,
            weight: e.weight.unwrap_or(1.0),
            started: e.since_ms.saturating_mul(1000),
        })
    }
}
