//! How results are printed.

use crate::errors::CliError;
use serde::Serialize;
use std::str::FromStr;

/// Format of listings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// For people.
    Table,
    /// For machines.
    Json,
    /// For machines and people.
    Yaml,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(OutputFormat::Table),
            "json" => Ok(OutputFormat::Json),
            "yaml" => Ok(OutputFormat::Yaml),
            _ => Err("output is table, json or yaml".into()),
        }
    }
}

/// Rows with a heading.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these columns.
    pub fn new(columns: &[&str]) -> Self {
        Self {
            rows: vec![columns.iter().map(|column| column.to_uppercase()).collect()],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn print(&self) {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(String::len).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            println!("{}", cells.join("  ").trim_end());
        }
    }
}

/// Prints `value`, or `table` where a table is asked for.
pub fn print(
    format: OutputFormat,
    value: &impl Serialize,
    table: impl FnOnce() -> Table,
) -> Result<(), CliError> {
    let local = |error: &dyn std::fmt::Display| CliError::Local(error.to_string());
    match format {
        OutputFormat::Table => table().print(),
        OutputFormat::Json => {
            println!(
                "{}",
                serde_json::to_string_pretty(value).map_err(|error| local(&error))?
            );
        }
        OutputFormat::Yaml => {
            print!(
                "{}",
                serde_yaml_ng::to_string(value).map_err(|error| local(&error))?
            );
        }
    }
    Ok(())
}
