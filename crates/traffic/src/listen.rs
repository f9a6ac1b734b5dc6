//! Listening sockets, and the gate that turns accepting on and off.

use std::cell::Cell;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;

/// Listens on `address`, with at most `backlog` pending connections.
pub fn listen(address: SocketAddr, backlog: u32) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Whether connections are accepted. The process lifecycle opens and shuts it; the acceptor obeys it and
/// acknowledges that it has stopped.
#[derive(Default)]
pub struct Gate {
    open: Cell<bool>,
    /// The gate was shut and the acceptor has not acknowledged that yet.
    shutting: Cell<bool>,
    changed: Notify,
}

impl Gate {
    /// Lets the acceptor accept connections.
    pub fn open(&self) {
        self.open.set(true);
        self.shutting.set(false);
        self.changed.notify_waiters();
    }

    /// Stops accepting connections.
    pub fn shut(&self) {
        self.shutting.set(self.open.replace(false));
        self.changed.notify_waiters();
    }

    /// Whether the acceptor has acknowledged the last shut: every accepted connection is then among the open
    /// ones.
    pub fn is_acknowledged(&self) -> bool {
        !self.shutting.get()
    }

    /// The acceptor acknowledges that it has stopped.
    pub fn acknowledge(&self) {
        self.shutting.set(false);
    }

    /// Returns once the gate is in the given state.
    pub async fn wait_until(&self, open: bool) {
        loop {
            let changed = self.changed.notified();
            if self.open.get() == open {
                return;
            }
            changed.await;
        }
    }
}
