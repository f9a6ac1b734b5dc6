//! A recording put in order: tries, attempts, nodes' lives, and what each node was told of each box.

use std::collections::{BTreeMap, HashMap};

use crate::SOCKET_SLACK;
use pinerelay_evidence::{AttemptId, Body, Cut, Listed, Micros, Record, RequestId, Seen};

/// One writing of a try to a node.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Writing {
    pub at: Micros,
    pub node: u32,
    pub deadline_ms: u64,
    pub first_on_connection: bool,
    pub crossed: bool,
}

/// How a writing of a try ended.
#[derive(Debug, Clone, Copy)]
pub(crate) enum End {
    Answered { status: u16, body: Option<Body> },
    CutOff(Cut),
    GaveUp,
}

/// A client's try.
#[derive(Debug)]
pub(crate) struct Try {
    pub id: RequestId,
    pub first: RequestId,
    pub biller: u64,
    pub plan: usize,
    pub class: usize,
    pub units: f64,
    /// When it was due to be sent: written, or found that it could not be.
    pub at: Micros,
    pub writings: Vec<Writing>,
    pub ends: Vec<(Micros, End)>,
    /// Attempts, in the order in which they came whole.
    pub attempts: Vec<usize>,
}

/// An attempt that came whole to a box.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub number: AttemptId,
    pub id: RequestId,
    pub at_box: u32,
    pub node: u32,
    pub first_byte: Micros,
    pub whole: Micros,
    pub work: f64,
    pub replied: Option<(Micros, u16, bool)>,
    pub spoilt: bool,
    pub broke: Option<Micros>,
    pub ran: Option<Micros>,
}

impl Attempt {
    /// When it was proven that it never ran, if it was: the box said so.
    pub fn cleared(&self) -> Option<Micros> {
        self.replied.filter(|&(_, status, not_run)| not_run && matches!(status, 503 | 504)).map(|r| r.0)
    }

    /// Whether it may have run, as far as anyone could know at this time.
    pub fn may_have_run(&self, at: Micros) -> bool {
        self.cleared().is_none_or(|cleared| cleared > at)
    }

    pub fn tells(&self) -> String {
        let end = match (self.replied, self.broke) {
            (Some((at, status, true)), _) => {
                format!("answered {status} with X-Not-Run at {}", crate::time(at))
            }
            (Some((at, status, false)), _) => format!("answered {status} at {}", crate::time(at)),
            (None, Some(at)) => format!("broken off at {}", crate::time(at)),
            (None, None) => "never answered".into(),
        };
        format!("attempt {} whole at box {} from node {}: {end}", self.number, self.at_box, self.node)
    }
}

/// One life of a node, from a start to its end.
#[derive(Debug)]
pub(crate) struct Life {
    pub started: Micros,
    pub killed: Option<Micros>,
    pub ended: Option<(Micros, Option<i32>, bool)>,
}

/// What a box was, from a start on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Start {
    pub at: Micros,
    pub hall: u32,
    pub cold: Option<(f64, Micros)>,
}

#[derive(Debug, Default)]
pub(crate) struct View {
    pub tries: Vec<Try>,
    pub attempts: Vec<Attempt>,
    pub by_id: HashMap<RequestId, usize>,
    /// Attempts under an id that no client has sent, or none at all: when, box, node.
    pub strange: Vec<(Micros, u32, u32)>,
    pub extra: Vec<(Micros, RequestId, usize)>,
    pub rude: Vec<(Micros, u32, String, pinerelay_evidence::RudeEnd)>,
    pub nodes: BTreeMap<u32, Vec<Life>>,
    pub boxes: BTreeMap<u32, Vec<Start>>,
    pub fell: Vec<(Micros, u32)>,
    pub told: BTreeMap<(u32, u32), Vec<(Micros, Listed)>>,
    pub held: BTreeMap<(u32, u32), Vec<(Micros, Listed)>>,
    /// By node and box, when it was held out by hand (true) and brought back.
    pub by_hand: BTreeMap<(u32, u32), Vec<(Micros, bool)>>,
    pub calls: u64,
    /// By node: samples of time, CPU time and memory in KiB, in the order of time.
    pub used: BTreeMap<u32, Vec<(Micros, Micros, u64)>>,
    pub last: Micros,
}

