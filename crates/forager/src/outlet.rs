//! The servers' side: where servers are, the connections kept to each, attempts, and how they end.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::time::Duration;

use bytes::Bytes;
use hyper::header::{HeaderMap, HeaderValue};
use hyper::http::response::Parts;
use hyper::{Request, Response, Version};
use mountbend::interface::{Micros, Outcome, RequestId, ServerId};
use pinerelay_cells::server::{Server, State};
use pinerelay_cells::verdict::Verdict;
use pinerelay_nectar::budget::Budget as Tries;
use pinerelay_traffic::body::BadBody;
use pinerelay_traffic::clock::Clock;
use pinerelay_traffic::http::{framed, Broken, Connection, Sent};
use pinerelay_traffic::long::{take, Download, End, Taken, Upload};
use pinerelay_traffic::node::STOP_BEFORE;
use pinerelay_traffic::pool::{Pool, Reach};
use pinerelay_traffic::ports::{Ends, Upstream};
use pinerelay_traffic::Common;
use tokio::task::AbortHandle;
use tokio::time::{timeout, timeout_at, Instant};

use crate::flow::{means, names_request, Flow, Forward, Means};
use crate::request::KEEP_ALIVE;

/// As much of a body is taken in ahead, in bytes.
pub const BODY_MOST: usize = 64 * 1024;
/// A connection has so long to come up: one to a dead machine hangs, and a full backlog costs seconds.
const CONNECT: Duration = Duration::from_millis(200);
const CONNECT_LEAST: Duration = Duration::from_millis(40);
/// An idle connection is dropped at this part of the time after which the server says that it does.
const KEEP: f64 = 0.8;
/// Without a word from the server, after this.
const KEEP_UNTOLD: Duration = Duration::from_secs(4);
/// After an answer that belonged to no request, a server's connections are not used twice for so long.
const DISTRUST: Duration = Duration::from_secs(6);
/// An attempt is given up so long before its client gives up.
const STOP: Duration = Duration::from_micros(STOP_BEFORE);

/// What is known of a server beside its address.
struct Known {
    name: HeaderValue,
    service: String,
    distrusted: Option<Instant>,
    /// Open connections.
    open: Rc<Cell<usize>>,
}

/// A connection's place among those that a server accepts of this node.
struct Place(Rc<Cell<usize>>);

