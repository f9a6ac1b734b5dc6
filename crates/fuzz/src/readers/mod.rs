//! The readers, each of one place at which bytes come in.

mod control;
mod machines;
mod settings;
mod sockets;
mod stored;
mod words;

use std::path::Path;

use crate::reader::Reader;

/// The names of those that run in this process alone, without sockets.
pub const PURE: [&str; 9] =
    ["update", "dispatch", "settings", "items", "disk", "words", "proxy", "registry", "store"];
/// The names of those that talk to a proxy over sockets.
pub const SOCKETS: [&str; 2] = ["requests", "answers"];

/// The reader of a name. `program` is what can run as a proxy: see [`crate::proxy::AS_PROXY`].
pub fn named(name: &str, program: &Path) -> Option<Box<dyn Reader>> {
    Some(match name {
        "update" => Box::new(control::Update),
        "dispatch" => Box::new(control::Dispatch),
        "settings" => Box::new(settings::Texts),
        "items" => Box::new(stored::Items),
        "disk" => Box::new(stored::Disks::default()),
        "words" => Box::new(words::Words),
        "proxy" => Box::new(machines::Proxy),
        "registry" => Box::new(machines::Registries),
        "store" => Box::new(machines::Stores),
        "requests" => Box::new(sockets::Requests::new(program)),
        "answers" => Box::new(sockets::Answers::new(program)),
        _ => return None,
    })
}
