//! The settings file (TOML) of a process.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::time::Duration;

use pinerelay_config_state::duration::parse_duration;
use serde::de::{Error as _, Unexpected};
use serde::{Deserialize, Deserializer};
use thiserror::Error;

use crate::internal_port;

#[cfg(test)]
mod tests;

/// Why a file cannot be used.
#[derive(Debug, Error)]
pub enum FileError {
    /// It cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// A key is missing or has a value that cannot be used.
    #[error("{path}: {key}: {reason}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The key with those that contain it; `.` for the file as a whole.
        key: String,
        /// What is wrong, and what is wanted.
        reason: String,
    },
}

/// Why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// It is not named.
    #[error("no settings file: name it with --settings or in the variable PINERELAY_BOOT")]
    Unnamed,
    /// The file itself cannot be used.
    #[error(transparent)]
    File(#[from] FileError),
}

/// A duration as the file writes it, such as `1500ms` or `2.5s`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct TextDuration(pub Duration);

impl TextDuration {
    /// The duration in microseconds.
    pub fn as_micros(self) -> u64 {
        self.0.as_micros() as u64
    }
}

impl<'de> Deserialize<'de> for TextDuration {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let error = || D::Error::invalid_value(Unexpected::Str(&text), &"a time such as 1500ms or 2.5s");
        parse_duration(&text).map(TextDuration).ok_or_else(error)
    }
}

/// The settings of a process. Unknown keys are ignored: the platform may add some.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The machine's name.
    pub node: String,
    /// Its address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
    /// The first and the last of the ports that are free for links between processes.
    pub internal_ports: (u16, u16),
    /// The control addresses of some core machines.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the whole system starts for the first time, on empty disks.
    #[serde(default)]
    pub first_start: bool,
    /// The folder for files, on a machine that has a disk.
    pub data_dir: Option<PathBuf>,
    /// The interval of servers' heartbeats.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: TextDuration,
    /// The zones' names and regions.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// Where the process listens.
    pub listen: Listen,
    /// The parts of the rules that are in force.
    #[serde(default)]
    pub guarantees: Vec<String>,
    /// The resources that it may use.
    #[serde(default)]
    pub limits: Limits,
    /// What may be lost at once.
    #[serde(default)]
    pub tolerate: Tolerate,
    /// The operator's bounds.
    #[serde(default)]
    pub bounds: Bounds,
}

fn default_heartbeat() -> TextDuration {
    TextDuration(Duration::from_millis(1500))
}

/// Where a process listens.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// For clients.
    pub public_http: Option<SocketAddrV4>,
    /// For readiness checks.
    pub readiness: Option<SocketAddrV4>,
    /// For servers and operators.
    pub control: Option<SocketAddrV4>,
}

/// The resources that a process may use.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// File descriptors.
    pub file_limit: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 256, file_limit: 1024 }
    }
}

/// What may be lost at once.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Tolerate {
    /// Core machines.
    pub machines: usize,
}

/// The operator's bounds, by the names that the settings give them.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// How long ago partitions and restarts must lie for a machine to count as connected.
    pub contact: TextDuration,
    /// For how long a machine counts as lost once it is back.
    pub sync_time: TextDuration,
    /// For how long a draining server still serves.
    pub drain_timeout: TextDuration,
    /// The time from SIGTERM to SIGKILL.
    pub grace_period: TextDuration,
    /// The time within which a change is in force everywhere.
    pub apply: TextDuration,
    /// The time after which a server's address may belong to another one.
    pub reuse_delay: TextDuration,
    /// Retries as a share of the requests.
    pub retry_ratio: f64,
    /// The window in which retries are counted.
    pub retry_window: TextDuration,
    /// The number of retries on top.
    pub retry_extra: f64,
    /// The window in which quotas are counted.
    pub quota_period: TextDuration,
    /// The share by which a quota may be exceeded.
    pub quota_overrun: f64,
    /// The number of requests by which it may, on top.
    pub quota_margin: f64,
    /// The share of a service's requests that a new version may get until it is known to be good.
    pub exposure_share: f64,
    /// The number of requests that it may get on top.
    pub exposure_margin: f64,
    /// The time within which a new version that was found to be bad gets nothing any more.
    pub rollback: TextDuration,
}

