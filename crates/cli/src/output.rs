//! Output of results as tables, JSON or YAML.

use crate::errors::CliError;
use serde::Serialize;
use std::str::FromStr;

/// Output format of results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned columns.
    Table,
    /// Indented JSON.
    Json,
    /// YAML document.
    Yaml,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(OutputFormat::Table),
            "json" => Ok(OutputFormat::Json),
            "yaml" => Ok(OutputFormat::Yaml),
            _ => Err("output must be table, json or yaml".into()),
        }
    }
}

/// Table with a header row.
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these columns.
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

/// Prints `value` in the given format; `table` creates the table form.
pub fn print(
    format: OutputFormat,
    value: &impl Serialize,
    table: impl FnOnce() -> Table,
) -> Result<(), CliError> {
    let local_error = |error: &dyn std::fmt::Display| CliError::Local(error.to_string());
    match format {
        OutputFormat::Table => table().print(),
        OutputFormat::Json => {
            println!(
                "{}",
                serde_json::to_string_pretty(value).map_err(|error| local_error(&error))?
            );
        }
        OutputFormat::Yaml => {
            print!(
                "{}",
                serde_yaml_ng::to_string(value).map_err(|error| local_error(&error))?
            );
        }
    }
    Ok(())
}
