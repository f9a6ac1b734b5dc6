//! Serves clients: validates requests, passes them to the node, writes the answers, and answers `/up`.

pub mod listen;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request;
use hyper::{Method, Request, Response, StatusCode, Uri};
use mountbend::interface::{Micros, NewRequest, Reason};
use pinerelay_protocol::request::{Malformed, Rules, BODY_MOST, CLASS, IDEMPOTENCY_KEY, REQUEST_ID};
use pinerelay_traffic::acceptor::{mark_last_answer, Handler};
use pinerelay_traffic::raw_head::RawHead;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::net::body::BadBody;
use crate::net::body_memory::BodyMemoryPool;
use crate::net::node::{Node, FAIL_BEFORE};
use crate::net::operators::figures::{self, Metrics};
use crate::net::ports::{Answer, Forward, Payload};
use crate::net::servers::Servers;
use crate::net::streamed_body::{buffer_body, Buffered, Download, End, Outgoing, Upload};
use crate::net::Common;
use crate::operator::Front;

/// How long requests are still accepted under the previous rules after a reload: clients use new classes 1.2 s after the
/// node has received them at the earliest (the operators' page on retuning).
const PREVIOUS_RULES_PERIOD: Duration = Duration::from_millis(1_200);
/// How long a client that sends 64 kB a second takes for the part of a body that is buffered before forwarding.
const BUFFERED_PART_TIME: Duration = Duration::from_millis(1_030);
/// How long before the client's deadline a request with a streamed body fails.
const FAIL_MARGIN: Duration = Duration::from_micros(FAIL_BEFORE);
/// `Retry-After` of a request whose streamed body found no free body memory, in seconds.
const MEMORY_RETRY_AFTER: &str = "1";
/// The body of an answer.
type Reply = Outgoing<Download>;

/// Serves the clients of a node.
pub struct Clients {
    node: Rc<Node>,
    servers: Rc<Servers>,
    rules: RefCell<Rc<Rules>>,
    /// The rules before the last reload, and until when they still apply.
    previous_rules: RefCell<Option<(Rc<Rules>, Instant)>>,
    metrics: Rc<Metrics>,
    body_pool: BodyMemoryPool,
    /// How long a head may take, from connecting or from its first byte, and then a body.
    head_wait: Duration,
    body_wait: Duration,
}

impl Clients {
    /// Creates the handler of this node's clients.
    pub fn new(
        node: Rc<Node>,
        servers: Rc<Servers>,
        rules: Rules,
        metrics: Rc<Metrics>,
        common: Common,
        settings: &Front,
    ) -> Rc<Self> {
        Rc::new(Clients {
            node,
            servers,
            rules: RefCell::new(Rc::new(rules)),
            previous_rules: RefCell::default(),
            metrics,
            body_pool: common.body_memory,
            head_wait: settings.head_wait.0,
            body_wait: settings.body_wait.0,
        })
    }

    /// Replaces the rules. Clients learn of new rules later than the node, so a request that is valid only by the previous
    /// rules is still accepted for a moment.
    pub fn retune(&self, rules: Rules) {
        let old = self.rules.replace(Rc::new(rules));
        self.previous_rules.replace(Some((old, Instant::now() + PREVIOUS_RULES_PERIOD)));
    }

    /// Parses a request head for the controller, by the current rules or else the previous ones.
    fn read(&self, head: &request::Parts, now: Micros) -> Result<NewRequest, Malformed> {
        let read =
            |rules: &Rules| rules.read(&head.method, head.uri.path(), head.uri.query(), &head.headers, now);
        read(&self.rules.borrow()).or_else(|malformed| {
            let mut previous_rules = self.previous_rules.borrow_mut();
            if previous_rules.as_ref().is_some_and(|(_, until)| Instant::now() > *until) {
                *previous_rules = None;
            }
            previous_rules.as_ref().and_then(|(rules, _)| read(rules).ok()).ok_or(malformed)
        })
    }

