//! The operator's file: settings in addition to the platform's configuration, read strictly.

use std::path::Path;

use pinerelay_store_redis::server::Settings as Redis;
use serde::Deserialize;

use crate::strict::{self, within, Checked, FileError, Span};

/// All operator settings. Omitted keys have the same defaults as without a file.
#[derive(Debug, Clone, PartialEq, Deserialize, Default)]
#[serde(deny_unknown_fields, default)]
pub struct Operator {
    /// Settings for clients' connections.
    pub front: Front,
    /// Settings for the quota counter.
    pub counter: CounterPart,
    /// Redis as the store of the shared counts; without it the quota counter is used.
    pub redis: Option<Redis>,
    /// The planned stop.
    pub stop: Stop,
}

/// Settings for clients' connections.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Front {
    /// Listen backlog, in connections: 1 to 65,535.
    pub backlog: u32,
    /// The share of the descriptors that clients may hold: 0.1 to 0.9.
    pub client_share: f64,
    /// How long a head may take, from connecting or from its first byte: 100 ms to 60 s.
    pub head_wait: Span,
    /// How long a body may take then: 100 ms to 60 s.
    pub body_wait: Span,
}

/// Settings for the quota counter.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CounterPart {
    /// Connections to it: 1 to 32, which is the most it accepts of one node.
    pub connections: usize,
}

/// The planned stop, counted from SIGTERM.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Idle connections are closed after this: new ones may still arrive for 0.4 s, and a client whose request crosses
    /// the close can still reconnect. 0 to 10 s.
    pub idle_after: Span,
    /// The listener is closed this long after that. 0 to 10 s.
    pub deaf_after: Span,
    /// Requests still open after this (or the longest deadline, if that is less) plus 0.3 s are failed. Up to 10 min;
    /// more than the two above together.
    pub patience: Span,
}

impl Default for Front {
    fn default() -> Self {
        Front { backlog: 1024, client_share: 0.6, head_wait: Span::ms(2_200), body_wait: Span::ms(1_500) }
    }
}

impl Default for CounterPart {
    fn default() -> Self {
        CounterPart { connections: 4 }
    }
}

impl Default for Stop {
    fn default() -> Self {
        let part = Span::ms(450);
        Stop { idle_after: part, deaf_after: part, patience: Span::ms(3_000) }
    }
}

impl Operator {
    /// Reads and checks an operator's file.
    pub fn read(path: &Path) -> Result<Self, FileError> {
        strict::read(path)
    }
}

impl Checked for Operator {
    /// Returns the first key that is out of range or contradicts another, and what is expected.
    fn refused(&self) -> Option<(String, String)> {
        let stop = &self.stop;
        let closed = stop.idle_after.0 + stop.deaf_after.0;
        let short = || {
            let why = format!(
                "more than stop.idle_after and stop.deaf_after together ({}) is wanted, not {}",
                Span(closed),
                stop.patience
            );
            (stop.patience.0 <= closed).then(|| ("stop.patience".into(), why))
        };
        within("front.backlog", self.front.backlog, 1, 65_535)
            .or_else(|| within("front.client_share", self.front.client_share, 0.1, 0.9))
            .or_else(|| within("front.head_wait", self.front.head_wait, Span::ms(100), Span::ms(60_000)))
            .or_else(|| within("front.body_wait", self.front.body_wait, Span::ms(100), Span::ms(60_000)))
            .or_else(|| within("counter.connections", self.counter.connections, 1, 32))
            .or_else(|| self.redis.as_ref()?.unfit().map(|u| (format!("redis.{}", u.key), u.why)))
            .or_else(|| within("stop.idle_after", stop.idle_after, Span::ms(0), Span::ms(10_000)))
            .or_else(|| within("stop.deaf_after", stop.deaf_after, Span::ms(0), Span::ms(10_000)))
            .or_else(|| within("stop.patience", stop.patience, Span::ms(1), Span::ms(600_000)))
            .or_else(short)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(text: &str) -> Result<Operator, String> {
        strict::parse(Path::new("operator.toml"), text).map_err(|e| e.to_string())
    }

    #[test]
    fn an_empty_file_is_the_default_and_a_value_changes_only_its_own_key() {
        assert_eq!(parse(""), Ok(Operator::default()));
        let mut changed = Operator::default();
        changed.stop.patience = Span::ms(4_000);
        assert_eq!(parse("[stop]\npatience = \"4s\"\n"), Ok(changed));
    }

    #[test]
    fn errors_name_the_file_line_key_and_expected_value() {
        // Rows: an unknown table, an unknown key, a bare number and a wrong unit where a time is wanted, a wrong
        // type, no TOML, a duplicate key, values out of range, and two that contradict each other.
        let rows = [
            ("[fronts]\n", &["operator.toml:1", "unknown field `fronts`", "front"][..]),
            ("[front]\nbacklogs = 1\n", &["operator.toml:2", "front.backlogs: unknown field", "`backlog`"]),
            (
                "[front]\nhead_wait = 1500\n",
                &["operator.toml:2: front.head_wait: wanted a time with its unit"],
            ),
            ("[stop]\npatience = \"3 s\"\n", &["operator.toml:2: stop.patience: wanted a time", "\"3 s\""]),
            ("[counter]\nconnections = \"4\"\n", &["operator.toml:2: counter.connections: ", "usize"]),
            ("[front\n", &["operator.toml:1: "]),
            ("[stop]\npatience = \"3s\"\npatience = \"4s\"\n", &["operator.toml:3", "duplicate key"]),
            (
                "[front]\nclient_share = 1.5\n",
                &["operator.toml: front.client_share: 0.1 to 0.9 is wanted, not 1.5"],
            ),
            ("[front]\nclient_share = nan\n", &["front.client_share: 0.1 to 0.9 is wanted, not NaN"]),
            (
                "[counter]\nconnections = 33\n",
                &["operator.toml: counter.connections: 1 to 32 is wanted, not 33"],
            ),
            ("[redis]\nprefix = \"a\"\n", &["operator.toml:1: redis: missing field `url`"]),
            ("[redis]\nurl = \"redis://a\"\nport = 1\n", &["operator.toml:3", "redis.port: unknown field"]),
            ("[redis]\nurl = \"http://a\"\n", &["operator.toml: redis.url: redis://HOST[:PORT][/DATABASE]"]),
            ("[redis]\nurl = \"redis://a\"\nresp = 1\n", &["redis.resp: 2 or 3 is wanted, not 1"]),
            ("[stop]\npatience = \"900ms\"\n", &["stop.patience: more than stop.idle_after", "(900ms)"]),
        ];
        for (text, wanted) in rows {
            let error = parse(text).expect_err(text);
            assert!(!error.contains('\n'), "one line: {error}");
            for part in wanted {
                assert!(error.contains(part), "{text:?}: {error:?} lacks {part:?}");
            }
        }
    }

    #[test]
    fn the_example_file_matches_the_defaults() {
        let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.example.toml");
        let text = std::fs::read_to_string(example).expect("the example");
        assert_eq!(parse(&text), Ok(Operator::default()));
    }
}
