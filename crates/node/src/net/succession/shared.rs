//! What this process shares with the others of its address, as its clients' sides see it: never waiting for a disk.
//!
//! The files are another thread's. Danger: a rename, a truncation or the first byte of a second waits for the disk where that
//! is busy, for seconds at worst, and with it every request of a process that has one thread.

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

use super::records::{now, JoinError, Looked, Mine, Records};

/// How long a call may take to reach the files. A caller waits for a second.
const CALL_WAIT: Duration = Duration::from_millis(700);

/// What the thread of the files is asked.
enum Ask {
    /// To look at the others, and to tell them of this process.
    Look { mine: Mine, learned: Option<Value> },
    /// To take a call.
    Call { name: String, call: Call, answer: oneshot::Sender<(io::Result<()>, HeldOut)> },
    /// To forget who came back and is not among these.
    Listed(BTreeSet<String>),
}

/// What a look has found, and who is held out if that has changed.
type Told = (Looked, Option<HeldOut>);

/// What this process shares.
pub struct Shared {
    ask: Option<mpsc::Sender<Ask>>,
    told: RefCell<UnboundedReceiver<Told>>,
    /// A look is under way.
    looking: Cell<bool>,
    held: RefCell<HeldOut>,
    /// Calls out that the files have not told of yet: they hold here from the call on.
    out: RefCell<BTreeSet<String>>,
    /// What the process before had learned.
    learned: Option<Learned>,
}

impl Shared {
    /// Nobody to share with: all is this process's own.
    pub fn alone() -> Shared {
        let (_, told) = unbounded_channel();
        Shared {
            ask: None,
            told: RefCell::new(told),
            looking: Cell::new(false),
            held: RefCell::default(),
            out: RefCell::default(),
            learned: None,
        }
    }

    /// Takes a place among the processes that listen at this address. What it finds there is known when this returns; from
    /// then on the files are another thread's.
    pub fn join(folder: &Path, listen: SocketAddr, limit: usize) -> Result<(Shared, Looked), JoinError> {
        let records = Records::join(folder, listen, limit)?;
        let looked = records.look(Mine { standing: Standing::Coming, used: 0 });
        let (held, learned) = (records.held(), records.learned());
        let (ask, asked) = mpsc::channel();
        let (tell, told) = unbounded_channel();
        std::thread::Builder::new()
            .name("succession".into())
            .spawn(move || keep(&records, &asked, &tell))
            .map_err(|error| JoinError::File(folder.into(), error))?;
        let shared = Shared {
            ask: Some(ask),
            told: RefCell::new(told),
            looking: Cell::new(false),
            held: RefCell::new(held),
            out: RefCell::default(),
            learned,
        };
        Ok((shared, looked))
    }

    /// Whether there is nobody to look at.
    pub fn is_alone(&self) -> bool {
        self.ask.is_none()
    }

    /// What the process before had learned.
    pub fn learned(&self) -> Option<&Learned> {
        self.learned.as_ref()
    }

    /// Whether it is to get nothing new.
    pub fn holds(&self, name: &str) -> bool {
        self.out.borrow().contains(name) || self.held.borrow().holds(name)
    }

    /// When an app server has started, by what its source tells and by when it was let back.
    pub fn started(&self, name: &str, told: UnixMs) -> UnixMs {
        self.held.borrow().started(name, told)
    }

    /// Forgets when app servers came back that are listed no more.
    pub fn listed(&self, names: BTreeSet<String>) {
        match &self.ask {
            Some(ask) => drop(ask.send(Ask::Listed(names))),
            None => self.held.borrow_mut().forget(now(), |name| names.contains(name)),
        }
    }

    /// Takes a call, and tells the other processes. A call out holds here at once, whatever comes of that; a call back holds
    /// once it has been told.
    pub fn call<'a>(&'a self, name: &'a str, call: Call) -> impl Future<Output = io::Result<()>> + 'a {
        let (answer, answered) = oneshot::channel();
        let sent = self.ask.as_ref().map(|ask| ask.send(Ask::Call { name: name.into(), call, answer }));
        match sent {
            Some(_) if call == Call::Exclude => drop(self.out.borrow_mut().insert(name.into())),
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
                        self.out.borrow_mut().remove(name);
                    }
                    self.hold(&held);
                    done
                }
                Ok(Err(_)) => Err(ended()),
                Err(_) => Err(io::Error::new(io::ErrorKind::TimedOut, "the disk stands still")),
            }
        }
    }

    /// Asks for a look, unless one is under way; tells whether it did.
    pub fn look(&self, mine: Mine, learned: Option<Value>) -> bool {
        if self.looking.get() {
            return false;
        }
        let asked = self.ask.as_ref().is_some_and(|ask| ask.send(Ask::Look { mine, learned }).is_ok());
        self.looking.set(asked);
        asked
    }

    /// Waits for what the look under way has found; for ever without one.
    pub async fn looked(&self) -> Looked {
        let told = std::future::poll_fn(|cx| self.told.borrow_mut().poll_recv(cx)).await;
        let Some((looked, held)) = told else { return std::future::pending().await };
        self.looking.set(false);
        held.iter().for_each(|held| self.hold(held));
        looked
    }

    /// What a look finds where there is nobody else.
    pub fn nobody(limit: usize) -> Looked {
        Looked { held: false, claim: limit, others: Others::default(), waits: false }
    }

    /// Takes in who is held out. Marks merge: what is told late undoes nothing.
    fn hold(&self, held: &HeldOut) {
        self.held.borrow_mut().merge(held);
        self.out.borrow_mut().retain(|name| !held.holds(name));
    }
}

/// Does what is asked, one thing after the other, until nobody asks any more.
fn keep(records: &Records, asked: &mpsc::Receiver<Ask>, tell: &UnboundedSender<Told>) {
    while let Ok(ask) = asked.recv() {
        match ask {
            Ask::Look { mine, learned } => {
                if let Some(learned) = learned {
                    records.keep(learned);
                }
                let looked = records.look(mine);
                if tell.send((looked, looked.held.then(|| records.held()))).is_err() {
                    return;
                }
            }
            Ask::Call { name, call, answer } => {
                // Danger: who called back was told that it may not be done, and may have thought again.
                if call == Call::Include && answer.is_closed() {
                    continue;
                }
                let done = records.call(&name, call);
                // Its caller may have been told already that the disk stands still.
                let _ = answer.send((done, records.held()));
            }
            Ask::Listed(names) => records.forget(|name| names.contains(name)),
        }
    }
}
