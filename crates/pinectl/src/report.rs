//! Renders reports as text, in aligned columns, and as JSON.

use serde::ser::{SerializeMap, SerializeSeq};
use serde::{Serialize, Serializer};

#[cfg(test)]
mod tests;

/// A value in a table.
#[derive(Debug, Clone, PartialEq)]
pub enum Cell {
    /// The value is unknown.
    None,
    /// Text.
    Text(String),
    /// An integer.
    Integer(u64),
    /// A boolean, shown as yes or no.
    Flag(bool),
    /// Metrics by name.
    Metrics(Vec<(String, f64)>),
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
    fn to_text(&self) -> String {
        match self {
            Cell::None => "-".into(),
            // The text may come from other processes and must not control the terminal.
            Cell::Text(text) => without_control_characters(text),
            Cell::Integer(number) => number.to_string(),
            Cell::Flag(flag) => if *flag { "yes" } else { "no" }.into(),
            Cell::Metrics(metrics) => {
                let texts = metrics
                    .iter()
                    .map(|(name, value)| format!("{}={value}", without_control_characters(name)));
                texts.collect::<Vec<_>>().join(" ")
            }
        }
    }
}

/// Replaces control characters with `?`.
pub fn without_control_characters(text: &str) -> String {
    text.chars().map(|character| if character.is_control() { '?' } else { character }).collect()
}

impl Serialize for Cell {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Cell::None => serializer.serialize_none(),
            Cell::Text(text) => serializer.serialize_str(text),
            Cell::Integer(number) => serializer.serialize_u64(*number),
            Cell::Flag(flag) => serializer.serialize_bool(*flag),
            Cell::Metrics(metrics) => {
                serializer.collect_map(metrics.iter().map(|(name, value)| (name, value)))
            }
        }
    }
}

/// A named table.
#[derive(Debug, Clone, PartialEq)]
pub struct Table {
    /// The key of the table in JSON.
    pub name: &'static str,
    /// The column names.
    pub columns: Vec<&'static str>,
    /// The rows, each with one value per column.
    pub rows: Vec<Vec<Cell>>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(name: &'static str, columns: &[&'static str]) -> Table {
        Table { name, columns: columns.to_vec(), rows: Vec::new() }
    }

    /// Renders the table as text with a header line and aligned columns.
    pub fn to_text(&self) -> String {
        let head = self.columns.iter().map(|name| name.to_uppercase()).collect();
        let rows = self.rows.iter().map(|row| row.iter().map(Cell::to_text).collect());
        let lines: Vec<Vec<String>> = [head].into_iter().chain(rows).collect();
        let width = |column: usize| {
            lines.iter().filter_map(|line| line.get(column)).map(|text| text.chars().count()).max()
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(|column| width(column).unwrap_or(0)).collect();
        let mut out = String::new();
        for line in &lines {
            let padded = line.iter().zip(&widths).map(|(text, &width)| format!("{text:width$}"));
            out.push_str(padded.collect::<Vec<_>>().join("  ").trim_end());
            out.push('\n');
        }
        out
    }
}

/// A row, serialized as a map from column name to value.
struct Row<'a>(&'a [&'static str], &'a [Cell]);

impl Serialize for Row<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_map(self.0.iter().zip(self.1))
    }
}

/// The rows of a table, serialized as a list.
struct Rows<'a>(&'a Table);

impl Serialize for Rows<'_> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut list = serializer.serialize_seq(Some(self.0.rows.len()))?;
        for row in &self.0.rows {
            list.serialize_element(&Row(&self.0.columns, row))?;
        }
        list.end()
    }
}

/// A single value of a report.
#[derive(Debug, Clone, PartialEq)]
pub struct NamedValue {
    /// The key of the value in JSON.
    pub name: &'static str,
    /// The value.
    pub value: Cell,
}

/// The result of an action.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Report {
    /// The tables.
    pub tables: Vec<Table>,
    /// Single values, shown after the tables.
    pub values: Vec<NamedValue>,
    /// Reasons why the report is incomplete; empty if it is complete.
    pub missing: Vec<String>,
}

impl Serialize for Report {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry("partial", &!self.missing.is_empty())?;
        map.serialize_entry("missing", &self.missing)?;
        for table in &self.tables {
            map.serialize_entry(table.name, &Rows(table))?;
        }
        for NamedValue { name, value } in &self.values {
            map.serialize_entry(name, value)?;
        }
        map.end()
    }
}

impl Report {
    /// Renders the report as JSON or as text.
    pub fn render(&self, as_json: bool) -> String {
        if as_json {
            return sonic_rs::to_string(self).unwrap_or_default() + "\n";
        }
        let tables: Vec<String> = self.tables.iter().map(Table::to_text).collect();
        let mut out = tables.join("\n");
        for NamedValue { name, value } in &self.values {
            out.push_str(&format!("{name}: {}\n", value.to_text()));
        }
        for reason in &self.missing {
            out.push_str(&format!("partial: {}\n", without_control_characters(reason)));
        }
        out
    }
}
