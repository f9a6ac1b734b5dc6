//! Executes a parsed command line.

use std::io::Write;
use std::net::SocketAddrV4;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bytes::Bytes;
use pinerelay_config_state::{Item, ItemSet, ValidationError};
use pinerelay_node_runtime::command::CommandError;
use thiserror::Error;

use crate::command::{self, Action, Command, Invocation, TargetOptions};
use crate::control_client::{self, ControlError};
use crate::diff::{diff, table, ItemChange};
use crate::report::{Cell, NamedValue, Report};
use crate::snapshot::{take_snapshot, Scope, Snapshot};
use crate::{check, completion, listings};

/// The result of an invocation; the discriminant is the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum ExitStatus {
    /// The action was completed.
    Done = 0,
    /// The configuration is invalid, or was rejected.
    Rejected = 1,
    /// The command line cannot be parsed.
    Usage = 2,
    /// Some or all processes were unreachable, or no answer was definite.
    Partial = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}

/// Why an action failed without a report.
#[derive(Debug, Error)]
pub enum ExecuteError {
    /// The command line is incomplete, or its settings file is invalid.
    #[error(transparent)]
    Command(#[from] CommandError),
    /// The file with the body of a call cannot be read.
    #[error("{path}: {error}; expected a file with the body of a config.update call")]
    File {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// A call has failed.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// No process has answered; the reason for each registry.
    #[error("no registry was reached: {}", .0.join("; "))]
    Unreached(Vec<String>),
    /// The runtime did not start.
    #[error("{0}")]
    Runtime(std::io::Error),
}

impl ExecuteError {
    /// Returns the exit status for this error.
    pub fn status(&self) -> ExitStatus {
        match self {
            ExecuteError::Command(CommandError::Settings(_)) | ExecuteError::File { .. } => {
                ExitStatus::Rejected
            }
            ExecuteError::Command(_) => ExitStatus::Usage,
            ExecuteError::Control(ControlError::Rejected { .. }) => ExitStatus::Rejected,
            ExecuteError::Control(_) | ExecuteError::Unreached(_) | ExecuteError::Runtime(_) => {
                ExitStatus::Partial
            }
        }
    }
}

/// The output and exit status of an invocation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outcome {
    /// The text for standard output.
    pub text: String,
    /// The exit status.
    pub status: ExitStatus,
}

/// Entry point: parses and executes the command line of the process.
pub fn main() -> ExitCode {
    let invocation = match command::parse(std::env::args().skip(1)) {
        Ok(Command::Execute(invocation)) => invocation,
        Ok(Command::Print(text)) => {
            print(&format!("{}\n", text.trim_end()));
            return ExitStatus::Done.into();
        }
        Ok(Command::PrintCompletion) => {
            print(&completion::bash());
            return ExitStatus::Done.into();
        }
        Err(error) => {
            eprintln!("pinectl: {error}");
            return ExitStatus::Usage.into();
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let result =
        runtime.map_err(ExecuteError::Runtime).and_then(|runtime| runtime.block_on(execute(&invocation)));
    match result {
        Ok(Outcome { text, status }) => {
            print(&text);
            status.into()
        }
        Err(error) => {
            eprintln!("pinectl: {error}");
            error.status().into()
        }
    }
}

fn print(text: &str) {
    // A closed pipe is not an error: the reader needs no more output.
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Executes one invocation.
///
/// # Errors
/// If the action fails without a report.
pub async fn execute(invocation: &Invocation) -> Result<Outcome, ExecuteError> {
    let Invocation { action, targets, as_json } = invocation;
    let as_json = *as_json;
    let report = match action {
        Action::Nodes => listings::nodes(&snapshot(targets, Scope::All).await?),
        Action::Servers => listings::servers(&snapshot(targets, Scope::Servers).await?),
        Action::Duties => listings::duties(&snapshot(targets, Scope::Registries).await?),
        Action::Items(kind) => listings::items(&read_items(targets).await?, *kind),
        Action::Read => return read(targets).await,
        Action::Check(path) => return check(path, targets, as_json).await,
        Action::Diff(path) => return compare(path, targets, as_json, Sending::None).await,
        Action::Apply { path, is_dry_run } => {
            let sending = if *is_dry_run { Sending::DryRun } else { Sending::Send };
            return compare(path, targets, as_json, sending).await;
        }
    };
    let status = if report.missing.is_empty() { ExitStatus::Done } else { ExitStatus::Partial };
    Ok(Outcome { text: report.render(as_json), status })
}

fn read_file(path: &Path) -> Result<Bytes, ExecuteError> {
    std::fs::read(path).map(Bytes::from).map_err(|error| ExecuteError::File { path: path.into(), error })
}

async fn snapshot(targets: &TargetOptions, scope: Scope) -> Result<Snapshot, ExecuteError> {
    let endpoints = targets.resolve()?.internal()?;
    let snapshot = take_snapshot(&endpoints, scope).await;
    if snapshot.answers.values().any(Result::is_ok) {
        Ok(snapshot)
    } else {
        Err(ExecuteError::Unreached(snapshot.gaps()))
    }
}

async fn read_items(targets: &TargetOptions) -> Result<ItemSet, ExecuteError> {
    Ok(control_client::read_items(&targets.resolve()?.control).await?)
}

async fn read(targets: &TargetOptions) -> Result<Outcome, ExecuteError> {
    let answer = control_client::read(&targets.resolve()?.control).await?;
    Ok(Outcome { text: answer.body + "\n", status: ExitStatus::Done })
}

/// Validates a call, against the current configuration if a control address is given.
async fn check(path: &Path, targets: &TargetOptions, as_json: bool) -> Result<Outcome, ExecuteError> {
    let body = read_file(path)?;
    let control = targets.resolve()?.control;
    let current =
        if control.is_empty() { ItemSet::default() } else { control_client::read_items(&control).await? };
    let items = match check::check(&current, &body) {
        Ok(items) => items,
        Err(errors) => return Ok(invalid(&errors, as_json)),
    };
    let text = if as_json {
        let values = vec![NamedValue { name: "items", value: Cell::Integer(items.len() as u64) }];
        Report { tables: vec![check::table(&[])], values, ..Report::default() }.render(as_json)
    } else {
        format!("{}: valid: {} items\n", path.display(), items.len())
    };
    Ok(Outcome { text, status: ExitStatus::Done })
}

fn invalid(errors: &[ValidationError], as_json: bool) -> Outcome {
    let report = Report { tables: vec![check::table(errors)], ..Report::default() };
    Outcome { text: report.render(as_json), status: ExitStatus::Rejected }
}

/// What happens to a call after its changes were computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Sending {
    /// Only the changes are shown (`config diff`).
    None,
    /// The call is not sent because of `--dry-run`.
    DryRun,
    /// The call is sent.
    Send,
}

/// Reports what a call would change, and sends it if `sending` says so.
async fn compare(
    path: &Path,
    targets: &TargetOptions,
    as_json: bool,
    sending: Sending,
) -> Result<Outcome, ExecuteError> {
    let body = read_file(path)?;
    let control = targets.resolve()?.control;
    let current = control_client::read_items(&control).await?;
    let items = match check::check(&current, &body) {
        Ok(items) => items,
        Err(errors) => return Ok(invalid(&errors, as_json)),
    };
    let changes = diff(&current, &items);
    let effective = effective_changes(&changes).count() as u64;
    let mut report = Report { tables: vec![table(&changes)], ..Report::default() };
    report.values.push(NamedValue { name: "effective", value: Cell::Integer(effective) });
    let mut status = ExitStatus::Done;
    let answer = match sending {
        Sending::None => None,
        Sending::DryRun => Some("none: a dry run, nothing was sent".into()),
        Sending::Send => {
            let sent = send(&control, &body, &items).await;
            status = sent.status;
            Some(sent.text)
        }
    };
    if status == ExitStatus::Partial {
        report.missing.push("no address gave a definite answer".into());
    }
    report.values.extend(answer.map(|text| NamedValue { name: "answer", value: Cell::Text(text) }));
    Ok(Outcome { text: report.render(as_json), status })
}

fn effective_changes(changes: &[ItemChange]) -> impl Iterator<Item = &ItemChange> {
    changes.iter().filter(|change| change.effect.changes_configuration())
}

/// Sends a call and describes the answer.
async fn send(control: &[SocketAddrV4], body: &Bytes, items: &[Item]) -> Outcome {
    match control_client::call(control, "config.update", body).await {
        Ok(answer) if answer.status < 300 => {
            let accepted = format!("{} by {}: accepted", answer.status, answer.from);
            Outcome { text: describe_effect(accepted, control, items).await, status: ExitStatus::Done }
        }
        Ok(answer) => Outcome {
            text: format!("{} by {}: rejected: {}", answer.status, answer.from, answer.body),
            status: ExitStatus::Rejected,
        },
        Err(error) => Outcome {
            text: format!("{error}. The call may have taken effect: apply it again unchanged, which is safe"),
            status: ExitStatus::Partial,
        },
    }
}

/// Appends the items on which an accepted call had no effect. That an item was removed at a higher revision is only detected
/// after the call, because no call returns tombstones.
async fn describe_effect(accepted: String, control: &[SocketAddrV4], items: &[Item]) -> String {
    let Ok(current) = control_client::read_items(control).await else {
        return format!("{accepted}; the configuration could not be read afterwards");
    };
    let changes = diff(&current, items);
    let names: Vec<&str> = effective_changes(&changes).map(|change| change.key.name.as_str()).collect();
    if names.is_empty() {
        return accepted;
    }
    let reason = "newer revisions of these exist, or they were removed at a higher revision";
    format!("{accepted}, without effect on {}: {reason}", names.join(", "))
}
