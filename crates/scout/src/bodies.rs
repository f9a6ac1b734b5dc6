//! Bodies of calls from outside, within what the process may hold of them at once.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::time::timeout;

/// No body of a call is longer, in bytes.
pub const LONGEST: usize = 8 << 20;
/// A body up to this length is taken in whatever others hold: the words of servers are far shorter.
const SMALL: usize = 64 * 1024;
/// The part of the process's memory that longer bodies may hold together. On its way through the process a body is copied a
/// few times.
const OF_MEMORY: usize = 8;
/// How long a body may take: one of 8 MiB takes half of it at 2 Mbit/s.
const WAIT: Duration = Duration::from_secs(70);

/// Why a body is not taken in.
#[derive(Debug, PartialEq, Eq)]
pub enum Untaken<E> {
    /// It is longer than [`LONGEST`].
    Long,
    /// Others hold too much.
    Full,
    /// It has not come in time.
    Late,
    /// It can't be read.
    Unread(E),
}

/// What the bodies of all calls hold.
pub struct Bodies {
    most: usize,
    held: Cell<usize>,
}

/// What one body holds, until its call is answered.
pub struct Hold {
    bodies: Rc<Bodies>,
    bytes: usize,
}

impl Bodies {
    /// Of a process that may hold so many MiB.
    pub fn of(memory_mb: usize) -> Rc<Bodies> {
        Rc::new(Bodies { most: memory_mb.saturating_mul(1 << 20) / OF_MEMORY, held: Cell::new(0) })
    }

    /// Takes in a whole body.
    pub async fn take<B>(self: &Rc<Self>, body: B) -> Result<(Bytes, Hold), Untaken<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        timeout(WAIT, self.take_at_leisure(body)).await.unwrap_or(Err(Untaken::Late))
    }

    async fn take_at_leisure<B>(self: &Rc<Self>, mut body: B) -> Result<(Bytes, Hold), Untaken<B::Error>>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if body.size_hint().lower() > LONGEST as u64 {
            return Err(Untaken::Long);
        }
        let mut hold = Hold { bodies: self.clone(), bytes: 0 };
        let mut come = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(Untaken::Unread)?.into_data() else { continue };
            if come.len() + data.len() > LONGEST {
                return Err(Untaken::Long);
            }
            if !hold.grow(data.len()) {
                return Err(Untaken::Full);
            }
            come.extend_from_slice(&data);
        }
        Ok((come.freeze(), hold))
    }
}

impl Hold {
    /// Tells whether there is room.
    fn grow(&mut self, bytes: usize) -> bool {
        let held = self.bodies.held.get() + bytes;
        if self.bytes + bytes > SMALL && held > self.bodies.most {
            return false;
        }
        self.bytes += bytes;
        self.bodies.held.set(held);
        true
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.bodies.held.set(self.bodies.held.get() - self.bytes);
    }
}
