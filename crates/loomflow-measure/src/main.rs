//! `loomflow-measure NAME [--quick]`: plays a measurement, prints its tables and one last line of figures, and exits with
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
mod report;
mod scale;

use std::process::ExitCode;

use lexopt::prelude::*;

const USAGE: &str = "\
usage: loomflow-measure NAME [--quick]
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

fn asked() -> Result<(String, Option<String>, bool), String> {
    let mut parser = lexopt::Parser::from_env();
    let (mut name, mut what, mut quick) = (None, None, false);
    while let Some(arg) = parser.next().map_err(|e| e.to_string())? {
        match arg {
            Long("quick") => quick = true,
            Value(word) if name.is_none() => name = Some(word.to_string_lossy().into_owned()),
            Value(word) if what.is_none() => what = Some(word.to_string_lossy().into_owned()),
            other => return Err(other.unexpected().to_string()),
        }
    }
    Ok((name.ok_or("no name")?, what, quick))
}

fn main() -> ExitCode {
    let scenario_results = match asked() {
        Ok((name, what, quick)) => match (name.as_str(), what) {
            ("overload", other) => Ok(overload::measure(quick, process::program(), other.map(Into::into))),
            ("order", part) => order::measure(quick, &process::program(), part.as_deref()),
            ("scale", part) => scale::measure(quick, &process::program(), part.as_deref()),
            ("owner", part) => owner::measure(quick, &process::program(), part.as_deref()),
            // What the jobs of that measurement run.
            ("effects", Some(address)) => {
                owner::effects::act(&address);
                return ExitCode::SUCCESS;
            }
            ("moments", other) => {
                Ok(moments::measure(quick, &other.map_or_else(process::program, Into::into)))
            }
            ("callers", None) => Ok(callers::measure(quick)),
            ("amqp", None) => Ok(amqp::measure(quick)),
            ("against", Some(other)) => Ok(against::measure(quick, process::program(), &other)),
            ("against", None) => Err("against which program?".to_owned()),
            (other, _) => Err(format!("no measurement is called {other:?}")),
        },
        Err(why) => Err(why),
    };
    match scenario_results {
        Ok(report) => report.finish(),
        Err(why) => {
            eprintln!("loomflow-measure: {why}\n{USAGE}");
            ExitCode::from(2)
        }
    }
}
