//! Links between the gateway's own processes: TCP connections that are re-established with backoff while their handle exists.
//!
//! A link without incoming bytes for [`LINK_TIMEOUT`] is closed, so each end sends something every [`KEEPALIVE_INTERVAL`]. All
//! links of a process share limits on received data that is buffered, so that no peer can exhaust its memory.

use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::BTreeMap;
use std::hash::BuildHasher;
use std::io;
use std::mem::MaybeUninit;
use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::backoff::Backoff;
use crate::codec::{self, CodecError, Decoder, GREETING};
use crate::message::{Metric, PeerMessage};

/// Identifies a connection of this process; never reused.
pub type ConnectionId = u64;

/// A link is closed if nothing arrives on it for this long.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Each end of a link sends at least one message in this interval.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(600);
/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum size of a link's send queue, in bytes. A link whose peer reads too slowly is closed above it.
const SEND_QUEUE_LIMIT: usize = 32 << 20;
/// The pause of the listener after a failed `accept`.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// The length of the listener's accept queue.
const ACCEPT_BACKLOG: u32 = 1024;
/// The maximum number of simultaneous incoming connections; further ones are closed immediately.
const MAX_ACCEPTED: usize = 1_024;
/// The limit on the capacity of all receive buffers together, in bytes; above it the link with the largest buffer is closed. A
/// single message of the maximum length fits, although its buffer grows by doubling.
const RECEIVE_BUFFER_LIMIT: usize = 40 << 20;
/// The limit on received messages that the process has not handled yet, in KiB; each message counts as its length rounded down
/// to KiB, plus one. A link is not read while its next message exceeds the limit: a peer can send messages of five bytes faster
/// than they are handled.
const UNHANDLED_LIMIT_KIB: u32 = 4 * 1024;

/// An event on a link.
#[derive(Debug)]
pub enum LinkEvent {
    /// A connection was established, with the address of its other end.
    Connected(ConnectionId, SocketAddrV4),
    /// A message has arrived on a connection.
    Received(ConnectionId, PeerMessage),
    /// A connection has ended.
    Disconnected(ConnectionId),
}

/// The state of one connection.
struct Connection {
    queue: UnboundedSender<Bytes>,
    /// The size of the send queue, in bytes.
    queued_bytes: Rc<Cell<usize>>,
    /// The capacity of its receive buffer, in bytes.
    receive_capacity: usize,
    close: Rc<Notify>,
}

/// An event, and the permits of [`UNHANDLED_LIMIT_KIB`] that a message holds until it is handled.
type QueuedEvent = (LinkEvent, Option<OwnedSemaphorePermit>);

/// The events of all links of a process, in order.
pub struct LinkEvents {
    receiver: UnboundedReceiver<QueuedEvent>,
    unhandled: Arc<Semaphore>,
}

impl LinkEvents {
    /// Waits for the next event; `None` once the links are dropped.
    pub async fn recv(&mut self) -> Option<LinkEvent> {
        self.receiver.recv().await.map(|(event, _)| event)
    }

    /// The number of queued events; `None` while received messages may be waiting for others to be handled before they are queued.
    pub fn queued(&self) -> Option<usize> {
        // The semaphore is fair: it has no permits left while a message waits for some.
        (self.unhandled.available_permits() > 0).then(|| self.receiver.len())
    }
}

/// The links of a process.
pub struct Links {
    events: UnboundedSender<QueuedEvent>,
    unhandled: Arc<Semaphore>,
    /// The capacity of all receive buffers together, in bytes.
    total_receive_capacity: Cell<usize>,
    connections: RefCell<BTreeMap<ConnectionId, Connection>>,
    last_connection: Cell<ConnectionId>,
    accepted: Cell<usize>,
    sent_bytes: Cell<u64>,
    received_bytes: Cell<u64>,
    /// The number of connections that were closed because of malformed input.
    malformed: Cell<u64>,
    /// The number of connections that have ended.
    closed: Cell<u64>,
}

/// Handle to an outgoing link. Dropping it closes the link and ends all attempts to connect.
#[must_use = "dropping it closes the link"]
pub struct LinkHandle(AbortHandle);

impl Drop for LinkHandle {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Removes a connection when its task ends, also by cancellation.
struct ConnectionGuard {
    links: Rc<Links>,
    id: ConnectionId,
    /// Whether [`LinkEvent::Connected`] was reported.
    reported: Rc<Cell<bool>>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(connection) = self.links.connections.borrow_mut().remove(&self.id) {
            self.links.closed.set(self.links.closed.get() + 1);
            self.links
                .total_receive_capacity
                .set(self.links.total_receive_capacity.get() - connection.receive_capacity);
        }
        if self.reported.get() {
            self.links.report(LinkEvent::Disconnected(self.id), None);
        }
    }
}

