//! Client for the control addresses of registries.

use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use pinerelay_config_state::{json, operator_call, ItemSet, ValidationError};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout of one exchange. A registry answers each call within a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The maximum length of an answer, in bytes.
const MAX_ANSWER_LENGTH: usize = 64 << 20;
/// The number of times that each address is tried.
const ROUNDS: usize = 2;

/// A definite answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The address that answered.
    pub from: SocketAddrV4,
    /// The HTTP status: 2xx, or 4xx except 408 and 429.
    pub status: u16,
    /// The response body.
    pub body: String,
}

/// Why a call has failed.
#[derive(Debug, Error)]
pub enum ControlError {
    /// No address gave a definite answer; the reason for each address in the last round.
    #[error("no definite answer: {}", .0.join("; "))]
    Indefinite(Vec<String>),
    /// The call was rejected.
    #[error("{from}: rejected with {status}: {body}")]
    Rejected {
        /// The address that rejected it.
        from: SocketAddrV4,
        /// The HTTP status.
        status: u16,
        /// The response body, which gives the reason.
        body: String,
    },
    /// The configuration in the answer cannot be parsed.
    #[error("{from}: the configuration cannot be parsed: {error}")]
    Unreadable {
        /// The address that answered.
        from: SocketAddrV4,
        /// The parse error.
        error: ValidationError,
    },
}

/// Why an exchange with one address has failed.
#[derive(Debug, Error)]
enum ExchangeError {
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error(transparent)]
    Http(#[from] hyper::Error),
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    #[error("the answer is malformed or too long: {0}")]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// Sends a call to one address.
async fn exchange(
    address: SocketAddrV4,
    method: &str,
    body: Bytes,
) -> Result<Response<Bytes>, ExchangeError> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(format!("/-/rpc?call={method}"))
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))?;
    let answer = async {
        let (head, body) = sender.send_request(request).await?.into_parts();
        let body = Limited::new(body, MAX_ANSWER_LENGTH).collect().await.map_err(ExchangeError::Body)?;
        Ok(Response::from_parts(head, body.to_bytes()))
    };
    tokio::pin!(connection);
    tokio::pin!(answer);
    let mut is_open = true;
    loop {
        tokio::select! {
            biased;
            answer = &mut answer => return answer,
            // The sender reports connection errors, too.
            _ = &mut connection, if is_open => is_open = false,
        }
    }
}

/// Whether a status means that the call was accepted, or that a retry would be rejected as well.
fn is_definite(status: u16) -> bool {
    matches!(status, 200..=299 | 400..=499) && !matches!(status, 408 | 429)
}

/// Sends a call unchanged to one address after the other until an answer is definite.
///
/// A call without a definite answer may still have taken effect and is sent again, so calls must be idempotent.
///
/// # Errors
/// If no address has given a definite answer.
pub async fn call(addresses: &[SocketAddrV4], method: &str, body: &Bytes) -> Result<Answer, ControlError> {
    let mut failures = Vec::new();
    for &from in addresses.iter().cycle().take(addresses.len() * ROUNDS) {
        let reason = match timeout(CALL_TIMEOUT, exchange(from, method, body.clone())).await {
            Err(_) => "no answer in time".into(),
            Ok(Err(error)) => error.to_string(),
            Ok(Ok(response)) => {
                let status = response.status().as_u16();
                let body = String::from_utf8_lossy(response.body()).into_owned();
                if is_definite(status) {
                    return Ok(Answer { from, status, body });
                }
                format!("{status}: {body}")
            }
        };
        failures.push(format!("{from}: {reason}"));
    }
    let last_round = failures.split_off(failures.len().saturating_sub(addresses.len()));
    Err(ControlError::Indefinite(last_round))
}

/// Reads the current configuration as text.
///
/// # Errors
/// If no address has given a definite answer, or the call was rejected.
pub async fn read(addresses: &[SocketAddrV4]) -> Result<Answer, ControlError> {
    let answer = call(addresses, "config.read", &Bytes::new()).await?;
    match answer.status {
        200..=299 => Ok(answer),
        status => Err(ControlError::Rejected { from: answer.from, status, body: answer.body }),
    }
}

/// Reads the items of the current configuration. Tombstones of removed items are not included, because no call returns them.
///
/// # Errors
/// As for [`read`], or if the answer cannot be parsed.
pub async fn read_items(addresses: &[SocketAddrV4]) -> Result<ItemSet, ControlError> {
    let answer = read(addresses).await?;
    parse_configuration(&answer.body).map_err(|error| ControlError::Unreadable { from: answer.from, error })
}

/// Parses the answer to `config.read`.
///
/// # Errors
/// If the text is not a valid configuration; the error names the location.
pub fn parse_configuration(text: &str) -> Result<ItemSet, ValidationError> {
    let mut items = ItemSet::default();
    let call = format!("{{\"upsert\":{text}}}");
    items.merge_all(operator_call::parse_update_within(call.as_bytes(), &json::STORED)?);
    Ok(items)
}
