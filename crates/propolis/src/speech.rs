//! What the system's own processes say to each other, and how it is written on the wire.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::error::DecodeError;
use bincode::{Decode, Encode};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use pinerelay_cells::merkle::Part;
use pinerelay_cells::{Cells, Item};
pub use pinerelay_dance::store::CURRENT;
use pinerelay_dance::{Membership, Word};
use pinerelay_nectar::fence;
use pinerelay_nectar::purse::{Ask, Grant};
use thiserror::Error;

/// No message is longer, in bytes.
pub const LONGEST: usize = 16 << 20;
/// The first message of a connection tells who speaks, and is no longer than this, in bytes.
pub const HELLO_MOST: usize = 4 * 1024;
/// So much is read at once, and so much of a buffer is kept, in bytes.
const ROOM: usize = 4 * 1024;
const KEPT: usize = 16 * 1024;
/// What each connection begins with: the protocol's name and its version.
pub const GREETING: [u8; 4] = *b"prp3";

/// A proxy is linked to so many registries: those that duties are cut over, of which there are no more, and where they are
/// not reached, others.
pub const REGISTRIES: usize = 3;

/// Which program a process runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
pub enum Role {
    /// The proxy.
    Forager,
    /// The registry.
    Scout,
    /// The store of configuration.
    Comb,
    /// One that looks on: tools.
    Visitor,
}

impl Role {
    /// The program's name.
    pub fn name(self) -> &'static str {
        match self {
            Role::Forager => "forager",
            Role::Scout => "scout",
            Role::Comb => "comb",
            Role::Visitor => "visitor",
        }
    }
}

/// Who speaks.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Hello {
    /// The machine's name.
    pub node: String,
    /// Its address.
    pub ip: String,
    /// The program.
    pub role: Role,
    /// Another in each process.
    pub life: u64,
}

/// A call from outside that is passed on to a store.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub enum Passed {
    /// `config.update`, with its body.
    Update(Vec<u8>),
    /// `config.read`.
    Read,
}

/// What a store answers it.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Answered {
    /// The status.
    pub status: u16,
    /// The body, which is JSON.
    pub body: String,
}

/// How things stand at a registry, told now and then to who listens.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Standing {
    /// The registries that it knows, itself too: their addresses.
    pub scouts: Vec<String>,
    /// The machines of the core that vote, and that duties are cut over.
    pub voters: Vec<String>,
    /// Since which epoch these vote; 0: not known.
    pub epoch: u64,
    /// No node acts by the epoch before any more.
    pub settled: bool,
    /// How many proxies share the tenants' rates.
    pub foragers: u32,
    /// It reaches a majority of the core.
    pub majority: bool,
    /// It has the whole configuration.
    pub whole: bool,
    /// It has what a store had whose copy was current within the last [`CURRENT`]. For how long that still counts is told to
    /// who asks: [`Speech::Confirm`].
    pub current: bool,
}

/// The processes that a registry knows of, for who looks on.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct Rolled {
    /// Itself, and those that are linked to it.
    pub linked: Vec<Hello>,
    /// Nodes of proxies that have gone without a word.
    pub missing: Vec<String>,
    /// The machines of the core: who votes.
    pub core: Vec<String>,
}

