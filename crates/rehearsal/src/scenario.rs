//! Scenarios: a fleet, its load, and faults on a time line, read strictly from TOML.

use std::path::{Path, PathBuf};

use pinerelay::strict::{self, within, Checked, FileError, Span};
use serde::Deserialize;

/// The plans that customers are on, the smallest first.
pub const PLANS: [&str; 4] = ["basic", "standard", "business", "enterprise"];

/// The most boxes, nodes, and seconds of one rehearsal.
const BOXES_MOST: u32 = 400;
const NODES_MOST: u32 = 64;
const SECONDS_MOST: u32 = 3_600;

/// A rehearsal, as its file has it.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it rehearses, in a line.
    pub title: String,
    /// How long the load lasts, in seconds: 1 to 3,600.
    pub seconds: u32,
    /// The fleet.
    #[serde(default)]
    pub fleet: Fleet,
    /// The load.
    #[serde(default)]
    pub load: Load,
    /// What clients do.
    #[serde(default)]
    pub clients: Clients,
    /// The counter.
    #[serde(default)]
    pub counter: CounterPart,
    /// How it is judged.
    #[serde(default)]
    pub judge: Judge,
    /// The faults, each with its time.
    #[serde(default)]
    pub fault: Vec<Fault>,
}

/// The fleet.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// Boxes: 1 to 400.
    pub boxes: u32,
    /// Edge nodes: 1 to 64.
    pub nodes: u32,
    /// The halls' names; boxes and nodes stand in them in turn.
    pub halls: Vec<String>,
    /// A factor on the work of all requests: with 0.01 a box does a hundred times as much. 0.0001 to 100.
    pub work: f64,
    /// How many requests may wait for each core of a box: 0 to 1,000.
    pub room: usize,
    /// Connections that a box holds: 1 to 100,000.
    pub connections: usize,
    /// A box closes a connection that has stood idle for this long.
    pub idle: Span,
    /// What the first request on a connection waits for.
    pub handshake: Span,
    /// Descriptors that a node may hold: 64 to 65,536.
    pub sockets: usize,
}

impl Default for Fleet {
    fn default() -> Self {
        Fleet {
            boxes: 12,
            nodes: 3,
            halls: vec!["hall-a".into(), "hall-b".into()],
            work: 1.0,
            room: 8,
            connections: 400,
            idle: Span::ms(15_000),
            handshake: Span::ms(1),
            sockets: 384,
        }
    }
}

/// The load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Load {
    /// First tries a second that billers make inside their quotas, in the mean: 0.1 to 50,000.
    pub rate: f64,
    /// Factors on it: pairs of a time in seconds and a factor, joined by straight lines.
    pub shape: Vec<(f64, f64)>,
    /// The share of billers that ask for up to 3.9 times their quota.
    pub over: f64,
    /// The share of billers that ask for up to 7.7 times their quota for some seconds now and then.
    pub spiky: f64,
    /// The share of the billers that come through the first tenth of the nodes, which see so much more than the others.
    pub uneven: f64,
    /// Times in which the billers of a plan ask for more.
    pub surge: Vec<Surge>,
    /// Captured load in place of all that: a file of JSON Lines beside the scenario, each with `t_ms`, `biller`
    /// (16 hex digits), `plan`, `class` and `units`.
    pub replay: Option<PathBuf>,
}

impl Default for Load {
    fn default() -> Self {
        let shape = vec![(0.0, 0.6), (8.0, 1.0)];
        Load { rate: 170.0, shape, over: 0.09, spiky: 0.15, uneven: 0.0, surge: Vec::new(), replay: None }
    }
}

/// A time in which the billers of a plan ask for more.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Surge {
    /// From when, from the start of the load.
    pub at: Span,
    /// For how long.
    #[serde(rename = "for")]
    pub span: Span,
    /// The plan's name.
    pub plan: String,
    /// How many times as much: 0 to 100.
    pub times: f64,
}