impl Place {
    fn take(open: &Rc<Cell<usize>>) -> Place {
        open.set(open.get() + 1);
        Place(open.clone())
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Why there is no connection.
enum NoLine {
    /// None came up, or the server takes nothing new.
    Failed,
    /// This node has as many as are its part of what the server accepts.
    Full,
}

/// Where all servers are, and the connections kept to them.
pub struct Hosts {
    pool: Rc<Pool<Known>>,
    common: Common,
    /// What may be sent to a second server.
    pub tries: RefCell<Tries>,
    /// Among how many nodes that is shared, and what servers accept.
    pub nodes: Cell<usize>,
    /// By service: how many connections one of its servers accepts, of all callers together.
    pub most: RefCell<BTreeMap<String, u64>>,
    opened: Cell<u64>,
    sent: Cell<u64>,
    spoilt: Cell<u64>,
}

/// A connection to a server, and of which generation.
struct Line {
    connection: Connection,
    generation: u64,
    name: HeaderValue,
    /// For how long it stood idle, if it was kept.
    idle: Option<Duration>,
}

impl Hosts {
    /// None yet.
    pub fn new(common: Common, tries: Tries) -> Rc<Hosts> {
        Rc::new(Hosts {
            pool: Pool::new(common.budget.clone()),
            common,
            tries: RefCell::new(tries),
            nodes: Cell::new(1),
            most: RefCell::default(),
            opened: Cell::new(0),
            sent: Cell::new(0),
            spoilt: Cell::new(0),
        })
    }

    /// Connections opened, requests sent, and answers that belonged to no request.
    pub fn figures(&self) -> (u64, u64, u64) {
        (self.opened.get(), self.sent.get(), self.spoilt.get())
    }

    /// Clients' connections that are open.
    pub fn clients(&self) -> usize {
        self.common.budget.clients()
    }

    /// Closes the connection that has been idle for longest, to free its descriptor.
    pub fn close_an_idle(&self) -> bool {
        self.pool.close_an_idle()
    }

    /// What is known of a server; none: it has left.
    pub fn set(&self, number: ServerId, id: &str, server: Option<&Server>) {
        let Some(server) = server else { return self.pool.remove(number) };
        let first = |_| Known {
            // Ids are what registries have taken: what is no header's value names no server.
            name: HeaderValue::from_str(id).unwrap_or(HeaderValue::from_static("-")),
            service: server.service.clone(),
            distrusted: None,
            open: Rc::default(),
        };
        let up = server.state == State::Ready;
        self.pool.set(number, Some(server.address.into()), up, first, |_, _| false);
    }

    /// This node's part of the connections that a server of a service accepts.
    fn part(&self, service: &str) -> usize {
        let most = self.most.borrow().get(service).copied().filter(|&most| most > 0);
        most.map_or(usize::MAX, |most| (most as usize / self.nodes.get()).max(2))
    }

    /// A kept connection or a new one.
    async fn line(&self, server: ServerId, fresh_only: bool, left: Duration) -> Result<Line, NoLine> {
        let trusted = |known: &Known| known.distrusted.is_none_or(|since| since.elapsed() > DISTRUST);
        let more = |known: &Known| (known.name.clone(), known.open.clone(), self.part(&known.service));
        let reach = self.pool.reach(server, |known| !fresh_only && trusted(known), more);
        let Some(Reach { address, generation, kept, more: (name, open, part) }) = reach else {
            return Err(NoLine::Failed);
        };
        if let Some((connection, idle)) = kept {
            return Ok(Line { connection, generation, name, idle: Some(idle) });
        }
        if open.get() >= part {
            return Err(NoLine::Full);
        }
        let place = Place::take(&open);
        let connect = async { Connection::open(address, (self.pool.slot().await, place), None).await };
        // Danger: a machine that has vanished must not take the time in which another could still be asked.
        let patience = CONNECT.min((left / 4).max(CONNECT_LEAST));
        let connection = match timeout(patience, connect).await {
            Ok(Ok(connection)) => connection,
            _ => return Err(NoLine::Failed),
        };
        self.opened.set(self.opened.get() + 1);
        // What is known of it may have changed while the connection came up.
        self.pool
            .stands(server, generation)
            .then_some(Line { connection, generation, name, idle: None })
            .ok_or(NoLine::Failed)
    }

    fn distrust(&self, server: ServerId) {
        self.spoilt.set(self.spoilt.get() + 1);
        self.pool.more(server, |known| known.distrusted = Some(Instant::now()));
        self.pool.drop_idle(server);
    }
}

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
            let message = match again.take() {
                Some(message) => message,
                None => {
                    if !self.may_send(forward) {
                        hosts.pool.give_back(server, connection, generation, KEEP_UNTOLD);
                        return (Outcome::Ignored, None);
                    }
                    // An earlier attempt has taken of the body: this one can't be made.
                    let Some(body) = forward.body.body(&self.core, id, number) else {
                        return (Outcome::Ignored, None);
                    };
                    let left = match upload {
                        None => stop.saturating_sub(self.clock.now()) / 1_000,
                        Some(upload) => upload.wait.as_millis() as u64,
                    };
                    match forward.request.attempt(body, name, left) {
                        Ok(message) => message,
                        Err((breach, body)) => {
                            forward.fate.breach.set(Some(breach));
                            hosts.pool.give_back(server, connection, generation, KEEP_UNTOLD);
                            if let Sent::Long(body) = body {
                                body.give_back();
                            }
                            return (Outcome::Ignored, None);
                        }
                    }
                }
            };
            let fate = &forward.fate;
            // Danger: what its client has left, or was promised never to run, must not be written after that; and what comes
            // too late for its answer is not begun.
            if fate.withdrawn.get() || upload.is_none() && Instant::now() >= until {
                hosts.pool.give_back(server, connection, generation, KEEP_UNTOLD);
                if let Sent::Long(body) = message.into_body() {
                    body.give_back();
                }
                return (Outcome::Ignored, None);
            }
            let before = fate.verdict.get();
            // Danger: one that is cancelled on the way is dropped here, and has reached its server all the same.
            fate.verdict.set(before.and(Verdict::MayHaveRun));
            fate.arrived.set(fate.arrived.get() + 1);
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
                hosts.pool.reuse.ended(idle, matches!(answer, Err(Broken::Doubtful)) && !heard.begun());
            }
            if upload.is_some_and(|upload| upload.broken()) {
                // The client broke it off: the server has done nothing wrong.
                return (Outcome::Ignored, None);
            }
            match answer {
                Ok(Exchanged::Whole(means, response, keep)) => {
                    let (outcome, verdict) = means.told();
                    fate.verdict.set(before.and(verdict));
                    let executed = means == Means::Answer && response.status().is_success();
                    let sound = means != Means::Spoilt && leaves_nothing(&connection, upload, executed);
                    match keep.filter(|_| sound) {
                        Some(keep) => hosts.pool.give_back(server, connection, generation, keep),
                        None if means == Means::Spoilt => hosts.distrust(server),
                        None => {}
                    }
                    return match means {
                        Means::Answer => (outcome, Some(response)),
                        // What may not be repeated has the server's own answer; else another may do better.
                        Means::Failure if !forward.repeatable => (outcome, Some(response)),
                        Means::Failure => {
                            fate.spare.replace(Some(response));
                            (outcome, None)
                        }
                        _ => (outcome, None),
                    };
                }
                Ok(Exchanged::Long(head, first, rest, keep)) => {
                    fate.verdict.set(Verdict::Ran);
                    let executed = head.status.is_success();
                    let (answer, ended) = Download::new(first, rest, hosts.common.room.pipe_at_once());
                    if !self.core.upgrade().is_some_and(|core| core.answer_begins(id, number, (head, answer)))
                    {
                        return (Outcome::Cancelled, None);
                    }
                    return match ended.await {
                        Ok(End::Whole) => {
                            if let Some(keep) = keep.filter(|_| leaves_nothing(&connection, upload, executed))
                            {
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
                    if let Sent::Long(body) = message.into_body() {
                        body.give_back();
                    }
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

/// Whether nothing of a request can be left on its connection behind its answer, which may have come early. Danger: a
/// server that does not read on takes the rest of a body for the next request.
fn leaves_nothing(connection: &Connection, upload: Option<&Rc<Upload>>, executed: bool) -> bool {
    upload.is_none_or(|upload| upload.whole()) && connection.passage().taken(executed)
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
