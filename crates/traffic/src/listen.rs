//! Listening sockets, and whether connections are accepted.

use std::cell::Cell;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;

/// Listens at this address, with so many connections waiting at most.
pub fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Whether connections are accepted: opened and shut by the life of the process, heeded by who accepts.
#[derive(Default)]
pub struct Gate {
    open: Cell<bool>,
    /// It has been shut, and who accepts has not yet heeded that.
    shutting: Cell<bool>,
    changed: Notify,
}

impl Gate {
    /// Connections are accepted from now on.
    pub fn open(&self) {
        self.open.set(true);
        self.shutting.set(false);
        self.changed.notify_waiters();
    }

    /// None are accepted any more.
    pub fn shut(&self) {
        self.shutting.set(self.open.replace(false));
        self.changed.notify_waiters();
    }

    /// Whether the last that were accepted are among the open connections by now.
    pub fn heeded(&self) -> bool {
        !self.shutting.get()
    }

    /// Who accepts has stopped to do so.
    pub fn heed(&self) {
        self.shutting.set(false);
    }

    /// Comes back once it is open, or once it is shut.
    pub async fn is(&self, open: bool) {
        loop {
            let changed = self.changed.notified();
            if self.open.get() == open {
                return;
            }
            changed.await;
        }
    }
}
