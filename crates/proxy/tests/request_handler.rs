//! Requests that the handler rejects are not forwarded, in whole or in part, and a change of the routing table does not affect a
//! request whose head was already received.
//!
//! The handler serves loopback connections in this process, so that a test controls the routing table, admission and the memory
//! limit.

mod harness;
mod recorder;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use googletest::prelude::*;
use pinerelay_admission::lease_cache::{Admission, RequestId};
use pinerelay_admission::quota::Quota;
use pinerelay_admission::retry_budget::{RetryBounds, RetryBudget};
use pinerelay_config_state::routing_table::RoutingTable;
use pinerelay_config_state::server::Server;
use pinerelay_config_state::{operator_call, ItemSet};
use pinerelay_proxy::request_handler::{Admitter, RequestHandler};
use pinerelay_proxy::server_pool::ServerPool;
use pinerelay_proxy::services::Services;
use pinerelay_traffic::acceptor::Acceptor;
use pinerelay_traffic::body_memory::BodyMemoryPool;
use pinerelay_traffic::budget::Budget;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::listen::Gate;
use pinerelay_traffic::watchdog::Watchdog;
use pinerelay_traffic::Common;
use recorder::{header, Recorder, ResponseTiming};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const HEAD: &str = "Host: a.example\r\nX-Deadline-Ms: 3000\r\nX-Credential: key\r\n";
/// The declared length of a body that is too long to be buffered.
const LONG_BODY_LENGTH: usize = 200_000;
/// How long a test waits for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
const MEMORY_MB: usize = 64;

/// Returns the same admission for all requests.
struct FixedAdmitter(Cell<Admission>);

impl Admitter for FixedAdmitter {
    fn admit(&self, _: &str, _: Quota, _: RequestId) -> Admission {
        self.0.get()
    }

    fn cancel(&self, _: &str, _: RequestId) {}
}

/// A request handler behind a listener.
struct Proxy {
    address: SocketAddr,
    handler: Rc<RequestHandler>,
    admitter: Rc<FixedAdmitter>,
    _gate: Rc<Gate>,
}

/// A routing table with one route, to this service, and one tenant, which owns the key.
fn table(service: &str, tenant: &str) -> Arc<RoutingTable> {
    let call = format!(
        r#"{{"upsert":{{
            "services":{{"column_names":["name","revision"],"records":[["{service}",1]]}},
            "routes":{{"column_names":["name","host","path_prefix","route_type","timeout","retries","service","revision"],
                "records":[["r","a.example","/","unsafe","4s",2,"{service}",1]]}},
            "tenants":{{"column_names":["name","api_keys","revision"],"records":[["{tenant}",["key"],1]]}}}}}}"#
    );
    let mut items = ItemSet::default();
    items.merge_all(operator_call::parse_update(call.as_bytes()).expect("a configuration"));
    Arc::new(RoutingTable::from_items(&items))
}

fn server_of(service: &str, recorder: &Recorder) -> Server {
    let SocketAddr::V4(address) = recorder.address else { panic!("a loopback address") };
    Server { service: service.into(), ..harness::server(address) }
}

impl Proxy {
    /// Starts a proxy with a route to the service `first`; the servers of `first` and `second` are known.
    async fn start(memory_mb: usize, first: &Recorder, second: &Recorder) -> Proxy {
        let room = BodyMemoryPool::for_process(memory_mb);
        let common = Common {
            budget: Budget::new(1_000, 10, 0.5),
            body_memory: room.clone(),
            watchdog: Watchdog::new(),
        };
        let clock = Rc::new(Clock::new());
        let servers = ServerPool::new(common.clone(), RetryBudget::new(RetryBounds::default()));
        let services = Services::new(clock.clone(), servers.clone(), "z", 1);
        services.set_position(0, 1);
        services.server_changed("i-1", Some(&server_of("first", first)));
        services.server_changed("i-2", Some(&server_of("second", second)));
        let admitter = Rc::new(FixedAdmitter(Cell::new(Admission::Admitted)));
        let weak: Weak<dyn Admitter> = Rc::downgrade(&(admitter.clone() as Rc<dyn Admitter>));
        let handler = RequestHandler::new(clock, services, servers, room, weak, 1);
        handler.set_routing_table(table("first", "t1"));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let front = Acceptor::new(handler.clone(), common);
        let gate = Rc::new(Gate::default());
        tokio::task::spawn_local(front.accept(listener, gate.clone(), false));
        gate.open();
        Proxy { address, handler, admitter, _gate: gate }
    }

    /// Opens a connection and sends these bytes.
    async fn send(&self, bytes: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.expect("a connection");
        stream.write_all(bytes.as_bytes()).await.expect("written");
        stream
    }
}

/// The status of the next response; `None` if the connection is closed, or nothing is received in time.
async fn status(stream: &mut TcpStream, max_wait: Duration) -> Option<u16> {
    let mut buffer = [0_u8; 4096];
    let read = timeout(max_wait, stream.read(&mut buffer)).await.ok()?.ok()?;
    let text = String::from_utf8_lossy(&buffer[..read]);
    text.split(' ').nth(1)?.parse().ok()
}

fn head(id: &str, length: usize) -> String {
    format!("POST /x HTTP/1.1\r\n{HEAD}X-Request-Id: {id}\r\nContent-Length: {length}\r\n\r\n")
}

