//! The command line of the meadow.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use getopts::Options;
use thiserror::Error;
use tokio::runtime::LocalOptions;
use tokio::signal::unix::{signal, SignalKind};

use crate::field::terms;
use crate::judge::{judge, verdict, Verdict};
use crate::operator::CROWD;
use crate::play::{Play, PlayError, Troubles};
use crate::report;
use crate::site::{MACHINES, MAX_CORES, MAX_PROXIES};
use crate::soak::{self, Soak};

/// How long clients ask, in seconds: without a word, and at the least and the most.
const SECONDS: f64 = 20.0;
const SECONDS_LEAST: f64 = 6.0;
const SECONDS_MOST: f64 = 3_600.0;
/// The most tenants that may ask by turns.
const TENANTS_MOST: usize = 50_000;

const EXIT_CODES: &str = "
Exit codes:
    0  all rules were kept
    1  a rule was broken
    2  the command line can't be followed
    3  no verdict: it was cut short, could not be played, or a rule was held against nothing";

/// What the meadow was called for.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Play for so long, with these troubles besides; whether the gateway is left running then.
    Play(Duration, Troubles, bool),
    /// Print this and end.
    Print(String),
}

/// Why a command line can't be followed.
#[derive(Debug, Error)]
pub enum CommandError {
    /// It has what is not known, or lacks a value.
    #[error("{0}")]
    Odd(#[from] getopts::Fail),
    /// It has what is no option.
    #[error("{0:?} is no option; --help tells them all")]
    Free(String),
    /// The seconds are none.
    #[error("--seconds: a number from {SECONDS_LEAST} to {SECONDS_MOST} is wanted, not {0:?}")]
    Seconds(String),
    /// A soak's numbers can't be followed.
    #[error("--{0}: a number from {1} to {2} is expected, not {3:?}")]
    Number(&'static str, u64, u64, String),
    /// An option of another play comes with a soak, or one of a soak's without it.
    #[error("--soak goes with --seed, --seconds, --cores, --proxies, --tenants and --keep, and these four with nothing else")]
    Soak,
    /// The tenants are none, or too many.
    #[error("--tenants: a number from 1 to {TENANTS_MOST} is wanted, not {0:?}")]
    Tenants(String),
}

/// Reads a command line without the program's name.
pub fn read(args: impl IntoIterator<Item = String>) -> Result<Command, CommandError> {
    let mut options = Options::new();
    options.optopt("s", "seconds", "how long clients ask (20); troubles may take a little longer", "N");
    options.optflag(
        "e",
        "early",
        "servers answer long bodies on their head, keep the connection, read on later",
    );
    options.optflag("d", "herd", "all proxies are killed at once, three times, while many tenants ask");
    options.optflag("l", "disks", "the core has five machines, and two lose their disks at once");
    options.optopt("t", "tenants", "how many tenants ask by turns (300)", "N");
    options.optflag("o", "soak", "troubles drawn from a seed, in place of all others: signals, restarts, changes in series that overlap, and all processes killed at once");
    options.optopt("", "seed", "what a soak is drawn from (1)", "N");
    options.optopt("", "cores", "a soak's core machines (3)", "N");
    options.optopt("", "proxies", "a soak's proxies (3)", "N");
    options.optflag("k", "keep", "leave the gateway running at the end, and print its addresses");
    options.optflag("h", "help", "print this and end");
    let found = options.parse(args)?;
    if found.opt_present("help") {
        let job =
            "meadow: brings up a small gateway on loopback, plays troubles, and says whether its rules hold";
        let usage = options.usage(&format!("{job}\nusage: meadow [OPTIONS]"));
        return Ok(Command::Print(format!("{}\n{EXIT_CODES}", usage.trim_end())));
    }
    if let Some(free) = found.free.first() {
        return Err(CommandError::Free(free.clone()));
    }
    let seconds = match found.opt_str("seconds") {
        None => SECONDS,
        Some(text) => {
            let number = text.parse().ok().filter(|n| (SECONDS_LEAST..=SECONDS_MOST).contains(n));
            number.ok_or(CommandError::Seconds(text))?
        }
    };
    let tenants = match found.opt_str("tenants") {
        None => CROWD,
        Some(text) => {
            let number = text.parse().ok().filter(|n| (1..=TENANTS_MOST).contains(n));
            number.ok_or(CommandError::Tenants(text))?
        }
    };
    let troubles = Troubles {
        tenants,
        early: found.opt_present("early"),
        herd: found.opt_present("herd"),
        disks: found.opt_present("disks"),
        soak: read_soak(&found)?,
    };
    Ok(Command::Play(Duration::from_secs_f64(seconds), troubles, found.opt_present("keep")))
}

/// Reads the options of a soak.
fn read_soak(found: &getopts::Matches) -> Result<Option<Soak>, CommandError> {
    let own = ["seed", "cores", "proxies"];
    let others = ["early", "herd", "disks"];
    let any = |names: &[&str]| names.iter().any(|name| found.opt_present(name));
    let is_soak = found.opt_present("soak");
    if is_soak && any(&others) || !is_soak && any(&own) {
        return Err(CommandError::Soak);
    }
    let number = |name: &'static str, without: u64, least: u64, most: u64| match found.opt_str(name) {
        None => Ok(without),
        Some(text) => {
            let number = text.parse().ok().filter(|n| (least..=most).contains(n));
            number.ok_or(CommandError::Number(name, least, most, text))
        }
    };
    let machines = MACHINES as u64;
    let soak = Soak {
        seed: number("seed", 1, 0, u64::MAX)?,
        cores: number("cores", machines, machines, MAX_CORES as u64)? as usize,
        proxies: number("proxies", machines, machines, MAX_PROXIES as u64)? as usize,
    };
    Ok(is_soak.then_some(soak))
}

/// Follows a command line.
pub fn main(args: impl IntoIterator<Item = String>) -> ExitCode {
    let (length, troubles, keep) = match read(args) {
        Ok(Command::Play(length, troubles, keep)) => (length, troubles, keep),
        Ok(Command::Print(text)) => {
            println!("{text}");
            return 0.into();
        }
        Err(error) => {
            eprintln!("meadow: {error}");
            return 2.into();
        }
    };
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().build_local(LocalOptions::default());
    let played = runtime
        .map_err(PlayError::Server)
        .and_then(|runtime| runtime.block_on(follow(length, troubles, keep)));
    match played {
        Ok(Some(Verdict::Kept)) => 0.into(),
        Ok(Some(Verdict::Broken)) => 1.into(),
        Ok(Some(Verdict::Unproven)) => 3.into(),
        Ok(None) => {
            eprintln!("meadow: cut short");
            3.into()
        }
        Err(error) => {
            eprintln!("meadow: {error}");
            3.into()
        }
    }
}

/// Plays, unless it is told to end before; its processes end with it.
async fn follow(length: Duration, troubles: Troubles, keep: bool) -> Result<Option<Verdict>, PlayError> {
    let (mut interrupt, mut terminate) = (signal(SignalKind::interrupt())?, signal(SignalKind::terminate())?);
    let cut = async {
        tokio::select! {
            _ = interrupt.recv() => {}
            _ = terminate.recv() => {}
        }
    };
    tokio::pin!(cut);
    let programs = std::env::current_exe()?.parent().map(PathBuf::from).unwrap_or_default();
    let mut play = tokio::select! {
        play = Play::begin(programs, troubles) => play?,
        () = &mut cut => return Ok(None),
    };
    println!("logs and settings are in {}\n", play.site.folder().display());
    if let Some(soak) = troubles.soak {
        println!("{}", soak::draw(soak, length));
    }
    tokio::select! {
        played = play.run(length, troubles) => played?,
        () = &mut cut => return Ok(None),
    }
    let terms = terms(troubles);
    let findings = judge(&play.field.records.borrow(), &terms);
    let verdict = verdict(&findings);
    print!("{}", report::write(&play.field, &findings, &terms));
    if keep {
        println!("\nStill running, until Ctrl-C:\n\n{}", play.addresses());
        cut.await;
    }
    let folder = (verdict == Verdict::Kept).then(|| play.site.folder().to_path_buf());
    drop(play);
    if let Some(folder) = folder {
        // What can't be removed lies under the system's folder for passing things.
        let _ = std::fs::remove_dir_all(folder);
    }
    Ok(Some(verdict))
}

#[cfg(test)]
mod tests;
