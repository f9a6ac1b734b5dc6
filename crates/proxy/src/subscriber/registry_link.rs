//! What is known of a registry that the proxy is linked to.

use std::collections::VecDeque;

use pinerelay_admission::Micros;
use pinerelay_peer_link::message::{Hello, RegistryStatus};

/// What a registry has confirmed of its replica.
#[derive(Debug, Clone, Copy)]
pub(super) struct Confirmation {
    /// The digest of its configuration items.
    pub digest: u64,
    /// Until when they count as current.
    pub until: Micros,
}

/// A registry that the proxy is linked to.
pub(super) struct RegistryLink {
    /// What it said of itself.
    pub hello: Hello,
    /// What it last said of its state.
    pub status: Option<RegistryStatus>,
    /// The digest of its configuration items, as it was sent last.
    pub config_digest: Option<u64>,
    /// What it confirmed last.
    pub confirmation: Option<Confirmation>,
    /// When lease requests were sent that have no answer yet: answers come in the same order.
    pub open_lease_requests: VecDeque<Micros>,
    /// When it last took part in anti-entropy.
    pub last_sync: Option<Micros>,
}

impl RegistryLink {
    /// A link on which only the greeting has come.
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

    /// Whether its replica is complete.
    pub fn is_complete(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.is_complete)
    }

    /// Whether it reaches a majority of the core.
    pub fn has_majority(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.has_majority)
    }

    /// The digest of its configuration items, if that is confirmed as current.
    pub fn current_digest(&self, now: Micros) -> Option<u64> {
        self.confirmation
            .filter(|confirmation| now < confirmation.until)
            .map(|confirmation| confirmation.digest)
    }
}
