//! The edge node as a program: configuration, command line, runtime, and network I/O.
//!
//! The decision logic is in the crate `mountbend`, the network protocol in `pinerelay-protocol`.
#![forbid(unsafe_code)]

pub mod cli;
pub mod config;
mod net;
pub mod operator;
pub mod run;
pub mod strict;
