//! Bodies of calls from outside, within what the process may hold of them at once.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use thiserror::Error;
use tokio::time::timeout;

/// No body is longer, in bytes.
pub const MAX_BODY_LENGTH: usize = 8 << 20;
/// A body up to this length is read whatever others take: heartbeats are far shorter.
const ALWAYS_READ_LENGTH: usize = 64 * 1024;
/// Longer bodies may take together one part in so many of the process's memory. Each is copied a few times on its way through
/// the process.
const MEMORY_DIVISOR: usize = 8;
/// How long a body may take: one of 8 MiB takes half of it at 2 Mbit/s.
const READ_TIMEOUT: Duration = Duration::from_secs(70);

/// Why a body is not read.
#[derive(Debug, PartialEq, Eq, Error)]
pub enum BodyError<E> {
    /// It is longer than [`MAX_BODY_LENGTH`].
    #[error("the body is over 8 MiB")]
    TooLong,
    /// Others take too much memory.
    #[error("other calls hold too much")]
    OutOfMemory,
    /// It has not arrived in time.
    #[error("the body has not come in time")]
    TimedOut,
    /// The connection failed.
    #[error("the body is not whole")]
    Connection(E),
}

/// The memory that the bodies of all calls take.
pub struct BodyMemory {
    limit: usize,
    used: Cell<usize>,
}

/// The memory of one body; freed when this is dropped.
#[must_use = "the memory counts as free once this is dropped"]
pub struct BodyPermit {
    memory: Rc<BodyMemory>,
    bytes: usize,
}

impl BodyMemory {
    /// The memory for bodies of a process that may take so many MiB.
    pub fn of_process(memory_mb: usize) -> Rc<BodyMemory> {
        Rc::new(BodyMemory { limit: memory_mb.saturating_mul(1 << 20) / MEMORY_DIVISOR, used: Cell::new(0) })
    }

    /// Reads a whole body. Cancelling frees its memory.
    ///
    /// # Errors
    /// If the body is too long or too slow, if memory is short, or if the connection fails.
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
    /// Takes more memory; returns whether there is enough.
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
