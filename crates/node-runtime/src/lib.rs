//! Process set-up that is shared by the gateway's programs.
//!
//! - [`command`]: parses the command line, starts the runtime and maps errors to exit codes.
//! - [`settings`]: reads and validates the settings file of a process.
//! - [`settings_watch`]: reloads the settings while a process runs.
//! - [`internal_port`]: port offsets for links between processes.
//! - [`logs`]: logging to standard error.

pub mod command;
pub mod internal_port;
pub mod logs;
pub mod settings;
pub mod settings_watch;
