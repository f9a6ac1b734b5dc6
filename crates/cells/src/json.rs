//! JSON from outside: bounds that are checked before a parser sees the text.
//!
//! The parser recurses once for each level of nesting, and a text of a few hundred kilobytes can hold more levels than a
//! stack has room for; an overflow ends the process and can't be caught. So [`parse`] first goes over the text once,
//! without recursion, and looks at its length, its nesting, the number of its values, and names that stand twice in one
//! object, of which a reader would take one and pass over the other in silence.

use std::borrow::Cow;
use std::collections::HashSet;

use sonic_rs::Value;
use thiserror::Error;

/// What a text may come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Its length, in bytes.
    pub bytes: usize,
    /// How deep arrays and objects may lie in each other.
    pub depth: usize,
    /// How many values it may hold, also names of fields.
    pub values: usize,
    /// Whether a name may stand only once in an object.
    pub unique: bool,
}

/// Of an operator's call. The deepest value that is read lies 7 deep. The parser takes 16 bytes for a value and more, so
/// that a text of short values takes many times its length: a real call has 7 bytes for a value.
pub const CALL: Bounds = Bounds { bytes: 8 << 20, depth: 128, values: 2 << 20, unique: true };
/// Of what a server tells of itself.
pub const BEAT: Bounds = Bounds { bytes: 64 << 10, depth: 16, values: 1_024, unique: true };
/// Of an item's text and of an answer to a read: what a call may bring, but an item that an earlier build took may hold a
/// name twice and is still read.
pub const STORED: Bounds = Bounds { bytes: 64 << 20, depth: 128, values: 16 << 20, unique: false };

/// Why a text is not read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum JsonError {
    /// It is too long.
    #[error("it is over {0} bytes long")]
    Long(usize),
    /// It is nested too deeply.
    #[error("at byte {at}: nested over {most} deep")]
    Deep {
        /// Where the level over the bound begins.
        at: usize,
        /// The bound.
        most: usize,
    },
    /// It holds too much.
    #[error("it holds over {0} values")]
    Many(usize),
    /// An object holds a name twice.
    #[error("at byte {at}: {name:?} stands twice in one object")]
    Twice {
        /// Where it stands again.
        at: usize,
        /// The name.
        name: String,
    },
    /// It is no JSON.
    #[error("no whole JSON: {0}")]
    Malformed(String),
}

impl JsonError {
    /// Whether the text may be sound JSON and is over a bound.
    pub fn is_bound(&self) -> bool {
        !matches!(self, JsonError::Malformed(_))
    }
}

/// Reads a text that is within the bounds.
pub fn parse(text: &[u8], bounds: &Bounds) -> Result<Value, JsonError> {
    check(text, bounds)?;
    sonic_rs::from_slice(text).map_err(|error| JsonError::Malformed(error.to_string()))
}

/// Looks whether a text is within the bounds. What is no JSON may pass: up to the first byte at which a parser stops, this
/// sees the same arrays, objects and strings as it does.
pub fn check(text: &[u8], bounds: &Bounds) -> Result<(), JsonError> {
    if text.len() > bounds.bytes {
        return Err(JsonError::Long(bounds.bytes));
    }
    Scan { text, at: 0, values: 0, open: Vec::new(), bounds }.run()
}

/// An array or object that has begun and not ended.
enum Open<'a> {
    Array,
    Object(Names<'a>),
}

/// The names of an object so far.
#[derive(Default)]
struct Names<'a> {
    few: Vec<Cow<'a, [u8]>>,
    many: HashSet<Cow<'a, [u8]>>,
}

/// Up to so many names are compared one by one.
const FEW: usize = 16;

impl<'a> Names<'a> {
    /// Tells whether it is a new one.
    fn add(&mut self, name: Cow<'a, [u8]>) -> bool {
        if self.many.is_empty() {
            if self.few.contains(&name) {
                return false;
            }
            if self.few.len() < FEW {
                self.few.push(name);
                return true;
            }
            self.many.extend(self.few.drain(..));
        }
        self.many.insert(name)
    }
}

struct Scan<'a, 'b> {
    text: &'a [u8],
    at: usize,
    values: usize,
    open: Vec<Open<'a>>,
    bounds: &'b Bounds,
}

impl<'a> Scan<'a, '_> {
    fn run(mut self) -> Result<(), JsonError> {
        while let Some(&byte) = self.text.get(self.at) {
            match byte {
                b'"' => self.string()?,
                b'{' => self.begin(Open::Object(Names::default()))?,
                b'[' => self.begin(Open::Array)?,
                b'}' | b']' => {
                    self.open.pop();
                    self.at += 1;
                }
                b',' | b':' | b' ' | b'\t' | b'\r' | b'\n' => self.at += 1,
                _ => self.scalar()?,
            }
        }
        Ok(())
    }

    fn count(&mut self) -> Result<(), JsonError> {
        self.values += 1;
        if self.values > self.bounds.values {
            return Err(JsonError::Many(self.bounds.values));
        }
        Ok(())
    }

    fn begin(&mut self, open: Open<'a>) -> Result<(), JsonError> {
        self.count()?;
        if self.open.len() >= self.bounds.depth {
            return Err(JsonError::Deep { at: self.at, most: self.bounds.depth });
        }
        self.open.push(open);
        self.at += 1;
        Ok(())
    }

    /// A number, or true, false or null: up to what can't be part of one.
    fn scalar(&mut self) -> Result<(), JsonError> {
        self.count()?;
        let ends = |byte: &u8| {
            matches!(byte, b',' | b':' | b'[' | b']' | b'{' | b'}' | b'"' | b' ' | b'\t' | b'\r' | b'\n')
        };
        self.at += self.text[self.at..].iter().position(ends).unwrap_or(self.text.len() - self.at);
        Ok(())
    }

    /// A string, which is a name where a colon follows.
    fn string(&mut self) -> Result<(), JsonError> {
        self.count()?;
        let begin = self.at;
        let mut escaped = false;
        self.at += 1;
        loop {
            match self.text.get(self.at) {
                // It does not end; the parser says so.
                None => return Ok(()),
                Some(b'"') => break,
                Some(b'\\') => {
                    escaped = true;
                    self.at += 2;
                }
                Some(_) => self.at += 1,
            }
        }
        self.at += 1;
        let quoted = &self.text[begin..self.at];
        let blank = |byte: &&u8| matches!(byte, b' ' | b'\t' | b'\r' | b'\n');
        let is_name = self.text[self.at..].iter().find(|byte| !blank(byte)) == Some(&b':');
        match self.open.last_mut() {
            Some(Open::Object(names)) if is_name && self.bounds.unique => {
                let name =
                    if escaped { unescaped(quoted) } else { Cow::Borrowed(&quoted[1..quoted.len() - 1]) };
                let shown = || String::from_utf8_lossy(&name).chars().take(64).collect();
                let error = JsonError::Twice { at: begin, name: shown() };
                names.add(name).then_some(()).ok_or(error)
            }
            _ => Ok(()),
        }
    }
}

/// A string without its quotes and escapes; as it is, if it can't be read.
fn unescaped(quoted: &[u8]) -> Cow<'_, [u8]> {
    match sonic_rs::from_slice::<String>(quoted) {
        Ok(text) => Cow::Owned(text.into_bytes()),
        Err(_) => Cow::Borrowed(quoted),
    }
}
