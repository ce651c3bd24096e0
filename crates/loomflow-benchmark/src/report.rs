//! Output of a measurement: tables, and a last line of figures that are checked against their bounds.

use std::process::ExitCode;

use comfy_table::{CellAlignment, Table, presets};

/// Collects the figures of a measurement and the bounds that were violated.
pub struct Report {
    name: &'static str,
    figures: Vec<(&'static str, String)>,
    violations: Vec<String>,
}

impl Report {
    pub fn new(name: &'static str) -> Report {
        Report { name, figures: Vec::new(), violations: Vec::new() }
    }

    /// Adds a figure without a bound to the last line.
    pub fn figure(&mut self, key: &'static str, value: f64) {
        let text = if value.fract() == 0.0 { format!("{value}") } else { format!("{value:.3}") };
        self.figures.push((key, text));
    }

    /// Adds a figure that must be at most `bound`; NaN violates the bound.
    pub fn require_max(&mut self, key: &'static str, value: f64, bound: f64) {
        self.figure(key, value);
        if value.is_nan() || value > bound {
            self.violations.push(format!("{key} is {value:.3}, at most {bound} is allowed"));
        }
    }

    /// Adds a figure that must be at least `bound`; NaN violates the bound.
    pub fn require_min(&mut self, key: &'static str, value: f64, bound: f64) {
        self.figure(key, value);
        if value.is_nan() || value < bound {
            self.violations.push(format!("{key} is {value:.3}, at least {bound} is needed"));
        }
    }

    /// Prints a table; all columns but the first are aligned to the right.
    pub fn table(&self, title: &str, head: &[&str], rows: Vec<Vec<String>>) {
        let mut table = Table::new();
        table.load_preset(presets::ASCII_MARKDOWN).set_header(head.iter().copied());
        for row in rows {
            table.add_row(row);
        }
        table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
        println!("{title}\n\n{table}\n");
    }

    /// Prints the violated bounds and the line of figures. The exit code is 1 if a bound was violated.
    pub fn finish(self) -> ExitCode {
        self.violations.iter().for_each(|violation| println!("BROKEN: {violation}"));
        let figures: Vec<String> = self.figures.iter().map(|(key, value)| format!("{key}={value}")).collect();
        println!("{}: {}", self.name, figures.join(" "));
        if self.violations.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}
