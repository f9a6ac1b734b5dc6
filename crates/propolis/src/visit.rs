//! One visit to a process: says who looks on, asks, takes the answers, and goes.

use std::io;
use std::net::SocketAddrV4;

use bytes::BytesMut;
use pinerelay_cells::Item;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::speech::{self, Garbled, Hello, Incoming, Role, Rolled, Speech, GREETING};

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
    /// It took too long.
    #[error("no answer came in time")]
    Late,
}

/// What a process told.
#[derive(Debug, Clone)]
pub struct Told {
    /// Who it is.
    pub hello: Hello,
    /// Its figures, as it writes them.
    pub figures: Vec<(String, f64)>,
    /// Of a registry: which processes it knows of.
    pub rolled: Option<Rolled>,
    /// Of a registry, if it was asked for them: the items that are no configuration.
    pub items: Vec<Item>,
    /// Bytes that went, both ways.
    pub bytes: u64,
}

impl Told {
    /// One of its figures.
    pub fn figure(&self, name: &str) -> Option<f64> {
        self.figures.iter().find(|(known, _)| known == name).map(|(_, value)| *value)
    }
}

/// Visits the process at an address, where a program of this role is expected. A registry is asked for its items of servers,
/// too, if they are wanted. No more bytes than `most` go both ways.
pub async fn visit(
    address: SocketAddrV4,
    me: &Hello,
    role: Role,
    servers: bool,
    most: u64,
) -> Result<Told, VisitError> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut said = BytesMut::from(&GREETING[..]);
    let mut say = |speech| said.extend_from_slice(&speech::write(&speech));
    say(Speech::Hello(me.clone()));
    if role == Role::Scout {
        if servers {
            // Beside an empty summary all items are news.
            say(Speech::Summary { realm: 1, lines: Vec::new(), answer: false });
        }
        say(Speech::Roll);
    }
    say(Speech::Ask);
    stream.write_all(&said).await?;
    let (mut come, mut bytes) = (Incoming::default(), said.len() as u64);
    let (mut hello, mut rolled, mut items) = (None, None, Vec::new());
    loop {
        let more = stream.read_buf(come.room()).await? as u64;
        bytes += more;
        if more == 0 || bytes > most {
            return Err(VisitError::Unanswered);
        }
        while let Some(heard) = come.take()? {
            match heard {
                Speech::Hello(who) => hello = Some(who),
                Speech::Rolled(roll) => rolled = Some(roll),
                Speech::News(news) => items.extend(news),
                // The last that is asked for; answers come in the order of what was asked.
                Speech::Figures(figures) => {
                    let hello = hello.ok_or(VisitError::Unanswered)?;
                    return Ok(Told { hello, figures, rolled, items, bytes });
                }
                _ => {}
            }
        }
    }
}
