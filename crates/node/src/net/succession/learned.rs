//! What a process has learned of the fleet, in the form in which it goes to the next one: checked before it is used.

use mountbend::memory::Memory;
use pinerelay_succession::held::UnixMs;
use pinerelay_succession::record::Learned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// What is older tells of another time, in milliseconds.
const FRESH: UnixMs = 5_000;

/// What was learned, and the classes by number as the writer knew them.
#[derive(Serialize, Deserialize)]
struct Left {
    classes: Vec<String>,
    memory: Memory,
}

/// As it is kept for the next process.
pub fn leave(classes: Vec<String>, memory: Memory) -> Value {
    // Of these types nothing can't be written as JSON.
    serde_json::to_value(Left { classes, memory }).unwrap_or_default()
}

/// What was learned a moment ago, if it can be used. What it tells of classes is dropped where they have other numbers now.
pub fn take(learned: Learned, classes: &[String], now: UnixMs) -> Option<Memory> {
    if now.saturating_sub(learned.at) > FRESH {
        return None;
    }
    let left: Left = match serde_json::from_value(learned.of) {
        Ok(left) => left,
        Err(error) => {
            eprintln!("pinerelay: succession: what was learned can't be used: {error}");
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
    let usable = all.into_iter().all(sound) && counts.into_iter().all(|(_, n, bad)| sound(n) && sound(bad));
    (usable && memory.latency.iter().all(|&l| l > 0.0)).then_some(memory)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_left_is_taken_if_it_is_fresh_and_whole_and_its_classes_are_the_same() {
        let classes = vec!["a".to_string(), "b".to_string()];
        let memory = Memory {
            latency: [5e4, 1e4, 5e4],
            rates: [3.0, 40.0],
            measured: 9e6,
            tally: vec![(1, 9.0, 3.0), (1 << 32, 9.0, 0.0)],
            servers: vec![(7, 6e4, vec![(0, 2.0, 2.0)])],
        };
        let left = |memory: &Memory| Learned { at: 1_000, of: leave(classes.clone(), memory.clone()) };
        assert_eq!(take(left(&memory), &classes, 6_000), Some(memory.clone()));
        assert_eq!(take(left(&memory), &classes, 6_001), None, "it tells of another time");
        let other = take(left(&memory), &["a".to_string()], 1_000).expect("a memory");
        assert_eq!((other.tally.len(), other.servers[0].2.len()), (1, 0), "only what tells of plans");
        assert_eq!(take(Learned { at: 1_000, of: Value::Null }, &classes, 1_000), None);
        let mad = Memory { latency: [0.0; 3], ..memory.clone() };
        for mad in [mad, Memory { measured: -1.0, ..memory }] {
            assert_eq!(take(left(&mad), &classes, 1_000), None);
        }
    }
}
