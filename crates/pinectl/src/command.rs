//! Command line of the client.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

use getopts::{Matches, Options};
use pinerelay_config_state::Kind;
use pinerelay_node_runtime::command::CommandError;
use pinerelay_node_runtime::settings::{FileError, Settings, SettingsError};

#[cfg(test)]
mod tests;

/// The action that a command line requests.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// List processes.
    Nodes,
    /// List servers.
    Servers,
    /// List the configuration items of one kind, or of all kinds.
    Items(Option<Kind>),
    /// List the duties of the registries.
    Duties,
    /// Validate the body of a `config.update` call, read from this file.
    Check(PathBuf),
    /// Show what a call would change, without sending it.
    Diff(PathBuf),
    /// Send a call.
    Apply {
        /// The file with the body of the call.
        path: PathBuf,
        /// Show what the call would change, and do not send it.
        is_dry_run: bool,
    },
    /// Print the current configuration.
    Read,
}

/// An action with its options.
#[derive(Debug, PartialEq, Eq)]
pub struct Invocation {
    /// The action.
    pub action: Action,
    /// The processes to query.
    pub targets: TargetOptions,
    /// Whether to print JSON.
    pub as_json: bool,
}

/// A parsed command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Execute this invocation.
    Execute(Invocation),
    /// Print the completion script for bash and exit.
    PrintCompletion,
    /// Print this text and exit.
    Print(String),
}

/// The command-line options that select the processes to query.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct TargetOptions {
    /// Control addresses of registries.
    pub control_addresses: Vec<SocketAddrV4>,
    /// A settings file, whose seed nodes are queried if no address is given.
    pub settings: Option<PathBuf>,
    /// The first internal port; overrides that of the settings file.
    pub first_internal_port: Option<u16>,
}

/// The resolved addresses of the processes to query.
#[derive(Debug, PartialEq, Eq)]
pub struct Endpoints {
    /// Control addresses of registries.
    pub control: Vec<SocketAddrV4>,
    /// The first internal port, if it is known.
    pub first_internal_port: Option<u16>,
}

/// The addresses at which registries are queried over internal links.
#[derive(Debug, PartialEq, Eq)]
pub struct InternalEndpoints {
    /// The addresses of the registries' machines.
    pub machines: Vec<Ipv4Addr>,
    /// The first internal port, which is the same on all machines.
    pub first_port: u16,
}

impl Endpoints {
    /// Returns the endpoints for queries over internal links.
    ///
    /// # Errors
    /// If the internal port is not known.
    pub fn internal(&self) -> Result<InternalEndpoints, CommandError> {
        let first_port = self.first_internal_port.ok_or(CommandError::Missing(
            "the internal port is not known: --internal PORT or --settings FILE is required",
        ))?;
        let machines = self.control.iter().map(|address| *address.ip()).collect();
        Ok(InternalEndpoints { machines, first_port })
    }
}

/// The commands.
pub const COMMANDS: [&str; 6] = ["nodes", "servers", "items", "duties", "config", "completion"];
/// The subcommands of `config`.
pub const CONFIG_COMMANDS: [&str; 4] = ["check", "diff", "apply", "read"];
/// The kinds that `items` accepts, by their names.
pub const KINDS: [(&str, Kind); 4] = [
    ("routes", Kind::Route),
    ("tenants", Kind::Tenant),
    ("services", Kind::Service),
    ("limits", Kind::Limits),
];
/// The long options.
pub const OPTIONS: [&str; 7] = ["at", "settings", "internal", "json", "dry-run", "version", "help"];

const USAGE: &str =
    "pinectl: shows the state of the gateway's processes, and checks, compares and applies configuration
usage: pinectl nodes | servers | items [KIND] | duties
       pinectl config check FILE | diff FILE | apply FILE [--dry-run] | read
       pinectl completion bash
Exit codes: 0 success, 1 rejected or invalid, 2 invalid command line, 3 unreachable or partial result.";

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti("a", "at", "control address of a registry; can be repeated", "ADDRESS");
    options.optopt("s", "settings", "settings file; provides the seed nodes and internal ports", "FILE");
    options.optopt("i", "internal", "the first internal port; overrides the settings file", "PORT");
    options.optflag("j", "json", "print JSON");
    options.optflag("n", "dry-run", "config apply: show what would change, send nothing");
    options.optflag("V", "version", "print the version and exit");
    options.optflag("h", "help", "print this help and exit");
    options
}