impl Links {
    /// Creates an empty set of links, and the receiver of their events.
    pub fn new() -> (Rc<Links>, LinkEvents) {
        let (events, receiver) = unbounded_channel();
        let unhandled = Arc::new(Semaphore::new(UNHANDLED_LIMIT_KIB as usize));
        let links = Links {
            events,
            unhandled: unhandled.clone(),
            total_receive_capacity: Cell::new(0),
            connections: RefCell::default(),
            last_connection: Cell::new(0),
            accepted: Cell::new(0),
            sent_bytes: Cell::new(0),
            received_bytes: Cell::new(0),
            malformed: Cell::new(0),
            closed: Cell::new(0),
        };
        (Rc::new(links), LinkEvents { receiver, unhandled })
    }

    /// Metrics of all links. `program` is the prefix of their names.
    pub fn metrics(&self, program: &str) -> Vec<Metric> {
        let connections = self.connections.borrow();
        let longest_queue = connections.values().map(|connection| connection.queued_bytes.get()).max();
        [
            ("links", connections.len() as f64),
            ("links_closed_total", self.closed.get() as f64),
            ("link_longest_queue_bytes", longest_queue.unwrap_or(0) as f64),
            ("link_sent_bytes_total", self.sent_bytes.get() as f64),
            ("link_received_bytes_total", self.received_bytes.get() as f64),
            ("links_malformed_total", self.malformed.get() as f64),
        ]
        .map(|(name, value)| Metric::new(format!("{program}_{name}"), value))
        .to_vec()
    }

