//! A node under test: its process, its files and the operators' calls to it.

use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use serde_json::Value;

use super::log::NodeLog;
use super::{read_message, Client, TIMEOUT};

/// The end of the answer to an operator's call that the disk keeps waiting.
pub const DISK_STALLED: &str = "the disk stands still";
/// How long the node waits for the disk before it gives that answer.
pub const MIN_DISK_WAIT: Duration = Duration::from_millis(700);

pub struct Edge {
    pub address: SocketAddr,
    /// Address for operators' calls, if any.
    pub ops: Option<SocketAddr>,
    child: Child,
    path: PathBuf,
    log: NodeLog,
}

/// A path that no other running test uses. It is in a folder of this package's build: the temporary folder of the system
/// may be cleared while the test runs.
pub fn temp_path(ending: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("pinerelay-{}-{number}{ending}", std::process::id()))
}

/// A folder that is removed after the test.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new() -> Folder {
        loop {
            let path = temp_path(".d");
            match std::fs::create_dir(&path) {
                Ok(()) => return Folder(path),
                // Left behind by a killed test of an earlier process with this number.
                Err(error) if error.kind() == ErrorKind::AlreadyExists => {}
                Err(error) => panic!("{}: {error}", path.display()),
            }
        }
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Polls until the condition holds, for changes that the node makes later without any other sign.
pub fn until(what: &str, holds: impl Fn() -> bool) {
    until_within(what, TIMEOUT, holds);
}

