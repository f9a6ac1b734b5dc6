//! Command line of the exporter.

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

/// Exit code for an invalid file or a failure while running.
const EXIT_FAILURE: u8 = 1;
/// Exit code for a command line that cannot be parsed.
const EXIT_USAGE: u8 = 2;

/// What the command line asks the exporter to do.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Run with these options.
    Run(RunOptions),
    /// Check this alert rules file and exit.
    CheckRules(PathBuf),
    /// Print this text and exit.
    Print(String),
}

/// The options of a run.
#[derive(Debug, PartialEq)]
pub struct RunOptions {
    /// The address at which the metrics are served.
    pub listen: SocketAddr,
    /// The source of the registries that are queried first.
    pub registries: RegistrySource,
    /// The alert rules file.
    pub rules: Option<PathBuf>,
    /// The log level.
    pub level: Level,
}

/// Where the addresses of the first registries come from.
#[derive(Debug, PartialEq)]
pub enum RegistrySource {
    /// The seed nodes of a settings file.
    Settings(PathBuf),
    /// Internal addresses from the command line, all with the same port.
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
    options.optopt("", "listen", "the address at which /metrics is served", "ADDRESS");
    options.optopt("s", "settings", "settings file; its seed nodes are queried for all processes", "FILE");
    options.optmulti("", "at", "internal address of a registry, instead of a settings file", "ADDRESS");
    options.optopt("r", "rules", "alert rules file; without it, processes are polled on scrape", "FILE");
    options.optopt("c", "check", "check an alert rules file and exit: 0 if it is valid, else 1", "FILE");
    options.optopt("l", "log", "the log level: error, warn, info (default) or debug", "LEVEL");
    options.optflag("V", "version", "print the version and exit");
    options.optflag("h", "help", "print this help and exit");
    options
}

/// Parses the command line, without the program's name.
///
/// # Errors
/// If an option is unknown, missing or invalid, or if there is a positional argument.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, CommandError> {
    let options = options();
    let matches = options.parse(arguments)?;
    if matches.opt_present("h") {
        let brief = "exporter: serves the metrics of all processes and evaluates alert rules\n\
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
    let text = matches.opt_str("listen").ok_or(CommandError::Missing("--listen ADDRESS is required"))?;
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
        _ => Err(CommandError::Missing("one of --settings FILE and --at ADDRESS is required")),
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

/// Entry point: parses and executes the command line of the process. Exit codes: 0 for a planned shutdown or a valid file, 1 for
/// an invalid file or a failure such as an address in use, 2 for a command line that cannot be parsed.
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