/// What clients do.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Clients {
    /// How often a client tries again by itself: 0 to 5.
    pub retries: u32,
    /// The share of clients that come back when they are told to.
    pub honour: f64,
    /// They mark their repeats.
    pub marks_retry: bool,
    /// How long the front goes on sending to a node that has died.
    pub notice: Span,
    /// They use the connection that has been idle for longest, and not the one used last: all that they have once
    /// opened stay in use.
    pub oldest_first: bool,
}

impl Default for Clients {
    fn default() -> Self {
        Clients { retries: 1, honour: 0.7, marks_retry: true, notice: Span::ms(1_500), oldest_first: false }
    }
}

/// The counter.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CounterPart {
    /// Parts that names are split over: 1 to 16.
    pub parts: usize,
    /// Calls a second that it takes in all: 1 to 10,000,000.
    pub calls_a_second: f64,
    /// What a call takes beside that.
    pub delay: Span,
}

impl Default for CounterPart {
    fn default() -> Self {
        CounterPart { parts: 2, calls_a_second: 1_200.0, delay: Span::ms(1) }
    }
}

/// What a request without an answer at its time is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Unanswered {
    /// A breach of the first rule.
    Breach,
    /// Failed, and not lost: where crowds and rude clients fill a node's descriptors.
    Failed,
}

/// How it is judged.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Judge {
    /// What a request without an answer at its time is taken for.
    pub unanswered: Unanswered,
    /// Past this lateness of the kit itself, at its 99th percentile, there is no verdict.
    pub late_most: Span,
}

impl Default for Judge {
    fn default() -> Self {
        Judge { unanswered: Unanswered::Breach, late_most: Span::ms(25) }
    }
}

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Boxes take requests and answer none.
    Hang,
    /// Boxes answer a share of requests 500 at once.
    FailFast,
    /// Connections of a share of requests are reset once these have come whole.
    Resets,
    /// A share of answers is spoilt.
    Spoil,
    /// Work takes `times` as long.
    Slow,
    /// Boxes stop at a stroke, and start again, cold, at the end.
    Stop,
    /// Boxes restart, cold, one after the other within the span.
    Restarts,
    /// Boxes drain, one after the other; each is gone a second later and back, cold, after two more.
    Drains,
    /// Operators hold boxes out by hand at all nodes, one after the other; each restarts a second later and is brought
    /// back, cold, after two more. Discovery goes on listing it.
    HeldOut,
    /// Calls to the counter take `times` as long.
    CounterSlow,
    /// The counter takes calls in and answers none.
    CounterSilent,
    /// The counter turns all calls away.
    CounterRefuses,
    /// The counter resets all connections.
    CounterDown,
    /// The counter loses a share of its names.
    CounterLoses,
    /// A new, empty counter takes the old one's place, by SIGHUP.
    CounterMoves,
    /// Discovery is down.
    DiscoverySilent,
    /// Changes reach the agents `by` later.
    DiscoveryLate,
    /// The agents move, by SIGHUP.
    DiscoveryMoves,
    /// A share of requests gathers on the busiest node of its biller.
    Gather,
    /// A share of billers shifts its traffic to others of its nodes at a stroke.
    Shift,
    /// A node is killed, and started again at the end.
    NodeKill,
    /// Nodes are restarted one after the other, each by SIGTERM.
    NodeRestarts,
    /// Nodes are replaced one after the other: the next process starts beside the old one on the same listening socket, and
    /// once it says yes the old one is told to stop.
    Upgrade,
    /// The same, with next processes that fail: one dies before its yes, one says yes and dies, one never says yes.
    UpgradeFails,
    /// A third process starts while the second is on its way.
    UpgradeInUpgrade,
    /// By SIGHUP a class is added and attempts get fewer; clients use the class 1.2 s later. Halfway the file is cut in two,
    /// and at the end the class is dropped.
    Retune,
    /// Each process of a node stands still for `by`, `times` a second, as one does that gets a small part of a core.
    Still,
    /// Rude clients, `times` a second.
    Rude,
    /// Idle connections, `times` a second, that say nothing until the node closes them.
    Silent,
}