/// The same with a time limit of its own.
pub fn until_within(what: &str, limit: Duration, holds: impl Fn() -> bool) {
    let begun = Instant::now();
    while !holds() {
        assert!(begun.elapsed() < limit, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn launch(config: &str, operator: Option<&Path>) -> (Child, PathBuf) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_pinerelay"));
    if let Some(file) = operator {
        command.env("PINERELAY_OPERATOR", file);
    }
    launch_as(command, config)
}

fn launch_as(mut command: Command, config: &str) -> (Child, PathBuf) {
    let path = temp_path(".json");
    std::fs::write(&path, config).expect("a file");
    command.env("PROXY_CONFIG", &path).stderr(Stdio::piped());
    (command.spawn().expect("the node starts"), path)
}

/// Starts a node that is expected to fail; returns its exit status and log.
pub fn failed_start(config: &str) -> (ExitStatus, String) {
    let (child, path) = launch(config, None);
    let out = child.wait_with_output().expect("an end");
    std::fs::remove_file(path).expect("the file");
    (out.status, String::from_utf8(out.stderr).expect("text"))
}

impl Edge {
    pub fn new(config: &Value) -> Edge {
        Edge::with(config, None)
    }

    /// A node with an operator's file.
    pub fn with(config: &Value, operator: Option<&Path>) -> Edge {
        Edge::started(launch(&config.to_string(), operator))
    }

    /// A node with an address for operators, which shares this folder with its previous and next processes.
    pub fn with_operators(config: &Value, folder: &Path) -> Edge {
        let mut command = Command::new(env!("CARGO_BIN_EXE_pinerelay"));
        command.env("PROXY_OPS", "127.0.0.1:0").env("TMPDIR", folder);
        Edge::started(launch_as(command, &config.to_string())).with_ops()
    }

    /// The same, with this listening socket as its descriptor 5.
    pub fn inheriting(config: &Value, folder: &Path, listener: &TcpListener) -> Edge {
        let mut command = Command::new("sh");
        command.args(["-c", "exec \"$0\" 5<&0 </dev/null", env!("CARGO_BIN_EXE_pinerelay")]);
        let held = std::os::fd::OwnedFd::from(listener.try_clone().expect("a clone"));
        command.stdin(Stdio::from(held));
        command.env("PROXY_FD", "5").env("PROXY_OPS", "127.0.0.1:0").env("TMPDIR", folder);
        Edge::started(launch_as(command, &config.to_string())).with_ops()
    }

    fn started((mut child, path): (Child, PathBuf)) -> Edge {
        let mut log = NodeLog::read(child.stderr.take().expect("a log"));
        let address = address_in(&mut log, "pinerelay: listening on ");
        Edge { address, ops: None, child, path, log }
    }

    fn with_ops(mut self) -> Edge {
        self.ops = Some(address_in(&mut self.log, "pinerelay: operators call at "));
        self
    }

    /// One call at the operators' address: its status and body.
    pub fn call(&self, method: &str, path: &str, body: &str) -> (u16, String) {
        self.try_call(method, path, body).expect("an answer")
    }

    /// Excludes an app server, as [`Edge::confirm`].
    pub fn exclude(&self, name: &str) -> usize {
        self.confirm("/api/exclude", name, "out here, but the next process does not know of it yet")
    }

    /// Includes an app server, as [`Edge::confirm`].
    pub fn include(&self, name: &str) -> usize {
        self.confirm("/api/include", name, "call again, it may stay out")
    }

    /// Calls until the answer is 200, as operators have to: a call that the disk keeps waiting is answered 500 and is to be
    /// repeated. Any other answer, and this one ahead of its time, fails the test. Returns the number of calls.
    fn confirm(&self, path: &str, name: &str, stalled: &str) -> usize {
        let begun = Instant::now();
        for calls in 1.. {
            let called = Instant::now();
            let (status, body) = self.call("POST", path, name);
            if status == 200 {
                return calls;
            }
            let stalled = format!("{stalled}: {DISK_STALLED}\n");
            assert_eq!((status, &body), (500, &stalled), "{path} {name:?}");
            assert!(called.elapsed() >= MIN_DISK_WAIT, "{path} {name:?}: {:?}: {body}", called.elapsed());
            assert!(begun.elapsed() < TIMEOUT, "never: {path} {name:?} answered 200");
        }
        unreachable!("the loop has no end")
    }

    /// Whether the log contains this text by now.
    pub fn has_logged(&self, text: &str) -> bool {
        self.log.contains(text)
    }

    /// None if the node ends meanwhile.
    pub fn try_call(&self, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
        let mut stream = TcpStream::connect(self.ops.expect("an operators' address")).ok()?;
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        let length = body.len();
        let text = format!("{method} {path} HTTP/1.1\r\nHost: ops\r\nContent-Length: {length}\r\n\r\n{body}");
        stream.write_all(text.as_bytes()).ok()?;
        let answer = read_message(&mut BufReader::new(stream))?;
        Some((answer.status(), String::from_utf8(answer.body).expect("text")))
    }

    /// The value of a metric, by its name and labels.
    pub fn metric(&self, name: &str) -> f64 {
        let (status, text) = self.call("GET", "/api/telemetry", "");
        assert_eq!(status, 200);
        let line =
            text.lines().find_map(|l| l.strip_prefix("edge_proxy_")?.strip_prefix(name)?.strip_prefix(' '));
        line.unwrap_or_else(|| panic!("no {name} in\n{text}")).parse().expect("a number")
    }

    pub fn client(&self) -> Client {
        let stream = TcpStream::connect(self.address).expect("the node accepts");
        stream.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        Client { reader: BufReader::new(stream.try_clone().expect("a clone")), stream }
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, config: &str) {
        let next = self.path.with_extension("next");
        std::fs::write(&next, config).and_then(|()| std::fs::rename(&next, &self.path)).expect("a file");
        self.signal("HUP");
    }

    /// The next line of the log.
    pub fn next_log_line(&mut self) -> String {
        self.log.next_line()
    }

    pub fn terminate(&self) {
        self.signal("TERM");
    }

    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    }

    /// The configuration file that it has been started with.
    pub fn config_file(&self) -> &Path {
        &self.path
    }

    /// How many descriptors it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// Its peak resident memory, in KiB.
    pub fn memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).expect("a process");
        let most = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        most.and_then(|most| most.trim().strip_suffix(" kB")?.parse().ok()).expect("a figure")
    }

    /// Waits for the node to exit; returns its status and the rest of its log.
    pub fn end(mut self) -> (ExitStatus, String) {
        let rest = self.log.rest();
        (self.child.wait().expect("an end"), rest)
    }

    /// Waits for the node to exit, which it has to do with success.
    pub fn end_in_success(mut self) {
        self.log.rest();
        let status = self.child.wait().expect("an end");
        assert!(status.success(), "{status}");
    }
}

impl Drop for Edge {
    /// Kills the node and removes its configuration; if the test is failing, prints its log.
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.path);
        if std::thread::panicking() {
            self.log.rest();
            eprintln!("log of the node at {} (process {}):\n{}", self.address, self.child.id(), self.log);
        }
    }
}

/// The address at the end of the first log line with this prefix.
fn address_in(log: &mut NodeLog, begin: &str) -> SocketAddr {
    let mut line = log.next_line();
    while !line.starts_with(begin) {
        line = log.next_line();
    }
    line.trim_end().rsplit(' ').next().expect("an address").parse().expect("an address")
}
