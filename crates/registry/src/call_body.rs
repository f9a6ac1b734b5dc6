//! Reads request bodies within a memory limit that all requests share.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::time::timeout;

/// The maximum length of a body, in bytes.
pub const MAX_BODY_LENGTH: usize = 8 << 20;
/// Bodies up to this length, in bytes, are read even if the memory limit is reached: heartbeats are far shorter.
const ALWAYS_READ_LENGTH: usize = 64 * 1024;
/// The process's memory divided by this is the limit for all bodies together. Each body is copied a few times while it is
/// processed.
const MEMORY_DIVISOR: usize = 8;
/// The time limit for reading a body: 8 MiB at 2 Mbit/s take half of it.
const READ_TIMEOUT: Duration = Duration::from_secs(70);

/// Why a body was not read.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum BodyError<E> {
    /// It is longer than [`MAX_BODY_LENGTH`].
    #[error("the body is over 8 MiB")]
    TooLong,
    /// The memory limit for all bodies is reached.
    #[error("other calls hold too much")]
    OutOfMemory,
    /// It did not arrive in time.
    #[error("the body has not come in time")]
    TimedOut,
    /// The connection failed before the end of the body.
    #[error("the body is not whole")]
    Connection(E),
}

/// Accounts for the memory that the bodies of all calls use, in bytes.
pub struct BodyMemory {
    limit: usize,
    used: Cell<usize>,
}

/// The memory reserved for one body; released on drop.
#[must_use = "the reservation is released once this is dropped"]
pub struct BodyPermit {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl BodyMemory {
    /// The body memory of a process with a memory limit of `memory_mb` MiB.
    pub fn of_process(memory_mb: usize) -> Rc<BodyMemory> {
        Rc::new(BodyMemory { limit: memory_mb.saturating_mul(1 << 20) / MEMORY_DIVISOR, used: Cell::new(0) })
    }

    /// Reads a body to its end. Cancelling releases its memory.
    ///
    /// # Errors
    /// If the body is too long or too slow, the memory limit is reached, or the connection fails.
    pub async fn read<B>(self: &Rc<Self>, body: B) -> Result<(Bytes, BodyPermit), BodyError<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        timeout(READ_TIMEOUT, self.read_without_timeout(body)).await.unwrap_or(Err(BodyError::TimedOut))
    }

    async fn read_without_timeout<B>(
        self: &Rc<Self>,
        mut body: B,
    ) -> Result<(Bytes, BodyPermit), BodyError<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if body.size_hint().lower() > MAX_BODY_LENGTH as u64 {
            return Err(BodyError::TooLong);
        }
        let mut permit = BodyPermit { memory: self.clone(), bytes: 0 };
        let mut received = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(BodyError::Connection)?.into_data() else { continue };
            if received.len() + data.len() > MAX_BODY_LENGTH {
                return Err(BodyError::TooLong);
            }
            if !permit.grow(data.len()) {
                return Err(BodyError::OutOfMemory);
            }
            received.extend_from_slice(&data);
        }
        Ok((received.freeze(), permit))
    }
}

impl BodyPermit {
    /// Reserves more memory; returns `false`, and reserves nothing, if the limit does not allow it.
    #[must_use]
    fn grow(&mut self, bytes: usize) -> bool {
        let used = self.memory.used.get() + bytes;
        if self.bytes + bytes > ALWAYS_READ_LENGTH && used > self.memory.limit {
            return false;
        }
        self.bytes += bytes;
        self.memory.used.set(used);
        true
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.memory.used.set(self.memory.used.get() - self.bytes);
    }
}
