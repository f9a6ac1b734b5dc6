//! Reads and validates the configuration that the platform writes.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use pinerelay_protocol::list::{Endpoint, List};
use pinerelay_protocol::settings::Env;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;

use crate::strict::FileError;

/// The configuration of one node. Unknown keys are ignored: the platform may add some.
#[derive(Deserialize)]
pub struct Config {
    listen: String,
    /// Address for operators' calls, if any.
    #[serde(default)]
    ops: Option<String>,
    discovery: String,
    #[serde(default)]
    counter: Option<String>,
    seed: String,
    /// The platform's limits.
    #[serde(default)]
    pub limits: Limits,
    /// The app servers last known to the platform.
    #[serde(default)]
    pub known: List,
    /// The settings.
    pub settings: Env,
}

/// Resource limits that the platform sets.
#[derive(Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Maximum open file descriptors.
    pub sockets: usize,
    /// Memory, in MiB.
    pub memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 128 }
    }
}

/// The parsed addresses and the seed of a configuration.
pub struct Checked {
    /// Address to listen on for clients.
    pub listen: SocketAddr,
    /// Address for operators' calls, if any.
    pub ops: Option<SocketAddr>,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Address of the quota counter, if any.
    pub counter: Option<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Why a node could not start.
#[derive(Debug)]
pub enum StartError {
    /// No configuration file is given.
    NoConfig,
    /// The file can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// The file is not a configuration.
    Malformed(PathBuf, serde_json::Error),
    /// The value of a key or variable is not an address.
    Address(&'static str, String),
    /// A key of the running configuration is missing in the new one.
    Missing(PathBuf, String),
    /// The value of a key can't be used.
    Unusable(PathBuf, String),
    /// PROXY_FD does not name a listening socket.
    Inherited(String),
    /// The seed is not a hexadecimal number of 64 bits.
    Seed(String),
    /// The operator's file is not valid.
    Operator(FileError),
    /// The address can't be listened on.
    Listen(SocketAddr, std::io::Error),
    /// A system call failed.
    System(std::io::Error),
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            StartError::NoConfig => f.write_str("PROXY_CONFIG names no configuration"),
            StartError::Unreadable(path, error) => write!(f, "cannot read {}: {error}", path.display()),
            StartError::Malformed(path, error) => {
                write!(f, "{}: the configuration is malformed: {error}", path.display())
            }
            StartError::Address(what, text) => write!(f, "{what}: {text:?} is no address"),
            StartError::Missing(path, key) => write!(f, "{}: {key} is missing", path.display()),
            StartError::Unusable(path, why) => write!(f, "{}: {why}", path.display()),
            StartError::Inherited(why) => write!(f, "PROXY_FD: {why}"),
            StartError::Seed(text) => write!(f, "seed: {text:?} is no hexadecimal number of 64 bits"),
            StartError::Operator(error) => error.fmt(f),
            StartError::Listen(address, error) => write!(f, "cannot listen on {address}: {error}"),
            StartError::System(error) => write!(f, "cannot start: {error}"),
        }
    }
}

impl std::error::Error for StartError {}

impl From<FileError> for StartError {
    fn from(error: FileError) -> Self {
        StartError::Operator(error)
    }
}

impl Config {
    /// Reads a configuration.
    pub fn read(path: &Path) -> Result<Self, StartError> {
        read(path)
    }

    /// Parses addresses and seed; an error is the first fault that would keep a node from starting.
    pub fn checked(&self) -> Result<Checked, StartError> {
        Ok(Checked {
            listen: address("listen", &self.listen)?,
            ops: self.ops.as_deref().map(|text| address("ops", text)).transpose()?,
            discovery: address("discovery", &self.discovery)?,
            counter: self.counter.as_deref().map(|text| address("counter", text)).transpose()?,
            seed: u64::from_str_radix(&self.seed, 16).map_err(|_| StartError::Seed(self.seed.clone()))?,
        })
    }

