//! The writer thread. All queued changes are written in one transaction, with one sync.

use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::{Duration, Instant};

use pinerelay_consensus::StateChange;
use pinerelay_peer_link::message::Metric;
use tokio::sync::mpsc::UnboundedSender;

use super::database::Database;

/// How long to wait before a failed write is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// A change that is queued to be written.
pub(super) struct PendingWrite {
    /// Identifies the write.
    pub id: u64,
    /// The change.
    pub change: StateChange,
}

/// Counters of the writer thread.
#[derive(Default)]
pub(super) struct WriterCounts {
    succeeded: AtomicU64,
    failed: AtomicU64,
    /// Total duration of all writes, failed ones included, in microseconds.
    duration_micros: AtomicU64,
}

impl WriterCounts {
    /// The counters as metrics.
    pub(super) fn metrics(&self) -> Vec<Metric> {
        let value = |count: &AtomicU64| count.load(Relaxed) as f64;
        vec![
            Metric::new("config_store_writes_total", value(&self.succeeded)),
            Metric::new("config_store_writes_refused_total", value(&self.failed)),
            Metric::new("config_store_write_seconds_total", value(&self.duration_micros) / 1e6),
        ]
    }
}

/// Changes that are merged into one transaction and not durable yet.
#[derive(Default)]
struct Batch {
    change: StateChange,
    ids: Vec<u64>,
}

impl Batch {
    fn add(&mut self, write: PendingWrite) {
        self.change.append(write.change);
        self.ids.push(write.id);
    }
}

/// Writes changes until the sending side is dropped.
pub(super) fn run(
    mut database: Database,
    changes: &Receiver<PendingWrite>,
    durable: &UnboundedSender<u64>,
    counts: &WriterCounts,
) {
    let (mut batch, mut is_failing) = (Batch::default(), false);
    while fill_batch(&mut batch, changes) {
        let started = Instant::now();
        let result = database.write(&batch.change);
        counts.duration_micros.fetch_add(started.elapsed().as_micros() as u64, Relaxed);
        match result {
            Ok(()) => {
                counts.succeeded.fetch_add(1, Relaxed);
                if std::mem::take(&mut is_failing) {
                    log::info!("writing to the database succeeds again");
                }
                for id in std::mem::take(&mut batch).ids {
                    let _ = durable.send(id);
                }
            }
            Err(error) => {
                counts.failed.fetch_add(1, Relaxed);
                if !std::mem::replace(&mut is_failing, true) {
                    log::warn!("writing to the database failed and is retried: {error}");
                }
            }
        }
    }
}

/// Adds all queued changes to the batch. With an empty batch it blocks until a change arrives, with one whose write failed for
/// [`RETRY_INTERVAL`] at most. Returns false once the sending side is dropped.
fn fill_batch(batch: &mut Batch, changes: &Receiver<PendingWrite>) -> bool {
    let first = if batch.ids.is_empty() {
        changes.recv().map_err(|_| RecvTimeoutError::Disconnected)
    } else {
        changes.recv_timeout(RETRY_INTERVAL)
    };
    match first {
        Ok(write) => batch.add(write),
        Err(RecvTimeoutError::Timeout) => {}
        Err(RecvTimeoutError::Disconnected) => return false,
    }
    while let Ok(write) = changes.try_recv() {
        batch.add(write);
    }
    true
}
