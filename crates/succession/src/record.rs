//! What one process tells the others: a record, written as lines that each carry a checksum, and read whatever has happened
//! to them.
//!
//! A line is the CRC-32 (IEEE 802.3) of the rest in eight hexadecimal digits, a space, and one entry as JSON. The first entry
//! tells the version and how many follow. A line that does not fit its checksum is passed over alone. Rules for change:
//! kinds of entries may be added in any version, and a reader passes over those it does not know; the entry `held` keeps
//! its form for ever, so that no version lets back what another holds out; any other change is a new version.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::claims::Claim;
use crate::held::{HeldOut, Mark, UnixMs};

/// The version that is written.
pub const VERSION: u32 = 1;

/// Where a process is in its life, as the others have to know it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It does not take clients yet.
    Coming,
    /// It takes clients.
    Serves,
    /// It stops.
    Leaves,
}

/// A process's own life, told to the others.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Life {
    /// The process's number.
    pub process: u32,
    /// Where it is in its life.
    pub standing: Standing,
    /// The descriptors it claims.
    pub descriptors: usize,
}

impl Life {
    /// What it claims.
    pub fn claim(&self) -> Claim {
        Claim { most: self.descriptors, leaves: self.standing == Standing::Leaves }
    }
}

/// What a process has learned of the fleet, for the one that follows.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// When it was written.
    pub at: UnixMs,
    /// What it is; the node knows its form.
    pub of: Value,
}

/// All that a process tells.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// Its life.
    pub life: Life,
    /// Who it knows to be held out.
    pub held: HeldOut,
    /// What it has learned.
    pub learned: Option<Learned>,
}

#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Entry {
    Record { version: u32, lines: usize },
    Life(Life),
    Held { name: String, mark: Mark },
    Learned(Learned),
}

/// What is wrong with a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Flaw {
    /// It holds nothing.
    Empty,
    /// It is no record: no line of it is one of ours.
    Foreign,
    /// It is of another version; what it holds out counts all the same.
    Version(u32),
    /// So many lines can't be read, or are missing.
    Lines(usize),
}

impl std::fmt::Display for Flaw {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Flaw::Empty => f.write_str("it is empty"),
            Flaw::Foreign => f.write_str("it is no record of a process"),
            Flaw::Version(n) => write!(f, "it is of version {n}, and {VERSION} is read here"),
            Flaw::Lines(n) => write!(f, "{n} of its lines are missing or damaged"),
        }
    }
}

/// What could be read of a record.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reading {
    /// Its life, if that line is whole.
    pub life: Option<Life>,
    /// Who it knows to be held out, as far as it can be read.
    pub held: HeldOut,
    /// What it has learned, if that line is whole.
    pub learned: Option<Learned>,
    /// What is wrong with it.
    pub flaw: Option<Flaw>,
}

impl Record {
    /// As it is written.
    pub fn encode(&self) -> Vec<u8> {
        let held = self.held.marks().map(|(name, mark)| Entry::Held { name: name.into(), mark });
        let mut entries = vec![Entry::Life(self.life)];
        entries.extend(held);
        entries.extend(self.learned.clone().map(Entry::Learned));
        lines(entries)
    }

    /// Who is held out, alone: what a second copy holds.
    pub fn encode_held(&self) -> Vec<u8> {
        lines(self.held.marks().map(|(name, mark)| Entry::Held { name: name.into(), mark }).collect())
    }
}

fn lines(entries: Vec<Entry>) -> Vec<u8> {
    let mut out = Vec::new();
    let first = Entry::Record { version: VERSION, lines: entries.len() };
    for entry in std::iter::once(first).chain(entries) {
        // Of these types nothing can't be written as JSON.
        let text = serde_json::to_string(&entry).unwrap_or_default();
        out.extend_from_slice(format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes())).as_bytes());
    }
    out
}

fn text_of(line: &[u8]) -> Option<&[u8]> {
    let (sum, rest) = line.split_at_checked(8)?;
    let sum = u32::from_str_radix(std::str::from_utf8(sum).ok()?, 16).ok()?;
    let text = rest.strip_prefix(b" ")?;
    (crc32fast::hash(text) == sum).then_some(text)
}