    #[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
    async fn serve(&self, request: Request<Incoming>, raw_head: &RawHead) -> Result<Answer, Rejected> {
        let now = self.node.clock.now();
        let (head, body) = request.into_parts();
        if head.uri.path() == "/up" {
            return match head.method {
                Method::GET => Ok(Answer::Served(Bytes::from_static(b"up\n"))),
                _ => Err(Rejected(StatusCode::METHOD_NOT_ALLOWED, "GET alone is served here\n")),
            };
        }
        let mut codings = head.headers.get_all(TRANSFER_ENCODING).iter();
        if let Some(coding) = codings.next() {
            if codings.next().is_some() || !coding.as_bytes().eq_ignore_ascii_case(b"chunked") {
                return Err(Rejected(StatusCode::NOT_IMPLEMENTED, "chunked alone is decoded here\n"));
            }
            // Danger: a body with two lengths may hide another request (RFC 9112, 6.1 and 6.3), and of the two
            // headers only this one is left in the parsed head.
            if raw_head.has_content_length() {
                return Err(bad_request("a body comes in chunks or with a length, not with both\n"));
            }
        }
        let mut new = self.read(&head, now).map_err(|Malformed(why)| bad_request(why))?;
        let class = head.headers.get(CLASS).cloned();
        let begun = Instant::now();
        let wait = new.due - now;
        // The buffered part may arrive at the minimum rate that is demanded of a client.
        let body_by = begun + self.body_wait + BUFFERED_PART_TIME;
        let payload = match timeout_at(body_by, buffer_body(body, BODY_MOST, None, &self.body_pool)).await {
            Ok(Ok(Buffered::Complete(body))) => Payload::Buffered(body),
            Ok(Ok(Buffered::Partial(first, rest))) => {
                let wait = Duration::from_micros(wait);
                let reservation = self.body_pool.try_reserve_stream();
                let full = reservation.is_none();
                let upload = Upload::new(first, rest, reservation, wait, begun, self.body_wait);
                if full && head.method != Method::GET {
                    // Danger: with one more streamed body the process may be killed for its memory, with all open requests.
                    upload.drain();
                    self.metrics.request_ended(class_of(&class), figures::Result::Rejected);
                    return Err(Rejected(
                        StatusCode::SERVICE_UNAVAILABLE,
                        "no room for one long body more\n",
                    ));
                }
                Payload::Streamed(upload)
            }
            Ok(Err(BadBody::TooLong)) => {
                return Err(Rejected(StatusCode::PAYLOAD_TOO_LARGE, "the body is longer than 32 MB\n"));
            }
            Ok(Err(BadBody::Broken | BadBody::Malformed)) => {
                return Err(bad_request("the body is not whole\n"))
            }
            Err(_) => return Err(Rejected(StatusCode::REQUEST_TIMEOUT, "the body came too late\n")),
        };
        let upload = match &payload {
            Payload::Buffered(body) if head.method == Method::GET && !body.is_empty() => {
                return Err(bad_request("a GET has no body\n"));
            }
            Payload::Buffered(_) => None,
            Payload::Streamed(_) if head.method == Method::GET => {
                return Err(bad_request("a GET has no body\n"))
            }
            Payload::Streamed(upload) => Some(upload.clone()),
        };
        // A request's time counts from its last byte.
        new.due = self.node.clock.now() + wait;
        let answer_by = self.node.answer_deadline(new.due);
        let mut headers = head.headers;
        // A request target in absolute form is forwarded in origin form.
        let uri = match head.uri.scheme() {
            None => head.uri,
            Some(_) => head.uri.path_and_query().cloned().map(Uri::from).ok_or(bad_request("no path\n"))?,
        };
        let forward = Forward {
            method: head.method,
            uri,
            id: headers.remove(REQUEST_ID).ok_or(bad_request("no id\n"))?,
            key: headers.remove(IDEMPOTENCY_KEY),
            body: payload,
        };
        let id = new.id.clone();
        let pending = self.metrics.request_started();
        let answer =
            self.node.take(new, forward).map_err(|_| Rejected(StatusCode::CONFLICT, "id in use\n"))?;
        // When the client goes away, this future is dropped with its connection.
        let _waited = self.node.waiting_client(id);
        let overdue = async {
            match &upload {
                None => sleep_until(answer_by).await,
                Some(upload) => sleep_until(upload.ended().await + upload.wait - FAIL_MARGIN).await,
            }
        };
        let answer = tokio::select! {
            biased;
            // Without an answer from the node this must not be a refusal: the attempts may have had an effect.
            answer = answer => Ok(answer.unwrap_or(Answer::Failed(Reason::TimedOut))),
            _ = overdue => Err(Rejected(StatusCode::GATEWAY_TIMEOUT, "")),
        };
        upload.iter().for_each(|upload| upload.drain());
        let class = class_of(&class);
        if let Ok(Answer::Streamed(body)) = answer {
            let (metrics, class) = (self.metrics.clone(), String::from(class));
            return Ok(Answer::Streamed(body.counted(move |end| {
                let _pending = pending;
                let result =
                    if end == End::Complete { figures::Result::Completed } else { figures::Result::Failed };
                metrics.request_ended(&class, result);
            })));
        }
        let (result, why) = match &answer {
            Ok(Answer::Served(_) | Answer::Streamed(_)) => (figures::Result::Completed, None),
            Ok(Answer::Refused(_, why)) => (figures::Result::Rejected, Some(*why)),
            Ok(Answer::Failed(why)) => (figures::Result::Failed, Some(*why)),
            Err(_) => (figures::Result::Failed, Some(Reason::TimedOut)),
        };
        self.metrics.request_ended(class, result);
        why.into_iter().for_each(|why| self.metrics.unserved(class, why));
        answer
    }
}

