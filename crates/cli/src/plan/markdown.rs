//! Headings and rows of Markdown tables.

use std::fmt::Write;

/// Formats a number with digits by its magnitude.
pub(super) fn number(value: f64) -> String {
    match value.abs() {
        magnitude if magnitude >= 100.0 => format!("{value:.0}"),
        magnitude if magnitude >= 1.0 => format!("{value:.1}"),
        _ => format!("{value:.4}"),
    }
}

/// Appends a row.
pub(super) fn row(page: &mut String, cells: &[String]) {
    writeln!(page, "| {} |", cells.join(" | ")).expect("writing into memory does not fail");
}

/// Appends rows of measure, value and basis.
pub(super) fn measure_rows(page: &mut String, rows: &[(&str, String, String)]) {
    for (name, value, basis) in rows {
        row(page, &[(*name).to_owned(), value.clone(), basis.clone()]);
    }
}

/// Appends a title and the header of a table.
pub(super) fn heading(page: &mut String, title: &str, columns: &[&str]) {
    let line = vec!["---"; columns.len()].join(" | ");
    write!(
        page,
        "\n## {title}\n\n| {} |\n| {line} |\n",
        columns.join(" | ")
    )
    .expect("writing into memory does not fail");
}
