//! Links between the gateway's own processes: connections that are made anew as long as they are wanted.
//!
//! A link that has been silent for [`LINK_TIMEOUT`] is closed; whoever is alive sends something each [`KEEPALIVE_INTERVAL`].
//! All links of a process share bounds on what they buffer, so that no peer can exhaust its memory.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
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

use crate::codec::{self, CodecError, Decoder, GREETING};
use crate::message::{Metric, PeerMessage};

/// Identifies a connection of this process; never reused.
pub type ConnectionId = u64;

/// A link that has been silent for so long is closed.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How often each end of a link sends something.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(600);
/// How long a connection may take to come up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The first backoff between attempts to connect.
const BACKOFF_MIN: Duration = Duration::from_millis(100);
/// The longest backoff.
const BACKOFF_MAX: Duration = Duration::from_millis(800);
/// Bytes that may wait for a peer that does not read; with more, the link is closed.
const SEND_QUEUE_LIMIT: usize = 32 << 20;
/// Pause of the listener when accepting fails.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);
/// Connections that may wait to be accepted.
const ACCEPT_BACKLOG: u32 = 1024;
/// Connections that others may have to this process at once.
const MAX_ACCEPTED: usize = 1_024;
/// Bytes that incomplete messages on all links may take; above it the link that holds most is closed. One message of the
/// greatest length fits: its buffer grows by doubling.
const RECEIVE_BUFFER_LIMIT: usize = 40 << 20;
/// KiB that received messages may take until the process handles them, each counted as one more than its length; links are not
/// read meanwhile. A peer can send messages of five bytes faster than they are handled.
const UNHANDLED_LIMIT_KIB: u32 = 4 * 1024;

/// What happens on links.
#[derive(Debug)]
pub enum LinkEvent {
    /// A connection has come up, and the address of its other end.
    Connected(ConnectionId, SocketAddrV4),
    /// A message has arrived on it.
    Received(ConnectionId, PeerMessage),
    /// It is gone.
    Disconnected(ConnectionId),
}

/// One connection, as the process sees it.
struct Connection {
    queue: UnboundedSender<Bytes>,
    /// Bytes that wait in the queue.
    queued: Rc<Cell<usize>>,
    /// Capacity of its receive buffer, in bytes.
    receive_buffer: usize,
    close: Rc<Notify>,
}

/// An event, and the share of [`UNHANDLED_LIMIT_KIB`] that it takes until it is handled.
type QueuedEvent = (LinkEvent, Option<OwnedSemaphorePermit>);

/// The events of a process's links, in their order.
pub struct LinkEvents(UnboundedReceiver<QueuedEvent>);

impl LinkEvents {
    /// The next event; `None` once the links are gone.
    pub async fn recv(&mut self) -> Option<LinkEvent> {
        self.0.recv().await.map(|(event, _)| event)
    }
}

/// The links of a process.
pub struct Links {
    events: UnboundedSender<QueuedEvent>,
    unhandled: Arc<Semaphore>,
    /// Capacity of all receive buffers, in bytes.
    receive_buffers: Cell<usize>,
    connections: RefCell<BTreeMap<ConnectionId, Connection>>,
    last_connection: Cell<ConnectionId>,
    accepted: Cell<usize>,
    sent_bytes: Cell<u64>,
    received_bytes: Cell<u64>,
    /// Connections that were closed because something malformed arrived.
    malformed: Cell<u64>,
}

/// A link that is wanted. Dropping it closes the link and ends all attempts to connect.
#[must_use = "dropping it closes the link"]
pub struct LinkHandle(AbortHandle);

impl Drop for LinkHandle {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Removes its connection when the connection's task ends, however that ends.
struct ConnectionGuard {
    links: Rc<Links>,
    id: ConnectionId,
    /// Whether [`LinkEvent::Connected`] was reported.
    reported: Rc<Cell<bool>>,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        if let Some(connection) = self.links.connections.borrow_mut().remove(&self.id) {
            self.links.receive_buffers.set(self.links.receive_buffers.get() - connection.receive_buffer);
        }
        if self.reported.get() {
            let _ = self.links.events.send((LinkEvent::Disconnected(self.id), None));
        }
    }
}

impl Links {
    /// No links yet, and the events of those to come.
    pub fn new() -> (Rc<Links>, LinkEvents) {
        let (events, receiver) = unbounded_channel();
        let links = Links {
            events,
            unhandled: Arc::new(Semaphore::new(UNHANDLED_LIMIT_KIB as usize)),
            receive_buffers: Cell::new(0),
            connections: RefCell::default(),
            last_connection: Cell::new(0),
            accepted: Cell::new(0),
            sent_bytes: Cell::new(0),
            received_bytes: Cell::new(0),
            malformed: Cell::new(0),
        };
        (Rc::new(links), LinkEvents(receiver))
    }

    /// Metrics of all links. The names begin with the program's.
    pub fn metrics(&self, program: &str) -> Vec<Metric> {
        [
            ("links", self.connections.borrow().len() as f64),
            ("link_sent_bytes_total", self.sent_bytes.get() as f64),
            ("link_received_bytes_total", self.received_bytes.get() as f64),
            ("links_malformed_total", self.malformed.get() as f64),
        ]
        .map(|(name, value)| Metric::new(format!("{program}_{name}"), value))
        .to_vec()
    }