impl Kind {
    /// Whether processes of one node follow each other on one listening socket.
    pub fn hands_on(self) -> bool {
        matches!(self, Kind::Upgrade | Kind::UpgradeFails | Kind::UpgradeInUpgrade)
    }

    /// Whether operators call at the nodes.
    pub fn by_hand(self) -> bool {
        self.hands_on() || matches!(self, Kind::HeldOut | Kind::Retune)
    }

    /// Its name, as scenarios have it.
    pub fn name(self) -> String {
        let text = format!("{self:?}");
        let mut name = String::new();
        for (n, c) in text.chars().enumerate() {
            if c.is_uppercase() && n > 0 {
                name.push('_');
            }
            name.push(c.to_ascii_lowercase());
        }
        name
    }

    /// Which of the keys beside `at`, `for` and `kind` it takes: those it needs, and those it may have.
    fn keys(self) -> (&'static [&'static str], &'static [&'static str]) {
        use Kind::*;
        match self {
            Hang | Stop | Restarts | Drains | HeldOut => (&[], &["boxes", "hall"]),
            FailFast | Resets | Spoil => (&["share"], &["boxes", "hall"]),
            Slow => (&["times"], &["boxes", "hall"]),
            CounterSlow => (&["times"], &[]),
            CounterSilent | CounterRefuses | CounterDown | CounterMoves => (&[], &[]),
            CounterLoses => (&["share"], &[]),
            DiscoverySilent | DiscoveryMoves => (&[], &[]),
            DiscoveryLate => (&["by"], &[]),
            Gather | Shift => (&["share"], &[]),
            NodeKill => (&[], &["node"]),
            NodeRestarts | Upgrade | UpgradeFails | UpgradeInUpgrade | Retune => (&[], &[]),
            Still => (&["times", "by"], &[]),
            Rude | Silent => (&["times"], &[]),
        }
    }
}

/// A fault.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// What goes wrong.
    pub kind: Kind,
    /// When, from the start of the load.
    pub at: Span,
    /// For how long. What happens at a stroke takes none.
    #[serde(default, rename = "for")]
    pub span: Option<Span>,
    /// How many boxes, drawn by lot: all where this is left out.
    pub boxes: Option<u32>,
    /// The hall they stand in.
    pub hall: Option<String>,
    /// The share of requests, billers or names.
    pub share: Option<f64>,
    /// How many times as long, or how many a second.
    pub times: Option<f64>,
    /// By how much.
    pub by: Option<Span>,
    /// Which node, from 0.
    pub node: Option<u32>,
}

impl Fault {
    /// For how long, if it lasts.
    pub fn lasts(&self) -> std::time::Duration {
        self.span.map_or(std::time::Duration::ZERO, |s| s.0)
    }
}

impl Scenario {
    /// Reads and checks a scenario.
    pub fn read(path: &Path) -> Result<Scenario, FileError> {
        let mut scenario: Scenario = strict::read(path)?;
        if let Some(replay) = &mut scenario.load.replay {
            *replay = path.parent().unwrap_or(Path::new(".")).join(&replay);
        }
        Ok(scenario)
    }

    /// Reads and checks a bundled scenario by its name; none is called so.
    pub fn bundled(name: &str) -> Option<Result<Scenario, FileError>> {
        let (name, text) = BUNDLED.iter().find(|(n, _)| *n == name)?;
        Some(strict::parse(Path::new(&format!("{name}.toml")), text))
    }
}

