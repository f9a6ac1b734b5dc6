//! A proxy's process on loopback, with a registry that tells it one route to one server.

use std::io::{Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode};
use std::thread;
use std::time::{Duration, Instant};

use pinerelay_config_state::server::{Server, ServerState};
use pinerelay_config_state::{operator_call, Item, ItemSet};
use pinerelay_peer_link::codec::{self, Decoder, GREETING};
use pinerelay_peer_link::message::{Hello, PeerMessage, RegistryStatus, Role, LEASE_DURATION};

/// The variable that makes this program a proxy.
pub const AS_PROXY: &str = "PINERELAY_FUZZ_AS_PROXY";

/// Runs as a proxy, by the command line.
pub fn serve() -> ExitCode {
    pinerelay_node_runtime::command::run_program("proxy", "is played with", pinerelay_proxy::run::run)
}

/// One route that is public and one with a key, to one service; short waits, so that what is not whole ends soon.
const CONFIG: &str = r#"{"upsert":{"routes":{"column_names":["name","revision","host","path_prefix","route_type","timeout","target","retries","public","service"],"records":[
    ["open",1,"a.example","/open/","unsafe","150ms","100ms",1,true,"s1"],
    ["keyed",1,"a.example","/keyed/","safe","150ms","100ms",1,false,"s1"]]},
    "tenants":{"column_names":["name","revision","api_keys"],"records":[["t1",1,["key"]]]},
    "services":{"column_names":["name","revision"],"records":[["s1",1]]},
    "limits":{"max_header_bytes":16384,"max_body_bytes":200000,"header_timeout":"60ms","idle_timeout":"60ms","revision":1}}}"#;

/// How long a proxy may take to be ready.
const READY: Duration = Duration::from_secs(20);

/// A proxy that runs.
pub struct Proxy {
    process: Child,
    folder: PathBuf,
    /// Where it takes clients.
    pub public: SocketAddr,
}

/// The address of all parts: another in each process, so that no other's plays take its ports.
pub fn machine() -> [u8; 4] {
    let [.., high, low] = std::process::id().to_be_bytes();
    [127, 128 | high, low, 1]
}

/// The first of so many ports in a row that are free, below those that outgoing connections are given.
fn ports(count: u16) -> u16 {
    let free = |port: u16| TcpListener::bind(SocketAddr::from((machine(), port))).is_ok();
    let firsts = (10_000..30_000).step_by(usize::from(count));
    firsts.into_iter().find(|first| (*first..*first + count).all(free)).unwrap_or(10_000)
}

impl Proxy {
    /// A proxy that is ready, with a server at this address.
    pub fn start(program: &Path, server: SocketAddrV4) -> std::io::Result<Proxy> {
        let first = ports(5);
        let at = |n: u16| SocketAddrV4::new(machine().into(), first + n);
        let registry = TcpListener::bind(at(0))?;
        let items = items(server);
        thread::spawn(move || {
            for stream in registry.incoming().flatten() {
                let items = items.clone();
                thread::spawn(move || tell(stream, &items));
            }
        });
        let folder = std::env::temp_dir().join(format!("pinerelay-fuzz-proxy-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        let file = folder.join("settings.toml");
        let settings = format!(
            "node = \"edge-1\"\nip = \"{0}\"\nzone = \"z\"\ninternal_ports = [{first},{1}]\n\
             seed_nodes = [\"{0}:1\"]\n[listen]\npublic_http = \"{2}\"\nreadiness = \"{3}\"\n\
             [limits]\nmemory_mb = 128\n",
            at(0).ip(),
            first + 4,
            at(3),
            at(4)
        );
        std::fs::write(&file, settings)?;
        let process = Command::new(program)
            .env(AS_PROXY, "1")
            .args(["--log=error", "--settings"])
            .arg(&file)
            .spawn()?;
        let mut proxy = Proxy { process, folder, public: at(3).into() };
        let begun = Instant::now();
        while !ready(at(4)) {
            if begun.elapsed() > READY || proxy.ended().is_some() {
                return Err(std::io::Error::other("the proxy did not become ready"));
            }
            thread::yield_now();
        }
        Ok(proxy)
    }

    /// How it ended, if it did.
    pub fn ended(&mut self) -> Option<String> {
        self.process.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn ready(at: SocketAddrV4) -> bool {
    let Ok(mut stream) = TcpStream::connect(at) else { return false };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let mut answer = [0; 12];
    let asked = stream.write_all(b"GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    asked.is_ok() && stream.read_exact(&mut answer).is_ok() && answer.ends_with(b"200")
}

fn items(address: SocketAddrV4) -> Vec<Item> {
    let mut items = operator_call::parse_update(CONFIG.as_bytes()).unwrap_or_default();
    let server = Server {
        service: "s1".into(),
        address,
        zone: "z".into(),
        revision: "v1".into(),
        capacity: 100,
        state: ServerState::Ready,
        warmup_ms: 0,
    };
    items.push(server.to_item("i-0", 1));
    items
}

/// Plays a registry on one connection.
fn tell(mut stream: TcpStream, items: &[Item]) {
    let ip = std::net::Ipv4Addr::from(machine()).to_string();
    let hello = Hello { node: "core-1".into(), ip: ip.clone(), role: Role::Registry, process_id: 1 };
    let standing = RegistryStatus {
        registries: vec![ip.clone()],
        voters: vec![ip],
        epoch: 1,
        epoch_settled: true,
        proxies: 1,
        has_majority: true,
        is_complete: true,
        is_current: true,
    };
    let mut cells = ItemSet::default();
    cells.merge_all(items.iter().filter(|item| item.key.kind.is_config()).cloned());
    let mut out = GREETING.to_vec();
    for speech in [
        PeerMessage::Hello(hello),
        PeerMessage::Update(items.to_vec()),
        PeerMessage::RegistryStatus(standing),
        PeerMessage::Digests([cells.digest(), 0]),
    ] {
        out.extend_from_slice(&codec::encode(&speech));
    }
    // Says something now and then, for as long as the proxy does, and that what it told is current.
    let (mut come, mut buffer) = (Decoder::default(), [0_u8; 4096]);
    while stream.write_all(&out).is_ok() {
        let Ok(some @ 1..) = stream.read(&mut buffer) else { return };
        come.read_buffer().extend_from_slice(&buffer[..some]);
        out = codec::encode(&PeerMessage::KeepAlive).to_vec();
        while let Ok(Some(heard)) = come.next_message() {
            if let PeerMessage::ConfirmCurrent(asked) = heard {
                let digest = cells.digest();
                let confirmed =
                    PeerMessage::Current { asked_at: asked, epoch: 1, digest, lease_left: LEASE_DURATION };
                out.extend_from_slice(&codec::encode(&confirmed));
            }
        }
    }
}
