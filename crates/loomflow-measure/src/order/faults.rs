//! Rounds of faults drawn from a seed on five to seven processes, judged by their processes alone and by the tickets that
//! are known in the end.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use loomflow_simulation::run_parallel;
use loomflow_standins::fleet::{Fleet, LONG, Plan};
use loomflow_standins::relay::Trouble;
use serde_json::Value;

use crate::report::Report;

/// Rounds that are played side by side.
const ABREAST: usize = 3;
/// The next grant comes at least so soon after the last fault, s.
const GRANT_WITHIN: f64 = 10.0;

#[derive(Default)]
struct Sum {
    rounds: u64,
    over_budget: u64,
    without_begin: u64,
    lost: u64,
    late: Vec<(u64, f64)>,
    grants: Vec<f64>,
    failed: Vec<String>,
}

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let rounds = if quick { 20 } else { 200 };
    let mut sum = Sum::default();
    for (seed, played) in run_parallel(ABREAST, 1..rounds + 1, |seed| (seed, round(seed, program))) {
        sum.rounds += 1;
        sum.over_budget += u64::from(played.over_budget);
        sum.without_begin += played.without_begin;
        sum.lost += played.lost;
        let after = played.grant_after.unwrap_or(f64::INFINITY);
        if after > GRANT_WITHIN {
            sum.late.push((seed, after));
        }
        sum.grants.extend(played.grant_after);
        if played.over_budget || played.without_begin + played.lost > 0 || played.grant_after.is_none() {
            sum.failed.push(played.told);
        }
    }
    sum.grants.sort_by(f64::total_cmp);
    let part =
        |of: f64| sum.grants.get(((sum.grants.len() as f64 * of) as usize).min(sum.grants.len().max(1) - 1));
    let seconds = |of: f64| part(of).map_or("-".into(), |s| format!("{s:.1}"));
    report.table(
        "Rounds of faults",
        &["rounds", "over budget", "left without a begin", "tickets lost", "next grant p50 s", "worst s"],
        vec![vec![
            sum.rounds.to_string(),
            sum.over_budget.to_string(),
            sum.without_begin.to_string(),
            sum.lost.to_string(),
            seconds(0.5),
            seconds(1.0),
        ]],
    );
    sum.failed.iter().take(1).for_each(|told| println!("{told}"));
    for (seed, after) in &sum.late {
        println!("seed {seed}: the next grant came {after:.1} s after the last fault");
    }
    report.figure("fault_rounds", sum.rounds as f64);
    report.at_most("over_budget", sum.over_budget as f64, 0.0);
    report.at_most("left_without_begin", sum.without_begin as f64, 0.0);
    report.at_most("tickets_lost", sum.lost as f64, 0.0);
    report.at_most("grants_late", sum.late.len() as f64, 0.0);
}

struct Played {
    over_budget: bool,
    without_begin: u64,
    lost: u64,
    /// From the last fault to the next grant, s; none where none came.
    grant_after: Option<f64>,
    told: String,
}

fn pick(rng: &mut fastrand::Rng, members: usize) -> usize {
    rng.usize(0..members)
}

