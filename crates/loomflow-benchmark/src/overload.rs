//! Responses in time on both fronts while the load exceeds the capacity of the engine, steadily and in a burst.

use std::path::{Path, PathBuf};
use std::time::Duration;

use loomflow_load::{Front, Scenario, ScenarioResults};

use crate::report::Report;

const CORES: usize = 4;
const WORK: Duration = Duration::from_millis(10);
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);
/// Sustained loads, as multiples of the engine's capacity.
const SUSTAINED_LOADS: [f64; 4] = [1.2, 1.5, 2.0, 4.0];
/// Load outside of the burst, as a multiple of the engine's capacity.
const BASE_LOAD: f64 = 0.75;
/// First second of the burst, and the one after its last.
const BURST_SECONDS: (usize, usize) = (3, 7);
/// Seconds at the start of a load that are not measured: in them the server has not reacted yet, or requests that were
/// queued up to their objective have not ended.
const REACTION_SECONDS: usize = 1;

/// Figures of one run of a case.
struct CaseFigures {
    /// Responses in time of the worst measured second, divided by the engine's capacity.
    worst: f64,
    /// Mean responses in time of the measured seconds, divided by the engine's capacity.
    mean: f64,
    /// 99th percentile of the queue time in the worst measured second, divided by the objective plus the time of one
    /// run.
    queue_time_ratio: f64,
    /// Responses after the objective in the measured seconds.
    late: u32,
    /// Runs of the whole load that started after their caller had abandoned the request.
    late_runs: usize,
    /// Time from the last measured second until the last request that was sent up to then has its response, s.
    drained_after_s: f64,
    are_rules_kept: bool,
}

/// One load: its front, its rates, and the seconds that are measured.
struct Case {
    front: Front,
    front_name: &'static str,
    name: String,
    /// Pairs of a time, s since the start, and the rate from then on, as a multiple of the engine's capacity.
    rates: Vec<(f64, f64)>,
    seconds: usize,
    /// First second that is measured, and the one after the last.
    measured: (usize, usize),
}

/// A case with the figures of this build and, if one was given, of the other build.
struct CaseResult {
    case: Case,
    own: CaseFigures,
    other: Option<CaseFigures>,
}

/// Runs all cases. With `other`, each case is run with that program as well, without the sending time of queued messages,
/// which that build may not support.
pub fn measure(quick: bool, own: PathBuf, other: Option<PathBuf>) -> Report {
    let mut report = Report::new("overload");
    let run_both = |case: Case| {
        let own = run(&case, &own, true);
        let other = other.as_ref().map(|other| run(&case, other, false));
        CaseResult { case, own, other }
    };
    let results: Vec<CaseResult> = cases(if quick { 4 } else { 10 }).into_iter().map(run_both).collect();
    print(&report, &results);
    report_bounds(&mut report, &results);
    report
}

fn cases(seconds: usize) -> Vec<Case> {
    let mut cases = Vec::new();
    for (front, front_name) in [(Front::Resp, "RESP"), (Front::Amqp, "AMQP")] {
        let sustained = |times: f64| Case {
            front,
            front_name,
            name: format!("{times}"),
            rates: vec![(0.0, times)],
            seconds,
            measured: (REACTION_SECONDS, seconds),
        };
        cases.extend(SUSTAINED_LOADS.map(sustained));
        cases.push(Case {
            front,
            front_name,
            name: "burst of 1.5".to_owned(),
            rates: vec![(0.0, BASE_LOAD), (BURST_SECONDS.0 as f64, 1.5), (BURST_SECONDS.1 as f64, BASE_LOAD)],
            seconds: 10,
            measured: (BURST_SECONDS.0 + REACTION_SECONDS, BURST_SECONDS.1),
        });
    }
    cases
}

