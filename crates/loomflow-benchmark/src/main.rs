//! `loomflow-benchmark NAME [--quick]`: runs a measurement and prints its tables and a last line of figures. Exits with
//! 1 if a figure violates its bound. Most bounds are counts and ratios within one run; some are times.

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
  amqp             the AMQP front: rules under faults, cost, overload, a long queue
  callers          a simulated fleet that loses some callers or servers for two seconds: whether it recovers within ten
  moments [PROGRAM]  start, restarts, reports and malformed connections, of this build or of PROGRAM
  order [PART]     maintenance of the machines of a fleet: rounds under load and under faults, simulation, cost
                   (parts: work, faults, simulated, cost)
  owner [PART]     duties of a fleet: rounds of faults with an external receiver, simulation
                   (parts: rounds, simulated)
  overload [PROGRAM]  responses in time on both fronts under overload, compared with PROGRAM if given
  scale [PART]     one server at the operators' size: connections, tenants, time added to a request, control traffic
                   (parts: connections, tenants, requests, control)
  against PROGRAM  CPU and memory of this build of the server compared with PROGRAM, by RESP";

/// Errors of the command line; the program exits with 2.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// The command line cannot be parsed.
    #[error(transparent)]
    Arguments(#[from] lexopt::Error),
    /// The command line has no name of a measurement.
    #[error("the name of a measurement is missing")]
    NoName,
    /// There is no measurement with this name, or the measurement takes no operand.
    #[error("{0:?} is not the name of a measurement, or that measurement takes no operand")]
    UnknownName(String),
    /// The measurement has no part with this name.
    #[error("the measurement {measurement} has no part {part:?}; its parts are {}", .parts.join(", "))]
    UnknownPart {
        /// Name of the measurement.
        measurement: &'static str,
        /// Name of the part on the command line.
        part: String,
        /// Names of all parts of the measurement.
        parts: &'static [&'static str],
    },
    /// `against` was given no program to compare with.
    #[error("against: the path of the other program is missing")]
    NoOtherProgram,
}

/// The part of a measurement to run; all parts if `None`.
struct Selection<'a>(Option<&'a str>);

impl<'a> Selection<'a> {
    /// Selects the named part, or all parts if none is named.
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

/// The parsed command line.
struct Arguments {
    name: String,
    /// A part of the measurement, the path of another program, or the address of a receiver, depending on the name.
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

/// Runs the measurement. `None` if this process is a job that a measurement started (`effects`).
fn run(arguments: Arguments) -> Result<Option<Report>, MeasureError> {
    let Arguments { name, operand, is_quick: quick } = arguments;
    let report = match (name.as_str(), operand) {
        ("overload", other) => overload::measure(quick, process::program(), other.map(Into::into)),
        ("order", part) => order::measure(quick, &process::program(), part.as_deref())?,
        ("scale", part) => scale::measure(quick, &process::program(), part.as_deref())?,
        ("owner", part) => owner::measure(quick, &process::program(), part.as_deref())?,
        ("effects", Some(address)) => {
            owner::effects::send_effects(&address);
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
    match parse_arguments().and_then(run) {
        Ok(report) => report.map_or(ExitCode::SUCCESS, Report::finish),
        Err(error) => {
            eprintln!("loomflow-benchmark: {error}\n{USAGE}");
            ExitCode::from(2)
        }
    }
}
