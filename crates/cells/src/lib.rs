//! Control state: items that each carry their own version, merged one by one, and what they hold.

pub mod call;
pub mod hash;
pub mod item;
pub mod json;
pub mod judge;
pub mod merkle;
pub mod routes;
pub mod sendable;
pub mod server;
pub mod span;
pub mod verdict;

pub use item::{Cells, Item, Key, Kind, Version};
