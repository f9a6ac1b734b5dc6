//! The machines of a small gateway: addresses on loopback, settings files, data folders, and the programs as processes.

use std::fmt::Write;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;
use std::{fs, io};

use thiserror::Error;
use tokio::time::{sleep, Instant};

use crate::field;

/// How many machines there are of each class, unless the core is larger.
pub const MACHINES: usize = 3;
/// The most machines of the core.
pub const MAX_CORES: usize = 5;
/// The most machines with proxies.
pub const MAX_PROXIES: usize = 60;
/// How many machines of the core the settings name.
const SEEDS: usize = 3;
/// The machines' zones.
const ZONES: [&str; MACHINES] = ["north", "middle", "south"];
/// The programs.
pub const PROGRAMS: [&str; 3] = ["proxy", "registry", "config-store"];
/// What builds them.
pub const BUILD: &str =
    "cargo build --release -p pinerelay-proxy -p pinerelay-registry -p pinerelay-config-store";

/// Ports of a machine, counted from the first: the programs' own, and what each serves.
const INTERNAL: u16 = 0;
const INTERNAL_LAST: u16 = 7;
const CONTROL: u16 = 8;
const PUBLIC: u16 = 9;
const READINESS: u16 = 10;
const SERVER: u16 = 11;
const PORTS: u16 = 12;
/// The last parts of the first addresses of their classes.
const FIRST_CORE: u8 = 1;
const FIRST_EDGE: u8 = 11;
const FIRST_SERVER: u8 = 101;
/// Where ports are looked for: below those that systems give to outgoing connections.
const FIRST_PORT: u16 = 18_000;
const BLOCKS: u16 = 1_000;

/// Why a site can't be set up.
#[derive(Debug, Error)]
pub enum SiteError {
    /// A program is not there.
    #[error("{0} is not there; this builds it: {BUILD} (without --release for a meadow built so)")]
    Missing(PathBuf),
    /// A file or folder can't be written, or a process not started.
    #[error("{0}: {1}")]
    Io(PathBuf, io::Error),
    /// No block of ports is free.
    #[error("no {PORTS} ports in a row are free on 127.0.1.x")]
    Ports,
}

/// A class of machines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// With a registry and a configuration store.
    Core,
    /// With a proxy.
    Edge,
}

/// A small gateway's machines.
pub struct Site {
    folder: PathBuf,
    programs: PathBuf,
    base: u16,
    cores: usize,
    proxies: usize,
}

/// One program on one machine. Dropped, it is killed.
pub struct Process {
    /// The machine and program, for the report.
    pub name: String,
    child: Child,
}

fn machine(class: Class, n: usize) -> Ipv4Addr {
    let first = if class == Class::Core { FIRST_CORE } else { FIRST_EDGE };
    Ipv4Addr::new(127, 0, 1, first + n as u8)
}