impl Handler for Clients {
    type Reply = Reply;

    async fn answer(&self, request: Request<Incoming>, raw_head: &RawHead) -> Response<Reply> {
        // Danger: the next request may have been read along with the end of a chunked body. Its raw head would not be
        // checked as this one's was.
        let chunked = request.headers().contains_key(TRANSFER_ENCODING);
        let (mut response, end) = match self.serve(request, raw_head).await {
            Ok(Answer::Served(body)) => (Response::new(body.into()), false),
            Ok(Answer::Streamed(body)) => (Response::new(Reply::Streamed(body)), false),
            Ok(Answer::Refused(wait, _)) => (refusal(wait), false),
            Ok(Answer::Failed(_)) => (plain_answer(StatusCode::BAD_GATEWAY, ""), false),
            Err(Rejected(status, why)) => {
                let mut response = plain_answer(status, why);
                if status == StatusCode::SERVICE_UNAVAILABLE {
                    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static(MEMORY_RETRY_AFTER));
                }
                (response, status.is_client_error() && status != StatusCode::CONFLICT)
            }
        };
        // Danger: another request may be smuggled behind a malformed one.
        if end || chunked || self.node.stopping() {
            mark_last_answer(&mut response);
        }
        response
    }

    fn close_an_idle(&self) -> bool {
        self.servers.close_an_idle()
    }

    fn head_wait(&self) -> Duration {
        self.head_wait
    }

    fn idle_wait(&self) -> Option<Duration> {
        None
    }
}

fn class_of(class: &Option<HeaderValue>) -> &str {
    class.as_ref().and_then(|c| c.to_str().ok()).unwrap_or_default()
}

/// Status and text of the answer to a request that was rejected here, or had no answer in time.
struct Rejected(StatusCode, &'static str);

fn bad_request(why: &'static str) -> Rejected {
    Rejected(StatusCode::BAD_REQUEST, why)
}

fn plain_answer(status: StatusCode, why: &'static str) -> Response<Reply> {
    let mut response = Response::new(Reply::from(Bytes::from_static(why.as_bytes())));
    *response.status_mut() = status;
    response
}

/// Builds a refusal, with `Retry-After` in seconds, rounded up to the millisecond, if there is a wait.
fn refusal(wait: Micros) -> Response<Reply> {
    if wait == 0 {
        return plain_answer(StatusCode::SERVICE_UNAVAILABLE, "");
    }
    let mut response = plain_answer(StatusCode::TOO_MANY_REQUESTS, "");
    let ms = wait.div_ceil(1000);
    if let Ok(value) = HeaderValue::from_str(&format!("{}.{:03}", ms / 1000, ms % 1000)) {
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}