    /// Accepts links at an address.
    ///
    /// # Errors
    /// If the address cannot be listened at.
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
                        links.clone().carry(stream, from).await;
                        links.accepted.set(links.accepted.get() - 1);
                    });
                }
                Ok(_) => {}
                Err(error) => {
                    log::warn!("accepting a link failed: {error}");
                    sleep(ACCEPT_BACKOFF).await;
                }
            }
        }
    }

    /// Keeps a link to an address, which is made anew whenever it breaks.
    pub fn connect(self: &Rc<Self>, address: SocketAddrV4) -> LinkHandle {
        let links = self.clone();
        let task = tokio::task::spawn_local(async move {
            let mut backoff = BACKOFF_MIN;
            loop {
                if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
                    backoff = BACKOFF_MIN;
                    links.clone().carry(stream, address).await;
                }
                sleep(backoff).await;
                backoff = (backoff * 2).min(BACKOFF_MAX);
            }
        });
        LinkHandle(task.abort_handle())
    }

    /// Sends a message on a connection; nothing if it is gone.
    pub fn send(&self, id: ConnectionId, message: &PeerMessage) {
        self.send_bytes(id, codec::encode(message));
    }

    /// Sends the same message on many connections, encoded once.
    pub fn send_all(&self, ids: impl IntoIterator<Item = ConnectionId>, message: &PeerMessage) {
        let bytes = codec::encode(message);
        ids.into_iter().for_each(|id| self.send_bytes(id, bytes.clone()));
    }

    fn send_bytes(&self, id: ConnectionId, bytes: Bytes) {
        let connections = self.connections.borrow();
        let Some(connection) = connections.get(&id) else { return };
        self.sent_bytes.set(self.sent_bytes.get() + bytes.len() as u64);
        connection.queued.set(connection.queued.get() + bytes.len());
        if connection.queued.get() > SEND_QUEUE_LIMIT {
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

    /// Notes the capacity of a connection's receive buffer.
    fn set_receive_buffer(&self, id: ConnectionId, bytes: usize) {
        let mut connections = self.connections.borrow_mut();
        let Some(connection) = connections.get_mut(&id) else { return };
        let before = std::mem::replace(&mut connection.receive_buffer, bytes);
        self.receive_buffers.set(self.receive_buffers.get() - before + bytes);
        if self.receive_buffers.get() > RECEIVE_BUFFER_LIMIT {
            if let Some(largest) = connections.values().max_by_key(|connection| connection.receive_buffer) {
                largest.close.notify_one();
            }
        }
    }

    /// Reports a message once [`UNHANDLED_LIMIT_KIB`] allows it.
    async fn report_received(&self, id: ConnectionId, message: PeerMessage, bytes: usize) {
        let share = (1 + bytes / 1024).min(UNHANDLED_LIMIT_KIB as usize) as u32;
        let permit = self.unhandled.clone().acquire_many_owned(share).await.ok();
        let _ = self.events.send((LinkEvent::Received(id, message), permit));
    }

    /// Carries one connection until it ends. Cancelling closes it.
    async fn carry(self: Rc<Self>, stream: TcpStream, peer: SocketAddrV4) {
        // Without these options messages are later, not wrong.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(LINK_TIMEOUT));
        let id = self.last_connection.get() + 1;
        self.last_connection.set(id);
        let (queue, receiver) = unbounded_channel::<Bytes>();
        let (queued, close) = (Rc::new(Cell::new(0_usize)), Rc::new(Notify::new()));
        let connection =
            Connection { queue, queued: queued.clone(), receive_buffer: 0, close: close.clone() };
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
                    log::debug!("a link from {peer} ended: {error}");
                }
            }
            _ = write_messages(writer, receiver, &queued) => {}
        }
    }

    /// Reads messages until the connection ends or is silent for too long.
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
            self.set_receive_buffer(id, decoder.capacity());
            if decoder.has_greeted()? && !reported.replace(true) {
                let _ = self.events.send((LinkEvent::Connected(id, peer), None));
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

/// Writes the greeting and then what is queued, until the connection ends.
async fn write_messages(
    mut writer: OwnedWriteHalf,
    mut queue: UnboundedReceiver<Bytes>,
    queued: &Cell<usize>,
) -> io::Result<()> {
    writer.write_all(&GREETING).await?;
    while let Some(first) = queue.recv().await {
        let bytes = join_queued(first, &mut queue);
        queued.set(queued.get().saturating_sub(bytes.len()));
        writer.write_all(&bytes).await?;
    }
    Ok(())
}

/// Joins all that is queued, so that it is written at once.
fn join_queued(first: Bytes, queue: &mut UnboundedReceiver<Bytes>) -> Bytes {
    let Ok(second) = queue.try_recv() else { return first };
    let mut joined = BytesMut::from(&first[..]);
    joined.extend_from_slice(&second);
    while let Ok(more) = queue.try_recv() {
        joined.extend_from_slice(&more);
    }
    joined.freeze()
}
