//! The counter's calls and answers: RESP2, as one call and one kind of reply use it.

use bytes::{Buf, BytesMut};
use mountbend::interface::{CountName, Micros};

/// No line of an answer is this long, and no total.
const LINE_MOST: usize = 512;
const TOTAL_MOST: usize = 64;
/// The counter keeps no name for longer, and adds no more.
const KEEP_MOST_MS: u64 = 60_000;
const AMOUNT_MOST: f64 = 1e9;

/// One call: what to add to which name.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Add {
    /// The name.
    pub name: CountName,
    /// The amount, in units.
    pub amount: f64,
    /// How long a new name is kept, in milliseconds.
    pub keep_ms: u64,
}

impl Add {
    /// A call within what the counter takes; none if the amount is no number.
    pub fn new(name: CountName, amount: f64, keep_for: Micros) -> Option<Add> {
        let amount = Some(amount).filter(|a| a.is_finite())?.clamp(-AMOUNT_MOST, AMOUNT_MOST);
        Some(Add { name, amount, keep_ms: (keep_for / 1000).clamp(1, KEEP_MOST_MS) })
    }
}

/// Appends a call as the counter reads it: a RESP2 array of bulk strings.
pub fn encode(out: &mut BytesMut, call: &Add) {
    use std::fmt::Write;
    let (amount, keep) = (call.amount.to_string(), call.keep_ms.to_string());
    // Writing to a buffer in memory does not fail.
    let _ = write!(
        out,
        "*4\r\n$7\r\nINCRTTL\r\n$16\r\n{:016x}\r\n${}\r\n{amount}\r\n${}\r\n{keep}\r\n",
        call.name.0,
        amount.len(),
        keep.len(),
    );
}

/// What the counter says to a call.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// Added; the total.
    Total(f64),
    /// Turned away, nothing added.
    Busy,
}

/// What came can't be an answer of the counter's; the connection is of no further use.
#[derive(Debug, PartialEq)]
pub struct Garbage;

/// Takes one whole reply off the buffer, if it holds one.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Reply>, Garbage> {
    let plausible = |head: &[u8]| match head {
        [] => true,
        [b'-', why @ ..] => {
            let known = |word: &[u8]| why.iter().zip(word).all(|(a, b)| a == b);
            (known(b"BUSY") || known(b"ERR")) && why.len() < LINE_MOST
        }
        [b'$', length @ ..] => {
            let length = length.strip_suffix(b"\r").unwrap_or(length);
            length.len() < 4 && length.iter().all(u8::is_ascii_digit)
        }
        _ => false,
    };
    let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") else {
        // Danger: noise need not hold a line end to be noticed at once.
        return if plausible(buffer) { Ok(None) } else { Err(Garbage) };
    };
    if !plausible(&buffer[..end]) {
        return Err(Garbage);
    }
    let text = std::str::from_utf8(&buffer[..end]).map_err(|_| Garbage)?;
    match text.split_at_checked(1) {
        Some(("-", why)) if why.starts_with("BUSY") || why.starts_with("ERR") => {
            buffer.advance(end + 2);
            Ok(Some(Reply::Busy))
        }
        Some(("$", length)) => {
            let length = length.parse::<usize>().ok().filter(|&n| n <= TOTAL_MOST).ok_or(Garbage)?;
            let all = end + 2 + length + 2;
            if buffer.len() < all {
                return Ok(None);
            }
            if &buffer[all - 2..all] != b"\r\n" {
                return Err(Garbage);
            }
            let body = std::str::from_utf8(&buffer[end + 2..all - 2]).map_err(|_| Garbage)?;
            let total = body.trim().parse::<f64>().ok().filter(|t| t.is_finite()).ok_or(Garbage)?;
            buffer.advance(all);
            Ok(Some(Reply::Total(total)))
        }
        _ => Err(Garbage),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_is_a_whole_array_and_no_number_is_no_call() {
        let mut out = BytesMut::new();
        encode(&mut out, &Add::new(CountName(0x2a), -2.5, 4_000_000).expect("a call"));
        let text = b"*4\r\n$7\r\nINCRTTL\r\n$16\r\n000000000000002a\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n";
        assert_eq!(&out[..], &text[..]);
        assert_eq!(Add::new(CountName(1), f64::NAN, 1), None);
        let most = Add::new(CountName(1), 1e300, u64::MAX).expect("a call");
        assert_eq!((most.amount, most.keep_ms), (AMOUNT_MOST, KEEP_MOST_MS));
        assert_eq!(Add::new(CountName(1), 1.0, 0).expect("a call").keep_ms, 1);
    }

    #[test]
    fn replies_are_taken_whole() {
        let mut buffer = BytesMut::from(&b"$3\r\n2.5\r\n-BUSY later\r\n$1\r\n7"[..]);
        assert_eq!(decode(&mut buffer), Ok(Some(Reply::Total(2.5))));
        assert_eq!(decode(&mut buffer), Ok(Some(Reply::Busy)));
        assert_eq!(decode(&mut buffer), Ok(None));
        buffer.extend_from_slice(b"\r\n");
        assert_eq!(decode(&mut buffer), Ok(Some(Reply::Total(7.0))));
        assert_eq!(decode(&mut BytesMut::from("$")), Ok(None));
        let bad: [&[u8]; 10] = [
            b"?\r\n",
            b"\r\n",
            b"$-1\r\n",
            b"$3\r\nabc\r\n",
            b"$3\r\nNaN\r\n",
            b"$1\r\n22\r\n",
            b"$1234",
            b"-OOPS",
            b"\xff",
            b"HTTP",
        ];
        for bad in bad {
            assert_eq!(decode(&mut BytesMut::from(bad)), Err(Garbage), "{bad:?}");
        }
    }
}
