//! One visit to a process: says who looks on, asks, takes the answers, and goes.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddrV4;

use bytes::BytesMut;
use pinerelay_cells::Item;
use pinerelay_propolis::speech::{self, Garbled, Hello, Role, Rolled, Speech, GREETING};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// No answer to a visit is longer, in bytes.
const MOST: usize = 32 << 20;

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
    /// Another program is there.
    #[error("a {0:?} is there")]
    Other(Role),
    /// It took too long.
    #[error("no answer came in time")]
    Late,
}

/// What a process told.
#[derive(Debug, Clone)]
pub struct Told {
    /// Who it is.
    pub hello: Hello,
    /// Its figures.
    pub figures: BTreeMap<String, f64>,
    /// Of a registry: the processes that it knows of.
    pub rolled: Option<Rolled>,
    /// Of a registry: the items that are no configuration.
    pub items: Vec<Item>,
}

/// Visits the process of this role at an address. A registry is asked for its servers, too, if they are wanted.
pub async fn visit(address: SocketAddrV4, role: Role, servers: bool) -> Result<Told, VisitError> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let life = u64::from(std::process::id());
    let me = Hello { node: "waggle".into(), ip: String::new(), role: Role::Visitor, life };
    let mut said = BytesMut::from(&GREETING[..]);
    let mut say = |speech| said.extend_from_slice(&speech::write(&speech));
    say(Speech::Hello(me));
    if role == Role::Scout {
        if servers {
            // Beside an empty summary all items are news.
            say(Speech::Summary { realm: 1, lines: Vec::new(), answer: false });
        }
        say(Speech::Roll);
    }
    say(Speech::Ask);
    stream.write_all(&said).await?;
    let mut come = BytesMut::with_capacity(4096);
    let (mut bytes, mut greeted) = (0, false);
    let (mut hello, mut rolled, mut items) = (None, None, Vec::new());
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
                Speech::Hello(who) if who.role != role => return Err(VisitError::Other(who.role)),
                Speech::Hello(who) => hello = Some(who),
                Speech::Rolled(roll) => rolled = Some(roll),
                Speech::News(news) => items.extend(news),
                // The last that is asked for; answers come in the order of what was asked.
                Speech::Figures(figures) => {
                    let hello = hello.ok_or(VisitError::Unanswered)?;
                    return Ok(Told { hello, figures: figures.into_iter().collect(), rolled, items });
                }
                _ => {}
            }
        }
    }
}