impl Checked for Scenario {
    fn refused(&self) -> Option<(String, String)> {
        let (fleet, load) = (&self.fleet, &self.load);
        let share = |key: &str, value: f64| within(key, value, 0.0, 1.0);
        within("seconds", self.seconds, 1, SECONDS_MOST)
            .or_else(|| within("fleet.boxes", fleet.boxes, 1, BOXES_MOST))
            .or_else(|| within("fleet.nodes", fleet.nodes, 1, NODES_MOST))
            .or_else(|| within("fleet.halls (their number)", fleet.halls.len(), 1, 8))
            .or_else(|| within("fleet.work", fleet.work, 0.0001, 100.0))
            .or_else(|| within("fleet.room", fleet.room, 0, 1_000))
            .or_else(|| within("fleet.connections", fleet.connections, 1, 100_000))
            .or_else(|| within("fleet.sockets", fleet.sockets, 64, 65_536))
            .or_else(|| within("load.rate", load.rate, 0.1, 50_000.0))
            .or_else(|| self.shape())
            .or_else(|| self.surge())
            .or_else(|| share("load.over", load.over))
            .or_else(|| share("load.spiky", load.spiky))
            .or_else(|| share("load.uneven", load.uneven))
            .or_else(|| within("clients.retries", self.clients.retries, 0, 5))
            .or_else(|| share("clients.honour", self.clients.honour))
            .or_else(|| within("counter.parts", self.counter.parts, 1, 16))
            .or_else(|| within("counter.calls_a_second", self.counter.calls_a_second, 1.0, 1e7))
            .or_else(|| self.fault.iter().enumerate().find_map(|(n, f)| self.fault_refused(n, f)))
    }
}

impl Scenario {
    fn shape(&self) -> Option<(String, String)> {
        let shape = &self.load.shape;
        let wrong = |why: &str| Some(("load.shape".to_string(), why.to_string()));
        if shape.is_empty() {
            return wrong("at least one pair of a time in seconds and a factor is wanted");
        }
        if shape.windows(2).any(|w| !matches!(w[0].0.partial_cmp(&w[1].0), Some(std::cmp::Ordering::Less))) {
            return wrong("times that grow are wanted");
        }
        if shape.iter().any(|(at, factor)| !(*at >= 0.0 && (0.0..=100.0).contains(factor))) {
            return wrong("times from 0 on and factors from 0 to 100 are wanted");
        }
        None
    }

    fn surge(&self) -> Option<(String, String)> {
        self.load.surge.iter().enumerate().find_map(|(n, surge)| {
            let known = PLANS.contains(&surge.plan.as_str());
            let unknown = || {
                let why = format!("one of {PLANS:?} is wanted, not {:?}", surge.plan);
                (!known).then(|| (format!("load.surge[{n}].plan"), why))
            };
            within(format!("load.surge[{n}].times"), surge.times, 0.0, 100.0).or_else(unknown)
        })
    }

    fn fault_refused(&self, number: usize, fault: &Fault) -> Option<(String, String)> {
        let key = |name: &str| format!("fault[{number}].{name}");
        let kind = fault.kind.name();
        let (needs, may) = fault.kind.keys();
        let has = [
            ("boxes", fault.boxes.is_some()),
            ("hall", fault.hall.is_some()),
            ("share", fault.share.is_some()),
            ("times", fault.times.is_some()),
            ("by", fault.by.is_some()),
            ("node", fault.node.is_some()),
        ];
        for (name, has) in has {
            if !has && needs.contains(&name) {
                return Some((key(name), format!("{kind} needs it")));
            }
            if has && !needs.contains(&name) && !may.contains(&name) {
                return Some((key(name), format!("{kind} takes none")));
            }
        }
        if fault.at.0.as_secs_f64() >= f64::from(self.seconds) {
            return Some((key("at"), format!("a time within the {} s of the load is wanted", self.seconds)));
        }
        if let Some(hall) = fault.hall.as_ref().filter(|h| !self.fleet.halls.contains(h)) {
            return Some((key("hall"), format!("one of {:?} is wanted, not {hall:?}", self.fleet.halls)));
        }
        if let Some(refused) = fault.node.and_then(|n| within(key("node"), n, 0, self.fleet.nodes - 1)) {
            return Some(refused);
        }
        let boxes = fault.boxes.and_then(|n| within(key("boxes"), n, 1, self.fleet.boxes));
        boxes
            .or_else(|| fault.share.and_then(|s| within(key("share"), s, 0.0, 1.0)))
            .or_else(|| fault.times.and_then(|t| within(key("times"), t, 0.01, 10_000.0)))
    }
}