/// Parses the command line, without the program's name.
///
/// # Errors
/// If an argument or option is unknown, missing or invalid.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, CommandError> {
    let options = options();
    let matches = options.parse(arguments)?;
    if matches.opt_present("h") {
        return Ok(Command::Print(options.usage(USAGE)));
    }
    if matches.opt_present("V") {
        return Ok(Command::Print(format!("pinectl {}", env!("CARGO_PKG_VERSION"))));
    }
    let mut positionals = matches.free.iter().map(String::as_str);
    let is_dry_run = matches.opt_present("n");
    let action = match positionals.next() {
        Some("completion") => return parse_completion(positionals.next()),
        Some(word) => parse_action(word, &mut positionals, is_dry_run)?,
        None => return Err(unknown_command("")),
    };
    if let Some(word) = positionals.next() {
        return Err(CommandError::UnknownArgument(word.into(), "nothing more"));
    }
    if is_dry_run && !matches!(action, Action::Apply { .. }) {
        return Err(CommandError::Missing("--dry-run is only valid with config apply"));
    }
    let targets = parse_targets(&matches)?;
    let has_target = !targets.control_addresses.is_empty() || targets.settings.is_some();
    if !has_target && !matches!(action, Action::Check(_)) {
        return Err(CommandError::Missing("one of --at ADDRESS and --settings FILE is required"));
    }
    Ok(Command::Execute(Invocation { action, targets, as_json: matches.opt_present("j") }))
}

fn unknown_command(word: &str) -> CommandError {
    CommandError::UnknownArgument(word.into(), "nodes, servers, items, duties, config or completion")
}

fn parse_completion(shell: Option<&str>) -> Result<Command, CommandError> {
    match shell {
        Some("bash") => Ok(Command::PrintCompletion),
        other => {
            let word = other.unwrap_or_default().into();
            Err(CommandError::UnknownArgument(word, "bash after completion"))
        }
    }
}

fn parse_action<'a>(
    word: &str,
    positionals: &mut impl Iterator<Item = &'a str>,
    is_dry_run: bool,
) -> Result<Action, CommandError> {
    match word {
        "nodes" => Ok(Action::Nodes),
        "servers" => Ok(Action::Servers),
        "duties" => Ok(Action::Duties),
        "items" => Ok(Action::Items(positionals.next().map(parse_kind).transpose()?)),
        "config" => parse_config_action(positionals, is_dry_run),
        other => Err(unknown_command(other)),
    }
}

fn parse_config_action<'a>(
    positionals: &mut impl Iterator<Item = &'a str>,
    is_dry_run: bool,
) -> Result<Action, CommandError> {
    let word = positionals.next().unwrap_or_default();
    let mut path = || {
        let missing = CommandError::Missing("a file with the body of a call is required");
        positionals.next().map(PathBuf::from).ok_or(missing)
    };
    match word {
        "check" => Ok(Action::Check(path()?)),
        "diff" => Ok(Action::Diff(path()?)),
        "apply" => Ok(Action::Apply { path: path()?, is_dry_run }),
        "read" => Ok(Action::Read),
        other => Err(CommandError::UnknownArgument(other.into(), "check, diff, apply or read after config")),
    }
}

fn parse_kind(word: &str) -> Result<Kind, CommandError> {
    let known = KINDS.iter().find(|(name, _)| *name == word || name.trim_end_matches('s') == word);
    known
        .map(|(_, kind)| *kind)
        .ok_or_else(|| CommandError::UnknownArgument(word.into(), "routes, tenants, services or limits"))
}

fn parse_targets(matches: &Matches) -> Result<TargetOptions, CommandError> {
    let address = |text: String| {
        let expected = "an IPv4 address and port";
        text.parse().map_err(|_| CommandError::InvalidValue("at", expected, text))
    };
    let port = |text: String| {
        let port = text.parse().ok().filter(|port| *port > 0);
        port.ok_or(CommandError::InvalidValue("internal", "a port from 1 to 65535", text))
    };
    Ok(TargetOptions {
        control_addresses: matches.opt_strs("at").into_iter().map(address).collect::<Result<_, _>>()?,
        settings: matches.opt_str("settings").map(PathBuf::from),
        first_internal_port: matches.opt_str("internal").map(port).transpose()?,
    })
}

impl TargetOptions {
    /// Returns the endpoints that the options select. Reads the settings file, if one is given.
    ///
    /// # Errors
    /// If the settings file is invalid, or if it lists no seed nodes and no address is given.
    pub fn resolve(&self) -> Result<Endpoints, CommandError> {
        let mut endpoints = Endpoints {
            control: self.control_addresses.clone(),
            first_internal_port: self.first_internal_port,
        };
        let Some(path) = &self.settings else { return Ok(endpoints) };
        let settings = Settings::read(path).map_err(SettingsError::from)?;
        if endpoints.control.is_empty() {
            endpoints.control = settings.seed_nodes.clone();
        }
        if endpoints.control.is_empty() {
            return Err(CommandError::Settings(SettingsError::File(FileError::Invalid {
                path: path.clone(),
                key: "seed_nodes".into(),
                reason: "at least one address is required, unless --at ADDRESS is given".into(),
            })));
        }
        endpoints.first_internal_port = endpoints.first_internal_port.or(Some(settings.internal_ports.0));
        Ok(endpoints)
    }
}
