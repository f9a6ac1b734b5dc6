//! Whether the tenant names, API keys and path prefixes of a changed item can occur in a request at all.
//!
//! Only items that are new in a call are checked, not the live ones: an item that an earlier release accepted stays in use,
//! and the call that set it, sent again, is acknowledged again.

use crate::error::ValidationError;
use crate::item::{Item, Kind};
use crate::operator_call::MAX_NAME_LENGTH;
use crate::resources::{Route, Tenant};

/// Maximum length of an API key in bytes: the length of the request heads that the protocol lets clients send.
pub const MAX_KEY_LENGTH: usize = 16 * 1024;

/// Checks the length of an item's name, and that requests can contain its tenant name, API keys or path prefix.
pub fn check_request_syntax(item: &Item) -> Result<(), ValidationError> {
    let name = &item.key.name;
    let error = |field: &str, reason: &str| {
        ValidationError::invalid(format!("{:?} {name}/{field}", item.key.kind), reason)
    };
    let Some(text) = &item.value else { return Ok(()) };
    if name.len() > MAX_NAME_LENGTH {
        // The error does not repeat the name, which would make the answer as long.
        return Err(ValidationError::invalid(
            "",
            format!("a name of at most {MAX_NAME_LENGTH} bytes is wanted"),
        ));
    }
    match item.key.kind {
        Kind::Tenant if !is_header_value(name) => {
            Err(error("name", "visible ASCII is wanted, with no space at its ends: it is sent as X-Tenant"))
        }
        Kind::Tenant if !Tenant::parse(name, text)?.api_keys.iter().all(|key| is_credential(key)) => {
            Err(error("api_keys", "keys are wanted that X-Credential can hold"))
        }
        Kind::Route if !is_path(&Route::parse(name, text)?.path_prefix) => {
            Err(error("path_prefix", "a path is wanted: no space, control character, ? or #"))
        }
        _ => Ok(()),
    }
}

/// Whether a header field can hold the text and a server reads it unchanged (RFC 9110, section 5.5).
fn is_header_value(text: &str) -> bool {
    let is_visible = text.bytes().all(|byte| matches!(byte, b' '..=b'~'));
    is_visible && !text.is_empty() && !text.starts_with(' ') && !text.ends_with(' ')
}

/// Whether a client can send the key. Bytes over 0x7f are allowed. U+FFFD is not: invalid UTF-8 is read as that character, so
/// a key that contains it would match other bytes as well.
fn is_credential(key: &str) -> bool {
    let is_blank = |c: char| c == ' ' || c == '\t';
    let is_allowed = |c: char| c == '\t' || !c.is_ascii_control() && c != char::REPLACEMENT_CHARACTER;
    key.len() <= MAX_KEY_LENGTH
        && key.chars().all(is_allowed)
        && !key.starts_with(is_blank)
        && !key.ends_with(is_blank)
}

/// Whether a request's path can begin with the prefix.
fn is_path(prefix: &str) -> bool {
    !prefix.bytes().any(|byte| byte <= b' ' || matches!(byte, b'?' | b'#' | 0x7f))
}