macro_rules! bundled {
    ($($name:literal),* $(,)?) => {
        /// The scenarios that come with the kit: name and text.
        pub const BUNDLED: &[(&str, &str)] = &[$(($name, include_str!(concat!("../scenarios/", $name, ".toml")))),*];
    };
}

bundled![
    "calm",
    "rush",
    "boxes-hang",
    "boxes-fail-fast",
    "resets",
    "spoilt-answers",
    "hall-lost",
    "cold-restarts",
    "power-cut",
    "drains",
    "held-out",
    "counter-slow",
    "counter-silent",
    "counter-refuses",
    "counter-loses",
    "counter-moved",
    "discovery-silent",
    "discovery-late",
    "gathered",
    "shifted",
    "nodes-killed",
    "nodes-restarted",
    "upgrade",
    "upgrade-fails",
    "upgrade-in-upgrade",
    "retune",
    "rude-clients",
    "ceiling-pressed",
    "bad-hour",
    "whole-fleet",
    "capacity",
];

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> Result<Scenario, String> {
        strict::parse(Path::new("s.toml"), text).map_err(|e| e.to_string())
    }

    #[test]
    fn all_bundled_scenarios_are_valid_and_each_kind_of_fault_is_in_one() {
        let mut kinds = std::collections::BTreeSet::new();
        for (name, _) in BUNDLED {
            let scenario = Scenario::bundled(name).expect("bundled").unwrap_or_else(|e| panic!("{e}"));
            kinds.extend(scenario.fault.iter().map(|f| f.kind.name()));
        }
        assert!(kinds.len() >= 22, "{kinds:?}");
        assert!(Scenario::bundled("no-such").is_none());
    }

    #[test]
    fn what_is_wrong_with_a_scenario_is_named_by_key() {
        let head = "title = \"t\"\nseconds = 10\n";
        let fault = |rest: &str| format!("{head}[[fault]]\nat = \"1s\"\n{rest}\n");
        let rows = [
            ("seconds = 10\n".to_string(), "missing field `title`"),
            ("title = \"t\"\nseconds = 0\n".into(), "s.toml: seconds: 1 to 3600 is wanted, not 0"),
            (format!("{head}[fleet]\nboxs = 3\n"), "s.toml:4: fleet.boxs: unknown field `boxs`"),
            (format!("{head}[load]\nshape = []\n"), "load.shape: at least one pair"),
            (format!("{head}[load]\nuneven = 1.5\n"), "load.uneven: 0 to 1 is wanted, not 1.5"),
            (format!("{head}[fleet]\nnodes = 65\n"), "fleet.nodes: 1 to 64 is wanted, not 65"),
            (format!("{head}[load]\nshape = [[3, 1], [1, 2]]\n"), "load.shape: times that grow"),
            (
                format!("{head}[[load.surge]]\nat = \"1s\"\nfor = \"1s\"\nplan = \"gold\"\ntimes = 2\n"),
                "load.surge[0].plan: one of [\"basic\"",
            ),
            (fault("kind = \"hangs\""), "fault[0].kind: unknown variant `hangs`"),
            (fault("kind = \"resets\""), "fault[0].share: resets needs it"),
            (fault("kind = \"hang\"\nshare = 0.5"), "fault[0].share: hang takes none"),
            (fault("kind = \"hang\"\nboxes = 13"), "fault[0].boxes: 1 to 12 is wanted, not 13"),
            (
                fault("kind = \"hang\"\nhall = \"x\""),
                "fault[0].hall: one of [\"hall-a\", \"hall-b\"] is wanted",
            ),
            (fault("kind = \"node_kill\"\nnode = 3"), "fault[0].node: 0 to 2 is wanted, not 3"),
            (fault("kind = \"hang\"\nfor = 3"), "fault[0].for: wanted a time with its unit"),
            (
                format!("{head}[[fault]]\nat = \"10s\"\nkind = \"hang\"\n"),
                "fault[0].at: a time within the 10 s",
            ),
        ];
        for (text, wanted) in rows {
            let error = parse(&text).expect_err(&text);
            assert!(error.contains(wanted), "{error:?} lacks {wanted:?}");
        }
    }
}
