//! The record in which one process shares its state with the others. Each line has a checksum, so that the intact lines of a
//! damaged record can be read.
//!
//! A line is the CRC-32 (IEEE 802.3) of its JSON text in eight hexadecimal digits, a space, and one entry as JSON. The first entry
//! contains the version and the number of entries that follow. A line with a wrong checksum is skipped. Compatibility rules: kinds
//! of entries may be added without a new version, and readers skip unknown kinds; the format of `held` entries never changes, so that
//! every version respects the exclusions of every other; any other change requires a new version.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::claims::Claim;
use crate::held::{HeldOut, Mark, UnixMs};

/// The version that is written.
pub const VERSION: u32 = 1;

/// The phase of a process, as far as the others need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// It does not serve clients yet.
    Coming,
    /// It serves clients.
    Serves,
    /// It is stopping.
    Leaves,
}

/// A process's own state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Life {
    /// The process's id.
    pub process: u32,
    /// Its phase.
    pub standing: Standing,
    /// The number of descriptors that it claims.
    pub descriptors: usize,
}

impl Life {
    /// Its claim.
    pub fn claim(&self) -> Claim {
        Claim { max_descriptors: self.descriptors, leaves: self.standing == Standing::Leaves }
    }
}

/// What a process has learned about the fleet, for its successor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Learned {
    /// When it was written.
    pub at: UnixMs,
    /// The learned data; its format is defined by the node.
    pub of: Value,
}

/// The content of a process's record.
#[derive(Debug, Clone, PartialEq)]
pub struct Record {
    /// The process's state.
    pub life: Life,
    /// The app servers that it knows to be excluded.
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

/// A defect of a record.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Flaw {
    /// It is empty.
    Empty,
    /// It is not a record: no line has a valid checksum.
    Foreign,
    /// It has this other version. Its exclusions are used nevertheless.
    Version(u32),
    /// This many lines are damaged or missing.
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

/// The readable part of a record.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Reading {
    /// The process's state, if that line is intact.
    pub life: Option<Life>,
    /// The exclusions on intact lines.
    pub held: HeldOut,
    /// What the process has learned, if that line is intact.
    pub learned: Option<Learned>,
    /// The defect of the record, if any.
    pub flaw: Option<Flaw>,
}

impl Record {
    /// Encodes the record as it is written.
    pub fn encode(&self) -> Vec<u8> {
        let held = self.held.marks().map(|(name, mark)| Entry::Held { name: name.into(), mark });
        let mut entries = vec![Entry::Life(self.life)];
        entries.extend(held);
        entries.extend(self.learned.clone().map(Entry::Learned));
        encode_lines(entries)
    }

    /// Encodes only the exclusions, for the second copy.
    pub fn encode_held(&self) -> Vec<u8> {
        encode_lines(self.held.marks().map(|(name, mark)| Entry::Held { name: name.into(), mark }).collect())
    }
}

fn encode_lines(entries: Vec<Entry>) -> Vec<u8> {
    let mut out = Vec::new();
    let first = Entry::Record { version: VERSION, lines: entries.len() };
    for entry in std::iter::once(first).chain(entries) {
        // Serializing these types to JSON cannot fail.
        let text = serde_json::to_string(&entry).unwrap_or_default();
        out.extend_from_slice(format!("{:08x} {text}\n", crc32fast::hash(text.as_bytes())).as_bytes());
    }
    out
}

/// Returns the JSON text of a line, or `None` if its checksum is wrong.
fn checked_text(line: &[u8]) -> Option<&[u8]> {
    let (sum, rest) = line.split_at_checked(8)?;
    let sum = u32::from_str_radix(std::str::from_utf8(sum).ok()?, 16).ok()?;
    let text = rest.strip_prefix(b" ")?;
    (crc32fast::hash(text) == sum).then_some(text)
}

