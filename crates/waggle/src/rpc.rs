//! The calls to the control addresses.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request};
use hyper_util::rt::TokioIo;
use pinerelay_config_state::{json, operator_call, ItemSet, ValidationError};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A registry answers each call within a second.
const PATIENCE: Duration = Duration::from_millis(2_000);
/// No answer is longer, in bytes.
const MOST: usize = 64 << 20;
/// So often all addresses are tried.
const ROUNDS: usize = 2;

/// An answer that is clear.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Who gave it.
    pub from: SocketAddrV4,
    /// Its status: 2xx or 4xx.
    pub status: u16,
    /// Its body.
    pub body: String,
}

/// Why a call has not done what was wanted.
#[derive(Debug, Error)]
pub enum RpcError {
    /// No address gave a clear answer; the last words of each try.
    #[error("no clear answer: {}", .0.join("; "))]
    Unclear(Vec<String>),
    /// The call was refused.
    #[error("{0}: refused with {1}: {2}")]
    Refused(SocketAddrV4, u16, String),
    /// The configuration that came can't be read.
    #[error("{0}: what stands can't be read: {1}")]
    Unread(SocketAddrV4, ValidationError),
}

async fn once(
    at: SocketAddrV4,
    what: &str,
    body: Bytes,
) -> Result<(u16, Bytes), Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(at).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("/-/rpc?call={what}"))
        .header(HOST, at.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MOST).collect().await?.to_bytes();
        Ok((status, body))
    };
    tokio::pin!(connection);
    tokio::pin!(exchange);
    let mut open = true;
    loop {
        tokio::select! {
            biased;
            answered = &mut exchange => return answered,
            // What breaks there is told to the exchange as well.
            _ = &mut connection, if open => open = false,
        }
    }
}

/// Makes a call, unchanged at one address after the other until an answer is clear. Danger: a call without a clear answer
/// may be in force all the same; only one that has no further effect when it comes twice may go here.
pub async fn call(at: &[SocketAddrV4], what: &str, body: &Bytes) -> Result<Answer, RpcError> {
    let mut unclear = Vec::new();
    for &from in at.iter().cycle().take(at.len() * ROUNDS) {
        let why = match timeout(PATIENCE, once(from, what, body.clone())).await {
            Err(_) => "no answer in time".into(),
            Ok(Err(error)) => error.to_string(),
            Ok(Ok((status, body))) => {
                let body = String::from_utf8_lossy(&body).into_owned();
                if matches!(status, 200..=299 | 400..=499) && !matches!(status, 408 | 429) {
                    return Ok(Answer { from, status, body });
                }
                format!("{status}: {body}")
            }
        };
        unclear.push(format!("{from}: {why}"));
    }
    // The last round tells.
    Err(RpcError::Unclear(unclear.split_off(unclear.len().saturating_sub(at.len()))))
}

/// The configuration that stands, as its text.
pub async fn read(at: &[SocketAddrV4]) -> Result<Answer, RpcError> {
    let answer = call(at, "config.read", &Bytes::new()).await?;
    match answer.status {
        200..=299 => Ok(answer),
        status => Err(RpcError::Refused(answer.from, status, answer.body)),
    }
}

/// The configuration that stands, as items. What was dropped is not among them: no call tells of it.
pub async fn standing(at: &[SocketAddrV4]) -> Result<ItemSet, RpcError> {
    let answer = read(at).await?;
    parse(&answer.body).map_err(|unfit| RpcError::Unread(answer.from, unfit))
}

/// Items of the text that `config.read` answers.
pub fn parse(text: &str) -> Result<ItemSet, ValidationError> {
    let mut cells = ItemSet::default();
    let call = format!("{{\"upsert\":{text}}}");
    cells.merge_all(operator_call::parse_update_within(call.as_bytes(), &json::STORED)?);
    Ok(cells)
}
