//! The items of servers and nodes that registries report, and which of them are still to be written.

use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{Item, ItemSet, Key, Kind};
use pinerelay_consensus::StateChange;

/// The name of the item that stores the machines of all proxies.
const PROXIES_ITEM: &str = "proxies";

/// The machines of all proxies, as reported by the registry on the same machine.
#[derive(Debug, Default)]
struct ProxyList {
    /// The number of changes so far.
    revision: u64,
    machines: Vec<String>,
}

impl ProxyList {
    fn from_item(item: Item) -> ProxyList {
        let text = String::from_utf8(item.value.unwrap_or_default()).unwrap_or_default();
        ProxyList { revision: item.version.revision, machines: text.lines().map(String::from).collect() }
    }

    fn to_item(&self) -> Item {
        let text = self.machines.join("\n").into_bytes();
        Item::with_revision(Key::new(Kind::Node, PROXIES_ITEM), self.revision, Some(text))
    }
}

/// Items of servers and nodes. They are stored in case all processes lose their memory at once.
#[derive(Debug, Default)]
pub(super) struct RuntimeItems {
    items: ItemSet,
    proxies: ProxyList,
    /// Items that were not passed to the disk yet.
    unwritten: Vec<Item>,
    /// Whether one of them is a server's leaving.
    has_unwritten_leaving: bool,
}

/// Whether an item says that a server is draining or gone.
fn is_leaving(item: &Item) -> bool {
    let server = item.value.as_deref().and_then(Server::decode);
    let is_gone = item.value.is_none();
    let is_draining = server.is_some_and(|server| server.state == ServerState::Draining);
    item.key.kind == Kind::Server && (is_gone || is_draining)
}

impl RuntimeItems {
    /// Creates the state from stored items. `time_of_day` is in seconds since the Unix epoch.
    pub(super) fn from_stored(stored: Vec<Item>, time_of_day: u64) -> RuntimeItems {
        let mut runtime = RuntimeItems::default();
        runtime.items.merge_all(stored);
        if let Some(item) = runtime.items.get(&Key::new(Kind::Node, PROXIES_ITEM)).cloned() {
            runtime.items.remove(&item.key);
            runtime.proxies = ProxyList::from_item(item);
        }
        runtime.remove_expired(time_of_day);
        runtime
    }

    /// The items, without the list of proxies.
    pub(super) fn items(&self) -> &ItemSet {
        &self.items
    }

    /// The machines of all proxies.
    pub(super) fn proxies(&self) -> &[String] {
        &self.proxies.machines
    }

    /// Replaces the machines of all proxies.
    pub(super) fn set_proxies(&mut self, machines: Vec<String>) {
        if machines != self.proxies.machines {
            self.proxies = ProxyList { revision: self.proxies.revision + 1, machines };
            self.unwritten.push(self.proxies.to_item());
        }
    }

    /// Merges items except expired tombstones; returns whether any of them was new.
    pub(super) fn merge(&mut self, items: Vec<Item>, time_of_day: u64) -> bool {
        let items = items.into_iter().filter(|item| !Server::is_expired_tombstone(item, time_of_day));
        let new = self.items.merge_all(items);
        let has_new = !new.is_empty();
        self.has_unwritten_leaving |= new.iter().any(is_leaving);
        self.unwritten.extend(new);
        has_new
    }

    /// Drops expired tombstones from memory.
    pub(super) fn remove_expired(&mut self, time_of_day: u64) {
        self.items.remove_if(|item| Server::is_expired_tombstone(item, time_of_day));
    }

    /// Whether a server's leaving was not passed to the disk yet. It is urgent: the server is told that it may end.
    pub(super) fn has_unwritten_leaving(&self) -> bool {
        self.has_unwritten_leaving
    }

    /// The change that writes all items that were not passed to the disk yet; `None` without any.
    pub(super) fn take_unwritten(&mut self) -> Option<StateChange> {
        self.has_unwritten_leaving = false;
        let committed = std::mem::take(&mut self.unwritten);
        (!committed.is_empty()).then(|| StateChange { committed, ..StateChange::default() })
    }
}
