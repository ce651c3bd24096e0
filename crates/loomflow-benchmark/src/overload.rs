//! Answers in time under overload, on both fronts: an engine that is requested to do more than it can, all the
//! time and in a burst.

use std::path::{Path, PathBuf};
use std::time::Duration;

use loomflow_load::{Front, Scenario, ScenarioResults};

use crate::report::Report;

const CORES: usize = 4;
const WORK: Duration = Duration::from_millis(10);
const GIVE_UP: Duration = Duration::from_secs(1);
/// Sustained loads, as multiples of what the engine does.
const SUSTAINED_LOADS: [f64; 4] = [1.2, 1.5, 2.0, 4.0];
/// Load outside of the burst, as a multiple of what the engine does.
const BASE_LOAD: f64 = 0.75;
/// The burst lies between these seconds.
const BURST_SECONDS: (usize, usize) = (3, 7);
/// Seconds until the server has reacted, and a request that was queued up to its objective is over.
const REACTION_SECONDS: usize = 1;

/// What one run of a case shows.
struct CaseFigures {
    /// In time over what the engine does, in the worst second and in all, from when the server has noticed.
    worst: f64,
    mean: f64,
    /// Queue time at the 99th percentile, over the objective and one run.
    queue_time_ratio: f64,
    late: u32,
    run_late: usize,
    /// How long after the burst the last of it was answered, s.
    drained_after_s: f64,
    rules: bool,
}

/// One load: by which front, at which rates, and over which seconds it is judged.
struct Case {
    front: Front,
    front_name: &'static str,
    name: String,
    /// Times what the engine does, each from a time on, s.
    rates: Vec<(f64, f64)>,
    seconds: usize,
    /// The first second that is judged, and the one after the last.
    judged: (usize, usize),
}

/// A case with what this build shows, and the other one.
struct CaseResult {
    case: Case,
    own: CaseFigures,
    other: Option<CaseFigures>,
}

/// With `other`, that program is played as well, as far as it can be: messages of its queue have no age.
pub fn measure(quick: bool, own: PathBuf, other: Option<PathBuf>) -> Report {
    let mut report = Report::new("overload");
    let play_both = |case: Case| {
        let own = play(&case, &own, true);
        let other = other.as_ref().map(|other| play(&case, other, false));
        CaseResult { case, own, other }
    };
    let all: Vec<CaseResult> = cases(if quick { 4 } else { 10 }).into_iter().map(play_both).collect();
    print(&report, &all);
    report_bounds(&mut report, &all);
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
            judged: (REACTION_SECONDS, seconds),
        };
        cases.extend(SUSTAINED_LOADS.map(sustained));
        cases.push(Case {
            front,
            front_name,
            name: "burst of 1.5".to_owned(),
            rates: vec![(0.0, BASE_LOAD), (BURST_SECONDS.0 as f64, 1.5), (BURST_SECONDS.1 as f64, BASE_LOAD)],
            seconds: 10,
            judged: (BURST_SECONDS.0 + REACTION_SECONDS, BURST_SECONDS.1),
        });
    }
    cases
}

fn play(case: &Case, program: &Path, has_sent_time: bool) -> CaseFigures {
    let mut scenario = Scenario {
        program: program.to_owned(),
        front: case.front,
        has_sent_time,
        cores: CORES,
        work: WORK,
        caller_timeout: GIVE_UP,
        rates: case.rates.clone(),
        duration: Duration::from_secs(case.seconds as u64),
    };
    let capacity = scenario.capacity();
    for (_, rate) in &mut scenario.rates {
        *rate *= capacity;
    }
    figures_of(&scenario.run(), capacity, case.judged)
}

fn print(report: &Report, all: &[CaseResult]) {
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
    report.table("In time over what the engine does", &head, all.iter().map(row).collect());
}

fn report_bounds(report: &mut Report, all: &[CaseResult]) {
    let min_of =
        |of: fn(&CaseFigures) -> f64| all.iter().map(|one| of(&one.own)).fold(f64::INFINITY, f64::min);
    let max_of = |of: fn(&CaseFigures) -> f64| all.iter().map(|one| of(&one.own)).fold(0.0, f64::max);
    report.require_min("in_time_worst_second", min_of(|one| one.worst), 0.9);
    report.figure("in_time_mean", min_of(|one| one.mean));
    report.require_max("held_p99", max_of(|one| one.queue_time_ratio), 1.0);
    report.require_max("run_after_give_up", max_of(|one| one.run_late as f64), 0.0);
    let bursts = all.iter().filter(|one| one.case.name.starts_with("burst"));
    let drained_after_s = bursts.map(|one| one.own.drained_after_s).fold(0.0, f64::max);
    report.require_max("backlog_s", drained_after_s, 1.0);
    let are_rules_kept = all.iter().all(|one| one.own.rules);
    report.require_min("rules_kept", f64::from(u8::from(are_rules_kept)), 1.0);
    let ratio = |one: &CaseResult| Some(one.own.mean / one.other.as_ref()?.mean.max(0.01));
    if let Some(ratio) = all.iter().filter_map(ratio).reduce(f64::min) {
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
    let bound = GIVE_UP / 2 + WORK;
    CaseFigures {
        worst: (from..to).map(in_time).fold(f64::INFINITY, f64::min),
        mean: f64::from(total.in_time) / capacity / (to - from) as f64,
        queue_time_ratio: queue_time.max().unwrap_or(0) as f64 / bound.as_micros() as f64,
        late: total.late,
        run_late: scenario_results.late_runs,
        drained_after_s: results.between(0, to).last_answered_at_s - to as f64,
        rules: scenario_results.rules.iter().all(|(_, is_kept)| *is_kept),
    }
}

fn row(result: &CaseResult) -> Vec<String> {
    let CaseResult { case, own, other } = result;
    let part = |value: f64| format!("{value:.2}");
    vec![
        case.front_name.to_owned(),
        case.name.clone(),
        part(own.worst),
        part(own.mean),
        other.as_ref().map_or(String::new(), |other| part(other.mean)),
        own.late.to_string(),
        part(own.queue_time_ratio),
        own.run_late.to_string(),
        part(own.drained_after_s),
    ]
}
