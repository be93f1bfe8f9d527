//! Output of the results as a table.

use std::io::Write;

use crate::capacity::{CapacityError, MeasurementResult};

/// Output format of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableFormat {
    /// Aligned columns.
    Text,
    /// Comma-separated values with a header.
    Csv,
}

impl TableFormat {
    /// Returns the format with the given name; `None` if there is none.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "text" => Some(Self::Text),
            "csv" => Some(Self::Csv),
            _ => None,
        }
    }
}

const HEADER: [&str; 12] = [
    "name",
    "quantity",
    "size of",
    "sizes",
    "intercept",
    "slope",
    "r_squared",
    "design_size",
    "value",
    "low..high",
    "target",
    "result",
];

/// Writes a table with a header and one row for each result to `out`.
pub fn write_table(
    results: &[MeasurementResult],
    format: TableFormat,
    out: &mut impl Write,
) -> Result<(), CapacityError> {
    let rows: Vec<[String; 12]> = results.iter().map(row).collect();
    match format {
        TableFormat::Csv => {
            let mut writer = csv::Writer::from_writer(out);
            writer.write_record(HEADER).map_err(CapacityError::Output)?;
            for row in &rows {
                writer.write_record(row).map_err(CapacityError::Output)?;
            }
            writer.flush()?;
        }
        TableFormat::Text => write_text(&rows, out)?,
    }
    Ok(())
}

fn row(result: &MeasurementResult) -> [String; 12] {
    let measurement = &result.measurement;
    let target_result = match result.meets_target() {
        None => "",
        Some(true) => "met",
        Some(false) => "missed",
    };
    let first = result.points.first().map_or(0.0, |point| point.x);
    let last = result.points.last().map_or(0.0, |point| point.x);
    [
        measurement.name.into(),
        measurement.quantity.into(),
        measurement.size_of.into(),
        format!("{}..{}", format_number(first), format_number(last)),
        format_number(result.line.intercept),
        format_number(result.line.slope),
        format!("{:.4}", result.line.r_squared),
        format_number(measurement.design_size),
        format_number(result.design_value()),
        format!(
            "{}..{}",
            format_number(result.min),
            format_number(result.max)
        ),
        measurement.target.map_or_else(String::new, format_number),
        target_result.into(),
    ]
}

fn write_text(rows: &[[String; 12]], out: &mut impl Write) -> Result<(), CapacityError> {
    let mut widths = HEADER.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.len());
        }
    }
    let header = HEADER.map(String::from);
    for row in std::iter::once(&header).chain(rows) {
        let cells = row.iter().zip(widths);
        let line: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        writeln!(out, "{}", line.join("  ").trim_end())?;
    }
    Ok(())
}

/// Formats a number with four significant digits, but at least its whole integer part and at most
/// six decimals.
fn format_number(value: f64) -> String {
    let magnitude = if value == 0.0 {
        0
    } else {
        value.abs().log10().floor() as i32
    };
    let decimals = (3 - magnitude).clamp(0, 6) as usize;
    let text = format!("{value:.decimals$}");
    match text.contains('.') {
        true => text.trim_end_matches('0').trim_end_matches('.').to_owned(),
        false => text,
    }
}
