//! The state of a link to a registry.

use std::collections::VecDeque;

use pinerelay_admission::Micros;
use pinerelay_peer_link::message::{Hello, RegistryStatus};

/// A registry's confirmation that its replica is current.
#[derive(Debug, Clone, Copy)]
pub(super) struct Confirmation {
    /// The digest of its configuration items.
    pub digest: u64,
    /// When the confirmation expires, by the proxy's clock.
    pub until: Micros,
}

/// A registry that the proxy is linked to.
pub(super) struct RegistryLink {
    /// The registry's `Hello` message.
    pub hello: Hello,
    /// The last status that the registry reported.
    pub status: Option<RegistryStatus>,
    /// The last received digest of the registry's configuration items.
    pub config_digest: Option<u64>,
    /// The last confirmation that its replica is current.
    pub confirmation: Option<Confirmation>,
    /// The send times of unanswered lease requests, oldest first; replies arrive in the same order.
    pub open_lease_requests: VecDeque<Micros>,
    /// When the last anti-entropy message was received.
    pub last_sync: Option<Micros>,
}

impl RegistryLink {
    /// Creates a link for which only `Hello` has been received.
    pub fn new(hello: Hello) -> RegistryLink {
        RegistryLink {
            hello,
            status: None,
            config_digest: None,
            confirmation: None,
            open_lease_requests: VecDeque::new(),
            last_sync: None,
        }
    }

    /// Whether the registry reports that it has the complete configuration.
    pub fn is_complete(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.is_complete)
    }

    /// Whether the registry reports a majority of the core.
    pub fn has_majority(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.has_majority)
    }

    /// The digest of the registry's configuration items, if an unexpired confirmation exists.
    pub fn current_digest(&self, now: Micros) -> Option<u64> {
        self.confirmation
            .filter(|confirmation| now < confirmation.until)
            .map(|confirmation| confirmation.digest)
    }
}
