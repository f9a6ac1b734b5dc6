//! Backend servers as their heartbeats report them, and which report is the newest.

use std::net::SocketAddrV4;

use bincode::{Decode, Encode};
use sonic_rs::{JsonValueTrait, Value};

use crate::duration::parse_duration;
use crate::error::ValidationError;
use crate::item::{Item, Key, Kind, Version};
use crate::json;
use crate::operator_call::MAX_NAME_LENGTH;

#[cfg(test)]
mod tests;

/// The state of a server. Of two reports with the same call count the higher state is the newer one. The order is part of
/// the encoding on the wire and on disk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum ServerState {
    /// It takes requests.
    Ready,
    /// It completes the requests that it has received.
    Draining,
    /// It has missed several heartbeats; the next one restores it.
    Lost,
    /// It has deregistered.
    Gone,
}

/// One incarnation of a server.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Server {
    /// The name of its service.
    pub service: String,
    /// The address at which it takes requests.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// The revision of its software.
    pub revision: String,
    /// The number of requests that it processes concurrently.
    pub capacity: u32,
    /// Its state.
    pub state: ServerState,
    /// The remaining time of its slow start at the time of the report, in milliseconds.
    pub warmup_ms: u32,
}

/// Maximum encoded length of a server, in bytes.
const MAX_ENCODED_LENGTH: usize = 64 * 1024;
/// The call count of a tombstone, higher than that of any heartbeat.
const TOMBSTONE_CALL_COUNT: u64 = u64::MAX;
/// How long a tombstone is kept, in seconds. By then no message about the server is still in transit.
const TOMBSTONE_LIFETIME: u64 = 300;

/// A heartbeat as a server sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// The server's report.
    pub server: Server,
    /// The number of the call, which rises with each call of this incarnation.
    pub call_count: u64,
}

/// Reads the fields of a heartbeat.
struct HeartbeatFields(Value);

impl HeartbeatFields {
    fn error(field: &str, reason: &str) -> ValidationError {
        ValidationError::invalid(format!("/{field}"), reason)
    }

    fn text(&self, field: &str) -> Option<&str> {
        self.0.get(field).and_then(|value| value.as_str())
    }

    fn required_text(&self, field: &str) -> Result<&str, ValidationError> {
        let text = self.text(field).filter(|text| !text.is_empty());
        text.ok_or_else(|| HeartbeatFields::error(field, "a text is wanted"))
    }

    fn integer(&self, field: &str) -> Result<u64, ValidationError> {
        let number = self.0.get(field).and_then(|value| value.as_u64());
        number.ok_or_else(|| HeartbeatFields::error(field, "a whole number from 0 on is wanted"))
    }

    fn check_lengths(&self) -> Result<(), ValidationError> {
        let bounded = ["service", "zone", "revision"];
        let too_long = |field: &&&str| self.text(field).is_some_and(|text| text.len() > MAX_NAME_LENGTH);
        match bounded.iter().find(too_long) {
            Some(field) => Err(HeartbeatFields::error(field, "a shorter text is wanted")),
            None => Ok(()),
        }
    }

    fn state(&self) -> Result<ServerState, ValidationError> {
        match self.required_text("state")? {
            "ready" => Ok(ServerState::Ready),
            "draining" => Ok(ServerState::Draining),
            _ => Err(HeartbeatFields::error("state", "ready or draining is wanted")),
        }
    }

    fn warmup_ms(&self) -> Result<u32, ValidationError> {
        let warmup = parse_duration(self.text("warmup_left").unwrap_or("0s"));
        let error = || HeartbeatFields::error("warmup_left", "a time such as 1500ms is wanted");
        Ok(u32::try_from(warmup.ok_or_else(error)?.as_millis()).unwrap_or(u32::MAX))
    }
}

impl Heartbeat {
    /// Parses the body of a `servers.heartbeat` call.
    pub fn parse(body: &[u8]) -> Result<Heartbeat, ValidationError> {
        let fields = HeartbeatFields(json::parse(body, &json::HEARTBEAT)?);
        fields.check_lengths()?;
        let state = fields.state()?;
        let address = fields.required_text("address")?.parse();
        let warmup_ms = fields.warmup_ms()?;
        let server = Server {
            service: fields.required_text("service")?.into(),
            address: address
                .map_err(|_| HeartbeatFields::error("address", "an address and port are wanted"))?,
            zone: fields.text("zone").unwrap_or_default().into(),
            revision: fields.text("revision").unwrap_or_default().into(),
            capacity: u32::try_from(fields.integer("capacity")?).unwrap_or(u32::MAX).max(1),
            state,
            warmup_ms,
        };
        let call_count = fields.integer("call_count")?.min(TOMBSTONE_CALL_COUNT - 1);
        Ok(Heartbeat { server, call_count })
    }
}

impl Server {
    /// The item of a server as of the call with this count.
    pub fn to_item(&self, id: &str, call_count: u64) -> Item {
        let value = bincode::encode_to_vec(self, bincode::config::standard()).ok();
        Item { key: Key::new(Kind::Server, id), version: Version::new(call_count, self.state as u64), value }
    }

    /// The tombstone of a server that deregistered at a wall-clock time, in seconds.
    pub fn tombstone(id: &str, wall_clock: u64) -> Item {
        let version = Version::new(TOMBSTONE_CALL_COUNT, wall_clock);
        Item { key: Key::new(Kind::Server, id), version, value: None }
    }

    /// Whether an item is a tombstone so old that it is to be removed, and not accepted from other replicas. `wall_clock` is
    /// in seconds.
    ///
    /// Tombstones that never expired would accumulate with every server that ever existed. If their age were not part of
    /// the item, replicas that remove them by their own clocks would replicate them back to each other.
    pub fn is_expired_tombstone(item: &Item, wall_clock: u64) -> bool {
        let Version { revision, tie_breaker } = item.version;
        revision == TOMBSTONE_CALL_COUNT && tie_breaker.saturating_add(TOMBSTONE_LIFETIME) < wall_clock
    }

    /// Decodes an item's content; `None` if it cannot be.
    pub fn decode(value: &[u8]) -> Option<Server> {
        // Without a limit, a forged length prefix would cause an allocation of that length.
        let config = bincode::config::standard().with_limit::<MAX_ENCODED_LENGTH>();
        bincode::decode_from_slice(value, config).ok().map(|(server, _)| server)
    }

    /// Whether this report has no new information for proxies compared to an earlier one. A slow start runs out by itself;
    /// only one that has started again is an update.
    pub fn is_redundant_to(&self, earlier: &Server) -> bool {
        let with_earlier_warmup = Server { warmup_ms: earlier.warmup_ms, ..self.clone() };
        with_earlier_warmup == *earlier && self.warmup_ms <= earlier.warmup_ms
    }
}
