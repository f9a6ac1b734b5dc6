//! The internal port of each program, as an offset from the first one of a machine. Part of the protocol between processes.

/// Where the registry accepts links.
pub const REGISTRY: u16 = 0;
/// Where the store of the configuration accepts links.
pub const CONFIG_STORE: u16 = 1;
/// Where a proxy answers requests for its metrics.
pub const PROXY: u16 = 2;

/// The highest of them.
pub const LAST: u16 = PROXY;
