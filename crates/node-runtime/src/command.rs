//! The command line of the gateway's programs, and how a program starts and ends.

use std::error::Error as StdError;
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

use getopts::{Matches, Options};
use thiserror::Error;
use tokio::runtime::LocalOptions;

use crate::logs::{self, Level};
use crate::settings::{Settings, SettingsError};

#[cfg(test)]
mod tests;

/// The variable that holds the settings file's path.
pub const SETTINGS_VARIABLE: &str = "PINERELAY_BOOT";
/// The exit code of a program whose settings cannot be used, or that failed.
const EXIT_FAILURE: u8 = 1;
/// The exit code of a program whose command line cannot be parsed.
const EXIT_USAGE: u8 = 2;

/// What a program is called for.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Run with the settings in this file.
    Run(PathBuf, Level),
    /// Check that file and end.
    Check(PathBuf),
    /// Print this text and end.
    Print(String),
}

/// Why a command line cannot be parsed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// An option is unknown, or lacks its value.
    #[error("{0}")]
    Options(#[from] getopts::Fail),
    /// An argument is no option.
    #[error("{0:?} is no option; --help tells them all")]
    UnexpectedArgument(String),
    /// An argument is none of those that are expected there.
    #[error("{0:?}: {1} is wanted")]
    UnknownArgument(String, &'static str),
    /// An option's value cannot be used.
    #[error("--{0}: {1} is wanted, not {2:?}")]
    InvalidValue(&'static str, &'static str, String),
    /// Something is missing.
    #[error("{0}")]
    Missing(&'static str),
    /// The settings file cannot be used, or is not named.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the settings file; without it, what PINERELAY_BOOT names", "FILE");
    options.optopt("l", "log", "what is logged: error, warn, info (default) or debug", "LEVEL");
    options.optflag("c", "check", "check the settings file and end: 0 if it can be used, else 1");
    options.optflag("V", "version", "print the version and end");
    options.optflag("h", "help", "print this and end");
    options
}

/// Parses a command line without the program's name. `settings_path` is the value of [`SETTINGS_VARIABLE`].
///
/// # Errors
/// If an option is unknown or has an invalid value, or if no settings file is named.
pub fn parse(
    program: &str,
    description: &str,
    arguments: impl IntoIterator<Item = String>,
    settings_path: Option<PathBuf>,
) -> Result<Command, CommandError> {
    let options = options();
    let matches = options.parse(arguments)?;
    if matches.opt_present("h") {
        let brief = format!("{program}: {description}\nusage: {program} [OPTIONS]");
        return Ok(Command::Print(options.usage(&brief)));
    }
    if matches.opt_present("V") {
        return Ok(Command::Print(format!("{program} {}", env!("CARGO_PKG_VERSION"))));
    }
    if let Some(argument) = matches.free.first() {
        return Err(CommandError::UnexpectedArgument(argument.clone()));
    }
    let level = log_level(&matches)?;
    let path = matches.opt_str("s").map(PathBuf::from).or(settings_path).ok_or(SettingsError::Unnamed)?;
    Ok(if matches.opt_present("c") { Command::Check(path) } else { Command::Run(path, level) })
}

/// The level of the option `log`, which all programs have that log.
///
/// # Errors
/// If the option names no level.
pub fn log_level(matches: &Matches) -> Result<Level, CommandError> {
    let Some(text) = matches.opt_str("log") else { return Ok(Level::Info) };
    Level::parse(&text).ok_or(CommandError::InvalidValue("log", "error, warn, info or debug", text))
}

/// Runs a program: parses the process's command line, reads the settings, and runs until the program ends.
///
/// The exit code is 0 after a planned end, 1 if the settings cannot be used or an address is taken, and 2 if the command line
/// cannot be parsed.
pub fn run_program(
    program: &'static str,
    description: &str,
    run: impl AsyncFnOnce(PathBuf, Settings) -> Result<(), Box<dyn StdError>>,
) -> ExitCode {
    let fail = |error: &dyn StdError, code: u8| {
        eprintln!("{program}: {error}");
        ExitCode::from(code)
    };
    let settings_path = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    let command = match parse(program, description, std::env::args().skip(1), settings_path) {
        Ok(command) => command,
        Err(error) => return fail(&error, EXIT_USAGE),
    };
    let (path, level) = match command {
        Command::Run(path, level) => (path, Some(level)),
        Command::Check(path) => (path, None),
        Command::Print(text) => {
            println!("{}", text.trim_end());
            return ExitCode::SUCCESS;
        }
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(&error, EXIT_FAILURE),
    };
    let Some(level) = level else {
        println!("{}: can be used", path.display());
        return ExitCode::SUCCESS;
    };
    logs::start(level);
    match run_on_one_thread(run(path, settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(&*error, EXIT_FAILURE),
    }
}

/// All that a program has runs on one thread.
fn run_on_one_thread(
    future: impl Future<Output = Result<(), Box<dyn StdError>>>,
) -> Result<(), Box<dyn StdError>> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(future)
}
