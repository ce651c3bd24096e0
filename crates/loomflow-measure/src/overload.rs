//! Answers in time under overload, on both fronts: the same engine asked for more than it does, for as long as it
//! takes and for a burst.

use std::path::PathBuf;
use std::time::Duration;

use loomflow_load::{Front, Scenario, ScenarioResults};

use crate::report::Report;

const CORES: usize = 4;
const WORK: Duration = Duration::from_millis(10);
const GIVE_UP: Duration = Duration::from_secs(1);
/// Times what the engine does.
const TIMES: [f64; 4] = [1.2, 1.5, 2.0, 4.0];
/// Three quarters of what it does, and the burst between these seconds.
const BASE: f64 = 0.75;
const BURST: (usize, usize) = (3, 7);
/// Seconds until the server has noticed, and a request that was held for its aim is over.
const NOTICED: usize = 1;

/// What a play must show.
struct Shown {
    /// In time over what the engine does, in the worst second and in all, from when the server has noticed.
    worst: f64,
    mean: f64,
    /// Held before its run at the 99th percentile, over the aim and one run.
    held: f64,
    late: u32,
    run_late: usize,
    /// How long after the burst the last of it was answered, s.
    gone: f64,
    rules: bool,
}

/// With `other`, that program is played as well, as far as it can be: messages of its queue have no age.
pub fn measure(quick: bool, own: PathBuf, other: Option<PathBuf>) -> Report {
    let mut report = Report::new("overload");
    let seconds = if quick { 4 } else { 10 };
    let mut rows = Vec::new();
    let mut all = Vec::new();
    for (front, name) in [(Front::Resp, "RESP"), (Front::Amqp, "AMQP")] {
        let sustained =
            TIMES.map(|times| (format!("{times}"), vec![(0.0, times)], seconds, NOTICED, seconds));
        let burst = (BURST.0 as f64, BURST.1 as f64);
        let rates = vec![(0.0, BASE), (burst.0, 1.5), (burst.1, BASE)];
        let burst = ("burst of 1.5".to_owned(), rates, 10, BURST.0 + NOTICED, BURST.1);
        for (what, rates, span, from, to) in sustained.into_iter().chain([burst]) {
            let play = |program: &PathBuf, timed| {
                let mut scenario = Scenario {
                    program: program.clone(),
                    front,
                    has_sent_time: timed,
                    cores: CORES,
                    work: WORK,
                    caller_timeout: GIVE_UP,
                    rates: rates.clone(),
                    duration: Duration::from_secs(span as u64),
                };
                let capacity = scenario.capacity();
                scenario.rates.iter_mut().for_each(|(_, rate)| *rate *= capacity);
                shown(&scenario.run(), capacity, (from, to))
            };
            let mine = play(&own, true);
            let before = other.as_ref().map(|other| play(other, false));
            rows.push(row(name, &what, &mine, before.as_ref()));
            all.push((what, mine, before));
        }
    }
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
    report.table("In time over what the engine does", &head, rows);
    let least = |of: fn(&Shown) -> f64| all.iter().map(|(_, one, _)| of(one)).fold(f64::INFINITY, f64::min);
    let most = |of: fn(&Shown) -> f64| all.iter().map(|(_, one, _)| of(one)).fold(0.0, f64::max);
    report.at_least("in_time_worst_second", least(|one| one.worst), 0.9);
    report.figure("in_time_mean", least(|one| one.mean));
    report.at_most("held_p99", most(|one| one.held), 1.0);
    report.at_most("run_after_give_up", most(|one| one.run_late as f64), 0.0);
    let bursts = all.iter().filter(|(what, ..)| what.starts_with("burst"));
    report.at_most("backlog_s", bursts.map(|(_, one, _)| one.gone).fold(0.0, f64::max), 1.0);
    report.at_least("rules_kept", f64::from(u8::from(all.iter().all(|(_, one, _)| one.rules))), 1.0);
    let over: Vec<f64> =
        all.iter().filter_map(|(_, one, b)| Some(one.mean / b.as_ref()?.mean.max(0.01))).collect();
    if let Some(ratio) = over.into_iter().reduce(f64::min) {
        report.at_least("over_the_other", ratio, 0.97);
    }
    report
}

fn shown(scenario_results: &ScenarioResults, capacity: f64, (from, to): (usize, usize)) -> Shown {
    let results = &scenario_results.results;
    let in_time = |second: usize| f64::from(results.between(second, second + 1).in_time) / capacity;
    let whole = results.between(from, to);
    let held =
        scenario_results.queue_times.iter().take(to).skip(from).map(|held| held.value_at_quantile(0.99));
    let bound = GIVE_UP / 2 + WORK;
    Shown {
        worst: (from..to).map(in_time).fold(f64::INFINITY, f64::min),
        mean: f64::from(whole.in_time) / capacity / (to - from) as f64,
        held: held.max().unwrap_or(0) as f64 / bound.as_micros() as f64,
        late: whole.late,
        run_late: scenario_results.late_runs,
        gone: results.between(0, to).last_answered_at - to as f64,
        rules: scenario_results.rules.iter().all(|(_, kept)| *kept),
    }
}

fn row(front: &str, what: &str, mine: &Shown, before: Option<&Shown>) -> Vec<String> {
    let part = |value: f64| format!("{value:.2}");
    vec![
        front.to_owned(),
        what.to_owned(),
        part(mine.worst),
        part(mine.mean),
        before.map_or(String::new(), |before| part(before.mean)),
        mine.late.to_string(),
        part(mine.held),
        mine.run_late.to_string(),
        part(mine.gone),
    ]
}
