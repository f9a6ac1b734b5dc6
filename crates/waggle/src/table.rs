//! Lists for people, in aligned columns, and for machines, as JSON.

use serde::ser::{SerializeMap, SerializeSeq};
use serde::{Serialize, Serializer};

/// One value of a list.
#[derive(Debug, Clone, PartialEq)]
pub enum Cell {
    /// Not known.
    None,
    /// A text.
    Text(String),
    /// A whole number.
    Whole(u64),
    /// Yes or no.
    Flag(bool),
    /// Figures by name.
    Figures(Vec<(String, f64)>),
}

impl From<&str> for Cell {
    fn from(text: &str) -> Cell {
        Cell::Text(text.into())
    }
}

impl From<Option<&str>> for Cell {
    fn from(text: Option<&str>) -> Cell {
        text.map_or(Cell::None, Cell::from)
    }
}

impl Cell {
    fn shown(&self) -> String {
        match self {
            Cell::None => "-".into(),
            // What others named must not move the cursor.
            Cell::Text(text) => plain(text),
            Cell::Whole(number) => number.to_string(),
            Cell::Flag(flag) => if *flag { "yes" } else { "no" }.into(),
            Cell::Figures(all) => {
                let all = all.iter().map(|(name, value)| format!("{}={value}", plain(name)));
                all.collect::<Vec<_>>().join(" ")
            }
        }
    }
}

/// A text without control characters.
pub fn plain(text: &str) -> String {
    text.chars().map(|c| if c.is_control() { '?' } else { c }).collect()
}

impl Serialize for Cell {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        match self {
            Cell::None => to.serialize_none(),
            Cell::Text(text) => to.serialize_str(text),
            Cell::Whole(number) => to.serialize_u64(*number),
            Cell::Flag(flag) => to.serialize_bool(*flag),
            Cell::Figures(all) => to.collect_map(all.iter().map(|(name, value)| (name, value))),
        }
    }
}

/// A list.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    /// Its name.
    pub name: &'static str,
    /// The names of its columns.
    pub columns: Vec<&'static str>,
    /// Its rows, each with one value a column.
    pub rows: Vec<Vec<Cell>>,
}

impl Table {
    /// An empty list.
    pub fn new(name: &'static str, columns: &[&'static str]) -> Table {
        Table { name, columns: columns.to_vec(), rows: Vec::new() }
    }

    /// In aligned columns.
    pub fn shown(&self) -> String {
        let head = self.columns.iter().map(|name| name.to_uppercase()).collect();
        let rows = self.rows.iter().map(|row| row.iter().map(Cell::shown).collect());
        let lines: Vec<Vec<String>> = [head].into_iter().chain(rows).collect();
        let width = |n: usize| lines.iter().filter_map(|l| l.get(n)).map(|t| t.chars().count()).max();
        let widths: Vec<usize> = (0..self.columns.len()).map(|n| width(n).unwrap_or(0)).collect();
        let mut out = String::new();
        for line in &lines {
            let padded = line.iter().zip(&widths).map(|(text, &width)| format!("{text:width$}"));
            out.push_str(padded.collect::<Vec<_>>().join("  ").trim_end());
            out.push('\n');
        }
        out
    }
}

struct Row<'a>(&'a [&'static str], &'a [Cell]);

impl Serialize for Row<'_> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_map(self.0.iter().zip(self.1))
    }
}

struct Rows<'a>(&'a Table);

impl Serialize for Rows<'_> {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let mut list = to.serialize_seq(Some(self.0.rows.len()))?;
        for row in &self.0.rows {
            list.serialize_element(&Row(&self.0.columns, row))?;
        }
        list.end()
    }
}

/// What a job found: lists, and what is to be said of them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// The lists.
    pub tables: Vec<Table>,
    /// What else is told: name, value.
    pub said: Vec<(&'static str, Cell)>,
    /// Why it is not all, one reason each; none: it is.
    pub missing: Vec<String>,
}

impl Serialize for Report {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        let mut map = to.serialize_map(None)?;
        map.serialize_entry("partial", &!self.missing.is_empty())?;
        map.serialize_entry("missing", &self.missing)?;
        for table in &self.tables {
            map.serialize_entry(table.name, &Rows(table))?;
        }
        for (name, value) in &self.said {
            map.serialize_entry(name, value)?;
        }
        map.end()
    }
}

impl Report {
    /// As it is printed.
    pub fn shown(&self, json: bool) -> String {
        if json {
            return sonic_rs::to_string(self).unwrap_or_default() + "\n";
        }
        let tables: Vec<String> = self.tables.iter().map(Table::shown).collect();
        let mut out = tables.join("\n");
        for (name, value) in &self.said {
            out.push_str(&format!("{name}: {}\n", value.shown()));
        }
        for why in &self.missing {
            out.push_str(&format!("partial: {}\n", plain(why)));
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use googletest::prelude::*;

    use super::*;

    #[gtest]
    fn columns_are_aligned_and_json_keeps_their_names() {
        let mut table = Table::new("bees", &["name", "age", "up"]);
        table.rows.push(vec!["a\u{1b}b".into(), Cell::Whole(7), Cell::Flag(true)]);
        table.rows.push(vec!["longer".into(), Cell::None, Cell::Figures(vec![("x".into(), 1.0)])]);
        let mut report = Report { tables: vec![table], ..Report::default() };
        let text = "NAME    AGE  UP\na?b     7    yes\nlonger  -    x=1\n";
        expect_that!(report.shown(false), eq(text));
        report.missing.push("one is away".into());
        expect_that!(report.shown(false), ends_with("partial: one is away\n"));
        let json = report.shown(true);
        expect_that!(json, starts_with(r#"{"partial":true,"missing":["one is away"],"bees":[{"name":"#));
        expect_that!(json, contains_substring(r#""age":null,"up":{"x":1.0}"#));
    }
}
