//! `loomflow try`: demonstrates a server against test servers on loopback, for ten seconds with a burst in the
//! middle, and prints a table of the outcomes. With `--fleet`, demonstrates a fleet whose servers are maintained in
//! turn. Compiled only with the feature `try`.

use std::io;
use std::process::ExitCode;
use std::time::Duration;

use comfy_table::{CellAlignment, Table, presets};
use loomflow_load::{Counts, Front, Plan, Scenario, ScenarioResults, rounds};
use loomflow_test_servers::fleet::{self, Fleet};
use thiserror::Error;

/// Request rates, each from a time on: (seconds, requests per second). The engine has a capacity of 400 requests per
/// second: the load is three quarters of it, and twice as much during the burst.
const RATES: [(f64, f64); 3] = [(0.0, 300.0), (BURST.0 as f64, 600.0), (BURST.1 as f64, 300.0)];
/// Start and end of the burst, in seconds.
const BURST: (usize, usize) = (3, 7);

/// The demonstration cannot be run.
#[derive(Debug, Error)]
pub enum TryError {
    /// The path of this program, which is started again as the server, cannot be determined.
    #[error("cannot determine the path of this program: {0}")]
    UnknownProgram(io::Error),
}

/// Demonstrates a single server: prints the table and whether each rule was kept. The exit code is 1 if one was
/// violated.
pub fn run(front: Front) -> Result<ExitCode, TryError> {
    let program = std::env::current_exe().map_err(TryError::UnknownProgram)?;
    let scenario = Scenario {
        program,
        front,
        has_sent_time: true,
        cores: 4,
        work: Duration::from_millis(10),
        caller_timeout: Duration::from_secs(1),
        rates: RATES.to_vec(),
        duration: Duration::from_secs(10),
    };
    let capacity = scenario.capacity();
    println!(
        "A server with {} cores, which run {capacity:.0} requests per second, receives 300, then 600, then 300 per second.",
        scenario.cores
    );
    let outcome = scenario.run();
    print_table(&outcome, front);
    // The first second of the burst is excluded, because the server needs some time to detect the overload.
    let (from, to) = (BURST.0 + 1, BURST.1);
    let in_time = f64::from(outcome.results.between(from, to).in_time);
    let possible = capacity * (to - from) as f64;
    println!(
        "Of the {possible:.0} requests that the engine can run in seconds {from} to {}, {in_time} had a response in time: \
         {:.0}%.",
        to - 1,
        100.0 * in_time / possible
    );
    Ok(print_rules(&outcome.rules))
}

/// Demonstrates a fleet of five servers: each is maintained once under load, and one is killed in the middle. The
/// exit code is 1 if a rule was violated.
pub fn run_fleet() -> Result<ExitCode, TryError> {
    let program = std::env::current_exe().map_err(TryError::UnknownProgram)?;
    println!(
        "Five servers with two cores, which run 100 requests per second each, receive 250 per second in all."
    );
    println!(
        "At most one may be out at a time. Each is out for two seconds of maintenance; one is killed in the middle.\n"
    );
    let plan = fleet_plan();
    let mut fleet = Fleet::start_with(plan, &program).bootstrap(plan);
    let listens = fleet.members.iter().map(|member| member.fixture.listen).collect();
    let load = loomflow_load::fleet::start(listens, fleet_load(), Duration::from_secs(5));
    std::thread::sleep(Duration::from_secs(2));
    let round = rounds::Round {
        work: Duration::from_secs(2),
        kill_after: Some(Duration::from_secs(10)),
        limit: Duration::from_secs(300),
    };
    let results = rounds::run(&mut fleet, &round);
    let totals = load.end().total();
    for (at, event) in &results.timeline {
        println!("{:>7.1} s  {event}", at.as_secs_f64());
    }
    println!("\n{}", fleet.run_command(0, &["work", "history"]).1);
    println!(
        "Of {} requests, {} had a response in time, {} late; {} were refused, {} failed, {} were lost.",
        totals.sent, totals.in_time, totals.late, totals.rejected, totals.failed, totals.lost
    );
    let rules = [
        ("each server was out once and returned", results.complete),
        ("never more than one server out at a time", results.max_out <= 1),
        ("each server exited with code 0", results.failed_exits == 0),
        ("every request has one final response", totals.lost == 0 && totals.wrong == 0),
    ];
    Ok(print_rules(&rules))
}

fn fleet_plan() -> fleet::Plan {
    fleet::Plan {
        members: 5,
        zones: 2,
        cores: 2,
        work: Duration::from_millis(20),
        extra: "  begin_within_s: 10\n  warm_for_s: 1\n",
        ..fleet::Plan::default()
    }
}

fn fleet_load() -> Plan {
    Plan {
        class: "read",
        rates: vec![(0.0, 250.0)],
        duration: Duration::from_secs(600),
        connections: 1,
        objective: Duration::from_secs(1),
        prefix: "r",
    }
}

/// Prints whether each rule holds. The exit code is 1 if one was violated.
fn print_rules(rules: &[(&str, bool)]) -> ExitCode {
    for (rule, holds) in rules {
        println!("{} {rule}", if *holds { "kept  " } else { "BROKEN" });
    }
    if rules.iter().all(|(_, holds)| *holds) { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Prints the table: a row for each second, and one for all.
fn print_table(outcome: &ScenarioResults, front: Front) {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    // The signal is the send share for gateways, and the credit for a broker.
    let signal_heading = if front == Front::Resp { "share told" } else { "credit told" };
    table.set_header([
        "second",
        "asked",
        "in time",
        "late",
        "refused",
        "failed",
        "lost",
        "held p50",
        "p99 ms",
        signal_heading,
    ]);
    let row = |name: String, tally: &Counts, queue_times: [String; 2]| {
        let counts = [tally.sent, tally.in_time, tally.late, tally.rejected, tally.failed, tally.lost];
        // Without a signal, gateways may send all their requests: the send share is 1.
        let signal = match (front, tally.mean_signal()) {
            (Front::Resp, share) => format!("{:.2}", share.unwrap_or(1.0)),
            (Front::Amqp, credit) => format!("{:.0}", credit.unwrap_or(0.0)),
        };
        let counts = counts.map(|count| count.to_string());
        std::iter::once(name).chain(counts).chain(queue_times).chain([signal]).collect::<Vec<_>>()
    };
    for (second, tally) in outcome.results.seconds.iter().enumerate().filter(|(_, tally)| tally.sent > 0) {
        let ms = |quantile: f64| {
            let queue_time =
                outcome.queue_times.get(second).map_or(0, |times| times.value_at_quantile(quantile));
            format!("{:.0}", queue_time as f64 / 1000.0)
        };
        table.add_row(row(second.to_string(), tally, [ms(0.5), ms(0.99)]));
    }
    table.add_row(row("all".into(), &outcome.results.total(), [String::new(), String::new()]));
    for column in table.column_iter_mut().skip(1) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    println!("{table}");
}
