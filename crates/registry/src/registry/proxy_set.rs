//! The proxies that are linked or missing. Their numbers are kept as they change, since each lease request needs them.

use std::collections::BTreeMap;

use pinerelay_admission::Micros;

#[cfg(test)]
mod tests;

/// The linked and the missing proxies, by their nodes. A proxy that is silent on an open link is both.
#[derive(Debug, Default)]
pub(super) struct ProxySet {
    /// The number of connections of each linked proxy.
    connections: BTreeMap<String, usize>,
    /// The missing proxies, and since when.
    missing: BTreeMap<String, Micros>,
    /// The number of proxies that are linked and missing.
    linked_and_missing: usize,
    /// The number of changes of the missing proxies.
    missing_revision: u64,
}

impl ProxySet {
    /// A connection of a proxy is up.
    pub(super) fn connected(&mut self, node: &str) {
        let connections = self.connections.entry(node.into()).or_default();
        *connections += 1;
        if *connections == 1 {
            self.linked_and_missing += usize::from(self.missing.contains_key(node));
        }
    }

    /// A connection of a proxy has closed.
    pub(super) fn disconnected(&mut self, node: &str) {
        let Some(connections) = self.connections.get_mut(node) else { return };
        *connections -= 1;
        if *connections == 0 {
            self.connections.remove(node);
            self.linked_and_missing -= usize::from(self.missing.contains_key(node));
        }
    }

    /// A proxy counts as missing since a time.
    pub(super) fn add_missing(&mut self, node: String, since: Micros) {
        self.missing_revision += 1;
        let is_linked = self.connections.contains_key(&node);
        if self.missing.insert(node, since).is_none() {
            self.linked_and_missing += usize::from(is_linked);
        }
    }

    /// A proxy does not count as missing any more. Returns whether it did.
    pub(super) fn remove_missing(&mut self, node: &str) -> bool {
        let was_missing = self.missing.remove(node).is_some();
        if was_missing {
            self.missing_revision += 1;
            self.linked_and_missing -= usize::from(self.connections.contains_key(node));
        }
        was_missing
    }

    /// The missing proxies, and when their last message arrived; for those that only the machine's store knew, when its list
    /// arrived.
    pub(super) fn missing(&self) -> &BTreeMap<String, Micros> {
        &self.missing
    }

    /// Increases with each change of the missing proxies.
    pub(super) fn missing_revision(&self) -> u64 {
        self.missing_revision
    }

    /// The linked proxies.
    pub(super) fn linked(&self) -> impl Iterator<Item = &String> {
        self.connections.keys()
    }

    /// The number of linked proxies.
    pub(super) fn linked_count(&self) -> usize {
        self.connections.len()
    }

    /// The number of proxies that are linked or missing.
    pub(super) fn known_count(&self) -> usize {
        self.connections.len() + self.missing.len() - self.linked_and_missing
    }
}
