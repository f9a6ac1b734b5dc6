//! Logging to standard error. Only state changes are logged; frequent events are counted in metrics instead.

use logforth::append::Stderr;
use logforth::bridge::log::LogBridge;

/// The lowest severity that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Level {
    /// Failures that end the process.
    Error,
    /// Conditions that need an operator's attention.
    Warn,
    /// State changes.
    Info,
    /// Details for diagnosis.
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

/// Installs the global logger. A second call has no effect.
pub fn start(level: Level) {
    let logger = logforth::core::builder().dispatch(|dispatch| dispatch.append(Stderr::default())).build();
    if log::set_boxed_logger(Box::new(LogBridge::new(logger))).is_ok() {
        log::set_max_level(level.into());
    }
}
