//! Command-line client for operators: shows the state of the gateway's processes, and checks, compares and applies
//! configuration.
//!
//! - [`command`]: parses the command line; [`execute`]: executes it;
//! - [`snapshot`]: queries the processes over the internal ports; [`listings`]: formats the answers as tables;
//! - [`control_client`]: calls the control addresses; [`check`]: validates a call; [`diff`]: computes its changes;
//! - [`report`]: renders tables as text and as JSON; [`completion`]: shell completion.

pub mod check;
pub mod command;
pub mod completion;
pub mod control_client;
pub mod diff;
pub mod execute;
pub mod listings;
pub mod report;
pub mod snapshot;