/// A message.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub enum Speech {
    /// The first on each connection, both ways.
    Hello(Hello),
    /// The process is about to end as planned.
    Bye,
    /// Items, newer or unknown as far as the speaker knows.
    News(Vec<Item>),
    /// What the speaker's items come to: the configuration's, and all others.
    Digest([u64; 2]),
    /// Of anti-entropy: items as in [`Speech::News`], and what is to be compared or wanted next.
    Mend {
        /// 0: the configuration's; 1: all others.
        realm: u8,
        /// Newer or unknown, as far as the speaker knows.
        items: Vec<Item>,
        /// What the speaker has.
        parts: Vec<Part>,
    },
    /// Items that must not get lost with the speaker; [`Speech::Held`] with the same number is wanted.
    Hold {
        /// Comes back.
        number: u64,
        /// The items.
        items: Vec<Item>,
    },
    /// They are held.
    Held(u64),
    /// Servers that have been heard by this registry, by the number of their key, and how many milliseconds ago.
    Beats(Vec<(u64, u32)>),
    /// How things stand.
    Standing(Standing),
    /// To a proxy: its number among so many.
    Placed {
        /// Its number, from 0.
        me: u32,
        /// How many there are.
        nodes: u32,
    },
    /// The speaker is there: nothing else was to be said.
    Here,
    /// Of duties.
    Fence(fence::Word),
    /// A proxy's call for units.
    Draw(Vec<Ask>),
    /// What comes of it, tenant by tenant.
    Drawn(Vec<(String, Grant)>),
    /// Between stores.
    Store(Word),
    /// How a store stands.
    StoreStands {
        /// Who votes, and since which epoch.
        membership: Membership,
        /// Its copy is whole, or it needs none.
        whole: bool,
        /// Its copy holds all that was agreed on at a moment of the last [`CURRENT`], by a quorum's word.
        current: bool,
    },
    /// To a store or a registry: is its copy current? The asker's time comes back.
    Confirm(u64),
    /// It is.
    Confirmed {
        /// As it was asked.
        asked: u64,
        /// The epoch of those who vote.
        epoch: u64,
        /// What the configuration's items came to.
        digest: u64,
        /// What was left of the speaker's own lease, in microseconds. The asker counts it from when it asked, so that what
        /// it has ends no later than what it comes from.
        left: u64,
    },
    /// A call that is passed on, under a number that comes back.
    Pass(u64, Passed),
    /// Its answer.
    Answer(u64, Answered),
    /// The speaker's figures are wanted.
    Ask,
    /// Its figures: name, value.
    Figures(Vec<(String, f64)>),
    /// To a registry: which processes it knows of is wanted.
    Roll,
    /// What it knows of them.
    Rolled(Rolled),
    /// The proxies that there are, as a registry knows them, for its machine's store to keep; and the store's word of them to
    /// a registry that begins.
    Proxies(Vec<String>),
}

/// Why bytes are no message.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum Garbled {
    /// The connection began with something else.
    #[error("no greeting of this protocol")]
    Greeting,
    /// The length is over the limit.
    #[error("a message of {0} bytes is over the limit of {LONGEST}, or of {HELLO_MOST} for the first")]
    Long(usize),
    /// What came can't be read.
    #[error("no message: {0}")]
    Unread(String),
}

/// What is read of a message may take so many bytes of memory. Danger: a length in it is believed before what it tells of
/// has been read, so that without a bound a message of ten bytes has 16 MiB allocated. A bound is at least 64 bytes for
/// each byte of a message up to [`MIDDLING`]; what takes most, an item without name and value, takes under 20.
const OF_SMALL: usize = 256 * 1024;
const OF_SHORT: usize = 1 << 20;
const OF_MIDDLING: usize = 8 << 20;
/// The longest messages that have these bounds, in bytes.
const SMALL: usize = 4 * 1024;
const SHORT: usize = 16 * 1024;
const MIDDLING: usize = 128 * 1024;

fn config<const MOST: usize>() -> Configuration<LittleEndian, Varint, Limit<MOST>> {
    bincode::config::standard().with_limit::<MOST>()
}

/// Reads a message, and tells how many of its bytes that took.
fn decode(body: &[u8]) -> Result<(Speech, usize), DecodeError> {
    if body.len() <= SMALL {
        bincode::decode_from_slice(body, config::<OF_SMALL>())
    } else if body.len() <= SHORT {
        bincode::decode_from_slice(body, config::<OF_SHORT>())
    } else if body.len() <= MIDDLING {
        bincode::decode_from_slice(body, config::<OF_MIDDLING>())
    } else {
        bincode::decode_from_slice(body, config::<LONGEST>())
    }
}

/// A message as it goes on the wire: its length, then itself.
pub fn write(speech: &Speech) -> Bytes {
    let body = bincode::encode_to_vec(speech, bincode::config::standard()).unwrap_or_default();
    let mut out = BytesMut::with_capacity(4 + body.len());
    out.put_u32_le(body.len() as u32);
    out.extend_from_slice(&body);
    out.freeze()
}

/// What is said to one whose digest differs.
pub fn compare(cells: &Cells, realm: u8) -> Speech {
    Speech::Mend { realm, items: Vec::new(), parts: cells.compare() }
}

