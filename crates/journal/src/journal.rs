//! The journal: records appended, committed together, read back, acknowledged and dropped.

use std::fmt;
use std::io;

use crate::disk::{Append, Disk};
use crate::frame::{self, Header, Kind, BODY_MOST, FRAME, HEADER};
use crate::recovery::{self, Found, Segment};

/// How large a journal may become.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// A segment of this many bytes is followed by a new one.
    pub segment: u64,
    /// No record is taken that would bring all segments and what waits over this many bytes.
    pub bytes: u64,
}

/// Why the journal did not do what it was asked for.
#[derive(Debug)]
pub enum Error {
    /// The record is longer than [`BODY_MOST`].
    TooLong(usize),
    /// The bound on disk is reached: take nothing more until records have been acknowledged.
    Full {
        /// Bytes on disk and waiting.
        held: u64,
        /// The bound.
        bound: u64,
    },
    /// Only what is durable can be acknowledged, and only forward.
    NotDurable {
        /// Which record was to be acknowledged.
        number: u64,
        /// Up to which all are durable.
        durable: u64,
    },
    /// The disk failed. What was not committed still waits, and the next commit writes all of it to a new segment.
    Disk(io::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::TooLong(bytes) => write!(f, "a record of {bytes} bytes; {BODY_MOST} are allowed"),
            Error::Full { held, bound } => write!(f, "the journal holds {held} of {bound} bytes"),
            Error::NotDurable { number, durable } => {
                write!(f, "record {number} can't be acknowledged: up to {durable} they are durable")
            }
            Error::Disk(error) => write!(f, "the journal's disk: {error}"),
        }
    }
}

impl std::error::Error for Error {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Error::Disk(error) => Some(error),
            _ => None,
        }
    }
}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Disk(error)
    }
}

/// Where the journal stands. Records are numbered from 1 on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct State {
    /// The number of the next record.
    pub next: u64,
    /// Up to which record all survive a crash.
    pub durable: u64,
    /// Up to which record all are acknowledged, for good.
    pub acknowledged: u64,
    /// Bytes on disk.
    pub bytes: u64,
    /// Segments on disk.
    pub segments: usize,
}

struct Writer<F> {
    file: F,
    number: u64,
}

/// A journal that is open for writing. One at a time: see [`crate::Folder::open`].
pub struct Journal<D: Disk> {
    disk: D,
    limits: Limits,
    segments: Vec<Segment>,
    last_segment: u64,
    writer: Option<Writer<D::File>>,
    /// Appended and not yet durable, in order.
    waiting: Vec<Vec<u8>>,
    waiting_bytes: u64,
    durable: u64,
    acknowledged: u64,
    /// What is to be acknowledged with the next commit.
    acknowledge: u64,
}

impl<D: Disk> Journal<D> {
    /// Opens what these files hold. Nothing is changed by it; what is lost is told.
    pub fn open(disk: D, limits: Limits) -> io::Result<(Journal<D>, Found)> {
        let found = recovery::scan(&disk.names()?, |name| disk.read(name))?;
        let journal = Journal {
            disk,
            limits,
            segments: found.segments.clone(),
            last_segment: found.last_segment,
            writer: None,
            waiting: Vec::new(),
            waiting_bytes: 0,
            durable: found.next - 1,
            acknowledged: found.acknowledged,
            acknowledge: found.acknowledged,
        };
        Ok((journal, found))
    }

    /// Where it stands.
    pub fn state(&self) -> State {
        State {
            next: self.durable + 1 + self.waiting.len() as u64,
            durable: self.durable,
            acknowledged: self.acknowledged,
            bytes: self.bytes(),
            segments: self.segments.len(),
        }
    }

    fn bytes(&self) -> u64 {
        self.segments.iter().map(|s| s.bytes).sum()
    }

    /// Takes a record, and gives its number. It is not durable before the next commit.
    pub fn append(&mut self, body: &[u8]) -> Result<u64, Error> {
        if body.len() > BODY_MOST {
            return Err(Error::TooLong(body.len()));
        }
        let frame = (FRAME + body.len()) as u64;
        // Room for what a commit adds beside records: a segment's header and an acknowledgement.
        let held = self.bytes() + self.waiting_bytes + frame + (HEADER + FRAME) as u64;
        if held > self.limits.bytes {
            return Err(Error::Full { held, bound: self.limits.bytes });
        }
        self.waiting.push(body.to_vec());
        self.waiting_bytes += frame;
        Ok(self.durable + self.waiting.len() as u64)
    }