impl Default for Bounds {
    fn default() -> Self {
        let milliseconds = |ms| TextDuration(Duration::from_millis(ms));
        Bounds {
            contact: milliseconds(3_000),
            sync_time: milliseconds(4_000),
            drain_timeout: milliseconds(2_500),
            grace_period: milliseconds(6_000),
            apply: milliseconds(2_500),
            reuse_delay: milliseconds(2_000),
            retry_ratio: 0.2,
            retry_window: milliseconds(10_000),
            retry_extra: 62.0,
            quota_period: milliseconds(5_000),
            quota_overrun: 0.1,
            quota_margin: 20.0,
            exposure_share: 0.1,
            exposure_margin: 50.0,
            rollback: milliseconds(5_000),
        }
    }
}

impl Settings {
    /// Reads a file.
    ///
    /// # Errors
    /// If the file cannot be read or used; the error names the key.
    pub fn read(path: &Path) -> Result<Settings, FileError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| FileError::Unreadable { path: path.into(), error })?;
        Settings::parse(path, &text)
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    /// If the text cannot be used; the error names the key.
    pub fn parse(path: &Path, text: &str) -> Result<Settings, FileError> {
        let invalid = |key: String, reason: String| FileError::Invalid { path: path.into(), key, reason };
        let parsed =
            toml::Deserializer::parse(text).map_err(|error| invalid(".".into(), error.message().into()))?;
        let settings: Settings = serde_path_to_error::deserialize(parsed)
            .map_err(|error| invalid(error.path().to_string(), error.inner().message().into()))?;
        let (first, last) = settings.internal_ports;
        if last < first.saturating_add(internal_port::LAST) {
            let reason = format!("{first} to {last} are too few ports: three are wanted");
            return Err(invalid("internal_ports".into(), reason));
        }
        match settings.bounds.invalid_number() {
            Some(name) => Err(invalid(format!("bounds.{name}"), "a number from 0 on is wanted".into())),
            None => Ok(settings),
        }
    }

    /// An address that a role must have.
    ///
    /// # Errors
    /// If the settings do not give it.
    pub fn required_address(
        path: &Path,
        key: &str,
        address: Option<SocketAddrV4>,
    ) -> Result<SocketAddrV4, FileError> {
        let reason = "an address and port are wanted for what this role serves";
        address.ok_or_else(|| FileError::Invalid {
            path: path.into(),
            key: format!("listen.{key}"),
            reason: reason.into(),
        })
    }

    /// The core machines that the settings name.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        let mut seeds: Vec<Ipv4Addr> = self.seed_nodes.iter().map(|seed| *seed.ip()).collect();
        seeds.sort();
        seeds.dedup();
        seeds
    }

    /// The address at which a program of a machine accepts links: one of [`internal_port`]. The ports are the same on all
    /// machines.
    pub fn internal_address(&self, machine: Ipv4Addr, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(machine, self.internal_ports.0.saturating_add(port))
    }
}

impl Bounds {
    /// The name of a number that is negative or not finite.
    fn invalid_number(&self) -> Option<&'static str> {
        let numbers = [
            ("retry_ratio", self.retry_ratio),
            ("retry_extra", self.retry_extra),
            ("quota_overrun", self.quota_overrun),
            ("quota_margin", self.quota_margin),
            ("exposure_share", self.exposure_share),
            ("exposure_margin", self.exposure_margin),
        ];
        let is_invalid = |number: f64| !(number.is_finite() && number >= 0.0);
        numbers.into_iter().find(|(_, number)| is_invalid(*number)).map(|(name, _)| name)
    }
}
