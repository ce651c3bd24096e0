//! Rounds of faults drawn from a seed on five to seven processes, judged by their processes alone and by the tickets that
//! are known in the end.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use loomflow_fleet_simulation::run_parallel;
use loomflow_test_servers::fleet::{Fleet, Plan, WAIT_TIMEOUT};
use loomflow_test_servers::relay::LinkFault;
use serde_json::Value;

use crate::quantile::quantile;
use crate::report::Report;

/// Rounds that are played side by side.
const PARALLEL_ROUNDS: usize = 3;
/// The next grant has to come within this time after the last fault, s.
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

impl Sum {
    fn add(&mut self, seed: u64, round: Played) {
        self.rounds += 1;
        self.over_budget += u64::from(round.over_budget);
        self.without_begin += round.without_begin;
        self.lost += round.lost;
        let grant_after = round.grant_after.unwrap_or(f64::INFINITY);
        if grant_after > GRANT_WITHIN {
            self.late.push((seed, grant_after));
        }
        self.grants.extend(round.grant_after);
        if round.has_failed() {
            self.failed.push(round.diagnostics);
        }
    }

    /// The time within which this part of the grants came, s; a dash where there was none.
    fn grant_quantile(&self, part: f64) -> String {
        quantile(&self.grants, part).map_or("-".into(), |seconds| format!("{seconds:.1}"))
    }
}

pub fn measure(report: &mut Report, quick: bool, program: &Path) {
    let rounds = if quick { 20 } else { 200 };
    let mut sum = Sum::default();
    for (seed, played) in run_parallel(PARALLEL_ROUNDS, 1..rounds + 1, |seed| (seed, round(seed, program))) {
        sum.add(seed, played);
    }
    print(report, &sum);
    report.figure("fault_rounds", sum.rounds as f64);
    report.require_max("over_budget", sum.over_budget as f64, 0.0);
    report.require_max("left_without_begin", sum.without_begin as f64, 0.0);
    report.require_max("tickets_lost", sum.lost as f64, 0.0);
    report.require_max("grants_late", sum.late.len() as f64, 0.0);
}

fn print(report: &Report, sum: &Sum) {
    report.table(
        "Rounds of faults",
        &["rounds", "over budget", "left without a begin", "tickets lost", "next grant p50 s", "worst s"],
        vec![vec![
            sum.rounds.to_string(),
            sum.over_budget.to_string(),
            sum.without_begin.to_string(),
            sum.lost.to_string(),
            sum.grant_quantile(0.5),
            sum.grant_quantile(1.0),
        ]],
    );
    for diagnostics in sum.failed.iter().take(1) {
        println!("{diagnostics}");
    }
    for (seed, after) in &sum.late {
        println!("seed {seed}: the next grant came {after:.1} s after the last fault");
    }
}

struct Played {
    over_budget: bool,
    without_begin: u64,
    lost: u64,
    /// From the last fault to the next grant, s; none where none came.
    grant_after: Option<f64>,
    diagnostics: String,
}

impl Played {
    fn has_failed(&self) -> bool {
        self.over_budget || self.without_begin + self.lost > 0 || self.grant_after.is_none()
    }
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
    let mut fleet = Fleet::start_with(plan, program).bootstrap(plan);
    let mut tickets: BTreeMap<u64, usize> = BTreeMap::new();
    for server in 0..members {
        tickets.insert(fleet.request_ticket(0, server), server);
    }
    let mut watch = Watch::default();
    for _ in 0..rng.usize(3..6) {
        watch.wait(&mut fleet, Duration::from_millis(rng.u64(300..1_500)));
        inject_fault(&mut fleet, &mut watch, &mut rng);
    }
    watch.wait(&mut fleet, Duration::from_millis(500));
    fleet.set_fault_on_all_links(LinkFault::default());
    // Whoever still is out or dead comes back now: the last fault is over when all run.
    watch.mend(&mut fleet);
    let grant_after = time_to_next_grant(&mut fleet, &mut watch);
    let known = stages(&fleet);
    let has_begun = |server: usize| {
        tickets.iter().any(|(ticket, of)| {
            *of == server && events(&fleet).iter().any(|e| e["ticket"] == *ticket && e["stage"] == "Begun")
        })
    };
    Played {
        over_budget: watch.over_budget,
        without_begin: watch.departed.iter().filter(|server| !has_begun(**server)).count() as u64,
        lost: tickets.keys().filter(|ticket| !known.contains_key(ticket)).count() as u64,
        grant_after,
        diagnostics: fleet.diagnostics(),
    }
}

