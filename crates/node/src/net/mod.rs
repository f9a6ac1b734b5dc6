//! The sockets round the decisions: one file for each kind of peer, and the node that joins them.

pub mod body;
pub mod budget;
pub mod clients;
pub mod clock;
pub mod counter;
pub mod discovery;
pub mod figures;
pub mod handover;
pub mod http;
pub mod listen;
pub mod long;
pub mod maintenance;
pub mod members;
pub mod node;
pub mod ops;
pub mod ports;
pub mod redis;
pub mod reuse;
pub mod room;
pub mod seats;
pub mod servers;
