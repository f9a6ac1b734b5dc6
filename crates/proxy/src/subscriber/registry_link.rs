//! The state of a link to a registry.

use std::collections::VecDeque;

use pinerelay_admission::lease_cache::{Permission, LEASE_REQUEST_TIMEOUT};
use pinerelay_admission::Micros;
use pinerelay_peer_link::message::{Hello, RegistryStatus};

#[cfg(test)]
mod tests;

/// The number of messages that request units and may be unanswered before further requests wait.
const MAX_UNANSWERED_ASKS: usize = 2;
/// How often the time between further ones is doubled at most.
const MAX_TIMEOUT_DOUBLINGS: usize = 2;

/// A message with lease requests that is not answered yet.
#[derive(Debug, Clone, Copy)]
struct OpenLeaseMessage {
    sent_at: Micros,
    /// Whether it requests units.
    asks: bool,
}

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
    /// When its last message was handled.
    pub last_message: Micros,
    /// The last status that the registry reported.
    pub status: Option<RegistryStatus>,
    /// The last received digests of the registry's configuration items and runtime items.
    pub digests: Option<[u64; 2]>,
    /// By realm: since when its last digests differ from those of the replica, until an exchange starts.
    pub differs_since: [Option<Micros>; 2],
    /// The last confirmation that its replica is current.
    pub confirmation: Option<Confirmation>,
    /// The unanswered messages with lease requests, oldest first; replies arrive in the same order.
    open_lease_messages: VecDeque<OpenLeaseMessage>,
    /// The send times of those that request units, oldest first.
    unanswered_asks: VecDeque<Micros>,
    /// When an anti-entropy exchange with it last timed out; `None` once it answers in time, or is equal.
    pub last_sync_timeout: Option<Micros>,
}

impl RegistryLink {
    /// Creates a link for which only `Hello` has been received.
    pub fn new(now: Micros, hello: Hello) -> RegistryLink {
        RegistryLink {
            hello,
            last_message: now,
            status: None,
            digests: None,
            differs_since: [None; 2],
            confirmation: None,
            open_lease_messages: VecDeque::new(),
            unanswered_asks: VecDeque::new(),
            last_sync_timeout: None,
        }
    }

    /// Records that a message with lease requests is sent. `asks`: it requests units, and does not only report spent ones.
    pub fn lease_message_sent(&mut self, now: Micros, asks: bool) {
        self.open_lease_messages.push_back(OpenLeaseMessage { sent_at: now, asks });
        if asks {
            self.unanswered_asks.push_back(now);
        }
    }

    /// Returns when the message was sent that the registry answers now; `None` if there is none.
    pub fn lease_message_answered(&mut self) -> Option<Micros> {
        let message = self.open_lease_messages.pop_front()?;
        if message.asks {
            self.unanswered_asks.pop_front();
        }
        Some(message.sent_at)
    }

    /// Whether units may be requested from the registry now. While it does not answer, the time between messages doubles.
    pub fn lease_permission(&self, now: Micros) -> Permission {
        let (Some(&oldest), Some(&newest)) = (self.unanswered_asks.front(), self.unanswered_asks.back())
        else {
            return Permission::Granted;
        };
        let Some(excess) = self.unanswered_asks.len().checked_sub(MAX_UNANSWERED_ASKS) else {
            return Permission::Granted;
        };
        let timeout = LEASE_REQUEST_TIMEOUT << excess.min(MAX_TIMEOUT_DOUBLINGS);
        if now >= newest + timeout {
            Permission::Granted
        } else if now >= oldest + LEASE_REQUEST_TIMEOUT {
            Permission::Unanswered
        } else {
            Permission::Deferred
        }
    }

    /// Whether the registry reports that it has the complete configuration.
    pub fn is_complete(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.is_complete)
    }

    /// Records the registry's digests, and which realms differ from the replica's. The first digests of a registry without items
    /// do not count: it has just started, and gets them from its store and the other registries rather than from each proxy.
    pub fn digests_reported(&mut self, now: Micros, digests: [u64; 2], own_digests: [u64; 2]) {
        for (index, differs_since) in self.differs_since.iter_mut().enumerate() {
            let has_just_started = digests[index] == 0 && self.digests.is_none();
            let differs = digests[index] != own_digests[index] && !has_just_started;
            *differs_since = differs.then(|| differs_since.unwrap_or(now));
        }
        self.digests = Some(digests);
        if digests == own_digests {
            self.last_sync_timeout = None;
        }
    }

    /// The last received digest of the registry's configuration items.
    pub fn config_digest(&self) -> Option<u64> {
        self.digests.map(|[config_digest, _]| config_digest)
    }

    /// Whether the registry reports that it is current, which it has to confirm.
    pub fn reports_current(&self) -> bool {
        self.status.as_ref().is_some_and(|status| status.is_current)
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