impl Site {
    /// Finds the programs in a folder, and free ports; makes a folder of its own.
    pub fn new(programs: PathBuf, cores: usize, proxies: usize) -> Result<Site, SiteError> {
        for name in PROGRAMS {
            let path = programs.join(name);
            if !path.is_file() {
                return Err(SiteError::Missing(path));
            }
        }
        let start = (std::process::id() % u32::from(BLOCKS)) as u16;
        let bases = (0..BLOCKS).map(|n| FIRST_PORT + (start + n) % BLOCKS * PORTS);
        let base = bases.into_iter().find(|&base| free(base, proxies)).ok_or(SiteError::Ports)?;
        let folder = std::env::temp_dir().join(format!("meadow-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| SiteError::Io(folder.clone(), e))?;
        Ok(Site { folder, programs, base, cores, proxies })
    }

    /// Where settings, data and logs are.
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    /// How many machines have a proxy.
    pub fn proxies(&self) -> usize {
        self.proxies
    }

    /// Where servers and the operator call.
    pub fn controls(&self) -> Vec<SocketAddrV4> {
        (0..self.cores).map(|n| SocketAddrV4::new(machine(Class::Core, n), self.base + CONTROL)).collect()
    }

    /// How many machines of the core may be lost at once.
    pub fn tolerated_losses(&self) -> usize {
        (self.cores - 1) / 2
    }

    fn data_folder(&self, n: usize) -> PathBuf {
        self.folder.join(format!("data-{n}"))
    }

    /// The disk of a core machine is lost.
    pub fn lose_disk(&self, n: usize) -> Result<(), SiteError> {
        let data = self.data_folder(n);
        fs::remove_dir_all(&data).map_err(|e| SiteError::Io(data, e))
    }

    /// Where clients connect to a proxy.
    pub fn public(&self, n: usize) -> SocketAddrV4 {
        SocketAddrV4::new(machine(Class::Edge, n), self.base + PUBLIC)
    }

    /// Where a proxy says whether it is ready.
    pub fn readiness(&self, n: usize) -> SocketAddrV4 {
        SocketAddrV4::new(machine(Class::Edge, n), self.base + READINESS)
    }

    /// Where the server of this number is, on a machine of its own.
    pub fn server(&self, n: usize) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, 0, 1, FIRST_SERVER + n as u8), self.base + SERVER)
    }

    /// The zone of the machine, or server, of this number.
    pub fn zone(n: usize) -> &'static str {
        ZONES[n % MACHINES]
    }

    /// The settings of a program.
    fn settings(&self, class: Class, n: usize, program: &str, first_start: bool) -> String {
        let ip = machine(class, n);
        let ms = |time: Duration| format!("\"{}ms\"", time.as_millis());
        let seeds: Vec<String> = self.controls().iter().take(SEEDS).map(|c| format!("\"{c}\"")).collect();
        let listen = match program {
            "proxy" => {
                format!("public_http = \"{}\"\nreadiness = \"{}\"\n", self.public(n), self.readiness(n))
            }
            "registry" => format!("control = \"{}\"\n", self.controls()[n]),
            _ => String::new(),
        };
        let mut text = format!(
            "node = \"{class:?}-{n}\"\nip = \"{ip}\"\nzone = \"{}\"\nfirst_start = {first_start}\n",
            Site::zone(n)
        );
        let _ = writeln!(text, "internal_ports = [{}, {}]", self.base + INTERNAL, self.base + INTERNAL_LAST);
        let _ = writeln!(text, "seed_nodes = [{}]\nheartbeat = {}", seeds.join(", "), ms(field::HEARTBEAT));
        if program == "config-store" {
            let _ = writeln!(text, "data_dir = {:?}", self.data_folder(n));
        }
        let zones: Vec<String> = ZONES.iter().map(|zone| format!("{zone} = \"here\"")).collect();
        let losses = self.tolerated_losses();
        let _ = write!(
            text,
            "[zones]\n{}\n[listen]\n{listen}[tolerate]\nmachines = {losses}\n",
            zones.join("\n")
        );
        let _ = write!(
            text,
            "[bounds]\ndrain_timeout = {}\napply = {}\ngrace_period = {}\n\
             quota_period = {}\nquota_overrun = {}\nquota_margin = {}\n",
            ms(field::DRAIN_TIMEOUT),
            ms(field::APPLY),
            ms(field::GRACE),
            ms(field::QUOTA_PERIOD),
            field::QUOTA_OVERRUN,
            field::QUOTA_MARGIN,
        );
        text
    }

    /// Starts a program on a machine.
    pub fn start(
        &self,
        class: Class,
        n: usize,
        program: &str,
        first_start: bool,
    ) -> Result<Process, SiteError> {
        let name = format!("{program}-{n}");
        let file = |kind: &str| self.folder.join(format!("{name}.{kind}"));
        let (settings, log) = (file("toml"), file("log"));
        fs::write(&settings, self.settings(class, n, program, first_start))
            .map_err(|e| SiteError::Io(settings.clone(), e))?;
        if program == "config-store" {
            let data = self.data_folder(n);
            fs::create_dir_all(&data).map_err(|e| SiteError::Io(data, e))?;
        }
        let mut logs = File::options();
        let logs = logs.create(true).append(true).open(&log).map_err(|e| SiteError::Io(log, e))?;
        let path = self.programs.join(program);
        let child = Command::new(&path)
            .arg("--settings")
            .arg(&settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(logs)
            .spawn()
            .map_err(|e| SiteError::Io(path, e))?;
        Ok(Process { name, child })
    }
}

/// Whether a block of ports is free on all addresses that are used.
fn free(base: u16, proxies: usize) -> bool {
    let cores = (0..MAX_CORES).map(|n| machine(Class::Core, n));
    let mut machines = cores.chain((0..proxies).map(|n| machine(Class::Edge, n)));
    machines.all(|ip| (base..base + PORTS).all(|port| TcpListener::bind(SocketAddrV4::new(ip, port)).is_ok()))
}

impl Process {
    /// Kills it at a stroke.
    pub fn kill(&mut self) {
        // One that has ended already is what is wanted.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether it has ended, and how.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills it, and does not wait until it has ended.
    pub fn strike(&mut self) {
        // One that has ended already is what is wanted.
        let _ = self.child.kill();
    }

    /// Sends a signal by its name (`TERM`), unless it has ended; comes back once it is sent.
    pub async fn signal(&mut self, name: &str) {
        // A process that was not waited for keeps its id, so no other one can get the signal.
        if self.ended().is_some() {
            return;
        }
        // Signals go through the shell's own kill: the standard library has SIGKILL alone.
        let text = format!("kill -{name} {}", self.child.id());
        let sender = Command::new("sh").args(["-c", &text]).spawn();
        if let Ok(mut sender) = sender {
            while sender.try_wait().is_ok_and(|status| status.is_none()) {
                sleep(Duration::from_millis(1)).await;
            }
        }
    }

    /// Tells it to end, by SIGTERM, and waits for that; killed and none if it takes longer than the grace period.
    pub async fn end(&mut self) -> Option<ExitStatus> {
        self.signal("TERM").await;
        let until = Instant::now() + field::GRACE;
        loop {
            if let Some(status) = self.ended() {
                return Some(status);
            }
            if Instant::now() >= until {
                self.kill();
                return None;
            }
            sleep(Duration::from_millis(20)).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
