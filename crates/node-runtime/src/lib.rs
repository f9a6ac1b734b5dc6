//! What the gateway's programs share.
//!
//! - [`command`]: the command line, and how a program starts and ends.
//! - [`settings`]: the settings file of a process.
//! - [`settings_watch`]: the reload of settings while a process runs.
//! - [`internal_port`]: where the programs of a machine listen for other processes.
//! - [`logs`]: logging to standard error.

pub mod command;
pub mod internal_port;
pub mod logs;
pub mod settings;
pub mod settings_watch;
