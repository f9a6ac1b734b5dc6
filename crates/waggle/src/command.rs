//! The client's command line.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;

use getopts::Options;
use pinerelay_config_state::Kind;
use pinerelay_node_runtime::command::CommandError;
use pinerelay_node_runtime::settings::{FileError, Settings, SettingsError};

/// What the client was called for.
#[derive(Debug, PartialEq, Eq)]
pub enum Job {
    /// Lists processes.
    Nodes,
    /// Lists servers.
    Servers,
    /// Lists items of the configuration, of one kind or all.
    Items(Option<Kind>),
    /// Lists duties.
    Duties,
    /// Checks a call's body.
    Check(PathBuf),
    /// Tells what a call would change.
    Diff(PathBuf),
    /// Sends a call, or only tells what it would change.
    Apply(PathBuf, bool),
    /// Prints the configuration that stands.
    Read,
}

/// A command line.
#[derive(Debug, PartialEq, Eq)]
pub enum Command {
    /// Do this.
    Do {
        /// What.
        job: Job,
        /// Whom to ask.
        from: From,
        /// For machines.
        json: bool,
    },
    /// Print this and end.
    Print(String),
}

/// Who is asked.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct From {
    /// Control addresses.
    pub at: Vec<SocketAddrV4>,
    /// A settings file, whose seeds are asked where no address is named.
    pub settings: Option<PathBuf>,
    /// The first internal port, in place of the settings'.
    pub internal: Option<u16>,
}

/// Whom to ask, and where.
#[derive(Debug, PartialEq, Eq)]
pub struct Places {
    /// Control addresses.
    pub control: Vec<SocketAddrV4>,
    /// The first internal port, if it is known.
    pub internal: Option<u16>,
}

impl Places {
    /// The machines whose registries are asked, and the first internal port.
    pub fn internal(&self) -> Result<(Vec<Ipv4Addr>, u16), CommandError> {
        let port = self.internal.ok_or(CommandError::Missing(
            "the internal port is not known: --internal PORT or --settings FILE is wanted",
        ))?;
        Ok((self.control.iter().map(|address| *address.ip()).collect(), port))
    }
}

/// The words that a command may be.
pub const JOBS: [&str; 6] = ["nodes", "servers", "items", "duties", "config", "completion"];
/// The words after `config`.
pub const CONFIG: [&str; 4] = ["check", "diff", "apply", "read"];
/// The kinds that `items` takes.
pub const KINDS: [(&str, Kind); 4] = [
    ("routes", Kind::Route),
    ("tenants", Kind::Tenant),
    ("services", Kind::Service),
    ("limits", Kind::Limits),
];
/// The long options.
pub const OPTIONS: [&str; 7] = ["at", "settings", "internal", "json", "dry-run", "version", "help"];

const USAGE: &str =
    "waggle: shows what the gateway's processes know, and checks, compares and sends configuration
usage: waggle nodes | servers | items [KIND] | duties
       waggle config check FILE | diff FILE | apply FILE [--dry-run] | read
       waggle completion bash
Exit codes: 0 done, 1 refused or invalid, 2 a command line that can't be followed, 3 not reached or partial.";

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

/// Reads a command line without the program's name.
pub fn read(args: impl IntoIterator<Item = String>) -> Result<Command, CommandError> {
    let options = options();
    let found = options.parse(args)?;
    if found.opt_present("h") {
        return Ok(Command::Print(options.usage(USAGE)));
    }
    if found.opt_present("V") {
        return Ok(Command::Print(format!("waggle {}", env!("CARGO_PKG_VERSION"))));
    }
    let mut words = found.free.iter().map(String::as_str);
    let dry = found.opt_present("n");
    let job = match words.next() {
        Some("nodes") => Job::Nodes,
        Some("servers") => Job::Servers,
        Some("duties") => Job::Duties,
        Some("items") => Job::Items(words.next().map(kind).transpose()?),
        Some("config") => {
            let what = words.next();
            let file = |word: Option<&str>| {
                word.map(PathBuf::from)
                    .ok_or(CommandError::Missing("a file with the body of a call is wanted"))
            };
            match what {
                Some("check") => Job::Check(file(words.next())?),
                Some("diff") => Job::Diff(file(words.next())?),
                Some("apply") => Job::Apply(file(words.next())?, dry),
                Some("read") => Job::Read,
                other => {
                    let other = other.unwrap_or_default().into();
                    return Err(CommandError::UnknownArgument(
                        other,
                        "check, diff, apply or read after config",
                    ));
                }
            }
        }
        Some("completion") => match words.next() {
            Some("bash") => return Ok(Command::Print(crate::completion::bash())),
            other => {
                return Err(CommandError::UnknownArgument(
                    other.unwrap_or_default().into(),
                    "bash after completion",
                ))
            }
        },
        other => {
            let wanted = "nodes, servers, items, duties, config or completion";
            return Err(CommandError::UnknownArgument(other.unwrap_or_default().into(), wanted));
        }
    };
    if let Some(more) = words.next() {
        return Err(CommandError::UnknownArgument(more.into(), "nothing more"));
    }
    if dry && !matches!(job, Job::Apply(..)) {
        return Err(CommandError::Missing("--dry-run goes with config apply alone"));
    }
    let address = |text: String| {
        let wanted = "an IPv4 address and port";
        text.parse().map_err(|_| CommandError::InvalidValue("at", wanted, text))
    };
    let port = |text: String| {
        let port = text.parse().ok().filter(|port| *port > 0);
        port.ok_or(CommandError::InvalidValue("internal", "a port from 1 to 65535", text))
    };
    let from = From {
        at: found.opt_strs("at").into_iter().map(address).collect::<Result<_, _>>()?,
        settings: found.opt_str("settings").map(PathBuf::from),
        internal: found.opt_str("internal").map(port).transpose()?,
    };
    if from.at.is_empty() && from.settings.is_none() && !matches!(job, Job::Check(_)) {
        return Err(CommandError::Missing("one of --at ADDRESS and --settings FILE is wanted"));
    }
    Ok(Command::Do { job, from, json: found.opt_present("j") })
}

