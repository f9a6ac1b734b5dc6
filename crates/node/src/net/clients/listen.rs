//! The listening socket that this process was started with.

use crate::config::StartError;

pub use pinerelay_traffic::listen::{listen, Gate};

/// The listening socket that this process was started with, if any: the descriptor that PROXY_FD names, or the first of
/// systemd's LISTEN_FDS (sd_listen_fds(3)).
pub fn inherited() -> Result<Option<std::net::TcpListener>, StartError> {
    if let Ok(fd) = std::env::var("PROXY_FD") {
        let number = fd.parse::<u16>().ok().filter(|&n| n > 2);
        let number =
            number.ok_or_else(|| StartError::Inherited(format!("{fd:?} is no descriptor from 3 on")))?;
        // The variables that `listenfd` reads. Setting them is sound: no other thread runs yet.
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
