//! Tables for people, and one line of figures with the bounds that they must keep.

use std::process::ExitCode;

use comfy_table::{CellAlignment, Table, presets};

pub struct Report {
    name: &'static str,
    figures: Vec<(&'static str, String)>,
    broken: Vec<String>,
}

impl Report {
    pub fn new(name: &'static str) -> Report {
        Report { name, figures: Vec::new(), broken: Vec::new() }
    }

    /// A figure for the last line.
    pub fn figure(&mut self, key: &'static str, value: f64) {
        let text = if value.fract() == 0.0 { format!("{value}") } else { format!("{value:.3}") };
        self.figures.push((key, text));
    }

    /// A figure with a maximum.
    pub fn require_max(&mut self, key: &'static str, value: f64, bound: f64) {
        self.figure(key, value);
        if value.is_nan() || value > bound {
            self.broken.push(format!("{key} is {value:.3}, at most {bound} is allowed"));
        }
    }

    /// A figure with a minimum.
    pub fn require_min(&mut self, key: &'static str, value: f64, bound: f64) {
        self.figure(key, value);
        if value.is_nan() || value < bound {
            self.broken.push(format!("{key} is {value:.3}, at least {bound} is needed"));
        }
    }

    /// Prints a table of rows, numbers to the right.
    pub fn table(&self, title: &str, head: &[&str], rows: Vec<Vec<String>>) {
        let mut table = Table::new();
        table.load_preset(presets::ASCII_MARKDOWN).set_header(head.iter().copied());
        for row in rows {
            table.add_row(row);
        }
        table.column_iter_mut().skip(1).for_each(|column| column.set_cell_alignment(CellAlignment::Right));
        println!("{title}\n\n{table}\n");
    }

    /// Prints the last line.
    pub fn finish(self) -> ExitCode {
        self.broken.iter().for_each(|broken| println!("BROKEN: {broken}"));
        let figures: Vec<String> = self.figures.iter().map(|(key, value)| format!("{key}={value}")).collect();
        println!("{}: {}", self.name, figures.join(" "));
        if self.broken.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
    }
}
