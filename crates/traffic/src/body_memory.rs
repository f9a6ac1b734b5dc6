//! Memory limit for buffered bodies: how much of a body may be buffered ahead, and whether one more body may
//! be streamed.
//!
//! All bodies share one limit. Each may buffer an eighth of what is free (a dynamic threshold, as switches
//! share buffers: Choudhury and Hahne, IEEE/ACM Transactions on Networking 6 (2), 1998): a body that stalls alone
//! holds about a ninth of the limit, and however many stall together, they leave some memory free. The buffers of
//! streamed answers are reserved even if none is free.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;

use bytes::Bytes;

use crate::streamed_body::DEFAULT_MAX_BODY_BYTES;

/// A body may be buffered further while it holds at most the free memory divided by this.
const FREE_DIVISOR: usize = 8;
/// Bytes reserved for a streamed body: a buffer of 16 KiB on either side.
const STREAM_BUFFERS: usize = 32 * 1024;
/// The process's memory divided by this is for bodies: a quarter for its own, a quarter for those of the
/// second process during an upgrade, and half for everything else.
const MEMORY_DIVISOR: usize = 4;

/// The memory that all bodies share.
#[derive(Clone)]
pub struct BodyMemoryPool(Arc<Usage>);

/// The limits of a process and the memory in use.
struct Usage {
    /// Memory for all bodies together, in bytes.
    capacity: usize,
    /// Maximum length of a body, in bytes.
    max_body_bytes: AtomicU64,
    /// Bytes reserved; may exceed `capacity`.
    reserved: AtomicUsize,
}

/// Reserved bytes; released when dropped.
pub struct Reservation {
    memory: BodyMemoryPool,
    bytes: usize,
}

impl BodyMemoryPool {
    /// The body memory of a process with a memory limit of `memory_mb` MiB.
    pub fn for_process(memory_mb: usize) -> BodyMemoryPool {
        BodyMemoryPool::with_capacity(memory_mb.saturating_mul(1024 * 1024) / MEMORY_DIVISOR)
    }

    fn with_capacity(capacity: usize) -> BodyMemoryPool {
        BodyMemoryPool(Arc::new(Usage {
            capacity,
            max_body_bytes: AtomicU64::new(DEFAULT_MAX_BODY_BYTES),
            reserved: AtomicUsize::new(0),
        }))
    }

    /// Maximum length of a body, in bytes.
    pub fn max_body_bytes(&self) -> u64 {
        self.0.max_body_bytes.load(Ordering::Relaxed)
    }

    /// Sets the maximum length of a body, in bytes.
    pub fn set_max_body_bytes(&self, max_body_bytes: u64) {
        self.0.max_body_bytes.store(max_body_bytes, Ordering::Relaxed);
    }

    /// Bytes that are not reserved.
    fn free(&self) -> usize {
        self.0.capacity.saturating_sub(self.0.reserved.load(Ordering::Relaxed))
    }

    /// An empty reservation.
    pub fn reservation(&self) -> Reservation {
        Reservation { memory: self.clone(), bytes: 0 }
    }

    /// Reserves the buffers of one more streamed request, if enough memory is free.
    pub fn try_reserve_stream(&self) -> Option<Reservation> {
        (self.free() >= STREAM_BUFFERS).then(|| self.reserve_stream())
    }

    /// Reserves the buffers of one more streamed answer, free or not: its request may have run, so it has to
    /// be delivered.
    pub fn reserve_stream(&self) -> Reservation {
        let mut reservation = self.reservation();
        reservation.add(STREAM_BUFFERS);
        reservation
    }
}

impl Reservation {
    /// Reserves `bytes` more bytes, which have been received already.
    pub fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.memory.0.reserved.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Maximum length of the body, in bytes.
    pub fn max_body_bytes(&self) -> u64 {
        self.memory.max_body_bytes()
    }

    /// Whether more of the same body may be buffered.
    pub fn may_grow(&self) -> bool {
        self.bytes <= self.memory.free() / FREE_DIVISOR
    }

    /// Ties the reservation to `bytes`: it is released when the last clone or slice of them is dropped.
    pub fn attach_to(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(ReservedBytes { bytes, _reservation: self })
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.0.reserved.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Bytes that hold their reservation until they are dropped.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Adds 1 KiB to each of `bodies` reservations in turn until none may grow.
    fn stall(memory: &BodyMemoryPool, bodies: usize) -> Vec<Reservation> {
        let mut reservations: Vec<Reservation> = (0..bodies).map(|_| memory.reservation()).collect();
        loop {
            let mut grown = false;
            for reservation in reservations
                .iter_mut()
                .filter(|reservation| reservation.may_grow() && reservation.bytes < 64 * 1024)
            {
                reservation.add(1024);
                grown = true;
            }
            if !grown {
                return reservations;
            }
        }
    }

    #[test]
    fn some_memory_stays_free_however_many_bodies_stall() {
        for bodies in [1, 10, 100, 1_000] {
            let memory = BodyMemoryPool::with_capacity(2_000_000);
            let reservations = stall(&memory, bodies);
            assert!(memory.free() > 0, "{bodies} bodies reserve all memory");
            assert!(
                bodies > 10 || reservations.iter().all(|reservation| reservation.bytes == 64 * 1024),
                "{bodies}: each body gets all that it asks for"
            );
            drop(reservations);
            assert_eq!(memory.free(), 2_000_000);
        }
    }

    #[test]
    fn a_reservation_lasts_until_the_last_slice_is_dropped() {
        let memory = BodyMemoryPool::with_capacity(100_000);
        let mut reservation = memory.reservation();
        reservation.add(5);
        let bytes = reservation.attach_to(Bytes::from_static(b"hello"));
        let part = bytes.slice(1..3);
        drop(bytes);
        assert_eq!((part.as_ref(), memory.free()), (&b"el"[..], 99_995));
        drop(part);
        assert_eq!(memory.free(), 100_000);
    }

    #[test]
    fn a_streamed_request_needs_free_memory_and_a_streamed_answer_does_not() {
        let memory = BodyMemoryPool::with_capacity(2 * STREAM_BUFFERS);
        let first = memory.try_reserve_stream();
        let answer = memory.reserve_stream();
        assert!(first.is_some() && memory.try_reserve_stream().is_none());
        let beyond = memory.reserve_stream();
        drop((first, answer));
        assert!(memory.try_reserve_stream().is_some(), "one of three is still reserved");
        drop(beyond);
        assert_eq!(memory.free(), 2 * STREAM_BUFFERS);
    }
}