impl Reading {
    /// Reads all intact lines.
    pub fn of(bytes: &[u8]) -> Reading {
        let mut reading = Reading::default();
        let (mut version, mut expected_lines, mut intact, mut damaged) = (None, None, 0, 0);
        for line in bytes.split(|&b| b == b'\n').filter(|line| !line.is_empty()) {
            let Some(text) = checked_text(line) else {
                damaged += 1;
                continue;
            };
            intact += 1;
            // An intact line with an unknown entry was written by a later version.
            match serde_json::from_slice(text) {
                Ok(Entry::Record { version: v, lines }) => (version, expected_lines) = (Some(v), Some(lines)),
                Ok(Entry::Life(life)) => reading.life = Some(life),
                Ok(Entry::Held { name, mark }) => drop(reading.held.take(&name, mark)),
                Ok(Entry::Learned(learned)) => reading.learned = Some(learned),
                Err(_) => {}
            }
        }
        let missing = match expected_lines {
            Some(lines) => (lines + 1).saturating_sub(intact).max(damaged),
            // The first line is missing, so the number of lines is unknown.
            None => damaged.max(1),
        };
        reading.flaw = match (intact, version) {
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
    fn a_record_is_read_as_it_was_written_with_any_names() {
        let written = record(&["s-1", "with space", "with\nline", "\u{fc}"]);
        let read = Reading::of(&written.encode());
        assert_eq!(read.flaw, None);
        assert_eq!(
            (read.life, &read.held, read.learned),
            (Some(written.life), &written.held, written.learned.clone())
        );
        assert_eq!(Reading::of(&written.encode_held()), Reading { held: written.held, ..Reading::default() });
    }

    #[test]
    fn each_flaw_is_reported_and_intact_lines_are_read() {
        let encoded = record(&["s-1", "s-2"]).encode();
        assert_eq!(Reading::of(b"").flaw, Some(Flaw::Empty));
        assert_eq!(Reading::of(b"out 5 s-1\nnonsense\n").flaw, Some(Flaw::Foreign));
        assert_eq!(Reading::of(&[0xff, 0xfe, b'\n', 0]).flaw, Some(Flaw::Foreign));
        let mut corrupted = encoded.clone();
        let at = encoded.windows(3).position(|w| w == b"s-1").expect("a name");
        corrupted[at] = b'x';
        let read = Reading::of(&corrupted);
        assert_eq!(read.flaw, Some(Flaw::Lines(1)));
        assert!(read.held.holds("s-2") && !read.held.holds("s-1") && read.life.is_some());
        let half = Reading::of(&encoded[..at + 40]);
        assert!(matches!(half.flaw, Some(Flaw::Lines(n)) if n >= 2), "{half:?}");
        assert!(half.life.is_some() && half.learned.is_none());
    }

    #[test]
    fn exclusions_of_a_later_version_are_read_and_unknown_entries_are_skipped() {
        let written = record(&["s-1"]);
        let with_replaced = |bytes: &[u8], from: &str, to: &str| {
            let text = String::from_utf8(bytes.to_vec()).expect("text");
            let mut out = String::new();
            for line in text.lines() {
                let line = line[9..].replace(from, to);
                out += &format!("{:08x} {line}\n", crc32fast::hash(line.as_bytes()));
            }
            out.into_bytes()
        };
        let next = Reading::of(&with_replaced(&written.encode(), "\"version\":1", "\"version\":2"));
        assert_eq!((next.flaw, next.life, next.learned), (Some(Flaw::Version(2)), None, None));
        assert!(next.held.holds("s-1"));
        let more = Reading::of(&with_replaced(&written.encode(), "\"learned\"", "\"levels\""));
        assert_eq!((more.flaw, more.learned), (None, None));
        assert!(more.held.holds("s-1") && more.life.is_some());
    }

    proptest! {
        #![proptest_config(ProptestConfig::with_cases(4_000))]
        /// A truncated record, or one with a changed byte, never causes a panic or a mark that was not written, and is always
        /// reported as damaged.
        #[test]
        fn damage_is_detected_and_adds_no_marks(
            names in prop::collection::vec("[a-z]{1,6}", 0..5), cut in any::<prop::sample::Index>(),
            at in any::<prop::sample::Index>(), flip in 1u8..=255, kind in 0u8..2
        ) {
            let names: Vec<&str> = names.iter().map(String::as_str).collect();
            let written = record(&names);
            let mut bytes = written.encode();
            match kind {
                0 => bytes.truncate(cut.index(bytes.len())),
                _ => {
                    let at = at.index(bytes.len());
                    bytes[at] ^= flip;
                }
            }
            let read = Reading::of(&bytes);
            // Losing only the last newline is not damage.
            if bytes.len() + 1 != written.encode().len() || kind == 1 {
                let same = read.life == Some(written.life) && read.held == written.held && read.learned == written.learned;
                prop_assert!(read.flaw.is_some() || same, "{:?}", read);
            }
            for (name, mark) in read.held.marks() {
                prop_assert!(written.held.marks().any(|m| m == (name, mark)));
            }
        }
    }
}
