//! The state that a process has learned about the fleet, serialised for the next process and validated before use.

use mountbend::memory::Memory;
use pinerelay_succession::held::UnixMs;
use pinerelay_succession::record::Learned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Maximum age of learned state, in milliseconds; older state no longer describes the fleet.
const MAX_AGE_MS: UnixMs = 5_000;

/// The learned state, and the class names by number in the process that wrote it.
#[derive(Serialize, Deserialize)]
struct Exported {
    classes: Vec<String>,
    memory: Memory,
}

/// Serialises the learned state for the next process.
pub fn export(classes: Vec<String>, memory: Memory) -> Value {
    // All values of these types can be written as JSON.
    serde_json::to_value(Exported { classes, memory }).unwrap_or_default()
}

/// Returns the learned state if it is fresh and valid. Tallies by class are dropped if class numbers have changed.
pub fn import(learned: Learned, classes: &[String], now: UnixMs) -> Option<Memory> {
    if now.saturating_sub(learned.at) > MAX_AGE_MS {
        return None;
    }
    let exported: Exported = match serde_json::from_value(learned.of) {
        Ok(exported) => exported,
        Err(error) => {
            eprintln!("pinerelay: succession: what was learned can't be used: {error}");
            return None;
        }
    };
    let Exported { classes: writer_classes, mut memory } = exported;
    if writer_classes != classes {
        let retain_plans =
            |tally: &mut Vec<(usize, f64, f64)>| tally.retain(|(kind, ..)| *kind >= writer_classes.len());
        retain_plans(&mut memory.tally);
        memory.servers.iter_mut().for_each(|(_, _, tally)| retain_plans(tally));
    }
    let valid = |value: &f64| value.is_finite() && *value >= 0.0;
    let servers = memory.servers.iter().map(|s| &s.1);
    let all = memory.latency.iter().chain(&memory.rates).chain([&memory.measured]).chain(servers);
    let counts = memory.tally.iter().chain(memory.servers.iter().flat_map(|s| &s.2));
    let usable = all.into_iter().all(valid) && counts.into_iter().all(|(_, n, bad)| valid(n) && valid(bad));
    (usable && memory.latency.iter().all(|&l| l > 0.0)).then_some(memory)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn learned_state_is_imported_if_fresh_and_valid_without_class_tallies_if_classes_changed() {
        let classes = vec!["a".to_string(), "b".to_string()];
        let memory = Memory {
            latency: [5e4, 1e4, 5e4],
            rates: [3.0, 40.0],
            measured: 9e6,
            tally: vec![(1, 9.0, 3.0), (1 << 32, 9.0, 0.0)],
            servers: vec![(7, 6e4, vec![(0, 2.0, 2.0)])],
        };
        let exported = |memory: &Memory| Learned { at: 1_000, of: export(classes.clone(), memory.clone()) };
        assert_eq!(import(exported(&memory), &classes, 6_000), Some(memory.clone()));
        assert_eq!(import(exported(&memory), &classes, 6_001), None, "older than the maximum age");
        let other = import(exported(&memory), &["a".to_string()], 1_000).expect("a memory");
        assert_eq!((other.tally.len(), other.servers[0].2.len()), (1, 0), "only the tallies of plans");
        assert_eq!(import(Learned { at: 1_000, of: Value::Null }, &classes, 1_000), None);
        let invalid = Memory { latency: [0.0; 3], ..memory.clone() };
        for invalid in [invalid, Memory { measured: -1.0, ..memory }] {
            assert_eq!(import(exported(&invalid), &classes, 1_000), None);
        }
    }
}
