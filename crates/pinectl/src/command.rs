//! The client's command line.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

use getopts::{Matches, Options};
use pinerelay_config_state::Kind;
use pinerelay_node_runtime::command::CommandError;
use pinerelay_node_runtime::settings::{FileError, Settings, SettingsError};

#[cfg(test)]
mod tests;

/// What the client is to do.
#[derive(Debug, PartialEq, Eq)]
pub enum Action {
    /// List processes.
    Nodes,
    /// List servers.
    Servers,
    /// List items of the configuration, of one kind or all.
    Items(Option<Kind>),
    /// List duties.
    Duties,
    /// Check the body of a call.
    Check(PathBuf),
    /// Tell what a call would change.
    Diff(PathBuf),
    /// Send a call.
    Apply {
        /// The file with its body.
        path: PathBuf,
        /// Only tell what it would change.
        is_dry_run: bool,
    },
    /// Print the current configuration.
    Read,
}

/// An action with its options.
#[derive(Debug, PartialEq, Eq)]
pub struct Invocation {
    /// What to do.
    pub action: Action,
    /// Which processes to ask.
    pub targets: TargetOptions,
    /// Whether to print JSON.
    pub as_json: bool,
}

/// A parsed command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Execute this.
    Execute(Invocation),
    /// Print the completion for bash and end.
    PrintCompletion,
    /// Print this text and end.
    Print(String),
}

/// Which processes are asked, as the command line names them.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct TargetOptions {
    /// Control addresses.
    pub control_addresses: Vec<SocketAddrV4>,
    /// A settings file, whose seeds are asked if no address is named.
    pub settings: Option<PathBuf>,
    /// The first internal port, in place of that of the settings.
    pub first_internal_port: Option<u16>,
}

/// Where processes are asked.
#[derive(Debug, PartialEq, Eq)]
pub struct Endpoints {
    /// Control addresses.
    pub control: Vec<SocketAddrV4>,
    /// The first internal port, if it is known.
    pub first_internal_port: Option<u16>,
}

/// Where registries are asked over internal links.
#[derive(Debug, PartialEq, Eq)]
pub struct InternalEndpoints {
    /// Their machines.
    pub machines: Vec<Ipv4Addr>,
    /// The first internal port of each.
    pub first_port: u16,
}

impl Endpoints {
    /// The internal endpoints.
    ///
    /// # Errors
    /// If the internal port is not known.
    pub fn internal(&self) -> Result<InternalEndpoints, CommandError> {
        let first_port = self.first_internal_port.ok_or(CommandError::Missing(
            "the internal port is not known: --internal PORT or --settings FILE is wanted",
        ))?;
        let machines = self.control.iter().map(|address| *address.ip()).collect();
        Ok(InternalEndpoints { machines, first_port })
    }
}

/// The first words of a command.
pub const COMMANDS: [&str; 6] = ["nodes", "servers", "items", "duties", "config", "completion"];
/// The words after `config`.
pub const CONFIG_COMMANDS: [&str; 4] = ["check", "diff", "apply", "read"];
/// The kinds that `items` takes, by their names.
pub const KINDS: [(&str, Kind); 4] = [
    ("routes", Kind::Route),
    ("tenants", Kind::Tenant),
    ("services", Kind::Service),
    ("limits", Kind::Limits),
];
/// The long options.
pub const OPTIONS: [&str; 7] = ["at", "settings", "internal", "json", "dry-run", "version", "help"];

const USAGE: &str =
    "pinectl: shows what the gateway's processes know, and checks, compares and sends configuration
usage: pinectl nodes | servers | items [KIND] | duties
       pinectl config check FILE | diff FILE | apply FILE [--dry-run] | read
       pinectl completion bash
Exit codes: 0 done, 1 rejected or invalid, 2 a command line that can't be parsed, 3 not reached or partial.";

fn options() -> Options {
    let mut options = Options::new();
    options.optmulti("a", "at", "a registry's control address; may be given more than once", "ADDRESS");
    options.optopt("s", "settings", "a settings file: its seeds are asked, at its internal ports", "FILE");
    options.optopt("i", "internal", "the first internal port, without a settings file", "PORT");
    options.optflag("j", "json", "print JSON");
    options.optflag("n", "dry-run", "config apply: tell what would change and send nothing");
    options.optflag("V", "version", "print the version and end");
    options.optflag("h", "help", "print this and end");
    options
}

/// Parses a command line without the program's name.
///
/// # Errors
/// If a word or an option is unknown or missing, or has a value that cannot be used.
pub fn parse(arguments: impl IntoIterator<Item = String>) -> Result<Command, CommandError> {
    let options = options();
    let matches = options.parse(arguments)?;
    if matches.opt_present("h") {
        return Ok(Command::Print(options.usage(USAGE)));
    }
    if matches.opt_present("V") {
        return Ok(Command::Print(format!("pinectl {}", env!("CARGO_PKG_VERSION"))));
    }
    let mut words = matches.free.iter().map(String::as_str);
    let is_dry_run = matches.opt_present("n");
    let action = match words.next() {
        Some("completion") => return parse_completion(words.next()),
        Some(word) => parse_action(word, &mut words, is_dry_run)?,
        None => return Err(unknown_command("")),
    };
    if let Some(word) = words.next() {
        return Err(CommandError::UnknownArgument(word.into(), "nothing more"));
    }
    if is_dry_run && !matches!(action, Action::Apply { .. }) {
        return Err(CommandError::Missing("--dry-run goes with config apply alone"));
    }
    let targets = parse_targets(&matches)?;
    let has_target = !targets.control_addresses.is_empty() || targets.settings.is_some();
    if !has_target && !matches!(action, Action::Check(_)) {
        return Err(CommandError::Missing("one of --at ADDRESS and --settings FILE is wanted"));
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
    words: &mut impl Iterator<Item = &'a str>,
    is_dry_run: bool,
) -> Result<Action, CommandError> {
    match word {
        "nodes" => Ok(Action::Nodes),
        "servers" => Ok(Action::Servers),
        "duties" => Ok(Action::Duties),
        "items" => Ok(Action::Items(words.next().map(parse_kind).transpose()?)),
        "config" => parse_config_action(words, is_dry_run),
        other => Err(unknown_command(other)),
    }
}

fn parse_config_action<'a>(
    words: &mut impl Iterator<Item = &'a str>,
    is_dry_run: bool,
) -> Result<Action, CommandError> {
    let word = words.next().unwrap_or_default();
    let mut path = || {
        let missing = CommandError::Missing("a file with the body of a call is wanted");
        words.next().map(PathBuf::from).ok_or(missing)
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
    /// The endpoints that they name. Reads the settings file, if there is one.
    ///
    /// # Errors
    /// If the settings file cannot be used, or names no seeds where no address is given.
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
                reason: "an address is wanted, or --at ADDRESS".into(),
            })));
        }
        endpoints.first_internal_port = endpoints.first_internal_port.or(Some(settings.internal_ports.0));
        Ok(endpoints)
    }
}
