//! What a process leaves for the one that takes over from it: what it has learned of the fleet, in a file.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use mountbend::memory::Memory;
use serde::{Deserialize, Serialize};

/// What is older tells of another time.
const FRESH: Duration = Duration::from_secs(5);

/// The file, and the classes by number as the writer knew them.
#[derive(Serialize, Deserialize)]
struct Left {
    classes: Vec<String>,
    memory: Memory,
}

/// Where the memory of a node is left.
pub struct Handover {
    file: PathBuf,
}

impl Handover {
    /// In this file.
    pub fn new(file: PathBuf) -> Self {
        Handover { file }
    }

    /// Leaves it, in place of what lay there.
    pub fn leave(&self, classes: Vec<String>, memory: Memory) -> io::Result<()> {
        let next = self.file.with_extension("memory-next");
        fs::write(&next, serde_json::to_vec(&Left { classes, memory })?)?;
        fs::rename(&next, &self.file)
    }

    /// What was left a moment ago, if it can be read. What it tells of classes is dropped where they have other numbers
    /// now.
    pub fn take(&self, classes: &[String]) -> Option<Memory> {
        let written = fs::metadata(&self.file).and_then(|data| data.modified()).ok()?;
        if SystemTime::now().duration_since(written).unwrap_or_default() > FRESH {
            return None;
        }
        let left: Left = match read(&self.file) {
            Ok(left) => left,
            Err(error) => {
                eprintln!("pinerelay: {}: {error}; starting without it", self.file.display());
                return None;
            }
        };
        let Left { classes: theirs, mut memory } = left;
        if theirs != classes {
            let plans = |tally: &mut Vec<(usize, f64, f64)>| tally.retain(|(kind, ..)| *kind >= theirs.len());
            plans(&mut memory.tally);
            memory.servers.iter_mut().for_each(|(_, _, tally)| plans(tally));
        }
        let sound = |value: &f64| value.is_finite() && *value >= 0.0;
        let servers = memory.servers.iter().map(|s| &s.1);
        let all = memory.latency.iter().chain(&memory.rates).chain([&memory.measured]).chain(servers);
        let counts = memory.tally.iter().chain(memory.servers.iter().flat_map(|s| &s.2));
        let usable =
            all.into_iter().all(sound) && counts.into_iter().all(|(_, n, bad)| sound(n) && sound(bad));
        (usable && memory.latency.iter().all(|&l| l > 0.0)).then_some(memory)
    }
}

fn read(file: &Path) -> io::Result<Left> {
    Ok(serde_json::from_slice(&fs::read(file)?)?)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_left_is_taken_if_it_is_whole_and_its_classes_are_the_same() {
        let file = std::env::temp_dir().join(format!("pinerelay-memory-{}", std::process::id()));
        let handover = Handover::new(file.clone());
        let classes = vec!["a".to_string(), "b".to_string()];
        assert_eq!(handover.take(&classes), None, "nothing was left");
        let memory = Memory {
            latency: [5e4, 1e4, 5e4],
            rates: [3.0, 40.0],
            measured: 9e6,
            tally: vec![(1, 9.0, 3.0), (1 << 32, 9.0, 0.0)],
            servers: vec![(7, 6e4, vec![(0, 2.0, 2.0)])],
        };
        handover.leave(classes.clone(), memory.clone()).expect("a file");
        assert_eq!(handover.take(&classes), Some(memory.clone()));
        let other = handover.take(&["a".to_string()]).expect("a memory");
        assert_eq!((other.tally.len(), other.servers[0].2.len()), (1, 0), "only what tells of plans");
        fs::write(&file, "{").expect("a file");
        assert_eq!(handover.take(&classes), None);
        let mad = Memory { latency: [0.0; 3], ..memory.clone() };
        for mad in [mad, Memory { measured: -1.0, ..memory }] {
            handover.leave(classes.clone(), mad).expect("a file");
            assert_eq!(handover.take(&classes), None);
        }
        fs::remove_file(&file).expect("a file");
    }
}
