//! How segments and records stand in bytes. Version 1; numbers are little-endian.
//!
//! A segment begins with a header: `PRJ1`, four bytes that are 0, the segment's number (8 bytes), the number of
//! the first record that it may hold (8), up to which record all were acknowledged when it was begun (8), CRC-32C of all of
//! that (4). Frames follow: kind (1), length of the body (4), the record's number (8), up to which record all were durable
//! when it was written (8), CRC-32C of these and the body (4), the body.

const MAGIC: &[u8; 4] = b"PRJ1";
/// Bytes of a segment's header.
pub const HEADER: usize = 36;
/// Bytes of a frame before its body.
pub const FRAME: usize = 25;
/// No record is longer.
pub const BODY_MOST: usize = 16 << 20;

/// The first bytes of a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Segments are numbered from 1 on.
    pub number: u64,
    /// The first record that it may hold: what earlier segments have from there on is void.
    pub first: u64,
    /// Up to which record all were acknowledged.
    pub acknowledged: u64,
}

/// What a frame is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A record.
    Record,
    /// Up to the frame's number, records are acknowledged; it has no body.
    Acknowledged,
}

/// A frame, and where the next one begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Frame<'a> {
    /// What it is.
    pub kind: Kind,
    /// The record's number, from 1 on.
    pub number: u64,
    /// Up to which record all were durable when it was written.
    pub durable: u64,
    /// The record.
    pub body: &'a [u8],
    /// The offset behind it.
    pub end: usize,
}

impl Header {
    /// Its bytes.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(HEADER);
        out.extend_from_slice(MAGIC);
        out.extend_from_slice(&[0; 4]);
        for part in [self.number, self.first, self.acknowledged] {
            out.extend_from_slice(&part.to_le_bytes());
        }
        let sum = crc32c::crc32c(&out);
        out.extend_from_slice(&sum.to_le_bytes());
        out
    }

    /// The header that these bytes begin with; none if it is not whole.
    pub fn decode(bytes: &[u8]) -> Option<Header> {
        let head = bytes.get(..HEADER)?;
        let (said, sum) = head.split_at(HEADER - 4);
        let whole = said.starts_with(MAGIC) && crc32c::crc32c(said) == long(sum, 0)? as u32;
        whole.then_some(Header {
            number: long(said, 8)?,
            first: long(said, 16)?,
            acknowledged: long(said, 24)?,
        })
    }
}

/// Appends a frame to these bytes.
pub fn encode(out: &mut Vec<u8>, kind: Kind, number: u64, durable: u64, body: &[u8]) {
    let begin = out.len();
    out.push(kind as u8 + 1);
    out.extend_from_slice(&(body.len() as u32).to_le_bytes());
    out.extend_from_slice(&number.to_le_bytes());
    out.extend_from_slice(&durable.to_le_bytes());
    let sum = crc32c::crc32c_append(crc32c::crc32c(&out[begin..]), body);
    out.extend_from_slice(&sum.to_le_bytes());
    out.extend_from_slice(body);
}

/// The frame at this offset; none if none that is whole stands there.
pub fn decode(bytes: &[u8], at: usize) -> Option<Frame<'_>> {
    let head = bytes.get(at..at.checked_add(FRAME)?)?;
    let kind = match head[0] {
        1 => Kind::Record,
        2 => Kind::Acknowledged,
        _ => return None,
    };
    let length = long(&head[..5], 1)? as usize;
    if length > BODY_MOST {
        return None;
    }
    let end = at + FRAME + length;
    let body = bytes.get(at + FRAME..end)?;
    let sum = crc32c::crc32c_append(crc32c::crc32c(&head[..FRAME - 4]), body);
    let whole = sum == long(&head[FRAME - 4..], 0)? as u32;
    whole.then_some(Frame { kind, number: long(head, 5)?, durable: long(head, 13)?, body, end })
}

/// The number of up to 8 bytes at this offset.
fn long(bytes: &[u8], at: usize) -> Option<u64> {
    let part = bytes.get(at..)?;
    let taken = &part[..part.len().min(8)];
    Some(taken.iter().rev().fold(0, |sum, &byte| sum << 8 | u64::from(byte)))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read_and_any_flipped_bit_is_found() {
        let header = Header { number: 7, first: 90, acknowledged: 3 };
        let mut bytes = header.encode();
        assert_eq!((bytes.len(), Header::decode(&bytes)), (HEADER, Some(header)));
        encode(&mut bytes, Kind::Record, 90, 89, b"three units");
        encode(&mut bytes, Kind::Acknowledged, 12, 89, b"");
        let record = decode(&bytes, HEADER).expect("a frame");
        assert_eq!((record.kind, record.number, record.durable), (Kind::Record, 90, 89));
        assert_eq!(record.body, b"three units");
        let second = decode(&bytes, record.end).expect("a frame");
        assert_eq!((second.kind, second.number, second.end), (Kind::Acknowledged, 12, bytes.len()));
        for bit in 0..bytes.len() * 8 {
            let mut bytes = bytes.clone();
            bytes[bit / 8] ^= 1 << (bit % 8);
            let same = Header::decode(&bytes) == Some(header)
                && decode(&bytes, HEADER) == decode(&bytes, HEADER).filter(|f| f.body == b"three units")
                && decode(&bytes, HEADER).is_some()
                && decode(&bytes, HEADER + FRAME + 11).is_some();
            assert!(!same, "bit {bit}");
        }
        for cut in 0..bytes.len() {
            let read = decode(&bytes[..cut], record.end);
            assert!(read.is_none(), "a frame out of {cut} bytes");
        }
    }
}
