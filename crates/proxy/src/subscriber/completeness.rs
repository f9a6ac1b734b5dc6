//! Decides when the replica of a starting proxy is complete, or is served unconfirmed.

use pinerelay_admission::Micros;

use super::registry_link::RegistryLink;
use super::Subscriber;

/// A starting proxy that finds no current registry for this long serves its unconfirmed configuration. This is longer than a
/// configuration may take to reach a machine while the core is unsettled, and shorter than the time allowed for restoring service
/// after a failure. In microseconds.
const UNCONFIRMED_AFTER: Micros = 10_000_000;
/// A longer gap between two ticks, in microseconds, counts as a stall of this process: messages missed meanwhile say nothing about
/// the registries.
const STALL_THRESHOLD: Micros = 700_000;

impl Subscriber {
    /// Checks whether the replica is equal to the configuration of a registry that is complete and current. A registry that was
    /// partitioned together with its store is complete, but may be out of date: its configuration is served unconfirmed once no
    /// registry has been current for `UNCONFIRMED_AFTER`.
    pub(super) fn check_complete(&mut self, now: Micros) {
        // At the first start of a cluster the empty configuration is confirmed as current. It must not count as complete, since the
        // next items may be only a part of an update.
        if self.is_complete || self.config_items().is_empty() {
            return;
        }
        let own_digest = self.config_items().digest();
        let complete: Vec<&RegistryLink> =
            self.registries.values().filter(|registry| registry.is_complete()).collect();
        if complete.iter().any(|registry| registry.current_digest(now) == Some(own_digest)) {
            log::info!("configuration is complete: {} items", self.config_items().len());
            self.is_complete = true;
            return;
        }
        let none_is_current = self.registries.values().all(|registry| registry.current_digest(now).is_none());
        let lacks_current = !complete.is_empty() && none_is_current;
        let is_equal = complete.iter().any(|registry| registry.config_digest() == Some(own_digest));
        let has_stalled = now + self.backlog > self.last_tick + STALL_THRESHOLD;
        self.no_current_since =
            lacks_current.then(|| self.no_current_since.filter(|_| !has_stalled).unwrap_or(now));
        let has_waited = self.no_current_since.is_some_and(|since| now >= since + UNCONFIRMED_AFTER);
        if has_waited && !self.is_unconfirmed && is_equal {
            log::warn!(
                "serving an unconfirmed configuration: {} items, no registry is current",
                self.config_items().len()
            );
            self.is_unconfirmed = true;
        }
    }
}
