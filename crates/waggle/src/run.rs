//! Carries out what the command line says.

use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bytes::Bytes;
use pinerelay_config_state::ValidationError;
use pinerelay_config_state::{Item, ItemSet};
use thiserror::Error;

use pinerelay_node_runtime::command::CommandError;

use crate::command::{self, Command, From, Job};
use crate::diff::{diff, StateChange};
use crate::look::{look, Depth, Look};
use crate::rpc::{self, RpcError};
use crate::table::{Cell, Report};
use crate::{check, views};

/// All was done.
pub const DONE: u8 = 0;
/// The configuration is invalid, or was refused.
pub const REFUSED: u8 = 1;
/// The command line can't be followed.
pub const USAGE: u8 = 2;
/// Nothing was reached, or not all.
pub const PARTIAL: u8 = 3;

/// Why a job has ended without a report.
#[derive(Debug, Error)]
pub enum RunError {
    /// The command line does not say enough, or its settings file can't be used.
    #[error(transparent)]
    Command(#[from] CommandError),
    /// The file with a call can't be read.
    #[error("{0}: {1}; the body of a config.update call is wanted")]
    File(PathBuf, std::io::Error),
    /// A call went wrong.
    #[error(transparent)]
    Rpc(#[from] RpcError),
    /// No registry answered; why, one by one.
    #[error("no registry was reached: {}", .0.join("; "))]
    Unreached(Vec<String>),
    /// The runtime did not start.
    #[error("{0}")]
    Begin(std::io::Error),
}

impl RunError {
    /// The exit code.
    pub fn code(&self) -> u8 {
        match self {
            RunError::Command(CommandError::Settings(_)) | RunError::File(..) => REFUSED,
            RunError::Command(_) => USAGE,
            RunError::Rpc(RpcError::Refused(..)) => REFUSED,
            RunError::Rpc(_) | RunError::Unreached(_) | RunError::Begin(_) => PARTIAL,
        }
    }
}

/// What is printed, and the exit code.
pub type Ended = (String, u8);

/// Follows the process's own command line.
pub fn follow() -> ExitCode {
    let fail = |error: &dyn std::fmt::Display, code: u8| {
        eprintln!("waggle: {error}");
        ExitCode::from(code)
    };
    let (job, from, json) = match command::read(std::env::args().skip(1)) {
        Ok(Command::Do { job, from, json }) => (job, from, json),
        Ok(Command::Print(text)) => return print(&format!("{}\n", text.trim_end()), DONE),
        Err(error) => return fail(&error, USAGE),
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let ended =
        runtime.map_err(RunError::Begin).and_then(|runtime| runtime.block_on(carry_out(job, &from, json)));
    match ended {
        Ok((text, code)) => print(&text, code),
        Err(error) => fail(&error, error.code()),
    }
}

fn print(text: &str, code: u8) -> ExitCode {
    // Who reads no further has had enough.
    let _ = std::io::stdout().write_all(text.as_bytes());
    ExitCode::from(code)
}

/// Does one job.
pub async fn carry_out(job: Job, from: &From, json: bool) -> Result<Ended, RunError> {
    let listed = |report: Report| {
        let code = if report.missing.is_empty() { DONE } else { PARTIAL };
        Ok((report.shown(json), code))
    };
    match job {
        Job::Nodes => listed(views::nodes(&looked(from, Depth::All).await?)),
        Job::Servers => listed(views::servers(&looked(from, Depth::Servers).await?)),
        Job::Duties => listed(views::duties(&looked(from, Depth::Registries).await?)),
        Job::Items(kind) => listed(views::items(&rpc::standing(&from.places()?.control).await?, kind)),
        Job::Read => Ok((rpc::read(&from.places()?.control).await?.body + "\n", DONE)),
        Job::Check(path) => {
            let body = file(&path)?;
            let control = from.places()?.control;
            let standing =
                if control.is_empty() { ItemSet::default() } else { rpc::standing(&control).await? };
            Ok(match check::check(&standing, &body) {
                Ok(items) if json => {
                    let said = vec![("items", Cell::Whole(items.len() as u64))];
                    (Report { tables: vec![check::table(&[])], said, ..Report::default() }.shown(true), DONE)
                }
                Ok(items) => (format!("{}: can be taken: {} items\n", path.display(), items.len()), DONE),
                Err(faults) => faulty(&faults, json),
            })
        }
        Job::Diff(path) => compare(&path, from, json, None).await,
        Job::Apply(path, dry) => compare(&path, from, json, Some(dry)).await,
    }
}

fn file(path: &Path) -> Result<Bytes, RunError> {
    std::fs::read(path).map(Bytes::from).map_err(|error| RunError::File(path.into(), error))
}

async fn looked(from: &From, depth: Depth) -> Result<Look, RunError> {
    let (seeds, port) = from.places()?.internal()?;
    let look = look(&seeds, port, depth).await;
    let reached = look.seen.values().any(Result::is_ok);
    if reached {
        Ok(look)
    } else {
        Err(RunError::Unreached(look.partial()))
    }
}

fn faulty(faults: &[ValidationError], json: bool) -> Ended {
    (Report { tables: vec![check::table(faults)], ..Report::default() }.shown(json), REFUSED)
}

/// Tells what a call would change; sends it, too, if it is to be applied and this is no dry run.
async fn compare(path: &Path, from: &From, json: bool, apply: Option<bool>) -> Result<Ended, RunError> {
    let body = file(path)?;
    let control = from.places()?.control;
    let standing = rpc::standing(&control).await?;
    let items = match check::check(&standing, &body) {
        Ok(items) => items,
        Err(faults) => return Ok(faulty(&faults, json)),
    };
    let changes = diff(&standing, &items);
    let effects = changes.iter().filter(|change| change.what.changes()).count();
    let mut report = Report { tables: vec![crate::diff::table(&changes)], ..Report::default() };
    report.said.push(("effective", Cell::Whole(effects as u64)));
    let mut code = DONE;
    if apply == Some(true) {
        report.said.push(("answer", "none: a dry run, nothing was sent".into()));
    }
    if apply == Some(false) {
        let (said, ended) = send(&control, &body, &items).await;
        if ended == PARTIAL {
            report.missing.push("no address gave a clear answer".into());
        }
        report.said.push(("answer", Cell::Text(said)));
        code = ended;
    }
    Ok((report.shown(json), code))
}

/// Sends a call; tells what came of it.
async fn send(control: &[std::net::SocketAddrV4], body: &Bytes, items: &[Item]) -> (String, u8) {
    match rpc::call(control, "config.update", body).await {
        Ok(answer) if answer.status < 300 => {
            let said = format!("{} by {}: taken", answer.status, answer.from);
            // What was dropped at a higher revision is not told, so only now it shows.
            let left: Vec<StateChange> = match rpc::standing(control).await {
                Ok(standing) => diff(&standing, items).into_iter().filter(|c| c.what.changes()).collect(),
                Err(_) => return (format!("{said}; what stands now could not be read"), DONE),
            };
            let names: Vec<&str> = left.iter().map(|change| change.key.name.as_str()).collect();
            if names.is_empty() {
                return (said, DONE);
            }
            let why = "newer words of these stand, or they were dropped at a higher revision";
            (format!("{said}, without effect on {}: {why}", names.join(", ")), DONE)
        }
        Ok(answer) => (format!("{} by {}: refused: {}", answer.status, answer.from, answer.body), REFUSED),
        Err(error) => {
            let then = "It may be in force or not: apply it again unchanged, which does no harm";
            (format!("{error}. {then}"), PARTIAL)
        }
    }
}
