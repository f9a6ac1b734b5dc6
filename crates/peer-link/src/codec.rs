//! The framing of messages: a greeting, then messages that each follow their length.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::error::DecodeError;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

use crate::message::PeerMessage;

#[cfg(test)]
mod tests;

/// Each connection begins with this: the protocol's name and its version.
pub const GREETING: [u8; 4] = *b"prp3";
/// No message is longer, in bytes.
pub const MAX_MESSAGE_LENGTH: usize = 16 << 20;
/// The first message of a connection tells who sends it, and is no longer than this, in bytes.
pub const MAX_HELLO_LENGTH: usize = 4 * 1024;
/// Bytes that a message's length takes.
const LENGTH_SIZE: usize = 4;
/// Bytes that are read at once.
const READ_SIZE: usize = 4 * 1024;
/// A larger buffer is freed once it is empty.
const KEPT_CAPACITY: usize = 16 * 1024;

/// Why bytes are no message.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum CodecError {
    /// The connection began with something else.
    #[error("no greeting of this protocol")]
    Greeting,
    /// The length exceeds the limit.
    #[error("a message of {0} bytes is over the limit of {MAX_MESSAGE_LENGTH}, or of {MAX_HELLO_LENGTH} for the first")]
    TooLong(usize),
    /// The bytes cannot be decoded.
    #[error("no message: {0}")]
    Malformed(String),
}

// What is decoded of a message may take so many bytes of memory. The decoder believes a length before it has read what the
// length announces, so without a bound a message of ten bytes would have 16 MiB allocated. Each bound is at least 64 bytes
// for each byte of a message; what takes most, an item without name and value, takes under 20.

/// The memory for a message of up to [`SMALL_LENGTH`].
const SMALL_MEMORY: usize = 256 * 1024;
/// The memory for a message of up to [`MEDIUM_LENGTH`].
const MEDIUM_MEMORY: usize = 1 << 20;
/// The memory for a message of up to [`LARGE_LENGTH`].
const LARGE_MEMORY: usize = 8 << 20;
/// The longest small message, in bytes.
const SMALL_LENGTH: usize = 4 * 1024;
/// The longest medium message, in bytes.
const MEDIUM_LENGTH: usize = 16 * 1024;
/// The longest large message, in bytes.
const LARGE_LENGTH: usize = 128 * 1024;

fn with_memory_limit<const LIMIT: usize>() -> Configuration<LittleEndian, Varint, Limit<LIMIT>> {
    bincode::config::standard().with_limit::<LIMIT>()
}

/// Decodes a message; returns how many of its bytes that took.
fn decode_body(body: &[u8]) -> Result<(PeerMessage, usize), DecodeError> {
    match body.len() {
        length if length <= SMALL_LENGTH => {
            bincode::decode_from_slice(body, with_memory_limit::<SMALL_MEMORY>())
        }
        length if length <= MEDIUM_LENGTH => {
            bincode::decode_from_slice(body, with_memory_limit::<MEDIUM_MEMORY>())
        }
        length if length <= LARGE_LENGTH => {
            bincode::decode_from_slice(body, with_memory_limit::<LARGE_MEMORY>())
        }
        _ => bincode::decode_from_slice(body, with_memory_limit::<MAX_MESSAGE_LENGTH>()),
    }
}

/// Encodes a message with its length.
pub fn encode(message: &PeerMessage) -> Bytes {
    let body = bincode::encode_to_vec(message, bincode::config::standard()).unwrap_or_default();
    let mut out = BytesMut::with_capacity(LENGTH_SIZE + body.len());
    out.put_u32_le(body.len() as u32);
    out.extend_from_slice(&body);
    out.freeze()
}

/// Decodes what arrives on a connection: the greeting, then messages.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    has_greeted: bool,
    /// Whether the first message has been taken.
    has_hello: bool,
}

impl Decoder {
    /// The buffer to read into.
    pub fn read_buffer(&mut self) -> &mut BytesMut {
        if self.buffer.is_empty() && self.buffer.capacity() > KEPT_CAPACITY {
            self.buffer = BytesMut::new();
        }
        self.buffer.reserve(READ_SIZE);
        &mut self.buffer
    }

    /// Whether the greeting has arrived.
    ///
    /// # Errors
    /// If the connection began with something else.
    pub fn has_greeted(&mut self) -> Result<bool, CodecError> {
        if !self.has_greeted && self.buffer.len() >= GREETING.len() {
            if self.buffer.split_to(GREETING.len()) != GREETING[..] {
                return Err(CodecError::Greeting);
            }
            self.has_greeted = true;
        }
        Ok(self.has_greeted)
    }

    /// Takes the next message, if it has arrived completely.
    ///
    /// # Errors
    /// If the greeting or a message is malformed: nothing can be read after it.
    pub fn next_message(&mut self) -> Result<Option<PeerMessage>, CodecError> {
        if !self.has_greeted()? {
            return Ok(None);
        }
        let max_length = if self.has_hello { MAX_MESSAGE_LENGTH } else { MAX_HELLO_LENGTH };
        let message = decode_within(&mut self.buffer, max_length)?;
        self.has_hello |= message.is_some();
        Ok(message)
    }

    /// Bytes that have arrived and were not taken.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Memory that the buffer takes, in bytes.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }
}

/// Takes the next message off a buffer, if it is complete.
///
/// # Errors
/// If the message is malformed.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<PeerMessage>, CodecError> {
    decode_within(buffer, MAX_MESSAGE_LENGTH)
}

fn decode_within(buffer: &mut BytesMut, max_length: usize) -> Result<Option<PeerMessage>, CodecError> {
    let Some(length) = buffer.first_chunk::<LENGTH_SIZE>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > max_length {
        return Err(CodecError::TooLong(length));
    }
    if buffer.len() < LENGTH_SIZE + length {
        // The buffer grows with what arrives, and not with what is announced.
        return Ok(None);
    }
    let body = &buffer[LENGTH_SIZE..LENGTH_SIZE + length];
    let (message, decoded) = decode_body(body).map_err(|error| CodecError::Malformed(error.to_string()))?;
    if decoded != length {
        return Err(CodecError::Malformed("bytes are left over".into()));
    }
    buffer.advance(LENGTH_SIZE + length);
    Ok(Some(message))
}
