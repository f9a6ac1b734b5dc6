//! The file of alert rules (TOML), read strictly.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use pinerelay_config_state::duration;
use pinerelay_node_runtime::settings::FileError;
use serde::de::{Error as _, Unexpected, Visitor};
use serde::{Deserialize, Deserializer};
use toml::Value;

use crate::figures;

/// Figures come this often, so a rate is over at least two of them.
const OVER_LEAST: Duration = Duration::from_secs(4);
/// No time is longer: figures of a window are kept.
const LONGEST: Duration = Duration::from_secs(3_600);
/// No file has more rules.
const RULES_MOST: usize = 200;

/// What of a figure is compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reads {
    /// What it is now.
    Value,
    /// By how much it has grown within this time, for each second of it.
    Rate(Duration),
}

/// On which side of the threshold trouble lies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Compare {
    /// Over it.
    Above,
    /// Under it.
    Below,
}

/// Whose troubles make one alert.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Group {
    /// All processes'.
    All,
    /// Those of a zone.
    Zone,
    /// Those of a program.
    Role,
    /// Those of a machine.
    Node,
}

/// How much it matters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// Somebody has to look at once.
    Page,
    /// Somebody has to look today.
    Ticket,
}

/// One rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Rule {
    /// Its name, one of a kind.
    pub name: String,
    /// The figure.
    pub figure: &'static str,
    /// What of it is compared.
    pub reads: Reads,
    /// On which side trouble lies.
    pub compare: Compare,
    /// Past this it is trouble.
    pub raise: f64,
    /// Not past this it is none any more.
    pub clear: f64,
    /// Trouble lasts so long before the alert is raised.
    pub hold: Duration,
    /// And calm before it is cleared.
    pub calm: Duration,
    /// Whose troubles make one alert.
    pub group: Group,
    /// How much it matters.
    pub severity: Severity,
    /// Its heading in the operators' page of alerts, as a link names it.
    pub page: String,
}

/// A time with its unit.
struct Time(Duration);

impl<'de> Deserialize<'de> for Time {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Wanted;
        impl Visitor<'_> for Wanted {
            type Value = Time;

            fn expecting(&self, to: &mut std::fmt::Formatter) -> std::fmt::Result {
                to.write_str("a time with its unit, such as \"1500ms\" or \"2.5s\"")
            }

            fn visit_str<E: serde::de::Error>(self, text: &str) -> Result<Time, E> {
                let wrong = || E::invalid_value(Unexpected::Str(text), &self);
                duration::parse_duration(text).map(Time).ok_or_else(wrong)
            }
        }
        from.deserialize_any(Wanted)
    }
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    alert: Vec<Written>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Written {
    name: String,
    figure: Figure,
    rate_over: Option<Time>,
    compare: Compare,
    raise: Value,
    clear: Value,
    hold: Time,
    calm: Time,
    group: Group,
    severity: Severity,
    page: String,
}

/// A figure that is known.
struct Figure(&'static str);

impl<'de> Deserialize<'de> for Figure {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let name = String::deserialize(from)?;
        let wanted = "a figure of the table in docs/design/observing.md, without pinerelay_";
        let wrong = || D::Error::invalid_value(Unexpected::Str(&name), &wanted);
        figures::known(&name).map(Figure).ok_or_else(wrong)
    }
}

/// A threshold: a time for what is a time, else a number.
fn threshold(value: &Value, time: bool) -> Result<f64, String> {
    if time {
        let found = value.as_str().and_then(duration::parse_duration);
        let wanted = "a time with its unit, such as \"1500ms\" or \"2.5s\", is wanted for this figure";
        return found.map(|found| found.as_secs_f64()).ok_or_else(|| format!("{wanted}, not {value}"));
    }
    let found = value.as_float().or(value.as_integer().map(|n| n as f64)).filter(|n| n.is_finite());
    found.ok_or_else(|| format!("a number is wanted for this figure, not {value}"))
}

impl Written {
    fn judge(self) -> Result<Rule, (&'static str, String)> {
        let plain = |text: &str, extra| {
            let letter = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b == extra;
            !text.is_empty() && text.len() <= 48 && text.bytes().all(letter)
        };
        if !plain(&self.name, b'_') {
            return Err(("name", "lower-case letters, digits and _ are wanted, 48 at the most".into()));
        }
        if !plain(&self.page, b'-') {
            return Err(("page", "the heading's anchor in docs/operate/alerts.md is wanted".into()));
        }
        let Figure(figure) = self.figure;
        let counts = figures::counts(figure);
        let reads = match self.rate_over {
            None if counts => {
                return Err(("rate_over", format!("a time is wanted: {figure} only grows")));
            }
            Some(_) if !counts => {
                return Err(("rate_over", format!("not wanted: {figure} does not count")));
            }
            Some(Time(over)) if over < OVER_LEAST || over > LONGEST => {
                return Err(("rate_over", "a time from 4s to 3600s is wanted".into()));
            }
            Some(Time(over)) => Reads::Rate(over),
            None => Reads::Value,
        };
        for (key, Time(time)) in [("hold", &self.hold), ("calm", &self.calm)] {
            if *time > LONGEST {
                return Err((key, "a time up to 3600s is wanted".into()));
            }
        }
        let time = reads == Reads::Value && figures::is_time(figure);
        let raise = threshold(&self.raise, time).map_err(|why| ("raise", why))?;
        let clear = threshold(&self.clear, time).map_err(|why| ("clear", why))?;
        let fits = match self.compare {
            Compare::Above => clear <= raise,
            Compare::Below => clear >= raise,
        };
        if !fits {
            return Err(("clear", "it lies beyond raise: the side without trouble is wanted".into()));
        }
        Ok(Rule {
            name: self.name,
            figure,
            reads,
            compare: self.compare,
            raise,
            clear,
            hold: self.hold.0,
            calm: self.calm.0,
            group: self.group,
            severity: self.severity,
            page: self.page,
        })
    }
}

