//! The operators' client: shows what the gateway's processes know, and checks, compares and sends configuration.
//!
//! - [`command`]: the command line; [`execute`]: executes it;
//! - [`snapshot`]: queries the processes over the internal ports; [`listings`]: what they answered, as tables;
//! - [`control_client`]: calls to the control addresses; [`check`]: whether a call is valid; [`diff`]: what it would change;
//! - [`report`]: tables as text and as JSON; [`completion`]: for shells.

pub mod check;
pub mod command;
pub mod completion;
pub mod control_client;
pub mod diff;
pub mod execute;
pub mod listings;
pub mod report;
pub mod snapshot;
