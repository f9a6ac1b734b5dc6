//! Requests the metrics of a process, and optionally the items of a registry, on a short-lived connection.

use std::io;
use std::net::SocketAddrV4;

use bytes::BytesMut;
use pinerelay_config_state::anti_entropy::SyncPart;
use pinerelay_config_state::{Item, ItemSet};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::codec::{self, CodecError, Decoder, GREETING};
use crate::message::{Hello, Metric, PeerMessage, ProcessList, Role, RUNTIME_REALM};

/// Why a query failed.
#[derive(Debug, Error)]
pub enum QueryError {
    /// The connection could not be established, or failed.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// Malformed bytes arrived.
    #[error(transparent)]
    Malformed(#[from] CodecError),
    /// The process closed the connection without a complete answer, or exceeded [`Query::max_bytes`].
    #[error("no complete answer was received")]
    Unanswered,
    /// The timeout that a caller put around [`query`] expired; `query` itself has none and never returns this.
    #[error("no answer within the timeout")]
    TimedOut,
}

/// The answers of a process.
#[derive(Debug, Clone)]
pub struct ProcessReport {
    /// How the process identified itself.
    pub hello: Hello,
    /// Its metrics.
    pub metrics: Vec<Metric>,
    /// From a registry: the processes that it knows.
    pub process_list: Option<ProcessList>,
    /// From a registry, if requested: the items of servers and nodes.
    pub items: Vec<Item>,
    /// The number of bytes transferred in both directions.
    pub bytes: u64,
}

impl ProcessReport {
    /// The value of a metric.
    pub fn metric(&self, name: &str) -> Option<f64> {
        self.metrics.iter().find(|metric| metric.name == name).map(|metric| metric.value)
    }
}

/// The parameters of a query.
#[derive(Debug, Clone, Copy)]
pub struct Query {
    /// The program that is expected to listen on the address.
    pub role: Role,
    /// Whether to request the items of servers and nodes from a registry as well.
    pub with_servers: bool,
    /// The query fails once more bytes were transferred in both directions together.
    pub max_bytes: u64,
}

/// The answers that have arrived so far.
#[derive(Default)]
struct PartialReport {
    hello: Option<Hello>,
    process_list: Option<ProcessList>,
    items: ItemSet,
    /// The next request of anti-entropy; `None` once all items have arrived.
    next_request: Option<PeerMessage>,
}

impl PartialReport {
    /// Handles a message; returns the metrics, which are the last answer to each round of requests.
    fn receive(&mut self, message: PeerMessage) -> Option<Vec<Metric>> {
        match message {
            PeerMessage::Hello(hello) => self.hello = Some(hello),
            PeerMessage::ProcessList(list) => self.process_list = Some(list),
            PeerMessage::Sync { realm: RUNTIME_REALM, items, parts } => {
                let has_progressed = !self.items.merge_all(items).is_empty();
                let reply = PeerMessage::sync_reply(&self.items, RUNTIME_REALM, &parts);
                self.next_request = reply.filter(|_| has_progressed);
            }
            PeerMessage::Metrics(metrics) => return Some(metrics),
            _ => {}
        }
        None
    }
}

/// Queries the process at an address. `own` identifies the caller. Cancelling the future closes the connection.
///
/// # Errors
/// If the connection fails, or if the process does not answer all requests.
pub async fn query(address: SocketAddrV4, own: &Hello, query: Query) -> Result<ProcessReport, QueryError> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let requests = encode_requests(own, query);
    stream.write_all(&requests).await?;
    let (mut decoder, mut bytes) = (Decoder::default(), requests.len() as u64);
    let mut report = PartialReport::default();
    loop {
        let received = stream.read_buf(decoder.read_buffer()).await? as u64;
        bytes += received;
        if received == 0 || bytes > query.max_bytes {
            return Err(QueryError::Unanswered);
        }
        while let Some(message) = decoder.next_message()? {
            let Some(metrics) = report.receive(message) else { continue };
            let Some(next) = report.next_request.take() else {
                let hello = report.hello.ok_or(QueryError::Unanswered)?;
                let items = report.items.iter().cloned().collect();
                return Ok(ProcessReport { hello, metrics, process_list: report.process_list, items, bytes });
            };
            let requests = [codec::encode(&next), codec::encode(&PeerMessage::MetricsRequest)].concat();
            bytes += requests.len() as u64;
            stream.write_all(&requests).await?;
        }
    }
}

/// The greeting and the first requests.
fn encode_requests(own: &Hello, query: Query) -> BytesMut {
    let mut messages = vec![PeerMessage::Hello(own.clone())];
    if query.role == Role::Registry {
        if query.with_servers {
            let parts = vec![SyncPart::request_all()];
            messages.push(PeerMessage::Sync { realm: RUNTIME_REALM, items: Vec::new(), parts });
        }
        messages.push(PeerMessage::ProcessListRequest);
    }
    messages.push(PeerMessage::MetricsRequest);
    let mut requests = BytesMut::from(&GREETING[..]);
    messages.iter().for_each(|message| requests.extend_from_slice(&codec::encode(message)));
    requests
}