/// One fleet: tickets for all, faults for some seconds, then all is mended.
fn round(seed: u64, program: &Path) -> Played {
    let mut rng = fastrand::Rng::with_seed(seed);
    let members = 5 + (seed % 3) as usize;
    let plan = Plan {
        members,
        zones: 1 + (seed % 2) as usize,
        extra: "  begin_within_s: 3\n  warm_for_s: 1\n",
        cores: 2,
        work: Duration::from_millis(5),
        seed,
    };
    let mut fleet = Fleet::start_with(plan, program).found(plan);
    let mut tickets: BTreeMap<u64, usize> = BTreeMap::new();
    for server in 0..members {
        tickets.insert(fleet.ask(0, server), server);
    }
    let mut watch =
        Watch { went: Vec::new(), out: BTreeMap::new(), dead: BTreeMap::new(), over_budget: false };
    let faults = rng.usize(3..6);
    for _ in 0..faults {
        watch.wait(&mut fleet, Duration::from_millis(rng.u64(300..1_500)));
        let one = pick(&mut rng, members);
        match rng.usize(0..6) {
            0 if fleet.runs(one) => {
                fleet.kill(one);
                watch.dead.insert(one, Instant::now() + Duration::from_millis(rng.u64(300..3_000)));
            }
            1 if fleet.runs(one) => {
                fleet.stop(one);
                watch.wait(&mut fleet, Duration::from_millis(rng.u64(200..4_000)));
                fleet.go_on(one);
            }
            2 => {
                let side: Vec<usize> = (0..members).filter(|_| rng.f64() < 0.4).collect();
                fleet.between(&side, Trouble { cut: true, ..Trouble::default() });
            }
            3 => fleet.trouble(one, pick(&mut rng, members), Trouble { cut: true, ..Trouble::default() }),
            4 => fleet.trouble(one, pick(&mut rng, members), Trouble { stalled: true, ..Trouble::default() }),
            _ => {
                let (lost, delay) = (rng.f64() * 0.3, Duration::from_millis(rng.u64(0..300)));
                let trouble = Trouble { lost, doubled: 0.2, swapped: 0.2, delay, ..Trouble::default() };
                fleet.everywhere(trouble);
            }
        }
    }
    watch.wait(&mut fleet, Duration::from_millis(500));
    fleet.everywhere(Trouble::default());
    // Whoever still is out or dead comes back now: the last fault is over when all run.
    watch.mend(&mut fleet);
    let mended = Instant::now();
    let before = grants(&fleet);
    let all_over = |fleet: &Fleet| stages(fleet).values().all(|stage| stage == "Done");
    let mut grant_after = None;
    while mended.elapsed() < LONG * 3 {
        watch.wait(&mut fleet, Duration::from_millis(100));
        let now = grants(&fleet);
        if grant_after.is_none() && (now > before || all_over(&fleet)) {
            grant_after = Some(mended.elapsed().as_secs_f64());
        }
        if grant_after.is_some() {
            break;
        }
    }
    let known = stages(&fleet);
    let begun = |server: usize| {
        tickets.iter().any(|(ticket, of)| {
            *of == server && events(&fleet).iter().any(|e| e["ticket"] == *ticket && e["stage"] == "Begun")
        })
    };
    Played {
        over_budget: watch.over_budget,
        without_begin: watch.went.iter().filter(|one| !begun(**one)).count() as u64,
        lost: tickets.keys().filter(|ticket| !known.contains_key(ticket)).count() as u64,
        grant_after,
        told: fleet.told(),
    }
}

/// What is seen of the processes.
struct Watch {
    /// Machines that ended by themselves.
    went: Vec<usize>,
    /// Those that are out for work, until when.
    out: BTreeMap<usize, Instant>,
    dead: BTreeMap<usize, Instant>,
    over_budget: bool,
}

impl Watch {
    fn wait(&mut self, fleet: &mut Fleet, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.look(fleet);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn look(&mut self, fleet: &mut Fleet) {
        for one in 0..fleet.members.len() {
            let away = self.out.get(&one).or_else(|| self.dead.get(&one)).copied();
            match away {
                Some(until) if Instant::now() >= until => {
                    fleet.start_one(one);
                    self.out.remove(&one);
                    self.dead.remove(&one);
                }
                None if !fleet.runs(one) => {
                    self.went.push(one);
                    self.out.insert(one, Instant::now() + Duration::from_millis(800));
                    self.over_budget |= self.out.len() > 1;
                }
                _ => {}
            }
        }
    }

    fn mend(&mut self, fleet: &mut Fleet) {
        while !self.out.is_empty() || !self.dead.is_empty() {
            self.wait(fleet, Duration::from_millis(50));
        }
    }
}

/// All that happened, by the word of whoever tells it.
fn events(fleet: &Fleet) -> Vec<Value> {
    for one in 0..fleet.members.len() {
        let (code, told, _) = fleet.say(one, &["work", "history", "--json"]);
        if let (0, Ok(Value::Array(events))) = (code, serde_json::from_str(&told)) {
            return events;
        }
    }
    Vec::new()
}

fn stages(fleet: &Fleet) -> BTreeMap<u64, String> {
    let events = events(fleet);
    let stage = |event: &Value| Some((event["ticket"].as_u64()?, event["stage"].as_str()?.to_owned()));
    events.iter().filter_map(stage).collect()
}

fn grants(fleet: &Fleet) -> u64 {
    events(fleet).iter().filter_map(|event| event["grant"].as_u64()).max().unwrap_or(0)
}
