//! `loomflow-benchmark NAME [--quick]`: plays a measurement, prints its tables and one last line of figures, and exits with
//! 1 where a bound breaks. Bounds are counts and ratios within one run, never times.

#![forbid(unsafe_code)]

mod against;
mod amqp;
mod callers;
mod moments;
mod order;
mod overload;
mod owner;
mod process;
mod quantile;
mod report;
mod scale;

use std::process::ExitCode;

use lexopt::prelude::{Long, Value};

use report::Report;

const USAGE: &str = "\
usage: loomflow-benchmark NAME [--quick]
  amqp             the AMQP front: rules, cost, overload, a long queue
  callers          a modelled fleet that loses a part of itself for two seconds: is it back within ten
  moments [PROGRAM]  the start, reports, connections that talk nonsense; of another build where one is named
  order [PART]     machines taken out for work: rounds under load and under faults, simulation, cost
                   (parts: work, faults, simulated, cost)
  owner [PART]     duties of a fleet: rounds of faults with an outside receiver, simulation
                   (parts: rounds, simulated)
  overload [PROGRAM]  answers in time on both fronts beyond what the engine does; beside another build
  scale [PART]     one server at the operators' size: its connections, its tenants, what it adds to a request
                   (parts: connections, tenants, requests, control)
  against PROGRAM  this build of the server against another one, by RESP";

/// Why a measurement cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The command line cannot be read.
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    /// No measurement is named.
    #[error("no name")]
    NoName,
    /// No measurement has this name.
    #[error("no measurement is called {0:?}")]
    UnknownName(String),
    /// A measurement has no part of this name.
    #[error("{measurement} has no part {part:?}: {}", .parts.join(", "))]
    UnknownPart {
        /// The measurement.
        measurement: &'static str,
        /// The name on the command line.
        part: String,
        /// All its parts.
        parts: &'static [&'static str],
    },
    /// The other program is missing.
    #[error("against which program?")]
    NoOtherProgram,
}

/// Which part of a measurement is played.
struct Selection<'a>(Option<&'a str>);

impl<'a> Selection<'a> {
    /// All parts, or the one that is named.
    fn new(
        measurement: &'static str,
        parts: &'static [&'static str],
        part: Option<&'a str>,
    ) -> Result<Selection<'a>, MeasureError> {
        match part {
            Some(part) if !parts.contains(&part) => {
                Err(MeasureError::UnknownPart { measurement, part: part.to_owned(), parts })
            }
            part => Ok(Selection(part)),
        }
    }

    fn includes(&self, name: &str) -> bool {
        self.0.is_none_or(|part| part == name)
    }
}

/// The command line.
struct Arguments {
    name: String,
    /// A part of the measurement, another program, or an address, as the measurement has it.
    operand: Option<String>,
    is_quick: bool,
}

fn parse_arguments() -> Result<Arguments, MeasureError> {
    let mut parser = lexopt::Parser::from_env();
    let (mut name, mut operand, mut is_quick) = (None, None, false);
    while let Some(argument) = parser.next()? {
        match argument {
            Long("quick") => is_quick = true,
            Value(value) if name.is_none() => name = Some(value.to_string_lossy().into_owned()),
            Value(value) if operand.is_none() => operand = Some(value.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(Arguments { name: name.ok_or(MeasureError::NoName)?, operand, is_quick })
}

/// Plays the measurement; none where this process is a job of one.
fn play(arguments: Arguments) -> Result<Option<Report>, MeasureError> {
    let Arguments { name, operand, is_quick: quick } = arguments;
    let report = match (name.as_str(), operand) {
        ("overload", other) => overload::measure(quick, process::program(), other.map(Into::into)),
        ("order", part) => order::measure(quick, &process::program(), part.as_deref())?,
        ("scale", part) => scale::measure(quick, &process::program(), part.as_deref())?,
        ("owner", part) => owner::measure(quick, &process::program(), part.as_deref())?,
        ("effects", Some(address)) => {
            owner::effects::act(&address);
            return Ok(None);
        }
        ("moments", other) => moments::measure(quick, &other.map_or_else(process::program, Into::into)),
        ("callers", None) => callers::measure(quick),
        ("amqp", None) => amqp::measure(quick),
        ("against", Some(other)) => against::measure(quick, process::program(), &other),
        ("against", None) => return Err(MeasureError::NoOtherProgram),
        (other, _) => return Err(MeasureError::UnknownName(other.to_owned())),
    };
    Ok(Some(report))
}

fn main() -> ExitCode {
    match parse_arguments().and_then(play) {
        Ok(report) => report.map_or(ExitCode::SUCCESS, Report::finish),
        Err(error) => {
            eprintln!("loomflow-benchmark: {error}\n{USAGE}");
            ExitCode::from(2)
        }
    }
}
