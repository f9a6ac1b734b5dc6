//! Replicated state of the control plane.
//!
//! State is a set of [`Item`]s. Each item carries its own [`Version`], and two replicas merge item by item: the higher
//! version wins, whatever the order in which items arrive. There is neither a log nor a leader.
//!
//! - [`item`], [`item_set`]: items and a replica of them.
//! - [`digest_tree`], [`anti_entropy`]: finding and closing the difference between two replicas.
//! - [`operator_call`], [`json`], [`duration`], [`request_syntax`]: parsing of operators' calls.
//! - [`validation`]: validation of an update against the live items.
//! - [`resources`], [`routing_table`]: routes, tenants and services as the data plane uses them.
//! - [`server`]: backend servers as their heartbeats report them.
//! - [`rollout`]: which software versions of a service's servers get its requests.
//! - [`execution`]: whether a request may have been executed.
//! - [`hash`]: hashes that are the same in every process.

pub mod anti_entropy;
pub mod digest_tree;
pub mod duration;
pub mod error;
pub mod execution;
pub mod hash;
pub mod item;
pub mod item_set;
pub mod json;
pub mod operator_call;
pub mod request_syntax;
pub mod resources;
pub mod rollout;
pub mod routing_table;
pub mod server;
pub mod validation;

pub use error::ValidationError;
pub use item::{Item, Key, Kind, Version};
pub use item_set::ItemSet;
