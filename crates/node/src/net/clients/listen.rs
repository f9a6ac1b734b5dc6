//! Listening sockets: one that was handed on, or one of this process's own.

use std::cell::Cell;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::Notify;

use crate::config::StartError;

/// The listening socket that this process was started with, if any: the descriptor that PROXY_FD names, or the first of
/// systemd's LISTEN_FDS (sd_listen_fds(3)).
pub fn inherited() -> Result<Option<std::net::TcpListener>, StartError> {
    if let Ok(fd) = std::env::var("PROXY_FD") {
        let number = fd.parse::<u16>().ok().filter(|&n| n > 2);
        let number =
            number.ok_or_else(|| StartError::Inherited(format!("{fd:?} is no descriptor from 3 on")))?;
        // What the crate reads; no other thread runs yet.
        std::env::remove_var("LISTEN_PID");
        std::env::set_var("LISTEN_FDS_FIRST_FD", number.to_string());
        std::env::set_var("LISTEN_FDS", "1");
    }
    let mut handed = listenfd::ListenFd::from_env();
    match handed.take_tcp_listener(0) {
        Ok(None) => Ok(None),
        Ok(Some(listener)) => {
            listener.set_nonblocking(true).map_err(StartError::System)?;
            Ok(Some(listener))
        }
        Err(error) => Err(StartError::Inherited(error.to_string())),
    }
}

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
