//! Whether what a change brings can occur in a request at all.
//!
//! This is asked of what is new in a call, and not of what stands: an item that an earlier build took is still read, and
//! its change, sent again, is acknowledged again.

use crate::call::{Unfit, NAME_MOST};
use crate::item::{Item, Kind};
use crate::routes::{Route, Tenant};

/// No key is longer, in bytes: the protocol's first call lets clients send heads of this length.
pub const KEY_MOST: usize = 16 * 1024;

/// Looks whether a change can be carried out on requests.
pub fn sendable(item: &Item) -> Result<(), Unfit> {
    let name = &item.key.name;
    let wrong = |field: &str, why: &str| Unfit::new(format!("{:?} {name}/{field}", item.key.kind), why);
    let Some(text) = &item.value else { return Ok(()) };
    if name.len() > NAME_MOST {
        // The name itself would make the answer as long.
        return Err(Unfit::new("", format!("a name of at most {NAME_MOST} bytes is wanted")));
    }
    match item.key.kind {
        Kind::Tenant if !is_header_value(name) => {
            Err(wrong("name", "visible ASCII is wanted, with no space at its ends: it is sent as X-Tenant"))
        }
        Kind::Tenant if !Tenant::read(name, text)?.keys.iter().all(|key| is_key(key)) => {
            Err(wrong("api_keys", "keys are wanted that X-Credential can hold"))
        }
        Kind::Route if !is_path(&Route::read(name, text)?.prefix) => {
            Err(wrong("path_prefix", "a path is wanted: no space, control character, ? or #"))
        }
        _ => Ok(()),
    }
}

/// Whether a header field can hold it and a server reads it as it was sent.
fn is_header_value(text: &str) -> bool {
    let visible = text.bytes().all(|byte| matches!(byte, b' '..=b'~'));
    visible && !text.is_empty() && !text.starts_with(' ') && !text.ends_with(' ')
}

/// Whether a client could ever send it. Bytes over 0x7f may be sent. Danger: what is no UTF-8 is read as U+FFFD, so that
/// a key with it would fit bytes that are none of its own.
fn is_key(key: &str) -> bool {
    let blank = |c: char| c == ' ' || c == '\t';
    let held = |c: char| c == '\t' || !c.is_ascii_control() && c != char::REPLACEMENT_CHARACTER;
    key.len() <= KEY_MOST && key.chars().all(held) && !key.starts_with(blank) && !key.ends_with(blank)
}

/// Whether a request's path can begin with it.
fn is_path(prefix: &str) -> bool {
    !prefix.bytes().any(|byte| byte <= b' ' || matches!(byte, b'?' | b'#' | 0x7f))
}
