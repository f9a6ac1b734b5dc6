//! Command line, start-up and exit codes of the gateway's programs.

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

/// The environment variable that holds the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "PINERELAY_BOOT";
/// Exit code for invalid settings or a failure while running.
const EXIT_FAILURE: u8 = 1;
/// Exit code for a command line that cannot be parsed.
const EXIT_USAGE: u8 = 2;

/// What the command line asks the program to do.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Run with the settings in this file and log from this level on.
    Run(PathBuf, Level),
    /// Check this settings file and exit.
    Check(PathBuf),
    /// Print this text and exit.
    Print(String),
}

/// Why a command line cannot be parsed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// An option is unknown, or lacks its value.
    #[error("{0}")]
    Options(#[from] getopts::Fail),
    /// A positional argument, where only options are accepted.
    #[error("{0:?} is not an option; --help lists all options")]
    UnexpectedArgument(String),
    /// A positional argument is not one of those that are expected: the argument, and what is expected.
    #[error("{0:?}: {1} is expected")]
    UnknownArgument(String, &'static str),
    /// The value of an option is invalid: the option, what is expected, and the value.
    #[error("--{0}: {1} is expected, not {2:?}")]
    InvalidValue(&'static str, &'static str, String),
    /// Required arguments are missing, or options cannot be combined; the text says which.
    #[error("{0}")]
    Missing(&'static str),
    /// The settings file is invalid, or none is given.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("s", "settings", "the settings file; defaults to the path in PINERELAY_BOOT", "FILE");
    options.optopt("l", "log", "the log level: error, warn, info (default) or debug", "LEVEL");
    options.optflag("c", "check", "check the settings file and exit: 0 if it is valid, else 1");
    options.optflag("V", "version", "print the version and exit");
    options.optflag("h", "help", "print this help and exit");
    options
}

/// Parses the command line, without the program's name. `settings_path` is the value of [`SETTINGS_VARIABLE`]; the option
/// `settings` takes precedence over it.
///
/// # Errors
/// If an argument or option is unknown, an option has an invalid value, or no settings file is given.
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

/// Returns the value of the option `log`, [`Level::Info`] by default. `matches` must come from options that define `log`.
///
/// # Errors
/// If the value is not a log level.
pub fn log_level(matches: &Matches) -> Result<Level, CommandError> {
    let Some(text) = matches.opt_str("log") else { return Ok(Level::Info) };
    Level::parse(&text).ok_or(CommandError::InvalidValue("log", "error, warn, info or debug", text))
}

/// Entry point of a program: parses the command line of the process, reads the settings, starts logging and drives `run` to
/// completion.
///
/// The exit code is 0 if `run` succeeds, 1 if the settings are invalid or `run` fails, and 2 if the command line cannot be
/// parsed.
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

/// Runs a future and the tasks that it spawns on the current thread.
fn run_on_one_thread(
    future: impl Future<Output = Result<(), Box<dyn StdError>>>,
) -> Result<(), Box<dyn StdError>> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    let runtime = builder.enable_all().build_local(LocalOptions::default())?;
    runtime.block_on(future)
}
