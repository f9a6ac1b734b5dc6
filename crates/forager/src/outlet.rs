//! The servers' side: attempts, and how they end.

use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response, Version};
use mountbend::interface::{Micros, Outcome, RequestId, ServerId};
use pinerelay_cells::verdict::Verdict;
use pinerelay_traffic::body::BadBody;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::http::{framed, Broken, Connection, Sent};
use pinerelay_traffic::long::{take, Download, End, Taken, Upload};
use pinerelay_traffic::node::STOP_BEFORE;
use pinerelay_traffic::ports::{Ends, Upstream};
use tokio::task::AbortHandle;
use tokio::time::{timeout_at, Instant};

use crate::flow::{means, names_request, Flow, Forward, Means};
use crate::hosts::{Hosts, Line, NoLine, KEEP_UNTOLD};
use crate::request::KEEP_ALIVE;
use crate::settlement::{self, Reply, Settlement};

/// As much of a body is taken in ahead, in bytes.
pub const BODY_MOST: usize = 64 * 1024;
/// An idle connection is dropped at this part of the time after which the server says that it does.
const KEEP: f64 = 0.8;
/// An attempt is given up so long before its client gives up.
const STOP: Duration = Duration::from_micros(STOP_BEFORE);

/// One service's way out to its servers.
pub struct Outlet {
    service: String,
    hosts: Rc<Hosts>,
    clock: Rc<Clock>,
    core: Weak<dyn Ends<Flow>>,
    me: Weak<Outlet>,
}

/// What came back on a connection.
enum Exchanged {
    /// A whole answer, what it means, and for how long its connection may be kept.
    Whole(Means, Response<Bytes>, Option<Duration>),
    /// The beginning of a long one.
    Long(Parts, Bytes, hyper::body::Incoming, Option<Duration>),
}

impl Outlet {
    /// The way out to a service's servers.
    pub fn new(service: &str, hosts: Rc<Hosts>, clock: Rc<Clock>, core: Weak<dyn Ends<Flow>>) -> Rc<Outlet> {
        Rc::new_cyclic(|me: &Weak<Outlet>| Outlet {
            service: service.into(),
            hosts,
            clock,
            core,
            me: me.clone(),
        })
    }

    /// Whether a request may be sent to one server more: as its route says, and as far as all nodes' budget goes.
    fn may_send(&self, forward: &Forward) -> bool {
        let arrived = forward.fate.arrived.get();
        arrived == 0
            || arrived < forward.servers
                && self.hosts.tries.borrow_mut().further(
                    self.clock.now(),
                    &self.service,
                    self.hosts.nodes.get(),
                )
    }

