//! The control calls of servers and operators, parsed from the method, path, query and body of an HTTP request.

use pinerelay_config_state::rollout::RolloutOrder;
use pinerelay_config_state::server::Heartbeat;
use pinerelay_config_state::ValidationError;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// The path at which all calls are served.
pub const PATH: &str = "/-/rpc";
/// The maximum length of a server's id or a service's name, in bytes.
const MAX_NAME_LENGTH: usize = 256;

/// A parsed call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ControlCall {
    /// A server sends a heartbeat.
    Heartbeat {
        /// The server's id.
        id: String,
        /// Its contents.
        heartbeat: Heartbeat,
    },
    /// A server deregisters.
    Leave {
        /// The server's id.
        id: String,
    },
    /// An operator changes the configuration; holds the body, which the store parses.
    Update(Vec<u8>),
    /// An operator reads the configuration.
    Read,
    /// An operator orders a rollout.
    StartRollout(RolloutOrder),
    /// An operator reads the state of the rollout of the named service.
    ReadRollout(String),
}

/// Why a call is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum CallError {
    /// The path is not [`PATH`].
    #[error("{PATH} is served here")]
    UnknownPath,
    /// The method is not POST.
    #[error("POST alone is served here")]
    UnknownMethod,
    /// The query has no `call` parameter.
    #[error("call: servers.heartbeat, servers.leave, config.update or config.read")]
    NoCall,
    /// The `call` parameter names an unknown call.
    #[error("call: there is no {0:?}")]
    UnknownCall(String),
    /// The server's id is missing or too long, or cannot be decoded.
    #[error("of: the server's id is wanted")]
    InvalidId,
    /// The service's name is missing or too long, or cannot be decoded.
    #[error("of: the service's name is wanted")]
    InvalidService,
    /// The body is invalid.
    #[error(transparent)]
    InvalidBody(#[from] ValidationError),
}

impl CallError {
    /// The HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            CallError::UnknownPath | CallError::NoCall | CallError::UnknownCall(_) => 404,
            CallError::UnknownMethod => 405,
            CallError::InvalidId | CallError::InvalidService | CallError::InvalidBody(_) => 400,
        }
    }
}

/// Parses a call.
///
/// # Errors
/// If the request is not a known call, or its id, service name or body is invalid.
pub fn parse(method: &str, path: &str, query: Option<&str>, body: &[u8]) -> Result<ControlCall, CallError> {
    if path != PATH {
        return Err(CallError::UnknownPath);
    }
    if method != "POST" {
        return Err(CallError::UnknownMethod);
    }
    match query_value(query, "call") {
        Some("servers.heartbeat") => Ok(ControlCall::Heartbeat {
            id: target_name(query).ok_or(CallError::InvalidId)?,
            heartbeat: Heartbeat::parse(body)?,
        }),
        Some("servers.leave") => {
            Ok(ControlCall::Leave { id: target_name(query).ok_or(CallError::InvalidId)? })
        }
        Some("config.update") => Ok(ControlCall::Update(body.to_vec())),
        Some("config.read") => Ok(ControlCall::Read),
        Some("rollouts.start") => Ok(ControlCall::StartRollout(RolloutOrder::parse(body)?)),
        Some("rollouts.read") => {
            let service = target_name(query).ok_or(CallError::InvalidService)?;
            Ok(ControlCall::ReadRollout(service))
        }
        Some(other) => Err(CallError::UnknownCall(other.into())),
        None => Err(CallError::NoCall),
    }
}

/// The first value of a query parameter, still percent-encoded.
fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    let mut pairs = query.unwrap_or_default().split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(other, _)| *other == name).map(|(_, value)| value)
}

/// The id of the server or name of the service that a call refers to: the decoded `of` parameter.
fn target_name(query: Option<&str>) -> Option<String> {
    let name = query_value(query, "of").and_then(percent_decode);
    name.filter(|name| !name.is_empty() && name.len() <= MAX_NAME_LENGTH)
}

/// Decodes percent-encoding (RFC 3986, section 2.1); `None` if it is malformed or the result is not UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = text.bytes();
    let mut decoded = Vec::with_capacity(text.len());
    while let Some(byte) = bytes.next() {
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let mut digit = || bytes.next().and_then(|byte| char::from(byte).to_digit(16));
        let (high, low) = (digit()?, digit()?);
        decoded.push((high * 16 + low) as u8);
    }
    String::from_utf8(decoded).ok()
}