fn run(case: &Case, program: &Path, has_sent_time: bool) -> CaseFigures {
    let mut scenario = Scenario {
        program: program.to_owned(),
        front: case.front,
        has_sent_time,
        cores: CORES,
        work: WORK,
        caller_timeout: CALLER_TIMEOUT,
        rates: case.rates.clone(),
        duration: Duration::from_secs(case.seconds as u64),
    };
    let capacity = scenario.capacity();
    for (_, rate) in &mut scenario.rates {
        *rate *= capacity;
    }
    figures_of(&scenario.run(), capacity, case.measured)
}

fn print(report: &Report, results: &[CaseResult]) {
    let head = [
        "front",
        "times the engine",
        "in time, worst second",
        "in time, mean",
        "before",
        "late",
        "held p99 over aim and run",
        "run after give-up",
        "burst gone after s",
    ];
    report.table("In time over what the engine does", &head, results.iter().map(row).collect());
}

fn report_bounds(report: &mut Report, results: &[CaseResult]) {
    let min_of = |value: fn(&CaseFigures) -> f64| {
        results.iter().map(|result| value(&result.own)).fold(f64::INFINITY, f64::min)
    };
    let max_of =
        |value: fn(&CaseFigures) -> f64| results.iter().map(|result| value(&result.own)).fold(0.0, f64::max);
    report.require_min("in_time_worst_second", min_of(|result| result.worst), 0.9);
    report.figure("in_time_mean", min_of(|result| result.mean));
    report.require_max("held_p99", max_of(|result| result.queue_time_ratio), 1.0);
    report.require_max("run_after_give_up", max_of(|result| result.late_runs as f64), 0.0);
    let bursts = results.iter().filter(|result| result.case.name.starts_with("burst"));
    let drained_after_s = bursts.map(|result| result.own.drained_after_s).fold(0.0, f64::max);
    report.require_max("backlog_s", drained_after_s, 1.0);
    let are_rules_kept = results.iter().all(|result| result.own.are_rules_kept);
    report.require_min("rules_kept", f64::from(u8::from(are_rules_kept)), 1.0);
    let ratio = |result: &CaseResult| Some(result.own.mean / result.other.as_ref()?.mean.max(0.01));
    if let Some(ratio) = results.iter().filter_map(ratio).reduce(f64::min) {
        report.require_min("over_the_other", ratio, 0.97);
    }
}

fn figures_of(scenario_results: &ScenarioResults, capacity: f64, (from, to): (usize, usize)) -> CaseFigures {
    let results = &scenario_results.results;
    let in_time = |second: usize| f64::from(results.between(second, second + 1).in_time) / capacity;
    let total = results.between(from, to);
    let queue_time = scenario_results
        .queue_times
        .iter()
        .take(to)
        .skip(from)
        .map(|queue_time| queue_time.value_at_quantile(0.99));
    let bound = CALLER_TIMEOUT / 2 + WORK;
    CaseFigures {
        worst: (from..to).map(in_time).fold(f64::INFINITY, f64::min),
        mean: f64::from(total.in_time) / capacity / (to - from) as f64,
        queue_time_ratio: queue_time.max().unwrap_or(0) as f64 / bound.as_micros() as f64,
        late: total.late,
        late_runs: scenario_results.late_runs,
        drained_after_s: results.between(0, to).last_answered_at_s - to as f64,
        are_rules_kept: scenario_results.rules.iter().all(|(_, is_kept)| *is_kept),
    }
}

fn row(result: &CaseResult) -> Vec<String> {
    let CaseResult { case, own, other } = result;
    let ratio = |value: f64| format!("{value:.2}");
    vec![
        case.front_name.to_owned(),
        case.name.clone(),
        ratio(own.worst),
        ratio(own.mean),
        other.as_ref().map_or(String::new(), |other| ratio(other.mean)),
        own.late.to_string(),
        ratio(own.queue_time_ratio),
        own.late_runs.to_string(),
        ratio(own.drained_after_s),
    ]
}
