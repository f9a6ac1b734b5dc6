//! Logging to standard error. Lines are written for changes of state alone; what happens often is counted in metrics.

use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;

/// The least severe lines that are logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// What ends the process.
    Error,
    /// What an operator should look at.
    Warn,
    /// Changes of state.
    Info,
    /// What helps to find a cause.
    Debug,
}

impl Level {
    /// Parses the name of a level.
    pub fn parse(text: &str) -> Option<Level> {
        match text {
            "error" => Some(Level::Error),
            "warn" => Some(Level::Warn),
            "info" => Some(Level::Info),
            "debug" => Some(Level::Debug),
            _ => None,
        }
    }
}

impl From<Level> for log::LevelFilter {
    fn from(level: Level) -> log::LevelFilter {
        match level {
            Level::Error => log::LevelFilter::Error,
            Level::Warn => log::LevelFilter::Warn,
            Level::Info => log::LevelFilter::Info,
            Level::Debug => log::LevelFilter::Debug,
        }
    }
}

/// Starts logging. A second call changes nothing.
pub fn start(level: Level) {
    let logger = logforth::core::builder().dispatch(|dispatch| dispatch.append(Stderr::default())).build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(level.into());
    }
}
