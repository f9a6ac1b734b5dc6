//! Strict reading of TOML files written by people: errors name the file, line, key, and what is expected.

use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::de::{DeserializeOwned, Deserializer, Error as _};
use serde::{Deserialize, Serialize, Serializer};

/// Why a file was refused.
#[derive(Debug)]
pub enum FileError {
    /// It can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// It is not TOML, or a key is unknown or has a value of the wrong type or form.
    Malformed {
        /// The file.
        path: PathBuf,
        /// The line, from 1.
        line: Option<usize>,
        /// The key with its tables; empty or a dot for the file itself.
        key: String,
        /// What is expected.
        why: String,
    },
    /// A value is out of range, or contradicts another.
    Refused {
        /// The file.
        path: PathBuf,
        /// The key with its tables.
        key: String,
        /// What is expected.
        why: String,
    },
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FileError::Unreadable(path, error) => write!(f, "cannot read {}: {error}", path.display()),
            FileError::Malformed { path, line, key, why } => {
                write!(f, "{}", path.display())?;
                if let Some(line) = line {
                    write!(f, ":{line}")?;
                }
                match key.as_str() {
                    "." | "" => write!(f, ": {why}"),
                    key => write!(f, ": {key}: {why}"),
                }
            }
            FileError::Refused { path, key, why } => write!(f, "{}: {key}: {why}", path.display()),
        }
    }
}

impl std::error::Error for FileError {}

/// A file whose values can be checked against their ranges and each other.
pub trait Checked: DeserializeOwned {
    /// Returns the first key that is out of range or contradicts another, and what is expected.
    fn refused(&self) -> Option<(String, String)>;
}

/// Reads and checks a file.
pub fn read<T: Checked>(path: &Path) -> Result<T, FileError> {
    let text = std::fs::read_to_string(path).map_err(|e| FileError::Unreadable(path.to_path_buf(), e))?;
    parse(path, &text)
}

/// Reads and checks the text of a file.
pub fn parse<T: Checked>(path: &Path, text: &str) -> Result<T, FileError> {
    let malformed = |key: String, error: &toml::de::Error| FileError::Malformed {
        path: path.to_path_buf(),
        line: error.span().map(|s| text[..s.start.min(text.len())].matches('\n').count() + 1),
        key,
        why: error.message().trim().replace('\n', "; "),
    };
    let from = toml::Deserializer::parse(text).map_err(|e| malformed(String::new(), &e))?;
    let read: T =
        serde_path_to_error::deserialize(from).map_err(|e| malformed(e.path().to_string(), e.inner()))?;
    match read.refused() {
        Some((key, why)) => Err(FileError::Refused { path: path.to_path_buf(), key, why }),
        None => Ok(read),
    }
}

/// Returns the key and an error text if a value is outside `least` to `most`.
pub fn within<T: PartialOrd + fmt::Display>(
    key: impl Into<String>,
    value: T,
    least: T,
    most: T,
) -> Option<(String, String)> {
    let fits = value >= least && value <= most;
    (!fits).then(|| (key.into(), format!("{least} to {most} is wanted, not {value}")))
}

/// A duration, written with its unit: `"450ms"`, `"3s"`, `"10m"`.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Span(pub Duration);

impl Span {
    /// A duration of this many milliseconds.
    pub const fn ms(ms: u64) -> Span {
        Span(Duration::from_millis(ms))
    }
}

impl<'de> Deserialize<'de> for Span {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let wanted = "wanted a time with its unit in quotes, such as \"450ms\", \"3s\" or \"10m\"";
        let text = String::deserialize(from).map_err(|_| D::Error::custom(wanted))?;
        let digits = text.bytes().take_while(u8::is_ascii_digit).count();
        let (number, unit) = text.split_at(digits);
        let number: u64 =
            number.parse().map_err(|_| D::Error::custom(format!("{wanted}; found {text:?}")))?;
        let ms = match unit {
            "ms" => Some(number),
            "s" => number.checked_mul(1_000),
            "m" => number.checked_mul(60_000),
            _ => None,
        };
        ms.map(Span::ms).ok_or_else(|| D::Error::custom(format!("{wanted}; found {text:?}")))
    }
}

impl Serialize for Span {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0.as_millis())
    }
}