    /// Accepts links on an address.
    ///
    /// # Errors
    /// If the process cannot listen on the address.
    pub fn listen(self: &Rc<Self>, address: SocketAddrV4) -> io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address.into())?;
        let listener = socket.listen(ACCEPT_BACKLOG)?;
        tokio::task::spawn_local(self.clone().accept(listener));
        Ok(())
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, SocketAddr::V4(from))) if self.accepted.get() < MAX_ACCEPTED => {
                    self.accepted.set(self.accepted.get() + 1);
                    let links = self.clone();
                    tokio::task::spawn_local(async move {
                        links.clone().run_connection(stream, from).await;
                        links.accepted.set(links.accepted.get() - 1);
                    });
                }
                Ok(_) => {}
                Err(error) => {
                    log::warn!("failed to accept a connection: {error}");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Connects to an address, and reconnects with exponential backoff until the handle is dropped. Only a connection that carried
    /// the greeting of the other end resets the backoff: the kernel also accepts connections for a process that never greets.
    pub fn connect(self: &Rc<Self>, address: SocketAddrV4) -> LinkHandle {
        let links = self.clone();
        let task = tokio::task::spawn_local(async move {
            let mut backoff = Backoff::new(RandomState::new().hash_one(address));
            loop {
                if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                    if links.clone().run_connection(stream, address).await {
                        backoff.reset();
                    }
                }
                sleep(backoff.pause()).await;
            }
        });
        LinkHandle(task.abort_handle())
    }

    /// Queues a message on a connection; does nothing if the connection has ended.
    pub fn send(&self, id: ConnectionId, message: &PeerMessage) {
        self.send_bytes(id, codec::encode(message));
    }

    /// Queues the same message on several connections, and encodes it only once.
    pub fn send_all(&self, ids: impl IntoIterator<Item = ConnectionId>, message: &PeerMessage) {
        let bytes = codec::encode(message);
        ids.into_iter().for_each(|id| self.send_bytes(id, bytes.clone()));
    }

    fn send_bytes(&self, id: ConnectionId, bytes: Bytes) {
        let connections = self.connections.borrow();
        let Some(connection) = connections.get(&id) else { return };
        self.sent_bytes.set(self.sent_bytes.get() + bytes.len() as u64);
        connection.queued_bytes.set(connection.queued_bytes.get() + bytes.len());
        if connection.queued_bytes.get() > SEND_QUEUE_LIMIT {
            connection.close.notify_one();
        } else {
            let _ = connection.queue.send(bytes);
        }
    }

    /// Closes a connection.
    pub fn close(&self, id: ConnectionId) {
        if let Some(connection) = self.connections.borrow().get(&id) {
            connection.close.notify_one();
        }
    }

    /// Updates the capacity of a connection's receive buffer, and enforces [`RECEIVE_BUFFER_LIMIT`].
    fn set_receive_capacity(&self, id: ConnectionId, bytes: usize) {
        let mut connections = self.connections.borrow_mut();
        let Some(connection) = connections.get_mut(&id) else { return };
        let previous = std::mem::replace(&mut connection.receive_capacity, bytes);
        self.total_receive_capacity.set(self.total_receive_capacity.get() - previous + bytes);
        if self.total_receive_capacity.get() > RECEIVE_BUFFER_LIMIT {
            if let Some(largest) = connections.values().max_by_key(|connection| connection.receive_capacity) {
                largest.close.notify_one();
            }
        }
    }

    /// Emits an event.
    pub(crate) fn report(&self, event: LinkEvent, permit: Option<OwnedSemaphorePermit>) {
        // Sending fails if the process does not receive events any more.
        let _ = self.events.send((event, permit));
    }

    /// Emits the event of a received message, once there are enough permits of [`UNHANDLED_LIMIT_KIB`].
    async fn report_received(&self, id: ConnectionId, message: PeerMessage, bytes: usize) {
        let permits = (1 + bytes / 1024).min(UNHANDLED_LIMIT_KIB as usize) as u32;
        let permit = self.unhandled.clone().acquire_many_owned(permits).await.ok();
        self.report(LinkEvent::Received(id, message), permit);
    }

    /// Runs one connection until it ends; returns whether it was reported as connected. Cancelling the future closes it.
    async fn run_connection(self: Rc<Self>, stream: TcpStream, peer: SocketAddrV4) -> bool {
        // Errors are ignored: without these options messages and failure detection are only slower.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(LINK_TIMEOUT));
        let id = self.last_connection.get() + 1;
        self.last_connection.set(id);
        let (queue, receiver) = unbounded_channel::<Bytes>();
        let (queued_bytes, close) = (Rc::new(Cell::new(0_usize)), Rc::new(Notify::new()));
        let connection = Connection {
            queue,
            queued_bytes: queued_bytes.clone(),
            receive_capacity: 0,
            close: close.clone(),
        };
        self.connections.borrow_mut().insert(id, connection);
        let reported = Rc::new(Cell::new(false));
        let _guard = ConnectionGuard { links: self.clone(), id, reported: reported.clone() };
        let (reader, writer) = stream.into_split();
        tokio::select! {
            biased;
            () = close.notified() => {}
            result = self.read_messages(reader, id, peer, &reported) => {
                if let Err(error) = result {
                    self.malformed.set(self.malformed.get() + 1);
                    log::debug!("closing the link with {peer}: {error}");
                }
            }
            _ = write_messages(writer, receiver, &queued_bytes) => {}
        }
        reported.get()
    }

    /// Reads messages until the connection ends or nothing arrives for [`LINK_TIMEOUT`].
    async fn read_messages(
        &self,
        mut reader: OwnedReadHalf,
        id: ConnectionId,
        peer: SocketAddrV4,
        reported: &Cell<bool>,
    ) -> Result<(), CodecError> {
        let mut decoder = Decoder::default();
        loop {
            match timeout(LINK_TIMEOUT, reader.read_buf(decoder.read_buffer())).await {
                Ok(Ok(bytes @ 1..)) => self.received_bytes.set(self.received_bytes.get() + bytes as u64),
                _ => return Ok(()),
            }
            self.set_receive_capacity(id, decoder.capacity());
            if decoder.greeting_received()? && !reported.get() {
                if decoder.buffered() == 0 && has_ended(&reader) {
                    // The other end gave up while the connection waited to be accepted.
                    return Ok(());
                }
                reported.set(true);
                self.report(LinkEvent::Connected(id, peer), None);
            }
            let mut buffered = decoder.buffered();
            while let Some(message) = decoder.next_message()? {
                let bytes = buffered - decoder.buffered();
                buffered = decoder.buffered();
                self.report_received(id, message, bytes).await;
            }
        }
    }
}

/// Whether nothing more will arrive on a connection, since the other end has closed or reset it.
fn has_ended(reader: &OwnedReadHalf) -> bool {
    let mut next = [MaybeUninit::uninit()];
    match SockRef::from(reader.as_ref()).peek(&mut next) {
        Ok(bytes) => bytes == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// Writes the greeting and then the queued messages, until the connection ends.
async fn write_messages(
    mut writer: OwnedWriteHalf,
    mut queue: UnboundedReceiver<Bytes>,
    queued_bytes: &Cell<usize>,
) -> io::Result<()> {
    writer.write_all(&GREETING).await?;
    while let Some(first) = queue.recv().await {
        let bytes = join_queued(first, &mut queue);
        queued_bytes.set(queued_bytes.get().saturating_sub(bytes.len()));
        writer.write_all(&bytes).await?;
    }
    Ok(())
}

/// Concatenates all queued messages, so that they are written at once.
fn join_queued(first: Bytes, queue: &mut UnboundedReceiver<Bytes>) -> Bytes {
    let Ok(second) = queue.try_recv() else { return first };
    let mut joined = BytesMut::from(&first[..]);
    joined.extend_from_slice(&second);
    while let Ok(more) = queue.try_recv() {
        joined.extend_from_slice(&more);
    }
    joined.freeze()
}
