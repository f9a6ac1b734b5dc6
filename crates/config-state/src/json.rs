//! Untrusted JSON, checked against bounds before it is parsed.
//!
//! The parser recurses once for each level of nesting, and a text of a few hundred kilobytes can hold more levels than
//! fit on the stack; a stack overflow ends the process and cannot be caught. So [`parse`] first scans the text once,
//! without recursion, and checks its length, its nesting, the number of its values, and names that occur twice in one
//! object, of which a parser would silently keep one.

use std::borrow::Cow;
use std::collections::HashSet;

use sonic_rs::Value;
use thiserror::Error;

/// Bounds on a JSON text.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum length, in bytes.
    pub bytes: usize,
    /// Maximum nesting of arrays and objects.
    pub depth: usize,
    /// Maximum number of values, names of fields included.
    pub values: usize,
    /// Whether names must be unique within an object.
    pub unique: bool,
}

/// Bounds on an operator's call. The deepest value that is read is nested 7 levels deep. The parser allocates 16 bytes or
/// more per value, so a text of short values takes many times its length in memory; a real call has 7 bytes per value.
pub const OPERATOR_CALL: Bounds = Bounds { bytes: 8 << 20, depth: 128, values: 2 << 20, unique: true };
/// Bounds on a server's heartbeat.
pub const HEARTBEAT: Bounds = Bounds { bytes: 64 << 10, depth: 16, values: 1_024, unique: true };
/// Bounds on an item's stored text and on the answer to a read. They allow all that a call may contain; items that earlier
/// releases accepted may contain a name twice.
pub const STORED: Bounds = Bounds { bytes: 64 << 20, depth: 128, values: 16 << 20, unique: false };

/// Maximum number of characters of a duplicate name that an error shows.
const SHOWN_NAME_LENGTH: usize = 64;

/// Why a text is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum JsonError {
    /// It is longer than the bound, in bytes.
    #[error("it is over {0} bytes long")]
    TooLong(usize),
    /// It is nested too deeply.
    #[error("at byte {byte_offset}: nested over {max_depth} deep")]
    TooDeep {
        /// The offset of the level that exceeds the bound, in bytes.
        byte_offset: usize,
        /// The bound.
        max_depth: usize,
    },
    /// It contains more values than the bound.
    #[error("it holds over {0} values")]
    TooManyValues(usize),
    /// An object contains a name twice.
    #[error("at byte {byte_offset}: {name:?} stands twice in one object")]
    DuplicateName {
        /// The offset of the second occurrence, in bytes.
        byte_offset: usize,
        /// The name.
        name: String,
    },
    /// It is not well-formed JSON; the parser's reason.
    #[error("no whole JSON: {0}")]
    Malformed(String),
}

impl JsonError {
    /// Whether the text may be well-formed but exceeds a bound.
    pub fn exceeds_bound(&self) -> bool {
        !matches!(self, JsonError::Malformed(_))
    }
}

/// Checks the bounds, then parses the text.
pub fn parse(text: &[u8], bounds: &Bounds) -> Result<Value, JsonError> {
    check(text, bounds)?;
    sonic_rs::from_slice(text).map_err(|error| JsonError::Malformed(error.to_string()))
}

/// Checks the bounds alone. Malformed text may pass: up to the byte at which the parser would stop, the scan sees the same
/// arrays, objects and strings as the parser.
pub fn check(text: &[u8], bounds: &Bounds) -> Result<(), JsonError> {
    if text.len() > bounds.bytes {
        return Err(JsonError::TooLong(bounds.bytes));
    }
    Scanner { text, offset: 0, values: 0, open: Vec::new(), bounds }.scan()
}

/// An array or object that is still open.
enum Container<'a> {
    Array,
    Object(Names<'a>),
}

/// The names seen so far in an object.
#[derive(Default)]
struct Names<'a> {
    /// Up to [`LINEAR_SEARCH_LIMIT`] names are compared one by one.
    list: Vec<Cow<'a, [u8]>>,
    /// All names, once there are more.
    set: HashSet<Cow<'a, [u8]>>,
}

/// The number of names up to which a list is searched.
const LINEAR_SEARCH_LIMIT: usize = 16;

