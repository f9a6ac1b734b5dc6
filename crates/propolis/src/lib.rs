//! What holds the gateway's programs together: settings, command line, logs, and the links between processes.

pub mod command;
pub mod link;
pub mod logs;
pub mod ports;
pub mod settings;
pub mod speech;
pub mod visit;
pub mod watch;
