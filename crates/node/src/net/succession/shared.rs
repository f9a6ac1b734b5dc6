//! State shared with the other processes of the address, for the request-serving thread: no call here waits for the disk.
//!
//! A thread of its own accesses the files. Danger: on a busy disk a rename, a truncation or the first write in a second can
//! block for seconds, and would block every request of a process that serves on one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc;
use std::time::Duration;

use pinerelay_succession::held::{Call, HeldOut, UnixMs};
use pinerelay_succession::process::Others;
use pinerelay_succession::record::{Learned, Standing};
use serde_json::Value;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::timeout;

use super::records::{now, JoinError, OwnState, Records, SyncResult};

/// How long writing a call to the files may take. Callers wait for a second.
const CALL_WAIT: Duration = Duration::from_millis(700);

/// Requests to the file thread.
enum FileRequest {
    /// Read the others' records and write this process's.
    Sync { own: OwnState, learned: Option<Value> },
    /// Apply and write an operator's call.
    Call { name: String, call: Call, answer: oneshot::Sender<(io::Result<()>, HeldOut)> },
    /// Drop the marks of re-included app servers that are not in this set.
    Listed(BTreeSet<String>),
}

/// The result of a sync, and the excluded app servers if they have changed.
type SyncOutcome = (SyncResult, Option<HeldOut>);

/// The shared state as this process knows it.
pub struct Shared {
    requests: Option<mpsc::Sender<FileRequest>>,
    outcomes: RefCell<UnboundedReceiver<SyncOutcome>>,
    /// A sync has been requested and its result not taken yet.
    sync_pending: Cell<bool>,
    held: RefCell<HeldOut>,
    /// Exclusions that the file thread has not confirmed yet; they take effect here at once.
    unconfirmed: RefCell<BTreeSet<String>>,
    /// The learned state of the previous process.
    learned: Option<Learned>,
}

impl Shared {
    /// State of a process that shares with no other.
    pub fn alone() -> Shared {
        let (_, outcomes) = unbounded_channel();
        Shared {
            requests: None,
            outcomes: RefCell::new(outcomes),
            sync_pending: Cell::new(false),
            held: RefCell::default(),
            unconfirmed: RefCell::default(),
            learned: None,
        }
    }

    /// Joins the processes that listen at this address: runs the first sync, which may block on the disk, then starts the
    /// file thread.
    pub fn join(folder: &Path, listen: SocketAddr, limit: usize) -> Result<(Shared, SyncResult), JoinError> {
        let records = Records::join(folder, listen, limit)?;
        let synced = records.sync(OwnState { standing: Standing::Coming, used: 0 });
        let (held, learned) = (records.held_out(), records.learned());
        let (requests, request_receiver) = mpsc::channel();
        let (outcome_sender, outcomes) = unbounded_channel();
        std::thread::Builder::new()
            .name("succession".into())
            .spawn(move || run_file_thread(&records, &request_receiver, &outcome_sender))
            .map_err(|error| JoinError::File(folder.into(), error))?;
        let shared = Shared {
            requests: Some(requests),
            outcomes: RefCell::new(outcomes),
            sync_pending: Cell::new(false),
            held: RefCell::new(held),
            unconfirmed: RefCell::default(),
            learned,
        };
        Ok((shared, synced))
    }

    /// Whether this process shares with no other.
    pub fn is_alone(&self) -> bool {
        self.requests.is_none()
    }

    /// The learned state of the previous process.
    pub fn learned(&self) -> Option<&Learned> {
        self.learned.as_ref()
    }

    /// Whether an app server is excluded from new requests.
    pub fn is_excluded(&self, name: &str) -> bool {
        self.unconfirmed.borrow().contains(name) || self.held.borrow().holds(name)
    }

    /// The start time of an app server, from its source's `since_ms` and the time of its re-inclusion.
    pub fn started(&self, name: &str, since_ms: UnixMs) -> UnixMs {
        self.held.borrow().started(name, since_ms)
    }

