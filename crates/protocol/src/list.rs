//! The list of app servers as discovery sends it, and the parsing of its entries.

use mountbend::interface::{MemberState, ServerId};
use serde::Deserialize;

/// One message of discovery: the complete list of app servers, or changes to an earlier list.
#[derive(Debug, Clone, Deserialize, Default)]
pub struct List {
    /// The version number of the list. Numbers are comparable only if the same discovery agent sent them.
    pub index: u64,
    /// Whether this is the complete list, not changes to one.
    #[serde(default)]
    pub snapshot: bool,
    /// The listed or changed servers, each an [`Endpoint`]. Parsed one by one, so that a malformed entry does not
    /// invalidate the others.
    #[serde(default)]
    pub endpoints: Vec<serde_json::Value>,
}

/// One app server of the list.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoint {
    /// Its name, which is the same at every node.
    pub name: String,
    /// The address (IP and port) at which this node reaches it; other nodes may get another one. Empty or malformed: a known
    /// server keeps its last address.
    #[serde(default)]
    pub address: String,
    /// Its zone's name.
    #[serde(default)]
    pub zone: String,
    /// Its machine type.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// The number of its cell.
    #[serde(default)]
    pub group: u32,
    /// `up`, `draining` or `removed`.
    pub status: String,
    /// Its capacity relative to the other servers, if given.
    pub weight: Option<f64>,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub since_ms: u64,
}

impl Endpoint {
    /// The state, or none for an unknown status.
    pub fn state(&self) -> Option<MemberState> {
        match self.status.as_str() {
            "up" => Some(MemberState::InService),
            "removed" => Some(MemberState::Removed),
            "draining" => Some(MemberState::Draining),
            _ => None,
        }
    }
}

/// A server's number: the FNV-1a hash of its name, so that all nodes agree on it.
pub fn number(name: &str) -> ServerId {
    let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    ServerId(name.bytes().fold(0x811c_9dc5, step))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_name_has_the_same_number_at_every_node() {
        // Published FNV-1a values: the number must not change between builds, or nodes would disagree.
        assert_eq!(number(""), ServerId(0x811c_9dc5));
        assert_eq!(number("a"), ServerId(0xe40c_292c));
        assert_eq!(number("foobar"), ServerId(0xbf9c_f968));
    }
}
