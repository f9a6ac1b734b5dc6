//! One visit to a process: says who looks on, asks for its figures, and goes.

use std::io;
use std::net::SocketAddrV4;

use bytes::BytesMut;
use pinerelay_propolis::speech::{self, Garbled, Hello, Role, Speech, GREETING};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::watch::Told;

/// No answer to a visit is longer, in bytes: a registry says more than was asked for, but no process so much.
const MOST: usize = 4 << 20;

/// Why a visit has brought nothing.
#[derive(Debug, Error)]
pub enum VisitError {
    /// The connection did not come up, or broke.
    #[error(transparent)]
    Broken(#[from] io::Error),
    /// What came was no message.
    #[error(transparent)]
    Garbled(#[from] Garbled),
    /// The process ended the connection, or said too much.
    #[error("no answer came")]
    Unanswered,
}

/// Visits the process at an address; tells what it said, and how many bytes went both ways.
pub async fn visit(address: SocketAddrV4, me: &Hello, role: Role) -> Result<(Told, u64), VisitError> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut said = BytesMut::from(&GREETING[..]);
    said.extend_from_slice(&speech::write(&Speech::Hello(me.clone())));
    if role == Role::Scout {
        said.extend_from_slice(&speech::write(&Speech::Roll));
    }
    said.extend_from_slice(&speech::write(&Speech::Ask));
    stream.write_all(&said).await?;
    let (mut come, mut bytes) = (BytesMut::with_capacity(4096), said.len());
    let (mut greeted, mut hello, mut rolled) = (false, None, None);
    loop {
        let more = stream.read_buf(&mut come).await?;
        bytes += more;
        if more == 0 || bytes > MOST {
            return Err(VisitError::Unanswered);
        }
        if !greeted {
            if come.len() < GREETING.len() {
                continue;
            }
            if come.split_to(GREETING.len()) != GREETING[..] {
                return Err(Garbled::Greeting.into());
            }
            greeted = true;
        }
        while let Some(heard) = speech::next(&mut come)? {
            match heard {
                Speech::Hello(who) => hello = Some(who),
                Speech::Rolled(roll) => rolled = Some(roll),
                // The last that is asked for.
                Speech::Figures(figures) => {
                    let hello = hello.ok_or(VisitError::Unanswered)?;
                    return Ok((Told { hello, figures, rolled }, bytes as u64));
                }
                _ => {}
            }
        }
    }
}