/// What is said to another copy's parts, if there is anything to be said.
pub fn mend(cells: &Cells, realm: u8, theirs: &[Part]) -> Option<Speech> {
    let answer = cells.answer(theirs);
    (!answer.is_empty()).then_some(Speech::Mend { realm, items: answer.items, parts: answer.parts })
}

/// What has come on a connection, taken apart: a greeting, then messages.
#[derive(Debug, Default)]
pub struct Incoming {
    come: BytesMut,
    greeted: bool,
    /// The first message has come.
    met: bool,
}

impl Incoming {
    /// Where what comes is put.
    pub fn room(&mut self) -> &mut BytesMut {
        // What a long message took is not held for short ones.
        if self.come.is_empty() && self.come.capacity() > KEPT {
            self.come = BytesMut::new();
        }
        self.come.reserve(ROOM);
        &mut self.come
    }

    /// Whether the greeting has come.
    pub fn greeted(&mut self) -> Result<bool, Garbled> {
        if !self.greeted && self.come.len() >= GREETING.len() {
            if self.come.split_to(GREETING.len()) != GREETING[..] {
                return Err(Garbled::Greeting);
            }
            self.greeted = true;
        }
        Ok(self.greeted)
    }

    /// The next whole message, if there is one.
    pub fn take(&mut self) -> Result<Option<Speech>, Garbled> {
        if !self.greeted()? {
            return Ok(None);
        }
        let most = if self.met { LONGEST } else { HELLO_MOST };
        let speech = next_within(&mut self.come, most)?;
        self.met |= speech.is_some();
        Ok(speech)
    }

    /// How many bytes have come and were not taken.
    pub fn waits(&self) -> usize {
        self.come.len()
    }

    /// The memory that it holds, in bytes.
    pub fn held(&self) -> usize {
        self.come.capacity()
    }
}

/// Takes the next whole message off what has come, if there is one.
pub fn next(come: &mut BytesMut) -> Result<Option<Speech>, Garbled> {
    next_within(come, LONGEST)
}

fn next_within(come: &mut BytesMut, most: usize) -> Result<Option<Speech>, Garbled> {
    if come.len() < 4 {
        return Ok(None);
    }
    let length = u32::from_le_bytes([come[0], come[1], come[2], come[3]]) as usize;
    if length > most {
        return Err(Garbled::Long(length));
    }
    if come.len() < 4 + length {
        // Grows with what comes, and not with what is promised.
        return Ok(None);
    }
    let (speech, read) = decode(&come[4..4 + length]).map_err(|error| Garbled::Unread(error.to_string()))?;
    if read != length {
        return Err(Garbled::Unread("bytes are left over".into()));
    }
    come.advance(4 + length);
    Ok(Some(speech))
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use pinerelay_cells::{Key, Kind};
    use proptest::prelude::*;

    use super::*;

    #[gtest]
    fn messages_come_apart_as_they_were_put_together() {
        let item = Item::sourced(Key::new(Kind::Route, "r"), 7, Some(b"{}".to_vec()));
        let said = [Speech::Bye, Speech::News(vec![item]), Speech::Digest([9, 3])];
        let mut wire = BytesMut::new();
        said.iter().for_each(|speech| wire.extend_from_slice(&write(speech)));
        let mut heard = Vec::new();
        let mut come = BytesMut::new();
        for byte in wire {
            come.put_u8(byte);
            heard.extend(next(&mut come).expect("sound"));
        }
        expect_that!(heard, container_eq(said));
        let mut huge = BytesMut::from(&u32::MAX.to_le_bytes()[..]);
        expect_that!(next(&mut huge), err(eq(&Garbled::Long(u32::MAX as usize))));
    }

    proptest! {
        #[test]
        fn no_bytes_make_it_panic(noise: Vec<u8>, length in 0..40_u32) {
            let mut come = BytesMut::from(&noise[..]);
            while let Ok(Some(_)) = next(&mut come) {}
            let mut framed = BytesMut::from(&length.to_le_bytes()[..]);
            framed.extend_from_slice(&noise);
            while let Ok(Some(_)) = next(&mut framed) {}
        }
    }
}
