//! The operators' client: shows what the processes know, and checks, compares and sends configuration.

pub mod check;
pub mod command;
pub mod completion;
pub mod diff;
pub mod look;
pub mod rpc;
pub mod run;
pub mod table;
pub mod views;
