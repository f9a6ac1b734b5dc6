//! The list of app servers as discovery tells it, and how its entries are read.

use mountbend::interface::{MemberState, ServerId};
use serde::Deserialize;

/// A list of app servers, or what has changed in it.
#[derive(Debug, Clone, Deserialize, Default)]
pub struct List {
    /// The version; an agent's own, comparable with no other agent's.
    pub index: u64,
    /// Whether this is the whole list.
    #[serde(default)]
    pub snapshot: bool,
    /// Read one by one: one that is malformed must not hide the others.
    #[serde(default)]
    pub endpoints: Vec<serde_json::Value>,
}

/// One app server on the list.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoint {
    /// Its name, the same at every node.
    pub name: String,
    /// Where it listens; may differ from one node to the next.
    #[serde(default)]
    pub address: String,
    /// Its zone's name.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub group: u32,
    /// `up`, `draining` or `removed`.
    pub status: String,
    /// Its size beside the others', where told.
    pub weight: Option<f64>,
    /// When it last started, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub since_ms: u64,
}

impl Endpoint {
    /// The state, if the status is one that the protocol knows.
    pub fn state(&self) -> Option<MemberState> {
        match self.status.as_str() {
            "up" => Some(MemberState::InService),
            "removed" => Some(MemberState::Removed),
            "draining" => Some(MemberState::Draining),
            _ => None,
        }
    }
}

/// A server's number, from its name alone so that all nodes agree: FNV-1a.
pub fn number(name: &str) -> ServerId {
    let step = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
    ServerId(name.bytes().fold(0x811c_9dc5, step))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_name_gives_the_same_number_everywhere() {
        // Published FNV-1a values: the number must not change from build to build, or nodes would differ.
        assert_eq!(number(""), ServerId(0x811c_9dc5));
        assert_eq!(number("a"), ServerId(0xe40c_292c));
        assert_eq!(number("foobar"), ServerId(0xbf9c_f968));
    }
}