    /// Makes one attempt and tells how it ended; with an answer, if that is the client's.
    async fn outcome_of(
        &self,
        (id, number): (&RequestId, usize),
        server: ServerId,
        forward: &Forward,
        stop: Micros,
    ) -> (Outcome, Option<Response<Bytes>>) {
        let hosts = &self.hosts;
        let upload = forward.body.long();
        let until = forward.body.connect_by(self.clock.instant(stop));
        let (mut fresh_only, mut again) = (false, None);
        loop {
            let line = match timeout_at(until, hosts.line(server, fresh_only, until - Instant::now())).await {
                Ok(Ok(line)) => line,
                Ok(Err(NoLine::Full)) => return (Outcome::Full, None),
                // Nothing has been written.
                _ => return (Outcome::ConnectFailed, None),
            };
            if hosts.common.vigil.behind() {
                // Danger: what forbids this server may lie unread.
                hosts.common.vigil.caught_up().await;
                if !hosts.pool.stands(server, line.generation) {
                    return (Outcome::ConnectFailed, None);
                }
            }
            let Line { mut connection, generation, name, idle } = line;
            let idle_for = idle.map(|idle| idle.age());
            let Some(message) = self.message((id, number), forward, again.take(), name, stop) else {
                // Nothing has been written on it.
                hosts.unused(server, connection, generation, idle);
                return (Outcome::Ignored, None);
            };
            let fate = &forward.fate;
            // Danger: what its client has left, or was promised never to run, must not be written after that; and what comes
            // too late for its answer is not begun.
            if fate.withdrawn.get() || upload.is_none() && Instant::now() >= until {
                hosts.unused(server, connection, generation, idle);
                unsent(message.into_body());
                return (Outcome::Ignored, None);
            }
            let before = fate.verdict.get();
            // Danger: one that is cancelled on the way is dropped here, and has reached its server all the same.
            fate.verdict.set(before.and(Verdict::MayHaveRun));
            fate.arrived.set(fate.arrived.get() + 1);
            if let Some(core) = self.core.upgrade() {
                core.attempt_goes(id, number);
            }
            let heard = connection.heard();
            let answer = tokio::select! {
                biased;
                answer = self.exchange(&mut connection, message, forward, idle.is_some()) => answer,
                // Danger: whether the last byte went out is not known here, so it may have run.
                () = forward.body.time_up(until, STOP) => return (Outcome::TimedOut, None),
            };
            let unwritten = matches!(answer, Err(Broken::Unwritten(_)));
            if unwritten {
                fate.verdict.set(before);
                fate.arrived.set(fate.arrived.get() - 1);
            } else {
                hosts.sent.set(hosts.sent.get() + 1);
                hosts.pool.reuse.ended(idle_for, matches!(answer, Err(Broken::Doubtful)) && !heard.begun());
            }
            if upload.is_some_and(|upload| upload.broken()) {
                // The client broke it off: the server has done nothing wrong.
                return (Outcome::Ignored, None);
            }
            match answer {
                Ok(Exchanged::Whole(means, response, keep)) => {
                    let clean = leaves_nothing(&connection, upload);
                    let settled = Settlement::of(means, forward.repeatable, clean);
                    fate.verdict.set(before.and(settled.verdict));
                    match (settled.line, keep) {
                        (settlement::Line::Kept, Some(keep)) => {
                            hosts.pool.give_back(server, connection, generation, keep);
                        }
                        (settlement::Line::Distrusted, _) => hosts.distrust(server),
                        _ => {}
                    }
                    return match settled.reply {
                        Reply::Client => (settled.outcome, Some(response)),
                        Reply::Spare => {
                            fate.spare.replace(Some(response));
                            (settled.outcome, None)
                        }
                        Reply::Dropped => (settled.outcome, None),
                    };
                }
                Ok(Exchanged::Long(head, first, rest, keep)) => {
                    fate.verdict.set(Verdict::Ran);
                    let (answer, ended) = Download::new(first, rest, hosts.common.room.pipe_at_once());
                    if !self.core.upgrade().is_some_and(|core| core.answer_begins(id, number, (head, answer)))
                    {
                        return (Outcome::Cancelled, None);
                    }
                    return match ended.await {
                        Ok(End::Whole) => {
                            if let Some(keep) = keep.filter(|_| leaves_nothing(&connection, upload)) {
                                hosts.pool.give_back(server, connection, generation, keep);
                            }
                            (Outcome::Ok, None)
                        }
                        Ok(End::Broken) => (Outcome::Reset, None),
                        // The client has gone.
                        Err(_) => (Outcome::Ignored, None),
                    };
                }
                // Not a byte was written to a kept connection that turned out closed: this is still the same attempt,
                // on a new connection.
                Err(Broken::Unwritten(message)) if idle.is_some() => {
                    again = Some(*message);
                    fresh_only = true;
                }
                Err(Broken::Unwritten(message)) => {
                    unsent(message.into_body());
                    return (Outcome::ConnectFailed, None);
                }
                // Danger: a server may begin with a request before it has read all of its body.
                Err(Broken::Doubtful) => return (Outcome::Reset, None),
                Err(Broken::Spoilt) => {
                    hosts.distrust(server);
                    return (Outcome::Error, None);
                }
            }
        }
    }

    /// The request for one attempt, or once more for a new connection; none if it may not be sent.
    fn message(
        &self,
        (id, number): (&RequestId, usize),
        forward: &Forward,
        again: Option<Request<Sent>>,
        name: HeaderValue,
        stop: Micros,
    ) -> Option<Request<Sent>> {
        let left_ms = match forward.body.long() {
            None => stop.saturating_sub(self.clock.now()) / 1_000,
            // A long one's time counts from its last byte.
            Some(upload) => upload.wait.as_millis() as u64,
        };
        let body = match again {
            Some(message) => message.into_body(),
            None if !self.may_send(forward) => return None,
            // None: an earlier attempt has taken of the body.
            None => forward.body.body(&self.core, id, number)?,
        };
        match forward.request.attempt(body, name, left_ms) {
            Ok(message) => Some(message),
            Err((breach, body)) => {
                forward.fate.breach.set(Some(breach));
                unsent(body);
                None
            }
        }
    }

