//! The exporter's command line.

use std::fmt::Display;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use getopts::{Matches, Options};
use pinerelay_node_runtime::command::{log_level, CommandError};
use pinerelay_node_runtime::internal_port;
use pinerelay_node_runtime::logs::{self, Level};
use pinerelay_node_runtime::settings::{FileError, Settings};
use thiserror::Error;

use crate::http::{self, ExporterConfig};
use crate::rules;

#[cfg(test)]
mod tests;

/// The exit code if a file cannot be used, or the exporter failed.
const EXIT_FAILURE: u8 = 1;
/// The exit code if the command line cannot be parsed.
const EXIT_USAGE: u8 = 2;

/// What the exporter is called for.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Run.
    Run(RunOptions),
    /// Check this file of alert rules and end.
    CheckRules(PathBuf),
    /// Print this text and end.
    Print(String),
}

/// How the exporter is to run.
#[derive(Debug, PartialEq)]
pub struct RunOptions {
    /// Where the metrics are served.
    pub listen: SocketAddr,
    /// The registries that are queried first.
    pub registries: RegistrySource,
    /// The file of alert rules.
    pub rules: Option<PathBuf>,
    /// What is logged.
    pub level: Level,
}

/// Where the first registries are named.
#[derive(Debug, PartialEq)]
pub enum RegistrySource {
    /// By the seeds of a settings file.
    Settings(PathBuf),
    /// By their addresses.
    Addresses(Vec<SocketAddrV4>),
}

/// Why the exporter cannot run.
#[derive(Debug, Error)]
enum RunError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error(transparent)]
    Exporter(#[from] Box<dyn std::error::Error>),
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt("", "listen", "where the metrics are served, at /metrics", "ADDRESS");
    options.optopt("s", "settings", "a settings file, whose seeds are asked for all others", "FILE");
    options.optmulti("", "at", "a registry's internal address, in place of a settings file", "ADDRESS");
    options.optopt("r", "rules", "the alert rules; without them, metrics are asked for when read", "FILE");
    options.optopt("c", "check", "check a file of alert rules and end: 0 if it can be used, else 1", "FILE");
    options.optopt("l", "log", "what is logged: error, warn, info (default) or debug", "LEVEL");
    options.optflag("V", "version", "print the version and end");
    options.optflag("h", "help", "print this and end");
    options
}

/// Parses a command line without the program's name.
///
/// # Errors
/// If an option is unknown, missing, or has a value that cannot be used.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, CommandError> {
    let options = options();
    let matches = options.parse(arguments)?;
    if matches.opt_present("h") {
        let brief = "exporter: serves the metrics of all processes, and raises alerts by rules\n\
                     usage: exporter --listen ADDRESS (--settings FILE | --at ADDRESS...) [OPTIONS]";
        return Ok(Command::Print(options.usage(brief)));
    }
    if matches.opt_present("V") {
        return Ok(Command::Print(format!("exporter {}", env!("CARGO_PKG_VERSION"))));
    }
    if let Some(argument) = matches.free.first() {
        return Err(CommandError::UnexpectedArgument(argument.clone()));
    }
    if let Some(path) = matches.opt_str("c") {
        return Ok(Command::CheckRules(path.into()));
    }
    let level = log_level(&matches)?;
    let listen = parse_listen(&matches)?;
    let registries = parse_registries(&matches)?;
    let rules = matches.opt_str("r").map(PathBuf::from);
    Ok(Command::Run(RunOptions { listen, registries, rules, level }))
}

fn parse_listen(matches: &Matches) -> Result<SocketAddr, CommandError> {
    let text = matches.opt_str("listen").ok_or(CommandError::Missing("--listen ADDRESS is wanted"))?;
    let invalid = |_| CommandError::InvalidValue("listen", "an address and port", text.clone());
    text.parse().map_err(invalid)
}

fn parse_registries(matches: &Matches) -> Result<RegistrySource, CommandError> {
    let addresses: Result<Vec<SocketAddrV4>, CommandError> =
        matches.opt_strs("at").iter().map(|text| parse_registry(text)).collect();
    let addresses = addresses?;
    let first_port = addresses.first().map(SocketAddrV4::port);
    if let Some(other) = addresses.iter().find(|address| Some(address.port()) != first_port) {
        return Err(CommandError::InvalidValue("at", "the same port for all", other.to_string()));
    }
    match (matches.opt_str("s"), addresses.is_empty()) {
        (Some(path), true) => Ok(RegistrySource::Settings(path.into())),
        (None, false) => Ok(RegistrySource::Addresses(addresses)),
        _ => Err(CommandError::Missing("one of --settings FILE and --at ADDRESS is wanted")),
    }
}

fn parse_registry(text: &str) -> Result<SocketAddrV4, CommandError> {
    let invalid = |_| CommandError::InvalidValue("at", "an IPv4 address and port", text.into());
    text.parse().map_err(invalid)
}

impl RunOptions {
    fn into_config(self) -> Result<ExporterConfig, FileError> {
        let rules = self.rules.as_deref().map_or(Ok(Vec::new()), rules::read_file)?;
        let (seeds, first_port) = match self.registries {
            RegistrySource::Addresses(addresses) => {
                let registry_port = addresses.first().map_or(0, SocketAddrV4::port);
                let seeds: Vec<Ipv4Addr> = addresses.iter().map(|address| *address.ip()).collect();
                (seeds, registry_port.saturating_sub(internal_port::REGISTRY))
            }
            RegistrySource::Settings(path) => {
                let settings = Settings::read(&path)?;
                (settings.seeds(), settings.internal_ports.0)
            }
        };
        Ok(ExporterConfig { listen: self.listen, seeds, first_port, rules })
    }
}

fn run(options: RunOptions) -> Result<(), RunError> {
    let level = options.level;
    let config = options.into_config()?;
    logs::start(level);
    Ok(http::run(config)?)
}

fn check_rules(path: &Path) -> Result<(), FileError> {
    let rules = rules::read_file(path)?;
    println!("{}: can be used: {} rules", path.display(), rules.len());
    Ok(())
}

fn exit_code<E: Display>(result: Result<(), E>, failure: u8) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("exporter: {error}");
            ExitCode::from(failure)
        }
    }
}

/// Executes the process's own command line. Exit codes: 0 for a planned end or a file that can be used, 1 for a file that cannot
/// be used or an address that is taken, 2 for a command line that cannot be parsed.
pub fn execute() -> ExitCode {
    match parse(std::env::args().skip(1)) {
        Ok(Command::Run(options)) => exit_code(run(options), EXIT_FAILURE),
        Ok(Command::CheckRules(path)) => exit_code(check_rules(&path), EXIT_FAILURE),
        Ok(Command::Print(text)) => {
            println!("{}", text.trim_end());
            ExitCode::SUCCESS
        }
        Err(error) => exit_code(Err(error), EXIT_USAGE),
    }
}