/// Reads a file.
pub fn read(path: &Path) -> Result<Vec<Rule>, FileError> {
    let text =
        std::fs::read_to_string(path).map_err(|error| FileError::Unreadable { path: path.into(), error })?;
    parse(path, &text)
}

/// Reads the text of a file.
pub fn parse(path: &Path, text: &str) -> Result<Vec<Rule>, FileError> {
    let unfit = |key: String, why: String| FileError::Invalid { path: path.into(), key, reason: why };
    let parsed = toml::Deserializer::parse(text).map_err(|e| unfit(".".into(), e.message().into()))?;
    let file: File = serde_path_to_error::deserialize(parsed)
        .map_err(|e| unfit(e.path().to_string(), e.inner().message().into()))?;
    if file.alert.len() > RULES_MOST {
        return Err(unfit("alert".into(), format!("{RULES_MOST} rules at the most are wanted")));
    }
    let (mut rules, mut names) = (Vec::new(), BTreeSet::new());
    for (number, written) in file.alert.into_iter().enumerate() {
        let at = |key| format!("alert[{number}].{key}");
        let rule = written.judge().map_err(|(key, why)| unfit(at(key), why))?;
        if !names.insert(rule.name.clone()) {
            return Err(unfit(at("name"), format!("another rule is called {:?}, too", rule.name)));
        }
        rules.push(rule);
    }
    Ok(rules)
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;
    use proptest::prelude::*;

    use super::*;

    const FILE: &str = r#"
[[alert]]
name = "news_late"
figure = "proxy_update_age_seconds"
compare = "above"
raise = "4s"
clear = "2s"
hold = "1500ms"
calm = "6s"
group = "zone"
severity = "page"
page = "news-late"
"#;

    fn why(from: &str, to: &str) -> String {
        match parse(Path::new("r.toml"), &FILE.replace(from, to)) {
            Ok(rules) => format!("taken: {rules:?}"),
            Err(error) => error.to_string(),
        }
    }

    #[gtest]
    fn what_is_wrong_is_told_by_file_key_and_what_is_wanted() {
        let rule = &parse(Path::new("r.toml"), FILE).expect("rules")[0];
        expect_that!((rule.raise, rule.clear, rule.reads), eq((4.0, 2.0, Reads::Value)));
        let at = |key: &str| starts_with(format!("r.toml: alert[0].{key}: "));
        let all = |key, what: &'static str| at(key).and(contains_substring(what));
        expect_that!(why("\"1500ms\"", "1500"), all("hold", "a time with its unit"));
        expect_that!(why("\"1500ms\"", "\"soon\""), all("hold", "a time with its unit"));
        expect_that!(why("\"4s\"", "4"), all("raise", "a time with its unit"));
        expect_that!(why("\"4s\"", "\"1s\""), all("clear", "the side without trouble"));
        expect_that!(why("update_age", "mood"), all("figure", "docs/design/observing.md"));
        expect_that!(why("calm", "clam"), contains_substring("unknown field `clam`"));
        expect_that!(why("\"zone\"", "\"rack\""), all("group", "`zone`"));
        expect_that!(why("compare = \"above\"", ""), contains_substring("missing field `compare`"));
        expect_that!(why("name = \"news_late\"", "name = \"News\""), all("name", "lower-case"));
        expect_that!(why("page = \"news-late\"", "page = \"\""), all("page", "alerts.md"));
        expect_that!(why("hold", "rate_over = \"9s\"\nhold"), all("rate_over", "does not count"));
        expect_that!(why("proxy_update_age_seconds", "starts_total"), all("rate_over", "only grows"));
        expect_that!(why("[[alert]]", "[[alarm]]"), contains_substring("unknown field `alarm`"));
        expect_that!(why("[[alert]]", "[[alert"), starts_with("r.toml: .: "));
        let twice = format!("{FILE}{FILE}");
        let twice = parse(Path::new("r.toml"), &twice).expect_err("two of a name").to_string();
        expect_that!(twice, starts_with("r.toml: alert[1].name: "));
    }

    proptest! {
        #[test]
        fn no_text_makes_it_panic(at in 0..FILE.len(), byte: u8, cut in 0..FILE.len()) {
            let mut spoilt = FILE.as_bytes().to_vec();
            spoilt[at] = byte;
            let _ = parse(Path::new("r.toml"), &String::from_utf8_lossy(&spoilt));
            let _ = parse(Path::new("r.toml"), &FILE[..cut]);
        }
    }
}