    /// Writes a request and reads its answer, or the beginning of a long one.
    async fn exchange(
        &self,
        connection: &mut Connection,
        message: Request<Sent>,
        forward: &Forward,
        kept: bool,
    ) -> Result<Exchanged, Broken> {
        let response = connection.send(message).await?;
        if !framed(&response) {
            return Err(Broken::Spoilt);
        }
        let (head, body) = response.into_parts();
        let means = means(head.status, &head.headers, &forward.request.received().id);
        // Danger: what names no request is this one's only where no other has gone before it: else it may be a surplus answer,
        // and this one may run.
        let named = names_request(&head.headers);
        if means == Means::Spoilt || !named && kept {
            return Err(Broken::Spoilt);
        }
        // Danger: on a connection whose server speaks HTTP/1.0 the client library sends no chunks, and so drops such a body.
        let keep = Some(keep_for(&head.headers)).filter(|_| named && head.version == Version::HTTP_11);
        match take(body, BODY_MOST, None, &self.hosts.common.room).await {
            Ok(Taken::Whole(body)) => Ok(Exchanged::Whole(means, Response::from_parts(head, body), keep)),
            Ok(Taken::Part(first, rest)) if means == Means::Answer => {
                Ok(Exchanged::Long(head, first, rest, keep))
            }
            // Its head tells all.
            _ if matches!(means, Means::NotRun | Means::Another) => {
                Ok(Exchanged::Whole(means, Response::from_parts(head, Bytes::new()), None))
            }
            Ok(Taken::Part(..)) | Err(BadBody::Malformed | BadBody::TooLong) => Err(Broken::Spoilt),
            Err(BadBody::Broken) => Err(Broken::Doubtful),
        }
    }
}

/// Gives back a body of which nothing has been sent.
fn unsent(body: Sent) {
    if let Sent::Long(body) = body {
        body.give_back();
    }
}

/// Whether nothing of a request can be left on its connection behind its answer, which may have come early. Danger: a
/// server that does not read on takes the rest of a body for the next request.
fn leaves_nothing(connection: &Connection, upload: Option<&Rc<Upload>>) -> bool {
    upload.is_none_or(|upload| upload.whole()) && connection.passage().taken()
}

/// For how long a connection may stand idle, by what the server says.
fn keep_for(headers: &HeaderMap) -> Duration {
    let told = headers.get(KEEP_ALIVE).and_then(|v| v.to_str().ok());
    let seconds = told.into_iter().flat_map(|v| v.split(',')).find_map(|part| {
        let (name, value) = part.split_once('=')?;
        name.trim().eq_ignore_ascii_case("timeout").then(|| value.trim().parse::<u32>().ok())?
    });
    seconds.map_or(KEEP_UNTOLD, |seconds| Duration::from_secs(seconds.into()).mul_f64(KEEP))
}

impl Upstream<Flow> for Outlet {
    fn attempt(
        &self,
        id: RequestId,
        number: usize,
        server: ServerId,
        forward: Rc<Forward>,
        stop: Micros,
    ) -> AbortHandle {
        let (outlet, core) = (self.me.clone(), self.core.clone());
        let task = tokio::task::spawn_local(async move {
            let Some(outlet) = outlet.upgrade() else { return };
            let (outcome, answer) = outlet.outcome_of((&id, number), server, &forward, stop).await;
            if let Some(core) = core.upgrade() {
                core.attempt_over(&id, number, outcome, answer);
            }
        });
        task.abort_handle()
    }

    fn goes_on(&self, forward: &Forward) -> bool {
        let (now, arrived) = (self.clock.now(), forward.fate.arrived.get());
        // The first is not counted, here as in `may_send`.
        arrived == 0
            || arrived < forward.servers
                && self.hosts.tries.borrow().has(now, &self.service, self.hosts.nodes.get())
    }

    /// The decisions ask for no probes.
    fn probe(&self, _: ServerId) {}
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn a_connection_is_kept_for_less_than_the_server_says() {
        let said = |value: &'static str| {
            let mut headers = HeaderMap::new();
            headers.insert(KEEP_ALIVE, HeaderValue::from_static(value));
            keep_for(&headers)
        };
        expect_that!(said("timeout=10, max=100"), eq(Duration::from_secs(8)));
        expect_that!(said("max=3, Timeout = 5"), eq(Duration::from_secs(4)));
        expect_that!(said("soon"), eq(KEEP_UNTOLD));
        expect_that!(keep_for(&HeaderMap::new()), eq(KEEP_UNTOLD));
    }
}