/// A body of this length that ends with the bytes of a request.
fn body_with_hidden_request(length: usize) -> String {
    let hidden = head("hidden", 0);
    format!("{}{hidden}", "x".repeat(length - hidden.len()))
}

fn ok_server() -> Recorder {
    Recorder::new(|head| {
        (
            ResponseTiming::AfterRequest,
            harness::answer(header(head, "x-request-id").unwrap_or_default(), "hello"),
        )
    })
}

/// All bytes that a server has received.
fn received(server: &Recorder) -> String {
    server.connections().concat()
}

fn run_local(test: impl AsyncFnOnce()) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test());
}

#[gtest]
fn a_request_keeps_the_routing_table_that_was_active_at_its_head() {
    run_local(async || {
        let (first, second) = (ok_server(), ok_server());
        let proxy = Proxy::start(MEMORY_MB, &first, &second).await;
        for body in ["b".repeat(9_000), "b".repeat(LONG_BODY_LENGTH)] {
            proxy.handler.set_routing_table(table("first", "t1"));
            let (begun, rest) = body.split_at(body.len() / 2);
            let mut stream = proxy.send(&(head("r1", body.len()) + begun)).await;
            // The response to another request shows that the earlier head was read.
            let mut other = proxy.send(&head("other", 0)).await;
            expect_that!(status(&mut other, RESPONSE_TIMEOUT).await, some(eq(200)));
            let before = received(&second);
            proxy.handler.set_routing_table(table("second", "t2"));
            stream.write_all(rest.as_bytes()).await.expect("written");
            expect_that!(status(&mut stream, RESPONSE_TIMEOUT).await, some(eq(200)));
            expect_that!(received(&second), eq(&before), "the service of the later table");
            let sent = received(&first).to_lowercase();
            expect_that!(sent, contains_substring("x-request-id: r1\r\n"));
            expect_that!(sent, not(contains_substring("x-tenant: t2")));
            let mut later = proxy.send(&head("later", 0)).await;
            expect_that!(status(&mut later, RESPONSE_TIMEOUT).await, some(eq(200)));
            expect_that!(received(&second).to_lowercase(), contains_substring("x-tenant: t2\r\n"));
        }
    });
}

#[gtest]
fn a_request_over_quota_is_not_forwarded() {
    run_local(async || {
        let (first, second) = (ok_server(), ok_server());
        let proxy = Proxy::start(MEMORY_MB, &first, &second).await;
        for admission in [Admission::Rejected, Admission::Deferred(500_000)] {
            for length in [9_000, LONG_BODY_LENGTH] {
                proxy.admitter.0.set(admission);
                let body = body_with_hidden_request(length);
                // For a long body, 429 is sent before the body was received.
                let first_part = if length == LONG_BODY_LENGTH { 100 } else { length };
                let mut stream = proxy.send(&(head("r1", length) + &body[..first_part])).await;
                expect_that!(status(&mut stream, RESPONSE_TIMEOUT).await, some(eq(429)), "{length} bytes");
                stream.write_all(&body.as_bytes()[first_part..]).await.expect("written");
                proxy.admitter.0.set(Admission::Admitted);
                // The connection carries the next request, or is closed.
                let _ = stream.write_all(head("behind", 0).as_bytes()).await;
                expect_that!(status(&mut stream, RESPONSE_TIMEOUT).await, any!(none(), some(eq(200))));
                let sent = received(&first);
                expect_that!(sent, not(contains_substring("r1")));
                expect_that!(sent, not(contains_substring("hidden")));
            }
        }
    });
}

#[gtest]
fn a_long_body_without_memory_is_not_forwarded() {
    const LITTLE_MEMORY_MB: usize = 2;
    const MAX_BODIES: usize = 100;
    run_local(async || {
        let (first, second) = (ok_server(), ok_server());
        let proxy = Proxy::start(LITTLE_MEMORY_MB, &first, &second).await;
        // Requests whose long bodies are never sent occupy the memory.
        let mut open = Vec::new();
        let mut rejected = None;
        while rejected.is_none() && open.len() < MAX_BODIES {
            let id = format!("open-{}", open.len());
            let mut stream = proxy.send(&head(&id, LONG_BODY_LENGTH)).await;
            match status(&mut stream, Duration::from_millis(20)).await {
                Some(status) => rejected = Some((stream, id, status)),
                None => open.push(stream),
            }
        }
        let (mut stream, id, rejection_status) = rejected.expect("one request is rejected");
        expect_that!(rejection_status, eq(503));
        expect_that!(open.len(), gt(5));
        let body = body_with_hidden_request(LONG_BODY_LENGTH) + &head("behind", 0);
        let _ = stream.write_all(body.as_bytes()).await;
        expect_that!(status(&mut stream, RESPONSE_TIMEOUT).await, any!(none(), some(eq(200))));
        let sent = received(&first);
        let rejected_id_line = format!("x-request-id: {id}\r\n");
        expect_that!(sent.to_lowercase(), not(contains_substring(rejected_id_line)));
        expect_that!(sent, not(contains_substring("hidden")));
        // The memory is released once the proxy has detected that the other clients disconnected.
        drop(open);
        let served = async {
            loop {
                let mut after =
                    proxy.send(&(head("after", LONG_BODY_LENGTH) + &"b".repeat(LONG_BODY_LENGTH))).await;
                if status(&mut after, RESPONSE_TIMEOUT).await == Some(200) {
                    return;
                }
            }
        };
        expect_that!(timeout(RESPONSE_TIMEOUT, served).await, ok(anything()));
    });
}
