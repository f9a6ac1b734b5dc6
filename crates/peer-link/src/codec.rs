//! Framing of messages: a connection begins with a greeting, followed by length-prefixed messages.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::error::DecodeError;
use bytes::{Buf, BufMut, Bytes, BytesMut};
use thiserror::Error;

use crate::message::PeerMessage;

#[cfg(test)]
mod tests;

/// The first bytes of each connection, in both directions: the protocol's name and version.
pub const GREETING: [u8; 4] = *b"prp3";
/// The maximum length of a message without its length prefix, in bytes.
pub const MAX_MESSAGE_LENGTH: usize = 16 << 20;
/// The maximum length of the first message of a connection, in which the sender identifies itself, in bytes.
pub const MAX_HELLO_LENGTH: usize = 4 * 1024;
/// The size of the length prefix, in bytes.
const LENGTH_PREFIX_SIZE: usize = 4;
/// The minimum free space of the buffer before each read, in bytes.
const READ_SIZE: usize = 4 * 1024;
/// An empty buffer with more capacity is freed, in bytes.
const MAX_IDLE_CAPACITY: usize = 16 * 1024;

/// Why received bytes are invalid.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum CodecError {
    /// The connection did not begin with [`GREETING`].
    #[error("the connection does not begin with the greeting of this protocol")]
    Greeting,
    /// The length exceeds the limit.
    #[error("a message of {0} bytes exceeds the limit of {MAX_MESSAGE_LENGTH}, or of {MAX_HELLO_LENGTH} for the first")]
    TooLong(usize),
    /// The bytes cannot be decoded.
    #[error("malformed message: {0}")]
    Malformed(String),
}

// Limits on the memory for a decoded message. The decoder allocates for an announced length before it reads the content, so
// without a limit a message of ten bytes could make it allocate 16 MiB. Each limit below allows at least 64 bytes per byte of
// message; the most expensive content, an item without name and value, needs less than 20.

/// The memory limit for a message of up to [`SMALL_LENGTH`], in bytes.
const SMALL_MEMORY: usize = 256 * 1024;
/// The memory limit for a message of up to [`MEDIUM_LENGTH`], in bytes.
const MEDIUM_MEMORY: usize = 1 << 20;
/// The memory limit for a message of up to [`LARGE_LENGTH`], in bytes.
const LARGE_MEMORY: usize = 8 << 20;
/// The maximum length of a small message, in bytes.
const SMALL_LENGTH: usize = 4 * 1024;
/// The maximum length of a medium message, in bytes.
const MEDIUM_LENGTH: usize = 16 * 1024;
/// The maximum length of a large message, in bytes.
const LARGE_LENGTH: usize = 128 * 1024;

fn with_memory_limit<const LIMIT: usize>() -> Configuration<LittleEndian, Varint, Limit<LIMIT>> {
    bincode::config::standard().with_limit::<LIMIT>()
}

/// Decodes a message without its length prefix; returns it with the number of bytes that were consumed.
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

/// Encodes a message with its length prefix.
pub fn encode(message: &PeerMessage) -> Bytes {
    let body = bincode::encode_to_vec(message, bincode::config::standard()).unwrap_or_default();
    let mut out = BytesMut::with_capacity(LENGTH_PREFIX_SIZE + body.len());
    out.put_u32_le(body.len() as u32);
    out.extend_from_slice(&body);
    out.freeze()
}

/// Decodes the bytes of one connection: the greeting, then messages.
#[derive(Debug, Default)]
pub struct Decoder {
    buffer: BytesMut,
    greeting_received: bool,
    /// Whether the first message was decoded.
    hello_received: bool,
}

impl Decoder {
    /// The buffer to read into.
    pub fn read_buffer(&mut self) -> &mut BytesMut {
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_IDLE_CAPACITY {
            self.buffer = BytesMut::new();
        }
        self.buffer.reserve(READ_SIZE);
        &mut self.buffer
    }

    /// Whether the greeting has arrived. Removes it from the buffer.
    ///
    /// # Errors
    /// If the connection began with something else.
    pub fn greeting_received(&mut self) -> Result<bool, CodecError> {
        if !self.greeting_received && self.buffer.len() >= GREETING.len() {
            if self.buffer.split_to(GREETING.len()) != GREETING[..] {
                return Err(CodecError::Greeting);
            }
            self.greeting_received = true;
        }
        Ok(self.greeting_received)
    }

    /// Removes the next message from the buffer and decodes it, if it has arrived completely.
    ///
    /// # Errors
    /// If the greeting or a message is malformed. The connection is unusable after that.
    pub fn next_message(&mut self) -> Result<Option<PeerMessage>, CodecError> {
        if !self.greeting_received()? {
            return Ok(None);
        }
        let max_length = if self.hello_received { MAX_MESSAGE_LENGTH } else { MAX_HELLO_LENGTH };
        let message = decode_within(&mut self.buffer, max_length)?;
        self.hello_received |= message.is_some();
        Ok(message)
    }

    /// The number of bytes that have arrived and are not decoded yet.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// The capacity of the buffer, in bytes.
    pub fn capacity(&self) -> usize {
        self.buffer.capacity()
    }
}

/// Removes the next message from a buffer and decodes it, if it is complete.
///
/// # Errors
/// If the message is malformed.
pub fn decode(buffer: &mut BytesMut) -> Result<Option<PeerMessage>, CodecError> {
    decode_within(buffer, MAX_MESSAGE_LENGTH)
}

fn decode_within(buffer: &mut BytesMut, max_length: usize) -> Result<Option<PeerMessage>, CodecError> {
    let Some(length) = buffer.first_chunk::<LENGTH_PREFIX_SIZE>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > max_length {
        return Err(CodecError::TooLong(length));
    }
    if buffer.len() < LENGTH_PREFIX_SIZE + length {
        // No space is reserved for the announced length: the buffer grows only as bytes arrive.
        return Ok(None);
    }
    let body = &buffer[LENGTH_PREFIX_SIZE..LENGTH_PREFIX_SIZE + length];
    let (message, consumed) = decode_body(body).map_err(|error| CodecError::Malformed(error.to_string()))?;
    if consumed != length {
        return Err(CodecError::Malformed("bytes are left over".into()));
    }
    buffer.advance(LENGTH_PREFIX_SIZE + length);
    Ok(Some(message))
}