fn kind(word: &str) -> Result<Kind, CommandError> {
    let known = KINDS.iter().find(|(name, _)| *name == word || name.trim_end_matches('s') == word);
    known
        .map(|(_, kind)| *kind)
        .ok_or_else(|| CommandError::UnknownArgument(word.into(), "routes, tenants, services or limits"))
}

impl From {
    /// Whom that is; reads the settings file, if there is one.
    pub fn places(&self) -> Result<Places, CommandError> {
        let mut places = Places { control: self.at.clone(), internal: self.internal };
        if let Some(path) = &self.settings {
            let settings = Settings::read(path).map_err(SettingsError::from)?;
            if places.control.is_empty() {
                places.control = settings.seed_nodes.clone();
            }
            if places.control.is_empty() {
                return Err(CommandError::Settings(SettingsError::File(FileError::Invalid {
                    path: path.clone(),
                    key: "seed_nodes".into(),
                    reason: "an address is wanted, or --at ADDRESS".into(),
                })));
            }
            places.internal = places.internal.or(Some(settings.internal_ports.0));
        }
        Ok(places)
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    fn said(line: &str) -> std::result::Result<Command, String> {
        read(line.split_whitespace().map(String::from)).map_err(|e| e.to_string())
    }

    #[gtest]
    fn a_line_names_a_job_and_whom_to_ask() {
        let at = || From { at: vec!["127.0.0.1:9".parse().expect("an address")], ..From::default() };
        let wanted = |job, from| Ok(Command::Do { job, from, json: false });
        expect_that!(said("nodes --at 127.0.0.1:9"), eq(&wanted(Job::Nodes, at())));
        expect_that!(
            said("items tenant --at 127.0.0.1:9"),
            eq(&wanted(Job::Items(Some(Kind::Tenant)), at()))
        );
        let check = Job::Check("f".into());
        expect_that!(said("config check f"), eq(&wanted(check, From::default())));
        let apply = Job::Apply("f".into(), true);
        expect_that!(said("config apply f --dry-run --at 127.0.0.1:9"), eq(&wanted(apply, at())));
        expect_that!(said("nodes"), err(starts_with("one of --at")));
        expect_that!(said("dance"), err(starts_with("\"dance\": nodes, servers")));
        expect_that!(said(""), err(starts_with("\"\": nodes")));
        expect_that!(said("items bees --at 127.0.0.1:9"), err(starts_with("\"bees\": routes")));
        expect_that!(said("nodes now --at 127.0.0.1:9"), err(starts_with("\"now\": nothing more")));
        expect_that!(said("nodes --at me"), err(starts_with("--at: an IPv4")));
        expect_that!(said("nodes --at 127.0.0.1:9 --internal 0"), err(starts_with("--internal: a port")));
        expect_that!(said("nodes --dry-run --at 127.0.0.1:9"), err(starts_with("--dry-run")));
        expect_that!(said("config diff"), err(starts_with("a file with")));
        expect_that!(said("completion bash"), ok(matches_pattern!(Command::Print(anything()))));
        let text = options().usage("");
        for option in OPTIONS {
            expect_that!(text, contains_substring(format!("--{option}")));
        }
        let places = at().places().expect("places");
        expect_that!(places.internal().is_err(), eq(true));
    }
}
