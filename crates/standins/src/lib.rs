//! Stand-ins for all that an edge node talks to, written from the protocol, each on ports of its own on loopback
//! and each usable alone: collect boxes, the counter, discovery, billers' clients behind a front, and an edge node
//! that follows a script.
//!
//! They fail as told, while they run; what they see goes to a [`pinerelay_evidence::Recorder`]. Every wait in
//! them is bounded or ends when they are dropped.
#![forbid(unsafe_code)]

pub mod billers;
pub mod boxes;
pub mod counter;
pub mod discovery;
pub mod edge;
pub mod http;
pub mod lots;
pub mod redis;
pub mod rude;