    /// Makes all that was appended, and the last acknowledgement, durable; gives up to which record all are.
    pub fn commit(&mut self) -> Result<u64, Error> {
        if self.waiting.is_empty() && self.acknowledge == self.acknowledged {
            return Ok(self.durable);
        }
        self.write()?;
        self.durable += self.waiting.len() as u64;
        self.acknowledged = self.acknowledge;
        self.waiting.clear();
        self.waiting_bytes = 0;
        self.compact();
        Ok(self.durable)
    }

    /// Danger: after a failed write or sync nobody knows what the file has. It is left as it is, for good: the next
    /// commit writes all that waits to a new one.
    fn write(&mut self) -> io::Result<()> {
        let full = self.segments.last().is_some_and(|s| s.bytes >= self.limits.segment);
        let open = self.writer.take().filter(|_| !full);
        let fresh = open.is_none();
        let (first, acknowledged) = (self.durable + 1, self.acknowledged);
        let mut out = Vec::with_capacity(self.waiting_bytes as usize + HEADER + FRAME);
        let mut writer = match open {
            Some(writer) => writer,
            None => {
                let number = self.last_segment + 1;
                let file = self.disk.create(&recovery::name(number))?;
                self.last_segment = number;
                self.segments.push(Segment { number, records: None, bytes: 0 });
                out.extend(Header { number, first, acknowledged }.encode());
                Writer { file, number }
            }
        };
        for (i, body) in self.waiting.iter().enumerate() {
            frame::encode(&mut out, Kind::Record, first + i as u64, self.durable, body);
        }
        if self.acknowledge > self.acknowledged {
            frame::encode(&mut out, Kind::Acknowledged, self.acknowledge, self.durable, &[]);
        }
        let mut rest = &out[..];
        while !rest.is_empty() {
            match writer.file.append(rest) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => {
                    rest = &rest[written..];
                    let segment = self.segments.last_mut().filter(|s| s.number == writer.number);
                    segment.into_iter().for_each(|s| s.bytes += written as u64);
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        writer.file.sync()?;
        if fresh {
            self.disk.sync()?;
        }
        if let Some(segment) = self.segments.last_mut().filter(|_| !self.waiting.is_empty()) {
            let begin = segment.records.map_or(first, |(begin, _)| begin);
            segment.records = Some((begin, self.durable + self.waiting.len() as u64));
        }
        self.writer = Some(writer);
        Ok(())
    }

    /// All up to this record may go, once the next commit has made that durable.
    pub fn acknowledge(&mut self, number: u64) -> Result<(), Error> {
        if number > self.durable {
            return Err(Error::NotDurable { number, durable: self.durable });
        }
        self.acknowledge = self.acknowledge.max(number);
        Ok(())
    }

    /// Removes segments of which nothing is needed any more, from the first on. Their acknowledgements stand in the
    /// header of the one that is written to. What can't be removed stays for the next time.
    fn compact(&mut self) {
        let Some(current) = self.writer.as_ref().map(|w| w.number) else { return };
        let acknowledged = self.acknowledged;
        let needed =
            |s: &Segment| s.number == current || s.records.is_some_and(|(_, last)| last > acknowledged);
        let mut removed = false;
        while self.segments.first().is_some_and(|s| !needed(s)) {
            if self.disk.remove(&recovery::name(self.segments[0].number)).is_err() {
                break;
            }
            self.segments.remove(0);
            removed = true;
        }
        if removed {
            // Should they come back, they hold nothing that is not acknowledged.
            let _ = self.disk.sync();
        }
    }

    /// Durable records from this one on, of one segment at most, until they have `most` bytes; none if there are none.
    pub fn read(&self, from: u64, most: usize) -> io::Result<Vec<(u64, Vec<u8>)>> {
        let mut out = Vec::new();
        let holds = |s: &&Segment| s.records.is_some_and(|(_, last)| last >= from);
        let Some(segment) = self.segments.iter().find(holds) else { return Ok(out) };
        let bytes = self.disk.read(&recovery::name(segment.number))?;
        // A write that failed may have left more behind, which is not durable there.
        let limit = self.durable + 1;
        let mut taken = 0;
        let begin = segment.records.map_or(from, |(first, _)| first);
        recovery::segment(segment.number, &bytes, begin, limit, |number, body| {
            if number >= from && (taken == 0 || taken + body.len() <= most) {
                taken += body.len().max(1);
                out.push((number, body.to_vec()));
            } else if number >= from {
                taken = usize::MAX / 2;
            }
        });
        Ok(out)
    }
}
