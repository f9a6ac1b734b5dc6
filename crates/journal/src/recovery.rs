//! What segments hold after a crash, or after damage: the scan of one segment and of all. No I/O of its own.

use std::io;

use crate::frame::{self, Header, Kind, FRAME, HEADER};

/// Something that was durable once and is not there any more. It is reported and never passed over in silence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Damage {
    /// Bytes of a segment that can't be read, though what stands behind them says that they were durable.
    Unreadable {
        /// The segment.
        segment: u64,
        /// From this offset on.
        from: usize,
        /// Up to this one.
        to: usize,
    },
    /// Records that are nowhere.
    Missing {
        /// The first of them.
        from: u64,
        /// The last.
        to: u64,
    },
}

/// A segment, as far as its records count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// Its number.
    pub number: u64,
    /// Its first record that counts, and the last; none if it has none.
    pub records: Option<(u64, u64)>,
    /// Its size in bytes.
    pub bytes: u64,
}

/// What was found in a journal's files.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Found {
    /// The segments in their order.
    pub segments: Vec<Segment>,
    /// The number that the next record gets.
    pub next: u64,
    /// Up to which record all were acknowledged.
    pub acknowledged: u64,
    /// What is lost of that which was not acknowledged.
    pub damage: Vec<Damage>,
    /// Bytes behind the last whole frame: a write that was cut off, or the last commit, damaged.
    pub tail: usize,
    /// The highest number that a segment has; 0 if there is none.
    pub last_segment: u64,
}

/// What a segment says of its own.
#[derive(Debug, Default)]
pub(crate) struct Part {
    records: Option<(u64, u64)>,
    acknowledged: u64,
    damage: Vec<Damage>,
    tail: usize,
}

/// The name of a segment's file.
pub fn name(number: u64) -> String {
    format!("{number:016x}.seg")
}

/// The number of the segment in a file of this name.
pub fn number(name: &str) -> Option<u64> {
    name.strip_suffix(".seg").filter(|n| n.len() == 16).and_then(|n| u64::from_str_radix(n, 16).ok())
}

/// Reads one segment: records from `expect` on and below `limit`, each handed to `visit` with its number. One that an
/// earlier segment has as well is the same: a number is given again only if its record was cut off.
///
/// A frame that is not whole ends it, unless a whole one behind it says that the record missing was durable by then.
/// Guards against a disk that keeps later writes and loses earlier ones: what was never durable is cut off there.
pub(crate) fn segment(
    number: u64,
    bytes: &[u8],
    mut expect: u64,
    limit: u64,
    mut visit: impl FnMut(u64, &[u8]),
) -> Part {
    let mut part = Part::default();
    let mut at = HEADER;
    while at < bytes.len() {
        let Some(frame) = frame::decode(bytes, at) else {
            match durable_behind(bytes, at + 1, expect) {
                Some(to) => {
                    part.damage.push(Damage::Unreadable { segment: number, from: at, to });
                    at = to;
                    continue;
                }
                None => {
                    part.tail = bytes.len() - at;
                    break;
                }
            }
        };
        at = frame.end;
        match frame.kind {
            Kind::Acknowledged => part.acknowledged = part.acknowledged.max(frame.number),
            Kind::Record if frame.number < expect || frame.number >= limit => {}
            Kind::Record => {
                if frame.number > expect {
                    part.damage.push(Damage::Missing { from: expect, to: frame.number - 1 });
                }
                let first = part.records.map_or(frame.number, |(first, _)| first);
                part.records = Some((first, frame.number));
                expect = frame.number + 1;
                visit(frame.number, frame.body);
            }
        }
    }
    part
}

/// Where the next whole frame begins, if this or one behind it says that this record was durable.
fn durable_behind(bytes: &[u8], from: usize, record: u64) -> Option<usize> {
    let mut first = None;
    let mut at = from;
    while at + FRAME <= bytes.len() {
        match frame::decode(bytes, at) {
            Some(frame) => {
                first.get_or_insert(at);
                if frame.durable >= record {
                    return first;
                }
                at = frame.end;
            }
            None => at += 1,
        }
    }
    None
}

/// Reads all segments among these files; `read` gives the bytes of one, each once and in order.
pub fn scan(names: &[String], read: impl Fn(&str) -> io::Result<Vec<u8>>) -> io::Result<Found> {
    let mut numbers: Vec<u64> = names.iter().filter_map(|n| number(n)).collect();
    numbers.sort_unstable();
    let mut found = Found { last_segment: numbers.last().copied().unwrap_or(0), ..Found::default() };
    let mut expect = None;
    for &number in &numbers {
        let bytes = read(&name(number))?;
        let Some(header) = Header::decode(&bytes) else {
            // Cut off as it was begun; if it had ever been durable, its records are found to be missing.
            found.segments.push(Segment { number, records: None, bytes: bytes.len() as u64 });
            continue;
        };
        let from = expect.unwrap_or(header.acknowledged + 1);
        if header.first > from {
            found.damage.push(Damage::Missing { from, to: header.first - 1 });
        }
        let from = from.max(header.first);
        let part = segment(number, &bytes, from, u64::MAX, |_, _| {});
        found.acknowledged = found.acknowledged.max(part.acknowledged).max(header.acknowledged);
        found.damage.extend(part.damage);
        found.tail = part.tail;
        expect = Some(part.records.map_or(from, |(_, last)| last + 1));
        found.segments.push(Segment { number, records: part.records, bytes: bytes.len() as u64 });
    }
    found.next = expect.unwrap_or(1).max(found.acknowledged + 1);
    // What was acknowledged is not missed.
    let acknowledged = found.acknowledged;
    found.damage.retain_mut(|damage| match damage {
        Damage::Unreadable { .. } => true,
        Damage::Missing { from, to } => {
            *from = (*from).max(acknowledged + 1);
            from <= to
        }
    });
    Ok(found)
}
