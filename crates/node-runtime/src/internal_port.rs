//! The internal port of each program, as an offset from the first internal port of a machine. The offsets are part of the
//! protocol between processes.

/// The registry accepts links from other processes.
pub const REGISTRY: u16 = 0;
/// The configuration store accepts links from other processes.
pub const CONFIG_STORE: u16 = 1;
/// A proxy answers metrics queries.
pub const PROXY: u16 = 2;

/// The highest offset.
pub const LAST: u16 = PROXY;