impl Reading {
    /// Reads what is there, however much that is.
    pub fn of(bytes: &[u8]) -> Reading {
        let mut reading = Reading::default();
        let (mut version, mut wanted, mut whole, mut spoilt) = (None, None, 0, 0);
        for line in bytes.split(|&b| b == b'\n').filter(|line| !line.is_empty()) {
            let Some(text) = text_of(line) else {
                spoilt += 1;
                continue;
            };
            whole += 1;
            // A whole line that is no entry known here is of a later version.
            match serde_json::from_slice(text) {
                Ok(Entry::Record { version: v, lines }) => (version, wanted) = (Some(v), Some(lines)),
                Ok(Entry::Life(life)) => reading.life = Some(life),
                Ok(Entry::Held { name, mark }) => drop(reading.held.take(&name, mark)),
                Ok(Entry::Learned(learned)) => reading.learned = Some(learned),
                Err(_) => {}
            }
        }
        let missing = match wanted {
            Some(lines) => (lines + 1).saturating_sub(whole).max(spoilt),
            // Its first line is gone, and with it how many there were.
            None => spoilt.max(1),
        };
        reading.flaw = match (whole, version) {
            (0, _) if bytes.is_empty() => Some(Flaw::Empty),
            (0, _) => Some(Flaw::Foreign),
            (_, Some(v)) if v != VERSION => Some(Flaw::Version(v)),
            _ if missing > 0 => Some(Flaw::Lines(missing)),
            _ => None,
        };
        if matches!(reading.flaw, Some(Flaw::Version(_))) {
            (reading.life, reading.learned) = (None, None);
        }
        reading
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::held::Call;
    use proptest::prelude::*;
    use serde_json::json;

    fn record(names: &[&str]) -> Record {
        let mut held = HeldOut::default();
        for name in names {
            held.call(name, Call::Exclude, 5, false);
        }
        Record {
            life: Life { process: 7, standing: Standing::Serves, descriptors: 192 },
            held,
            learned: Some(Learned { at: 9, of: json!({"classes": ["a"], "memory": [1.5]}) }),
        }
    }

    #[test]
    fn a_record_is_read_as_it_was_written_whatever_the_names() {
        let told = record(&["s-1", "with space", "with\nline", "\u{fc}"]);
        let read = Reading::of(&told.encode());
        assert_eq!(read.flaw, None);
        assert_eq!(
            (read.life, &read.held, read.learned),
            (Some(told.life), &told.held, told.learned.clone())
        );
        assert_eq!(Reading::of(&told.encode_held()), Reading { held: told.held, ..Reading::default() });
    }

    #[test]
    fn each_flaw_is_told_and_what_is_whole_counts() {
        let whole = record(&["s-1", "s-2"]).encode();
        assert_eq!(Reading::of(b"").flaw, Some(Flaw::Empty));
        assert_eq!(Reading::of(b"out 5 s-1\nnonsense\n").flaw, Some(Flaw::Foreign));
        assert_eq!(Reading::of(&[0xff, 0xfe, b'\n', 0]).flaw, Some(Flaw::Foreign));
        let mut spoilt = whole.clone();
        let at = whole.windows(3).position(|w| w == b"s-1").expect("a name");
        spoilt[at] = b'x';
        let read = Reading::of(&spoilt);
        assert_eq!(read.flaw, Some(Flaw::Lines(1)));
        assert!(read.held.holds("s-2") && !read.held.holds("s-1") && read.life.is_some());
        let half = Reading::of(&whole[..at + 40]);
        assert!(matches!(half.flaw, Some(Flaw::Lines(n)) if n >= 2), "{half:?}");
        assert!(half.life.is_some() && half.learned.is_none());
    }

    #[test]
    fn a_later_version_holds_out_what_it_holds_out_and_a_new_kind_of_entry_is_passed_over() {
        let told = record(&["s-1"]);
        let add = |bytes: &[u8], from: &str, to: &str| {
            let text = String::from_utf8(bytes.to_vec()).expect("text");
            let mut out = String::new();
            for line in text.lines() {
                let line = line[9..].replace(from, to);
                out += &format!("{:08x} {line}\n", crc32fast::hash(line.as_bytes()));
            }
            out.into_bytes()
        };
        let next = Reading::of(&add(&told.encode(), "\"version\":1", "\"version\":2"));
        assert_eq!((next.flaw, next.life, next.learned), (Some(Flaw::Version(2)), None, None));
        assert!(next.held.holds("s-1"));
        let more = Reading::of(&add(&told.encode(), "\"learned\"", "\"levels\""));
        assert_eq!((more.flaw, more.learned), (None, None));
        assert!(more.held.holds("s-1") && more.life.is_some());
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(4_000))]
        /// Any cut and any flipped byte: never a panic, never a mark that was not written, and always told.
        #[test]
        fn damage_is_found_and_makes_nothing_up(
            names in prop::collection::vec("[a-z]{1,6}", 0..5), cut in any::<prop::sample::Index>(),
            at in any::<prop::sample::Index>(), flip in 1u8..=255, kind in 0u8..2
        ) {
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            let told = record(&names);
            let mut bytes = told.encode();
            match kind {
                0 => bytes.truncate(cut.index(bytes.len())),
                _ => {
                    let at = at.index(bytes.len());
                    bytes[at] ^= flip;
                }
            }
            let read = Reading::of(&bytes);
            // All but the last line's end, which tells nothing.
            if bytes.len() + 1 != told.encode().len() || kind == 1 {
                let same = read.life == Some(told.life) && read.held == told.held && read.learned == told.learned;
                prop_assert!(read.flaw.is_some() || same, "{:?}", read);
            }
            for (name, mark) in read.held.marks() {
                prop_assert!(told.held.marks().any(|m| m == (name, mark)));
            }
        }
    }
}
