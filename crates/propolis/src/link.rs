//! Links between the system's own processes: connections that are made anew until they are not wanted any more.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};
use tokio::task::AbortHandle;
use tokio::time::{sleep, timeout};

use crate::speech::{self, Garbled, Incoming, Speech, GREETING};

/// A connection of this process, never given twice.
pub type Peer = u64;

/// A link that has been silent for so long is taken for cut. Who is alive says something each [`PULSE`].
pub const SILENCE: Duration = Duration::from_millis(2_000);
/// How often each end of a link says something.
pub const PULSE: Duration = Duration::from_millis(600);
/// How long a connection may take to come up.
const CONNECT: Duration = Duration::from_millis(500);
/// Pauses between attempts at one address.
const AGAIN: Duration = Duration::from_millis(100);
const AGAIN_MOST: Duration = Duration::from_millis(800);
/// What waits for a peer that reads nothing; with more, the link is cut.
const QUEUE_MOST: usize = 32 << 20;
/// Pause of the listener when accepting fails.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Connections that others may have to this process at once.
const ACCEPTED_MOST: usize = 1_024;

/// What has come on all links and is no whole message yet may take so many bytes; over it the link that holds most is cut.
/// One message of the greatest length fits: its buffer grows by doubling.
const RECEIVING_MOST: usize = 40 << 20;
/// Messages that have come and that the process has not taken may come to so many KiB, each to one more than its own; links
/// are read no further meanwhile. Danger: a peer can write messages of five bytes faster than they are dealt with.
const UNTAKEN_MOST: u32 = 4 * 1024;

/// What happens on links.
#[derive(Debug)]
pub enum Event {
    /// A connection has come up, and the address at its other end.
    Up(Peer, SocketAddrV4),
    /// Something was said on it.
    Said(Peer, Speech),
    /// It is gone.
    Down(Peer),
}

struct Line {
    queue: UnboundedSender<Bytes>,
    queued: Rc<Cell<usize>>,
    /// What its buffer for messages that come holds, in bytes.
    receiving: usize,
    cut: Rc<Notify>,
}

/// What happens, and the room that it takes until it is taken.
type Told = (Event, Option<OwnedSemaphorePermit>);

/// Where the events of a process's links come out, in their order.
pub struct Events(UnboundedReceiver<Told>);

impl Events {
    /// The next; none: there are no links any more.
    pub async fn recv(&mut self) -> Option<Event> {
        self.0.recv().await.map(|(event, _)| event)
    }
}

/// The links of a process.
pub struct Links {
    tell: UnboundedSender<Told>,
    untaken: Arc<Semaphore>,
    receiving: Cell<usize>,
    lines: RefCell<BTreeMap<Peer, Line>>,
    last: Cell<Peer>,
    accepted: Cell<usize>,
    sent: Cell<u64>,
    come: Cell<u64>,
    /// Connections on which something came that is no message.
    garbled: Cell<u64>,
}

/// A link that is wanted; dropped, it is not any more.
pub struct Wanted(AbortHandle);

impl Drop for Wanted {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Takes its line off the list when its task ends, however it does.
struct Listed {
    links: Rc<Links>,
    peer: Peer,
    told: bool,
}

impl Drop for Listed {
    fn drop(&mut self) {
        if let Some(line) = self.links.lines.borrow_mut().remove(&self.peer) {
            self.links.receiving.set(self.links.receiving.get() - line.receiving);
        }
        if self.told {
            let _ = self.links.tell.send((Event::Down(self.peer), None));
        }
    }
}

impl Links {
    /// No links yet, and where their events come out.
    pub fn new() -> (Rc<Links>, Events) {
        let (tell, told) = unbounded_channel();
        let links = Links {
            tell,
            untaken: Arc::new(Semaphore::new(UNTAKEN_MOST as usize)),
            receiving: Cell::new(0),
            lines: RefCell::default(),
            last: Cell::new(0),
            accepted: Cell::new(0),
            sent: Cell::new(0),
            come: Cell::new(0),
            garbled: Cell::new(0),
        };
        (Rc::new(links), Events(told))
    }

    /// Of all links, for the process's figures: how many there are, bytes said and heard, and those that were garbled. The
    /// names begin with the program's.
    pub fn told(&self, program: &str) -> Vec<(String, f64)> {
        [
            ("links", self.lines.borrow().len() as f64),
            ("link_bytes_total", self.sent.get() as f64),
            ("link_heard_bytes_total", self.come.get() as f64),
            ("links_garbled_total", self.garbled.get() as f64),
        ]
        .map(|(name, value)| (format!("{program}_{name}"), value))
        .to_vec()
    }

