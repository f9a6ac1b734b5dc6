//! Plays inputs in processes of their own: one that ends by a signal is a find, and the input that ended it is searched for
//! by halves.

use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Command, Stdio};

use thiserror::Error;

/// A part of a run.
#[derive(Debug, Clone, Copy)]
pub struct Chunk<'a> {
    /// The reader's name.
    pub reader: &'a str,
    /// The run's seed.
    pub run: u64,
    /// The first case.
    pub from: u64,
    /// The one after the last.
    pub to: u64,
}

/// Why a process can't be played in.
#[derive(Debug, Error)]
pub enum ApartError {
    /// It does not start, or its output can't be read.
    #[error(transparent)]
    Process(#[from] std::io::Error),
}

/// The option that makes the program a child that plays one chunk.
pub const CHILD: &str = "child";

/// Plays a chunk in a child of this program, and gives each line that tells of a find to `found`.
pub fn play(program: &Path, chunk: Chunk, found: &mut impl FnMut(String)) -> Result<(), ApartError> {
    let mut child = Command::new(program)
        .arg(format!("--{CHILD}"))
        .args(["--reader", chunk.reader])
        .args(["--seed", &chunk.run.to_string()])
        .args(["--from", &chunk.from.to_string()])
        .args(["--cases", &(chunk.to - chunk.from).to_string()])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()?;
    if let Some(out) = child.stdout.take() {
        let lines = BufReader::new(out).lines();
        for line in lines {
            found(line?);
        }
    }
    let ended = child.wait()?;
    if ended.code().is_some() {
        return Ok(());
    }
    if chunk.to - chunk.from == 1 {
        let seed = crate::run::seed_of(chunk.run, chunk.from);
        found(format!("{}: seed {seed}: the process ended: {ended}", chunk.reader));
        return Ok(());
    }
    let middle = chunk.from + (chunk.to - chunk.from) / 2;
    play(program, Chunk { to: middle, ..chunk }, found)?;
    play(program, Chunk { from: middle, ..chunk }, found)
}
