//! The command line that all programs of the gateway have.

use std::path::PathBuf;

use getopts::{Matches, Options};
use thiserror::Error;
use tokio::runtime::LocalOptions;

use crate::logs::Level;
use crate::settings::{Settings, SettingsError};

/// The variable that holds the settings file's path.
pub const BOOT: &str = "PINERELAY_BOOT";

/// What a program was called for.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Run with the settings in this file.
    Run(PathBuf, Level),
    /// Check that file and end.
    Check(PathBuf),
    /// Print this and end.
    Print(String),
}

/// Why a command line can't be followed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// It has what is not known, or lacks a value.
    #[error("{0}")]
    Odd(#[from] getopts::Fail),
    /// It has what no program takes.
    #[error("{0:?} is no option; --help tells them all")]
    Free(String),
    /// A word is none of those that are wanted there.
    #[error("{0:?}: {1} is wanted")]
    Word(String, &'static str),
    /// An option's value is none.
    #[error("--{0}: {1} is wanted, not {2:?}")]
    Unfit(&'static str, &'static str, String),
    /// Something is missing.
    #[error("{0}")]
    Missing(&'static str),
    /// The settings file can't be used, or none is named.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Reads a command line without the program's name. `boot` is what [`BOOT`] holds.
pub fn read(
    program: &str,
    job: &str,
    args: impl IntoIterator<Item = String>,
    boot: Option<PathBuf>,
) -> Result<Command, CommandError> {
    let mut options = Options::new();
    options.optopt("s", "settings", "the settings file; without it, what PINERELAY_BOOT names", "FILE");
    options.optopt("l", "log", "what is logged: error, warn, info (default) or debug", "LEVEL");
    options.optflag("c", "check", "check the settings file and end: 0 if it can be used, else 1");
    options.optflag("V", "version", "print the version and end");
    options.optflag("h", "help", "print this and end");
    let found = options.parse(args)?;
    if found.opt_present("h") {
        return Ok(Command::Print(options.usage(&format!("{program}: {job}\nusage: {program} [OPTIONS]"))));
    }
    if found.opt_present("V") {
        return Ok(Command::Print(format!("{program} {}", env!("CARGO_PKG_VERSION"))));
    }
    if let Some(free) = found.free.first() {
        return Err(CommandError::Free(free.clone()));
    }
    let level = level(&found)?;
    let path = found.opt_str("s").map(PathBuf::from).or(boot).ok_or(SettingsError::Unnamed)?;
    Ok(if found.opt_present("c") { Command::Check(path) } else { Command::Run(path, level) })
}

/// What is logged, by the option `log` of all programs that log.
pub fn level(found: &Matches) -> Result<Level, CommandError> {
    let Some(text) = found.opt_str("log") else { return Ok(Level::Info) };
    Level::parse(&text).ok_or(CommandError::Unfit("log", "error, warn, info or debug", text))
}

/// Follows the process's own command line: runs with the settings, or ends. Exit codes: 0 for a planned end, 1 for
/// settings that can't be used or an address that is taken, 2 for a command line that can't be followed.
pub fn follow(
    program: &'static str,
    job: &str,
    run: impl AsyncFnOnce(PathBuf, Settings) -> Result<(), Box<dyn std::error::Error>>,
) -> std::process::ExitCode {
    let boot = std::env::var_os(BOOT).map(PathBuf::from);
    let (path, level) = match read(program, job, std::env::args().skip(1), boot) {
        Ok(Command::Run(path, level)) => (path, Some(level)),
        Ok(Command::Check(path)) => (path, None),
        Ok(Command::Print(text)) => {
            println!("{}", text.trim_end());
            return 0.into();
        }
        Err(error) => {
            eprintln!("{program}: {error}");
            return 2.into();
        }
    };
    let settings = match Settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{program}: {error}");
            return 1.into();
        }
    };
    let Some(level) = level else {
        println!("{}: can be used", path.display());
        return 0.into();
    };
    crate::logs::begin(level);
    // Everything a program has stands on one thread.
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build_local(LocalOptions::default());
    let ended = runtime.map_err(Into::into).and_then(|runtime| runtime.block_on(run(path, settings)));
    match ended {
        Ok(()) => 0.into(),
        Err(error) => {
            eprintln!("{program}: {error}");
            1.into()
        }
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn said(args: &[&str], boot: Option<&str>) -> std::result::Result<Command, String> {
        let args = args.iter().map(|a| a.to_string());
        read("comb", "keeps", args, boot.map(PathBuf::from)).map_err(|e| e.to_string())
    }

    #[gtest]
    fn the_file_comes_from_the_option_or_the_variable() {
        let run = |path: &str| Ok(Command::Run(path.into(), Level::Info));
        expect_that!(said(&[], Some("b.toml")), eq(&run("b.toml")));
        expect_that!(said(&["-s", "a.toml"], Some("b.toml")), eq(&run("a.toml")));
        let debug = Command::Run("b.toml".into(), Level::Debug);
        expect_that!(said(&["--log=debug"], Some("b.toml")), eq(&Ok(debug)));
        expect_that!(said(&["--check"], Some("b.toml")), eq(&Ok(Command::Check("b.toml".into()))));
        expect_that!(said(&[], None), err(contains_substring("PINERELAY_BOOT")));
        expect_that!(said(&["--log=loud"], None), err(starts_with("--log: error, warn")));
        expect_that!(said(&["now"], None), err(starts_with("\"now\" is no option")));
        expect_that!(said(&["--hush"], None), err(contains_substring("hush")));
        expect_that!(
            said(&["-h"], None),
            ok(matches_pattern!(Command::Print(contains_substring("--check"))))
        );
    }
}