impl<'a> Names<'a> {
    /// Adds a name; returns whether it is new.
    fn insert(&mut self, name: Cow<'a, [u8]>) -> bool {
        if self.set.is_empty() {
            if self.list.contains(&name) {
                return false;
            }
            if self.list.len() < LINEAR_SEARCH_LIMIT {
                self.list.push(name);
                return true;
            }
            self.set.extend(self.list.drain(..));
        }
        self.set.insert(name)
    }
}

fn is_whitespace(byte: u8) -> bool {
    matches!(byte, b' ' | b'\t' | b'\r' | b'\n')
}

fn is_structural(byte: u8) -> bool {
    matches!(byte, b',' | b':' | b'[' | b']' | b'{' | b'}' | b'"')
}

/// Scans a text without recursion.
struct Scanner<'a, 'b> {
    text: &'a [u8],
    offset: usize,
    values: usize,
    open: Vec<Container<'a>>,
    bounds: &'b Bounds,
}

impl<'a> Scanner<'a, '_> {
    fn scan(mut self) -> Result<(), JsonError> {
        while let Some(&byte) = self.text.get(self.offset) {
            match byte {
                b'"' => self.scan_string()?,
                b'{' => self.enter(Container::Object(Names::default()))?,
                b'[' => self.enter(Container::Array)?,
                b'}' | b']' => {
                    self.open.pop();
                    self.offset += 1;
                }
                b',' | b':' => self.offset += 1,
                byte if is_whitespace(byte) => self.offset += 1,
                _ => self.scan_scalar()?,
            }
        }
        Ok(())
    }

    fn count_value(&mut self) -> Result<(), JsonError> {
        self.values += 1;
        if self.values > self.bounds.values {
            return Err(JsonError::TooManyValues(self.bounds.values));
        }
        Ok(())
    }

    fn enter(&mut self, container: Container<'a>) -> Result<(), JsonError> {
        self.count_value()?;
        if self.open.len() >= self.bounds.depth {
            return Err(JsonError::TooDeep { byte_offset: self.offset, max_depth: self.bounds.depth });
        }
        self.open.push(container);
        self.offset += 1;
        Ok(())
    }

    /// Scans a number, `true`, `false` or `null`: up to the next byte that cannot be part of one.
    fn scan_scalar(&mut self) -> Result<(), JsonError> {
        self.count_value()?;
        let rest = &self.text[self.offset..];
        let length = rest.iter().position(|&byte| is_structural(byte) || is_whitespace(byte));
        self.offset += length.unwrap_or(rest.len());
        Ok(())
    }

    /// Scans a string, which is a name if a colon follows.
    fn scan_string(&mut self) -> Result<(), JsonError> {
        self.count_value()?;
        let start = self.offset;
        let Some(has_escapes) = self.skip_string() else { return Ok(()) };
        let quoted = &self.text[start..self.offset];
        let next = self.text[self.offset..].iter().find(|&&byte| !is_whitespace(byte));
        match self.open.last_mut() {
            Some(Container::Object(names)) if next == Some(&b':') && self.bounds.unique => {
                let without_quotes = || Cow::Borrowed(&quoted[1..quoted.len() - 1]);
                let name = if has_escapes { unescape(quoted) } else { without_quotes() };
                let excerpt = String::from_utf8_lossy(&name).chars().take(SHOWN_NAME_LENGTH).collect();
                let error = JsonError::DuplicateName { byte_offset: start, name: excerpt };
                names.insert(name).then_some(()).ok_or(error)
            }
            _ => Ok(()),
        }
    }

    /// Moves past the closing quote; returns whether the string contains escapes. `None` if it does not end, which the
    /// parser reports.
    fn skip_string(&mut self) -> Option<bool> {
        let mut has_escapes = false;
        self.offset += 1;
        loop {
            match self.text.get(self.offset)? {
                b'"' => {
                    self.offset += 1;
                    return Some(has_escapes);
                }
                b'\\' => {
                    has_escapes = true;
                    self.offset += 2;
                }
                _ => self.offset += 1,
            }
        }
    }
}

/// A string without its quotes and escapes; unchanged if it cannot be parsed.
fn unescape(quoted: &[u8]) -> Cow<'_, [u8]> {
    match sonic_rs::from_slice::<String>(quoted) {
        Ok(text) => Cow::Owned(text.into_bytes()),
        Err(_) => Cow::Borrowed(quoted),
    }
}