    /// All faults, including those with which a node would still start: the key, and what is expected.
    pub fn faults(&self) -> Vec<String> {
        let mut faults: Vec<String> = self.checked().err().iter().map(ToString::to_string).collect();
        let env = &self.settings;
        if env.classes.is_empty() {
            faults.push("settings.classes: at least one class is wanted".into());
        }
        let names = [
            ("classes", env.classes.iter().map(|c| &c.name).collect::<Vec<_>>()),
            ("tariffs", env.tariffs.iter().map(|p| &p.name).collect()),
            ("zones", env.zones.iter().collect()),
        ];
        for (key, names) in names {
            let mut seen = BTreeSet::new();
            let duplicates = names.into_iter().filter(|n| !seen.insert(n.as_str()));
            faults.extend(duplicates.map(|n| format!("settings.{key}: {n:?} stands there twice")));
        }
        let mut seen = BTreeSet::new();
        for (place, entry) in self.known.endpoints.iter().enumerate() {
            let key = format!("known.endpoints[{place}]");
            let entry = match Endpoint::deserialize(entry) {
                Ok(entry) => entry,
                Err(error) => {
                    faults.push(format!("{key}: {error}"));
                    continue;
                }
            };
            if entry.address.parse::<SocketAddr>().is_err() {
                faults.push(format!("{key}.address: {:?} is no address", entry.address));
            }
            if entry.state().is_none() {
                faults.push(format!("{key}.status: {:?}; up, draining or removed is wanted", entry.status));
            }
            if !env.zones.is_empty() && !env.zones.contains(&entry.zone) {
                faults.push(format!("{key}.zone: {:?} is not in settings.zones", entry.zone));
            }
            if !seen.insert(entry.name.clone()) {
                faults.push(format!("{key}.name: {:?} stands there twice", entry.name));
            }
        }
        faults
    }
}

/// The running configuration as JSON, against which a new one is compared.
pub struct RunningConfig(Value);

impl RunningConfig {
    /// Reads the configuration that a node starts with.
    pub fn start(path: &Path) -> Result<(Self, Config), StartError> {
        let text = read_text(path)?;
        Ok((RunningConfig(parse(path, &text)?), parse(path, &text)?))
    }

    /// Reads the configuration that has replaced this one; fails unless it is complete and usable. Danger: a partially
    /// written file, or one that lacks a key, must change nothing, not even an address.
    pub fn next(&self, path: &Path) -> Result<(Self, Config, Checked), StartError> {
        // Danger: if the file were read twice, it could change in between, and the version used would be unchecked.
        let text = read_text(path)?;
        let value: Value = parse(path, &text)?;
        if let Some(key) = missing(&self.0, &value, "") {
            return Err(StartError::Missing(path.into(), key));
        }
        let config: Config = parse(path, &text)?;
        let checked = config.checked()?;
        match first_unusable(&config.settings) {
            Some(why) => Err(StartError::Unusable(path.into(), why)),
            None => Ok((RunningConfig(value), config, checked)),
        }
    }
}

/// Returns the first key that the running configuration has and the new one lacks. List entries must have the keys that
/// all entries of the running list have; the known app servers may change completely.
fn missing(running: &Value, new: &Value, at: &str) -> Option<String> {
    match (running, new) {
        (Value::Object(old), Value::Object(new)) => old.iter().find_map(|(key, old)| {
            let path = if at.is_empty() { key.clone() } else { format!("{at}.{key}") };
            match new.get(key) {
                None => Some(path),
                Some(_) if path == "known" => None,
                Some(new) => missing(old, new, &path),
            }
        }),
        (Value::Array(old), Value::Array(new)) => {
            let objects: Vec<_> = old.iter().filter_map(Value::as_object).collect();
            let first = objects.first()?;
            let wanted: Vec<_> =
                first.keys().filter(|k| objects.iter().all(|o| o.contains_key(*k))).collect();
            new.iter().enumerate().find_map(|(place, entry)| {
                let gone = wanted.iter().find(|key| entry.get(key).is_none())?;
                Some(format!("{at}[{place}].{gone}"))
            })
        }
        (Value::Object(_) | Value::Array(_), _) => Some(at.to_string()),
        _ => None,
    }
}

/// The first fault of new settings with which a node can't run.
fn first_unusable(env: &Env) -> Option<String> {
    if env.classes.is_empty() {
        return Some("settings.classes: at least one class is wanted".into());
    }
    if env.bounds.try_limit == 0 {
        return Some("settings.bounds.try_limit: a positive number is wanted".into());
    }
    env.classes.iter().enumerate().find_map(|(place, class)| {
        let why = match class {
            c if c.name.is_empty() => "name: a name is wanted",
            c if c.deadline == 0 => "deadline: a positive number is wanted",
            c if c.on_time == 0 => "on_time: a positive number is wanted",
            c if env.classes[..place].iter().any(|o| o.name == c.name) => "name: stands there twice",
            _ => return None,
        };
        Some(format!("settings.classes[{place}].{why}"))
    })
}

fn address(what: &'static str, text: &str) -> Result<SocketAddr, StartError> {
    text.parse().map_err(|_| StartError::Address(what, text.into()))
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, StartError> {
    parse(path, &read_text(path)?)
}

fn read_text(path: &Path) -> Result<Vec<u8>, StartError> {
    std::fs::read(path).map_err(|e| StartError::Unreadable(path.into(), e))
}

fn parse<T: DeserializeOwned>(path: &Path, text: &[u8]) -> Result<T, StartError> {
    serde_json::from_slice(text).map_err(|e| StartError::Malformed(path.into(), e))
}
