//! Golden files: bytes that a release in service has written, held against what the code writes today.
//!
//! During a rolling upgrade processes of two releases talk to each other, and each release reads what the one before it
//! left on disk. The files below `tests/golden` were written once, by the first release whose format they record. They are
//! extended when a message or a record is added, and never changed.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;

/// Set to any value, this variable lets [`Golden::check`] write a file that does not exist yet. Existing files are never
/// written.
pub const CREATE: &str = "CREATE_GOLDEN";

/// A golden file, and the entries that the code produces today.
#[derive(Debug)]
pub struct Golden {
    path: PathBuf,
    entries: BTreeMap<String, String>,
}

impl Golden {
    /// The file of this name below `tests/golden`.
    pub fn file(name: &str) -> Golden {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden").join(name);
        Golden { path, entries: BTreeMap::new() }
    }

    /// Adds bytes, which the file holds as hexadecimal digits.
    ///
    /// # Panics
    /// If the name was added before: an entry would go unchecked.
    pub fn bytes(&mut self, name: &str, bytes: &[u8]) {
        let digits = bytes.iter().fold(String::new(), |mut digits, byte| {
            let _ = write!(digits, "{byte:02x}");
            digits
        });
        self.text(name, &digits);
    }

    /// Adds a text without line breaks.
    ///
    /// # Panics
    /// If the name was added before, or if a line break would make two entries of one.
    pub fn text(&mut self, name: &str, text: &str) {
        assert!(!name.contains(['\n', '=']) && !text.contains('\n'), "{name}: does not fit on a line");
        assert!(self.entries.insert(name.into(), text.into()).is_none(), "{name}: added twice");
    }

    /// Compares the entries with the file.
    ///
    /// # Errors
    /// Each entry that is missing on either side or differs, one a line.
    pub fn check(&self) -> Result<(), String> {
        if !self.path.exists() && std::env::var_os(CREATE).is_some() {
            let lines = self.entries.iter().map(|(name, text)| format!("{name} = {text}\n"));
            std::fs::write(&self.path, lines.collect::<String>()).map_err(|error| error.to_string())?;
        }
        let recorded = self.recorded()?;
        let names =
            self.entries.keys().chain(recorded.keys().filter(|name| !self.entries.contains_key(*name)));
        let differing: Vec<String> = names
            .filter(|name| self.entries.get(*name) != recorded.get(*name))
            .map(|name| {
                format!(
                    "{name}\n  recorded: {:?}\n  today:    {:?}",
                    recorded.get(name),
                    self.entries.get(name)
                )
            })
            .collect();
        if differing.is_empty() {
            Ok(())
        } else {
            Err(differing.join("\n"))
        }
    }

    /// The recorded bytes of an entry.
    ///
    /// # Errors
    /// If the file or the entry is missing, or if it holds no hexadecimal digits.
    pub fn recorded_bytes(&self, name: &str) -> Result<Vec<u8>, String> {
        let recorded = self.recorded()?;
        let digits = recorded.get(name).ok_or_else(|| format!("{name}: not recorded"))?;
        let pair = |at: usize| digits.get(at..at + 2).and_then(|pair| u8::from_str_radix(pair, 16).ok());
        let bytes: Option<Vec<u8>> = (0..digits.len()).step_by(2).map(pair).collect();
        bytes.ok_or_else(|| format!("{name}: no hexadecimal digits"))
    }

    fn recorded(&self) -> Result<BTreeMap<String, String>, String> {
        let text = std::fs::read_to_string(&self.path)
            .map_err(|error| format!("{}: {error}", self.path.display()))?;
        let entries = text.lines().filter_map(|line| line.split_once(" = "));
        Ok(entries.map(|(name, text)| (name.to_string(), text.to_string())).collect())
    }
}

/// A file below `tests/fixtures`.
pub fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}