    /// Drops the marks of re-included app servers that are no longer listed.
    pub fn listed(&self, names: BTreeSet<String>) {
        match &self.requests {
            Some(requests) => drop(requests.send(FileRequest::Listed(names))),
            None => self.held.borrow_mut().forget(now(), |name| names.contains(name)),
        }
    }

    /// Applies an operator's call and publishes it to the other processes. An exclusion takes effect here at once, even if
    /// publishing fails; an inclusion takes effect once it is written.
    pub fn call<'a>(&'a self, name: &'a str, call: Call) -> impl Future<Output = io::Result<()>> + 'a {
        let (answer, answered) = oneshot::channel();
        let sent = self
            .requests
            .as_ref()
            .map(|requests| requests.send(FileRequest::Call { name: name.into(), call, answer }));
        match sent {
            Some(_) if call == Call::Exclude => drop(self.unconfirmed.borrow_mut().insert(name.into())),
            Some(_) => {}
            None => drop(self.held.borrow_mut().call(name, call, now(), false)),
        }
        async move {
            let ended = || io::Error::other("nobody writes to the files any more");
            match sent {
                None => return Ok(()),
                Some(sent) => sent.map_err(|_| ended())?,
            }
            match timeout(CALL_WAIT, answered).await {
                Ok(Ok((done, held))) => {
                    if call == Call::Include && done.is_ok() {
                        self.unconfirmed.borrow_mut().remove(name);
                    }
                    self.merge_held_out(&held);
                    done
                }
                Ok(Err(_)) => Err(ended()),
                Err(_) => Err(io::Error::new(io::ErrorKind::TimedOut, "the disk stands still")),
            }
        }
    }

    /// Requests a sync unless one is under way; returns whether it did.
    pub fn request_sync(&self, own: OwnState, learned: Option<Value>) -> bool {
        if self.sync_pending.get() {
            return false;
        }
        let requested = self
            .requests
            .as_ref()
            .is_some_and(|requests| requests.send(FileRequest::Sync { own, learned }).is_ok());
        self.sync_pending.set(requested);
        requested
    }

    /// Waits for the result of the sync under way; forever if there is none.
    pub async fn next_sync_result(&self) -> SyncResult {
        let synced = std::future::poll_fn(|cx| self.outcomes.borrow_mut().poll_recv(cx)).await;
        let Some((result, held)) = synced else { return std::future::pending().await };
        self.sync_pending.set(false);
        held.iter().for_each(|held| self.merge_held_out(held));
        result
    }

    /// The sync result of a process that shares with no other.
    pub fn sync_alone(limit: usize) -> SyncResult {
        SyncResult {
            exclusions_changed: false,
            claim: limit,
            others: Others::default(),
            awaits_repair: false,
        }
    }

    /// Merges exclusions, so that late results undo nothing.
    fn merge_held_out(&self, held: &HeldOut) {
        self.held.borrow_mut().merge(held);
        self.unconfirmed.borrow_mut().retain(|name| !held.holds(name));
    }
}

/// The file thread: handles requests in order until all senders are gone.
fn run_file_thread(
    records: &Records,
    request_receiver: &mpsc::Receiver<FileRequest>,
    outcome_sender: &UnboundedSender<SyncOutcome>,
) {
    while let Ok(request) = request_receiver.recv() {
        match request {
            FileRequest::Sync { own, learned } => {
                if let Some(learned) = learned {
                    records.set_learned(learned);
                }
                let synced = records.sync(own);
                if outcome_sender
                    .send((synced, synced.exclusions_changed.then(|| records.held_out())))
                    .is_err()
                {
                    return;
                }
            }
            FileRequest::Call { name, call, answer } => {
                // Danger: the caller of an inclusion that timed out was answered that it may not be done, and may have changed
                // the decision.
                if call == Call::Include && answer.is_closed() {
                    continue;
                }
                let done = records.call(&name, call);
                // The caller may have timed out already.
                let _ = answer.send((done, records.held_out()));
            }
            FileRequest::Listed(names) => records.forget(|name| names.contains(name)),
        }
    }
}

#[cfg(test)]
mod tests;