/// Draws one fault and begins it.
fn inject_fault(fleet: &mut Fleet, watch: &mut Watch, rng: &mut fastrand::Rng) {
    let members = fleet.members.len();
    let member = rng.usize(0..members);
    match rng.usize(0..6) {
        0 if fleet.is_running(member) => {
            fleet.kill(member);
            watch.dead.insert(member, Instant::now() + Duration::from_millis(rng.u64(300..3_000)));
        }
        1 if fleet.is_running(member) => {
            fleet.pause(member);
            watch.wait(fleet, Duration::from_millis(rng.u64(200..4_000)));
            fleet.resume(member);
        }
        2 => {
            let side: Vec<usize> = (0..members).filter(|_| rng.f64() < 0.4).collect();
            fleet.isolate(&side, LinkFault { is_cut: true, ..LinkFault::default() });
        }
        3 => {
            let cut = LinkFault { is_cut: true, ..LinkFault::default() };
            fleet.set_link_fault(member, rng.usize(0..members), cut);
        }
        4 => {
            let stalled = LinkFault { is_stalled: true, ..LinkFault::default() };
            fleet.set_link_fault(member, rng.usize(0..members), stalled);
        }
        _ => {
            let (lost, delay) = (rng.f64() * 0.3, Duration::from_millis(rng.u64(0..300)));
            let fault = LinkFault { lost, duplicated: 0.2, reordered: 0.2, delay, ..LinkFault::default() };
            fleet.set_fault_on_all_links(fault);
        }
    }
}

/// How long the next grant takes, s; none where none comes.
fn time_to_next_grant(fleet: &mut Fleet, watch: &mut Watch) -> Option<f64> {
    let since = Instant::now();
    let before = grants(fleet);
    let are_all_done = |fleet: &Fleet| stages(fleet).values().all(|stage| stage == "Done");
    while since.elapsed() < WAIT_TIMEOUT * 3 {
        watch.wait(fleet, Duration::from_millis(100));
        if grants(fleet) > before || are_all_done(fleet) {
            return Some(since.elapsed().as_secs_f64());
        }
    }
    None
}

/// What is known of the processes.
#[derive(Default)]
struct Watch {
    /// Machines that ended by themselves.
    departed: Vec<usize>,
    /// Those that are out for work, until when.
    out: BTreeMap<usize, Instant>,
    dead: BTreeMap<usize, Instant>,
    over_budget: bool,
}

impl Watch {
    fn wait(&mut self, fleet: &mut Fleet, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.check_members(fleet);
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn check_members(&mut self, fleet: &mut Fleet) {
        for one in 0..fleet.members.len() {
            let away = self.out.get(&one).or_else(|| self.dead.get(&one)).copied();
            match away {
                Some(until) if Instant::now() >= until => {
                    fleet.start_member(one);
                    self.out.remove(&one);
                    self.dead.remove(&one);
                }
                None if !fleet.is_running(one) => {
                    self.departed.push(one);
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

/// The history of tickets, from the first member that answers.
fn events(fleet: &Fleet) -> Vec<Value> {
    for one in 0..fleet.members.len() {
        let (code, diagnostics, _) = fleet.run_command(one, &["work", "history", "--json"]);
        if let (0, Ok(Value::Array(events))) = (code, serde_json::from_str(&diagnostics)) {
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
