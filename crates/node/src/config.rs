//! The configuration that the platform writes: read, and checked.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use pinerelay_protocol::list::{Endpoint, List};
use pinerelay_protocol::settings::Env;
use serde::de::DeserializeOwned;
use serde::Deserialize;

use crate::strict::FileError;

/// The configuration of one node. Keys that are not known here are passed over: the platform may add some.
#[derive(Deserialize)]
pub struct Config {
    listen: String,
    discovery: String,
    #[serde(default)]
    counter: Option<String>,
    seed: String,
    /// What the platform allows.
    #[serde(default)]
    pub limits: Limits,
    /// The app servers as last heard of.
    #[serde(default)]
    pub known: List,
    /// The settings.
    pub settings: Env,
}

/// What the platform allows.
#[derive(Deserialize)]
#[serde(default)]
pub struct Limits {
    /// File descriptors.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024 }
    }
}

/// What a configuration names, read.
pub struct Checked {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where the counter is, if there is one.
    pub counter: Option<SocketAddr>,
    /// The seed of random numbers.
    pub seed: u64,
}

/// What a new configuration may change while the node runs; the rest of it waits for the next start.
pub struct NewPeers {
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// Where the counter is, if there is one.
    pub counter: Option<SocketAddr>,
}

#[derive(Deserialize)]
struct PeersFile {
    discovery: String,
    #[serde(default)]
    counter: Option<String>,
}

/// Why a node could not start.
#[derive(Debug)]
pub enum StartError {
    /// No file is named.
    NoConfig,
    /// The file can't be read.
    Unreadable(PathBuf, std::io::Error),
    /// The file is no configuration.
    Malformed(PathBuf, serde_json::Error),
    /// A key holds no address.
    Address(&'static str, String),
    /// The seed is no number.
    Seed(String),
    /// The operator's file is not valid.
    Operator(FileError),
    /// The address can't be listened on.
    Listen(SocketAddr, std::io::Error),
    /// The system refused something.
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

    /// What it names; an error is the first thing for which a node could not start.
    pub fn checked(&self) -> Result<Checked, StartError> {
        Ok(Checked {
            listen: address("listen", &self.listen)?,
            discovery: address("discovery", &self.discovery)?,
            counter: self.counter.as_deref().map(|text| address("counter", text)).transpose()?,
            seed: u64::from_str_radix(&self.seed, 16).map_err(|_| StartError::Seed(self.seed.clone()))?,
        })
    }

    /// All that is wrong with it, also where a node would start and pass it over: key, and what is wanted.
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
            let again = names.into_iter().filter(|n| !seen.insert(n.as_str()));
            faults.extend(again.map(|n| format!("settings.{key}: {n:?} stands there twice")));
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

impl NewPeers {
    /// Reads them off a configuration that has been replaced.
    pub fn read(path: &Path) -> Result<Self, StartError> {
        let peers: PeersFile = read(path)?;
        let counter = peers.counter.as_deref().map(|text| address("counter", text)).transpose()?;
        Ok(NewPeers { discovery: address("discovery", &peers.discovery)?, counter })
    }
}

fn address(what: &'static str, text: &str) -> Result<SocketAddr, StartError> {
    text.parse().map_err(|_| StartError::Address(what, text.into()))
}

fn read<T: DeserializeOwned>(path: &Path) -> Result<T, StartError> {
    let text = std::fs::read(path).map_err(|e| StartError::Unreadable(path.into(), e))?;
    serde_json::from_slice(&text).map_err(|e| StartError::Malformed(path.into(), e))
}
