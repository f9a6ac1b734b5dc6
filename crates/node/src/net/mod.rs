//! The sockets round the decisions: a folder for each side, and the node that joins them.

pub mod body;
pub mod budget;
pub mod clients;
pub mod clock;
pub mod counts;
pub mod long;
pub mod node;
pub mod operators;
pub mod ports;
pub mod room;
pub mod servers;
pub mod succession;
