//! The log of a node under test. It is read while the node runs, so that the node never waits for a full pipe, and kept
//! whole, so that a failed test can print it.

use std::fmt;
use std::io::{BufRead, BufReader, Read};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::spawn;
use std::time::{Duration, Instant};

use super::TIMEOUT;

/// What has been read so far.
#[derive(Default)]
struct Lines {
    /// The lines with their line ends, each with the time since the start of the log.
    read: Vec<(Duration, String)>,
    /// The node has closed its log.
    ended: bool,
}

/// The log of one node.
pub struct NodeLog {
    lines: Arc<(Mutex<Lines>, Condvar)>,
    /// Number of lines that the test has taken.
    taken: usize,
}

impl NodeLog {
    /// Starts to read a log.
    pub fn read(source: impl Read + Send + 'static) -> NodeLog {
        let lines: Arc<(Mutex<Lines>, Condvar)> = Arc::default();
        let shared = lines.clone();
        spawn(move || read_lines(source, &shared));
        NodeLog { lines, taken: 0 }
    }

    /// Takes the next line; panics with the whole log if there is none.
    pub fn next_line(&mut self) -> String {
        let (lock, wake) = &*self.lines;
        let pending = |lines: &mut Lines| lines.read.len() <= self.taken && !lines.ended;
        let (lines, _) = wake.wait_timeout_while(lock_lines(lock), TIMEOUT, pending).expect("no panic");
        let line = lines.read.get(self.taken).map(|(_, line)| line.clone());
        drop(lines);
        self.taken += 1;
        line.unwrap_or_else(|| panic!("the node has logged no further line:\n{self}"))
    }

    /// Whether a line, taken or not, contains this text.
    pub fn contains(&self, text: &str) -> bool {
        lock_lines(&self.lines.0).read.iter().any(|(_, line)| line.contains(text))
    }

    /// Waits until the node has closed its log; takes all lines that are left.
    pub fn rest(&mut self) -> String {
        let (lock, wake) = &*self.lines;
        let lines = wake.wait_while(lock_lines(lock), |lines| !lines.ended).expect("no panic");
        let rest = lines.read.iter().skip(self.taken).map(|(_, line)| line.as_str()).collect();
        self.taken = lines.read.len();
        rest
    }
}

impl fmt::Display for NodeLog {
    /// All lines, taken or not, with their times.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines = lock_lines(&self.lines.0);
        lines
            .read
            .iter()
            .try_for_each(|(at, line)| writeln!(f, "  {:8.3} s  {}", at.as_secs_f64(), line.trim_end()))
    }
}

fn lock_lines(lock: &Mutex<Lines>) -> MutexGuard<'_, Lines> {
    lock.lock().expect("no panic")
}

fn read_lines(source: impl Read, shared: &(Mutex<Lines>, Condvar)) {
    let (started, mut reader) = (Instant::now(), BufReader::new(source));
    let (lock, wake) = shared;
    loop {
        let mut line = Vec::new();
        let ended = reader.read_until(b'\n', &mut line).map_or(true, |length| length == 0);
        let mut lines = lock_lines(lock);
        if ended {
            lines.ended = true;
        } else {
            lines.read.push((started.elapsed(), String::from_utf8_lossy(&line).into_owned()));
        }
        drop(lines);
        wake.notify_all();
        if ended {
            return;
        }
    }
}