impl View {
    #[expect(clippy::too_many_lines, reason = "not split yet: docs/ROADMAP.md, Gateway 13")]
    pub fn new(records: &[Record]) -> View {
        let mut view = View::default();
        let mut numbers: HashMap<AttemptId, usize> = HashMap::new();
        for Record { at, seen } in records {
            let at = *at;
            view.last = view.last.max(at);
            match seen {
                &Seen::NotTaken { id, first, biller, plan, class, units, .. } => {
                    view.open(Try::new(id, first, biller, plan, class, units, at));
                }
                &Seen::Sent {
                    id,
                    first,
                    node,
                    biller,
                    plan,
                    class,
                    units,
                    deadline_ms,
                    first_on_connection,
                    crossed,
                    ..
                } => {
                    let place = view.open(Try::new(id, first, biller, plan, class, units, at));
                    let writing = Writing { at, node, deadline_ms, first_on_connection, crossed };
                    view.tries[place].writings.push(writing);
                }
                &Seen::Answered { id, status, body, .. } => {
                    view.end(id, at, End::Answered { status, body });
                }
                &Seen::CutOff { id, how } => view.end(id, at, End::CutOff(how)),
                &Seen::GaveUp { id, .. } => view.end(id, at, End::GaveUp),
                &Seen::Extra { id, bytes } => view.extra.push((at, id, bytes)),
                Seen::Rude { node, kind, end, .. } => view.rude.push((at, *node, kind.clone(), *end)),
                &Seen::Arrived { attempt, id, at_box, node, first_byte, work, .. } => {
                    numbers.insert(attempt, view.attempts.len());
                    view.attempts.push(Attempt {
                        number: attempt,
                        id,
                        at_box,
                        node,
                        first_byte,
                        whole: at,
                        work,
                        replied: None,
                        spoilt: false,
                        broke: None,
                        ran: None,
                    });
                }
                &Seen::Strange { at_box, node } => view.strange.push((at, at_box, node)),
                &Seen::Ran { attempt, .. } => {
                    if let Some(&place) = numbers.get(&attempt) {
                        view.attempts[place].ran = Some(at);
                    }
                }
                &Seen::Replied { attempt, status, not_run, spoilt } => {
                    if let Some(&place) = numbers.get(&attempt) {
                        view.attempts[place].replied = Some((at, status, not_run));
                        view.attempts[place].spoilt = spoilt;
                    }
                }
                &Seen::Broke { attempt, .. } => {
                    if let Some(&place) = numbers.get(&attempt) {
                        view.attempts[place].broke = Some(at);
                    }
                }
                &Seen::BoxStarted { at_box, hall, cold, .. } => {
                    view.boxes.entry(at_box).or_default().push(Start { at, hall, cold });
                }
                &Seen::BoxFell { at_box } => view.fell.push((at, at_box)),
                &Seen::Held { node, at_box, says } => {
                    view.held.entry((node, at_box)).or_default().push((at, says));
                }
                &Seen::Told { node, at_box, says } => {
                    view.told.entry((node, at_box)).or_default().push((at, says));
                }
                &Seen::HeldOut { node, at_box, out } => {
                    view.by_hand.entry((node, at_box)).or_default().push((at, out));
                }
                Seen::Called { .. } => view.calls += 1,
                &Seen::NodeStarted { node } => {
                    let life = Life { started: at, killed: None, ended: None };
                    view.nodes.entry(node).or_default().push(life);
                }
                &Seen::NodeKilled { node } => {
                    if let Some(life) = view.nodes.get_mut(&node).and_then(|l| l.last_mut()) {
                        life.killed = Some(at);
                    }
                }
                &Seen::NodeEnded { node, code, meant } => {
                    // Of two processes of a node the one that was killed has ended, or else the older one.
                    let lives = view.nodes.entry(node).or_default();
                    let open = |l: &Life| l.ended.is_none();
                    let place = lives.iter().position(|l| open(l) && l.killed.is_some());
                    if let Some(place) = place.or_else(|| lives.iter().position(open)) {
                        lives[place].ended = Some((at, code, meant));
                    }
                }
                &Seen::NodeUsed { node, cpu, rss_kib } => {
                    view.used.entry(node).or_default().push((at, cpu, rss_kib));
                }
                Seen::Dropped { .. }
                | Seen::BoxStopped { .. }
                | Seen::NodeUp { .. }
                | Seen::NodeTold { .. }
                | Seen::NodeMoved { .. }
                | Seen::Fault { .. } => {}
            }
        }
        // An attempt's try may have been recorded a moment after it: its client stamps once all is written.
        for (place, attempt) in view.attempts.iter().enumerate() {
            match view.by_id.get(&attempt.id) {
                Some(&of) => view.tries[of].attempts.push(place),
                None => view.strange.push((attempt.whole, attempt.at_box, attempt.node)),
            }
        }
        view
    }

    fn open(&mut self, new: Try) -> usize {
        *self.by_id.entry(new.id).or_insert_with(|| {
            self.tries.push(new);
            self.tries.len() - 1
        })
    }

    fn end(&mut self, id: RequestId, at: Micros, end: End) {
        if let Some(&place) = self.by_id.get(&id) {
            self.tries[place].ends.push((at, end));
        }
    }

    /// The life of a node at a time: the last that began by then and had not ended, or the last that began. What is written
    /// as a process ends may be stamped a moment after.
    pub fn life(&self, node: u32, at: Micros) -> Option<&Life> {
        let lives = || self.nodes.get(&node).into_iter().flatten().rev().filter(|l| l.started <= at);
        lives()
            .find(|l| l.ended.is_none_or(|(ended, ..)| ended.saturating_add(SOCKET_SLACK) >= at))
            .or_else(|| lives().next())
    }

    /// The hall of a box.
    pub fn hall(&self, at_box: u32) -> Option<u32> {
        self.boxes.get(&at_box)?.first().map(|s| s.hall)
    }
}

impl Try {
    fn new(
        id: RequestId,
        first: RequestId,
        biller: u64,
        plan: usize,
        class: usize,
        units: f64,
        at: Micros,
    ) -> Try {
        let (writings, ends, attempts) = Default::default();
        Try { id, first, biller, plan, class, units, at, writings, ends, attempts }
    }

    /// When its client's time is up.
    pub fn due(&self) -> Option<Micros> {
        self.writings.last().map(|w| w.at + w.deadline_ms * 1_000)
    }

    /// Its answer, if it has one.
    pub fn answer(&self) -> Option<(Micros, u16, Option<Body>)> {
        self.ends.iter().find_map(|&(at, end)| match end {
            End::Answered { status, body } => Some((at, status, body)),
            _ => None,
        })
    }
}
