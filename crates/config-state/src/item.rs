//! Versioned items, the unit of replication.

use bincode::{Decode, Encode};

use crate::hash;

/// What an item describes. The order is part of the encoding on the wire and on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub enum Kind {
    /// A route of the configuration.
    Route,
    /// A tenant of the configuration.
    Tenant,
    /// A service of the configuration.
    Service,
    /// The request limits of the configuration, a single item.
    Limits,
    /// One incarnation of a backend server, as it last reported itself.
    Server,
    /// A node of the gateway.
    Node,
    /// The rollout state of a service: which software versions of its servers get its requests.
    Rollout,
}

impl Kind {
    /// The kinds whose items the stores decide by consensus: the operators' configuration and the rollouts.
    pub const CONFIG: [Kind; 5] = [Kind::Route, Kind::Tenant, Kind::Service, Kind::Limits, Kind::Rollout];

    /// Whether the stores decide items of this kind by consensus.
    pub fn is_config(self) -> bool {
        Kind::CONFIG.contains(&self)
    }
}

/// The identity of an item.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct Key {
    /// What the item describes.
    pub kind: Kind,
    /// Its name, unique within its kind.
    pub name: String,
}

impl Key {
    /// The key of the item of a kind and name.
    pub fn new(kind: Kind, name: impl Into<String>) -> Key {
        Key { kind, name: name.into() }
    }

    /// The hash that identifies the key in digests and in heartbeats between registries. It is the same in every process.
    pub fn key_hash(&self) -> u64 {
        hash::hash_parts(&[&[self.kind as u8], self.name.as_bytes()])
    }
}

/// The version of an item. Versions of one item are totally ordered, so all replicas keep the same one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Encode, Decode)]
pub struct Version {
    /// The revision that the item's source assigned.
    pub revision: u64,
    /// Orders two versions of the same revision.
    pub tie_breaker: u64,
}

impl Version {
    /// The version of a revision and a tie-breaker.
    pub fn new(revision: u64, tie_breaker: u64) -> Version {
        Version { revision, tie_breaker }
    }
}

/// A versioned item.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Item {
    /// Its identity.
    pub key: Key,
    /// Its version.
    pub version: Version,
    /// Its content; `None` for a tombstone, which stays behind when an item is removed.
    pub value: Option<Vec<u8>>,
}

impl Item {
    /// An item with its source's revision. The hash of the content breaks ties; a tombstone is higher than any content.
    pub fn with_revision(key: Key, revision: u64, value: Option<Vec<u8>>) -> Item {
        let tie_breaker = value.as_ref().map_or(u64::MAX, |content| hash::hash_parts(&[content]) >> 1);
        Item { key, version: Version { revision, tie_breaker }, value }
    }

    /// What the item contributes to the digest of each range that contains it.
    pub(crate) fn digest(&self) -> u64 {
        let Version { revision, tie_breaker } = self.version;
        hash::mix64(self.key.key_hash() ^ hash::mix64(revision ^ hash::mix64(tie_breaker)))
    }
}