    /// Accepts links at an address.
    pub fn listen(self: &Rc<Self>, address: SocketAddrV4) -> io::Result<()> {
        let socket = TcpSocket::new_v4()?;
        socket.set_reuseaddr(true)?;
        socket.bind(address.into())?;
        let listener = socket.listen(1024)?;
        tokio::task::spawn_local(self.clone().accept(listener));
        Ok(())
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    let std::net::SocketAddr::V4(from) = from else { continue };
                    if self.accepted.get() >= ACCEPTED_MOST {
                        continue;
                    }
                    self.accepted.set(self.accepted.get() + 1);
                    let links = self.clone();
                    tokio::task::spawn_local(async move {
                        links.clone().carry(stream, from).await;
                        links.accepted.set(links.accepted.get() - 1);
                    });
                }
                Err(error) => {
                    log::warn!("accepting a link failed: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Keeps a link to an address, which is made anew whenever it breaks.
    pub fn want(self: &Rc<Self>, address: SocketAddrV4) -> Wanted {
        let links = self.clone();
        let task = tokio::task::spawn_local(async move {
            let mut pause = AGAIN;
            loop {
                if let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(address)).await {
                    pause = AGAIN;
                    links.clone().carry(stream, address).await;
                }
                sleep(pause).await;
                pause = (pause * 2).min(AGAIN_MOST);
            }
        });
        Wanted(task.abort_handle())
    }

    /// Says something on a connection; on one that has gone, to nobody.
    pub fn say(&self, peer: Peer, speech: &Speech) {
        self.say_bytes(peer, speech::write(speech));
    }

    /// Says the same to many, written once.
    pub fn say_all(&self, peers: impl IntoIterator<Item = Peer>, speech: &Speech) {
        let bytes = speech::write(speech);
        peers.into_iter().for_each(|peer| self.say_bytes(peer, bytes.clone()));
    }

    fn say_bytes(&self, peer: Peer, bytes: Bytes) {
        let lines = self.lines.borrow();
        let Some(line) = lines.get(&peer) else { return };
        self.sent.set(self.sent.get() + bytes.len() as u64);
        line.queued.set(line.queued.get() + bytes.len());
        if line.queued.get() > QUEUE_MOST {
            line.cut.notify_one();
        } else {
            let _ = line.queue.send(bytes);
        }
    }

    /// Cuts a connection.
    pub fn cut(&self, peer: Peer) {
        if let Some(line) = self.lines.borrow().get(&peer) {
            line.cut.notify_one();
        }
    }

    /// A link's buffer for what comes holds so much now.
    fn receives(&self, peer: Peer, bytes: usize) {
        let mut lines = self.lines.borrow_mut();
        let Some(line) = lines.get_mut(&peer) else { return };
        let before = std::mem::replace(&mut line.receiving, bytes);
        self.receiving.set(self.receiving.get() - before + bytes);
        if self.receiving.get() > RECEIVING_MOST {
            if let Some(most) = lines.values().max_by_key(|line| line.receiving) {
                most.cut.notify_one();
            }
        }
    }

    /// Tells what was said on a link, once there is room for it.
    async fn tell_said(&self, peer: Peer, speech: Speech, bytes: usize) {
        let room = (1 + bytes / 1024).min(UNTAKEN_MOST as usize) as u32;
        let room = self.untaken.clone().acquire_many_owned(room).await.ok();
        let _ = self.tell.send((Event::Said(peer, speech), room));
    }

    /// Carries one connection until it ends.
    async fn carry(self: Rc<Self>, stream: TcpStream, other: SocketAddrV4) {
        // Without these what is late is later, not wrong.
        let _ = stream.set_nodelay(true);
        let _ = SockRef::from(&stream).set_tcp_user_timeout(Some(SILENCE));
        let peer = self.last.get() + 1;
        self.last.set(peer);
        let (queue, mut queued) = unbounded_channel::<Bytes>();
        let (held, cut) = (Rc::new(Cell::new(0_usize)), Rc::new(Notify::new()));
        let line = Line { queue, queued: held.clone(), receiving: 0, cut: cut.clone() };
        self.lines.borrow_mut().insert(peer, line);
        let mut listed = Listed { links: self.clone(), peer, told: false };
        let (mut from, mut to) = stream.into_split();
        let write = async {
            to.write_all(&GREETING).await?;
            while let Some(first) = queued.recv().await {
                // What was said in one go goes out in one.
                let bytes = match queued.try_recv() {
                    Err(_) => first,
                    Ok(second) => {
                        let mut all = BytesMut::from(&first[..]);
                        all.extend_from_slice(&second);
                        while let Ok(more) = queued.try_recv() {
                            all.extend_from_slice(&more);
                        }
                        all.freeze()
                    }
                };
                held.set(held.get().saturating_sub(bytes.len()));
                to.write_all(&bytes).await?;
            }
            io::Result::Ok(())
        };
        let tell = self.tell.clone();
        let told = &mut listed.told;
        let read = async {
            let mut come = Incoming::default();
            loop {
                match timeout(SILENCE, from.read_buf(come.room())).await {
                    Ok(Ok(some @ 1..)) => self.come.set(self.come.get() + some as u64),
                    _ => return Ok::<(), Garbled>(()),
                }
                self.receives(peer, come.held());
                if come.greeted()? && !std::mem::replace(told, true) {
                    let _ = tell.send((Event::Up(peer, other), None));
                }
                let mut left = come.waits();
                while let Some(speech) = come.take()? {
                    let bytes = left - come.waits();
                    left = come.waits();
                    self.tell_said(peer, speech, bytes).await;
                }
            }
        };
        tokio::select! {
            biased;
            () = cut.notified() => {}
            ended = read => {
                if let Err(garbled) = ended {
                    self.garbled.set(self.garbled.get() + 1);
                    log::debug!("a link from {other} ended: {garbled}");
                }
            }
            _ = write => {}
        }
        drop(listed);
    }
}
