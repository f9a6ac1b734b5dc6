//! One visit to a process: says who looks on, asks, takes the answers, and goes.

use std::io;
use std::net::SocketAddrV4;

use bytes::BytesMut;
use pinerelay_cells::merkle::Part;
use pinerelay_cells::{Cells, Item};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::speech::{self, mend, Garbled, Hello, Incoming, Role, Rolled, Speech, GREETING};

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
            say(Speech::Mend { realm: 1, items: Vec::new(), parts: vec![Part::nothing()] });
        }
        say(Speech::Roll);
    }
    say(Speech::Ask);
    stream.write_all(&said).await?;
    let (mut come, mut bytes) = (Incoming::default(), said.len() as u64);
    let (mut hello, mut rolled, mut items) = (None, None, Cells::default());
    // What is said to the piece of items that came since the last question.
    let mut next = None;
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
                Speech::Mend { realm: 1, items: news, parts } => {
                    let progress = !items.merge_all(news).is_empty();
                    next = mend(&items, 1, &parts).filter(|_| progress);
                }
                // The last that is asked for; answers come in the order of what was asked.
                Speech::Figures(figures) => match next.take() {
                    Some(speech) => {
                        let said = [speech::write(&speech), speech::write(&Speech::Ask)].concat();
                        bytes += said.len() as u64;
                        stream.write_all(&said).await?;
                    }
                    None => {
                        let hello = hello.ok_or(VisitError::Unanswered)?;
                        let items = items.all().cloned().collect();
                        return Ok(Told { hello, figures, rolled, items, bytes });
                    }
                },
                _ => {}
            }
        }
    }
}
