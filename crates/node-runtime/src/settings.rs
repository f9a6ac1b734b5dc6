//! The settings file (TOML) of a process: its keys, defaults and validation.

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

/// Why a file is rejected.
#[derive(Debug, Error)]
pub enum FileError {
    /// The file cannot be read.
    #[error("{path}: {error}")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: std::io::Error,
    },
    /// A key is missing or has an invalid value, or the file is not valid TOML.
    #[error("{path}: {key}: {reason}")]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The full path of the key; `.` for the file as a whole.
        key: String,
        /// What is wrong, and what is expected.
        reason: String,
    },
}

/// Why the settings are unavailable.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// No settings file is given.
    #[error("no settings file: pass --settings FILE or set PINERELAY_BOOT")]
    Unnamed,
    /// The settings file is rejected.
    #[error(transparent)]
    File(#[from] FileError),
}

/// A duration that is written as text, such as `1500ms` or `2.5s`.
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

/// The settings of a process. Unknown keys are ignored, because the platform may add some.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// The name of the machine.
    pub node: String,
    /// The address of the machine.
    pub ip: Ipv4Addr,
    /// The zone of the machine.
    pub zone: String,
    /// The first and the last port of the range that is reserved for links between processes.
    pub internal_ports: (u16, u16),
    /// The control addresses of some of the core machines.
    #[serde(default)]
    pub seed_nodes: Vec<SocketAddrV4>,
    /// Whether the whole system is bootstrapped, with empty disks.
    #[serde(default)]
    pub first_start: bool,
    /// The data directory, on a machine that has a disk.
    pub data_dir: Option<PathBuf>,
    /// The interval at which servers send heartbeats.
    #[serde(default = "default_heartbeat")]
    pub heartbeat: TextDuration,
    /// Zone names and their regions.
    #[serde(default)]
    pub zones: BTreeMap<String, String>,
    /// The addresses on which the process listens.
    pub listen: Listen,
    /// The names of the guarantees that are in force.
    #[serde(default)]
    pub guarantees: Vec<String>,
    /// The resources that the process may use.
    #[serde(default)]
    pub limits: Limits,
    /// The simultaneous failures that the system must tolerate.
    #[serde(default)]
    pub tolerate: Tolerate,
    /// The bounds that the operator sets.
    #[serde(default)]
    pub bounds: Bounds,
}

fn default_heartbeat() -> TextDuration {
    TextDuration(Duration::from_millis(1500))
}

/// The addresses on which a process listens.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Listen {
    /// Address for client requests.
    pub public_http: Option<SocketAddrV4>,
    /// Address for readiness checks.
    pub readiness: Option<SocketAddrV4>,
    /// Address for calls from servers and operators.
    pub control: Option<SocketAddrV4>,
}

/// The resources that a process may use.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory, in MiB.
    pub memory_mb: usize,
    /// The number of file descriptors.
    pub file_limit: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { memory_mb: 256, file_limit: 1024 }
    }
}

/// The simultaneous failures that the system must tolerate.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct Tolerate {
    /// The number of core machines that may be lost.
    pub machines: usize,
}

/// The bounds that the operator sets.
#[derive(Debug, Clone, Deserialize)]
#[serde(default)]
pub struct Bounds {
    /// The time without partition or restart after which a machine counts as connected.
    pub contact: TextDuration,
    /// The time for which a machine that has returned still counts as lost.
    pub sync_time: TextDuration,
    /// The time for which a draining server still serves requests.
    pub drain_timeout: TextDuration,
    /// The time from SIGTERM to SIGKILL.
    pub grace_period: TextDuration,
    /// The time within which a configuration change takes effect everywhere.
    pub apply: TextDuration,
    /// The time after which the address of a server may be reused by another server.
    pub reuse_delay: TextDuration,
    /// The maximum retries in a window, as a share of the requests.
    pub retry_ratio: f64,
    /// The window in which retries are counted.
    pub retry_window: TextDuration,
    /// The number of retries that are allowed in addition to that share.
    pub retry_extra: f64,
    /// The window in which quotas are counted.
    pub quota_period: TextDuration,
    /// The share by which a quota may be exceeded.
    pub quota_overrun: f64,
    /// The number of requests by which a quota may be exceeded, in addition to that share.
    pub quota_margin: f64,
    /// The maximum share of a service's requests that a new version receives until it is known to be good.
    pub exposure_share: f64,
    /// The number of requests that a new version may receive in addition to that share.
    pub exposure_margin: f64,
    /// The time within which a new version that was found to be bad stops receiving requests.
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
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// If the file cannot be read or is invalid; the error names the key.
    pub fn read(path: &Path) -> Result<Settings, FileError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| FileError::Unreadable { path: path.into(), error })?;
        Settings::parse(path, &text)
    }

    /// Parses and validates the text of a settings file. `path` is named in errors.
    ///
    /// # Errors
    /// If the text is invalid; the error names the key.
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

    /// Returns the address under the key `listen.{key}`, which the role of the process requires.
    ///
    /// # Errors
    /// If the address is not set.
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

    /// The addresses of the seed nodes, sorted and without duplicates.
    pub fn seeds(&self) -> Vec<Ipv4Addr> {
        let mut seeds: Vec<Ipv4Addr> = self.seed_nodes.iter().map(|seed| *seed.ip()).collect();
        seeds.sort();
        seeds.dedup();
        seeds
    }

    /// The address at which a program on `machine` accepts links. `port` is an offset from [`internal_port`]; the port range is
    /// the same on all machines.
    pub fn internal_address(&self, machine: Ipv4Addr, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(machine, self.internal_ports.0.saturating_add(port))
    }
}

impl Bounds {
    /// Returns the name of the first number that is negative or not finite, if any.
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
