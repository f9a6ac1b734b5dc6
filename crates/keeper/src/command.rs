//! The exporter's command line.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::PathBuf;
use std::process::ExitCode;

use getopts::Options;
use pinerelay_node_runtime::command::{log_level, CommandError};
use pinerelay_node_runtime::internal_port;
use pinerelay_node_runtime::logs::{self, Level};
use pinerelay_node_runtime::settings::{FileError, Settings};

use crate::rules::{self, Rule};
use crate::run;

/// What the exporter was called for.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Run.
    Run {
        /// Where the figures are served.
        listen: SocketAddr,
        /// Who tells of registries.
        from: From,
        /// The file of alert rules.
        rules: Option<PathBuf>,
        /// What is logged.
        level: Level,
    },
    /// Check this file of alert rules and end.
    Check(PathBuf),
    /// Print this and end.
    Print(String),
}

/// Who tells of registries.
#[derive(Debug, PartialEq)]
pub enum From {
    /// A settings file, with its seeds.
    Settings(PathBuf),
    /// Their addresses.
    At(Vec<SocketAddrV4>),
}

/// Reads a command line without the program's name.
pub fn read(args: impl IntoIterator<Item = String>) -> Result<Command, CommandError> {
    let mut options = Options::new();
    options.optopt("", "listen", "where the figures are served, at /metrics", "ADDRESS");
    options.optopt("s", "settings", "a settings file, whose seeds are asked for all others", "FILE");
    options.optmulti("", "at", "a registry's internal address, in place of a settings file", "ADDRESS");
    options.optopt("r", "rules", "the alert rules; without them, figures are asked for when read", "FILE");
    options.optopt("c", "check", "check a file of alert rules and end: 0 if it can be used, else 1", "FILE");
    options.optopt("l", "log", "what is logged: error, warn, info (default) or debug", "LEVEL");
    options.optflag("V", "version", "print the version and end");
    options.optflag("h", "help", "print this and end");
    let found = options.parse(args)?;
    if found.opt_present("h") {
        let usage = "keeper: serves the figures of all processes, and tells by rules what is wrong\n\
                     usage: keeper --listen ADDRESS (--settings FILE | --at ADDRESS...) [OPTIONS]";
        return Ok(Command::Print(options.usage(usage)));
    }
    if found.opt_present("V") {
        return Ok(Command::Print(format!("keeper {}", env!("CARGO_PKG_VERSION"))));
    }
    if let Some(free) = found.free.first() {
        return Err(CommandError::UnexpectedArgument(free.clone()));
    }
    if let Some(path) = found.opt_str("c") {
        return Ok(Command::Check(path.into()));
    }
    let level = log_level(&found)?;
    let listen = found.opt_str("listen").ok_or(CommandError::Missing("--listen ADDRESS is wanted"))?;
    let listen = listen
        .parse()
        .map_err(|_| CommandError::InvalidValue("listen", "an address and port", listen.clone()))?;
    let unfit = |text: &String| CommandError::InvalidValue("at", "an IPv4 address and port", text.clone());
    let at = found.opt_strs("at");
    let at: Result<Vec<SocketAddrV4>, _> =
        at.iter().map(|text| text.parse().map_err(|_| unfit(text))).collect();
    let at = at?;
    if let Some(other) = at.iter().find(|address| address.port() != at[0].port()) {
        return Err(CommandError::InvalidValue("at", "the same port for all", other.to_string()));
    }
    let from = match (found.opt_str("s"), at.is_empty()) {
        (Some(path), true) => From::Settings(path.into()),
        (None, false) => From::At(at),
        _ => return Err(CommandError::Missing("one of --settings FILE and --at ADDRESS is wanted")),
    };
    Ok(Command::Run { listen, from, rules: found.opt_str("r").map(PathBuf::from), level })
}

/// The registries that are asked first, and the first of the internal ports.
fn seeds(from: From) -> Result<(Vec<Ipv4Addr>, u16), FileError> {
    Ok(match from {
        From::At(at) => {
            let first = at.first().map_or(0, |address| address.port());
            (at.iter().map(|address| *address.ip()).collect(), first.saturating_sub(internal_port::REGISTRY))
        }
        From::Settings(path) => {
            let settings = Settings::read(&path)?;
            (settings.seeds(), settings.internal_ports.0)
        }
    })
}

/// Follows the process's own command line. Exit codes: 0 for a planned end or a file that can be used, 1 for a file that
/// can't or an address that is taken, 2 for a command line that can't be followed.
pub fn follow() -> ExitCode {
    let fail = |error: &dyn std::fmt::Display, code: u8| {
        eprintln!("keeper: {error}");
        ExitCode::from(code)
    };
    let (listen, from, file, level) = match read(std::env::args().skip(1)) {
        Ok(Command::Run { listen, from, rules, level }) => (listen, from, rules, level),
        Ok(Command::Check(path)) => {
            return match rules::read(&path) {
                Ok(rules) => {
                    println!("{}: can be used: {} rules", path.display(), rules.len());
                    0.into()
                }
                Err(error) => fail(&error, 1),
            };
        }
        Ok(Command::Print(text)) => {
            println!("{}", text.trim_end());
            return 0.into();
        }
        Err(error) => return fail(&error, 2),
    };
    let rules: Result<Vec<Rule>, FileError> = file.as_deref().map_or(Ok(Vec::new()), rules::read);
    let rules = match rules {
        Ok(rules) => rules,
        Err(error) => return fail(&error, 1),
    };
    let (seeds, port) = match seeds(from) {
        Ok(seeds) => seeds,
        Err(error) => return fail(&error, 1),
    };
    logs::start(level);
    match run::run(listen, seeds, port, rules) {
        Ok(()) => 0.into(),
        Err(error) => fail(&error, 1),
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
    fn a_line_names_where_to_listen_and_whom_to_ask() {
        let run = |from, rules: Option<&str>| Command::Run {
            listen: "127.0.0.1:9".parse().expect("an address"),
            from,
            rules: rules.map(PathBuf::from),
            level: Level::Info,
        };
        let at = From::At(vec!["127.0.0.2:7".parse().expect("an address")]);
        expect_that!(said("--listen 127.0.0.1:9 --at 127.0.0.2:7"), eq(&Ok(run(at, None))));
        let settings = From::Settings("s.toml".into());
        expect_that!(
            said("--listen=127.0.0.1:9 -s s.toml -r r.toml"),
            eq(&Ok(run(settings, Some("r.toml"))))
        );
        expect_that!(said("--check r.toml"), eq(&Ok(Command::Check("r.toml".into()))));
        expect_that!(said("--at 127.0.0.2:7"), err(starts_with("--listen ADDRESS")));
        expect_that!(said("--listen here --at 127.0.0.2:7"), err(starts_with("--listen: an address")));
        expect_that!(said("--listen 127.0.0.1:9"), err(starts_with("one of --settings")));
        expect_that!(
            said("--listen 127.0.0.1:9 --at 127.0.0.2:7 -s s"),
            err(starts_with("one of --settings"))
        );
        expect_that!(said("--listen 127.0.0.1:9 --at me"), err(starts_with("--at: an IPv4")));
        let two = said("--listen 127.0.0.1:9 --at 127.0.0.2:7 --at 127.0.0.3:8");
        expect_that!(two, err(contains_substring("the same port")));
        expect_that!(said("now"), err(starts_with("\"now\" is no option")));
        expect_that!(said("-h"), ok(matches_pattern!(Command::Print(contains_substring("--rules")))));
    }
}
