//! The command line: run the node, or check files without opening a socket.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::config::{Config, StartError};
use crate::operator::Operator;
use crate::run::run;

/// One edge node. Without a command it runs until SIGTERM; SIGHUP reads the configuration again.
#[derive(Parser)]
#[command(name = "pinerelay", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Option<Command>,
    /// The configuration that the platform wrote; else the file that PROXY_CONFIG names
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operator's own settings; else the file that PINERELAY_OPERATOR names, if any
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
}

#[derive(Subcommand)]
enum Command {
    /// Validate files without opening a socket: *.toml as an operator's file, all else as a configuration
    Check {
        /// The files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
}

/// Runs a command line; its first argument is the program's name. Exits with 0, with 1 if the node can't
/// start or a file is not valid, and with 2 if the command line can't be parsed.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let cli = match Cli::try_parse_from(arguments) {
        Ok(cli) => cli,
        Err(error) => {
            // There is no way to report that the message can't be written.
            let _ = error.print();
            return if error.use_stderr() { ExitCode::from(2) } else { ExitCode::SUCCESS };
        }
    };
    let path_or_variable =
        |flag: Option<PathBuf>, variable| flag.or_else(|| std::env::var_os(variable).map(PathBuf::from));
    let result = match cli.command {
        Some(Command::Check { files }) => return check_all(&files),
        None => path_or_variable(cli.config, "PROXY_CONFIG")
            .ok_or(StartError::NoConfig)
            .and_then(|config| run(config, path_or_variable(cli.operator, "PINERELAY_OPERATOR"))),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("pinerelay: {error}");
            ExitCode::FAILURE
        }
    }
}

fn check_all(files: &[PathBuf]) -> ExitCode {
    let mut code = ExitCode::SUCCESS;
    for file in files {
        let faults = faults_of(file);
        if faults.is_empty() {
            println!("{}: valid", file.display());
        }
        for fault in faults {
            code = ExitCode::FAILURE;
            eprintln!("pinerelay: {fault}");
        }
    }
    code
}

/// All faults of a file, one line each.
fn faults_of(file: &Path) -> Vec<String> {
    if file.extension().is_some_and(|e| e == "toml") {
        return Operator::read(file).err().iter().map(ToString::to_string).collect();
    }
    match Config::read(file) {
        Ok(config) => config.faults().into_iter().map(|f| format!("{}: {f}", file.display())).collect(),
        Err(error) => vec![error.to_string()],
    }
}
