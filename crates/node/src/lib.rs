//! The edge node as a program: configuration, command line, runtime, and the sockets round the decisions.
//!
//! The decisions themselves are the crate `mountbend`; what goes over the sockets is `pinerelay-protocol`.
#![forbid(unsafe_code)]

pub mod cli;
pub mod config;
mod net;
pub mod operator;
pub mod run;
pub mod strict;
