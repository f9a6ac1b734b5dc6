//! Acknowledgements of replicated items, which wait until the items are durable.

use pinerelay_peer_link::link::ConnectionId;

/// The ids of writes of runtime items are above this one, and those of the consensus group's writes below it.
const FIRST_WRITE_ID: u64 = 1 << 63;

/// An acknowledgement that waits for a write.
#[derive(Debug, Clone, Copy)]
struct Waiting {
    /// The write, and all earlier ones.
    write: u64,
    connection: ConnectionId,
    /// The number of the replication request.
    number: u64,
}

/// The writes of runtime items, which become durable in the order of their ids, and the acknowledgements that wait for them.
#[derive(Debug)]
pub(super) struct Acknowledgements {
    /// The newest write.
    newest: u64,
    /// The newest durable write.
    durable: u64,
    waiting: Vec<Waiting>,
}

impl Acknowledgements {
    /// Creates the state without writes.
    pub(super) fn new() -> Acknowledgements {
        Acknowledgements { newest: FIRST_WRITE_ID, durable: FIRST_WRITE_ID, waiting: Vec::new() }
    }

    /// Returns the id for a further write.
    pub(super) fn next_write(&mut self) -> u64 {
        self.newest += 1;
        self.newest
    }

    /// Notes that a write is durable, of runtime items or another one.
    pub(super) fn write_completed(&mut self, id: u64) {
        if id > FIRST_WRITE_ID {
            self.durable = self.durable.max(id);
        }
    }

    /// Has a replication request wait for all writes so far.
    pub(super) fn wait(&mut self, connection: ConnectionId, number: u64) {
        self.waiting.push(Waiting { write: self.newest, connection, number });
    }

    /// Forgets the requests from a connection that has closed.
    pub(super) fn disconnected(&mut self, connection: ConnectionId) {
        self.waiting.retain(|waiting| waiting.connection != connection);
    }

    /// Returns the requests whose items are durable, and forgets them.
    pub(super) fn take_durable(&mut self) -> Vec<(ConnectionId, u64)> {
        let durable = self.durable;
        let acknowledged = self.waiting.extract_if(.., |waiting| waiting.write <= durable);
        acknowledged.map(|Waiting { connection, number, .. }| (connection, number)).collect()
    }
}
