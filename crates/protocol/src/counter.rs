//! Codec of the counter's calls and replies: the subset of RESP2 that one command and its replies use.

use bytes::{Buf, BytesMut};
use mountbend::interface::{CountName, Micros};

/// An error reply whose line, without the leading `-`, reaches this length in bytes is invalid.
const MAX_LINE: usize = 512;
/// Maximum length of a total in a reply, in bytes.
const MAX_TOTAL_LENGTH: usize = 64;
/// Maximum retention of a counter, in milliseconds.
const MAX_KEEP_MS: u64 = 60_000;
/// Maximum absolute amount of one call, in units.
const MAX_AMOUNT: f64 = 1e9;

/// One call: adds an amount to a named counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Add {
    /// The counter's name.
    pub name: CountName,
    /// The amount, in units.
    pub amount: f64,
    /// How long a new counter is kept, in milliseconds.
    pub keep_ms: u64,
}

impl Add {
    /// A call clamped to the counter's limits; none if the amount is not finite.
    pub fn new(name: CountName, amount: f64, keep_for: Micros) -> Option<Add> {
        let amount = Some(amount).filter(|a| a.is_finite())?.clamp(-MAX_AMOUNT, MAX_AMOUNT);
        Some(Add { name, amount, keep_ms: (keep_for / 1000).clamp(1, MAX_KEEP_MS) })
    }
}

/// Appends the encoded call: a RESP2 array of bulk strings.
pub fn encode(out: &mut BytesMut, call: &Add) {
    use std::fmt::Write;
    let (amount, keep) = (call.amount.to_string(), call.keep_ms.to_string());
    // Writing to a memory buffer can't fail.
    let _ = write!(
        out,
        "*4\r\n$7\r\nINCRTTL\r\n$16\r\n{:016x}\r\n${}\r\n{amount}\r\n${}\r\n{keep}\r\n",
        call.name.0,
        amount.len(),
        keep.len(),
    );
}

/// The counter's reply to a call.
#[derive(Debug, PartialEq)]
pub enum Reply {
    /// The amount was added; the new total.
    Total(f64),
    /// Rejected; nothing was added.
    Busy,
}

/// The received bytes can't be a reply of the counter; the connection must not be used again.
#[derive(Debug, PartialEq)]
pub struct InvalidReply;

/// Decodes and removes one complete reply, if the buffer holds one.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<Reply>, InvalidReply> {
    let plausible = |head: &[u8]| match head {
        [] => true,
        [b'-', why @ ..] => {
            let may_start_with = |prefix: &[u8]| why.iter().zip(prefix).all(|(a, b)| a == b);
            (may_start_with(b"BUSY") || may_start_with(b"ERR")) && why.len() < MAX_LINE
        }
        [b'$', length @ ..] => {
            let length = length.strip_suffix(b"\r").unwrap_or(length);
            length.len() < 4 && length.iter().all(u8::is_ascii_digit)
        }
        _ => false,
    };
    let Some(end) = buffer.windows(2).position(|w| w == b"\r\n") else {
        // Danger: invalid input may never contain a line end, so it is rejected as soon as it can't start a
        // reply.
        return if plausible(buffer) { Ok(None) } else { Err(InvalidReply) };
    };
    if !plausible(&buffer[..end]) {
        return Err(InvalidReply);
    }
    let text = std::str::from_utf8(&buffer[..end]).map_err(|_| InvalidReply)?;
    match text.split_at_checked(1) {
        Some(("-", why)) if why.starts_with("BUSY") || why.starts_with("ERR") => {
            buffer.advance(end + 2);
            Ok(Some(Reply::Busy))
        }
        Some(("$", length)) => {
            let length =
                length.parse::<usize>().ok().filter(|&n| n <= MAX_TOTAL_LENGTH).ok_or(InvalidReply)?;
            let reply_length = end + 2 + length + 2;
            if buffer.len() < reply_length {
                return Ok(None);
            }
            if &buffer[reply_length - 2..reply_length] != b"\r\n" {
                return Err(InvalidReply);
            }
            let body = std::str::from_utf8(&buffer[end + 2..reply_length - 2]).map_err(|_| InvalidReply)?;
            let total = body.trim().parse::<f64>().ok().filter(|t| t.is_finite()).ok_or(InvalidReply)?;
            buffer.advance(reply_length);
            Ok(Some(Reply::Total(total)))
        }
        _ => Err(InvalidReply),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_call_is_one_array_and_a_nan_amount_is_refused() {
        let mut out = BytesMut::new();
        encode(&mut out, &Add::new(CountName(0x2a), -2.5, 4_000_000).expect("a call"));
        let text = b"*4\r\n$7\r\nINCRTTL\r\n$16\r\n000000000000002a\r\n$4\r\n-2.5\r\n$4\r\n4000\r\n";
        assert_eq!(&out[..], &text[..]);
        assert_eq!(Add::new(CountName(1), f64::NAN, 1), None);
        let clamped = Add::new(CountName(1), 1e300, u64::MAX).expect("a call");
        assert_eq!((clamped.amount, clamped.keep_ms), (MAX_AMOUNT, MAX_KEEP_MS));
        assert_eq!(Add::new(CountName(1), 1.0, 0).expect("a call").keep_ms, 1);
    }

    #[test]
    fn only_complete_replies_are_decoded() {
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
            assert_eq!(decode(&mut BytesMut::from(bad)), Err(InvalidReply), "{bad:?}");
        }
    }
}
